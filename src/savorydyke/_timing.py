"""Intervals that follow from the bounds of the deployment.

What the store says has to be applied within these bounds, so that an instance must
ask often enough. Each call of the store has a price, so that it asks no more often
than that.
"""

from dataclasses import dataclass

WATCH_WAIT_S = 0.5
"""Longest wait of one watch."""
VIEW_WAIT_S = 1.2
"""Time for which a late view of the store is asked for: a pause, two watches."""
SHORT_PAUSE_S = 0.4
"""Pause between the watches of a small fleet. It batches the heartbeats of endpoints,
each of which would end a watch."""
REVOKE_MARGIN_S = 0.4
"""Part of the bound on revoked keys that is kept for clock differences and waiting."""
APPLY_SHARE = 0.55
"""Part of a bound that the pause of a large fleet may take. A watch that fails and its
repetition fit into the rest."""


@dataclass(frozen=True)
class ApplyBounds:
    """Times within which a change in the store must take effect.

    Attributes
    ----------
    revocation_s, configuration_s, leaving_s : float
        For a revoked key, for other changes of the configuration, and for an
        endpoint that leaves.
    """

    revocation_s: float
    configuration_s: float
    leaving_s: float

    def shortest_s(self) -> float:
        """Return the shortest time for a watch to bring a change."""
        usable_s = self.revocation_s - REVOKE_MARGIN_S
        return min(usable_s, self.configuration_s, self.leaving_s)


def shortest_bound_s() -> float:
    """Return the shortest bound that a small fleet can meet."""
    return 2 * (SHORT_PAUSE_S + WATCH_WAIT_S)


def watch_pause_s(bounds: ApplyBounds, is_large_fleet: bool) -> float:
    """Return the pause between two watches of the store.

    In a large fleet the instances that see a change first tell the others of it.
    """
    if not is_large_fleet:
        return SHORT_PAUSE_S
    longest_s = APPLY_SHARE * bounds.shortest_s()
    return max(SHORT_PAUSE_S, longest_s)

"""Requests that a frontend refuses itself, since their coordinator lags.

It answers a burst in which a coordinator gets more requests than it can decide. Each
one that it refuses for that costs it a message and a decision, and delays those that it
could grant. A frontend that was refused so refuses what is not more urgent for a moment
itself, so that the coordinator gets a few requests of each frontend to look at.

Times are seconds on the local monotonic clock and are passed in.
"""

from dataclasses import dataclass, field

from savorydyke._ids import PoolId

CLOSED_S = 0.4
"""Time until a frontend asks a coordinator again. It is a part of the time after which
callers return at the earliest, so that these find what is true then."""
CLOSED_DETAIL = "the coordinator had more requests than it could decide just now"


@dataclass(frozen=True)
class Closure:
    """A refusal of a coordinator that lags.

    Attributes
    ----------
    rank : int
        Rank by tier and urgency of the request; less urgent ones have greater ranks.
    retry_s : float
        Seconds after which its caller may return.
    """

    rank: int
    until: float
    retry_s: float


@dataclass
class ClosedRanks:
    """The latest refusal in each pool."""

    closures: dict[PoolId, Closure] = field(default_factory=dict)

    def record_refused(
        self, pool: PoolId, rank: int, retry_s: float, now: float
    ) -> None:
        """Record that the coordinator of a pool lags and has refused a request."""
        known = self.closures.get(pool)
        if known is not None and now < known.until:
            rank = min(rank, known.rank)
        self.closures[pool] = Closure(rank, now + CLOSED_S, retry_s)

    def record_granted(self, pool: PoolId, rank: int) -> None:
        """Record that a request was granted, so that no less urgent rank is closed."""
        known = self.closures.get(pool)
        if known is not None and rank >= known.rank:
            del self.closures[pool]

    def retry_s(self, pool: PoolId, rank: int, now: float) -> float | None:
        """Return when a request's caller may return, None if it is to be asked for."""
        known = self.closures.get(pool)
        if known is None or now >= known.until or rank < known.rank:
            return None
        return known.retry_s

"""How the urgency ranks of a tier share the endpoint time that the first one leaves.

The most urgent requests of a tier always go first. The other ranks go in order of
urgency too, but none of them is starved: in an overload the least urgent ones would
get nothing, although they are often short and need little time. A rank may go before
more urgent ones while a smaller part of what it requested has been granted, as long
as it got less than its guaranteed share. Tiers stay in strict order.
"""

from dataclasses import dataclass, field

from savorydyke._demand_rate import DemandRate
from savorydyke._fair_queue import URGENCIES

RESERVED_SHARE = 0.25
"""Part of the time of the sharing ranks of a tier that all but the first of them are
guaranteed together."""


@dataclass
class TierShares:
    """Endpoint time that ranks requested and got lately.

    Attributes
    ----------
    offered, granted : DemandRate
        Rates of all requests and of the granted ones, by rank.
    """

    offered: DemandRate = field(default_factory=DemandRate)
    granted: DemandRate = field(default_factory=DemandRate)

    def granted_share(self, rank: int, now: float) -> float:
        """Return the part of the endpoint time requested by a rank that it got."""
        offered = self.offered.of(rank, now)
        return self.granted.of(rank, now) / offered if offered > 0 else 1.0

    def guaranteed_rate(self, rank: int, now: float) -> float:
        """Return the endpoint seconds per second that a rank may use before others.

        Returns
        -------
        float
            0 for a rank that has got as great a part of what it requested as a more
            urgent one, the first rank of the tier apart.
        """
        if not _shares(rank):
            return 0.0
        ranks = [r for r in self.offered.ranks(now) if _are_sharing(r, rank)]
        more_urgent = [other for other in ranks if other < rank]
        if not more_urgent:
            return 0.0
        least = min(self.granted_share(other, now) for other in more_urgent)
        if self.granted_share(rank, now) >= least:
            return 0.0
        granted = sum(self.granted.of(other, now) for other in ranks)
        return granted * RESERVED_SHARE / (len({*ranks, rank}) - 1)

    def owed_ranks(self, waiting: list[int], now: float) -> list[int]:
        """Return those of the waiting ranks that got less than they are guaranteed."""
        return [
            rank
            for rank in waiting
            if self.granted.of(rank, now) < self.guaranteed_rate(rank, now)
        ]


def _shares(rank: int) -> bool:
    """Return whether a rank is not the most urgent one of its tier."""
    return rank % URGENCIES > 0


def _are_sharing(rank: int, other: int) -> bool:
    """Return whether two ranks share the time that their tier's first rank leaves."""
    return _shares(rank) and _shares(other) and rank // URGENCIES == other // URGENCIES

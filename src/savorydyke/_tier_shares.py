"""Minimum shares of endpoint time for the less urgent ranks of a tier.

Requests of urgency 0 always go first in their tier. The other ranks share the time
that these leave. They go in order of urgency too, but none of them is starved: in an
overload the least urgent ones would get nothing, although they are often short. A
rank goes before more urgent ones while a smaller part of what it requested has been
granted, as long as it got less than its guaranteed share. Tiers stay in strict order.
"""

from dataclasses import dataclass, field

from savorydyke._demand_rate import DemandRate
from savorydyke._fair_queue import URGENCIES

RESERVED_SHARE = 0.25
"""Part of the shared time of a tier that all ranks but the most urgent of those that
share it are guaranteed together."""


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
            0 for urgency 0, for the most urgent rank that shares its tier's time,
            and for a rank that got as great a part of what it requested as a more
            urgent one that shares the time.
        """
        if not _shares_time(rank):
            return 0.0
        ranks = [r for r in self.offered.ranks(now) if _share_time(r, rank)]
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


def _shares_time(rank: int) -> bool:
    """Return whether a rank shares the time that urgency 0 of its tier leaves."""
    return rank % URGENCIES > 0


def _share_time(rank: int, other: int) -> bool:
    """Return whether two ranks share the time of the same tier."""
    is_same_tier = rank // URGENCIES == other // URGENCIES
    return is_same_tier and _shares_time(rank) and _shares_time(other)

"""Capacity of a pool: how long requests will wait, and when to retry.

All figures come from the waiting requests, the rate of arrivals and the learned
speeds; the decisions are made in `_pool_scheduler`.
"""

from dataclasses import dataclass, field

from savorydyke._demand_rate import DemandRate
from savorydyke._estimates import Estimates
from savorydyke._fair_queue import LATE_RANKS, FairQueue, Waiting
from savorydyke._tier_shares import TierShares
from savorydyke.scheduling import MARGIN, EndpointIndex

RETRY_RANGE_S = (1.0, 60.0)
"""Range of the retry time in a refusal; `Capacity.min_retry_s` sets the lower end."""
FIRST_MARGIN = 1.5
"""Factor on the time to the first byte at an idle endpoint; a busy one takes longer."""
LEAST_FREE_SHARE = 0.05
"""Least part of the endpoints' time that requests of any rank are assumed to get."""
IDLE_SHARE = 0.5
"""Part of the slots in use below which a pool counts as idle."""


@dataclass
class Capacity:
    """The waiting requests of a pool and the capacity of its endpoints.

    Attributes
    ----------
    share : float
        Part of each endpoint's credits that this coordinator may use; below 1
        while it is cut off from most of its peers.
    min_retry_s : float
        Least retry time that a refusal names.
    shares : TierShares
        Rates of all requests and of the granted ones, by rank.
    demand : DemandRate
        Rate of the admitted requests, by rank.
    """

    estimates: Estimates = field(default_factory=Estimates)
    queue: FairQueue = field(default_factory=FairQueue)
    share: float = 1.0
    min_retry_s: float = RETRY_RANGE_S[0]
    shares: TierShares = field(default_factory=TierShares)
    demand: DemandRate = field(default_factory=DemandRate)

    def is_idle(self, now: float) -> bool:
        """Return whether most slots are free and no request is waiting."""
        if self.queue.by_key:
            return False
        index = self.updated_index(now)
        return index.running < IDLE_SHARE * index.slots

    def updated_index(self, now: float) -> EndpointIndex:
        """Return the counts and orders of the endpoints, as of now."""
        self.estimates.index.update(now, self.share)
        return self.estimates.index

    def free_slots(self, now: float) -> int:
        """Return how many more requests the usable endpoints have a slot for."""
        return self.updated_index(now).free_slots

    def is_full(self, now: float) -> bool:
        """Return whether no endpoint has a slot for one more request."""
        return self.updated_index(now).free == 0

    def utilization_above(self, rank: int, now: float) -> float:
        """Return the part of the endpoints' time requested by more urgent requests."""
        above = self.shares.offered.above(rank, now)
        return above / max(1, self.estimates.usable_count())

    def wait_s(self, item: Waiting, now: float) -> float:
        """Return how long a request would wait for a grant.

        The time covers the requests ahead of it and the more urgent ones that are
        expected to arrive. While these use every slot that is freed, the least
        urgent requests get no more than their guaranteed share, and those that would
        wait too long for it are refused at once.
        """
        ahead_s = self.queue.cost_ahead_s(item.rank, item.team, item.weight)
        if ahead_s == 0:
            return 0.0
        wait_s = ahead_s / self._free_rate(item.rank, now)
        if item.is_late():
            return wait_s
        guaranteed = self.shares.guaranteed_rate(item.rank, now)
        if guaranteed == 0:
            return wait_s
        rank_s = self.queue.rank_cost_ahead_s(item.rank, item.team, item.weight)
        return min(wait_s, rank_s / guaranteed)

    def owed_ranks(self, now: float) -> list[int]:
        """Return the waiting ranks that are due before more urgent ones of their tier.

        Requests that are late already do not count.
        """
        waiting = [rank for rank in self.queue.ranks() if rank < LATE_RANKS]
        return self.shares.owed_ranks(waiting, now) if len(waiting) > 1 else []

    def meets_objective(self, item: Waiting, now: float) -> bool:
        """Return whether the first byte would come within the objective."""
        first_s = FIRST_MARGIN * item.forecast.least_first_s
        return now + self.wait_s(item, now) + first_s <= item.objective

    def latest_grant(self, item: Waiting) -> float:
        """Return the latest time at which a grant at the present rank is useful."""
        latest_grant = item.deadline - MARGIN * item.forecast.least_s
        due = item.abandon_at if item.is_late() else item.objective
        return min(latest_grant, due - FIRST_MARGIN * item.forecast.least_first_s)

    def will_expire(self, item: Waiting, now: float) -> bool:
        """Return whether a late request would probably never be granted.

        It gets only the capacity that is left by all requests that arrive at
        present, whether they are admitted or refused.
        """
        own_s = item.cost_s / self._free_rate(item.rank, now)
        return now + self.wait_s(item, now) + own_s > self.latest_grant(item)

    def retry_s(self, rank: int, now: float) -> float:
        """Return the time after which a retry at this rank could expect a grant.

        In a burst the more urgent requests that keep arriving count too, so that
        the retry is not refused again.
        """
        tiers = self.queue.tiers.items()
        ahead_s = sum(tier.cost_s for other, tier in tiers if other <= rank)
        usable = max(1, self.estimates.usable_count())
        rate = self.shares.offered.up_to(rank, now)
        free = max(LEAST_FREE_SHARE * usable, usable - rate)
        _, high = RETRY_RANGE_S
        return min(high, max(self.min_retry_s, ahead_s / free))

    def _free_rate(self, rank: int, now: float) -> float:
        """Return the endpoint seconds per second left by more urgent requests."""
        usable = max(1, self.estimates.usable_count())
        rates = self.shares.offered if rank >= LATE_RANKS else self.demand
        return max(LEAST_FREE_SHARE * usable, usable - rates.above(rank, now))

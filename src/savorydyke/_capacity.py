"""How much room a pool has, and when a request could expect to get some.

All figures come from what waits, from what is asked for and from the learned
speeds; nothing is decided here.
"""

from dataclasses import dataclass, field

from savorydyke._demand_rate import DemandRate
from savorydyke._estimates import Estimates
from savorydyke._fair_queue import LATE_RANKS, FairQueue, Waiting

RETRY_RANGE_S = (1.0, 60.0)
MARGIN = 1.2
"""Factor on predicted times that a deadline must leave room for."""
FIRST_MARGIN = 1.5
"""Factor on the time to a first byte at an idle endpoint, for busy ones."""
LEAST_FREE_SHARE = 0.05
"""Part of the endpoints' time that the least urgent are thought to get."""
IDLE_SHARE = 0.5
"""Part of the places in use below which a pool counts as idle."""


@dataclass
class Capacity:
    """What waits for the endpoints of a pool, and what they can take.

    Attributes
    ----------
    share : float
        Part of each endpoint's credits that this home may use; below 1 while
        it is cut off from most of its peers.
    least_retry_s : float
        Soonest time to come back that a refusal names.
    offered, demand : DemandRate
        What is asked for, and what of it is let in, by rank.
    """

    estimates: Estimates = field(default_factory=Estimates)
    queue: FairQueue = field(default_factory=FairQueue)
    share: float = 1.0
    min_retry_s: float = RETRY_RANGE_S[0]
    offered: DemandRate = field(default_factory=DemandRate)
    demand: DemandRate = field(default_factory=DemandRate)

    def is_idle(self, now: float) -> bool:
        """Return whether most places are free and nothing waits for them."""
        if self.queue.by_key:
            return False
        loads = [e for e in self.estimates.endpoints.values() if e.usable(now)]
        places = sum(load.credits(self.share) for load in loads)
        return sum(len(load.running) for load in loads) < IDLE_SHARE * places

    def is_full(self, now: float) -> bool:
        """Return whether no endpoint has a place for one more request."""
        return not any(
            load.usable(now) and len(load.running) < load.credits(self.share)
            for load in self.estimates.endpoints.values()
        )

    def wait_s(self, item: Waiting, now: float) -> float:
        """Return how long a request would wait behind what is and will be ahead.

        While more urgent requests take all places as they come free, the least
        urgent would wait in vain; they are refused at once.
        """
        ahead_s = self.queue.cost_ahead_s(item.rank, item.team, item.weight)
        if ahead_s == 0:
            return 0.0
        return ahead_s / self._free_rate(item.rank, now)

    def meets_objective(self, item: Waiting, now: float) -> bool:
        """Return whether the first byte would come within the objective."""
        first_s = FIRST_MARGIN * item.forecast.least_first_s
        return now + self.wait_s(item, now) + first_s <= item.objective

    def latest_grant(self, item: Waiting) -> float:
        """Return until when a request may wait with its present rank."""
        latest_grant = item.deadline - MARGIN * item.forecast.least_s
        due = item.abandon_at if item.is_late() else item.objective
        return min(latest_grant, due - FIRST_MARGIN * item.forecast.least_first_s)

    def will_expire(self, item: Waiting, now: float) -> bool:
        """Return whether a late request would probably never be granted.

        It takes only room that all who ask now leave, let in or not.
        """
        own_s = item.cost_s / self._free_rate(item.rank, now)
        return now + self.wait_s(item, now) + own_s > self.latest_grant(item)

    def retry_s(self, rank: int, now: float) -> float:
        """Return when a request of this rank could expect to be granted.

        In a burst the more urgent ones that keep coming count too, so that those
        who come back are not refused again.
        """
        tiers = self.queue.tiers.items()
        ahead_s = sum(tier.cost_s for other, tier in tiers if other <= rank)
        usable = max(1, self.estimates.usable_count())
        asked = self.offered.up_to(rank, now)
        free = max(LEAST_FREE_SHARE * usable, usable - asked)
        _, high = RETRY_RANGE_S
        return min(high, max(self.min_retry_s, ahead_s / free))

    def _free_rate(self, rank: int, now: float) -> float:
        """Return endpoint seconds a second that more urgent requests leave."""
        usable = max(1, self.estimates.usable_count())
        taken = self.offered if rank >= LATE_RANKS else self.demand
        return max(LEAST_FREE_SHARE * usable, usable - taken.above(rank, now))

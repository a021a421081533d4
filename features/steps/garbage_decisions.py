"""Decisions of a coordinator while one endpoint in three answers garbage at once.

The load needs all three endpoints. The status check of the one that answers garbage is
good, and its answers come sooner than those of the others.
"""

import heapq
import itertools
from dataclasses import dataclass, field

from decision_cases import FRONTEND, POOL, acquire, case, end, scheduler_of

from savorydyke._ids import ReleaseResult
from savorydyke._messages import Grant, Started

PER_S = 100
SERVICE_S = 0.1
FIRST_S = 0.02
GARBAGE_S = 0.005
TICK_S = 0.05
FAULTY = "e1"
BEGIN_S, END_S = 3.0, 13.0
NOTICED_S = 1.0
"""Time after which the endpoint must be passed over."""
LOST_SHARE = 0.02
"""Largest part of the requests that may serve to find out whether it has recovered."""
RETURN_S = 3.0
"""Time after its recovery from which it must bear the load as before."""


@dataclass
class Load:
    """A steady load, and how each request ended.

    Attributes
    ----------
    fails : callable
        Whether the answer of an endpoint to a request that it gets now is garbage.
    per_s : int
        Requests a second.
    ended : list of tuple
        Time, endpoint and result of each request.
    """

    scheduler: object
    fails: object
    per_s: int = PER_S
    ended: list = field(default_factory=list)
    events: list = field(default_factory=list)
    order: object = field(default_factory=itertools.count)

    def at(self, time, action, *arguments):
        """Let something happen later."""
        heapq.heappush(self.events, (time, next(self.order), action, arguments))

    def run(self, seconds):
        """Play the load."""
        for number in range(int(seconds * self.per_s)):
            self.at(number / self.per_s, self.arrive, number)
        for number in range(int(seconds / TICK_S)):
            self.at(number * TICK_S, self.tick)
        while self.events:
            now, _, action, arguments = heapq.heappop(self.events)
            if now > seconds:
                return
            action(now, *arguments)

    def tick(self, now):
        """Let the scheduler use credits that time has freed."""
        self.use(self.scheduler.tick(now), now)

    def arrive(self, now, number):
        """Ask for a grant."""
        self.use(self.scheduler.acquire(acquire(number), FRONTEND, now), now)

    def use(self, decisions, now):
        """Send the requests that are granted."""
        for grant in (d.answer for d in decisions if isinstance(d.answer, Grant)):
            key, endpoint = grant.key.rpartition("/")[2], grant.endpoint
            if self.fails(endpoint, now):
                result = ReleaseResult.TRUNCATED
                self.at(now + GARBAGE_S, self.finish, key, endpoint, result)
                continue
            self.at(now + FIRST_S, self.begin, key)
            result = ReleaseResult.COMPLETE
            self.at(now + SERVICE_S, self.finish, key, endpoint, result)

    def begin(self, now, key):
        """Report the first byte of an answer."""
        message = Started(f"frontend/1/{key}", POOL, int(FIRST_S * 1000))
        self.use(self.scheduler.started(message, now), now)

    def finish(self, now, key, endpoint, result):
        """End a request."""
        self.ended.append((now, endpoint, result))
        self.use(end(self.scheduler, key, endpoint, now, result), now)

    def count(self, since, until, endpoint=None, result=None):
        """Return how many requests ended in a time."""
        return sum(
            since <= now < until and endpoint in {None, e} and result in {None, r}
            for now, e, r in self.ended
        )


@case("an endpoint that answers garbage at once does not draw the load")
def _():
    def fails(endpoint, now):
        return endpoint == FAULTY and BEGIN_S <= now < END_S

    load = Load(scheduler_of("e1", "e2", "e3"), fails)
    load.run(END_S + 2 * RETURN_S)
    lost = load.count(BEGIN_S, END_S, result=ReleaseResult.TRUNCATED)
    since = BEGIN_S + NOTICED_S
    later = load.count(since, END_S, result=ReleaseResult.TRUNCATED)
    served = load.count(since, END_S, result=ReleaseResult.COMPLETE)
    assert later <= LOST_SHARE * served, (lost, later, served)
    back = load.count(END_S + RETURN_S, END_S + 2 * RETURN_S, FAULTY)
    before = load.count(0.0, BEGIN_S, FAULTY)
    assert back >= 0.8 * before, (back, before)


@case("one endpoint of two that answers garbage at once does not draw the load")
def _():
    def fails(endpoint, now):
        return endpoint == FAULTY and BEGIN_S <= now < END_S

    load = Load(scheduler_of("e1", "e2"), fails, per_s=PER_S * 2 // 3)
    load.run(END_S)
    since = BEGIN_S + NOTICED_S
    lost = load.count(since, END_S, result=ReleaseResult.TRUNCATED)
    served = load.count(since, END_S, result=ReleaseResult.COMPLETE)
    # Half as many requests as with three endpoints find out whether it has recovered.
    assert lost <= 2 * LOST_SHARE * served, (lost, served)


@case("an endpoint that fails a part of its requests is still used")
def _():
    numbers = itertools.count()

    def fails(endpoint, now):
        return endpoint == FAULTY and now >= BEGIN_S and next(numbers) % 2 == 0

    load = Load(scheduler_of("e1", "e2", "e3"), fails)
    load.run(END_S)
    served = load.count(BEGIN_S, END_S, FAULTY, ReleaseResult.COMPLETE)
    # One request at a time, half of which fail.
    assert served >= 0.3 * (END_S - BEGIN_S) / SERVICE_S, served

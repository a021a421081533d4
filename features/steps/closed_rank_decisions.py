"""Decision cases about requests that a frontend refuses without asking."""

import random

import trio
from decision_cases import case

from savorydyke._grant_client import Demand, GrantClient, Refused
from savorydyke._ids import Reason
from savorydyke._membership import Membership
from savorydyke._messages import Acquire, Grant, Refuse
from savorydyke.scheduling._closed_ranks import CLOSED_S, ClosedRanks

FRONTENDS = 64
BURST_PER_S = 1200
BURST_S = 3.0
DECIDED_PER_S = 600
"""What a coordinator of 56 endpoints can decide, at most."""


@case("a burst at a coordinator that lags is refused where it arrives")
def _():
    rng = random.Random(1)
    frontends = [ClosedRanks() for _ in range(FRONTENDS)]
    asked = {0: 0, 1: 0, 2: 0}
    arrived = dict(asked)
    for number in range(int(BURST_PER_S * BURST_S)):
        now, rank = number / BURST_PER_S, rng.randrange(3)
        arrived[rank] += 1
        closed = rng.choice(frontends)
        if closed.retry_s("p", rank, now) is not None:
            continue
        asked[rank] += 1
        if rank > 0:
            closed.record_refused("p", rank, 1.0, now)
        else:
            closed.record_granted("p", rank)
    # The coordinator sees all urgent ones, and has time for them.
    assert asked[0] == arrived[0], (asked, arrived)
    assert sum(asked.values()) < DECIDED_PER_S * BURST_S, asked
    # Each frontend keeps asking, so that the end of the burst is noticed.
    assert asked[1] + asked[2] >= FRONTENDS * BURST_S / CLOSED_S / 2, asked


class Coordinator:
    """A grant client whose messages are answered with a refusal or a grant."""

    def __init__(self):
        membership = Membership("frontend", "a:1", "dc", 1)
        membership.coordinator = lambda pool: "home"
        self.answer = "refuse"
        self.asked = 0
        self.client = GrantClient(
            membership,
            self.send,
            lambda peer: None,
            lambda: ["p"],
            rank_of=lambda demand: demand.urgency,
        )

    def send(self, peer, message):
        if not isinstance(message, Acquire):
            return
        self.asked += 1
        key, attempt = message.key, message.attempt
        if self.answer == "refuse":
            refusal = Refuse(key, attempt, Reason.OVERLOADED, "lags", 1200, False)
            answer = refusal
        else:
            answer = Grant(key, attempt, "e1", False, ())
        trio.lowlevel.current_trio_token().run_sync_soon(
            self.client.handle, "home", answer
        )

    async def acquire(self, key, urgency, **more):
        deadline = trio.current_time() + 5.0
        demand = Demand(
            key, "p", "t", "", 1, 1, (), deadline, False, urgency=urgency, **more
        )
        return await self.client.acquire(demand)


@case("a frontend refuses what its coordinator has just refused for its lag")
def _():
    async def play():
        home = Coordinator()
        home.client.follow_coordinators()
        first = await home.acquire("a", 1)
        assert isinstance(first, Refused) and home.asked == 1, home.asked
        second = await home.acquire("b", 1)
        assert isinstance(second, Refused) and home.asked == 1
        assert second.reason is Reason.OVERLOADED and not second.may_have_run
        assert second.retry_s == first.retry_s == 1.2
        assert isinstance(await home.acquire("c", 2), Refused) and home.asked == 1
        # A stream that goes on and a second try are the coordinator's to decide.
        await home.acquire("d", 1, has_begun=True)
        await home.acquire("e", 1, is_retry=True)
        assert home.asked == 3
        # So is a more urgent request, and any one after a moment.
        home.answer = "grant"
        assert not isinstance(await home.acquire("f", 0), Refused)
        assert isinstance(await home.acquire("g", 1), Refused)
        await trio.sleep(CLOSED_S + 0.01)
        assert not isinstance(await home.acquire("h", 1), Refused)
        assert not isinstance(await home.acquire("i", 2), Refused)
        assert home.asked == 6

    trio.run(play)

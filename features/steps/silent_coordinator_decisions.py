"""Decision cases about requests that their coordinator does not answer soon."""

import trio
from decision_cases import case
from trio.testing import MockClock

from savorydyke._grant_client import FALLBACK, LOST_S, Demand, GrantClient
from savorydyke._membership import Membership
from savorydyke._messages import Acquire, Grant, MemberRow
from savorydyke.scheduling import Inbox
from savorydyke_bench._coordinator_load import KINDS, acquire

HOME = "home"


class Frontend:
    """A grant client with a coordinator that leaves some requests unanswered."""

    def __init__(self):
        membership = Membership("frontend", "a:1", "dc", 1)
        now = trio.current_time()
        membership.merge_row(MemberRow(HOME, "a:2", "dc", 1, 1, 0, False), now)
        membership.members[HOME].linked = True
        membership.members[HOME].last_seen = now + 60.0
        membership.coordinator = lambda pool: HOME
        self.attempts = {}
        self.client = GrantClient(
            membership,
            self.send,
            lambda peer: None,
            lambda: ["p"],
            place_fallback=lambda demand, avoid: "blind",
        )

    def send(self, peer, message):
        if isinstance(message, Acquire):
            self.attempts[message.key] = message.attempt

    def grant(self, key):
        self.client.handle(HOME, Grant(key, self.attempts[key], "e1", False, ()))

    async def acquire(self, key):
        deadline = trio.current_time() + 5.0
        demand = Demand(key, "p", "t", "", 1, 1, (), deadline, False)
        return await self.client.acquire(demand)

    async def answer_others(self):
        number = 0
        while True:
            number += 1
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.acquire, f"other-{number}")
                await trio.sleep(0.05)
                self.grant(f"other-{number}")


async def wait_for(granted_after_s, answers_others):
    """Return the grant of a request, and how long that took."""
    frontend = Frontend()
    began = trio.current_time()
    async with trio.open_nursery() as nursery:
        if answers_others:
            nursery.start_soon(frontend.answer_others)

        async def grant_later():
            await trio.sleep(granted_after_s)
            frontend.grant("a")

        nursery.start_soon(grant_later)
        granted = await frontend.acquire("a")
        took_s = trio.current_time() - began
        nursery.cancel_scope.cancel()
    return granted, took_s


@case("a request is not placed blindly while its coordinator answers others")
def _():
    async def play():
        # A coordinator that is behind after a burst: the answer comes after 0.5 s.
        granted, took_s = await wait_for(0.5, True)
        assert (granted.coordinator, granted.endpoint) == (HOME, "e1"), granted
        assert took_s < 0.51, took_s

    trio.run(play, clock=MockClock(autojump_threshold=0))


@case("a request whose coordinator answers nobody, or not this one, is placed")
def _():
    async def play():
        granted, took_s = await wait_for(4.0, False)
        assert granted.coordinator == FALLBACK
        assert took_s < 0.25, took_s
        granted, took_s = await wait_for(4.0, True)
        assert granted.coordinator == FALLBACK
        assert LOST_S <= took_s < LOST_S + 0.25, took_s

    trio.run(play, clock=MockClock(autojump_threshold=0))


@case("requests that are stale are refused although reports keep coming")
def _():
    inbox = Inbox()
    patient = acquire("team-0/patient", KINDS[0], 10.0)
    urgent = acquire("team-0/urgent", KINDS[1], 10.0)
    inbox.put("frontend", urgent, 0.0, rank=2)
    inbox.put("frontend", patient, 0.0, rank=1)
    for number in range(100):
        grant = Grant(f"team-0/{number}", 1, "e1", False, ())
        inbox.put("frontend", grant, 0.0)
    assert inbox.take(0.01).message is not urgent
    # A tenth of the objective of 0.269 s has passed for one of them.
    assert inbox.take(0.03).message is urgent
    assert inbox.take(0.03).message is not patient
    assert inbox.take(0.07).message is patient
    assert len(inbox) == 98

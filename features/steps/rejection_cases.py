"""Test cases for endpoints that fall over when they reject too many requests."""

from collections import deque

import trio
from routed_cases import ask_in_turn, case, cut_links, replace_daemon

REJECTIONS_PER_S = 3
ENDPOINTS = 3
FALLS_ALLOWED = 2 + ENDPOINTS // 10
NARROW_AT_S = 3.0
"""Time after which endpoints have less room than their records say."""
PLAY_S = 10.0
WORK_S = 0.09
BACK_S = 1.0


class NarrowEndpoints:
    """Endpoints with little room that fall over when they reject too often.

    Attributes
    ----------
    room : int
        Requests that each takes at a time; its record says four.
    falls : list of float
        When one fell over.
    """

    def __init__(self, site):
        self.site = site
        self.room = 4
        self.active = {}
        self.rejections = {}
        self.falls = []
        self.answers = []
        self.number = 0

    async def answer(self, exchange):
        """Answer after some work, or reject for want of room."""
        endpoint = exchange.endpoint
        name = (b"Server-Brittle", b"%d" % REJECTIONS_PER_S)
        active = self.active.setdefault(id(endpoint), set())
        if len(active) >= self.room:
            await self._reject(exchange, name)
            return
        active.add(id(exchange))
        try:
            await trio.sleep(WORK_S)
            await exchange.send_complete(200, b"answer", name)
        finally:
            active.discard(id(exchange))

    async def _reject(self, exchange, name):
        now = trio.current_time()
        recent = self.rejections.setdefault(id(exchange.endpoint), deque())
        recent.append(now)
        while recent[0] < now - 1.0:
            recent.popleft()
        if len(recent) > REJECTIONS_PER_S:
            self.falls.append(now)
            exchange.endpoint.crash()
            return
        not_run = (b"X-Savorydyke-Not-Executed", b"1")
        await exchange.send_complete(503, b"", not_run, name)

    async def start(self, instances=3):
        """Start endpoints that come back after a fall, and instances."""
        for number in range(ENDPOINTS):
            self.site.nursery.start_soon(self._run_endpoint, number)
        for number in range(instances):
            await self.site.daemon(f"instance-{number}")
        await trio.sleep(1.0)

    async def _run_endpoint(self, number):
        name = f"s{number}"
        while True:
            endpoint = await self.site.endpoint(name, "desk", self.answer)
            while endpoint.ended_at is None:
                await trio.sleep(0.05)
            self.site.store.remove(f"servers/{name}")
            await trio.sleep(BACK_S)
            name = f"{name}-again"

    async def ask(self):
        """Send a request through the next instance."""
        self.number += 1
        answer = await ask_in_turn(self.site, self.number, "/claim/1")
        self.answers.append((trio.current_time(), answer))

    async def run(self, seconds=PLAY_S, pause_s=0.01):
        """Send more requests than there is room for."""
        started = trio.current_time()
        async with trio.open_nursery() as nursery:
            while trio.current_time() < started + seconds:
                if trio.current_time() > started + NARROW_AT_S:
                    self.room = 1
                nursery.start_soon(self.ask)
                await trio.sleep(pause_s)

    def check(self):
        """Check that few fell over, and that the room that there is was used."""
        assert len(self.falls) <= FALLS_ALLOWED, len(self.falls)
        end = self.answers[-1][0]
        served = [
            answer
            for at, answer in self.answers
            if answer is not None and answer.status == 200 and at > end - 4.0
        ]
        # Half of what three endpoints do that take one at a time.
        assert len(served) >= 0.5 * ENDPOINTS * 4.0 / (WORK_S + 0.02), len(served)


@case("endpoints that bear few rejections do not fall over in an overload")
async def _(site):
    traffic = NarrowEndpoints(site)
    await traffic.start()
    await traffic.run()
    traffic.check()


@case("endpoints that bear few rejections outlive a restart of all instances")
async def _(site):
    traffic = NarrowEndpoints(site)
    await traffic.start()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(traffic.run, PLAY_S + 4.0)
        await trio.sleep(NARROW_AT_S + 2.0)
        for daemon in list(site.daemons):
            nursery.start_soon(replace_daemon, site, daemon)
    traffic.check()


@case("endpoints that bear few rejections outlive instances without links")
async def _(site):
    cut_links(site)
    traffic = NarrowEndpoints(site)
    await traffic.start()
    await traffic.run()
    assert len(traffic.falls) <= FALLS_ALLOWED, len(traffic.falls)

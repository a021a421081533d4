"""Cases for the retry budget of a pool while its coordinator changes."""

import random
from dataclasses import dataclass, field

import trio
from decision_cases import CREW, POOL, configuration, record, unconnected_gateway
from decision_cases import case as decision
from routed_cases import case

from savorydyke._directory import build_manifest
from savorydyke._grant_client import Demand
from savorydyke._membership import rendezvous_score
from savorydyke._retry_budget import RetryBudget
from savorydyke_standins._routed_site import BOUNDS

RATIO, SLACK, WINDOW_S = 0.2, 54.0, 10.0
FAILING = 0.45
PER_S = 60.0
FEW_PER_S = 30.0
"""Few requests, so that most of the budget is its slack."""
ATTEMPTS = 3
SECONDS = 60.0
CHANGE_S = 5.5
"""Least time between two changes of the coordinator: two in a window."""


@dataclass
class Arrivals:
    """What callers have sent, and what has arrived beyond the first of each request."""

    sent: list[float] = field(default_factory=list)
    repeats: list[float] = field(default_factory=list)

    def excess(self):
        """Return by how much the worst window is above what is allowed."""
        return max((self._excess(end) for end in self.repeats), default=-SLACK)

    def _excess(self, end):
        begin = end - WINDOW_S
        count = sum(begin < at <= end for at in self.repeats)
        requests = max(
            sum(begin - back < at <= end - back for at in self.sent)
            for back in (0.0, WINDOW_S / 2, WINDOW_S)
        )
        return count - RATIO * requests - SLACK


def play(seed, per_s, fails):
    """Let one coordinator after the other give out the budget.

    Parameters
    ----------
    fails : callable
        Returns the share of requests that fail at a time.
    """
    rng, arrivals = random.Random(seed), Arrivals()
    budget = RetryBudget(RATIO, SLACK, WINDOW_S, opened=-2 * WINDOW_S)
    now, change_at = 0.0, CHANGE_S
    while now < SECONDS:
        now += rng.expovariate(per_s)
        if now >= change_at:
            budget = RetryBudget(RATIO, SLACK, WINDOW_S, opened=now)
            change_at = now + CHANGE_S * rng.uniform(1.0, 2.0)
        arrivals.sent.append(now)
        budget.count_request(now)
        for _ in range(ATTEMPTS - 1):
            if rng.random() >= fails(now) or not budget.take(now):
                break
            arrivals.repeats.append(now)
    return arrivals


@decision("coordinators that follow each other stay within one retry budget")
def _():
    def always(now):
        return FAILING

    def in_bursts(now):
        return 1.0 if now % 5.0 < 2.0 else 0.0

    for per_s in (FEW_PER_S / 5, FEW_PER_S, PER_S):
        for fails in (always, in_bursts):
            for seed in range(5):
                found = play(seed, per_s, fails)
                excess = found.excess()
                assert excess <= 0, (per_s, fails.__name__, seed, excess)
                # Half of the ratio is used at least.
                allowed = RATIO * len(found.sent)
                assert len(found.repeats) >= allowed / 2, (per_s, len(found.repeats))


@decision("an instance that places requests itself keeps to a retry budget")
def _():
    async def run():
        gateway = unconnected_gateway()
        records = {"a": record("a", 100), "b": record("b", 100)}
        gateway.directory.manifest = build_manifest(configuration(), records)
        gateway.fallback_quotas.limits = {}
        first = Demand("k", POOL, CREW, "", 1, 1, (), 9.0, False)
        again = Demand("k", POOL, CREW, "", 1, 1, (), 9.0, False, is_retry=True)
        assert gateway.place_fallback(again, ()) is None
        for _ in range(50):
            assert gateway.place_fallback(first, ()) is not None
        placed = sum(gateway.place_fallback(again, ()) is not None for _ in range(50))
        ratio = gateway.settings.bounds.retry_ratio
        assert 0 < placed <= ratio * 50, placed

    trio.run(run)


@case("retries stay within their budget when coordinators are killed")
async def _(site):
    async def answer(exchange):
        arrivals.append(exchange.request.headers[b"x-savorydyke-request-id"])
        await exchange.send_complete(500, b"failed")

    arrivals, sent = [], 0
    for number in range(4):
        await site.endpoint(f"e{number}", "desk", answer, slots=16)
    routes = [route | {"attempts": ATTEMPTS} for route in site.routes()]
    site.configure(routes=routes)
    bounds = BOUNDS | {"repeat_slack": SLACK, "repeat_ratio": RATIO}
    names = sorted(
        ("instance-0", "instance-1", "instance-2"),
        key=lambda name: rendezvous_score("desk", name),
    )
    for name in names:
        await site.daemon(name, bounds=bounds)
    await trio.sleep(1.0)

    async def ask(number):
        daemon = site.daemons[number % len(site.daemons)]
        try:
            caller = await site.connect(daemon.callers)
            headers = site.headers()
            await caller.request("GET", "/lookup/1", headers)
            await caller.stream.aclose()
        except (OSError, trio.BrokenResourceError):
            # The instance was killed.
            return

    async def ask_on(seconds):
        nonlocal sent
        until = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < until:
                nursery.start_soon(ask, sent)
                sent += 1
                await trio.sleep(1 / FEW_PER_S)

    # All of it lies within one window.
    begun = trio.current_time()
    await ask_on(2.5)
    coordinator = site.daemons.pop()
    coordinator.process.kill()
    coordinator.process.wait()
    await ask_on(1.5)
    # It coordinates again, and knows nothing of the others' time.
    again = await site.daemon(coordinator.name, bounds=bounds)
    await ask_on(3.0)
    assert again.process.poll() is None
    assert trio.current_time() - begun < WINDOW_S, trio.current_time() - begun
    repeats = len(arrivals) - len(set(arrivals))
    assert repeats <= RATIO * sent + SLACK, (repeats, sent)

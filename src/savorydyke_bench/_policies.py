"""Baselines that send to engines directly, and an oracle with fresh knowledge."""

import contextlib
import heapq
import itertools
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import httpx
import trio

from savorydyke._prefixes import prefix_digests, prefix_tokens
from savorydyke_bench._client import CallerRecord, Ended, chat, prompt_bytes
from savorydyke_bench._fleet import Fleet, Standin
from savorydyke_bench._load import CHARS_PER_TOKEN, Arrival, engine_s
from savorydyke_bench._sites import EngineSpec, Site

REPORT_S = 0.5
SEND_CHECK_S = 0.02

Send = Callable[[Arrival, CallerRecord], Awaitable[None]]


@dataclass
class Baseline:
    """Shared parts of policies that choose an engine in the load tool."""

    site: Site
    fleet: Fleet
    rng: random.Random
    reported: dict[str, int] = field(default_factory=dict)

    def engine(self, name: str) -> Standin:
        """Return an engine's stand-in."""
        return self.fleet.endpoints[name]

    async def send_to(self, name: str, arrival: Arrival, record: CallerRecord) -> None:
        """Send a request to an engine and take its answer."""
        address = self.engine(name).address
        key = arrival.team.key
        model = self.site.models[0]
        await chat(self.fleet.client, address, key, record, model)

    async def follow_reports(self) -> None:
        """Read the engines' lagging load reports until cancelled."""
        while True:
            for engine in self.site.engines:
                url = f"http://{self.engine(engine.name).address}/load"
                with contextlib.suppress(httpx.HTTPError):
                    report = (await self.fleet.client.get(url)).json()
                    self.reported[engine.name] = report["requests"]
            await trio.sleep(REPORT_S)


def random_choice(base: Baseline) -> Send:
    """Send each request to a random engine."""

    async def send(arrival: Arrival, record: CallerRecord) -> None:
        name = base.rng.choice(base.site.engines).name
        await base.send_to(name, arrival, record)

    return send


def round_robin(base: Baseline) -> Send:
    """Send requests to the engines in turn."""
    turns = itertools.cycle(base.site.engines)

    async def send(arrival: Arrival, record: CallerRecord) -> None:
        await base.send_to(next(turns).name, arrival, record)

    return send


def least_reported(base: Baseline) -> Send:
    """Send each request to the engine that reports the least load."""

    async def send(arrival: Arrival, record: CallerRecord) -> None:
        names = [engine.name for engine in base.site.engines]
        least = min(base.reported.get(name, 0) for name in names)
        name = base.rng.choice(
            [name for name in names if base.reported.get(name, 0) == least]
        )
        await base.send_to(name, arrival, record)

    return send


@dataclass
class OracleEngine:
    """What the oracle knows of an engine: all of it, at once."""

    spec: EngineSpec
    slowdown: float = 1.0
    active: int = 0
    prefill_until: float = 0.0
    cached: set[int] = field(default_factory=set)

    def uncached(self, arrival: Arrival) -> int:
        """Return the prompt tokens that the engine would have to process."""
        digests = prefix_digests(prompt_bytes(arrival.prompt))
        depth = max(
            (i + 1 for i, d in enumerate(digests) if d in self.cached), default=0
        )
        tokens = len(arrival.prompt) // CHARS_PER_TOKEN
        return max(1, tokens - prefix_tokens(depth))

    def finish_s(self, arrival: Arrival, now: float) -> float:
        """Return when the engine would end the request, from now."""
        wait_s = max(0.0, self.prefill_until - now)
        prefill_s = self.uncached(arrival) * self.slowdown / self.spec.prefill
        decode_s = arrival.output_tokens * self.slowdown / self.spec.decode
        return wait_s + prefill_s + decode_s


class Oracle:
    """Strict tiers, then shortest work first, with true speeds and caches.

    It sees every engine's true state at once, starts nothing that would be
    late, and pays no hop.
    """

    def __init__(self, base: Baseline, deadlines: dict[str, float]) -> None:
        self.base = base
        self.deadlines = deadlines
        self.ranks = {name: i for i, (name, _) in enumerate(base.site.tiers)}
        self.engines = {e.name: OracleEngine(e) for e in base.site.engines}
        self.queue: list[tuple[int, float, int, Arrival, CallerRecord, trio.Event]] = []
        self.chosen: dict[int, str] = {}

    async def send(self, arrival: Arrival, record: CallerRecord) -> None:
        """Queue a request, send it when it is its turn, or refuse it."""
        rank = self.ranks[arrival.team.tier]
        tokens = len(arrival.prompt) / CHARS_PER_TOKEN
        work_s = engine_s(self.base.site.engines[0], tokens, arrival.output_tokens)
        event = trio.Event()
        number = arrival.number
        heapq.heappush(self.queue, (rank, work_s, number, arrival, record, event))
        self._pump()
        await event.wait()
        name = self.chosen.pop(number, "")
        if not name:
            record.ended, record.reason = Ended.REFUSED, "oracle"
            record.not_run = True
            return
        try:
            await self.base.send_to(name, arrival, record)
        finally:
            self.engines[name].active -= 1
            self._pump()

    def _pump(self) -> None:
        now = time.monotonic()
        waiting = []
        while self.queue:
            item = heapq.heappop(self.queue)
            _, _, number, arrival, record, event = item
            left_s = record.sent + self.deadlines[arrival.team.tier] - now
            every = self.engines.values()
            if min(e.finish_s(arrival, now) for e in every) > left_s:
                event.set()
                continue
            free = [e for e in every if e.active < e.spec.slots]
            if not free:
                waiting.append(item)
                break
            best = min(free, key=lambda e: e.finish_s(arrival, now))
            if best.finish_s(arrival, now) > left_s:
                waiting.append(item)
                continue
            self._start(best, arrival, now)
            self.chosen[number] = best.spec.name
            event.set()
        for item in waiting:
            heapq.heappush(self.queue, item)

    def _start(self, engine: OracleEngine, arrival: Arrival, now: float) -> None:
        prefill_s = engine.uncached(arrival) * engine.slowdown / engine.spec.prefill
        engine.prefill_until = max(engine.prefill_until, now) + prefill_s
        engine.cached |= set(prefix_digests(prompt_bytes(arrival.prompt)))
        engine.active += 1

    async def follow_time(self) -> None:
        """Refuse what has become too late, until cancelled."""
        while True:
            await trio.sleep(SEND_CHECK_S)
            self._pump()

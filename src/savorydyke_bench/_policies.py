"""Baseline policies that send to engines directly, and an oracle."""

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

REPORT_POLL_S = 0.5
EXPIRY_CHECK_S = 0.02

Send = Callable[[Arrival, CallerRecord], Awaitable[None]]


@dataclass
class Baseline:
    """Shared state of the policies that choose an engine themselves."""

    site: Site
    fleet: Fleet
    rng: random.Random
    reported: dict[str, int] = field(default_factory=dict)

    def engine(self, name: str) -> Standin:
        """Return an engine's stand-in."""
        return self.fleet.endpoints[name]

    async def send_to(self, name: str, arrival: Arrival, record: CallerRecord) -> None:
        """Send a request to an engine and record its answer."""
        address = self.engine(name).address
        key = arrival.team.key
        model = self.site.models[0]
        await chat(self.fleet.client, address, key, record, model)

    async def poll_reports(self) -> None:
        """Poll the engines' delayed load reports until cancelled."""
        while True:
            for engine in self.site.engines:
                url = f"http://{self.engine(engine.name).address}/load"
                with contextlib.suppress(httpx.HTTPError):
                    report = (await self.fleet.client.get(url)).json()
                    self.reported[engine.name] = report["requests"]
            await trio.sleep(REPORT_POLL_S)


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
        lowest = min(base.reported.get(name, 0) for name in names)
        name = base.rng.choice(
            [name for name in names if base.reported.get(name, 0) == lowest]
        )
        await base.send_to(name, arrival, record)

    return send


@dataclass
class OracleEngine:
    """The true state of an engine, known without delay."""

    spec: EngineSpec
    slowdown: float = 1.0
    active: int = 0
    prefill_until: float = 0.0
    cached: set[int] = field(default_factory=set)

    def uncached(self, arrival: Arrival) -> int:
        """Return the prompt tokens that the engine's cache does not hold."""
        digests = prefix_digests(prompt_bytes(arrival.prompt))
        depth = max(
            (i + 1 for i, d in enumerate(digests) if d in self.cached), default=0
        )
        tokens = len(arrival.prompt) // CHARS_PER_TOKEN
        return max(1, tokens - prefix_tokens(depth))

    def time_to_finish_s(self, arrival: Arrival, now: float) -> float:
        """Return the time until the engine would complete the request, in seconds."""
        wait_s = max(0.0, self.prefill_until - now)
        prefill_s = self.uncached(arrival) * self.slowdown / self.spec.prefill
        decode_s = arrival.output_tokens * self.slowdown / self.spec.decode
        return wait_s + prefill_s + decode_s


class Oracle:
    """A policy with full knowledge: strict tiers, then shortest work first.

    It knows the true speed, load and cache of each engine without delay, refuses
    requests that would be late, and has no network hop.
    """

    def __init__(self, base: Baseline, deadlines: dict[str, float]) -> None:
        self.base = base
        self.deadlines = deadlines
        self.ranks = {name: i for i, (name, _) in enumerate(base.site.tiers)}
        self.engines = {e.name: OracleEngine(e) for e in base.site.engines}
        self.queue: list[tuple[int, float, int, Arrival, CallerRecord, trio.Event]] = []
        self.chosen: dict[int, str] = {}

    async def send(self, arrival: Arrival, record: CallerRecord) -> None:
        """Queue a request; send it when chosen, or refuse it if it would be late."""
        rank = self.ranks[arrival.team.tier]
        tokens = len(arrival.prompt) / CHARS_PER_TOKEN
        work_s = engine_s(self.base.site.engines[0], tokens, arrival.output_tokens)
        event = trio.Event()
        number = arrival.number
        heapq.heappush(self.queue, (rank, work_s, number, arrival, record, event))
        self._dispatch_queue()
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
            self._dispatch_queue()

    def _dispatch_queue(self) -> None:
        now = time.monotonic()
        deferred = []
        while self.queue:
            item = heapq.heappop(self.queue)
            _, _, number, arrival, record, event = item
            left_s = record.sent + self.deadlines[arrival.team.tier] - now
            engines = self.engines.values()
            if min(e.time_to_finish_s(arrival, now) for e in engines) > left_s:
                event.set()
                continue
            free = [e for e in engines if e.active < e.spec.slots]
            if not free:
                deferred.append(item)
                break
            best = min(free, key=lambda e: e.time_to_finish_s(arrival, now))
            if best.time_to_finish_s(arrival, now) > left_s:
                deferred.append(item)
                continue
            self._start(best, arrival, now)
            self.chosen[number] = best.spec.name
            event.set()
        for item in deferred:
            heapq.heappush(self.queue, item)

    def _start(self, engine: OracleEngine, arrival: Arrival, now: float) -> None:
        prefill_s = engine.uncached(arrival) * engine.slowdown / engine.spec.prefill
        engine.prefill_until = max(engine.prefill_until, now) + prefill_s
        engine.cached |= set(prefix_digests(prompt_bytes(arrival.prompt)))
        engine.active += 1

    async def refuse_expired(self) -> None:
        """Refuse queued requests that can no longer be in time, until cancelled."""
        while True:
            await trio.sleep(EXPIRY_CHECK_S)
            self._dispatch_queue()

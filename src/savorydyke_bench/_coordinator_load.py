"""``savorydyke-bench coordinator``: processor time of a coordinator for each message.

One pool scheduler serves a pool of 56 endpoints of three speeds in simulated time, with
the five kinds of requests of a deployment whose callers compete for too little
capacity. Callers who are refused come back once.
"""

import cProfile
import heapq
import io
import itertools
import json
import pstats
import random
import time
import zlib
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import typer

from savorydyke import read_manifest
from savorydyke._ids import (
    EndpointId,
    InstanceId,
    PoolId,
    ReleaseResult,
    RequestKey,
    TeamId,
)
from savorydyke._messages import Acquire, Grant, Refuse, Release, Started
from savorydyke._pool_scheduler import Decision, PoolScheduler, new_pool_scheduler
from savorydyke_bench._cost import manifest_value

POOL = PoolId("pool-0")
ENDPOINTS = 56
SLOTS = 6
TEAMS = 16
FRONTENDS = 70
PREFILL_TOKENS_PER_S = 85_200.0
STEP_S = 0.00277
TOKENS_PER_EVENT = 11
SPEEDS = (0.55, 1.0, 2.8)
"""Multiples of the usual time."""
FIRST_S = 0.02
TICK_S = 0.1
RETURN_SHARE = 0.33


@dataclass(frozen=True)
class Kind:
    """A kind of request; times in seconds, rates at the usual load."""

    urgency: int
    per_s: float
    prompt: int
    events: int
    objective_s: float
    deadline_s: float


KINDS = (
    Kind(0, 78, 6670, 35, 0.645, 10.8),
    Kind(1, 169, 688, 26, 0.269, 8.6),
    Kind(2, 165, 1860, 2, 0.322, 2.7),
    Kind(1, 147, 300, 1, 0.318, 3.2),
    Kind(2, 34, 300, 1, 0.317, 2.0),
)


@dataclass
class Load:
    """A coordinator under load, and what its messages cost.

    Attributes
    ----------
    spent_s : dict of str to list of float
        Processor time of each message, by kind.
    returned : set of RequestKey
        Requests whose callers have come back after a refusal.
    first_at : dict of RequestKey to float
        When the first event of each granted request comes.
    """

    scheduler: PoolScheduler
    rng: random.Random
    factor: dict[EndpointId, float]
    events: list[tuple[float, int, str, Any]] = field(default_factory=list)
    sequence: Any = field(default_factory=itertools.count)
    spent_s: defaultdict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    kinds: dict[RequestKey, Kind] = field(default_factory=dict)
    returned: set[RequestKey] = field(default_factory=set)
    first_at: dict[RequestKey, float] = field(default_factory=dict)
    granted: int = 0
    refused: int = 0

    def schedule(self, at: float, what: str, value: Any) -> None:
        """Schedule an event."""
        heapq.heappush(self.events, (at, next(self.sequence), what, value))


def frontend(key: RequestKey) -> InstanceId:
    return InstanceId(f"instance-{zlib.crc32(key.encode()) % FRONTENDS}")


def acquire(key: RequestKey, kind: Kind, left_s: float) -> Acquire:
    return Acquire(
        key=key,
        attempt=1,
        pool=POOL,
        team=TeamId(key.partition("/")[0]),
        model="model-0",
        prompt_tokens=kind.prompt,
        output_tokens=kind.events * TOKENS_PER_EVENT,
        prefix=(),
        deadline_ms=int(left_s * 1000),
        avoid=(),
        has_caller_id=False,
        resume_only=False,
        at_most_once=False,
        urgency=kind.urgency,
        objective_ms=int(kind.objective_s * 1000),
    )


def new_load(
    endpoints: int,
    load: float,
    seconds: float,
    seed: int,
    burst: Callable[[float], float] = lambda at: 1.0,
) -> Load:
    """Return a coordinator and the arrivals of a load.

    Parameters
    ----------
    load : float
        Multiple of what the endpoints can answer.
    burst : callable
        Returns a further multiple at a time.
    """
    value = manifest_value(TEAMS, 1, endpoints)
    value["tiers"] = [{"name": "tier-0"}]
    for team in value["teams"]:
        team["tier"] = "tier-0"
    for endpoint in value["endpoints"]:
        endpoint["max_concurrency"] = SLOTS
        endpoint["max_tokens"] = 445_680
        endpoint["prefill_tokens_per_s"] = PREFILL_TOKENS_PER_S
        endpoint["decode_tokens_per_s"] = TOKENS_PER_EVENT / STEP_S / SLOTS
    rng = random.Random(seed)
    manifest = read_manifest(json.dumps(value))
    scheduler = new_pool_scheduler(POOL, manifest, 0.0, rng)
    names = sorted(scheduler.endpoints)
    factor = {name: SPEEDS[i % 3] for i, name in enumerate(names)}
    result = Load(scheduler, rng, factor)
    capacity = sum(SLOTS / (_service_s(factor[n])) for n in names)
    scale = load * capacity / sum(kind.per_s for kind in KINDS)
    for index, kind in enumerate(KINDS):
        at = 0.0
        while (at := at + rng.expovariate(kind.per_s * scale * burst(at))) < seconds:
            # A few teams send most requests.
            team = int(TEAMS * rng.random() ** 2)
            key = RequestKey(f"team-{team}/{index}-{at:.9f}")
            result.kinds[key] = kind
            result.schedule(at, "acquire", (key, kind.deadline_s))
    for tick in range(int(seconds / TICK_S)):
        result.schedule(tick * TICK_S, "tick", None)
    return result


def _service_s(factor: float) -> float:
    """Return the mean time in a slot over all kinds."""
    total = sum(k.per_s * (_first_s(k, factor) + _decode_s(k, factor)) for k in KINDS)
    return total / sum(k.per_s for k in KINDS)


def _first_s(kind: Kind, factor: float) -> float:
    return factor * (FIRST_S + 2 * kind.prompt / PREFILL_TOKENS_PER_S)


def _decode_s(kind: Kind, factor: float) -> float:
    return factor * kind.events * TOKENS_PER_EVENT * STEP_S


def run_load(load: Load) -> None:
    """Play all events, and measure the processor time of each message."""
    scheduler, clock = load.scheduler, time.perf_counter
    while load.events:
        now, _, what, value = heapq.heappop(load.events)
        started = clock()
        if what == "acquire":
            key, left_s = value
            message = acquire(key, load.kinds[key], left_s)
            started = clock()
            decisions = scheduler.acquire(message, frontend(key), now)
        elif what == "started":
            decisions = scheduler.started(value, now)
        elif what == "release":
            decisions = scheduler.release(value, frontend(value.key), now)
        else:
            decisions = scheduler.tick(now)
        load.spent_s[what].append(clock() - started)
        for decision in decisions:
            follow(load, decision, now)


def follow(load: Load, decision: Decision, now: float) -> None:
    """Send a granted request to its endpoint; let a refused caller come back."""
    answer = decision.answer
    kind = load.kinds[answer.key]
    if isinstance(answer, Refuse):
        load.refused += 1
        if answer.key not in load.returned and answer.retry_ms >= 0:
            load.returned.add(answer.key)
            wait_s = min(answer.retry_ms / 1000, RETURN_SHARE * kind.deadline_s)
            left_s = kind.deadline_s - wait_s
            load.schedule(now + wait_s, "acquire", (answer.key, left_s))
        return
    assert isinstance(answer, Grant)
    factor = load.factor[answer.endpoint] * load.rng.uniform(0.8, 1.25)
    first_s, decode_s = _first_s(kind, factor), _decode_s(kind, factor)
    load.first_at[answer.key] = now + first_s
    load.granted += 1
    started = Started(answer.key, POOL, int(first_s * 1000))
    load.schedule(now + first_s, "started", started)
    release = Release(
        answer.key,
        answer.attempt,
        POOL,
        answer.endpoint,
        ReleaseResult.COMPLETE,
        kind.events * TOKENS_PER_EVENT,
        int(decode_s * 1000),
    )
    load.schedule(now + first_s + decode_s, "release", release)


def show(endpoints: int, loads: list[float], seconds: float, profile: bool) -> None:
    """Print what each message costs at several loads."""
    for factor in loads:
        load = new_load(endpoints, factor, seconds, seed=1)
        profiler = cProfile.Profile()
        if profile:
            profiler.enable()
        run_load(load)
        profiler.disable()
        parts = []
        for what, times in sorted(load.spent_s.items()):
            times.sort()
            mean, p99 = sum(times) / len(times), times[int(0.99 * len(times))]
            parts.append(f"{what} {len(times)} x {mean * 1e6:.0f} us")
            parts[-1] += f" (p99 {p99 * 1e6:.0f})"
        total_s = sum(map(sum, load.spent_s.values()))
        typer.echo(
            f"{endpoints} endpoints, load {factor}: {'; '.join(parts)}; "
            f"{total_s / seconds:.3f} core; granted {load.granted},"
            f" refused {load.refused}"
        )
        if profile:
            text = io.StringIO()
            pstats.Stats(profiler, stream=text).sort_stats("tottime").print_stats(25)
            typer.echo(text.getvalue())

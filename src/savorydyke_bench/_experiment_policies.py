"""The policies that an experiment compares: ours, baselines, and one that knows all.

Ours is the product's own cell. The baselines send at once and leave the waiting to
the engines. The greedy one keeps a queue and knows true speeds and lengths.
"""

import itertools
import json
import math
import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from savorydyke._directory import build_manifest
from savorydyke._ids import (
    DataCentreId,
    EndpointId,
    InstanceId,
    PoolId,
    ReleaseResult,
    RequestKey,
    TeamId,
)
from savorydyke._messages import Acquire, Grant, Release, Started
from savorydyke._pool_scheduler import Decision, PoolScheduler, new_pool_scheduler
from savorydyke.platform import EndpointRecord, read_configuration
from savorydyke_bench._engine_model import Engine, EngineSpec

POOL = PoolId("engines")
FRONTEND = InstanceId("entry")
TEAMS = 5
REPORT_LAG_S = 2.5
"""Age of the engines' own reports, as the users state it."""
ENGINE_QUEUE = 48
"""Requests that wait inside an engine before it rejects more."""
MIN_RETRY_S = 0.1
REJECTED_RETRY_S = 0.25


@dataclass(frozen=True)
class Arrival:
    """A request as it arrives.

    Attributes
    ----------
    hint : int
        Output tokens that its caller expects.
    """

    key: str
    at: float
    team: str
    rank: int
    prompt: int
    output: int
    hint: int
    objective_s: float
    abandon_after_s: float
    deadline_s: float
    worth: float


@dataclass(frozen=True)
class Sent:
    """A request goes to an engine."""

    key: str
    engine: str


@dataclass(frozen=True)
class Refused:
    """A request is refused, with a time to come back."""

    key: str
    retry_s: float


Action = Sent | Refused
Engines = dict[str, Engine]


@dataclass(frozen=True)
class Policy:
    """How a policy answers what happens.

    Attributes
    ----------
    arrive : callable
        A request arrives.
    first, done : callable
        Its first token has come; it has ended, whole or not.
    tick : callable
        Time has passed.
    predicted_s : callable
        Returns the predicted time to a request's first token, if any.
    """

    arrive: Callable[[Arrival, float, Engines], Iterable[Action]]
    first: Callable[[str, float, float], Iterable[Action]]
    done: Callable[[str, float, bool], Iterable[Action]]
    tick: Callable[[float, Engines], Iterable[Action]]
    predicted_s: Callable[[str], float | None] = lambda key: None


Maker = Callable[[tuple[EngineSpec, ...], random.Random], Policy]


# Ours


def _scheduler_of(engines: tuple[EngineSpec, ...], rng: random.Random) -> PoolScheduler:
    slots = engines[0].slots
    service = {
        "name": POOL,
        "backend": {"slots": slots, "kv_capacity": 460_000, "stride": 1},
    }
    teams = [{"name": f"team-{n}", "api_keys": [f"k{n}"]} for n in range(TEAMS)]
    value = {"version": 1, "routes": [], "services": [service], "tenants": teams}
    records = {
        EndpointId(spec.name): EndpointRecord(
            EndpointId(spec.name),
            POOL,
            "127.0.0.1:1",
            DataCentreId("a"),
            spec.slots,
            False,
            0.0,
            1,
        )
        for spec in engines
    }
    configuration = read_configuration(json.dumps(value).encode())
    scheduler = new_pool_scheduler(
        POOL, build_manifest(configuration, records), 0.0, rng
    )
    scheduler.capacity.min_retry_s = MIN_RETRY_S
    return scheduler


def ours(engines: tuple[EngineSpec, ...], rng: random.Random) -> Policy:
    """Return the product's cell."""
    return _with_scheduler(_scheduler_of(engines, rng), waits_late=True)


def ours_refusing_late(engines: tuple[EngineSpec, ...], rng: random.Random) -> Policy:
    """Return the product's cell as it was: what can not be on time is refused."""
    return _with_scheduler(_scheduler_of(engines, rng), waits_late=False)


def _with_scheduler(scheduler: PoolScheduler, waits_late: bool) -> Policy:
    placed: dict[str, str] = {}
    predicted: dict[str, float] = {}
    sizes: dict[str, tuple[int, float]] = {}

    def act(decisions: list[Decision]) -> list[Action]:
        actions: list[Action] = []
        for decision in decisions:
            answer = decision.answer
            if isinstance(answer, Grant):
                placed[answer.key] = answer.endpoint
                predicted[answer.key] = answer.first_ms / 1000
                actions.append(Sent(answer.key, answer.endpoint))
            else:
                actions.append(Refused(answer.key, max(0, answer.retry_ms) / 1000))
        return actions

    def arrive(arrival: Arrival, now: float, engines: Engines) -> list[Action]:
        sizes[arrival.key] = (arrival.output, now)
        message = _acquire(arrival, now)
        if not waits_late:
            message = replace(message, abandon_after_ms=message.objective_ms)
        return act(scheduler.acquire(message, FRONTEND, now))

    def first(key: str, first_s: float, now: float) -> list[Action]:
        sizes[key] = (sizes[key][0], now)
        return act(
            scheduler.started(Started(RequestKey(key), POOL, int(first_s * 1000)), now)
        )

    def done(key: str, now: float, whole: bool) -> list[Action]:
        endpoint = placed.pop(key, None)
        if endpoint is None:
            scheduler.withdraw(RequestKey(key))
            return []
        output, began = sizes[key]
        result = ReleaseResult.COMPLETE if whole else ReleaseResult.CANCELLED
        decode_ms = int((now - began) * 1000)
        release = Release(
            RequestKey(key), 1, POOL, EndpointId(endpoint), result, output, decode_ms
        )
        return act(scheduler.release(release, FRONTEND, now))

    def tick(now: float, engines: Engines) -> list[Action]:
        return act(scheduler.tick(now))

    return Policy(arrive, first, done, tick, predicted.get)


def _acquire(arrival: Arrival, now: float) -> Acquire:
    def left_ms(after_s: float) -> int:
        return max(0, int((arrival.at + after_s - now) * 1000))

    return Acquire(
        key=RequestKey(arrival.key),
        attempt=1,
        pool=POOL,
        team=TeamId(arrival.team),
        model="m",
        prompt_tokens=arrival.prompt,
        output_tokens=arrival.hint,
        prefix=(),
        deadline_ms=left_ms(arrival.deadline_s),
        avoid=(),
        has_caller_id=False,
        resume_only=False,
        at_most_once=False,
        urgency=arrival.rank,
        objective_ms=left_ms(arrival.objective_s),
        abandon_after_ms=left_ms(arrival.abandon_after_s),
    )


# Baselines


def _sending_at_once(choose: Callable[[float, Engines], str]) -> Policy:
    def arrive(arrival: Arrival, now: float, engines: Engines) -> list[Action]:
        name = choose(now, engines)
        if len(engines[name].waiting) >= ENGINE_QUEUE:
            return [Refused(arrival.key, REJECTED_RETRY_S)]
        return [Sent(arrival.key, name)]

    return Policy(
        arrive,
        lambda key, first_s, now: [],
        lambda key, now, whole: [],
        lambda now, engines: [],
    )


def random_choice(engines: tuple[EngineSpec, ...], rng: random.Random) -> Policy:
    """Send each request to a random engine."""
    return _sending_at_once(lambda now, found: rng.choice(sorted(found)))


def round_robin(engines: tuple[EngineSpec, ...], rng: random.Random) -> Policy:
    """Send requests to the engines in turn."""
    turns = itertools.cycle(spec.name for spec in engines)
    return _sending_at_once(lambda now, found: next(turns))


def least_reported(engines: tuple[EngineSpec, ...], rng: random.Random) -> Policy:
    """Send each request to the engine that reported the least load."""
    reported: Counter[str] = Counter()
    read = [-math.inf]

    def choose(now: float, found: Engines) -> str:
        if now - read[0] >= REPORT_LAG_S:
            read[0] = now
            reported.update({n: e.load() - reported[n] for n, e in found.items()})
        return min(sorted(found), key=lambda name: (reported[name], rng.random()))

    return _sending_at_once(choose)


# Greedy with full knowledge


def greedy(engines: tuple[EngineSpec, ...], rng: random.Random) -> Policy:
    """Fill each free slot with what earns most for its time, by true speeds."""
    queue: dict[str, Arrival] = {}
    known: list[Engines] = []

    def cost_s(arrival: Arrival, engine: Engine) -> float:
        spec = engine.spec
        speed = spec.speed / engine.slowdown
        step_s = spec.step_s + spec.step_s_a_run * spec.slots
        read_s = arrival.prompt / spec.prompt_tokens_per_s
        return (spec.first_s + read_s + arrival.output * step_s) / speed

    def value(arrival: Arrival, engine: Engine, now: float) -> float:
        cost = cost_s(arrival, engine)
        if now + cost > arrival.at + arrival.deadline_s:
            return -1.0
        on_time = now <= arrival.at + 0.8 * arrival.objective_s
        return arrival.worth * (1.0 if on_time else 0.1) / cost

    def fill(now: float) -> list[Action]:
        actions: list[Action] = []
        by_speed = sorted(
            known[0].values() if known else [],
            key=lambda engine: -engine.spec.speed / engine.slowdown,
        )
        for engine in by_speed:
            free = engine.spec.slots - engine.load()
            while free > 0 and queue:
                best = max(queue.values(), key=lambda a: value(a, engine, now))
                if value(best, engine, now) < 0:
                    break
                del queue[best.key]
                free -= 1
                actions.append(Sent(best.key, engine.spec.name))
        return actions

    def arrive(arrival: Arrival, now: float, found: Engines) -> list[Action]:
        known[:] = [found]
        queue[arrival.key] = arrival
        return fill(now)

    def done(key: str, now: float, whole: bool) -> list[Action]:
        queue.pop(key, None)
        return fill(now)

    return Policy(
        arrive,
        lambda key, first_s, now: [],
        done,
        lambda now, found: fill(now),
    )


POLICIES: dict[str, Maker] = {
    "ours": ours,
    "ours-no-late": ours_refusing_late,
    "random": random_choice,
    "round-robin": round_robin,
    "least-reported": least_reported,
    "greedy": greedy,
}

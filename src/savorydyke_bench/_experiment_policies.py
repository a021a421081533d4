"""The scheduling policies that an experiment compares.

"Ours" runs the product's pool scheduler. The baselines send every request at once,
so that queueing happens in the engines. The greedy policy keeps a queue and knows
the true speeds and output lengths.
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
TEAM_COUNT = 5
REPORT_LAG_S = 2.5
"""Age of the engines' own load reports, as stated by the users."""
ENGINE_QUEUE_LIMIT = 48
"""Requests that an engine queues before it rejects more."""
MIN_RETRY_S = 0.1
REJECTED_RETRY_S = 0.25


@dataclass(frozen=True)
class Arrival:
    """An arriving request.

    Attributes
    ----------
    hint : int
        Output tokens that its caller expects, unlike the true `output`.
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
    """Send a request to an engine."""

    key: str
    engine: str


@dataclass(frozen=True)
class Refused:
    """Refuse a request, with a time after which to retry."""

    key: str
    retry_s: float


Action = Sent | Refused
Engines = dict[str, Engine]


@dataclass(frozen=True)
class Policy:
    """Event handlers of a policy.

    Attributes
    ----------
    on_arrival : callable
        Called when a request arrives, at first or as a retry.
    on_first_token : callable
        Called with a request's time to the first token.
    on_end : callable
        Called when a request ends, complete or not.
    on_tick : callable
        Called at regular intervals.
    predicted_first_s : callable
        Returns a request's predicted time to the first token, or None.
    """

    on_arrival: Callable[[Arrival, float, Engines], Iterable[Action]]
    on_first_token: Callable[[str, float, float], Iterable[Action]]
    on_end: Callable[[str, float, bool], Iterable[Action]]
    on_tick: Callable[[float, Engines], Iterable[Action]]
    predicted_first_s: Callable[[str], float | None] = lambda key: None


PolicyFactory = Callable[[tuple[EngineSpec, ...], random.Random], Policy]


# The product's scheduler


def _scheduler_of(engines: tuple[EngineSpec, ...], rng: random.Random) -> PoolScheduler:
    slots = engines[0].slots
    service = {
        "name": POOL,
        "backend": {"slots": slots, "kv_capacity": 460_000, "stride": 1},
    }
    teams = [{"name": f"team-{n}", "api_keys": [f"k{n}"]} for n in range(TEAM_COUNT)]
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
    """Return a policy that runs the product's pool scheduler."""
    return _with_scheduler(_scheduler_of(engines, rng), queues_late=True)


def ours_refusing_late(engines: tuple[EngineSpec, ...], rng: random.Random) -> Policy:
    """Return a policy that runs the pool scheduler with an earlier rule.

    Requests that would miss their objective are refused, not queued as late ones.
    """
    return _with_scheduler(_scheduler_of(engines, rng), queues_late=False)


def _with_scheduler(scheduler: PoolScheduler, queues_late: bool) -> Policy:
    assigned: dict[str, str] = {}
    predicted: dict[str, float] = {}
    progress: dict[str, tuple[int, float]] = {}

    def to_actions(decisions: list[Decision]) -> list[Action]:
        actions: list[Action] = []
        for decision in decisions:
            answer = decision.answer
            if isinstance(answer, Grant):
                assigned[answer.key] = answer.endpoint
                predicted[answer.key] = answer.first_ms / 1000
                actions.append(Sent(answer.key, answer.endpoint))
            else:
                actions.append(Refused(answer.key, max(0, answer.retry_ms) / 1000))
        return actions

    def on_arrival(arrival: Arrival, now: float, engines: Engines) -> list[Action]:
        progress[arrival.key] = (arrival.output, now)
        message = _acquire_message(arrival, now)
        if not queues_late:
            message = replace(message, abandon_after_ms=message.objective_ms)
        return to_actions(scheduler.acquire(message, FRONTEND, now))

    def on_first_token(key: str, time_to_first_s: float, now: float) -> list[Action]:
        progress[key] = (progress[key][0], now)
        return to_actions(
            scheduler.started(
                Started(RequestKey(key), POOL, int(time_to_first_s * 1000)), now
            )
        )

    def on_end(key: str, now: float, is_complete: bool) -> list[Action]:
        endpoint = assigned.pop(key, None)
        if endpoint is None:
            scheduler.withdraw(RequestKey(key))
            return []
        output, started_at = progress[key]
        result = ReleaseResult.COMPLETE if is_complete else ReleaseResult.CANCELLED
        decode_ms = int((now - started_at) * 1000)
        release = Release(
            RequestKey(key), 1, POOL, EndpointId(endpoint), result, output, decode_ms
        )
        return to_actions(scheduler.release(release, FRONTEND, now))

    def on_tick(now: float, engines: Engines) -> list[Action]:
        return to_actions(scheduler.tick(now))

    return Policy(on_arrival, on_first_token, on_end, on_tick, predicted.get)


def _acquire_message(arrival: Arrival, now: float) -> Acquire:
    def remaining_ms(after_s: float) -> int:
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
        deadline_ms=remaining_ms(arrival.deadline_s),
        avoid=(),
        has_caller_id=False,
        resume_only=False,
        at_most_once=False,
        urgency=arrival.rank,
        objective_ms=remaining_ms(arrival.objective_s),
        abandon_after_ms=remaining_ms(arrival.abandon_after_s),
    )


# Baselines


def _immediate_policy(choose: Callable[[float, Engines], str]) -> Policy:
    def on_arrival(arrival: Arrival, now: float, engines: Engines) -> list[Action]:
        name = choose(now, engines)
        if len(engines[name].waiting) >= ENGINE_QUEUE_LIMIT:
            return [Refused(arrival.key, REJECTED_RETRY_S)]
        return [Sent(arrival.key, name)]

    return Policy(
        on_arrival,
        lambda key, time_to_first_s, now: [],
        lambda key, now, is_complete: [],
        lambda now, engines: [],
    )


def random_choice(engines: tuple[EngineSpec, ...], rng: random.Random) -> Policy:
    """Send each request to a random engine."""
    return _immediate_policy(lambda now, current: rng.choice(sorted(current)))


def round_robin(engines: tuple[EngineSpec, ...], rng: random.Random) -> Policy:
    """Send requests to the engines in turn."""
    turns = itertools.cycle(spec.name for spec in engines)
    return _immediate_policy(lambda now, current: next(turns))


def least_reported(engines: tuple[EngineSpec, ...], rng: random.Random) -> Policy:
    """Send each request to the engine that reported the least load."""
    reported: Counter[str] = Counter()
    last_read = [-math.inf]

    def choose(now: float, current: Engines) -> str:
        if now - last_read[0] >= REPORT_LAG_S:
            last_read[0] = now
            reported.update({n: e.load() - reported[n] for n, e in current.items()})
        return min(sorted(current), key=lambda name: (reported[name], rng.random()))

    return _immediate_policy(choose)


# Greedy policy with full knowledge


def greedy(engines: tuple[EngineSpec, ...], rng: random.Random) -> Policy:
    """Fill each free slot with the request of most credit per second of engine time.

    Engine times are computed from the true speeds and output lengths.
    """
    queue: dict[str, Arrival] = {}
    latest_engines: list[Engines] = []

    def cost_s(arrival: Arrival, engine: Engine) -> float:
        spec = engine.spec
        speed = spec.speed / engine.slowdown
        step_s = spec.step_s + spec.step_s_a_run * spec.slots
        prefill_s = arrival.prompt / spec.prompt_tokens_per_s
        return (spec.first_s + prefill_s + arrival.output * step_s) / speed

    def value(arrival: Arrival, engine: Engine, now: float) -> float:
        total_s = cost_s(arrival, engine)
        if now + total_s > arrival.at + arrival.deadline_s:
            return -1.0
        on_time = now <= arrival.at + 0.8 * arrival.objective_s
        return arrival.worth * (1.0 if on_time else 0.1) / total_s

    def fill_slots(now: float) -> list[Action]:
        actions: list[Action] = []
        by_speed = sorted(
            latest_engines[0].values() if latest_engines else [],
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

    def on_arrival(arrival: Arrival, now: float, current: Engines) -> list[Action]:
        latest_engines[:] = [current]
        queue[arrival.key] = arrival
        return fill_slots(now)

    def on_end(key: str, now: float, is_complete: bool) -> list[Action]:
        queue.pop(key, None)
        return fill_slots(now)

    return Policy(
        on_arrival,
        lambda key, time_to_first_s, now: [],
        on_end,
        lambda now, current: fill_slots(now),
    )


POLICIES: dict[str, PolicyFactory] = {
    "ours": ours,
    "ours-no-late": ours_refusing_late,
    "random": random_choice,
    "round-robin": round_robin,
    "least-reported": least_reported,
    "greedy": greedy,
}

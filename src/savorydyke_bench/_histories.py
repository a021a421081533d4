"""Runs a fleet under a seeded schedule of faults; records and checks its history."""

import random
import signal
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from typing import Any

import httpx
import trio
import typer

from savorydyke_bench._checkers import check_all
from savorydyke_bench._client import (
    CallerRecord,
    Ended,
    chat,
    new_id,
    resume,
    service_call,
)
from savorydyke_bench._fleet import Fleet, InstanceProcess, Standin, open_fleet
from savorydyke_bench._history import (
    Fault,
    History,
    ManifestUpdate,
    StatusSample,
    read_executions,
)
from savorydyke_bench._sites import EngineSpec, Site, TeamSpec

INSTANCES = 5
LOAD_S = 14.0
FAULT_PAUSE_S = (0.3, 1.2)
REQUESTS_PER_S = 30.0
CLAIM_SHARE = 0.3
LONG_SHARE = 0.1
LONG_TOKENS = (150, 250)
SHORT_TOKENS = (3, 60)
BURST_AT_S = 5.0
BURST_SIZE = 120
MAX_WAITING = 40
SETTLE_S = 6.0
ANSWER_LIMIT_S = 75.0
"""Time in which every request must have its final answer, including deadlines."""
RESUME_ATTEMPTS = 40
RETRY_PAUSE_S = 0.25
CLAIM_ATTEMPTS = 60
MODEL = "digest-model"

SITE = Site(
    name="histories",
    instances=INSTANCES,
    tiers=(("high", 20.0), ("middle", 20.0), ("low", 20.0)),
    teams=(
        TeamSpec("crews", "high", ("digest", "claims")),
        TeamSpec("drivers", "middle", ("digest", "claims")),
        TeamSpec("archive", "low", ("digest", "claims")),
        TeamSpec("guests", "low", ("digest", "claims")),
    ),
    model_pool="digest",
    models=(MODEL,),
    engines=(
        EngineSpec("engine-1", "dc-1", 20_000, 100, 8),
        EngineSpec("engine-2", "dc-1", 10_000, 80, 8),
        EngineSpec("engine-3", "dc-1", 5_000, 50, 4),
    ),
    service_pool="claims",
    services=(("desk-1", "dc-1"), ("desk-2", "dc-1")),
    hop_s=0.0,
    client_s=0.0,
)
ALWAYS_APPROVED = ("crews", "drivers", "archive")


@dataclass
class Relays:
    """Relays in front of an instance's peer address and between it and the platform."""

    peers: Standin
    platform: Standin


@dataclass
class Trial:
    """State of one run under faults.

    Attributes
    ----------
    disturbed : set of str
        Instances, or ``platform``, that currently have a fault.
    """

    fleet: Fleet
    rng: random.Random
    history: History
    client: httpx.AsyncClient
    relays: dict[str, Relays] = field(default_factory=dict)
    disturbed: set[str] = field(default_factory=set)
    leaving: set[str] = field(default_factory=set)
    approved: tuple[str, ...] = (*ALWAYS_APPROVED, "guests")
    is_loading: bool = True

    @property
    def faults(self) -> list[Callable[["Trial"], Awaitable[None]]]:
        """Return the faults that are injected with this seed."""
        return (
            FAULTS
            if self.history.seed % STABLE_MEMBERSHIP_EVERY
            else STABLE_MEMBERSHIP_FAULTS
        )

    def names(self) -> list[str]:
        """Return the names of all instances."""
        return list(self.fleet.instances)

    def pick(self) -> InstanceProcess:
        """Return a random instance."""
        return self.fleet.instances[self.rng.choice(self.names())]

    def pick_undisturbed(self) -> InstanceProcess | None:
        """Return a random instance without a fault, or None.

        A majority of the instances is always left without one.
        """
        names = [name for name in self.names() if name not in self.disturbed]
        if len(self.disturbed) >= INSTANCES // 2 or not names:
            return None
        return self.fleet.instances[self.rng.choice(names)]

    def record_fault(self, kind: str, target: str) -> Fault:
        """Add a fault that starts now to the history."""
        fault = Fault(kind, target, time.monotonic(), float("inf"))
        self.history.faults.append(fault)
        return fault


# Faults


async def _end_after(trial: Trial, fault: Fault, low: float, high: float) -> None:
    await trio.sleep(trial.rng.uniform(low, high))
    fault.end = time.monotonic()


async def _disturb_instance(
    trial: Trial,
    kind: str,
    disturb: Callable[[InstanceProcess, Fault], Awaitable[None]],
) -> None:
    instance = trial.pick_undisturbed()
    if instance is None:
        return
    trial.disturbed.add(instance.name)
    fault = trial.record_fault(kind, instance.name)
    try:
        await disturb(instance, fault)
    finally:
        fault.end = min(fault.end, time.monotonic())
        trial.disturbed.discard(instance.name)


async def kill(trial: Trial) -> None:
    """Kill an instance and start it again."""

    async def disturb(instance: InstanceProcess, fault: Fault) -> None:
        instance.signal(signal.SIGKILL)
        await _end_after(trial, fault, 0.2, 2.0)
        trial.fleet.start_instance(instance.name)
        await trio.sleep(1.0)

    await _disturb_instance(trial, "kill", disturb)


async def freeze(trial: Trial) -> None:
    """Pause an instance, for less or more than its peers' failure time-out."""

    async def disturb(instance: InstanceProcess, fault: Fault) -> None:
        instance.signal(signal.SIGSTOP)
        await _end_after(trial, fault, 0.3, 4.0)
        instance.signal(signal.SIGCONT)

    await _disturb_instance(trial, "freeze", disturb)


async def stop(trial: Trial) -> None:
    """Stop an instance gracefully and start it again."""

    async def disturb(instance: InstanceProcess, fault: Fault) -> None:
        instance.signal(signal.SIGTERM)
        process = instance.process
        with trio.move_on_after(25):
            while process is not None and process.poll() is None:
                await trio.sleep(0.05)
        status = process.poll() if process else None
        trial.history.exit_statuses[f"{instance.name} at {fault.start:.1f}"] = status
        fault.end = time.monotonic()
        trial.fleet.start_instance(instance.name)
        await trio.sleep(1.0)

    await _disturb_instance(trial, "stop", disturb)


async def cut_peers(trial: Trial) -> None:
    """Cut the connections that peers have opened to an instance."""

    async def disturb(instance: InstanceProcess, fault: Fault) -> None:
        relay = trial.relays[instance.name].peers
        await trial.fleet.control(relay, cut=True)
        await _end_after(trial, fault, 0.5, 4.0)
        await trial.fleet.control(relay, cut=False)

    await _disturb_instance(trial, "cut-peers", disturb)


async def cut_platform(trial: Trial) -> None:
    """Cut one instance off from the platform."""

    async def disturb(instance: InstanceProcess, fault: Fault) -> None:
        relay = trial.relays[instance.name].platform
        await trial.fleet.control(relay, cut=True)
        await _end_after(trial, fault, 1.0, 5.0)
        await trial.fleet.control(relay, cut=False)

    await _disturb_instance(trial, "cut-platform", disturb)


async def _disturb_platform(trial: Trial, kind: str, faults: dict, reset: dict) -> None:
    if "platform" in trial.disturbed:
        return
    trial.disturbed.add("platform")
    fault = trial.record_fault(kind, "")
    await trial.fleet.control(trial.fleet.platform, **faults)
    await _end_after(trial, fault, 0.5, 4.0)
    await trial.fleet.control(trial.fleet.platform, **reset)
    trial.disturbed.discard("platform")


async def platform_out(trial: Trial) -> None:
    """Make the platform unavailable to all instances."""
    await _disturb_platform(trial, "platform-out", {"out": True}, {"out": False})


async def platform_slow(trial: Trial) -> None:
    """Delay all answers of the platform."""
    faults = {"delay_s": trial.rng.uniform(0.1, 0.8)}
    await _disturb_platform(trial, "platform-slow", faults, {"delay_s": 0.0})


async def platform_lossy(trial: Trial) -> None:
    """Lose writes, answers to writes that took effect, and watch events."""
    faults = {"lost_answers": 0.4, "lost_writes": 0.2, "lost_events": 0.5}
    reset = dict.fromkeys(faults, 0.0)
    await _disturb_platform(trial, "platform-lossy", faults, reset)


async def engine_slow(trial: Trial) -> None:
    """Slow an engine down by a factor of 5."""
    engine = trial.fleet.endpoints[trial.rng.choice(SITE.engines).name]
    fault = trial.record_fault("engine-slow", engine.name)
    await trial.fleet.control(engine, slowdown=5.0)
    await _end_after(trial, fault, 1.0, 3.0)
    await trial.fleet.control(engine, slowdown=1.0)


async def engine_cut(trial: Trial) -> None:
    """Cut each new stream of an engine once, after a few events."""
    engine = trial.fleet.endpoints[trial.rng.choice(SITE.engines).name]
    fault = trial.record_fault("engine-cut", engine.name)
    await trial.fleet.control(engine, cut_after=trial.rng.randint(1, 8))
    await _end_after(trial, fault, 1.0, 3.0)
    await trial.fleet.control(engine, cut_after=0)


async def leave(trial: Trial) -> None:
    """Announce that an endpoint leaves, in the platform's list or in its own report."""
    name = trial.rng.choice(["engine-1", "engine-2", "desk-1"])
    if trial.leaving:
        return
    trial.leaving.add(name)
    endpoint = trial.fleet.endpoints[name]
    by_list = trial.rng.random() < 0.5 and "platform" not in trial.disturbed
    if by_list:
        await trial.fleet.publish_lists(leaving=frozenset({name}))
    else:
        await trial.fleet.control(endpoint, leaving=True)
    fault = trial.record_fault("leaving", name)
    await _end_after(trial, fault, 5.0, 7.0)
    await trial.fleet.publish_lists()
    await trial.fleet.control(endpoint, leaving=False)
    trial.leaving.discard(name)


async def race_operators(trial: Trial) -> None:
    """Apply two different manifests, made from the same revision, at the same time."""
    base = max([a.revision for a in trial.history.updates] or [1])
    trial.history.faults.append(
        Fault("operators-race", "", time.monotonic(), time.monotonic())
    )

    async def apply_manifest(approved: tuple[str, ...]) -> None:
        manifest = _manifest(trial.fleet, approved)
        instance = trial.pick()
        try:
            response = await trial.fleet.apply(manifest, base, instance.name)
        except httpx.HTTPError:
            response = {"result": "undecided"}
        now = time.monotonic()
        revision = response.get("revision", 0)
        result = str(response.get("result", "none"))
        trial.history.updates.append(
            ManifestUpdate(base, result, revision, now, approved)
        )

    async with trio.open_nursery() as nursery:
        nursery.start_soon(apply_manifest, ALWAYS_APPROVED)
        nursery.start_soon(apply_manifest, (*ALWAYS_APPROVED, "guests"))


STABLE_MEMBERSHIP_FAULTS: list[Callable[[Trial], Awaitable[None]]] = [
    platform_out,
    platform_slow,
    platform_lossy,
    engine_slow,
    engine_cut,
    leave,
    race_operators,
]
"""Faults under which every pool keeps one coordinator, so tier order must hold."""
FAULTS = [kill, freeze, stop, cut_peers, cut_platform, *STABLE_MEMBERSHIP_FAULTS]
STABLE_MEMBERSHIP_EVERY = 3
"""Seeds divisible by this get `STABLE_MEMBERSHIP_FAULTS` only."""


def _manifest(fleet: Fleet, approved: tuple[str, ...]) -> dict[str, Any]:
    unapproved = tuple(t.name for t in SITE.teams if t.name not in approved)
    manifest = replace(SITE, unapproved=unapproved).manifest(fleet)
    for pool in manifest["pools"]:
        pool["max_waiting"] = MAX_WAITING
    return manifest


# Load


async def _model_request(trial: Trial, tokens: int, duplicate_share: float) -> None:
    team = trial.rng.choice(SITE.teams)
    record = CallerRecord(
        new_id(),
        team.name,
        team.tier,
        "digest",
        prompt=f"{new_id()} " + "wind 247 deg; " * trial.rng.choice([1, 10, 100, 1000]),
        output_tokens=tokens,
    )
    trial.history.requests.append(record)
    is_duplicated = trial.rng.random() < duplicate_share
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_send_until_answered, trial, record, team.key)
        if is_duplicated:
            # Sends the same request id again, through any instance, at the same time.
            duplicate = replace(record, gaps_s=[], disconnects=[])
            trial.history.requests.append(duplicate)
            nursery.start_soon(_send_until_answered, trial, duplicate, team.key)


async def _send_until_answered(trial: Trial, record: CallerRecord, key: str) -> None:
    for attempt in range(RESUME_ATTEMPTS):
        instance = trial.pick()
        record.instance = instance.name
        if record.status and attempt:
            await resume(trial.client, instance.callers, key, record)
        else:
            record.resumed_count += attempt > 0
            await chat(trial.client, instance.callers, key, record, MODEL)
        if record.ended not in {Ended.TRUNCATED, Ended.NO_ANSWER}:
            return
        await trio.sleep(RETRY_PAUSE_S)


async def _claim(trial: Trial) -> None:
    """Send a claim under one key from one or two concurrent callers.

    Each caller retries until the claim completes, or until its outcome is reported
    as unknown after the load has ended, at most `CLAIM_ATTEMPTS` times.
    """
    team = trial.rng.choice([t for t in SITE.teams if t.name in ALWAYS_APPROVED])
    key = new_id()
    async with trio.open_nursery() as nursery:
        for _ in range(trial.rng.choice([1, 2])):
            nursery.start_soon(_claim_until_settled, trial, team, key)


async def _claim_until_settled(trial: Trial, team: TeamSpec, key: str) -> None:
    for _ in range(CLAIM_ATTEMPTS):
        instance = trial.pick()
        record = CallerRecord(
            new_id(),
            team.name,
            team.tier,
            "claims",
            prompt=f"farm {key}",
            idempotency_key=key,
            instance=instance.name,
            deadline_s=6.0,
        )
        trial.history.requests.append(record)
        body = {"farm": record.prompt}
        address = instance.callers
        await service_call(trial.client, address, team.key, record, "permits", body)
        if record.ended is Ended.COMPLETE:
            return
        if record.reason == "unknown-outcome" and not trial.is_loading:
            return
        await trio.sleep(trial.rng.uniform(0.2, 0.8))


async def _generate_load(trial: Trial, nursery: trio.Nursery) -> None:
    start = trio.current_time()
    burst_pending = True
    while trio.current_time() - start < LOAD_S:
        await trio.sleep(trial.rng.expovariate(REQUESTS_PER_S))
        if trial.rng.random() < CLAIM_SHARE:
            nursery.start_soon(_claim, trial)
        else:
            is_long = trial.rng.random() < LONG_SHARE
            tokens = trial.rng.randint(*(LONG_TOKENS if is_long else SHORT_TOKENS))
            nursery.start_soon(_model_request, trial, tokens, 0.1)
        if burst_pending and trio.current_time() - start > BURST_AT_S:
            burst_pending = False
            for _ in range(BURST_SIZE):
                nursery.start_soon(_model_request, trial, 30, 0.0)
    trial.is_loading = False


async def _inject_faults(trial: Trial, nursery: trio.Nursery) -> None:
    while trial.is_loading:
        await trio.sleep(trial.rng.uniform(*FAULT_PAUSE_S))
        if trial.is_loading:
            nursery.start_soon(trial.rng.choice(trial.faults), trial)


async def _sample_statuses(trial: Trial) -> None:
    while True:
        await trio.sleep(0.3)
        for instance in list(trial.fleet.instances.values()):
            requested_at = time.monotonic()
            with trio.move_on_after(1.0):
                status = await trial.fleet.status(instance)
                if status is not None:
                    sample = StatusSample(
                        instance.name,
                        requested_at,
                        time.monotonic(),
                        status["revision"],
                        status["ready"],
                    )
                    trial.history.statuses.append(sample)


# One run


async def _start_fleet(trial: Trial) -> None:
    fleet = trial.fleet
    SITE.add_endpoints(fleet)
    for number in range(INSTANCES):
        name = f"instance-{number + 1}"
        peers = fleet.ports.take()
        relays = Relays(
            fleet.add_relay(f"{name}-peers", peers),
            fleet.add_relay(f"{name}-platform", fleet.platform.address),
        )
        trial.relays[name] = relays
        platform = relays.platform.shape["wire"]
        advertise = relays.peers.shape["wire"]
        fleet.add_instance(name, platform, peers=peers, advertise=advertise)
    await fleet.wait_started()
    await fleet.publish_lists()
    response = await fleet.apply(_manifest(fleet, trial.approved), 0)
    applied_at = time.monotonic()
    if response.get("result") != "accepted":
        raise RuntimeError(f"the first manifest was not accepted: {response}")
    trial.history.updates.append(
        ManifestUpdate(0, "accepted", 1, applied_at, trial.approved)
    )
    await fleet.wait_ready()


async def run_seed(seed: int, keep_logs: str = "") -> History:
    """Run the fault schedule of a seed and return its history."""
    history = History(
        seed, tier_ranks={name: i for i, (name, _) in enumerate(SITE.tiers)}
    )
    with open_fleet() as fleet:
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=0)
        async with httpx.AsyncClient(
            timeout=30, limits=limits, trust_env=False
        ) as client:
            trial = Trial(fleet, random.Random(seed), history, client)
            await _start_fleet(trial)
            async with trio.open_nursery() as observers:
                observers.start_soon(_sample_statuses, trial)
                with trio.move_on_after(ANSWER_LIMIT_S) as limit:
                    async with trio.open_nursery() as nursery:
                        nursery.start_soon(_generate_load, trial, nursery)
                        nursery.start_soon(_inject_faults, trial, nursery)
                history.timed_out = limit.cancelled_caught
                await trio.sleep(SETTLE_S)
                observers.cancel_scope.cancel()
            for endpoint in fleet.endpoints.values():
                if endpoint.kind != "wire":
                    record = await fleet.record(endpoint)
                    history.executions += read_executions(endpoint.name, record)
        if keep_logs:
            fleet.copy_logs(f"{keep_logs}/seed-{seed}")
    return history


def report(history: History) -> int:
    """Print a summary of a history; return the number of violations."""
    faults = Counter(fault.kind for fault in history.faults)
    ended = Counter(record.ended.value for record in history.requests)
    reasons = Counter(r.reason for r in history.requests if r.ended is Ended.REFUSED)
    typer.echo(
        f"seed {history.seed}: {len(history.requests)} requests, "
        f"{len(history.executions)} runs, {_counts(ended)}"
    )
    typer.echo(f"  refused: {_counts(reasons)}")
    typer.echo(f"  faults: {_counts(faults)}")
    count = 0
    for point, violations in check_all(history).items():
        count += len(violations)
        typer.echo(f"  {point}: {len(violations)} violations")
        for violation in violations[:5]:
            typer.echo(f"    {violation}")
    return count


def _counts(counter: Counter) -> str:
    return ", ".join(f"{name} {count}" for name, count in sorted(counter.items()))

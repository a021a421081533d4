"""``make bench``: goodput by tier and wasted prefill, compared with baselines."""

import json
import random
import signal
import statistics
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass, field, replace
from functools import partial
from typing import Any

import httpx
import trio
import typer

from savorydyke._prefixes import prefix_tokens
from savorydyke_bench._client import CallerRecord, Ended, chat, new_id
from savorydyke_bench._fleet import Fleet, open_fleet
from savorydyke_bench._load import OVERLOADED, PHASES, Arrival, arrivals
from savorydyke_bench._policies import (
    Baseline,
    Oracle,
    Send,
    least_reported,
    random_choice,
    round_robin,
)
from savorydyke_bench._sites import SITES, Site

DEADLINES_S = (2.0, 4.0, 6.0)
"""Deadlines of the tiers, highest first, for the complete answer."""
SLOWDOWN = 5.0
STALE_LAG_S = 8.0
WARM_UP_S = 2.0
DRAIN_S = max(DEADLINES_S) + 1.0
OURS = "ours"
BASELINES: dict[str, Callable[[Baseline], Send]] = {
    "random": random_choice,
    "round-robin": round_robin,
    "least-reported": least_reported,
}
ORACLE = "oracle"
POLICIES = (OURS, *BASELINES, ORACLE)


@dataclass
class Trial:
    """One policy on one site.

    Attributes
    ----------
    slowdown : callable
        Called with an engine and the factor by which it is slowed down.
    """

    site: Site
    policy: str
    fleet: Fleet
    send: Send
    slowdown: Callable[[str, float], None] = field(default=lambda name, factor: None)
    records: list[tuple[Arrival, CallerRecord]] = field(default_factory=list)


@dataclass
class PhaseResult:
    """Results of a policy in one phase.

    Attributes
    ----------
    goodput, offered : dict
        Requests per second by tier, answered in time and sent.
    first_ms, gap_ms : tuple of float
        Median and 95th percentile of the time to the first byte, by tier, and of
        the time between the received chunks of streamed answers.
    refused : dict
        Number of refusals by reason.
    prefill, wasted, recomputed : int
        Prompt tokens prefilled, prefilled for requests not answered in time, and
        prefilled although another engine's cache held them.
    """

    goodput: dict[str, float]
    offered: dict[str, float]
    first_ms: dict[str, tuple[float, float]]
    gap_ms: tuple[float, float]
    refused: dict[str, int]
    prefill: int
    wasted: int
    recomputed: int


def bench_site(site: Site) -> Site:
    """Return the site with the deadlines of the benchmark."""
    names = [name for name, _ in site.tiers]
    return replace(site, tiers=tuple(zip(names, DEADLINES_S, strict=True)))


# Phases


async def _apply_phase_faults(trial: Trial, phase: str) -> None:
    """Inject the faults of a phase and end those of the phase before."""
    fleet, engines = trial.fleet, trial.site.engines
    first = fleet.endpoints[engines[0].name]
    if phase == "slowed":
        await fleet.control(first, slowdown=SLOWDOWN)
        trial.slowdown(first.name, SLOWDOWN)
    elif phase == "stale":
        await fleet.control(first, slowdown=1.0)
        trial.slowdown(first.name, 1.0)
        for engine in engines:
            standin = fleet.endpoints[engine.name]
            await fleet.control(standin, report_lag_s=STALE_LAG_S)
    elif phase == "killed":
        for engine in engines:
            await fleet.control(fleet.endpoints[engine.name], report_lag_s=0.5)
        if trial.policy == OURS:
            list(fleet.instances.values())[-1].signal(signal.SIGKILL)
    elif phase == "platform-out" and trial.policy == OURS:
        await fleet.control(fleet.platform, out=True)


async def _run_phases(trial: Trial) -> None:
    for phase in PHASES:
        await _apply_phase_faults(trial, phase.name)
        await trio.sleep(phase.seconds)


# Sending


def _through_instances(trial: Trial) -> Send:
    """Send to a random running instance, as a load balancer would.

    Without an answer, up to three attempts are made, each with a new request id.
    """
    rng = random.Random(5)
    model = trial.site.models[0]

    async def send(arrival: Arrival, record: CallerRecord) -> None:
        for _ in range(3):
            running = [i for i in trial.fleet.instances.values() if i.is_running()]
            address = rng.choice(running).callers
            await trio.sleep(trial.site.client_s)
            record.request_id = new_id()
            await chat(trial.fleet.client, address, arrival.team.key, record, model)
            if record.ended is not Ended.NO_ANSWER:
                return

    return send


async def _send_all(trial: Trial, seed: int) -> None:
    start = trio.current_time()
    deadlines = dict(trial.site.tiers)
    async with trio.open_nursery() as nursery:
        for arrival in arrivals(trial.site, seed):
            await trio.sleep_until(start + arrival.at)
            record = CallerRecord(
                new_id(),
                arrival.team.name,
                arrival.team.tier,
                trial.site.model_pool,
                prompt=arrival.prompt,
                output_tokens=arrival.output_tokens,
                sent=time.monotonic(),
                deadline_s=deadlines[arrival.team.tier],
            )
            trial.records.append((arrival, record))
            nursery.start_soon(trial.send, arrival, record)


async def run_policy(site: Site, policy: str, seed: int) -> dict[str, Any]:
    """Run all phases under one policy and return the results of each phase."""
    with open_fleet() as fleet:
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=200)
        fleet.client = httpx.AsyncClient(timeout=40, limits=limits, trust_env=False)
        trial = Trial(site, policy, fleet, send=_unset)
        if policy == OURS:
            await site.start(fleet)
        else:
            await site.start_endpoints(fleet)
        base = Baseline(site, fleet, random.Random(seed))
        background_tasks: list[Callable[[], Awaitable[None]]] = [base.poll_reports]
        if policy == OURS:
            trial.send = _through_instances(trial)
            background_tasks = []
        elif policy == ORACLE:
            trial.send, background_tasks = _oracle(trial, base)
        else:
            trial.send = BASELINES[policy](base)
        await trio.sleep(WARM_UP_S)
        async with trio.open_nursery() as nursery:
            for task in background_tasks:
                nursery.start_soon(task)
            # Requests that have no answer by then have missed their deadline.
            with trio.move_on_after(sum(p.seconds for p in PHASES) + DRAIN_S):
                async with trio.open_nursery() as sending:
                    sending.start_soon(_run_phases, trial)
                    sending.start_soon(_send_all, trial, seed)
            nursery.cancel_scope.cancel()
        prefills = await _prefills(trial)
        await fleet.client.aclose()
    return summarise(trial, prefills)


async def _unset(arrival: Arrival, record: CallerRecord) -> None:
    raise RuntimeError("no policy was set")


def _oracle(
    trial: Trial, base: Baseline
) -> tuple[Send, list[Callable[[], Awaitable[None]]]]:
    oracle = Oracle(base, dict(trial.site.tiers))

    def slow(name: str, factor: float) -> None:
        oracle.engines[name].slowdown = factor

    trial.slowdown = slow
    return oracle.send, [oracle.refuse_expired]


async def _prefills(trial: Trial) -> list[dict[str, Any]]:
    found = []
    for engine in trial.site.engines:
        record = await trial.fleet.record(trial.fleet.endpoints[engine.name])
        found += [
            {**entry, "engine": engine.name}
            for entry in record
            if entry["kind"] == "prefill"
        ]
    return sorted(found, key=lambda entry: entry["at"])


# Results


def is_in_time(record: CallerRecord) -> bool:
    """Return whether the complete answer came within the deadline."""
    return record.ended is Ended.COMPLETE and record.total_s <= record.deadline_s


def summarise(trial: Trial, prefills: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the results of each phase."""
    recomputed = _recomputed(prefills)
    by_id = {entry["id"].partition("~")[2] or entry["id"]: entry for entry in prefills}
    results = {}
    for phase in PHASES:
        in_phase = [r for arrival, r in trial.records if arrival.phase == phase.name]
        results[phase.name] = _phase_result(
            trial.site, in_phase, by_id, recomputed, phase.seconds
        )
    return {name: asdict(result) for name, result in results.items()}


def _phase_result(
    site: Site,
    records: list[CallerRecord],
    by_id: dict[str, dict[str, Any]],
    recomputed: dict[str, int],
    seconds: float,
) -> PhaseResult:
    goodput, offered, first_ms = {}, {}, {}
    for tier, _ in site.tiers:
        of_tier = [record for record in records if record.tier == tier]
        goodput[tier] = sum(map(is_in_time, of_tier)) / seconds
        offered[tier] = len(of_tier) / seconds
        first_ms[tier] = _percentiles([r.first_s for r in of_tier if r.first_s])
    prefill = wasted = recomputed_tokens = 0
    for record in records:
        entry = by_id.get(record.request_id)
        if entry is None:
            continue
        prefill += entry["uncached"]
        recomputed_tokens += recomputed.get(entry["id"], 0)
        if not is_in_time(record):
            wasted += entry["uncached"]
    gaps = [gap for record in records for gap in record.gaps_s]
    refused = Counter(r.reason for r in records if r.ended is Ended.REFUSED)
    return PhaseResult(
        goodput,
        offered,
        first_ms,
        _percentiles(gaps),
        dict(refused),
        prefill,
        wasted,
        recomputed_tokens,
    )


def _percentiles(seconds: list[float]) -> tuple[float, float]:
    if len(seconds) < 2:
        return (0.0, 0.0)
    cuts = statistics.quantiles(seconds, n=100)
    return (cuts[49] * 1000, cuts[94] * 1000)


def _recomputed(prefills: list[dict[str, Any]]) -> dict[str, int]:
    """Return, by request, prompt tokens that another engine's cache held."""
    seen: dict[str, set[int]] = {}
    recomputed_tokens: dict[str, int] = {}
    for entry in prefills:
        digests = entry["digests"]
        best = max(
            (
                i + 1
                for i, d in enumerate(digests)
                if any(d in s for s in seen.values())
            ),
            default=0,
        )
        if best > entry["depth"]:
            recomputed_tokens[entry["id"]] = prefix_tokens(best) - prefix_tokens(
                entry["depth"]
            )
        seen.setdefault(entry["engine"], set()).update(digests)
    return recomputed_tokens


# Reporting


async def run(seed: int, names: list[str], policies: list[str], lanes: int) -> dict:
    """Run each policy on each site, `lanes` at a time, and return all results."""
    results: dict[str, dict[str, Any]] = {name: {} for name in names}
    limiter = trio.CapacityLimiter(lanes)

    async def run_one(name: str, policy: str) -> None:
        async with limiter:
            site = bench_site(SITES[name])
            results[name][policy] = await run_policy(site, policy, seed)
            typer.echo(f"  {name}: {policy} done", err=True)

    async with trio.open_nursery() as nursery:
        for name in names:
            for policy in policies:
                nursery.start_soon(partial(run_one, name, policy))
    return results


def show(results: dict[str, Any], report: str) -> None:
    """Print a table for each site, and write a JSON report if a path is given."""
    for name, by_policy in results.items():
        typer.echo(f"\n{name}")
        for phase in PHASES:
            typer.echo(f" {phase.name}")
            for policy in POLICIES:
                if policy in by_policy:
                    typer.echo(_format_result(policy, by_policy[policy][phase.name]))
        typer.echo(_format_ratios(name, by_policy))
    if report:
        with open(report, "w", encoding="utf-8") as file:
            json.dump(results, file, indent=1)


def _format_result(policy: str, result: dict[str, Any]) -> str:
    goodput = "  ".join(
        f"{tier} {value:5.1f}/{result['offered'][tier]:5.1f}"
        for tier, value in result["goodput"].items()
    )
    share = 100 * result["wasted"] / max(1, result["prefill"])
    first = next(iter(result["first_ms"].values()))
    refused = ", ".join(f"{k} {v}" for k, v in sorted(result["refused"].items()))
    return (
        f"  {policy:14} {goodput}  wasted {result['wasted']:7} ({share:4.1f}%)"
        f"  again {result['recomputed']:6}"
        f"  top first {first[0]:5.0f}/{first[1]:5.0f} ms"
        f"  gap {result['gap_ms'][0]:4.0f}/{result['gap_ms'][1]:4.0f} ms  {refused}"
    )


def _totals(by_phase: dict[str, Any]) -> tuple[float, int]:
    """Return top-tier goodput and wasted prefill of the overloaded phases."""
    phases = [by_phase[name] for name in sorted(OVERLOADED)]
    goodput = sum(next(iter(phase["goodput"].values())) for phase in phases)
    wasted = sum(phase["wasted"] + phase["recomputed"] for phase in phases)
    return goodput, wasted


def _format_ratios(name: str, by_policy: dict[str, Any]) -> str:
    if not {OURS, *BASELINES} <= by_policy.keys():
        return ""
    goodput, wasted = _totals(by_policy[OURS])
    baseline_totals = [_totals(by_policy[policy]) for policy in BASELINES]
    best_goodput = max(value for value, _ in baseline_totals)
    best_wasted = min(value for _, value in baseline_totals)
    text = (
        f" {name}: top-tier goodput {goodput / max(0.01, best_goodput):.2f} of the "
        f"best baseline, wasted prefill {wasted / max(1, best_wasted):.2f} of the best"
    )
    if ORACLE in by_policy:
        oracle, _ = _totals(by_policy[ORACLE])
        text += f", top-tier goodput {goodput / max(0.01, oracle):.2f} of the oracle"
    return text

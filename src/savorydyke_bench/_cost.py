"""Measures how processor time, bytes and memory grow with size.

Each cost is measured at four or more sizes and fitted by a line.
"""

import json
import random
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import typer

from savorydyke import hash_key, read_manifest
from savorydyke._configuration import Record
from savorydyke._ids import (
    DataCentreId,
    EndpointId,
    InstanceId,
    PoolId,
    ReleaseResult,
    RequestKey,
    Revision,
    TeamId,
)
from savorydyke._manifest import Manifest
from savorydyke._membership import Membership
from savorydyke._messages import (
    Acquire,
    Grant,
    Heartbeat,
    MemberRow,
    Message,
    Register,
    Release,
    RunningRow,
    Started,
    Withdraw,
    decode,
    encode,
)
from savorydyke._pool_scheduler import PoolScheduler, new_pool_scheduler

POOL = PoolId("pool-0")
REPETITIONS = 3


@dataclass
class Measurement:
    """A quantity measured at several sizes, and the line fitted to it.

    Attributes
    ----------
    unit : str
        Unit of the values.
    per : str
        Unit of the sizes.
    """

    name: str
    unit: str
    per: str
    points: list[tuple[float, float]] = field(default_factory=list)

    def line(self) -> tuple[float, float]:
        """Return the slope and offset of the least-squares line."""
        count = len(self.points)
        mean_x = sum(x for x, _ in self.points) / count
        mean_y = sum(y for _, y in self.points) / count
        variance = sum((x - mean_x) ** 2 for x, _ in self.points)
        covariance = sum((x - mean_x) * (y - mean_y) for x, y in self.points)
        slope = covariance / variance if variance else 0.0
        return slope, mean_y - slope * mean_x

    def to_json(self) -> dict[str, Any]:
        """Return the entry of the JSON report."""
        slope, offset = self.line()
        return {**vars(self), "slope": slope, "offset": offset}

    def to_text(self) -> str:
        """Return the measurement as a line of text."""
        slope, offset = self.line()
        sizes = ", ".join(f"{x:g}: {y:.4g}" for x, y in self.points)
        return (
            f"{self.name}: {slope:.4g} {self.unit} per {self.per} "
            f"+ {offset:.4g} {self.unit} ({sizes})"
        )


def min_processor_s(action: Callable[[], Any], repetitions: int = REPETITIONS) -> float:
    """Return the minimum processor time of several runs, in seconds."""
    times = []
    for _ in range(repetitions):
        start = time.process_time()
        action()
        times.append(time.process_time() - start)
    return min(times)


def retained_bytes(make: Callable[[], Any]) -> int:
    """Return the memory held by the value that `make` returns."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = make()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return after - before


# Test data


def manifest_value(teams: int, pools: int, endpoints: int) -> dict[str, Any]:
    """Return a manifest in which each team has access to three pools."""
    access = [
        {"team": f"team-{t}", "pool": f"pool-{(t + i) % pools}"}
        for t in range(teams)
        for i in range(min(3, pools))
    ]
    return {
        "tiers": [{"name": f"tier-{i}"} for i in range(5)],
        "teams": [
            {
                "name": f"team-{t}",
                "tier": f"tier-{t % 5}",
                "keys": [hash_key(f"key-{t}", "00112233")],
                "max_waiting": 1_000_000,
            }
            for t in range(teams)
        ],
        "pools": [
            {
                "name": f"pool-{i}",
                "kind": "engine",
                "models": [f"model-{i}"],
                "max_waiting": 1_000_000,
            }
            for i in range(pools)
        ],
        "endpoints": [
            {
                "name": f"endpoint-{i}",
                "pool": f"pool-{i % pools}",
                "address": f"10.0.{i // 250}.{i % 250 + 1}:8000",
                "data_centre": f"dc-{i % 7}",
                "owner": f"owner-{i % pools}",
                "resumes": True,
                "max_concurrency": 16,
            }
            for i in range(endpoints)
        ],
        "access": access,
        "approvals": [
            {
                **item,
                "owner": f"owner-{item['pool'].removeprefix('pool-')}",
                "by": "lead",
                "at": "2026-12-01T08:00:00Z",
            }
            for item in access
        ],
    }


def make_manifest(teams: int, pools: int, endpoints: int) -> Manifest:
    """Return a validated manifest."""
    return read_manifest(json.dumps(manifest_value(teams, pools, endpoints)))


def make_acquire(number: int, team: int = 0) -> Acquire:
    """Return an acquire message with the sizes of the expected load."""
    return Acquire(
        key=RequestKey(f"team-{team}/{number:024x}"),
        attempt=number,
        pool=POOL,
        team=TeamId(f"team-{team}"),
        model="model-0",
        prompt_tokens=800,
        output_tokens=270,
        prefix=(2**63 + 1, 2**63 + 2),
        deadline_ms=600_000_000,
        avoid=(),
        has_caller_id=False,
        resume_only=False,
        at_most_once=False,
    )


def make_release(grant: Grant) -> Release:
    """Return the release message of a grant after a complete answer."""
    return Release(
        grant.key,
        grant.attempt,
        POOL,
        grant.endpoint,
        ReleaseResult.COMPLETE,
        270,
        7000,
    )


def full_scheduler(manifest: Manifest, waiting: int) -> PoolScheduler:
    """Return a pool scheduler with no free credits and with queued requests."""
    scheduler = new_pool_scheduler(POOL, manifest, 0.0, random.Random(1))
    frontend = InstanceId("entry")
    number = 0
    while len(scheduler.queue) < waiting:
        scheduler.acquire(make_acquire(number, number % 8 * 5), frontend, 1.0)
        number += 1
    return scheduler


# Measurements


def measure_decisions(by_endpoints: bool) -> Measurement:
    """Measure the decisions for a request: acquire, started, release."""
    per = "endpoint of the cell" if by_endpoints else "waiting request"
    result = Measurement(f"decisions for a request, by {per}", "us", per)
    sizes = [(2, 0), (12, 0), (45, 0), (600, 0)]
    if not by_endpoints:
        sizes = [(6, 100), (6, 400), (6, 1600), (6, 6400)]
    for endpoints, waiting in sizes:
        manifest = make_manifest(40, 1, endpoints)
        total_s = min(
            _time_cycles(full_scheduler(manifest, waiting)) for _ in range(REPETITIONS)
        )
        size = endpoints if by_endpoints else waiting
        result.points.append((size, total_s / CYCLES * 1e6))
    return result


CYCLES = 400


def _time_cycles(scheduler: PoolScheduler) -> float:
    start = time.process_time()
    _run_cycles(scheduler)
    return time.process_time() - start


def _run_cycles(scheduler: PoolScheduler) -> None:
    frontend = InstanceId("entry")
    granted: list[Grant] = []
    for number in range(CYCLES):
        message = make_acquire(1_000_000 + number)
        decisions = scheduler.acquire(message, frontend, 2.0)
        granted += [d.answer for d in decisions if isinstance(d.answer, Grant)]
        if not granted:
            granted.append(_running_grant(scheduler))
        grant = granted.pop(0)
        later = scheduler.started(Started(grant.key, POOL, 50), 2.1)
        later += scheduler.release(make_release(grant), frontend, 2.2)
        granted += [d.answer for d in later if isinstance(d.answer, Grant)]


def _running_grant(scheduler: PoolScheduler) -> Grant:
    """Return the grant of any running request."""
    key, endpoint = next(iter(scheduler.placed.items()))
    attempt = scheduler.endpoints[endpoint].running[key].attempt
    return Grant(key, attempt, endpoint, resume=False, probe=())


def measure_waiting_memory() -> Measurement:
    """Measure the memory of a queued request at the coordinator."""
    result = Measurement("home's memory", "bytes", "waiting request")
    manifest = make_manifest(40, 1, 6)
    for waiting in (500, 1000, 2000, 4000):
        retained = retained_bytes(lambda w=waiting: full_scheduler(manifest, w))  # type: ignore[misc]
        result.points.append((waiting, retained))
    return result


def measure_manifest(unit: str) -> Measurement:
    """Measure a manifest's stored bytes, memory or parsing time by number of teams."""
    result = Measurement(f"manifest's {unit}", unit, "team (2 endpoints each)")
    for teams in (36, 72, 145, 290):
        text = json.dumps(manifest_value(teams, 36, 2 * teams))
        if unit == "bytes of record":
            record = Record(Revision(1), "operator", "2026", "token", text)
            value: float = len(record.to_bytes())
        elif unit == "bytes of memory":
            value = retained_bytes(lambda t=text: read_manifest(t))  # type: ignore[misc]
        else:
            value = min_processor_s(lambda t=text: read_manifest(t)) * 1e3  # type: ignore[misc]
        result.points.append((teams, value))
    return result


def _membership(count: int) -> Membership:
    membership = Membership(
        InstanceId("me"), "10.0.0.1:7000", DataCentreId("dc-1"), 1_700_000_000_000
    )
    for number in range(count):
        membership.merge_row(_row(number, 1), 0.0)
    membership.update(0.0)
    return membership


def _row(number: int, counter: int) -> MemberRow:
    return MemberRow(
        InstanceId(f"instance-{number:03}"),
        f"10.0.{number // 250}.{number % 250}:7000",
        f"dc-{number % 7}",
        1_700_000_000_000 + number,
        100_000 + counter,
        350,
        False,
    )


def make_heartbeat(rows: tuple[MemberRow, ...]) -> Heartbeat:
    """Return a heartbeat with the given member rows."""
    return Heartbeat(100_000, 100_000, False, Revision(4000), 1200, (), rows)


def measure_heartbeat(unit: str) -> Measurement:
    """Measure a heartbeat that carries the rows of all members."""
    result = Measurement(f"heartbeat with all rows, {unit}", unit, "instance")
    for count in (9, 50, 100, 200, 400):
        rows = tuple(_row(number, 2) for number in range(count))
        heartbeat = make_heartbeat(rows)
        frame = encode([heartbeat])
        if unit == "bytes":
            result.points.append((count, len(frame)))
            continue
        membership = _membership(count)

        def exchange(
            membership: Membership = membership, heartbeat: Heartbeat = heartbeat
        ) -> None:
            for _ in range(20):
                (message,) = decode(encode([heartbeat]))
                assert isinstance(message, Heartbeat)
                membership.receive_heartbeat(InstanceId("instance-000"), message, 1.0)
                membership.update(1.0)

        result.points.append((count, min_processor_s(exchange) / 20 * 1e6))
    return result


def measure_member_memory() -> Measurement:
    """Measure the memory of a member in the membership table."""
    result = Measurement("membership's memory", "bytes", "instance")
    for count in (50, 100, 200, 400):
        retained = retained_bytes(lambda c=count: _membership(c))  # type: ignore[misc]
        result.points.append((count, retained))
    return result


def request_messages(number: int) -> list[Message]:
    """Return the messages between frontend and coordinator for one request."""
    message = make_acquire(number)
    grant = Grant(message.key, message.attempt, EndpointId("endpoint-17"), False, ())
    return [message, grant, Started(message.key, POOL, 50), make_release(grant)]


def measure_frame(unit: str) -> Measurement:
    """Measure encoding and decoding of the messages of requests in one frame."""
    result = Measurement(f"messages of a request, {unit}", unit, "request in a frame")
    for count in (1, 4, 16, 64):
        messages = [m for n in range(count) for m in request_messages(n)]
        if unit == "bytes":
            result.points.append((count, len(encode(messages))))
            continue
        seconds = min_processor_s(lambda m=messages: _encode_and_decode(m)) / 20  # type: ignore[misc]
        result.points.append((count, seconds * 1e6))
    return result


def _encode_and_decode(messages: list[Message]) -> None:
    for _ in range(20):
        decode(encode(messages))


def measure_register(unit: str) -> Measurement:
    """Measure the registration of running requests with a new coordinator."""
    result = Measurement(f"registration with a new home, {unit}", unit, "request")
    manifest = make_manifest(40, 1, 6)
    for count in (25, 50, 100, 200):
        rows = tuple(
            RunningRow(
                RequestKey(f"team-1/{n:024x}"),
                n,
                TeamId("team-1"),
                EndpointId(f"endpoint-{n % 6}"),
                800,
                270,
                True,
            )
            for n in range(count)
        )
        message = Register(POOL, True, rows)
        if unit == "bytes":
            result.points.append((count, len(encode([message]))))
            continue

        def register(message: Register = message) -> None:
            scheduler = new_pool_scheduler(POOL, manifest, 0.0)
            (decoded,) = decode(encode([message]))
            assert isinstance(decoded, Register)
            scheduler.register(decoded, InstanceId("entry"), 1.0)

        result.points.append((count, min_processor_s(register) * 1e6))
    return result


def measure_withdraw() -> Measurement:
    """Measure the withdrawal of all queued requests of a lost frontend."""
    result = Measurement("withdrawing, processor time", "us", "waiting request")
    manifest = make_manifest(40, 1, 6)
    for count in (100, 200, 400, 800):
        scheduler = full_scheduler(manifest, count)
        keys = list(scheduler.queue.by_key)

        def withdraw(
            scheduler: PoolScheduler = scheduler, keys: list[RequestKey] = keys
        ) -> None:
            for key in keys:
                decode(encode([Withdraw(key, POOL)]))
                scheduler.withdraw(key)

        result.points.append((count, min_processor_s(withdraw, 1) * 1e6))
    return result


def measure_in_process() -> list[Measurement]:
    """Run all measurements that need no other process."""
    return [
        measure_decisions(by_endpoints=True),
        measure_decisions(by_endpoints=False),
        measure_frame("bytes"),
        measure_frame("us"),
        measure_waiting_memory(),
        measure_withdraw(),
        measure_register("bytes"),
        measure_register("us"),
        measure_heartbeat("bytes"),
        measure_heartbeat("us"),
        measure_member_memory(),
        measure_manifest("bytes of record"),
        measure_manifest("bytes of memory"),
        measure_manifest("ms of reading"),
    ]


def show(
    measurements: list[Measurement], figures: dict[str, float], report: str
) -> None:
    """Print the measurements, and write a JSON report if a path is given."""
    for measurement in measurements:
        typer.echo(measurement.to_text())
    for name, value in figures.items():
        typer.echo(f"{name}: {value:.2f}")
    if report:
        slopes = [m.to_json() for m in measurements]
        with open(report, "w", encoding="utf-8") as file:
            json.dump({"slopes": slopes, "figures": figures}, file, indent=1)

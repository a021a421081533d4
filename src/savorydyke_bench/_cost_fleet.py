"""Cost measurements that need processes: relaying, platform calls, memory."""

import os
import re
import statistics
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from typing import Any

import httpx
import trio

from savorydyke._monitor import LIST_INTERVAL_S
from savorydyke_bench._client import CallerRecord, Ended, chat, new_id, service_call
from savorydyke_bench._cost import Measurement
from savorydyke_bench._cost_link import measure_link
from savorydyke_bench._fleet import Fleet, Standin, open_fleet
from savorydyke_bench._sites import EngineSpec, Site, TeamSpec

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
TOKENS = 150
DECODE_TOKENS_PER_S = 36.0
IDLE_S = 8.0
CLAIMS = (10, 20, 40, 80)
LARGEST_FLEET = 9
LISTS = 2
"""Number of platform lists that each instance reads every `LIST_INTERVAL_S`."""
CALLS_PER_PATH = 200
MODEL = "model"
KEY = "key-of-team"


def site(instances: int) -> Site:
    """Return a site whose engines stream a token every 28 ms, the expected rate."""
    engines = tuple(
        EngineSpec(f"engine-{n}", "dc-1", 1e6, DECODE_TOKENS_PER_S, 64)
        for n in range(3)
    )
    return Site(
        name="cost",
        instances=instances,
        tiers=(("tier", 100.0),),
        teams=(TeamSpec("team", "tier", ("pool", "desk")),),
        model_pool="pool",
        models=(MODEL,),
        engines=engines,
        service_pool="desk",
        services=(("desk-1", "dc-1"),),
        hop_s=0.0,
        client_s=0.0,
    )


def processor_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    status = Path(f"/proc/{pid}/status").read_text()
    found = re.search(r"VmRSS:\s+(\d+) kB", status)
    return int(found[1]) / 1000 if found else 0.0


async def _stream_all(
    fleet: Fleet, address: str, streams: int, tokens: int = TOKENS
) -> list[CallerRecord]:
    records = [
        CallerRecord(new_id(), prompt=f"stream {n}", output_tokens=tokens)
        for n in range(streams)
    ]
    async with trio.open_nursery() as nursery:
        for record in records:
            call = partial(chat, with_id=False)
            nursery.start_soon(call, fleet.client, address, KEY, record, MODEL)
    incomplete = [r for r in records if r.ended is not Ended.COMPLETE]
    if incomplete:
        raise RuntimeError(
            f"{len(incomplete)} streams were incomplete, the first: {incomplete[0]}"
        )
    return records


async def _measure_streams(
    fleet: Fleet, address: str, pid: int, result: Measurement
) -> None:
    await _stream_all(fleet, address, 3, 10)
    for streams in (10, 20, 40, 80):
        processor_at_start = processor_s(pid)
        records = await _stream_all(fleet, address, streams)
        events = sum(record.events for record in records)
        result.points.append((events, processor_s(pid) - processor_at_start))


async def measure_relay() -> list[Measurement]:
    """Measure the processor time per relayed event, compared with a minimal relay."""
    ours = Measurement("relay through savorydyked", "s", "event")
    minimal = Measurement("plainest relay, httpx into quart", "s", "event")
    with open_fleet() as fleet:
        await site(1).start(fleet)
        instance = next(iter(fleet.instances.values()))
        assert instance.process is not None
        await _measure_streams(fleet, instance.callers, instance.process.pid, ours)
        relay = Standin("plain-relay", "plain", fleet.ports.take(), "dc-1")
        target = fleet.endpoints["engine-0"].address
        fleet.endpoints[relay.name] = relay
        relay.process = fleet.start_process(
            ["-m", "savorydyke_bench._plain_relay", relay.address, target], relay.name
        )
        await fleet.wait_started()
        await _measure_streams(fleet, relay.address, relay.process.pid, minimal)
    return [ours, minimal]


async def measure_added_time() -> dict[str, float]:
    """Measure the time that an instance adds to the first token, in ms."""
    with open_fleet() as fleet:
        await site(3).start(fleet)
        engine = fleet.endpoints["engine-0"].address
        instances = [i.callers for i in fleet.instances.values()]
        await trio.sleep(2.0)
        direct, through = [], []
        async with httpx.AsyncClient(timeout=30, trust_env=False) as client:
            fleet.client = client
            for number in range(CALLS_PER_PATH):
                target = instances[number % len(instances)]
                direct.append(await _first_s(fleet, engine))
                through.append(await _first_s(fleet, target))
    result = {}
    for name, times in (("direct", direct), ("through", through)):
        percentiles = statistics.quantiles(times, n=100)
        result[f"{name} median ms"] = statistics.median(times) * 1000
        result[f"{name} 99th ms"] = percentiles[98] * 1000
    return result


async def _first_s(fleet: Fleet, address: str) -> float:
    record = CallerRecord(new_id(), prompt="short", output_tokens=1)
    await chat(fleet.client, address, KEY, record, MODEL, with_id=False)
    return record.first_s


async def _platform_calls(fleet: Fleet) -> dict[str, int]:
    return dict((await fleet.record(fleet.platform))["calls"])


async def measure_idle() -> list[Measurement]:
    """Measure platform calls, peer traffic, processor and memory of an idle fleet."""
    calls = Measurement("platform calls of an idle fleet", "calls/s", "instance")
    traffic = Measurement("an idle instance's peer traffic", "bytes/s", "instance")
    processor = Measurement("an idle instance's processor time", "s/s", "instance")
    memory = Measurement("an idle instance's resident memory", "MB", "instance")
    for count in (3, 5, 7, 9):
        with open_fleet() as fleet:
            await site(count).start(fleet)
            await trio.sleep(2.0)
            processor_before, sent_before = (
                _fleet_processor_s(fleet),
                await _peer_bytes_sent(fleet),
            )
            calls_at_start = sum((await _platform_calls(fleet)).values())
            await trio.sleep(IDLE_S)
            calls_at_end = sum((await _platform_calls(fleet)).values())
            calls.points.append((count, (calls_at_end - calls_at_start) / IDLE_S))
            instance_s = count * IDLE_S
            traffic.points.append(
                (count, (await _peer_bytes_sent(fleet) - sent_before) / instance_s)
            )
            processor.points.append(
                (count, (_fleet_processor_s(fleet) - processor_before) / instance_s)
            )
            pids = [i.process.pid for i in fleet.instances.values() if i.process]
            memory.points.append((count, statistics.mean(map(resident_mb, pids))))
    return [calls, traffic, processor, memory]


def _fleet_processor_s(fleet: Fleet) -> float:
    processes = [i.process for i in fleet.instances.values()]
    return sum(processor_s(process.pid) for process in processes if process)


async def _peer_bytes_sent(fleet: Fleet) -> float:
    statuses = [await fleet.status(i) for i in fleet.instances.values()]
    return sum(status["peer_bytes_sent"] for status in statuses if status)


async def measure_claims() -> list[Measurement]:
    """Measure the platform reads and writes that claims cause."""
    reads = Measurement("platform reads of claims", "calls", "claim")
    writes = Measurement("platform writes of claims", "calls", "claim")
    with open_fleet() as fleet:
        await site(LARGEST_FLEET).start(fleet)
        addresses = [i.callers for i in fleet.instances.values()]
        for count in CLAIMS:
            calls_before = await _platform_calls(fleet)
            started_at = trio.current_time()
            await _claim_all(fleet, addresses, count)
            await trio.sleep(1.0)
            calls_after = await _platform_calls(fleet)
            elapsed_s = trio.current_time() - started_at
            idle_reads = LARGEST_FLEET * LISTS / LIST_INTERVAL_S * elapsed_s
            reads.points.append(
                (count, calls_after["read"] - calls_before["read"] - idle_reads)
            )
            writes.points.append(
                (count, calls_after["write"] - calls_before.get("write", 0))
            )
    return [reads, writes]


async def _claim_all(fleet: Fleet, addresses: list[str], count: int) -> None:
    async with trio.open_nursery() as nursery:
        for number in range(count):
            record = CallerRecord(new_id(), pool="desk", idempotency_key=new_id())
            address = addresses[number % len(addresses)]
            call: Callable[..., Awaitable[Any]] = service_call
            nursery.start_soon(
                call, fleet.client, address, KEY, record, "tickets", {"load": number}
            )


async def measure_fleet() -> tuple[list[Measurement], dict[str, float]]:
    """Run all measurements that need processes."""
    measurements = await measure_link()
    measurements += await measure_relay()
    added_time = await measure_added_time()
    measurements += await measure_claims()
    measurements += await measure_idle()
    return measurements, added_time

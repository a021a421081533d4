"""``make demo``: a small site under normal operation and failures, in a minute.

Each step prints what it did and whether its checks passed. The checks use the
answers and the stand-ins' own records.
"""

import json
import signal
import textwrap
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import trio
import typer

from savorydyke_bench._client import (
    CallerRecord,
    Ended,
    chat,
    new_id,
    prompt_bytes,
    resume,
    service_call,
)
from savorydyke_bench._fleet import Fleet, open_fleet
from savorydyke_bench._sites import BALLOONS
from savorydyke_standins._engine import expected_text

INSTANCES = 4
FLIGHT_LOG = "alt 31204 m, wind 247 deg 18.4 m/s, temp -51.2 C; " * 700
MODEL = "flight-digest"
STOP_WAIT_S = 20.0
LEAVING_LIMIT_S = 4.0


@dataclass
class Demo:
    """The fleet of the demo and the checks that failed so far."""

    fleet: Fleet
    failures: list[str] = field(default_factory=list)

    def print_line(self, text: str) -> None:
        """Print a line."""
        typer.echo(text)

    def check(self, passed: bool, description: str) -> None:
        """Print the result of a check, and record it if it failed."""
        self.print_line(f"   {'ok  ' if passed else 'FAIL'}  {description}")
        if not passed:
            self.failures.append(description)

    def address(self, number: int) -> str:
        """Return the callers' address of an instance."""
        return list(self.fleet.instances.values())[number].callers

    async def requests_at(self, names: list[str]) -> list[dict[str, Any]]:
        """Return the requests in the records of stand-ins."""
        found: list[dict[str, Any]] = []
        for name in names:
            record = await self.fleet.record(self.fleet.endpoints[name])
            found += [entry for entry in record if entry["kind"] == "request"]
        return found

    async def engine_requests(self) -> list[dict[str, Any]]:
        """Return the requests that the engines received."""
        return await self.requests_at([e.name for e in BALLOONS.engines])

    async def claim_requests(self) -> list[dict[str, Any]]:
        """Return the requests that the claims service received."""
        return await self.requests_at([name for name, _ in BALLOONS.services])


def is_complete(record: CallerRecord) -> bool:
    """Return whether a caller got the complete answer to its own request."""
    wanted = expected_text(prompt_bytes(record.prompt), record.output_tokens)
    return record.ended is Ended.COMPLETE and record.text == wanted


async def _send_chat(
    demo: Demo, number: int, team: str, prompt: str, tokens: int, stream: bool = True
) -> CallerRecord:
    record = CallerRecord(new_id(), team, prompt=prompt, output_tokens=tokens)
    key = f"key-of-{team}"
    address = demo.address(number)
    return await chat(demo.fleet.client, address, key, record, MODEL, stream=stream)


async def _apply_manifest(demo: Demo) -> None:
    demo.print_line("0. The operator's tool applies the manifest.")
    manifest = demo.fleet.folder / "manifest.json"
    manifest.write_text(json.dumps(BALLOONS.manifest(demo.fleet)))
    applied = await demo.fleet.run_tool("apply", str(manifest), "--base", "0")
    demo.print_line(textwrap.indent(applied.stdout.decode().strip(), "   "))
    demo.check(applied.returncode == 0, "accepted, and in force at every instance")
    await demo.fleet.wait_ready()


async def _stream_long_prompt(demo: Demo) -> None:
    demo.print_line("1. A recovery crew has a long flight log digested, streamed.")
    record = await _send_chat(demo, 0, "recovery-crews", FLIGHT_LOG, 60)
    demo.check(
        is_complete(record),
        f"whole answer of {record.events} events, first after "
        f"{record.first_s:.2f} s, last after {record.total_s:.2f} s",
    )


async def _ask_questions(demo: Demo) -> None:
    demo.print_line("2. Field drivers ask short questions, through every instance.")
    records: list[CallerRecord] = []

    async def ask(number: int) -> None:
        question = f"Which dike road is open, question {number}?"
        record = await _send_chat(
            demo, number % INSTANCES, "field-drivers", question, 12
        )
        records.append(record)

    async with trio.open_nursery() as nursery:
        for number in range(12):
            nursery.start_soon(ask, number)
    complete = sum(is_complete(record) for record in records)
    demo.check(complete == 12, f"{complete} of 12 answers whole and each one's own")


async def _send_unstreamed(demo: Demo) -> None:
    demo.print_line("3. A species is classified from a short remark, not streamed.")
    remark = "Dark bark, resin pockets, needles in pairs. Species?"
    record = await _send_chat(demo, 1, "flight-planning", remark, 6, stream=False)
    demo.check(is_complete(record), f"whole answer after {record.total_s:.2f} s")


async def _claim_twice(demo: Demo) -> None:
    demo.print_line("4. A permission claim is sent twice under one idempotency key.")
    records = []
    for number in (0, 1):
        record = CallerRecord(
            new_id(), "volunteers", pool="claims", idempotency_key="farm-17"
        )
        await service_call(
            demo.fleet.client,
            demo.address(number),
            "key-of-volunteers",
            record,
            "permissions",
            {"farmer": "Jansen"},
        )
        records.append(record)
    executed = [
        entry
        for entry in await demo.claim_requests()
        if entry["idempotency_key"] == "farm-17"
    ]
    demo.check(len(executed) == 1, f"the desk's record shows {len(executed)} run")
    is_same_answer = records[0].body == records[1].body and records[0].status == 201
    demo.check(is_same_answer, "both callers got the same answer")


async def _refuse_unapproved(demo: Demo) -> None:
    demo.print_line("5. A team without approval asks.")
    before = len(await demo.engine_requests())
    record = await _send_chat(demo, 2, "school-visitors", "May we look?", 5)
    after = len(await demo.engine_requests())
    is_refused = record.ended is Ended.REFUSED and record.reason == "not-approved"
    demo.check(is_refused and record.not_run, "refused as not approved, not run")
    demo.check(after == before, "no engine's record shows a request")


async def _kill_instance(demo: Demo) -> None:
    demo.print_line("6. An instance is killed (SIGKILL) while streams run through it.")
    records: list[CallerRecord] = []
    killed = list(demo.fleet.instances.values())[3]

    async def stream(number: int) -> None:
        prompt = f"{number}: {FLIGHT_LOG[:4000]}"
        record = await _send_chat(demo, 3, "recovery-crews", prompt, 150)
        for attempt in range(20):
            if record.ended is Ended.COMPLETE:
                break
            await trio.sleep(0.1)
            key = "key-of-recovery-crews"
            address = demo.address(attempt % 3)
            await resume(demo.fleet.client, address, key, record)
        records.append(record)

    async with trio.open_nursery() as nursery:
        for number in range(6):
            nursery.start_soon(stream, number)
        await trio.sleep(0.7)
        killed.signal(signal.SIGKILL)
    complete = sum(is_complete(record) for record in records)
    resumed = sum(record.resumed_count > 0 for record in records)
    demo.check(
        complete == 6 and resumed == 6,
        f"{resumed} of 6 taken up through another instance, {complete} whole",
    )
    sent = [entry["id"] for entry in await demo.engine_requests()]
    demo.check(len(sent) == len(set(sent)), "no engine was sent a request twice")


async def _announce_leaving(demo: Demo) -> None:
    demo.print_line("7. An engine is told to leave while work goes on.")
    leaving = "engine-1"
    fleet = demo.fleet
    await fleet.publish_lists(leaving=frozenset({leaving}))
    announced_at = trio.current_time()
    await trio.sleep(LEAVING_LIMIT_S)
    before = len(await demo.requests_at([leaving]))
    records: list[CallerRecord] = []

    async def ask(number: int) -> None:
        record = await _send_chat(
            demo, number % 3, "field-drivers", f"After {number}?", 10
        )
        records.append(record)

    async with trio.open_nursery() as nursery:
        for number in range(12):
            nursery.start_soon(ask, number)
    after = len(await demo.requests_at([leaving]))
    elapsed_s = trio.current_time() - announced_at
    demo.check(
        after == before, f"no new request there, {elapsed_s:.1f} s after the notice"
    )
    demo.check(all(map(is_complete, records)), "the others answered all 12 requests")


async def _stop_gracefully(demo: Demo) -> None:
    demo.print_line("8. An instance is stopped gracefully (SIGTERM) during streams.")
    instance = next(iter(demo.fleet.instances.values()))
    records: list[CallerRecord] = []

    async def stream(number: int) -> None:
        prompt = f"stop {number}: {FLIGHT_LOG[:2000]}"
        records.append(await _send_chat(demo, 0, "recovery-crews", prompt, 120))

    async with trio.open_nursery() as nursery:
        for number in range(5):
            nursery.start_soon(stream, number)
        await trio.sleep(0.5)
        instance.signal(signal.SIGTERM)
    complete = sum(is_complete(record) for record in records)
    demo.check(complete == 5, f"{complete} of 5 streams ended whole")
    with trio.move_on_after(STOP_WAIT_S):
        while instance.is_running():
            await trio.sleep(0.05)
    code = instance.process.poll() if instance.process else None
    demo.check(code == 0, f"the instance ended with status {code}")


STEPS: list[Callable] = [
    _stream_long_prompt,
    _ask_questions,
    _send_unstreamed,
    _claim_twice,
    _refuse_unapproved,
    _kill_instance,
    _announce_leaving,
    _stop_gracefully,
]


async def run() -> list[str]:
    """Run the demo and return the checks that failed."""
    with open_fleet() as fleet:
        demo = Demo(fleet)
        start = trio.current_time()
        engines, services = len(BALLOONS.engines), len(BALLOONS.services)
        demo.print_line(
            f"Starting {INSTANCES} instances, {engines} engines, {services} desks."
        )
        await BALLOONS.start_processes(fleet, INSTANCES)
        await _apply_manifest(demo)
        for step in STEPS:
            await step(demo)
        elapsed_s = trio.current_time() - start
    demo.print_line(
        f"\n{len(demo.failures)} of the checks failed; {elapsed_s:.0f} s in all."
    )
    return demo.failures

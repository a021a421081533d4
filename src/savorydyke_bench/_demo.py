"""``make demo``: a small site at work, and under failure, in a minute.

Each step prints what it did and whether what it shows was so, judged by the
answers and by the stand-ins' own records.
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
    """What the demo has found so far."""

    fleet: Fleet
    failures: list[str] = field(default_factory=list)

    def say(self, text: str) -> None:
        """Print a line of the account."""
        typer.echo(text)

    def expect(self, is_true: bool, what: str) -> None:
        """Print whether something was so, and remember if it was not."""
        self.say(f"   {'ok  ' if is_true else 'FAIL'}  {what}")
        if not is_true:
            self.failures.append(what)

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
        """Return the requests that engines were sent."""
        return await self.requests_at([e.name for e in BALLOONS.engines])

    async def claim_requests(self) -> list[dict[str, Any]]:
        """Return the requests that the claims desk was sent."""
        return await self.requests_at([name for name, _ in BALLOONS.services])


def is_whole(record: CallerRecord) -> bool:
    """Return whether a caller got the complete answer to its own request."""
    wanted = expected_text(prompt_bytes(record.prompt), record.output_tokens)
    return record.ended is Ended.COMPLETE and record.text == wanted


async def _ask(
    demo: Demo, number: int, team: str, prompt: str, tokens: int, stream: bool = True
) -> CallerRecord:
    record = CallerRecord(new_id(), team, prompt=prompt, output_tokens=tokens)
    key = f"key-of-{team}"
    address = demo.address(number)
    return await chat(demo.fleet.client, address, key, record, MODEL, stream=stream)


async def _apply_manifest(demo: Demo) -> None:
    demo.say("0. The operator's tool applies the manifest.")
    manifest = demo.fleet.folder / "manifest.json"
    manifest.write_text(json.dumps(BALLOONS.manifest(demo.fleet)))
    applied = await demo.fleet.run_tool("apply", str(manifest), "--base", "0")
    demo.say(textwrap.indent(applied.stdout.decode().strip(), "   "))
    demo.expect(applied.returncode == 0, "accepted, and in force at every instance")
    await demo.fleet.wait_ready()


async def _digest_log(demo: Demo) -> None:
    demo.say("1. A recovery crew has a long flight log digested, streamed.")
    record = await _ask(demo, 0, "recovery-crews", FLIGHT_LOG, 60)
    demo.expect(
        is_whole(record),
        f"whole answer of {record.events} events, first after "
        f"{record.first_s:.2f} s, last after {record.total_s:.2f} s",
    )


async def _ask_questions(demo: Demo) -> None:
    demo.say("2. Field drivers ask short questions, through every instance.")
    records: list[CallerRecord] = []

    async def ask(number: int) -> None:
        question = f"Which dike road is open, question {number}?"
        record = await _ask(demo, number % INSTANCES, "field-drivers", question, 12)
        records.append(record)

    async with trio.open_nursery() as nursery:
        for number in range(12):
            nursery.start_soon(ask, number)
    whole = sum(is_whole(record) for record in records)
    demo.expect(whole == 12, f"{whole} of 12 answers whole and each one's own")


async def _classify(demo: Demo) -> None:
    demo.say("3. A species is classified from a short remark, not streamed.")
    remark = "Dark bark, resin pockets, needles in pairs. Species?"
    record = await _ask(demo, 1, "flight-planning", remark, 6, stream=False)
    demo.expect(is_whole(record), f"whole answer after {record.total_s:.2f} s")


async def _claim_twice(demo: Demo) -> None:
    demo.say("4. A permission claim is sent twice under one idempotency key.")
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
    ran = [
        entry
        for entry in await demo.claim_requests()
        if entry["idempotency_key"] == "farm-17"
    ]
    demo.expect(len(ran) == 1, f"the desk's record shows {len(ran)} run")
    same = records[0].body == records[1].body and records[0].status == 201
    demo.expect(same, "both callers got the same answer")


async def _refuse_unapproved(demo: Demo) -> None:
    demo.say("5. A team without approval asks.")
    before = len(await demo.engine_requests())
    record = await _ask(demo, 2, "school-visitors", "May we look?", 5)
    after = len(await demo.engine_requests())
    is_refused = record.ended is Ended.REFUSED and record.reason == "not-approved"
    demo.expect(is_refused and record.not_run, "refused as not approved, not run")
    demo.expect(after == before, "no engine's record shows a request")


async def _kill_instance(demo: Demo) -> None:
    demo.say("6. An instance is killed (SIGKILL) while streams run through it.")
    records: list[CallerRecord] = []
    victim = list(demo.fleet.instances.values())[3]

    async def stream(number: int) -> None:
        prompt = f"{number}: {FLIGHT_LOG[:4000]}"
        record = await _ask(demo, 3, "recovery-crews", prompt, 150)
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
        victim.signal(signal.SIGKILL)
    whole = sum(is_whole(record) for record in records)
    resumed = sum(record.resumed_count > 0 for record in records)
    demo.expect(
        whole == 6 and resumed == 6,
        f"{resumed} of 6 taken up through another instance, {whole} whole",
    )
    sent = [entry["id"] for entry in await demo.engine_requests()]
    demo.expect(len(sent) == len(set(sent)), "no engine was sent a request twice")


async def _drain_endpoint(demo: Demo) -> None:
    demo.say("7. An engine is told to leave while work goes on.")
    leaving = "engine-1"
    fleet = demo.fleet
    await fleet.publish_lists(leaving=frozenset({leaving}))
    told = trio.current_time()
    await trio.sleep(LEAVING_LIMIT_S)
    before = len(await demo.requests_at([leaving]))
    records: list[CallerRecord] = []

    async def ask(number: int) -> None:
        record = await _ask(demo, number % 3, "field-drivers", f"After {number}?", 10)
        records.append(record)

    async with trio.open_nursery() as nursery:
        for number in range(12):
            nursery.start_soon(ask, number)
    after = len(await demo.requests_at([leaving]))
    waited = trio.current_time() - told
    demo.expect(
        after == before, f"no new request there, {waited:.1f} s after the notice"
    )
    demo.expect(all(map(is_whole, records)), "the others answered all 12 requests")


async def _stop_gracefully(demo: Demo) -> None:
    demo.say("8. An instance is stopped gracefully (SIGTERM) during streams.")
    instance = next(iter(demo.fleet.instances.values()))
    records: list[CallerRecord] = []

    async def stream(number: int) -> None:
        prompt = f"stop {number}: {FLIGHT_LOG[:2000]}"
        records.append(await _ask(demo, 0, "recovery-crews", prompt, 120))

    async with trio.open_nursery() as nursery:
        for number in range(5):
            nursery.start_soon(stream, number)
        await trio.sleep(0.5)
        instance.signal(signal.SIGTERM)
    whole = sum(is_whole(record) for record in records)
    demo.expect(whole == 5, f"{whole} of 5 streams ended whole")
    with trio.move_on_after(STOP_WAIT_S):
        while instance.is_running():
            await trio.sleep(0.05)
    code = instance.process.poll() if instance.process else None
    demo.expect(code == 0, f"the instance ended with status {code}")


STEPS: list[Callable] = [
    _digest_log,
    _ask_questions,
    _classify,
    _claim_twice,
    _refuse_unapproved,
    _kill_instance,
    _drain_endpoint,
    _stop_gracefully,
]


async def run() -> list[str]:
    """Run the demo and return what did not hold."""
    with open_fleet() as fleet:
        demo = Demo(fleet)
        start = trio.current_time()
        engines, services = len(BALLOONS.engines), len(BALLOONS.services)
        demo.say(
            f"Starting {INSTANCES} instances, {engines} engines, {services} desks."
        )
        await BALLOONS.start_processes(fleet, INSTANCES)
        await _apply_manifest(demo)
        for step in STEPS:
            await step(demo)
        took = trio.current_time() - start
    demo.say(f"\n{len(demo.failures)} of the checks failed; {took:.0f} s in all.")
    return demo.failures

"""An engine falls silent for a second; a refusal that is due then is spoilt."""

import random
from dataclasses import dataclass

import trio
from deployment import (
    BROKEN,
    HELD,
    HOST,
    KEY,
    NOT_RUN,
    TENANT,
    TROUBLE,
    Deployment,
    Record,
    finish,
    open_deployment,
    route,
)

from savorydyke_standins._routed_endpoint import Exchange

REQUESTERS = 24
NOTERS = 12
ENGINES = 3
SPOILT_SHARE = 0.02
"""Of the answers of one engine in three; the site's `garble` has 0.35 and 0.02."""
WORK_S = 0.09
"""Of a ticket, as on the site's sheet."""
TICKET_S = 1.5
NOTE_S = 1.0
"""What a requester of a note has left."""
SILENT_S = 1.1
"""A sound engine may fall silent for a second or so."""
SPELLS, REST_S = 5, 3.0
SPOILT = b"Mon, 07 Dec 20262026202620262026 18:00:07 GMT"
"""A date (RFC 9110, 10.2.3) in whose year digits stand again and again."""
ALLOWED = 3

record = Record()
at_engine: dict[str, str] = {}
ended: dict[str, str] = {}


async def issue(exchange: Exchange) -> None:
    """Work on a ticket; this engine is sound."""
    name = exchange.request.headers[b"x-savorydyke-request-id"].decode()
    at_engine[name] = "ran"
    await trio.sleep(WORK_S)
    await exchange.send_complete()


@dataclass
class Engine:
    """An engine that answers quickly, but for the time in which it is silent."""

    answers: int = 0
    spoilt: int = 0
    silent_until: float = 0.0

    async def serve(self, exchange: Exchange) -> None:
        """Answer a request, or refuse it if its deadline has passed in the queue."""
        arrived = trio.current_time()
        left_s = int(exchange.request.headers[b"x-savorydyke-deadline-ms"]) / 1000
        # The others behind it wait as long: it admits in order of arrival.
        await trio.sleep_until(self.silent_until)
        if trio.current_time() < arrived + left_s:
            await trio.sleep(0.02)
            await exchange.stream_events(1, 3, 0.003)
            self.answers += 1
            return
        name = exchange.request.headers[b"x-savorydyke-request-id"].decode()
        more = [(b"X-Savorydyke-Not-Executed", b"1")]
        if self.spoilt + 1 <= SPOILT_SHARE * (self.answers + 1):
            self.spoilt += 1
            pause = SPOILT if TROUBLE else b"0.5"
            more.append((b"Retry-After", pause))
            text = f"{name}: the engine refuses with Retry-After: {pause.decode()}"
            record.add(f"{text} after {self.answers} sound answers")
        self.answers += 1
        await exchange.send_complete(503, b"", *more)


def headers(name: str, deadline_s: float) -> list[tuple[bytes, bytes]]:
    """Return the headers of one attempt."""
    return [
        (b"Host", HOST.encode()),
        (b"X-Savorydyke-Request-Id", name.encode()),
        (b"X-Savorydyke-Deadline-Ms", b"%d" % int(deadline_s * 1000)),
        (b"Authorization", f"Bearer {KEY}".encode()),
    ]


async def ask_on(address: str, deployment: Deployment, number: int) -> None:
    """Send tickets one after the other on a kept channel, until it ends."""
    # They don't keep step.
    await trio.sleep(0.37 * number % 1.0)
    caller = await deployment.site.connect(address)
    count = 0
    while True:
        count += 1
        name = f"{number:06x}{count:04x}"
        try:
            answer = await caller.request(
                "POST", "/ticket/1", headers(name, TICKET_S), b"load"
            )
        except (OSError, trio.BrokenResourceError):
            ended[name] = "closed"
            record.add(f"{name}: the channel has ended without an answer")
            return
        await trio.sleep(random.uniform(0.0, 0.03))
        if not answer.status:
            ended[name] = "closed"
            record.add(f"{name}: the channel has ended without an answer")
            return
        ended[name] = str(answer.status)


async def note(deployment: Deployment, address: str, name: str) -> None:
    """Send a request to the engines on a channel of its own."""
    try:
        caller = await deployment.site.connect(address)
        answer = await caller.request("POST", "/note/1", headers(name, NOTE_S), b"load")
        caller.stream.socket.close()
        if answer.status != 200:
            record.add(f"{name}: {answer.status or 'no answer'}")
    except (OSError, trio.TooSlowError, trio.BrokenResourceError):
        record.add(f"{name}: no answer")


async def keep_noting(deployment: Deployment, address: str, number: int) -> None:
    """Send requests to the engines, one after the other."""
    for count in range(10_000):
        await note(deployment, address, f"aa{number:04x}{count:010x}")
        await trio.sleep(random.uniform(0.05, 0.15))


async def main() -> None:
    """Run the case."""
    async with open_deployment("case-11", record) as deployment:
        site = deployment.site
        await deployment.add_engines("ticket-desk", 3, issue, slots=6)
        engines = [Engine() for _ in range(ENGINES)]
        for number, one in enumerate(engines):
            await deployment.add_engine("savory-pool", number, one.serve, slots=8)
        engine = {"slots": 8, "kv_capacity": 401721, "stride": 7}
        site.configure(
            routes=[
                route(
                    "ticket",
                    "mutating",
                    "ticket-desk",
                    attempts=1,
                    timeout_ms=800,
                    slo_ms=400,
                ),
                route("note", "streaming", "savory-pool", attempts=1, resumable=False),
            ],
            services=[
                {"name": "ticket-desk"},
                {"name": "savory-pool", "backend": engine},
            ],
            tenants=[{"name": TENANT, "api_keys": [KEY], "priority": 1}],
        )
        await deployment.start_instances(3)
        await trio.sleep(3.0)
        taker = site.daemons[0]
        async with trio.open_nursery() as nursery:
            for number in range(REQUESTERS):
                nursery.start_soon(ask_on, taker.callers, deployment, number)
            for number in range(NOTERS):
                nursery.start_soon(keep_noting, deployment, taker.callers, number)
            for _ in range(SPELLS):
                await trio.sleep(REST_S)
                record.add("an engine of savory-pool falls silent")
                engines[0].silent_until = trio.current_time() + SILENT_S
                with trio.move_on_after(SILENT_S + 1.0):
                    while taker.process.poll() is None:
                        await trio.sleep(0.02)
                if taker.process.poll() is not None:
                    break
            status = taker.process.poll()
            record.add(f"instance {taker.name}: exit status {status}")
            await trio.sleep(0.5)
            nursery.cancel_scope.cancel()
        for line in taker.log.read_text().splitlines():
            if line[:1] != "{" and ("Error" in line or "/savorydyke/" in line):
                record.add(f"  {line.rpartition('/savorydyke/')[2].strip(' |')}")
    closed = [name for name, how in ended.items() if how == "closed"]
    lost = [name for name in closed if name in at_engine]
    served = sum(how == "200" for how in ended.values())
    record.add(f"{served} tickets answered; passed on and not answered: {lost}")
    print(record.lines[-1])
    if served < REQUESTERS:
        finish(record, NOT_RUN)
    finish(record, BROKEN if len(lost) > ALLOWED else HELD)


if __name__ == "__main__":
    trio.run(main)

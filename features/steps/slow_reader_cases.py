"""Test cases for callers that read slowly, beside callers that do not."""

import math
import socket
from contextlib import suppress

import h11
import trio
from routed_cases import BODY, case

from savorydyke_standins._faulty_links import NewLinks, OpenLinks
from savorydyke_standins._routed_endpoint import chunk
from savorydyke_standins._routed_site import Caller

LARGE = b"x" * 250_000
READ_BYTES = 100
READ_EVERY_S = 0.1
"""Together 1 KB/s."""
WORK_S = 0.06
OBJECTIVE_S = 0.4
"""A busy machine delays requests by some tenths of a second; slots that slow readers
keep, by more than one second."""
TAKEN_S = 1.0
"""Time in which the endpoints have answered all slow readers."""
SOUND = 120
SOUND_EVERY_S = 0.025


async def answer_by_path(exchange):
    """Work for a moment, and answer at length or briefly as the path says."""
    await trio.sleep(WORK_S)
    is_large = b"large" in exchange.request.target
    await exchange.send_complete(200, LARGE if is_large else b"answer")


async def connect_slowly(address):
    """Connect as a caller whose system keeps little of what it has not read."""
    host, _, port = address.partition(":")
    sock = trio.socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    await sock.connect((host, int(port)))
    return Caller(trio.SocketStream(sock))


async def read_slowly(site, daemon, path, method="GET", body=b""):
    """Send a request and read its answer at 1 KB/s until cancelled or cut."""
    caller = await connect_slowly(daemon.callers)
    with suppress(trio.Cancelled, trio.BrokenResourceError):
        headers = site.headers()
        if body:
            headers.append((b"Content-Length", b"%d" % len(body)))
        lines = b"\r\n".join(b"%s: %s" % pair for pair in headers)
        head = b"%s %s HTTP/1.1\r\n" % (method.encode(), path.encode())
        await caller.send(head + lines + b"\r\n\r\n" + body)
        while await caller.stream.receive_some(READ_BYTES):
            await trio.sleep(READ_EVERY_S)


async def latencies(site, daemons, count=SOUND):
    """Return the times of small requests, sent one after the other's start."""
    times = []

    async def ask(daemon):
        started = trio.current_time()
        caller = await site.connect(daemon.callers)
        answer = await caller.request("GET", "/lookup/1", site.headers())
        served = answer.status == 200 and answer.body == b"answer"
        times.append(trio.current_time() - started if served else math.inf)
        await caller.stream.aclose()

    async with trio.open_nursery() as nursery:
        for number in range(count):
            nursery.start_soon(ask, daemons[number % len(daemons)])
            await trio.sleep(SOUND_EVERY_S)
    return sorted(times)


def late_share(times):
    """Return the share of times over the objective."""
    return sum(time > OBJECTIVE_S for time in times) / len(times)


@case("callers that read slowly do not keep slots from others")
async def _(site):
    for name in ("e1", "e2"):
        await site.endpoint(name, "desk", answer_by_path)
    daemons = [await site.daemon(f"instance-{n}") for n in (1, 2)]
    await latencies(site, daemons, 20)
    without = late_share(await latencies(site, daemons))
    async with trio.open_nursery() as nursery:
        for number in range(30):
            daemon = daemons[number % 2]
            nursery.start_soon(read_slowly, site, daemon, "/lookup/large")
        await trio.sleep(TAKEN_S)
        times = await latencies(site, daemons)
        nursery.cancel_scope.cancel()
    # Each of the eight slots was occupied until the time-out of a slow reader.
    assert late_share(times) <= without + 0.02, (without, times[-20:])


@case("an answer that is complete is delivered after the time-out of its request")
async def _(site):
    endpoint = await site.endpoint("e1", "desk", answer_by_path)
    daemon = await site.daemon()
    caller = await connect_slowly(daemon.callers)
    head = h11.Request(
        method="GET", target="/lookup/large", headers=site.headers(deadline_ms=1000)
    )
    await caller.send(caller.http.send(head) + caller.http.send(h11.EndOfMessage()))
    # Later than the deadline.
    await trio.sleep(1.5)
    assert endpoint.received_requests
    answer = await caller.read_answer()
    assert answer.complete and answer.body == LARGE


@case("a stream that its caller reads slowly ends its grant with its last event")
async def _(site):
    data = b"id: %d\ndata: " + b"y" * 4000 + b"\n\n"

    async def stream(exchange):
        kind = (b"Content-Type", b"text/event-stream")
        coding = (b"Transfer-Encoding", b"chunked")
        await exchange.send(exchange.response_head(200, kind, coding))
        for number in range(1, 51):
            await exchange.send(chunk(data % number))
        await exchange.send(b"0\r\n\r\n")

    endpoint = await site.endpoint("e1", "engines", stream, slots=1)
    daemon = await site.daemon()
    async with trio.open_nursery() as nursery:
        for _ in range(4):
            nursery.start_soon(read_slowly, site, daemon, "/question/1", "POST", BODY)
        # The one slot is free for the next one when the last event was taken over.
        await site.wait_until(lambda: len(endpoint.received_requests) == 4, 1.0)
        nursery.cancel_scope.cancel()


@case("slow readers of an instance that is cut off do not keep slots either")
async def _(site):
    for name in ("e1", "e2"):
        await site.endpoint(name, "desk", answer_by_path)
    links = await site.cuttable_daemon("instance-1")
    await site.daemon("instance-2")
    await site.wait_until(lambda: len(site.daemons) == 2)
    await trio.sleep(1.0)
    await links.cut(NewLinks.REFUSED, OpenLinks.RESET)
    await latencies(site, site.daemons, 20)
    without = late_share(await latencies(site, site.daemons))
    async with trio.open_nursery() as nursery:
        for _ in range(16):
            nursery.start_soon(read_slowly, site, site.daemons[0], "/lookup/large")
        await trio.sleep(TAKEN_S)
        times = await latencies(site, site.daemons)
        nursery.cancel_scope.cancel()
    forwarded = [r for r in site.daemons[1].log_records() if "orwarded" in r["message"]]
    assert forwarded
    assert late_share(times) <= without + 0.02, (without, times[-20:])


@case("a stop ends the delivery to a caller that reads slowly")
async def _(site):
    await site.endpoint("e1", "desk", answer_by_path)
    daemon = await site.daemon()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(read_slowly, site, daemon, "/lookup/large")
        await trio.sleep(0.5)
        daemon.stop()
        await site.wait_until(lambda: daemon.process.poll() is not None, 4.0)
        nursery.cancel_scope.cancel()
    assert daemon.process.poll() == 0


SMALL_MB = 70
"""Memory of which 4 MB may be held."""


def gave_way(daemon):
    """Return the log records of readers that gave way."""
    records = daemon.log_records()
    return [one for one in records if one["message"] == "request: Reader gives way."]


async def crowd_out(site, daemons, disturb=lambda: None):
    """Let slow readers exceed what may be held, and check that others are served."""
    without = late_share(await latencies(site, daemons, 40))
    async with trio.open_nursery() as nursery:
        for _ in range(40):
            nursery.start_soon(read_slowly, site, daemons[0], "/lookup/large")
            await trio.sleep(0.01)
        await trio.sleep(TAKEN_S)
        disturb()
        times = await latencies(site, daemons)
        nursery.cancel_scope.cancel()
    await trio.sleep(0.2)
    records = gave_way(daemons[0])
    assert records and all(one["is_unread"] for one in records), records
    assert late_share(times) <= without + 0.02, (without, times[-20:])


@case("slow readers give way when an instance holds too much")
async def _(site):
    for name in ("e1", "e2"):
        await site.endpoint(name, "desk", answer_by_path)
    daemon = await site.daemon(memory_mb=SMALL_MB)
    await crowd_out(site, [daemon])
    caller = await site.connect(daemon.metrics)
    page = await caller.request("GET", "/metrics", [(b"Host", b"x")])
    assert b"savorydyke_readers_gave_way_total{" in page.body
    assert b'savorydyke_held_bytes{kind="writer"}' in page.body


@case("slow readers give way while their coordinator is killed")
async def _(site):
    for name in ("e1", "e2"):
        await site.endpoint(name, "desk", answer_by_path)
    frontend = await site.daemon("instance-1", memory_mb=SMALL_MB)
    other = await site.daemon("instance-2")
    third = await site.daemon("instance-3")
    await trio.sleep(1.0)

    def kill():
        for daemon in (other, third):
            if any("Pool hosted" in one["message"] for one in daemon.log_records()):
                daemon.process.kill()
                return

    await crowd_out(site, [frontend], kill)


@case("requests to endpoints that do not read give way with true refusals")
async def _(site):
    async def no_answer(exchange):
        await trio.sleep_forever()

    endpoint = await site.endpoint("e1", "desk", no_answer, slots=8)
    endpoint.read_body = False
    daemon = await site.daemon(memory_mb=SMALL_MB)
    answers = []

    async def ask():
        answers.append(await site.ask("/claim/1", body=b"b" * 190_000))

    async with trio.open_nursery() as nursery:
        for _ in range(40):
            nursery.start_soon(ask)
            await trio.sleep(0.005)
    records = gave_way(daemon)
    assert records and not any(one["is_unread"] for one in records), records
    sent = {
        one.headers[b"x-savorydyke-request-id"] for one in endpoint.received_requests
    }
    for answer in answers:
        ran = answer.headers[b"x-savorydyke-request-id"] in sent
        assert answer.status in ({502, 504} if ran else {503}), answer

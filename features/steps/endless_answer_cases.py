"""Test cases for answers without end that cost an instance time, not memory.

A faulty endpoint sends bytes as fast as they are read, in a form that leads nowhere:
chunks of one byte, blank lines, comments, events by the thousand. Reading them kept the
one thread of an instance busy until the time-out, so that the requests of other callers
were late or lost.
"""

import resource
import statistics
import time
from contextlib import suppress
from functools import partial
from pathlib import Path

import h11
import httpx
import trio
from routed_cases import (
    CASES,
    CHUNKED,
    EVENT_STREAM,
    FLOOD,
    MEMORY_GROWTH_MB,
    case,
    endpoint_at,
    memory_mb,
)

from savorydyke._answer_budget import WastefulAnswerError
from savorydyke._dispatch import _events_after
from savorydyke._endpoint_client import EndpointClient, Lost
from savorydyke._event_order import StrayEventError
from savorydyke_standins._routed_endpoint import answer_plainly, answer_stream, event
from savorydyke_standins._routed_site import free_address

PLAY_S = 4.0
CALLERS = 12
OBJECTIVE_S = 1.0
"""That of the routes of the stand-in site."""
REACHED_SHARE = 0.1
"""An endpoint in four that answers garbage gets less than this share of requests."""
LOOP_DELAY_S = 0.1
"""A tenth of the objective: other callers' requests take several steps."""
READING_S = 2.0
"""The time-out of the routes of the stand-in site."""
TOKENS = (b"X-Savorydyke-Token-Count", b"60,5")
PIECE = 16_384


def endless(head, more):
    """Return a script that sends bytes until the connection is closed."""

    async def send(exchange):
        await exchange.send(head(exchange))
        number = 0
        while True:
            number += 1
            await exchange.send(more(number))

    return send


def whole_head(exchange):
    return exchange.response_head(200, CHUNKED)


def stream_head(exchange):
    return exchange.response_head(200, EVENT_STREAM)


def chunked_stream_head(exchange):
    return exchange.response_head(200, EVENT_STREAM, CHUNKED)


def events_of(number):
    """Return the events of one piece, in order."""
    first = 500 * (number - 1) + 1
    return b"".join(event(n) for n in range(first, first + 500))


FORMS = {
    "chunks of one byte": ("desk", whole_head, lambda n: b"1\r\nx\r\n" * 2700),
    "chunk extensions": (
        "desk",
        whole_head,
        lambda n: b"1;" + b"x" * PIECE + b"\r\ny\r\n",
    ),
    "a stream in chunks of one byte": (
        "engines",
        chunked_stream_head,
        lambda n: b"1\r\n:\r\n" * 2700,
    ),
    "blank lines": ("engines", stream_head, lambda n: b"\n" * PIECE),
    "comments": ("engines", stream_head, lambda n: b": x\n\n" * (PIECE // 5)),
    "sound events": ("engines", stream_head, events_of),
}
"""What is sent without end: the service, the head of the answer, and each piece."""


async def call_beside(site, path, outcomes, number):
    """Ask again and again; note the time of each request, None if it was not served."""
    end = trio.current_time() + PLAY_S
    while trio.current_time() < end:
        daemon = site.daemons[number % len(site.daemons)]
        caller = await site.connect(daemon.callers)
        began = trio.current_time()
        headers = site.headers(TOKENS)
        request_id = dict(headers)[b"X-Savorydyke-Request-Id"]
        answer = None
        with suppress(h11.RemoteProtocolError):
            answer = await caller.request("POST", path, headers, b"body")
        await caller.stream.aclose()
        is_served = answer is not None and answer.status == 200 and answer.complete
        outcomes[request_id] = trio.current_time() - began if is_served else None
        await trio.sleep(0.02)


async def serve_beside(site, form):
    """Check that an answer without end costs its own request only."""
    service, head, more = FORMS[form]
    sound = answer_stream if service == "engines" else answer_plainly
    faulty = await site.endpoint("e0", service, endless(head, more))
    for number in range(1, 4):
        await site.endpoint(f"e{number}", service, sound)
    for number in range(2):
        await site.daemon(f"instance-{number}", memory_mb=128)
    await trio.sleep(1.0)
    before = [memory_mb(daemon) for daemon in site.daemons]
    path = "/question/1" if service == "engines" else "/open/1"
    outcomes = {}
    async with trio.open_nursery() as nursery:
        for number in range(CALLERS):
            nursery.start_soon(call_beside, site, path, outcomes, number)
    met = {
        request.headers[b"x-savorydyke-request-id"]
        for request in faulty.received_requests
    }
    others = [taken for name, taken in outcomes.items() if name not in met]
    lost = [taken for taken in others if taken is None]
    assert not lost, (len(lost), len(others), len(met))
    late = statistics.quantiles(others, n=20)[-1]
    assert late < OBJECTIVE_S, (late, len(others))
    assert len(met) < REACHED_SHARE * len(outcomes), (len(met), len(outcomes))
    for daemon, least in zip(site.daemons, before, strict=True):
        growth = memory_mb(daemon) - least
        assert growth < MEMORY_GROWTH_MB, growth


for _form in FORMS:
    CASES[f"{_form} without end cost their own request only"] = partial(
        serve_beside, form=_form
    )


async def longest_delay(stop):
    """Return by how much the event loop was late at worst until `stop` is set."""
    longest = 0.0
    while not stop.is_set():
        before = trio.current_time()
        await trio.sleep(0.005)
        longest = max(longest, trio.current_time() - before - 0.005)
    return longest


async def read_endless(site, form):
    """Return processor time and largest delay of reading an answer without end."""
    _, head, more = FORMS[form]
    lines = b"HTTP/1.1 200 OK\r\n"
    if head is not stream_head:
        lines += b"Transfer-Encoding: chunked\r\n"
    lines += b"Content-Type: text/event-stream\r\n\r\n"

    async def flood(stream):
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            await stream.send_all(lines)
            number = 0
            while True:
                number += 1
                await stream.send_all(more(number))

    endpoint = endpoint_at(site, await site.listen(flood, free_address()))
    opened = await EndpointClient().open(endpoint, "GET", "/", [], b"")
    is_stream = head is not whole_head
    parts = opened.chunks
    if is_stream:
        parts = _events_after(0, parts, needs_ids=True)
    stop = trio.Event()
    delays = []
    used_s = time.process_time()
    async with trio.open_nursery() as nursery:

        async def watch():
            delays.append(await longest_delay(stop))

        nursery.start_soon(watch)
        ended = False
        with trio.move_on_after(READING_S):
            with suppress(httpx.HTTPError, StrayEventError, WastefulAnswerError):
                async for _ in parts:
                    pass
            ended = True
        stop.set()
    await opened.close()
    return ended, time.process_time() - used_s, delays[0]


HEADS = {
    "a header": lambda n: b"HTTP/1.1 200 OK\r\nX: " * (n == 1) + b"x" * PIECE,
    "headers": lambda n: b"HTTP/1.1 200 OK\r\n" * (n == 1) + b"X: x\r\n" * (PIECE // 6),
    "interim answers": lambda n: b"HTTP/1.1 103 Hints\r\n\r\n" * (PIECE // 22),
    "a chunk size": lambda n: (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" * (n == 1)
        + b"0" * PIECE
    ),
    "a trailer": lambda n: (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: " * (n == 1)
        + b"x" * PIECE
    ),
}
"""Heads and framing without end, as the pieces that follow each other."""


def own_memory_mb():
    """Return the memory that this process holds."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize() / 1e6


async def read_flood(site, more):
    """Read an answer that consists of pieces without end, as a stream and whole."""

    async def flood(stream):
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            number = 0
            while True:
                number += 1
                await stream.send_all(more(number))

    endpoint = endpoint_at(site, await site.listen(flood, free_address()))
    with trio.move_on_after(READING_S):
        with suppress(httpx.HTTPError, StrayEventError, WastefulAnswerError):
            opened = await EndpointClient().open(endpoint, "GET", "/", [], b"")
            if isinstance(opened, Lost):
                return
            try:
                async for _ in _events_after(0, opened.chunks, needs_ids=True):
                    pass
            finally:
                await opened.close()


@case("answers without end on the product's own interface take no memory")
async def _(site):
    for name, more in HEADS.items():
        before = own_memory_mb()
        await read_flood(site, more)
        growth = own_memory_mb() - before
        assert growth < MEMORY_GROWTH_MB, (name, growth)
    for form in FORMS:
        before = own_memory_mb()
        await read_endless(site, form)
        growth = own_memory_mb() - before
        assert growth < MEMORY_GROWTH_MB, (form, growth)


@case("answers without end on the product's own interface leave time for others")
async def _(site):
    for form in FORMS:
        if form == "chunk extensions":
            # The library does not show what it has read of them.
            continue
        ended, used_s, delay_s = await read_endless(site, form)
        assert ended or form == "sound events", form
        # Sending costs about as much as reading, in this process.
        assert used_s < 0.5 * READING_S, (form, used_s)
        assert delay_s < LOOP_DELAY_S, (form, delay_s)


@case("the body of an answer to a control call is not read")
async def _(site):
    taken = 0

    async def flood(stream):
        nonlocal taken
        with suppress(trio.BrokenResourceError):
            await stream.receive_some(4096)
            await stream.send_all(b"HTTP/1.1 204 No\r\n\r\n")
            while taken < 100 * len(FLOOD):
                await stream.send_all(FLOOD)
                taken += len(FLOOD)
        stream.socket.close()

    async def flood_body(stream):
        nonlocal taken
        with suppress(trio.BrokenResourceError):
            await stream.receive_some(4096)
            await stream.send_all(b"HTTP/1.1 200 OK\r\n\r\n")
            while taken < 100 * len(FLOOD):
                await stream.send_all(FLOOD)
                taken += len(FLOOD)
        stream.socket.close()

    for serve in (flood, flood_body):
        taken = 0
        endpoint = endpoint_at(site, await site.listen(serve, free_address()))
        with trio.fail_after(1.0):
            assert await EndpointClient().cancel(endpoint, "s")
        assert taken < 50 * len(FLOOD), taken

"""Test cases for routed requests, each against a fresh deployment."""

import json
import math
import re
import signal
import subprocess
import sys
from base64 import b64decode
from contextlib import suppress
from functools import partial
from pathlib import Path

import h11
import trio

from savorydyke._directory import build_manifest
from savorydyke._endpoint_client import EndpointClient
from savorydyke._ids import InstanceId, PoolId
from savorydyke._stream_versions import KEPT_S
from savorydyke.platform import EndpointRecord, read_configuration, read_instance
from savorydyke_bench._soak import FaultProxy, serve_proxy
from savorydyke_standins._routed_endpoint import (
    EVENTS,
    RoutedEndpoint,
    answer_plainly,
    answer_stream,
    chunk,
    event,
)
from savorydyke_standins._routed_site import (
    BOUNDS,
    HOST,
    KEY,
    Answer,
    free_address,
    start_process,
)
from savorydyke_standins._store import Mode

CASES = {}
DISCONNECT_S = 0.5
"""Time within which the disconnect of a caller must reach the endpoint."""
CROSSING_S = 0.2
"""Time in which a request may cross the close of its connection."""
BODY = b"the body of a claim"
OTHER_KEY = [{"name": "crew", "api_keys": ["another"]}]


def case(name):
    """Register a test case under the name that the feature uses."""

    def register(function):
        CASES[name] = function
        return function

    return register


async def start_one(site, service, *scripts):
    """Start one endpoint and one instance."""
    endpoint = await site.endpoint("e1", service, *scripts)
    await site.daemon()
    return endpoint


def is_whole_stream(answer: Answer, first: int = 1) -> bool:
    """Return whether an answer is a complete stream from event `first` on."""
    expected = b"".join(event(n) for n in range(first, EVENTS + 1))
    return answer.complete and answer.status == 200 and answer.body == expected


async def reset(exchange):
    """Reset the connection without an answer."""
    exchange.reset()


async def hang(exchange):
    """Send no answer."""
    await trio.sleep_forever()


async def not_run(exchange):
    """State that the request did not run."""
    await exchange.send_complete(503, b"full", (b"X-Savorydyke-Not-Executed", b"1"))


async def misdirected(exchange):
    """Answer as an endpoint that is not the addressed one."""
    await exchange.send(
        exchange.response_head(421, (b"Content-Length", b"0"), stamped=False)
    )


# Answers


@case("a complete answer is returned with its stamp")
async def _(site):
    await start_one(site, "desk")
    answer = await site.ask("/claim/1?x=%20y")
    assert (answer.status, answer.body, answer.complete) == (200, b"answer", True)
    assert answer.headers[b"x-savorydyke-response-stamp"] == b"stamp"
    assert answer.headers[b"x-savorydyke-request-id"] == b"r1"


@case("an endpoint receives the request without the API key")
async def _(site):
    endpoint = await start_one(site, "desk")
    await site.ask("/claim/1?x=%20y", (b"X-Own", b"kept"), body=BODY)
    (seen,) = endpoint.received_requests
    assert (seen.method, seen.target, seen.body) == (b"POST", b"/claim/1?x=%20y", BODY)
    headers = seen.headers
    assert headers[b"x-savorydyke-tenant"] == b"crew"
    assert headers[b"x-savorydyke-expect-instance"] == b"e1"
    # The caller's remaining time of 3 s, limited by the route's 2 s.
    assert 1500 < int(headers[b"x-savorydyke-deadline-ms"]) <= 2000
    assert headers[b"x-own"] == b"kept"
    assert headers[b"host"] == HOST.encode()
    assert b"authorization" not in headers


@case("headers reserved for the system are removed")
async def _(site):
    endpoint = await start_one(site, "desk")
    await site.ask(
        "/claim/1",
        (b"X-Savorydyke-Hold", b"h"),
        (b"X-Savorydyke-Pin-Ms", b"9"),
        (b"X-Savorydyke-Kv-Backup", b"1.2.3.4:5"),
        (b"Kv-From", b"1.2.3.4:5/h"),
        (b"X-Savorydyke-Tenant", b"other"),
        (b"X-Savorydyke-Expect-Instance", b"other"),
        (b"Connection", b"x-savorydyke-model"),
        (b"X-Savorydyke-Model", b"m"),
    )
    headers = endpoint.received_requests[0].headers
    for name in (b"x-savorydyke-hold", b"x-savorydyke-pin-ms", b"kv-from"):
        assert name not in headers
    assert b"x-savorydyke-kv-backup" not in headers
    assert headers[b"x-savorydyke-tenant"] == b"crew"
    assert headers[b"x-savorydyke-expect-instance"] == b"e1"
    assert headers[b"x-savorydyke-model"] == b"m"


@case("a stream is relayed event by event")
async def _(site):
    async def slow(exchange):
        await exchange.stream_events(1, EVENTS, pause_s=0.1)

    await start_one(site, "engines", slow)
    caller = await site.connect(site.daemons[0].callers)
    started = trio.current_time()
    with trio.move_on_after(0.3):
        await caller.request("POST", "/digest/1", site.headers(), BODY)
    # The first events arrive before the last one is sent.
    assert trio.current_time() - started < 0.4
    answer = await site.ask("/digest/1")
    assert is_whole_stream(answer)


@case("an answer without length is complete when its connection closes")
async def _(site):
    async def unframed(exchange):
        await exchange.send(exchange.response_head() + b"part one, ")
        await exchange.send(b"part two")

    await start_one(site, "desk", unframed)
    answer = await site.ask("/claim/1")
    assert (answer.status, answer.body) == (200, b"part one, part two")
    assert answer.complete


@case("an answer without length whose connection is reset is discarded")
async def _(site):
    async def truncated(exchange):
        await exchange.send(exchange.response_head() + b"part one, ")
        await trio.sleep(0.05)
        exchange.reset()

    await start_one(site, "desk", truncated)
    assert (await site.ask("/claim/1")).status == 502


@case("a truncated answer is discarded")
async def _(site):
    async def truncated(exchange):
        await exchange.send(
            exchange.response_head(200, (b"Content-Length", b"99")) + b"half"
        )

    endpoint = await start_one(site, "desk", truncated)
    answer = await site.ask("/claim/1")
    assert answer.status == 502 and b"may have run" in answer.body
    assert len(endpoint.received_requests) == 1


@case("an answer to another request is discarded")
async def _(site):
    async def foreign(exchange):
        exchange.request.headers[b"x-savorydyke-request-id"] = b"another"
        await exchange.send_complete(200, b"of another")

    await start_one(site, "desk", foreign)
    answer = await site.ask("/claim/1")
    assert answer.status == 502 and b"of another" not in answer.body


@case("a success without a stamp is discarded")
async def _(site):
    async def bare(exchange):
        length = (b"Content-Length", b"4")
        await exchange.send(
            exchange.response_head(200, length, stamped=False) + b"bare"
        )

    await start_one(site, "desk", bare)
    assert (await site.ask("/claim/1")).status == 502


@case("bytes after the end of an answer are discarded")
async def _(site):
    async def extra(exchange):
        await exchange.send_complete(200, b"first")
        await exchange.send_complete(200, b"second")

    await start_one(site, "desk", extra, answer_plainly)
    caller = await site.connect(site.daemons[0].callers)
    first = await caller.request("POST", "/claim/1", site.headers(), BODY)
    second = await caller.request("POST", "/claim/2", site.headers(), BODY)
    assert (first.body, second.body) == (b"first", b"answer")


@case("an error of the endpoint is relayed unchanged")
async def _(site):
    async def fail(exchange):
        await exchange.send_complete(500, b"no such field")

    endpoint = await start_one(site, "desk", fail)
    answer = await site.ask("/claim/1")
    assert (answer.status, answer.body) == (500, b"no such field")
    assert answer.headers[b"x-savorydyke-response-stamp"] == b"stamp"
    assert len(endpoint.received_requests) == 1


@case("a 503 without the not-executed header becomes 502")
async def _(site):
    async def busy(exchange):
        await exchange.send_complete(503, b"later")

    await start_one(site, "desk", busy)
    answer = await site.ask("/claim/1")
    assert answer.status == 502
    assert b"x-savorydyke-response-stamp" not in answer.headers


@case("an answer sent before a long body is read is relayed")
async def _(site):
    async def early(exchange):
        await exchange.send_complete(400, b"too long")

    endpoint = await start_one(site, "desk", early)
    endpoint.read_body = False
    answer = await site.ask("/claim/1", body=b"x" * 150_000)
    assert (answer.status, answer.body) == (400, b"too long")


@case("a non-retryable request whose answer is lost is sent once")
async def _(site):
    first = await site.endpoint("e1", "desk", reset)
    second = await site.endpoint("e2", "desk", reset)
    await site.daemon()
    answer = await site.ask("/claim/1")
    assert answer.status == 502 and b"retry-after" not in answer.headers
    assert len(first.received_requests) + len(second.received_requests) == 1


@case("a retryable request whose answer is lost is retried elsewhere")
async def _(site):
    first = await site.endpoint("e1", "desk", reset, answer_plainly)
    second = await site.endpoint("e2", "desk", reset, answer_plainly)
    await site.daemon()
    # Each endpoint loses its first answer and sends the next one.
    answer = await site.ask("/lookup/1", method="GET", body=b"")
    assert len(first.received_requests) == len(second.received_requests) == 1
    assert answer.status == 502
    assert (await site.ask("/lookup/1", method="GET", body=b"")).status == 200


@case("a retryable request that fails is retried elsewhere")
async def _(site):
    async def fail(exchange):
        await exchange.send_complete(500, b"failed")

    first = await site.endpoint("e1", "desk", fail, answer_plainly)
    second = await site.endpoint("e2", "desk", answer_plainly)
    await site.daemon()
    for _ in range(4):
        answer = await site.ask("/lookup/1", method="GET", body=b"")
        assert answer.status == 200
    assert first.received_requests and second.received_requests


@case("a non-retryable request that did not run is sent elsewhere")
async def _(site):
    first = await site.endpoint("e1", "desk", not_run)
    second = await site.endpoint("e2", "desk", answer_plainly)
    await site.daemon()
    for number in range(4):
        answer = await site.ask(f"/claim/{number}")
        assert answer.status == 200
    assert first.received_requests and len(second.received_requests) == 4


@case("a misdirected request is refused as not run")
async def _(site):
    endpoint = await start_one(site, "desk", misdirected)
    answer = await site.ask("/claim/1")
    assert answer.status == 503 and b"not run" in answer.body
    assert 0 < float(answer.headers[b"retry-after"]) <= 1.0
    # The route allows two sends.
    assert len(endpoint.received_requests) <= 2


@case("an unreachable endpoint fails no request")
async def _(site):
    await site.endpoint("e2", "desk")
    site.addresses["e1"] = free_address()
    site.write_record("e1", "desk")
    await site.daemon()
    for number in range(4):
        assert (await site.ask(f"/claim/{number}")).status == 200


@case("an interrupted stream resumes after its last event")
async def _(site):
    async def broken(exchange):
        await exchange.stream_events(1, 2, end=False)
        await exchange.send(chunk(event(3)[:6]))
        await trio.sleep(0.05)
        exchange.reset()

    first = await site.endpoint("e1", "engines", broken, answer_stream)
    second = await site.endpoint("e2", "engines", broken, answer_stream)
    await site.daemon()
    async with trio.open_nursery() as nursery:
        nursery.cancel_scope.deadline = trio.current_time() + 5
        answer = await site.ask("/digest/1")
    # Both endpoints interrupted their streams, and two sends are the limit.
    assert not is_whole_stream(answer)
    assert is_whole_stream(await site.ask("/digest/1"))
    later = [*first.received_requests, *second.received_requests]
    assert sorted(s.headers.get(b"last-event-id", b"") for s in later)[-1] == b"2"

    first.scripts = [broken]
    second.scripts = [answer_stream]
    for _ in range(3):
        assert is_whole_stream(await site.ask("/digest/1"))


@case("an interrupted stream that must not resume is truncated")
async def _(site):
    async def broken(exchange):
        await exchange.stream_events(1, 2, end=False)
        exchange.reset()

    first = await site.endpoint("e1", "engines", broken)
    second = await site.endpoint("e2", "engines", broken)
    await site.daemon()
    answer = await site.ask("/question/1")
    assert answer.status == 200 and not answer.complete
    assert len(first.received_requests) + len(second.received_requests) == 1


@case("a request to a silent endpoint ends at the route's time-out")
async def _(site):
    endpoint = await start_one(site, "desk", hang)
    started = trio.current_time()
    answer = await site.ask("/claim/1")
    assert answer.status == 504
    assert 1.9 < trio.current_time() - started < 2.4
    await site.wait_until(
        lambda: endpoint.received_requests[0].closed_at is not None, DISCONNECT_S
    )


async def pausing(exchange):
    """Pause within a stream for longer than `STALLED_STREAM_S`."""
    kind = (b"Content-Type", b"text/event-stream")
    head = exchange.response_head(200, kind, (b"Transfer-Encoding", b"chunked"))
    await exchange.send(head + chunk(event(1)))
    await trio.sleep(0.9)
    for number in range(2, EVENTS + 1):
        await exchange.send(chunk(event(number)))
    await exchange.send(b"0\r\n\r\n")


def streaming_for(seconds):
    """Return a script that streams for `seconds`."""

    async def script(exchange):
        await exchange.stream_events(1, EVENTS, pause_s=seconds / EVENTS)

    return script


@case("a paused stream is kept if there is no other endpoint")
async def _(site):
    endpoint = await start_one(site, "engines", pausing)
    answer = await site.ask("/digest/1")
    assert is_whole_stream(answer)
    assert len(endpoint.received_requests) == 1


async def pause_beside_busy_endpoint(site, seconds):
    """Pause a stream at one endpoint while all slots of the other are in use.

    Returns
    -------
    tuple of Answer and RoutedEndpoint
        The stream that pauses, and the other endpoint.
    """

    async def rest(exchange):
        await exchange.stream_events(2, EVENTS)

    scripts = [*[streaming_for(seconds)] * 4, rest]
    other = await site.endpoint("e2", "engines", *scripts)
    daemon = await site.daemon()
    more = (b"X-Savorydyke-Token-Count", b"500,50")
    async with trio.open_nursery() as nursery:
        for _ in range(4):
            nursery.start_soon(site.ask, "/question/1", more)
        await site.wait_until(lambda: len(other.received_requests) == 4)
        await site.endpoint("e1", "engines", pausing)
        await site.wait_until(lambda: '"endpoint": "e1"' in daemon.log.read_text())
        answer = await site.ask("/digest/1", more)
    return answer, other


@case("a paused stream is kept if the pool has no free capacity")
async def _(site):
    answer, other = await pause_beside_busy_endpoint(site, 1.9)
    assert is_whole_stream(answer), answer
    assert len(other.received_requests) == 4


@case("refusals under load state a retry delay")
async def _(site):
    async def slow(exchange):
        await exchange.stream_events(1, EVENTS, pause_s=0.3)

    endpoint = await start_one(site, "engines", slow)
    answers = []

    async def ask():
        more = (b"X-Savorydyke-Token-Count", b"500,50")
        answers.append(await site.ask("/question/1", more))

    async with trio.open_nursery() as nursery:
        for _ in range(16):
            nursery.start_soon(ask)
            await trio.sleep(0.02)
    refusals = [answer for answer in answers if answer.status == 503]
    assert len(endpoint.received_requests) + len(refusals) == 16 and len(refusals) >= 8
    for answer in refusals:
        assert b"not run" in answer.body
        assert 0.05 <= float(answer.headers[b"retry-after"]) <= 1.0


# Callers


@case("a caller that disconnects ends its request at the endpoint")
async def _(site):
    endpoint = await start_one(site, "engines", hang)
    caller = await site.connect(site.daemons[0].callers)
    with trio.move_on_after(0.3):
        await caller.request("POST", "/digest/1", site.headers(), BODY)
    await caller.stream.aclose()
    await site.wait_until(
        lambda: endpoint.received_requests[0].closed_at is not None, DISCONNECT_S
    )


@case("a queued request whose caller disconnects is not sent")
async def _(site):
    endpoint = await start_one(site, "engines", hang)
    callers = []
    for _ in range(8):
        caller = await site.connect(site.daemons[0].callers)
        with trio.move_on_after(0.1):
            await caller.request("POST", "/question/1", site.headers(), BODY)
        callers.append(caller)
    sent = len(endpoint.received_requests)
    assert sent <= 4
    for caller in reversed(callers):
        await caller.stream.aclose()
        await trio.sleep(0.05)
    await trio.sleep(DISCONNECT_S)
    assert len(endpoint.received_requests) == sent


@case("a request with an incomplete body is not sent")
async def _(site):
    endpoint = await start_one(site, "desk")
    caller = await site.connect(site.daemons[0].callers)
    head = raw_head(site, "/claim/1", b"Content-Length: 100")
    await caller.send(head + b"half of it")
    await caller.stream.aclose()
    await trio.sleep(0.2)
    assert not endpoint.received_requests


@case("a chunked body reaches the endpoint complete")
async def _(site):
    endpoint = await start_one(site, "desk")
    caller = await site.connect(site.daemons[0].callers)
    head = raw_head(site, "/claim/1", b"Transfer-Encoding: chunked")
    await caller.send(head + chunk(b"one, ") + chunk(b"two") + b"0\r\n\r\n")
    assert b" 200 " in await caller.stream.receive_some(1000)
    assert endpoint.received_requests[0].body == b"one, two"


@case("successive requests on one connection are answered")
async def _(site):
    await start_one(site, "desk")
    caller = await site.connect(site.daemons[0].callers)
    for _ in range(3):
        answer = await caller.request("POST", "/claim/1", site.headers(), BODY)
        assert answer.status == 200


@case("pipelined requests are answered in order")
async def _(site):
    endpoint = await start_one(site, "desk")
    caller = await site.connect(site.daemons[0].callers)
    first = raw_head(site, "/claim/1", b"Content-Length: 3") + b"abc"
    second = raw_head(site, "/claim/2", b"Content-Length: 3") + b"def"
    await caller.send(first + second)
    data = b""
    with trio.fail_after(3):
        while data.count(b"answer") < 2:
            data += await caller.stream.receive_some(1000)
    assert data.index(b": r1") < data.index(b": r2")
    assert [s.body for s in endpoint.received_requests] == [b"abc", b"def"]


@case("a request smuggled inside another is not sent")
async def _(site):
    endpoint = await start_one(site, "desk")
    inner = raw_head(site, "/claim/inner", b"Content-Length: 0")
    framings = [
        b"Content-Length: 5\r\nTransfer-Encoding: chunked",
        b"Content-Length: 0\r\nContent-Length: %d" % len(inner),
        b"Transfer-Encoding: chunked, identity",
        b"Transfer-Encoding : chunked",
        b"Content-Length: +5",
    ]
    for framing in framings:
        caller = await site.connect(site.daemons[0].callers)
        await caller.send(raw_head(site, "/claim/1", framing) + inner)
        with trio.fail_after(2):
            data = await caller.stream.receive_some(1000)
            assert data.split(b" ")[1] in {b"400", b"501"}, (framing, data)
            while await caller.stream.receive_some(1000):
                pass
    assert not endpoint.received_requests


@case("malformed requests are refused with the matching status")
async def _(site):
    endpoint = await start_one(site, "desk")
    caller = await site.connect(site.daemons[0].callers)
    headers = [(b"Host", HOST.encode()), (b"Authorization", b"Bearer key-of-crew")]
    assert (await caller.request("POST", "/claim/1", headers, BODY)).status == 400
    twice = (b"X-Savorydyke-Request-Id", b"another")
    assert (await site.ask("/claim/1", twice)).status == 400
    deadline = (b"X-Savorydyke-Deadline-Ms", b"soon")
    assert (await site.ask("/claim/1", deadline)).status == 400
    assert (await site.ask("/claim/1", (b"X-Long", b"x" * 9000))).status == 431
    assert (await site.ask("/claim/1", body=b"x" * 200_001)).status == 413
    caller = await site.connect(site.daemons[0].callers)
    await caller.send(b"no HTTP at all\r\n\r\n")
    assert (await caller.stream.receive_some(100)).startswith(b"HTTP/1.1 400")
    assert not endpoint.received_requests
    assert (await site.ask("/claim/1")).status == 200


@case("a request whose head arrives too slowly gets 408")
async def _(site):
    await start_one(site, "desk")
    caller = await site.connect(site.daemons[0].callers)
    await caller.send(b"POST /claim/1 HTTP/1.1\r\nHost: desk")
    with trio.fail_after(1.5):
        assert (await caller.stream.receive_some(100)).startswith(b"HTTP/1.1 408")


@case("an unknown key gets 401 and an unknown path 404")
async def _(site):
    endpoint = await start_one(site, "desk")
    assert (await site.ask("/claim/1", key="wrong")).status == 401
    assert (await site.ask("/claim/1", key=None)).status == 401
    assert (await site.ask("/nothing/1")).status == 404
    assert not endpoint.received_requests
    assert (await site.ask("/open/1", key=None)).status == 200
    assert b"x-savorydyke-tenant" not in endpoint.received_requests[0].headers


def raw_head(site, path: str, framing: bytes) -> bytes:
    """Return the head of a valid request with the given framing headers."""
    lines = [b"POST %s HTTP/1.1" % path.encode()]
    lines += [b"%s: %s" % pair for pair in site.headers()]
    return b"\r\n".join([*lines, framing]) + b"\r\n\r\n"


# The store


@case("a new version of the configuration takes effect soon")
async def _(site):
    await start_one(site, "desk")
    assert (await site.ask("/new/1")).status == 404
    route = dict(site.routes()[0], name="new", prefix="/new/")
    site.configure(routes=[*site.routes(), route])
    await trio.sleep(1.0)
    assert (await site.ask("/new/1")).status == 200


@case("an older version of the configuration is ignored")
async def _(site):
    await start_one(site, "desk")
    site.configure(routes=site.routes()[:1])
    await trio.sleep(1.0)
    site.version -= 2
    site.configure()
    await trio.sleep(1.0)
    assert (await site.ask("/lookup/1")).status == 404


@case("a revoked key stops working")
async def _(site):
    await start_one(site, "desk")
    caller = await site.connect(site.daemons[0].callers)
    assert (
        await caller.request("POST", "/claim/1", site.headers(), BODY)
    ).status == 200
    site.configure(tenants=[{"name": "crew", "api_keys": ["another"]}])
    await trio.sleep(BOUNDS["revocation_ms"] / 1000)
    assert (
        await caller.request("POST", "/claim/1", site.headers(), BODY)
    ).status == 401


@case("requests with a key are refused while the configuration is stale")
async def _(site):
    endpoint = await start_one(site, "desk")
    site.store.mode = Mode.SILENT
    site.configure(tenants=[{"name": "crew", "api_keys": ["another"]}])
    await trio.sleep(BOUNDS["revocation_ms"] / 1000)
    answer = await site.ask("/claim/1")
    assert answer.status == 503 and b"not run" in answer.body
    assert float(answer.headers[b"retry-after"]) > 0
    assert (await site.ask("/open/1", key=None)).status == 200
    assert (await site.ask("/nothing/1")).status == 503
    assert len(endpoint.received_requests) == 1
    assert not await site.is_ready(site.daemons[0])
    site.store.mode = Mode.OK
    await site.wait_until_ready(site.daemons[0])
    assert (await site.ask("/claim/1", key="another")).status == 200


for mode, word in (
    (Mode.BUSY, "is busy"),
    (Mode.LIMITED, "limits"),
    (Mode.RESET, "resets"),
    (Mode.SILENT, "is silent"),
    (Mode.LOST, "loses answers"),
):

    @case(f"a start waits for a store that {word}")
    async def _(site, mode=mode):
        await site.endpoint("e1", "desk")
        site.store.mode = mode
        daemon = await site.daemon(wait=False)
        # It listens later on a busy machine.
        await site.wait_until(lambda: "Started." in daemon.log.read_text(), 10.0)
        await trio.sleep(1.5)
        assert not await site.is_ready(daemon)
        if mode is not Mode.SILENT:
            assert (await site.ask("/claim/1")).status == 503
        # Back-off keeps an instance that is not ready under the store's rate limit.
        assert len(site.store.calls) < 60
        site.store.mode = Mode.OK
        await site.wait_until_ready(daemon)
        assert (await site.ask("/claim/1")).status == 200


@case("a listing replaces a history that was compacted")
async def _(site):
    await start_one(site, "desk")
    site.store.mode = Mode.BUSY
    await trio.sleep(0.5)
    site.configure(tenants=[{"name": "crew", "api_keys": ["another"]}])
    site.store.remove("servers/e1")
    await site.endpoint("e2", "desk")
    site.store.compact()
    site.store.mode = Mode.OK
    await trio.sleep(1.5)
    assert (await site.ask("/claim/1")).status == 401
    assert (await site.ask("/claim/1", key="another")).status == 200
    await trio.sleep(2.0)
    for number in range(4):
        assert (await site.ask(f"/claim/{number}", key="another")).status == 200
    sent = len(site.endpoints["e1"].received_requests)
    assert (await site.ask("/claim/1", key="another")).status == 200
    assert len(site.endpoints["e1"].received_requests) == sent


@case("unreadable records add no endpoint")
async def _(site):
    endpoint = await start_one(site, "desk")
    record = {"service": "desk", "address": "127.0.0.1:1", "zone": "a", "slots": 4}
    record |= {"state": "ready", "born": 1}
    site.store.put("servers/x1", b"\xff\xfe no text")
    site.store.put("servers/x2", b"[]")
    for number, (name, value) in enumerate(
        [("state", "odd"), ("slots", "4"), ("address", 7), ("service", None)]
    ):
        site.store.put(f"servers/y{number}", record | {name: value})
    site.store.put("servers/z", {"service": "desk"})
    site.store.put("servers/unknown", record | {"service": "nothing here"})
    await trio.sleep(1.0)
    for number in range(6):
        assert (await site.ask(f"/claim/{number}")).status == 200
    assert len(endpoint.received_requests) == 6
    lines = [x for x in site.daemons[0].log_records() if "unreadable" in x["message"]]
    assert len(lines) == 7


@case("a draining endpoint gets no requests")
async def _(site):
    first = await site.endpoint("e1", "desk")
    second = await site.endpoint("e2", "desk")
    await site.daemon()
    site.write_record("e1", "desk", state="draining")
    await trio.sleep(1.0)
    for number in range(5):
        assert (await site.ask(f"/claim/{number}")).status == 200
    assert (len(first.received_requests), len(second.received_requests)) == (0, 5)


@case("an endpoint whose record was removed gets no requests")
async def _(site):
    first = await site.endpoint("e1", "desk")
    await site.daemon()
    await trio.sleep(2.5)
    site.store.remove("servers/e1")
    await trio.sleep(1.0)
    answer = await site.ask("/claim/1")
    assert answer.status == 503 and not first.received_requests


@case("records that expired in an outage are kept for a grace period")
async def _(site):
    endpoint = await site.endpoint("e1", "desk")
    # In 0.6 s a record of this endpoint can expire.
    await site.daemon(endpoint_heartbeat_ms=100)
    site.store.mode = Mode.BUSY
    await trio.sleep(0.6)
    site.store.remove("servers/e1")
    site.store.mode = Mode.OK
    await trio.sleep(1.2)
    assert (await site.ask("/claim/1")).status == 200
    await trio.sleep(2.5)
    assert (await site.ask("/claim/1")).status == 503
    assert len(endpoint.received_requests) == 1


@case("an instance without the store learns the configuration from a peer")
async def _(site):
    await site.endpoint("e1", "desk")
    proxy = FaultProxy(site.store_address)
    store = await serve_proxy(site, proxy, "127.0.0.1:0")
    await site.daemon("instance-1", store=store)
    await site.daemon("instance-2")
    await trio.sleep(1.0)
    proxy.fault = "silent"
    await trio.sleep(BOUNDS["revocation_ms"] / 1000)
    # The peer confirms that the configuration is the newest.
    assert (await site.ask("/claim/1")).status == 200
    site.configure(tenants=[{"name": "crew", "api_keys": ["another"]}])
    await trio.sleep(1.5)
    assert (await site.ask("/claim/1", key="another")).status == 200
    assert (await site.ask("/claim/1")).status == 401


@case("an instance writes its capacity into its record")
async def _(site):
    await start_one(site, "desk")
    key = "savorydyke/instances/instance-1"
    await site.wait_until(lambda: key in site.store.items)
    record = read_instance(
        InstanceId("instance-1"), b64decode(site.store.items[key].value)
    )
    # 0.55 of a core that is twice as fast as the reference core.
    assert record.cores == 1.1


@case("a record whose lease was lost is written again")
async def _(site):
    await start_one(site, "desk")
    key = "savorydyke/instances/instance-1"
    await site.wait_until(lambda: key in site.store.items)
    lease = site.store.items[key].lease
    assert lease
    site.store.end_lease(lease)
    assert key not in site.store.items
    await site.wait_until(lambda: key in site.store.items, 5.0)
    assert site.store.items[key].lease != lease


@case("endpoints beyond the first page of a listing are found")
async def _(site):
    for number in range(120):
        site.store.put(f"savorydyke/other/{number:03}", {"n": number})
    endpoint = await start_one(site, "desk")
    assert (await site.ask("/claim/1")).status == 200
    assert len(endpoint.received_requests) == 1
    assert site.store.calls.count("/savorydyke/kv-range") >= 3


@case("a restarted endpoint replaces its earlier process")
async def _(site):
    first = await start_one(site, "desk")
    second = RoutedEndpoint()
    site.addresses["e1"] = await site.listen(second.serve, free_address())
    site.write_record("e1", "desk", born=2)
    await trio.sleep(1.0)
    assert (await site.ask("/claim/1")).status == 200
    # The record of the earlier process arrives late.
    site.store.put("servers/e1", b"{}")
    site.write_record("e1", "desk", born=2)
    await trio.sleep(1.0)
    assert (await site.ask("/claim/2")).status == 200
    assert (len(first.received_requests), len(second.received_requests)) == (0, 2)


# Failures that operators of similar systems reported


def endpoint_at(site, address):
    """Return an endpoint of the desk as the manifest has it."""
    record = EndpointRecord("e1", PoolId("desk"), address, "a", 4, False, 0.0, 1)
    configuration = read_configuration(json.dumps(site.configuration()).encode())
    return build_manifest(configuration, {"e1": record}).endpoints["e1"]


@case("an answer that an endpoint repeats late is not taken for the next one")
async def _(site):
    async def repeat(stream):
        while request := await stream.receive_some(65536):
            number = request.split(b" ")[1][-1:]
            answer = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + number
            await stream.send_all(answer)
            await trio.sleep(0.1)
            with suppress(trio.BrokenResourceError):
                await stream.send_all(answer)

    address = await site.listen(repeat, free_address())
    endpoint = endpoint_at(site, address)
    client = EndpointClient()
    bodies = []
    for number in range(3):
        opened = await client.open(endpoint, "GET", f"/v1/{number}", [], b"")
        bodies.append(b"".join([part async for part in opened.chunks]))
        await opened.close()
        # The copy arrives while the next request is under way.
        await trio.sleep(0.05)
    assert bodies == [b"0", b"1", b"2"], bodies


@case("a report without end is not read to its end")
async def _(site):
    taken = 0

    async def flood(stream):
        nonlocal taken
        with suppress(trio.BrokenResourceError):
            await stream.send_all(b"HTTP/1.1 200 OK\r\n\r\n{")
            while taken < FLOOD_BYTES:
                await stream.send_all(FLOOD)
                taken += len(FLOOD)
        stream.socket.close()

    endpoint = endpoint_at(site, await site.listen(flood, free_address()))
    started = trio.current_time()
    assert await EndpointClient().get_json(endpoint, "/load") is None
    assert trio.current_time() - started < 1.0
    assert taken < FLOOD_BYTES / 10, taken


@case("a stop under load leaves no accepted request without an answer")
async def _(site):
    async def work(exchange):
        await trio.sleep(0.05)
        await exchange.send_complete()

    for number in range(3):
        await site.endpoint(f"e{number}", "desk", work)
    daemon = await site.daemon()
    without_answer = []
    answered = []

    async def call(keep):
        caller = None
        while daemon.process.poll() is None:
            try:
                if caller is None:
                    caller = await site.connect(daemon.callers)
                sent = trio.current_time()
                answer = await caller.request("POST", "/lookup/1", site.headers(), BODY)
            except (OSError, trio.BrokenResourceError):
                # Not accepted, or closed before the request was sent.
                caller = None
                await trio.sleep(0.01)
                continue
            took_s = trio.current_time() - sent
            (answered if answer.complete else without_answer).append(took_s)
            if not keep or answer.headers.get(b"connection") == b"close":
                await caller.stream.aclose()
                caller = None
            elif not answer.complete:
                caller = None

    async with trio.open_nursery() as nursery:
        for number in range(12):
            nursery.start_soon(call, number % 2 == 0)
        await trio.sleep(0.5)
        daemon.stop()
    assert len(answered) > 100
    # A request may cross the close of its connection.
    assert not [took_s for took_s in without_answer if took_s > CROSSING_S], (
        without_answer
    )


LONGER_THAN_STOP_MS = 10_000


async def stop_with_requests(site, second_signal):
    """Stop an instance whose endpoint hangs; return the answers to three claims.

    The endpoint takes the first two, and the last one waits.
    """
    site.configure(routes=[site.routes()[0] | {"timeout_ms": LONGER_THAN_STOP_MS}])
    endpoint = await site.endpoint("e1", "desk", hang)
    site.write_record("e1", "desk", slots=2, seq=2)
    daemon = await site.daemon()
    await trio.sleep(0.5)
    answers = []

    async def ask(number):
        caller = await site.connect(daemon.callers)
        headers = site.headers(deadline_ms=LONGER_THAN_STOP_MS)
        answer = await caller.request("POST", f"/claim/{number}", headers, BODY)
        answers.append((number, answer))

    async with trio.open_nursery() as nursery:
        for number in range(3):
            nursery.start_soon(ask, number)
            await trio.sleep(0.2)
        assert count(endpoint) == 2
        daemon.process.send_signal(signal.SIGTERM)
        if second_signal:
            await trio.sleep(0.3)
            daemon.process.send_signal(signal.SIGTERM)
    return [answer for _, answer in sorted(answers, key=lambda item: item[0])]


def check_told_of_stop(answers):
    """Check that callers without an answer were told whether their claims ran."""
    for number, answer in enumerate(answers):
        # 503 promises that a request has not run and never will.
        status, outcome = (502, b"may have run") if number < 2 else (503, b"not run")
        assert answer.complete and answer.status == status, (number, answer)
        assert outcome in answer.body and b"stop" in answer.body, (number, answer)


@case("requests that a second signal aborts are told whether they ran")
async def _(site):
    check_told_of_stop(await stop_with_requests(site, second_signal=True))


@case("requests that the end of a stop aborts are told whether they ran")
async def _(site):
    check_told_of_stop(await stop_with_requests(site, second_signal=False))


@case("a stream that only sends parts of an event counts as stalled")
async def _(site):
    async def dribble(exchange):
        kind = (b"Content-Type", b"text/event-stream")
        head = exchange.response_head(200, kind, (b"Transfer-Encoding", b"chunked"))
        await exchange.send(head + chunk(event(1)) + chunk(event(2)))
        while True:
            await trio.sleep(0.1)
            await exchange.send(chunk(b":"))

    other = await site.endpoint("e2", "engines", answer_stream)
    daemon = await site.daemon()
    await site.endpoint("e1", "engines", dribble)
    await site.wait_until(lambda: '"endpoint": "e1"' in daemon.log.read_text())
    site.write_record("e2", "engines", state="draining")
    await trio.sleep(1.0)
    answers = []

    async def ask():
        answers.append(await site.ask("/digest/1"))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask)
        await trio.sleep(0.2)
        site.write_record("e2", "engines", born=2)
    assert is_whole_stream(answers[0]), answers
    assert other.received_requests[-1].headers[b"last-event-id"] == b"2"


@case("a stream that stalls for good ends at the route's time-out")
async def _(site):
    async def dribble(exchange):
        kind = (b"Content-Type", b"text/event-stream")
        head = exchange.response_head(200, kind, (b"Transfer-Encoding", b"chunked"))
        await exchange.send(head + chunk(event(1)))
        while True:
            await trio.sleep(0.1)
            await exchange.send(chunk(b":"))

    endpoint = await start_one(site, "engines", dribble)
    started = trio.current_time()
    answer = await site.ask("/question/1", deadline_ms=9000)
    assert not answer.complete
    assert 1.9 < trio.current_time() - started < 2.4
    await site.wait_until(
        lambda: endpoint.received_requests[0].closed_at is not None, DISCONNECT_S
    )


@case("a slow stream whose events keep coming is not cut")
async def _(site):
    async def slow(exchange):
        await exchange.stream_events(1, EVENTS, pause_s=0.35)

    first = await start_one(site, "engines", slow)
    second = await site.endpoint("e2", "engines", slow)
    await trio.sleep(1.0)
    assert is_whole_stream(await site.ask("/digest/1"))
    assert count(first) + count(second) == 1


@case("a restarted instance does not use what left or was revoked before")
async def _(site):
    leaving = await site.endpoint("e1", "desk")
    await site.endpoint("e2", "desk")
    daemon = await site.daemon()
    await trio.sleep(2.5)
    site.store.remove("servers/e1")
    site.configure(tenants=OTHER_KEY)
    await trio.sleep(1.0)
    daemon.process.kill()
    daemon.process.wait()
    # The store is out, so that the instance can not know what has changed.
    site.store.mode = Mode.BUSY
    daemon.process = start_process(daemon.settings, daemon.log)
    await trio.sleep(1.5)
    for key in (KEY, "another"):
        assert (await site.ask("/claim/1", key=key)).status == 503
    site.store.mode = Mode.OK
    await site.wait_until_ready(daemon)
    assert (await site.ask("/claim/1")).status == 401
    for number in range(6):
        assert (await site.ask(f"/claim/{number}", key="another")).status == 200
    assert count(leaving) == 0


@case("work of a frozen instance goes on and is not run again")
async def _(site):
    async def slow(exchange):
        await trio.sleep(1.0)
        await exchange.send_complete()

    async def stream(exchange):
        await exchange.stream_events(1, EVENTS, pause_s=0.3)

    desk = [await site.endpoint(f"e{n}", "desk", slow) for n in range(2)]
    engines = [await site.endpoint(f"m{n}", "engines", stream) for n in range(2)]
    for number in range(2):
        await site.daemon(f"instance-{number}")
    await trio.sleep(1.5)
    for frozen in site.daemons:
        answers = []

        async def ask(path, answers=answers):
            answers.append(await site.ask(path, deadline_ms=6000))

        before = sum(count(endpoint) for endpoint in desk + engines)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask, "/claim/1")
            nursery.start_soon(ask, "/question/1")
            await trio.sleep(0.4)
            # Longer than peers wait for its heartbeats.
            frozen.process.send_signal(signal.SIGSTOP)
            await trio.sleep(1.3)
            frozen.process.send_signal(signal.SIGCONT)
        assert [answer.status for answer in answers] == [200, 200]
        assert all(answer.complete for answer in answers)
        assert sum(count(endpoint) for endpoint in desk + engines) == before + 2
        await trio.sleep(1.0)


@case("work of an endpoint whose record expires goes on and is not run again")
async def _(site):
    async def stream(exchange):
        await exchange.stream_events(1, EVENTS, pause_s=0.35)

    first = await site.endpoint("e1", "engines", stream)
    second = await site.endpoint("e2", "engines", stream)
    await site.daemon()
    await trio.sleep(2.5)
    answers = []

    async def ask():
        answers.append(await site.ask("/digest/1"))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask)
        await site.wait_until(lambda: count(first) + count(second) == 1)
        site.store.remove("servers/e1")
        site.store.remove("servers/e2")
    assert is_whole_stream(answers[0])
    assert count(first) + count(second) == 1


# Endpoints that leave or ask for a pause

LEAVING = (b"Server-Leaving", b"1")
NOT_RUN = (b"X-Savorydyke-Not-Executed", b"1")


async def leave(exchange):
    """Answer, and state that this is the last request that is taken."""
    await exchange.send_complete(200, b"answer", LEAVING)


def count(endpoint):
    """Return how many requests an endpoint has received."""
    return len(endpoint.received_requests)


async def ask_all(site, number, path="/claim/1"):
    """Send requests to each instance in turn; return their statuses."""
    statuses = []
    for turn in range(number):
        caller = await site.connect(site.daemons[turn % len(site.daemons)].callers)
        answer = await caller.request("POST", path, site.headers(), BODY)
        await caller.stream.aclose()
        statuses.append(answer.status)
    return statuses


@case("an endpoint that says that it leaves gets no more requests")
async def _(site):
    leaving = await site.endpoint("e1", "desk", leave)
    await site.endpoint("e2", "desk")
    await site.daemon("instance-1")
    await site.daemon("instance-2")
    await trio.sleep(1.0)
    while not leaving.received_requests:
        await site.ask("/claim/1")
    # Its record says that it is ready.
    for _ in range(8):
        assert (await site.ask("/claim/1")).status == 200
    assert count(leaving) == 1
    await trio.sleep(0.6)
    assert await ask_all(site, 8) == [200] * 8
    site.write_record("e1", "desk", seq=5)
    await trio.sleep(1.0)
    assert await ask_all(site, 8) == [200] * 8
    assert count(leaving) == 1
    # Another process of the same name takes requests.
    again = RoutedEndpoint()
    site.addresses["e1"] = await site.listen(again.serve, free_address())
    site.write_record("e1", "desk", born=2)
    site.write_record("e2", "desk", state="draining")
    await trio.sleep(4.0)
    assert await ask_all(site, 4) == [200] * 4
    assert count(again) == 4


@case("an endpoint that leaves with an error gets no more requests")
async def _(site):
    async def reject(exchange):
        await exchange.send_complete(503, b"", NOT_RUN, LEAVING)

    async def stream(exchange):
        exchange.more_headers = [LEAVING]
        await answer_stream(exchange)

    first = await site.endpoint("e1", "desk", reject)
    await site.endpoint("e2", "desk")
    third = await site.endpoint("e3", "engines", stream)
    await site.endpoint("e4", "engines", answer_stream)
    await site.daemon()
    for number in range(8):
        assert (await site.ask(f"/claim/{number}")).status == 200
        assert is_whole_stream(await site.ask(f"/question/{number}"))
    assert count(first) <= 1 and count(third) <= 1


@case("all endpoints of a pool may leave at once")
async def _(site):
    endpoints = [await site.endpoint(f"e{n}", "desk", leave) for n in range(3)]
    await site.daemon("instance-1")
    await site.daemon("instance-2")
    await trio.sleep(1.0)
    statuses = await ask_all(site, 12)
    assert statuses.count(200) <= 6 and statuses[-1] == 503
    answer = await site.ask("/claim/1")
    assert b"not run" in answer.body and float(answer.headers[b"retry-after"]) > 0
    # Each instance hears of it from the endpoint or from the other one.
    assert all(1 <= count(endpoint) <= 2 for endpoint in endpoints)


@case("an endpoint that says that it leaves is not used after a restore")
async def _(site):
    leaving = await site.endpoint("e1", "desk", leave)
    await site.endpoint("e2", "desk")
    await site.daemon()
    backup = site.store.back_up()
    while not leaving.received_requests:
        await site.ask("/claim/1")
    site.store.restore(backup)
    await trio.sleep(1.0)
    site.write_record("e1", "desk", seq=9)
    await trio.sleep(1.0)
    assert await ask_all(site, 8) == [200] * 8
    assert count(leaving) == 1


def rejecting(*values):
    """Return a script that rejects requests and asks for a pause."""

    async def reject(exchange):
        headers = [(b"Retry-After", value) for value in values]
        await exchange.send_complete(503, b"", NOT_RUN, *headers)

    return reject


@case("an endpoint that asks for a pause gets no requests until its end")
async def _(site):
    # A claim asks again elsewhere, so that the first rejection costs nothing.
    pausing_one = await site.endpoint("e1", "desk", rejecting(b"2.5"), answer_plainly)

    async def answer_slowly(exchange):
        # The endpoint that pauses would be preferred.
        await trio.sleep(0.15)
        await exchange.send_complete()

    await site.endpoint("e2", "desk", answer_slowly)
    await site.daemon()
    while not pausing_one.received_requests:
        assert (await site.ask("/claim/1")).status == 200
    started = trio.current_time()
    while trio.current_time() < started + 2.4:
        assert (await site.ask("/claim/1")).status == 200
        await trio.sleep(0.02)
    assert count(pausing_one) == 1
    site.write_record("e2", "desk", state="draining")
    await trio.sleep(1.0)
    assert (await site.ask("/claim/1")).status == 200
    assert count(pausing_one) == 2


@case("a pool that asks for a pause gets no requests until its end")
async def _(site):
    names = ("e1", "e2")
    scripts = (rejecting(b"2.0"), answer_plainly)
    endpoints = [await site.endpoint(name, "desk", *scripts) for name in names]
    await site.daemon()
    assert (await site.ask("/claim/1")).status == 503
    started = trio.current_time()
    while trio.current_time() < started + 1.8:
        answer = await site.ask("/claim/1")
        assert answer.status == 503 and b"not run" in answer.body
        assert 0 < float(answer.headers[b"retry-after"]) <= 3.0
        await trio.sleep(0.05)
    assert [count(endpoint) for endpoint in endpoints] == [1, 1]
    await trio.sleep(0.6)
    assert (await site.ask("/claim/1")).status == 200


@case("an endpoint whose pause is unreadable is used")
async def _(site):
    values = (b"-5", b"soon")
    scripts = [*(rejecting(value) for value in values), answer_plainly]
    endpoint = await site.endpoint("e1", "desk", *scripts)
    daemon = await site.daemon()
    for _ in range(3):
        await site.ask("/claim/1")
        await trio.sleep(0.3)
    assert (await site.ask("/claim/1")).status == 200
    assert count(endpoint) >= 3
    await site.wait_until(
        lambda: daemon.log.read_text().count("Pause unreadable.") == 2
    )


# A store that is restored from a backup


async def restart_alone(site):
    """Kill all instances, and start one that knows nothing of them."""
    for daemon in site.daemons:
        daemon.process.kill()
        daemon.process.wait()
    site.daemons.clear()
    return await site.daemon("instance-new", wait=False)


REWRITTEN_S = 2.0
"""Time after which the operator and the endpoints have written again."""


@case("a key that was revoked before a restore is not accepted after a restart")
async def _(site):
    endpoint = await start_one(site, "desk")
    backup = site.store.back_up()
    site.configure(tenants=OTHER_KEY)
    await trio.sleep(1.0)
    site.store.restore(backup)
    started = await restart_alone(site)
    await site.wait_until(lambda: "Store read." in started.log.read_text())
    # The backup still has the key.
    assert (await site.ask("/claim/1")).status == 503
    site.store.put("op/config", site.configuration(tenants=OTHER_KEY))
    await site.wait_until_ready(site.daemons[0])
    assert (await site.ask("/claim/1")).status == 401
    assert (await site.ask("/claim/1", key="another")).status == 200
    assert len(endpoint.received_requests) == 1


@case("a configuration that a restored store lacks is not confirmed")
async def _(site):
    await start_one(site, "desk")
    backup = site.store.back_up()
    site.configure(tenants=OTHER_KEY)
    await trio.sleep(1.0)
    assert (await site.ask("/claim/1")).status == 401
    site.store.restore(backup)
    await trio.sleep(0.5)
    assert (await site.ask("/claim/1", key="another")).status == 200
    # Without the operator a newer version may have been lost, too.
    await trio.sleep(BOUNDS["revocation_ms"] / 1000)
    assert (await site.ask("/claim/1", key="another")).status == 503
    assert (await site.ask("/claim/1")).status == 503
    site.store.put("op/config", site.configuration(tenants=OTHER_KEY))
    await site.wait_until_ready(site.daemons[0])
    assert (await site.ask("/claim/1", key="another")).status == 200
    assert (await site.ask("/claim/1")).status == 401


@case("changes under revisions that are assigned again are applied")
async def _(site):
    await start_one(site, "desk")
    await trio.sleep(1.0)
    backup = site.store.back_up()
    for number in range(3):
        site.store.put("other/key", {"n": number})
    await trio.sleep(1.0)
    site.store.restore(backup)
    site.configure(tenants=OTHER_KEY)
    for number in range(5):
        site.store.put("other/key", {"n": number})
    await trio.sleep(1.5)
    assert (await site.ask("/claim/1", key="another")).status == 200
    # 503 while a newer version may be missing.
    assert (await site.ask("/claim/1")).status in {401, 503}


@case("two restores in a row are both detected")
async def _(site):
    await start_one(site, "desk")
    await trio.sleep(1.0)
    backup = site.store.back_up()
    site.store.restore(backup)
    await trio.sleep(0.3)
    site.store.restore(backup)
    site.configure(tenants=OTHER_KEY)
    await trio.sleep(1.5)
    assert (await site.ask("/claim/1", key="another")).status == 200
    noted = "savorydyke/generation"

    def is_noted():
        item = site.store.items.get(noted)
        return item is not None and b64decode(item.value) == b"%d" % site.store.era

    await site.wait_until(is_noted, 5.0)


@case("an endpoint that had left is not used because a backup lists it")
async def _(site):
    first = await site.endpoint("e1", "desk")
    second = await site.endpoint("e2", "desk")
    await site.daemon()
    await trio.sleep(2.5)
    backup = site.store.back_up()
    site.store.remove("servers/e1")
    await trio.sleep(1.0)
    site.store.restore(backup)
    await trio.sleep(1.0)
    for number in range(8):
        assert (await site.ask(f"/claim/{number}")).status == 200
    assert (len(first.received_requests), len(second.received_requests)) == (0, 8)
    # It was only cut off from the store, and writes its record again.
    site.write_record("e1", "desk", seq=7)
    site.write_record("e2", "desk", state="draining")
    await trio.sleep(1.0)
    assert (await site.ask("/claim/9")).status == 200
    assert len(first.received_requests) == 1


@case("an endpoint that drains is not used because a backup lists it as ready")
async def _(site):
    first = await site.endpoint("e1", "desk")
    await site.endpoint("e2", "desk")
    await site.daemon()
    backup = site.store.back_up()
    site.write_record("e1", "desk", state="draining", seq=2)
    await trio.sleep(1.0)
    site.store.restore(backup)
    await trio.sleep(1.0)
    for number in range(8):
        assert (await site.ask(f"/claim/{number}")).status == 200
    assert not first.received_requests


@case("an endpoint that a backup lacks stays in use")
async def _(site):
    await site.endpoint("e2", "engines")
    backup = site.store.back_up()
    await start_one(site, "desk")
    await trio.sleep(2.5)
    site.store.restore(backup)
    await trio.sleep(1.0)
    assert (await site.ask("/claim/1")).status == 200
    site.write_record("e1", "desk", seq=9)
    await trio.sleep(REWRITTEN_S + 0.5)
    assert (await site.ask("/claim/2")).status == 200


@case("an exhausted quota stays exhausted after a restore")
async def _(site):
    await site.endpoint("e1", "desk")
    team = {"name": "crew", "api_keys": [KEY], "rate_per_s": 0.5, "burst": 5}
    site.configure(tenants=[team])
    first = await site.daemon()
    await site.wait_until(lambda: "Balances read." in first.log.read_text(), 6.0)
    balances = "savorydyke/quotas/desk"
    statuses = [(await site.ask("/claim/1")).status]
    await site.wait_until(lambda: balances in site.store.items)
    backup = site.store.back_up()
    statuses += [(await site.ask("/claim/1")).status for _ in range(11)]
    assert statuses[:5] == [200] * 5 and statuses[-1] == 429, statuses
    site.store.restore(backup)
    second = await restart_alone(site)
    site.store.put("op/config", site.configuration(tenants=[team]))
    await site.wait_until_ready(second)
    assert (await site.ask("/claim/1")).status == 429
    await site.wait_until(lambda: "Balances read." in second.log.read_text())
    assert (await site.ask("/claim/1")).status == 429


@case("a coordinator writes balances again after a restore")
async def _(site):
    await site.endpoint("e1", "desk")
    team = {"name": "crew", "api_keys": [KEY], "rate_per_s": 0.5, "burst": 5}
    site.configure(tenants=[team])
    first = await site.daemon()
    await site.wait_until(lambda: "Balances read." in first.log.read_text(), 6.0)
    backup = site.store.back_up()
    for _ in range(12):
        await site.ask("/claim/1")
    balances = "savorydyke/quotas/desk"
    await site.wait_until(lambda: balances in site.store.items)
    site.store.restore(backup)
    assert balances not in site.store.items
    await site.wait_until(lambda: balances in site.store.items)


@case("an instance writes its record with a new lease after a restore")
async def _(site):
    backup = site.store.back_up()
    await start_one(site, "desk")
    key = "savorydyke/instances/instance-1"
    await site.wait_until(lambda: key in site.store.items)
    lease = site.store.items[key].lease
    site.store.restore(backup)
    # The number of the lease now belongs to someone else.
    assert site.store.grant_lease({"ttl_ms": 60_000})[1]["lease"] == lease
    site.store.put("other/key", {}, lease)
    await site.wait_until(lambda: key in site.store.items, 2.5)
    assert site.store.items[key].lease != lease


@case("instances link with one that starts after a restore")
async def _(site):
    await site.endpoint("e1", "desk")
    backup = site.store.back_up()
    await site.daemon("instance-1")
    await site.wait_until(lambda: "savorydyke/fleet-key" in site.store.items)
    await trio.sleep(0.5)
    site.store.restore(backup)
    await site.daemon("instance-2", wait=False)
    logs = [daemon.log for daemon in site.daemons]
    await site.wait_until(
        lambda: all("Link opened." in log.read_text() for log in logs), 8.0
    )


@case("an answer that the store repeats is not taken for the next one")
async def _(site):
    endpoint = await start_one(site, "desk")
    site.store.mode = Mode.REPEATED
    await trio.sleep(8.0)
    # Repeated answers that were read now would confirm a revoked key.
    site.configure(tenants=OTHER_KEY)
    site.store.mode = Mode.SILENT
    await trio.sleep(BOUNDS["revocation_ms"] / 1000)
    assert (await site.ask("/claim/1")).status == 503
    assert not endpoint.received_requests
    # Nor did a call get the answer of another one.
    assert "bad answer" not in site.daemons[0].log.read_text()


# Stops and starts


@case("a stopping instance completes its streams")
async def _(site):
    async def slow(exchange):
        await exchange.stream_events(1, EVENTS, pause_s=0.3)

    await start_one(site, "engines", slow)
    answers = []

    async def ask():
        answers.append(await site.ask("/digest/1"))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask)
        await trio.sleep(0.3)
        site.daemons[0].stop()
        await site.wait_until_ready(site.daemons[0], ready=False)
    assert is_whole_stream(answers[0])
    await site.wait_until(lambda: site.daemons[0].process.poll() is not None, 4.0)
    assert site.daemons[0].process.returncode == 0


@case("a stopping instance closes a connection with its next answer")
async def _(site):
    async def slow(exchange):
        await exchange.stream_events(1, EVENTS, pause_s=0.6)

    await start_one(site, "engines", slow)
    caller = await site.connect(site.daemons[0].callers)
    late = await site.connect(site.daemons[0].callers)
    async with trio.open_nursery() as nursery:

        async def ask():
            headers = site.headers(deadline_ms=9000)
            await caller.request("POST", "/digest/1", headers, BODY)

        nursery.start_soon(ask)
        await trio.sleep(0.2)
        site.daemons[0].stop()
        await trio.sleep(0.2)
        answer = await late.request("POST", "/claim/1", site.headers(), BODY)
        assert answer.headers[b"connection"] == b"close"
        nursery.cancel_scope.cancel()


@case("all errors in the settings are reported together")
async def _(site):
    path = site.folder / "bad.jsonc"
    path.write_text(
        json.dumps(
            {
                "edges": "routed",
                "instance": "one two",
                "callers": "nowhere",
                "bounds": {"stop_s": "soon", "odd": 1},
            }
        )
    )
    done = subprocess.run(
        [sys.executable, "-m", "savorydyke", "--config", str(path), "--check"],
        capture_output=True,
        text=True,
    )
    assert done.returncode == 2
    for place in ("instance", "data_centre", "callers", "store", "stop_s", "odd"):
        assert place in done.stderr, (place, done.stderr)


@case("an exhausted quota stays exhausted after a kill")
async def _(site):
    await site.endpoint("e1", "desk")
    team = {"name": "crew", "api_keys": [KEY], "rate_per_s": 0.5, "burst": 5}
    site.configure(tenants=[team])
    first = await site.daemon()
    await site.wait_until(lambda: "Balances read." in first.log.read_text())
    statuses = [(await site.ask("/claim/1")).status for _ in range(12)]
    # The first coordinator grants the whole burst.
    assert statuses[:5] == [200] * 5 and statuses[-1] == 429, statuses
    # What is admitted after a write and before a kill, no other instance can know.
    await site.wait_until(lambda: written_balance(site) < 1)
    first.process.kill()
    site.daemons.clear()
    second = await site.daemon("instance-2")
    assert (await site.ask("/claim/1")).status == 429
    await site.wait_until(lambda: "Balances read." in second.log.read_text())
    assert (await site.ask("/claim/1")).status == 429


def written_balance(site):
    """Return what the store says is left of the team's quota, infinite for nothing."""
    item = site.store.items.get("savorydyke/quotas/desk")
    if item is None:
        return math.inf
    teams = json.loads(b64decode(item.value))["teams"]
    return teams["crew"][0] if "crew" in teams else math.inf


@case("a team stays within its quota and tolerance if a kill comes before a write")
async def _(site):
    rate_per_s, burst, slack, window_s = 0.5, 5, 5, 8
    await site.endpoint("e1", "desk")
    team = {"name": "crew", "api_keys": [KEY], "rate_per_s": rate_per_s, "burst": burst}
    site.configure(tenants=[team])
    tolerance = {"quota_excess": 0.1, "quota_slack": slack, "quota_window_s": window_s}
    first = await site.daemon(bounds=BOUNDS | tolerance)
    await site.wait_until(lambda: "Balances read." in first.log.read_text())
    # The last of these come after the latest write.
    statuses = [(await site.ask("/claim/1")).status for _ in range(20)]
    first.process.kill()
    site.daemons.clear()
    await site.daemon("instance-2", bounds=BOUNDS | tolerance)
    statuses += [(await site.ask("/claim/1")).status for _ in range(20)]
    allowed = (rate_per_s * window_s + burst) * 1.1 + slack
    assert burst <= statuses.count(200) <= allowed, statuses


@case("an exhausted quota stays exhausted without coordinator and store")
async def _(site):
    await site.endpoint("e1", "desk")
    team = {"name": "crew", "api_keys": [KEY], "rate_per_s": 0.5, "burst": 5}
    site.configure(tenants=[team])
    for name in ("instance-1", "instance-2"):
        daemon = await site.daemon(name)
        log = daemon.log
    await site.wait_until(lambda: "Link opened." in log.read_text(), 6.0)
    await trio.sleep(0.5)
    statuses = [(await site.ask("/claim/1")).status for _ in range(12)]
    assert statuses[:5] == [200] * 5 and statuses[-1] == 429, statuses
    await trio.sleep(0.5)
    coordinators = [d for d in site.daemons if "home: Granted." in d.log.read_text()]
    (coordinator,) = coordinators
    site.store.mode = Mode.BUSY
    coordinator.process.kill()
    site.daemons.remove(coordinator)
    successor = site.daemons[0]
    await site.wait_until(lambda: '"source": "home"' in successor.log.read_text(), 4.0)
    assert (await site.ask("/claim/1")).status == 429


@case("an instance restarted under the same name serves requests")
async def _(site):
    await site.endpoint("e1", "desk")
    await site.daemon("instance-1")
    await site.daemon("instance-2")
    await trio.sleep(1.0)
    for _ in range(2):
        for number in range(4):
            assert (await site.ask(f"/claim/{number}")).status == 200
        # Killed, and restarted under the same name.
        site.daemons[0].process.kill()
        site.daemons[0].process.wait()
        again = await site.daemon("instance-1")
        site.daemons.remove(again)
        site.daemons[0] = again
        await trio.sleep(0.5)
    for number in range(4):
        assert (await site.ask(f"/claim/{number}")).status == 200


@case("requests are placed while their coordinator is silent")
async def _(site):
    await site.endpoint("e1", "desk")
    await site.endpoint("e2", "engines", answer_stream)
    for number in range(3):
        await site.daemon(f"instance-{number}")
    await trio.sleep(1.5)
    for daemon in site.daemons[1:]:
        daemon.process.send_signal(signal.SIGSTOP)
    for number in range(3):
        started = trio.current_time()
        assert (await site.ask(f"/claim/{number}")).status == 200
        assert is_whole_stream(await site.ask(f"/digest/{number}"))
        assert trio.current_time() - started < 1.5


# Prompts that crash endpoints

CONTACT_S = 3.0
"""Time within which the fleet has to act on what single instances know."""
ENDS_ALLOWED = 5
BAD_PART = b"bad0"
ENGINES = 5
SOUND_PAUSE_S = 0.06
BAD_PAUSE_S = 0.15
NOWHERE = "127.0.0.1:9"
"""An address at which nothing listens."""


def prompt(number, part):
    """Return the parts of a prompt; all prompts share the first one."""
    value = b"first:60,%s:300,own%d:20" % (part, number)
    return b"X-Savorydyke-Prompt-Prefix", value


async def crash_on_bad_part(exchange):
    """Stream an answer; crash after its first event if the prompt has the part."""
    parts = exchange.request.headers.get(b"x-savorydyke-prompt-prefix", b"")
    if BAD_PART not in parts:
        await exchange.stream_events(1, EVENTS, pause_s=0.03)
        return
    await exchange.stream_events(1, 1, end=False)
    exchange.endpoint.crash()


async def ask_in_turn(site, number, path, *headers, body=BODY):
    """Send a request to the next instance; return its answer, None if it broke off."""
    daemon = site.daemons[number % len(site.daemons)]
    try:
        caller = await site.connect(daemon.callers)
        answer = await caller.request("POST", path, site.headers(*headers), body)
        await caller.stream.aclose()
    except (OSError, trio.TooSlowError, trio.BrokenResourceError):
        # The instance was ended by the case.
        return None
    return answer


class PromptTraffic:
    """Requests with a part that crashes endpoints, between sound ones."""

    ends_allowed = ENDS_ALLOWED

    def __init__(self, site):
        self.site = site
        self.sound = []
        self.bad_answers = []
        self.number = 0

    def ends(self):
        """Return the times at which endpoints ended."""
        found = [e.ended_at for e in self.site.endpoints.values()]
        return sorted(at for at in found if at is not None)

    def bad_arrivals(self):
        """Return the times at which requests with the part reached endpoints."""
        return sorted(
            request.at
            for endpoint in self.site.endpoints.values()
            for request in endpoint.received_requests
            if BAD_PART in request.headers.get(b"x-savorydyke-prompt-prefix", b"")
        )

    async def ask(self, part):
        """Send a request with a part in its prompt; return its answer."""
        self.number += 1
        header = prompt(self.number, part)
        body = b"prompt %d" % self.number
        return await ask_in_turn(
            self.site, self.number, "/question/1", header, body=body
        )

    def is_whole(self, answer):
        """Return whether a sound request was answered in full."""
        return is_whole_stream(answer)

    async def ask_sound(self):
        """Send a sound request, and record whether it was answered in full."""
        sent = trio.current_time()
        answer = await self.ask(b"other%d" % (self.number % 7))
        self.sound.append((sent, answer is not None and self.is_whole(answer)))

    async def ask_bad(self):
        """Send a request with the part, and record its answer."""
        self.bad_answers.append((trio.current_time(), await self.ask(BAD_PART)))

    async def run(self, seconds):
        """Send requests of both kinds."""

        async def repeat(ask, pause_s):
            while True:
                nursery.start_soon(ask)
                await trio.sleep(pause_s)

        with trio.move_on_after(seconds):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(repeat, self.ask_sound, SOUND_PAUSE_S)
                nursery.start_soon(repeat, self.ask_bad, BAD_PAUSE_S)

    def check(self):
        """Check that the part was not sent any more, and that sound requests were."""
        ends = self.ends()
        assert len(ends) >= 2, ends
        last = ends[min(self.ends_allowed, len(ends)) - 1]
        late = [at for at in self.bad_arrivals() if at > last + CONTACT_S]
        assert len(late) <= 3, [round(at - last, 2) for at in late]
        whole = [is_whole for at, is_whole in self.sound if at > last + 2 * CONTACT_S]
        assert len(whole) > 20 and sum(whole) > len(whole) / 2, (
            sum(whole),
            len(whole),
        )
        refused = [
            answer
            for at, answer in self.bad_answers
            if answer is not None and at > last + CONTACT_S and answer.status == 503
        ]
        assert refused and all(b"not run" in answer.body for answer in refused)
        assert all(float(answer.headers[b"retry-after"]) > 0 for answer in refused)


async def start_crashing_engines(site, instances=3):
    """Start engines that crash on the part and are replaced, and instances."""
    for number in range(ENGINES):
        site.nursery.start_soon(
            site.replace_when_crashed, f"e{number}", "engines", 1.0, crash_on_bad_part
        )
    for number in range(instances):
        await site.daemon(f"instance-{number}")
    await trio.sleep(1.0)
    return PromptTraffic(site)


@case("a part of prompts that crashes endpoints is not sent any more")
async def _(site):
    traffic = await start_crashing_engines(site)
    await traffic.run(10.0)
    traffic.check()


def cut_links(site):
    """Let no instance reach another one, from their start on."""

    def rewrite(key, value):
        if not key.startswith("savorydyke/instances/"):
            return value
        return json.dumps(json.loads(value) | {"address": NOWHERE}).encode()

    site.store.rewrite = rewrite


async def wait_for_ends(traffic, number):
    """Wait until some endpoints have ended."""
    while len(traffic.ends()) < number:
        await trio.sleep(0.02)


async def find_coordinator(site):
    """Return the instance that grants; its log may lag behind."""

    def granting():
        return [d for d in site.daemons if "home: Granted." in d.log.read_text()]

    await site.wait_until(granting)
    return granting()[0]


async def replace_daemon(site, daemon):
    """Kill an instance and start another one under its name."""
    daemon.process.kill()
    daemon.process.wait()
    again = await site.daemon(daemon.name)
    site.daemons.remove(again)
    site.daemons[site.daemons.index(daemon)] = again


@case("a part that crashes endpoints is held back when its coordinator is killed")
async def _(site):
    traffic = await start_crashing_engines(site)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(traffic.run, 10.0)
        await wait_for_ends(traffic, 2)
        await replace_daemon(site, await find_coordinator(site))
    traffic.check()


@case("a part that crashes endpoints is held back by instances without links")
async def _(site):
    cut_links(site)
    traffic = await start_crashing_engines(site)
    assert not any("Link opened." in d.log.read_text() for d in site.daemons)
    await traffic.run(10.0)
    traffic.check()


@case("a part that crashes endpoints is held back after a restart of all instances")
async def _(site):
    traffic = await start_crashing_engines(site)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(traffic.run, 14.0)
        await wait_for_ends(traffic, 4)
        await trio.sleep(2.0)
        before = len(traffic.ends())
        for daemon in list(site.daemons):
            daemon.process.kill()
        for daemon in list(site.daemons):
            await replace_daemon(site, daemon)
    # One trial may have come due.
    assert len(traffic.ends()) <= before + 1, (before, traffic.ends())
    traffic.check()


# Requests that crash endpoints

CRASHES_ALLOWED = 3
BAD_BODY = b"a request that crashes endpoints"
WORK_S = 0.03


async def crash_on_bad_body(exchange):
    """Answer, as a stream where one is due; crash if the request has the body."""
    request = exchange.request
    if request.body == BAD_BODY:
        await trio.sleep(WORK_S)
        exchange.endpoint.crash()
    elif request.target.startswith(b"/lookup/"):
        await trio.sleep(WORK_S)
        await exchange.send_complete()
    else:
        await exchange.stream_events(1, EVENTS)


class RepeatedRequestTraffic(PromptTraffic):
    """One request that crashes endpoints, repeated between sound ones.

    All are of the same team and path; those to engines share no part of a prompt.
    """

    ends_allowed = CRASHES_ALLOWED

    def __init__(self, site, path):
        super().__init__(site)
        self.path = path

    def bad_arrivals(self):
        return sorted(
            request.at
            for endpoint in self.site.endpoints.values()
            for request in endpoint.received_requests
            if request.body == BAD_BODY
        )

    def is_whole(self, answer):
        if self.path == "/lookup/1":
            return (answer.status, answer.body) == (200, b"answer")
        return is_whole_stream(answer)

    async def ask(self, part):
        self.number += 1
        body = BAD_BODY if part == BAD_PART else b"sound %d" % self.number
        header = prompt(self.number, b"shared%d" % self.number)
        return await ask_in_turn(self.site, self.number, self.path, header, body=body)


async def start_crashing_endpoints(site, path="/lookup/1", instances=3):
    """Start endpoints that crash on the request and are replaced, and instances."""
    service = "desk" if path == "/lookup/1" else "engines"
    for number in range(3):
        site.nursery.start_soon(
            site.replace_when_crashed, f"e{number}", service, 1.0, crash_on_bad_body
        )
    for number in range(instances):
        await site.daemon(f"instance-{number}")
    await trio.sleep(1.0)
    return RepeatedRequestTraffic(site, path)


@case("a request that crashes endpoints of a plain service is not sent any more")
async def _(site):
    traffic = await start_crashing_endpoints(site)
    await traffic.run(12.0)
    traffic.check()


@case("a request that crashes engines is not sent any more")
async def _(site):
    traffic = await start_crashing_endpoints(site, "/digest/1")
    await traffic.run(12.0)
    traffic.check()


@case("a request that crashes endpoints is held back when its coordinator is killed")
async def _(site):
    traffic = await start_crashing_endpoints(site)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(traffic.run, 14.0)
        await wait_for_ends(traffic, 2)
        await replace_daemon(site, await find_coordinator(site))
    traffic.check()


@case("a request that crashes endpoints is held back by instances without links")
async def _(site):
    cut_links(site)
    traffic = await start_crashing_endpoints(site)
    assert not any("Link opened." in d.log.read_text() for d in site.daemons)
    await traffic.run(12.0)
    traffic.check()


@case("a request that crashes endpoints is held back after a restart of all instances")
async def _(site):
    traffic = await start_crashing_endpoints(site)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(traffic.run, 16.0)
        await wait_for_ends(traffic, 3)
        await trio.sleep(2.0)
        for daemon in list(site.daemons):
            daemon.process.kill()
        for daemon in list(site.daemons):
            await replace_daemon(site, daemon)
    traffic.check()


LONGER_THAN_LEASES_S = 12.0


@case("a request stays held back if all instances are away longer than their leases")
async def _(site):
    traffic = await start_crashing_endpoints(site)
    await traffic.run(5.0)
    for daemon in list(site.daemons):
        daemon.process.kill()
    await trio.sleep(LONGER_THAN_LEASES_S)
    for daemon in list(site.daemons):
        await replace_daemon(site, daemon)
    await traffic.run(3.0)
    last = traffic.ends()[CRASHES_ALLOWED - 1]
    late = [at for at in traffic.bad_arrivals() if at > last + CONTACT_S]
    assert len(late) <= 3, [round(at - last, 2) for at in late]


# Endpoints of several software versions

LONG_EVENTS = 30
EVENT_PAUSE_S = 0.05


def versioned(version):
    """Return a script that streams events with their version, from where asked."""

    async def script(exchange):
        last = int(exchange.request.headers.get(b"last-event-id", b"0"))
        kind = (b"Content-Type", b"text/event-stream")
        head = exchange.response_head(200, kind, (b"Transfer-Encoding", b"chunked"))
        await exchange.send(head)
        for number in range(last + 1, LONG_EVENTS + 1):
            text = b"id: %d\ndata: %s\n\n" % (number, version.encode())
            await exchange.send(chunk(text))
            await trio.sleep(EVENT_PAUSE_S)
        await exchange.send(b"0\r\n\r\n")

    return script


async def start_version(site, version, number):
    """Start engines of a software version."""
    for index in range(number):
        name = f"{version}-{index}"
        await site.endpoint(name, "engines", versioned(version))
        site.write_record(name, "engines", version=version)


class StreamTraffic:
    """Callers of streams that take up what breaks off, as often as it takes.

    Attributes
    ----------
    streams : list of tuple
        The versions of the events, whether the stream is complete, and whether it
        was taken up, of each stream.
    """

    def __init__(self, site):
        self.site = site
        self.streams = []
        self.begun = 0

    async def call(self, tries=4, deadline_ms=9000, unreached_s=0.0):
        """Send a request, and take its stream up until it is complete.

        Parameters
        ----------
        unreached_s : float
            Time in which tries that reach no instance do not count. How long processes
            take to start depends on the load of the machine.
        """
        self.begun += 1
        events, root, is_taken_up = [], b"", False
        until = trio.current_time() + unreached_s
        attempt = counted = 0
        while counted < tries:
            attempt += 1
            more = []
            if events:
                is_taken_up = True
                last = b"%d" % events[-1][0]
                more = [(b"Last-Event-Id", last), (b"Resumes", root)]
            headers = self.site.headers(*more, deadline_ms=deadline_ms)
            reached, body, complete = await self._ask(self.begun + attempt, headers)
            counted += reached or trio.current_time() >= until
            found = EVENT_OF_VERSION.findall(body)
            if found and not events:
                root = dict(headers)[b"X-Savorydyke-Request-Id"]
            events += [(int(number), version) for number, version in found]
            if complete and events and events[-1][0] == LONG_EVENTS:
                break
            await trio.sleep(0.1)
        versions = {version for _, version in events}
        numbers = [number for number, _ in events]
        is_whole = numbers == list(range(1, LONG_EVENTS + 1))
        self.streams.append((versions, is_whole, is_taken_up))

    async def _ask(self, number, headers):
        """Return whether an instance was reached, the body, and if it was complete."""
        daemon = self.site.daemons[number % len(self.site.daemons)]
        try:
            caller = await self.site.connect(daemon.callers)
        except OSError:
            return False, b"", False
        try:
            answer = await caller.request("POST", "/digest/1", headers, BODY)
            await caller.stream.aclose()
        except (OSError, trio.BrokenResourceError):
            return True, b"", False
        return True, answer.body, answer.complete and answer.status == 200

    async def run(self, number, pause_s=0.1):
        """Begin streams one after the other, and wait until all have ended."""
        async with trio.open_nursery() as nursery:
            for _ in range(number):
                nursery.start_soon(self.call)
                await trio.sleep(pause_s)

    def check(self, least_taken_up):
        """Check that no stream is mixed, and that streams that broke off went on."""
        mixed = [versions for versions, *_ in self.streams if len(versions) > 1]
        assert not mixed, (len(mixed), len(self.streams))
        taken_up = [whole for _, whole, is_taken_up in self.streams if is_taken_up]
        assert len(taken_up) >= least_taken_up, taken_up
        assert sum(taken_up) > len(taken_up) / 2, (sum(taken_up), len(taken_up))


EVENT_OF_VERSION = re.compile(rb"id: (\d+)\ndata: (\S+)\n\n")


async def start_versions(site, instances=3):
    """Start two engines of each of two versions, and instances."""
    for version in ("v1", "v2"):
        await start_version(site, version, 2)
    for number in range(instances):
        await site.daemon(f"instance-{number}")
    await trio.sleep(1.0)
    return StreamTraffic(site)


@case("a stream goes on at its software version when its endpoint crashes")
async def _(site):
    traffic = await start_versions(site)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(traffic.run, 16)
        await trio.sleep(1.2)
        site.endpoints["v1-0"].crash()
        await trio.sleep(0.4)
        site.endpoints["v2-0"].crash()
    mixed = [versions for versions, *_ in traffic.streams if len(versions) > 1]
    assert not mixed, (len(mixed), len(traffic.streams))
    assert sum(whole for _, whole, _ in traffic.streams) == 16, traffic.streams


async def stop_one(site, daemon):
    """Kill an instance for good."""
    daemon.process.kill()
    daemon.process.wait()
    site.daemons.remove(daemon)


@case("a stream that a caller takes up at another instance keeps its version")
async def _(site):
    traffic = await start_versions(site)
    coordinator = await find_stream_coordinator(site, traffic)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(traffic.run, 18)
        await trio.sleep(1.2)
        await stop_one(site, next(d for d in site.daemons if d is not coordinator))
    traffic.check(least_taken_up=3)


@case("a stream keeps its version when the coordinator of its pool is killed")
async def _(site):
    traffic = await start_versions(site)
    coordinator = await find_stream_coordinator(site, traffic)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(traffic.run, 18)
        await trio.sleep(1.2)
        await stop_one(site, coordinator)
    traffic.check(least_taken_up=3)


async def find_stream_coordinator(site, traffic):
    """Return the instance that grants streams."""
    await traffic.call()
    return await find_coordinator(site)


@case("a stream whose version is not known after a restart of all does not go on")
async def _(site):
    traffic = await start_versions(site)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(traffic.run, 16)
        await trio.sleep(1.2)
        for daemon in list(site.daemons):
            daemon.process.kill()
        for daemon in list(site.daemons):
            await replace_daemon(site, daemon)
    mixed = [versions for versions, *_ in traffic.streams if len(versions) > 1]
    assert not mixed, (len(mixed), len(traffic.streams))


async def kill_all(site, away_s=0.0):
    """Kill all instances at once, and start them again under their names."""
    killed = list(site.daemons)
    for daemon in killed:
        daemon.process.kill()
    for daemon in killed:
        daemon.process.wait()
    await trio.sleep(away_s)
    async with trio.open_nursery() as nursery:
        for daemon in killed:
            nursery.start_soon(replace_daemon, site, daemon)


async def call_through_restart(traffic):
    """Send a request and take its stream up, also after all instances have started."""
    await traffic.call(tries=40, deadline_ms=3000, unreached_s=KEPT_S)


async def take_up_after_kill(site, traffic, before_kill, away_s=0.0):
    """Kill all instances while streams run, and let their callers take them up."""
    async with trio.open_nursery() as nursery:
        for _ in range(12):
            nursery.start_soon(call_through_restart, traffic)
            await trio.sleep(0.05)
        await before_kill()
        await kill_all(site, away_s)


@case("streams of two versions go on after a restart of all instances")
async def _(site):
    traffic = await start_versions(site)
    await take_up_after_kill(site, traffic, partial(trio.sleep, 0.5))
    traffic.check(8)


@case("streams of the only version go on after a restart of all instances")
async def _(site):
    await start_version(site, "v1", 3)
    for number in range(3):
        await site.daemon(f"instance-{number}")
    traffic = StreamTraffic(site)
    await trio.sleep(1.0)
    await take_up_after_kill(site, traffic, partial(trio.sleep, 0.5))
    traffic.check(8)


@case("streams of a version that has just left do not go on after a restart of all")
async def _(site):
    await start_version(site, "v1", 2)
    for number in range(3):
        await site.daemon(f"instance-{number}")
    traffic = StreamTraffic(site)
    await trio.sleep(1.0)

    async def replace_version():
        await start_version(site, "v2", 2)
        await trio.sleep(0.3)
        for number in range(2):
            site.endpoints[f"v1-{number}"].crash()
            site.store.remove(f"servers/v1-{number}")

    await take_up_after_kill(site, traffic, replace_version)
    mixed = [versions for versions, *_ in traffic.streams if len(versions) > 1]
    assert not mixed, (len(mixed), len(traffic.streams))
    assert any(is_taken_up for *_, is_taken_up in traffic.streams)


@case("streams of two versions are not mixed by instances without links")
async def _(site):
    cut_links(site)
    traffic = await start_versions(site)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(traffic.run, 16)
        await trio.sleep(1.2)
        site.endpoints["v1-0"].crash()
        await stop_one(site, site.daemons[0])
    mixed = [versions for versions, *_ in traffic.streams if len(versions) > 1]
    assert not mixed, (len(mixed), len(traffic.streams))


# Answers without length, and bytes without end

EVENT_STREAM = (b"Content-Type", b"text/event-stream")
CHUNKED = (b"Transfer-Encoding", b"chunked")
FLOOD = b"x" * 65536
FLOOD_BYTES = 300_000_000
"""More than an instance may ever hold."""
MEMORY_GROWTH_MB = 24


def unframed_stream(first, last, rest=b""):
    """Return a script for a stream that ends with its connection."""

    async def stream(exchange):
        await exchange.send(exchange.response_head(200, EVENT_STREAM))
        begin = int(exchange.request.headers.get(b"last-event-id", b"0")) + 1
        for number in range(max(first, begin), last + 1):
            await exchange.send(event(number))
        await exchange.send(rest)

    return stream


@case("a stream without length or chunks is complete when its connection closes")
async def _(site):
    await start_one(site, "engines", unframed_stream(1, EVENTS))
    assert is_whole_stream(await site.ask("/digest/1"))
    assert is_whole_stream(await site.ask("/question/1"))


@case("a stream without length or chunks that ends inside an event is not complete")
async def _(site):
    broken = unframed_stream(1, 2, b"id: 3\ndata: tok")
    scripts = (broken, broken, unframed_stream(1, EVENTS))
    endpoint = await start_one(site, "engines", *scripts)
    answer = await site.ask("/question/1")
    assert answer.status == 200 and not answer.complete
    assert answer.body == event(1) + event(2)
    # One that may be resumed goes on after its last whole event.
    assert is_whole_stream(await site.ask("/digest/1"))
    assert endpoint.received_requests[-1].headers[b"last-event-id"] == b"2"


@case("a stream without length or chunks that ends before its first event is lost")
async def _(site):
    await start_one(site, "engines", unframed_stream(1, 0), answer_stream)
    answer = await site.ask("/question/1")
    assert not (answer.status == 200 and answer.complete)


def flooding(head, more=FLOOD):
    """Return a script that sends bytes without end, until the connection closes."""

    async def flood(exchange):
        exchange.endpoint.flooded = 0
        await exchange.send(head(exchange))
        while exchange.endpoint.flooded < FLOOD_BYTES:
            await exchange.send(more)
            exchange.endpoint.flooded += len(more)

    return flood


FLOODS = {
    "bytes that are no head": flooding(lambda exchange: b""),
    "a header without end": flooding(lambda exchange: b"HTTP/1.1 200 X\r\nA: "),
    "headers without end": flooding(
        lambda exchange: b"HTTP/1.1 200 X\r\n", b"A: b\r\n" * 9000
    ),
    "interim answers without end": flooding(
        lambda exchange: b"", b"HTTP/1.1 102 X\r\n\r\n" * 3000
    ),
    "a chunk size without end": flooding(
        lambda exchange: exchange.response_head(200, EVENT_STREAM, CHUNKED),
        b"0" * 65536,
    ),
    "trailers without end": flooding(
        lambda exchange: (
            exchange.response_head(200, EVENT_STREAM, CHUNKED) + b"0\r\nA: "
        )
    ),
    "an event without end": flooding(
        lambda exchange: exchange.response_head(200, EVENT_STREAM)
    ),
    "an event without end in chunks": flooding(
        lambda exchange: exchange.response_head(200, EVENT_STREAM, CHUNKED),
        chunk(FLOOD),
    ),
    "a body without end": flooding(lambda exchange: exchange.response_head()),
    "a failure without end": flooding(lambda exchange: exchange.response_head(500)),
}
"""Scripts by what they send without end."""


def memory_mb(daemon):
    """Return the largest resident memory that an instance has had."""
    status = Path(f"/proc/{daemon.process.pid}/status").read_text()
    (line,) = [line for line in status.splitlines() if line.startswith("VmHWM")]
    return int(line.split()[1]) / 1024


async def answer_flood(site, flood):
    """Check one kind of flood: no complete answer, an early close, bounded memory."""
    endpoint = await start_one(site, "engines", flood, answer_stream)
    daemon = site.daemons[0]
    before = memory_mb(daemon)
    try:
        answer = await site.ask("/question/1")
        assert not (answer.status == 200 and answer.complete), answer.status
        assert answer.status in {0, 200, 502, 500}, answer.status
    except h11.RemoteProtocolError as error:
        raise AssertionError("the caller got bytes that are no answer") from error
    await site.wait_until(lambda: endpoint.received_requests[0].closed_at is not None)
    taken = endpoint.received_requests[0].closed_at - endpoint.received_requests[0].at
    # Long before the request's deadline.
    assert taken < 1.0, taken
    assert memory_mb(daemon) - before < MEMORY_GROWTH_MB, memory_mb(daemon) - before
    assert is_whole_stream(await site.ask("/question/2"))


for _what, _flood in FLOODS.items():
    CASES[f"an endpoint sends {_what}"] = partial(answer_flood, flood=_flood)


# Endpoints that limit the requests that they take

LIMIT_PER_S = 2.0
LIMIT_WINDOW_S = 4.0
LIMIT_ALLOWED = 1.5 * LIMIT_WINDOW_S * LIMIT_PER_S + 5
"""Requests that an endpoint may get in a window, from `CONTACT_S` after it named it."""


class LimitTraffic:
    """Endpoints that name a limit, and requests through all instances."""

    def __init__(self, site):
        self.site = site
        self.limited = []
        self.named_at = None
        self.named = True
        self.answers = []
        self.number = 0

    async def answer(self, exchange):
        """Answer at once, and name the limit."""
        headers = []
        if self.named:
            self.named_at = self.named_at or trio.current_time()
            headers = [(b"Server-Limit", b"%.1f" % LIMIT_PER_S)]
        await exchange.send_complete(200, b"answer", *headers)

    async def start(self, limited, others, instances=3):
        """Start endpoints with and without a limit, and instances."""
        for number in range(limited):
            name = f"e{number}"
            endpoint = await self.site.endpoint(name, "desk", self.answer)
            self.limited.append(endpoint)
        for number in range(others):
            await self.site.endpoint(f"f{number}", "desk", answer_slowly)
        for number in range(instances):
            await self.site.daemon(f"instance-{number}")
        await trio.sleep(1.0)

    async def ask(self):
        """Send a request through the next instance, and record its answer."""
        self.number += 1
        sent = trio.current_time()
        answer = await ask_in_turn(self.site, self.number, "/lookup/1")
        self.answers.append((sent, answer))

    async def run(self, seconds, pause_s=0.04):
        """Send requests."""
        with trio.move_on_after(seconds):
            async with trio.open_nursery() as nursery:
                while True:
                    nursery.start_soon(self.ask)
                    await trio.sleep(pause_s)

    def check(self):
        """Check that the limited endpoints got what they take, and not much less."""
        since = self.named_at + CONTACT_S
        for endpoint in self.limited:
            arrivals = [r.at for r in endpoint.received_requests if r.at >= since]
            worst = max(
                sum(begin <= at < begin + LIMIT_WINDOW_S for at in arrivals)
                for begin in [since, *arrivals]
            )
            assert worst <= LIMIT_ALLOWED, worst


async def answer_slowly(exchange):
    """Answer late, so that other endpoints are preferred."""
    await trio.sleep(0.1)
    await exchange.send_complete()


@case("an endpoint that names a limit gets no more requests than that")
async def _(site):
    traffic = LimitTraffic(site)
    await traffic.start(1, 3)
    await traffic.run(11.0)
    traffic.check()
    # What it does not take the others answer.
    late = [a for sent, a in traffic.answers if sent > traffic.named_at + CONTACT_S]
    assert all(answer.status == 200 for answer in late)
    # It gets at least half of what it takes.
    taken = [r.at for r in traffic.limited[0].received_requests]
    recent = [at for at in taken if at > traffic.named_at + CONTACT_S]
    assert len(recent) >= 0.5 * LIMIT_PER_S * (11.0 - CONTACT_S), len(recent)


@case("an endpoint that names no limit any more gets more requests again")
async def _(site):
    traffic = LimitTraffic(site)
    await traffic.start(1, 3)
    await traffic.run(6.0)
    traffic.check()
    traffic.named = False
    before = count(traffic.limited[0])
    await traffic.run(CONTACT_S + 2.0)
    assert count(traffic.limited[0]) - before > LIMIT_ALLOWED


@case("a pool whose endpoints all name a limit refuses what they do not take")
async def _(site):
    traffic = LimitTraffic(site)
    await traffic.start(3, 0)
    await traffic.run(9.0)
    traffic.check()
    refusals = [a for _, a in traffic.answers if a is not None and a.status == 503]
    assert refusals and all(b"not run" in answer.body for answer in refusals)
    served = [
        sent
        for sent, answer in traffic.answers
        if answer is not None
        and answer.status == 200
        and sent > traffic.named_at + CONTACT_S
    ]
    assert len(served) >= 0.5 * 3 * LIMIT_PER_S * (9.0 - CONTACT_S), len(served)


@case("a limit holds when the coordinator of the pool is killed")
async def _(site):
    traffic = LimitTraffic(site)
    await traffic.start(1, 3)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(traffic.run, 13.0)
        await trio.sleep(3.5)
        await replace_daemon(site, await find_coordinator(site))
    traffic.check()


@case("a limit holds among instances without links")
async def _(site):
    cut_links(site)
    traffic = LimitTraffic(site)
    await traffic.start(1, 3)
    await traffic.run(11.0)
    traffic.check()

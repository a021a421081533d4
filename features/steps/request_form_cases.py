"""Test cases for the forms in which callers may send requests.

Callers keep connections, send requests ahead, in chunks, and ask before they send a
body. What two parsers could read differently is refused, and nothing of it is sent to
an endpoint, since another request could be smuggled in it.
"""

import trio
from routed_cases import case

from savorydyke_standins._routed_endpoint import answer_plainly, answer_stream

PART_PAUSE_S = 0.05
ANSWER_S = 2.0
CONTINUE = b"HTTP/1.1 100 \r\n\r\n"
LENGTH = b"Content-Length: 2"
CHUNKED = b"Transfer-Encoding: chunked"

SERVED = {
    "a length": ([LENGTH], [b"ab"]),
    "chunks, an extension and a trailer": (
        [CHUNKED],
        [b"1;x=y\r\na\r\n", b"1\r\nb\r\n0\r\nX-T: 1\r\n\r\n"],
    ),
    "a body in two parts": ([LENGTH], [b"a", b"b"]),
    "a question before the body": ([LENGTH, b"Expect: 100-continue"], [b"", b"ab"]),
    "an offer of another protocol": (
        [LENGTH, b"Connection: upgrade", b"Upgrade: other"],
        [b"ab"],
    ),
    "an offer of another protocol, before chunks in parts": (
        [CHUNKED, b"Connection: upgrade", b"Upgrade: other"],
        [b"", b"1\r\na\r\n", b"1\r\nb\r\n0\r\n\r\n"],
    ),
}
REFUSED = {
    "a length and chunks": [LENGTH, CHUNKED],
    "two lengths": [LENGTH, LENGTH],
    "two hosts": [LENGTH, b"Host: other.example"],
    "another coding": [b"Transfer-Encoding: gzip, chunked"],
    "chunks twice": [CHUNKED, CHUNKED],
    "a folded header": [LENGTH, b"X-A: 1\r\n 2"],
    "a space before the colon": [LENGTH, b"X-A : 1"],
    "a bare line feed": [LENGTH, b"X-A: 1\nX-B: 2"],
    "a control byte": [LENGTH, b"X-A: \x01"],
}


def head(site, *more, path="/open/1", version=b"1.1"):
    """Return the head of a request, with the given lines after the usual ones."""
    lines = [b"POST %s HTTP/%s" % (path.encode(), version)]
    lines += [name + b": " + value for name, value in site.headers()]
    return b"\r\n".join([*lines, *more]) + b"\r\n\r\n"


async def exchange(daemon, *parts, until=lambda data: False):
    """Send the parts of a request; return what comes until it ends, or is enough."""
    host, _, port = daemon.callers.rpartition(":")
    stream = await trio.open_tcp_stream(host, int(port))
    received = b""
    async with trio.open_nursery() as nursery:

        async def send():
            for part in parts:
                if part:
                    await stream.send_all(part)
                await trio.sleep(PART_PAUSE_S)

        nursery.start_soon(send)
        with trio.fail_after(ANSWER_S):
            while not until(received):
                data = await stream.receive_some(65_536)
                if not data:
                    break
                received += data
        nursery.cancel_scope.cancel()
    await stream.aclose()
    return received


async def open_desk(site):
    endpoint = await site.endpoint("e0", "desk", answer_plainly)
    await site.endpoint("e1", "engines", answer_stream)
    daemon = await site.daemon("instance-1")
    await trio.sleep(0.5)
    return endpoint, daemon


@case("requests in every form that callers may send are served")
async def _(site):
    endpoint, daemon = await open_desk(site)
    for form, (lines, parts) in SERVED.items():
        received = await exchange(
            daemon,
            head(site, *lines) + parts[0],
            *parts[1:],
            until=lambda data: data.endswith(b"answer"),
        )
        asks = any(b"Expect" in line for line in lines)
        assert received.startswith(CONTINUE) == asks, (form, received)
        assert b"HTTP/1.1 200 " in received, (form, received)
        assert endpoint.received_requests[-1].body == b"ab", form
    # Two requests at once are answered one after the other.
    sent = len(endpoint.received_requests)
    received = await exchange(
        daemon,
        head(site, LENGTH) + b"ab" + head(site, LENGTH) + b"cd",
        until=lambda data: data.count(b"answer") == 2,
    )
    bodies = [request.body for request in endpoint.received_requests[sent:]]
    assert bodies == [b"ab", b"cd"], bodies


@case("a caller that knows no chunks gets a stream that ends with the connection")
async def _(site):
    _, daemon = await open_desk(site)
    received = await exchange(
        daemon, head(site, b"Content-Length: 0", path="/digest/1", version=b"1.0")
    )
    heading, _, body = received.partition(b"\r\n\r\n")
    assert b"transfer-encoding" not in heading.lower(), heading
    assert b"connection: close" in heading.lower(), heading
    assert body.startswith(b"id: 1\n") and body.endswith(b"\n\n"), body


# Guards against a cut answer that looks complete, since only the close ends it.
@case("a caller that knows no chunks gets a reset when its stream is cut")
async def _(site):
    async def cut(exchange):
        await exchange.stream_events(1, 2, end=False)
        exchange.reset()

    _, daemon = await open_desk(site)
    site.endpoints["e1"].scripts[:] = [cut]
    caller = await site.connect(daemon.callers)
    await caller.send(
        head(site, b"Content-Length: 0", path="/question/1", version=b"1.0")
    )
    received, was_reset = b"", False
    try:
        while part := await caller.stream.receive_some(65_536):
            received += part
    except trio.BrokenResourceError:
        was_reset = True
    assert b"id: 2\n" in received and was_reset, received


@case("requests that two parsers could read differently are refused unsent")
async def _(site):
    endpoint, daemon = await open_desk(site)
    for form, lines in REFUSED.items():
        received = await exchange(daemon, head(site, *lines) + b"ab")
        assert received.startswith(b"HTTP/1.1 400 "), (form, received)
        assert b"not run" in received, (form, received)
    offer = head(site, b"Connection: upgrade", b"Upgrade: other", version=b"2.0")
    received = await exchange(daemon, offer)
    assert received.startswith(b"HTTP/1.1 400 "), received
    # What comes before garbage is served, and the garbage refused.
    garbage = b"\x00garbage\r\n\r\n"
    received = await exchange(daemon, head(site, LENGTH) + b"ab" + garbage)
    assert received.count(b"HTTP/1.1 200 ") == 1, received
    assert received.count(b"HTTP/1.1 400 ") == 1, received
    assert len(endpoint.received_requests) == 1, endpoint.received_requests

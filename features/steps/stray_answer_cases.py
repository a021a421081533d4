"""Test cases for answers of faulty endpoints that belong to no request, or to another.

An endpoint may repeat an earlier refusal, or answer with an error or with anything else
where a stream should go on.
"""

from contextlib import suppress

import h11
import trio
from routed_cases import (
    CHUNKED,
    EVENT_STREAM,
    NOT_RUN,
    case,
    is_whole_stream,
    start_one,
)

from savorydyke_standins._faulty_links import NewLinks, OpenLinks
from savorydyke_standins._routed_endpoint import EVENTS, answer_stream, chunk, event
from savorydyke_standins._routed_site import free_address

BROKEN_AFTER = 2
ERROR_TEXT = b"error: out of memory\n"
WHOLE = b"".join(event(number) for number in range(1, EVENTS + 1))
STAMP_LINE = b"X-Savorydyke-Response-Stamp: stamp\r\n"


# A refusal that is no answer to the request


def refusal_head(request_id, *more):
    """Return a complete refusal, with an id if one is given."""
    lines = [b"HTTP/1.1 503 X", b"%s: %s" % NOT_RUN, b"Content-Length: 0", *more]
    if request_id:
        lines.append(b"X-Savorydyke-Request-Id: " + request_id)
    return b"\r\n".join(lines) + b"\r\n\r\n"


class RepeatingEndpoint:
    """An endpoint that sends refusals before it reads a request, and then runs it.

    Attributes
    ----------
    before : callable
        Returns what to send on a new connection, from the requests received so far.
    refuses : int
        Number of requests that it truly refuses first.
    """

    def __init__(self, before, refuses=0):
        self.before = before
        self.refuses = refuses
        self.received = []
        self.run = []

    async def serve(self, stream):
        """Serve one connection."""
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            early = self.before(self.received)
            if early:
                await stream.send_all(early)
            http = h11.Connection(h11.SERVER)
            while True:
                found = http.next_event()
                if found is h11.NEED_DATA:
                    http.receive_data(await stream.receive_some(65536))
                elif isinstance(found, h11.Request):
                    request = dict(found.headers)
                elif isinstance(found, h11.EndOfMessage):
                    break
                elif isinstance(found, h11.ConnectionClosed):
                    return
            request_id = request[b"x-savorydyke-request-id"]
            self.received.append(request_id)
            if len(self.received) <= self.refuses:
                await stream.send_all(refusal_head(request_id))
                return
            self.run.append(request_id)
            await trio.sleep(0.1)
            await stream.send_all(
                b"HTTP/1.1 200 X\r\nContent-Length: 4\r\n"
                + STAMP_LINE
                + b"X-Savorydyke-Request-Id: "
                + request_id
                + b"\r\n\r\ndone"
            )
        stream.socket.close()


async def start_repeating(site, before, refuses=0, name="e1"):
    """Start an endpoint of the desk that repeats refusals."""
    endpoint = RepeatingEndpoint(before, refuses)
    site.addresses[name] = await site.listen(endpoint.serve, free_address())
    site.write_record(name, "desk")
    return endpoint


async def claim_once(site, endpoints, count=6):
    """Send claims; none may run twice, or be refused as not run if it ran."""
    for number in range(count):
        answer = await site.ask(f"/claim/{number}")
        request_id = b"r%d" % site.last_request_number
        await trio.sleep(0.15)
        runs = sum(endpoint.run.count(request_id) for endpoint in endpoints)
        assert runs <= 1, (request_id, runs)
        if answer.status in {408, 421, 429, 503}:
            assert runs == 0, (answer.status, answer.body)


@case("a refusal without an id is no proof that a request did not run")
async def _(site):
    async def refuse(exchange):
        del exchange.request.headers[b"x-savorydyke-request-id"]
        length = (b"Content-Length", b"0")
        head = exchange.response_head(503, NOT_RUN, length, stamped=False)
        await exchange.send(head.replace(b"X-Savorydyke-Request-Id: \r\n", b""))

    first = await site.endpoint("e1", "desk", refuse)
    second = await site.endpoint("e2", "desk", refuse)
    await site.daemon()
    answer = await site.ask("/claim/1")
    assert answer.status == 502 and b"may have run" in answer.body, answer
    assert len(first.received_requests) + len(second.received_requests) == 1


@case("a refusal with another request's id is no proof that a request did not run")
async def _(site):
    async def refuse(exchange):
        exchange.request.headers[b"x-savorydyke-request-id"] = b"earlier"
        await exchange.send_complete(503, b"", NOT_RUN)

    first = await site.endpoint("e1", "desk", refuse)
    second = await site.endpoint("e2", "desk", refuse)
    await site.daemon()
    answer = await site.ask("/claim/1")
    assert answer.status == 502 and b"may have run" in answer.body, answer
    assert len(first.received_requests) + len(second.received_requests) == 1


@case("a refusal that comes before its request was sent is no answer to it")
async def _(site):
    endpoints = [
        await start_repeating(site, lambda seen: refusal_head(b""), name=name)
        for name in ("e1", "e2")
    ]
    await site.daemon()
    await claim_once(site, endpoints)


@case("a refusal of an earlier try of the same request is no proof")
async def _(site):
    endpoint = await start_repeating(
        site, lambda seen: refusal_head(seen[-1]) if seen else b"", refuses=1
    )
    await site.daemon()
    await claim_once(site, [endpoint])


@case("a refusal that repeats on the connection of a forwarded request is no proof")
async def _(site):
    endpoints = [
        await start_repeating(site, lambda seen: refusal_head(b""), name=name)
        for name in ("e1", "e2")
    ]
    links = await site.cuttable_daemon("instance-0")
    await site.daemon("instance-1")
    await trio.sleep(1.0)
    await links.cut(NewLinks.REFUSED, OpenLinks.RESET)
    await claim_once(site, endpoints, 4)


# Anything but the rest of a stream


def chunked_body(body):
    """Return a script for an event stream with this body."""

    async def send(exchange):
        await exchange.send(exchange.response_head(200, EVENT_STREAM, CHUNKED))
        await exchange.send(chunk(body) + b"0\r\n\r\n")

    return send


def unframed(body):
    """Return a script for an event stream that ends with its connection."""

    async def send(exchange):
        await exchange.send(exchange.response_head(200, EVENT_STREAM) + body)

    return send


def complete(status, body, *more, stamped=True):
    """Return a script for an answer of any kind."""

    async def send(exchange):
        length = (b"Content-Length", str(len(body)).encode())
        head = exchange.response_head(status, length, *more, stamped=stamped)
        await exchange.send(head + body)

    return send


HEAD = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 3\r\n\r\nbad"
HTML = (b"Content-Type", b"text/html")
STRAY_RESTS = {
    "a refusal": complete(503, ERROR_TEXT, NOT_RUN),
    "an error": complete(500, ERROR_TEXT),
    "an error that is an event stream": complete(500, ERROR_TEXT, EVENT_STREAM),
    "a page": complete(200, ERROR_TEXT, HTML),
    "an answer without a stamp": complete(200, ERROR_TEXT, HTML, stamped=False),
    "a large page": complete(200, ERROR_TEXT * 20_000, HTML),
    "an error as an event": chunked_body(ERROR_TEXT + b"\n"),
    "an error as a data event": chunked_body(b"data: " + ERROR_TEXT + b"\n"),
    "an error event with a false id": chunked_body(b"id: x\ndata: bad\n\n"),
    "an error's head": chunked_body(HEAD + b"\n\n"),
    "an error's head without length": unframed(HEAD + b"\n\n"),
    "an error's text without length": unframed(ERROR_TEXT),
    "the stream from its begin": chunked_body(WHOLE),
    "the stream from its begin without length": unframed(WHOLE),
    "a later part of the stream": chunked_body(event(4) + event(5)),
    "events out of order": chunked_body(event(4) + event(3) + event(5)),
    "an event twice": chunked_body(event(3) + event(3) + event(4) + event(5)),
    "nothing, without length": unframed(b""),
    "an event and an error": chunked_body(event(3) + ERROR_TEXT + b"\n"),
    "an event and an error without length": unframed(event(3) + HEAD + b"\n\n"),
}


def assert_no_stray(answer):
    """Assert that an answer is the stream up to some event, or all of it."""
    assert answer.status == 200, answer
    assert WHOLE.startswith(answer.body), answer.body[:500]
    if answer.body != WHOLE:
        assert not answer.complete, answer


def breaking_first(rest):
    """Return a script that breaks new streams off, and goes on with `rest`."""

    async def answer(exchange):
        if exchange.request.headers.get(b"last-event-id"):
            await rest(exchange)
            return
        await exchange.stream_events(1, BROKEN_AFTER, end=False)
        exchange.reset()

    return answer


for _name, _script in STRAY_RESTS.items():

    @case(f"a stream does not go on with {_name}")
    async def _(site, script=_script):
        for name in ("e1", "e2"):
            await site.endpoint(name, "engines", breaking_first(script))
        await site.daemon()
        assert_no_stray(await site.ask("/digest/1"))
        # The caller takes it up itself.
        answer = await site.ask("/digest/1", (b"Last-Event-Id", b"2"))
        kind = answer.headers.get(b"content-type", b"")
        if answer.status == 200 and kind == b"text/event-stream":
            rest = WHOLE[len(event(1) + event(2)) :]
            assert rest.startswith(answer.body), answer.body[:500]
            assert answer.body == rest or not answer.complete


@case("a stream that another instance forwards does not go on with an error")
async def _(site):
    scripts = [
        STRAY_RESTS[name]
        for name in ("an error as an event", "nothing, without length", "an error")
    ]
    for number, script in enumerate(scripts):
        await site.endpoint(f"e{number}", "engines", breaking_first(script))
    links = await site.cuttable_daemon("instance-0")
    await site.daemon("instance-1")
    await trio.sleep(1.0)
    await links.cut(NewLinks.REFUSED, OpenLinks.RESET)
    for number in range(6):
        answer = await site.ask(f"/digest/{number}")
        if answer.status == 200:
            assert_no_stray(answer)


@case("a stream whose first answer is followed by an error's head is not complete")
async def _(site):
    async def stray(exchange):
        await exchange.send(exchange.response_head(200, EVENT_STREAM))
        await exchange.send(event(1) + event(2) + HEAD + b"\n\n")

    await start_one(site, "engines", stray)
    answer = await site.ask("/question/1")
    assert WHOLE.startswith(answer.body) and not answer.complete, answer


@case("a stream that goes on rightly after an error is whole")
async def _(site):
    first = await site.endpoint("e1", "engines", breaking_first(answer_stream))
    second = await site.endpoint("e2", "engines", breaking_first(answer_stream))
    await site.daemon()
    assert is_whole_stream(await site.ask("/digest/1"))
    assert first.received_requests and second.received_requests

"""Test cases for what the head of an answer says, on each kind of route.

The route decides what an answer must be. The run of each request makes the events
`WHOLE`, whatever the head or the body of the answer of a faulty endpoint is.
"""

import itertools
import json
from dataclasses import dataclass, replace

import trio
from routed_cases import CHUNKED, EVENT_STREAM, NOT_RUN, case
from spoilt_stream_cases import ROUTES, Endpoints, start
from stray_answer_cases import BROKEN_AFTER, WHOLE

from savorydyke_standins._faulty_links import NewLinks, OpenLinks
from savorydyke_standins._routed_endpoint import EVENTS, chunk, event
from savorydyke_standins._routed_site import BOUNDS

RESUMABLE, NOT_RESUMABLE = ROUTES
TEXT = (b"Content-Type", b"text/plain")
JSON = (b"Content-Type", b"application/json")
GZIP = (b"Content-Encoding", b"gzip")
LARGE_BYTES = 400_000
"""More than an instance buffers of an answer."""
MANY_BYTES = 5_000_000
"""More than an instance relays of an answer whose length is not stated."""
STATED = b"X-Savorydyke-Response-Stamp"


@dataclass(frozen=True)
class AnswerShape:
    """An answer of an endpoint.

    Attributes
    ----------
    framing : str
        ``chunked``, ``length`` or ``close``: what marks the end of the body.
    is_cut : bool
        Whether the connection is reset before the end of the body.
    """

    status: int = 200
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""
    framing: str = "length"
    is_cut: bool = False

    async def send(self, exchange):
        """Send the answer."""
        body, framing = self.body, []
        if self.framing == "chunked":
            framing, body = [CHUNKED], chunk(body) + b"0\r\n\r\n"
        elif self.framing == "length":
            framing = [(b"Content-Length", str(len(body)).encode())]
        head = exchange.response_head(self.status, *self.headers, *framing)
        await exchange.send(head + (body[: len(body) // 2] if self.is_cut else body))
        if self.is_cut:
            await trio.sleep(0.02)
            exchange.reset()


NO_STREAM_HEADS = {
    "no type": (200, ()),
    "another type": (200, (TEXT,)),
    "a type that begins alike": (200, ((b"Content-Type", b"text/event-streams"),)),
    "two types": (200, (EVENT_STREAM, TEXT)),
    "two types in the other order": (200, (JSON, EVENT_STREAM)),
    "an encoding": (200, (EVENT_STREAM, GZIP)),
    "status 201 and no type": (201, ()),
    "status 206": (206, (EVENT_STREAM, (b"Content-Range", b"bytes 0-9/20"))),
    "status 204": (204, ()),
}
"""Status and headers of answers that do not say that they are a stream."""
NO_STREAM_BODIES = {
    "text": b"error: out of memory\n",
    "an event without an id": b"data: bad\n\n",
    "events": event(1) + event(2),
    "nothing": b"",
    "much text": b"error: out of memory\n" * (LARGE_BYTES // 20),
}


def check_stream(answer, begin=0):
    """Check that a caller got events of the run after `begin`, or a true refusal."""
    if answer.status == 200:
        rest = b"".join(event(number) for number in range(begin + 1, EVENTS + 1))
        assert rest.startswith(answer.body), answer
        assert answer.body == rest or not answer.complete, answer
        return
    assert answer.status == 502, answer
    assert answer.headers[b"content-type"] == b"application/problem+json", answer
    assert STATED.lower() not in answer.headers, answer


async def ask_for_stream(site, endpoints, path, shape, begin=0):
    """Ask for a stream, or for its rest, whose first answer has a given shape."""
    endpoints.scripts = [shape.send]
    more = []
    if begin:
        more = [(b"Last-Event-Id", b"%d" % begin), (b"Resumes", b"r1")]
    answer = await site.ask(path, *more)
    check_stream(answer, begin)
    return answer


async def check_shape(site, endpoints, shape):
    """Check what callers of streaming routes get of an answer that is no stream."""
    answer = await ask_for_stream(site, endpoints, NOT_RESUMABLE, shape)
    assert answer.status == 502, (shape, answer)
    answer = await ask_for_stream(site, endpoints, RESUMABLE, shape)
    assert answer.body == WHOLE and answer.complete, (shape, answer)
    answer = await ask_for_stream(site, endpoints, RESUMABLE, shape, begin=2)
    assert answer.body and answer.complete, (shape, answer)


def shapes(status, headers):
    """Yield answers with a head, of all bodies and framings."""
    bodies = [b""] if status == 204 else NO_STREAM_BODIES.values()
    for body, framing in itertools.product(bodies, ("chunked", "length", "close")):
        if status != 204 or framing == "close":
            yield AnswerShape(status, headers, body, framing)


for _name, _head in NO_STREAM_HEADS.items():

    @case(f"an answer with {_name} is no stream")
    async def _(site, head=_head):
        endpoints = await start(site)
        first = await site.ask(RESUMABLE)
        assert first.body == WHOLE, first
        for shape in shapes(*head):
            await check_shape(site, endpoints, shape)
        text = site.daemons[0].log.read_text()
        assert "Connection failed" not in text, text[-2000:]


@case("megabytes without the type of a stream reach no caller of a stream")
async def _(site):
    endpoints = await start(site)
    shape = AnswerShape(body=b"x" * MANY_BYTES, framing="close")
    await check_shape(site, endpoints, shape)


@case("a stream goes on elsewhere when the rest is no stream")
async def _(site):
    async def begin(exchange):
        await exchange.stream_events(1, BROKEN_AFTER, end=False)
        exchange.reset()

    endpoints = await start(site)
    routes = site.routes()
    for route in routes:
        route["attempts"] = 4
    site.configure(routes=routes)
    await trio.sleep(0.5)
    for status, headers in NO_STREAM_HEADS.values():
        for shape in shapes(status, headers):
            endpoints.scripts = [begin, shape.send]
            answer = await site.ask(RESUMABLE)
            assert answer.body == WHOLE and answer.complete, (shape, answer)


@case("an answer that is no stream is none through another instance either")
async def _(site):
    endpoints = Endpoints()
    for name in ("e1", "e2", "e3"):
        await site.endpoint(name, "engines", endpoints.answer, slots=8)
    bounds = BOUNDS | {"repeat_slack": 100_000}
    links = await site.cuttable_daemon("instance-0")
    await site.daemon("instance-1", bounds=bounds)
    await trio.sleep(1.0)
    await links.cut(NewLinks.REFUSED, OpenLinks.RESET)
    answer = await site.ask(NOT_RESUMABLE)
    assert answer.body == WHOLE and answer.complete, answer
    for status, headers in NO_STREAM_HEADS.values():
        for shape in shapes(status, headers):
            if len(shape.body) < LARGE_BYTES:
                endpoints.scripts = [shape.send]
                answer = await site.ask(NOT_RESUMABLE)
                assert answer.status == 502, (shape, answer)
                detail = json.loads(answer.body)["detail"]
                assert "not a stream" in detail or "encoding" in detail, answer
    answer = await site.ask(NOT_RESUMABLE)
    assert answer.body == WHOLE and answer.complete, answer


@case("an answer with the ids of two requests is none")
async def _(site):
    async def two_ids(exchange):
        head = exchange.response_head(200, EVENT_STREAM, CHUNKED)
        begin, _, rest = head.partition(b"\r\n")
        other = b"\r\nX-Savorydyke-Request-Id: another\r\n"
        await exchange.send(begin + other + rest + chunk(WHOLE) + b"0\r\n\r\n")

    endpoints = await start(site)
    endpoints.scripts = [two_ids]
    answer = await site.ask(NOT_RESUMABLE)
    assert answer.status == 502, answer


@case("streams with the usual variants of their head are whole")
async def _(site):
    endpoints = await start(site)
    variants = (
        (200, b"text/event-stream"),
        (200, b"text/event-stream; charset=utf-8"),
        (200, b"Text/Event-Stream;charset=UTF-8"),
        (201, b"text/event-stream"),
    )
    for (status, kind), framing in itertools.product(
        variants, ("chunked", "length", "close")
    ):
        headers = ((b"Content-Type", kind),)
        endpoints.scripts = [AnswerShape(status, headers, WHOLE, framing).send]
        answer = await site.ask(NOT_RESUMABLE)
        assert answer.status == status, answer
        assert answer.body == WHOLE and answer.complete, answer


# Plain routes


async def start_desk(site):
    """Start endpoints of the desk and an instance without a limit of retries."""
    endpoints = Endpoints()
    for name in ("s1", "s2", "s3"):
        await site.endpoint(name, "desk", endpoints.answer, slots=8)
    await site.daemon(bounds=BOUNDS | {"repeat_slack": 100_000})
    return endpoints


PLAIN = AnswerShape(headers=(TEXT,), body=b"answer")


async def ask_plainly(site, endpoints, path, *answers):
    """Send a request to the desk whose tries are answered in these ways."""
    endpoints.scripts = [answer.send for answer in answers]
    return await site.ask(path)


@case("answers of plain routes are relayed unchanged whatever their type")
async def _(site):
    endpoints = await start_desk(site)
    bodies = (b"", b"answer", WHOLE, b"data: no id\n\n", b"x" * LARGE_BYTES)
    types = ((), (TEXT,), (EVENT_STREAM,), (JSON, EVENT_STREAM))
    for path, body, headers, framing in itertools.product(
        ("/claim/1", "/lookup/1"), bodies, types, ("chunked", "length", "close")
    ):
        for status in (200, 201, 404):
            shape = AnswerShape(status, headers, body, framing)
            answer = await ask_plainly(site, endpoints, path, shape)
            assert answer.status == status, (shape, answer)
            assert answer.body == body and answer.complete, (shape, answer)
            assert STATED.lower() in answer.headers, (shape, answer)


@case("an answer with an encoding is not the endpoint's body on any route")
async def _(site):
    endpoints = await start_desk(site)
    for body, framing in itertools.product(
        (b"answer", b"x" * LARGE_BYTES), ("chunked", "length", "close")
    ):
        for status in (200, 404, 500):
            shape = AnswerShape(status, (TEXT, GZIP), body, framing)
            answer = await ask_plainly(site, endpoints, "/claim/1", shape, PLAIN)
            assert answer.status == 502, (shape, answer)
            assert STATED.lower() not in answer.headers, answer
            answer = await ask_plainly(site, endpoints, "/lookup/1", shape, PLAIN)
            assert answer.body == PLAIN.body, (shape, answer)


@case("an answer of a plain route that is cut is not relayed as complete")
async def _(site):
    endpoints = await start_desk(site)
    for body, framing in itertools.product(
        (b"answer", b"x" * LARGE_BYTES), ("chunked", "length", "close")
    ):
        shape = replace(PLAIN, body=body, framing=framing, is_cut=True)
        answer = await ask_plainly(site, endpoints, "/claim/1", shape, PLAIN)
        assert answer.status == 502 or not answer.complete, (shape, answer)
        answer = await ask_plainly(site, endpoints, "/lookup/1", shape, PLAIN)
        assert answer.body == PLAIN.body or not answer.complete, (shape, answer)


@case("a status that promises that nothing has run is passed on only if that is true")
async def _(site):
    endpoints = await start_desk(site)
    for status, body in itertools.product(
        (408, 421, 429, 503), (b"no", b"x" * LARGE_BYTES)
    ):
        ran = AnswerShape(status, (TEXT,), body)
        answer = await ask_plainly(site, endpoints, "/claim/1", ran, PLAIN)
        # An endpoint that is not the expected one answers 421.
        assert answer.body == PLAIN.body if status == 421 else answer.status == 502
        not_run = AnswerShape(status, (TEXT, NOT_RUN), b"no")
        answer = await ask_plainly(site, endpoints, "/claim/1", not_run, PLAIN)
        assert answer.body == PLAIN.body, (status, answer)


GARBAGE_S = 10.0
CURED_S = 4.0
NOTICED_S = 2.0
"""Time after which an endpoint that sends garbage must be passed over."""
LOST_SHARE = 0.05
"""Largest share of the streams that may be lost then, to find out whether the endpoint
has recovered. Without any notice it would be one in three."""
RETURNED_REQUESTS = 20
"""Requests that an endpoint must get within `CURED_S` after its recovery."""


async def answer_garbage(exchange):
    """Answer at once with a text."""
    await AnswerShape(200, (TEXT,), b"error: out of memory\n").send(exchange)


async def answer_in_turn(exchange):
    """Stream events; a process of one slot can do so 17 times a second."""
    last = int(exchange.request.headers.get(b"last-event-id", b"0"))
    await exchange.stream_events(last + 1, EVENTS, pause_s=0.012)


@case("garbage of one endpoint costs no stream that may go on where others have room")
async def _(site):
    endpoints = [
        await site.endpoint(f"e{number}", "engines", answer_in_turn, slots=8)
        for number in range(3)
    ]
    endpoints[0].scripts = [answer_garbage]
    await site.daemon("instance-0")
    await site.daemon("instance-1")
    await trio.sleep(0.5)
    traffic = StreamTraffic(site)
    begun = trio.current_time()
    await traffic.run(GARBAGE_S / 2)
    for _, path, answer in traffic.answers:
        check_stream(answer)
        assert path != RESUMABLE or answer.body == WHOLE, answer
    noticed = [a for sent, _, a in traffic.answers if sent >= begun + NOTICED_S]
    lost = [answer for answer in noticed if answer.body != WHOLE]
    assert len(lost) <= LOST_SHARE * len(noticed), (len(lost), len(noticed))


@case("streams are asked for and served while one endpoint in three sends garbage")
async def _(site):
    endpoints = [
        await site.endpoint(f"e{number}", "engines", answer_in_turn, slots=1)
        for number in range(3)
    ]
    bad = endpoints[0]
    await site.daemon("instance-0")
    await site.daemon("instance-1")
    await trio.sleep(0.5)
    traffic = StreamTraffic(site)
    bad.scripts = [answer_garbage]
    begun = trio.current_time()
    await traffic.run(GARBAGE_S)
    bad.scripts = [answer_in_turn]
    cured, before = trio.current_time(), len(bad.received_requests)
    await traffic.run(CURED_S)
    returned = len(bad.received_requests) - before
    for _, _, answer in traffic.answers:
        if answer.status not in {*REFUSED, OUT_OF_TIME}:
            check_stream(answer)
    noticed = [
        answer
        for sent, _, answer in traffic.answers
        if begun + NOTICED_S <= sent < cured and answer.status not in REFUSED
    ]
    lost = [answer for answer in noticed if answer.body != WHOLE]
    assert len(lost) <= LOST_SHARE * len(noticed), (len(lost), len(noticed), before)
    assert len(noticed) >= MIN_SERVED, len(noticed)
    assert returned >= RETURNED_REQUESTS, (returned, before)


REFUSED = {429, 503}
"""Statuses of requests that have not run; the load is more than two endpoints bear."""
OUT_OF_TIME = 504
"""Status of a request that was sent and then found no place in time; it is lost."""
MIN_SERVED = 160
"""About 20 a second, of the 34 that two endpoints could serve."""


class StreamTraffic:
    """Requests for streams of both kinds, through all instances in turn.

    Attributes
    ----------
    answers : list of tuple
        Sending time, path and answer of each.
    """

    def __init__(self, site):
        self.site = site
        self.answers = []

    async def run(self, seconds):
        """Send requests in turn, and wait for their answers."""
        async with trio.open_nursery() as nursery:
            until = trio.current_time() + seconds
            for number in itertools.count():
                if trio.current_time() >= until:
                    return
                daemons = self.site.daemons
                daemon = daemons[number % len(daemons)]
                path = ROUTES[number // len(daemons) % len(ROUTES)]
                nursery.start_soon(self.ask, daemon, path)
                await trio.sleep(0.025)

    async def ask(self, daemon, path):
        """Send one request and record its answer."""
        sent = trio.current_time()
        caller = await self.site.connect(daemon.callers)
        answer = await caller.request("POST", path, self.site.headers(), b"body")
        await caller.stream.aclose()
        self.answers.append((sent, path, answer))

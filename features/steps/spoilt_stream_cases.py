"""Test cases for streams that faulty endpoints spoil, generated and by hand.

The run of each request makes the events `WHOLE`. Whatever an endpoint adds to them,
callers get nothing that the run did not make, and nothing incomplete as complete.
"""

import re
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import trio
from hypothesis import HealthCheck, assume, given, settings
from hypothesis import strategies as st
from routed_cases import CHUNKED, EVENT_STREAM, case
from stray_answer_cases import HEAD, WHOLE

from savorydyke_standins._routed_endpoint import EVENTS, answer_stream, chunk, event
from savorydyke_standins._routed_site import BOUNDS

EXAMPLES = 150
ROUTES = ("/digest/1", "/question/1")
"""One whose streams go on elsewhere, and one whose streams do not."""
WELL_FORMED = re.compile(rb"(?:[a-z-]+:[^\n]*\n)*id: ?(\d{1,18})\n(?:data:[^\n]*\n)+\n")


@dataclass(frozen=True)
class Spoilt:
    """How one answer is spoilt.

    Attributes
    ----------
    after : int
        Number of sound events before the junk.
    within : bool
        Whether the junk is the begin of the next event, and not an event of its own.
    framing : str
        ``chunked``, ``length`` or ``close``: what marks the end of the body.
    breaks_off : bool
        Whether the connection is reset after the junk.
    goes_on : bool
        Whether the other events follow the junk.
    """

    junk: bytes
    after: int = 0
    within: bool = False
    framing: str = "chunked"
    breaks_off: bool = False
    goes_on: bool = False

    def body(self, last: int) -> bytes:
        """Return the body of an answer that goes on after event `last`."""
        numbers = range(last + 1, EVENTS + 1)
        sound = [event(number) for number in numbers]
        before, rest = sound[: self.after], sound[self.after :]
        junk = self.junk.rstrip(b"\n") if self.within else self.junk
        rest = rest if self.goes_on or self.within else []
        return b"".join([*before, junk, *rest])


def spoilt_script(spoilt: Spoilt) -> Callable:
    """Return a script for a spoilt answer."""

    async def script(exchange):
        last = int(exchange.request.headers.get(b"last-event-id", b"0"))
        body = spoilt.body(last)
        framing = []
        if spoilt.framing == "chunked":
            framing, body = [CHUNKED], chunk(body) + b"0\r\n\r\n"
        elif spoilt.framing == "length":
            framing = [(b"Content-Length", str(len(body)).encode())]
        await exchange.send(exchange.response_head(200, EVENT_STREAM, *framing) + body)
        if spoilt.breaks_off:
            await trio.sleep(0.02)
            exchange.reset()

    return script


FIELDS = st.sampled_from([b"id", b"data", b"event", b"retry", b"error", b"", b"i d"])
VALUES = st.sampled_from(
    [b"", b" ", b"x", b"7", b"-1", b"1e3", b"\x00", b"\x1b[0m", b"\xff\xfe", b"9" * 30]
)
LINES = st.builds(lambda name, value: name + b":" + value, FIELDS, VALUES)
BLOCKS = st.one_of(
    st.lists(LINES, min_size=1, max_size=4).map(lambda lines: b"\n".join(lines)),
    st.binary(min_size=1, max_size=40),
    st.sampled_from([HEAD, b"error: out of memory", b"id:\ndata: x", b"\x16\x03\x01"]),
    st.sampled_from([event(1)[:-2], event(1)[:-2] + b"\n" + event(1)[:-2]]),
)
SPOILT = st.builds(
    Spoilt,
    junk=BLOCKS.map(lambda block: block + b"\n\n"),
    after=st.integers(0, EVENTS),
    within=st.booleans(),
    framing=st.sampled_from(["chunked", "length", "close"]),
    breaks_off=st.booleans(),
    goes_on=st.booleans(),
)


def is_visible(spoilt: Spoilt, last: int = 0) -> bool:
    """Return whether anybody can see that an answer is spoilt, and where.

    Junk that has the form of the next event is one for all that can be known.
    """
    known = last
    *blocks, rest = spoilt.body(last).split(b"\n\n")
    for block in blocks:
        found = WELL_FORMED.fullmatch(block + b"\n\n")
        if found is None or int(found.group(1)) <= known:
            return True
        known = int(found.group(1))
        if block + b"\n\n" != event(known):
            return False
    return bool(rest) or not blocks


def check(answer, daemon):
    """Check that a caller got what the run made, and that nothing failed inside."""
    if answer.status == 200:
        assert WHOLE.startswith(answer.body), answer
        assert answer.body == WHOLE or not answer.complete, answer
    else:
        assert answer.status in {502, 503}, answer
        assert answer.headers[b"content-type"] == b"application/problem+json", answer
    text = daemon.log.read_text()
    assert "Connection failed" not in text, text[-2000:]


class Endpoints:
    """Endpoints that answer the tries of one request in a given way."""

    def __init__(self):
        self.scripts = []

    async def answer(self, exchange):
        """Answer the next try, soundly after those that are given."""
        script = self.scripts.pop(0) if self.scripts else answer_stream
        await script(exchange)


async def start(site):
    """Start two endpoints and an instance without a limit of retries."""
    endpoints = Endpoints()
    for name in ("e1", "e2", "e3"):
        await site.endpoint(name, "engines", endpoints.answer, slots=8)
    await site.daemon(bounds=BOUNDS | {"repeat_slack": 100_000})
    return endpoints


async def ask(site, endpoints, path, *answers):
    """Send a request whose tries are answered in these ways; check the answer."""
    endpoints.scripts = [spoilt_script(spoilt) for spoilt in answers]
    answer = await site.ask(path)
    check(answer, site.daemons[0])
    return answer


@case("generated junk in streams reaches no caller")
async def _(site):
    endpoints = await start(site)

    @settings(
        max_examples=EXAMPLES,
        deadline=None,
        database=None,
        derandomize=True,
        suppress_health_check=list(HealthCheck),
    )
    @given(SPOILT, st.none() | SPOILT, st.sampled_from(ROUTES))
    def run(first, second, path):
        answers = [first] if second is None else [first, second]
        assume(is_visible(first))
        # The second answer is asked for the events after those of the first one.
        assume(second is None or is_visible(second, first.after))
        answer = trio.from_thread.run(partial(ask, site, endpoints, path, *answers))
        if second is None and path == ROUTES[0] and first.after == 0:
            # Nothing of the junk counted, so that the request is served elsewhere.
            assert answer.body == WHOLE and answer.complete, answer

    await trio.to_thread.run_sync(run)


BEGINNINGS = {
    "text without an id": b"error: out of memory\n\n",
    "an empty id": b"id:\ndata: bad\n\n",
    "an id that is no number": b"id: x\x01\ndata: bad\n\n",
    "another answer's head": HEAD + b"\n\n",
    "nothing": b"",
}


for _name, _junk in BEGINNINGS.items():

    @case(f"an answer that begins with {_name} is not relayed")
    async def _(site, junk=_junk):
        endpoints = await start(site)
        for framing in ("chunked", "length", "close"):
            for breaks_off in (False, True):
                spoilt = Spoilt(junk, framing=framing, breaks_off=breaks_off)
                answer = await ask(site, endpoints, "/question/1", spoilt)
                assert answer.status == 502, (spoilt, answer)
                answer = await ask(site, endpoints, "/digest/1", spoilt)
                assert answer.body == WHOLE and answer.complete, (spoilt, answer)


@case("streams whose ids increase by more than one are relayed and go on")
async def _(site):
    def stepping(steps, breaks_after=None):
        numbers = [sum(steps[: n + 1]) for n in range(len(steps))]

        async def script(exchange):
            last = int(exchange.request.headers.get(b"last-event-id", b"0"))
            await exchange.send(exchange.response_head(200, EVENT_STREAM, CHUNKED))
            for place, number in enumerate(numbers):
                if number > last:
                    await exchange.send(chunk(event(number)))
                if place == breaks_after and not last:
                    await trio.sleep(0.02)
                    exchange.reset()
                    return
            await exchange.send(b"0\r\n\r\n")

        return script, b"".join(event(number) for number in numbers)

    endpoints = await start(site)
    for steps in ([6] * 5, [6, 6, 1, 3, 8], [5, 1, 1, 1, 1]):
        for breaks_after in (None, 0, 2):
            script, whole = stepping(steps, breaks_after)
            endpoints.scripts = [script] * 2
            answer = await site.ask("/digest/1")
            assert answer.body == whole and answer.complete, (steps, breaks_after)

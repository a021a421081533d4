"""Cases about endpoints that answer while their request is still being sent."""

import httpx
import trio
from cut_off_cases import NewLinks, OpenLinks
from endless_answer_cases import endpoint_at
from routed_cases import case

from savorydyke._answer_budget import WastefulAnswerError
from savorydyke._endpoint_client import EndpointClient, Opened
from savorydyke_standins._routed_endpoint import Exchange, ReceivedRequest, chunk, event
from savorydyke_standins._routed_site import BOUNDS, free_address

RECEIVE_BUFFER = 8192
"""Size of an endpoint's receive buffer, so that long bodies do not fit into it."""
LENGTHS = (10_000, 100_000, 4_000_000)
PAUSES_S = (0.0, 0.05)
PART = b"the first part of "
EVENT_STREAM = (b"Content-Type", b"text/event-stream")
PATHS = {"/claim/1": [], "/lookup/1": [], "/digest/1": [EVENT_STREAM]}


class EarlyEndpoint:
    """An endpoint that answers once it has read the head of a request.

    Attributes
    ----------
    script : callable
        Awaited with each exchange; it may read on from the stream.
    answered : int
        Requests that it has answered.
    """

    def __init__(self, script):
        self.script = script
        self.answered = 0

    async def listen(self, site, name, service):
        """Serve requests, and write a record."""
        site.addresses[name] = address = free_address()
        host, _, port = address.partition(":")
        (listener,) = await trio.open_tcp_listeners(int(port), host=host)
        option = trio.socket.SO_RCVBUF
        listener.socket.setsockopt(trio.socket.SOL_SOCKET, option, RECEIVE_BUFFER)
        site.nursery.start_soon(trio.serve_listeners, self.serve, [listener])
        site.write_record(name, service, slots=8)

    async def serve(self, stream):
        """Serve one connection."""
        data = b""
        try:
            while b"\r\n\r\n" not in data:
                part = await stream.receive_some(1024)
                if not part:
                    return
                data += part
            lines = data.partition(b"\r\n\r\n")[0].split(b"\r\n")
            headers = dict(line.split(b": ", 1) for line in lines[1:])
            headers = {name.lower(): value for name, value in headers.items()}
            method, target, _ = lines[0].split(b" ")
            body = data.partition(b"\r\n\r\n")[2]
            now = trio.current_time()
            request = ReceivedRequest(method, target, headers, body, now)
            self.answered += 1
            await self.script(Exchange(self, stream, request))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The instance has given up.
            pass
        finally:
            stream.socket.close()


def body_of(path):
    """Return a part of an answer: two events of a stream, or some text."""
    return event(1) + event(2) if path.startswith(b"/digest") else PART


def breaking_off(pause_s):
    """Return a script that sends a part without a length, and resets."""

    async def script(exchange):
        target = exchange.request.target
        kind = [EVENT_STREAM] if target.startswith(b"/digest") else []
        await exchange.send(exchange.response_head(200, *kind) + body_of(target))
        await trio.sleep(pause_s)
        exchange.reset()

    return script


def configure(site):
    """Let callers send long bodies."""
    limits = site.configuration()["limits"] | {"max_body_bytes": 5_000_000}
    site.configure(limits=limits)


async def start(site, script):
    """Start endpoints of both services that answer early."""
    configure(site)
    endpoint = EarlyEndpoint(script)
    for number in range(2):
        await endpoint.listen(site, f"s{number}", "desk")
        await endpoint.listen(site, f"e{number}", "engines")
    return endpoint


async def ask_and_check(site, endpoint):
    """Send bodies of all lengths; no part is told as a whole answer."""
    for path in PATHS:
        for size in LENGTHS:
            for pause_s in PAUSES_S:
                endpoint.script = breaking_off(pause_s)
                before = endpoint.answered
                answer = await site.ask(path, body=bytes(size))
                is_whole = answer.complete and answer.status == 200
                assert not is_whole, (path, size, pause_s, answer)
                assert endpoint.answered > before, (path, size, pause_s, answer)


# Guards against the part of an answer that was reset while its request was being sent
# and is told as a whole one.
@case("an answer that is reset during a long upload is not complete")
async def _(site):
    endpoint = await start(site, breaking_off(0.0))
    await site.daemon(bounds=BOUNDS | {"repeat_slack": 100_000})
    await ask_and_check(site, endpoint)


# Guards against the same where another instance has sent the request.
@case("an answer that is reset during a long upload is not complete when forwarded")
async def _(site):
    endpoint = await start(site, breaking_off(0.0))
    bounds = BOUNDS | {"repeat_slack": 100_000}
    links = await site.cuttable_daemon("instance-0")
    await site.daemon("instance-1", bounds=bounds)
    await trio.sleep(1.0)
    await links.cut(NewLinks.REFUSED, OpenLinks.RESET)
    await ask_and_check(site, endpoint)


def sound(framing, reads):
    """Return a script that answers soundly before it reads the body.

    Parameters
    ----------
    framing : str
        What marks the end of the answer: `length`, `chunked` or `close`.
    reads : bool
        Whether it reads the body before it closes the connection. If not, only the
        end of an answer that marks it reaches the other side.
    """

    async def script(exchange):
        target = exchange.request.target
        kind = [EVENT_STREAM] if target.startswith(b"/digest") else []
        body = body_of(target)
        if framing == "length":
            kind.append((b"Content-Length", b"%d" % len(body)))
        if framing == "chunked":
            kind.append((b"Transfer-Encoding", b"chunked"))
            body = chunk(body) + b"0\r\n\r\n"
        await exchange.send(exchange.response_head(200, *kind) + body)
        if framing == "close":
            await exchange.stream.send_eof()
        if reads:
            left = int(exchange.request.headers[b"content-length"])
            left -= len(exchange.request.body)
            while left > 0:
                left -= len(await exchange.stream.receive_some(65536))
        else:
            await trio.sleep(0.1)

    return script


# Guards against a rule that takes sound answers for parts.
@case("an answer that is complete before its request was sent is served")
async def _(site):
    endpoint = await start(site, sound("length", True))
    await site.daemon(bounds=BOUNDS | {"repeat_slack": 100_000})
    for framing in ("length", "chunked", "close"):
        for reads in (True, False):
            for path in PATHS:
                for size in LENGTHS:
                    endpoint.script = sound(framing, reads)
                    answer = await site.ask(path, body=bytes(size))
                    case_of = (framing, reads, path, size, answer)
                    assert answer.complete and answer.status == 200, case_of
                    assert answer.body == body_of(path.encode()), case_of


# Guards against the same on the product's own interface, whose library passes over
# failures of sending.
@case("an answer that is reset during a long upload is lost on the own interface")
async def _(site):
    endpoint = EarlyEndpoint(breaking_off(0.0))
    await endpoint.listen(site, "e1", "engines")
    client = EndpointClient()
    target = endpoint_at(site, site.addresses["e1"])
    for size in LENGTHS:
        for pause_s in PAUSES_S:
            endpoint.script = breaking_off(pause_s)
            received = await read_own(client, target, size)
            assert received is None, (size, pause_s, received)
    for framing in ("length", "chunked", "close"):
        for reads in (True, False):
            endpoint.script = sound(framing, reads)
            received = await read_own(client, target, LENGTHS[-1])
            assert received == PART, (framing, reads, received)


async def read_own(client, target, size):
    """Return the body of an answer, None if it is lost or cut."""
    opened = await client.open(target, "POST", "/v1/x", [], bytes(size))
    if not isinstance(opened, Opened):
        return None
    try:
        return b"".join([part async for part in opened.chunks])
    except (httpx.HTTPError, WastefulAnswerError):
        return None
    finally:
        await opened.close()


ODD_HEADS = {
    "a status of zeros": b"HTTP/1.1 000 X\r\nA: b\r\n",
    "a blank in a name": b"HTTP/1.1 200 X\r\nA b: c\r\n",
    "a blank before a colon": b"HTTP/1.1 200 X\r\nA : c\r\n",
    "a control byte in a name": b"HTTP/1.1 200 X\r\nA\x01b: c\r\n",
    "a control byte in a value": b"HTTP/1.1 200 X\r\nA: b\x01c\r\n",
    "a blank line within": b"HTTP/1.1 200 X\r\nA: b\r\n\r\nB: c\r\n",
}


def odd(head):
    """Return a script that sends an odd head with what a sound answer has."""

    async def script(exchange):
        sound_head = exchange.response_head(200).partition(b"\r\n")[2]
        await exchange.send(head + sound_head + PART)
        exchange.stream.socket.close()

    return script


# Guards against an endpoint in trouble whose odd head is taken for that of an answer.
@case("an answer whose head is odd is none, routed and on the own interface")
async def _(site):
    endpoint = await start(site, breaking_off(0.0))
    await site.daemon(bounds=BOUNDS | {"repeat_slack": 100_000})
    client = EndpointClient()
    target = endpoint_at(site, site.addresses["s0"])
    for name, head in ODD_HEADS.items():
        endpoint.script = odd(head)
        for path in PATHS:
            answer = await site.ask(path)
            assert answer.status == 502, (name, path, answer)
        if "within" not in name:
            received = await client.open(target, "GET", "/v1/x", [], b"")
            assert not isinstance(received, Opened), (name, received)

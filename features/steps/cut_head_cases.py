"""Test cases for endpoints that end within the head of an answer.

Neither the end of a connection nor bytes of a body end a head, wherever they come.
"""

import trio
from routed_cases import CHUNKED, EVENT_STREAM, case, endpoint_at
from spoilt_stream_cases import WHOLE

from savorydyke._endpoint_client import EndpointClient, Opened
from savorydyke_standins._faulty_links import NewLinks, OpenLinks
from savorydyke_standins._routed_endpoint import chunk
from savorydyke_standins._routed_site import BOUNDS, free_address

HEADS = {
    "/claim/1": (((b"Content-Length", b"6"),), b"answer"),
    "/lookup/1": ((), b"answer"),
    "/digest/1": ((EVENT_STREAM, CHUNKED), chunk(WHOLE) + b"0\r\n\r\n"),
    "/question/1": ((EVENT_STREAM,), WHOLE),
}
"""The framing of the answers on each route, and their bodies."""


class CuttingEndpoint:
    """An endpoint that leaves out the last bytes of its heads.

    Attributes
    ----------
    left_out : int
        Number of these bytes.
    sends_body : bool
        Whether the body follows nevertheless.
    resets : bool
        Whether the connection is reset, and not closed.
    was_empty : bool
        Whether nothing was left to send.
    """

    def __init__(self):
        self.left_out = 1
        self.sends_body = self.resets = self.was_empty = False

    async def answer(self, exchange):
        """Send the begin of a head, and end."""
        headers, body = HEADS[exchange.request.target.decode()]
        head = exchange.response_head(200, *headers)
        self.was_empty = self.left_out >= len(head)
        await exchange.send(head[: max(0, len(head) - self.left_out)])
        if self.sends_body:
            await exchange.send(body)
        if self.resets:
            await trio.sleep(0.005)
            exchange.reset()


async def start(site, endpoint):
    """Start endpoints of both pools."""
    for pool in ("desk", "engines"):
        for number in range(2):
            name = f"{pool}-{number}"
            await site.endpoint(name, pool, endpoint.answer, slots=8)


async def check_all(site, endpoint, path):
    """Leave out one byte more with each request; none is answered with success."""
    endpoint.left_out, endpoint.was_empty = 1, False
    while not endpoint.was_empty:
        answer = await site.ask(path)
        assert answer.status == 502, (endpoint.left_out, answer)
        endpoint.left_out += 1


@case("an answer whose head is cut anywhere is not relayed")
async def _(site):
    endpoint = CuttingEndpoint()
    await start(site, endpoint)
    await site.daemon(bounds=BOUNDS | {"repeat_slack": 100_000})
    for path in HEADS:
        for endpoint.resets in (False, True):
            await check_all(site, endpoint, path)


@case("an answer whose head is cut is not completed by its body")
async def _(site):
    endpoint = CuttingEndpoint()
    endpoint.sends_body = True
    await start(site, endpoint)
    await site.daemon(bounds=BOUNDS | {"repeat_slack": 100_000})
    for path in HEADS:
        await check_all(site, endpoint, path)


@case("an answer whose head is cut is not relayed by another instance")
async def _(site):
    endpoint = CuttingEndpoint()
    await start(site, endpoint)
    links = await site.cuttable_daemon("instance-0")
    await site.daemon("instance-1")
    await trio.sleep(1.0)
    await links.cut(NewLinks.REFUSED, OpenLinks.RESET)
    for path in ("/claim/1", "/question/1"):
        for endpoint.left_out in (1, 2, 3, 4, 40, 60, 80, 120):
            answer = await site.ask(path)
            assert answer.status == 502, (endpoint.left_out, answer)


@case("an answer whose head is cut is lost on the product's own interface")
async def _(site):
    head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
    size = 0

    async def serve(stream):
        await stream.receive_some(65536)
        await stream.send_all(head[:size])
        await stream.aclose()

    endpoint = endpoint_at(site, await site.listen(serve, free_address()))
    client = EndpointClient()
    for size in range(len(head)):
        opened = await client.open(endpoint, "GET", "/v1/models", [], b"")
        assert not isinstance(opened, Opened), (size, opened)

"""A TCP relay that simulates network faults: closed connections and latency."""

import trio
from quart import Response
from quart_trio import QuartTrio

from savorydyke_standins._server import json_response, read_json, serve_app


class TcpRelay:
    """A relay to one target address.

    Attributes
    ----------
    is_cut : bool
        Whether new connections are closed at once.
    delay_s : float
        Delay added to each chunk of data, in each direction.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self.host = host
        self.port = int(port)
        self.is_cut = False
        self.delay_s = 0.0
        self.scopes: set[trio.CancelScope] = set()

    def cut(self) -> None:
        """Close all connections, and new ones until `is_cut` is reset."""
        self.is_cut = True
        for scope in list(self.scopes):
            scope.cancel()

    async def handle(self, downstream: trio.SocketStream) -> None:
        """Relay one connection."""
        if self.is_cut:
            return
        try:
            upstream = await trio.open_tcp_stream(self.host, self.port)
        except OSError:
            return
        with trio.CancelScope() as scope:
            self.scopes.add(scope)
            try:
                async with upstream, trio.open_nursery() as nursery:
                    nursery.start_soon(self._forward, downstream, upstream, scope)
                    nursery.start_soon(self._forward, upstream, downstream, scope)
            finally:
                self.scopes.discard(scope)

    async def _forward(
        self,
        source: trio.SocketStream,
        destination: trio.SocketStream,
        scope: trio.CancelScope,
    ) -> None:
        try:
            async for data in source:
                if self.delay_s:
                    await trio.sleep(self.delay_s)
                await destination.send_all(data)
            await destination.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            scope.cancel()


async def run(address: str, target: str, control: str) -> None:
    """Relay `address` to `target`; faults are set by ``PUT /control`` at `control`."""
    relay = TcpRelay(target)
    host, _, port = address.rpartition(":")
    app = QuartTrio("wire")

    @app.put("/control")
    async def set_faults() -> Response:
        value = await read_json()
        relay.delay_s = float(value.get("delay_s", relay.delay_s))
        if value.get("cut") is True:
            relay.cut()
        elif value.get("cut") is False:
            relay.is_cut = False
        return json_response("ok")

    @app.get("/record")
    async def record() -> Response:
        return json_response([])

    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve_app, app, control)
        nursery.start_soon(lambda: trio.serve_tcp(relay.handle, int(port), host=host))

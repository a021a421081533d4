"""A relay of TCP connections that can be cut, to stand in for a bad network."""

import trio
from quart import Response
from quart_trio import QuartTrio

from savorydyke_standins._server import json_answer, read_json, serve_app


class Wire:
    """One relayed address.

    Attributes
    ----------
    is_cut : bool
        Whether connections are closed and refused.
    delay_s : float
        Added to each piece of data, one way.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self.host = host
        self.port = int(port)
        self.is_cut = False
        self.delay_s = 0.0
        self.scopes: set[trio.CancelScope] = set()

    def cut(self) -> None:
        """Close all connections."""
        self.is_cut = True
        for scope in list(self.scopes):
            scope.cancel()

    async def handle(self, near: trio.SocketStream) -> None:
        """Relay one connection."""
        if self.is_cut:
            return
        try:
            far = await trio.open_tcp_stream(self.host, self.port)
        except OSError:
            return
        with trio.CancelScope() as scope:
            self.scopes.add(scope)
            try:
                async with far, trio.open_nursery() as nursery:
                    nursery.start_soon(self._copy, near, far, scope)
                    nursery.start_soon(self._copy, far, near, scope)
            finally:
                self.scopes.discard(scope)

    async def _copy(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        scope: trio.CancelScope,
    ) -> None:
        try:
            async for data in source:
                if self.delay_s:
                    await trio.sleep(self.delay_s)
                await sink.send_all(data)
            await sink.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            scope.cancel()


async def run(address: str, target: str, control: str) -> None:
    """Relay `address` to `target`; faults are switched at `control`."""
    wire = Wire(target)
    host, _, port = address.rpartition(":")
    app = QuartTrio("wire")

    @app.put("/control")
    async def set_faults() -> Response:
        value = await read_json()
        wire.delay_s = float(value.get("delay_s", wire.delay_s))
        if value.get("cut") is True:
            wire.cut()
        elif value.get("cut") is False:
            wire.is_cut = False
        return json_answer("ok")

    @app.get("/record")
    async def record() -> Response:
        return json_answer([])

    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve_app, app, control)
        nursery.start_soon(lambda: trio.serve_tcp(wire.handle, int(port), host=host))

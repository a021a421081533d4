"""Stand-in for engines and services behind routes, with scripted answers."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import h11
import trio

READ_BYTES = 65536
STAMP = (b"X-Savorydyke-Response-Stamp", b"stamp")
EVENTS = 5


@dataclass
class ReceivedRequest:
    """A request as it was received.

    Attributes
    ----------
    closed_at : float or None
        When the client closed the connection, by Trio's clock.
    """

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes
    at: float
    closed_at: float | None = None


Script = Callable[["Exchange"], Awaitable[None]]


@dataclass
class Exchange:
    """One received request, and methods to answer it."""

    endpoint: "RoutedEndpoint"
    stream: trio.SocketStream
    request: ReceivedRequest
    more_headers: list[tuple[bytes, bytes]] = field(default_factory=list)

    def response_head(
        self, status: int = 200, *more: tuple[bytes, bytes], stamped: bool = True
    ) -> bytes:
        """Return a response head that echoes the request's id."""
        request_id = self.request.headers.get(b"x-savorydyke-request-id", b"")
        headers = [(b"X-Savorydyke-Request-Id", request_id), *self.more_headers, *more]
        if stamped:
            headers.append(STAMP)
        lines = [b"HTTP/1.1 %d X" % status, *(b"%s: %s" % pair for pair in headers)]
        return b"\r\n".join(lines) + b"\r\n\r\n"

    async def send(self, data: bytes) -> None:
        """Send raw bytes."""
        await self.stream.send_all(data)

    async def send_complete(
        self, status: int = 200, body: bytes = b"answer", *more: tuple[bytes, bytes]
    ) -> None:
        """Send a complete answer."""
        length = (b"Content-Length", str(len(body)).encode())
        await self.send(self.response_head(status, length, *more) + body)

    async def stream_events(
        self, first: int, last: int, pause_s: float = 0.01, end: bool = True
    ) -> None:
        """Send events `first` to `last`, and the end of the stream if `end` is true."""
        kind = (b"Content-Type", b"text/event-stream")
        await self.send(
            self.response_head(200, kind, (b"Transfer-Encoding", b"chunked"))
        )
        for number in range(first, last + 1):
            await self.send(chunk(event(number)))
            await trio.sleep(pause_s)
        if end:
            await self.send(b"0\r\n\r\n")

    def reset(self) -> None:
        """Close the connection with a reset."""
        sock = self.stream.socket
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        sock.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, linger)
        sock.close()


def event(number: int) -> bytes:
    """Return one event of a stream."""
    return b"id: %d\ndata: token %d\n\n" % (number, number)


def chunk(data: bytes) -> bytes:
    """Return data as one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


async def answer_plainly(exchange: Exchange) -> None:
    """Send a complete answer with a small body."""
    await exchange.send_complete()


async def answer_stream(exchange: Exchange) -> None:
    """Stream the events that follow the request's ``Last-Event-ID``."""
    last = int(exchange.request.headers.get(b"last-event-id", b"0"))
    await exchange.stream_events(last + 1, EVENTS)


@dataclass
class RoutedEndpoint:
    """An endpoint that answers each request with a script.

    Attributes
    ----------
    scripts : list of Script
        One for each coming request; the last one is used for all further ones.
    received_requests : list of ReceivedRequest
        All requests received, in order.
    process : trio.CancelScope
        Ends the listener and all connections when it is cancelled.
    ended_at : float or None
        When the process was ended, by Trio's clock.
    """

    scripts: list[Script] = field(default_factory=lambda: [answer_plainly])
    received_requests: list[ReceivedRequest] = field(default_factory=list)
    read_body: bool = True
    process: trio.CancelScope = field(default_factory=trio.CancelScope)
    ended_at: float | None = None

    def crash(self) -> None:
        """End the process, which closes its connections in the middle of answers."""
        self.ended_at = trio.current_time()
        self.process.cancel()

    async def listen(
        self,
        address: str,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve connections until cancelled or ended."""
        host, _, port = address.partition(":")
        listeners = await trio.open_tcp_listeners(int(port), host=host)
        task_status.started()
        with self.process:
            await trio.serve_listeners(self.serve, listeners)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection: one request and its answer."""
        http = h11.Connection(h11.SERVER)
        request = None
        try:
            request = await self._read(http, stream)
            if request is None:
                return
            self.received_requests.append(request)
            script = self.scripts[0]
            if len(self.scripts) > 1:
                self.scripts.pop(0)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch, stream, request, nursery.cancel_scope)
                await script(Exchange(self, stream, request))
                nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            # The client has disconnected; the script may notice before `_watch` does.
            if request is not None and request.closed_at is None:
                request.closed_at = trio.current_time()
        finally:
            stream.socket.close()

    async def _read(
        self, http: h11.Connection, stream: trio.SocketStream
    ) -> ReceivedRequest | None:
        body = b""
        request = None
        while True:
            found = http.next_event()
            if found is h11.NEED_DATA:
                http.receive_data(await stream.receive_some(READ_BYTES))
            elif isinstance(found, h11.Request):
                request = found
                if not self.read_body:
                    break
            elif isinstance(found, h11.Data):
                body += found.data
            elif isinstance(found, h11.EndOfMessage):
                break
            else:
                return None
        assert request is not None
        headers = dict(request.headers)
        now = trio.current_time()
        return ReceivedRequest(request.method, request.target, headers, body, now)

    async def _watch(
        self,
        stream: trio.SocketStream,
        request: ReceivedRequest,
        scope: trio.CancelScope,
    ) -> None:
        try:
            while await stream.receive_some(READ_BYTES):
                pass
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        request.closed_at = trio.current_time()
        scope.cancel()

"""HTTP/1.1 server for callers: one task per connection, one answer per request.

A request is read completely before it is handled. While it is handled the
connection is monitored, so that the work is cancelled at once if the caller
disconnects. A request that cannot be parsed unambiguously is refused and its
connection closed.
"""

import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import h11
import trio

from savorydyke import _logs
from savorydyke._answer_budget import TURN_PARTS
from savorydyke._http1 import Headers
from savorydyke._sockets import receive
from savorydyke.serving import (
    CallerDisconnectedError,
    CallerWriter,
    HeldBytes,
    Holder,
    Kind,
)

READ_BYTES = 65536
PIPELINED_BYTES = 65536
"""Bytes of pipelined requests that are read while one is handled."""
BACKLOG = 1024
CLOSE_LINGER_S = 0.3
"""Time for the caller to receive the last answer before the connection closes."""
STALLED_CALLER_MS = 10_000
"""Time after which the connection of a caller that does not read is dropped."""

log = _logs.component_logger("ingress")


@dataclass
class IngressLimits:
    """Limits on the size and the duration of requests.

    Attributes
    ----------
    max_head_bytes, max_body_bytes : int
        Largest head and body of a request.
    head_timeout_s : float
        Time from a request's first byte to the end of its body.
    idle_timeout_s : float
        Time for which a connection may stay open between requests.
    """

    max_head_bytes: int = 16384
    max_body_bytes: int = 4_194_304
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass
class IncomingRequest:
    """A request as its caller sent it.

    Attributes
    ----------
    target : bytes
        Path and query, unchanged.
    headers : list of tuple of bytes
        In the order and case in which the caller sent them.
    arrived : float
        When the whole head had been received, on the monotonic clock.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    arrived: float

    def get_all(self, name: bytes) -> list[bytes]:
        """Return the values of a header, by its name in lower case."""
        return [value for key, value in self.headers if key.lower() == name]


@dataclass(frozen=True)
class Rejected:
    """A request that could not be read.

    Attributes
    ----------
    status : int
        The status to answer with.
    """

    status: int
    detail: str


@dataclass(eq=False)
class Responder:
    """Writes the answer to one request.

    Attributes
    ----------
    started : bool
        Whether the head has been sent.
    finished : bool
        Whether the answer is complete; the caller may still have to read it.
    omit_body : bool
        Whether the request was a HEAD, whose answer has no body.
    on_give_way : callable or None
        Ends the request with a refusal, as long as nothing has been sent.
    unsent : tuple of h11.Event
        The head, if it waits for the first part of the body.
    """

    connection: "Connection"
    started: bool = False
    finished: bool = False
    omit_body: bool = False
    on_give_way: Callable[[], None] | None = None
    unsent: tuple[h11.Event, ...] = ()

    def hold_answer(self, size: int) -> None:
        """Record the size of the part of an answer that is buffered."""
        self.connection.hold(Kind.ANSWER, size)

    async def start(self, status: int, headers: Headers) -> None:
        """Send status and headers."""
        self.begin(status, headers)
        head, self.unsent = self.unsent, ()
        await self.connection.write(*head)

    def begin(self, status: int, headers: Headers) -> None:
        """Send status and headers with what follows, in one write."""
        self.started = True
        if self.connection.closing():
            headers = [*headers, (b"Connection", b"close")]
        head = h11.Response(status_code=status, headers=headers, reason=b"")
        self.unsent = (head,)

    async def body(self, data: bytes) -> None:
        """Send a part of the body."""
        unsent, self.unsent = self.unsent, ()
        if not self.omit_body:
            unsent = (*unsent, h11.Data(data=data))
        if unsent:
            await self.connection.write(*unsent)

    async def end(self) -> None:
        """Complete the answer."""
        unsent, self.unsent = self.unsent, ()
        await self.connection.write(*unsent, h11.EndOfMessage(), is_end=True)
        self.finished = True

    async def drain(self) -> None:
        """Wait until what was sent has been written to the caller's connection.

        Raises
        ------
        CallerDisconnectedError
            If the caller has disconnected, or reads too slowly.
        """
        await self.connection.writer.drain()

    async def send_answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer in one write."""
        self.started = True
        if self.connection.closing():
            headers = [*headers, (b"Connection", b"close")]
        headers = [*headers, (b"Content-Length", str(len(body)).encode())]
        response = h11.Response(status_code=status, headers=headers, reason=b"")
        data = [] if self.omit_body else [h11.Data(data=body)]
        await self.connection.write(response, *data, h11.EndOfMessage())
        self.finished = True


Handler = Callable[[IncomingRequest, Responder], Awaitable[None]]


@dataclass(eq=False)
class Connection:
    """One caller's connection.

    Attributes
    ----------
    busy : bool
        Whether a request is being read or handled.
    """

    stream: trio.SocketStream
    ingress: "Ingress"
    http: h11.Connection
    busy: bool = False
    disconnected: bool = False
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    reading: trio.CancelScope | None = None
    responder: Responder | None = None
    writer: CallerWriter = field(init=False)
    holder: Holder = field(init=False)

    def __post_init__(self) -> None:
        bounds = self.ingress.held.bounds
        self.writer = CallerWriter(self.stream, limit_bytes=bounds.connection)
        self.writer.on_size = self._hold_waiting
        self.holder = Holder(self.writer.unread_since, self._give_way)

    def hold(self, kind: Kind, size: int) -> None:
        """Record how many bytes of a kind are held for this connection."""
        self.ingress.held.set_size(self.holder, kind, size, trio.current_time())

    def _hold_waiting(self, size: int) -> None:
        """Record what waits for the caller; its socket's buffer is full meanwhile."""
        self.hold(Kind.SOCKET, self.ingress.held.socket_bytes() if size else 0)
        self.hold(Kind.WRITER, size)

    def _give_way(self) -> None:
        """End the request; its caller is told so if nothing has been sent."""
        responder = self.responder
        if self.reading is not None:
            self.reading.cancel()
        elif responder and not responder.started and responder.on_give_way:
            responder.on_give_way()
        else:
            self.scope.cancel()

    def closing(self) -> bool:
        """Return whether the connection closes after the current answer."""
        return self.ingress.closing

    async def write(self, *events: h11.Event, is_end: bool = False) -> None:
        """Send events; `CallerWriter.write` describes when this waits.

        Raises
        ------
        CallerDisconnectedError
            If the caller has disconnected.
        """
        data = b"".join(self.http.send(event) or b"" for event in events)
        await self.writer.write(data, is_end)

    async def receive(self) -> bool:
        """Read more bytes; return False at the end of the connection."""
        try:
            data = await receive(self.stream, READ_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            data = b""
        self.http.receive_data(data)
        return bool(data)


@dataclass(eq=False)
class Ingress:
    """Serves all connections of callers.

    Attributes
    ----------
    closing : bool
        Whether each connection closes after its next answer.
    held : HeldBytes
        Counts what is held for callers.
    active : int
        Requests being handled or refused, without those still being read.
    """

    handler: Handler
    refuse: Callable[[Responder, Rejected], Awaitable[None]]
    limits: Callable[[], IngressLimits]
    closing: bool = False
    held: HeldBytes = field(default_factory=HeldBytes)
    active: int = 0
    connections: dict[Connection, trio.CancelScope] = field(default_factory=dict)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection until it ends."""
        try:
            await self._serve(stream)
        except Exception:
            # An error on one connection must not affect the others.
            log.exception("Connection failed.")
            stream.socket.close()

    async def _serve(self, stream: trio.SocketStream) -> None:
        http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self.limits().max_head_bytes
        )
        connection = Connection(stream, self, http)
        with connection.scope as scope:
            self.connections[connection] = scope
            try:
                await self._serve_requests(connection)
            finally:
                del self.connections[connection]
                self.held.forget(connection.holder)
        stream.socket.close()

    def close_idle(self) -> None:
        """Close connections without a request in progress."""
        for connection, scope in self.connections.items():
            if not connection.busy:
                scope.cancel()

    async def _serve_requests(self, connection: Connection) -> None:
        while True:
            incoming = await self._read(connection)
            if incoming is None:
                return
            responder = connection.responder = Responder(connection)
            self.active += 1
            try:
                if isinstance(incoming, Rejected):
                    await self._reject(connection, responder, incoming)
                    return
                responder.omit_body = incoming.method == b"HEAD"
                await self._handle(connection, incoming, responder)
            except CallerDisconnectedError:
                return
            finally:
                self.active -= 1
                connection.busy = False
                self.held.reset(connection.holder)
            if connection.disconnected or not responder.finished:
                # Closing the connection before the end of the answer tells the
                # caller that the answer is incomplete.
                return
            http = connection.http
            if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
                await self._linger(connection)
                return
            if self.closing:
                await self._linger(connection)
                return
            http.start_next_cycle()

    async def _linger(self, connection: Connection) -> None:
        """Let the caller close first, so that no data in transit is lost."""
        try:
            await connection.stream.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            return
        with trio.move_on_after(CLOSE_LINGER_S):
            while True:
                try:
                    if not await connection.stream.receive_some(READ_BYTES):
                        return
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    return

    async def _reject(
        self, connection: Connection, responder: Responder, rejected: Rejected
    ) -> None:
        if connection.http.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        await self.refuse(responder, rejected)
        await self._linger(connection)

    # Reading

    async def _read(self, connection: Connection) -> IncomingRequest | Rejected | None:
        """Return the next request, or None at the end of the connection."""
        limits = self.limits()
        try:
            with trio.move_on_after(limits.idle_timeout_s) as scope:
                while not connection.http.trailing_data[0]:
                    if not await connection.receive():
                        return None
                connection.busy = True
                connection.reading = scope
                scope.deadline = trio.current_time() + limits.head_timeout_s
                return await self._read_request(connection, limits)
            if not connection.busy:
                return None
            if connection.holder.gave_way:
                return Rejected(503, "this instance holds too much for its callers")
            return Rejected(408, "the request did not arrive in time")
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint
            return Rejected(status if status == 431 else 400, str(error))
        finally:
            connection.reading = None

    async def _read_request(
        self, connection: Connection, limits: IngressLimits
    ) -> IncomingRequest | Rejected | None:
        http = connection.http
        request = await self._next(connection)
        if not isinstance(request, h11.Request):
            return None
        arrived = trio.current_time()
        if _head_bytes(request) > limits.max_head_bytes:
            return Rejected(431, "the head is too large")
        ambiguity = _ambiguity(request)
        if ambiguity:
            return Rejected(400, ambiguity)
        body = bytearray()
        parts = 0
        if http.they_are_waiting_for_100_continue:
            await connection.write(
                h11.InformationalResponse(status_code=100, headers=[])
            )
        while True:
            event = await self._next(connection)
            if isinstance(event, h11.Data):
                body += event.data
                if len(body) > limits.max_body_bytes:
                    return Rejected(413, "the body is too large")
                connection.hold(Kind.REQUEST, len(body))
                parts += 1
                if parts % TURN_PARTS == 0:
                    await trio.lowlevel.checkpoint()
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                return None
        return IncomingRequest(
            bytes(request.method),
            bytes(request.target),
            list(request.headers.raw_items()),
            bytes(body),
            arrived,
        )

    async def _next(self, connection: Connection) -> h11.Event | None:
        while True:
            event = connection.http.next_event()
            if event is h11.NEED_DATA:
                if not await connection.receive():
                    return None
                continue
            return event if isinstance(event, h11.Event) else None

    # Handling

    async def _handle(
        self, connection: Connection, incoming: IncomingRequest, responder: Responder
    ) -> None:
        """Run the handler; cancel it if the caller disconnects."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch, connection, nursery.cancel_scope)
            connection.writer.nursery = nursery
            try:
                await self.handler(incoming, responder)
                await responder.drain()
            except CallerDisconnectedError:
                connection.disconnected = True
            connection.writer.nursery = None
            nursery.cancel_scope.cancel()

    async def _watch(self, connection: Connection, scope: trio.CancelScope) -> None:
        """Detect the end of the connection while a request is handled."""
        while len(connection.http.trailing_data[0]) < PIPELINED_BYTES:
            if not await connection.receive():
                connection.disconnected = True
                scope.cancel()
                return


def _head_bytes(request: h11.Request) -> int:
    headers = sum(len(name) + len(value) + 4 for name, value in request.headers)
    return len(request.method) + len(request.target) + 12 + headers


def _ambiguity(request: h11.Request) -> str:
    """Return why a request's framing or target is ambiguous, or an empty string.

    Two parsers that read such a request differently would allow a second
    request to be smuggled inside it.
    """
    names = [name for name, _ in request.headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        return "both Transfer-Encoding and Content-Length"
    if names.count(b"host") > 1:
        return "more than one Host"
    if not request.target.startswith(b"/"):
        return "the target is not a path"
    return ""


def open_listener(address: str, send_buffer: int = 0) -> trio.SocketListener:
    """Return a listener on `address`, an IP number and a port.

    Parameters
    ----------
    send_buffer : int
        Size of the connections' send buffers to ask for, in bytes; 0 for the
        system's choice.
    """
    host, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, STALLED_CALLER_MS)
    if send_buffer:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, send_buffer)
    listener.bind((host, int(port)))
    listener.listen(BACKLOG)
    return trio.SocketListener(trio.socket.from_stdlib_socket(listener))

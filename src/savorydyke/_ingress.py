"""HTTP/1.1 server for callers: one task per connection, one answer per request.

A request is read completely before it is handled. While it is handled the
connection is monitored, so that the work is cancelled at once if the caller
disconnects. A request that cannot be parsed unambiguously is refused and its
connection closed.
"""

import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import trio

from savorydyke import _logs
from savorydyke._http_parsers import (
    NO_BODY_STATUSES,
    Headers,
    MessageError,
    ParsedRequest,
    RequestParser,
    find_ambiguity,
    head_of,
)
from savorydyke._sockets import receive, receive_at_once, reset_when_closed
from savorydyke.serving import (
    CallerDisconnectedError,
    CallerWriter,
    HeldBytes,
    Holder,
    Kind,
)

READ_BYTES = 65536
CONTINUE = b"HTTP/1.1 100 \r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
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
    unsent : bytes
        The head, if it waits for the first part of the body.
    in_chunks : bool
        Whether the body is sent in chunks.
    ends_by_close : bool
        Whether only the end of the connection marks that of the body.
    """

    connection: "Connection"
    started: bool = False
    finished: bool = False
    omit_body: bool = False
    on_give_way: Callable[[], None] | None = None
    unsent: bytes = b""
    in_chunks: bool = False
    ends_by_close: bool = False

    def hold_answer(self, size: int) -> None:
        """Record the size of the part of an answer that is buffered."""
        self.connection.hold(Kind.ANSWER, size)

    async def start(self, status: int, headers: Headers) -> None:
        """Send status and headers."""
        self.begin(status, headers)
        head, self.unsent = self.unsent, b""
        await self.connection.write(head)

    def begin(self, status: int, headers: Headers) -> None:
        """Send status and headers with what follows, in one write.

        Without a length the body goes in chunks, or ends with the connection if the
        caller knows no chunks.
        """
        self.started = True
        request = self.connection.request
        if status in NO_BODY_STATUSES:
            self.omit_body = True
        elif not any(name.lower() == b"content-length" for name, _ in headers):
            if request.accepts_chunks:
                self.in_chunks = True
                headers = [*headers, (b"Transfer-Encoding", b"chunked")]
            else:
                self.ends_by_close = True
                request.keeps_alive = False
        self.unsent = self._head(status, headers)

    def _head(self, status: int, headers: Headers) -> bytes:
        is_stated = any(name.lower() == b"connection" for name, _ in headers)
        if self.connection.closing() and not is_stated:
            headers = [*headers, (b"Connection", b"close")]
        return head_of(b"HTTP/1.1 %d " % status, headers)

    async def body(self, data: bytes) -> None:
        """Send a part of the body."""
        unsent, self.unsent = self.unsent, b""
        if data and not self.omit_body:
            unsent += b"%x\r\n%b\r\n" % (len(data), data) if self.in_chunks else data
        if unsent and not self.connection.writer.write_at_once(unsent):
            await self.connection.write(unsent)

    async def end(self) -> None:
        """Complete the answer."""
        unsent, self.unsent = self.unsent, b""
        if self.in_chunks and not self.omit_body:
            unsent += LAST_CHUNK
        await self.connection.write(unsent, is_end=True)
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
        if status not in NO_BODY_STATUSES:
            headers = [*headers, (b"Content-Length", b"%d" % len(body))]
        head = self._head(status, headers)
        await self.connection.write(head if self.omit_body else head + body)
        self.finished = True


Handler = Callable[[IncomingRequest, Responder], Awaitable[None]]


@dataclass(eq=False)
class Connection:
    """One caller's connection.

    Attributes
    ----------
    unread : bytearray
        What has come while a request was handled.
    request : ParsedRequest
        The request that is being answered.
    busy : bool
        Whether a request is being read or handled.
    """

    stream: trio.SocketStream
    ingress: "Ingress"
    parser: RequestParser = field(default_factory=RequestParser)
    unread: bytearray = field(default_factory=bytearray)
    request: ParsedRequest = field(default_factory=ParsedRequest)
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

    def is_cut(self) -> bool:
        """Return whether a close would make a cut answer look complete."""
        answer = self.responder
        return answer is not None and answer.ends_by_close and not answer.finished

    def closing(self) -> bool:
        """Return whether the connection closes after the current answer."""
        return self.ingress.closing or not self.request.keeps_alive

    async def write(self, data: bytes, is_end: bool = False) -> None:
        """Send bytes; `CallerWriter.write` describes when this waits.

        Raises
        ------
        CallerDisconnectedError
            If the caller has disconnected.
        """
        await self.writer.write(data, is_end)

    async def receive(self) -> bytes:
        """Return more bytes, none at the end of the connection."""
        try:
            return await receive(self.stream, READ_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return b""

    async def parse_more(self, max_head_bytes: int) -> bool:
        """Parse bytes that have come, or come now; return False if none do."""
        data, self.unread = bytes(self.unread), bytearray()
        if not data:
            data = await self.receive()
        if data:
            self.parser.feed(data, max_head_bytes)
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
    on_failure : callable
        Called with the name of this task when a connection has failed.
    """

    handler: Handler
    refuse: Callable[[Responder, Rejected], Awaitable[None]]
    limits: Callable[[], IngressLimits]
    closing: bool = False
    held: HeldBytes = field(default_factory=HeldBytes)
    active: int = 0
    connections: dict[Connection, trio.CancelScope] = field(default_factory=dict)
    on_failure: Callable[[str], None] = field(default=lambda task: None)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection until it ends."""
        try:
            await self._serve(stream)
        except Exception:
            # An error on one connection must not affect the others.
            log.exception("Connection failed.")
            self.on_failure("Ingress.serve")
            stream.socket.close()

    async def _serve(self, stream: trio.SocketStream) -> None:
        connection = Connection(stream, self)
        # Most callers send with the connection, which saves a turn of the event loop.
        connection.unread += receive_at_once(stream, READ_BYTES)
        with connection.scope as scope:
            self.connections[connection] = scope
            try:
                await self._serve_requests(connection)
            finally:
                del self.connections[connection]
                self.held.forget(connection.holder)
        if connection.is_cut():
            reset_when_closed(stream)
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
            if connection.closing():
                await self._linger(connection)
                return

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
        connection.request.keeps_alive = False
        await self.refuse(responder, rejected)
        await self._linger(connection)

    # Reading

    async def _read(self, connection: Connection) -> IncomingRequest | Rejected | None:
        """Return the next request, or None at the end of the connection."""
        limits = self.limits()
        parser = connection.parser
        try:
            with trio.move_on_after(limits.idle_timeout_s) as scope:
                connection.reading = scope
                while not parser.complete and parser.failure is None:
                    if parser.has_begun and not connection.busy:
                        connection.busy = True
                        scope.deadline = trio.current_time() + limits.head_timeout_s
                    if not await connection.parse_more(limits.max_head_bytes):
                        return None
                    rejected = await self._check_progress(connection, limits)
                    if rejected is not None:
                        return rejected
                connection.busy = True
                return _take_request(connection, limits)
            if not connection.busy:
                return None
            if connection.holder.gave_way:
                return Rejected(503, "this instance holds too much for its callers")
            return Rejected(408, "the request did not arrive in time")
        finally:
            connection.reading = None

    async def _check_progress(
        self, connection: Connection, limits: IngressLimits
    ) -> Rejected | None:
        """Return why a request whose body is being read is rejected, None if not."""
        request = connection.parser.current
        if connection.parser.complete or not request.has_head:
            return None
        if not request.arrived:
            request.arrived = trio.current_time()
            connection.request = request
            rejected = _check_head(request, limits)
            if rejected is not None:
                return rejected
            if request.accepts_chunks and _expects_continue(request):
                await connection.write(CONTINUE)
        if len(request.body) > limits.max_body_bytes:
            return Rejected(413, "the body is too large")
        connection.hold(Kind.REQUEST, len(request.body))
        return None

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
        while len(connection.unread) < PIPELINED_BYTES:
            data = await connection.receive()
            if not data:
                connection.disconnected = True
                scope.cancel()
                return
            connection.unread += data


def _take_request(
    connection: Connection, limits: IngressLimits
) -> IncomingRequest | Rejected:
    """Return the next request that has been read, or why there is none."""
    parser = connection.parser
    if not parser.complete:
        failure = parser.failure or MessageError("no request")
        return Rejected(failure.status, str(failure))
    request = connection.request = parser.complete.popleft()
    rejected = _check_head(request, limits)
    if rejected is not None:
        return rejected
    if len(request.body) > limits.max_body_bytes:
        return Rejected(413, "the body is too large")
    connection.hold(Kind.REQUEST, len(request.body))
    return IncomingRequest(
        request.method,
        request.target,
        request.headers,
        bytes(request.body),
        request.arrived or trio.current_time(),
    )


def _check_head(request: ParsedRequest, limits: IngressLimits) -> Rejected | None:
    """Return why a request is rejected for its head, None if it is not."""
    if request.head_bytes() > limits.max_head_bytes:
        return Rejected(431, "the head is too large")
    ambiguity = find_ambiguity(request)
    return Rejected(400, ambiguity) if ambiguity else None


def _expects_continue(request: ParsedRequest) -> bool:
    values = request.get_all(b"expect")
    return bool(values) and values[0].lower() == b"100-continue"


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

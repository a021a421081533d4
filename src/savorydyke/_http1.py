"""HTTP/1.1 client over trio streams that reports what may have been sent.

Endpoints and the platform's store are both called through it. A channel serves
one request only. Whether a failure came before or after the first byte was
sent decides what may be done next, so connections are managed here and not in a
library's pool.
"""

import errno
import math
import select
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

import trio

from savorydyke._answer_budget import AnswerBudget, WastefulAnswerError
from savorydyke._background import BackgroundTasks
from savorydyke._http_parsers import (
    AnswerHead,
    AnswerParser,
    Framing,
    Headers,
    head_of,
)
from savorydyke._read_deadlines import ReadDeadlines
from savorydyke._sockets import receive, send

__all__ = ["AnswerHead", "Framing", "Headers"]

READ_BYTES = 16384
"""What is read at a time, so that other tasks run in between."""
INLINE_BODY_BYTES = 8192
"""Largest body sent before the answer is read; fits an empty socket buffer."""
KEEPALIVE_S = 1
"""Time without data after which, and interval at which, keep-alive probes are sent. The
kernel of a machine whose process is silent answers them."""
LINK_SILENT_MS = 5000
"""Time without an acknowledgement after which a connection is broken. It also decides
how many keep-alive probes are sent, whatever their count is set to."""
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Headers that concern one connection only (RFC 9110, section 7.6.1)."""


class ChannelBrokenError(Exception):
    """Raised when a channel ends early or receives something other than an answer."""


class ChannelRefusedError(ChannelBrokenError):
    """Raised when nothing listens at an address."""


class ChannelStaleError(ChannelBrokenError):
    """Raised when bytes have come before a request was sent, or the end.

    They are no answer to it. Nothing of the request has been sent.
    """


class ChannelTimeoutError(ChannelBrokenError):
    """Raised when too little was received in time.

    The connection may still be intact; reading may continue.
    """


@dataclass(frozen=True)
class OutgoingRequest:
    """A request to send.

    Attributes
    ----------
    target : bytes
        Path and query, sent unchanged.
    headers : list of tuple of bytes
        Without framing headers.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""


@dataclass(eq=False)
class Channel:
    """A connection to an endpoint or to the store.

    Attributes
    ----------
    read_until : float
        Time at which reading raises `ChannelTimeoutError`, on the monotonic clock.
        Bytes that arrive do not extend it; the caller does when it sees progress.
    on_receive : callable
        Called when bytes have come.
    budget : AnswerBudget
        What the answer has cost and brought.
    parser : AnswerParser
        Parses the answer.
    deadlines : ReadDeadlines or None
        Ends reads at `read_until`. Without it each read has a cancel scope.
    watched_until : float
        When `deadlines` looks at this channel.
    is_reading, is_late : bool
        Whether bytes are awaited, and whether they have not come in time.
    is_sending : bool
        Whether a part of the request has not been sent yet.
    failure : str
        How the connection has failed, in sending or in reading, empty if it has not.
        The kernel reports a failure once; reading then ends as after a sound close.
    """

    stream: trio.SocketStream
    read_until: float = math.inf
    on_receive: Callable[[], None] = field(default=lambda: None)
    budget: AnswerBudget = field(default_factory=AnswerBudget)
    parser: AnswerParser = field(default_factory=lambda: AnswerParser(b"GET"))
    deadlines: ReadDeadlines | None = None
    watched_until: float = math.inf
    is_reading: bool = False
    is_late: bool = False
    is_sending: bool = False
    failure: str = ""

    async def send(
        self, request: OutgoingRequest, background: BackgroundTasks | None
    ) -> None:
        """Send a request; a long body is sent by a task in `background`.

        Raises
        ------
        ChannelBrokenError
            If the connection is lost; a part of the request may have arrived, unless
            it is a `ChannelStaleError`.
        """
        if self._has_unread():
            raise ChannelStaleError("bytes came before the request was sent")
        self.parser = AnswerParser(request.method)
        head, body = _head(request), request.body
        if background is None or len(body) <= INLINE_BODY_BYTES:
            await self._write(head + body)
            return
        await self._write(head)
        self.is_sending = True
        background.start_soon(self._send_body, body)

    def _has_unread(self) -> bool:
        """Return whether bytes, or the end of the connection, have come already."""
        poll = select.poll()
        poll.register(self.stream.socket.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    async def _write(self, data: bytes) -> None:
        try:
            await self._send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ChannelBrokenError(f"send failed: {error!r}") from None

    async def _send_body(self, body: bytes) -> None:
        try:
            await self._send_all(body)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The endpoint may have answered without reading the body. Reading finds
            # out whether that answer is whole.
            return
        except Exception as error:
            # The rest is not sent, so that no answer to the request may be awaited.
            self.failure = repr(error)
            self.close()
            raise

    async def _send_all(self, data: bytes) -> None:
        self.is_sending = True
        try:
            await send(self.stream, data)
            self.is_sending = False
        except trio.BrokenResourceError as error:
            if not is_after_end(error):
                self.failure = str(error)
            raise

    async def read_head(self) -> AnswerHead:
        """Return status and headers of the answer.

        Raises
        ------
        ChannelBrokenError
            If there is none.
        """
        parser = self.parser
        while parser.head is None:
            if parser.failure is not None:
                raise ChannelBrokenError(f"not an answer: {parser.failure}")
            await self._receive(parser)
        return parser.head

    async def read_body(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body as they arrive.

        Raises
        ------
        ChannelBrokenError
            If the body ends before it is complete, or costs too much to read.
        """
        while (part := await self.next_part()) is not None:
            yield part

    async def next_part(self) -> bytes | None:
        """Return the next part of the body, None at its end.

        Raises
        ------
        ChannelBrokenError
            As `read_body` does.
        """
        parser = self.parser
        while True:
            if parser.parts:
                parts, parser.parts = parser.parts, []
                body = parts[0] if len(parts) == 1 else b"".join(parts)
                self._count(len(parts), body)
                return body
            if parser.is_complete:
                return None
            if parser.failure is not None:
                raise ChannelBrokenError(f"not an answer: {parser.failure}")
            await self._receive(parser)

    def _count(self, parts: int, body: bytes) -> None:
        """Count what the answer costs, also if nothing of the body has come.

        Raises
        ------
        ChannelBrokenError
            If that is too much for what it has brought.
        """
        try:
            self.budget.count(body, parts)
        except WastefulAnswerError as error:
            raise ChannelBrokenError(f"wasteful answer: {error}") from None

    def has_read_timeout(self) -> bool:
        """Return whether reading is subject to a time-out."""
        return self.read_until != math.inf

    async def _receive(self, parser: AnswerParser) -> None:
        """Wait for bytes, or the end of the connection, and parse them.

        Raises
        ------
        ChannelBrokenError
            If the connection is lost, or nothing comes in time.
        """
        try:
            data = await self._receive_in_time()
        except trio.BrokenResourceError as error:
            # Also if it is late: this is reported to nobody again.
            self.failure = str(error)
            raise ChannelBrokenError(f"connection lost: {error!r}") from None
        except trio.ClosedResourceError as error:
            if self.is_late:
                raise ChannelTimeoutError("no progress in time") from None
            raise ChannelBrokenError(f"connection lost: {error!r}") from None
        self.on_receive()
        if not data:
            if self.failure:
                raise ChannelBrokenError(f"connection lost: {self.failure}")
            parser.feed_end()
            return
        parser.feed(data)
        if parser.head is not None:
            self.budget.received_bytes += len(data)
            if not parser.parts:
                self._count(0, b"")

    async def _receive_in_time(self) -> bytes:
        """Return bytes, none at the end of the connection."""
        self.is_late = False
        if not self.has_read_timeout():
            return await receive(self.stream, READ_BYTES)
        if self.deadlines is None or not self.deadlines.is_running:
            with trio.move_on_at(self.read_until):
                return await receive(self.stream, READ_BYTES)
            raise ChannelTimeoutError("no progress in time")
        self.is_reading = True
        self.deadlines.watch(self)
        try:
            return await receive(self.stream, READ_BYTES)
        finally:
            self.is_reading = False

    def end_read(self) -> None:
        """End the read in progress, if there is one; the connection stays open."""
        if self.is_reading:
            self.is_late = True
            trio.lowlevel.notify_closing(self.stream.socket)

    def close(self) -> None:
        """Close the connection at once."""
        self.read_until = math.inf
        self.stream.socket.close()


def is_after_end(error: BaseException) -> bool:
    """Return whether sending failed since the other side had closed the connection.

    Its stream has ended soundly then (EPIPE); if it resets the connection without an
    end, that is another error (Linux, `tcp_reset`).

    Parameters
    ----------
    error : BaseException
        Caused by the error of the socket, directly or through other exceptions.
    """
    cause: BaseException | None = error
    while cause is not None and not isinstance(cause, OSError):
        cause = cause.__cause__
    return cause is not None and cause.errno == errno.EPIPE


async def open_channel(address: str, timeout_s: float) -> Channel:
    """Return a new channel to `address`, an IP number and a port.

    Raises
    ------
    ChannelBrokenError
        If it could not be opened in time; nothing has been sent. It is a
        `ChannelRefusedError` if nothing listens there.
    """
    host, _, port = address.rpartition(":")
    try:
        with trio.fail_after(timeout_s):
            sock = trio.socket.socket()
            _detect_silent_link(sock)
            try:
                await sock.connect((host, int(port)))
            except BaseException:
                sock.close()
                raise
    except ConnectionRefusedError as error:
        raise ChannelRefusedError(f"connect failed: {error!r}") from None
    except (OSError, ValueError, trio.TooSlowError) as error:
        raise ChannelBrokenError(f"connect failed: {error!r}") from None
    return Channel(trio.SocketStream(sock))


def _detect_silent_link(sock: trio.socket.SocketType) -> None:
    """Let a connection break whose other end can not be reached any more."""
    tcp = trio.socket.IPPROTO_TCP
    sock.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, trio.socket.TCP_KEEPIDLE, KEEPALIVE_S)
    sock.setsockopt(tcp, trio.socket.TCP_KEEPINTVL, KEEPALIVE_S)
    sock.setsockopt(tcp, trio.socket.TCP_USER_TIMEOUT, LINK_SILENT_MS)


def without_hop_headers(headers: Headers) -> Headers:
    """Return the headers that are not hop-by-hop."""
    return [(n, v) for n, v in headers if n.lower() not in HOP_BY_HOP]


def _head(request: OutgoingRequest) -> bytes:
    """Return the head of a request, with the length of its body.

    Raises
    ------
    ValueError
        If a header contains the end of a line.
    """
    headers = [(n, v) for n, v in request.headers if n.lower() != b"content-length"]
    if request.body or request.method in {b"POST", b"PUT", b"PATCH"}:
        headers.append((b"Content-Length", b"%d" % len(request.body)))
    return head_of(b"%s %s HTTP/1.1" % (request.method, request.target), headers)

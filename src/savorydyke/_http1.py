"""HTTP/1.1 client over trio streams that reports what may have been sent.

Endpoints and the platform's store are both called through it. A channel serves
one request only. Whether a failure came before or after the first byte was
sent decides what may be done next, so connections are managed here and not in a
library's pool.
"""

import math
import re
import select
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from enum import Enum

import h11
import trio

from savorydyke._answer_budget import AnswerBudget, WastefulAnswerError
from savorydyke._sockets import receive, send

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
MAX_HEAD_BYTES = 65536
"""Largest head of an answer that is accepted."""
BARE_LINE_FEED = re.compile(rb"(?<!\r)\n")
MAX_INTERIM_ANSWERS = 8
"""Interim answers (status 1xx) that may precede an answer."""

Headers = list[tuple[bytes, bytes]]

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


class Framing(Enum):
    """What marks the end of a body."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


@dataclass(frozen=True)
class AnswerHead:
    """Status and headers of an answer.

    Attributes
    ----------
    length : int or None
        Size of the body in bytes, if the answer states it.
    """

    status: int
    headers: Headers
    length: int | None

    def framing(self) -> Framing:
        """Return what marks the end of the body."""
        coding = self.get(b"transfer-encoding") or b""
        if coding.lower().endswith(b"chunked"):
            return Framing.CHUNKED
        return Framing.CLOSE if self.length is None else Framing.LENGTH

    def is_delimited(self) -> bool:
        """Return whether the end of the body is marked, other than by a close."""
        return self.framing() is not Framing.CLOSE

    def get(self, name: bytes) -> bytes | None:
        """Return the value of a header, by its name in lower case."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


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
    head : bytearray
        What was received until the head of the answer was complete.
    budget : AnswerBudget
        What the answer has cost and brought.
    """

    stream: trio.SocketStream
    connection: h11.Connection = field(
        default_factory=lambda: h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
    )
    read_until: float = math.inf
    on_receive: Callable[[], None] = field(default=lambda: None)
    head: bytearray = field(default_factory=bytearray)
    budget: AnswerBudget = field(default_factory=AnswerBudget)

    async def send(
        self, request: OutgoingRequest, nursery: trio.Nursery | None
    ) -> None:
        """Send a request; a long body is sent by a task in `nursery`.

        Raises
        ------
        ChannelBrokenError
            If the connection is lost; a part of the request may have arrived, unless
            it is a `ChannelStaleError`.
        """
        if self._has_unread():
            raise ChannelStaleError("bytes came before the request was sent")
        headers = [(n, v) for n, v in request.headers if n.lower() != b"content-length"]
        if request.body or request.method in {b"POST", b"PUT", b"PATCH"}:
            headers.append((b"Content-Length", str(len(request.body)).encode()))
        head = self.connection.send(
            h11.Request(method=request.method, target=request.target, headers=headers)
        )
        body = b""
        if request.body:
            body = self.connection.send(h11.Data(data=request.body)) or b""
        body += self.connection.send(h11.EndOfMessage()) or b""
        assert head is not None
        if nursery is None or len(body) <= INLINE_BODY_BYTES:
            await self._write(head + body)
            return
        await self._write(head)
        nursery.start_soon(self._send_body, body)

    def _has_unread(self) -> bool:
        """Return whether bytes, or the end of the connection, have come already."""
        poll = select.poll()
        poll.register(self.stream.socket.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    async def _write(self, data: bytes) -> None:
        try:
            await send(self.stream, data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ChannelBrokenError(f"send failed: {error!r}") from None

    async def _send_body(self, body: bytes) -> None:
        try:
            await self.stream.send_all(body)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # Either reading the answer fails too, or the endpoint has answered
            # without reading the body.
            return

    async def read_head(self) -> AnswerHead:
        """Return status and headers of the answer.

        Raises
        ------
        ChannelBrokenError
            If there is none.
        """
        for _ in range(MAX_INTERIM_ANSWERS + 1):
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if isinstance(event, h11.Response):
                self._check_head()
                headers = list(event.headers.raw_items())
                return AnswerHead(event.status_code, headers, _length(event.headers))
            raise ChannelBrokenError(f"no answer but {type(event).__name__}")
        raise ChannelBrokenError(f"more than {MAX_INTERIM_ANSWERS} interim answers")

    def _check_head(self) -> None:
        """Check that no part of a body was read as one of the head.

        After a head that was cut, events and other lines of a body look like headers.
        Those end with a bare line feed, which h11 accepts.

        Raises
        ------
        ChannelBrokenError
            If a line of the head ends so.
        """
        head = self.head[: len(self.head) - len(self.connection.trailing_data[0])]
        if BARE_LINE_FEED.search(head):
            raise ChannelBrokenError("not an answer: a line feed within the head")
        self.head.clear()

    async def read_body(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body as they arrive.

        Raises
        ------
        ChannelBrokenError
            If the body ends before it is complete, or costs too much to read.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                part = bytes(event.data)
                try:
                    self.budget.count(part)
                except WastefulAnswerError as error:
                    raise ChannelBrokenError(f"wasteful answer: {error}") from None
                yield part
                if self.budget.is_turn_over():
                    await trio.lowlevel.checkpoint()
            elif isinstance(event, h11.EndOfMessage):
                return
            else:
                raise ChannelBrokenError(f"no body but {type(event).__name__}")

    async def _next_event(self) -> h11.Event:
        try:
            while True:
                event = self.connection.next_event()
                if event is h11.NEED_DATA:
                    data = await self._receive()
                    if self.connection.their_state is h11.SEND_RESPONSE:
                        self.head += data
                    self.connection.receive_data(data)
                    continue
                if isinstance(event, h11.Event):
                    return event
                raise ChannelBrokenError("the connection has ended")
        except h11.RemoteProtocolError as error:
            raise ChannelBrokenError(f"not an answer: {error}") from None
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ChannelBrokenError(f"connection lost: {error!r}") from None

    def has_read_timeout(self) -> bool:
        """Return whether reading is subject to a time-out."""
        return self.read_until != math.inf

    async def _receive(self) -> bytes:
        data = None
        if self.has_read_timeout():
            with trio.move_on_at(self.read_until):
                data = await receive(self.stream, READ_BYTES)
        else:
            data = await receive(self.stream, READ_BYTES)
        if data is None:
            raise ChannelTimeoutError("no progress in time")
        self.on_receive()
        self.budget.received_bytes += len(data)
        return data

    def close(self) -> None:
        """Close the connection at once."""
        self.stream.socket.close()


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


def _length(headers: h11._headers.Headers) -> int | None:
    for name, value in headers:
        if name == b"content-length":
            return int(value)
    return None

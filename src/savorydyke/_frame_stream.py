"""WebSocket connections over trio streams, one step of the event loop a frame.

Frames are read and made by the protocol objects of websockets. Its own connection for
trio passes each frame from one task to another and through several locks, which took
most of the processor time of a fleet at rest.
"""

import ssl
from collections import deque
from collections.abc import Mapping

import trio
from websockets.client import ClientProtocol
from websockets.datastructures import Headers
from websockets.exceptions import InvalidHandshake
from websockets.frames import Frame, Opcode
from websockets.http11 import Request, Response
from websockets.protocol import State
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from savorydyke._exceptions import ProtocolError
from savorydyke._sockets import receive, send

READ_BYTES = 65536
CLOSE_TIMEOUT_S = 0.2
NORMAL_CODES = frozenset({1000, 1001})
"""Codes of RFC 6455, section 7.4.1, of a connection that is not needed any more."""


class FrameStream:
    """One connection.

    Parameters
    ----------
    stream : trio.SocketStream or trio.SSLStream
        The connection, which this object closes.

    Attributes
    ----------
    peer_headers : Headers
        Headers of the other side's handshake.
    received : deque of bytes
        Frames that have been received and not yet returned.
    """

    def __init__(
        self, stream: trio.abc.Stream, protocol: ClientProtocol | ServerProtocol
    ) -> None:
        self.stream = stream
        self.protocol = protocol
        self.peer_headers = Headers()
        self.received: deque[bytes] = deque()

    def queue(self, frame: bytes) -> None:
        """Add a frame to what `flush` sends; it is dropped once closing has begun."""
        if self.protocol.state is State.OPEN:
            self.protocol.send_binary(frame)

    async def flush(self) -> None:
        """Send what is queued, and replies of the protocol. Only one task may do so.

        Raises
        ------
        trio.BrokenResourceError
            If the connection is lost.
        """
        # An empty part asks for the end of the connection, which closing does.
        data = b"".join(self.protocol.data_to_send())
        if not data:
            return
        if isinstance(self.stream, trio.SocketStream):
            await send(self.stream, data)
        else:
            await self.stream.send_all(data)

    async def receive(self) -> bytes | None:
        """Return the next frame, None at the end of the connection.

        Raises
        ------
        ProtocolError
            If a frame is not binary, or not whole.
        """
        while not self.received:
            if self._is_ending():
                return None
            for event in await self._receive_events():
                self._take(event)
        return self.received.popleft()

    def is_closed_normally(self) -> bool:
        """Return whether the other side has closed since it needs no connection."""
        stated = self.protocol.close_rcvd
        return stated is not None and stated.code in NORMAL_CODES

    def _is_closed(self) -> bool:
        return self.protocol.state is State.CLOSED

    def _is_ending(self) -> bool:
        is_open = self.protocol.state is State.OPEN
        return not is_open or self.protocol.close_rcvd is not None

    async def _receive_events(self) -> list[Request | Response | Frame]:
        try:
            if isinstance(self.stream, trio.SocketStream):
                data = await receive(self.stream, READ_BYTES)
            else:
                data = bytes(await self.stream.receive_some(READ_BYTES))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            data = b""
        if data:
            self.protocol.receive_data(data)
        else:
            self.protocol.receive_eof()
        return self.protocol.events_received()

    def _take(self, event: Request | Response | Frame) -> None:
        """Keep a frame with data; the protocol has seen to the others."""
        if not isinstance(event, Frame):
            return
        if event.opcode is Opcode.BINARY and event.fin:
            self.received.append(bytes(event.data))
        elif event.opcode in {Opcode.BINARY, Opcode.TEXT, Opcode.CONT}:
            raise ProtocolError("expected a binary frame")

    async def shake_hands(self) -> Request | Response:
        """Return the first thing that the other side sends.

        Raises
        ------
        InvalidHandshake
            If it is no handshake, or none comes.
        """
        while True:
            events = await self._receive_events()
            if events and isinstance(events[0], Request | Response):
                self.peer_headers = events[0].headers
                for event in events[1:]:
                    self._take(event)
                return events[0]
            failure = self.protocol.handshake_exc or self.protocol.parser_exc
            if failure is not None or self._is_closed():
                raise InvalidHandshake("no handshake") from failure

    async def close(self) -> None:
        """Close the connection, after the closing handshake if that is quick."""
        try:
            with trio.move_on_after(CLOSE_TIMEOUT_S):
                if self.protocol.state is State.OPEN:
                    self.protocol.send_close(1000)
                await self.flush()
                while self.protocol.close_rcvd is None and not self._is_closed():
                    await self._receive_events()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # It is closed already.
            pass
        finally:
            await trio.aclose_forcefully(self.stream)


async def connect_frames(
    address: str, tls: ssl.SSLContext | None, max_bytes: int, headers: Mapping[str, str]
) -> FrameStream:
    """Open a connection to `address`, a host and a port.

    Parameters
    ----------
    max_bytes : int
        Size of the largest frame to accept, in bytes.
    headers : mapping
        Headers to add to the handshake.

    Raises
    ------
    OSError
        If it can not be opened, or is lost.
    InvalidHandshake
        If the other side does not accept it.
    """
    scheme = "wss" if tls else "ws"
    uri = parse_uri(f"{scheme}://{address}")
    stream: trio.abc.Stream = await trio.open_tcp_stream(uri.host, uri.port)
    if tls is not None:
        stream = trio.SSLStream(
            stream, tls, server_hostname=uri.host, https_compatible=True
        )
    protocol = ClientProtocol(uri, max_size=max_bytes)
    frames = FrameStream(stream, protocol)
    try:
        request = protocol.connect()
        request.headers.update(headers)
        protocol.send_request(request)
        await frames.flush()
        await frames.shake_hands()
        if protocol.handshake_exc is not None:
            raise protocol.handshake_exc
    except BaseException as error:
        await trio.aclose_forcefully(stream)
        if isinstance(error, trio.BrokenResourceError):
            raise ConnectionError(f"connection lost: {error!r}") from None
        raise
    return frames


async def accept_frames(
    stream: trio.abc.Stream, max_bytes: int, headers: Mapping[str, str]
) -> FrameStream:
    """Accept a connection; the parameters are those of `connect_frames`.

    Raises
    ------
    OSError
        If the connection is lost.
    InvalidHandshake
        If the other side does not open it properly.
    """
    protocol = ServerProtocol(max_size=max_bytes)
    frames = FrameStream(stream, protocol)
    try:
        request = await frames.shake_hands()
        if not isinstance(request, Request):
            raise InvalidHandshake("no request")
        response = protocol.accept(request)
        response.headers.update(headers)
        protocol.send_response(response)
        await frames.flush()
        if protocol.handshake_exc is not None:
            raise protocol.handshake_exc
    except BaseException as error:
        await trio.aclose_forcefully(stream)
        if isinstance(error, trio.BrokenResourceError):
            raise ConnectionError(f"connection lost: {error!r}") from None
        raise
    return frames

"""Writes answers to callers, at the callers' pace.

What a caller's socket does not take is buffered, so that an endpoint that has answered
does not wait for a caller that reads slowly. The load that this addresses: 150 callers
that read 250 KB at 1 KB/s kept the slots of eight endpoints occupied, so that other
callers' p95 rose from 71 ms to 2.5 s.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from savorydyke._sockets import send, send_some
from savorydyke.serving._held_bytes import MAX_CONNECTION_BYTES

DELIVERY_S = 30.0
"""Time for a caller to read the rest of a complete answer. It is about twice the
longest deadline that callers state."""


class CallerDisconnectedError(Exception):
    """Raised when a caller's connection cannot be written to."""


@dataclass(eq=False)
class CallerWriter:
    """Writes to the connection of one caller.

    Attributes
    ----------
    nursery : trio.Nursery or None
        Runs the task that writes what the socket has not taken. Without one, writing
        waits until the socket has taken everything.
    limit_bytes : int
        Size of `waiting` from which writing waits.
    on_size : callable
        Called with the size of `waiting` when that has changed.
    waiting : deque of (float, memoryview)
        Data that the socket has not taken, and since when it waits.
    waiting_bytes : int
        Size of `waiting`.
    is_broken : bool
        Whether the connection cannot be written to any more.
    is_flushing : bool
        Whether the task runs.
    progress : trio.Event
        Set, and replaced, when data was taken or the connection is broken.
    """

    stream: trio.SocketStream
    nursery: trio.Nursery | None = None
    limit_bytes: int = MAX_CONNECTION_BYTES
    on_size: Callable[[int], None] = field(default=lambda size: None)
    waiting: deque[tuple[float, memoryview]] = field(default_factory=deque)
    waiting_bytes: int = 0
    is_broken: bool = False
    is_flushing: bool = False
    progress: trio.Event = field(default_factory=trio.Event)

    async def write(self, data: bytes, is_end: bool = False) -> None:
        """Write data; wait only while more than `limit_bytes` are waiting.

        Parameters
        ----------
        is_end : bool
            Whether these are the last bytes of an answer, which never wait.

        Raises
        ------
        CallerDisconnectedError
            If the caller has disconnected.
        """
        if self.nursery is None:
            await self._send_all(data)
            return
        while self.waiting_bytes >= self.limit_bytes and not is_end:
            await self._wait_for_progress()
        self._check()
        if self.waiting:
            self._keep(data)
        elif data:
            self._send_or_keep(data, self.nursery)

    def write_at_once(self, data: bytes) -> bool:
        """Write data if none is waiting; return whether that was so.

        Raises
        ------
        CallerDisconnectedError
            If the caller has disconnected.
        """
        if self.waiting or self.nursery is None:
            return False
        self._check()
        self._send_or_keep(data, self.nursery)
        return True

    def _send_or_keep(self, data: bytes, nursery: trio.Nursery) -> None:
        """Send what the socket takes of data, and let a task send the rest."""
        try:
            sent = send_some(self.stream, data)
        except trio.BrokenResourceError:
            self.is_broken = True
            raise CallerDisconnectedError from None
        if sent == len(data):
            return
        self._keep(memoryview(data)[sent:])
        if not self.is_flushing:
            self.is_flushing = True
            nursery.start_soon(self._flush)

    def _keep(self, data: bytes | memoryview) -> None:
        """Add data to what waits for the socket."""
        self.waiting.append((trio.current_time(), memoryview(data)))
        self.waiting_bytes += len(data)
        self.on_size(self.waiting_bytes)

    def unread_since(self) -> float | None:
        """Return since when the oldest data waits, None if there is none."""
        return self.waiting[0][0] if self.waiting else None

    async def drain(self) -> None:
        """Wait until the socket has taken everything.

        Raises
        ------
        CallerDisconnectedError
            If the caller has disconnected, or does not read it in `DELIVERY_S`.
        """
        if not self.waiting:
            return
        with trio.move_on_after(DELIVERY_S):
            while self.waiting:
                await self._wait_for_progress()
            return
        raise CallerDisconnectedError

    async def _send_all(self, data: bytes) -> None:
        try:
            await send(self.stream, data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            raise CallerDisconnectedError from None

    def _check(self) -> None:
        if self.is_broken:
            raise CallerDisconnectedError

    async def _wait_for_progress(self) -> None:
        self._check()
        await self.progress.wait()
        self._check()

    async def _flush(self) -> None:
        try:
            while self.waiting:
                await trio.lowlevel.wait_writable(self.stream.socket)
                self._remove(send_some(self.stream, self.waiting[0][1]))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self.is_broken = True
        finally:
            self.is_flushing = False
            self._note_progress()

    def _remove(self, sent: int) -> None:
        """Remove what the socket has taken of the first data."""
        since, data = self.waiting.popleft()
        if sent < len(data):
            self.waiting.appendleft((since, data[sent:]))
        self.waiting_bytes -= sent
        self.on_size(self.waiting_bytes)
        self._note_progress()

    def _note_progress(self) -> None:
        self.progress.set()
        self.progress = trio.Event()

"""Tracks how much of an answer has been relayed and whether it is complete.

Chunks are relayed as they arrive. Of a stream, only the ends of its events are
counted, so that an interrupted one can be resumed after the last complete event,
and its last bytes are kept, to detect the end marker.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import trio

from savorydyke._metrics import EventTimes

EVENT_END = b"\n\n"
STREAM_END = b"data: [DONE]\n\n"

SendBody = Callable[[bytes], Awaitable[None]]


@dataclass
class RelayProgress:
    """How much of an answer has been relayed.

    Attributes
    ----------
    events : int
        Complete events relayed, counted from the start of the stream.
    partial_bytes : int
        Number of bytes relayed after the last complete event.
    boundary : bytes
        The last of these bytes, with which the end of an event may begin.
    relayed : int
        Total number of bytes relayed.
    skip : int
        Number of bytes still to be dropped because a resumed answer repeats them.
    """

    events: int = 0
    partial_bytes: int = 0
    boundary: bytes = b""
    tail: bytes = b""
    relayed: int = 0
    first_byte: float | None = None
    last_byte: float = 0.0
    skip: int = 0
    times: EventTimes = field(default_factory=EventTimes)

    def feed(self, chunk: bytes) -> bytes:
        """Count a chunk, and return the part that has not been relayed before."""
        if self.skip:
            skipped = min(self.skip, len(chunk))
            self.skip -= skipped
            chunk = chunk[skipped:]
        now = trio.current_time()
        if self.first_byte is None:
            self.first_byte = now
        else:
            self.times.add(now - self.last_byte)
        self.last_byte = now
        self.relayed += len(chunk)
        self._count(chunk)
        return chunk

    def _count(self, chunk: bytes) -> None:
        joined = self.boundary + chunk
        ends = joined.count(EVENT_END)
        if ends:
            self.events += ends
            joined = joined[joined.rindex(EVENT_END) + len(EVENT_END) :]
            self.partial_bytes = len(joined)
        else:
            self.partial_bytes += len(chunk)
        self.boundary = joined[1 - len(EVENT_END) :]
        if len(chunk) >= len(STREAM_END):
            self.tail = chunk[-len(STREAM_END) :]
        else:
            self.tail = (self.tail + chunk)[-len(STREAM_END) :]

    def rewind(self, is_stream: bool) -> None:
        """Prepare for an answer that is sent again.

        A stream resumes after its last complete event, any other answer starts
        again at its first byte.
        """
        self.skip = self.partial_bytes if is_stream else self.relayed

    def is_finished(self) -> bool:
        """Return whether the end marker of the stream has been relayed."""
        return self.tail == STREAM_END

    def decode_s(self) -> float:
        """Return the time between the first and the last byte."""
        return 0.0 if self.first_byte is None else self.last_byte - self.first_byte

"""Relays an answer to its caller and knows whether it is complete.

Chunks are passed on as they come. Of a stream only the ends of its events are
counted, so that a broken one can be taken up behind the last whole event, and
its last bytes kept, to see whether it was finished.
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
    """What of a stream of events has been relayed.

    Attributes
    ----------
    events : int
        Whole events relayed, counted from the start of the stream.
    partial : bytes
        Bytes relayed behind the last whole event.
    relayed : int
        Bytes relayed in all.
    skip : int
        Bytes that come again on a resumed connection.
    """

    events: int = 0
    partial: bytes = b""
    tail: bytes = b""
    relayed: int = 0
    first_byte: float | None = None
    last_byte: float = 0.0
    skip: int = 0
    times: EventTimes = field(default_factory=EventTimes)

    def feed(self, chunk: bytes) -> bytes:
        """Count a chunk, and return what of it has not been relayed before."""
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
        joined = self.partial + chunk if self.partial else chunk
        ends = joined.count(EVENT_END)
        if ends:
            self.events += ends
            self.partial = joined[joined.rindex(EVENT_END) + len(EVENT_END) :]
        else:
            self.partial = joined
        if len(chunk) >= len(STREAM_END):
            self.tail = chunk[-len(STREAM_END) :]
        else:
            self.tail = (self.tail + chunk)[-len(STREAM_END) :]

    def rewind(self, is_stream: bool) -> None:
        """Prepare for an answer that comes again.

        A stream starts again behind its last whole event, any other answer at
        its first byte.
        """
        self.skip = len(self.partial) if is_stream else self.relayed

    def is_finished(self) -> bool:
        """Return whether the end of the stream has been relayed."""
        return self.tail == STREAM_END

    def decode_s(self) -> float:
        """Return the time between the first and the last byte."""
        return 0.0 if self.first_byte is None else self.last_byte - self.first_byte

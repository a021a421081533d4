"""Writes log lines without ever waiting for whoever reads them.

Lines wait in a bounded buffer. When it is full, routine lines give way first;
a flood of one message is sampled. What was left out is counted and said.
"""

import logging
import os
import sys
import time
from collections import deque
from dataclasses import dataclass, field

import trio

MAX_BUFFERED_BYTES = 512_000
"""Half a second of lines at a hundred times the usual volume."""
ROUTINE_SHARE = 0.5
"""Part of the buffer that routine lines may fill."""
FLOOD_LINES = 200
"""Lines of one message in a second beyond which only samples are written."""
SAMPLE_EVERY = 20
WRITE_BYTES = 65536
POLL_S = 0.05
STOP_FLUSH_S = 0.3


@dataclass
class Flood:
    """How often one message came within the current second."""

    second: int = 0
    count: int = 0


@dataclass
class LogBuffer:
    """Lines that wait to be written.

    Attributes
    ----------
    dropped, sampled : int
        Lines left out since the start, for want of room or in a flood.
    """

    lines: deque[bytes] = field(default_factory=deque)
    size: int = 0
    dropped: int = 0
    sampled: int = 0
    floods: dict[str, Flood] = field(default_factory=dict)

    def add(self, line: bytes, routine: bool) -> None:
        """Add a line if there is room."""
        limit = MAX_BUFFERED_BYTES * (ROUTINE_SHARE if routine else 1.0)
        if self.size + len(line) > limit:
            self.dropped += 1
            return
        self.lines.append(line)
        self.size += len(line)

    def is_sample(self, message: str, now: float) -> bool:
        """Return whether a routine line is written, although many come."""
        flood = self.floods.setdefault(message, Flood())
        if flood.second != int(now):
            flood.second = int(now)
            flood.count = 0
        flood.count += 1
        if flood.count <= FLOOD_LINES or flood.count % SAMPLE_EVERY == 0:
            return True
        self.sampled += 1
        return False

    def take(self) -> bytes:
        """Remove and return the next lines to write."""
        parts: list[bytes] = []
        size = 0
        while self.lines and size < WRITE_BYTES:
            parts.append(self.lines.popleft())
            size += len(parts[-1])
        self.size -= size
        return b"".join(parts)


class BufferedHandler(logging.Handler):
    """Puts formatted records into a buffer."""

    def __init__(self, buffer: LogBuffer) -> None:
        super().__init__()
        self.buffer = buffer

    def emit(self, record: logging.LogRecord) -> None:
        """Format a record and buffer it."""
        routine = record.levelno <= logging.INFO
        if routine and not self.buffer.is_sample(record.msg, time.monotonic()):
            return
        try:
            line = self.format(record).encode() + b"\n"
        except (TypeError, ValueError):
            self.handleError(record)
            return
        self.buffer.add(line, routine)


async def write_lines(buffer: LogBuffer, descriptor: int) -> None:
    """Write buffered lines to a descriptor until cancelled."""
    os.set_blocking(descriptor, False)
    said = 0
    rest = b""
    while True:
        left_out = buffer.dropped + buffer.sampled
        if left_out != said and not buffer.lines:
            said = left_out
            logging.getLogger("savorydyke.logs").warning(
                "logs: Lines left out.",
                extra={"dropped": buffer.dropped, "sampled": buffer.sampled},
            )
        rest = rest or buffer.take()
        if not rest:
            await trio.sleep(POLL_S)
            continue
        try:
            rest = rest[os.write(descriptor, rest) :]
        except BlockingIOError:
            await trio.sleep(POLL_S)
        except OSError:
            # Nobody reads any more; the lines have nowhere to go.
            buffer.dropped += 1
            rest = b""
            await trio.sleep(1.0)


def flush(buffer: LogBuffer) -> None:
    """Write what is left at the end of the process, for a moment at most."""
    descriptor = sys.stdout.fileno()
    until = time.monotonic() + STOP_FLUSH_S
    while buffer.lines and time.monotonic() < until:
        data = buffer.take()
        try:
            os.write(descriptor, data)
        except OSError:
            return

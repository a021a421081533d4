"""Writes log lines without blocking on their reader.

Lines are held in a bounded buffer. Routine lines are dropped before others, since
they may fill only a part of it; a routine message that is logged too often is
sampled. The numbers of lines dropped and left out by sampling are logged.
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
"""Share of the buffer that routine lines (level INFO and below) may fill."""
SAMPLE_ABOVE = 200
"""Lines of one message per second beyond which only samples are written."""
SAMPLE_EVERY = 20
WRITE_BYTES = 65536
POLL_S = 0.05
"""Time between two writes."""
STOP_FLUSH_S = 0.3


@dataclass
class MessageRate:
    """Number of lines of one message in the current second."""

    second: int = 0
    count: int = 0


@dataclass
class LogBuffer:
    """Lines to be written.

    Attributes
    ----------
    size : int
        Bytes held.
    dropped, sampled : int
        Lines left out since the start because the buffer was full, and because
        their message was sampled.
    rates : dict
        Rate of each routine message.
    filled : trio.Event or None
        Set when a line is added while `write_lines` waits for one.
    """

    lines: deque[bytes] = field(default_factory=deque)
    size: int = 0
    dropped: int = 0
    sampled: int = 0
    rates: dict[str, MessageRate] = field(default_factory=dict)
    filled: trio.Event | None = None

    def add(self, line: bytes, routine: bool) -> None:
        """Add a line, or drop it if the buffer is full."""
        limit = MAX_BUFFERED_BYTES * (ROUTINE_SHARE if routine else 1.0)
        if self.size + len(line) > limit:
            self.dropped += 1
            return
        self.lines.append(line)
        self.size += len(line)
        if self.filled is not None:
            self.filled.set()
            self.filled = None

    def is_sample(self, message: str, now: float) -> bool:
        """Return whether to write a routine line, and count it for its message."""
        rate = self.rates.setdefault(message, MessageRate())
        if rate.second != int(now):
            rate.second = int(now)
            rate.count = 0
        rate.count += 1
        if rate.count <= SAMPLE_ABOVE or rate.count % SAMPLE_EVERY == 0:
            return True
        self.sampled += 1
        return False

    def take(self) -> bytes:
        """Remove the next lines to write and return them joined."""
        batch: list[bytes] = []
        size = 0
        while self.lines and size < WRITE_BYTES:
            batch.append(self.lines.popleft())
            size += len(batch[-1])
        self.size -= size
        return b"".join(batch)


class BufferedHandler(logging.Handler):
    """Adds formatted records to a buffer."""

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
    reported = 0
    rest = b""
    while True:
        left_out = buffer.dropped + buffer.sampled
        if left_out != reported and not buffer.lines:
            reported = left_out
            logging.getLogger("savorydyke.logs").warning(
                "logs: Lines left out.",
                extra={"dropped": buffer.dropped, "sampled": buffer.sampled},
            )
        rest = rest or buffer.take()
        if not rest:
            await _wait_for_lines(buffer)
            continue
        try:
            rest = rest[os.write(descriptor, rest) :]
        except BlockingIOError:
            await trio.sleep(POLL_S)
        except OSError:
            # The reader has closed the descriptor, so the lines are lost.
            buffer.dropped += 1
            rest = b""
            await trio.sleep(1.0)


async def _wait_for_lines(buffer: LogBuffer) -> None:
    """Wait for a line, and for those that follow it at once."""
    buffer.filled = trio.Event()
    await buffer.filled.wait()
    await trio.sleep(POLL_S)


def flush(buffer: LogBuffer) -> None:
    """Write the remaining lines before the process exits.

    Takes at most about `STOP_FLUSH_S` and ends at the first write that fails.
    """
    descriptor = sys.stdout.fileno()
    deadline = time.monotonic() + STOP_FLUSH_S
    while buffer.lines and time.monotonic() < deadline:
        data = buffer.take()
        try:
            os.write(descriptor, data)
        except OSError:
            return

"""What reading one answer may cost, and how its reading gives way to others.

A faulty endpoint may send as fast as it is read what leads nowhere, such as chunks of
one byte or blank lines. That would keep the event loop busy until the request's
time-out, so that all other requests of the instance are late.
"""

from collections.abc import AsyncIterator
from dataclasses import dataclass

import trio

MAX_SMALL_PARTS = 1000
"""Parts of a body, beyond one for each `MEAN_PART_BYTES`."""
MEAN_PART_BYTES = 8
"""Mean size of parts that any number of may come."""
MAX_OVERHEAD_BYTES = 262_144
"""Bytes of framing, beyond as many as the body has."""
MAX_IGNORED_BYTES = 65_536
"""Bytes of a stream that belong to no event, beyond as many as its events have."""
TURN_PARTS = 32
"""Parts after which other tasks run."""
EVENTS_PER_S = 1000
"""Events of one stream that are relayed in a second. Engines make a tenth of that."""
BURST_EVENTS = 1000
FIRST_EVENTS = 4
"""Events that are passed on at once."""
FAST_SHARE = 0.7
"""Part of a pause within which the next event has to be expected."""


class WastefulAnswerError(Exception):
    """Raised when an answer costs too much for what it brings."""


@dataclass
class AnswerBudget:
    """Counts what an answer has brought.

    Attributes
    ----------
    parts, body_bytes : int
        Parts of the body, and their size.
    received_bytes : int
        All that was received, 0 if that is not known.
    """

    parts: int = 0
    body_bytes: int = 0
    received_bytes: int = 0

    def count(self, part: bytes) -> None:
        """Count a part of the body.

        Raises
        ------
        WastefulAnswerError
            If parts are too many for their size, or have too much framing.
        """
        self.parts += 1
        self.body_bytes += len(part)
        if self.parts > MAX_SMALL_PARTS + self.body_bytes // MEAN_PART_BYTES:
            raise WastefulAnswerError(
                f"{self.parts} parts of {self.body_bytes} bytes together"
            )
        overhead = self.received_bytes - self.body_bytes
        if overhead > MAX_OVERHEAD_BYTES + self.body_bytes:
            raise WastefulAnswerError(
                f"{overhead} bytes of framing for {self.body_bytes} of the body"
            )

    def is_turn_over(self) -> bool:
        """Return whether other tasks should run now."""
        return self.parts % TURN_PARTS == 0


async def bounded_parts(parts: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Yield the parts of a body, and let other tasks run in between.

    Raises
    ------
    WastefulAnswerError
        As `AnswerBudget.count` does.
    """
    budget = AnswerBudget()
    async for part in parts:
        budget.count(part)
        yield part
        if budget.is_turn_over():
            await trio.lowlevel.checkpoint()


@dataclass
class EventPace:
    """When to read on in a stream.

    Events that come faster than any engine's are delayed. Besides, those that come
    within a pause are read and passed on together, if the deployment allows that: each
    read costs several system calls and a step of the event loop.

    Attributes
    ----------
    pause_s : float
        Time between two reads, in seconds; 0 to read at once.
    began : float
        When the first events came.
    first, events : int
        Number of events that came then, and so far.
    """

    pause_s: float = 0.0
    began: float = 0.0
    first: int = 0
    events: int = 0

    async def wait(self, events: int) -> None:
        """Wait until the stream is to be read on.

        Parameters
        ----------
        events : int
            The total number of events so far.
        """
        now = trio.current_time()
        due = self.due(events, now)
        if due > now:
            await trio.sleep_until(due)

    def due(self, events: int, now: float) -> float:
        """Return when the stream is to be read on, with as many events so far."""
        if not self.events:
            self.began, self.first = now, events
        self.events = events
        due = self.began + (events - BURST_EVENTS) / EVENTS_PER_S
        if events >= FIRST_EVENTS and self._is_fast(now):
            due = max(due, now + self.pause_s)
        return due

    def _is_fast(self, now: float) -> bool:
        """Return whether the next event is to be expected well within a pause."""
        later = self.events - self.first
        return now - self.began < later * FAST_SHARE * self.pause_s

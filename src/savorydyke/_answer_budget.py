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

    def count(self, body: bytes, parts: int = 1) -> None:
        """Count parts of the body that came together.

        Parameters
        ----------
        body : bytes
            What they contain.

        Raises
        ------
        WastefulAnswerError
            If parts are too many for their size, or have too much framing.
        """
        self.parts += parts
        self.body_bytes += len(body)
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
    """Delays the relaying of a stream whose events come faster than any engine's.

    Attributes
    ----------
    began : float
        When the first event came.
    events : int
        Events so far.
    """

    began: float = 0.0
    events: int = 0

    def is_too_fast(self, events: int, now: float) -> bool:
        """Return whether the next events should wait.

        Parameters
        ----------
        events : int
            The total number of events so far.
        """
        if not self.events:
            self.began = now
        self.events = events
        return events > BURST_EVENTS and self._due() > now

    async def wait(self) -> None:
        """Wait until more events may be relayed."""
        await trio.sleep_until(self._due())

    def _due(self) -> float:
        return self.began + (self.events - BURST_EVENTS) / EVENTS_PER_S

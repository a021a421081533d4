"""Time-outs of reads whose deadlines move with each progress.

A stream of an endpoint may pause for a limited time. To enter a cancel scope for each
of its reads took a tenth of what relaying an event takes. Here one task waits for the
earliest deadline, and looks again when that has moved in the meantime.

Times are seconds on the event loop's clock.
"""

import heapq
import math
from dataclasses import dataclass, field
from itertools import count
from typing import Protocol

import trio


class TimedReader(Protocol):
    """What reads until a deadline.

    Attributes
    ----------
    read_until : float
        The deadline, which may move either way.
    watched_until : float
        The earliest time at which `ReadDeadlines` looks at it, infinite for none.
    """

    read_until: float
    watched_until: float

    def end_read(self) -> None:
        """End the read in progress, if there is one; the deadline has passed."""


@dataclass
class ReadDeadlines:
    """Ends reads when their deadlines have passed.

    Attributes
    ----------
    is_running : bool
        Whether the task runs that does this.
    entries : list of (float, int, TimedReader)
        A heap of times to look at readers.
    is_earlier : trio.Event
        Set when an entry comes before all others, and replaced then.
    """

    is_running: bool = False
    entries: list[tuple[float, int, TimedReader]] = field(default_factory=list)
    is_earlier: trio.Event = field(default_factory=trio.Event)
    serials: "count[int]" = field(default_factory=count)

    def watch(self, reader: TimedReader) -> None:
        """Look at a reader at its deadline, unless that is done earlier anyway."""
        if reader.read_until >= reader.watched_until:
            return
        entry = (reader.read_until, next(self.serials), reader)
        reader.watched_until = reader.read_until
        heapq.heappush(self.entries, entry)
        if self.entries[0] is entry:
            self.is_earlier.set()

    async def run(self) -> None:
        """End reads until cancelled."""
        self.is_running = True
        try:
            while True:
                due = self.entries[0][0] if self.entries else math.inf
                with trio.move_on_at(due):
                    await self.is_earlier.wait()
                self.is_earlier = trio.Event()
                self.end_due(trio.current_time())
        finally:
            self.is_running = False

    def end_due(self, now: float) -> None:
        """End the reads whose deadlines have passed."""
        while self.entries and self.entries[0][0] <= now:
            due, _, reader = heapq.heappop(self.entries)
            if reader.watched_until != due:
                # A later entry of a reader that is looked at earlier.
                continue
            reader.watched_until = math.inf
            if reader.read_until <= now:
                reader.end_read()
            else:
                self.watch(reader)

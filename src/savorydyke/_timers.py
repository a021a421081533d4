"""Timer service that delivers periodic ticks to subscribers.

One task sleeps until the next tick is due. Ticks that a slow subscriber misses are
coalesced into one.
"""

import heapq
import itertools
import math
import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import trio

JITTER = 0.1
"""Largest random shift of a tick, as a share of the period."""
EARLY = 0.2
"""Part of its period by which a tick may come early, so that those of several
subscribers share a wake-up. At rest, wake-ups are a large part of an instance's
processor time."""


_Subscriber = trio.MemorySendChannel[None]


@dataclass(eq=False)
class Gate:
    """Whether ticks are needed; while it is closed nothing wakes up for them.

    Attributes
    ----------
    opened : trio.Event
        Set while the gate is open, and replaced when it closes.
    """

    opened: trio.Event = field(default_factory=trio.Event)

    def is_open(self) -> bool:
        """Return whether ticks are needed."""
        return self.opened.is_set()

    def set(self, is_open: bool) -> None:
        """Open or close the gate."""
        if is_open:
            self.opened.set()
        elif self.is_open():
            self.opened = trio.Event()


class TimerService:
    """Delivers ticks to subscribers.

    Examples
    --------
    >>> async with timers.every(0.5) as ticks:  # doctest: +SKIP
    ...     async for _ in ticks:
    ...         send_heartbeat()

    Attributes
    ----------
    delay_listeners : list of callable
        Called after each wake-up with its delay and the time, in seconds.
    """

    def __init__(self, rng: random.Random | None = None) -> None:
        self.rng = rng or random.Random()
        self.heap: list[tuple[float, int, float, _Subscriber]] = []
        self.serial = itertools.count()
        self.changed = trio.Event()
        self.delay_listeners: list[Callable[[float, float], None]] = []

    @asynccontextmanager
    async def every(self, period_s: float) -> AsyncIterator[AsyncIterator[None]]:
        """Subscribe to a tick every `period_s` seconds, with jitter."""
        send, receive = trio.open_memory_channel[None](1)
        first = trio.current_time() + self._jittered(period_s)
        heapq.heappush(self.heap, (first, next(self.serial), period_s, send))
        self.changed.set()
        try:
            async with receive:
                yield receive
        finally:
            send.close()

    async def run_while(
        self, gate: Gate, period_s: float, act: Callable[[], None]
    ) -> None:
        """Call a function every `period_s` seconds while a gate is open.

        Runs until cancelled.
        """
        while True:
            await gate.opened.wait()
            async with self.every(period_s) as ticks:
                async for _ in ticks:
                    if not gate.is_open():
                        break
                    act()

    def _jittered(self, period_s: float) -> float:
        return period_s * (1 + JITTER * (2 * self.rng.random() - 1))

    async def run(self) -> None:
        """Deliver ticks until cancelled."""
        while True:
            self.changed = trio.Event()
            due = self.heap[0][0] if self.heap else math.inf
            with trio.move_on_at(due):
                await self.changed.wait()
            self._deliver(trio.current_time())

    def _deliver(self, now: float) -> None:
        if self.heap and self.heap[0][0] <= now:
            for listener in self.delay_listeners:
                listener(now - self.heap[0][0], now)
        for expected, period_s, send in self._take_due(now):
            try:
                send.send_nowait(None)
            except trio.WouldBlock:
                pass
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                continue
            # From when it was due, so that early ticks are not more ticks.
            due = max(now, expected) + self._jittered(period_s)
            heapq.heappush(self.heap, (due, next(self.serial), period_s, send))

    def _take_due(self, now: float) -> list[tuple[float, float, _Subscriber]]:
        """Remove and return the subscribers whose ticks are due, or nearly so."""
        if not self.heap or self.heap[0][0] > now:
            return []
        due = []
        left = []
        for entry in self.heap:
            if entry[0] - EARLY * entry[2] <= now:
                due.append(entry)
            else:
                left.append(entry)
        self.heap = left
        heapq.heapify(left)
        return [
            (expected, period_s, send) for expected, _, period_s, send in sorted(due)
        ]

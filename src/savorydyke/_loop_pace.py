"""Lets a busy event loop handle several things in one turn.

Each turn has a cost of its own: the wake-up of the process, the wait for sockets, and
code that is no longer in the processor's caches. While requests are in progress and
there is little to do, a turn follows as soon as something has come. The more of its
time a process works, the longer a turn waits for company, so that a burst of requests,
refusals and messages between instances takes fewer turns. A turn that begins late for
lack of processor time never waits. Without any request, messages of other instances are
handled a few at a time. A timer that is due ends the wait.

Times are seconds.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from savorydyke._sockets import read_counts

REST_INTERVAL_S = 0.025
"""Time from turn to turn without a request. It is a thirtieth of the time after which a
silent instance counts as dead, and the most by which a first request is late."""
MAX_INTERVAL_S = 0.015
"""Longest time from turn to turn while requests are in progress. A request takes about
six turns of frontends and coordinators, and objectives begin at 0.25 s."""
FULL_SHARE = 0.25
"""Share of its time that a process works from which on the interval is the longest."""
LEAST_SHARE = 0.05
"""Share up to which turns follow at once; about what a fleet at rest takes."""
WINDOW_S = 0.5
"""Time over which the share is averaged."""
SHORTEST_PAUSE_S = 0.0005
"""Pauses that are shorter cost more than they save."""


@dataclass
class TurnPace:
    """When the next turn of an event loop may begin.

    Attributes
    ----------
    woke_at : float
        When the present turn began.
    share : float
        Share of the time that was spent on work, of late.
    work_s : float
        Time that the latest turn took.
    is_at_rest : callable
        Returns whether no request is in progress.
    """

    woke_at: float
    is_at_rest: Callable[[], bool] = field(default=lambda: False)
    share: float = 0.0
    work_s: float = 0.0

    def begin_turn(self, now: float) -> None:
        """Note that a turn begins, and how much of the time the last one has taken."""
        passed_s = now - self.woke_at
        if passed_s > 0:
            rate = min(1.0, passed_s / WINDOW_S)
            self.share += rate * (min(1.0, self.work_s / passed_s) - self.share)
        self.woke_at = now

    def end_turn(self, now: float) -> float:
        """Note that a turn has ended; return how long the next one should wait."""
        self.work_s = now - self.woke_at
        left_s = self.interval_s() - self.work_s
        return left_s if left_s >= SHORTEST_PAUSE_S else 0.0

    def interval_s(self) -> float:
        """Return the time from the begin of one turn to that of the next."""
        if self.is_at_rest():
            return REST_INTERVAL_S
        weight = (self.share - LEAST_SHARE) / (FULL_SHARE - LEAST_SHARE)
        return MAX_INTERVAL_S * min(1.0, max(0.0, weight))


class PacedClock(trio.abc.Clock, trio.abc.Instrument):
    """The steady clock of an event loop whose turns follow as `TurnPace` says.

    The event loop asks its clock how long it may wait, once no task is ready to run.
    The answer comes after the pause, so that no timer is late for it. A turn that read
    only a part of what has come is followed at once, so that large messages are read
    as fast as they come.

    It has to be passed to `trio.run` both as the clock and as an instrument.
    """

    def __init__(self) -> None:
        self.pace = TurnPace(time.perf_counter())
        self.full_reads = 0

    def start_clock(self) -> None:
        """Do nothing; the clock always runs."""

    def current_time(self) -> float:
        """Return the time on the steady clock."""
        return time.perf_counter()

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Wait for company; return the time that is left until a deadline."""
        now = time.perf_counter()
        pause_s = min(self.pace.end_turn(now), deadline - now)
        if read_counts.full != self.full_reads:
            self.full_reads = read_counts.full
        elif pause_s > 0:
            time.sleep(pause_s)
        return deadline - time.perf_counter()

    def after_io_wait(self, timeout: float) -> None:
        """Note that a turn begins, unless it only goes on with ready tasks."""
        if timeout > 0:
            self.pace.begin_turn(time.perf_counter())

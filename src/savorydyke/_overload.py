"""Whether this process has more work than its processor can do.

The delays of its timers tell. A slow instance still serves its own callers, but each
step of a decision for others takes too long, so that it should not coordinate a pool.
An overloaded one can not answer in time at all; its callers are better off elsewhere.
"""

import math
from dataclasses import dataclass

SLOW_DELAY_S = 0.05
"""A grant takes a few steps, and objectives begin at 0.1 s."""
OVERLOADED_DELAY_S = 0.15
SLOW_HOLD_S = 3.0
"""Time for which an instance counts as slow after its last delay. A pool that changes
its coordinator pauses for a moment."""
OVERLOADED_HOLD_S = 0.5
"""Longer than the interval between two timers."""


@dataclass
class Overload:
    """State of this process by the delays of its timers.

    Attributes
    ----------
    delay_s : float
        By how much both of the latest two timers were late, at least. A pause of the
        process, of any length, delays only one.
    latest_s : float
        Delay of the latest timer.
    slow_until, overloaded_until : float
        Until when the process counts as slow or overloaded, on the monotonic clock.
    """

    delay_s: float = 0.0
    latest_s: float = 0.0
    slow_until: float = -math.inf
    overloaded_until: float = -math.inf

    def observe_delay(self, delay_s: float, now: float) -> None:
        """Record the delay of a timer."""
        self.delay_s = min(self.latest_s, delay_s)
        self.latest_s = delay_s
        if self.delay_s >= SLOW_DELAY_S:
            self.slow_until = now + SLOW_HOLD_S
        if self.delay_s >= OVERLOADED_DELAY_S:
            self.overloaded_until = now + OVERLOADED_HOLD_S

    def is_slow(self, now: float) -> bool:
        """Return whether the process is, or was recently, too slow to coordinate."""
        return now < self.slow_until

    def is_overloaded(self, now: float) -> bool:
        """Return whether the process can not answer new requests in time."""
        return now < self.overloaded_until

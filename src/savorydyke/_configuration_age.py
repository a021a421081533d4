"""Age of the last confirmation that the configuration in force is the newest.

All times are on a clock that also runs while the machine is suspended. Otherwise
an instance that resumes after a suspension would still accept keys that were
revoked in the meantime.
"""

import time
from collections import OrderedDict
from dataclasses import dataclass, field

MAX_SENT_KEPT = 64
"""Number of own heartbeats whose sending time is kept."""


def boot_time() -> float:
    """Return seconds since the machine started, including suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass
class ConfigurationAge:
    """The last time at which the configuration was confirmed as the newest.

    Attributes
    ----------
    confirmed : float
        Time on the clock of `boot_time`. A confirmation is dated to when its
        request was sent, so that its age is never understated.
    sent : OrderedDict
        Sending times of own heartbeats by counter.
    """

    confirmed: float = float("-inf")
    sent: OrderedDict[int, float] = field(default_factory=OrderedDict)

    def confirm(self, at: float) -> None:
        """Record that the configuration in force was the newest at time `at`."""
        self.confirmed = max(self.confirmed, at)

    def age_s(self, now: float) -> float:
        """Return the seconds since the last confirmation."""
        return now - self.confirmed

    def age_ms(self, now: float) -> int:
        """Return the age in milliseconds, rounded up, or -1 if never confirmed."""
        if self.confirmed == float("-inf"):
            return -1
        return int(self.age_s(now) * 1000) + 1

    def record_heartbeat(self, counter: int, now: float) -> None:
        """Record the sending time of a heartbeat."""
        self.sent[counter] = now
        if len(self.sent) > MAX_SENT_KEPT:
            self.sent.popitem(last=False)

    def confirm_from_peer(self, echo: int, age_ms: int) -> None:
        """Apply a peer's confirmation of the same version.

        The peer sent its heartbeat after it had received ours with the counter
        `echo`. Its confirmation is therefore at least as recent as `age_ms` before
        the time at which ours was sent.
        """
        sent = self.sent.get(echo)
        if sent is not None and age_ms >= 0:
            self.confirm(sent - age_ms / 1000)

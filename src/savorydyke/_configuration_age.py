"""How lately the configuration in force was known to be the newest.

All times are on a clock that also counts while the machine is suspended, since
a key that was taken away must not come back with a process that slept.
"""

import time
from collections import OrderedDict
from dataclasses import dataclass, field

MAX_SENT_KEPT = 64
"""Heartbeats of which the time of sending is remembered."""


def boot_time() -> float:
    """Return seconds since the machine started, suspension included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass
class ConfigurationAge:
    """The latest time at which the configuration was the newest.

    Attributes
    ----------
    confirmed : float
        On `boot_time`; a confirmation counts from the sending of the call.
    sent : OrderedDict
        When own heartbeats were sent, by their counters.
    """

    confirmed_at: float = float("-inf")
    sent_at: OrderedDict[int, float] = field(default_factory=OrderedDict)

    def confirm(self, at: float) -> None:
        """Take in that the configuration in force was the newest at a time."""
        self.confirmed_at = max(self.confirmed_at, at)

    def age_s(self, now: float) -> float:
        """Return how long ago the configuration was known to be the newest."""
        return now - self.confirmed_at

    def age_ms(self, now: float) -> int:
        """Return the age in milliseconds for a heartbeat, -1 for never."""
        if self.confirmed_at == float("-inf"):
            return -1
        return int(self.age_s(now) * 1000) + 1

    def record_heartbeat(self, counter: int, now: float) -> None:
        """Remember when a heartbeat was sent."""
        self.sent_at[counter] = now
        if len(self.sent_at) > MAX_SENT_KEPT:
            self.sent_at.popitem(last=False)

    def confirm_from_peer(self, echo: int, age_ms: int) -> None:
        """Take in a peer's confirmation of the same version.

        The peer's heartbeat left after ours with the counter `echo` arrived, so
        that its age counts back from the sending of ours at the latest.
        """
        sent_at = self.sent_at.get(echo)
        if sent_at is not None and age_ms >= 0:
            self.confirm(sent_at - age_ms / 1000)

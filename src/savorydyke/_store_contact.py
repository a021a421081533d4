"""Whether endpoints' records may have expired because the store was away.

An endpoint writes its record at each heartbeat. The record expires after three
intervals without a write, also if the store was away meanwhile; the endpoint then
writes it again soon after the store's return. A call that fails says nothing of this:
the store may cut a watch, or turn away a single instance.

Times are seconds on the monotonic clock and are passed in.
"""

import math
from dataclasses import dataclass

LAPSE_HEARTBEATS = 3
"""Heartbeats without a write after which a record expires."""
OUTAGE_HEARTBEATS = 1
"""Shortest outage, in heartbeats, that can make a record expire: up to one passes
between the last write and the outage, and one between its end and the next write."""
MISSING_GRACE_S = 2.0
"""After an outage of the store, endpoints that are alive write their records
again within this time."""


@dataclass
class StoreContact:
    """When this instance heard of the store.

    Attributes
    ----------
    heartbeat_s : float
        Interval at which endpoints write their records.
    answered_at, answered_before : float
        When the store last answered, and when it did before that. What the last answer
        changed was written in between.
    failing_since : float
        When the first call was made of those that have failed since then, infinite
        if none has.
    missing_until : float
        Until when records may be missing because of the latest outage.
    restored_until : float
        Until when records may be missing because the store was restored.
    """

    heartbeat_s: float
    answered_at: float = -math.inf
    answered_before: float = -math.inf
    failing_since: float = math.inf
    missing_until: float = -math.inf
    restored_until: float = -math.inf

    def is_failing(self) -> bool:
        """Return whether the latest call has failed."""
        return self.failing_since < math.inf

    def record_failure(self, made_at: float) -> None:
        """Record that a call has failed."""
        self.failing_since = min(self.failing_since, made_at)

    def record_answer(self, now: float) -> None:
        """Record that the store has answered, possibly after an outage."""
        if now - self.failing_since >= OUTAGE_HEARTBEATS * self.heartbeat_s:
            self.missing_until = now + MISSING_GRACE_S
        self.failing_since = math.inf
        self.answered_before, self.answered_at = self.answered_at, now

    def record_restore(self, now: float) -> None:
        """Record that the store was restored and may lack any record."""
        self.restored_until = now + MISSING_GRACE_S

    def kept_until(self, written_after: float, now: float) -> float:
        """Return until when an endpoint is kept whose record is missing.

        Parameters
        ----------
        written_after : float
            A time after which the record was last written.

        Returns
        -------
        float
            A time that has passed if the endpoint has removed its record.
        """
        if now - written_after < LAPSE_HEARTBEATS * self.heartbeat_s:
            return self.restored_until
        return max(self.missing_until, self.restored_until)

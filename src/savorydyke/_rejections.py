"""Endpoints that fall over when they have to reject too many requests in a second.

Such an endpoint names the number in its answers, and may have less room than usual. The
number holds for the whole fleet. A rejection comes within moments, so that requests
which were sent longer ago have found room. Few are sent at a time, and after a
rejection none for a while, and no more than found room.

Times are seconds on the local monotonic clock and are passed in.
"""

import math
from dataclasses import dataclass

FRESH_S = 0.1
"""Age from which a request that was sent counts as not rejected."""
PAUSE_S = 1.0
"""Time without requests after a rejection."""
MORE_ROOM_S = 1.0
"""Interval at which one more request is tried after a rejection."""


@dataclass
class RejectionGuard:
    """How many requests may be at an endpoint that must reject few.

    Attributes
    ----------
    per_s : float
        Rejections in a second that the endpoint bears.
    room : float
        Requests that found room at the latest rejection, infinite before one.
    rejected_at : float
        When that was.
    """

    per_s: float
    room: float = math.inf
    rejected_at: float = -math.inf

    def allows(self, running: int, fresh: int, now: float) -> bool:
        """Return whether one more request may be sent.

        Parameters
        ----------
        running, fresh : int
            Requests in flight, and those sent within `FRESH_S`.
        """
        if now - self.rejected_at < PAUSE_S or fresh >= most_fresh(self.per_s):
            return False
        more = (now - self.rejected_at - PAUSE_S) // MORE_ROOM_S
        return running < max(1.0, self.room + more)

    def record_rejection(self, running: int, now: float) -> None:
        """Record that a request was rejected while others were in flight."""
        self.room = running
        self.rejected_at = now


def most_fresh(per_s: float) -> int:
    """Return how many requests may be on their way to an endpoint at a time.

    It is half of what the endpoint may have to reject, since another instance may take
    itself for the coordinator for a moment.
    """
    return max(1, int(per_s) // 2)


def uncoordinated_pause_s(per_s: float, instances: int) -> float:
    """Return how long an instance without coordinator waits after a rejection.

    If all do, they are rejected no more often than the endpoint bears.
    """
    return max(PAUSE_S, instances / max(1.0, per_s))

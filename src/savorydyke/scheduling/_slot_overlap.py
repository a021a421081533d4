"""Requests granted ahead of time, so that slots are not idle between two requests.

The load: short requests at endpoints that are always wanted. Between two requests a
slot waits for a release, a decision, a grant and a connection. With 20 ms for these and
60 ms of work, a quarter of the endpoint's time is lost. Endpoints queue some requests,
so that one or two that are sent early use this time. Load reports say whether slots are
idle although all credits are in use.
"""

from dataclasses import dataclass

STEP = 0.1
"""Part of the measured difference by which the overlap is corrected."""
WANTED_QUEUE = 0.25
"""Mean number of requests in an endpoint's queue after a freed slot has taken one. They
are served in order of arrival there, not by urgency."""
MAX_SHARE = 0.5
"""Largest overlap as a share of the slots, against reports that are wrong."""


@dataclass
class SlotOverlap:
    """Number of requests that an endpoint is sent beyond its slots.

    Attributes
    ----------
    slots : int
        Requests that the endpoint runs at once.
    requests : float
        Requests beyond these, smoothed.
    """

    slots: int
    requests: float = 0.0

    def record_report(self, running: int, waiting: int, in_flight: int) -> None:
        """Learn from a load report.

        Parameters
        ----------
        running, waiting : int
            What the endpoint has reported.
        in_flight : int
            Requests granted here that have not been released, when the report came.
        """
        if in_flight < self.slots + self.whole():
            # Slots are idle for lack of requests.
            return
        queued = waiting + min(0, running - self.slots)
        requests = self.requests + STEP * (WANTED_QUEUE - queued)
        self.requests = min(MAX_SHARE * self.slots, max(0.0, requests))

    def record_rejection(self) -> None:
        """Start anew: the endpoint had no room for a request."""
        self.requests = 0.0

    def whole(self) -> int:
        """Return how many requests may be sent beyond the slots."""
        return int(self.requests)

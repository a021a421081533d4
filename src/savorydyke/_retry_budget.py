"""The retry budget of a pool, kept by its coordinator.

Without it, retries would add load to endpoints that fail under load.
"""

from collections import deque
from dataclasses import dataclass, field

USED_SHARE = 0.6
"""Part of the allowed retries that is used; the coordinator may change in a window."""


@dataclass
class RetryBudget:
    """Counts requests and retries in a sliding window.

    Attributes
    ----------
    ratio : float
        Retries allowed for each request of the window.
    slack : float
        Retries allowed beyond that.
    window_s : float
        Length of the window, in seconds.
    share : float
        Part of the slack that this instance may use.
    """

    ratio: float = 0.2
    slack: float = 10.0
    window_s: float = 10.0
    share: float = 1.0
    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)

    def count_request(self, now: float) -> None:
        """Count a request."""
        self.requests.append(now)
        self._drop_old(now)

    def take(self, now: float) -> bool:
        """Count a retry if the budget allows it; return whether it does."""
        self._drop_old(now)
        allowed = USED_SHARE * (
            self.ratio * len(self.requests) + self.share * self.slack
        )
        if len(self.retries) + 1 > allowed:
            return False
        self.retries.append(now)
        return True

    def _drop_old(self, now: float) -> None:
        for times in (self.requests, self.retries):
            while times and now - times[0] > self.window_s:
                times.popleft()

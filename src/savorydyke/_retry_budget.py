"""The retry budget of a pool, kept by its coordinator.

Without it, retries would add load to endpoints that fail under load. Several processes
may hold it in turn within one window, and each knows only what it has counted itself.
Each request is counted by one of them, so that their parts by requests add up to one
budget; the slack is no part of any request and has to be divided.
"""

import math
from collections import deque
from dataclasses import dataclass, field

USED_SHARE = 0.6
"""Part of the allowed retries that one coordinator uses."""
OPENING_SHARE = 1 / 3
"""Part of its slack that a coordinator uses in the window in which it begins. With
`USED_SHARE`, the one before it and two that follow use the slack once."""


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
    opened : float
        When this instance began to give out the budget.
    """

    ratio: float = 0.2
    slack: float = 10.0
    window_s: float = 10.0
    share: float = 1.0
    opened: float = -math.inf
    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)

    def count_request(self, now: float) -> None:
        """Count a request."""
        self.requests.append(now)
        self._drop_old(now)

    def take(self, now: float) -> bool:
        """Count a retry if the budget allows it; return whether it does."""
        self._drop_old(now)
        slack = self.share * self.slack
        if now - self.opened <= self.window_s:
            slack *= OPENING_SHARE
        allowed = USED_SHARE * (self.ratio * len(self.requests) + slack)
        if len(self.retries) + 1 > allowed:
            return False
        self.retries.append(now)
        return True

    def _drop_old(self, now: float) -> None:
        for times in (self.requests, self.retries):
            while times and now - times[0] > self.window_s:
                times.popleft()

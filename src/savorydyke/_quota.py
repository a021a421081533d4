"""Token quotas of calling teams, kept by a pool's home.

A bucket holds each team to its rate and burst. A request is let through while
the bucket is not empty, also one that is larger than the burst, and its excess
is paid off before the next; so large requests are not shut out. Places that
nobody waits for may be used beyond the bucket, up to the tolerance that the
deployment states for a sliding window.

A bucket starts empty and a window starts closed, so that a home that moves
often does not hand out a burst each time.
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from savorydyke._ids import TeamId
from savorydyke._routes import TeamQuota

TOLERANCE_SHARE = 0.6
"""Part of the tolerance that is handed out; the rest is for one large request
and for instances that place requests on their own."""


@dataclass(frozen=True)
class Tolerance:
    """What a team may use beyond its quota before it counts as exceeded.

    Attributes
    ----------
    excess : float
        Share of the quota.
    slack : float
        Tokens in addition, in any window.
    window_s : float
        Length of the sliding window.
    """

    excess: float = 0.0
    slack: float = 0.0
    window_s: float = 8.0


@dataclass
class Account:
    """What one team has used.

    Attributes
    ----------
    tokens : float
        What the bucket holds; below 0 after a large request.
    used : deque of (float, float)
        Times and tokens of the requests in the window.
    """

    tokens: float
    updated: float
    used: deque[tuple[float, float]] = field(default_factory=deque)
    used_tokens: float = 0.0


@dataclass
class Quotas:
    """The accounts of all calling teams with a limit.

    Attributes
    ----------
    limits : mapping
        Quotas by team; teams that are missing have no limit.
    opened : float
        Since when all that is used has been counted here.
    share : float
        Part of each quota that may be handed out here.
    """

    limits: Mapping[TeamId, TeamQuota] = field(default_factory=dict)
    tolerance: Tolerance = field(default_factory=Tolerance)
    opened: float = 0.0
    share: float = 1.0
    accounts: dict[TeamId, Account] = field(default_factory=dict)

    def wait_s(self, team: TeamId, now: float, idle: bool = False) -> float:
        """Return in how many seconds a team's next request is within its quota.

        Parameters
        ----------
        idle : bool
            Whether the request would use a place that nobody waits for.
        """
        limit = self.limits.get(team)
        if limit is None or limit.tokens_per_s <= 0:
            return 0.0
        account = self._account(team, limit, now)
        if account.tokens >= 0:
            return 0.0
        is_open = now - self.opened > self.tolerance.window_s
        if idle and is_open and account.used_tokens < self._window_tokens(limit):
            return 0.0
        return -account.tokens / (self.share * limit.tokens_per_s)

    def charge(self, team: TeamId, tokens: float, now: float) -> None:
        """Take the tokens of a request that is sent."""
        limit = self.limits.get(team)
        if limit is None or limit.tokens_per_s <= 0:
            return
        account = self._account(team, limit, now)
        # What was let through by the tolerance does not delay what follows.
        account.tokens = max(account.tokens - tokens, -self._debt(limit, tokens))
        account.used.append((now, tokens))
        account.used_tokens += tokens

    def refund(self, team: TeamId, tokens: float) -> None:
        """Return the tokens of a request that did not run."""
        account = self.accounts.get(team)
        if account is not None:
            account.tokens += tokens

    def _debt(self, limit: TeamQuota, tokens: float) -> float:
        return max(self.share * limit.burst, tokens)

    def _window_tokens(self, limit: TeamQuota) -> float:
        """Return what may be used in a window, tolerance included."""
        tolerance = self.tolerance
        quota = limit.tokens_per_s * tolerance.window_s + limit.burst
        extra = quota * tolerance.excess + tolerance.slack
        return self.share * (quota + TOLERANCE_SHARE * extra)

    def _account(self, team: TeamId, limit: TeamQuota, now: float) -> Account:
        account = self.accounts.setdefault(team, Account(0.0, self.opened))
        gained = max(0.0, now - account.updated) * self.share * limit.tokens_per_s
        most = self.share * limit.burst
        account.tokens = min(most, account.tokens + gained)
        account.updated = now
        while account.used and now - account.used[0][0] > self.tolerance.window_s:
            account.used_tokens -= account.used.popleft()[1]
        return account

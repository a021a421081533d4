"""Token quotas of calling teams, kept by a pool's home.

Each team has two buckets. The first holds it to its rate and burst: a request
is let through while the bucket is not empty, also one that is larger than the
burst, and its excess is paid off before the next; so large requests are not
shut out. The second hands out a part of the tolerance that the deployment
states for a sliding window, for places that nobody waits for.

What both let through in any window stays within the tolerance, also if a new
home opens its buckets in the middle of it.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from savorydyke._ids import TeamId
from savorydyke._routes import TeamQuota

IDLE_SHARE = 0.2
"""Part of the tolerance that idle places may use at once and again in each window.
Twice this, one request of the largest size, `START_SHARE` and what instances
place on their own while a home starts are under 1."""
START_SHARE = 0.08
"""Part of the tolerated slack that a new first bucket holds."""
LEAST_WAIT_SHARE = 0.2
"""Part of the burst that a refused team waits for at least."""


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
    """What one team may still use.

    Attributes
    ----------
    tokens : float
        What the first bucket holds; below 0 after a large request.
    extra : float
        What the second bucket holds.
    """

    tokens: float
    extra: float
    updated: float


@dataclass
class Quotas:
    """The accounts of all calling teams with a limit.

    Attributes
    ----------
    limits : mapping
        Quotas by team; teams that are missing have no limit.
    opened : float
        When the buckets were opened.
    share : float
        Part of each quota that may be handed out here.
    """

    limits: Mapping[TeamId, TeamQuota] = field(default_factory=dict)
    tolerance: Tolerance = field(default_factory=Tolerance)
    opened: float = 0.0
    share: float = 1.0
    accounts: dict[TeamId, Account] = field(default_factory=dict)

    def take(self, team: TeamId, tokens: float, now: float, idle: bool) -> float:
        """Charge a request; return 0, or in how many seconds to come back.

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
            account.tokens -= tokens
            return 0.0
        if idle and account.extra >= tokens:
            account.extra -= tokens
            return 0.0
        missing = max(-account.tokens, self.share * limit.burst * LEAST_WAIT_SHARE)
        return missing / (self.share * limit.tokens_per_s)

    def refund(self, team: TeamId, tokens: float) -> None:
        """Return the tokens of a request that did not run."""
        account = self.accounts.get(team)
        if account is not None:
            account.tokens += tokens

    def _most_extra(self, limit: TeamQuota) -> float:
        tolerance = self.tolerance
        quota = limit.tokens_per_s * tolerance.window_s + limit.burst
        tolerated = quota * tolerance.excess + tolerance.slack
        return self.share * IDLE_SHARE * tolerated

    def _account(self, team: TeamId, limit: TeamQuota, now: float) -> Account:
        account = self.accounts.get(team)
        if account is None:
            start = self.share * START_SHARE * self.tolerance.slack
            account = self.accounts[team] = Account(start, 0.0, self.opened)
        passed_s = max(0.0, now - account.updated)
        most = max(self.share * limit.burst, account.tokens)
        gained = passed_s * self.share * limit.tokens_per_s
        account.tokens = min(most, account.tokens + gained)
        most_extra = self._most_extra(limit)
        gained = passed_s * most_extra / self.tolerance.window_s
        account.extra = min(most_extra, account.extra + gained)
        account.updated = now
        return account

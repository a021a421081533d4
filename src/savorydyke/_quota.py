"""Token quotas of calling teams, kept by a pool's coordinator.

Each team has a token bucket that is filled at the rate of its quota. A request is
admitted while the bucket is not empty, even if it is larger than the content; the
bucket then goes below zero and must refill before the next request. So large
requests are not excluded. Slots for which no request is waiting may be used beyond
the bucket.

A sliding window over all admitted tokens keeps both within what the deployment
tolerates. Balances and windows are kept in the platform's store for the next
coordinator.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from savorydyke._ids import TeamId
from savorydyke._routes import TeamQuota

WINDOW_SHARE = 0.5
"""Part of the tolerance beyond the quota that a coordinator admits. The rest covers
fallback placement and balances that are out of date or unknown."""
DEPTH_SHARE = 0.4
"""Part of the tolerance beyond the quota that a bucket can hold, for bursts."""
UNKNOWN_SHARE = 0.2
"""Part of the tolerated slack by which a bucket of unknown balance starts below 0."""
SLOTS = 16
"""Number of parts into which the window is divided for counting."""
UNREPORTED_SHARE = 0.2
"""Part of the tolerance beyond the quota that may be used before balances are stored
again; the next coordinator subtracts it from the stored balance."""
MIN_WAIT_SHARE = 0.2
"""Part of the burst that must refill, at least, before a refused team retries."""


@dataclass(frozen=True)
class Tolerance:
    """Tolerance beyond a quota, within which it does not count as exceeded.

    Attributes
    ----------
    excess : float
        Share of the quota.
    slack : float
        Additional tokens in any window.
    window_s : float
        Length of the sliding window.
    """

    excess: float = 0.0
    slack: float = 0.0
    window_s: float = 8.0

    def beyond(self, limit: TeamQuota) -> float:
        """Return the tokens in a window that are tolerated beyond a quota."""
        return self.excess * self.quota(limit) + self.slack

    def quota(self, limit: TeamQuota) -> float:
        """Return the tokens in a window that a quota allows."""
        return limit.tokens_per_s * self.window_s + limit.burst


@dataclass(frozen=True)
class Balance:
    """State of a team's quota that is handed on to the next coordinator.

    Attributes
    ----------
    tokens : float
        Content of the bucket.
    used : tuple of float
        Tokens admitted in each part of the window, the latest first.
    """

    tokens: float
    used: tuple[float, ...]


@dataclass
class Account:
    """Token bucket and recent use of one team.

    Attributes
    ----------
    tokens : float
        Content of the bucket; below 0 after a large request.
    used : dict of int to float
        Admitted tokens by the number of the window's part.
    fraction : float or None
        Sum of the covered fractions of requests, less those admitted; None before
        the first request.
    """

    tokens: float
    updated: float
    used: dict[int, float] = field(default_factory=dict)
    fraction: float | None = None


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
        Part of each quota that this instance may admit; `set_share` changes it.
    balances_loaded : bool
        Whether the balances of an earlier coordinator have been loaded.
    balances : mapping or None
        Those balances; a missing team has used nothing. None if they are
        unknown.
    unreported : dict of TeamId to float
        Tokens admitted since the balances were stored.
    """

    limits: Mapping[TeamId, TeamQuota] = field(default_factory=dict)
    tolerance: Tolerance = field(default_factory=Tolerance)
    opened: float = 0.0
    share: float = 1.0
    balances_loaded: bool = False
    balances: Mapping[TeamId, Balance] | None = None
    accounts: dict[TeamId, Account] = field(default_factory=dict)
    unreported: dict[TeamId, float] = field(default_factory=dict)

    def take(self, team: TeamId, tokens: float, now: float, idle: bool) -> float:
        """Charge a request; return 0, or the seconds after which to retry.

        Parameters
        ----------
        idle : bool
            Whether the request would use a slot that no other request waits for.
        """
        limit = self.limits.get(team)
        if limit is None or limit.tokens_per_s <= 0:
            return 0.0
        account = self._account(team, limit, now)
        used = sum(account.used.values())
        is_alone = self.share >= 1.0
        fits = used + tokens <= self._max_in_window(limit) or (used == 0 and is_alone)
        if fits and (account.tokens >= 0 or idle):
            if account.tokens >= 0:
                account.tokens -= tokens
            slot = self._slot(now)
            account.used[slot] = account.used.get(slot, 0.0) + tokens
            self.unreported[team] = self.unreported.get(team, 0.0) + tokens
            return 0.0
        missing = max(-account.tokens, self.share * limit.burst * MIN_WAIT_SHARE)
        return missing / (self.share * limit.tokens_per_s)

    def refund(self, team: TeamId, tokens: float, charged: float) -> None:
        """Return the tokens of a request that was charged and did not run."""
        account = self.accounts.get(team)
        if account is None:
            return
        account.tokens += tokens
        slot = self._slot(charged)
        if slot in account.used:
            account.used[slot] = max(0.0, account.used[slot] - tokens)

    def take_fraction(
        self, team: TeamId, tokens: float, now: float, draw: float
    ) -> bool:
        """Return whether a request is admitted within a small share of a quota.

        A share may hold fewer tokens than one request. The available tokens are
        used up in any case, and the fractions that they cover are added up: a
        request is admitted whenever the sum reaches 1. So all holders of shares
        together admit the sum of their shares, give or take one request each.

        Parameters
        ----------
        draw : float
            Uniform in [0, 1). The sum of a team starts at it, so that the holders
            do not all admit their first request late.
        """
        limit = self.limits.get(team)
        if limit is None or limit.tokens_per_s <= 0:
            return True
        account = self._account(team, limit, now)
        if account.fraction is None:
            account.fraction = draw
        part = min(tokens, max(0.0, account.tokens))
        account.tokens -= part
        account.fraction += part / tokens if tokens > 0 else 1.0
        if account.fraction < 1:
            return False
        account.fraction -= 1
        return True

    def set_share(self, share: float) -> None:
        """Change the part of each quota that this instance may admit.

        The other holders of shares are assumed to have used theirs as this one has.
        """
        if share == self.share:
            return
        ratio, self.share = share / self.share, share
        for account in self.accounts.values():
            if ratio < 1 or account.tokens < 0:
                account.tokens *= ratio
            account.used = {slot: ratio * used for slot, used in account.used.items()}

    # Handover

    def reset(self, now: float) -> None:
        """Clear all accounts; another coordinator may have admitted requests meanwhile.

        The balances that it stored are loaded next.
        """
        self.accounts.clear()
        self.unreported.clear()
        self.opened = now
        self.balances_loaded = False
        self.balances = None

    def restore(self, balances: Mapping[TeamId, Balance] | None) -> None:
        """Apply the balances of an earlier coordinator.

        Requests that were charged in the meantime stay charged.

        Parameters
        ----------
        balances : mapping of TeamId to Balance or None
            Empty if no request was ever admitted, None if the balances are
            unknown.
        """
        before = {team: self._opening(team) for team in self.accounts}
        self.balances_loaded = True
        self.balances = balances
        for team, account in self.accounts.items():
            opening = self._opening(team)
            account.tokens += opening.tokens - before[team].tokens
            for slot, tokens in opening.used.items():
                assumed = before[team].used.get(slot, 0.0)
                account.used[slot] = account.used.get(slot, 0.0) + tokens - assumed

    def should_report(self) -> bool:
        """Return whether a team's use since balances were stored must be reported."""
        return any(
            team in self.limits and tokens >= self._max_unreported(self.limits[team])
            for team, tokens in self.unreported.items()
        )

    def export(self, now: float) -> dict[TeamId, Balance]:
        """Return the balances for the next coordinator."""
        balances = dict(self.balances or {})
        latest = self._slot(now)
        for team in self.accounts:
            limit = self.limits.get(team)
            if limit is None or limit.tokens_per_s <= 0:
                continue
            account = self._account(team, limit, now)
            used = [account.used.get(latest - age, 0.0) for age in range(SLOTS)]
            whole = tuple(tokens / self.share for tokens in used)
            balances[team] = Balance(account.tokens / self.share, whole)
        return balances

    # Accounts

    def _slot(self, now: float) -> int:
        return int(now * SLOTS / self.tolerance.window_s)

    def _max_in_window(self, limit: TeamQuota) -> float:
        """Return the tokens that may be admitted in a window."""
        beyond = WINDOW_SHARE * self.tolerance.beyond(limit)
        return self.share * (self.tolerance.quota(limit) + beyond)

    def _depth(self, limit: TeamQuota) -> float:
        beyond = self.tolerance.beyond(limit)
        return self.share * (limit.burst + DEPTH_SHARE * beyond)

    def _max_unreported(self, limit: TeamQuota) -> float:
        return self.share * UNREPORTED_SHARE * self.tolerance.beyond(limit)

    def _opening(self, team: TeamId) -> Account:
        """Return the account of a team as it is when the buckets are opened."""
        limit = self.limits.get(team, TeamQuota(0.0, 0.0))
        balance = None if self.balances is None else self.balances.get(team)
        if self.balances is not None and balance is None:
            return Account(self._depth(limit), self.opened)
        latest = self._slot(self.opened)
        quota = self.share * self.tolerance.quota(limit)
        owed = self.share * UNKNOWN_SHARE * self.tolerance.slack
        if balance is None:
            # The whole quota may have just been used.
            return Account(-owed, self.opened, {latest: quota})
        unreported = self._max_unreported(limit)
        tokens = self.share * balance.tokens
        bucket = max(tokens - unreported, min(tokens, -owed))
        used = (unreported, *(self.share * part for part in balance.used))
        slots = {latest - age: part for age, part in enumerate(used)}
        return Account(bucket, self.opened, slots)

    def _account(self, team: TeamId, limit: TeamQuota, now: float) -> Account:
        account = self.accounts.get(team)
        if account is None:
            account = self.accounts[team] = self._opening(team)
        elapsed_s = max(0.0, now - account.updated)
        gained = elapsed_s * self.share * limit.tokens_per_s
        account.tokens = min(self._depth(limit), account.tokens + gained)
        account.updated = now
        oldest = self._slot(now) - SLOTS
        for slot in [slot for slot in account.used if slot < oldest]:
            del account.used[slot]
        return account

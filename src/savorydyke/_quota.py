"""Token quotas of calling teams, kept by a pool's home.

Each team has a bucket that gains tokens at the rate of its quota. A request is
let through while the bucket is not empty, also one that is larger than its
content, and the excess is paid off before the next; so large requests are not
shut out. Places that nobody waits for may be used beyond the bucket.

A sliding window over all that was let through keeps both within what the
deployment tolerates. Buckets and windows outlive their home in the platform's
store.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from savorydyke._ids import TeamId
from savorydyke._routes import TeamQuota

WINDOW_SHARE = 0.5
"""Part of the tolerance beyond the quota that a home hands out. The rest is for what
instances place on their own and for levels that are old or unknown."""
DEPTH_SHARE = 0.4
"""Part of the tolerance beyond the quota that a bucket holds, for use in waves."""
UNKNOWN_SHARE = 0.2
"""Part of the tolerated slack that a bucket with an unknown level owes."""
SLOTS = 16
"""Parts of the window that are counted apart."""
UNREPORTED_SHARE = 0.2
"""Part of the tolerance beyond the quota that may be used before levels are stored
again; the next home takes it off what it reads."""
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

    def beyond(self, limit: TeamQuota) -> float:
        """Return the tokens in a window that are tolerated beyond a quota."""
        return self.excess * self.quota(limit) + self.slack

    def quota(self, limit: TeamQuota) -> float:
        """Return the tokens in a window that a quota allows."""
        return limit.tokens_per_s * self.window_s + limit.burst


@dataclass(frozen=True)
class Balance:
    """What a home hands on to the next one about a team.

    Attributes
    ----------
    tokens : float
        What the bucket holds.
    used : tuple of float
        Tokens let through in each part of the window, the latest first.
    """

    tokens: float
    used: tuple[float, ...]


@dataclass
class Account:
    """What one team may use and has used.

    Attributes
    ----------
    tokens : float
        What the bucket holds; below 0 after a large request.
    used : dict of int to float
        Tokens let through, by the number of the window's part.
    """

    tokens: float
    updated: float
    used: dict[int, float] = field(default_factory=dict)


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
    known : bool
        Whether the levels that an earlier home left have been asked for.
    levels : mapping or None
        Those levels; teams that are missing used nothing. None if they can
        not be told.
    unreported : dict of TeamId to float
        Tokens let through since the levels were stored.
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
        used = sum(account.used.values())
        fits = used == 0 or used + tokens <= self._most(limit)
        if fits and (account.tokens >= 0 or idle):
            if account.tokens >= 0:
                account.tokens -= tokens
            slot = self._slot(now)
            account.used[slot] = account.used.get(slot, 0.0) + tokens
            self.unreported[team] = self.unreported.get(team, 0.0) + tokens
            return 0.0
        missing = max(-account.tokens, self.share * limit.burst * LEAST_WAIT_SHARE)
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
        """Return whether one of many holders of small shares lets a request through.

        A share may be less than a request. What there is is used up either way,
        and lets the request through as often as it is part of it, so that all
        holders together let through their shares.

        Parameters
        ----------
        draw : float
            Uniform in [0, 1).
        """
        limit = self.limits.get(team)
        if limit is None or limit.tokens_per_s <= 0:
            return True
        account = self._account(team, limit, now)
        part = min(tokens, max(0.0, account.tokens))
        account.tokens -= part
        return draw * tokens < part

    # Handing over

    def reset(self, now: float) -> None:
        """Forget all levels, since another home hands out the quotas now."""
        self.accounts.clear()
        self.unreported.clear()
        self.opened = now
        self.balances_loaded = False
        self.balances = None

    def restore(self, balances: Mapping[TeamId, Balance] | None) -> None:
        """Take over the levels that an earlier home left.

        Parameters
        ----------
        levels : mapping of TeamId to Level or None
            Empty if no home has ever let anything through, None if they can
            not be told.
        """
        before = {team: self._opening(team) for team in self.accounts}
        self.balances_loaded = True
        self.balances = balances
        for team, account in self.accounts.items():
            opening = self._opening(team)
            account.tokens += opening.tokens - before[team].tokens
            for slot, tokens in opening.used.items():
                earlier = before[team].used.get(slot, 0.0)
                account.used[slot] = account.used.get(slot, 0.0) + tokens - earlier

    def should_report(self) -> bool:
        """Return whether a team has used much since the levels were stored."""
        return any(
            team in self.limits and tokens >= self._most_unreported(self.limits[team])
            for team, tokens in self.unreported.items()
        )

    def export(self, now: float) -> dict[TeamId, Balance]:
        """Return the levels for the next home."""
        balances = dict(self.balances or {})
        latest = self._slot(now)
        for team in self.accounts:
            limit = self.limits.get(team)
            if limit is None or limit.tokens_per_s <= 0:
                continue
            account = self._account(team, limit, now)
            used = [account.used.get(latest - age, 0.0) for age in range(SLOTS)]
            balances[team] = Balance(account.tokens, tuple(used))
        return balances

    # Accounts

    def _slot(self, now: float) -> int:
        return int(now * SLOTS / self.tolerance.window_s)

    def _most(self, limit: TeamQuota) -> float:
        """Return the tokens that may be let through in a window."""
        beyond = WINDOW_SHARE * self.tolerance.beyond(limit)
        return self.share * (self.tolerance.quota(limit) + beyond)

    def _depth(self, limit: TeamQuota) -> float:
        beyond = self.tolerance.beyond(limit)
        return self.share * (limit.burst + DEPTH_SHARE * beyond)

    def _most_unreported(self, limit: TeamQuota) -> float:
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
            # All of the quota may have been used a moment ago.
            return Account(-owed, self.opened, {latest: quota})
        unreported = self._most_unreported(limit)
        bucket = max(balance.tokens - unreported, min(balance.tokens, -owed))
        used = (unreported, *balance.used)
        slots = {latest - age: tokens for age, tokens in enumerate(used)}
        return Account(bucket, self.opened, slots)

    def _account(self, team: TeamId, limit: TeamQuota, now: float) -> Account:
        account = self.accounts.get(team)
        if account is None:
            account = self.accounts[team] = self._opening(team)
        passed_s = max(0.0, now - account.updated)
        gained = passed_s * self.share * limit.tokens_per_s
        account.tokens = min(self._depth(limit), account.tokens + gained)
        account.updated = now
        oldest = self._slot(now) - SLOTS
        for slot in [slot for slot in account.used if slot < oldest]:
            del account.used[slot]
        return account

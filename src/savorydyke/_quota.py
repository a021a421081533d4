"""Token quotas of calling teams, kept by a pool's coordinator.

Each team has a token bucket that is filled at the rate of its quota. A request is
admitted while the bucket is not empty, even if it is larger than the content; the
bucket then goes below zero and must refill before the next request. So large
requests are not excluded. Slots for which no request is waiting may be used beyond
the bucket.

A sliding window over all admitted tokens keeps both within what the deployment
tolerates. What was admitted is a fact that changes neither with the part of the quota
that may be given out here nor with the coordinator: `_quota_ledger` holds it for all
processes.
"""

import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from savorydyke._ids import InstanceId, TeamId
from savorydyke._quota_ledger import (
    LATELY_SLOTS,
    SLOTS,
    Ledger,
    Slots,
    drop_before,
    in_window,
)
from savorydyke._routes import TeamQuota

COORDINATOR_SHARE = 0.25
"""Part of the tolerance beyond the quota that a coordinator admits."""
LENT_SHARE = 0.15
"""Part that the coordinators of all pools lend beyond that."""
FALLBACK_SHARE = 0.15
"""Part of the tolerance that all instances together place themselves without loans."""
LENT_HEADROOM_SHARE = 0.5
"""Part of what a team has left that is lent."""
LOAN_S = 4.0
"""Time after which a loan is void. A coordinator that ended is followed by another in
less."""
FOLLOWER_MAX_AGE_S = 3.0
"""Time for which a report gives a coordinator the part of its sender."""
DEPTH_SHARE = 0.4
"""Part of the tolerance beyond the quota that a bucket can hold, for bursts."""
UNKNOWN_SHARE = 0.2
"""Part of the tolerated slack by which a bucket of unknown balance starts below 0."""
LEAST_PER_S = 1e-6
"""Rate of a bucket that is to stay empty; 0 means no limit."""
CURRENT_SLOTS = 4
"""Parts of the window within which a source that is followed reports again."""
UNREPORTED_SLOTS = 3
"""Parts of the window of whose use others may not know yet."""
UNREPORTED_SHARE = 0.2
"""Part of the tolerance beyond the quota that may be used before balances are stored
again; the next coordinator subtracts it from the stored balance."""
UNTOLD_SHARE = 0.05
"""Part of the tolerance beyond the quota that may be used before the next coordinators
are told; while that is on its way more is used."""
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


@dataclass(frozen=True)
class Report:
    """What a frontend states about one team in one pool.

    Attributes
    ----------
    wanted : float
        Tokens that it would borrow.
    placed, sent, elsewhere : float
        Tokens since its start of requests that it placed itself, of all, and of those
        in other pools.
    placed_slots, sent_slots, elsewhere_slots : tuple of float
        Same by part of the window, the latest first; empty if not stated.
    """

    wanted: float
    placed: float
    sent: float
    elsewhere: float
    placed_slots: tuple[float, ...] = ()
    sent_slots: tuple[float, ...] = ()
    elsewhere_slots: tuple[float, ...] = ()


@dataclass
class ReportedUse:
    """Tokens that others have used, as they report.

    Attributes
    ----------
    totals : dict of tuple to tuple of float and int
        Latest cumulative total by source and team, with the part of the window in which
        it was reported.
    slots : dict of TeamId to dict
        Tokens by the number of the window's part in which they were reported.
    """

    totals: dict[tuple[str, TeamId], tuple[float, int]] = field(default_factory=dict)
    slots: dict[TeamId, dict[int, float]] = field(default_factory=dict)

    def add(
        self,
        source: str,
        team: TeamId,
        total: float,
        recent: Sequence[float],
        slot: int,
    ) -> None:
        """Count what a source has used since its latest report.

        Parameters
        ----------
        recent : sequence of float
            Its use by part of the window, for a source that has not reported lately.
        """
        known, last = self.totals.get((source, team), (math.inf, slot - SLOTS - 1))
        self.totals[source, team] = (total, slot)
        slots = self.slots.setdefault(team, {})
        if total >= known and (slot - last <= CURRENT_SLOTS or not recent):
            slots[slot] = slots.get(slot, 0.0) + total - known
            return
        for age, tokens in enumerate(recent):
            if slot - age > last:
                slots[slot - age] = slots.get(slot - age, 0.0) + tokens

    def used(self, team: TeamId, place: float) -> float:
        """Return the tokens of a team in the window that ends at a place."""
        slots = self.slots.get(team)
        if not slots:
            return 0.0
        for old in [other for other in slots if other < int(place) - SLOTS]:
            del slots[old]
        return in_window(slots, place)

    def latest(self, team: TeamId, slot: int) -> float:
        """Return the latest tokens, about as many as are not told yet."""
        slots = self.slots.get(team, {})
        return sum(slots.get(slot - age, 0.0) for age in range(UNREPORTED_SLOTS))


@dataclass
class Account:
    """Token bucket and recent use of one team.

    Attributes
    ----------
    tokens : float
        Content of the bucket; below 0 after a large request.
    used : dict of int to float
        Tokens admitted since the account was opened, by the window's part.
    whole : dict of int to float
        Same, each divided by the share of the quota that this instance had then.
    stated : dict of int to float
        Use of the whole quota before that, as balances or frontends state it. It tells
        of the same requests as the ledger does.
    assumed : dict of int to float
        Use of the whole quota before that which may not be known yet.
    fraction : float or None
        Sum of the covered fractions of requests, less those admitted; None before
        the first request.
    """

    tokens: float
    updated: float
    used: Slots = field(default_factory=dict)
    whole: Slots = field(default_factory=dict)
    stated: Slots = field(default_factory=dict)
    assumed: Slots = field(default_factory=dict)
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
    pools : int
        Pools whose coordinators admit requests of the same teams.
    balances_loaded : bool
        Whether the balances of an earlier coordinator have been loaded.
    is_ledger_complete : bool
        Whether the ledger has all that earlier coordinators may have admitted.
    balances : mapping or None
        Those balances; a missing team has used nothing beyond what the ledger has.
        None if they are unknown.
    ledger : Ledger
        What this process and others have admitted.
    is_share_reported : bool
        Whether the other holders of shares report what they use.
    is_unreported : bool
        Whether nobody learns at present what is admitted here.
    uses_reports : bool
        Whether all frontends have reported what they sent.
    sent_before : dict of TeamId to dict
        That, by part of the window.
    unreported : dict of TeamId to float
        Tokens admitted since the balances were stored.
    admitted : dict of TeamId to float
        Tokens admitted here since the start, less those that did not run.
    told : dict of TeamId to float
        Same when the next coordinators were told last.
    on_much_admitted : callable
        Called when they are to be told.
    untold : set of TeamId
        Teams of which the coordinators of other pools do not know the latest.
    placed, sent : ReportedUse
        What frontends placed themselves, and all that they sent.
    elsewhere, sent_elsewhere : ReportedUse
        What coordinators of other pools have admitted, and what frontends sent there.
    followers : dict of InstanceId to float
        When each frontend that follows this coordinator has reported last.
    covering : set of InstanceId
        Frontends whose reports tell of all that they sent in the window.
    lent : dict of TeamId to dict
        Loans by frontend, each with the time after which it is void.
    lent_totals, next_void : dict of TeamId to float
        Their sum, and a time before which none of them becomes void.
    """

    limits: Mapping[TeamId, TeamQuota] = field(default_factory=dict)
    tolerance: Tolerance = field(default_factory=Tolerance)
    opened: float = 0.0
    share: float = 1.0
    pools: int = 1
    balances_loaded: bool = False
    is_ledger_complete: bool = False
    balances: Mapping[TeamId, Balance] | None = None
    uses_reports: bool = False
    sent_before: dict[TeamId, dict[int, float]] = field(default_factory=dict)
    accounts: dict[TeamId, Account] = field(default_factory=dict)
    unreported: dict[TeamId, float] = field(default_factory=dict)
    admitted: dict[TeamId, float] = field(default_factory=dict)
    ledger: Ledger = field(default_factory=Ledger)
    is_share_reported: bool = False
    is_unreported: bool = False
    told: dict[TeamId, float] = field(default_factory=dict)
    on_much_admitted: Callable[[], None] = field(default=lambda: None)
    untold: set[TeamId] = field(default_factory=set)
    placed: ReportedUse = field(default_factory=ReportedUse)
    sent: ReportedUse = field(default_factory=ReportedUse)
    elsewhere: ReportedUse = field(default_factory=ReportedUse)
    sent_elsewhere: ReportedUse = field(default_factory=ReportedUse)
    followers: dict[InstanceId, float] = field(default_factory=dict)
    covering: set[InstanceId] = field(default_factory=set)
    lent: dict[TeamId, dict[InstanceId, tuple[float, float]]] = field(
        default_factory=dict
    )
    lent_totals: dict[TeamId, float] = field(default_factory=dict)
    next_void: dict[TeamId, float] = field(default_factory=dict)

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
        used = self._used(team, account, now)
        is_alone = self.share >= 1.0
        fits = (
            used + tokens <= self._max_in_window(limit, COORDINATOR_SHARE)
            and used + self._lent(team, now) + tokens <= self._max_with_loans(limit)
        ) or (used == 0 and is_alone)
        if self.is_unreported and not self._may_be_unreported(team, tokens, limit):
            fits = False
        if fits and (account.tokens >= 0 or idle):
            if account.tokens >= 0:
                account.tokens -= tokens
            slot = self._slot(now)
            account.used[slot] = account.used.get(slot, 0.0) + tokens
            whole = tokens / self.share
            account.whole[slot] = account.whole.get(slot, 0.0) + whole
            self.unreported[team] = self.unreported.get(team, 0.0) + tokens
            self._count_admitted(team, tokens, slot)
            if self._is_to_be_told(team):
                self.on_much_admitted()
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
        if used := account.used.get(slot, 0.0):
            left = max(0.0, used - tokens) / used
            account.used[slot] *= left
            account.whole[slot] *= left
        if slot in self.ledger.own.get(team, {}):
            self._count_admitted(team, -tokens, slot)

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

    def set_share(self, share: float, is_reported: bool = False) -> None:
        """Change the part of each quota that this instance may admit.

        Parameters
        ----------
        is_reported : bool
            Whether the other holders of shares report what they have used. Otherwise
            they are assumed to have used theirs as this one has.
        """
        self.is_share_reported = is_reported
        if share == self.share:
            return
        ratio, self.share = share / self.share, share
        for account in self.accounts.values():
            account.tokens *= ratio

    # Use that others report

    def record_report(
        self, frontend: InstanceId, team: TeamId, report: Report, now: float
    ) -> None:
        """Count what a frontend has sent."""
        slot = self._slot(now)
        self.placed.add(frontend, team, report.placed, report.placed_slots, slot)
        self.sent.add(frontend, team, report.sent, report.sent_slots, slot)
        total, slots = report.elsewhere, report.elsewhere_slots
        self.sent_elsewhere.add(frontend, team, total, slots, slot)

    def lend(
        self, frontend: InstanceId, team: TeamId, wanted: float, now: float
    ) -> float:
        """Return how many tokens a frontend may use for what it places itself.

        They replace its earlier loan.
        """
        limit = self.limits.get(team)
        if limit is None or limit.tokens_per_s <= 0:
            return 0.0
        self._return_loan(team, frontend)
        account = self._account(team, limit, now)
        left = self._max_with_loans(limit) - self._used(team, account, now)
        left = LENT_HEADROOM_SHARE * left - self._lent(team, now)
        tokens = max(0.0, min(wanted, left))
        if tokens > 0:
            until = now + LOAN_S
            self.lent.setdefault(team, {})[frontend] = (tokens, until)
            self.lent_totals[team] += tokens
            self.next_void[team] = min(until, self.next_void.get(team, math.inf))
        return tokens

    def forget_follower(self, frontend: InstanceId) -> None:
        """Drop a frontend that follows another coordinator now.

        What it used of its loans it reports there.
        """
        self.followers.pop(frontend, None)
        for team in self.lent:
            self._return_loan(team, frontend)

    def admitted_row(self, team: TeamId, now: float) -> list[Any]:
        """Return what was admitted of a team: the total, and parts of the window."""
        slots, slot = self.ledger.own.get(team, {}), self._slot(now)
        recent = [round(slots.get(slot - age, 0.0)) for age in range(SLOTS)]
        return [round(self.admitted.get(team, 0.0)), recent]

    def _count_admitted(self, team: TeamId, tokens: float, slot: int) -> None:
        self.untold.add(team)
        self.admitted[team] = self.admitted.get(team, 0.0) + tokens
        self.ledger.admit(team, tokens, slot)

    def _used(self, team: TeamId, account: Account, now: float) -> float:
        """Return the tokens of a team in the window, as far as is known here.

        What frontends sent was admitted here, by themselves or by another coordinator.
        """
        place = self.place(now)
        own = (
            self._charge(account, place)
            + self.share * self._used_before(team, account, place)
            + self.placed.used(team, place)
        )
        elsewhere = max(
            self.share * self.elsewhere.used(team, place),
            self.sent_elsewhere.used(team, place),
        )
        elsewhere += self.share * self.elsewhere.latest(team, int(place))
        return max(own, self.sent.used(team, place)) + elsewhere

    def _charge(self, account: Account, place: float) -> float:
        """Return what this term's admissions use of the present share.

        What was admitted at a larger share is charged to all holders of it. If others
        do not report, they are assumed to have used theirs as this one has.
        """
        charge = self.share * in_window(account.whole, place)
        if not self.is_share_reported:
            return charge
        return min(charge, in_window(account.used, place))

    def _used_before(self, team: TeamId, account: Account, place: float) -> float:
        """Return what others, and this process in earlier terms, have used."""
        own = self.ledger.own_used(team, place) - in_window(account.used, place)
        known = self.ledger.used_by_others(team, place) + max(0.0, own)
        stated = in_window(account.stated, place)
        return max(known, stated) + in_window(account.assumed, place)

    def _may_be_unreported(self, team: TeamId, tokens: float, limit: TeamQuota) -> bool:
        """Return whether the next coordinator will assume as much as was used."""
        unreported = self.unreported.get(team, 0.0) + tokens
        return unreported <= self.share * self._max_unreported(limit)

    def _lent(self, team: TeamId, now: float) -> float:
        """Return the tokens of the loans that are not void."""
        if now >= self.next_void.get(team, math.inf):
            self._end_loans(team, now)
        return self.lent_totals.get(team, 0.0)

    def _end_loans(self, team: TeamId, now: float) -> None:
        """End the loans of a team that are void.

        A frontend that was not heard of again may have used all of its loan.
        """
        loans, slot = self.lent[team], self._slot(now)
        for frontend in [name for name, (_, until) in loans.items() if until <= now]:
            tokens = self._return_loan(team, frontend)
            slots = self.placed.slots.setdefault(team, {})
            slots[slot] = slots.get(slot, 0.0) + tokens
        self.next_void[team] = min(
            (until for _, until in loans.values()), default=math.inf
        )

    def _return_loan(self, team: TeamId, frontend: InstanceId) -> float:
        """Remove the loan of a frontend; return its tokens."""
        tokens, _ = self.lent.get(team, {}).pop(frontend, (0.0, 0.0))
        self.lent_totals[team] = self.lent_totals.get(team, 0.0) - tokens
        return tokens

    # Handover

    def reset(self, now: float) -> None:
        """Clear all accounts; another coordinator may have admitted requests meanwhile.

        The balances that it stored are loaded next. What was admitted here stays in the
        ledger.
        """
        self.accounts.clear()
        self.opened = now
        self.balances_loaded = False
        self.is_ledger_complete = False
        self.balances = None
        self.uses_reports = False
        self.sent_before = {}

    def use_reports(self) -> None:
        """Rely on what frontends sent until now, since all have reported it."""
        if self.uses_reports:
            return
        before = {team: self._opening(team) for team in self.accounts}
        self.uses_reports = True
        # What frontends sent later was admitted here, but for what they report late.
        last = self._slot(self.opened) + LATELY_SLOTS
        self.sent_before = {
            team: {slot: tokens for slot, tokens in slots.items() if slot < last}
            for team, slots in self.sent.slots.items()
        }
        self._reopen(before)

    def restore(
        self,
        balances: Mapping[TeamId, Balance] | None,
        is_ledger_complete: bool = False,
    ) -> None:
        """Apply the balances of an earlier coordinator.

        Requests that were charged in the meantime stay charged.

        Parameters
        ----------
        balances : mapping of TeamId to Balance or None
            Empty if no request was ever admitted, None if the balances are
            unknown.
        is_ledger_complete : bool
            Whether the ledger has what earlier coordinators admitted, and what one that
            ended may have admitted since. Otherwise that is taken off the buckets.
        """
        self.is_ledger_complete = is_ledger_complete
        self.is_unreported = False
        before = {team: self._opening(team) for team in self.accounts}
        self.balances_loaded = True
        self.balances = balances
        self._reopen(before)

    def _reopen(self, before: Mapping[TeamId, Account]) -> None:
        """Replace what was assumed when accounts were opened."""
        for team, account in self.accounts.items():
            opening = self._opening(team)
            account.tokens += opening.tokens - before[team].tokens
            account.stated, account.assumed = opening.stated, opening.assumed

    def knows_use(self, now: float) -> bool:
        """Return whether all that was used in the window is known here.

        Use before this term has left the window after a while.
        """
        passed = self.place(now) - self.place(self.opened)
        return self.balances is not None or passed >= SLOTS + 1

    def teams_to_tell(self) -> list[TeamId]:
        """Return the teams whose use must be told to the next coordinators."""
        return [team for team in self.admitted if self._is_to_be_told(team)]

    def record_told(self, teams: Iterable[TeamId]) -> None:
        """Record that the use of teams has been told."""
        for team in teams:
            self.told[team] = self.admitted.get(team, 0.0)

    def tokens_of(self, team: TeamId, now: float) -> float:
        """Return the content of a team's bucket, for the whole quota."""
        return self._account(team, self.limits[team], now).tokens / self.share

    def _is_to_be_told(self, team: TeamId) -> bool:
        limit = self.limits.get(team)
        if limit is None:
            return False
        untold = self.admitted[team] - self.told.get(team, 0.0)
        return untold >= self.share * UNTOLD_SHARE * self.tolerance.beyond(limit)

    def may_be_unknown(self, team: TeamId) -> float:
        """Return what a coordinator may have admitted after its latest record."""
        limit = self.limits.get(team)
        return 0.0 if limit is None else self._max_unreported(limit)

    def should_report(self) -> bool:
        """Return whether a team's use since balances were stored must be reported."""
        return any(
            team in self.limits
            and tokens >= self.share * self._max_unreported(self.limits[team])
            for team, tokens in self.unreported.items()
        )

    def record_reported(self, tokens: Mapping[TeamId, float]) -> None:
        """Record that others know of tokens that were admitted here."""
        for team, known in tokens.items():
            left = self.unreported.get(team, 0.0) - known
            if left > 0:
                self.unreported[team] = left
            else:
                self.unreported.pop(team, None)

    def export(self, now: float) -> dict[TeamId, Balance]:
        """Return the balances for the next coordinator."""
        balances = dict(self.balances or {})
        latest = self._slot(now)
        for team in self.accounts:
            limit = self.limits.get(team)
            if limit is None or limit.tokens_per_s <= 0:
                continue
            account = self._account(team, limit, now)
            slots = [latest - age for age in range(SLOTS)]
            others = self.ledger.slots_of_others(team)
            own = self.ledger.own.get(team, {})
            whole = tuple(
                account.whole.get(slot, 0.0)
                + max(
                    own.get(slot, 0.0)
                    - account.used.get(slot, 0.0)
                    + others.get(slot, 0.0),
                    account.stated.get(slot, 0.0),
                )
                + account.assumed.get(slot, 0.0)
                for slot in slots
            )
            balances[team] = Balance(account.tokens / self.share, whole)
        return balances

    def place(self, now: float) -> float:
        """Return the present place in the window, in parts of it."""
        return now * SLOTS / self.tolerance.window_s

    # Accounts

    def _slot(self, now: float) -> int:
        return int(self.place(now))

    def _max_in_window(self, limit: TeamQuota, part: float) -> float:
        """Return the quota and a part of the tolerance beyond it, for a window."""
        beyond = part * self.tolerance.beyond(limit)
        return self.share * (self.tolerance.quota(limit) + beyond)

    def _max_with_loans(self, limit: TeamQuota) -> float:
        """Return the tokens that may be admitted or lent in a window."""
        return self._max_in_window(limit, COORDINATOR_SHARE + LENT_SHARE / self.pools)

    def _depth(self, limit: TeamQuota) -> float:
        beyond = self.tolerance.beyond(limit)
        return self.share * (limit.burst + DEPTH_SHARE * beyond)

    def _max_unreported(self, limit: TeamQuota) -> float:
        return UNREPORTED_SHARE * self.tolerance.beyond(limit)

    def _opening(self, team: TeamId) -> Account:
        """Return the account of a team as it is when the buckets are opened."""
        limit = self.limits.get(team, TeamQuota(0.0, 0.0))
        balance = None if self.balances is None else self.balances.get(team)
        latest = self._slot(self.opened)
        place = self.place(self.opened)
        known = self.ledger.used_by_others(team, place)
        known += self.ledger.own_used(team, place)
        if self.balances is not None and balance is None and not known:
            return Account(self._depth(limit), self.opened)
        owed = self.share * UNKNOWN_SHARE * self.tolerance.slack
        if self.balances is None and not self.uses_reports:
            # The whole quota may have just been used.
            used = {latest: self.tolerance.quota(limit)}
            return Account(-owed, self.opened, stated=used)
        if balance is None:
            balance = Balance(0.0, ())
        # The coordinator before may have gone on at its latest rate, and frontends have
        # sent some since their reports.
        sent = self.sent_before.get(team, {})
        lately = max(
            *balance.used[:LATELY_SLOTS],
            self.ledger.lately(team),
            sum(sent.get(latest - age, 0.0) for age in range(UNREPORTED_SLOTS)),
            self._max_unreported(limit),
        )
        tokens = bucket = self.share * balance.tokens
        if not self.is_ledger_complete:
            bucket = max(tokens - self.share * lately, min(tokens, -owed))
        stated = {latest - age: part for age, part in enumerate(balance.used)}
        if sum(sent.values()) > sum(stated.values()):
            stated = dict(sent)
        assumed = {latest - SLOTS + UNREPORTED_SLOTS: lately}
        return Account(bucket, self.opened, stated=stated, assumed=assumed)

    def _account(self, team: TeamId, limit: TeamQuota, now: float) -> Account:
        account = self.accounts.get(team)
        if account is None:
            account = self.accounts[team] = self._opening(team)
        elapsed_s = max(0.0, now - account.updated)
        gained = elapsed_s * self.share * limit.tokens_per_s
        account.tokens = min(self._depth(limit), account.tokens + gained)
        account.updated = now
        for slots in (account.used, account.whole, account.stated, account.assumed):
            drop_before(slots, self._slot(now) - SLOTS)
        return account


def fallback_quota(limit: TeamQuota, tolerance: Tolerance) -> TeamQuota:
    """Return what all instances together may place themselves without loans.

    Its bucket and rate together are a part of the tolerance in any window.
    """
    tokens = FALLBACK_SHARE * tolerance.beyond(limit)
    if limit.tokens_per_s <= 0:
        return limit
    per_s = max(LEAST_PER_S, tokens / 2 / tolerance.window_s)
    return TeamQuota(per_s, tokens / 2)

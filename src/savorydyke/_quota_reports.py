"""What each instance sends of the teams' quotas, and what coordinators lend it.

A coordinator counts what it admits itself. Frontends place requests themselves while
it is silent, other instances may have coordinated the pool before, and a team may use
several pools. Each instance therefore reports what it has sent to the coordinators
that it follows, and coordinators tell each other what they have admitted. A report
also gives a coordinator the part of the quotas that belongs to its sender: each
instance follows one coordinator of a pool at a time.

A coordinator answers a report with tokens that it lends. They are all that a frontend
may use for requests that it places itself, apart from a small part of the tolerance.
A loan is void some time after its frontend has sent the report, on the frontend's own
clock, and counts as used until then.

Totals are cumulative, so that a lost report is made up for by the next one.
"""

import json
import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

import trio

from savorydyke import _logs
from savorydyke._ids import InstanceId, PoolId, TeamId
from savorydyke._membership import Membership
from savorydyke._messages import QuotaPush
from savorydyke._pool_host import PoolHost
from savorydyke._quota import LOAN_S, Quotas, Report
from savorydyke._quota_ledger import SLOTS
from savorydyke._timers import TimerService
from savorydyke._untrusted import parse_json, shown

REPORT_S = 1.0
"""Interval of reports and of the renewal of loans."""
EXCHANGE_S = 0.2
"""Interval at which coordinators tell each other what they have admitted."""
FULL_EVERY = 8
"""Reports after which the parts of the window are stated again."""
WANTED_S = LOAN_S
"""Time for whose requests tokens are borrowed."""
REPORT = "quota-report:"
LOAN = "quota-loan:"
ADMITTED = "quota-admitted:"
"""Prefixes of the pool in messages; builds that do not know them ignore those."""

log = _logs.component_logger("quotas")


@dataclass
class SentTokens:
    """Tokens of a team that this instance has sent to endpoints of a pool.

    Attributes
    ----------
    total : float
        Since the start of the process.
    slots : dict of int to float
        By the number of the window's part.
    largest : int
        Tokens of the largest recent request.
    """

    total: float = 0.0
    slots: dict[int, float] = field(default_factory=dict)
    largest: int = 0

    def add(self, tokens: int, slot: int) -> None:
        """Count a request."""
        self.total += tokens
        self.slots[slot] = self.slots.get(slot, 0.0) + tokens
        self.largest = max(self.largest, tokens)
        for old in [other for other in self.slots if other < slot - SLOTS]:
            del self.slots[old]

    def recent(self, slot: int) -> list[int]:
        """Return the tokens of the parts of the window, the latest first."""
        return [round(self.slots.get(slot - age, 0.0)) for age in range(SLOTS)]


@dataclass
class Loan:
    """Tokens that this instance may still use, and until when."""

    tokens: float
    until: float


@dataclass
class TeamUse:
    """What this instance has sent of one team's requests in one pool.

    Attributes
    ----------
    sent, placed : SentTokens
        All of it, and what it placed itself.
    reported : float
        What it had placed itself when it last asked for a loan.
    """

    sent: SentTokens = field(default_factory=SentTokens)
    placed: SentTokens = field(default_factory=SentTokens)
    loan: Loan = field(default_factory=lambda: Loan(0.0, -math.inf))
    reported: float = 0.0


@dataclass
class QuotaReports:
    """Reports of this instance, its loans, and the answers as a coordinator.

    Attributes
    ----------
    send : callable
        Sends a message to an instance, possibly this one.
    link : callable
        Returns the identity of the open link to an instance, or None.
    pools : callable
        Returns the pools of the configuration.
    has_quota : callable
        Returns whether a team has a quota.
    window_s : float
        Length of the sliding window in which use of the quota is counted.
    uses : dict
        What was sent, by pool and team.
    followed : dict of PoolId to tuple
        The coordinators to which reports were sent last, and the links to them.
    left : dict of PoolId to tuple
        The coordinators that were followed before those, and until when.
    started : float
        When this process began to count.
    """

    membership: Membership
    pool_host: PoolHost
    send: Callable[[InstanceId, QuotaPush], None]
    link: Callable[[InstanceId], object]
    pools: Callable[[], list[PoolId]]
    has_quota: Callable[[TeamId], bool]
    window_s: float
    uses: dict[PoolId, dict[TeamId, TeamUse]] = field(default_factory=dict)
    followed: dict[PoolId, tuple[InstanceId, object]] = field(default_factory=dict)
    left: dict[PoolId, tuple[InstanceId, float]] = field(default_factory=dict)
    started: float = field(default_factory=trio.current_time)
    reports: int = 0

    async def run(self, timers: TimerService) -> None:
        """Report until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                timers.run_while, self.pool_host.hosting, EXCHANGE_S, self._exchange
            )
            async with timers.every(REPORT_S) as ticks:
                async for _ in ticks:
                    self.reports += 1
                    for pool in self.pools():
                        self.report(pool, is_full=self.reports % FULL_EVERY == 0)

    # As a frontend

    def record_sent(
        self, pool: PoolId, team: TeamId, tokens: int, is_placed: bool, now: float
    ) -> None:
        """Count a request that has an endpoint.

        Parameters
        ----------
        is_placed : bool
            Whether this instance placed it itself.
        """
        if not self.has_quota(team):
            return
        use = self._use(pool, team)
        slot = self._slot(now)
        use.sent.add(tokens, slot)
        if is_placed:
            use.placed.add(tokens, slot)

    def take_loan(self, pool: PoolId, team: TeamId, tokens: int, now: float) -> bool:
        """Use tokens of a loan; return whether it has as many."""
        loan = self._use(pool, team).loan
        if now >= loan.until or loan.tokens < tokens:
            return False
        loan.tokens -= tokens
        return True

    def follow(self, pool: PoolId) -> None:
        """Report at once if the pool has another coordinator, or link to it, now."""
        coordinator = self.membership.coordinator(pool)
        if self.followed.get(pool) != (coordinator, self.link(coordinator)):
            self.report(pool, is_full=True)

    def predecessor(self, pool: PoolId, since: float) -> InstanceId | None:
        """Return which other coordinator of a pool was followed at or after a time."""
        coordinator, until = self.left.get(pool, (self.membership.id, -math.inf))
        is_other = coordinator != self.membership.id
        return coordinator if is_other and until >= since else None

    def report(self, pool: PoolId, is_full: bool) -> None:
        """Report to a pool's coordinator what was sent, and ask for loans."""
        coordinator = self.membership.coordinator(pool)
        before, _ = self.followed.get(pool, (coordinator, None))
        if before != coordinator:
            is_full = True
            self.left[pool] = (before, trio.current_time())
            self._send(before, REPORT, pool, {"at": 0, "leaves": True, "teams": {}})
            self._tell_all()
        self.followed[pool] = (coordinator, self.link(coordinator))
        now = trio.current_time()
        slot = self._slot(now)
        rows = {}
        for team in {team for uses in self.uses.values() for team in uses}:
            if row := self._row(pool, team, slot, is_full):
                rows[team] = row
        covers = now - self.started >= self.window_s
        value = {"at": int(now * 1000), "covers": covers, "teams": rows}
        self._send(coordinator, REPORT, pool, value)

    def _row(
        self, pool: PoolId, team: TeamId, slot: int, is_full: bool
    ) -> list[Any] | None:
        """Return what was sent of a team, None if that is nothing in the window."""
        use = self._use(pool, team)
        others = [
            uses[team].sent
            for other, uses in self.uses.items()
            if other != pool and team in uses
        ]
        sent = use.sent.recent(slot)
        recent = [other.recent(slot) for other in others]
        elsewhere = [sum(parts) for parts in zip(*recent, strict=True)]
        if not any(sent):
            use.sent.largest = 0
        if not any(sent) and not any(elsewhere):
            return None
        use.reported = use.placed.total
        wanted = sum(sent[: self._slots_of(WANTED_S)]) + use.sent.largest
        totals = use.placed.total, use.sent.total, sum(o.total for o in others)
        row: list[Any] = [wanted, *map(round, totals)]
        return [*row, use.placed.recent(slot), sent, elsewhere] if is_full else row

    def _receive_loans(self, pool: PoolId, value: dict[str, Any]) -> None:
        """Replace loans by those that answer a report.

        What was used since the report was sent is a part of them.
        """
        until = int(value["at"]) / 1000 + LOAN_S
        for team, tokens in value["teams"].items():
            use = self._use(pool, TeamId(str(team)))
            if until > use.loan.until:
                used = use.placed.total - use.reported
                use.loan = Loan(float(tokens) - used, until)

    def _use(self, pool: PoolId, team: TeamId) -> TeamUse:
        return self.uses.setdefault(pool, {}).setdefault(team, TeamUse())

    def _slot(self, now: float) -> int:
        return int(now * SLOTS / self.window_s)

    def _slots_of(self, seconds: float) -> int:
        return max(1, int(seconds * SLOTS / self.window_s))

    # As a coordinator

    def _answer(self, sender: InstanceId, pool: PoolId, value: dict[str, Any]) -> None:
        """Count what a frontend reports, and lend it tokens."""
        hosted = self.pool_host.hosted.get(pool)
        is_coordinator = self.membership.is_coordinator(pool)
        if hosted is None and not value.get("leaves"):
            # The sender may see sooner that this instance is the coordinator.
            hosted = self.pool_host.host(pool)
        if hosted is None:
            return
        quotas, now = hosted.scheduler.quotas, trio.current_time()
        if value.get("leaves"):
            quotas.forget_follower(sender)
            return
        is_new = sender not in quotas.followers
        quotas.followers[sender] = now
        if value.get("covers") is True:
            quotas.covering.add(sender)
        else:
            quotas.covering.discard(sender)
        if is_new:
            self.pool_host.set_share(hosted.scheduler)
        lent = {}
        for team, row in value["teams"].items():
            report = _read_report(row)
            name = TeamId(str(team))
            quotas.record_report(sender, name, report, now)
            if is_coordinator:
                lent[team] = round(quotas.lend(sender, name, report.wanted, now))
        if lent:
            answer = {"at": value["at"], "teams": lent}
            self._send(sender, LOAN, pool, answer)

    def _exchange(self) -> None:
        """Tell the coordinators of other pools what was admitted here."""
        for pool, hosted in list(self.pool_host.hosted.items()):
            self._tell_others(pool, hosted.scheduler.quotas)

    def _tell_all(self) -> None:
        """Tell a new coordinator all that coordinators here have admitted."""
        for pool, hosted in self.pool_host.hosted.items():
            quotas = hosted.scheduler.quotas
            quotas.untold.update(quotas.admitted)
            self._tell_others(pool, quotas)

    def _tell_others(self, pool: PoolId, quotas: Quotas) -> None:
        if not quotas.untold:
            return
        now = trio.current_time()
        rows = {team: quotas.admitted_row(team, now) for team in quotas.untold}
        quotas.untold.clear()
        others = {self.membership.coordinator(p) for p in self.pools() if p != pool}
        for instance in others:
            self._send(instance, ADMITTED, pool, {"teams": rows})

    def _count_admitted(
        self, sender: InstanceId, pool: PoolId, value: dict[str, Any]
    ) -> None:
        """Count what the coordinator of another pool has admitted."""
        now = trio.current_time()
        for other, hosted in self.pool_host.hosted.items():
            if other == pool:
                # Its frontends report that.
                continue
            use = hosted.scheduler.quotas.elsewhere
            for team, (total, recent) in value["teams"].items():
                source = f"{sender}/{pool}"
                slots = [float(tokens) for tokens in recent]
                slot = self._slot(now)
                use.add(source, TeamId(str(team)), float(total), slots, slot)

    # Messages

    def receive(self, sender: InstanceId, message: QuotaPush) -> bool:
        """Process a message; return whether it was a report, a loan or the like."""
        for prefix, handle in self._handlers():
            if message.pool.startswith(prefix):
                pool = PoolId(message.pool.removeprefix(prefix))
                try:
                    handle(sender, pool, parse_json(message.record))
                except (ValueError, TypeError, LookupError, AttributeError) as error:
                    extra = {"peer": sender, "error": shown(error)}
                    log.error("Report unreadable.", extra=extra)
                return True
        return False

    def _handlers(
        self,
    ) -> Iterator[tuple[str, Callable[[InstanceId, PoolId, dict[str, Any]], None]]]:
        yield REPORT, self._answer
        yield LOAN, lambda sender, pool, value: self._receive_loans(pool, value)
        yield ADMITTED, self._count_admitted

    def _send(
        self, instance: InstanceId, kind: str, pool: PoolId, value: dict[str, Any]
    ) -> None:
        record = json.dumps(value, separators=(",", ":")).encode()
        self.send(instance, QuotaPush(PoolId(kind + pool), record))


def _read_report(row: list[Any]) -> Report:
    """Return what a frontend states about one team."""
    wanted, placed, sent, elsewhere, *recent = row
    parts = [tuple(float(tokens) for tokens in slots) for slots in recent or [()] * 3]
    return Report(float(wanted), float(placed), float(sent), float(elsewhere), *parts)

"""The pool scheduler: all scheduling decisions for one pool.

The coordinator of a pool holds its scheduler, which takes acquisitions and
releases and returns decisions. Its state is soft: frontends register their
requests in flight again when another instance becomes the coordinator. Times
are seconds on the coordinator's monotonic clock and are passed in, so that
decisions depend only on the state and the arguments.
"""

import heapq
import math
import random
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from savorydyke._capacity import RETRY_RANGE_S, Capacity
from savorydyke._endpoint_load import (
    SUSPECT_SHARE,
    EndpointLoad,
    Running,
    mark_suspects,
    new_load,
)
from savorydyke._estimates import Estimates
from savorydyke._fair_queue import LATE_RANKS, FairQueue, Waiting, request_rank
from savorydyke._ids import (
    EndpointId,
    InstanceId,
    PoolId,
    Reason,
    ReleaseResult,
    RequestKey,
    SoftwareVersion,
    is_digest,
)
from savorydyke._manifest import Manifest, PoolKind
from savorydyke._messages import Acquire, Grant, Refuse, Register, Release, Started
from savorydyke._quarantine import (
    HELD_BACK_DETAIL,
    TRIAL_S,
    Quarantine,
)
from savorydyke._quota import Quotas
from savorydyke._retry_budget import RetryBudget
from savorydyke.rollouts import RolloutControl
from savorydyke.scheduling import MANY_CACHED, MARGIN, EndpointChoice, is_stale

MAX_RECENT = 20_000
RECENT_S = 600.0
"""Time for which the id of a finished request is remembered."""
RECONCILE_GRACE_S = 2.0
"""Age up to which a grant may not have reached its frontend yet."""
WARM_UP_S = 60.0
"""Time after a takeover in which the coordinator may not know earlier request ids."""
RETRY_SPREAD = 0.5
"""Largest part of a retry time that is randomly added to it, to spread the retries."""

STALE_RETRY_S = 1.0
"""Least retry time while the coordinator lags. Callers with one retry that came back at
once would lose it to the same burst, and add to it."""


@dataclass(frozen=True)
class Decision:
    """An answer of the scheduler for one frontend.

    Attributes
    ----------
    rank : int or None
        Rank of the request by tier and urgency; None if it did not wait.
    age_s : float or None
        Time from the request's arrival at its frontend until the decision.
    """

    frontend: InstanceId
    answer: Grant | Refuse
    rank: int | None = None
    age_s: float | None = None


@dataclass(frozen=True)
class Recent:
    """A request that was dispatched and is no longer in flight."""

    endpoint: EndpointId
    ended: float


@dataclass
class PoolScheduler:
    """Waiting requests, credits and speeds of one pool.

    Attributes
    ----------
    capacity : Capacity
        Waiting requests, and the capacity of the endpoints.
    coordinating_since : float
        When this instance became the coordinator.
    grants_enabled : bool
        Whether grants may be given; false until the frontends have registered
        their requests in flight.
    overlaps_slots : bool
        Whether endpoints get requests before a slot is free, by their load reports.
    request_trials_enabled : bool
        Whether a request that is held back itself may be sent as a trial; false
        while other coordinators may do the same.
    quotas : Quotas
        Tokens that the calling teams may use.
    retry_budget : RetryBudget or None
        Limits retries of requests; None for no limit.
    rollout : RolloutControl or None
        Decides which software versions get requests; None without an order.
    quarantine : Quarantine
        Requests and parts of prompts that are held back.
    data_centre_of : callable
        Returns the data centre of a frontend, empty if it is not known or plays no
        part.
    may_begin_at : callable
        Whether new requests may begin at a software version.
    placed : dict of RequestKey to EndpointId
        The endpoint of each request in flight.
    recent : OrderedDict of RequestKey to Recent
        Requests that ended recently, the oldest first.
    expiry : list of tuple
        Heap of the times at which waiting requests expire, each with the key
        and the attempt.
    has_failing : bool
        Whether an endpoint is suspect, or fails often enough to become suspect when
        others recover.
    latest_cost_s : dict of int to float
        Cost of the latest request by rank, for those that are refused unseen.
    choice : EndpointChoice
        Chooses the endpoint of each request.
    """

    pool: PoolId
    manifest: Manifest
    coordinating_since: float
    rng: random.Random
    capacity: Capacity = field(default_factory=Capacity)
    grants_enabled: bool = True
    overlaps_slots: bool = False
    request_trials_enabled: bool = True
    quotas: Quotas = field(default_factory=Quotas)
    retry_budget: RetryBudget | None = None
    rollout: RolloutControl | None = None
    quarantine: Quarantine = field(default_factory=Quarantine)
    data_centre_of: Callable[[InstanceId], str] = field(default=lambda frontend: "")
    may_begin_at: Callable[[SoftwareVersion], bool] = field(
        default=lambda version: True
    )
    placed: dict[RequestKey, EndpointId] = field(default_factory=dict)
    recent: OrderedDict[RequestKey, Recent] = field(default_factory=OrderedDict)
    expiry: list[tuple[float, RequestKey, int]] = field(default_factory=list)
    has_failing: bool = False
    latest_cost_s: dict[int, float] = field(default_factory=dict)
    choice: EndpointChoice = field(init=False)

    def __post_init__(self) -> None:
        self.choice = EndpointChoice(
            self.capacity, lambda frontend: self.data_centre_of(frontend)
        )

    @property
    def queue(self) -> FairQueue:
        """Return the waiting requests."""
        return self.capacity.queue

    @property
    def estimates(self) -> Estimates:
        """Return the estimates for endpoints and teams."""
        return self.capacity.estimates

    @property
    def endpoints(self) -> dict[EndpointId, EndpointLoad]:
        """Return the load of each endpoint."""
        return self.estimates.endpoints

    # Configuration

    def reconfigure(self, manifest: Manifest, now: float) -> list[Decision]:
        """Apply a new manifest, and check the access of waiting requests again."""
        self.manifest = manifest
        specs = {e.id: e for e in manifest.endpoints.values() if e.pool == self.pool}
        pool = manifest.pools.get(self.pool)
        kind = pool.kind if pool else PoolKind.ENGINE
        for name, spec in specs.items():
            known = self.endpoints.get(name)
            if known is not None and known.spec.process == spec.process:
                known.spec = spec
                continue
            if known is not None:
                self._end_process(known, now)
            self.endpoints[name] = new_load(spec, kind)
        for name, load in self.endpoints.items():
            load.removed = name not in specs
        memories = [spec.memory_tokens for spec in specs.values()]
        self.estimates.largest_memory = max(memories) if all(memories or [0]) else 0
        if self.rollout is not None:
            self.rollout.observe(self.endpoints.values(), now)
        for load in self.endpoints.values():
            load.joining = not self.may_begin_at(load.spec.version)
        self.estimates.index.clear()
        self.capacity.updated_index(now)
        return self._recheck_access(now) + self.grant_waiting(now)

    def update_joining(self, now: float) -> list[Decision]:
        """Use endpoints whose software version takes requests by now."""
        for load in self.endpoints.values():
            joining = not self.may_begin_at(load.spec.version)
            if load.joining != joining:
                load.joining = joining
                load.note_change()
        return self.grant_waiting(now)

    def _end_process(self, load: EndpointLoad, now: float) -> None:
        """End the grants for a process that another one has replaced."""
        self.estimates.forget_cached(load.id)
        for item in list(load.running.values()):
            load.remove(item.key)
            self.placed.pop(item.key, None)
            self._remember_finished(item.key, load.id, now)

    def _recheck_access(self, now: float) -> list[Decision]:
        decisions = []
        for item in list(self.queue.by_key.values()):
            item.allowed = self.manifest.reachable(item.team, self.pool)
            if not item.allowed and not self.manifest.all_approved:
                self.queue.remove(item.key)
                detail = "the approval was withdrawn"
                decisions.append(
                    self._refuse(item, Reason.NOT_APPROVED, detail, None, now)
                )
        return decisions

    def set_leaving(self, endpoint: EndpointId, leaving: bool) -> None:
        """Record whether an endpoint is leaving."""
        load = self.endpoints.get(endpoint)
        if load is None or load.leaving == leaving:
            return
        load.leaving = leaving
        load.note_change()
        if leaving:
            self.estimates.forget_cached(endpoint)

    def set_limit(self, endpoint: EndpointId, per_s: float | None, now: float) -> None:
        """Apply the limit that an endpoint has named, None for none."""
        load = self.endpoints.get(endpoint)
        if load is not None:
            load.set_limit(per_s, self.rng.getrandbits(32), now)

    def set_rejection_limit(self, endpoint: EndpointId, per_s: float | None) -> None:
        """Apply how many rejections a second an endpoint bears, None for any."""
        load = self.endpoints.get(endpoint)
        if load is not None:
            load.set_rejection_limit(per_s)

    def set_limit_share(self, share: float) -> None:
        """Set which part of the endpoints' limits may be used here."""
        for load in self.endpoints.values():
            if load.allowance is not None:
                load.allowance.share = share

    # Requests

    def acquire(
        self, message: Acquire, frontend: InstanceId, now: float, inbox_s: float = 0.0
    ) -> list[Decision]:
        """Queue a request; return the decisions that are possible at once.

        `inbox_s` is the time since it was received here.
        """
        decisions = self._answer_known(message, frontend)
        if decisions is not None:
            return decisions
        if message.resume_only:
            is_warming_up = self._is_warming_up(now)
            detail = "no such request"
            return [
                _deny(message, frontend, Reason.NOT_FOUND, detail, ran=is_warming_up)
            ]
        if message.team not in self.manifest.teams:
            return [_deny(message, frontend, Reason.NOT_APPROVED, "unknown team")]
        if is_stale(message, inbox_s):
            return [self._refuse_stale(message, frontend, now, inbox_s)]
        item = self._new_waiting(message, frontend, now, inbox_s)
        self.capacity.shares.offered.add(item.rank, item.cost_s, now)
        self.latest_cost_s[item.rank] = item.cost_s
        refusal = (
            self._hold_back(item, now)
            or self._admit(item, now)
            or self._check_budgets(item, message.is_retry, now)
        )
        if refusal is not None:
            return [refusal]
        self.capacity.demand.add(item.rank, item.cost_s, now)
        self._enqueue(item)
        decisions = self._shed_excess(now)
        if self.choice.must_wait(item, now):
            return decisions
        if self.choice.is_just_scanned(now) and item.rank >= self.queue.ranks()[0]:
            return decisions + self._grant_new(item, now)
        return decisions + self.grant_waiting(now)

    def _refuse_stale(
        self, message: Acquire, frontend: InstanceId, now: float, inbox_s: float
    ) -> Decision:
        """Refuse a request that a coordinator which lags could not look at in time."""
        ran = message.has_caller_id and self._is_warming_up(now)
        rank = self._rank(message)
        retry_s = max(STALE_RETRY_S, self.capacity.retry_s(rank, now))
        retry_s *= 1 + RETRY_SPREAD * self.rng.random()
        detail = "the coordinator has more requests than it can decide in time"
        retry_ms = int(retry_s * 1000)
        reason = Reason.OVERLOADED
        refusal = Refuse(message.key, message.attempt, reason, detail, retry_ms, ran)
        age_s = inbox_s + message.waited_ms / 1000
        self.capacity.shares.offered.add(rank, self.latest_cost_s.get(rank, 0.0), now)
        return Decision(frontend, refusal, rank, age_s)

    def _rank(self, message: Acquire) -> int:
        return request_rank(self.manifest.rank(message.team), message.urgency)

    def _hold_back(self, item: Waiting, now: float) -> Decision | None:
        """Refuse a request with a part that is held back, unless it is a trial."""
        held = self.quarantine.held_suspect(item.suspects, now)
        if held is None and self._may_send(item, now):
            return None
        wait_s = held[1] if held else TRIAL_S
        return self._refuse(item, Reason.HELD_BACK, HELD_BACK_DETAIL, wait_s, now)

    def _may_send(self, item: Waiting, now: float) -> bool:
        """Return whether a request has no held suspect, or may be its trial."""
        held = self.quarantine.held.intersection(item.suspects)
        if not self.request_trials_enabled and any(map(is_digest, held)):
            return False
        return self.quarantine.start_trial(item.suspects, now)

    def refuse_held(self, now: float) -> list[Decision]:
        """Refuse the waiting requests with a part that is now held back."""
        decisions = []
        for item in list(self.queue.by_key.values()):
            held = self.quarantine.held_suspect(item.suspects, now)
            if held is not None:
                self.queue.remove(item.key)
                self._refund(item)
                decisions.append(
                    self._refuse(item, Reason.HELD_BACK, HELD_BACK_DETAIL, held[1], now)
                )
        return decisions

    def _enqueue(self, item: Waiting) -> None:
        self.queue.push(item)
        heapq.heappush(
            self.expiry, (self.capacity.latest_grant(item), item.key, item.attempt)
        )

    def _check_budgets(
        self, item: Waiting, is_retry: bool, now: float
    ) -> Decision | None:
        """Refuse a request beyond the team's quota or the retry budget."""
        if self.retry_budget is not None and not is_retry:
            self.retry_budget.count_request(now)
        if (
            self.retry_budget is not None
            and is_retry
            and not self.retry_budget.take(now)
        ):
            detail = "the budget of repeats is used up"
            return self._refuse(item, Reason.RETRY_BUDGET, detail, None, now)
        # Charged before the grant, so that all waiting requests together stay
        # within the quota.
        idle = self.capacity.is_idle(now)
        wait_s = self.quotas.take(item.team, item.quota_tokens, now, idle)
        if wait_s > 0:
            whose = "the team's" if self.quotas.share == 1.0 else "a part of the team's"
            detail = f"{whose} quota is used up"
            return self._refuse(item, Reason.QUOTA, detail, wait_s, now)
        return None

    def withdraw(self, key: RequestKey) -> None:
        """Remove a waiting request whose caller has disconnected."""
        item = self.queue.remove(key)
        if item is not None:
            self._refund(item)

    def _refund(self, item: Waiting | Running) -> None:
        """Return the tokens of a request that was charged and does not run."""
        self.quotas.refund(item.team, item.quota_tokens, item.arrived)

    def started(self, message: Started, now: float) -> list[Decision]:
        """Record the arrival of the first byte of an answer."""
        load = self.endpoints.get(self.placed.get(message.key, EndpointId("")))
        if load is None:
            return []
        load.report_pace(message.pace_percent, message.pace_age_ms, now)
        if self.overlaps_slots:
            load.report_counts(message.endpoint_running, message.endpoint_waiting)
        item, first_s = load.running[message.key], message.first_byte_ms / 1000
        if item.held_first_s and not item.started:
            self.estimates.prompts.learn(first_s < item.held_first_s)
        if self.rollout is not None and not item.started:
            self.rollout.record_first(load, item, first_s, now)
        load.start(item, first_s)
        return self.grant_waiting(now)

    def release(
        self, message: Release, frontend: InstanceId, now: float
    ) -> list[Decision]:
        """End a grant; return the decisions that its credits make possible."""
        load = self.endpoints.get(message.endpoint)
        item = load.running.get(message.key) if load else None
        if load is None or item is None:
            return []
        if (item.frontend, item.attempt) != (frontend, message.attempt):
            return []
        if message.result is ReleaseResult.DISCONNECTED:
            item.orphaned = now
            return []
        self._finish(load, item, now, message)
        return self.grant_waiting(now)

    def _finish(
        self,
        load: EndpointLoad,
        item: Running,
        now: float,
        message: Release,
    ) -> None:
        result = message.result
        if message.pause_ms > 0:
            load.pause(item.frontend, message.pause_ms / 1000, now, self.rng)
        load.remove(item.key)
        self.placed.pop(item.key, None)
        if message.pace_percent:
            load.report_pace(message.pace_percent, message.pace_age_ms, now)
        if result in _NOT_RUN:
            self._finish_not_run(load, item, now, result)
            return
        if self.rollout is not None:
            self.rollout.record_end(load, item, message, now)
        self._remember_finished(item.key, load.id, now)
        if result in {ReleaseResult.TRUNCATED, ReleaseResult.FAILED}:
            load.record_failed_answer(now, self.rng)
            self._mark_suspects()
            return
        if result is ReleaseResult.COMPLETE:
            load.record_success()
            if self.has_failing:
                self._mark_suspects()
            load.learn_decode(message.output_tokens, message.decode_ms / 1000, now)
            self.estimates.learn_output(item, message.output_tokens)

    def _finish_not_run(
        self, load: EndpointLoad, item: Running, now: float, result: ReleaseResult
    ) -> None:
        self._refund(item)
        if result is ReleaseResult.REJECTED:
            load.record_rejection(now)
            return
        if self.rollout is not None:
            self.rollout.record_unsent(load, now)
        if load.allowance is not None:
            load.allowance.give_back()
        if result is ReleaseResult.UNREACHABLE:
            load.record_connection_failure(now, self.rng)
            self.estimates.forget_cached(load.id)

    def _mark_suspects(self) -> None:
        loads = self.endpoints.values()
        mark_suspects(loads)
        self.has_failing = any(e.suspect or e.failing > SUSPECT_SHARE for e in loads)

    def register(self, message: Register, frontend: InstanceId, now: float) -> None:
        """Record the requests that a frontend has in flight."""
        if message.full:
            self._drop_missing(message, frontend, now)
        for row in message.running:
            load = self.endpoints.get(row.endpoint)
            if load is None:
                continue
            known = load.running.get(row.key)
            if known is not None:
                known.is_verified = True
                if row.started:
                    # The report of its first byte was lost with a link.
                    load.mark_started(known)
            if row.key in self.placed:
                continue
            uncached = 0 if row.started else row.prompt_tokens
            self.queue.remove(row.key)
            load.take(
                row,
                frontend,
                uncached,
                now,
                started=row.started,
                reserved=self.estimates.reserved(row),
            )
            self.placed[row.key] = load.id

    def _drop_missing(
        self, message: Register, frontend: InstanceId, now: float
    ) -> None:
        """Free the credits of requests that their frontend does not have.

        A recent grant is kept: it may not have reached the frontend yet. One from
        before another instance was the coordinator has reached it.
        """
        registered = {row.key for row in message.running}
        for load in self.endpoints.values():
            for item in list(load.running.values()):
                is_missing = item.frontend == frontend and item.key not in registered
                if not is_missing or item.orphaned is not None:
                    continue
                is_recent = now - item.granted <= RECONCILE_GRACE_S
                if not is_recent or not item.is_verified:
                    load.remove(item.key)
                    self.placed.pop(item.key, None)
                    self._remember_finished(item.key, load.id, now)

    def suspend(self, now: float) -> None:
        """Record that another instance coordinates the pool.

        Reports about the requests in flight go there. What is known of them is
        checked when the frontends register here again.
        """
        self.coordinating_since = now
        for load in self.endpoints.values():
            load.unverify()

    def frontend_lost(self, frontend: InstanceId, now: float) -> None:
        """Remove the waiting requests of a dead frontend; orphan its running ones."""
        for item in list(self.queue.by_key.values()):
            if item.frontend == frontend:
                self.queue.remove(item.key)
        for load in self.endpoints.values():
            for running in load.running.values():
                if running.frontend == frontend and running.orphaned is None:
                    running.orphaned = now

    def release_orphans(
        self, before: float, now: float
    ) -> list[tuple[EndpointId, Running]]:
        """Release requests that were orphaned at or before `before`.

        The caller of this method cancels them at their endpoints.
        """
        orphans = [
            (load.id, item)
            for load in self.endpoints.values()
            for item in load.running.values()
            if item.orphaned is not None and item.orphaned <= before
        ]
        for endpoint, item in orphans:
            self.endpoints[endpoint].remove(item.key)
            self.placed.pop(item.key, None)
            self._remember_finished(item.key, endpoint, now)
        return orphans

    # Decisions

    def tick(self, now: float) -> list[Decision]:
        """Refuse waiting requests that can no longer be in time, and grant others."""
        for load in self.endpoints.values():
            load.learn_overdue(now)
            load.decay_if_idle(now)
        decisions = self._expire(now) + self._refuse_hopeless(now)
        self._drop_old_recent(now)
        return decisions + self.grant_waiting(now)

    def grant_waiting(self, now: float) -> list[Decision]:
        """Grant waiting requests while credits last, in order of tier and fairness."""
        if not self.grants_enabled or not self.queue.by_key:
            return []
        if self.capacity.is_full(now) and self.estimates.index.usable:
            return []
        decisions: list[Decision] = []
        self.choice.begin(now)
        while True:
            decision = self._grant_next(now)
            if decision is None:
                return decisions
            decisions.append(decision)

    def _grant_new(self, item: Waiting, now: float) -> list[Decision]:
        """Grant a new request that others wait before, if an endpoint is left for it.

        Nothing has changed since these were considered, so that they wait on.
        """
        if not self.grants_enabled or item.key not in self.queue.by_key:
            return []
        if self.capacity.is_full(now) and self.estimates.index.usable:
            return []
        load = self._choose(item, set(self.choice.awaited), now)
        if load is None or self._would_be_late(item, load, now):
            return []
        return [self._grant(item, load, now)]

    def _grant_next(self, now: float) -> Decision | None:
        """Grant the first request in order for which an endpoint has capacity.

        Requests whose answers would be late give way to those that can be in time.
        """
        late: list[Waiting] = []
        decision = self._grant_in_order(late, now)
        for item in late:
            self.queue.remove(item.key)
            item.rank += LATE_RANKS
            self._enqueue(item)
        if decision is None and late:
            return self._grant_in_order([], now)
        return decision

    def _grant_in_order(self, late: list[Waiting], now: float) -> Decision | None:
        """Grant a request; add those before it that would be late to `late`."""
        blocked = self.choice.awaited = set()
        index = self.capacity.updated_index(now)
        owed = self.capacity.owed_ranks(now)
        for item in self.queue.heads(owed):
            # A more urgent request may use an endpoint that has no capacity for one
            # that only goes first because of its guaranteed share.
            load = self._choose(item, set() if item.rank in owed else blocked, now)
            if load is not None and self._would_be_late(item, load, now):
                late.append(item)
            elif load is not None:
                return self._grant(item, load, now)
            if index.free_names <= blocked or self.choice.is_exhausted(item):
                return None
        return None

    def _would_be_late(self, item: Waiting, load: EndpointLoad, now: float) -> bool:
        """Return whether a request would miss its objective at an endpoint."""
        if item.is_late() or item.objective == math.inf:
            return False
        first_s = load.first_byte_s(self.estimates.uncached(load, item, now))
        return now + first_s > item.objective

    def _choose(
        self, item: Waiting, blocked: set[EndpointId], now: float
    ) -> EndpointLoad | None:
        """Return the endpoint for a request, or None if it has to wait."""
        rollout = self.rollout
        if rollout is not None and not item.version and rollout.draws_new(now):
            loads = rollout.new_loads(item.avoid, now)
            load = self.choice.choose_of(item, loads, now)
            if load is not None:
                return load
        return self.choice.choose(item, blocked, now)

    def _grant(self, item: Waiting, load: EndpointLoad, now: float) -> Decision:
        uncached = self.estimates.uncached(load, item, now)
        self.queue.charge(item)
        self.capacity.shares.granted.add(item.base_rank(), item.cost_s, now)
        reserved = self.estimates.reserved(item)
        load.take(item, item.frontend, uncached, now, reserved=reserved)
        self.placed[item.key] = load.id
        self.estimates.record_placed(load, item, uncached, now)
        if load.allowance is not None:
            load.allowance.take(now)
        if self.rollout is not None:
            self.rollout.record_granted(load, now)
        probe = self._probe(item, now)
        first_ms = int(load.running[item.key].predicted_first_s * 1000)
        cached = max(0, item.prompt_tokens - uncached) if item.prefix_tokens else 0
        possible = cached / self.estimates.prompts.hits
        if possible >= MANY_CACHED * item.prompt_tokens:
            # Half way between the times with all of these parts and with none.
            running = load.running[item.key]
            saved_s = load.prefill_s(cached) - load.prefill_s(int(possible)) / 2
            running.held_first_s = running.predicted_first_s + saved_s
        grant = Grant(item.key, item.attempt, load.id, False, probe, first_ms, cached)
        return Decision(item.frontend, grant, item.base_rank(), item.age_s(now))

    def _probe(self, item: Waiting, now: float) -> tuple[EndpointId, ...]:
        """Return the endpoints to check for an earlier run, during the warm-up."""
        if not item.has_caller_id or not self._is_warming_up(now):
            return ()
        return tuple(sorted(e.id for e in self.endpoints.values() if e.spec.resumes))

    def _is_warming_up(self, now: float) -> bool:
        """Return whether an earlier coordinator may have granted unknown requests."""
        return now - self.coordinating_since <= WARM_UP_S

    def _refuse(
        self,
        item: Waiting,
        reason: Reason,
        detail: str,
        retry_s: float | None,
        now: float,
    ) -> Decision:
        """Return a refusal.

        During the warm-up an earlier run of a request whose id the caller chose
        cannot be ruled out.
        """
        ran = item.has_caller_id and self._is_warming_up(now)
        if retry_s is not None:
            retry_s *= 1 + RETRY_SPREAD * self.rng.random()
        retry_ms = -1 if retry_s is None else int(retry_s * 1000)
        refusal = Refuse(item.key, item.attempt, reason, detail, retry_ms, ran)
        return Decision(item.frontend, refusal, item.base_rank(), item.age_s(now))

    def _answer_known(
        self, message: Acquire, frontend: InstanceId
    ) -> list[Decision] | None:
        """Answer an id that is waiting, running or finished; None if it is new."""
        waiting = self.queue.by_key.get(message.key)
        if waiting is not None:
            if waiting.frontend == frontend:
                self.queue.remove(message.key)
                return None
            detail = "the same request waits at another instance"
            return [_deny(message, frontend, Reason.DUPLICATE, detail, ran=True)]
        endpoint = self.placed.get(message.key)
        if endpoint is not None:
            return self._answer_running(message, frontend, endpoint)
        recent = self.recent.get(message.key)
        if recent is not None and (message.resume_only or not message.at_most_once):
            return [self._resume(message, frontend, recent.endpoint)]
        return None

    def _answer_running(
        self, message: Acquire, frontend: InstanceId, endpoint: EndpointId
    ) -> list[Decision]:
        running = self.endpoints[endpoint].running[message.key]
        if (running.frontend, running.attempt) == (frontend, message.attempt):
            grant = Grant(message.key, message.attempt, endpoint, False, ())
            return [Decision(frontend, grant)]
        if running.orphaned is not None:
            running.frontend = frontend
            running.attempt = message.attempt
            running.orphaned = None
        return [self._resume(message, frontend, endpoint)]

    def _resume(
        self, message: Acquire, frontend: InstanceId, endpoint: EndpointId
    ) -> Decision:
        load = self.endpoints.get(endpoint)
        if load is None or not load.spec.resumes:
            detail = "the request was dispatched earlier"
            return _deny(message, frontend, Reason.DUPLICATE, detail, ran=True)
        grant = Grant(message.key, message.attempt, endpoint, True, ())
        return Decision(frontend, grant)

    # Admission

    def _new_waiting(
        self, message: Acquire, frontend: InstanceId, now: float, inbox_s: float
    ) -> Waiting:
        team = self.manifest.teams[message.team]
        sent = now - inbox_s
        item = Waiting(
            key=message.key,
            attempt=message.attempt,
            frontend=frontend,
            team=message.team,
            rank=self._rank(message),
            weight=team.weight,
            prompt_tokens=message.prompt_tokens,
            output_tokens=message.output_tokens,
            prefix=message.prefix,
            allowed=self.manifest.reachable(message.team, self.pool),
            avoid=frozenset(message.avoid),
            deadline=sent + message.deadline_ms / 1000,
            arrived=now,
            cost_s=0.0,
            has_caller_id=message.has_caller_id,
            objective=math.inf
            if message.objective_ms < 0
            else sent + message.objective_ms / 1000,
            abandon_at=sent
            + (
                message.deadline_ms
                if message.abandon_after_ms < 0
                else message.abandon_after_ms
            )
            / 1000,
            quota_tokens=message.quota_tokens,
            suspects=message.suspects,
            version=message.version,
            max_output_tokens=message.max_output_tokens,
            prefix_tokens=message.prefix_tokens[: len(message.prefix)],
            waited_s=inbox_s + message.waited_ms / 1000,
        )
        item.forecast = self.estimates.forecast(item, now)
        item.cost_s = item.forecast.cost_s
        return item

    def _admit(self, item: Waiting, now: float) -> Decision | None:
        """Return a refusal, or None if the request may wait."""
        if not item.allowed and not self.manifest.all_approved:
            detail = "the team is not approved for this pool"
            return self._refuse(item, Reason.NOT_APPROVED, detail, None, now)
        memory = self.estimates.largest_memory
        if 0 < memory < item.prompt_tokens + item.output_tokens:
            detail = f"larger than an endpoint's memory of {memory} tokens"
            return self._refuse(item, Reason.TOO_LARGE, detail, None, now)
        has_endpoint = self.estimates.candidates(item, now)
        if not has_endpoint and not self.estimates.awaits_limit(item, now):
            detail = "no endpoint of the pool takes new work"
            retry_s = self.estimates.pause_s(item, now) or RETRY_RANGE_S[0]
            return self._refuse(item, Reason.NO_ENDPOINT, detail, retry_s, now)
        limit = self.manifest.teams[item.team].max_waiting
        if self.queue.team_length(item.rank, item.team) >= limit:
            detail = f"{limit} requests of the team wait"
            return self._refuse(
                item,
                Reason.TEAM_LIMIT,
                detail,
                self.capacity.retry_s(item.rank, now),
                now,
            )
        left_s = item.deadline - now
        if MARGIN * item.forecast.least_s > left_s:
            detail = "no endpoint can answer within the deadline"
            return self._refuse(item, Reason.DEADLINE, detail, None, now)
        wait_s = self.capacity.wait_s(item, now)
        if wait_s + item.forecast.least_s > left_s:
            detail = "the queue is too long for the deadline"
            return self._refuse(
                item,
                Reason.DEADLINE,
                detail,
                self.capacity.retry_s(item.rank, now),
                now,
            )
        if not self.capacity.is_full(now) or self.capacity.meets_objective(item, now):
            return None
        item.rank += LATE_RANKS
        if self.capacity.will_expire(item, now):
            detail = "the queue is too long for the objective"
            return self._refuse(
                item,
                Reason.OBJECTIVE,
                detail,
                self.capacity.retry_s(item.rank, now),
                now,
            )
        return None

    def _shed_excess(self, now: float) -> list[Decision]:
        """Refuse requests from the lowest tier while too many are waiting."""
        decisions = []
        limit = self.manifest.pools[self.pool].max_waiting
        while len(self.queue) > limit:
            item = self.queue.lowest()
            if item is None:
                break
            self.queue.remove(item.key)
            self._refund(item)
            retry_s = self.capacity.retry_s(item.rank, now)
            detail = f"{limit} requests wait in the pool"
            decisions.append(
                self._refuse(item, Reason.OVERLOADED, detail, retry_s, now)
            )
        return decisions

    def _expire(self, now: float) -> list[Decision]:
        """Refuse requests whose latest grant time has passed, or queue them as late."""
        decisions = []
        while self.expiry and self.expiry[0][0] <= now:
            _, key, attempt = heapq.heappop(self.expiry)
            item = self.queue.by_key.get(key)
            if item is None or item.attempt != attempt:
                continue
            if self.capacity.latest_grant(item) > now:
                # It was found to be late before, and has a later entry.
                continue
            self.queue.remove(key)
            if not item.is_late():
                item.rank += LATE_RANKS
                if not self.capacity.will_expire(item, now):
                    self._enqueue(item)
                    continue
            decisions.append(self._refuse_expired(item, now))
        return decisions

    def _refuse_expired(self, item: Waiting, now: float) -> Decision:
        """Refuse a request that has waited and can no longer be served in time."""
        self._refund(item)
        detail = "the deadline or objective can no longer be met"
        retry_s = self.capacity.retry_s(item.rank, now)
        return self._refuse(item, Reason.DEADLINE, detail, retry_s, now)

    def _refuse_hopeless(self, now: float) -> list[Decision]:
        """Refuse late requests that will expire anyway, the last ones first.

        A burst that lasts longer than expected leaves less capacity than was
        predicted when they were admitted.
        """
        decisions = []
        item = self.queue.lowest()
        while (
            item is not None and item.is_late() and self.capacity.will_expire(item, now)
        ):
            self.queue.remove(item.key)
            decisions.append(self._refuse_expired(item, now))
            item = self.queue.lowest()
        return decisions

    def _remember_finished(
        self, key: RequestKey, endpoint: EndpointId, now: float
    ) -> None:
        self.recent[key] = Recent(endpoint, now)
        if len(self.recent) > MAX_RECENT:
            self.recent.popitem(last=False)

    def _drop_old_recent(self, now: float) -> None:
        while self.recent:
            key, recent = next(iter(self.recent.items()))
            if now - recent.ended < RECENT_S:
                return
            del self.recent[key]


def new_pool_scheduler(
    pool: PoolId, manifest: Manifest, now: float, rng: random.Random | None = None
) -> PoolScheduler:
    """Return a scheduler with the endpoints of the manifest and no requests."""
    scheduler = PoolScheduler(pool, manifest, now, rng or random.Random())
    scheduler.reconfigure(manifest, now)
    return scheduler


_NOT_RUN = {
    ReleaseResult.NOT_SENT,
    ReleaseResult.UNREACHABLE,
    ReleaseResult.REJECTED,
}


def _deny(
    message: Acquire,
    frontend: InstanceId,
    reason: Reason,
    detail: str,
    ran: bool = False,
) -> Decision:
    refusal = Refuse(message.key, message.attempt, reason, detail, -1, ran)
    return Decision(frontend, refusal)

"""Hosts the schedulers of the pools that this instance coordinates.

Messages from frontends are passed to the scheduler of their pool, and its decisions
are sent back. A scheduler is created when the first message for its pool arrives. It
gives no grants until the frontends have registered their requests in flight, and is
removed after some idle time.
"""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import trio

from savorydyke import _logs
from savorydyke._capacity import Capacity
from savorydyke._configuration_age import boot_time
from savorydyke._endpoint_load import Running
from savorydyke._endpoint_states import EndpointStates
from savorydyke._fair_queue import URGENCIES, request_rank
from savorydyke._ids import (
    EndpointId,
    InstanceId,
    PoolId,
    Reason,
    ReleaseResult,
    RequestKey,
    SoftwareVersion,
)
from savorydyke._manifest import Manifest
from savorydyke._membership import Membership
from savorydyke._messages import (
    Acquire,
    Grant,
    Queued,
    Refuse,
    Register,
    Release,
    Started,
    Withdraw,
)
from savorydyke._pool_scheduler import Decision, PoolScheduler, new_pool_scheduler
from savorydyke._quota import FOLLOWER_MAX_AGE_S, Quotas
from savorydyke._request_limits import RequestLimits
from savorydyke._route_pools import RoutePools
from savorydyke._stream_versions import UNKNOWN_DETAIL, StreamVersions
from savorydyke._timers import Gate, TimerService
from savorydyke._timing import VIEW_WAIT_S
from savorydyke._untrusted import shown
from savorydyke.scheduling import Inbox, MessageCosts, PoolMessage, Received

TICK_S = 0.1
"""Also the time until a waiting request is acknowledged. It is less than the silence
after which frontends place requests themselves."""
REGISTRATION_TIMEOUT_S = 1.5
IDLE_S = 10.0
"""Time for which a pool is hosted on that another instance coordinates."""
UNUSED_IDLE_S = 1.0
"""Same if no request for it has come. While a fleet starts, each instance is the
coordinator of all pools for a moment."""
STALL_S = 1.0
UNKNOWN_STREAM_RETRY_MS = 500
TURN_S = 0.005
"""Time after which other tasks run, also those that receive messages."""
QUOTA_WAIT_S = 0.5
"""Time for which a request waits until its quota is known."""

log = _logs.component_logger("home")

Answer = Callable[[InstanceId, Grant | Refuse | Queued], None]
CancelOrphan = Callable[[EndpointId, Running], None]


@dataclass(frozen=True)
class Deferred:
    """A request that waits for its quota to be known.

    Attributes
    ----------
    since, tried : float
        When it came, and when it was tried last.
    """

    since: float
    tried: float
    sender: InstanceId
    message: Acquire


@dataclass(frozen=True)
class Unresolved:
    """A request whose stream is not known yet.

    Attributes
    ----------
    asked : float
        When it came, on a clock that counts suspension.
    """

    sender: InstanceId
    message: Acquire
    asked: float


@dataclass
class HostedPool:
    """A scheduler with the state of its hosting.

    Attributes
    ----------
    unregistered : set of InstanceId
        Frontends that have not yet registered their requests in flight.
    unreported : set of EndpointId
        Endpoints that have not yet reported whether they are leaving.
    is_coordinator : bool
        Whether this instance was the coordinator at the latest tick. Frontends
        that learn of the change sooner send requests here before that.
    unresolved : list of Unresolved
        Requests whose streams are not known yet.
    deferred : dict of RequestKey to Deferred
        Requests that wait for their quotas to be known.
    unacknowledged : dict
        Frontends and attempts of waiting requests that have no acknowledgement yet.
    """

    scheduler: PoolScheduler
    registration_deadline: float
    unregistered: set[InstanceId]
    unreported: set[EndpointId]
    used: float
    is_coordinator: bool = False
    unresolved: list[Unresolved] = field(default_factory=list)
    deferred: dict[RequestKey, Deferred] = field(default_factory=dict)
    unacknowledged: dict[RequestKey, tuple[InstanceId, int]] = field(
        default_factory=dict
    )

    def is_unused(self) -> bool:
        """Return whether no request has come, so that there is nothing to remember."""
        scheduler = self.scheduler
        budget = scheduler.retry_budget
        has_counted = budget is not None and (budget.requests or budget.retries)
        known = scheduler.placed or scheduler.recent or has_counted
        return not (known or self.unresolved or self.deferred)

    def is_complete(self) -> bool:
        """Return whether all frontends have registered and all endpoints reported."""
        return not self.unregistered and not self.unreported


@dataclass
class PoolHost:
    """All schedulers hosted here.

    Attributes
    ----------
    answer : callable
        Sends a grant, a refusal or an acknowledgement to a frontend.
    cancel_orphan : callable
        Cancels, at its endpoint, a request that has lost its frontend.
    endpoints_report : bool
        Whether endpoints report themselves that they are leaving; otherwise the
        manifest says so.
    configure_scheduler : callable
        Sets the quotas and the retry budget of a new scheduler.
    on_takeover : callable
        Called with a scheduler when this instance becomes the coordinator.
    limits : RequestLimits
        Limits that endpoints have named, for new schedulers.
    rejections : RequestLimits
        Numbers of rejections that endpoints bear, for new schedulers.
    versions : StreamVersions
        At which software versions streams began.
    route_pools : RoutePools
        Which pools may have begun the streams of each route.
    request_view : callable
        Lets all changes of endpoints up to a time be known here soon.
    has_reached_most : bool
        Whether this instance has been linked to most of those listed since its start.
    reporting : set of InstanceId
        Instances that report what they send; earlier builds do not.
    awaits_reports : trio.Event
        Set when grants wait for the reports of endpoints; replaced by whoever asks
        these for them.
    on_decided : callable
        Called with each decision.
    hosting : Gate
        Open while a pool is hosted here.
    inbox : Inbox
        Messages that wait to be processed, while `run` runs.
    costs : MessageCosts
        What the messages cost.
    on_processed : callable
        Called with the kind of each message, its time in the inbox and its processor
        time.
    on_unused : callable
        Called with the pool of each grant that came back unused.
    """

    membership: Membership
    states: EndpointStates
    manifest: Callable[[], Manifest | None]
    answer: Answer
    cancel_orphan: CancelOrphan
    orphan_grace_s: float
    rng: random.Random
    endpoints_report: bool = True
    configure_scheduler: Callable[[PoolScheduler], None] = field(
        default=lambda scheduler: None
    )
    on_takeover: Callable[[PoolScheduler], None] = field(default=lambda scheduler: None)
    limits: RequestLimits = field(default_factory=RequestLimits)
    rejections: RequestLimits = field(default_factory=RequestLimits)
    versions: StreamVersions = field(default_factory=StreamVersions)
    route_pools: RoutePools = field(default_factory=RoutePools)
    request_view: Callable[[float], None] = field(default=lambda asked: None)
    hosted: dict[PoolId, HostedPool] = field(default_factory=dict)
    has_reached_most: bool = False
    reporting: set[InstanceId] = field(default_factory=set)
    awaits_reports: trio.Event = field(default_factory=trio.Event)
    last_tick: float = field(default_factory=trio.current_time)
    on_decided: Callable[[PoolScheduler, Decision], None] = field(
        default=lambda scheduler, decision: None
    )
    hosting: Gate = field(default_factory=Gate)
    inbox: Inbox = field(default_factory=Inbox)
    costs: MessageCosts = field(default_factory=MessageCosts)
    on_processed: Callable[[str, float, float], None] = field(
        default=lambda kind, waited_s, work_s: None
    )
    on_unused: Callable[[PoolId], None] = field(default=lambda pool: None)
    on_failure: Callable[[str], None] = field(default=lambda kind: None)
    has_messages: trio.Event = field(default_factory=trio.Event)
    is_running: bool = False

    # Messages

    def handle(self, sender: InstanceId, message: PoolMessage) -> None:
        """Process a message of a frontend, at once or after others."""
        if not self.is_running:
            self._process(sender, message, 0.0)
            return
        self.inbox.put(sender, message, trio.current_time(), self._rank(message))
        self.has_messages.set()

    def _rank(self, message: PoolMessage) -> int:
        """Return the rank of a request by tier and urgency."""
        manifest = self.manifest()
        if not isinstance(message, Acquire) or manifest is None:
            return 0
        tier = manifest.rank(message.team) if message.team in manifest.teams else 0
        return request_rank(tier, message.urgency)

    async def work(self) -> None:
        """Process the messages in the inbox until cancelled."""
        while True:
            await self.has_messages.wait()
            until = trio.current_time() + TURN_S
            while (now := trio.current_time()) < until:
                received = self.inbox.take(now)
                if received is None:
                    self.has_messages = trio.Event()
                    break
                self._process_received(received, now)
            await trio.lowlevel.checkpoint()

    def _process_received(self, received: Received, now: float) -> None:
        """Process a message; one that can not be processed costs itself only."""
        kind, waited_s = type(received.message).__name__, now - received.at
        self.costs.begin()
        try:
            self._process(received.sender, received.message, waited_s)
        except Exception as error:
            extra = {"peer": received.sender, "kind": kind, "error": shown(error)}
            log.exception("Message failed.", extra=extra)
            self.on_failure(kind)
        self.on_processed(kind, waited_s, self.costs.end(kind, waited_s))

    def _process(
        self, sender: InstanceId, message: PoolMessage, inbox_s: float
    ) -> None:
        now = trio.current_time()
        self._check_stall(now)
        if isinstance(message, Started | Register):
            self._record_streams(message, boot_time())
        match message:
            case Acquire():
                self._acquire(sender, message, now, inbox_s=inbox_s)
            case Register():
                self._register(sender, message, now)
            case Release() | Started() | Withdraw():
                hosted = self.hosted.get(message.pool)
                if hosted is not None:
                    hosted.used = now
                    if isinstance(message, Withdraw):
                        hosted.deferred.pop(message.key, None)
                    self._send(
                        hosted.scheduler,
                        self._apply(hosted.scheduler, sender, message, now),
                    )

    def _apply(
        self,
        scheduler: PoolScheduler,
        sender: InstanceId,
        message: Release | Started | Withdraw,
        now: float,
    ) -> list[Decision]:
        match message:
            case Release():
                if message.result is ReleaseResult.NOT_SENT:
                    self.costs.unused += 1
                    self.on_unused(message.pool)
                if message.result is ReleaseResult.UNREACHABLE:
                    extra = {"endpoint": message.endpoint, "entry": sender}
                    log.info("Endpoint not reached.", extra=extra)
                return scheduler.release(message, sender, now)
            case Started():
                return scheduler.started(message, now)
            case Withdraw():
                scheduler.withdraw(message.key)
                return []

    def _acquire(
        self,
        sender: InstanceId,
        message: Acquire,
        now: float,
        since: float | None = None,
        asked: float | None = None,
        inbox_s: float = 0.0,
    ) -> None:
        """Process a request, which has waited for its quota since a time.

        Parameters
        ----------
        asked : float or None
            When it came, on a clock that counts suspension; None for now.
        inbox_s : float
            Time since it was received.
        """
        hosted = self._host(message.pool, now)
        if hosted is None:
            reason = Reason.NO_CONFIGURATION
            detail = "the home of the pool has no configuration in force"
            refusal = Refuse(message.key, message.attempt, reason, detail, 1000, False)
            self.answer(sender, refusal)
            return
        hosted.used = now
        if message.stream and not message.version:
            asked = boot_time() if asked is None else asked
            version = self._version_of(message, asked)
            if not version:
                self._defer_unknown(hosted, Unresolved(sender, message, asked))
                return
            message = replace(message, version=version)
        decisions = hosted.scheduler.acquire(message, sender, now, inbox_s)
        if any(_is_quota_refusal(d) for d in decisions) and self._defer_unknown_quota(
            hosted, Deferred(now if since is None else since, now, sender, message)
        ):
            return
        self._send(hosted.scheduler, decisions)
        if (
            hosted.scheduler.grants_enabled
            and message.key in hosted.scheduler.queue.by_key
        ):
            hosted.unacknowledged[message.key] = (sender, message.attempt)

    def _acknowledge(self, hosted: HostedPool) -> None:
        """Tell frontends which of their recent requests wait here.

        Most requests are decided before that, so that a burst costs fewer frames.
        """
        waiting, hosted.unacknowledged = hosted.unacknowledged, {}
        for key, (sender, attempt) in waiting.items():
            item = hosted.scheduler.queue.by_key.get(key)
            if item is not None and (item.frontend, item.attempt) == (sender, attempt):
                self.answer(sender, Queued(key, attempt))

    def _defer_unknown_quota(self, hosted: HostedPool, deferred: Deferred) -> bool:
        """Keep a request until it is known here what is left of its quota.

        Only the coordinator knows that, once it has the balances of the one before or
        the reports of the frontends, and these follow it. Returns false if the request
        is to be refused.
        """
        message, now = deferred.message, deferred.tried
        is_coordinator = self.membership.is_coordinator(message.pool)
        quotas = hosted.scheduler.quotas
        is_known = quotas.balances is not None or quotas.uses_reports
        is_settled = quotas.share == 1.0 or now - quotas.opened > QUOTA_WAIT_S
        if is_coordinator and is_known and is_settled:
            return False
        if now - deferred.since > QUOTA_WAIT_S:
            return not is_coordinator
        hosted.deferred[message.key] = deferred
        return True

    def _retry_deferred(self, hosted: HostedPool, now: float) -> None:
        """Try requests again that wait for their quotas to be known."""
        waiting, hosted.deferred = hosted.deferred, {}
        for deferred in waiting.values():
            message = deferred.message
            waited_ms = int((now - deferred.tried) * 1000)
            again = replace(
                message,
                deadline_ms=_less(message.deadline_ms, waited_ms),
                objective_ms=_less(message.objective_ms, waited_ms),
                abandon_after_ms=_less(message.abandon_after_ms, waited_ms),
            )
            self._acquire(deferred.sender, again, now, deferred.since)

    def _version_of(self, message: Acquire, asked: float) -> SoftwareVersion:
        """Return the version that began a stream, empty if it is not known."""
        now, pool = boot_time(), message.pool
        version = self.versions.known_version(message.stream, pool, now)
        if version or self.route_pools.is_shared(pool, now):
            return version
        is_told = self.membership.reaches_most_listed(
            trio.current_time()
        ) and self.membership.is_coordinator(pool)
        return self.versions.only_version(pool, now, asked, is_told)

    def _defer_unknown(self, hosted: HostedPool, unresolved: Unresolved) -> None:
        """Refuse a stream, unless it may become known soon.

        A frontend that has not registered may know it, and the list of endpoints, once
        it is as late as the request, may show that there is one version only.
        """
        sender, message = unresolved.sender, unresolved.message
        now, asked = boot_time(), unresolved.asked
        may_be_only = self.versions.viewed < asked and not self.route_pools.is_shared(
            message.pool, now
        )
        if may_be_only:
            self.request_view(asked)
        is_waiting = may_be_only and now - asked <= VIEW_WAIT_S
        if is_waiting or not hosted.scheduler.grants_enabled:
            hosted.unresolved.append(unresolved)
            self.answer(sender, Queued(message.key, message.attempt))
            return
        reason, retry_ms = Reason.UNKNOWN_STREAM, UNKNOWN_STREAM_RETRY_MS
        refusal = Refuse(
            message.key, message.attempt, reason, UNKNOWN_DETAIL, retry_ms, False
        )
        extra = {"request": message.key, "stream": message.stream, "entry": sender}
        log.info("Stream unknown.", extra=extra)
        self.answer(sender, refusal)

    def _record_streams(
        self, message: Started | Register, now_with_suspension: float
    ) -> None:
        """Record at which versions streams of a pool began."""
        rows = message.running if isinstance(message, Register) else (message,)
        for row in rows:
            if row.stream and row.version:
                self.versions.record_coordinated(
                    message.pool, row.stream, row.version, now_with_suspension
                )

    def _register(self, sender: InstanceId, message: Register, now: float) -> None:
        hosted = self._host(message.pool, now)
        if hosted is None:
            return
        hosted.scheduler.register(message, sender, now)
        hosted.unregistered.discard(sender)
        if hosted.is_complete():
            self._enable_grants(hosted, now)

    def _send(self, scheduler: PoolScheduler, decisions: list[Decision]) -> None:
        now = trio.current_time()
        for decision in decisions:
            self._log(scheduler, decision, now)
            self.on_decided(scheduler, decision)
            self.answer(decision.frontend, decision.answer)

    def _log(self, scheduler: PoolScheduler, decision: Decision, now: float) -> None:
        """Log a decision with the state that it depends on."""
        answer = decision.answer
        extra: dict[str, object] = {
            "request": answer.key.rpartition("/")[2],
            "entry": decision.frontend,
            "pool": scheduler.pool,
            "waiting": len(scheduler.queue),
            "share": round(scheduler.capacity.share, 2),
            "rank": decision.rank,
        }
        if isinstance(answer, Refuse):
            extra |= {"reason": answer.reason.value, "detail": answer.detail}
            extra["retry_ms"] = answer.retry_ms
            extra |= _overload_fields(scheduler.capacity, decision.rank, now)
            log.info("Refused.", extra=extra)
            return
        load = scheduler.endpoints[answer.endpoint]
        extra |= {
            "endpoint": answer.endpoint,
            "running": len(load.running),
            "unread_tokens": load.unstarted_tokens,
            "slowness": round(load.prefill_factor, 2),
        }
        item = load.running.get(answer.key)
        if answer.cached_tokens:
            extra["cached_tokens"] = answer.cached_tokens
        if load.pace is not None:
            extra |= {
                "kind": round(load.pace.kind, 2),
                "pace": round(load.pace.pace(now), 2),
                "pace_used": load.pace.is_useful(),
            }
        if item is not None:
            extra["first_ms"] = int(item.predicted_first_s * 1000)
            extra |= {"team": item.team, "quota_tokens": item.quota_tokens}
        log.info("Granted.", extra=extra)

    # Schedulers

    def host(self, pool: PoolId) -> HostedPool | None:
        """Return a pool that is hosted here from now on, None if it is not known."""
        return self._host(pool, trio.current_time())

    def _host(self, pool: PoolId, now: float) -> HostedPool | None:
        hosted = self.hosted.get(pool)
        if hosted is not None:
            return hosted
        manifest = self.manifest()
        if manifest is None or pool not in manifest.pools:
            return None
        scheduler = new_pool_scheduler(pool, manifest, now, self.rng)
        self.configure_scheduler(scheduler)
        scheduler.grants_enabled = False
        scheduler.may_begin_at = lambda version: self.versions.may_begin(pool, version)
        scheduler.update_joining(now)
        for endpoint in self.states.leaving:
            scheduler.set_leaving(endpoint, True)
        frontends = {*self.membership.live(), self.membership.id}
        # A slow one registers late.
        frontends = {n for n in frontends if not self.membership.is_slow(n)}
        unreported = set(scheduler.endpoints) if self.endpoints_report else set()
        is_coordinator = self.membership.is_coordinator(pool)
        hosted = HostedPool(
            scheduler,
            now + REGISTRATION_TIMEOUT_S,
            frontends,
            unreported,
            now,
            is_coordinator,
        )
        for endpoint, known in self.limits.named.items():
            scheduler.set_limit(endpoint, known.per_s, now)
        for endpoint, known in self.rejections.named.items():
            scheduler.set_rejection_limit(endpoint, known.per_s)
        self.set_share(scheduler)
        self.hosted[pool] = hosted
        self.hosting.set(True)
        log.info("Pool hosted.", extra={"pool": pool})
        if unreported:
            self.awaits_reports.set()
        return hosted

    def _enable_grants(self, hosted: HostedPool, now: float) -> None:
        if hosted.scheduler.grants_enabled:
            return
        hosted.scheduler.grants_enabled = True
        self._resolve_streams(hosted, now)
        self._send(hosted.scheduler, hosted.scheduler.grant_waiting(now))

    def resolve_streams(self) -> None:
        """Process requests again whose streams may be known now."""
        now = trio.current_time()
        for hosted in list(self.hosted.values()):
            self._resolve_streams(hosted, now)

    def _resolve_streams(self, hosted: HostedPool, now: float) -> None:
        unresolved, hosted.unresolved = hosted.unresolved, []
        for item in unresolved:
            self._acquire(item.sender, item.message, now, asked=item.asked)

    def is_coordinating(self) -> bool:
        """Return whether this instance coordinates a pool."""
        return any(hosted.is_coordinator for hosted in self.hosted.values())

    def set_share(self, scheduler: PoolScheduler) -> None:
        """Limit what a scheduler may use while another coordinator may exist."""
        share = self.membership.share(trio.current_time())
        is_coordinator = self.membership.is_coordinator(scheduler.pool)
        own = share if is_coordinator else self.membership.equal_share()
        scheduler.capacity.share = own
        scheduler.request_trials_enabled = is_coordinator and share == 1.0
        scheduler.set_limit_share(own)
        self.has_reached_most = self.has_reached_most or share == 1.0
        before = scheduler.quotas.share
        self._set_quota_share(scheduler.quotas, is_coordinator)
        if scheduler.quotas.share != before:
            extra = {"pool": scheduler.pool, "before": round(before, 3)}
            extra["share"] = round(scheduler.quotas.share, 3)
            log.info("Share of quotas changed.", extra=extra)
        if scheduler.retry_budget is not None:
            scheduler.retry_budget.share = own

    def _set_quota_share(self, quotas: Quotas, is_coordinator: bool) -> None:
        """Set which part of the quotas may be admitted here.

        Each instance follows one coordinator, which gives out the parts of those that
        follow it. Frontends may see a new coordinator before it does.
        """
        membership, now = self.membership, trio.current_time()
        manifest = self.manifest()
        quotas.pools = max(1, len(manifest.pools)) if manifest else 1
        if not is_coordinator:
            quotas.set_share(membership.equal_share())
            return
        expected = membership.listed_count()
        if self.has_reached_most:
            expected = membership.expected_count()
        following = {
            name
            for name in membership.members
            if now - quotas.followers.get(name, -math.inf) <= FOLLOWER_MAX_AGE_S
        }
        # What an earlier process of this instance sent is known to nobody.
        if len(quotas.covering & {*following, membership.id}) >= expected:
            quotas.use_reports()
        earlier_builds = membership.members.keys() - self.reporting
        heard = {name for name in earlier_builds if membership.is_heard(name, now)}
        share = min(1.0, (1 + len(following | heard)) / expected)
        quotas.set_share(share, not heard and following <= quotas.covering)

    # Events

    def mark_reported(self, pool: PoolId, endpoint: EndpointId) -> None:
        """Record that an endpoint has reported whether it is leaving."""
        hosted = self.hosted.get(pool)
        if hosted is not None:
            hosted.unreported.discard(endpoint)

    def reconfigure(self, manifest: Manifest) -> None:
        """Apply a new manifest to all schedulers."""
        now = trio.current_time()
        for hosted in list(self.hosted.values()):
            self._send(hosted.scheduler, hosted.scheduler.reconfigure(manifest, now))
            for endpoint in self.states.leaving:
                hosted.scheduler.set_leaving(endpoint, True)

    def update_joining(self) -> None:
        """Let new requests begin at the software versions that are stored by now."""
        now = trio.current_time()
        for hosted in list(self.hosted.values()):
            self._send(hosted.scheduler, hosted.scheduler.update_joining(now))

    def set_limit(self, endpoint: EndpointId, per_s: float | None) -> None:
        """Apply in all schedulers the limit that an endpoint has named, or its end."""
        now = trio.current_time()
        for hosted in self.hosted.values():
            hosted.scheduler.set_limit(endpoint, per_s, now)
            self.set_share(hosted.scheduler)

    def set_rejection_limit(self, endpoint: EndpointId, per_s: float | None) -> None:
        """Apply in all schedulers how many rejections a second an endpoint bears."""
        for hosted in self.hosted.values():
            hosted.scheduler.set_rejection_limit(endpoint, per_s)

    def set_leaving(self, endpoint: EndpointId, leaving: bool) -> None:
        """Record in all schedulers whether an endpoint is leaving."""
        for hosted in self.hosted.values():
            hosted.scheduler.set_leaving(endpoint, leaving)

    def refuse_held(self) -> None:
        """Refuse waiting requests with suspects that are now held back."""
        now = trio.current_time()
        for hosted in self.hosted.values():
            self._send(hosted.scheduler, hosted.scheduler.refuse_held(now))

    def frontend_lost(self, frontend: InstanceId) -> None:
        """Record in all schedulers that an instance has died."""
        now = trio.current_time()
        for hosted in self.hosted.values():
            hosted.scheduler.frontend_lost(frontend, now)
            hosted.unregistered.discard(frontend)

    # Periodic work

    async def run(self, timers: TimerService) -> None:
        """Run the periodic work of all schedulers until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.work)
            self.is_running = True
            try:
                await timers.run_while(self.hosting, TICK_S, self._tick_all)
            finally:
                self.is_running = False

    def _tick_all(self) -> None:
        now = trio.current_time()
        self._check_stall(now)
        for pool, hosted in list(self.hosted.items()):
            self._tick(pool, hosted, now)
        if self.costs.is_due(now):
            extra = {"inbox": len(self.inbox), **self.costs.report(now)}
            log.info("Messages processed.", extra=extra)

    def _check_stall(self, now: float) -> None:
        """Treat all schedulers as new after a pause of this process.

        In the meantime another coordinator may have granted requests, and endpoints
        may have begun to leave.
        """
        if now - self.last_tick > STALL_S:
            for hosted in self.hosted.values():
                hosted.scheduler.coordinating_since = now
                if hosted.scheduler.retry_budget is not None:
                    hosted.scheduler.retry_budget.opened = now
                hosted.scheduler.grants_enabled = False
                hosted.registration_deadline = now + REGISTRATION_TIMEOUT_S
                if self.endpoints_report:
                    hosted.unreported = set(hosted.scheduler.endpoints)
                    self.awaits_reports.set()
                self.on_takeover(hosted.scheduler)
        self.last_tick = max(self.last_tick, now)

    def _tick(self, pool: PoolId, hosted: HostedPool, now: float) -> None:
        scheduler = hosted.scheduler
        if now >= hosted.registration_deadline or hosted.is_complete():
            self._enable_grants(hosted, now)
        self._resolve_streams(hosted, now)
        self.set_share(scheduler)
        is_coordinator = self.membership.is_coordinator(pool)
        if is_coordinator and not hosted.is_coordinator:
            self.on_takeover(scheduler)
        if is_coordinator != hosted.is_coordinator:
            coordinator = self.membership.coordinator(pool)
            extra = {"pool": pool, "home": coordinator, "was": hosted.is_coordinator}
            log.info("Coordinator changed.", extra=extra)
        hosted.is_coordinator = is_coordinator
        self._retry_deferred(hosted, now)
        self._acknowledge(hosted)
        if not is_coordinator:
            scheduler.suspend(now)
        for endpoint, item in scheduler.release_orphans(now - self.orphan_grace_s, now):
            self.cancel_orphan(endpoint, item)
        self._send(scheduler, scheduler.tick(now))
        if is_coordinator or len(scheduler.queue) > 0:
            hosted.used = now
        elif now - hosted.used > (UNUSED_IDLE_S if hosted.is_unused() else IDLE_S):
            del self.hosted[pool]
            self.hosting.set(bool(self.hosted))
            log.info("Pool no longer hosted.", extra={"pool": pool})


def _less(milliseconds: int, passed: int) -> int:
    """Return what is left of a time, which is negative for no limit."""
    return milliseconds if milliseconds < 0 else max(0, milliseconds - passed)


def _is_quota_refusal(decision: Decision) -> bool:
    answer = decision.answer
    return isinstance(answer, Refuse) and answer.reason is Reason.QUOTA


def _overload_fields(
    capacity: Capacity, rank: int | None, now: float
) -> dict[str, object]:
    """Return what tells an overload by more urgent requests from other causes."""
    fields: dict[str, object] = {"free_slots": capacity.free_slots(now)}
    if rank is not None:
        fields["utilization_above"] = round(capacity.utilization_above(rank, now), 2)
        fields["granted_share"] = round(capacity.shares.granted_share(rank, now), 2)
    return fields


def tier_of(scheduler: PoolScheduler, rank: int) -> str:
    """Return the tier of a rank by tier and urgency."""
    place = rank // URGENCIES
    tiers = scheduler.manifest.tiers.values()
    return next((tier.id for tier in tiers if tier.rank == place), "")

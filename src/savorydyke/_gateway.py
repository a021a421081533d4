"""An instance that serves routed callers on the users' platform."""

import random
import time
from dataclasses import dataclass, field, replace
from functools import partial

import trio

from savorydyke import _logs
from savorydyke._configuration_age import ConfigurationAge, boot_time
from savorydyke._directory import Directory
from savorydyke._endpoint_links import EndpointLinks
from savorydyke._endpoint_states import EndpointStates
from savorydyke._endpoint_ways import EndpointWays
from savorydyke._fair_queue import request_rank
from savorydyke._fallback_placement import has_memory, own_tokens, place_fallback
from savorydyke._gateway_settings import GatewaySettings
from savorydyke._grant_client import (
    COORDINATOR_STALLED_S,
    FALLBACK,
    Demand,
    GrantClient,
    Granted,
)
from savorydyke._ids import (
    EndpointId,
    InstanceId,
    PoolId,
    Revision,
    SoftwareVersion,
    SuspectId,
    TeamId,
    is_digest,
)
from savorydyke._log_writer import LogBuffer
from savorydyke._membership import Membership, rendezvous_score
from savorydyke._messages import (
    Acquire,
    ConfigurationPush,
    ConfigurationRequest,
    Grant,
    Heartbeat,
    Message,
    Queued,
    QuotaPush,
    Refuse,
    Register,
    Release,
    Started,
    StreamPush,
    Withdraw,
)
from savorydyke._metrics import Metrics
from savorydyke._overload import Overload
from savorydyke._peers import Peers
from savorydyke._pool_host import HostedPool, PoolHost, tier_of
from savorydyke._pool_scheduler import PoolScheduler
from savorydyke._quarantine import Quarantine
from savorydyke._quota import Quotas, Tolerance, fallback_quota
from savorydyke._quota_balances import QuotaBalances
from savorydyke._quota_reports import QuotaReports
from savorydyke._rejections import uncoordinated_pause_s
from savorydyke._request_limits import RequestAllowance, RequestLimits
from savorydyke._retry_budget import RetryBudget
from savorydyke._routes import TeamQuota
from savorydyke._shared_evidence import SharedEvidence
from savorydyke._store_contact import StoreContact
from savorydyke._store_records import StoreRecords
from savorydyke._store_restores import new_store_restores
from savorydyke._stream_records import StreamRecords
from savorydyke._timers import TimerService
from savorydyke._timing import watch_pause_s
from savorydyke.platform import InstanceRecord, Store
from savorydyke.rollouts._keeper import Rollouts
from savorydyke.scheduling import UNKNOWN_RATIO, FallbackMemory, OutputTail

HEARTBEAT_INTERVAL_S = 0.25
DEAD_AFTER_S = 0.9
"""A dead coordinator delays its requests by about twice the shortest objective, which
is 0.4 s."""
LARGE_FLEET_TICKS = 3
"""Factor by which heartbeats and timeouts are slower in a large fleet."""
FALLBACK_LIMIT_SHARE = 0.5
"""Share of the limits that endpoints name which fallback placement may use, over all
instances. The coordinator may be working and granting at the same time."""
MIN_RETRY_S = 0.1
"""Shortest retry delay in refusals: about the time in which a slot of a pool becomes
free."""
STREAM_TELL_S = 0.1
"""Streams that began later than this before their coordinator ended do not go on."""
EVIDENCE_FANOUT = 3
"""Peers that are told of suspects under which one process has ended. Those whom nobody
tells learn of it with the next complete reports."""
DELAY_CHECK_S = 0.1
"""Two late timers in a row tell that an instance is slow, also one at rest."""
READY_AGE_SHARE = 0.8
"""Age of the configuration, as a share of the bound on revoked keys, above which
the instance reports that it is not ready."""


log = _logs.component_logger("gateway")


@dataclass
class Gateway:
    """The components of one instance and the routing of messages between them.

    Attributes
    ----------
    store_records : StoreRecords
        Writes the records of this instance and of the fleet.
    stream_records : StreamRecords
        Keeps the software versions of streams in the store.
    rollouts : Rollouts
        The roll-outs of endpoint versions that operators order.
    fallback_quotas : Quotas
        This instance's part of what may be used without a loan, for requests that it
        places because the coordinator does not respond.
    links : EndpointLinks
        The endpoints that this instance reaches itself.
    ways : EndpointWays
        The ways to endpoints, also those through other instances.
    quarantine : Quarantine
        The requests and parts of prompts that are held back.
    limits, rejections : RequestLimits
        The limits on requests that endpoints have named, and the rejections a second
        that they bear.
    fallback_retries : dict of PoolId to RetryBudget
        What may be sent again of the requests that this instance places itself.
    fallback_allowances : dict of EndpointId to RequestAllowance
        What fallback placement may use of these.
    shared_evidence : SharedEvidence
        Keeps evidence and limits in the store.
    quota_balances : QuotaBalances
        Transfers quota balances when a pool's coordinator changes.
    quota_reports : QuotaReports
        Reports what is sent of the quotas, and keeps what coordinators lend.
    fallback_memory : FallbackMemory
        What fallback placement may use of endpoints' memory.
    stopping : bool
        Whether the stop signal has been received.
    announced_version : int
        Version of the configuration in the latest heartbeats.
    announced_evidence : tuple of int
        State of evidence and limits in the latest heartbeats to all peers.
    """

    settings: GatewaySettings
    rng: random.Random
    timers: TimerService
    store: Store
    configuration_age: ConfigurationAge
    directory: Directory
    membership: Membership
    peers: Peers
    states: EndpointStates
    links: EndpointLinks
    ways: EndpointWays
    quarantine: Quarantine
    limits: RequestLimits
    rejections: RequestLimits
    shared_evidence: SharedEvidence
    pool_host: PoolHost
    grant_client: GrantClient
    metrics: Metrics
    log_buffer: LogBuffer
    fallback_quotas: Quotas
    quota_balances: QuotaBalances
    quota_reports: QuotaReports
    overload: Overload
    store_records: StoreRecords
    stream_records: StreamRecords
    rollouts: Rollouts
    stopping: bool = False
    announced_version: int = 0
    announced_evidence: tuple[int, ...] = ()
    fallback_retries: dict[PoolId, RetryBudget] = field(default_factory=dict)
    fallback_allowances: dict[EndpointId, RequestAllowance] = field(
        default_factory=dict
    )
    fallback_memory: FallbackMemory = field(init=False)

    def __post_init__(self) -> None:
        self.fallback_memory = FallbackMemory(self.membership.id, rendezvous_score)

    def deliver(self, instance: InstanceId, message: Message) -> None:
        """Send a message to an instance, possibly this one."""
        if instance == self.membership.id:
            self.handle(instance, message)
        else:
            self.peers.send(instance, message)

    def handle(self, sender: InstanceId, message: Message) -> None:
        """Dispatch a message to the component that handles its type."""
        match message:
            case Acquire() | Register() | Release() | Started() | Withdraw():
                self.pool_host.handle(sender, message)
            case Grant() | Refuse() | Queued():
                self.grant_client.handle(sender, message)
            case Heartbeat():
                self._receive_heartbeat(sender, message)
            case ConfigurationRequest():
                self._answer_configuration(sender, message)
            case ConfigurationPush():
                self.directory.receive_push(message.record)
            case QuotaPush():
                if not self.quota_reports.receive(sender, message):
                    self.quota_balances.receive(message, trio.current_time())
            case StreamPush():
                self._receive_streams(sender, message)

    def _receive_heartbeat(self, sender: InstanceId, heartbeat: Heartbeat) -> None:
        now = trio.current_time()
        self.membership.receive_heartbeat(sender, heartbeat, now)
        self.states.update_from_peer(heartbeat.leaving_processes, now)
        self.quarantine.merge(heartbeat.losses, now)
        self.limits.merge(heartbeat.limits, now)
        self.rejections.merge(heartbeat.rejections, now)
        if heartbeat.revision > self.directory.version:
            request = ConfigurationRequest(Revision(self.directory.version))
            self.peers.send(sender, request)
            return
        self.configuration_age.confirm_from_peer(
            heartbeat.echo, heartbeat.confirmation_age_ms
        )

    def _receive_streams(self, sender: InstanceId, message: StreamPush) -> None:
        pools = [p for p in self.pools() if self.membership.coordinator(p) == sender]
        self.pool_host.versions.receive(message, pools, boot_time())

    def _answer_configuration(
        self, peer: InstanceId, request: ConfigurationRequest
    ) -> None:
        directory = self.directory
        if directory.version > request.revision:
            push = ConfigurationPush(Revision(directory.version), directory.record)
            self.peers.send(peer, push)

    async def run_heartbeats(self) -> None:
        """Send heartbeats and update the state of members until cancelled."""
        ticks_seen = 0
        async with self.timers.every(HEARTBEAT_INTERVAL_S) as ticks:
            async for _ in ticks:
                ticks_seen += 1
                now = trio.current_time()
                self.quarantine.review(now)
                self.limits.drop_old(now)
                self.rejections.drop_old(now)
                self.pool_host.versions.drop_old(boot_time())
                if not self.pool_host.hosting.is_open():
                    self._tell_streams()
                self.shared_evidence.check(now)
                self.store_records.check_fleet_records()
                has_evidence = self._has_new_evidence()
                has_changed = any(
                    (
                        self._update_slow(now),
                        self._update_cut_off(),
                        self._has_new_version(),
                        has_evidence,
                    )
                )
                is_regular = ticks_seen % self._adapt_to_fleet_size() == 0
                if not (is_regular or has_changed):
                    continue
                counter = self.membership.next_heartbeat(now)
                self.configuration_age.record_heartbeat(counter, boot_time())
                self._send_heartbeats(
                    counter, now, is_regular, has_changed, has_evidence
                )
                self.states.set_listed(self.directory.leaving_processes(), now)
                self.membership.update(now)
                self.apply_instance_records()

    async def tell_next_coordinators(self) -> None:
        """Tell the next coordinators which streams began, until cancelled."""
        await self.timers.run_while(
            self.pool_host.hosting, STREAM_TELL_S, self._tell_streams
        )

    async def observe_delays(self) -> None:
        """Let a timer tell often how late this process is, until cancelled."""
        async with self.timers.every(DELAY_CHECK_S) as ticks:
            async for _ in ticks:
                pass

    def _tell_streams(self) -> None:
        versions = self.pool_host.versions
        for pool in list(versions.untold):
            messages = versions.take_untold(pool)
            follower = self.membership.next_coordinator(pool)
            if follower is not None and self.membership.is_coordinator(pool):
                for message in messages:
                    self.peers.send(follower, message)

    def _has_new_version(self) -> bool:
        """Return whether the version has changed since the latest heartbeat.

        Peers are told at once, since they may ask the store only later.
        """
        has_changed = self.announced_version != self.directory.version
        self.announced_version = self.directory.version
        return has_changed

    def _has_new_evidence(self) -> bool:
        """Return whether evidence or limits are new since the latest heartbeats."""
        changes = (self.limits.changes, self.rejections.changes)
        state = (self.quarantine.changes, *changes)
        has_changed = self.announced_evidence != state or bool(self.quarantine.untold)
        self.announced_evidence = state
        return has_changed

    def _update_slow(self, now: float) -> bool:
        """Announce whether this instance is slow; return whether that has changed."""
        slow = self.overload.is_slow(now)
        if slow == self.membership.slow:
            return False
        self.membership.slow = slow
        self.membership.notify()
        delay_ms = int(self.overload.delay_s * 1000)
        log.info("Speed changed.", extra={"slow": slow, "delay_ms": delay_ms})
        return True

    def _update_cut_off(self) -> bool:
        """Announce whether this instance is cut off from all endpoints.

        Return whether that has changed.
        """
        has_changed = self.membership.cut_off != self.links.is_cut_off
        self.membership.cut_off = self.links.is_cut_off
        return has_changed

    def apply_instance_records(self) -> None:
        """Apply the addresses and weights of the instances' records in the store.

        A record may expire during a store outage although its instance is alive.
        Weights are therefore kept, so that coordinators do not change.
        """
        records = self.directory.instances.values()
        self.peers.set_listed({r.id: r.address for r in records})
        self.membership.listed = {r.id for r in records}
        self.membership.weights |= {r.id: r.cores for r in records}
        self.pool_host.reporting = {r.id for r in records if r.reports_quotas}

    def _adapt_to_fleet_size(self) -> int:
        """Set intervals and timeouts according to the size of the fleet.

        Returns
        -------
        int
            Ticks per heartbeat.
        """
        is_large = self.membership.is_large_fleet()
        ticks = LARGE_FLEET_TICKS if is_large else 1
        self.membership.heartbeat_interval_s = ticks * HEARTBEAT_INTERVAL_S
        self.membership.dead_after_s = ticks * DEAD_AFTER_S
        self.grant_client.coordinator_stalled_s = ticks * COORDINATOR_STALLED_S
        bounds = self.settings.bounds.apply
        # New endpoints get requests as soon as a coordinator knows them.
        waits_long = is_large and not self.pool_host.is_coordinating()
        self.directory.watch_pause_s = watch_pause_s(bounds, waits_long)
        return ticks

    def _due_peers(self, counter: int, has_changed: bool) -> list[InstanceId]:
        """Return the peers to send a heartbeat to.

        In a large fleet each instance and the coordinators hear of each other at each
        interval, others at every second one, which is still within the timeout.
        """
        peers = list(self.peers.links)
        is_due = counter % 2 == 0 or has_changed
        if is_due or not self.membership.is_large_fleet():
            return peers
        coordinators = {self.membership.coordinator(pool) for pool in self.pools()}
        if self.membership.id in coordinators:
            return peers
        return [peer for peer in peers if peer in coordinators]

    def _send_heartbeats(
        self,
        counter: int,
        now: float,
        is_regular: bool,
        has_changed: bool,
        has_evidence: bool,
    ) -> None:
        peers = self._due_peers(counter, has_changed)
        informed = self.rng.choice(peers) if peers and is_regular else None
        # Each instance passes on what it learns. If it sent everything each time, many
        # endpoints that end together would fill the links.
        repeated, single = (
            self.quarantine.take_untold(now) if has_evidence else ((), ())
        )
        told = self.rng.sample(peers, min(len(peers), EVIDENCE_FANOUT))
        losses, limits = self.quarantine.rows(now), self.limits.rows(now)
        rejections = self.rejections.rows(now)
        for peer in peers:
            member = self.membership.members.get(peer)
            rows = self.membership.rows(now) if peer == informed else ()
            heartbeat = Heartbeat(
                counter=counter,
                echo=member.last_direct_counter if member else 0,
                leaving=self.membership.leaving,
                revision=Revision(self.directory.version),
                confirmation_age_ms=self.configuration_age.age_ms(boot_time()),
                leaving_processes=self.states.observed_leaving(),
                rows=rows,
                slow=self.membership.slow,
                losses=(
                    *repeated,
                    *(single if peer in told else ()),
                    *(losses if peer == informed else ()),
                ),
                limits=limits if has_evidence or peer == informed else (),
                cut_off=self.membership.cut_off,
                rejections=rejections if has_evidence or peer == informed else (),
            )
            self.peers.send(peer, heartbeat)

    def is_ready(self) -> bool:
        """Return whether the balancer may send new callers to this instance."""
        if self.stopping or not self.directory.loaded:
            return False
        if self.overload.is_overloaded(trio.current_time()):
            return False
        age_s = self.configuration_age.age_s(boot_time())
        return age_s <= READY_AGE_SHARE * self.settings.bounds.apply.revocation_s

    def has_requests(self) -> bool:
        """Return whether requests of other instances are in progress here.

        These are waiting or running in a pool that this instance coordinates, or sent
        by it for an instance that is cut off.
        """
        hosted = self.pool_host.hosted.values()
        return bool(
            self.ways.forwarding
            or any(h.scheduler.queue.by_key or h.scheduler.placed for h in hosted)
        )

    def update_gauges(self) -> None:
        """Set the gauges to the current values."""
        schedulers = [hosted.scheduler for hosted in self.pool_host.hosted.values()]
        requests_held = sum(map(is_digest, self.quarantine.held))
        values = {
            "version": self.directory.version,
            "config_age_ms": self.configuration_age.age_ms(boot_time()),
            "ready": int(self.is_ready()),
            "prompt_parts_held": len(self.quarantine.held) - requests_held,
            "requests_held": requests_held,
            "endpoints": len(self.directory.endpoints),
            "links": len(self.peers.links),
            "endpoints_not_reached": len(self.links.failed_at),
            "cut_off": int(self.links.is_cut_off),
            "forwarding": self.ways.forwarding,
            "pending": len(self.grant_client.pending),
            "in_flight": len(self.grant_client.in_flight),
            "homes": len(schedulers),
            "waiting": sum(len(scheduler.queue) for scheduler in schedulers),
            "places_used": sum(len(scheduler.placed) for scheduler in schedulers),
            "delay_ms": int(self.overload.delay_s * 1000),
            "log_lines_dropped": self.log_buffer.dropped,
            "log_lines_sampled": self.log_buffer.sampled,
            "peer_bytes_sent": self.peers.traffic.bytes_sent,
        }
        for kind, value in values.items():
            self.metrics.state.set({"kind": kind}, value)
        self.rollouts.update_gauges()

    def pools(self) -> list[PoolId]:
        """Return the pools of the configuration."""
        manifest = self.directory.manifest
        return list(manifest.pools) if manifest else []

    def _allows_fallback(self, endpoint: EndpointId, now: float) -> bool:
        """Return whether this instance may place a request at an endpoint itself."""
        per_s = self.rejections.limit(endpoint)
        if per_s is not None:
            instances = self.membership.listed_count()
            rejected_at = self.states.last_rejected(endpoint)
            if now - rejected_at < uncoordinated_pause_s(per_s, instances):
                return False
        allowance = self.fallback_allowances.get(endpoint)
        if allowance is None:
            return True
        allowance.share = FALLBACK_LIMIT_SHARE * self.membership.equal_share()
        return allowance.allows(now)

    def forget_process(self, endpoint: EndpointId) -> None:
        """Drop what the process has named that another one has replaced."""
        now = trio.current_time()
        self.limits.forget(endpoint, now)
        self.rejections.forget(endpoint, now)

    def apply_limit(self, endpoint: EndpointId, per_s: float | None) -> None:
        """Apply the limit that an endpoint has named, or its end."""
        log.info(
            "Endpoint limit changed.", extra={"endpoint": endpoint, "limit": per_s}
        )
        self.pool_host.set_limit(endpoint, per_s)
        if per_s is None:
            self.fallback_allowances.pop(endpoint, None)
            return
        now, salt = trio.current_time(), self.rng.getrandbits(32)
        self.fallback_allowances[endpoint] = RequestAllowance(per_s, salt, now)

    def apply_rejection_limit(self, endpoint: EndpointId, per_s: float | None) -> None:
        """Apply how many rejections a second an endpoint bears, None for any."""
        extra = {"endpoint": endpoint, "rejections": per_s}
        log.info("Rejections of endpoint changed.", extra=extra)
        self.pool_host.set_rejection_limit(endpoint, per_s)

    def _takes_quota(self, demand: Demand, now: float) -> bool:
        """Charge a request that is placed here; return whether that is possible."""
        team, tokens = demand.team, demand.quota_tokens
        if self.quota_reports.take_loan(demand.pool, team, tokens, now):
            return True
        self.fallback_quotas.share = self.membership.equal_share()
        draw = self.membership.position(team)
        return self.fallback_quotas.take_fraction(team, tokens, now, draw)

    def rank_of(self, demand: Demand) -> int:
        """Return the rank of a request by tier and urgency, 0 for the highest."""
        manifest = self.directory.manifest
        if manifest is None or demand.team not in manifest.teams:
            return 0
        return request_rank(manifest.rank(demand.team), demand.urgency)

    def note_use(self, demand: Demand, granted: Granted) -> None:
        """Count a request that goes to an endpoint."""
        by = "instance" if granted.coordinator == FALLBACK else "coordinator"
        self.metrics.grants.inc({"pool": demand.pool, "by": by})
        self.quota_reports.record_sent(
            demand.pool,
            demand.team,
            demand.quota_tokens,
            granted.coordinator == FALLBACK,
            trio.current_time(),
        )

    def follow_coordinators(self) -> None:
        """Let reports and requests go to the present coordinators."""
        for pool in self.pools():
            self.quota_reports.follow(pool)
        self.grant_client.follow_coordinators()

    def _version_of(self, demand: Demand) -> SoftwareVersion:
        """Return the version that began a request's stream, as far as is known here."""
        versions, now = self.pool_host.versions, boot_time()
        version = versions.known_version(demand.stream, demand.pool, now)
        if version or not demand.is_pool_certain:
            return version
        self.directory.request_view(demand.asked)
        return versions.only_version(demand.pool, now, demand.asked, is_told=False)

    def _takes_retry(self, demand: Demand, now: float) -> bool:
        """Count a request that is placed here; return whether it may be sent again.

        No coordinator counts what this instance places itself.
        """
        budget = self.fallback_retries.get(demand.pool)
        if budget is None:
            bounds = self.settings.bounds
            budget = RetryBudget(bounds.retry_ratio, 0.0, bounds.retry_window_s)
            self.fallback_retries[demand.pool] = budget
        if demand.is_retry:
            return budget.take(now)
        budget.count_request(now)
        return True

    def place_fallback(
        self, demand: Demand, avoid: tuple[EndpointId, ...]
    ) -> EndpointId | None:
        """Place a request whose coordinator does not respond.

        Returns
        -------
        EndpointId or None
            None if there is no suitable endpoint, or if this instance's share of
            the team's quota is used up.
        """
        manifest = self.directory.manifest
        if manifest is None or self.quarantine.held.intersection(demand.suspects):
            return None
        if demand.has_begun and not demand.version:
            version = self._version_of(demand)
            if not version:
                return None
            demand = replace(demand, version=version)
        now = trio.current_time()
        placed = self.grant_client.in_flight.values()
        in_flight = [item.granted.endpoint for item in placed]
        memory, used = self.fallback_memory, own_tokens(placed)
        memory.set_instances(self.membership.listed | self.membership.members.keys())
        versions = self.pool_host.versions
        name = place_fallback(
            manifest,
            demand,
            avoid,
            lambda endpoint: (
                not versions.may_begin(
                    demand.pool, manifest.endpoints[endpoint].version
                )
                or self.states.is_unusable(endpoint, now)
                or not self._allows_fallback(endpoint, now)
                or self.rollouts.bars_fallback(manifest.endpoints[endpoint], manifest)
            ),
            in_flight,
            self.membership.id,
            self.membership.listed_count(),
            lambda endpoint: has_memory(endpoint, demand, memory, used),
        )
        tokens = demand.quota_tokens
        if name and not self._takes_retry(demand, now):
            return None
        if name and not self._takes_quota(demand, now):
            return None
        if name and name in self.fallback_allowances:
            self.fallback_allowances[name].take(now)
        log.info(
            "Coordinator not responding.",
            extra={
                "request": demand.key,
                "pool": demand.pool,
                "home": self.membership.coordinator(demand.pool),
                "endpoint": name or "",
                "team": demand.team,
                "quota_tokens": tokens,
            },
        )
        return name


def new_gateway(
    settings: GatewaySettings, store: Store, log_buffer: LogBuffer
) -> Gateway:
    """Return an instance with its components connected."""
    rng = random.Random()
    metrics = Metrics()
    store.on_call = metrics.observe_store_call
    configuration_age = ConfigurationAge()
    restores = new_store_restores(settings.bounds.apply.revocation_s)
    contact = StoreContact(settings.endpoint_heartbeat_s)
    directory = Directory(store, configuration_age, rng, restores, contact)
    membership = Membership(
        settings.instance,
        settings.peers,
        settings.data_centre,
        time.time_ns() // 1_000_000,
        heartbeat_interval_s=HEARTBEAT_INTERVAL_S,
        dead_after_s=DEAD_AFTER_S,
    )
    peers = Peers(
        membership, "", lambda sender, message: gateway.handle(sender, message), rng
    )
    peers.on_failure = metrics.count_failure
    states, links = EndpointStates(), EndpointLinks()
    quarantine = Quarantine()
    limits, rejections = RequestLimits(), RequestLimits()
    pool_host = PoolHost(
        membership=membership,
        states=states,
        limits=limits,
        rejections=rejections,
        manifest=lambda: directory.manifest,
        answer=lambda frontend, answer: gateway.deliver(frontend, answer),
        cancel_orphan=lambda endpoint, item: None,
        orphan_grace_s=0.5,
        rng=rng,
        request_view=directory.request_view,
        endpoints_report=False,
        configure_scheduler=lambda scheduler: _configure_scheduler(gateway, scheduler),
        on_takeover=lambda scheduler: _on_takeover(gateway, scheduler),
        on_decided=lambda scheduler, decision: metrics.observe_decision(
            tier_of(scheduler, decision.rank or 0), decision.age_s
        ),
        on_processed=metrics.observe_message,
        on_unused=lambda pool: metrics.grants.inc({"pool": pool, "by": "unused"}),
        on_failure=metrics.count_failure,
    )
    quota_balances = QuotaBalances(
        store,
        pool_host,
        membership,
        lambda peer, message: gateway.deliver(peer, message),
        rng,
        directory.is_store_complete,
        lambda pool, since: quota_reports.predecessor(pool, since),
        settings.bounds.quota_window_s,
    )
    quota_reports = QuotaReports(
        membership,
        pool_host,
        lambda peer, message: gateway.deliver(peer, message),
        lambda peer: peers.links.get(peer),
        lambda: gateway.pools(),
        lambda team: _has_quota(gateway, team),
        settings.bounds.quota_window_s,
    )
    grant_client = GrantClient(
        membership=membership,
        send=lambda peer, message: gateway.deliver(peer, message),
        link=lambda peer: peers.links.get(peer),
        pools=lambda: gateway.pools(),
        place_fallback=lambda demand, avoid: gateway.place_fallback(demand, avoid),
        on_use=lambda demand, granted: gateway.note_use(demand, granted),
        rank_of=lambda demand: gateway.rank_of(demand),
    )
    record = InstanceRecord(
        settings.instance, settings.peers, settings.data_centre, settings.cores
    )
    timers, overload = TimerService(rng), Overload()
    store_records = StoreRecords(store, record, directory, membership, peers, rng)
    timers.delay_listeners.append(overload.observe_delay)
    gateway = Gateway(
        settings,
        rng,
        timers,
        store,
        configuration_age,
        directory,
        membership,
        peers,
        states,
        links,
        EndpointWays(
            membership,
            links,
            lambda: peers.shared_key,
            lambda: directory.manifest,
            rng,
        ),
        quarantine,
        limits,
        rejections,
        SharedEvidence(store, quarantine, limits, rejections, membership),
        pool_host,
        grant_client,
        metrics,
        log_buffer,
        # The token buckets are opened now and start empty, so that a restart of
        # all instances does not allow a burst.
        Quotas(opened=trio.current_time()),
        quota_balances,
        quota_reports,
        overload,
        store_records,
        StreamRecords(store, pool_host.versions, pool_host.route_pools, membership),
        Rollouts(
            store,
            membership,
            settings.bounds.trial,
            rng,
            metrics,
            lambda pool: _scheduler(pool_host.host(pool)),
            lambda pool: _scheduler(pool_host.hosted.get(pool)),
            directory.is_store_complete,
        ),
    )
    directory.rollout_listeners.append(gateway.rollouts.receive)
    links.listeners.append(lambda is_cut_off: _note_cut_off(gateway, is_cut_off))
    limits.listeners.append(gateway.apply_limit)
    rejections.listeners.append(gateway.apply_rejection_limit)
    # First, since the number of instances decides what a pool hosted here may give.
    directory.listeners.append(lambda manifest: gateway.apply_instance_records())
    directory.view_listeners.append(lambda sent: gateway.apply_instance_records())
    directory.restart_listeners.append(gateway.forget_process)
    quarantine.listeners.append(lambda part, held: _note_held(gateway, part, held))
    directory.evidence_listeners.append(gateway.shared_evidence.receive)
    membership.listeners.append(lambda: gateway.follow_coordinators())
    membership.loss_listeners.append(pool_host.frontend_lost)
    states.listeners.append(pool_host.set_leaving)
    directory.restart_listeners.append(links.forget)
    directory.listeners.append(
        lambda manifest: states.observe_manifest(manifest, trio.current_time())
    )
    directory.listeners.append(lambda manifest: links.keep(set(manifest.endpoints)))
    _follow_versions(gateway)
    directory.listeners.append(pool_host.reconfigure)
    directory.listeners.append(lambda manifest: _observe_routes(gateway))
    directory.listeners.append(lambda manifest: _update_quota_limits(gateway))
    directory.listeners.append(lambda manifest: gateway.follow_coordinators())
    return gateway


def _follow_versions(gateway: Gateway) -> None:
    """Let the software versions of streams follow endpoints and records."""
    directory, pool_host = gateway.directory, gateway.pool_host
    versions, records = pool_host.versions, gateway.stream_records
    records.on_stored = pool_host.update_joining
    versions.is_running = gateway.membership.is_running
    directory.version_listeners.append(records.receive_versions)
    directory.stream_listeners.append(records.receive_streams)
    directory.listing_listeners.append(lambda sent: records.observe_listing())
    directory.listing_listeners.append(versions.observe_listing)
    directory.listeners.append(
        lambda manifest: versions.observe_endpoints(manifest, boot_time())
    )
    directory.record_listeners.append(
        lambda record: versions.observe_record(record.pool, record.version, boot_time())
    )
    directory.view_listeners.append(versions.observe_view)
    directory.view_listeners.append(lambda sent: pool_host.resolve_streams())
    gateway.membership.loss_listeners.append(lambda peer: versions.observe_loss())


def _scheduler(hosted: HostedPool | None) -> PoolScheduler | None:
    return hosted.scheduler if hosted is not None else None


def _configure_scheduler(gateway: Gateway, scheduler: PoolScheduler) -> None:
    """Set a new scheduler's quotas and retry budget from the settings."""
    bounds = gateway.settings.bounds
    scheduler.capacity.min_retry_s = MIN_RETRY_S
    scheduler.quarantine = gateway.quarantine
    scheduler.data_centre_of = gateway.membership.data_centre_of
    scheduler.estimates.prompts.reuse_s = bounds.prefix_reuse_s
    scheduler.overlaps_slots = gateway.settings.overlaps_slots
    scheduler.estimates.output_tail = OutputTail(UNKNOWN_RATIO)
    scheduler.retry_budget = RetryBudget(
        bounds.retry_ratio,
        bounds.retry_slack,
        bounds.retry_window_s,
        opened=scheduler.coordinating_since,
    )
    scheduler.quotas.opened = scheduler.coordinating_since
    scheduler.quotas.tolerance = _tolerance(gateway)
    scheduler.quotas.limits = _limits_of_teams(gateway.directory)
    scheduler.quotas.ledger = gateway.quota_balances.ledger(scheduler.pool)
    scheduler.quotas.on_much_admitted = partial(
        gateway.quota_balances.note_much_admitted, scheduler.pool
    )
    gateway.quota_balances.take_over(scheduler.pool, scheduler.quotas)
    gateway.rollouts.attach(scheduler)


def _note_cut_off(gateway: Gateway, is_cut_off: bool) -> None:
    """Log that this instance is cut off from all endpoints or reaches them again."""
    if is_cut_off:
        failed = sorted(gateway.links.failed_at)
        log.warning("Endpoints not reached.", extra={"failed": failed})
        return
    log.info("Endpoints reached again.")


def _note_held(gateway: Gateway, suspect: SuspectId, held: bool) -> None:
    """Log that a suspect is held back or released, and apply it."""
    kind, name = "Prompt part", "prompt_part"
    if is_digest(suspect):
        kind, name = "Request", "digest"
    extra: dict[str, object] = {name: suspect}
    if not held:
        log.info(f"{kind} released.", extra=extra)
        return
    processes = gateway.quarantine.suspects[suspect].losses
    log.warning(f"{kind} held back.", extra=extra | {"ended": list(processes)})
    gateway.pool_host.refuse_held()


def _on_takeover(gateway: Gateway, scheduler: PoolScheduler) -> None:
    """Reset the quotas, and use what the previous coordinator has handed on."""
    scheduler.quotas.reset(trio.current_time())
    gateway.quota_balances.take_over(scheduler.pool, scheduler.quotas)


def _limits_of_teams(directory: Directory) -> dict[TeamId, TeamQuota]:
    if directory.configuration is None:
        return {}
    teams = directory.configuration.teams
    return {team.id: team.quota for team in teams.values()}


def _tolerance(gateway: Gateway) -> Tolerance:
    bounds = gateway.settings.bounds
    return Tolerance(bounds.quota_excess, bounds.quota_slack, bounds.quota_window_s)


def _has_quota(gateway: Gateway, team: TeamId) -> bool:
    limit = gateway.fallback_quotas.limits.get(team)
    return limit is not None and limit.tokens_per_s > 0


def _observe_routes(gateway: Gateway) -> None:
    configuration = gateway.directory.configuration
    if configuration is not None:
        gateway.pool_host.route_pools.observe_configuration(configuration, boot_time())


def _update_quota_limits(gateway: Gateway) -> None:
    limits = _limits_of_teams(gateway.directory)
    gateway.fallback_quotas.limits = {
        team: fallback_quota(limit, _tolerance(gateway))
        for team, limit in limits.items()
    }
    for hosted in gateway.pool_host.hosted.values():
        hosted.scheduler.quotas.limits = limits

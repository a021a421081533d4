"""A view of the platform's store: configuration, endpoints and instances.

A single watch covers all keys. Each response of the store confirms that the
known configuration is the newest; peers forward their confirmations. A
configuration is never replaced by one with a lower version.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import trio

from savorydyke import _logs
from savorydyke._backoff import backoff_s
from savorydyke._configuration_age import ConfigurationAge, boot_time
from savorydyke._ids import EndpointId, InstanceId, PoolId, TierId
from savorydyke._manifest import (
    SERVICE_CALL_TOKENS,
    Endpoint,
    Manifest,
    Pool,
    PoolKind,
    Team,
    Tier,
)
from savorydyke._routes import PUBLIC_TEAM, RoutedConfiguration, RoutedTeam
from savorydyke.platform import (
    CONFIGURATION_KEY,
    BadRecordError,
    Change,
    Changes,
    EndpointRecord,
    InstanceRecord,
    Store,
    StoreError,
    endpoint_of_key,
    instance_of_key,
    read_configuration,
    read_endpoint,
    read_instance,
)

WATCH_WAIT_S = 0.5
"""A tenth of the usual time in which a revoked key must stop working, so that
several watches may fail within it."""
WATCH_PAUSE_S = 0.4
"""Pause between watches. It batches the endpoints' heartbeats, each of which
would end a watch."""
RETRY_BASE_S = 0.1
RETRY_MAX_S = 1.0
MISSING_GRACE_S = 2.0
"""After an outage of the store, endpoints that are alive write their records
again within this time."""
REMOVED_KEPT_S = 10.0
"""For how long removed endpoints are reported to peers as leaving."""
DEFAULT_DEADLINE_S = 30.0
"""Deadline of requests if neither the caller nor the route sets one."""
ENGINE_FIRST_S = 0.015
ENGINE_PREFILL_TOKENS_PER_S = 48_000.0
ENGINE_DECODE_TOKENS_PER_S = 300.0
SERVICE_CALLS_PER_S = 12.0
"""Speeds assumed until they are learned; they are those of the users' present
engines and services."""
MAX_WAITING = 2000

log = _logs.component_logger("directory")


@dataclass
class Directory:
    """The latest state of the store known to this instance.

    Attributes
    ----------
    record : bytes
        The configuration as stored, to be sent to peers that cannot reach the
        store.
    manifest : Manifest or None
        The configuration and endpoints in the form used for scheduling.
    loaded : bool
        Whether the endpoints have been read.
    connected : bool
        Whether the latest call to the store succeeded.
    reconnected_at : float
        When the store last answered after a failure, or for the first time, on
        the monotonic clock.
    suspects : dict
        Endpoints whose records were missing after an outage, and until when
        they are kept nevertheless, on the monotonic clock.
    removed_at : dict
        Endpoints removed recently, and when.
    listeners : list of callable
        Called with each new manifest.
    """

    store: Store
    configuration_age: ConfigurationAge
    rng: random.Random
    configuration: RoutedConfiguration | None = None
    record: bytes = b""
    manifest: Manifest | None = None
    loaded: bool = False
    endpoints: dict[EndpointId, EndpointRecord] = field(default_factory=dict)
    instances: dict[InstanceId, InstanceRecord] = field(default_factory=dict)
    suspects: dict[EndpointId, float] = field(default_factory=dict)
    removed_at: dict[EndpointId, float] = field(default_factory=dict)
    watch_pause_s: float = WATCH_PAUSE_S
    connected: bool = False
    reconnected_at: float = float("-inf")
    listeners: list[Callable[[Manifest], None]] = field(default_factory=list)

    @property
    def version(self) -> int:
        """Return the configuration's version, 0 for none."""
        return self.configuration.version if self.configuration else 0

    # Watching the store

    async def watch_store(self) -> None:
        """Keep this view up to date until cancelled."""
        revision = 0
        failures = 0
        while True:
            sent = boot_time()
            try:
                if revision == 0:
                    revision = await self._read_all(sent)
                else:
                    revision = await self._watch(revision, sent)
                failures = 0
                if revision:
                    await trio.sleep(self.watch_pause_s)
            except StoreError as error:
                failures += 1
                self.connected = False
                if failures == 1:
                    log.warning("Store unavailable.", extra={"error": str(error)})
                wait_s = backoff_s(failures, RETRY_BASE_S, RETRY_MAX_S, self.rng)
                await trio.sleep(RETRY_BASE_S / 2 + wait_s)

    async def _read_all(self, sent: float) -> int:
        """Read all keys; return the revision from which to watch."""
        listing = await self.store.list("")
        self._record_response()
        keys = {item.key for item in listing.items}
        for item in listing.items:
            self._apply_change(Change(item.key, item.value, item.revision))
        for endpoint in list(self.endpoints):
            if not any(endpoint_of_key(key) == endpoint for key in keys):
                self._handle_missing_endpoint(endpoint)
        for instance in list(self.instances):
            if not any(instance_of_key(key) == instance for key in keys):
                del self.instances[instance]
        self.configuration_age.confirm(sent)
        self.loaded = True
        self._publish()
        log.info(
            "Store read.",
            extra={"version": self.version, "endpoints": len(self.endpoints)},
        )
        return listing.revision

    async def _watch(self, revision: int, sent: float) -> int:
        changes = await self.store.watch("", revision, WATCH_WAIT_S)
        self._record_response()
        if not isinstance(changes, Changes):
            log.info(
                "Store history compacted; reading all keys.",
                extra={"revision": revision},
            )
            return 0
        before = (self.version, dict(self.endpoints))
        for change in changes.changes:
            self._apply_change(change)
        self._remove_expired_suspects()
        self.configuration_age.confirm(sent)
        if before != (self.version, self.endpoints):
            self._publish()
        return max(revision, changes.revision)

    def _record_response(self) -> None:
        """Record that the store has responded, possibly after an outage."""
        if not self.connected:
            self.reconnected_at = trio.current_time()
            log.info("Store available.", extra={"version": self.version})
        self.connected = True

    # Records

    def _apply_change(self, change: Change) -> None:
        if change.key == CONFIGURATION_KEY:
            if change.value is not None:
                self.accept_if_newer(change.value)
            return
        endpoint = endpoint_of_key(change.key)
        if endpoint is not None:
            self._apply_endpoint(endpoint, change.value)
            return
        instance = instance_of_key(change.key)
        if instance is not None:
            self._apply_instance(instance, change.value)

    def _apply_endpoint(self, endpoint: EndpointId, data: bytes | None) -> None:
        if data is None:
            self._handle_missing_endpoint(endpoint)
            return
        try:
            record = read_endpoint(endpoint, data)
        except BadRecordError as error:
            extra = {"endpoint": endpoint, "error": str(error)}
            log.warning("Endpoint record unreadable.", extra=extra)
            self._remove_endpoint(endpoint, "entry unreadable")
            return
        self.suspects.pop(endpoint, None)
        known = self.endpoints.get(endpoint)
        if known is not None and known.started_ms > record.started_ms:
            return
        if not record.leaving:
            self.removed_at.pop(endpoint, None)
        if known is None or replace(known, warm_up_s=0) != replace(record, warm_up_s=0):
            changed: dict[str, object] = {
                "endpoint": endpoint,
                "pool": record.pool,
                "leaving": record.leaving,
                "born_ms": record.started_ms,
            }
            log.info("Endpoint record changed.", extra=changed)
            self.endpoints[endpoint] = record

    def _handle_missing_endpoint(self, endpoint: EndpointId) -> None:
        """Remove an endpoint, unless its record may have expired in an outage."""
        if endpoint not in self.endpoints:
            return
        until = self.reconnected_at + MISSING_GRACE_S
        if trio.current_time() < until:
            self.suspects.setdefault(endpoint, until)
            return
        self._remove_endpoint(endpoint, "entry removed")

    def _remove_expired_suspects(self) -> None:
        now = trio.current_time()
        for endpoint, until in list(self.suspects.items()):
            if now >= until:
                del self.suspects[endpoint]
                self._remove_endpoint(endpoint, "entry not back after an outage")

    def _remove_endpoint(self, endpoint: EndpointId, why: str) -> None:
        if self.endpoints.pop(endpoint, None) is None:
            return
        self.removed_at[endpoint] = trio.current_time()
        log.info("Endpoint removed.", extra={"endpoint": endpoint, "why": why})

    def leaving_endpoints(self) -> set[EndpointId]:
        """Return the endpoints to report to peers as leaving or removed."""
        now = trio.current_time()
        self.removed_at = {
            e: t for e, t in self.removed_at.items() if now - t < REMOVED_KEPT_S
        }
        return {e.id for e in self.endpoints.values() if e.leaving} | set(
            self.removed_at
        )

    def _apply_instance(self, instance: InstanceId, data: bytes | None) -> None:
        if data is None:
            self.instances.pop(instance, None)
            return
        try:
            self.instances[instance] = read_instance(instance, data)
        except BadRecordError as error:
            extra = {"instance": instance, "error": str(error)}
            log.warning("Instance record unreadable.", extra=extra)

    def accept_if_newer(self, data: bytes) -> bool:
        """Use a configuration if it is newer; return whether it was."""
        try:
            configuration = read_configuration(data)
        except BadRecordError as error:
            log.error("Configuration unreadable.", extra={"error": str(error)})
            return False
        if configuration.version <= self.version:
            return False
        self.configuration = configuration
        self.record = data
        log.info("Version in force.", extra={"version": configuration.version})
        return True

    def receive_push(self, data: bytes) -> None:
        """Use a configuration sent by a peer if it is newer."""
        if self.accept_if_newer(data):
            self._publish()

    def _publish(self) -> None:
        if self.configuration is None:
            return
        self.manifest = build_manifest(self.configuration, self.endpoints)
        for listener in self.listeners:
            listener(self.manifest)


def build_manifest(
    configuration: RoutedConfiguration,
    endpoints: dict[EndpointId, EndpointRecord],
) -> Manifest:
    """Return routes, teams and endpoints in the form used for scheduling."""
    teams = [*configuration.teams.values(), RoutedTeam(PUBLIC_TEAM, 0, ())]
    ranks = sorted({team.rank for team in teams})
    tiers = {
        TierId(f"tier-{rank}"): Tier(
            TierId(f"tier-{rank}"), ranks.index(rank), DEFAULT_DEADLINE_S
        )
        for rank in ranks
    }
    pools = {
        pool.id: Pool(pool.id, pool.kind, (), (), MAX_WAITING)
        for pool in configuration.pools.values()
    }
    specs = {
        record.id: _endpoint(record, configuration)
        for record in endpoints.values()
        if record.pool in pools
    }
    by_pool: dict[PoolId, frozenset[EndpointId]] = {
        pool: frozenset(s.id for s in specs.values() if s.pool == pool)
        for pool in pools
    }
    return Manifest(
        tiers=tiers,
        teams={team.id: _team(team) for team in teams},
        pools=pools,
        endpoints=specs,
        access=(),
        approvals=(),
        reach={(t.id, pool): ids for t in teams for pool, ids in by_pool.items()},
        pool_of_model={},
        all_approved=True,
    )


def _team(team: RoutedTeam) -> Team:
    return Team(team.id, TierId(f"tier-{team.rank}"), (), 1.0, MAX_WAITING)


def _endpoint(record: EndpointRecord, configuration: RoutedConfiguration) -> Endpoint:
    pool = configuration.pools[record.pool]
    is_engine = pool.kind is PoolKind.ENGINE
    call_speed = SERVICE_CALLS_PER_S * SERVICE_CALL_TOKENS
    return Endpoint(
        id=record.id,
        pool=record.pool,
        address=record.address,
        data_centre=record.data_centre,
        owner="",
        resumes=False,
        checks_fencing=False,
        drained=record.leaving,
        max_concurrency=record.slots,
        max_tokens=pool.memory_tokens if is_engine else record.slots * 10**9,
        prefill_tokens_per_s=ENGINE_PREFILL_TOKENS_PER_S if is_engine else call_speed,
        decode_tokens_per_s=ENGINE_DECODE_TOKENS_PER_S if is_engine else 1e9,
        first_s=ENGINE_FIRST_S if is_engine else 0.0,
    )

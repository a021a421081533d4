"""A view of the platform's store: configuration, endpoints and instances.

A single watch covers all keys. Each response of the store confirms that the
known configuration is the newest; peers forward their confirmations. A
configuration is never replaced by one with a lower version.

After a restore of the store from a backup all keys are read again. Endpoints that
have left are not used again because the backup still lists them, and nothing is
confirmed until the changes that it lacks have been written again.
"""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import trio

from savorydyke import _logs
from savorydyke._backoff import backoff_s
from savorydyke._configuration_age import ConfigurationAge, boot_time
from savorydyke._ids import (
    EndpointId,
    InstanceId,
    PoolId,
    ProcessId,
    TierId,
    process_id,
)
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
from savorydyke._store_contact import StoreContact
from savorydyke._store_restores import GENERATION_KEY, StoreRestores, read_generation
from savorydyke._timing import SHORT_PAUSE_S, VIEW_WAIT_S, WATCH_WAIT_S
from savorydyke._untrusted import MAX_SHOWN, shown
from savorydyke.platform import (
    CONFIGURATION_KEY,
    FLEET_KEY,
    BadRecordError,
    Change,
    Changes,
    Compacted,
    EndpointRecord,
    InstanceRecord,
    Listing,
    Store,
    StoreError,
    endpoint_of_key,
    evidence_of_key,
    instance_of_key,
    pool_of_rollout_key,
    read_configuration,
    read_endpoint,
    read_instance,
    streams_of_key,
    versions_of_key,
)
from savorydyke.scheduling import coordinator_tokens

RETRY_BASE_S = 0.1
RETRY_MAX_S = 1.0
REMOVED_REPORTED_S = 10.0
"""For how long removed endpoints are reported to peers as leaving."""
REMOVED_KEPT_S = 600.0
"""For how long removed endpoints are remembered. A backup is some seconds old."""
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


@dataclass(frozen=True)
class RemovedEndpoint:
    """An endpoint that was removed.

    Attributes
    ----------
    at : float
        Time of the removal on the monotonic clock.
    generation : int
        Generation of the store at that time.
    """

    record: EndpointRecord
    at: float
    generation: int


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
    is_manifest_outdated : bool
        Whether configuration or endpoints have changed since it was made.
    loaded : bool
        Whether the endpoints have been read.
    contact : StoreContact
        When this instance heard of the store.
    written_after : dict of EndpointId to float
        A time after which the record of an endpoint was last written, on the
        monotonic clock.
    suspects : dict
        Endpoints whose records were missing after an outage, and until when
        they are kept nevertheless, on the monotonic clock.
    removed : dict
        Endpoints removed recently.
    restores : StoreRestores
        Whether the store may lack changes that it acknowledged before a restore.
    revision : int
        Revision of the store up to which changes are applied, 0 before a listing.
    viewed : float
        Up to when all changes of endpoints are known, on a clock that counts
        suspension.
    view_wanted : float
        Up to when they are to be known.
    wanted, applied : trio.Event
        Set when a view is requested, and when changes have been applied.
    hurried : trio.Event
        Set when the next watch is wanted without a pause, and replaced at its begin.
    stored_version : int
        Highest version of the configuration that the store has held since it was
        last restored, 0 for none.
    fleet_key : bytes
        The secret of the fleet's instances in the store, empty for none.
    listeners : list of callable
        Called with each new manifest.
    restart_listeners : list of callable
        Called with an endpoint whose record is from a new process, also if the
        record of the earlier one was removed before.
    view_listeners : list of callable
        Called with the time at which the store was asked, on a clock that counts
        suspension, when all changes up to then have been applied.
    listing_listeners : list of callable
        Called with such a time when endpoints were listed without their history.
    record_listeners : list of callable
        Called with each record of an endpoint.
    evidence_listeners : list of callable
        Called with an instance and the evidence that it has written.
    version_listeners, stream_listeners : list of callable
        Called with a pool and a record of its software versions, or of streams.
    rollout_keys : set of str
        Keys of roll-outs that the store holds.
    rollout_listeners : list of callable
        Called with each change of such a key.
    """

    store: Store
    configuration_age: ConfigurationAge
    rng: random.Random
    restores: StoreRestores
    contact: StoreContact
    configuration: RoutedConfiguration | None = None
    record: bytes = b""
    manifest: Manifest | None = None
    is_manifest_outdated: bool = False
    loaded: bool = False
    endpoints: dict[EndpointId, EndpointRecord] = field(default_factory=dict)
    instances: dict[InstanceId, InstanceRecord] = field(default_factory=dict)
    written_after: dict[EndpointId, float] = field(default_factory=dict)
    suspects: dict[EndpointId, float] = field(default_factory=dict)
    removed: dict[EndpointId, RemovedEndpoint] = field(default_factory=dict)
    revision: int = 0
    viewed: float = -math.inf
    view_wanted: float = -math.inf
    wanted: trio.Event = field(default_factory=trio.Event)
    applied: trio.Event = field(default_factory=trio.Event)
    hurried: trio.Event = field(default_factory=trio.Event)
    stored_version: int = 0
    fleet_key: bytes = b""
    watch_pause_s: float = SHORT_PAUSE_S
    listeners: list[Callable[[Manifest], None]] = field(default_factory=list)
    restart_listeners: list[Callable[[EndpointId], None]] = field(default_factory=list)
    view_listeners: list[Callable[[float], None]] = field(default_factory=list)
    listing_listeners: list[Callable[[float], None]] = field(default_factory=list)
    record_listeners: list[Callable[[EndpointRecord], None]] = field(
        default_factory=list
    )
    evidence_listeners: list[Callable[[InstanceId, bytes], None]] = field(
        default_factory=list
    )
    version_listeners: list[Callable[[PoolId, bytes], None]] = field(
        default_factory=list
    )
    stream_listeners: list[Callable[[PoolId, bytes], None]] = field(
        default_factory=list
    )
    rollout_keys: set[str] = field(default_factory=set)
    rollout_listeners: list[Callable[[Change], None]] = field(default_factory=list)

    @property
    def version(self) -> int:
        """Return the configuration's version, 0 for none."""
        return self.configuration.version if self.configuration else 0

    # Watching the store

    async def watch_store(self) -> None:
        """Keep this view up to date until cancelled."""
        failures = 0
        while True:
            sent, sent_at = boot_time(), trio.current_time()
            self.hurried = trio.Event()
            try:
                if self.revision == 0:
                    self.revision = await self._read_all(sent)
                else:
                    # The store may cut a watch that waits. It answers one that does
                    # not, so that a failure is followed by such a one.
                    wait_s = 0.0 if failures else WATCH_WAIT_S
                    self.revision = await self._watch(self.revision, sent, wait_s)
                failures = 0
                self._wake_confirmations()
                if self.revision:
                    await self._pause()
            except StoreError as error:
                failures += 1
                self.contact.record_failure(sent_at)
                if failures == 1:
                    log.warning("Store unavailable.", extra={"error": str(error)})
                wait_s = backoff_s(failures, RETRY_BASE_S, RETRY_MAX_S, self.rng)
                await trio.sleep(RETRY_BASE_S / 2 + wait_s)

    async def _pause(self) -> None:
        """Wait before the next watch, unless it is wanted at once.

        After a restore of the store it is wanted soon. The random delay spreads the
        listings of all instances.
        """
        with trio.move_on_after(self.watch_pause_s):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._wait_until_hurried, nursery.cancel_scope)
                await self.store.restored.wait()
                await trio.sleep(self.watch_pause_s * self.rng.random())
                nursery.cancel_scope.cancel()

    async def _wait_until_hurried(self, pause: trio.CancelScope) -> None:
        await self.hurried.wait()
        pause.cancel()

    async def wait_for_endpoint(self, name: EndpointId, wait_s: float) -> bool:
        """Return whether an endpoint is known, after a look at the store if it is not.

        Parameters
        ----------
        wait_s : float
            Longest time for that.
        """
        asked = boot_time()
        with trio.move_on_after(wait_s):
            while not self._is_settled(name, asked):
                self.hurried.set()
                await self.applied.wait()
        return name in self.endpoints

    def _is_settled(self, name: EndpointId, asked: float) -> bool:
        """Return whether an endpoint is known, or is not in the store since a time."""
        is_known = name in self.endpoints or name in self.removed
        return is_known or self.viewed >= asked

    async def _read_all(self, sent: float) -> int:
        """Read all keys; return the revision from which to watch."""
        listing = await self.store.list("")
        self._record_response()
        self._begin_listing(listing)
        for item in listing.items:
            change = Change(item.key, item.value, item.revision)
            if not self._is_from_backup(change):
                self._apply_change(change)
        endpoints = {endpoint_of_key(item.key) for item in listing.items}
        for endpoint in self.endpoints.keys() - endpoints:
            self._handle_missing_endpoint(endpoint)
        instances = {instance_of_key(item.key) for item in listing.items}
        for instance in self.instances.keys() - instances:
            del self.instances[instance]
        for key in self.rollout_keys - {item.key for item in listing.items}:
            self._apply_rollout(Change(key, None, listing.revision))
        self._confirm(sent)
        self.loaded = True
        for listener in self.listing_listeners:
            listener(sent)
        self._publish()
        self._notify_viewed(sent)
        log.info(
            "Store read.",
            extra={"version": self.version, "endpoints": len(self.endpoints)},
        )
        return listing.revision

    def _begin_listing(self, listing: Listing) -> None:
        """Determine whether a listing may lack changes because of a restore."""
        values = {item.key: item.value for item in listing.items}
        now = trio.current_time()
        if self.restores.generation not in {0, self.store.generation}:
            self.contact.record_restore(now)
            self.stored_version = 0
        self.fleet_key = values.get(FLEET_KEY, b"")
        noted = read_generation(values.get(GENERATION_KEY, b""))
        self.restores.observe_listing(self.store.generation, noted, now)

    def _confirm(self, sent: float) -> None:
        """Confirm the configuration by an answer to a call made at time `sent`.

        A restored store confirms nothing before it has the newest version again.
        """
        if self.stored_version >= self.version and self.is_store_complete():
            self.configuration_age.confirm(sent)

    def is_store_complete(self) -> bool:
        """Return whether the store has all changes that it acknowledged."""
        is_listed = self.restores.generation == self.store.generation
        return is_listed and self.restores.is_complete(trio.current_time())

    def should_note_generation(self) -> bool:
        """Return whether to note in the store that a restore is complete."""
        return (
            self.restores.noted != self.restores.generation
            and self.stored_version >= self.version
            and self.is_store_complete()
        )

    async def _watch(self, revision: int, sent: float, wait_s: float) -> int:
        if self.restores.generation != self.store.generation:
            return 0
        changes = await self.store.watch("", revision, wait_s)
        self._record_response()
        if self.restores.generation != self.store.generation:
            return 0
        if not isinstance(changes, Changes):
            log.info(
                "Store history compacted; reading all keys.",
                extra={"revision": revision},
            )
            return 0
        for change in changes.changes:
            self._apply_change(change)
            if change.key == CONFIGURATION_KEY:
                self.restores.record_configuration_written()
        self._remove_expired_suspects()
        self._confirm(sent)
        if self.is_manifest_outdated:
            self._publish()
        self._notify_viewed(sent)
        return max(revision, changes.revision)

    # Views as of a certain time

    def request_view(self, asked: float) -> None:
        """Let all changes of endpoints up to a time be known here soon.

        Parameters
        ----------
        asked : float
            A time that has passed, on a clock that counts suspension.
        """
        self.view_wanted = max(self.view_wanted, asked)
        self.wanted.set()

    async def confirm_views(self) -> None:
        """Ask the store at once for what was requested, until cancelled."""
        while True:
            await self.wanted.wait()
            self.wanted = trio.Event()
            while self.viewed < self.view_wanted:
                if boot_time() - self.view_wanted > VIEW_WAIT_S:
                    break
                try:
                    await self._confirm_view()
                except StoreError as error:
                    log.info("View not confirmed.", extra={"error": str(error)})
                    await trio.sleep(RETRY_BASE_S)

    async def _confirm_view(self) -> None:
        """Find out whether endpoints have changed since the latest answer.

        Changes are applied by the watch only, in their order.
        """
        sent, revision = boot_time(), self.revision
        if revision:
            changes = await self.store.watch("", revision, 0.0)
            if revision == self.revision and not self._changes_any_endpoint(changes):
                self._notify_viewed(sent)
                return
        with trio.move_on_after(RETRY_BASE_S):
            await self.applied.wait()

    def _changes_any_endpoint(self, changes: Changes | Compacted) -> bool:
        """Return whether changes that are not applied yet concern endpoints."""
        if not isinstance(changes, Changes):
            return True
        if self.restores.generation != self.store.generation:
            return True
        return any(map(self._changes_endpoint, changes.changes))

    def _changes_endpoint(self, change: Change) -> bool:
        """Return whether a change is of an endpoint, and more than a heartbeat.

        A change of the versions at which streams may begin counts as well.
        """
        endpoint = endpoint_of_key(change.key)
        if endpoint is None:
            return versions_of_key(change.key) is not None
        known = self.endpoints.get(endpoint)
        if known is None or change.value is None:
            return True
        try:
            record = read_endpoint(endpoint, change.value, known)
            return not _same_endpoint(known, record)
        except BadRecordError:
            # `_apply_endpoint` reports it.
            return True

    def _wake_confirmations(self) -> None:
        """Let a confirmation that waits for changes look again."""
        self.applied.set()
        self.applied = trio.Event()

    def _notify_viewed(self, sent: float) -> None:
        self.viewed = max(self.viewed, sent)
        for listener in self.view_listeners:
            listener(sent)

    def _record_response(self) -> None:
        """Record that the store has responded, possibly after an outage."""
        if self.contact.is_failing() or not self.loaded:
            log.info("Store available.", extra={"version": self.version})
        self.contact.record_answer(trio.current_time())

    # Records

    def _is_from_backup(self, change: Change) -> bool:
        """Return whether a listed record is of an endpoint that had been removed.

        Before a restore the endpoint's removal was known here. If the endpoint has
        returned, it writes its record again.
        """
        endpoint = endpoint_of_key(change.key)
        removed = self.removed.get(endpoint) if endpoint else None
        if endpoint is None or removed is None or change.value is None:
            return False
        if removed.generation == self.store.generation:
            return False
        try:
            record = read_endpoint(endpoint, change.value)
        except BadRecordError:
            # `_apply_endpoint` reports it.
            return False
        return (record.started_ms, record.heartbeat) <= (
            removed.record.started_ms,
            removed.record.heartbeat,
        )

    def _apply_change(self, change: Change) -> None:
        """Apply a change; a record that can not be read costs itself only."""
        try:
            self._apply_record(change)
        except Exception as error:
            extra = {"key": change.key[:MAX_SHOWN], "error": shown(error)}
            log.error("Record unreadable.", extra=extra)
            endpoint = endpoint_of_key(change.key)
            if endpoint is not None:
                self._remove_endpoint(endpoint, "entry unreadable")

    def _apply_record(self, change: Change) -> None:
        if change.key == CONFIGURATION_KEY:
            if change.value is not None:
                self._apply_configuration(change.value)
            return
        if change.key == GENERATION_KEY:
            self.restores.observe_note(read_generation(change.value or b""))
            return
        if change.key == FLEET_KEY:
            self.fleet_key = change.value or b""
            return
        endpoint = endpoint_of_key(change.key)
        if endpoint is not None:
            self._apply_endpoint(endpoint, change.value)
            return
        instance = instance_of_key(change.key)
        if instance is not None:
            self._apply_instance(instance, change.value)
            return
        if pool_of_rollout_key(change.key) is not None:
            self._apply_rollout(change)
            return
        if change.value is not None:
            self._apply_shared_record(change.key, change.value)

    def _apply_rollout(self, change: Change) -> None:
        """Pass on a change of an order, a status or a record of a roll-out."""
        if change.value is None:
            self.rollout_keys.discard(change.key)
        else:
            self.rollout_keys.add(change.key)
        for listener in self.rollout_listeners:
            listener(change)

    def _apply_shared_record(self, key: str, value: bytes) -> None:
        """Pass on what an instance has written for all others."""
        writer = evidence_of_key(key)
        if writer is not None:
            for listener in self.evidence_listeners:
                listener(writer, value)
        pool = versions_of_key(key)
        if pool is not None:
            for pool_listener in self.version_listeners:
                pool_listener(pool, value)
        pool = streams_of_key(key)
        if pool is not None:
            for pool_listener in self.stream_listeners:
                pool_listener(pool, value)

    def _apply_endpoint(self, endpoint: EndpointId, data: bytes | None) -> None:
        if data is None:
            self._handle_missing_endpoint(endpoint)
            return
        try:
            record = read_endpoint(endpoint, data, self.endpoints.get(endpoint))
        except BadRecordError as error:
            extra = {"endpoint": endpoint[:MAX_SHOWN], "error": shown(error)}
            log.warning("Endpoint record unreadable.", extra=extra)
            self._remove_endpoint(endpoint, "entry unreadable")
            return
        known = self.endpoints.get(endpoint)
        self._note_written(record, known)
        if known is not None and known.started_ms > record.started_ms:
            return
        if self._is_other_process(record):
            for listener in self.restart_listeners:
                listener(endpoint)
        elif known is not None and known.leaving and not record.leaving:
            # An earlier record of the same process, from a backup of the store.
            return
        elif not record.leaving:
            self.removed.pop(endpoint, None)
        if known is None or not _same_endpoint(known, record):
            changed: dict[str, object] = {
                "endpoint": endpoint,
                "pool": record.pool,
                "leaving": record.leaving,
                "born_ms": record.started_ms,
            }
            log.info("Endpoint record changed.", extra=changed)
            self.is_manifest_outdated = True
        self.endpoints[endpoint] = record

    def _note_written(
        self, record: EndpointRecord, known: EndpointRecord | None
    ) -> None:
        """Record that an endpoint has written its record, also an outdated one."""
        for listener in self.record_listeners:
            listener(record)
        self.suspects.pop(record.id, None)
        if record != known:
            self.written_after[record.id] = self.contact.answered_before

    def _is_other_process(self, record: EndpointRecord) -> bool:
        """Return whether another process had the id of a record before."""
        before = self.endpoints.get(record.id)
        if before is None and record.id in self.removed:
            before = self.removed[record.id].record
        return before is not None and before.started_ms != record.started_ms

    def _handle_missing_endpoint(self, endpoint: EndpointId) -> None:
        """Remove an endpoint, unless its record may have expired in an outage."""
        if endpoint not in self.endpoints:
            return
        now = trio.current_time()
        until = self.contact.kept_until(self.written_after[endpoint], now)
        if now < until:
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
        record = self.endpoints.pop(endpoint, None)
        self.written_after.pop(endpoint, None)
        if record is None:
            return
        self.is_manifest_outdated = True
        self.removed[endpoint] = RemovedEndpoint(
            record, trio.current_time(), self.store.generation
        )
        log.info("Endpoint removed.", extra={"endpoint": endpoint, "why": why})

    def leaving_processes(self) -> set[ProcessId]:
        """Return the processes to report to peers as leaving or removed."""
        now = trio.current_time()
        self.removed = {
            e: r for e, r in self.removed.items() if now - r.at < REMOVED_KEPT_S
        }
        records = [e for e in self.endpoints.values() if e.leaving]
        records += [
            r.record for r in self.removed.values() if now - r.at < REMOVED_REPORTED_S
        ]
        return {process_id(r.id, r.started_ms) for r in records}

    def _apply_instance(self, instance: InstanceId, data: bytes | None) -> None:
        if data is None:
            self.instances.pop(instance, None)
            return
        try:
            self.instances[instance] = read_instance(instance, data)
        except BadRecordError as error:
            extra = {"instance": instance[:MAX_SHOWN], "error": shown(error)}
            log.warning("Instance record unreadable.", extra=extra)

    def _apply_configuration(self, data: bytes) -> None:
        """Apply the configuration that the store holds."""
        configuration = _read_configuration(data)
        if configuration is not None:
            self.stored_version = max(self.stored_version, configuration.version)
            self._accept_if_newer(configuration, data)

    def _accept_if_newer(self, configuration: RoutedConfiguration, data: bytes) -> bool:
        """Use a configuration if it is newer; return whether it was."""
        if configuration.version <= self.version:
            return False
        self.configuration = configuration
        self.record = data
        self.is_manifest_outdated = True
        log.info("Version in force.", extra={"version": configuration.version})
        return True

    def receive_push(self, data: bytes) -> None:
        """Use a configuration sent by a peer if it is newer."""
        configuration = _read_configuration(data)
        if configuration is not None and self._accept_if_newer(configuration, data):
            self._publish()

    def _publish(self) -> None:
        if self.configuration is None:
            return
        self.is_manifest_outdated = False
        self.manifest = build_manifest(self.configuration, self.endpoints)
        for listener in self.listeners:
            listener(self.manifest)


def _same_endpoint(one: EndpointRecord, other: EndpointRecord) -> bool:
    """Return whether two records differ only in what each heartbeat changes."""
    if one.constant and one.constant == other.constant and one.id == other.id:
        return True
    same = replace(other, warm_up_s=one.warm_up_s, heartbeat=one.heartbeat)
    return one == same


def _read_configuration(data: bytes) -> RoutedConfiguration | None:
    try:
        return read_configuration(data)
    except BadRecordError as error:
        log.error("Configuration unreadable.", extra={"error": shown(error)})
        return None


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
    memory = pool.memory_tokens if is_engine else 0
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
        # Without a stated memory only the slots limit what is placed.
        max_tokens=coordinator_tokens(memory) if memory else record.slots * 10**9,
        prefill_tokens_per_s=ENGINE_PREFILL_TOKENS_PER_S if is_engine else call_speed,
        decode_tokens_per_s=ENGINE_DECODE_TOKENS_PER_S if is_engine else 1e9,
        first_s=ENGINE_FIRST_S if is_engine else 0.0,
        started_ms=record.started_ms,
        version=record.version,
        memory_tokens=memory,
        warm_up_s=record.warm_up_s,
    )

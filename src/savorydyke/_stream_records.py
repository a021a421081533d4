"""Keeps the software versions of streams in the platform's store.

All instances may be killed at once, and callers take their streams up again. A pool
mostly has one version, and its name is all that is stored. While there are several, or
its routes have other pools as well, the coordinator also stores the streams that began,
a few times a second, in records of which each holds what is new.

When a version joins, the streams of the others are stored first, then its name, and
only then streams begin there: at each moment either all streams of a pool are of one
version, or the store has them one by one.
"""

import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import trio

from savorydyke import _logs
from savorydyke._configuration_age import boot_time
from savorydyke._ids import InstanceId, PoolId, RequestKey, SoftwareVersion
from savorydyke._membership import Membership
from savorydyke._route_pools import RouteKey, RoutePools
from savorydyke._stream_versions import (
    KEPT_S,
    MAX_STREAMS,
    StoredBefore,
    StreamVersions,
)
from savorydyke._timers import Gate, TimerService
from savorydyke._untrusted import MAX_SHOWN, parse_json, shown
from savorydyke.platform import (
    LeaseExpired,
    Store,
    StoreError,
    streams_key,
    versions_key,
)

WRITE_INTERVAL_S = 0.25
MAX_RECORD_STREAMS = 5000
"""Streams in one record, so that it stays below the store's largest value of 1 MB."""
SEGMENTS = int(KEPT_S / WRITE_INTERVAL_S) + MAX_STREAMS // MAX_RECORD_STREAMS
"""Records of a pool; the oldest is replaced. The first ones hold what began before."""
LEASE_S = 2 * KEPT_S
LEASE_USED_S = KEPT_S
"""Time for which records get the same lease, so that none ends too early."""

log = _logs.component_logger("streams")


@dataclass
class StreamRecords:
    """Writes and reads the records.

    Attributes
    ----------
    on_stored : callable
        Called when the versions that are stored for a pool have changed.
    written_until : dict of PoolId to float
        Time up to which the streams of a pool have been written.
    generations : dict of PoolId to int
        Generation of the store in which the versions of a pool were written or read.
    distrusted : dict of PoolId to float
        When versions were read that later ones may be missing from.
    routes : dict of PoolId to frozenset
        Host and prefix of the routes that lead to pools, as coordinators have stored
        them. An earlier build does not store them.
    told : dict of PoolId to StoredBefore
        What the record of a pool says of the time before versions were added.
    segments : dict of PoolId to int
        Number of the next record with streams of a pool.
    lease : int
        Lease of these records, 0 for none.
    lease_generation : int
        Generation of the store in which it was opened.
    lease_opened : float
        When it was opened.
    """

    store: Store
    versions: StreamVersions
    route_pools: RoutePools
    membership: Membership
    on_stored: Callable[[], None] = field(default=lambda: None)
    written_until: dict[PoolId, float] = field(default_factory=dict)
    generations: dict[PoolId, int] = field(default_factory=dict)
    distrusted: dict[PoolId, float] = field(default_factory=dict)
    routes: dict[PoolId, frozenset[RouteKey]] = field(default_factory=dict)
    told: dict[PoolId, StoredBefore | None] = field(default_factory=dict)
    segments: dict[PoolId, int] = field(default_factory=dict)
    lease: int = 0
    lease_opened: float = 0.0
    lease_generation: int = 0

    async def run(self, timers: TimerService, hosting: Gate) -> None:
        """Write what has changed while pools are hosted here, until cancelled."""
        while True:
            await hosting.opened.wait()
            async with timers.every(WRITE_INTERVAL_S) as ticks:
                async for _ in ticks:
                    if not hosting.is_open():
                        break
                    try:
                        await self.write(boot_time())
                    except StoreError as error:
                        log.info("Streams not stored.", extra={"error": str(error)})

    async def write(self, now: float) -> None:
        """Write what has changed in the pools that are coordinated here.

        Raises
        ------
        StoreError
            If the store does not take it.
        """
        for pool in list(self.versions.listed):
            versions = self.versions.recent_versions(pool, now)
            is_written = not versions or self._is_stored(pool, versions, now)
            # Streams have to be told apart by version, or by pool.
            is_mixed = len(versions) > 1 or self.route_pools.is_shared(pool, now)
            if not is_mixed:
                self.written_until.pop(pool, None)
            # Who coordinates a pool costs more to find out, in a large fleet.
            if is_written and not is_mixed:
                continue
            if not self.membership.is_coordinator(pool):
                continue
            if is_mixed:
                await self._write_streams(pool, now)
            if not is_written:
                await self._write_versions(pool, versions, now)

    def _is_stored(
        self, pool: PoolId, versions: frozenset[SoftwareVersion], now: float
    ) -> bool:
        return (
            self.versions.stored.get(pool) == versions
            and self.generations.get(pool) == self.store.generation
            and self.routes.get(pool, frozenset())
            == self.route_pools.recent_routes(pool, now)
            and self.told.get(pool) == self._before_to_tell(pool, versions, now)
        )

    def _before_to_tell(
        self, pool: PoolId, versions: frozenset[SoftwareVersion], now: float
    ) -> StoredBefore | None:
        """Return what instances that start now can not see, None for nothing."""
        told = self.told.get(pool)
        if told is not None and not self._reaches_most():
            # Who told it may run, and be linked soon.
            return told
        before = self.versions.versions_before(pool, now)
        if before is None or before == versions:
            return None
        if told is not None and told.versions == before and self._is_valid(told):
            return told
        return StoredBefore(before, (self.membership.id, self.membership.incarnation))

    def _reaches_most(self) -> bool:
        return self.membership.reaches_most_listed(trio.current_time())

    def _is_valid(self, told: StoredBefore) -> bool:
        process = told.told_by
        return process is not None and self.membership.is_running(*process)

    async def _write_versions(
        self, pool: PoolId, versions: frozenset[SoftwareVersion], now: float
    ) -> None:
        if len(versions) == 1 and pool in self.distrusted:
            if boot_time() - self.distrusted[pool] < KEPT_S:
                return
            del self.distrusted[pool]
        generation = self.store.generation
        routes = self.route_pools.recent_routes(pool, now)
        told = self._before_to_tell(pool, versions, now)
        value: dict[str, object] = {
            "generation": generation,
            "versions": sorted(versions),
            "routes": sorted(routes),
        }
        if told is not None:
            value |= {"before": sorted(told.versions), "by": told.told_by}
        await self.store.overwrite(versions_key(pool), json.dumps(value).encode())
        self.routes[pool], self.told[pool] = routes, told
        before = self.versions.before.get(pool, StoredBefore(versions))
        self._set_stored(pool, versions, before, generation)

    def _set_stored(
        self,
        pool: PoolId,
        versions: frozenset[SoftwareVersion],
        before: StoredBefore,
        generation: int,
    ) -> None:
        self.generations[pool] = generation
        has_changed = self.versions.stored.get(pool) != versions
        self.versions.observe_stored(pool, versions, before)
        if has_changed:
            log.info(
                "Versions stored.", extra={"pool": pool, "versions": sorted(versions)}
            )
            self.on_stored()

    async def _write_streams(self, pool: PoolId, now: float) -> None:
        if self.lease_generation != self.store.generation:
            # A restored store may lack what was written.
            self.written_until.clear()
            self.lease, self.lease_generation = 0, self.store.generation
        since = self.written_until.get(pool)
        if since is None:
            # Also those that earlier coordinators have told of.
            rows = self.versions.streams_of(pool)
        else:
            rows = self.versions.coordinated_since(pool, since)
        for first in range(0, len(rows), MAX_RECORD_STREAMS):
            part = rows[first : first + MAX_RECORD_STREAMS]
            if not await self._write_segment(pool, part, now):
                return
        if rows or since is None:
            self.written_until[pool] = max((at for at, *_ in rows), default=now)

    async def _write_segment(
        self,
        pool: PoolId,
        rows: list[tuple[float, RequestKey, SoftwareVersion]],
        now: float,
    ) -> bool:
        """Write streams in a record of their own; return whether that was done."""
        by_version: dict[SoftwareVersion, list[RequestKey]] = {}
        for _, stream, version in rows:
            by_version.setdefault(version, []).append(stream)
        if not self.lease or now - self.lease_opened > LEASE_USED_S:
            self.lease = await self.store.open_lease(LEASE_S)
            self.lease_opened = now
        segment = self.segments.get(pool, 0)
        name = f"{self.membership.id}/{segment % SEGMENTS}"
        values = {streams_key(pool, name): json.dumps(by_version).encode()}
        if isinstance(await self.store.write(values, self.lease), LeaseExpired):
            self.lease = 0
            return False
        self.segments[pool] = segment + 1
        return True

    # Reading

    def receive_versions(self, pool: PoolId, record: bytes) -> None:
        """Apply the versions that the coordinator of a pool has stored."""
        try:
            value = parse_json(record)
            versions = _versions(value["versions"])
            generation = int(value["generation"])
            routes = frozenset((str(h), str(p)) for h, p in value.get("routes", ()))
            told = None
            if "before" in value:
                instance, incarnation = value["by"]
                told_by = InstanceId(str(instance)), int(incarnation)
                told = StoredBefore(_versions(value["before"]), told_by)
        except (ValueError, TypeError, LookupError, AttributeError) as error:
            self._report_unreadable(pool, error)
            return
        if generation != self.store.generation:
            # From before a restore, so that later versions may be missing.
            self._distrust(pool)
            return
        if "routes" in value:
            self.routes[pool] = routes
        self.told[pool] = told
        self._set_stored(pool, versions, told or StoredBefore(versions), generation)

    def _distrust(self, pool: PoolId) -> None:
        self.versions.forget_stored(pool)
        self.distrusted[pool] = boot_time()

    def observe_listing(self) -> None:
        """Forget what was stored before a restore, unless a listing has it.

        At the start, what is stored tells which routes led to pools before.
        """
        for pool in list(self.versions.stored):
            if self.generations.get(pool) != self.store.generation:
                self._distrust(pool)
                self.routes.pop(pool, None)
        if not self.route_pools.version:
            self.route_pools.observe_stored(self.routes)

    def receive_streams(self, pool: PoolId, record: bytes) -> None:
        """Apply streams that the coordinator of a pool has stored."""
        try:
            value = parse_json(record)
            rows = [
                (SoftwareVersion(str(version)), [RequestKey(str(s)) for s in streams])
                for version, streams in value.items()
            ]
        except (ValueError, TypeError, AttributeError) as error:
            self._report_unreadable(pool, error)
            return
        for version, streams in rows:
            self.versions.receive_stored(pool, streams, version, boot_time())

    def _report_unreadable(self, pool: PoolId, error: Exception) -> None:
        extra = {"pool": pool[:MAX_SHOWN], "error": shown(error)}
        log.error("Streams unreadable.", extra=extra)


def _versions(names: Iterable[object]) -> frozenset[SoftwareVersion]:
    return frozenset(SoftwareVersion(str(name)) for name in names)

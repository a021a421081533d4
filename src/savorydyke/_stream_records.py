"""Keeps the software versions of streams in the platform's store.

All instances may be killed at once, and callers take their streams up again. A pool
mostly has one version, and its name is all that is stored. While there are several, or
its routes have other pools as well, the coordinator also stores the streams that began,
a few times a second, in records of which each holds what is new.
"""

import json
from dataclasses import dataclass, field

from savorydyke import _logs
from savorydyke._configuration_age import boot_time
from savorydyke._ids import PoolId, RequestKey, SoftwareVersion
from savorydyke._membership import Membership
from savorydyke._route_pools import RoutePools
from savorydyke._stream_versions import KEPT_S, StreamVersions
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
SEGMENTS = int(KEPT_S / WRITE_INTERVAL_S)
"""Records of a pool; the oldest is replaced."""
LEASE_S = 2 * KEPT_S
LEASE_USED_S = KEPT_S
"""Time for which records get the same lease, so that none ends too early."""

log = _logs.component_logger("streams")


@dataclass
class StreamRecords:
    """Writes and reads the records.

    Attributes
    ----------
    written_until : dict of PoolId to float
        Time up to which the streams of a pool have been written.
    generations : dict of PoolId to int
        Generation of the store in which the versions of a pool were written or read.
    distrusted : dict of PoolId to float
        When versions were read that later ones may be missing from.
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
    written_until: dict[PoolId, float] = field(default_factory=dict)
    generations: dict[PoolId, int] = field(default_factory=dict)
    distrusted: dict[PoolId, float] = field(default_factory=dict)
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
            is_written = not versions or self._is_stored(pool, versions)
            # Streams have to be told apart by version, or by pool.
            is_mixed = len(versions) > 1 or self.route_pools.is_shared(pool, now)
            # Who coordinates a pool costs more to find out, in a large fleet.
            if is_written and not is_mixed:
                continue
            if not self.membership.is_coordinator(pool):
                continue
            if not is_written:
                await self._write_versions(pool, versions)
            if is_mixed:
                await self._write_streams(pool, now)

    def _is_stored(self, pool: PoolId, versions: frozenset[SoftwareVersion]) -> bool:
        is_same = self.versions.stored.get(pool) == versions
        return is_same and self.generations.get(pool) == self.store.generation

    async def _write_versions(
        self, pool: PoolId, versions: frozenset[SoftwareVersion]
    ) -> None:
        if len(versions) == 1 and pool in self.distrusted:
            if boot_time() - self.distrusted[pool] < KEPT_S:
                return
            del self.distrusted[pool]
        generation = self.store.generation
        value = {"generation": generation, "versions": sorted(versions)}
        await self.store.write({versions_key(pool): json.dumps(value).encode()})
        self.versions.stored[pool] = versions
        self.generations[pool] = generation

    async def _write_streams(self, pool: PoolId, now: float) -> None:
        if self.lease_generation != self.store.generation:
            # A restored store may lack what was written.
            self.written_until.clear()
            self.lease, self.lease_generation = 0, self.store.generation
        rows = self.versions.coordinated_since(
            pool, self.written_until.get(pool, now - KEPT_S)
        )
        if not rows:
            return
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
            return
        self.segments[pool] = segment + 1
        self.written_until[pool] = rows[-1][0]

    # Reading

    def receive_versions(self, pool: PoolId, record: bytes) -> None:
        """Apply the versions that the coordinator of a pool has stored."""
        try:
            value = parse_json(record)
            versions = frozenset(SoftwareVersion(str(v)) for v in value["versions"])
            generation = int(value["generation"])
        except (ValueError, TypeError, LookupError, AttributeError) as error:
            self._report_unreadable(pool, error)
            return
        if generation != self.store.generation:
            # From before a restore, so that later versions may be missing.
            self.versions.stored.pop(pool, None)
            self.distrusted[pool] = boot_time()
            return
        self.versions.stored[pool] = versions
        self.generations[pool] = generation

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

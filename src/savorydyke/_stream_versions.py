"""Keeps which pool and software version began each stream; it goes on at no other.

What two versions of an endpoint's software write does not fit together, and endpoints
do not check it. An instance knows the version of the streams that it relays, the
coordinator of a pool that of all its streams, and the next coordinator is told. A
stream that nobody knows is known all the same if its pool has had one version only.

No stream begins at a version before the store says that the pool has it. What the store
said when an instance started thus tells which versions may have begun streams until
then, whatever endpoints are listed since.

Times are seconds on a clock that counts suspension and are passed in.
"""

import math
from collections import OrderedDict, defaultdict, deque
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

from savorydyke._ids import (
    UNKNOWN_VERSION,
    InstanceId,
    PoolId,
    RequestKey,
    SoftwareVersion,
)
from savorydyke._manifest import Manifest
from savorydyke._messages import StreamPush

KEPT_S = 30.0
"""Time after its first event in which a caller may take up a stream."""
MAX_STREAMS = 20_000
MAX_GAP_S = 1.5
"""Time before a list of endpoints in which a version may have come and gone, if what
happened since the list before is not known."""
POOL_MARK = "//"
"""Ends the entry that names the pool of the streams in a message. No stream's key ends
so, since ids are not empty."""
UNKNOWN_DETAIL = "the software version that began this stream is not known"


@dataclass(frozen=True)
class Begun:
    """A stream that began.

    Attributes
    ----------
    at : float
        When it was last heard of.
    """

    version: SoftwareVersion
    at: float


@dataclass(frozen=True)
class StoredBefore:
    """The versions at which streams that are not known may have begun.

    Attributes
    ----------
    told_by : tuple or None
        The process, by instance and incarnation, that says so. It has seen what was
        stored before versions were added, and counts while it runs. None if that was
        seen here.
    """

    versions: frozenset[SoftwareVersion]
    told_by: tuple[InstanceId, int] | None = None


@dataclass
class StreamVersions:
    """The streams that this instance knows, and the versions of each pool.

    Attributes
    ----------
    streams : OrderedDict of (PoolId, RequestKey) to Begun
        Streams by pool and the attempt that brought their first event, the latest
        last.
    untold : dict
        Streams of the pools coordinated here that the next coordinator does not
        know, by pool and version.
    last_seen : dict
        When an endpoint of a version was last listed, by pool and version.
    listed : dict of PoolId to set of SoftwareVersion
        The versions of the endpoints that are listed now.
    viewed : float
        Up to when all changes of endpoints are known.
    complete_since : float
        Since when no version of a pool can have been missed.
    coordinated : dict of PoolId to deque
        The streams of the pools coordinated here with the times at which they were
        heard of, the latest last.
    stored : dict of PoolId to frozenset of SoftwareVersion
        The versions that may have begun streams that callers may still take up, as
        coordinators have stored them.
    before : dict of PoolId to StoredBefore
        The same, as it was at `complete_since`. Streams that began at versions added
        since are known to those who coordinate.
    is_running : callable
        Whether the process of an instance is running still.
    """

    streams: OrderedDict[tuple[PoolId, RequestKey], Begun] = field(
        default_factory=OrderedDict
    )
    untold: dict[PoolId, dict[SoftwareVersion, list[RequestKey]]] = field(
        default_factory=dict
    )
    last_seen: dict[PoolId, dict[SoftwareVersion, float]] = field(
        default_factory=lambda: defaultdict(dict)
    )
    listed: dict[PoolId, set[SoftwareVersion]] = field(default_factory=dict)
    viewed: float = -math.inf
    complete_since: float = math.inf
    coordinated: dict[PoolId, deque[tuple[float, RequestKey, SoftwareVersion]]] = field(
        default_factory=dict
    )
    stored: dict[PoolId, frozenset[SoftwareVersion]] = field(default_factory=dict)
    before: dict[PoolId, StoredBefore] = field(default_factory=dict)
    is_running: Callable[[InstanceId, int], bool] = field(
        default=lambda instance, incarnation: False
    )

    # Streams

    def record(
        self, pool: PoolId, stream: RequestKey, version: SoftwareVersion, now: float
    ) -> None:
        """Record the version at which a stream began, or at which it goes on."""
        self.streams[pool, stream] = Begun(version, now)
        self.streams.move_to_end((pool, stream))
        while len(self.streams) > MAX_STREAMS:
            self.streams.popitem(last=False)

    def record_coordinated(
        self, pool: PoolId, stream: RequestKey, version: SoftwareVersion, now: float
    ) -> None:
        """Record a stream of a pool that is coordinated here."""
        self.record(pool, stream, version, now)
        by_version = self.untold.setdefault(pool, {})
        by_version.setdefault(version, []).append(stream)
        kept = self.coordinated.setdefault(pool, deque(maxlen=MAX_STREAMS))
        kept.append((now, stream, version))

    def take_untold(self, pool: PoolId) -> list[StreamPush]:
        """Return what to tell the next coordinator of a pool, and forget it."""
        by_version = self.untold.pop(pool, {})
        first = RequestKey(f"{pool}{POOL_MARK}")
        return [
            StreamPush(version, (first, *streams))
            for version, streams in by_version.items()
        ]

    def receive(
        self, message: StreamPush, pools: Collection[PoolId], now: float
    ) -> None:
        """Record what the coordinator of a pool has told.

        Parameters
        ----------
        pools : collection of PoolId
            Those that the sender coordinates. An earlier build does not name the
            pool.
        """
        first, streams = message.streams[:1], message.streams
        if first and first[0].endswith(POOL_MARK):
            pools, streams = [PoolId(first[0][: -len(POOL_MARK)])], streams[1:]
        if len(pools) != 1:
            return
        (pool,) = pools
        for stream in streams:
            self.record(pool, stream, message.version, now)

    def drop_old(self, now: float) -> None:
        """Forget the streams that no caller takes up any more."""
        for kept in self.coordinated.values():
            while kept and now - kept[0][0] > KEPT_S:
                kept.popleft()
        while self.streams:
            key, begun = next(iter(self.streams.items()))
            if now - begun.at <= KEPT_S:
                return
            del self.streams[key]

    def known_version(
        self, stream: RequestKey, pool: PoolId, now: float
    ) -> SoftwareVersion:
        """Return the version that began a stream, if the stream itself is known."""
        begun = self._begun(stream, pool, now)
        return begun.version if begun is not None else UNKNOWN_VERSION

    def pool_of(
        self, stream: RequestKey, pools: Iterable[PoolId], now: float
    ) -> PoolId | None:
        """Return which of some pools began a stream, None if that is not known."""
        for pool in pools:
            if self._begun(stream, pool, now) is not None:
                return pool
        return None

    def _begun(self, stream: RequestKey, pool: PoolId, now: float) -> Begun | None:
        begun = self.streams.get((pool, stream))
        return begun if begun is not None and now - begun.at <= KEPT_S else None

    # Versions of a pool

    def observe_view(self, asked: float) -> None:
        """Record that all changes of endpoints up to `asked` are known."""
        self.viewed = max(self.viewed, asked)

    def observe_listing(self, asked: float) -> None:
        """Record that all records were listed without what happened before."""
        if asked - self.viewed <= MAX_GAP_S:
            return
        if self.complete_since < math.inf:
            # Others may have added versions that this instance was not told of.
            self.before = {p: StoredBefore(v) for p, v in self.stored.items()}
        self.complete_since = asked

    def observe_stored(
        self, pool: PoolId, versions: frozenset[SoftwareVersion], before: StoredBefore
    ) -> None:
        """Record what the store says of a pool now, and what it said before.

        What was seen here first is kept.
        """
        self.stored[pool] = versions
        known = self.before.get(pool)
        if known is None or known.told_by is not None:
            self.before[pool] = before

    def forget_stored(self, pool: PoolId) -> None:
        """Forget what the store said of a pool."""
        self.stored.pop(pool, None)
        self.before.pop(pool, None)

    def observe_loss(self) -> None:
        """Record that an instance was lost, which may have told nobody of its streams.

        They may have begun at versions that were added lately.
        """
        for pool, before in list(self.before.items()):
            versions = before.versions | self.stored.get(pool, frozenset())
            self.before[pool] = StoredBefore(versions)

    def versions_before(
        self, pool: PoolId, now: float
    ) -> frozenset[SoftwareVersion] | None:
        """Return the versions that may have begun unknown streams, None if not known.

        They are known for as long as callers may take up streams from before.
        """
        before = self.before.get(pool)
        if before is None or now - self.complete_since >= KEPT_S:
            return None
        if before.told_by is not None and not self.is_running(*before.told_by):
            return None
        return before.versions

    def observe_record(
        self, pool: PoolId, version: SoftwareVersion, now: float
    ) -> None:
        """Record the version of an endpoint, which may be gone at the next list."""
        self.last_seen[pool][version] = now

    def observe_endpoints(self, manifest: Manifest, now: float) -> None:
        """Record the versions of the endpoints that are now listed."""
        listed = _versions(manifest)
        # Until now an endpoint that is no longer listed may have begun streams.
        for pool in {*self.listed, *listed}:
            for version in self.listed.get(pool, set()) | listed.get(pool, set()):
                self.last_seen[pool][version] = now
        self.listed = listed

    def only_version(
        self, pool: PoolId, now: float, asked: float, is_told: bool
    ) -> SoftwareVersion:
        """Return the only version that can have begun a stream that is not known here.

        `UNKNOWN_VERSION` is returned if there may have been several, also if the
        endpoints have not been known for long enough.

        Parameters
        ----------
        asked : float
            When the stream was asked for. An endpoint that began it was listed by
            then, and an instance that has not seen it may not guess.
        is_told : bool
            Whether this instance is told of the streams that begin, as a coordinator
            that reaches the others is.
        """
        if self.viewed < asked:
            return UNKNOWN_VERSION
        versions = self.recent_versions(pool, now)
        if now - self.complete_since < KEPT_S:
            before = self.versions_before(pool, now)
            if before is None:
                return UNKNOWN_VERSION
            added = frozenset() if is_told else self.stored.get(pool, frozenset())
            versions = before | added
        return min(versions) if len(versions) == 1 else UNKNOWN_VERSION

    def may_begin(self, pool: PoolId, version: SoftwareVersion) -> bool:
        """Return whether new streams of a pool may begin at a listed version.

        They may if the store names it, or names none that is listed. A stream that
        nobody knows is not taken for one of the others then.
        """
        stored = self.stored.get(pool, frozenset())
        return version in stored or not stored & self.listed.get(pool, set())

    def streams_of(
        self, pool: PoolId
    ) -> list[tuple[float, RequestKey, SoftwareVersion]]:
        """Return all known streams of a pool, with the times of their latest news."""
        return [
            (begun.at, stream, begun.version)
            for (its_pool, stream), begun in self.streams.items()
            if its_pool == pool
        ]

    def recent_versions(self, pool: PoolId, now: float) -> frozenset[SoftwareVersion]:
        """Return the versions that may have begun streams of a pool lately.

        Those before the start of this instance are as stored.
        """
        listed = self.listed.get(pool, set())
        recent = {
            version
            for version, seen in self.last_seen[pool].items()
            if version in listed or now - seen <= KEPT_S
        }
        if now - self.complete_since < KEPT_S:
            recent |= self.stored.get(pool, frozenset())
        return frozenset(recent)

    def coordinated_since(
        self, pool: PoolId, since: float
    ) -> list[tuple[float, RequestKey, SoftwareVersion]]:
        """Return the streams of a pool that were heard of after a time."""
        return [row for row in self.coordinated.get(pool, ()) if row[0] > since]

    def receive_stored(
        self,
        pool: PoolId,
        streams: Iterable[RequestKey],
        version: SoftwareVersion,
        now: float,
    ) -> None:
        """Record streams that a coordinator has stored, unless they are known."""
        for stream in streams:
            if (pool, stream) not in self.streams:
                self.record(pool, stream, version, now)


def _versions(manifest: Manifest) -> dict[PoolId, set[SoftwareVersion]]:
    """Return the versions of the endpoints of each pool."""
    versions: dict[PoolId, set[SoftwareVersion]] = {}
    for endpoint in manifest.endpoints.values():
        versions.setdefault(endpoint.pool, set()).add(endpoint.version)
    return versions

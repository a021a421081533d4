"""Keeps which software version began each stream, so that it goes on at no other.

What two versions of an endpoint's software write does not fit together, and endpoints
do not check it. An instance knows the version of the streams that it relays, the
coordinator of a pool that of all its streams, and the next coordinator is told. A
stream that nobody knows is known all the same if its pool has had one version only.

Times are seconds on a clock that counts suspension and are passed in.
"""

import math
from collections import OrderedDict, defaultdict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from savorydyke._ids import UNKNOWN_VERSION, PoolId, RequestKey, SoftwareVersion
from savorydyke._manifest import Manifest
from savorydyke._messages import StreamPush

KEPT_S = 30.0
"""Time after its first event in which a caller may take up a stream."""
MAX_STREAMS = 20_000
MAX_VIEW_AGE_S = 1.5
"""Age of the list of endpoints above which another version may have come."""
MAX_GAP_S = 5.0
"""Time without the list in which a version may have come and gone."""
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


@dataclass
class StreamVersions:
    """The streams that this instance knows, and the versions of each pool.

    Attributes
    ----------
    streams : OrderedDict of RequestKey to Begun
        Streams by the attempt that brought their first event, the latest last.
    untold : dict
        Streams of the pools coordinated here that the next coordinator does not
        know, by pool and version.
    last_seen : dict
        When an endpoint of a version was last listed, by pool and version.
    listed : dict of PoolId to set of SoftwareVersion
        The versions of the endpoints that are listed now.
    viewed : float
        When the latest list of endpoints was asked for.
    complete_since : float
        Since when no version of a pool can have been missed.
    coordinated : dict of PoolId to deque
        The streams of the pools coordinated here with the times at which they were
        heard of, the latest last.
    stored : dict of PoolId to frozenset of SoftwareVersion
        The versions that may have begun streams that callers may still take up, as
        coordinators have stored them.
    """

    streams: OrderedDict[RequestKey, Begun] = field(default_factory=OrderedDict)
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

    # Streams

    def record(self, stream: RequestKey, version: SoftwareVersion, now: float) -> None:
        """Record the version at which a stream began, or at which it goes on."""
        self.streams[stream] = Begun(version, now)
        self.streams.move_to_end(stream)
        while len(self.streams) > MAX_STREAMS:
            self.streams.popitem(last=False)

    def record_coordinated(
        self, pool: PoolId, stream: RequestKey, version: SoftwareVersion, now: float
    ) -> None:
        """Record a stream of a pool that is coordinated here."""
        self.record(stream, version, now)
        by_version = self.untold.setdefault(pool, {})
        by_version.setdefault(version, []).append(stream)
        kept = self.coordinated.setdefault(pool, deque(maxlen=MAX_STREAMS))
        kept.append((now, stream, version))

    def take_untold(self, pool: PoolId) -> list[StreamPush]:
        """Return what to tell the next coordinator of a pool, and forget it."""
        by_version = self.untold.pop(pool, {})
        return [StreamPush(v, tuple(streams)) for v, streams in by_version.items()]

    def receive(self, message: StreamPush, now: float) -> None:
        """Record what the coordinator of a pool has told."""
        for stream in message.streams:
            self.record(stream, message.version, now)

    def drop_old(self, now: float) -> None:
        """Forget the streams that no caller takes up any more."""
        for kept in self.coordinated.values():
            while kept and now - kept[0][0] > KEPT_S:
                kept.popleft()
        while self.streams:
            stream, begun = next(iter(self.streams.items()))
            if now - begun.at <= KEPT_S:
                return
            del self.streams[stream]

    def version_of(
        self, stream: RequestKey, pool: PoolId, now: float
    ) -> SoftwareVersion:
        """Return the version that began a stream, `UNKNOWN_VERSION` if not known."""
        begun = self.streams.get(stream)
        if begun is not None and now - begun.at <= KEPT_S:
            return begun.version
        return self.only_version(pool, now)

    # Versions of a pool

    def observe_view(self, asked: float) -> None:
        """Record that the list of endpoints is as of `asked` or later."""
        if asked - self.viewed > MAX_GAP_S:
            self.complete_since = asked
        self.viewed = max(self.viewed, asked)

    def observe_endpoints(self, manifest: Manifest, now: float) -> None:
        """Record the versions of the endpoints that are now listed."""
        listed = _versions(manifest)
        # Until now an endpoint that is no longer listed may have begun streams.
        for pool in {*self.listed, *listed}:
            for version in self.listed.get(pool, set()) | listed.get(pool, set()):
                self.last_seen[pool][version] = now
        self.listed = listed

    def only_version(self, pool: PoolId, now: float) -> SoftwareVersion:
        """Return the only version that can have begun a stream of a pool.

        `UNKNOWN_VERSION` is returned if there may have been several, also if the list
        of endpoints is too old or has not been known for long enough.
        """
        if now - self.viewed > MAX_VIEW_AGE_S:
            return UNKNOWN_VERSION
        if now - self.complete_since < KEPT_S and pool not in self.stored:
            return UNKNOWN_VERSION
        versions = self.recent_versions(pool, now)
        return min(versions) if len(versions) == 1 else UNKNOWN_VERSION

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
        self, streams: Iterable[RequestKey], version: SoftwareVersion, now: float
    ) -> None:
        """Record streams that a coordinator has stored, unless they are known."""
        for stream in streams:
            if stream not in self.streams:
                self.record(stream, version, now)


def _versions(manifest: Manifest) -> dict[PoolId, set[SoftwareVersion]]:
    """Return the versions of the endpoints of each pool."""
    versions: dict[PoolId, set[SoftwareVersion]] = {}
    for endpoint in manifest.endpoints.values():
        versions.setdefault(endpoint.pool, set()).add(endpoint.version)
    return versions

"""Which pools may have begun the streams of a route that callers may still take up.

A route may be split over several pools, and a new version of the configuration may move
it to others. A stream goes on in the pool that began it.

Times are seconds on a clock that counts suspension and are passed in.
"""

import math
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from savorydyke._ids import PoolId
from savorydyke._routes import RoutedConfiguration
from savorydyke._stream_versions import KEPT_S

RouteKey = tuple[str, str]
"""Host and prefix of a route."""
RECENT_S = 5.0
"""Time after which it is found out again which routes led to pools lately."""


@dataclass
class RoutePools:
    """The pools of the streaming routes, now and lately.

    Attributes
    ----------
    until : dict
        By host and prefix of a route, the time up to which each pool was one of its
        targets; infinite for the present ones.
    since : dict
        By host and prefix, since when the route exists.
    shared_until : dict of PoolId to float
        Up to when streams of a pool may be taken for those of another one.
    version : int
        The version of the configuration that was observed last, 0 for none.
    stored_pools : set of PoolId
        Those of which is known where routes led to them before this instance started.
    recent : dict of PoolId to frozenset
        Host and prefix of the routes that led to each pool lately.
    recent_at : float
        When that was last found out.
    """

    until: dict[str, dict[str, dict[PoolId, float]]] = field(default_factory=dict)
    since: dict[tuple[str, str], float] = field(default_factory=dict)
    shared_until: dict[PoolId, float] = field(default_factory=dict)
    version: int = 0
    stored_pools: set[PoolId] = field(default_factory=set)
    recent: dict[PoolId, frozenset[RouteKey]] = field(default_factory=dict)
    recent_at: float = -math.inf

    def observe_stored(self, routes: Mapping[PoolId, Iterable[RouteKey]]) -> None:
        """Record which routes led to pools before this instance started.

        The first configuration then counts as a change. Without this, it counts as one
        that was in force before.
        """
        self.stored_pools = set(routes)
        for pool, keys in routes.items():
            for host, prefix in keys:
                pools = self.until.setdefault(host, {}).setdefault(prefix, {})
                pools[pool] = math.inf
                self.since[host, prefix] = -math.inf

    def recent_routes(self, pool: PoolId, now: float) -> frozenset[RouteKey]:
        """Return host and prefix of the routes whose streams a pool may have begun."""
        if now - self.recent_at > RECENT_S:
            found: dict[PoolId, set[RouteKey]] = {}
            for host, prefixes in self.until.items():
                for prefix, pools in prefixes.items():
                    for name, until in pools.items():
                        if now - until <= KEPT_S:
                            found.setdefault(name, set()).add((host, prefix))
            self.recent = {name: frozenset(keys) for name, keys in found.items()}
            self.recent_at = now
        return self.recent.get(pool, frozenset())

    def observe_configuration(
        self, configuration: RoutedConfiguration, now: float
    ) -> None:
        """Record the targets of a version that is in force from now on."""
        if configuration.version == self.version:
            return
        targets = {
            (route.host, route.prefix): {target.pool for target in route.targets}
            for route in configuration.routes
            if route.streaming
        }
        self._drop_old(now)
        # Of two new routes the longer one has not taken over paths of the shorter one.
        for key in sorted({*targets, *self._present()}, key=lambda k: -len(k[1])):
            self._set_targets(key, targets.get(key, set()), now)
        self.version = configuration.version
        self.recent_at = -math.inf

    def candidates(self, host: str, path: str, now: float) -> frozenset[PoolId]:
        """Return the pools that may have begun a stream at a path."""
        prefixes = self.until.get(host, {})
        found: set[PoolId] = set()
        for prefix in _prefixes(path):
            pools = prefixes.get(prefix)
            if pools is None:
                continue
            found.update(p for p, until in pools.items() if now - until <= KEPT_S)
            is_old = now - self.since.get((host, prefix), now) > KEPT_S
            if is_old and math.inf in pools.values():
                break
        return frozenset(found)

    def is_shared(self, pool: PoolId, now: float) -> bool:
        """Return whether a stream that is asked for here may be another pool's."""
        return now < self.shared_until.get(pool, -math.inf)

    def _present(self) -> list[tuple[str, str]]:
        return [
            (host, prefix)
            for host, prefixes in self.until.items()
            for prefix, pools in prefixes.items()
            if math.inf in pools.values()
        ]

    def _set_targets(
        self, key: tuple[str, str], targets: set[PoolId], now: float
    ) -> None:
        host, prefix = key
        pools = self.until.setdefault(host, {}).setdefault(prefix, {})
        present = {pool for pool, until in pools.items() if until == math.inf}
        if present != targets:
            mixed = set(self.candidates(host, prefix, now)) | targets
            if not present:
                is_new = self.version or targets <= self.stored_pools
                if not is_new:
                    # The first configuration counts as one that was in force before.
                    mixed = targets
                self.since[key] = now if is_new else -math.inf
            pools.update(dict.fromkeys(present - targets, now))
            pools.update(dict.fromkeys(targets, math.inf))
            if len(mixed) > 1:
                self._share(mixed, now + KEPT_S)
        if len(targets) > 1:
            self._share(targets, math.inf)

    def _share(self, pools: set[PoolId] | frozenset[PoolId], until: float) -> None:
        for pool in pools:
            self.shared_until[pool] = max(until, self.shared_until.get(pool, until))

    def _drop_old(self, now: float) -> None:
        """Forget targets whose streams nobody takes up any more."""
        self.shared_until = {
            pool: min(until, now + KEPT_S)
            for pool, until in self.shared_until.items()
            if until > now
        }
        for host, prefixes in list(self.until.items()):
            for prefix, pools in list(prefixes.items()):
                for pool, until in list(pools.items()):
                    if now - until > KEPT_S:
                        del pools[pool]
                if not pools:
                    del prefixes[prefix]
                    self.since.pop((host, prefix), None)
            if not prefixes:
                del self.until[host]


def _prefixes(path: str) -> Iterator[str]:
    """Yield the prefixes of a path that a route may have, the longest first."""
    end = path.rfind("/")
    while end >= 0:
        yield path[: end + 1]
        end = path.rfind("/", 0, end)

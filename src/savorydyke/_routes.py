"""Routes: which pool serves a request, its time limits, and whether it may be retried.

The configuration of a routed deployment is immutable: a new version replaces it
as a whole.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from savorydyke._ids import PoolId, TeamId
from savorydyke._ingress import IngressLimits
from savorydyke._manifest import PoolKind

PUBLIC_TEAM = TeamId("(public)")
"""The calling team of requests on public routes."""


@dataclass(frozen=True)
class Target:
    """One pool of a route and its share of the route's requests."""

    pool: PoolId
    weight: float


@dataclass(frozen=True)
class Route:
    """How requests for a host and a path prefix are served.

    Attributes
    ----------
    prefix : str
        Begins and ends with a slash.
    is_retryable : bool
        Whether a request may run more than once.
    resumable : bool
        Whether an interrupted stream may be continued at another endpoint.
    max_endpoints : int
        Most endpoints to which one request may be sent.
    timeout_s : float
        Time limit for the complete answer.
    objective_s : float
        Time in which an answer, or the first event of a stream, is due.
    abandon_after_s : float
        Time after which callers abandon a stream that has not begun.
    urgency : int
        Rank within a calling team's tier, 0 for the highest.
    public : bool
        Whether no key is needed.
    affinity : bool
        Whether its requests name the parts of their prompts, and go to endpoints that
        hold them if that is quicker.
    """

    name: str
    host: str
    prefix: str
    targets: tuple[Target, ...]
    streaming: bool
    is_retryable: bool
    resumable: bool
    max_endpoints: int
    timeout_s: float
    objective_s: float
    abandon_after_s: float
    urgency: int
    public: bool
    affinity: bool = False

    def pools(self) -> tuple[PoolId, ...]:
        """Return the pools that get a part of its requests, each once."""
        return tuple(dict.fromkeys(t.pool for t in self.targets if t.weight > 0))

    def choose_pool(self, draw: float) -> PoolId:
        """Return a pool by weight; `draw` is uniform in [0, 1)."""
        left = draw * sum(target.weight for target in self.targets)
        for target in self.targets:
            left -= target.weight
            if left < 0:
                return target.pool
        return self.targets[-1].pool


@dataclass(frozen=True)
class TeamQuota:
    """Tokens that a calling team may use, across all instances.

    Attributes
    ----------
    tokens_per_s, burst : float
        Refill and size of the bucket; no limit if `tokens_per_s` is 0.
    """

    tokens_per_s: float = 0.0
    burst: float = 0.0


@dataclass(frozen=True)
class RoutedTeam:
    """A calling team of a routed deployment.

    Attributes
    ----------
    rank : int
        Rank of its tier, 0 for the highest.
    default_tokens : int
        What a request counts against the quota if it does not give its tokens.
    counts_tokens : bool
        Whether the quota is in tokens rather than in requests.
    """

    id: TeamId
    rank: int
    keys: tuple[str, ...]
    quota: TeamQuota = TeamQuota()
    default_tokens: int = 1
    counts_tokens: bool = False


@dataclass(frozen=True)
class RoutedPool:
    """A pool of a routed deployment.

    Attributes
    ----------
    slots : int
        Requests that one endpoint runs at once; 0 if not given for the pool.
    memory_tokens : int
        Tokens that fit into an engine's memory; 0 if the pool is not of engines.
    tokens_per_event : int
        Tokens in one event of a stream.
    """

    id: PoolId
    kind: PoolKind
    slots: int = 0
    memory_tokens: int = 0
    tokens_per_event: int = 1


@dataclass(frozen=True)
class RoutedConfiguration:
    """One version of routes, pools, calling teams and limits.

    Attributes
    ----------
    version : int
        Increases with each change.
    """

    version: int
    routes: tuple[Route, ...]
    pools: Mapping[PoolId, RoutedPool]
    teams: Mapping[TeamId, RoutedTeam]
    limits: IngressLimits
    by_host: Mapping[str, tuple[Route, ...]] = field(repr=False)
    team_of_key: Mapping[str, TeamId] = field(repr=False)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of `path`, or None."""
        for route in self.by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def build_configuration(
    version: int,
    routes: list[Route],
    pools: list[RoutedPool],
    teams: list[RoutedTeam],
    limits: IngressLimits,
) -> RoutedConfiguration:
    """Return a configuration with its lookup tables."""
    by_host: dict[str, list[Route]] = {}
    for route in sorted(routes, key=lambda r: len(r.prefix), reverse=True):
        by_host.setdefault(route.host, []).append(route)
    return RoutedConfiguration(
        version=version,
        routes=tuple(routes),
        pools={pool.id: pool for pool in pools},
        teams={team.id: team for team in teams},
        limits=limits,
        by_host={host: tuple(found) for host, found in by_host.items()},
        team_of_key={key: team.id for team in teams for key in team.keys},
    )

"""Placement by a frontend itself, while the coordinator of a pool does not answer.

Each instance may use a fixed share of every endpoint's slots, so that all together
do not use more than there are, even if they cannot reach each other.
"""

from collections import Counter
from collections.abc import Callable, Iterable

from savorydyke._grant_client import Demand
from savorydyke._ids import EndpointId, InstanceId
from savorydyke._manifest import Manifest
from savorydyke._membership import rendezvous_score


def place_fallback(
    manifest: Manifest,
    demand: Demand,
    avoid: tuple[EndpointId, ...],
    is_unusable: Callable[[EndpointId], bool],
    in_flight: Iterable[EndpointId],
    instance: InstanceId,
    instances: int,
) -> EndpointId | None:
    """Return an endpoint within this instance's share, or None.

    Parameters
    ----------
    is_unusable : callable
        Whether an endpoint takes no new requests.
    in_flight : iterable of EndpointId
        The endpoint of each request of this instance.
    instances : int
        How many instances share the endpoints.
    """
    used = Counter(in_flight)
    free = [
        spec
        for name in manifest.reachable(demand.team, demand.pool)
        if not (spec := manifest.endpoints[name]).drained
        and name not in avoid
        and not is_unusable(name)
        and demand.version in {"", spec.version}
        and used[name] < max(1, spec.max_concurrency // max(1, instances))
    ]
    if not free:
        return None
    # The hash makes instances start with different endpoints.
    best = min(free, key=lambda s: (used[s.id], rendezvous_score(s.id, instance)))
    return best.id

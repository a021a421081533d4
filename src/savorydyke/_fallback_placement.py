"""Placement by a frontend itself, while the coordinator of a pool does not answer.

Each instance may use a fixed share of every endpoint's slots and memory, so that all
together do not use more than there are, even if they cannot reach each other.
"""

import math
from collections import Counter
from collections.abc import Callable, Iterable

from savorydyke._grant_client import FALLBACK, Demand, InFlight
from savorydyke._ids import EndpointId, InstanceId
from savorydyke._manifest import Endpoint, Manifest
from savorydyke._membership import rendezvous_score
from savorydyke.scheduling import UNKNOWN_RATIO, FallbackMemory


def place_fallback(
    manifest: Manifest,
    demand: Demand,
    avoid: tuple[EndpointId, ...],
    is_unusable: Callable[[EndpointId], bool],
    in_flight: Iterable[EndpointId],
    instance: InstanceId,
    instances: int,
    has_memory: Callable[[Endpoint], bool] = lambda endpoint: True,
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
    has_memory : callable
        Whether the request fits into this instance's part of an endpoint's memory.
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
        and has_memory(spec)
    ]
    if not free:
        return None
    # The hash makes instances start with different endpoints.
    best = min(free, key=lambda s: (used[s.id], rendezvous_score(s.id, instance)))
    return best.id


def reserved_tokens(demand: Demand) -> int:
    """Return the memory that a request may need at most, as far as is known.

    What a frontend sees of the pool's answers is too little to learn from.
    """
    hinted = demand.output_tokens
    most = demand.max_output_tokens or math.ceil(UNKNOWN_RATIO * hinted)
    return demand.prompt_tokens + max(hinted, most)


def own_tokens(in_flight: Iterable[InFlight]) -> Counter[EndpointId]:
    """Return the memory by endpoint of the requests that this instance has placed."""
    used: Counter[EndpointId] = Counter()
    for item in in_flight:
        if item.granted.coordinator == FALLBACK:
            used[item.granted.endpoint] += reserved_tokens(item.demand)
    return used


def has_memory(
    endpoint: Endpoint,
    demand: Demand,
    memory: FallbackMemory,
    used: Counter[EndpointId],
) -> bool:
    """Return whether a request fits into this instance's part of an endpoint's memory.

    Parameters
    ----------
    used : Counter of EndpointId
        What this instance has placed itself, by endpoint.
    """
    if not endpoint.memory_tokens:
        return True
    slots = endpoint.max_concurrency
    most = memory.tokens(endpoint.id, endpoint.memory_tokens, slots)
    return used[endpoint.id] + reserved_tokens(demand) <= most

"""Estimates of a pool scheduler: where a request may go and how long it takes.

The speed of endpoints, the prompt prefixes that they hold, and the share of the
requested output that teams really get are learned from answers. Every estimate is
in seconds for one request.
"""

import math
from dataclasses import dataclass, field

from savorydyke._endpoint_load import EndpointLoad, Running
from savorydyke._fair_queue import Forecast, Waiting
from savorydyke._ids import EndpointId, TeamId
from savorydyke._prefixes import PrefixIndex

MIN_OUTPUT_RATIO = 0.05
RATIO_LEARNING_RATE = 0.1
MIN_COST_S = 1e-6


@dataclass
class Estimates:
    """What has been learned about a pool's endpoints and teams.

    Attributes
    ----------
    output_ratio : dict of TeamId to float
        Share of the requested output tokens that the team's answers had.
    reachable : dict
        Cache of endpoints by the set of names that a team may use.
    """

    endpoints: dict[EndpointId, EndpointLoad] = field(default_factory=dict)
    prefixes: PrefixIndex = field(default_factory=PrefixIndex)
    output_ratio: dict[TeamId, float] = field(default_factory=dict)
    reachable: dict[frozenset[EndpointId], list[EndpointLoad]] = field(
        default_factory=dict
    )

    def usable_count(self) -> int:
        """Return the number of endpoints that are open to new work."""
        loads = self.endpoints.values()
        return sum(not load.is_closed() and not load.held for load in loads)

    def open_endpoints(self, item: Waiting) -> list[EndpointLoad]:
        """Return the open endpoints that a request may use, now or later."""
        loads = self._reachable(item)
        if item.version:
            loads = [load for load in loads if load.continues(item.version)]
            return [load for load in loads if not load.is_closed()]
        return [load for load in loads if not load.held and not load.is_closed()]

    def _reachable(self, item: Waiting) -> list[EndpointLoad]:
        """Return the endpoints that a request's team may use, in order of name.

        Requests of one team share the set of names, so the sorted list is cached
        by that set.
        """
        loads = self.reachable.get(item.allowed)
        if loads is None:
            by_id = self.endpoints
            loads = [by_id[name] for name in sorted(item.allowed) if name in by_id]
            self.reachable[item.allowed] = loads
        return loads

    def forget_reachable(self) -> None:
        """Clear the cache after a change of the endpoints."""
        self.reachable.clear()

    def candidates(self, item: Waiting, now: float) -> list[EndpointLoad]:
        """Return the endpoints to which a request may go now."""
        open_loads = [
            load
            for load in self.open_endpoints(item)
            if not (load.paused_until and load.is_paused(item.frontend, now))
            and load.takes_request(now)
        ]
        # If none is usable, an endpoint that may fail is better than a refusal.
        loads = [load for load in open_loads if load.is_serving(now)] or open_loads
        if not item.avoid:
            return loads
        untried = [load for load in loads if load.id not in item.avoid]
        return untried or loads

    def awaits_limit(self, item: Waiting, now: float) -> bool:
        """Return whether only limits of endpoints keep a request waiting."""
        return any(
            not load.takes_request(now) and not load.is_paused(item.frontend, now)
            for load in self.open_endpoints(item)
        )

    def pause_s(self, item: Waiting, now: float) -> float:
        """Return the time until an open endpoint wants requests of a frontend again.

        Returns
        -------
        float
            0 if there is no open endpoint.
        """
        ends = [load.paused_end(item.frontend) for load in self.open_endpoints(item)]
        return max(0.0, min(ends, default=0.0) - now)

    def uncached(self, load: EndpointLoad, item: Waiting) -> int:
        """Return the prompt tokens that an endpoint would have to process."""
        if not item.prefix:
            return max(1, item.prompt_tokens)
        cached = self.prefixes.cached_tokens(load.id, item.prefix)
        return max(1, item.prompt_tokens - cached)

    def output(self, item: Waiting) -> int:
        """Return the expected output tokens of a request."""
        ratio = self.output_ratio.get(item.team, 1.0)
        return int(item.output_tokens * ratio)

    def forecast(self, item: Waiting) -> Forecast:
        """Return the predicted times of a request at idle endpoints."""
        output = self.output(item)
        least_s = least_first_s = math.inf
        rate = 0.0
        count = 0
        for load in self.open_endpoints(item):
            uncached = self.uncached(load, item)
            prefill_s = load.prefill_s(uncached)
            decode_s = output / load.decode_tokens_per_s
            least_s = min(least_s, prefill_s + decode_s)
            first_s = load.prefill_factor * load.spec.first_s + prefill_s
            least_first_s = min(least_first_s, first_s)
            rate += 1 / max(load.engine_s(uncached, output), MIN_COST_S)
            count += 1
        if count == 0:
            return Forecast(0.0, 0.0, 0.0)
        return Forecast(least_s, least_first_s, count / rate)

    def learn_output(self, item: Running, tokens: int) -> None:
        """Learn from the length of a complete answer."""
        if item.output_tokens <= 0:
            return
        ratio = min(1.0, max(MIN_OUTPUT_RATIO, tokens / item.output_tokens))
        mean = self.output_ratio.get(item.team, 1.0)
        self.output_ratio[item.team] = mean + RATIO_LEARNING_RATE * (ratio - mean)

"""What the cell expects: where a request may go, how long it will take.

Endpoints, prompt prefixes and the share of the asked output that teams really
get are learned from answers; every estimate is in seconds of one request.
"""

from dataclasses import dataclass, field

from savorydyke._endpoint_load import EndpointLoad, Running
from savorydyke._fair_queue import Waiting
from savorydyke._ids import EndpointId, TeamId
from savorydyke._prefixes import PrefixIndex

MIN_OUTPUT_RATIO = 0.05
RATIO_LEARNING_RATE = 0.1
MIN_COST_S = 1e-6


@dataclass
class Estimates:
    """What is known of a pool's endpoints and teams.

    Attributes
    ----------
    output_ratio : dict of TeamId to float
        Share of the asked output tokens that the team's answers had.
    """

    endpoints: dict[EndpointId, EndpointLoad] = field(default_factory=dict)
    prefixes: PrefixIndex = field(default_factory=PrefixIndex)
    output_ratio: dict[TeamId, float] = field(default_factory=dict)

    def usable_count(self) -> int:
        """Return how many endpoints share the work."""
        return sum(not load.is_closed() for load in self.endpoints.values())

    def candidates(self, item: Waiting, now: float) -> list[EndpointLoad]:
        """Return the endpoints to which a request may go now."""
        open_loads = [
            self.endpoints[name]
            for name in sorted(item.allowed)
            if name in self.endpoints and not self.endpoints[name].is_closed()
        ]
        # With none usable, a doubtful endpoint is better than a sure refusal.
        loads = [load for load in open_loads if load.usable(now)] or open_loads
        fresh = [load for load in loads if load.id not in item.avoid]
        return fresh or loads

    def remaining(self, item: Waiting) -> list[EndpointLoad]:
        """Return the endpoints to which a request may go sooner or later."""
        return [
            self.endpoints[name]
            for name in item.allowed
            if name in self.endpoints and not self.endpoints[name].is_closed()
        ]

    def uncached(self, load: EndpointLoad, item: Waiting) -> int:
        """Return the prompt tokens that an endpoint would have to process."""
        cached = self.prefixes.cached_tokens(load.id, item.prefix)
        return max(1, item.prompt_tokens - cached)

    def output(self, item: Waiting) -> int:
        """Return the output tokens that a request will probably have."""
        ratio = self.output_ratio.get(item.team, 1.0)
        return int(item.output_tokens * ratio)

    def least_s(self, item: Waiting) -> float:
        """Return the least time in which an idle endpoint would answer."""
        output = self.output(item)
        times = [
            load.prefill_s(self.uncached(load, item))
            + output / load.decode_tokens_per_s
            for load in self.remaining(item)
        ]
        return min(times, default=0.0)

    def least_first_s(self, item: Waiting) -> float:
        """Return the least time in which an idle endpoint would begin to answer."""
        times = [
            load.prefill_factor * load.spec.first_s
            + load.prefill_s(self.uncached(load, item))
            for load in self.remaining(item)
        ]
        return min(times, default=0.0)

    def cost_s(self, item: Waiting) -> float:
        """Return the time of an average endpoint that a request takes."""
        output = self.output(item)
        costs = [
            load.engine_s(self.uncached(load, item), output)
            for load in self.remaining(item)
        ]
        if not costs:
            return 0.0
        return len(costs) / sum(1 / max(cost, MIN_COST_S) for cost in costs)

    def learn_output(self, item: Running, tokens: int) -> None:
        """Learn from the length of a complete answer."""
        if item.output_tokens <= 0:
            return
        ratio = min(1.0, max(MIN_OUTPUT_RATIO, tokens / item.output_tokens))
        known = self.output_ratio.get(item.team, 1.0)
        self.output_ratio[item.team] = known + RATIO_LEARNING_RATE * (ratio - known)

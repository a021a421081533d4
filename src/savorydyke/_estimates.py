"""Estimates of a pool scheduler: where a request may go and how long it takes.

The speed of endpoints, the prompt prefixes that they hold, and the share of the
requested output that teams really get are learned from answers. Every estimate is
in seconds for one request.
"""

import math
from dataclasses import dataclass, field, replace

from savorydyke._endpoint_load import EndpointLoad, Running
from savorydyke._fair_queue import Forecast, Waiting
from savorydyke._ids import EndpointId, TeamId
from savorydyke._messages import RunningRow
from savorydyke._prefixes import PrefixIndex
from savorydyke.scheduling import EndpointIndex, GroupKey, OutputTail, PromptCache

MIN_OUTPUT_RATIO = 0.05
RATIO_LEARNING_RATE = 0.1
MIN_COST_S = 1e-6
MAX_FREE = 12
MAX_FULL = 4
"""Endpoints with and without a free slot that are compared for a request. Up to this
number together, all are."""
MAX_HOLDING = 4
"""Endpoints that hold a part of the prompt and are compared too."""
FORECAST_S = 0.1
MAX_FORECASTS = 2_000
SIZE_STEP = 1.1
"""Ratio of neighbouring sizes of which the forecasts are kept."""


@dataclass
class Estimates:
    """What has been learned about a pool's endpoints and teams.

    Attributes
    ----------
    output_ratio : dict of TeamId to float
        Share of the requested output tokens that the team's answers had.
    prompts : PromptCache
        The named parts of prompts that endpoints probably hold.
    output_tail : OutputTail
        How much longer than hinted the answers of the pool are at most.
    largest_memory : int
        Tokens that fit into the largest endpoint, 0 if one's memory is not known.
    index : EndpointIndex
        Counts and orders of the endpoints.
    forecasts : dict
        Recent forecasts of a large pool, by size, and when they were made.
    """

    endpoints: dict[EndpointId, EndpointLoad] = field(default_factory=dict)
    prefixes: PrefixIndex = field(default_factory=PrefixIndex)
    output_ratio: dict[TeamId, float] = field(default_factory=dict)
    prompts: PromptCache = field(default_factory=PromptCache)
    output_tail: OutputTail = field(default_factory=OutputTail)
    largest_memory: int = 0
    index: EndpointIndex = field(init=False)
    forecasts: dict[tuple[GroupKey, int, int], tuple[float, Forecast]] = field(
        default_factory=dict
    )

    def __post_init__(self) -> None:
        self.index = EndpointIndex(self.endpoints)

    def usable_count(self) -> int:
        """Return the number of endpoints that are open to new work."""
        return self.index.open

    def open_endpoints(self, item: Waiting) -> list[EndpointLoad]:
        """Return the open endpoints that a request may use, now or later."""
        members = self.index.group((item.allowed, item.version)).members
        if item.version:
            members = [load for load in members if load.continues(item.version)]
            return [load for load in members if not load.is_closed()]
        return [load for load in members if not load.held and not load.is_closed()]

    def candidates(self, item: Waiting, now: float) -> list[EndpointLoad]:
        """Return the endpoints to which a request may go now.

        In a large pool these are the ones with the least predicted time, of those with
        and of those without a free slot, and some that hold a part of its prompt.
        """
        self.index.update(now, self.index.share)
        loads = [
            load
            for load in self._fastest(item)
            if not (load.paused_until and load.is_paused(item.frontend, now))
        ]
        if not loads:
            # If none is usable, an endpoint that may fail is better than a refusal.
            loads = [
                load
                for load in self.open_endpoints(item)
                if not (load.paused_until and load.is_paused(item.frontend, now))
                and load.takes_request(now)
            ]
            loads = [load for load in loads if load.is_serving(now)] or loads
        if not item.avoid:
            return loads
        untried = [load for load in loads if load.id not in item.avoid]
        return untried or loads

    def _fastest(self, item: Waiting) -> list[EndpointLoad]:
        """Return the usable endpoints, or the fastest ones of a large pool."""
        index = self.index
        group = index.group((item.allowed, item.version))
        if len(group.free) + len(group.full) <= MAX_FREE + MAX_FULL:
            entries = index.entries
            return [load for load in group.members if entries[load.id].is_usable]
        places = (*group.free[: MAX_FREE + len(item.avoid)], *group.full[:MAX_FULL])
        names = [name for _, name in places]
        if item.prefix:
            holding = self.holding(item)
            usable = (n for n in holding if n in group.names)
            names += [n for n in usable if index.entries[n].is_usable]
            names = list(dict.fromkeys(names))
        return [index.endpoints[name] for name in names]

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

    def uncached(self, load: EndpointLoad, item: Waiting, now: float) -> int:
        """Return the prompt tokens that an endpoint would have to process."""
        if not item.prefix:
            return max(1, item.prompt_tokens)
        if item.prefix_tokens:
            memory = load.spec.memory_tokens
            cached = self.prompts.cached_tokens(
                load.id, item.prefix, item.prefix_tokens, memory, now
            )
        else:
            cached = self.prefixes.cached_tokens(load.id, item.prefix)
        return max(1, item.prompt_tokens - cached)

    def holding(self, item: Waiting) -> list[EndpointId]:
        """Return some endpoints that may hold the beginning of a prompt."""
        if item.prefix_tokens:
            return self.prompts.holding(item.prefix)
        return self.prefixes.holding(item.prefix, MAX_HOLDING)

    def record_placed(
        self, load: EndpointLoad, item: Waiting, uncached: int, now: float
    ) -> None:
        """Record that an endpoint gets a request, and holds its prompt then."""
        if item.prefix and not item.prefix_tokens:
            self.prefixes.add(load.id, item.prefix)
            return
        if not item.prefix and load.id not in self.prompts.held:
            return
        tokens = uncached + self.output(item)
        self.prompts.add(load.id, item.prefix, tokens, load.spec.memory_tokens, now)

    def forget_cached(self, endpoint: EndpointId) -> None:
        """Drop what an endpoint held, since its process has ended or may have."""
        self.prefixes.forget(endpoint)
        self.prompts.forget(endpoint)

    def output(self, item: Waiting) -> int:
        """Return the expected output tokens of a request."""
        ratio = self.output_ratio.get(item.team, 1.0)
        return int(item.output_tokens * ratio)

    def reserved(self, request: Waiting | RunningRow) -> int:
        """Return the tokens of an endpoint's memory to reserve for a request.

        One that fits as its caller hints is not kept out by what is added to that.
        """
        most = request.max_output_tokens if isinstance(request, Waiting) else 0
        hinted = request.prompt_tokens + request.output_tokens
        tail = self.output_tail.reserve(request.output_tokens, most)
        reserved = request.prompt_tokens + tail
        if hinted <= self.largest_memory:
            reserved = min(reserved, self.largest_memory)
        return reserved

    def forecast(self, item: Waiting, now: float) -> Forecast:
        """Return the predicted times of a request at idle endpoints.

        In a large pool requests of about the same size share them for a moment.
        """
        output = self.output(item)
        if len(self.endpoints) <= MAX_FREE + MAX_FULL:
            loads = self.open_endpoints(item)
            return self._forecast(item, loads, item.prompt_tokens, output)
        known = self._known_forecast(item, output, now)
        holding = self.holding(item)
        names = self.index.group((item.allowed, item.version)).names
        loads = [self.endpoints[name] for name in holding if name in names]
        loads = [load for load in loads if not load.is_closed()]
        if not loads:
            return known
        best = self._forecast(item, loads, item.prompt_tokens, output)
        return Forecast(
            min(known.least_s, best.least_s),
            min(known.least_first_s, best.least_first_s),
            known.cost_s,
        )

    def _known_forecast(self, item: Waiting, output: int, now: float) -> Forecast:
        """Return the forecast for a size, without what is kept of a prompt."""
        prompt, output = _class_size(item.prompt_tokens), _class_size(output)
        size = ((item.allowed, item.version), prompt, output)
        made, known = self.forecasts.get(size, (-math.inf, None))
        if known is None or now - made > FORECAST_S:
            if len(self.forecasts) > MAX_FORECASTS:
                self.forecasts.clear()
            loads = self.open_endpoints(item)
            known = self._forecast(replace(item, prefix=()), loads, prompt, output)
            self.forecasts[size] = (now, known)
        return known

    def _forecast(
        self, item: Waiting, loads: list[EndpointLoad], prompt: int, output: int
    ) -> Forecast:
        least_s = least_first_s = math.inf
        rate = 0.0
        count = 0
        for load in loads:
            uncached = max(1, prompt)
            if item.prefix:
                uncached = self.uncached(load, item, item.arrived)
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
        self.output_tail.learn(tokens, item.output_tokens)
        if item.output_tokens <= 0:
            return
        ratio = min(1.0, max(MIN_OUTPUT_RATIO, tokens / item.output_tokens))
        mean = self.output_ratio.get(item.team, 1.0)
        self.output_ratio[item.team] = mean + RATIO_LEARNING_RATE * (ratio - mean)


def _class_size(tokens: int) -> int:
    """Return the size that stands for the sizes around it."""
    return round(SIZE_STEP ** round(math.log(max(1, tokens), SIZE_STEP)))

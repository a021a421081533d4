"""The choice of an endpoint for a waiting request.

It answers the load in which hundreds of requests of few sizes wait and every message
would compare each of them with every endpoint. A bounded number of the endpoints with
the least predicted time is compared, and requests of a size for which no endpoint was
good enough are compared only with endpoints that changed for the better since.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Hashable
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from savorydyke._ids import EndpointId, InstanceId, RequestKey
from savorydyke.scheduling._prompt_cache import is_worth_waiting

if TYPE_CHECKING:
    from savorydyke._capacity import Capacity
    from savorydyke._endpoint_load import EndpointLoad
    from savorydyke._fair_queue import Waiting

MARGIN = 1.2
"""Safety factor on a predicted time that is compared with a deadline."""
MAX_WAIT_RATIO = 1.5
"""Largest factor by which a free endpoint may be slower than the best busy one."""
AFFINITY_TOKENS = 2048
"""Length of a cached prefix for which a request waits for a busy endpoint."""
AFFINITY_SLACK = 3.0
"""A request waits for its cached prefix only if the busy endpoint's predicted time,
multiplied by this, ends before the deadline."""
FALLBACK_SLACK = 1.5
"""Same as `AFFINITY_SLACK`, for the free endpoint, which remains the alternative."""
FAR_FACTOR = 1.03
"""Factor on the predicted time at endpoints of other data centres than the frontend's.
It decides between endpoints that are about equally good: predictions are no better than
this, and bytes between data centres are paid for."""
MAX_CLOSE_LOOKS = 16
"""Waiting requests for which endpoints are compared after one message, so that a
message takes a bounded time. Those left over are considered after the next ones."""
MAX_BETTER = 4
"""Endpoints that changed for the better, beyond which all are compared again."""
MAX_RESULTS = 2_000
SCAN_S = 0.005
"""Time for which waiting requests are not considered again if no endpoint has changed.
Some stop to wait for a busy endpoint as time passes."""
RESULT_S = 0.05
"""Time after which a result is not used again, since busy endpoints get slower."""

LARGE_POOL = 16
"""Number of usable endpoints up to which all are compared, by the exact sizes."""
CLASSES_PER_DOUBLING = 4
"""Requests of a large pool whose sizes differ by less than a fifth share results."""

Size = tuple[Hashable, ...] | RequestKey


@dataclass(frozen=True)
class Option:
    """An endpoint to which a request could go.

    Attributes
    ----------
    uncached : int
        Prompt tokens that the endpoint would have to process.
    total_s : float
        Predicted time to the last byte.
    """

    load: EndpointLoad
    uncached: int
    total_s: float


@dataclass(frozen=True)
class Result:
    """Why requests of one size wait.

    Attributes
    ----------
    mark : int
        State of the index.
    busy : Option or None
        The best endpoint without capacity.
    blocked : frozenset of EndpointId
        Endpoints without capacity.
    ignored : frozenset of EndpointId
        Endpoints that were left out, since others wait for them.
    deadline : float
        It holds for requests with this deadline or an earlier one.
    has_option : bool
        Whether an endpoint had capacity, but was not good enough.
    """

    made: float
    mark: int
    busy: Option | None
    blocked: frozenset[EndpointId]
    ignored: frozenset[EndpointId]
    deadline: float
    has_option: bool


@dataclass
class EndpointChoice:
    """Chooses endpoints for the waiting requests after one message.

    Attributes
    ----------
    data_centre_of : callable
        Returns the data centre of a frontend, empty if it plays no part.
    results : dict
        Sizes of requests that wait, and why.
    looks : int
        Requests for which endpoints were compared after this message.
    without_capacity : set
        Sizes for which no endpoint has capacity, since the latest grant.
    waiting : dict of Size to float
        Sizes that wait although nothing is blocked for them, with the latest deadline
        for which that holds, since the latest grant.
    scanned, scanned_mark : float and int
        When the waiting requests were considered last, and the state of the index.
    awaited : set of EndpointId
        Endpoints without capacity for a request that was considered then.
    """

    capacity: Capacity
    data_centre_of: Callable[[InstanceId], str]
    results: dict[Size, Result] = field(default_factory=dict)
    looks: int = 0
    without_capacity: set[Size] = field(default_factory=set)
    waiting: dict[Size, float] = field(default_factory=dict)
    scanned: float = -math.inf
    scanned_mark: int = -1
    awaited: set[EndpointId] = field(default_factory=set)

    def must_wait(self, item: Waiting, now: float) -> bool:
        """Return whether a new request waits because those of its size do already."""
        is_scanned = self._is_scanned(RESULT_S, now)
        return is_scanned and self._size(item) in self.without_capacity

    def is_just_scanned(self, now: float) -> bool:
        """Return whether those who wait were considered a moment ago, in vain."""
        return self._is_scanned(SCAN_S, now)

    def _is_scanned(self, within_s: float, now: float) -> bool:
        """Return whether the endpoints are as when requests were considered last."""
        if now - self.scanned > within_s:
            return False
        return self.capacity.updated_index(now).mark == self.scanned_mark

    def begin(self, now: float) -> None:
        """Begin with the waiting requests after a message."""
        self.looks = 0
        self.scanned = now
        self.scanned_mark = self.capacity.updated_index(now).mark
        self._forget_scan()
        if len(self.results) > MAX_RESULTS:
            self.results.clear()

    def _forget_scan(self) -> None:
        self.without_capacity.clear()
        self.waiting.clear()

    def choose(
        self, item: Waiting, blocked: set[EndpointId], now: float
    ) -> EndpointLoad | None:
        """Return the endpoint for a request, or None if it has to wait.

        Endpoints without capacity for it are added to `blocked`.
        """
        size = self._size(item)
        if size in self.without_capacity:
            return None
        if self.capacity.estimates.index.usable <= LARGE_POOL:
            load = self._choose_of_all(item, size, blocked, now)
        else:
            load = self._choose_of_some(item, size, blocked, now)
        if load is not None:
            self._forget_scan()
        return load

    def choose_of(
        self, item: Waiting, loads: list[EndpointLoad], now: float
    ) -> EndpointLoad | None:
        """Return the best of some endpoints, or None if none is good enough."""
        best, busy, _ = self._compare(item, loads, set(), now)
        if best is None or _is_worth_waiting(item, best, busy, now):
            return None
        return best.load

    def _choose_of_all(
        self, item: Waiting, size: Size, blocked: set[EndpointId], now: float
    ) -> EndpointLoad | None:
        """Return the best endpoint of a small pool, or None."""
        loads = self.capacity.estimates.candidates(item, now)
        best, busy, full = self._compare(item, loads, blocked, now)
        blocked |= full
        if best is None:
            self.without_capacity.add(size)
            return None
        return None if _is_worth_waiting(item, best, busy, now) else best.load

    def _choose_of_some(
        self, item: Waiting, size: Size, blocked: set[EndpointId], now: float
    ) -> EndpointLoad | None:
        """Return a good endpoint of a large pool, or None."""
        is_first = not blocked
        if is_first and item.deadline <= self.waiting.get(size, -math.inf):
            return None
        known = self.results.get(size)
        loads = self._to_compare_again(known, item, blocked, now) if known else None
        if loads is None:
            known = None
            if self.looks >= MAX_CLOSE_LOOKS:
                return None
            self.looks += 1
            loads = self.capacity.estimates.candidates(item, now)
        result = known or Result(
            now, -1, None, frozenset(), frozenset(blocked), math.inf, False
        )
        best, busy, full = self._compare(item, loads, blocked, now)
        if result.busy is not None:
            busy = _faster(busy, result.busy)
        full |= result.blocked.difference([load.id for load in loads])
        blocked |= full
        if best is not None and not _is_worth_waiting(item, best, busy, now):
            return best.load
        if best is not None:
            is_late = MARGIN * best.total_s > item.deadline - now
            deadline = item.deadline if is_late else math.inf
            deadline = min(result.deadline, deadline)
            result = replace(result, deadline=deadline, has_option=True)
        if loads:
            mark = self.capacity.estimates.index.mark
            result = replace(result, mark=mark, busy=busy, blocked=frozenset(full))
        self._keep(size, result, is_first)
        return None

    def _keep(self, size: Size, result: Result, is_first: bool) -> None:
        self.results[size] = result
        if not result.has_option:
            self.without_capacity.add(size)
        if is_first:
            self.waiting[size] = result.deadline

    def _size(self, item: Waiting) -> Size:
        """Return what requests that can share a result have in common."""
        if item.size is None:
            item.size = self._new_size(item)
        return item.size

    def _new_size(self, item: Waiting) -> Size:
        prompts = self.capacity.estimates.prompts
        is_held = not item.prefix_tokens or prompts.holding(item.prefix)
        if item.avoid or (item.prefix and is_held):
            return item.key
        prompt, output = item.prompt_tokens, self.capacity.estimates.output(item)
        key = (item.allowed, item.version)
        if self.capacity.estimates.index.usable <= LARGE_POOL:
            return key, prompt, output, item.output_tokens, item.frontend
        return key, _size_class(prompt), _size_class(output)

    def _to_compare_again(
        self, known: Result, item: Waiting, blocked: set[EndpointId], now: float
    ) -> list[EndpointLoad] | None:
        """Return the endpoints to compare again, None if it has to be all."""
        if now - known.made > RESULT_S or item.deadline > known.deadline:
            return None
        if not known.ignored <= blocked:
            return None
        if known.busy is not None and known.busy.load.id in blocked:
            # Others wait for it.
            return None
        index = self.capacity.estimates.index
        better = index.better_since(known.mark)
        if better is None or len(better) > MAX_BETTER:
            return None
        return [
            index.endpoints[name]
            for name in dict.fromkeys(better)
            if name in item.allowed
            and index.entries[name].is_usable
            and item.version in {"", index.endpoints[name].spec.version}
            and name not in item.avoid
            and not index.endpoints[name].is_paused(item.frontend, now)
        ]

    def _compare(
        self,
        item: Waiting,
        loads: list[EndpointLoad],
        blocked: set[EndpointId],
        now: float,
    ) -> tuple[Option | None, Option | None, set[EndpointId]]:
        """Return the best endpoint, the best one without capacity, and all of these."""
        estimates = self.capacity.estimates
        output = estimates.output(item)
        tokens = estimates.reserved(item)
        centre = self.data_centre_of(item.frontend)
        best = busy = None
        full = set()
        for load in loads:
            if load.id in blocked:
                continue
            uncached = estimates.uncached(load, item, now)
            total_s = load.penalized(load.total_s(uncached, output))
            if centre and load.spec.data_centre != centre:
                total_s *= FAR_FACTOR
            option = Option(load, uncached, total_s)
            if load.has_capacity(tokens, uncached, self.capacity.share):
                best = _faster(best, option)
            else:
                busy = _faster(busy, option)
                # The others do not wait until an endpoint is empty for a large one.
                if not load.needs_alone(tokens):
                    full.add(load.id)
        return best, busy, full

    def is_exhausted(self, item: Waiting) -> bool:
        """Return whether no endpoint of a large pool has capacity for a request."""
        index = self.capacity.estimates.index
        if index.usable <= LARGE_POOL or len(item.allowed) < len(index.endpoints):
            return False
        return not item.version and self._size(item) in self.without_capacity


def _is_worth_waiting(
    item: Waiting, best: Option, busy: Option | None, now: float
) -> bool:
    """Return whether a request should wait instead of using a free endpoint.

    Requests behind it, also of lower tiers, may then use the free endpoint, but
    not the busy one.
    """
    left_s = item.deadline - now
    if MARGIN * best.total_s > left_s:
        # The answer would be late. The request is refused when no endpoint can
        # answer in time any more.
        return True
    if busy is None:
        return False
    if best.total_s > MAX_WAIT_RATIO * busy.total_s:
        return True
    saved_tokens = best.uncached - busy.uncached
    longest_s = max(AFFINITY_SLACK * busy.total_s, FALLBACK_SLACK * best.total_s)
    has_time = longest_s < left_s
    if item.prefix_tokens:
        load = busy.load
        saved_s, answer_s = load.prefill_s(saved_tokens), busy.total_s
        return has_time and is_worth_waiting(saved_s, answer_s, len(load.running))
    return saved_tokens >= AFFINITY_TOKENS and has_time


def _faster(best: Option | None, option: Option) -> Option:
    if best is None or option.total_s < best.total_s:
        return option
    return best


def _size_class(tokens: int) -> int:
    """Return the class of a size; classes grow geometrically."""
    return int(CLASSES_PER_DOUBLING * math.log2(max(1, tokens)))

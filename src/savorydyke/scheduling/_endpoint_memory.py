"""Endpoint memory: what is placed at an endpoint stays inside what it can hold.

The load: an endpoint ends if the tokens of its requests exceed its memory, and callers'
hints of the length of answers are right at the median and often far off. Half of each
endpoint's memory is the coordinator's; the other half is for frontends that place
requests themselves, since the coordinator may be working at the same time.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from savorydyke._ids import EndpointId, InstanceId

QUANTILE = 0.95
"""Share of answers that are not longer than what is reserved for them. The sum over the
requests of an endpoint is then rarely exceeded, since most answers are far shorter."""
STEP = 0.2
"""Step by which the logarithm of the ratio is corrected."""
UNKNOWN_RATIO = 4.0
"""Assumed until answers have been seen. The longest ones are known last."""
MAX_RATIO = 32.0
FALLBACK_SHARE = 0.5
"""Part of an endpoint's memory for placement by frontends, all together."""


@dataclass
class OutputTail:
    """How much longer than hinted answers are, at a quantile of them.

    Attributes
    ----------
    ratio : float
        Length at the quantile, as a multiple of the hint. 1 reserves the hint itself
        until longer answers have been seen.
    """

    ratio: float = 1.0

    def learn(self, tokens: int, hinted: int) -> None:
        """Learn from the length of an answer."""
        if tokens <= 0 or hinted <= 0:
            return
        step = QUANTILE if tokens > hinted * self.ratio else QUANTILE - 1
        ratio = self.ratio * math.exp(STEP * step)
        self.ratio = min(MAX_RATIO, max(1.0, ratio))

    def reserve(self, hinted: int, most: int) -> int:
        """Return the tokens to reserve for an answer; `most` is 0 if not limited."""
        wanted = math.ceil(hinted * self.ratio)
        return min(wanted, max(most, hinted)) if most else wanted


def coordinator_tokens(memory: int) -> int:
    """Return the part of an endpoint's memory that its coordinator places."""
    return memory - int(memory * FALLBACK_SHARE)


@dataclass
class FallbackMemory:
    """The part of endpoints' memory that this instance may use by itself.

    Half of what all instances may use is divided equally. The other half consists of
    one allotment for each slot, which belongs to a single instance, so that a request
    that is larger than an equal part has instances that may place it.

    Attributes
    ----------
    instances : frozenset of InstanceId
        All instances that are listed.
    owned : dict of EndpointId to bool
        Whether one of an endpoint's allotments is this instance's.
    """

    instance: InstanceId
    score: Callable[[str, InstanceId], bytes]
    instances: frozenset[InstanceId] = frozenset()
    owned: dict[EndpointId, bool] = field(default_factory=dict)

    def set_instances(self, instances: Iterable[InstanceId]) -> None:
        """Set which instances share the endpoints."""
        listed = frozenset(instances) | {self.instance}
        if listed != self.instances:
            self.instances = listed
            self.owned.clear()

    def tokens(self, endpoint: EndpointId, memory: int, slots: int) -> int:
        """Return how many tokens this instance may place at an endpoint."""
        half = memory * FALLBACK_SHARE / 2
        own = half / max(slots, 1) if self._owns(endpoint, slots) else 0
        return int(half / max(1, len(self.instances)) + own)

    def _owns(self, endpoint: EndpointId, slots: int) -> bool:
        known = self.owned.get(endpoint)
        if known is None:
            mine = self.score(endpoint, self.instance)
            scores = (self.score(endpoint, other) for other in self.instances)
            known = sum(score > mine for score in scores) < slots
            self.owned[endpoint] = known
        return known

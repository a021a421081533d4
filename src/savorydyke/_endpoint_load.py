"""What the home of a pool knows of one endpoint: credits, speed, health."""

import random
from collections import deque
from dataclasses import dataclass, field

from savorydyke._backoff import backoff_s
from savorydyke._fair_queue import Waiting
from savorydyke._ids import EndpointId, InstanceId, RequestKey, TeamId
from savorydyke._manifest import Endpoint, PoolKind
from savorydyke._messages import RunningRow

PREFILL_WINDOW_S = 0.3
"""Prefill that may wait inside an engine, beyond which order is kept here."""
LEARNING_RATE = 0.2
RELAX_AFTER_S = 1.0
RELAX_FACTOR = 0.95
"""Share of a learned slowness that is left after each tick."""
FACTOR_RANGE = (0.1, 20.0)
OVERDUE_RATIO = 2.0
CIRCUIT_BASE_S = 0.5
CIRCUIT_MOST_S = 15.0
REJECTED_PAUSE_S = 0.1
"""About the time in which a full endpoint ends one of its requests."""
FAILING_RATE = 0.2
SUSPECT_SHARE = 0.33
"""Two failures in a row make an endpoint suspect, two successes clear it."""
SUSPECT_PLACES = 1
"""Requests by which a suspect endpoint can show that it has recovered."""
REPORTS_KEPT = 3
MIN_PREDICTION_S = 0.005


@dataclass
class Running:
    """A request that was granted and has not been released.

    Attributes
    ----------
    granted : float
        Time of the grant on the home's clock.
    predicted_first_s : float
        Time to the first byte that was predicted at the grant.
    orphaned : float or None
        When its entry was found dead.
    """

    key: RequestKey
    attempt: int
    entry: InstanceId
    team: TeamId
    prompt_tokens: int
    output_tokens: int
    uncached_tokens: int
    granted: float
    predicted_first_s: float
    started: bool = False
    orphaned: float | None = None
    quota_tokens: int = 0


@dataclass
class EndpointLoad:
    """Credits in use, learned speed and circuit state of one endpoint.

    Attributes
    ----------
    prefill_factor : float
        Observed time to the first byte, divided by the prediction from the
        manifest's speed.
    learned : float
        When the prefill factor was last learned.
    decode_tokens_per_s : float
        Learned speed of one stream.
    failures : int
        Connections that failed since the last answer.
    failing : float
        Smoothed share of answers that were errors or got lost.
    external : deque of int
        Requests that recent reports show beyond those granted here.
    parallel : bool
        Whether requests are processed side by side, as plain services do, and
        not one prompt after the other.
    """

    spec: Endpoint
    parallel: bool
    decode_tokens_per_s: float
    prefill_factor: float = 1.0
    running: dict[RequestKey, Running] = field(default_factory=dict)
    tokens: int = 0
    unstarted_tokens: int = 0
    leaving: bool = False
    removed: bool = False
    failures: int = 0
    open_until: float = 0.0
    failing: float = 0.0
    learned: float = 0.0
    external: deque[int] = field(default_factory=lambda: deque(maxlen=REPORTS_KEPT))

    @property
    def id(self) -> EndpointId:
        """Return the endpoint's id."""
        return self.spec.id

    def is_suspect(self) -> bool:
        """Return whether so many answers fail that others should be asked."""
        return self.failing > SUSPECT_SHARE

    def is_closed(self) -> bool:
        """Return whether no new work may go here until that is taken back."""
        return self.leaving or self.removed or self.spec.drained

    def usable(self, now: float) -> bool:
        """Return whether new work may go to this endpoint."""
        if self.is_closed():
            return False
        if now < self.open_until:
            return False
        # After the back-off one request at a time probes the endpoint.
        return self.failures == 0 or not self.running

    def credits(self, share: float) -> int:
        """Return how many requests may be in flight."""
        outside = min(self.external) if len(self.external) == REPORTS_KEPT else 0
        most = int(self.spec.max_concurrency * share) - outside
        return max(1, most)

    def has_room(self, tokens: int, uncached: int, share: float) -> bool:
        """Return whether a request of this size may be sent now."""
        if not self.running:
            return True
        if self.is_suspect() and len(self.running) >= SUSPECT_PLACES:
            return False
        if len(self.running) >= self.credits(share):
            return False
        if self.tokens + tokens > self.spec.max_tokens * share:
            return False
        if self.unstarted_tokens == 0 or self.parallel:
            return True
        return self.prefill_s(self.unstarted_tokens + uncached) <= PREFILL_WINDOW_S

    def prefill_s(self, tokens: int) -> float:
        """Return the predicted time to process `tokens` of prompt."""
        return tokens * self.prefill_factor / self.spec.prefill_tokens_per_s

    def first_byte_s(self, uncached: int) -> float:
        """Return the predicted time to the first byte of a new request."""
        ahead = 0 if self.parallel else self.unstarted_tokens
        return max(MIN_PREDICTION_S, self.prefill_s(ahead + uncached))

    def total_s(self, uncached: int, output: int) -> float:
        """Return the predicted time to the last byte of a new request."""
        return self.first_byte_s(uncached) + output / self.decode_tokens_per_s

    def engine_s(self, prompt: int, output: int) -> float:
        """Return the share of the endpoint's time that a request takes."""
        decode_s = output / self.decode_tokens_per_s
        if self.parallel:
            return (self.prefill_s(prompt) + decode_s) / self.spec.max_concurrency
        return self.prefill_s(prompt) + decode_s / self.spec.max_concurrency

    def take(
        self,
        request: Waiting | RunningRow,
        entry: InstanceId,
        uncached: int,
        now: float,
        started: bool = False,
    ) -> None:
        """Take credits for a request that is granted or was granted earlier."""
        item = Running(
            key=request.key,
            attempt=request.attempt,
            entry=entry,
            team=request.team,
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.output_tokens,
            uncached_tokens=uncached,
            granted=now,
            predicted_first_s=self.first_byte_s(uncached),
            started=started,
            quota_tokens=request.quota_tokens if isinstance(request, Waiting) else 0,
        )
        self.running[item.key] = item
        self.tokens += item.prompt_tokens + item.output_tokens
        if not started:
            self.unstarted_tokens += uncached

    def start(self, item: Running, first_byte_s: float) -> None:
        """Learn from the first byte of an answer."""
        if item.started:
            return
        item.started = True
        self.unstarted_tokens -= item.uncached_tokens
        self._learn_prefill(first_byte_s / item.predicted_first_s)
        self.learned = item.granted + first_byte_s

    def remove(self, key: RequestKey) -> Running | None:
        """Give the credits of a request back."""
        item = self.running.pop(key, None)
        if item is None:
            return None
        self.tokens -= item.prompt_tokens + item.output_tokens
        if not item.started:
            self.unstarted_tokens -= item.uncached_tokens
        return item

    def learn_decode(self, tokens: int, seconds: float) -> None:
        """Learn from a complete answer."""
        if tokens < 2 or seconds <= 0:
            return
        speed = tokens / seconds
        self.decode_tokens_per_s += LEARNING_RATE * (speed - self.decode_tokens_per_s)

    def learn_overdue(self, now: float) -> None:
        """Learn from first bytes that are overdue, before they arrive."""
        for item in self.running.values():
            ratio = (now - item.granted) / item.predicted_first_s
            if not item.started and ratio > OVERDUE_RATIO:
                item.predicted_first_s *= ratio
                self._learn_prefill(ratio)
                self.learned = now
                return

    def _learn_prefill(self, ratio: float) -> None:
        low, high = FACTOR_RANGE
        ratio = min(high, max(low, ratio))
        factor = self.prefill_factor * ratio**LEARNING_RATE
        self.prefill_factor = min(high, max(low, factor))

    def relax(self, now: float) -> None:
        """Let a learned slowness fade while nothing new is learned of it.

        An endpoint that is thought to be slow gets little work that could show
        otherwise.
        """
        if self.running or now - self.learned < RELAX_AFTER_S:
            return
        self.prefill_factor = 1 + (self.prefill_factor - 1) * RELAX_FACTOR

    def report(self, requests: int) -> None:
        """Take in a lagging report of the requests inside the endpoint."""
        self.external.append(max(0, requests - len(self.running)))

    def fail(self, now: float, rng: random.Random) -> None:
        """Open the circuit after a failed connection, with back-off and jitter."""
        self.failures += 1
        wait = CIRCUIT_BASE_S / 2 + backoff_s(
            self.failures, CIRCUIT_BASE_S, CIRCUIT_MOST_S, rng
        )
        self.open_until = now + wait

    def fault(self) -> None:
        """Learn from an answer that was an error or got lost."""
        self.failing += FAILING_RATE * (1 - self.failing)

    def reject(self, now: float) -> None:
        """Leave a full endpoint alone for a moment."""
        self.open_until = max(self.open_until, now + REJECTED_PAUSE_S)

    def succeed(self) -> None:
        """Close the circuit."""
        self.failing -= FAILING_RATE * self.failing
        self.failures = 0
        self.open_until = 0.0


def new_load(spec: Endpoint, kind: PoolKind) -> EndpointLoad:
    """Return the load of an endpoint of which nothing is known yet."""
    parallel = kind is PoolKind.SERVICE
    return EndpointLoad(spec, parallel, spec.decode_tokens_per_s)

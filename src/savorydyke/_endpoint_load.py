"""State of one endpoint at the coordinator of its pool: credits, speed, health."""

import math
import random
from bisect import bisect_left
from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field

from savorydyke._backoff import backoff_s
from savorydyke._fair_queue import Waiting
from savorydyke._ids import (
    EndpointId,
    InstanceId,
    RequestKey,
    SoftwareVersion,
    TeamId,
)
from savorydyke._manifest import Endpoint, PoolKind
from savorydyke._messages import RunningRow
from savorydyke._rejections import FRESH_S, RejectionGuard
from savorydyke._request_limits import RequestAllowance
from savorydyke.scheduling import EndpointPace, SlotOverlap

FAILING_PENALTY = 4.0
"""Multiple of the predicted time that is added to it if all answers fail."""
PREFILL_WINDOW_S = 0.3
"""Prefill time that may be queued inside an engine; beyond it the coordinator decides
the order."""
LEARNING_RATE = 0.2
LEARNING_HALF_LIFE_S = 0.8
"""A change of an endpoint's speed is learned within two seconds, in both directions."""
PRIOR_S = 0.02
"""Weight of the assumed speed against the learned one."""
FACTOR_RANGE = (0.1, 20.0)
OVERDUE_RATIO = 2.0
"""Multiple of the predicted time after which a missing first byte is learned from."""
CIRCUIT_BASE_S = 0.5
CIRCUIT_MAX_S = 15.0
REJECTED_PAUSE_S = 0.1
"""Roughly the time after which a full endpoint ends one of its requests."""
FAILING_RATE = 0.2
SUSPECT_SHARE = 0.33
"""Share of failed answers above which an endpoint may be suspect. With `FAILING_RATE`
two failures in a row make an endpoint suspect, and two successes clear it."""
SUSPECT_RATIO = 2.0
"""Factor by which a suspect endpoint fails more often than the median of its pool."""
FAILED_IN_ROW = 3
"""Failures in a row from which on a suspect endpoint is passed over for a while. One
that fails a part of its requests seldom reaches them."""
RETEST_BASE_S = 0.25
RETEST_MAX_S = 1.75
"""A suspect endpoint is passed over for the base and a random time up to this, after
which one request finds out whether it has recovered."""
SUSPECT_SLOTS = 1
"""Most requests in flight at a suspect endpoint, to find out whether it recovered."""
PAUSED_FRONTENDS = 2
"""Number of frontends that an endpoint asks for a pause, from which on it gets no
requests of the others either."""
PAUSE_SPREAD = 0.1
"""Largest part of a pause that is randomly added to it, to spread the return."""
REPORTS_KEPT = 3
MIN_PREDICTION_S = 0.005


@dataclass
class Running:
    """A request that was granted and has not been released.

    Attributes
    ----------
    granted : float
        Time of the grant on the coordinator's clock.
    predicted_first_s : float
        Time to the first byte that was predicted at the grant.
    orphaned : float or None
        When its frontend was found dead.
    arrived : float
        When its quota was charged, if that was done here.
    expected_first_s : float
        Time to the first byte at the assumed speed.
    overdue_s : float
        Part of the time to the first byte that has been learned from already.
    held_first_s : float
        Time to the first byte up to which the endpoint held the named parts of the
        prompt that it may hold; 0 if these are few.
    reserved_tokens : int
        What it takes of the endpoint's memory.
    is_verified : bool
        Whether its frontend has or will have reported its end here. False after
        another instance has been the coordinator.
    objective : float
        Time by which the first byte is due, if it was granted here.
    """

    key: RequestKey
    attempt: int
    frontend: InstanceId
    team: TeamId
    prompt_tokens: int
    output_tokens: int
    uncached_tokens: int
    granted: float
    predicted_first_s: float
    started: bool = False
    orphaned: float | None = None
    quota_tokens: int = 0
    arrived: float = 0.0
    expected_first_s: float = 0.0
    overdue_s: float = 0.0
    is_verified: bool = True
    reserved_tokens: int = 0
    held_first_s: float = 0.0
    objective: float = math.inf


@dataclass
class EndpointLoad:
    """Credits in use, learned speed and circuit state of one endpoint.

    Attributes
    ----------
    prefill_factor : float
        Observed time to the first byte, divided by the prediction from the
        manifest's speed.
    observed_s, expected_s : float
        Decaying sums of both times over recent requests.
    learned : float
        When the sums were last updated.
    decode_tokens_per_s : float
        Learned speed of one stream.
    failures : int
        Connections that failed since the last answer.
    failing : float
        Smoothed share of answers that were errors or got lost.
    failed_in_row : int
        Answers that were errors or got lost since the last complete one.
    passed_over_until : float
        Until when it gets nothing if it is suspect.
    suspect : bool
        Whether that share is high, and higher than at most other endpoints.
    held, ended : bool
        Whether a roll-out gives it nothing new, and whether no streams go on there
        either.
    external : deque of int
        Requests in recent load reports beyond those granted here.
    paused_until : dict of InstanceId to float
        Frontends whose requests the endpoint does not want, and until when.
    allowance : RequestAllowance or None
        How many requests it takes, if it has named a limit.
    rejections : RejectionGuard or None
        How many requests may be sent, if it bears few rejections only.
    overlap : SlotOverlap or None
        How many requests it gets beyond its slots, if it may get any.
    pace : EndpointPace or None
        What is known of the speed of an endpoint that reports its pace.
    changed : set of EndpointId
        Receives the endpoint's id with each change, for an index of endpoints.
    parallel : bool
        Whether requests are processed side by side, as plain services do, and
        not one prompt after the other.
    """

    spec: Endpoint
    parallel: bool
    decode_tokens_per_s: float
    prefill_factor: float = 1.0
    observed_s: float = 0.0
    expected_s: float = 0.0
    running: dict[RequestKey, Running] = field(default_factory=dict)
    tokens: int = 0
    unstarted_tokens: int = 0
    leaving: bool = False
    removed: bool = False
    joining: bool = False
    failures: int = 0
    open_until: float = 0.0
    failing: float = 0.0
    failed_in_row: int = 0
    passed_over_until: float = 0.0
    suspect: bool = False
    learned: float = 0.0
    paused_until: dict[InstanceId, float] = field(default_factory=dict)
    allowance: RequestAllowance | None = None
    rejections: RejectionGuard | None = None
    held: bool = False
    ended: bool = False
    external: deque[int] = field(default_factory=lambda: deque(maxlen=REPORTS_KEPT))
    pace: EndpointPace | None = None
    overlap: SlotOverlap | None = None
    changed: set[EndpointId] = field(default_factory=set)

    @property
    def id(self) -> EndpointId:
        """Return the endpoint's id."""
        return self.spec.id

    def note_change(self) -> None:
        """Tell the index of endpoints to look at this one again."""
        self.changed.add(self.spec.id)

    def is_closed(self) -> bool:
        """Return whether the endpoint is joining, leaving, removed or drained."""
        return self.joining or self.leaving or self.removed or self.spec.drained

    def set_held(self, held: bool, ended: bool) -> None:
        """Set what a roll-out gives the endpoint."""
        if (held, ended) != (self.held, self.ended):
            self.held, self.ended = held, ended
            self.note_change()

    def continues(self, version: SoftwareVersion) -> bool:
        """Return whether streams that began at a version may go on here."""
        return version == self.spec.version and not self.ended

    def usable(self, now: float) -> bool:
        """Return whether new work may go to this endpoint."""
        return not self.held and self.is_serving(now)

    def is_serving(self, now: float) -> bool:
        """Return whether the endpoint itself takes new work."""
        if self.is_closed():
            return False
        if now < self.open_until or self.is_paused(None, now):
            return False
        if not self.takes_request(now):
            return False
        if self.suspect and now < self.passed_over_until:
            return False
        # After the back-off, one request at a time tests the endpoint.
        return self.failures == 0 or not self.running

    def takes_request(self, now: float) -> bool:
        """Return whether the endpoint's limits allow one more request now."""
        if self.allowance is not None and not self.allowance.allows(now):
            return False
        if self.rejections is None:
            return True
        fresh = sum(now - item.granted < FRESH_S for item in self.running.values())
        return self.rejections.allows(len(self.running), fresh, now)

    def set_rejection_limit(self, per_s: float | None) -> None:
        """Apply how many rejections a second the endpoint bears, None for any."""
        if per_s is None:
            self.rejections = None
        elif self.rejections is None:
            self.rejections = RejectionGuard(per_s)
        else:
            self.rejections.per_s = per_s
        self.note_change()

    def set_limit(self, per_s: float | None, salt: int, now: float) -> None:
        """Apply the limit that the endpoint has named, None for none."""
        if per_s is None:
            self.allowance = None
        elif self.allowance is None:
            self.allowance = RequestAllowance(per_s, salt, now)
        else:
            self.allowance.set_limit(per_s, now)
        self.note_change()

    def pause(
        self, frontend: InstanceId, pause_s: float, now: float, rng: random.Random
    ) -> None:
        """Record that the endpoint wants no request of a frontend for a while."""
        until = now + pause_s * (1 + PAUSE_SPREAD * rng.random())
        self.paused_until = {f: t for f, t in self.paused_until.items() if t > now}
        self.paused_until[frontend] = until
        self.note_change()

    def is_paused(self, frontend: InstanceId | None, now: float) -> bool:
        """Return whether the endpoint wants no request of a frontend, or of any."""
        return now < self.paused_end(frontend)

    def paused_end(self, frontend: InstanceId | None) -> float:
        """Return until when the endpoint wants no request of a frontend, or of any."""
        if not self.paused_until:
            return 0.0
        ends = sorted(self.paused_until.values())
        # Of `PAUSED_FRONTENDS` pauses all have to last.
        shared = ends[-PAUSED_FRONTENDS] if len(ends) >= PAUSED_FRONTENDS else 0.0
        own = self.paused_until.get(frontend, 0.0) if frontend else 0.0
        return max(own, shared)

    def credits(self, share: float) -> int:
        """Return how many requests granted here may be in flight."""
        outside = min(self.external) if len(self.external) == REPORTS_KEPT else 0
        limit = int(self.spec.max_concurrency * share) - outside
        if share == 1.0 and self.overlap is not None and self.rejections is None:
            limit += self.overlap.whole()
        return max(1, limit)

    def has_capacity(self, tokens: int, uncached: int, share: float) -> bool:
        """Return whether a request of this size may be sent now."""
        memory = self.spec.memory_tokens
        # While several coordinators exist each may use the part of one slot.
        slots = self.spec.max_concurrency
        if memory and tokens > memory * share and tokens > memory / slots:
            return False
        if not self.running:
            return True
        if self.suspect and len(self.running) >= SUSPECT_SLOTS:
            return False
        if len(self.running) >= self.credits(share):
            return False
        if self.tokens + tokens > self.spec.max_tokens * share:
            return False
        if self.unstarted_tokens == 0 or self.parallel:
            return True
        return self.prefill_s(self.unstarted_tokens + uncached) <= PREFILL_WINDOW_S

    def needs_alone(self, tokens: int) -> bool:
        """Return whether a request of this size fits only if nothing else runs."""
        return 0 < self.spec.max_tokens < tokens and self.spec.memory_tokens > 0

    def prefill_s(self, tokens: int) -> float:
        """Return the predicted time to process `tokens` of prompt."""
        return tokens * self.prefill_factor / self.spec.prefill_tokens_per_s

    def first_byte_s(self, uncached: int) -> float:
        """Return the predicted time to the first byte of a new request."""
        ahead = 0 if self.parallel else self.unstarted_tokens
        start_s = self.spec.first_s * self.prefill_factor
        return max(MIN_PREDICTION_S, start_s + self.prefill_s(ahead + uncached))

    def total_s(self, uncached: int, output: int) -> float:
        """Return the predicted time to the last byte of a new request."""
        return self.first_byte_s(uncached) + output / self.decode_tokens_per_s

    def penalized(self, total_s: float) -> float:
        """Return a predicted time for comparison, longer if the endpoint fails."""
        return total_s * (1 + FAILING_PENALTY * self.failing)

    def engine_s(self, prompt: int, output: int) -> float:
        """Return the share of the endpoint's time that a request takes."""
        decode_s = output / self.decode_tokens_per_s
        if self.parallel:
            return (self.prefill_s(prompt) + decode_s) / self.spec.max_concurrency
        return self.prefill_s(prompt) + decode_s / self.spec.max_concurrency

    def take(
        self,
        request: Waiting | RunningRow,
        frontend: InstanceId,
        uncached: int,
        now: float,
        started: bool = False,
        reserved: int = 0,
    ) -> None:
        """Take credits for a request that is granted now or was granted earlier."""
        item = Running(
            key=request.key,
            attempt=request.attempt,
            frontend=frontend,
            team=request.team,
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.output_tokens,
            uncached_tokens=uncached,
            granted=now,
            predicted_first_s=self.first_byte_s(uncached),
            started=started,
            reserved_tokens=reserved or request.prompt_tokens + request.output_tokens,
        )
        if isinstance(request, Waiting):
            item.quota_tokens = request.quota_tokens
            item.arrived = request.arrived
            item.objective = request.objective
        item.expected_first_s = item.predicted_first_s / self.prefill_factor
        self.running[item.key] = item
        self.tokens += item.reserved_tokens
        if not started:
            self.unstarted_tokens += uncached
        self.apply_pace(now)
        self.note_change()

    def start(self, item: Running, first_byte_s: float) -> None:
        """Learn from the first byte of an answer."""
        if item.started:
            return
        self.mark_started(item)
        if item.held_first_s:
            # It tells whether the prompt was held rather than how fast the endpoint is.
            return
        if self.pace is not None:
            now = item.granted + first_byte_s
            self.pace.learn_first(first_byte_s, item.expected_first_s, now)
        observed_s = first_byte_s - item.overdue_s
        self._learn(observed_s, item.expected_first_s, item.granted + first_byte_s)

    def mark_started(self, item: Running) -> None:
        """Record that an answer has begun, at an unknown time."""
        if not item.started:
            item.started = True
            self.unstarted_tokens -= item.uncached_tokens
            self.note_change()

    def unverify(self) -> None:
        """Mark all requests as possibly ended or begun without a report to here."""
        for item in self.running.values():
            self.mark_started(item)
            item.is_verified = False

    def remove(self, key: RequestKey) -> Running | None:
        """Remove a request and free its credits."""
        item = self.running.pop(key, None)
        if item is None:
            return None
        self.tokens -= item.reserved_tokens
        if not item.started:
            self.unstarted_tokens -= item.uncached_tokens
        self.note_change()
        return item

    def report_pace(self, percent: int, age_ms: int, now: float) -> None:
        """Record the pace that the endpoint reported with an answer, 0 for none."""
        if percent <= 0:
            if self.pace is not None:
                self.pace.unreported += 1
            return
        if self.pace is None:
            self.pace = EndpointPace()
        self.pace.report(percent / 100, now - max(0, age_ms) / 1000)
        self.apply_pace(now)

    def report_counts(self, running: int, waiting: int) -> None:
        """Record how many requests the endpoint reports, -1 for not known."""
        if min(running, waiting) < 0:
            return
        if self.overlap is None:
            self.overlap = SlotOverlap(self.spec.max_concurrency)
        before = self.overlap.whole()
        self.overlap.record_report(running, waiting, len(self.running))
        if self.overlap.whole() != before:
            self.note_change()

    def apply_pace(self, now: float) -> None:
        """Use what is known of the endpoint's pace, kind and batch, if it is of use."""
        if self.pace is None or not self.pace.is_useful():
            return
        low, high = FACTOR_RANGE
        factor = self.pace.first_factor(now)
        if any(i.overdue_s and not i.started for i in self.running.values()):
            # It is slower than it reports.
            factor = max(factor, self.prefill_factor)
        before = (self.prefill_factor, self.decode_tokens_per_s)
        self.prefill_factor = min(high, max(low, factor))
        speed = self.pace.tokens_per_s(len(self.running), now)
        self.decode_tokens_per_s = speed or self.decode_tokens_per_s
        if (self.prefill_factor, self.decode_tokens_per_s) != before:
            self.note_change()

    def learn_decode(self, tokens: int, seconds: float, now: float = 0.0) -> None:
        """Learn from a complete answer."""
        if tokens < 2 or seconds <= 0:
            return
        if self.pace is not None:
            self.pace.learn_decode(tokens, seconds, len(self.running), now)
            if self.pace.is_useful():
                return
        speed = tokens / seconds
        self.decode_tokens_per_s += LEARNING_RATE * (speed - self.decode_tokens_per_s)
        self.note_change()

    def learn_overdue(self, now: float) -> None:
        """Learn from one overdue first byte before it arrives."""
        for item in self.running.values():
            waited_s = now - item.granted
            predicted_s = max(item.predicted_first_s, item.held_first_s)
            if item.started or waited_s < OVERDUE_RATIO * predicted_s:
                continue
            self._learn(waited_s - item.overdue_s, 0.0, now)
            item.overdue_s = waited_s
            return

    def _learn(self, observed_s: float, expected_s: float, now: float) -> None:
        self._decay(now)
        self.observed_s += max(0.0, observed_s)
        self.expected_s += expected_s
        self._update_factor()

    def _decay(self, now: float) -> None:
        factor = 0.5 ** (max(0.0, now - self.learned) / LEARNING_HALF_LIFE_S)
        self.observed_s *= factor
        self.expected_s *= factor
        self.learned = max(self.learned, now)

    def _update_factor(self) -> None:
        low, high = FACTOR_RANGE
        ratio = (self.observed_s + PRIOR_S) / (self.expected_s + PRIOR_S)
        factor = min(high, max(low, ratio))
        if factor != self.prefill_factor:
            self.prefill_factor = factor
            self.note_change()
        self.apply_pace(self.learned)

    def decay_if_idle(self, now: float) -> None:
        """Let the learned speed of an idle endpoint decay to the assumed one.

        An endpoint that was slow gets few requests from which its recovery could
        be learned.
        """
        if not self.running:
            self._decay(now)
            self._update_factor()
        else:
            self.apply_pace(now)

    def report(self, requests: int) -> None:
        """Record a load report, which lags behind, of the requests in the endpoint."""
        self.external.append(max(0, requests - len(self.running)))
        self.note_change()

    def record_connection_failure(self, now: float, rng: random.Random) -> None:
        """Open the circuit after a failed connection, with back-off and jitter."""
        self.failures += 1
        pause_s = CIRCUIT_BASE_S / 2 + backoff_s(
            self.failures, CIRCUIT_BASE_S, CIRCUIT_MAX_S, rng
        )
        self.open_until = now + pause_s
        self.note_change()

    def record_failed_answer(self, now: float, rng: random.Random) -> None:
        """Record an answer that was an error or was lost.

        An endpoint whose answers are worthless sends them at once, and would draw the
        load of a full pool by that.
        """
        self.failing += FAILING_RATE * (1 - self.failing)
        self.failed_in_row += 1
        retests = self.failed_in_row - FAILED_IN_ROW
        if retests >= 0:
            pause_s = backoff_s(retests, RETEST_BASE_S, RETEST_MAX_S, rng)
            self.passed_over_until = now + RETEST_BASE_S + pause_s
        self.note_change()

    def record_rejection(self, now: float) -> None:
        """Pause a full endpoint for a moment."""
        self.open_until = max(self.open_until, now + REJECTED_PAUSE_S)
        if self.overlap is not None:
            self.overlap.record_rejection()
        self.note_change()
        if self.rejections is not None:
            self.rejections.record_rejection(len(self.running), now)

    def record_success(self) -> None:
        """Record a complete answer and close the circuit."""
        self.failing -= FAILING_RATE * self.failing
        self.failed_in_row = 0
        self.failures = 0
        self.open_until = 0.0
        self.note_change()


def mark_suspects(loads: Collection[EndpointLoad]) -> None:
    """Mark the endpoints that fail more than the median of the others of their pool.

    If all fail at a similar rate, excluding some of them would only lose their
    slots.
    """
    ranked = sorted(load.failing for load in loads)
    for load in loads:
        others = _median_without(ranked, load.failing)
        suspect = load.failing > max(SUSPECT_SHARE, SUSPECT_RATIO * others)
        if suspect != load.suspect:
            load.suspect = suspect
            load.note_change()


def _median_without(ranked: list[float], value: float) -> float:
    """Return the median of all values of a sorted list but one, 0 if there is none."""
    count = len(ranked) - 1
    if count < 1:
        return 0.0
    place = bisect_left(ranked, value)
    middle = [ranked[i if i < place else i + 1] for i in ((count - 1) // 2, count // 2)]
    return sum(middle) / 2


def new_load(spec: Endpoint, kind: PoolKind) -> EndpointLoad:
    """Return the initial load of an endpoint."""
    parallel = kind is PoolKind.SERVICE
    return EndpointLoad(spec, parallel, spec.decode_tokens_per_s)

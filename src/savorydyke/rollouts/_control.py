"""Control of one pool's roll-out: who gets requests, and when the stage changes.

It holds no connection and no clock. The scheduler of the pool asks it where requests
may go and tells it how they end; `savorydyke.rollouts._keeper` stores its record. The
load that it addresses is described in `_judge`; its bounds are those of the operators'
order: a bad version gets a bounded share, a good one all requests in time.

Unless they say otherwise, times are seconds on the monotonic clock.
"""

import math
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

from savorydyke import _logs
from savorydyke._endpoint_load import EndpointLoad, Running
from savorydyke._ids import (
    EndpointId,
    PoolId,
    ProcessId,
    ReleaseResult,
    RequestKey,
    SoftwareVersion,
)
from savorydyke._messages import Release
from savorydyke.rollouts._allowance import Allowance
from savorydyke.rollouts._judge import ALARM, Answer, Judge, Sign
from savorydyke.rollouts._records import Record, Stage
from savorydyke.rollouts._route_tags import route_of_key

END_MARGIN_S = 0.9
"""Time before the deadline at which the end is decided. Half a second must be left when
the status is stored, and a call of the store may take some of the rest."""
TRIAL_SHARE_OF_TIME = 0.3
SHIFT_SHARE_OF_TIME = 0.15
"""Parts of the time from the first endpoint of the version to the deadline. The rest
is for requests that run at the old version, streams among them, to end."""
SHOWN_SHARE_OF_TIME = 0.8
"""Part of that time for which the old versions are kept, so that a version that turns
bad under its whole load can be reverted. The rest covers an outage of the store."""
DOUBT_SHARE_OF_TIME = 0.15
"""Part of that time for which a stage may be prolonged if something speaks against the
version."""
TRIAL_REQUESTS = 0.25
TRIAL_REQUESTS_OF_FEW = 0.6
"""Part of the requests that try the version while the allowance lasts, usually and if
there are too few of them to judge it in time."""
AHEAD_S = 1.0
LEAST_AHEAD = 8
"""Time for which requests to the version are reserved in the store, and their least
number. What is reserved is lost when the coordinator changes."""
SHIFT_REQUESTS = (0.3, 0.6, 1.0)
"""Parts of the requests that prefer the version, in thirds of the shift."""
SLOW_FACTORS = {Stage.TRIAL: 1.6, Stage.SHIFT: 3.0, Stage.DRAIN: 3.0}
"""How much slower than a slow machine an answer must be to count as slow. After the
trial the new version has most of the load, and the old one is no measure: with 2.0 in
the shift, 3 of 80 good versions were reverted in memory at half load."""
MANY_ANSWERS = 200
"""Answers after which the trial need not last any longer."""
ENOUGH_ANSWERS = 40
FEW_ANSWERS = 8
"""Answers that suffice if there were no more until the trial has to end."""
ROUTE_ANSWERS = 6
"""Answers of each busy route that are waited for."""
BUSY_ROUTE = 30
"""Old answers that make a route busy."""
IDLE_S = 0.2
SETTLED_S = 1.5
"""Time in which instances that placed a request themselves have told of it."""
LOST_S = 0.5
"""Time without any endpoint of the version after which it is given up."""
CONTINUED_SHARE = 0.5
"""Part of `rollback_s` for which streams of a reverted version still go on there."""
PACE_TOKENS = 4
"""Least number of tokens of an answer whose pace is judged."""
MIN_EXPECTED_S = 0.001

UNKNOWN_POOL = PoolId("")

log = _logs.component_logger("rollout")


@dataclass(frozen=True)
class TrialBounds:
    """What the deployment's rules allow.

    Attributes
    ----------
    share, slack : float
        Part of a pool's requests that a bad version may get, and a number on top.
    rollback_s : float
        Time after its 50th bad answer within which a bad version gets no more.
    """

    share: float = 0.1
    slack: float = 50.0
    rollback_s: float = 5.0


@dataclass
class RolloutControl:
    """The roll-out of one pool, at an instance that hosts its scheduler.

    Attributes
    ----------
    wall_offset : float
        What to add to the monotonic clock to get Unix time.
    is_withdrawn : bool
        Whether the order is no longer in the store.
    endpoints : dict of EndpointId to EndpointLoad
        Those of the pool.
    warm_at : dict of ProcessId to float
        When processes of endpoints are no longer slow because they have just started.
    judged_first : set of EndpointId
        Endpoints of which an answer is known. The first one may be slow.
    overdue : set of RequestKey
        Requests that were counted as slow before they were answered.
    running : int
        Requests that run at the old versions.
    seen_at : float
        When an endpoint of the version was last seen.
    idle_since : float
        Since when nothing runs at the old versions.
    on_stage : callable
        Called when the stage has changed.
    on_answer : callable
        Called with the version and whether an answer failed.
    """

    record: Record
    bounds: TrialBounds
    rng: random.Random
    wall_offset: float
    pool: PoolId = UNKNOWN_POOL
    judge: Judge = field(default_factory=Judge)
    allowance: Allowance = field(init=False)
    is_withdrawn: bool = False
    endpoints: dict[EndpointId, EndpointLoad] = field(default_factory=dict)
    warm_at: dict[ProcessId, float] = field(default_factory=dict)
    judged_first: set[EndpointId] = field(default_factory=set)
    overdue: set[RequestKey] = field(default_factory=set)
    seen_at: float = -math.inf
    idle_since: float = math.inf
    on_stage: Callable[[], None] = field(default=lambda: None)
    on_answer: Callable[[SoftwareVersion, Answer], None] = field(
        default=lambda version, answer: None
    )

    def __post_init__(self) -> None:
        record = self.record
        self.allowance = Allowance(
            self.bounds.share, self.bounds.slack, record.sent, record.reserved
        )
        self.judge.restore(record.answers, record.score)
        self._set_measure()

    def _set_measure(self) -> None:
        stage = self.record.stage
        self.judge.slow_factor = SLOW_FACTORS.get(stage, 1.6)
        self.judge.compares = stage is Stage.TRIAL

    # What the scheduler asks

    def draws_new(self, now: float) -> bool:
        """Return whether the next new request is to try the new version first."""
        stage = self.record.stage
        if stage is Stage.TRIAL:
            part = self._trial_part()
            return self.allowance.allows(goes_on=False) and self.rng.random() < part
        return stage is Stage.SHIFT and self.rng.random() < self._shift_share(now)

    def _trial_part(self) -> float:
        """Return the part of the requests that try the new version in the trial."""
        expected = TRIAL_REQUESTS * self._rate() * TRIAL_SHARE_OF_TIME * self._time()
        return TRIAL_REQUESTS if expected > ENOUGH_ANSWERS else TRIAL_REQUESTS_OF_FEW

    def _shift_share(self, now: float) -> float:
        part = (now - self._stage_since()) / max(
            0.001, SHIFT_SHARE_OF_TIME * self._time()
        )
        return SHIFT_REQUESTS[
            max(0, min(len(SHIFT_REQUESTS) - 1, int(part * len(SHIFT_REQUESTS))))
        ]

    def new_loads(self, avoid: frozenset[EndpointId], now: float) -> list[EndpointLoad]:
        """Return the endpoints of the new version that take a request now."""
        open_loads = [
            load
            for load in self._loads_of_new()
            if load.id not in avoid and load.is_serving(now)
        ]
        warm = [load for load in open_loads if self._is_warm(load, now)]
        return warm or open_loads

    def observe(self, loads: Iterable[EndpointLoad], now: float) -> None:
        """Take note of the pool's endpoints, and mark those that get nothing."""
        self.endpoints = {load.id: load for load in loads if not load.removed}
        for load in self.endpoints.values():
            warm_at = now + load.spec.warm_up_s
            self.warm_at.setdefault(load.spec.process, warm_at)
        old = {e.spec.version for e in self._loads_of_old() if not e.is_closed()}
        if not old <= set(self.record.old) and not self.record.stage.is_final():
            known = tuple(sorted({*self.record.old, *old}))
            self.record = replace(self.record, old=known)
        self.mark(now)

    def mark(self, now: float) -> None:
        """Mark the endpoints that get nothing new, or nothing at all."""
        stage = self.record.stage
        is_over = stage is Stage.COMPLETE and self.has_new()
        new_held = stage in {Stage.TRIAL, Stage.REVERTED}
        new_ended = stage is Stage.TRIAL and not self.allowance.allows(goes_on=True)
        if stage is Stage.REVERTED:
            since = now - self._stage_since()
            new_ended = since > CONTINUED_SHARE * self.bounds.rollback_s
        for load in self.endpoints.values():
            if load.spec.version == self.record.to:
                load.set_held(new_held, new_ended)
            elif load.spec.version in self.record.barred:
                load.set_held(True, True)
            elif load.spec.version in self.record.old:
                load.set_held(stage is Stage.DRAIN or is_over, is_over)

    def release_all(self) -> None:
        """Unmark all endpoints, since no roll-out concerns the pool any more."""
        for load in self.endpoints.values():
            load.set_held(False, False)

    # What the scheduler tells

    def record_granted(self, load: EndpointLoad, now: float) -> None:
        """Count a request that may be sent to an endpoint."""
        if self.record.stage.is_final():
            return
        self.allowance.sent += 1
        if load.spec.version == self.record.to and self.record.stage is Stage.TRIAL:
            self.allowance.take()
            if not self.allowance.allows(goes_on=True):
                self.mark(now)

    def record_unsent(self, load: EndpointLoad, now: float) -> None:
        """Take back a request that was granted and not sent."""
        if self.record.stage.is_final():
            return
        self.allowance.sent -= 1
        if load.spec.version == self.record.to and self.record.stage is Stage.TRIAL:
            self.allowance.give_back()
            self.mark(now)

    def record_first(
        self, load: EndpointLoad, item: Running, first_byte_s: float, now: float
    ) -> None:
        """Judge the time to a first byte."""
        if item.key not in self.overdue:
            first = first_byte_s / max(MIN_EXPECTED_S, item.expected_first_s)
            late = item.granted + first_byte_s > item.objective
            answer = Answer("", load.id, late=late, first=first)
            self._judge(load, item, answer, now)

    def record_end(
        self, load: EndpointLoad, item: Running, message: Release, now: float
    ) -> None:
        """Judge the end of a request that was sent."""
        self.overdue.discard(item.key)
        result = message.result
        if result is ReleaseResult.CANCELLED:
            # The caller left or its time was over; that counts if it had to wait long.
            self._judge_overdue(load, item, now)
            return
        is_lost = result is ReleaseResult.TRUNCATED
        failed = is_lost or result is ReleaseResult.FAILED
        pace = None
        if not failed and message.output_tokens >= PACE_TOKENS:
            expected_s = message.output_tokens / load.spec.decode_tokens_per_s
            pace = message.decode_ms / 1000 / max(MIN_EXPECTED_S, expected_s)
        answer = Answer("", load.id, failed=failed, lost=is_lost, pace=pace)
        self._judge(load, item, answer, now)

    def _judge_overdue(self, load: EndpointLoad, item: Running, now: float) -> None:
        """Count a request as slow that has no answer for too long."""
        if item.started or item.key in self.overdue or item.expected_first_s <= 0:
            return
        first = (now - item.granted) / max(MIN_EXPECTED_S, item.expected_first_s)
        is_late = now > item.objective
        if is_late or self.judge.is_slow(route_of_key(item.key), Sign.FIRST, first):
            answer = Answer("", load.id, late=is_late, first=first)
            self._judge(load, item, answer, now)
            self.overdue.add(item.key)

    def _judge(
        self, load: EndpointLoad, item: Running, answer: Answer, now: float
    ) -> None:
        if self.record.stage.is_final():
            return
        answer = replace(answer, route=route_of_key(item.key), team=item.team)
        self.on_answer(load.spec.version, answer)
        if load.spec.version != self.record.to:
            self.judge.record_old(answer, now)
            return
        is_first = load.id not in self.judged_first
        if is_first or not self._is_warm(load, item.granted):
            answer = replace(answer, late=None, first=None, pace=None)
        if answer.failed is not None:
            self.judged_first.add(load.id)
        self.judge.record_new(answer, now)

    # Stages

    def tick(self, now: float, is_settled: bool) -> None:
        """Change the stage if it is time.

        Parameters
        ----------
        is_settled : bool
            Whether all frontends have told what they have in flight.
        """
        if self.record.stage.is_final():
            if now - self._stage_since() < 2 * self.bounds.rollback_s:
                self.mark(now)
            return
        if self.has_new():
            self.seen_at = now
            if not self.record.begun_at:
                self.record = replace(self.record, begun_at=now + self.wall_offset)
        for load in self._loads_of_new():
            for item in load.running.values():
                self._judge_overdue(load, item, now)
        self._note_idle(now, is_settled)
        is_due = now >= self._deadline() - END_MARGIN_S
        if not is_settled and not is_due:
            return
        stage, why = self._next_stage(now)
        if stage is not self.record.stage:
            self.enter(stage, why, now)

    def _note_idle(self, now: float, is_settled: bool) -> None:
        """Note since when nothing runs at the old versions."""
        if not is_settled or any(load.running for load in self._loads_of_old()):
            self.idle_since = math.inf
        elif self.idle_since == math.inf:
            self.idle_since = now

    def _next_stage(self, now: float) -> tuple[Stage, str]:
        stage = self.record.stage
        if self.is_withdrawn:
            return Stage.REVERTED, "the order was withdrawn"
        if why := self.judge.why_bad():
            return Stage.REVERTED, why
        is_begun = self.record.begun_at > 0
        if stage is not Stage.TRIAL and is_begun and self._is_lost(now):
            return Stage.REVERTED, "no endpoint of the version is left"
        if now >= self._deadline() - END_MARGIN_S:
            return self._last_stage()
        if stage is Stage.TRIAL:
            return self._after_trial(now)
        passed_s = now - self._stage_since()
        if stage is Stage.SHIFT and passed_s >= SHIFT_SHARE_OF_TIME * self._time():
            if self._may_doubt(passed_s, SHIFT_SHARE_OF_TIME):
                return stage, ""
            return Stage.DRAIN, "the version bears its load"
        is_idle = now - self.idle_since >= IDLE_S and passed_s >= SETTLED_S
        is_shown = now >= self._deadline() - (1 - SHOWN_SHARE_OF_TIME) * self._time()
        if stage is Stage.DRAIN and is_idle and is_shown:
            return Stage.COMPLETE, "nothing runs at the old versions"
        return stage, ""

    def _last_stage(self) -> tuple[Stage, str]:
        """Return the end that is due when the time is over."""
        if self.record.stage is Stage.TRIAL:
            if not self.record.begun_at:
                return Stage.REVERTED, "no endpoint ran the version"
            _, detail = self.judge.worst()
            why = f"not shown to be good in time: {self.judge.answers} answers"
            return Stage.REVERTED, f"{why}, {detail}"
        running = sum(len(load.running) for load in self._loads_of_old())
        return Stage.COMPLETE, f"the time is over, {running} requests still run"

    def _after_trial(self, now: float) -> tuple[Stage, str]:
        judge = self.judge
        if not self.record.begun_at or not self.has_new():
            return Stage.TRIAL, ""
        begun = self.record.begun_at - self.wall_offset
        passed_s = now - begun
        if not self.record.old and passed_s > LOST_S:
            return Stage.DRAIN, "the pool has no other version"
        detail = f"{judge.answers} answers, {judge.bad} bad"
        is_over = passed_s >= TRIAL_SHARE_OF_TIME * self._time()
        has_routes = all(
            judge.by_route.get(route, 0) >= ROUTE_ANSWERS
            for route, count in judge.old_by_route.items()
            if count >= BUSY_ROUTE
        )
        if judge.is_in_doubt():
            return Stage.TRIAL, ""
        if judge.answers >= MANY_ANSWERS and has_routes:
            return Stage.SHIFT, f"good: {detail}"
        if is_over and has_routes and judge.answers >= ENOUGH_ANSWERS:
            return Stage.SHIFT, f"good: {detail}"
        is_late = passed_s >= (TRIAL_SHARE_OF_TIME + DOUBT_SHARE_OF_TIME) * self._time()
        if is_late and judge.answers >= FEW_ANSWERS:
            return Stage.SHIFT, f"good as far as is known: {detail}"
        return Stage.TRIAL, ""

    def _may_doubt(self, passed_s: float, usual: float) -> bool:
        """Return whether to wait since something speaks against the version."""
        latest_s = (usual + DOUBT_SHARE_OF_TIME) * self._time()
        return self.judge.is_in_doubt() and passed_s < latest_s

    def enter(self, stage: Stage, why: str, now: float) -> None:
        """Enter a stage, with effect on grants from now on."""
        before = self.record.stage
        self.record = replace(
            self.record, stage=stage, stage_at=now + self.wall_offset, why=why
        )
        self._set_measure()
        self.mark(now)
        score, detail = self.judge.worst()
        log.info(
            "Stage changed.",
            extra={
                "pool": self.pool,
                "to": self.record.to,
                "stage": stage.value,
                "before": before.value,
                "why": why,
                "answers": self.judge.answers,
                "bad": self.judge.bad,
                "score": round(score, 1),
                "worst": detail,
                "sent": self.allowance.sent,
                "reserved": self.allowance.reserved,
                "left_s": round(self._deadline() - now, 2),
            },
        )
        self.on_stage()

    # The record

    def proposal(self) -> Record:
        """Return the record to store, with what is to be reserved next."""
        record = self.snapshot()
        return replace(record, reserved=record.reserved + self.reserves_next())

    def snapshot(self) -> Record:
        """Return the record with the present counts."""
        score, _ = self.judge.worst()
        return replace(
            self.record,
            sent=self.allowance.sent,
            reserved=self.allowance.reserved,
            answers=self.judge.answers,
            score=round(min(score, ALARM), 2),
        )

    def reserves_next(self) -> int:
        """Return how many requests to the version to reserve in the store now."""
        if self.record.stage is not Stage.TRIAL or not self.record.begun_at:
            return 0
        ahead = max(LEAST_AHEAD, int(AHEAD_S * TRIAL_REQUESTS * self._rate()))
        return min(self.allowance.wanted(), max(0, ahead - self.allowance.left))

    def needs_more(self) -> bool:
        """Return whether so little is left that more is to be reserved soon."""
        return self.reserves_next() > max(LEAST_AHEAD, self.allowance.left) / 2

    def _rate(self) -> float:
        """Return the pool's requests a second since the order."""
        latest = max(self.seen_at + self.wall_offset, self.record.ordered_at)
        return self.allowance.sent / max(0.5, latest - self.record.ordered_at)

    def accept(self, stored: Record, now: float) -> None:
        """Note that a proposal has been stored, so that its reservation counts."""
        if self.record.order.id == stored.order.id:
            self.allowance.grow(stored.reserved)
            self.mark(now)

    def adopt(self, stored: Record, now: float) -> None:
        """Heed what another coordinator has stored for the same order."""
        self.allowance.adopt(stored.sent, stored.reserved)
        known = self.record
        self.record = replace(
            known,
            ordered_at=min(known.ordered_at, stored.ordered_at),
            begun_at=stored.begun_at or known.begun_at,
            old=tuple(sorted({*known.old, *stored.old})),
        )
        # What the store holds as the end was decided first, for instance while this
        # process stood still.
        is_other_end = stored.stage.is_final() and stored.stage is not self.record.stage
        if is_other_end or stored.stage.is_after(self.record.stage):
            before = self.record.stage
            self.record = replace(
                self.record,
                stage=stored.stage,
                stage_at=stored.stage_at,
                why=stored.why,
            )
            self._set_measure()
            self.mark(now)
            extra = {"pool": self.pool, "to": self.record.to}
            extra |= {"stage": stored.stage.value, "before": before.value}
            log.info("Stage followed.", extra=extra | {"why": stored.why})

    # State

    def has_new(self) -> bool:
        """Return whether an endpoint of the new version is open."""
        return any(not load.is_closed() for load in self._loads_of_new())

    def _is_lost(self, now: float) -> bool:
        return not self.has_new() and now - self.seen_at > LOST_S

    def _loads_of_new(self) -> list[EndpointLoad]:
        return [e for e in self.endpoints.values() if e.spec.version == self.record.to]

    def _loads_of_old(self) -> list[EndpointLoad]:
        others = {self.record.to, *self.record.barred}
        return [e for e in self.endpoints.values() if e.spec.version not in others]

    def _is_warm(self, load: EndpointLoad, at: float) -> bool:
        """Return whether an endpoint was no longer slow from its start at a time."""
        return at >= self.warm_at.get(load.spec.process, 0.0)

    def _stage_since(self) -> float:
        return self.record.stage_at - self.wall_offset

    def _deadline(self) -> float:
        return self.record.deadline - self.wall_offset

    def _time(self) -> float:
        """Return the time from the first endpoint of the version to the deadline."""
        begun_at = self.record.begun_at or self.record.ordered_at
        return max(0.1, self.record.deadline - begun_at)

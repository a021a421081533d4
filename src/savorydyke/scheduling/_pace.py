"""Paces of endpoints: how much longer than usual work takes there at the moment.

The load: endpoints of one pool are of several kinds (0.55 to 2.8 times the usual time,
permanently), slow down with the requests that they run, and are slowed down to 2.5
times by neighbours on their machines for some hundred milliseconds at a time. Some
report the last of these, their pace, with each response. A response reaches one
frontend; the coordinator of the pool, which places requests, learns of the pace in
messages that are sent anyway.
"""

import math
from dataclasses import dataclass, field

from savorydyke._ids import ProcessId

MAX_PROCESSES = 4096
"""Processes whose paces are kept, the latest ones."""
MAX_AGE_S = 5.0
"""Age at which a report is not passed on; it says nothing about the present."""
PACE_RANGE = (0.05, 50.0)
SAME = math.log(1.2)
"""Difference, as a logarithm, up to which two paces count as the same."""
UNUSUAL = math.log(1.5)
"""Difference from the mean from which on the duration of a pace is learned. The mean
itself moves by less."""
PRIOR_CHANGES, PRIOR_EXPOSED_S = 1.0, 0.6
"""What is assumed of how long a pace lasts until it has been observed."""
KEPT_EXPOSED_S = 30.0
LONGEST_GAP_S = 1.0
"""Longer gaps between two reports do not tell when the pace changed."""
MEAN_S = 10.0
"""Time constant of the mean pace: many changes."""
LEAST_RATE = 1 / 40
"""Learning rate of what is permanent, after the first answers: of 40 answers most are
not slowed down by neighbours that were not reported."""
ERROR_RATE = 1 / 20
WORTH_SLACK = 1.1
"""A report is used unless predictions are worse with it by more than this factor."""
UNREPORTED = 20
"""Answers in a row without a report, after which the endpoint counts as reporting
nothing. Frontends of an earlier build pass no reports on."""
MAX_BATCH_COST = 1.0
BATCH_RATE = 0.02


@dataclass
class PaceReports:
    """The latest pace that each process of an endpoint has reported to this instance.

    Attributes
    ----------
    latest : dict of ProcessId to (float, float)
        Pace, and when it was reported on the monotonic clock; the oldest first.
    """

    latest: dict[ProcessId, tuple[float, float]] = field(default_factory=dict)

    def record(self, process: ProcessId, pace: float, now: float) -> None:
        """Record a reported pace."""
        self.latest.pop(process, None)
        self.latest[process] = (pace, now)
        if len(self.latest) > MAX_PROCESSES:
            del self.latest[next(iter(self.latest))]

    def message_fields(self, process: ProcessId, now: float) -> tuple[int, int]:
        """Return a pace in per cent and its age in ms; 0 if none is known."""
        pace, at = self.latest.get(process, (0.0, now))
        if now - at > MAX_AGE_S:
            return 0, 0
        return round(100 * pace), round(1000 * (now - at))


@dataclass
class EndpointPace:
    """What the coordinator has learned of the speed of an endpoint that reports a pace.

    Attributes
    ----------
    reported, reported_at : float
        The latest reported pace, and when it was true.
    mean : float
        Mean of the reported paces over some ten seconds.
    changes, exposed_s : float
        How often the pace changed between two reports, and in what time.
    kind : float
        Time to the first byte as a multiple of the assumed one, at the usual pace.
    token_s : float
        Time for each token at the usual pace, of a request that runs alone; 0 if it is
        not known yet.
    batch_cost : float
        Part by which each other request makes a token slower.
    others : float
        Mean number of other requests.
    decode_s : float
        Usual time from the first to the last token.
    errors : list of float
        Smoothed errors of first bytes, predicted with reports and without.
    unreported : int
        Answers in a row that came without a report.
    """

    reported: float = 1.0
    reported_at: float = -math.inf
    mean: float = 1.0
    changes: float = PRIOR_CHANGES
    exposed_s: float = PRIOR_EXPOSED_S
    kind: float = 1.0
    first_bytes: int = 0
    token_s: float = 0.0
    answers: int = 0
    batch_cost: float = 0.0
    others: float = 0.0
    decode_s: float = 0.5
    errors: list[float] = field(default_factory=lambda: [0.0, 0.0])
    unreported: int = 0

    def is_useful(self) -> bool:
        """Return whether the endpoint reports, and predictions gain by it."""
        with_report, without = self.errors
        return self.unreported < UNREPORTED and with_report <= WORTH_SLACK * without

    def report(self, pace: float, at: float) -> None:
        """Record a pace that was true at a time; an older one is ignored."""
        self.unreported = 0
        if at <= self.reported_at:
            return
        low, high = PACE_RANGE
        pace = min(high, max(low, pace))
        gap_s = min(at - self.reported_at, LONGEST_GAP_S)
        self._learn_duration(pace, gap_s)
        weight = 1 - math.exp(-gap_s / MEAN_S)
        self.mean += weight * ((self.reported + pace) / 2 - self.mean)
        self.reported, self.reported_at = pace, at

    def _learn_duration(self, pace: float, gap_s: float) -> None:
        """Learn how long paces last that differ from the mean."""
        if abs(math.log(self.reported / self.mean)) <= UNUSUAL:
            return
        self.exposed_s += gap_s
        self.changes += abs(math.log(pace / self.reported)) > SAME
        if self.exposed_s > KEPT_EXPOSED_S:
            self.exposed_s /= 2
            self.changes /= 2

    def pace(self, now: float, for_s: float = 0.0) -> float:
        """Return the expected pace now, or over a time that begins now.

        The latest report counts with the probability that it is still true.
        """
        rate = self.changes / self.exposed_s
        trust = math.exp(-rate * max(0.0, now - self.reported_at))
        if for_s > 0:
            trust *= -math.expm1(-rate * for_s) / (rate * for_s)
        return self.mean + trust * (self.reported - self.mean)

    def first_factor(self, now: float) -> float:
        """Return the expected time to the first byte by that at the assumed speed."""
        return self.kind * self.pace(now)

    def tokens_per_s(self, others: int, now: float) -> float:
        """Return the expected speed of a stream beside others, 0 if not known."""
        if not self.token_s:
            return 0.0
        batch = 1 + self.batch_cost * others
        return 1 / (self.token_s * batch * self.pace(now, self.decode_s))

    def learn_first(self, observed_s: float, expected_s: float, now: float) -> None:
        """Learn from a first byte, and what was expected at the assumed speed."""
        if observed_s <= 0 or expected_s <= 0:
            return
        for i, pace in enumerate((self.pace(now), self.mean)):
            error = abs(math.log(observed_s / (expected_s * self.kind * pace)))
            self.errors[i] += ERROR_RATE * (error - self.errors[i])
        self.first_bytes += 1
        rate = max(LEAST_RATE, 1 / self.first_bytes)
        ratio = observed_s / (expected_s * self.pace(now))
        self.kind *= (ratio / self.kind) ** rate

    def learn_decode(
        self, tokens: int, seconds: float, others: int, now: float
    ) -> None:
        """Learn from a complete answer that was written beside others."""
        if tokens < 2 or seconds <= 0:
            return
        # The pace over the time of the answer is not known; a report says less of a
        # long answer.
        usual_s = seconds / tokens / self.pace(now, seconds)
        self.answers += 1
        rate = max(LEAST_RATE, 1 / self.answers)
        self.decode_s += rate * (seconds - self.decode_s)
        alone_s = usual_s / (1 + self.batch_cost * others)
        if not self.token_s:
            self.token_s = alone_s
        error = math.log(alone_s / self.token_s)
        self.token_s *= math.exp(rate * error)
        self.others += rate * (others - self.others)
        cost = self.batch_cost + BATCH_RATE * error * (others - self.others)
        self.batch_cost = min(MAX_BATCH_COST, max(0.0, cost))

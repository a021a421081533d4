"""Compares the answers of a software version on trial with those of the old one.

The load that it addresses: a version fails a part of its requests, or answers several
times slower, at once or later, on one route only or under load only, while bursts,
faulty calling teams, cold starts and crashes of single endpoints hit both versions.

Each answer of the new version is compared with what the old one gave on the same route
at the same time: whether it failed, came after the objective, or was slower than even
the slow machines of the old version are. Machines differ by several times, so that a
few endpoints show less than many.

A cumulative sum of likelihood ratios (CUSUM) per route and sign, and one over all
routes, finds a change early and at any time. Evidence that comes from one endpoint
alone does not count against the version, unless it has no other. While the old version
gets nothing, the highest rate that it showed is the measure, and evidence from one
calling team alone does not count either.

Times are seconds on any one clock, passed in; slowness is an observed time divided by
the time expected for the endpoint's kind of engine, prompt and load.
"""

import math
from collections import Counter, deque
from dataclasses import dataclass, field
from enum import Enum
from statistics import fmean, median, variance

from savorydyke._ids import EndpointId, TeamId

ALARM = 12.0
"""Score at which a version is bad. With no real difference a score gets there about
once in e^12 answers."""
OTHERS_ALARM = 4.0
"""Part of the score that must come from others than the worst endpoint, or team."""
DOUBT = 3.0
"""Score at which a version is not called good yet."""
FAILED_ODDS = (3.0, 12.0)
"""Factors on the odds of a failure that are tested for: small and large portions."""
SLOW_ODDS = (8.0,)
LEAST_FAILED = 0.01
"""Least rate of failures that the old version is assumed to have."""
LEAST_SLOW = 0.03
MAX_RATE = 0.9
PRIOR_ANSWERS = 20.0
RATE_HALF_LIFE_S = 4.0
"""Old answers count half after this, so that a burst or a faulty team that ends is
forgotten."""
ONSET_HALF_LIFE_S = 0.5
"""Same, to notice at once that a burst or a faulty team begins."""
MIN_OLD_ANSWERS = 10.0
REFERENCES_KEPT = 128
REFERENCES_NEEDED = 16
KIND_ANSWERS = 4
"""Answers after which an endpoint's usual slowness is known."""
KIND_LEARNING_RATE = 0.2
MANY_ENDPOINTS = 6
"""Number of old endpoints which probably show what machines there are."""
LEAST_SPREAD = 2.0
FEW_SPREAD = 4.0
SHIFT_ANSWERS = 2
SHIFT_ALARM = 5.5
SHIFT_DOUBT = 3.5
LEAST_SHIFT = math.log(2.2)
"""All machines together are slower if the mean logarithm of their slowness differs by
this, and by that many standard errors."""
"""Least slowness of the slowest machine beside the usual one, with many and with few
old endpoints."""
CRASH_S = 0.5
"""Answers that an endpoint loses within this time are lost by one crash."""
ONSET_S = {True: 0.6, False: 1.0}
"""Time for which evidence of failures, and of slowness, must have lasted. When a burst
or a faulty team begins, the rate of the old version is known a little later."""
ALL_ROUTES = ""
UNKNOWN_TEAM = TeamId("")


class Sign(Enum):
    """What shows that an answer is bad."""

    FAILED = "failed"
    LATE = "after the objective"
    FIRST = "slow to begin"
    PACE = "slow to go on"


@dataclass(frozen=True)
class Answer:
    """How one request ended at an endpoint, as far as it is known.

    Attributes
    ----------
    failed : bool or None
        None if that is not known yet.
    lost : bool
        Whether the answer broke off, as all do when an endpoint crashes.
    late : bool or None
        Whether the first byte came after the objective.
    first, pace : float or None
        Slowness of the first byte and of the events after it, None if not known.
    """

    route: str
    endpoint: EndpointId
    team: TeamId = UNKNOWN_TEAM
    failed: bool | None = None
    lost: bool = False
    late: bool | None = None
    first: float | None = None
    pace: float | None = None


@dataclass
class Recent:
    """Counts in which old answers weigh less and less."""

    half_life_s: float
    seen: float = 0.0
    bad: float = 0.0
    at: float = 0.0

    def add(self, is_bad: bool, now: float) -> None:
        """Count one answer."""
        decay = 0.5 ** (max(0.0, now - self.at) / self.half_life_s)
        self.seen = self.seen * decay + 1
        self.bad = self.bad * decay + is_bad
        self.at = now

    def upper(self, least: float) -> float:
        """Return a rate that the true one is probably below, at least `least`."""
        n = self.seen + PRIOR_ANSWERS
        mean = (self.bad + PRIOR_ANSWERS * least) / n
        return min(MAX_RATE, mean + math.sqrt(mean * (1 - mean) / n))


@dataclass
class Rate:
    """The old version's rate of bad answers: now, in the last seconds, at the most."""

    least: float
    slow: Recent = field(default_factory=lambda: Recent(RATE_HALF_LIFE_S))
    fast: Recent = field(default_factory=lambda: Recent(ONSET_HALF_LIFE_S))
    highest: float = 0.0

    def add(self, is_bad: bool, now: float) -> None:
        """Count one answer."""
        self.slow.add(is_bad, now)
        self.fast.add(is_bad, now)
        if self.slow.seen >= MIN_OLD_ANSWERS:
            self.highest = max(self.highest, self.upper())

    def upper(self) -> float:
        """Return a rate that the true one is probably below."""
        return max(self.slow.upper(self.least), self.fast.upper(self.least))


@dataclass
class Reference:
    """The usual slowness of the old version on one route."""

    kept: deque[float] = field(default_factory=lambda: deque(maxlen=REFERENCES_KEPT))
    median: float | None = None
    until_update: int = 0

    def add(self, slowness: float) -> None:
        """Learn from one answer."""
        self.kept.append(slowness)
        self.until_update -= 1
        if self.until_update < 0 and len(self.kept) >= REFERENCES_NEEDED:
            self.median = max(1e-6, median(self.kept))
            self.until_update = REFERENCES_NEEDED


@dataclass
class Kinds:
    """How slow the old version's machines are beside the usual one.

    Attributes
    ----------
    usual : dict of EndpointId to float
        Mean logarithm of the slowness of each endpoint, beside the route's median.
    """

    usual: dict[EndpointId, float] = field(default_factory=dict)
    answers: Counter[EndpointId] = field(default_factory=Counter)

    def add(self, endpoint: EndpointId, relative: float) -> None:
        """Learn from one answer."""
        value = math.log(max(1e-6, relative))
        self.answers[endpoint] += 1
        rate = max(KIND_LEARNING_RATE, 1 / self.answers[endpoint])
        mean = self.usual.get(endpoint, value)
        self.usual[endpoint] = mean + rate * (value - mean)

    def spread(self) -> float:
        """Return the slowness of a slow machine; a single worst one does not count."""
        known = sorted(
            value
            for endpoint, value in self.usual.items()
            if self.answers[endpoint] >= KIND_ANSWERS
        )
        if len(known) < MANY_ENDPOINTS:
            return max(FEW_SPREAD, math.exp(known[-1]) if known else 0.0)
        return max(LEAST_SPREAD, math.exp(known[-2]))

    def means(self) -> list[float]:
        """Return the mean logarithms that are known for some endpoints."""
        return [m for e, m in self.usual.items() if self.answers[e] >= SHIFT_ANSWERS]


@dataclass
class Score:
    """Evidence that a rate is higher by some odds, never below 0.

    Attributes
    ----------
    since : float
        When it rose above 0.
    by_endpoint, by_team : dict
        What single endpoints and teams have contributed since then.
    """

    odds: float
    value: float = 0.0
    since: float = 0.0
    by_endpoint: dict[EndpointId, float] = field(default_factory=dict)
    by_team: dict[TeamId, float] = field(default_factory=dict)

    def add(self, answer: Answer, is_bad: bool, rate: float, now: float) -> None:
        """Count one answer, where `rate` is the old version's rate."""
        worse = rate * self.odds / (1 - rate + rate * self.odds)
        step = math.log(worse / rate) if is_bad else math.log((1 - worse) / (1 - rate))
        if self.value == 0:
            self.since = now
        self.value += step
        if self.value <= 0:
            self.value = 0.0
            self.by_endpoint.clear()
            self.by_team.clear()
            return
        endpoint, team = answer.endpoint, answer.team
        self.by_endpoint[endpoint] = self.by_endpoint.get(endpoint, 0.0) + step
        self.by_team[team] = self.by_team.get(team, 0.0) + step

    def of_others(self) -> float:
        """Return what is left without the worst endpoint."""
        return self.value - max(self.by_endpoint.values(), default=0.0)

    def of_other_teams(self) -> float:
        """Return what is left without the worst team."""
        return self.value - max(self.by_team.values(), default=0.0)


@dataclass
class Judge:
    """Evidence on one roll-out.

    Attributes
    ----------
    latest : float
        When an answer of the new version was weighed last.
    slow_factor : float
        An answer is slow beyond this multiple of what slow machines of the old version
        need.
        It is higher while the versions do not share the load.
    compares : bool
        Whether the old version gets requests at the same time.
    answers : int
        Judged answers of the new version.
    bad : int
        Those that failed or were slow.
    by_route : dict of str to int
        Judged answers of the new version by route.
    endpoints, teams : set
        Endpoints of the new version that were judged, and whose requests they answered.
    lost_at : dict of EndpointId to float
        When endpoints last lost an answer.
    """

    latest: float = 0.0
    slow_factor: float = 1.6
    compares: bool = True
    answers: int = 0
    bad: int = 0
    by_route: dict[str, int] = field(default_factory=dict)
    old_by_route: dict[str, int] = field(default_factory=dict)
    endpoints: set[EndpointId] = field(default_factory=set)
    teams: set[TeamId] = field(default_factory=set)
    lost_at: dict[EndpointId, float] = field(default_factory=dict)
    rates: dict[tuple[str, Sign], Rate] = field(default_factory=dict)
    references: dict[tuple[str, Sign], Reference] = field(default_factory=dict)
    kinds: dict[Sign, Kinds] = field(default_factory=dict)
    new_kinds: dict[Sign, Kinds] = field(default_factory=dict)
    scores: dict[tuple[str, Sign, float], Score] = field(default_factory=dict)

    def restore(self, answers: int, score: float) -> None:
        """Go on from what an earlier coordinator has stored of its evidence."""
        self.answers = answers
        if score > 0:
            odds = FAILED_ODDS[-1]
            key = (ALL_ROUTES, Sign.FAILED, odds)
            self.scores[key] = Score(odds, min(score, ALARM / 2))

    def record_old(self, answer: Answer, now: float) -> None:
        """Learn what the old version does."""
        if self._is_same_crash(answer, now):
            return
        if answer.failed is not None:
            count = self.old_by_route.get(answer.route, 0)
            self.old_by_route[answer.route] = count + 1
        for sign, is_bad in self._signs(answer):
            for route in (answer.route, ALL_ROUTES):
                self._rate(route, sign).add(is_bad, now)
        for sign, slowness in _slowness(answer):
            reference = self._reference(answer.route, sign)
            if self.compares:
                reference.add(slowness)
            self._learn_kind(self.kinds, sign, answer, slowness)

    def record_new(self, answer: Answer, now: float) -> None:
        """Weigh an answer of the new version."""
        if self._is_same_crash(answer, now):
            return
        self.latest = now
        self.endpoints.add(answer.endpoint)
        self.teams.add(answer.team)
        if answer.failed is not None:
            self.answers += 1
            self.by_route[answer.route] = self.by_route.get(answer.route, 0) + 1
        signs = self._signs(answer)
        for sign, slowness in _slowness(answer):
            self._learn_kind(self.new_kinds, sign, answer, slowness)
        self.bad += any(is_bad for _, is_bad in signs)
        for sign, is_bad in signs:
            for route in (answer.route, ALL_ROUTES):
                self._weigh(route, sign, answer, is_bad)

    def _learn_kind(
        self, kinds: dict[Sign, Kinds], sign: Sign, answer: Answer, slowness: float
    ) -> None:
        usual = self._reference(answer.route, sign).median
        if self.compares and usual is not None:
            found = kinds.setdefault(sign, Kinds())
            found.add(answer.endpoint, slowness / usual)

    def slowdown(self, sign: Sign) -> tuple[float, float]:
        """Return how much slower all machines are, and in standard errors.

        The first figure is a logarithm. Both are 0 if too few machines are known.
        """
        old = self.kinds[sign].means() if sign in self.kinds else []
        new = self.new_kinds[sign].means() if sign in self.new_kinds else []
        if min(len(old), len(new)) < MANY_ENDPOINTS:
            return 0.0, 0.0
        difference = fmean(new) - fmean(old)
        error = math.sqrt(variance(new) / len(new) + variance(old) / len(old))
        return difference, difference / max(1e-6, error)

    def _why_slower(self, least: float) -> str:
        """Return what shows that all machines are slower, empty if nothing does."""
        for sign in (Sign.FIRST, Sign.PACE):
            difference, errors = self.slowdown(sign)
            if self.compares and difference >= LEAST_SHIFT and errors >= least:
                factor = math.exp(difference)
                return f"{sign.value} at all endpoints, {factor:.1f} times slower"
        return ""

    def is_slow(self, route: str, sign: Sign, slowness: float) -> bool:
        """Return whether an answer is slow beside those of the old version."""
        return self._is_beyond(route, sign, slowness, self.slow_factor)

    def _is_beyond(
        self, route: str, sign: Sign, slowness: float, factor: float
    ) -> bool:
        """Return whether an answer is slower than one of a slow machine by a factor."""
        usual = self._reference(route, sign).median
        if usual is None or slowness <= factor * LEAST_SPREAD * usual:
            return False
        spread = self.kinds.setdefault(sign, Kinds()).spread()
        if not self.compares:
            # The old version's slow machines may have had no requests.
            spread = max(spread, FEW_SPREAD)
        return slowness > factor * spread * usual

    def worst(self) -> tuple[float, str]:
        """Return the highest score and what it is about."""
        if not self.scores:
            return 0.0, "no answers"
        key = max(self.scores, key=lambda k: self.scores[k].value)
        route, sign, _ = key
        where = f"on route {route}" if route else "over all routes"
        rate = self._rate(route, sign)
        detail = f"{sign.value} {where}, old rate {rate.upper():.3f}"
        return self.scores[key].value, detail

    def why_bad(self) -> str:
        """Return why the version is bad, empty if that is not shown."""
        for (route, sign, _), score in self.scores.items():
            if score.value < ALARM:
                continue
            if not self._is_of_several(score, OTHERS_ALARM):
                continue
            if self.latest - score.since < ONSET_S[sign is Sign.FAILED]:
                continue
            where = f"on route {route}" if route else "over all routes"
            return (
                f"{sign.value} {where}: {self.bad} of {self.answers} answers bad, "
                f"old rate {self._rate(route, sign).upper():.3f}"
            )
        return self._why_slower(SHIFT_ALARM)

    def is_in_doubt(self) -> bool:
        """Return whether something speaks against the version."""
        return bool(self._why_slower(SHIFT_DOUBT)) or any(
            score.value >= DOUBT and self._is_of_several(score, DOUBT / 2)
            for score in self.scores.values()
        )

    def _is_of_several(self, score: Score, least: float) -> bool:
        """Return whether evidence comes from more than one endpoint, and team."""
        if len(self.endpoints) > 1 and score.of_others() < least:
            return False
        is_of_one_team = len(self.teams) > 1 and score.of_other_teams() < least
        return self.compares or not is_of_one_team

    def _weigh(self, route: str, sign: Sign, answer: Answer, is_bad: bool) -> None:
        rate = self._rate(route, sign)
        if sign is not Sign.FAILED and rate.highest == 0:
            return
        # Late answers may have waited for an endpoint, which the version that gets all
        # requests is not to blame for.
        if sign is Sign.LATE and not self.compares:
            return
        usual = rate.upper() if self.compares else max(rate.highest, rate.upper())
        for odds in FAILED_ODDS if sign is Sign.FAILED else SLOW_ODDS:
            score = self.scores.setdefault((route, sign, odds), Score(odds))
            score.add(answer, is_bad, usual, self.latest)

    def _signs(self, answer: Answer) -> list[tuple[Sign, bool]]:
        """Return what an answer shows, and whether that is bad."""
        found = [] if answer.failed is None else [(Sign.FAILED, answer.failed)]
        if answer.late is not None and answer.first is not None:
            # A slow machine may be late without any fault of the version.
            is_slower = self._is_beyond(answer.route, Sign.FIRST, answer.first, 1.0)
            found.append((Sign.LATE, answer.late and is_slower))
        for sign, slowness in _slowness(answer):
            if self._reference(answer.route, sign).median is not None:
                found.append((sign, self.is_slow(answer.route, sign, slowness)))
        return found

    def _is_same_crash(self, answer: Answer, now: float) -> bool:
        """Return whether an answer was lost by a crash that is counted already."""
        if not answer.lost:
            return False
        before = self.lost_at.get(answer.endpoint, -math.inf)
        self.lost_at[answer.endpoint] = now
        return now - before < CRASH_S

    def _rate(self, route: str, sign: Sign) -> Rate:
        least = LEAST_FAILED if sign is Sign.FAILED else LEAST_SLOW
        return self.rates.setdefault((route, sign), Rate(least))

    def _reference(self, route: str, sign: Sign) -> Reference:
        return self.references.setdefault((route, sign), Reference())


def _slowness(answer: Answer) -> list[tuple[Sign, float]]:
    pairs = ((Sign.FIRST, answer.first), (Sign.PACE, answer.pace))
    return [(sign, slowness) for sign, slowness in pairs if slowness is not None]

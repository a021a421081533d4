"""``savorydyke-bench experiment``: load patterns against policies, in simulated time.

A load pattern is a small file of rates, sizes, bursts and engines. Each policy
decides on the same arrivals. Callers come back once after a refusal, when they are
told to, within a third of the time they have left.
"""

import heapq
import itertools
import json
import math
import random
import statistics
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from importlib import resources
from typing import Any

import typer

from savorydyke_bench._engine_model import Engine, EngineSpec, Passed, Stage
from savorydyke_bench._experiment_policies import (
    POLICIES,
    Action,
    Arrival,
    Policy,
    Refused,
    Sent,
)

TICK_S = 0.1
WINDOW_S = 2.0
RETRY_SHARE = 0.33
"""Callers come back within a third of the time that they have left."""


@dataclass(frozen=True)
class Kind:
    """A kind of request of a load pattern; times in seconds, sizes in tokens."""

    name: str
    rank: int
    per_s: float
    prompt: float
    prompt_spread: float
    output: float
    output_spread: float
    objective_s: float
    patience_s: float
    deadline_s: float
    worth: float
    late_worth: float


@dataclass(frozen=True)
class Change:
    """A burst of all kinds, or of one, or a slow or lost engine, for a time."""

    what: str
    at: float
    for_s: float
    factor: float = 1.0
    name: str = ""

    def holds(self, now: float) -> bool:
        """Return whether it is in force."""
        return self.at <= now < self.at + self.for_s


@dataclass(frozen=True)
class Pattern:
    """A load pattern."""

    name: str
    seconds: float
    kinds: tuple[Kind, ...]
    engines: tuple[EngineSpec, ...]
    changes: tuple[Change, ...]


@dataclass
class Outcome:
    """What became of a request.

    Attributes
    ----------
    first : float or None
        When its first token came.
    ended : bool
        Whether its answer is whole.
    """

    arrival: Arrival
    kind: Kind
    first: float | None = None
    ended: bool = False
    refusals: int = 0

    def credit(self) -> float:
        """Return its worth: whole if on time, less if late, else none."""
        if not self.ended or self.first is None:
            return 0.0
        on_time = self.first <= self.arrival.at + self.kind.objective_s
        return self.kind.worth if on_time else self.kind.late_worth


@dataclass
class Trial:
    """One policy on one load pattern.

    Attributes
    ----------
    wasted : int
        Prompt tokens read for answers that did not become whole.
    errors_s : list of float
        Predicted less observed time to the first token.
    """

    pattern: Pattern
    policy: Policy
    outcomes: dict[str, Outcome] = field(default_factory=dict)
    engines: dict[str, Engine] = field(default_factory=dict)
    placed: dict[str, tuple[str, float]] = field(default_factory=dict)
    wasted: int = 0
    read: int = 0
    errors_s: list[float] = field(default_factory=list)
    agenda: list[tuple[float, int, Callable[[float], None]]] = field(
        default_factory=list
    )
    serial: Any = field(default_factory=itertools.count)

    def at(self, when: float, action: Callable[[float], None]) -> None:
        """Do something later."""
        heapq.heappush(self.agenda, (when, next(self.serial), action))


# Load patterns


def read_pattern(name: str) -> Pattern:
    """Return a load pattern of this package."""
    file = resources.files("savorydyke_bench") / "loads" / f"{name}.json"
    value = json.loads(file.read_text())
    base = value["engine"]
    engines = [
        EngineSpec(name=f"e{number}", speed=speed, **base)
        for number, speed in enumerate(value["speeds"])
    ]
    return Pattern(
        name,
        value["seconds"],
        tuple(Kind(**kind) for kind in value["kinds"]),
        tuple(engines),
        tuple(Change(**change) for change in value["changes"]),
    )


def pattern_names() -> list[str]:
    """Return the load patterns of this package."""
    folder = resources.files("savorydyke_bench") / "loads"
    return sorted(f.name.removesuffix(".json") for f in folder.iterdir())


def _size(rng: random.Random, mean: float, spread: float) -> int:
    """Draw a size; its logarithm is normal."""
    sigma = math.sqrt(math.log(1 + spread**2))
    return max(1, round(mean * rng.lognormvariate(-sigma * sigma / 2, sigma)))


def arrivals(pattern: Pattern, seed: int) -> list[tuple[Kind, Arrival]]:
    """Return all requests of a pattern, in order of time."""
    rng = random.Random(seed)
    found: list[tuple[Kind, Arrival]] = []
    for kind in pattern.kinds:
        now = 0.0
        while True:
            factor = math.prod(
                c.factor
                for c in pattern.changes
                if c.what == "burst" and c.holds(now) and c.name in ("", kind.name)
            )
            now += rng.expovariate(kind.per_s * factor)
            if now >= pattern.seconds:
                break
            output = _size(rng, kind.output, kind.output_spread)
            found.append((kind, _arrival(rng, kind, now, len(found), output)))
    return sorted(found, key=lambda item: item[1].at)


def _arrival(
    rng: random.Random, kind: Kind, now: float, number: int, output: int
) -> Arrival:
    return Arrival(
        key=f"{kind.name}-{number}",
        at=now,
        team=f"team-{rng.randrange(5)}",
        rank=kind.rank,
        prompt=_size(rng, kind.prompt, kind.prompt_spread),
        output=output,
        # Right at the median, often far off.
        hint=max(1, round(output * rng.lognormvariate(0, 0.5))),
        objective_s=kind.objective_s,
        abandon_after_s=kind.patience_s,
        deadline_s=kind.deadline_s,
        worth=kind.worth,
    )


# Running


def run(pattern: Pattern, policy_name: str, seed: int) -> Trial:
    """Play a pattern against a policy; return what came of it."""
    make = POLICIES[policy_name]
    trial = Trial(pattern, make(pattern.engines, random.Random(seed)))
    trial.engines = {spec.name: Engine(spec) for spec in pattern.engines}
    for kind, arrival in arrivals(pattern, seed):
        trial.outcomes[arrival.key] = Outcome(arrival, kind)
        trial.at(arrival.at, partial(_arrive, trial, arrival))
    for change in pattern.changes:
        if change.what == "slow":
            engine = trial.engines[change.name]
            trial.at(change.at, partial(_slow, engine, change.factor))
            trial.at(change.at + change.for_s, partial(_slow, engine, 1.0))
    trial.at(0.0, partial(_tick, trial))
    while trial.agenda:
        soonest = min(engine.next_change() for engine in trial.engines.values())
        when = min(trial.agenda[0][0], soonest)
        _advance(trial, when)
        while trial.agenda and trial.agenda[0][0] <= when:
            heapq.heappop(trial.agenda)[2](when)
    return trial


def _slow(engine: Engine, factor: float, now: float) -> None:
    engine.slowdown = factor


def _tick(trial: Trial, now: float) -> None:
    _act(trial, trial.policy.tick(now, trial.engines), now)
    if now < trial.pattern.seconds + max(k.deadline_s for k in trial.pattern.kinds):
        trial.at(now + TICK_S, partial(_tick, trial))


def _advance(trial: Trial, to: float) -> None:
    # All engines first, so that what follows from one finds the others there.
    found = [passed for e in trial.engines.values() for passed in e.advance(to)]
    for passed in found:
        _pass(trial, passed)


def _pass(trial: Trial, passed: Passed) -> None:
    outcome = trial.outcomes[passed.key]
    _, sent = trial.placed[passed.key]
    first_s = passed.at - sent
    if passed.stage is Stage.FIRST:
        outcome.first = passed.at
        trial.read += outcome.arrival.prompt
        predicted = trial.policy.predicted_s(passed.key)
        if predicted is not None:
            trial.errors_s.append(predicted - first_s)
        actions = trial.policy.first(passed.key, first_s, passed.at)
    else:
        outcome.ended = True
        del trial.placed[passed.key]
        actions = trial.policy.done(passed.key, passed.at, True)
    _act(trial, actions, passed.at)


def _arrive(trial: Trial, arrival: Arrival, now: float) -> None:
    _act(trial, trial.policy.arrive(arrival, now, trial.engines), now)
    outcome = trial.outcomes[arrival.key]
    if outcome.refusals == 0:
        abandon_at = arrival.at + arrival.abandon_after_s
        trial.at(abandon_at, partial(_leave, trial, outcome, False))
        deadline = arrival.at + arrival.deadline_s
        trial.at(deadline, partial(_leave, trial, outcome, True))


def _leave(trial: Trial, outcome: Outcome, always: bool, now: float) -> None:
    """Let a caller leave who has no answer, or no whole one at the deadline."""
    if outcome.ended or (outcome.first is not None and not always):
        return
    key = outcome.arrival.key
    place = trial.placed.pop(key, None)
    if place is not None:
        found = trial.engines[place[0]].remove(key)
        if found is not None and found.started:
            trial.wasted += outcome.arrival.prompt
    _act(trial, trial.policy.done(key, now, False), now)


def _act(trial: Trial, actions: Iterable[Action], now: float) -> None:
    for action in actions:
        outcome = trial.outcomes[action.key]
        match action:
            case Sent(key, engine):
                trial.placed[key] = (engine, now)
                arrival = outcome.arrival
                trial.engines[engine].add(key, arrival.prompt, arrival.output)
            case Refused(_, retry_s):
                _refuse(trial, outcome, retry_s, now)


def _refuse(trial: Trial, outcome: Outcome, retry_s: float, now: float) -> None:
    outcome.refusals += 1
    arrival = outcome.arrival
    left_s = arrival.at + arrival.deadline_s - now
    if outcome.refusals > 1 or left_s <= 0:
        return
    back = now + min(retry_s, RETRY_SHARE * left_s)
    trial.at(back, partial(_arrive, trial, arrival))


# Report


@dataclass(frozen=True)
class Result:
    """What a policy earned on a pattern, as shares of what was asked for."""

    credit: float
    worst_window: float
    served: float
    by_kind: dict[str, float]
    wasted_share: float
    error_p95_s: float


def judge(trial: Trial) -> Result:
    """Return the figures of a trial."""
    outcomes = list(trial.outcomes.values())
    windows: defaultdict[int, float] = defaultdict(float)
    owed: defaultdict[int, float] = defaultdict(float)
    for outcome in outcomes:
        window = int(outcome.arrival.at / WINDOW_S)
        windows[window] += outcome.credit()
        owed[window] += outcome.kind.worth
    shares = sorted(windows[w] / owed[w] for w in owed)
    errors = sorted(abs(error) for error in trial.errors_s)
    return Result(
        credit=sum(windows.values()) / sum(owed.values()),
        worst_window=statistics.mean(shares[:2]),
        served=sum(o.ended for o in outcomes) / len(outcomes),
        by_kind={
            kind.name: _kind_share(outcomes, kind) for kind in trial.pattern.kinds
        },
        wasted_share=trial.wasted / max(1, trial.read),
        error_p95_s=errors[int(0.95 * len(errors))] if errors else 0.0,
    )


def _kind_share(outcomes: list[Outcome], kind: Kind) -> float:
    credits = [o.credit() for o in outcomes if o.kind is kind]
    return sum(credits) / (kind.worth * max(1, len(credits)))


def show(patterns: list[str], policies: list[str], seed: int, report: str) -> None:
    """Play patterns against policies; print a table and write a report."""
    rows = []
    for name in patterns:
        pattern = read_pattern(name)
        for policy in policies:
            result = judge(run(pattern, policy, seed))
            rows.append({"pattern": name, "policy": policy, **result.__dict__})
            kinds = "  ".join(f"{k} {v:.3f}" for k, v in result.by_kind.items())
            typer.echo(
                f"{name:24} {policy:16} credit {result.credit:.3f}"
                f"  worst {result.worst_window:.3f}  served {result.served:.3f}"
                f"  wasted {result.wasted_share:.3f}"
                f"  error p95 {result.error_p95_s:.3f} s  {kinds}"
            )
    if report:
        with open(report, "w", encoding="utf-8") as file:
            json.dump(rows, file, indent=1)

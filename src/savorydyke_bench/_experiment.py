"""``savorydyke-bench experiment``: scheduling policies under load, in simulated time.

A load pattern is a JSON file of request rates, sizes, bursts and engines. All policies
get the same arrivals. Callers retry once after a refusal, after the retry time they
were given, but within a third of the time left until their deadline.
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

from savorydyke_bench._engine_model import Engine, EngineSpec, Stage, StageReached
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
MAX_RETRY_SHARE = 0.33
"""Largest share of the time left until the deadline that callers wait to retry."""


@dataclass(frozen=True)
class Kind:
    """A kind of request of a load pattern; times in seconds, sizes in tokens.

    Field names are those of the load patterns' JSON.

    Attributes
    ----------
    rank : int
        Priority, 0 is the highest.
    per_s : float
        Mean arrival rate.
    prompt_spread, output_spread : float
        Standard deviation of the size as a share of its mean.
    patience_s : float
        Time after which callers abandon a request that has no first token.
    worth, late_worth : float
        Credit for an answer within the objective, and for a later one.
    """

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
    """A temporary burst of all kinds or of one, or a temporarily slow engine.

    Field names are those of the load patterns' JSON.

    Attributes
    ----------
    what : str
        ``burst`` or ``slow``.
    for_s : float
        Duration in seconds.
    name : str
        Kind of request or engine; empty for all kinds.
    """

    what: str
    at: float
    for_s: float
    factor: float = 1.0
    name: str = ""

    def is_active(self, now: float) -> bool:
        """Return whether the change is in effect at a time."""
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
    """Result of one request.

    Attributes
    ----------
    first_token_at : float or None
        When its first token arrived.
    is_complete : bool
        Whether its answer is complete.
    """

    arrival: Arrival
    kind: Kind
    first_token_at: float | None = None
    is_complete: bool = False
    refusals: int = 0

    def credit(self) -> float:
        """Return the credit earned: full if on time, less if late, 0 if incomplete."""
        if not self.is_complete or self.first_token_at is None:
            return 0.0
        on_time = self.first_token_at <= self.arrival.at + self.kind.objective_s
        return self.kind.worth if on_time else self.kind.late_worth


@dataclass
class Trial:
    """State of the simulation of one policy on one load pattern.

    Attributes
    ----------
    assigned : dict
        Engine and send time of each request that is in an engine.
    wasted_tokens : int
        Prompt tokens prefilled for answers that were not completed.
    prediction_errors_s : list of float
        Predicted minus observed time to the first token.
    event_queue : list
        Heap of time, sequence number and callback.
    """

    pattern: Pattern
    policy: Policy
    outcomes: dict[str, Outcome] = field(default_factory=dict)
    engines: dict[str, Engine] = field(default_factory=dict)
    assigned: dict[str, tuple[str, float]] = field(default_factory=dict)
    wasted_tokens: int = 0
    prefilled_tokens: int = 0
    prediction_errors_s: list[float] = field(default_factory=list)
    event_queue: list[tuple[float, int, Callable[[float], None]]] = field(
        default_factory=list
    )
    sequence: Any = field(default_factory=itertools.count)

    def schedule(self, when: float, action: Callable[[float], None]) -> None:
        """Schedule a callback at a time."""
        heapq.heappush(self.event_queue, (when, next(self.sequence), action))


# Load patterns


def read_pattern(name: str) -> Pattern:
    """Load a pattern from this package's data files."""
    file = resources.files("savorydyke_bench") / "loads" / f"{name}.json"
    value = json.loads(file.read_text())
    base_spec = value["engine"]
    engines = [
        EngineSpec(name=f"e{number}", speed=speed, **base_spec)
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
    """Return the names of this package's load patterns."""
    folder = resources.files("savorydyke_bench") / "loads"
    return sorted(f.name.removesuffix(".json") for f in folder.iterdir())


def _draw_size(rng: random.Random, mean: float, spread: float) -> int:
    """Draw a size from a log-normal distribution."""
    sigma = math.sqrt(math.log(1 + spread**2))
    return max(1, round(mean * rng.lognormvariate(-sigma * sigma / 2, sigma)))


def arrivals(pattern: Pattern, seed: int) -> list[tuple[Kind, Arrival]]:
    """Generate all requests of a pattern, in order of arrival."""
    rng = random.Random(seed)
    generated: list[tuple[Kind, Arrival]] = []
    for kind in pattern.kinds:
        now = 0.0
        while True:
            factor = math.prod(
                c.factor
                for c in pattern.changes
                if c.what == "burst" and c.is_active(now) and c.name in ("", kind.name)
            )
            now += rng.expovariate(kind.per_s * factor)
            if now >= pattern.seconds:
                break
            output = _draw_size(rng, kind.output, kind.output_spread)
            generated.append(
                (kind, _draw_arrival(rng, kind, now, len(generated), output))
            )
    return sorted(generated, key=lambda item: item[1].at)


def _draw_arrival(
    rng: random.Random, kind: Kind, now: float, number: int, output: int
) -> Arrival:
    return Arrival(
        key=f"{kind.name}-{number}",
        at=now,
        team=f"team-{rng.randrange(5)}",
        rank=kind.rank,
        prompt=_draw_size(rng, kind.prompt, kind.prompt_spread),
        output=output,
        # Correct at the median, but often far off: the error is log-normal.
        hint=max(1, round(output * rng.lognormvariate(0, 0.5))),
        objective_s=kind.objective_s,
        abandon_after_s=kind.patience_s,
        deadline_s=kind.deadline_s,
        worth=kind.worth,
    )


# Simulation


def run(pattern: Pattern, policy_name: str, seed: int) -> Trial:
    """Simulate a policy on a load pattern."""
    make_policy = POLICIES[policy_name]
    trial = Trial(pattern, make_policy(pattern.engines, random.Random(seed)))
    trial.engines = {spec.name: Engine(spec) for spec in pattern.engines}
    for kind, arrival in arrivals(pattern, seed):
        trial.outcomes[arrival.key] = Outcome(arrival, kind)
        trial.schedule(arrival.at, partial(_arrive, trial, arrival))
    for change in pattern.changes:
        if change.what == "slow":
            engine = trial.engines[change.name]
            trial.schedule(change.at, partial(_set_slowdown, engine, change.factor))
            trial.schedule(
                change.at + change.for_s, partial(_set_slowdown, engine, 1.0)
            )
    trial.schedule(0.0, partial(_tick, trial))
    while trial.event_queue:
        soonest = min(engine.next_change() for engine in trial.engines.values())
        when = min(trial.event_queue[0][0], soonest)
        _advance(trial, when)
        while trial.event_queue and trial.event_queue[0][0] <= when:
            heapq.heappop(trial.event_queue)[2](when)
    return trial


def _set_slowdown(engine: Engine, factor: float, now: float) -> None:
    engine.slowdown = factor


def _tick(trial: Trial, now: float) -> None:
    _apply_actions(trial, trial.policy.on_tick(now, trial.engines), now)
    if now < trial.pattern.seconds + max(k.deadline_s for k in trial.pattern.kinds):
        trial.schedule(now + TICK_S, partial(_tick, trial))


def _advance(trial: Trial, to: float) -> None:
    # Advances all engines before any callback, since a callback may add requests to
    # any engine.
    reached_stages = [
        reached for e in trial.engines.values() for reached in e.advance(to)
    ]
    for reached in reached_stages:
        _handle_stage(trial, reached)


def _handle_stage(trial: Trial, reached: StageReached) -> None:
    outcome = trial.outcomes[reached.key]
    _, sent = trial.assigned[reached.key]
    time_to_first_s = reached.at - sent
    if reached.stage is Stage.FIRST_TOKEN:
        outcome.first_token_at = reached.at
        trial.prefilled_tokens += outcome.arrival.prompt
        predicted = trial.policy.predicted_first_s(reached.key)
        if predicted is not None:
            trial.prediction_errors_s.append(predicted - time_to_first_s)
        actions = trial.policy.on_first_token(reached.key, time_to_first_s, reached.at)
    else:
        outcome.is_complete = True
        del trial.assigned[reached.key]
        actions = trial.policy.on_end(reached.key, reached.at, True)
    _apply_actions(trial, actions, reached.at)


def _arrive(trial: Trial, arrival: Arrival, now: float) -> None:
    _apply_actions(trial, trial.policy.on_arrival(arrival, now, trial.engines), now)
    outcome = trial.outcomes[arrival.key]
    if outcome.refusals == 0:
        abandon_at = arrival.at + arrival.abandon_after_s
        trial.schedule(abandon_at, partial(_abandon, trial, outcome, False))
        deadline_at = arrival.at + arrival.deadline_s
        trial.schedule(deadline_at, partial(_abandon, trial, outcome, True))


def _abandon(trial: Trial, outcome: Outcome, at_deadline: bool, now: float) -> None:
    """Cancel a request that its caller abandons.

    Callers abandon a request if they have no first token after `abandon_after_s`, or no
    complete answer at the deadline.
    """
    if outcome.is_complete or (outcome.first_token_at is not None and not at_deadline):
        return
    key = outcome.arrival.key
    assignment = trial.assigned.pop(key, None)
    if assignment is not None:
        removed = trial.engines[assignment[0]].remove(key)
        if removed is not None and removed.has_first_token:
            trial.wasted_tokens += outcome.arrival.prompt
    _apply_actions(trial, trial.policy.on_end(key, now, False), now)


def _apply_actions(trial: Trial, actions: Iterable[Action], now: float) -> None:
    for action in actions:
        outcome = trial.outcomes[action.key]
        match action:
            case Sent(key, engine):
                trial.assigned[key] = (engine, now)
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
    retry_at = now + min(retry_s, MAX_RETRY_SHARE * left_s)
    trial.schedule(retry_at, partial(_arrive, trial, arrival))


# Report


@dataclass(frozen=True)
class Result:
    """Scores of a policy on a pattern, as shares of what was offered.

    Attributes
    ----------
    worst_window : float
        Mean credit of the two worst windows of `WINDOW_S`.
    served : float
        Share of requests with a complete answer.
    wasted_share : float
        Share of prefilled tokens that were spent on answers not completed.
    error_p95_s : float
        95th percentile of the prediction's absolute error.
    """

    credit: float
    worst_window: float
    served: float
    by_kind: dict[str, float]
    wasted_share: float
    error_p95_s: float


def evaluate(trial: Trial) -> Result:
    """Return the scores of a trial."""
    outcomes = list(trial.outcomes.values())
    earned: defaultdict[int, float] = defaultdict(float)
    offered: defaultdict[int, float] = defaultdict(float)
    for outcome in outcomes:
        window = int(outcome.arrival.at / WINDOW_S)
        earned[window] += outcome.credit()
        offered[window] += outcome.kind.worth
    shares = sorted(earned[w] / offered[w] for w in offered)
    errors = sorted(abs(error) for error in trial.prediction_errors_s)
    return Result(
        credit=sum(earned.values()) / sum(offered.values()),
        worst_window=statistics.mean(shares[:2]),
        served=sum(o.is_complete for o in outcomes) / len(outcomes),
        by_kind={
            kind.name: _kind_share(outcomes, kind) for kind in trial.pattern.kinds
        },
        wasted_share=trial.wasted_tokens / max(1, trial.prefilled_tokens),
        error_p95_s=errors[int(0.95 * len(errors))] if errors else 0.0,
    )


def _kind_share(outcomes: list[Outcome], kind: Kind) -> float:
    credits = [o.credit() for o in outcomes if o.kind is kind]
    return sum(credits) / (kind.worth * max(1, len(credits)))


def run_all(patterns: list[str], policies: list[str], seed: int, report: str) -> None:
    """Simulate policies on load patterns; print a table and write a report."""
    rows = []
    for name in patterns:
        pattern = read_pattern(name)
        for policy in policies:
            result = evaluate(run(pattern, policy, seed))
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

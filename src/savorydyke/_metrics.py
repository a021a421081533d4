"""Metrics in the Prometheus format, with histograms by tier and team.

Label values come from the manifest or from enumerations, which bounds their
number. The intervals between a stream's events are counted locally and merged into
the histogram once per stream, since one observation costs more than relaying an
event may cost.
"""

from bisect import bisect_left
from dataclasses import dataclass, field

from aioprometheus import render
from aioprometheus.collectors import Counter, Gauge, Histogram, Registry

from savorydyke._answer_kinds import RelayedAnswer, stated_type
from savorydyke._ids import Outcome, Reason, TeamId, TierId

SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.82, 1.5, 3, 6, 12, 30, 60)
SLOWNESS = (0.25, 0.5, 0.75, 1, 1.5, 2, 3, 4, 6, 8, 12, 20, 50)
EVENT_SECONDS = (0.002, 0.005, 0.01, 0.02, 0.028, 0.04, 0.06, 0.1, 0.25, 1, 5)

OBJECTIVE_SHARES = (0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2, 4, 8, 16)
TOKENS = (0, 30, 100, 300, 1000, 3000, 10_000, 30_000)
PACES = (0.5, 0.75, 1.0, 1.25, 1.5, 2.0, 2.5, 3.0, 5.0)


@dataclass
class EventTimes:
    """Intervals between the events of one stream, merged when it ends.

    Attributes
    ----------
    counts : list of int
        Number of intervals in each bucket of `EVENT_SECONDS`, not cumulative.
    """

    counts: list[int] = field(default_factory=lambda: [0] * (len(EVENT_SECONDS) + 1))
    total_s: float = 0.0

    def add(self, seconds: float) -> None:
        """Count one interval."""
        self.counts[bisect_left(EVENT_SECONDS, seconds)] += 1
        self.total_s += seconds


class Metrics:
    """All metrics of one instance."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.waiting = self._histogram(
            "savorydyke_waiting_seconds", "Time until a grant or a refusal."
        )
        self.decision_age = self._histogram(
            "savorydyke_decision_age_seconds",
            "Time from a request's arrival at its frontend until its decision here.",
        )
        self.message_wait = self._histogram(
            "savorydyke_message_wait_seconds",
            "Time that messages of frontends wait for their coordinator, by kind.",
        )
        self.message_work = self._counter(
            "savorydyke_message_work_seconds_total",
            "Processor time of the messages of frontends, by kind.",
        )
        self.grants = self._counter(
            "savorydyke_grants_total",
            "Grants by pool and by how they came: coordinator, instance, or unused.",
        )
        self.phase_share = self._histogram(
            "savorydyke_phase_objective_share",
            "Time of the phases up to the first byte, as a share of the objective.",
            OBJECTIVE_SHARES,
        )
        self.first_token = self._histogram(
            "savorydyke_first_token_seconds", "Time from arrival to the first byte."
        )
        self.total = self._histogram(
            "savorydyke_total_seconds", "Time from arrival to the last byte."
        )
        self.between_tokens = self._histogram(
            "savorydyke_between_tokens_seconds",
            "Time between events of a stream.",
            EVENT_SECONDS,
        )
        self.answers = self._counter(
            "savorydyke_answers_total", "Requests by how they ended."
        )
        self.relayed = self._counter(
            "savorydyke_relayed_answers_total",
            "Answers of endpoints by kind of route, way of relaying and stated type.",
        )
        self.refusals = self._counter(
            "savorydyke_refusals_total", "Refusals by reason and outcome."
        )
        self.wasted_prefill = self._counter(
            "savorydyke_wasted_prefill_tokens_total",
            "Prompt tokens whose answer was late, cancelled or cut.",
        )
        self.quota_tokens = self._counter(
            "savorydyke_quota_tokens_total",
            "Tokens of requests that were sent, by who placed them.",
        )
        self.version_answers = self._counter(
            "savorydyke_version_answers_total",
            "Answers during roll-outs, by pool, version and result.",
        )
        self.version_slowness = self._histogram(
            "savorydyke_version_slowness",
            "Times during roll-outs, divided by those expected.",
            SLOWNESS,
        )
        self.platform_calls = self._counter(
            "savorydyke_platform_calls_total", "Calls of the platform's service."
        )
        self.store_seconds = self._histogram(
            "savorydyke_store_call_seconds", "Time of calls of the platform's store."
        )
        self.cached_tokens = self._histogram(
            "savorydyke_cached_prompt_tokens",
            "Prompt tokens that the granted endpoint was expected to hold.",
            TOKENS,
        )
        self.reported_pace = self._histogram(
            "savorydyke_reported_pace",
            "Paces that endpoints report with responses, 1 for as usual, by pool.",
            PACES,
        )
        self.held_bytes = self._gauge(
            "savorydyke_held_bytes", "Bytes held for callers and endpoints, by kind."
        )
        self.gave_way = self._counter(
            "savorydyke_readers_gave_way_total",
            "Requests that were ended because too much was held.",
        )
        self.failures = self._counter(
            "savorydyke_task_failures_total",
            "Unforeseen errors by the task or connection that each one ended.",
        )
        self.task_seconds = self._gauge(
            "savorydyke_task_seconds", "Processor time of tasks by kind, if counted."
        )
        self.task_steps = self._gauge(
            "savorydyke_task_steps", "Steps of tasks by kind, if counted."
        )
        self.rollout = self._gauge(
            "savorydyke_rollout",
            "Stage, counts and evidence of the pool's latest roll-out, by kind.",
        )
        self.state = self._gauge(
            "savorydyke_state",
            "Revision, members, waiting, in flight and peer traffic, by kind.",
        )

    def _histogram(
        self, name: str, doc: str, bounds: tuple[float, ...] = SECONDS
    ) -> Histogram:
        buckets = (*bounds, float("inf"))
        return Histogram(name, doc, registry=self.registry, buckets=buckets)

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(name, doc, registry=self.registry)

    def _gauge(self, name: str, doc: str) -> Gauge:
        return Gauge(name, doc, registry=self.registry)

    def observe(
        self, histogram: Histogram, tier: TierId, team: TeamId, seconds: float
    ) -> None:
        """Add one observation for a tier and a team."""
        histogram.observe({"tier": tier, "team": team}, float(seconds))

    def observe_decision(self, tier: str, age_s: float | None) -> None:
        """Add the age of a coordinator's decision, if it is known."""
        if age_s is None:
            return
        self.decision_age.observe({"tier": tier}, age_s)

    def observe_message(self, kind: str, waited_s: float, work_s: float) -> None:
        """Observe a message of a frontend that was processed here."""
        self.message_wait.observe({"kind": kind}, waited_s)
        self.message_work.add({"kind": kind}, work_s)

    def observe_phase(
        self, route: str, phase: str, seconds: float, objective_s: float
    ) -> None:
        """Observe how long a phase of a request took.

        Parameters
        ----------
        phase : str
            `grant`: until its grants; `endpoint`: from the latest one to the first
            byte; `all`: from its arrival to the first byte.
        """
        if objective_s > 0:
            labels = {"route": route, "phase": phase}
            self.phase_share.observe(labels, seconds / objective_s)

    def observe_store_call(self, name: str, seconds: float, result: str) -> None:
        """Count a call of the platform's store and observe its duration."""
        self.platform_calls.inc({"kind": name, "result": result})
        self.store_seconds.observe({"kind": name}, seconds)

    def merge_events(self, tier: TierId, team: TeamId, times: EventTimes) -> None:
        """Merge the intervals of one stream into the histogram."""
        labels = {"tier": tier, "team": team}
        if not any(times.counts):
            return
        try:
            target = self.between_tokens.get_value(labels)
        except KeyError:
            # An observation creates the series; its value is cleared again.
            self.between_tokens.observe(labels, 0.0)
            target = self.between_tokens.get_value(labels)
            for bound in target.buckets:  # type: ignore[union-attr]
                target.buckets[bound] = 0  # type: ignore[union-attr]
            target.observations = 0  # type: ignore[union-attr]
        cumulative = 0
        bounds = target.buckets  # type: ignore[union-attr]
        for bound, count in zip(bounds, times.counts, strict=True):
            cumulative += count
            bounds[bound] += cumulative
        target.sum += times.total_s  # type: ignore[union-attr]
        target.observations += cumulative  # type: ignore[union-attr]

    def count_failure(self, task: str) -> None:
        """Count an unforeseen error that has ended a task or a connection."""
        self.failures.inc({"task": task})

    def count_quota_tokens(self, team: TeamId, placed_by: str, tokens: int) -> None:
        """Count what a request that was sent takes of its team's quota."""
        self.quota_tokens.add({"team": team, "placed_by": placed_by}, tokens)

    def count_relayed(self, is_stream_route: bool, relayed: RelayedAnswer) -> None:
        """Count an endpoint's answer of which a caller has got something."""
        labels = {
            "route": "stream" if is_stream_route else "plain",
            "relayed": relayed.relayed_as.value,
            "type": stated_type(relayed.content_type).value,
        }
        self.relayed.inc(labels)

    def count_refusal(
        self, tier: TierId, team: TeamId, reason: Reason, outcome: Outcome
    ) -> None:
        """Count a refusal."""
        labels = {
            "tier": tier,
            "team": team,
            "reason": reason.value,
            "outcome": outcome.value,
        }
        self.refusals.inc(labels)

    def render(self, accepts: list[str]) -> tuple[bytes, dict[str, str]]:
        """Return the exposition and its headers for an ``Accept`` header."""
        return render(self.registry, accepts)

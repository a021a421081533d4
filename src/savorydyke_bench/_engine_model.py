"""A model of a model engine that batches continuously.

Prompts are read one after the other at a fixed rate; the other requests of the
batch go on at half their pace meanwhile. A step makes one token for each request
of the batch and takes longer the more there are. All times are in seconds of the
simulation.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

READING_PACE = 0.5
"""Pace of the other requests while a prompt is read."""
NEVER = float("inf")


@dataclass(frozen=True)
class EngineSpec:
    """What an engine can do.

    Attributes
    ----------
    step_s, step_s_a_run : float
        Time of a step, and what each request of the batch adds.
    first_s : float
        Time to the first token beside reading the prompt.
    speed : float
        How much faster than the other figures say.
    """

    name: str
    slots: int
    step_s: float
    step_s_a_run: float
    prompt_tokens_per_s: float
    first_s: float
    speed: float = 1.0


@dataclass
class Run:
    """A request inside an engine.

    Attributes
    ----------
    prompt_left, output_left : float
        Tokens that are still to be read and made.
    """

    key: str
    prompt: int
    prompt_left: float
    output_left: float
    started: bool = False


class Stage(Enum):
    """What has happened to a run."""

    FIRST = "first token"
    DONE = "done"


@dataclass(frozen=True)
class Passed:
    """A run has reached a stage."""

    at: float
    key: str
    stage: Stage


@dataclass
class Engine:
    """The batch of an engine and what waits inside it, in order of arrival."""

    spec: EngineSpec
    now: float = 0.0
    slowdown: float = 1.0
    batch: list[Run] = field(default_factory=list)
    waiting: deque[Run] = field(default_factory=deque)

    def add(self, key: str, prompt: int, output: int) -> None:
        """Take in a request; time has been advanced to its arrival."""
        first = self.spec.first_s * self.spec.prompt_tokens_per_s
        self.waiting.append(Run(key, prompt, prompt + first, output))
        self._admit()

    def remove(self, key: str) -> Run | None:
        """End a request early; return it if it was still here."""
        for runs in (self.batch, self.waiting):
            for run in runs:
                if run.key == key:
                    runs.remove(run)
                    self._admit()
                    return run
        return None

    def load(self) -> int:
        """Return how many requests are inside."""
        return len(self.batch) + len(self.waiting)

    def next_change(self) -> float:
        """Return when the next run reaches a stage, if nothing else happens."""
        return min((self.now + left for left, _ in self._ahead()), default=NEVER)

    def advance(self, to: float) -> list[Passed]:
        """Let time pass; return what happened, in order."""
        passed = []
        while self.now < to:
            step_s = min([to - self.now, *(left for left, _ in self._ahead())])
            self._work(step_s)
            self.now += step_s
            passed += self._collect()
        return passed

    def _admit(self) -> None:
        while self.waiting and len(self.batch) < self.spec.slots:
            self.batch.append(self.waiting.popleft())

    def _reading(self) -> Run | None:
        return next((run for run in self.batch if run.prompt_left > 0), None)

    def _rates(self) -> tuple[float, float]:
        """Return tokens read, and tokens made for each request, a second."""
        speed = self.spec.speed / self.slowdown
        step_s = self.spec.step_s + self.spec.step_s_a_run * len(self.batch)
        pace = READING_PACE if self._reading() else 1.0
        return self.spec.prompt_tokens_per_s * speed, pace * speed / step_s

    def _ahead(self) -> Iterator[tuple[float, Run]]:
        """Yield the time to each run's next stage at the present rates."""
        read_rate, make_rate = self._rates()
        reading = self._reading()
        if reading is not None:
            yield reading.prompt_left / read_rate, reading
        for run in self.batch:
            if run.prompt_left <= 0:
                yield run.output_left / make_rate, run

    def _work(self, step_s: float) -> None:
        read_rate, make_rate = self._rates()
        reading = self._reading()
        for run in self.batch:
            if run is reading:
                run.prompt_left -= read_rate * step_s
            elif run.prompt_left <= 0:
                run.output_left -= make_rate * step_s

    def _collect(self) -> list[Passed]:
        passed = []
        for run in list(self.batch):
            if run.prompt_left > 1e-6:
                continue
            run.prompt_left = 0.0
            if not run.started:
                run.started = True
                passed.append(Passed(self.now, run.key, Stage.FIRST))
            if run.output_left <= 1e-6:
                self.batch.remove(run)
                passed.append(Passed(self.now, run.key, Stage.DONE))
        self._admit()
        return passed

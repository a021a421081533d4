"""Simulates an inference engine with continuous batching.

Prompts are prefilled one at a time at a fixed rate, during which the other
requests of the batch decode at half speed. A decode step generates one token for
each request of the batch; its duration grows with the batch size. All times are
in seconds of simulated time.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

DECODE_FACTOR_DURING_PREFILL = 0.5
"""Decode speed of the other requests while a prompt is prefilled, relative to full."""
NEVER = float("inf")


@dataclass(frozen=True)
class EngineSpec:
    """Performance parameters of an engine.

    Attributes
    ----------
    step_s, step_s_a_run : float
        Fixed time of a decode step, and the additional time for each request of
        the batch.
    first_s : float
        Fixed part of the time to the first token, in addition to prefill.
    speed : float
        Factor by which the engine is faster than the other parameters say.
    """

    name: str
    slots: int
    step_s: float
    step_s_a_run: float
    prompt_tokens_per_s: float
    first_s: float
    speed: float = 1.0


@dataclass
class EngineRequest:
    """A request that an engine has accepted.

    Attributes
    ----------
    prompt_left, output_left : float
        Prompt tokens still to prefill and output tokens still to generate.
    has_first_token : bool
        Whether the first token has been reported.
    """

    key: str
    prompt: int
    prompt_left: float
    output_left: float
    has_first_token: bool = False


class Stage(Enum):
    """A point in the processing of a request."""

    FIRST_TOKEN = "first token"
    DONE = "done"


@dataclass(frozen=True)
class StageReached:
    """Reports that a request has reached a stage."""

    at: float
    key: str
    stage: Stage


@dataclass
class Engine:
    """State of a simulated engine: its batch and its first-in, first-out queue."""

    spec: EngineSpec
    now: float = 0.0
    slowdown: float = 1.0
    batch: list[EngineRequest] = field(default_factory=list)
    waiting: deque[EngineRequest] = field(default_factory=deque)

    def add(self, key: str, prompt: int, output: int) -> None:
        """Add a request; `advance` must have been called up to its arrival time."""
        fixed_tokens = self.spec.first_s * self.spec.prompt_tokens_per_s
        self.waiting.append(EngineRequest(key, prompt, prompt + fixed_tokens, output))
        self._admit()

    def remove(self, key: str) -> EngineRequest | None:
        """Cancel a request; return it, or None if it is not in the engine."""
        for requests in (self.batch, self.waiting):
            for request in requests:
                if request.key == key:
                    requests.remove(request)
                    self._admit()
                    return request
        return None

    def load(self) -> int:
        """Return the number of running and queued requests."""
        return len(self.batch) + len(self.waiting)

    def next_change(self) -> float:
        """Return when the next request reaches a stage if the batch does not change."""
        return min(
            (self.now + left_s for left_s, _ in self._next_stages()), default=NEVER
        )

    def advance(self, to: float) -> list[StageReached]:
        """Advance the simulation to a time; return the stages reached, in order."""
        reached = []
        while self.now < to:
            step_s = min(
                [to - self.now, *(left_s for left_s, _ in self._next_stages())]
            )
            self._process(step_s)
            self.now += step_s
            reached += self._collect_reached()
        return reached

    def _admit(self) -> None:
        while self.waiting and len(self.batch) < self.spec.slots:
            self.batch.append(self.waiting.popleft())

    def _prefilling_request(self) -> EngineRequest | None:
        return next(
            (request for request in self.batch if request.prompt_left > 0), None
        )

    def _rates(self) -> tuple[float, float]:
        """Return the prefill rate and each request's decode rate, in tokens/s."""
        speed = self.spec.speed / self.slowdown
        step_s = self.spec.step_s + self.spec.step_s_a_run * len(self.batch)
        decode_factor = (
            DECODE_FACTOR_DURING_PREFILL if self._prefilling_request() else 1.0
        )
        return self.spec.prompt_tokens_per_s * speed, decode_factor * speed / step_s

    def _next_stages(self) -> Iterator[tuple[float, EngineRequest]]:
        """Yield the time to each request's next stage at the current rates."""
        prefill_rate, decode_rate = self._rates()
        prefilling = self._prefilling_request()
        if prefilling is not None:
            yield prefilling.prompt_left / prefill_rate, prefilling
        for request in self.batch:
            if request.prompt_left <= 0:
                yield request.output_left / decode_rate, request

    def _process(self, step_s: float) -> None:
        prefill_rate, decode_rate = self._rates()
        prefilling = self._prefilling_request()
        for request in self.batch:
            if request is prefilling:
                request.prompt_left -= prefill_rate * step_s
            elif request.prompt_left <= 0:
                request.output_left -= decode_rate * step_s

    def _collect_reached(self) -> list[StageReached]:
        reached = []
        for request in list(self.batch):
            if request.prompt_left > 1e-6:
                continue
            request.prompt_left = 0.0
            if not request.has_first_token:
                request.has_first_token = True
                reached.append(StageReached(self.now, request.key, Stage.FIRST_TOKEN))
            if request.output_left <= 1e-6:
                self.batch.remove(request)
                reached.append(StageReached(self.now, request.key, Stage.DONE))
        self._admit()
        return reached

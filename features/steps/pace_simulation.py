"""45 endpoints of three kinds with changing paces, in simulated time.

Requests arrive as in the deployment with uneven endpoints. Policies choose where they
go; first events and the longest pause between events are compared.
"""

import heapq
import math
import random
from collections import Counter, deque
from dataclasses import dataclass, field, replace
from itertools import count, pairwise

from decision_cases import FRONTEND, acquire, granted, scheduler_of

from savorydyke._ids import ReleaseResult
from savorydyke._messages import Release, Started
from savorydyke_bench._engine_model import Engine, EngineSpec, Stage

SPEC = EngineSpec("e", 7, 0.0024, 0.00008, 48_200.0, 0.010)
KINDS = (0.55, 1.0, 2.8)
CHANGE_S, SLOW_SHARE, SLOW = 0.6, 0.15, 2.5
LOAD = ((66, 6670, 48 * 8), (113, 688, 36 * 8), (102, 1860, 3 * 8))
"""Requests a second, prompt tokens and output tokens."""
EVENT_TOKENS = 8
WINDOW_S = 0.05
WARM_UP_S = 4.0
"""Requests that arrive before are not counted; kinds are learned from them."""


@dataclass
class Outcome:
    """Times, and the most grants of one endpoint within a short window."""

    first_s: list = field(default_factory=list)
    pause_s: list = field(default_factory=list)
    most: int = 0

    def figures(self):
        """Return mean and 95th percentile of first events and longest pauses."""
        rows = [sorted(self.first_s), sorted(self.pause_s)]
        return [x for r in rows for x in (sum(r) / len(r), r[int(0.95 * len(r))])]


class Simulation:
    """One run of one policy."""

    def __init__(self, policy, seed, run_s=16.0, load=1.0, reports=True):
        self.policy, self.reports = policy, reports
        self.rng = random.Random(seed)
        names = [f"e{i:02}" for i in range(45)]
        self.engines = {
            name: Engine(replace(SPEC, name=name, speed=1 / KINDS[i % 3]))
            for i, name in enumerate(names)
        }
        self.versions = Counter()
        self.scheduler = scheduler_of(*names, slots=7)
        self.waiting, self.requests, self.progress = deque(), {}, {}
        self.outcome, self.window, self.window_at = Outcome(), Counter(), 0.0
        self.heap, self.order = [], count()
        for rate, prompt, output in LOAD:
            at = 0.0
            while (at := at + self.rng.expovariate(rate * load)) < run_s:
                self.push(at, self.arrive, prompt, output)
        for name in names:
            self.push(CHANGE_S * self.rng.random(), self.change, name)
        self.push(0.1, self.tick)
        self.run_s, self.now = run_s, 0.0

    def push(self, at, function, *args):
        heapq.heappush(self.heap, (at, next(self.order), function, args))

    def play(self):
        while self.heap and self.heap[0][0] < self.run_s:
            self.now, _, function, args = heapq.heappop(self.heap)
            function(*args)
        return self.outcome

    def change(self, name):
        self.advance(name)
        is_slow = self.rng.random() < SLOW_SHARE
        self.engines[name].slowdown = SLOW if is_slow else 1.0
        self.schedule(name)
        self.push(self.now + CHANGE_S, self.change, name)

    def tick(self):
        if self.policy == "scheduler":
            self.place(self.scheduler.tick(self.now))
        self.push(self.now + 0.1, self.tick)

    def arrive(self, prompt, output):
        key = str(len(self.requests))
        self.requests[key] = (self.now, prompt, output)
        if self.policy == "scheduler":
            times = {"deadline_ms": 15_700, "objective_ms": -1}
            sizes = {"prompt_tokens": prompt, "output_tokens": output}
            message = acquire(key, **times, **sizes)
            self.place(self.scheduler.acquire(message, FRONTEND, self.now))
            return
        self.waiting.append(key)
        self.place_waiting()

    def place(self, decisions):
        assert len(granted(decisions)) == len(decisions), decisions
        for decision in decisions:
            self.send(decision.answer.key.rpartition("/")[2], decision.answer.endpoint)

    def place_waiting(self):
        cost = self.oracle_s if self.policy == "oracle" else self.load_of
        while self.waiting:
            free = [e for e in self.engines.values() if e.load() < SPEC.slots]
            if not free:
                return
            key = self.waiting.popleft()
            _, prompt, output = self.requests[key]
            best = min(free, key=lambda e: cost(e, prompt, output))
            self.send(key, best.spec.name)

    def load_of(self, engine, prompt, output):
        return engine.load(), self.rng.random()

    def oracle_s(self, engine, prompt, output):
        ahead = sum(r.prompt_left for r in (*engine.batch, *engine.waiting))
        factor = engine.slowdown / engine.spec.speed
        step_s = SPEC.step_s + SPEC.step_s_a_run * (engine.load() + 1)
        usual = 1 + SLOW_SHARE * (SLOW - 1)
        decode_s = output * step_s * usual / engine.spec.speed
        return factor * (ahead + prompt) / SPEC.prompt_tokens_per_s + decode_s

    def send(self, key, name):
        if self.now - self.window_at > WINDOW_S:
            self.window, self.window_at = Counter(), self.now
        self.window[name] += 1
        self.outcome.most = max(self.outcome.most, self.window[name])
        self.advance(name)
        _, prompt, output = self.requests[key]
        self.engines[name].add(key, prompt, output)
        self.schedule(name)

    def schedule(self, name):
        self.versions[name] += 1
        at = self.engines[name].next_change()
        if at < math.inf:
            self.push(at + 1e-7, self.wake, name, self.versions[name])

    def wake(self, name, version):
        if version == self.versions[name]:
            self.advance(name)
            self.schedule(name)

    def advance(self, name):
        engine = self.engines[name]
        for reached in engine.advance(self.now):
            self.reach(engine, reached)
        for request in engine.batch:
            if request.has_first_token:
                row = (self.now, request.output_left)
                self.progress.setdefault(request.key, []).append(row)

    def reach(self, engine, reached):
        key, name = reached.key, engine.spec.name
        arrived, _, output = self.requests[key]
        pace = (round(100 * engine.slowdown), 0) if self.reports else (0, 0)
        begun = self.progress.get(key, [(reached.at, output)])[0][0]
        if reached.stage is Stage.FIRST_TOKEN:
            self.progress[key] = [(reached.at, output)]
            if arrived > WARM_UP_S:
                self.outcome.first_s.append(reached.at - arrived)
            message = Started(
                f"frontend/1/{key}", "engines", round((self.now - arrived) * 1000)
            )
            message = replace(
                message, pace_percent=pace[0], first_byte_ms=self.first_ms(key, name)
            )
            decisions = self.scheduler.started
            args = (message, self.now)
        else:
            rows = [*self.progress.pop(key), (reached.at, 0.0)]
            if arrived > WARM_UP_S:
                self.outcome.pause_s.append(longest_pause_s(rows))
            message = Release(
                f"frontend/1/{key}",
                1,
                "engines",
                name,
                ReleaseResult.COMPLETE,
                output,
                round((reached.at - begun) * 1000),
                0,
                *pace,
            )
            decisions = self.scheduler.release
            args = (message, FRONTEND, self.now)
        if self.policy == "scheduler":
            # Placed in an event of its own, since an engine is being advanced.
            self.push(self.now, self.place, decisions(*args))
        elif reached.stage is Stage.DONE:
            self.push(self.now, self.place_waiting)

    def first_ms(self, key, name):
        item = self.scheduler.endpoints[name].running.get(f"frontend/1/{key}")
        return round((self.now - item.granted) * 1000) if item else 0


def longest_pause_s(rows):
    """Return the longest time between two events, from times and tokens left."""
    total, times = rows[0][1], [rows[0][0]]
    for (at, left), (to, less) in pairwise(rows):
        while total - len(times) * EVENT_TOKENS >= less and left > less:
            due = total - len(times) * EVENT_TOKENS
            times.append(at + (to - at) * (left - due) / (left - less))
    return max((b - a for a, b in pairwise(times)), default=0.0)

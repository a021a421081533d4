"""Simulated traffic of one pool for the control of roll-outs, without a network.

Endpoints of three kinds answer requests of three routes; faults of the new version and
events that hit both versions are functions of the request.
"""

import heapq
import itertools
import math
import random
from collections import Counter
from dataclasses import dataclass, field

from savorydyke._endpoint_load import new_load
from savorydyke._ids import ReleaseResult
from savorydyke._manifest import Endpoint, PoolKind
from savorydyke._messages import Release, RunningRow, Started  # noqa: F401
from savorydyke.rollouts import Order, RolloutControl, Stage, TrialBounds, new_record

KINDS = (0.55, 1.0, 2.8)
ROUTES = {"large": (6670, 35), "middle": (688, 26), "small": (1860, 2)}
OBJECTIVES = {"large": 1.245, "middle": 0.619, "small": 0.822}
WEIGHTS = (0.19, 0.41, 0.40)
SLOTS = 7
TICK_S = 0.1
WRITE_S = 1.0
RESERVE_S = 0.2
WRITE_DELAY_S = 0.03
NOISE = 0.25
WALL = 1_700_000_000.0


@dataclass
class Request:
    """A request at an endpoint, and what will happen to it."""

    key: str
    team: str
    route: str
    load: object
    kind: float
    number: int
    at: float
    busy: float


@dataclass
class Simulation:
    """One roll-out.

    Attributes
    ----------
    fault : callable
        Returns whether a request at the new version fails, and the factors on its
        times, or None for as usual.
    both : callable
        The same for a request at any version.
    """

    seed: int
    rate: float = 250.0
    within_s: float = 16.0
    old: int = 22
    new: int = 22
    cold_s: float = 0.0
    crash_at: float = math.inf
    fault: object = None
    both: object = None
    refused: int = 0
    arrivals: int = 0
    sent_new: int = 0
    first_bad: list = field(default_factory=list)
    last_new: float = -1.0
    over_limit: int = 0
    bad_answers: int = 0
    ended_at: float = math.inf
    old_running_at_end: int = 0
    stages: dict = field(default_factory=dict)

    def __post_init__(self):
        self.rng = random.Random(self.seed)
        self.serial = itertools.count()
        self.events = []
        self.kind_of = {}
        self.loads = [self._endpoint("v1", n) for n in range(self.old)]
        self.loads += [self._endpoint("v2", n) for n in range(self.new)]
        record = new_record(Order("1", "v2", self.within_s), WALL, None)
        self.control = RolloutControl(record, TrialBounds(), self.rng, WALL)
        self.control.observe(self.loads, 0.0)
        self.sent = Counter()

    def _endpoint(self, version, number):
        spec = Endpoint(
            id=f"{version}-{number}",
            pool="p",
            address="127.0.0.1:1",
            data_centre="a",
            owner="",
            resumes=False,
            checks_fencing=False,
            drained=False,
            max_concurrency=SLOTS,
            max_tokens=464_223,
            prefill_tokens_per_s=48_000.0,
            decode_tokens_per_s=300.0,
            first_s=0.015,
            version=version,
            warm_up_s=self.cold_s if version == "v2" else 0.0,
        )
        self.kind_of[spec.id] = self.rng.choice(KINDS)
        return new_load(spec, PoolKind.ENGINE)

    def run(self):
        """Play the roll-out to its end, and requests for some time after it."""
        self._push(0.0, self._arrive)
        self._push(0.0, self._tick)
        self._push(0.0, self._write)
        self._push(0.0, self._reserve)
        while self.events and self.events[0][0] < self.within_s + 1:
            now, _, action, *what = heapq.heappop(self.events)
            action(now, *what)
        return self

    def _push(self, at, action, *what):
        heapq.heappush(self.events, (at, next(self.serial), action, *what))

    def _tick(self, now):
        control = self.control
        control.tick(now, is_settled=True)
        stage = control.record.stage
        if stage not in self.stages:
            self.stages[stage] = now
            self._push(now, self._write_once)
        if stage.is_final() and self.ended_at == math.inf:
            self.ended_at = now
            old = [e for e in self.loads if e.spec.version == "v1"]
            self.old_running_at_end = sum(len(e.running) for e in old)
        self._push(now + TICK_S, self._tick)

    def _write(self, now):
        self._write_once(now)
        self._push(now + WRITE_S, self._write)

    def _reserve(self, now):
        if self.control.needs_more():
            self._write_once(now)
        self._push(now + RESERVE_S, self._reserve)

    def _write_once(self, now):
        self._push(now + WRITE_DELAY_S, self._written, self.control.proposal())

    def _written(self, now, record):
        self.control.accept(record, now)

    # Requests

    def _arrive(self, now):
        self._push(now + self.rng.expovariate(self.rate), self._arrive)
        if now < self.within_s:
            self.arrivals += 1
        load = self._choose(now)
        if load is None:
            self.refused += 1
            return
        self._send(load, now)

    def _choose(self, now):
        if self.control.draws_new(now):
            found = self._some(self.control.new_loads(frozenset(), now))
            if found:
                return self._best(found)
        found = self._some([e for e in self.loads if e.usable(now)])
        return self._best(found) if found else None

    def _some(self, loads):
        some = self.rng.sample(loads, min(12, len(loads)))
        return [e for e in some if len(e.running) < SLOTS]

    def _best(self, loads):
        return min(loads, key=lambda e: (1 + len(e.running)) * self.kind_of[e.id])

    def _send(self, load, now):
        route = self.rng.choices(tuple(ROUTES), WEIGHTS)[0]
        number = next(self.serial)
        key = f"i/1.{number}.{route}/r"
        prompt = int(ROUTES[route][0] * self.rng.choice((0.5, 1.0, 1.5)))
        team = f"t{min(15, int(self.rng.expovariate(0.2)))}"
        row = RunningRow(key, 1, team, load.id, prompt, ROUTES[route][1], False)
        load.take(row, "i", prompt, now)
        self.control.record_granted(load, now)
        version = load.spec.version
        self.sent[version] += 1
        if version == "v2":
            self.last_new = now
            bound = 0.1 * (self.sent["v1"] + self.sent["v2"]) + 50
            if self.control.record.stage is Stage.TRIAL:
                self.over_limit += self.sent["v2"] > bound
        busy = len(load.running) / SLOTS
        request = Request(
            key, team, route, load, self.kind_of[load.id], self.sent[version], now, busy
        )
        failed, first, pace = self._fate(request, prompt, now)
        item = load.running[key]
        item.objective = now + OBJECTIVES[route]
        slow = request.kind * (1 + 0.6 * busy)
        first_s = item.expected_first_s * slow * first * self._noise()
        pace_s = ROUTES[route][1] / 300 * slow * pace * self._noise()
        if version == "v2" and (failed or first * pace > 1.5):
            self.first_bad.append(now + min(first_s, 3.0))
        first_s = min(first_s, 60.0)
        if first_s > 4.0:
            self._push(now + 4.0, self._end, request, ReleaseResult.CANCELLED, 0.0)
            return
        self._push(now + first_s, self._first, request, first_s)
        result = ReleaseResult.FAILED if failed else ReleaseResult.COMPLETE
        self._push(now + first_s + pace_s, self._end, request, result, pace_s)

    def _fate(self, request, prompt, now):
        fate = (False, 1.0, 1.0)
        if now < self.cold_s and request.load.spec.version == "v2":
            fate = (False, 3.0, 3.0)
        for effect in (self.both, self.fault):
            if effect is None:
                continue
            if effect is self.fault and request.load.spec.version != "v2":
                continue
            failed, first, pace = effect(self.rng, request, prompt, now) or fate
            fate = (fate[0] or failed, max(fate[1], first), max(fate[2], pace))
        return fate

    def _noise(self):
        return self.rng.lognormvariate(0, NOISE)

    def _first(self, now, request, first_s):
        item = request.load.running.get(request.key)
        if item is not None:
            self.control.record_first(request.load, item, first_s, now)
            request.load.mark_started(item)

    def _end(self, now, request, result, pace_s):
        load = request.load
        item = load.running.get(request.key)
        if item is None:
            return
        tokens = ROUTES[request.route][1]
        if load.id == "v2-0" and request.at < self.crash_at <= now:
            result = ReleaseResult.TRUNCATED
        message = Release(
            request.key, 1, "p", load.id, result, tokens, int(pace_s * 1000)
        )
        self.control.record_end(load, item, message, now)
        load.remove(request.key)

"""Steps of the feature of roll-outs."""

import os

import trio
from behave import then
from rollout_cases import CASES
from rollout_decisions import DECISIONS
from rollout_simulation import Simulation

from savorydyke.rollouts import Stage
from savorydyke_standins._routed_site import open_site

CASE_TIMEOUT_S = 40

SEEDS = int(os.environ.get("ROLLOUT_SEEDS", "2"))
"""Seeds of each kind of version; thousands are played before a change of the judge."""
LATE = "fails after 2000 answers", "fails above half load"
"""Faults that show only when the version has been judged good."""


def fails(part, when=lambda request, prompt: True):
    def fault(rng, request, prompt, now):
        if when(request, prompt) and rng.random() < part:
            return True, 1.0, 1.0
        return None

    return fault


def slows(first, pace, when=lambda request, prompt: True):
    def fault(rng, request, prompt, now):
        return (False, first, pace) if when(request, prompt) else None

    return fault


FAULTS = {
    "fails half of its requests": fails(0.5),
    "fails a tenth of its requests": fails(0.1),
    "fails after 20 answers": fails(0.4, lambda r, p: r.number > 20),
    "fails after 200 answers": fails(0.4, lambda r, p: r.number > 200),
    "fails after 2000 answers": fails(0.4, lambda r, p: r.number > 2000),
    "fails above half load": fails(0.5, lambda r, p: r.busy > 0.5),
    "fails on one route": fails(0.5, lambda r, p: r.route == "large"),
    "fails for long prompts": fails(0.6, lambda r, p: p > 5000),
    "is four times slower": slows(4.0, 4.0),
    "is slower after 20 answers": slows(5.0, 5.0, lambda r, p: r.number > 20),
    "is slower on one route": slows(5.0, 5.0, lambda r, p: r.route == "middle"),
    "is slower between events": slows(1.0, 5.0),
    "hangs": slows(1000.0, 1.0, lambda r, p: r.number % 5 == 0),
}


def of_team(rng, request, prompt, now):
    is_faulty = request.team == "t0" and now % 6 > 1.5
    return (True, 1.0, 1.0) if is_faulty and rng.random() < 0.8 else None


def in_burst(rng, request, prompt, now):
    return (False, 3.0, 3.0) if 1.0 < now % 5 < 2.5 else None


GOOD = {
    "as the old one": {"rate": 200.0},
    "that starts cold": {"cold_s": 1.5},
    "with an endpoint that crashes": {"crash_at": 1.0},
    "beside a team that fails at both": {"both": of_team},
    "in a burst that slows both": {"both": in_burst},
    "of three endpoints": {"old": 3, "new": 3, "rate": 15.0},
    "with few requests": {"old": 3, "new": 3, "rate": 5.0, "within_s": 12.0},
}


def detail(play):
    return play.seed, play.stages, play.sent, play.control.record.why


@then("a version that {fault} is reverted, with every seed")
def bad_version(context, fault):
    for seed in range(SEEDS):
        rate, within_s = (400.0, 20.0) if fault in LATE else (250.0, 16.0)
        play = Simulation(seed, rate, within_s, fault=FAULTS[fault]).run()
        assert play.control.record.stage is Stage.REVERTED, detail(play)
        assert play.ended_at < play.within_s - 0.5, detail(play)
        assert play.over_limit == 0, detail(play)
        bad = sorted(play.first_bad)
        if len(bad) >= 50:
            assert play.last_new <= bad[49] + 5.0, detail(play)
        if fault not in LATE:
            bound = 0.1 * play.arrivals + 50
            assert play.sent["v2"] <= bound, detail(play)


@then("a good version {appearance} is completed, with every seed")
def good_version(context, appearance):
    for seed in range(SEEDS):
        play = Simulation(seed, **GOOD[appearance]).run()
        assert play.control.record.stage is Stage.COMPLETE, detail(play)
        assert play.ended_at < play.within_s - 0.5, detail(play)
        assert play.over_limit == 0, detail(play)
        assert play.old_running_at_end == 0, detail(play)


@then('the roll-out case "{name}" holds')
def process_case(context, name):
    async def play():
        with trio.fail_after(CASE_TIMEOUT_S):
            async with open_site(name) as site:
                await CASES[name](site)

    trio.run(play)


@then('the roll-out decision "{name}" holds')
def decision_case(context, name):
    DECISIONS[name]()

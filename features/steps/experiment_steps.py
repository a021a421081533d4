"""Steps about experiments: the engine model, and policies on load patterns."""

from behave import then
from typer.testing import CliRunner

from savorydyke_bench._engine_model import NEVER, Engine, EngineSpec, Stage
from savorydyke_bench._experiment import evaluate, read_pattern, run
from savorydyke_bench._main import app

SPEC = EngineSpec("e", 4, 0.003, 0.0005, 50_000.0, 0.0)
CASES = {}


def case(name):
    """Register a case under the name that the feature uses."""

    def register(function):
        CASES[name] = function
        return function

    return register


def run_to_end(engine):
    """Run all requests to their end; return when each reached each stage."""
    reached = []
    while engine.next_change() != NEVER:
        reached += engine.advance(engine.next_change())
    return {(item.key, item.stage): item.at for item in reached}


def simulate(pattern, policy, seed=1):
    return evaluate(run(read_pattern(pattern), policy, seed))


@case("a fuller batch makes each token slower")
def _():
    alone, full = Engine(SPEC), Engine(SPEC)
    alone.add("a", 1, 100)
    for key in "abcd":
        full.add(key, 1, 100)
    alone_s = run_to_end(alone)["a", Stage.DONE]
    full_s = max(run_to_end(full).values())
    assert abs(alone_s - 0.35) < 0.01
    assert 0.5 <= full_s <= 0.52


@case("prefilling a prompt slows the others down")
def _():
    engine = Engine(SPEC)
    engine.add("a", 1, 100)
    engine.advance(0.1)
    engine.add("b", 10_000, 1)
    ends = run_to_end(engine)
    assert abs(ends["b", Stage.FIRST_TOKEN] - 0.3) < 0.01
    # 0.2 s at half the decode speed, and a batch larger by one.
    assert 0.43 < ends["a", Stage.DONE] < 0.5


@case("an engine runs no more than its slots")
def _():
    engine = Engine(SPEC)
    for number in range(6):
        engine.add(f"r{number}", 1, 10)
    assert (len(engine.batch), len(engine.waiting)) == (4, 2)
    assert engine.remove("r5").key == "r5"
    ends = run_to_end(engine)
    assert ends["r4", Stage.FIRST_TOKEN] >= ends["r0", Stage.DONE]


@case("an engine slowed by a factor takes as much longer")
def _():
    engine, slow = Engine(SPEC), Engine(SPEC, slowdown=5.0)
    for target in (engine, slow):
        target.add("a", 1000, 100)
    ratio = run_to_end(slow)["a", Stage.DONE] / run_to_end(engine)["a", Stage.DONE]
    assert abs(ratio - 5.0) < 0.01


@case("the same seed gives the same result")
def _():
    assert simulate("association-slowed", "ours") == simulate(
        "association-slowed", "ours"
    )


@case("bursts earn more credit than under any baseline")
def _():
    for pattern in ("association-bursts", "timber-bursts"):
        ours = simulate(pattern, "ours")
        for baseline in ("random", "round-robin", "least-reported"):
            assert ours.credit > 1.2 * simulate(pattern, baseline).credit


@case("queueing late requests serves more and loses no credit")
def _():
    # docs/BENCH.md lists both figures; the goal is that neither gets worse.
    served, credit = 0.0, 0.0
    for pattern in ("association-bursts", "timber-bursts", "timber-overload"):
        now, before = simulate(pattern, "ours"), simulate(pattern, "ours-no-late")
        served += now.served - before.served
        credit += now.credit - before.credit
    assert served > 0 and credit >= 0, (served, credit)


@case("higher ranks keep their credit in an overload")
def _():
    shares = list(simulate("timber-overload", "ours").by_kind.values())
    assert shares == sorted(shares, reverse=True)


@case("unknown patterns and policies are reported")
def _():
    result = CliRunner().invoke(app, ["experiment", "nowhere", "--policy", "best"])
    assert result.exit_code == 2 and "best, nowhere" in result.output


@then('the experiment case "{name}" holds')
def experiment_case(context, name):
    CASES[name]()


@case("nine in ten answers of an overload are in time")
def _():
    # Guards against slots for requests that waited so long that they will be late.
    trial = run(read_pattern("help-overload"), "ours", 1)
    served = [o for o in trial.outcomes.values() if o.is_complete]
    for kind in trial.pattern.kinds:
        answers = [o for o in served if o.kind is kind]
        in_time = sum(o.credit() == kind.worth for o in answers)
        assert in_time >= 0.9 * len(answers), (kind.name, in_time, len(answers))

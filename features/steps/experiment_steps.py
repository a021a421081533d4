"""Steps about experiments: the engine model, and policies on load patterns."""

from behave import then
from typer.testing import CliRunner

from savorydyke_bench._engine_model import NEVER, Engine, EngineSpec, Stage
from savorydyke_bench._experiment import judge, read_pattern, run
from savorydyke_bench._main import app

SPEC = EngineSpec("e", 4, 0.003, 0.0005, 50_000.0, 0.0)
CASES = {}


def case(name):
    """Register a case under the name that the feature uses."""

    def register(function):
        CASES[name] = function
        return function

    return register


def finish(engine):
    """Let all runs end; return when each reached each stage."""
    passed = []
    while engine.next_change() != NEVER:
        passed += engine.advance(engine.next_change())
    return {(item.key, item.stage): item.at for item in passed}


def play(pattern, policy, seed=1):
    return judge(run(read_pattern(pattern), policy, seed))


@case("a fuller batch makes each token slower")
def _():
    alone, full = Engine(SPEC), Engine(SPEC)
    alone.add("a", 1, 100)
    for key in "abcd":
        full.add(key, 1, 100)
    one = finish(alone)["a", Stage.DONE]
    four = max(finish(full).values())
    assert abs(one - 0.35) < 0.01
    assert 0.5 <= four <= 0.52


@case("reading a prompt delays the others")
def _():
    engine = Engine(SPEC)
    engine.add("a", 1, 100)
    engine.advance(0.1)
    engine.add("b", 10_000, 1)
    ends = finish(engine)
    assert abs(ends["b", Stage.FIRST] - 0.3) < 0.01
    # 0.2 s at half its pace, and one more in the batch.
    assert 0.43 < ends["a", Stage.DONE] < 0.5


@case("an engine runs no more than its slots")
def _():
    engine = Engine(SPEC)
    for number in range(6):
        engine.add(f"r{number}", 1, 10)
    assert (len(engine.batch), len(engine.waiting)) == (4, 2)
    assert engine.remove("r5").key == "r5"
    ends = finish(engine)
    assert ends["r4", Stage.FIRST] >= ends["r0", Stage.DONE]


@case("a slowed engine takes as much longer")
def _():
    engine, slow = Engine(SPEC), Engine(SPEC, slowdown=5.0)
    for one in (engine, slow):
        one.add("a", 1000, 100)
    ratio = finish(slow)["a", Stage.DONE] / finish(engine)["a", Stage.DONE]
    assert abs(ratio - 5.0) < 0.01


@case("the same seed gives the same result")
def _():
    assert play("association-slowed", "ours") == play("association-slowed", "ours")


@case("bursts are served better than by any baseline")
def _():
    for pattern in ("association-bursts", "timber-bursts"):
        ours = play(pattern, "ours")
        for baseline in ("random", "round-robin", "least-reported"):
            assert ours.credit > 1.2 * play(pattern, baseline).credit


@case("waiting while late serves more and costs no credit")
def _():
    # Both are in the table of docs/BENCH.md; the target is no loss of either.
    served, credit = 0.0, 0.0
    for pattern in ("association-bursts", "timber-bursts", "timber-overload"):
        now, before = play(pattern, "ours"), play(pattern, "ours-no-late")
        served += now.served - before.served
        credit += now.credit - before.credit
    assert served > 0 and credit >= 0, (served, credit)


@case("higher ranks keep their credit in an overload")
def _():
    shares = list(play("timber-overload", "ours").by_kind.values())
    assert shares == sorted(shares, reverse=True)


@case("unknown patterns and policies are told")
def _():
    result = CliRunner().invoke(app, ["experiment", "nowhere", "--policy", "best"])
    assert result.exit_code == 2 and "best, nowhere" in result.output


@then('the experiment case "{name}" holds')
def experiment_case(context, name):
    CASES[name]()

"""Steps about the checkers of histories, and a few seeds of the real thing."""

import trio
from behave import given, then, when

from savorydyke_bench._checkers import CHECKERS, check_all
from savorydyke_bench._client import CallerRecord, Disconnect, Ended, prompt_bytes
from savorydyke_bench._histories import run_seed
from savorydyke_bench._history import Apply, Fault, History, Run, StatusSample
from savorydyke_standins._engine import expected_text


def chat_record(name, tier, sent, total_s=1.0):
    text = expected_text(prompt_bytes(name), 5)
    return CallerRecord(
        name,
        "crews",
        tier,
        "digest",
        prompt=name,
        output_tokens=5,
        instance="instance-1",
        sent=sent,
        ended=Ended.COMPLETE,
        status=200,
        text=text,
        total_s=total_s,
    )


def claim_record(name, key, sent):
    return CallerRecord(
        name,
        "crews",
        "high",
        "claims",
        prompt="farm",
        idempotency_key=key,
        sent=sent,
        ended=Ended.COMPLETE,
        status=201,
        body='{"echo": "farm"}',
        total_s=0.2,
    )


@given("a clean history")
def clean(context):
    history = History(1, ranks={"high": 0, "low": 1})
    history.requests = [
        chat_record("a", "high", 100.0),
        chat_record("b", "low", 100.0, total_s=5.0),
        claim_record("c", "key-1", 101.0),
    ]
    history.runs = [
        Run("engine-1", "crews~a", "", 100.1),
        Run("engine-1", "crews~b", "", 103.0),
        Run("desk-1", "crews~c", "key-1", 101.1),
    ]
    history.applies = [Apply(0, "accepted", 1, 90.0, ("crews",))]
    history.statuses = [StatusSample("instance-1", 95.0, 95.1, 1, True)]
    history.faults = [
        Fault("leaving", "engine-2", 99.0, 110.0),
        Fault("stop", "instance-2", 80.0, 81.0),
    ]
    history.exits = {"instance-2 at 80.0": 0}
    context.history = history


@then("no checker finds a violation")
def no_violation(context):
    found = check_all(context.history)
    assert not any(found.values()), found


def refuse(record, reason, not_run):
    record.ended = Ended.REFUSED
    record.reason = reason
    record.not_run = not_run


def two_runs(history):
    history.runs.append(Run("engine-2", "crews~a", "", 100.2))


def shed_high(history):
    refuse(history.requests[0], "overloaded", False)
    history.requests[1].sent = 99.5


def lacks_word(history):
    history.requests[0].text = history.requests[0].text[:-4]


def another_answer(history):
    history.requests[0].text = history.requests[1].text


def ran_after_all(history):
    refuse(history.requests[0], "deadline", True)


def key_twice(history):
    history.runs.append(Run("desk-2", "crews~d", "key-1", 101.2))


def key_locked(history):
    refuse(history.requests[2], "in-progress", False)


def late_run(history):
    history.runs.append(Run("engine-2", "crews~e", "", 105.0))


def stop_cuts(history):
    history.faults.append(Fault("stop", "instance-1", 100.5, 102.0))
    history.requests[0].disconnects.append(Disconnect("instance-1", 100.0, 101.0))


def bad_exit(history):
    history.exits["instance-1 at 100.5"] = 1


def old_revision(history):
    history.statuses.append(StatusSample("instance-1", 96.0, 96.1, 0, True))


def accepted_twice(history):
    history.applies.append(Apply(0, "accepted", 1, 90.1, ("crews",)))


def runs_withdrawn(history):
    history.applies[0].approved = ()


def no_answer(history):
    history.hung = True
    history.requests[0].total_s = 0.0


FAULTS = {
    "a request ran at two endpoints": two_runs,
    "a high tier was shed while a low one waited": shed_high,
    "an answer lacks its last word": lacks_word,
    "an answer is another caller's": another_answer,
    "a refusal says not run after the run": ran_after_all,
    "an idempotency key ran twice": key_twice,
    "a key is refused for ever without any kill": key_locked,
    "a leaving endpoint gets a request after 6 s": late_run,
    "a graceful stop cuts a stream": stop_cuts,
    "a stopped instance exits with 1": bad_exit,
    "an instance takes work at an old revision after 5 s": old_revision,
    "one revision is accepted twice": accepted_twice,
    "a team runs 5 s after its approval was withdrawn": runs_withdrawn,
    "a request never gets an answer": no_answer,
}


@when("the fault is planted: {fault}")
def plant(context, fault):
    FAULTS[fault](context.history)


@then("the checker of {point} finds it")
def found(context, point):
    assert CHECKERS[point](context.history), point


@when("the histories of seeds {first:d} and {second:d} are recorded")
def record(context, first, second):
    context.histories = [trio.run(run_seed, seed) for seed in (first, second)]


@then("no checker finds a violation in them")
def none_found(context):
    for history in context.histories:
        found = {k: v for k, v in check_all(history).items() if v}
        assert not found, (history.seed, found)
        assert len(history.requests) > 300 and len(history.faults) >= 8

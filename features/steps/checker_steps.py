"""Steps for the checkers of histories, on made-up and on recorded histories."""

import trio
from behave import given, then, when

from savorydyke_bench._checkers import CHECKERS, check_all
from savorydyke_bench._client import CallerRecord, Disconnect, Ended, prompt_bytes
from savorydyke_bench._histories import run_seed
from savorydyke_bench._history import (
    Execution,
    Fault,
    History,
    ManifestUpdate,
    StatusSample,
)
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
def make_clean_history(context):
    history = History(1, tier_ranks={"high": 0, "low": 1})
    history.requests = [
        chat_record("a", "high", 100.0),
        chat_record("b", "low", 100.0, total_s=5.0),
        claim_record("c", "key-1", 101.0),
    ]
    history.executions = [
        Execution("engine-1", "crews~a", "", 100.1),
        Execution("engine-1", "crews~b", "", 103.0),
        Execution("desk-1", "crews~c", "key-1", 101.1),
    ]
    history.updates = [ManifestUpdate(0, "accepted", 1, 90.0, ("crews",))]
    history.statuses = [StatusSample("instance-1", 95.0, 95.1, 1, True)]
    history.faults = [
        Fault("leaving", "engine-2", 99.0, 110.0),
        Fault("stop", "instance-2", 80.0, 81.0),
    ]
    history.exit_statuses = {"instance-2 at 80.0": 0}
    context.history = history


@then("no checker finds a violation")
def no_violation(context):
    violations = check_all(context.history)
    assert not any(violations.values()), violations


def refuse(record, reason, not_run):
    record.ended = Ended.REFUSED
    record.reason = reason
    record.not_run = not_run


def execute_twice(history):
    history.executions.append(Execution("engine-2", "crews~a", "", 100.2))


def refuse_high_tier(history):
    refuse(history.requests[0], "overloaded", False)
    history.requests[1].sent = 99.5


def truncate_answer(history):
    history.requests[0].text = history.requests[0].text[:-4]


def swap_answer(history):
    history.requests[0].text = history.requests[1].text


def refuse_after_execution(history):
    refuse(history.requests[0], "deadline", True)


def execute_key_twice(history):
    history.executions.append(Execution("desk-2", "crews~d", "key-1", 101.2))


def never_complete_key(history):
    refuse(history.requests[2], "in-progress", False)


def send_to_leaving(history):
    history.executions.append(Execution("engine-2", "crews~e", "", 105.0))


def interrupt_by_stop(history):
    history.faults.append(Fault("stop", "instance-1", 100.5, 102.0))
    history.requests[0].disconnects.append(Disconnect("instance-1", 100.0, 101.0))


def exit_with_error(history):
    history.exit_statuses["instance-1 at 100.5"] = 1


def keep_old_revision(history):
    history.statuses.append(StatusSample("instance-1", 96.0, 96.1, 0, True))


def accept_twice(history):
    history.updates.append(ManifestUpdate(0, "accepted", 1, 90.1, ("crews",)))


def withdraw_approval(history):
    history.updates[0].approved = ()


def lose_answer(history):
    history.timed_out = True
    history.requests[0].total_s = 0.0


CHANGES = {
    "a request was executed at two endpoints": execute_twice,
    "a high tier was refused while a low one was queued": refuse_high_tier,
    "an answer lacks its last word": truncate_answer,
    "an answer is another caller's": swap_answer,
    "a refusal says not run after the execution": refuse_after_execution,
    "an idempotency key was executed twice": execute_key_twice,
    "a key never completes without any kill": never_complete_key,
    "a leaving endpoint gets a request after 6 s": send_to_leaving,
    "a graceful stop interrupts a stream": interrupt_by_stop,
    "a stopped instance exits with 1": exit_with_error,
    "an instance is ready at an old revision after 5 s": keep_old_revision,
    "one revision is accepted twice": accept_twice,
    "a team's request runs 5 s after its approval was withdrawn": withdraw_approval,
    "a request never gets an answer": lose_answer,
}


@when("the history is changed so that {fault}")
def change_history(context, fault):
    CHANGES[fault](context.history)


@then('the checker "{point}" finds a violation')
def violation_found(context, point):
    assert CHECKERS[point](context.history), point


@when("the histories of seeds {first:d} and {second:d} are recorded")
def record_histories(context, first, second):
    context.histories = [trio.run(run_seed, seed) for seed in (first, second)]


@then("no checker finds a violation in these histories")
def no_violation_recorded(context):
    for history in context.histories:
        violations = {k: v for k, v in check_all(history).items() if v}
        assert not violations, (history.seed, violations)
        size = len(history.requests), len(history.faults)
        assert size[0] > 300 and size[1] >= 8, (history.seed, size)

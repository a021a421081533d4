"""Replays a coordinator that is behind; nothing here needs a network."""

import heapq
import math
from collections import Counter

import cbor2
from behave import given, then, when

from savorydyke._ids import InstanceId, Reason, ReleaseResult, RequestKey
from savorydyke._messages import (
    Acquire,
    Grant,
    Refuse,
    Release,
    Started,
    Withdraw,
    decode,
    encode,
)
from savorydyke.scheduling import Inbox, is_stale
from savorydyke_bench._coordinator_load import (
    KINDS,
    POOL,
    acquire,
    follow,
    frontend,
    new_load,
)

BURST = (4.0, 9.0)
SECONDS = 14.0
MEAN_SPREAD = 1.025
"""Mean factor by which the modelled endpoints vary, which the capacity leaves out."""
USUAL_LOAD = 0.7
ACQUIRE_S = 0.0009
REPORT_S = 0.0002
STALE_S = 0.00005
"""Processor time of the modelled messages. The usual load uses 0.7 of it, the burst
twice what there is."""


def process(load, inbox, received, now, decided):
    """Process one message and return the processor time that it takes."""
    message, sender = received.message, received.sender
    inbox_s = now - received.at
    if isinstance(message, Acquire):
        decisions = load.scheduler.acquire(message, sender, now, inbox_s)
        taken_s = STALE_S if is_stale(message, inbox_s) else ACQUIRE_S
    elif isinstance(message, Started):
        decisions, taken_s = load.scheduler.started(message, now), REPORT_S
    else:
        decisions, taken_s = load.scheduler.release(message, sender, now), REPORT_S
    for decision in decisions:
        decided.append((now + taken_s, decision))
        follow(load, decision, now + taken_s)
    return taken_s


def replay(load):
    """Play a load against a modelled processor, and return the decisions."""
    inbox, free_at, decided = Inbox(), 0.0, []
    load.sent = {}
    while load.events or len(inbox):
        if len(inbox) and (not load.events or free_at <= load.events[0][0]):
            received = inbox.take(free_at)
            free_at += process(load, inbox, received, free_at, decided)
            continue
        now, _, what, value = heapq.heappop(load.events)
        free_at = max(free_at, now)
        if what == "tick":
            for decision in load.scheduler.tick(free_at):
                decided.append((free_at, decision))
                follow(load, decision, free_at)
            continue
        if what == "acquire":
            key, left_s = value
            load.sent.setdefault(key, now)
            load.sent[key, "last"] = now
            value = acquire(key, load.kinds[key], left_s)
        inbox.put(frontend(value.key), value, now)
    return decided


@given("a coordinator of 56 endpoints whose processor is slow")
def slow_coordinator(context):
    def burst(at):
        return 2.85 if BURST[0] <= at < BURST[1] else 1.0

    context.load = new_load(56, USUAL_LOAD, SECONDS, 1, burst)


@when("it gets twice the messages that it can process for five seconds")
def play(context):
    load = context.load
    context.decided = replay(load)
    context.offered, context.in_time = Counter(), Counter()
    for key, kind in load.kinds.items():
        # A caller who came back counts from when it did.
        sent = load.sent[key, "last"]
        context.offered[int(sent)] += 1
        first_at = load.first_at.get(key, math.inf)
        context.in_time[int(sent)] += first_at <= sent + kind.objective_s


@then("answers in time are back within two seconds of the end")
def back_soon(context):
    # Guards against an inbox that is worked off for long after the burst.
    for second in range(int(BURST[1]) + 2, int(SECONDS)):
        share = context.in_time[second] / context.offered[second]
        assert share >= 0.85, (second, share, context.in_time, context.offered)


@then("no second has few answers in time")
def no_weak_second(context):
    # Guards against decisions that all come too late while endpoints are free.
    usual = sum(context.offered[second] for second in (1, 2, 3)) / 3
    most = usual / USUAL_LOAD / MEAN_SPREAD
    for second in range(1, int(SECONDS)):
        could = min(context.offered[second], most)
        assert context.in_time[second] >= 0.8 * could, (second, context.in_time, most)


@then("refusals come within a quarter of the objective")
def refused_early(context):
    # Guards against refusals that come too late for the caller to go elsewhere.
    ages = [
        decision.age_s / context.load.kinds[decision.answer.key].objective_s
        for _, decision in context.decided
        if isinstance(decision.answer, Refuse)
        and decision.answer.reason is Reason.OVERLOADED
    ]
    assert ages
    assert max(ages) <= 0.25, max(ages)


@then("no request is held until its deadline")
def decided_before_deadline(context):
    # Guards against requests that are forgotten while the coordinator is behind.
    load = context.load
    answered = {d.answer.key for _, d in context.decided}
    assert answered == load.kinds.keys()
    for at, decision in context.decided:
        key = decision.answer.key
        assert at < load.sent[key] + load.kinds[key].deadline_s, (at, decision)


@given("an inbox with a request, a release and another request that is stale first")
def mixed_inbox(context):
    context.inbox = Inbox()
    entry = InstanceId("entry")
    late = acquire(RequestKey("team-0/late"), KINDS[0], 10.0)
    soon = acquire(RequestKey("team-0/soon"), KINDS[1], 10.0)
    grant = Grant(RequestKey("team-0/x"), 1, "endpoint-0", False, ())
    release = Release(grant.key, 1, POOL, "endpoint-0", ReleaseResult.COMPLETE, 1, 1)
    for message in (late, release, soon):
        context.inbox.put(entry, message, 1.0)
    context.expected = [release, soon, late]


@then("the release is taken first and the request that is stale first next")
def taken_in_order(context):
    taken = [context.inbox.take().message for _ in range(3)]
    assert taken == context.expected
    assert context.inbox.take() is None


@given("an inbox with requests of two frontends with one key, of which one withdraws")
def same_key(context):
    context.inbox = Inbox()
    message = acquire(RequestKey("team-0/a"), KINDS[0], 10.0)
    for entry in ("a", "b"):
        context.inbox.put(InstanceId(entry), message, 1.0)
    context.inbox.put(InstanceId("b"), Withdraw(message.key, POOL), 1.0)


@then("only the request of the other is taken, after the withdrawal")
def other_taken(context):
    # Guards against a request that replaces that of another frontend, unanswered.
    taken = [context.inbox.take() for _ in range(3)]
    assert isinstance(taken[0].message, Withdraw)
    assert taken[1].sender == "a"
    assert taken[2] is None


@given("a request for a grant with the time that it has waited")
def waited_request(context):
    message = acquire(RequestKey("team-0/a"), KINDS[0], 10.0)
    context.message = Acquire(**{**vars(message), "waited_ms": 7})


@then("a frame for an earlier build has only the fields that it knows")
def earlier_fields(context):
    (row,) = cbor2.loads(encode([context.message], is_extensible=False))
    assert len(row) == 1 + 21


@then("a frame without the time or with a later field is read")
def lenient(context):
    (row,) = cbor2.loads(encode([context.message]))
    (full,) = decode(cbor2.dumps([row]))
    (earlier,) = decode(cbor2.dumps([row[:22]]))
    (later,) = decode(cbor2.dumps([[*row, "unknown"]]))
    assert (full, later) == (context.message, context.message)
    assert earlier.waited_ms == 0

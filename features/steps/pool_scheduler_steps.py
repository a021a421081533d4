"""Steps about the pool scheduler; its differential test against a naive one."""

import json
import random
from collections import Counter

from behave import given, then, when
from hypothesis import given as with_cases
from hypothesis import settings
from hypothesis import strategies as st
from naive_scheduler import NaiveScheduler

import savorydyke
from savorydyke._fair_queue import FairQueue, Waiting
from savorydyke._ids import Reason, ReleaseResult
from savorydyke._messages import Acquire, Grant, Refuse, Register, Release, Started
from savorydyke._pool_scheduler import new_pool_scheduler

CASES = settings(derandomize=True, deadline=None, max_examples=200)
TEAMS = {"high": "high", "mid": "mid", "low": "low", "busy": "mid", "quiet": "mid"}
LONG_AGO_S = -1000.0


def manifest_value(endpoints, max_waiting=5000, approved=tuple(TEAMS)):
    return {
        "tiers": [{"name": name} for name in ("high", "mid", "low")],
        "teams": [{"name": n, "tier": t, "keys": []} for n, t in TEAMS.items()],
        "pools": [
            {
                "name": "p",
                "kind": "engine",
                "models": ["m"],
                "max_waiting": max_waiting,
            }
        ],
        "endpoints": [
            {
                "name": name,
                "pool": "p",
                "address": "127.0.0.1:1",
                "data_centre": "a",
                "owner": "o",
                "resumes": True,
                "max_concurrency": slots,
                "prefill_tokens_per_s": speed,
                "decode_tokens_per_s": 100,
            }
            for name, slots, speed in endpoints
        ],
        "access": [{"team": team, "pool": "p"} for team in TEAMS],
        "approvals": [
            {"team": team, "pool": "p", "owner": "o", "by": "x", "at": "y"}
            for team in approved
        ],
    }


def make_scheduler(endpoints, max_waiting=5000, coordinating_since=LONG_AGO_S):
    value = manifest_value(endpoints, max_waiting)
    manifest = savorydyke.read_manifest(json.dumps(value))
    return new_pool_scheduler("p", manifest, coordinating_since, random.Random(1))


def acquire(name, team, prompt=100, output=10, deadline_s=1000.0, **more):
    fields = {
        "key": name,
        "attempt": 1,
        "pool": "p",
        "team": team,
        "model": "m",
        "prompt_tokens": prompt,
        "output_tokens": output,
        "prefix": (),
        "deadline_ms": int(deadline_s * 1000),
        "avoid": (),
        "has_caller_id": False,
        "resume_only": False,
        "at_most_once": False,
    }
    return Acquire(**{**fields, **more})


def release(name, endpoint="e1", result=ReleaseResult.COMPLETE, tokens=10):
    return Release(name, 1, "p", endpoint, result, tokens, 100)


def grants(decisions):
    return [d.answer.key for d in decisions if isinstance(d.answer, Grant)]


def refusals(decisions):
    return [d.answer for d in decisions if isinstance(d.answer, Refuse)]


@given("a pool scheduler with one endpoint of {slots:d} credit")
@given("a pool scheduler with one endpoint of {slots:d} credits")
def one_endpoint(context, slots):
    context.scheduler = make_scheduler([("e1", slots, 1000)])


@given(
    "a pool scheduler with one endpoint of 1 credit and at most {max_waiting:d} waiting"
)
def limited_waiting(context, max_waiting):
    context.max_waiting = max_waiting
    context.scheduler = make_scheduler([("e1", 1, 1000)], max_waiting)


@given("a pool scheduler with two endpoints")
def two_endpoints(context):
    context.scheduler = make_scheduler([("e1", 4, 1000), ("e2", 4, 1000)])


def start_one(context):
    decisions = context.scheduler.acquire(acquire("first", "mid"), "a", 0.0)
    assert grants(decisions) == ["first"]


@when("low-1 of low and high-1 of high arrive while one request runs")
def two_tiers(context):
    start_one(context)
    assert not context.scheduler.acquire(acquire("low-1", "low"), "a", 0.1)
    assert not context.scheduler.acquire(acquire("high-1", "high"), "b", 0.2)


@when("the running request is released")
def release_first(context):
    context.decisions = context.scheduler.release(release("first"), "a", 1.0)


@then("high-1 is granted next")
def high_first(context):
    assert grants(context.decisions) == ["high-1"], context.decisions


def drain(scheduler, first, now=1.0):
    """Release the running requests one by one; return the order of grants."""
    order, running = [], first
    while running:
        found = grants(scheduler.release(release(running), "a", now))
        order += found
        running = found[0] if found else None
        now += 0.01
    return order


@when("a busy team sends 30 requests and a quiet one of the same tier 3")
def busy_and_quiet(context):
    start_one(context)
    for number in range(30):
        context.scheduler.acquire(acquire(f"busy-{number}", "busy"), "a", 0.1)
    for number in range(3):
        context.scheduler.acquire(acquire(f"quiet-{number}", "quiet"), "a", 0.2)
    context.order = drain(context.scheduler, "first")


@then("the quiet team's 3 requests are among the first 7 grants")
def quiet_early(context):
    first = context.order[:7]
    assert sum(name.startswith("quiet") for name in first) == 3, first
    assert len(context.order) == 33


@when("4 requests of low wait and 2 of high arrive")
def overload(context):
    start_one(context)
    context.decisions = []
    for number in range(4):
        context.scheduler.acquire(acquire(f"low-{number}", "low"), "a", 0.1)
    for number in range(2):
        message = acquire(f"high-{number}", "high")
        context.decisions += context.scheduler.acquire(message, "a", 0.2)


@then("2 requests of low are refused as overloaded and none of high")
def low_shed(context):
    found = refusals(context.decisions)
    assert [r.reason for r in found] == [Reason.OVERLOADED] * 2
    assert [r.key for r in found] == ["low-3", "low-2"], found
    assert all(r.retry_ms >= 1000 and not r.may_have_run for r in found)


@when("a request needs 10 s and its deadline is 5 s")
def infeasible(context):
    message = acquire("big", "high", prompt=10_000, deadline_s=5)
    context.decisions = context.scheduler.acquire(message, "a", 0.0)


@then("it is refused for its deadline, not run, before any grant")
def refused_deadline(context):
    assert not grants(context.decisions)
    (found,) = refusals(context.decisions)
    assert found.reason is Reason.DEADLINE and not found.may_have_run


@when("a request waits behind another until its deadline can not be met")
def late(context):
    start_one(context)
    message = acquire("waits", "mid", deadline_s=2.0)
    assert not context.scheduler.acquire(message, "a", 0.0)
    assert not context.scheduler.tick(1.0)
    context.decisions = context.scheduler.tick(1.9)


@then("it is refused for its deadline with a retry time")
def refused_with_retry(context):
    (found,) = refusals(context.decisions)
    assert found.reason is Reason.DEADLINE and found.retry_ms >= 1000


@when("one of them is leaving and 6 requests arrive")
def one_leaving(context):
    context.scheduler.set_leaving("e1", True)
    context.decisions = []
    for number in range(6):
        message = acquire(f"r{number}", "mid", prompt=1)
        context.decisions += context.scheduler.acquire(message, "a", 0.0)


@then("only the other one is granted")
def only_other(context):
    answers = [d.answer for d in context.decisions if isinstance(d.answer, Grant)]
    assert answers and {answer.endpoint for answer in answers} == {"e2"}


@when("a request waits and its team's approval is withdrawn")
def withdrawn(context):
    start_one(context)
    context.scheduler.acquire(acquire("waits", "low"), "a", 0.0)
    value = manifest_value([("e1", 1, 1000)], approved=("mid", "high"))
    manifest = savorydyke.read_manifest(json.dumps(value))
    context.decisions = context.scheduler.reconfigure(manifest, 1.0)


@then("it is refused as not approved, not run")
def refused_approval(context):
    (found,) = refusals(context.decisions)
    assert (found.key, found.reason) == ("waits", Reason.NOT_APPROVED)
    assert not found.may_have_run


@when("two frontends acquire the same request id")
def same_id(context):
    message = acquire("same", "mid", has_caller_id=True)
    context.first = context.scheduler.acquire(message, "a", 0.0)
    context.second = context.scheduler.acquire(message, "b", 0.1)


@then("one of them is granted and the other may only resume it")
def only_resumed(context):
    (first,), (second,) = context.first, context.second
    assert isinstance(first.answer, Grant) and not first.answer.resume
    assert isinstance(second.answer, Grant) and second.answer.resume
    assert second.frontend == "b"
    context.scheduler.release(release("same"), "a", 1.0)
    (third,) = context.scheduler.acquire(acquire("same", "mid"), "c", 2.0)
    assert third.answer.resume


@when("the frontend of a running request dies")
def frontend_dies(context):
    start_one(context)
    context.scheduler.acquire(acquire("waits", "mid"), "b", 0.0)
    context.scheduler.frontend_lost("a", 10.0)


@then("the credit is freed only after the grace period, with the orphan returned")
def orphan(context):
    assert not context.scheduler.release_orphans(9.0, 14.0)
    assert not grants(context.scheduler.tick(14.0))
    ((endpoint, item),) = context.scheduler.release_orphans(10.0, 15.0)
    assert (endpoint, item.key) == ("e1", "first")
    assert grants(context.scheduler.tick(15.0)) == ["waits"]


def shed_with_caller_id(max_waiting, now):
    scheduler = make_scheduler([("e1", 1, 1000)], max_waiting, coordinating_since=0.0)
    decisions = []
    for number in range(3):
        message = acquire(f"n{number}", "mid", has_caller_id=True)
        decisions += scheduler.acquire(message, "a", now)
    return refusals(decisions)


@when("the coordinator took over 10 s ago and sheds a request with a caller's id")
def new_coordinator(context):
    context.refusals = shed_with_caller_id(context.max_waiting, 10.0)


@then("the refusal says that the request may have run")
def may_have_run(context):
    assert [r.may_have_run for r in context.refusals] == [True], context.refusals


@then("100 s after the takeover a refusal says that it was not run")
def not_run(context):
    old = shed_with_caller_id(context.max_waiting, 100.0)
    assert [r.may_have_run for r in old] == [False], old


@when("a long prompt ran at one endpoint and a longer one with the same prefix follows")
def same_prefix(context):
    prefix = (1, 2, 3, 4, 5)
    message = acquire("one", "mid", prompt=8000, prefix=prefix)
    (first,) = context.scheduler.acquire(message, "a", 0.0)
    context.first = first.answer.endpoint
    context.scheduler.release(release("one", context.first), "a", 9.0)
    # A short request runs on the first endpoint, so that only the other one is idle.
    other = acquire("busy", "mid", prompt=10, prefix=(9,))
    (busy,) = context.scheduler.acquire(other, "a", 9.1)
    assert busy.answer.endpoint == context.first
    context.scheduler.started(Started("busy", "p", 20), 9.15)
    message = acquire("two", "mid", prompt=8000, prefix=(*prefix, 6))
    context.second = context.scheduler.acquire(message, "a", 9.2)


@then("it is granted at the same endpoint")
def same_endpoint(context):
    (second,) = context.second
    assert second.answer.endpoint == context.first


@given("a pool scheduler with a full fast endpoint and a free one that is much slower")
def fast_and_slow(context):
    context.scheduler = make_scheduler([("fast", 1, 10_000), ("slow", 4, 100)])
    (decision,) = context.scheduler.acquire(acquire("first", "mid"), "a", 0.0)
    assert decision.answer.endpoint == "fast"


@when("a request arrives that only the fast endpoint can answer in time")
def needs_fast(context):
    message = acquire("big", "mid", prompt=5000, deadline_s=10)
    context.decisions = context.scheduler.acquire(message, "a", 0.1)


@then("it waits for the fast endpoint")
def waits_for_fast(context):
    assert not context.decisions
    message = release("first", "fast")
    (decision,) = context.scheduler.release(message, "a", 1.0)
    assert decision.answer.endpoint == "fast"


@when("a request runs and its frontend no longer has it 3 s later")
def lost_release(context):
    start_one(context)
    context.scheduler.acquire(acquire("waits", "mid"), "b", 0.0)
    context.scheduler.register(Register("p", True, ()), "a", 3.0)


@then("the frontend's next registration frees the credit")
def credit_freed(context):
    assert grants(context.scheduler.grant_waiting(3.0)) == ["waits"]


@then("the request id is still remembered as dispatched")
def remembered(context):
    (again,) = context.scheduler.acquire(acquire("first", "mid"), "c", 4.0)
    assert again.answer.resume


@when("a registration without the request arrives 0.1 s after its grant")
def early_registration(context):
    start_one(context)
    context.scheduler.register(Register("p", True, ()), "a", 0.1)


@then("the credit stays in use")
def credit_in_use(context):
    assert not grants(context.scheduler.acquire(acquire("waits", "mid"), "b", 0.2))


@when("a manifest without the endpoint is applied, and then one with it")
def removed_and_back(context):
    def apply(endpoints):
        value = manifest_value(endpoints)
        manifest = savorydyke.read_manifest(json.dumps(value))
        context.scheduler.reconfigure(manifest, 1.0)

    apply([("e2", 1, 1000)])
    context.scheduler.set_leaving("e2", True)
    context.between = context.scheduler.acquire(acquire("between", "mid"), "a", 1.0)
    apply([("e1", 1, 1000)])
    context.after = context.scheduler.acquire(acquire("after", "mid"), "a", 2.0)


@then("a request is refused in between and granted afterwards")
def refused_then_granted(context):
    (refusal,) = refusals(context.between)
    assert refusal.reason is Reason.NO_ENDPOINT
    assert grants(context.after) == ["after"]


OPERATIONS = st.lists(
    st.tuples(
        st.sampled_from(["acquire", "release", "withdraw"]),
        st.sampled_from(["high", "mid", "low"]),
        st.integers(1, 50),
    ),
    max_size=80,
)


@then("hypothesis finds no load on which admission, order or credits differ")
def differential(context):
    @CASES
    @with_cases(OPERATIONS, st.integers(1, 4), st.integers(2, 12))
    def same(operations, slots, max_waiting):
        compare_with_naive(operations, slots, max_waiting)

    same()


def compare_with_naive(operations, slots, max_waiting):
    """Run both schedulers on one load with equal costs, one team a tier.

    With equal costs and one team in each tier the fair order is the order of
    arrival, so that grants and refusals must be the same, one by one.
    """
    scheduler = make_scheduler([("e1", slots, 10**9)], max_waiting)
    naive = NaiveScheduler(slots, max_waiting)
    running: list[str] = []
    waiting: Counter = Counter()
    now = 0.0
    for number, (kind, team, pick) in enumerate(operations):
        now += 0.001
        decisions = []
        if kind == "acquire":
            name = f"r{number}"
            decisions = scheduler.acquire(acquire(name, team), "a", now)
            expected = naive.acquire(name, ["high", "mid", "low"].index(team))
            waiting[name] = 1
        elif kind == "release" and running:
            name = running.pop(pick % len(running))
            decisions = scheduler.release(release(name), "a", now)
            expected = naive.release(name)
        elif kind == "withdraw" and +waiting:
            name = sorted(+waiting)[pick % len(+waiting)]
            scheduler.withdraw(name)
            naive.withdraw(name)
            del waiting[name]
            continue
        else:
            continue
        granted, refused = grants(decisions), [r.key for r in refusals(decisions)]
        assert granted == expected.granted, (granted, expected)
        assert refused == expected.refused, (refused, expected)
        running += granted
        for name in granted + refused:
            waiting.pop(name, None)
        assert len(scheduler.endpoints["e1"].running) <= slots
        assert len(scheduler.endpoints["e1"].running) + len(scheduler.queue) == len(
            running
        ) + len(+waiting), "a request was forgotten"


@then("hypothesis finds no operations after which the queue's sums are wrong")
def queue_sums(context):
    @CASES
    @with_cases(OPERATIONS)
    def sums(operations):
        queue, names = FairQueue(), []
        for number, (kind, team, pick) in enumerate(operations):
            if kind == "acquire":
                names.append(push(queue, number, team, pick))
            elif names:
                name = names.pop(pick % len(names))
                item = queue.by_key[name]
                queue.charge(item) if kind == "release" else queue.remove(name)
            check_sums(queue)

    sums()


def push(queue, number, team, cost):
    rank = ["high", "mid", "low"].index(team)
    none = frozenset()
    item = Waiting(
        f"r{number}", 1, "a", f"{team}{cost % 3}", rank, 1.0, 1, 1, (), none, none,
        10.0, 0.0, cost / 10, False,
    )  # fmt: skip
    queue.push(item)
    return item.key


def check_sums(queue):
    total = 0
    for tier in queue.tiers.values():
        items = [i for team in tier.teams.values() for i in team.waiting.values()]
        assert tier.length == len(items)
        assert abs(tier.cost_s - sum(i.cost_s for i in items)) < 1e-6
        assert all(team.waiting for team in tier.teams.values())
        total += len(items)
    assert total == len(queue)

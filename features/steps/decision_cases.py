"""The decision cases: functions and small state, in simulated time."""

import gc
import json
import logging
import os
import random
import re
import resource
import subprocess
import sys
import tempfile
import time
from collections import Counter
from dataclasses import replace
from itertools import pairwise
from pathlib import Path
from types import SimpleNamespace

import trio
from trio.testing import MockClock

from savorydyke import _logs
from savorydyke._configuration_age import ConfigurationAge, boot_time
from savorydyke._directory import Directory, build_manifest
from savorydyke._endpoint_observer import EndpointObserver
from savorydyke._endpoint_states import EndpointStates
from savorydyke._fallback_placement import place_fallback
from savorydyke._gateway import STREAM_TELL_S, new_gateway
from savorydyke._gateway_settings import check_gateway_settings
from savorydyke._grant_client import Demand
from savorydyke._ids import (
    UNKNOWN_VERSION,
    InstanceId,
    PoolId,
    Reason,
    ReleaseResult,
    RequestKey,
    SoftwareVersion,
    TeamId,
    process_id,
)
from savorydyke._log_writer import MAX_BUFFERED_BYTES, LogBuffer, write_lines
from savorydyke._membership import (
    MAX_FULL_MESH,
    Membership,
    rendezvous_score,
    ring_neighbours,
)
from savorydyke._messages import (
    Acquire,
    Grant,
    Heartbeat,
    LimitRow,
    MemberRow,
    Refuse,
    Register,
    Release,
    RunningRow,
    Started,
    StreamPush,
    decode,
    encode,
)
from savorydyke._monitor import Monitor
from savorydyke._overload import SLOW_DELAY_S, SLOW_HOLD_S, Overload
from savorydyke._peers import UNUSED_LINK_S, Link, Peers
from savorydyke._pool_scheduler import new_pool_scheduler
from savorydyke._quarantine import (
    MAX_ROWS,
    MAX_SUSPECTS,
    REQUEST_TRIAL_DELAYS_S,
    SETTLE_S,
    TRIAL_DELAYS_S,
    Quarantine,
)
from savorydyke._quota import Quotas, Tolerance
from savorydyke._quota_balances import CHECK_S
from savorydyke._quota_records import decode_balances, encode_balances
from savorydyke._request_limits import (
    BadLimitError,
    RequestAllowance,
    RequestLimits,
    parse_limit,
)
from savorydyke._retry_after import (
    MAX_PAUSE_S,
    BadRetryAfterError,
    parse_retry_after,
)
from savorydyke._retry_budget import RetryBudget
from savorydyke._route_pools import RoutePools
from savorydyke._routed_handler import RoutedHandler
from savorydyke._routed_request import RoutedRequest, shared_parts
from savorydyke._routes import TeamQuota
from savorydyke._shared_evidence import (
    Evidence,
    SharedEvidence,
    decode_evidence,
    encode_evidence,
)
from savorydyke._store_contact import StoreContact
from savorydyke._store_restores import new_store_restores
from savorydyke._stream_records import StreamRecords
from savorydyke._stream_versions import (
    KEPT_S,
    MAX_GAP_S,
    MAX_STREAMS,
    StreamVersions,
)
from savorydyke._tier_shares import TierShares
from savorydyke._timers import TimerService
from savorydyke._timing import (
    REVOKE_MARGIN_S,
    WATCH_WAIT_S,
    ApplyBounds,
    watch_pause_s,
)
from savorydyke.platform import (
    BadRecordError,
    Compacted,
    EndpointRecord,
    InstanceRecord,
    Listing,
    open_store,
    parse_response_headers,
    read_configuration,
    read_endpoint,
    streams_key,
)
from savorydyke_standins._ports import PortPool
from savorydyke_standins._routed_endpoint import RoutedEndpoint

SETTINGS = {
    "edges": "routed",
    "instance": "i",
    "data_centre": "a",
    "callers": "127.0.0.1:1",
    "readiness": "127.0.0.1:2",
    "peers": "127.0.0.1:3",
    "store": "127.0.0.1:4",
}
CASES = {}
CREW = TeamId("crew")
POOL = PoolId("engines")
FRONTEND = InstanceId("frontend")


def case(name):
    """Register a case under the name that the feature uses."""

    def register(function):
        CASES[name] = function
        return function

    return register


def configuration(**more):
    """Return a configuration with an engine pool and one team of each rank."""
    engine = {"slots": 4, "kv_capacity": 100_000, "stride": 1}
    route = {
        "name": "r",
        "host": "h.example",
        "prefix": "/a/",
        "kind": "idempotent",
        "service": "engines",
        "timeout_ms": 2000,
    }
    teams = [
        {"name": "crew", "api_keys": ["k"], "priority": 0},
        {"name": "other", "api_keys": ["o"], "priority": 1},
    ]
    value = {
        "version": 1,
        "routes": [route],
        "services": [{"name": "engines", "backend": engine}],
        "tenants": teams,
    }
    return read_configuration(json.dumps(value | more).encode())


def record(name, slots=4, leaving=False):
    """Return an endpoint's record."""
    return EndpointRecord(name, POOL, "127.0.0.1:1", "a", slots, leaving, 0.0, 1)


def endpoint_of(name, started_ms):
    """Return one process of an endpoint as the manifest has it."""
    records = {name: replace(record(name), started_ms=started_ms)}
    return build_manifest(configuration(), records).endpoints[name]


def scheduler_of(*names, slots=4):
    """Return the scheduler of an engine pool with these endpoints."""
    records = {name: record(name, slots) for name in names}
    manifest = build_manifest(configuration(), records)
    scheduler = new_pool_scheduler(POOL, manifest, 0.0, random.Random(1))
    scheduler.capacity.min_retry_s = 0.1
    return scheduler


def acquire(key, now=0.0, **more):
    """Return a request of 1,000 prompt tokens and 100 of output."""
    fields = {
        "key": f"frontend/1/{key}",
        "attempt": 1,
        "pool": POOL,
        "team": CREW,
        "model": "",
        "prompt_tokens": 1000,
        "output_tokens": 100,
        "prefix": (),
        "deadline_ms": 10_000,
        "avoid": (),
        "has_caller_id": False,
        "resume_only": False,
        "at_most_once": False,
        "objective_ms": 1000,
    }
    return Acquire(**(fields | more))


def granted(decisions):
    """Return the endpoints of the grants."""
    return [d.answer.endpoint for d in decisions if isinstance(d.answer, Grant)]


def refused(decisions):
    """Return the refusals."""
    return [d.answer for d in decisions if isinstance(d.answer, Refuse)]


def end(scheduler, key, endpoint, now, result=ReleaseResult.COMPLETE, tokens=100):
    """Release a request; return the decisions that its freed credits allow."""
    message = Release(f"frontend/1/{key}", 1, POOL, endpoint, result, tokens, 300)
    return scheduler.release(message, FRONTEND, now)


def start(scheduler, key, now_s, after_s):
    """Report that the first byte arrived `after_s` after the grant."""
    scheduler.started(Started(f"frontend/1/{key}", POOL, int(after_s * 1000)), now_s)


# Quotas and budgets


def quotas(**more):
    """Return accounts with 100 tokens a second and a burst of 100."""
    return Quotas({CREW: TeamQuota(100.0, 100.0)}, **more)


def first_quotas(**more):
    """Return the accounts of a deployment that starts for the first time."""
    accounts = quotas(**more)
    accounts.restore({})
    return accounts


@case("a team within its quota is never refused")
def _():
    accounts = first_quotas()
    now = 1.0
    for _ in range(500):
        assert accounts.take(CREW, 50, now, False) == 0
        now += 0.5
    assert accounts.take(TeamId("without limit"), 10**9, now, False) == 0


@case("a request larger than the burst is admitted and paid off")
def _():
    accounts = first_quotas()
    assert accounts.take(CREW, 600, 1.0, False) == 0
    assert abs(accounts.take(CREW, 1, 1.0, False) - 5.0) < 0.01
    assert accounts.take(CREW, 1, 6.1, False) == 0


TOLERANCE = Tolerance(0.1, 1000.0, 8.0)
ALLOWED = (100 * 8 + 100) * 1.1 + 1000
"""Tokens that a team may use in 8 s within `TOLERANCE`."""
LARGEST = 400
"""Tokens of the largest requests of these cases."""


def spend(accounts, begin, end, rng, pause_s=0.02):
    """Request tokens every `pause_s`; return times and sizes of admitted requests."""
    admitted, now = [], begin
    while now < end:
        tokens = rng.choice([5, 20, 60, LARGEST])
        if accounts.take(CREW, tokens, now, True) == 0:
            admitted.append((now, tokens))
        now += pause_s
    return admitted


def worst_window(admitted):
    """Return the most tokens in any window of 8 s."""
    return max(
        sum(tokens for at, tokens in admitted if begin <= at <= begin + 8)
        for begin, _ in admitted
    )


@case("bursts may use what the window tolerates")
def _():
    for seed in range(5):
        accounts = quotas(tolerance=TOLERANCE)
        admitted = spend(accounts, 20.0, 60.0, random.Random(seed))
        assert 900 < worst_window(admitted) <= ALLOWED, worst_window(admitted)


@case("a new coordinator admits no second burst")
def _():
    # All instances are killed in the middle of a window and started again.
    for seed in range(20):
        rng = random.Random(seed)
        killed = 30 + 8 * rng.random()
        admitted = spend(quotas(tolerance=TOLERANCE), 10.0, killed, rng)
        again = quotas(tolerance=TOLERANCE, opened=killed + 0.5)
        admitted += spend(again, killed + 1.0, killed + 20, rng)
        assert worst_window(admitted) <= ALLOWED, (seed, worst_window(admitted))


@case("the first coordinator of a deployment starts with full buckets")
def _():
    accounts = first_quotas(tolerance=TOLERANCE)
    assert sum(accounts.take(CREW, 100, 0.0, False) == 0 for _ in range(5)) == 5


@case("a coordinator continues with the balances of the previous one")
def _():
    for seed in range(20):
        rng = random.Random(seed)
        first = first_quotas(tolerance=TOLERANCE)
        killed = 30 + 8 * rng.random()
        # The team requests ten times its quota. Balances are stored as by a
        # coordinator; what is used after the last write is lost when it is killed.
        stored, admitted, now = b"{}", [], 10.0
        while now < killed:
            if first.should_report():
                stored = encode_balances(first.export(now), 1)
                first.unreported.clear()
            admitted += spend(first, now, min(killed, now + CHECK_S), rng, 0.12)
            now += CHECK_S
        again = quotas(tolerance=TOLERANCE, opened=killed + 0.5)
        again.restore(decode_balances(stored))
        admitted += spend(again, killed + 0.5, killed + 20, rng, 0.12)
        assert worst_window(admitted) <= ALLOWED, (seed, worst_window(admitted))


@case("instances without links share the quotas that a pool's coordinator had")
def _():
    # All instances are killed. Five host the pool one after the other, each with the
    # stored balances, until they are linked; then one of them goes on alone.
    for seed in range(20):
        rng = random.Random(seed)
        first = first_quotas(tolerance=TOLERANCE)
        killed = 30 + 8 * rng.random()
        stored, admitted, now = b"{}", [], 10.0
        while now < killed:
            if first.should_report():
                stored = encode_balances(first.export(now), 1)
                first.unreported.clear()
            admitted += spend(first, now, min(killed, now + CHECK_S), rng, 0.12)
            now += CHECK_S
        linked = killed + 2.0
        hosts = []
        for number in range(5):
            opened = killed + 0.3 * (number + 1)
            hosts.append(quotas(tolerance=TOLERANCE, opened=opened, share=1 / 5))
            hosts[-1].restore(decode_balances(stored))
            admitted += spend(hosts[-1], opened, linked, rng, 0.02)
        hosts[0].set_share(1.0)
        admitted += spend(hosts[0], linked, killed + 20, rng, 0.12)
        assert worst_window(admitted) <= ALLOWED, (seed, worst_window(admitted))
        late = [tokens for at, tokens in admitted if at > linked + 8.0]
        assert sum(late) > 0.8 * 100 * (killed + 20 - linked - 8.0), (seed, sum(late))


@case("an instance that is linked to few of those that are listed gives out its part")
def _():
    async def play():
        gateway = unconnected_gateway()
        limit = {"rate_per_s": 1000, "burst": 1000}
        teams = [{"name": "crew", "api_keys": ["k"], **limit}]
        gateway.directory.configuration = configuration(tenants=teams)
        gateway.directory.manifest = build_manifest(
            gateway.directory.configuration, {"e1": record("e1", 64)}
        )
        gateway.directory.instances = {
            name: InstanceRecord(name, f"{name}:1", "a", 2.0)
            for name in (f"i{number}" for number in range(7))
        }
        # The store has been read; there has been no heartbeat yet.
        gateway.directory._publish()
        now = trio.current_time()
        hosted = gateway.pool_host._host(POOL, now)
        scheduler = hosted.scheduler
        eighth = 1 / 8
        assert scheduler.quotas.share == scheduler.capacity.share == eighth
        assert scheduler.retry_budget.share == eighth
        gateway.membership.listed = set()
        gateway.pool_host._tick(POOL, hosted, now)
        assert scheduler.quotas.share == scheduler.capacity.share == 1.0
        assert scheduler.retry_budget.share == 1.0
        # A second instance is listed and not linked yet; no caller is refused for it.
        gateway.membership.listed = {"i1"}
        gateway.pool_host._tick(POOL, hosted, now)
        assert scheduler.quotas.share == 1.0

    trio.run(play)


@case("a team that used little is not refused after a takeover")
def _():
    first = first_quotas(tolerance=TOLERANCE)
    assert first.take(CREW, 60, 10.0, False) == 0
    again = quotas(tolerance=TOLERANCE, opened=11.0)
    again.restore(first.export(10.0))
    assert all(again.take(CREW, 60, 11.1, False) == 0 for _ in range(4))


@case("balances that can not be read count as spent")
def _():
    for data in (b"", b"[]", b'{"crew": "x"}', b"\xff"):
        assert decode_balances(data) is None
    accounts = quotas(tolerance=TOLERANCE, opened=5.0)
    accounts.restore(decode_balances(b"[]"))
    assert accounts.take(CREW, 60, 5.0, False) > 0
    assert accounts.take(CREW, 60, 8.0, False) == 0


@case("a start of all instances admits no burst")
def _():
    # Before there is a coordinator, nine instances place their requests themselves.
    async def play():
        text = json.dumps(SETTINGS)
        settings, findings = check_gateway_settings(text, "settings")
        assert not findings.items
        used = 0
        for _ in range(9):
            gateway = new_gateway(settings, open_store("127.0.0.1:1"), LogBuffer())
            gateway.fallback_quotas.limits = {CREW: TeamQuota(1000.0, 1000.0)}
            gateway.fallback_quotas.share /= 9
            for step in range(100):
                now = trio.current_time() + step / 100
                draw = gateway.rng.random()
                if gateway.fallback_quotas.take_fraction(CREW, 5, now, draw):
                    used += 5
        # One second of the quota and one request an instance, no burst.
        assert used <= 1000 + 9 * 2 * 5, used

    trio.run(play)


@case("many small shares admit no more than their sum")
def _():
    # 80 instances with 1/160 of a quota each; every request is larger than that.
    rng = random.Random(5)
    holders = [quotas(opened=0.0, share=1 / 160) for _ in range(80)]
    used = 0
    for step in range(800):
        now = step / 100
        for holder in rng.sample(holders, 8):
            if holder.take_fraction(CREW, 60, now, rng.random()):
                used += 60
    # Half of 100 tokens a second for 8 s and of the burst.
    assert 200 < used <= 1.3 * (400 + 50), used


@case("retries stay within their budget")
def _():
    budget = RetryBudget(ratio=0.2, slack=10, window_s=10)
    taken = []
    for step in range(3000):
        now = step / 100
        if step % 10 == 0:
            budget.count_request(now)
        if budget.take(now):
            taken.append(now)
    for begin in range(20):
        window = [t for t in taken if begin <= t < begin + 10]
        assert 6 <= len(window) <= 0.2 * 100 + 10


# Endpoints that leave or ask for a pause


@case("an endpoint that asks frontends for a pause gets no request of them")
def _():
    scheduler = scheduler_of("e0", "e1")
    (grant,) = scheduler.acquire(acquire("a"), FRONTEND, 0.0)
    endpoint = grant.answer.endpoint
    other = "e1" if endpoint == "e0" else "e0"

    def reject(grant, frontend, now):
        key, attempt, rejected = grant.key, grant.attempt, ReleaseResult.REJECTED
        fields = (key, attempt, POOL, grant.endpoint, rejected, 0, 0, 2000)
        scheduler.release(Release(*fields), frontend, now)

    reject(grant.answer, FRONTEND, 0.0)
    for number in range(4):
        decisions = scheduler.acquire(acquire(f"b{number}", 0.5), FRONTEND, 0.5)
        assert granted(decisions) == [other]
    # The endpoint has not asked the other frontend.
    neighbour = InstanceId("neighbour")
    (grant,) = scheduler.acquire(acquire("c", 0.5), neighbour, 0.5)
    assert grant.answer.endpoint == endpoint
    reject(grant.answer, neighbour, 0.5)
    # Two pauses hold for all, and the slots of the other endpoint are taken.
    assert not scheduler.acquire(acquire("d", 0.7), InstanceId("third"), 0.7)
    # Its next process has asked for nothing.
    records = {name: record(name) for name in ("e0", "e1")}
    records[endpoint] = replace(records[endpoint], started_ms=2)
    manifest = build_manifest(configuration(), records)
    assert granted(scheduler.reconfigure(manifest, 0.8)) == [endpoint]


@case("if all endpoints ask for a pause requests are refused until its end")
def _():
    scheduler = scheduler_of("e0", "e1")
    for name in ("e0", "e1"):
        load = scheduler.endpoints[name]
        load.pause(FRONTEND, 2.0, 0.0, random.Random(1))
    (refusal,) = refused(scheduler.acquire(acquire("a", 0.5), FRONTEND, 0.5))
    assert refusal.reason is Reason.NO_ENDPOINT and not refusal.may_have_run
    # The spread of the pause and of the refusal.
    assert 1500 <= refusal.retry_ms <= (2200 - 500) * 1.5
    assert len(granted(scheduler.acquire(acquire("b", 2.3), FRONTEND, 2.3))) == 1


@case("the time of a Retry-After header is read by its standard")
def _():
    assert parse_retry_after("2", "") == 2.0
    assert parse_retry_after("0.25", "") == 0.25
    assert parse_retry_after("1000000000", "") == MAX_PAUSE_S
    sent = "Fri, 04 Dec 2026 09:00:00 GMT"
    assert parse_retry_after("Fri, 04 Dec 2026 09:00:07 GMT", sent) == 7.0
    assert parse_retry_after("Fri, 04 Dec 2026 08:00:00 GMT", sent) == 0.0
    for value in ("-1", "nan", "soon", "-inf", "7 s"):
        try:
            parse_retry_after(value, sent)
        except BadRetryAfterError as error:
            assert value in str(error)
        else:
            raise AssertionError(value)


@case("links that an instance of a large fleet does not use are closed")
def _():
    async def play():
        names = [f"i-{number:02}" for number in range(40)]
        membership = Membership(InstanceId("i-00"), "127.0.0.1:1", "dc", 1)
        for name in names[1:]:
            row = MemberRow(name, f"127.0.0.2:{name[2:]}", "dc", 1, 1, 0, False)
            membership.merge_row(row, trio.current_time())
        membership.update(trio.current_time())
        peers = Peers(membership, "", lambda sender, message: None, random.Random(1))
        # In the first seconds it opened links to all, and half of them to it.
        for number, name in enumerate(names[1:]):
            dialler = membership.id if number % 2 else InstanceId(name)
            scope = trio.CancelScope()
            peers.links[name] = Link(InstanceId(name), dialler, None, scope)
        later = trio.current_time() + UNUSED_LINK_S + 1
        used = peers.links["i-20"]
        used.last_used_at = later
        closed = {link.peer for link in peers._unused_links(later)}
        wanted = {member.id for member in membership.wanted_links()}
        own = {link.peer for link in peers.links.values() if link.dialler == "i-00"}
        assert closed == own - wanted - {used.peer} and len(closed) > 10
        assert not peers._unused_links(trio.current_time())
        # Its silence over the closed link does not count as its end.
        peer = next(iter(closed))
        membership.members[peer].has_direct_heartbeats = True
        membership.expect_no_heartbeats(peer)
        assert not membership.members[peer].has_direct_heartbeats

    trio.run(play)


# Bounds of the deployment


@case("a bound that can not be met is refused at the start")
def _():
    for field, shortest in (
        ("revocation_ms", 2200),
        ("configuration_ms", 1800),
        ("leaving_ms", 1800),
    ):
        for value in (shortest, shortest - 1):
            text = json.dumps(SETTINGS | {"bounds": {field: value}})
            _, findings = check_gateway_settings(text, "f")
            assert bool(findings.items) is (value < shortest), (field, value)
            assert not findings.items or field in str(findings.items[0])


@case("changes in the store are read within every bound")
def _():
    for revocation_s in (2.2, 3.0, 5.0, 60.0):
        for apply_s in (1.8, 2.0, 3.0, 4.0, 30.0):
            for leaving_s in (1.8, 2.0, 4.0):
                bounds = ApplyBounds(revocation_s, apply_s, leaving_s)
                for is_large in (False, True):
                    pause_s = watch_pause_s(bounds, is_large)
                    longest_s = pause_s + WATCH_WAIT_S
                    assert longest_s < min(apply_s, leaving_s), bounds
                    assert longest_s < revocation_s - REVOKE_MARGIN_S, bounds


# Instances that turn slow


def instance_of_three(own="a"):
    """Return a membership that sees itself and two linked peers."""
    membership = Membership(InstanceId(own), "127.0.0.1:1", "dc", 1)
    for name in {"a", "b", "c"} - {own}:
        membership.merge_row(MemberRow(name, "127.0.0.1:2", "dc", 1, 1, 0, False), 0.0)
        membership.members[name].linked = True
    membership.update(0.0)
    return membership


@case("a slow instance does not coordinate")
def _():
    views = [instance_of_three(own) for own in ("a", "b", "c")]
    (coordinator,) = {view.coordinator(POOL) for view in views}
    changes = []
    for view in views:
        view.listeners.append(lambda: changes.append(1))
        if view.id == coordinator:
            view.slow = True
            continue
        heartbeat = Heartbeat(2, 0, False, 1, 0, (), (), slow=True)
        view.receive_heartbeat(coordinator, heartbeat, 0.1)
    # Waiting requests are registered with the next one at once.
    assert len(changes) == 2
    (successor,) = {view.coordinator(POOL) for view in views}
    assert successor != coordinator
    # If all are slow, one of them must do.
    for view in views:
        view.slow = True
        for member in view.members.values():
            member.slow = True
    assert {view.coordinator(POOL) for view in views} == {coordinator}


@case("a pool does not move to weak instances when the strong ones are slow")
def _():
    # Under a load that made two strong instances slow, the pool once moved on to
    # instances of a quarter of their cores, each of which became slow in turn.
    membership = instance_of_three()
    membership.weights = {"a": 2.15, "b": 2.15, "c": 0.516}
    membership.slow = membership.members["b"].slow = True
    assert membership.coordinator(POOL) in {"a", "b"}
    # One with half of their cores can bear the load in their place.
    membership.weights["c"] = 1.1
    assert membership.coordinator(POOL) == "c"
    membership.members["c"].slow = True
    assert membership.coordinator(POOL) in {"a", "b"}


@case("an instance is slow if its timers are late, not after one pause")
def _():
    overload = Overload()
    for delay_s in (0.0, 4.0, 0.0):
        overload.observe_delay(delay_s, 1.0)
    assert not overload.is_slow(1.0) and not overload.is_overloaded(1.0)
    for delay_s in (0.3, 0.06):
        overload.observe_delay(delay_s, 2.0)
    assert overload.is_slow(2.0) and not overload.is_overloaded(2.0)
    for delay_s in (0.2, 0.3, 0.0):
        overload.observe_delay(delay_s, 2.0)
    assert overload.is_overloaded(2.1) and not overload.is_overloaded(2.6)
    assert overload.is_slow(2.0 + SLOW_HOLD_S - 0.1)
    assert not overload.is_slow(2.0 + SLOW_HOLD_S + 0.1)


@case("timers of a process with too much work are late each time")
def _():
    async def play(work_s):
        timers, delays = TimerService(random.Random(1)), []
        timers.delay_listeners.append(lambda delay_s, now: delays.append(delay_s))

        async def work():
            while True:
                time.sleep(work_s)
                await trio.sleep(0)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(timers.run)
            nursery.start_soon(work)
            async with timers.every(0.02) as ticks:
                for _ in range(8):
                    await anext(ticks)
            nursery.cancel_scope.cancel()
        return min(delays)

    # Each pass of the event loop takes as long as the work.
    assert trio.run(play, 0.2) > SLOW_DELAY_S
    assert trio.run(play, 0.001) < SLOW_DELAY_S


@case("a coordinator that returns does not count what ended or began meanwhile")
def _():
    scheduler = scheduler_of("e0", slots=4)
    rows = []
    for number in range(4):
        key = acquire(f"a{number}").key
        (decision,) = scheduler.acquire(acquire(f"a{number}"), FRONTEND, 0.0)
        rows.append(RunningRow(key, 1, CREW, decision.answer.endpoint, 1000, 100, True))
    load = scheduler.endpoints["e0"]
    assert not scheduler.acquire(acquire("b", 1.0), FRONTEND, 1.0)
    # Another instance coordinates for a second; two of the requests end, and the
    # other two begin.
    for now in (1.0, 1.5, 2.0):
        scheduler.suspend(now)
        scheduler.tick(now)
    scheduler.register(Register(POOL, True, tuple(rows[:2])), FRONTEND, 2.0)
    assert load.unstarted_tokens == 0 and len(load.running) == 2
    assert load.prefill_factor < 1.5
    assert granted(scheduler.grant_waiting(2.0)) == ["e0"]


@case("a lost report of a first byte is corrected by a registration")
def _():
    scheduler = scheduler_of("e0", slots=4)
    message = acquire("a", prompt_tokens=14_000)
    (decision,) = scheduler.acquire(message, FRONTEND, 0.0)
    assert not scheduler.acquire(acquire("b", prompt_tokens=14_000), FRONTEND, 0.0)
    endpoint = decision.answer.endpoint
    row = RunningRow(message.key, 1, CREW, endpoint, 14_000, 100, True)
    scheduler.register(Register(POOL, True, (row,)), FRONTEND, 0.2)
    assert granted(scheduler.grant_waiting(0.2)) == ["e0"]


@case("a late answer of a process that was replaced says nothing of the next one")
def _():
    states, limits, rejections = EndpointStates(), RequestLimits(), RequestLimits()
    observer = EndpointObserver(states, limits, rejections)
    before, after = endpoint_of("e1", 1), endpoint_of("e1", 2)
    headers = [
        (b"X-Savorydyke-Response-Stamp", b"s"),
        (b"Server-Leaving", b"1"),
        (b"Server-Limit", b"0"),
        (b"Retry-After", b"30"),
    ]
    info = parse_response_headers(503, headers)

    async def play():
        now = trio.current_time()
        for endpoint, known in ((before, after), (after, after)):
            manifest = build_manifest(configuration(), {"e1": record("e1")})
            states.observe_manifest(replace(manifest, endpoints={"e1": known}), now)
            observer.observe(endpoint, info, now, "r1")
            is_heeded = endpoint is after
            assert states.is_unusable("e1", now) is is_heeded
            assert ("e1" in states.leaving) is is_heeded
            assert (limits.limit("e1") == 0.0) is is_heeded

    trio.run(play)


@case("what peers heard of a process that was replaced is not believed")
def _():
    limits = RequestLimits()
    limits.record_answer("e1", 2.0, 10.0, 10.0)
    rows = limits.rows(12.0)
    limits.forget("e1", 12.0)
    # A peer that has not noticed the restart sends what it heard before.
    limits.merge(rows, 13.0)
    limits.merge(rows, 12.0)
    assert limits.limit("e1") is None
    limits.merge([LimitRow("e1", 3000, 100)], 13.0)
    assert limits.limit("e1") == 3.0


# Age of the configuration


@case("the store is listed again without a pause when its history is compacted")
def _():
    # A store that compacts its history ends the watches of a whole fleet at once.
    calls = []

    class CompactedStore:
        generation = 0
        restored = trio.Event()

        async def list(self, prefix):
            calls.append(("list", trio.current_time()))
            return Listing((), 5)

        async def watch(self, prefix, revision, wait_s):
            calls.append(("watch", trio.current_time()))
            await trio.sleep(0.1)
            return Compacted()

    async def play():
        rng, restores = random.Random(1), new_store_restores(5.0)
        directory = Directory(
            CompactedStore(), ConfigurationAge(), rng, restores, StoreContact(1.2)
        )
        directory.watch_pause_s = 1.0
        with trio.move_on_after(10):
            await directory.watch_store()

    trio.run(play, clock=MockClock(autojump_threshold=0))
    names = [name for name, _ in calls]
    assert names[:4] == ["list", "watch", "list", "watch"]
    reads = [at for name, at in calls if name == "list"]
    assert all(b - a <= 1.2 for a, b in pairwise(reads))


@case("the age of the configuration includes suspension")
def _():
    configuration_age = ConfigurationAge()
    configuration_age.confirm(100.0)
    # The machine was suspended for 30 s; the clock counts that time.
    assert configuration_age.age_s(130.0) == 30.0
    configuration_age.confirm(90.0)
    assert configuration_age.age_s(130.0) == 30.0


@case("a peer's confirmation counts from the heartbeat that it answers")
def _():
    configuration_age = ConfigurationAge()
    configuration_age.record_heartbeat(7, 100.0)
    configuration_age.confirm_from_peer(7, 400)
    # The answer arrived late, at 105; the peer's age counts back from 100.
    assert abs(configuration_age.age_s(105.0) - 5.4) < 0.01
    configuration_age.confirm_from_peer(8, 0)
    configuration_age.confirm_from_peer(7, -1)
    assert abs(configuration_age.age_s(105.0) - 5.4) < 0.01


# Endpoints


def run_for(scheduler, begin, seconds, slowness):
    """Run one request after another; return the time at the end."""
    now, number = begin, 0
    while now < begin + seconds:
        number += 1
        key = f"{begin}-{number}"
        (endpoint,) = granted(scheduler.acquire(acquire(key, now), FRONTEND, now))
        load = scheduler.endpoints[endpoint]
        item = load.running[f"frontend/1/{key}"]
        first_s = item.expected_first_s * slowness
        step = now
        while step + 0.1 < now + first_s:
            step += 0.1
            scheduler.tick(step)
        now += first_s
        start(scheduler, key, now, first_s)
        end(scheduler, key, endpoint, now + 0.1)
        now += 0.1
    return now


@case("a slowdown of an engine is learned within two seconds")
def _():
    scheduler = scheduler_of("e1")
    now = run_for(scheduler, 0.0, 5.0, 1.0)
    run_for(scheduler, now, 2.0, 5.0)
    assert 3.5 < scheduler.endpoints["e1"].prefill_factor < 6.5


@case("the recovery of an engine is learned within two seconds")
def _():
    scheduler = scheduler_of("e1")
    now = run_for(scheduler, 0.0, 5.0, 5.0)
    run_for(scheduler, now, 4.0, 1.0)
    assert scheduler.endpoints["e1"].prefill_factor < 1.7
    idle = scheduler_of("e1")
    now = run_for(idle, 0.0, 5.0, 5.0)
    for step in range(100):
        idle.tick(now + step / 10)
    assert idle.endpoints["e1"].prefill_factor < 1.7


@case("a failing endpoint gets one request at a time")
def _():
    scheduler = scheduler_of("e1", "e2", "e3")
    assigned = []
    for number in range(12):
        assigned += granted(scheduler.acquire(acquire(number), FRONTEND, 0.0))
    for number, endpoint in enumerate(assigned):
        failed = endpoint == "e1"
        result = ReleaseResult.FAILED if failed else ReleaseResult.COMPLETE
        end(scheduler, number, endpoint, 0.5, result)
    assert Counter(assigned) == {"e1": 4, "e2": 4, "e3": 4}
    assert scheduler.endpoints["e1"].suspect
    again = [
        endpoint
        for number in range(12)
        for endpoint in granted(scheduler.acquire(acquire(f"b{number}"), FRONTEND, 1.0))
    ]
    assert Counter(again)["e1"] <= 1 and len(again) >= 8


@case("if all endpoints fail none is excluded")
def _():
    scheduler = scheduler_of("e1", "e2", "e3")
    for number in range(90):
        for endpoint in granted(
            scheduler.acquire(acquire(number), FRONTEND, number / 10)
        ):
            failed = number % 2 == 0
            result = ReleaseResult.FAILED if failed else ReleaseResult.COMPLETE
            end(scheduler, number, endpoint, number / 10 + 0.05, result)
    burst = [
        endpoint
        for number in range(12)
        for endpoint in granted(
            scheduler.acquire(acquire(f"b{number}"), FRONTEND, 10.0)
        )
    ]
    assert len(burst) == 12


@case("a retry avoids the endpoint that failed the request")
def _():
    scheduler = scheduler_of("e1", "e2")
    for number in range(10):
        (first,) = granted(scheduler.acquire(acquire(number), FRONTEND, float(number)))
        end(scheduler, number, first, number + 0.1, ReleaseResult.REJECTED)
        again = acquire(f"{number}b", avoid=(first,), is_retry=True)
        (second,) = granted(scheduler.acquire(again, FRONTEND, number + 0.3))
        assert second != first
        end(scheduler, f"{number}b", second, number + 0.4)


@case("with no endpoint a routed request is refused as not run")
def _():
    scheduler = scheduler_of()
    (answer,) = refused(scheduler.acquire(acquire("r"), FRONTEND, 0.0))
    assert answer.reason is Reason.NO_ENDPOINT and not answer.may_have_run
    assert answer.retry_ms > 0


# Overload


FIRST_S = 0.05
"""Time to the first byte of the requests of a burst."""


HOLD_S = 0.5
"""Time for which a request of a burst holds its slot."""


def burst(scheduler, rate, seconds, short_hold_s=HOLD_S, short_size=None):
    """Send a mix of three ranks; return grants by rank, refusals and the total.

    `rate` is the number of requests per second, or a function of the time. The
    requests of the lowest rank hold their slot for `short_hold_s` and have the fields
    of `short_size`.
    """
    rate_at = rate if callable(rate) else lambda now: rate
    hold_s = {"0": HOLD_S, "1": HOLD_S, "2": short_hold_s}
    now, number = 0.0, 0
    running, unstarted, served, refusals = [], [], Counter(), []
    while now < seconds:
        for when, key in [u for u in unstarted if u[0] <= now]:
            unstarted.remove((when, key))
            start(scheduler, key, now, FIRST_S)
        for when, key, endpoint in [r for r in running if r[0] <= now]:
            running.remove((when, key, endpoint))
            for d in end(scheduler, key, endpoint, now):
                record_decision(d, now, hold_s, running, unstarted, served, refusals)
        kind = number % 3
        size = short_size if kind == 2 and short_size else {}
        message = acquire(f"{number}-{kind}", urgency=kind, **size)
        for d in scheduler.acquire(message, FRONTEND, now):
            record_decision(d, now, hold_s, running, unstarted, served, refusals)
        for d in scheduler.tick(now):
            record_decision(d, now, hold_s, running, unstarted, served, refusals)
        number += 1
        now += 1 / rate_at(now)
    return served, refusals, number


def record_decision(decision, now, hold_s, running, unstarted, served, refusals):
    """Record one decision."""
    key = decision.answer.key.rpartition("/")[2]
    if isinstance(decision.answer, Grant):
        running.append((now + hold_s[key[-1]], key, decision.answer.endpoint))
        unstarted.append((now + FIRST_S, key))
        served[key[-1]] += 1
    else:
        refusals.append((key[-1], decision.answer))


@case("in a burst the most urgent requests are served and others get a retry time")
def _():
    # 24 requests per second for slots that serve 16: a third can not be served.
    served, refusals, number = burst(scheduler_of("e1", "e2"), 24, 20)
    assert served["0"] >= 0.97 * number / 3
    assert served["0"] >= served["1"] >= served["2"]
    assert sum(served.values()) >= 0.9 * 16 * 20
    assert all(answer.retry_ms >= 100 for _, answer in refusals)
    assert all(not answer.may_have_run for _, answer in refusals)


@case("short requests of low urgency are served in an overload by urgent ones")
def _():
    # The urgent ones alone ask for 18 slots' worth of the 16 that are served per
    # second; the short ones would need one more.
    served, _, number = burst(
        scheduler_of("e1", "e2"),
        27,
        20,
        short_hold_s=HOLD_S / 8,
        short_size={"prompt_tokens": 100, "output_tokens": 10},
    )
    assert served["2"] >= 0.3 * number / 3, served
    assert served["0"] >= 0.97 * number / 3, served
    assert served["0"] >= served["1"] >= served["2"], served


@case("a guaranteed share changes the order only behind the first rank of a tier")
def _():
    scheduler = scheduler_of("e1", slots=1)
    scheduler.acquire(acquire("holds", prompt_tokens=10), FRONTEND, 0.0)
    for team in (TeamId("other"), CREW):
        for urgency in (2, 1, 0):
            more = acquire(f"{team}-{urgency}", team=team, urgency=urgency)
            assert not scheduler.acquire(more, FRONTEND, 0.0)
    ranks = [item.rank for item in scheduler.queue.heads(owed=[2, 18])]
    assert ranks == [0, 2, 1, 16, 18, 17], ranks


@case("a rank is owed time until it got as great a part as more urgent ones")
def _():
    shares = TierShares()
    for rank, offered_s, granted_s in ((0, 9, 9), (1, 4, 2), (2, 1, 0.4), (18, 1, 0)):
        shares.offered.add(rank, offered_s, 0.0)
        shares.granted.add(rank, granted_s, 0.0)
    assert shares.owed_ranks([0, 1, 2, 18], 0.0) == [2]
    # 0.6 of what it requested, where the more urgent rank got 0.5.
    shares.granted.add(2, 0.2, 0.0)
    assert shares.owed_ranks([0, 1, 2, 18], 0.0) == []
    # Less than 0.5 again, and beyond a quarter of the time of both ranks.
    shares.offered.add(2, 9, 0.0)
    shares.granted.add(2, 0.1, 0.0)
    assert shares.owed_ranks([0, 1, 2, 18], 0.0) == []


@case("a waiting request is refused before its caller abandons it")
def _():
    scheduler = scheduler_of("e1", slots=1)
    scheduler.acquire(acquire("holds", prompt_tokens=10), FRONTEND, 0.0)
    waits = acquire("waits", objective_ms=600, abandon_after_ms=600)
    assert not scheduler.acquire(waits, FRONTEND, 0.0)
    now, found = 0.0, []
    while not found:
        now += 0.1
        found = refused(scheduler.tick(now))
    assert now <= 0.6 + 0.01
    assert found[0].retry_ms >= 100


@case("a burst of one second is served late rather than not at all")
def _():
    # 32 requests per second for slots that serve 16, then 4 per second.
    scheduler = scheduler_of("e1", "e2")
    served, refusals, number = burst(scheduler, lambda now: 32 if now < 1 else 4, 12)
    assert sum(served.values()) >= 0.97 * number
    assert len(refusals) <= 0.03 * number


@case("late requests do not delay requests that can be on time")
def _():
    scheduler = scheduler_of("e1", slots=1)
    scheduler.acquire(acquire("holds", prompt_tokens=10), FRONTEND, 0.0)
    late = acquire("late", objective_ms=300, abandon_after_ms=6000)
    assert not scheduler.acquire(late, FRONTEND, 0.0)
    assert not scheduler.tick(0.35)
    on_time = acquire("on-time", urgency=2, objective_ms=1000)
    assert not scheduler.acquire(on_time, FRONTEND, 0.4)
    (first,) = end(scheduler, "holds", "e1", 0.5)
    assert first.answer.key.endswith("on-time")
    (second,) = end(scheduler, "on-time", "e1", 0.8)
    assert second.answer.key.endswith("late")


@case("late requests that can not be granted in time are refused at once")
def _():
    scheduler = scheduler_of("e1", slots=1)
    scheduler.acquire(acquire("holds", prompt_tokens=10), FRONTEND, 0.0)
    waits = acquire("waits", objective_ms=300, abandon_after_ms=6000, deadline_ms=8000)
    assert not scheduler.acquire(waits, FRONTEND, 0.0)
    assert not scheduler.tick(0.4)
    # Requests that can be on time use all capacity for longer than the late request
    # may wait.
    for number in range(30):
        more = acquire(f"n{number}", objective_ms=9000, prompt_tokens=8000)
        scheduler.acquire(more, FRONTEND, 0.5)
    (answer,) = refused(scheduler.tick(0.6))
    assert answer.key.endswith("waits") and answer.retry_ms >= 100


@case("retries after a burst are spread")
def _():
    _, refusals, _ = burst(scheduler_of("e1", "e2"), 60, 5)
    times = [answer.retry_ms for _, answer in refusals]
    assert len(times) > 50
    assert max(times) > 1.3 * min(times)
    assert Counter(t // 20 for t in times).most_common(1)[0][1] < len(times) / 3


@case("in a long burst the retry time of a refusal is after its end")
def _():
    short, long = scheduler_of("e1", "e2"), scheduler_of("e1", "e2")
    _, early, _ = burst(short, 60, 0.6)
    _, late, _ = burst(long, 60, 5)
    lowest = [answer.retry_ms for kind, answer in late[-50:] if kind == "2"]
    # No capacity is left for the lowest rank while the burst lasts.
    assert min(lowest) >= 2000, lowest
    assert all(answer.retry_ms < 2000 for _, answer in early)


# Coordinators and fallback placement


@case("fallback placement of all instances stays within an endpoint's slots")
def _():
    records = {f"e{i}": record(f"e{i}") for i in range(3)}
    manifest = build_manifest(configuration(), records)
    demand = Demand("k", POOL, CREW, "", 10, 10, (), 1.0, False)
    used = Counter()
    for instance in range(4):
        own = []
        while True:
            name = place_fallback(
                manifest, demand, (), lambda e: False, own, f"i{instance}", 4
            )
            if name is None:
                break
            own.append(name)
        used.update(own)
    assert used == {"e0": 4, "e1": 4, "e2": 4}
    avoid, unusable = ("e0", "e1", "e2"), {"e1"}.__contains__
    assert place_fallback(manifest, demand, avoid, unusable, [], "i", 4) is None
    assert place_fallback(manifest, demand, ("e0",), unusable, [], "i", 4) == "e2"


@case("instances of a large fleet connect to their neighbours on the ring only")
def _():
    # The store lists 80 instances to each of them at their start.
    names = [f"i-{number:02}" for number in range(80)]
    links = set()
    for own in names:
        membership = Membership(own, f"{own}:1", "a", 1)
        peers = Peers(membership, "", lambda sender, message: None, random.Random(1))
        peers.listed_addresses = {name: f"{name}:1" for name in names}
        links |= {
            frozenset((own, address[:-2])) for address in peers._missing_addresses()
        }
    assert len(links) <= 80 * 7
    # Over these links every instance is reached in a few steps.
    reached = {"i-00"}
    for _ in range(7):
        reached |= {n for link in links if link & reached for n in link}
    assert reached == set(names)


def unconnected_gateway():
    """Return a gateway without links to peers."""
    settings, findings = check_gateway_settings(json.dumps(SETTINGS), "settings")
    assert not findings.items
    return new_gateway(settings, open_store("127.0.0.1:1"), LogBuffer())


@case("coordinators do not change when records expire in an outage")
def _():
    async def play():
        gateway = unconnected_gateway()
        names = [InstanceId(f"i{n}") for n in range(4)]
        gateway.directory.instances = {
            name: InstanceRecord(name, f"{name}:1", "a", 2.0) for name in names
        }
        gateway.apply_instance_records()
        del gateway.directory.instances[names[2]]
        gateway.apply_instance_records()
        assert gateway.membership.weights[names[2]] == 2.0

    trio.run(play)


@case("frontends that see a new coordinator first are not refused for quotas")
def _():
    async def play():
        gateway = unconnected_gateway()
        membership = gateway.membership
        now = trio.current_time()
        limit = {"rate_per_s": 10, "burst": 10}
        teams = [{"name": "crew", "api_keys": ["k"], **limit}]
        gateway.directory.configuration = configuration(tenants=teams)
        manifest = build_manifest(
            gateway.directory.configuration, {"e1": record("e1", 64)}
        )
        gateway.directory.manifest = manifest
        other = next(
            name
            for name in (f"o{number}" for number in range(99))
            if rendezvous_score(POOL, name) > rendezvous_score(POOL, membership.id)
        )
        membership.merge_row(MemberRow(other, "o:1", "a", 1, 1, 0, False), now)
        membership.members[other].linked = True
        membership.update(now)
        assert not membership.is_coordinator(POOL)
        answers = []
        gateway.pool_host.answer = lambda frontend, answer: answers.append(answer)
        hosted = gateway.pool_host._host(POOL, now)
        hosted.scheduler.grants_enabled = True
        hosted.scheduler.quotas.restore({})
        for number in range(5):
            gateway.pool_host._tick(POOL, hosted, now)
            message = acquire(f"r{number}", quota_tokens=1)
            gateway.pool_host.handle(FRONTEND, message)
        assert [type(answer) for answer in answers] == [Grant] * 5, answers
        # When it becomes the coordinator, it loads the balances of the previous one.
        membership.members[other].leaving = True
        membership.update(now)
        gateway.pool_host._tick(POOL, hosted, now)
        assert not hosted.scheduler.quotas.balances_loaded

    trio.run(play)


@case("endpoints of a new coordinator are asked at once whether they leave")
def _():
    async def play():
        gateway = unconnected_gateway()
        gateway.directory.configuration = configuration()
        gateway.directory.manifest = build_manifest(
            gateway.directory.configuration, {"e1": record("e1")}
        )
        host = gateway.pool_host
        host.endpoints_report = True

        async def get_json(*_):
            await trio.sleep(0.01)
            return {"requests": 0, "leaving": False}

        client = SimpleNamespace(get_json=get_json)
        monitor = Monitor(
            host,
            gateway.states,
            client,
            None,
            gateway.membership,
            gateway.peers,
            lambda: gateway.directory.manifest,
        )
        timers = TimerService(random.Random(3))
        waits_s = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(timers.run)
            nursery.start_soon(monitor.poll_endpoints, timers)
            nursery.start_soon(host.run, timers)
            for _ in range(20):
                await trio.sleep(1.3)
                host.hosted.clear()
                begun = trio.current_time()
                hosted = host._host(POOL, begun)
                hosted.unregistered.clear()
                while not hosted.scheduler.grants_enabled:
                    await trio.sleep(0.01)
                waits_s.append(trio.current_time() - begun)
            nursery.cancel_scope.cancel()
        assert sum(wait_s > FIRST_GRANT_S for wait_s in waits_s) <= 1, waits_s

    trio.run(play, clock=MockClock(autojump_threshold=0))


@case("only instances of high weight become coordinators")
def _():
    membership = Membership("i0", "127.0.0.1:1", "a", 1)
    for number in range(1, 30):
        row = MemberRow(f"i{number}", f"127.0.0.1:{number}", "a", 1, 1, 0, False)
        membership.merge_row(row, 0.0)
    membership.update(0.0)
    membership.weights = {f"i{n}": 2.1 if n % 5 == 0 else 0.5 for n in range(30)}
    coordinators = {membership.coordinator(PoolId(f"pool-{n}")) for n in range(50)}
    assert len(coordinators) > 3
    assert all(int(name[1:]) % 5 == 0 for name in coordinators)


# Routes and records


@case("the longest prefix wins")
def _():
    def route(name, prefix, host="h.example"):
        return {
            "name": name,
            "host": host,
            "prefix": prefix,
            "kind": "mutating",
            "service": "engines",
            "timeout_ms": 1000,
        }

    routes = [route("a", "/a/"), route("ab", "/a/b/"), route("x", "/a/", "x.example")]
    found = configuration(routes=routes)
    assert found.match("h.example", "/a/b/c").name == "ab"
    assert found.match("h.example", "/a/bc").name == "a"
    assert found.match("x.example", "/a/b/c").name == "x"
    assert found.match("h.example", "/a") is None
    assert found.match("y.example", "/a/b/") is None


@case("a split route follows its weights")
def _():
    split = [{"service": "engines", "weight": 90}, {"service": "desk", "weight": 10}]
    route = {
        "name": "r",
        "host": "h.example",
        "prefix": "/a/",
        "kind": "streaming",
        "split": split,
        "timeout_ms": 1000,
    }
    (found,) = configuration(routes=[route]).routes
    draws = Counter(found.choose_pool(n / 1000) for n in range(1000))
    assert draws == {"engines": 900, "desk": 100}
    assert not found.is_retryable


@case("an invalid record is refused with the name of the faulty field")
def _():
    sound = {
        "service": "engines",
        "address": "10.0.0.1:80",
        "zone": "a",
        "slots": 8,
        "state": "ready",
        "born": 5,
    }
    assert read_endpoint("e", json.dumps(sound).encode()).started_ms == 5
    faults = [
        ("state", "resting"),
        ("address", "nowhere"),
        ("slots", True),
        ("slots", "8"),
        ("service", ""),
        ("zone", 4),
        ("born", 1.5),
    ]
    for name, value in faults:
        try:
            read_endpoint("e", json.dumps(sound | {name: value}).encode())
        except BadRecordError as error:
            assert name in str(error) or value in {"nowhere", "resting"}
        else:
            raise AssertionError(name)


# Logs


def voluntary_switches():
    """Return how often this thread has waited for anything."""
    return resource.getrusage(resource.RUSAGE_THREAD).ru_nvcsw


@case("a stalled reader of logs does not block the process")
def _():
    async def play():
        reader, writer = os.pipe()
        buffer = _logs.configure_buffered("info", InstanceId("i"))
        log = _logs.component_logger("test")
        longest, waits = 0.0, 0
        # As instances do, so that the heap of the test run is not collected meanwhile.
        gc.collect()
        gc.freeze()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(write_lines, buffer, writer)
            for number in range(6000):
                switches, begun = voluntary_switches(), time.thread_time()
                log.info(f"Line {number}.", extra={"pad": "x" * 200})
                longest = max(longest, time.thread_time() - begun)
                waits += voluntary_switches() - switches
                if number % 500 == 0:
                    await trio.sleep(0.01)
            log.warning("Kept.", extra={"pad": "x"})
            assert buffer.size <= MAX_BUFFERED_BYTES
            assert buffer.dropped > 0
            assert any(b"Kept." in line for line in buffer.lines)
            assert waits == 0 and longest < 0.05
            nursery.cancel_scope.cancel()
        gc.unfreeze()
        os.close(reader)
        os.close(writer)

    trio.run(play)
    logging.getLogger().handlers[:] = []


@case("a flood of one line is sampled and errors are kept")
def _():
    buffer = _logs.configure_buffered("info", InstanceId("i"))
    log = _logs.component_logger("test")
    for number in range(2000):
        log.info("Same.", extra={"n": number})
    for number in range(300):
        log.warning("Fault.", extra={"n": number})
    lines = [json.loads(line) for line in buffer.lines]
    count = Counter(line["message"] for line in lines)
    assert count["test: Fault."] == 300
    assert 200 <= count["test: Same."] < 500
    assert buffer.sampled == 2000 - count["test: Same."]
    logging.getLogger().handlers[:] = []


@case("request keys differ after a restart")
def _():
    keys = set()
    for incarnation in (1, 2):
        callers = RoutedHandler(
            InstanceId("i"),
            None,
            None,
            None,
            random.Random(1),
            5.0,
            None,
            None,
            None,
            None,
            None,
            None,
            None,
            None,
            None,
            None,
            incarnation=incarnation,
        )
        for number in range(3):
            keys.add(callers.new_key(f"r{number}"))
    assert len(keys) == 6


@case("a request is explained from its log lines")
def _():
    def line(second, instance, message, **fields):
        value = {"time": f"10:00:{second:02}", "instance": instance}
        return json.dumps(value | {"message": message, "level": "INFO"} | fields)

    texts = [
        "2.1 i1 " + line(3, "i1", "request: Refused.", request="r1", reason="quota"),
        line(2, "i2", "home: Refused.", request="r1", reason="quota", waiting=7),
        line(1, "i1", "request: Ended.", request="r2", how="answered"),
        "no line at all",
        '{"cut',
    ]
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "log"
        path.write_text("\n".join(texts))
        tool = [sys.executable, "-m", "savorydyke._cli"]

        def run(*words):
            return subprocess.run([*tool, *words], capture_output=True, text=True)

        shown = run("explain", "r1", str(path))
        rows = shown.stdout.splitlines()
        assert shown.returncode == 0 and len(rows) == 2, shown
        assert "i2  home: Refused.  reason=quota waiting=7" in rows[0]
        assert run("explain", "r3", str(path)).returncode == 1
        assert run("explain", "r1", folder + "/none").returncode == 2
        counted = run("causes", "--json", str(path))
        assert json.loads(counted.stdout)["request: Ended. answered"] == 1


@case("an endpoint's stand-in records the end of a connection that its script notices")
def _():
    async def play():
        async def notice(_):
            raise trio.BrokenResourceError

        endpoint = RoutedEndpoint([notice])
        async with trio.open_nursery() as nursery:
            ports = PortPool()
            address = ports.take()
            await nursery.start(endpoint.listen, address)
            host, _, port = address.partition(":")
            stream = await trio.open_tcp_stream(host, int(port))
            await stream.send_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            await stream.receive_some()
            nursery.cancel_scope.cancel()
        assert endpoint.received_requests[0].closed_at is not None

    trio.run(play)


@case("test processes that run at once take different ports")
def _():
    first, second = PortPool(), PortPool()
    taken = {first.take() for _ in range(600)} | {second.take() for _ in range(600)}
    assert len(taken) == 1200, len(taken)


@case("the page of log messages names all messages in the code")
def _():
    root = Path(__file__).parents[2]
    page = (root / "docs" / "LOGS.md").read_text()
    routed = (
        "_gateway",
        "_gateway_run",
        "_directory",
        "_routed_handler",
        "_ingress",
        "_pool_host",
        "_peers",
        "_quota_balances",
        "_quota_records",
        "_endpoint_ways",
        "_endpoint_observer",
        "_forwarded_requests",
        "_lost_answers",
        "_late_answers",
        "_stream_records",
    )
    pattern = re.compile(r'log\.(?:info|warning|error|exception)\(\s*"([^"]+)"')
    for name in routed:
        text = (root / "src" / "savorydyke" / f"{name}.py").read_text()
        part = re.search(r'_logs\.component_logger\("(\w+)"\)', text).group(1)
        for message in pattern.findall(text):
            assert f"`{part}: {message}`" in page, (part, message)


FIRST_GRANT_S = 0.25
"""Time within which a new coordinator of an idle pool grants."""

# Prompts that crash endpoints

CONTACT_S = 3.0
"""Time within which the fleet has to act on what single instances know."""
SETTLED_S = SETTLE_S + 0.01


def lose(quarantine, number, at, parts=("first", "bad"), took_s=0.1):
    """Record that a process ended under a request that was sent `took_s` before."""
    process = process_id(f"e{number}", 1)
    quarantine.record_loss(process, parts, at - took_s, at)
    quarantine.record_end(process)


def held_after(quarantine, now):
    """Return the parts that are held back once the latest ends have settled."""
    quarantine.review(now + SETTLED_S)
    return quarantine.held


@case("a part is held back after three ends in a row, and its neighbours are not")
def _():
    quarantine = Quarantine()
    quarantine.record_answer(["first", "second"], 0.0)
    for number in range(2):
        lose(quarantine, number, 1.0 + number, ("first", "second", "bad"))
    assert not held_after(quarantine, 2.0)
    lose(quarantine, 2, 3.0, ("first", "other", "bad"))
    quarantine.review(3.0 + SETTLE_S / 2)
    assert not quarantine.held
    assert held_after(quarantine, 3.0) == {"bad"}
    assert quarantine.held_suspect(("first", "bad"), 4.0) is not None
    assert quarantine.held_suspect(("first", "second"), 4.0) is None


@case("a part of prompts that were answered before needs more ends")
def _():
    quarantine = Quarantine()
    quarantine.record_answer(["first", "bad"], 0.0)
    quarantine.record_answer(["first"], 0.5)
    for number in range(4):
        lose(quarantine, number, 1.0 + number)
    assert not held_after(quarantine, 4.0)
    lose(quarantine, 4, 5.0)
    # The part whose answer is older is held back, and not the one of all prompts.
    assert held_after(quarantine, 5.0) == {"bad"}


@case("a part that crashes endpoints of one pool is held back at all pools")
def _():
    prefix = (("first", 60), ("bad", 300), ("own", 20))
    assert shared_parts(prefix) == ("first", "bad")
    assert shared_parts(prefix[:1]) == ()
    quarantine = Quarantine()
    for number in range(3):
        lose(quarantine, number, 1.0 + number, shared_parts(prefix))
    assert held_after(quarantine, 3.0) == {"bad"}
    scheduler = scheduler_of("a")
    scheduler.quarantine = quarantine
    assert refused(scheduler.acquire(acquire("1", suspects=("bad",)), FRONTEND, 3.5))


@case("endpoints that end together hold no part back")
def _():
    quarantine = Quarantine()
    for number in range(9):
        lose(quarantine, number, 1.0 + 0.01 * number)
    assert not held_after(quarantine, 1.1)


@case("broken answers of endpoints that are still there hold no part back")
def _():
    quarantine = Quarantine()
    for number in range(9):
        process = process_id(f"e{number}", 1)
        quarantine.record_loss(process, ("first", "bad"), number, number + 0.1)
    assert not held_after(quarantine, 9.0)
    # A peer tells that three have ended.
    for number in range(3):
        quarantine.record_end(process_id(f"e{number}", 1))
    assert held_after(quarantine, 9.0) == {"bad"}


@case("a complete answer clears the parts of its prompt, at all instances")
def _():
    quarantine, peer = Quarantine(), Quarantine()
    for number in range(3):
        lose(quarantine, number, 1.0 + number, ("first",))
    peer.merge(quarantine.rows(3.5), 3.5)
    assert held_after(quarantine, 3.5) == held_after(peer, 3.5) == {"first"}
    peer.record_answer(["first"], 4.0)
    assert not peer.held
    quarantine.merge(peer.rows(4.1), 4.1)
    assert not quarantine.held
    # The evidence of before, told again, does not count any more.
    other = Quarantine()
    for number in range(3):
        lose(other, number, 1.0 + number, ("first",))
    quarantine.merge(other.rows(4.2), 4.2)
    assert not held_after(quarantine, 4.2)


@case("a second part that crashes endpoints is found beside the first one")
def _():
    quarantine = Quarantine()
    quarantine.record_answer(["first"], 0.5)
    for number in range(3):
        lose(quarantine, number, 1.0 + number, ("first", "bad"))
    assert held_after(quarantine, 3.0) == {"bad"}
    for number in range(3, 6):
        lose(quarantine, number, 1.0 + number, ("first", "worse"))
    assert held_after(quarantine, 6.0) == {"bad", "worse"}


@case("one request at a time is the trial of a part, and rarer after each end")
def _():
    scheduler = scheduler_of("a", "b")
    quarantine = scheduler.quarantine
    for number in range(3):
        lose(quarantine, number, 1.0 + number)
    now = 3.0 + SETTLED_S
    quarantine.review(now)
    (refusal,) = refused(
        scheduler.acquire(acquire("1", suspects=("bad",)), FRONTEND, now)
    )
    assert refusal.reason is Reason.HELD_BACK and not refusal.may_have_run
    delay_s = TRIAL_DELAYS_S[1]
    assert 0 < refusal.retry_ms <= 1500 * delay_s
    now = 3.0 + delay_s
    assert granted(scheduler.acquire(acquire("2", suspects=("bad",)), FRONTEND, now))
    assert refused(
        scheduler.acquire(acquire("3", suspects=("bad",)), FRONTEND, now + 0.1)
    )
    assert granted(scheduler.acquire(acquire("4", suspects=("first",)), FRONTEND, now))
    lose(quarantine, 3, now + 0.2)
    assert quarantine.trial_at("bad", 99.0) == now + 0.2 + TRIAL_DELAYS_S[2]


@case("waiting requests with a part that is then held back are refused")
def _():
    scheduler = scheduler_of("a", slots=1)
    scheduler.acquire(acquire("0"), FRONTEND, 3.0)
    for key, parts in (("1", ("bad",)), ("2", ("first",))):
        message = acquire(key, suspects=parts, objective_ms=9000)
        assert not scheduler.acquire(message, FRONTEND, 3.0)
    for number in range(3):
        lose(scheduler.quarantine, number, 1.0 + number)
    scheduler.quarantine.review(3.0 + SETTLED_S)
    (refusal,) = refused(scheduler.refuse_held(3.5))
    assert refusal.key.endswith("/1") and refusal.reason is Reason.HELD_BACK
    assert len(scheduler.queue) == 1


@case("a frontend without its coordinator does not place a part that is held back")
def _():
    async def play():
        gateway = unconnected_gateway()
        manifest = build_manifest(configuration(), {"a": record("a")})
        gateway.directory.manifest = manifest
        demand = {
            "key": "k",
            "pool": POOL,
            "team": CREW,
            "model": "",
            "prompt_tokens": 1,
            "output_tokens": 1,
            "prefix": (),
            "deadline": 9.0,
            "has_caller_id": False,
        }
        bad = Demand(**demand, suspects=("first", "bad"))
        gateway.fallback_quotas.limits = {}
        assert gateway.place_fallback(bad, ()) == "a"
        now = trio.current_time()
        for number in range(3):
            lose(gateway.quarantine, number, now - 9.0 + number)
        gateway.quarantine.review(now)
        # Not as a trial either, which only the coordinator may start.
        assert gateway.quarantine.held_suspect(("bad",), now + 60.0) is None
        assert gateway.place_fallback(bad, ()) is None
        sound = Demand(**demand, suspects=("first",))
        assert gateway.place_fallback(sound, ()) == "a"

    trio.run(play)


@case("a new instance does not hold back a part that others have seen answered")
def _():
    told, new = Quarantine(), Quarantine()
    told.record_answer(("first", "other"), 0.0)
    # What the two earlier ends and a killed instance's request have in common.
    lose(told, 1, 1.0)
    lose(told, 2, 2.0)
    lose(told, 3, 3.0, parts=("first", "other"))
    for number in (1, 2, 3):
        told.record_end(process_id(f"e{number}", 1))
    now = 3.0 + SETTLED_S
    new.merge(told.rows(now), now)
    for quarantine in (told, new):
        quarantine.review(now)
        assert "first" not in quarantine.held, quarantine.held
    # Enough ends hold it back at both.
    for number in (4, 5):
        for quarantine in (told, new):
            lose(quarantine, number, now + number, parts=("first", "other"))
            quarantine.record_end(process_id(f"e{number}", 1))
    for quarantine in (told, new):
        quarantine.review(now + 5 + SETTLED_S)
        assert "first" in quarantine.held, quarantine.suspects


REQUEST = "request:0123456789abcdef"


@case("a request is held back after three ends, also if they come at once")
def _():
    quarantine = Quarantine()
    quarantine.record_answer(["first", REQUEST], 0.0)
    for number in range(3):
        lose(quarantine, number, 1.0, ("first", f"own{number}", REQUEST))
    assert held_after(quarantine, 1.0) == {REQUEST}
    sound = ("first", "own3", "request:another")
    assert quarantine.held_suspect(sound, 1.5) is None


@case("repeated requests with a part that crashes endpoints do not explain it")
def _():
    quarantine = Quarantine()
    for number in range(6):
        at = 1.0 + number
        digest = f"request:{number // 3}"
        lose(quarantine, number, at, ("first", "bad", digest))
        quarantine.record_answer(["first"], at + 0.1)
    assert held_after(quarantine, 7.0) == {"bad", "request:0", "request:1"}


def try_until(quarantine, start, end, crash):
    """Send a held request whenever a trial is due; return the times of the trials."""
    scheduler = scheduler_of("a", "b")
    scheduler.quarantine = quarantine
    trials, now = [], start
    while now < end:
        message = acquire(f"trial-{now}", suspects=(REQUEST,))
        if granted(scheduler.acquire(message, FRONTEND, now)):
            quarantine.record_sent((REQUEST,), now)
            trials.append(now)
            crash(len(trials), now)
        now += 0.5 if now < start + 60 else 60.0
        quarantine.review(now)
    return trials


@case("a request that crashes endpoints is sent three times more at most, in a day")
def _():
    quarantine = Quarantine()
    for number in range(3):
        lose(quarantine, number, 1.0 + number, (REQUEST,))
    assert held_after(quarantine, 3.0) == {REQUEST}

    def crash(trial, now):
        lose(quarantine, 10 + trial, now + 0.1, (REQUEST,))

    trials = try_until(quarantine, 4.0, 80_000.0, crash)
    assert len(trials) == len(REQUEST_TRIAL_DELAYS_S) <= 3


@case("trials of a request are counted by an instance that starts later")
def _():
    quarantine, started = Quarantine(), Quarantine()
    for number in range(3):
        lose(quarantine, number, 1.0 + number, (REQUEST,))
    assert held_after(quarantine, 3.0)
    # The trial is told before it ends, also if its answer never comes.
    assert len(try_until(quarantine, 5.0, 6.0, lambda trial, now: None)) == 1
    started.merge(quarantine.rows(6.0), 6.0)
    assert held_after(started, 6.0) == {REQUEST}
    assert len(try_until(started, 6.5, 4000.0, lambda trial, now: None)) == 1


@case("a coordinator that does not reach most instances starts no trial of a request")
def _():
    scheduler = scheduler_of("a")
    for number in range(3):
        lose(scheduler.quarantine, number, 1.0 + number, ("first", REQUEST))
    scheduler.quarantine.review(4.0)
    scheduler.request_trials_enabled = False
    message = acquire("1", suspects=("first", REQUEST))
    assert refused(scheduler.acquire(message, FRONTEND, 30.0))
    sound = acquire("2", suspects=("other", "request:another"))
    assert granted(scheduler.acquire(sound, FRONTEND, 30.0))


@case("a sound request that was lost three times is released by its trial")
def _():
    quarantine = Quarantine()
    for number in range(3):
        lose(quarantine, number, 1.0 + number, (REQUEST,))
    assert held_after(quarantine, 3.0) == {REQUEST}

    def answer(trial, now):
        quarantine.record_answer((REQUEST,), now + 0.1)

    assert len(try_until(quarantine, 5.0, 20.0, answer)) > 5
    assert not quarantine.held


@case("evidence against requests is bounded in memory and in reports")
def _():
    quarantine = Quarantine()
    for number in range(3 * MAX_SUSPECTS):
        quarantine.record_answer((f"request:sound{number}",), 0.5)
        lose(quarantine, number, 1.0, (f"request:{number}", f"part{number}"))
    assert len(quarantine.suspects) <= MAX_SUSPECTS
    assert not quarantine.answered
    assert len(quarantine.rows(1.5)) <= 2 * MAX_ROWS


def large_fleet(new_state):
    """Return the states of 195 instances and their links to neighbours on the ring."""
    names = [f"instance-{number:03}" for number in range(195)]
    links = {name: set(ring_neighbours(name, names)) for name in names}
    for name in names:
        for neighbour in list(links[name]):
            links[neighbour].add(name)
    return {name: new_state() for name in names}, links


def spread(states, links, now, announced, field):
    """Send what has changed on all links; return the bytes that each instance sent."""
    changed = [n for n, state in states.items() if announced.get(n) != state.changes]
    messages = [(name, states[name].rows(now)) for name in changed]
    sent = Counter()
    for name, rows in messages:
        announced[name] = states[name].changes
        heartbeat = Heartbeat(1, 1, False, 1, 0, (), (), **{field: rows})
        for neighbour in links[name]:
            sent[name] += len(encode([heartbeat]))
            states[neighbour].merge(rows, now)
    return sent


@case("195 instances hold back a part in time, each at a bounded cost")
def _():
    quarantines, links = large_fleet(Quarantine)
    announced = dict.fromkeys(quarantines, 0)
    rng = random.Random(7)
    for number in range(5):
        # Each end is seen by another instance, in a crowd of broken sound answers.
        quarantine = quarantines[rng.choice(list(quarantines))]
        lose(quarantine, number, 0.1 + 0.2 * number, (f"sound-{number}", "bad"))
    now = last_end = 0.9
    sent = Counter()
    while any(quarantine.held != {"bad"} for quarantine in quarantines.values()):
        now += 0.25
        assert now <= last_end + CONTACT_S
        sent += spread(quarantines, links, now, announced, "losses")
        for quarantine in quarantines.values():
            quarantine.review(now)
    # The whole control traffic of an instance is to be at most 28 kB/s.
    assert max(sent.values()) / CONTACT_S < 28_000, sent.most_common(3)


@case("a report of evidence is bounded, and begins with the most suspect parts")
def _():
    quarantine = Quarantine()
    for number in range(300):
        lose(quarantine, number, 1.0, (f"sound-{number}",))
    for number in range(3):
        lose(quarantine, number, 2.0 + number, ("bad",))
    rows = quarantine.rows(4.5)
    assert len(rows) == MAX_ROWS
    assert [row.suspect for row in rows[:3]] == ["bad"] * 3
    # Later only what several ends speak against is told again.
    assert {row.suspect for row in quarantine.rows(60.0)} == {"bad"}


@case("evidence in the store keeps its age, and clocks that differ do no harm")
def _():
    quarantine = Quarantine()
    for number in range(3):
        lose(quarantine, number, 1.0 + number)
    record = encode_evidence(Evidence(quarantine.rows(10.0)), written_ms=1_000_000)
    for now_ms in (1_002_000, 990_000):
        other = Quarantine()
        losses = decode_evidence(record, now_ms).losses
        other.merge(losses, 100.0)
        assert held_after(other, 100.0) == {"bad"}
        latest = max(loss.at for loss in other.suspects["bad"].losses.values())
        age_s = 7.0 + max(0, now_ms - 1_000_000) / 1000
        assert abs(latest - (100.0 - age_s)) < 0.01


class EvidenceWrites:
    """A store that takes writes of evidence."""

    def __init__(self):
        self.generation, self.keys, self.values = 1, [], []

    async def open_lease(self, ttl_s):
        """Return a lease that outlives a power loss of the fleet."""
        assert ttl_s >= 60
        return 7

    async def write(self, values, lease):
        """Record a write."""
        assert lease == 7
        self.keys += values
        self.values += values.values()


@case("evidence that an instance wrote while it was alone is removed later")
def _():
    async def play():
        writes = EvidenceWrites()
        names = [InstanceId(f"instance-{number}") for number in range(3)]
        chosen = max(names, key=lambda name: rendezvous_score("evidence", name))
        own = next(name for name in names if name != chosen)
        membership = Membership(own, "i:1", "dc", 1)
        now = trio.current_time()
        for name in names:
            membership.merge_row(MemberRow(name, "i:1", "dc", 1, 1, 0, False), now)
        membership.update(now)
        quarantine, limits = Quarantine(), RequestLimits()
        shared = SharedEvidence(writes, quarantine, limits, RequestLimits(), membership)
        limits.record_answer("a", 2.0, now, now)
        await shared.write()
        assert decode_evidence(writes.values[-1], 0).limits
        for member in membership.members.values():
            member.acknowledged_at = now
        for _ in range(3):
            limits.record_answer("a", 2.0 + len(writes.keys), now, now + 1.0)
            await shared.write()
        assert len(writes.values) == 2, writes.values
        assert decode_evidence(writes.values[-1], 0) == Evidence()

    trio.run(play)


@case("one instance writes evidence to the store, and each that reaches no others")
def _():
    async def play(names, is_cut=False):
        writes = EvidenceWrites()
        for own in names:
            membership = Membership(own, "i:1", "dc", 1)
            now = trio.current_time()
            for name in names:
                row = MemberRow(name, f"{name}:1", "dc", 1, 1, 0, False)
                membership.merge_row(row, now)
            # In a large fleet only neighbours acknowledge heartbeats.
            is_large = len(names) > MAX_FULL_MESH
            peers = ring_neighbours(own, names) if is_large else set(names) - {own}
            for peer in set() if is_cut else peers:
                membership.members[peer].acknowledged_at = now
            membership.update(now)
            quarantine = Quarantine()
            limits = RequestLimits()
            shared = SharedEvidence(
                writes, quarantine, limits, RequestLimits(), membership
            )
            await shared.write()
            # While nothing speaks against any part there is no call.
            assert not writes.keys or not writes.keys[-1].endswith(own)
            lose(quarantine, 1, now)
            await shared.write()
            await shared.write()
        return writes.keys

    for count in (3, 195):
        names = [InstanceId(f"instance-{number:03}") for number in range(count)]
        written = trio.run(play, names)
        assert len(written) == 1, len(written)
        # Each that is cut off writes, also while it still takes the others for alive.
        written = trio.run(play, names[:20], True)
        assert len(written) == len(names[:20]), written


# Limits of endpoints

LIMIT_WINDOW_S = 4.0


def allowed_in_window(per_s):
    """Return how many requests an endpoint may get in a window."""
    return 1.5 * LIMIT_WINDOW_S * per_s + 5


def worst_count(times):
    """Return the most requests in a window."""
    return max(
        (sum(0 <= at - begin < LIMIT_WINDOW_S for at in times) for begin in times),
        default=0,
    )


@case("limits that are not numbers are refused, and very large ones are bounded")
def _():
    assert parse_limit("1.3") == 1.3 and parse_limit("0") == 0.0
    assert parse_limit("inf") == parse_limit("1e30") < 1e9
    for text in ("", "soon", "-1", "nan", "1,5"):
        try:
            parse_limit(text)
        except BadLimitError:
            continue
        raise AssertionError(text)


@case("a burst beyond an endpoint's limit waits or goes to other endpoints")
def _():
    for per_s in (0.0, 0.4, 1.3, 20.0):
        scheduler = scheduler_of("limited", "free", slots=8)
        scheduler.set_limit("limited", per_s, 0.0)
        times, ends = [], []
        for step in range(800):
            now = 0.025 * step
            for key, endpoint, at in [e for e in ends if e[2] <= now]:
                end(scheduler, key, endpoint, now)
                ends.remove((key, endpoint, at))
            message = acquire(str(step), objective_ms=3000)
            for decision in scheduler.acquire(message, FRONTEND, now) + scheduler.tick(
                now
            ):
                if isinstance(decision.answer, Grant):
                    key = decision.answer.key.rpartition("/")[2]
                    start(scheduler, key, now, 0.03)
                    ends.append((key, decision.answer.endpoint, now + 0.3))
                    if decision.answer.endpoint == "limited":
                        times.append(now)
        assert worst_count(times) <= allowed_in_window(per_s), (per_s, times)
        # The other endpoint can not take all of this load.
        assert len(times) >= 0.5 * min(per_s, 10.0) * 20, (per_s, len(times))


@case("an endpoint that takes no requests is tried now and then")
def _():
    for share in (1.0, 1 / 9):
        allowance = RequestAllowance(0.0, 7, 0.0, share=share)
        times = []
        for step in range(12_000):
            now = 0.1 * step
            if allowance.allows(now):
                allowance.take(now)
                times.append(now)
        # Only an answer that names no limit ends it.
        assert times and worst_count(times) <= allowed_in_window(0.0), times


@case("requests wait for a pool whose endpoints all have a limit")
def _():
    scheduler = scheduler_of("a", "b")
    for name in ("a", "b"):
        scheduler.set_limit(name, 2.0, 0.0)
    assert not scheduler.acquire(acquire("1"), FRONTEND, 0.0)
    assert not scheduler.tick(0.4)
    assert granted(scheduler.tick(0.6)) == ["a"]
    # A request that did not reach the endpoint does not count.
    end(scheduler, "1", "a", 0.6, ReleaseResult.UNREACHABLE)
    assert scheduler.endpoints["a"].allowance.allows(0.6)


@case("a new coordinator knows the limits, and gives no burst of its own")
def _():
    async def play():
        gateway = unconnected_gateway()
        gateway.directory.manifest = build_manifest(
            configuration(), {"a": record("a"), "b": record("b")}
        )
        now = trio.current_time()
        gateway.limits.record_answer("a", 2.0, now, now)
        gateway.pool_host.handle(FRONTEND, Register(POOL, True, ()))
        scheduler = gateway.pool_host.hosted[POOL].scheduler
        assert not scheduler.endpoints["a"].usable(now)
        assert scheduler.endpoints["a"].usable(now + 0.6)
        assert scheduler.endpoints["b"].usable(now)
        # Another process of the endpoint has said nothing.
        for listener in gateway.directory.restart_listeners:
            listener("a")
        assert scheduler.endpoints["a"].usable(now)

    trio.run(play)


@case("instances that are cut off from each other stay within a limit together")
def _():
    for count in (9, 195):
        for per_s in (0.5, 1.3, 10.0):
            times = []
            allowances = [
                RequestAllowance(per_s, salt, 0.0, share=1 / count)
                for salt in range(count)
            ]
            for step in range(1200):
                now = 0.05 * step
                # After a pause all of them want to send at once.
                if now < 20.0 or now > 40.0:
                    for allowance in allowances:
                        if allowance.allows(now):
                            allowance.take(now)
                            times.append(now)
            assert worst_count(times) <= allowed_in_window(per_s), (count, per_s)
            assert len(times) >= 0.5 * per_s * 40.0, (count, per_s, len(times))


@case("a frontend without its coordinator keeps a part of an endpoint's limit")
def _():
    async def play():
        gateway = unconnected_gateway()
        gateway.directory.manifest = build_manifest(
            configuration(), {"a": record("a", slots=1000)}
        )
        gateway.membership.listed = {f"i{number}" for number in range(9)}
        now = trio.current_time()
        gateway.limits.record_answer("a", 2.0, now, now)
        demand = Demand("k", POOL, CREW, "", 1, 1, (), now + 9.0, False)
        begun, placed = now, 0
        while trio.current_time() < begun + 60.0:
            placed += gateway.place_fallback(demand, ()) is not None
            await trio.sleep(0.05)
        assert 0 < placed <= 60.0 * 2.0 / 9

    trio.run(play, clock=MockClock(autojump_threshold=0))


@case("an endpoint's limit ends with an answer to a later request that names none")
def _():
    limits = RequestLimits()
    limits.record_answer("a", 2.0, sent=1.0, now=2.0)
    # This request was sent before the endpoint named its limit.
    limits.record_answer("a", None, sent=1.5, now=2.5)
    assert limits.limit("a") == 2.0
    limits.record_answer("a", 2.0, sent=2.5, now=3.0)
    assert limits.changes == 1
    peer = RequestLimits()
    peer.merge(limits.rows(3.0), 103.0)
    assert peer.limit("a") == 2.0
    limits.record_answer("a", None, sent=3.1, now=3.2)
    peer.merge(limits.rows(3.3), 103.3)
    assert limits.limit("a") is None and peer.limit("a") is None
    # What is older does not come back.
    late = RequestLimits()
    late.record_answer("a", 2.0, sent=2.5, now=3.0)
    limits.merge(late.rows(3.4), 3.4)
    assert limits.limit("a") is None


@case("195 instances learn of a limit in time, each at a bounded cost")
def _():
    states, links = large_fleet(RequestLimits)
    announced = dict.fromkeys(states, 0)
    names = list(states)
    for number in range(30):
        states[names[5 * number]].record_answer(f"e{number}", 1.5, 0.0, 0.1)
    now, sent = 0.1, Counter()
    while any(len(state.named) < 30 for state in states.values()):
        now += 0.25
        assert now <= CONTACT_S
        sent += spread(states, links, now, announced, "limits")
    assert max(sent.values()) / CONTACT_S < 28_000, sent.most_common(3)
    # A limit that is named again and again is no news.
    changes = [state.changes for state in states.values()]
    for state in states.values():
        state.record_answer("e1", 1.5, 1.0, 2.0)
    assert changes == [state.changes for state in states.values()]


# Software versions of streams


def manifest_of(**versions):
    """Return a manifest with an endpoint of each name, and its version."""
    records = {n: replace(record(n), version=v) for n, v in versions.items()}
    return build_manifest(configuration(), records)


def versions_known_since(manifest, start, now):
    """Return what an instance knows that has listed these endpoints since `start`."""
    versions = StreamVersions()
    asked = start
    while asked <= now:
        if asked == start:
            versions.observe_listing(asked)
            versions.observe_endpoints(manifest, asked)
        versions.observe_view(asked)
        asked += 1.0
    return versions


@case("a stream that nobody knows goes on if its pool has had one version only")
def _():
    manifest = manifest_of(a="v1", b="v1")
    now = KEPT_S + 1.0
    versions = versions_known_since(manifest, 0.0, now)
    assert versions.only_version(POOL, now, now, True) == "v1"
    # The stream was asked for after the list, in which a version may be missing.
    assert versions.only_version(POOL, now + 0.1, now + 0.1, True) == UNKNOWN_VERSION
    versions.observe_view(now + 0.1)
    assert versions.only_version(POOL, now + 0.2, now + 0.1, True) == "v1"


@case("a stream that nobody knows does not go on soon after a start")
def _():
    versions = versions_known_since(manifest_of(a="v1"), 0.0, KEPT_S - 1.0)
    now = KEPT_S - 1.0
    assert versions.only_version(POOL, now, now, True) == UNKNOWN_VERSION


@case("a version whose endpoints have left counts as long as a stream may be taken up")
def _():
    now = KEPT_S + 1.0
    versions = versions_known_since(manifest_of(a="v1", b="v2"), 0.0, now)
    versions.observe_endpoints(manifest_of(b="v2"), now)
    assert versions.only_version(POOL, now, now, True) == UNKNOWN_VERSION
    asked = now
    while asked < now + KEPT_S + 1.0:
        asked += 1.0
        versions.observe_view(asked)
    assert versions.only_version(POOL, asked, asked, True) == "v2"


@case("versions that came and went while the store was away are not ruled out")
def _():
    now = KEPT_S + 1.0
    versions = versions_known_since(manifest_of(a="v1"), 0.0, now)
    after = now + MAX_GAP_S + 1.0
    versions.observe_listing(after)
    versions.observe_view(after)
    assert versions.only_version(POOL, after, after, True) == UNKNOWN_VERSION


@case("versions that came and went are known from the history of the store")
def _():
    now = KEPT_S + 1.0
    versions = versions_known_since(manifest_of(a="v1"), 0.0, now)
    # One answer brings an endpoint's record and its removal, after a long time.
    after = now + MAX_GAP_S + 1.0
    versions.observe_record(POOL, "v2", after)
    versions.observe_endpoints(manifest_of(a="v1"), after)
    versions.observe_view(after)
    assert versions.only_version(POOL, after, after, True) == UNKNOWN_VERSION
    later = after + KEPT_S + 0.1
    versions.observe_view(later)
    assert versions.only_version(POOL, later, later, True) == "v1"


@case("what an instance keeps about streams is bounded in number and in time")
def _():
    versions = StreamVersions()
    for number in range(MAX_STREAMS + 100):
        versions.record(POOL, f"crew/r{number}", "v1", 1.0)
    assert len(versions.streams) == MAX_STREAMS
    versions.drop_old(1.0 + KEPT_S + 0.1)
    assert not versions.streams


@case("a request for one version is granted endpoints of that version only")
def _():
    scheduler = scheduler_of("a", "b")
    scheduler.reconfigure(manifest_of(a="v1", b="v2"), 0.0)
    for number in range(3):
        message = acquire(str(number), version="v2", prompt_tokens=1)
        assert granted(scheduler.acquire(message, FRONTEND, 1.0)) == ["b"]
    (refusal,) = refused(scheduler.acquire(acquire("9", version="v3"), FRONTEND, 1.0))
    assert refusal.reason is Reason.NO_ENDPOINT and not refusal.may_have_run


@case("a frontend without its coordinator lets no stream go on at another version")
def _():
    async def play():
        gateway = unconnected_gateway()
        gateway.fallback_quotas.limits = {}
        gateway.directory.manifest = manifest_of(a="v1", b="v2")
        demand = Demand(
            key="k",
            pool=POOL,
            team=CREW,
            model="",
            prompt_tokens=1,
            output_tokens=1,
            prefix=(),
            deadline=9.0,
            has_caller_id=False,
            stream="crew/r1",
            has_begun=True,
        )
        assert gateway.place_fallback(demand, ()) is None
        gateway.pool_host.versions.record(POOL, "crew/r1", "v2", boot_time())
        assert gateway.place_fallback(demand, ()) == "b"

    trio.run(play)


@case("telling 195 instances' streams costs their coordinators a bounded part")
def _():
    # 10,000 streams a second in 36 pools, each told to one other instance.
    per_tell = round(10_000 / 36 * STREAM_TELL_S)
    streams = tuple(f"customer-{n:03}/{n:016x}" for n in range(per_tell))
    frame_bytes = len(encode([StreamPush("v1.12", streams)]))
    # The whole control traffic of an instance is to be at most 28 kB/s.
    assert frame_bytes / STREAM_TELL_S < 28_000 / 2, frame_bytes / STREAM_TELL_S


def streaming_request(last_event_id="", sent_to=()):
    """Return a request for a stream that arrived at 10 s and expires at 18 s."""
    route = SimpleNamespace(objective_s=0.3, abandon_after_s=2.4)
    return RoutedRequest(
        incoming=SimpleNamespace(arrived=10.0),
        responder=None,
        request_info=SimpleNamespace(last_event_id=last_event_id),
        route=route,
        team=TeamId("crew"),
        pool=PoolId("engines"),
        expires=18.0,
        quota_tokens=0,
        config_version=1,
        config_age_s=0.0,
        tier=None,
        digest=None,
        sent_to=list(sent_to),
        stream=RequestKey("crew/r1"),
    )


@case("a stream that is taken up may go on later than a new one may begin")
def _():
    assert streaming_request().due_times() == (10.3, 12.4)
    assert streaming_request(last_event_id="7").due_times() == (18.0, 18.0)
    assert streaming_request(sent_to=["e1"]).due_times() == (18.0, 18.0)


class RecordingStore:
    """A store that keeps what is written."""

    def __init__(self):
        self.generation = 1
        self.values = {}

    async def open_lease(self, ttl_s):
        """Return a lease."""
        return self.generation

    async def write(self, values, lease=0):
        """Keep values."""
        self.values |= values

    async def overwrite(self, key, value):
        """Keep a value."""
        self.values[key] = value

    def streams(self, pool):
        """Return the streams of a pool that are stored."""
        prefix = streams_key(pool, "")
        records = [json.loads(v) for k, v in self.values.items() if prefix in k]
        return {s for r in records for streams in r.values() for s in streams}


async def write_streams(store, pools, seconds):
    """Let streams begin at two versions in some pools, and store them."""
    versions = StreamVersions()
    membership = Membership(InstanceId("me"), "127.0.0.1:1", "a", 1)
    records = StreamRecords(store, versions, RoutePools(), membership)
    for pool in pools:
        names = [SoftwareVersion("v1"), SoftwareVersion("v2")]
        versions.listed[pool] = set(names)
        versions.last_seen[pool] = dict.fromkeys(names, 100.0)
    for tick in range(int(4 * seconds)):
        now = 100.0 + tick / 4
        for pool in pools:
            for version in ("v1", "v2"):
                stream = RequestKey(f"{pool}/{version}/{tick}")
                versions.record_coordinated(pool, stream, version, now)
        versions.drop_old(now)
        await records.write(now)
    return records


@case("all streams of several pools that may be taken up are stored")
def _():
    pools = [PoolId(f"pool{number}") for number in range(3)]
    store = RecordingStore()
    trio.run(write_streams, store, pools, 60.0)
    for pool in pools:
        stored = store.streams(pool)
        recent = {f"{pool}/v1/{tick}" for tick in range(240 - 4 * 30, 240)}
        assert recent <= stored, (pool, len(recent - stored))


@case("streams are stored again after a restore of the store")
def _():
    store = RecordingStore()

    async def restore():
        records = await write_streams(store, [PoolId("pool0")], 10.0)
        store.generation, store.values = 2, {}
        await records.write(110.0)

    trio.run(restore)
    assert len(store.streams(PoolId("pool0"))) == 80


@case("digests of 64 bits pass between instances")
def _():
    message = acquire("r", prefix=(2**64 - 1, 2**63))
    assert decode(encode([message])) == [message]

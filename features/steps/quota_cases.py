"""Test cases for quotas that a fleet keeps, however its coordinators fare."""

import logging
import random

import trio
from decision_cases import (
    CREW,
    FRONTEND,
    POOL,
    acquire,
    case,
    configuration,
    record,
    unconnected_gateway,
)
from quota_simulation import POOLS, WINDOW_S, SimulatedFleet, allowed
from trio.testing import MockClock

from savorydyke._directory import build_manifest
from savorydyke._messages import Grant
from savorydyke.platform import StoreFault

RATE = 100_000
USUAL = RATE / 1.8
TEAMS = {"crew": RATE, "hot": RATE}
SMALL_FLEET, LARGE_FLEET = 9, 61
APPLY_S = 3.0
"""Time within which a changed quota is in force everywhere."""


def play(count, seed, act, seconds=14.0, hot_pools=POOLS[:1], hot=2.0, rates=None):
    """Let teams request tokens, one of them more than its quota, while `act` runs.

    Returns
    -------
    SimulatedFleet
        After its end.
    """
    fleet = SimulatedFleet(count, rates or TEAMS, seed)

    async def run():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.load, "crew", POOLS[0], USUAL, seconds)
            for pool in hot_pools:
                rate = fleet.rates["hot"] * hot
                nursery.start_soon(fleet.load, "hot", pool, rate, seconds)
            await act(fleet)
        # The last requests are answered.
        await trio.sleep(1.0)

    logging.disable(logging.CRITICAL)
    try:
        trio.run(fleet.run, run, clock=MockClock(autojump_threshold=0))
    finally:
        logging.disable(logging.NOTSET)
    return fleet


def assert_within(fleet, what):
    """Assert that no team got more than is allowed in any window."""
    for team, rate in fleet.rates.items():
        worst = fleet.worst_window(team)
        assert worst <= allowed(rate), (what, team, worst, allowed(rate))


async def nothing(fleet):
    """Do nothing."""


async def slow_coordinator(fleet):
    """Let the coordinator handle messages late for some seconds, but not stop."""
    await trio.sleep(3.0)
    name = fleet.coordinator()
    fleet.instances[name].lag_s = 0.5
    await trio.sleep(5.0)
    if name in fleet.instances:
        fleet.instances[name].lag_s = 0.0


async def all_slow(fleet):
    """Let all instances handle messages late."""
    await trio.sleep(3.0)
    for instance in fleet.instances.values():
        instance.lag_s = 0.25
    await trio.sleep(5.0)
    for instance in fleet.instances.values():
        instance.lag_s = 0.0


async def split(fleet, share=3):
    """Cut a third of the instances off from the others."""
    await trio.sleep(3.0)
    for number, instance in enumerate(fleet.instances.values()):
        instance.group = int(number % share == 0)
    await trio.sleep(6.0)
    for instance in fleet.instances.values():
        instance.group = 0


async def scattered(fleet):
    """Cut a third of the instances off, each alone."""
    await trio.sleep(3.0)
    for number, instance in enumerate(fleet.instances.values()):
        instance.group = number if number % 3 == 0 else 0
    await trio.sleep(6.0)
    for instance in fleet.instances.values():
        instance.group = 0


async def halved(fleet):
    """Split the instances into halves."""
    await split(fleet, 2)


async def kill_coordinator(fleet):
    """Kill the coordinator and start it again."""
    await trio.sleep(3.0)
    name = fleet.coordinator()
    fleet.kill(name)
    await trio.sleep(4.0)
    fleet.start(name)


async def coordinators_by_turns(fleet):
    """Let one coordinator after the other have too much work and hand over."""
    await trio.sleep(2.0)
    for _ in range(5):
        name = fleet.coordinator()
        instance = fleet.instances[name]
        membership = instance.gateway.membership
        membership.slow = True
        membership.notify()
        instance.lag_s = 0.3
        await trio.sleep(1.2)
        membership.slow = False
        membership.notify()
        instance.lag_s = 0.0
        await trio.sleep(0.4)


async def store_down(fleet):
    """Let coordinators change while the store does not answer."""
    await trio.sleep(2.0)
    fleet.store.is_down = True
    await coordinators_by_turns(fleet)
    fleet.store.is_down = False


async def restart_all(fleet):
    """Kill all instances, and start them one after the other."""
    await trio.sleep(5.0)
    for name in fleet.names:
        fleet.kill(name)
    await trio.sleep(1.0)
    for name in fleet.names:
        fleet.start(name)
        await trio.sleep(0.5 / len(fleet.names))
    await trio.sleep(4.0)


async def restart_by_turns(fleet):
    """Restart every instance, one after the other, as an upgrade does."""
    await trio.sleep(2.0)
    for name in fleet.names:
        fleet.kill(name)
        await trio.sleep(0.3)
        fleet.start(name)
        await trio.sleep(9.0 / len(fleet.names))


async def kill_half(fleet):
    """Kill half of the instances."""
    await trio.sleep(4.0)
    for name in fleet.names[::2]:
        fleet.kill(name)
    await trio.sleep(4.0)
    for name in fleet.names[::2]:
        fleet.start(name)


# What callers of one data centre send comes through the coordinator, so that no other
# instance reports it.


def through_coordinator(act):
    """Let all requests come through the coordinator until `act` has ended it."""

    async def run(fleet):
        fleet.entry = fleet.coordinator()
        await act(fleet)

    run.__name__ = act.__name__
    return run


def turned_away(fault, after_s=0.0):
    """Return a situation in which the store turns the coordinator away, then a kill."""

    async def act(fleet):
        name = fleet.coordinator()
        view = fleet.instances[name].gateway.quota_balances.store
        view.fault, view.fails_after_s = fault, after_s
        await trio.sleep(4.0)
        fleet.kill(name)
        await trio.sleep(5.0)
        fleet.start(name)

    return through_coordinator(act)


async def late_write(fleet):
    """Let a write be carried out after newer ones, and kill the coordinator."""
    fleet.store.lost_writes = 1
    await trio.sleep(fleet.store.late_s + 0.4)
    fleet.kill(fleet.coordinator())


async def late_write_before_restart(fleet):
    """Let a write be carried out after newer ones, and restart all instances then."""
    fleet.store.lost_writes = 1
    await _restart_after_late_write(fleet)


async def late_write_beside_next(fleet):
    """Kill the coordinator before its old write is carried out, and restart then."""
    fleet.store.lost_writes = 1
    while fleet.store.lost_writes:
        await trio.sleep(0.02)
    await trio.sleep(fleet.store.late_s - 1.0)
    fleet.kill(fleet.coordinator())
    await _restart_after_late_write(fleet)


async def _restart_after_late_write(fleet):
    while not fleet.store.late_writes:
        await trio.sleep(0.02)
    for name in list(fleet.instances):
        fleet.kill(name)
    await trio.sleep(0.5)
    for name in fleet.names:
        fleet.start(name)


async def kill_two(fleet):
    """Kill the coordinator, and soon after it the next one."""
    await trio.sleep(3.0)
    for _ in range(2):
        fleet.kill(fleet.coordinator())
        await trio.sleep(1.5)


async def kill_with_follower(fleet):
    """Kill the coordinator and the instance that follows it at once."""
    await trio.sleep(3.0)
    name = fleet.coordinator()
    membership = fleet.instances[name].gateway.membership
    for one in (name, membership.next_coordinator(POOLS[0])):
        fleet.kill(one)


async def freeze_coordinator(fleet):
    """Let the coordinator stand still twice; another one takes over meanwhile."""
    for seconds in (3.0, 1.2):
        await trio.sleep(2.0)
        name = fleet.coordinator()
        fleet.freeze(name)
        await trio.sleep(seconds)
        fleet.thaw(name)


async def terms_that_return(fleet):
    """Kill the coordinator again and again; it starts and takes over each time."""
    for _ in range(3):
        await trio.sleep(1.7)
        name = fleet.coordinator()
        fleet.kill(name)
        await trio.sleep(0.8)
        fleet.start(name)


async def store_down_and_kill(fleet):
    """Let the coordinator end while the store does not answer anybody."""
    fleet.store.is_down = True
    await trio.sleep(3.0)
    fleet.kill(fleet.coordinator())
    await trio.sleep(4.0)
    fleet.store.is_down = False


async def cut_off_and_kill(fleet):
    """Cut the coordinator off from the others and the store, and kill it then."""
    name = fleet.coordinator()
    instance = fleet.instances[name]
    await trio.sleep(2.0)
    instance.gateway.quota_balances.store.fault = StoreFault.UNREACHABLE
    instance.group = 1
    await trio.sleep(2.5)
    fleet.kill(name)


TURNED_AWAY = {
    "answers 503 to": (StoreFault.REFUSED, 0.004),
    "limits": (StoreFault.RATE_LIMITED, 0.004),
    "resets": (StoreFault.ANSWER_LOST, 0.004),
    "is silent to": (StoreFault.ANSWER_LOST, 1.5),
    "is not reached by": (StoreFault.UNREACHABLE, 0.8),
}
HANDOVERS = {
    f"its store {how} the coordinator before its end": turned_away(*fault)
    for how, fault in TURNED_AWAY.items()
} | {
    "an old write is done late": through_coordinator(late_write),
    "an old write is done late and all restart": through_coordinator(
        late_write_before_restart
    ),
    "an old write is done late beside the next coordinator": through_coordinator(
        late_write_beside_next
    ),
    "two coordinators end in turn": through_coordinator(kill_two),
    "a coordinator ends with its follower": through_coordinator(kill_with_follower),
    "coordinators stand still": through_coordinator(freeze_coordinator),
    "a coordinator ends and returns": through_coordinator(terms_that_return),
    "a coordinator ends without a store": through_coordinator(store_down_and_kill),
    "a coordinator ends cut off": through_coordinator(cut_off_and_kill),
}

for _name, _act in HANDOVERS.items():
    # Guards against balances that are older than what has been used.
    @case(f"a team stays within its quota when {_name}")
    def _(name=_name, act=_act):
        for count in (3, SMALL_FLEET):
            for seed in range(2):
                assert_within(play(count, seed, act, hot=3.0), (name, count, seed))


@case("61 instances stay within a quota when coordinators end or stand still")
def _():
    for act in (turned_away(StoreFault.REFUSED), HANDOVERS["coordinators stand still"]):
        assert_within(play(LARGE_FLEET, 1, act, hot=3.0), act.__name__)


# Guards against two handovers of which each alone is survived.
@case("a team stays within its quota when two handovers overlap")
def _():
    for seed in range(6):
        rng = random.Random(seed)
        names = rng.sample(sorted(HANDOVERS), 2)
        act = overlapping(names, rng)
        count = rng.choice((3, 6, 9, 12))
        assert_within(play(count, seed, act, hot=3.0), (names, count, seed))


def overlapping(names, rng):
    """Return a situation in which handovers begin within some seconds."""

    async def act(fleet):
        async with trio.open_nursery() as nursery:
            for name in names:
                nursery.start_soon(_try, HANDOVERS[name], fleet)
                await trio.sleep(3 * rng.random())

    return act


# Guards against a process that knows no earlier use, and of whose use nobody learns.
@case("a team stays within its quota when a coordinator returns without a store")
def _():
    names = "a coordinator ends without a store", "a coordinator ends and returns"
    for seed in range(6):
        act = overlapping(names, random.Random(seed))
        assert_within(play(3, seed, act, hot=3.0), seed)


# Guards against a quota that counts as used when nobody knows better.
@case("a team within its quota is not refused when coordinators change")
def _():
    for name, act in HANDOVERS.items():
        if "cut off" in name:
            # It may admit only what the next one assumes, since nobody learns of more.
            continue
        fleet = play(SMALL_FLEET, 1, act, hot=0.5)
        for team, result in fleet.results.items():
            assert result.refused_by_quota == 0, (name, team, result)


SITUATIONS = {
    "while nothing fails": nothing,
    "while its coordinator is slow and not gone": slow_coordinator,
    "while all instances are slow": all_slow,
    "while a third of the fleet is split off": split,
    "while the fleet is split into halves": halved,
    "while a third of the fleet is cut off one by one": scattered,
    "when its coordinator is killed": kill_coordinator,
    "when half of the instances are killed": kill_half,
    "while coordinators are slow by turns": coordinators_by_turns,
    "while coordinators are slow by turns without the store": store_down,
    "when all instances are killed": restart_all,
    "while all instances restart by turns": restart_by_turns,
}

for _name, _act in SITUATIONS.items():

    @case(f"a team stays within its quota {_name}")
    def _(name=_name, act=_act):
        for seed in range(2):
            assert_within(play(SMALL_FLEET, seed, act), (name, seed))


@case("61 instances stay within a quota while their coordinators are slow by turns")
def _():
    assert_within(play(LARGE_FLEET, 1, coordinators_by_turns), "by turns")


@case("61 instances stay within a quota while their coordinator is slow and not gone")
def _():
    assert_within(play(LARGE_FLEET, 1, slow_coordinator), "slow")


@case("61 instances stay within a quota while a third of them is split off")
def _():
    assert_within(play(LARGE_FLEET, 1, split), "split")


@case("a team that uses several pools stays within its quota")
def _():
    for seed in range(2):
        for act in (nothing, coordinators_by_turns, slow_coordinator):
            for hot in (0.8, 2.0):
                fleet = play(SMALL_FLEET, seed, act, hot_pools=POOLS[:2], hot=hot)
                assert_within(fleet, (seed, act.__name__, hot))


@case("a team within its quota is not refused for it while nothing fails")
def _():
    for count in (SMALL_FLEET, LARGE_FLEET):
        for pools in (POOLS[:1], POOLS[:2]):
            part = 0.9 / len(pools)
            fleet = play(count, 3, nothing, hot_pools=pools, hot=part)
            for team, result in fleet.results.items():
                assert result.refused_by_quota == 0, (count, pools, team, result)
                assert result.served > 0.97 * result.requested, (team, result)


@case("a team that asks for more than its quota gets most of it while nothing fails")
def _():
    fleet = play(SMALL_FLEET, 4, nothing, seconds=20.0)
    assert fleet.worst_window("hot") > 0.95 * (RATE * WINDOW_S)


@case("a lower quota is kept soon after it was set")
def _():
    async def lower(fleet):
        await trio.sleep(4.0)
        await fleet.set_rates({"hot": 20_000})
        fleet.changed_at = trio.current_time()

    for seed in range(2):
        fleet = play(SMALL_FLEET, seed, lower, 24.0, rates=TEAMS | {"hot": 150_000})
        since = fleet.changed_at + APPLY_S
        fleet.arrivals = [a for a in fleet.arrivals if a.sent >= since]
        assert fleet.worst_window("hot") <= allowed(20_000), seed


@case("a team stays within its quota whatever happens")
def _():
    for seed in range(4):
        assert_within(play(*random_days(seed)), seed)


@case("a request that waited for its quota to be known is charged and answered once")
def _():
    async def run():
        gateway = unconnected_gateway()
        limit = {"rate_per_s": 10, "burst": 10}
        teams = [{"name": "crew", "api_keys": ["k"], **limit}]
        gateway.directory.configuration = configuration(tenants=teams)
        gateway.directory.manifest = build_manifest(
            gateway.directory.configuration, {"e1": record("e1", 64)}
        )
        answers = []
        gateway.pool_host.answer = lambda frontend, answer: answers.append(answer)
        hosted = gateway.pool_host.host(POOL)
        hosted.scheduler.grants_enabled = True
        gateway.pool_host._tick(POOL, hosted, trio.current_time())
        hosted.scheduler.quotas.reset(trio.current_time())
        gateway.pool_host.handle(FRONTEND, acquire("r1", quota_tokens=7))
        assert not answers
        hosted.scheduler.quotas.restore({})
        for _ in range(4):
            await trio.sleep(0.1)
            gateway.pool_host._tick(POOL, hosted, trio.current_time())
        assert [type(answer) for answer in answers] == [Grant], answers
        assert hosted.scheduler.quotas.admitted == {CREW: 7}

    trio.run(run, clock=MockClock(autojump_threshold=0))


def random_days(seed):
    """Return a random fleet, and a random series of faults that overlap."""
    rng = random.Random(seed)
    acts = rng.sample(list(SITUATIONS.values()), 2)

    async def act(fleet):
        async with trio.open_nursery() as nursery:
            for one in acts:
                nursery.start_soon(_try, one, fleet)

    return rng.choice((3, 6, 9, 12)), seed, act


async def _try(act, fleet):
    try:
        await act(fleet)
    except KeyError:
        # Another fault has ended the instance.
        return


# Guards against refusals by an instance that took over long before it read the store.
@case("an instance alone admits requests until much of them is unreported")
def _():
    async def run():
        gateway = unconnected_gateway()
        limit = {"rate_per_s": 100, "burst": 100}
        teams = [{"name": "crew", "api_keys": ["k"], **limit}]
        gateway.directory.configuration = configuration(tenants=teams)
        gateway.directory.manifest = build_manifest(
            gateway.directory.configuration, {"e1": record("e1", 64)}
        )
        balances = gateway.quota_balances
        quotas = gateway.pool_host.host(POOL).scheduler.quotas
        quotas.restore({})
        for is_unreported in (False, True):
            await trio.sleep(5.0)
            balances.checked = trio.current_time()
            balances._report(POOL, quotas, trio.current_time())
            assert quotas.is_unreported == is_unreported
            wait_s = quotas.take(CREW, 60, trio.current_time(), True)
            assert (wait_s > 0) == is_unreported, wait_s

    trio.run(run, clock=MockClock(autojump_threshold=0))

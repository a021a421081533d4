"""Test cases for streams on routes that are split over several pools.

A stream goes on in the pool that began it. Which one that is must be found at an
instance that has not relayed it, and never be drawn again.
"""

from functools import partial

import trio
from routed_cases import (
    StreamTraffic,
    call_through_restart,
    case,
    find_coordinator,
    kill_all,
    stop_one,
    versioned,
)

POOLS = ("pool-a", "pool-b", "pool-c", "pool-d")
APPLIED_S = 1.0
"""Time in which instances learn of a new configuration."""


def configure(site, targets, questions="engines"):
    """Split the route of streams over pools, with equal weights.

    Parameters
    ----------
    questions : str
        The pool of another route of streams.
    """
    routes = site.routes()
    question = next(route for route in routes if route["name"] == "question")
    question["service"] = questions
    digest = next(route for route in routes if route["name"] == "digest")
    digest["split"] = [{"service": name, "weight": 1} for name in targets]
    digest["service"] = targets[0]
    engine = {"slots": 16, "kv_capacity": 100000, "stride": 1}
    services = [{"name": name, "backend": engine} for name in POOLS]
    site.configure(routes=routes, services=[{"name": "desk"}, *services])


async def start(site, targets=POOLS):
    """Start three instances, and two engines in each pool that write its name."""
    for pool in POOLS:
        for number in range(2):
            await site.endpoint(f"{pool}-{number}", pool, versioned(pool), slots=16)
    configure(site, targets)
    for number in range(3):
        await site.daemon(f"instance-{number}")
    await trio.sleep(1.0)
    return StreamTraffic(site)


async def ask_question(site, daemon):
    """Let an instance serve a stream of the other route."""
    caller = await site.connect(daemon.callers)
    answer = await caller.request("POST", "/question/1", site.headers(), b"body")
    await caller.stream.aclose()
    assert answer.status == 200, answer


def mixed(traffic):
    """Return the pools of each stream that several pools wrote."""
    return [pools for pools, *_ in traffic.streams if len(pools) > 1]


@case("streams on a split route go on in their pools when an instance is killed")
async def _(site):
    traffic = await start(site)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(traffic.run, 30, 0.05)
        await trio.sleep(1.2)
        await stop_one(site, site.daemons[0])
    traffic.check(least_taken_up=5)


@case("streams on a split route go on in their pools when a coordinator is killed")
async def _(site):
    traffic = await start(site)
    await traffic.call()
    coordinator = await find_coordinator(site)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(traffic.run, 30, 0.05)
        await trio.sleep(1.2)
        await stop_one(site, coordinator)
    traffic.check(least_taken_up=5)


@case("streams on a split route go on in their pools after a restart of all instances")
async def _(site):
    traffic = await start(site)
    async with trio.open_nursery() as nursery:
        for _ in range(16):
            nursery.start_soon(call_through_restart, traffic)
            await trio.sleep(0.05)
        await trio.sleep(0.5)
        await kill_all(site)
    traffic.check(8)


@case("streams of a pool that has lost its route do not go on in another one")
async def _(site):
    traffic = await start(site, POOLS[:1])
    async with trio.open_nursery() as nursery:
        nursery.start_soon(traffic.run, 30, 0.03)
        await trio.sleep(0.5)
        # The pool that begins the streams is a target no more.
        configure(site, POOLS[1:2])
        await trio.sleep(APPLIED_S)
        await stop_one(site, site.daemons[0])
    assert not mixed(traffic), mixed(traffic)
    assert any(is_taken_up for *_, is_taken_up in traffic.streams)


# Guards against streams that go on in another pool after a restart of all.
@case("streams whose route is moved while all are down do not go on in another pool")
async def _(site):
    traffic = await start(site, POOLS[:1])
    # The other pool is in use, so that its versions are stored.
    configure(site, POOLS[:1], questions=POOLS[1])
    await trio.sleep(APPLIED_S)
    async with trio.open_nursery() as nursery:
        for daemon in site.daemons:
            nursery.start_soon(ask_question, site, daemon)
    async with trio.open_nursery() as nursery:
        for _ in range(12):
            nursery.start_soon(partial(traffic.call, tries=60, deadline_ms=3000))
            await trio.sleep(0.05)
        await trio.sleep(0.3)
        async with trio.open_nursery() as restart:
            restart.start_soon(kill_all, site, 0.5)
            await trio.sleep(0.2)
            configure(site, POOLS[1:2], questions=POOLS[1])
    assert not mixed(traffic), mixed(traffic)
    assert any(is_taken_up for *_, is_taken_up in traffic.streams)


@case("streams go on in their pools after their route has been split")
async def _(site):
    traffic = await start(site, POOLS[:1])
    async with trio.open_nursery() as nursery:
        nursery.start_soon(traffic.run, 30, 0.03)
        await trio.sleep(0.5)
        configure(site, POOLS)
        await trio.sleep(APPLIED_S)
        await stop_one(site, site.daemons[0])
    traffic.check(least_taken_up=5)

"""Test cases for the ways on which a request could reach an endpoint that pauses.

An endpoint rejects requests and asks for a pause; of the instances that were told, none
may send it another request before the end of the pause.
"""

from functools import partial

import trio
from routed_cases import NOT_RUN, case, count, cut_links

from savorydyke._membership import rendezvous_score

PAUSE_S = 2.5
ON_ITS_WAY_S = 0.02
HALF_SECOND = 0.5
"""Time in which a request that is on its way may still arrive."""


def rejecting_after(seconds, read_at_least=0):
    """Return a script that rejects a request late, also if its caller has gone."""

    async def reject(exchange):
        with trio.CancelScope(shield=True):
            await trio.sleep(seconds)
            pause = (b"Retry-After", b"%.1f" % PAUSE_S)
            answered_at = trio.current_time()
            await exchange.send_complete(503, b"", NOT_RUN, pause)
            exchange.endpoint.paused_at = answered_at

    return reject


async def ask_on(site, paths, seconds, daemons, pause_s=0.03):
    """Send requests to instances in turn for a while."""
    until = trio.current_time() + seconds
    number = 0
    async with trio.open_nursery() as nursery:
        while trio.current_time() < until:
            daemon = daemons[number % len(daemons)]
            path = paths[number % len(paths)]
            number += 1
            nursery.start_soon(ask_one, site, daemon, path)
            await trio.sleep(pause_s)


async def ask_one(site, daemon, path, leave_after=None, body=b"body", deadline_ms=3000):
    """Send one request; leave after a time if one is given."""
    try:
        caller = await site.connect(daemon.callers)
        with trio.move_on_after(leave_after or 10.0):
            headers = site.headers(deadline_ms=deadline_ms)
            await caller.request("POST", path, headers, body)
        await caller.stream.aclose()
    except (OSError, trio.BrokenResourceError):
        # The instance was ended by the case.
        return


def late_arrivals(endpoint):
    """Return when requests arrived in a pause, from half a second after its start."""
    since = endpoint.paused_at + HALF_SECOND
    until = endpoint.paused_at + PAUSE_S
    return [r.at for r in endpoint.received_requests if since <= r.at < until]


async def answer_after_work(exchange):
    """Send a complete answer after a while."""
    await trio.sleep(0.05)
    await exchange.send_complete()


async def start_pausing(site, script, instances=1):
    """Start an endpoint that rejects once, and instances."""
    pausing = await site.endpoint("e1", "desk", script, answer_after_work)
    pausing.paused_at = None
    for number in range(instances):
        await site.daemon(f"instance-{number}")
    return pausing


async def finish(site, pausing, paths=("/claim/1",), daemons=None):
    """Ask on until the pause has ended, and check that nothing arrived in it.

    There is no other endpoint, unless the case has started one.
    """
    await site.wait_until(lambda: pausing.paused_at is not None)
    await ask_on(site, paths, PAUSE_S, daemons or site.daemons)
    assert late_arrivals(pausing) == [], [
        round(at - pausing.paused_at, 2) for at in late_arrivals(pausing)
    ]


@case("a pause that an endpoint asks for at the time-out of a request is kept")
async def _(site):
    pausing = await start_pausing(site, rejecting_after(0.45))
    await ask_one(site, site.daemons[0], "/claim/1", deadline_ms=400)
    await finish(site, pausing)


@case("a pause that a silent endpoint asks for after it was given up is kept")
async def _(site):
    other = await site.endpoint("f1", "desk", answer_after_work)
    pausing = await start_pausing(site, rejecting_after(0.55))
    while not count(pausing):
        await ask_one(site, site.daemons[0], "/lookup/1")
    # It was given up, since the other endpoint had been granted.
    assert other.received_requests[-1].at > pausing.received_requests[0].at
    site.write_record("f1", "desk", state="draining")
    await trio.sleep(0.5)
    await finish(site, pausing)


@case("a pause that an endpoint asks for when the caller has left is kept")
async def _(site):
    # The answer is on its way.
    pausing = await start_pausing(site, rejecting_after(0.3 + ON_ITS_WAY_S))
    await ask_one(site, site.daemons[0], "/claim/1", leave_after=0.3)
    await finish(site, pausing)


@case("a pause that an endpoint asks for before it reads a long body is kept")
async def _(site):
    async def reject_early(exchange):
        await rejecting_after(0.0)(exchange)
        await trio.sleep(0.05)
        exchange.reset()

    pausing = await start_pausing(site, reject_early)
    pausing.read_body = False
    await ask_one(site, site.daemons[0], "/claim/1", body=bytes(150_000))
    pausing.read_body = True
    await finish(site, pausing)


@case("a pause is kept by requests that were granted before it")
async def _(site):
    pausing = await start_pausing(site, rejecting_after(0.2))
    async with trio.open_nursery() as nursery:
        for _ in range(12):
            nursery.start_soon(ask_one, site, site.daemons[0], "/claim/1")
        await site.wait_until(lambda: pausing.paused_at is not None)
    await finish(site, pausing)


@case("a pause is kept by requests that are tried again")
async def _(site):
    async def fail(exchange):
        await exchange.send_complete(500, b"failed")

    pausing = await start_pausing(site, rejecting_after(0.0))
    await ask_one(site, site.daemons[0], "/claim/1")
    await site.endpoint("f0", "desk", fail)
    await finish(site, pausing, ("/lookup/1", "/claim/1"))
    assert count(site.endpoints["f0"]) > 0


@case("a pause is kept by instances without links")
async def _(site):
    cut_links(site)
    pausing = await start_pausing(site, rejecting_after(0.0), instances=2)
    await ask_one(site, site.daemons[0], "/claim/1")
    # Only the first one was told.
    await finish(site, pausing, daemons=site.daemons[:1])


@case("a pause is kept when the coordinator of the pool is killed")
async def _(site):
    pausing = await start_pausing(site, rejecting_after(0.0), instances=3)
    await trio.sleep(0.5)
    # The instance that was told is another one than the coordinator.
    coordinator = find_hosting(site)
    asked = next(d for d in site.daemons if d is not coordinator)
    await ask_one(site, asked, "/claim/1")
    coordinator.process.kill()
    await finish(site, pausing, daemons=[asked])


def find_hosting(site):
    """Return an instance that coordinates the pool, by rendezvous hashing."""
    names = [daemon.name for daemon in site.daemons]
    highest = max(names, key=lambda name: rendezvous_score("desk", name))
    return site.daemons[names.index(highest)]


# Guards against a pause that no library can represent, in an answer that comes when its
# request has expired: it ended the instance, and all requests of other endpoints.
@case("a pause that can not be represented ends no instance")
async def _(site):
    # Years, zones and times of day beyond those of dates, and dates beside them.
    odd = (
        (b"Retry-After", b"Mon, 07 Dec 20262026202620262026 18:00:07 GMT"),
        (b"Retry-After", b"Mon, 07 Dec 2026 18:00:07 +99999999999999999999"),
        (b"Retry-After", b"Mon, 07 Dec 2026 99999999999999999999:00:07 GMT"),
    )
    sound = (b"Retry-After", b"Mon, 07 Dec 2026 18:00:07 GMT")
    spoilt = [(value,) for value in odd]
    spoilt += [(sound, (b"Date", value)) for _, value in odd]
    unsent = list(spoilt)

    async def refuse_late(exchange):
        with trio.CancelScope(shield=True):
            await trio.sleep(0.45)
            # A request may also come once too often.
            more = unsent.pop() if unsent else ()
            await exchange.send_complete(503, b"", NOT_RUN, *more)

    await site.endpoint("e1", "engines", refuse_late)
    await site.endpoint("e2", "desk", answer_after_work)
    daemon = await site.daemon()
    while unsent:
        async with trio.open_nursery() as nursery:
            ask_late = partial(ask_one, site, daemon, "/question/1", deadline_ms=400)
            nursery.start_soon(ask_late)
            await trio.sleep(0.42)
            answer = await site.ask("/claim/1")
            assert answer.status == 200
    await trio.sleep(0.3)
    assert daemon.process.poll() is None
    lines = [record["message"] for record in daemon.log_records()]
    assert lines.count("request: Pause unreadable.") == len(spoilt), lines
    assert not any("Task failed." in line for line in lines)

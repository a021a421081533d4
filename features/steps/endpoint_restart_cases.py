"""Test cases for endpoints that start again under their ids.

Whatever an endpoint has said before a restart, and whoever heard it, does not concern
its next process.
"""

import trio
from routed_cases import BODY, LEAVING, NOT_RUN, case, leave, serve_proxy

from savorydyke_bench._soak import FaultProxy
from savorydyke_standins._routed_endpoint import answer_plainly
from savorydyke_standins._routed_site import ANSWER_TIMEOUT_S

LONG_S = 30
AWAY_S = 1.0
LEARNED_S = 1.0
"""Time in which an instance learns of a change in the store."""


async def ask_for_pause(exchange):
    await exchange.send_complete(503, b"", NOT_RUN, (b"Retry-After", b"%d" % LONG_S))


async def name_limit(exchange):
    await exchange.send_complete(200, b"answer", (b"Server-Limit", b"0"))


async def fail(exchange):
    await exchange.send_complete(500, b"failed")


FACTS = {
    "said that it leaves": leave,
    "asked for a pause": ask_for_pause,
    "named a limit": name_limit,
    "failed its requests": fail,
}


async def restart(site, name, is_removed, away_s=AWAY_S):
    """Start another process of an endpoint, at another address."""
    born = trio.current_time()
    if is_removed:
        site.store.remove(f"servers/{name}")
        await trio.sleep(away_s)
    else:
        site.write_record(name, "desk", state="draining", seq=2)
        await trio.sleep(away_s)
    return await site.endpoint(name, "desk", answer_plainly, born=2 + int(born))


async def statuses_of(site, daemon, number):
    """Send requests to one instance; return their statuses."""
    statuses = []
    for _ in range(number):
        caller = await site.connect(daemon.callers)
        with trio.fail_after(ANSWER_TIMEOUT_S):
            answer = await caller.request("POST", "/claim/1", site.headers(), BODY)
        await caller.stream.aclose()
        statuses.append(answer.status)
    return statuses


def restart_case(fact, script, is_removed, away_s):
    """Register a case: one endpoint says something, and another process follows."""
    how = "after its record was removed" if is_removed else "under its record"
    speed = "soon " if away_s < AWAY_S else ""

    @case(f"an endpoint that {fact} and starts again {speed}{how} is used")
    async def _(site):
        await site.endpoint("e1", "desk", script)
        daemons = [await site.daemon(f"instance-{n}") for n in (1, 2)]
        await trio.sleep(LEARNED_S)
        for daemon in daemons:
            await statuses_of(site, daemon, 3)
        second = await restart(site, "e1", is_removed, away_s)
        await trio.sleep(LEARNED_S)
        for daemon in daemons:
            assert await statuses_of(site, daemon, 4) == [200] * 4, daemon.name
        assert len(second.received_requests) == 8


for _fact, _script in FACTS.items():
    restart_case(_fact, _script, is_removed=True, away_s=AWAY_S)
    restart_case(_fact, _script, is_removed=False, away_s=AWAY_S)
restart_case("said that it leaves", leave, is_removed=True, away_s=0.05)


@case("an endpoint that starts again is used though a peer reports that it leaves")
async def _(site):
    await site.endpoint("e1", "desk", leave)
    first = await site.daemon("instance-1")
    proxy = FaultProxy(site.store_address)
    store = await serve_proxy(site, proxy, "127.0.0.1:0")
    second = await site.daemon("instance-2", store=store)
    await trio.sleep(LEARNED_S)
    assert await statuses_of(site, second, 1) == [200]
    # The other instance does not learn of the restart, and goes on reporting.
    proxy.fault = "silent"
    await trio.sleep(LEARNED_S)
    assert await statuses_of(site, first, 1) == [503]
    await restart(site, "e1", is_removed=True)
    await trio.sleep(LEARNED_S)
    assert await statuses_of(site, first, 4) == [200] * 4


@case("an endpoint that leaves after a restart too gets no more requests")
async def _(site):
    await site.endpoint("e1", "desk", leave)
    daemons = [await site.daemon(f"instance-{n}") for n in (1, 2)]
    await trio.sleep(LEARNED_S)
    assert await statuses_of(site, daemons[0], 1) == [200]
    second = await restart(site, "e1", is_removed=True)
    await trio.sleep(LEARNED_S)

    async def leave_with_error(exchange):
        await exchange.send_complete(500, b"stopping", LEAVING)

    second.scripts = [leave_with_error]
    assert await statuses_of(site, daemons[0], 1) == [500]
    await trio.sleep(LEARNED_S)
    for daemon in daemons:
        assert await statuses_of(site, daemon, 2) == [503] * 2, daemon.name
    assert len(second.received_requests) == 1

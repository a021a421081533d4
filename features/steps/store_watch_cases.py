"""Test cases for a store that cuts the watches that wait, and answers everything else.

A watch that is cut says nothing about the store: neither that it was away, nor that
records of endpoints have expired meanwhile.
"""

import trio
from routed_cases import BOUNDS, case, start_one

from savorydyke.platform import Compacted, open_store
from savorydyke.platform._store import MAX_ANSWER_BYTES

LARGE_VALUE = 1_000_000
CUT_AFTER_S = 0.2
LEAVING_S = 2.0
"""Time after which an endpoint that has left gets no requests, by default."""


@case("the configuration is confirmed although each watch is cut")
async def _(site):
    await start_one(site, "desk")
    site.store.cut_watches_after_s = CUT_AFTER_S
    # Nothing changes in the store, so that each watch would wait.
    await trio.sleep(BOUNDS["revocation_ms"] / 1000 + 1)
    assert site.store.cut_watches
    answer = await site.ask("/claim/1")
    assert answer.status == 200, answer


async def request_on(site, answers):
    """Send one request after the other until cancelled."""
    while True:
        answers.append(await site.ask("/claim/1"))
        await trio.sleep(0.02)


@case("an endpoint that leaves while watches are cut gets no more requests")
async def _(site):
    await site.endpoint("e1", "desk")
    await site.endpoint("e2", "desk")
    await site.daemon()
    site.store.cut_watches_after_s = CUT_AFTER_S
    answers = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(request_on, site, answers)
        for name in ("e1", "e3"):
            cuts = site.store.cut_watches
            await site.wait_until(lambda cuts=cuts: site.store.cut_watches > cuts)
            removed_at = trio.current_time()
            site.store.remove(f"servers/{name}")
            await trio.sleep(LEAVING_S + 1)
            arrivals = [r.at for r in site.endpoints[name].received_requests]
            late = [at - removed_at for at in arrivals if at - removed_at > LEAVING_S]
            assert not late, f"{name} got requests {late[0]:.2f} to {late[-1]:.2f} s on"
            await site.endpoint("e3", "desk")
        nursery.cancel_scope.cancel()
    assert {answer.status for answer in answers} == {200}


@case("changes that are too many to be read at once are listed instead")
async def _(site):
    # Guards against a watch that fails for good after an outage with large changes.
    store = open_store(site.store_address)
    before = site.store.revision
    for _ in range(MAX_ANSWER_BYTES // LARGE_VALUE + 1):
        site.store.put("op/other", b"x" * LARGE_VALUE)
    assert isinstance(await store.watch("", before, 0.0), Compacted)
    (item,) = [i for i in (await store.list("")).items if i.key == "op/other"]
    assert item.value == b"x" * LARGE_VALUE
    # A watch from there on works.
    changes = await store.watch("", site.store.revision, 0.0)
    assert changes.changes == ()

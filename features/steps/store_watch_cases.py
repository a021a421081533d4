"""Test cases for a store that cuts the watches that wait, and answers everything else.

A watch that is cut says nothing about the store: neither that it was away, nor that
records of endpoints have expired meanwhile.
"""

import trio
from routed_cases import BOUNDS, case, start_one

CUT_AFTER_S = 0.2


@case("the configuration is confirmed although each watch is cut")
async def _(site):
    await start_one(site, "desk")
    site.store.cut_watches_after_s = CUT_AFTER_S
    # Nothing changes in the store, so that each watch would wait.
    await trio.sleep(BOUNDS["revocation_ms"] / 1000 + 1)
    assert site.store.cut_watches
    answer = await site.ask("/claim/1")
    assert answer.status == 200, answer

"""Engines leave one after the other while the store cuts waiting watches."""

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.engine import Engine  # noqa: E402
from standins.http import ask  # noqa: E402
from standins.site import DRAIN_S, main, route  # noqa: E402

INSTANCES = 3
ENGINES = 3
RELEASES = 8
CUT_AFTER_S = 0.2
"""How long a watch waits before the store cuts it."""
BEFORE_S = 4.0
LINGER_S = 0.15
"""How long an engine goes on beyond `drain_ms`."""
REQUESTERS = 24
WORK_S = (0.05, 0.15)


async def work(engine, call):
    await asyncio.sleep(random.uniform(*WORK_S))
    await call.send_whole(200, f"of {call.id}".encode())


async def request(site, sent):
    """Send claims, which run once at most, one after the other."""
    while not site.closing:
        instance = random.choice(site.instances)
        headers = site.headers()
        name = dict(headers)["X-Savorydyke-Request-Id"]
        at = site.clock()
        answer = await ask(instance.callers, "POST", "/claim/1", headers, b"claim")
        sent[name] = (at, instance.name, answer)
        await asyncio.sleep(0.02)


async def case(site, trouble):
    for number in range(ENGINES):
        engine = Engine(site, f"desk-{number}", "desk", work)
        site.engines.append(engine)
        await engine.start()
    site.configure(
        routes=[route("claim", "mutating", "desk")], services=[{"name": "desk"}]
    )
    await site.start_instances(INSTANCES)
    sent = {}
    for _ in range(REQUESTERS):
        site.spawn(request(site, sent))
    await asyncio.sleep(BEFORE_S)
    if trouble:
        site.store.cut_waiting_after_s = CUT_AFTER_S
        site.note(f"the store cuts watches that have waited {CUT_AFTER_S} s")
    await asyncio.sleep(BEFORE_S)
    broken = []
    for number in range(RELEASES):
        new = Engine(site, f"desk-{ENGINES + number}", "desk", work)
        site.engines.append(new)
        await new.start()
        old = site.engines[number]
        gone = old.remove_entry()
        site.note(f"entry of {old.name} removed, acknowledged")
        await asyncio.sleep(DRAIN_S + LINGER_S)
        late = [(at, r) for at, r in old.arrivals if at > gone + DRAIN_S]
        last = max((at for at, _ in old.arrivals), default=0.0) - gone
        old.end()
        site.note(
            f"{old.name}: last request {last:.3f} s after the acknowledgement,"
            f" {len(late)} later than drain_ms"
        )
        for at, r in late:
            name = r.headers["x-savorydyke-request-id"]
            site.note(f"  {name} reached {old.name} {at - gone:.3f} s after it")
        if late:
            broken.append(
                f"DRAIN: {len(late)} requests reached {old.name} later than drain_ms"
                f" ({DRAIN_S} s), the last after {last:.3f} s"
            )
        await asyncio.sleep(random.uniform(0.8, 1.6))
    answers = [a for _, _, a in sent.values()]
    served = sum(a.status == 200 and a.complete for a in answers)
    lost = {n: a for n, (_, _, a) in sent.items() if a.status == 502 or not a.complete}
    for name, answer in lost.items():
        site.note(f"{name} lost: {answer.status} {answer.error} {answer.body[:150]!r}")
    site.note(
        f"{len(answers)} claims sent, {served} served, {len(lost)} passed on and lost,"
        f" {len(site.store.cuts)} watches cut"
    )
    return broken


sys.exit(main(FOLDER, case))

"""The engines of a service are restarted one after the other, under the ids they had."""

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
BEFORE_S = 5.0
AWAY_S = 3.0
"""How long an engine is away between two starts."""
SETTLE_S = 6.0
"""Twice `contact_ms`."""
STEADY_S = 20.0
REQUESTERS = 11
"""Of each route; one less than a service has slots, so that all engines are in use."""
PAUSE_S = 0.005
WORK_S = (0.15, 0.25)
SLOTS = 4
MIN_REQUESTS = 20
SHARE = 0.25


async def work(engine, call):
    await asyncio.sleep(random.uniform(*WORK_S))
    await call.send_whole(200, f"of {call.id}".encode())


async def request(site, path, sent):
    while not site.closing:
        instance = random.choice(site.instances)
        at = site.clock()
        answer = await ask(instance.callers, "GET", path, site.headers())
        sent.append((at, answer))
        # Requesters honour Retry-After.
        wait_s = float(answer.headers.get("retry-after", "0"))
        await asyncio.sleep(max(PAUSE_S, wait_s))


async def restart(site, engine):
    """Let an engine leave as the pages say, and start it again under its id."""
    engine.more_headers = [("Server-Leaving", "1")]
    engine.write_entry("draining")
    site.note(f"{engine.name} reports draining, acknowledged")
    await asyncio.sleep(DRAIN_S + 0.5)
    engine.remove_entry()
    engine.end()
    site.note(f"entry of {engine.name} removed")
    await asyncio.sleep(AWAY_S)
    await engine.start()


def share_served(site, name, sent, since):
    found = [answer for at, answer in sent if at >= since]
    served = sum(a.status == 200 and a.complete for a in found)
    others = {}
    for answer in found:
        if answer.status != 200:
            reason = answer.body[:120].decode("latin-1")
            key = f"{answer.status} {answer.error} {reason}"
            others[key] = others.get(key, 0) + 1
    site.note(f"{name}: {len(found)} sent, {served} served")
    for key, count in others.items():
        site.note(f"  {count} x {key}")
    return len(found), served / max(1, len(found))


async def case(site, trouble):
    for service in ("desk", "notes"):
        for number in range(ENGINES):
            engine = Engine(site, f"{service}-{number}", service, work, slots=SLOTS)
            site.engines.append(engine)
            await engine.start()
    services = [{"name": "desk"}, {"name": "notes"}]
    first = route("lookup", "idempotent", "desk")
    site.configure(routes=[first], services=services)
    await site.start_instances(INSTANCES)
    lookups, notes = [], []
    for _ in range(REQUESTERS):
        site.spawn(request(site, "/lookup/1", lookups))
    await asyncio.sleep(BEFORE_S)
    later = route("note", "idempotent", "notes")
    site.configure(routes=[first, later], services=services)
    await asyncio.sleep(SETTLE_S)
    since = site.clock()
    for _ in range(REQUESTERS):
        site.spawn(request(site, "/note/1", notes))
    await asyncio.sleep(BEFORE_S)
    share_served(site, "route added later, before", notes, since)
    if trouble:
        for engine in site.engines:
            if engine.service == "notes":
                await restart(site, engine)
    await asyncio.sleep(SETTLE_S)
    since = site.clock()
    await asyncio.sleep(STEADY_S)
    count_later, share_later = share_served(site, "route added later", notes, since)
    count_first, share_first = share_served(site, "first route", lookups, since)
    if count_first < MIN_REQUESTS or count_later < MIN_REQUESTS:
        return []
    if share_later < SHARE * share_first:
        return [
            f"CONFIG: in steady state {share_later:.3f} of {count_later} requests on the"
            f" route added later were served, {share_first:.3f} of {count_first} on the"
            " first route"
        ]
    return []


sys.exit(main(FOLDER, case))

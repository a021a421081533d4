"""An instance is killed, and its streams on a split route are taken up at the others."""

import asyncio
import random
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.engine import Engine  # noqa: E402
from standins.http import head_bytes, read_chunks, read_head  # noqa: E402
from standins.site import CONTACT_S, main, route  # noqa: E402

INSTANCES = 3
SERVICES = ("pool-a", "pool-b", "pool-c", "pool-d")
VERSIONS = 2
"""Software versions that serve side by side in each service."""
ENGINES = 2
"""Engines of each version."""
EVENTS = 40
EVENT_S = 0.1
REQUESTERS = 120
BEFORE_S = 8.0
AFTER_S = 15.0
MIN_STREAMS = 12


async def work(engine, call):
    last = int(call.request.headers.get("last-event-id", "0"))
    await asyncio.sleep(0.03)
    await call.begin_stream()
    for number in range(last + 1, EVENTS + 1):
        await asyncio.sleep(EVENT_S)
        await call.send_event(number, f"{engine.version} token {number}")
    await call.end_stream()


class Try:
    """What a requester got in one try."""

    def __init__(self, name, instance):
        self.name, self.instance = name, instance
        self.status = 0
        self.events = []
        self.whole = False
        self.detail = ""


async def try_stream(site, instance, more):
    body = b'{"prompt": "digest"}'
    lines = site.headers(
        ("X-Savorydyke-Model", "m"),
        ("X-Savorydyke-Token-Count", "600,40"),
        ("X-Savorydyke-Prompt-Prefix", f"a1:60,{site.serial:x}:540"),
        *more,
        ("Content-Length", str(len(body))),
        deadline_ms=15000,
    )
    found = Try(dict(lines)["X-Savorydyke-Request-Id"], instance)
    host, _, port = instance.callers.rpartition(":")
    writer = None
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(head_bytes("POST /digest/1 HTTP/1.1", lines) + body)
        head = await read_head(reader)
        if head is None:
            return found
        found.status = int(head[0].split(" ")[1])
        if found.status != 200:
            length = int(head[1].get("content-length", "0"))
            found.detail = (await reader.readexactly(length))[:160].decode()
            return found
        rest = b""
        async for part in read_chunks(reader):
            rest += part
            *blocks, rest = rest.split(b"\n\n")
            found.events += [block.decode() for block in blocks]
        found.whole = True
    except (OSError, asyncio.IncompleteReadError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return found


async def request(site, begun, taken_up):
    """Ask for streams; take one up once, at another instance, if its channel breaks."""
    while not site.closing:
        instance = random.choice(site.alive)
        at = site.clock()
        first = await try_stream(site, instance, [])
        begun.append((at, first))
        if first.events and not first.whole and not site.closing:
            others = [one for one in site.alive if one is not instance]
            last = first.events[-1].split("\n")[0].removeprefix("id: ")
            more = [("Last-Event-Id", last), ("Resumes", first.name)]
            again = await try_stream(site, random.choice(others), more)
            taken_up.append((site.clock(), first, again))
        await asyncio.sleep(0.1)


async def case(site, trouble):
    for place, service in enumerate(SERVICES):
        for number in range(VERSIONS * ENGINES):
            version = str(VERSIONS * place + number % VERSIONS + 1)
            name = f"{service}-{number}"
            engine = Engine(site, name, service, work, version, slots=16)
            site.engines.append(engine)
            await engine.start()
    backend = {"slots": 16, "kv_capacity": 464353, "stride": 1}
    digest = route(
        "digest",
        "streaming",
        SERVICES[0],
        timeout_ms=15000,
        slo_ms=1200,
        resumable=True,
        affinity=True,
        gap_target_ms=800,
        split=[{"service": name, "weight": 1} for name in SERVICES],
    )
    site.configure(
        routes=[digest],
        services=[{"name": name, "backend": backend} for name in SERVICES],
    )
    await site.start_instances(INSTANCES)
    site.alive = list(site.instances)
    begun, taken_up = [], []
    for _ in range(REQUESTERS):
        site.spawn(request(site, begun, taken_up))
    await asyncio.sleep(CONTACT_S + BEFORE_S)
    killed = site.instances[-1]
    if trouble:
        site.alive.remove(killed)
        killed.signal(signal.SIGKILL)
        site.note(f"{killed.name} is killed")
    await asyncio.sleep(AFTER_S)
    fresh = [t for _, t in begun if t.instance is not killed]
    new_share = sum(bool(t.events) for t in fresh) / max(1, len(fresh))
    right, wrong, refused = 0, 0, 0
    for _, one, again in taken_up:
        version, other = version_of(one), version_of(again)
        right += other == version
        wrong += other not in {"", version}
        refused += not other
        how = (
            f"goes on at version {other}" if other else f"{again.status} {again.detail}"
        )
        site.note(f"{one.name} of version {version} taken up as {again.name}: {how}")
    count = len(taken_up)
    site.note(
        f"{len(fresh)} new streams, {new_share:.3f} of them begin; {count} taken up:"
        f" {right} go on at their version, {wrong} at another one, {refused} not at all"
    )
    on = right + wrong
    if count >= MIN_STREAMS and on / count < 0.5 * new_share:
        return [
            f"LOST: {on} of {count} streams that are taken up go on, while {new_share:.3f}"
            f" of {len(fresh)} new ones begin and {ENGINES} engines of each software"
            " version serve"
        ]
    return []


def version_of(found):
    """Return the software version that wrote the first event, empty without one."""
    return found.events[0].split("data: ")[1].split(" ")[0] if found.events else ""


sys.exit(main(FOLDER, case))

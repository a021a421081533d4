"""All instances are killed while engines of a second version start: no stream goes on.

With TROUBLE=0 nothing is killed: the callers break their streams themselves, and take
them up in the same way. With TROUBLE=kill all are killed, and no second version comes.
"""

import asyncio
import random
from pathlib import Path

from fleet import CONTACT_S, HOST, REQUEST_HOST, run_case

KEY = "key-of-crew"
STREAMS = 24
EVENTS = 80
GAP_S = 0.15
DEADLINE_S = 15.0
DOWN_S = 1.0
AGAIN_S = 5.0
RETRIES = 2


def configure(fleet):
    route = {
        "name": "stream",
        "host": REQUEST_HOST,
        "prefix": "/stream/",
        "kind": "streaming",
        "resumable": True,
        "service": "model-pool",
        "timeout_ms": 15000,
        "slo_ms": 1200,
        "gap_target_ms": 800,
        "attempts": 2,
        "priority": 0,
    }
    backend = {"slots": 8, "kv_capacity": 400000, "stride": 1}
    services = [{"name": "model-pool", "backend": backend}]
    tenants = [{"name": "crew", "api_keys": [KEY], "priority": 0}]
    fleet.configure([route], services, tenants)


class Stream:
    """One stream of a client, over all its tries."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.root = ""
        self.last = 0
        self.versions = set()
        self.sent = 0.0
        self.tries = []

    async def attempt(self, instance, until):
        """Send one try; return the seconds after which to come back, None if it ran."""
        fleet = self.fleet
        number = f"{next(fleet.serial):06d}{random.getrandbits(32):08x}"
        sent = fleet.record.now()
        self.sent = self.sent or sent
        left_s = DEADLINE_S - (sent - self.sent)
        lines = [
            "POST /stream/1 HTTP/1.1",
            f"Host: {REQUEST_HOST}",
            f"X-Savorydyke-Request-Id: {number}",
            f"X-Savorydyke-Deadline-Ms: {int(left_s * 1000)}",
            f"Authorization: Bearer {KEY}",
            "X-Savorydyke-Model: m",
            f"X-Savorydyke-Token-Count: 600,{EVENTS}",
            "Content-Length: 4",
        ]
        if self.last:
            lines += [f"Last-Event-Id: {self.last}", f"Resumes: {self.root}"]
        fleet.record.note(
            "sent", request=number, to=instance.name, after=self.last, root=self.root
        )
        status, events, retry_s, writer = 0, 0, 0.5, None
        try:
            async with asyncio.timeout(min(left_s, until - sent)):
                reader, writer = await asyncio.open_connection(HOST, instance.callers)
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\nbody")
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                status = int(head.split(" ")[1])
                for line in head.lower().split("\r\n"):
                    if line.startswith("retry-after:"):
                        retry_s = float(line.split(":")[1])
                while status == 200:
                    size = int(await reader.readuntil(b"\r\n"), 16)
                    part = (await reader.readexactly(size + 2))[:-2]
                    if not size:
                        break
                    for event in part.split(b"\n\n")[:-1]:
                        fields = dict(x.split(b": ", 1) for x in event.split(b"\n"))
                        self.root = self.root or number
                        self.last = int(fields[b"id"])
                        self.versions.add(fields[b"data"].split(b"/")[0])
                        events += 1
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        finally:
            if writer is not None:
                writer.close()
        fleet.record.note("answered", request=number, status=status, events=events)
        self.tries.append((sent, instance.name, status, events))
        return None if events else retry_s


async def case(fleet, trouble):
    configure(fleet)
    for number in range(4):
        await fleet.engine(
            "model-pool", f"i-old-{number}", slots=8, work_s=0.1, gap_s=GAP_S
        )
    for name in ("edge-a-1", "edge-b-1", "edge-c-1"):
        await fleet.instance(name)
    await fleet.wait_until_ready()
    # Longer than the time for which an instance can not know what ran before its start.
    await asyncio.sleep(33.0)
    for engine in fleet.engines:
        engine.events = EVENTS
    began = fleet.record.now()
    broken = began + 3.0
    streams = [Stream(fleet) for _ in range(STREAMS)]
    new = [Stream(fleet) for _ in range(STREAMS)]

    def pick():
        return random.choice(fleet.instances)

    async def begin(stream):
        await asyncio.sleep(2.0 * random.random())
        await stream.attempt(pick(), broken if trouble == "0" else broken + 60.0)

    tasks = [fleet.spawn(begin(stream)) for stream in streams]
    await asyncio.sleep(broken - fleet.record.now())
    if trouble != "0":
        for instance in fleet.instances:
            instance.kill()
    if trouble != "kill":
        for number in range(2):
            engine = await fleet.engine(
                "model-pool",
                f"i-new-{number}",
                slots=8,
                work_s=0.1,
                gap_s=GAP_S,
                version="2",
            )
            engine.events = EVENTS
    await asyncio.sleep(DOWN_S)
    if trouble != "0":
        for instance in fleet.instances:
            await instance.start()
    await asyncio.gather(*tasks)
    started = fleet.record.now()
    await asyncio.sleep(max(0.0, broken + AGAIN_S - fleet.record.now()))

    async def take_up(stream):
        """Take up a stream, and come back a few times if that is refused."""
        await asyncio.sleep(random.random())
        for _ in range(1 + RETRIES):
            retry_s = await stream.attempt(pick(), broken + 60.0)
            if retry_s is None or retry_s > (DEADLINE_S - AGAIN_S) / 3:
                return
            await asyncio.sleep(retry_s)

    taken = [stream for stream in streams if 0 < stream.last < EVENTS]
    counts = [len(stream.tries) for stream in taken]
    await asyncio.gather(*map(take_up, taken), *map(take_up, new))
    in_touch = started + CONTACT_S if trouble != "0" else 0.0
    asked, went_on = 0, 0
    for stream, count in zip(taken, counts, strict=True):
        tries = [t for t in stream.tries[count:] if t[0] >= in_touch]
        asked += bool(tries)
        went_on += any(t[3] for t in tries)
    new_asked = sum(any(t[0] >= in_touch for t in s.tries) for s in new)
    new_began = sum(any(t[0] >= in_touch and t[3] for t in s.tries) for s in new)
    mixed = sum(len(stream.versions) > 1 for stream in streams)
    fleet.record.say(f"streams taken up: {asked}, of which {went_on} went on")
    fleet.record.say(f"new streams: {new_asked}, of which {new_began} began")
    fleet.record.say(f"streams with events of two versions: {mixed}")
    if asked < 12 or not new_asked:
        return 2
    return int(went_on / asked < new_began / new_asked / 2)


run_case(Path(__file__).parent, case)

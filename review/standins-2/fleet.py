"""Stand-ins of the platform, its servers and its clients for the cases of the review.

Everything is on loopback addresses and uses only the standard library. The store and the
engines follow the platform's pages; the instances are started as the deploy file starts
them. Each instance has an address of the store of its own, which names links to the
engines that belong to this instance and can be cut.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
REQUEST_HOST = "desk.example"
LIMIT_S = 112
HELD, BROKEN, NOT_RUN = 0, 1, 2
WRITES = ("kv-txn", "kv-lease", "kv-lease-end")

BOUNDS = {
    "revocation_ms": 5000,
    "configuration_ms": 2000,
    "leaving_ms": 2000,
    "stop_s": 8,
    "repeat_ratio": 0.2,
    "repeat_slack": 54,
    "repeat_window_s": 10,
    "quota_excess": 0.1,
    "quota_slack": 140000,
    "quota_window_s": 8,
    "prefix_reuse_s": 10,
}
"""Those of the site vbn-savory."""
CONTACT_S = 3.0


RESERVED = []


def free_port(count=1):
    """Return the first of some successive free ports, below the ephemeral ones.

    A datagram socket of the same number, which is kept open, reserves each of them among
    all scripts that run at the same time.
    """
    while True:
        first = random.SystemRandom().randrange(10_000, 32_000)
        reserved = []
        try:
            for port in range(first, first + count):
                reserved.append(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
                reserved[-1].bind((HOST, port))
                with socket.socket() as probe:
                    probe.bind((HOST, port))
        except OSError:
            for one in reserved:
                one.close()
            continue
        RESERVED.extend(reserved)
        return first


def reset(writer):
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class Record:
    """What was sent, answered and run, for `record.txt`."""

    def __init__(self, folder):
        self.file = (Path(folder) / "record.txt").open("w")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def note(self, what, **more):
        fields = " ".join(f"{name}={value}" for name, value in more.items())
        self.file.write(f"{self.now():8.3f} {what} {fields}\n")

    def say(self, text):
        self.note("#", text=text)
        self.file.flush()
        print(f"{self.now():7.2f} {text}", flush=True)


# HTTP


async def read_message(reader):
    """Return first line, headers and body of a message, None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head[:-4].decode("latin-1").split("\r\n")
    headers = [tuple(p.strip() for p in line.split(":", 1)) for line in lines[1:]]
    names = {name.lower(): value for name, value in headers}
    body = b""
    if names.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                break
            body += part[:-2]
    elif "content-length" in names:
        body = await reader.readexactly(int(names["content-length"]))
    return lines[0], names, body


def response(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} X", *(f"{n}: {v}" for n, v in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


# The store


class Store:
    """The platform's store, as `PROTOCOL.md` describes it.

    `lose(who, call, body)` returns None, or the seconds after which a call is carried
    out that gets no answer.
    """

    def __init__(self, record):
        self.record = record
        self.revision = 10
        self.oldest = 0
        self.era = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = itertools.count(1001)
        self.changed = asyncio.Event()
        self.lose = lambda who, call, body: None
        self.links = {}
        self.tasks = set()
        self.writes = 0
        self.lost = 0

    # For the operator and the engines

    def put(self, key, value, lease=0):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._put(key, base64.b64encode(data).decode(), lease)

    def _put(self, key, text, lease):
        self.revision += 1
        before = self.items.get(key)
        item = {
            "key": key,
            "value": text,
            "revision": self.revision,
            "created": before["created"] if before else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self._note(dict(item))

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note({"key": key, "revision": self.revision, "deleted": True})

    def _note(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def run(self):
        """End leases that have run out."""
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [n for n, (until, _) in self.leases.items() if until < now]:
                self.end_lease(lease)

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.record.note("store-removes", key=key, lease=lease)
            self.remove(key)
        return True

    # Calls

    async def listen(self, who):
        """Serve one instance; return the address."""
        port = free_port()
        self.links.setdefault(who, {})

        async def serve(reader, writer):
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                while (message := await read_message(reader)) is not None:
                    if not await self._answer(who, message, writer):
                        break
            writer.close()

        await asyncio.start_server(serve, HOST, port)
        return f"{HOST}:{port}"

    async def _answer(self, who, message, writer):
        line, _, body = message
        method, target, _ = line.split(" ")
        path, _, query = target.partition("?")
        parts = path.removeprefix("/savorydyke/").split("/")
        call, rest = parts[0], parts[1] if len(parts) > 1 else ""
        params = {n: v[0] for n, v in parse_qs(query, True).items()}
        value = json.loads(body) if body else {}
        self.writes += call in WRITES
        delay = self.lose(who, call, value)
        if delay is not None:
            self.lost += 1
            self.record.note("store-loses-answer", of=who, call=call, done_after=delay)
            task = asyncio.create_task(self._do_late(who, delay, call, rest, value))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(60)
            return False
        status, answer = await self._do(who, call, rest, params, value)
        headers = [("Content-Type", "application/json"), ("Store-Era", str(self.era))]
        writer.write(response(status, headers, json.dumps(answer).encode()))
        await writer.drain()
        return True

    async def _do_late(self, who, delay, call, rest, value):
        await asyncio.sleep(delay)
        status, _ = await self._do(who, call, rest, {}, value)
        self.record.note("store-does-late", of=who, call=call, status=status)

    async def _do(self, who, call, rest, params, value):
        if call == "kv-key":
            item = self.items.get(params["key"])
            if item is None:
                return 404, {}
            return 200, self._seen(who, item) | {"current_rev": self.revision}
        if call == "kv-range":
            after = params.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(params["prefix"]))
            keys = [k for k in keys if k > after]
            page = [self._seen(who, self.items[k]) for k in keys[:500]]
            more = {"more_pages": len(keys) > 500, "current_rev": self.revision}
            return 200, {"items": page} | more
        if call == "kv-watch":
            return await self._watch(who, params)
        if call == "kv-lease":
            lease, ttl = next(self.next_lease), max(1000, int(value["ttl_ms"]))
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl / 1000)
            return 200, {"lease": lease, "ttl_ms": ttl}
        if call == "kv-keep":
            known = self.leases.get(int(rest))
            if known is None:
                return 404, {}
            self.leases[int(rest)] = (time.monotonic() + known[1], known[1])
            return 200, {"ttl_ms": int(known[1] * 1000)}
        if call == "kv-lease-end":
            return (200, {}) if self.end_lease(int(rest)) else (404, {})
        if call == "kv-txn":
            return self._transact(value)
        return 404, {}

    def _transact(self, value):
        rows = value.get("if_rev", [])
        found = [self.items.get(row["key"]) for row in rows]
        for row, item in zip(rows, found, strict=True):
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item for item in found if item]}
        for write in value.get("writes", []):
            if write.get("lease") and write["lease"] not in self.leases:
                return 404, {}
            if write["key"].startswith(("op/", "servers/")):
                return 403, {}
        for write in value.get("writes", []):
            self._put(write["key"], write["value"], write.get("lease", 0))
        for key in value.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}

    async def _watch(self, who, params):
        after, until = int(params["after"]), time.monotonic()
        until += int(params["wait_ms"]) / 1000
        prefix = params["prefix"]
        while True:
            if not self.oldest <= after <= self.revision:
                return 410, {}
            events = [e for e in self.history if e["revision"] > after]
            events = [e for e in events if e["key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                seen = [self._seen(who, e) for e in events]
                return 200, {"events": seen, "current_rev": self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)

    def _seen(self, who, item):
        """Return an item as an instance sees it: with its own links to the engines."""
        links = self.links.get(who, {})
        if not item["key"].startswith("servers/") or "value" not in item:
            return item
        entry = json.loads(base64.b64decode(item["value"]))
        if entry.get("address") not in links:
            return item
        entry["address"] = links[entry["address"]].address
        data = base64.b64encode(json.dumps(entry).encode()).decode()
        return item | {"value": data}


# Links


class Link:
    """A relay from an instance to an engine that can be cut."""

    def __init__(self, target):
        self.target, self.port = target, free_port()
        self.address = f"{HOST}:{self.port}"
        self.server = None
        self.writers = set()

    async def open(self):
        self.server = await asyncio.start_server(self._serve, HOST, self.port)

    async def cut(self):
        """Reset all connections and refuse new ones."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            reset(writer)

    async def _serve(self, reader, writer):
        host, _, port = self.target.partition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            reset(writer)
            return
        self.writers |= {writer, far_writer}

        async def copy(source, sink):
            try:
                while data := await source.read(65536):
                    sink.write(data)
                    await sink.drain()
                if sink.can_write_eof():
                    sink.write_eof()
            except (ConnectionError, OSError, RuntimeError):
                reset(sink)

        await asyncio.gather(copy(reader, far_writer), copy(far_reader, writer))
        self.writers -= {writer, far_writer}
        for one in (writer, far_writer):
            one.close()


# Engines


class Engine:
    """A sound engine: `slots` requests at a time, and a queue of some more."""

    def __init__(self, fleet, service, name, slots, work_s, version="1", gap_s=0.05):
        self.fleet, self.service, self.name = fleet, service, name
        self.slots, self.work_s, self.version = slots, work_s, version
        self.gap_s = gap_s
        self.port = free_port()
        self.address = f"{HOST}:{self.port}"
        self.born = int(time.time() * 1000)
        self.places = asyncio.Semaphore(slots)
        self.waiting = self.running = 0
        self.events = 5
        self.server = None
        self.beats = None
        self.seq = 0
        self.writers = set()
        self.headers = []

    async def start(self):
        self.server = await asyncio.start_server(self._serve, HOST, self.port)
        self.beats = asyncio.create_task(self._beat())

    async def _beat(self):
        while True:
            self.seq += 1
            self.fleet.store.put(
                f"servers/{self.name}",
                {
                    "service": self.service,
                    "address": self.address,
                    "zone": "zone-a",
                    "version": self.version,
                    "slots": self.slots,
                    "state": "ready",
                    "cold_left_ms": 0,
                    "seq": self.seq,
                    "born": self.born,
                },
            )
            await asyncio.sleep(1.2)

    def crash(self):
        """End the process: nothing listens, and connections are reset."""
        self.server.close()
        self.beats.cancel()
        for writer in list(self.writers):
            reset(writer)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                ended = asyncio.create_task(self._end_of(reader))
                work = asyncio.create_task(self._answer(message, writer))
                await asyncio.wait({ended, work}, return_when=asyncio.FIRST_COMPLETED)
                if not work.done():
                    # The other end has closed the channel: the request is dropped.
                    work.cancel()
                    break
                ended.cancel()
                await asyncio.gather(ended, return_exceptions=True)
                if work.exception() is not None:
                    break
        except (ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _end_of(self, reader):
        """Return when the channel has ended; nothing is sent while one is answered."""
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.02)

    def load(self):
        return f"{self.running},{self.waiting},{self.slots}"

    async def _answer(self, message, writer):
        line, headers, body = message
        method, target, _ = line.split(" ")
        request = headers.get("x-savorydyke-request-id", "")
        echo = [("X-Savorydyke-Request-Id", request), *self.headers]
        echo.append(("X-Savorydyke-Load-Report", self.load()))
        if not request:
            id_header = [("X-Savorydyke-Instance-Id", self.name)]
            writer.write(response(200, id_header + echo[1:]))
            return
        if headers.get("x-savorydyke-expect-instance", self.name) != self.name:
            writer.write(response(421, [*echo, ("X-Savorydyke-Not-Executed", "1")]))
            return
        if self.waiting >= 48:
            writer.write(response(503, [*echo, ("X-Savorydyke-Not-Executed", "1")]))
            return
        deadline_s = float(headers.get("x-savorydyke-deadline-ms", "60000")) / 1000
        self.waiting += 1
        try:
            async with asyncio.timeout(deadline_s):
                await self.places.acquire()
        except TimeoutError:
            writer.write(response(503, [*echo, ("X-Savorydyke-Not-Executed", "1")]))
            return
        finally:
            self.waiting -= 1
        self.running += 1
        self.fleet.ran(self, request, headers)
        try:
            stamp = f"{random.getrandbits(32):08x}.{self.name}"
            echo.append(("X-Savorydyke-Response-Stamp", stamp))
            await asyncio.sleep(self.work_s)
            if target.startswith("/s"):
                await self._stream(headers, echo, writer)
            else:
                writer.write(response(200, echo, f"{self.name} {request}".encode()))
                await writer.drain()
        finally:
            self.running -= 1
            self.places.release()

    async def _stream(self, headers, echo, writer):
        first = int(headers.get("last-event-id", "0")) + 1
        lines = ["HTTP/1.1 200 X", "Content-Type: text/event-stream"]
        lines += [f"{n}: {v}" for n, v in echo] + ["Transfer-Encoding: chunked"]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        for number in range(first, self.events + 1):
            event = b"id: %d\ndata: %s/%d\n\n" % (
                number,
                self.version.encode(),
                number,
            )
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.gap_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


# Instances


class Instance:
    """One instance, a process of its own."""

    def __init__(self, fleet, name):
        self.fleet, self.name = fleet, name
        self.callers, self.ready = free_port(), free_port()
        self.peers = free_port(2)
        self.settings = fleet.folder / f"{name}.jsonc"
        self.log = fleet.folder / f"{name}.log"
        self.process = None

    async def start(self):
        if not self.settings.exists():
            store = await self.fleet.store.listen(self.name)
            settings = {
                "edges": "routed",
                "instance": self.name,
                "data_centre": "zone-a",
                "callers": f"{HOST}:{self.callers}",
                "readiness": f"{HOST}:{self.ready}",
                "peers": f"{HOST}:{self.peers}",
                "store": store,
                "endpoint_heartbeat_ms": 1200,
                "terms": self.fleet.terms,
                "memory_mb": 300,
                "processor": {"share": 0.537, "speed": 2},
                "bounds": BOUNDS,
            }
            self.settings.write_text(json.dumps(settings))
        environment = {
            n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ
        }
        environment["PYTHONPATH"] = "target/deps"
        self.process = subprocess.Popen(
            ["python3", "-m", "savorydyke", "--config", str(self.settings)],
            cwd=ROOT,
            env=environment,
            stdout=self.log.open("ab"),
            stderr=subprocess.STDOUT,
        )
        self.fleet.record.note("start", instance=self.name)

    def signal(self, number):
        self.fleet.record.note("signal", instance=self.name, number=number.name)
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    async def readiness(self):
        """Return what the readiness page says, None if it says that it is not ready."""
        try:
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection(HOST, self.ready)
                writer.write(b"GET /savorydyke/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                message = await read_message(reader)
                writer.close()
        except (OSError, TimeoutError):
            return None
        if message is None or " 200 " not in message[0]:
            return None
        return json.loads(message[2])

    async def cut_from_engines(self):
        self.fleet.record.note("cut-from-engines", instance=self.name)
        for link in self.fleet.store.links[self.name].values():
            await link.cut()

    async def heal(self):
        self.fleet.record.note("heal", instance=self.name)
        for link in self.fleet.store.links[self.name].values():
            await link.open()


class Fleet:
    """A small deployment."""

    def __init__(
        self, folder, terms=("base", "tenants", "quota", "stream", "platform")
    ):
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory(prefix="review-2-")
        self.folder = Path(self.temporary.name)
        self.terms = list(terms)
        self.store = Store(self.record)
        self.instances, self.engines = [], []
        self.runs = []
        self.version = 1
        self.serial = itertools.count(1)
        self.tasks = set()

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def configure(self, routes, services, tenants):
        self.version += 3
        limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        value = {
            "version": self.version,
            "routes": routes,
            "services": services,
            "limits": limits,
            "tenants": tenants,
        }
        self.store.put("op/config", value)

    async def engine(self, service, name, **more):
        engine = Engine(self, service, name, **more)
        self.engines.append(engine)
        for who in [i.name for i in self.instances]:
            await self.link(who, engine)
        await engine.start()
        return engine

    async def link(self, who, engine):
        link = Link(engine.address)
        self.store.links.setdefault(who, {})[engine.address] = link
        await link.open()

    async def instance(self, name):
        """Start an instance; it is ready later."""
        instance = Instance(self, name)
        self.instances.append(instance)
        for engine in self.engines:
            await self.link(name, engine)
        await instance.start()
        return instance

    async def wait_until_ready(self, timeout_s=20.0):
        """Wait until all instances are ready and linked to all others."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            pages = [await i.readiness() for i in self.instances]
            if all(p and p["peers"] == len(self.instances) - 1 for p in pages):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the fleet did not become ready")

    def ran(self, engine, request, headers):
        """Record that an engine has begun to work on a request."""
        now = self.record.now()
        self.runs.append((now, request, engine.name))
        self.record.note("run", request=request, engine=engine.name)

    # Clients

    async def ask(self, instance, path, key, *, method="POST", deadline_s=3.0, more=()):
        """Send one request on a new channel; return what the client has seen.

        That is (id, sent at, status, headers, body, whether it is complete).
        """
        request = f"{next(self.serial):06d}{random.getrandbits(32):08x}"
        sent = self.record.now()
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {REQUEST_HOST}",
            f"X-Savorydyke-Request-Id: {request}",
            f"X-Savorydyke-Deadline-Ms: {int(deadline_s * 1000)}",
            f"Authorization: Bearer {key}",
            *(f"{name}: {value}" for name, value in more),
        ]
        if method == "POST":
            lines.append("Content-Length: 4")
        data = "\r\n".join(lines).encode() + b"\r\n\r\n"
        data += b"body" if method == "POST" else b""
        self.record.note("sent", request=request, to=instance.name, path=path)
        status, names, body, complete = 0, {}, b"", False
        writer = None
        try:
            async with asyncio.timeout(deadline_s + 1.0):
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(HOST, instance.callers), 1.0
                )
                writer.write(data)
                head = await reader.readuntil(b"\r\n\r\n")
                head_lines = head[:-4].decode("latin-1").split("\r\n")
                status = int(head_lines[0].split(" ")[1])
                pairs = [line.split(":", 1) for line in head_lines[1:]]
                names = {n.strip().lower(): v.strip() for n, v in pairs}
                if names.get("transfer-encoding") == "chunked":
                    while True:
                        size = int(await reader.readuntil(b"\r\n"), 16)
                        part = await reader.readexactly(size + 2)
                        if not size:
                            break
                        body += part[:-2]
                else:
                    body = await reader.readexactly(int(names["content-length"]))
                complete = True
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        finally:
            if writer is not None:
                writer.close()
        self.record.note(
            "answered",
            request=request,
            status=status,
            complete=complete,
            size=len(body),
        )
        return request, sent, status, names, body, complete

    async def close(self):
        for task in list(self.tasks):
            task.cancel()
        for instance in self.instances:
            if instance.process is not None:
                with contextlib.suppress(ProcessLookupError):
                    instance.process.send_signal(signal.SIGCONT)
                    instance.process.kill()
                instance.process.wait()
        self.record.file.flush()
        if kept := os.environ.get("KEEP_LOGS"):
            Path(kept).mkdir(parents=True, exist_ok=True)
            for log in self.folder.glob("*.log"):
                (Path(kept) / log.name).write_bytes(log.read_bytes())


def is_served(answer):
    """Return whether a client has got an engine's whole successful answer."""
    _, _, status, headers, _, complete = answer
    return complete and 200 <= status < 300 and "x-savorydyke-response-stamp" in headers


def run_case(folder, case):
    """Run a case, end its processes, and exit as the issue says."""

    async def run():
        fleet = Fleet(os.environ.get("RECORD_FOLDER", folder))
        # A channel that is closed while it is served ends its task.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        trouble = os.environ.get("TROUBLE", "1")
        try:
            store = asyncio.create_task(fleet.store.run())
            async with asyncio.timeout(LIMIT_S):
                status = await case(fleet, trouble)
            store.cancel()
        except Exception as error:
            fleet.record.say(f"could not run: {error!r}")
            status = NOT_RUN
        finally:
            await fleet.close()
        fleet.record.say(
            {0: "the rule held", 1: "THE RULE WAS BROKEN", 2: "not run"}[status]
        )
        return status

    status = asyncio.run(run())
    sys.stdout.flush()
    os._exit(status)

"""A small deployment: the stand-ins, and instances of savorydyke as processes."""

import asyncio
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from .engine import beat
from .http import ask
from .store import Store

ROOT = Path(__file__).resolve().parents[2]
DEPLOY = ROOT / "deploy" / "system.toml"
HOST = "desk.example"
KEY = "key-of-crew"
START_TIMEOUT_S = 20.0
BOUNDS = {
    # The bounds of the sheets in SYSTEM.md.
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
}
CONTACT_S = 3.0
DRAIN_S = 2.0


class Instance:
    """One instance: its addresses and its process."""

    def __init__(self, name, settings, path, log):
        self.name, self.settings, self.path, self.log = name, settings, path, log
        self.process = None

    @property
    def callers(self):
        return self.settings["callers"]

    def start(self):
        """Start it with the command of the deploy file."""
        roles = tomllib.loads(DEPLOY.read_text())["roles"]
        words = shlex.split(roles["savorydyked"]["run"])
        words = [str(self.path) if w.startswith("/etc/") else w for w in words]
        words[0] = sys.executable if words[0] == "python3" else words[0]
        keep = ("PATH", "HOME", "LANG")
        environment = {k: os.environ[k] for k in keep if k in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        self.process = subprocess.Popen(
            words,
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self.log.open("a"),
            stderr=subprocess.STDOUT,
        )

    def signal(self, number):
        self.process.send_signal(number)


class Site:
    """The stand-ins and the instances of one script."""

    def __init__(self, folder, record):
        self.folder = Path(folder)
        self.record = record
        self.began = time.monotonic()
        self.store = Store(self.clock)
        self.store_address = ""
        self.instances = []
        self.engines = []
        self.servers = []
        self.tasks = []
        self.version = 0
        self.serial = 0
        self.closing = False
        self.reserved = []

    def clock(self):
        """Return seconds since the start of the script, on the steady clock."""
        return time.monotonic() - self.began

    def time_of_day(self):
        return time.time()

    def note(self, text):
        """Write a line to the record."""
        self.record.write(f"{self.clock():8.3f} {text}\n")
        self.record.flush()

    def free_address(self, count=1):
        """Return a loopback address with `count` free successive ports.

        They lie below the usual range of ephemeral ports.
        """
        while True:
            first = random.SystemRandom().randrange(10_000, 32_000)
            ports = range(first, first + count)
            if all(map(_is_free, ports)) and self._reserve(ports):
                return f"127.0.0.1:{first}"

    def _reserve(self, ports):
        """Reserve ports among scripts that run side by side, by datagram sockets."""
        held = []
        try:
            for port in ports:
                held.append(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
                held[-1].bind(("127.0.0.1", port))
        except OSError:
            for one in held:
                one.close()
            return False
        self.reserved += held
        return True

    # The operator

    def configure(self, **fields):
        """Write the next version of the config."""
        self.version += 3
        config = {
            "version": self.version,
            "routes": [],
            "services": [],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
            "tenants": [{"name": "crew", "api_keys": [KEY], "priority": 0}],
        }
        self.store.put("op/config", config | fields)
        self.note(f"config {self.version} acknowledged")

    # Start and end

    async def open_store(self):
        self.store_address = self.free_address()
        host, _, port = self.store_address.rpartition(":")
        server = await asyncio.start_server(self.store.serve, host, int(port))
        self.servers.append(server)
        self.spawn(self.store.expire_leases())
        self.spawn(beat(self))

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.append(task)
        return task

    def add_instance(self, zone="a"):
        name = f"edge-{len(self.instances) + 1}"
        settings = {
            "edges": "routed",
            "instance": name,
            "data_centre": zone,
            "callers": self.free_address(),
            "readiness": self.free_address(),
            "peers": self.free_address(2),
            "store": self.store_address,
            "metrics": self.free_address(),
            "processor": {"share": 0.537, "speed": 2},
            "bounds": BOUNDS,
        }
        path = self.folder / f"{name}.jsonc"
        path.write_text(json.dumps(settings))
        instance = Instance(name, settings, path, self.folder / f"{name}.log")
        self.instances.append(instance)
        return instance

    async def start_instances(self, count):
        """Start instances and wait until all are ready and linked."""
        for _ in range(count):
            self.add_instance().start()
        for instance in self.instances:
            await self.wait_until_ready(instance, count - 1)
        self.note(f"{count} instances are ready and linked")

    async def wait_until_ready(self, instance, peers=0):
        until = self.clock() + START_TIMEOUT_S
        while self.clock() < until:
            if instance.process.poll() is not None:
                raise NotRunnable(f"{instance.name} ended: {instance.process.poll()}")
            answer = await ask(
                instance.settings["readiness"],
                "GET",
                "/savorydyke/readyz",
                [("Host", "x")],
                timeout_s=1.0,
            )
            if answer.status == 200 and json.loads(answer.body)["peers"] >= peers:
                return
            await asyncio.sleep(0.1)
        raise NotRunnable(f"{instance.name} is not ready; see its log")

    async def close(self):
        self.closing = True
        for instance in self.instances:
            if instance.process and instance.process.poll() is None:
                instance.process.send_signal(signal.SIGCONT)
                instance.process.kill()
        for instance in self.instances:
            if instance.process:
                instance.process.wait()
        for engine in self.engines:
            engine.end()
        for task in self.tasks:
            task.cancel()
        for server in self.servers:
            server.close()

    # Requesters

    def headers(self, *more, deadline_ms=3000, request_id=None, key=KEY):
        self.serial += 1
        found = [
            ("Host", HOST),
            ("X-Savorydyke-Request-Id", request_id or f"r{self.serial}"),
            ("X-Savorydyke-Deadline-Ms", str(deadline_ms)),
        ]
        if key:
            found.append(("Authorization", f"Bearer {key}"))
        return [*found, *more]


class NotRunnable(Exception):
    """Raised when the case could not run."""


def route(name, kind, service, **more):
    """Return a route for the path /NAME/."""
    fields = {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout_ms": 3000,
        "slo_ms": 400,
        "attempts": 2,
        "priority": 0,
    }
    return fields | more


def _is_free(port):
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def main(folder, case):
    """Run `await case(site, trouble)`; it returns a list of what broke the rule.

    Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
    """
    # A script that is told to end ends its instances too.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    path = Path(folder) / "record.txt"
    status = 2
    logs = os.environ.get("REVIEW_LOGS")
    with path.open("w") as record, tempfile.TemporaryDirectory() as temporary:
        record.write(f"TROUBLE={int(trouble)}\n")
        if logs:
            temporary = logs
            Path(logs).mkdir(parents=True, exist_ok=True)
        try:
            broken = asyncio.run(_run(temporary, record, case, trouble))
            for line in broken:
                record.write(f"BROKEN: {line}\n")
            status = 1 if broken else 0
        except NotRunnable as error:
            record.write(f"could not run: {error}\n")
        except Exception as error:
            record.write(f"could not run: {error!r}\n")
            raise
        finally:
            record.write(f"exit {status}\n")
    print(path.read_text().splitlines()[-1], *(broken if status == 1 else []), sep="\n")
    return status


async def _run(folder, record, case, trouble):
    site = Site(folder, record)
    try:
        async with asyncio.timeout(115):
            await site.open_store()
            return await case(site, trouble)
    except TimeoutError:
        raise NotRunnable("it took too long") from None
    finally:
        await site.close()

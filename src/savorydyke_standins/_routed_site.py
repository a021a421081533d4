"""A small routed deployment for tests: store, endpoints and real daemons."""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import h11
import trio

from savorydyke_standins._routed_endpoint import RoutedEndpoint, Script
from savorydyke_standins._store import StandInStore, new_store_server

Header = tuple[bytes, bytes]
Headers = list[Header]

HOST = "desk.example"
KEY = "key-of-crew"
START_TIMEOUT_S = 10.0
ANSWER_TIMEOUT_S = 6.0
LAST_LINES_S = 0.2
BOUNDS = {"revocation_ms": 3000, "stop_s": 4, "repeat_slack": 50}


def free_address() -> str:
    """Return a loopback address whose port is free."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


@dataclass
class Answer:
    """An answer as a caller got it."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    complete: bool


@dataclass
class Caller:
    """One caller's connection."""

    stream: trio.SocketStream
    http: h11.Connection = field(default_factory=lambda: h11.Connection(h11.CLIENT))

    async def send(self, data: bytes) -> None:
        """Send raw bytes."""
        await self.stream.send_all(data)

    async def request(
        self, method: str, path: str, headers: Headers, body: bytes = b""
    ) -> Answer:
        """Send a request and return its answer."""
        if body:
            headers = [*headers, (b"Content-Length", str(len(body)).encode())]
        data = self.http.send(h11.Request(method=method, target=path, headers=headers))
        if body:
            data += self.http.send(h11.Data(data=body))
        data += self.http.send(h11.EndOfMessage())
        await self.send(data)
        return await self.answer()

    async def answer(self) -> Answer:
        """Return the next answer."""
        found = Answer(0, {}, b"", False)
        try:
            with trio.fail_after(ANSWER_TIMEOUT_S):
                while not found.complete:
                    await self._take_event(found)
        except (trio.BrokenResourceError, h11.RemoteProtocolError):
            # The connection ended first, so the answer is not complete.
            return found
        if self.http.our_state is h11.DONE is self.http.their_state:
            self.http.start_next_cycle()
        return found

    async def _take_event(self, found: Answer) -> None:
        event = self.http.next_event()
        if event is h11.NEED_DATA:
            self.http.receive_data(await self.stream.receive_some(65536))
        elif isinstance(event, h11.Response):
            found.status = event.status_code
            found.headers = dict(event.headers)
        elif isinstance(event, h11.Data):
            found.body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            found.complete = True
        elif isinstance(event, h11.ConnectionClosed):
            raise trio.BrokenResourceError("closed before the answer")


@dataclass
class Daemon:
    """One instance, a process of its own."""

    name: str
    callers: str
    readiness: str
    process: subprocess.Popen
    log: Path
    settings: Path

    def stop(self) -> None:
        """Ask it to stop."""
        self.process.send_signal(signal.SIGTERM)

    def lines(self) -> list[dict]:
        """Return its log lines."""
        return [
            json.loads(x) for x in self.log.read_text().splitlines() if x[:1] == "{"
        ]


def start_process(settings: Path, log: Path) -> subprocess.Popen:
    """Start an instance with these settings; its output is added to `log`."""
    return subprocess.Popen(
        [sys.executable, "-m", "savorydyke", "--config", str(settings)],
        stdout=log.open("a"),
        stderr=subprocess.STDOUT,
    )


@dataclass
class Site:
    """Everything that one scenario uses."""

    nursery: trio.Nursery
    folder: Path
    store: StandInStore = field(default_factory=StandInStore)
    store_address: str = field(default_factory=free_address)
    endpoints: dict[str, RoutedEndpoint] = field(default_factory=dict)
    addresses: dict[str, str] = field(default_factory=dict)
    daemons: list[Daemon] = field(default_factory=list)
    version: int = 1
    serial: int = 0

    # What the operator and the endpoints write

    def routes(self) -> list[dict]:
        """Return one route of each kind."""

        def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
            fields = {
                "name": name,
                "host": HOST,
                "prefix": f"/{name}/",
                "kind": kind,
                "service": service,
                "timeout_ms": 2000,
                "slo_ms": 1000,
                "attempts": 2,
                "priority": 0,
            }
            return fields | more

        return [
            route("claim", "mutating", "desk"),
            route("lookup", "idempotent", "desk"),
            route("open", "idempotent", "desk", public=True),
            route("digest", "streaming", "engines", resumable=True),
            route("question", "streaming", "engines", resumable=False, attempts=1),
        ]

    def configuration(self, **more: Any) -> dict:
        """Return the configuration in its stored form."""
        engine = {"slots": 4, "kv_capacity": 100000, "stride": 1}
        team = {"name": "crew", "api_keys": [KEY], "priority": 0}
        fields = {
            "version": self.version,
            "routes": self.routes(),
            "services": [{"name": "desk"}, {"name": "engines", "backend": engine}],
            "limits": {
                "max_header_bytes": 4096,
                "max_body_bytes": 200000,
                "header_timeout_ms": 500,
                "idle_timeout_ms": 6000,
            },
            "tenants": [team],
        }
        return fields | more

    def configure(self, **more: Any) -> None:
        """Store the next version."""
        self.version += 1
        self.store.put("op/config", self.configuration(**more))

    def entry(self, name: str, service: str, **more: Any) -> None:
        """Write an endpoint's entry of itself."""
        fields = {
            "service": service,
            "address": self.addresses[name],
            "zone": "a",
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 1,
            "born": 1,
        }
        self.store.put(f"servers/{name}", fields | more)

    async def endpoint(
        self, name: str, service: str, *scripts: Script
    ) -> RoutedEndpoint:
        """Start an endpoint and write its entry."""
        endpoint = RoutedEndpoint(list(scripts)) if scripts else RoutedEndpoint()
        self.endpoints[name] = endpoint
        self.addresses[name] = await self.listen(endpoint.serve, free_address())
        self.entry(name, service)
        return endpoint

    async def listen(self, handler: Callable[..., Any], address: str) -> str:
        """Serve a handler on an address."""
        host, _, port = address.partition(":")
        listeners = await trio.open_tcp_listeners(int(port), host=host)
        self.nursery.start_soon(trio.serve_listeners, handler, listeners)
        return address

    # Daemons

    async def daemon(
        self, name: str = "instance-1", wait: bool = True, store: str = ""
    ) -> Daemon:
        """Start an instance, and wait until it is ready."""
        settings = {
            "edges": "routed",
            "instance": name,
            "data_centre": "a",
            "callers": free_address(),
            "readiness": free_address(),
            "peers": free_address(),
            "store": store or self.store_address,
            "bounds": BOUNDS,
            "processor": {"share": 0.55, "speed": 2},
        }
        path = self.folder / f"{name}.jsonc"
        path.write_text(json.dumps(settings))
        log = self.folder / f"{name}.log"
        process = start_process(path, log)
        callers, readiness = str(settings["callers"]), str(settings["readiness"])
        found = Daemon(name, callers, readiness, process, log, path)
        self.daemons.append(found)
        if wait:
            await self.until_ready(found)
        return found

    async def until_ready(self, daemon: Daemon, ready: bool = True) -> None:
        """Wait until an instance says that it is ready, or no longer."""
        with trio.fail_after(START_TIMEOUT_S):
            while await self.is_ready(daemon) is not ready:
                await trio.sleep(0.05)

    async def is_ready(self, daemon: Daemon) -> bool:
        """Ask an instance whether it is ready."""
        try:
            caller = await self.connect(daemon.readiness)
            headers = [(b"Host", b"x")]
            answer = await caller.request("GET", "/savorydyke/readyz", headers)
        except OSError:
            return False
        await caller.stream.aclose()
        return answer.status == 200

    async def connect(self, address: str) -> Caller:
        """Open a caller's connection."""
        host, _, port = address.partition(":")
        return Caller(await trio.open_tcp_stream(host, int(port)))

    def headers(
        self, *more: Header, key: str | None = KEY, deadline_ms: int = 3000
    ) -> Headers:
        """Return the headers of a proper request, with a new id."""
        self.serial += 1
        found = [
            (b"Host", HOST.encode()),
            (b"X-Savorydyke-Request-Id", b"r%d" % self.serial),
            (b"X-Savorydyke-Deadline-Ms", str(deadline_ms).encode()),
        ]
        if key is not None:
            found.append((b"Authorization", f"Bearer {key}".encode()))
        return [*found, *more]

    async def ask(
        self,
        path: str,
        *more: Header,
        method: str = "POST",
        body: bytes = b"body",
        **how: Any,
    ) -> Answer:
        """Send one request on a new connection to the first instance."""
        caller = await self.connect(self.daemons[0].callers)
        answer = await caller.request(method, path, self.headers(*more, **how), body)
        await caller.stream.aclose()
        return answer

    async def until(self, holds: Callable[[], bool], timeout_s: float = 3.0) -> None:
        """Wait until a condition holds."""
        with trio.fail_after(timeout_s):
            while not holds():
                await trio.sleep(0.02)


@contextmanager
def log_folder(name: str) -> Iterator[str | Path]:
    """Return a folder for settings and logs, kept where ROUTED_LOGS says."""
    kept = os.environ.get("ROUTED_LOGS")
    if kept is None:
        with tempfile.TemporaryDirectory() as folder:
            yield folder
        return
    path = Path(kept) / name.replace(" ", "-")
    path.mkdir(parents=True, exist_ok=True)
    yield path


@asynccontextmanager
async def open_site(name: str = "site") -> AsyncIterator[Site]:
    """Open a deployment and end everything in it at the end."""
    with log_folder(name) as folder:
        async with trio.open_nursery() as nursery:
            site = Site(nursery, Path(folder))
            await site.listen(new_store_server(site.store).serve, site.store_address)
            nursery.start_soon(site.store.expire_leases)
            site.configure()
            try:
                yield site
            finally:
                if "ROUTED_LOGS" in os.environ:
                    # Lets the instances write what they have buffered.
                    with trio.CancelScope(shield=True):
                        await trio.sleep(LAST_LINES_S)
                for daemon in site.daemons:
                    daemon.process.kill()
                    daemon.process.wait()
                nursery.cancel_scope.cancel()

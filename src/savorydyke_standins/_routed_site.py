"""A small routed deployment for tests: stand-in store and endpoints, real daemons."""

import json
import os
import signal
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

from savorydyke._ingress import Ingress, IngressLimits
from savorydyke_standins._faulty_links import InstanceLinks, StoreView
from savorydyke_standins._ports import PortPool
from savorydyke_standins._routed_endpoint import RoutedEndpoint, Script
from savorydyke_standins._store import (
    StandInStore,
    new_store_server,
    refuse_unreadable,
)

Header = tuple[bytes, bytes]
Headers = list[Header]

HOST = "desk.example"
KEY = "key-of-crew"
START_TIMEOUT_S = 10.0
ANSWER_TIMEOUT_S = 6.0
LOG_SHOWN_CHARS = 2000
LOG_FLUSH_S = 0.2
POLL_S = 0.05
BOUNDS = {"revocation_ms": 3000, "stop_s": 4, "repeat_slack": 50}


PORTS = PortPool()


def free_address() -> str:
    """Return a loopback address whose port is free."""
    return PORTS.take()


@dataclass
class Answer:
    """An answer as the caller received it."""

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
        """Send a request and return the answer."""
        if body:
            headers = [*headers, (b"Content-Length", str(len(body)).encode())]
        data = self.http.send(h11.Request(method=method, target=path, headers=headers))
        if body:
            data += self.http.send(h11.Data(data=body))
        data += self.http.send(h11.EndOfMessage())
        await self.send(data)
        return await self.read_answer()

    async def read_answer(self) -> Answer:
        """Return the next answer, incomplete if the connection is lost."""
        answer = Answer(0, {}, b"", False)
        try:
            with trio.fail_after(ANSWER_TIMEOUT_S):
                while not answer.complete:
                    await self._handle_event(answer)
        except (trio.BrokenResourceError, h11.RemoteProtocolError):
            # The connection was lost before the end of the answer.
            return answer
        if self.http.our_state is h11.DONE is self.http.their_state:
            self.http.start_next_cycle()
        return answer

    async def _handle_event(self, answer: Answer) -> None:
        event = self.http.next_event()
        if event is h11.NEED_DATA:
            self.http.receive_data(await self.stream.receive_some(65536))
        elif isinstance(event, h11.Response):
            answer.status = event.status_code
            answer.headers = dict(event.headers)
        elif isinstance(event, h11.Data):
            answer.body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            answer.complete = True
        elif isinstance(event, h11.ConnectionClosed):
            raise trio.BrokenResourceError(
                "connection closed before the end of the answer"
            )


@dataclass
class Daemon:
    """One instance, running as a process."""

    name: str
    callers: str
    readiness: str
    peers: str
    metrics: str
    process: subprocess.Popen
    log: Path
    settings: Path

    def stop(self) -> None:
        """Send SIGTERM."""
        self.process.send_signal(signal.SIGTERM)

    def log_records(self) -> list[dict]:
        """Return the records of its JSON log, without one that is being written."""
        complete = self.log.read_text().rpartition("\n")[0]
        return [json.loads(line) for line in complete.splitlines() if line[:1] == "{"]


def start_process(
    settings: Path, log: Path, source: Path | None = None
) -> subprocess.Popen:
    """Start an instance with these settings; its output is appended to `log`.

    Parameters
    ----------
    source : Path or None
        Folder with the package of another build. None for the one that ROUTED_SOURCE
        names, or else the installed one.
    """
    environment = dict(os.environ)
    folder = source or environment.get("ROUTED_SOURCE")
    if folder:
        environment["PYTHONPATH"] = str(folder)
    return subprocess.Popen(
        [sys.executable, "-m", "savorydyke", "--config", str(settings)],
        stdout=log.open("a"),
        stderr=subprocess.STDOUT,
        env=environment,
    )


@dataclass
class Site:
    """The deployment that one scenario uses."""

    nursery: trio.Nursery
    folder: Path
    store: StandInStore = field(default_factory=StandInStore)
    store_address: str = field(default_factory=free_address)
    endpoints: dict[str, RoutedEndpoint] = field(default_factory=dict)
    addresses: dict[str, str] = field(default_factory=dict)
    daemons: list[Daemon] = field(default_factory=list)
    version: int = 1
    last_request_number: int = 0

    # Data that the operator and the endpoints store

    def routes(self) -> list[dict]:
        """Return routes of all kinds, one of them public and one resumable."""

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
        """Return the configuration as it is stored; `more` overrides its fields."""
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
        """Store the next version of the configuration."""
        self.version += 1
        self.store.put("op/config", self.configuration(**more))

    def write_record(self, name: str, service: str, **more: Any) -> None:
        """Write the record that an endpoint keeps of itself."""
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
        self, name: str, service: str, *scripts: Script, **more: Any
    ) -> RoutedEndpoint:
        """Start an endpoint and write its record; `more` overrides its fields."""
        endpoint = RoutedEndpoint(list(scripts)) if scripts else RoutedEndpoint()
        self.endpoints[name] = endpoint
        self.addresses[name] = free_address()
        await self.nursery.start(endpoint.listen, self.addresses[name])
        self.write_record(name, service, **more)
        return endpoint

    async def replace_when_crashed(
        self, name: str, service: str, after_s: float, *scripts: Script
    ) -> None:
        """Start an endpoint; whenever it has crashed, start another in its place."""
        number = 0
        while True:
            number += 1
            current = f"{name}-{number}"
            endpoint = await self.endpoint(current, service, *scripts)
            while endpoint.ended_at is None:
                await trio.sleep(POLL_S)
            await trio.sleep(after_s)
            self.store.remove(f"servers/{current}")

    async def listen(self, handler: Callable[..., Any], address: str) -> str:
        """Serve a handler on an address."""
        host, _, port = address.partition(":")
        listeners = await trio.open_tcp_listeners(int(port), host=host)
        self.nursery.start_soon(trio.serve_listeners, handler, listeners)
        return address

    # Daemons

    async def cuttable_daemon(
        self, name: str, data_centre: str = "a", source: Path | None = None
    ) -> InstanceLinks:
        """Start an instance with links to endpoints that can be cut; return these."""
        links = InstanceLinks(self.nursery, free_address)
        store = await self.store_view(links)
        await self.daemon(name, store=store, data_centre=data_centre, source=source)
        return links

    async def store_view(self, links: InstanceLinks) -> str:
        """Serve the store with the addresses of an instance's links; return where."""
        view = StoreView(self.store, links)
        limits = IngressLimits(max_body_bytes=2_000_000, idle_timeout_s=60.0)
        server = Ingress(view.handle, refuse_unreadable, lambda: limits)
        return await self.listen(server.serve, free_address())

    async def daemon(
        self,
        name: str = "instance-1",
        wait: bool = True,
        store: str = "",
        data_centre: str = "a",
        source: Path | None = None,
        **more: Any,
    ) -> Daemon:
        """Start an instance and, unless `wait` is false, wait until it is ready.

        Its settings are those of the deployment and `more`.
        """
        settings = {
            "edges": "routed",
            "instance": name,
            "data_centre": data_centre,
            "callers": free_address(),
            "readiness": free_address(),
            "peers": PORTS.take(2),
            "metrics": free_address(),
            "store": store or self.store_address,
            "bounds": BOUNDS,
            "processor": {"share": 0.55, "speed": 2},
        } | more
        path = self.folder / f"{name}.jsonc"
        path.write_text(json.dumps(settings))
        log = self.folder / f"{name}.log"
        process = start_process(path, log, source)
        daemon = Daemon(
            name=name,
            callers=str(settings["callers"]),
            readiness=str(settings["readiness"]),
            peers=str(settings["peers"]),
            metrics=str(settings["metrics"]),
            process=process,
            log=log,
            settings=path,
        )
        self.daemons.append(daemon)
        if wait:
            await self.wait_until_ready(daemon)
        return daemon

    async def wait_until_ready(self, daemon: Daemon, ready: bool = True) -> None:
        """Wait until an instance reports that it is ready, or that it is not.

        Raises
        ------
        TimeoutError
            With the exit status of the process, if it has ended, and the end of its
            log.
        """
        with trio.move_on_after(START_TIMEOUT_S):
            while await self.is_ready(daemon) is not ready:
                await trio.sleep(0.05)
            return
        end_of_log = daemon.log.read_text()[-LOG_SHOWN_CHARS:]
        raise TimeoutError(
            f"{daemon.name} did not report ready={ready} within {START_TIMEOUT_S} s; "
            f"exit status {daemon.process.poll()}; its log ends: {end_of_log}"
        )

    async def is_ready(self, daemon: Daemon) -> bool:
        """Return whether an instance reports that it is ready."""
        try:
            caller = await self.connect(daemon.readiness)
            headers = [(b"Host", b"x")]
            answer = await caller.request("GET", "/savorydyke/readyz", headers)
        except OSError:
            return False
        await caller.stream.aclose()
        return answer.status == 200

    async def count_peers(self, daemon: Daemon) -> int:
        """Return to how many others an instance is linked; -1 while it is not ready."""
        caller = await self.connect(daemon.readiness)
        answer = await caller.request("GET", "/savorydyke/readyz", [(b"Host", b"x")])
        await caller.stream.aclose()
        return int(json.loads(answer.body)["peers"]) if answer.status == 200 else -1

    async def connect(self, address: str) -> Caller:
        """Open a caller's connection."""
        host, _, port = address.partition(":")
        return Caller(await trio.open_tcp_stream(host, int(port)))

    def headers(
        self, *more: Header, key: str | None = KEY, deadline_ms: int = 3000
    ) -> Headers:
        """Return the headers of a valid request, with a new id."""
        self.last_request_number += 1
        headers = [
            (b"Host", HOST.encode()),
            (b"X-Savorydyke-Request-Id", b"r%d" % self.last_request_number),
            (b"X-Savorydyke-Deadline-Ms", str(deadline_ms).encode()),
        ]
        if key is not None:
            headers.append((b"Authorization", f"Bearer {key}".encode()))
        return [*headers, *more]

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

    async def wait_until(
        self, condition: Callable[[], bool], timeout_s: float = 3.0
    ) -> None:
        """Wait until a condition holds."""
        with trio.fail_after(timeout_s):
            while not condition():
                await trio.sleep(0.02)


@contextmanager
def log_folder(name: str) -> Iterator[str | Path]:
    """Yield a folder for settings and logs: temporary, or kept below ROUTED_LOGS."""
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
    """Open a deployment, and stop its tasks and processes at the end."""
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
                    # Lets the instances write their buffered log records.
                    with trio.CancelScope(shield=True):
                        await trio.sleep(LOG_FLUSH_S)
                for daemon in site.daemons:
                    daemon.process.kill()
                    daemon.process.wait()
                nursery.cancel_scope.cancel()

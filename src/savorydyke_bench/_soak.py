"""A randomized soak: real instances under faults from outside, by seed.

Instances run as processes. Faults overlap: processes are killed, stopped,
terminated and started again; a proxy before the store and before each endpoint
delays, silences or resets; the store refuses, loses answers or forgets its
history; keys are taken away. The promises are checked from what callers and
endpoints saw.
"""

import random
import signal
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import trio

from savorydyke_standins._routed_endpoint import EVENTS, Exchange, event
from savorydyke_standins._routed_site import (
    BOUNDS,
    KEY,
    Answer,
    Daemon,
    Site,
    open_site,
    start_process,
)
from savorydyke_standins._store import Mode

INSTANCES = 3
ENDPOINTS = 3
CALLERS = 8
SECONDS = 15.0
PAUSE_S = 0.05
FAULT_PAUSE_S = (0.2, 1.2)
FAULT_S = (0.3, 2.5)
GONE_S = 1.0
"""Time in which the end of a caller reaches an endpoint; the rule says 0.5 s."""
NEVER_RUN = {408, 421, 429, 503}
"""Statuses that promise that a request has not run and never will."""


@dataclass
class FaultProxy:
    """A proxy before one address, with the fault in force.

    Attributes
    ----------
    fault : str
        ``pass``, ``silent``, ``reset`` or ``slow``.
    """

    target: str
    fault: str = "pass"

    async def serve(self, stream: trio.SocketStream) -> None:
        """Carry one connection both ways."""
        host, _, port = self.target.partition(":")
        try:
            other = await trio.open_tcp_stream(host, int(port))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._carry, stream, other, nursery.cancel_scope)
                nursery.start_soon(self._carry, other, stream, nursery.cancel_scope)
            other.socket.close()
        except* OSError:
            # Nobody listens there, which the connection's end tells.
            pass
        finally:
            stream.socket.close()

    async def _carry(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        scope: trio.CancelScope,
    ) -> None:
        try:
            while data := await source.receive_some(65536):
                while self.fault == "silent":
                    await trio.sleep(0.05)
                if self.fault == "reset":
                    break
                if self.fault == "slow":
                    await trio.sleep(0.15)
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # One side has gone, so the other one goes too.
            pass
        scope.cancel()


@dataclass
class Asked:
    """One request and what its caller saw."""

    request_id: str
    kind: str
    key: str
    sent: float
    answer: Answer | None = None
    left: float | None = None


@dataclass
class Run:
    """One soak of one seed.

    Attributes
    ----------
    ran : Counter
        How often endpoints began to work on each request.
    revoked : dict
        When each key was taken away, as the store acknowledged it.
    """

    site: Site
    rng: random.Random
    asked: list[Asked] = field(default_factory=list)
    ran: Counter = field(default_factory=Counter)
    works: dict[str, tuple[float, float]] = field(default_factory=dict)
    revoked: dict[str, float] = field(default_factory=dict)
    store_links: list[FaultProxy] = field(default_factory=list)
    endpoint_links: list[FaultProxy] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    ending: bool = False

    # Endpoints

    async def work(self, exchange: Exchange) -> None:
        """Answer one request, sometimes badly."""
        headers = exchange.seen.headers
        request_id = headers[b"x-savorydyke-request-id"].decode()
        draw = self.rng.random()
        if draw < 0.04:
            await exchange.whole(503, b"full", (b"X-Savorydyke-Not-Executed", b"1"))
            return
        self.ran[request_id] += 1
        begun = trio.current_time()
        try:
            await self._answer(exchange, request_id, draw)
        finally:
            self.works[request_id] = (begun, trio.current_time())

    async def _answer(self, exchange: Exchange, request_id: str, draw: float) -> None:
        is_stream = exchange.seen.target.startswith((b"/digest", b"/question"))
        if draw < 0.08:
            exchange.reset()
        elif is_stream:
            first = int(exchange.seen.headers.get(b"last-event-id", b"0")) + 1
            last = EVENTS if draw > 0.15 else max(first, EVENTS - 2)
            await exchange.stream_events(first, last, 0.02, end=last == EVENTS)
        elif draw < 0.12:
            length = (b"Content-Length", b"99")
            await exchange.send(exchange.head(200, length) + b"torn")
        else:
            await trio.sleep(0.03)
            await exchange.whole(200, f"of {request_id}".encode())

    # Callers

    async def call(self) -> None:
        """Send one request after the other until the end."""
        while not self.ending:
            kind = self.rng.choice(["claim", "lookup", "digest", "question"])
            daemon = self.rng.choice(self.site.daemons)
            key = KEY if self.rng.random() < 0.8 else "spare-key"
            headers = self.site.headers(key=key)
            asked = Asked(f"r{self.site.serial}", kind, key, trio.current_time())
            self.asked.append(asked)
            leaves_s = 0.1 if self.rng.random() < 0.1 else 6.0
            try:
                with trio.move_on_after(leaves_s):
                    caller = await self.site.connect(daemon.callers)
                    asked.answer = await caller.request(
                        "POST", f"/{kind}/1", headers, b"body"
                    )
                if asked.answer is None:
                    asked.left = trio.current_time()
                await caller.stream.aclose()
            except (OSError, trio.BrokenResourceError, trio.TooSlowError):
                # The instance is down, which a caller survives by trying anew.
                await trio.sleep(PAUSE_S)
            await trio.sleep(PAUSE_S)

    # Faults

    async def disturb(self) -> None:
        """Begin one fault after the other; they overlap."""
        faults: list[Callable[[], Awaitable[None]]] = [
            self._kill,
            self._terminate,
            self._pause,
            self._store_fault,
            self._store_link,
            self._endpoint_link,
            self._configure,
        ]
        async with trio.open_nursery() as nursery:
            while not self.ending:
                fault = self.rng.choice(faults)
                self.faults.append(fault.__name__)
                nursery.start_soon(fault)
                await trio.sleep(self.rng.uniform(*FAULT_PAUSE_S))

    def _for_s(self) -> float:
        return self.rng.uniform(*FAULT_S)

    async def _kill(self) -> None:
        await self._restart(signal.SIGKILL)

    async def _terminate(self) -> None:
        await self._restart(signal.SIGTERM)

    async def _restart(self, number: signal.Signals) -> None:
        daemon = self.rng.choice(self.site.daemons)
        process = daemon.process
        if process.poll() is not None:
            return
        process.send_signal(signal.SIGCONT)
        process.send_signal(number)
        while process.poll() is None:
            await trio.sleep(0.05)
        await trio.sleep(self._for_s() / 2)
        if daemon.process is process:
            daemon.process = start_process(daemon.settings, daemon.log)

    async def _pause(self) -> None:
        daemon = self.rng.choice(self.site.daemons)
        if daemon.process.poll() is None:
            daemon.process.send_signal(signal.SIGSTOP)
            await trio.sleep(self._for_s())
            if daemon.process.poll() is None:
                daemon.process.send_signal(signal.SIGCONT)

    async def _store_fault(self) -> None:
        modes = [Mode.BUSY, Mode.LIMITED, Mode.SILENT, Mode.RESET, Mode.LOST]
        self.site.store.mode = self.rng.choice(modes)
        await trio.sleep(self._for_s())
        self.site.store.mode = Mode.SOUND
        if self.rng.random() < 0.3:
            self.site.store.compact()

    async def _store_link(self) -> None:
        await self._disturb_link(self.rng.choice(self.store_links))

    async def _endpoint_link(self) -> None:
        await self._disturb_link(self.rng.choice(self.endpoint_links))

    async def _disturb_link(self, link: FaultProxy) -> None:
        link.fault = self.rng.choice(["silent", "reset", "slow"])
        await trio.sleep(self._for_s())
        link.fault = "pass"

    async def _configure(self) -> None:
        """Take the spare key away, or give it back."""
        keys = [KEY] if "spare-key" not in self.revoked else [KEY, "spare-key"]
        self.site.configure(tenants=[{"name": "crew", "api_keys": keys}])
        if len(keys) == 1:
            self.revoked["spare-key"] = trio.current_time()
        else:
            del self.revoked["spare-key"]

    # Checks

    def findings(self) -> list[str]:
        """Return a sentence for each broken promise."""
        found = []
        for asked in self.asked:
            found += self._check(asked)
        return found

    def _check(self, asked: Asked) -> list[str]:
        ran, answer = self.ran[asked.request_id], asked.answer
        name = f"{asked.kind} {asked.request_id}"
        found = []
        is_once = asked.kind in {"claim", "question"}
        if is_once and ran > 1:
            found.append(f"{name} ran {ran} times")
        if ran > 2:
            found.append(f"{name} ran {ran} times of 2 allowed")
        if answer is not None and answer.status in NEVER_RUN and ran and is_once:
            found.append(f"{name} was answered {answer.status} and ran")
        if answer is not None and answer.complete and answer.status == 200:
            found += self._check_body(asked, answer, name)
        begun, ended = self.works.get(asked.request_id, (0.0, 0.0))
        if asked.left is not None and begun and ended > asked.left + GONE_S + 1.5:
            found.append(f"{name} was worked on {ended - asked.left:.1f} s too long")
        return found

    def _check_body(self, asked: Asked, answer: Answer, name: str) -> list[str]:
        if asked.kind in {"claim", "lookup"}:
            expected = f"of {asked.request_id}".encode()
        else:
            expected = b"".join(event(n) for n in range(1, EVENTS + 1))
        return [] if answer.body == expected else [f"{name} got {answer.body[:80]!r}"]

    def revocations(self, bound_s: float) -> list[str]:
        """Return requests that ran under a key that had long been taken away."""
        taken = self.revoked.get("spare-key")
        if taken is None:
            return []
        return [
            f"{asked.request_id} ran under a key taken away "
            f"{asked.sent - taken:.1f} s before"
            for asked in self.asked
            if asked.key == "spare-key"
            and asked.sent > taken + bound_s
            and self.ran[asked.request_id]
        ]


@dataclass(frozen=True)
class Outcome:
    """What one seed showed."""

    seed: int
    findings: tuple[str, ...]
    asked: int
    served: int
    faults: int


async def _start(run: Run) -> None:
    """Start endpoints, instances and the proxies before them."""
    site = run.site
    site.configure(tenants=[{"name": "crew", "api_keys": [KEY, "spare-key"]}])
    for number in range(ENDPOINTS):
        for pool in ("desk", "engines"):
            name = f"{pool}-{number}"
            await site.endpoint(name, pool, run.work)
            link = FaultProxy(site.addresses[name])
            run.endpoint_links.append(link)
            address = "127.0.0.1:0"
            site.addresses[name] = await serve_proxy(site, link, address)
            site.entry(name, pool)
    for number in range(INSTANCES):
        link = FaultProxy(site.store_address)
        run.store_links.append(link)
        store = await serve_proxy(site, link, "127.0.0.1:0")
        await site.daemon(f"instance-{number}", store=store)


async def serve_proxy(site: Site, link: FaultProxy, address: str) -> str:
    """Serve a proxy on a free port; return its address."""
    host, _, port = address.partition(":")
    listeners = await trio.open_tcp_listeners(int(port), host=host)
    site.nursery.start_soon(trio.serve_listeners, link.serve, listeners)
    return f"{host}:{listeners[0].socket.getsockname()[1]}"


async def soak(seed: int, seconds: float = SECONDS) -> Outcome:
    """Run one seed and return what it showed."""
    async with open_site(f"soak-{seed}") as site:
        run = Run(site, random.Random(seed))
        await _start(run)
        async with trio.open_nursery() as nursery:
            for _ in range(CALLERS):
                nursery.start_soon(run.call)
            nursery.start_soon(run.disturb)
            await trio.sleep(seconds)
            run.ending = True
        _continue_all(site.daemons)
        await trio.sleep(GONE_S)
        bound_s = BOUNDS["revocation_ms"] / 1000
        findings = run.findings() + run.revocations(bound_s)
        served = sum(
            1
            for asked in run.asked
            if asked.answer and asked.answer.complete and asked.answer.status == 200
        )
        return Outcome(seed, tuple(findings), len(run.asked), served, len(run.faults))


def _continue_all(daemons: list[Daemon]) -> None:
    for daemon in daemons:
        if daemon.process.poll() is None:
            daemon.process.send_signal(signal.SIGCONT)


def main(seeds: list[int], seconds: float = SECONDS) -> int:
    """Run seeds one after the other; return the number that failed."""
    failed = 0
    for seed in seeds:
        outcome = trio.run(soak, seed, seconds)
        failed += bool(outcome.findings)
        print(
            f"seed {seed}: {outcome.asked} asked, {outcome.served} served, "
            f"{outcome.faults} faults, {len(outcome.findings)} findings"
        )
        for finding in outcome.findings[:10]:
            print(f"  {finding}")
    print(f"{len(seeds) - failed} passed, {failed} failed")
    return failed

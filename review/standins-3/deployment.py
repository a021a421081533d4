"""A small deployment for the review's scripts: stand-in store, engines and requesters.

The instances are processes that are started with the command of the deploy file, and
with the settings that its template gives for a small deployment. The store and the
engines are the project's own stand-ins; what is added here follows the pages.
"""

import json
import os
import signal
import sys
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import trio

from savorydyke._ingress import IncomingRequest, Ingress, IngressLimits, Responder
from savorydyke._membership import rendezvous_score
from savorydyke_standins._routed_endpoint import Exchange
from savorydyke_standins._routed_site import (
    Daemon,
    Site,
    free_address,
    open_site,
)
from savorydyke_standins._store import StandInStore, refuse_unreadable

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
EXIT = {HELD: 0, BROKEN: 10, NOT_RUN: 2}
HEARTBEAT_S = 1.2
HOST = "ficu95.example"
KEY = "i9n73hh2b9wu3fexd9dn"
TENANT = "hule930"
BOUNDS = {
    "revocation_ms": 5000,
    "configuration_ms": 2000,
    "leaving_ms": 2000,
    "stop_s": 8,
    "repeat_ratio": 0.2,
    "repeat_slack": 58,
    "quota_excess": 0.1,
    "quota_slack": 140000,
    "quota_window_s": 8,
    "prefix_reuse_s": 9.5,
    "repeat_window_s": 10,
}
"""As the site file of hrafnsvik-scale and the template in deploy/ give them."""
TERMS = [
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "engine",
    "stream",
    "tenants",
    "quota",
    "platform",
]
ZONES = ("reydar", "egils", "seydis")


@dataclass
class Record:
    """What was sent, answered and run, with seconds since the start."""

    started: float = field(default_factory=time.monotonic)
    lines: list[str] = field(default_factory=list)

    def now(self) -> float:
        """Return seconds since the start."""
        return time.monotonic() - self.started

    def add(self, text: str) -> None:
        """Add a line."""
        self.lines.append(f"{self.now():8.3f} {text}")

    def write(self, path: str) -> None:
        """Write all lines to a file."""
        with open(path, "w", encoding="utf-8") as file:
            file.write("\n".join(self.lines) + "\n")


@dataclass
class StoreView:
    """The store as one machine sees it.

    Attributes
    ----------
    turns_away : bool
        Whether each call gets 503.
    lost_prefix : bytes
        The next write of a key that begins so is not answered, and done later; empty
        for none.
    late_s : float
        How much later.
    is_done : trio.Event
        Set when it is done.
    """

    store: StandInStore
    record: Record
    nursery: trio.Nursery
    turns_away: bool = False
    lost_prefix: bytes = b""
    late_s: float = 0.0
    is_done: trio.Event = field(default_factory=trio.Event)

    async def handle(self, incoming: IncomingRequest, responder: Responder) -> None:
        """Answer one call."""
        if self.turns_away:
            await responder.send_answer(503, [], b"")
            return
        if self.lost_prefix and self.lost_prefix in incoming.body:
            self.lost_prefix = b""
            self.record.add("the store loses the answer to a write, and does it later")
            self.nursery.start_soon(self._do_later, json.loads(incoming.body))
            # The channel ends without an answer.
            return
        await self.store.handle(incoming, responder)

    async def _do_later(self, body: dict[str, Any]) -> None:
        """Carry out a transaction, if its condition still holds."""
        await trio.sleep(self.late_s)
        status, _ = self.store._apply_transaction(body)
        self.record.add(f"the store has done the late write: {status}")
        self.is_done.set()


@dataclass
class Deployment:
    """Instances, engines and the store, with a record of what happens."""

    site: Site
    record: Record
    views: dict[str, StoreView] = field(default_factory=dict)
    engines: dict[str, dict[str, Any]] = field(default_factory=dict)
    silent: dict[str, float] = field(default_factory=dict)

    async def start_instances(self, count: int = 3) -> None:
        """Start instances with store views of their own, and wait until all serve."""
        for number in range(count):
            zone = ZONES[number % len(ZONES)]
            name = f"edge-{zone}-{number + 1}"
            view = self.views[name] = StoreView(
                self.site.store, self.record, self.site.nursery
            )
            server = Ingress(view.handle, refuse_unreadable, _store_limits)
            address = await self.site.listen(server.serve, free_address())
            await self.site.daemon(
                name,
                wait=False,
                store=address,
                data_centre=zone,
                bounds=BOUNDS,
                terms=TERMS,
                memory_mb=150,
                endpoint_heartbeat_ms=1200,
                processor={"share": 0.537, "speed": 2},
            )
        for daemon in self.site.daemons:
            await self.site.wait_until_ready(daemon)
        self.record.add(f"{count} instances serve")

    def instance(self, name: str) -> Daemon:
        """Return an instance by its name."""
        return next(one for one in self.site.daemons if one.name == name)

    def ranked(self, service: str) -> list[str]:
        """Return the instances in the order in which they coordinate a service."""
        names = [one.name for one in self.site.daemons]
        return sorted(
            names, key=lambda name: rendezvous_score(service, name), reverse=True
        )

    def home(self, nearest: str) -> str:
        """Return the instance that the platform gives a requester now.

        It is the only one of the requester's zone. One that has not answered two
        readiness checks is taken out; the nearest zones' instances follow.
        """
        now = time.monotonic()
        names = [one.name for one in self.site.daemons]
        ready = [n for n in names if now - self.silent.get(n, now) < 2.0]
        return nearest if nearest in ready else ready[0]

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to an instance."""
        self.record.add(f"instance {name} gets {number.name}")
        self.instance(name).process.send_signal(number)
        if number in {signal.SIGSTOP, signal.SIGKILL}:
            self.silent[name] = time.monotonic()
        if number is signal.SIGCONT:
            self.silent.pop(name, None)

    def turn_away(self, name: str, is_away: bool = True) -> None:
        """Let the store turn an instance away with 503, or serve it again."""
        verb = "turns away" if is_away else "serves again"
        self.record.add(f"the store {verb} {name}")
        self.views[name].turns_away = is_away

    def lose_writes(self, name: str, prefix: str, late_s: float) -> None:
        """Let the store lose the answer to an instance's next write of such a key."""
        view = self.views[name]
        view.lost_prefix, view.late_s = prefix.encode(), late_s

    async def add_engines(
        self, service: str, count: int, script: Callable[[Exchange], Any], **more: Any
    ) -> None:
        """Start engines that write their entries at each heartbeat."""
        for number in range(count):
            await self.add_engine(service, number, script, **more)
        self.record.add(f"{count} engines of {service} serve")

    async def add_engine(
        self, service: str, number: int, script: Callable[[Exchange], Any], **more: Any
    ) -> None:
        """Start one engine that writes its entry at each heartbeat."""
        name = f"i-{service[:4]}{number}"
        fields = {"service": service, "born": time.time_ns() // 1_000_000} | more
        await self.site.endpoint(name, service, script, **_entry(fields))
        self.engines[name] = fields

    async def beat(self) -> None:
        """Write the engines' entries at each heartbeat, until cancelled."""
        number = 1
        while True:
            await trio.sleep(HEARTBEAT_S)
            number += 1
            for name, fields in self.engines.items():
                self.site.write_record(
                    name, fields["service"], **_entry(fields), seq=number
                )


def _store_limits() -> IngressLimits:
    return IngressLimits(max_body_bytes=4_000_000, idle_timeout_s=60.0)


def _entry(fields: dict[str, Any]) -> dict[str, Any]:
    return {key: value for key, value in fields.items() if key != "service"}


def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Return a route of the configuration."""
    fields = {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 3000,
        "slo_ms": 600,
        "priority": 0,
        "service": service,
        "attempts": 2,
        "public": False,
    }
    return fields | more


@asynccontextmanager
async def open_deployment(name: str, record: Record) -> AsyncIterator[Deployment]:
    """Open a deployment; all its processes have ended afterwards."""
    async with open_site(name) as site:
        deployment = Deployment(site, record)
        site.nursery.start_soon(deployment.beat)
        yield deployment


def finish(record: Record, status: int) -> None:
    """Write the record beside the case and exit with a status, which run.sh maps.

    An error of the script itself ends it with 1, which must not count as a result.
    """
    record.write(os.path.join(os.environ["CASE"], "record.txt"))
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[status])
    sys.exit(EXIT[status])

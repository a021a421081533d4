"""Stand-in for the store of a routed deployment, with faults on demand."""

import base64
import copy
import json
import math
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from enum import Enum
from typing import Any
from urllib.parse import parse_qs

import trio

from savorydyke._ingress import (
    IncomingRequest,
    Ingress,
    IngressLimits,
    Rejected,
    Responder,
)

MAX_PAGE = 50
TTL_MIN_MS = 1000
REPEAT_DELAY_S = 0.02
CUT = 0
"""Status of a call that is not answered."""


class Mode(Enum):
    """How the store answers calls.

    `LOST` carries out each call but sends no answer. `REPEATED` sends each answer
    twice, the second time a little later.
    """

    OK = "sound"
    BUSY = "busy"
    LIMITED = "limited"
    SILENT = "silent"
    RESET = "reset"
    LOST = "lost"
    REPEATED = "repeated"


@dataclass
class StoredItem:
    """A value with its revisions and lease."""

    key: str
    value: str
    revision: int
    created: int
    lease: int = 0

    def to_json(self) -> dict[str, Any]:
        """Return the item as it is sent to clients."""
        return dict(self.__dict__)


@dataclass(frozen=True)
class Backup:
    """The contents of the store at one time."""

    revision: int
    oldest_revision: int
    items: dict[str, StoredItem]
    history: list[dict[str, Any]]
    leases: dict[int, tuple[float, float]]
    last_lease: int


@dataclass
class StandInStore:
    """All keys, their history, leases and the current fault.

    Attributes
    ----------
    mode : Mode
        How calls are answered.
    era : int
        Sent in each answer; increased by each restore. 0 sends none.
    oldest_revision : int
        Revision before which the history was compacted.
    rewrite : callable
        Changes the values that instances write.
    calls : list of str
        The path of each call, in order.
    cut_watches_after_s : float
        Time after which the connection of a waiting watch is closed.
    cut_watches : int
        Number of watches that were cut.
    """

    mode: Mode = Mode.OK
    era: int = 1
    revision: int = 1
    oldest_revision: int = 0
    rewrite: Callable[[str, bytes], bytes] = field(default=lambda key, value: value)
    items: dict[str, StoredItem] = field(default_factory=dict)
    history: list[dict[str, Any]] = field(default_factory=list)
    leases: dict[int, tuple[float, float]] = field(default_factory=dict)
    last_lease: int = 1000
    calls: list[str] = field(default_factory=list)
    cut_watches_after_s: float = math.inf
    cut_watches: int = 0
    changed: trio.Event = field(default_factory=trio.Event)

    # Direct access for tests, as the operator and the endpoints would write

    def put(self, key: str, value: Any, lease: int = 0) -> int:
        """Write a value and return its revision; all but bytes is stored as JSON."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        existing = self.items.get(key)
        item = StoredItem(
            key,
            base64.b64encode(data).decode(),
            self.revision,
            existing.created if existing else self.revision,
            lease,
        )
        self.items[key] = item
        self._record_event(item.to_json())
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record_event({"key": key, "revision": self.revision, "deleted": True})

    def compact(self) -> None:
        """Drop the history; watches from an earlier revision get 410."""
        self.oldest_revision = self.revision
        self.history.clear()
        self._wake_watches()

    def back_up(self) -> Backup:
        """Return a copy of the contents."""
        return Backup(
            self.revision,
            self.oldest_revision,
            copy.deepcopy(self.items),
            copy.deepcopy(self.history),
            dict(self.leases),
            self.last_lease,
        )

    def restore(self, backup: Backup) -> None:
        """Replace the contents by a copy; what was written since is lost.

        Revisions and leases that were assigned since are assigned again.
        """
        self.era += 1
        self.revision = backup.revision
        self.oldest_revision = backup.oldest_revision
        self.items = copy.deepcopy(backup.items)
        self.history = copy.deepcopy(backup.history)
        self.leases = dict(backup.leases)
        self.last_lease = backup.last_lease
        self._wake_watches()

    def _record_event(self, event: dict[str, Any]) -> None:
        self.history.append(event)
        self._wake_watches()

    def _wake_watches(self) -> None:
        self.changed.set()
        self.changed = trio.Event()

    # Calls

    async def handle(self, incoming: IncomingRequest, responder: Responder) -> None:
        """Answer one call."""
        path, _, query = incoming.target.decode().partition("?")
        self.calls.append(path)
        if self.mode is Mode.SILENT:
            await trio.sleep_forever()
        if self.mode is Mode.RESET:
            return
        if self.mode is Mode.BUSY:
            await responder.send_answer(503, self._era_header(), b"")
            return
        if self.mode is Mode.LIMITED:
            await responder.send_answer(429, self._era_header(), b"")
            return
        params = {name: values[0] for name, values in parse_qs(query, True).items()}
        body = json.loads(incoming.body) if incoming.body else {}
        status, value = await self._serve(path, params, body)
        if self.mode is Mode.LOST or status == CUT:
            return
        headers = [(b"Content-Type", b"application/json"), *self._era_header()]
        data = json.dumps(value).encode()
        await responder.send_answer(status, headers, data)
        if self.mode is Mode.REPEATED:
            await trio.sleep(REPEAT_DELAY_S)
            lines = [b"%s: %s" % pair for pair in headers]
            lines = [b"HTTP/1.1 %d X" % status, *lines]
            lines.append(b"Content-Length: %d" % len(data))
            with suppress(trio.BrokenResourceError):
                again = b"\r\n".join(lines) + b"\r\n\r\n" + data
                await responder.connection.stream.send_all(again)

    def _era_header(self) -> list[tuple[bytes, bytes]]:
        return [(b"Store-Era", str(self.era).encode())] if self.era else []

    async def _serve(
        self, path: str, params: dict[str, str], body: dict[str, Any]
    ) -> tuple[int, Any]:
        name, _, rest = path.removeprefix("/savorydyke/").partition("/")
        simple: dict[str, Callable[[], tuple[int, Any]]] = {
            "kv-key": lambda: self._read(params["key"]),
            "kv-range": lambda: self._list(params),
            "kv-txn": lambda: self._apply_transaction(body),
            "kv-lease": lambda: self.grant_lease(body),
            "kv-keep": lambda: self._renew_lease(int(rest)),
            "kv-lease-end": lambda: self.end_lease(int(rest)),
        }
        if name == "kv-watch":
            return await self._watch(params)
        return simple[name]() if name in simple else (404, {})

    def _read(self, key: str) -> tuple[int, Any]:
        item = self.items.get(key)
        if item is None:
            return 404, {}
        return 200, item.to_json() | {"current_rev": self.revision}

    def _list(self, params: dict[str, str]) -> tuple[int, Any]:
        keys = sorted(
            key
            for key in self.items
            if key.startswith(params["prefix"]) and key > params.get("after", "")
        )
        page = [self.items[key].to_json() for key in keys[:MAX_PAGE]]
        return 200, {
            "items": page,
            "more_pages": len(keys) > MAX_PAGE,
            "current_rev": self.revision,
        }

    async def _watch(self, params: dict[str, str]) -> tuple[int, Any]:
        after = int(params["after"])
        wait_s = int(params["wait_ms"]) / 1000
        with trio.move_on_after(min(wait_s, self.cut_watches_after_s)) as scope:
            while self._has_history(after) and not self._events(
                params["prefix"], after
            ):
                await self.changed.wait()
        if scope.cancelled_caught and wait_s > self.cut_watches_after_s:
            self.cut_watches += 1
            return CUT, {}
        if not self._has_history(after):
            return 410, {}
        events = self._events(params["prefix"], after)
        return 200, {"events": events, "current_rev": self.revision}

    def _has_history(self, after: int) -> bool:
        return self.oldest_revision <= after <= self.revision

    def _events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [
            event
            for event in self.history
            if event["revision"] > after and event["key"].startswith(prefix)
        ]

    def _apply_transaction(self, body: dict[str, Any]) -> tuple[int, Any]:
        for condition in body["if_rev"]:
            item = self.items.get(condition["key"])
            if (item.revision if item else 0) != condition["revision"]:
                return 412, {"items": [item.to_json()] if item else []}
        for write in body["writes"]:
            if write.get("lease") and write["lease"] not in self.leases:
                return 404, {}
        for write in body["writes"]:
            data = self.rewrite(write["key"], base64.b64decode(write["value"]))
            self.put(write["key"], data, write.get("lease", 0))
        for key in body["remove"]:
            self.remove(key)
        return 200, {"revision": self.revision}

    def grant_lease(self, body: dict[str, Any]) -> tuple[int, Any]:
        """Grant a lease."""
        ttl_ms = max(TTL_MIN_MS, body["ttl_ms"])
        self.last_lease += 1
        lease = self.last_lease
        self.leases[lease] = (trio.current_time() + ttl_ms / 1000, ttl_ms / 1000)
        return 200, {"lease": lease, "ttl_ms": ttl_ms}

    def _renew_lease(self, lease: int) -> tuple[int, Any]:
        if lease not in self.leases:
            return 404, {}
        ttl_s = self.leases[lease][1]
        self.leases[lease] = (trio.current_time() + ttl_s, ttl_s)
        return 200, {"ttl_ms": int(ttl_s * 1000)}

    def end_lease(self, lease: int) -> tuple[int, Any]:
        """End a lease and remove the keys attached to it."""
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item.lease == lease]:
            self.remove(key)
        return 200, {}

    async def expire_leases(self) -> None:
        """End expired leases, until cancelled."""
        while True:
            await trio.sleep(0.1)
            now = trio.current_time()
            for lease, (expires_at, _) in list(self.leases.items()):
                if now > expires_at:
                    self.end_lease(lease)


async def refuse_unreadable(responder: Responder, rejected: Rejected) -> None:
    """Answer a call that could not be read."""
    await responder.send_answer(rejected.status, [], b"")


def new_store_server(store: StandInStore) -> Ingress:
    """Return an HTTP server for a store."""
    limits = IngressLimits(max_body_bytes=2_000_000, idle_timeout_s=60.0)
    return Ingress(store.handle, refuse_unreadable, lambda: limits)

"""The platform's stand-in: key-value service and list of instances.

It speaks a subset of Consul's HTTP API. Its faults are switched at
``PUT /control`` while it runs; ``GET /record`` returns what it was asked.
"""

import base64
import random
import time
from dataclasses import dataclass, field
from typing import Any

import trio
from quart import Response, request
from quart_trio import QuartTrio

from savorydyke_standins._server import json_answer, read_json, serve_app

MAX_VALUE_BYTES = 1_000_000
MAX_WAIT_S = 10.0


@dataclass
class Entry:
    """A stored value."""

    value: bytes
    created: int
    modified: int
    session: str = ""


@dataclass
class Faults:
    """Faults that are switched on.

    Attributes
    ----------
    out : bool
        Answer nothing but errors.
    delay_s : float
        Added to each call.
    lost_answers : float
        Share of writes that take effect while their answer is lost.
    lost_writes : float
        Share of writes that take no effect and whose answer is lost.
    list_lag_s : float
        Age of the list of instances.
    lost_events : float
        Share of changes that do not wake a watch.
    """

    out: bool = False
    delay_s: float = 0.0
    lost_answers: float = 0.0
    lost_writes: float = 0.0
    list_lag_s: float = 0.0
    lost_events: float = 0.0


@dataclass
class Store:
    """All values, sessions, lists, and counts of calls."""

    rng: random.Random
    values: dict[str, Entry] = field(default_factory=dict)
    index: int = 1
    changed: trio.Event = field(default_factory=trio.Event)
    sessions: dict[str, tuple[float, float]] = field(default_factory=dict)
    lists: list[tuple[float, dict[str, list[dict[str, Any]]]]] = field(
        default_factory=list
    )
    faults: Faults = field(default_factory=Faults)
    calls: dict[str, int] = field(default_factory=dict)
    writes: list[dict[str, Any]] = field(default_factory=list)

    def touch(self) -> int:
        """Advance the index and wake watches."""
        self.index += 1
        if self.rng.random() >= self.faults.lost_events:
            self.changed.set()
            self.changed = trio.Event()
        return self.index

    def put(self, key: str, value: bytes, cas: int | None) -> bool:
        """Write a value; with `cas`, only over that index (0: absent)."""
        entry = self.values.get(key)
        if cas is not None and cas != (entry.modified if entry else 0):
            return False
        index = self.touch()
        created = entry.created if entry else index
        self.values[key] = Entry(value, created, index)
        self.writes.append({"key": key, "index": index, "at": time.monotonic()})
        return True

    def remove(self, key: str, cas: int | None) -> bool:
        """Delete a value; with `cas`, only at that index."""
        entry = self.values.get(key)
        if entry is None:
            return True
        if cas is not None and cas != entry.modified:
            return False
        del self.values[key]
        self.touch()
        return True

    def listed(self, service: str) -> list[dict[str, Any]]:
        """Return the list of a service as it was `list_lag_s` ago."""
        until = trio.current_time() - self.faults.list_lag_s
        seen: dict[str, list[dict[str, Any]]] = {}
        for at, lists in self.lists:
            if at <= until:
                seen = lists
        return seen.get(service, [])


def new_app(store: Store) -> QuartTrio:
    """Return the application of the stand-in."""
    app = QuartTrio("platform")
    app.config["MAX_CONTENT_LENGTH"] = 2 * MAX_VALUE_BYTES
    _add_key_values(app, store)
    _add_sessions(app, store)
    _add_lists(app, store)
    _add_control(app, store)
    return app


def _add_key_values(app: QuartTrio, store: Store) -> None:
    @app.get("/v1/kv/<path:key>")
    async def read(key: str) -> Response:
        is_watch = "index" in request.args
        fault = await _fault(store, "watch" if is_watch else "read")
        if fault is not None:
            return fault
        if "keys" in request.args:
            return _found_keys(store, key)
        if not is_watch:
            return _found(store, key)
        return await _watched(store, key)

    @app.put("/v1/kv/<path:key>")
    async def write(key: str) -> Response:
        fault = await _fault(store, "write")
        if fault is not None:
            return fault
        value = bytes(await request.data)
        if len(value) > MAX_VALUE_BYTES:
            return json_answer("value is too large", 413)
        return await _change(store, lambda: store.put(key, value, _cas()))

    @app.delete("/v1/kv/<path:key>")
    async def delete(key: str) -> Response:
        fault = await _fault(store, "write")
        if fault is not None:
            return fault
        return await _change(store, lambda: store.remove(key, _cas()))


def _found_keys(store: Store, prefix: str) -> Response:
    found = sorted(name for name in store.values if name.startswith(prefix))
    return json_answer(found, 200 if found else 404)


async def _watched(store: Store, key: str) -> Response:
    await _wait_for_change(store, key)
    if store.faults.out:
        return json_answer("out of service", 500)
    return _found(store, key)


def _cas() -> int | None:
    return int(request.args["cas"]) if "cas" in request.args else None


async def _change(store: Store, action: Any) -> Response:
    luck = store.rng.random()
    faults = store.faults
    if luck < faults.lost_writes:
        return json_answer("write lost", 500)
    done = action()
    if luck < faults.lost_writes + faults.lost_answers:
        return json_answer("answer lost", 500)
    return Response("true" if done else "false", content_type="application/json")


async def _fault(store: Store, kind: str) -> Response | None:
    store.calls[kind] = store.calls.get(kind, 0) + 1
    await trio.sleep(store.faults.delay_s)
    if store.faults.out:
        return json_answer("out of service", 500)
    return None


async def _wait_for_change(store: Store, key: str) -> None:
    index = int(request.args["index"])
    seconds = float(request.args.get("wait", "10s").rstrip("s"))
    with trio.move_on_after(min(seconds, MAX_WAIT_S)):
        while not store.faults.out:
            entry = store.values.get(key)
            if (entry.modified if entry else 0) != index:
                return
            await store.changed.wait()


def _found(store: Store, key: str) -> Response:
    entry = store.values.get(key)
    if entry is None:
        return json_answer([], 404)
    row = {
        "Key": key,
        "Value": base64.b64encode(entry.value).decode(),
        "CreateIndex": entry.created,
        "ModifyIndex": entry.modified,
    }
    return json_answer([row])


def _add_sessions(app: QuartTrio, store: Store) -> None:
    @app.put("/v1/session/create")
    async def create() -> Response:
        fault = await _fault(store, "write")
        if fault is not None:
            return fault
        ttl_s = float(str((await read_json()).get("TTL", "10s")).rstrip("s"))
        name = f"{store.rng.getrandbits(64):016x}"
        store.sessions[name] = (trio.current_time() + ttl_s, ttl_s)
        return json_answer({"ID": name})

    @app.put("/v1/session/renew/<name>")
    async def renew(name: str) -> Response:
        fault = await _fault(store, "write")
        if fault is not None:
            return fault
        _expire_sessions(store)
        if name not in store.sessions:
            return json_answer("session is gone", 404)
        ttl_s = store.sessions[name][1]
        store.sessions[name] = (trio.current_time() + ttl_s, ttl_s)
        return json_answer([{"ID": name}])


def _expire_sessions(store: Store) -> None:
    now = trio.current_time()
    for name, (until, _) in list(store.sessions.items()):
        if until < now:
            del store.sessions[name]


def _add_lists(app: QuartTrio, store: Store) -> None:
    @app.get("/v1/health/service/<service>")
    async def listed(service: str) -> Response:
        fault = await _fault(store, "read")
        if fault is not None:
            return fault
        return json_answer(store.listed(service))

    @app.put("/lists")
    async def set_lists() -> Response:
        store.lists.append((trio.current_time(), await read_json()))
        return json_answer("ok")


def _add_control(app: QuartTrio, store: Store) -> None:
    @app.put("/control")
    async def control() -> Response:
        for name, value in (await read_json()).items():
            setattr(store.faults, name, value)
        store.changed.set()
        store.changed = trio.Event()
        return json_answer(vars(store.faults))

    @app.get("/record")
    async def record() -> Response:
        return json_answer({"calls": store.calls, "writes": store.writes})


async def run(address: str, seed: int) -> None:
    """Run the stand-in until cancelled."""
    await serve_app(new_app(Store(random.Random(seed))), address)

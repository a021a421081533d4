"""Stand-in for the platform: key-value service and lists of instances.

It implements a subset of Consul's HTTP API. ``PUT /control`` sets its faults
while it runs; ``GET /record`` returns the counts of calls and the writes.
"""

import base64
import random
import time
from dataclasses import dataclass, field
from typing import Any

import trio
from quart import Response, request
from quart_trio import QuartTrio

from savorydyke_standins._server import json_response, read_json, serve_app

MAX_VALUE_BYTES = 1_000_000
MAX_WAIT_S = 10.0


@dataclass
class StoredValue:
    """A stored value with the indexes of its creation and last change."""

    value: bytes
    created: int
    modified: int
    session: str = ""


@dataclass
class Faults:
    """Faults to simulate.

    Attributes
    ----------
    out : bool
        Answer every call with an error.
    delay_s : float
        Delay added to each call.
    lost_answers : float
        Share of writes that are applied but answered with an error.
    lost_writes : float
        Share of writes that are not applied and answered with an error.
    list_lag_s : float
        Age of the lists of instances that are returned.
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
    """Values, sessions, lists of instances, and counts of calls."""

    rng: random.Random
    values: dict[str, StoredValue] = field(default_factory=dict)
    index: int = 1
    changed: trio.Event = field(default_factory=trio.Event)
    sessions: dict[str, tuple[float, float]] = field(default_factory=dict)
    lists: list[tuple[float, dict[str, list[dict[str, Any]]]]] = field(
        default_factory=list
    )
    faults: Faults = field(default_factory=Faults)
    calls: dict[str, int] = field(default_factory=dict)
    writes: list[dict[str, Any]] = field(default_factory=list)

    def advance_index(self) -> int:
        """Advance the index and wake watches, except for lost events."""
        self.index += 1
        if self.rng.random() >= self.faults.lost_events:
            self.changed.set()
            self.changed = trio.Event()
        return self.index

    def put(self, key: str, value: bytes, cas: int | None) -> bool:
        """Write a value; with `cas`, only if the key is at that index (0: absent)."""
        stored = self.values.get(key)
        if cas is not None and cas != (stored.modified if stored else 0):
            return False
        index = self.advance_index()
        created = stored.created if stored else index
        self.values[key] = StoredValue(value, created, index)
        self.writes.append({"key": key, "index": index, "at": time.monotonic()})
        return True

    def remove(self, key: str, cas: int | None) -> bool:
        """Delete a value; with `cas`, only if the key is at that index."""
        stored = self.values.get(key)
        if stored is None:
            return True
        if cas is not None and cas != stored.modified:
            return False
        del self.values[key]
        self.advance_index()
        return True

    def service_instances(self, service: str) -> list[dict[str, Any]]:
        """Return a service's list of instances as of `list_lag_s` ago."""
        as_of = trio.current_time() - self.faults.list_lag_s
        visible: dict[str, list[dict[str, Any]]] = {}
        for at, lists in self.lists:
            if at <= as_of:
                visible = lists
        return visible.get(service, [])


def new_app(store: Store) -> QuartTrio:
    """Return the application of the stand-in."""
    app = QuartTrio("platform")
    app.config["MAX_CONTENT_LENGTH"] = 2 * MAX_VALUE_BYTES
    _add_key_value_routes(app, store)
    _add_session_routes(app, store)
    _add_list_routes(app, store)
    _add_control_routes(app, store)
    return app


def _add_key_value_routes(app: QuartTrio, store: Store) -> None:
    @app.get("/v1/kv/<path:key>")
    async def read(key: str) -> Response:
        is_watch = "index" in request.args
        fault = await _simulate_faults(store, "watch" if is_watch else "read")
        if fault is not None:
            return fault
        if "keys" in request.args:
            return _keys_answer(store, key)
        if not is_watch:
            return _value_answer(store, key)
        return await _watch_answer(store, key)

    @app.put("/v1/kv/<path:key>")
    async def write(key: str) -> Response:
        fault = await _simulate_faults(store, "write")
        if fault is not None:
            return fault
        value = bytes(await request.data)
        if len(value) > MAX_VALUE_BYTES:
            return json_response("value is too large", 413)
        return await _apply_write(store, lambda: store.put(key, value, _cas_index()))

    @app.delete("/v1/kv/<path:key>")
    async def delete(key: str) -> Response:
        fault = await _simulate_faults(store, "write")
        if fault is not None:
            return fault
        return await _apply_write(store, lambda: store.remove(key, _cas_index()))


def _keys_answer(store: Store, prefix: str) -> Response:
    found = sorted(name for name in store.values if name.startswith(prefix))
    return json_response(found, 200 if found else 404)


async def _watch_answer(store: Store, key: str) -> Response:
    await _wait_for_change(store, key)
    if store.faults.out:
        return json_response("out of service", 500)
    return _value_answer(store, key)


def _cas_index() -> int | None:
    return int(request.args["cas"]) if "cas" in request.args else None


async def _apply_write(store: Store, action: Any) -> Response:
    draw = store.rng.random()
    faults = store.faults
    if draw < faults.lost_writes:
        return json_response("write lost", 500)
    applied = action()
    if draw < faults.lost_writes + faults.lost_answers:
        return json_response("answer lost", 500)
    return Response("true" if applied else "false", content_type="application/json")


async def _simulate_faults(store: Store, kind: str) -> Response | None:
    store.calls[kind] = store.calls.get(kind, 0) + 1
    await trio.sleep(store.faults.delay_s)
    if store.faults.out:
        return json_response("out of service", 500)
    return None


async def _wait_for_change(store: Store, key: str) -> None:
    index = int(request.args["index"])
    seconds = float(request.args.get("wait", "10s").rstrip("s"))
    with trio.move_on_after(min(seconds, MAX_WAIT_S)):
        while not store.faults.out:
            stored = store.values.get(key)
            if (stored.modified if stored else 0) != index:
                return
            await store.changed.wait()


def _value_answer(store: Store, key: str) -> Response:
    stored = store.values.get(key)
    if stored is None:
        return json_response([], 404)
    row = {
        "Key": key,
        "Value": base64.b64encode(stored.value).decode(),
        "CreateIndex": stored.created,
        "ModifyIndex": stored.modified,
    }
    return json_response([row])


def _add_session_routes(app: QuartTrio, store: Store) -> None:
    @app.put("/v1/session/create")
    async def create() -> Response:
        fault = await _simulate_faults(store, "write")
        if fault is not None:
            return fault
        ttl_s = float(str((await read_json()).get("TTL", "10s")).rstrip("s"))
        name = f"{store.rng.getrandbits(64):016x}"
        store.sessions[name] = (trio.current_time() + ttl_s, ttl_s)
        return json_response({"ID": name})

    @app.put("/v1/session/renew/<name>")
    async def renew(name: str) -> Response:
        fault = await _simulate_faults(store, "write")
        if fault is not None:
            return fault
        _expire_sessions(store)
        if name not in store.sessions:
            return json_response("session is gone", 404)
        ttl_s = store.sessions[name][1]
        store.sessions[name] = (trio.current_time() + ttl_s, ttl_s)
        return json_response([{"ID": name}])


def _expire_sessions(store: Store) -> None:
    now = trio.current_time()
    for name, (expires_at, _) in list(store.sessions.items()):
        if expires_at < now:
            del store.sessions[name]


def _add_list_routes(app: QuartTrio, store: Store) -> None:
    @app.get("/v1/health/service/<service>")
    async def service_instances(service: str) -> Response:
        fault = await _simulate_faults(store, "read")
        if fault is not None:
            return fault
        return json_response(store.service_instances(service))

    @app.put("/lists")
    async def set_lists() -> Response:
        store.lists.append((trio.current_time(), await read_json()))
        return json_response("ok")


def _add_control_routes(app: QuartTrio, store: Store) -> None:
    @app.put("/control")
    async def control() -> Response:
        for name, value in (await read_json()).items():
            setattr(store.faults, name, value)
        store.changed.set()
        store.changed = trio.Event()
        return json_response(vars(store.faults))

    @app.get("/record")
    async def record() -> Response:
        return json_response({"calls": store.calls, "writes": store.writes})


async def run(address: str, seed: int) -> None:
    """Run the stand-in until cancelled."""
    await serve_app(new_app(Store(random.Random(seed))), address)

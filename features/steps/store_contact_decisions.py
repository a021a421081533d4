"""Decision cases for what a failed call of the store says about endpoints' records."""

import json
import random
from base64 import b64decode, b64encode
from types import SimpleNamespace

import trio
from decision_cases import case, unconnected_gateway
from trio.testing import MockClock

from savorydyke._configuration_age import ConfigurationAge
from savorydyke._directory import Directory
from savorydyke._store_contact import MISSING_GRACE_S, StoreContact
from savorydyke._store_restores import new_store_restores
from savorydyke._timing import SHORT_PAUSE_S, ApplyBounds, watch_pause_s
from savorydyke.platform import Change, Changes, Item, Listing, Store, StoreError
from savorydyke.platform._store import StoreFault

HEARTBEAT_S = 1.2
LEAVING_S = 2.0
FAILING_SHARE = 0.25
ENDPOINTS = ("e1", "e2", "e3")
ANSWER_S = 0.004
RECORD = {
    "service": "desk",
    "address": "127.0.0.1:1",
    "zone": "a",
    "slots": 4,
    "state": "ready",
    "seq": 1,
    "born": 1,
}


class FailingStore:
    """A store whose watches fail at any phase, while it serves everybody."""

    generation = 0

    def __init__(self, rng, share):
        self.rng, self.share = rng, share
        self.restored = trio.Event()
        self.changed = trio.Event()
        self.changes = []

    def put(self, name, value):
        """Write or remove the record of an endpoint."""
        data = None if value is None else json.dumps(value).encode()
        number = len(self.changes) + 1
        self.changes.append(Change(f"servers/{name}", data, number))
        self.changed.set()
        self.changed = trio.Event()

    async def list(self, prefix):
        await trio.sleep(ANSWER_S)
        latest = {change.key: change for change in self.changes}
        items = [Item(c.key, c.value, c.revision) for c in latest.values() if c.value]
        return Listing(tuple(items), len(self.changes))

    async def watch(self, prefix, revision, wait_s):
        phase = self.rng.random() if self.rng.random() < self.share else None
        await trio.sleep(ANSWER_S)
        with trio.move_on_after(wait_s if phase is None else phase * wait_s):
            while revision == len(self.changes):
                await self.changed.wait()
        if phase is not None:
            raise StoreError(StoreFault.ANSWER_LOST, "cut")
        return Changes(tuple(self.changes[revision:]), len(self.changes))


async def write_heartbeats(store, names):
    """Write the records of endpoints until cancelled."""
    number = 0
    while True:
        number += 1
        for name in sorted(names):
            store.put(name, RECORD | {"seq": number})
        await trio.sleep(HEARTBEAT_S)


async def seconds_until_removed(seed, share):
    """Return how long after its removal each endpoint went on being used."""
    rng = random.Random(seed)
    store = FailingStore(rng, share)
    contact, restores = StoreContact(HEARTBEAT_S), new_store_restores(5.0)
    directory = Directory(store, ConfigurationAge(), rng, restores, contact)
    names = set(ENDPOINTS)
    took = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(write_heartbeats, store, names)
        nursery.start_soon(directory.watch_store)
        await trio.sleep(3 * HEARTBEAT_S)
        for name in ENDPOINTS:
            await trio.sleep(HEARTBEAT_S * rng.random())
            names.discard(name)
            store.put(name, None)
            removed_at = trio.current_time()
            while name in directory.endpoints:
                await trio.sleep(0.01)
            took.append(trio.current_time() - removed_at)
        nursery.cancel_scope.cancel()
    return took


@case("an endpoint that leaves is removed in time although watches fail")
def _():
    # Failures come at any phase of a call, alone and in a row, and for good.
    late = []
    for share in (0.0, FAILING_SHARE):
        for seed in range(1, 21):
            clock = MockClock(autojump_threshold=0)
            took = trio.run(seconds_until_removed, seed, share, clock=clock)
            late += [(share, seed, s) for s in took if s > LEAVING_S]
    assert not late, late


@case("only an outage that lets records expire lets missing ones count as expired")
def _():
    contact = StoreContact(HEARTBEAT_S)
    contact.record_answer(10.0)
    # A watch was cut, and the next call answered.
    contact.record_failure(10.4)
    contact.record_answer(11.0)
    assert contact.kept_until(0.0, 11.0) < 11.0
    # The store was away for longer than endpoints are between two writes.
    contact.record_failure(20.0)
    contact.record_failure(20.7)
    now = 20.0 + 1.01 * HEARTBEAT_S
    contact.record_answer(now)
    assert contact.kept_until(now - 3.01 * HEARTBEAT_S, now) == now + MISSING_GRACE_S
    # The record was written too lately to have expired.
    assert contact.kept_until(now - 2.9 * HEARTBEAT_S, now) < now


@case("a restored store may lack any record")
def _():
    contact = StoreContact(HEARTBEAT_S)
    contact.record_answer(10.0)
    contact.record_restore(20.0)
    assert contact.kept_until(19.9, 20.0) == 20.0 + MISSING_GRACE_S
    assert contact.kept_until(19.9, 22.5) < 22.5


async def seconds_until_known(is_wanted):
    """Return how long an instance of a large fleet takes to know a new endpoint."""
    rng = random.Random(3)
    store = FailingStore(rng, 0.0)
    contact, restores = StoreContact(HEARTBEAT_S), new_store_restores(5.0)
    directory = Directory(store, ConfigurationAge(), rng, restores, contact)
    directory.watch_pause_s = watch_pause_s(ApplyBounds(5.0, 3.0, 3.0), True)
    names = set(ENDPOINTS)
    took = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(write_heartbeats, store, names)
        nursery.start_soon(directory.watch_store)
        await trio.sleep(3 * HEARTBEAT_S)
        for number in range(20):
            await trio.sleep(HEARTBEAT_S * rng.random())
            name = f"new-{number}"
            store.put(name, RECORD)
            began = trio.current_time()
            if is_wanted:
                assert await directory.wait_for_endpoint(name, 0.1)
            with trio.move_on_after(3.0):
                while name not in directory.endpoints:
                    await trio.sleep(0.01)
            took.append(trio.current_time() - began)
        # One that is not in the store, or was removed, is not waited for.
        began = trio.current_time()
        assert not await directory.wait_for_endpoint("unknown", 1.0)
        store.put("new-0", None)
        with trio.move_on_after(3.0):
            while "new-0" in directory.endpoints:
                await trio.sleep(0.01)
        assert not await directory.wait_for_endpoint("new-0", 1.0)
        took.append(trio.current_time() - began)
        nursery.cancel_scope.cancel()
    return took


@case("an endpoint that is granted before it is known is read at once")
def _():
    *took, _ = trio.run(
        seconds_until_known, False, clock=MockClock(autojump_threshold=0)
    )
    assert max(took) > 1.0, took
    *took, _ = trio.run(
        seconds_until_known, True, clock=MockClock(autojump_threshold=0)
    )
    assert max(took) < 0.1, took


@case("a coordinator of a large fleet knows new endpoints as soon as in a small one")
def _():
    async def play():
        gateway = unconnected_gateway()
        gateway.membership.alive_count = 70
        gateway._adapt_to_fleet_size()
        assert gateway.directory.watch_pause_s > 1.0
        gateway.pool_host.hosted["p"] = SimpleNamespace(is_coordinator=True)
        gateway._adapt_to_fleet_size()
        assert gateway.directory.watch_pause_s == SHORT_PAUSE_S
        gateway.pool_host.hosted["p"].is_coordinator = False
        gateway._adapt_to_fleet_size()
        assert gateway.directory.watch_pause_s > 1.0

    trio.run(play)


class LateStore(Store):
    """A client of a store that carries out a call later than the ones after it.

    Attributes
    ----------
    item : tuple of bytes and int
        The value of the only key and its revision, 0 for none.
    late : list of dict
        Calls that were not answered and are not carried out yet.
    loses : bool
        Whether the next write is one of these.
    """

    def __init__(self):
        super().__init__("127.0.0.1:1")
        self.item, self.late, self.loses = (b"", 0), [], False

    async def _call(self, name, method, target, body=None, timeout_s=0.0):
        if self.loses:
            self.loses = False
            self.late.append(body)
            raise StoreError(StoreFault.ANSWER_LOST, "lost")
        return self.carry_out(body)

    def carry_out(self, body):
        """Carry out a transaction, if its condition holds."""
        conditions = body["if_rev"]
        value, revision = self.item
        if any(condition["revision"] != revision for condition in conditions):
            items = [{"key": "k", "value": b64encode(value).decode()}]
            present = [items[0] | {"revision": revision}] if revision else []
            return 412, {"items": present}
        (write,) = body["writes"]
        self.item = (b64decode(write["value"]), revision + 1)
        return 200, {"revision": revision + 1}


# Guards against an old record, such as the versions of a pool, that replaces a newer
# one when the store carries out a write late.
@case("a write that is carried out late replaces no newer value")
def _():
    async def play():
        for is_first in (True, False):
            store = LateStore()
            if not is_first:
                await store.overwrite("k", b"first")
            store.loses = True
            try:
                await store.overwrite("k", b"old")
            except StoreError:
                pass
            else:
                raise AssertionError("the answer was not lost")
            await store.overwrite("k", b"new")
            store.carry_out(store.late.pop())
            assert store.item[0] == b"new"
            # Another instance, which knows no revision, writes over it.
            other = LateStore()
            other.item = store.item
            await other.overwrite("k", b"newer")
            assert other.item[0] == b"newer"

    trio.run(play)

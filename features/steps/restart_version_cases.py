"""Cases about streams whose instances are all killed while a software version joins.

What the store said before the kill tells at which version a stream began, whatever
endpoints are listed afterwards.
"""

import json

import trio
from decision_cases import FRONTEND, POOL, acquire, granted, manifest_of, scheduler_of
from decision_cases import case as decision_case
from routed_cases import (
    StreamTraffic,
    call_through_restart,
    case,
    kill_all,
    replace_daemon,
    versioned,
)

from savorydyke._ids import (
    UNKNOWN_VERSION,
    DataCentreId,
    InstanceId,
    RequestKey,
    SoftwareVersion,
)
from savorydyke._membership import Membership
from savorydyke._route_pools import RoutePools
from savorydyke._stream_records import StreamRecords
from savorydyke._stream_versions import KEPT_S, StoredBefore, StreamVersions
from savorydyke.platform import StoreError, StoreFault, streams_key, versions_key

V1, V2 = SoftwareVersion("v1"), SoftwareVersion("v2")
STREAMS = 12
SETTLED_S = 1.0


# Decisions


def started(stored, listed, told_by=None, before=()):
    """Return what an instance knows that starts when these versions are stored."""
    versions = StreamVersions()
    told = StoredBefore(frozenset(before or stored), told_by)
    versions.observe_stored(POOL, frozenset(stored), told)
    versions.observe_listing(100.0)
    versions.observe_endpoints(manifest_of(**listed), 100.0)
    versions.observe_view(102.0)
    return versions


def add_version(versions):
    """Let the coordinator add a version to those that are stored."""
    both = frozenset({V1, V2})
    versions.observe_stored(POOL, both, StoredBefore(both))


# Guards against a stream of the past that is judged by the present list of endpoints.
@decision_case("a stream from before a start is of the version that was stored then")
def _():
    versions = started({V1}, {"a": "v1", "b": "v2"})
    assert versions.only_version(POOL, 102.0, 102.0, True) == V1
    assert versions.only_version(POOL, 102.0, 102.0, False) == V1
    # Once streams may begin at the other one, only who is told of them can tell.
    add_version(versions)
    assert versions.only_version(POOL, 102.0, 102.0, True) == V1
    assert versions.only_version(POOL, 102.0, 102.0, False) == UNKNOWN_VERSION
    # Nobody tells of the streams of an instance that was lost.
    versions.observe_loss()
    assert versions.only_version(POOL, 102.0, 102.0, True) == UNKNOWN_VERSION
    # Streams of a version that is gone are known as well, and have no endpoint.
    versions = started({V1}, {"b": "v2", "c": "v3"})
    assert versions.only_version(POOL, 102.0, 102.0, True) == V1
    later = 100.0 + KEPT_S + 1.0
    versions.observe_view(later)
    assert versions.only_version(POOL, later, later, True) == UNKNOWN_VERSION


# Guards against instances that start later than others, which have added a version.
@decision_case("an instance that starts last is told what was stored before")
def _():
    versions = started({V1, V2}, {"a": "v1", "b": "v2"})
    assert versions.only_version(POOL, 102.0, 102.0, True) == UNKNOWN_VERSION
    first = (InstanceId("first"), 7)
    versions = started({V1, V2}, {"a": "v1", "b": "v2"}, first, {V1})
    # Who says so may have been killed with all others since.
    assert versions.only_version(POOL, 102.0, 102.0, True) == UNKNOWN_VERSION
    versions.is_running = lambda *process: process == first
    assert versions.only_version(POOL, 102.0, 102.0, True) == V1
    assert versions.only_version(POOL, 102.0, 102.0, False) == UNKNOWN_VERSION
    # The coordinator tells it no more.
    add_version(versions)
    assert versions.only_version(POOL, 102.0, 102.0, True) == UNKNOWN_VERSION


# Guards against a record that does not tell it, or tells it for too long.
@decision_case("who adds a version tells what was stored before, for a time")
def _():
    store = FailingStore(99)
    me = Membership(InstanceId("me"), "127.0.0.1:1", DataCentreId("a"), 7)
    versions = started({V1}, {"a": "v1", "b": "v2"})
    versions.is_running = me.is_running
    records = StreamRecords(store, versions, RoutePools(), me)
    write_all(records, 102.0)
    record = json.loads(store.values[versions_key(POOL)])
    assert record["versions"] == ["v1", "v2"], record
    assert (record["before"], record["by"]) == (["v1"], ["me", 7]), record
    other = StreamRecords(store, StreamVersions(), RoutePools(), me)
    other.receive_versions(POOL, store.values[versions_key(POOL)])
    assert other.versions.before[POOL] == StoredBefore(frozenset({V1}), ("me", 7))
    # An instance that has just started, and is not linked, leaves that as it is.
    alone = Membership(InstanceId("alone"), "127.0.0.1:1", DataCentreId("a"), 8)
    alone.listed = {InstanceId("me"), InstanceId("alone")}
    late = started({V1, V2}, {"a": "v1", "b": "v2"}, ("me", 7), {V1})
    records_of_late = StreamRecords(store, late, RoutePools(), alone)
    records_of_late.receive_versions(POOL, store.values[versions_key(POOL)])
    write_all(records_of_late, 102.5)
    assert json.loads(store.values[versions_key(POOL)]) == record
    versions.observe_endpoints(manifest_of(a="v1", b="v2"), 131.0)
    write_all(records, 131.0)
    assert "before" not in json.loads(store.values[versions_key(POOL)])


# Guards against streams that begin at a version before the store says that it is there.
@decision_case("new streams begin at a version that joins once the store names it")
def _():
    versions = StreamVersions(stored={POOL: frozenset({V1})}, listed={POOL: {V1}})
    scheduler = scheduler_of("a")
    scheduler.may_begin_at = lambda version: versions.may_begin(POOL, version)
    scheduler.reconfigure(manifest_of(a="v1"), 0.0)
    for number in range(5):
        decisions = scheduler.acquire(acquire(str(number)), FRONTEND, 1.0)
        assert granted(decisions) == (["a"] if number < 4 else [])
    # The one that waits is not granted the endpoint that joins either.
    manifest = manifest_of(a="v1", b="v2")
    versions.observe_endpoints(manifest, 2.0)
    assert not granted(scheduler.reconfigure(manifest, 2.0))
    assert not granted(scheduler.acquire(acquire("5"), FRONTEND, 2.0))
    versions.stored[POOL] = frozenset({V1, V2})
    assert granted(scheduler.update_joining(2.3)) == ["b", "b"]
    # Without an endpoint of a version that is stored the others are used at once.
    versions.observe_endpoints(manifest_of(c="v3"), 3.0)
    assert versions.may_begin(POOL, SoftwareVersion("v3"))


class FailingStore:
    """A store that takes a number of writes, and then no more."""

    def __init__(self, writes):
        self.generation = 1
        self.writes = writes
        self.values = {}

    async def open_lease(self, ttl_s):
        """Return a lease."""
        return 1

    async def write(self, values, lease=0):
        """Keep values, or fail."""
        if not self.writes:
            raise StoreError(StoreFault.UNREACHABLE, "no more writes")
        self.writes -= 1
        self.values |= values

    async def overwrite(self, key, value):
        """Keep a value, or fail."""
        await self.write({key: value})

    def streams(self):
        """Return the streams that are stored one by one."""
        prefix = streams_key(POOL, "")
        records = [json.loads(v) for k, v in self.values.items() if prefix in k]
        return {s for r in records for streams in r.values() for s in streams}


# Guards against a kill between the record of a version and those of earlier streams.
@decision_case("whenever writing ends streams are of one version, or are stored")
def _():
    for writes in range(5):
        store, versions = FailingStore(writes), StreamVersions()
        me = Membership(InstanceId("me"), "127.0.0.1:1", DataCentreId("a"), 1)
        records = StreamRecords(store, versions, RoutePools(), me)
        versions.observe_endpoints(manifest_of(a="v1"), 100.0)
        begun = {RequestKey(f"crew/r{number}") for number in range(9)}
        for number, stream in enumerate(sorted(begun)):
            # Those that an earlier coordinator has told of are among them.
            record = versions.record if number % 2 else versions.record_coordinated
            record(POOL, stream, V1, 100.0)
        write_all(records, 100.0)
        versions.observe_endpoints(manifest_of(a="v1", b="v2"), 101.0)
        write_all(records, 101.0)
        value = store.values.get(versions_key(POOL))
        stored = set(json.loads(value)["versions"]) if value else set()
        assert len(stored) <= 1 or begun <= store.streams(), writes
        assert versions.may_begin(POOL, V2) or V2 not in stored, writes
    assert stored == {V1, V2}


def write_all(records, now):
    """Write what has changed, as far as the store takes it."""
    try:
        trio.run(records.write, now)
    except StoreError:
        return


# Processes


async def add_engines(site, version, number):
    """Start engines whose records name their version from the start."""
    for index in range(number):
        name = f"{version}-{index}"
        script = versioned(version)
        await site.endpoint(name, "engines", script, version=version, slots=8)


async def start(site, engines=3):
    """Start engines of one version and three instances."""
    await add_engines(site, "v1", engines)
    for number in range(3):
        await site.daemon(f"instance-{number}")
    traffic = StreamTraffic(site)
    await trio.sleep(SETTLED_S)
    return traffic


async def run_streams(site, traffic, trouble):
    """Begin streams, let a trouble come, and let their callers take them up."""
    async with trio.open_nursery() as nursery:
        for _ in range(STREAMS):
            nursery.start_soon(call_through_restart, traffic)
            await trio.sleep(0.05)
        await trio.sleep(0.5)
        await trouble()


# Guards against streams that are refused since a version came while all were killed.
@case("streams go on after a restart of all during which versions join")
async def _(site):
    traffic = await start(site)

    async def trouble():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(kill_all, site, 0.5)
            await trio.sleep(0.2)
            await add_engines(site, "v2", 2)
            await add_engines(site, "v3", 1)

    await run_streams(site, traffic, trouble)
    traffic.check(8)


# Guards against the same where the instances start one after the other.
@case("streams go on after a restart of all one by one during which a version joins")
async def _(site):
    traffic = await start(site)

    async def trouble():
        killed = list(site.daemons)
        for daemon in killed:
            daemon.process.kill()
        await add_engines(site, "v2", 2)
        for daemon in killed:
            await replace_daemon(site, daemon)
            await trio.sleep(0.7)

    await run_streams(site, traffic, trouble)
    traffic.check(8)


# Guards against the same with little left of the version that began the streams.
@case("streams go on after a restart of all at the last endpoint of their version")
async def _(site):
    traffic = await start(site, engines=2)

    async def trouble():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(kill_all, site, 0.5)
            await trio.sleep(0.2)
            await add_engines(site, "v2", 2)
            site.endpoints["v1-0"].crash()
            site.store.remove("servers/v1-0")

    await run_streams(site, traffic, trouble)
    traffic.check(6)


# Guards against streams of a version that joined just before the kill and went on at
# the other one.
@case("streams of a version that joins just before a kill of all are not mixed")
async def _(site):
    traffic = await start(site)

    async def trouble():
        await add_engines(site, "v2", 2)
        async with trio.open_nursery() as nursery:
            for _ in range(STREAMS):
                nursery.start_soon(call_through_restart, traffic)
            await trio.sleep(0.25)
            await kill_all(site)

    await run_streams(site, traffic, trouble)
    mixed = [versions for versions, *_ in traffic.streams if len(versions) > 1]
    assert not mixed, (len(mixed), len(traffic.streams))
    taken_up = [whole for _, whole, is_taken_up in traffic.streams if is_taken_up]
    assert sum(taken_up) > len(taken_up) / 2, (sum(taken_up), len(taken_up))

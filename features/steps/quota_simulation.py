"""A fleet of routed instances in memory, whose use of quotas is counted.

The instances are real; links, store, callers and endpoints are simulated. Use is
counted where requests arrive at endpoints, as the rule for quotas does.
"""

import itertools
import json
import random
from collections import defaultdict
from dataclasses import dataclass, field

import trio

from savorydyke._directory import build_manifest
from savorydyke._gateway import new_gateway
from savorydyke._gateway_settings import check_gateway_settings
from savorydyke._grant_client import Demand, Granted
from savorydyke._ids import PoolId, Reason, ReleaseResult, RequestKey, TeamId
from savorydyke._log_writer import LogBuffer
from savorydyke._messages import MemberRow
from savorydyke.platform import (
    Item,
    StoreError,
    StoreFault,
    Written,
    open_store,
    read_configuration,
    read_endpoint,
)

WINDOW_S = 8.0
EXCESS = 0.1
SLACK = 140_000.0
"""Bounds of the deployments: tokens in a window beyond the quota."""
LATENCY_S = 0.002
STORE_S = 0.004
TIMEOUT_S = 1.0
"""Time after which a call of a store that does not answer fails."""
STEP_S = 0.01
BEAT_S = 0.25
SERVICE_S = 0.3
LEASE_S = 10.0
"""Time for which the store lists an instance that was killed."""
POOLS = ("engines", "more-engines", "desk")
SLOTS = 64
ENDPOINTS = 40
MAX_TOKENS = 60_000


def allowed(rate):
    """Return the tokens that a team may use in a window."""
    return (rate * WINDOW_S + rate) * (1 + EXCESS) + SLACK


def quota_configuration(rates, version=1):
    """Return a configuration with three pools and a quota for each team."""
    engine = {"slots": SLOTS, "kv_capacity": 50_000_000, "stride": 8}
    services = [{"name": name, "backend": engine} for name in POOLS[:2]]
    routes = [
        {
            "name": f"r-{pool}",
            "host": "h.example",
            "prefix": f"/{pool}/",
            "kind": "idempotent",
            "service": pool,
            "timeout_ms": 3000,
        }
        for pool in POOLS
    ]
    teams = [
        {
            "name": team,
            "api_keys": [f"key-{team}"],
            "unit": "tokens",
            "plain_tokens": 200,
            "rate_per_s": rate,
            "burst": rate,
        }
        for team, rate in rates.items()
    ]
    value = {
        "version": version,
        "routes": routes,
        "services": [*services, {"name": POOLS[2]}],
        "tenants": teams,
    }
    return read_configuration(json.dumps(value).encode())


def endpoint_record(name, pool):
    """Return the record of an endpoint with many slots."""
    value = {
        "service": pool,
        "address": "10.0.0.9:1",
        "zone": "a",
        "version": "1",
        "slots": SLOTS,
        "state": "ready",
        "cold_left_ms": 0,
        "seq": 1,
        "born": 1,
    }
    return read_endpoint(name, json.dumps(value).encode())


class MemoryStore:
    """The part of the platform's store that keeps the balances.

    Attributes
    ----------
    lost_writes : int
        Writes from now on that are not answered, and carried out later if their
        condition still holds.
    late_writes : int
        Those that were carried out, or not, by now.
    """

    late_s = 4.0

    def __init__(self, nursery=None):
        self.items = {}
        self.nursery = nursery
        self.lost_writes = self.late_writes = 0
        self.revisions = itertools.count(1)
        self.generation = 0
        self.restored = trio.Event()
        self.is_down = False
        self.delay_s = STORE_S

    async def read(self, key):
        """Return the item of a key, None if there is none."""
        await self._answer()
        return self.items.get(key)

    async def replace(self, key, value, revision):
        """Write a value if the key still has a revision, 0 for no value."""
        await self._answer()
        if self.lost_writes:
            self.lost_writes -= 1
            self.nursery.start_soon(self._replace_late, key, value, revision)
            raise StoreError(StoreFault.ANSWER_LOST, "lost")
        return self._replace(key, value, revision)

    def _replace(self, key, value, revision):
        found = self.items.get(key)
        if revision != (found.revision if found else 0):
            return found
        self.items[key] = Item(key, value, next(self.revisions))
        return Written(self.items[key].revision)

    async def _replace_late(self, key, value, revision):
        await trio.sleep(self.late_s)
        self._replace(key, value, revision)
        self.late_writes += 1

    async def _answer(self):
        await trio.sleep(TIMEOUT_S if self.is_down else self.delay_s)
        if self.is_down:
            raise StoreError(StoreFault.ANSWER_LOST, "down")


@dataclass
class StoreView:
    """The store as one instance sees it.

    Attributes
    ----------
    fault : StoreFault or None
        How each call of this instance fails.
    fails_after_s : float
        Time after which it does.
    """

    store: MemoryStore
    fault: StoreFault | None = None
    fails_after_s: float = STORE_S

    def __getattr__(self, name):
        return getattr(self.store, name)

    async def read(self, key):
        """Return the item of a key, None if there is none."""
        await self._fail()
        return await self.store.read(key)

    async def replace(self, key, value, revision):
        """Write a value if the key still has a revision."""
        await self._fail()
        return await self.store.replace(key, value, revision)

    async def _fail(self):
        if self.fault is not None:
            await trio.sleep(self.fails_after_s)
            raise StoreError(self.fault, "turned away")


@dataclass
class Arrival:
    """A request that an endpoint began to run."""

    team: TeamId
    tokens: int
    sent: float
    arrived: float


@dataclass
class Refusals:
    """What became of the requests of a team, in tokens."""

    requested: int = 0
    served: int = 0
    refused_by_quota: int = 0


@dataclass
class SimulatedInstance:
    """An instance and the state of its machine.

    Attributes
    ----------
    lag_s : float
        How late it handles messages, as a process with too much work does.
    group : int
        The part of a split fleet that it belongs to.
    is_frozen : bool
        Whether its process stands still.
    """

    gateway: object
    scope: trio.CancelScope
    lag_s: float = 0.0
    group: int = 0
    is_frozen: bool = False
    inbox: list = field(default_factory=list)


class SimulatedFleet:
    """The instances, their links and the callers.

    Parameters
    ----------
    count : int
        Number of instances.
    rates : dict of TeamId to float
        Quotas of the teams, in tokens a second; the burst is a second's tokens.
    """

    def __init__(self, count, rates, seed):
        self.rng = random.Random(seed)
        self.rates = dict(rates)
        self.configuration = quota_configuration(self.rates)
        self.store = MemoryStore()
        self.names = [f"i{number:03}" for number in range(count)]
        self.instances = {}
        self.arrivals = []
        self.results = defaultdict(Refusals)
        self.number = 0
        self.starts = 0
        self.expires = {}
        self.entry = None
        """The instance that takes all requests while it runs; None for any."""

    # Instances

    async def run(self, play):
        """Start all instances, let `play` act, and end them."""
        async with trio.open_nursery() as nursery:
            self.nursery = self.store.nursery = nursery
            for name in self.names:
                self.start(name)
            nursery.start_soon(self._carry_messages)
            nursery.start_soon(self._beat)
            self._beat_once()
            await trio.sleep(WINDOW_S + 1.0)
            await play()
            nursery.cancel_scope.cancel()

    def start(self, name):
        """Start an instance, as after a kill."""
        settings, findings = check_gateway_settings(
            json.dumps(self._settings(name)), "settings"
        )
        assert not findings.items, findings.items
        gateway = new_gateway(settings, open_store("127.0.0.1:1"), LogBuffer())
        gateway.rng.seed(self.rng.random())
        self.starts += 1
        self.expires.pop(name, None)
        gateway.membership.incarnation = self.starts
        gateway.quota_balances.store = StoreView(self.store)
        gateway.quota_balances.is_store_complete = lambda: True
        instance = SimulatedInstance(gateway, trio.CancelScope())
        handle = gateway.handle
        gateway.handle = lambda sender, message: self._receive(
            name, instance, handle, sender, message
        )
        gateway.peers.send = lambda peer, message: self._send(name, peer, message)
        gateway.peers.links = _Links(self, name)
        self.instances[name] = instance
        self.configure(instance)
        self.nursery.start_soon(self._run_instance, instance)

    def _settings(self, name):
        return {
            "edges": "routed",
            "instance": name,
            "data_centre": "a",
            "callers": "127.0.0.1:1",
            "readiness": "127.0.0.1:2",
            "peers": "127.0.0.1:3",
            "store": "127.0.0.1:4",
            "bounds": {
                "quota_excess": EXCESS,
                "quota_slack": SLACK,
                "quota_window_s": WINDOW_S,
            },
        }

    def configure(self, instance):
        """Publish the configuration at an instance."""
        directory = instance.gateway.directory
        directory.configuration = self.configuration
        directory.endpoints = {
            f"{pool}-{number}": endpoint_record(f"{pool}-{number}", pool)
            for pool in POOLS
            for number in range(ENDPOINTS)
        }
        directory.manifest = build_manifest(self.configuration, directory.endpoints)
        for listener in directory.listeners:
            listener(directory.manifest)
        instance.gateway.membership.listed = self.listed()
        instance.gateway.pool_host.reporting = set(self.names)

    async def set_rates(self, rates):
        """Change the quotas; the instances learn of it one after the other."""
        self.rates |= rates
        self.configuration = quota_configuration(self.rates, 2)
        for instance in list(self.instances.values()):
            await trio.sleep(0.3 / len(self.names))
            self.configure(instance)

    async def _run_instance(self, instance):
        gateway = instance.gateway
        with instance.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(gateway.timers.run)
                nursery.start_soon(gateway.quota_balances.run)
                nursery.start_soon(gateway.quota_reports.run, gateway.timers)
                nursery.start_soon(gateway.pool_host.run, gateway.timers)
                nursery.start_soon(gateway.grant_client.reconcile, gateway.timers)

    def kill(self, name):
        """End an instance; what it knows is lost. Its record expires later."""
        self.instances.pop(name).scope.cancel()
        self.expires[name] = trio.current_time() + LEASE_S

    def freeze(self, name):
        """Let an instance stand still; what is sent to it waits."""
        instance = self.instances[name]
        instance.is_frozen = True
        instance.scope.cancel()

    def thaw(self, name):
        """Let an instance that stood still go on with what it knew."""
        instance = self.instances[name]
        instance.is_frozen = False
        instance.scope = trio.CancelScope()
        self.nursery.start_soon(self._run_instance, instance)

    def listed(self):
        """Return the instances whose records the store holds."""
        now = trio.current_time()
        return {n for n in self.names if self.expires.get(n, now + 1) > now}

    def coordinator(self, pool=POOLS[0]):
        """Return the coordinator of a pool in the view of most instances."""
        views = [
            i.gateway.membership.coordinator(pool) for i in self.instances.values()
        ]
        if not views:
            raise KeyError("no instance runs")
        return max(set(views), key=views.count)

    # Links

    def are_linked(self, one, other):
        """Return whether two instances reach each other."""
        first, second = self.instances.get(one), self.instances.get(other)
        return bool(first and second and first.group == second.group)

    def _send(self, sender, peer, message):
        if not self.are_linked(sender, peer):
            return False
        receiver = self.instances[peer]
        late_s = self.instances[sender].lag_s
        self._put(receiver, sender, message, LATENCY_S + late_s)
        return True

    def _receive(self, name, instance, handle, sender, message):
        if sender == name and instance.lag_s:
            self._put(instance, sender, message, 0.0)
        else:
            handle(sender, message)

    def _put(self, receiver, sender, message, delay_s):
        due = trio.current_time() + delay_s + receiver.lag_s
        if receiver.inbox:
            due = max(due, receiver.inbox[-1][0])
        receiver.inbox.append((due, sender, message))

    async def _carry_messages(self):
        while True:
            await trio.sleep(STEP_S)
            now = trio.current_time()
            for instance in list(self.instances.values()):
                while (
                    not instance.is_frozen
                    and instance.inbox
                    and instance.inbox[0][0] <= now
                ):
                    _, sender, message = instance.inbox.pop(0)
                    type(instance.gateway).handle(instance.gateway, sender, message)

    async def _beat(self):
        while True:
            await trio.sleep(BEAT_S)
            self._beat_once()

    def _beat_once(self):
        """Exchange heartbeats between all instances that reach each other."""
        now = trio.current_time()
        for name, instance in self.instances.items():
            if instance.is_frozen:
                continue
            membership = instance.gateway.membership
            membership.listed = self.listed()
            for other, peer in self.instances.items():
                if other != name and not peer.is_frozen:
                    self._hear(membership, name, other, peer, now)
            for member in membership.members.values():
                if not self.are_linked(name, member.id):
                    member.linked = False
            instance.gateway._adapt_to_fleet_size()
            membership.update(now)

    def _hear(self, membership, name, other, peer, now):
        incarnation = peer.gateway.membership.incarnation
        known = membership.members.get(other)
        if known is None or known.incarnation != incarnation:
            if not self.are_linked(name, other):
                return
            row = MemberRow(other, f"{other}:1", "a", incarnation, 1, 0, False)
            membership.merge_row(row, now)
        if self.are_linked(name, other):
            member = membership.members[other]
            lag_s = peer.lag_s + self.instances[name].lag_s
            member.linked = True
            member.has_direct_heartbeats = True
            member.last_seen = max(member.last_seen, now - lag_s)
            member.acknowledged_at = max(member.acknowledged_at, now - lag_s)
            if member.slow != peer.gateway.membership.slow:
                member.slow = peer.gateway.membership.slow
                membership.notify()

    # Callers

    async def load(self, team, pool, tokens_per_s, seconds, sizes=(600, 1800, 6600)):
        """Request tokens at random instances for a while."""
        mean = sum(sizes) / len(sizes)
        until = trio.current_time() + seconds
        while trio.current_time() < until:
            await trio.sleep(self.rng.expovariate(tokens_per_s / mean))
            name = self.rng.choice(self.names)
            if self.entry in self.instances:
                name = self.entry
            tokens = self.rng.choice(sizes)
            self.results[team].requested += tokens
            if name in self.instances and not self.instances[name].is_frozen:
                self.nursery.start_soon(self._ask, name, team, pool, tokens)

    async def _ask(self, name, team, pool, tokens):
        instance = self.instances[name]
        self.number += 1
        key = RequestKey(f"{name}/{self.number}")
        sent = trio.current_time()
        await trio.sleep(LATENCY_S)
        demand = Demand(
            key,
            PoolId(pool),
            TeamId(team),
            "",
            tokens,
            8,
            (),
            sent + 3.0,
            False,
            quota_tokens=tokens,
            objective=sent + 1.0,
        )
        client = instance.gateway.grant_client
        answer = await client.acquire(demand)
        if self.instances.get(name) is not instance:
            return
        if not isinstance(answer, Granted):
            if answer.reason is Reason.QUOTA:
                self.results[team].refused_by_quota += tokens
            return
        await trio.sleep(LATENCY_S)
        now = trio.current_time()
        self.arrivals.append(Arrival(team, tokens, sent, now))
        self.results[team].served += tokens
        client.started(demand.key, 0.01)
        await trio.sleep(SERVICE_S)
        client.release(demand.key, ReleaseResult.COMPLETE, 8, 0.1)

    # Oracle

    def worst_window(self, team):
        """Return the most tokens of a team both sent and arrived in a window."""
        used = [a for a in self.arrivals if a.team == team]
        worst = 0
        for first in used:
            begin = first.sent
            worst = max(
                worst,
                sum(
                    a.tokens
                    for a in used
                    if a.sent >= begin and a.arrived <= begin + WINDOW_S
                ),
            )
        return worst


class _Links:
    """The open links of an instance, as the components look them up."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name

    def get(self, peer, default=None):
        if not self.fleet.are_linked(self.name, peer):
            return default
        return (peer, self.fleet.instances[peer].gateway.membership.incarnation)

    def __iter__(self):
        return iter([n for n in self.fleet.instances if self.get(n)])

    def __len__(self):
        return len(list(iter(self)))

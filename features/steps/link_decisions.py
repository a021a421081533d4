"""Decision cases about the links between instances, over connections of one process."""

import random
from contextlib import asynccontextmanager

import trio
from decision_cases import case

from savorydyke import _peers
from savorydyke._gateway import LARGE_FLEET_TICKS
from savorydyke._ids import DataCentreId, InstanceId, MemberState
from savorydyke._membership import (
    DEAD_AFTER_S,
    EXTRA_HOPS,
    HEARTBEAT_INTERVAL_S,
    MAX_FULL_MESH,
    Membership,
    ring_neighbours,
)
from savorydyke._messages import Heartbeat, MemberRow
from savorydyke._peers import Peers
from savorydyke_standins._ports import PortPool

LINKED_S = 2.0
"""Time in which instances that reach each other are linked."""
START_S = 30.0
AWAY_S = 60.0


class LinkedInstance:
    """The links and the membership of one instance, without anything else."""

    def __init__(self, number, address, size):
        ticks = LARGE_FLEET_TICKS if size > MAX_FULL_MESH else 1
        self.interval_s = ticks * HEARTBEAT_INTERVAL_S
        name = InstanceId(f"instance-{number:03}")
        self.membership = Membership(name, address, DataCentreId("dc"), 1)
        self.membership.heartbeat_interval_s = self.interval_s
        self.membership.dead_after_s = ticks * DEAD_AFTER_S
        rng = random.Random(number)
        self.peers = Peers(self.membership, "secret", self.handle, rng)

    def handle(self, sender, message):
        if isinstance(message, Heartbeat):
            self.membership.receive_heartbeat(sender, message, trio.current_time())

    async def run(self):
        async with trio.open_nursery() as nursery:
            await nursery.start(self.peers.listen, self.membership.address)
            nursery.start_soon(self.peers.maintain_links)
            while True:
                now = trio.current_time()
                self.membership.update(now)
                counter = self.membership.next_heartbeat(now)
                links = list(self.peers.links)
                informed = self.peers.rng.choice(links) if links else None
                for peer in links:
                    rows = self.membership.rows(now) if peer == informed else ()
                    beat = Heartbeat(counter, 0, False, 1, 0, (), rows)
                    self.peers.send(peer, beat)
                await trio.sleep(self.interval_s)

    def lose(self, others):
        """Close the links to other instances, which count as dead from now on."""
        for name in others:
            link = self.peers.links.get(name)
            if link is not None:
                link.scope.cancel()
                self.peers._remove_link(link)
            self.membership.members[name].last_seen -= AWAY_S
        self.membership.update(trio.current_time())
        states = self.membership.states
        assert all(states[name] is MemberState.DEAD for name in others)

    def is_linked(self, fleet):
        """Return whether it has its links: to all, or to its neighbours on the ring.

        Of links between two instances that have lost nobody there may be others.
        """
        others = fleet.names - {self.membership.id}
        if len(others) >= MAX_FULL_MESH:
            others = set(ring_neighbours(self.membership.id, others))
        if self.membership.id not in fleet.away:
            others &= fleet.away
        return others <= self.peers.links.keys()

    def sees_all(self, fleet):
        """Return whether it sees all instances as live."""
        return set(self.membership.live()) == fleet.names


class Fleet:
    """Instances by name.

    Attributes
    ----------
    away : set of InstanceId
        Those that have lost the others.
    dials : int
        Attempts to open links.
    """

    def __init__(self, size):
        ports = PortPool()
        made = [LinkedInstance(n, ports.take(), size) for n in range(size)]
        self.instances = {one.membership.id: one for one in made}
        self.names = set(self.instances)
        self.listed = {n: o.membership.address for n, o in self.instances.items()}
        self.away = self.names
        self.dials = 0

    async def wait_until(self, condition, within_s):
        """Wait until a condition holds for all; return the time that took."""
        begun = trio.current_time()
        instances = self.instances.values()
        with trio.move_on_after(within_s):
            while not all(condition(one, self) for one in instances):
                await trio.sleep(0.02)
            return trio.current_time() - begun
        lacking = [o.membership.id for o in instances if not condition(o, self)]
        raise AssertionError((condition.__name__, within_s, lacking))


@asynccontextmanager
async def linked_fleet(size):
    """Yield a fleet whose instances are linked and see each other as live."""
    fleet, connect = Fleet(size), _peers.connect_frames

    async def counted(*arguments):
        fleet.dials += 1
        return await connect(*arguments)

    _peers.connect_frames = counted
    try:
        async with trio.open_nursery() as nursery:
            for one in fleet.instances.values():
                one.peers.set_listed(fleet.listed)
                nursery.start_soon(one.run)
            await fleet.wait_until(LinkedInstance.is_linked, START_S)
            await fleet.wait_until(LinkedInstance.sees_all, START_S)
            yield fleet
            nursery.cancel_scope.cancel()
    finally:
        _peers.connect_frames = connect


def most_dials(size):
    """Return how many links a start opens if both instances of each pair do so."""
    return size * (size - 1 if size <= MAX_FULL_MESH else 2 * size.bit_length())


def spread_s(size):
    """Return after which time a member counts as dead that no row tells of."""
    ticks = LARGE_FLEET_TICKS if size > MAX_FULL_MESH else 1
    hops = size.bit_length() + EXTRA_HOPS
    return ticks * (DEAD_AFTER_S + HEARTBEAT_INTERVAL_S * hops)


async def lose_and_link(size, away, unlisted=0):
    """Let the last instances lose the others, as if frozen, until all are linked.

    Parameters
    ----------
    away : int
        How many instances lose the others, which lose them.
    unlisted : int
        Of how many of these the store has lost the records.
    """
    async with linked_fleet(size) as fleet:
        names = sorted(fleet.names)
        # The last one in order opens no link of a full mesh by itself.
        fleet.away, gone = set(names[size - away :]), set(names[size - unlisted :])
        fleet.dials = 0
        listed = {n: a for n, a in fleet.listed.items() if n not in gone}
        for name, one in fleet.instances.items():
            one.lose(fleet.names - {name} if name in fleet.away else fleet.away)
            one.peers.set_listed(listed)
        await fleet.wait_until(LinkedInstance.is_linked, LINKED_S)
        assert fleet.dials <= most_dials(size), fleet.dials
        await fleet.wait_until(LinkedInstance.sees_all, spread_s(size))


# Guards against instances that count each other as dead and never link again.
@case("instances that were frozen or cut off are linked again within two seconds")
def _():
    for size, away in ((3, 1), (3, 3), (7, 1), (7, 7), (30, 15)):
        trio.run(lose_and_link, size, away)


# Guards against dead members that a large fleet dials too late, or all at once.
@case("instances of a large fleet are linked again without a burst of connections")
def _():
    trio.run(lose_and_link, 70, 1)


# Guards against a link that only the side without a record could open.
@case("an instance whose record the store has lost is linked again too")
def _():
    for size, away in ((3, 1), (7, 3)):
        trio.run(lose_and_link, size, away, 1)


# Guards against a neighbour that is dialled neither as a live nor as a dead member.
@case("a neighbour that only gossip calls live is linked while others count as dead")
def _():
    size = 2 * MAX_FULL_MESH
    names = [InstanceId(f"i{number:02}") for number in range(size)]
    own = names[-1]
    membership = Membership(own, "own:1", DataCentreId("dc"), 1)
    for name in names[:-1]:
        membership.merge_row(row(name, 1), 0.0)
    membership.update(0.0)
    membership.update(AWAY_S)
    assert membership.live() == [own]
    neighbours = set(ring_neighbours(own, names))
    for count, name in enumerate(sorted(neighbours)):
        membership.merge_row(row(name, 2), AWAY_S)
        membership.update(AWAY_S)
        assert membership.states[name] is MemberState.LIVE
        found = {m.id for m in membership.links_to_restore(names)}
        found |= {m.id for m in membership.wanted_links()}
        assert neighbours <= found, (count, neighbours - found)


# Guards against a live member that counts as dead again and again for lack of a link.
@case("a member that comes back without a link is judged by what others tell of it")
def _():
    membership = Membership(InstanceId("own"), "own:1", DataCentreId("dc"), 1)
    for number in range(MAX_FULL_MESH + 4):
        membership.merge_row(row(f"i{number}", 1), 0.0)
    member = membership.members["i0"]
    membership.update(0.0)
    # A heartbeat over a link that breaks then.
    beat = Heartbeat(2, 0, False, 1, 0, (), ())
    membership.receive_heartbeat("i0", beat, 1.0)
    for now in (1.0, 2.0, 3.0):
        tell_of_others(membership, now)
    assert membership.states["i0"] is MemberState.DEAD
    # What others heard before it fell silent says nothing.
    membership.merge_row(row("i0", 3, age_ms=2000), 3.0)
    membership.update(3.1)
    assert membership.states["i0"] is MemberState.DEAD
    # They hear it again, and tell of it in turns.
    membership.merge_row(row("i0", 9), 4.0)
    for now in (4.0, 5.0, 6.0, 7.0):
        tell_of_others(membership, now)
        assert membership.states["i0"] is MemberState.LIVE, now
    assert not member.has_direct_heartbeats


def row(name, counter, age_ms=0):
    return MemberRow(name, f"{name}:1", "dc", 1, counter, age_ms, False)


def tell_of_others(membership, now):
    """Merge rows about all members but the first, and update the states."""
    for number in range(1, MAX_FULL_MESH + 4):
        membership.merge_row(row(f"i{number}", int(now * 10) + 2), now)
    membership.update(now)

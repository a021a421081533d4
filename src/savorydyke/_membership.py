"""Membership: which instances are alive, and which coordinates a pool.

This is a gossip protocol. An instance is added as soon as any peer mentions it,
but counts as dead, and is removed later, only by this instance's own observation:
its heartbeat counter has not advanced for `DEAD_AFTER_S`, or longer for members
without a link in a large fleet. Counters increase with each heartbeat and are
passed on by peers, so messages that arrive out of order have no effect.

A member that is dead only for this instance is reached again by a link. Links to dead
members are therefore tried for as long as the store lists them: what was learned of an
instance is kept until a better source says that it is gone.
"""

import hashlib
import math
from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field
from functools import lru_cache

from savorydyke._ids import DataCentreId, InstanceId, MemberState, PoolId
from savorydyke._messages import Heartbeat, MemberRow

HEARTBEAT_INTERVAL_S = 0.5
DEAD_AFTER_S = 1.5
ACKNOWLEDGEMENT_MAX_AGE_S = 2.0
HEARD_MAX_AGE_S = 2.0
FORGET_AFTER_S = 120.0
MAX_FULL_MESH = 16
"""Largest fleet in which every instance has a link to every other one."""
ROWS_PER_HEARTBEAT = 134
"""Most rows in one heartbeat; a larger view is sent in several heartbeats."""
EXTRA_HOPS = 8
"""Hops allowed for beyond the logarithm of the fleet's size, before a member
without a link counts as dead."""
MAX_SENT_KEPT = 64
SCORE_CACHE_SIZE = 16_384
"""Rendezvous scores kept: those of 400 instances for 40 pools."""
MIN_RELATIVE_WEIGHT = 0.75
"""Fraction of the largest weight that an instance needs to coordinate a pool."""
MIN_SUBSTITUTE_WEIGHT = 0.5
"""The same, for an instance that coordinates because all stronger ones are slow. Under
a load that is too much for strong instances, weaker ones would fail one by one."""


@dataclass
class Member:
    """Another instance, as this instance sees it.

    Attributes
    ----------
    last_seen : float
        When its counter last advanced, on the local monotonic clock.
    linked : bool
        Whether a link to it is open.
    has_direct_heartbeats : bool
        Whether its heartbeats have come over a link, so that a shorter silence
        already means that it is dead.
    dial_failed_at : float
        When opening a link to it last failed.
    acknowledged_at : float
        When the latest heartbeat that it has acknowledged was sent.
    slow : bool
        Whether it is too slow to coordinate a pool.
    cut_off : bool
        Whether it reaches no endpoint itself.
    died_at : float
        Since when it has counted as dead, infinite if it does not.
    """

    id: InstanceId
    address: str
    data_centre: DataCentreId
    incarnation: int
    counter: int
    leaving: bool
    last_seen: float
    linked: bool = False
    has_direct_heartbeats: bool = False
    acknowledged_at: float = float("-inf")
    last_direct_counter: int = 0
    dial_failed_at: float = float("-inf")
    slow: bool = False
    cut_off: bool = False
    died_at: float = float("inf")


@dataclass
class Membership:
    """The known members and what is derived from their states.

    Attributes
    ----------
    heartbeat_interval_s, dead_after_s : float
        Time between heartbeats, and silence after which a member is dead.
    listed : set of InstanceId
        Instances whose records the store holds.
    weights : dict of InstanceId to float
        Capacity of the instances relative to each other; 1 if unknown.
    alive_count : int
        Number of other instances that are not dead.
    changes : int
        Number of changes of the known members and of their states.
    listeners : list of callable
        Called after each change of a member's state.
    loss_listeners : list of callable
        Called with an instance that died or restarted.
    """

    id: InstanceId
    address: str
    data_centre: DataCentreId
    incarnation: int
    heartbeat_interval_s: float = HEARTBEAT_INTERVAL_S
    dead_after_s: float = DEAD_AFTER_S
    counter: int = 0
    leaving: bool = False
    slow: bool = False
    cut_off: bool = False
    next_row: int = 0
    alive_count: int = 0
    changes: int = 0
    members: dict[InstanceId, Member] = field(default_factory=dict)
    weights: dict[InstanceId, float] = field(default_factory=dict)
    listed: set[InstanceId] = field(default_factory=set)
    sent_at: OrderedDict[int, float] = field(default_factory=OrderedDict)
    states: dict[InstanceId, MemberState] = field(default_factory=dict)
    listeners: list[Callable[[], None]] = field(default_factory=list)
    loss_listeners: list[Callable[[InstanceId], None]] = field(default_factory=list)

    # Gossip

    def merge_row(self, row: MemberRow, now: float) -> None:
        """Merge a row about an instance, sent by itself or by a peer."""
        if row.instance == self.id:
            return
        member = self.members.get(row.instance)
        if member is None or row.incarnation > member.incarnation:
            self._add(row, now, member)
            return
        if row.incarnation < member.incarnation or row.counter <= member.counter:
            return
        member.counter = row.counter
        member.leaving = member.leaving or row.leaving
        self._set_slow(member, row.slow)
        member.cut_off = row.cut_off
        seen = now - row.age_ms / 1000
        if seen > member.died_at and not member.linked:
            # It lives on without a link, so that only rows tell of it from now on.
            member.has_direct_heartbeats = False
        member.last_seen = max(member.last_seen, seen)

    def _set_slow(self, member: Member, slow: bool) -> None:
        if member.slow != slow:
            member.slow = slow
            self.notify()

    def _add(self, row: MemberRow, now: float, earlier: Member | None) -> None:
        if earlier is not None:
            self._report_lost(row.instance)
        self.changes += 1
        self.members[row.instance] = Member(
            id=row.instance,
            address=row.address,
            data_centre=DataCentreId(row.data_centre),
            incarnation=row.incarnation,
            counter=row.counter,
            leaving=row.leaving,
            last_seen=now - row.age_ms / 1000,
            linked=earlier.linked if earlier else False,
            slow=row.slow,
            cut_off=row.cut_off,
        )

    def receive_heartbeat(
        self, peer: InstanceId, heartbeat: Heartbeat, now: float
    ) -> None:
        """Process a heartbeat received over a direct link."""
        member = self.members.get(peer)
        if member is None:
            return
        member.has_direct_heartbeats = True
        member.last_direct_counter = max(member.last_direct_counter, heartbeat.counter)
        if heartbeat.counter > member.counter:
            member.counter = heartbeat.counter
            member.last_seen = now
            self._set_slow(member, heartbeat.slow)
            member.cut_off = heartbeat.cut_off
        member.leaving = member.leaving or heartbeat.leaving
        sent_at = self.sent_at.get(heartbeat.echo)
        if sent_at is not None:
            member.acknowledged_at = max(member.acknowledged_at, sent_at)
        for row in heartbeat.rows:
            self.merge_row(row, now)

    def next_heartbeat(self, now: float) -> int:
        """Advance and return this instance's counter; record the time."""
        self.counter += 1
        self.sent_at[self.counter] = now
        if len(self.sent_at) > MAX_SENT_KEPT:
            self.sent_at.popitem(last=False)
        return self.counter

    def update(self, now: float) -> None:
        """Recompute the states of all members and notify listeners of changes."""
        states = {}
        for member in list(self.members.values()):
            if now - member.last_seen > FORGET_AFTER_S:
                del self.members[member.id]
                continue
            state = states[member.id] = self._state(member, now)
            if state is not MemberState.DEAD:
                member.died_at = math.inf
            elif member.died_at == math.inf:
                member.died_at = now
        died = [
            name
            for name, state in self.states.items()
            if state is not MemberState.DEAD
            and states.get(name, MemberState.DEAD) is MemberState.DEAD
        ]
        changed = states != self.states
        self.changes += changed
        self.states = states
        self.alive_count = len(states) - len(self._dead_members())
        for name in died:
            self._report_lost(name)
        if changed:
            self.notify()

    def _dead_after_s(self, member: Member) -> float:
        """Return the silence after which a member counts as dead.

        Rows about a member without a link arrive through other instances. Each
        hop takes as many heartbeats as the view needs to be sent in full, and
        the number of hops grows with the logarithm of the fleet's size.
        """
        count = self.alive_count + 1
        if member.has_direct_heartbeats or count <= MAX_FULL_MESH:
            return self.dead_after_s
        turns = math.ceil(count / ROWS_PER_HEARTBEAT)
        hops = math.ceil(math.log2(count)) + EXTRA_HOPS
        return self.dead_after_s + self.heartbeat_interval_s * turns * hops

    def is_large_fleet(self) -> bool:
        """Return whether instances have links to some others only."""
        return self.alive_count >= MAX_FULL_MESH

    def expect_no_heartbeats(self, instance: InstanceId) -> None:
        """Record that a link was closed because it is not needed.

        What peers report of the instance counts from now on.
        """
        member = self.members.get(instance)
        if member is not None and self.is_large_fleet():
            member.has_direct_heartbeats = False

    def _state(self, member: Member, now: float) -> MemberState:
        if now - member.last_seen > self._dead_after_s(member):
            return MemberState.DEAD
        return MemberState.LEAVING if member.leaving else MemberState.LIVE

    def notify(self) -> None:
        """Notify listeners of a change."""
        for listener in self.listeners:
            listener()

    def _report_lost(self, instance: InstanceId) -> None:
        for listener in self.loss_listeners:
            listener(instance)

    # Derived state

    def live(self) -> list[InstanceId]:
        """Return the instances that accept new work, including this one."""
        others = [
            name for name, state in self.states.items() if state is MemberState.LIVE
        ]
        return others if self.leaving else [*others, self.id]

    def is_running(self, instance: InstanceId, incarnation: int) -> bool:
        """Return whether this incarnation of an instance is still running."""
        if instance == self.id:
            return incarnation == self.incarnation
        member = self.members.get(instance)
        if member is None or self.states.get(instance) is MemberState.DEAD:
            return False
        return member.incarnation == incarnation

    def coordinator(self, pool: PoolId) -> InstanceId:
        """Return the coordinator of `pool` in this instance's view.

        It is the live instance with the highest rendezvous hash for the pool.
        Only instances that this one can send to are candidates.
        """
        candidates = [
            name for name in self.live() if name == self.id or self.is_reachable(name)
        ]
        return self._highest_score(pool, candidates) if candidates else self.id

    def next_coordinator(self, pool: PoolId) -> InstanceId | None:
        """Return which other instance would coordinate `pool`, None if none can."""
        return next(iter(self.next_coordinators(pool, 1)), None)

    def next_coordinators(self, pool: PoolId, count: int) -> list[InstanceId]:
        """Return the other instances that would coordinate `pool`, the first one first.

        Each of them if those before it have ended as well.
        """
        others = [n for n in self.live() if n != self.id and self.is_reachable(n)]
        found: list[InstanceId] = []
        while others and len(found) < count:
            found.append(self._highest_score(pool, others))
            others.remove(found[-1])
        return found

    def _highest_score(self, pool: PoolId, candidates: list[InstanceId]) -> InstanceId:
        """Return the instance with the highest hash among the strong ones.

        Slow instances are chosen only if all are that could bear the load of a pool.
        """
        strong = self._strong(candidates)
        if all(map(self.is_slow, strong)):
            least = MIN_SUBSTITUTE_WEIGHT * max(map(self._weight, strong))
            others = [name for name in candidates if self._weight(name) >= least]
            strong = self._strong([n for n in others if not self.is_slow(n)]) or strong
        else:
            strong = [name for name in strong if not self.is_slow(name)]
        return max(strong, key=lambda name: rendezvous_score(pool, name))

    def _strong(self, names: list[InstanceId]) -> list[InstanceId]:
        """Return the instances that are about as strong as the strongest of them."""
        least = MIN_RELATIVE_WEIGHT * max(map(self._weight, names), default=0.0)
        return [name for name in names if self._weight(name) >= least]

    def _weight(self, name: InstanceId) -> float:
        return self.weights.get(name, 1.0)

    def is_reachable(self, name: InstanceId) -> bool:
        """Return whether messages can be sent to a member."""
        member = self.members[name]
        if member.linked or not self.is_large_fleet():
            return member.linked
        # In a large fleet links are opened on demand.
        return member.dial_failed_at < member.last_seen

    def is_slow(self, name: InstanceId) -> bool:
        """Return whether an instance has announced that it is slow."""
        if name == self.id:
            return self.slow
        member = self.members.get(name)
        return member is not None and member.slow

    def is_silent(self, instance: InstanceId, now: float, after_s: float) -> bool:
        """Return whether a member has no link or was not seen for `after_s`."""
        member = self.members.get(instance)
        if instance == self.id:
            return False
        return member is None or not member.linked or now - member.last_seen > after_s

    def is_coordinator(self, pool: PoolId) -> bool:
        """Return whether this instance coordinates `pool` in its own view."""
        return self.coordinator(pool) == self.id

    def known_count(self) -> int:
        """Return how many instances may be running, including this one.

        A member counts until it has announced that it leaves and is dead.
        """
        return 1 + sum(
            1
            for member in self.members.values()
            if not (member.leaving and self.states.get(member.id) is MemberState.DEAD)
        )

    def expected_count(self) -> int:
        """Return how many instances may be running, including this one.

        One that is dead counts until the store does not list it any more.
        """
        dead = self._dead_members()
        return 1 + sum(
            name not in dead or (name in self.listed and not member.leaving)
            for name, member in self.members.items()
        )

    def is_heard(self, instance: InstanceId, now: float) -> bool:
        """Return whether a member has been heard of lately and is linked."""
        member = self.members.get(instance)
        if member is None or not member.linked:
            return False
        return now - member.last_seen <= max(self.dead_after_s, HEARD_MAX_AGE_S)

    def reaches_majority(self, now: float) -> bool:
        """Return whether most known instances recently acknowledged a heartbeat."""
        return 2 * self._answered_count(now) > self.known_count()

    def data_centre_of(self, instance: InstanceId) -> str:
        """Return the data centre of an instance, empty if it is not known."""
        if instance == self.id:
            return self.data_centre
        member = self.members.get(instance)
        return member.data_centre if member else ""

    def listed_count(self) -> int:
        """Return how many instances are known or listed by the store.

        One that has never reached its peers knows them from there only.
        """
        return max(self.known_count(), len(self.listed | {self.id}))

    def reaches_most_listed(self, now: float) -> bool:
        """Return whether most of these recently acknowledged a heartbeat."""
        return 2 * self._answered_count(now) > self.listed_count()

    def share(self, now: float) -> float:
        """Return which part of what the whole fleet may give this instance may give.

        All of it while it is linked to most instances, since only one part of a fleet
        can be. Else each may give an equal part, so that all together give no more.
        """
        return 1.0 if self.reaches_most_listed(now) else self.equal_share()

    def equal_share(self) -> float:
        """Return the part of an instance if all may give the same."""
        return 1.0 / self.listed_count()

    def position(self, what: str) -> float:
        """Return where this instance stands among all, for `what`, in [0, 1).

        The positions of the instances are at equal distances.
        """
        names = sorted({*self.members, *self.listed, self.id})
        offset = int.from_bytes(rendezvous_score(what, InstanceId(""))[:4]) / 2**32
        return (names.index(self.id) + offset) / len(names) % 1.0

    def is_cut_off(self, now: float) -> bool:
        """Return whether no other instance recently acknowledged a heartbeat."""
        return self._answered_count(now) == 1

    def _answered_count(self, now: float) -> int:
        return 1 + sum(
            1
            for member in self.members.values()
            if now - member.acknowledged_at <= ACKNOWLEDGEMENT_MAX_AGE_S
        )

    def is_chosen(self, task: str, count: int) -> bool:
        """Return whether this instance is among the `count` chosen for a task."""
        ranked = sorted(
            {*self.live(), self.id},
            key=lambda name: rendezvous_score(task, name),
            reverse=True,
        )
        return self.id in ranked[:count]

    def wanted_links(self) -> list[Member]:
        """Return the members to which this instance should open a link.

        In a full mesh, the instance with the smaller id opens the link.
        """
        dead = self._dead_members()
        others = [m for m in self.members.values() if m.id not in dead]
        if len(others) < MAX_FULL_MESH:
            return [member for member in others if member.id > self.id]
        names = ring_neighbours(self.id, {member.id for member in others})
        return [self.members[name] for name in names]

    def links_to_restore(self, listed: Collection[InstanceId]) -> list[Member]:
        """Return the members to which this instance should open a link as well.

        A member counts as dead once it has been silent, but it may only have been
        suspended, or cut off. While the store lists it, both sides try to link to it,
        since neither knows whether the other one does.

        In a large fleet these are the neighbours on the ring of all that may run. Each
        stays one when gossip tells that it is live, which comes without a link.
        """
        all_dead = self._dead_members()
        dead = all_dead & set(listed)
        if not dead:
            return []
        expected = (self.members.keys() - all_dead) | dead
        if len(expected) < MAX_FULL_MESH:
            return [self.members[name] for name in dead]
        return [self.members[name] for name in ring_neighbours(self.id, expected)]

    def _dead_members(self) -> set[InstanceId]:
        return {n for n, s in self.states.items() if s is MemberState.DEAD}

    def rows(self, now: float) -> tuple[MemberRow, ...]:
        """Return the rows for the next heartbeat, of members that are not dead."""
        dead = self._dead_members()
        alive = [member for member in self.members.values() if member.id not in dead]
        if len(alive) > ROWS_PER_HEARTBEAT:
            start = self.next_row % len(alive)
            self.next_row = start + ROWS_PER_HEARTBEAT
            alive = (alive + alive)[start : start + ROWS_PER_HEARTBEAT]
        return tuple(
            MemberRow(
                m.id,
                m.address,
                m.data_centre,
                m.incarnation,
                m.counter,
                max(0, int((now - m.last_seen) * 1000)),
                m.leaving,
                m.slow,
                m.cut_off,
            )
            for m in alive
        )


def ring_neighbours(own: InstanceId, others: Iterable[InstanceId]) -> list[InstanceId]:
    """Return the instances to which `own` opens links in a large fleet.

    The links go to distances 1, 2, 4, ... along the ring of ids, so that the
    number of hops between any two instances is logarithmic.
    """
    ring = sorted(set(others) - {own}, key=lambda name: (name < own, name))
    steps = range(len(ring).bit_length())
    return [ring[2**step - 1] for step in steps if 2**step <= len(ring)]


@lru_cache(maxsize=SCORE_CACHE_SIZE)
def rendezvous_score(what: str, instance: InstanceId) -> bytes:
    """Return the weight of `instance` for `what` in rendezvous hashing."""
    return hashlib.blake2b(f"{what}|{instance}".encode(), digest_size=8).digest()

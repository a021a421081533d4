"""Steps about membership and the configuration in force."""

import contextlib
import json
import random

from behave import given, then, when
from hypothesis import given as with_cases
from hypothesis import settings
from hypothesis import strategies as st
from pool_scheduler_steps import acquire, manifest_value

from savorydyke._configuration import Configuration, Record
from savorydyke._exceptions import ProtocolError
from savorydyke._ids import MemberState, Reason, ReleaseResult
from savorydyke._membership import (
    HEARTBEAT_INTERVAL_S,
    ROWS_PER_HEARTBEAT,
    Membership,
)
from savorydyke._messages import (
    Challenge,
    ConfigurationPush,
    ConfigurationRequest,
    Grant,
    Heartbeat,
    Hello,
    MemberRow,
    Refuse,
    Register,
    Release,
    RunningRow,
    Started,
    Welcome,
    Withdraw,
    decode,
    encode,
)

CASES = settings(derandomize=True, deadline=None, max_examples=300)


def make_membership(number):
    name = f"instance-{number:03}"
    return Membership(name, f"10.0.{number // 250}.{number % 250}:1", "dc", 1)


def row(name, counter, incarnation=1):
    return MemberRow(name, f"{name}:1", "dc", incarnation, counter, 0, False)


class MemoryFleet:
    """Instances that exchange heartbeats by function calls, in simulated time."""

    def __init__(self, count):
        self.now = 0.0
        self.rng = random.Random(7)
        self.alive = {m.id: m for m in map(make_membership, range(count))}
        for member in self.alive.values():
            for other in self.alive.values():
                member.merge_row(row(other.id, 0), 0.0)
            member.update(0.0)
        self.links = {
            name: [m.id for m in member.wanted_links()]
            for name, member in self.alive.items()
        }
        for name, peers in list(self.links.items()):
            for peer in peers:
                if name not in self.links[peer]:
                    self.links[peer].append(name)
        self.most_rows = 0

    def run(self, seconds):
        until = self.now + seconds
        while self.now < until:
            self.now += HEARTBEAT_INTERVAL_S
            for member in list(self.alive.values()):
                self.beat(member)
            for member in self.alive.values():
                member.update(self.now)

    def beat(self, member):
        counter = member.next_heartbeat(self.now)
        peers = [peer for peer in self.links[member.id] if peer in self.alive]
        informed = self.rng.choice(peers)
        for peer in peers:
            rows = member.rows(self.now) if peer == informed else ()
            self.most_rows = max(self.most_rows, len(rows))
            beat = Heartbeat(counter, 0, False, 1, 0, (), rows)
            self.alive[peer].receive_heartbeat(member.id, beat, self.now)

    def kill(self, names):
        for name in names:
            del self.alive[name]


@given("a fleet of {count:d} instances that gossip in memory")
def memory_fleet(context, count):
    context.fleet = MemoryFleet(count)


@when("it runs for {seconds:d} s")
def run_for(context, seconds):
    context.fleet.run(seconds)


@then("every instance sees all others as live")
def all_live(context):
    for member in context.fleet.alive.values():
        assert set(member.live()) == set(context.fleet.alive), member.id


@then("no heartbeat carries more than {rows:d} rows")
def few_rows(context, rows):
    assert rows == ROWS_PER_HEARTBEAT
    assert context.fleet.most_rows <= rows


@when("3 instances die")
def three_die(context):
    names = sorted(context.fleet.alive)
    context.dead = [names[3], names[len(names) // 2], names[-1]]
    context.fleet.kill(context.dead)


@then("their linked peers see them as dead within 2 s")
def linked_see(context):
    fleet = context.fleet
    fleet.run(2.0)
    for name in context.dead:
        for peer in fleet.links[name]:
            if peer in fleet.alive:
                assert fleet.alive[peer].states[name] is MemberState.DEAD, peer


@then("every instance sees them as dead within 35 s")
def all_see(context):
    context.fleet.run(33.0)
    for member in context.fleet.alive.values():
        assert not set(context.dead) & set(member.live()), member.id


def run_rotating_fleet(receive, rng):
    """Deliver the messages of a fleet to one observer; return the live instances.

    One of four instances is replaced every second. Each live one sends its view
    every 0.1 s; messages are delayed by up to 1.2 s, so that they arrive out of
    order.
    """
    live, serial, messages = [f"i{n}" for n in range(4)], 4, []
    for tick in range(300):
        now = tick * 0.1
        if tick % 10 == 9 and tick < 250:
            live = [*live[1:], f"i{serial}"]
            serial += 1
        for sender in live:
            seen = tuple((name, tick) for name in live)
            messages.append((now + rng.uniform(0, 1.2), sender, seen))
        due = sorted(m for m in messages if m[0] <= now)
        messages = [m for m in messages if m[0] > now]
        for _, sender, seen in due:
            receive(now, sender, seen)
    return live


@given("heartbeats that arrive out of order while instances are replaced")
def replaced_instances(context):
    context.wrong = {"naive": 0, "membership": 0}
    for seed in range(30):
        naive: set = set()

        def replace(now, sender, seen, view=naive):
            view.clear()
            view.update(name for name, _ in seen)

        # The naive observer adopts the view in the message that came last. All its
        # views are judged, since the last one is right: replacements end after 25 s.
        live = run_rotating_fleet(replace, random.Random(seed))
        observer = Membership("me", "a:1", "dc", 1)

        def add(now, sender, seen, observer=observer):
            for name, counter in seen:
                observer.merge_row(row(name, counter + 1), now)
            observer.update(now)

        states = []

        def watch(now, sender, seen, view=naive, states=states):
            replace(now, sender, seen, view)
            states.append((now, frozenset(view)))

        same_live = run_rotating_fleet(watch, random.Random(seed))
        assert same_live == live
        context.wrong["naive"] += views_go_back(states)
        run_rotating_fleet(add, random.Random(seed))
        observer.update(30.0)
        context.wrong["membership"] += set(observer.live()) - {"me"} != set(live)


def views_go_back(states):
    """Return whether a member was lost from the view and later added again."""
    gone: set = set()
    seen: set = set()
    for _, view in states:
        if view & gone:
            return True
        gone |= seen - view
        seen |= view
    return False


@then("a view that adopts each message takes back a lost member in most runs")
def naive_view_goes_back(context):
    assert context.wrong["naive"] > 15, context.wrong


@then("the membership ends with exactly the live instances in all runs")
def membership_is_exact(context):
    assert context.wrong["membership"] == 0, context.wrong


@given("a member that restarts with a later incarnation")
def restarts(context):
    context.me = make_membership(1)
    context.losses = []
    context.me.loss_listeners.append(context.losses.append)
    context.me.merge_row(row("x", 100), 0.0)
    context.me.update(0.0)
    context.me.merge_row(row("x", 1, incarnation=2), 0.5)
    context.me.update(0.5)


@then("rows of its earlier incarnation change nothing")
def earlier_rows(context):
    context.me.merge_row(row("x", 500), 0.6)
    member = context.me.members["x"]
    assert (member.incarnation, member.counter) == (2, 1)


@then("its loss was reported once")
def reported_once(context):
    assert context.losses == ["x"]


@given("9 instances and 36 pools")
def views_of_nine(context):
    context.views = [make_membership(n) for n in range(9)]
    for view in context.views:
        for other in context.views:
            view.merge_row(row(other.id, 1), 0.0)
        for member in view.members.values():
            member.linked = True
        view.update(0.0)
    context.pools = [f"pool-{n}" for n in range(36)]
    context.before = {
        p: {v.coordinator(p) for v in context.views} for p in context.pools
    }
    assert all(len(names) == 1 for names in context.before.values())


@when("one instance leaves")
def one_leaves(context):
    context.gone = context.views.pop(4)
    for view in context.views:
        view.members[context.gone.id].leaving = True
        view.update(0.1)


@then("only the pools that it coordinated move")
def only_its_pools(context):
    for pool in context.pools:
        coordinators = {view.coordinator(pool) for view in context.views}
        assert len(coordinators) == 1
        if context.before[pool] != {context.gone.id}:
            assert coordinators == context.before[pool]


class RecordingPeers:
    """Links that record the messages sent."""

    def __init__(self):
        self.links = {"b": None, "c": None}
        self.sent = []

    def send(self, peer, message):
        self.sent.append((peer, message))


def record(revision):
    value = json.dumps(manifest_value([("e1", 1, 1000)]))
    return Record(revision, "operator", "2026", f"token-{revision}", value)


@given("a configuration at revision 5")
def at_revision_five(context):
    context.me = make_membership(0)
    for name in ("b", "c", "d", "e"):
        context.me.merge_row(row(name, 1), 0.0)
    context.me.update(0.0)
    context.peers = RecordingPeers()
    context.configuration = Configuration(None, context.me, context.peers)
    assert context.configuration.accept_if_newer(record(5).to_bytes())


@when("a peer pushes revision 4 and the platform returns revision 3")
def lower_revisions(context):
    push = ConfigurationPush(4, record(4).to_bytes())
    context.configuration.receive_push("b", push)
    assert not context.configuration.accept_if_newer(record(3).to_bytes())


@then("revision 5 stays in force")
def revision_stays(context):
    assert context.configuration.revision == 5


@then("a push of revision 6 is applied and forwarded")
def applied_and_forwarded(context):
    push = ConfigurationPush(6, record(6).to_bytes())
    context.configuration.receive_push("b", push)
    assert context.configuration.revision == 6
    assert [peer for peer, _ in context.peers.sent] == ["c"]


@when("nobody has confirmed it for 5 s and most peers are silent")
def not_confirmed(context):
    context.configuration.confirm(5, 10.0)
    context.now = 15.0


@then("it is not current")
def is_not_current(context):
    assert context.configuration.current(context.now) is None


@then("it is current once a peer's confirmation arrives")
def current_when_confirmed(context):
    counter = context.me.next_heartbeat(14.9)
    beat = Heartbeat(1, counter, False, 5, 300, (), ())
    context.configuration.receive_heartbeat("b", beat)
    assert context.configuration.current(context.now) is not None
    context.configuration.confirmed_at = float("-inf")
    assert context.configuration.current(context.now) is None


@then("it is current in an outage of the platform if most peers respond")
def current_by_majority(context):
    for number, name in enumerate(("b", "c")):
        counter = context.me.next_heartbeat(context.now - 0.5)
        beat = Heartbeat(10 + number, counter, False, 5, -1, (), ())
        context.me.receive_heartbeat(name, beat, context.now)
        is_current = context.configuration.current(context.now) is not None
        assert is_current == (number == 1), name


@when("the instance was paused for 10 s and reads heartbeats sent before that")
def paused_instance(context):
    context.now = 20.0
    counter = context.me.next_heartbeat(10.0)
    for name in ("b", "c", "d", "e"):
        beat = Heartbeat(50, counter, False, 5, 100, (), ())
        context.me.receive_heartbeat(name, beat, context.now)
        context.configuration.receive_heartbeat(name, beat)


NAMES = st.text(max_size=6)
COUNTS = st.integers(0, 2**62)
ROWS = st.builds(MemberRow, NAMES, NAMES, NAMES, COUNTS, COUNTS, COUNTS, st.booleans())
RUNNING = st.builds(
    RunningRow, NAMES, COUNTS, NAMES, NAMES, COUNTS, COUNTS, st.booleans()
)
BYTES = st.binary(max_size=20)
TUPLE = st.lists(NAMES, max_size=3).map(tuple)
MESSAGES = st.one_of(
    st.builds(Challenge, COUNTS, NAMES, BYTES),
    st.builds(Hello, COUNTS, NAMES, NAMES, NAMES, COUNTS, BYTES, BYTES),
    st.builds(Welcome, NAMES, NAMES, COUNTS, BYTES),
    st.builds(
        Heartbeat,
        COUNTS,
        COUNTS,
        st.booleans(),
        COUNTS,
        st.integers(-1, 10**9),
        TUPLE,
        st.lists(ROWS, max_size=3).map(tuple),
    ),
    st.builds(ConfigurationRequest, COUNTS),
    st.builds(ConfigurationPush, COUNTS, BYTES),
    st.builds(acquire, NAMES, NAMES, COUNTS, COUNTS, st.integers(0, 10**6)),
    st.builds(Grant, NAMES, COUNTS, NAMES, st.booleans(), TUPLE),
    st.builds(
        Refuse,
        NAMES,
        COUNTS,
        st.sampled_from(Reason),
        NAMES,
        st.integers(-1, 10**9),
        st.booleans(),
    ),
    st.builds(Started, NAMES, NAMES, COUNTS),
    st.builds(
        Release,
        NAMES,
        COUNTS,
        NAMES,
        NAMES,
        st.sampled_from(ReleaseResult),
        COUNTS,
        COUNTS,
    ),
    st.builds(Withdraw, NAMES, NAMES),
    st.builds(Register, NAMES, st.booleans(), st.lists(RUNNING, max_size=3).map(tuple)),
)


@then("hypothesis finds no frame on which decoding raises anything but ProtocolError")
def any_frame(context):
    import cbor2

    value = st.recursive(
        st.none() | st.integers() | st.text(max_size=4) | st.binary(max_size=4),
        lambda inner: st.lists(inner, max_size=8),
        max_leaves=20,
    )
    frames = st.binary(max_size=60) | value.map(cbor2.dumps)
    frames |= (
        st.lists(MESSAGES, max_size=3)
        .map(encode)
        .flatmap(lambda frame: st.integers(0, len(frame)).map(lambda cut: frame[:cut]))
    )

    @CASES
    @with_cases(frames)
    def decodes(frame):
        with contextlib.suppress(ProtocolError):
            decode(frame)

    decodes()


@then("every message is the same after encoding and decoding")
def round_trip(context):
    @CASES
    @with_cases(st.lists(MESSAGES, max_size=4))
    def same(messages):
        assert decode(encode(messages)) == messages

    same()

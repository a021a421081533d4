"""Decision cases about what instances tell each other of endpoints that end."""

import random
from collections import Counter

import trio
from decision_cases import CONTACT_S, case, process_id, unconnected_gateway
from trio.testing import MockClock

from savorydyke._ids import InstanceId, SuspectId
from savorydyke._membership import ring_neighbours
from savorydyke._messages import MemberRow, encode

ENDPOINTS = 56
SLOTS = 6
SHARED_PARTS = 80
ANSWERS_PER_S = 400
MOST_PER_S = 28_000
"""Bytes a second that the whole control traffic of an instance may take."""


class Wire:
    """The links of a fleet in memory, which count what each instance sends."""

    def __init__(self):
        self.gateways, self.sent = {}, Counter()

    def connect(self, name, peer):
        gateway = self.gateways[name]
        member = MemberRow(peer, f"{peer}:1", "a", 1, 1, 0, False)
        gateway.membership.merge_row(member, trio.current_time())
        gateway.peers.links[peer] = Link(self, name, peer)


class Link:
    """One direction of a link."""

    def __init__(self, wire, sender, receiver):
        self.wire, self.sender, self.receiver = wire, sender, receiver

    def send(self, message):
        self.wire.sent[self.sender] += len(encode([message]))
        self.wire.gateways[self.receiver].handle(self.sender, message)


def fleet(size):
    """Return the gateways of a fleet, with the links of its ring."""
    wire, names = Wire(), [InstanceId(f"instance-{n:03}") for n in range(size)]
    for name in names:
        wire.gateways[name] = gateway = unconnected_gateway()
        gateway.membership.id = name
    for name in names:
        for neighbour in ring_neighbours(name, names):
            wire.connect(name, neighbour)
            wire.connect(neighbour, name)
    return wire


async def end_a_fifth(wire, rng):
    """Let a fifth of the endpoints end, each with sound requests in its slots."""
    names = list(wire.gateways)
    now = trio.current_time()
    for number in range(ENDPOINTS // 5):
        process = process_id(f"e{number}", 1)
        for slot in range(SLOTS):
            quarantine = wire.gateways[rng.choice(names)].quarantine
            part = SuspectId(f"part-{rng.randrange(SHARED_PARTS)}")
            digest = SuspectId(f"request:{number:08x}{slot:08x}")
            quarantine.record_loss(process, (part, digest), now - 0.3, now)
            quarantine.record_end(process)


async def end_with_a_bad_part(wire, rng):
    """Let five further endpoints end one after the other under one part."""
    names = list(wire.gateways)
    for number in range(5):
        now, process = trio.current_time(), process_id(f"bad-{number}", 1)
        quarantine = wire.gateways[rng.choice(names)].quarantine
        quarantine.record_loss(process, ("bad",), now - 0.1, now)
        quarantine.record_end(process)
        await trio.sleep(0.2)


async def answer_others(wire, rng):
    """Let other requests with the same parts be answered, until cancelled."""
    names = list(wire.gateways)
    while True:
        await trio.sleep(1 / ANSWERS_PER_S)
        quarantine = wire.gateways[rng.choice(names)].quarantine
        part = SuspectId(f"part-{rng.randrange(SHARED_PARTS)}")
        quarantine.record_answer((part,), trio.current_time())


async def play(size):
    """Return a fleet `CONTACT_S` after the ends, and what was sent by second."""
    rng, wire = random.Random(5), fleet(size)
    by_second = []
    async with trio.open_nursery() as nursery:
        for gateway in wire.gateways.values():
            nursery.start_soon(gateway.timers.run)
            nursery.start_soon(gateway.run_heartbeats)
        nursery.start_soon(answer_others, wire, rng)
        await trio.sleep(1.0)
        await end_a_fifth(wire, rng)
        nursery.start_soon(end_with_a_bad_part, wire, rng)
        for _ in range(int(CONTACT_S) + 1):
            wire.sent.clear()
            await trio.sleep(1.0)
            by_second.append(max(wire.sent.values()))
        nursery.cancel_scope.cancel()
    return wire, by_second


@case("a fifth of the endpoints that end do not fill the links between instances")
def _():
    async def check():
        for size in (30, 70):
            wire, by_second = await play(size)
            before_contact = by_second[: int(CONTACT_S)]
            assert sum(before_contact) / CONTACT_S <= MOST_PER_S, (size, by_second)
            # The links are free again within two seconds.
            assert max(by_second[2:]) <= MOST_PER_S, (size, by_second)
            for gateway in wire.gateways.values():
                assert gateway.quarantine.held == {"bad"}, (size, by_second)

    trio.run(check, clock=MockClock(autojump_threshold=0))

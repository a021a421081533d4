"""Measures the processor time of frames between two instances, both ends together."""

import random
import time

import trio

from savorydyke._ids import DataCentreId, InstanceId
from savorydyke._membership import Membership
from savorydyke._messages import Message
from savorydyke._peers import Peers
from savorydyke_bench._cost import Measurement, request_messages
from savorydyke_bench._fleet import SHARED_KEY
from savorydyke_standins._ports import PortPool

BURSTS = 150
SIZES = (1, 4, 16, 64)
LINK_LIMIT_S = 10.0


class _Receiver:
    """Counts received messages and signals when a number has arrived."""

    def __init__(self) -> None:
        self.count = 0
        self.target_count = 0
        self.target_reached = trio.Event()

    def handle(self, sender: InstanceId, message: Message) -> None:
        self.count += 1
        if self.count >= self.target_count:
            self.target_reached.set()

    async def wait(self, count: int) -> None:
        self.target_count = self.count + count
        self.target_reached = trio.Event()
        await self.target_reached.wait()


def _new_peers(name: str, address: str, receiver: _Receiver) -> Peers:
    membership = Membership(InstanceId(name), address, DataCentreId("dc-1"), 1)
    return Peers(membership, SHARED_KEY, receiver.handle, random.Random(1))


async def measure_link() -> list[Measurement]:
    """Measure bursts of messages over one link, each sent as one frame."""
    result = Measurement("a frame over a link, both ends", "us", "message in it")
    ports = PortPool()
    left_address, right_address = ports.take(), ports.take()
    receiver = _Receiver()
    left = _new_peers("left", left_address, _Receiver())
    right = _new_peers("right", right_address, receiver)
    left.seeds = {right_address}
    async with trio.open_nursery() as nursery:
        await nursery.start(right.listen, right_address)
        nursery.start_soon(left.maintain_links)
        with trio.fail_after(LINK_LIMIT_S):
            while not left.links:
                await trio.sleep(0.05)
        messages = [message for n in range(16) for message in request_messages(n)]
        for size in SIZES:
            start = time.process_time()
            for _ in range(BURSTS):
                for message in messages[:size]:
                    left.send(InstanceId("right"), message)
                await receiver.wait(size)
            used_s = time.process_time() - start
            result.points.append((size, used_s / BURSTS * 1e6))
        nursery.cancel_scope.cancel()
    return [result]

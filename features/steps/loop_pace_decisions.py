"""Decision cases about the turns of a busy event loop, and deadlines of reads."""

import math
import random
import statistics

import trio
from decision_cases import case

from savorydyke._gateway import DEAD_AFTER_S
from savorydyke._http1 import (
    Channel,
    ChannelBrokenError,
    ChannelTimeoutError,
    OutgoingRequest,
)
from savorydyke._loop_pace import (
    MAX_INTERVAL_S,
    REST_INTERVAL_S,
    PacedClock,
    TurnPace,
)
from savorydyke._read_deadlines import ReadDeadlines
from savorydyke._sockets import receive

TURN_S = 0.0008
"""What a turn costs, whatever it handles."""
ITEM_S = 0.0004
"""What each request, event or message costs."""
AT_REST_PER_S = 80
"""Wake-ups of an instance without requests in a fleet of 70."""
LARGE_BYTES = 4_000_000
LARGE_S = 1.0
"""A configuration of several megabytes is read well within its bound of 2 s."""
SLACK_S = 0.1
"""Within which a deadline has to be noticed on a busy machine."""
PAUSE_S = 0.4


def replay(items_per_s, seconds=5.0, paced=True, at_rest=False):
    """Return turns, processor time and the items' longest wait, from arrivals."""
    rng = random.Random(1)
    arrivals, at = [], 0.0
    while at < seconds:
        at += rng.expovariate(items_per_s)
        arrivals.append(at)
    pace = TurnPace(0.0, lambda: at_rest)
    now, turns, used_s, longest_s = 0.0, 0, 0.0, 0.0
    while arrivals:
        now = max(now, arrivals[0])
        pace.begin_turn(now)
        taken = [at for at in arrivals if at <= now]
        del arrivals[: len(taken)]
        longest_s = max(longest_s, now - taken[0])
        worked_s = TURN_S + ITEM_S * len(taken)
        turns, used_s, now = turns + 1, used_s + worked_s, now + worked_s
        pause_s = pace.end_turn(now)
        now += pause_s if paced else 0.0
    return turns, used_s, longest_s


@case("an instance with little to do handles each thing at once")
def _():
    _, _, longest_s = replay(20)
    _, _, unpaced_s = replay(20, paced=False)
    assert longest_s <= unpaced_s + 0.002, (longest_s, unpaced_s)


@case("a burst of events takes an instance fewer turns, and delays none for long")
def _():
    turns, used_s, longest_s = replay(400)
    unpaced_turns, unpaced_s, _ = replay(400, paced=False)
    assert turns < unpaced_turns / 2, (turns, unpaced_turns)
    assert used_s < 0.75 * unpaced_s, (used_s, unpaced_s)
    assert longest_s < 2 * MAX_INTERVAL_S, longest_s


@case("an instance without requests takes half the turns, and is late for none")
def _():
    turns, used_s, longest_s = replay(AT_REST_PER_S, at_rest=True)
    unpaced_turns, unpaced_s, _ = replay(AT_REST_PER_S, paced=False)
    assert turns < unpaced_turns / 2, (turns, unpaced_turns)
    assert used_s < 0.75 * unpaced_s, (used_s, unpaced_s)
    assert longest_s <= REST_INTERVAL_S, longest_s
    # Another instance counts as dead after at least this time without a heartbeat.
    assert REST_INTERVAL_S < DEAD_AFTER_S / 20


@case("a process that is late for lack of processor time does not wait as well")
def _():
    pace = TurnPace(0.0)
    for turn in range(100):
        pace.begin_turn(turn * 0.05)
        assert pace.end_turn(turn * 0.05 + 0.05) == 0.0


@case("a large message is read as fast as it comes, also at rest")
def _():
    async def run():
        here, there = trio.socket.socketpair()
        stream, left = trio.SocketStream(here), LARGE_BYTES
        began = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.SocketStream(there).send_all, bytes(LARGE_BYTES))
            while left:
                left -= len(await receive(stream, 16_384))
        taken_s = trio.current_time() - began
        assert taken_s < LARGE_S, taken_s
        here.close()
        there.close()

    run_at_rest(run)


@case("timers of an instance at rest are on time")
def _():
    async def run():
        late = []
        for number in range(40):
            due = trio.current_time() + 0.007 * (1 + number % 5)
            await trio.sleep_until(due)
            late.append(trio.current_time() - due)
        # A pause that came on top of the wait would make most of them late.
        assert statistics.median(late) < REST_INTERVAL_S / 8, late

    run_at_rest(run)


def run_at_rest(run):
    """Run an event loop that is paced as that of an instance without requests."""
    clock = PacedClock()
    clock.pace.is_at_rest = lambda: True
    trio.run(run, clock=clock, instruments=[clock])


class Reader:
    """A reader whose deadline moves with each progress."""

    def __init__(self):
        self.read_until = self.watched_until = math.inf
        self.ended_at = None

    def end_read(self):
        self.ended_at = trio.current_time()


@case("reads end at their deadlines, which move either way")
def _():
    async def run():
        rng = random.Random(1)
        deadlines = ReadDeadlines()
        readers = [Reader() for _ in range(40)]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(deadlines.run)
            await trio.sleep(0)
            began = trio.current_time()
            for _ in range(20):
                for reader in readers:
                    if reader.ended_at is None:
                        reader.read_until = trio.current_time() + rng.uniform(0.1, 0.4)
                        deadlines.watch(reader)
                await trio.sleep(0.02)
            await trio.sleep(0.6)
            nursery.cancel_scope.cancel()
        for reader in readers:
            assert reader.ended_at is not None
            late_s = reader.ended_at - reader.read_until
            assert 0 <= late_s < SLACK_S, (late_s, reader.read_until - began)
        assert not deadlines.entries

    trio.run(run)


async def lose(sock):
    """Let the read in progress end as if the connection was closed."""
    await trio.sleep(0.05)
    trio.lowlevel.notify_closing(sock)


@case("a silent endpoint is noticed in time, and may still answer afterwards")
def _():
    async def run():
        deadlines = ReadDeadlines()
        here, there = trio.socket.socketpair()
        channel = Channel(trio.SocketStream(here), deadlines=deadlines)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(deadlines.run)
            await channel.send(OutgoingRequest(b"GET", b"/", []), None)
            head = b"HTTP/1.1 200 \r\nTransfer-Encoding: chunked\r\n\r\n"
            await there.send(head + b"1\r\na\r\n")
            await channel.read_head()
            assert await channel.next_part() == b"a"
            began = trio.current_time()
            channel.read_until = began + PAUSE_S
            try:
                await channel.next_part()
            except ChannelTimeoutError:
                waited_s = trio.current_time() - began
            assert PAUSE_S <= waited_s < PAUSE_S + SLACK_S, waited_s
            # The endpoint was only slow.
            channel.read_until = math.inf
            await there.send(b"1\r\nb\r\n0\r\n\r\n")
            assert await channel.next_part() == b"b"
            assert await channel.next_part() is None
            # A deadline that has passed already ends the next read at once.
            channel.parser.is_complete = False
            channel.read_until = trio.current_time() - 1
            with trio.fail_after(SLACK_S):
                try:
                    await channel.next_part()
                except ChannelTimeoutError:
                    pass
                else:
                    raise AssertionError("not ended")
            # A connection that is lost later is not taken for a silent one.
            channel.read_until = math.inf
            nursery.start_soon(lose, here)
            try:
                await channel.next_part()
            except ChannelBrokenError as error:
                assert not isinstance(error, ChannelTimeoutError), error
            nursery.cancel_scope.cancel()
        channel.close()
        there.close()

    trio.run(run)

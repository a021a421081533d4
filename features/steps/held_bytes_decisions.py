"""Decision cases for what an instance holds and what it costs; load is replayed."""

import logging
import random
from datetime import date

import trio
from decision_cases import case
from pythonjsonlogger.json import JsonFormatter
from trio.testing import MockClock

from savorydyke._ids import TeamId, TierId
from savorydyke._logs import FIELD_NAMES, LineFormatter
from savorydyke._timers import TimerService
from savorydyke.serving import HeldBytes, Holder, Kind, bounds_of

ANSWER = 250_000
READ_PER_S = 1000
TIER = TierId("0.0")


class Reader(Holder):
    """A caller that reads its answer at some speed."""

    def __init__(self, team, now, read_per_s):
        super().__init__(lambda: now if self.sizes else None, lambda: None, team)
        self.at, self.read_per_s = now, read_per_s

    def read(self, held, now):
        left = max(0, int(ANSWER - self.read_per_s * (now - self.at)))
        held.set_size(self, Kind.WRITER, left, now)


def replay(memory_mb, slow_teams, seconds=60):
    """Let one in ten of 100 callers a second read 1 KB/s; return all readers."""
    held, readers = HeldBytes(bounds_of(memory_mb)), []
    for tick in range(seconds * 100):
        now = tick / 100
        is_slow = tick % 10 == 0
        team = slow_teams[tick // 10 % len(slow_teams)] if is_slow else TeamId("sound")
        reader = Reader(team, now, READ_PER_S if is_slow else 5e6)
        held.set_size(reader, Kind.WRITER, ANSWER, now)
        readers.append(reader)
        for one in [one for one in held.holders if not one.gave_way]:
            one.read(held, now)
        assert held.total <= held.bounds.total
        assert all(n <= held.bounds.caller for n in held.callers.values())
        assert held.total == sum(sum(one.sizes.values()) for one in held.holders)
    return held, readers


@case("slow readers give way before sound callers, the slowest first")
def _():
    for memory_mb in (152, 200):
        _, readers = replay(memory_mb, [TeamId("a"), TeamId("b"), TeamId("c")])
        gone = [one for one in readers if one.gave_way]
        assert gone and all(one.read_per_s == READ_PER_S for one in gone)
        # Those who came first have waited longest.
        slow = [one for one in readers if one.read_per_s == READ_PER_S]
        assert gone == slow[: len(gone)]


@case("one team's slow readers leave room for the readers of others")
def _():
    held, readers = replay(152, [TeamId("a")], 30)
    # Five sound callers read at a time.
    assert held.total <= held.bounds.caller + 6 * ANSWER
    assert any(one.gave_way for one in readers)


@case("requests that wait for endpoints give way after unread answers")
def _():
    held = HeldBytes(bounds_of(70))
    waiting = Holder(lambda: None, lambda: None, TeamId("a"))
    held.set_size(waiting, Kind.REQUEST, 2_000_000, 1.0)
    reader = Reader(TeamId("a"), 2.0, READ_PER_S)
    held.set_size(reader, Kind.WRITER, 2_000_000, 2.0)
    newest = Holder(lambda: None, lambda: None, TeamId("a"))
    held.set_size(newest, Kind.REQUEST, 1_000_000, 3.0)
    assert reader.gave_way and not waiting.gave_way and not newest.gave_way
    held.set_size(newest, Kind.REQUEST, 3_000_000, 4.0)
    assert waiting.gave_way and not newest.gave_way
    assert held.sizes[Kind.WRITER] == 0 and held.total == 3_000_000


@case("without a known memory nothing gives way")
def _():
    held, readers = replay(0, [TeamId("a")], 20)
    assert not any(one.gave_way for one in readers)
    assert not held.bounds.socket


@case("ticks of several subscribers share wake-ups and keep their rates")
def _():
    periods, counts, wakes = (0.1, 0.1, 0.2, 0.25), {}, []

    async def play():
        timers = TimerService(random.Random(7))
        timers.delay_listeners.append(lambda delay_s, now: wakes.append(now))

        async def count(number, period_s):
            async with timers.every(period_s) as ticks:
                async for _ in ticks:
                    counts[number] = counts.get(number, 0) + 1

        async with trio.open_nursery() as nursery:
            for number, period_s in enumerate(periods):
                nursery.start_soon(count, number, period_s)
            nursery.start_soon(timers.run)
            await trio.sleep(100)
            nursery.cancel_scope.cancel()

    trio.run(play, clock=MockClock(autojump_threshold=0))
    for number, period_s in enumerate(periods):
        assert 0.97 < counts[number] * period_s / 100 < 1.03, counts
    # Each for itself, they would wake the process 29 times a second.
    assert len(wakes) < 0.75 * sum(100 / period_s for period_s in periods), len(wakes)


@case("log lines are those of the library's formatter")
def _():
    library = JsonFormatter(
        "%(asctime)s %(levelname)s %(message)s",
        rename_fields=FIELD_NAMES,
        static_fields={"instance": "i"},
    )
    own = LineFormatter("i")
    failure = (ValueError, ValueError("x"), None)
    for message, extra, error in (
        ("request: Ended.", {"request": 'ř"1', "parts": ("a",), "n": None}, None),
        ("home: Granted.", {"kind": Kind.REQUEST, "at": date(2020, 1, 1)}, None),
        ("home: Granted.", {"first_ms": 1.5, "s": {1}, "big": float("inf")}, None),
        ("peers: Message failed.", {"part": "peers"}, failure),
    ):
        record = logging.getLogger("x").makeRecord(
            "x", logging.INFO, "file", 1, message, (), error, extra=extra
        )
        assert own.format(record) == library.format(record)

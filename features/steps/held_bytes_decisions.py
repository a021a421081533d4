"""Decision cases for the bytes that an instance holds; the load is replayed."""

from decision_cases import case

from savorydyke._ids import TeamId, TierId
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

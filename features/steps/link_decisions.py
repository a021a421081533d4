"""Decision cases about the links between instances."""

from decision_cases import case

from savorydyke._ids import DataCentreId, InstanceId, MemberState
from savorydyke._membership import MAX_FULL_MESH, Membership
from savorydyke._messages import Heartbeat, MemberRow


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

"""Decisions on roll-outs that need neither traffic nor processes."""

import random
from dataclasses import replace

from savorydyke.platform import BadRecordError, read_order
from savorydyke.rollouts import (
    Allowance,
    Order,
    Record,
    RolloutControl,
    Stage,
    TrialBounds,
    new_record,
    read_record,
    route_of_key,
    route_tag,
    write_record,
)

ORDER = Order("1.5", "v2", 12.0)
DECISIONS = {}


def decision(name):
    """Register a case under the name that the feature uses."""

    def register(function):
        DECISIONS[name] = function
        return function

    return register


def control_in(stage):
    record = replace(new_record(ORDER, 0.0, None), stage=stage, old=("v1",))
    return RolloutControl(record, TrialBounds(), random.Random(1), 0.0)


@decision("a record is read as it was written")
def _():
    record = Record(
        ORDER, 1.5, Stage.DRAIN, 2.5, 1.7, ("v1",), ("v0",), 90, 9, 8, 0.5, "", "i-1"
    )
    assert read_record(write_record(record)) == record


@decision("a record or an order that is garbage is rejected")
def _():
    rng = random.Random(1)
    good = write_record(new_record(ORDER, 1.0, None))
    for _ in range(3000):
        data = bytearray(good)
        for _ in range(rng.randint(1, 4)):
            data[rng.randrange(len(data))] = rng.randrange(256)
        for read in (read_record, lambda d: read_order("desk", d, "1.5")):
            try:
                read(bytes(data))
            except (ValueError, BadRecordError):
                continue
    for text in (
        b'{"service": "other", "to": "v2", "within_s": 9}',
        b'{"service": "desk", "to": "", "within_s": 9}',
        b'{"service": "desk", "within_s": 9}',
        b'{"service": "desk", "to": "v2", "within_s": 0}',
        b'{"service": "desk", "to": "v2", "within_s": NaN}',
    ):
        try:
            raise AssertionError(read_order("desk", text, "1.5"))
        except BadRecordError:
            continue


@decision("several coordinators together stay within the bound")
def _():
    rng = random.Random(1)
    for _ in range(300):
        stored_sent = stored_reserved = exposed = 0
        coordinators = [Allowance(0.1, 50.0) for _ in range(3)]
        for sent in range(1, 401):
            one = rng.choice(coordinators)
            one.sent += 1
            if one.allows(goes_on=rng.random() < 0.3) and rng.random() < 0.5:
                one.take()
                exposed += 1
            if rng.random() < 0.1:
                # Compare-and-swap: it knows what the others have stored.
                one.adopt(stored_sent, stored_reserved)
                stored_reserved = one.reserved + rng.randint(0, one.wanted())
                stored_sent = one.sent
                one.grow(stored_reserved)
            if rng.random() < 0.02:
                coordinators[rng.randrange(3)] = Allowance(
                    0.1, 50.0, stored_sent, stored_reserved
                )
            assert exposed <= 0.1 * sent + 50, (exposed, sent)


@decision("an end in the store wins over one in memory")
def _():
    for mine, stored in (
        (Stage.REVERTED, Stage.COMPLETE),
        (Stage.COMPLETE, Stage.REVERTED),
        (Stage.TRIAL, Stage.REVERTED),
        (Stage.DRAIN, Stage.COMPLETE),
    ):
        control = control_in(mine)
        control.adopt(replace(control.record, stage=stored), 1.0)
        assert control.record.stage is stored, (mine, stored)


@decision("a stage never goes back to one in a copy of the store")
def _():
    for mine in Stage:
        for stored in (Stage.TRIAL, Stage.SHIFT, Stage.DRAIN):
            control = control_in(mine)
            control.adopt(replace(control.record, stage=stored), 1.0)
            later = stored if stored.is_after(mine) else mine
            assert control.record.stage is later, (mine, stored)


@decision("a changed order leaves a version on trial without requests")
def _():
    first = replace(new_record(ORDER, 1.0, None), sent=90, reserved=40)
    changed = new_record(Order("1.9", "v3", 12.0), 5.0, first)
    assert changed.barred == ("v2",) and changed.reserved == 0
    assert new_record(Order("1.12", "v2", 12.0), 9.0, changed).barred == ("v3",)


@decision("a repeated order has no new allowance")
def _():
    first = replace(new_record(ORDER, 1.0, None), sent=90, reserved=40)
    again = new_record(Order("1.9", "v2", 12.0), 5.0, first)
    assert (again.sent, again.reserved, again.deadline) == (90, 40, 17.0)


@decision("the route of a request stands in its key")
def _():
    for name, tag in (("desk/claims", "desk_claims"), ("a.b c", "a_b_c")):
        key = f"i-1/17.5.{route_tag(name)}/id/with.dots"
        assert route_of_key(key) == tag
    assert route_of_key("i-1/17.5/id") == "(unknown)"

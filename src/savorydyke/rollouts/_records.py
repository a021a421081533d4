"""Orders of operators, and the record of a roll-out that coordinators keep.

The record is ours; the platform's forms of the order and of the status are decoded in
`savorydyke.platform`. Times in the record are Unix seconds, since its readers have no
other clock in common.
"""

import json
import math
from dataclasses import asdict, dataclass, replace
from enum import Enum

from savorydyke._ids import SoftwareVersion
from savorydyke._untrusted import UnreadableError, parse_json, raises_only

MAX_REASON = 300


class Stage(Enum):
    """How far a roll-out has come.

    In TRIAL the new version gets a bounded share. In SHIFT it has been judged good and
    gets what it has capacity for. In DRAIN the old versions get nothing new.
    """

    TRIAL = "trial"
    SHIFT = "shift"
    DRAIN = "drain"
    COMPLETE = "complete"
    REVERTED = "reverted"

    def is_final(self) -> bool:
        """Return whether no stage follows."""
        return self in {Stage.COMPLETE, Stage.REVERTED}

    def is_after(self, other: "Stage") -> bool:
        """Return whether this stage may follow another one, which must not be final."""
        if other.is_final():
            return False
        order = [Stage.TRIAL, Stage.SHIFT, Stage.DRAIN, Stage.COMPLETE, Stage.REVERTED]
        return order.index(self) > order.index(other)


@dataclass(frozen=True)
class Order:
    """An operator's order that a pool moves to a version.

    Attributes
    ----------
    id : str
        Distinguishes it from an earlier order with the same content.
    within_s : float
        Time after the order within which it must be complete or reverted.
    """

    id: str
    to: SoftwareVersion
    within_s: float

    def is_same_content(self, other: "Order") -> bool:
        """Return whether two orders demand the same."""
        return (self.to, self.within_s) == (other.to, other.within_s)


@dataclass(frozen=True)
class Record:
    """The state of a roll-out, as coordinators hand it on.

    Attributes
    ----------
    order : Order
        The order that it answers.
    ordered_at, begun_at, stage_at : float
        When the order was seen, when an endpoint of the version first served (0 if
        none has) and when the stage began.
    old : tuple of SoftwareVersion
        The versions that the pool had beside the new one.
    barred : tuple of SoftwareVersion
        The versions that an earlier order left without requests.
    sent : int
        Requests of the pool since the order.
    reserved : int
        Requests to the version that may have been sent at most, until it is good.
    answers, score : int and float
        Judged answers, and the highest score of the evidence against the version.
    why : str
        Why the stage was entered.
    by : str
        The instance that wrote the record, to which its last reservation belongs.
    """

    order: Order
    ordered_at: float
    stage: Stage
    stage_at: float
    begun_at: float = 0.0
    old: tuple[SoftwareVersion, ...] = ()
    barred: tuple[SoftwareVersion, ...] = ()
    sent: int = 0
    reserved: int = 0
    answers: int = 0
    score: float = 0.0
    why: str = ""
    by: str = ""

    @property
    def to(self) -> SoftwareVersion:
        """Return the new version."""
        return self.order.to

    @property
    def deadline(self) -> float:
        """Return until when the roll-out must have ended, in Unix seconds."""
        return self.ordered_at + self.order.within_s


def new_record(order: Order, now: float, before: Record | None) -> Record:
    """Return the record of an order that was just seen.

    Parameters
    ----------
    now : float
        Unix time.
    before : Record or None
        That of the order which this one replaces. A version that it did not find good,
        or replaced, gets nothing.
    """
    barred: set[SoftwareVersion] = set()
    if before is not None:
        barred = {*before.barred}
        if before.stage in {Stage.TRIAL, Stage.REVERTED}:
            barred.add(before.to)
        if before.stage is Stage.COMPLETE:
            barred.update(before.old)
    barred.discard(order.to)
    if before is not None and before.to == order.to and not before.stage.is_final():
        # A repeated order has a new deadline and no new allowance.
        return replace(before, order=order, ordered_at=now, begun_at=0.0)
    return Record(order, now, Stage.TRIAL, now, barred=tuple(sorted(barred)))


def write_record(record: Record) -> bytes:
    """Return the stored form of a record."""
    value = asdict(record) | {"stage": record.stage.value}
    return json.dumps(value).encode()


@raises_only(UnreadableError)
def read_record(data: bytes) -> Record:
    """Return a stored record.

    Raises
    ------
    UnreadableError
        If it is not one.
    """
    value = parse_json(data)
    order = value["order"]
    return Record(
        order=Order(
            str(order["id"]),
            SoftwareVersion(str(order["to"])),
            _finite(order["within_s"]),
        ),
        ordered_at=_finite(value["ordered_at"]),
        stage=Stage(value["stage"]),
        stage_at=_finite(value["stage_at"]),
        begun_at=_finite(value["begun_at"]),
        old=tuple(SoftwareVersion(str(v)) for v in value["old"]),
        barred=tuple(SoftwareVersion(str(v)) for v in value["barred"]),
        sent=max(0, int(value["sent"])),
        reserved=max(0, int(value["reserved"])),
        answers=max(0, int(value["answers"])),
        score=max(0.0, _finite(value["score"])),
        why=str(value["why"])[:MAX_REASON],
        by=str(value["by"]),
    )


def _finite(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError("not a number")
    if not math.isfinite(value):
        raise ValueError("not a finite number")
    return float(value)

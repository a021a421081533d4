"""Roll-outs of endpoint versions by order: a bounded trial, then all traffic or none.

The coordinator of a pool judges the new version beside the old one and moves the
pool's requests in stages. `docs/design/rollouts.md` describes who decides what.
"""

from savorydyke.rollouts._allowance import Allowance
from savorydyke.rollouts._control import RolloutControl, TrialBounds
from savorydyke.rollouts._judge import Answer, Judge, Sign
from savorydyke.rollouts._records import (
    Order,
    Record,
    Stage,
    new_record,
    read_record,
    write_record,
)
from savorydyke.rollouts._route_tags import route_of_key, route_tag

__all__ = [
    "Allowance",
    "Answer",
    "Judge",
    "Order",
    "Record",
    "RolloutControl",
    "Sign",
    "Stage",
    "TrialBounds",
    "new_record",
    "read_record",
    "route_of_key",
    "route_tag",
    "write_record",
]

"""Records in which a coordinator hands on what teams used of their quotas.

A record holds balances and the ledger's counts. It is stored as JSON, and sent to other
instances in the same form.
"""

import json
import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from savorydyke import _logs
from savorydyke._ids import InstanceId, InstanceProcessId, TeamId
from savorydyke._quota import Balance
from savorydyke._quota_ledger import NO_PROCESS, SLOTS, Count, Counts, Ledger
from savorydyke._untrusted import UnreadableError, parse_json, raises_only, shown

UNKNOWN_GENERATION = -1
"""Generation of a record without the use before its writer's term. It is none of the
store's, so that nobody takes the balances for complete."""

log = _logs.component_logger("quotas")


@dataclass(frozen=True)
class Record:
    """What a coordinator hands on.

    Attributes
    ----------
    generation : int
        Generation of the store in which it was written; 0 if it is not stated.
    writer : InstanceProcessId
        The coordinator's process, empty for earlier versions of this program.
    written_ms : int
        Time of day in Unix milliseconds, 0 if it is not stated.
    phase : float
        How much of the latest part of the window had passed then, 0 to 1.
    balances : dict of TeamId to Balance
        Earlier versions of this program stored no counts; then `used` counts.
    counts : dict of InstanceProcessId to dict
        What processes have admitted, by team.
    relay : InstanceId
        Who is asked to write it to the store, since its writer can not; empty for none.
    """

    generation: int
    writer: InstanceProcessId
    written_ms: int
    phase: float
    balances: dict[TeamId, Balance]
    counts: dict[InstanceProcessId, dict[TeamId, Count]]
    relay: InstanceId


def encode_record(
    ledger: Ledger,
    balances: Mapping[TeamId, Balance],
    place: float,
    generation: int,
    written_ms: int,
    writer: InstanceProcessId,
    relay: InstanceId | None = None,
) -> bytes:
    """Return the stored form of what is known of a pool's quotas.

    Parameters
    ----------
    balances : mapping of TeamId to Balance
        Balances as the writer has them.
    place : float
        The present place in the window.
    generation : int
        Generation of the store in which it is written.
    written_ms : int
        Time of day in Unix milliseconds.
    writer : InstanceProcessId
        The coordinator's process.
    relay : InstanceId or None
        Who is asked to write it to the store.
    """
    value = _rows(balances, generation) | _counts(ledger.export(place), place, writer)
    value["written_ms"] = written_ms
    if relay is not None:
        value["relay"] = relay
    return json.dumps(value, separators=(",", ":")).encode()


def encode_use(
    counts: Mapping[InstanceProcessId, Counts],
    balances: Mapping[TeamId, Balance],
    place: float,
    writer: InstanceProcessId,
) -> bytes:
    """Return what a coordinator has admitted of some teams, for the next ones."""
    value = {"teams": {team: [round(b.tokens)] for team, b in balances.items()}}
    value |= _counts(counts, place, writer)
    return json.dumps(value, separators=(",", ":")).encode()


def _counts(
    counts: Mapping[InstanceProcessId, Counts], place: float, writer: InstanceProcessId
) -> dict[str, Any]:
    admitted = {
        process: {
            team: [c.number, *map(math.ceil, c.parts)] for team, c in rows.items()
        }
        for process, rows in counts.items()
    }
    return {"by": writer, "phase": round(place % 1.0, 3), "admitted": admitted}


def encode_balances(balances: Mapping[TeamId, Balance], generation: int) -> bytes:
    """Return balances in the form that earlier versions of this program store."""
    return json.dumps(_rows(balances, generation)).encode()


def _rows(balances: Mapping[TeamId, Balance], generation: int) -> dict[str, Any]:
    rows = {
        team: [round(balance.tokens), *map(round, balance.used)]
        for team, balance in balances.items()
    }
    return {"generation": generation, "teams": rows}


@raises_only(UnreadableError)
def decode_record(data: bytes) -> Record:
    """Return a record, also one that an earlier version of this program wrote.

    Raises
    ------
    UnreadableError
        If it is not one.
    """
    value = parse_json(data)
    # Earlier versions of this program stored the rows only.
    rows = value["teams"] if isinstance(value.get("teams"), dict) else value
    counts = {
        InstanceProcessId(str(process)): {
            TeamId(team): Count(float(row[0]), _tokens(row[1:], SLOTS + 1))
            for team, row in rows_of_process.items()
        }
        for process, rows_of_process in value.get("admitted", {}).items()
    }
    balances = {
        TeamId(team): Balance(float(row[0]), () if counts else _tokens(row[1:], SLOTS))
        for team, row in rows.items()
    }
    phase = float(value.get("phase", 0.0))
    if not 0.0 <= phase <= 1.0:
        raise UnreadableError("the phase is not a part of one")
    return Record(
        int(value.get("generation", 0)),
        InstanceProcessId(str(value.get("by", NO_PROCESS))),
        int(value.get("written_ms", 0)),
        phase,
        balances,
        counts,
        InstanceId(str(value.get("relay", ""))),
    )


def _tokens(row: list[Any], most: int) -> tuple[float, ...]:
    found = tuple(float(tokens) for tokens in row[:most])
    if any(tokens < 0 for tokens in found):
        raise UnreadableError("a negative number of tokens")
    return found


def decode_balances(data: bytes) -> dict[TeamId, Balance] | None:
    """Return stored balances, or None if they are unreadable."""
    try:
        return decode_record(data).balances
    except UnreadableError as error:
        log.error("Balances unreadable.", extra={"error": shown(error)})
        return None

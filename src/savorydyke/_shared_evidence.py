"""Keeps evidence against suspects, and limits, in the platform's store.

Instances tell each other what they know in heartbeats. The store brings it to those
that no peer reaches, and to those that start. One instance of the fleet writes, and
each that reaches no other one; all read with the watch that they have anyway.
"""

import json
import math
import time
from dataclasses import dataclass, field
from typing import Any

import trio

from savorydyke import _logs
from savorydyke._ids import EndpointId, InstanceId, ProcessId, SuspectId
from savorydyke._membership import Membership
from savorydyke._messages import LimitRow, LossRow
from savorydyke._quarantine import Quarantine
from savorydyke._request_limits import NO_LIMIT_ROW, RequestLimits
from savorydyke._untrusted import (
    MAX_INTEGER,
    MAX_SHOWN,
    UnreadableError,
    parse_json,
    raises_only,
    shown,
)
from savorydyke.platform import LeaseExpired, Store, StoreError, evidence_key

WRITE_INTERVAL_S = 0.5
"""Shortest time between two writes of an instance."""
LEASE_S = 600.0
"""Evidence outlives the instances that gave it, which may all be away together."""
LEASE_RENEWAL_S = 200.0
MAX_AGE_MS = 600_000
"""Largest age of a record that is believed; clocks of instances may differ."""

log = _logs.component_logger("evidence")


@dataclass(frozen=True)
class Evidence:
    """What an instance knows that outlives it."""

    losses: tuple[LossRow, ...] = ()
    limits: tuple[LimitRow, ...] = ()
    rejections: tuple[LimitRow, ...] = ()


@dataclass
class SharedEvidence:
    """Writes and reads the records.

    Attributes
    ----------
    written : tuple of int
        State of evidence and limits, and generation of the store, at the latest write.
    lease : int
        The lease of the record, 0 for none.
    renewed : float
        When the lease was opened or last renewed.
    has_record : bool
        Whether the store may hold a record of this instance that has rows.
    changed : trio.Event
        Set when there may be something to write, and replaced then.
    """

    store: Store
    quarantine: Quarantine
    limits: RequestLimits
    rejections: RequestLimits
    membership: Membership
    written: tuple[int, ...] = ()
    lease: int = 0
    renewed: float = -math.inf
    has_record: bool = False
    changed: trio.Event = field(default_factory=trio.Event)

    async def run(self) -> None:
        """Write what has changed until cancelled."""
        while True:
            await self.changed.wait()
            self.changed = trio.Event()
            try:
                await self.write()
            except StoreError as error:
                log.info("Evidence not written.", extra={"error": str(error)})
            await trio.sleep(WRITE_INTERVAL_S)

    def check(self, now: float) -> None:
        """Let `run` write if something has changed, or the lease is to be renewed."""
        is_lease_due = self.has_record and now - self.renewed > LEASE_RENEWAL_S
        if is_lease_due or self._state() != self.written:
            self.changed.set()

    def _state(self) -> tuple[int, ...]:
        changes = (self.limits.changes, self.rejections.changes)
        return (self.quarantine.changes, *changes, self.store.generation)

    async def write(self) -> None:
        """Write what has changed, if this instance is to write.

        Raises
        ------
        StoreError
            If the store does not take it.
        """
        now = trio.current_time()
        generation = self.store.generation
        state = self._state()
        if state == self.written:
            if self.has_record and now - self.renewed > LEASE_RENEWAL_S:
                await self._renew_lease(now)
            return
        losses, limits = self.quarantine.rows(now), self.limits.rows(now)
        rejections = self.rejections.rows(now)
        is_chosen = self.membership.is_chosen("evidence", 1)
        if not is_chosen and not self.membership.is_cut_off(now):
            # What it wrote earlier is outdated.
            losses, limits, rejections = (), (), ()
        has_rows = bool(losses or limits or rejections)
        if has_rows or self.has_record:
            evidence = Evidence(losses, limits, rejections)
            record = encode_evidence(evidence, time.time_ns() // 1_000_000)
            if not self.lease or (generation,) != self.written[-1:]:
                self.lease = await self.store.open_lease(LEASE_S)
                self.renewed = now
            values = {evidence_key(self.membership.id): record}
            if isinstance(await self.store.write(values, self.lease), LeaseExpired):
                self.lease = 0
                return
            self.has_record = has_rows
        self.written = state

    async def _renew_lease(self, now: float) -> None:
        """Renew the lease; write the record again if it has expired."""
        if await self.store.renew_lease(self.lease):
            self.renewed = now
            return
        self.lease, self.written = 0, ()

    def receive(self, instance: InstanceId, record: bytes) -> None:
        """Add the evidence in a record, possibly of this instance before a restart."""
        try:
            evidence = decode_evidence(record, time.time_ns() // 1_000_000)
        except UnreadableError as error:
            extra = {"peer": instance[:MAX_SHOWN], "error": shown(error)}
            log.error("Evidence unreadable.", extra=extra)
            return
        now = trio.current_time()
        self.quarantine.merge(evidence.losses, now)
        self.limits.merge(evidence.limits, now)
        self.rejections.merge(evidence.rejections, now)
        # An instance that has just started refuses from its first request on.
        self.quarantine.review(now)


def encode_evidence(evidence: Evidence, written_ms: int) -> bytes:
    """Return the stored form of evidence and limits.

    Parameters
    ----------
    written_ms : int
        Time of day in Unix milliseconds, to which the ages of the rows relate.
    """
    value = {
        "written_ms": written_ms,
        "losses": [[*row.__dict__.values()] for row in evidence.losses],
        "limits": [[*row.__dict__.values()] for row in evidence.limits],
        "rejections": [[*row.__dict__.values()] for row in evidence.rejections],
    }
    return json.dumps(value).encode()


@raises_only(UnreadableError)
def decode_evidence(record: bytes, now_ms: int) -> Evidence:
    """Return the rows of a record, with their present ages.

    Raises
    ------
    UnreadableError
        If the record is not valid.
    """
    value: dict[str, Any] = parse_json(record)
    age_ms = min(max(0, now_ms - int(value["written_ms"])), MAX_AGE_MS)
    losses = tuple(
        LossRow(
            SuspectId(str(suspect)),
            _bounded(depth),
            ProcessId(str(process)),
            _bounded(sent_ms) + age_ms,
            _bounded(lost_ms) + age_ms,
            _bounded(trials),
        )
        for suspect, depth, process, sent_ms, lost_ms, trials in value["losses"]
    )
    limits = _decode_limits(value["limits"], age_ms)
    # Records of earlier versions have none.
    rejections = _decode_limits(value.get("rejections", []), age_ms)
    return Evidence(losses, limits, rejections)


def _decode_limits(rows: list[Any], age_ms: int) -> tuple[LimitRow, ...]:
    return tuple(
        LimitRow(
            EndpointId(str(endpoint)),
            _bounded(per_1000_s, least=NO_LIMIT_ROW),
            _bounded(named_ms) + age_ms,
        )
        for endpoint, per_1000_s, named_ms in rows
    )


def _bounded(value: Any, least: int = 0) -> int:
    """Return a number of a row.

    Raises
    ------
    ValueError
        If it is not an integer of a usual size.
    """
    if type(value) is not int or not least <= value <= MAX_INTEGER // 2:
        raise ValueError("a row has a number that is out of range")
    return value

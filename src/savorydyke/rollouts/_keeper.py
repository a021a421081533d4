"""Keeps the roll-outs of all pools at one instance, and their records in the store.

Every instance watches orders, statuses and records, so that none sends to a version
that gets nothing, also without a coordinator. The coordinator of a pool changes the
record by compare-and-swap. A stage that it has entered takes effect at once, and is
written until the store has it; a stage that the store has lost is written again.
"""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Protocol

import trio

from savorydyke import _logs
from savorydyke._ids import PoolId, SoftwareVersion
from savorydyke._manifest import Endpoint, Manifest
from savorydyke._membership import Membership
from savorydyke._metrics import Metrics
from savorydyke._timers import TimerService
from savorydyke._untrusted import MAX_SHOWN, shown
from savorydyke.platform import (
    BadRecordError,
    Change,
    Item,
    RolloutKey,
    Store,
    StoreError,
    Written,
    pool_of_rollout_key,
    read_order,
    rollout_key,
    rollout_status_key,
    write_rollout_status,
)
from savorydyke.rollouts._control import CONTINUED_SHARE, RolloutControl, TrialBounds
from savorydyke.rollouts._judge import Answer
from savorydyke.rollouts._records import (
    Order,
    Record,
    Stage,
    new_record,
    read_record,
    write_record,
)

TICK_S = 0.1
COUNT_INTERVAL_S = 1.0
"""Interval at which counts are written while nothing else changes."""
RETRY_S = 0.2

log = _logs.component_logger("rollout")


class HostedScheduler(Protocol):
    """What is needed of a scheduler that is hosted here."""

    pool: PoolId
    rollout: RolloutControl | None
    grants_enabled: bool

    @property
    def endpoints(self) -> dict:
        """Return the load of each endpoint."""


@dataclass
class PoolState:
    """What is known of one pool's roll-out.

    Attributes
    ----------
    order : Order or None
        What the operator orders now.
    record : Record or None
        The furthest state known of the latest order that was begun.
    stored : Record or None
        The record that the store holds.
    revision : int
        Its revision there, 0 if there is none.
    status : bytes
        The status that the store holds.
    control : RolloutControl or None
        Controls the scheduler that is hosted here.
    is_order_gone : bool
        Whether the order is no longer in the store.
    writing : bytes or None
        A record that is being written here, until the store has confirmed it. The
        watch may show it before the call is answered.
    written_at : float
        When the record was last written here.
    """

    order: Order | None = None
    record: Record | None = None
    stored: Record | None = None
    revision: int = 0
    status: bytes = b""
    control: RolloutControl | None = None
    is_order_gone: bool = False
    writing: bytes | None = None
    written_at: float = 0.0

    def latest(self) -> Record | None:
        """Return the furthest state that is known."""
        return self.control.record if self.control is not None else self.record

    def snapshot(self) -> Record | None:
        """Return the same with the present counts."""
        return self.control.snapshot() if self.control is not None else self.record


@dataclass
class Rollouts:
    """The roll-outs known to one instance.

    Attributes
    ----------
    host : callable
        Returns the scheduler of a pool that this instance coordinates, hosted from
        now on, or None.
    hosted : callable
        Returns the scheduler of a pool if it is hosted here.
    is_store_complete : callable
        Whether the store has all changes that it acknowledged.
    wakeup : trio.Event
        Set when something is to be written.
    changed : trio.Event
        Set when the store has something new, and replaced then.
    """

    store: Store
    membership: Membership
    bounds: TrialBounds
    rng: random.Random
    metrics: Metrics
    host: Callable[[PoolId], HostedScheduler | None]
    hosted: Callable[[PoolId], HostedScheduler | None]
    is_store_complete: Callable[[], bool]
    pools: dict[PoolId, PoolState] = field(default_factory=dict)
    wakeup: trio.Event = field(default_factory=trio.Event)
    changed: trio.Event = field(default_factory=trio.Event)

    # What the store holds

    def receive(self, change: Change) -> None:
        """Apply a change of an order, a status or a record."""
        found = pool_of_rollout_key(change.key)
        if found is None:
            return
        kind, pool = found
        state = self.pools.setdefault(pool, PoolState())
        try:
            if kind is RolloutKey.ORDER:
                self._receive_order(pool, state, change)
            elif kind is RolloutKey.RECORD:
                self._receive_record(pool, state, change)
            else:
                state.status = change.value or b""
        except (BadRecordError, ValueError) as error:
            extra = {"key": change.key[:MAX_SHOWN], "error": shown(error)}
            log.warning("Roll-out unreadable.", extra=extra)
        self.wakeup.set()
        self.changed.set()
        self.changed = trio.Event()

    def _receive_order(self, pool: PoolId, state: PoolState, change: Change) -> None:
        if change.value is None:
            state.is_order_gone = True
            return
        order = read_order(
            pool, change.value, f"{self.store.generation}.{change.revision}"
        )
        state.order, state.is_order_gone = order, False
        begun = state.latest()
        if begun is not None and _is_again(begun.order, order):
            state.order = begun.order
            return
        extra = {"pool": pool, "order": order.id, "to": order.to}
        log.info("Roll-out ordered.", extra=extra | {"within_s": order.within_s})
        self._begin(pool, state, order)

    def _begin(self, pool: PoolId, state: PoolState, order: Order) -> None:
        """Begin with an order, unless the store has a record of it."""
        if state.stored is not None and _is_again(state.stored.order, order):
            state.record = state.stored
        else:
            state.record = new_record(order, time.time(), state.snapshot())
        self._end_control(state)
        self._control(pool, state, self.hosted(pool))

    def _receive_record(self, pool: PoolId, state: PoolState, change: Change) -> None:
        state.revision = change.revision if change.value is not None else 0
        state.stored = None
        if change.value is None:
            return
        stored = state.stored = read_record(change.value)
        if change.value == state.writing:
            self._confirm(state, stored)
            return
        known = state.latest()
        if known is None or (
            state.order is not None
            and _is_again(stored.order, state.order)
            and stored.order.id != known.order.id
        ):
            state.record = stored
            self._end_control(state)
            self._control(pool, state, self.hosted(pool))
            return
        if stored.order.id == known.order.id:
            self._adopt(state, stored)

    def _confirm(self, state: PoolState, written: Record) -> None:
        """Use what was reserved, now that the store has the record."""
        if state.writing is not None and state.control is not None:
            state.control.accept(written, trio.current_time())
        state.writing = None

    def _adopt(self, state: PoolState, stored: Record) -> None:
        if state.control is not None:
            state.control.adopt(stored, trio.current_time())
            state.record = state.control.record
        elif state.record is None or not state.record.stage.is_after(stored.stage):
            state.record = stored

    # Control

    def attach(self, scheduler: HostedScheduler) -> None:
        """Let the roll-out of its pool control a new scheduler."""
        state = self.pools.get(scheduler.pool)
        if state is not None:
            if state.control is not None:
                state.record = state.snapshot()
                state.control = state.writing = None
            self._control(scheduler.pool, state, scheduler)

    def _control(
        self, pool: PoolId, state: PoolState, scheduler: HostedScheduler | None
    ) -> None:
        if scheduler is None or state.record is None or state.control is not None:
            return
        offset = time.time() - trio.current_time()
        control = RolloutControl(state.record, self.bounds, self.rng, offset, pool)
        control.on_stage = self.wakeup_writer
        control.on_answer = lambda version, answer: self._count(pool, version, answer)
        control.observe(scheduler.endpoints.values(), trio.current_time())
        state.control = scheduler.rollout = control

    def _end_control(self, state: PoolState) -> None:
        state.writing = None
        if state.control is not None:
            state.control.release_all()
            state.control = None

    def wakeup_writer(self) -> None:
        """Let what has changed be written at once."""
        self.wakeup.set()

    def _count(self, pool: PoolId, version: SoftwareVersion, answer: Answer) -> None:
        if answer.failed is not None:
            labels = {"pool": pool, "version": version}
            result = "failed" if answer.failed else "complete"
            self.metrics.version_answers.inc(labels | {"result": result})
        for kind, value in (("first", answer.first), ("pace", answer.pace)):
            if value is not None:
                labels = {"pool": pool, "version": version, "kind": kind}
                self.metrics.version_slowness.observe(labels, value)

    async def run_ticks(self, timers: TimerService) -> None:
        """Change stages when it is time, until cancelled."""
        while True:
            while not self._is_active():
                await self.changed.wait()
            async with timers.every(TICK_S) as ticks:
                async for _ in ticks:
                    for pool, state in list(self.pools.items()):
                        self._tick(pool, state, trio.current_time())
                    if not self._is_active():
                        break

    def _is_active(self) -> bool:
        """Return whether a roll-out has not ended, or has ended only just now."""
        return any(
            not record.stage.is_final()
            or time.time() - record.stage_at < 3 * self.bounds.rollback_s
            or not self._is_stored(state)
            for state in self.pools.values()
            if (record := state.latest()) is not None
        )

    def _tick(self, pool: PoolId, state: PoolState, now: float) -> None:
        record = state.latest()
        if record is None:
            return
        if record.stage.is_final():
            if state.control is not None:
                state.control.tick(now, True)
            return
        if not self.membership.is_coordinator(pool):
            return
        scheduler = self.host(pool)
        self._control(pool, state, scheduler)
        if state.control is None or scheduler is None:
            return
        is_gone = state.order is None or state.is_order_gone
        state.control.is_withdrawn = is_gone and self.is_store_complete()
        state.control.tick(now, scheduler.grants_enabled)

    # The store

    async def run_writes(self) -> None:
        """Write records and statuses of the pools coordinated here, until cancelled."""
        is_failing = False
        while True:
            while not self._is_active():
                await self.changed.wait()
            with trio.move_on_after(RETRY_S):
                await self.wakeup.wait()
            self.wakeup = trio.Event()
            for pool, state in list(self.pools.items()):
                try:
                    await self._write(pool, state)
                    is_failing = False
                except StoreError as error:
                    if not is_failing:
                        extra = {"pool": pool, "error": str(error)}
                        log.warning("Roll-out not stored.", extra=extra)
                    is_failing = True
                    await trio.sleep(RETRY_S)

    async def _write(self, pool: PoolId, state: PoolState) -> None:
        record = state.latest()
        if record is None or (record.stage.is_final() and self._is_stored(state)):
            return
        if not self.membership.is_coordinator(pool):
            return
        control = state.control
        proposal = control.proposal() if control is not None else record
        if self._is_due(state, proposal):
            await self._write_record(pool, state, proposal)
        status = write_rollout_status(record)
        if status != state.status and self._has_stage(state, record):
            await self.store.overwrite(rollout_status_key(pool), status)
            state.status = status
            extra = {"pool": pool, "to": record.to, "stage": record.stage.value}
            log.info("Status stored.", extra=extra)

    def _is_stored(self, state: PoolState) -> bool:
        record = state.latest()
        assert record is not None
        is_cleared = state.order is None or state.is_order_gone
        if is_cleared and record.stage.is_final() and not state.status:
            # Operators may remove what has ended.
            return True
        status = write_rollout_status(record)
        return self._has_stage(state, record) and state.status == status

    def _has_stage(self, state: PoolState, record: Record) -> bool:
        """Return whether the store has the stage of a record."""
        stored = state.stored
        return stored is not None and (stored.order.id, stored.stage) == (
            record.order.id,
            record.stage,
        )

    def _is_due(self, state: PoolState, proposal: Record) -> bool:
        if not self._has_stage(state, proposal):
            return True
        assert state.stored is not None
        proposal = replace(proposal, by=state.stored.by)
        if proposal.begun_at != state.stored.begun_at or proposal.old != (
            state.stored.old
        ):
            return True
        if state.control is not None and state.control.needs_more():
            return True
        is_due = trio.current_time() - state.written_at >= COUNT_INTERVAL_S
        return is_due and not proposal.stage.is_final() and proposal != state.stored

    async def _write_record(
        self, pool: PoolId, state: PoolState, proposal: Record
    ) -> None:
        """Write a record, unless another coordinator has changed it meanwhile."""
        state.written_at = trio.current_time()
        proposal = replace(proposal, by=self.membership.id)
        key, value = rollout_key(pool), write_record(proposal)
        state.writing, control = value, state.control
        result = await self.store.replace(key, value, state.revision)
        if isinstance(result, Written):
            if result.revision >= state.revision:
                state.stored, state.revision = proposal, result.revision
            if state.control is control:
                self._confirm(state, proposal)
            return
        state.writing = None
        if result is None:
            self._receive_record(pool, state, Change(key, None, 0))
        else:
            assert isinstance(result, Item)
            change = Change(key, result.value, result.revision)
            self._receive_record(pool, state, change)
        log.info("Roll-out changed elsewhere.", extra={"pool": pool})

    def update_gauges(self) -> None:
        """Set the gauges of roll-outs to the current values."""
        for pool, state in self.pools.items():
            record = state.latest()
            if record is None:
                continue
            values: dict[str, float] = {
                stage.value: int(record.stage is stage) for stage in Stage
            }
            control = state.control
            if control is not None:
                values["requests"] = control.allowance.sent
                values["reserved"] = control.allowance.reserved
                values["answers"] = control.judge.answers
                values["bad"] = control.judge.bad
                values["score"], _ = control.judge.worst()
            for kind, value in values.items():
                self.metrics.rollout.set({"pool": pool, "kind": kind}, value)

    # What other parts ask

    def is_running(self, pool: PoolId) -> bool:
        """Return whether a roll-out of a pool has not ended."""
        state = self.pools.get(pool)
        record = state.latest() if state is not None else None
        return record is not None and not record.stage.is_final()

    def why_not(self, endpoint: Endpoint, goes_on: bool, manifest: Manifest) -> str:
        """Return why a request must not be sent to an endpoint, empty if it may.

        What a coordinator has granted may be sent to a version on trial, and to one
        that gets nothing new: it counts these requests, and knows first that the old
        version gets requests again.

        Parameters
        ----------
        goes_on : bool
            Whether the request takes up a stream that began at the version.
        """
        state = self.pools.get(endpoint.pool)
        record = state.latest() if state is not None else None
        if record is None:
            return ""
        version, stage = endpoint.version, record.stage
        if version == record.to:
            since = time.time() - record.stage_at
            is_over = not goes_on or since > CONTINUED_SHARE * self.bounds.rollback_s
            if stage is Stage.REVERTED and is_over:
                return "the endpoint's version was reverted"
            return ""
        if version in record.barred:
            return "the endpoint's version has not been found good"
        is_replaced = stage is Stage.COMPLETE and version in record.old
        if is_replaced and _has_version(manifest, endpoint.pool, record.to):
            return "the endpoint's version has been replaced"
        return ""

    def bars_fallback(self, endpoint: Endpoint, manifest: Manifest) -> bool:
        """Return whether a frontend must not place a request itself at an endpoint."""
        state = self.pools.get(endpoint.pool)
        record = state.latest() if state is not None else None
        if record is None:
            return False
        if record.stage is Stage.TRIAL and endpoint.version == record.to:
            return True
        if record.stage is Stage.DRAIN and endpoint.version in record.old:
            return True
        return bool(self.why_not(endpoint, False, manifest))


def _is_again(begun: Order, order: Order) -> bool:
    """Return whether an order is the one that was begun, as the store has it now.

    After a restore of the store the operator writes it again, or it is listed with the
    generation that is current now.
    """
    if begun.id == order.id:
        return True
    is_of_other_generation = begun.id.partition(".")[0] != order.id.partition(".")[0]
    return is_of_other_generation and begun.is_same_content(order)


def _has_version(manifest: Manifest, pool: PoolId, version: SoftwareVersion) -> bool:
    return any(
        spec.pool == pool and spec.version == version and not spec.drained
        for spec in manifest.endpoints.values()
    )

"""Hands what teams used of their quotas from one coordinator of a pool to the next.

A coordinator sends its record to the instances that would follow it, regularly and
after a team has used a certain amount, and then also writes it to the platform's store.
A record holds the coordinator's ledger, that is what each process has admitted. Ledgers
are merged, so that an old copy of a record does no harm wherever it comes from.

A write names the revision of the record that it replaces. It fails if another record
was written since, also if the store carries it out late; its writer then merges that
record and writes again.

A coordinator that does not know what was used before its term hands on what it admits
itself, but no balances: a team that it does not know may have used its whole quota.

A store that was restored from a backup holds older records. The coordinator then writes
its record again; until it has, balances in the store are not used.
"""

import math
import random
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace

import trio

from savorydyke import _logs
from savorydyke._backoff import backoff_s
from savorydyke._ids import InstanceId, PoolId, TeamId
from savorydyke._membership import Membership
from savorydyke._messages import QuotaPush
from savorydyke._pool_host import PoolHost
from savorydyke._quota import Balance, Quotas
from savorydyke._quota_ledger import SLOTS, Ledger, instance_process
from savorydyke._quota_records import (
    UNKNOWN_GENERATION,
    Record,
    decode_record,
    encode_record,
    encode_use,
)
from savorydyke._untrusted import UnreadableError, shown
from savorydyke.platform import Item, Store, StoreError, StoreFault, Written

BALANCES_PREFIX = "savorydyke/quotas/"
CHECK_S = 0.2
"""Short compared with the time in which a team uses the tokens that may be
unreported."""
PUSH_S = 1.0
"""Longest time between two records for the next coordinators. One that has none as new
as that does not know what was used."""
MIN_PUSH_S = 0.1
"""Shortest time between two messages on what was admitted since the record."""
USE = "quota-use:"
"""Prefix of the pool in these messages, which earlier versions ignore."""
FOLLOWERS = 2
"""Instances that get them, since the next coordinator may end with the present one."""
FRESH_S = 4.0
"""Age up to which a record counts as the latest one: `PUSH_S` and the longest time in
which a coordinator is found to be dead."""
UNREPORTED_BEATS = 2.5
"""Heartbeats after which less is admitted if neither a follower nor the store has
acknowledged what was."""
RELAY_S = 0.5
"""Time after which a follower is asked to write what the store does not take."""
MAX_LATE = 2
"""Intervals of `CHECK_S` after which this process counts as late."""
MAX_AGE_S = 60.0
"""Age by the time of day from which a record's use is outside of any window. Clocks of
instances may differ, so that younger records count as just written."""
MAX_CONFLICTS = 3
"""Writes of a record that are tried in a row, each over a newer one in the store."""
LOGGED_TEAMS = 4
RETRY_BASE_S = 0.2
RETRY_MAX_S = 1.0

log = _logs.component_logger("quotas")


@dataclass(frozen=True)
class Followers:
    """The instances that would coordinate a pool next.

    Attributes
    ----------
    at : float
        When they were looked up, which costs more than sending to them.
    changes : int
        Number of changes of the membership then.
    """

    names: list[InstanceId]
    at: float
    changes: int


@dataclass
class QuotaBalances:
    """Reads and writes the records of the pools hosted here.

    Attributes
    ----------
    send : callable
        Sends a message to an instance.
    predecessor : callable
        Returns which instance this one has followed as the coordinator of a pool until
        a time not before another one, None if none.
    window_s : float
        Length of the sliding window in which use of the quota is counted.
    ledgers : dict of PoolId to Ledger
        What is known of the pools that are or were hosted here or at a coordinator that
        this instance would follow.
    received : dict of PoolId to tuple of float and Record
        The latest records of coordinators, with the time of their arrival.
    received_use : dict of PoolId to tuple of float and Record
        Same for what they have admitted since, or without a record.
    bursting : set of PoolId
        Pools whose next coordinators are to be told soon.
    much_admitted : trio.Event
        Set when there are such pools, and replaced then.
    checked : float
        When the pools that are coordinated here were last looked at.
    hosted : trio.Event
        Set when a pool is hosted or coordinated here from now on.
    to_relay : set of PoolId
        Pools whose coordinators ask this instance to write their records.
    unread : set of PoolId
        Pools whose record in the store is to be read.
    is_store_complete : callable
        Whether the store has all that it acknowledged before it was restored.
    written : dict of PoolId to int
        Generation of the store in which the record of a pool was last written.
    revisions : dict of PoolId to int
        Revision of the record in the store that this instance has read or written last.
    pushed : dict of PoolId to float
        When the record of a pool was last sent to another instance.
    followers : dict of PoolId to Followers
        The instances to which it was.
    reported : dict of PoolId to float
        When the store last knew what had been admitted here.
    """

    store: Store
    pool_host: PoolHost
    membership: Membership
    send: Callable[[InstanceId, QuotaPush], None]
    rng: random.Random
    is_store_complete: Callable[[], bool]
    predecessor: Callable[[PoolId, float], InstanceId | None]
    window_s: float
    checked: float = -math.inf
    bursting: set[PoolId] = field(default_factory=set)
    much_admitted: trio.Event = field(default_factory=trio.Event)
    hosted: trio.Event = field(default_factory=trio.Event)
    to_relay: set[PoolId] = field(default_factory=set)
    unread: set[PoolId] = field(default_factory=set)
    ledgers: dict[PoolId, Ledger] = field(default_factory=dict)
    received: dict[PoolId, tuple[float, Record]] = field(default_factory=dict)
    received_use: dict[PoolId, tuple[float, Record]] = field(default_factory=dict)
    written: dict[PoolId, int] = field(default_factory=dict)
    revisions: dict[PoolId, int] = field(default_factory=dict)
    pushed: dict[PoolId, float] = field(default_factory=dict)
    followers: dict[PoolId, Followers] = field(default_factory=dict)
    reported: dict[PoolId, float] = field(default_factory=dict)

    def ledger(self, pool: PoolId) -> Ledger:
        """Return the ledger of a pool."""
        if pool not in self.ledgers:
            me = self.membership
            self.ledgers[pool] = Ledger(instance_process(me.id, me.incarnation))
        return self.ledgers[pool]

    def note_much_admitted(self, pool: PoolId) -> None:
        """Let the next coordinators of a pool be told soon."""
        self.bursting.add(pool)
        self.much_admitted.set()

    def receive(self, message: QuotaPush, now: float) -> None:
        """Merge the record that the coordinator of a pool has sent."""
        try:
            record = decode_record(message.record)
        except UnreadableError as error:
            log.error("Balances unreadable.", extra={"error": shown(error)})
            return
        pool = message.pool
        if pool.startswith(USE):
            self._receive_use(PoolId(pool.removeprefix(USE)), record, now)
            return
        self.received[pool] = (now, record)
        self._merge(pool, record, now)
        if record.relay == self.membership.id:
            self.to_relay.add(pool)
            self.hosted.set()
        hosted = self.pool_host.hosted.get(pool)
        if hosted is None:
            return
        quotas = hosted.scheduler.quotas
        if quotas.balances_loaded and quotas.balances is None:
            # It was taken over from this coordinator before its record came.
            self._assume(pool, record, quotas)
            quotas.restore(record.balances, bool(record.counts))

    def _receive_use(self, pool: PoolId, use: Record, now: float) -> None:
        """Merge what a coordinator has admitted of some teams since its record."""
        self._merge(pool, use, now)
        self.received_use[pool] = (now, use)
        _, record = self.received.get(pool, (now, None))
        if record is not None and record.writer == use.writer:
            record = replace(record, balances={**record.balances, **use.balances})
            self.received[pool] = (now, record)

    def _merge(self, pool: PoolId, record: Record, now: float) -> None:
        ledger = self.ledger(pool)
        place = now * SLOTS / self.window_s
        for process, counts in record.counts.items():
            ledger.merge(process, counts, place, record.phase)

    def take_over(self, pool: PoolId, quotas: Quotas) -> None:
        """Use what the previous coordinator of a pool sent, and let the store be read.

        The store may answer late or not at all.
        """
        use = self._recent(self.received_use, pool, quotas.opened)
        if use is not None:
            self._assume(pool, use, quotas)
        record = self._received(pool, quotas.opened)
        if record is not None:
            self._assume(pool, record, quotas)
            quotas.restore(record.balances, bool(record.counts))
        self.unread.add(pool)
        self.hosted.set()

    def _assume(self, pool: PoolId, record: Record, quotas: Quotas) -> None:
        """Count what a coordinator may have admitted after its latest record."""
        tokens = {team: quotas.may_be_unknown(team) for team in record.balances}
        slot = int(quotas.place(trio.current_time()))
        self.ledger(pool).assume(record.writer, tokens, slot)

    async def run(self) -> None:
        """Read, write and send records until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_changes)
            nursery.start_soon(self._tell_bursts)
            await self._run_exchange()

    # To other instances

    async def _send_changes(self) -> None:
        """Send records to other instances, also while the store does not answer."""
        coordinated: set[PoolId] = set()
        while True:
            await self.pool_host.hosting.opened.wait()
            hosted = {p: h.scheduler.quotas for p, h in self.pool_host.hosted.items()}
            now = trio.current_time()
            coordinating = {p for p in hosted if self.membership.is_coordinator(p)}
            for pool, quotas in hosted.items():
                if pool in coordinating:
                    self._report(pool, quotas, now)
                elif pool in coordinated or quotas.unreported:
                    coordinator = self.membership.coordinator(pool)
                    self._push(pool, quotas, [coordinator], now)
                    quotas.unreported.clear()
            coordinated = coordinating
            self.checked = now
            await trio.sleep(CHECK_S)

    async def _tell_bursts(self) -> None:
        """Tell the next coordinator what much was admitted of, between records.

        The one after it would miss at most what is admitted in `PUSH_S`.
        """
        while True:
            await self.much_admitted.wait()
            await trio.sleep(MIN_PUSH_S)
            self.much_admitted = trio.Event()
            bursting, self.bursting = self.bursting, set()
            for pool in bursting & self.pool_host.hosted.keys():
                self._tell(pool, self.pool_host.hosted[pool].scheduler.quotas)

    def _tell(self, pool: PoolId, quotas: Quotas) -> None:
        known, teams = self.followers.get(pool), quotas.teams_to_tell()
        if known is None or not teams:
            return
        quotas.record_told(teams)
        self._send_use(pool, quotas, teams, known.names[:1], trio.current_time())

    def _send_use(
        self,
        pool: PoolId,
        quotas: Quotas,
        teams: list[TeamId],
        instances: list[InstanceId],
        now: float,
    ) -> None:
        """Send what was admitted here of some teams."""
        teams = [team for team in teams if team in quotas.limits]
        place = quotas.place(now)
        counts = {quotas.ledger.owner: quotas.ledger.export_own(place, teams)}
        balances = {team: Balance(quotas.tokens_of(team, now), ()) for team in teams}
        record = encode_use(counts, balances, place, quotas.ledger.owner)
        for instance in instances:
            self.send(instance, QuotaPush(PoolId(USE + pool), record))

    def _report(self, pool: PoolId, quotas: Quotas, now: float) -> None:
        """Send the record of a pool that is coordinated here, if it is due."""
        is_due = now - self.pushed.get(pool, -math.inf) >= PUSH_S
        if is_due:
            self._push_to_followers(pool, quotas, now)
            quotas.record_told(list(quotas.admitted))
        reported = max(self._stored_at(pool, quotas), self._known(pool))
        limit_s = UNREPORTED_BEATS * self.membership.heartbeat_interval_s
        # A process that is late itself has not read what others acknowledged.
        is_late = now - self.checked > MAX_LATE * CHECK_S
        is_old = not is_late and now - reported > limit_s
        quotas.is_unreported = is_old and bool(quotas.unreported)

    def _push_to_followers(self, pool: PoolId, quotas: Quotas, now: float) -> None:
        known, changes = self.followers.get(pool), self.membership.changes
        if known is None or known.changes != changes or now - known.at >= PUSH_S:
            names = self.membership.next_coordinators(pool, FOLLOWERS)
            known = self.followers[pool] = Followers(names, now, changes)
        if known.names:
            self._push(pool, quotas, known.names, now)

    def _stored_at(self, pool: PoolId, quotas: Quotas) -> float:
        """Return until when the store knows what was admitted in this term."""
        return max(quotas.opened, self.reported.get(pool, -math.inf))

    def _known(self, pool: PoolId) -> float:
        """Return until when followers have acknowledged what they were sent.

        A heartbeat that is acknowledged came after all that was sent before it.
        """
        known, members = self.followers.get(pool), self.membership.members
        acknowledged = (
            members[name].acknowledged_at
            for name in (known.names if known else ())
            if name in members
        )
        return max(acknowledged, default=-math.inf)

    def _push(
        self, pool: PoolId, quotas: Quotas, instances: list[InstanceId], now: float
    ) -> None:
        self.pushed[pool] = now
        if not quotas.knows_use(now):
            self._send_use(pool, quotas, list(quotas.admitted), instances, now)
            return
        relay = None
        if quotas.should_report() and now - self._stored_at(pool, quotas) > RELAY_S:
            relay = self.rng.choice(instances)
        message = QuotaPush(pool, self._encode(quotas, now, relay))
        for instance in instances:
            self.send(instance, message)

    def _encode(
        self, quotas: Quotas, now: float, relay: InstanceId | None = None
    ) -> bytes:
        return encode_record(
            quotas.ledger,
            quotas.export(now),
            quotas.place(now),
            self.store.generation if quotas.knows_use(now) else UNKNOWN_GENERATION,
            _now_ms(),
            quotas.ledger.owner,
            relay,
        )

    # In the store

    async def _run_exchange(self) -> None:
        failures = 0
        while True:
            try:
                await self._exchange()
                failures = 0
                is_hosting = self.pool_host.hosting.is_open()
                with trio.move_on_after(CHECK_S if is_hosting else math.inf):
                    await self.hosted.wait()
                    self.hosted = trio.Event()
                    if self.to_relay:
                        # Further records come while the store rejects their writer.
                        await trio.sleep(CHECK_S)
            except StoreError as error:
                failures += 1
                if failures == 1:
                    log.warning("Balances not exchanged.", extra={"error": str(error)})
                wait_s = backoff_s(failures, RETRY_BASE_S, RETRY_MAX_S, self.rng)
                await trio.sleep(wait_s)

    async def _exchange(self) -> None:
        hosted = [
            (p, h.scheduler.quotas) for p, h in list(self.pool_host.hosted.items())
        ]
        failure = None
        relayed, self.to_relay = self.to_relay, set()
        for pool in relayed:
            try:
                await self._relay(pool)
            except StoreError as error:
                failure = error
        for pool, quotas in hosted:
            try:
                if self._is_to_write(pool, quotas):
                    await self._write(pool, quotas)
                if pool in self.unread:
                    balances = await self._read(pool, quotas)
                    if not quotas.balances_loaded:
                        quotas.restore(balances)
                    self.unread.discard(pool)
                    self.reported[pool] = trio.current_time()
                    self.written.setdefault(pool, self.store.generation)
                elif not quotas.should_report():
                    self.reported[pool] = trio.current_time()
            except StoreError as error:
                # Continue: coordinators may have sent the balances of other pools.
                failure = error
        if failure is not None:
            raise failure

    def _is_to_write(self, pool: PoolId, quotas: Quotas) -> bool:
        is_lost = self.written.get(pool, self.store.generation) != self.store.generation
        return (
            quotas.balances_loaded
            and (quotas.should_report() or is_lost)
            and self.membership.is_coordinator(pool)
        )

    async def _write(self, pool: PoolId, quotas: Quotas) -> None:
        """Write the record of a pool over the one that this instance knows.

        Raises
        ------
        StoreError
            If the store does not take it.
        """
        generation, unreported = self.store.generation, dict(quotas.unreported)
        await self._replace(pool, lambda now: self._encode(quotas, now))
        self.written[pool] = generation
        self.reported[pool] = trio.current_time()
        quotas.record_reported(unreported)

    async def _relay(self, pool: PoolId) -> None:
        """Write the record of a coordinator whose own writes the store does not take.

        Raises
        ------
        StoreError
            If the store does not take this one either.
        """
        _, record = self.received[pool]
        ledger = self.ledger(pool)

        def encode(now: float) -> bytes:
            place = now * SLOTS / self.window_s
            balances = {
                team: Balance(balance.tokens, ledger.totals(team, int(place)))
                for team, balance in record.balances.items()
            }
            return encode_record(
                ledger,
                balances,
                place,
                self.store.generation,
                _now_ms(),
                record.writer,
            )

        await self._replace(pool, encode)
        log.info("Balances relayed.", extra={"pool": pool, "writer": record.writer})

    async def _replace(self, pool: PoolId, encode: Callable[[float], bytes]) -> None:
        """Write a pool's record; merge newer ones that the store has before that."""
        for _ in range(MAX_CONFLICTS):
            found = await self.store.replace(
                BALANCES_PREFIX + pool,
                encode(trio.current_time()),
                self.revisions.get(pool, 0),
            )
            if isinstance(found, Written):
                self.revisions[pool] = found.revision
                return
            self._observe_stored(pool, found)
        raise StoreError(StoreFault.REFUSED, "the record changes all the time")

    def _observe_stored(self, pool: PoolId, item: Item | None) -> Record | None:
        """Merge the record that the store holds; return it, None if it is unreadable.

        Its age is not known exactly.
        """
        self.revisions[pool] = item.revision if item else 0
        if item is None:
            return None
        try:
            record = decode_record(item.value)
        except UnreadableError as error:
            log.error("Balances unreadable.", extra={"error": shown(error)})
            return None
        if not record.written_ms or _now_ms() - record.written_ms < MAX_AGE_S * 1000:
            self._merge(pool, record, trio.current_time())
        return record

    async def _read(
        self, pool: PoolId, quotas: Quotas
    ) -> Mapping[TeamId, Balance] | None:
        """Return the balances of the previous coordinator, None if unknown.

        What it admitted is merged into the ledger. If this instance knows a coordinator
        that has sent it nothing of late, the store may not have its record either.

        Raises
        ------
        StoreError
            If nothing is known yet.
        """
        opened = quotas.opened
        received = self._received(pool, opened)
        latest = received
        source = "store" if received is None else "home"
        try:
            item = await self.store.read(BALANCES_PREFIX + pool)
        except StoreError:
            if received is None:
                raise
            balances: Mapping[TeamId, Balance] | None = received.balances
        else:
            if item is None and not (received or self.is_store_complete()):
                detail = "balances may be missing after a restore"
                raise StoreError(StoreFault.REFUSED, detail)
            stored = self._observe_stored(pool, item)
            latest = received or stored
            if received is not None:
                rows = stored.balances if stored else {}
                balances = {**rows, **received.balances}
            elif self.predecessor(pool, opened - FRESH_S) is not None:
                source, balances = "none", None
            elif item is None:
                balances = {}
            elif stored is None or stored.generation != self.store.generation:
                balances = None
            else:
                balances = stored.balances
        if latest is not None:
            self._assume(pool, latest, quotas)
        extra = {
            "pool": pool,
            "teams": None if balances is None else len(balances),
            "source": source,
            "used": self._most_used(pool, balances or {}),
        }
        log.info("Balances read.", extra=extra)
        return balances

    def _received(self, pool: PoolId, opened: float) -> Record | None:
        """Return the record that the previous coordinator sent, if it is recent."""
        return self._recent(self.received, pool, opened)

    def _recent(
        self,
        records: Mapping[PoolId, tuple[float, Record]],
        pool: PoolId,
        opened: float,
    ) -> Record | None:
        arrived, record = records.get(pool, (-math.inf, None))
        return record if opened - arrived <= FRESH_S else None

    def _most_used(
        self, pool: PoolId, balances: Mapping[TeamId, Balance]
    ) -> dict[TeamId, int]:
        """Return the tokens in the window of the teams that used most."""
        ledger, place = self.ledger(pool), trio.current_time() * SLOTS / self.window_s
        used = {
            team: round(
                max(
                    sum(balance.used),
                    ledger.used_by_others(team, place) + ledger.own_used(team, place),
                )
            )
            for team, balance in balances.items()
        }
        most = sorted(used, key=lambda team: -used[team])[:LOGGED_TEAMS]
        return {team: used[team] for team in most}


def _now_ms() -> int:
    return time.time_ns() // 1_000_000

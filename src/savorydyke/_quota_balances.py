"""Hands the balances of quotas from one coordinator of a pool to the next.

When a team has used a certain amount since the last time, the coordinator sends the
balances to the instance that would follow it and writes them to the platform's
store. A new coordinator reads them from the store or, while the store does not
answer, uses those that it was sent.

A store that was restored from a backup holds older balances. The coordinator then
writes the balances again; until it has, those in the store are not used.
"""

import json
import math
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import trio

from savorydyke import _logs
from savorydyke._backoff import backoff_s
from savorydyke._ids import InstanceId, PoolId, TeamId
from savorydyke._membership import Membership
from savorydyke._messages import QuotaPush
from savorydyke._pool_host import PoolHost
from savorydyke._quota import SLOTS, Balance, Quotas
from savorydyke._untrusted import parse_json, shown
from savorydyke.platform import Store, StoreError, StoreFault

BALANCES_PREFIX = "savorydyke/quotas/"
CHECK_S = 0.2
"""Short compared with the time in which a team uses the tokens that may be
unreported."""
NO_BALANCES = b"{}"
RECEIVED_VALID_S = 30.0
"""Older balances are ignored; the pool has had another coordinator since."""
LOGGED_TEAMS = 4
RETRY_BASE_S = 0.2
RETRY_MAX_S = 1.0

log = _logs.component_logger("quotas")


@dataclass
class QuotaBalances:
    """Reads and writes the balances of the pools hosted here.

    Attributes
    ----------
    send : callable
        Sends a message to an instance.
    received : dict of PoolId to tuple of float and bytes
        Balances sent by coordinators, with the time of their arrival.
    hosted : trio.Event
        Set when a pool is hosted here for the first time.
    is_store_complete : callable
        Whether the store has all that it acknowledged before it was restored.
    written : dict of PoolId to int
        Generation of the store in which the balances of a pool were last written.
    """

    store: Store
    pool_host: PoolHost
    membership: Membership
    send: Callable[[InstanceId, QuotaPush], None]
    rng: random.Random
    is_store_complete: Callable[[], bool]
    hosted: trio.Event = field(default_factory=trio.Event)
    received: dict[PoolId, tuple[float, bytes]] = field(default_factory=dict)
    written: dict[PoolId, int] = field(default_factory=dict)

    def receive(self, message: QuotaPush, now: float) -> None:
        """Store the balances that the coordinator of a pool has sent."""
        self.received[message.pool] = (now, message.record)

    async def run(self) -> None:
        """Read, write and send balances until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_changes)
            await self._run_exchange()

    async def _send_changes(self) -> None:
        """Send balances to other instances, also while the store does not answer."""
        coordinated: set[PoolId] = set()
        while True:
            await self.pool_host.hosting.opened.wait()
            hosted = {p: h.scheduler.quotas for p, h in self.pool_host.hosted.items()}
            for pool, quotas in hosted.items():
                if not self.membership.is_coordinator(pool):
                    if pool in coordinated:
                        self._push(pool, quotas, self.membership.coordinator(pool))
                elif quotas.balances_loaded and quotas.should_report():
                    self._push(pool, quotas, self.membership.next_coordinator(pool))
            coordinated = {p for p in hosted if self.membership.is_coordinator(p)}
            await trio.sleep(CHECK_S)

    def _push(self, pool: PoolId, quotas: Quotas, instance: InstanceId | None) -> None:
        if instance is not None:
            balances = quotas.export(trio.current_time())
            record = encode_balances(balances, self.store.generation)
            self.send(instance, QuotaPush(pool, record))

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
        try:
            await self._write(hosted)
        except StoreError as error:
            failure = error
        for pool, quotas in hosted:
            try:
                if not quotas.balances_loaded:
                    quotas.restore(await self._read(pool))
                    self.written.setdefault(pool, self.store.generation)
            except StoreError as error:
                # Continue: coordinators may have sent the balances of other pools.
                failure = error
        if failure is not None:
            raise failure

    async def _write(self, hosted: list[tuple[PoolId, Quotas]]) -> None:
        changed: dict[str, bytes] = {}
        generation = self.store.generation
        reporting = [
            (pool, quotas)
            for pool, quotas in hosted
            if quotas.balances_loaded
            and (quotas.should_report() or self._is_lost(pool, generation))
            and self.membership.is_coordinator(pool)
        ]
        for pool, quotas in reporting:
            balances = quotas.export(trio.current_time())
            record = encode_balances(balances, generation)
            changed[BALANCES_PREFIX + pool] = record
            self._push(pool, quotas, self.membership.next_coordinator(pool))
        if changed:
            await self.store.write(changed)
        for pool, quotas in reporting:
            quotas.unreported.clear()
            self.written[pool] = generation

    def _is_lost(self, pool: PoolId, generation: int) -> bool:
        """Return whether the store was restored since balances were written here."""
        return self.written.get(pool, generation) != generation

    async def _read(self, pool: PoolId) -> dict[TeamId, Balance] | None:
        """Return the balances of the previous coordinator, None if unknown.

        Raises
        ------
        StoreError
            If nothing is known yet.
        """
        source = "store"
        try:
            item = await self.store.read(BALANCES_PREFIX + pool)
        except StoreError:
            source, record = "home", self._received(pool)
            if record is None:
                raise
        else:
            record = item.value if item else NO_BALANCES
            if item is None and not self.is_store_complete():
                detail = "balances may be missing after a restore"
                raise StoreError(StoreFault.REFUSED, detail)
            if item and decode_generation(record) != self.store.generation:
                source, record = "home", self._received(pool)
        balances = None if record is None else decode_balances(record)
        extra = {
            "pool": pool,
            "teams": None if balances is None else len(balances),
            "source": source,
            "used": _most_used(balances or {}),
        }
        log.info("Balances read.", extra=extra)
        return balances

    def _received(self, pool: PoolId) -> bytes | None:
        """Return the balances that the previous coordinator sent, if recent."""
        arrived, record = self.received.get(pool, (-math.inf, b""))
        is_recent = trio.current_time() - arrived <= RECEIVED_VALID_S
        return record if is_recent else None


def _most_used(balances: Mapping[TeamId, Balance]) -> dict[TeamId, int]:
    """Return the tokens in the window of the teams that used most."""
    used = {team: round(sum(balance.used)) for team, balance in balances.items()}
    most = sorted(used, key=lambda team: -used[team])[:LOGGED_TEAMS]
    return {team: used[team] for team in most}


def encode_balances(balances: dict[TeamId, Balance], generation: int) -> bytes:
    """Return the stored form of balances.

    Parameters
    ----------
    generation : int
        Generation of the store in which they are written.
    """
    rows = {
        team: [round(balance.tokens), *map(round, balance.used)]
        for team, balance in balances.items()
    }
    return json.dumps({"generation": generation, "teams": rows}).encode()


def decode_generation(data: bytes) -> int:
    """Return the generation of the store in which balances were written."""
    try:
        return int(parse_json(data)["generation"])
    except (ValueError, TypeError, LookupError):
        # Earlier versions of this program stored none.
        return 0


def decode_balances(data: bytes) -> dict[TeamId, Balance] | None:
    """Return stored balances, or None if they are unreadable."""
    try:
        value = parse_json(data)
        # Earlier versions of this program stored the rows only.
        rows = value["teams"] if isinstance(value.get("teams"), dict) else value
        return {
            TeamId(team): Balance(float(row[0]), tuple(map(float, row[1 : SLOTS + 1])))
            for team, row in rows.items()
        }
    except (ValueError, TypeError, AttributeError, LookupError) as error:
        log.error("Balances unreadable.", extra={"error": shown(error)})
        return None

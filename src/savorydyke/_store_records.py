"""The records that this system keeps in the store: of this instance and of the fleet.

After a restore of the store from a backup they are written again.
"""

import random
from dataclasses import dataclass, field

import trio

from savorydyke import _logs
from savorydyke._backoff import backoff_s
from savorydyke._directory import Directory
from savorydyke._membership import Membership
from savorydyke._peers import Peers
from savorydyke._store_restores import GENERATION_KEY, write_generation
from savorydyke.platform import (
    FLEET_KEY,
    InstanceRecord,
    Item,
    LeaseExpired,
    Store,
    StoreError,
    instance_key,
    write_instance,
)

LEASE_S = 10.0
LEASE_RENEWAL_S = 3.0
"""A third of the lease, so that two renewals may fail."""
RETRY_BASE_S = 0.2
RETRY_MAX_S = 1.0
REWRITE_CHECK_S = 0.5
REWRITE_SPREAD_S = 1.0
"""Time over which the instances write their records again after a restore."""
FLEET_KEY_BYTES = 24

log = _logs.component_logger("gateway")


@dataclass
class StoreRecords:
    """Writes the records.

    Attributes
    ----------
    record : InstanceRecord
        The record of this instance.
    incomplete : trio.Event
        Set when the store may lack a record of the fleet, and replaced then.
    """

    store: Store
    record: InstanceRecord
    directory: Directory
    membership: Membership
    peers: Peers
    rng: random.Random
    incomplete: trio.Event = field(default_factory=trio.Event)

    async def keep_instance_record(self) -> None:
        """Write this instance's record and renew its lease until cancelled.

        After a restore of the store the lease may belong to another instance, so the
        record is written again with a new one.
        """
        failures = 0
        lease = generation = 0
        while True:
            restored = self.store.restored
            try:
                if generation != self.store.generation:
                    lease = 0
                if lease == 0 or not await self.store.renew_lease(lease):
                    lease = await self._write_instance_record()
                    generation = self.store.generation
                failures = 0
                with trio.move_on_after(LEASE_RENEWAL_S):
                    await restored.wait()
                    await trio.sleep(REWRITE_SPREAD_S * self.rng.random())
            except StoreError as error:
                failures += 1
                log.debug("Instance record not renewed.", extra={"error": str(error)})
                await trio.sleep(
                    backoff_s(failures, RETRY_BASE_S, RETRY_MAX_S, self.rng)
                )

    async def _write_instance_record(self) -> int:
        """Write this instance's record; return its lease, or 0 if it has expired."""
        lease = await self.store.open_lease(LEASE_S)
        values = {instance_key(self.record.id): write_instance(self.record)}
        result = await self.store.write(values, lease)
        return 0 if isinstance(result, LeaseExpired) else lease

    async def rewrite_fleet_records(self) -> None:
        """After restores of the store, write the records that no instance owns.

        Runs until cancelled.
        """
        while True:
            await self.incomplete.wait()
            self.incomplete = trio.Event()
            try:
                await self._rewrite_fleet_records()
            except StoreError as error:
                extra = {"error": str(error)}
                log.warning("Fleet records not written.", extra=extra)
            await trio.sleep(REWRITE_CHECK_S)

    def check_fleet_records(self) -> None:
        """Let `rewrite_fleet_records` write what the store lacks, if anything."""
        directory = self.directory
        if directory.restores.generation != self.store.generation:
            # What the store lacks is known after the next listing.
            return
        self.peers.shared_key = directory.fleet_key or self.peers.shared_key
        if not directory.fleet_key or directory.should_note_generation():
            self.incomplete.set()

    async def _rewrite_fleet_records(self) -> None:
        directory = self.directory
        if not self.membership.is_chosen("fleet records", 1):
            return
        if not directory.fleet_key:
            await self.store.create(FLEET_KEY, self.peers.shared_key)
        if directory.should_note_generation():
            generation = directory.restores.generation
            await self.store.overwrite(GENERATION_KEY, write_generation(generation))
            log.info("Store complete.", extra={"generation": generation})


async def read_or_create_fleet_key(store: Store, rng: random.Random) -> str:
    """Return the secret with which the fleet's instances authenticate to each other.

    The first instance of the fleet creates it in the store, where it persists.
    """
    candidate = random.SystemRandom().randbytes(FLEET_KEY_BYTES).hex()
    failures = 0
    while True:
        try:
            found = await store.create(FLEET_KEY, candidate.encode())
            if isinstance(found, Item):
                return found.value.decode("ascii")
            return candidate
        except (StoreError, UnicodeDecodeError) as error:
            failures += 1
            log.warning("Fleet key not read.", extra={"error": str(error)})
            await trio.sleep(backoff_s(failures, RETRY_BASE_S, RETRY_MAX_S, rng))

"""Hands the levels of quotas from one home of a pool to the next.

The home writes them to the platform's store when a team has used much since the
last time, and a new home reads them before it lets waves of requests through.
"""

import json
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from savorydyke import _logs
from savorydyke._backoff import backoff_s
from savorydyke._homes import Homes
from savorydyke._ids import PoolId, TeamId
from savorydyke._quota import Level
from savorydyke.platform import Store, StoreError

LEVELS = "savorydyke/quotas/"
CHECK_S = 0.2
"""Short against the time in which a team uses what may be unreported."""
RETRY_BASE_S = 0.2
RETRY_MOST_S = 1.0

log = _logs.part("quotas")


@dataclass
class QuotaLevels:
    """The levels of the pools hosted here.

    Attributes
    ----------
    is_home : callable
        Returns whether this instance is the home of a pool.
    hosted : trio.Event
        Set when a pool is hosted here for the first time.
    """

    store: Store
    homes: Homes
    is_home: Callable[[PoolId], bool]
    rng: random.Random
    hosted: trio.Event = field(default_factory=trio.Event)

    async def run(self) -> None:
        """Read and write levels until cancelled."""
        failures = 0
        while True:
            try:
                await self._exchange()
                failures = 0
                with trio.move_on_after(CHECK_S):
                    await self.hosted.wait()
                    self.hosted = trio.Event()
            except StoreError as error:
                failures += 1
                if failures == 1:
                    log.warning("Levels not exchanged.", extra={"error": str(error)})
                wait_s = backoff_s(failures, RETRY_BASE_S, RETRY_MOST_S, self.rng)
                await trio.sleep(wait_s)

    async def _exchange(self) -> None:
        changed: dict[str, bytes] = {}
        stored = []
        for pool, hosted in list(self.homes.hosted.items()):
            if not self.is_home(pool):
                continue
            quotas = hosted.cell.quotas
            if not quotas.known:
                quotas.restore(await self._read(pool))
                continue
            if quotas.should_report():
                levels = quotas.export(trio.current_time())
                changed[LEVELS + pool] = write_levels(levels)
                stored.append(quotas)
        if changed:
            await self.store.write(changed)
            for quotas in stored:
                quotas.unreported.clear()

    async def _read(self, pool: PoolId) -> dict[TeamId, Level] | None:
        item = await self.store.read(LEVELS + pool)
        levels = read_levels(item.value) if item else {}
        teams = None if levels is None else len(levels)
        log.info("Levels read.", extra={"pool": pool, "teams": teams})
        return levels


def write_levels(levels: dict[TeamId, Level]) -> bytes:
    """Return the stored form of levels."""
    rows = {
        team: [round(level.tokens), *map(round, level.used)]
        for team, level in levels.items()
    }
    return json.dumps(rows).encode()


def read_levels(data: bytes) -> dict[TeamId, Level] | None:
    """Return stored levels, or None if they can not be read."""
    try:
        return {
            TeamId(team): Level(float(row[0]), tuple(float(used) for used in row[1:]))
            for team, row in json.loads(data).items()
        }
    except (ValueError, TypeError, AttributeError, LookupError) as error:
        log.error("Levels unreadable.", extra={"error": repr(error)})
        return None

"""Restores of the store from a backup, which lacks the latest changes.

Each answer of the store states a generation, which rises with each restore. The
operator and the endpoints then write their records again; until that is done the
store confirms nothing. An instance notes in the store the generation that is
complete again. An instance that starts later finds the note, and only waits if it is
missing or from an earlier generation.
"""

import math
from dataclasses import dataclass

GENERATION_KEY = "savorydyke/generation"
MAX_DIGITS = 18
"""Digits of the largest generation that is read."""
REWRITE_SHARE = 0.5
"""Time for the operator and the endpoints to write their records again, as a share of
the bound on revoked keys. The rest of the bound covers the outage before a restore,
so that keys are not refused because of the restore alone."""


@dataclass
class StoreRestores:
    """Whether the store may lack changes that it acknowledged before a restore.

    Attributes
    ----------
    rewrite_s : float
        Time after which a restored store counts as complete.
    generation : int
        Generation of the latest listing; 0 if the store states none.
    noted : int
        Generation that is noted in the store as complete.
    incomplete_until : float
        Time until which changes may be missing, on the monotonic clock.
    """

    rewrite_s: float
    generation: int = 0
    noted: int = 0
    incomplete_until: float = -math.inf

    def observe_listing(self, generation: int, noted: int, now: float) -> None:
        """Record the generation of a listing and the one that it notes."""
        if generation != self.generation:
            self.generation = generation
            self.incomplete_until = now + self.rewrite_s
        self.observe_note(noted)

    def observe_note(self, noted: int) -> None:
        """Record the generation that is noted in the store as complete."""
        self.noted = noted
        if noted == self.generation:
            self.incomplete_until = -math.inf

    def record_configuration_written(self) -> None:
        """Record that the operator has written the configuration again."""
        self.incomplete_until = -math.inf

    def is_complete(self, now: float) -> bool:
        """Return whether the store has all changes that it acknowledged."""
        return now >= self.incomplete_until


def new_store_restores(revocation_s: float) -> StoreRestores:
    """Return the state before the first listing.

    Parameters
    ----------
    revocation_s : float
        Time after which a revoked key must no longer be accepted.
    """
    return StoreRestores(REWRITE_SHARE * revocation_s)


def write_generation(generation: int) -> bytes:
    """Return the stored form of a generation."""
    return str(generation).encode()


def read_generation(data: bytes) -> int:
    """Return a stored generation, 0 if there is none or it is unreadable."""
    return int(data) if data.isdigit() and len(data) <= MAX_DIGITS else 0

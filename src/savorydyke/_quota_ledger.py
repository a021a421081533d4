"""What the processes of a fleet have admitted of the teams' quotas in one pool.

Each process counts what it admits itself, by parts of the sliding window, and numbers
the states of its counts. Of two states of one process the one with the higher number is
the newer, whichever way it came: from the process, from another one or from the store.
A copy that arrives late, twice or out of order changes nothing, so that no use is
forgotten (a grow-only counter; Shapiro et al., "Conflict-free replicated data types",
2011).

Places in the window are numbers of its parts on the local monotonic clock, possibly
fractions.
"""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from savorydyke._ids import InstanceId, InstanceProcessId, TeamId

SLOTS = 16
"""Number of parts into which the window is divided for counting."""
LATELY_SLOTS = 2
"""Parts of which the latest is not complete."""
NO_PROCESS = InstanceProcessId("")
ASSUMED = 0.5
"""Added to the number of a state beyond which use is assumed."""
MAX_PROCESSES = 256
"""Processes whose numbers are known after their counts have left the window."""

Slots = dict[int, float]


def instance_process(instance: InstanceId, incarnation: int) -> InstanceProcessId:
    """Return the id of one process of an instance."""
    return InstanceProcessId(f"{instance}/{incarnation}")


@dataclass(frozen=True)
class Counts:
    """One state of what a process has admitted, as it is handed on.

    Attributes
    ----------
    number : float
        Rises with each state of a process. A whole number; a half tells that others
        assume use beyond the state before.
    parts : mapping of TeamId to sequence of float
        Tokens by part of the window, the latest first.
    """

    number: float
    parts: Mapping[TeamId, Sequence[float]]


@dataclass
class KnownCounts:
    """The newest state that is known of another process.

    Attributes
    ----------
    slots : dict of TeamId to dict
        Tokens by number of the window's part.
    lately : dict of TeamId to float
        The most in one of its latest parts, which were not complete.
    """

    number: float
    slots: dict[TeamId, Slots]
    lately: dict[TeamId, float]


@dataclass
class Ledger:
    """The counts of this process and of all others.

    Attributes
    ----------
    owner : InstanceProcessId
        This process.
    own : dict of TeamId to dict
        Tokens that were admitted here by number of the window's part. It outlives the
        terms of this process as a coordinator.
    number : int
        Number of the latest state of them.
    others : dict of InstanceProcessId to KnownCounts
        Newest state of each other process, the one heard of last at the end.
    """

    owner: InstanceProcessId = NO_PROCESS
    own: dict[TeamId, Slots] = field(default_factory=dict)
    number: int = 0
    others: dict[InstanceProcessId, KnownCounts] = field(default_factory=dict)

    def merge(
        self,
        process: InstanceProcessId,
        counts: Counts,
        place: float,
        phase: float = 0.0,
    ) -> bool:
        """Take over a state of another process; return whether it was news.

        Parameters
        ----------
        place : float
            The present place in the window.
        phase : float
            How much of its latest part had passed when the state was written, 0 to 1.
            No use is counted as older than it can be.
        """
        known = self.others.get(process)
        if process == self.owner or (known and known.number >= counts.number):
            return False
        latest = int(place)
        slots: dict[TeamId, Slots] = {}
        lately: dict[TeamId, float] = {}
        for team, parts in counts.parts.items():
            lately[team] = max(parts[:LATELY_SLOTS], default=0.0)
            team_slots = slots[team] = {}
            for age, tokens in enumerate(parts):
                # The part that holds the end of what was counted.
                end = math.ceil(place - phase - (age - 1)) - 1
                slot = latest if age == 0 else min(latest, end)
                if tokens:
                    team_slots[slot] = team_slots.get(slot, 0.0) + tokens
        self.others.pop(process, None)
        self.others[process] = KnownCounts(counts.number, slots, lately)
        if len(self.others) > MAX_PROCESSES:
            del self.others[next(iter(self.others))]
        return True

    def assume(
        self, process: InstanceProcessId, tokens: Mapping[TeamId, float], slot: int
    ) -> None:
        """Count what a process may have admitted since its latest known state.

        A later state of the process replaces it, whoever has it.
        """
        known = self.others.get(process)
        if process == self.owner or known is None or known.number % 1:
            return
        known.number += ASSUMED
        for team, assumed in tokens.items():
            slots = known.slots.setdefault(team, {})
            slots[slot] = slots.get(slot, 0.0) + assumed

    def admit(self, team: TeamId, tokens: float, slot: int) -> None:
        """Count tokens that were admitted here; negative ones did not run after all."""
        slots = self.own.setdefault(team, {})
        slots[slot] = slots.get(slot, 0.0) + tokens
        drop_before(slots, slot - SLOTS)

    def own_used(self, team: TeamId, place: float) -> float:
        """Return what was admitted here in the window that ends at a place."""
        return _used(self.own.get(team), place)

    def used_by_others(self, team: TeamId, place: float) -> float:
        """Return what other processes admitted in the window that ends at a place."""
        return sum(
            _used(counts.slots.get(team), place) for counts in self.others.values()
        )

    def lately(self, team: TeamId) -> float:
        """Return the most that a process had admitted in one of its latest parts."""
        found = (
            counts.lately.get(team, 0.0)
            for counts in self.others.values()
            if counts.slots.get(team)
        )
        return max(found, default=0.0)

    def slots_of_others(self, team: TeamId) -> Slots:
        """Return what other processes admitted by number of the window's part."""
        total: Slots = {}
        for counts in self.others.values():
            for slot, tokens in counts.slots.get(team, {}).items():
                total[slot] = total.get(slot, 0.0) + tokens
        return total

    def totals(self, team: TeamId, latest: int) -> tuple[float, ...]:
        """Return what all processes admitted by age in the window, the latest first."""
        slots, own = self.slots_of_others(team), self.own.get(team, {})
        parts = range(latest, latest - SLOTS, -1)
        return tuple(slots.get(part, 0.0) + own.get(part, 0.0) for part in parts)

    def export(self, place: float) -> dict[InstanceProcessId, Counts]:
        """Return the present state of all processes with use in the window."""
        latest = int(place)
        self.number += 1
        states = {self.owner: Counts(self.number, _parts(self.own, latest))}
        for process, known in self.others.items():
            parts = _parts(known.slots, latest)
            if parts:
                states[process] = Counts(known.number, parts)
        return states


def in_window(slots: Mapping[int, float], place: float) -> float:
    """Return the tokens in the window that ends at a place, in parts of the window.

    Use is taken to be even over the part in which the window begins.
    """
    latest = int(place)
    oldest = slots.get(latest - SLOTS, 0.0)
    return sum(slots.values()) - (place - latest) * oldest


def drop_before(slots: Slots, first: int) -> None:
    """Remove the parts of a window before the first one that counts."""
    for slot in [slot for slot in slots if slot < first]:
        del slots[slot]


def _used(slots: Slots | None, place: float) -> float:
    if not slots:
        return 0.0
    drop_before(slots, int(place) - SLOTS)
    return in_window(slots, place)


def _parts(
    counts: Mapping[TeamId, Mapping[int, float]], latest: int
) -> dict[TeamId, list[float]]:
    """Return counts by age, the latest first, of the teams that have any."""
    parts = {}
    for team, slots in counts.items():
        row = [max(0.0, slots.get(latest - age, 0.0)) for age in range(SLOTS + 1)]
        if any(row):
            parts[team] = row
    return parts

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
from collections.abc import Iterable, Mapping, Sequence
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
class Count:
    """One state of what a process has admitted of one team.

    Attributes
    ----------
    number : float
        Rises with each state. A whole number; a half tells that others assume use
        beyond the state before.
    parts : sequence of float
        Tokens by part of the window, the latest first.
    """

    number: float
    parts: Sequence[float]


Counts = Mapping[TeamId, Count]


@dataclass
class KnownCount:
    """The newest state that is known of another process, for one team.

    Attributes
    ----------
    slots : dict of int to float
        Tokens by number of the window's part.
    lately : float
        The most in one of its latest parts, which were not complete.
    """

    number: float
    slots: Slots
    lately: float


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
    others : dict of InstanceProcessId to dict
        Newest state of each other process by team, the process heard of last at the
        end.
    """

    owner: InstanceProcessId = NO_PROCESS
    own: dict[TeamId, Slots] = field(default_factory=dict)
    number: int = 0
    others: dict[InstanceProcessId, dict[TeamId, KnownCount]] = field(
        default_factory=dict
    )

    def merge(
        self,
        process: InstanceProcessId,
        counts: Counts,
        place: float,
        phase: float = 0.0,
    ) -> None:
        """Take over states of another process that are newer than those known.

        Parameters
        ----------
        place : float
            The present place in the window.
        phase : float
            How much of its latest part had passed when the states were written, 0 to 1.
            No use is counted as older than it can be.
        """
        if process == self.owner:
            return
        known = self.others.pop(process, {})
        self.others[process] = known
        if len(self.others) > MAX_PROCESSES:
            del self.others[next(iter(self.others))]
        latest = int(place)
        for team, count in counts.items():
            if team in known and known[team].number >= count.number:
                continue
            slots: Slots = {}
            for age, tokens in enumerate(count.parts):
                # The part that holds the end of what was counted.
                end = math.ceil(place - phase - (age - 1)) - 1
                slot = latest if age == 0 else min(latest, end)
                if tokens:
                    slots[slot] = slots.get(slot, 0.0) + tokens
            lately = max(count.parts[:LATELY_SLOTS], default=0.0)
            known[team] = KnownCount(count.number, slots, lately)

    def assume(
        self, process: InstanceProcessId, tokens: Mapping[TeamId, float], slot: int
    ) -> None:
        """Count what a process may have admitted since its latest known state.

        A later state of the process replaces it, whoever has it.
        """
        known = self.others.get(process, {})
        for team, assumed in tokens.items():
            count = known.get(team)
            if count is None:
                count = known[team] = KnownCount(0.0, {}, 0.0)
            if not count.number % 1:
                count.number += ASSUMED
                count.slots[slot] = count.slots.get(slot, 0.0) + assumed

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
            _used(known[team].slots, place)
            for known in self.others.values()
            if team in known
        )

    def lately(self, team: TeamId) -> float:
        """Return the most that a process had admitted in one of its latest parts."""
        found = (
            known[team].lately
            for known in self.others.values()
            if team in known and known[team].slots
        )
        return max(found, default=0.0)

    def slots_of_others(self, team: TeamId) -> Slots:
        """Return what other processes admitted by number of the window's part."""
        total: Slots = {}
        for known in self.others.values():
            slots = known[team].slots if team in known else {}
            for slot, tokens in slots.items():
                total[slot] = total.get(slot, 0.0) + tokens
        return total

    def totals(self, team: TeamId, latest: int) -> tuple[float, ...]:
        """Return what all processes admitted by age in the window, the latest first."""
        slots, own = self.slots_of_others(team), self.own.get(team, {})
        parts = range(latest, latest - SLOTS, -1)
        return tuple(slots.get(part, 0.0) + own.get(part, 0.0) for part in parts)

    def export(self, place: float) -> dict[InstanceProcessId, dict[TeamId, Count]]:
        """Return the present states of all processes with use in the window."""
        latest = int(place)
        states = {self.owner: self.export_own(place, self.own)}
        for process, known in self.others.items():
            rows = {
                team: Count(count.number, _parts(count.slots, latest))
                for team, count in known.items()
            }
            if rows := {team: row for team, row in rows.items() if any(row.parts)}:
                states[process] = rows
        return states

    def export_own(self, place: float, teams: Iterable[TeamId]) -> dict[TeamId, Count]:
        """Return new states of what was admitted here of some teams."""
        self.number += 1
        rows = {
            team: Count(self.number, _parts(self.own.get(team, {}), int(place)))
            for team in teams
        }
        return {team: row for team, row in rows.items() if any(row.parts)}


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


def _parts(slots: Mapping[int, float], latest: int) -> list[float]:
    """Return the tokens of the window by age, the latest first."""
    return [max(0.0, slots.get(latest - age, 0.0)) for age in range(SLOTS + 1)]

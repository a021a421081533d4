"""Index of a pool's endpoints, updated by events.

It answers the load of hundreds of requests a second in a pool of many endpoints: sums
over all endpoints for each message saturate the coordinator's processor. The index
keeps the counts, and the usable endpoints in the order of their predicted time, and
looks again only at endpoints that changed.
"""

from __future__ import annotations

import heapq
import math
from bisect import bisect_left, insort
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from savorydyke._ids import EndpointId, SoftwareVersion

if TYPE_CHECKING:
    from savorydyke._endpoint_load import EndpointLoad

MAX_CHANGES = 256
"""Changes for the better that are remembered."""
SIZE_RATE = 0.02
"""Rate at which the usual sizes of requests are learned, over some 50 requests."""

GroupKey = tuple[frozenset[EndpointId], SoftwareVersion]
Place = tuple[float, EndpointId]


@dataclass
class Entry:
    """What the index counted for one endpoint.

    Attributes
    ----------
    place : tuple of float and EndpointId
        Predicted time of a request of the usual size, and the name.
    """

    is_open: bool = False
    is_usable: bool = False
    slots: int = 0
    running: int = 0
    tokens: int = 0
    unstarted_tokens: int = 0
    place: Place = (math.inf, EndpointId(""))

    def is_free(self) -> bool:
        """Return whether the endpoint is usable and has a slot for a request."""
        return self.is_usable and self.running < self.slots

    def is_better_than(self, other: Entry) -> bool:
        """Return whether requests may go there now that could not before."""
        return self.is_usable and (
            not other.is_usable
            or self.running < other.running
            or self.slots > other.slots
            or self.tokens < other.tokens
            or self.unstarted_tokens < other.unstarted_tokens
            or self.place[0] < other.place[0]
        )


@dataclass
class Group:
    """The endpoints of one version, or of any, that some teams may use.

    Attributes
    ----------
    members : list of EndpointLoad
        All of them, in order of name.
    free, full : list of Place
        The usable ones with and without a free slot, the fastest one first.
    """

    key: GroupKey
    members: list[EndpointLoad]
    names: frozenset[EndpointId]
    free: list[Place] = field(default_factory=list)
    full: list[Place] = field(default_factory=list)

    def add(self, entry: Entry) -> None:
        """Add an endpoint in its place if it is usable."""
        if entry.is_usable:
            insort(self.free if entry.is_free() else self.full, entry.place)

    def discard(self, entry: Entry) -> None:
        """Remove an endpoint from its place."""
        if not entry.is_usable:
            return
        places = self.free if entry.is_free() else self.full
        del places[bisect_left(places, entry.place)]


class EndpointIndex:
    """Counts and orders of a pool's endpoints.

    Attributes
    ----------
    open, usable, free : int
        Endpoints that are open, that take work now, and that also have a free slot.
    slots, running, free_slots : int
        Slots of the usable endpoints, requests there, and slots that are free.
    changed : set of EndpointId
        Endpoints to look at again; each `EndpointLoad` adds itself.
    better : list of EndpointId
        Endpoints that changed for the better, the latest ones; `better_before` were
        dropped from it.
    """

    def __init__(self, endpoints: dict[EndpointId, EndpointLoad]) -> None:
        self.endpoints = endpoints
        self.entries: dict[EndpointId, Entry] = {}
        self.groups: dict[GroupKey, Group] = {}
        self.changed: set[EndpointId] = set()
        self.wakeups: list[tuple[float, EndpointId]] = []
        self.limited: set[EndpointId] = set()
        self.free_names: set[EndpointId] = set()
        self.better: list[EndpointId] = []
        self.better_before = 0
        self.share = 1.0
        self.usual_uncached = 0.0
        self.usual_output = 0.0
        self.clear()

    def clear(self) -> None:
        """Count all endpoints anew, after one was added or replaced."""
        self.entries.clear()
        self.groups.clear()
        self.wakeups.clear()
        self.limited.clear()
        self.free_names.clear()
        self.open = self.usable = self.free = 0
        self.slots = self.running = self.free_slots = 0
        for load in self.endpoints.values():
            load.changed = self.changed
        self.changed.update(self.endpoints)
        self.better.clear()
        self.better_before += MAX_CHANGES + 1

    def note_size(self, uncached: int, output: int) -> None:
        """Learn the usual size of requests, by which the endpoints are ordered."""
        if self.usual_uncached == 0:
            self.usual_uncached, self.usual_output = uncached, output
        self.usual_uncached += SIZE_RATE * (uncached - self.usual_uncached)
        self.usual_output += SIZE_RATE * (output - self.usual_output)

    def update(self, now: float, share: float) -> None:
        """Look again at the endpoints that changed since the last call."""
        if share != self.share:
            self.share = share
            self.changed.update(self.endpoints)
        while self.wakeups and self.wakeups[0][0] <= now:
            self.changed.add(heapq.heappop(self.wakeups)[1])
        # What a limit allows changes with time.
        names = self.changed | self.limited if self.limited else self.changed
        if not names:
            return
        for name in sorted(names) if len(names) > 1 else list(names):
            self._recount(name, now)
        self.changed.clear()

    def _recount(self, name: EndpointId, now: float) -> None:
        load = self.endpoints[name]
        before = self.entries.get(name) or Entry()
        entry = self._new_entry(load, now)
        self.entries[name] = entry
        self._count(before, -1)
        self._count(entry, 1)
        (self.free_names.add if entry.is_free() else self.free_names.discard)(name)
        for group in self.groups.values():
            if name in group.names:
                group.discard(before)
                group.add(entry)
        if entry.is_better_than(before):
            self.better.append(name)
            if len(self.better) > 2 * MAX_CHANGES:
                del self.better[:MAX_CHANGES]
                self.better_before += MAX_CHANGES

    def _new_entry(self, load: EndpointLoad, now: float) -> Entry:
        has_limit = load.allowance is not None or load.rejections is not None
        (self.limited.add if has_limit else self.limited.discard)(load.id)
        is_usable = load.usable(now)
        if not is_usable:
            ends = (load.open_until, load.passed_over_until, load.paused_end(None))
            due = min((end for end in ends if end > now), default=math.inf)
            if due < math.inf:
                heapq.heappush(self.wakeups, (due, load.id))
        time_s = load.total_s(int(self.usual_uncached), int(self.usual_output))
        return Entry(
            not load.is_closed() and not load.held,
            is_usable,
            load.credits(self.share),
            len(load.running),
            load.tokens,
            load.unstarted_tokens,
            (load.penalized(time_s), load.id),
        )

    def _count(self, entry: Entry, sign: int) -> None:
        self.open += sign * entry.is_open
        if not entry.is_usable:
            return
        self.usable += sign
        self.slots += sign * entry.slots
        self.running += sign * entry.running
        self.free_slots += sign * max(0, entry.slots - entry.running)
        self.free += sign * entry.is_free()

    def group(self, key: GroupKey) -> Group:
        """Return the endpoints of one version, or of any, that some teams may use."""
        group = self.groups.get(key)
        if group is None:
            allowed, version = key
            members = [
                self.endpoints[name]
                for name in sorted(allowed)
                if name in self.endpoints
                and version in {"", self.endpoints[name].spec.version}
            ]
            group = Group(key, members, frozenset(load.id for load in members))
            for load in members:
                group.add(self.entries.get(load.id) or Entry())
            self.groups[key] = group
        return group

    def better_since(self, mark: int) -> list[EndpointId] | None:
        """Return what changed for the better since a mark, None if too much did."""
        first = mark - self.better_before
        if first < 0:
            return None
        return self.better[first:]

    @property
    def mark(self) -> int:
        """Return a mark of this moment for `better_since`."""
        return self.better_before + len(self.better)

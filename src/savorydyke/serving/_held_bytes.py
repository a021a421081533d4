"""Bytes that an instance holds for callers and endpoints, and who gives way.

The load that this addresses: callers that read 1 KB/s, and endpoints that do not read
bodies, at an instance with 152 MB of memory. A process over its memory is killed with
all its requests, so that the slowest reader gives way before. Nothing here does I/O.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from savorydyke._ids import TeamId, TierId

BASE_MB = 64.0
"""Memory of an instance that holds nothing. 37 MB were measured in a small fleet."""
HELD_SHARE = 0.4
"""Share of the rest that may be held. Joining and copying take as much again."""
CALLER_SHARE = 0.5
"""Share of what may be held that one calling team may take."""
MIN_HELD_BYTES = 4_194_304
"""As much as one request of the largest size."""
CONNECTIONS = 64
"""Connections that may hold their largest part at the same time."""
MIN_CONNECTION_BYTES = 65_536
MAX_CONNECTION_BYTES = 262_144
SEND_BUFFER_BYTES = 32_768
"""Asked for as the send buffer of a caller's socket."""
BUFFER_FACTOR = 2
"""Linux keeps twice the size that is asked for, its own overhead included."""
NO_TEAM = TeamId("")
NO_TIER = TierId("")


class Kind(Enum):
    """What bytes are held for."""

    REQUEST = "request"
    ANSWER = "answer"
    WRITER = "writer"
    SOCKET = "socket"


@dataclass(frozen=True)
class HeldBounds:
    """Bounds on what may be held, in bytes.

    Attributes
    ----------
    total, caller : float
        Of the instance, and of one calling team.
    connection : int
        Data that waits for one caller above which no more is read for it.
    socket : int
        Send buffer of a caller's socket as it is asked for; 0 for the system's choice.
    """

    total: float = math.inf
    caller: float = math.inf
    connection: int = MAX_CONNECTION_BYTES
    socket: int = 0


def bounds_of(memory_mb: float) -> HeldBounds:
    """Return the bounds of an instance with this memory; 0 if it is not known."""
    if not memory_mb:
        return HeldBounds()
    total = max(MIN_HELD_BYTES, HELD_SHARE * (memory_mb - BASE_MB) * 1e6)
    connection = min(MAX_CONNECTION_BYTES, total / CONNECTIONS)
    return HeldBounds(
        total,
        max(MIN_HELD_BYTES, CALLER_SHARE * total),
        int(max(MIN_CONNECTION_BYTES, connection)),
        SEND_BUFFER_BYTES,
    )


@dataclass(eq=False)
class Holder:
    """One connection for which bytes are held.

    Attributes
    ----------
    unread_since : callable
        Returns since when its caller has not read the oldest waiting data, None if
        nothing waits.
    give_way : callable
        Ends its request.
    sizes : dict of Kind to int
        Bytes held.
    since : float
        Since when anything has been held, on the monotonic clock.
    gave_way : bool
        Whether it has been told to; its bytes do not count any more.
    """

    unread_since: Callable[[], float | None]
    give_way: Callable[[], None]
    caller: TeamId = NO_TEAM
    tier: TierId = NO_TIER
    sizes: dict[Kind, int] = field(default_factory=dict)
    since: float = 0.0
    gave_way: bool = False

    def slowness(self) -> tuple[bool, float]:
        """Return a key that sorts the slowest reader first.

        Callers that do not read come before requests that wait for endpoints.
        """
        unread = self.unread_since()
        return unread is None, self.since if unread is None else unread


@dataclass
class HeldBytes:
    """Counts what is held, and lets the slowest readers give way at a bound.

    Attributes
    ----------
    sizes : dict of Kind to int
        Bytes held in total.
    callers : dict of TeamId to int
        Bytes held for each calling team.
    on_give_way : callable
        Called with a holder, before its request is ended.
    """

    bounds: HeldBounds = field(default_factory=HeldBounds)
    sizes: dict[Kind, int] = field(default_factory=lambda: dict.fromkeys(Kind, 0))
    callers: dict[TeamId, int] = field(default_factory=dict)
    total: int = 0
    holders: set[Holder] = field(default_factory=set)
    on_give_way: Callable[[Holder], None] = field(default=lambda holder: None)

    def socket_bytes(self) -> int:
        """Return what a full send buffer of a caller's socket keeps."""
        return BUFFER_FACTOR * (self.bounds.socket or SEND_BUFFER_BYTES)

    def set_size(self, holder: Holder, kind: Kind, size: int, now: float) -> None:
        """Record how much is held of one kind; the slowest reader may give way."""
        change = size - holder.sizes.get(kind, 0)
        if not change or holder.gave_way:
            return
        if not holder.sizes:
            holder.since = now
        self._add(holder, kind, change)
        if change > 0:
            self._keep_bounds(holder.caller)

    def set_caller(self, holder: Holder, caller: TeamId, tier: TierId) -> None:
        """Record whose connection it is at present."""
        held = sum(holder.sizes.values())
        holder.tier = tier
        if held and caller != holder.caller:
            self._add_to_caller(holder.caller, -held)
            self._add_to_caller(caller, held)
        holder.caller = caller
        self._keep_bounds(caller)

    def reset(self, holder: Holder) -> None:
        """Record that the request of a connection has ended."""
        self.forget(holder)
        holder.gave_way = False
        holder.caller, holder.tier = NO_TEAM, NO_TIER

    def forget(self, holder: Holder) -> None:
        """Record that nothing is held any more."""
        for kind, size in list(holder.sizes.items()):
            self._add(holder, kind, -size)

    def _add(self, holder: Holder, kind: Kind, change: int) -> None:
        size = holder.sizes.get(kind, 0) + change
        if size:
            holder.sizes[kind] = size
            self.holders.add(holder)
        else:
            holder.sizes.pop(kind, None)
        if not holder.sizes:
            self.holders.discard(holder)
        self.sizes[kind] += change
        self.total += change
        self._add_to_caller(holder.caller, change)

    def _add_to_caller(self, caller: TeamId, change: int) -> None:
        held = self.callers.get(caller, 0) + change
        if held:
            self.callers[caller] = held
        else:
            self.callers.pop(caller, None)

    def _keep_bounds(self, caller: TeamId) -> None:
        """Let readers give way until the bounds hold."""
        while self.total > self.bounds.total:
            self._let_give_way(self.holders)
        # Until its request is read a connection belongs to no known team.
        while caller and self.callers.get(caller, 0) > self.bounds.caller:
            self._let_give_way({one for one in self.holders if one.caller == caller})

    def _let_give_way(self, holders: set[Holder]) -> None:
        slowest = min(holders, key=Holder.slowness)
        self.on_give_way(slowest)
        self.forget(slowest)
        slowest.gave_way = True
        slowest.give_way()

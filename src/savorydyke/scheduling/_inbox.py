"""Messages of frontends that wait for the processor of their coordinator.

It answers a coordinator that gets more messages than it can process, in a burst of
twice its load for some seconds: without an order each decision comes later than the
one before, until all are too late. What frees slots goes first, and requests that have
waited here for too great a part of their objective are refused without being looked at.

Times are seconds on the local monotonic clock and are passed in.
"""

import heapq
import math
from collections import deque
from dataclasses import dataclass, field

from savorydyke._ids import InstanceId, RequestKey
from savorydyke._messages import Acquire, Register, Release, Started, Withdraw

STALE_SHARE = 0.1
"""Part of a request's objective after which it is refused if the coordinator lags. A
refusal has to reach its caller within a quarter of the objective."""
LAG_S = 0.02
"""Time in the inbox from which the coordinator lags."""

Place = tuple[InstanceId, RequestKey]
PoolMessage = Acquire | Register | Release | Started | Withdraw


@dataclass(frozen=True)
class Received:
    """A message, its sender and when it was received."""

    at: float
    sender: InstanceId
    message: PoolMessage


@dataclass
class Inbox:
    """Messages that were received and not processed yet.

    Attributes
    ----------
    reports : deque of Received
        All messages but requests for grants, in order.
    acquires : dict
        Requests for grants, by sender and key. Two frontends may ask for one key.
    due : list of tuple
        Heap of their ranks and the times at which they become stale, with a number and
        their place.
    stale : list of tuple
        Heap of these times, with a number and a place.
    """

    reports: deque[Received] = field(default_factory=deque)
    acquires: dict[Place, Received] = field(default_factory=dict)
    due: list[tuple[int, float, int, Place]] = field(default_factory=list)
    stale: list[tuple[float, int, Place]] = field(default_factory=list)
    number: int = 0

    def __len__(self) -> int:
        return len(self.reports) + len(self.acquires)

    def put(
        self, sender: InstanceId, message: PoolMessage, now: float, rank: int = 0
    ) -> None:
        """Add a message; a withdrawal also removes its request from here.

        Parameters
        ----------
        rank : int
            Rank of a request by tier and urgency, 0 for the highest.
        """
        received = Received(now, sender, message)
        if isinstance(message, Acquire):
            self.number += 1
            place = (sender, message.key)
            self.acquires[place] = received
            stale_at = now + stale_after_s(message)
            heapq.heappush(self.due, (rank, stale_at, self.number, place))
            stale_at = max(stale_at, now + LAG_S)
            heapq.heappush(self.stale, (stale_at, self.number, place))
            return
        if isinstance(message, Withdraw):
            self.acquires.pop((sender, message.key), None)
        self.reports.append(received)

    def take(self, now: float = -math.inf) -> Received | None:
        """Return the message to process next, None if there is none.

        Requests that have become stale come first: they are refused unseen, and their
        frontends need not wait until nothing else is left. The others come by rank, so
        that the least urgent ones are refused in an overload, and then in the order in
        which they become stale.
        """
        while self.stale and self.stale[0][0] < now:
            _, _, place = heapq.heappop(self.stale)
            received = self.acquires.pop(place, None)
            if received is not None:
                return received
        if self.reports:
            return self.reports.popleft()
        while self.due:
            *_, place = heapq.heappop(self.due)
            received = self.acquires.pop(place, None)
            if received is not None:
                return received
        return None


def stale_after_s(message: Acquire) -> float:
    """Return the time after which a request has waited too long."""
    left_ms = message.objective_ms
    if left_ms < 0:
        left_ms = message.deadline_ms
    waited_s = message.waited_ms / 1000
    return STALE_SHARE * (left_ms / 1000 + waited_s) - waited_s


def is_stale(message: Acquire, inbox_s: float) -> bool:
    """Return whether a request has waited too long at a coordinator that lags."""
    if inbox_s < LAG_S or message.resume_only:
        return False
    return inbox_s > stale_after_s(message)

"""Limits on the requests a second that endpoints take from the whole fleet.

An endpoint in need names its limit in its answers, for as long as it holds. What one
instance is told, all have to keep. The coordinator of a pool grants no more requests
than the limit. An instance that may not speak for the whole pool uses its part of it.

Times are seconds on the local monotonic clock and are passed in.
"""

import hashlib
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from savorydyke._ids import EndpointId
from savorydyke._messages import LimitRow
from savorydyke._untrusted import raises_only

MIN_PER_S = 0.1
"""Least rate. Only an answer shows that an endpoint takes more again."""
BURST_S = 0.2
"""Time whose requests an endpoint may get at once, at least one."""
KEPT_S = 600.0
"""Time after which a limit that was not named again ends."""
SPREAD_S = 10.0
"""Time for which other instances are told that a limit has ended."""
MAX_LIMIT_PER_S = 1_000_000.0
MAX_ROWS = 64
NO_LIMIT_ROW = -1


class BadLimitError(ValueError):
    """Raised when a named limit is not a number of requests a second."""


@raises_only(BadLimitError)
def parse_limit(text: str) -> float:
    """Return the requests a second that an endpoint takes.

    Raises
    ------
    BadLimitError
        If the value is not a decimal number, or is negative.
    """
    per_s = float(text)
    if math.isnan(per_s) or per_s < 0:
        raise BadLimitError(f"not a number of requests a second: {text!r}")
    return min(per_s, MAX_LIMIT_PER_S)


@dataclass(frozen=True)
class NamedLimit:
    """What an endpoint said last.

    Attributes
    ----------
    per_s : float or None
        Requests a second, None if the limit has ended.
    at : float
        When it said so.
    """

    per_s: float | None
    at: float


@dataclass
class RequestLimits:
    """The limits that this instance knows of.

    Attributes
    ----------
    forgotten : dict of EndpointId to float
        When an endpoint's process was replaced. What was said before concerns the
        process before.
    changes : int
        Increased when something is learned that other instances may not know.
    listeners : list of callable
        Called with an endpoint and its limit, None for none, when that changes.
    """

    named: dict[EndpointId, NamedLimit] = field(default_factory=dict)
    forgotten: dict[EndpointId, float] = field(default_factory=dict)
    changes: int = 0
    listeners: list[Callable[[EndpointId, float | None], None]] = field(
        default_factory=list
    )

    def record_answer(
        self, endpoint: EndpointId, per_s: float | None, sent: float, now: float
    ) -> None:
        """Record the limit in an answer, None if it names none.

        Parameters
        ----------
        sent : float
            When the request was sent. Only an answer to a request that was sent after
            the limit was named ends it.
        """
        known = self.named.get(endpoint)
        if per_s is not None:
            self._set(endpoint, NamedLimit(per_s, now))
        elif known is not None and known.per_s is not None and sent > known.at:
            self._set(endpoint, NamedLimit(None, now))

    def limit(self, endpoint: EndpointId) -> float | None:
        """Return the limit of an endpoint, None for none."""
        known = self.named.get(endpoint)
        return known.per_s if known else None

    def forget(self, endpoint: EndpointId, now: float) -> None:
        """Drop the limit of an endpoint whose process has been replaced."""
        self.forgotten[endpoint] = now
        self._drop(endpoint)

    def _drop(self, endpoint: EndpointId) -> None:
        if self.named.pop(endpoint, None) is not None:
            self._notify(endpoint, None)

    def drop_old(self, now: float) -> None:
        """Drop limits that were not named again for a long time."""
        for endpoint, known in list(self.named.items()):
            kept_s = SPREAD_S if known.per_s is None else KEPT_S
            if now - known.at > kept_s:
                self._drop(endpoint)
        for endpoint, at in list(self.forgotten.items()):
            if now - at > KEPT_S:
                del self.forgotten[endpoint]

    def _set(self, endpoint: EndpointId, limit: NamedLimit) -> None:
        known = self.named.get(endpoint)
        if known is not None and limit.at <= known.at:
            return
        if limit.at <= self.forgotten.get(endpoint, -math.inf):
            return
        self.named[endpoint] = limit
        if known is None or known.per_s != limit.per_s:
            self.changes += 1
            self._notify(endpoint, limit.per_s)

    def _notify(self, endpoint: EndpointId, per_s: float | None) -> None:
        for listener in self.listeners:
            listener(endpoint, per_s)

    # Exchange with other instances

    def rows(self, now: float) -> tuple[LimitRow, ...]:
        """Return what is known, the latest first, for other instances."""
        latest = sorted(self.named.items(), key=lambda item: -item[1].at)
        return tuple(
            LimitRow(
                endpoint,
                NO_LIMIT_ROW if known.per_s is None else round(1000 * known.per_s),
                max(0, int(1000 * (now - known.at))),
            )
            for endpoint, known in latest[:MAX_ROWS]
        )

    def merge(self, rows: Iterable[LimitRow], now: float) -> None:
        """Add what another instance knows."""
        for row in rows:
            per_s = None if row.per_1000_s == NO_LIMIT_ROW else row.per_1000_s / 1000
            if per_s is None and row.endpoint not in self.named:
                continue
            self._set(row.endpoint, NamedLimit(per_s, now - row.age_ms / 1000))


@dataclass
class RequestAllowance:
    """How many requests may go to one endpoint with a limit.

    Attributes
    ----------
    salt : int
        Differs between instances.
    share : float
        Part of the limit that this instance may use.
    tokens : float
        Requests that may go now, if the whole limit may be used.
    used_slot : int
        The last time slot that was used, if only a part may be used.
    """

    per_s: float
    salt: int
    updated: float
    share: float = 1.0
    tokens: float = 0.0
    used_slot: int = -1

    def allows(self, now: float) -> bool:
        """Return whether a request may go now.

        An instance with a part of the limit gets that part of all time slots, each of
        which is for one request, by a hash. Unused slots lapse, so that the parts of
        many instances that were idle do not add up to a burst.
        """
        if self.share >= 1:
            self._refill(now)
            return self.tokens >= 1
        slot = self._slot(now)
        if slot == self.used_slot:
            return False
        digest = hashlib.blake2b(f"{self.salt}|{slot}".encode(), digest_size=4).digest()
        return int.from_bytes(digest) < self.share * 2**32

    def take(self, now: float) -> None:
        """Count a request."""
        self._refill(now)
        self.tokens -= 1
        self.used_slot = self._slot(now)

    def give_back(self) -> None:
        """Return a request that was not sent."""
        self.tokens = min(self._most(), self.tokens + 1)

    def set_limit(self, per_s: float, now: float) -> None:
        """Apply another limit from now on."""
        self._refill(now)
        self.per_s = per_s
        self.tokens = min(self._most(), self.tokens)

    def _slot(self, now: float) -> int:
        return int(now * max(MIN_PER_S, self.per_s))

    def _most(self) -> float:
        return max(1.0, BURST_S * self.per_s)

    def _refill(self, now: float) -> None:
        earned = max(MIN_PER_S, self.per_s) * max(0.0, now - self.updated)
        self.tokens = min(self._most(), self.tokens + earned)
        self.updated = max(self.updated, now)

"""Which endpoints this instance reaches over its own links.

A connection that can not be opened is the fault of the endpoint or of the link to it.
If several endpoints fail one after the other and none is reached in between, the links
are at fault, and the instance counts as cut off from all endpoints.

Times are seconds on the local monotonic clock and are passed in.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from savorydyke._ids import EndpointId
from savorydyke._timers import Gate

CUT_OFF_ENDPOINTS = 2
"""Endpoints that fail in a row from which on the links count as the fault."""


@dataclass
class EndpointLinks:
    """The endpoints to which no connection could be opened.

    Attributes
    ----------
    failed_at : dict of EndpointId to float
        When the latest attempt to reach an endpoint failed, for those not reached
        since.
    opened_at : float
        When any endpoint was reached last.
    is_cut_off : bool
        Whether the links to all endpoints count as failed.
    failing : Gate
        Open while there are such endpoints.
    listeners : list of callable
        Called with whether the instance is cut off, when that changes.
    """

    failed_at: dict[EndpointId, float] = field(default_factory=dict)
    opened_at: float = -math.inf
    is_cut_off: bool = False
    failing: Gate = field(default_factory=Gate)
    listeners: list[Callable[[bool], None]] = field(default_factory=list)

    # Observations

    def record_opened(self, endpoint: EndpointId, now: float) -> None:
        """Record that an endpoint was reached."""
        self.opened_at = now
        self.failed_at.pop(endpoint, None)
        self._notify()

    def record_failed(self, endpoint: EndpointId, now: float) -> None:
        """Record that an endpoint was not reached."""
        self.failed_at[endpoint] = now
        self._notify()

    def forget(self, endpoint: EndpointId) -> None:
        """Drop an endpoint whose own fault it was, or that is gone."""
        if self.failed_at.pop(endpoint, None) is not None:
            self._notify()

    def keep(self, endpoints: set[EndpointId]) -> None:
        """Drop all endpoints but these."""
        for endpoint in self.failed_at.keys() - endpoints:
            self.forget(endpoint)

    def is_failed(self, endpoint: EndpointId) -> bool:
        """Return whether the link to an endpoint should not be used."""
        return self.is_cut_off or endpoint in self.failed_at

    def _fail_together(self) -> bool:
        failed = [at for at in self.failed_at.values() if at > self.opened_at]
        return len(failed) >= CUT_OFF_ENDPOINTS

    def _notify(self) -> None:
        self.failing.set(bool(self.failed_at))
        is_cut_off = self._fail_together()
        if is_cut_off == self.is_cut_off:
            return
        self.is_cut_off = is_cut_off
        for listener in self.listeners:
            listener(is_cut_off)

"""Endpoints that are leaving, from first-hand evidence and from peers.

First-hand evidence is the platform's list and the endpoint's own load report.
Only that is passed on, so that hearsay does not circle; what peers tell lapses
soon after they stop telling it.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from savorydyke._ids import EndpointId

PEER_REPORT_TTL_S = 3.0


@dataclass
class EndpointStates:
    """Which endpoints are leaving.

    Attributes
    ----------
    listeners : list of callable
        Called with an endpoint and whether it is leaving, on each change.
    """

    listed: set[EndpointId] = field(default_factory=set)
    reported: set[EndpointId] = field(default_factory=set)
    from_peers: dict[EndpointId, float] = field(default_factory=dict)
    leaving: set[EndpointId] = field(default_factory=set)
    listeners: list[Callable[[EndpointId, bool], None]] = field(default_factory=list)

    def set_listed(self, endpoints: set[EndpointId], now: float) -> None:
        """Take in the leaving endpoints of the platform's list."""
        self.listed = endpoints
        self.update(now)

    def set_reported(self, endpoint: EndpointId, leaving: bool, now: float) -> None:
        """Take in an endpoint's own report."""
        if leaving:
            self.reported.add(endpoint)
        else:
            self.reported.discard(endpoint)
        self.update(now)

    def update_from_peer(self, endpoints: tuple[EndpointId, ...], now: float) -> None:
        """Take in what a peer knows first-hand."""
        for endpoint in endpoints:
            self.from_peers[endpoint] = now
        if endpoints:
            self.update(now)

    def observed_leaving(self) -> tuple[EndpointId, ...]:
        """Return what may be passed on."""
        return tuple(sorted(self.listed | self.reported))

    def update(self, now: float) -> None:
        """Drop lapsed hearsay and tell listeners of changes."""
        for endpoint, heard in list(self.from_peers.items()):
            if now - heard > PEER_REPORT_TTL_S:
                del self.from_peers[endpoint]
        leaving = self.listed | self.reported | self.from_peers.keys()
        changed = leaving ^ self.leaving
        self.leaving = leaving
        for endpoint in changed:
            for listener in self.listeners:
                listener(endpoint, endpoint in leaving)

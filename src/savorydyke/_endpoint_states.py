"""Endpoints that take no new requests, from own observation and from peers.

An endpoint may leave, or ask this instance for a pause. Own observations of leaving
endpoints are the platform's list and what the endpoint itself states. Only these are
sent to peers, so that an outdated state is not passed around in circles. Reports of
peers expire soon after they stop. A pause concerns this instance only.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from savorydyke._ids import EndpointId
from savorydyke._rejections import PAUSE_S

PEER_REPORT_TTL_S = 3.0
"""Time after which a report of a peer expires unless it is repeated."""


@dataclass
class EndpointStates:
    """Which endpoints are leaving or have asked for a pause.

    Attributes
    ----------
    listeners : list of callable
        Called on each change with an endpoint and whether it is leaving.
    listed, reported : set of EndpointId
        Leaving endpoints by the platform's list and by their own reports.
    from_peers : dict of EndpointId to float
        Endpoints that peers report as leaving, with the time of the last report.
    paused_until : dict of EndpointId to float
        Endpoints that want no request from this instance, and until when.
    rejected_at : dict of EndpointId to float
        When endpoints that bear few rejections last rejected a request of this
        instance.
    """

    listed: set[EndpointId] = field(default_factory=set)
    reported: set[EndpointId] = field(default_factory=set)
    from_peers: dict[EndpointId, float] = field(default_factory=dict)
    leaving: set[EndpointId] = field(default_factory=set)
    paused_until: dict[EndpointId, float] = field(default_factory=dict)
    rejected_at: dict[EndpointId, float] = field(default_factory=dict)
    listeners: list[Callable[[EndpointId, bool], None]] = field(default_factory=list)

    def set_listed(self, endpoints: set[EndpointId], now: float) -> None:
        """Set the leaving endpoints of the platform's list."""
        self.listed = endpoints
        self.update(now)

    def set_reported(self, endpoint: EndpointId, leaving: bool, now: float) -> None:
        """Record an endpoint's own report."""
        if leaving:
            self.reported.add(endpoint)
        else:
            self.reported.discard(endpoint)
        self.update(now)

    def update_from_peer(self, endpoints: tuple[EndpointId, ...], now: float) -> None:
        """Record the endpoints that a peer has observed to be leaving."""
        for endpoint in endpoints:
            self.from_peers[endpoint] = now
        if endpoints:
            self.update(now)

    def pause(self, endpoint: EndpointId, until: float) -> None:
        """Record that an endpoint wants no request from this instance for a while."""
        self.paused_until[endpoint] = max(until, self.paused_until.get(endpoint, 0.0))

    def record_rejected(self, endpoint: EndpointId, now: float) -> None:
        """Record that an endpoint that bears few rejections rejected a request."""
        self.rejected_at[endpoint] = now
        self.pause(endpoint, now + PAUSE_S)

    def is_unusable(self, endpoint: EndpointId, now: float) -> bool:
        """Return whether an endpoint is leaving or has asked for a pause."""
        return endpoint in self.leaving or self.is_paused(endpoint, now)

    def is_paused(self, endpoint: EndpointId, now: float) -> bool:
        """Return whether an endpoint has asked this instance for a pause."""
        return now < self.paused_until.get(endpoint, 0.0)

    def forget(self, endpoint: EndpointId, now: float) -> None:
        """Drop the reports of an endpoint, whose process has been replaced."""
        self.reported.discard(endpoint)
        self.from_peers.pop(endpoint, None)
        self.paused_until.pop(endpoint, None)
        self.rejected_at.pop(endpoint, None)
        self.update(now)

    def observed_leaving(self) -> tuple[EndpointId, ...]:
        """Return the leaving endpoints by own observation, to be sent to peers."""
        return tuple(sorted(self.listed | self.reported))

    def update(self, now: float) -> None:
        """Drop what has expired and notify listeners of changes."""
        for endpoint, reported_at in list(self.from_peers.items()):
            if now - reported_at > PEER_REPORT_TTL_S:
                del self.from_peers[endpoint]
        for endpoint, until in list(self.paused_until.items()):
            if now >= until:
                del self.paused_until[endpoint]
        leaving = self.listed | self.reported | self.from_peers.keys()
        changed = leaving ^ self.leaving
        self.leaving = leaving
        for endpoint in changed:
            for listener in self.listeners:
                listener(endpoint, endpoint in leaving)

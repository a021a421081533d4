"""Endpoints that take no new requests, from own observation and from peers.

An endpoint may leave, or ask this instance for a pause. Own observations of leaving
endpoints are the platform's list and what the endpoint itself states. Only these are
sent to peers, so that an outdated state is not passed around in circles. Reports of
peers expire soon after they stop. A pause concerns this instance only.

What is known concerns one process of an endpoint. Another process that starts under
the same id inherits none of it, also if it starts much later, or if an answer of the
earlier one or the report of a peer that has not noticed the restart comes late.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from savorydyke._ids import EndpointId, ProcessId
from savorydyke._manifest import Manifest
from savorydyke._rejections import PAUSE_S

PEER_REPORT_TTL_S = 3.0
"""Time after which a report of a peer expires unless it is repeated."""
REPORT_KEPT_S = 600.0
"""Time for which the report of a process is kept that is not listed. A record that
expired in an outage may come back."""


@dataclass
class EndpointStates:
    """Which endpoints are leaving or have asked for a pause.

    Attributes
    ----------
    listeners : list of callable
        Called on each change with an endpoint and whether it is leaving.
    present : dict of EndpointId to ProcessId
        The processes of the endpoints that are listed now.
    listed : set of ProcessId
        Leaving processes by the platform's list.
    reported : dict of ProcessId to float
        Processes that have said that they leave, and when.
    from_peers : dict of ProcessId to float
        Processes that peers report as leaving, with the time of the last report.
    leaving : set of EndpointId
        The endpoints whose present processes are leaving.
    paused_until : dict of ProcessId to float
        Processes that want no request from this instance, and until when.
    rejected_at : dict of ProcessId to float
        When processes that bear few rejections last rejected a request of this
        instance.
    """

    present: dict[EndpointId, ProcessId] = field(default_factory=dict)
    listed: set[ProcessId] = field(default_factory=set)
    reported: dict[ProcessId, float] = field(default_factory=dict)
    from_peers: dict[ProcessId, float] = field(default_factory=dict)
    leaving: set[EndpointId] = field(default_factory=set)
    paused_until: dict[ProcessId, float] = field(default_factory=dict)
    rejected_at: dict[ProcessId, float] = field(default_factory=dict)
    listeners: list[Callable[[EndpointId, bool], None]] = field(default_factory=list)

    def observe_manifest(self, manifest: Manifest, now: float) -> None:
        """Record the processes of the endpoints that are listed now."""
        self.present = {
            endpoint.id: endpoint.process for endpoint in manifest.endpoints.values()
        }
        self.update(now)

    def set_listed(self, processes: set[ProcessId], now: float) -> None:
        """Set the leaving processes of the platform's list."""
        self.listed = processes
        self.update(now)

    def set_reported(self, process: ProcessId, leaving: bool, now: float) -> None:
        """Record a process's own report."""
        if leaving:
            self.reported[process] = now
        else:
            self.reported.pop(process, None)
        self.update(now)

    def update_from_peer(self, processes: tuple[ProcessId, ...], now: float) -> None:
        """Record the processes that a peer has observed to be leaving."""
        for process in processes:
            self.from_peers[process] = now
        if processes:
            self.update(now)

    def pause(self, process: ProcessId, until: float) -> None:
        """Record that a process wants no request from this instance for a while."""
        self.paused_until[process] = max(until, self.paused_until.get(process, 0.0))

    def record_rejected(self, process: ProcessId, now: float) -> None:
        """Record that a process that bears few rejections rejected a request."""
        self.rejected_at[process] = now
        self.pause(process, now + PAUSE_S)

    def is_unusable(self, endpoint: EndpointId, now: float) -> bool:
        """Return whether an endpoint is leaving or has asked for a pause."""
        return endpoint in self.leaving or self.is_paused(endpoint, now)

    def is_paused(self, endpoint: EndpointId, now: float) -> bool:
        """Return whether an endpoint has asked this instance for a pause."""
        process = self.present.get(endpoint)
        return process is not None and now < self.paused_until.get(process, 0.0)

    def last_rejected(self, endpoint: EndpointId) -> float:
        """Return when an endpoint that bears few rejections rejected a request."""
        process = self.present.get(endpoint)
        if process is None:
            return -math.inf
        return self.rejected_at.get(process, -math.inf)

    def observed_leaving(self) -> tuple[ProcessId, ...]:
        """Return the leaving processes by own observation, to be sent to peers."""
        processes = self.listed | self.reported.keys()
        # Instances of earlier builds know endpoints by their ids only.
        ids = {
            ProcessId(endpoint)
            for endpoint, process in self.present.items()
            if process in processes
        }
        return tuple(sorted(processes | ids))

    def update(self, now: float) -> None:
        """Drop what has expired and notify listeners of changes."""
        present = set(self.present.values())
        _drop_before(self.from_peers, now - PEER_REPORT_TTL_S)
        _drop_before(self.reported, now - REPORT_KEPT_S, present)
        _drop_before(self.paused_until, now)
        _drop_before(self.rejected_at, now - REPORT_KEPT_S)
        processes = self.listed | self.reported.keys() | self.from_peers.keys()
        leaving = {e for e, process in self.present.items() if process in processes}
        changed = leaving ^ self.leaving
        self.leaving = leaving
        for endpoint in changed:
            for listener in self.listeners:
                listener(endpoint, endpoint in leaving)


def _drop_before(
    times: dict[ProcessId, float],
    before: float,
    kept: frozenset[ProcessId] | set[ProcessId] = frozenset(),
) -> None:
    """Remove the entries with a time before `before`, except those in `kept`."""
    for process, at in list(times.items()):
        if at < before and process not in kept:
            del times[process]

"""When a request may leave an endpoint that is silent, and go on at another one.

A sound endpoint may send nothing for a second or so and look at no connection, while it
works on what it has. It notices only later that a request was given up. A stream that
goes on elsewhere meanwhile would be worked on twice.
"""

from dataclasses import dataclass, field

import trio

from savorydyke import _logs
from savorydyke._http1 import ChannelBrokenError, open_channel
from savorydyke._ids import ProcessId
from savorydyke._manifest import Endpoint, Manifest

MAX_SILENCE_S = 2.0
"""Silence after which an endpoint does not go on with what it had."""
RESPONSIVE_S = 0.2
"""Time since it was heard of in which an endpoint counts as awake. In a silence, the
connections of an endpoint stop within the pause between two events."""
RECHECK_S = 0.1
PROBE_TIMEOUT_S = 0.25
"""Time for a connection to a machine that is there; its processes may be silent."""
PROBE_INTERVAL_S = 0.5

log = _logs.component_logger("request")


@dataclass(frozen=True)
class Probe:
    """Whether an endpoint's address took a connection, and when that was tried."""

    is_there: bool
    at: float


@dataclass
class EndpointActivity:
    """When each process of an endpoint was heard of last.

    Attributes
    ----------
    heard : dict of ProcessId to float
        When bytes came from it on any connection of this instance.
    probes : dict of ProcessId to Probe
        The latest attempt to open a connection to a silent one.
    """

    heard: dict[ProcessId, float] = field(default_factory=dict)
    probes: dict[ProcessId, Probe] = field(default_factory=dict)

    def keep(self, manifest: Manifest) -> None:
        """Drop the processes that are not listed any more."""
        present = {endpoint.process for endpoint in manifest.endpoints.values()}
        for known in (self.heard, self.probes):
            for process in known.keys() - present:
                del known[process]

    def record(self, process: ProcessId) -> None:
        """Record that bytes have come from a process."""
        self.heard[process] = trio.current_time()

    async def may_leave(self, endpoint: Endpoint, since: float, is_own: bool) -> bool:
        """Return whether a request may go on elsewhere.

        Parameters
        ----------
        since : float
            When the endpoint last answered it, or got it, on the monotonic clock.
        is_own : bool
            Whether this instance has sent it by its own link.

        Returns
        -------
        bool
            True if the endpoint notices the end of the connection, since it sends on
            other ones, or has been silent for too long to go on, or is gone.
        """
        now = trio.current_time()
        if now - since >= MAX_SILENCE_S:
            return True
        if not is_own:
            return False
        heard = self.heard.get(endpoint.process, since)
        if heard > since and now - heard < RESPONSIVE_S:
            return True
        return not await self._is_there(endpoint)

    async def _is_there(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint's address takes connections."""
        known = self.probes.get(endpoint.process)
        now = trio.current_time()
        if known is not None and now - known.at < PROBE_INTERVAL_S:
            return known.is_there
        is_there = True
        try:
            channel = await open_channel(endpoint.address, PROBE_TIMEOUT_S)
            channel.close()
        except ChannelBrokenError as error:
            is_there = False
            extra = {"endpoint": endpoint.id, "error": str(error)}
            log.info("Silent endpoint not reached.", extra=extra)
        self.probes[endpoint.process] = Probe(is_there, now)
        return is_there

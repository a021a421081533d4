"""The last check before a request is sent to an endpoint.

An endpoint is chosen some milliseconds before, by another instance perhaps, and may
state in other answers meanwhile that it takes no request. Whoever writes the first byte
of a request to an endpoint asks here at that moment, without waiting in between.
"""

from dataclasses import dataclass

import trio

from savorydyke._directory import Directory
from savorydyke._endpoint_states import EndpointStates
from savorydyke._manifest import Endpoint
from savorydyke.rollouts._keeper import Rollouts


@dataclass
class SendCheck:
    """What decides whether a request may be sent now."""

    states: EndpointStates
    directory: Directory
    rollouts: Rollouts

    def why_not(self, endpoint: Endpoint, goes_on: bool) -> str:
        """Return why no request may be sent to an endpoint now, empty if one may.

        Parameters
        ----------
        endpoint : Endpoint
            As it was when it was chosen.
        goes_on : bool
            Whether the request takes up a stream that began at its version.
        """
        manifest = self.directory.manifest
        known = manifest.endpoints.get(endpoint.id) if manifest else None
        if known is None:
            return "the endpoint has been removed"
        if (known.address, known.started_ms) != (endpoint.address, endpoint.started_ms):
            return "the endpoint's process has been replaced"
        if known.drained or endpoint.id in self.states.leaving:
            return "the endpoint leaves"
        if self.states.is_paused(endpoint.id, trio.current_time()):
            return "the endpoint has asked for a pause"
        return self.rollouts.why_not(endpoint, goes_on, manifest) if manifest else ""

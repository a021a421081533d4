"""Finds out whether endpoints have ended when their answers break off.

An answer also breaks off when a connection is reset or an answer is faulty. A new
connection shows whether the endpoint's process is still there.
"""

from dataclasses import dataclass, field

import trio

from savorydyke import _logs
from savorydyke._endpoint_ways import EndpointWays
from savorydyke._ids import ProcessId, SuspectId
from savorydyke._manifest import Endpoint
from savorydyke._quarantine import Quarantine, process_id

CHECK_DELAY_S = 0.03
"""Time for a process that ends to close its listener after its connections."""

log = _logs.component_logger("request")


@dataclass
class LostAnswers:
    """Collects the evidence of this instance's own requests.

    Attributes
    ----------
    ways : EndpointWays
        By which endpoints are checked.
    background : trio.Nursery
        Runs the checks.
    checking : set of ProcessId
        Processes that are being checked.
    """

    quarantine: Quarantine
    ways: EndpointWays
    background: trio.Nursery
    checking: set[ProcessId] = field(default_factory=set)

    def record_lost(
        self, endpoint: Endpoint, suspects: tuple[SuspectId, ...], sent: float
    ) -> None:
        """Record that an endpoint's answer to a request broke off.

        Parameters
        ----------
        sent : float
            When the request was sent, on the monotonic clock.
        """
        process = process_id(endpoint.id, endpoint.started_ms)
        self.quarantine.record_loss(process, suspects, sent, trio.current_time())
        if process not in self.checking:
            self.checking.add(process)
            self.background.start_soon(self._check, endpoint, process)

    def record_refused(self, endpoint: Endpoint) -> None:
        """Record that nothing listens at an endpoint's address."""
        process = process_id(endpoint.id, endpoint.started_ms)
        self.quarantine.record_end(process)

    def record_complete(
        self, endpoint: Endpoint, suspects: tuple[SuspectId, ...], is_delimited: bool
    ) -> None:
        """Record a complete answer.

        One whose end is only marked by a close counts if the endpoint is still there.
        """
        if is_delimited:
            self.quarantine.record_answer(suspects, trio.current_time())
        elif self.quarantine.has_evidence(suspects):
            self.background.start_soon(self._clear_if_there, endpoint, suspects)

    async def _check(self, endpoint: Endpoint, process: ProcessId) -> None:
        try:
            await trio.sleep(CHECK_DELAY_S)
            await self._is_there(endpoint)
        finally:
            self.checking.discard(process)

    async def _clear_if_there(
        self, endpoint: Endpoint, suspects: tuple[SuspectId, ...]
    ) -> None:
        answered = trio.current_time()
        await trio.sleep(CHECK_DELAY_S)
        if await self._is_there(endpoint):
            self.quarantine.record_answer(suspects, answered)

    async def _is_there(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint's process is there; record it if it has ended."""
        if not await self.ways.is_ended(endpoint):
            return True
        log.info("Endpoint ended.", extra={"endpoint": endpoint.id})
        self.record_refused(endpoint)
        return False

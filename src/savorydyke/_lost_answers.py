"""Finds out whether endpoints have ended when their answers break off.

An answer also breaks off when a connection is reset or an answer is faulty. A new
connection shows whether the endpoint's process is still there. While no endpoint is
reached, the links may be at fault; it is found out once one is reached again.
"""

from dataclasses import dataclass, field

import trio

from savorydyke import _logs
from savorydyke._background import BackgroundTasks
from savorydyke._endpoint_ways import Ended, EndpointWays
from savorydyke._forward_headers import ForwardResult
from savorydyke._ids import ProcessId, SuspectId
from savorydyke._manifest import Endpoint, Manifest
from savorydyke._quarantine import Quarantine

CHECK_DELAY_S = 0.03
"""Time for a process that ends to close its listener after its connections."""
DOUBT_CHECK_S = 0.2
"""Time between two attempts to reach an endpoint while ends are in doubt."""
MAX_IN_DOUBT = 1000

log = _logs.component_logger("request")


@dataclass
class LostAnswers:
    """Collects the evidence of this instance's own requests.

    Attributes
    ----------
    ways : EndpointWays
        By which endpoints are checked.
    background : BackgroundTasks
        Runs the checks.
    checking : set of ProcessId
        Processes that are being checked.
    in_doubt : dict of ProcessId to Endpoint
        Processes that may have ended, until an endpoint is reached again.
    """

    quarantine: Quarantine
    ways: EndpointWays
    background: BackgroundTasks
    checking: set[ProcessId] = field(default_factory=set)
    in_doubt: dict[ProcessId, Endpoint] = field(default_factory=dict)

    def record_lost(
        self, endpoint: Endpoint, suspects: tuple[SuspectId, ...], sent: float
    ) -> None:
        """Record that an endpoint's answer to a request broke off.

        Parameters
        ----------
        sent : float
            When the request was sent, on the monotonic clock.
        """
        process = endpoint.process
        self.quarantine.record_loss(process, suspects, sent, trio.current_time())
        if process not in self.checking:
            self.checking.add(process)
            self.background.start_soon(self._check, endpoint, process)

    def record_refused(self, endpoint: Endpoint) -> None:
        """Record that nothing listens at an endpoint's address."""
        process = endpoint.process
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
            ended = await self._record_if_ended(endpoint)
        finally:
            self.checking.discard(process)
        if ended is Ended.IN_DOUBT:
            log.info("End of an endpoint in doubt.", extra={"endpoint": endpoint.id})
            self._settle_later(endpoint, process)

    async def _clear_if_there(
        self, endpoint: Endpoint, suspects: tuple[SuspectId, ...]
    ) -> None:
        answered = trio.current_time()
        await trio.sleep(CHECK_DELAY_S)
        if await self._record_if_ended(endpoint) is Ended.NO:
            self.quarantine.record_answer(suspects, answered)

    async def _record_if_ended(self, endpoint: Endpoint) -> Ended:
        ended = await self.ways.has_ended(endpoint)
        if ended is Ended.YES:
            self._record_ended(endpoint)
        return ended

    def _record_ended(self, endpoint: Endpoint) -> None:
        log.info("Endpoint ended.", extra={"endpoint": endpoint.id})
        self.record_refused(endpoint)

    # Ends in doubt

    def observe_manifest(self, manifest: Manifest) -> None:
        """Record the ends in doubt of processes that are not listed any more.

        A cut between instances and endpoints does not keep these from being listed.
        """
        for process, endpoint in list(self.in_doubt.items()):
            known = manifest.endpoints.get(endpoint.id)
            if known is None or known.started_ms > endpoint.started_ms:
                del self.in_doubt[process]
                self._record_ended(endpoint)

    def _settle_later(self, endpoint: Endpoint, process: ProcessId) -> None:
        is_settling = bool(self.in_doubt)
        self.in_doubt[process] = endpoint
        if len(self.in_doubt) > MAX_IN_DOUBT:
            del self.in_doubt[next(iter(self.in_doubt))]
        if not is_settling:
            self.background.keep_running(self._settle)

    async def _settle(self) -> None:
        """Find out which endpoints have ended once any endpoint is reached."""
        while self.in_doubt:
            since = trio.current_time()
            await trio.sleep(DOUBT_CHECK_S)
            if not await self.ways.is_any_reached(since):
                continue
            since = trio.current_time()
            checked = list(self.in_doubt.items())
            ended = [process for process, one in checked if await self._is_gone(one)]
            if not await self.ways.is_any_reached(since):
                continue
            for process, endpoint in checked:
                is_open = self.in_doubt.pop(process, None) is not None
                if is_open and process in ended:
                    self._record_ended(endpoint)

    async def _is_gone(self, endpoint: Endpoint) -> bool:
        found = await self.ways.probe_own_link(endpoint)
        if found is not ForwardResult.REACHED:
            # An endpoint that was replaced says nothing about the links.
            self.ways.links.forget(endpoint.id)
        return found is ForwardResult.REFUSED or self._has_restarted(endpoint)

    def _has_restarted(self, endpoint: Endpoint) -> bool:
        manifest = self.ways.manifest()
        known = manifest.endpoints.get(endpoint.id) if manifest else None
        return known is not None and known.started_ms > endpoint.started_ms

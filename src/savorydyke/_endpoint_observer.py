"""Records what endpoints state in their answers about further requests."""

import math
from dataclasses import dataclass, field

import trio

from savorydyke import _logs
from savorydyke._endpoint_states import EndpointStates
from savorydyke._ids import EndpointId
from savorydyke._manifest import Endpoint
from savorydyke._request_limits import BadLimitError, RequestLimits, parse_limit
from savorydyke._retry_after import BadRetryAfterError, parse_retry_after
from savorydyke.platform import ResponseInfo
from savorydyke.scheduling import PaceReports

BAD_LOAD_LOG_S = 10.0
"""Least time between two log lines on load reports that can not be read. Each answer
of a faulty endpoint may carry one."""

log = _logs.component_logger("request")


@dataclass
class EndpointObserver:
    """Applies what endpoints state to this instance's knowledge.

    Attributes
    ----------
    paces : PaceReports
        The paces that endpoints report.
    bad_loads : int
        Load reports that could not be read since the latest log line on one.
    bad_load_logged : float
        When that line was written, on the monotonic clock.
    """

    states: EndpointStates
    limits: RequestLimits
    rejections: RequestLimits
    paces: PaceReports = field(default_factory=PaceReports)
    bad_loads: int = 0
    bad_load_logged: float = -math.inf

    def observe(
        self, endpoint: Endpoint, info: ResponseInfo, sent: float, request_id: str
    ) -> float:
        """Record what an answer states.

        Parameters
        ----------
        endpoint : Endpoint
            As it was when the request was sent.
        sent : float
            When the request was sent, on the monotonic clock.

        Returns
        -------
        float
            Seconds for which the endpoint wants no other request of this instance.
        """
        now = trio.current_time()
        extra: dict[str, object] = {"request": request_id, "endpoint": endpoint.id}
        process = endpoint.process
        is_present = self.states.present.get(endpoint.id) == process
        if info.load.error:
            self._note_bad_load(info.load.error, now, extra)
        if is_present and (info.stamped or info.not_executed):
            if info.load.pace is not None:
                self.paces.record(process, info.load.pace, now)
            for limits, text in (
                (self.limits, info.limit),
                (self.rejections, info.rejection_limit),
            ):
                _observe_limit(limits, endpoint.id, text, sent, extra)
        if info.rejected and self.rejections.limit(endpoint.id) is not None:
            self.states.record_rejected(process, now)
        if info.leaving and process not in self.states.reported:
            self.states.set_reported(process, True, now)
            log.info("Endpoint leaves.", extra=extra)
        if not info.retry_after:
            return 0.0
        try:
            pause_s = parse_retry_after(info.retry_after, info.date)
        except BadRetryAfterError as error:
            log.warning("Pause unreadable.", extra=extra | {"error": str(error)})
            return 0.0
        self.states.pause(process, now + pause_s)
        log.info("Endpoint pauses.", extra=extra | {"pause_s": pause_s})
        return pause_s

    def _note_bad_load(self, error: str, now: float, extra: dict[str, object]) -> None:
        """Log a load report that could not be read, now and then."""
        self.bad_loads += 1
        if now - self.bad_load_logged < BAD_LOAD_LOG_S:
            return
        more: dict[str, object] = {"error": error, "count": self.bad_loads}
        log.warning("Load report unreadable.", extra=extra | more)
        self.bad_loads, self.bad_load_logged = 0, now


def _observe_limit(
    limits: RequestLimits,
    endpoint: EndpointId,
    text: str,
    sent: float,
    extra: dict[str, object],
) -> None:
    """Record the limit that an endpoint names, or that it names none."""
    per_s = None
    if text:
        try:
            per_s = parse_limit(text)
        except BadLimitError as error:
            log.warning("Limit unreadable.", extra=extra | {"error": str(error)})
            return
    limits.record_answer(endpoint, per_s, sent, trio.current_time())

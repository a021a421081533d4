"""Reads the beginnings of answers that are not awaited any more.

An endpoint that is overloaded answers late, when its request has been given up, and
asks for a pause just then. The connection is kept for a moment to learn of it.
"""

from dataclasses import dataclass

import trio

from savorydyke import _logs
from savorydyke._background import BackgroundTasks
from savorydyke._endpoint_observer import EndpointObserver
from savorydyke._http1 import Channel, ChannelBrokenError
from savorydyke._manifest import Endpoint
from savorydyke.platform import parse_response_headers

SILENT_S = 0.25
"""Time for the answer of an endpoint that was given up for silence."""
EXPIRED_S = 0.15
"""Same at the time-out of a request, which the endpoint knows too."""
CALLER_GONE_S = 0.05
"""Same when the caller has left. What is on its way arrives in this time, and the
endpoint does not work on for nobody."""
MAX_WAITING = 256
"""Connections that are kept at a time."""

log = _logs.component_logger("request")


@dataclass
class LateAnswers:
    """Waits for the heads of late answers.

    Attributes
    ----------
    background : BackgroundTasks
        Runs the tasks that wait.
    waiting : int
        Connections that are kept.
    """

    observer: EndpointObserver
    background: BackgroundTasks
    waiting: int = 0

    def take_over(
        self,
        channel: Channel,
        endpoint: Endpoint,
        sent: float,
        request_id: str,
        wait_s: float,
    ) -> None:
        """Wait for an answer's head, and close its connection in any case.

        Parameters
        ----------
        sent : float
            When the request was sent, on the monotonic clock.
        wait_s : float
            How long to wait.
        """
        if self.waiting >= MAX_WAITING:
            channel.close()
            return
        self.waiting += 1
        channel.read_until = trio.current_time() + wait_s
        self.background.start_soon(self._read, channel, endpoint, sent, request_id)

    async def _read(
        self, channel: Channel, endpoint: Endpoint, sent: float, request_id: str
    ) -> None:
        extra: dict[str, object] = {"request": request_id, "endpoint": endpoint.id}
        try:
            head = await channel.read_head()
            info = parse_response_headers(head.status, head.headers)
            if info.request_id == request_id:
                self.observer.observe(endpoint, info, sent, request_id)
            log.info("Late answer.", extra=extra | {"status": head.status})
        except ChannelBrokenError as error:
            log.debug("No late answer.", extra=extra | {"error": str(error)})
        finally:
            self.waiting -= 1
            channel.close()

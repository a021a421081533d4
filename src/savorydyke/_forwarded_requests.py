"""Sends requests to endpoints for instances that do not reach them.

The instance that has the caller has placed the request and decides what becomes of it.
This one sends it once, to the endpoint that is named, and returns the answer. What the
endpoint states about further requests concerns this instance, which the endpoint
knows as the sender.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from savorydyke import _logs
from savorydyke._background import BackgroundTasks
from savorydyke._directory import Directory
from savorydyke._endpoint_observer import EndpointObserver
from savorydyke._endpoint_ways import EndpointWays
from savorydyke._forward_headers import (
    RESULT,
    UNDELIMITED,
    ForwardOrder,
    ForwardResult,
    is_signed,
    process_name,
    read_order,
    without_forward_headers,
)
from savorydyke._http1 import (
    AnswerHead,
    Channel,
    ChannelBrokenError,
    ChannelRefusedError,
    ChannelStaleError,
    OutgoingRequest,
    without_hop_headers,
)
from savorydyke._ids import RequestKey
from savorydyke._ingress import IncomingRequest, Rejected, Responder
from savorydyke._late_answers import CALLER_GONE_S, LateAnswers
from savorydyke._manifest import Endpoint
from savorydyke._membership import Membership
from savorydyke._overload import Overload
from savorydyke._send_check import SendCheck
from savorydyke.platform import (
    BadRequestHeadError,
    parse_request_headers,
    parse_response_headers,
)

CONNECT_TIMEOUT_S = 0.1
"""The instance that has the caller has waited before."""
MAX_FORWARDED = 128
"""Requests of other instances at a time."""
MAX_FORWARDED_BYTES = 16_000_000
"""Bodies of other instances' requests at a time; one of any size is taken alone."""
MAX_ATTEMPTS_KEPT = 20_000
"""Latest orders that are remembered, so that none is carried out twice."""
MORE_HEAD_BYTES = 4096
"""What an order adds to the largest head of a request."""
NOT_SENT_STATUS = 503
LOST_STATUS = 502

log = _logs.component_logger("forward")


@dataclass
class ForwardedRequests:
    """Handles the requests of other instances.

    Attributes
    ----------
    background : BackgroundTasks
        Runs the tasks that send the rest of a long body while its answer is read.
    stopping : callable
        Whether this instance takes no more requests of others.
    attempts : OrderedDict of RequestKey to None
        The latest orders.
    held_bytes : int
        Size of the bodies that are held for other instances.
    """

    membership: Membership
    secret: Callable[[], bytes]
    directory: Directory
    ways: EndpointWays
    observer: EndpointObserver
    late_answers: LateAnswers
    check: SendCheck
    overload: Overload
    stopping: Callable[[], bool]
    background: BackgroundTasks
    attempts: OrderedDict[RequestKey, None] = field(default_factory=OrderedDict)
    held_bytes: int = 0

    async def handle(self, incoming: IncomingRequest, responder: Responder) -> None:
        """Carry out one order."""
        order = read_order(incoming.headers)
        if order is None or not self._is_genuine(incoming):
            log.warning("Order rejected.", extra={"why": "no valid signature"})
            await _answer(responder, ForwardResult.REJECTED)
            return
        if not self.is_first(order.attempt):
            log.warning("Order rejected.", extra={"why": "not the first of its kind"})
            # The first one may have been sent.
            await _answer(responder, ForwardResult.LOST)
            return
        self.ways.forwarding += 1
        self.held_bytes += len(incoming.body)
        try:
            result = await self._carry_out(order, incoming, responder)
        finally:
            self.ways.forwarding -= 1
            self.held_bytes -= len(incoming.body)
        if result is not None:
            extra = {"endpoint": order.endpoint, "sender": order.sender}
            log.info("Not forwarded.", extra=extra | {"result": result.value})
            await _answer(responder, result)

    async def refuse_unreadable(self, responder: Responder, rejected: Rejected) -> None:
        """Answer an order that could not be read."""
        log.warning("Order rejected.", extra={"why": rejected.detail})
        await _answer(responder, ForwardResult.REJECTED)

    def _is_genuine(self, incoming: IncomingRequest) -> bool:
        me = process_name(self.membership.id, self.membership.incarnation)
        return bool(self.secret()) and is_signed(
            self.secret(),
            me,
            incoming.method,
            incoming.target,
            incoming.headers,
            incoming.body,
        )

    def is_first(self, attempt: RequestKey) -> bool:
        """Return whether an order has not come before, and remember it."""
        if attempt in self.attempts:
            return False
        self.attempts[attempt] = None
        if len(self.attempts) > MAX_ATTEMPTS_KEPT:
            self.attempts.popitem(last=False)
        return True

    async def _carry_out(
        self, order: ForwardOrder, incoming: IncomingRequest, responder: Responder
    ) -> ForwardResult | None:
        """Return why the request was not answered, None if it was."""
        manifest = self.directory.manifest
        endpoint = manifest.endpoints.get(order.endpoint) if manifest else None
        if endpoint is None:
            return ForwardResult.UNUSABLE
        if self._is_busy(len(incoming.body)):
            return ForwardResult.BUSY
        if self.ways.links.is_cut_off:
            return ForwardResult.CUT_OFF
        since = trio.current_time()
        try:
            channel = await self.ways.open_own_link(endpoint, CONNECT_TIMEOUT_S)
        except ChannelBrokenError as error:
            return await self._why_not_reached(endpoint, error, since)
        if order.is_probe:
            channel.close()
            return ForwardResult.REACHED
        return await self._send(endpoint, channel, order, incoming, responder)

    def _is_busy(self, body_bytes: int) -> bool:
        return (
            self.stopping()
            or self.ways.forwarding > MAX_FORWARDED
            or self.held_bytes > max(MAX_FORWARDED_BYTES, body_bytes)
            or self.overload.is_overloaded(trio.current_time())
        )

    async def _why_not_reached(
        self, endpoint: Endpoint, error: ChannelBrokenError, since: float
    ) -> ForwardResult:
        """Return whether an endpoint is at fault or this instance's links are."""
        if not await self.ways.is_at_fault(endpoint, since):
            return ForwardResult.CUT_OFF
        self.ways.links.forget(endpoint.id)
        if isinstance(error, ChannelRefusedError):
            return ForwardResult.REFUSED
        return ForwardResult.UNREACHABLE

    async def _send(
        self,
        endpoint: Endpoint,
        channel: Channel,
        order: ForwardOrder,
        incoming: IncomingRequest,
        responder: Responder,
    ) -> ForwardResult | None:
        """Send a request and return its answer; close the connection at the end."""
        headers = without_forward_headers(without_hop_headers(incoming.headers))
        try:
            info = parse_request_headers(headers)
        except BadRequestHeadError:
            channel.close()
            return ForwardResult.REJECTED
        if why := self.check.why_not(endpoint, bool(info.last_event_id)):
            channel.close()
            log.info("Not sent.", extra={"endpoint": endpoint.id, "why": why})
            return ForwardResult.UNUSABLE
        sent = trio.current_time()
        request = OutgoingRequest(
            incoming.method, incoming.target, headers, incoming.body
        )
        extra = {
            "request": info.request_id,
            "endpoint": endpoint.id,
            "sender": order.sender,
        }
        status, is_awaited = None, True
        try:
            with trio.move_on_after(info.deadline_s or float("inf")):
                await channel.send(request, self.background)
                head = await channel.read_head()
                status = head.status
                response = parse_response_headers(head.status, head.headers)
                if response.request_id == info.request_id:
                    self.observer.observe(endpoint, response, sent, info.request_id)
                await _relay(channel, head, responder)
        except ChannelStaleError as error:
            log.info("Not sent.", extra=extra | {"why": str(error)})
            return ForwardResult.UNUSABLE
        except ChannelBrokenError as error:
            extra["error"] = str(error)
        except trio.Cancelled:
            if status is None:
                is_awaited = False
                request_id = info.request_id
                self.late_answers.take_over(
                    channel, endpoint, sent, request_id, CALLER_GONE_S
                )
            raise
        finally:
            if is_awaited:
                channel.close()
        log.info("Forwarded.", extra=extra | {"status": status or 0})
        # An answer that has begun is broken off by the end of the connection.
        return None if responder.started else ForwardResult.LOST


async def _relay(channel: Channel, head: AnswerHead, responder: Responder) -> None:
    """Return an endpoint's answer part by part."""
    headers = without_forward_headers(without_hop_headers(head.headers))
    headers = [(n, v) for n, v in headers if n.lower() != b"content-length"]
    if head.length is not None:
        headers.append((b"Content-Length", str(head.length).encode()))
    if not head.is_delimited():
        headers.append((UNDELIMITED, b"1"))
    headers.append((RESULT, ForwardResult.ANSWERED.value.encode()))
    await responder.start(head.status, headers)
    async for part in channel.read_body():
        await responder.body(part)
    await responder.end()


async def _answer(responder: Responder, result: ForwardResult) -> None:
    is_lost = result is ForwardResult.LOST
    status = LOST_STATUS if is_lost else NOT_SENT_STATUS
    await responder.send_answer(status, [(RESULT, result.value.encode())], b"")

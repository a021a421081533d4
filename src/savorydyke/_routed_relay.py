"""Passes an endpoint's answer on to its caller, and gives refusals.

An answer of ordinary size is held until it is complete, so that a torn one can
be told from a whole one before the caller sees any of it. Of a stream, whole
events are passed on as they come.
"""

import math
import re
from collections.abc import AsyncIterator, Awaitable, Callable

import trio

from savorydyke._http1 import (
    AnswerHead,
    Channel,
    ChannelBrokenError,
    ChannelTimeoutError,
)
from savorydyke._ids import Outcome, Reason, ReleaseResult
from savorydyke._ingress import Responder
from savorydyke._problems import Refusal
from savorydyke._routed_request import (
    Done,
    Failed,
    Lost,
    NotRun,
    RoutedRequest,
    SendResult,
)
from savorydyke.platform import (
    RequestInfo,
    ResponseInfo,
    refusal_headers,
    response_headers,
)

BUFFER_BYTES = 262_144
"""Largest answer that is held until it is complete."""
STALLED_STREAM_S = 0.5
"""Pauses of up to 0.8 s are in time, of which reading the prompt anew takes 0.2."""
RETRY_SHARE = 0.33
"""Callers come back within a third of the time that they have left."""
MIN_RETRY_S = 0.05
NO_CAPACITY_RETRY_S = 0.25
"""About the time in which a few of a pool's places come free."""
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise callers that a request has not run and never will."""
EVENT_END = b"\n\n"
EVENT_ID = re.compile(rb"^id:[ ]?(.*?)\r?$", re.MULTILINE)

OnFirstByte = Callable[[], None]
ReserveAlternative = Callable[[], Awaitable[bool]]
"""Looks for another endpoint; returns whether one is granted."""


async def relay_answer(
    request: RoutedRequest,
    channel: Channel,
    head: AnswerHead,
    response_info: ResponseInfo,
    on_first_byte: OnFirstByte,
    reserve_alternative: ReserveAlternative,
) -> SendResult:
    """Pass an answer on, or return why there is none.

    A silent endpoint is left only for another one that has been granted.

    Raises
    ------
    ChannelBrokenError
        If it is no answer to this request, or ends before it is complete.
    CallerDisconnectedError
        If the caller has left.
    """
    if (
        response_info.request_id
        and response_info.request_id != request.request_info.request_id
    ):
        raise ChannelBrokenError("the answer is another request's")
    if response_info.not_executed:
        request.may_have_run = request.may_have_run_before
        request.result = ReleaseResult.REJECTED
        return NotRun(f"status {head.status}")
    if not response_info.stamped:
        raise ChannelBrokenError(f"status {head.status} without the stamp")
    is_success = 200 <= head.status < 300
    if is_success and _is_event_stream(head):
        return await _relay_events(
            request, channel, head, on_first_byte, reserve_alternative
        )
    return await _relay_whole(
        request, channel, head, on_first_byte, reserve_alternative
    )


async def read_head(
    channel: Channel, reserve_alternative: ReserveAlternative
) -> AnswerHead:
    """Return the head of an answer; see `relay_answer` for silence.

    Raises
    ------
    ChannelBrokenError
        If there is none, or another endpoint is to be tried.
    """
    try:
        return await channel.read_head()
    except ChannelTimeoutError:
        if await reserve_alternative():
            raise
        channel.read_timeout_s = math.inf
        return await channel.read_head()


async def _body_parts(
    channel: Channel, reserve_alternative: ReserveAlternative
) -> AsyncIterator[bytes]:
    """Yield the parts of a body; wait on if there is nowhere else to go."""
    while True:
        try:
            async for part in channel.read_body():
                yield part
            return
        except ChannelTimeoutError:
            if await reserve_alternative():
                raise
            channel.read_timeout_s = math.inf


async def _relay_whole(
    request: RoutedRequest,
    channel: Channel,
    head: AnswerHead,
    on_first_byte: OnFirstByte,
    reserve_alternative: ReserveAlternative,
) -> SendResult:
    """Hold an answer until it is complete, then deliver it."""
    parts: list[bytes] = []
    size = 0
    async for part in _body_parts(channel, reserve_alternative):
        on_first_byte()
        parts.append(part)
        size += len(part)
        if size > BUFFER_BYTES:
            return await _relay_large(request, channel, head, parts)
    on_first_byte()
    body = b"".join(parts)
    if head.status >= 500:
        request.result = ReleaseResult.FAILED
        return Failed(head, body)
    request.result = ReleaseResult.COMPLETE
    if request.responder.started:
        return Lost(f"status {head.status} where a stream should go on")
    await deliver(request, head, body)
    return Done(head.status)


async def _relay_large(
    request: RoutedRequest, channel: Channel, head: AnswerHead, parts: list[bytes]
) -> SendResult:
    """Pass on an answer that is too large to be held."""
    if request.responder.started:
        return Lost("a large answer where a stream should go on")
    headers = response_headers(head.headers)
    if head.length is not None:
        headers.append((b"Content-Length", str(head.length).encode()))
    await request.responder.start(head.status, headers)
    for part in parts:
        await request.responder.body(part)
    async for part in channel.read_body():
        await request.responder.body(part)
    await request.responder.end()
    request.result = ReleaseResult.COMPLETE
    return Done(head.status)


async def _relay_events(
    request: RoutedRequest,
    channel: Channel,
    head: AnswerHead,
    on_first_byte: OnFirstByte,
    reserve_alternative: ReserveAlternative,
) -> SendResult:
    """Pass whole events on as they come."""
    if not request.responder.started:
        await request.responder.start(head.status, response_headers(head.headers))
    if channel.has_read_timeout():
        channel.read_timeout_s = STALLED_STREAM_S
    held = b""
    async for part in _body_parts(channel, reserve_alternative):
        on_first_byte()
        held += part
        end = held.rfind(EVENT_END)
        if end < 0:
            continue
        whole, held = held[: end + len(EVENT_END)], held[end + len(EVENT_END) :]
        _count_events(request, whole)
        await request.responder.body(whole)
    if held:
        raise ChannelBrokenError("the stream ended within an event")
    await request.responder.end()
    request.result = ReleaseResult.COMPLETE
    return Done(head.status)


def _count_events(request: RoutedRequest, whole: bytes) -> None:
    """Count events, so that a broken stream can go on behind the last one."""
    now = trio.current_time()
    request.events += whole.count(EVENT_END)
    if request.first_event is None:
        request.first_event = now
    else:
        request.times.add(now - request.last_byte)
    request.last_byte = now
    ids = EVENT_ID.findall(whole)
    if ids:
        request.last_event_id = ids[-1].decode("latin-1").strip()


async def deliver(request: RoutedRequest, head: AnswerHead, body: bytes) -> None:
    """Give the caller an endpoint's whole answer."""
    if head.status not in NOT_RUN_STATUSES:
        headers = response_headers(head.headers)
        await request.responder.send_answer(head.status, headers, body)
        return
    # The request has run, which this status would deny.
    detail = f"the endpoint answered {head.status}"
    refusal = Refusal(Reason.ENDPOINT_FAILED, detail, Outcome.MAY_HAVE_RUN)
    await refuse(
        request.responder, request.request_info, request.incoming.arrived, refusal
    )


async def refuse(
    responder: Responder, request_info: RequestInfo, arrived: float, refusal: Refusal
) -> None:
    """Give the caller a final answer of this system's own.

    Parameters
    ----------
    arrived : float
        When the request arrived, on the monotonic clock; a time to come back
        lies within what the caller has left.
    """
    retry_s = refusal.retry_s
    if refusal.outcome is Outcome.NOT_RUN and refusal.status in NOT_RUN_STATUSES:
        retry_s = NO_CAPACITY_RETRY_S if retry_s is None else retry_s
        if request_info.deadline_s is not None:
            left_s = arrived + request_info.deadline_s - trio.current_time()
            retry_s = min(retry_s, RETRY_SHARE * left_s)
        retry_s = max(MIN_RETRY_S, retry_s)
    headers = refusal_headers(request_info.request_id, retry_s)
    await responder.send_answer(
        refusal.status, headers, refusal.body(request_info.request_id)
    )


def _is_event_stream(head: AnswerHead) -> bool:
    kind = head.get(b"content-type") or b""
    return kind.lower().startswith(b"text/event-stream")

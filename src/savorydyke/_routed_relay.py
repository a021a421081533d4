"""Relays endpoints' answers to callers, and sends refusals.

An answer of ordinary size is buffered until it is complete, so that a truncated
one is detected before the caller receives any of it. Streams are relayed event
by event, as complete events arrive.
"""

import math
from collections.abc import Awaitable, Callable

import trio

from savorydyke._answer_budget import EventPace
from savorydyke._answer_kinds import (
    MAX_LOGGED_CHARS,
    RelayedAnswer,
    RelayedAs,
    is_encoded,
    stated_types,
    why_not_stream,
)
from savorydyke._event_order import (
    EVENT_END,
    EventOrder,
    EventSteps,
    StrayEventError,
)
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
    EVENT_FIELDS,
    RequestInfo,
    ResponseInfo,
    refusal_headers,
    response_headers,
)

BUFFER_BYTES = 262_144
"""Largest answer that is buffered until it is complete."""
MAX_UNSTATED_BYTES = 4_194_304
"""Largest answer, other than a stream, whose length is not stated."""
STALLED_STREAM_S = 0.5
"""Gaps of up to 0.8 s are in time; another prefill of the prompt takes 0.2 s of it."""
RETRY_SHARE = 0.33
"""Largest part of the caller's remaining time that a retry delay may take."""
MIN_RETRY_S = 0.05
NO_CAPACITY_RETRY_S = 0.25
"""About the time in which a few of a pool's slots become free."""
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that tell callers that a request has not run and never will."""

OnFirstByte = Callable[[], None]
OnSilence = Callable[[], Awaitable[float | None]]
"""Returns until when to wait for a silent endpoint, None to leave it."""


async def relay_answer(
    request: RoutedRequest,
    channel: Channel,
    head: AnswerHead,
    response_info: ResponseInfo,
    on_first_byte: OnFirstByte,
    on_silence: OnSilence,
    steps: EventSteps,
) -> SendResult:
    """Relay an answer, or return why there is none.

    A silent endpoint is left only once another one has been granted.

    Raises
    ------
    ChannelBrokenError
        If the answer belongs to another request, lacks the endpoint's stamp, is not
        what its route asks for, or ends before it is complete.
    CallerDisconnectedError
        If the caller has disconnected.
    """
    if response_info.request_id != request.request_info.request_id:
        raise ChannelBrokenError("the answer is another request's, or of none")
    if response_info.not_executed:
        request.may_have_run = request.may_have_run_before
        request.result = ReleaseResult.REJECTED
        request.refused_by.append(request.sent_to[-1])
        return NotRun(f"status {head.status}")
    if not response_info.stamped:
        raise ChannelBrokenError(f"status {head.status} without the stamp")
    if is_encoded(head.headers):
        # No caller asks for an encoding.
        raise ChannelBrokenError("an answer with a content encoding")
    is_success = 200 <= head.status < 300
    if is_success and request.route.streaming:
        if why := why_not_stream(head.status, head.headers):
            raise ChannelBrokenError(f"not a stream: {why}")
        return await _relay_events(
            request, channel, head, on_first_byte, on_silence, steps
        )
    return await _relay_whole(request, channel, head, on_first_byte, on_silence)


async def read_head(channel: Channel, on_silence: OnSilence) -> AnswerHead:
    """Return the head of an answer; `relay_answer` describes how silence is handled.

    Raises
    ------
    ChannelBrokenError
        If there is none, or the endpoint is left for another one.
    """
    while True:
        try:
            return await channel.read_head()
        except ChannelTimeoutError:
            until = await on_silence()
            if until is None:
                raise
            channel.read_until = until


async def _next_part(channel: Channel, on_silence: OnSilence) -> bytes | None:
    """Return the next part of a body, None at its end; its endpoint may be left."""
    while True:
        try:
            return await channel.next_part()
        except ChannelTimeoutError:
            until = await on_silence()
            if until is None:
                raise
            channel.read_until = until


async def _relay_whole(
    request: RoutedRequest,
    channel: Channel,
    head: AnswerHead,
    on_first_byte: OnFirstByte,
    on_silence: OnSilence,
) -> SendResult:
    """Buffer an answer until it is complete, then deliver it."""
    parts: list[bytes] = []
    size = 0
    is_limited = channel.has_read_timeout()
    while (part := await _next_part(channel, on_silence)) is not None:
        on_first_byte()
        if is_limited:
            channel.read_until = trio.current_time() + STALLED_STREAM_S
        parts.append(part)
        size += len(part)
        request.responder.hold_answer(size)
        if size > BUFFER_BYTES:
            if head.status >= 500 or head.status in NOT_RUN_STATUSES:
                # It can not be passed on before all of it is known.
                raise ChannelBrokenError(f"status {head.status} with a long body")
            return await _relay_large(request, channel, head, parts)
    on_first_byte()
    body = b"".join(parts)
    if head.status >= 500:
        request.result = ReleaseResult.FAILED
        return Failed(head, body)
    if request.responder.started:
        request.result = ReleaseResult.FAILED
        return Lost(f"status {head.status} where a stream should go on")
    request.result = ReleaseResult.COMPLETE
    await deliver(request, head, body)
    return Done(head.status)


async def _relay_large(
    request: RoutedRequest, channel: Channel, head: AnswerHead, parts: list[bytes]
) -> SendResult:
    """Relay an answer that is too large to be buffered."""
    if request.responder.started:
        request.result = ReleaseResult.FAILED
        return Lost("a large answer where a stream should go on")
    headers = response_headers(head.headers)
    if head.length is not None:
        headers.append((b"Content-Length", str(head.length).encode()))
    request.responder.hold_answer(0)
    request.responder.begin(head.status, headers)
    relayed = _record_relayed(request, head, RelayedAs.PARTS)
    # It has begun, so that no other endpoint can go on with it.
    channel.read_until = math.inf
    for part in parts:
        relayed.size += len(part)
        await request.responder.body(part)
    async for part in channel.read_body():
        if head.length is None and relayed.size + len(part) > MAX_UNSTATED_BYTES:
            raise ChannelBrokenError(
                f"more than {MAX_UNSTATED_BYTES} bytes without a stated length"
            )
        relayed.size += len(part)
        await request.responder.body(part)
    request.result = ReleaseResult.COMPLETE
    await request.responder.end()
    return Done(head.status)


async def _relay_events(
    request: RoutedRequest,
    channel: Channel,
    head: AnswerHead,
    on_first_byte: OnFirstByte,
    on_silence: OnSilence,
    steps: EventSteps,
) -> SendResult:
    """Relay complete events as they arrive.

    The caller's answer begins with the first event. What has none is no stream, unless
    it goes on after the last one.
    """
    # Parts of an event are no progress, so that an endpoint that only sends some now
    # and then counts as stalled.
    is_limited = channel.has_read_timeout()
    if is_limited:
        channel.read_until = trio.current_time() + STALLED_STREAM_S
    order = EventOrder(request.last_event_id, steps, more_fields=EVENT_FIELDS)
    pace = EventPace()
    goes_on = bool(request.last_event_id)
    try:
        while (part := await _next_part(channel, on_silence)) is not None:
            complete = order.feed(part)
            if not complete:
                continue
            if request.first_byte is None:
                on_first_byte()
            _start(request, head)
            _count_events(request, complete, order)
            await request.responder.body(complete)
            if pace.is_too_fast(order.events, request.last_byte):
                await pace.wait()
            if is_limited:
                # Not before, since the caller may have been slow.
                channel.read_until = trio.current_time() + STALLED_STREAM_S
            if order.stray is not None:
                raise order.stray
    except StrayEventError as error:
        raise ChannelBrokenError(f"not the stream: {error}") from None
    _check_end(order, may_be_empty=goes_on and head.is_delimited())
    request.result = ReleaseResult.COMPLETE
    _start(request, head)
    await request.responder.end()
    return Done(head.status)


def _check_end(order: EventOrder, may_be_empty: bool) -> None:
    """Check that a stream is whole.

    Raises
    ------
    ChannelBrokenError
        If it ended within an event, or without one where there must be some.
    """
    if order.is_within_event():
        raise ChannelBrokenError("the stream ended within an event")
    if not order.events and not may_be_empty:
        raise ChannelBrokenError("the stream ended without an event")


def _start(request: RoutedRequest, head: AnswerHead) -> None:
    """Begin the caller's answer, unless an earlier endpoint's answer has."""
    if not request.responder.started:
        _record_relayed(request, head, RelayedAs.EVENTS)
        request.responder.begin(head.status, response_headers(head.headers))


def _record_relayed(
    request: RoutedRequest, head: AnswerHead, relayed_as: RelayedAs, size: int = 0
) -> RelayedAnswer:
    """Record as what the first answer that the caller gets is relayed."""
    stated = ", ".join(stated_types(head.headers))
    request.relayed = RelayedAnswer(
        relayed_as, head.status, stated[:MAX_LOGGED_CHARS], head.framing(), size
    )
    return request.relayed


def _count_events(request: RoutedRequest, complete: bytes, order: EventOrder) -> None:
    """Count events and note the last event id, from which a stream can resume."""
    now = trio.current_time()
    request.events += complete.count(EVENT_END)
    if request.relayed is not None:
        request.relayed.size += len(complete)
    if request.first_event is None:
        request.first_event = now
    else:
        request.times.add(now - request.last_byte)
    request.last_byte = request.progress_at = now
    request.last_event_id = order.last_id


async def deliver(request: RoutedRequest, head: AnswerHead, body: bytes) -> None:
    """Send the caller an endpoint's complete answer."""
    if head.status not in NOT_RUN_STATUSES:
        _record_relayed(request, head, RelayedAs.WHOLE, len(body))
        headers = response_headers(head.headers)
        request.responder.hold_answer(0)
        await request.responder.send_answer(head.status, headers, body)
        return
    # The request has run; this status would tell the caller that it has not.
    detail = f"the endpoint answered {head.status}"
    refusal = Refusal(Reason.ENDPOINT_FAILED, detail, Outcome.MAY_HAVE_RUN)
    await refuse(
        request.responder, request.request_info, request.incoming.arrived, refusal
    )


async def refuse(
    responder: Responder, request_info: RequestInfo, arrived: float, refusal: Refusal
) -> None:
    """Send the caller a refusal as the final answer.

    Parameters
    ----------
    arrived : float
        When the request arrived, on the monotonic clock. It bounds the retry
        delay to a share of the caller's remaining time.
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

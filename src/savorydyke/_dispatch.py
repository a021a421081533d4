"""Dispatch: one task serves one request from arrival to its final answer.

Only this module sends requests to endpoints, and it sends each at most once.
Once a byte may have been sent, a refusal says "may have run".
"""

from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from dataclasses import dataclass, field, replace

import httpx
import trio

from savorydyke import _logs
from savorydyke._answer_budget import EventPace, WastefulAnswerError
from savorydyke._background import BackgroundTasks
from savorydyke._calls import Call, not_approved
from savorydyke._configuration import Configuration
from savorydyke._endpoint_client import (
    EndpointClient,
    Lost,
    NotSent,
    Opened,
    OpenResult,
)
from savorydyke._event_order import EventOrder, EventSteps, StrayEventError
from savorydyke._grant_client import GRANT_VALID_S, GrantClient, Granted, Refused
from savorydyke._ids import EndpointId, Outcome, Reason, ReleaseResult
from savorydyke._manifest import Endpoint
from savorydyke._problems import Refusal
from savorydyke._relay import RelayProgress
from savorydyke._untrusted import parse_json

MAX_ATTEMPTS = 4
RESUME_ATTEMPTS = 4
RESUME_PAUSE_S = 0.1
MAX_USAGE_BYTES = 1_000_000

log = _logs.component_logger("dispatch")


@dataclass
class Reply:
    """The caller's connection.

    Attributes
    ----------
    start : callable
        Sends status and headers.
    body : callable
        Sends bytes of the body.
    is_disconnected : callable
        Returns whether the caller has disconnected.
    """

    start: Callable[[int, list[tuple[bytes, bytes]]], Awaitable[None]]
    body: Callable[[bytes], Awaitable[None]]
    is_disconnected: Callable[[], bool] = lambda: False


@dataclass(frozen=True)
class Complete:
    """The complete answer was sent to the caller."""

    status: int


@dataclass(frozen=True)
class Truncated:
    """The answer is incomplete; the caller's connection must be closed abruptly."""

    cause: str


DispatchResult = Complete | Truncated | Refusal
_NO_ANSWER = Refusal(
    Reason.ENDPOINT_FAILED, "the endpoint did not answer", Outcome.MAY_HAVE_RUN
)


@dataclass
class Dispatch:
    """State of one request.

    Attributes
    ----------
    sent : bool
        Whether a byte of the request may have been sent.
    granted_at : float or None
        When the grant arrived.
    """

    call: Call
    reply: Reply
    sent: bool = False
    result: ReleaseResult = ReleaseResult.NOT_SENT
    granted_at: float | None = None
    progress: RelayProgress = field(default_factory=RelayProgress)
    output_tokens: int = 0
    endpoint: Endpoint | None = None
    replying: bool = False


@dataclass
class Dispatcher:
    """Dispatches requests to the endpoints that coordinators grant."""

    grant_client: GrantClient
    configuration: Configuration
    endpoint_client: EndpointClient
    background: BackgroundTasks

    async def run(self, dispatch: Dispatch) -> DispatchResult:
        """Answer a request that needs no claim, and return how it ended."""
        call = dispatch.call
        avoid: tuple[EndpointId, ...] = ()
        for _ in range(MAX_ATTEMPTS):
            answer = await self.grant_client.acquire(call.demand, avoid)
            if isinstance(answer, Refused):
                return refusal_from(answer)
            if answer.resume:
                return await self._use_resume_grant(dispatch, answer)
            result = await self._use_grant(dispatch, answer)
            if result is not None:
                return result
            avoid = (*avoid, answer.endpoint)
        detail = f"{MAX_ATTEMPTS} endpoints in turn could not be reached"
        return Refusal(Reason.NO_ENDPOINT, detail)

    async def _use_grant(
        self, dispatch: Dispatch, granted: Granted
    ) -> DispatchResult | None:
        """Use a grant; None if nothing was sent and another may be tried."""
        call = dispatch.call
        dispatch.granted_at = granted.received
        dispatch.result = ReleaseResult.NOT_SENT
        try:
            endpoint = self.permitted_endpoint(call, granted)
            if isinstance(endpoint, Refusal) and granted.probe:
                # The coordinator took over too recently to rule out an earlier run.
                return replace(endpoint, outcome=Outcome.MAY_HAVE_RUN)
            if not isinstance(endpoint, Endpoint):
                return endpoint
            found = await self._find_running(call, granted.probe)
            if found is not None:
                return await self._resume_at(dispatch, found)
            if self._is_expired(granted):
                return None
            return await self.send(dispatch, endpoint)
        finally:
            self.release(dispatch)

    def _is_expired(self, granted: Granted) -> bool:
        return trio.current_time() - granted.received > GRANT_VALID_S

    def permitted_endpoint(
        self, call: Call, granted: Granted
    ) -> Endpoint | Refusal | None:
        """Return the granted endpoint if the team may use it at present.

        Returns None if another grant is needed.
        """
        if self._is_expired(granted):
            return None
        if not self.grant_client.is_from_coordinator(call.pool.id, granted):
            # The new coordinator may have granted the same request id elsewhere.
            return None
        manifest = self.configuration.current(trio.current_time())
        if manifest is None:
            detail = "this instance can not tell whether its configuration is current"
            return Refusal(Reason.STALE_CONFIGURATION, detail)
        if granted.endpoint in manifest.reachable(call.team, call.pool.id):
            return manifest.endpoints[granted.endpoint]
        if not manifest.reachable(call.team, call.pool.id):
            return not_approved(call.pool.id)
        return None

    async def _find_running(
        self, call: Call, names: Iterable[EndpointId]
    ) -> EndpointId | None:
        """Return the endpoint that already has a stream of this request, if any."""
        if not names or self.configuration.manifest is None:
            return None
        found: list[EndpointId] = []
        endpoints = self.configuration.manifest.endpoints

        async def ask(name: EndpointId) -> None:
            if await self.endpoint_client.has_stream(endpoints[name], call.stream_id):
                found.append(name)

        async with trio.open_nursery() as nursery:
            for name in names:
                if name in endpoints:
                    nursery.start_soon(ask, name)
        return found[0] if found else None

    async def send(
        self, dispatch: Dispatch, endpoint: Endpoint
    ) -> DispatchResult | None:
        """Send a request once and relay its answer; None if nothing was sent."""
        call = dispatch.call
        dispatch.sent = True
        dispatch.endpoint = endpoint
        dispatch.result = ReleaseResult.CANCELLED
        opened = await self.endpoint_client.open(
            endpoint,
            call.head.method,
            call.target,
            self._headers(call),
            call.body,
            answer_timeout_s=call.demand.deadline - trio.current_time(),
        )
        if isinstance(opened, NotSent):
            dispatch.sent = False
            dispatch.result = ReleaseResult.UNREACHABLE
            return None
        is_stream = call.streamed
        if isinstance(opened, Opened) and is_stream:
            is_stream = 200 <= opened.status < 300
            if is_stream:
                opened = await self._checked(dispatch, opened)
        if isinstance(opened, Lost):
            dispatch.result = ReleaseResult.TRUNCATED
            opened = await self._resume_answer(dispatch, endpoint, is_stream)
            if isinstance(opened, Opened) and is_stream:
                opened = await self._checked(dispatch, opened)
        if not isinstance(opened, Opened):
            return _NO_ANSWER
        return await self._relay(dispatch, endpoint, opened, is_stream)

    async def _checked(self, dispatch: Dispatch, opened: Opened) -> Opened | Lost:
        """Return an answer if it says that it is the stream that was asked for."""
        why = opened.why_not_stream()
        if not why:
            return opened
        await opened.close()
        extra = {"request": dispatch.call.head.request_id, "why": why}
        log.warning("Answer is no stream.", extra=extra)
        return Lost(f"not a stream: {why}")

    def _headers(self, call: Call) -> list[tuple[bytes, bytes]]:
        dropped = {b"x-request-id"}
        if call.streamed:
            # The events of an encoded stream could not be read.
            dropped.add(b"accept-encoding")
        headers = [(n, v) for n, v in call.head.headers if n.lower() not in dropped]
        return [*headers, (b"x-request-id", call.stream_id.encode())]

    # Relaying

    async def _relay(
        self, dispatch: Dispatch, endpoint: Endpoint, opened: Opened, is_stream: bool
    ) -> DispatchResult:
        """Relay an answer; resume it after a failure if the endpoint supports that."""
        for _ in range(RESUME_ATTEMPTS):
            if is_stream:
                last = dispatch.progress.events
                opened.chunks = _events_after(last, opened.chunks, endpoint.resumes)
            else:
                await self._start_reply(dispatch, opened)
            if await self._relay_chunks(dispatch, opened, is_stream):
                return self._completed(dispatch, opened.status)
            resumed = await self._resume_answer(dispatch, endpoint, is_stream)
            if not isinstance(resumed, Opened):
                break
            opened = resumed
            if is_stream == bool(opened.why_not_stream()):
                await opened.close()
                break
        dispatch.result = ReleaseResult.TRUNCATED
        if not dispatch.replying:
            return _NO_ANSWER
        return Truncated("the endpoint ended the answer early")

    async def _start_reply(self, dispatch: Dispatch, opened: Opened) -> None:
        """Begin the caller's answer, unless an earlier connection's answer has."""
        if dispatch.replying:
            return
        headers = [
            (n, v) for n, v in opened.headers if n.lower() != b"x-request-id"
        ] + [(b"x-request-id", dispatch.call.head.request_id.encode())]
        dispatch.replying = True
        await dispatch.reply.start(opened.status, headers)

    async def _relay_chunks(
        self, dispatch: Dispatch, opened: Opened, is_stream: bool
    ) -> bool:
        """Relay the bytes of one connection; return whether the answer is complete.

        The caller's answer begins with the first event of a stream.
        """
        progress = dispatch.progress
        last = b""
        try:
            async for chunk in opened.chunks:
                new_bytes = progress.feed(chunk)
                if progress.first_byte == progress.last_byte:
                    self._note_first_byte(dispatch)
                if new_bytes:
                    await self._start_reply(dispatch, opened)
                    await dispatch.reply.body(new_bytes)
                    last = new_bytes
        except (httpx.HTTPError, StrayEventError, WastefulAnswerError) as error:
            log.warning(
                "Answer interrupted.",
                extra={
                    "request": dispatch.call.head.request_id,
                    "error": repr(error),
                    "events": progress.events,
                },
            )
            return False
        finally:
            await opened.close()
        if is_stream:
            dispatch.output_tokens = max(0, progress.events - 1)
            return progress.is_finished()
        dispatch.output_tokens = _usage(last)
        return True

    def _note_first_byte(self, dispatch: Dispatch) -> None:
        if dispatch.granted_at is not None and dispatch.progress.first_byte:
            first_byte_s = dispatch.progress.first_byte - dispatch.granted_at
            self.grant_client.started(dispatch.call.demand.key, first_byte_s)

    def _completed(self, dispatch: Dispatch, status: int) -> Complete:
        dispatch.result = ReleaseResult.COMPLETE
        return Complete(status)

    async def _resume_answer(
        self, dispatch: Dispatch, endpoint: Endpoint, is_stream: bool
    ) -> OpenResult:
        """Resume an interrupted answer after the part that has been relayed."""
        if not endpoint.resumes:
            return Lost("the endpoint does not resume")
        progress = dispatch.progress
        result: OpenResult = Lost("not tried")
        for attempt in range(RESUME_ATTEMPTS):
            await trio.sleep(RESUME_PAUSE_S * attempt)
            progress.rewind(is_stream)
            result = await self.endpoint_client.resume(
                endpoint, dispatch.call.stream_id, progress.events
            )
            if isinstance(result, Opened):
                if result.status == 200:
                    return result
                await result.close()
                return Lost(f"status {result.status}")
        return result

    async def _use_resume_grant(
        self, dispatch: Dispatch, granted: Granted
    ) -> DispatchResult:
        """Use a grant that only permits resuming an earlier dispatch."""
        dispatch.result = ReleaseResult.DISCONNECTED
        try:
            return await self._resume_at(dispatch, granted.endpoint)
        finally:
            self.release(dispatch)

    async def _resume_at(self, dispatch: Dispatch, name: EndpointId) -> DispatchResult:
        """Answer a request that an endpoint already runs, without sending it again."""
        dispatch.sent = True
        manifest = self.configuration.current(trio.current_time())
        endpoint = manifest.endpoints.get(name) if manifest else None
        detail = "the request was dispatched earlier and can not be taken up"
        lost = Refusal(Reason.UNKNOWN_OUTCOME, detail, Outcome.MAY_HAVE_RUN)
        if endpoint is None:
            return lost
        dispatch.progress.events = dispatch.call.head.last_event
        opened = await self._resume_answer(dispatch, endpoint, is_stream=True)
        if not isinstance(opened, Opened):
            return lost
        is_stream = not opened.why_not_stream()
        if not is_stream and not self._may_be_whole(dispatch.call, opened):
            await opened.close()
            return lost
        return await self._relay(dispatch, endpoint, opened, is_stream)

    def _may_be_whole(self, call: Call, opened: Opened) -> bool:
        """Return whether an answer that is taken up may be one that is not streamed.

        A caller that asks for a request by its id only does not say which it was.
        """
        if call.head.last_event or (call.streamed and call.head.method != "GET"):
            return False
        return opened.is_json()

    async def resume_earlier(
        self, dispatch: Dispatch, calls: list[Call]
    ) -> DispatchResult:
        """Resume a request that was dispatched earlier, in any of its pools."""
        for call in calls:
            dispatch.call = call
            answer = await self.grant_client.acquire(call.demand)
            if isinstance(answer, Granted):
                return await self._use_resume_grant(dispatch, answer)
        manifest = self.configuration.current(trio.current_time())
        for call in calls if manifest else []:
            assert manifest is not None
            names = manifest.reachable(call.team, call.pool.id)
            resumable = [name for name in names if manifest.endpoints[name].resumes]
            found = await self._find_running(call, resumable)
            if found is not None:
                dispatch.call = call
                return await self._resume_at(dispatch, found)
        detail = "no endpoint has a request of this id; it may have run and ended"
        return Refusal(Reason.NOT_FOUND, detail, Outcome.MAY_HAVE_RUN)

    def release(self, dispatch: Dispatch) -> None:
        """Release the grant and report to the coordinator how the request ended."""
        if dispatch.result is ReleaseResult.CANCELLED:
            self._abandon_stream(dispatch)
        self.grant_client.release(
            dispatch.call.demand.key,
            dispatch.result,
            dispatch.output_tokens,
            dispatch.progress.decode_s(),
        )

    def _abandon_stream(self, dispatch: Dispatch) -> None:
        """Cancel a disconnected caller's stream, unless the caller may resume it."""
        if not dispatch.sent or dispatch.endpoint is None:
            return
        if not dispatch.endpoint.resumes:
            return
        if dispatch.call.head.has_caller_id:
            dispatch.result = ReleaseResult.DISCONNECTED
            return
        self.background.start_soon(
            self.endpoint_client.cancel, dispatch.endpoint, dispatch.call.stream_id
        )


def refusal_from(refused: Refused) -> Refusal:
    """Return the final answer for a refusal by the coordinator."""
    outcome = Outcome.MAY_HAVE_RUN if refused.may_have_run else Outcome.NOT_RUN
    return Refusal(refused.reason, refused.detail, outcome, refused.retry_s)


async def _events_after(
    last: int, chunks: AsyncIterator[bytes], needs_ids: bool
) -> AsyncIterator[bytes]:
    """Yield the events of a stream, if they are those after the last one.

    Parameters
    ----------
    needs_ids : bool
        Whether they have ids. Those of endpoints that resume streams do.

    Raises
    ------
    StrayEventError
        If anything else comes.
    """
    order = EventOrder(
        str(last), EventSteps({1}), has_fixed_steps=True, needs_ids=needs_ids
    )
    pace = EventPace()
    async for chunk in chunks:
        if events := order.feed(chunk):
            yield events
            if pace.is_too_fast(order.events, trio.current_time()):
                await pace.wait()
        if order.stray is not None:
            raise order.stray


def _usage(chunk: bytes) -> int:
    """Return the number of generated tokens that an answer reports, or 0."""
    if len(chunk) > MAX_USAGE_BYTES:
        return 0
    try:
        return int(parse_json(chunk)["usage"]["completion_tokens"])
    except (ValueError, KeyError, TypeError):
        return 0

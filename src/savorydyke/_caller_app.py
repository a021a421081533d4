"""ASGI application for callers of approved teams.

Requests of the data path are handled here directly; everything else goes to
the pages of `_http_apps`. Each request is one task, which ends with exactly one
final answer or a connection closed before its end.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from typing import Any

import trio

from savorydyke import _logs
from savorydyke._calls import (
    MODEL_PATHS,
    SERVICE_PREFIX,
    Call,
    RequestHead,
    new_request_id,
    not_approved,
    parse_head,
    parse_model_call,
    parse_service_call,
    pool_of_service,
    stream_id,
)
from savorydyke._configuration import Configuration
from savorydyke._dispatch import (
    Complete,
    Dispatch,
    Dispatcher,
    DispatchResult,
    Reply,
    Truncated,
)
from savorydyke._dispatch_at_most_once import AtMostOnceDispatcher
from savorydyke._grant_client import Demand
from savorydyke._ids import (
    Outcome,
    Reason,
    ReleaseResult,
    RequestId,
    TeamId,
    TierId,
    request_key,
)
from savorydyke._manifest import Manifest, PoolKind
from savorydyke._metrics import Metrics
from savorydyke._problems import Refusal
from savorydyke._settings import Limits

RESUME_PREFIX = "/v1/requests/"
RESUME_DEADLINE_S = 600.0
UNKNOWN_TEAM = TeamId("(unknown)")
UNKNOWN_TIER = TierId("(unknown)")

log = _logs.component_logger("callers")

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]


class CallerDisconnectedError(Exception):
    """Raised when a caller disconnects before it has sent its whole request."""


@dataclass
class Exchange:
    """A request of a caller and the connection on which it is answered."""

    receive: Receive
    send: Send
    arrived: float
    head: RequestHead | None = None
    team: TeamId = UNKNOWN_TEAM
    tier: TierId = UNKNOWN_TIER
    request_id: RequestId = field(default_factory=new_request_id)
    held_bytes: int = 0
    disconnected: bool = False

    async def start(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Send status and headers."""
        await self.send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )

    async def body(self, data: bytes) -> None:
        """Send a part of the body."""
        await self.send({"type": "http.response.body", "body": data, "more_body": True})

    async def end(self) -> None:
        """Send the end of the body."""
        await self.send({"type": "http.response.body", "body": b"", "more_body": False})

    async def refuse(self, refusal: Refusal) -> None:
        """Send a refusal as the final answer."""
        body = refusal.body(self.request_id)
        headers = refusal.headers(self.request_id)
        headers.append((b"content-length", str(len(body)).encode()))
        await self.start(refusal.status, headers)
        await self.body(body)
        await self.end()


@dataclass
class CallerApp:
    """The ASGI application for callers.

    Attributes
    ----------
    pages_app : callable
        The application that serves all other paths.
    stopping : bool
        Whether new requests are refused.
    active : int
        Requests in progress.
    requests : set of RequestId
        Ids of the requests in progress that have been read and validated.
    held_bytes : int
        Size of the request bodies in memory, in bytes.
    aborting : trio.Event
        Set when the requests in progress are to end.
    """

    dispatcher: Dispatcher
    at_most_once: AtMostOnceDispatcher
    configuration: Configuration
    metrics: Metrics
    limits: Limits
    pages_app: App
    stopping: bool = False
    active: int = 0
    requests: set[RequestId] = field(default_factory=set)
    held_bytes: int = 0
    aborting: trio.Event = field(default_factory=trio.Event)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI scope."""
        if scope["type"] != "http" or not _is_data_path(scope["path"]):
            await self.pages_app(scope, receive, send)
            return
        exchange = Exchange(receive, send, trio.current_time())
        self.active += 1
        try:
            await self._serve(scope, exchange)
        except CallerDisconnectedError:
            self._count(exchange, "caller-gone")
        finally:
            self.active -= 1
            self.held_bytes -= exchange.held_bytes

    async def _serve(self, scope: Scope, exchange: Exchange) -> None:
        calls = await self._read(scope, exchange)
        if isinstance(calls, Refusal) and scope["path"].startswith(RESUME_PREFIX):
            # As far as the caller knows, the request was dispatched earlier.
            calls = replace(calls, outcome=Outcome.MAY_HAVE_RUN)
        if isinstance(calls, Refusal):
            self._count_refusal(exchange, calls)
            await exchange.refuse(calls)
            return
        reply = Reply(exchange.start, exchange.body, lambda: exchange.disconnected)
        dispatch = Dispatch(calls[0], reply)
        self.requests.add(exchange.request_id)
        try:
            result = await self._run_until_disconnect(exchange, dispatch, calls)
        finally:
            self.requests.discard(exchange.request_id)
        self._record_metrics(exchange, dispatch, result)
        if exchange.disconnected or result is None:
            return
        if isinstance(result, Refusal) and not dispatch.replying:
            await exchange.refuse(result)
        elif isinstance(result, Complete):
            await exchange.end()
        # Otherwise the answer is truncated: returning without its end makes the
        # server close the connection, so that the caller sees it is incomplete.

    async def _run_until_disconnect(
        self, exchange: Exchange, dispatch: Dispatch, calls: list[Call]
    ) -> DispatchResult | None:
        """Run a dispatch; cancel it and return None if the caller disconnects.

        It is also cancelled when the requests in progress are to end.
        """
        result: DispatchResult | None = None
        async with trio.open_nursery() as nursery:

            async def watch_caller() -> None:
                while (await exchange.receive())["type"] != "http.disconnect":
                    pass
                exchange.disconnected = True
                nursery.cancel_scope.cancel()

            async def watch_abort() -> None:
                await self.aborting.wait()
                nursery.cancel_scope.cancel()

            nursery.start_soon(watch_caller)
            nursery.start_soon(watch_abort)
            result = await self._dispatch(dispatch, calls)
            nursery.cancel_scope.cancel()
        if result is None and not exchange.disconnected:
            return _aborted(dispatch)
        return result

    async def _dispatch(self, dispatch: Dispatch, calls: list[Call]) -> DispatchResult:
        if dispatch.call.demand.resume_only:
            return await self.dispatcher.resume_earlier(dispatch, calls)
        if dispatch.call.idempotency_key:
            return await self.at_most_once.run(dispatch)
        return await self.dispatcher.run(dispatch)

    # Reading

    async def _read(self, scope: Scope, exchange: Exchange) -> list[Call] | Refusal:
        """Return the validated request, or why it is refused."""
        head = parse_head(scope)
        if isinstance(head, Refusal):
            return head
        exchange.head = head
        exchange.request_id = head.request_id
        now = trio.current_time()
        manifest = self.configuration.current(now)
        refusal = self._refuse_early(head, manifest)
        if refusal is not None:
            # Another instance may have run a request of the same id or key.
            is_identified = head.has_caller_id or head.idempotency_key
            outcome = Outcome.MAY_HAVE_RUN if is_identified else Outcome.NOT_RUN
            return replace(refusal, outcome=outcome)
        assert manifest is not None
        team = manifest.team_with_key(head.bearer) if head.bearer else None
        if team is None:
            return Refusal(Reason.BAD_KEY, "the bearer key is missing or unknown")
        exchange.team = team
        exchange.tier = manifest.teams[team].tier
        if head.path.startswith(RESUME_PREFIX):
            return _resume_calls(head, team, manifest, now)
        early = _refuse_without_body(head, team, manifest)
        if early is not None:
            return early
        body = await self._read_body(exchange, head)
        if isinstance(body, Refusal):
            return body
        is_model = head.path in MODEL_PATHS
        parse = parse_model_call if is_model else parse_service_call
        call = parse(head, team, manifest, body, now)
        return call if isinstance(call, Refusal) else [call]

    def _refuse_early(
        self, head: RequestHead, manifest: Manifest | None
    ) -> Refusal | None:
        """Return a refusal that depends on neither the team nor the body."""
        if self.stopping:
            return Refusal(Reason.STOPPING, "this instance is stopping")
        if manifest is None and self.configuration.manifest is None:
            detail = "this instance has no configuration yet"
            return Refusal(Reason.NO_CONFIGURATION, detail)
        if manifest is None:
            detail = "this instance can not tell whether its configuration is current"
            return Refusal(Reason.STALE_CONFIGURATION, detail)
        if self.active > self.limits.max_requests:
            detail = f"the instance holds {self.limits.max_requests} requests"
            return Refusal(Reason.OVERLOADED, detail, retry_s=1.0)
        if (head.length or 0) > self.limits.max_body_bytes:
            return self._too_large()
        return None

    def _too_large(self) -> Refusal:
        detail = f"the body is larger than {self.limits.max_body_bytes} bytes"
        return Refusal(Reason.TOO_LARGE, detail)

    async def _read_body(
        self, exchange: Exchange, head: RequestHead
    ) -> bytes | Refusal:
        chunks: list[bytes] = []
        with trio.move_on_after(self.limits.body_timeout_s):
            while True:
                message = await exchange.receive()
                if message["type"] == "http.disconnect":
                    raise CallerDisconnectedError
                chunk = message.get("body", b"")
                chunks.append(chunk)
                exchange.held_bytes += len(chunk)
                self.held_bytes += len(chunk)
                if exchange.held_bytes > self.limits.max_body_bytes:
                    return self._too_large()
                if self.held_bytes > self.limits.max_held_bytes:
                    detail = "the instance holds too many bytes of requests"
                    return Refusal(Reason.OVERLOADED, detail, retry_s=1.0)
                if not message.get("more_body", False):
                    return b"".join(chunks)
        detail = f"the body did not arrive within {self.limits.body_timeout_s:g} s"
        return Refusal(Reason.BAD_REQUEST, detail)

    # Measuring

    def _count(self, exchange: Exchange, how: str) -> None:
        labels = {"tier": exchange.tier, "team": exchange.team, "result": how}
        self.metrics.answers.inc(labels)

    def _count_refusal(self, exchange: Exchange, refusal: Refusal) -> None:
        self._count(exchange, "refused")
        self.metrics.count_refusal(
            exchange.tier, exchange.team, refusal.reason, refusal.outcome
        )
        log.info(
            "Request refused.",
            extra={
                "request": exchange.request_id,
                "team": exchange.team,
                "reason": refusal.reason.value,
                "outcome": refusal.outcome.value,
            },
        )

    def _record_metrics(
        self, exchange: Exchange, dispatch: Dispatch, result: DispatchResult | None
    ) -> None:
        tier, team, metrics = exchange.tier, exchange.team, self.metrics
        now = trio.current_time()
        granted = dispatch.granted_at if dispatch.granted_at is not None else now
        metrics.observe(metrics.waiting, tier, team, granted - exchange.arrived)
        progress = dispatch.progress
        if progress.first_byte is not None:
            first_s = progress.first_byte - exchange.arrived
            metrics.observe(metrics.first_token, tier, team, first_s)
            metrics.merge_events(tier, team, progress.times)
        if isinstance(result, Refusal):
            self._count_refusal(exchange, result)
        elif isinstance(result, Complete):
            self._count(exchange, "complete")
            metrics.observe(metrics.total, tier, team, now - exchange.arrived)
        elif isinstance(result, Truncated):
            self._count(exchange, "cut")
        else:
            self._count(exchange, "caller-gone")
        self._record_wasted_prefill(exchange, dispatch, now)

    def _record_wasted_prefill(
        self, exchange: Exchange, dispatch: Dispatch, now: float
    ) -> None:
        if dispatch.call.pool.kind is not PoolKind.ENGINE or not dispatch.sent:
            return
        is_complete = dispatch.result is ReleaseResult.COMPLETE
        if is_complete and now <= dispatch.call.demand.deadline:
            return
        labels = {
            "tier": exchange.tier,
            "team": exchange.team,
            "result": "late" if is_complete else dispatch.result.value,
        }
        tokens = dispatch.call.demand.prompt_tokens
        self.metrics.wasted_prefill.add(labels, tokens)


def _aborted(dispatch: Dispatch) -> DispatchResult:
    """Return how a request ends whose dispatch was cancelled by a stop."""
    detail = "this instance has stopped"
    if dispatch.replying:
        return Truncated(detail)
    head = dispatch.call.head
    # Another instance may have run a request of the same id or key.
    may_have_run = dispatch.sent or head.has_caller_id or head.idempotency_key
    outcome = Outcome.MAY_HAVE_RUN if may_have_run else Outcome.NOT_RUN
    return Refusal(Reason.STOPPING, detail, outcome)


def _is_data_path(path: str) -> bool:
    return path in MODEL_PATHS or path.startswith((SERVICE_PREFIX, RESUME_PREFIX))


def _refuse_without_body(
    head: RequestHead, team: TeamId, manifest: Manifest
) -> Refusal | None:
    """Return a refusal that does not depend on the body."""
    if head.path in MODEL_PATHS:
        if head.method != "POST":
            return Refusal(Reason.BAD_REQUEST, "only POST is possible here")
        return None
    pool_id, _ = pool_of_service(head.path)
    pool = manifest.pools.get(pool_id)
    if pool is None or pool.kind is not PoolKind.SERVICE:
        return Refusal(Reason.UNKNOWN_POOL, f"no service pool named {pool_id!r}")
    if not manifest.reachable(team, pool_id):
        return not_approved(pool_id)
    return None


def _resume_calls(
    head: RequestHead, team: TeamId, manifest: Manifest, now: float
) -> list[Call] | Refusal:
    """Return one call for each engine pool in which the request may be running."""
    wanted = RequestId(head.path.removeprefix(RESUME_PREFIX))
    head = replace(head, request_id=wanted, has_caller_id=True)
    pools = [
        pool
        for pool in manifest.pools.values()
        if pool.kind is PoolKind.ENGINE and manifest.reachable(team, pool.id)
    ]
    if not pools or head.method != "GET":
        return Refusal(Reason.NOT_FOUND, "no request of this id can be taken up")
    return [
        Call(
            head=head,
            team=team,
            pool=pool,
            target=f"/v1/streams/{stream_id(team, wanted)}",
            body=b"",
            streamed=True,
            demand=Demand(
                key=request_key(team, wanted),
                pool=pool.id,
                team=team,
                model="",
                prompt_tokens=1,
                output_tokens=1,
                prefix=(),
                deadline=now + RESUME_DEADLINE_S,
                has_caller_id=True,
                resume_only=True,
            ),
        )
        for pool in pools
    ]

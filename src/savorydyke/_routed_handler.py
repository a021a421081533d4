"""Handler of routed requests: one task serves one request.

Only this module sends routed requests to endpoints. A request that must not be
retried is sent once; after that, only an explicit statement of the endpoint
counts as proof that the request did not run.
"""

import math
import random
from dataclasses import dataclass, field, replace

import trio

from savorydyke import _logs
from savorydyke._background import BackgroundTasks
from savorydyke._configuration_age import boot_time
from savorydyke._directory import Directory
from savorydyke._endpoint_observer import EndpointObserver
from savorydyke._endpoint_ways import (
    EndpointWays,
    NoWayError,
    Way,
    endpoint_head,
    forward_result,
)
from savorydyke._event_order import EventSteps
from savorydyke._forward_headers import ForwardResult
from savorydyke._grant_client import (
    FALLBACK,
    Demand,
    GrantClient,
    Granted,
    Refused,
)
from savorydyke._http1 import (
    AnswerHead,
    ChannelBrokenError,
    ChannelRefusedError,
    ChannelStaleError,
    ChannelTimeoutError,
    OutgoingRequest,
)
from savorydyke._ids import (
    NO_STREAM,
    UNKNOWN_VERSION,
    EndpointId,
    InstanceId,
    Outcome,
    PoolId,
    Reason,
    ReleaseResult,
    RequestId,
    RequestKey,
    SoftwareVersion,
    TeamId,
    TierId,
    request_key,
)
from savorydyke._ingress import IncomingRequest, Rejected, Responder
from savorydyke._late_answers import (
    CALLER_GONE_S,
    EXPIRED_S,
    SILENT_S,
    LateAnswers,
)
from savorydyke._lost_answers import LostAnswers
from savorydyke._manifest import SERVICE_CALL_TOKENS, Endpoint
from savorydyke._metrics import Metrics
from savorydyke._overload import Overload
from savorydyke._problems import Refusal
from savorydyke._quarantine import HELD_BACK_DETAIL, Quarantine
from savorydyke._route_pools import RoutePools
from savorydyke._routed_relay import (
    MIN_RETRY_S,
    NO_CAPACITY_RETRY_S,
    deliver,
    read_head,
    refuse,
    relay_answer,
)
from savorydyke._routed_request import (
    Done,
    Failed,
    Lost,
    NotRun,
    ReservedGrant,
    RoutedRequest,
    SendResult,
    describe,
    request_digest,
    shared_parts,
    was_not_sent,
)
from savorydyke._routes import PUBLIC_TEAM, Route, RoutedConfiguration
from savorydyke._send_check import SendCheck
from savorydyke._silent_endpoints import RECHECK_S, EndpointActivity
from savorydyke._stream_versions import StreamVersions
from savorydyke._timing import REVOKE_MARGIN_S
from savorydyke.platform import (
    BadRequestHeadError,
    RequestInfo,
    endpoint_headers,
    parse_request_headers,
    parse_response_headers,
    refusal_headers,
)
from savorydyke.rollouts import route_tag
from savorydyke.scheduling import chained_parts
from savorydyke.serving import end_fields, hold, refusal_of_ended

MAX_UNSENT = 3
"""Number of endpoints after which a request that could not be sent is refused."""
REJECT_MAX_AGE_S = 1.5
"""Configuration age up to which unknown keys and paths are rejected.

With an older configuration they may have been added in the meantime.
"""
STALL_SHARE = 0.45
"""Share of the objective after which another endpoint can still answer in time."""
STALL_FACTOR = 4.0
"""A first byte later than this multiple of its predicted time counts as stalled."""
MIN_STALL_S = 0.2
ALTERNATIVE_FIRST_BYTE_S = 0.4
"""Time in which another endpoint must send a first byte to replace a silent one."""

NEW_ENDPOINT_WAIT_S = 0.1
"""Time to read of an endpoint that is not known yet: the store answers in some ms."""

TOO_LONG_DETAIL = "this instance stops before the request would have to end"
NO_KEY = RequestKey("")
MOVED_DETAIL = "the pool that began this stream does not serve its route any more"

UNKNOWN_TEAM = TeamId("(unknown)")
UNKNOWN_TIER = TierId("(unknown)")

log = _logs.component_logger("request")


@dataclass
class RoutedHandler:
    """Serves the requests of routed callers.

    Attributes
    ----------
    background : BackgroundTasks
        Runs the tasks that send the rest of a long body while its answer is read.
    revocation_s : float
        Time after which a revoked key must no longer be accepted.
    refusing : bool
        Whether new requests are refused because the instance is stopping.
    stop_at : float
        When requests in progress will be ended because the instance is stopping, on
        the monotonic clock.
    aborting : bool
        Whether the requests in progress are ended because the instance is stopping.
    scopes : set of trio.CancelScope
        Those of the requests in progress.
    waiting : dict of trio.CancelScope to float
        Those of the waits for grants, and when their requests expire.
    activity : EndpointActivity
        When endpoints were heard of.
    event_steps : dict of PoolId to EventSteps
        The usual steps between the ids of events, by pool.
    incarnation : int
        Distinguishes this process from earlier ones of the same instance,
        whose requests a coordinator may still hold.
    """

    instance: InstanceId
    directory: Directory
    grant_client: GrantClient
    background: BackgroundTasks
    rng: random.Random
    revocation_s: float
    ways: EndpointWays
    check: SendCheck
    observer: EndpointObserver
    late_answers: LateAnswers
    quarantine: Quarantine
    lost_answers: LostAnswers
    overload: Overload
    versions: StreamVersions
    route_pools: RoutePools
    metrics: Metrics
    activity: EndpointActivity = field(default_factory=EndpointActivity)
    event_steps: dict[PoolId, EventSteps] = field(default_factory=dict)
    refusing: bool = False
    stop_at: float = math.inf
    aborting: bool = False
    scopes: set[trio.CancelScope] = field(default_factory=set)
    waiting: dict[trio.CancelScope, float] = field(default_factory=dict)
    incarnation: int = 0
    serial: int = 0

    # One request

    async def handle(self, incoming: IncomingRequest, responder: Responder) -> None:
        """Answer one request."""
        try:
            request_info = parse_request_headers(incoming.headers)
        except BadRequestHeadError as error:
            await self._refuse_unread(responder, "", Reason.BAD_REQUEST, str(error))
            return
        request = self._accept(incoming, responder, request_info)
        if isinstance(request, Refusal):
            await refuse(responder, request_info, incoming.arrived, request)
            self._log_refusal(request_info, request, None)
            return
        try:
            refusal = await self._answer(request)
            await responder.drain()
        except BaseException:
            self._record_end(request, "caller gone")
            raise
        if refusal is None:
            self._record_end(request, "answered" if responder.finished else "cut")
            return
        self._log_refusal(request_info, refusal, request)
        self._record_end(request, refusal.reason.value)
        if not responder.started:
            await refuse(responder, request_info, incoming.arrived, refusal)

    async def refuse_unreadable(self, responder: Responder, rejected: Rejected) -> None:
        """Answer a request that could not be read."""
        is_full = rejected.status == 503
        reason = Reason.OVERLOADED if is_full else Reason.BAD_REQUEST
        refusal = Refusal(reason, rejected.detail)
        log.info(
            "Request unreadable.",
            extra={"status": rejected.status, "why": rejected.detail},
        )
        retry_s = MIN_RETRY_S if is_full else None
        headers = [*refusal_headers("", retry_s), (b"Connection", b"close")]
        await responder.send_answer(rejected.status, headers, refusal.body(""))

    async def _refuse_unread(
        self, responder: Responder, request_id: str, reason: Reason, detail: str
    ) -> None:
        refusal = Refusal(reason, detail)
        headers = refusal_headers(request_id, None)
        await responder.send_answer(refusal.status, headers, refusal.body(request_id))

    # Admission

    def _accept(
        self, incoming: IncomingRequest, responder: Responder, request_info: RequestInfo
    ) -> RoutedRequest | Refusal:
        """Return the admitted request, or why it is refused."""
        configuration = self.directory.configuration
        if configuration is None or not self.directory.loaded:
            return Refusal(Reason.NO_CONFIGURATION, "no configuration is known yet")
        if self.refusing:
            return Refusal(Reason.STOPPING, "this instance is stopping", retry_s=0.1)
        if self.overload.is_overloaded(incoming.arrived):
            # Retries go to other instances.
            detail = "this instance is overloaded"
            return Refusal(Reason.OVERLOADED, detail, retry_s=MIN_RETRY_S)
        age_s = self.directory.configuration_age.age_s(boot_time())
        path = incoming.target.partition(b"?")[0].decode("latin-1")
        route = configuration.match(request_info.host, path)
        team = self._team(configuration, route, request_info, age_s)
        if isinstance(team, Refusal):
            return team
        assert route is not None
        timeout_s = route.timeout_s
        if request_info.deadline_s is not None:
            timeout_s = min(timeout_s, request_info.deadline_s)
        if not route.is_retryable and incoming.arrived + timeout_s > self.stop_at:
            return Refusal(Reason.STOPPING, TOO_LONG_DETAIL, retry_s=MIN_RETRY_S)
        stream = _stream(team, route, request_info)
        pools: tuple[PoolId, ...] = (route.choose_pool(self.rng.random()),)
        is_certain = True
        if stream and request_info.last_event_id:
            host = request_info.host
            pools, is_certain = self._pools_of_stream(stream, route, host, path)
        if not pools:
            return Refusal(Reason.UNKNOWN_STREAM, MOVED_DETAIL)
        return RoutedRequest(
            incoming=incoming,
            responder=responder,
            request_info=request_info,
            route=route,
            team=team,
            pool=pools[0],
            other_pools=pools[1:],
            is_pool_certain=is_certain,
            asked=boot_time(),
            expires=incoming.arrived + timeout_s,
            quota_tokens=_quota_tokens(configuration, team, request_info),
            config_version=configuration.version,
            config_age_s=age_s,
            tier=_tier(configuration, team, route),
            parts=shared_parts(request_info.prefix),
            digest=request_digest(team, request_info.host, incoming),
            last_event_id=request_info.last_event_id,
            stream=stream,
        )

    def _pools_of_stream(
        self, stream: RequestKey, route: Route, host: str, path: str
    ) -> tuple[tuple[PoolId, ...], bool]:
        """Return the pools of a route in which a stream may have begun.

        There is none if the one that began it is known and no target any more. Also
        returns whether it can have begun in no other pool.
        """
        now = boot_time()
        targets = route.pools()
        candidates = self.route_pools.candidates(host, path, now) | set(targets)
        pool = self.versions.pool_of(stream, candidates, now)
        if pool is not None:
            return ((pool,) if pool in targets else ()), True
        return targets, len(candidates) == 1

    def _team(
        self,
        configuration: RoutedConfiguration,
        route: Route | None,
        request_info: RequestInfo,
        age_s: float,
    ) -> TeamId | Refusal:
        """Return the calling team of a request, or why the request is refused."""
        is_recent = age_s <= REJECT_MAX_AGE_S
        stale = Refusal(
            Reason.STALE_CONFIGURATION,
            f"the configuration was last confirmed {age_s:.1f} s ago",
            retry_s=NO_CAPACITY_RETRY_S,
        )
        if route is None:
            if not is_recent:
                return stale
            return Refusal(Reason.NOT_FOUND, "no route matches the host and path")
        if route.public or not configuration.teams:
            return PUBLIC_TEAM
        if age_s > self.revocation_s - REVOKE_MARGIN_S:
            return stale
        team = configuration.team_of_key.get(request_info.key)
        if team is not None:
            return team
        if not is_recent:
            return stale
        return Refusal(Reason.BAD_KEY, "the bearer key is missing or unknown")

    # Attempts

    async def _answer(self, request: RoutedRequest) -> Refusal | None:
        """Answer a request before it expires; return a refusal if that fails."""
        scope = trio.CancelScope(deadline=request.expires)
        self.scopes.add(scope)
        hold(request, scope)
        try:
            with scope:
                return await self._run_attempts(request)
        finally:
            self.scopes.discard(scope)
            if request.reserved is not None:
                self.grant_client.release(request.reserved.key, ReleaseResult.NOT_SENT)
        if request.responder.started:
            return None
        return refusal_of_ended(request, self.aborting)

    def stop_taking(self) -> None:
        """Refuse new requests, and those that wait and may take until after the stop.

        They have not been sent, so that another instance can serve them.
        """
        self.refusing = True
        for scope, expires in self.waiting.items():
            if expires > self.stop_at:
                scope.cancel()

    def abort(self) -> None:
        """End the requests in progress; callers without an answer are told so."""
        self.refusing = self.aborting = True
        for scope in self.scopes:
            scope.cancel()

    async def _run_attempts(self, request: RoutedRequest) -> Refusal | None:
        while True:
            held = self._held_back(request)
            if held is not None:
                return await self._final_answer(request, held)
            key, answer = await self._acquire(request)
            if isinstance(answer, Refused):
                return await self._final_answer(request, answer)
            result = await self._use_grant(request, answer, key)
            if isinstance(result, Done):
                return None
            self._log_attempt(request, answer, result)
            request.avoid.append(answer.endpoint)
            if not self._may_retry(request, result):
                return await self._final_answer(request, result)

    def _held_back(self, request: RoutedRequest) -> Refused | None:
        """Return a refusal if the request or a part of its prompt is held back."""
        held = self.quarantine.held_suspect(request.suspects(), trio.current_time())
        if held is None:
            return None
        return Refused(Reason.HELD_BACK, HELD_BACK_DETAIL, held[1])

    async def _acquire(
        self, request: RoutedRequest
    ) -> tuple[RequestKey, Granted | Refused]:
        """Return the key of the next attempt and its grant or refusal."""
        reserved, request.reserved = request.reserved, None
        if reserved is not None:
            return reserved.key, reserved.granted
        if self.refusing and request.expires > self.stop_at:
            return NO_KEY, Refused(Reason.STOPPING, TOO_LONG_DETAIL)
        started_at = trio.current_time()
        with trio.CancelScope() as scope:
            self.waiting[scope] = request.expires
            try:
                return await self._acquire_of(request)
            finally:
                del self.waiting[scope]
                request.waited_s += trio.current_time() - started_at
        return NO_KEY, Refused(Reason.STOPPING, TOO_LONG_DETAIL)

    async def _acquire_of(
        self, request: RoutedRequest
    ) -> tuple[RequestKey, Granted | Refused]:
        """Return the grant or refusal of the pool, or pools, of a request."""
        if request.other_pools:
            return await self._acquire_of_any(request)
        demand = self._demand(request)
        answer = await self.grant_client.acquire(demand, tuple(request.avoid))
        return demand.key, answer

    async def _acquire_of_any(
        self, request: RoutedRequest
    ) -> tuple[RequestKey, Granted | Refused]:
        """Ask all pools in which a stream may have begun; the right one grants.

        The coordinators of the others do not know the stream.
        """
        answers: list[tuple[Demand, Granted | Refused]] = []
        async with trio.open_nursery() as nursery:

            async def ask(pool: PoolId) -> None:
                demand = replace(self._demand(request), pool=pool)
                answer = await self.grant_client.acquire(demand, tuple(request.avoid))
                answers.append((demand, answer))
                if isinstance(answer, Granted):
                    nursery.cancel_scope.cancel()

            for pool in (request.pool, *request.other_pools):
                nursery.start_soon(ask, pool)
        granted = [(d, a) for d, a in answers if isinstance(a, Granted)]
        for demand, _ in granted[1:]:
            self.grant_client.release(demand.key, ReleaseResult.NOT_SENT)
        # A coordinator that knows the stream says more than those that do not.
        informed = [
            (demand, answer)
            for demand, answer in answers
            if isinstance(answer, Granted) or answer.reason is not Reason.UNKNOWN_STREAM
        ]
        demand, answer = (granted or informed or answers)[0]
        if granted:
            request.pool, request.other_pools = demand.pool, ()
        return demand.key, answer

    async def _on_silence(
        self, request: RoutedRequest, endpoint: Endpoint, way: Way
    ) -> float | None:
        """Return until when to wait for a silent endpoint, None to leave it."""
        if request.route.streaming and not await self.activity.may_leave(
            endpoint, request.progress_at, way.forwarder is None
        ):
            return trio.current_time() + RECHECK_S
        return None if await self._reserve_alternative(request) else math.inf

    async def _reserve_alternative(self, request: RoutedRequest) -> bool:
        """Reserve a grant for another endpoint while the current one is silent.

        A silent endpoint may only be slow, so a request stays there if no
        other endpoint is granted. Returns whether one was granted.
        """
        due = min(request.expires, trio.current_time() + ALTERNATIVE_FIRST_BYTE_S)
        demand = replace(self._demand(request), objective=due, abandon_at=due)
        avoid = (*request.avoid, *request.sent_to[-1:])
        answer = await self.grant_client.acquire(demand, avoid)
        if isinstance(answer, Refused):
            return False
        if answer.endpoint in avoid:
            # No other endpoint is available; a second run at this one gains nothing.
            self.grant_client.release(demand.key, ReleaseResult.NOT_SENT)
            return False
        request.reserved = ReservedGrant(demand.key, answer)
        return True

    def _may_retry(self, request: RoutedRequest, result: SendResult) -> bool:
        """Return whether another endpoint may be tried."""
        if isinstance(result, NotRun) and was_not_sent(request):
            return request.unsent < MAX_UNSENT
        if len(request.sent_to) >= request.route.max_endpoints:
            return False
        if isinstance(result, NotRun):
            return True
        if request.responder.started:
            return request.route.resumable
        return request.route.is_retryable

    async def _final_answer(
        self, request: RoutedRequest, why: SendResult | Refused
    ) -> Refusal | None:
        """Send or return the final answer after the last attempt."""
        if request.responder.started:
            log.warning(
                "Stream truncated.",
                extra={
                    "request": request.request_info.request_id,
                    "why": describe(why),
                },
            )
            return None
        if isinstance(why, Failed):
            request.failure = why
        if request.failure is not None:
            await deliver(request, request.failure.head, request.failure.body)
            return None
        if request.may_have_run:
            detail = f"the endpoint gave no whole answer: {describe(why)}"
            return Refusal(Reason.ENDPOINT_FAILED, detail, Outcome.MAY_HAVE_RUN)
        if isinstance(why, Refused):
            return Refusal(why.reason, why.detail, retry_s=why.retry_s)
        return Refusal(Reason.NO_ENDPOINT, describe(why), retry_s=NO_CAPACITY_RETRY_S)

    def _demand(self, request: RoutedRequest) -> Demand:
        request_info = request.request_info
        objective, abandon_at = request.due_times()
        parts = request_info.prefix if request.route.affinity else ()
        prefix, prefix_tokens = chained_parts(request_info.model, parts)
        return Demand(
            key=self.new_key(request_info.request_id, self._route_tag(request)),
            pool=request.pool,
            team=request.team,
            model=request_info.model,
            prompt_tokens=max(1, request_info.prompt_tokens or SERVICE_CALL_TOKENS),
            output_tokens=request_info.expected_output_tokens
            or request_info.max_output_tokens,
            prefix=prefix,
            deadline=request.expires,
            has_caller_id=False,
            urgency=request.route.urgency,
            objective=objective,
            abandon_at=abandon_at,
            is_retry=bool(request.sent_to),
            quota_tokens=request.quota_tokens,
            suspects=request.suspects(),
            stream=request.stream,
            has_begun=request.has_begun(),
            version=self._required_version(request),
            is_pool_certain=request.is_pool_certain,
            asked=request.asked,
            max_output_tokens=request_info.max_output_tokens,
            prefix_tokens=prefix_tokens,
        )

    def _route_tag(self, request: RoutedRequest) -> str:
        """Return the name of the route for the coordinator, if a roll-out needs it."""
        if not self.check.rollouts.is_running(request.pool):
            return ""
        return f".{route_tag(request.route.name)}"

    def new_key(self, request_id: str, tag: str = "") -> RequestKey:
        """Return a key that no other attempt of any instance has."""
        self.serial += 1
        attempt = f"{self.incarnation}.{self.serial}{tag}"
        return RequestKey(f"{self.instance}/{attempt}/{request_id}")

    def _required_version(self, request: RoutedRequest) -> SoftwareVersion:
        """Return the version that the next endpoint must have, empty for any one.

        It is also empty if the stream is taken up and not known here. Its coordinator
        may know it, so that nothing is concluded from the versions of its pool.
        """
        if not request.has_begun():
            return UNKNOWN_VERSION
        if request.version:
            return request.version
        return self.versions.known_version(request.stream, request.pool, boot_time())

    # Sending

    async def _use_grant(
        self, request: RoutedRequest, granted: Granted, key: RequestKey
    ) -> SendResult:
        """Use one grant and release it."""
        request.granted_at = granted.received
        request.first_byte = None
        request.pause_s = 0.0
        request.result = ReleaseResult.NOT_SENT
        events = request.events
        endpoint = self._endpoint(granted.endpoint)
        if request.route.affinity:
            tier, cached = request.tier, granted.cached_tokens
            metrics = self.metrics
            metrics.observe(metrics.cached_tokens, tier, request.team, cached)
        try:
            if endpoint is None:
                # Its coordinator may have learned of it first.
                name = granted.endpoint
                await self.directory.wait_for_endpoint(name, NEW_ENDPOINT_WAIT_S)
                endpoint = self._endpoint(name)
            if endpoint is None:
                request.unsent += 1
                return NotRun("the endpoint has been removed")
            if self._required_version(request) not in {"", endpoint.version}:
                request.unsent += 1
                return NotRun("the endpoint has another software version")
            return await self._send(request, endpoint, key, granted.first_s)
        finally:
            tokens = (request.events - events) * self._tokens_per_event(request.pool)
            decode_s = (
                request.last_byte - request.first_byte if request.first_byte else 0.0
            )
            if not was_not_sent(request):
                is_own = granted.coordinator == FALLBACK
                placed_by = "instance" if is_own else "coordinator"
                self.metrics.count_quota_tokens(
                    request.team, placed_by, request.quota_tokens
                )
            self.grant_client.release(
                key,
                request.result,
                tokens,
                decode_s,
                request.pause_s,
                self._pace(endpoint),
            )

    def _endpoint(self, name: EndpointId) -> Endpoint | None:
        manifest = self.directory.manifest
        return manifest.endpoints.get(name) if manifest else None

    def _pace(self, endpoint: Endpoint | None) -> tuple[int, int]:
        """Return the pace that an endpoint has reported, for a message."""
        if endpoint is None:
            return 0, 0
        now = trio.current_time()
        return self.observer.paces.message_fields(endpoint.process, now)

    def _tokens_per_event(self, pool: PoolId) -> int:
        configuration = self.directory.configuration
        found = configuration.pools.get(pool) if configuration else None
        return found.tokens_per_event if found else 1

    async def _send(
        self,
        request: RoutedRequest,
        endpoint: Endpoint,
        key: RequestKey,
        first_s: float,
    ) -> SendResult:
        """Send a request by this instance's own link or through another instance."""
        tried: set[InstanceId] = set()
        since = trio.current_time()
        while True:
            # Saves a connection; the check that counts is made when it is open.
            if why := self.check.why_not(endpoint, request.has_begun()):
                request.unsent += 1
                return NotRun(why)
            try:
                way = await self.ways.open(endpoint, tried)
            except ChannelBrokenError as error:
                return await self._not_reached(request, endpoint, error, since)
            result = await self._send_by(request, endpoint, key, first_s, way)
            if not isinstance(result, ForwardResult):
                return result
            assert way.forwarder is not None
            if result in {ForwardResult.REFUSED, ForwardResult.UNREACHABLE}:
                return self._endpoint_at_fault(request, endpoint, result)
            if result is ForwardResult.UNUSABLE:
                request.unsent += 1
                return NotRun("the endpoint takes no new requests")
            self.ways.skip(way.forwarder.id, result.value)

    async def _not_reached(
        self,
        request: RoutedRequest,
        endpoint: Endpoint,
        error: ChannelBrokenError,
        since: float,
    ) -> NotRun:
        """Record that there is no way to an endpoint, as tried since a time.

        It counts as the endpoint's fault only if others are reached.
        """
        request.unsent += 1
        if isinstance(error, NoWayError):
            return NotRun(str(error))
        if await self.ways.is_at_fault(endpoint, since):
            request.result = ReleaseResult.UNREACHABLE
            if isinstance(error, ChannelRefusedError):
                self.lost_answers.record_refused(endpoint)
        return NotRun(str(error))

    def _endpoint_at_fault(
        self, request: RoutedRequest, endpoint: Endpoint, result: ForwardResult
    ) -> NotRun:
        """Record that another instance, which reaches others, found no endpoint."""
        self.ways.links.forget(endpoint.id)
        request.unsent += 1
        request.result = ReleaseResult.UNREACHABLE
        if result is ForwardResult.REFUSED:
            self.lost_answers.record_refused(endpoint)
        return NotRun(f"{result.value} for another instance too")

    def _why_not_sent(self, request: RoutedRequest, endpoint: Endpoint) -> str:
        """Return why a request must not be sent to an endpoint now, empty if it may."""
        if endpoint.id in request.refused_by:
            # Its earlier refusal could be taken for the answer to this try.
            return "the endpoint has refused the request before"
        if self._held_back(request) is not None:
            return HELD_BACK_DETAIL
        return self.check.why_not(endpoint, request.has_begun())

    async def _send_by(
        self,
        request: RoutedRequest,
        endpoint: Endpoint,
        key: RequestKey,
        first_s: float,
        way: Way,
    ) -> SendResult | ForwardResult:
        """Send a request; return why another instance did not, if it was to.

        The connection is closed at the end.
        """
        sent = trio.current_time()
        channel = way.channel
        if why := self._why_not_sent(request, endpoint):
            channel.close()
            request.unsent += 1
            return NotRun(why)
        self.quarantine.record_sent(request.suspects(), sent)
        request.sent_to.append(endpoint.id)
        request.versions.append(endpoint.version)
        request.may_have_run_before = request.may_have_run
        request.may_have_run = True
        request.result = ReleaseResult.CANCELLED
        request.progress_at = sent
        if way.forwarder is None:
            channel.on_receive = lambda: self.activity.record(endpoint.process)
        try:
            channel.read_until = sent + self._read_timeout_s(request, first_s)
            await channel.send(self._outgoing(request, endpoint, way), self.background)
            head = await read_head(
                channel, lambda: self._on_silence(request, endpoint, way)
            )
            request.progress_at = trio.current_time()
            if way.forwarder is not None:
                result = forward_result(head)
                if result is not ForwardResult.ANSWERED:
                    return self._not_forwarded(request, result)
                request.forwarders.append(way.forwarder.id)
                head = endpoint_head(head)
            return await self._relay(request, endpoint, key, way, head, sent)
        except ChannelBrokenError as error:
            return self._broken(request, endpoint, way, sent, error)
        except trio.Cancelled:
            if trio.current_time() >= request.expires:
                self._give_up(request, endpoint, way, sent, "time-out", EXPIRED_S)
            else:
                why = "stopping" if self.aborting else "caller gone"
                self._give_up(request, endpoint, way, sent, why, CALLER_GONE_S)
            raise
        finally:
            if request.late_answer is not channel:
                channel.close()

    def _give_up(
        self,
        request: RoutedRequest,
        endpoint: Endpoint,
        way: Way,
        sent: float,
        why: str,
        late_s: float,
    ) -> None:
        """Await an answer no more, but for what it states about further requests.

        Another instance learns that itself, and sees the end of the connection at once.
        """
        extra = {
            "request": request.request_info.request_id,
            "endpoint": endpoint.id,
            "why": why,
            "events": request.events,
        }
        log.info("Answer given up.", extra=extra)
        if request.first_byte is None and way.forwarder is None:
            request.late_answer = way.channel
            request_id = request.request_info.request_id
            self.late_answers.take_over(way.channel, endpoint, sent, request_id, late_s)

    def _not_forwarded(
        self, request: RoutedRequest, result: ForwardResult
    ) -> ForwardResult | Lost:
        """Record that another instance did not send a request, or lost its answer."""
        if result is ForwardResult.LOST:
            request.result = ReleaseResult.TRUNCATED
            return Lost("the answer to another instance was lost")
        self._undo_sending(request)
        return result

    def _broken(
        self,
        request: RoutedRequest,
        endpoint: Endpoint,
        way: Way,
        sent: float,
        error: ChannelBrokenError,
    ) -> SendResult:
        """Record that a channel has broken before the end of an answer."""
        if isinstance(error, ChannelStaleError):
            self._undo_sending(request)
            request.unsent += 1
            return NotRun(str(error))
        if isinstance(error, ChannelTimeoutError):
            self._give_up(request, endpoint, way, sent, "silent", SILENT_S)
        else:
            self.lost_answers.record_lost(endpoint, request.suspects(), sent)
        request.result = ReleaseResult.TRUNCATED
        return Lost(str(error))

    def _undo_sending(self, request: RoutedRequest) -> None:
        """Record that nothing was sent in the latest attempt after all."""
        request.sent_to.pop()
        request.versions.pop()
        request.may_have_run = request.may_have_run_before
        request.result = ReleaseResult.NOT_SENT

    async def _relay(
        self,
        request: RoutedRequest,
        endpoint: Endpoint,
        key: RequestKey,
        way: Way,
        head: AnswerHead,
        sent: float,
    ) -> SendResult:
        """Relay the answer of an endpoint, and record what it shows."""
        info = parse_response_headers(head.status, head.headers)
        request_id = request.request_info.request_id
        if info.request_id == request_id:
            request.pause_s = self.observer.observe(endpoint, info, sent, request_id)
            if info.load.pace is not None:
                self.metrics.reported_pace.observe(
                    {"pool": str(request.pool)}, info.load.pace
                )
        result = await relay_answer(
            request,
            way.channel,
            head,
            info,
            lambda: self._note_first_byte(request, key, endpoint, info.load.counts()),
            lambda: self._on_silence(request, endpoint, way),
            self.event_steps.setdefault(request.pool, EventSteps()),
        )
        if isinstance(result, Done) and request.relayed is not None:
            request.relayed.is_early = way.channel.is_sending
        if isinstance(result, Done) and result.status < 500:
            is_delimited = head.is_delimited()
            self.lost_answers.record_complete(
                endpoint, request.suspects(), is_delimited
            )
        return result

    def _read_timeout_s(self, request: RoutedRequest, first_s: float) -> float:
        """Return how long to wait for a first byte before trying another endpoint."""
        is_last = len(request.sent_to) >= request.route.max_endpoints
        if is_last or not request.route.is_retryable:
            return math.inf
        return max(
            STALL_SHARE * request.route.objective_s, STALL_FACTOR * first_s, MIN_STALL_S
        )

    def _outgoing(
        self, request: RoutedRequest, endpoint: Endpoint, way: Way
    ) -> OutgoingRequest:
        team = "" if request.team == PUBLIC_TEAM else request.team
        headers = endpoint_headers(
            request.incoming.headers,
            expected_endpoint=endpoint.id,
            left_s=request.expires - trio.current_time(),
            team=team,
            last_event_id=request.last_event_id,
        )
        incoming = request.incoming
        outgoing = OutgoingRequest(
            incoming.method, incoming.target, headers, incoming.body
        )
        if way.forwarder is None:
            return outgoing
        return self.ways.forwarded(outgoing, endpoint.id, way.forwarder)

    def _note_first_byte(
        self,
        request: RoutedRequest,
        key: RequestKey,
        endpoint: Endpoint,
        load: tuple[int, int],
    ) -> None:
        if request.first_byte is not None:
            return
        version = endpoint.version
        request.first_byte = request.last_byte = trio.current_time()
        request.version = version
        if request.stream and version:
            self.versions.record(request.pool, request.stream, version, boot_time())
        first_s = request.first_byte - request.granted_at
        self.grant_client.started(key, first_s, version, self._pace(endpoint), load)

    # Logs and metrics

    def _log_refusal(
        self, request_info: RequestInfo, refusal: Refusal, request: RoutedRequest | None
    ) -> None:
        extra: dict[str, object] = {
            "request": request_info.request_id,
            "reason": refusal.reason.value,
            "status": refusal.status,
            "outcome": refusal.outcome.value,
            "detail": refusal.detail,
            "version": self.directory.version,
            "age_ms": self.directory.configuration_age.age_ms(boot_time()),
        }
        tier, team = UNKNOWN_TIER, UNKNOWN_TEAM
        if request is not None:
            tier, team = request.tier, request.team
        self.metrics.count_refusal(tier, team, refusal.reason, refusal.outcome)
        log.warning("Refused.", extra=extra)

    def _log_attempt(
        self, request: RoutedRequest, granted: Granted, result: SendResult
    ) -> None:
        """Log an attempt that did not answer the caller."""
        log.warning(
            "Attempt failed.",
            extra={
                "request": request.request_info.request_id,
                "endpoint": granted.endpoint,
                "home": granted.coordinator,
                "result": request.result.value,
                "why": describe(result),
                "events": request.events,
                "parts": request.parts,
                "digest": request.digest,
            },
        )

    def _record_end(self, request: RoutedRequest, how: str) -> None:
        """Record the metrics of a request and log how it ended."""
        now = trio.current_time()
        metrics, tier, team = self.metrics, request.tier, request.team
        metrics.answers.inc({"tier": tier, "team": team, "result": how})
        metrics.observe(metrics.waiting, tier, team, request.waited_s)
        if request.relayed is not None:
            metrics.count_relayed(request.route.streaming, request.relayed)
        arrived = request.incoming.arrived
        if request.first_byte is not None:
            first_s = (request.first_event or request.first_byte) - arrived
            metrics.observe(metrics.first_token, tier, team, first_s)
            self._observe_phases(request, first_s)
            metrics.merge_events(tier, team, request.times)
        if how == "answered":
            metrics.observe(metrics.total, tier, team, now - arrived)
        elif request.sent_to and request.request_info.prompt_tokens:
            labels = {"tier": tier, "team": team, "result": request.result.value}
            metrics.wasted_prefill.add(labels, request.request_info.prompt_tokens)
        log.info("Ended.", extra=end_fields(request, how, now))

    def _observe_phases(self, request: RoutedRequest, first_s: float) -> None:
        """Observe which part of a request's objective went where."""
        route, objective_s = request.route.name, request.route.objective_s
        metrics = self.metrics
        metrics.observe_phase(route, "grant", request.waited_s, objective_s)
        metrics.observe_phase(route, "all", first_s, objective_s)
        if request.first_byte is not None:
            endpoint_s = request.first_byte - request.granted_at
            metrics.observe_phase(route, "endpoint", endpoint_s, objective_s)


def _stream(team: TeamId, route: Route, request_info: RequestInfo) -> RequestKey:
    """Return the caller's attempt with which the stream of a request began."""
    if not route.streaming:
        return NO_STREAM
    root = request_info.resumes if request_info.last_event_id else ""
    return request_key(team, RequestId(root or request_info.request_id))


def _tier(configuration: RoutedConfiguration, team: TeamId, route: Route) -> TierId:
    routed = configuration.teams.get(team)
    return TierId(f"{routed.rank if routed else 0}.{route.urgency}")


def _quota_tokens(
    configuration: RoutedConfiguration, team: TeamId, request_info: RequestInfo
) -> int:
    routed = configuration.teams.get(team)
    if routed is None:
        return 0
    if routed.counts_tokens and request_info.has_tokens:
        return request_info.prompt_tokens + request_info.max_output_tokens
    return routed.default_tokens

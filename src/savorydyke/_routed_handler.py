"""Routed requests: one task takes one request from its head to its answer.

This is the only place that sends a routed request to an endpoint. What may not
be repeated is sent once; after that only the endpoint's own word counts as
proof that it did not run.
"""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, replace

import trio

from savorydyke import _logs
from savorydyke._configuration_age import boot_time
from savorydyke._directory import Directory
from savorydyke._http1 import (
    ChannelBrokenError,
    OutgoingRequest,
    open_channel,
)
from savorydyke._ids import (
    EndpointId,
    InstanceId,
    Outcome,
    PoolId,
    Reason,
    ReleaseResult,
    RequestKey,
    TeamId,
    TierId,
)
from savorydyke._ingress import IncomingRequest, Rejected, Responder
from savorydyke._manifest import SERVICE_CALL_TOKENS, Endpoint
from savorydyke._metrics import Metrics
from savorydyke._problems import Refusal
from savorydyke._routed_relay import (
    NO_PLACE_RETRY_S,
    deliver,
    read_head,
    refuse,
    relay_answer,
)
from savorydyke._routed_request import (
    Done,
    Failed,
    Job,
    Lost,
    NotRun,
    SendResult,
    Spare,
    answer_not_sent,
    describe,
)
from savorydyke._routes import PUBLIC_TEAM, Route, RoutedConfiguration
from savorydyke._scheduler import Demand, Granted, Refused, Scheduler
from savorydyke.platform import (
    BadRequestHeadError,
    RequestInfo,
    endpoint_headers,
    parse_request_headers,
    parse_response_headers,
    refusal_headers,
)

CONNECT_TIMEOUT_S = 0.3
"""An endpoint is a few ms away; a longer silence means that it is dark."""
MAX_UNREACHABLE = 3
"""Endpoints in turn that may be unreachable before a request is refused."""
UNKNOWN_FRESH_S = 1.5
"""Age of the configuration beyond which an unknown key or path may be new."""
REVOKE_MARGIN_S = 0.4
"""Part of the bound on revoked keys that is left for clocks and waiting."""
STALL_SHARE = 0.45
"""Part of the objective after which another endpoint can still be in time."""
STALL_FACTOR = 4.0
"""Factor on the predicted time to the first byte that is taken for a stall."""
MIN_STALL_S = 0.2
FIND_OTHER_S = 0.4
"""Time to a first byte elsewhere that makes leaving a silent endpoint worth while."""

UNKNOWN_TEAM = TeamId("(unknown)")
UNKNOWN_TIER = TierId("(unknown)")

log = _logs.component_logger("request")


@dataclass
class RoutedHandler:
    """Serves the requests of routed callers.

    Attributes
    ----------
    background : trio.Nursery
        Where the rest of a long body is sent while its answer arrives.
    revocation_s : float
        Time after which a key that was taken away must not work.
    refusing : bool
        Whether new requests are refused because the instance stops.
    incarnation : int
        Tells this process from earlier ones of the same instance, whose
        requests a home may remember.
    """

    instance: InstanceId
    directory: Directory
    scheduler: Scheduler
    background: trio.Nursery
    rng: random.Random
    revocation_s: float
    unusable: Callable[[], set[EndpointId]]
    metrics: Metrics
    refusing: bool = False
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
        job = self._accept(incoming, responder, request_info)
        if isinstance(job, Refusal):
            await refuse(responder, request_info, incoming.arrived, job)
            self._log_refusal(request_info, job, None)
            return
        try:
            refusal = await self._answer(job)
        except BaseException:
            self._ended(job, "caller gone")
            raise
        if refusal is None:
            self._ended(job, "answered" if responder.finished else "cut")
            return
        self._log_refusal(request_info, refusal, job)
        self._ended(job, refusal.reason.value)
        if not responder.started:
            await refuse(responder, request_info, incoming.arrived, refusal)

    async def refuse_unreadable(self, responder: Responder, rejected: Rejected) -> None:
        """Answer a request that could not be read."""
        refusal = Refusal(Reason.BAD_REQUEST, rejected.detail)
        log.info(
            "Request unreadable.",
            extra={"status": rejected.status, "why": rejected.detail},
        )
        headers = [*refusal_headers("", None), (b"Connection", b"close")]
        await responder.whole(rejected.status, headers, refusal.body(""))

    async def _refuse_unread(
        self, responder: Responder, request_id: str, reason: Reason, detail: str
    ) -> None:
        refusal = Refusal(reason, detail)
        headers = refusal_headers(request_id, None)
        await responder.whole(refusal.status, headers, refusal.body(request_id))

    # Admission

    def _accept(
        self, incoming: IncomingRequest, responder: Responder, request_info: RequestInfo
    ) -> Job | Refusal:
        """Return the job for a request, or why it is refused."""
        configuration = self.directory.configuration
        if configuration is None or not self.directory.loaded:
            return Refusal(Reason.NO_CONFIGURATION, "no configuration is known yet")
        if self.refusing:
            return Refusal(Reason.STOPPING, "this instance is stopping", retry_s=0.1)
        age_s = self.directory.configuration_age.age_s(boot_time())
        path = incoming.target.partition(b"?")[0].decode("latin-1")
        route = configuration.match(request_info.host, path)
        team = self._team(configuration, route, request_info, age_s)
        if isinstance(team, Refusal):
            return team
        assert route is not None
        wait_s = route.timeout_s
        if request_info.deadline_s is not None:
            wait_s = min(wait_s, request_info.deadline_s)
        return Job(
            incoming=incoming,
            responder=responder,
            request_info=request_info,
            route=route,
            team=team,
            pool=route.choose_pool(self.rng.random()),
            expires=incoming.arrived + wait_s,
            quota_tokens=_quota_tokens(configuration, team, request_info),
            config_version=configuration.version,
            config_age_s=age_s,
            tier=_tier(configuration, team, route),
            last_event_id=request_info.last_event_id,
        )

    def _team(
        self,
        configuration: RoutedConfiguration,
        route: Route | None,
        request_info: RequestInfo,
        age_s: float,
    ) -> TeamId | Refusal:
        is_known_fresh = age_s <= UNKNOWN_FRESH_S
        stale = Refusal(
            Reason.STALE_CONFIGURATION,
            f"the configuration was last confirmed {age_s:.1f} s ago",
            retry_s=NO_PLACE_RETRY_S,
        )
        if route is None:
            if not is_known_fresh:
                return stale
            return Refusal(Reason.NOT_FOUND, "no route matches the host and path")
        if route.public or not configuration.teams:
            return PUBLIC_TEAM
        if age_s > self.revocation_s - REVOKE_MARGIN_S:
            return stale
        team = configuration.team_of_key.get(request_info.key)
        if team is not None:
            return team
        if not is_known_fresh:
            return stale
        return Refusal(Reason.BAD_KEY, "the bearer key is missing or unknown")

    # Attempts

    async def _answer(self, job: Job) -> Refusal | None:
        """Answer a request until its time is up; return a refusal if any."""
        try:
            with trio.move_on_at(job.expires):
                return await self._attempts(job)
        finally:
            if job.spare is not None:
                self.scheduler.release(job.spare.key, ReleaseResult.NOT_SENT)
        if job.responder.started:
            return None
        if job.sent_to and job.in_doubt:
            detail = "the endpoint did not answer in time"
            return Refusal(Reason.TIMEOUT, detail, Outcome.MAY_HAVE_RUN)
        return Refusal(Reason.DEADLINE, "no endpoint came free in time")

    async def _attempts(self, job: Job) -> Refusal | None:
        while True:
            key, answer = await self._acquire(job)
            if isinstance(answer, Refused):
                return await self._give_up(job, answer)
            result = await self._use(job, answer, key)
            if isinstance(result, Done):
                return None
            self._log_attempt(job, answer, result)
            job.avoid.append(answer.endpoint)
            if not self._may_go_on(job, result):
                return await self._give_up(job, result)

    async def _acquire(self, job: Job) -> tuple[RequestKey, Granted | Refused]:
        """Return where the next attempt goes, and under which key."""
        spare, job.spare = job.spare, None
        if spare is not None:
            return spare.key, spare.granted
        demand = self._demand(job)
        asked = trio.current_time()
        answer = await self.scheduler.acquire(demand, tuple(job.avoid))
        job.waited_s += trio.current_time() - asked
        return demand.key, answer

    async def _find_other(self, job: Job) -> bool:
        """Look for another endpoint while the one in use is silent.

        A silent endpoint may only be slow; it is not left for a refusal.
        """
        due = min(job.expires, trio.current_time() + FIND_OTHER_S)
        demand = replace(self._demand(job), objective=due, patience=due)
        avoid = (*job.avoid, *job.sent_to[-1:])
        answer = await self.scheduler.acquire(demand, avoid)
        if isinstance(answer, Refused):
            return False
        if answer.endpoint in avoid:
            # There is no other one; a second run there would gain nothing.
            self.scheduler.release(demand.key, ReleaseResult.NOT_SENT)
            return False
        job.spare = Spare(demand.key, answer)
        return True

    def _may_go_on(self, job: Job, result: SendResult) -> bool:
        """Return whether another endpoint may be tried."""
        if isinstance(result, NotRun) and answer_not_sent(job):
            return job.unreachable < MAX_UNREACHABLE
        if len(job.sent_to) >= job.route.max_endpoints:
            return False
        if isinstance(result, NotRun):
            return True
        if job.responder.started:
            return job.route.resumable
        return job.route.is_retryable

    async def _give_up(self, job: Job, why: SendResult | Refused) -> Refusal | None:
        """Return the final answer after the last attempt."""
        if job.responder.started:
            log.warning(
                "Stream cut.",
                extra={"request": job.request_info.request_id, "why": describe(why)},
            )
            return None
        if isinstance(why, Failed):
            job.failure = why
        if job.failure is not None:
            await deliver(job, job.failure.head, job.failure.body)
            return None
        if job.in_doubt:
            detail = f"the endpoint gave no whole answer: {describe(why)}"
            return Refusal(Reason.ENDPOINT_FAILED, detail, Outcome.MAY_HAVE_RUN)
        if isinstance(why, Refused):
            return Refusal(why.reason, why.detail, retry_s=why.retry_s)
        return Refusal(Reason.NO_ENDPOINT, describe(why), retry_s=NO_PLACE_RETRY_S)

    def _demand(self, job: Job) -> Demand:
        request_info = job.request_info
        is_retry = bool(job.sent_to)
        objective = job.incoming.arrived + job.route.objective_s
        patience = job.incoming.arrived + job.route.patience_s
        return Demand(
            key=self.new_key(request_info.request_id),
            pool=job.pool,
            team=job.team,
            model=request_info.model,
            prompt_tokens=max(1, request_info.prompt_tokens or SERVICE_CALL_TOKENS),
            output_tokens=request_info.expected_output_tokens
            or request_info.max_output_tokens,
            prefix=(),
            deadline=job.expires,
            named=False,
            urgency=job.route.urgency,
            # What is under way goes on, also when it is late by now.
            objective=job.expires if is_retry else min(objective, job.expires),
            patience=job.expires if is_retry else min(patience, job.expires),
            is_retry=is_retry,
            quota_tokens=job.quota_tokens,
        )

    def new_key(self, request_id: str) -> RequestKey:
        """Return a key that no other attempt of any instance has."""
        self.serial += 1
        attempt = f"{self.incarnation}.{self.serial}"
        return RequestKey(f"{self.instance}/{attempt}/{request_id}")

    # Sending

    async def _use(self, job: Job, granted: Granted, key: RequestKey) -> SendResult:
        """Use one grant and give it back."""
        job.granted_at = granted.received
        job.first_byte = None
        job.result = ReleaseResult.NOT_SENT
        events = job.events
        try:
            endpoint = self._endpoint(granted.endpoint)
            if endpoint is None:
                return NotRun("the endpoint has left")
            return await self._send(job, endpoint, key, granted.first_s)
        finally:
            tokens = (job.events - events) * self._tokens_per_event(job.pool)
            decode_s = job.last_byte - job.first_byte if job.first_byte else 0.0
            self.scheduler.release(key, job.result, tokens, decode_s)

    def _endpoint(self, name: EndpointId) -> Endpoint | None:
        manifest = self.directory.manifest
        spec = manifest.endpoints.get(name) if manifest else None
        if spec is None or spec.drained or name in self.unusable():
            return None
        return spec

    def _tokens_per_event(self, pool: PoolId) -> int:
        configuration = self.directory.configuration
        found = configuration.pools.get(pool) if configuration else None
        return found.tokens_per_event if found else 1

    async def _send(
        self, job: Job, endpoint: Endpoint, key: RequestKey, first_s: float
    ) -> SendResult:
        try:
            channel = await open_channel(endpoint.address, CONNECT_TIMEOUT_S)
        except ChannelBrokenError as error:
            job.result = ReleaseResult.UNREACHABLE
            job.unreachable += 1
            return NotRun(str(error))
        try:
            job.sent_to.append(endpoint.id)
            job.ran_before = job.in_doubt
            job.in_doubt = True
            job.result = ReleaseResult.CANCELLED
            channel.read_timeout_s = self._read_timeout_s(job, first_s)
            await channel.send(self._outgoing(job, endpoint), self.background)
            head = await read_head(channel, lambda: self._find_other(job))
            response_info = parse_response_headers(head.status, head.headers)
            return await relay_answer(
                job,
                channel,
                head,
                response_info,
                lambda: self._first_byte(job, key),
                lambda: self._find_other(job),
            )
        except ChannelBrokenError as error:
            job.result = ReleaseResult.TRUNCATED
            return Lost(str(error))
        finally:
            channel.close()

    def _read_timeout_s(self, job: Job, first_s: float) -> float:
        """Return how long to wait for a first byte before going elsewhere."""
        is_last = len(job.sent_to) >= job.route.max_endpoints
        if is_last or not job.route.is_retryable:
            return math.inf
        return max(
            STALL_SHARE * job.route.objective_s, STALL_FACTOR * first_s, MIN_STALL_S
        )

    def _outgoing(self, job: Job, endpoint: Endpoint) -> OutgoingRequest:
        team = "" if job.team == PUBLIC_TEAM else job.team
        headers = endpoint_headers(
            job.incoming.headers,
            expected_endpoint=endpoint.id,
            left_s=job.expires - trio.current_time(),
            team=team,
            last_event_id=job.last_event_id,
        )
        incoming = job.incoming
        return OutgoingRequest(incoming.method, incoming.target, headers, incoming.body)

    def _first_byte(self, job: Job, key: RequestKey) -> None:
        if job.first_byte is None:
            job.first_byte = job.last_byte = trio.current_time()
            self.scheduler.started(key, job.first_byte - job.granted_at)

    # Logs and metrics

    def _log_refusal(
        self, request_info: RequestInfo, refusal: Refusal, job: Job | None
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
        if job is not None:
            tier, team = job.tier, job.team
        self.metrics.count_refusal(tier, team, refusal.reason, refusal.outcome)
        log.warning("Refused.", extra=extra)

    def _log_attempt(self, job: Job, granted: Granted, result: SendResult) -> None:
        """Log an attempt that brought no answer to the caller."""
        log.warning(
            "Attempt failed.",
            extra={
                "request": job.request_info.request_id,
                "endpoint": granted.endpoint,
                "home": granted.home,
                "result": job.result.value,
                "why": describe(result),
                "events": job.events,
            },
        )

    def _ended(self, job: Job, how: str) -> None:
        """Count a request and log how it went."""
        now = trio.current_time()
        metrics, tier, team = self.metrics, job.tier, job.team
        metrics.answers.inc({"tier": tier, "team": team, "result": how})
        metrics.observe(metrics.waiting, tier, team, job.waited_s)
        arrived = job.incoming.arrived
        if job.first_byte is not None:
            first_s = (job.first_event or job.first_byte) - arrived
            metrics.observe(metrics.first_token, tier, team, first_s)
            metrics.merge_events(tier, team, job.times)
        if how == "answered":
            metrics.observe(metrics.total, tier, team, now - arrived)
        elif job.sent_to and job.request_info.prompt_tokens:
            labels = {"tier": tier, "team": team, "result": job.result.value}
            metrics.wasted_prefill.add(labels, job.request_info.prompt_tokens)
        log.info(
            "Ended.",
            extra={
                "request": job.request_info.request_id,
                "how": how,
                "route": job.route.name,
                "pool": job.pool,
                "team": team,
                "rank": tier,
                "version": job.config_version,
                "age_ms": int(job.config_age_s * 1000),
                "endpoints": job.sent_to,
                "tokens": [
                    job.request_info.prompt_tokens,
                    job.request_info.max_output_tokens,
                ],
                "waited_ms": int(job.waited_s * 1000),
                "first_ms": int((job.first_byte - arrived) * 1000)
                if job.first_byte
                else -1,
                "total_ms": int((now - arrived) * 1000),
                "events": job.events,
            },
        )


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
    return routed.call_tokens

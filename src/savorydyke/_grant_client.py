"""The frontend's side of scheduling: requests grants and reports their use.

A grant is requested from the coordinator of the request's pool. When another
instance becomes the coordinator, all waiting and running requests are registered
with it. Of several grants for one request the first is used and the others are
returned.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import trio

from savorydyke import _logs
from savorydyke._ids import (
    NO_STREAM,
    UNKNOWN_VERSION,
    EndpointId,
    InstanceId,
    PoolId,
    Reason,
    ReleaseResult,
    RequestKey,
    SoftwareVersion,
    SuspectId,
    TeamId,
)
from savorydyke._membership import Membership
from savorydyke._messages import (
    Acquire,
    Grant,
    Message,
    Queued,
    Refuse,
    Register,
    Release,
    RunningRow,
    Started,
    Withdraw,
)
from savorydyke._timers import TimerService
from savorydyke.scheduling import CLOSED_DETAIL, ClosedRanks

RECONCILE_S = 4.0
"""Interval at which coordinators are sent the complete list of requests in flight."""
GRANT_VALID_S = 1.0
"""Age beyond which a grant is returned instead of being used."""

COORDINATOR_SILENT_S = 0.2
"""A coordinator answers in a few ms; a longer silence means a stall or a lost link."""
LOST_S = 1.0
"""Time after which a request without a confirmation counts as lost, although its
coordinator answers others."""
COORDINATOR_STALLED_S = 0.6
"""Time without a heartbeat of a coordinator after which the frontend itself places the
requests that are queued there."""
FALLBACK = InstanceId("(alone)")
"""Value of `Granted.coordinator` if the frontend placed the request itself."""

log = _logs.component_logger("scheduler")


@dataclass(frozen=True)
class Demand:
    """What a request needs from a pool.

    Attributes
    ----------
    deadline : float
        Time by which the whole answer is due, on the local monotonic clock.
    has_caller_id : bool
        Whether the caller chose the request id.
    urgency : int
        Rank within the team's tier, 0 for the highest.
    objective : float
        Time by which the first byte is due, on the same clock.
    abandon_at : float
        Time at which the caller abandons a request whose first byte is late.
    is_retry : bool
        Whether the request was sent before.
    quota_tokens : int
        Tokens that are charged to its team's quota.
    suspects : tuple of SuspectId
        What in the request may crash endpoints.
    stream : RequestKey
        The caller's attempt with which its stream began; empty if it is for none.
    has_begun : bool
        Whether the caller has received events of the stream.
    version : SoftwareVersion
        The version that the endpoint must have, empty for any one or, if the stream
        has begun, for the one that the coordinator knows.
    is_pool_certain : bool
        Whether the stream, if it has begun, began in this pool.
    asked : float
        When the request came, on a clock that counts suspension.
    max_output_tokens : int
        Largest size of the answer, 0 if not known.
    prefix_tokens : tuple of int
        Tokens up to each digest in `prefix`, if that is of named parts of the prompt.
    """

    key: RequestKey
    pool: PoolId
    team: TeamId
    model: str
    prompt_tokens: int
    output_tokens: int
    prefix: tuple[int, ...]
    deadline: float
    has_caller_id: bool
    resume_only: bool = False
    at_most_once: bool = False
    urgency: int = 0
    objective: float = math.inf
    abandon_at: float = math.inf
    is_retry: bool = False
    quota_tokens: int = 0
    suspects: tuple[SuspectId, ...] = ()
    stream: RequestKey = NO_STREAM
    has_begun: bool = False
    version: SoftwareVersion = UNKNOWN_VERSION
    is_pool_certain: bool = True
    asked: float = 0.0
    max_output_tokens: int = 0
    prefix_tokens: tuple[int, ...] = ()


@dataclass(frozen=True)
class Granted:
    """Permission to dispatch a request once.

    Attributes
    ----------
    coordinator : InstanceId
        The instance that gave the grant, or `FALLBACK`.
    received : float
        When the grant arrived, on the local monotonic clock.
    first_s : float
        Predicted time to the first byte, 0 if there is no prediction.
    cached_tokens : int
        Prompt tokens that the endpoint is expected to hold.
    """

    coordinator: InstanceId
    endpoint: EndpointId
    attempt: int
    resume: bool
    probe: tuple[EndpointId, ...]
    received: float
    first_s: float = 0.0
    cached_tokens: int = 0


@dataclass(frozen=True)
class Refused:
    """A refusal of the coordinator, or the lack of any answer.

    Attributes
    ----------
    retry_s : float or None
        Seconds after which to retry; None if a retry is useless.
    """

    reason: Reason
    detail: str
    retry_s: float | None = None
    may_have_run: bool = False


PlaceFallback = Callable[[Demand, tuple[EndpointId, ...]], EndpointId | None]


@dataclass
class Pending:
    """A request for a grant that has no answer yet.

    Attributes
    ----------
    asked : float
        When the request came.
    acknowledged : bool
        Whether the current coordinator has confirmed that it has the request.
    """

    demand: Demand
    message: Acquire
    asked: float = field(default_factory=trio.current_time)
    answer: Granted | Refused | None = None
    acknowledged: bool = False
    answered: trio.Event = field(default_factory=trio.Event)


@dataclass
class InFlight:
    """A granted request of this frontend."""

    demand: Demand
    granted: Granted
    started: bool = False
    version: SoftwareVersion = UNKNOWN_VERSION


@dataclass(frozen=True)
class CoordinatorLink:
    """The coordinator that this frontend has registered with, and its link."""

    coordinator: InstanceId
    incarnation: int
    link: object


@dataclass
class GrantClient:
    """All pending requests and grants of this frontend.

    Attributes
    ----------
    send : callable
        Sends a message to an instance, possibly this one.
    link : callable
        Returns the identity of the open link to an instance, or None.
    place_fallback : callable or None
        Chooses an endpoint for a request whose coordinator is silent, within
        this instance's fixed share; None if such requests must wait.
    on_use : callable
        Called with each request and its grant.
    rank_of : callable or None
        Returns the rank of a request by tier and urgency. None if requests are left to
        a coordinator also while it lags.
    closed : ClosedRanks
        What is refused here since a coordinator lags.
    heard_at : dict of InstanceId to float
        When each coordinator answered last.
    """

    membership: Membership
    send: Callable[[InstanceId, Message], None]
    link: Callable[[InstanceId], object]
    pools: Callable[[], list[PoolId]]
    place_fallback: PlaceFallback | None = None
    on_use: Callable[[Demand, Granted], None] = field(
        default=lambda demand, granted: None
    )
    rank_of: Callable[[Demand], int] | None = None
    closed: ClosedRanks = field(default_factory=ClosedRanks)
    coordinator_stalled_s: float = COORDINATOR_STALLED_S
    pending: dict[RequestKey, Pending] = field(default_factory=dict)
    in_flight: dict[RequestKey, InFlight] = field(default_factory=dict)
    coordinators: dict[PoolId, CoordinatorLink] = field(default_factory=dict)
    attempts: int = 0
    heard_at: dict[InstanceId, float] = field(default_factory=dict)

    # Acquiring

    async def acquire(
        self, demand: Demand, avoid: tuple[EndpointId, ...] = ()
    ) -> Granted | Refused:
        """Wait for a grant or a refusal, until the deadline at the latest."""
        if demand.key in self.pending or demand.key in self.in_flight:
            detail = "the same request is in progress"
            return Refused(Reason.DUPLICATE, detail, may_have_run=True)
        if (refused := self._refuse_closed(demand)) is not None:
            return refused
        self.attempts += 1
        pending = Pending(demand, self._message(demand, self.attempts, avoid))
        self.pending[demand.key] = pending
        try:
            self._ensure_registered(demand.pool)
            self.send(
                self.coordinators[demand.pool].coordinator,
                self._with_time_left(pending),
            )
            with trio.move_on_at(demand.deadline):
                await self._wait(pending, avoid)
        except BaseException:
            # A grant may have arrived just before the cancellation.
            self._finish_pending(pending)
            self.release(demand.key, ReleaseResult.NOT_SENT)
            raise
        return self._finish_pending(pending)

    def _refuse_closed(self, demand: Demand) -> Refused | None:
        """Refuse a new request whose coordinator has just refused a like one."""
        if self.rank_of is None or demand.has_begun or demand.is_retry:
            return None
        rank, now = self.rank_of(demand), trio.current_time()
        retry_s = self.closed.retry_s(demand.pool, rank, now)
        if retry_s is None:
            return None
        return Refused(Reason.OVERLOADED, CLOSED_DETAIL, retry_s)

    def _note_closed(self, demand: Demand, answer: Grant | Refuse) -> None:
        """Record whether the coordinator of a pool lags."""
        if self.rank_of is None:
            return
        rank = self.rank_of(demand)
        if isinstance(answer, Grant):
            self.closed.record_granted(demand.pool, rank)
        elif answer.reason is Reason.OVERLOADED and answer.retry_ms > 0:
            retry_s, now = answer.retry_ms / 1000, trio.current_time()
            self.closed.record_refused(demand.pool, rank, retry_s, now)

    async def _wait(self, pending: Pending, avoid: tuple[EndpointId, ...]) -> None:
        """Wait for an answer; place the request here if its coordinator is silent."""
        if self.place_fallback is None:
            await pending.answered.wait()
            return
        while pending.answer is None:
            with trio.move_on_after(COORDINATOR_SILENT_S):
                await pending.answered.wait()
            if pending.answer is not None or not self._is_unanswered(pending):
                continue
            endpoint = self.place_fallback(pending.demand, avoid)
            if endpoint is None:
                continue
            self._withdraw(pending.demand)
            attempt, now = pending.message.attempt, trio.current_time()
            pending.answer = Granted(FALLBACK, endpoint, attempt, False, (), now)

    def _is_unanswered(self, pending: Pending) -> bool:
        """Return whether no live coordinator seems to have the request.

        One that answers other requests is behind, and has this one too. What instances
        placed themselves meanwhile would fill endpoints whose load they do not know.
        """
        coordinator = self.coordinators[pending.demand.pool].coordinator
        now = trio.current_time()
        if self.membership.is_silent(coordinator, now, self.coordinator_stalled_s):
            return True
        if pending.acknowledged:
            return False
        heard_at = self.heard_at.get(coordinator, -math.inf)
        is_answering = now - heard_at < COORDINATOR_SILENT_S
        return not is_answering or now - pending.asked >= LOST_S

    def _finish_pending(self, pending: Pending) -> Granted | Refused:
        """End the wait for a grant and return the answer."""
        demand, answer = pending.demand, pending.answer
        self.pending.pop(demand.key, None)
        if answer is None:
            self._withdraw(demand)
            # No coordinator has ruled out an earlier run of an id that the caller
            # chose.
            detail = "no endpoint came free in time"
            return Refused(
                Reason.DEADLINE, detail, 1.0, may_have_run=demand.has_caller_id
            )
        if isinstance(answer, Granted):
            item = InFlight(demand, answer)
            self.in_flight[demand.key] = item
            self.on_use(demand, answer)
            link = self.coordinators.get(demand.pool)
            if (
                link is not None
                and link.coordinator != answer.coordinator
                and not answer.resume
            ):
                row = _running_row(item)
                self.send(link.coordinator, Register(demand.pool, False, (row,)))
        return answer

    def _message(
        self, demand: Demand, attempt: int, avoid: tuple[EndpointId, ...]
    ) -> Acquire:
        return Acquire(
            key=demand.key,
            attempt=attempt,
            pool=demand.pool,
            team=demand.team,
            model=demand.model,
            prompt_tokens=demand.prompt_tokens,
            output_tokens=demand.output_tokens,
            prefix=demand.prefix,
            deadline_ms=0,
            avoid=avoid,
            has_caller_id=demand.has_caller_id,
            resume_only=demand.resume_only,
            at_most_once=demand.at_most_once,
            urgency=demand.urgency,
            is_retry=demand.is_retry,
            quota_tokens=demand.quota_tokens,
            suspects=demand.suspects,
            stream=demand.stream if demand.has_begun else NO_STREAM,
            version=demand.version,
            max_output_tokens=demand.max_output_tokens,
            prefix_tokens=demand.prefix_tokens,
        )

    def _with_time_left(self, pending: Pending) -> Acquire:
        now = trio.current_time()
        demand = pending.demand
        return replace(
            pending.message,
            deadline_ms=_left_ms(demand.deadline, now),
            objective_ms=_left_ms(demand.objective, now),
            abandon_after_ms=_left_ms(demand.abandon_at, now),
            waited_ms=int((now - pending.asked) * 1000),
        )

    def _withdraw(self, demand: Demand) -> None:
        link = self.coordinators.get(demand.pool)
        if link is not None:
            self.send(link.coordinator, Withdraw(demand.key, demand.pool))

    def handle(self, sender: InstanceId, message: Grant | Refuse | Queued) -> None:
        """Process the answer of a coordinator."""
        self.heard_at[sender] = trio.current_time()
        pending = self.pending.get(message.key)
        if isinstance(message, Queued):
            if pending is not None and pending.message.attempt == message.attempt:
                pending.acknowledged = True
            return
        if (
            pending is None
            or pending.answer is not None
            or pending.message.attempt != message.attempt
        ):
            if isinstance(message, Grant):
                self._return_grant(sender, message, pending)
            return
        if isinstance(message, Refuse) and not self._is_coordinator(
            pending.demand.pool, sender
        ):
            # Ignored: the current coordinator has the request too, and newer state.
            return
        if isinstance(message, Grant):
            pending.answer = Granted(
                sender,
                message.endpoint,
                message.attempt,
                message.resume,
                message.probe,
                trio.current_time(),
                message.first_ms / 1000,
                message.cached_tokens,
            )
        else:
            retry_s = None if message.retry_ms < 0 else message.retry_ms / 1000
            pending.answer = Refused(
                message.reason, message.detail, retry_s, message.may_have_run
            )
        pending.acknowledged = True
        self._note_closed(pending.demand, message)
        pending.answered.set()

    def _return_grant(
        self, sender: InstanceId, grant: Grant, pending: Pending | None
    ) -> None:
        """Return a late or second grant, unless it is the one in use."""
        if grant.resume:
            return
        in_flight = self.in_flight.get(grant.key)
        used = in_flight.granted if in_flight else None
        if pending is not None and isinstance(pending.answer, Granted):
            used = pending.answer
        demand = in_flight.demand if in_flight else pending.demand if pending else None
        if used and (used.attempt, used.endpoint) == (grant.attempt, grant.endpoint):
            return
        for pool in [demand.pool] if demand else self.pools():
            release = Release(
                grant.key,
                grant.attempt,
                pool,
                grant.endpoint,
                ReleaseResult.NOT_SENT,
                0,
                0,
            )
            self.send(sender, release)

    # Grants in use

    def started(
        self,
        key: RequestKey,
        first_byte_s: float,
        version: SoftwareVersion = UNKNOWN_VERSION,
        pace: tuple[int, int] = (0, 0),
        load: tuple[int, int] = (-1, -1),
    ) -> None:
        """Report to the coordinator that the first byte of an answer has arrived.

        Parameters
        ----------
        version : SoftwareVersion
            The version of the endpoint that sent it.
        pace : (int, int)
            The pace that the endpoint has reported, in per cent, and its age in ms.
        load : (int, int)
            The requests that run and wait at the endpoint, -1 if not known.
        """
        item = self.in_flight.get(key)
        if item is None or item.started:
            return
        item.started, item.version = True, version
        milliseconds = math.ceil(first_byte_s * 1000)
        demand = item.demand
        stream = demand.stream
        message = Started(key, demand.pool, milliseconds, stream, version, *pace, *load)
        self._send_to_coordinator(demand.pool, message)

    def release(
        self,
        key: RequestKey,
        result: ReleaseResult,
        output_tokens: int = 0,
        decode_s: float = 0.0,
        pause_s: float = 0.0,
        pace: tuple[int, int] = (0, 0),
    ) -> None:
        """Return a grant, and report how its request ended.

        Parameters
        ----------
        pause_s : float
            For how long the endpoint wants no other request of this instance.
        pace : (int, int)
            As in `started`.
        """
        item = self.in_flight.pop(key, None)
        if item is None:
            return
        message = Release(
            key,
            item.granted.attempt,
            item.demand.pool,
            item.granted.endpoint,
            result,
            output_tokens,
            int(decode_s * 1000),
            math.ceil(pause_s * 1000),
            *pace,
        )
        self._send_to_coordinator(item.demand.pool, message)
        is_fallback = item.granted.coordinator == FALLBACK
        if not is_fallback and not self.is_from_coordinator(
            item.demand.pool, item.granted
        ):
            self.send(item.granted.coordinator, message)

    def is_from_coordinator(self, pool: PoolId, granted: Granted) -> bool:
        """Return whether a grant came from the current coordinator."""
        return self._is_coordinator(pool, granted.coordinator)

    def _is_coordinator(self, pool: PoolId, instance: InstanceId) -> bool:
        link = self.coordinators.get(pool)
        return link is not None and link.coordinator == instance

    def _send_to_coordinator(self, pool: PoolId, message: Message) -> None:
        link = self.coordinators.get(pool)
        if link is not None:
            self.send(link.coordinator, message)

    # Coordinators

    async def reconcile(self, timers: TimerService) -> None:
        """Report requests in flight to coordinators periodically, until cancelled.

        A grant or a release may be lost with a link; the report corrects that. An
        empty report is needed too: the coordinator may count a lost grant.
        """
        async with timers.every(RECONCILE_S) as ticks:
            async for _ in ticks:
                for pool, link in list(self.coordinators.items()):
                    self.send(link.coordinator, Register(pool, True, self._rows(pool)))

    def _rows(self, pool: PoolId) -> tuple[RunningRow, ...]:
        items = self.in_flight.values()
        return tuple(_running_row(i) for i in items if i.demand.pool == pool)

    def _coordinator_link(self, pool: PoolId) -> CoordinatorLink:
        coordinator = self.membership.coordinator(pool)
        member = self.membership.members.get(coordinator)
        return CoordinatorLink(
            coordinator, member.incarnation if member else 0, self.link(coordinator)
        )

    def _ensure_registered(self, pool: PoolId) -> None:
        if pool not in self.coordinators:
            self._register(pool, self._coordinator_link(pool))

    def follow_coordinators(self) -> None:
        """Register each pool whose coordinator has changed with the current one."""
        for pool in {*self.coordinators, *self.pools()}:
            link = self._coordinator_link(pool)
            if self.coordinators.get(pool) != link:
                self._register(pool, link)

    def _register(self, pool: PoolId, link: CoordinatorLink) -> None:
        previous = self.coordinators.get(pool)
        if previous is not None and previous.coordinator != link.coordinator:
            self.send(previous.coordinator, Register(pool, True, ()))
        self.coordinators[pool] = link
        self.send(link.coordinator, Register(pool, True, self._rows(pool)))
        for pending in self.pending.values():
            if pending.demand.pool == pool and pending.answer is None:
                pending.acknowledged = False
                self.send(link.coordinator, self._with_time_left(pending))


def _running_row(item: InFlight) -> RunningRow:
    return RunningRow(
        item.demand.key,
        item.granted.attempt,
        item.demand.team,
        item.granted.endpoint,
        item.demand.prompt_tokens,
        item.demand.output_tokens,
        item.started,
        item.demand.stream,
        item.version,
    )


def _left_ms(until: float, now: float) -> int:
    """Return the whole milliseconds left, -1 for no limit."""
    return -1 if until == math.inf else max(0, math.floor((until - now) * 1000))

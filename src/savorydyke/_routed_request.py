"""State of a routed request and results of its attempts."""

import hashlib
from dataclasses import dataclass, field

from savorydyke._answer_kinds import RelayedAnswer
from savorydyke._grant_client import Granted, Refused
from savorydyke._http1 import AnswerHead, Channel
from savorydyke._ids import (
    DIGEST_PREFIX,
    NO_STREAM,
    UNKNOWN_VERSION,
    EndpointId,
    InstanceId,
    PoolId,
    ReleaseResult,
    RequestKey,
    SoftwareVersion,
    SuspectId,
    TeamId,
    TierId,
)
from savorydyke._ingress import IncomingRequest, Responder
from savorydyke._metrics import EventTimes
from savorydyke._routes import Route
from savorydyke.platform import RequestInfo

DIGEST_BYTES = 8
MAX_PROMPT_PARTS = 16
"""Leading parts of a prompt that are told apart."""


@dataclass(frozen=True)
class Done:
    """The caller has received the endpoint's complete answer."""

    status: int


@dataclass(frozen=True)
class NotRun:
    """The request did not run at the endpoint."""

    cause: str


@dataclass(frozen=True)
class Lost:
    """The request was sent, but no complete answer was received."""

    cause: str


@dataclass(frozen=True)
class Failed:
    """The endpoint answered with an error, which is kept here."""

    head: AnswerHead
    body: bytes


SendResult = Done | NotRun | Lost | Failed


@dataclass(frozen=True)
class ReservedGrant:
    """A grant for another endpoint, made while the current one is silent."""

    key: RequestKey
    granted: Granted


@dataclass
class RoutedRequest:
    """One routed request.

    Attributes
    ----------
    expires : float
        When the caller's deadline or the route's time-out is reached, on the
        monotonic clock.
    sent_to : list of EndpointId
        Endpoints to which it may have been sent, in order of the attempts.
    refused_by : list of EndpointId
        Those of them that stated that it did not run.
    may_have_run, may_have_run_before : bool
        Whether it may have run in any attempt, and in one before the latest.
    last_event_id : str
        Id of the last event that the caller has received.
    pool : PoolId
        Where it is served.
    other_pools : tuple of PoolId
        Targets of its route in which its stream may have begun as well, until that
        is known.
    is_pool_certain : bool
        Whether its stream, if it has begun, can have begun in no other pool.
    asked : float
        When it was accepted, on a clock that counts suspension.
    stream : RequestKey
        The caller's attempt with which its stream began; empty if the route has none.
    version : SoftwareVersion
        The version that began the stream, empty if none has or if it is not known.
    versions : list of SoftwareVersion
        The versions of these endpoints.
    forwarders : list of InstanceId
        Other instances that sent it there.
    unsent : int
        Number of attempts that sent nothing.
    progress_at : float
        When the endpoint of the latest attempt got it, or answered a part of it.
    pause_s : float
        For how long the endpoint of the latest attempt wants no other request.
    parts : tuple of SuspectId
        The parts of its prompt that other requests may share.
    digest : SuspectId
        Same for requests of the same team with the same host, path and body.
    late_answer : Channel or None
        The connection that another task waits on, since its attempt was given up.
    reserved : ReservedGrant or None
        Grant for the next attempt, if one has been reserved.
    relayed : RelayedAnswer or None
        What the caller has got, if that is an endpoint's answer.
    gave_way : bool
        Whether it was ended because too much was held.
    """

    incoming: IncomingRequest
    responder: Responder
    request_info: RequestInfo
    route: Route
    team: TeamId
    pool: PoolId
    expires: float
    quota_tokens: int
    config_version: int
    config_age_s: float
    tier: TierId
    digest: SuspectId
    other_pools: tuple[PoolId, ...] = ()
    is_pool_certain: bool = True
    asked: float = 0.0
    parts: tuple[SuspectId, ...] = ()
    avoid: list[EndpointId] = field(default_factory=list)
    sent_to: list[EndpointId] = field(default_factory=list)
    refused_by: list[EndpointId] = field(default_factory=list)
    versions: list[SoftwareVersion] = field(default_factory=list)
    forwarders: list[InstanceId] = field(default_factory=list)
    unsent: int = 0
    progress_at: float = 0.0
    pause_s: float = 0.0
    may_have_run: bool = False
    may_have_run_before: bool = False
    last_event_id: str = ""
    stream: RequestKey = NO_STREAM
    version: SoftwareVersion = UNKNOWN_VERSION
    events: int = 0
    granted_at: float = 0.0
    waited_s: float = 0.0
    times: EventTimes = field(default_factory=EventTimes)
    first_event: float | None = None
    first_byte: float | None = None
    last_byte: float = 0.0
    result: ReleaseResult = ReleaseResult.NOT_SENT
    failure: Failed | None = None
    late_answer: Channel | None = None
    reserved: ReservedGrant | None = None
    relayed: RelayedAnswer | None = None
    gave_way: bool = False

    def has_begun(self) -> bool:
        """Return whether the caller has events of the stream, of any attempt."""
        return bool(self.stream and (self.events or self.request_info.last_event_id))

    def due_times(self) -> tuple[float, float]:
        """Return when the first byte is due and when the caller abandons the request.

        A request that has been sent before, or whose caller has a part of its answer,
        is worth sending when it is late too.
        """
        if self.sent_to or self.has_begun():
            return self.expires, self.expires
        arrived, route = self.incoming.arrived, self.route
        return (
            min(arrived + route.objective_s, self.expires),
            min(arrived + route.abandon_after_s, self.expires),
        )

    def suspects(self) -> tuple[SuspectId, ...]:
        """Return what in the request may crash endpoints."""
        return (*self.parts, self.digest)


def shared_parts(prefix: tuple[tuple[str, int], ...]) -> tuple[SuspectId, ...]:
    """Return the parts of a prompt that other requests may share.

    The last part belongs to the request itself.

    Parameters
    ----------
    prefix : tuple of (str, int)
        The parts in order, with their numbers of tokens.
    """
    return tuple(SuspectId(name) for name, _ in prefix[:-1][:MAX_PROMPT_PARTS])


def request_digest(team: TeamId, host: str, incoming: IncomingRequest) -> SuspectId:
    """Return the digest that a request shares with its repetitions.

    Ids, deadlines and other headers differ between these and do not count.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field_ in (team.encode(), host.encode(), incoming.target, incoming.body):
        digest.update(b"%d:" % len(field_))
        digest.update(field_)
    return SuspectId(f"{DIGEST_PREFIX}{digest.hexdigest()}")


def was_not_sent(request: RoutedRequest) -> bool:
    """Return whether the latest attempt sent nothing."""
    return request.result in {ReleaseResult.NOT_SENT, ReleaseResult.UNREACHABLE}


def describe(why: SendResult | Refused) -> str:
    """Return why an attempt has no answer, for logs and refusals."""
    if isinstance(why, Refused):
        return f"{why.reason.value}: {why.detail}"
    if isinstance(why, Failed):
        return f"status {why.head.status}"
    return why.cause if isinstance(why, NotRun | Lost) else "done"

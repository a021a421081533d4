"""Messages between instances and their CBOR encoding.

A frame is a CBOR array of messages. A message is an array of its tag and its
fields in order. The order of the fields, the order of the classes in `Message`
and the types are therefore part of the wire format; field names are not sent.
Frames from peers are decoded strictly: a field of the wrong type makes the frame
invalid.
"""

import types
from collections.abc import Callable, Iterable
from dataclasses import dataclass, fields, replace
from enum import Enum
from typing import Any, NewType, Union, get_args, get_origin, get_type_hints

import cbor2

from savorydyke._exceptions import ProtocolError
from savorydyke._ids import (
    NO_STREAM,
    UNKNOWN_VERSION,
    EndpointId,
    InstanceId,
    PoolId,
    ProcessId,
    Reason,
    ReleaseResult,
    RequestKey,
    Revision,
    SoftwareVersion,
    SuspectId,
    TeamId,
)
from savorydyke._untrusted import MAX_INTEGER, raises_only

PROTOCOL_VERSION = 7
MAX_FRAME_BYTES = 2_000_000


@dataclass(frozen=True)
class Challenge:
    """First frame of the accepting side, with the nonce that the peer must sign."""

    version: int
    instance: InstanceId
    nonce: bytes


@dataclass(frozen=True)
class Hello:
    """Reply of the dialling side, with its signature and its own nonce."""

    version: int
    instance: InstanceId
    address: str
    data_centre: str
    incarnation: int
    nonce: bytes
    signature: bytes


@dataclass(frozen=True)
class Welcome:
    """Last frame of the handshake, signed by the accepting side."""

    address: str
    data_centre: str
    incarnation: int
    signature: bytes


@dataclass(frozen=True)
class MemberRow:
    """What the sender knows about one instance.

    Attributes
    ----------
    age_ms : int
        Time since the counter advanced to this value, as far as the sender
        knows. It includes the age in the row from which the sender learned it.
    """

    instance: InstanceId
    address: str
    data_centre: str
    incarnation: int
    counter: int
    age_ms: int
    leaving: bool
    slow: bool = False
    cut_off: bool = False


@dataclass(frozen=True)
class LossRow:
    """A suspect under which a process of an endpoint has ended.

    Attributes
    ----------
    depth : int
        Place of a part in prompts, 0 for the first.
    process : ProcessId
        Empty if an answer to a request with the suspect was complete.
    sent_age_ms, lost_age_ms : int
        Time since the request was sent and since its answer broke off or, without
        a process, was complete.
    trials : int
        How often a request with the suspect was sent since it is held back.
    """

    suspect: SuspectId
    depth: int
    process: ProcessId
    sent_age_ms: int
    lost_age_ms: int
    trials: int = 0


@dataclass(frozen=True)
class LimitRow:
    """The limit, or the number of rejections, that an endpoint has named.

    Attributes
    ----------
    per_1000_s : int
        Requests in 1,000 s, -1 if the limit has ended.
    age_ms : int
        Time since the endpoint said so.
    """

    endpoint: EndpointId
    per_1000_s: int
    age_ms: int


@dataclass(frozen=True)
class Heartbeat:
    """Shows that the sender is running, with state that must spread quickly.

    It is sent periodically.

    Attributes
    ----------
    echo : int
        The latest counter received from the recipient. It tells the recipient
        that this heartbeat is newer than its own heartbeat with that counter,
        which bounds the age of the contents without a common clock.
    confirmation_age_ms : int
        Age of the latest confirmation that `revision` is the newest; -1 for
        none.
    leaving_processes : tuple of ProcessId
        Processes of endpoints that the sender knows to be leaving.
    rows : tuple of MemberRow
        The sender's view of the fleet; sent on only one link at each interval.
    slow : bool
        Whether the sender is too slow to coordinate a pool.
    cut_off : bool
        Whether the sender reaches no endpoint itself.
    losses : tuple of LossRow
        Evidence against suspects; sent on all links when it or `limits`
        changes and otherwise like `rows`.
    limits, rejections : tuple of LimitRow
        Limits of endpoints, and the rejections that they bear, sent like `losses`.
    """

    counter: int
    echo: int
    leaving: bool
    revision: Revision
    confirmation_age_ms: int
    leaving_processes: tuple[ProcessId, ...]
    rows: tuple[MemberRow, ...]
    slow: bool = False
    losses: tuple[LossRow, ...] = ()
    limits: tuple[LimitRow, ...] = ()
    cut_off: bool = False
    rejections: tuple[LimitRow, ...] = ()


@dataclass(frozen=True)
class ConfigurationRequest:
    """Asks a peer for its configuration if newer than `revision`."""

    revision: Revision


@dataclass(frozen=True)
class ConfigurationPush:
    """A configuration record as the platform stores it."""

    revision: Revision
    record: bytes


@dataclass(frozen=True)
class QuotaPush:
    """The quota balances of the calling teams, for a pool's next coordinator.

    Attributes
    ----------
    record : bytes
        The balances in their stored form.
    """

    pool: PoolId
    record: bytes


@dataclass(frozen=True)
class Acquire:
    """Asks the coordinator of a pool for a grant.

    Attributes
    ----------
    attempt : int
        Sequence number of the frontend's acquisitions for this request.
    prompt_tokens, output_tokens : int
        Estimated cost.
    prefix : tuple of int
        Digests of the prompt's leading blocks, shortest first.
    deadline_ms : int
        Time left when the message was sent.
    avoid : tuple of EndpointId
        Endpoints that were unreachable on earlier attempts.
    has_caller_id : bool
        Whether the caller chose the request id, so that the request may be a
        retry by the caller.
    resume_only : bool
        Whether the coordinator may only resume a request that was dispatched
        earlier, and must not dispatch a new one.
    at_most_once : bool
        Whether a claim keeps the request from running twice, so that the
        coordinator's record of earlier dispatches does not matter.
    urgency : int
        Rank within the team's tier, 0 for the highest.
    objective_ms : int
        Time left until the first byte is due; -1 if only the deadline counts.
    abandon_after_ms : int
        Time left until the caller abandons the request if there is still no
        first byte; -1 if it waits until the deadline.
    is_retry : bool
        Whether the request was sent before, so that this send counts against
        the retry budget.
    quota_tokens : int
        What the request counts against its team's quota.
    suspects : tuple of SuspectId
        What in the request may crash endpoints.
    stream : RequestKey
        The stream that the request takes up, empty for a new one.
    version : SoftwareVersion
        The version that the endpoint must have, empty for any one or, with `stream`,
        for the one that the coordinator knows.
    max_output_tokens : int
        Largest size of the answer, 0 if not known. Earlier builds do not know it.
    prefix_tokens : tuple of int
        Tokens of the prompt up to each digest in `prefix`, if that is of named parts;
        empty if it is of blocks. Earlier builds do not know it, and get no such prefix.
    waited_ms : int
        Time from the request's arrival at the frontend until the message was sent.
    """

    key: RequestKey
    attempt: int
    pool: PoolId
    team: TeamId
    model: str
    prompt_tokens: int
    output_tokens: int
    prefix: tuple[int, ...]
    deadline_ms: int
    avoid: tuple[EndpointId, ...]
    has_caller_id: bool
    resume_only: bool
    at_most_once: bool
    urgency: int = 0
    objective_ms: int = -1
    is_retry: bool = False
    quota_tokens: int = 0
    abandon_after_ms: int = -1
    suspects: tuple[SuspectId, ...] = ()
    stream: RequestKey = NO_STREAM
    version: SoftwareVersion = UNKNOWN_VERSION
    max_output_tokens: int = 0
    prefix_tokens: tuple[int, ...] = ()
    waited_ms: int = 0


@dataclass(frozen=True)
class Queued:
    """Tells a frontend that its request waits at the coordinator."""

    key: RequestKey
    attempt: int


@dataclass(frozen=True)
class Grant:
    """Permits one dispatch to one endpoint.

    Attributes
    ----------
    resume : bool
        Resume a stream that runs at the endpoint; send no new request.
    probe : tuple of EndpointId
        Endpoints to ask for this request id first, since the coordinator took
        over too recently to know whether an earlier one dispatched it.
    first_ms : int
        Predicted time to the first byte, 0 if there is no prediction.
    cached_tokens : int
        Prompt tokens that the endpoint is expected to hold. Earlier builds do not know
        it.
    """

    key: RequestKey
    attempt: int
    endpoint: EndpointId
    resume: bool
    probe: tuple[EndpointId, ...]
    first_ms: int = 0
    cached_tokens: int = 0


@dataclass(frozen=True)
class Refuse:
    """Refuses a request.

    Attributes
    ----------
    retry_ms : int
        Time after which the caller may try again; -1 for never.
    may_have_run : bool
        Whether the request may have run at an endpoint.
    """

    key: RequestKey
    attempt: int
    reason: Reason
    detail: str
    retry_ms: int
    may_have_run: bool


@dataclass(frozen=True)
class Started:
    """Reports the first byte of the answer, which means that prefill is done.

    Attributes
    ----------
    stream : RequestKey
        The caller's attempt with which the stream began; empty if the answer is none.
    version : SoftwareVersion
        The version of the endpoint.
    pace_percent, pace_age_ms : int
        The pace that the endpoint has reported, 0 for none, and the time since.
        Earlier builds do not know them.
    endpoint_running, endpoint_waiting : int
        The requests that run and wait by the endpoint's load report, -1 if not known.
    """

    key: RequestKey
    pool: PoolId
    first_byte_ms: int
    stream: RequestKey = NO_STREAM
    version: SoftwareVersion = UNKNOWN_VERSION
    pace_percent: int = 0
    pace_age_ms: int = 0
    endpoint_running: int = -1
    endpoint_waiting: int = -1


@dataclass(frozen=True)
class Release:
    """Returns a grant.

    Attributes
    ----------
    output_tokens, decode_ms : int
        Tokens generated, and the time that this took after the first byte.
    pause_ms : int
        For how long the endpoint wants no other request of the sending frontend.
    pace_percent, pace_age_ms : int
        As in `Started`.
    """

    key: RequestKey
    attempt: int
    pool: PoolId
    endpoint: EndpointId
    result: ReleaseResult
    output_tokens: int
    decode_ms: int
    pause_ms: int = 0
    pace_percent: int = 0
    pace_age_ms: int = 0


@dataclass(frozen=True)
class Withdraw:
    """Cancels a waiting request of the sending frontend."""

    key: RequestKey
    pool: PoolId


@dataclass(frozen=True)
class RunningRow:
    """One request in flight, as its frontend reports it to a new coordinator.

    Attributes
    ----------
    stream, version : RequestKey and SoftwareVersion
        As in `Started`, if it has started.
    """

    key: RequestKey
    attempt: int
    team: TeamId
    endpoint: EndpointId
    prompt_tokens: int
    output_tokens: int
    started: bool
    stream: RequestKey = NO_STREAM
    version: SoftwareVersion = UNKNOWN_VERSION


@dataclass(frozen=True)
class Register:
    """Requests in flight of one frontend in one pool.

    Attributes
    ----------
    full : bool
        Whether the list is complete, so that the coordinator may drop any other
        requests of this frontend.
    """

    pool: PoolId
    full: bool
    running: tuple[RunningRow, ...]


@dataclass(frozen=True)
class StreamPush:
    """Tells the next coordinator of a pool at which version streams began."""

    version: SoftwareVersion
    streams: tuple[RequestKey, ...]


Message = (
    Challenge
    | Hello
    | Welcome
    | Heartbeat
    | ConfigurationRequest
    | ConfigurationPush
    | Acquire
    | Grant
    | Refuse
    | Started
    | Release
    | Withdraw
    | Register
    | Queued
    | QuotaPush
    | StreamPush
)
_FIRST_FIELDS: dict[type, int] = {
    Acquire: 21,
    Grant: 6,
    Refuse: 6,
    Started: 5,
    Release: 8,
}
"""Number of fields that the builds know which do not ignore others."""
_NESTED = (MemberRow, RunningRow, LossRow, LimitRow)
_TAGS = {kind: tag for tag, kind in enumerate(get_args(Message))}
_KINDS = {tag: kind for kind, tag in _TAGS.items()}

Check = Callable[[Any], Any]


def encode(messages: Iterable[Message], is_extensible: bool = True) -> bytes:
    """Return one frame with `messages`.

    Parameters
    ----------
    is_extensible : bool
        Whether the peer ignores fields that it does not know; to earlier builds, which
        refuse them, later fields are not sent.
    """
    rows = []
    for message in messages:
        kind = type(message)
        if is_extensible:
            rows.append([_TAGS[kind], *_plain(message)])
            continue
        if isinstance(message, Acquire):
            message = _without_parts(message)
        rows.append([_TAGS[kind], *_plain(message)[: _FIRST_FIELDS.get(kind)]])
    return cbor2.dumps(rows)


def _without_parts(message: Acquire) -> Acquire:
    """Return a request without the digests that an earlier build would misread."""
    return replace(message, prefix=()) if message.prefix_tokens else message


@raises_only(ProtocolError)
def decode(frame: bytes) -> list[Message]:
    """Return the messages of one frame.

    Raises
    ------
    ProtocolError
        If the frame is not valid.
    """
    rows = cbor2.loads(frame)
    if not isinstance(rows, list):
        raise ProtocolError("a frame must be an array")
    return [_decode_message(row) for row in rows]


def _plain(message: Any) -> list[Any]:
    plan = _PLANS[type(message)]
    values = [*message.__dict__.values()]
    for index in plan.special:
        values[index] = _plain_value(values[index])
    return values


def _plain_value(value: Any) -> Any:
    if isinstance(value, tuple):
        return [_plain(x) if isinstance(x, _NESTED) else x for x in value]
    return value.value if isinstance(value, Enum) else value


def _decode_message(row: Any) -> Message:
    if not isinstance(row, list) or not row or type(row[0]) is not int:
        raise ProtocolError("a message must be an array with a tag")
    kind = _KINDS.get(row[0])
    if kind is None:
        raise ProtocolError(f"unknown tag {row[0]}")
    return _build(kind, row[1:])


def _build(kind: type, values: list) -> Any:
    plan = _PLANS[kind]
    count, known = len(values), len(plan.names)
    if count != known:
        least = _FIRST_FIELDS.get(kind, known)
        if count < least or (count > known and kind in _NESTED):
            raise ProtocolError(f"{kind.__name__} has {count} fields")
        # Later fields may be absent, and those of later builds are ignored.
        values = [*values[:known], *plan.defaults[count:]]
    if [*map(type, values)] != plan.types:
        raise ProtocolError(f"{kind.__name__} has a field of the wrong type")
    for index in plan.integers:
        if abs(values[index]) > MAX_INTEGER:
            raise ProtocolError("an integer of more than 64 bits")
    for index, check in plan.special.items():
        values[index] = check(values[index])
    # A frozen dataclass sets its fields one by one, which takes most of the time.
    message: Any = object.__new__(kind)
    message.__dict__.update(zip(plan.names, values, strict=True))
    return message


def _exactly(expected: type) -> Check:
    def check(value: Any) -> Any:
        if type(value) is not expected:
            raise ProtocolError(f"expected {expected.__name__}")
        if type(value) is int and abs(value) > MAX_INTEGER:
            raise ProtocolError("an integer of more than 64 bits")
        return value

    return check


def _tuple_of(item: Check) -> Check:
    def check(value: Any) -> tuple:
        if type(value) is not list:
            raise ProtocolError("expected an array")
        return tuple([item(x) for x in value])

    return check


def _nested(kind: type) -> Check:
    def check(value: Any) -> Any:
        if type(value) is not list:
            raise ProtocolError("expected an array")
        return _build(kind, value)

    return check


def _member_of(kind: type[Enum]) -> Check:
    members = {member.value: member for member in kind}

    def check(value: Any) -> Any:
        if type(value) is not str or value not in members:
            raise ProtocolError(f"expected a value of {kind.__name__}")
        return members[value]

    return check


def _check_for(hint: Any) -> Check:
    if isinstance(hint, NewType):
        return _check_for(hint.__supertype__)
    if get_origin(hint) is tuple:
        return _tuple_of(_check_for(get_args(hint)[0]))
    if get_origin(hint) in {Union, types.UnionType}:
        raise TypeError("union fields have no encoding")
    if isinstance(hint, type) and issubclass(hint, Enum):
        return _member_of(hint)
    if hint in _NESTED:
        return _nested(hint)
    return _exactly(hint)


@dataclass(frozen=True)
class Plan:
    """How the fields of a message are checked and converted.

    Attributes
    ----------
    types : list of type
        Types of the fields as they are decoded.
    integers : list of int
        Places of the integers.
    special : dict of int to callable
        Places of arrays and values of enumerations, and how they are read.
    defaults : list
        Values of the fields that may be absent, as they are encoded.
    """

    names: list[str]
    types: list[type]
    integers: list[int]
    special: dict[int, Check]
    defaults: list[Any]


def _plan_of(kind: type) -> Plan:
    hints = get_type_hints(kind)
    plan = Plan([], [], [], {}, [])
    for index, item in enumerate(fields(kind)):
        hint = _base_type(hints[item.name])
        is_array = get_origin(hint) is tuple or hint in _NESTED
        is_member = isinstance(hint, type) and issubclass(hint, Enum)
        plan.names.append(item.name)
        plan.types.append(list if is_array else str if is_member else hint)
        plan.defaults.append([] if is_array else item.default)
        if is_array or is_member:
            plan.special[index] = _check_for(hint)
        elif hint is int:
            plan.integers.append(index)
    return plan


def _base_type(hint: Any) -> Any:
    while isinstance(hint, NewType):
        hint = hint.__supertype__
    return hint


_PLANS: dict[type, Plan] = {
    kind: _plan_of(kind) for kind in (*get_args(Message), *_NESTED)
}

"""Identifier types and enumerations that several modules share."""

from enum import Enum
from typing import NewType

TeamId = NewType("TeamId", str)
TierId = NewType("TierId", str)
PoolId = NewType("PoolId", str)
EndpointId = NewType("EndpointId", str)
InstanceId = NewType("InstanceId", str)
InstanceProcessId = NewType("InstanceProcessId", str)
"""One process of an instance, which starts as another one under the same id."""
DataCentreId = NewType("DataCentreId", str)
RequestId = NewType("RequestId", str)
RequestKey = NewType("RequestKey", str)
"""Team and request id together, since request ids are unique only within a team."""
ProcessId = NewType("ProcessId", str)
"""One process of an endpoint, which a restart replaces."""
SuspectId = NewType("SuspectId", str)
"""What may crash endpoints: a part of prompts, or the digest that a request shares
with its repetitions."""
DIGEST_PREFIX = "request:"
"""Start of the digests of requests. Names of prompt parts contain no colon."""
SoftwareVersion = NewType("SoftwareVersion", str)
"""Version of the software of an endpoint."""
UNKNOWN_VERSION = SoftwareVersion("")
Revision = NewType("Revision", int)


NO_STREAM = RequestKey("")


def is_digest(suspect: SuspectId) -> bool:
    """Return whether a suspect is a whole request and not a part of prompts."""
    return suspect.startswith(DIGEST_PREFIX)


def request_key(team: TeamId, request: RequestId) -> RequestKey:
    """Return the fleet-wide key of one team's request.

    >>> request_key(TeamId("drivers"), RequestId("r1"))
    'drivers/r1'
    """
    return RequestKey(f"{team}/{request}")


class Outcome(Enum):
    """What a refusal states about whether the request was executed."""

    NOT_RUN = "not run"
    MAY_HAVE_RUN = "may have run"


class Reason(Enum):
    """Machine-readable cause of a refusal."""

    BAD_REQUEST = "bad-request"
    BAD_KEY = "bad-key"
    NOT_APPROVED = "not-approved"
    UNKNOWN_MODEL = "unknown-model"
    UNKNOWN_POOL = "unknown-pool"
    TOO_LARGE = "too-large"
    KEY_REQUIRED = "idempotency-key-required"
    KEY_REUSED = "idempotency-key-reused"
    IN_PROGRESS = "in-progress"
    UNKNOWN_OUTCOME = "unknown-outcome"
    DUPLICATE = "duplicate-request"
    OVERLOADED = "overloaded"
    TEAM_LIMIT = "team-limit"
    QUOTA = "team-quota"
    RETRY_BUDGET = "repeat-budget"
    OBJECTIVE = "objective"
    DEADLINE = "deadline"
    NO_ENDPOINT = "no-endpoint"
    NO_CONFIGURATION = "no-configuration"
    STALE_CONFIGURATION = "stale-configuration"
    CLAIMS_UNAVAILABLE = "claims-unavailable"
    STOPPING = "stopping"
    ABORTED = "aborted"
    HELD_BACK = "prompt-held-back"
    UNKNOWN_STREAM = "stream-version-unknown"
    ENDPOINT_FAILED = "endpoint-failed"
    TIMEOUT = "timeout"
    NOT_FOUND = "not-found"
    INTERNAL = "internal-error"


class ReleaseResult(Enum):
    """How a granted request ended at its frontend instance.

    DISCONNECTED means that the caller has disconnected from a stream that still
    runs and may resume it; the coordinator cancels the stream if the caller does
    not return. REJECTED means that the endpoint stated that it did not run the
    request, FAILED that it answered with an error.
    """

    COMPLETE = "complete"
    CANCELLED = "cancelled"
    TRUNCATED = "cut"
    DISCONNECTED = "dropped"
    NOT_SENT = "not-sent"
    UNREACHABLE = "unreachable"
    REJECTED = "rejected"
    FAILED = "failed"


class MemberState(Enum):
    """State of an instance as its peers see it."""

    LIVE = "live"
    LEAVING = "leaving"
    DEAD = "dead"


UNKNOWN_START = 0
"""Start of an endpoint's process that is not known."""


def process_id(endpoint: EndpointId, started_ms: int) -> ProcessId:
    """Return the id of an endpoint's process.

    Parameters
    ----------
    started_ms : int
        Start of the process in Unix milliseconds.
    """
    return ProcessId(f"{endpoint}@{started_ms}")

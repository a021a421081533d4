"""Headers of requests that one instance sends to endpoints for another one.

The instance that has the caller signs the whole request with the fleet's secret. The
signature names the process that shall send it and an attempt that no other request
has, so that a copy of the request is not sent again.
"""

import hashlib
import hmac
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from savorydyke._http1 import Headers
from savorydyke._ids import EndpointId, InstanceId, RequestKey

PREFIX = b"savorydyke-forward-"
ENDPOINT = PREFIX + b"endpoint"
SENDER = PREFIX + b"sender"
ATTEMPT = PREFIX + b"attempt"
PROBE = PREFIX + b"probe"
SIGNATURE = PREFIX + b"signature"
RESULT = PREFIX + b"result"
UNDELIMITED = PREFIX + b"undelimited"
UNSIGNED = frozenset({SIGNATURE, b"content-length"})


class ForwardResult(Enum):
    """What became of a request that another instance was asked to send.

    After all but ANSWERED and LOST the endpoint has received nothing of it. REFUSED and
    UNREACHABLE say that the endpoint is at fault, CUT_OFF that the other instance
    reaches no endpoint either, REACHED that a probe was answered.
    """

    ANSWERED = "answered"
    LOST = "lost"
    REACHED = "reached"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    CUT_OFF = "cut-off"
    UNUSABLE = "unusable"
    BUSY = "busy"
    REJECTED = "rejected"


@dataclass(frozen=True)
class ForwardOrder:
    """Where a forwarded request shall go.

    Attributes
    ----------
    sender : InstanceId
        The instance that has the caller.
    attempt : RequestKey
        Differs for each request that any process sends.
    is_probe : bool
        Whether only a connection shall be opened.
    """

    endpoint: EndpointId
    sender: InstanceId
    attempt: RequestKey
    is_probe: bool = False


def order_headers(order: ForwardOrder) -> Headers:
    """Return the headers that state an order."""
    headers = [
        (ENDPOINT, order.endpoint.encode()),
        (SENDER, order.sender.encode()),
        (ATTEMPT, order.attempt.encode("latin-1")),
    ]
    if order.is_probe:
        headers.append((PROBE, b"1"))
    return headers


def read_order(headers: Headers) -> ForwardOrder | None:
    """Return the order that headers state, None if they state none."""
    found = {name.lower(): value for name, value in headers}
    if not found.keys() >= {ENDPOINT, SENDER, ATTEMPT}:
        return None
    return ForwardOrder(
        EndpointId(found[ENDPOINT].decode("latin-1")),
        InstanceId(found[SENDER].decode("latin-1")),
        RequestKey(found[ATTEMPT].decode("latin-1")),
        PROBE in found,
    )


def without_forward_headers(headers: Headers) -> Headers:
    """Return the headers that are for the endpoint or for the caller."""
    return [(n, v) for n, v in headers if not n.lower().startswith(PREFIX)]


def signature(
    secret: bytes,
    recipient: str,
    method: bytes,
    target: bytes,
    headers: Headers,
    body: bytes,
) -> bytes:
    """Return the signature of a request.

    Parameters
    ----------
    recipient : str
        Names the process that shall send the request to the endpoint.
    """
    digest = hmac.new(secret, b"forward", hashlib.sha256)
    for part in _signed_parts(recipient, method, target, headers, body):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.hexdigest().encode()


def _signed_parts(
    recipient: str, method: bytes, target: bytes, headers: Headers, body: bytes
) -> Iterable[bytes]:
    yield from (recipient.encode(), method, target)
    for name, value in headers:
        if name.lower() not in UNSIGNED:
            yield from (name.lower(), value.strip())
    yield body


def is_signed(
    secret: bytes,
    recipient: str,
    method: bytes,
    target: bytes,
    headers: Headers,
    body: bytes,
) -> bool:
    """Return whether a request has the right signature, once."""
    stated = [value for name, value in headers if name.lower() == SIGNATURE]
    expected = signature(secret, recipient, method, target, headers, body)
    return len(stated) == 1 and hmac.compare_digest(stated[0], expected)


def process_name(instance: InstanceId, incarnation: int) -> str:
    """Return the name of a process of an instance for signatures."""
    return f"{instance}/{incarnation}"

"""What answers of endpoints say that they are, and as what they are relayed."""

from dataclasses import dataclass
from enum import Enum

from savorydyke._http1 import Framing, Headers

PARTIAL_OR_EMPTY = frozenset({204, 205, 206})
"""Successful statuses of answers that have no body, or a part of one."""
MAX_LOGGED_CHARS = 100
"""Longest part of a header that is logged."""


class RelayedAs(Enum):
    """In which way an endpoint's answer is relayed.

    EVENTS checks each event, WHOLE buffers the answer until it is complete, PARTS
    passes on what is too large for that.
    """

    EVENTS = "events"
    WHOLE = "whole"
    PARTS = "parts"


class StatedType(Enum):
    """What an answer's head says of the body."""

    EVENT_STREAM = "event-stream"
    OTHER = "other"
    NONE = "none"


@dataclass
class RelayedAnswer:
    """What a caller has got of an endpoint's answer, for logs and metrics.

    Attributes
    ----------
    content_type : str
        What the endpoint states, cut after 100 characters; empty for nothing.
    size : int
        Bytes of the body that the caller has got of all answers.
    is_early : bool
        Whether the answer was complete before its request had been sent whole.
    """

    relayed_as: RelayedAs
    status: int
    content_type: str
    framing: Framing
    size: int = 0
    is_early: bool = False


def why_not_stream(status: int, headers: Headers) -> str:
    """Return why a successful answer is no stream of events, empty if it is one.

    Callers that ask for a stream read what they get as events, whatever its head says.
    """
    if status in PARTIAL_OR_EMPTY:
        return f"status {status}"
    if is_encoded(headers):
        return "a content encoding"
    types = stated_types(headers)
    if len(types) != 1:
        return f"{len(types)} content types"
    if stated_type(types[0]) is not StatedType.EVENT_STREAM:
        return f"content type {types[0][:MAX_LOGGED_CHARS]!r}"
    return ""


def is_encoded(headers: Headers) -> bool:
    """Return whether a body has a content encoding."""
    return any(name.lower() == b"content-encoding" for name, _ in headers)


def stated_types(headers: Headers) -> list[str]:
    """Return all content types that a head states."""
    return [v.decode("latin-1") for n, v in headers if n.lower() == b"content-type"]


def stated_type(content_type: str) -> StatedType:
    """Return what a head states of a body."""
    if not content_type:
        return StatedType.NONE
    media_type = content_type.partition(";")[0].strip().lower()
    is_stream = media_type == "text/event-stream"
    return StatedType.EVENT_STREAM if is_stream else StatedType.OTHER

"""What answers of endpoints say that they are, and as what they are relayed."""

from dataclasses import dataclass
from enum import Enum

from savorydyke._http1 import Framing


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
    """

    relayed_as: RelayedAs
    status: int
    content_type: str
    framing: Framing
    size: int = 0


def stated_type(content_type: str) -> StatedType:
    """Return what a head states of a body."""
    if not content_type:
        return StatedType.NONE
    media_type = content_type.partition(";")[0].strip().lower()
    is_stream = media_type == "text/event-stream"
    return StatedType.EVENT_STREAM if is_stream else StatedType.OTHER

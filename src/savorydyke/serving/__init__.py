"""Delivery of answers to callers, and what it costs an instance."""

from savorydyke.serving._caller_writer import CallerDisconnectedError, CallerWriter
from savorydyke.serving._ended_requests import hold, refusal_of_ended
from savorydyke.serving._give_way import new_held_bytes
from savorydyke.serving._held_bytes import (
    HeldBounds,
    HeldBytes,
    Holder,
    Kind,
    bounds_of,
)
from savorydyke.serving._request_log import end_fields

__all__ = [
    "CallerDisconnectedError",
    "CallerWriter",
    "HeldBounds",
    "HeldBytes",
    "Holder",
    "Kind",
    "bounds_of",
    "end_fields",
    "hold",
    "new_held_bytes",
    "refusal_of_ended",
]

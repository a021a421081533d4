"""Delivery of answers to callers, and what it costs an instance."""

from savorydyke.serving._caller_writer import CallerDisconnectedError, CallerWriter
from savorydyke.serving._request_log import end_fields

__all__ = ["CallerDisconnectedError", "CallerWriter", "end_fields"]

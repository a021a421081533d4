"""State and functions behind decisions on where requests go."""

from savorydyke.scheduling._endpoint_memory import (
    UNKNOWN_RATIO,
    FallbackMemory,
    OutputTail,
    coordinator_tokens,
)
from savorydyke.scheduling._pace import EndpointPace, PaceReports

__all__ = [
    "UNKNOWN_RATIO",
    "EndpointPace",
    "FallbackMemory",
    "OutputTail",
    "PaceReports",
    "coordinator_tokens",
]

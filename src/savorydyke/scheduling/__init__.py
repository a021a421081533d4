"""State and functions behind decisions on where requests go."""

from savorydyke.scheduling._endpoint_memory import (
    UNKNOWN_RATIO,
    FallbackMemory,
    OutputTail,
    coordinator_tokens,
)
from savorydyke.scheduling._pace import EndpointPace, PaceReports
from savorydyke.scheduling._prompt_cache import (
    DEFAULT_REUSE_S,
    MANY_CACHED,
    PromptCache,
    chained_parts,
    is_worth_waiting,
)
from savorydyke.scheduling._slot_overlap import SlotOverlap

__all__ = [
    "DEFAULT_REUSE_S",
    "MANY_CACHED",
    "UNKNOWN_RATIO",
    "EndpointPace",
    "FallbackMemory",
    "OutputTail",
    "PaceReports",
    "PromptCache",
    "SlotOverlap",
    "chained_parts",
    "coordinator_tokens",
    "is_worth_waiting",
]

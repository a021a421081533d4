"""Decisions about where requests go and when, at the coordinator of a pool."""

from savorydyke.scheduling._closed_ranks import CLOSED_DETAIL, ClosedRanks
from savorydyke.scheduling._endpoint_choice import MARGIN, EndpointChoice
from savorydyke.scheduling._endpoint_index import EndpointIndex, GroupKey
from savorydyke.scheduling._endpoint_memory import (
    UNKNOWN_RATIO,
    FallbackMemory,
    OutputTail,
    coordinator_tokens,
)
from savorydyke.scheduling._inbox import Inbox, PoolMessage, Received, is_stale
from savorydyke.scheduling._message_costs import MessageCosts
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
    "CLOSED_DETAIL",
    "DEFAULT_REUSE_S",
    "MANY_CACHED",
    "MARGIN",
    "UNKNOWN_RATIO",
    "ClosedRanks",
    "EndpointChoice",
    "EndpointIndex",
    "EndpointPace",
    "FallbackMemory",
    "GroupKey",
    "Inbox",
    "MessageCosts",
    "OutputTail",
    "PaceReports",
    "PoolMessage",
    "PromptCache",
    "Received",
    "SlotOverlap",
    "chained_parts",
    "coordinator_tokens",
    "is_stale",
    "is_worth_waiting",
]

"""The users' platform: its store, its records and its header names.

This package translates and decides nothing. Its names stand nowhere else.
"""

from savorydyke.platform._headers import (
    AnswerMarks,
    BadRequestHeadError,
    RequestMarks,
    answer_headers,
    endpoint_headers,
    read_answer_marks,
    read_request_marks,
    refusal_headers,
)
from savorydyke.platform._records import (
    CONFIGURATION_KEY,
    READINESS_PATH,
    BadRecordError,
    EndpointRecord,
    InstanceRecord,
    endpoint_of_key,
    instance_key,
    instance_of_key,
    read_configuration,
    read_endpoint,
    read_instance,
    write_instance,
)
from savorydyke.platform._store import (
    Change,
    Changes,
    Compacted,
    Item,
    LeaseLost,
    Listing,
    Store,
    StoreError,
    Written,
    open_store,
)

__all__ = [
    "CONFIGURATION_KEY",
    "READINESS_PATH",
    "AnswerMarks",
    "BadRecordError",
    "BadRequestHeadError",
    "Change",
    "Changes",
    "Compacted",
    "EndpointRecord",
    "InstanceRecord",
    "Item",
    "LeaseLost",
    "Listing",
    "RequestMarks",
    "Store",
    "StoreError",
    "Written",
    "answer_headers",
    "endpoint_headers",
    "endpoint_of_key",
    "instance_key",
    "instance_of_key",
    "open_store",
    "read_answer_marks",
    "read_configuration",
    "read_endpoint",
    "read_instance",
    "read_request_marks",
    "refusal_headers",
    "write_instance",
]

"""The users' platform: its store, its records and its header names.

This package only translates between the platform's formats and this system's
types. The platform's names appear nowhere else.
"""

from savorydyke.platform._headers import (
    BadRequestHeadError,
    RequestInfo,
    ResponseInfo,
    endpoint_headers,
    parse_request_headers,
    parse_response_headers,
    refusal_headers,
    response_headers,
)
from savorydyke.platform._records import (
    CONFIGURATION_KEY,
    FLEET_KEY,
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
    LeaseExpired,
    Listing,
    Store,
    StoreError,
    StoreFault,
    Written,
    open_store,
)

__all__ = [
    "CONFIGURATION_KEY",
    "FLEET_KEY",
    "READINESS_PATH",
    "BadRecordError",
    "BadRequestHeadError",
    "Change",
    "Changes",
    "Compacted",
    "EndpointRecord",
    "InstanceRecord",
    "Item",
    "LeaseExpired",
    "Listing",
    "RequestInfo",
    "ResponseInfo",
    "Store",
    "StoreError",
    "StoreFault",
    "Written",
    "endpoint_headers",
    "endpoint_of_key",
    "instance_key",
    "instance_of_key",
    "open_store",
    "parse_request_headers",
    "parse_response_headers",
    "read_configuration",
    "read_endpoint",
    "read_instance",
    "refusal_headers",
    "response_headers",
    "write_instance",
]

"""Conversion between records in the platform's store and this system's types."""

import json
import re
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Any

from savorydyke._ids import (
    UNKNOWN_VERSION,
    DataCentreId,
    EndpointId,
    InstanceId,
    PoolId,
    SoftwareVersion,
    TeamId,
)
from savorydyke._ingress import IngressLimits
from savorydyke._manifest import PoolKind
from savorydyke._routes import (
    Route,
    RoutedConfiguration,
    RoutedPool,
    RoutedTeam,
    Target,
    TeamQuota,
    build_configuration,
)
from savorydyke._untrusted import (
    MAX_INTEGER,
    is_address,
    is_name,
    parse_json,
    raises_only,
)
from savorydyke.rollouts._records import Order, Record, Stage

CONFIGURATION_KEY = "op/config"
ENDPOINT_PREFIX = "servers/"
INSTANCE_PREFIX = "savorydyke/instances/"
EVIDENCE_PREFIX = "savorydyke/evidence/"
STREAMS_PREFIX = "savorydyke/streams/"
VERSIONS_PREFIX = "savorydyke/versions/"
ORDER_PREFIX = "op/rollout/"
STATUS_PREFIX = "status/rollout/"
ROLLOUT_PREFIX = "savorydyke/rollouts/"
MAX_WITHIN_S = 86_400.0
HEARTBEAT_FIELD = b'"seq"'
HEARTBEAT_NUMBER = re.compile(rb'"seq":[ ]?(0|[1-9][0-9]{0,17})(?=[,}])')
FLEET_KEY = "savorydyke/fleet-key"
READINESS_PATH = b"/savorydyke/readyz"
DEFAULT_TOKENS_PER_EVENT = 1
MAX_TEXT = 200
MAX_SLOTS = 100_000
MAX_WARM_UP_MS = 86_400_000
MIN_CORES = 0.01
MAX_CORES = 100_000.0
MIN_ABANDON_AFTER_S = 2.0
ABANDON_OBJECTIVES = 4
ABANDON_PAUSES = 8
"""Callers abandon a silent stream after the longest of these times, as the
platform's protocol says: a minimum, and multiples of the route's objective and of
its longest pause between events."""


class RolloutKey(Enum):
    """The prefixes of keys about roll-outs, each followed by the name of a pool."""

    ORDER = ORDER_PREFIX
    STATUS = STATUS_PREFIX
    RECORD = ROLLOUT_PREFIX


class BadRecordError(Exception):
    """Raised when a record is invalid."""


@dataclass(frozen=True)
class EndpointRecord:
    """The record that an endpoint writes about itself.

    Attributes
    ----------
    started_ms : int
        Start of the process, in Unix milliseconds. It differs after a restart
        under the same name.
    heartbeat : int
        Number of the heartbeat with which it was written, 0 if not given.
    version : SoftwareVersion
        Version of its software, not of the model's weights.
    warm_up_s : float
        For how much longer it is slow because it has only just started.
    constant : bytes
        The record as stored, without the digits of the heartbeat's number; empty if
        these can not be told from the rest.
    """

    id: EndpointId
    pool: PoolId
    address: str
    data_centre: DataCentreId
    slots: int
    leaving: bool
    warm_up_s: float
    started_ms: int
    heartbeat: int = 0
    version: SoftwareVersion = UNKNOWN_VERSION
    constant: bytes = field(default=b"", compare=False, repr=False)


@dataclass(frozen=True)
class InstanceRecord:
    """The record that an instance writes about itself.

    Attributes
    ----------
    address : str
        Address for its peers.
    cores : float
        Number of processor cores that it may use.
    reports_quotas : bool
        Whether it reports to coordinators what it sends; earlier builds do not.
    """

    id: InstanceId
    address: str
    data_centre: DataCentreId
    cores: float = 1.0
    reports_quotas: bool = True


def endpoint_of_key(key: str) -> EndpointId | None:
    """Return the endpoint whose record is stored under a key, or None."""
    return (
        EndpointId(key[len(ENDPOINT_PREFIX) :])
        if key.startswith(ENDPOINT_PREFIX)
        else None
    )


def instance_of_key(key: str) -> InstanceId | None:
    """Return the instance whose record is stored under a key, or None."""
    return (
        InstanceId(key[len(INSTANCE_PREFIX) :])
        if key.startswith(INSTANCE_PREFIX)
        else None
    )


def evidence_of_key(key: str) -> InstanceId | None:
    """Return the instance whose evidence a key holds, or None."""
    return (
        InstanceId(key[len(EVIDENCE_PREFIX) :])
        if key.startswith(EVIDENCE_PREFIX)
        else None
    )


def evidence_key(instance: InstanceId) -> str:
    """Return the key of the evidence that an instance has written."""
    return EVIDENCE_PREFIX + instance


def streams_key(pool: PoolId, name: str) -> str:
    """Return the key of a record of streams of a pool."""
    return f"{STREAMS_PREFIX}{pool}/{name}"


def streams_of_key(key: str) -> PoolId | None:
    """Return the pool whose streams a key holds, or None."""
    if not key.startswith(STREAMS_PREFIX):
        return None
    return PoolId(key[len(STREAMS_PREFIX) :].partition("/")[0])


def versions_key(pool: PoolId) -> str:
    """Return the key of the software versions of a pool."""
    return VERSIONS_PREFIX + pool


def versions_of_key(key: str) -> PoolId | None:
    """Return the pool whose software versions a key holds, or None."""
    if not key.startswith(VERSIONS_PREFIX):
        return None
    return PoolId(key[len(VERSIONS_PREFIX) :])


def rollout_key(pool: PoolId) -> str:
    """Return the key of our record of a pool's roll-out."""
    return ROLLOUT_PREFIX + pool


def rollout_status_key(pool: PoolId) -> str:
    """Return the key of the status that operators read."""
    return STATUS_PREFIX + pool


def pool_of_rollout_key(key: str) -> tuple[RolloutKey, PoolId] | None:
    """Return what a key holds of which pool's roll-out, None if it is another key."""
    for kind in RolloutKey:
        if key.startswith(kind.value):
            return kind, PoolId(key[len(kind.value) :])
    return None


@raises_only(BadRecordError)
def read_order(pool: PoolId, data: bytes, order_id: str) -> Order:
    """Return an operator's order.

    Raises
    ------
    BadRecordError
        If it is invalid.
    """
    value = _object(data)
    if value.get("service", pool) != pool:
        raise BadRecordError("the order names another service than its key")
    to = value.get("to")
    version = _version(value | {"version": to})
    if version == UNKNOWN_VERSION:
        raise BadRecordError("the order names no version")
    within_s = _number(value, "within_s", 0.0, MAX_WITHIN_S)
    if within_s <= 0:
        raise BadRecordError("the order names no time")
    return Order(order_id, version, within_s)


def write_rollout_status(record: Record) -> bytes:
    """Return the status that operators read."""
    state = "running"
    if record.stage.is_final():
        state = "complete" if record.stage is Stage.COMPLETE else "reverted"
    return json.dumps({"state": state, "to": record.to}).encode()


def instance_key(instance: InstanceId) -> str:
    """Return the key of an instance's record."""
    return INSTANCE_PREFIX + instance


def write_instance(record: InstanceRecord) -> bytes:
    """Return the stored form of an instance's record."""
    value = {
        "address": record.address,
        "data_centre": record.data_centre,
        "cores": record.cores,
        "reports_quotas": record.reports_quotas,
    }
    return json.dumps(value).encode()


@raises_only(BadRecordError)
def read_instance(instance: InstanceId, data: bytes) -> InstanceRecord:
    """Return an instance's record.

    Raises
    ------
    BadRecordError
        If a field is missing or of another type.
    """
    value = _object(data)
    if not is_name(instance):
        raise BadRecordError("the instance's id is not a name")
    return InstanceRecord(
        instance,
        _checked_address(value),
        DataCentreId(_text(value, "data_centre")),
        max(MIN_CORES, _number(value, "cores", 1.0, MAX_CORES)),
        value.get("reports_quotas") is True,
    )


@raises_only(BadRecordError)
def read_endpoint(
    endpoint: EndpointId, data: bytes, known: EndpointRecord | None = None
) -> EndpointRecord:
    """Return an endpoint's record.

    Parameters
    ----------
    known : EndpointRecord or None
        Its record before. Mostly only the number of the heartbeat has changed, and the
        rest need not be read again.

    Raises
    ------
    BadRecordError
        If a field is missing, of another type or has an unknown value.
    """
    number = HEARTBEAT_NUMBER.search(data)
    constant = b""
    if number is not None and data.count(HEARTBEAT_FIELD) == 1:
        constant = data[: number.start(1)] + data[number.end(1) :]
        if known is not None and known.id == endpoint and known.constant == constant:
            return replace(known, heartbeat=int(number[1]))
    value = _object(data)
    state = _text(value, "state")
    if state not in {"ready", "draining"}:
        raise BadRecordError(f"unknown state {state!r}")
    if not is_name(endpoint):
        raise BadRecordError("the endpoint's id is not a name")
    return EndpointRecord(
        id=endpoint,
        pool=PoolId(_text(value, "service")),
        address=_checked_address(value),
        data_centre=DataCentreId(_text(value, "zone")),
        slots=max(1, _integer(value, "slots", most=MAX_SLOTS)),
        leaving=state == "draining",
        warm_up_s=_number(value, "cold_left_ms", 0.0, MAX_WARM_UP_MS) / 1000,
        started_ms=_integer(value, "born", 0),
        heartbeat=_integer(value, "seq", 0),
        version=_version(value),
        constant=constant,
    )


@raises_only(BadRecordError)
def read_configuration(data: bytes) -> RoutedConfiguration:
    """Return the stored configuration.

    Raises
    ------
    BadRecordError
        If it is invalid.
    """
    value = _object(data)
    limits = value.get("limits") or {}
    return build_configuration(
        _integer(value, "version"),
        [_route(item) for item in value["routes"]],
        [_pool(item) for item in value["services"]],
        [_team(item) for item in value.get("tenants") or []],
        IngressLimits(
            max_head_bytes=int(limits.get("max_header_bytes", 16384)),
            max_body_bytes=int(limits.get("max_body_bytes", 4_194_304)),
            head_timeout_s=limits.get("header_timeout_ms", 3000) / 1000,
            idle_timeout_s=limits.get("idle_timeout_ms", 15000) / 1000,
        ),
    )


def _route(item: dict[str, Any]) -> Route:
    if item.get("split"):
        targets = tuple(
            Target(PoolId(part["service"]), float(part["weight"]))
            for part in item["split"]
        )
    else:
        targets = (Target(PoolId(item["service"]), 1.0),)
    streaming = item["kind"] == "streaming"
    timeout_s = float(item["timeout_ms"]) / 1000
    objective_s = float(item.get("slo_ms") or item["timeout_ms"]) / 1000
    resumable = bool(item.get("resumable", False))
    return Route(
        name=str(item["name"]),
        host=str(item["host"]).lower(),
        prefix=str(item["prefix"]),
        targets=targets,
        streaming=streaming,
        # A stream may run again only if it may be resumed.
        is_retryable=item["kind"] == "idempotent" or (streaming and resumable),
        resumable=streaming and resumable,
        max_endpoints=max(1, int(item.get("attempts", 1))),
        timeout_s=timeout_s,
        objective_s=objective_s,
        abandon_after_s=_abandon_after_s(item, objective_s) if streaming else timeout_s,
        urgency=int(item.get("priority") or 0),
        public=bool(item.get("public", False)),
        affinity=bool(item.get("affinity", False)),
    )


def _abandon_after_s(item: dict[str, Any], objective_s: float) -> float:
    """Return the silence after which callers abandon a stream.

    `gap_target_ms` is the longest pause between two events of a stream that is
    on time.
    """
    pause_s = float(item.get("gap_target_ms") or 0) / 1000
    return max(
        MIN_ABANDON_AFTER_S,
        ABANDON_OBJECTIVES * objective_s,
        ABANDON_PAUSES * pause_s,
    )


def _pool(item: dict[str, Any]) -> RoutedPool:
    engine = item.get("backend")
    if not isinstance(engine, dict):
        return RoutedPool(PoolId(item["name"]), PoolKind.SERVICE)
    return RoutedPool(
        id=PoolId(item["name"]),
        kind=PoolKind.ENGINE,
        slots=int(engine.get("slots", 0)),
        memory_tokens=int(engine.get("kv_capacity", 0)),
        # `stride` is the number of tokens in one event of a stream.
        tokens_per_event=int(engine.get("stride", DEFAULT_TOKENS_PER_EVENT)),
    )


def _team(item: dict[str, Any]) -> RoutedTeam:
    counts_tokens = item.get("unit") == "tokens"
    return RoutedTeam(
        id=TeamId(str(item["name"])),
        rank=int(item.get("priority") or 0),
        keys=tuple(str(key) for key in item.get("api_keys") or []),
        quota=TeamQuota(
            float(item.get("rate_per_s") or 0), float(item.get("burst") or 0)
        ),
        default_tokens=int(item.get("plain_tokens") or 1) if counts_tokens else 1,
        counts_tokens=counts_tokens,
    )


def _object(data: bytes) -> dict[str, Any]:
    value = parse_json(data)
    if not isinstance(value, dict):
        raise BadRecordError("not an object")
    return value


def _text(value: dict[str, Any], name: str) -> str:
    found = value.get(name)
    if not isinstance(found, str) or not 0 < len(found) <= MAX_TEXT:
        raise BadRecordError(f"{name!r} is not a text of 1 to {MAX_TEXT} characters")
    if not found.isprintable():
        raise BadRecordError(f"{name!r} has characters that can not be printed")
    return found


def _checked_address(value: dict[str, Any]) -> str:
    address = _text(value, "address")
    if not is_address(address):
        raise BadRecordError(f"invalid address: {address!r}")
    return address


def _version(value: dict[str, Any]) -> SoftwareVersion:
    found = value.get("version")
    if found is None or found == "":
        return UNKNOWN_VERSION
    if isinstance(found, int) and not isinstance(found, bool):
        return SoftwareVersion(str(found))
    return SoftwareVersion(_text(value, "version"))


def _integer(
    value: dict[str, Any],
    name: str,
    default: int | None = None,
    most: int = MAX_INTEGER,
) -> int:
    found = value.get(name, default)
    if isinstance(found, bool) or not isinstance(found, int):
        raise BadRecordError(f"{name!r} is not an integer")
    if not 0 <= found <= most:
        raise BadRecordError(f"{name!r} is not between 0 and {most}")
    return found


def _number(value: dict[str, Any], name: str, default: float, most: float) -> float:
    found = value.get(name, default)
    if isinstance(found, bool) or not isinstance(found, int | float):
        raise BadRecordError(f"{name!r} is not a number")
    if not 0 <= found <= most:
        raise BadRecordError(f"{name!r} is not between 0 and {most}")
    return float(found)

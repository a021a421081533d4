"""Settings of an instance that serves routed callers: JSON with comments."""

from dataclasses import dataclass
from pathlib import Path

from savorydyke._exceptions import FindingsError
from savorydyke._findings import Fields, Findings, read_document
from savorydyke._ids import DataCentreId, InstanceId
from savorydyke._timing import REVOKE_MARGIN_S, ApplyBounds, shortest_bound_s
from savorydyke.platform import is_contended
from savorydyke.rollouts import TrialBounds
from savorydyke.scheduling import DEFAULT_REUSE_S

EDGES = "routed"
"""Value of ``edges`` that identifies settings of a gateway."""


@dataclass(frozen=True)
class Bounds:
    """Limits that the users' rules set for this deployment.

    Attributes
    ----------
    apply : ApplyBounds
        Times within which a change in the store must take effect.
    stop_s : float
        Time between the stop signal and the kill.
    retry_ratio, retry_slack, retry_window_s : float
        Retry budget: allowed retries as a share of the requests in a window,
        the number allowed on top of that, and the length of the window.
    quota_excess, quota_slack : float
        Use beyond its quota that a calling team is allowed: a share of the
        quota, and a number of tokens on top.
    quota_window_s : float
        Length of the sliding window in which use of the quota is counted.
    prefix_reuse_s : float
        Time since its last use in which a prompt part counts as held by an endpoint.
    trial : TrialBounds
        What a bad version may get in a roll-out.
    """

    apply: ApplyBounds
    stop_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    quota_excess: float
    quota_slack: float
    quota_window_s: float
    trial: TrialBounds
    prefix_reuse_s: float = DEFAULT_REUSE_S


@dataclass(frozen=True)
class GatewaySettings:
    """Settings of one instance.

    Attributes
    ----------
    callers, readiness, peers, metrics : str
        Addresses to listen on, an IP number and a port each. If `metrics` is
        empty, metrics are not served.
    store : str
        Address of the platform's store.
    cores : float
        CPU that the instance may use, in cores of nominal speed.
    endpoint_heartbeat_s : float
        Interval at which endpoints write their records.
    memory_mb : float
        Memory that the instance may use, in MB; 0 if it is not known.
    overlaps_slots : bool
        Whether endpoints may get requests before a slot is free.
    counts_tasks : bool
        Whether the processor time of tasks is counted by kind.
    """

    instance: InstanceId
    data_centre: DataCentreId
    callers: str
    readiness: str
    peers: str
    metrics: str
    store: str
    log_level: str
    cores: float
    endpoint_heartbeat_s: float
    bounds: Bounds
    memory_mb: float = 0.0
    overlaps_slots: bool = False
    counts_tasks: bool = False


def is_gateway(text: str, file: str) -> bool:
    """Return whether a settings document configures a gateway."""
    value = read_document(text, file).document.value
    return isinstance(value, dict) and value.get("edges") == EDGES


def read_gateway_settings(path: str) -> GatewaySettings:
    """Return the settings in the file at `path`.

    Raises
    ------
    FindingsError
        With all findings, if there are any.
    """
    text = Path(path).read_text("utf-8")
    settings, findings = check_gateway_settings(text, path)
    if findings.items:
        raise FindingsError(findings.items)
    return settings


def check_gateway_settings(text: str, file: str) -> tuple[GatewaySettings, Findings]:
    """Return the settings in `text` and all findings.

    Fields with a finding hold a placeholder.
    """
    findings = read_document(text, file)
    top = Fields(findings.document.value, (), findings)
    if top.text("edges") != EDGES:
        findings.add(("edges",), f"expected {EDGES!r}")
    settings = GatewaySettings(
        instance=InstanceId(top.name("instance")),
        data_centre=DataCentreId(top.name("data_centre")),
        callers=top.address("callers"),
        readiness=top.address("readiness"),
        peers=top.address("peers"),
        metrics=top.address("metrics", ""),
        store=top.address("store"),
        log_level=top.text("log_level", "info"),
        cores=_cores(top.object("processor")),
        endpoint_heartbeat_s=top.number("endpoint_heartbeat_ms", 1200, 50) / 1000,
        bounds=_bounds(top.object("bounds")),
        memory_mb=top.number("memory_mb", 0.0),
        overlaps_slots=is_contended(top.texts("terms", ())),
        counts_tasks=top.flag("count_tasks", False),
    )
    if settings.log_level not in {"debug", "info", "warning", "error"}:
        findings.add(("log_level",), "expected debug, info, warning or error")
    top.finish()
    return settings, findings


def _cores(fields: Fields) -> float:
    cores = fields.number("share", 1.0, 0.01) * fields.number("speed", 1.0, 0.01)
    fields.finish()
    return cores


def _bounds(fields: Fields) -> Bounds:
    shortest_ms = 1000 * shortest_bound_s()
    revocation_ms = fields.number(
        "revocation_ms", 5000, shortest_ms + 1000 * REVOKE_MARGIN_S
    )
    bounds = Bounds(
        apply=ApplyBounds(
            revocation_s=revocation_ms / 1000,
            configuration_s=fields.number("configuration_ms", 2000, shortest_ms) / 1000,
            leaving_s=fields.number("leaving_ms", 2000, shortest_ms) / 1000,
        ),
        stop_s=fields.number("stop_s", 8, 0.5),
        retry_ratio=fields.number("repeat_ratio", 0.2),
        retry_slack=fields.number("repeat_slack", 10),
        retry_window_s=fields.number("repeat_window_s", 10, 0.1),
        quota_excess=fields.number("quota_excess", 0),
        quota_slack=fields.number("quota_slack", 0),
        quota_window_s=fields.number("quota_window_s", 8, 0.1),
        prefix_reuse_s=fields.number("prefix_reuse_s", DEFAULT_REUSE_S),
        trial=TrialBounds(
            share=fields.number("trial_share", 0.1),
            slack=fields.number("trial_slack", 50),
            rollback_s=fields.number("rollback_ms", 5000, 100) / 1000,
        ),
    )
    fields.finish()
    return bounds

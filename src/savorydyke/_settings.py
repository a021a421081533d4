"""Settings of one instance: JSON with comments, with all findings reported."""

from dataclasses import dataclass
from pathlib import Path

from savorydyke._exceptions import FindingsError
from savorydyke._findings import Fields, Findings, is_address, read_document
from savorydyke._ids import DataCentreId, InstanceId

MIN_SHARED_KEY_LENGTH = 16


@dataclass(frozen=True)
class Limits:
    """Limits on the memory and time that one instance spends on requests.

    Attributes
    ----------
    max_body_bytes : int
        Largest request body.
    max_held_bytes : int
        Total size of the request bodies held at once.
    max_requests : int
        Number of requests held at once.
    body_timeout_s, header_timeout_s : float
        Time within which a caller must send its body or headers.
    resume_grace_s : float
        Time for which a stream keeps running after its caller has disconnected.
    stop_limit_s : float
        Time after which a graceful stop aborts the remaining requests; 0 for no
        limit.
    """

    max_body_bytes: int = 4_000_000
    max_held_bytes: int = 256_000_000
    max_requests: int = 4000
    body_timeout_s: float = 15.0
    header_timeout_s: float = 5.0
    resume_grace_s: float = 5.0
    stop_limit_s: float = 0.0


@dataclass(frozen=True)
class TlsFiles:
    """Paths of PEM files; empty for plain TCP."""

    certificate: str = ""
    key: str = ""
    authority: str = ""


@dataclass(frozen=True)
class Settings:
    """Settings of one instance.

    Attributes
    ----------
    callers, peers, operators : str
        Addresses to listen on, an IP number and a port each.
    advertise : str
        Address at which other instances reach `peers`; `peers` itself if empty.
    platform : tuple of str
        Addresses of the platform's service, tried in turn.
    seeds : tuple of str
        Peer addresses to connect to before the instance list is known.
    shared_key : str
        Secret with which instances authenticate to each other.
    operator_key : str
        Bearer key of the operators' interface.
    """

    instance: InstanceId
    data_centre: DataCentreId
    callers: str
    peers: str
    operators: str
    advertise: str
    platform: tuple[str, ...]
    seeds: tuple[str, ...]
    shared_key: str
    operator_key: str
    log_level: str
    limits: Limits
    tls: TlsFiles


def read_settings(path: str) -> Settings:
    """Return the settings in the file at `path`.

    Raises
    ------
    FindingsError
        With all findings, if there are any.
    """
    settings, findings = check_settings(Path(path).read_text("utf-8"), path)
    if findings.items:
        raise FindingsError(findings.items)
    return settings


def check_settings(text: str, file: str) -> tuple[Settings, Findings]:
    """Return the settings in `text` and all findings.

    Fields with a finding hold a placeholder.
    """
    findings = read_document(text, file)
    top = Fields(findings.document.value, (), findings)
    settings = Settings(
        instance=InstanceId(top.name("instance")),
        data_centre=DataCentreId(top.name("data_centre")),
        callers=top.address("callers"),
        peers=top.address("peers"),
        operators=top.address("operators"),
        advertise=top.address("advertise", ""),
        platform=_addresses(top, "platform", required=True),
        seeds=_addresses(top, "seeds", required=False),
        shared_key=top.text("shared_key"),
        operator_key=top.text("operator_key"),
        log_level=top.text("log_level", "info"),
        limits=_limits(top.object("limits")),
        tls=_tls(top.object("tls")),
    )
    if len(settings.shared_key) < MIN_SHARED_KEY_LENGTH:
        findings.add(("shared_key",), f"shorter than {MIN_SHARED_KEY_LENGTH}")
    if settings.log_level not in {"debug", "info", "warning", "error"}:
        findings.add(("log_level",), "expected debug, info, warning or error")
    top.finish()
    return settings, findings


def _addresses(top: Fields, name: str, required: bool) -> tuple[str, ...]:
    values = top.texts(name, None if required else ())
    for index, value in enumerate(values):
        if not is_address(value):
            message = "expected an IP number and a port, such as 127.0.0.1:8500"
            top.findings.add((name, index), message)
    return values


def _limits(fields: Fields) -> Limits:
    default = Limits()
    limits = Limits(
        max_body_bytes=fields.integer("max_body_bytes", default.max_body_bytes, 1),
        max_held_bytes=fields.integer("max_held_bytes", default.max_held_bytes, 1),
        max_requests=fields.integer("max_requests", default.max_requests, 1),
        body_timeout_s=fields.number("body_timeout_s", default.body_timeout_s, 0.1),
        header_timeout_s=fields.number("header_timeout_s", default.header_timeout_s, 1),
        resume_grace_s=fields.number("resume_grace_s", default.resume_grace_s),
        stop_limit_s=fields.number("stop_limit_s", default.stop_limit_s),
    )
    fields.finish()
    return limits


def _tls(fields: Fields) -> TlsFiles:
    files = TlsFiles(
        certificate=fields.text("certificate", ""),
        key=fields.text("key", ""),
        authority=fields.text("authority", ""),
    )
    given = [bool(files.certificate), bool(files.key), bool(files.authority)]
    if any(given) and not all(given):
        message = "certificate, key and authority go together"
        fields.findings.add(fields.path, message)
    for name, value in vars(files).items():
        if value and not Path(value).is_file():
            fields.findings.add((*fields.path, name), f"no file {value!r}")
    fields.finish()
    return files

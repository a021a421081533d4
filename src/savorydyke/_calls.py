"""Parsing and validation of callers' requests."""

import hashlib
import json
import re
import secrets
from dataclasses import dataclass
from typing import Any

from savorydyke._grant_client import Demand
from savorydyke._ids import (
    PoolId,
    Reason,
    RequestId,
    RequestKey,
    TeamId,
    request_key,
)
from savorydyke._manifest import SERVICE_CALL_TOKENS, Manifest, Pool, PoolKind
from savorydyke._prefixes import BYTES_PER_TOKEN, prefix_digests
from savorydyke._problems import Refusal

MODEL_PATHS = frozenset({"/v1/chat/completions", "/v1/completions"})
SERVICE_PREFIX = "/v1/services/"
DEFAULT_OUTPUT_TOKENS = 256
MAX_DEADLINE_S = 86_400.0
_REQUEST_ID = re.compile(r"[A-Za-z0-9._-]{1,128}")
_IDEMPOTENCY_KEY = re.compile(r"[\x21-\x7e]{1,255}")


@dataclass(frozen=True)
class RequestHead:
    """The head of a request, as far as the scheduler needs it.

    Attributes
    ----------
    request_id : RequestId
        Given by the caller, or else generated.
    has_caller_id : bool
        Whether the caller gave the request id.
    deadline_s : float or None
        Time within which the caller wants the complete answer.
    last_event : int
        Number of the last event that the caller has received, when it resumes
        a stream.
    """

    method: str
    path: str
    query: bytes
    headers: list[tuple[bytes, bytes]]
    bearer: str
    request_id: RequestId
    has_caller_id: bool
    idempotency_key: str
    deadline_s: float | None
    last_event: int
    length: int | None

    @property
    def target(self) -> str:
        """Return the path with its query."""
        query = self.query.decode("latin-1")
        return f"{self.path}?{query}" if query else self.path


@dataclass(frozen=True)
class Call:
    """A validated request of an approved team.

    Attributes
    ----------
    target : str
        Path and query at the endpoint.
    streamed : bool
        Whether the caller asked for server-sent events.
    idempotency_key : str
        Set if the request must run at most once.
    digest : str
        Digest of the request, to detect reuse of an idempotency key.
    """

    head: RequestHead
    team: TeamId
    pool: Pool
    target: str
    body: bytes
    streamed: bool
    demand: Demand
    idempotency_key: str = ""
    digest: str = ""

    @property
    def stream_id(self) -> str:
        """Return the id of this request at the endpoint."""
        return stream_id(self.team, self.head.request_id)


def stream_id(team: TeamId, request_id: RequestId) -> str:
    """Return the id of a request at endpoints, which is unique across teams."""
    return f"{team}~{request_id}"


def new_request_id() -> RequestId:
    """Return a random request id."""
    return RequestId(secrets.token_hex(12))


def parse_head(scope: dict[str, Any]) -> RequestHead | Refusal:
    """Return the head of an ASGI request, or why it is refused."""
    headers: dict[bytes, bytes] = {}
    for name, value in scope["headers"]:
        headers[name.lower()] = value
    given = headers.get(b"x-request-id", b"").decode("latin-1")
    if given and not _REQUEST_ID.fullmatch(given):
        detail = "X-Request-ID must be 1 to 128 letters, digits, '.', '_' or '-'"
        return Refusal(Reason.BAD_REQUEST, detail)
    key = headers.get(b"idempotency-key", b"").decode("latin-1")
    if key and not _IDEMPOTENCY_KEY.fullmatch(key):
        detail = "Idempotency-Key must be 1 to 255 printable characters"
        return Refusal(Reason.BAD_REQUEST, detail)
    try:
        deadline_s = _deadline(headers.get(b"x-deadline-seconds"))
        last_event = _count(headers.get(b"last-event-id"))
        length = (
            _count(headers[b"content-length"]) if b"content-length" in headers else None
        )
    except ValueError as error:
        return Refusal(Reason.BAD_REQUEST, str(error))
    scheme, _, bearer = headers.get(b"authorization", b"").partition(b" ")
    return RequestHead(
        method=scope["method"],
        path=scope["path"],
        query=scope["query_string"],
        headers=list(scope["headers"]),
        bearer=bearer.decode("latin-1").strip() if scheme.lower() == b"bearer" else "",
        request_id=RequestId(given) if given else new_request_id(),
        has_caller_id=bool(given),
        idempotency_key=key,
        deadline_s=deadline_s,
        last_event=last_event,
        length=length,
    )


def _deadline(value: bytes | None) -> float | None:
    if value is None:
        return None
    try:
        seconds = float(value)
    except ValueError:
        seconds = -1.0
    if not 0 < seconds <= MAX_DEADLINE_S:
        raise ValueError(
            f"X-Deadline-Seconds must be above 0, at most {MAX_DEADLINE_S:g}"
        )
    return seconds


def _count(value: bytes | None) -> int:
    if value is None:
        return 0
    if not value.isdigit() or len(value) > 15:
        raise ValueError("Content-Length and Last-Event-ID must be whole numbers")
    return int(value)


def pool_of_service(path: str) -> tuple[PoolId, str]:
    """Return the pool that a service path names and the path at the endpoint."""
    name, _, rest = path.removeprefix(SERVICE_PREFIX).partition("/")
    return PoolId(name), f"/{rest}"


def parse_model_call(
    head: RequestHead, team: TeamId, manifest: Manifest, body: bytes, now: float
) -> Call | Refusal:
    """Return a call of a model engine, or why it is refused."""
    try:
        value = json.loads(body)
    except Exception as error:
        return Refusal(Reason.BAD_REQUEST, f"the body is not JSON: {error}")
    problem = _model_problem(value, head.path)
    if problem:
        return Refusal(Reason.BAD_REQUEST, problem)
    pool_id = manifest.pool_of_model.get(value["model"])
    if pool_id is None:
        return Refusal(Reason.UNKNOWN_MODEL, f"no model named {value['model']!r}")
    if not manifest.reachable(team, pool_id):
        return not_approved(pool_id)
    prompt = _prompt_bytes(value)
    output = value.get("max_completion_tokens") or value.get("max_tokens")
    demand = _demand(
        head,
        team,
        manifest,
        pool_id,
        now,
        model=value["model"],
        prompt_tokens=max(1, len(prompt) // BYTES_PER_TOKEN),
        output_tokens=output or DEFAULT_OUTPUT_TOKENS,
        prefix=prefix_digests(prompt),
    )
    return Call(
        head=head,
        team=team,
        pool=manifest.pools[pool_id],
        target=head.target,
        body=body,
        streamed=value.get("stream") is True,
        demand=demand,
    )


def _model_problem(value: Any, path: str) -> str | None:
    if not isinstance(value, dict):
        return "the body must be a JSON object"
    if not isinstance(value.get("model"), str):
        return "'model' must be a string"
    if path == "/v1/chat/completions":
        messages = value.get("messages")
        if not isinstance(messages, list) or not messages:
            return "'messages' must be a list that is not empty"
        if not all(isinstance(message, dict) for message in messages):
            return "each of 'messages' must be an object"
    elif not isinstance(value.get("prompt"), str | list):
        return "'prompt' must be a string or a list"
    for name in ("max_tokens", "max_completion_tokens"):
        limit = value.get(name)
        if limit is not None and (type(limit) is not int or not 0 < limit < 10**7):
            return f"{name!r} must be a whole number above 0"
    return None


def _prompt_bytes(value: dict[str, Any]) -> bytes:
    if "prompt" in value:
        prompt = value["prompt"]
        text = prompt if isinstance(prompt, str) else json.dumps(prompt)
        return text.encode("utf-8", "replace")
    parts = []
    for message in value["messages"]:
        content = message.get("content")
        text = content if isinstance(content, str) else json.dumps(content)
        parts.append(f"{message.get('role')}\n{text}\n")
    return "".join(parts).encode("utf-8", "replace")


def parse_service_call(
    head: RequestHead, team: TeamId, manifest: Manifest, body: bytes, now: float
) -> Call | Refusal:
    """Return a call of a plain service, or why it is refused."""
    pool_id, path = pool_of_service(head.path)
    pool = manifest.pools.get(pool_id)
    if pool is None or pool.kind is not PoolKind.SERVICE:
        return Refusal(Reason.UNKNOWN_POOL, f"no service pool named {pool_id!r}")
    if not manifest.reachable(team, pool_id):
        return not_approved(pool_id)
    at_most_once = head.method in pool.not_repeatable
    if at_most_once and not head.idempotency_key:
        detail = f"{head.method} in pool {pool_id!r} needs an Idempotency-Key"
        return Refusal(Reason.KEY_REQUIRED, detail)
    query = head.query.decode("latin-1")
    target = f"{path}?{query}" if query else path
    demand = _demand(
        head,
        team,
        manifest,
        pool_id,
        now,
        model="",
        prompt_tokens=SERVICE_CALL_TOKENS,
        output_tokens=0,
        prefix=(),
        at_most_once=at_most_once,
    )
    digest = hashlib.sha256(f"{head.method} {target}\n".encode() + body).hexdigest()
    return Call(
        head=head,
        team=team,
        pool=pool,
        target=target,
        body=body,
        streamed=False,
        demand=demand,
        idempotency_key=head.idempotency_key if at_most_once else "",
        digest=digest,
    )


def not_approved(pool: PoolId) -> Refusal:
    """Return the refusal for a team without access to a pool."""
    detail = f"the team has no approved endpoint in pool {pool!r}"
    return Refusal(Reason.NOT_APPROVED, detail)


def _demand(
    head: RequestHead,
    team: TeamId,
    manifest: Manifest,
    pool: PoolId,
    now: float,
    *,
    model: str,
    prompt_tokens: int,
    output_tokens: int,
    prefix: tuple[int, ...],
    at_most_once: bool = False,
) -> Demand:
    tier = manifest.tiers[manifest.teams[team].tier]
    seconds = head.deadline_s if head.deadline_s is not None else tier.deadline_s
    key = request_key(team, head.request_id)
    if at_most_once:
        hashed = hashlib.sha256(head.idempotency_key.encode()).hexdigest()
        key = RequestKey(f"{team}/{pool}#{hashed[:32]}")
    return Demand(
        key=key,
        pool=pool,
        team=team,
        model=model,
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        prefix=prefix,
        deadline=now + seconds,
        has_caller_id=head.has_caller_id or at_most_once,
        at_most_once=at_most_once,
    )

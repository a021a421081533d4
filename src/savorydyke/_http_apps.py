"""HTTP applications for operators and for callers' requests that are not scheduled.

Both serve health and readiness. Callers also get the list of models, operators the
metrics, the status and the configuration. Callers' requests that are scheduled are
served by `_caller_app`.
"""

import json
import secrets
from collections.abc import Callable
from datetime import UTC, datetime
from hmac import compare_digest
from typing import Any

from quart import Response, request
from quart_trio import QuartTrio

from savorydyke._configuration import (
    Accepted,
    ApplyResult,
    Configuration,
    Invalid,
    NotAccepted,
    Superseded,
    Undecided,
)
from savorydyke._ids import Reason, Revision
from savorydyke._manifest import MAX_BYTES, Manifest, PoolKind
from savorydyke._metrics import Metrics
from savorydyke._problems import Refusal

JSON = "application/json"


def _json(value: Any, status: int = 200) -> Response:
    return Response(json.dumps(value), status=status, content_type=JSON)


def _add_health(app: QuartTrio, is_ready: Callable[[], bool]) -> None:
    @app.get("/healthz")
    async def health() -> Response:
        return _json({"status": "ok"})

    @app.get("/readyz")
    async def ready() -> Response:
        if is_ready():
            return _json({"status": "ready"})
        return _json({"status": "not ready"}, 503)


def _problem(refusal: Refusal) -> Response:
    return Response(
        refusal.body(""), status=refusal.status, content_type="application/problem+json"
    )


def new_callers_app(
    is_ready: Callable[[], bool], current: Callable[[], Manifest | None]
) -> QuartTrio:
    """Return the application for callers' requests that are not scheduled."""
    app = QuartTrio("savorydyke")
    _add_health(app, is_ready)

    @app.get("/v1/models")
    async def models() -> Response:
        manifest = current()
        if manifest is None:
            detail = "this instance has no current configuration"
            return _problem(Refusal(Reason.NO_CONFIGURATION, detail))
        key = request.headers.get("authorization", "").removeprefix("Bearer ").strip()
        team = manifest.team_with_key(key) if key else None
        if team is None:
            return _problem(Refusal(Reason.BAD_KEY, "the bearer key is unknown"))
        names = [
            model
            for pool in manifest.pools.values()
            if pool.kind is PoolKind.ENGINE and manifest.reachable(team, pool.id)
            for model in pool.models
        ]
        data = [
            {"id": name, "object": "model", "created": 0, "owned_by": "savorydyke"}
            for name in names
        ]
        return _json({"object": "list", "data": data})

    @app.errorhandler(404)
    async def not_found(_: Exception) -> Response:
        return _problem(Refusal(Reason.NOT_FOUND, "no such path"))

    return app


def new_operators_app(
    is_ready: Callable[[], bool],
    configuration: Configuration,
    metrics: Metrics,
    status: Callable[[], dict[str, Any]],
    operator_key: str,
) -> QuartTrio:
    """Return the application for the operators' interface of one instance."""
    app = QuartTrio("savorydyke")
    app.config["MAX_CONTENT_LENGTH"] = 2 * MAX_BYTES
    _add_health(app, is_ready)

    @app.before_request
    async def authenticate() -> Response | None:
        if request.path in {"/healthz", "/readyz"}:
            return None
        given = request.headers.get("authorization", "").removeprefix("Bearer ")
        if compare_digest(given.encode(), operator_key.encode()):
            return None
        return _problem(Refusal(Reason.BAD_KEY, "the operator key is unknown"))

    @app.get("/metrics")
    async def metrics_page() -> Response:
        # Computing the status updates the gauges.
        status()
        content, headers = metrics.render(request.headers.getlist("accept"))
        return Response(content, headers=headers)

    @app.get("/status")
    async def status_page() -> Response:
        return _json(status())

    @app.get("/configuration")
    async def show() -> Response:
        record = configuration.record
        if record is None:
            return _json({"revision": 0, "text": "", "by": "", "at": ""})
        return _json(
            {
                "revision": record.revision,
                "text": record.text,
                "by": record.by,
                "at": record.at,
            }
        )

    @app.post("/configuration")
    async def apply() -> Response:
        value = await request.get_json(force=True, silent=True)
        problem = _apply_problem(value)
        if problem:
            return _json({"result": "bad-request", "cause": problem}, 400)
        result = await configuration.apply(
            value["text"],
            Revision(value["base"]),
            value["by"],
            datetime.now(UTC).isoformat(timespec="milliseconds"),
            secrets.token_hex(8),
        )
        return _apply_answer(result)

    return app


def _apply_problem(value: Any) -> str | None:
    if not isinstance(value, dict):
        return "the body must be a JSON object"
    for name, kind in {"text": str, "base": int, "by": str}.items():
        if type(value.get(name)) is not kind:
            return f"{name!r} must be of type {kind.__name__}"
    return None


def _apply_answer(result: ApplyResult) -> Response:
    match result:
        case Accepted():
            return _json({"result": "accepted", "revision": result.revision})
        case Superseded():
            value = {
                "result": "superseded",
                "revision": result.revision,
                "by": result.by,
                "at": result.at,
            }
            return _json(value, 409)
        case Invalid():
            findings = [str(finding) for finding in result.findings]
            return _json({"result": "invalid", "findings": findings}, 422)
        case NotAccepted():
            return _json({"result": "not-accepted", "cause": result.cause}, 503)
        case Undecided():
            return _json({"result": "undecided", "cause": result.cause}, 504)

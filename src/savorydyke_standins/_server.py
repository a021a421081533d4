"""Helpers for all stand-ins: JSON bodies and serving a Quart application."""

import json
import logging
from typing import Any

import trio
from hypercorn.config import Config
from hypercorn.trio import serve
from quart import Response, request
from quart_trio import QuartTrio


def json_response(value: Any, status: int = 200) -> Response:
    """Return a JSON response."""
    return Response(json.dumps(value), status=status, content_type="application/json")


async def read_json() -> dict[str, Any]:
    """Return the JSON object in the request's body, or an empty one."""
    value = await request.get_json(force=True, silent=True)
    return value if isinstance(value, dict) else {}


async def serve_app(app: QuartTrio, address: str) -> None:
    """Serve an application until cancelled."""
    config = Config()
    config.bind = [address]
    config.accesslog = None
    config.errorlog = logging.getLogger("standin")
    config.errorlog.setLevel("ERROR")
    config.keep_alive_timeout = 3600
    config.keep_alive_max_requests = 10**9
    config.graceful_timeout = 0.1
    config.backlog = 1024
    await serve(app, config, shutdown_trigger=trio.sleep_forever)

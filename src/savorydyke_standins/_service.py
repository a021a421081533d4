"""Stand-in for a plain service: records each call and answers with its number."""

import random
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

import trio
from quart import Response, request
from quart_trio import QuartTrio

from savorydyke_standins._server import json_response, read_json, serve_app

CHUNK_BYTES = 65_536


@dataclass
class Service:
    """State of one plain service, and the record of its calls.

    Attributes
    ----------
    work_s : float
        Duration of each call, in seconds.
    breaks : bool
        Whether the connection is lost after a call has run.
    """

    name: str
    rng: random.Random
    work_s: float = 0.02
    leaving: bool = False
    breaks: bool = False
    active: int = 0
    record: list[dict[str, Any]] = field(default_factory=list)


def new_app(service: Service) -> QuartTrio:
    """Return the application of the stand-in."""
    app = QuartTrio(service.name)
    app.config["MAX_CONTENT_LENGTH"] = 64_000_000

    @app.get("/load")
    async def load() -> Response:
        return json_response({"requests": service.active, "leaving": service.leaving})

    @app.put("/control")
    async def control() -> Response:
        for name, value in (await read_json()).items():
            setattr(service, name, value)
        return json_response("ok")

    @app.get("/record")
    async def record() -> Response:
        return json_response(service.record)

    @app.route("/<path:path>", methods=["GET", "POST", "PUT", "PATCH", "DELETE"])
    async def call(path: str) -> Response:
        return await _handle_call(service, path)

    return app


async def _large_body(count: int) -> AsyncIterator[bytes]:
    for _ in range(count // CHUNK_BYTES):
        yield b"x" * CHUNK_BYTES


async def _failing_body() -> AsyncIterator[bytes]:
    raise ConnectionError("connection closed by fault injection")
    yield b""


async def _handle_call(service: Service, path: str) -> Response:
    body = bytes(await request.data).decode("utf-8", "replace")
    call = {
        "kind": "request",
        "method": request.method,
        "path": path,
        "id": request.headers.get("x-request-id", ""),
        "idempotency_key": request.headers.get("idempotency-key", ""),
        "at": time.monotonic(),
    }
    service.record.append(call)
    service.active += 1
    try:
        await trio.sleep(service.work_s)
    finally:
        service.active -= 1
    number = len(service.record)
    if service.breaks:
        return Response(_failing_body())
    if path.startswith("bytes/"):
        return Response(_large_body(int(path.removeprefix("bytes/"))))
    value = {"service": service.name, "path": path, "number": number, "echo": body}
    return json_response(value, 200 if request.method == "GET" else 201)


async def run(address: str, name: str, work_s: float, seed: int) -> None:
    """Run the stand-in until cancelled."""
    await serve_app(new_app(Service(name, random.Random(seed), work_s)), address)

"""A minimal stream relay from httpx to quart, the baseline for relay costs."""

import sys

import httpx
import trio
from quart import Response, request
from quart_trio import QuartTrio

from savorydyke_standins._server import serve_app


def new_app(target: str) -> QuartTrio:
    """Return an application that relays chat completions to `target`."""
    app = QuartTrio("plain-relay")
    app.config["RESPONSE_TIMEOUT"] = None
    client = httpx.AsyncClient(timeout=None, trust_env=False)

    @app.get("/record")
    async def record() -> Response:
        return Response("[]")

    @app.post("/v1/chat/completions")
    async def relay() -> Response:
        body = await request.data
        url = f"http://{target}/v1/chat/completions"
        outgoing = client.build_request("POST", url, content=bytes(body))
        answer = await client.send(outgoing, stream=True)
        kind = answer.headers["content-type"]
        return Response(answer.aiter_raw(), answer.status_code, content_type=kind)

    return app


if __name__ == "__main__":
    trio.run(serve_app, new_app(sys.argv[2]), sys.argv[1])

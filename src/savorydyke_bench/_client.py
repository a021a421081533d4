"""A client that sends requests and records the answers."""

import json
import time
import uuid
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import httpx


class Ended(Enum):
    """How a request ended for its caller."""

    COMPLETE = "complete"
    REFUSED = "refused"
    TRUNCATED = "cut"
    NO_ANSWER = "no-answer"


@dataclass(frozen=True)
class Disconnect:
    """A connection that ended before the answer was complete."""

    instance: str
    sent: float
    at: float


@dataclass
class CallerRecord:
    """A request and its answer as a caller saw it.

    Attributes
    ----------
    text : str
        The generated text received so far.
    events : int
        Number of complete events received.
    not_run : bool
        Whether a refusal said that the request was not run.
    first_s, total_s : float
        Time to the first byte of the body and to the end.
    gaps_s : list of float
        Times between the received chunks of a streamed answer.
    disconnects : list of Disconnect
        Established connections that ended before the answer was complete.
    resumed_count : int
        How often the caller resumed the answer or sent the request again.
    """

    request_id: str
    team: str = ""
    tier: str = ""
    pool: str = ""
    prompt: str = ""
    output_tokens: int = 0
    idempotency_key: str = ""
    instance: str = ""
    sent: float = 0.0
    ended: Ended = Ended.NO_ANSWER
    status: int = 0
    reason: str = ""
    not_run: bool = False
    retry_after: float = 0.0
    text: str = ""
    body: str = ""
    events: int = 0
    first_s: float = 0.0
    total_s: float = 0.0
    deadline_s: float = 0.0
    gaps_s: list[float] = field(default_factory=list)
    disconnects: list["Disconnect"] = field(default_factory=list)
    resumed_count: int = 0


def new_id() -> str:
    """Return a unique request id."""
    return uuid.uuid4().hex


def chat_body(
    model: str, prompt: str, output_tokens: int, stream: bool = True
) -> dict[str, Any]:
    """Return the body of a chat completion."""
    return {
        "model": model,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": output_tokens,
        "stream": stream,
    }


def prompt_bytes(prompt: str) -> bytes:
    """Return a chat prompt in the form from which prefix digests are computed."""
    return f"user\n{prompt}\n".encode()


async def chat(
    client: httpx.AsyncClient,
    address: str,
    key: str,
    record: CallerRecord,
    model: str,
    *,
    stream: bool = True,
    with_id: bool = True,
) -> CallerRecord:
    """Send a chat completion and record the answer."""
    headers = {"authorization": f"Bearer {key}"}
    if with_id:
        headers["x-request-id"] = record.request_id
    if record.deadline_s:
        headers["x-deadline-seconds"] = str(record.deadline_s)
    body = chat_body(model, record.prompt, record.output_tokens, stream)
    url = f"http://{address}/v1/chat/completions"
    request = client.build_request("POST", url, json=body, headers=headers)
    return await _send(client, request, record, stream)


async def resume(
    client: httpx.AsyncClient, address: str, key: str, record: CallerRecord
) -> CallerRecord:
    """Resume a truncated answer by its request id, at any instance."""
    record.resumed_count += 1
    headers = {
        "authorization": f"Bearer {key}",
        "last-event-id": str(record.events),
    }
    url = f"http://{address}/v1/requests/{record.request_id}"
    request = client.build_request("GET", url, headers=headers)
    return await _send(client, request, record, True)


async def service_call(
    client: httpx.AsyncClient,
    address: str,
    key: str,
    record: CallerRecord,
    path: str,
    body: dict[str, Any] | None = None,
    method: str = "POST",
) -> CallerRecord:
    """Call a plain service and record the answer."""
    headers = {"authorization": f"Bearer {key}", "x-request-id": record.request_id}
    if record.idempotency_key:
        headers["idempotency-key"] = record.idempotency_key
    if record.deadline_s:
        headers["x-deadline-seconds"] = str(record.deadline_s)
    url = f"http://{address}/v1/services/{record.pool}/{path}"
    request = client.build_request(method, url, json=body, headers=headers)
    return await _send(client, request, record, False)


async def _send(
    client: httpx.AsyncClient,
    request: httpx.Request,
    record: CallerRecord,
    stream: bool,
) -> CallerRecord:
    start = time.monotonic()
    record.sent = record.sent or start
    record.ended = Ended.NO_ANSWER
    try:
        response = await client.send(request, stream=True)
        record.status = response.status_code
        try:
            if response.status_code >= 400:
                _read_refusal(record, response, await response.aread())
            elif stream:
                await _read_stream(record, response)
            else:
                await _read_body(record, response)
        finally:
            await response.aclose()
    except (httpx.RemoteProtocolError, httpx.ReadError, httpx.ReadTimeout):
        record.ended = Ended.TRUNCATED if record.status else Ended.NO_ANSWER
        record.disconnects.append(Disconnect(record.instance, start, time.monotonic()))
    except httpx.HTTPError:
        record.ended = Ended.NO_ANSWER
    record.total_s = time.monotonic() - record.sent
    return record


def _read_refusal(record: CallerRecord, response: httpx.Response, body: bytes) -> None:
    record.ended = Ended.REFUSED
    record.retry_after = float(response.headers.get("retry-after", 0))
    try:
        value = json.loads(body)
    except ValueError:
        record.reason = f"status {record.status}"
        return
    record.reason = str(value.get("title", ""))
    record.not_run = value.get("outcome") == "not run"


async def _read_stream(record: CallerRecord, response: httpx.Response) -> None:
    pending = b""
    last_at = 0.0
    async for chunk in response.aiter_raw():
        now = time.monotonic()
        if not record.first_s:
            record.first_s = now - record.sent
        if last_at:
            record.gaps_s.append(now - last_at)
        last_at = now
        pending += chunk
        *events, pending = pending.split(b"\n\n")
        for event in events:
            _record_event(record, event)
    if record.ended is not Ended.COMPLETE:
        record.ended = Ended.TRUNCATED


def _record_event(record: CallerRecord, event: bytes) -> None:
    data = event[event.index(b"data: ") + 6 :]
    if data == b"[DONE]":
        record.ended = Ended.COMPLETE
        return
    record.events += 1
    record.text += json.loads(data)["choices"][0]["delta"]["content"]


async def _read_body(record: CallerRecord, response: httpx.Response) -> None:
    body = await response.aread()
    record.first_s = time.monotonic() - record.sent
    record.body = body.decode()
    record.ended = Ended.COMPLETE
    value = json.loads(body)
    if "choices" in value:
        record.text = value["choices"][0]["message"]["content"]

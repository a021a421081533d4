"""HTTP client for endpoints: sends requests, resumes and cancels streams.

Results tell whether a byte of the request may have been sent, since that alone
decides which outcome a refusal may state.
"""

import re
import ssl
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any, cast

import httpx
import trio

from savorydyke._answer_budget import WastefulAnswerError, bounded_parts
from savorydyke._answer_kinds import stated_types, why_not_stream
from savorydyke._http1 import is_after_end
from savorydyke._manifest import Endpoint
from savorydyke._untrusted import parse_json

CONNECT_TIMEOUT_S = 1.0
CONTROL_TIMEOUT_S = 2.0
MAX_CLIENT_CONNECTIONS = 16
MAX_REPORT_BYTES = 1_048_576
"""Largest report of an endpoint that is read."""
STREAM_IDLE_TIMEOUT_S = 60.0
SENDING_FAILED = frozenset(
    {"http11.send_request_headers.failed", "http11.send_request_body.failed"}
)
"""Events of the HTTP library's trace extension."""
CONTROL_BYTE = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
UNFORWARDED_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"host",
        b"content-length",
        b"authorization",
        b"expect",
    }
)


@dataclass(frozen=True)
class NotSent:
    """No byte of the request can have been sent."""

    cause: str


@dataclass(frozen=True)
class Lost:
    """The request may have arrived, but no answer was received."""

    cause: str


@dataclass
class Opened:
    """An answer whose headers have arrived.

    Attributes
    ----------
    chunks : AsyncIterator of bytes
        The body as it arrives. It raises `httpx.HTTPError` if the endpoint
        ends it early, and `WastefulAnswerError` if it costs too much to read.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    chunks: AsyncIterator[bytes]
    response: httpx.Response
    pooled: "PooledClient"
    closed: bool = False

    async def close(self) -> None:
        """Close the connection unless the body has been read to its end."""
        if self.closed:
            return
        self.closed = True
        self.pooled.active -= 1
        with trio.CancelScope(shield=True):
            await self.response.aclose()

    def is_json(self) -> bool:
        """Return whether the answer says that it is a JSON value."""
        types = stated_types(self.headers)
        media_types = [one.partition(";")[0].strip().lower() for one in types]
        return media_types == ["application/json"]

    def why_not_stream(self) -> str:
        """Return why the answer is no stream of events, empty if it is one."""
        return why_not_stream(self.status, self.headers)


OpenResult = Opened | Lost | NotSent


@dataclass
class PooledClient:
    """An HTTP client with its own small connection pool."""

    client: httpx.AsyncClient
    active: int = 0


class EndpointClient:
    """Sends requests to all endpoints, each over a connection of its own.

    An endpoint may repeat an answer late, when its connection would already carry
    the next request. For each request, a connection pool of the HTTP library takes
    time quadratic in the number of its connections. Each endpoint therefore has
    several clients, each with at most `MAX_CLIENT_CONNECTIONS` requests.
    """

    def __init__(self) -> None:
        self.pooled_clients: dict[str, list[PooledClient]] = {}
        # Endpoints use plain HTTP; a shared context keeps each client from
        # loading the certificates.
        self.tls = ssl.create_default_context()
        self.control = self._new_client(CONTROL_TIMEOUT_S)

    def _new_client(self, timeout_s: float) -> httpx.AsyncClient:
        limits = httpx.Limits(
            max_connections=None,
            max_keepalive_connections=0,
        )
        return httpx.AsyncClient(
            limits=limits,
            timeout=timeout_s,
            trust_env=False,
            follow_redirects=False,
            verify=self.tls,
        )

    def _client_with_capacity(self, address: str) -> PooledClient:
        pooled_clients = self.pooled_clients.setdefault(address, [])
        for pooled in pooled_clients:
            if pooled.active < MAX_CLIENT_CONNECTIONS:
                return pooled
        pooled_clients.append(PooledClient(self._new_client(STREAM_IDLE_TIMEOUT_S)))
        return pooled_clients[-1]

    async def open(
        self,
        endpoint: Endpoint,
        method: str,
        target: str,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        answer_timeout_s: float = 0.0,
    ) -> OpenResult:
        """Send a request once and return when the headers of its answer arrive.

        The endpoint may be silent for `answer_timeout_s`, or for
        `STREAM_IDLE_TIMEOUT_S` if that is longer.
        """
        read_timeout_s = max(STREAM_IDLE_TIMEOUT_S, answer_timeout_s)
        pooled = self._client_with_capacity(endpoint.address)
        request = pooled.client.build_request(
            method,
            f"http://{endpoint.address}{target}",
            headers=forwarded_headers(headers),
            content=body,
            timeout=httpx.Timeout(
                read_timeout_s, connect=CONNECT_TIMEOUT_S, pool=CONNECT_TIMEOUT_S
            ),
        )
        sending = Sending()
        request.extensions["trace"] = sending.observe
        pooled.active += 1
        response = None
        try:
            response = await pooled.client.send(request, stream=True)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            return NotSent(type(error).__name__)
        except httpx.HTTPError as error:
            return Lost(type(error).__name__)
        finally:
            if response is None:
                pooled.active -= 1
        if _has_control_bytes(response.headers.raw):
            pooled.active -= 1
            await response.aclose()
            return Lost("a control byte in a header")
        return _opened(response, pooled, sending)

    async def resume(
        self, endpoint: Endpoint, stream_id: str, after_event: int
    ) -> OpenResult:
        """Resume a stream after the last event that has been relayed."""
        headers = [(b"last-event-id", str(after_event).encode())]
        return await self.open(
            endpoint, "GET", f"/v1/streams/{stream_id}", headers, b""
        )

    async def has_stream(self, endpoint: Endpoint, stream_id: str) -> bool | None:
        """Return whether an endpoint has a stream; None if it does not answer."""
        status = await self._control(endpoint, "HEAD", f"/v1/streams/{stream_id}")
        return None if status is None else status == 200

    async def cancel(self, endpoint: Endpoint, stream_id: str) -> bool:
        """Cancel a stream, and return whether the endpoint has confirmed it."""
        status = await self._control(endpoint, "DELETE", f"/v1/streams/{stream_id}")
        return status in {200, 204, 404}

    async def _control(
        self, endpoint: Endpoint, method: str, target: str
    ) -> int | None:
        """Return the status of an answer, whose body is not read."""
        url = f"http://{endpoint.address}{target}"
        try:
            with trio.fail_after(CONTROL_TIMEOUT_S):
                async with self.control.stream(method, url) as response:
                    return response.status_code
        except (httpx.HTTPError, trio.TooSlowError):
            return None

    async def get_json(self, endpoint: Endpoint, target: str) -> dict | None:
        """Return the JSON object at a path of an endpoint, or None."""
        try:
            with trio.fail_after(CONTROL_TIMEOUT_S):
                value = parse_json(await self._read_report(endpoint, target))
        except (
            httpx.HTTPError,
            trio.TooSlowError,
            ValueError,
            WastefulAnswerError,
        ):
            return None
        return value if isinstance(value, dict) else None

    async def _read_report(self, endpoint: Endpoint, target: str) -> bytes:
        """Return a body of at most `MAX_REPORT_BYTES`.

        Raises
        ------
        ValueError
            If it is larger.
        """
        body = b""
        url = f"http://{endpoint.address}{target}"
        async with self.control.stream("GET", url) as response:
            async for part in bounded_parts(response.aiter_bytes()):
                body += part
                if len(body) > MAX_REPORT_BYTES:
                    raise ValueError(f"a report of over {MAX_REPORT_BYTES} bytes")
        return body


@dataclass
class Sending:
    """How the sending of a request went, which the HTTP library does not tell.

    It passes over failures, since an endpoint may answer before it has read a request.
    The kernel reports a failure once, so that reading then ends as after a sound close.

    Attributes
    ----------
    failure : str
        How the connection failed, empty if it did not.
    """

    failure: str = ""

    async def observe(self, event: str, info: dict[str, Any]) -> None:
        """Process an event of the library's trace extension."""
        error = info.get("exception")
        if event in SENDING_FAILED and error is not None and not is_after_end(error):
            self.failure = repr(error)


async def _checked_end(
    response: httpx.Response, sending: Sending, parts: AsyncIterator[bytes]
) -> AsyncIterator[bytes]:
    """Yield the parts of a body, whose end may be that of the connection.

    Raises
    ------
    httpx.ReadError
        If the connection had failed before.
    """
    async for part in parts:
        yield part
    headers = response.headers
    is_delimited = "content-length" in headers or "transfer-encoding" in headers
    if sending.failure and not is_delimited:
        raise httpx.ReadError(f"connection lost: {sending.failure}")


def _has_control_bytes(headers: list[tuple[bytes, bytes]]) -> bool:
    """Return whether a value has a byte that no sound one has (RFC 9110, 5.5).

    The library rejects those in names, and the ends of lines in values.
    """
    return any(CONTROL_BYTE.search(value) for _, value in headers)


def _opened(response: httpx.Response, pooled: PooledClient, sending: Sending) -> Opened:
    # The raw stream yields the body as received, without httpx's re-chunking and
    # decoding, which a relay does not need.
    stream = cast(httpx.AsyncByteStream, response.stream)
    return Opened(
        response.status_code,
        forwarded_headers(response.headers.raw),
        bounded_parts(_checked_end(response, sending, stream.__aiter__())),
        response,
        pooled,
    )


def forwarded_headers(headers: list[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
    """Return `headers` without those in `UNFORWARDED_HEADERS`."""
    return [(n, v) for n, v in headers if n.lower() not in UNFORWARDED_HEADERS]

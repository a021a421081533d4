"""Refusals as ``application/problem+json`` (RFC 9457)."""

import json
import math
from dataclasses import dataclass

from savorydyke._ids import Outcome, Reason

CONTENT_TYPE = b"application/problem+json"

STATUS = {
    Reason.BAD_REQUEST: 400,
    Reason.BAD_KEY: 401,
    Reason.NOT_APPROVED: 403,
    Reason.UNKNOWN_MODEL: 404,
    Reason.UNKNOWN_POOL: 404,
    Reason.NOT_FOUND: 404,
    Reason.TOO_LARGE: 413,
    Reason.KEY_REQUIRED: 400,
    Reason.KEY_REUSED: 422,
    Reason.IN_PROGRESS: 409,
    Reason.UNKNOWN_OUTCOME: 409,
    Reason.DUPLICATE: 409,
    Reason.OVERLOADED: 503,
    Reason.TEAM_LIMIT: 429,
    Reason.QUOTA: 429,
    Reason.RETRY_BUDGET: 503,
    Reason.OBJECTIVE: 503,
    Reason.DEADLINE: 503,
    Reason.NO_ENDPOINT: 503,
    Reason.NO_CONFIGURATION: 503,
    Reason.STALE_CONFIGURATION: 503,
    Reason.CLAIMS_UNAVAILABLE: 503,
    Reason.STOPPING: 503,
    Reason.ABORTED: 502,
    Reason.HELD_BACK: 503,
    Reason.UNKNOWN_STREAM: 503,
    Reason.ENDPOINT_FAILED: 502,
    Reason.TIMEOUT: 504,
    Reason.INTERNAL: 500,
}

RETRY_DEFAULT_S = {
    Reason.IN_PROGRESS: 1.0,
    Reason.NO_ENDPOINT: 1.0,
    Reason.NO_CONFIGURATION: 1.0,
    Reason.STALE_CONFIGURATION: 2.0,
    Reason.CLAIMS_UNAVAILABLE: 2.0,
    Reason.STOPPING: 1.0,
}
"""Retry delays for refusals that state none of their own."""


@dataclass(frozen=True)
class Refusal:
    """A final answer that does not come from an endpoint.

    Attributes
    ----------
    outcome : Outcome
        Whether the request may have run.
    retry_s : float or None
        Delay after which a retry makes sense.
    """

    reason: Reason
    detail: str
    outcome: Outcome = Outcome.NOT_RUN
    retry_s: float | None = None

    @property
    def status(self) -> int:
        """Return the HTTP status."""
        return STATUS[self.reason]

    def body(self, request_id: str) -> bytes:
        """Return the problem document."""
        # `error` is where OpenAI-style clients look for a message.
        value: dict[str, object] = {
            "type": f"urn:savorydyke:{self.reason.value}",
            "title": self.reason.value,
            "status": self.status,
            "detail": self.detail,
            "outcome": self.outcome.value,
            "request_id": request_id,
            "error": {"message": self.detail, "code": self.reason.value},
        }
        if self.retry_after() is not None:
            value["retry_after_s"] = self.retry_after()
        return json.dumps(value).encode()

    def retry_after(self) -> int | None:
        """Return whole seconds for the ``Retry-After`` header, or None."""
        seconds = self.retry_s
        if seconds is None:
            seconds = RETRY_DEFAULT_S.get(self.reason)
        return None if seconds is None else max(1, math.ceil(seconds))

    def headers(self, request_id: str) -> list[tuple[bytes, bytes]]:
        """Return the response headers."""
        headers = [
            (b"content-type", CONTENT_TYPE),
            (b"x-request-id", request_id.encode()),
            (b"x-outcome", self.outcome.value.replace(" ", "-").encode()),
        ]
        retry_after = self.retry_after()
        if retry_after is not None:
            headers.append((b"retry-after", str(retry_after).encode()))
        return headers

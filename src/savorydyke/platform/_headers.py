"""Conversion between the platform's headers and typed fields."""

import re
from dataclasses import dataclass

from savorydyke._http1 import Headers, without_hop_headers
from savorydyke._untrusted import MAX_SHOWN, raises_only

REQUEST_ID = b"x-savorydyke-request-id"
DEADLINE = b"x-savorydyke-deadline-ms"
MODEL = b"x-savorydyke-model"
TOKENS = b"x-savorydyke-token-count"
PREFIX = b"x-savorydyke-prompt-prefix"
LENGTH_HINT = b"x-savorydyke-length-hint"
LAST_EVENT = b"last-event-id"
RESUMES = b"resumes"
AUTHORIZATION = b"authorization"
STAMP = b"x-savorydyke-response-stamp"
NOT_EXECUTED = b"x-savorydyke-not-executed"
LOAD = b"x-savorydyke-load-report"
INSTANCE = b"x-savorydyke-instance-id"
EXPECT_INSTANCE = b"x-savorydyke-expect-instance"
TENANT = b"x-savorydyke-tenant"
LEAVING = b"server-leaving"
LIMIT = b"server-limit"
REJECTION_LIMIT = b"server-brittle"

OVERRIDDEN_HEADERS = frozenset(
    {
        AUTHORIZATION,
        DEADLINE,
        EXPECT_INSTANCE,
        TENANT,
        LAST_EVENT,
        b"x-savorydyke-hold",
        b"x-savorydyke-pin-ms",
        b"x-savorydyke-kv-backup",
        b"kv-from",
        b"kv-fetch",
        b"x-savorydyke-expect-version",
        b"content-length",
        b"expect",
    }
)
"""Request headers that only this system may set; those of callers are removed."""

EVENT_FIELDS = (b"x-savorydyke-weight-versions",)
"""Lines that an event of a stream may have beside those of any event stream."""

SINGLE_VALUE_HEADERS = (
    REQUEST_ID,
    DEADLINE,
    TOKENS,
    PREFIX,
    LAST_EVENT,
    RESUMES,
    AUTHORIZATION,
    MODEL,
)
"""Headers that may appear only once. Of two values, different programs could use
different ones."""

MAX_COUNT = 10**12
"""Larger numbers of tokens count as this one. Sums of them fit into a message."""
COUNT = re.compile(r"[0-9]{1,9}")
PACE_RANGE = (5.0, 5000.0)
"""Paces that are believed, in per cent: a machine is at most 20 times faster or 50
times slower than usual."""
MAX_REQUEST_ID_BYTES = 200
MAX_DEADLINE_MS = 86_400_000


class BadRequestHeadError(Exception):
    """Raised when a request's headers are invalid or ambiguous."""


@dataclass(frozen=True)
class RequestInfo:
    """The contents of a request's headers.

    Attributes
    ----------
    deadline_s : float or None
        How long the caller waits; None if the header is absent.
    key : str
        The bearer key, empty if there is none.
    prompt_tokens, max_output_tokens : int
        Size of the prompt and largest size of the answer; 0 if not given.
    expected_output_tokens : int
        The caller's estimate of the answer's size, or 0.
    prefix : tuple of (str, int)
        Parts of the prompt in order, with their numbers of tokens.
    last_event_id : str
        The last event that the caller has received, empty for none.
    resumes : str
        Id of the caller's attempt that brought the first event of the stream that
        this one takes up, empty for none.
    has_tokens : bool
        Whether the header with the numbers of tokens is present.
    """

    request_id: str
    deadline_s: float | None
    key: str
    host: str
    prompt_tokens: int
    max_output_tokens: int
    expected_output_tokens: int
    prefix: tuple[tuple[str, int], ...]
    last_event_id: str
    resumes: str
    model: str
    has_tokens: bool


@raises_only(BadRequestHeadError)
def parse_request_headers(headers: Headers) -> RequestInfo:
    """Return the contents of a request's headers.

    Raises
    ------
    BadRequestHeadError
        If a header appears twice or has an invalid value.
    """
    found: dict[bytes, str] = {}
    for name, value in headers:
        lower = name.lower()
        if lower in found and lower in SINGLE_VALUE_HEADERS:
            raise BadRequestHeadError(f"{name.decode('latin-1')} stands twice")
        found[lower] = value.decode("latin-1").strip()
    request_id = found.get(REQUEST_ID, "")
    if not request_id or len(request_id) > MAX_REQUEST_ID_BYTES:
        raise BadRequestHeadError("the request has no valid id")
    prompt_tokens, output_tokens = _tokens(found.get(TOKENS))
    return RequestInfo(
        request_id=request_id,
        deadline_s=_deadline_s(found.get(DEADLINE)),
        key=_bearer(found.get(AUTHORIZATION, "")),
        host=found.get(b"host", "").partition(":")[0].lower(),
        prompt_tokens=prompt_tokens,
        max_output_tokens=output_tokens,
        expected_output_tokens=_count(found.get(LENGTH_HINT)),
        prefix=_prefix(found.get(PREFIX, "")),
        last_event_id=found.get(LAST_EVENT, ""),
        resumes=found.get(RESUMES, ""),
        model=found.get(MODEL, ""),
        has_tokens=TOKENS in found,
    )


def _deadline_s(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        value = float(text)
    except ValueError:
        raise BadRequestHeadError("the deadline is not a number") from None
    if not 0 <= value <= MAX_DEADLINE_MS:
        raise BadRequestHeadError("the deadline is out of range")
    return value / 1000


def _bearer(text: str) -> str:
    scheme, _, key = text.partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def _tokens(text: str | None) -> tuple[int, int]:
    if text is None:
        return 0, 0
    first, _, second = text.partition(",")
    return _count(first), _count(second)


def _count(text: str | None) -> int:
    try:
        return min(MAX_COUNT, max(0, int(float(text)))) if text else 0
    except (ValueError, OverflowError):
        return 0


def _prefix(text: str) -> tuple[tuple[str, int], ...]:
    parts = []
    for entry in text.split(","):
        name, _, size = entry.strip().partition(":")
        if name:
            parts.append((name, _count(size)))
    return tuple(parts)


def endpoint_headers(
    headers: Headers,
    *,
    expected_endpoint: str,
    left_s: float,
    team: str,
    last_event_id: str,
) -> Headers:
    """Return the headers of a request as sent to an endpoint."""
    kept = [
        (n, v)
        for n, v in without_hop_headers(headers)
        if n.lower() not in OVERRIDDEN_HEADERS
    ]
    kept.append((b"X-Savorydyke-Deadline-Ms", str(max(1, int(left_s * 1000))).encode()))
    kept.append((b"X-Savorydyke-Expect-Instance", expected_endpoint.encode()))
    if team:
        kept.append((b"X-Savorydyke-Tenant", team.encode("latin-1")))
    if last_event_id:
        kept.append((b"Last-Event-Id", last_event_id.encode("latin-1")))
    return kept


@dataclass(frozen=True)
class LoadReport:
    """What an endpoint reports of its load; each figure is there or not by itself.

    Attributes
    ----------
    running, waiting, slots : int or None
        Requests that run and that wait, and how many can run at once.
    pace : float or None
        Time that work takes at present, as a multiple of the usual time.
    error : str
        Which figures could not be read, empty if all could.
    """

    running: int | None = None
    waiting: int | None = None
    slots: int | None = None
    pace: float | None = None
    error: str = ""

    def counts(self) -> tuple[int, int]:
        """Return the requests that run and that wait, -1 for what is not known."""
        running = -1 if self.running is None else self.running
        return running, -1 if self.waiting is None else self.waiting


NO_LOAD_REPORT = LoadReport()


def parse_load_report(text: str) -> LoadReport:
    """Return the figures of a load report: three counts and, at some pools, a pace.

    A figure that can not be read costs only itself.

    Examples
    --------
    >>> parse_load_report("3, 0, 6, 250").pace
    2.5
    """
    figures = [figure.strip() for figure in text.split(",", 4)]
    counts = [int(f) if COUNT.fullmatch(f) else None for f in figures[:3]]
    running, waiting, slots, *_ = (*counts, None, None, None)
    is_bad = None in {running, waiting, slots} or len(figures) > 4
    pace = None
    if len(figures) > 3 and COUNT.fullmatch(figures[3]):
        least, most = PACE_RANGE
        value = float(figures[3])
        pace = value / 100 if least <= value <= most else None
    is_bad = is_bad or (len(figures) > 3 and pace is None)
    error = f"figures not understood: {text[:MAX_SHOWN]!r}" if is_bad else ""
    return LoadReport(running, waiting, slots, pace, error)


@dataclass(frozen=True)
class ResponseInfo:
    """The contents of the headers of an endpoint's answer.

    Attributes
    ----------
    request_id : str
        The request that it answers, empty if not given.
    stamped : bool
        Whether the answer has the stamp by which an endpoint marks its own
        answers; one without it is not passed on.
    not_executed : bool
        Whether the endpoint states that the request did not run.
    load : LoadReport
        The endpoint's load, as far as it is given.
    leaving : bool
        Whether the endpoint states that it takes no new requests from now on.
    limit : str
        The requests a second that the endpoint takes from all instances together;
        empty for no limit.
    rejection_limit : str
        How many requests a second the endpoint may have to reject before it falls
        over; empty if it does not say so.
    rejected : bool
        Whether it had no room for the request, which did not run.
    retry_after, date : str
        When an endpoint that rejects a request takes the next one, and the time at
        which it said so; empty if not given.
    """

    request_id: str
    stamped: bool
    not_executed: bool
    load: LoadReport
    leaving: bool
    limit: str
    rejection_limit: str
    rejected: bool
    retry_after: str
    date: str


def parse_response_headers(status: int, headers: Headers) -> ResponseInfo:
    """Return the contents of the headers of an endpoint's answer."""
    found = {name.lower(): value.decode("latin-1") for name, value in headers}
    load = parse_load_report(found[LOAD]) if LOAD in found else NO_LOAD_REPORT
    ids = {value.decode("latin-1") for n, value in headers if n.lower() == REQUEST_ID}
    return ResponseInfo(
        # Of two ids, the caller could take the other one.
        request_id=ids.pop() if len(ids) == 1 else "",
        stamped=STAMP in found,
        # An endpoint answers 421 if it is not the expected one.
        not_executed=NOT_EXECUTED in found or status == 421,
        load=load,
        leaving=found.get(LEAVING, "").strip() == "1",
        limit=found.get(LIMIT, "").strip(),
        rejection_limit=found.get(REJECTION_LIMIT, "").strip(),
        rejected=status == 503 and NOT_EXECUTED in found,
        retry_after=found.get(b"retry-after", "").strip() if status == 503 else "",
        date=found.get(b"date", "").strip(),
    )


def response_headers(headers: Headers) -> Headers:
    """Return the headers of an endpoint's answer as sent to the caller."""
    dropped = {b"content-length", LOAD, INSTANCE}
    return [(n, v) for n, v in without_hop_headers(headers) if n.lower() not in dropped]


def refusal_headers(request_id: str, retry_after_s: float | None) -> Headers:
    """Return the headers of a refusal made by this system."""
    headers = [(b"Content-Type", b"application/problem+json")]
    if request_id:
        headers.append((b"X-Savorydyke-Request-Id", request_id.encode("latin-1")))
    if retry_after_s is not None:
        headers.append((b"Retry-After", f"{retry_after_s:.3f}".encode()))
    return headers

"""Parsers for HTTP/1.1 requests and answers, on top of httptools.

httptools wraps llhttp, a parser in C that rejects what two parsers could read
differently: bare line feeds, folded headers, spaces before a colon, and lengths that
are stated twice. These classes collect what it reports, and bound what it may cost.
"""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

import httptools

from savorydyke._answer_budget import MAX_OVERHEAD_BYTES

Headers = list[tuple[bytes, bytes]]

MAX_HEAD_BYTES = 65536
"""Largest head of an answer that is accepted."""
MAX_INTERIM_ANSWERS = 8
"""Interim answers (status 1xx) that may precede an answer."""
VERSIONS = frozenset({"1.0", "1.1"})
WHITESPACE = b" \t"
NO_BODY_STATUSES = frozenset({204, 304})
FRAMING = frozenset({b"content-length", b"transfer-encoding"})


class MessageError(Exception):
    """Raised when bytes are no HTTP message, or one that costs too much to read.

    Attributes
    ----------
    status : int
        HTTP status with which such a request is refused.
    """

    def __init__(self, detail: str, status: int = 400) -> None:
        super().__init__(detail)
        self.status = status


class Framing(Enum):
    """What marks the end of a body."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


@dataclass(frozen=True)
class AnswerHead:
    """Status and headers of an answer.

    Attributes
    ----------
    length : int or None
        Size of the body in bytes, if the answer states it.
    """

    status: int
    headers: Headers
    length: int | None

    def framing(self) -> Framing:
        """Return what marks the end of the body."""
        coding = self.get(b"transfer-encoding") or b""
        if coding.lower().endswith(b"chunked"):
            return Framing.CHUNKED
        return Framing.CLOSE if self.length is None else Framing.LENGTH

    def is_delimited(self) -> bool:
        """Return whether the end of the body is marked, other than by a close."""
        return self.framing() is not Framing.CLOSE

    def get(self, name: bytes) -> bytes | None:
        """Return the value of a header, by its name in lower case."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


class AnswerParser:
    """Parses the answer to one request.

    Parameters
    ----------
    method : bytes
        The request's method. The answer to HEAD has no body.

    Attributes
    ----------
    head : AnswerHead or None
        The head, once it is complete.
    parts : list of bytes
        Parts of the body that have not been taken.
    is_complete : bool
        Whether the whole answer has come. What follows it is ignored.
    failure : MessageError or None
        Why the rest can not be read. Parts that came before are sound.
    """

    def __init__(self, method: bytes) -> None:
        self.method = method
        self.parser = httptools.HttpResponseParser(self)
        self.head: AnswerHead | None = None
        self.parts: list[bytes] = []
        self.is_complete = False
        self.failure: MessageError | None = None
        self.headers: Headers = []
        self.interim_answers = 0
        self.received_bytes = 0

    def feed(self, data: bytes) -> None:
        """Parse more bytes."""
        self.received_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail("a change of the protocol")
        except httptools.HttpParserError as error:
            self._fail(str(error))
        if self.head is None and self.received_bytes > MAX_HEAD_BYTES:
            self._fail(f"a head of over {MAX_HEAD_BYTES} bytes")

    def feed_end(self) -> None:
        """Note the end of the connection, which may be that of the body."""
        if self.head is not None and not self.head.is_delimited():
            self.is_complete = True
        self._fail("the connection has ended")

    def _fail(self, detail: str) -> None:
        """Note why nothing more can be read; a complete answer stays one."""
        if not self.is_complete and self.failure is None:
            self.failure = MessageError(detail)

    # Called by the parser

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header; those of a trailer are ignored."""
        if self.head is None:
            self.headers.append((name, value.strip(WHITESPACE)))

    def on_headers_complete(self) -> None:
        """Keep the head, unless it is that of an interim answer."""
        if self.head is not None or self.failure is not None:
            return
        status, headers = self.parser.get_status_code(), self.headers
        self.headers = []
        if self.parser.get_http_version() not in VERSIONS:
            self._fail("an unknown version of HTTP")
        elif 100 <= status < 200:
            self.interim_answers += 1
            if self.interim_answers > MAX_INTERIM_ANSWERS:
                self._fail(f"more than {MAX_INTERIM_ANSWERS} interim answers")
        elif not 200 <= status < 1000:
            self._fail(f"status {status}")
        else:
            head = AnswerHead(status, headers, _length(headers))
            coding = head.get(b"transfer-encoding")
            if coding is not None and coding.lower() != b"chunked":
                self._fail("an unknown transfer encoding")
                return
            self.head = head
            self.is_complete = self.method == b"HEAD"

    def on_body(self, part: bytes) -> None:
        """Keep a part of the body."""
        if not self.is_complete and self.failure is None:
            self.parts.append(part)

    def on_message_complete(self) -> None:
        """Note the end of the answer; interim answers end too."""
        if self.head is not None and self.failure is None:
            self.is_complete = True


@dataclass
class ParsedRequest:
    """A request, as far as it has come.

    Attributes
    ----------
    headers : list of tuple of bytes
        In the order and case in which the caller sent them.
    arrived : float
        When the whole head had been received, on the monotonic clock, or 0.
    keeps_alive : bool
        Whether the connection may serve another request afterwards.
    accepts_chunks : bool
        Whether the caller knows answers in chunks.
    """

    method: bytes = b""
    target: bytes = b""
    headers: Headers = field(default_factory=list)
    body: bytearray = field(default_factory=bytearray)
    has_head: bool = False
    is_complete: bool = False
    arrived: float = 0.0
    keeps_alive: bool = True
    accepts_chunks: bool = True

    def get_all(self, name: bytes) -> list[bytes]:
        """Return the values of a header, by its name in lower case."""
        return [value for key, value in self.headers if key.lower() == name]

    def head_bytes(self) -> int:
        """Return the size of the head."""
        headers = sum(len(name) + len(value) + 4 for name, value in self.headers)
        return len(self.method) + len(self.target) + 12 + headers


class RequestParser:
    """Parses the requests of one connection.

    Attributes
    ----------
    current : ParsedRequest
        The request that is being parsed.
    complete : deque of ParsedRequest
        Those that have been parsed to their ends.
    failure : MessageError or None
        Why the bytes after these can not be read.
    has_begun : bool
        Whether bytes of the current request have come.
    head_bytes : int
        Bytes that came since the last request was complete, while the head of the
        current one is not.
    overhead_bytes : int
        Bytes of framing of the current body.
    """

    def __init__(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.current = ParsedRequest()
        self.complete: deque[ParsedRequest] = deque()
        self.failure: MessageError | None = None
        self.has_begun = False
        self.head_bytes = 0
        self.overhead_bytes = 0

    def feed(self, data: bytes, max_head_bytes: int) -> None:
        """Parse more bytes."""
        self.has_begun = True
        before = self.current
        body_bytes = len(before.body)
        try:
            self._parse(data)
        except httptools.HttpParserError as error:
            self._fail(MessageError(str(error)))
        if self.current is not before:
            self.head_bytes = self.overhead_bytes = 0
        elif not before.has_head:
            self.head_bytes += len(data)
            if self.head_bytes > max_head_bytes:
                self._fail(MessageError("the head is too large", 431))
        else:
            self.overhead_bytes += len(data) - (len(before.body) - body_bytes)
            if self.overhead_bytes > MAX_OVERHEAD_BYTES + len(before.body):
                self._fail(MessageError("too much framing for the body"))

    def _parse(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as offer:
            if self.failure is None:
                self._decline(data[offer.args[0] :])

    def _decline(self, rest: bytes) -> None:
        """Go on with a request that offers another protocol, as if it did not.

        The parser takes what follows its head for the other protocol. The body is read
        by another parser, and the connection serves no further request.
        """
        request = self.complete.pop()
        request.keeps_alive = False
        framing = [pair for pair in request.headers if pair[0].lower() in FRAMING]
        if not framing:
            self.complete.append(request)
            return
        self.current, request.is_complete = request, False
        self.has_begun = True
        self.parser = httptools.HttpRequestParser(self)
        self.parser.feed_data(head_of(b"POST / HTTP/1.1", framing) + rest)

    def _fail(self, failure: MessageError) -> None:
        if self.failure is None:
            self.failure = failure

    # Called by the parser

    def on_message_begin(self) -> None:
        """Begin a request; bytes of it may have come with the one before."""
        self.has_begun = True

    def on_url(self, part: bytes) -> None:
        """Keep a part of the target."""
        if not self.current.has_head:
            self.current.target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header; those of a trailer are ignored."""
        if not self.current.has_head:
            self.current.headers.append((name, value.strip(WHITESPACE)))

    def on_headers_complete(self) -> None:
        """Keep what the head states."""
        request, version = self.current, self.parser.get_http_version()
        if request.has_head:
            return
        request.has_head = True
        request.method = self.parser.get_method()
        request.accepts_chunks = version == "1.1"
        request.keeps_alive = version == "1.1" and self.parser.should_keep_alive()
        if version not in VERSIONS:
            self._fail(MessageError("an unknown version of HTTP"))

    def on_body(self, part: bytes) -> None:
        """Keep a part of the body."""
        self.current.body += part

    def on_message_complete(self) -> None:
        """Begin the next request."""
        if self.failure is None:
            self.current.is_complete = True
            self.complete.append(self.current)
        self.current = ParsedRequest()
        self.has_begun = False


def find_ambiguity(request: ParsedRequest) -> str:
    """Return why a request's framing or target is ambiguous, or an empty string.

    Two parsers that read such a request differently would allow a second request to be
    smuggled inside it. The parser has rejected two lengths, and a length with chunks.
    """
    hosts = len(request.get_all(b"host"))
    if hosts > 1:
        return "more than one Host"
    if not hosts and request.accepts_chunks:
        return "no Host"
    codings = request.get_all(b"transfer-encoding")
    if codings and codings[0].lower() != b"chunked":
        return "an unknown transfer encoding"
    if not request.target.startswith(b"/"):
        return "the target is not a path"
    return ""


def _length(headers: Headers) -> int | None:
    for name, value in headers:
        if name.lower() == b"content-length":
            return int(value)
    return None


def head_of(first_line: bytes, headers: Headers) -> bytes:
    """Return the bytes of a head.

    Raises
    ------
    ValueError
        If a header contains the end of a line.
    """
    lines = [first_line, *[name + b": " + value for name, value in headers]]
    head = b"\r\n".join(lines)
    if head.count(b"\n") != len(headers) or head.count(b"\r") != len(headers):
        raise ValueError("a line end within a header")
    return head + b"\r\n\r\n"

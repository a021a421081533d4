"""Decodes JSON with comments and records the line of each value.

The standard library's decoder discards positions, but findings name a line. The
grammar is RFC 8259 with ``//`` and ``/* */`` comments and trailing commas.
"""

import re
from dataclasses import dataclass, field
from json.decoder import scanstring  # type: ignore[attr-defined]
from typing import Any

_WHITESPACE = re.compile(r"(?:[ \t\r\n]+|//[^\n]*|/\*.*?\*/)*", re.DOTALL)
_NUMBER = re.compile(r"-?(?:0|[1-9]\d*)(\.\d+)?([eE][-+]?\d+)?")
_LITERALS = {"true": True, "false": False, "null": None}
_MAX_DEPTH = 64

Path = tuple[str | int, ...]


class JsonSyntaxError(ValueError):
    """Raised with a message and the line of the syntax error."""

    def __init__(self, message: str, line: int) -> None:
        super().__init__(message)
        self.line = line


@dataclass
class Document:
    """A decoded text.

    Attributes
    ----------
    value : Any
        The decoded value.
    lines : dict of Path to int
        The line, counted from 1, at which the value of each path starts.
    """

    value: Any
    lines: dict[Path, int] = field(default_factory=dict)

    def line_of(self, path: Path) -> int:
        """Return the line of `path` or of its nearest ancestor in the text."""
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 1)


def parse(text: str) -> Document:
    r"""Decode `text`.

    Raises
    ------
    JsonSyntaxError
        If the text is not JSON with comments, or an object has a duplicate name.

    Examples
    --------
    >>> parse('{"a": 1, // one\n}').value
    {'a': 1}
    """
    reader = _Reader(text)
    reader.skip_whitespace()
    document = Document(reader.value(()), reader.lines)
    reader.skip_whitespace()
    if reader.pos < len(text):
        raise reader.error("text after the end of the document")
    return document


class _Reader:
    def __init__(self, text: str) -> None:
        self.text = text
        self.pos = 0
        self.lines: dict[Path, int] = {}
        self.counted_pos = 0
        self.counted_line = 1

    def line(self) -> int:
        """Return the current line, counting only the text since the last call."""
        self.counted_line += self.text.count("\n", self.counted_pos, self.pos)
        self.counted_pos = self.pos
        return self.counted_line

    def error(self, message: str) -> JsonSyntaxError:
        return JsonSyntaxError(message, self.text.count("\n", 0, self.pos) + 1)

    def skip_whitespace(self) -> None:
        """Skip whitespace and comments."""
        match = _WHITESPACE.match(self.text, self.pos)
        if match:
            self.pos = match.end()

    def value(self, path: Path) -> Any:
        if len(path) > _MAX_DEPTH:
            raise self.error("nesting is too deep")
        self.lines[path] = self.line()
        char = self.text[self.pos : self.pos + 1]
        if char == "{":
            return self.object(path)
        if char == "[":
            return self.array(path)
        if char == '"':
            return self.string()
        return self.scalar()

    def string(self) -> str:
        try:
            value, self.pos = scanstring(self.text, self.pos + 1, True)
        except ValueError as error:
            raise self.error(f"bad string: {error}") from None
        return value

    def scalar(self) -> Any:
        for word, value in _LITERALS.items():
            if self.text.startswith(word, self.pos):
                self.pos += len(word)
                return value
        match = _NUMBER.match(self.text, self.pos)
        if not match:
            raise self.error("expected a value")
        self.pos = match.end()
        is_float = match[1] or match[2]
        try:
            return float(match[0]) if is_float else int(match[0])
        except ValueError:
            raise self.error("number has too many digits") from None

    def object(self, path: Path) -> dict[str, Any]:
        result: dict[str, Any] = {}
        self.pos += 1
        while not self.consume_closing("}"):
            if self.text[self.pos : self.pos + 1] != '"':
                raise self.error("expected a name in quotes")
            name = self.string()
            if name in result:
                raise self.error(f"name {name!r} stands twice in one object")
            self.skip_whitespace()
            if self.text[self.pos : self.pos + 1] != ":":
                raise self.error(f"expected ':' after {name!r}")
            self.pos += 1
            self.skip_whitespace()
            result[name] = self.value((*path, name))
            self.consume_separator("}")
        return result

    def array(self, path: Path) -> list[Any]:
        result: list[Any] = []
        self.pos += 1
        while not self.consume_closing("]"):
            result.append(self.value((*path, len(result))))
            self.consume_separator("]")
        return result

    def consume_closing(self, bracket: str) -> bool:
        """Return whether `bracket` comes next, and skip it if so."""
        self.skip_whitespace()
        if self.text[self.pos : self.pos + 1] == bracket:
            self.pos += 1
            return True
        return False

    def consume_separator(self, bracket: str) -> None:
        """Skip a comma; without one, `bracket` must come next."""
        self.skip_whitespace()
        char = self.text[self.pos : self.pos + 1]
        if char == ",":
            self.pos += 1
        elif char != bracket:
            raise self.error(f"expected ',' or {bracket!r}")

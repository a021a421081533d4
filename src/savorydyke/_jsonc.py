"""Reads JSON with comments and remembers where each value stands.

The standard decoder drops positions, and findings have to name a line. The
grammar is RFC 8259 with ``//`` and ``/* */`` comments and trailing commas.
"""

import re
from dataclasses import dataclass, field
from json.decoder import scanstring  # type: ignore[attr-defined]
from typing import Any

_BLANK = re.compile(r"(?:[ \t\r\n]+|//[^\n]*|/\*.*?\*/)*", re.DOTALL)
_NUMBER = re.compile(r"-?(?:0|[1-9]\d*)(\.\d+)?([eE][-+]?\d+)?")
_WORDS = {"true": True, "false": False, "null": None}
_MAX_DEPTH = 64

Path = tuple[str | int, ...]


class JsonSyntaxError(ValueError):
    """Raised with a message and the line at which the text stops being JSON."""

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
        If the text is not JSON with comments, or an object repeats a name.

    Examples
    --------
    >>> parse('{"a": 1, // one\n}').value
    {'a': 1}
    """
    reader = _Reader(text)
    reader.skip_blank()
    document = Document(reader.value(()), reader.lines)
    reader.skip_blank()
    if reader.at < len(text):
        raise reader.error("text after the end of the document")
    return document


class _Reader:
    def __init__(self, text: str) -> None:
        self.text = text
        self.at = 0
        self.lines: dict[Path, int] = {}
        self.counted_at = 0
        self.counted_line = 1

    def line(self) -> int:
        self.counted_line += self.text.count("\n", self.counted_at, self.at)
        self.counted_at = self.at
        return self.counted_line

    def error(self, message: str) -> JsonSyntaxError:
        return JsonSyntaxError(message, self.text.count("\n", 0, self.at) + 1)

    def skip_blank(self) -> None:
        match = _BLANK.match(self.text, self.at)
        if match:
            self.at = match.end()

    def value(self, path: Path) -> Any:
        if len(path) > _MAX_DEPTH:
            raise self.error("nesting is too deep")
        self.lines[path] = self.line()
        char = self.text[self.at : self.at + 1]
        if char == "{":
            return self.object(path)
        if char == "[":
            return self.array(path)
        if char == '"':
            return self.string()
        return self.scalar()

    def string(self) -> str:
        try:
            value, self.at = scanstring(self.text, self.at + 1, True)
        except ValueError as error:
            raise self.error(f"bad string: {error}") from None
        return value

    def scalar(self) -> Any:
        for word, value in _WORDS.items():
            if self.text.startswith(word, self.at):
                self.at += len(word)
                return value
        match = _NUMBER.match(self.text, self.at)
        if not match:
            raise self.error("expected a value")
        self.at = match.end()
        is_float = match[1] or match[2]
        try:
            return float(match[0]) if is_float else int(match[0])
        except ValueError:
            raise self.error("number has too many digits") from None

    def object(self, path: Path) -> dict[str, Any]:
        result: dict[str, Any] = {}
        self.at += 1
        while not self.closes("}"):
            if self.text[self.at : self.at + 1] != '"':
                raise self.error("expected a name in quotes")
            name = self.string()
            if name in result:
                raise self.error(f"name {name!r} stands twice in one object")
            self.skip_blank()
            if self.text[self.at : self.at + 1] != ":":
                raise self.error(f"expected ':' after {name!r}")
            self.at += 1
            self.skip_blank()
            result[name] = self.value((*path, name))
            self.separator("}")
        return result

    def array(self, path: Path) -> list[Any]:
        result: list[Any] = []
        self.at += 1
        while not self.closes("]"):
            result.append(self.value((*path, len(result))))
            self.separator("]")
        return result

    def closes(self, bracket: str) -> bool:
        self.skip_blank()
        if self.text[self.at : self.at + 1] == bracket:
            self.at += 1
            return True
        return False

    def separator(self, bracket: str) -> None:
        self.skip_blank()
        char = self.text[self.at : self.at + 1]
        if char == ",":
            self.at += 1
        elif char != bracket:
            raise self.error(f"expected ',' or {bracket!r}")

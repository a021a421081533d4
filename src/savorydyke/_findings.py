"""Findings: errors in a document, each with its location, reported together."""

import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, TypeVar

from savorydyke._jsonc import Document, JsonSyntaxError, Path, parse

E = TypeVar("E", bound=Enum)

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_ADDRESS = re.compile(r"(\d{1,3}(?:\.\d{1,3}){3}|\[[0-9A-Fa-f:]+\]):(\d{1,5})")


@dataclass(frozen=True)
class Finding:
    """One error in a document.

    Attributes
    ----------
    file : str
        The name of the document, for messages.
    line : int
        The line, counted from 1.
    path : str
        The path in the document, such as ``teams[0].tier``.
    message : str
        What is wrong, or what is expected.
    """

    file: str
    line: int
    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.path}: {self.message}"


def format_path(path: Path) -> str:
    """Return `path` in the form ``teams[0].tier``."""
    text = ""
    for part in path:
        text += f"[{part}]" if isinstance(part, int) else f".{part}"
    return text.lstrip(".") or "(document)"


@dataclass
class Findings:
    """Collects the findings of one document."""

    file: str
    document: Document
    items: list[Finding] = field(default_factory=list)

    def add(self, path: Path, message: str) -> None:
        """Record an error at `path`."""
        line = self.document.line_of(path)
        self.items.append(Finding(self.file, line, format_path(path), message))


def read_document(text: str, file: str) -> Findings:
    """Decode `text`; a syntax error is recorded as the only finding.

    Examples
    --------
    >>> print(read_document("{", "m.json").items[0])
    m.json:1: (document): expected a name in quotes
    """
    try:
        return Findings(file, parse(text))
    except JsonSyntaxError as error:
        findings = Findings(file, Document({}))
        message = str(error)
        findings.items.append(Finding(file, error.line, "(document)", message))
        return findings


class Fields:
    """Reads the fields of one JSON object and records findings.

    After recording a finding, a getter returns a placeholder instead of raising,
    so that all errors of a document are reported together.
    """

    def __init__(self, value: Any, path: Path, findings: Findings) -> None:
        self.path = path
        self.findings = findings
        self.value: dict[str, Any] = value if isinstance(value, dict) else {}
        self.seen: set[str] = set()
        if not isinstance(value, dict):
            findings.add(path, "expected an object")

    def _take(self, name: str, required: bool) -> Any:
        self.seen.add(name)
        if name not in self.value and required:
            self.findings.add(self.path, f"{name!r} is missing")
        return self.value.get(name)

    def _wrong(self, name: str, expected: str) -> None:
        self.findings.add((*self.path, name), f"expected {expected}")

    def text(self, name: str, default: str | None = None) -> str:
        """Return a string; required when `default` is None."""
        value = self._take(name, default is None)
        if value is None:
            return default or ""
        if not isinstance(value, str):
            self._wrong(name, "a string")
            return default or ""
        return value

    def name(self, name: str, default: str | None = None) -> str:
        """Return an identifier of letters, digits, dots, dashes, underscores."""
        value = self.text(name, default)
        if value and not _NAME.fullmatch(value):
            self._wrong(name, "1 to 63 letters, digits, '.', '_' or '-'")
        return value

    def address(self, name: str, default: str | None = None) -> str:
        """Return an IP address and port, such as ``127.0.0.1:8080``."""
        value = self.text(name, default)
        if value and not is_address(value):
            self._wrong(name, "an IP number and a port, such as 127.0.0.1:8080")
        return value

    def number(
        self,
        name: str,
        default: float | None = None,
        low: float = 0.0,
        high: float = float("inf"),
    ) -> float:
        """Return a number in ``[low, high]``."""
        value = self._take(name, default is None)
        if value is None:
            return default if default is not None else low
        if isinstance(value, bool) or not isinstance(value, int | float):
            self._wrong(name, "a number")
            return low
        if not low <= value <= high:
            self._wrong(name, f"a number from {low:g} to {high:g}")
            return low
        return float(value)

    def integer(
        self, name: str, default: int | None = None, low: int = 0, high: int = 2**53
    ) -> int:
        """Return a whole number in ``[low, high]``."""
        value = self.number(name, default, low, high)
        if value != int(value):
            self._wrong(name, "a whole number")
        return int(value)

    def flag(self, name: str, default: bool) -> bool:
        """Return a boolean."""
        value = self._take(name, False)
        if value is None:
            return default
        if not isinstance(value, bool):
            self._wrong(name, "true or false")
            return default
        return value

    def choice(self, name: str, kind: type[E], default: E | None = None) -> E:
        """Return the member of `kind` whose value is given."""
        value = self._take(name, default is None)
        members = {member.value: member for member in kind}
        if isinstance(value, str) and value in members:
            return members[value]
        if value is not None:
            self._wrong(name, "one of " + ", ".join(map(repr, members)))
        return default or next(iter(kind))

    def texts(self, name: str, default: Iterable[str] | None = None) -> tuple[str, ...]:
        """Return a tuple of strings."""
        value = self._take(name, default is None)
        if value is None:
            return tuple(default or ())
        if not isinstance(value, list) or not all(isinstance(x, str) for x in value):
            self._wrong(name, "a list of strings")
            return tuple(default or ())
        return tuple(value)

    def objects(self, name: str, required: bool = True) -> list["Fields"]:
        """Return one reader for each object of a list."""
        value = self._take(name, required)
        if value is None:
            return []
        if not isinstance(value, list):
            self._wrong(name, "a list of objects")
            return []
        path = (*self.path, name)
        return [Fields(x, (*path, i), self.findings) for i, x in enumerate(value)]

    def object(self, name: str) -> "Fields":
        """Return a reader for a nested object, empty when absent."""
        value = self._take(name, False)
        return Fields({} if value is None else value, (*self.path, name), self.findings)

    def finish(self) -> None:
        """Record a finding for each name that no getter has read."""
        for name in self.value:
            if name not in self.seen:
                self.findings.add((*self.path, name), "unknown name")


def is_address(text: str) -> bool:
    """Return whether `text` is an IP address with a port, such as ``127.0.0.1:80``."""
    match = _ADDRESS.fullmatch(text)
    if not match or not 0 < int(match[2]) < 65536:
        return False
    if match[1].startswith("["):
        return True
    return all(int(part) < 256 for part in match[1].split("."))


def check_unique(
    items: Iterable[Any],
    key: Callable[[Any], str],
    paths: list[Path],
    findings: Findings,
) -> None:
    """Record a finding for each item whose key occurs earlier in the list."""
    seen: set[str] = set()
    for item, path in zip(items, paths, strict=True):
        name = key(item)
        if name in seen:
            findings.add(path, f"{name!r} stands more than once")
        seen.add(name)

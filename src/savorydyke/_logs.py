"""Structured logs: one JSON object a line, a fixed prefix for each part."""

import logging
import sys
from typing import Any

from pythonjsonlogger.json import JsonFormatter

from savorydyke._ids import InstanceId

ROOT = "savorydyke"
RENAMES = {"asctime": "time", "levelname": "level"}


def configure(level: str, instance: InstanceId) -> None:
    """Send log records to standard error as JSON lines."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(message)s",
            rename_fields=RENAMES,
            static_fields={"instance": instance},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel("WARNING")
    logging.getLogger(ROOT).setLevel(level.upper())


def part(name: str) -> logging.LoggerAdapter:
    """Return the logger of one part; each message starts with its name.

    Examples
    --------
    >>> part("cell").info("Grant given.", extra={"request": "r1"})
    """
    return _PrefixAdapter(logging.getLogger(f"{ROOT}.{name}"), {"part": name})


class _PrefixAdapter(logging.LoggerAdapter):
    def process(self, msg: Any, kwargs: Any) -> tuple[Any, Any]:
        extra = kwargs.setdefault("extra", {})
        extra.update(self.extra or {})
        return f"{extra['part']}: {msg}", kwargs

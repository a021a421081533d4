"""Structured logs: one JSON object per line, with a fixed prefix per component."""

import logging
import sys
from typing import Any

from pythonjsonlogger.json import JsonFormatter

from savorydyke._ids import InstanceId
from savorydyke._log_writer import BufferedHandler, LogBuffer

ROOT = "savorydyke"
FIELD_NAMES = {"asctime": "time", "levelname": "level"}


def configure(level: str, instance: InstanceId) -> None:
    """Send log records to standard error as JSON lines."""
    _install(logging.StreamHandler(sys.stderr), level, instance)


def configure_buffered(level: str, instance: InstanceId) -> LogBuffer:
    """Send log records to a buffer, which `write_lines` must drain."""
    buffer = LogBuffer()
    _install(BufferedHandler(buffer), level, instance)
    return buffer


def _install(handler: logging.Handler, level: str, instance: InstanceId) -> None:
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(message)s",
            rename_fields=FIELD_NAMES,
            static_fields={"instance": instance},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel("WARNING")
    logging.getLogger(ROOT).setLevel(level.upper())


def component_logger(name: str) -> logging.LoggerAdapter:
    """Return the logger of a component; its name prefixes each message.

    Examples
    --------
    >>> component_logger("home").info("Granted.", extra={"request": "r1"})
    """
    return _PrefixAdapter(logging.getLogger(f"{ROOT}.{name}"), {"part": name})


class _PrefixAdapter(logging.LoggerAdapter):
    def process(self, msg: Any, kwargs: Any) -> tuple[Any, Any]:
        extra = kwargs.setdefault("extra", {})
        extra.update(self.extra or {})
        return f"{extra['part']}: {msg}", kwargs

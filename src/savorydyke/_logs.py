"""Structured logs: one JSON object per line, with a fixed prefix per component."""

import json
import logging
import sys
import time
from typing import Any

from pythonjsonlogger.json import JsonFormatter

from savorydyke._ids import InstanceId
from savorydyke._log_writer import BufferedHandler, LogBuffer

ROOT = "savorydyke"
FIELD_NAMES = {"asctime": "time", "levelname": "level"}
RECORD_FIELDS = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}
"""What the library states of each record. The other fields are those of `extra`."""


def configure(level: str, instance: InstanceId) -> None:
    """Send log records to standard error as JSON lines."""
    _install(logging.StreamHandler(sys.stderr), level, instance)


def configure_buffered(level: str, instance: InstanceId) -> LogBuffer:
    """Send log records to a buffer, which `write_lines` must drain."""
    buffer = LogBuffer()
    _install(BufferedHandler(buffer), level, instance)
    return buffer


def _install(handler: logging.Handler, level: str, instance: InstanceId) -> None:
    handler.setFormatter(LineFormatter(instance))
    # Nothing reads these, and the caller of each line takes a walk of the stack.
    logging.logThreads = logging.logProcesses = logging.logMultiprocessing = False
    logging._srcfile = ""
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


class LineFormatter(JsonFormatter):
    """Formats plain records at a third of the library's cost.

    The library's formatter, which knows more types and exceptions, takes the rest.
    """

    def __init__(self, instance: InstanceId) -> None:
        super().__init__(
            "%(asctime)s %(levelname)s %(message)s",
            rename_fields=FIELD_NAMES,
            static_fields={"instance": instance},
        )
        self.instance = instance
        self.encode = json.JSONEncoder().encode
        self.second = 0
        self.second_text = ""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record."""
        if record.exc_info or record.exc_text or record.stack_info or record.args:
            return super().format(record)
        line = {
            "time": self._time(record),
            "level": record.levelname,
            "message": record.msg,
            "instance": self.instance,
        }
        for name, value in vars(record).items():
            if name not in RECORD_FIELDS:
                line[name] = value
        try:
            return self.encode(line)
        except (TypeError, ValueError):
            return super().format(record)

    def _time(self, record: logging.LogRecord) -> str:
        """Return the time of a record; its second is formatted once."""
        second = int(record.created)
        if second != self.second:
            self.second = second
            parts = time.localtime(second)
            self.second_text = time.strftime(self.default_time_format, parts)
        return f"{self.second_text},{int(record.msecs):03d}"


class _PrefixAdapter(logging.LoggerAdapter):
    def process(self, msg: Any, kwargs: Any) -> tuple[Any, Any]:
        extra = kwargs.setdefault("extra", {})
        extra.update(self.extra or {})
        return f"{extra['part']}: {msg}", kwargs

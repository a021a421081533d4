"""Collects the log lines of one request, and causes of failures, from log files."""

import json
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

ALWAYS_SHOWN = ("time", "instance", "message")
NOT_SHOWN = frozenset({*ALWAYS_SHOWN, "level", "part", "request"})


@dataclass(frozen=True)
class Line:
    """One log line.

    Attributes
    ----------
    request : str
        Id of the request that it concerns, empty for none.
    fields : dict
        All other fields, without level and part.
    """

    time: str
    instance: str
    message: str
    request: str
    fields: dict[str, Any]

    def __str__(self) -> str:
        fields = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{self.time}  {self.instance}  {self.message}  {fields}".rstrip()


def read_lines(texts: Iterable[str]) -> Iterator[Line]:
    """Yield the log lines in `texts`, ignoring any text before a line's JSON object.

    Text that is not a log line is skipped: files hold the whole output of a
    process, and the last line may be truncated.
    """
    for text in texts:
        begin = text.find("{")
        if begin < 0:
            continue
        try:
            value = json.loads(text[begin:])
        except ValueError:
            continue
        if not isinstance(value, dict) or "message" not in value:
            continue
        yield Line(
            time=str(value.get("time", "")),
            instance=str(value.get("instance", "")),
            message=str(value["message"]),
            request=str(value.get("request", "")),
            fields={k: v for k, v in value.items() if k not in NOT_SHOWN},
        )


def lines_of_request(lines: Iterable[Line], request: str) -> list[Line]:
    """Return the lines about a request, ordered by time.

    Lines that two instances wrote within a few milliseconds may be in the wrong
    order, since the instances' clocks differ slightly.
    """
    found = [line for line in lines if line.request == request]
    return sorted(found, key=lambda line: line.time)


def causes(lines: Iterable[Line], since: str = "", until: str = "") -> Counter[str]:
    """Count refusals, failed attempts and ends by cause within a period.

    Parameters
    ----------
    since, until : str
        Start and end of the period, in the format of the lines' times; empty for
        no limit.
    """
    counts: Counter[str] = Counter()
    for line in lines:
        if line.time < since or (until and line.time > until):
            continue
        if line.message in {"request: Refused.", "home: Refused."}:
            counts[f"{line.message} {line.fields.get('reason', '')}"] += 1
        elif line.message == "request: Attempt failed.":
            counts[f"{line.message} {line.fields.get('result', '')}"] += 1
        elif line.message == "request: Ended.":
            counts[f"{line.message} {line.fields.get('how', '')}"] += 1
    return counts

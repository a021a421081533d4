"""Tells the story of one request from the log lines of several instances."""

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
        The request that it is about, empty for none.
    fields : dict
        What it says beside time, instance and message.
    """

    time: str
    instance: str
    message: str
    request: str
    fields: dict[str, Any]

    def __str__(self) -> str:
        told = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{self.time}  {self.instance}  {self.message}  {told}".rstrip()


def read_lines(texts: Iterable[str]) -> Iterator[Line]:
    """Yield the log lines in `texts`; what stands before a line's object is skipped.

    Text that is no log line is passed over: files hold the output of a whole
    process, and its last line may be cut.
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
    """Return the lines about a request, in order of time.

    Clocks of instances differ a little, so that lines of two instances within
    some milliseconds may stand in the wrong order.
    """
    found = [line for line in lines if line.request == request]
    return sorted(found, key=lambda line: line.time)


def causes(lines: Iterable[Line], since: str = "", until: str = "") -> Counter[str]:
    """Count refusals and failures by cause in a span of time.

    Parameters
    ----------
    since, until : str
        First and last time, as they stand in the lines; empty for no limit.
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

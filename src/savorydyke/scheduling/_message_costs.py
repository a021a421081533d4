"""What the messages of frontends cost their coordinator, and how long they wait.

Tells a coordinator that is behind with its messages from endpoints that are slow, and
which kind of message keeps it behind. Times are seconds.
"""

import time
from dataclasses import dataclass, field
from typing import Any

REPORT_S = 1.0
"""Interval of the log lines of a coordinator with messages."""


@dataclass
class KindCosts:
    """The messages of one kind since the latest report.

    Attributes
    ----------
    count : int
        Messages that were processed.
    waited_s, longest_s : float
        Time in the inbox, of all together and of the one that waited longest.
    work_s : float
        Processor time of all together.
    """

    count: int = 0
    waited_s: float = 0.0
    longest_s: float = 0.0
    work_s: float = 0.0


@dataclass
class MessageCosts:
    """Counts the messages that a coordinator processes, by kind.

    Attributes
    ----------
    unused : int
        Grants that came back unused: too late, or for requests whose callers left.
    began_at : float
        When the present report began.
    """

    kinds: dict[str, KindCosts] = field(default_factory=dict)
    unused: int = 0
    began_at: float = 0.0
    clock: float = 0.0

    def begin(self) -> None:
        """Note that a message is about to be processed."""
        self.clock = time.thread_time()

    def end(self, kind: str, waited_s: float) -> float:
        """Count the message that was begun last; return its processor time."""
        work_s = time.thread_time() - self.clock
        costs = self.kinds.setdefault(kind, KindCosts())
        costs.count += 1
        costs.waited_s += waited_s
        costs.longest_s = max(costs.longest_s, waited_s)
        costs.work_s += work_s
        return work_s

    def is_due(self, now: float) -> bool:
        """Return whether there is something to report."""
        return bool(self.kinds) and now - self.began_at >= REPORT_S

    def report(self, now: float) -> dict[str, Any]:
        """Return the fields of a log line, and begin the next report."""
        kinds = {
            kind: {
                "count": costs.count,
                "mean_ms": round(1000 * costs.waited_s / costs.count, 1),
                "longest_ms": round(1000 * costs.longest_s, 1),
                "work_ms": round(1000 * costs.work_s, 1),
            }
            for kind, costs in self.kinds.items()
        }
        fields = {"kinds": kinds, "unused": self.unused}
        fields["period_ms"] = int(1000 * (now - self.began_at))
        self.kinds, self.unused, self.began_at = {}, 0, now
        return fields

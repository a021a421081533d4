"""Paces of endpoints: how much longer than usual work takes there at the moment.

The load: neighbours on its machine slow an endpoint down to 2.5 times the usual time,
for some hundred milliseconds at a time. Some endpoints report their pace with each
response. A response reaches one frontend; the coordinator of the pool, which
places requests, learns of it in messages that are sent anyway.
"""

from dataclasses import dataclass, field

from savorydyke._ids import ProcessId

MAX_PROCESSES = 4096
"""Processes whose paces are kept, the latest ones."""


@dataclass
class PaceReports:
    """The latest pace that each process of an endpoint has reported to this instance.

    Attributes
    ----------
    latest : dict of ProcessId to (float, float)
        Pace, and when it was reported on the monotonic clock; the oldest first.
    """

    latest: dict[ProcessId, tuple[float, float]] = field(default_factory=dict)

    def record(self, process: ProcessId, pace: float, now: float) -> None:
        """Record a reported pace."""
        self.latest.pop(process, None)
        self.latest[process] = (pace, now)
        if len(self.latest) > MAX_PROCESSES:
            del self.latest[next(iter(self.latest))]

    def message_fields(self, process: ProcessId, now: float) -> tuple[int, int]:
        """Return a pace in per cent and its age in ms; 0 if none is known."""
        pace, at = self.latest.get(process, (0.0, now))
        return round(100 * pace), round(1000 * (now - at))

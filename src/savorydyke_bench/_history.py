"""The recorded history of a run: what callers saw and what endpoints executed.

All times are those of the machine's monotonic clock, shared by all processes.
"""

from dataclasses import dataclass, field
from typing import Any

from savorydyke_bench._client import CallerRecord


@dataclass
class Execution:
    """A request that an endpoint started to execute, from the endpoint's record."""

    endpoint: str
    request_id: str
    idempotency_key: str
    at: float

    @property
    def team(self) -> str:
        """Return the team that sent the request."""
        return self.request_id.partition("~")[0]

    @property
    def caller_id(self) -> str:
        """Return the request id without the team, as the caller sent it."""
        return self.request_id.partition("~")[2]


@dataclass
class Fault:
    """An injected fault and the time in which it was active.

    Attributes
    ----------
    target : str
        Name of the instance or endpoint, empty for the platform.
    """

    kind: str
    target: str
    start: float
    end: float = 0.0


@dataclass
class ManifestUpdate:
    """A manifest that an operator applied.

    Attributes
    ----------
    base : int
        Revision that the manifest was made from.
    result : str
        Result that the instance returned, or ``undecided`` without an answer.
    revision : int
        Revision that the manifest became.
    approved : tuple of str
        Teams that the manifest approves.
    """

    base: int
    result: str
    revision: int
    at: float
    approved: tuple[str, ...] = ()


@dataclass
class StatusSample:
    """A status that an instance reported.

    Attributes
    ----------
    requested_at, answered_at : float
        Times of the status request and of its answer.
    """

    instance: str
    requested_at: float
    answered_at: float
    revision: int
    ready: bool


@dataclass
class History:
    """All observations of one run, the input of the checkers.

    Attributes
    ----------
    timed_out : bool
        Whether some requests had no final answer at the end of the run.
    exit_statuses : dict
        Exit status of each gracefully stopped process, None if it did not exit.
    tier_ranks : dict
        Rank of each tier, 0 is the highest.
    """

    seed: int
    requests: list[CallerRecord] = field(default_factory=list)
    executions: list[Execution] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)
    updates: list[ManifestUpdate] = field(default_factory=list)
    statuses: list[StatusSample] = field(default_factory=list)
    timed_out: bool = False
    exit_statuses: dict[str, int | None] = field(default_factory=dict)
    tier_ranks: dict[str, int] = field(default_factory=dict)

    def faults_of(self, *kinds: str) -> list[Fault]:
        """Return the faults of the given kinds."""
        return [fault for fault in self.faults if fault.kind in kinds]


def read_executions(endpoint: str, record: list[dict[str, Any]]) -> list[Execution]:
    """Return the executions in a stand-in's record."""
    return [
        Execution(endpoint, entry["id"], entry.get("idempotency_key", ""), entry["at"])
        for entry in record
        if entry["kind"] == "request"
    ]

"""The recorded history of a run: what callers saw and what endpoints ran.

All times are on the machine's monotonic clock, which all processes share.
"""

from dataclasses import dataclass, field
from typing import Any

from savorydyke_bench._client import CallerRecord


@dataclass
class Run:
    """A request in an endpoint's record."""

    endpoint: str
    request_id: str
    idempotency_key: str
    at: float

    @property
    def team(self) -> str:
        """Return the team whose request this was."""
        return self.request_id.partition("~")[0]

    @property
    def caller_id(self) -> str:
        """Return the request id that the caller knows."""
        return self.request_id.partition("~")[2]


@dataclass
class Fault:
    """A fault that was in force for a while.

    Attributes
    ----------
    target : str
        The instance or endpoint, empty for the platform.
    """

    kind: str
    target: str
    start: float
    end: float = 0.0


@dataclass
class Apply:
    """An operator's application of a manifest.

    Attributes
    ----------
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
    """What an instance said of itself.

    Attributes
    ----------
    asked, answered : float
        Times between which it said so.
    """

    instance: str
    asked: float
    answered: float
    revision: int
    ready: bool


@dataclass
class History:
    """Everything that the checkers read.

    Attributes
    ----------
    hung : bool
        Whether some requests had no final answer when the run was ended.
    """

    seed: int
    requests: list[CallerRecord] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)
    applies: list[Apply] = field(default_factory=list)
    statuses: list[StatusSample] = field(default_factory=list)
    hung: bool = False
    exits: dict[str, int | None] = field(default_factory=dict)
    ranks: dict[str, int] = field(default_factory=dict)

    def faults_of(self, *kinds: str) -> list[Fault]:
        """Return the faults of some kinds."""
        return [fault for fault in self.faults if fault.kind in kinds]


def runs_of(endpoint: str, record: list[dict[str, Any]]) -> list[Run]:
    """Return the runs in a stand-in's record."""
    return [
        Run(endpoint, entry["id"], entry.get("idempotency_key", ""), entry["at"])
        for entry in record
        if entry["kind"] == "request"
    ]

"""Queue of waiting requests: by tier, and within a tier fair among calling teams.

Tiers are strictly ordered. Within a tier the team with the least virtual time
is next; dispatching a request advances its team's virtual time by the cost
divided by the team's weight (start-time fair queueing).
"""

import math
from collections import OrderedDict
from collections.abc import Collection, Iterator
from dataclasses import dataclass, field
from itertools import islice
from typing import Any

from savorydyke._ids import (
    UNKNOWN_VERSION,
    EndpointId,
    InstanceId,
    RequestKey,
    SoftwareVersion,
    SuspectId,
    TeamId,
)

LOOK_AHEAD = 4
"""Number of a team's first requests that are considered for a grant."""
URGENCIES = 16
"""Number of urgency ranks within a tier."""
LATE_RANKS = 1_000_000
"""Added to the rank of a late request; those that can still be on time go first."""


def request_rank(tier_rank: int, urgency: int) -> int:
    """Return the rank of a request by tier and urgency, 0 for the highest."""
    return tier_rank * URGENCIES + min(urgency, URGENCIES - 1)


@dataclass(frozen=True)
class Forecast:
    """Predicted times of a request at the endpoints that it may go to.

    Attributes
    ----------
    least_s, least_first_s : float
        Least time to the last and to the first byte at an idle endpoint.
    cost_s : float
        Time of an average endpoint that the request occupies.
    """

    least_s: float
    least_first_s: float
    cost_s: float


@dataclass
class Waiting:
    """A request that waits for a grant.

    Attributes
    ----------
    rank : int
        Rank by tier and urgency, 0 for the highest; increased by `LATE_RANKS`
        once the objective is missed or expected to be missed.
    deadline, arrived : float
        Times on the coordinator's monotonic clock, in seconds.
    cost_s : float
        Estimated engine time, in seconds.
    objective : float
        Time by which the first byte is due, on the same clock.
    abandon_at : float
        Time at which the caller abandons a request whose first byte is late.
    quota_tokens : int
        Tokens that are charged to its team's quota.
    forecast : Forecast
        Predicted times at idle endpoints, made when it arrived.
    suspects : tuple of SuspectId
        What in the request may crash endpoints.
    version : SoftwareVersion
        The version that the endpoint must have, empty for any one.
    max_output_tokens : int
        Largest size of its answer, 0 if not known.
    prefix_tokens : tuple of int
        Tokens up to each digest in `prefix`, if that is of named parts of the prompt.
    size : Hashable or None
        What it has in common with requests that can share a result of the choice of
        an endpoint, once that is known.
    waited_s : float
        Time from its arrival at the frontend until its arrival in the queue.
    """

    key: RequestKey
    attempt: int
    frontend: InstanceId
    team: TeamId
    rank: int
    weight: float
    prompt_tokens: int
    output_tokens: int
    prefix: tuple[int, ...]
    allowed: frozenset[EndpointId]
    avoid: frozenset[EndpointId]
    deadline: float
    arrived: float
    cost_s: float
    has_caller_id: bool
    objective: float = math.inf
    quota_tokens: int = 0
    forecast: Forecast = Forecast(0.0, 0.0, 0.0)
    abandon_at: float = math.inf
    suspects: tuple[SuspectId, ...] = ()
    version: SoftwareVersion = UNKNOWN_VERSION
    max_output_tokens: int = 0
    prefix_tokens: tuple[int, ...] = ()
    size: Any = None
    waited_s: float = 0.0

    def is_late(self) -> bool:
        """Return whether the objective is missed or expected to be missed."""
        return self.rank >= LATE_RANKS

    def age_s(self, now: float) -> float:
        """Return the time since its arrival at the frontend."""
        return now - self.arrived + self.waited_s

    def base_rank(self) -> int:
        """Return the rank by tier and urgency alone."""
        return self.rank % LATE_RANKS


@dataclass
class TeamQueue:
    """The waiting requests of one team in one tier, in order of arrival."""

    weight: float
    virtual_s: float = 0.0
    cost_s: float = 0.0
    waiting: OrderedDict[RequestKey, Waiting] = field(default_factory=OrderedDict)

    def newest(self) -> Waiting:
        """Return the request that arrived last."""
        return next(reversed(self.waiting.values()))


@dataclass
class TierQueue:
    """The teams of one tier that have waiting requests."""

    teams: dict[TeamId, TeamQueue] = field(default_factory=dict)
    idle_virtual_s: dict[TeamId, float] = field(default_factory=dict)
    virtual_now_s: float = 0.0
    cost_s: float = 0.0
    length: int = 0


class FairQueue:
    """All waiting requests of one pool."""

    def __init__(self) -> None:
        self.tiers: dict[int, TierQueue] = {}
        self.by_key: dict[RequestKey, Waiting] = {}

    def __len__(self) -> int:
        return len(self.by_key)

    def push(self, item: Waiting) -> None:
        """Add a request behind the others of its team."""
        tier = self.tiers.setdefault(item.rank, TierQueue())
        team = tier.teams.get(item.team)
        if team is None:
            virtual_s = tier.idle_virtual_s.pop(item.team, 0.0)
            team = TeamQueue(item.weight, max(virtual_s, tier.virtual_now_s))
            tier.teams[item.team] = team
        team.waiting[item.key] = item
        team.cost_s += item.cost_s
        tier.cost_s += item.cost_s
        tier.length += 1
        self.by_key[item.key] = item

    def remove(self, key: RequestKey) -> Waiting | None:
        """Remove a request without charging its team."""
        item = self.by_key.pop(key, None)
        if item is None:
            return None
        tier = self.tiers[item.rank]
        team = tier.teams[item.team]
        del team.waiting[key]
        team.cost_s -= item.cost_s
        tier.cost_s -= item.cost_s
        tier.length -= 1
        if not team.waiting:
            tier.idle_virtual_s[item.team] = team.virtual_s
            del tier.teams[item.team]
        if not tier.teams:
            tier.cost_s = 0.0
            tier.idle_virtual_s.clear()
        return item

    def charge(self, item: Waiting) -> None:
        """Remove a request because it was granted, and charge its team."""
        tier = self.tiers[item.rank]
        team = tier.teams[item.team]
        tier.virtual_now_s = max(tier.virtual_now_s, team.virtual_s)
        team.virtual_s += item.cost_s / team.weight
        self.remove(item.key)

    def ranks(self) -> list[int]:
        """Return the ranks with waiting requests, the most urgent one first."""
        return sorted(rank for rank, tier in self.tiers.items() if tier.length)

    def heads(self, owed: Collection[int] = ()) -> Iterator[Waiting]:
        """Yield each team's first requests, in the order of dispatch.

        Those behind the first one are needed when it waits for a busy endpoint
        that holds its prefix although another endpoint is free.

        Parameters
        ----------
        owed : collection of int
            Ranks that go before more urgent ones of their tier, except urgency 0.
        """

        def order(rank: int) -> tuple[int, bool, bool, int]:
            tier, urgency = divmod(rank, URGENCIES)
            return tier, urgency > 0, rank not in owed, rank

        for rank in sorted(self.tiers, key=order):
            teams = sorted(
                self.tiers[rank].teams.values(), key=lambda team: team.virtual_s
            )
            for team in teams:
                yield from islice(team.waiting.values(), LOOK_AHEAD)

    def lowest(self) -> Waiting | None:
        """Return the request to shed next.

        It is the newest request in the lowest tier with waiting requests, of the
        team with the most waiting cost for its weight.
        """
        ranks = [rank for rank, tier in self.tiers.items() if tier.length]
        if not ranks:
            return None
        teams = self.tiers[max(ranks)].teams.values()
        return max(teams, key=lambda team: team.cost_s / team.weight).newest()

    def team_length(self, rank: int, team: TeamId) -> int:
        """Return the number of waiting requests of `team`."""
        tier = self.tiers.get(rank)
        queue = tier.teams.get(team) if tier else None
        return len(queue.waiting) if queue else 0

    def cost_ahead_s(self, rank: int, team: TeamId, weight: float) -> float:
        """Return the engine time that will be granted before a new request."""
        above = sum(tier.cost_s for r, tier in self.tiers.items() if r < rank)
        return above + self.rank_cost_ahead_s(rank, team, weight)

    def rank_cost_ahead_s(self, rank: int, team: TeamId, weight: float) -> float:
        """Return the part of `cost_ahead_s` that has the same rank."""
        tier = self.tiers.get(rank)
        if tier is None:
            return 0.0
        own = tier.teams.get(team)
        own_cost_s = own.cost_s if own else 0.0
        others = [queue for name, queue in tier.teams.items() if name != team]
        others_weight = sum(queue.weight for queue in others)
        others_cost_s = sum(queue.cost_s for queue in others)
        return own_cost_s + min(others_cost_s, own_cost_s * others_weight / weight)

"""Rate of demand for endpoint time, by rank of the requests."""

from dataclasses import dataclass, field

HALF_LIFE_S = 1.5
"""A burst shows within a second or two and fades as quickly after its end."""
MEAN_LIFETIME_S = HALF_LIFE_S / 0.693
"""At a steady rate of 1 a sum tends to this value, half-life / ln 2."""
LEAST_SUM_S = 1e-3
"""Sum below which a rank counts as having no recent requests."""


@dataclass
class DemandRate:
    """Endpoint seconds requested per second, smoothed, by rank.

    Attributes
    ----------
    sums : dict of int to float
        Endpoint seconds, each halved with every `HALF_LIFE_S`.
    """

    sums: dict[int, float] = field(default_factory=dict)
    updated: float = 0.0

    def add(self, rank: int, cost_s: float, now: float) -> None:
        """Count a request."""
        self._decay(now)
        self.sums[rank] = self.sums.get(rank, 0.0) + cost_s

    def of(self, rank: int, now: float) -> float:
        """Return the rate of the requests of one rank."""
        self._decay(now)
        return self.sums.get(rank, 0.0) / MEAN_LIFETIME_S

    def ranks(self, now: float) -> list[int]:
        """Return the ranks of recent requests."""
        self._decay(now)
        return [rank for rank, cost in self.sums.items() if cost > LEAST_SUM_S]

    def above(self, rank: int, now: float) -> float:
        """Return the rate of all requests more urgent than `rank`."""
        return self.up_to(rank - 1, now)

    def up_to(self, rank: int, now: float) -> float:
        """Return the rate of all requests as urgent as `rank` or more."""
        self._decay(now)
        total = sum(cost for other, cost in self.sums.items() if other <= rank)
        return total / MEAN_LIFETIME_S

    def _decay(self, now: float) -> None:
        if now <= self.updated:
            return
        kept = 0.5 ** (max(0.0, now - self.updated) / HALF_LIFE_S)
        self.updated = max(self.updated, now)
        self.sums = {rank: cost * kept for rank, cost in self.sums.items()}

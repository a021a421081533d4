"""Token quotas of calling teams: a bucket for each, kept by a pool's home.

A bucket that a new home starts is half full, so that a home that moves often
does not hand out a burst each time.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from savorydyke._ids import TeamId
from savorydyke._routes import TeamQuota

START_SHARE = 0.5
"""Part of the burst that a new bucket holds."""


@dataclass
class Bucket:
    """Tokens that a team may still use; below 0 after a large request."""

    tokens: float
    updated: float


@dataclass
class Quotas:
    """The buckets of all calling teams with a limit.

    Attributes
    ----------
    limits : mapping
        Quotas by team; teams that are missing have no limit.
    """

    limits: Mapping[TeamId, TeamQuota] = field(default_factory=dict)
    buckets: dict[TeamId, Bucket] = field(default_factory=dict)

    def wait_s(self, team: TeamId, tokens: float, now: float) -> float:
        """Return in how many seconds a request would be within the quota.

        A request larger than the burst is let through by a full bucket, which
        then pays it off.
        """
        limit = self.limits.get(team)
        if limit is None or limit.tokens_per_s <= 0:
            return 0.0
        bucket = self._refilled(team, limit, now)
        missing = min(tokens, limit.burst) - bucket.tokens
        return max(0.0, missing / limit.tokens_per_s)

    def charge(self, team: TeamId, tokens: float, now: float) -> None:
        """Take the tokens of a request that is sent."""
        limit = self.limits.get(team)
        if limit is not None and limit.tokens_per_s > 0:
            self._refilled(team, limit, now).tokens -= tokens

    def refund(self, team: TeamId, tokens: float) -> None:
        """Return the tokens of a request that did not run."""
        bucket = self.buckets.get(team)
        if bucket is not None:
            bucket.tokens += tokens

    def _refilled(self, team: TeamId, limit: TeamQuota, now: float) -> Bucket:
        bucket = self.buckets.get(team)
        if bucket is None:
            bucket = Bucket(limit.burst * START_SHARE, now)
            self.buckets[team] = bucket
        gained = max(0.0, now - bucket.updated) * limit.tokens_per_s
        bucket.tokens = min(limit.burst, bucket.tokens + gained)
        bucket.updated = now
        return bucket

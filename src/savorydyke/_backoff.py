"""Exponential backoff between retries."""

import random


def backoff_s(attempt: int, base_s: float, max_s: float, rng: random.Random) -> float:
    """Return a random delay whose upper bound doubles with each attempt.

    This is exponential backoff with full jitter, limited to `max_s`.
    """
    return rng.uniform(0, min(max_s, base_s * 2 ** min(attempt, 16)))

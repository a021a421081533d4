"""Waits between tries of the same thing."""

import random


def backoff_s(attempt: int, base_s: float, max_s: float, rng: random.Random) -> float:
    """Return a random wait that doubles with each attempt (full jitter)."""
    return rng.uniform(0, min(max_s, base_s * 2 ** min(attempt, 16)))

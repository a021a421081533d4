"""Parts of the rules that the platform says are in force for a deployment."""

from collections.abc import Iterable

PRESSURE = "pressure"
"""Callers compete for room, and callers and endpoints may read slowly."""


def is_contended(terms: Iterable[str]) -> bool:
    """Return whether a deployment's callers compete for too little room at times."""
    return PRESSURE in terms

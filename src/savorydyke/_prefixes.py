"""Index of the endpoints that processed a prompt prefix, by digests of leading blocks.

Engines publish cache events late and with gaps, so the index is a hint: it affects
which endpoint is preferred, never the correctness of an answer.
"""

import hashlib
from collections import OrderedDict
from itertools import islice

from savorydyke._ids import EndpointId

BLOCK_BYTES = 1024
MAX_DIGESTS = 12
BYTES_PER_TOKEN = 4
MAX_ENTRIES = 4096
"""Digests remembered for each endpoint."""


def prefix_digests(prompt: bytes) -> tuple[int, ...]:
    """Return digests of the first 1, 2, 4, ... blocks of `prompt`.

    Examples
    --------
    >>> len(prefix_digests(b"x" * 5000))
    3
    """
    digests: list[int] = []
    running = hashlib.blake2b(digest_size=8)
    done = 0
    size = BLOCK_BYTES
    while size <= len(prompt) and len(digests) < MAX_DIGESTS:
        running.update(prompt[done:size])
        digests.append(int.from_bytes(running.copy().digest(), "big"))
        done = size
        size *= 2
    return tuple(digests)


def prefix_tokens(depth: int) -> int:
    """Return the number of tokens covered by the first `depth` digests."""
    if depth == 0:
        return 0
    return BLOCK_BYTES * 2 ** (depth - 1) // BYTES_PER_TOKEN


class PrefixIndex:
    """The digests of prefixes that each endpoint probably has cached."""

    def __init__(self, max_entries: int = MAX_ENTRIES) -> None:
        self.max_entries = max_entries
        self.cached: dict[EndpointId, OrderedDict[int, None]] = {}
        self.holders: dict[int, dict[EndpointId, None]] = {}

    def cached_tokens(self, endpoint: EndpointId, prefix: tuple[int, ...]) -> int:
        """Return how many leading tokens `endpoint` probably has cached."""
        cached = self.cached.get(endpoint)
        if not cached:
            return 0
        for depth in range(len(prefix), 0, -1):
            if prefix[depth - 1] in cached:
                return prefix_tokens(depth)
        return 0

    def holding(self, prefix: tuple[int, ...], limit: int) -> list[EndpointId]:
        """Return some endpoints with the longest part of a prefix, the latest first."""
        for digest in reversed(prefix):
            if digest in self.holders:
                return list(islice(reversed(self.holders[digest]), limit))
        return []

    def add(self, endpoint: EndpointId, prefix: tuple[int, ...]) -> None:
        """Record that `endpoint` processed a prompt with this prefix."""
        cached = self.cached.setdefault(endpoint, OrderedDict())
        for digest in prefix:
            cached[digest] = None
            cached.move_to_end(digest)
            holders = self.holders.setdefault(digest, {})
            holders.pop(endpoint, None)
            holders[endpoint] = None
        while len(cached) > self.max_entries:
            self._remove_holder(cached.popitem(last=False)[0], endpoint)

    def evict(self, endpoint: EndpointId, digests: tuple[int, ...]) -> None:
        """Remove digests that `endpoint` reported as evicted."""
        cached = self.cached.get(endpoint, OrderedDict())
        for digest in digests:
            cached.pop(digest, None)
            self._remove_holder(digest, endpoint)

    def forget(self, endpoint: EndpointId) -> None:
        """Remove all digests of an endpoint, after a restart or a gap in its events."""
        for digest in self.cached.pop(endpoint, ()):
            self._remove_holder(digest, endpoint)

    def _remove_holder(self, digest: int, endpoint: EndpointId) -> None:
        holders = self.holders.get(digest, {})
        holders.pop(endpoint, None)
        if not holders:
            self.holders.pop(digest, None)

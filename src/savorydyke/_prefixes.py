"""Where prompt prefixes were last processed, as digests of leading blocks.

Engines publish cache events late and with gaps, so an entry here is a hint: it
moves work towards an endpoint and never away from correctness.
"""

import hashlib
from collections import OrderedDict

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
    """Return the tokens that the first `depth` digests stand for."""
    if depth == 0:
        return 0
    return BLOCK_BYTES * 2 ** (depth - 1) // BYTES_PER_TOKEN


class PrefixIndex:
    """The digests that each endpoint probably still holds."""

    def __init__(self, max_entries: int = MAX_ENTRIES) -> None:
        self.max_entries = max_entries
        self.held: dict[EndpointId, OrderedDict[int, None]] = {}

    def cached_tokens(self, endpoint: EndpointId, prefix: tuple[int, ...]) -> int:
        """Return how many leading tokens `endpoint` probably holds."""
        held = self.held.get(endpoint)
        if not held:
            return 0
        for depth in range(len(prefix), 0, -1):
            if prefix[depth - 1] in held:
                return prefix_tokens(depth)
        return 0

    def add(self, endpoint: EndpointId, prefix: tuple[int, ...]) -> None:
        """Record that `endpoint` processed a prompt with this prefix."""
        held = self.held.setdefault(endpoint, OrderedDict())
        for digest in prefix:
            held[digest] = None
            held.move_to_end(digest)
        while len(held) > self.max_entries:
            held.popitem(last=False)

    def evict(self, endpoint: EndpointId, digests: tuple[int, ...]) -> None:
        """Forget digests that `endpoint` reported as evicted."""
        held = self.held.get(endpoint, OrderedDict())
        for digest in digests:
            held.pop(digest, None)

    def forget(self, endpoint: EndpointId) -> None:
        """Forget all of one endpoint, after a restart or a gap in its events."""
        self.held.pop(endpoint, None)

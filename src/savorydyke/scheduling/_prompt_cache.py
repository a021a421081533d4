"""Prompt parts that endpoints probably still hold, from what was placed there.

The load: prompts begin with parts that callers or the requests of a session share. An
endpoint that still holds the beginning of a prompt does not process it again. It keeps
parts in the memory that its running requests leave, and drops the least recently used
ones first. It does not report what it holds, so that this is concluded from what was
placed there since. The result is a hint for the choice of an endpoint only.
"""

import hashlib
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field

from savorydyke._ids import EndpointId

MAX_PARTS = 4
"""Parts of a prompt in a message: the first ones, and the whole prompt."""
MAX_CHAINED = 64
"""Parts of a prompt that are read; a caller may name any number."""
LEAST_TOKENS = 256
"""Tokens below which a beginning of a prompt is not looked for: it is processed within
a few ms, and would keep requests of about the same size from sharing decisions."""
MAX_ENTRIES = 1024
"""Parts remembered for each endpoint; it gets fewer within the reuse window."""
MAX_LATEST = 20_000
UNSURE_SHARE = 0.25
"""Last part of an endpoint's memory, in which it is less and less probable that a part
is still held, since lengths of answers are estimates."""
DEFAULT_REUSE_S = 10.0
MANY_CACHED = 0.25
"""Share of a prompt from which on its first byte tells whether it was held."""
HIT_RATE = 0.05
LEAST_HITS = 0.02


def chained_parts(
    model: str, parts: Sequence[tuple[str, int]]
) -> tuple[tuple[int, ...], tuple[int, ...]]:
    """Return digests of the leading parts of a prompt, and the tokens up to each.

    A digest covers all parts before it too, since a part is of use only after them. Of
    many parts the first ones and the whole prompt are returned.

    Examples
    --------
    >>> chained_parts("m", [("a1", 60), ("b2", 600)])[1]
    (660,)
    """
    digest = hashlib.blake2b(model.encode(), digest_size=8)
    rows, total = [], 0
    for name, tokens in parts[:MAX_CHAINED]:
        digest.update(f"|{name}:{tokens}".encode())
        total += tokens
        if total >= LEAST_TOKENS:
            rows.append((int.from_bytes(digest.copy().digest(), "big"), total))
    kept = rows[: MAX_PARTS - 1] + rows[MAX_PARTS - 1 :][-1:]
    return tuple(d for d, _ in kept), tuple(t for _, t in kept)


@dataclass
class HeldParts:
    """What one process of an endpoint may hold.

    Attributes
    ----------
    placed : int
        Tokens that were placed there in all.
    parts : OrderedDict of int to (float, int)
        By digest, when it was used last and how much had been placed until then; the
        least recently used first.
    """

    placed: int = 0
    parts: OrderedDict[int, tuple[float, int]] = field(default_factory=OrderedDict)


@dataclass
class PromptCache:
    """The prompt parts that each endpoint of a pool probably holds.

    Attributes
    ----------
    reuse_s : float
        Time since its last use in which a part counts.
    hits : float
        Share of prompts expected to be held whose first bytes showed that they were.
        What is expected counts only by it.
    latest : OrderedDict of int to EndpointId
        Where each part was placed last, the part placed longest ago first.
    """

    reuse_s: float = DEFAULT_REUSE_S
    hits: float = 1.0
    held: dict[EndpointId, HeldParts] = field(default_factory=dict)
    latest: OrderedDict[int, EndpointId] = field(default_factory=OrderedDict)

    def holding(self, digests: Sequence[int]) -> list[EndpointId]:
        """Return where the longest known beginning of a prompt was placed last."""
        for digest in reversed(digests):
            endpoint = self.latest.get(digest)
            if endpoint in self.held and digest in self.held[endpoint].parts:
                return [endpoint]
        return []

    def add(
        self,
        endpoint: EndpointId,
        digests: Sequence[int],
        tokens: int,
        memory: int,
        now: float,
    ) -> None:
        """Record that a prompt with these parts was placed at an endpoint.

        Parameters
        ----------
        tokens : int
            What it takes of the endpoint's memory beside the parts that are held.
        memory : int
            Tokens that fit into the endpoint, 0 if that is not known.
        """
        held = self.held.setdefault(endpoint, HeldParts())
        held.placed += tokens
        # The first part is used by more requests than what follows it.
        for digest in reversed(digests):
            held.parts[digest] = (now, held.placed)
            held.parts.move_to_end(digest)
            self.latest[digest] = endpoint
            self.latest.move_to_end(digest)
        while len(self.latest) > MAX_LATEST:
            self.latest.popitem(last=False)
        while held.parts:
            used, placed = next(iter(held.parts.values()))
            is_gone = now - used > self.reuse_s or held.placed - placed > memory > 0
            if not is_gone and len(held.parts) <= MAX_ENTRIES:
                break
            held.parts.popitem(last=False)

    def cached_tokens(
        self,
        endpoint: EndpointId,
        digests: Sequence[int],
        tokens: Sequence[int],
        memory: int,
        now: float,
    ) -> int:
        """Return how many leading tokens of a prompt are expected to be held."""
        held = self.held.get(endpoint)
        if held is None:
            return 0
        best = 0.0
        for digest, count in zip(digests, tokens, strict=False):
            part = held.parts.get(digest)
            if part is not None and now - part[0] <= self.reuse_s:
                since = held.placed - part[1]
                best = max(best, count * held_share(since + count, memory))
        return int(best * self.hits)

    def learn(self, was_held: bool) -> None:
        """Learn from the first byte of a prompt that was expected to be held."""
        hits = self.hits + HIT_RATE * (was_held - self.hits)
        self.hits = max(LEAST_HITS, hits)

    def forget(self, endpoint: EndpointId) -> None:
        """Drop what an endpoint held, since its process has ended or may have."""
        self.held.pop(endpoint, None)


def held_share(needed: int, memory: int) -> float:
    """Return the probability that a part is held.

    Parameters
    ----------
    needed : int
        Its tokens and those placed since its last use.
    memory : int
        Tokens that fit into the endpoint; without it only the time counts.
    """
    if memory <= 0:
        return 1.0
    return min(1.0, max(0.0, (memory - needed) / (UNSURE_SHARE * memory)))


def is_worth_waiting(saved_s: float, answer_s: float, running: int) -> bool:
    """Return whether the time that a busy endpoint saves exceeds the wait for it.

    The next of its requests ends after the usual time of an answer divided by their
    number. To wait also leaves a slot elsewhere unused for that long.

    Parameters
    ----------
    saved_s : float
        Prefill time that the endpoint saves at its present pace.
    answer_s : float
        Time of an answer there.
    running : int
        Number of requests that it runs.
    """
    return saved_s > 2 * answer_s / max(1, running)

"""Generates the seeded load of a site, phase by phase."""

import random
from collections.abc import Iterator
from dataclasses import dataclass

from savorydyke_bench._sites import EngineSpec, Site, TeamSpec

LINE = "Payload {serial}: wind 247 deg 18.4 m/s, temp -51.2 C, alt 31204 m; "
LONG_CHARS = 48_000
MIDDLE_CHARS = 2_400
LONG_SHARE = 0.15
MIDDLE_SHARE = 0.35
LOGS = 24
"""Number of distinct long logs; several requests share each as a prefix."""
OUTPUT_TOKENS = (8, 48)
CHARS_PER_TOKEN = 4


@dataclass(frozen=True)
class Phase:
    """A phase of the load.

    Attributes
    ----------
    load : float
        Offered work as a share of the capacity of all engines.
    """

    name: str
    seconds: float
    load: float


PHASES = (
    Phase("steady", 5.0, 0.6),
    Phase("burst", 5.0, 2.0),
    Phase("slowed", 5.0, 0.9),
    Phase("stale", 4.0, 0.9),
    Phase("killed", 4.0, 0.9),
    Phase("platform-out", 4.0, 0.9),
)
OVERLOADED = frozenset({"burst", "slowed"})


@dataclass(frozen=True)
class Arrival:
    """One request of the load.

    Attributes
    ----------
    at : float
        Seconds after the start of the run.
    """

    at: float
    phase: str
    team: TeamSpec
    prompt: str
    output_tokens: int
    number: int


def engine_s(engine: EngineSpec, prompt_tokens: float, output_tokens: float) -> float:
    """Return the engine time in seconds that a request takes, with all slots in use."""
    decode_s = output_tokens / engine.decode / engine.slots
    return prompt_tokens / engine.prefill + decode_s


def mean_tokens() -> tuple[float, float]:
    """Return the mean prompt and output length of a request, in tokens."""
    short = 1 - LONG_SHARE - MIDDLE_SHARE
    chars = LONG_SHARE * LONG_CHARS + MIDDLE_SHARE * MIDDLE_CHARS + short * len(LINE)
    return chars / CHARS_PER_TOKEN, sum(OUTPUT_TOKENS) / 2


def capacity_per_s(site: Site) -> float:
    """Return the requests per second that all engines together can answer."""
    prompt, output = mean_tokens()
    return sum(1 / engine_s(engine, prompt, output) for engine in site.engines)


def arrivals(site: Site, seed: int) -> Iterator[Arrival]:
    """Yield the requests of a run in order of arrival."""
    rng = random.Random(seed)
    teams = [
        team for team in site.teams if team.share and site.model_pool in team.pools
    ]
    shares = [team.share for team in teams]
    logs = [_log(rng, number) for number in range(LOGS)]
    rate = capacity_per_s(site)
    now = phase_end = 0.0
    number = 0
    for phase in PHASES:
        phase_end += phase.seconds
        while True:
            now += rng.expovariate(rate * phase.load)
            if now > phase_end:
                now = phase_end
                break
            number += 1
            team = rng.choices(teams, shares)[0]
            prompt = _prompt(rng, logs, number)
            tokens = rng.randint(*OUTPUT_TOKENS)
            yield Arrival(now, phase.name, team, prompt, tokens, number)


def _log(rng: random.Random, number: int) -> str:
    head = f"Log {number} {rng.getrandbits(64):x}: "
    line = LINE.format(serial=number)
    return head + line * (LONG_CHARS // len(line))


def _prompt(rng: random.Random, logs: list[str], number: int) -> str:
    kind = rng.random()
    if kind < LONG_SHARE:
        return f"{rng.choice(logs)} Question {number}?"
    if kind < LONG_SHARE + MIDDLE_SHARE:
        return f"Note {number}. " + LINE * (MIDDLE_CHARS // len(LINE))
    return f"Question {number}: where does it land?"

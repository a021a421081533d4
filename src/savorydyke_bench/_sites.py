"""The two deployments that are simulated, at their present sizes."""

from dataclasses import dataclass, field
from typing import Any

from savorydyke import hash_key
from savorydyke_bench._fleet import Fleet

APPLIED_AT = "2026-12-03T08:00:00Z"


@dataclass(frozen=True)
class TeamSpec:
    """A calling team.

    Attributes
    ----------
    pools : tuple of str
        Pools that the team may call.
    share : float
        Share of the load, relative to the other teams.
    weight : float
        Weight in the manifest.
    """

    name: str
    tier: str
    pools: tuple[str, ...]
    share: float = 1.0
    weight: float = 1.0

    @property
    def key(self) -> str:
        """Return the team's bearer key, for tests only."""
        return f"key-of-{self.name}"


@dataclass(frozen=True)
class EngineSpec:
    """True speed of an engine stand-in in tokens/s; the manifest states the same."""

    name: str
    data_centre: str
    prefill: float
    decode: float
    slots: int


@dataclass(frozen=True)
class Site:
    """A deployment.

    Attributes
    ----------
    tiers : tuple
        Name and deadline in seconds of each tier, highest first.
    services : tuple
        Name and data centre of each service endpoint.
    hop_s, client_s : float
        Network time of a hop and of the way from a client, in seconds.
    unapproved : tuple of str
        Teams that the manifest does not approve.
    """

    name: str
    instances: int
    tiers: tuple[tuple[str, float], ...]
    teams: tuple[TeamSpec, ...]
    model_pool: str
    models: tuple[str, ...]
    engines: tuple[EngineSpec, ...]
    service_pool: str
    services: tuple[tuple[str, str], ...]
    hop_s: float
    client_s: float
    unapproved: tuple[str, ...] = field(default=())

    def manifest(self, fleet: Fleet) -> dict[str, Any]:
        """Return the manifest of this site with a fleet's addresses."""
        pools = [
            {"name": self.model_pool, "kind": "engine", "models": list(self.models)},
            {"name": self.service_pool, "kind": "service"},
        ]
        owners = {self.model_pool: "model-owners", self.service_pool: "desk-owners"}
        access = [
            {"team": t.name, "pool": pool, "by": "operator", "at": APPLIED_AT}
            for t in self.teams
            for pool in t.pools
        ]
        approvals = [
            {
                "team": t.name,
                "pool": pool,
                "owner": owners[pool],
                "by": f"{owners[pool]}-lead",
                "at": APPLIED_AT,
            }
            for t in self.teams
            for pool in t.pools
            if t.name not in self.unapproved
        ]
        return {
            "tiers": [
                {"name": name, "deadline_s": seconds} for name, seconds in self.tiers
            ],
            "teams": [
                {
                    "name": t.name,
                    "tier": t.tier,
                    "keys": [hash_key(t.key, "00")],
                    "weight": t.weight,
                }
                for t in self.teams
            ],
            "pools": pools,
            "endpoints": [
                *[self._engine(e, fleet) for e in self.engines],
                *[self._service(n, dc, fleet) for n, dc in self.services],
            ],
            "access": access,
            "approvals": approvals,
        }

    def _engine(self, engine: EngineSpec, fleet: Fleet) -> dict[str, Any]:
        return {
            "name": engine.name,
            "pool": self.model_pool,
            "address": fleet.endpoints[engine.name].address,
            "data_centre": engine.data_centre,
            "owner": "model-owners",
            "resumes": True,
            "max_concurrency": engine.slots,
            "max_tokens": 200_000,
            "prefill_tokens_per_s": engine.prefill,
            "decode_tokens_per_s": engine.decode,
        }

    def _service(self, name: str, data_centre: str, fleet: Fleet) -> dict[str, Any]:
        return {
            "name": name,
            "pool": self.service_pool,
            "address": fleet.endpoints[name].address,
            "data_centre": data_centre,
            "owner": "desk-owners",
            "max_concurrency": 8,
            "prefill_tokens_per_s": 50_000,
        }

    async def start(self, fleet: Fleet, instances: int | None = None) -> None:
        """Start all endpoints and instances and apply the manifest."""
        await self.start_processes(fleet, instances)
        answer = await fleet.apply(self.manifest(fleet), 0)
        if answer.get("result") != "accepted":
            raise RuntimeError(f"the manifest was not accepted: {answer}")
        await fleet.wait_ready()

    async def start_processes(self, fleet: Fleet, instances: int | None = None) -> None:
        """Start all endpoints and instances."""
        self.add_endpoints(fleet)
        for number in range(instances or self.instances):
            fleet.add_instance(f"instance-{number + 1}")
        await fleet.wait_started()
        await fleet.publish_lists()

    async def start_endpoints(self, fleet: Fleet) -> None:
        """Start all endpoints only, for policies that need no instance."""
        self.add_endpoints(fleet)
        await fleet.wait_started()

    def add_endpoints(self, fleet: Fleet) -> None:
        """Start the processes of all endpoints."""
        for engine in self.engines:
            fleet.add_endpoint(
                engine.name,
                "engine",
                engine.data_centre,
                prefill_tokens_per_s=engine.prefill,
                decode_tokens_per_s=engine.decode,
                slots=engine.slots,
            )
        for name, data_centre in self.services:
            fleet.add_endpoint(name, "service", data_centre)


BALLOONS = Site(
    name="vereniging-ballonberging",
    instances=7,
    tiers=(("recovery", 12.0), ("road", 20.0), ("volunteers", 30.0)),
    teams=(
        TeamSpec("recovery-crews", "recovery", ("digest",), 4.0),
        TeamSpec("field-drivers", "road", ("digest",), 4.0),
        TeamSpec("volunteers", "volunteers", ("digest", "claims"), 2.0),
        TeamSpec("flight-planning", "road", ("digest",), 1.0),
        TeamSpec("archive", "volunteers", ("digest", "claims"), 1.0),
        TeamSpec("school-visitors", "volunteers", ("digest", "claims"), 0.0),
    ),
    model_pool="digest",
    models=("flight-digest",),
    engines=(
        EngineSpec("engine-1", "nl-west-a", 24_000, 120, 8),
        EngineSpec("engine-2", "nl-west-a", 24_000, 120, 8),
        EngineSpec("engine-3", "nl-west-b", 12_000, 80, 8),
        EngineSpec("engine-4", "nl-west-b", 12_000, 80, 8),
        EngineSpec("engine-5", "nl-west-c", 6_000, 40, 4),
        EngineSpec("engine-6", "nl-west-d", 3_000, 40, 4),
    ),
    service_pool="claims",
    services=(
        ("claims-1", "nl-west-a"),
        ("claims-2", "nl-west-b"),
        ("claims-3", "nl-west-c"),
        ("claims-4", "nl-west-d"),
    ),
    hop_s=0.0015,
    client_s=0.003,
    unapproved=("school-visitors",),
)

TIMBER = Site(
    name="hrafnsvik-timbur-maeling",
    instances=9,
    tiers=(("weighbridge", 12.0), ("yard", 20.0), ("office", 30.0)),
    teams=(
        TeamSpec("mill-buyers", "weighbridge", ("summaries",), 4.0),
        TeamSpec("scalers", "yard", ("summaries", "tickets"), 4.0),
        TeamSpec("hauliers", "yard", ("summaries", "tickets"), 2.0),
        TeamSpec("season-office", "office", ("summaries",), 2.0),
        TeamSpec("auditors", "office", ("summaries", "tickets"), 1.0),
    ),
    model_pool="summaries",
    models=("ledger-summary", "species-notes"),
    engines=(
        EngineSpec("engine-1", "austurland-a", 24_000, 120, 8),
        EngineSpec("engine-2", "austurland-a", 24_000, 120, 8),
        EngineSpec("engine-3", "austurland-a", 24_000, 120, 8),
        EngineSpec("engine-4", "austurland-b", 12_000, 80, 8),
        EngineSpec("engine-5", "austurland-b", 12_000, 80, 8),
        EngineSpec("engine-6", "austurland-b", 12_000, 80, 8),
        EngineSpec("engine-7", "austurland-c", 6_000, 40, 4),
        EngineSpec("engine-8", "austurland-c", 6_000, 40, 4),
        EngineSpec("engine-9", "austurland-c", 3_000, 40, 4),
    ),
    service_pool="tickets",
    services=(
        ("desk-1", "austurland-a"),
        ("desk-2", "austurland-b"),
        ("desk-3", "austurland-c"),
    ),
    hop_s=0.0015,
    client_s=0.001,
)

SITES = {site.name: site for site in (BALLOONS, TIMBER)}

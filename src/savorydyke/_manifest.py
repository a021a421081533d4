"""The manifest: calling teams, tiers, pools, endpoints, access and approvals.

A manifest is read and checked as a whole and is immutable. It determines
which endpoints a calling team may reach.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

from savorydyke import _keys
from savorydyke._exceptions import FindingsError
from savorydyke._findings import Fields, Findings, check_unique, read_document
from savorydyke._ids import (
    UNKNOWN_VERSION,
    DataCentreId,
    EndpointId,
    PoolId,
    ProcessId,
    SoftwareVersion,
    TeamId,
    TierId,
    process_id,
)

MAX_BYTES = 1_000_000
"""Largest manifest, in bytes; the platform's store holds values of up to 1 MB."""
SERVICE_CALL_TOKENS = 1000
EVERY_ENDPOINT = "*"
KEY_CACHE_SIZE = 4096


class PoolKind(Enum):
    """What the endpoints of a pool are."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclass(frozen=True)
class Tier:
    """A class of requests; the first tier of the manifest is the highest.

    Attributes
    ----------
    rank : int
        0 for the highest tier.
    deadline_s : float
        Seconds for the complete answer if the caller gives no deadline.
    """

    id: TierId
    rank: int
    deadline_s: float


@dataclass(frozen=True)
class Team:
    """A calling team.

    Attributes
    ----------
    keys : tuple of str
        Salted hashes of the team's bearer keys.
    weight : float
        Share of a pool among the teams of one tier.
    max_waiting : int
        Requests that may wait in one pool.
    """

    id: TeamId
    tier: TierId
    keys: tuple[str, ...]
    weight: float
    max_waiting: int


@dataclass(frozen=True)
class Pool:
    """Interchangeable endpoints.

    Attributes
    ----------
    models : tuple of str
        Models that an engine pool serves.
    not_repeatable : tuple of str
        HTTP methods that must run at most once for each idempotency key.
    max_waiting : int
        Requests that may wait in the pool before those of the lowest tier are
        refused.
    """

    id: PoolId
    kind: PoolKind
    models: tuple[str, ...]
    not_repeatable: tuple[str, ...]
    max_waiting: int


@dataclass(frozen=True)
class Endpoint:
    """A model engine or a plain service.

    Attributes
    ----------
    max_concurrency : int
        Requests in flight at once.
    max_tokens : int
        Prompt and output tokens in flight at once that coordinators may grant.
    memory_tokens : int
        Tokens that fit into its memory, 0 if that is not known.
    prefill_tokens_per_s, decode_tokens_per_s : float
        Speeds assumed until they have been learned; that of decoding is for a
        single stream. A call to a plain service counts as
        `SERVICE_CALL_TOKENS` prompt tokens.
    first_s : float
        Time to the first token of an empty prompt, assumed until it is learned.
    started_ms : int
        Start of its process in Unix milliseconds, 0 if unknown.
    version : SoftwareVersion
        Version of its software. Streams go on only at the one that began them.
    warm_up_s : float
        For how much longer it was slow when it was listed, since it had just started.
    """

    id: EndpointId
    pool: PoolId
    address: str
    data_centre: DataCentreId
    owner: str
    resumes: bool
    checks_fencing: bool
    drained: bool
    max_concurrency: int
    max_tokens: int
    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    first_s: float = 0.0
    started_ms: int = 0
    version: SoftwareVersion = UNKNOWN_VERSION
    memory_tokens: int = 0
    warm_up_s: float = 0.0

    @property
    def process(self) -> ProcessId:
        """Return the id of its process."""
        return process_id(self.id, self.started_ms)


@dataclass(frozen=True)
class Access:
    """An operator's decision that a team may reach endpoints of a pool."""

    team: TeamId
    pool: PoolId
    endpoints: tuple[str, ...]
    by: str
    at: str


@dataclass(frozen=True)
class Approval:
    """An owner's approval of a team at the owner's endpoints of a pool."""

    team: TeamId
    pool: PoolId
    owner: str
    by: str
    at: str


@dataclass(frozen=True)
class Manifest:
    """A checked manifest, with its items by id.

    Attributes
    ----------
    reach : dict
        The endpoints that each team may reach in each pool.
    all_approved : bool
        Whether every team may reach every pool. If so, a team has no endpoint
        in a pool only if the pool has none, not for lack of an approval.
    known_keys : OrderedDict of str to TeamId
        Bearer keys that matched recently, as a cache.

    Examples
    --------
    >>> manifest = read_manifest(text)           # doctest: +SKIP
    >>> manifest.reachable("drivers", "digest")  # doctest: +SKIP
    frozenset({'engine-1', 'engine-2'})
    """

    tiers: dict[TierId, Tier]
    teams: dict[TeamId, Team]
    pools: dict[PoolId, Pool]
    endpoints: dict[EndpointId, Endpoint]
    access: tuple[Access, ...]
    approvals: tuple[Approval, ...]
    reach: dict[tuple[TeamId, PoolId], frozenset[EndpointId]] = field(repr=False)
    pool_of_model: dict[str, PoolId] = field(repr=False)
    all_approved: bool = False
    known_keys: OrderedDict[str, TeamId] = field(
        default_factory=OrderedDict, repr=False, compare=False
    )

    def reachable(self, team: TeamId, pool: PoolId) -> frozenset[EndpointId]:
        """Return the endpoints of `pool` that `team` may reach.

        They are those that an operator gave access to and the owner approved.
        """
        return self.reach.get((team, pool), frozenset())

    def rank(self, team: TeamId) -> int:
        """Return the rank of the team's tier, 0 for the highest."""
        return self.tiers[self.teams[team].tier].rank

    def team_with_key(self, key: str) -> TeamId | None:
        """Return the team that holds this bearer key, or None.

        Each stored hash is compared in constant time. Keys that matched are
        cached, since otherwise the hashes of all teams have to be tried.
        """
        team = self.known_keys.get(key)
        if team is not None:
            return team
        found = None
        for candidate in self.teams.values():
            for hashed in candidate.keys:
                if _keys.matches(key, hashed):
                    found = candidate.id
        if found is not None:
            self.known_keys[key] = found
            if len(self.known_keys) > KEY_CACHE_SIZE:
                self.known_keys.popitem(last=False)
        return found


def read_manifest(text: str, file: str = "manifest") -> Manifest:
    """Return the manifest in `text`.

    Raises
    ------
    FindingsError
        With every finding, if there are any.
    """
    manifest, findings = check_manifest(text, file)
    if findings.items:
        raise FindingsError(findings.items)
    return manifest


def check_manifest(text: str, file: str = "manifest") -> tuple[Manifest, Findings]:
    """Return the valid parts of the manifest in `text`, and its findings."""
    findings = read_document(text, file)
    if len(text.encode("utf-8", "replace")) > MAX_BYTES:
        findings.add((), f"larger than {MAX_BYTES} bytes")
    if findings.items:
        return _assemble([], [], [], [], [], []), findings
    top = Fields(findings.document.value, (), findings)
    top.text("$schema", "")
    tier_fields = top.objects("tiers")
    manifest = _assemble(
        [_tier(fields, rank) for rank, fields in enumerate(tier_fields)],
        [_team(fields) for fields in top.objects("teams")],
        [_pool(fields) for fields in top.objects("pools")],
        [_endpoint(fields) for fields in top.objects("endpoints")],
        [_access(fields) for fields in top.objects("access", required=False)],
        [_approval(fields) for fields in top.objects("approvals", required=False)],
    )
    top.finish()
    _check_references(manifest, findings)
    return manifest, findings


def _tier(fields: Fields, rank: int) -> Tier:
    tier = Tier(
        id=TierId(fields.name("name")),
        rank=rank,
        deadline_s=fields.number("deadline_s", 30.0, 0.1, 86_400),
    )
    fields.finish()
    return tier


def _team(fields: Fields) -> Team:
    keys = fields.texts("keys")
    for index, key in enumerate(keys):
        if not _keys.is_hash(key):
            path = (*fields.path, "keys", index)
            fields.findings.add(path, "expected sha256:<salt>:<hash>, never a key")
    team = Team(
        id=TeamId(fields.name("name")),
        tier=TierId(fields.name("tier")),
        keys=tuple(key for key in keys if _keys.is_hash(key)),
        weight=fields.number("weight", 1.0, 0.01, 1000),
        max_waiting=fields.integer("max_waiting", 1000, 1),
    )
    fields.finish()
    return team


def _pool(fields: Fields) -> Pool:
    kind = fields.choice("kind", PoolKind)
    default = ("POST", "PUT", "PATCH", "DELETE") if kind is PoolKind.SERVICE else ()
    pool = Pool(
        id=PoolId(fields.name("name")),
        kind=kind,
        models=fields.texts("models", ()),
        not_repeatable=fields.texts("not_repeatable", default),
        max_waiting=fields.integer("max_waiting", 5000, 1),
    )
    if kind is PoolKind.ENGINE and not pool.models:
        fields.findings.add(fields.path, "an engine pool needs 'models'")
    fields.finish()
    return pool


def _endpoint(fields: Fields) -> Endpoint:
    endpoint = Endpoint(
        id=EndpointId(fields.name("name")),
        pool=PoolId(fields.name("pool")),
        address=fields.address("address"),
        data_centre=DataCentreId(fields.name("data_centre")),
        owner=fields.name("owner"),
        resumes=fields.flag("resumes", False),
        checks_fencing=fields.flag("checks_fencing", False),
        drained=fields.flag("drained", False),
        max_concurrency=fields.integer("max_concurrency", 8, 1, 100_000),
        max_tokens=fields.integer("max_tokens", 200_000, 1),
        prefill_tokens_per_s=fields.number("prefill_tokens_per_s", 5000.0, 1),
        decode_tokens_per_s=fields.number("decode_tokens_per_s", 30.0, 0.1),
    )
    fields.finish()
    return endpoint


def _access(fields: Fields) -> Access:
    access = Access(
        team=TeamId(fields.name("team")),
        pool=PoolId(fields.name("pool")),
        endpoints=fields.texts("endpoints", (EVERY_ENDPOINT,)),
        by=fields.text("by", ""),
        at=fields.text("at", ""),
    )
    fields.finish()
    return access


def _approval(fields: Fields) -> Approval:
    approval = Approval(
        team=TeamId(fields.name("team")),
        pool=PoolId(fields.name("pool")),
        owner=fields.name("owner"),
        by=fields.text("by"),
        at=fields.text("at"),
    )
    fields.finish()
    return approval


def _assemble(
    tiers: list[Tier],
    teams: list[Team],
    pools: list[Pool],
    endpoints: list[Endpoint],
    access: list[Access],
    approvals: list[Approval],
) -> Manifest:
    return Manifest(
        tiers={tier.id: tier for tier in tiers},
        teams={team.id: team for team in teams},
        pools={pool.id: pool for pool in pools},
        endpoints={endpoint.id: endpoint for endpoint in endpoints},
        access=tuple(access),
        approvals=tuple(approvals),
        reach=_reachable_endpoints(endpoints, access, approvals),
        pool_of_model={model: pool.id for pool in pools for model in pool.models},
    )


def _reachable_endpoints(
    endpoints: list[Endpoint], access: list[Access], approvals: list[Approval]
) -> dict[tuple[TeamId, PoolId], frozenset[EndpointId]]:
    approved = {(a.team, a.pool, a.owner) for a in approvals}
    by_pool: dict[PoolId, list[Endpoint]] = {}
    for endpoint in endpoints:
        by_pool.setdefault(endpoint.pool, []).append(endpoint)
    reach: dict[tuple[TeamId, PoolId], frozenset[EndpointId]] = {}
    for item in access:
        ids = frozenset(
            endpoint.id
            for endpoint in by_pool.get(item.pool, [])
            if EVERY_ENDPOINT in item.endpoints or endpoint.id in item.endpoints
            if (item.team, item.pool, endpoint.owner) in approved
        )
        key = (item.team, item.pool)
        reach[key] = reach.get(key, frozenset()) | ids
    return reach


def _check_references(manifest: Manifest, findings: Findings) -> None:
    value = findings.document.value
    if not isinstance(value, dict):
        return
    lists = {
        name: [x for x in items if isinstance(x, dict)]
        for name, items in value.items()
        if isinstance(items, list)
    }
    for name in ("tiers", "teams", "pools", "endpoints"):
        items = lists.get(name, [])
        paths: list[tuple[str | int, ...]] = [(name, i) for i in range(len(items))]
        check_unique(items, lambda item: str(item.get("name")), paths, findings)
    known: dict[str, set[str]] = {
        "tier": set(manifest.tiers),
        "team": set(manifest.teams),
        "pool": set(manifest.pools),
        "owner": {endpoint.owner for endpoint in manifest.endpoints.values()},
    }
    uses = {
        "teams": ("tier",),
        "endpoints": ("pool",),
        "access": ("team", "pool"),
        "approvals": ("team", "pool", "owner"),
    }
    for name, fields in uses.items():
        for index, item in enumerate(lists.get(name, [])):
            for kind in fields:
                target = item.get(kind)
                if isinstance(target, str) and target not in known[kind]:
                    findings.add((name, index, kind), f"no {kind} named {target!r}")
    _check_endpoint_names(manifest, lists.get("access", []), findings)
    _check_models(lists.get("pools", []), findings)


def _check_endpoint_names(manifest: Manifest, items: list, findings: Findings) -> None:
    for index, item in enumerate(items):
        names = item.get("endpoints", [])
        for position, name in enumerate(names if isinstance(names, list) else []):
            if name == EVERY_ENDPOINT or not isinstance(name, str):
                continue
            endpoint = manifest.endpoints.get(EndpointId(name))
            if endpoint is None or endpoint.pool != item.get("pool"):
                path = ("access", index, "endpoints", position)
                findings.add(path, f"no endpoint named {name!r} in this pool")


def _check_models(items: list, findings: Findings) -> None:
    seen: dict[str, int] = {}
    for index, item in enumerate(items):
        models = item.get("models", [])
        for model in models if isinstance(models, list) else []:
            if isinstance(model, str) and seen.setdefault(model, index) != index:
                path = ("pools", index, "models")
                findings.add(path, f"model {model!r} stands in two pools")

"""Decision cases of paces, endpoint memory, cached prompts and data centres."""

import json
import logging
import operator
import random
from dataclasses import replace
from types import SimpleNamespace

import cbor2
import trio
from decision_cases import (
    CREW,
    FRONTEND,
    POOL,
    SETTINGS,
    acquire,
    case,
    configuration,
    end,
    endpoint_of,
    granted,
    refused,
    scheduler_of,
    start,
    streaming_request,
)
from pace_simulation import Simulation

from savorydyke._endpoint_observer import EndpointObserver
from savorydyke._endpoint_states import EndpointStates
from savorydyke._fallback_placement import has_memory, own_tokens
from savorydyke._gateway_settings import check_gateway_settings
from savorydyke._grant_client import FALLBACK, Demand, Granted, InFlight
from savorydyke._ids import Reason, ReleaseResult
from savorydyke._membership import Membership, rendezvous_score
from savorydyke._messages import Grant, Release, Started, decode, encode
from savorydyke._request_limits import RequestLimits
from savorydyke._routed_handler import RoutedHandler
from savorydyke.platform import (
    parse_load_report,
    parse_request_headers,
    parse_response_headers,
)
from savorydyke.scheduling import (
    UNKNOWN_RATIO,
    EndpointPace,
    FallbackMemory,
    OutputTail,
    PromptCache,
    chained_parts,
    coordinator_tokens,
    is_worth_waiting,
)

ROUTE = {
    "name": "r",
    "host": "h.example",
    "prefix": "/a/",
    "kind": "idempotent",
    "service": "engines",
    "timeout_ms": 2000,
}
STAMP = (b"X-Savorydyke-Response-Stamp", b"s")
LOAD = b"X-Savorydyke-Load-Report"


@case("a load report has three or four figures, and bad ones cost only themselves")
def _():
    three = parse_load_report("3, 1, 6")
    assert (three.running, three.waiting, three.slots) == (3, 1, 6)
    assert three.pace is None and not three.error
    assert parse_load_report("3,1,6,250").pace == 2.5
    for bad in (
        "3,1,6,0",
        "3,1,6,-5",
        "3,1,6,9999999",
        "3,1,6,x",
        "3,1,6,",
        "3,1,6,1e2",
    ):
        report = parse_load_report(bad)
        assert (report.running, report.slots, report.pace) == (3, 6, None), bad
        assert report.error, bad
    fifth = parse_load_report("3,1,6,90," + "7" * 5000)
    assert fifth.pace == 0.9 and 0 < len(fifth.error) < 300
    assert parse_load_report("x,1,6,90").waiting == 1
    assert parse_load_report("").error and parse_load_report("3").running == 3


@case("load reports that can not be read cost one log line in ten seconds")
def _():
    observer = EndpointObserver(EndpointStates(), RequestLimits(), RequestLimits())
    endpoint = endpoint_of("e1", 1)
    lines = []
    handler = logging.Handler()
    handler.emit = lambda row: lines.append(row.getMessage())
    logger = logging.getLogger("savorydyke.request")
    logger.addHandler(handler)

    async def play():
        now = trio.current_time()
        observer.states.present[endpoint.id] = endpoint.process
        for pace in (b"120", b"x", b"0", b"100,1"):
            info = parse_response_headers(200, [STAMP, (LOAD, b"1,0,6," + pace)])
            assert observer.observe(endpoint, info, now, "r1") == 0.0
        fields = observer.paces.message_fields(endpoint.process, now)
        assert fields[0] == 100, fields

    try:
        trio.run(play)
    finally:
        logger.removeHandler(handler)
    assert lines == ["request: Load report unreadable."], lines


@case("reported paces make the longest pauses shorter, and draw no flock")
def _():
    figures, most = {}, {}
    for name, policy, reports in (
        ("least", "least", False),
        ("present", "scheduler", False),
        ("paced", "scheduler", True),
        ("oracle", "oracle", False),
    ):
        runs = [Simulation(policy, s, 12.0, reports=reports).play() for s in (1, 2)]
        columns = zip(*(run.figures() for run in runs), strict=True)
        figures[name] = [sum(column) / len(runs) for column in columns]
        most[name] = max(run.most for run in runs)
    paced, present = figures["paced"], figures["present"]
    assert all(map(operator.lt, paced, figures["least"])), figures
    # Mean and 95th percentile of first events, then of longest pauses.
    bounds = (1.05, 1.05, 0.97, 0.85)
    for value, before, bound in zip(paced, present, bounds, strict=True):
        assert value < bound * before, figures
    assert most["paced"] <= most["present"] + 2, most


@case("a pace counts for as long as earlier ones lasted, and not if it is worthless")
def _():
    pace = EndpointPace()
    now = 0.0
    for i in range(400):
        now += 0.1
        pace.report(2.5 if i % 40 < 6 else 1.0, now)
    assert 1.1 < pace.mean < 1.4, pace
    assert 0.3 < pace.exposed_s / pace.changes < 0.9, pace
    pace.report(2.5, now + 0.1)
    assert pace.pace(now + 0.1) == 2.5 and pace.pace(now + 5) < 1.5
    pace.report(1.0, now - 1.0)
    assert pace.reported == 2.5
    # Of an endpoint whose reports say nothing about its times.
    rng, pace = random.Random(1), EndpointPace()
    for i in range(200):
        pace.report(rng.choice([1.0, 2.5]), i / 10)
        pace.learn_first(0.1, 0.1, i / 10)
    assert not pace.is_useful(), pace


@case("an endpoint's kind is learned apart from its pace, and from its batch")
def _():
    rng, pace = random.Random(1), EndpointPace()
    for i in range(2000):
        now, slow = i / 10, rng.choice([1.0, 1.0, 1.0, 2.5])
        others = rng.randrange(7)
        pace.report(slow, now)
        pace.learn_first(0.28 * slow, 0.1, now)
        pace.learn_decode(100, 0.1 * slow * (1 + 0.1 * others), others, now)
    assert abs(pace.kind / 2.8 - 1) < 0.05, pace
    one, seven = pace.tokens_per_s(0, now), pace.tokens_per_s(6, now)
    assert 1.3 < one / seven < 1.9, (one, seven, pace)


@case("an endpoint that is slower than it reports is still passed over")
def _():
    scheduler = scheduler_of("e0", "e1")
    load = scheduler.endpoints["e0"]
    load.report_pace(100, 0, 0.0)
    (decision,) = scheduler.acquire(acquire("a"), FRONTEND, 0.0)
    assert decision.answer.endpoint == "e0"
    for tick in range(1, 8):
        scheduler.tick(tick / 10)
    assert load.prefill_factor > 3, load.prefill_factor
    for _ in range(30):
        load.report_pace(0, 0, 1.0)
    assert not load.pace.is_useful()


@case("paces pass between builds that know them and builds that do not")
def _():
    asked = acquire("a", prefix=(7, 8), prefix_tokens=(60, 900), max_output_tokens=9)
    (known,) = decode(encode([asked], is_extensible=False))
    assert known == replace(asked, prefix=(), prefix_tokens=(), max_output_tokens=0)
    blocks = acquire("a", prefix=(7, 8))
    assert decode(encode([blocks], is_extensible=False)) == [blocks]
    grant = Grant("k", 1, "e", False, (), 5, 60)
    assert decode(encode([asked, grant])) == [asked, grant]
    (known,) = decode(encode([grant], is_extensible=False))
    assert known == replace(grant, cached_tokens=0)
    started = Started("k", POOL, 5, "s", "v", 250, 3)
    release = Release("k", 1, POOL, "e", ReleaseResult.COMPLETE, 9, 8, 7, 250, 3)
    for message, length in ((started, 5), (release, 8)):
        assert decode(encode([message])) == [message]
        ((_, *fields),) = cbor2.loads(encode([message], is_extensible=False))
        assert len(fields) == length
        (known,) = decode(encode([message], is_extensible=False))
        assert known == replace(message, pace_percent=0, pace_age_ms=0)
        ((tag, *fields),) = cbor2.loads(encode([message]))
        # From a later build.
        assert decode(cbor2.dumps([[tag, *fields, "more"]])) == [message]


MEMORY = 100_000
"""Tokens of the endpoints of these cases, as their configuration says."""


@case("coordinator and fallback placement together stay within an endpoint's memory")
def _():
    names = [f"i{i}" for i in range(70)]
    parts = []
    for name in names:
        memory = FallbackMemory(name, rendezvous_score)
        memory.set_instances(names)
        parts.append(memory.tokens("e1", MEMORY, 4))
        # Placed until it is full.
        in_flight, endpoint = [], endpoint_of("e1", 1)
        demand = Demand("k", POOL, CREW, "", 400, 100, (), 9.0, False)
        demand = replace(demand, max_output_tokens=300)
        while has_memory(endpoint, demand, memory, own_tokens(in_flight)):
            grant = Granted(FALLBACK, "e1", 1, False, (), 0.0)
            in_flight.append(InFlight(demand, grant))
        assert len(in_flight) == parts[-1] // 700, len(in_flight)
    assert coordinator_tokens(MEMORY) + sum(parts) <= MEMORY, sum(parts)
    # A request that is larger than an equal part has instances that may place it.
    assert sum(part > 6000 for part in parts) == 4, parts


@case("an endpoint's memory bounds a request that runs alone, and refuses larger ones")
def _():
    scheduler = scheduler_of("e0")
    whole = acquire("a", prompt_tokens=98_000, output_tokens=900)
    assert granted(scheduler.acquire(whole, FRONTEND, 0.0)) == ["e0"]
    assert not scheduler.acquire(acquire("b"), FRONTEND, 0.0)
    start(scheduler, "a", 0.0, 2.0)
    larger = acquire("c", prompt_tokens=100_000, output_tokens=1)
    (refusal,) = refused(scheduler.acquire(larger, FRONTEND, 0.0))
    assert refusal.reason is Reason.TOO_LARGE and not refusal.may_have_run
    assert len(end(scheduler, "a", "e0", 1.0)) == 1
    load = scheduler.endpoints["e0"]
    assert not load.has_capacity(60_000, 1, 0.5) and load.tokens > 0
    # One that has to wait until nothing runs does not stop the others.
    start(scheduler, "b", 1.0, 0.1)
    alone = acquire("d", prompt_tokens=90_000, output_tokens=900)
    assert not scheduler.acquire(alone, FRONTEND, 1.0)
    assert granted(scheduler.acquire(acquire("e"), FRONTEND, 1.0)) == ["e0"]
    load.remove("frontend/1/b")
    load.remove("frontend/1/e")
    assert load.tokens == 0 and load.unstarted_tokens == 0


@case("answers longer than hinted seldom exceed an endpoint's memory")
def _():
    def exceeded(tail, seed):
        """Return the share of time in which an endpoint holds more than it may."""
        rng, scheduler = random.Random(seed), scheduler_of("e0", slots=64)
        scheduler.estimates.output_tail = tail
        lengths, running, over = {}, {}, 0

        def place(decisions, now):
            for decision in decisions:
                if granted([decision]):
                    key = int(decision.answer.key.rpartition("/")[2])
                    running[key] = now + lengths[key] / 2000
                    started = Started(decision.answer.key, POOL, 5)
                    place(scheduler.started(started, now), now)

        for i in range(4000):
            now, hint = i / 100, rng.choice([500, 1000])
            lengths[i] = int(hint * rng.choice([0.5, 1, 1, 1, 1, 1, 1, 2, 4, 8]))
            sizes = {"prompt_tokens": 400, "output_tokens": hint}
            message = acquire(i, **sizes, max_output_tokens=20_000)
            place(scheduler.acquire(message, FRONTEND, now), now)
            for key in [key for key, until in running.items() if until <= now]:
                del running[key]
                place(end(scheduler, key, "e0", now, tokens=lengths[key]), now)
            held = sum(400 + lengths[key] for key in running)
            # The longest answers are known only when they have ended.
            over += i >= 1000 and held > coordinator_tokens(MEMORY)
            assert tail.ratio == 1 or held < MEMORY, held
        return over / 3000, tail.ratio

    fixed, _ = exceeded(SimpleNamespace(reserve=lambda h, m: h, learn=min, ratio=1), 1)
    share, ratio = exceeded(OutputTail(UNKNOWN_RATIO), 1)
    assert 6 <= ratio <= 10, ratio
    assert share < 0.01 and share <= fixed, (share, fixed, ratio)


def session(key, turn=1, prompt=6000, **more):
    """Return a request of a session, whose prompt is shared but for the last tokens."""
    prefix, tokens = chained_parts("m", [("common", 600), (f"s{turn}", prompt - 600)])
    parts = {"prefix": prefix, "prefix_tokens": tokens}
    return acquire(key, prompt_tokens=prompt, **(parts | more))


@case("the parts of a prompt are passed on as a few digests, each of all before it")
def _():
    short = chained_parts("m", [("a", 600), ("b", 6000)])
    assert short[1] == (600, 6600)
    assert chained_parts("m", [("a", 600), ("c", 6000)])[0][0] == short[0][0]
    assert chained_parts("m", [("x", 600), ("b", 6000)])[0][1] != short[0][1]
    assert chained_parts("n", [("a", 600)])[0][0] != short[0][0]
    many = chained_parts("m", [(f"p{i}", 300) for i in range(1000)])
    assert many[1] == (300, 600, 900, 19_200) and max(many[0]) < 2**64
    # A short beginning is read in less time than it takes to look for it.
    assert chained_parts("m", [("a", 60), ("b", 600)])[1] == (660,)
    info = parse_request_headers(
        [
            (b"X-Savorydyke-Request-Id", b"r"),
            (b"X-Savorydyke-Prompt-Prefix", b"a:1e300,b:x,c:-5"),
        ]
    )
    encode([acquire("a", prefix_tokens=chained_parts("m", info.prefix)[1])])


@case("a part counts within the reuse window, and until it had to yield its memory")
def _():
    cache = PromptCache(reuse_s=10.0)
    digests, tokens = chained_parts("m", [("a", 600), ("b", 5400)])
    cache.add("e1", digests, 6400, MEMORY, 0.0)
    assert cache.cached_tokens("e1", digests, tokens, MEMORY, 1.0) == 6000
    assert cache.cached_tokens("e1", digests[:1], tokens, MEMORY, 1.0) == 600
    assert cache.cached_tokens("e2", digests, tokens, MEMORY, 1.0) == 0
    assert cache.cached_tokens("e1", digests, tokens, MEMORY, 10.1) == 0
    cache.add("e1", (1, 2), 80_000, MEMORY, 2.0)
    held = cache.cached_tokens("e1", digests, tokens, MEMORY, 2.0)
    assert 3000 < held < 4000, held
    cache.add("e1", (1, 3), 30_000, MEMORY, 3.0)
    assert cache.cached_tokens("e1", digests, tokens, MEMORY, 3.0) == 0
    assert list(cache.held["e1"].parts) == [2, 3, 1], cache.held
    for i in range(5000):
        cache.add("e1", (i, -i), 1, 0, 4.0)
    assert len(cache.held["e1"].parts) <= 1024
    cache.forget("e1")
    assert not cache.held


@case("a request goes where its prompt is held, unless that takes longer")
def _():
    scheduler = scheduler_of("e0", "e1")
    for load in scheduler.endpoints.values():
        load.spec = replace(load.spec, data_centre="a")
    (first,) = granted(scheduler.acquire(session("a"), FRONTEND, 0.0))
    other = ({"e0", "e1"} - {first}).pop()
    # While its prompt is being read the other one is sooner.
    assert granted(scheduler.acquire(session("b", 2), FRONTEND, 0.0)) == [other]
    for key in ("a", "b"):
        start(scheduler, key, 0.2, 0.14)
    (decision,) = scheduler.acquire(session("c", 2), FRONTEND, 1.0)
    assert decision.answer.endpoint == other and decision.answer.cached_tokens == 5999
    start(scheduler, "c", 1.0, 0.01)
    # A slow endpoint that saves it is no gain.
    scheduler.endpoints[other].prefill_factor = 20.0
    scheduler.endpoints[other].decode_tokens_per_s = 15.0
    assert granted(scheduler.acquire(session("d", 2), FRONTEND, 2.0)) == [first]
    scheduler.set_leaving(first, True)
    assert first not in scheduler.estimates.prompts.held
    assert is_worth_waiting(0.5, 1.0, 6) and not is_worth_waiting(0.1, 1.0, 6)


@case("prompts that endpoints do not hold after all cost no confidence in their speed")
def _():
    scheduler = scheduler_of("e0")
    load = scheduler.endpoints["e0"]
    for i in range(60):
        scheduler.acquire(session(i), FRONTEND, i / 2)
        scheduler.tick(i / 2 + 0.1)
        start(scheduler, i, i / 2 + 0.14, 0.14)
        end(scheduler, i, "e0", i / 2 + 0.4)
    assert load.prefill_factor < 1.3, load.prefill_factor
    hits = scheduler.estimates.prompts.hits
    assert hits < 0.3, hits


@case("routes with affinity name their prompts, for a time that settings bound")
def _():
    routes = ROUTE, ROUTE | {"affinity": True}
    for row, expected in zip(routes, (False, True), strict=True):
        route = configuration(routes=[row]).routes[0]
        assert route.affinity is expected
        head = [(b"X-Savorydyke-Prompt-Prefix", b"a1:60,b2:640")]
        head.append((b"X-Savorydyke-Request-Id", b"r"))
        head.append((b"X-Savorydyke-Token-Count", b"700,50"))
        info = parse_request_headers(head)
        request = replace(streaming_request(), route=route, request_info=info)
        handler = RoutedHandler("i", *[None] * 15)
        rollouts = SimpleNamespace(is_running=lambda pool: False)
        handler.check = SimpleNamespace(rollouts=rollouts)
        demand = handler._demand(request)
        assert demand.prefix_tokens == ((700,) if expected else ())
        assert len(demand.prefix) == len(demand.prefix_tokens)
        assert demand.max_output_tokens == 50
    for bounds, expected in (({}, 10.0), ({"prefix_reuse_s": 4}, 4.0)):
        text = json.dumps(SETTINGS | {"bounds": bounds})
        settings, findings = check_gateway_settings(text, "s")
        assert not findings.items and settings.bounds.prefix_reuse_s == expected


@case("of endpoints about as good the one in the frontend's data centre is used")
def _():
    names = [f"e{i}" for i in range(8)]
    scheduler = scheduler_of(*names, slots=4)
    for i, load in enumerate(scheduler.endpoints.values()):
        load.spec = replace(load.spec, data_centre="ab"[i % 2])
    centres = {"fa": "a", "fb": "b"}
    scheduler.data_centre_of = lambda frontend: centres.get(frontend, "")

    def place(key, frontend, now):
        (name,) = granted(scheduler.acquire(acquire(key), frontend, now))
        start(scheduler, key, now, 0.03)
        return scheduler.endpoints[name].spec.data_centre

    # All slots of the data centre are used before those of the other one.
    near = [place(f"k{i}", "fb", 0.0) for i in range(17)]
    assert near == ["b"] * 16 + ["a"], near
    for load in scheduler.endpoints.values():
        for key in list(load.running):
            load.remove(key)
        load.prefill_factor = 1.0
    # One that is clearly slower is no match.
    for load in scheduler.endpoints.values():
        load.decode_tokens_per_s = 300.0 if load.spec.data_centre == "a" else 250.0
    assert place("x", "fb", 1.0) == "a" and place("y", "unknown", 1.0) == "a"
    membership = Membership("i", "127.0.0.1:1", "a", 1)
    assert membership.data_centre_of("i") == "a"
    assert membership.data_centre_of("j") == ""

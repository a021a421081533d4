"""Decision cases of paces, endpoint memory, cached prompts and data centres."""

import logging
import operator
import random
from dataclasses import replace

import cbor2
import trio
from decision_cases import FRONTEND, POOL, acquire, case, endpoint_of, scheduler_of
from pace_simulation import Simulation

from savorydyke._endpoint_observer import EndpointObserver
from savorydyke._endpoint_states import EndpointStates
from savorydyke._ids import ReleaseResult
from savorydyke._messages import Release, Started, decode, encode
from savorydyke._request_limits import RequestLimits
from savorydyke.platform import (
    InstanceRecord,
    parse_load_report,
    parse_response_headers,
    read_instance,
    write_instance,
)
from savorydyke.scheduling import EndpointPace

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
    started = Started("k", POOL, 5, "s", "v", 250, 3)
    release = Release("k", 1, POOL, "e", ReleaseResult.COMPLETE, 9, 8, 7, 250, 3)
    for message, length in ((started, 5), (release, 8)):
        assert decode(encode([message])) == [message]
        ((_, *fields),) = cbor2.loads(encode([message], optional_fields=False))
        assert len(fields) == length
        (known,) = decode(encode([message], optional_fields=False))
        assert known == replace(message, pace_percent=0, pace_age_ms=0)
        ((tag, *fields),) = cbor2.loads(encode([message]))
        # From a later build.
        assert decode(cbor2.dumps([[tag, *fields, "more"]])) == [message]
    row = InstanceRecord("i", "127.0.0.1:1", "a")
    assert read_instance("i", write_instance(row)).reads_optional
    earlier = b'{"address": "127.0.0.1:1", "data_centre": "a"}'
    assert not read_instance("i", earlier).reads_optional

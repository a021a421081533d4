"""Decision cases of paces, endpoint memory, cached prompts and data centres."""

import logging

import trio
from decision_cases import case, endpoint_of

from savorydyke._endpoint_observer import EndpointObserver
from savorydyke._endpoint_states import EndpointStates
from savorydyke._request_limits import RequestLimits
from savorydyke.platform import parse_load_report, parse_response_headers

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

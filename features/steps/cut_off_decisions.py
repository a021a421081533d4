"""Decision cases for instances that are cut off from endpoints."""

import random
from collections import Counter
from types import SimpleNamespace

import decision_cases
import trio
from decision_cases import case
from trio.testing import MockClock

from savorydyke._background import BackgroundTasks
from savorydyke._endpoint_links import EndpointLinks
from savorydyke._endpoint_probes import probe_failed_links
from savorydyke._endpoint_ways import Ended, EndpointWays
from savorydyke._forward_headers import (
    RESULT,
    SIGNATURE,
    ForwardOrder,
    ForwardResult,
    is_signed,
    order_headers,
    process_name,
    read_order,
    signature,
)
from savorydyke._forwarded_requests import ForwardedRequests
from savorydyke._ids import EndpointId, InstanceId, RequestKey
from savorydyke._ingress import IncomingRequest
from savorydyke._lost_answers import LostAnswers
from savorydyke._membership import Membership
from savorydyke._messages import MemberRow
from savorydyke._quarantine import Quarantine


def signed_request(**changes):
    """Return the arguments of a signed request, some changed after signing."""
    order = ForwardOrder(EndpointId("e1"), InstanceId("i1"), RequestKey("i1/7/1"))
    headers = [(b"Host", b"x"), (b"X-Deadline", b"100"), *order_headers(order)]
    parts = {
        "secret": b"secret",
        "recipient": process_name(InstanceId("i2"), 9),
        "method": b"POST",
        "target": b"/claim/1",
        "headers": headers,
        "body": b"body",
    }
    signed = (SIGNATURE, signature(**parts))
    parts = parts | changes
    return parts | {"headers": [*parts["headers"], signed]}


@case("an order is valid only as it was signed and at the process that it names")
def _():
    assert is_signed(**signed_request())
    order = read_order(signed_request()["headers"])
    assert (order.endpoint, order.sender) == ("e1", "i1") and not order.is_probe
    headers = signed_request()["headers"][:-1]
    for changes in (
        {"secret": b"other"},
        {"recipient": process_name(InstanceId("i2"), 10)},
        {"recipient": process_name(InstanceId("i3"), 9)},
        {"method": b"GET"},
        {"target": b"/claim/2"},
        {"body": b"bod"},
        {"headers": headers[:-1]},
        {"headers": [*headers, (b"X-More", b"1")]},
        {"headers": [(b"Host", b"y"), *headers[1:]]},
    ):
        assert not is_signed(**signed_request(**changes)), changes
    twice = signed_request()
    twice["headers"].append(twice["headers"][-1])
    assert not is_signed(**twice)


@case("an order that comes again is not carried out")
def _():
    orders = ForwardedRequests(*[None] * 10)
    assert orders.is_first(RequestKey("i1/7/1"))
    assert not orders.is_first(RequestKey("i1/7/1"))
    for number in range(2, 30_000):
        assert orders.is_first(RequestKey(f"i1/7/{number}"))
    assert len(orders.attempts) <= 20_000


class AnswerHead:
    """Records the answer to an order."""

    result = None

    async def send_answer(self, status, headers, body):
        """Record what became of the order."""
        self.result = dict(headers)[RESULT].decode()


def results_of_bodies(*sizes):
    """Send orders at once to an instance that reaches no endpoint for now.

    Returns
    -------
    list of str or None
        What became of each; None for one whose request is held.
    """
    ways = ways_among([])
    endpoint = SimpleNamespace(id=EndpointId("e1"))
    directory = SimpleNamespace(
        manifest=SimpleNamespace(endpoints={endpoint.id: endpoint})
    )
    overload = SimpleNamespace(is_overloaded=lambda now: False)
    answers = [AnswerHead() for _ in sizes]

    async def wait(*_):
        await trio.sleep_forever()

    ways.open_own_link = wait

    def order(number, size):
        key = RequestKey(f"i1/7/{number}")
        headers = order_headers(ForwardOrder(endpoint.id, InstanceId("i1"), key))
        me = process_name(InstanceId("me"), 1)
        parts = (b"POST", b"/claim/1", headers, bytes(size))
        signed = (SIGNATURE, signature(b"s", me, *parts))
        return IncomingRequest(*parts[:2], [*headers, signed], parts[3], 0.0)

    async def play():
        async with trio.open_nursery() as nursery:
            handler = ForwardedRequests(
                ways.membership,
                lambda: b"s",
                directory,
                ways,
                None,
                None,
                None,
                overload,
                lambda: False,
                nursery,
            )
            for number, size in enumerate(sizes):
                incoming = order(number, size)
                nursery.start_soon(handler.handle, incoming, answers[number])
                await trio.sleep(0.1)
            nursery.cancel_scope.cancel()
        assert handler.held_bytes == 0

    trio.run(play, clock=MockClock(autojump_threshold=0))
    return [answer.result for answer in answers]


@case("bodies that are held for other instances are bounded by their size")
def _():
    busy = ForwardResult.BUSY.value
    assert results_of_bodies(*[3_000_000] * 7) == [None] * 5 + [busy] * 2
    # One of any size is taken alone.
    assert results_of_bodies(20_000_000, 10) == [None, busy]
    assert results_of_bodies(*[1000] * 128) == [None] * 128


def links_after(*seen):
    """Return the links after connections that failed or were opened."""
    links = EndpointLinks()
    for number, (endpoint, is_open) in enumerate(seen):
        record = links.record_opened if is_open else links.record_failed
        record(EndpointId(endpoint), 10.0 + number)
    return links


@case("an instance counts as cut off when several endpoints in a row are not reached")
def _():
    assert not links_after(("a", False)).is_cut_off
    assert not links_after(("a", False), ("a", False)).is_cut_off
    assert links_after(("a", False), ("b", False)).is_cut_off
    assert not links_after(("a", False), ("c", True), ("b", False)).is_cut_off
    again = links_after(("a", False), ("b", False), ("c", True))
    assert not again.is_cut_off
    assert again.is_failed("a") and not again.is_failed("c")
    away = links_after(("a", False), ("b", False))
    assert away.is_failed("c")
    away.keep({EndpointId("b")})
    assert not away.is_cut_off and away.is_failed("b")


def ways_among(members, cut_off=(), slow=()):
    """Return the ways of an instance that knows some others."""
    membership = Membership(InstanceId("me"), "127.0.0.1:1", "a", 1)
    for number, name in enumerate(members):
        address = f"10.0.0.{number}:7600"
        states = (False, name in slow, name in cut_off)
        row = MemberRow(name, address, "a", 1, 1, 0, *states)
        membership.merge_row(row, 0.0)
        membership.members[name].linked = True
    membership.update(0.0)
    return EndpointWays(
        membership, EndpointLinks(), lambda: b"s", lambda: None, random.Random(7)
    )


def chosen_of(ways, orders, skipped=()):
    """Return which instances are asked first to send a number of requests."""

    async def choose():
        for name in skipped:
            ways.skip(name, "busy")
        return Counter(ways.choose(set()).id for _ in range(orders))

    return trio.run(choose, clock=MockClock())


@case("requests of cut off instances are spread over all that reach endpoints")
def _():
    for size in (9, 195):
        members = [InstanceId(f"i{number}") for number in range(size)]
        cut_off = set(members[: size // 3])
        counts = chosen_of(ways_among(members, cut_off), 100 * size)
        assert not cut_off & counts.keys()
        mean = 100 * size / (size - size // 3)
        assert max(counts.values()) < 1.5 * mean, max(counts.values()) / mean


@case("few requests of a cut off instance are spread by capacity too")
def _():
    members = [InstanceId(f"i{number}") for number in range(4)]
    counts = chosen_of(ways_among(members), 20)
    assert set(counts.values()) == {5}, counts
    ways = ways_among(members)
    ways.membership.weights[members[0]] = 2.0
    counts = chosen_of(ways, 25)
    assert counts[members[0]] == 10, counts


@case("an instance that comes back is not asked for all that it missed")
def _():
    members = [InstanceId(f"i{number}") for number in range(4)]
    ways = ways_among(members)
    chosen_of(ways, 40, skipped=members[:1])
    ways.skipped_until.clear()
    counts = chosen_of(ways, 12)
    assert max(counts.values()) <= 4, counts


@case("an instance that could not send a request is not asked again for a moment")
def _():
    ways = ways_among([InstanceId("i1"), InstanceId("i2")])
    assert set(chosen_of(ways, 50, [InstanceId("i1")])) == {"i2"}


@case("instances that could not send a request are asked again without others")
def _():
    ways = ways_among([InstanceId("i1"), InstanceId("i2")], cut_off=["i2"])
    assert set(chosen_of(ways, 5, [InstanceId("i1")])) == {"i1"}


@case("a slow instance is asked only if no other one reaches endpoints")
def _():
    members = [InstanceId(f"i{number}") for number in range(4)]
    ways = ways_among(members, cut_off=members[:2], slow=members[2:3])
    assert set(chosen_of(ways, 50)) == {"i3"}
    ways = ways_among(members, cut_off=members[:2], slow=members[2:])
    assert set(chosen_of(ways, 50)) == {"i2", "i3"}


REACHED_AGAIN_S = 3.0
"""When endpoints are reached again after answers were lost."""


def ends_recorded(found, now_started_ms):
    """Lose an answer while no endpoint is reached; return when an end is recorded.

    Parameters
    ----------
    found : ForwardResult
        What becomes of a connection to the endpoint once others are reached again.
    now_started_ms : int
        When the endpoint's process has started by then; it was at 1 ms before.

    Returns
    -------
    list of bool
        Whether it is recorded before and after endpoints are reached again.
    """
    endpoint = decision_cases.endpoint_of("e", started_ms=1)
    newer = decision_cases.endpoint_of("e", started_ms=now_started_ms)
    manifest = SimpleNamespace(endpoints={endpoint.id: newer})

    async def has_ended(_):
        return Ended.IN_DOUBT

    async def is_any_reached(_):
        return trio.current_time() - began >= REACHED_AGAIN_S

    async def probe_own_link(_):
        return found

    ways = SimpleNamespace(
        has_ended=has_ended,
        is_any_reached=is_any_reached,
        probe_own_link=probe_own_link,
        manifest=lambda: manifest,
        links=EndpointLinks(),
    )
    began = 0.0

    async def play():
        nonlocal began
        began = trio.current_time()
        quarantine = Quarantine()
        async with trio.open_nursery() as nursery:
            lost = LostAnswers(quarantine, ways, BackgroundTasks(nursery))
            lost.record_lost(endpoint, ("part",), began)
            process, recorded = endpoint.process, []
            for _ in range(2):
                await trio.sleep(REACHED_AGAIN_S - 0.1)
                recorded.append(process in quarantine.ended)
            assert not lost.in_doubt
        return recorded

    return trio.run(play, clock=MockClock(autojump_threshold=0))


@case("an end that is in doubt counts once an endpoint is reached again")
def _():
    assert ends_recorded(ForwardResult.REFUSED, 1) == [False, True]
    assert ends_recorded(ForwardResult.REACHED, 2) == [False, True]
    assert ends_recorded(ForwardResult.REACHED, 1) == [False, False]
    assert ends_recorded(ForwardResult.UNREACHABLE, 1) == [False, False]


# Guards against ends that stay in doubt until the next processes have ended as well.
@case("an end that is in doubt counts once its process is listed no more")
def _():
    async def play():
        endpoint = decision_cases.endpoint_of("e", started_ms=1)
        other = decision_cases.endpoint_of("f", started_ms=1)

        async def has_ended(_):
            return Ended.IN_DOUBT

        async def is_any_reached(_):
            return False

        ways = SimpleNamespace(has_ended=has_ended, is_any_reached=is_any_reached)
        quarantine = Quarantine()
        async with trio.open_nursery() as nursery:
            lost = LostAnswers(quarantine, ways, BackgroundTasks(nursery))
            for one in (endpoint, other):
                lost.record_lost(one, ("part",), trio.current_time())
            await trio.sleep(1.0)
            lost.observe_manifest(
                SimpleNamespace(endpoints={"e": endpoint, "f": other})
            )
            assert not quarantine.ended
            newer = decision_cases.endpoint_of("f", started_ms=2)
            lost.observe_manifest(SimpleNamespace(endpoints={"f": newer}))
            assert quarantine.ended == {endpoint.process, other.process}
            nursery.cancel_scope.cancel()

    trio.run(play, clock=MockClock(autojump_threshold=0))


# Guards against the end of two of three endpoints that is taken for an own cut.
@case("an endpoint's end is told from a cut if any of a few others is reached")
def _():
    async def play(ended):
        ways = ways_among([])
        endpoints = {f"e{n}": SimpleNamespace(id=f"e{n}") for n in range(3)}
        ways.manifest = lambda: SimpleNamespace(endpoints=endpoints)

        async def probe(endpoint, timeout_s):
            is_there = endpoint.id not in ended
            return ForwardResult.REACHED if is_there else ForwardResult.REFUSED

        ways.probe_own_link = probe
        since = trio.current_time()
        return [await ways.is_at_fault(endpoints["e0"], since) for _ in range(20)]

    assert trio.run(play, {"e0", "e1"}) == [True] * 20
    assert trio.run(play, {"e0", "e1", "e2"}) == [False] * 20


@case("an instance that found ended endpoints is not cut off for long")
def _():
    # Guards against a detour by other instances until the ended endpoints are back.
    endpoints = {f"e{n}": SimpleNamespace(id=f"e{n}") for n in range(56)}
    ended = {"e0", "e1", "e2", "e3"}
    links = EndpointLinks()

    async def probe(endpoint):
        now = trio.current_time()
        reached = endpoint.id not in ended
        (links.record_opened if reached else links.record_failed)(endpoint.id, now)

    async def play():
        manifest = SimpleNamespace(endpoints=endpoints)
        ways = SimpleNamespace(links=links, rng=random.Random(1), probe_own_link=probe)
        for name in sorted(ended):
            links.record_failed(name, trio.current_time())
        assert links.is_cut_off
        async with trio.open_nursery() as nursery:
            directory = SimpleNamespace(manifest=manifest)
            nursery.start_soon(probe_failed_links, ways, directory)
            await trio.sleep(1.0)
            assert not links.is_cut_off
            # All links are cut now, and then there again.
            ended.update(endpoints)
            for name in ("e10", "e11"):
                links.record_failed(name, trio.current_time())
            await trio.sleep(5.0)
            assert links.is_cut_off
            ended.clear()
            await trio.sleep(1.0)
            assert not links.is_cut_off
            nursery.cancel_scope.cancel()

    trio.run(play, clock=MockClock(autojump_threshold=0))

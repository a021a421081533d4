"""Test cases for instances that reach their callers and peers, but no endpoint."""

import signal
from collections import Counter
from functools import partial

import trio
from routed_cases import DISCONNECT_S, case, hang, is_whole_stream
from routed_cases import count as count_requests

from savorydyke._http1 import ChannelBrokenError, OutgoingRequest, open_channel
from savorydyke_standins._faulty_links import NewLinks, OpenLinks
from savorydyke_standins._routed_endpoint import chunk, event
from savorydyke_standins._routed_site import free_address

HANG_NOTICED_S = 8.0
"""Time within which a connection breaks that carries no data any more."""
HEALED_S = 2.0
"""Time after which an instance uses its own links again."""
NOTICED_S = 1.5
"""Time after a cut from which callers must be served as elsewhere."""
SERVED_SHARE = 0.95
"""Part of the first tries that must be served."""
PAUSE_S = 0.03
ORDERS_UNREAD = 4
LEFT_S = 2.0
"""Time after an endpoint's record says so from which it must get no request."""
PATHS = ("/lookup/1", "/claim/1", "/digest/1", "/question/1")


async def answer_after_work(exchange):
    """Send a complete answer after a while."""
    await trio.sleep(0.05)
    await exchange.send_complete()


async def answer_stream_slowly(exchange):
    """Stream events over some tenths of a second."""
    last = int(exchange.request.headers.get(b"last-event-id", b"0"))
    await exchange.stream_events(last + 1, 5, pause_s=0.06)


async def start_fleet(site, cut, others, data_centres="a"):
    """Start endpoints, and instances of which some can be cut off.

    Returns
    -------
    list of InstanceLinks
        The links of those that can be cut off, which come first.
    """
    for number in range(3):
        await site.endpoint(f"s{number}", "desk", answer_after_work)
    for number in range(4):
        await site.endpoint(f"e{number}", "engines", answer_stream_slowly)
    links = []
    for number in range(cut + others):
        data_centre = data_centres[number % len(data_centres)]
        name = f"instance-{number}"
        if number < cut:
            links.append(await site.cuttable_daemon(name, data_centre))
        else:
            await site.daemon(name, data_centre=data_centre)
    await trio.sleep(1.0)
    return links


class CutTraffic:
    """Requests of all kinds, each sent once, through all instances.

    Attributes
    ----------
    tries : list of tuple
        Instance, path, sending time, id and answer of each.
    """

    def __init__(self, site):
        self.site = site
        self.tries = []
        self.number = 0

    async def ask(self, daemon, path):
        """Send one request and record its answer, None if it has none."""
        sent = trio.current_time()
        headers = self.site.headers()
        request_id = dict(headers)[b"X-Savorydyke-Request-Id"]
        answer = None
        try:
            caller = await self.site.connect(daemon.callers)
            answer = await caller.request("POST", path, headers, request_id)
            await caller.stream.aclose()
        except (OSError, trio.TooSlowError, trio.BrokenResourceError):
            # The instance was ended by the case.
            pass
        self.tries.append((daemon.name, path, sent, request_id, answer))

    async def run(self, seconds):
        """Send requests in turn, and wait for their answers."""
        async with trio.open_nursery() as nursery:
            until = trio.current_time() + seconds
            while trio.current_time() < until:
                daemons = self.site.daemons
                daemon = daemons[self.number % len(daemons)]
                path = PATHS[self.number // len(daemons) % len(PATHS)]
                self.number += 1
                nursery.start_soon(self.ask, daemon, path)
                await trio.sleep(PAUSE_S)

    def served(self, names, since, until=float("inf")):
        """Return how many first tries at instances were served, and how many sent."""
        found = [
            is_served(path, answer)
            for name, path, sent, _, answer in self.tries
            if name in names and since <= sent < until
        ]
        return sum(found), len(found)

    def arrivals(self):
        """Return how often each request reached an endpoint."""
        return Counter(
            request.headers[b"x-savorydyke-request-id"]
            for endpoint in self.site.endpoints.values()
            for request in endpoint.received_requests
        )

    def check_at_most_once(self):
        """Check that no request that must not be retried was received twice."""
        arrivals = self.arrivals()
        once = {i for _, path, _, i, _ in self.tries if path in {PATHS[1], PATHS[3]}}
        twice = {i: n for i, n in arrivals.items() if n > 1 and i in once}
        assert not twice, twice

    def check_refusals(self):
        """Check that no request that is said not to have run was received."""
        arrivals = self.arrivals()
        for name, path, _, request_id, answer in self.tries:
            if answer is not None and answer.status == 503:
                assert request_id not in arrivals, (name, path, request_id)


def is_served(path, answer):
    """Return whether a request has a whole answer."""
    if answer is None:
        return False
    if path in {"/digest/1", "/question/1"}:
        return is_whole_stream(answer)
    return answer.complete and answer.status == 200


def logged(daemon, message, **fields):
    """Return the log records of an instance with a message and some fields."""
    return [
        record
        for record in daemon.log_records()
        if record["message"] == message
        and all(record.get(name) == value for name, value in fields.items())
    ]


async def play_cut(site, cut, others, new, open_links, data_centres="a", seconds=5.0):
    """Cut instances off from all endpoints, and check what their callers get."""
    links = await start_fleet(site, cut, others, data_centres)
    traffic = CutTraffic(site)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(traffic.run, 1.0 + seconds)
        await trio.sleep(1.0)
        for one in links:
            nursery.start_soon(one.cut, new, open_links)
        since = trio.current_time() + NOTICED_S
    traffic.check_at_most_once()
    traffic.check_refusals()
    names = [f"instance-{number}" for number in range(cut + others)]
    elsewhere, sent_elsewhere = traffic.served(names[cut:], since)
    served, sent = traffic.served(names[:cut], since)
    assert sent > 20 and sent_elsewhere > 10, (sent, sent_elsewhere)
    assert elsewhere >= SERVED_SHARE * sent_elsewhere, (elsewhere, sent_elsewhere)
    assert served >= SERVED_SHARE * sent, (served, sent, elsewhere, sent_elsewhere)
    return links, traffic


for _new in NewLinks:
    for _open in OpenLinks:
        case(
            f"an instance whose links are {_new.value} and whose open ones "
            f"{_open.value} serves its callers"
        )(partial(play_cut, cut=1, others=2, new=_new, open_links=_open))


@case("most instances of a data centre that are cut off serve their callers")
async def _(site):
    await play_cut(site, 2, 2, NewLinks.REFUSED, OpenLinks.RESET, "aaab")


@case("all instances of a data centre that are cut off serve their callers")
async def _(site):
    await play_cut(site, 3, 1, NewLinks.HANGING, OpenLinks.HANGING, "aaab")


@case("an instance that is cut off reports no endpoint as ended or unreachable")
async def _(site):
    await play_cut(site, 1, 2, NewLinks.REFUSED, OpenLinks.RESET)
    for daemon in site.daemons:
        assert not logged(daemon, "request: Endpoint ended.")
        assert not logged(daemon, "home: Endpoint not reached.")


@case("instances that are cut off together report no endpoint as unreachable")
async def _(site):
    await play_cut(site, 4, 1, NewLinks.REFUSED, OpenLinks.RESET)
    for daemon in site.daemons:
        assert not logged(daemon, "request: Endpoint ended.")
        assert not logged(daemon, "home: Endpoint not reached.")


@case("an instance that reaches endpoints again sends to them itself")
async def _(site):
    (links,) = await start_fleet(site, 1, 2)
    traffic = CutTraffic(site)
    await links.cut(NewLinks.REFUSED, OpenLinks.RESET)
    await traffic.run(2.0)
    await links.heal()
    await trio.sleep(HEALED_S)
    since, opened = trio.current_time(), links.opened()
    await traffic.run(1.5)
    served, sent = traffic.served(["instance-0"], since)
    assert served == sent > 10, (served, sent)
    # One connection for each request, and none through another instance.
    assert links.opened() - opened >= sent
    await trio.sleep(0.3)
    ended = logged(site.daemons[0], "request: Ended.")[-sent:]
    assert not any(record["forwarders"] for record in ended)


@case("an instance whose links live on but new ones fail keeps its streams")
async def _(site):
    (links,) = await start_fleet(site, 1, 1)

    async def stream_on(exchange):
        await exchange.stream_events(1, 5, pause_s=0.3)

    for name, endpoint in site.endpoints.items():
        if name.startswith("e"):
            endpoint.scripts[:] = [stream_on]
    traffic = CutTraffic(site)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(traffic.ask, site.daemons[0], "/question/1")
        await trio.sleep(0.5)
        await links.cut(NewLinks.REFUSED, OpenLinks.ALIVE)
    assert traffic.served(["instance-0"], 0.0) == (1, 1)


@case("a fleet that is cut off from all endpoints refuses truthfully and at once")
async def _(site):
    links = await start_fleet(site, 2, 0)
    for one in links:
        await one.cut(NewLinks.HANGING, OpenLinks.HANGING)
    traffic = CutTraffic(site)
    await traffic.run(2.0)
    traffic.check_refusals()
    assert not traffic.arrivals()
    answers = [answer for *_, answer in traffic.tries]
    assert all(a is not None and a.status == 503 for a in answers), answers
    assert all(b"not run" in a.body for a in answers)
    assert all(float(a.headers[b"retry-after"]) > 0 for a in answers)


async def ask_through_other(site, path, script, during):
    """Send a request through an instance that is cut off; return its answer.

    Parameters
    ----------
    script : callable
        How endpoints answer.
    during : callable
        Awaited once an endpoint has received the request.
    """
    links = await start_fleet(site, 1, 1)
    for endpoint in site.endpoints.values():
        endpoint.scripts[:] = [script]
    await links[0].cut(NewLinks.REFUSED, OpenLinks.RESET)
    traffic = CutTraffic(site)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(traffic.ask, site.daemons[0], path)
        await site.wait_until(traffic.arrivals)
        await during()
    ((*_, answer),) = traffic.tries
    return traffic, answer


@case("a claim whose forwarding instance is killed is not sent again")
async def _(site):
    async def kill():
        site.daemons[1].process.kill()

    traffic, answer = await ask_through_other(site, "/claim/1", hang, kill)
    assert answer.status == 502 and b"may have run" in answer.body, answer
    await trio.sleep(1.0)
    assert sum(traffic.arrivals().values()) == 1


@case("a claim whose forwarding instance freezes is not sent again")
async def _(site):
    async def freeze():
        site.daemons[1].process.send_signal(signal.SIGSTOP)

    traffic, answer = await ask_through_other(site, "/claim/1", hang, freeze)
    assert answer.status == 504 and b"may have run" in answer.body, answer
    assert sum(traffic.arrivals().values()) == 1


@case("a stream whose forwarding instance is killed does not look complete")
async def _(site):
    async def stream_on(exchange):
        await exchange.stream_events(1, 2, end=False)
        await trio.sleep_forever()

    async def kill():
        await trio.sleep(0.3)
        site.daemons[1].process.kill()

    _, answer = await ask_through_other(site, "/question/1", stream_on, kill)
    assert answer.status == 200 and not answer.complete, answer


@case("a retryable request whose forwarding instance is killed is retried elsewhere")
async def _(site):
    (links,) = await start_fleet(site, 1, 3)

    async def answer_late(exchange):
        await trio.sleep(0.5)
        await exchange.send_complete()

    for endpoint in site.endpoints.values():
        endpoint.scripts[:] = [answer_late, answer_after_work]
    await links.cut(NewLinks.REFUSED, OpenLinks.RESET)
    traffic = CutTraffic(site)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(traffic.ask, site.daemons[0], "/lookup/1")
        await site.wait_until(traffic.arrivals)
        await trio.sleep(0.1)
        forwarder = await find_forwarder(site)
        forwarder.process.kill()
    assert traffic.served(["instance-0"], 0.0) == (1, 1), traffic.tries


async def ask_one_that_ends_unread(site, path, others):
    """Hand a request to an instance that is frozen, and kill that one.

    The instance has then accepted the connection and not read the request.
    """
    (links,) = await start_fleet(site, 1, others)
    await links.cut(NewLinks.REFUSED, OpenLinks.RESET)
    for daemon in site.daemons[1:2]:
        daemon.process.send_signal(signal.SIGSTOP)
    traffic = CutTraffic(site)
    async with trio.open_nursery() as nursery:
        for _ in range(ORDERS_UNREAD):
            nursery.start_soon(traffic.ask, site.daemons[0], path)
        await trio.sleep(0.3)
        site.daemons[1].process.kill()
    return traffic


@case("a claim whose forwarding instance ends before it has sent is not sent again")
async def _(site):
    traffic = await ask_one_that_ends_unread(site, "/claim/1", 1)
    assert not traffic.arrivals()
    for *_, answer in traffic.tries:
        assert answer.status == 502 and b"may have run" in answer.body, answer


@case("a retryable request whose forwarding instance ends unread is retried elsewhere")
async def _(site):
    traffic = await ask_one_that_ends_unread(site, "/lookup/1", 2)
    served = traffic.served(["instance-0"], 0.0)
    assert served == (ORDERS_UNREAD, ORDERS_UNREAD), traffic.tries


async def find_forwarder(site):
    """Return the instance that has a connection for another one open."""
    for daemon in site.daemons[1:]:
        answer = await fetch_metrics(site, daemon)
        if b'kind="forwarding"} 1' in answer:
            return daemon
    raise AssertionError("no instance forwards")


async def fetch_metrics(site, daemon):
    """Return the metrics page of an instance."""
    caller = await site.connect(daemon.metrics)
    answer = await caller.request("GET", "/metrics", [(b"Host", b"x")])
    await caller.stream.aclose()
    return answer.body


@case("a caller that disconnects ends its request through another instance")
async def _(site):
    (links,) = await start_fleet(site, 1, 1)
    for one in site.endpoints.values():
        one.scripts[:] = [hang]
    await links.cut(NewLinks.REFUSED, OpenLinks.RESET)
    caller = await site.connect(site.daemons[0].callers)
    with trio.move_on_after(0.8):
        await caller.request("POST", "/claim/1", site.headers(), b"body")
    left = trio.current_time()
    await caller.stream.aclose()
    received = [r for e in site.endpoints.values() for r in e.received_requests]
    assert len(received) == 1
    await site.wait_until(lambda: received[0].closed_at is not None)
    assert received[0].closed_at - left < DISCONNECT_S


async def ask_twice(site, script):
    """Let one endpoint answer a forwarded request, then ask the forwarding instance.

    Returns
    -------
    int
        How many requests reach the endpoint in two seconds after that.
    """
    (links,) = await start_fleet(site, 1, 1)
    await links.cut(NewLinks.REFUSED, OpenLinks.RESET)
    desks = [site.endpoints[f"s{number}"] for number in range(3)]
    for desk in desks:
        desk.scripts[:] = [script, answer_after_work]
    traffic = CutTraffic(site)
    await traffic.ask(site.daemons[0], "/claim/1")
    asked = [desk for desk in desks if count_requests(desk)]
    for desk in desks:
        desk.scripts[:] = [answer_after_work]
    before = [count_requests(desk) for desk in asked]
    for number in range(40):
        await traffic.ask(site.daemons[number % 2], "/claim/1")
    assert traffic.served(["instance-0", "instance-1"], 0.0)[0] >= 40
    return sum(map(count_requests, asked)) - sum(before)


@case("an endpoint that asks an instance for a pause gets none of others through it")
async def _(site):
    async def reject(exchange):
        headers = [(b"X-Savorydyke-Not-Executed", b"1"), (b"Retry-After", b"10")]
        await exchange.send_complete(503, b"", *headers)

    # The attempt at the second of three endpoints is the last one.
    assert await ask_twice(site, reject) == 0


@case("an endpoint that leaves gets no requests through other instances")
async def _(site):
    async def leave(exchange):
        await exchange.send_complete(200, b"answer", (b"Server-Leaving", b"1"))

    assert await ask_twice(site, leave) == 0


async def requests_after(site, change):
    """Return how many requests an endpoint gets once its record has been changed.

    Requests come through an instance that is cut off and one that is not, also as
    retries and as parts of streams that are taken up.
    """
    links = await start_fleet(site, 1, 2)

    async def reject_first(exchange):
        headers = [(b"X-Savorydyke-Not-Executed", b"1")]
        await exchange.send_complete(503, b"", *headers)

    async def stream_half(exchange):
        await exchange.stream_events(1, 2, end=False)

    site.endpoints["s0"].scripts[:] = [reject_first, answer_after_work]
    site.endpoints["e0"].scripts[:] = [stream_half, answer_stream_slowly]
    await links[0].cut(NewLinks.REFUSED, OpenLinks.RESET)
    traffic = CutTraffic(site)
    for name, service in (("s1", "desk"), ("e1", "engines")):
        change(name, service)
    leaving = [site.endpoints[name] for name in ("s1", "e1")]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(traffic.run, LEFT_S + 2.0)
        await trio.sleep(LEFT_S)
        before = sum(map(count_requests, leaving))
    served, sent = traffic.served([d.name for d in site.daemons], 0.0)
    assert served >= SERVED_SHARE * sent > 0, (served, sent)
    return sum(map(count_requests, leaving)) - before


@case("an endpoint whose record says that it leaves gets none through other instances")
async def _(site):
    def drain(name, service):
        site.write_record(name, service, state="draining", seq=2)

    assert await requests_after(site, drain) == 0


@case("an endpoint whose record is removed gets none through other instances")
async def _(site):
    def remove(name, service):
        site.store.remove(f"servers/{name}")

    assert await requests_after(site, remove) == 0


@case("an order without a valid signature is not carried out")
async def _(site):
    await start_fleet(site, 0, 1)
    host, _, port = site.daemons[0].peers.rpartition(":")
    address = f"{host}:{int(port) + 1}"
    order = [
        (b"Savorydyke-Forward-Endpoint", b"s0"),
        (b"Savorydyke-Forward-Sender", b"instance-9"),
        (b"Savorydyke-Forward-Attempt", b"instance-9/1/1"),
        (b"Savorydyke-Forward-Signature", b"0" * 64),
    ]
    for headers in (order, order[:3], []):
        caller = await site.connect(address)
        answer = await caller.request(
            "POST", "/claim/1", [*site.headers(), *headers], b"body"
        )
        assert answer.headers[b"savorydyke-forward-result"] == b"rejected", answer
    assert count_requests(site.endpoints["s0"]) == 0


@case("several instances that are cut off share the load of the others")
async def _(site):
    await play_cut(site, 3, 4, NewLinks.REFUSED, OpenLinks.RESET)
    await trio.sleep(0.3)
    shares = [len(logged(d, "forward: Forwarded.")) for d in site.daemons[3:]]
    assert min(shares) >= 0.3 * max(shares) > 0, shares


@case("a connection whose other end hangs breaks, and one that is silent does not")
async def _(site):
    async def accept(stream):
        await trio.sleep_forever()

    address = await site.listen(accept, free_address())
    silent = await open_channel(address, 1.0)
    hanging = await open_channel(address, 1.0)
    request = OutgoingRequest(b"POST", b"/", [(b"Host", b"x")], bytes(32_000_000))
    started = trio.current_time()
    # The buffers fill up, and nothing more is taken.
    with trio.move_on_after(HANG_NOTICED_S) as scope:
        try:
            await hanging.send(request, None)
        except ChannelBrokenError:
            scope.cancel()
    assert trio.current_time() - started < HANG_NOTICED_S
    with trio.move_on_after(1.0) as scope:
        await silent.read_head()
    assert scope.cancelled_caught
    read = silent.stream.socket.getsockopt
    assert read(trio.socket.SOL_SOCKET, trio.socket.SO_KEEPALIVE) == 1
    probes_s = read(trio.socket.IPPROTO_TCP, trio.socket.TCP_KEEPIDLE)
    assert probes_s < read(trio.socket.IPPROTO_TCP, trio.socket.TCP_USER_TIMEOUT) / 1000


@case("endpoints that are silent for a second are not taken for gone")
async def _(site):
    await start_fleet(site, 0, 2)

    async def answer_late(exchange):
        await trio.sleep(1.2)
        await exchange.send_complete()

    async def stream_with_gap(exchange):
        kind = (b"Content-Type", b"text/event-stream")
        head = exchange.response_head(200, kind, (b"Transfer-Encoding", b"chunked"))
        await exchange.send(head + chunk(event(1)))
        await trio.sleep(1.2)
        await exchange.send(b"".join(chunk(event(n)) for n in range(2, 6)))
        await exchange.send(b"0\r\n\r\n")

    for name, endpoint in site.endpoints.items():
        endpoint.scripts[:] = [answer_late if name[0] == "s" else stream_with_gap]
    traffic = CutTraffic(site)
    async with trio.open_nursery() as nursery:
        for number in range(6):
            path = ("/claim/1", "/question/1")[number % 2]
            nursery.start_soon(traffic.ask, site.daemons[number % 2], path)
    assert traffic.served(["instance-0", "instance-1"], 0.0) == (6, 6), traffic.tries
    await trio.sleep(0.3)
    for daemon in site.daemons:
        for message in ("request: Endpoint ended.", "home: Endpoint not reached."):
            assert not logged(daemon, message)
        assert not logged(daemon, "gateway: Endpoints not reached.")

"""Test cases for instances that reach their callers and peers, but no endpoint."""

from collections import Counter
from functools import partial

import trio
from routed_cases import case, is_whole_stream

from savorydyke_standins._faulty_links import NewLinks, OpenLinks

NOTICED_S = 1.5
"""Time after a cut from which callers must be served as elsewhere."""
SERVED_SHARE = 0.95
"""Part of the first tries that must be served."""
PAUSE_S = 0.03
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

"""Test cases for a planned stop: each request is finished, or given back untouched.

Requests come at every tenth of the grace, with work of every length.
"""

from dataclasses import dataclass, field

import h11
import trio
from routed_cases import BODY, case

from savorydyke_standins._faulty_links import NewLinks, OpenLinks
from savorydyke_standins._routed_endpoint import EVENTS
from savorydyke_standins._routed_site import BOUNDS, Answer

GRACE_S = 8.0
LONG_TIMEOUT_S = 14.0
EARLY_S = 3.0
"""A request that comes this early may take until the end of the grace."""
LAST_PART_S = GRACE_S * 5 / 6
WORK_S = (0.05, 0.6, 2.0, 4.5, 9.0)
PATHS = ("/claim", "/lookup", "/question")
"""One that may run once, one that may run again, and a stream that may not go on."""
NOTICED_S = 0.5
"""Time in which endpoints notice that nobody waits for an answer."""
STOP_BOUNDS = BOUNDS | {"stop_s": GRACE_S}


@dataclass
class Sent:
    """One request of a caller, and what became of it.

    Attributes
    ----------
    at : float
        When it was sent, from the stop signal on.
    is_claim : bool
        Whether it may run once only.
    worked_until : float
        Up to when an endpoint has worked on it, by the same clock; before the signal
        if none has.
    """

    at: float
    path: str
    work_s: float
    is_claim: bool
    answer: Answer = field(default_factory=lambda: Answer(0, {}, b"", False))
    worked_until: float = float("-inf")

    def is_allowed(self) -> bool:
        """Return whether the end of a request keeps the promises of a stop."""
        answer, has_run = self.answer, self.worked_until > float("-inf")
        if answer.status == 200 and answer.complete:
            return True
        is_given_back = answer.status in {0, 503}
        if is_given_back and not has_run:
            return answer.status == 0 or b"not run" in answer.body
        if self.is_claim:
            return False
        return self.at <= EARLY_S and self.worked_until >= LAST_PART_S


class StopTraffic:
    """Callers of an instance that is stopped."""

    def __init__(self, site):
        self.site = site
        self.sent = {}
        self.stopped_at = trio.current_time()

    def clock(self):
        """Return the time since the stop signal."""
        return trio.current_time() - self.stopped_at

    async def work(self, exchange):
        """Work for as long as the request says, and note for how long."""
        _, kind, work_ms, _ = exchange.request.target.decode().split("/")
        sent = self.sent[exchange.request.headers[b"x-savorydyke-request-id"]]
        sent.worked_until = self.clock()
        try:
            if kind == "question":
                pause_s = int(work_ms) / 1000 / EVENTS
                await exchange.stream_events(1, EVENTS, pause_s=pause_s)
            else:
                await trio.sleep(int(work_ms) / 1000)
                await exchange.send_complete()
        finally:
            sent.worked_until = self.clock()

    async def connect(self, daemon):
        """Open a connection, None if the instance has ended."""
        try:
            return await self.site.connect(daemon.callers)
        except OSError:
            return None

    async def ask(self, caller, kind, work_s):
        """Send one request on a connection and wait for its end."""
        headers = self.site.headers(deadline_ms=int(LONG_TIMEOUT_S * 1000))
        request_id = dict(headers)[b"X-Savorydyke-Request-Id"]
        path = f"{kind}/{int(work_s * 1000)}/{request_id.decode()}"
        sent = Sent(self.clock(), path, work_s, kind == "/claim")
        self.sent[request_id] = sent
        if caller is None:
            return
        with trio.move_on_after(LONG_TIMEOUT_S):
            try:
                await self._exchange(caller, path, headers, sent.answer)
            except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
                # The instance has closed the connection.
                return
            except h11.RemoteProtocolError:
                # It did so within the answer.
                return

    async def _exchange(self, caller, path, headers, answer):
        headers = [*headers, (b"Content-Length", b"%d" % len(BODY))]
        data = caller.http.send(
            h11.Request(method="POST", target=path, headers=headers)
        )
        data += caller.http.send(h11.Data(data=BODY))
        data += caller.http.send(h11.EndOfMessage())
        await caller.send(data)
        while not answer.complete:
            await caller._handle_event(answer)

    async def check(self):
        """Check the ends of all requests."""
        await trio.sleep(NOTICED_S)
        wrong = [sent for sent in self.sent.values() if not sent.is_allowed()]
        told = [
            (round(s.at, 2), s.path, s.answer.status, round(s.worked_until, 2))
            for s in wrong
        ]
        assert not wrong, (len(wrong), len(self.sent), told[:12])


def configure(site):
    """Let all routes wait for long."""
    routes = [
        route | {"timeout_ms": int(LONG_TIMEOUT_S * 1000)} for route in site.routes()
    ]
    site.configure(routes=routes)


async def send_through_grace(traffic, daemon, kinds, works):
    """Send requests at every tenth of the grace, on new and on kept connections."""
    async with trio.open_nursery() as nursery:
        for tenth in range(10):
            kept = [await traffic.connect(daemon) for _ in kinds for _ in works]
            await trio.sleep(max(0.0, tenth * GRACE_S / 10 - traffic.clock()))
            for kind in kinds:
                for work_s in works:
                    new = await traffic.connect(daemon)
                    nursery.start_soon(traffic.ask, new, kind, work_s)
                    nursery.start_soon(traffic.ask, kept.pop(), kind, work_s)


async def start(site, slots):
    """Start endpoints of both pools with these slots."""
    traffic = StopTraffic(site)
    configure(site)
    for pool in ("desk", "engines"):
        await site.endpoint(f"{pool}-0", pool, traffic.work, slots=slots)
    return traffic


@case("requests that come during a stop are finished or given back untouched")
async def _(site):
    traffic = await start(site, 200)
    daemon = await site.daemon(bounds=STOP_BOUNDS)
    await trio.sleep(1.0)
    traffic.stopped_at = trio.current_time()
    daemon.stop()
    await send_through_grace(traffic, daemon, PATHS, WORK_S)
    await traffic.check()
    served = [s for s in traffic.sent.values() if s.answer.status == 200]
    assert len(served) > 2 * len(PATHS) * len(WORK_S), len(served)


@case("requests that wait during a stop are finished or given back untouched")
async def _(site):
    traffic = await start(site, 1)
    daemon = await site.daemon(bounds=STOP_BOUNDS)
    await trio.sleep(1.0)
    traffic.stopped_at = trio.current_time()
    daemon.stop()
    async with trio.open_nursery() as nursery:
        for _ in range(8):
            caller = await traffic.connect(daemon)
            nursery.start_soon(traffic.ask, caller, "/claim", 1.9)
            await trio.sleep(0.1)
    await traffic.check()


@case("requests that are sent for others during a stop are finished or given back")
async def _(site):
    traffic = await start(site, 200)
    links = await site.cuttable_daemon("instance-0")
    cut = site.daemons[0]
    daemon = await site.daemon("instance-1", bounds=STOP_BOUNDS)
    await trio.sleep(1.0)
    await links.cut(NewLinks.REFUSED, OpenLinks.RESET)
    await trio.sleep(1.0)
    traffic.stopped_at = trio.current_time()
    daemon.stop()
    await send_through_grace(traffic, cut, ("/claim",), WORK_S[:4])
    # The caller's instance is not the one that stops, so that it owes every answer.
    await traffic.check()

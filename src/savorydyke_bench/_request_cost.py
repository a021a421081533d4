"""Measures the processor time that a fleet takes for a request, by how it ends."""

from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from functools import partial

import trio
import typer

from savorydyke_bench._cost_fleet import processor_s
from savorydyke_standins._routed_endpoint import Exchange, answer_stream
from savorydyke_standins._routed_site import Daemon, Site, open_site

SETTLED_S = 3.0
"""Time after which instances have found each other and read the store."""
LONG_MS = 60_000
"""Time-out of the requests that keep all slots busy."""
HELD_SLOTS = 8
"""More than the endpoint has."""
CALLERS = 24
"""Callers at a time, so that more requests wait than can be served."""
SHORT_DEADLINE_MS = 300


@dataclass(frozen=True)
class RequestCost:
    """What requests of one kind took.

    Attributes
    ----------
    statuses : dict of int to int
        Number of answers by status.
    milliseconds : float
        Processor time of all instances for one request, without that of rest.
    """

    kind: str
    statuses: dict[int, int]
    milliseconds: float


Ask = Callable[[Daemon], Awaitable[int]]


async def measure(instances: int, requests: int) -> list[RequestCost]:
    """Measure requests that are served, and such that are refused.

    Parameters
    ----------
    instances, requests : int
        Size of the fleet, and number of requests of each kind.
    """
    costs = []
    async with open_site("request-cost") as site:
        await _start(site, instances)
        for kind, callers, ask in (
            ("served whole", 4, partial(_ask, site, "/open/1")),
            ("served as a stream", 4, partial(_ask, site, "/digest/1")),
            ("refused for its key", CALLERS, partial(_ask, site, "/lookup/1", key="x")),
        ):
            costs.append(await _measure_kind(site, kind, requests, callers, ask))
        for number in range(HELD_SLOTS):
            daemon = site.daemons[number % instances]
            site.nursery.start_soon(_hold_slot, site, daemon)
        await trio.sleep(0.5)
        ask = partial(_ask, site, "/lookup/1", deadline_ms=SHORT_DEADLINE_MS)
        kind = "refused for lack of room"
        costs.append(await _measure_kind(site, kind, requests, CALLERS, ask))
    return costs


async def _start(site: Site, instances: int) -> None:
    await site.endpoint("engine", "engines", answer_stream)
    await site.endpoint("desk", "desk", _answer_or_hold)
    routes = [
        route | ({"timeout_ms": LONG_MS} if route["name"] == "claim" else {})
        for route in site.routes()
    ]
    site.configure(routes=routes)
    for number in range(instances):
        await site.daemon(f"instance-{number}", wait=False)
    for daemon in site.daemons:
        await site.wait_until_ready(daemon)
    await trio.sleep(SETTLED_S)


async def _answer_or_hold(exchange: Exchange) -> None:
    """Answer a request, but for claims, which keep their slots."""
    if exchange.request.target.startswith(b"/claim/"):
        await trio.sleep_forever()
    await exchange.send_complete()


async def _hold_slot(site: Site, daemon: Daemon) -> None:
    """Send a request that is not answered."""
    with suppress(trio.TooSlowError):
        await _ask(site, "/claim/1", daemon)


async def _ask(
    site: Site,
    path: str,
    daemon: Daemon,
    deadline_ms: int = LONG_MS,
    key: str | None = None,
) -> int:
    """Return the status with which a request on a new connection is answered."""
    caller = await site.connect(daemon.callers)
    keys = {} if key is None else {"key": key}
    headers = site.headers(deadline_ms=deadline_ms, **keys)
    answer = await caller.request("POST", path, headers, b"body")
    await caller.stream.aclose()
    return answer.status


async def _measure_kind(
    site: Site, kind: str, requests: int, callers: int, ask: Ask
) -> RequestCost:
    """Return what requests cost that are asked by some callers at a time."""
    statuses: dict[int, int] = {}
    used_s = _used_s(site)
    began = trio.current_time()
    await trio.sleep(1.0)
    rest_per_s = (_used_s(site) - used_s) / (trio.current_time() - began)
    used_s, began = _used_s(site), trio.current_time()

    async def run_caller(number: int) -> None:
        for turn in range(requests // callers):
            daemon = site.daemons[(number + turn) % len(site.daemons)]
            status = await ask(daemon)
            statuses[status] = statuses.get(status, 0) + 1

    async with trio.open_nursery() as nursery:
        for number in range(callers):
            nursery.start_soon(run_caller, number)
    used_s = _used_s(site) - used_s - rest_per_s * (trio.current_time() - began)
    return RequestCost(kind, statuses, 1000 * used_s / sum(statuses.values()))


def _used_s(site: Site) -> float:
    return sum(processor_s(daemon.process.pid) for daemon in site.daemons)


def show(instances: int, costs: list[RequestCost]) -> None:
    """Print what each kind of request costs."""
    for cost in costs:
        statuses = ", ".join(f"{n} x {s}" for s, n in sorted(cost.statuses.items()))
        typer.echo(
            f"{instances} instances, {cost.kind}: {cost.milliseconds:.2f} ms of "
            f"processor time a request ({statuses})"
        )

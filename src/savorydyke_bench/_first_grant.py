"""Measures the time to the first answer of a pool whose coordinator is new.

An endpoint answers at once, so that the time of a request is that of its grant and a
few milliseconds.
"""

import signal
import statistics
from collections.abc import Callable
from dataclasses import dataclass, field

import trio
import typer

from savorydyke_standins._routed_site import Daemon, Site, open_site

PATH = "/lookup/1"
NOTICED_S = 2.5
"""Time after which the others have noticed that an instance is gone."""
LINKED_TIMEOUT_S = 30.0
LINKS_AWAITED = 8
"""Links of an instance in a large fleet, which has no link to each other one."""
GOAL_S = 0.25


@dataclass
class Times:
    """Times from a request to its answer, in seconds, by what came before."""

    after_start: list[float] = field(default_factory=list)
    after_kill: list[float] = field(default_factory=list)
    after_handover: list[float] = field(default_factory=list)


async def _ask(site: Site, daemon: Daemon) -> float:
    """Return how long a request takes that an endpoint answers at once."""
    caller = await site.connect(daemon.callers)
    sent = trio.current_time()
    answer = await caller.request("POST", PATH, site.headers(), b"body")
    await caller.stream.aclose()
    if answer.status != 200:
        typer.echo(f"answered with {answer.status}: {answer.body!r}")
        return float("inf")
    return trio.current_time() - sent


async def _wait_linked(site: Site) -> None:
    """Wait until all instances are linked and ready."""
    links = min(len(site.daemons) - 1, LINKS_AWAITED)
    with trio.fail_after(LINKED_TIMEOUT_S):
        for daemon in site.daemons:
            while await site.count_peers(daemon) < links:
                await trio.sleep(0.05)


def _coordinator(site: Site) -> Daemon:
    """Return the instance that has granted last."""

    def granted_at(daemon: Daemon) -> str:
        granted = [r for r in daemon.log_records() if r["message"] == "home: Granted."]
        return str(granted[-1]["time"]) if granted else ""

    return max(site.daemons, key=granted_at)


async def _replace(site: Site, times: list[float], end: Callable) -> None:
    """End the coordinator, and ask another instance once that has been noticed."""
    await trio.sleep(0.5)
    coordinator = _coordinator(site)
    await end(coordinator)
    site.daemons.remove(coordinator)
    await trio.sleep(NOTICED_S)
    times.append(await _ask(site, site.daemons[-1]))


async def _kill(daemon: Daemon) -> None:
    daemon.process.kill()
    await trio.to_thread.run_sync(daemon.process.wait)


async def _hand_over(daemon: Daemon) -> None:
    daemon.process.send_signal(signal.SIGTERM)
    await trio.to_thread.run_sync(daemon.process.wait)


async def measure(instances: int, starts: int) -> Times:
    """Start a deployment several times, and measure each time.

    Parameters
    ----------
    instances : int
        3 or more.
    """
    times = Times()
    for _ in range(starts):
        async with open_site() as site:
            await site.endpoint("e0", "desk")
            for number in range(instances):
                await site.daemon(f"instance-{number}", wait=False)
            for daemon in site.daemons:
                await site.wait_until_ready(daemon)
            await _wait_linked(site)
            times.after_start.append(await _ask(site, site.daemons[0]))
            await _replace(site, times.after_kill, _kill)
            await _replace(site, times.after_handover, _hand_over)
    return times


def show(instances: int, times: Times) -> bool:
    """Print the times; return whether 95 of 100 are within the goal."""
    is_met = True
    for name, found in vars(times).items():
        late = sum(value > GOAL_S for value in found)
        is_met = is_met and late <= 0.05 * len(found)
        typer.echo(
            f"{instances} instances, {name.replace('_', ' ')}: "
            f"median {statistics.median(found):.3f} s, most {max(found):.3f} s, "
            f"{late} of {len(found)} over {GOAL_S} s"
        )
    return is_met

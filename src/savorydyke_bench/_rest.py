"""Measures the processor time that a fleet takes while it starts and rests.

The endpoints are records in the store only, which are written again as often as
endpoints do, since each of these writes reaches all instances.
"""

import statistics
from dataclasses import dataclass, field
from itertools import pairwise

import trio
import typer

from savorydyke_bench._cost_fleet import processor_s
from savorydyke_standins._routed_site import Site, free_address, open_site

ENDPOINT_HEARTBEAT_S = 1.2
START_SPREAD_S = 0.3
"""Time over which the instances of a deployment start."""
SAMPLES_S = (4.0, 8.0, 16.0)
"""Ends of the times that are measured, in seconds after the start."""
LONGEST_REST_S = 60.0


@dataclass
class RestCost:
    """Processor time of a fleet without requests.

    Attributes
    ----------
    samples : list of tuple
        Seconds since the start, and the processor time in seconds that each instance
        has used by then, by name.
    tasks : dict of str to tuple
        Steps, and processor time in seconds, of all instances by kind of task, if
        they are counted.
    """

    instances: int
    endpoints: int
    samples: list[tuple[float, dict[str, float]]] = field(default_factory=list)
    tasks: dict[str, tuple[int, float]] = field(default_factory=dict)

    def total_s(self, sample: int = -1) -> float:
        """Return the processor time of all instances up to a sample, in seconds."""
        return sum(self.samples[sample][1].values())

    def rates(self) -> list[tuple[float, float, float, float]]:
        """Return the times of each interval, and mean and largest rate of instances.

        Rates are in seconds of processor time for each second.
        """
        found = []
        for (before, used_before), (after, used) in pairwise(self.samples):
            rates = [(used[n] - used_before[n]) / (after - before) for n in used]
            found.append((before, after, statistics.mean(rates), max(rates)))
        return found


async def measure(
    instances: int, endpoints: int, seconds: float, count_tasks: bool = False
) -> RestCost:
    """Start a deployment, and measure what its instances use without a request.

    Parameters
    ----------
    instances, endpoints : int
        Their numbers.
    seconds : float
        Time from the start to the last sample, in seconds.
    count_tasks : bool
        Whether the instances count what their tasks take.
    """
    cost = RestCost(instances, endpoints)
    async with open_site("rest") as site:
        names = [f"e{number}" for number in range(endpoints)]
        for name in names:
            site.addresses[name] = free_address()
            site.write_record(name, "engines")
        site.nursery.start_soon(_write_heartbeats, site, names)
        began = trio.current_time()
        for number in range(instances):
            name = f"instance-{number}"
            await site.daemon(name, wait=False, count_tasks=count_tasks)
            await trio.sleep(START_SPREAD_S / instances)
        ends = sorted({*(s for s in SAMPLES_S if s < seconds), seconds})
        for end in ends:
            await trio.sleep_until(began + end)
            used = {d.name: processor_s(d.process.pid) for d in site.daemons}
            cost.samples.append((trio.current_time() - began, used))
        if count_tasks:
            cost.tasks = _sum_tasks(site)
    return cost


async def _write_heartbeats(site: Site, names: list[str]) -> None:
    """Write the endpoints' records again and again, until cancelled."""
    number = 0
    while True:
        number += 1
        for name in names:
            site.write_record(name, "engines", seq=number)
            await trio.sleep(ENDPOINT_HEARTBEAT_S / len(names))


def _sum_tasks(site: Site) -> dict[str, tuple[int, float]]:
    """Return what tasks took since the first of two log lines of each instance."""
    totals: dict[str, tuple[int, float]] = {}
    for daemon in site.daemons:
        lines = [
            r for r in daemon.log_records() if r["message"] == "tasks: Task costs."
        ]
        if len(lines) < 2:
            continue
        first, last = lines[0]["kinds"], lines[-1]["kinds"]
        for kind, (steps, milliseconds) in last.items():
            steps_before, before = first.get(kind, (0, 0.0))
            known = totals.get(kind, (0, 0.0))
            used_s = (milliseconds - before) / 1000
            totals[kind] = (known[0] + steps - steps_before, known[1] + used_s)
    return totals


def show(cost: RestCost) -> None:
    """Print what a fleet used until each sample, and its rates between them."""
    size = f"{cost.instances} instances, {cost.endpoints} endpoints"
    for index, (at, used) in enumerate(cost.samples):
        mean = statistics.mean(used.values())
        typer.echo(
            f"{size}: {cost.total_s(index):.1f} s by {at:.0f} s, "
            f"{mean:.3f} s an instance, most {max(used.values()):.3f} s"
        )
    for before, after, mean, most in cost.rates():
        typer.echo(
            f"{size}: {before:.0f} to {after:.0f} s: {1000 * mean:.1f} ms a second "
            f"of each instance, most {1000 * most:.1f}"
        )
    for kind, (steps, used_s) in sorted(cost.tasks.items(), key=lambda t: -t[1][1]):
        typer.echo(f"{used_s:8.3f} s {steps:8d} steps  {kind}")

"""``savorydyke-bench``: command line of the demo, histories and measurements."""

from typing import Annotated

import trio
import typer

from savorydyke_bench import (
    _coordinator_load,
    _cost,
    _cost_fleet,
    _demo,
    _experiment,
    _first_grant,
    _histories,
    _policy_bench,
    _request_cost,
    _rest,
    _soak,
)
from savorydyke_bench._sites import SITES

app = typer.Typer(no_args_is_help=True, help="Try out and measure savorydyke.")


@app.callback()
def _group() -> None:
    """Try out and measure savorydyke on loopback."""


@app.command()
def demo() -> None:
    """Start a small site, drive work through it, and check that all held."""
    if trio.run(_demo.run):
        raise typer.Exit(1)


@app.command()
def histories(
    seeds: Annotated[list[int], typer.Argument(help="Seeds to run.")],
    logs: Annotated[str, typer.Option(help="Folder to keep logs in.")] = "",
) -> None:
    """Run seeded faults against a fleet and check the histories."""
    violations = 0
    for seed in seeds:
        history = trio.run(_histories.run_seed, seed, logs)
        violations += _histories.report(history)
    typer.echo(f"{len(seeds)} seeds, {violations} violations")
    if violations:
        raise typer.Exit(1)


@app.command()
def soak(
    seeds: Annotated[list[int], typer.Argument(help="Seeds to run.")],
    seconds: Annotated[float, typer.Option(help="Time of each seed.")] = _soak.SECONDS,
) -> None:
    """Run routed instances under overlapping faults and check the promises."""
    if _soak.main(seeds, seconds):
        raise typer.Exit(1)


@app.command("first-grant")
def first_grant(
    instances: Annotated[int, typer.Option(help="Instances, 3 or more.", min=3)] = 3,
    starts: Annotated[int, typer.Option(help="Starts of the deployment.")] = 5,
) -> None:
    """Measure the time to the first grant of a new coordinator."""
    times = trio.run(_first_grant.measure, instances, starts)
    if not _first_grant.show(instances, times):
        raise typer.Exit(1)


@app.command()
def experiment(
    patterns: Annotated[
        list[str] | None, typer.Argument(help="Load patterns; all if none.")
    ] = None,
    policy: Annotated[
        list[str] | None, typer.Option(help="Policies; all if none.")
    ] = None,
    seed: Annotated[int, typer.Option(help="Seed of the arrivals.")] = 1,
    report: Annotated[str, typer.Option(help="JSON report to write.")] = "",
) -> None:
    """Play load patterns against policies in simulated time."""
    known = _experiment.pattern_names()
    names = patterns or known
    policies = policy or list(_experiment.POLICIES)
    unknown = sorted({*names} - {*known} | {*policies} - {*_experiment.POLICIES})
    if unknown:
        typer.echo(f"unknown: {', '.join(unknown)}", err=True)
        raise typer.Exit(2)
    _experiment.run_all(names, policies, seed, report)


@app.command()
def cost(
    report: Annotated[str, typer.Option(help="JSON report to write.")] = "",
    fleet: Annotated[bool, typer.Option(help="Also measure processes.")] = True,
) -> None:
    """Measure processor time, bytes and memory by size."""
    measurements = _cost.measure_in_process()
    figures: dict[str, float] = {}
    if fleet:
        more, figures = trio.run(_cost_fleet.measure_fleet)
        measurements += more
    _cost.show(measurements, figures, report)


@app.command()
def coordinator(
    endpoints: Annotated[int, typer.Option(help="Endpoints of the pool.")] = 56,
    load: Annotated[
        list[float] | None, typer.Option(help="Multiples of the capacity.")
    ] = None,
    seconds: Annotated[float, typer.Option(help="Length of the load.")] = 10.0,
    profile: Annotated[bool, typer.Option(help="Print the dearest functions.")] = False,
) -> None:
    """Measure a coordinator's processor time for each message under load."""
    _coordinator_load.show(endpoints, load or [1.0, 1.5, 2.5], seconds, profile)


@app.command("request-cost")
def request_cost(
    instances: Annotated[int, typer.Option(help="Size of the fleet.", min=1)] = 4,
    requests: Annotated[int, typer.Option(help="Requests of a kind.", min=24)] = 600,
) -> None:
    """Measure the processor time of requests that are served and refused."""
    costs = trio.run(_request_cost.measure, instances, requests)
    _request_cost.show(instances, costs)


@app.command()
def rest(
    instances: Annotated[
        list[int] | None, typer.Argument(help="Sizes of the fleet; 8 to 32 if none.")
    ] = None,
    endpoints: Annotated[int, typer.Option(help="Endpoints in the store.")] = 60,
    seconds: Annotated[
        float,
        typer.Option(help="Time from the start.", min=5, max=_rest.LONGEST_REST_S),
    ] = 24.0,
    tasks: Annotated[bool, typer.Option(help="Also by kind of task.")] = False,
) -> None:
    """Measure the processor time of fleets that start and get no request."""
    for count in instances or [8, 16, 32]:
        _rest.show(trio.run(_rest.measure, count, endpoints, seconds, tasks))


@app.command()
def policy(
    seed: Annotated[int, typer.Option(help="Seed of the load.")] = 1,
    site: Annotated[list[str] | None, typer.Option(help="Sites to run.")] = None,
    policies: Annotated[list[str] | None, typer.Option("--policy")] = None,
    lanes: Annotated[int, typer.Option(help="Fleets to run at once.")] = 3,
    report: Annotated[str, typer.Option(help="JSON report to write.")] = "",
) -> None:
    """Measure goodput and wasted prefill against baselines and an oracle."""
    names = site or list(SITES)
    chosen = policies or list(_policy_bench.POLICIES)
    results = trio.run(_policy_bench.run, seed, names, chosen, lanes)
    _policy_bench.show(results, report)


def main() -> None:
    """Run the command line."""
    app()

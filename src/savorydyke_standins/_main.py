"""The ``savorydyke-standin`` command: runs stand-ins in one process."""

import json
import os
import sys
from typing import Annotated

import trio
import typer

from savorydyke_standins import _engine, _key_values, _service, _tcp_relay

app = typer.Typer(add_completion=False, help="Stand-ins for trials and tests.")


async def _wait_for_parent_exit() -> None:
    """Return when the parent process has exited."""
    parent = os.getppid()
    while os.getppid() == parent:
        await trio.sleep(0.5)


async def _run_all(specs: list[dict]) -> None:
    async with trio.open_nursery() as nursery:
        for spec in specs:
            nursery.start_soon(_run_one, spec)
        await _wait_for_parent_exit()
        nursery.cancel_scope.cancel()


async def _run_one(spec: dict) -> None:
    kind, address = spec["kind"], spec["address"]
    seed = int(spec.get("seed", 0))
    if kind == "platform":
        await _key_values.run(address, seed)
    elif kind == "engine":
        shape = _engine.Shape(**spec.get("shape", {}))
        await _engine.run(address, spec["name"], shape, seed)
    elif kind == "service":
        await _service.run(address, spec["name"], spec.get("work_s", 0.02), seed)
    elif kind == "wire":
        await _tcp_relay.run(address, spec["target"], spec["control"])
    else:
        raise ValueError(f"unknown kind of stand-in: {kind!r}")


@app.command()
def run(
    specs: Annotated[
        str, typer.Argument(help="JSON list of stand-ins: kind, address, name, ...")
    ],
) -> None:
    """Run stand-ins until the process that started them ends."""
    try:
        trio.run(_run_all, json.loads(specs))
    except KeyboardInterrupt:
        sys.exit(0)


def main() -> None:
    """Run the command line."""
    app()

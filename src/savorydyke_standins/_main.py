"""``savorydyke-standin``: runs one stand-in, or several in one process."""

import json
import os
import sys
from typing import Annotated

import trio
import typer

from savorydyke_standins import _engine, _key_values, _service, _wire

app = typer.Typer(add_completion=False, help="Stand-ins for trials and tests.")


async def _until_orphaned() -> None:
    """Return when the process that started this one has gone."""
    parent = os.getppid()
    while os.getppid() == parent:
        await trio.sleep(0.5)


async def _run_all(specs: list[dict]) -> None:
    async with trio.open_nursery() as nursery:
        for spec in specs:
            nursery.start_soon(_run_one, spec)
        await _until_orphaned()
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
        await _wire.run(address, spec["target"], spec["control"])
    else:
        raise ValueError(f"no stand-in of kind {kind!r}")


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

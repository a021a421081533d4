"""``savorydyke-bench``: demo, histories and measurements."""

import trio
import typer

from savorydyke_bench import _demo

app = typer.Typer(no_args_is_help=True, help="Try out and measure savorydyke.")


@app.callback()
def _group() -> None:
    """Try out and measure savorydyke on loopback."""


@app.command()
def demo() -> None:
    """Start a small site, drive work through it, and check that all held."""
    if trio.run(_demo.run):
        raise typer.Exit(1)


def main() -> None:
    """Run the command line."""
    app()

"""The command line of ``savorydyked``.

The settings select the gateway or the daemon. Only the modules of the selected one
are imported, since an instance has little memory.
"""

import argparse
import gc
import sys
from collections.abc import Callable
from pathlib import Path

from savorydyke import _logs
from savorydyke._exceptions import FindingsError
from savorydyke._gateway_settings import is_gateway, read_gateway_settings
from savorydyke._settings import read_settings

EXIT_FINDINGS = 2


def main() -> None:
    """Run the daemon's command line."""
    # What is made during a start stays; looking for garbage in it would be wasted.
    gc.disable()
    parser = argparse.ArgumentParser(
        prog="savorydyked", description="Run one instance of the scheduler."
    )
    parser.add_argument("--config", required=True, help="settings file")
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    options = parser.parse_args()
    try:
        start = _prepare(options.config)
    except OSError as error:
        print(f"savorydyked: {options.config}: {error.strerror}", file=sys.stderr)
        sys.exit(EXIT_FINDINGS)
    except FindingsError as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        sys.exit(EXIT_FINDINGS)
    if options.check:
        print(f"{options.config}: no findings")
        return
    sys.exit(start())


def _prepare(path: str) -> Callable[[], int]:
    """Check the settings at `path` and return a function that runs the instance."""
    if is_gateway(Path(path).read_text("utf-8"), path):
        return _prepare_gateway(path)
    return _prepare_daemon(path)


def _prepare_gateway(path: str) -> Callable[[], int]:
    settings = read_gateway_settings(path)

    def start() -> int:
        import trio

        from savorydyke import _gateway_run
        from savorydyke._loop_pace import PacedClock

        clock = PacedClock()
        run = _gateway_run.run
        return trio.run(run, settings, path, clock, clock=clock, instruments=[clock])

    return start


def _prepare_daemon(path: str) -> Callable[[], int]:
    settings = read_settings(path)

    def start() -> int:
        import trio

        from savorydyke import _daemon

        _logs.configure(settings.log_level, settings.instance)
        return trio.run(_daemon.run, settings)

    return start


if __name__ == "__main__":
    main()

"""Runs the daemon: ``python -m savorydyke --config FILE``."""

from savorydyke._main import main

main()

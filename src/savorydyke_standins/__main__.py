"""Runs the command line with ``python -m savorydyke_standins``."""

from savorydyke_standins._main import main

main()

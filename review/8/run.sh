#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/deps/savorydyke ] && [ -f target/review-2/fleet.py ] || exit 2
PYTHONPATH=target/review-2 exec python3 review/8/case.py

#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
export CASE="$PWD/review/13"
export ROUTED_SOURCE="$PWD/target/deps"
export PYTHONPATH="$PWD/target/deps:$PWD/target/review-3"
timeout -k 5 115 python3 review/13/case.py
status=$?
# 10 is a broken rule; any other status but 0 is an error of the script.
case $status in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac

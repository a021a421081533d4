#!/bin/sh
# Builds what the scripts of review/11 to review/15 start: the project's own stand-ins and
# those in review/standins-3. Run it after deploy/build.sh, at the root of the repository.
set -eu
rm -rf target/review-3
mkdir -p target/review-3
cp -R src/savorydyke_standins target/review-3/savorydyke_standins
cp review/standins-3/*.py target/review-3/
PYTHONPATH="$PWD/target/deps:$PWD/target/review-3" python3 -m compileall -q target/review-3

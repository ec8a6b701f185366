#!/bin/sh
# Builds the stand-ins that the scripts start: the project's own, in Python, and the
# harness of this folder. Needs the build of deploy/system.toml, and no network.
set -e
cd "$(dirname "$0")/.."
test -d target/deps/cactuswalk || {
    echo "build deploy/system.toml first" >&2
    exit 2
}
mkdir -p target/review
PYTHONPYCACHEPREFIX=target/review python3 -m compileall -q standins tools/processes.py review
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:. \
    python3 -c "import standins.metadata, standins.taskworker, review.harness"

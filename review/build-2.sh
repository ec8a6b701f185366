#!/bin/sh
# Build every stand-in that the scripts of the second review start: the project's own
# ones, which need only the libraries that the build of the deploy file puts into
# target/deps. Run that build first.
set -e
cd "$(dirname "$0")/.."
[ -d target/deps/aiohttp ] || {
    echo "target/deps is missing: run the build of deploy/system.toml first" >&2
    exit 1
}
PYTHONPATH=target/deps:. python3 -B -c \
    "import standins.metadata, standins.taskworker, review.harness2"

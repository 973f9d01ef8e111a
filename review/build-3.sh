#!/usr/bin/env bash
# Builds the stand-ins of review/11 to review/15; the deploy file's build comes first.
# They are Python, as are the project's own that they use, so they are only compiled and
# imported with the packages of target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:src:tools:review/lib3"
python3 -m compileall -q tools/standins review/lib3 review/11 review/12 review/13 \
    review/14 review/15
python3 -c "import deployment3, observer3, standins.fleet.http, standins.fleet.targets"

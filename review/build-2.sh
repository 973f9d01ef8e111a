#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start. They are Python
# programs of review/lib2 that need only what the build of the deploy file has put into
# target/deps, so this compiles them to a temporary folder and checks that they load.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
export PYTHONPYCACHEPREFIX="$folder" PYTHONPATH=target/deps:review
python3 -m compileall -q review/lib2 review/{6,7,8,9,10}/case.py
python3 -c "import lib2.deployment, lib2.runner, lib2.store"
test -f target/app/deploy/egretloft_platform.py

#!/usr/bin/env bash
# Prepares the stand-ins that the scripts of review/11 to review/15 start: the project's
# own (bench/standins) and those in review/common-3. They are Python and need no build of
# their own; this checks that they load with what the build of the deploy file installed.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:review/common-3 PYTHONDONTWRITEBYTECODE=1 python3 -c '
import sys
sys.path.insert(0, ".")
import bench.standins.platform_runner
import bench.standins.platform_store
import cluster
'

#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. They are Python and run from
# the source beside the build of the deploy file, so this checks that all of them compile
# and that what they import is in target/deps.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD" PYTHONDONTWRITEBYTECODE=1
python3 - <<'PY'
from pathlib import Path

for path in sorted(Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
import bench.standins.platform_store
import review.standins.cluster
PY
echo "stand-ins checked"

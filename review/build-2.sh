#!/usr/bin/env bash
# Builds the stand-ins that cases 6 and 7 start. They are Python and run from the source
# beside the build of the deploy file, so this checks that all of them compile and that
# what they import is in target/deps.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD" PYTHONDONTWRITEBYTECODE=1
python3 - <<'PY'
from pathlib import Path

folders = [Path("review") / name for name in ("parts", "6", "7")]
for path in sorted(path for folder in folders for path in folder.glob("*.py")):
    compile(path.read_text(), str(path), "exec")
import egretcrank
import review.parts.installation
import review.parts.runner
import review.parts.store
PY
echo "stand-ins of cases 6 and 7 checked"

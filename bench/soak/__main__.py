"""Play the daemons under random faults and check what callers and runners see.

``python -m bench.soak --seed N --seconds S`` prints one JSON line; it ends with 1 if a
promise was broken. Output of the processes is kept in the folder that it names.
"""

import argparse
import json
import signal
import sys
import tempfile
from pathlib import Path

from bench.soak.callers import Callers
from bench.soak.faults import Faults
from bench.soak.processes import Site


def play(seed: int, seconds: float, folder: Path) -> dict[str, object]:
    """Play one seed; return counts and what was broken."""
    site = Site(seed, folder)
    try:
        site.start()
        callers = Callers(site, seed)
        faults = Faults(site, seed)
        callers.start()
        faults.run(seconds)
        faults.heal()
        problems = callers.finish()
        return {
            "seed": seed,
            "jobs": len(callers.accepted),
            "refused": len(callers.refused),
            "starts": len(site.observer.starts),
            "faults": faults.counts,
            "problems": sorted(set(problems + site.observer.problems)),
            "folder": str(folder),
        }
    finally:
        site.stop()


def main() -> None:
    """Run from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    options = parser.parse_args()
    # The processes of the site end with this one, also when it is told to stop.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    folder = Path(tempfile.mkdtemp(prefix=f"egretcrank-soak-{options.seed}-"))
    report = play(options.seed, options.seconds, folder)
    print(json.dumps(report))
    sys.exit(1 if report["problems"] else 0)


if __name__ == "__main__":
    main()

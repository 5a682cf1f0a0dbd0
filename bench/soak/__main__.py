"""Run the daemons under random faults and check what callers and runners observe.

``python -m bench.soak --seed N --seconds S`` prints one JSON line and exits with 1 if
an invariant was violated. The processes log to the directory that the line names; its
``runners.log`` lists the faults and what the runners did.
"""

import argparse
import json
import signal
import sys
import tempfile
from pathlib import Path

from bench.soak.callers import Callers
from bench.soak.faults import FaultInjector
from bench.soak.processes import SoakCluster


def run_soak(seed: int, seconds: float, directory: Path) -> dict[str, object]:
    """Run the soak for one seed; return counts and the violations found."""
    cluster = SoakCluster(seed, directory)
    try:
        cluster.start()
        injector = FaultInjector(cluster, seed)
        callers = Callers(
            cluster,
            seed,
            light=injector.has_host_faults or injector.has_crashes,
            crashes=injector.has_crashes,
        )
        callers.start()
        injector.run(seconds)
        injector.recover()
        problems = callers.finish()
        return {
            "seed": seed,
            "jobs": len(callers.accepted),
            "refused": len(callers.refused),
            "cancelled": len(callers.cancelled_at),
            "starts": len(cluster.observer.starts),
            "crashes": len(cluster.observer.crashed),
            "faults": injector.counts,
            "problems": sorted(set(problems + cluster.observer.problems)),
            "folder": str(directory),
        }
    finally:
        cluster.stop()
        trace = "\n".join([*cluster.observer.events, ""])
        (directory / "runners.log").write_text(trace)


def main() -> None:
    """Run the soak from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    options = parser.parse_args()
    # Raises SystemExit on SIGTERM, so that the child processes are stopped as well.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    directory = Path(tempfile.mkdtemp(prefix=f"egretcrank-soak-{options.seed}-"))
    report = run_soak(options.seed, options.seconds, directory)
    print(json.dumps(report))
    sys.exit(1 if report["problems"] else 0)


if __name__ == "__main__":
    main()

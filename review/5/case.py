"""LOST: a job is shown as failed, though none of its runs has ended failed."""

import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))
from review.standins.cluster import Cluster

RUNNERS = 7
JOB = "5c0e7a21d94b36f8"
KIND = "b"
CRASH_AFTER, DOWN_SECONDS = 0.3, 4.5
TASK_SECONDS = 5.0
WATCH_SECONDS = 95.0
FINAL = ("completed", "failed", "cancelled")


def main():
    trouble = os.environ.get("TROUBLE", "1") != "0"
    cluster = Cluster(Path(__file__).parent, RUNNERS)
    faulty = cluster.runners[0]
    faulty.command += ["--kind", KIND]
    if trouble:
        faulty.command += ["--crash-after", str(CRASH_AFTER)]
    try:
        cluster.start()
        # No task comes to the faulty machine before the job.
        if not cluster.wait_ready(label="a"):
            cluster.write_record(["could not run: the deployment did not get ready"])
            return 2
        step = {"count": 1, "cpu": 240, "mem_mb": 480, "estimated_ms": 5000,
                "requirements": KIND}
        if cluster.submit(JOB, TASK_SECONDS, [step])[0] != 200:
            cluster.write_record(["could not run: the job was not accepted"])
            return 2
        crashes, state = 0, ""
        end = time.time() + WATCH_SECONDS
        while time.time() < end and state not in FINAL:
            if faulty.process.poll() is not None:
                crashes += 1
                cluster.record("platform", f"{faulty.name} has crashed")
                time.sleep(DOWN_SECONDS)
                faulty.start()
            state = cluster.state(JOB)
            time.sleep(0.1)
        state = cluster.state(JOB, note=True)
        ends = [e for e in cluster.read_events() if e["ev"] == "end" and JOB in e["task"]]
        failed_ends = sum(e["how"] == "failed" for e in ends)
        broken = state == "failed" and failed_ends == 0
        verdict = [f"TROUBLE={int(trouble)}",
                   f"the job is {state}; runs of its task that ended failed: {failed_ends} "
                   f"(max_attempts 4); crashes of the runner: {crashes}",
                   "rule LOST " + ("BROKEN" if broken else "held")]
        cluster.write_record(verdict)
        print("\n".join(verdict))
        return 1 if broken else 0
    finally:
        cluster.stop()


sys.exit(main())

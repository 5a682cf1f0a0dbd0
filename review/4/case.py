"""MIXED: jobs that have not begun are left out of ``waiting`` after the loss of a runner."""

import json
import os
import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))
from review.standins.cluster import QUEUE_PATH, Cluster

RUNNERS = 7
KIND = "b"
JOBS = 12
TASK_SECONDS = 2.0
# visible_ms and 2 s.
COUNTED_AFTER = 5.0
WATCH_SECONDS = 25.0


def main():
    trouble = os.environ.get("TROUBLE", "1") != "0"
    cluster = Cluster(Path(__file__).parent, RUNNERS)
    cluster.runners[0].command += ["--kind", KIND]
    try:
        cluster.start()
        if not cluster.wait_ready():
            cluster.write_record(["could not run: the deployment did not get ready"])
            return 2
        time.sleep(2.0)
        step = {
            "count": 1,
            "cpu": 240,
            "mem_mb": 480,
            "estimated_ms": 2000,
            "requirements": KIND,
        }
        if trouble:
            # The runner is lost for good, and silent.
            cluster.runners[0].send(signal.SIGSTOP)
        accepted = {}
        for number in range(JOBS):
            job = f"{0x1000 + number:016x}"
            if cluster.submit(job, TASK_SECONDS, [step])[0] == 200:
                accepted[job] = time.time()
        wrong, asked = [], 0
        end = time.time() + WATCH_SECONDS
        while time.time() < end:
            for front in range(len(cluster.front)):
                # Jobs count that have not begun by the time of the answer, and were
                # accepted long enough before the question.
                sent_at = time.time()
                status, answer = cluster.call("GET", QUEUE_PATH, front=front)
                begun = {
                    e["task"].partition(".")[0]
                    for e in cluster.read_events()
                    if e["ev"] == "start"
                }
                owed = [
                    j
                    for j, at in accepted.items()
                    if sent_at - at > COUNTED_AFTER and j not in begun
                ]
                if status != 200:
                    continue
                asked += 1
                waiting = json.loads(answer)["waiting"]
                if waiting < len(owed) / 2:
                    wrong.append((sent_at, front, waiting, len(owed)))
            time.sleep(0.5)
        verdict = [
            f"TROUBLE={int(trouble)}",
            f"jobs accepted: {len(accepted)}; answers to GET {QUEUE_PATH}: {asked}; of these "
            f"under half of the jobs that have not begun: {len(wrong)}",
            *(
                f"at {at - cluster.started_at:.1f} s {cluster.frontends[front].name} gives "
                f"waiting {waiting}, {owed} accepted jobs have not begun"
                for at, front, waiting, owed in wrong[:6] + wrong[-6:]
            ),
            "rule MIXED " + ("BROKEN" if wrong else "held"),
        ]
        cluster.write_record(verdict)
        print("\n".join(verdict))
        return 1 if wrong else 0
    finally:
        cluster.runners[0].send(signal.SIGCONT)
        cluster.stop()


sys.exit(main())

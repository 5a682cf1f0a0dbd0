"""ROUTE: a task that requires a kind of runner is started on one of another kind."""

import os
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))
from review.standins.cluster import Cluster

RUNNERS = 7
KINDS = ("a", "b")
SECONDS = 60.0
DOWN_SECONDS = 1.0
PAUSE_SECONDS = 2.0
TASK_SECONDS = 0.5


def main():
    trouble = os.environ.get("TROUBLE", "1") != "0"
    cluster = Cluster(Path(__file__).parent, RUNNERS)
    kinds = [KINDS[n % 2] for n in range(RUNNERS)]
    for number, runner in enumerate(cluster.runners):
        runner.command += ["--first-beat", "0.5", "--kind", kinds[number]]
    try:
        cluster.start()
        if not cluster.wait_ready():
            cluster.write_record(["could not run: the deployment did not get ready"])
            return 2
        stopped = threading.Event()
        required = {}

        def send(kind, first):
            number = 0x1000 + first
            while not stopped.is_set():
                number += 2
                job = f"{number:016x}"
                required[job] = kind
                step = {
                    "count": 4,
                    "cpu": 240,
                    "mem_mb": 480,
                    "estimated_ms": 500,
                    "requirements": kind,
                }
                cluster.submit(job, TASK_SECONDS, [step])
                time.sleep(0.15)

        threads = [
            threading.Thread(target=send, args=(k, n)) for n, k in enumerate(KINDS)
        ]
        for thread in threads:
            thread.start()
        end = time.time() + SECONDS
        number = 0
        while time.time() < end:
            time.sleep(PAUSE_SECONDS)
            if not trouble:
                continue
            # One runner at a time crashes and comes back as one of the other kind.
            runner = cluster.runners[number % RUNNERS]
            runner.kill()
            kinds[number % RUNNERS] = KINDS[1 - KINDS.index(kinds[number % RUNNERS])]
            runner.command[-1] = kinds[number % RUNNERS]
            time.sleep(DOWN_SECONDS)
            runner.start()
            number += 1
        stopped.set()
        for thread in threads:
            thread.join()
        time.sleep(3.0)
        events = cluster.read_events()
        starts = [e for e in events if e["ev"] == "start"]
        found = [
            e
            for e in starts
            if required.get(e["task"].partition(".")[0], e["kind"]) != e["kind"]
        ]
        verdict = [
            f"TROUBLE={int(trouble)}",
            f"starts: {len(starts)}; crashes: {number}; starts on a runner without "
            f"the required label: {len(found)}",
        ]
        for e in found[:20]:
            verdict.append(
                f"{e['task']} run {e['run']} requires {required[e['task'].partition('.')[0]]}"
                f", started at {e['t'] - cluster.started_at:.3f} on {e['runner']} of kind "
                f"{e['kind']}"
            )
        verdict.append("rule ROUTE " + ("BROKEN" if found else "held"))
        cluster.write_record(verdict)
        print("\n".join(verdict))
        return 1 if found else 0
    finally:
        cluster.stop()


sys.exit(main())

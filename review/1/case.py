"""TWICE: an agent returns while its runner holds more than 500 ends."""

import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))
from review.standins.cluster import Cluster

JOB = "5c0e7a21d94b36f8"
RUNNERS = 4
TASKS = 2800
TASK_SECONDS = 25.0
# The tasks end together. The agent is killed shortly before and is back after them.
KILL_BEFORE_SECONDS = 0.5
DOWN_SECONDS = 0.8


def find_second_starts(events):
    """Return the starts after a run of the task has ended done, as TWICE has it.

    An end counts if it is taken note of, unless the runner's lease lapsed between.
    """
    ends, lapses, noted = {}, {}, set()
    done_at = {}
    for event in events:
        runner = event["runner"]
        if event["ev"] == "end":
            ends[runner, event["n"]] = event
        elif event["ev"] == "lease lapsed":
            lapses.setdefault(runner, []).append(event["t"])
        elif event["ev"] == "noted":
            for (name, number), end in ends.items():
                if name != runner or number > event["up_to"] or (name, number) in noted:
                    continue
                noted.add((name, number))
                lapsed = any(end["t"] <= t <= event["t"] for t in lapses.get(name, ()))
                if end["how"] == "done" and not lapsed:
                    done_at.setdefault(end["task"], end)
    return [
        (event, done_at[event["task"]])
        for event in events
        if event["ev"] == "start"
        and event["task"] in done_at
        and event["t"] > done_at[event["task"]]["t"]
    ]


def main():
    trouble = os.environ.get("TROUBLE", "1") != "0"
    cluster = Cluster(Path(__file__).parent, RUNNERS)
    code = 2
    try:
        cluster.start()
        if not cluster.wait_ready():
            cluster.write_record(["could not run: the deployment did not get ready"])
            return 2
        step = {
            "count": TASKS,
            "cpu": 15,
            "mem_mb": 8,
            "estimated_ms": int(TASK_SECONDS * 1000),
        }
        until = time.time() + TASK_SECONDS
        if cluster.submit(JOB, TASK_SECONDS, [step], until=until)[0] != 200:
            cluster.write_record(["could not run: the job was not accepted"])
            return 2
        started = wait_for_starts(cluster, until - KILL_BEFORE_SECONDS)
        cluster.record("case", f"tasks started: {started}")
        time.sleep(max(0.0, until - KILL_BEFORE_SECONDS - time.time()))
        if trouble:
            agent = cluster.agents[0]
            agent.kill()
            time.sleep(DOWN_SECONDS)
            agent.start()
        deadline = time.time() + 45
        while time.time() < deadline and cluster.state(JOB) != "completed":
            time.sleep(0.5)
        state = cluster.state(JOB, note=True)
        time.sleep(1.0)
        events = cluster.read_events()
        found = find_second_starts(events)
        verdict = [
            f"TROUBLE={int(trouble)}",
            f"job: {state}; starts: "
            f"{sum(e['ev'] == 'start' for e in events)}; starts after a run of the "
            f"task has ended done: {len(found)}",
        ]
        for event, end in found[:10]:
            verdict.append(
                f"{event['task']}: run {end['run']} ended done on {end['runner']} (end "
                f"{end['n']}) at {end['t'] - cluster.started_at:.3f}, run {event['run']} "
                f"started on {event['runner']} at {event['t'] - cluster.started_at:.3f}"
            )
        verdict.append("rule TWICE " + ("BROKEN" if found else "held"))
        code = 1 if found else 0
        cluster.write_record(verdict)
        print("\n".join(verdict))
    finally:
        cluster.stop()
    return code


def wait_for_starts(cluster, deadline):
    """Return the number of the job's starts, once all its tasks have been started."""
    while True:
        started = sum(
            e["ev"] == "start" and JOB in e["task"] for e in cluster.read_events()
        )
        if started >= TASKS or time.time() >= deadline:
            return started
        time.sleep(0.5)


sys.exit(main())

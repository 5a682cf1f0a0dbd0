"""The progress of a job with many times outgrows a record, and all work stops."""

import time
from pathlib import Path

from review.parts.installation import (
    HOST,
    SERVICE,
    CannotRunError,
    Installation,
    has_trouble,
    run_case,
)

RECORD = Path(__file__).with_name("record.txt")
TIMED_PREFIX = "/delegate/"
PREFIX = "/lookups/"
AGENTS = 6
# The machine of the kind that the steps of the timed job require.
SPECIAL = 5
STEPS = 20
TIMES = 4000
INTERVAL_SECONDS = 300
JOBS = 12
JOB_INTERVAL_SECONDS = 1.0
# After the end of the traffic, and how long a job may then have nothing running.
FINISH_SECONDS = 14.0
IDLE_SECONDS = 3.0
JOB = {
    "spec": '{"seconds": 1.0}',
    "steps": [{"count": 4, "cpu": 240, "mem_mb": 480, "estimated_ms": 1000}],
}


def build_timed_job() -> dict[str, object]:
    """Return a job of a chain of steps, whose times are all due."""
    step = {
        "count": 1,
        "cpu": 3200,
        "mem_mb": 6400,
        "estimated_ms": 1000,
        "requirements": "b",
    }
    steps = [step | ({"depends_on": [n - 1]} if n else {}) for n in range(STEPS)]
    first = time.time() - TIMES * INTERVAL_SECONDS
    return {
        "spec": '{"seconds": 1.0}',
        "steps": steps,
        "repetitions": TIMES,
        "first_run_ms": int(first * 1000),
        "interval_ms": INTERVAL_SECONDS * 1000,
    }


def build_route(name: str, prefix: str, priority: int) -> dict[str, object]:
    """Return a route of the manifest."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "service": SERVICE,
        "priority": priority,
        "max_attempts": 4,
        "stretch": 2.0,
        "target_latency_ms": 1000,
    }


def play(installation: Installation) -> str:
    """Play the case and return what was broken, or an empty string."""
    installation.start()
    time.sleep(4.0)
    if has_trouble():
        installation.submit(TIMED_PREFIX, build_timed_job())
        time.sleep(2.0)
    jobs = []
    for number in range(JOBS):
        jobs.append(installation.submit(PREFIX, JOB, number % 3))
        time.sleep(JOB_INTERVAL_SECONDS)
    installation.record("the traffic ends")
    time.sleep(FINISH_SECONDS)
    installation.record(f"appends refused as too long: {installation.store.refused}")
    idle_since: dict[str, float] = {}
    until = time.monotonic() + 2 * IDLE_SECONDS
    while time.monotonic() < until:
        for job_id in list(jobs):
            if is_at_work(installation, job_id):
                idle_since.pop(job_id, None)
                continue
            since = idle_since.setdefault(job_id, time.monotonic())
            if time.monotonic() - since < IDLE_SECONDS:
                continue
            state = installation.get_state(PREFIX, job_id)
            if state == "completed":
                jobs.remove(job_id)
                continue
            started = sum(
                task.startswith(job_id)
                for runner in installation.runners
                for _, task, _, _ in runner.starts
            )
            in_use = sum(
                len(runner.life.running)
                for runner in installation.runners
                if runner.life
            )
            return (
                f"LOST: {FINISH_SECONDS} s after the end of the traffic job {job_id} "
                f"is {state or 'not known'} and has nothing running for "
                f"{IDLE_SECONDS} s; {started} starts of its 4 tasks so far; {in_use} "
                f"tasks run on all {AGENTS} runners"
            )
        time.sleep(0.05)
    for job_id in jobs:
        state = installation.get_state(PREFIX, job_id)
        if state != "completed":
            raise CannotRunError(f"job {job_id} is {state} and at work")
    return ""


def is_at_work(installation: Installation, job_id: str) -> bool:
    """Return whether a task of a job is running."""
    return any(
        runner.is_running(f"{job_id}.0.0.{index}")
        for runner in installation.runners
        for index in range(4)
    )


def main() -> None:
    """Run the case."""
    routes = [
        build_route("whois-lookup", PREFIX, 0),
        build_route("rdns-delegate", TIMED_PREFIX, 2),
    ]
    installation = Installation(RECORD, 3, AGENTS, {SPECIAL: "b"}, routes)
    run_case(installation, play)


main()

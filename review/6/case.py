"""Another writer reports a service that no manifest names; runners are lost."""

import secrets
import threading
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
from review.parts.runner import Runner, put_report

RECORD = Path(__file__).with_name("record.txt")
PREFIX = "/lookups/"
AGENTS = 6
# No manifest names it.
OTHER_SERVICE = "ledger-archive"
# The other writer reports whenever the runner beside it has reported, so long after it.
OTHER_DELAY_SECONDS = 0.02
WARM_UP_SECONDS = 4.0
JOBS = 12
JOB_INTERVAL_SECONDS = 1.0
# After the end of the traffic, and how long a job may then have nothing running.
FINISH_SECONDS = 14.0
IDLE_SECONDS = 3.0
JOB = {
    "spec": '{"seconds": 1.0}',
    "steps": [{"count": 4, "cpu": 240, "mem_mb": 480, "estimated_ms": 1000}],
}
ROUTE = {
    "name": "whois-lookup",
    "host": HOST,
    "path_prefix": PREFIX,
    "service": SERVICE,
    "priority": 0,
    "max_attempts": 4,
    "stretch": 1.5,
    "target_latency_ms": 250,
}


class OtherWriter:
    """A process on a side machine that reports itself, of another service."""

    def __init__(self, installation: Installation, runner: Runner) -> None:
        self._installation, self._runner = installation, runner
        self._name = f"i-{secrets.token_hex(4)}"
        self._born = int(time.time() * 1000)
        self._is_stopped = False

    def start(self) -> None:
        """Begin to report."""
        self._installation.record(
            f"another writer {self._name} of service {OTHER_SERVICE} reports beside "
            f"runner {self._runner.name}, born {self._born}"
        )
        threading.Thread(target=self._run, daemon=True).start()

    def stop(self) -> None:
        """Report no more."""
        self._is_stopped = True

    def _run(self) -> None:
        sequence = 0
        while not self._is_stopped:
            self._runner.heartbeat_sent.wait()
            self._runner.heartbeat_sent.clear()
            time.sleep(OTHER_DELAY_SECONDS)
            sequence += 1
            report = {
                "service": OTHER_SERVICE,
                "address": self._runner.address,
                "zone": self._runner.zone,
                "version": "v1",
                "slots": 1,
                "state": "ready",
                "cold_remaining_ms": 0,
                "capacity": {"cpu": 1000, "mem_mb": 1000, "gpu": 0},
                "labels": self._runner.labels,
                "clock_ms": 1500 * sequence,
                "born": self._born,
                "sequence": sequence,
            }
            status = put_report(self._runner.control, self._name, report)
            if sequence <= 3:
                self._installation.record(
                    f"another writer {self._name} reports, sequence {sequence} -> "
                    f"{status}"
                )


def play(installation: Installation) -> str:
    """Play the case and return what was broken, or an empty string."""
    installation.start()
    time.sleep(WARM_UP_SECONDS)
    if has_trouble():
        for runner in installation.runners:
            runner.heartbeat_sent.clear()
            OtherWriter(installation, runner).start()
        time.sleep(2.0)
    jobs = []
    for number in range(JOBS):
        jobs.append(installation.submit(PREFIX, JOB, number % 3))
        time.sleep(JOB_INTERVAL_SECONDS)
    installation.record("the traffic ends")
    time.sleep(FINISH_SECONDS)
    idle_since: dict[str, float] = {}
    until = time.monotonic() + 2 * IDLE_SECONDS
    while time.monotonic() < until:
        for job_id in jobs:
            if is_at_work(installation, job_id):
                idle_since.pop(job_id, None)
                continue
            since = idle_since.setdefault(job_id, time.monotonic())
            if time.monotonic() - since < IDLE_SECONDS:
                continue
            state = installation.get_state(PREFIX, job_id)
            if state == "completed":
                jobs.remove(job_id)
                break
            started = sum(
                task.startswith(job_id)
                for runner in installation.runners
                for _, task, _, _ in runner.starts
            )
            return (
                f"LOST: {FINISH_SECONDS} s after the end of the traffic job {job_id} "
                f"is {state or 'not known'} and has nothing running for "
                f"{IDLE_SECONDS} s; {started} starts so far, all runners are up and "
                f"nearly empty"
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
    installation = Installation(RECORD, 3, AGENTS, {}, [ROUTE])
    run_case(installation, play)


main()

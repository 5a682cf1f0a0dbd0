"""Record of the runs that may have crashed their runners, on the leading controller."""

import logging
from collections.abc import Iterable, Mapping
from datetime import UTC, datetime, timedelta

from egretcrank.clock import Clock
from egretcrank.observability.metrics import Metrics
from egretcrank.policy.crashes import (
    MAX_AGE,
    MIN_CRASHES,
    MIN_RATE,
    Crash,
    CrashRate,
    is_to_be_given_up,
)
from egretcrank.scheduling.changes import ChangeCollector, Changes
from egretcrank.scheduling.definitions import TaskKey, parse_task_key
from egretcrank.scheduling.hosts import HostState
from egretcrank.scheduling.records import CrashesRecord
from egretcrank.scheduling.tasks import Job, Placement, RunPhase, StepState, Task
from egretcrank.wire.hosting import CrashSuspect

# Crashes of one task that are kept, the latest ones.
MAX_RECORDED_CRASHES = 10
# Longest time for which a suspect waits until no other hosts crash.
MAX_CALM_WAIT = timedelta(seconds=10)

logger = logging.getLogger(__name__)


class CrashRecorder:
    """Counts the crashes under tasks, and keeps the counts on the log.

    A suspect is not started again before its crash is on the log, so that a successor
    of this leader counts it, too.
    """

    def __init__(
        self,
        hosts: Mapping[str, HostState],
        changes: ChangeCollector,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._hosts = hosts
        self._changes = changes
        self._clock = clock
        self._metrics = metrics
        self._rate = CrashRate()
        # Tasks with a crash that is not confirmed, by host.
        self._unconfirmed: dict[str, set[tuple[StepState, int]]] = {}

    def record_restart(self, host: HostState, born: int) -> None:
        """Record that the runner process ``born`` of a host has ended."""
        self._rate.record((host.name, born), self._clock.boottime())

    def record(
        self, step: StepState, index: int, host: HostState, suspect: CrashSuspect
    ) -> None:
        """Record that an agent names a run of a task as the suspect of a crash."""
        if not 0 <= suspect.age_seconds <= MAX_AGE.total_seconds() or suspect.run <= 0:
            logger.warning(
                "crash suspect refused",
                extra={"host": host.name, "suspect": suspect._asdict()},
            )
            return
        process = (host.name, suspect.born)
        if suspect.confirmed:
            self._rate.record(process, self._clock.boottime())
            self._rate.explain(process, suspect.age_seconds, suspect.candidates)
        crash = Crash(
            suspect.run,
            host.name,
            suspect.born,
            self._clock.now().timestamp(),
            suspect.age_seconds,
            max(1, suspect.candidates),
            max(
                self._estimate_rate(step.tasks[index], process),
                self._rate.estimate_for_host(process, self._clock.boottime()),
            ),
            suspect.confirmed,
        )
        self._add(step, index, crash)

    def restore(self, job: Job) -> None:
        """Follow up the crashes under a job that a former leader recorded."""
        for steps in job.occurrences.values():
            for step in steps:
                for index in step.suspects:
                    self._follow_up(step, index)

    def _follow_up(self, step: StepState, index: int) -> None:
        for crash in step.tasks[index].crashes:
            if not crash.confirmed:
                self._unconfirmed.setdefault(crash.host, set()).add((step, index))

    def confirm(self, host: HostState, born: int) -> list[tuple[StepState, int]]:
        """Confirm the suspected crashes of a host whose runner process is ``born``.

        The agent process that suspected them may not have lasted until then. Returns
        the tasks of these crashes.
        """
        confirmed = []
        for step, index in self._unconfirmed.pop(host.name, ()):
            for crash in step.tasks[index].crashes:
                if crash.host != host.name or crash.confirmed:
                    continue
                if crash.born == born:
                    self._follow_up(step, index)
                    continue
                process = crash.process
                self._rate.record(process, self._clock.boottime())
                self._rate.explain(process, crash.age_seconds, crash.candidates)
                self._add(step, index, crash._replace(confirmed=True))
                confirmed.append((step, index))
        return confirmed

    def retract(self, step: StepState, index: int, process: tuple[str, int]) -> None:
        """Withdraw a suspected crash of a process that goes on."""
        task = step.tasks[index]
        kept = tuple(
            crash
            for crash in task.crashes
            if crash.confirmed or crash.process != process
        )
        if kept == task.crashes:
            return
        task.crashes = kept
        if not kept:
            step.suspects.discard(index)
        self._mark_changed(step, index)

    def retract_all(self, host: HostState, born: int) -> None:
        """Withdraw the suspected crashes of a host's process, which has replied since.

        Left standing, they would count as crashes with the ages of that time once the
        process ends, whenever that is.
        """
        for step, index in self._unconfirmed.pop(host.name, ()):
            self.retract(step, index, (host.name, born))
            self._follow_up(step, index)

    def record_unconfirmed(
        self, host: HostState, placements: Iterable[Placement]
    ) -> None:
        """Record the runs that may have crashed a runner, of which no agent tells.

        These are the ones of a host that were ordered and are not known to have begun.
        """
        born = host.runner.born if host.runner else 0
        ordered = [p for p in placements if p.phase is RunPhase.ORDERED]
        for placement in ordered:
            self._record_unknown(placement, born, len(ordered))

    def _record_unknown(self, placement: Placement, born: int, candidates: int) -> None:
        crash = Crash(
            placement.run,
            placement.host,
            born,
            self._clock.now().timestamp(),
            (self._clock.boottime() - placement.placed_at).total_seconds(),
            candidates,
            MIN_RATE,
            False,
        )
        self._add(placement.step, placement.task.position, crash)

    def _estimate_rate(self, task: Task, *processes: tuple[str, int]) -> float:
        """Return the rate of the crashes that no suspect is likely to blame for."""
        own = {crash.process for crash in task.crashes}
        now = self._clock.boottime()
        return self._rate.estimate(len(self._hosts), now, own.union(processes))

    def _add(self, step: StepState, index: int, crash: Crash) -> None:
        task = step.tasks[index]
        if task.done or step.job.phase.final:
            return
        others = tuple(c for c in task.crashes if c.process != crash.process)
        same = [c for c in task.crashes if c.process == crash.process]
        if any(c.confirmed or not crash.confirmed for c in same):
            return
        task.crashes = (*others, crash)[-MAX_RECORDED_CRASHES:]
        task.highest_run = max(task.highest_run, crash.run)
        step.suspects.add(index)
        self._follow_up(step, index)
        if crash.confirmed:
            step.job.crashed_processes.add(crash.process)
            step.job.passed_trials = 0
        self._mark_changed(step, index)
        self._metrics.crash_suspects.inc({"event": "suspected"})
        key = step.get_task_key(index)
        logger.warning(
            "crash suspect",
            extra={
                "job": key.job_id,
                "task": key.format(),
                "run": crash.run,
                "host": crash.host,
                "born": crash.born,
                "age": crash.age_seconds,
                "candidates": crash.candidates,
                "rate": crash.rate,
                "confirmed": crash.confirmed,
                "crashes": len(task.crashes),
            },
        )

    def _mark_changed(self, step: StepState, index: int) -> None:
        step.tasks[index].unlogged_crashes += 1
        self._changes.mark_crashes(step.get_task_key(index))

    def has_crashed_lately(self, host: HostState) -> bool:
        """Return whether a crash on a host would tell little of what runs there."""
        process = (host.name, host.runner.born if host.runner else 0)
        return self._rate.estimate_for_host(process, self._clock.boottime()) > 0

    def is_due(self, step: StepState, index: int) -> bool:
        """Return whether a suspect may be tried now.

        One that has met several crashes waits for a calm time, as another crash beside
        those of other hosts would tell little, and may be its last but few.
        """
        task = step.tasks[index]
        if task.unlogged_crashes:
            return False
        if len(task.crashes) < MIN_CRASHES:
            return True
        own = {crash.process for crash in task.crashes}
        # The time of day may have gone back.
        waited = abs(self._clock.now().timestamp() - task.crashes[-1].at)
        return waited >= MAX_CALM_WAIT.total_seconds() or self._rate.is_calm(
            self._clock.boottime(), own
        )

    def clear(self, placement: Placement) -> None:
        """Forget the crashes under a task that has proven harmless."""
        step, index = placement.step, placement.task.position
        step.suspects.discard(index)
        step.job.crashed_processes.clear()
        if step.tasks[index].crashes:
            step.tasks[index].crashes = ()
            self._mark_changed(step, index)

    def describe_cause(self, step: StepState, index: int) -> str:
        """Return why a task is given up, or an empty string if it is not."""
        task = step.tasks[index]
        rate = self._estimate_rate(task)
        if (
            task.done
            or step.job.phase.final
            or not is_to_be_given_up(task.crashes, rate)
        ):
            return ""
        self._metrics.crash_suspects.inc({"event": "given up"})
        key = step.get_task_key(index)
        reason = describe_crashes(key, task.crashes)
        logger.warning(
            "task given up",
            extra={"job": key.job_id, "task": key.format(), "reason": reason},
        )
        return reason

    def mark_durable(self, changes: Changes, jobs: Mapping[str, Job]) -> None:
        """Allow to start the suspects whose crashes were stored on the log."""
        for key in changes.crashes:
            job = jobs.get(key.job_id)
            step = job.find_step(key) if job else None
            if step is not None:
                step.tasks[key.position].unlogged_crashes -= 1
        for name, (incarnation, number) in changes.suspects.items():
            host = self._hosts.get(name)
            if host is not None and host.incarnation == incarnation:
                host.suspects_durable = max(host.suspects_durable, number)
                host.reply_due = True


def find_failure_reason(job_id: str, record: CrashesRecord) -> str:
    """Return which task of a failed job was given up; empty if none was."""
    for name, crashes in record.tasks.items():
        key = parse_task_key(f"{job_id}.{name}")
        if key is not None and is_to_be_given_up(crashes, MIN_RATE):
            return describe_crashes(key, crashes)
    return ""


def describe_crashes(key: TaskKey, crashes: tuple[Crash, ...]) -> str:
    """Return the crashes under a task as text, for its job's owner."""
    places = ", ".join(
        f"{crash.host} at {datetime.fromtimestamp(crash.at, UTC).isoformat()}"
        for crash in crashes
        if crash.confirmed
    )
    return f"task {key.format()} crashed the runners that started it: {places}"

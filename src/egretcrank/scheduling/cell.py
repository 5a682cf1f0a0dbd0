"""Scheduler state of a cell: running tasks, pending tasks and changes to be logged.

The cell does no I/O and starts no threads. The controller feeds it log records and host
reports, and sends out the orders and records that it produces. A task is started only
when no former leader can have started it without this cell knowing.
"""

import logging
from collections.abc import Iterable
from datetime import timedelta
from itertools import islice

from egretcrank.clock import Clock
from egretcrank.observability.metrics import Metrics
from egretcrank.policy.pressures import ChangedPressures, PressureTable
from egretcrank.policy.slowdown import Slowdowns
from egretcrank.scheduling.catalog import EMPTY_CATALOG, Catalog, Queue
from egretcrank.scheduling.changes import ChangeCollector, Changes
from egretcrank.scheduling.crashes import CrashRecorder
from egretcrank.scheduling.definitions import TaskKey, parse_task_key
from egretcrank.scheduling.demands import list_demands
from egretcrank.scheduling.evacuation import is_evacuated, list_evacuated
from egretcrank.scheduling.hosts import (
    HostState,
    UnwantedRun,
)
from egretcrank.scheduling.moves import track_speed
from egretcrank.scheduling.outbox import EMPTY_BATCH
from egretcrank.scheduling.placement import is_eligible
from egretcrank.scheduling.planner import Planner, build_profile
from egretcrank.scheduling.progress import build_changes, restore_progress
from egretcrank.scheduling.records import LogChange, Phase
from egretcrank.scheduling.requirements import list_requirements
from egretcrank.scheduling.runs import GONE, HOST_LOST, RUNNER_RESTARTED, Runs
from egretcrank.scheduling.settings import CellSettings
from egretcrank.scheduling.table import JobEntry, JobTable
from egretcrank.scheduling.tasks import (
    Job,
    Placement,
    RunPhase,
    StepState,
    Task,
)
from egretcrank.scheduling.views import StartWindow
from egretcrank.wire.hosting import (
    NO_ROOM,
    UNSUITABLE,
    WITHDRAWN,
    EndedTask,
    HostOrders,
    HostReport,
    Pressure,
    RefusedStart,
    RunningTask,
    StopOrder,
    TaskProfile,
    get_capacity,
    is_use_changed,
)

# Time without new tasks on a host after its runner refused a start.
REFUSAL_BACKOFF = timedelta(milliseconds=500)
# Run numbers skipped at a takeover: a former leader may have used some that it did not
# write to the log.
RUN_NUMBER_GAP = 16
# Silent hosts are removed after this time, long after their last lease has expired.
SILENT_HOST_RETENTION = timedelta(seconds=10)
# Interval at which changed estimates of interference are written to the log, and their
# number: with names of 8 characters, the record takes 40 KB.
PRESSURE_STORE_INTERVAL = timedelta(seconds=5)
MAX_STORED_PRESSURES = 1000
# Longest time by which the clock of a former leader may have been ahead.
MAX_CLOCK_LEAD = timedelta(minutes=1)
# Cancellations without a job that the log keeps, and deletions of them in one round.
MAX_UNMET_CANCELLATIONS = 20_000
MAX_DELETED_CANCELLATIONS = 500
# No task is started on a lease that expires sooner than this.
MIN_AUTHORITY = timedelta(seconds=1)

logger = logging.getLogger(__name__)


class Cell:
    """State of the cell during one leader epoch."""

    def __init__(
        self,
        settings: CellSettings,
        clock: Clock,
        table: JobTable,
        epoch: int,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._metrics = metrics
        self._clock = clock
        self._table = table
        self.epoch = epoch
        self.catalog: Catalog = EMPTY_CATALOG
        self.jobs: dict[str, Job] = {}
        # Jobs that have not ended.
        self._open_jobs: dict[str, Job] = {}
        # Cancellations whose job has not come, with the time at which this leader read
        # them; the oldest comes first.
        self._unmet_cancellations: dict[str, timedelta] = {}
        self._highest_offset = -1
        self.hosts: dict[str, HostState] = {}
        self._runs = Runs(self.hosts, clock, metrics)
        self._pressures = PressureTable()
        self._stored_pressures = ChangedPressures()
        self._pressures_stored_at = timedelta()
        self._changes = ChangeCollector()
        self._slowdowns = Slowdowns()
        self._crashes = CrashRecorder(self.hosts, self._changes, clock, metrics)
        self._planner = Planner(
            self._runs,
            self.hosts,
            self._pressures,
            self._find_queue,
            self._slowdowns,
            clock,
            self._crashes,
            metrics,
            settings,
        )
        # Jobs below this offset may have been started by a former leader.
        self._fence_offset = 0
        self._takeover_deadline = timedelta()
        self._takeover_complete = False
        # Jobs at or above this offset may be started by a successor.
        self._confirmed_end = 0
        # Last time at which the cell is known to have led.
        self._confirmed_at = timedelta()
        self._authority_until = timedelta()
        # When a host last attached.
        self._attached_at = timedelta()
        self.window = StartWindow(settings, clock, epoch)
        # Failure domains in which nothing may start.
        self.evacuated: frozenset[str] = frozenset()

    # Leadership

    def open(self, fence_offset: int, fenced_at: timedelta) -> None:
        """Start leading with the jobs and hosts of the log.

        No former leader has confirmed its leadership after ``fenced_at``.
        """
        self._fence_offset = fence_offset
        self._takeover_deadline = (
            fenced_at + self._settings.lease + self._settings.lease_margin
        )
        for name, record in self._table.hosts.items():
            host = HostState(name, record.address)
            host.registered = True
            host.reported_at = fenced_at
            host.granted_until = self._takeover_deadline
            self.hosts[name] = host
        for job_id in list(self._table.jobs):
            try:
                self.apply_job(job_id)
            except Exception:
                # A job that always fails must not keep all controllers from leading.
                logger.exception("job cannot be opened", extra={"job": job_id})
                self.jobs.pop(job_id, None)
                self._open_jobs.pop(job_id, None)
        for job_id in self._table.list_orphaned_crashes():
            self._changes.mark_orphaned_crashes(job_id)
        self._changes.mark_expired_parts(self._table.list_orphaned_parts())
        self._pressures.restore(self._table.pressures)
        self._pressures_stored_at = self._clock.boottime()
        self._check_takeover()

    def confirm(self, end: int, proven_at: timedelta) -> None:
        """Record that the cell led at ``proven_at``, when the log ended at ``end``."""
        self._confirmed_end = max(self._confirmed_end, end)
        self._confirmed_at = max(self._confirmed_at, proven_at)
        self._authority_until = self._confirmed_at + self._settings.lease

    @property
    def confirmation_due(self) -> bool:
        """Return whether anything waits for a confirmation of the leadership."""
        return (
            self._highest_offset >= self._confirmed_end
            or self._attached_at >= self._confirmed_at
            or self._takeover_unconfirmed
        )

    @property
    def _takeover_unconfirmed(self) -> bool:
        """Return whether only a confirmation is missing to complete the takeover."""
        now = self._clock.boottime()
        is_due = self._confirmed_at < self._takeover_deadline <= now
        return is_due and not self._takeover_complete

    def _check_takeover(self) -> None:
        if self._takeover_complete:
            return
        missing = [host for host in self.hosts.values() if not host.attached]
        # A successor that was elected before the deadline may have attached them.
        if missing and self._confirmed_at < self._takeover_deadline:
            return
        # This leader has renewed their leases, so that they outlast the deadline.
        if any(host.ends_omitted for host in self.hosts.values()):
            return
        self._takeover_complete = True
        logger.info(
            "inherited work is free to start",
            extra={"epoch": self.epoch, "missing_hosts": [h.name for h in missing]},
        )
        if missing:
            for job in self._open_jobs.values():
                job.skip_runs(RUN_NUMBER_GAP)

    # Jobs

    def apply_job(self, job_id: str) -> None:
        """Apply the table entry of a job, or of a cancellation without a job."""
        entry = self._table.find(job_id)
        if entry is None or entry.definition is None:
            self._forget_ended_job(job_id)
            self._track_cancellation(job_id)
            return
        was_cancelled = self._unmet_cancellations.pop(job_id, None) is not None
        job = self.jobs.get(job_id)
        if job is None:
            job = self._add_job(job_id, entry)
        if job.phase.final:
            return
        if was_cancelled:
            self._end_job(job, Phase.CANCELLED, "cancelled before its record came")
        elif entry.cancelled:
            self._end_job(job, Phase.CANCELLED, "cancelled by its caller")

    def _forget_ended_job(self, job_id: str) -> None:
        """Forget a job that a late record brought back while its deletion was sent."""
        job = self.jobs.get(job_id)
        if job is not None and job.phase.final:
            del self.jobs[job_id]

    def _track_cancellation(self, job_id: str) -> None:
        """Keep the time of a cancellation that has met no job."""
        if self._table.is_cancelled(job_id):
            self._unmet_cancellations.pop(job_id, None)
            self._unmet_cancellations[job_id] = self._clock.boottime()
        elif job_id in self._unmet_cancellations:
            # A caller stored it again just before this leader's deletion.
            self._changes.mark_cancellation(job_id, present=True)

    def _add_job(self, job_id: str, entry: JobEntry) -> Job:
        assert entry.definition is not None
        job = Job(entry.definition, entry.offset)
        self.jobs[job_id] = job
        restore_progress(job, entry.progress, entry.parts)
        if not job.phase.final:
            self._open_jobs[job_id] = job
            self._highest_offset = max(self._highest_offset, job.offset)
            self._add_due_occurrences(job)
            if entry.crashes is not None:
                for name in entry.crashes.tasks:
                    self._adopt_started_step(parse_task_key(f"{job_id}.{name}"))
                job.restore_crashes(entry.crashes)
                self._crashes.restore(job)
        return job

    def _add_due_occurrences(self, job: Job) -> None:
        now = self._clock.now() + self._settings.due_tolerance
        number = len(job.occurrences)
        while number < job.occurrence_count and (
            not job.definition.repetitions or job.due_at(number) <= now
        ):
            if number not in job.occurrences:
                job.add_occurrence(number)
            number += 1

    def _adopt_started_step(self, key: TaskKey | None) -> StepState | None:
        """Return the step of a task that was started, if the job has that task.

        Adds the occurrences up to one that is not due yet: a former leader whose clock
        was ahead may have started it.
        """
        job = self.jobs.get(key.job_id) if key else None
        if key is None or job is None:
            return None
        if (
            not job.phase.final
            and key.occurrence not in job.occurrences
            and key.occurrence < job.occurrence_count
            and job.due_at(key.occurrence) <= self._clock.now() + MAX_CLOCK_LEAD
        ):
            for number in range(key.occurrence + 1):
                if number not in job.occurrences:
                    job.add_occurrence(number)
        return job.find_step(key)

    def _find_queue(self, job: Job) -> Queue:
        return self.catalog.queues.get(job.queue.name, job.queue)

    def _end_job(self, job: Job, phase: Phase, reason: str) -> None:
        job.phase = phase
        job.ended_at = self._clock.now()
        self._open_jobs.pop(job.job_id, None)
        self._changes.mark_job(job.job_id)
        logger.info(
            "job ended",
            extra={"job": job.job_id, "phase": phase.value, "reason": reason},
        )
        for steps in job.occurrences.values():
            for step in steps:
                step.waiting.clear()
                for index in range(len(step.tasks)):
                    placement = self._runs.find(step.get_task_key(index))
                    if placement is not None:
                        self._runs.stop(placement)

    def give_up_job(self, job_id: str, reason: str) -> LogChange | None:
        """End a job whose progress cannot be stored; return the record of its end."""
        job = self.jobs.get(job_id)
        if job is None:
            return None
        if not job.phase.final:
            self._end_job(job, Phase.FAILED, reason)
        return build_changes(job)[0]

    # Reports

    def apply_report(self, report: HostReport) -> None:
        """Apply a report of an agent and make a reply due."""
        now = self._clock.boottime()
        host = self.hosts.get(report.host)
        if host is None:
            host = HostState(report.host, report.address)
            host.reported_at = now
            self.hosts[report.host] = host
        if not host.names_session(self.epoch, report):
            self._offer_session(host, report)
            return
        if host.attached and report.sequence <= host.sequence:
            return
        host.reply_due = True
        if not host.attached and not report.full:
            return
        host.sent_at = report.sent_at
        host.reported_at = now
        if host.is_restarted_by(report) and not report.full:
            return
        if not host.attached:
            self._begin_session(host)
        host.sequence = report.sequence
        host.ends_omitted = report.ends_omitted
        host.runner_left = report.leaving
        host.runner_silent = report.silent
        host.runner_undescribed = report.runner is None
        host.profiles_due = report.unprofiled > 0
        host.outbox.confirm(report.applied, now)
        self._record_suspects(host, report)
        self._update_runner(host, report)
        for refused in report.refused:
            self._handle_refusal(host, refused)
        for ended in report.ended:
            self._handle_end(host, ended)
        if report.full:
            self._reconcile_runs(host, report)
            if not host.attached:
                host.attached = True
                host.attached_at = self._attached_at = self._clock.boottime()
                logger.info(
                    "host attached",
                    extra={
                        "host": host.name,
                        "incarnation": host.incarnation,
                        "running": len(report.running),
                        "ends": len(report.ended),
                        "ends_omitted": report.ends_omitted,
                    },
                )
                self._check_takeover()
        self._update_registration(host, report)

    def _record_suspects(self, host: HostState, report: HostReport) -> None:
        for suspect in report.suspects:
            if suspect.number <= host.suspects_seen:
                continue
            host.suspects_seen = suspect.number
            key = parse_task_key(suspect.task)
            step = self._adopt_started_step(key)
            if key is None or step is None:
                continue
            self._crashes.record(step, key.position, host, suspect)
            self._give_up_if_to_blame(step, key.position)

    def _give_up_if_to_blame(self, step: StepState, index: int) -> None:
        cause = self._crashes.describe_cause(step, index)
        if cause:
            self._end_job(step.job, Phase.FAILED, cause)

    def _offer_session(self, host: HostState, report: HostReport) -> None:
        """Offer a session to the agent process that reports outside of the current one.

        The process attaches with a full report that names the session. So a delayed
        report of a former process, or of a former session, can detach the host, but
        tells nothing of its runs.
        """
        reported = report.session if report.epoch == self.epoch else 0
        if report.incarnation == host.incarnation and reported <= host.session:
            # The offer is on its way, or the report is older than the session.
            host.reply_due = True
            return
        logger.info(
            "session offered",
            extra={
                "host": host.name,
                "incarnation_before": host.incarnation,
                "incarnation": report.incarnation,
                "report": report.sequence,
                "report_epoch": report.epoch,
                "session": max(host.session, reported) + 1,
            },
        )
        host.offer_session(report.incarnation, max(host.session, reported) + 1)
        host.reply_due = True

    def _begin_session(self, host: HostState) -> None:
        host.begin_session()
        for key in host.tasks:
            self._runs[key].order_number = 0

    def _update_registration(self, host: HostState, report: HostReport) -> None:
        if report.leaving and not host.tasks:
            if host.registered:
                self._unregister(host, "its runner left")
        elif host.address != report.address or not host.registered:
            host.address = report.address
            host.registered = False
            self._changes.mark_host(host.name, present=True)

    def _update_runner(self, host: HostState, report: HostReport) -> None:
        runner = report.runner
        if runner is None:
            return
        if host.is_restarted_by(report):
            logger.info(
                "runner restarted",
                extra={"host": host.name, "born": runner.born},
            )
            host.ends_seen = 0
            host.ends_durable = 0
            host.unwanted_runs.clear()
            assert host.runner is not None
            self._crashes.record_restart(host, host.runner.born)
            self._planner.health.record_restart(host.name)
            if not host.attached:
                self._suspect_unconfirmed(host)
            # Leases that a former leader allowed may be longer on the new clock, so no
            # order is sent before the leadership is confirmed again.
            host.attached_at = self._attached_at = self._clock.boottime()
            # Otherwise the runs that are gone are released by the first whole report.
            if not report.ends_omitted:
                self._runs.drop_host_runs(host, RUNNER_RESTARTED, report)
        known = host.runner
        if known is None or is_use_changed(known, runner):
            host.gains.clear()
            logger.info(
                "runner state",
                extra={
                    "host": host.name,
                    "runner": runner.runner_id,
                    "born": runner.born,
                    "service": runner.service,
                    "labels": runner.labels,
                    "draining": runner.draining,
                    "cpu": runner.cpu,
                    "memory": runner.memory,
                    "accelerators": runner.accelerators,
                    "capacity_before": get_capacity(known) if known else None,
                    "free_cpu": runner.cpu - host.used_cpu,
                },
            )
        if host.runner is None or host.runner.born != runner.born:
            self._confirm_crashes(host, runner.born)
        host.runner = runner
        if not report.unanswered:
            host.runner_heard_at = host.reported_at
            self._crashes.retract_all(host, runner.born)

    def _confirm_crashes(self, host: HostState, born: int) -> None:
        for step, index in self._crashes.confirm(host, born):
            self._give_up_if_to_blame(step, index)

    def _suspect_unconfirmed(self, host: HostState) -> None:
        """Suspect the runs that were ordered last, where no agent process can tell.

        It was restarted since, or is lost together with its runner.
        """
        placements = [self._runs[key] for key in host.tasks]
        self._crashes.record_unconfirmed(host, placements)

    def _reconcile_runs(self, host: HostState, report: HostReport) -> None:
        reported: set[tuple[str, int]] = set()
        for running in report.running:
            reported.add((running.task, running.run))
            self._reconcile_run(host, running)
            placement = self._runs.find(parse_task_key(running.task))
            if placement is not None and placement.host == host.name:
                placement.is_listed = placement.run == running.run
                if placement.is_listed and host.runner and not report.unanswered:
                    self._crashes.retract(
                        placement.step,
                        placement.task.position,
                        (host.name, host.runner.born),
                    )
        for task, run in report.starting:
            reported.add((task, run))
            self._reconcile_start(host, RunningTask(task, run, "", 0, 0.0))
        host.unwanted_runs = {
            unwanted
            for unwanted in host.unwanted_runs
            if (unwanted.task, unwanted.run) in reported
        }
        host.update_headrooms(report.rooms)
        host.pressures_due = True
        self._pressures.update(host.name, report.pressures)
        for key in list(host.tasks):
            placement = self._runs[key]
            if placement.order_number > report.applied:
                continue
            if (key.format(), placement.run) not in reported:
                if not report.ends_omitted:
                    self._runs.release(placement, GONE)
            elif placement.phase is RunPhase.STOPPING and not placement.order_number:
                placement.order_number = host.add_order(
                    StopOrder(key.format(), placement.run)
                )

    def _reconcile_start(self, host: HostState, running: RunningTask) -> None:
        """Apply that a start is on its way, which tells nothing of its outcome."""
        placement = self._find_or_adopt(host, running)
        if placement is None:
            return
        placement.starting_at = host.reported_at
        if placement.phase is RunPhase.ORDERED:
            placement.phase = RunPhase.STARTING

    def _reconcile_run(self, host: HostState, running: RunningTask) -> None:
        """Apply that a runner has begun a run."""
        placement = self._find_or_adopt(host, running)
        if placement is None:
            return
        job = placement.step.job
        task = placement.step.tasks[placement.task.position]
        if placement.phase in (RunPhase.ORDERED, RunPhase.STARTING):
            placement.phase = RunPhase.RUNNING
        self._mark_started(job)
        track_speed(placement, running, self._clock.boottime())
        if running.checkpoint and running.checkpoint != task.checkpoint:
            task.checkpoint = running.checkpoint
            placement.step.mark_changed(placement.task.position)
            self._changes.mark_checkpoint(job.job_id)

    def _find_or_adopt(self, host: HostState, running: RunningTask) -> Placement | None:
        """Return the placement of a reported run, or stop the run if it is unwanted."""
        key = parse_task_key(running.task)
        step = self._adopt_started_step(key)
        if key is None or step is None:
            self._stop_unwanted_run(host, running)
            return None
        task = step.tasks[key.position]
        placement = self._runs.find(key)
        if placement is None:
            if task.done or running.run <= task.ended_run:
                self._stop_unwanted_run(host, running)
                return None
            placement = self._runs.place(step, key.position, host, running.run)
            # Not ordered by this leader.
            placement.phase = RunPhase.STARTING
            if step.job.phase.final:
                self._runs.stop(placement)
        elif placement.host != host.name or placement.run != running.run:
            self._stop_unwanted_run(host, running)
            return None
        return placement

    def _stop_unwanted_run(self, host: HostState, running: RunningTask) -> None:
        unwanted = UnwantedRun(running.task, running.run)
        if unwanted in host.unwanted_runs:
            return
        logger.warning(
            "stopping an unwanted run",
            extra={"host": host.name, "task": running.task, "run": running.run},
        )
        host.unwanted_runs.add(unwanted)
        host.add_order(StopOrder(running.task, running.run))

    def _mark_started(self, job: Job) -> None:
        if job.phase is Phase.QUEUED:
            job.phase = Phase.RUNNING
            self._changes.mark_job(job.job_id)
            waited = self._clock.now() - job.definition.submitted_at
            self._metrics.first_start_seconds.add({}, max(0.0, waited.total_seconds()))

    def _handle_refusal(self, host: HostState, refused: RefusedStart) -> None:
        key = parse_task_key(refused.task)
        placement = self._runs.find(key)
        if (
            placement is None
            or placement.host != host.name
            or placement.run != refused.run
            or placement.order_number != refused.number
        ):
            return
        self._runs.release(placement, f"start refused: {refused.reason}")
        if refused.reason == WITHDRAWN:
            return
        service = self._find_queue(placement.step.job).service
        is_expected = refused.reason in (NO_ROOM, UNSUITABLE) and not is_eligible(
            placement.step, service, host
        )
        # A host that has no room or is unsuitable by the leader's own figures needs no
        # further time.
        if not is_expected:
            host.avoid_until = self._clock.boottime() + REFUSAL_BACKOFF

    def _handle_end(self, host: HostState, ended: EndedTask) -> None:
        if ended.number <= host.ends_seen:
            return
        host.ends_seen = ended.number
        host.unwanted_runs.discard(UnwantedRun(ended.task, ended.run))
        key = parse_task_key(ended.task)
        step = self._adopt_started_step(key)
        if key is None or step is None:
            return
        job = step.job
        placement = self._runs.find(key)
        is_current = (
            placement is not None
            and placement.host == host.name
            and placement.run == ended.run
        )
        task = step.tasks[key.position]
        if host.runner is not None:
            process = (host.name, host.runner.born)
            self._crashes.retract(step, key.position, process)
        self._record_end(job, step, key.position, ended)
        if is_current and placement is not None:
            self._runs.release(placement, ended.outcome)
            self._planner.health.record_end(placement, ended.outcome)
        elif placement is not None and task.done:
            self._runs.stop(placement)
        self._mark_started(job)
        self._check_completion(job, step, task)

    def _record_end(
        self, job: Job, step: StepState, index: int, ended: EndedTask
    ) -> None:
        if job.phase.final:
            return
        task = step.tasks[index]
        if ended.checkpoint:
            task.checkpoint = ended.checkpoint
        if ended.outcome == "done" and not step.definition.long_running:
            step.mark_done(index)
            if step.complete and step.started_at is not None:
                step.ended_at = self._clock.boottime()
                span = step.ended_at - step.started_at
                self._slowdowns.record(job.queue.name, span, step.definition.estimate)
        if ended.outcome == "failed":
            task.failed_runs.add(ended.run)
        if ended.run > task.ended_run:
            task.ended_run = ended.run
            task.highest_run = max(task.highest_run, ended.run)
        step.mark_changed(index)
        self._changes.mark_job(job.job_id)

    def _check_completion(self, job: Job, step: StepState, task: Task) -> None:
        if job.phase.final:
            return
        if (
            not task.done
            and not step.definition.long_running
            and task.failures >= self._find_queue(job).max_attempts
        ):
            self._end_job(job, Phase.FAILED, "a task failed in each attempt")
        elif step.complete and job.is_complete():
            self._end_job(job, Phase.COMPLETED, "all tasks are done")

    # Time

    def update_gauges(self) -> None:
        """Set the gauges to the current state of the cell."""
        attached = sum(host.attached for host in self.hosts.values())
        self._metrics.hosts.set({"state": "attached"}, attached)
        self._metrics.hosts.set({"state": "missing"}, len(self.hosts) - attached)
        self._metrics.open_jobs.set({}, len(self._open_jobs))
        view_age = self.window.view_age.total_seconds()
        self._metrics.view_age_seconds.set({}, view_age)

    def process_timeouts(self) -> None:
        """Apply the effects of elapsed time: due repetitions, timeouts and expiry."""
        now = self._clock.boottime()
        self._check_takeover()
        for job in self._open_jobs.values():
            if job.definition.repetitions:
                self._add_due_occurrences(job)
        for host in list(self.hosts.values()):
            # A successor that was elected before the leases ended may have attached the
            # host and renewed them.
            if (
                self._confirmed_at <= host.granted_until + self._settings.lease_margin
                or now - host.reported_at <= self._settings.lease
            ):
                continue
            if host.tasks:
                logger.warning(
                    "host lost", extra={"host": host.name, "tasks": len(host.tasks)}
                )
                self._suspect_unconfirmed(host)
                self._runs.drop_host_runs(host, HOST_LOST, None)
            host.ends_omitted = False
            if host.attached:
                host.end_session()
            if host.registered:
                self._unregister(host, "it is silent and its lease is over")
            if now - host.reported_at > SILENT_HOST_RETENTION:
                del self.hosts[host.name]
                self._pressures.remove_host(host.name)
        self._changes.flush_checkpoints(now)
        self._store_pressures(now)
        self._expire_jobs()
        self._expire_cancellations(now)

    def _store_pressures(self, now: timedelta) -> None:
        """Write changed estimates to the log, for the next leader and its agents.

        After a loss of power nobody else remembers them, and all work that shares hosts
        with serving tasks would wait until they are learned anew.
        """
        if now - self._pressures_stored_at < PRESSURE_STORE_INTERVAL:
            return
        self._pressures_stored_at = now
        known = self._pressures.list_known(MAX_STORED_PRESSURES)
        if self._stored_pressures.is_any_changed(known):
            self._stored_pressures.reset(now)
            self._stored_pressures.select(known, now)
            self._changes.mark_pressures(known)

    def _unregister(self, host: HostState, reason: str) -> None:
        """Remove a host that can run nothing, so that no new leader waits for it."""
        host.registered = False
        self._changes.mark_host(host.name, present=False)
        logger.warning("host unregistered", extra={"host": host.name, "reason": reason})

    def _expire_jobs(self) -> None:
        before = self._clock.now() - self._settings.keep_ended
        for job_id in self._table.list_expired(before):
            if job_id in self.jobs:
                del self.jobs[job_id]
                entry = self._table.find(job_id)
                if entry is not None and entry.crashes is not None:
                    self._changes.mark_orphaned_crashes(job_id)
                if entry is not None and entry.parts is not None:
                    self._changes.mark_expired_parts(entry.parts.records)
                self._changes.mark_expired(job_id)

    def _expire_cancellations(self, now: timedelta) -> None:
        """Delete cancellations whose job has not come in the retention time."""
        unmet = self._unmet_cancellations
        before = now - self._settings.keep_ended
        for job_id, read_at in list(islice(unmet.items(), MAX_DELETED_CANCELLATIONS)):
            if read_at >= before and len(unmet) <= MAX_UNMET_CANCELLATIONS:
                break
            del unmet[job_id]
            self._changes.mark_cancellation(job_id, present=False)

    # Decisions

    def plan(self) -> None:
        """Place waiting tasks and queue their orders for ``take_orders``."""
        now = self._clock.boottime()
        self._withdraw_evacuated_starts()
        is_window_open = self.window.update(now, len(self._open_jobs))
        if not is_window_open or self._authority_until - now < MIN_AUTHORITY:
            return
        startable = [job for job in self._open_jobs.values() if self._may_start(job)]
        self._planner.plan(startable, self.evacuated)

    def _withdraw_evacuated_starts(self) -> None:
        """Withdraw the starts in evacuated failure domains that have not begun."""
        for host in list_evacuated(self.hosts, self.evacuated):
            for key in host.tasks:
                placement = self._runs[key]
                if placement.phase in (RunPhase.ORDERED, RunPhase.STARTING):
                    self._runs.stop(placement)
                    self._metrics.withdrawn_starts.inc({})

    def _may_start(self, job: Job) -> bool:
        """Return whether neither a former leader nor a successor can start the job."""
        if job.offset >= self._confirmed_end:
            return False
        return self._takeover_complete or job.offset >= self._fence_offset

    # Output

    def take_orders(self) -> Iterable[tuple[HostState, HostOrders]]:
        """Yield the orders and report replies to send now, by host."""
        now = self._clock.boottime()
        authority = self._authority_until - now
        for host in self.hosts.values():
            if not host.incarnation:
                continue
            # A successor may have led the host, and a restarted agent forgets it.
            may_order = host.attached and self._confirmed_at > host.attached_at
            batch = host.outbox.take(now) if may_order else EMPTY_BATCH
            if not host.reply_due and not batch.orders:
                continue
            host.reply_due = False
            # Before ``profiles_due`` is reset.
            unknown = host.tasks if host.profiles_due else ()
            demands = list_demands(self._runs, batch.orders, unknown)
            if host.attached and authority > timedelta():
                # The agent measures the lease from when it sent its last report.
                granted = host.reported_at + authority
                host.granted_until = max(host.granted_until, granted)
            yield (
                host,
                HostOrders(
                    epoch=self.epoch,
                    session=host.session,
                    incarnation=host.incarnation,
                    report_sequence=host.sequence,
                    report_sent_at=host.sent_at,
                    authority_seconds=(
                        max(0.0, authority.total_seconds()) if host.attached else 0.0
                    ),
                    born=host.runner.born if host.runner else 0,
                    seen_ends=host.ends_seen,
                    durable_ends=host.ends_durable,
                    orders=batch.orders,
                    specs=batch.specs,
                    profiles=self._pop_profiles(host),
                    pressures=self._pop_pressures(host),
                    durable_suspects=host.suspects_durable,
                    demands=demands,
                    # Until the host attaches, its last report and its orders may be
                    # of a former session.
                    start_seconds=self._compute_start_seconds(host, now),
                    last_order=host.outbox.last_number if host.attached else 0,
                    requirements=list_requirements(
                        self._runs, batch.orders, self._find_queue
                    ),
                ),
            )

    def _compute_start_seconds(self, host: HostState, now: timedelta) -> float:
        if not host.attached or is_evacuated(host, self.evacuated):
            return 0.0
        return self.window.compute_seconds(host.reported_at, now)

    def _pop_profiles(self, host: HostState) -> dict[str, TaskProfile]:
        if not host.profiles_due:
            return {}
        host.profiles_due = False
        return {
            key.format(): build_profile(self._runs[key].step.definition)
            for key in host.tasks
        }

    def _pop_pressures(self, host: HostState) -> tuple[Pressure, ...]:
        if not host.pressures_due:
            return ()
        host.pressures_due = False
        known = self._pressures.list_for(host.serving_images)
        return host.sent_pressures.select(known, self._clock.boottime())

    def take_changes(self) -> Changes:
        """Return the changes to append to the log and reset the collector."""
        return self._changes.take(self.jobs, self.hosts)

    @property
    def has_changes(self) -> bool:
        """Return whether there are changes to append to the log."""
        return bool(self._changes)

    def mark_durable(self, changes: Changes) -> None:
        """Update the state after ``changes`` were stored on the log."""
        for name, (born, number) in changes.ends.items():
            host = self.hosts.get(name)
            if host is not None and host.runner and host.runner.born == born:
                host.ends_durable = max(host.ends_durable, number)
                # The runner repeats these ends until its agent learns of this.
                host.reply_due = True
        self._crashes.mark_durable(changes, self.jobs)
        for name in changes.hosts:
            host = self.hosts.get(name)
            if host is not None and not self._changes.is_removal_due(name):
                host.registered = True

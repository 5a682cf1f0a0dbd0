"""The cell: what runs where, what runs next, and what must be on the log.

The cell has no input or output and no threads. Its controller hands in records of the
log and reports of hosts, and takes out orders and records. While no former leader can
have started a task without this cell knowing, and only then, the task may be started.
"""

import logging
from collections.abc import Iterable
from datetime import datetime, timedelta
from typing import NamedTuple

from egretcrank.clock import Clock
from egretcrank.policy.sharing import PressureTable
from egretcrank.scheduling.catalog import EMPTY_CATALOG, Catalog, Queue
from egretcrank.scheduling.definitions import Step, TaskKey, parse_task_key
from egretcrank.scheduling.hosts import (
    RESEND_AFTER,
    ForeignRun,
    HostState,
)
from egretcrank.scheduling.placement import choose_host
from egretcrank.scheduling.records import (
    HostRecord,
    Phase,
    RecordKey,
    RecordKind,
    encode_record,
)
from egretcrank.scheduling.settings import CellSettings
from egretcrank.scheduling.table import JobEntry, JobTable
from egretcrank.scheduling.tasks import (
    LATE_FACTOR,
    Job,
    Placement,
    RunPhase,
    StepState,
    Task,
)
from egretcrank.wire.hosting import (
    EndedTask,
    HostOrders,
    HostReport,
    NumberedOrder,
    Pressure,
    RefusedStart,
    RunningTask,
    StartOrder,
    StopOrder,
    TaskProfile,
)

# A start that a sound runner refused is tried elsewhere, and here again after this.
AVOID_AFTER_REFUSAL = timedelta(milliseconds=500)
# A former leader may have used run numbers that are on no log.
RUN_GAP = 16
# A silent host is forgotten after this; by then its last lease is long over.
FORGET_HOST_AFTER = timedelta(seconds=10)
# A job with nothing running gets a task even where it has to be paced.
LONGEST_IDLE = timedelta(seconds=1)
# Work that a loss of power of everything may cost, beside what no checkpoint holds.
CHECKPOINT_INTERVAL = timedelta(seconds=2)
# A task that fills is slow while it uses less than this share of its processors, and
# is moved after the limit. Moves are few at once so that room is not promised twice.
SLOW_SHARE = 0.2
SLOW_LIMIT = timedelta(milliseconds=1500)
MOVES_AT_ONCE = 2
MOVE_INTERVAL = timedelta(milliseconds=300)
# Progress in percent up to which work without checkpoints may be thrown away.
MOVABLE_PROGRESS = 15
# Leases that are about to end cannot carry a new task.
LEAST_AUTHORITY = timedelta(seconds=1)

logger = logging.getLogger(__name__)


class LogChange(NamedTuple):
    """A record to append; an empty value drops the key."""

    key: RecordKey
    value: bytes


class Changes(NamedTuple):
    """What is to be made durable together, and what holds once it is."""

    records: tuple[LogChange, ...]
    ends: dict[str, tuple[int, int]]
    hosts: tuple[str, ...]


class Cell:
    """State of the cell under one epoch of leadership."""

    def __init__(
        self, settings: CellSettings, clock: Clock, table: JobTable, epoch: int
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._table = table
        self.epoch = epoch
        self.catalog: Catalog = EMPTY_CATALOG
        self.jobs: dict[str, Job] = {}
        self.hosts: dict[str, HostState] = {}
        self._placements: dict[TaskKey, Placement] = {}
        self._pressures = PressureTable()
        self._changed_jobs: set[str] = set()
        self._changed_hosts: dict[str, bool] = {}
        self._expired: list[str] = []
        self._checkpointed_jobs: set[str] = set()
        self._checkpoints_noted_at = timedelta()
        self._moved_at = timedelta()
        # Jobs before this offset may have been started by a former leader.
        self._fence_offset = 0
        self._gate_opens_at = timedelta()
        self._gate_open = False
        # Jobs from this offset on may be started by a successor.
        self._confirmed_end = 0
        self._authority_until = timedelta()
        self.controllers: tuple[str, ...] = ()

    # Leadership

    def open(self, fence_offset: int, fenced_at: timedelta) -> None:
        """Begin to lead: take over what the log says.

        ``fenced_at`` is a time after which no former leader proved its leadership.
        """
        self._fence_offset = fence_offset
        self._gate_opens_at = (
            fenced_at + self._settings.lease + self._settings.lease_margin
        )
        for name, record in self._table.hosts.items():
            host = HostState(name, record.address)
            host.registered = True
            host.reported_at = fenced_at
            host.granted_until = self._gate_opens_at
            self.hosts[name] = host
        for job_id in list(self._table.jobs):
            self.fold_job(job_id)
        self._check_gate()

    def confirm(self, end: int, proven_at: timedelta) -> None:
        """Note that the cell led at ``proven_at``, when the log ended at ``end``."""
        self._confirmed_end = max(self._confirmed_end, end)
        self._authority_until = max(
            self._authority_until, proven_at + self._settings.lease
        )

    @property
    def confirmation_due(self) -> bool:
        """Tell whether an accepted job waits for a proof of leadership."""
        return any(
            job.offset >= self._confirmed_end and not job.phase.final
            for job in self.jobs.values()
        )

    def _check_gate(self) -> None:
        if self._gate_open:
            return
        missing = [host for host in self.hosts.values() if not host.attached]
        now = self._clock.boottime()
        if missing and now < self._gate_opens_at:
            return
        self._gate_open = True
        logger.info(
            "inherited work is free to start",
            extra={"epoch": self.epoch, "missing_hosts": [h.name for h in missing]},
        )
        if missing:
            self._skip_unknown_runs()

    def _skip_unknown_runs(self) -> None:
        for job in self.jobs.values():
            for steps in job.occurrences.values():
                for step in steps:
                    for index in step.waiting:
                        step.tasks[index].run += RUN_GAP

    # Jobs

    def fold_job(self, job_id: str) -> None:
        """Take over what the table says of a job now."""
        entry = self._table.find(job_id)
        if entry is None or entry.definition is None:
            return
        job = self.jobs.get(job_id)
        if job is None:
            job = self._add_job(job_id, entry)
        if entry.cancelled and not job.phase.final:
            self._end_job(job, Phase.CANCELLED, "cancelled by its caller")

    def _add_job(self, job_id: str, entry: JobEntry) -> Job:
        assert entry.definition is not None
        job = Job(entry.definition, entry.offset)
        self.jobs[job_id] = job
        if entry.progress is not None:
            job.restore(entry.progress)
        if not job.phase.final:
            self._add_due_occurrences(job)
        return job

    def _add_due_occurrences(self, job: Job) -> None:
        now = self._clock.now() + self._settings.early
        number = len(job.occurrences)
        while number < job.total and (
            not job.definition.repetitions or job.due_at(number) <= now
        ):
            if number not in job.occurrences:
                job.add_occurrence(number)
            number += 1

    def _find_queue(self, job: Job) -> Queue:
        return self.catalog.queues.get(job.queue.name, job.queue)

    def _end_job(self, job: Job, phase: Phase, reason: str) -> None:
        job.phase = phase
        job.ended_at = self._clock.now()
        self._changed_jobs.add(job.job_id)
        logger.info(
            "job ended",
            extra={"job": job.job_id, "phase": phase.value, "reason": reason},
        )
        for steps in job.occurrences.values():
            for step in steps:
                step.waiting.clear()
                for index in range(len(step.tasks)):
                    placement = self._placements.get(step.key_of(index))
                    if placement is not None:
                        self._stop(placement)

    # Reports

    def take_report(self, report: HostReport) -> None:
        """Take a report of an agent; an answer to it becomes due."""
        now = self._clock.boottime()
        host = self.hosts.get(report.host)
        if host is None:
            host = HostState(report.host, report.address)
            host.reported_at = now
            self.hosts[report.host] = host
        if report.leaving and not host.tasks:
            if host.registered:
                self._unregister(host, "its runner left")
        elif host.address != report.address or not host.registered:
            host.address = report.address
            host.registered = False
            self._changed_hosts[host.name] = True
        known = (report.epoch, report.session) == (self.epoch, host.session)
        same = known and report.incarnation == host.incarnation
        if same and report.sequence <= host.sequence:
            return
        host.reply_due = True
        host.sent_at = report.sent_at
        host.reported_at = now
        if not known:
            # The agent answers the orders that tell it the epoch with a full report.
            host.incarnation = report.incarnation
            host.sequence = -1
            host.attached = False
            return
        reborn = _is_reborn(host, report)
        if (not same or not host.attached or reborn) and not report.full:
            return
        if not same or not host.attached:
            self._begin_session(host, report.incarnation)
        host.sequence = report.sequence
        host.leaving = report.leaving
        host.silent = report.silent
        host.profiles_due = report.unprofiled > 0
        host.confirm_orders(report.applied)
        self._take_runner(host, report)
        for refused in report.refused:
            self._take_refusal(host, refused)
        for ended in report.ended:
            self._take_end(host, ended)
        if report.full:
            self._take_running(host, report)
            if not host.attached:
                host.attached = True
                logger.info(
                    "host attached",
                    extra={
                        "host": host.name,
                        "incarnation": host.incarnation,
                        "running": len(report.running),
                        "ends": len(report.ended),
                    },
                )
                self._check_gate()

    def _begin_session(self, host: HostState, incarnation: str) -> None:
        host.begin_session(incarnation)
        for key in host.tasks:
            self._placements[key].number = 0

    def _take_runner(self, host: HostState, report: HostReport) -> None:
        runner = report.runner
        if runner is None:
            return
        if _is_reborn(host, report):
            logger.info(
                "runner restarted",
                extra={"host": host.name, "born": runner.born},
            )
            host.ends_seen = 0
            host.ends_durable = 0
            host.foreign.clear()
            self._lose_tasks(host, "runner restarted", report)
        if host.runner is None or host.runner.draining != runner.draining:
            logger.info(
                "runner state",
                extra={
                    "host": host.name,
                    "runner": runner.runner_id,
                    "draining": runner.draining,
                    "cpu": runner.cpu,
                    "memory": runner.memory,
                },
            )
        host.runner = runner

    def _take_running(self, host: HostState, report: HostReport) -> None:
        reported: set[tuple[str, int]] = set()
        for running in report.running:
            reported.add((running.task, running.run))
            self._take_run(host, running)
        for task, run in report.starting:
            reported.add((task, run))
            self._take_run(host, RunningTask(task, run, "", 0, 0.0))
        host.foreign = {f for f in host.foreign if (f.task, f.run) in reported}
        host.rooms = {room.image: room.room for room in report.rooms}
        host.pressures_due = True
        self._pressures.take(host.name, report.pressures)
        for key in list(host.tasks):
            placement = self._placements[key]
            if placement.number > report.applied:
                continue
            if (key.format(), placement.run) not in reported:
                self._release(placement, "run is gone")
            elif placement.phase is RunPhase.STOPPING and not placement.number:
                placement.number = host.add_order(
                    StopOrder(key.format(), placement.run)
                )

    def _take_run(self, host: HostState, running: RunningTask) -> None:
        key = parse_task_key(running.task)
        job = self.jobs.get(key.job_id) if key else None
        step = job.find_step(key) if job and key else None
        if key is None or job is None or step is None:
            self._refuse_run(host, running)
            return
        task = step.tasks[key.position]
        placement = self._placements.get(key)
        if placement is None:
            if task.done or running.run <= task.ended_run:
                self._refuse_run(host, running)
                return
            placement = self._place(step, key.position, host, running.run)
            placement.phase = RunPhase.RUNNING
            self._note_started(job)
            if job.phase.final:
                self._stop(placement)
        elif placement.host != host.name or placement.run != running.run:
            self._refuse_run(host, running)
            return
        if placement.phase is RunPhase.ORDERED:
            placement.phase = RunPhase.RUNNING
            self._note_started(job)
        self._note_speed(placement, running)
        if running.checkpoint and running.checkpoint != task.checkpoint:
            task.checkpoint = running.checkpoint
            self._checkpointed_jobs.add(job.job_id)

    def _note_speed(self, placement: Placement, running: RunningTask) -> None:
        step = placement.step.step
        movable = step.checkpointing or running.progress < MOVABLE_PROGRESS
        if not step.fills or not movable or running.figure > SLOW_SHARE * step.cpu:
            placement.slow_since = None
        elif placement.slow_since is None:
            placement.slow_since = self._clock.boottime()

    def _refuse_run(self, host: HostState, running: RunningTask) -> None:
        foreign = ForeignRun(running.task, running.run)
        if foreign in host.foreign:
            return
        logger.warning(
            "unwanted run is stopped",
            extra={"host": host.name, "task": running.task, "run": running.run},
        )
        host.foreign.add(foreign)
        host.add_order(StopOrder(running.task, running.run))

    def _note_started(self, job: Job) -> None:
        if job.phase is Phase.QUEUED:
            job.phase = Phase.RUNNING
            self._changed_jobs.add(job.job_id)

    def _take_refusal(self, host: HostState, refused: RefusedStart) -> None:
        key = parse_task_key(refused.task)
        placement = self._placements.get(key) if key else None
        if (
            placement is None
            or placement.host != host.name
            or placement.run != refused.run
            or placement.number != refused.number
        ):
            return
        host.avoid_until = self._clock.boottime() + AVOID_AFTER_REFUSAL
        self._release(placement, f"start refused: {refused.reason}")

    def _take_end(self, host: HostState, ended: EndedTask) -> None:
        if ended.number <= host.ends_seen:
            return
        host.ends_seen = ended.number
        host.foreign.discard(ForeignRun(ended.task, ended.run))
        key = parse_task_key(ended.task)
        job = self.jobs.get(key.job_id) if key else None
        step = job.find_step(key) if job and key else None
        if key is None or job is None or step is None:
            return
        placement = self._placements.get(key)
        here = (
            placement is not None
            and placement.host == host.name
            and placement.run == ended.run
        )
        task = step.tasks[key.position]
        self._note_end(job, step, key.position, ended)
        if here and placement is not None:
            self._release(placement, ended.how)
        elif placement is not None and task.done:
            self._stop(placement)
        self._note_started(job)
        self._check_end(job, step, task)

    def _note_end(
        self, job: Job, step: StepState, index: int, ended: EndedTask
    ) -> None:
        if job.phase.final:
            return
        task = step.tasks[index]
        if ended.checkpoint:
            task.checkpoint = ended.checkpoint
        if ended.how == "done" and not step.step.lasting:
            step.mark_done(index)
        if ended.run > task.ended_run:
            task.ended_run = ended.run
            task.run = max(task.run, ended.run)
            if ended.how == "failed":
                task.failures += 1
        self._changed_jobs.add(job.job_id)

    def _check_end(self, job: Job, step: StepState, task: Task) -> None:
        if job.phase.final:
            return
        if (
            not task.done
            and not step.step.lasting
            and task.failures >= self._find_queue(job).max_attempts
        ):
            self._end_job(job, Phase.FAILED, "a task failed in each attempt")
        elif step.complete and job.is_complete():
            self._end_job(job, Phase.COMPLETED, "all tasks are done")

    # Placements

    def _place(
        self, step: StepState, index: int, host: HostState, run: int
    ) -> Placement:
        key = step.key_of(index)
        placement = Placement(
            key, step, host.name, run, RunPhase.ORDERED, self._clock.boottime()
        )
        self._placements[key] = placement
        step.waiting.discard(index)
        step.tasks[index].run = max(step.tasks[index].run, run)
        step.spread[host.name] = step.spread.get(host.name, 0) + 1
        step.job.active_runs += 1
        step.job.idle_since = None
        host.tasks.add(key)
        host.reserve(step.step)
        return placement

    def _release(self, placement: Placement, reason: str) -> None:
        """Forget a run that has certainly ended, and let its task wait again."""
        key = placement.task
        step = placement.step
        del self._placements[key]
        step.spread[placement.host] -= 1
        step.job.active_runs -= 1
        if not step.job.active_runs:
            step.job.idle_since = self._clock.boottime()
        host = self.hosts[placement.host]
        host.tasks.discard(key)
        host.reserve(step.step, -1)
        if not step.tasks[key.position].done and not step.job.phase.final:
            step.waiting.add(key.position)
        logger.info(
            "run ended",
            extra={
                "job": key.job_id,
                "task": key.format(),
                "run": placement.run,
                "host": placement.host,
                "reason": reason,
            },
        )

    def _stop(self, placement: Placement) -> None:
        if placement.phase is RunPhase.STOPPING:
            return
        placement.phase = RunPhase.STOPPING
        host = self.hosts[placement.host]
        host.add_order(StopOrder(placement.task.format(), placement.run))

    def _lose_tasks(
        self, host: HostState, reason: str, report: HostReport | None
    ) -> None:
        """Give up the runs of a host, but for those that its report still names.

        Orders that the agent has not taken yet may still be carried out.
        """
        keep = _list_runs(report) if report else frozenset()
        for key in list(host.tasks):
            placement = self._placements[key]
            untaken = report is not None and placement.number > report.applied
            if not untaken and (key.format(), placement.run) not in keep:
                self._release(placement, reason)

    # Time

    def pass_time(self) -> None:
        """Apply what follows from time alone."""
        now = self._clock.boottime()
        self._check_gate()
        for job in self.jobs.values():
            if job.definition.repetitions and not job.phase.final:
                self._add_due_occurrences(job)
        for host in list(self.hosts.values()):
            if now <= host.granted_until + self._settings.lease_margin:
                continue
            if host.tasks and now - host.reported_at > self._settings.lease:
                logger.warning(
                    "host lost", extra={"host": host.name, "tasks": len(host.tasks)}
                )
                self._lose_tasks(host, "host lost", None)
                host.session += 1
                host.begin_session("")
            if now - host.reported_at > self._settings.lease:
                host.attached = False
                if host.registered:
                    self._unregister(host, "it is silent and its lease is over")
            if now - host.reported_at > FORGET_HOST_AFTER:
                del self.hosts[host.name]
        self._note_checkpoints(now)
        self._expire()

    def _unregister(self, host: HostState, reason: str) -> None:
        """Drop a host that can run nothing, so that no new leader waits for it."""
        host.registered = False
        self._changed_hosts[host.name] = False
        logger.warning("host unregistered", extra={"host": host.name, "reason": reason})

    def _note_checkpoints(self, now: timedelta) -> None:
        """Record new checkpoints now and then, for when all machines lose power."""
        if now - self._checkpoints_noted_at < CHECKPOINT_INTERVAL:
            return
        self._checkpoints_noted_at = now
        self._changed_jobs |= self._checkpointed_jobs
        self._checkpointed_jobs.clear()

    def _expire(self) -> None:
        before = self._clock.now() - self._settings.keep_ended
        for job_id in self._table.list_expired(before):
            if job_id in self.jobs:
                del self.jobs[job_id]
                self._expired.append(job_id)

    # Decisions

    def plan(self) -> None:
        """Place waiting tasks; the orders are taken with ``take_orders``."""
        now = self._clock.boottime()
        if self._authority_until - now < LEAST_AUTHORITY:
            return
        usable = [host for host in self.hosts.values() if host.is_usable(now)]
        if not usable:
            return
        if now - self._moved_at >= MOVE_INTERVAL:
            self._moved_at = now
            self._move_slow(usable)
            self._leave_draining(usable)
        for step in self._order_steps():
            service = self._find_queue(step.job).service
            for index in sorted(step.waiting):
                choice = choose_host(step, service, usable, self._pressures)
                if choice is None or (choice.harm > 0 and not self._must_run(step.job)):
                    break
                self._start(step, index, choice.host)

    def _move_slow(self, usable: list[HostState]) -> None:
        """Stop tasks that hardly work, for which there is room elsewhere.

        Answers pairs that turn out to press on each other, and serving tasks that come
        to a host later: what stands there would hold up its whole job.
        """
        now = self._clock.boottime()
        moved = 0
        for placement in self._placements.values():
            since = placement.slow_since
            if since is None or now - since < SLOW_LIMIT or moved == MOVES_AT_ONCE:
                continue
            if placement.phase is not RunPhase.RUNNING:
                continue
            service = self._find_queue(placement.step.job).service
            others = [host for host in usable if host.name != placement.host]
            choice = choose_host(placement.step, service, others, self._pressures)
            if choice is not None and choice.harm <= 0:
                moved += 1
                logger.info(
                    "slow run is moved",
                    extra={
                        "job": placement.task.job_id,
                        "task": placement.task.format(),
                        "host": placement.host,
                        "slow_seconds": (now - since).total_seconds(),
                        "room_at": choice.host.name,
                    },
                )
                self._stop(placement)

    def _leave_draining(self, usable: list[HostState]) -> None:
        """Stop lasting tasks on hosts that end soon, for which there is room elsewhere.

        Answers runners that are emptied: what lasts would be away from their end until
        it is noticed.
        """
        moved = 0
        for placement in self._placements.values():
            runner = self.hosts[placement.host].runner
            if (
                moved == MOVES_AT_ONCE
                or runner is None
                or not runner.draining
                or not placement.step.step.lasting
                or placement.phase is not RunPhase.RUNNING
            ):
                continue
            service = self._find_queue(placement.step.job).service
            choice = choose_host(placement.step, service, usable, self._pressures)
            if choice is not None:
                moved += 1
                logger.info(
                    "run leaves a draining host",
                    extra={
                        "job": placement.task.job_id,
                        "task": placement.task.format(),
                        "host": placement.host,
                        "room_at": choice.host.name,
                    },
                )
                self._stop(placement)

    def _must_run(self, job: Job) -> bool:
        """Tell whether a job has had nothing running for as long as it may."""
        if job.idle_since is None and not job.active_runs:
            job.idle_since = self._clock.boottime()
        return (
            job.idle_since is not None
            and self._clock.boottime() - job.idle_since > LONGEST_IDLE
        )

    def _order_steps(self) -> list[StepState]:
        """Order the steps whose turn has come: by priority, then by objective.

        Answers overload: what can still be in time goes before what will be late, and
        both before what is so late that it no longer matters when it ends.
        """
        now = self._clock.now()
        ordered: list[tuple[int, int, datetime, int, StepState]] = []
        for job in self.jobs.values():
            if job.phase.final or not self._may_start(job):
                continue
            queue = self._find_queue(job)
            for number, steps in job.occurrences.items():
                ready = [step for step in steps if _is_ready(step, steps)]
                if not ready:
                    continue
                deadline = job.find_deadline(number, queue)
                due = job.due_at(number)
                ends = now + job.find_remaining(number)
                lateness = int(ends > deadline)
                lateness += int(ends > due + LATE_FACTOR * (deadline - due))
                for step in ready:
                    rank = 0 if step.step.lasting else lateness
                    ordered.append((queue.priority, rank, deadline, job.offset, step))
        ordered.sort(key=lambda row: (row[0], row[1], row[2], row[3]))
        return [row[-1] for row in ordered]

    def _may_start(self, job: Job) -> bool:
        if job.offset >= self._confirmed_end:
            return False
        return self._gate_open or job.offset >= self._fence_offset

    def _start(self, step: StepState, index: int, host: HostState) -> None:
        task = step.tasks[index]
        run = max(task.run, task.ended_run) + 1
        placement = self._place(step, index, host, run)
        placement.number = host.add_order(
            StartOrder(
                placement.task.format(),
                run,
                step.job.definition.spec,
                task.checkpoint,
                "",
                _build_profile(step.step),
            )
        )
        logger.info(
            "run ordered",
            extra={
                "job": step.job.job_id,
                "task": placement.task.format(),
                "run": run,
                "host": host.name,
                "free_cpu": host.free_cpu,
                "filling_cpu": host.filling_cpu,
                "report_age": (
                    self._clock.boottime() - host.reported_at
                ).total_seconds(),
            },
        )

    # Output

    def take_orders(self) -> Iterable[tuple[HostState, HostOrders]]:
        """Return the orders to send now, and answers to reports."""
        now = self._clock.boottime()
        authority = self._authority_until - now
        for host in self.hosts.values():
            if not host.incarnation:
                continue
            resend = host.pending and now - host.pending_sent_at > RESEND_AFTER
            if not host.reply_due and not resend:
                continue
            host.reply_due = False
            sent: tuple[NumberedOrder, ...] = ()
            if resend and host.attached:
                sent = tuple(host.pending)
                host.pending_sent_at = now
            if host.attached and authority > timedelta():
                # The agent counts from the sending of its last report.
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
                    orders=sent,
                    profiles=self._take_profiles(host),
                    pressures=self._take_pressures(host),
                    controllers=self.controllers,
                ),
            )

    def _take_profiles(self, host: HostState) -> dict[str, TaskProfile]:
        if not host.profiles_due:
            return {}
        host.profiles_due = False
        return {
            key.format(): _build_profile(self._placements[key].step.step)
            for key in host.tasks
        }

    def _take_pressures(self, host: HostState) -> tuple[Pressure, ...]:
        if not host.pressures_due:
            return ()
        host.pressures_due = False
        return self._pressures.list_for(+host.serving_images)

    def take_changes(self) -> Changes:
        """Return what has to be made durable."""
        records = [
            LogChange(
                RecordKey(RecordKind.PROGRESS, job_id),
                encode_record(self.jobs[job_id].describe()),
            )
            for job_id in sorted(self._changed_jobs)
            if job_id in self.jobs
        ]
        hosts = []
        for name, present in self._changed_hosts.items():
            key = RecordKey(RecordKind.HOST, name)
            value = b""
            if present and name in self.hosts:
                value = encode_record(HostRecord(self.hosts[name].address))
                hosts.append(name)
            records.append(LogChange(key, value))
        for job_id in self._expired:
            for kind in (
                RecordKind.JOB,
                RecordKind.CANCELLATION,
                RecordKind.PROGRESS,
            ):
                records.append(LogChange(RecordKey(kind, job_id), b""))
        self._changed_jobs.clear()
        self._changed_hosts.clear()
        self._expired.clear()
        ends = {
            host.name: (host.runner.born if host.runner else 0, host.ends_seen)
            for host in self.hosts.values()
            if host.ends_seen > host.ends_durable
        }
        return Changes(tuple(records), ends, tuple(hosts))

    @property
    def has_changes(self) -> bool:
        """Tell whether something has to be made durable."""
        return bool(self._changed_jobs or self._changed_hosts or self._expired)

    def mark_durable(self, changes: Changes) -> None:
        """Note that changes are on the log."""
        for name, (born, number) in changes.ends.items():
            host = self.hosts.get(name)
            if host is not None and host.runner and host.runner.born == born:
                host.ends_durable = max(host.ends_durable, number)
                # Until the agent hears of it, its runner lists the ends again.
                host.reply_due = True
        for name in changes.hosts:
            host = self.hosts.get(name)
            if host is not None:
                host.registered = True


def _build_profile(step: Step) -> TaskProfile:
    target = step.target / timedelta(milliseconds=1)
    return TaskProfile(step.cpu, step.fills, step.image, target)


def _is_ready(step: StepState, steps: list[StepState]) -> bool:
    if not step.waiting:
        return False
    return all(steps[earlier].complete for earlier in step.step.depends_on)


def _is_reborn(host: HostState, report: HostReport) -> bool:
    known = host.runner
    return (
        known is not None
        and report.runner is not None
        and known.born != report.runner.born
    )


def _list_runs(report: HostReport) -> frozenset[tuple[str, int]]:
    runs = {(running.task, running.run) for running in report.running}
    return frozenset(runs | set(report.starting))

"""Handling of hosts' reports about attempts, and the resulting records."""

from returns.result import Success

from egretcrank.jobs.context import JobOwnerContext
from egretcrank.jobs.interfaces import Placement
from egretcrank.jobs.model import (
    ACTIVE_STATES,
    Ending,
    Repeat,
    ReportedState,
    split_task_id,
)
from egretcrank.stream.records import (
    TaskCheckpointed,
    TaskEnded,
    TaskEvicted,
    TaskNotStarted,
)
from egretcrank.wire.messages import TaskReport

# Number of failed attempts after which a task has failed. Fewer failures may be due to
# the hosts.
MAX_FAILED_ATTEMPTS = 3


class ReportRecorder:
    """Updates placements from reports and records the ends of attempts."""

    def __init__(self, context: JobOwnerContext) -> None:
        self._context = context

    async def apply_report(
        self,
        report: TaskReport,
        host: str,
        incarnation: int,
        stamp: float,
        *,
        is_event: bool = False,
    ) -> bool:
        """Apply the state of an attempt; return whether the host may forget it."""
        job, name = split_task_id(report.task)
        task = self._context.state.find_task(job, name)
        is_current = (
            task is not None and task.ending is None and task.attempt == report.attempt
        )
        placement = self._context.placements.get(report.task)
        is_on_host = placement is not None and placement.host == host
        if report.state in ACTIVE_STATES:
            if (
                placement is not None
                and is_on_host
                and placement.attempt == report.attempt
            ):
                await self._update_placement(report, placement, incarnation, stamp)
            elif is_current and placement is None and not is_event:
                self._adopt_attempt(report, host, incarnation, stamp)
            elif not is_event:
                self._context.orphans[(report.task, report.attempt)] = host
            return True
        if task is not None and report.attempt > task.attempt:
            # Only an owner whose state lags behind its successor's can see this.
            return False
        self._context.orphans.pop((report.task, report.attempt), None)
        ends_placement = (
            placement is not None and is_on_host and placement.attempt == report.attempt
        )
        if (
            ends_placement
            and placement
            and report.state in {ReportedState.DONE, ReportedState.FAILED}
        ):
            # A short attempt may end before it was ever reported as running.
            self._context.notify_start(report.task, placement)
        # If the attempt is now placed on another host, a report of this host must not
        # end it there, unless the report says that the task is done.
        if is_current and (
            placement is None or is_on_host or report.state == ReportedState.DONE
        ):
            await self._record_attempt_end(report, job, name, host)
            task = self._context.state.find_task(job, name)
            if task and task.ending is None and task.attempt == report.attempt:
                return False
        if ends_placement:
            self._context.notify_end(report.task, report.state)
            self._context.placements.pop(report.task, None)
        return True

    async def _update_placement(
        self,
        report: TaskReport,
        placement: Placement,
        incarnation: int,
        stamp: float,
    ) -> None:
        now = self._context.clock.monotonic()
        since = placement.checkpointed_at or now
        placement = placement._replace(
            confirmed=report.state == ReportedState.RUNNING or placement.confirmed,
            incarnation=max(incarnation, placement.incarnation),
            reported_stamp=max(stamp, placement.reported_stamp),
            progress=report.progress,
            checkpointed_at=since,
        )
        self._context.placements[report.task] = placement
        if placement.confirmed:
            self._context.notify_start(report.task, placement)
        if now - since < self._context.settings.cluster.checkpoint_record_seconds:
            return
        job, name = split_task_id(report.task)
        task = self._context.state.find_task(job, name)
        if task is None or report.checkpoint in {"", task.checkpoint}:
            return
        self._context.placements[report.task] = placement._replace(checkpointed_at=now)
        await self._context.append(
            TaskCheckpointed(
                self._context.partition,
                self._context.epoch,
                job,
                name,
                report.attempt,
                report.checkpoint,
            )
        )

    def _adopt_attempt(
        self, report: TaskReport, host: str, incarnation: int, stamp: float
    ) -> None:
        placement = Placement(
            host,
            incarnation,
            report.attempt,
            report.state == ReportedState.RUNNING,
            True,
            False,
            stamp,
            report.progress,
            self._context.clock.monotonic(),
        )
        self._context.placements[report.task] = placement
        if placement.confirmed:
            self._context.notify_start(report.task, placement)
        self._context.unresolved_since.pop(report.task, None)
        self._context.former_attempts_closed.add(report.task)
        self._context.record_decision(
            report.task, "adopt", host, f"host reported it {report.state}"
        )

    async def _record_attempt_end(
        self, report: TaskReport, job: str, name: str, host: str
    ) -> None:
        """Append the record that follows from the end of an attempt."""
        is_non_repeatable = self._context.state.jobs[job].spec.repeat == Repeat.NEVER
        reason = report.reason or f"attempt was {report.state}"
        match report.state:
            case ReportedState.DONE:
                await self.record_ending(
                    report.task, Ending.DONE, reason, report.result
                )
            case ReportedState.FAILED:
                failed_on = self._context.failed_on.setdefault(report.task, set())
                failed_on.add((host, report.attempt))
                if is_non_repeatable or len(failed_on) >= MAX_FAILED_ATTEMPTS:
                    await self.record_ending(
                        report.task, Ending.FAILED, reason, report.result
                    )
                else:
                    await self.record_eviction(report, reason)
            case ReportedState.EVICTED if not is_non_repeatable or report.checkpoint:
                await self.record_eviction(report, reason)
            case ReportedState.NOT_STARTED:
                await self.record_not_started(report.task, report.attempt)
            case _ if is_non_repeatable:
                # The work since the last checkpoint may have had side effects.
                await self.record_ending(report.task, Ending.UNKNOWN, reason)
            case _:
                await self.record_eviction(report, reason)

    async def record_eviction(self, report: TaskReport, reason: str) -> None:
        """Record that an attempt ended and that another one may follow."""
        job, name = split_task_id(report.task)
        record = TaskEvicted(
            self._context.partition,
            self._context.epoch,
            job,
            name,
            report.attempt,
            report.checkpoint,
            reason,
        )
        if isinstance(await self._context.append(record), Success):
            self._context.metrics.tasks.inc({"state": "evicted"})
            self._context.record_decision(report.task, "resume", "waiting", reason)

    async def record_ending(
        self, task_id: str, ending: Ending, reason: str, result: str = ""
    ) -> None:
        """Record the final state of a task."""
        job, name = split_task_id(task_id)
        task = self._context.state.find_task(job, name)
        if task is None or task.ending is not None:
            return
        record = TaskEnded(
            self._context.partition,
            self._context.epoch,
            job,
            name,
            task.attempt,
            ending,
            result,
            reason,
        )
        if isinstance(await self._context.append(record), Success):
            self._context.metrics.tasks.inc({"state": ending.value})
            self._context.record_decision(task_id, "end", ending.value, reason)

    async def record_not_started(self, task_id: str, attempt: int) -> None:
        """Drop the placement of an attempt that did not start and never will.

        If the attempt has a recorded intent, its placement is kept until the log has
        the record that it did not start.
        """
        job, name = split_task_id(task_id)
        task = self._context.state.find_task(job, name)
        if task is not None and task.intent is not None:
            placement = self._context.placements.get(task_id)
            if placement is not None and placement.attempt == attempt:
                # The record may be appended late, so do not send the attempt again.
                self._context.placements[task_id] = placement._replace(refused=True)
            await self._context.append(
                TaskNotStarted(
                    self._context.partition, self._context.epoch, job, name, attempt
                )
            )
            task = self._context.state.find_task(job, name)
            if task is not None and task.intent is not None and task.ending is None:
                return
        placement = self._context.placements.get(task_id)
        if placement is not None and placement.attempt == attempt:
            del self._context.placements[task_id]

    async def record_lost(
        self, task_id: str, placement: Placement, reason: str
    ) -> None:
        """Record the loss of an attempt that can no longer be running."""
        if self._context.is_current(task_id, placement.attempt):
            report = TaskReport(
                task=task_id,
                attempt=placement.attempt,
                state=ReportedState.LOST,
                reason=reason,
            )
            job, task = split_task_id(task_id)
            await self._record_attempt_end(report, job, task, placement.host)
        if not self._context.is_current(task_id, placement.attempt):
            self._context.placements.pop(task_id, None)

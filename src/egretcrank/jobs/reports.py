"""What a host reports about an attempt, and the records that follow from it."""

from returns.result import Success

from egretcrank.jobs.context import OwnerContext
from egretcrank.jobs.interfaces import Placement
from egretcrank.jobs.model import ACTIVE_REPORTS, Ending, Repeat, Report, split_task_id
from egretcrank.stream.records import (
    TaskCheckpointed,
    TaskEnded,
    TaskEvicted,
    TaskNotStarted,
)
from egretcrank.wire.messages import TaskReport

# A task that fails on this many hosts has failed; fewer failures may be the hosts'.
FAILURES_BEFORE_END = 3


class ReportRecorder:
    """Keeps placements as reported and records how attempts end."""

    def __init__(self, context: OwnerContext) -> None:
        self._context = context

    async def take_report(
        self,
        report: TaskReport,
        host: str,
        incarnation: int,
        stamp: float,
        *,
        is_event: bool = False,
    ) -> bool:
        """Act on the state of an attempt; tell whether the host may forget it."""
        job, name = split_task_id(report.task)
        task = self._context.state.find_task(job, name)
        current = (
            task is not None and task.ending is None and task.attempt == report.attempt
        )
        placement = self._context.placements.get(report.task)
        here = placement is not None and placement.host == host
        if report.state in ACTIVE_REPORTS:
            if placement is not None and here and placement.attempt == report.attempt:
                await self._note_progress(report, placement, incarnation, stamp)
            elif current and placement is None and not is_event:
                self._adopt(report, host, incarnation, stamp)
            elif not is_event:
                self._context.orphans[(report.task, report.attempt)] = host
            return True
        if task is not None and report.attempt > task.attempt:
            # Only a fold that lags behind its successor's can see this.
            return False
        self._context.orphans.pop((report.task, report.attempt), None)
        ended = placement is not None and here and placement.attempt == report.attempt
        if ended and placement and report.state in {Report.DONE, Report.FAILED}:
            # A short attempt may end before any report that it runs.
            self._context.note_start(report.task, placement)
        # An attempt that was placed elsewhere since had ended here without a result.
        if current and (placement is None or here or report.state == Report.DONE):
            await self._record_end(report, job, name, host)
            task = self._context.state.find_task(job, name)
            if task and task.ending is None and task.attempt == report.attempt:
                return False
        if ended:
            self._context.note_end(report.task, report.state)
            self._context.placements.pop(report.task, None)
        return True

    async def _note_progress(
        self,
        report: TaskReport,
        placement: Placement,
        incarnation: int,
        stamp: float,
    ) -> None:
        now = self._context.clock.monotonic()
        since = placement.checkpointed_at or now
        placement = placement._replace(
            confirmed=report.state == Report.RUNNING or placement.confirmed,
            incarnation=max(incarnation, placement.incarnation),
            seen_stamp=max(stamp, placement.seen_stamp),
            progress=report.progress,
            checkpointed_at=since,
        )
        self._context.placements[report.task] = placement
        if placement.confirmed:
            self._context.note_start(report.task, placement)
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

    def _adopt(
        self, report: TaskReport, host: str, incarnation: int, stamp: float
    ) -> None:
        placement = Placement(
            host,
            incarnation,
            report.attempt,
            report.state == Report.RUNNING,
            True,
            False,
            stamp,
            report.progress,
            self._context.clock.monotonic(),
        )
        self._context.placements[report.task] = placement
        if placement.confirmed:
            self._context.note_start(report.task, placement)
        self._context.unresolved.pop(report.task, None)
        self._context.closed.add(report.task)
        self._context.decide(
            report.task, "adopt", host, f"host reported it {report.state}"
        )

    async def _record_end(
        self, report: TaskReport, job: str, name: str, host: str
    ) -> None:
        """Append what an ended attempt means for its task."""
        never = self._context.state.jobs[job].spec.repeat == Repeat.NEVER
        reason = report.reason or f"attempt was {report.state}"
        match report.state:
            case Report.DONE:
                await self.end(report.task, Ending.DONE, reason, report.result)
            case Report.FAILED:
                failed_on = self._context.failed_on.setdefault(report.task, set())
                failed_on.add((host, report.attempt))
                if never or len(failed_on) >= FAILURES_BEFORE_END:
                    await self.end(report.task, Ending.FAILED, reason, report.result)
                else:
                    await self.evict_recorded(report, reason)
            case Report.EVICTED if not never or report.checkpoint:
                await self.evict_recorded(report, reason)
            case Report.NOT_STARTED:
                await self.record_not_started(report.task, report.attempt)
            case _ if never:
                # The work after its last checkpoint may have had effects.
                await self.end(report.task, Ending.UNKNOWN, reason)
            case _:
                await self.evict_recorded(report, reason)

    async def evict_recorded(self, report: TaskReport, reason: str) -> None:
        """Record that an attempt has ended and another may follow."""
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
            self._context.decide(report.task, "resume", "waiting", reason)

    async def end(
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
            self._context.decide(task_id, "end", ending.value, reason)

    async def record_not_started(self, task_id: str, attempt: int) -> None:
        """Free an attempt that its host has refused for good."""
        job, name = split_task_id(task_id)
        task = self._context.state.find_task(job, name)
        if task is not None and task.intent is not None:
            placement = self._context.placements.get(task_id)
            if placement is not None and placement.attempt == attempt:
                # The record may land late, so the attempt must not be sent again.
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

    async def lose(self, name: str, placement: Placement, reason: str) -> None:
        """Record the end of an attempt that cannot run any more."""
        if self._context.is_current(name, placement.attempt):
            report = TaskReport(
                task=name, attempt=placement.attempt, state=Report.LOST, reason=reason
            )
            job, task = split_task_id(name)
            await self._record_end(report, job, task, placement.host)
        if not self._context.is_current(name, placement.attempt):
            self._context.placements.pop(name, None)

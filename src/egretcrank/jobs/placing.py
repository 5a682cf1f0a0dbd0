"""Placement of waiting tasks on hosts."""

from datetime import timedelta

from egretcrank.jobs.context import JobOwnerContext, run_bounded
from egretcrank.jobs.interfaces import Placement, PlacementDecision, WaitingTask
from egretcrank.jobs.model import Ending, JobState, Repeat, TaskState, build_task_id
from egretcrank.jobs.orders import TaskOrders
from egretcrank.jobs.reports import ReportRecorder
from egretcrank.observability.decisions import Decision
from egretcrank.wire.messages import Resources, TaskReport, TaskSpec
from egretcrank.wire.resources import add_resources, fits

# Keeps the next reconciliation from choosing a full host again immediately.
REFUSAL_BACKOFF = timedelta(seconds=0.5)


class TaskPlacer:
    """Chooses hosts for waiting tasks and starts them."""

    def __init__(
        self, context: JobOwnerContext, orders: TaskOrders, reports: ReportRecorder
    ) -> None:
        self._context = context
        self._orders = orders
        self._reports = reports

    async def place_waiting_tasks(self) -> None:
        """Place and start waiting tasks, urgent and then older ones first."""
        waiting = [
            (job, task)
            for job, task in self._context.list_active_tasks()
            if build_task_id(job.job, task.name) not in self._context.placements
            and task.intent is None
            and self._may_place(job)
        ]
        waiting.sort(key=lambda pair: (not pair[0].spec.urgent, pair[0].accepted_at))
        starts: list[tuple[str, Placement]] = []
        stopping = {task_id for task_id, _ in self._context.orphans}
        for job, task in waiting:
            task_id = build_task_id(job.job, task.name)
            if task_id in stopping:
                self._context.set_waiting_reason(
                    task_id, "a former attempt has not confirmed its stop"
                )
                continue
            current = await self._close_former_attempt(job, task)
            if current is None:
                continue
            spec = next(s for s in job.spec.tasks if s.name == task.name)
            chosen = await self._choose_host(job, current, spec)
            if chosen is not None:
                self._context.placements[task_id] = chosen
                self._context.waiting_reasons.pop(task_id, None)
                starts.append((task_id, chosen))
        await run_bounded(self._orders.start(task_id, p) for task_id, p in starts)

    async def _close_former_attempt(
        self, job: JobState, task: TaskState
    ) -> TaskState | None:
        """Record the end of an attempt that a former owner may have started.

        Its leases have expired. The attempt number is not reused, so that a late report
        cannot be mistaken for one about an attempt of this owner. Returns the current
        state of the task, or ``None`` if it cannot be placed now.
        """
        task_id = build_task_id(job.job, task.name)
        if (
            job.spec.repeat == Repeat.NEVER
            or task_id in self._context.former_attempts_closed
        ):
            return task
        if self._context.epoch > 1 and job.job not in self._context.accepted_here:
            report = TaskReport(task=task_id, attempt=task.attempt)
            await self._reports.record_eviction(report, "not reported after a takeover")
            updated = self._context.state.find_task(job.job, task.name)
            if updated is None or updated.attempt == task.attempt:
                return None
            task = updated
        self._context.former_attempts_closed.add(task_id)
        return task if task.ending is None else None

    def _may_place(self, job: JobState) -> bool:
        if job.job in self._context.accepted_here or job.spec.repeat == Repeat.NEVER:
            return True
        # A former owner may have started this task on a host that has not replied.
        return self._context.clock.monotonic() >= self._context.takeover_until

    async def _choose_host(
        self, job: JobState, task: TaskState, spec: TaskSpec
    ) -> Placement | None:
        task_id = build_task_id(job.job, task.name)
        members = [
            status
            for status in self._context.members()
            if status.liveness == "alive" and status.member.state == "serving"
        ]
        if await self._fail_if_infeasible(task_id, spec):
            return None
        candidates = [
            status
            for status in members
            if fits(spec.resources, status.member.capacity)
            and not self._was_refused_recently(task_id, status.member.host)
        ]
        if not candidates:
            self._context.set_waiting_reason(
                task_id, "no host in service can hold the task now"
            )
            return None
        failed_on = {host for host, _ in self._context.failed_on.get(task_id, ())}
        # Prefer a host on which the task has not failed, since the failure may be due
        # to the host.
        candidates = [
            s for s in candidates if s.member.host not in failed_on
        ] or candidates
        used = self._sum_usage(job.spec.customer)
        if reason := self._context.check_quota(job.spec.customer, used, spec.resources):
            self._context.set_waiting_reason(task_id, reason)
            return None
        waiting = WaitingTask(
            task_id,
            job.spec.customer,
            job.spec.kind,
            job.spec.urgent,
            spec.resources,
            spec.run_seconds,
        )
        choice = self._context.place(
            waiting, candidates, self._context.list_placed_tasks()
        )
        await self._preempt_tasks(choice)
        if choice.host is None:
            self._context.set_waiting_reason(task_id, choice.reason)
            return None
        inputs = {"resources": str(spec.resources), "attempt": task.attempt}
        self._context.decisions.record(
            Decision(
                task_id,
                "place",
                choice.host,
                choice.reason,
                choice.alternatives,
                inputs,
            )
        )
        member = next(s.member for s in candidates if s.member.host == choice.host)
        return Placement(member.host, member.incarnation, task.attempt)

    def _was_refused_recently(self, task_id: str, host: str) -> bool:
        """Return whether a host refused a task within ``REFUSAL_BACKOFF``."""
        refused_at = self._context.refused_at.get((task_id, host))
        if refused_at is None:
            return False
        return self._context.clock.monotonic() < refused_at + REFUSAL_BACKOFF

    async def _fail_if_infeasible(self, task_id: str, spec: TaskSpec) -> bool:
        """Return whether a task is too large for all known hosts.

        A task for which that has been true for some time ends as ``CANNOT_RUN``.
        """
        known_capacities = [
            status.member.capacity for status in self._context.members()
        ]
        if not known_capacities or any(
            fits(spec.resources, capacity) for capacity in known_capacities
        ):
            self._context.infeasible_since.pop(task_id, None)
            return False
        now = self._context.clock.monotonic()
        since = self._context.infeasible_since.setdefault(task_id, now)
        # A host that is being replaced is a member again within this time.
        if now - since < 2 * self._context.settings.cluster.dead_seconds:
            self._context.set_waiting_reason(task_id, "no known host is large enough")
            return True
        largest = Resources(
            max(c.processors for c in known_capacities),
            max(c.memory_mib for c in known_capacities),
            max(c.accelerators for c in known_capacities),
        )
        reason = f"needs {spec.resources}, but the largest hosts have {largest}"
        await self._reports.record_ending(task_id, Ending.CANNOT_RUN, reason)
        return True

    def _sum_usage(self, customer: str) -> Resources:
        total = Resources()
        for placed in self._context.list_placed_tasks():
            if placed.customer == customer:
                total = add_resources(total, placed.resources)
        return total

    async def _preempt_tasks(self, choice: PlacementDecision) -> None:
        for task_id in choice.evict:
            await self._orders.evict(task_id, choice.reason)
        for task_id in choice.throttle:
            await self._orders.throttle(task_id, choice.share, choice.reason)

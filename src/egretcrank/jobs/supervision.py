"""Checks of attempts that were placed or may be running."""

from egretcrank.jobs.context import JobOwnerContext, run_bounded
from egretcrank.jobs.model import Ending, build_task_id
from egretcrank.jobs.orders import TaskOrders
from egretcrank.jobs.reports import ReportRecorder


class TaskSupervisor:
    """Stops stale attempts, ends expired ones and resends unconfirmed starts."""

    def __init__(
        self, context: JobOwnerContext, orders: TaskOrders, reports: ReportRecorder
    ) -> None:
        self._context = context
        self._orders = orders
        self._reports = reports

    async def stop_stale_attempts(self) -> None:
        """Stop attempts that are orphans or no longer current."""
        stops = {
            (task_id, placement.attempt): placement.host
            for task_id, placement in self._context.placements.items()
            if not self._context.is_current(task_id, placement.attempt)
        }
        stops |= self._context.orphans
        await run_bounded(
            self._orders.stop(host, task_id, attempt)
            for (task_id, attempt), host in sorted(stops.items())
        )

    async def end_expired_attempts(self) -> None:
        """Record attempts as lost whose leases expired without a reply of the host."""
        now = self._context.clock.monotonic()
        for task_id, placement in list(self._context.placements.items()):
            session = self._context.sessions.get(placement.host)
            if (
                session is None
                or now < session.received_at + self._context.compute_lease_lifetime()
            ):
                continue
            if not placement.sent:
                self._orders.drop_unsent_placement(
                    task_id, placement, "host gave no session"
                )
                continue
            await self._reports.record_lost(
                task_id, placement, "host did not answer until leases lapsed"
            )
        for (task_id, attempt), host in list(self._context.orphans.items()):
            session = self._context.sessions.get(host)
            if (
                session is None
                or now >= session.received_at + self._context.compute_lease_lifetime()
            ):
                self._context.orphans.pop((task_id, attempt), None)

    async def resend_unconfirmed_starts(self) -> None:
        """Resend starts that no report has confirmed."""
        unconfirmed = [
            (task_id, placement)
            for task_id, placement in self._context.placements.items()
            if not placement.confirmed
            and self._context.is_current(task_id, placement.attempt)
        ]
        await run_bounded(
            self._reports.record_not_started(task_id, p.attempt)
            if p.refused
            else self._orders.start(task_id, p)
            for task_id, p in unconfirmed
        )

    async def resolve_intents(self) -> None:
        """Determine the outcome of recorded intents without a placement.

        The task ends as unknown if its host restarted, or did not report the attempt
        within the lease lifetime.
        """
        for job, task in self._context.list_active_tasks():
            task_id = build_task_id(job.job, task.name)
            if task.intent is None or task_id in self._context.placements:
                continue
            intent = task.intent
            since = self._context.unresolved_since.setdefault(
                task_id, self._context.clock.monotonic()
            )
            session = self._context.sessions.get(intent.host)
            if session is not None and session.incarnation == intent.incarnation:
                await self._orders.stop(intent.host, task_id, intent.attempt)
            waited = self._context.clock.monotonic() - since
            restarted = session is not None and (
                session.incarnation > intent.incarnation
            )
            if not restarted and waited < self._context.compute_lease_lifetime():
                continue
            if self._context.is_current(task_id, intent.attempt) and (
                task_id not in self._context.placements
            ):
                reason = f"host {intent.host} could not tell whether it ran"
                await self._reports.record_ending(task_id, Ending.UNKNOWN, reason)

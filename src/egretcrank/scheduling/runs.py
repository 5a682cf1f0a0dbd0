"""Registry of the runs that may hold capacity of a host."""

import logging
from collections.abc import Iterator, Mapping
from datetime import timedelta

from egretcrank.clock import Clock
from egretcrank.observability.metrics import Metrics
from egretcrank.scheduling.definitions import TaskKey
from egretcrank.scheduling.hosts import HostState
from egretcrank.scheduling.tasks import Placement, RunPhase, StepState
from egretcrank.wire.hosting import HostReport, StopOrder

# Reasons for which a run counts as ended although no end of it was listed.
GONE = "run is gone"
RUNNER_RESTARTED = "runner restarted"
HOST_LOST = "host lost"
UNLISTED_ENDS = frozenset({GONE, RUNNER_RESTARTED, HOST_LOST})

logger = logging.getLogger(__name__)


class Runs:
    """Current runs by task, with their reservations on hosts."""

    def __init__(
        self, hosts: Mapping[str, HostState], clock: Clock, metrics: Metrics
    ) -> None:
        self._hosts = hosts
        self._clock = clock
        self._metrics = metrics
        self._placements: dict[TaskKey, Placement] = {}

    def __iter__(self) -> Iterator[Placement]:
        return iter(self._placements.values())

    def __getitem__(self, key: TaskKey) -> Placement:
        return self._placements[key]

    def find(self, key: TaskKey | None) -> Placement | None:
        """Return the current run of a task, or ``None``."""
        return self._placements.get(key) if key else None

    def place(
        self, step: StepState, index: int, host: HostState, run: int
    ) -> Placement:
        """Add a run of a task and reserve its resources on the host."""
        key = step.get_task_key(index)
        now = self._clock.boottime()
        placement = Placement(key, step, host.name, run, RunPhase.ORDERED, now)
        host.last_start_at = now
        self._placements[key] = placement
        step.waiting.discard(index)
        step.tasks[index].highest_run = max(step.tasks[index].highest_run, run)
        step.spread[host.name] = step.spread.get(host.name, 0) + 1
        if step.started_at is None:
            step.started_at = now
        step.job.active_runs += 1
        step.job.idle_since = None
        host.tasks.add(key)
        host.reserve(step.definition)
        self._metrics.runs.inc({"event": "placed"})
        return placement

    def release(self, placement: Placement, reason: str) -> None:
        """Remove a run that has certainly ended; its task waits again if not done."""
        key = placement.task
        step = placement.step
        del self._placements[key]
        step.spread[placement.host] -= 1
        step.job.active_runs -= 1
        if not step.job.active_runs:
            step.job.idle_since = self._clock.boottime()
        host = self._hosts[placement.host]
        host.tasks.discard(key)
        host.reserve(step.definition, -1)
        if not step.tasks[key.position].done and not step.job.phase.final:
            step.waiting.add(key.position)
        self._metrics.runs.inc({"event": reason})
        lease_left = host.granted_until - self._clock.boottime()
        if reason in UNLISTED_ENDS and lease_left > timedelta():
            self._metrics.early_releases.inc({"reason": reason})
        logger.info(
            "run ended",
            extra={
                "job": key.job_id,
                "task": key.format(),
                "run": placement.run,
                "host": placement.host,
                "reason": reason,
                "lease_left": lease_left.total_seconds(),
                "incarnation": host.incarnation,
                "session": host.session,
                "report": host.sequence,
                "born": host.runner.born if host.runner else 0,
                "silent": host.runner_silent,
                "runner_left": host.runner_left,
            },
        )

    def stop(self, placement: Placement) -> None:
        """Order the agent to stop a run, unless that was done before."""
        if placement.phase is RunPhase.STOPPING:
            return
        placement.phase = RunPhase.STOPPING
        host = self._hosts[placement.host]
        host.add_order(StopOrder(placement.task.format(), placement.run))

    def drop_host_runs(
        self, host: HostState, reason: str, report: HostReport | None
    ) -> None:
        """Release the runs of a host, except those that its report lists.

        Runs whose orders the agent has not applied yet are kept too, as they may still
        start.
        """
        keep = list_runs(report) if report else frozenset()
        for key in list(host.tasks):
            placement = self._placements[key]
            unapplied = report is not None and placement.order_number > report.applied
            if not unapplied and (key.format(), placement.run) not in keep:
                self.release(placement, reason)


def list_runs(report: HostReport) -> frozenset[tuple[str, int]]:
    """Return the running and starting runs of a report."""
    runs = {(running.task, running.run) for running in report.running}
    return frozenset(runs | set(report.starting))

"""Runs that may hold capacity of a host, from their order until their end is known."""

import logging
from collections.abc import Iterator, Mapping

from egretcrank.clock import Clock
from egretcrank.observability.metrics import Metrics
from egretcrank.scheduling.definitions import TaskKey
from egretcrank.scheduling.hosts import HostState
from egretcrank.scheduling.tasks import Placement, RunPhase, StepState
from egretcrank.wire.hosting import HostReport, StopOrder

logger = logging.getLogger(__name__)


class Runs:
    """The run of each task, with what it reserves on its host."""

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
        """Return the run of a task, if it has one."""
        return self._placements.get(key) if key else None

    def place(
        self, step: StepState, index: int, host: HostState, run: int
    ) -> Placement:
        """Reserve what a run of a task needs."""
        key = step.key_of(index)
        placement = Placement(key, step, host.name, run, RunPhase.ORDERED)
        self._placements[key] = placement
        step.waiting.discard(index)
        step.tasks[index].run = max(step.tasks[index].run, run)
        step.spread[host.name] = step.spread.get(host.name, 0) + 1
        if step.began_at is None:
            step.began_at = self._clock.boottime()
        step.job.begun = True
        step.job.active_runs += 1
        step.job.idle_since = None
        host.tasks.add(key)
        host.reserve(step.step)
        self._metrics.runs.inc({"event": "placed"})
        return placement

    def release(self, placement: Placement, reason: str) -> None:
        """Forget a run that has certainly ended, and let its task wait again."""
        key = placement.task
        step = placement.step
        del self._placements[key]
        step.spread[placement.host] -= 1
        step.job.active_runs -= 1
        if not step.job.active_runs:
            step.job.idle_since = self._clock.boottime()
        host = self._hosts[placement.host]
        host.tasks.discard(key)
        host.reserve(step.step, -1)
        if not step.tasks[key.position].done and not step.job.phase.final:
            step.waiting.add(key.position)
        self._metrics.runs.inc({"event": reason})
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

    def stop(self, placement: Placement) -> None:
        """Order the end of a run, once."""
        if placement.phase is RunPhase.STOPPING:
            return
        placement.phase = RunPhase.STOPPING
        host = self._hosts[placement.host]
        host.add_order(StopOrder(placement.task.format(), placement.run))

    def lose(self, host: HostState, reason: str, report: HostReport | None) -> None:
        """Give up the runs of a host, but for those that its report still names.

        Orders that the agent has not taken yet may still be carried out.
        """
        keep = list_runs(report) if report else frozenset()
        for key in list(host.tasks):
            placement = self._placements[key]
            untaken = report is not None and placement.number > report.applied
            if not untaken and (key.format(), placement.run) not in keep:
                self.release(placement, reason)


def list_runs(report: HostReport) -> frozenset[tuple[str, int]]:
    """List the runs that a report names."""
    runs = {(running.task, running.run) for running in report.running}
    return frozenset(runs | set(report.starting))

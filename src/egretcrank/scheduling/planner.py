"""Decisions of a cell: which waiting task starts where, and which run is moved."""

import logging
from collections.abc import Callable, Mapping, Sequence
from datetime import timedelta

from egretcrank.clock import Clock
from egretcrank.policy.sharing import PressureTable
from egretcrank.policy.slowdown import Slowdowns
from egretcrank.scheduling.catalog import Queue
from egretcrank.scheduling.definitions import Step
from egretcrank.scheduling.hosts import HostState
from egretcrank.scheduling.moves import MOVE_INTERVAL, choose_moves
from egretcrank.scheduling.ordering import order_steps
from egretcrank.scheduling.placement import Ranking, find_room
from egretcrank.scheduling.runs import Runs
from egretcrank.scheduling.tasks import Job, StepState
from egretcrank.wire.hosting import StartOrder, TaskProfile

# A job with nothing running gets a task even where it has to be paced.
LONGEST_IDLE = timedelta(seconds=1)
# Tasks that fill wait for seconds until tails fall, and looking for their hosts is the
# dearest decision: a profile at 72 hosts had 63% of the time of choosing hosts in it.
FILL_INTERVAL = timedelta(milliseconds=100)

logger = logging.getLogger(__name__)


class Planner:
    """Gives orders to the hosts of a cell, from what the cell believes now."""

    def __init__(
        self,
        runs: Runs,
        hosts: Mapping[str, HostState],
        pressures: PressureTable,
        find_queue: Callable[[Job], Queue],
        slowdowns: Slowdowns,
        clock: Clock,
    ) -> None:
        self._runs = runs
        self._hosts = hosts
        self._pressures = pressures
        self._find_queue = find_queue
        self._slowdowns = slowdowns
        self._clock = clock
        self._moved_at = timedelta()
        self._filled_at = timedelta()

    def plan(self, jobs: Sequence[Job]) -> None:
        """Place waiting tasks of ``jobs``, none of which runs under another leader."""
        now = self._clock.boottime()
        usable = [host for host in self._hosts.values() if host.is_usable(now)]
        if not usable:
            return
        if now - self._moved_at >= MOVE_INTERVAL:
            self._moved_at = now
            self._move(usable, now)
        fill = now - self._filled_at >= FILL_INTERVAL
        if fill:
            self._filled_at = now
        room = find_room(usable)
        ordered = order_steps(
            jobs, self._find_queue, self._slowdowns, self._clock.now()
        )
        for step in ordered:
            if step.step.fills and not fill:
                continue
            if room.may_hold(step.step) and not self._place(step, usable):
                room = find_room(usable)

    def _place(self, step: StepState, usable: Sequence[HostState]) -> bool:
        """Start the waiting tasks of a step; tell whether there is a host for each."""
        service = self._find_queue(step.job).service
        ranking = Ranking(step, service, usable, self._pressures)
        for index in sorted(step.waiting):
            choice = ranking.best
            if choice is None or not (choice.worthwhile or self._must_run(step.job)):
                return False
            self._start(step, index, choice.host)
            ranking.renew_best()
        return True

    def _must_run(self, job: Job) -> bool:
        """Tell whether a job has had nothing running for as long as it may."""
        if job.idle_since is None and not job.active_runs:
            job.idle_since = self._clock.boottime()
        return (
            job.idle_since is not None
            and self._clock.boottime() - job.idle_since > LONGEST_IDLE
        )

    def _move(self, usable: list[HostState], now: timedelta) -> None:
        moves = choose_moves(
            self._runs, self._hosts, usable, self._find_queue, self._pressures, now
        )
        for move in moves:
            logger.info(
                "run is moved",
                extra={
                    "job": move.placement.task.job_id,
                    "task": move.placement.task.format(),
                    "host": move.placement.host,
                    "reason": move.reason,
                    "room_at": move.room_at,
                },
            )
            self._runs.stop(move.placement)

    def _start(self, step: StepState, index: int, host: HostState) -> None:
        task = step.tasks[index]
        run = max(task.run, task.ended_run) + 1
        placement = self._runs.place(step, index, host, run)
        placement.number = host.add_order(
            StartOrder(
                placement.task.format(),
                run,
                step.job.definition.spec,
                task.checkpoint,
                "",
                build_profile(step.step),
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


def build_profile(step: Step) -> TaskProfile:
    """Return what an agent has to know of the tasks of a step."""
    target = step.target / timedelta(milliseconds=1)
    return TaskProfile(step.cpu, step.fills, step.image, target)

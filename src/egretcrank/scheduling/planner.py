"""Placement of waiting tasks and moves of running ones."""

import logging
from collections.abc import Callable, Mapping, Sequence
from datetime import timedelta

from egretcrank.clock import Clock
from egretcrank.observability.metrics import Metrics
from egretcrank.policy.pressures import PressureTable
from egretcrank.policy.slowdown import Slowdowns
from egretcrank.scheduling.catalog import Queue
from egretcrank.scheduling.crashes import CrashRecorder
from egretcrank.scheduling.definitions import Step
from egretcrank.scheduling.evacuation import is_evacuated
from egretcrank.scheduling.host_health import HEALTHY, HostHealth
from egretcrank.scheduling.hosts import HostState
from egretcrank.scheduling.locality import (
    LocalityPolicy,
    StartAnywhere,
    StartInRack,
    WaitUntil,
    wants_rack,
)
from egretcrank.scheduling.moves import MOVE_INTERVAL, choose_moves
from egretcrank.scheduling.ordering import order_steps
from egretcrank.scheduling.placement import (
    Ranking,
    find_busy_share,
    find_max_free,
    is_eligible,
)
from egretcrank.scheduling.runs import Runs
from egretcrank.scheduling.settings import CellSettings
from egretcrank.scheduling.tasks import Job, StepState
from egretcrank.scheduling.trials import Trials, list_unsuspected
from egretcrank.wire.hosting import StartOrder, TaskProfile

# A job without a running task for this long gets one even if its gain is low, while the
# hosts are mostly free.
MAX_JOB_IDLE = timedelta(seconds=1)
MAX_BUSY_SHARE = 0.5
# A job without a running task for this long gets one however busy the hosts are.
MAX_BUSY_JOB_IDLE = timedelta(seconds=10)
# Best-effort tasks are placed at most once per interval, as ranking hosts for them is
# the most expensive decision: 63% of the host selection time in a profile of 72 hosts.
# The delay is short next to the seconds for which they wait for tail latency to fall.
BEST_EFFORT_INTERVAL = timedelta(milliseconds=100)

logger = logging.getLogger(__name__)


class Planner:
    """Starts and moves tasks on the hosts of a cell."""

    def __init__(
        self,
        runs: Runs,
        hosts: Mapping[str, HostState],
        pressures: PressureTable,
        find_queue: Callable[[Job], Queue],
        slowdowns: Slowdowns,
        clock: Clock,
        crashes: CrashRecorder,
        metrics: Metrics,
        settings: CellSettings,
    ) -> None:
        self._runs = runs
        self._hosts = hosts
        self._pressures = pressures
        self._find_queue = find_queue
        self._slowdowns = slowdowns
        self._clock = clock
        self.health = HostHealth(runs, hosts, clock, metrics)
        self._health_view = HEALTHY
        self._moved_at = timedelta()
        self._best_effort_planned_at = timedelta()
        self._locality: LocalityPolicy | None = None
        if settings.remote_factor > 1:
            self._locality = LocalityPolicy(
                settings, clock, slowdowns, metrics, find_queue, pressures
            )
        self._trials = Trials(
            runs, hosts, find_queue, self._start, crashes, clock, metrics
        )

    def plan(
        self, jobs: Sequence[Job], evacuated: frozenset[str] = frozenset()
    ) -> None:
        """Place waiting tasks of ``jobs``, none of which another leader can start.

        Nothing is placed in ``evacuated`` failure domains.
        """
        now = self._clock.boottime()
        usable = [
            host
            for host in self._hosts.values()
            if host.is_usable(now) and not is_evacuated(host, evacuated)
        ]
        if not usable:
            return
        view = self._health_view = self.health.review(usable, now)
        all_usable = usable
        avoided = [host for host in usable if host.name in view.avoided]
        if avoided:
            usable = [host for host in usable if host.name not in view.avoided]
        if now - self._moved_at >= MOVE_INTERVAL:
            self._moved_at = now
            self._move(usable, now)
        include_best_effort = now - self._best_effort_planned_at >= BEST_EFFORT_INTERVAL
        if include_best_effort:
            self._best_effort_planned_at = now
        ordered = order_steps(
            jobs, self._find_queue, self._slowdowns, self._clock.now()
        )
        if self._locality is not None:
            self._locality.review(usable, now)
        usable = self._trials.plan(ordered, usable)
        if avoided:
            avoided = [host for host in avoided if not self._trials.is_kept(host)]
            if include_best_effort:
                testable = [host for host in avoided if host.name in view.testable]
                self._test_hosts(ordered, testable)
        max_free = find_max_free(usable)
        for step in ordered:
            if step.definition.best_effort and not include_best_effort:
                continue
            if max_free.may_fit(step.definition) and not self._place(step, usable):
                max_free = find_max_free(usable)
            if avoided and step.waiting and include_best_effort:
                self._place_on_avoided(step, usable, avoided, all_usable)

    def _test_hosts(
        self, ordered: Sequence[StepState], hosts: Sequence[HostState]
    ) -> None:
        """Start one task on each host, of the steps that are placed last."""
        for host in hosts:
            for step in reversed(ordered):
                index = self._find_test_task(step, host)
                if index is not None:
                    self._start(step, index, host)
                    self.health.begin_trial(self._runs[step.get_task_key(index)])
                    break

    def _place_on_avoided(
        self,
        step: StepState,
        usable: Sequence[HostState],
        avoided: Sequence[HostState],
        all_usable: Sequence[HostState],
    ) -> None:
        """Start one task of a starved job that only avoided hosts can run.

        Otherwise it would wait for all of a quarantine. Further tasks wait for the end
        of this one, as the host may fail it.
        """
        left = [host for host in avoided if not self.health.has_trial(host.name)]
        if not left or step.job.active_runs:
            return
        service = self._find_queue(step.job).service
        best = Ranking(step, service, left, self._pressures).best
        pool = [h for h in all_usable if h.runner and h.runner.service == service]
        if (
            best is None
            or any(is_eligible(step, service, host) for host in usable)
            or not self._is_starved(step.job, pool)
        ):
            return
        for index in list_unsuspected(step)[:1]:
            self._start(step, index, best.host)
            self.health.begin_trial(self._runs[step.get_task_key(index)])

    def _find_test_task(self, step: StepState, host: HostState) -> int | None:
        """Return a task for which a failure on the host would not be the last one."""
        queue = self._find_queue(step.job)
        if step.definition.long_running or queue.max_attempts < 2:
            return None
        if wants_rack(step.definition) and host.rack != step.definition.rack:
            return None
        excluded = self.health.list_excluded(step.job.job_id, self._clock.boottime())
        best = Ranking(step, queue.service, [host], self._pressures).best
        if best is None or not best.worthwhile:
            return None
        spare = (
            index
            for index in list_unsuspected(step)
            if step.tasks[index].failures + 1 < queue.max_attempts
            and not (step.tasks[index].failures and host.name in excluded)
        )
        return next(spare, None)

    def _place(self, step: StepState, usable: Sequence[HostState]) -> bool:
        """Start the waiting tasks of a step; return whether all found a host."""
        indices = list_unsuspected(step)
        if not indices:
            return True
        excluded = self.health.list_excluded(step.job.job_id, self._clock.boottime())
        if not excluded or step.definition.long_running:
            return self._place_tasks(step, indices, usable)
        # A host that has failed tasks of this job must not use up their attempts.
        failed = [index for index in indices if step.tasks[index].failures]
        others = [index for index in indices if not step.tasks[index].failures]
        left = [host for host in usable if host.name not in excluded]
        all_retried = self._place_tasks(step, failed, left)
        return self._place_tasks(step, others, usable) and all_retried

    def _place_tasks(
        self, step: StepState, indices: list[int], usable: Sequence[HostState]
    ) -> bool:
        """Start tasks where their step's rack allows; return whether all were."""
        if self._locality is None:
            return not self._start_each(step, indices, usable, usable)
        if wants_rack(step.definition):
            return self._place_by_rack(step, indices, usable, self._locality)
        contested = self._locality.contested_racks
        # Serving tasks are packed by image, which matters for longer than a wait.
        if contested and not step.definition.target:
            others = [host for host in usable if host.rack not in contested]
            indices = self._start_each(step, indices, others)
        return not self._start_each(step, indices, usable, usable)

    def _start_each(
        self,
        step: StepState,
        indices: list[int],
        hosts: Sequence[HostState],
        usable: Sequence[HostState] = (),
    ) -> list[int]:
        """Start tasks on the best of the hosts; return those for which none is good.

        A task of a starved job needs no good host, if the usable hosts are given.
        """
        if not indices:
            return []
        service = self._find_queue(step.job).service
        penalties = self._health_view.penalties
        ranking = Ranking(step, service, hosts, self._pressures, penalties)
        for position, index in enumerate(indices):
            candidate = ranking.best
            if candidate is None or not (
                candidate.worthwhile or (usable and self._is_starved(step.job, usable))
            ):
                return indices[position:]
            self._start(step, index, candidate.host)
            ranking.rerank_best()
        return []

    def _place_by_rack(
        self,
        step: StepState,
        indices: list[int],
        usable: Sequence[HostState],
        locality: LocalityPolicy,
    ) -> bool:
        """Start the tasks of a step that wants a rack, except those that wait for it.

        Returns whether all found a host.
        """
        now = self._clock.boottime()
        while indices:
            match locality.decide(step, usable, self._runs, now, len(indices)):
                case StartInRack(rack):
                    near = [host for host in usable if host.rack == rack]
                    left = self._start_each(step, indices, near)
                    if len(left) == len(indices):
                        return not self._start_anywhere(step, indices, usable, locality)
                    indices = left
                case WaitUntil(rack=rack, tasks=tasks):
                    others = [host for host in usable if host.rack != rack]
                    self._start_anywhere(step, indices[tasks:], others, locality)
                    return False
                case StartAnywhere():
                    return not self._start_anywhere(step, indices, usable, locality)
        return True

    def _start_anywhere(
        self,
        step: StepState,
        indices: list[int],
        hosts: Sequence[HostState],
        locality: LocalityPolicy,
    ) -> list[int]:
        """Start tasks outside of their rack, last in contested racks.

        Hosts in the step's rack that are not worthwhile would be ranked first.
        """
        contested = locality.contested_racks
        remote = [host for host in hosts if host.rack != step.definition.rack]
        if contested:
            free = [host for host in remote if host.rack not in contested]
            indices = self._start_each(step, indices, free)
        indices = self._start_each(step, indices, remote)
        return self._start_each(step, indices, hosts, hosts)

    def _is_starved(self, job: Job, usable: Sequence[HostState]) -> bool:
        """Return whether a job has long been idle although most capacity is free.

        Under overload it waits for a host where it gets on. A single slow task of each
        waiting job would end none of them sooner, and slow down those that are running.
        Starts the idle time of a job that has had no run under this leader.
        """
        if job.idle_since is None and not job.active_runs:
            job.idle_since = self._clock.boottime()
        if job.idle_since is None:
            return False
        idle = self._clock.boottime() - job.idle_since
        if idle > MAX_JOB_IDLE and find_busy_share(usable) < MAX_BUSY_SHARE:
            return True
        return idle > MAX_BUSY_JOB_IDLE

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
                    "room_at": move.alternative_host,
                },
            )
            self._runs.stop(move.placement)

    def _start(self, step: StepState, index: int, host: HostState) -> None:
        task = step.tasks[index]
        run = max(task.highest_run, task.ended_run) + 1
        placement = self._runs.place(step, index, host, run)
        placement.order_number = host.add_order(
            StartOrder(
                placement.task.format(),
                run,
                step.job.definition.spec,
                task.checkpoint,
                "",
                build_profile(step.definition),
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
                "filling_cpu": host.reserved_best_effort_cpu,
                "report_age": (
                    self._clock.boottime() - host.reported_at
                ).total_seconds(),
            },
        )


def build_profile(step: Step) -> TaskProfile:
    """Return the properties of a step's tasks by which an agent controls paces."""
    target = step.target / timedelta(milliseconds=1)
    return TaskProfile(step.cpu, step.best_effort, step.image, target)

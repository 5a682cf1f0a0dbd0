"""The decisions on batch work, behind one class."""

import random
from collections.abc import Mapping, Sequence
from dataclasses import replace
from datetime import timedelta
from enum import StrEnum
from typing import NamedTuple

from egretcrank.clock import Clock
from egretcrank.policy.health import OnTrial, SetAside, Usable, WorkerHealth
from egretcrank.policy.interference import (
    Occupancy,
    PairEstimates,
    TaskUsage,
    UsageReport,
    find_band,
)
from egretcrank.policy.placement import (
    KNOWN_DEVIATION,
    Alternative,
    HostView,
    Outlook,
    Placement,
    RunningTask,
    Wait,
    WaitingTask,
    Weights,
    choose_host,
    choose_spread,
    find_upper,
)
from egretcrank.policy.quotas import (
    Preemption,
    Quota,
    choose_preemption,
    order_waiting,
)
from egretcrank.policy.reaction import Action, Pressure, Reaction
from egretcrank.policy.sizes import SizeEstimates
from egretcrank.wire.messages import Resources
from egretcrank.wire.resources import fits

# Slowdown of a service that is tolerated by a plan that gives tail latency no weight.
LARGEST_BUDGET = 0.28

# Measured slowdowns older than this say nothing about now.
MEASUREMENT_AGE = timedelta(minutes=2)


class Outcome(StrEnum):
    """How an attempt of a task ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"


class _Running(NamedTuple):
    task: WaitingTask
    host: str
    checkpointed: timedelta


class _Measured(NamedTuple):
    slowdown: float
    time: timedelta


class Scheduler:
    """Places tasks, learns from reports and reacts; performs no input or output.

    The caller reports each start, change of share, checkpoint and end; the clock is
    read only through ``monotonic``.
    """

    def __init__(self, clock: Clock, rng: random.Random, weights: Weights) -> None:
        self._clock = clock
        self._rng = rng
        self._weights = weights
        self._pairs = PairEstimates()
        self._occupancy = Occupancy()
        self._sizes = SizeEstimates()
        self._health = WorkerHealth()
        self._reaction = Reaction()
        self._running: dict[str, _Running] = {}
        self._measured: dict[str, _Measured] = {}

    @property
    def budget(self) -> float:
        """Return the slowdown of a service that the weights tolerate."""
        return float(LARGEST_BUDGET * (1.0 - self._weights.tail_share) ** 0.5)

    def order(
        self, waiting: Sequence[WaitingTask], quotas: Mapping[str, Quota]
    ) -> list[WaitingTask]:
        """Order waiting tasks by urgency and by the quotas of their customers."""
        return order_waiting(waiting, quotas)

    def place(
        self, task: WaitingTask, members_view: Sequence[HostView]
    ) -> Placement | Wait:
        """Choose a host for ``task``, or say why it waits."""
        if self._health.cannot_run(task.job):
            return Wait(task.task, "the job failed on every worker tried", True)
        usable = [host for host in members_view if self._is_usable(host)]
        if not usable:
            return Wait(task.task, "no usable worker")
        if not any(fits(task.declared, host.capacity) for host in members_view):
            return Wait(task.task, "larger than any host")
        bound = self._sizes.bound(task.kind, task.declared)
        failed = self._health.list_failed(task.job)
        fresh = [host for host in usable if host.host not in failed]
        probed = self._list_probed(task.kind, members_view)
        return choose_host(
            task,
            bound,
            fresh or usable,
            lambda host: self._predict(task.kind, host, probed),
            self._weights,
            self.budget,
            self._rng,
        )

    def place_unmeasured(
        self, task: WaitingTask, members_view: Sequence[HostView]
    ) -> Placement | Wait:
        """Choose a host by health, spread and free processors alone.

        For kinds of unknown interference while no usage reports arrive: exploration
        would hold them back without ever learning more.
        """
        able = [h for h in members_view if fits(task.declared, h.capacity)]
        if not able:
            return Wait(task.task, "larger than any host")
        # With every worker set aside, the jobs are as suspect as the workers.
        usable = [host for host in able if self._is_usable(host)] or able
        fitting = [host for host in usable if fits(task.declared, host.free)]
        if not fitting:
            return Wait(task.task, "no usable worker has the resources free")
        # One bad task must not make all others of its job wait for the other workers.
        failed = self._health.list_failed(task.job)
        fitting = [host for host in fitting if host.host not in failed] or fitting
        self._rng.shuffle(fitting)
        best = choose_spread(task, fitting, members_view)
        others = tuple(
            Alternative(host.host, None, "fits") for host in fitting if host != best
        )
        reason = "interference unknown: most free processors after health and spread"
        return Placement(task.task, best.host, task.declared, 1.0, reason, others)

    def preempt(
        self, task: WaitingTask, members_view: Sequence[HostView]
    ) -> Preemption | None:
        """Choose tasks to evict so that an urgent task can start."""
        bound = self._sizes.bound(task.kind, task.declared)
        return self._preempt_for(task, bound, members_view)

    def preempt_unmeasured(
        self, task: WaitingTask, members_view: Sequence[HostView]
    ) -> Preemption | None:
        """Choose tasks to evict as ``place_unmeasured`` places, by declared sizes."""
        return self._preempt_for(task, task.declared, members_view)

    def _preempt_for(
        self, task: WaitingTask, bound: Resources, members_view: Sequence[HostView]
    ) -> Preemption | None:
        if not task.urgent:
            return None
        usable = [host for host in members_view if self._is_usable(host)]
        time = self._clock.monotonic()
        losses = {
            name: (time - running.checkpointed).total_seconds()
            for name, running in self._running.items()
        }
        return choose_preemption(task.declared, bound, usable, losses)

    def observe(self, report: UsageReport) -> None:
        """Fold a late report into sizes and pair estimates."""
        for usage in report.tasks:
            self._observe_size(report, usage)
        doses = self._occupancy.measure_doses(report.host, report.start, report.end)
        self._pairs.observe(report, doses)
        slowdown = self._pairs.measure_slowdown(report)
        self._measured[report.host] = _Measured(slowdown, report.end)

    def react(self, members_view: Sequence[HostView]) -> tuple[Action, ...]:
        """Return the actions on running tasks, least costly first."""
        time = self._clock.monotonic()
        pressures = [self._measure_pressure(host, time) for host in members_view]

        def find_target(task: RunningTask, source: HostView) -> str | None:
            return self._find_target(task, source, members_view)

        return self._reaction.decide(
            pressures, self._weights, self.budget, find_target, time
        )

    def record_start(self, task: WaitingTask, host: str, share: float) -> None:
        """Record that an attempt of ``task`` runs on ``host``."""
        time = self._clock.monotonic()
        self._running[task.task] = _Running(task, host, time)
        self._occupancy.record(host, task.task, task.kind, share, time)
        self._health.record_start(host, task.task)

    def record_share(self, task: str, share: float) -> None:
        """Record that a running task has another share of its processors."""
        running = self._running.get(task)
        if running is not None:
            time = self._clock.monotonic()
            kind = running.task.kind
            self._occupancy.record(running.host, task, kind, share, time)

    def record_checkpoint(self, task: str) -> None:
        """Record that a running task can now be resumed without loss."""
        running = self._running.get(task)
        if running is not None:
            checkpointed = self._clock.monotonic()
            self._running[task] = running._replace(checkpointed=checkpointed)

    def record_end(self, task: str, outcome: Outcome) -> None:
        """Record that an attempt ended."""
        running = self._running.pop(task, None)
        if running is None:
            return
        time = self._clock.monotonic()
        self._occupancy.close(task, time)
        self._reaction.forget(task)
        match outcome:
            case Outcome.DONE:
                self._health.record_success(running.host, running.task.job)
            case Outcome.FAILED:
                self._health.record_failure(running.host, running.task.job, time)
            case Outcome.STOPPED:
                self._health.end_trial(running.host)

    def _observe_size(self, report: UsageReport, usage: TaskUsage) -> None:
        """Fold the use of a task, unless its share changed during the period."""
        running = self._running.get(usage.task)
        share = self._occupancy.find_share(
            report.host, usage.task, report.start, report.end
        )
        if running is None or not share:
            return
        task = running.task
        # A throttled task uses fewer processors than it would at full speed.
        full = replace(usage.used, processors=usage.used.processors / share)
        self._sizes.observe(task.task, task.kind, task.declared, full)

    def _is_usable(self, host: HostView) -> bool:
        match self._health.find_condition(host.host, self._clock.monotonic()):
            case Usable():
                return True
            case OnTrial():
                return not host.tasks
            case SetAside():
                return False

    def _predict(self, kind: str, host: HostView, probed: frozenset[str]) -> Outlook:
        band = find_band(host.load)
        estimate = self._pairs.estimate(host.service, band, kind)
        doses = [(task.kind, task.share) for task in host.tasks]
        return Outlook(
            estimate,
            self._pairs.sum_slowdowns(host.service, band, doses),
            host.service not in probed,
        )

    def _list_probed(self, kind: str, hosts: Sequence[HostView]) -> frozenset[str]:
        """Return the services on which the effect of ``kind`` is being measured."""
        return frozenset(
            host.service
            for host in hosts
            if any(task.kind == kind for task in host.tasks)
            and self._is_unknown(host, kind)
        )

    def _is_unknown(self, host: HostView, kind: str) -> bool:
        estimate = self._pairs.estimate(host.service, find_band(host.load), kind)
        return estimate.deviation > KNOWN_DEVIATION

    def _measure_pressure(self, host: HostView, time: timedelta) -> Pressure:
        band = find_band(host.load)
        estimates = {
            task.task: self._pairs.estimate(host.service, band, task.kind)
            for task in host.tasks
        }
        slowdowns = {name: max(0.0, found.mean) for name, found in estimates.items()}
        uppers = {
            name: find_upper(found, self._weights) for name, found in estimates.items()
        }
        measured = self._measured.get(host.host)
        recent = measured is not None and time - measured.time < MEASUREMENT_AGE
        slowdown = measured.slowdown if measured is not None and recent else None
        return Pressure(host, slowdowns, uppers, slowdown)

    def _find_target(
        self, task: RunningTask, source: HostView, hosts: Sequence[HostView]
    ) -> str | None:
        """Return the host on which a held task can run at full speed."""
        for host in hosts:
            if host.host == source.host or not self._is_usable(host):
                continue
            if not fits(task.reserved, host.free):
                continue
            outlook = self._predict(task.kind, host, frozenset())
            upper = find_upper(outlook.estimate, self._weights)
            present = find_upper(outlook.present, self._weights)
            if present + upper <= self.budget:
                return host.host
        return None

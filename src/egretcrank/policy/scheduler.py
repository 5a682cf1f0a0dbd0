"""Scheduling of batch tasks: placement, preemption and reaction to interference."""

import random
from collections.abc import Mapping, Sequence
from dataclasses import replace
from datetime import timedelta
from enum import StrEnum
from typing import NamedTuple

from egretcrank.clock import Clock
from egretcrank.policy.health import OnProbation, Quarantined, Usable, WorkerHealth
from egretcrank.policy.interference import (
    Occupancy,
    PairEstimates,
    TaskUsage,
    UsageReport,
    find_band,
)
from egretcrank.policy.placement import (
    MAX_KNOWN_DEVIATION,
    Alternative,
    HostView,
    Placement,
    Prediction,
    RunningTask,
    Wait,
    WaitingTask,
    Weights,
    choose_by_spread,
    choose_host,
    compute_upper_bound,
)
from egretcrank.policy.quotas import (
    Preemption,
    Quota,
    choose_preemption,
    order_waiting,
)
from egretcrank.policy.reaction import Action, HostInterference, Reaction
from egretcrank.policy.sizes import SizeEstimates
from egretcrank.wire.messages import Resources
from egretcrank.wire.resources import fits

# Slowdown of a service that a plan without weight on tail latency tolerates.
MAX_SLOWDOWN_BUDGET = 0.28

# Older measured slowdowns are ignored, as they say nothing about the present.
MAX_MEASUREMENT_AGE = timedelta(minutes=2)


class Outcome(StrEnum):
    """How an attempt of a task ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"


class _Running(NamedTuple):
    task: WaitingTask
    host: str
    checkpointed_at: timedelta


class _Measurement(NamedTuple):
    slowdown: float
    time: timedelta


class Scheduler:
    """Places tasks, learns from usage reports and chooses actions; performs no I/O.

    The caller records each start, change of share, checkpoint and end of a task. Only
    the monotonic clock is read.
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
        self._measurements: dict[str, _Measurement] = {}

    @property
    def budget(self) -> float:
        """Return the slowdown of a service that the weights tolerate, as a fraction."""
        return float(MAX_SLOWDOWN_BUDGET * (1.0 - self._weights.tail_share) ** 0.5)

    def order(
        self, waiting: Sequence[WaitingTask], quotas: Mapping[str, Quota]
    ) -> list[WaitingTask]:
        """Order waiting tasks by urgency and by the quotas of their customers."""
        return order_waiting(waiting, quotas)

    def place(self, task: WaitingTask, hosts: Sequence[HostView]) -> Placement | Wait:
        """Choose a host for ``task``, or return the reason why it waits."""
        if self._health.cannot_run(task.job):
            return Wait(task.task, "the job failed on every worker tried", True)
        usable = [host for host in hosts if self._is_usable(host)]
        if not usable:
            return Wait(task.task, "no usable worker")
        if not any(fits(task.declared, host.capacity) for host in hosts):
            return Wait(task.task, "larger than any host")
        bound = self._sizes.bound(task.kind, task.declared)
        failed = self._health.list_failed_workers(task.job)
        untried = [host for host in usable if host.host not in failed]
        probed_services = self._list_probed_services(task.kind, hosts)
        return choose_host(
            task,
            bound,
            untried or usable,
            lambda host: self._predict(task.kind, host, probed_services),
            self._weights,
            self.budget,
            self._rng,
        )

    def place_unmeasured(
        self, task: WaitingTask, hosts: Sequence[HostView]
    ) -> Placement | Wait:
        """Choose a host by health, spread and free processors only.

        For task kinds of unknown interference while no usage reports arrive: probing
        would delay them without improving any estimate.
        """
        suitable = [h for h in hosts if fits(task.declared, h.capacity)]
        if not suitable:
            return Wait(task.task, "larger than any host")
        # If all workers are quarantined, the jobs may be at fault: use them anyway.
        usable = [host for host in suitable if self._is_usable(host)] or suitable
        fitting = [host for host in usable if fits(task.declared, host.free)]
        if not fitting:
            return Wait(task.task, "no usable worker has the resources free")
        # Prefer workers on which the job did not fail, but don't wait for them: one
        # failing task must not delay the others of its job.
        failed = self._health.list_failed_workers(task.job)
        fitting = [host for host in fitting if host.host not in failed] or fitting
        self._rng.shuffle(fitting)
        best = choose_by_spread(task, fitting, hosts)
        others = tuple(
            Alternative(host.host, None, "fits") for host in fitting if host != best
        )
        reason = "interference unknown: most free processors after health and spread"
        return Placement(task.task, best.host, task.declared, 1.0, reason, others)

    def preempt(
        self, task: WaitingTask, hosts: Sequence[HostView]
    ) -> Preemption | None:
        """Choose tasks to evict so that an urgent task can start.

        Frees resources for the upper bound learned for the kind of the task.
        """
        bound = self._sizes.bound(task.kind, task.declared)
        return self._preempt_for(task, bound, hosts)

    def preempt_unmeasured(
        self, task: WaitingTask, hosts: Sequence[HostView]
    ) -> Preemption | None:
        """Choose tasks to evict like ``preempt``, but free the declared resources."""
        return self._preempt_for(task, task.declared, hosts)

    def _preempt_for(
        self, task: WaitingTask, bound: Resources, hosts: Sequence[HostView]
    ) -> Preemption | None:
        if not task.urgent:
            return None
        usable = [host for host in hosts if self._is_usable(host)]
        time = self._clock.monotonic()
        lost_seconds = {
            name: (time - running.checkpointed_at).total_seconds()
            for name, running in self._running.items()
        }
        return choose_preemption(task.declared, bound, usable, lost_seconds)

    def observe(self, report: UsageReport) -> None:
        """Update the size and interference estimates with a report on a past period."""
        for usage in report.tasks:
            self._observe_size(report, usage)
        shares = self._occupancy.average_shares(report.host, report.start, report.end)
        self._pairs.observe(report, shares)
        slowdown = self._pairs.measure_slowdown(report)
        self._measurements[report.host] = _Measurement(slowdown, report.end)

    def react(self, hosts: Sequence[HostView]) -> tuple[Action, ...]:
        """Return the actions on running tasks, throttling first."""
        time = self._clock.monotonic()
        interferences = [self._describe_interference(host, time) for host in hosts]

        def find_target(task: RunningTask, source: HostView) -> str | None:
            return self._find_move_target(task, source, hosts)

        return self._reaction.decide(
            interferences, self._weights, self.budget, find_target, time
        )

    def record_start(self, task: WaitingTask, host: str, share: float) -> None:
        """Record that an attempt of ``task`` started on ``host``."""
        time = self._clock.monotonic()
        self._running[task.task] = _Running(task, host, time)
        self._occupancy.record(host, task.task, task.kind, share, time)
        self._health.record_start(host, task.task)

    def record_share(self, task: str, share: float) -> None:
        """Record a new processor share of a running task."""
        running = self._running.get(task)
        if running is not None:
            time = self._clock.monotonic()
            kind = running.task.kind
            self._occupancy.record(running.host, task, kind, share, time)

    def record_checkpoint(self, task: str) -> None:
        """Record that a running task completed a checkpoint."""
        running = self._running.get(task)
        if running is not None:
            checkpointed_at = self._clock.monotonic()
            self._running[task] = running._replace(checkpointed_at=checkpointed_at)

    def record_end(self, task: str, outcome: Outcome) -> None:
        """Record the end of an attempt."""
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
        """Learn from the use of a task, unless its share changed during the period."""
        running = self._running.get(usage.task)
        share = self._occupancy.find_share(
            report.host, usage.task, report.start, report.end
        )
        if running is None or not share:
            return
        task = running.task
        # Scale to full speed, as a throttled task uses fewer processors.
        full = replace(usage.used, processors=usage.used.processors / share)
        self._sizes.observe(task.task, task.kind, task.declared, full)

    def _is_usable(self, host: HostView) -> bool:
        match self._health.get_condition(host.host, self._clock.monotonic()):
            case Usable():
                return True
            case OnProbation():
                return not host.tasks
            case Quarantined():
                return False

    def _predict(
        self, kind: str, host: HostView, probed_services: frozenset[str]
    ) -> Prediction:
        band = find_band(host.load)
        estimate = self._pairs.estimate(host.service, band, kind)
        shares = [(task.kind, task.share) for task in host.tasks]
        return Prediction(
            estimate,
            self._pairs.sum_slowdowns(host.service, band, shares),
            host.service not in probed_services,
        )

    def _list_probed_services(
        self, kind: str, hosts: Sequence[HostView]
    ) -> frozenset[str]:
        """Return the services on which the interference of ``kind`` is being probed."""
        return frozenset(
            host.service
            for host in hosts
            if any(task.kind == kind for task in host.tasks)
            and self._is_uncertain(host, kind)
        )

    def _is_uncertain(self, host: HostView, kind: str) -> bool:
        estimate = self._pairs.estimate(host.service, find_band(host.load), kind)
        return estimate.deviation > MAX_KNOWN_DEVIATION

    def _describe_interference(
        self, host: HostView, time: timedelta
    ) -> HostInterference:
        band = find_band(host.load)
        estimates = {
            task.task: self._pairs.estimate(host.service, band, task.kind)
            for task in host.tasks
        }
        slowdowns = {name: max(0.0, found.mean) for name, found in estimates.items()}
        upper_bounds = {
            name: compute_upper_bound(found, self._weights)
            for name, found in estimates.items()
        }
        measured = self._measurements.get(host.host)
        recent = measured is not None and time - measured.time < MAX_MEASUREMENT_AGE
        slowdown = measured.slowdown if measured is not None and recent else None
        return HostInterference(host, slowdowns, upper_bounds, slowdown)

    def _find_move_target(
        self, task: RunningTask, source: HostView, hosts: Sequence[HostView]
    ) -> str | None:
        """Return a host on which a throttled task could run at full speed, if any."""
        for host in hosts:
            if host.host == source.host or not self._is_usable(host):
                continue
            if not fits(task.reserved, host.free):
                continue
            prediction = self._predict(task.kind, host, frozenset())
            upper = compute_upper_bound(prediction.estimate, self._weights)
            current = compute_upper_bound(prediction.current, self._weights)
            if current + upper <= self.budget:
                return host.host
        return None

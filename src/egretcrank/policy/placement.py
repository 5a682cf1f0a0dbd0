"""Choice of a host for a waiting task."""

import random
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from egretcrank.policy.regression import Estimate
from egretcrank.policy.sizes import clamp_bound
from egretcrank.wire.messages import Resources
from egretcrank.wire.resources import fits

# Lowest share of its processors at which a task is started, except as a probe. Below
# it, the task would hold memory for little progress.
MIN_START_SHARE = 0.6

# Share at which a kind of unknown interference is started to measure its effect.
PROBE_SHARE = 0.3

# Estimates with at most this deviation are not improved by a probe.
MAX_KNOWN_DEVIATION = 0.05

# Cost of placing a task in a rack or failure domain that runs all other tasks of its
# job; it is proportional to the fraction of those tasks that run there.
RACK_COLOCATION_COST = 0.02
DOMAIN_COLOCATION_COST = 0.02

# Cost of using all free processors of a host, which larger tasks may need.
FRAGMENTATION_COST = 0.01


class Weights(NamedTuple):
    """Weights of the objectives in a customer's plan."""

    tail_latency: float = 1.0
    evictions: float = 1.0
    throughput: float = 1.0

    @property
    def tail_share(self) -> float:
        """Return the weight of tail latency as a share of all weights."""
        total = self.tail_latency + self.evictions + self.throughput
        return self.tail_latency / total if total > 0 else 1 / 3

    @property
    def eviction_share(self) -> float:
        """Return the weight of evictions as a share of all weights."""
        total = self.tail_latency + self.evictions + self.throughput
        return self.evictions / total if total > 0 else 1 / 3


class WaitingTask(NamedTuple):
    """A task waiting for a host."""

    task: str
    job: str
    customer: str
    kind: str
    declared: Resources
    urgent: bool = False


class RunningTask(NamedTuple):
    """A task running on a host with a share of its reserved processors."""

    task: str
    job: str
    kind: str
    reserved: Resources
    share: float = 1.0
    urgent: bool = False


class HostView(NamedTuple):
    """A host as announced by its sidecar.

    ``service`` is empty if the host has no upstream. ``load`` is the fraction of the
    upstream's slots that are busy. ``capacity`` is what is available to tasks on the
    host when none runs, and ``free`` what is available now.
    """

    host: str
    service: str
    failure_domain: str
    rack: str
    load: float
    capacity: Resources
    free: Resources
    tasks: tuple[RunningTask, ...] = ()


class Alternative(NamedTuple):
    """A host that was considered, with its cost or the reason it was rejected."""

    host: str
    cost: float | None
    reason: str


@dataclass(frozen=True, slots=True)
class Placement:
    """Start the task on ``host`` with ``share`` of its processors."""

    task: str
    host: str
    reserved: Resources
    share: float
    reason: str
    alternatives: tuple[Alternative, ...] = ()


@dataclass(frozen=True, slots=True)
class Wait:
    """Leave the task waiting, or reject it if ``final``."""

    task: str
    reason: str
    final: bool = False
    alternatives: tuple[Alternative, ...] = ()


class Prediction(NamedTuple):
    """Predicted slowdown of a host's service if the task starts there.

    ``estimate`` is the slowdown by the new task at full speed, and ``current`` that by
    all tasks already running on the host. ``probe_allowed`` is false while the same
    pair of service and task kind is being probed.
    """

    estimate: Estimate
    current: Estimate
    probe_allowed: bool


Predict = Callable[[HostView], Prediction]


def choose_host(
    task: WaitingTask,
    bound: Resources,
    hosts: Sequence[HostView],
    predict: Predict,
    weights: Weights,
    budget: float,
    rng: random.Random,
) -> Placement | Wait:
    """Choose the cheapest host whose service stays within ``budget``.

    ``budget`` is the slowdown of a service that the plan tolerates, as a fraction.
    Where the task would exceed it at full speed, it may start with a share of its
    processors.
    """
    options: list[tuple[float, float, Resources, HostView]] = []
    evaluated: list[Alternative] = []
    job_counts = _count_job_tasks(task, hosts)
    for host in hosts:
        reserved = clamp_bound(bound, task.declared, host.capacity)
        if not fits(reserved, host.free):
            evaluated.append(Alternative(host.host, None, "does not fit"))
            continue
        prediction = predict(host)
        share = _choose_share(prediction, weights, budget)
        if share is None:
            evaluated.append(Alternative(host.host, None, "slows the service"))
            continue
        cost = _compute_cost(host, reserved, prediction, share, weights, job_counts)
        options.append((cost, share, reserved, host))
        evaluated.append(Alternative(host.host, round(cost, 4), f"share {share:.2f}"))
    if not options:
        return Wait(
            task.task, "no host fits within the budget", False, tuple(evaluated)
        )
    rng.shuffle(options)
    cost, share, reserved, host = min(options, key=lambda option: option[0])
    others = tuple(other for other in evaluated if other.host != host.host)
    return Placement(
        task.task, host.host, reserved, share, f"least cost {cost:.4f}", others
    )


def choose_by_spread(
    task: WaitingTask, hosts: Sequence[HostView], all_hosts: Sequence[HostView]
) -> HostView:
    """Choose the host with the fewest tasks of the job in its rack and failure domain.

    Ties are broken by the number of free processors.
    """
    counts, _ = _count_job_tasks(task, all_hosts)

    def compute_rank(host: HostView) -> tuple[int, float]:
        colocated = (
            counts[f"rack {host.rack}"] + counts[f"domain {host.failure_domain}"]
        )
        return colocated, -host.free.processors

    return min(hosts, key=compute_rank)


def compute_upper_bound(estimate: Estimate, weights: Weights) -> float:
    """Return an upper confidence bound of a slowdown.

    The margin above the mean grows with the weight of tail latency.
    """
    uncertainty_weight = 1.4 * weights.tail_share
    return max(0.0, estimate.mean) + uncertainty_weight * estimate.deviation


def _choose_share(
    prediction: Prediction, weights: Weights, budget: float
) -> float | None:
    """Return the share at which the task may start, or ``None`` if it may not."""
    remaining = budget - compute_upper_bound(prediction.current, weights)
    if remaining <= 0:
        return None
    estimate = prediction.estimate
    upper = compute_upper_bound(estimate, weights)
    share = 1.0 if upper <= remaining else remaining / upper
    if share >= MIN_START_SHARE:
        return share
    # A pair that is possibly harmless is probed at a low share; without probes, an
    # uncertain estimate would keep the kind from ever being measured again.
    uncertain = estimate.deviation > MAX_KNOWN_DEVIATION
    promising = estimate.mean - estimate.deviation <= remaining
    affordable = PROBE_SHARE * estimate.mean <= remaining
    if uncertain and promising and affordable and prediction.probe_allowed:
        return PROBE_SHARE
    return None


def _count_job_tasks(
    task: WaitingTask, hosts: Sequence[HostView]
) -> tuple[Counter[str], int]:
    """Count the running tasks of the same job: by rack and failure domain, and all."""
    counts: Counter[str] = Counter()
    for host in hosts:
        job_tasks = sum(running.job == task.job for running in host.tasks)
        counts[f"rack {host.rack}"] += job_tasks
        counts[f"domain {host.failure_domain}"] += job_tasks
        counts[""] += job_tasks
    return counts, counts[""]


def _compute_cost(
    host: HostView,
    reserved: Resources,
    prediction: Prediction,
    share: float,
    weights: Weights,
    job_counts: tuple[Counter[str], int],
) -> float:
    counts, total = job_counts
    interference = share * compute_upper_bound(prediction.estimate, weights)
    throttling = 0.1 * (1.0 - share)
    fragmentation = (
        FRAGMENTATION_COST * reserved.processors / max(host.free.processors, 1e-9)
    )
    colocation = 0.0
    if total:
        colocation = RACK_COLOCATION_COST * counts[f"rack {host.rack}"] / total
        colocation += (
            DOMAIN_COLOCATION_COST * counts[f"domain {host.failure_domain}"] / total
        )
    return interference + throttling + fragmentation + colocation

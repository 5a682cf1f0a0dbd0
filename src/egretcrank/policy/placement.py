"""Choice of a host for a waiting task."""

import random
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from egretcrank.policy.regression import Estimate
from egretcrank.policy.sizes import cut_bound
from egretcrank.wire.messages import Resources
from egretcrank.wire.resources import fits

# A task is not started below this share of its processors: it would hold memory for
# little progress.
SMALLEST_START_SHARE = 0.6

# Share at which a kind of unknown interference is first started.
PROBE_SHARE = 0.3

# An estimate with a smaller deviation than this gains nothing from a probe.
KNOWN_DEVIATION = 0.05

# Costs per share of the customer's other tasks in the same rack or failure domain.
RACK_COST = 0.02
DOMAIN_COST = 0.02

# Cost of using the last free capacity of a host, which larger tasks may need.
FULL_COST = 0.01


class Weights(NamedTuple):
    """Weights of the measures in a customer's plan."""

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
    """A task that waits for a host."""

    task: str
    job: str
    customer: str
    kind: str
    declared: Resources
    urgent: bool = False


class RunningTask(NamedTuple):
    """A task that runs on a host with a share of its processors."""

    task: str
    job: str
    kind: str
    reserved: Resources
    share: float = 1.0
    urgent: bool = False


class HostView(NamedTuple):
    """A host as its sidecar announced it; amounts are those left for tasks.

    ``service`` is empty if the host has no upstream. ``load`` is the share of the
    upstream's slots that are busy. ``capacity`` is what is free when no task runs.
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
    """A host that was weighed, with its cost or the reason against it."""

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
    """Start the task later, or never if ``final``."""

    task: str
    reason: str
    final: bool = False
    alternatives: tuple[Alternative, ...] = ()


class Outlook(NamedTuple):
    """What is expected of one host if the task starts there.

    ``estimate`` is for the new task at full speed and ``present`` for all that runs
    there already. ``probe_allowed`` is false if the same pair is being probed already.
    """

    estimate: Estimate
    present: Estimate
    probe_allowed: bool


Predict = Callable[[HostView], Outlook]


def choose_host(
    task: WaitingTask,
    bound: Resources,
    hosts: Sequence[HostView],
    predict: Predict,
    weights: Weights,
    budget: float,
    rng: random.Random,
) -> Placement | Wait:
    """Choose the host of least cost whose service stays within ``budget``.

    ``budget`` is the slowdown of a service that the plan tolerates. Where the task
    would exceed it at full speed, it may start with a share of its processors.
    """
    options: list[tuple[float, float, Resources, HostView]] = []
    weighed: list[Alternative] = []
    spread = _count_spread(task, hosts)
    for host in hosts:
        reserved = cut_bound(bound, task.declared, host.capacity)
        if not fits(reserved, host.free):
            weighed.append(Alternative(host.host, None, "does not fit"))
            continue
        outlook = predict(host)
        share = _choose_share(outlook, weights, budget)
        if share is None:
            weighed.append(Alternative(host.host, None, "slows the service"))
            continue
        cost = _weigh(host, reserved, outlook, share, weights, spread)
        options.append((cost, share, reserved, host))
        weighed.append(Alternative(host.host, round(cost, 4), f"share {share:.2f}"))
    if not options:
        return Wait(task.task, "no host fits within the budget", False, tuple(weighed))
    rng.shuffle(options)
    cost, share, reserved, host = min(options, key=lambda option: option[0])
    others = tuple(other for other in weighed if other.host != host.host)
    return Placement(
        task.task, host.host, reserved, share, f"least cost {cost:.4f}", others
    )


def choose_spread(
    task: WaitingTask, hosts: Sequence[HostView], all_hosts: Sequence[HostView]
) -> HostView:
    """Choose the host with the fewest tasks of the job around it.

    Among equals it is the one with the most free processors.
    """
    counts, _ = _count_spread(task, all_hosts)

    def weigh(host: HostView) -> tuple[int, float]:
        near = counts[f"rack {host.rack}"] + counts[f"domain {host.failure_domain}"]
        return near, -host.free.processors

    return min(hosts, key=weigh)


def find_upper(estimate: Estimate, weights: Weights) -> float:
    """Return the slowdown to reckon with: the mean plus weighted uncertainty."""
    caution = 1.4 * weights.tail_share
    return max(0.0, estimate.mean) + caution * estimate.deviation


def _choose_share(outlook: Outlook, weights: Weights, budget: float) -> float | None:
    """Return the share at which the task may start, or ``None``."""
    left = budget - find_upper(outlook.present, weights)
    if left <= 0:
        return None
    estimate = outlook.estimate
    upper = find_upper(estimate, weights)
    share = 1.0 if upper <= left else left / upper
    if share >= SMALLEST_START_SHARE:
        return share
    # A pair that may well be harmless is measured at a low share; without this, an
    # uncertain estimate would keep the kind from ever being measured again.
    uncertain = estimate.deviation > KNOWN_DEVIATION
    promising = estimate.mean - estimate.deviation <= left
    affordable = PROBE_SHARE * estimate.mean <= left
    if uncertain and promising and affordable and outlook.probe_allowed:
        return PROBE_SHARE
    return None


def _count_spread(
    task: WaitingTask, hosts: Sequence[HostView]
) -> tuple[Counter[str], int]:
    """Count the tasks of the same job by rack and by failure domain."""
    counts: Counter[str] = Counter()
    for host in hosts:
        same = sum(running.job == task.job for running in host.tasks)
        counts[f"rack {host.rack}"] += same
        counts[f"domain {host.failure_domain}"] += same
        counts[""] += same
    return counts, counts[""]


def _weigh(
    host: HostView,
    reserved: Resources,
    outlook: Outlook,
    share: float,
    weights: Weights,
    spread: tuple[Counter[str], int],
) -> float:
    counts, total = spread
    harm = share * find_upper(outlook.estimate, weights)
    delay = 0.1 * (1.0 - share)
    crowding = FULL_COST * reserved.processors / max(host.free.processors, 1e-9)
    together = 0.0
    if total:
        together = RACK_COST * counts[f"rack {host.rack}"] / total
        together += DOMAIN_COST * counts[f"domain {host.failure_domain}"] / total
    return harm + delay + crowding + together

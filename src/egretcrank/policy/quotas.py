"""Shares of customers, and preemption for urgent work."""

from collections.abc import Mapping, Sequence
from heapq import heapify, heappop, heappush
from typing import NamedTuple

from egretcrank.policy.placement import HostView, RunningTask, WaitingTask
from egretcrank.policy.sizes import cut_bound
from egretcrank.wire.messages import Resources
from egretcrank.wire.resources import add_resources, fits, subtract_resources

# A task that would lose more work than this in seconds is not preempted.
LARGEST_LOSS_SECONDS = 1800.0


class Quota(NamedTuple):
    """What a customer's plan allows; an amount of zero does not limit."""

    allowed: Resources
    used: Resources = Resources()


class Preemption(NamedTuple):
    """Tasks to evict from a host so that an urgent task fits."""

    host: str
    tasks: tuple[str, ...]
    loss_seconds: float


UNLIMITED = Quota(Resources())


def measure_share(quota: Quota) -> float:
    """Return the largest share that is used of any allowed amount."""
    pairs = (
        (quota.used.processors, quota.allowed.processors),
        (quota.used.memory_mib, quota.allowed.memory_mib),
        (quota.used.accelerators, quota.allowed.accelerators),
    )
    return max((used / allowed for used, allowed in pairs if allowed > 0), default=0.0)


def order_waiting(
    waiting: Sequence[WaitingTask], quotas: Mapping[str, Quota]
) -> list[WaitingTask]:
    """Order tasks: urgent first, then the customers that use least of their quota.

    Each task counts against its customer as if it had started, so that customers
    alternate; tasks of one customer keep their order.
    """
    queues: dict[str, list[WaitingTask]] = {}
    for task in sorted(waiting, key=lambda task: not task.urgent):
        queues.setdefault(task.customer, []).append(task)
    heap = [
        (not queue[0].urgent, measure_share(quotas.get(name, UNLIMITED)), name, 0)
        for name, queue in queues.items()
    ]
    heapify(heap)
    ordered: list[WaitingTask] = []
    while heap:
        _, share, name, place = heappop(heap)
        queue = queues[name]
        ordered.append(queue[place])
        if place + 1 < len(queue):
            allowed = quotas.get(name, UNLIMITED).allowed
            share += measure_share(Quota(allowed, queue[place].declared))
            heappush(heap, (not queue[place + 1].urgent, share, name, place + 1))
    return ordered


def choose_preemption(
    declared: Resources,
    bound: Resources,
    hosts: Sequence[HostView],
    losses: Mapping[str, float],
) -> Preemption | None:
    """Choose the host and tasks whose eviction loses least work, in seconds.

    ``losses`` has, for each task, the work since its last checkpoint; tasks that are
    missing from it are not preempted.
    """
    found = [
        _free_host(cut_bound(bound, declared, host.capacity), host, losses)
        for host in hosts
    ]
    candidates = [
        preemption
        for preemption in found
        if preemption and preemption.loss_seconds <= LARGEST_LOSS_SECONDS
    ]
    return min(
        candidates, key=lambda p: (p.loss_seconds, len(p.tasks), p.host), default=None
    )


def _free_host(
    wanted: Resources, host: HostView, losses: Mapping[str, float]
) -> Preemption | None:
    free = host.free
    chosen: list[RunningTask] = []
    evictable = [t for t in host.tasks if not t.urgent and t.task in losses]
    for task in sorted(evictable, key=lambda task: (losses[task.task], task.task)):
        if fits(wanted, free):
            break
        free = add_resources(free, task.reserved)
        chosen.append(task)
    if not fits(wanted, free):
        return None
    # A task that was chosen early may no longer be needed.
    for task in sorted(chosen, key=lambda task: -losses[task.task]):
        smaller = subtract_resources(free, task.reserved)
        if fits(wanted, smaller):
            free = smaller
            chosen.remove(task)
    loss = sum(losses[task.task] for task in chosen)
    return Preemption(host.host, tuple(task.task for task in chosen), loss)

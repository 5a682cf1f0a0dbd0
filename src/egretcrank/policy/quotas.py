"""Fair ordering of customers by quota, and preemption for urgent tasks."""

from collections.abc import Mapping, Sequence
from heapq import heapify, heappop, heappush
from typing import NamedTuple

from egretcrank.policy.placement import HostView, RunningTask, WaitingTask
from egretcrank.policy.sizes import clamp_bound
from egretcrank.wire.messages import Resources
from egretcrank.wire.resources import add_resources, fits, subtract_resources

# A preemption that loses more work than this in total is not carried out.
MAX_LOSS_SECONDS = 1800.0


class Quota(NamedTuple):
    """Resources that a customer's plan allows, and those in use.

    An allowed amount of 0 means no limit.
    """

    allowed: Resources
    used: Resources = Resources()


class Preemption(NamedTuple):
    """Tasks to evict from a host so that an urgent task fits.

    ``loss_seconds`` is the work lost: the sum of the times since the last checkpoints.
    """

    host: str
    tasks: tuple[str, ...]
    loss_seconds: float


UNLIMITED = Quota(Resources())


def compute_dominant_share(quota: Quota) -> float:
    """Return the dominant share: the largest used fraction of any limited resource."""
    pairs = (
        (quota.used.processors, quota.allowed.processors),
        (quota.used.memory_mib, quota.allowed.memory_mib),
        (quota.used.accelerators, quota.allowed.accelerators),
    )
    return max((used / allowed for used, allowed in pairs if allowed > 0), default=0.0)


def order_waiting(
    waiting: Sequence[WaitingTask], quotas: Mapping[str, Quota]
) -> list[WaitingTask]:
    """Order tasks by urgency, then by the dominant share of their customers.

    Each task in the order counts as started for the share of its customer, so that
    customers alternate. Tasks of one customer and urgency keep their order.
    """
    queues: dict[str, list[WaitingTask]] = {}
    for task in sorted(waiting, key=lambda task: not task.urgent):
        queues.setdefault(task.customer, []).append(task)
    heap = [
        (
            not queue[0].urgent,
            compute_dominant_share(quotas.get(name, UNLIMITED)),
            name,
            0,
        )
        for name, queue in queues.items()
    ]
    heapify(heap)
    ordered: list[WaitingTask] = []
    while heap:
        _, share, name, position = heappop(heap)
        queue = queues[name]
        ordered.append(queue[position])
        if position + 1 < len(queue):
            allowed = quotas.get(name, UNLIMITED).allowed
            share += compute_dominant_share(Quota(allowed, queue[position].declared))
            heappush(heap, (not queue[position + 1].urgent, share, name, position + 1))
    return ordered


def choose_preemption(
    declared: Resources,
    bound: Resources,
    hosts: Sequence[HostView],
    lost_seconds: Mapping[str, float],
) -> Preemption | None:
    """Choose the host and tasks whose eviction loses the least work.

    ``lost_seconds`` has, by task, the time since the last checkpoint. Tasks missing
    from it are not preempted.
    """
    plans = [
        _plan_preemption(
            clamp_bound(bound, declared, host.capacity), host, lost_seconds
        )
        for host in hosts
    ]
    candidates = [
        preemption
        for preemption in plans
        if preemption and preemption.loss_seconds <= MAX_LOSS_SECONDS
    ]
    return min(
        candidates, key=lambda p: (p.loss_seconds, len(p.tasks), p.host), default=None
    )


def _plan_preemption(
    required: Resources, host: HostView, lost_seconds: Mapping[str, float]
) -> Preemption | None:
    free = host.free
    victims: list[RunningTask] = []
    evictable = [t for t in host.tasks if not t.urgent and t.task in lost_seconds]
    for task in sorted(
        evictable, key=lambda task: (lost_seconds[task.task], task.task)
    ):
        if fits(required, free):
            break
        free = add_resources(free, task.reserved)
        victims.append(task)
    if not fits(required, free):
        return None
    # A task chosen early may have become unnecessary; keep it running if so.
    for task in sorted(victims, key=lambda task: -lost_seconds[task.task]):
        reduced = subtract_resources(free, task.reserved)
        if fits(required, reduced):
            free = reduced
            victims.remove(task)
    total_loss = sum(lost_seconds[task.task] for task in victims)
    return Preemption(host.host, tuple(task.task for task in victims), total_loss)

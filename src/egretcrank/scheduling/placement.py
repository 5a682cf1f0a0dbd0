"""Choice of the host of a task."""

from collections.abc import Iterable
from typing import NamedTuple

from egretcrank.scheduling.hosts import HostState
from egretcrank.scheduling.tasks import StepState


class Candidate(NamedTuple):
    """A host that can hold a task, with its rank; the highest one is chosen."""

    rank: tuple[float, ...]
    host: HostState


def choose_host(
    step: StepState, service: str, hosts: Iterable[HostState]
) -> HostState | None:
    """Choose among usable hosts the one with most room near the task's data.

    Answers the load of many short tasks beside lasting ones: spreading by free
    processors keeps the tail of what serves low on every host.
    """
    best: Candidate | None = None
    for host in hosts:
        if not is_eligible(step, service, host):
            continue
        candidate = Candidate(_rank(step, host), host)
        if best is None or candidate.rank > best.rank:
            best = candidate
    return best.host if best else None


def is_eligible(step: StepState, service: str, host: HostState) -> bool:
    """Tell whether a host may and can run a task of the step now."""
    definition = step.step
    runner = host.runner
    if runner is None or runner.service != service or not host.can_hold(definition):
        return False
    if definition.label and definition.label not in runner.labels:
        return False
    limit = definition.spread_limit
    return not limit or step.spread.get(host.name, 0) < limit


def _rank(step: StepState, host: HostState) -> tuple[float, ...]:
    definition = step.step
    near = bool(definition.rack) and host.rack == definition.rack
    runner = host.runner
    capacity = runner.cpu if runner else 0
    if definition.fills:
        left = capacity - host.used_cpu - host.filling_cpu
        return (near, left, -host.used_memory)
    return (near, host.free_cpu - definition.cpu, -host.filling_cpu)

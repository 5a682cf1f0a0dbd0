"""Choice of the host of a task."""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from egretcrank.policy.sharing import CORE, SharingModel
from egretcrank.scheduling.definitions import Step
from egretcrank.scheduling.hosts import HostState
from egretcrank.scheduling.tasks import StepState

# Tail over target up to which a host is as good as an empty one; swings of the load of
# what serves need the rest.
HARMLESS_RATIO = 0.75


class Candidate(NamedTuple):
    """A host that can hold a task, with its rank; the highest one is chosen.

    ``harm`` is the utilization over the limit of a serving task that is to be expected.
    """

    rank: tuple[float, ...]
    host: HostState
    harm: float


def choose_host(
    step: StepState,
    service: str,
    hosts: Iterable[HostState],
    sharing: SharingModel,
) -> Candidate | None:
    """Choose among usable hosts the one with most room near the task's data.

    Answers three loads. Many short tasks go where processors are free. Tasks that serve
    are kept together by image, so that each image that fills finds hosts on which it
    presses on none. Tasks that fill go where the tails stay below their targets.
    """
    best: Candidate | None = None
    for host in hosts:
        if not is_eligible(step, service, host):
            continue
        harm = 0.0
        if step.step.fills:
            harm = _predict_harm(step.step, host, sharing)
        candidate = Candidate(_rank(step, host, harm), host, harm)
        if best is None or candidate.rank > best.rank:
            best = candidate
    return best


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


def _rank(step: StepState, host: HostState, harm: float) -> tuple[float, ...]:
    definition = step.step
    near = bool(definition.rack) and host.rack == definition.rack
    if definition.fills:
        return (near, -harm, host.unused_cpu, -host.used_memory)
    if definition.target:
        images = +host.serving_images
        mixed = len(images.keys() - {definition.image})
        return (near, -mixed, host.free_cpu)
    return (near, host.free_cpu, -host.filling_cpu)


def _predict_harm(step: Step, host: HostState, sharing: SharingModel) -> float:
    """Return by how much utilizations would be over the limit beside one more task.

    What fills counts with all that it may use, and with the uncertainty of its pair, so
    that an unknown image is spread.
    """
    filling = host.filling_images + Counter({step.image: step.cpu})
    worst = 0.0
    for task in host.sharing:
        if task.ratio <= 0:
            continue
        used = sharing.estimate_load(host.name, task.name)
        for image, cpu in filling.items():
            pressure = sharing.estimate_pressure(image, task.image)
            used += (pressure.mean + pressure.deviation) * cpu / CORE
        limit = sharing.find_utilization(task.image, HARMLESS_RATIO)
        worst = max(worst, used - limit)
    return worst

"""Choice of the host of a task."""

from collections import Counter
from collections.abc import Sequence
from typing import NamedTuple

from egretcrank.policy.sharing import CORE, PressureTable
from egretcrank.scheduling.definitions import Step
from egretcrank.scheduling.hosts import HostState
from egretcrank.scheduling.tasks import StepState

# Utilization left to what fills beside a serving task that was not seen yet.
UNKNOWN_ROOM = 0.2
# Share of hosts without serving tasks up to which a new image opens another one. Hosts
# that serve one image each hold more of what fills than a few empty ones beside mixed
# hosts, as long as not all are empty.
SPARE_SHARE = 0.2
# Share of the pairs that hardly press on each other, before they are known: sites gave
# 0.35 to 0.45. A host that serves k images is light to its k-th power.
LIGHT_SHARE = 0.4
SAME_RANK = 0.0
EMPTY_RANK = -1.0
MIXED_RANK = -2.0
MOST_IMAGES = 1000
LAST_RANK = -1000.0


class Room(NamedTuple):
    """What a task may need at most to fit on any of some hosts."""

    cpu: int
    memory: int
    accelerators: int

    def may_hold(self, step: Step) -> bool:
        """Tell whether it is worth while to look for a host."""
        return (
            step.memory <= self.memory
            and step.accelerators <= self.accelerators
            and (step.fills or step.cpu <= self.cpu)
        )


class Candidate(NamedTuple):
    """A host that can hold a task, with its rank; the highest one is chosen.

    ``harm`` is the utilization over the limit of a serving task that is to be expected.
    """

    rank: tuple[float, ...]
    host: HostState
    harm: float


def find_room(hosts: Sequence[HostState]) -> Room:
    """Return the largest free amounts, each of any host.

    Answers overload: with hundreds of steps waiting, most need no look at the hosts.
    """
    return Room(
        max((host.free_cpu for host in hosts), default=0),
        max((host.free_memory for host in hosts), default=0),
        max((host.free_accelerators for host in hosts), default=0),
    )


def choose_host(
    step: StepState,
    service: str,
    hosts: Sequence[HostState],
    pressures: PressureTable,
) -> Candidate | None:
    """Choose among usable hosts the one with most room near the task's data.

    Answers three loads. Many short tasks go where processors are free. Tasks that serve
    are packed, together by image, so that what fills finds hosts on which it presses on
    none. Tasks that fill go where the tails stay below their targets.
    """
    best: Candidate | None = None
    spare = False
    if step.step.target:
        empty = sum(not host.serving_images for host in hosts)
        spare = empty > SPARE_SHARE * len(hosts)
    for host in hosts:
        if not is_eligible(step, service, host):
            continue
        harm = 0.0
        if step.step.fills:
            harm = _find_harm(step.step, host, pressures)
        candidate = Candidate(_rank(step, host, harm, spare), host, harm)
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


def _rank(
    step: StepState, host: HostState, harm: float, spare: bool
) -> tuple[float, ...]:
    definition = step.step
    near = bool(definition.rack) and host.rack == definition.rack
    if definition.fills:
        return (near, -harm, host.unused_cpu, -host.used_memory)
    if definition.target:
        return (near, _rank_for_serving(definition.image, host, spare), -host.free_cpu)
    return (near, host.free_cpu, -host.filling_cpu)


def _rank_for_serving(image: str, host: HostState, spare: bool) -> float:
    """Rank a host by what another serving task takes from tasks that fill.

    A host that serves the image already loses nothing more, least of all one that is
    mixed already. An empty host is opened for another image only while many are empty.
    After that images are mixed where that takes least room from what fills.
    """
    images = host.serving_images
    if image in images:
        return SAME_RANK - len(images) / MOST_IMAGES
    if not images:
        return EMPTY_RANK if spare else LAST_RANK
    before = LIGHT_SHARE ** len(images)
    return MIXED_RANK - (before - before * LIGHT_SHARE) * host.unused_cpu / CORE


def _find_harm(step: Step, host: HostState, pressures: PressureTable) -> float:
    """Return the predicted harm, which a host keeps until its next full report.

    What other hosts learn of a pair in the meantime, a second at most, is left out.
    """
    key = (step.image, step.cpu)
    harm = host.harm.get(key)
    if harm is None:
        harm = host.harm[key] = _predict_harm(step, host, pressures)
    return harm


def _predict_harm(step: Step, host: HostState, pressures: PressureTable) -> float:
    """Return by how much utilizations would be over the limit beside one more task.

    What fills counts with all that it may use, and with the uncertainty of its pair, so
    that an unknown image is spread.
    """
    filling = host.filling_images + Counter({step.image: step.cpu})
    worst = 0.0
    for serving in host.serving_images:
        used = 0.0
        for image, cpu in filling.items():
            pressure = pressures.estimate(image, serving)
            used += (pressure.mean + pressure.deviation) * cpu / CORE
        worst = max(worst, used - host.rooms.get(serving, UNKNOWN_ROOM))
    return worst

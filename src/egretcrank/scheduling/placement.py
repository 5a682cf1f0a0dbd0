"""Selection of the host of a task."""

from collections import Counter
from collections.abc import Mapping, Sequence
from heapq import heapify, heappop, heappush
from math import inf
from typing import NamedTuple

from egretcrank.policy.pressures import PressureTable
from egretcrank.policy.sharing import MILLICORES_PER_CORE
from egretcrank.scheduling.definitions import Step
from egretcrank.scheduling.hosts import HostState
from egretcrank.scheduling.tasks import StepState
from egretcrank.wire.hosting import is_suitable

# Utilization headroom of a serving task for which none has been reported yet.
DEFAULT_HEADROOM = 0.2
# A best-effort task is started if it raises the throughput of the best-effort tasks on
# the host by at least this share of its own full speed.
MIN_GAIN = 0.5
# A new image is placed on an empty host while more than this share of the hosts runs no
# serving task. Hosts with one serving image each leave more capacity to best-effort
# tasks than a few empty hosts beside hosts with several images, unless none is empty.
MIN_EMPTY_SHARE = 0.2
# Share of image pairs that hardly interfere, before they are known: 0.35 to 0.45 on
# different sites. For a host that serves k images it is raised to the power k.
LOW_INTERFERENCE_SHARE = 0.4
# Ranks of hosts for a serving task, see ``_rank_for_serving``.
SAME_IMAGE_RANK = 0.0
EMPTY_HOST_RANK = -1.0
NEW_IMAGE_RANK = -2.0
# Exceeds the number of images on a host, so that it changes a rank by less than 1.
MAX_IMAGES = 1000
LAST_RANK = -1000.0


class MaxFree(NamedTuple):
    """Largest free amount of each resource on any single host.

    ``cpu`` is in thousandths of a core and ``memory`` in MiB.
    """

    cpu: int
    memory: int
    accelerators: int

    def may_fit(self, step: Step) -> bool:
        """Return whether a task of the step may fit on one of the hosts."""
        return (
            step.memory <= self.memory
            and step.accelerators <= self.accelerators
            and (step.best_effort or step.cpu <= self.cpu)
        )


class Candidate(NamedTuple):
    """A host with room for a task, and its rank; the highest rank is chosen.

    ``gain`` is the estimated throughput that the task adds on the host, as a share of
    the task's full speed.
    """

    rank: tuple[float, ...]
    host: HostState
    gain: float

    @property
    def worthwhile(self) -> bool:
        """Return whether the gain is large enough to start the task now."""
        return self.gain >= MIN_GAIN


def find_max_free(hosts: Sequence[HostState]) -> MaxFree:
    """Return the largest free amount of each resource on any host.

    Under overload it rejects most of hundreds of waiting steps without a scan of the
    hosts.
    """
    return MaxFree(
        max((host.free_cpu for host in hosts), default=0),
        max((host.free_memory for host in hosts), default=0),
        max((host.free_accelerators for host in hosts), default=0),
    )


def find_busy_share(hosts: Sequence[HostState]) -> float:
    """Return the share of all processors that is reserved, or likely in use if less.

    Best-effort tasks reserve nothing, and serving tasks use less than they reserve.
    """
    capacity = sum(host.runner.cpu for host in hosts if host.runner is not None)
    reserved = sum(host.used_cpu for host in hosts)
    unused = sum(host.unused_best_effort_cpu for host in hosts)
    return min(reserved, capacity - unused) / capacity if capacity else 1.0


class Ranking:
    """Hosts that can run tasks of one step now, best first.

    A placed task changes one host only, so the hosts are ranked once per step and not
    once per task, which matters for wide steps on many hosts.
    """

    def __init__(
        self,
        step: StepState,
        service: str,
        hosts: Sequence[HostState],
        pressures: PressureTable,
        penalties: Mapping[str, float] | None = None,
    ) -> None:
        self._step = step
        self._service = service
        self._hosts = hosts
        self._pressures = pressures
        # By host; those that fail or slow down their tasks are ranked last.
        self._penalties = penalties or {}
        self._use_empty = False
        # Heap ordered by rank, best first, then by the order of the hosts.
        self._entries: list[_Entry] = []
        self._rank_all()

    def _rank_all(self) -> None:
        self._use_empty = self._has_empty_hosts()
        entries = (self._build_entry(i, host) for i, host in enumerate(self._hosts))
        self._entries = [entry for entry in entries if entry is not None]
        heapify(self._entries)

    def _has_empty_hosts(self) -> bool:
        """Return whether enough hosts are empty to place a new image on one."""
        if not self._step.definition.target:
            return False
        empty = sum(not host.serving_images for host in self._hosts)
        return empty > MIN_EMPTY_SHARE * len(self._hosts)

    def _build_entry(self, position: int, host: HostState) -> "_Entry | None":
        if not is_eligible(self._step, self._service, host):
            return None
        gain = 1.0
        if self._step.definition.best_effort:
            gain = _get_gain(self._step.definition, host, self._pressures)
        rank = _rank(self._step, host, gain, self._use_empty)
        order = tuple(-value for value in rank)
        candidate = Candidate(rank, host, gain)
        if self._penalties:
            # Otherwise a host that is not worthwhile would hide those with a penalty.
            penalty = self._penalties.get(host.name, 0.0)
            order = (penalty if candidate.worthwhile else inf, *order)
        return _Entry(order, position, candidate)

    @property
    def best(self) -> Candidate | None:
        """Return the best host, or ``None`` if no host can run one more task."""
        return self._entries[0].candidate if self._entries else None

    def rerank_best(self) -> None:
        """Update the rank of the best host after a task was placed there."""
        position = heappop(self._entries).position
        if self._has_empty_hosts() != self._use_empty:
            self._rank_all()
            return
        entry = self._build_entry(position, self._hosts[position])
        if entry is not None:
            heappush(self._entries, entry)


class _Entry(NamedTuple):
    """Heap entry of a host; ``position`` breaks ties between equal ranks."""

    order: tuple[float, ...]
    position: int
    candidate: Candidate


def choose_host(
    step: StepState,
    service: str,
    hosts: Sequence[HostState],
    pressures: PressureTable,
) -> Candidate | None:
    """Return the best of the usable hosts, or ``None`` if none fits.

    Hosts in the step's rack, near its data, come first. Serving tasks are packed by
    image, so that some hosts remain where best-effort tasks interfere with no serving
    task. Best-effort tasks go to the host with the highest gain, other tasks to the
    host with the most free processors.
    """
    return Ranking(step, service, hosts, pressures).best


def is_eligible(step: StepState, service: str, host: HostState) -> bool:
    """Return whether a host is allowed and able to run a task of the step now."""
    definition = step.definition
    runner = host.runner
    if runner is None or not is_suitable(runner, service, definition.label):
        return False
    if not host.can_hold(definition):
        return False
    limit = definition.spread_limit
    return not limit or step.spread.get(host.name, 0) < limit


def _rank(
    step: StepState, host: HostState, gain: float, use_empty: bool
) -> tuple[float, ...]:
    definition = step.definition
    rack_match = bool(definition.rack) and host.rack == definition.rack
    if definition.best_effort:
        return (rack_match, gain, host.unused_best_effort_cpu, -host.used_memory)
    if definition.target:
        return (
            rack_match,
            _rank_for_serving(definition.image, host, use_empty),
            -host.free_cpu,
        )
    return (rack_match, host.free_cpu, -host.reserved_best_effort_cpu)


def _rank_for_serving(image: str, host: HostState, use_empty: bool) -> float:
    """Rank a host by the best-effort capacity that a serving task of ``image`` costs.

    Hosts that serve the image already come first, as they lose no more capacity; among
    them, those with the fewest images. Then come empty hosts while many are empty, and
    then the hosts where another image costs the least best-effort capacity.
    """
    images = host.serving_images
    if image in images:
        return SAME_IMAGE_RANK - len(images) / MAX_IMAGES
    if not images:
        return EMPTY_HOST_RANK if use_empty else LAST_RANK
    before = LOW_INTERFERENCE_SHARE ** len(images)
    return (
        NEW_IMAGE_RANK
        - (before - before * LOW_INTERFERENCE_SHARE)
        * host.unused_best_effort_cpu
        / MILLICORES_PER_CORE
    )


def _get_gain(step: Step, host: HostState, pressures: PressureTable) -> float:
    """Return the estimated gain, cached in ``host.gains``.

    Interference that other hosts report until the host's next full report, 1 s at most,
    is ignored.
    """
    key = (step.image, step.cpu)
    gain = host.gains.get(key)
    if gain is None:
        gain = host.gains[key] = _estimate_gain(step, host, pressures)
    return gain


def _estimate_gain(step: Step, host: HostState, pressures: PressureTable) -> float:
    """Return the throughput that a task adds on a host, as a share of its demand.

    It is the throughput of all best-effort tasks on the host with the task, minus their
    throughput without it: a new task slows the others down where processors or the
    headroom of the serving tasks are exhausted.
    """
    cpu = max(step.cpu, 1)
    before = host.best_effort_images
    after = before + Counter({step.image: cpu})
    costs = {image: _find_upper_pressures(image, host, pressures) for image in after}
    work_with = _estimate_throughput(after, host, costs)
    work_without = _estimate_throughput(before, host, costs)
    return (work_with - work_without) / cpu


def _estimate_throughput(
    demand_by_image: Mapping[str, int],
    host: HostState,
    costs: Mapping[str, Mapping[str, float]],
) -> float:
    """Return the millicores that a host's best-effort tasks are likely to use.

    Headroom goes to the images that interfere least first, as agents set paces. Each
    image counts with all processors reserved for it. ``costs`` holds its pressures by
    serving image.
    """
    headrooms = {
        serving: max(0.0, host.headrooms.get(serving, DEFAULT_HEADROOM))
        for serving in host.serving_images
    }
    used = 0.0
    for image in sorted(
        demand_by_image, key=lambda image: max(costs[image].values(), default=0)
    ):
        cores = demand_by_image[image] / MILLICORES_PER_CORE
        speed = 1.0
        for serving, cost in costs[image].items():
            if cost * cores > headrooms[serving]:
                speed = min(speed, headrooms[serving] / (cost * cores))
        for serving, cost in costs[image].items():
            headrooms[serving] = max(0.0, headrooms[serving] - speed * cost * cores)
        used += speed * demand_by_image[image]
    return min(used, max(0.0, host.best_effort_cpu))


def _find_upper_pressures(
    image: str, host: HostState, pressures: PressureTable
) -> dict[str, float]:
    """Return the upper estimates (mean plus deviation), by serving image.

    They spread an image that is not well known over the hosts.
    """
    return {
        serving: sum(pressures.estimate(image, serving))
        for serving in host.serving_images
    }

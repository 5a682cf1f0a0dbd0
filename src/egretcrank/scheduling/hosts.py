"""State of the hosts of a cell at the controller that leads it."""

from collections import Counter
from collections.abc import Iterable
from datetime import timedelta
from typing import NamedTuple

from egretcrank.policy.sharing import ChangedPressures
from egretcrank.scheduling.definitions import Step, TaskKey
from egretcrank.scheduling.outbox import Outbox
from egretcrank.wire.hosting import (
    RunnerFacts,
    ServingRoom,
    StartOrder,
    StopOrder,
)

# An agent reports twice a second at least; after two missed reports nothing new is
# placed on its host.
SILENT_AFTER = timedelta(milliseconds=1300)
# Share of its processors that a serving task uses on average; it reserves its peak.
SERVING_USE = 0.55


class ForeignRun(NamedTuple):
    """A run that the cell does not want, and that may hold capacity until it ends."""

    task: str
    run: int


class HostState:
    """A host: its runner, its session of orders and what runs there."""

    def __init__(self, name: str, address: str) -> None:
        self.name = name
        self.address = address
        self.runner: RunnerFacts | None = None
        self.incarnation = ""
        self.session = 0
        self.sequence = -1
        self.attached = False
        self.registered = False
        self.leaving = False
        self.silent = False
        self.reported_at = timedelta()
        self.sent_at = 0.0
        self.reply_due = False
        self.profiles_due = False
        self.granted_until = timedelta()
        self.avoid_until = timedelta()
        self.outbox = Outbox()
        self.tasks: set[TaskKey] = set()
        self.foreign: set[ForeignRun] = set()
        self.ends_seen = 0
        self.ends_durable = 0
        self.used_cpu = 0
        self.serving_cpu = 0
        # Tasks that serve, and reserved millicores of tasks that fill, by image.
        self.serving_images: Counter[str] = Counter()
        self.filling_images: Counter[str] = Counter()
        # Utilization that may be pressed on each serving image.
        self.rooms: dict[str, float] = {}
        # Gains as estimated since the host last changed, by image and millicores.
        self.gains: dict[tuple[str, int], float] = {}
        self.pressures_due = False
        self.told_pressures = ChangedPressures()
        self.used_memory = 0
        self.used_accelerators = 0
        self.filling_cpu = 0

    @property
    def rack(self) -> str:
        """Return the rack of the host, empty while it is unknown."""
        return self.runner.rack if self.runner else ""

    @property
    def free_cpu(self) -> int:
        """Return the unreserved processor time, in thousandths of a core."""
        return (self.runner.cpu if self.runner else 0) - self.used_cpu

    @property
    def free_memory(self) -> int:
        """Return the unreserved memory, in MiB."""
        return (self.runner.memory if self.runner else 0) - self.used_memory

    @property
    def free_accelerators(self) -> int:
        """Return the number of unreserved accelerators."""
        return (self.runner.accelerators if self.runner else 0) - self.used_accelerators

    @property
    def unused_cpu(self) -> float:
        """Return what is left to one more task that fills, as far as can be told."""
        return self.left_by_serving - self.filling_cpu

    @property
    def left_by_serving(self) -> float:
        """Return what is left to all tasks that fill, in thousandths of a core."""
        capacity = self.runner.cpu if self.runner else 0
        return capacity - self.used_cpu + (1 - SERVING_USE) * self.serving_cpu

    def take_rooms(self, rooms: Iterable[ServingRoom]) -> None:
        """Take what the serving tasks of the host have left."""
        self.rooms = {room.image: room.room for room in rooms}
        self.gains.clear()

    def reserve(self, step: Step, sign: int = 1) -> None:
        """Reserve what a task needs, or release it with ``sign`` -1."""
        if step.target or step.fills:
            self.gains.clear()
        self.used_memory += sign * step.memory
        self.used_accelerators += sign * step.accelerators
        if step.target:
            self.serving_cpu += sign * step.cpu
            _add(self.serving_images, step.image, sign)
        if step.fills:
            _add(self.filling_images, step.image, sign * step.cpu)
            self.filling_cpu += sign * step.cpu
        else:
            self.used_cpu += sign * step.cpu

    def can_hold(self, step: Step) -> bool:
        """Tell whether a task fits beside what is reserved."""
        return (
            self.runner is not None
            and step.memory <= self.free_memory
            and step.accelerators <= self.free_accelerators
            and (step.fills or step.cpu <= self.free_cpu)
        )

    def is_usable(self, now: timedelta) -> bool:
        """Tell whether new tasks may be placed here."""
        return (
            self.attached
            and self.registered
            and not self.leaving
            and not self.silent
            and not self.foreign
            and self.runner is not None
            and not self.runner.draining
            and now - self.reported_at < SILENT_AFTER
            and now >= self.avoid_until
        )

    def add_order(self, order: StartOrder | StopOrder) -> int:
        """Queue an order for the agent and return its number."""
        return self.outbox.add(order)

    def begin_session(self, incarnation: str) -> None:
        """Forget the orders of an earlier session; its agent no longer takes them."""
        self.incarnation = incarnation
        self.sequence = -1
        self.outbox = Outbox()
        self.foreign.clear()
        self.told_pressures = ChangedPressures()


def _add(counter: Counter[str], image: str, change: int) -> None:
    """Change a count; images that are gone are not kept."""
    counter[image] += change
    if not counter[image]:
        del counter[image]

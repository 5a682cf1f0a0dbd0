"""Messages between a controller that leads a cell and the agents of its hosts.

They travel one way each and may be lost or repeated: orders are numbered and sent
again until a report says that they were taken, ends until the orders say that they
are durable. Durations are in seconds.
"""

from dataclasses import dataclass, field
from typing import NamedTuple, get_args

from egretcrank.wire.envelope import Codec


class Run(NamedTuple):
    """A numbered run of a task."""

    task: str
    run: int


class RunningTask(NamedTuple):
    """A task that runs; ``progress`` is in percent of its work.

    ``figure`` is the tail latency in milliseconds of a task that serves, otherwise
    the processor time in use, in thousandths of a core.
    """

    task: str
    run: int
    checkpoint: str
    progress: int
    figure: float


class EndedTask(NamedTuple):
    """An end that the host's runner keeps until it is acknowledged by number."""

    number: int
    task: str
    run: int
    how: str
    checkpoint: str


class Pressure(NamedTuple):
    """Rise of a serving image's utilization for each core that a filling image uses."""

    filling: str
    serving: str
    mean: float
    deviation: float


class ServingRoom(NamedTuple):
    """Utilization that may be pressed on the tasks of a serving image on a host."""

    image: str
    room: float


class RefusedStart(NamedTuple):
    """A start that certainly had no effect.

    ``number`` is that of its order, or 0 for an order of an earlier session: runs of
    the same number may have been ordered by two leaders.
    """

    task: str
    run: int
    reason: str
    number: int


class RunnerFacts(NamedTuple):
    """What a runner says of itself; ``born`` tells one life from the next."""

    runner_id: str
    born: int
    service: str
    failure_domain: str
    rack: str
    labels: tuple[str, ...]
    cpu: int
    memory: int
    accelerators: int
    draining: bool
    remaining_seconds: float


class TaskProfile(NamedTuple):
    """What an agent needs to know of a task that it paces or protects.

    ``cpu`` is in thousandths of a core; ``target_milliseconds`` bounds the tail latency
    of a task that serves, and is 0 for others.
    """

    cpu: int
    fills: bool
    image: str
    target_milliseconds: float


def find_job(task: str) -> str:
    """Return the job of a task, by the task's name."""
    return task.partition(".")[0]


class StartOrder(NamedTuple):
    """Start a run of a task; ``spec`` is empty on the wire, see ``HostOrders``."""

    task: str
    run: int
    spec: str
    checkpoint: str
    ticket: str
    profile: TaskProfile


class StopOrder(NamedTuple):
    """Stop a run of a task."""

    task: str
    run: int


class NumberedOrder(NamedTuple):
    """An order with its number in the session; exactly one of both is given."""

    number: int
    start: StartOrder | None = None
    stop: StopOrder | None = None


@dataclass(frozen=True, slots=True)
class HostReport:
    """What an agent reports on its host.

    ``incarnation`` is new with each start of the agent. ``applied`` is the highest
    order number taken in the session; sessions are numbered within an epoch.
    ``running`` and ``starting`` are complete if ``full`` is set and empty otherwise.
    ``sent_at`` is a reading of the agent's own clock, which the controller returns.
    ``pressures`` are what this host learned by itself and has not told yet, ``rooms``
    what its serving tasks have left; both come with ``full``. ``unprofiled`` counts the
    tasks whose profile the agent lacks since its restart. ``silent`` tells that the
    runner does not answer.
    """

    host: str = ""
    address: str = ""
    incarnation: str = ""
    sequence: int = 0
    epoch: int = 0
    session: int = 0
    applied: int = 0
    sent_at: float = 0.0
    runner: RunnerFacts | None = None
    full: bool = False
    running: tuple[RunningTask, ...] = ()
    starting: tuple[tuple[str, int], ...] = ()
    ended: tuple[EndedTask, ...] = ()
    refused: tuple[RefusedStart, ...] = ()
    pressures: tuple[Pressure, ...] = ()
    rooms: tuple[ServingRoom, ...] = ()
    unprofiled: int = 0
    leaving: bool = False
    silent: bool = False


@dataclass(frozen=True, slots=True)
class HostOrders:
    """Orders of the controller that leads, and the authority to keep leases.

    A new ``session`` of an epoch begins when the host was given up as lost: orders of
    the former one are void. Leases may last until ``authority_seconds`` after
    ``report_sent_at`` on the agent's clock. Ends of life ``born`` up to ``seen_ends``
    need not be reported again; those up to ``durable_ends`` are on the log.
    ``specs`` are the specifications, by job, that the session's orders need from here
    on. An order whose specification is missing was sent after a message that was lost.
    """

    epoch: int = 0
    session: int = 0
    incarnation: str = ""
    report_sequence: int = 0
    report_sent_at: float = 0.0
    authority_seconds: float = 0.0
    born: int = 0
    seen_ends: int = 0
    durable_ends: int = 0
    orders: tuple[NumberedOrder, ...] = ()
    specs: dict[str, str] = field(default_factory=dict)
    profiles: dict[str, TaskProfile] = field(default_factory=dict)
    pressures: tuple[Pressure, ...] = ()


@dataclass(frozen=True, slots=True)
class LeaderMoved:
    """Tell an agent which controller leads its cell, and under which epoch."""

    epoch: int = 0
    address: str = ""


@dataclass(frozen=True, slots=True)
class AppendRequest:
    """Ask the leader to append a record of a caller with its own, under its epoch.

    The record may be appended more than once: records of jobs are idempotent.
    """

    number: int = 0
    key: str = ""
    value: bytes = b""


@dataclass(frozen=True, slots=True)
class AppendAnswer:
    """Tell whether the record of request ``number`` is on the log.

    If not, the leader is about to resign and the record may still get there.
    """

    number: int = 0
    stored: bool = False


@dataclass(frozen=True, slots=True)
class LeaderProbe:
    """Ask a controller whether it leads and its appends succeed."""

    number: int = 0


@dataclass(frozen=True, slots=True)
class LeaderStatus:
    """Tell whether records of callers are likely to be appended at once."""

    number: int = 0
    accepts: bool = False


HostingMessage = (
    HostReport
    | HostOrders
    | LeaderMoved
    | AppendRequest
    | AppendAnswer
    | LeaderProbe
    | LeaderStatus
)

# A codec of its own: controllers and agents start without the messages of the entries
# and sidecars, which take a tenth of the processor time of a start.
HOSTING_CODEC = Codec(get_args(HostingMessage))

"""Messages between a controller that leads a cell and the agents of its hosts.

Messages are one-way and may be lost or repeated. Orders are numbered and sent again
until a report confirms them, and ended tasks are reported again until a message with
orders confirms that they are durable. Durations are in seconds.
"""

from dataclasses import dataclass, field
from typing import NamedTuple, get_args

from egretcrank.wire.bounds import Amount
from egretcrank.wire.envelope import Codec


class Run(NamedTuple):
    """A run of a task; the runs of a task are numbered."""

    task: str
    run: Amount


class RunningTask(NamedTuple):
    """A running task; ``progress`` is in percent of its work.

    ``measurement`` is the tail latency in milliseconds of a serving task, otherwise the
    CPU usage in millicores.
    """

    task: str
    run: Amount
    checkpoint: str
    progress: int
    measurement: float


class EndedTask(NamedTuple):
    """An ended run, which the runner keeps until its number is acknowledged."""

    number: Amount
    task: str
    run: Amount
    outcome: str
    checkpoint: str


class Pressure(NamedTuple):
    """Interference of a best-effort image with a serving image.

    ``mean`` and ``deviation`` estimate the increase of the utilization of the serving
    image for each core that the best-effort image uses.
    """

    best_effort: str
    serving: str
    mean: float
    deviation: float


class ServingHeadroom(NamedTuple):
    """Utilization that may be added to the tasks of a serving image on a host."""

    image: str
    headroom: float


# Reason of a refusal for lack of room on the runner.
NO_ROOM = "room"
# Reason of a refusal as the runner is of another kind or service than is required.
UNSUITABLE = "unsuitable"
# Reason of a refusal of a start that a stop overtook.
WITHDRAWN = "withdrawn"


class RefusedStart(NamedTuple):
    """A start that certainly had no effect.

    ``number`` is the number of its order, or 0 for an order of an earlier session, as
    two leaders may have ordered runs with the same number.
    """

    task: str
    run: Amount
    reason: str
    number: Amount


class CrashSuspect(NamedTuple):
    """A run that may have crashed the runner process ``born`` that started it.

    Suspects of one agent process are numbered from 1. ``age_seconds`` is the longest
    time that may have passed from the start to the crash. ``candidates`` is the number
    of runs that may have caused the crash. ``confirmed`` is set once another process
    of the runner has replied; until then the runner may only be silent.
    """

    number: Amount
    task: str
    run: Amount
    born: Amount
    age_seconds: float
    candidates: Amount
    confirmed: bool


class RunnerInfo(NamedTuple):
    """Description of a runner by itself.

    ``born`` identifies the runner process, and may be lower than that of the process
    before, as the time of day may go back. ``cpu`` is in millicores.
    """

    runner_id: str
    born: Amount
    service: str
    failure_domain: str
    rack: str
    labels: tuple[str, ...]
    cpu: Amount
    memory: Amount
    accelerators: Amount
    draining: bool
    remaining_seconds: float


def get_capacity(runner: RunnerInfo) -> tuple[int, int, int]:
    """Return the millicores, the memory and the accelerators of a runner."""
    return runner.cpu, runner.memory, runner.accelerators


def is_use_changed(known: RunnerInfo, runner: RunnerInfo) -> bool:
    """Return whether a runner can take other tasks than by its former description.

    A new process runs nothing, and may be of another kind.
    """
    return known._replace(remaining_seconds=0.0) != (
        runner._replace(remaining_seconds=0.0)
    )


def is_suitable(runner: RunnerInfo, service: str, label: str) -> bool:
    """Return whether a runner serves a service and has a label, if one is given."""
    return runner.service == service and (not label or label in runner.labels)


class TaskProfile(NamedTuple):
    """Properties of a task by which an agent controls paces.

    ``cpu`` is in millicores. ``best_effort`` marks a best-effort task.
    ``target_milliseconds`` bounds the tail latency of a serving task and is 0 for
    others.
    """

    cpu: int
    best_effort: bool
    image: str
    target_milliseconds: float


class TaskDemand(NamedTuple):
    """What a task reserves on a runner.

    ``cpu`` is in millicores and 0 for a best-effort task, ``memory`` in MiB.
    """

    cpu: int
    memory: int
    accelerators: int


class RunnerRequirement(NamedTuple):
    """What the tasks of a step require of a runner; ``label`` may be empty."""

    service: str
    label: str


def find_step(task: str) -> str:
    """Return the name of the step that a task belongs to."""
    return task.rpartition(".")[0]


def find_job(task: str) -> str:
    """Return the job that a task name belongs to."""
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
    """An order with its number in the session; either ``start`` or ``stop`` is set."""

    number: int
    start: StartOrder | None = None
    stop: StopOrder | None = None


@dataclass(frozen=True, slots=True)
class HostReport:
    """Report of an agent on its host.

    ``incarnation`` changes with each start of the agent. ``applied`` is the highest
    order number accepted in the session; sessions are numbered within an epoch.
    ``running`` and ``starting`` are complete if ``full`` is set and empty otherwise.
    ``ends_omitted`` is set while the runner may have runs that this agent process has
    not seen in any list, as the runner lists only some of its ended runs at a time. A
    run that is not reported meanwhile may be one of these.
    ``sent_at`` is read from the agent's own clock; the controller sends it back.
    ``pressures`` are estimates of this host that have changed since they were last
    reported, and ``rooms`` the headroom of its serving tasks; both are sent only with
    ``full``. ``unprofiled`` counts the running tasks whose profile or demand the agent
    lacks, as after its restart. ``leaving`` is set once the runner has left and
    ``silent`` while it does not respond, and ``unanswered`` if a call to it has failed
    since its last reply.
    ``suspects`` are reported until they are durable on the log.
    """

    host: str = ""
    address: str = ""
    incarnation: str = ""
    sequence: Amount = 0
    epoch: Amount = 0
    session: Amount = 0
    applied: Amount = 0
    sent_at: float = 0.0
    runner: RunnerInfo | None = None
    full: bool = False
    running: tuple[RunningTask, ...] = ()
    starting: tuple[tuple[str, Amount], ...] = ()
    ended: tuple[EndedTask, ...] = ()
    refused: tuple[RefusedStart, ...] = ()
    pressures: tuple[Pressure, ...] = ()
    rooms: tuple[ServingHeadroom, ...] = ()
    unprofiled: int = 0
    leaving: bool = False
    silent: bool = False
    unanswered: bool = False
    suspects: tuple[CrashSuspect, ...] = ()
    ends_omitted: bool = False


@dataclass(frozen=True, slots=True)
class HostOrders:
    """Orders of the leading controller, and the authority to renew leases.

    A new ``session`` of an epoch begins after the host was declared lost; orders of
    the previous session are void. Leases may last until ``authority_seconds`` after
    ``report_sent_at`` on the agent's clock. Runs that ended on the runner process
    ``born`` need not be reported again up to number ``seen_ends`` and are durable on
    the log up to ``durable_ends``. ``specs`` are the specifications, by job, that the
    orders of the session need from this message on. An agent that lacks the
    specification of an order has missed a message. ``incarnation`` is that of the
    agent the message is for, and ``report_sequence`` the number of its latest report
    that was received. ``profiles`` are those of all tasks of the host, sent if the
    agent lacks any. ``pressures`` are estimates that the leader has merged from all
    hosts. Crash suspects of the agent are durable on the log up to number
    ``durable_suspects``. ``demands`` are those of the tasks that ``orders`` start, and
    of all tasks of the host together with ``profiles``; a leader of a release that
    sends none leaves it unset. Starts may be sent to the runner until ``start_seconds``
    after ``report_sent_at`` on the agent's clock: beyond it, their jobs may have been
    cancelled without the leader knowing. A leader of a release that knows no such limit
    leaves it unset. ``last_order`` is the number of the last order of the session. An
    agent that has applied fewer has missed a message, perhaps with a stop, and sends no
    start until it has applied them. ``requirements`` are those of the steps whose tasks
    ``orders`` start, by name; a leader of a release that sends none leaves it unset.
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
    durable_suspects: int = 0
    demands: dict[str, TaskDemand] | None = None
    start_seconds: float | None = None
    last_order: int = 0
    requirements: dict[str, RunnerRequirement] | None = None


@dataclass(frozen=True, slots=True)
class LeaderMoved:
    """Tells an agent which controller leads its cell, and in which epoch."""

    epoch: Amount = 0
    address: str = ""


@dataclass(frozen=True, slots=True)
class AppendRequest:
    """Asks the leader to append a caller's record together with its own, in its epoch.

    The record may be appended more than once, as job records are idempotent.
    """

    number: int = 0
    key: str = ""
    value: bytes = b""


@dataclass(frozen=True, slots=True)
class AppendAnswer:
    """Tells whether the record of request ``number`` is on the log.

    If it is not, the leader is about to resign, and the record may still be appended.
    """

    number: int = 0
    stored: bool = False


@dataclass(frozen=True, slots=True)
class LeaderProbe:
    """Asks a controller whether it leads and its appends succeed."""

    number: int = 0


@dataclass(frozen=True, slots=True)
class LeaderStatus:
    """Tells whether records of callers are likely to be appended without delay."""

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

# Separate from ``codec``, so that controllers and agents start without loading the
# messages of entries and sidecars, which take a tenth of the CPU time of a start.
HOSTING_CODEC = Codec(get_args(HostingMessage))

"""Messages between the system's processes.

Every message is a frozen data class whose fields have defaults, so that a process of
another release can decode it: unknown fields are ignored, missing ones take the
default. Durations and clock readings are in seconds, sizes in bytes unless a name says
otherwise.
"""

from dataclasses import dataclass, field
from typing import Any


@dataclass(frozen=True, slots=True)
class Refused:
    """Reply of every call that failed; ``kind`` is a value of ``ErrorKind``."""

    kind: str = "internal"
    detail: str = ""
    where: str = ""
    expected: str = ""
    retry_after_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """Reply that carries nothing."""


@dataclass(frozen=True, slots=True)
class Ping:
    """Probe of a connection; answered with ``Acknowledged``."""


@dataclass(frozen=True, slots=True)
class Resources:
    """An amount of processors (cores), memory (MiB) and accelerators (units)."""

    processors: float = 0.0
    memory_mib: float = 0.0
    accelerators: float = 0.0


@dataclass(frozen=True, slots=True)
class Member:
    """What a sidecar announces about its host.

    ``incarnation`` grows with each start of the process; ``sequence`` with each
    announcement. ``free`` is what new tasks may still reserve.
    """

    host: str = ""
    incarnation: int = 0
    sequence: int = 0
    control_address: str = ""
    request_address: str = ""
    failure_domain: str = ""
    rack: str = ""
    services: tuple[str, ...] = ()
    slots: int = 0
    slots_busy: int = 0
    queued: int = 0
    capacity: Resources = field(default_factory=Resources)
    free: Resources = field(default_factory=Resources)
    state: str = "serving"
    partitions: tuple[int, ...] = ()
    lists_revision: int = 0
    lists_offset: int = 0
    owners_offset: int = 0


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """A member as an entry sees it.

    ``liveness`` is ``alive``, ``suspect``, ``unreachable`` or ``dead``.
    """

    member: Member = field(default_factory=Member)
    liveness: str = "alive"
    silent_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class Announce:
    """Announcement of a member, with the table version that it saw last."""

    member: Member = field(default_factory=Member)
    seen_entry: str = ""
    seen_version: int = 0


@dataclass(frozen=True, slots=True)
class AnnounceReply:
    """Changes of the membership table since the version that the sender saw."""

    entry: str = ""
    version: int = 0
    full: bool = False
    changed: tuple[MemberStatus, ...] = ()
    removed: tuple[str, ...] = ()
    known_incarnation: int = 0
    lists_offset: int = 0
    owners_offset: int = 0


@dataclass(frozen=True, slots=True)
class Execute:
    """Run a request on the upstream of the receiving host."""

    request_id: str = ""
    service: str = ""
    customer: str = ""
    timeout_seconds: float = 0.0
    content_type: str = ""
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Executed:
    """Whole answer of an upstream; ``digest`` is xxh64 of ``body`` as hex."""

    request_id: str = ""
    host: str = ""
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    digest: str = ""
    replayed: bool = False


@dataclass(frozen=True, slots=True)
class Submit:
    """Run a request that must not be repeated; sent to the owner of ``key``."""

    key: str = ""
    request: Execute = field(default_factory=Execute)


@dataclass(frozen=True, slots=True)
class ExecuteOnce:
    """Run attempt ``attempt`` of ``key`` unless it is fenced or tombstoned."""

    key: str = ""
    partition: int = 0
    epoch: int = 0
    attempt: int = 0
    incarnation: int = 0
    held: bool = False
    request: Execute = field(default_factory=Execute)


@dataclass(frozen=True, slots=True)
class AbandonAttempt:
    """Ask for the state of an attempt; one that has not started is tombstoned."""

    key: str = ""
    partition: int = 0
    epoch: int = 0
    attempt: int = 0
    incarnation: int = 0


@dataclass(frozen=True, slots=True)
class AttemptState:
    """``state`` is ``not_started``, ``running``, ``finished`` or ``unknown``."""

    state: str = "unknown"
    incarnation: int = 0
    outcome: Executed | None = None
    problem: Refused | None = None


@dataclass(frozen=True, slots=True)
class FencePartition:
    """Refuse lower epochs of ``partition`` from now on and report what is held."""

    partition: int = 0
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class HeldAttempt:
    """An attempt of a key that a host executes or has executed."""

    key: str = ""
    attempt: int = 0
    held: bool = False
    digest: str = ""
    service: str = ""
    state: str = "unknown"
    outcome: Executed | None = None
    problem: Refused | None = None


@dataclass(frozen=True, slots=True)
class TaskReport:
    """State of one attempt of a task on a host.

    ``state`` is a value of ``jobs.model.Report``.
    """

    job: str = ""
    task: str = ""
    attempt: int = 0
    partition: int = 0
    state: str = ""
    checkpoint: str = ""
    result: str = ""
    reason: str = ""
    progress: float = 0.0
    usage: Resources = field(default_factory=Resources)


@dataclass(frozen=True, slots=True)
class FenceReply:
    """What a host runs or holds for a partition."""

    host: str = ""
    incarnation: int = 0
    attempts: tuple[HeldAttempt, ...] = ()
    tasks: tuple[TaskReport, ...] = ()
    stamp: float = 0.0


@dataclass(frozen=True, slots=True)
class Session:
    """Owner's right to act on a host, as of a stamp of that host's clock."""

    partition: int = 0
    epoch: int = 0
    incarnation: int = 0
    stamp: float = 0.0


@dataclass(frozen=True, slots=True)
class StartTask:
    """Start one attempt of a task under the owner's session."""

    session: Session = field(default_factory=Session)
    job: str = ""
    task: str = ""
    attempt: int = 0
    customer: str = ""
    kind: str = ""
    command: str = ""
    checkpoint: str = ""
    repeat: str = "from_checkpoint"
    urgent: bool = False
    resources: Resources = field(default_factory=Resources)


@dataclass(frozen=True, slots=True)
class RenewSession:
    """Extend the sessions of an owner on a host and ask for task states."""

    sessions: tuple[Session, ...] = ()


@dataclass(frozen=True, slots=True)
class EvictTask:
    """Checkpoint an attempt, stop it and confirm the stop."""

    session: Session = field(default_factory=Session)
    task: str = ""
    attempt: int = 0
    reason: str = ""


@dataclass(frozen=True, slots=True)
class StopTask:
    """Stop an attempt without a checkpoint and confirm the stop."""

    session: Session = field(default_factory=Session)
    task: str = ""
    attempt: int = 0
    reason: str = ""


@dataclass(frozen=True, slots=True)
class ThrottleTask:
    """Limit an attempt to ``share`` (0 to 1) of its processors."""

    session: Session = field(default_factory=Session)
    task: str = ""
    attempt: int = 0
    share: float = 1.0
    reason: str = ""


@dataclass(frozen=True, slots=True)
class TaskReply:
    """Task states of a host, its newest session stamp and its incarnation."""

    host: str = ""
    incarnation: int = 0
    stamp: float = 0.0
    tasks: tuple[TaskReport, ...] = ()


@dataclass(frozen=True, slots=True)
class TaskEvents:
    """Task states that changed on a host, sent to the owner.

    ``epoch`` is the highest that the host has seen; an owner of a lower one must not
    acknowledge the report.
    """

    host: str = ""
    incarnation: int = 0
    partition: int = 0
    stamp: float = 0.0
    tasks: tuple[TaskReport, ...] = ()
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class TaskSpec:
    """One task of a job as its customer declared it."""

    name: str = ""
    command: str = ""
    resources: Resources = field(default_factory=Resources)
    run_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class SubmitJob:
    """Accept a job; ``key`` makes the submission idempotent."""

    key: str = ""
    customer: str = ""
    kind: str = ""
    repeat: str = "from_checkpoint"
    urgent: bool = False
    tasks: tuple[TaskSpec, ...] = ()


@dataclass(frozen=True, slots=True)
class CancelJob:
    """Cancel what has not ended of a job."""

    job: str = ""


@dataclass(frozen=True, slots=True)
class DescribeJob:
    """Ask for the state of a job."""

    job: str = ""


@dataclass(frozen=True, slots=True)
class AcknowledgeJob:
    """Let the results of an ended job be dropped."""

    job: str = ""


@dataclass(frozen=True, slots=True)
class TaskSummary:
    """State of a task as its owner knows it."""

    task: str = ""
    state: str = "waiting"
    attempt: int = 0
    host: str = ""
    reason: str = ""
    result: str = ""


@dataclass(frozen=True, slots=True)
class JobReply:
    """State of a job: ``accepted``, ``running``, ``ended`` or ``cancelled``."""

    job: str = ""
    state: str = ""
    customer: str = ""
    kind: str = ""
    tasks: tuple[TaskSummary, ...] = ()


@dataclass(frozen=True, slots=True)
class FetchState:
    """Ask a peer for the folded state of a stream."""

    stream: str = ""


@dataclass(frozen=True, slots=True)
class StateReply:
    """Folded state of a stream through ``through`` (an offset)."""

    stream: str = ""
    through: int = -1
    digest: str = ""
    state: bytes = b""


@dataclass(frozen=True, slots=True)
class Drain:
    """Ask a process to leave: take no new work, finish what runs, stop."""

    reason: str = ""


@dataclass(frozen=True, slots=True)
class DescribeProcess:
    """Ask a process for its status document."""


@dataclass(frozen=True, slots=True)
class ProcessStatus:
    """Status document of a process."""

    name: str = ""
    role: str = ""
    document: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Explain:
    """Ask for the decisions on a request, key, job or task."""

    subject: str = ""


@dataclass(frozen=True, slots=True)
class Explanation:
    """Recent decisions on a subject, oldest first."""

    subject: str = ""
    decisions: tuple[dict[str, Any], ...] = ()


Message = (
    Refused
    | Acknowledged
    | Ping
    | Announce
    | AnnounceReply
    | Execute
    | Executed
    | Submit
    | ExecuteOnce
    | AbandonAttempt
    | AttemptState
    | FencePartition
    | FenceReply
    | StartTask
    | RenewSession
    | EvictTask
    | StopTask
    | ThrottleTask
    | TaskReply
    | TaskEvents
    | SubmitJob
    | CancelJob
    | DescribeJob
    | AcknowledgeJob
    | JobReply
    | FetchState
    | StateReply
    | Drain
    | DescribeProcess
    | ProcessStatus
    | Explain
    | Explanation
)

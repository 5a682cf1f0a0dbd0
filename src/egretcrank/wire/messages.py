"""Messages between entries, sidecars and their clients.

Every message is a frozen dataclass whose fields have defaults, so that a process of
another release can decode it: unknown fields are ignored, and missing fields take the
default. Durations and clock readings are in seconds and sizes in bytes, unless a field
name says otherwise.
"""

from dataclasses import dataclass, field
from typing import Any


@dataclass(frozen=True, slots=True)
class Refused:
    """Reply to a failed call; ``kind`` is a value of ``ErrorKind``."""

    kind: str = "internal"
    detail: str = ""
    where: str = ""
    expected: str = ""
    retry_after_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """Reply without content."""


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
    """State of a host as announced by its sidecar.

    ``incarnation`` increases with each start of the process, ``sequence`` with each
    announcement. ``free`` is the capacity that new tasks may reserve.
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
    """A member in the membership table of an entry.

    ``liveness`` is ``alive``, ``suspect``, ``unreachable`` or ``dead``.
    """

    member: Member = field(default_factory=Member)
    liveness: str = "alive"
    silent_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class Announce:
    """Announcement of a member, with the last table version that it received."""

    member: Member = field(default_factory=Member)
    seen_entry: str = ""
    seen_version: int = 0


@dataclass(frozen=True, slots=True)
class AnnounceReply:
    """Changes of the membership table since the version that the member has."""

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
    """Complete response of an upstream; ``digest`` is the xxh64 of ``body`` in hex."""

    request_id: str = ""
    host: str = ""
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    digest: str = ""
    replayed: bool = False


@dataclass(frozen=True, slots=True)
class Submit:
    """Run a non-repeatable request; sent to the owner of ``key``."""

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
    """Ask for the state of an attempt, and tombstone it if it has not started."""

    key: str = ""
    partition: int = 0
    epoch: int = 0
    attempt: int = 0
    incarnation: int = 0


@dataclass(frozen=True, slots=True)
class AttemptState:
    """State of an attempt.

    ``state`` is ``not_started``, ``running``, ``finished`` or ``unknown``.
    """

    state: str = "unknown"
    incarnation: int = 0
    outcome: Executed | None = None
    problem: Refused | None = None


@dataclass(frozen=True, slots=True)
class FencePartition:
    """Refuse lower epochs of ``partition`` from now on and report its attempts."""

    partition: int = 0
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class HeldAttempt:
    """An attempt of a key that a host is executing or has executed."""

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

    ``state`` is a value of ``jobs.model.ReportedState``.
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
    """Attempts and tasks of a partition on a host."""

    host: str = ""
    incarnation: int = 0
    attempts: tuple[HeldAttempt, ...] = ()
    tasks: tuple[TaskReport, ...] = ()
    stamp: float = 0.0


@dataclass(frozen=True, slots=True)
class Session:
    """Right of an owner to act on a host.

    ``stamp`` is the reading of the host's clock from which the session counts.
    """

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
    """Checkpoint and stop an attempt, and confirm the stop."""

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
    """Limit an attempt to a ``share`` (0 to 1) of its processors."""

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

    ``epoch`` is the highest epoch that the host has seen; an owner with a lower epoch
    must not acknowledge the report.
    """

    host: str = ""
    incarnation: int = 0
    partition: int = 0
    stamp: float = 0.0
    tasks: tuple[TaskReport, ...] = ()
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class TaskSpec:
    """A task of a job as declared by its customer."""

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
    """Cancel the tasks of a job that have not ended."""

    job: str = ""


@dataclass(frozen=True, slots=True)
class DescribeJob:
    """Ask for the state of a job."""

    job: str = ""


@dataclass(frozen=True, slots=True)
class AcknowledgeJob:
    """Allow the results of an ended job to be deleted."""

    job: str = ""


@dataclass(frozen=True, slots=True)
class TaskSummary:
    """State of a task as known to its owner."""

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
    """Ask a peer for the state built from the records of a stream."""

    stream: str = ""


@dataclass(frozen=True, slots=True)
class StateReply:
    """State built from the records of a stream up to offset ``through``, inclusive."""

    stream: str = ""
    through: int = -1
    digest: str = ""
    state: bytes = b""


@dataclass(frozen=True, slots=True)
class Drain:
    """Ask a process to accept no new work, finish its running work and stop."""

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
    """Ask for the recent decisions on a request, key, job or task."""

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

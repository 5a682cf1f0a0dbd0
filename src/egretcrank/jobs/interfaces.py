"""Interfaces of an owner of jobs, and what it keeps of hosts and placements."""

from collections.abc import Awaitable, Callable, Sequence
from datetime import timedelta
from typing import NamedTuple, Protocol

from returns.result import Result

from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.stream.records import Record
from egretcrank.wire.messages import (
    AcknowledgeJob,
    CancelJob,
    DescribeJob,
    MemberStatus,
    Message,
    Resources,
    SubmitJob,
    TaskEvents,
)

Reply = Result[Message, Problem]
Append = Callable[[Record], Awaitable[Result[None, Problem]]]
JobMessage = SubmitJob | CancelJob | DescribeJob | AcknowledgeJob | TaskEvents
# Refusals after which the host will not start the attempt from any earlier message.
# Every other failure leaves open whether it was started.
DECIDED = frozenset(
    {
        ErrorKind.SESSION_ENDED,
        ErrorKind.NO_CAPACITY,
        ErrorKind.STARTING,
        ErrorKind.TOMBSTONED,
        ErrorKind.LEAVING,
        ErrorKind.BAD_REQUEST,
    }
)


class Call(Protocol):
    """Call to another process."""

    async def __call__(
        self, address: str, message: Message, timeout: timedelta
    ) -> Result[Message, Problem]:
        """Send a message and return the reply."""


class WaitingTask(NamedTuple):
    """A task to place."""

    task: str
    customer: str
    kind: str
    urgent: bool
    resources: Resources
    run_seconds: float


class PlacedTask(NamedTuple):
    """A task that this owner has placed, for policies that preempt.

    A task that must not repeat is not preemptible: an eviction that goes wrong would
    leave its outcome unknown.
    """

    task: str
    customer: str
    kind: str
    urgent: bool
    host: str
    resources: Resources
    progress: float
    preemptible: bool = True


class Placing(NamedTuple):
    """Choice of a host, or none, with the tasks to evict or throttle for it."""

    host: str | None
    reason: str
    alternatives: tuple[str, ...] = ()
    evict: tuple[str, ...] = ()
    throttle: tuple[str, ...] = ()
    share: float = 0.5


class PlaceTask(Protocol):
    """Placement function."""

    def __call__(
        self,
        task: WaitingTask,
        members: Sequence[MemberStatus],
        placed: Sequence[PlacedTask],
    ) -> Placing:
        """Choose a host among members whose capacity holds the task."""


class AttemptListener(Protocol):
    """Hears of each attempt that started: once of its start and once of its end."""

    def record_start(self, task: WaitingTask, host: str) -> None:
        """Record that an attempt of a task runs on a host."""

    def record_end(self, task: str, state: str) -> None:
        """Record that the attempt ended, with its last state as reported."""


class IgnoreAttempts:
    """Listener for owners whose placement learns nothing from attempts."""

    def record_start(self, task: WaitingTask, host: str) -> None:
        """Do nothing."""

    def record_end(self, task: str, state: str) -> None:
        """Do nothing."""


# Returns why the customer may not use these resources more, given what its tasks of
# this partition use already, or nothing.
CheckQuota = Callable[[str, Resources, Resources], str | None]


class HostSession(NamedTuple):
    """Newest stamp of a host; ``heard_at`` is when it was received."""

    address: str
    incarnation: int
    stamp: float
    heard_at: timedelta


class Placement(NamedTuple):
    """Where an attempt was sent.

    It is ``confirmed`` once the host reported it, and ``refused`` once the host
    refused it for good and only the record of that is missing.
    """

    host: str
    incarnation: int
    attempt: int
    confirmed: bool = False
    sent: bool = False
    refused: bool = False
    seen_stamp: float = 0.0
    progress: float = 0.0
    checkpointed_at: timedelta | None = None

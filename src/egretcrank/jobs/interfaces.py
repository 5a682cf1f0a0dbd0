"""Interfaces of a job owner, and its records of hosts and placements."""

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
# After these refusals the host does not start the attempt from any earlier message.
# After every other failure the attempt may have been started.
DEFINITE_REFUSALS = frozenset(
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
    """Remote call to another process."""

    async def __call__(
        self, address: str, message: Message, timeout: timedelta
    ) -> Result[Message, Problem]:
        """Send a message and return the reply or a problem."""


class WaitingTask(NamedTuple):
    """Task that waits for a host; ``run_seconds`` is its estimated run time."""

    task: str
    customer: str
    kind: str
    urgent: bool
    resources: Resources
    run_seconds: float


class PlacedTask(NamedTuple):
    """Task that this owner has placed, as input of preemption.

    A task that must not repeat is not preemptible, because its outcome would be
    unknown if the eviction failed.
    """

    task: str
    customer: str
    kind: str
    urgent: bool
    host: str
    resources: Resources
    progress: float
    preemptible: bool = True


class PlacementDecision(NamedTuple):
    """Chosen host, if any, and the tasks to evict or throttle in its favour.

    ``share`` is the share of their processors that is left to throttled tasks.
    """

    host: str | None
    reason: str
    alternatives: tuple[str, ...] = ()
    evict: tuple[str, ...] = ()
    throttle: tuple[str, ...] = ()
    share: float = 0.5


class PlaceTask(Protocol):
    """Function that chooses the host of a task."""

    def __call__(
        self,
        task: WaitingTask,
        members: Sequence[MemberStatus],
        placed: Sequence[PlacedTask],
    ) -> PlacementDecision:
        """Choose a host among members whose total capacity fits the task."""


class AttemptListener(Protocol):
    """Listener that is notified once of the start and once of the end of an attempt."""

    def record_start(self, task: WaitingTask, host: str) -> None:
        """Record that an attempt of a task is running on a host."""

    def record_end(self, task: str, state: str) -> None:
        """Record that the attempt ended in the given reported state."""


class NullAttemptListener:
    """Listener that ignores all notifications."""

    def record_start(self, task: WaitingTask, host: str) -> None:
        """Do nothing."""

    def record_end(self, task: str, state: str) -> None:
        """Do nothing."""


# Takes a customer, what its tasks of this partition use, and the additional resources;
# returns why the quota does not allow them, or None.
CheckQuota = Callable[[str, Resources, Resources], str | None]


class HostSession(NamedTuple):
    """Newest clock stamp of a host; ``received_at`` is the owner's monotonic time."""

    address: str
    incarnation: int
    stamp: float
    received_at: timedelta


class Placement(NamedTuple):
    """Host of an attempt.

    It is ``sent`` once a start was sent to the host, ``confirmed`` once the host
    reported the attempt as running, and ``refused`` while it is known that the attempt
    will not start but that is not recorded yet. ``reported_stamp`` is the stamp of the
    newest report, and ``checkpointed_at`` the monotonic time at which a checkpoint was
    last recorded, or the attempt was first reported.
    """

    host: str
    incarnation: int
    attempt: int
    confirmed: bool = False
    sent: bool = False
    refused: bool = False
    reported_stamp: float = 0.0
    progress: float = 0.0
    checkpointed_at: timedelta | None = None

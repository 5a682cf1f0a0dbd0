"""Batch work of customers: submissions as JSON, and the way to the owner."""

from dataclasses import dataclass, replace
from datetime import timedelta

import msgspec
from returns.result import Failure, Result, Success

from egretcrank.entry.owners import OwnerRoute
from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.lists.state import ListsState
from egretcrank.ownership.partitions import find_job_partition, find_partition
from egretcrank.settings.schema import Settings
from egretcrank.wire.messages import (
    AcknowledgeJob,
    CancelJob,
    DescribeJob,
    JobReply,
    Message,
    SubmitJob,
    TaskSpec,
)

CALL_TIMEOUT = timedelta(seconds=6)
ANSWER_LIMIT = timedelta(seconds=12)

JobRequest = SubmitJob | CancelJob | DescribeJob | AcknowledgeJob


@dataclass(frozen=True, slots=True)
class _Submission:
    """JSON body of a submission."""

    customer: str
    kind: str
    tasks: tuple[TaskSpec, ...]
    repeat: str = "from_checkpoint"
    urgent: bool = False


def parse_submission(body: bytes, key: str) -> Result[SubmitJob, Problem]:
    """Read a job from the body of a request."""
    if not key:
        return Failure(
            Problem(
                ErrorKind.KEY_REQUIRED,
                "a job must not be accepted twice",
                "Idempotency-Key",
                "a key of the customer's choice, unique for each job",
            )
        )
    try:
        submission = msgspec.json.decode(body, type=_Submission)
    except msgspec.MsgspecError as error:
        return Failure(
            Problem(
                ErrorKind.BAD_REQUEST,
                f"job could not be read: {error}",
                "body",
                "a JSON object with customer, kind, tasks, and optionally repeat and "
                "urgent",
            )
        )
    return Success(
        SubmitJob(
            key,
            submission.customer,
            submission.kind,
            submission.repeat,
            submission.urgent,
            submission.tasks,
        )
    )


class JobRouter:
    """Hands messages on jobs to the owner of their partition."""

    def __init__(
        self,
        settings: Settings,
        lists: ListsState,
        route: OwnerRoute,
    ) -> None:
        self._settings = settings
        self._lists = lists
        self._route = route

    async def route(self, message: JobRequest) -> Result[JobReply, Problem]:
        """Return the owner's reply; repeating is safe for every message on jobs."""
        match message:
            case SubmitJob():
                customer = self._lists.find_customer(message.customer)
                if isinstance(customer, Failure):
                    return Failure(customer.failure())
                named = replace(message, customer=customer.unwrap().name)
                return await self._send(named)
            case _:
                return await self._send(message)

    async def _send(self, message: JobRequest) -> Result[JobReply, Problem]:
        partition = self._find_partition(message)
        if partition is None:
            detail = "the identifier is not one of a job"
            return Failure(
                Problem(ErrorKind.NOT_FOUND, detail, "path", "<partition>-<random>")
            )
        return await self._route.call(
            partition,
            ANSWER_LIMIT,
            lambda _: message,
            lambda remaining: min(remaining, CALL_TIMEOUT),
            _check_reply,
        )

    def _find_partition(self, message: JobRequest) -> int | None:
        cluster = self._settings.cluster
        match message:
            case SubmitJob():
                return find_partition(message.customer, cluster)
            case _:
                return find_job_partition(message.job, cluster)


def _check_reply(message: Message) -> Result[JobReply, Problem]:
    if isinstance(message, JobReply):
        return Success(message)
    detail = f"unexpected reply {type(message).__name__}"
    return Failure(Problem(ErrorKind.INVALID_MESSAGE, detail))

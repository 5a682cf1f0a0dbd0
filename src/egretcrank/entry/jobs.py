"""Batch jobs: parsing of JSON submissions and routing to the owners of partitions."""

from dataclasses import dataclass, replace
from datetime import timedelta

import msgspec
from returns.result import Failure, Result, Success

from egretcrank.entry.owners import OwnerClient
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
from egretcrank.wire.nesting import DECODE_ERRORS

CALL_TIMEOUT = timedelta(seconds=6)
ROUTE_TIMEOUT = timedelta(seconds=12)

JobRequest = SubmitJob | CancelJob | DescribeJob | AcknowledgeJob


@dataclass(frozen=True, slots=True)
class _Submission:
    """JSON body of a job submission."""

    customer: str
    kind: str
    tasks: tuple[TaskSpec, ...]
    repeat: str = "from_checkpoint"
    urgent: bool = False


def parse_submission(body: bytes, key: str) -> Result[SubmitJob, Problem]:
    """Parse a job from the JSON body of a request.

    Fails with ``key_required`` or ``bad_request``.
    """
    if not key:
        return Failure(
            Problem(
                ErrorKind.KEY_REQUIRED,
                "a job needs a key to be accepted only once",
                "Idempotency-Key",
                "a unique key for each job, chosen by the customer",
            )
        )
    try:
        submission = msgspec.json.decode(body, type=_Submission)
    except DECODE_ERRORS as error:
        return Failure(
            Problem(
                ErrorKind.BAD_REQUEST,
                f"job could not be parsed: {error}",
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
    """Sends job messages to the owners of their partitions."""

    def __init__(
        self,
        settings: Settings,
        lists: ListsState,
        owner_client: OwnerClient,
    ) -> None:
        self._settings = settings
        self._lists = lists
        self._owner_client = owner_client

    async def route(self, message: JobRequest) -> Result[JobReply, Problem]:
        """Return the owner's reply; all job messages are safe to repeat."""
        match message:
            case SubmitJob():
                customer = self._lists.find_customer(message.customer)
                if isinstance(customer, Failure):
                    return Failure(customer.failure())
                resolved = replace(message, customer=customer.unwrap().name)
                return await self._send(resolved)
            case _:
                return await self._send(message)

    async def _send(self, message: JobRequest) -> Result[JobReply, Problem]:
        partition = self._find_partition(message)
        if partition is None:
            detail = "job ID is not valid"
            return Failure(
                Problem(ErrorKind.NOT_FOUND, detail, "path", "<partition>-<random>")
            )
        return await self._owner_client.call(
            partition,
            ROUTE_TIMEOUT,
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
    detail = f"unexpected reply type {type(message).__name__}"
    return Failure(Problem(ErrorKind.INVALID_MESSAGE, detail))

"""Client interface of the platform's worker service and its HTTP implementation.

Only this module depends on the protocol of the worker. Times are seconds on the
worker's monotonic clock. An order names the worker ``instance`` and the incarnation of
the sidecar; the worker rejects orders for another instance, from an older incarnation,
and those whose ``valid_until`` has passed.
"""

from collections.abc import Sequence
from datetime import timedelta
from typing import Any, NamedTuple, Protocol, TypeVar

import msgspec
import urllib3
from returns.result import Failure, Result, Success

from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.transport.threads import ThreadBridge
from egretcrank.wire.messages import Resources
from egretcrank.wire.nesting import DECODE_ERRORS

CALL_TIMEOUT = timedelta(seconds=2)

ReplyT = TypeVar("ReplyT")


class WorkerTask(msgspec.Struct, frozen=True):
    """Attempt that the worker runs or has run; listed until ``forget`` is called.

    ``state`` is ``running``, ``done``, ``failed`` or ``stopped``.
    """

    task: str
    attempt: int
    partition: int = 0
    job: str = ""
    state: str = "running"
    checkpoint: str = ""
    result: str = ""
    reason: str = ""
    progress: float = 0.0
    resources: Resources = Resources()


class WorkerView(msgspec.Struct, frozen=True):
    """Capacity and tasks of the worker, with its clock at the time of reading."""

    instance: str
    clock: float
    capacity: Resources
    tasks: tuple[WorkerTask, ...] = ()


class StartOrder(msgspec.Struct, frozen=True):
    """Order to start an attempt under a lease that ends at ``valid_until``."""

    instance: str
    incarnation: int
    task: str
    attempt: int
    partition: int
    job: str
    command: str
    checkpoint: str
    resources: Resources
    valid_until: float


class Lease(msgspec.Struct, frozen=True):
    """Extension of the lease of one attempt."""

    task: str
    attempt: int
    valid_until: float


class RenewOrder(msgspec.Struct, frozen=True):
    """Order to extend leases."""

    instance: str
    incarnation: int
    leases: tuple[Lease, ...]


class AttemptOrder(msgspec.Struct, frozen=True):
    """Order for one attempt; only ``throttle`` uses ``share``."""

    incarnation: int
    task: str
    attempt: int
    share: float = 1.0


class UsageReport(msgspec.Struct, frozen=True):
    """Resource usage of an attempt in a past period of the worker's clock."""

    sequence: int
    task: str
    attempt: int
    period_start: float
    period_end: float
    usage: Resources


class Attempt(NamedTuple):
    """Identity of an attempt."""

    task: str
    number: int


class WorkerClient(Protocol):
    """Interface through which a sidecar calls the worker.

    After a failure with ``call_timeout`` the order may have taken effect; after any
    other failure it has not.
    """

    async def list_tasks(self, incarnation: int) -> Result[WorkerView, Problem]:
        """List tasks, and make the worker reject orders of older incarnations."""

    async def start(self, order: StartOrder) -> Result[WorkerTask, Problem]:
        """Start an attempt."""

    async def renew(self, order: RenewOrder) -> Result[None, Problem]:
        """Extend leases."""

    async def checkpoint(self, order: AttemptOrder) -> Result[str, Problem]:
        """Write a checkpoint and return its name."""

    async def throttle(self, order: AttemptOrder) -> Result[None, Problem]:
        """Limit an attempt to a share of its processors."""

    async def stop(self, order: AttemptOrder) -> Result[WorkerTask, Problem]:
        """Stop an attempt and return its final state.

        The state of an attempt that has already ended does not change.
        """

    async def forget(self, order: AttemptOrder) -> Result[None, Problem]:
        """Remove the final state of an attempt from the worker."""

    async def read_usage(self, after: int) -> Result[Sequence[UsageReport], Problem]:
        """Return the usage reports with a sequence number above ``after``."""


class HttpWorkerClient:
    """Client of a worker that serves HTTP with JSON bodies."""

    def __init__(
        self, address: str, bridge: ThreadBridge, timeout: timedelta = CALL_TIMEOUT
    ) -> None:
        self._base = f"http://{address}"
        self._bridge = bridge
        self._timeout = timeout.total_seconds()
        # An order must not be sent twice, so urllib3's retries are disabled.
        self._pool = urllib3.PoolManager(num_pools=1, maxsize=4, retries=False)

    async def list_tasks(self, incarnation: int) -> Result[WorkerView, Problem]:
        """List tasks, and make the worker reject orders of older incarnations."""
        return await self._call("list", {"incarnation": incarnation}, WorkerView)

    async def start(self, order: StartOrder) -> Result[WorkerTask, Problem]:
        """Start an attempt."""
        return await self._call("start", order, WorkerTask)

    async def renew(self, order: RenewOrder) -> Result[None, Problem]:
        """Extend leases."""
        return await self._call("renew", order, type(None))

    async def checkpoint(self, order: AttemptOrder) -> Result[str, Problem]:
        """Write a checkpoint and return its name."""
        return await self._call("checkpoint", order, str)

    async def throttle(self, order: AttemptOrder) -> Result[None, Problem]:
        """Limit an attempt to a share of its processors."""
        return await self._call("throttle", order, type(None))

    async def stop(self, order: AttemptOrder) -> Result[WorkerTask, Problem]:
        """Stop an attempt and return its final state."""
        return await self._call("stop", order, WorkerTask)

    async def forget(self, order: AttemptOrder) -> Result[None, Problem]:
        """Remove the final state of an attempt from the worker."""
        return await self._call("forget", order, type(None))

    async def read_usage(self, after: int) -> Result[Sequence[UsageReport], Problem]:
        """Return the usage reports with a sequence number above ``after``."""
        reply = await self._call("usage", {"after": after}, list[UsageReport])
        return reply.map(tuple)

    async def _call(
        self, action: str, order: Any, kind: type[ReplyT]
    ) -> Result[ReplyT, Problem]:
        body = msgspec.json.encode(order)
        reply = await self._bridge.run_blocking(self._send, action, body)
        return reply.bind(lambda data: _decode(action, data, kind))

    def _send(self, action: str, body: bytes) -> Result[bytes, Problem]:
        try:
            response = self._pool.request(
                "POST",
                f"{self._base}/{action}",
                body=body,
                headers={"Content-Type": "application/json"},
                timeout=urllib3.Timeout(connect=self._timeout, read=self._timeout),
            )
        except urllib3.exceptions.NewConnectionError as error:
            return _fail(ErrorKind.UNREACHABLE, action, str(error))
        except urllib3.exceptions.HTTPError as error:
            return _fail(ErrorKind.CALL_TIMEOUT, action, str(error))
        if response.status == 200:
            return Success(response.data)
        text = response.data.decode("utf-8", "replace")[:500]
        if response.status >= 500 and response.status != 503:
            return _fail(ErrorKind.CALL_TIMEOUT, action, text)
        return _fail(ErrorKind.UPSTREAM_FAILED, action, text)

    def close(self) -> None:
        """Close idle connections."""
        self._pool.clear()


def _decode(action: str, data: bytes, kind: type[ReplyT]) -> Result[ReplyT, Problem]:
    try:
        return Success(msgspec.json.decode(data, type=kind))
    except DECODE_ERRORS as error:
        return _fail(ErrorKind.CALL_TIMEOUT, action, f"reply is malformed: {error}")


def _fail(kind: ErrorKind, action: str, detail: str) -> Result[Any, Problem]:
    return Failure(Problem(kind, detail, f"worker {action}"))

"""Calls to the owner of a partition, retried when the owner changes."""

from collections.abc import Callable
from datetime import timedelta
from typing import TypeVar

from returns.result import Failure, Result, Success

from egretcrank.clock import Clock
from egretcrank.errors.answers import mark_outcome_unknown, was_not_run
from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.ownership.state import OwnersState
from egretcrank.transport.client import Peers
from egretcrank.wire.messages import Message

RETRY_DELAY = timedelta(milliseconds=100)

# After a failure with one of these kinds the partition may have a new owner.
OWNER_CHANGE_KINDS = frozenset(
    {
        ErrorKind.NOT_OWNER,
        ErrorKind.NO_OWNER,
        ErrorKind.UNREACHABLE,
        ErrorKind.CALL_TIMEOUT,
        ErrorKind.STALE_EPOCH,
    }
)

AnswerT = TypeVar("AnswerT")


class OwnerClient:
    """Calls the current owner of a partition, and its successor after a change."""

    def __init__(self, owners: OwnersState, peers: Peers, clock: Clock) -> None:
        self._owners = owners
        self._peers = peers
        self._clock = clock

    async def call(
        self,
        partition: int,
        timeout: timedelta,
        build_message: Callable[[timedelta], Message],
        call_timeout: Callable[[timedelta], timedelta],
        check_reply: Callable[[Message], Result[AnswerT, Problem]],
    ) -> Result[AnswerT, Problem]:
        """Return the owner's reply, validated by ``check_reply``, within ``timeout``.

        The message is sent again after a change of owner, so it must be safe to repeat.
        ``build_message`` and ``call_timeout`` receive the remaining time. An error kind
        that proves that nothing ran is returned only if no owner can have run the
        message.
        """
        deadline = self._clock.monotonic() + timeout
        may_have_run = False
        last_problem = Problem(
            ErrorKind.NO_OWNER,
            f"partition {partition} has no owner",
            retry_after=timedelta(seconds=1),
        )
        while (remaining := deadline - self._clock.monotonic()) > timedelta(0):
            owner = self._owners.find_owner(partition)
            if owner is not None and not owner.released:
                reply = await self._peers.call(
                    owner.address, build_message(remaining), call_timeout(remaining)
                )
                answer = reply.bind(check_reply)
                if isinstance(answer, Success):
                    return answer
                last_problem = answer.failure()
                may_have_run = may_have_run or not was_not_run(last_problem.kind)
                if last_problem.kind not in OWNER_CHANGE_KINDS:
                    break
            await self._clock.sleep(RETRY_DELAY)
        return Failure(mark_outcome_unknown(last_problem, may_have_run))

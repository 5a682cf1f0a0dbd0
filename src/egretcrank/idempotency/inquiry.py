"""Queries to executors about attempts of keys."""

from datetime import timedelta

from returns.result import Failure, Success

from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.idempotency.context import Outcome, OwnerContext
from egretcrank.idempotency.state import KeyEntry
from egretcrank.wire.codec import parse_refusal
from egretcrank.wire.messages import AbandonAttempt, AttemptState, Executed, Member

ABANDON_TIMEOUT = timedelta(seconds=1)


class ExecutorClient:
    """Queries executors on behalf of a partition's owner under one epoch."""

    def __init__(self, partition: int, epoch: int, context: OwnerContext) -> None:
        self._partition = partition
        self._epoch = epoch
        self._context = context

    async def abandon_attempt(self, entry: KeyEntry) -> AttemptState | None:
        """Abandon an attempt unless it has started, and return its state.

        Returns ``None`` if the executor does not reply.
        """
        member = self._find_member(entry.host)
        if member is None:
            return None
        if member.incarnation != entry.incarnation:
            return AttemptState("unknown", member.incarnation)
        # Control messages do not share a connection with dispatches.
        reply = await self._context.peers.call(
            member.control_address,
            AbandonAttempt(
                entry.key,
                self._partition,
                self._epoch,
                entry.attempt,
                entry.incarnation,
            ),
            ABANDON_TIMEOUT,
        )
        match reply:
            case Success(AttemptState() as state):
                return state
            case _:
                return None

    def _find_member(self, host: str) -> Member | None:
        for status in self._context.members():
            if status.member.host == host:
                return status.member
        return None


def parse_outcome(state: AttemptState | None, entry: KeyEntry) -> Outcome | None:
    """Convert the state of an attempt to its outcome; ``None`` if not known yet."""
    match state:
        case None | AttemptState(state="running"):
            return None
        case AttemptState(state="not_started"):
            return Failure(Problem(ErrorKind.TOMBSTONED, "the attempt did not start"))
        case AttemptState(state="finished", outcome=Executed() as executed):
            return Success(executed)
        case AttemptState(state="finished", problem=refusal) if refusal:
            return Failure(parse_refusal(refusal))
        case _:
            detail = f"{entry.host} was restarted after it received the attempt"
            return Failure(Problem(ErrorKind.OUTCOME_UNKNOWN, detail, entry.key))

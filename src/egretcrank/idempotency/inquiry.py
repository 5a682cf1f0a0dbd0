"""Questions to an executor about an attempt of a key."""

from datetime import timedelta

from returns.result import Failure, Success

from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.idempotency.context import Outcome, OwnerContext
from egretcrank.idempotency.state import KeyEntry
from egretcrank.wire.codec import parse_refusal
from egretcrank.wire.messages import AbandonAttempt, AttemptState, Executed, Member

ABANDON_TIMEOUT = timedelta(seconds=1)


class AttemptInquiry:
    """Asks executors on behalf of the owner of a partition under one epoch."""

    def __init__(self, partition: int, epoch: int, context: OwnerContext) -> None:
        self._partition = partition
        self._epoch = epoch
        self._context = context

    async def ask(self, entry: KeyEntry) -> AttemptState | None:
        """Ask the executor of an attempt; ``None`` if it does not answer."""
        member = self._find_member(entry.host)
        if member is None:
            return None
        if member.incarnation != entry.incarnation:
            return AttemptState("unknown", member.incarnation)
        # Control messages use another connection than the dispatch did.
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


def read_state(state: AttemptState | None, entry: KeyEntry) -> Outcome | None:
    """Read the outcome of an attempt; ``None`` while it is not known."""
    match state:
        case None | AttemptState(state="running"):
            return None
        case AttemptState(state="not_started"):
            return Failure(Problem(ErrorKind.TOMBSTONED, "attempt did not start"))
        case AttemptState(state="finished", outcome=Executed() as executed):
            return Success(executed)
        case AttemptState(state="finished", problem=refusal) if refusal:
            return Failure(parse_refusal(refusal))
        case _:
            detail = f"{entry.host} was restarted since it took the attempt"
            return Failure(Problem(ErrorKind.OUTCOME_UNKNOWN, detail, entry.key))

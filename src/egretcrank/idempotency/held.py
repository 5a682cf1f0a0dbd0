"""Keys whose records are held in memory while the log is down."""

from dataclasses import dataclass, field

from egretcrank.errors.answers import was_not_run
from egretcrank.idempotency.context import Outcome
from egretcrank.idempotency.state import KeyEntry
from egretcrank.stream.records import Entry, KeyClaim
from egretcrank.wire.codec import parse_refusal
from egretcrank.wire.messages import HeldAttempt


@dataclass(slots=True)
class HeldKey:
    """Records of a key that wait for the log, and what is known of its newest attempt.

    Without an outcome the attempt is still running.
    """

    records: list[Entry] = field(default_factory=list)
    digest: str = ""
    last: KeyEntry | None = None
    was_not_run: bool = False
    outcome: Outcome | None = None


def build_held_entry(claim: Entry) -> KeyEntry:
    """Build the state of a key from a claim that is held in memory."""
    match claim.record:
        case KeyClaim() as record:
            return KeyEntry(
                record.key,
                record.attempt,
                record.host,
                record.incarnation,
                record.digest,
                record.service,
                True,
                record.claimed_at,
            )
    raise AssertionError("held record is not a claim")


def may_have_run(attempt: HeldAttempt) -> bool:
    """Tell whether a reported attempt ran, or may run still."""
    if attempt.state == "finished" and attempt.problem is not None:
        return not was_not_run(parse_refusal(attempt.problem).kind)
    return attempt.state != "not_started"

"""Keys whose records are held in memory while the log is unavailable."""

from dataclasses import dataclass, field

from egretcrank.errors.answers import was_not_run
from egretcrank.idempotency.context import Outcome
from egretcrank.idempotency.state import KeyEntry
from egretcrank.stream.records import Entry, KeyClaim
from egretcrank.wire.codec import parse_refusal
from egretcrank.wire.messages import HeldAttempt


@dataclass(slots=True)
class HeldKey:
    """Records of a key that are not yet in the log, and the state of its last attempt.

    ``outcome`` is ``None`` while the attempt is running.
    """

    records: list[Entry] = field(default_factory=list)
    digest: str = ""
    last_attempt: KeyEntry | None = None
    was_not_run: bool = False
    outcome: Outcome | None = None


def build_key_entry(claim: Entry) -> KeyEntry:
    """Build the key's entry from a claim that is held in memory."""
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
    """Return whether a reported attempt ran or may still run."""
    if attempt.state == "finished" and attempt.problem is not None:
        return not was_not_run(parse_refusal(attempt.problem).kind)
    return attempt.state != "not_started"

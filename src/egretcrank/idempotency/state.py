"""Claims and outcomes of the idempotency keys of one partition."""

from collections import OrderedDict
from dataclasses import dataclass, replace
from datetime import timedelta

from returns.result import Failure, Success

from egretcrank.errors.answers import was_not_run
from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.stream.reader import Verdict
from egretcrank.stream.records import KeyClaim, KeyOutcome
from egretcrank.wire.codec import parse_refusal
from egretcrank.wire.messages import Executed, Refused


@dataclass(frozen=True, slots=True)
class KeyEntry:
    """Newest attempt of a key, and its outcome or problem once that is known."""

    key: str
    attempt: int
    host: str
    incarnation: int
    digest: str
    service: str
    held: bool
    claimed_at: float
    outcome: Executed | None = None
    problem: Refused | None = None

    @property
    def was_not_run(self) -> bool:
        """Whether the newest attempt is recorded as not run."""
        return self.problem is not None and was_not_run(
            parse_refusal(self.problem).kind
        )

    @property
    def is_final(self) -> bool:
        """Whether the outcome is recorded and no attempt may follow."""
        return self.outcome is not None or (
            self.problem is not None and not self.was_not_run
        )


class KeysState:
    """Keys of one partition in the order of their claims.

    An attempt may follow only one that is recorded as not run. Keys with a recorded end
    are dropped once they are older than the retention, by the times in the records.
    """

    def __init__(self, retention: timedelta) -> None:
        self._retention = retention.total_seconds()
        self._keys: OrderedDict[str, KeyEntry] = OrderedDict()

    def find(self, key: str) -> KeyEntry | None:
        """Return the entry of a key."""
        return self._keys.get(key)

    def __len__(self) -> int:
        return len(self._keys)

    def apply_claim(self, claim: KeyClaim) -> Verdict:
        """Apply a claim of the first attempt, or of one after a not-run attempt."""
        current = self._keys.get(claim.key)
        expected = 1
        if current is not None:
            if current.digest != claim.digest:
                return Failure(_describe(ErrorKind.KEY_REUSED, claim.key, "digest"))
            if not current.was_not_run:
                return Failure(
                    _describe(ErrorKind.TOMBSTONED, claim.key, "is claimed already")
                )
            expected = current.attempt + 1
        if claim.attempt != expected:
            return Failure(
                _describe(ErrorKind.TOMBSTONED, claim.key, f"expects {expected}")
            )
        self._keys[claim.key] = KeyEntry(
            claim.key,
            claim.attempt,
            claim.host,
            claim.incarnation,
            claim.digest,
            claim.service,
            claim.held,
            claim.claimed_at,
        )
        self._keys.move_to_end(claim.key)
        self._drop_old(claim.claimed_at)
        return Success(None)

    def apply_outcome(self, outcome: KeyOutcome) -> Verdict:
        """Apply the first outcome or problem of the newest attempt."""
        current = self._keys.get(outcome.key)
        if current is None or current.attempt != outcome.attempt:
            return Failure(
                _describe(ErrorKind.INVALID_RECORD, outcome.key, "attempt differs")
            )
        if current.outcome is not None or current.problem is not None:
            return Failure(
                _describe(ErrorKind.INVALID_RECORD, outcome.key, "has an outcome")
            )
        self._keys[outcome.key] = replace(
            current, outcome=outcome.outcome, problem=outcome.problem
        )
        return Success(None)

    def _drop_old(self, now: float) -> None:
        while self._keys:
            oldest = next(iter(self._keys.values()))
            if oldest.claimed_at >= now - self._retention:
                return
            if oldest.outcome is None and oldest.problem is None:
                return
            del self._keys[oldest.key]

    def list_entries(self) -> tuple[KeyEntry, ...]:
        """Return all entries, for a snapshot."""
        return tuple(self._keys.values())

    def load_entries(self, entries: tuple[KeyEntry, ...]) -> None:
        """Replace all entries."""
        self._keys = OrderedDict((entry.key, entry) for entry in entries)


def _describe(kind: ErrorKind, key: str, detail: str) -> Problem:
    return Problem(kind, f"key {key!r}: {detail}", "key")

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
    """Newest attempt of a key, and its outcome or problem once recorded.

    ``claimed_at`` is in seconds since the Unix epoch.
    """

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
        """Whether an outcome is recorded after which no attempt is allowed."""
        return self.outcome is not None or (
            self.problem is not None and not self.was_not_run
        )


class KeysState:
    """Keys of one partition in the order of their claims.

    A new attempt is valid only if the previous one is recorded as not run. Keys with a
    recorded outcome or problem expire after the retention period, measured by the
    timestamps of the claims.
    """

    def __init__(self, retention: timedelta) -> None:
        self._retention = retention.total_seconds()
        self._keys: OrderedDict[str, KeyEntry] = OrderedDict()

    def find(self, key: str) -> KeyEntry | None:
        """Return the entry of a key, or ``None``."""
        return self._keys.get(key)

    def __len__(self) -> int:
        return len(self._keys)

    def apply_claim(self, claim: KeyClaim) -> Verdict:
        """Apply a claim of a first attempt, or of one that follows a not-run attempt.

        Fails with ``KEY_REUSED`` if the digest differs, and with ``TOMBSTONED`` if the
        attempt is not the next one.
        """
        current = self._keys.get(claim.key)
        expected = 1
        if current is not None:
            if current.digest != claim.digest:
                return Failure(
                    _build_problem(ErrorKind.KEY_REUSED, claim.key, "other digest")
                )
            if not current.was_not_run:
                return Failure(
                    _build_problem(ErrorKind.TOMBSTONED, claim.key, "already claimed")
                )
            expected = current.attempt + 1
        if claim.attempt != expected:
            return Failure(
                _build_problem(
                    ErrorKind.TOMBSTONED, claim.key, f"expected attempt {expected}"
                )
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
        self._drop_expired(claim.claimed_at)
        return Success(None)

    def apply_outcome(self, outcome: KeyOutcome) -> Verdict:
        """Apply the outcome or problem of the newest attempt.

        Fails with ``INVALID_RECORD`` for other attempts and for a second outcome.
        """
        current = self._keys.get(outcome.key)
        if current is None or current.attempt != outcome.attempt:
            return Failure(
                _build_problem(
                    ErrorKind.INVALID_RECORD, outcome.key, "not the newest attempt"
                )
            )
        if current.outcome is not None or current.problem is not None:
            return Failure(
                _build_problem(
                    ErrorKind.INVALID_RECORD, outcome.key, "outcome already recorded"
                )
            )
        self._keys[outcome.key] = replace(
            current, outcome=outcome.outcome, problem=outcome.problem
        )
        return Success(None)

    def _drop_expired(self, now: float) -> None:
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


def _build_problem(kind: ErrorKind, key: str, detail: str) -> Problem:
    return Problem(kind, f"key {key!r}: {detail}", "key")

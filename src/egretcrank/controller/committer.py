"""Appends the leader's records; each append confirms that it is still the leader."""

import logging
import threading
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from datetime import timedelta
from typing import NamedTuple

from returns.result import Failure, Success

from egretcrank.clock import Clock
from egretcrank.controller.batches import Entry, divide_entries, halve
from egretcrank.controller.election import Appender
from egretcrank.errors.kinds import ErrorKind
from egretcrank.observability.metrics import Metrics
from egretcrank.platform.store import encode_keyed
from egretcrank.scheduling.cell import Cell
from egretcrank.scheduling.changes import Changes
from egretcrank.scheduling.records import PROGRESS_KINDS, LogChange

# Leases are granted relative to the last confirmation of the leadership, so this
# interval shortens them by at most half a second.
CONFIRMATION_INTERVAL = timedelta(milliseconds=500)
# Pause between two appends, during which records of the next batch are collected. It
# delays a caller's record by half of that on average.
BATCH_INTERVAL = timedelta(milliseconds=25)
# Limit on the callers' records that are taken at a time.
MAX_BATCH_BYTES = 1024 * 1024
RETRY_DELAY = timedelta(milliseconds=100)
# An append that takes longer indicates that the log is unavailable or slow.
SLOW_APPEND_THRESHOLD = timedelta(milliseconds=300)

logger = logging.getLogger(__name__)


class Submission(NamedTuple):
    """An encoded record of a caller.

    ``on_result`` is called with True once the record is in the log, or with False if it
    may not be.
    """

    record: bytes
    on_result: Callable[[bool], None]


# Reason of the end of a job whose progress the log refuses.
TOO_LARGE = "its progress is too large for the log"


class Committer:
    """Appends records for one epoch on its own thread until it is fenced or stopped.

    It is fenced once the log rejects its epoch, because a later leader has appended
    under a higher epoch.

    Callers' records are batched with those of the leader. Appends to one partition are
    serialized, so with a slow log a separate append for each job would delay the
    confirmations of the leadership that all leases depend on.
    """

    def __init__(
        self,
        cell: Cell,
        appender: Appender,
        lock: threading.Condition,
        on_change: Callable[[], None],
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._metrics = metrics
        self._clock = clock
        self._cell = cell
        self._appender = appender
        self._lock = lock
        self._on_change = on_change
        self._wake_event = threading.Event()
        self._submissions: deque[Submission] = deque()
        self._append_started_at: timedelta | None = None
        self._stopped = False
        self.fenced = False

    def wake(self) -> None:
        """Start the next append early; called after each change of the cell."""
        self._wake_event.set()

    def submit(self, submission: Submission) -> None:
        """Append a caller's record with the next batch."""
        self._submissions.append(submission)
        self.wake()
        if self._is_finished:
            self._fail_submissions()

    @property
    def is_accepting(self) -> bool:
        """Whether a record submitted now is likely to be appended without delay."""
        started_at = self._append_started_at
        is_slow = (
            started_at is not None
            and self._clock.boottime() - started_at > SLOW_APPEND_THRESHOLD
        )
        return not self._is_finished and not is_slow

    def run(self) -> None:
        """Append batches until fenced or stopped."""
        while not self._is_finished:
            self._wake_event.wait(CONFIRMATION_INTERVAL.total_seconds())
            self._wake_event.clear()
            submissions = self._take_batch()
            with self._lock:
                changes = self._cell.take_changes()
            entries = [Entry(s.record, on_result=s.on_result) for s in submissions]
            records = [Entry(_encode(c), key=c.key) for c in changes.records]
            # A cancellation that a caller stores again outlasts its deletion.
            if not self._append([*records, *entries], changes):
                for entry in entries:
                    entry.resolve(False)
                self._fail_submissions()
            if not self._is_finished:
                threading.Event().wait(BATCH_INTERVAL.total_seconds())
        self._fail_submissions()

    @property
    def _is_finished(self) -> bool:
        return self._stopped or self.fenced

    def _take_batch(self) -> list[Submission]:
        batch: list[Submission] = []
        size = 0
        while self._submissions:
            size += len(self._submissions[0].record)
            if batch and size > MAX_BATCH_BYTES:
                break
            batch.append(self._submissions.popleft())
        if self._submissions:
            self._wake_event.set()
        return batch

    def _fail_submissions(self) -> None:
        """Report to all queued callers that their records may be lost."""
        while self._submissions:
            self._submissions.popleft().on_result(False)

    def _append(self, entries: Iterable[Entry], changes: Changes) -> bool:
        """Append all records; return False if fenced or stopped.

        The changes are durable once all of them are stored. Each append confirms the
        leadership, so that many records outlast no lease.
        """
        for batch in divide_entries(entries):
            if not self._append_batch(batch):
                return False
        with self._lock:
            self._cell.mark_durable(changes)
            self._on_change()
        return True

    def _append_batch(self, batch: Sequence[Entry]) -> bool:
        """Retry an append until it succeeds; return False if fenced or stopped."""
        records = [entry.record for entry in batch]
        started_at = self._append_started_at = self._clock.boottime()
        while not self._stopped:
            match self._appender.append(records):
                case Success(appended):
                    elapsed = self._clock.boottime() - started_at
                    self._append_started_at = None
                    self._metrics.append_seconds.add({}, elapsed.total_seconds())
                    with self._lock:
                        self._cell.confirm(appended.end, self._appender.confirmed_at)
                    for entry in batch:
                        entry.resolve(True)
                    return True
                case Failure(problem):
                    logger.warning(
                        "append failed",
                        extra={"kind": problem.kind, "detail": problem.detail},
                    )
                    self._metrics.log_appends.inc(
                        {"stream": "cell", "result": problem.kind.value}
                    )
                    if problem.kind is ErrorKind.STALE_EPOCH:
                        self.fenced = True
                        return False
                    if problem.kind is ErrorKind.BODY_TOO_LARGE and batch:
                        return self._append_refused(batch)
            threading.Event().wait(RETRY_DELAY.total_seconds())
        return False

    def _append_refused(self, batch: Sequence[Entry]) -> bool:
        """Append refused records apart, except one that is too large by itself.

        The log would refuse the same append for good, and get nothing else.
        """
        if len(batch) > 1:
            return all(self._append_batch(half) for half in halve(batch))
        (entry,) = batch
        logger.error(
            "record is too large for the log",
            extra={
                "key": entry.key.format() if entry.key else "",
                "bytes": len(entry.record),
            },
        )
        entry.resolve(False)
        if entry.key is None or entry.key.kind not in PROGRESS_KINDS:
            return True
        with self._lock:
            end = self._cell.give_up_job(entry.key.job_id, TOO_LARGE)
        return end is None or self._append_batch([Entry(_encode(end))])

    def stop(self) -> None:
        """Stop after the attempt to append that is in progress."""
        self._stopped = True
        self._wake_event.set()


def _encode(change: LogChange) -> bytes:
    return encode_keyed(change.key.format(), change.value)

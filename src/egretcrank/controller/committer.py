"""Appends the leader's records; each append confirms that it is still the leader."""

import logging
import threading
from collections import deque
from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import NamedTuple

from returns.result import Failure, Success

from egretcrank.clock import Clock
from egretcrank.controller.election import Appender
from egretcrank.errors.kinds import ErrorKind
from egretcrank.observability.metrics import Metrics
from egretcrank.platform.store import encode_keyed
from egretcrank.scheduling.cell import Cell
from egretcrank.scheduling.changes import Changes

# Leases are granted relative to the last confirmation of the leadership, so this
# interval shortens them by at most half a second.
CONFIRMATION_INTERVAL = timedelta(milliseconds=500)
# Pause between two appends, during which records of the next batch are collected. It
# delays a caller's record by half of that on average.
BATCH_INTERVAL = timedelta(milliseconds=25)
# Limit on the callers' records in one append. The platform accepts 2 MiB per append,
# including the leader's own records.
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
            self._fail_submissions(())

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
            if self._append(changes, submissions):
                for submission in submissions:
                    submission.on_result(True)
            else:
                self._fail_submissions(submissions)
            if not self._is_finished:
                threading.Event().wait(BATCH_INTERVAL.total_seconds())
        self._fail_submissions(())

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

    def _fail_submissions(self, submissions: Iterable[Submission]) -> None:
        """Report to these and all queued callers that their records may be lost."""
        for submission in submissions:
            submission.on_result(False)
        while self._submissions:
            self._submissions.popleft().on_result(False)

    def _append(self, changes: Changes, submissions: Iterable[Submission]) -> bool:
        """Retry an append until it succeeds; return False if fenced or stopped."""
        records = [
            encode_keyed(change.key.format(), change.value)
            for change in changes.records
        ]
        records += [submission.record for submission in submissions]
        started_at = self._append_started_at = self._clock.boottime()
        while not self._stopped:
            match self._appender.append(records):
                case Success(appended):
                    elapsed = self._clock.boottime() - started_at
                    self._append_started_at = None
                    self._metrics.append_seconds.add({}, elapsed.total_seconds())
                    with self._lock:
                        self._cell.mark_durable(changes)
                        self._cell.confirm(appended.end, self._appender.confirmed_at)
                        self._on_change()
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
            threading.Event().wait(RETRY_DELAY.total_seconds())
        return False

    def stop(self) -> None:
        """Stop after the attempt to append that is in progress."""
        self._stopped = True
        self._wake_event.set()

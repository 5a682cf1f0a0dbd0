"""Writes the leader's records, and proves with each append that it still leads."""

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

# Each lease may last until its limit after the last proof, so a proof costs half a
# second of lease at most.
PROOF_INTERVAL = timedelta(milliseconds=500)
# Pause between two appends, in which records of the next one come together. A caller
# waits for half of it on average.
GROUP_INTERVAL = timedelta(milliseconds=25)
# Callers' records of one append; the platform takes 2 MiB with all the others.
MAX_GROUP_BYTES = 1024 * 1024
RETRY_AFTER = timedelta(milliseconds=100)
# An append that has not ended after this long tells of a log that is away or slow.
PROMPT_APPEND = timedelta(milliseconds=300)

logger = logging.getLogger(__name__)


class Submission(NamedTuple):
    """An encoded record of a caller; ``done`` is told whether it is on the log."""

    record: bytes
    done: Callable[[bool], None]


class Committer:
    """Appends for one epoch on a thread of its own until it is fenced or stopped.

    Records of callers go with the leader's own. Answers a slow log: appends to one
    partition wait for one another, and one for each job would hold up the proofs that
    all leases rest on.
    """

    def __init__(
        self,
        cell: Cell,
        appender: Appender,
        lock: threading.Condition,
        changed: Callable[[], None],
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._metrics = metrics
        self._clock = clock
        self._cell = cell
        self._appender = appender
        self._lock = lock
        self._changed = changed
        self._urgent = threading.Event()
        self._submissions: deque[Submission] = deque()
        self._append_began: timedelta | None = None
        self._stopped = False
        self.fenced = False

    def wake(self) -> None:
        """Append soon; called with each change of the cell."""
        self._urgent.set()

    def submit(self, submission: Submission) -> None:
        """Append a caller's record with the next group."""
        self._submissions.append(submission)
        self.wake()
        if self._is_over:
            self._abandon(())

    @property
    def accepts(self) -> bool:
        """Tell whether a record that came now would be appended at once."""
        began = self._append_began
        late = began is not None and self._clock.boottime() - began > PROMPT_APPEND
        return not self._is_over and not late

    def run(self) -> None:
        """Append until fenced or stopped."""
        while not self._is_over:
            self._urgent.wait(PROOF_INTERVAL.total_seconds())
            self._urgent.clear()
            submissions = self._take_submissions()
            with self._lock:
                changes = self._cell.take_changes()
            if self._append(changes, submissions):
                for submission in submissions:
                    submission.done(True)
            else:
                self._abandon(submissions)
            if not self._is_over:
                threading.Event().wait(GROUP_INTERVAL.total_seconds())
        self._abandon(())

    @property
    def _is_over(self) -> bool:
        return self._stopped or self.fenced

    def _take_submissions(self) -> list[Submission]:
        taken: list[Submission] = []
        size = 0
        while self._submissions and size < MAX_GROUP_BYTES:
            taken.append(self._submissions.popleft())
            size += len(taken[-1].record)
        if self._submissions:
            self._urgent.set()
        return taken

    def _abandon(self, submissions: Iterable[Submission]) -> None:
        """Tell callers that their records may not be on the log."""
        for submission in submissions:
            submission.done(False)
        while self._submissions:
            self._submissions.popleft().done(False)

    def _append(self, changes: Changes, submissions: Iterable[Submission]) -> bool:
        """Append until it succeeds; tell whether it did before the end."""
        records = [
            encode_keyed(change.key.format(), change.value)
            for change in changes.records
        ]
        records += [submission.record for submission in submissions]
        began = self._append_began = self._clock.boottime()
        while not self._stopped:
            match self._appender.append(records):
                case Success(appended):
                    took = self._clock.boottime() - began
                    self._append_began = None
                    self._metrics.append_seconds.add({}, took.total_seconds())
                    with self._lock:
                        self._cell.mark_durable(changes)
                        self._cell.confirm(appended.end, self._appender.proven_at)
                        self._changed()
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
            threading.Event().wait(RETRY_AFTER.total_seconds())
        return False

    def stop(self) -> None:
        """Stop after the append in flight."""
        self._stopped = True
        self._urgent.set()

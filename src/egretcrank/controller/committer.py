"""Writes the leader's records, and proves with each append that it still leads."""

import logging
import threading
from collections.abc import Callable
from datetime import timedelta

from returns.result import Failure, Success

from egretcrank.controller.election import Appender
from egretcrank.errors.kinds import ErrorKind
from egretcrank.platform.store import encode_keyed
from egretcrank.scheduling.cell import Cell
from egretcrank.scheduling.changes import Changes

# Each lease may last until its limit after the last proof, so a proof costs half a
# second of lease at most.
PROOF_INTERVAL = timedelta(milliseconds=500)
# Records of one append; waiting this long halves the number of appends under load.
GROUP_INTERVAL = timedelta(milliseconds=40)
RETRY_AFTER = timedelta(milliseconds=100)

logger = logging.getLogger(__name__)


class Committer:
    """Appends for one epoch on a thread of its own until it is fenced or stopped."""

    def __init__(
        self,
        cell: Cell,
        appender: Appender,
        lock: threading.Condition,
        changed: Callable[[], None],
    ) -> None:
        self._cell = cell
        self._appender = appender
        self._lock = lock
        self._changed = changed
        self._urgent = threading.Event()
        self._stopped = False
        self.fenced = False

    def wake(self) -> None:
        """Append soon; called with each change of the cell."""
        self._urgent.set()

    def run(self) -> None:
        """Append until fenced or stopped."""
        while not self._stopped and not self.fenced:
            self._urgent.wait(PROOF_INTERVAL.total_seconds())
            self._urgent.clear()
            with self._lock:
                changes = self._cell.take_changes()
            self._append(changes)
            if not self._stopped:
                threading.Event().wait(GROUP_INTERVAL.total_seconds())

    def _append(self, changes: Changes) -> None:
        records = [
            encode_keyed(change.key.format(), change.value)
            for change in changes.records
        ]
        while not self._stopped:
            match self._appender.append(records):
                case Success(appended):
                    with self._lock:
                        self._cell.mark_durable(changes)
                        self._cell.confirm(appended.end, self._appender.proven_at)
                        self._changed()
                    return
                case Failure(problem):
                    logger.warning(
                        "append failed",
                        extra={"kind": problem.kind, "detail": problem.detail},
                    )
                    if problem.kind is ErrorKind.STALE_EPOCH:
                        self.fenced = True
                        return
            threading.Event().wait(RETRY_AFTER.total_seconds())

    def stop(self) -> None:
        """Stop after the append in flight."""
        self._stopped = True
        self._urgent.set()

"""Followers of the log: the cell's records and the operator's."""

import logging
import threading
from collections.abc import Callable
from datetime import timedelta

from returns.result import Failure, Result, Success

from egretcrank.clock import Clock
from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.platform.store import LogPage, Store
from egretcrank.scheduling.table import StoredValue

# A longer wait would save calls, but leave a dead connection unnoticed for longer.
POLL = timedelta(seconds=1)
RETRY_AFTER = timedelta(milliseconds=150)
AWAY_AFTER = timedelta(milliseconds=400)
# Pause of a follower after records, in which others come together. Without it, each of
# 35 controllers read once for each append of the leader, 700 calls a second in all.
FOLLOW_PAUSE = timedelta(milliseconds=200)

logger = logging.getLogger(__name__)


class Tail:
    """Follows one partition of a keyed topic on a thread of its own.

    ``take`` is called with each batch of records, in order; after history was lost it
    is called with the newest record of each key again.
    """

    def __init__(
        self,
        store: Store,
        topic: str,
        partition: int,
        clock: Clock,
        take: Callable[[tuple[StoredValue, ...]], None],
    ) -> None:
        self._store = store
        self._topic = topic
        self._partition = partition
        self._clock = clock
        self._take = take
        self._position: int | None = None
        self._read_at: timedelta | None = None
        self._progress = threading.Condition()
        self._stopped = threading.Event()
        self._available = True
        # Guarded by ``_progress``.
        self._urgent = False
        self._pausing = False
        self._refresh_due = False
        self.failing_since: timedelta | None = None

    @property
    def position(self) -> int:
        """Return the offset up to which records were taken, -1 before the first."""
        return -1 if self._position is None else self._position

    def find_age(self) -> timedelta:
        """Return the time since the last read began that was answered."""
        if self._read_at is None:
            return timedelta.max
        return self._clock.boottime() - self._read_at

    def find_outage(self) -> timedelta:
        """Return for how long reads have failed, 0 while they succeed."""
        since = self.failing_since
        return timedelta() if since is None else self._clock.boottime() - since

    def is_away(self) -> bool:
        """Tell whether reads have failed for so long that the log counts as away."""
        return self.find_outage() >= AWAY_AFTER

    def wait_for(self, position: int, timeout: timedelta) -> bool:
        """Wait until records before ``position`` were taken."""
        with self._progress:
            return self._progress.wait_for(
                lambda: self.position >= position, timeout.total_seconds()
            )

    def hurry(self, urgent: bool) -> None:
        """Read each record at once, as a leader needs it, or with pauses."""
        with self._progress:
            self._urgent = urgent
            self._progress.notify_all()

    def refresh(self, timeout: timedelta) -> None:
        """End a pause, and wait up to ``timeout`` for records that came in it.

        While a read waits for records, nothing is missing.
        """
        with self._progress:
            if not self._pausing:
                return
            position = self.position
            self._refresh_due = True
            self._progress.notify_all()
            self._progress.wait_for(
                lambda: self.position > position, timeout.total_seconds()
            )

    def _pause(self) -> None:
        with self._progress:
            self._pausing = True
            self._progress.wait_for(
                lambda: self._urgent or self._refresh_due, FOLLOW_PAUSE.total_seconds()
            )
            self._pausing = self._refresh_due = False

    def run(self) -> None:
        """Follow until stopped."""
        while not self._stopped.is_set():
            began = self._clock.boottime()
            match self._read():
                case Success(page):
                    self.failing_since = None
                    self._note_available(True, "")
                    if page.records:
                        self._take(page.records)
                    with self._progress:
                        self._position = self._advance(page)
                        self._read_at = began
                        self._progress.notify_all()
                    if page.records:
                        self._pause()
                case Failure(Problem(kind=ErrorKind.NOT_FOUND)):
                    logger.info(
                        "history expired; reading the newest records",
                        extra={"topic": self._topic, "position": self._position},
                    )
                    self._position = None
                case Failure(problem):
                    if self.failing_since is None:
                        self.failing_since = began
                    self._note_available(False, problem.detail)
                    self._stopped.wait(RETRY_AFTER.total_seconds())

    def _read(self) -> Result[LogPage, Problem]:
        if self._position is None:
            return self._store.read_newest(self._topic, self._partition)
        return self._store.read(self._topic, self._partition, self._position, POLL)

    def _advance(self, page: LogPage) -> int:
        if self._position is None:
            return page.end
        return self._position + len(page.records)

    def _note_available(self, available: bool, detail: str) -> None:
        if available == self._available:
            return
        self._available = available
        logger.warning(
            "log regained" if available else "log lost",
            extra={"topic": self._topic, "detail": detail},
        )

    def stop(self) -> None:
        """Stop following after the read in flight."""
        self._stopped.set()

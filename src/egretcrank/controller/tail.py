"""Tailing of log partitions: the records of the cell and of the operator."""

import logging
import threading
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from returns.result import Failure, Result, Success

from egretcrank.clock import Clock
from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.platform.store import LogPage, Store
from egretcrank.scheduling.table import StoredValue

# Maximum wait of one read for new records. A longer wait would save calls, but delay
# the detection of a dead connection.
POLL_TIMEOUT = timedelta(seconds=1)
# The same for a leader. Its view of an idle log is older than one read by less than the
# next one, and what it starts must not be older than the bound on cancellations.
URGENT_POLL_TIMEOUT = timedelta(milliseconds=400)
RETRY_DELAY = timedelta(milliseconds=150)
OUTAGE_THRESHOLD = timedelta(milliseconds=400)
# Pause after a read that returned records, so that the next read returns several at
# once. Without it, each of 35 controllers read once for each append of the leader, 700
# calls per second in total.
FOLLOWER_READ_PAUSE = timedelta(milliseconds=200)

logger = logging.getLogger(__name__)


class UnreachedEnd(NamedTuple):
    """End of the partition that a read found beyond the records that it returned."""

    started_at: timedelta
    end: int


class Tail:
    """Follows one partition of a keyed topic on its own thread.

    ``on_records`` is called with each batch of records, in order. The first batch holds
    the newest record of each key, as does the one after the position to read on from
    has expired; ``on_newest`` is called with these instead, if given, unless one of the
    keys may be missing.
    """

    def __init__(
        self,
        store: Store,
        topic: str,
        partition: int,
        clock: Clock,
        on_records: Callable[[tuple[StoredValue, ...]], None],
        on_newest: Callable[[tuple[StoredValue, ...]], None] | None = None,
    ) -> None:
        self._store = store
        self._topic = topic
        self._partition = partition
        self._clock = clock
        self._on_records = on_records
        self._on_newest = on_newest
        self._position: int | None = None
        # All records that were stored before this time have been passed on.
        self._proven_at: timedelta | None = None
        self._unreached: UnreachedEnd | None = None
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
        """End offset of the records passed on so far, -1 before the first read."""
        return -1 if self._position is None else self._position

    @property
    def proven_at(self) -> timedelta | None:
        """Time before which all records stored have been passed on, None if unknown.

        It is the start of a read whose end of the partition has been reached. A page
        that is cut off proves nothing of the records that follow.
        """
        return self._proven_at

    def get_view_age(self) -> timedelta:
        """Return the time for which records may have been stored and not passed on."""
        if self._proven_at is None:
            return timedelta.max
        return self._clock.boottime() - self._proven_at

    def get_outage_duration(self) -> timedelta:
        """Return for how long reads have been failing, 0 while they succeed."""
        since = self.failing_since
        return timedelta() if since is None else self._clock.boottime() - since

    def is_log_unavailable(self) -> bool:
        """Return whether reads have been failing for at least OUTAGE_THRESHOLD."""
        return self.get_outage_duration() >= OUTAGE_THRESHOLD

    def wait_for(self, position: int, timeout: timedelta) -> bool:
        """Wait until all records before ``position`` have been passed on.

        Returns False on a timeout.
        """
        with self._progress:
            return self._progress.wait_for(
                lambda: self.position >= position, timeout.total_seconds()
            )

    def set_urgent(self, urgent: bool) -> None:
        """Read records without pauses, as a leader needs them, or with pauses again."""
        with self._progress:
            self._urgent = urgent
            self._progress.notify_all()

    def refresh(self, timeout: timedelta) -> None:
        """End a pause, and wait up to ``timeout`` for the records of the next read.

        Returns at once if there is no pause: a read in progress returns new records
        as soon as they are appended.
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

    def catch_up(self, timeout: timedelta) -> bool:
        """Wait until all records stored before this call have been passed on.

        Ends the current pause, or skips the next one. Returns False on a timeout.
        """
        called_at = self._clock.boottime()
        with self._progress:
            self._refresh_due = True
            self._progress.notify_all()
            return self._progress.wait_for(
                lambda: self._proven_at is not None and self._proven_at >= called_at,
                timeout.total_seconds(),
            )

    def _pause(self) -> None:
        with self._progress:
            self._pausing = True
            self._progress.wait_for(
                lambda: self._urgent or self._refresh_due,
                FOLLOWER_READ_PAUSE.total_seconds(),
            )
            self._pausing = self._refresh_due = False

    def run(self) -> None:
        """Follow the partition until stopped."""
        while not self._stopped.is_set():
            started_at = self._clock.boottime()
            match self._read():
                case Success(page):
                    self.failing_since = None
                    self._set_available(True, "")
                    self._pass_on(page)
                    with self._progress:
                        self._position = self._compute_next_position(page)
                        self._record_proof(started_at, page.end)
                        self._progress.notify_all()
                    if page.records:
                        self._pause()
                case Failure(Problem(kind=ErrorKind.NOT_FOUND)):
                    logger.info(
                        "read position expired; reading the newest record of each key",
                        extra={"topic": self._topic, "position": self._position},
                    )
                    self._position = None
                case Failure(problem):
                    if self.failing_since is None:
                        self.failing_since = started_at
                    self._set_available(False, problem.detail)
                    self._stopped.wait(RETRY_DELAY.total_seconds())

    def _pass_on(self, page: LogPage) -> None:
        is_compacted = self._position is None
        if is_compacted and self._on_newest is not None and page.is_complete:
            # Without any record, too, as that shows what was deleted.
            self._on_newest(page.records)
        elif page.records:
            self._on_records(page.records)

    def _read(self) -> Result[LogPage, Problem]:
        if self._position is None:
            return self._store.read_newest(self._topic, self._partition)
        return self._store.read(
            self._topic,
            self._partition,
            self._position,
            URGENT_POLL_TIMEOUT if self._urgent else POLL_TIMEOUT,
        )

    def _compute_next_position(self, page: LogPage) -> int:
        if self._position is None:
            return page.end
        return self._position + len(page.records)

    def _record_proof(self, started_at: timedelta, end: int) -> None:
        """Update the proof after a read that found the partition to end at ``end``.

        A compacted read of several pages returns the lowest end that it found, which is
        that of its start or later, so it proves as much as any other read.
        """
        unreached = self._unreached
        if unreached is not None and self.position >= unreached.end:
            self._proven_at, self._unreached = unreached.started_at, None
        if self.position >= end:
            self._proven_at, self._unreached = started_at, None
        elif self._unreached is None:
            self._unreached = UnreachedEnd(started_at, end)

    def _set_available(self, available: bool, detail: str) -> None:
        if available == self._available:
            return
        self._available = available
        logger.warning(
            "log regained" if available else "log lost",
            extra={"topic": self._topic, "detail": detail},
        )

    def stop(self) -> None:
        """Stop following after the read in progress."""
        self._stopped.set()

"""How long starts may follow from what a leader has read of the log.

An append that succeeds says nothing of what others have stored. While reads stand
still, a cancellation or a request to evacuate may be stored, acknowledged and unread,
so a start is good only for a time from the last proof of the view that it is based on.
"""

import logging
from datetime import timedelta

from egretcrank.clock import Clock
from egretcrank.scheduling.settings import CellSettings

logger = logging.getLogger(__name__)


class StartWindow:
    """Time left for starts that are based on the leader's views of the log.

    The view of the cell's topic bounds starts after cancellations. Where failure
    domains may be evacuated, that of the operator's topic bounds them as well.
    """

    def __init__(self, settings: CellSettings, clock: Clock, epoch: int) -> None:
        self._settings = settings
        self._clock = clock
        self._epoch = epoch
        # All records that were stored before these times have been applied. A takeover
        # reads the cell's topic first, but not that of the operator.
        self._jobs_proven_at = timedelta()
        self._operator_proven_at: timedelta | None = None
        self._is_open = True

    def confirm_jobs(self, proven_at: timedelta) -> None:
        """Record that all records of the cell stored before a time were applied."""
        self._jobs_proven_at = max(self._jobs_proven_at, proven_at)

    def confirm_operator(self, proven_at: timedelta) -> None:
        """Record that all records of the operator stored before a time were applied."""
        self._operator_proven_at = proven_at

    @property
    def view_age(self) -> timedelta:
        """Return the age of the view of the cell's topic."""
        return self._clock.boottime() - self._jobs_proven_at

    def compute_left(self, now: timedelta) -> timedelta:
        """Return the time left to send starts; records may be unread after it.

        Whoever stores a record may have been answered as soon as the view was proven.
        """
        left = self._jobs_proven_at + self._settings.start_limit - now
        evacuation_limit = self._settings.evacuation_start_limit
        if evacuation_limit is None:
            return left
        if self._operator_proven_at is None:
            return timedelta()
        return min(left, self._operator_proven_at + evacuation_limit - now)

    def compute_seconds(self, reported_at: timedelta, now: timedelta) -> float:
        """Return the time left to send starts, counted from a host's last report.

        The report was sent before it arrived here, so the count begins early enough.
        """
        left = self.compute_left(now)
        if left <= timedelta():
            return 0.0
        return (left + now - reported_at).total_seconds()

    def update(self, now: timedelta, open_jobs: int) -> bool:
        """Return whether the views are recent enough to place tasks.

        A change is logged.
        """
        is_open = self.compute_left(now) >= self._settings.min_start_time
        if is_open != self._is_open:
            self._is_open = is_open
            logger.warning(
                "starts resumed" if is_open else "starts paused: old view of the log",
                extra={
                    "epoch": self._epoch,
                    "view_age": (now - self._jobs_proven_at).total_seconds(),
                    "operator_view_age": (
                        (now - self._operator_proven_at).total_seconds()
                        if self._operator_proven_at is not None
                        else None
                    ),
                    "open_jobs": open_jobs,
                },
            )
        return is_open

"""Runs that an agent has to stop."""

from collections.abc import Collection, Iterable
from datetime import timedelta

from egretcrank.wire.hosting import Run

# A stop that has shown no effect after this time is sent again.
STOP_RESEND_DELAY = timedelta(milliseconds=500)


class StopList:
    """Runs to stop until they have ended, and when a stop of each was last sent.

    Not thread-safe, like the state of the agent that holds it.
    """

    def __init__(self) -> None:
        # In the order in which they were added.
        self._runs: dict[Run, None] = {}
        self._sent_at: dict[Run, timedelta] = {}

    def __contains__(self, run: object) -> bool:
        return run in self._runs

    def add(self, run: Run) -> None:
        """Add a run whose stop is due at once."""
        self._runs[run] = None
        self._sent_at.pop(run, None)

    def take(self, others: Iterable[Run], now: timedelta) -> Run | None:
        """Return a run whose stop is due, and record that it is sent now.

        ``others`` have to stop now, but are not listed. The stop that was sent last is
        the last to be sent again: a call without an answer takes longer than
        ``STOP_RESEND_DELAY``, and would otherwise be repeated before the next stop.
        """
        due = [run for run in (*self._runs, *others) if self._is_due(run, now)]
        if not due:
            return None
        run = min(due, key=lambda r: self._sent_at.get(r, timedelta.min))
        self._sent_at[run] = now
        return run

    def count_due(self, others: Iterable[Run], now: timedelta) -> int:
        """Return the number of runs whose stop is due."""
        return sum(self._is_due(run, now) for run in {*self._runs, *others})

    def _is_due(self, run: Run, now: timedelta) -> bool:
        sent_at = self._sent_at.get(run)
        return sent_at is None or now - sent_at >= STOP_RESEND_DELAY

    def mark_failed(self, run: Run) -> None:
        """Record that the last stop of a run had no effect."""
        self._sent_at.pop(run, None)

    def keep(self, runs: Collection[Run]) -> None:
        """Forget the runs that are not among ``runs``, as they have ended.

        One that no stop was sent for is kept: a former agent process may have ordered
        it. The runner refuses a late start of it once it has got the stop.
        """
        self._runs = {
            r: None for r in self._runs if r in runs or r not in self._sent_at
        }
        self._sent_at = {r: at for r, at in self._sent_at.items() if r in runs}

    def restart(self, runs: Collection[Run]) -> None:
        """Keep only those among ``runs``, for a process that has got no stop."""
        self._runs = {r: None for r in self._runs if r in runs}
        self._sent_at.clear()

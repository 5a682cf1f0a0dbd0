"""Which runs may have crashed the runner process that they were started on."""

import logging
from collections import deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

from egretcrank.platform.runner import CALL_TIMEOUT
from egretcrank.wire.hosting import CrashSuspect, Run

# A run that has gone on for this long has proven harmless to its runner.
PROBATION = timedelta(milliseconds=700)
# Suspects that are kept until they are durable.
MAX_SUSPECTS = 500
# Number of runs that one log line names.
MAX_LOGGED_RUNS = 20

logger = logging.getLogger(__name__)


class Crash(NamedTuple):
    """End of the runner process ``born_before``, which process ``born`` follows."""

    born_before: int
    born: int
    suspects: int
    lost: int


@dataclass(slots=True)
class Attempt:
    """A run that the runner may have begun.

    ``sent_at`` is None if a former agent process sent the start, and ``begun_by`` until
    the runner has confirmed or listed the run. ``is_lost`` is set if the process that
    the start was sent to has ended without either.
    """

    sent_at: timedelta | None = None
    begun_by: timedelta | None = None
    is_lost: bool = False


class CrashWatch:
    """Remembers the starts of a runner, and names the suspects when it crashes."""

    def __init__(self) -> None:
        self._attempts: dict[Run, Attempt] = {}
        self._replied_at = timedelta()
        # First failure of a call since the last reply. The runner process may have
        # ended by then.
        self._failed_at: timedelta | None = None
        # Suspects of a silent runner with their ages, and the number of candidates
        # beyond them.
        self._unconfirmed: dict[Run, timedelta] = {}
        self._unconfirmed_others = 0
        # The process that has left, so that its end is no crash.
        self._left: int | None = None
        # The process that has announced its end, which comes at any time then.
        self._draining: int | None = None
        self._last_number = 0
        self._suspects: deque[CrashSuspect] = deque()
        self._crashes: list[Crash] = []

    @property
    def suspects(self) -> tuple[CrashSuspect, ...]:
        """Suspects that are not known to be durable."""
        return tuple(self._suspects)

    @property
    def has_failed(self) -> bool:
        """Whether a call to the runner has failed since its last reply."""
        return self._failed_at is not None

    def confirm_durable(self, number: int) -> None:
        """Forget the suspects up to ``number``."""
        while self._suspects and self._suspects[0].number <= number:
            self._suspects.popleft()

    def take_crashes(self) -> list[Crash]:
        """Return the crashes since the last call."""
        crashes, self._crashes = self._crashes, []
        return crashes

    # Calls to the runner

    def mark_sent(self, run: Run, now: timedelta) -> None:
        """Record that a start is about to be sent."""
        self._attempts[run] = Attempt(now)

    def mark_begun(self, run: Run, now: timedelta) -> None:
        """Record that the runner has confirmed a start that has not ended since."""
        attempt = self._attempts.get(run)
        if attempt is None:
            return
        if attempt.begun_by is None:
            attempt.begun_by = now
        failed_at, sent_at = self._failed_at, attempt.sent_at
        if failed_at is not None and sent_at is not None and sent_at > failed_at:
            # The process that carried this out outlasted the failure.
            self._failed_at = None
            self._unconfirmed.clear()

    def mark_failed(self, now: timedelta) -> None:
        """Record that a call to the runner has failed."""
        if self._failed_at is None:
            self._failed_at = now

    def mark_start_failed(self, run: Run, now: timedelta) -> bool:
        """Record that a start was not answered and may have had an effect.

        Returns whether its connection broke. A call that timed out tells nothing about
        the end of the process, which may have carried out later starts.
        """
        attempt = self._attempts.get(run)
        if attempt is None or attempt.sent_at is None or attempt.is_lost:
            return False
        is_broken = now - attempt.sent_at < CALL_TIMEOUT
        if is_broken:
            self.mark_failed(now)
        return is_broken

    def mark_left(self, born: int) -> None:
        """Record that the runner process ``born`` has left."""
        self._left = born

    def mark_draining(self, born: int, is_draining: bool) -> None:
        """Record whether the runner process ``born`` has announced its end."""
        if is_draining:
            self._draining = born
        elif self._draining == born:
            self._draining = None

    def forget(self, run: Run) -> None:
        """Record that a run has ended, or that its start had no effect."""
        self._attempts.pop(run, None)

    def mark_replied(
        self, listed: Iterable[Run], kept: Collection[Run], now: timedelta
    ) -> None:
        """Record a reply that lists running runs.

        ``kept`` are all runs that may be in progress.
        """
        self._replied_at = now
        self._failed_at = None
        self._unconfirmed.clear()
        self._unconfirmed_others = 0
        for run in listed:
            attempt = self._attempts.setdefault(run, Attempt())
            if attempt.begun_by is None:
                attempt.begun_by = now
        self._attempts = {r: a for r, a in self._attempts.items() if r in kept}

    # Crashes

    def mark_silent(self, runs: Collection[Run], born: int, now: timedelta) -> bool:
        """Name the suspects among the runs of a process that may have crashed.

        Nothing proves it yet, but this agent process may not last until then. Returns
        whether there are new ones.
        """
        found, others = self._find_suspects(set(runs) - self._unconfirmed.keys(), now)
        if not found:
            return False
        self._unconfirmed |= found
        self._unconfirmed_others = max(self._unconfirmed_others, others)
        candidates = len(self._unconfirmed) + self._unconfirmed_others
        candidates += born == self._draining
        self._add_suspects(found, born, candidates, confirmed=False)
        logger.warning(
            "runner may have crashed",
            extra={
                "born": born,
                "youngest_seconds": self._find_youngest_age(runs, now),
                "suspects": format_ages(found),
                "others": len(set(runs) - found.keys()),
            },
        )
        return True

    def mark_crashed(
        self,
        runs: Collection[Run],
        listed: Collection[Run],
        born_before: int,
        born: int,
        now: timedelta,
    ) -> None:
        """Name the suspects among the runs of the process ``born_before``.

        The process ``born`` has replied. ``listed`` are the runs that it lists as
        running or ended, so these were not on the former process. An end that was
        announced is one more candidate, and no crash if the process has left, too.
        """
        lost = set(runs) - set(listed)
        found, others = self._find_suspects(lost, now)
        found = {r: a for r, a in self._unconfirmed.items() if r not in listed} | found
        is_announced = self._draining == born_before
        if is_announced and self._left == born_before:
            found = {}
        others = max(others, self._unconfirmed_others)
        youngest_age = self._find_youngest_age(lost, now)
        candidates = len(found) + others + is_announced
        self._add_suspects(found, born_before, candidates, confirmed=True)
        for run, attempt in self._attempts.items():
            if run in listed:
                attempt.begun_by = None
            else:
                attempt.is_lost = attempt.begun_by is None
        if self._left == born_before and not found:
            return
        lost -= found.keys()
        self._crashes.append(Crash(born_before, born, len(found), len(lost)))
        logger.warning(
            "runner crashed",
            extra={
                "born_before": born_before,
                "born": born,
                "youngest_seconds": youngest_age,
                "suspects": format_ages(found),
                "others": len(lost),
            },
        )

    def _find_suspects(
        self, runs: Iterable[Run], now: timedelta
    ) -> tuple[dict[Run, timedelta], int]:
        """Return the suspects with their ages, and the number of other candidates.

        The start time of the others is not known.
        """
        suspects = {}
        others = 0
        for run in sorted(runs):
            attempt = self._attempts.get(run)
            if attempt is None or not self._is_on_probation(attempt):
                continue
            if attempt.sent_at is None:
                others += 1
            else:
                suspects[run] = self._compute_end(now) - attempt.sent_at
        return suspects, others

    def _is_on_probation(self, attempt: Attempt) -> bool:
        """Return whether a run may have crashed the runner."""
        if attempt.begun_by is not None:
            return self._replied_at - attempt.begun_by < PROBATION
        if attempt.is_lost or attempt.sent_at is None:
            return False
        return self._failed_at is None or attempt.sent_at <= self._failed_at

    def _compute_end(self, now: timedelta) -> timedelta:
        """Return the time by which the runner process had ended."""
        return now if self._failed_at is None else self._failed_at

    def _find_youngest_age(self, runs: Iterable[Run], now: timedelta) -> float | None:
        end = self._compute_end(now)
        attempts = [self._attempts[run] for run in runs if run in self._attempts]
        ages = [
            end - a.sent_at for a in attempts if a.sent_at is not None and not a.is_lost
        ]
        ages = [age for age in ages if age >= timedelta()]
        return min(ages).total_seconds() if ages else None

    def _add_suspects(
        self,
        ages: dict[Run, timedelta],
        born: int,
        candidates: int,
        confirmed: bool,
    ) -> None:
        for run, age in ages.items():
            self._last_number += 1
            suspect = CrashSuspect(
                self._last_number,
                run.task,
                run.run,
                born,
                age.total_seconds(),
                candidates,
                confirmed,
            )
            self._suspects.append(suspect)
        dropped = len(self._suspects) - MAX_SUSPECTS
        if dropped <= 0:
            return
        for _ in range(dropped):
            self._suspects.popleft()
        logger.warning("crash suspects dropped", extra={"dropped": dropped})


def format_runs(runs: Iterable[Run]) -> list[str]:
    """Return the first runs of a set as text, for a log line."""
    return [f"{run.task}/{run.run}" for run in sorted(runs)[:MAX_LOGGED_RUNS]]


def format_ages(ages: dict[Run, timedelta]) -> dict[str, float]:
    """Return the first runs as text with their ages, for a log line."""
    return {
        f"{run.task}/{run.run}": ages[run].total_seconds()
        for run in sorted(ages)[:MAX_LOGGED_RUNS]
    }

"""Blame for crashes of runners: which task is given up, and which is only near.

Answers a task that crashes each runner that starts it, on hosts with dozens of other
tasks, beside hosts that crash for causes of their own. A task is given up only if it is
unlikely that chance or a neighbour explains all the crashes under it.
"""

import math
from collections import OrderedDict
from collections.abc import Collection, Iterable
from datetime import timedelta
from typing import NamedTuple

from egretcrank.wire.bounds import MAX_COUNT

# Times over which the rate of crashes is taken; the highest counts. The short one
# follows hosts that begin to crash, the long one crashes that come in turns.
RATE_WINDOWS = (timedelta(seconds=3), timedelta(seconds=10))
# A crash that comes so soon after the start of one of a few suspects is likely to be
# their doing, and says little of the host.
EXPLAINED_AGE = timedelta(milliseconds=100)
MAX_EXPLAINING_SUSPECTS = 4
# Crashes a second on one host that are assumed even if none has been seen.
MIN_RATE = 1 / 60
# A task is given up if an innocent one would meet its crashes with this probability.
MAX_INNOCENT_PROBABILITY = 1e-5
# The same once another start would be the third after three crashes, which the platform
# forbids for a task that is to blame.
CRASH_BUDGET = 5
MAX_INNOCENT_PROBABILITY_AT_BUDGET = 1e-4
# The platform allows to give up a task under which two runners have crashed.
MIN_CRASHES = 2
# The year 9999, which is the last that dates can hold.
MAX_TIMESTAMP = 253_370_764_800.0
# Longest age of a suspect that an agent can have observed.
MAX_AGE = timedelta(hours=1)


class Crash(NamedTuple):
    """A crash of the runner process ``born`` of a host under a run of a task.

    ``at`` is in seconds since 1970, ``age_seconds`` the longest time from the start to
    the crash, ``candidates`` the number of runs that may be the cause, and ``rate`` the
    crashes a second on a host that others than the task caused then. ``confirmed`` is
    False if the runner may not have crashed at all.
    """

    run: int
    host: str
    born: int
    at: float
    age_seconds: float
    candidates: int
    rate: float
    confirmed: bool

    @property
    def process(self) -> tuple[str, int]:
        """Return the runner process that crashed, by host."""
        return (self.host, self.born)

    @property
    def is_plausible(self) -> bool:
        """Return whether the values are such as a leader would have written."""
        return (
            0 < self.run <= MAX_COUNT
            and 0 <= self.at <= MAX_TIMESTAMP
            and 0 <= self.age_seconds <= MAX_AGE.total_seconds()
            and self.candidates > 0
            and MIN_RATE <= self.rate < math.inf
        )

    def estimate_coincidence(self, rate: float) -> float:
        """Return the probability that an innocent run meets the crash.

        ``rate`` is what is known by now; hosts may have begun to crash in turns.
        """
        by_chance = 1 - math.exp(-max(rate, self.rate) * self.age_seconds)
        by_neighbour = 1 - 1 / self.candidates
        return max(by_chance, by_neighbour)


class CrashRate:
    """Rate of crashes of runners in the cell."""

    def __init__(self) -> None:
        # Time of the crash by runner process, the latest one last.
        self._crashes: OrderedDict[tuple[str, int], timedelta] = OrderedDict()
        self._explained: set[tuple[str, int]] = set()

    def record(self, process: tuple[str, int], now: timedelta) -> None:
        """Record the crash of a runner process; a repetition is ignored."""
        self._crashes.setdefault(process, now)
        for old, at in list(self._crashes.items()):
            if now - at <= max(RATE_WINDOWS):
                break
            del self._crashes[old]
            self._explained.discard(old)

    def explain(
        self, process: tuple[str, int], age_seconds: float, candidates: int
    ) -> None:
        """Record a suspect of a crash; leave the crash out if it is likely to blame."""
        if (
            process in self._crashes
            and age_seconds <= EXPLAINED_AGE.total_seconds()
            and candidates <= MAX_EXPLAINING_SUSPECTS
        ):
            self._explained.add(process)

    def is_calm(self, now: timedelta, excluded: Collection[tuple[str, int]]) -> bool:
        """Return whether no runner has crashed lately that no suspect is to blame for.

        A crash that follows then is strong evidence.
        """
        return not any(
            age <= min(RATE_WINDOWS) for age in self._list_ages(now, excluded)
        )

    def _list_ages(
        self, now: timedelta, excluded: Collection[tuple[str, int]]
    ) -> list[timedelta]:
        return [
            now - at
            for process, at in self._crashes.items()
            if process not in excluded and process not in self._explained
        ]

    def estimate_for_host(self, process: tuple[str, int], now: timedelta) -> float:
        """Return the crashes a second of the host of a process, without that process.

        All count, whoever is suspected: a host that goes down and up by turns crashes
        under whatever is tried there. 0 if there are none.
        """
        ages = [
            now - at
            for other, at in self._crashes.items()
            if other != process and other[0] == process[0]
        ]
        return _estimate_upper_rate(ages, hosts=1) if ages else 0.0

    def estimate(
        self, hosts: int, now: timedelta, excluded: Collection[tuple[str, int]]
    ) -> float:
        """Return the crashes a second and host, without those of some processes."""
        ages = self._list_ages(now, excluded)
        return max(MIN_RATE, _estimate_upper_rate(ages, max(1, hosts)))


def _estimate_upper_rate(ages: Collection[timedelta], hosts: int) -> float:
    """Return an upper estimate of the crashes a second and host.

    A few crashes say little about the rate.
    """
    rates = []
    for window in RATE_WINDOWS:
        count = sum(age <= window for age in ages)
        upper = count + 1 + math.sqrt(count)
        rates.append(upper / (hosts * window.total_seconds()))
    return max(rates)


def is_to_be_given_up(crashes: Iterable[Crash], rate: float) -> bool:
    """Return whether the crashes under a task are almost certainly its own doing.

    ``rate`` is the rate of other crashes by now, per second and host.
    """
    chances = [c.estimate_coincidence(rate) for c in crashes if c.confirmed]
    if len(chances) < MIN_CRASHES:
        return False
    if len(chances) < CRASH_BUDGET:
        return math.prod(chances) <= MAX_INNOCENT_PROBABILITY
    return math.prod(chances) <= MAX_INNOCENT_PROBABILITY_AT_BUDGET

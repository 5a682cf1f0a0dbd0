"""Hosts that fail or answer slowly are avoided for a while."""

import random
import statistics
from collections.abc import Sequence
from datetime import timedelta

from egretcrank.clock import Clock
from egretcrank.errors.kinds import ErrorKind
from egretcrank.membership.directory import ALIVE
from egretcrank.wire.messages import Member, MemberStatus

CONSECUTIVE_FAILURES = 3
FIRST_EJECTION = timedelta(seconds=1)
LONGEST_EJECTION = timedelta(seconds=30)
# With more hosts ejected than this share the fault is common to all, and the load of
# the ejected hosts would bring down the others.
LARGEST_SHARE = 1 / 3
# Answers with one request in flight at a time before a host is used fully again.
PROBATION_ANSWERS = 5
SLOW_RATIO = 3.0
# Below this, differences between hosts are scheduling noise.
SLOW_FLOOR_SECONDS = 0.02
SLOW_MIN_ANSWERS = 20
SMOOTHING = 0.1

FAULTS = frozenset(
    {
        ErrorKind.UNREACHABLE,
        ErrorKind.CALL_TIMEOUT,
        ErrorKind.UPSTREAM_FAILED,
        ErrorKind.NO_UPSTREAM,
        ErrorKind.INVALID_MESSAGE,
        ErrorKind.INTERNAL,
    }
)
# Nothing can be sent to such a host, so a first failure is enough.
CERTAIN_FAULTS = frozenset({ErrorKind.UNREACHABLE, ErrorKind.LEAVING})


class _Record:
    """What one incarnation of a host answered lately."""

    __slots__ = (
        "answers",
        "ejected_until",
        "ejections",
        "failures",
        "in_flight",
        "incarnation",
        "probation",
        "seconds",
    )

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.failures = 0
        self.ejections = 0
        self.ejected_until: timedelta | None = None
        self.probation = 0
        self.in_flight = 0
        self.seconds = 0.0
        self.answers = 0


class Outliers:
    """Judges hosts by their answers; a restarted host starts afresh."""

    def __init__(
        self, clock: Clock, generator: random.Random, silence: timedelta
    ) -> None:
        self._clock = clock
        self._silence_seconds = silence.total_seconds()
        self._random = generator
        self._records: dict[str, _Record] = {}
        self._suspects: set[str] = set()

    def begin(self, member: Member) -> None:
        """Count a request that is sent to a host."""
        record = self._records.get(member.host)
        if record is None or record.incarnation < member.incarnation:
            record = self._records[member.host] = _Record(member.incarnation)
            self._suspects.discard(member.host)
        record.in_flight += 1

    def end(
        self,
        member: Member,
        fault: ErrorKind | None,
        elapsed: timedelta,
        members: Sequence[MemberStatus],
    ) -> str:
        """Take the result of a request; return why the host is ejected now, if it is.

        The share of ejected hosts is bounded among the ``members`` that announce. A
        host that is silent, leaves or takes no connection is ejected in any case: when
        a rack or a failure domain is cut off, the share of its hosts is larger.
        """
        record = self._records.get(member.host)
        if record is None or record.incarnation != member.incarnation:
            return ""
        record.in_flight = max(0, record.in_flight - 1)
        if fault in CERTAIN_FAULTS:
            return self._eject(member.host, record, str(fault), ())
        if fault in FAULTS:
            record.failures += 1
            if record.failures >= CONSECUTIVE_FAILURES or record.probation:
                return self._eject(member.host, record, str(fault), members)
            return ""
        if fault is not None:
            return ""
        record.failures = 0
        return self._take_answer(member.host, record, elapsed, members)

    def _take_answer(
        self,
        host: str,
        record: _Record,
        elapsed: timedelta,
        members: Sequence[MemberStatus],
    ) -> str:
        seconds = elapsed.total_seconds()
        record.answers += 1
        if record.answers == 1:
            record.seconds = seconds
        record.seconds += SMOOTHING * (seconds - record.seconds)
        if record.probation:
            record.probation -= 1
            if not record.probation:
                record.ejections = 0
                self._suspects.discard(host)
            return ""
        # The median of all hosts costs too much for each answer.
        if record.answers % SLOW_MIN_ANSWERS == 0 and self._is_slow(record):
            return self._eject(host, record, "slow", members)
        return ""

    def _is_slow(self, record: _Record) -> bool:
        known = [r.seconds for r in self._records.values() if r.answers]
        if len(known) < 3:
            return False
        usual = statistics.median_low(known)
        return record.seconds > max(SLOW_RATIO * usual, usual + SLOW_FLOOR_SECONDS)

    def _eject(
        self, host: str, record: _Record, reason: str, members: Sequence[MemberStatus]
    ) -> str:
        now = self._clock.monotonic()
        if record.ejected_until is not None and now < record.ejected_until:
            return ""
        if members and not self._may_eject(host, members):
            return ""
        length = min(FIRST_EJECTION * 2**record.ejections, LONGEST_EJECTION)
        # Hosts that were ejected together return one by one.
        record.ejected_until = now + length * self._random.uniform(1.0, 1.25)
        record.ejections = min(record.ejections + 1, 10)
        record.failures = 0
        record.answers = 0
        record.probation = PROBATION_ANSWERS
        self._suspects.add(host)
        return reason

    def _may_eject(self, host: str, members: Sequence[MemberStatus]) -> bool:
        heard = {
            status.member.host
            for status in members
            if status.liveness == ALIVE
            and status.silent_seconds <= self._silence_seconds
        }
        if len(self._records) > 2 * len(members):
            self._forget(members)
        if host not in heard:
            return True
        ejected = (self.list_ejected() & heard) | {host}
        return len(ejected) <= max(1, int(len(heard) * LARGEST_SHARE))

    def list_ejected(self) -> set[str]:
        """Return the hosts that get nothing at present."""
        now = self._clock.monotonic()
        ejected = set()
        for host in self._suspects:
            until = self._records[host].ejected_until
            if until is not None and now < until:
                ejected.add(host)
        return ejected

    def list_avoided(self) -> set[str]:
        """Return ejected hosts and hosts on probation that are busy."""
        if not self._suspects:
            return set()
        busy = {host for host in self._suspects if self._records[host].in_flight}
        return busy | self.list_ejected()

    def _forget(self, members: Sequence[MemberStatus]) -> None:
        for host in self._records.keys() - {s.member.host for s in members}:
            del self._records[host]
            self._suspects.discard(host)

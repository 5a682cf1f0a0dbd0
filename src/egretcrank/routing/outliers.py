"""Outlier detection: hosts that fail or respond slowly are ejected temporarily."""

import random
import statistics
from collections.abc import Sequence
from datetime import timedelta

from egretcrank.clock import Clock
from egretcrank.errors.kinds import ErrorKind
from egretcrank.membership.directory import ALIVE
from egretcrank.wire.messages import Member, MemberStatus

CONSECUTIVE_FAILURES = 3
BASE_EJECTION_TIME = timedelta(seconds=1)
MAX_EJECTION_TIME = timedelta(seconds=30)
# If more hosts than this share fail, the cause is common to all of them, and ejecting
# more would overload the remaining hosts.
MAX_EJECTED_SHARE = 1 / 3
# After an ejection, a host gets one request at a time until it has answered this many.
PROBATION_RESPONSES = 5
SLOW_LATENCY_RATIO = 3.0
# Smaller latency differences between hosts are scheduling noise.
MIN_LATENCY_EXCESS_SECONDS = 0.02
RESPONSES_PER_LATENCY_CHECK = 20
SMOOTHING_FACTOR = 0.1

FAILURE_KINDS = frozenset(
    {
        ErrorKind.UNREACHABLE,
        ErrorKind.CALL_TIMEOUT,
        ErrorKind.UPSTREAM_FAILED,
        ErrorKind.NO_UPSTREAM,
        ErrorKind.INVALID_MESSAGE,
        ErrorKind.INTERNAL,
    }
)
# The host cannot accept any request, so the first failure ejects it.
IMMEDIATE_EJECTION_KINDS = frozenset({ErrorKind.UNREACHABLE, ErrorKind.LEAVING})


class _HostStats:
    """Recent results of one incarnation of a host."""

    __slots__ = (
        "completed",
        "ejected_until",
        "ejections",
        "failures",
        "in_flight",
        "incarnation",
        "probation",
        "smoothed_seconds",
    )

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.failures = 0
        self.ejections = 0
        self.ejected_until: timedelta | None = None
        self.probation = 0
        self.in_flight = 0
        self.smoothed_seconds = 0.0
        self.completed = 0


class OutlierDetector:
    """Ejects hosts based on the results of requests sent to them.

    Results are kept per incarnation, so a restarted host starts with no history.
    Members that have been silent for longer than ``max_silence`` do not count towards
    the number of hosts whose ejected share is bounded.
    """

    def __init__(
        self, clock: Clock, generator: random.Random, max_silence: timedelta
    ) -> None:
        self._clock = clock
        self._max_silence_seconds = max_silence.total_seconds()
        self._random = generator
        self._stats_by_host: dict[str, _HostStats] = {}
        self._restricted_hosts: set[str] = set()

    def begin(self, member: Member) -> None:
        """Count a request that is sent to a host."""
        stats = self._stats_by_host.get(member.host)
        if stats is None or stats.incarnation < member.incarnation:
            stats = self._stats_by_host[member.host] = _HostStats(member.incarnation)
            self._restricted_hosts.discard(member.host)
        stats.in_flight += 1

    def end(
        self,
        member: Member,
        error_kind: ErrorKind | None,
        elapsed: timedelta,
        members: Sequence[MemberStatus],
    ) -> str:
        """Record the result of a request.

        Returns the reason if this result ejects the host, otherwise an empty string.

        At most ``MAX_EJECTED_SHARE`` of the ``members`` that currently announce
        themselves can be ejected. Hosts that are silent, leaving or refuse connections
        are ejected regardless of this limit, because a disconnected rack or failure
        domain may contain a larger share of the hosts.
        """
        stats = self._stats_by_host.get(member.host)
        if stats is None or stats.incarnation != member.incarnation:
            return ""
        stats.in_flight = max(0, stats.in_flight - 1)
        if error_kind in IMMEDIATE_EJECTION_KINDS:
            return self._eject(member.host, stats, str(error_kind), ())
        if error_kind in FAILURE_KINDS:
            stats.failures += 1
            if stats.failures >= CONSECUTIVE_FAILURES or stats.probation:
                return self._eject(member.host, stats, str(error_kind), members)
            return ""
        if error_kind is not None:
            return ""
        stats.failures = 0
        return self._record_response(member.host, stats, elapsed, members)

    def _record_response(
        self,
        host: str,
        stats: _HostStats,
        elapsed: timedelta,
        members: Sequence[MemberStatus],
    ) -> str:
        seconds = elapsed.total_seconds()
        stats.completed += 1
        if stats.completed == 1:
            stats.smoothed_seconds = seconds
        stats.smoothed_seconds += SMOOTHING_FACTOR * (seconds - stats.smoothed_seconds)
        if stats.probation:
            stats.probation -= 1
            if not stats.probation:
                stats.ejections = 0
                self._restricted_hosts.discard(host)
            return ""
        # Computing the median of all hosts for every response would cost too much.
        if stats.completed % RESPONSES_PER_LATENCY_CHECK == 0 and self._is_slow(stats):
            return self._eject(host, stats, "slow", members)
        return ""

    def _is_slow(self, stats: _HostStats) -> bool:
        latencies = [
            r.smoothed_seconds for r in self._stats_by_host.values() if r.completed
        ]
        if len(latencies) < 3:
            return False
        median = statistics.median_low(latencies)
        return stats.smoothed_seconds > max(
            SLOW_LATENCY_RATIO * median, median + MIN_LATENCY_EXCESS_SECONDS
        )

    def _eject(
        self, host: str, stats: _HostStats, reason: str, members: Sequence[MemberStatus]
    ) -> str:
        now = self._clock.monotonic()
        if stats.ejected_until is not None and now < stats.ejected_until:
            return ""
        if members and not self._may_eject(host, members):
            return ""
        duration = min(BASE_EJECTION_TIME * 2**stats.ejections, MAX_EJECTION_TIME)
        # Jitter keeps hosts that were ejected together from returning together.
        stats.ejected_until = now + duration * self._random.uniform(1.0, 1.25)
        stats.ejections = min(stats.ejections + 1, 10)
        stats.failures = 0
        stats.completed = 0
        stats.probation = PROBATION_RESPONSES
        self._restricted_hosts.add(host)
        return reason

    def _may_eject(self, host: str, members: Sequence[MemberStatus]) -> bool:
        announcing = {
            status.member.host
            for status in members
            if status.liveness == ALIVE
            and status.silent_seconds <= self._max_silence_seconds
        }
        if len(self._stats_by_host) > 2 * len(members):
            self._prune(members)
        if host not in announcing:
            return True
        ejected = (self.list_ejected() & announcing) | {host}
        return len(ejected) <= max(1, int(len(announcing) * MAX_EJECTED_SHARE))

    def list_ejected(self) -> set[str]:
        """Return the hosts that currently receive no requests."""
        now = self._clock.monotonic()
        ejected = set()
        for host in self._restricted_hosts:
            until = self._stats_by_host[host].ejected_until
            if until is not None and now < until:
                ejected.add(host)
        return ejected

    def list_avoided(self) -> set[str]:
        """Return ejected hosts, and hosts on probation with a request in flight."""
        if not self._restricted_hosts:
            return set()
        busy = {
            host
            for host in self._restricted_hosts
            if self._stats_by_host[host].in_flight
        }
        return busy | self.list_ejected()

    def _prune(self, members: Sequence[MemberStatus]) -> None:
        for host in self._stats_by_host.keys() - {s.member.host for s in members}:
            del self._stats_by_host[host]
            self._restricted_hosts.discard(host)

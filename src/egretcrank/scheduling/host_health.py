"""Health of hosts, judged by how the runs on them end.

Answers hosts that fail each task they start, and hosts that take several times as long
as others. A host that fails its tasks at once is always the emptiest, so that it
attracts most of the work and uses up the attempts of jobs. Crashes of runners are no
evidence here, see ``scheduling/crashes.py``.
"""

import logging
from collections import Counter, defaultdict, deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from typing import NamedTuple

from egretcrank.clock import Clock
from egretcrank.observability.metrics import Metrics
from egretcrank.scheduling.host_speed import HostSpeeds
from egretcrank.scheduling.hosts import HostState
from egretcrank.scheduling.runs import Runs
from egretcrank.scheduling.tasks import Placement, RunPhase

# A host is quarantined for failures within this time, of at least so many runs and
# jobs. Two jobs alone can fail by chance where some percent of all tasks do.
FAILURE_WINDOW = timedelta(seconds=3)
MIN_FAILURES = 3
MIN_FAILED_JOBS = 2
# A job is to blame itself if it has failed on so many hosts that ran later tasks of
# other jobs well, or on more than the share of the hosts that may be avoided.
MIN_BLAMELESS_HOSTS = 2
# Time for which the failures of a job are kept after the last of them.
JOB_RETENTION = timedelta(seconds=10)
# Time without new tasks; it doubles with each relapse up to the limit.
FIRST_QUARANTINE = timedelta(seconds=1)
MAX_QUARANTINE = timedelta(seconds=8)
# A verdict within this time of the former one or of a recovery is a relapse.
RELAPSE_WINDOW = timedelta(seconds=20)
# A run on trial that lasts for this long counts as passed: the hosts that the trial is
# for fail their tasks at once, and tasks of minutes would keep a host idle.
MAX_TRIAL_TIME = timedelta(seconds=3)
# A host for which no suitable task was found in this time gets tasks without a trial,
# so that no job waits for it forever.
MAX_TRIAL_WAIT = timedelta(seconds=3)
# Limit of the avoided hosts of a service, as a fraction: a fault of all of them, or of
# all jobs, leaves the others in use.
MAX_AVOIDED_DIVISOR = 3
# Time for which a failed task is not started again on a host where its job has failed.
# Well below the 3 s for which a job may have nothing running beside free hosts.
RETRY_DELAY = timedelta(milliseconds=1500)
# Ends that are kept for each host.
MAX_KEPT_ENDS = 64
PRUNE_INTERVAL = timedelta(seconds=1)

logger = logging.getLogger(__name__)


class HealthView(NamedTuple):
    """Health of the hosts in one round of decisions.

    ``avoided`` hosts get no tasks except for trials; ``testable`` ones are due for one.
    Hosts with a higher penalty are ranked after those with a lower one.
    """

    avoided: frozenset[str]
    testable: frozenset[str]
    penalties: Mapping[str, float]


HEALTHY = HealthView(frozenset(), frozenset(), {})


class _Failure(NamedTuple):
    job_id: str
    placed_at: timedelta
    ended_at: timedelta


@dataclass(slots=True)
class _Quarantine:
    """A verdict: no new tasks until ``until``, then trials until one ends well."""

    began_at: timedelta
    until: timedelta
    level: int
    failed_jobs: int
    trial: Placement | None = None


@dataclass(slots=True)
class _HostRecord:
    failures: deque[_Failure] = field(
        default_factory=lambda: deque(maxlen=MAX_KEPT_ENDS)
    )
    # When the runs that ended ``done`` were placed.
    done: deque[timedelta] = field(default_factory=lambda: deque(maxlen=MAX_KEPT_ENDS))
    # Number of verdicts in a row, and the time of the last verdict or recovery.
    level: int = 0
    judged_at: timedelta = timedelta()


@dataclass(slots=True)
class _JobRecord:
    # Hosts on which a run of the job failed, with the time of the last failure.
    failed_on: dict[str, timedelta] = field(default_factory=dict)
    # Those that ran later tasks of other jobs well.
    blameless_hosts: set[str] = field(default_factory=set)
    failed_at: timedelta = timedelta()


class HostHealth:
    """Keeps the evidence against hosts, and quarantines those that fail their tasks."""

    def __init__(
        self,
        runs: Runs,
        hosts: Mapping[str, HostState],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._runs = runs
        self._hosts = hosts
        self._clock = clock
        self._metrics = metrics
        self._records: defaultdict[str, _HostRecord] = defaultdict(_HostRecord)
        self._jobs: dict[str, _JobRecord] = {}
        self._quarantines: dict[str, _Quarantine] = {}
        # Hosts with failures in the window.
        self._failing: set[str] = set()
        self._speeds = HostSpeeds(runs, metrics)
        self._pruned_at = timedelta()
        metrics.hosts_avoided.set({}, 0)

    # Evidence

    def record_end(self, placement: Placement, outcome: str) -> None:
        """Record the end of a run that the leader has placed or adopted."""
        now = self._clock.boottime()
        if outcome == "failed":
            self._record_failure(placement, now)
        elif outcome == "done" and not placement.step.definition.long_running:
            self._record_done(placement)
            self._speeds.record_done(placement, now)

    def record_restart(self, host: str) -> None:
        """Forget a host whose runner process has been replaced."""
        self._records.pop(host, None)
        self._quarantines.pop(host, None)
        self._failing.discard(host)
        self._speeds.forget(host)

    def _record_done(self, placement: Placement) -> None:
        host = placement.host
        record = self._records[host]
        record.done.append(placement.placed_at)
        for failure in record.failures:
            if (
                failure.job_id != placement.task.job_id
                and failure.placed_at <= placement.placed_at
                and failure.job_id in self._jobs
            ):
                self._jobs[failure.job_id].blameless_hosts.add(host)
        quarantine = self._quarantines.get(host)
        # A host that fails what it starts may still complete what it ran before.
        if quarantine is not None and placement.placed_at >= quarantine.began_at:
            self._end_quarantine(host, "recovered")

    def _record_failure(self, placement: Placement, now: timedelta) -> None:
        host, job_id = placement.host, placement.task.job_id
        job = self._jobs.setdefault(job_id, _JobRecord())
        job.failed_on[host] = job.failed_at = now
        quarantine = self._quarantines.get(host)
        if quarantine is not None:
            is_later = placement.placed_at >= quarantine.began_at
            if is_later and now >= quarantine.until and not self._is_to_blame(job_id):
                self._quarantine(host, quarantine.failed_jobs, "relapse", (job_id,))
            elif quarantine.trial is placement:
                quarantine.trial = None
            return
        record = self._records[host]
        record.failures.append(_Failure(job_id, placement.placed_at, now))
        self._failing.add(host)
        self._judge(host, record, now)

    def _judge(self, host: str, record: _HostRecord, now: timedelta) -> None:
        """Quarantine a host if the runs that it began lately have failed.

        These are the runs placed after the latest one that went well: it is done, or
        has lasted longer than those that failed.
        """
        failures = self._list_counted(record, now)
        if len(failures) < MIN_FAILURES:
            return
        longest = max(failure.ended_at - failure.placed_at for failure in failures)
        running = self._list_running(host)
        lasting = [placed_at for placed_at in running if placed_at < now - longest]
        good_at = max([*record.done, *lasting], default=timedelta())
        streak = [failure for failure in failures if failure.placed_at > good_at]
        jobs = {failure.job_id for failure in streak}
        if len(streak) < MIN_FAILURES or len(jobs) < MIN_FAILED_JOBS:
            return
        # Where some percent of all tasks fail, many more have only just begun.
        recent = len(running) - len(lasting)
        if len(streak) <= recent:
            return
        logger.warning(
            "host fails its tasks",
            extra={
                "host": host,
                "failures": len(streak),
                "jobs": sorted(jobs)[:5],
                "recent_runs": recent,
                "since_good_run": (now - good_at).total_seconds() if good_at else None,
            },
        )
        record.failures.clear()
        self._failing.discard(host)
        self._quarantine(host, len(jobs), "failures", jobs)

    def _list_running(self, host: str) -> list[timedelta]:
        """Return when the runs that go on were placed."""
        state = self._hosts.get(host)
        runs = [self._runs[key] for key in state.tasks] if state else []
        return [run.placed_at for run in runs if run.phase is RunPhase.RUNNING]

    def _list_counted(self, record: _HostRecord, now: timedelta) -> list[_Failure]:
        """Return the failures in the window for which no job is to blame."""
        return [
            failure
            for failure in record.failures
            if now - failure.ended_at <= FAILURE_WINDOW
            and not self._is_to_blame(failure.job_id)
        ]

    def _is_to_blame(self, job_id: str) -> bool:
        """Return whether a job fails by itself, so that it tells nothing of hosts."""
        job = self._jobs.get(job_id)
        if job is None:
            return False
        return len(job.blameless_hosts) >= MIN_BLAMELESS_HOSTS or len(
            job.failed_on
        ) > max(1, len(self._hosts) // MAX_AVOIDED_DIVISOR)

    # Verdicts

    def _quarantine(
        self, host: str, failed_jobs: int, reason: str, jobs: Iterable[str]
    ) -> None:
        now = self._clock.boottime()
        record = self._records[host]
        if now - record.judged_at > RELAPSE_WINDOW:
            record.level = 0
        duration = min(FIRST_QUARANTINE * 2**record.level, MAX_QUARANTINE)
        self._quarantines[host] = _Quarantine(
            now, now + duration, record.level, failed_jobs
        )
        record.level += 1
        record.judged_at = now
        self._metrics.host_verdicts.inc({"reason": reason})
        logger.warning(
            "host quarantined",
            extra={
                "host": host,
                "reason": reason,
                "jobs": sorted(jobs)[:5],
                "relapses": record.level - 1,
                "seconds": duration.total_seconds(),
            },
        )

    def _end_quarantine(self, host: str, reason: str) -> None:
        quarantine = self._quarantines.pop(host)
        self._metrics.hosts_avoided.set({}, len(self._quarantines))
        now = self._clock.boottime()
        self._records[host].judged_at = now
        self._metrics.host_verdicts.inc({"reason": reason})
        logger.info(
            "host quarantine ended",
            extra={
                "host": host,
                "reason": reason,
                "seconds": (now - quarantine.began_at).total_seconds(),
            },
        )

    def begin_trial(self, placement: Placement) -> None:
        """Record that a run was placed on a host to test it."""
        self._quarantines[placement.host].trial = placement
        logger.info(
            "host is tested",
            extra={"host": placement.host, "task": placement.task.format()},
        )

    def has_trial(self, host: str) -> bool:
        """Return whether a run tests the host now."""
        quarantine = self._quarantines.get(host)
        return quarantine is not None and quarantine.trial is not None

    def is_on_trial(self, host: str) -> bool:
        """Return whether a host is past its quarantine but has run nothing well."""
        quarantine = self._quarantines.get(host)
        return quarantine is not None and self._clock.boottime() >= quarantine.until

    def _update_trials(self, now: timedelta) -> None:
        for host, quarantine in list(self._quarantines.items()):
            trial = quarantine.trial
            if trial is not None and (
                self._runs.find(trial.task) is not trial
                or trial.phase is RunPhase.STOPPING
            ):
                # It was stopped or refused, which tells nothing.
                trial = quarantine.trial = None
            if trial is None:
                if now - quarantine.until > MAX_TRIAL_WAIT:
                    self._end_quarantine(host, "untested")
            elif now - trial.placed_at > MAX_TRIAL_TIME:
                if trial.phase is RunPhase.RUNNING:
                    self._end_quarantine(host, "recovered")
                else:
                    # The runner does not confirm the start.
                    job = trial.task.job_id
                    self._quarantine(host, quarantine.failed_jobs, "relapse", (job,))

    # Decisions

    def review(self, hosts: Sequence[HostState], now: timedelta) -> HealthView:
        """Return the health of the usable hosts, once for each round of decisions."""
        self._prune(now)
        slow = self._speeds.list_slow(hosts, now)
        if not self._quarantines and not self._failing and not slow:
            return HEALTHY
        self._update_trials(now)
        avoided = self._list_avoided(hosts)
        self._metrics.hosts_avoided.set({}, len(avoided))
        testable = frozenset(
            host
            for host in avoided
            if self.is_on_trial(host) and self._quarantines[host].trial is None
        )
        penalties = Counter[str](slow)
        penalties.update(self._quarantines.keys() - avoided)
        penalties.update(host for host in self._failing if self._is_doubtful(host, now))
        return HealthView(avoided, testable, penalties)

    def _list_avoided(self, hosts: Sequence[HostState]) -> frozenset[str]:
        """Return the worst quarantined hosts, a third of each service at most."""
        if not self._quarantines:
            return frozenset()
        services = {host.name: host.runner.service for host in hosts if host.runner}
        left = {
            service: count // MAX_AVOIDED_DIVISOR
            for service, count in Counter(services.values()).items()
        }
        worst_first = sorted(
            self._quarantines.items(),
            key=lambda item: (-item[1].level, -item[1].failed_jobs, item[1].began_at),
        )
        avoided = []
        for host, _ in worst_first:
            service = services.get(host)
            if service is not None and left[service] > 0:
                left[service] -= 1
                avoided.append(host)
        return frozenset(avoided)

    def _is_doubtful(self, host: str, now: timedelta) -> bool:
        """Return whether a run has failed and none that began later ended well."""
        record = self._records[host]
        good_at = max(record.done, default=timedelta())
        return any(
            failure.placed_at > good_at for failure in self._list_counted(record, now)
        )

    def list_excluded(self, job_id: str, now: timedelta) -> frozenset[str]:
        """Return the hosts on which failed tasks of a job are not repeated yet."""
        job = self._jobs.get(job_id)
        if job is None:
            return frozenset()
        return frozenset(
            host for host, at in job.failed_on.items() if now - at < RETRY_DELAY
        )

    def _prune(self, now: timedelta) -> None:
        if now - self._pruned_at < PRUNE_INTERVAL:
            return
        self._pruned_at = now
        self._speeds.prune(self._hosts)
        for job_id, job in list(self._jobs.items()):
            if now - job.failed_at > JOB_RETENTION:
                del self._jobs[job_id]
        for host in list(self._failing):
            failures = self._records[host].failures
            while failures and now - failures[0].ended_at > FAILURE_WINDOW:
                failures.popleft()
            if not failures:
                self._failing.discard(host)
        for host in self._records.keys() - self._hosts.keys():
            self.record_restart(host)

"""Trials: starts of suspects of crashes, apart from the other tasks.

Answers a runner that has crashed under dozens of tasks, of which one at most is to
blame: started together again, they would crash the next runner together. A suspect is
started on a host where no other task has just been started, and none is until it has
proven harmless, so that a further crash tells the culprit from its neighbours.
"""

import logging
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from datetime import timedelta
from typing import NamedTuple

from egretcrank.clock import Clock
from egretcrank.observability.metrics import Metrics
from egretcrank.scheduling.catalog import Queue
from egretcrank.scheduling.crashes import CrashRecorder
from egretcrank.scheduling.hosts import HostState
from egretcrank.scheduling.placement import is_eligible
from egretcrank.scheduling.runs import Runs
from egretcrank.scheduling.tasks import Job, Placement, StepState

# Time without another start on a host before that of a suspect: agents count each run
# that had not lasted for 0.7 s at the runner's last reply as a candidate.
QUIET_TIME = timedelta(milliseconds=1100)
# The same after the start. Tasks that crash their runners do so right away.
TRIAL_TIME = timedelta(milliseconds=600)
# Interval at which agents list all runs.
FULL_REPORT_INTERVAL = timedelta(seconds=1)
# Share of the usable hosts that may be kept for trials, one at least.
MAX_TRIAL_SHARE = 0.5
# Tasks under which one runner has crashed are tried together: most of them were only
# near, and one trial clears them all. Those that crash again are tried one by one.
MAX_GROUP = 4
# The group of a job doubles with each trial that it passes, up to this many times.
MAX_DOUBLINGS = 4
MAX_CRASHES_IN_GROUP = 1

logger = logging.getLogger(__name__)


class Suspect(NamedTuple):
    """A waiting task that has to be tried."""

    step: StepState
    position: int

    @property
    def job(self) -> Job:
        """Return the job of the task."""
        return self.step.job

    @property
    def may_share(self) -> bool:
        """Return whether the task may be tried together with others."""
        crashes = len(self.step.tasks[self.position].crashes)
        return crashes <= MAX_CRASHES_IN_GROUP and not self.job.is_suspect


class Group(NamedTuple):
    """Suspects to try together on a host."""

    host: HostState
    suspects: list[Suspect]


class Trial(NamedTuple):
    """Runs of suspects that were started on the runner process ``born``."""

    born: int
    runs: tuple[Placement, ...]


class Trials:
    """Tries suspects on hosts that are kept for them meanwhile."""

    def __init__(
        self,
        runs: Runs,
        hosts: Mapping[str, HostState],
        find_queue: Callable[[Job], Queue],
        start: Callable[[StepState, int, HostState], None],
        crashes: CrashRecorder,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._runs = runs
        self._hosts = hosts
        self._find_queue = find_queue
        self._start = start
        self._crashes = crashes
        self._clock = clock
        self._metrics = metrics
        # Ongoing trials by host.
        self._trials: dict[str, Trial] = {}

    def plan(
        self, steps: Iterable[StepState], usable: Sequence[HostState]
    ) -> list[HostState]:
        """Start suspects of ``steps``; return the hosts left for other tasks.

        A host on which other tasks were just started is kept free of further ones
        until they have proven harmless, and its suspects are started then.
        """
        self._end_trials()
        free = [host for host in usable if host.name not in self._trials]
        busy = len(usable) - len(free)
        limit = max(1, int(MAX_TRIAL_SHARE * len(usable))) - busy
        for group in self._assign(steps, free, limit):
            free.remove(group.host)
            if self._is_quiet(group.host):
                self._try(group)
        return free

    def is_kept(self, host: HostState) -> bool:
        """Return whether a host is kept free of other tasks for an ongoing trial."""
        return host.name in self._trials

    def _assign(
        self, steps: Iterable[StepState], hosts: Sequence[HostState], limit: int
    ) -> list[Group]:
        """Return the next suspects to try, on ``limit`` hosts at most."""
        # The group of each job with a suspect in one, ``None`` for an ongoing trial.
        group_of_job: dict[str, Group | None] = {
            placement.task.job_id: None
            for trial in self._trials.values()
            for placement in trial.runs
        }
        groups: list[Group] = []
        for suspect in self._list_suspects(steps):
            job = suspect.job
            # All tasks of a job may be deadly, so they are on one host at a time until
            # some of them have passed a trial.
            if job.job_id in group_of_job and not job.passed_trials:
                own = group_of_job[job.job_id]
                group = self._find_open_group(suspect, [own] if own else [])
            else:
                group = self._choose_group(suspect, groups, hosts, limit)
            if group is not None:
                group_of_job[job.job_id] = group
                group.suspects.append(suspect)
        return groups

    def _choose_group(
        self,
        suspect: Suspect,
        groups: list[Group],
        hosts: Sequence[HostState],
        limit: int,
    ) -> Group | None:
        """Return the group to try a suspect in, or ``None`` if it has to wait."""
        if len(groups) < limit:
            taken = {group.host.name for group in groups}
            left = [host for host in hosts if host.name not in taken]
            host = self._choose_host(suspect, left)
            if host is not None:
                groups.append(Group(host, []))
                return groups[-1]
        return self._find_open_group(suspect, groups)

    def _find_open_group(
        self, suspect: Suspect, groups: Iterable[Group]
    ) -> Group | None:
        """Return the first group that a suspect may join."""
        if not suspect.may_share:
            return None
        service = self._find_queue(suspect.job).service
        for group in groups:
            if (
                len(group.suspects) < _find_group_size(suspect.job)
                and all(member.may_share for member in group.suspects)
                and is_eligible(suspect.step, service, group.host)
            ):
                return group
        return None

    def _list_suspects(self, steps: Iterable[StepState]) -> Iterator[Suspect]:
        """Yield the waiting tasks that have to be tried and may be started now."""
        for step in steps:
            waiting = step.waiting
            suspects = waiting if step.job.is_suspect else waiting & step.suspects
            for index in sorted(suspects):
                if self._crashes.is_due(step, index):
                    yield Suspect(step, index)

    def _choose_host(
        self, suspect: Suspect, hosts: Iterable[HostState]
    ) -> HostState | None:
        """Return the host on which a crash would do the least harm.

        For a task with several crashes, hosts that have not crashed lately come first:
        one that goes down and up by turns is no evidence against it.
        """
        service = self._find_queue(suspect.job).service
        return min(
            (host for host in hosts if is_eligible(suspect.step, service, host)),
            key=lambda host: (
                not suspect.may_share and self._crashes.has_crashed_lately(host),
                bool(host.serving_images),
                len(host.tasks),
                host.last_start_at,
                host.name,
            ),
            default=None,
        )

    def _is_quiet(self, host: HostState) -> bool:
        # A new agent process knows no start of its predecessor, nor a new leader, so
        # each run may be a candidate for as long as if it had just been started.
        since_start = self._clock.boottime() - max(host.last_start_at, host.attached_at)
        return since_start >= QUIET_TIME and not len(host.outbox)

    def _try(self, group: Group) -> None:
        """Start the suspects of a group."""
        host = group.host
        runs: list[Placement] = []
        for suspect in group.suspects:
            service = self._find_queue(suspect.job).service
            if not is_eligible(suspect.step, service, host):
                continue
            self._start(suspect.step, suspect.position, host)
            key = suspect.step.get_task_key(suspect.position)
            runs.append(self._runs[key])
            self._metrics.crash_suspects.inc({"event": "tried"})
            logger.info(
                "suspect is tried apart",
                extra={
                    "job": key.job_id,
                    "task": key.format(),
                    "run": self._runs[key].run,
                    "host": host.name,
                    "crashes": len(suspect.step.tasks[suspect.position].crashes),
                },
            )
        if runs and host.runner is not None:
            self._trials[host.name] = Trial(host.runner.born, tuple(runs))

    def _end_trials(self) -> None:
        for name, trial in list(self._trials.items()):
            host = self._hosts.get(name)
            is_same = (
                host is not None
                and host.runner is not None
                and host.runner.born == trial.born
            )
            ongoing = [p for p in trial.runs if self._runs.find(p.task) is p]
            if is_same and not all(map(self._has_passed, ongoing)):
                continue
            del self._trials[name]
            passed = [
                placement
                for placement in trial.runs
                if placement.step.tasks[placement.task.position].done
                or (is_same and placement in ongoing)
            ]
            for placement in passed:
                self._crashes.clear(placement)
            for job in {placement.step.job for placement in passed}:
                job.passed_trials += 1

    def _has_passed(self, placement: Placement) -> bool:
        host = self._hosts[placement.host]
        return (
            placement.is_listed
            and host.runner_heard_at - _find_latest_start(placement) >= TRIAL_TIME
            and not host.runner_silent
        )


def _find_latest_start(placement: Placement) -> timedelta:
    """Return the latest time at which the runner may have begun a listed run.

    Reports tell only at an interval which starts are on their way.
    """
    if placement.starting_at is None:
        return placement.placed_at
    return placement.starting_at + FULL_REPORT_INTERVAL


def _find_group_size(job: Job) -> int:
    """Return with how many other suspects a task of a job may be tried, and itself."""
    return int(MAX_GROUP * 2 ** min(job.passed_trials, MAX_DOUBLINGS))


def list_unsuspected(step: StepState) -> list[int]:
    """Return the waiting tasks that need no trial."""
    if step.job.is_suspect:
        return []
    return sorted(step.waiting - step.suspects)

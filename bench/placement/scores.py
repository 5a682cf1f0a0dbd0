"""What a simulated day earned of what its jobs were worth."""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from bench.placement.loads import BATCH, SERVING, URGENT, Submission
from bench.placement.runners import SimulatedRunner

# Worth of a job, or of two seconds of one that serves, by queue.
WORTH = {URGENT.name: 0.33, BATCH.name: 7.73, SERVING.name: 1.31}
SERVING_PERIOD_SECONDS = 2.0
# Share of its worth that a late job earns, up to a multiple of its objective.
LATE_SHARE = 0.15
LATE_FACTOR = 3.0
# A job is worth this share whatever its size, and the rest by its work over the mean.
FIXED_SHARE = 0.3
MAX_WORTH_FACTOR = 4.0
# Time over target that best-effort tasks cause counts this many times.
INTERFERENCE_FACTOR = 4.0
LARGE_JOB_QUANTILE = 0.9
# Jobs with less of their objective left at the end of the day are not owed.
MIN_OWED_SHARE = 0.7
# Serving tasks are not owed while they start for the first time.
SERVING_START_SECONDS = 2.5


class Outcome(NamedTuple):
    """What a day earned, as shares of what it owed; ``lost_work`` in core-seconds.

    ``largest`` is the share of the batch jobs with the most work.
    """

    worth: float
    batch: float
    batch_on_time: float
    serving: float
    urgent: float
    lost_work: float
    largest: float


class JobResult(NamedTuple):
    """When a job ended, ``inf`` if it did not."""

    submission: Submission
    ended_at: float
    failed: bool

    @property
    def share(self) -> float:
        """Return the share of its worth that the job earned."""
        if self.failed:
            return 0.0
        took = self.ended_at - self.submission.at
        if took <= self.submission.objective:
            return 1.0
        return LATE_SHARE if took <= LATE_FACTOR * self.submission.objective else 0.0


class _Account:
    """Sums of what was owed and earned."""

    def __init__(self) -> None:
        self.owed = 0.0
        self.earned = 0.0

    def add(self, worth: float, share: float) -> None:
        self.owed += worth
        self.earned += worth * share

    @property
    def share(self) -> float:
        return self.earned / self.owed if self.owed else 1.0


def judge(
    results: Iterable[JobResult], runners: Sequence[SimulatedRunner], end: float
) -> Outcome:
    """Return what a day that lasted until ``end`` earned."""
    accounts = {name: _Account() for name in WORTH}
    largest, on_time = _Account(), _Account()
    owed = [r for r in results if _is_owed(r, end)]
    works = sorted(
        r.submission.work for r in owed if r.submission.definition.queue is BATCH
    )
    mean_work = sum(works) / max(1, len(works))
    large = works[int(len(works) * LARGE_JOB_QUANTILE)] if works else 0.0
    for result in owed:
        submission = result.submission
        name = submission.definition.queue.name
        if submission.definition.queue is SERVING:
            seconds = min(end, submission.ends_at) - submission.at
            seconds -= SERVING_START_SECONDS
            worth = WORTH[name] * max(0.0, seconds) / SERVING_PERIOD_SECONDS
            accounts[name].add(worth, _find_serving_share(submission, runners, seconds))
            continue
        worth = WORTH[name]
        if submission.definition.queue is BATCH:
            size = FIXED_SHARE + (1 - FIXED_SHARE) * submission.work / mean_work
            worth *= min(MAX_WORTH_FACTOR, size)
            on_time.add(1, float(result.share == 1))
            if submission.work >= large:
                largest.add(worth, result.share)
        accounts[name].add(worth, result.share)
    total = sum(account.owed for account in accounts.values())
    return Outcome(
        sum(account.earned for account in accounts.values()) / total,
        accounts[BATCH.name].share,
        on_time.share,
        accounts[SERVING.name].share,
        accounts[URGENT.name].share,
        sum(runner.lost_work for runner in runners),
        largest.share,
    )


def _is_owed(result: JobResult, end: float) -> bool:
    submission = result.submission
    if submission.definition.queue is SERVING:
        return True
    return submission.at + MIN_OWED_SHARE * submission.objective <= end


def _find_serving_share(
    submission: Submission, runners: Iterable[SimulatedRunner], seconds: float
) -> float:
    """Return the share of the time for which the tasks were at work, on target."""
    good = 0.0
    for runner in runners:
        for task, time in runner.serving_time.items():
            if task.startswith(submission.definition.job_id):
                own = time.over - time.over_by_others
                good += time.working - own - INTERFERENCE_FACTOR * time.over_by_others
    width = submission.definition.steps[0].width
    return min(1.0, max(0.0, good / (width * seconds))) if seconds > 0 else 1.0

"""Job service of a controller: submit, describe, cancel and count jobs."""

import logging
import time
from datetime import timedelta
from typing import NamedTuple

from returns.result import Failure, Result, Success

from egretcrank.clock import Clock
from egretcrank.controller.election import CELL_PARTITION, JOBS_TOPIC
from egretcrank.controller.submissions import Submissions
from egretcrank.controller.tail import OUTAGE_THRESHOLD, Tail
from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.observability.metrics import Metrics
from egretcrank.platform.store import Store, encode_keyed
from egretcrank.policy.retries import compute_retry_delay
from egretcrank.scheduling.backlog import Backlogs
from egretcrank.scheduling.catalog import EMPTY_CATALOG, Catalog, Queue
from egretcrank.scheduling.crashes import find_failure_reason
from egretcrank.scheduling.definitions import (
    JobDefinition,
    find_defect,
    find_unsupported,
)
from egretcrank.scheduling.records import (
    CANCELLATION_VALUE,
    Phase,
    RecordKey,
    RecordKind,
    encode_record,
)
from egretcrank.scheduling.table import JobEntry, JobTable

# Beyond this age of the view, a job that is not found may still be in the log.
MAX_VIEW_AGE = timedelta(milliseconds=2500)
# Maximum wait for one append; a failed one is retried after APPEND_RETRY_DELAY.
APPEND_TIMEOUT = timedelta(milliseconds=700)
# Fraction of the caller's time limit for an append by the leader. The rest is left for
# an append by this controller.
LEADER_WAIT_SHARE = 0.5
# Maximum wait for a leader that has just reported that its appends succeed.
MAX_LEADER_WAIT = timedelta(seconds=1)
# A read of the log returns within a few milliseconds if there are records.
REFRESH_TIMEOUT = timedelta(milliseconds=150)
APPEND_RETRY_DELAY = timedelta(milliseconds=100)
# Part of the caller's time limit that is reserved for sending the response.
RESPONSE_MARGIN = timedelta(milliseconds=150)
RETRY_AFTER_OUTAGE = timedelta(seconds=1)
# Beyond this age of the view, no job is refused because of the backlog.
MAX_BACKLOG_VIEW_AGE = timedelta(seconds=1)

logger = logging.getLogger(__name__)


class JobState(NamedTuple):
    """State of a job as reported to callers.

    ``reason`` tells why a job failed, where that is known.
    """

    phase: Phase
    reason: str = ""


class JobService:
    """Answers requests from the job table, and appends records of jobs to the log."""

    def __init__(
        self,
        store: Store,
        clock: Clock,
        table: JobTable,
        tail: Tail,
        submissions: Submissions,
        backlogs: Backlogs,
        metrics: Metrics,
    ) -> None:
        self._store = store
        self._submissions = submissions
        self._clock = clock
        self._table = table
        self._tail = tail
        self._backlogs = backlogs
        self._metrics = metrics
        self.catalog: Catalog = EMPTY_CATALOG

    def find_queue(self, host: str, path: str) -> Result[Queue, Problem]:
        """Find the queue that serves a host name and path.

        Failures: ``starting`` (no configuration yet), ``not_found``.
        """
        if self.catalog.version == 0:
            return Failure(
                Problem(
                    ErrorKind.STARTING,
                    "no configuration has been received yet",
                    retry_after=RETRY_AFTER_OUTAGE,
                )
            )
        queue = self.catalog.find_queue(host, path)
        if queue is None:
            return Failure(Problem(ErrorKind.NOT_FOUND, "no such queue"))
        return Success(queue)

    def submit(
        self, definition: JobDefinition, time_limit: timedelta
    ) -> Result[JobState, Problem]:
        """Store a job in the log.

        Whether the job may be in the log after a failure depends on the kind of the
        failure; see ``ANSWERS`` in ``egretcrank.errors.answers``.
        """
        defect = find_defect(definition)
        if defect:
            return Failure(Problem(ErrorKind.BAD_REQUEST, defect, "steps"))
        unsupported = find_unsupported(definition)
        if unsupported:
            logger.info(
                "job refused", extra={"job": definition.job_id, "why": unsupported}
            )
            return Failure(Problem(ErrorKind.NO_CAPACITY, unsupported, "steps"))
        entry = self._table.find(definition.job_id)
        if entry is not None:
            logger.info("job known", extra={"job": definition.job_id})
            return Success(JobState(entry.phase))
        outage = self._build_outage_problem(definition.job_id)
        if outage is not None and not self._submissions.probe():
            logger.info(
                "job refused",
                extra={
                    "job": definition.job_id,
                    "why": "outage",
                    "retry_after": outage.retry_after,
                    "view_age": self._tail.get_view_age().total_seconds(),
                },
            )
            return Failure(outage)
        refused = self._refuse_under_overload(definition)
        if refused is not None:
            return refused
        key = RecordKey(RecordKind.JOB, definition.job_id)
        value = encode_record(definition)
        stored = self._store_record(
            key, value, time_limit, is_log_away=outage is not None
        )
        logger.info(
            "job submitted",
            extra={
                "job": definition.job_id,
                "queue": definition.queue.name,
                "version": self.catalog.version,
                "tasks": sum(step.width for step in definition.steps),
                "problem": "" if isinstance(stored, Success) else stored.failure().kind,
            },
        )
        return stored.map(lambda _: JobState(self._get_first_phase(definition.job_id)))

    def _refuse_under_overload(
        self, definition: JobDefinition
    ) -> Result[JobState, Problem] | None:
        """Return the answer to a job that cannot begin in time, None to store the job.

        A job is refused only if no record of it was stored before this call. A caller
        whose first attempt was stored without an answer may repeat it here before this
        controller has read the record.
        """
        refusal = self._backlogs.find_refusal(definition)
        if (
            refusal is None
            or self._tail.get_view_age() > MAX_BACKLOG_VIEW_AGE
            or not self._tail.catch_up(REFRESH_TIMEOUT)
        ):
            return None
        entry = self._table.find(definition.job_id)
        if entry is not None:
            return Success(JobState(entry.phase))
        queue = definition.queue.name
        self._metrics.jobs_refused.inc({"queue": queue, "reason": refusal.reason})
        logger.info(
            "job refused",
            extra={
                "job": definition.job_id,
                "queue": queue,
                "why": refusal.reason,
                "retry_after": refusal.retry_after,
                "on_time_backlog": refusal.on_time.total_seconds(),
                "overdue_backlog": refusal.overdue.total_seconds(),
                "objective": refusal.objective.total_seconds(),
                "throughput_cores": refusal.throughput,
            },
        )
        return Failure(
            Problem(
                ErrorKind.QUEUE_OVERLOADED,
                "the job could not begin before it is too late",
                queue,
                retry_after=refusal.retry_after,
            )
        )

    def _get_first_phase(self, job_id: str) -> Phase:
        """Return the phase of a job whose record has just been stored."""
        return Phase.CANCELLED if self._table.is_cancelled(job_id) else Phase.QUEUED

    def describe(self, job_id: str) -> Result[JobState, Problem]:
        """Return the state of a job.

        Failures: ``unknown_job``, ``log_unavailable`` (the view of the log is stale).
        """
        entry = self._find_entry(job_id)
        if entry is not None:
            return Success(JobState(entry.phase, _find_reason(job_id, entry)))
        return Failure(self._build_unknown_job_problem(job_id))

    def cancel(self, job_id: str, time_limit: timedelta) -> Result[JobState, Problem]:
        """Cancel a job; a job that has already ended keeps its state.

        The cancellation of a job that this controller does not know is stored as well:
        its record may be further along the log, or may be appended later. In both cases
        no task of it starts after the response, ``unknown_job`` included.
        """
        entry = self._find_entry(job_id)
        if entry is not None and entry.phase.final:
            return Success(JobState(entry.phase))
        outage = self._build_outage_problem(job_id)
        if outage is not None and not self._submissions.probe():
            logger.info(
                "cancellation refused",
                extra={"job": job_id, "retry_after": outage.retry_after},
            )
            return Failure(outage)
        key = RecordKey(RecordKind.CANCELLATION, job_id)
        stored = self._store_record(
            key, CANCELLATION_VALUE, time_limit, is_log_away=outage is not None
        )
        logger.info(
            "cancellation",
            extra={"job": job_id, "stored": isinstance(stored, Success)},
        )
        return stored.bind(lambda _: self._describe_cancelled(job_id))

    def _describe_cancelled(self, job_id: str) -> Result[JobState, Problem]:
        """Return the state of a job whose cancellation has just been stored."""
        entry = self._table.find(job_id)
        if entry is not None:
            # It may have ended before the cancellation reached the log.
            phase = entry.phase if entry.phase.final else Phase.CANCELLED
            return Success(JobState(phase))
        age = self._tail.get_view_age()
        logger.info(
            "cancellation met no job",
            extra={"job": job_id, "view_age": age.total_seconds()},
        )
        if age > MAX_VIEW_AGE:
            return Success(JobState(Phase.CANCELLED))
        return Failure(Problem(ErrorKind.UNKNOWN_JOB, "no such job"))

    def _find_entry(self, job_id: str) -> JobEntry | None:
        """Find a job, including one that another controller has just accepted.

        Followers pause between reads of the log. Without the refresh, a request right
        after the job was accepted would be answered with ``unknown_job``.
        """
        entry = self._table.find(job_id)
        if entry is None:
            self._tail.refresh(REFRESH_TIMEOUT)
            entry = self._table.find(job_id)
        return entry

    def count_waiting(self, queue: Queue) -> int:
        """Return the number of accepted jobs of a queue without a started task."""
        return self._table.count_waiting(queue.name)

    def _build_outage_problem(self, job_id: str) -> Problem | None:
        """Return a problem if the log is known to be unavailable.

        Rejecting the request before any append tells the caller for certain that the
        job was not run, so that it can be retried elsewhere or later. An append that
        times out would leave the outcome unknown.
        """
        outage = self._tail.get_outage_duration()
        if outage < OUTAGE_THRESHOLD:
            return None
        return Problem(
            ErrorKind.LOG_UNAVAILABLE,
            "the log is unavailable",
            "log",
            retry_after=compute_retry_delay(outage, job_id),
        )

    def _build_unknown_job_problem(self, job_id: str) -> Problem:
        age = self._tail.get_view_age()
        if age > MAX_VIEW_AGE:
            logger.warning(
                "job not found, but the view of the log is stale", extra={"job": job_id}
            )
            return Problem(
                ErrorKind.LOG_UNAVAILABLE,
                "the log has not been read recently",
                retry_after=RETRY_AFTER_OUTAGE,
            )
        logger.info(
            "job unknown",
            extra={"job": job_id, "view_age": age.total_seconds()},
        )
        return Problem(ErrorKind.UNKNOWN_JOB, "no such job")

    def _store_record(
        self, key: RecordKey, value: bytes, time_limit: timedelta, is_log_away: bool
    ) -> Result[None, Problem]:
        if is_log_away:
            return self._append_by_leader(key, value, time_limit)
        return self._append(key, value, time_limit)

    def _append(
        self, key: RecordKey, value: bytes, time_limit: timedelta
    ) -> Result[None, Problem]:
        """Append a record through the leader, or directly if that fails.

        Callers' records are idempotent, so it does no harm if both appends succeed.
        """
        deadline = self._clock.boottime() + time_limit - RESPONSE_MARGIN
        unknown_outcome: Problem | None = None
        match self._submissions.submit(
            key.format(), value, time_limit * LEADER_WAIT_SHARE
        ):
            case Success(_):
                return Success(None)
            case Failure(problem):
                if problem.kind is ErrorKind.CALL_TIMEOUT:
                    unknown_outcome = problem
        record = encode_keyed(key.format(), value)
        while True:
            remaining = deadline - self._clock.boottime()
            timeout = min(APPEND_TIMEOUT, max(remaining, APPEND_RETRY_DELAY))
            match self._store.append(
                JOBS_TOPIC, CELL_PARTITION, [record], timeout=timeout
            ):
                case Success(_):
                    return Success(None)
                case Failure(problem):
                    if problem.kind is ErrorKind.CALL_TIMEOUT:
                        unknown_outcome = problem
                    if deadline - self._clock.boottime() < APPEND_RETRY_DELAY:
                        return Failure(_build_append_problem(unknown_outcome, problem))
            time.sleep(APPEND_RETRY_DELAY.total_seconds())

    def _append_by_leader(
        self, key: RecordKey, value: bytes, time_limit: timedelta
    ) -> Result[None, Problem]:
        """Append a record only through the leader, as the log is unavailable here."""
        max_wait = min(time_limit - RESPONSE_MARGIN, MAX_LEADER_WAIT)
        match self._submissions.submit(key.format(), value, max_wait):
            case Failure(problem):
                unknown_outcome = (
                    problem if problem.kind is ErrorKind.CALL_TIMEOUT else None
                )
                return Failure(_build_append_problem(unknown_outcome, problem))
        return Success(None)


def _find_reason(job_id: str, entry: JobEntry) -> str:
    if entry.phase is not Phase.FAILED or entry.crashes is None:
        return ""
    return find_failure_reason(job_id, entry.crashes)


def _build_append_problem(
    unknown_outcome: Problem | None, last_problem: Problem
) -> Problem:
    if unknown_outcome is not None:
        return Problem(
            ErrorKind.OUTCOME_UNKNOWN, unknown_outcome.detail, unknown_outcome.where
        )
    return Problem(
        ErrorKind.LOG_UNAVAILABLE,
        last_problem.detail,
        last_problem.where,
        retry_after=RETRY_AFTER_OUTAGE,
    )

"""Progress of jobs on the log: one record, or parts once that grows too large.

The platform refuses records over a limit for good, so a job that needs one would keep
everything else from the log. A divided job has a record for each group of neighbouring
tasks of a step, and writes those that have changed. Its other record, which holds all
progress until then, is older than the parts and is left without steps.
"""

import logging
from collections import Counter
from collections.abc import Iterable, Sequence

from egretcrank.scheduling.definitions import JobDefinition, Step
from egretcrank.scheduling.records import (
    LogChange,
    PartKey,
    ProgressRecord,
    RecordKey,
    RecordKind,
    StepRecord,
    encode_record,
)
from egretcrank.scheduling.tasks import (
    PART_TASKS,
    Job,
    StepState,
    build_step_record,
)

# The platform accepts records of 256 KiB, with their keys.
MAX_PROGRESS_BYTES = 192 * 1024

logger = logging.getLogger(__name__)


class Parts:
    """Parts of the progress of one job, as they are on the log."""

    def __init__(self) -> None:
        self.records: dict[PartKey, StepRecord] = {}
        # Number of done tasks by occurrence and step.
        self.done: Counter[tuple[int, int]] = Counter()

    def put(self, key: PartKey, record: StepRecord) -> None:
        """Set a part, in place of the former one."""
        self.drop(key)
        self.records[key] = record
        self.done[key.occurrence, key.step] += record.count_done()

    def drop(self, key: PartKey) -> None:
        """Remove a part, if it is known."""
        record = self.records.pop(key, None)
        if record is not None:
            self.done[key.occurrence, key.step] -= record.count_done()

    def count_left(self, steps: Sequence[Step]) -> list[int]:
        """Return the number of tasks of each step that are not done.

        Only the first occurrence counts.
        """
        return [step.width - self.done[0, n] for n, step in enumerate(steps)]


def is_part_of(key: PartKey, definition: JobDefinition) -> bool:
    """Return whether a job has the tasks of a part."""
    if key.occurrence >= max(1, definition.repetitions):
        return False
    if key.step >= len(definition.steps):
        return False
    return key.number * PART_TASKS < definition.steps[key.step].width


def build_changes(job: Job) -> list[LogChange]:
    """Return the records of a job's progress to append, parts before the other one.

    Parts that are on the log without the other record are restored over it.
    """
    key = RecordKey(RecordKind.PROGRESS, job.job_id)
    if job.phase.final or not job.is_divided:
        value = encode_record(job.build_record())
        if len(value) <= MAX_PROGRESS_BYTES:
            return [LogChange(key, value)]
        _divide(job)
        logger.info("progress is divided", extra={"job": job.job_id})
    changes = [_build_part_change(*part) for part in _take_changed_parts(job)]
    value = encode_record(ProgressRecord(job.phase))
    return [*changes, LogChange(key, value)]


def restore_progress(
    job: Job, progress: ProgressRecord | None, parts: Parts | None
) -> None:
    """Load the progress that is stored on the log."""
    if progress is not None:
        job.restore(progress)
    if parts is None or job.phase.final:
        return
    # A former leader that had not written all parts yet has left the progress from
    # before the division.
    has_all_parts = not job.occurrences
    for key, record in parts.records.items():
        if not key.occurrence < job.occurrence_count:
            continue
        steps = job.occurrences.get(key.occurrence)
        steps = steps or job.add_occurrence(key.occurrence)
        if key.step < len(steps):
            steps[key.step].restore(record, key.number * PART_TASKS)
    _divide(job)
    if has_all_parts:
        _take_changed_parts(job)


def _divide(job: Job) -> None:
    """Let all progress be written in parts from now on."""
    job.is_divided = True
    for step in _list_steps(job):
        step.changed_parts = {
            index // PART_TASKS
            for index, task in enumerate(step.tasks)
            if task.done or task.ended_run or task.checkpoint
        }


def _take_changed_parts(job: Job) -> list[tuple[PartKey, StepRecord]]:
    """Return the parts that have changed since the last call."""
    parts = []
    for step in _list_steps(job):
        for number in sorted(step.changed_parts):
            tasks = step.tasks[number * PART_TASKS :][:PART_TASKS]
            parts.append((PartKey(*step.key, number), build_step_record(tasks)))
        step.changed_parts.clear()
    return parts


def _list_steps(job: Job) -> list[StepState]:
    return [step for steps in job.occurrences.values() for step in steps]


def build_deletions(keys: Iterable[PartKey]) -> list[LogChange]:
    """Return the records that delete parts."""
    return [LogChange(RecordKey(RecordKind.PART, key.format()), b"") for key in keys]


def _build_part_change(key: PartKey, record: StepRecord) -> LogChange:
    value = encode_record(record)
    limit = max((len(task.checkpoint) for task in record.tasks.values()), default=0)
    while len(value) > MAX_PROGRESS_BYTES and limit:
        # The tasks start anew if all machines lose power; others know their checkpoint.
        limit //= 2
        record = record.drop_checkpoints(limit)
        value = encode_record(record)
        logger.warning(
            "checkpoints are left out of the log",
            extra={"job": key.job_id, "part": key.format(), "over_characters": limit},
        )
    return LogChange(RecordKey(RecordKind.PART, key.format()), value)

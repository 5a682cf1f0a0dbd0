"""Tests of jobs whose progress is too large for one record of the log."""

import threading
from typing import Any

from egretcrank.controller.batches import (
    LENGTH_BYTES,
    MAX_APPEND_BYTES,
    Entry,
    divide_entries,
)
from egretcrank.controller.committer import Committer, Submission
from egretcrank.controller.election import Appender
from egretcrank.observability.metrics import Metrics
from egretcrank.platform.bounds import MAX_CHECKPOINT_CHARACTERS
from egretcrank.platform.store import encode_keyed
from egretcrank.scheduling.cell import Cell
from egretcrank.scheduling.definitions import MAX_JOB_TASKS, MAX_TASKS, JobDefinition
from egretcrank.scheduling.progress import (
    MAX_PROGRESS_BYTES,
    build_changes,
    restore_progress,
)
from egretcrank.scheduling.records import (
    LogChange,
    Phase,
    RecordKey,
    RecordKind,
    encode_record,
)
from egretcrank.scheduling.table import JobTable, StoredValue
from egretcrank.scheduling.tasks import PART_TASKS, Job
from egretcrank.wire.hosting import EndedTask
from tests.cases import AsyncTestCase, ManualClock
from tests.cell_world import SETTINGS, World, build_step
from tests.test_platform import build_store

# Limits of the platform, the key of a record included.
RECORD_BYTES = 262_144
REQUEST_BYTES = 2_097_152
STORED = (200, b'{"offset":0,"end":1}')
TOO_LARGE = (413, b"{}")
FENCED = (409, b'{"reason":"fenced"}')
CHECKPOINT = "00000bb87a21d94b"


def measure(change: LogChange) -> int:
    """Return the bytes of a record with its key."""
    return 1 + len(change.key.format()) + len(change.value)


class WideJobCase(AsyncTestCase):
    """A cell with a job of many tasks that wait for a label that no host has."""

    def open_cell(self, world: World) -> Cell:
        cell = world.leader.cell
        assert cell is not None
        return cell

    def build_job(self, steps: int, width: int, repetitions: int = 0) -> Job:
        world = World(31)
        step = build_step(width=width, label="missing")
        job_id = world.submit(*[step] * steps)
        world.run(0.5)
        definition = self.open_cell(world).jobs[job_id].definition
        job = Job(definition._replace(repetitions=repetitions), 0)
        for number in range(job.occurrence_count):
            if number not in job.occurrences:
                job.add_occurrence(number)
        job.phase = Phase.RUNNING
        return job

    def list_steps(self, job: Job) -> list[Any]:
        return [step for steps in job.occurrences.values() for step in steps]

    def set_checkpoints(self, job: Job, checkpoint: str) -> None:
        for step in self.list_steps(job):
            for index, task in enumerate(step.tasks):
                task.checkpoint, task.highest_run = checkpoint, 1
                step.mark_changed(index)

    def restore(self, definition: JobDefinition, changes: list[LogChange]) -> Job:
        """Read records as the next leader does."""
        table = JobTable()
        value = encode_record(definition)
        key = RecordKey(RecordKind.JOB, definition.job_id)
        for offset, change in enumerate([LogChange(key, value), *changes]):
            table.apply(StoredValue(offset, change.key.format(), change.value))
        entry = table.find(definition.job_id)
        assert entry is not None
        job = Job(definition, 0)
        restore_progress(job, entry.progress, entry.parts)
        return job

    def list_progress(self, job: Job) -> list[tuple[Any, ...]]:
        return [
            (t.done,)
            if t.done
            else (t.done, t.highest_run, t.ended_run, t.failures, t.checkpoint)
            for step in self.list_steps(job)
            for t in step.tasks
        ]


class ProgressSizeTests(WideJobCase):
    """Sizes of the records of one job."""

    def check_sizes(self, job: Job) -> list[LogChange]:
        changes = build_changes(job)
        self.assertLessEqual(max(map(measure, changes)), RECORD_BYTES)
        return changes

    def test_the_progress_of_a_wide_job_fits_into_records_of_the_log(self):
        """Guards against an append that the log refuses for good.

        Case 2 of the review: 12,000 tasks with checkpoints made the progress of their
        job one record of over 262,144 bytes, and nothing else was appended any more.
        """
        job = self.build_job(3, 4000)
        self.set_checkpoints(job, CHECKPOINT)
        self.check_sizes(job)

    def test_the_widest_job_with_the_largest_checkpoints_fits(self):
        """Guards against a record that is too large by the size of checkpoints."""
        job = self.build_job(1, MAX_TASKS)
        self.set_checkpoints(job, MAX_CHECKPOINT_CHARACTERS * "€")
        self.check_sizes(job)

    def test_a_job_with_many_occurrences_fits(self):
        """Guards against a record that grows with the repetitions of a job."""
        job = self.build_job(20, 1, repetitions=4000)
        for step in self.list_steps(job):
            step.mark_done(0)
        self.check_sizes(job)

    def test_a_task_with_many_failures_fits(self):
        """Guards against a record that grows with the failures of lasting tasks."""
        job = self.build_job(1, PART_TASKS)
        for index, task in enumerate(job.occurrences[0][0].tasks):
            task.failed_runs = set(range(1, 20_000))
            task.ended_run = task.highest_run = 20_000
            job.occurrences[0][0].mark_changed(index)
        changes = self.check_sizes(job)
        self.assertEqual(self.restore(job.definition, changes).is_divided, False)

    def test_a_change_of_one_task_writes_one_part(self):
        """Guards against appends of all progress for each change of a wide job."""
        job = self.build_job(3, 4000)
        self.set_checkpoints(job, CHECKPOINT)
        build_changes(job)
        job.occurrences[0][1].mark_done(100)
        parts = [c for c in build_changes(job) if c.key.kind is RecordKind.PART]
        self.assertEqual([part.key.name for part in parts], [f"{job.job_id}.0.1.1"])

    def test_a_narrow_job_is_written_as_before(self):
        """Guards against progress that a controller of the previous release misses."""
        job = self.build_job(3, 100)
        self.set_checkpoints(job, CHECKPOINT)
        (change,) = build_changes(job)
        self.assertEqual(change.key, RecordKey(RecordKind.PROGRESS, job.job_id))
        self.assertEqual(change.value, encode_record(job.build_record()))


class DividedProgressTests(WideJobCase):
    """What the next leader reads of a job in parts."""

    def setUp(self):
        super().setUp()
        self.job = self.build_job(2, 6000)
        first, second = self.job.occurrences[0]
        self.set_checkpoints(self.job, CHECKPOINT)
        for index in range(0, 6000, 7):
            first.mark_done(index)
            second.tasks[index].ended_run = 3
            second.tasks[index].failed_runs = {1, 3}
        self.changes = build_changes(self.job)
        self.assertGreater(len(self.changes), 100)

    def test_parts_are_restored_in_any_order(self):
        """Guards against a second run of tasks that are done, after a takeover."""
        for changes in (self.changes, self.changes[::-1]):
            restored = self.restore(self.job.definition, changes)
            self.assertEqual(self.list_progress(restored), self.list_progress(self.job))
            self.assertTrue(restored.is_divided)

    def test_a_restored_job_writes_what_changes_alone(self):
        """Guards against all parts being appended again after each takeover."""
        restored = self.restore(self.job.definition, self.changes)
        (change,) = build_changes(restored)
        self.assertEqual(change.key.kind, RecordKind.PROGRESS)

    def test_a_division_that_a_leader_has_not_finished_loses_nothing(self):
        """Guards against a second run of tasks whose part was not written in time."""
        before = LogChange(
            RecordKey(RecordKind.PROGRESS, self.job.job_id),
            encode_record(self.job.build_record()),
        )
        for count in (1, 50, len(self.changes) - 1):
            records = [before, *self.changes[:count]]
            restored = self.restore(self.job.definition, records)
            expected = self.list_progress(self.job)
            self.assertEqual(self.list_progress(restored), expected, count)
            again = self.restore(
                self.job.definition, [*records, *build_changes(restored)]
            )
            self.assertEqual(self.list_progress(again), expected, count)

    def test_a_part_that_names_no_tasks_of_the_job_is_deleted(self):
        """Guards against odd parts that nobody removes from the log."""
        value = self.changes[0].value
        for name in ("0.0.9999", "0.7.0", "5.0.0"):
            key = RecordKey(RecordKind.PART, f"{self.job.job_id}.{name}")
            self.restore(self.job.definition, [LogChange(key, value)])
            table = JobTable()
            table.apply(StoredValue(1, key.format(), value))
            job_key = RecordKey(RecordKind.JOB, self.job.job_id)
            definition = encode_record(self.job.definition)
            table.apply(StoredValue(2, job_key.format(), definition))
            (orphan,) = table.list_orphaned_parts()
            self.assertEqual(orphan.format(), key.name)

    def test_malformed_parts_are_refused(self):
        """Guards against readers that stop at a part of another writer."""
        table = JobTable()
        value = self.changes[0].value
        for offset, name in enumerate(("j", "j.0.0", "j.0.0.x", "j.0.0.1.2", "")):
            stored = StoredValue(offset, f"t/{name}", value)
            self.assertIsNone(table.apply(stored), name)
        self.assertIsNone(table.apply(StoredValue(9, "t/j.0.0.0", b"odd")))
        self.assertEqual((table.refused, table.jobs), (6, {}))


class WideJobLifeTests(WideJobCase):
    """A divided job in a cell, until its records are deleted."""

    def divide(self) -> tuple[World, str]:
        """Return a world whose leader has written the parts of a job."""
        world = World(41)
        job_id = world.submit(build_step(width=MAX_TASKS, label="missing"))
        world.run(1)
        cell = self.open_cell(world)
        job = cell.jobs[job_id]
        self.set_checkpoints(job, 24 * "c")
        job.occurrences[0][0].mark_done(0)
        ended = EndedTask(1, f"{job_id}.0.0.70", 1, "failed", "")
        cell._record_end(job, job.occurrences[0][0], 70, ended)
        world.run(1)
        self.assertTrue(job.is_divided)
        return world, job_id

    def count_parts(self, world: World) -> int:
        newest = {stored.key: stored.value for stored in world.log.records}
        return sum(bool(v) for k, v in newest.items() if k.startswith("t/"))

    def test_the_next_leader_knows_the_progress_of_a_divided_job(self):
        """Guards against a task that runs again after it was done."""
        world, job_id = self.divide()
        world.elect()
        world.run(1)
        job = self.open_cell(world).jobs[job_id]
        tasks = job.occurrences[0][0].tasks
        self.assertTrue(tasks[0].done)
        self.assertEqual((tasks[70].failures, tasks[70].ended_run), (1, 1))
        self.assertEqual(tasks[9999].checkpoint, 24 * "c")

    def test_the_parts_of_an_expired_job_are_deleted(self):
        """Guards against records of ended jobs that fill the log."""
        world, job_id = self.divide()
        self.assertGreater(self.count_parts(world), 100)
        world.cancel(job_id)
        world.run(1)
        world.clock.advance(SETTINGS.keep_ended)
        world.run(2)
        self.assertEqual(self.count_parts(world), 0)
        world.leader.catch_up()
        self.assertEqual(world.leader.table.jobs, {})

    def test_parts_that_an_earlier_release_has_left_are_deleted(self):
        """Guards against parts without a job, which that release does not know."""
        world, job_id = self.divide()
        epoch = world.leader.epoch
        for kind in ("j", "c", "p"):
            world.log.append([(f"{kind}/{job_id}", b"")], epoch)
        world.elect()
        world.run(1)
        self.assertEqual(self.count_parts(world), 0)


class CommitterSizeTests(WideJobCase):
    """Appends of records that together, or alone, are too large."""

    def build_committer(self, *replies: Any) -> tuple[Committer, Cell, Any, str]:
        world = World(51)
        job_id = world.submit(build_step(width=2, label="missing"))
        world.run(1)
        cell = self.open_cell(world)
        cell._changes.mark_job(job_id)
        store = build_store(*replies)
        clock = ManualClock()
        committer = Committer(
            cell,
            Appender(store, clock, 3),
            threading.Condition(),
            lambda: None,
            Metrics(),
            clock,
        )
        return committer, cell, store._client, job_id

    def test_appends_stay_below_the_limit_of_the_log(self):
        """Guards against many changes in one append that the log refuses for good."""
        sizes = [100, MAX_PROGRESS_BYTES, 1] * 40
        entries = [Entry(bytes(size)) for size in sizes]
        batches = divide_entries(entries)
        self.assertEqual([e for batch in batches for e in batch], entries)
        for batch in batches:
            total = sum(len(entry.record) + LENGTH_BYTES for entry in batch)
            self.assertLessEqual(total, MAX_APPEND_BYTES)
        self.assertLessEqual(MAX_APPEND_BYTES, REQUEST_BYTES)
        self.assertEqual(divide_entries([]), [[]])

    def test_a_record_that_is_too_large_keeps_no_others_from_the_log(self):
        """Guards against an append that is repeated for good, and a cell that stops."""
        committer, cell, caller, job_id = self.build_committer(
            TOO_LARGE, TOO_LARGE, STORED, STORED, FENCED
        )
        answers: list[bool] = []
        committer.submit(Submission(b"record", answers.append))
        committer.run()
        self.assertEqual(answers, [True])
        self.assertEqual(cell.jobs[job_id].phase, Phase.FAILED)
        key = RecordKey(RecordKind.PROGRESS, job_id).format().encode()
        self.assertIn(key, caller.calls[2][2])
        self.assertIn(b"record", caller.calls[3][2])

    def test_a_cancellation_that_is_stored_again_comes_after_its_deletion(self):
        """Guards against a job that runs although it was cancelled again."""
        committer, cell, caller, _ = self.build_committer(STORED, FENCED)
        cell._changes.mark_cancellation("unmet", present=False)
        record = encode_keyed("c/unmet", b"1")
        committer.submit(Submission(record, lambda _: None))
        committer.run()
        sent = caller.calls[0][2]
        self.assertGreater(sent.rindex(record), sent.index(b"c/unmet"))

    def test_a_callers_record_that_is_too_large_is_not_reported_as_stored(self):
        """Guards against an accepted job that is not in the log."""
        committer, cell, _, job_id = self.build_committer(
            TOO_LARGE, STORED, TOO_LARGE, FENCED
        )
        answers: list[bool] = []
        committer.submit(Submission(b"record", answers.append))
        committer.run()
        self.assertEqual(answers, [False])
        self.assertEqual(cell.jobs[job_id].phase, Phase.QUEUED)


class LimitTests(AsyncTestCase):
    """Limits that the sizes of records rest on."""

    def test_the_limits_of_jobs_are_those_that_the_sizes_were_checked_for(self):
        """Guards against a larger job without a look at its records."""
        self.assertEqual((MAX_TASKS, MAX_JOB_TASKS), (10_000, 100_000))

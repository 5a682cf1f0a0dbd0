"""Tests of cancellations that are stored before the record of their job is read."""

import threading
from datetime import timedelta
from itertools import permutations
from typing import Any
from unittest.mock import patch

from returns.result import Failure, Success

from egretcrank.clock import SystemClock
from egretcrank.controller.service import MAX_VIEW_AGE, JobService, JobState
from egretcrank.controller.submissions import Submissions
from egretcrank.controller.tail import Tail
from egretcrank.errors.answers import ANSWERS
from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.observability.metrics import Metrics
from egretcrank.platform.store import LogPage
from egretcrank.scheduling import cell as cell_module
from egretcrank.scheduling.backlog import Backlogs
from egretcrank.scheduling.cell import Cell
from egretcrank.scheduling.definitions import JobDefinition
from egretcrank.scheduling.records import Phase, ProgressRecord, encode_record
from egretcrank.scheduling.settings import CellSettings
from egretcrank.scheduling.table import JobEntry, JobTable, StoredValue
from tests import cell_world
from tests.cases import AsyncTestCase, ManualClock
from tests.cell_world import QUEUE, World, build_step
from tests.test_platform import FakeTail, build_store
from tests.test_submissions import FENCED, build_committer

JOB_ID = "00112233445566aa"
STORED = (200, b'{"offset":0,"end":1}')
REFUSED = (503, b"")
LOST = Failure(Problem(ErrorKind.CALL_TIMEOUT, "no answer"))
# Allows one attempt to append.
SHORT = timedelta(milliseconds=1)


def build_definition(job_id: str = JOB_ID) -> JobDefinition:
    """Build a job with one step."""
    return JobDefinition(job_id, QUEUE, "spec", (build_step(),), ManualClock().now())


def decode_appended(client: Any) -> list[tuple[str, bytes]]:
    """Return the key and value of the only record of each append that has one."""
    records = [body[4:] for _, _, body in client.calls if body]
    return [(r[1 : 1 + r[0]].decode(), r[1 + r[0] :]) for r in records]


class ServiceCase(AsyncTestCase):
    """Job service whose tail and log a test controls."""

    def setUp(self) -> None:
        super().setUp()
        self.clock: Any = ManualClock()
        self.table = JobTable()
        self.tail: Any = FakeTail()
        self.store: Any = None
        self.submissions: Any = None
        self.offset = 0

    def build(self, *responses: Any) -> JobService:
        """Build a service over a store with scripted responses."""
        self.submissions = Submissions("c", "127.0.0.1:1", self.clock)
        self.submissions.mark_leader_alive()
        self.store = build_store(*responses)
        return JobService(
            self.store,
            self.clock,
            self.table,
            self.tail,
            self.submissions,
            Backlogs(self.clock, Metrics()),
            Metrics(),
        )

    def list_appended(self) -> list[tuple[str, bytes]]:
        """Return the key and value of each record that was sent to the log."""
        return decode_appended(self.store._client)

    def read(self, *records: tuple[str, bytes]) -> None:
        """Let the controller read records of the log."""
        for key, value in records:
            self.table.apply(StoredValue(self.offset, key, value))
            self.offset += 1


class UnreadJobTests(ServiceCase):
    """Cancellations of jobs that the controller has not read."""

    def test_a_cancellation_of_an_unread_job_is_stored_before_its_answer(self):
        """Guards against a job that runs on after a 410 for its cancellation."""
        service = self.build(STORED)
        with self.assertLogs("egretcrank.controller.service", "INFO") as logs:
            problem = service.cancel(JOB_ID, SHORT).failure()
        self.assertEqual(problem.kind, ErrorKind.UNKNOWN_JOB)
        self.assertEqual(self.list_appended(), [(f"c/{JOB_ID}", b"1")])
        lines = [r for r in logs.records if r.msg == "cancellation met no job"]
        fields = [(vars(line)["job"], vars(line)["view_age"]) for line in lines]
        self.assertEqual(fields, [(JOB_ID, 0.0)])

    def test_a_stored_cancellation_is_confirmed_from_a_stale_view(self):
        """Guards against a cancellation without a 2xx or 410 though it is stored."""
        service = self.build(STORED)
        self.tail.age = MAX_VIEW_AGE + timedelta(seconds=1)
        result = service.cancel(JOB_ID, SHORT)
        self.assertEqual(result, Success(JobState(Phase.CANCELLED)))
        self.assertEqual(self.list_appended(), [(f"c/{JOB_ID}", b"1")])

    def test_a_cancellation_is_refused_at_once_while_the_log_is_away(self):
        """Guards against a caller that waits for an append that cannot succeed."""
        service = self.build()
        self.tail.unavailable = True
        problem = service.cancel(JOB_ID, timedelta(seconds=3)).failure()
        self.assertEqual(problem.kind, ErrorKind.LOG_UNAVAILABLE)
        self.assertIsNotNone(problem.retry_after)
        self.assertEqual(self.list_appended(), [])

    def test_a_cancellation_that_is_not_stored_is_not_answered_with_410(self):
        """Guards against a 410 for a cancellation that the job's record can't meet."""
        for response, kind in (
            (REFUSED, ErrorKind.LOG_UNAVAILABLE),
            (LOST, ErrorKind.OUTCOME_UNKNOWN),
            ((500, b""), ErrorKind.OUTCOME_UNKNOWN),
        ):
            for age in (timedelta(), MAX_VIEW_AGE + timedelta(seconds=1)):
                self.tail.age = age
                problem = self.build(response).cancel(JOB_ID, SHORT).failure()
                self.assertEqual(problem.kind, kind)

    def test_a_job_that_is_read_during_the_append_is_reported_as_cancelled(self):
        """Guards against a 410 for a job that the controller knows by then."""
        service = self.build(STORED)
        append = self.store.append

        def read_meanwhile(*args: Any, **options: Any) -> Any:
            self.read((f"j/{JOB_ID}", encode_record(build_definition())))
            return append(*args, **options)

        self.store.append = read_meanwhile
        result = service.cancel(JOB_ID, SHORT)
        self.assertEqual(result, Success(JobState(Phase.CANCELLED)))

    def test_an_ended_job_keeps_its_state_without_an_append(self):
        """Guards against a completed job that is shown as cancelled."""
        ended = encode_record(ProgressRecord(Phase.COMPLETED, 1.0))
        self.read((f"j/{JOB_ID}", encode_record(build_definition())))
        self.read((f"p/{JOB_ID}", ended))
        result = self.build().cancel(JOB_ID, SHORT)
        self.assertEqual(result, Success(JobState(Phase.COMPLETED)))

    def test_a_cancellation_alone_is_not_shown_as_a_job(self):
        """Guards against a state or a count of a job that nobody submitted."""
        service = self.build()
        self.read((f"c/{JOB_ID}", b"1"))
        problem = service.describe(JOB_ID).failure()
        self.assertEqual(problem.kind, ErrorKind.UNKNOWN_JOB)
        self.assertEqual(service.count_waiting(QUEUE), 0)

    def test_a_record_behind_its_cancellation_is_shown_as_cancelled(self):
        """Guards against a cancelled job that is shown as waiting."""
        service = self.build()
        self.read((f"c/{JOB_ID}", b"1"))
        self.read((f"j/{JOB_ID}", encode_record(build_definition())))
        result = service.describe(JOB_ID)
        self.assertEqual(result, Success(JobState(Phase.CANCELLED)))
        self.assertEqual(service.count_waiting(QUEUE), 0)

    def test_a_job_submitted_after_its_cancellation_is_stored_as_cancelled(self):
        """Guards against the state "queued" for a job that never starts."""
        service = self.build(STORED)
        self.read((f"c/{JOB_ID}", b"1"))
        result = service.submit(build_definition(), SHORT)
        self.assertEqual(result, Success(JobState(Phase.CANCELLED)))
        self.assertEqual([key for key, _ in self.list_appended()], [f"j/{JOB_ID}"])
        self.read(*self.list_appended())
        self.assertEqual(service.describe(JOB_ID), result)
        self.assertEqual(service.submit(build_definition(), SHORT), result)


class OutcomeTests(ServiceCase):
    """What callers are told of records that the leader or the log may still store."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = SystemClock()

    def test_a_record_that_the_leader_may_still_append_is_not_called_refused(self):
        """Guards against a 503 for a record that is stored seconds later.

        It stays in the leader's queue after its caller was answered with 504.
        """
        for method, key in (("submit", f"j/{JOB_ID}"), ("cancel", f"c/{JOB_ID}")):
            service = self.build(REFUSED)
            committer, caller = build_committer(STORED, FENCED)
            self.submissions.set_committer(committer)
            argument = build_definition() if method == "submit" else JOB_ID
            problem = getattr(service, method)(argument, SHORT).failure()
            self.assertEqual(ANSWERS[problem.kind].status, 504)
            committer.run()
            self.assertEqual([k for k, _ in decode_appended(caller)], [key])

    def test_nothing_is_queued_for_a_caller_that_was_refused(self):
        """Guards against a job that runs though its caller was told that it never will.

        The next leader must not find the record.
        """
        service = self.build(REFUSED, REFUSED)
        for result in (
            service.submit(build_definition(), SHORT),
            service.cancel(JOB_ID, SHORT),
        ):
            self.assertEqual(ANSWERS[result.failure().kind].status, 503)
        committer, caller = build_committer(STORED, FENCED)
        self.submissions.set_committer(committer)
        committer.run()
        self.assertEqual(decode_appended(caller), [])

    def test_an_append_that_a_stopped_leader_leaves_open_is_not_called_refused(self):
        """Guards against a 503 for a record of which the log's answer was lost."""
        service = self.build(*[REFUSED] * 5)
        committer, caller = build_committer(LOST)
        self.submissions.set_committer(committer)
        call = caller.call

        def stop_meanwhile(*args: Any, **options: Any) -> Any:
            committer.stop()
            return call(*args, **options)

        caller.call = stop_meanwhile
        thread = threading.Thread(target=committer.run)
        thread.start()
        problem = service.cancel(JOB_ID, timedelta(milliseconds=500)).failure()
        thread.join()
        self.assertEqual(ANSWERS[problem.kind].status, 504)

    def test_a_cancellation_that_a_fenced_leader_drops_is_stored_all_the_same(self):
        """Guards against an answered cancellation that a change of the leader loses."""
        service = self.build(STORED)
        committer, _ = build_committer(FENCED)
        self.submissions.set_committer(committer)
        thread = threading.Thread(target=committer.run)
        thread.start()
        problem = service.cancel(JOB_ID, timedelta(seconds=1)).failure()
        thread.join()
        self.assertEqual(problem.kind, ErrorKind.UNKNOWN_JOB)
        self.assertEqual(self.list_appended(), [(f"c/{JOB_ID}", b"1")])

    def test_a_cancellation_whose_confirmation_is_lost_is_stored_again(self):
        """Guards against a 410 on the word of an append without an answer."""
        service = self.build(LOST, STORED)
        problem = service.cancel(JOB_ID, timedelta(seconds=5)).failure()
        self.assertEqual(problem.kind, ErrorKind.UNKNOWN_JOB)
        self.assertEqual(self.list_appended(), [(f"c/{JOB_ID}", b"1")] * 2)


JOB_KEY, CANCELLATION_KEY, PROGRESS_KEY = (f"{kind}/{JOB_ID}" for kind in "jcp")
JOB_VALUE = encode_record(build_definition())
CANCELLED_VALUE = encode_record(ProgressRecord(Phase.CANCELLED, 1.0))


class DeletionTests(AsyncTestCase):
    """Deletions of a job's records, as each reader of the log applies them."""

    def build(self, *records: tuple[str, bytes]) -> JobTable:
        """Build a table from the records of a log that begins at offset 0."""
        table = JobTable()
        for offset, (key, value) in enumerate(records):
            table.apply(StoredValue(offset, key, value))
        return table

    def test_the_deletion_of_a_cancellation_keeps_the_job_that_met_it(self):
        """Guards against an accepted job that its readers lose."""
        table = self.build(
            (CANCELLATION_KEY, b"1"), (JOB_KEY, JOB_VALUE), (CANCELLATION_KEY, b"")
        )
        entry = table.find(JOB_ID)
        assert entry is not None
        self.assertEqual(entry.phase, Phase.CANCELLED)

    def test_the_deletion_of_a_cancellation_alone_leaves_nothing(self):
        """Guards against entries that no record stands for."""
        table = self.build((CANCELLATION_KEY, b"1"), (CANCELLATION_KEY, b""))
        self.assertEqual((table.jobs, table._offsets), ({}, {}))
        table.apply(StoredValue(2, JOB_KEY, JOB_VALUE))
        entry = table.find(JOB_ID)
        assert entry is not None
        self.assertEqual(entry.phase, Phase.QUEUED)

    def test_an_expired_job_is_dropped_in_any_order_of_its_keys(self):
        """Guards against an expired job that looks like a new one for a while."""
        records = {
            JOB_KEY: JOB_VALUE,
            CANCELLATION_KEY: b"1",
            PROGRESS_KEY: CANCELLED_VALUE,
        }
        for stored in permutations(records):
            for deleted in permutations(records):
                table = self.build(*((key, records[key]) for key in stored))
                for offset, key in enumerate(deleted, len(records)):
                    table.apply(StoredValue(offset, key, b""))
                    entry = table.find(JOB_ID)
                    self.assertTrue(entry is None or entry.phase.final)
                self.assertEqual((table.jobs, table._offsets), ({}, {}))

    def test_a_deletion_leaves_what_was_stored_after_it(self):
        """Guards against a reader that loses a record of a page of newest records.

        The page is read first, and then the older records from its lowest end on.
        """
        newest = {
            JOB_KEY: JOB_VALUE,
            CANCELLATION_KEY: b"1",
            PROGRESS_KEY: CANCELLED_VALUE,
        }
        for key, value in newest.items():
            table = JobTable()
            table.apply(StoredValue(20, key, value))
            expected = JobTable()
            expected.apply(StoredValue(20, key, value))
            for offset, deleted in enumerate(newest, 10):
                table.apply(StoredValue(offset, deleted, b""))
            table.apply(StoredValue(20, key, value))
            self.assertEqual(_describe(table), _describe(expected))

    def test_waiting_jobs_are_counted_while_records_are_read(self):
        """Guards against a count that fails as a cancellation is read meanwhile."""
        table = self.build((JOB_KEY, JOB_VALUE), (f"c/{'1' * 16}", b"1"))

        class EntryReadMeanwhile(JobEntry):
            __slots__ = ()

            @property
            def phase(self) -> Phase:
                table.apply(StoredValue(9, f"c/{'2' * 16}", b"1"))
                return super().phase

        entry = table.find(JOB_ID)
        assert entry is not None
        entry.__class__ = EntryReadMeanwhile
        self.assertEqual(table.count_waiting(QUEUE.name), 1)


def _describe(table: JobTable) -> list[tuple[Any, ...]]:
    return [
        (job_id, entry.definition, entry.cancelled, entry.progress)
        for job_id, entry in table.jobs.items()
    ]


RETENTION = timedelta(seconds=5)
# Time in which a leader of the simulation reads a cancellation and stops ordering.
REACTION = timedelta(milliseconds=300)
SEEDS = range(12)


def list_newest(world: World) -> dict[str, bytes]:
    """Return the newest value of each key of the log that is not deleted."""
    newest = {record.key: record.value for record in world.log.records}
    return {key: value for key, value in newest.items() if value}


def append_job(world: World, job_id: str) -> None:
    """Append the record of a job, which may be on the log already."""
    value = encode_record(build_definition(job_id))
    assert world.log.append([(f"j/{job_id}", value)], None)


def cancel(world: World, job_id: str) -> None:
    """Append a cancellation, as it is stored before it is answered."""
    world.cancel(job_id)


def find_started(world: World) -> set[str]:
    """Return the jobs of which a task was started."""
    return {task.partition(".")[0] for task, _, _ in world.starts}


class LeaderTests(AsyncTestCase):
    """Records of jobs that reach the leader after their cancellation."""

    def test_a_job_whose_record_comes_later_never_starts(self):
        """Guards against tasks of a job whose cancellation was answered before."""
        world = World(1)
        world.cancel(JOB_ID)
        world.run(1)
        append_job(world, JOB_ID)
        other = world.submit()
        world.run(5)
        self.assertEqual(find_started(world), {other})
        self.assertEqual(world.find_phase(JOB_ID), Phase.CANCELLED)

    def test_a_leader_elected_in_between_never_starts_the_job(self):
        """Guards against a cancellation that a change of the leader undoes."""
        for both_before in (False, True):
            world = World(2)
            world.cancel(JOB_ID)
            if both_before:
                append_job(world, JOB_ID)
            world.elect()
            if not both_before:
                append_job(world, JOB_ID)
            other = world.submit()
            world.run(10)
            self.assertEqual(find_started(world), {other})
            self.assertEqual(world.find_phase(JOB_ID), Phase.CANCELLED)

    def test_a_cold_start_reads_job_and_cancellation_in_any_order(self):
        """Guards against a new leader that starts what is cancelled on the log."""
        records = [
            StoredValue(3, JOB_KEY, JOB_VALUE),
            StoredValue(2, CANCELLATION_KEY, b"1"),
            StoredValue(2, "l/0", b""),
        ]
        for order in permutations(records):
            table = JobTable()
            for stored in order:
                table.apply(stored)
            cell = Cell(CellSettings(), ManualClock(), table, 1, Metrics())
            cell.open(4, timedelta())
            self.assertEqual(cell.jobs[JOB_ID].phase, Phase.CANCELLED)
            self.assertEqual(cell._open_jobs, {})

    def test_no_order_of_records_and_leaders_starts_a_cancelled_job(self):
        """Guards against starts behind an answered cancellation.

        Records of jobs and cancellations come in random order and more than once.
        """
        for seed in SEEDS:
            world = World(seed)
            random = world.random
            jobs = [f"{number:016x}" for number in range(12)]
            events = [(append_job, job) for job in jobs * 2]
            events += [(cancel, job) for job in jobs[:8] * 2]
            random.shuffle(events)
            cancelled: dict[str, timedelta] = {}
            for event, job in events:
                event(world, job)
                if event is cancel:
                    cancelled.setdefault(job, world.now())
                if random.random() < 0.1:
                    world.leader.fenced = random.random() < 0.5
                    world.elect()
                for _ in range(random.randrange(4)):
                    self._step(world, cancelled, seed)
            for _ in range(300):
                self._step(world, cancelled, seed)
            self.assertEqual(world.violations, [], f"seed {seed}")
            for job in jobs:
                phase = world.find_phase(job)
                self.assertTrue(phase.final, f"seed {seed}")
                if job in jobs[8:]:
                    self.assertEqual(phase, Phase.COMPLETED, f"seed {seed}")

    def _step(self, world: World, cancelled: dict[str, timedelta], seed: int) -> None:
        before = len(world.starts)
        now = world.now()
        world.step()
        for task, _, _ in world.starts[before:]:
            at = cancelled.get(task.partition(".")[0], timedelta.max)
            self.assertLess(now - REACTION, at, f"seed {seed}: {task}")


class RetentionTests(AsyncTestCase):
    """Cancellations that meet no job."""

    def setUp(self) -> None:
        super().setUp()
        settings = CellSettings(keep_ended=RETENTION)
        patcher = patch.object(cell_world, "SETTINGS", settings)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.world = World(3)

    def test_a_cancellation_without_a_job_is_deleted_after_the_retention_time(self):
        """Guards against a log and a memory that cancellations of nothing fill."""
        self.world.cancel(JOB_ID)
        self.world.run(RETENTION.total_seconds() - 0.5)
        self.assertIn(CANCELLATION_KEY, list_newest(self.world))
        self.world.run(1)
        self.assertNotIn(CANCELLATION_KEY, list_newest(self.world))
        self.assertEqual(self.world.leader.table.jobs, {})
        length = len(self.world.log.records)
        self.world.run(2 * RETENTION.total_seconds())
        self.assertEqual(len(self.world.log.records), length)

    def test_a_new_leader_counts_from_when_it_read_the_cancellation(self):
        """Guards against a cancellation that is deleted before its job comes."""
        self.world.cancel(JOB_ID)
        self.world.run(RETENTION.total_seconds() - 0.5)
        self.world.elect()
        self.world.run(RETENTION.total_seconds() - 0.5)
        self.assertIn(CANCELLATION_KEY, list_newest(self.world))
        self.world.run(1)
        self.assertNotIn(CANCELLATION_KEY, list_newest(self.world))

    def test_a_repeated_cancellation_is_kept_for_its_own_time(self):
        """Guards against a job that starts soon after its second cancellation."""
        self.world.cancel(JOB_ID)
        self.world.run(RETENTION.total_seconds() - 0.5)
        self.world.cancel(JOB_ID)
        self.world.run(RETENTION.total_seconds() - 0.5)
        append_job(self.world, JOB_ID)
        self.world.run(2)
        self.assertEqual(self.world.starts, [])

    def test_a_repeated_cancellation_does_not_hold_up_the_deletion_of_others(self):
        """Guards against one caller that keeps the cancellations of all on the log."""
        jobs = [f"{number:016x}" for number in range(2)]
        for job in jobs:
            self.world.cancel(job)
        self.world.run(RETENTION.total_seconds() - 0.5)
        self.world.cancel(jobs[0])
        self.world.run(1)
        kept = {key for key in list_newest(self.world) if key.startswith("c/")}
        self.assertEqual(kept, {f"c/{jobs[0]}"})

    def test_a_job_that_met_its_cancellation_expires_with_it(self):
        """Guards against records of a cancelled job that stay on the log."""
        self.world.cancel(JOB_ID)
        self.world.run(1)
        append_job(self.world, JOB_ID)
        self.world.run(RETENTION.total_seconds() + 1)
        names = {key.partition("/")[2] for key in list_newest(self.world)}
        self.assertNotIn(JOB_ID, names)
        leader = self.world.leader
        assert leader.cell is not None
        self.assertEqual((leader.table.jobs, leader.cell.jobs), ({}, {}))
        length = len(self.world.log.records)
        self.world.run(2 * RETENTION.total_seconds())
        self.assertEqual(len(self.world.log.records), length)

    def test_a_cancellation_of_a_job_that_expires_leaves_nothing(self):
        """Guards against ended jobs that stay in the memory of the leader."""
        append_job(self.world, JOB_ID)
        self.world.run(1)
        self.world.cancel(JOB_ID)
        self.world.run(0.5)
        leader = self.world.leader
        assert leader.cell is not None
        self.world.clock.advance(RETENTION + cell_world.TICK)
        leader.cell.process_timeouts()
        self.assertEqual(leader.cell.jobs, {})
        self.world.cancel(JOB_ID)
        leader.commit()
        leader.catch_up()
        self.world.run(1)
        self.assertEqual((leader.table.jobs, leader.cell.jobs), ({}, {}))
        names = {key.partition("/")[2] for key in list_newest(self.world)}
        self.assertNotIn(JOB_ID, names)

    def _decide_deletion(self) -> None:
        """Let the leader decide to delete a cancellation, but not append that yet."""
        self.world.cancel(JOB_ID)
        self.world.step()
        self.world.clock.advance(RETENTION + cell_world.TICK)
        cell = self.world.leader.cell
        assert cell is not None
        cell.process_timeouts()
        self.assertTrue(cell.has_changes)

    def test_a_job_that_comes_just_before_the_deletion_never_starts(self):
        """Guards against a late job that a deletion on its way revives."""
        for read_first in (False, True):
            self.world = World(3)
            self._decide_deletion()
            append_job(self.world, JOB_ID)
            if read_first:
                self.world.leader.catch_up()
            self.world.leader.commit()
            is_kept = CANCELLATION_KEY in list_newest(self.world)
            self.assertEqual(is_kept, read_first)
            self.world.run(1)
            self.world.elect()
            self.world.run(2)
            self.assertEqual(self.world.starts, [])
            self.assertEqual(self.world.find_phase(JOB_ID), Phase.CANCELLED)

    def test_a_cancellation_stored_just_before_the_deletion_of_one_is_kept(self):
        """Guards against the loss of a cancellation that was just answered."""
        for is_job_next in (False, True):
            self.world = World(3)
            self._decide_deletion()
            self.world.cancel(JOB_ID)
            self.world.leader.commit()
            if is_job_next:
                append_job(self.world, JOB_ID)
            self.world.run(1)
            self.world.elect()
            if not is_job_next:
                self.assertIn(CANCELLATION_KEY, list_newest(self.world))
                append_job(self.world, JOB_ID)
            self.world.run(3)
            self.assertEqual(self.world.starts, [])
            self.assertEqual(self.world.find_phase(JOB_ID), Phase.CANCELLED)

    def test_the_oldest_of_too_many_cancellations_are_deleted_early(self):
        """Guards against a log and a memory that one caller fills."""
        jobs = [f"{number:016x}" for number in range(5)]
        with patch.object(cell_module, "MAX_UNMET_CANCELLATIONS", 3):
            for job in jobs:
                self.world.cancel(job)
                self.world.step()
            self.world.run(1)
        kept = {key for key in list_newest(self.world) if key.startswith("c/")}
        self.assertEqual(kept, {f"c/{job}" for job in jobs[2:]})


class _CompactedStore:
    """Log whose newest records were read before a cancellation and a fence."""

    def __init__(self) -> None:
        self.released = threading.Event()

    def read_newest(self, _topic: str, _partition: int) -> Any:
        return Success(LogPage(7, (StoredValue(3, JOB_KEY, JOB_VALUE),)))

    def read(self, _topic: str, _partition: int, offset: int, _wait: timedelta) -> Any:
        self.released.wait()
        records = [StoredValue(7, CANCELLATION_KEY, b"1"), StoredValue(8, "l/0", b"")]
        return Success(LogPage(9, tuple(r for r in records if r.offset >= offset)))


class CatchUpTests(AsyncTestCase):
    """What a new leader has read when it begins to act."""

    def test_a_leader_has_read_the_cancellations_before_its_fence(self):
        """Guards against a new leader that starts a job from an old page of records."""
        store: Any = _CompactedStore()
        table = JobTable()

        def apply(records: tuple[StoredValue, ...]) -> None:
            for stored in records:
                table.apply(stored)

        tail = Tail(store, "t", 0, ManualClock(), apply)
        thread = threading.Thread(target=tail.run, daemon=True)
        thread.start()
        fence_end = 9
        try:
            self.assertFalse(tail.wait_for(fence_end, timedelta(milliseconds=100)))
            self.assertFalse(table.is_cancelled(JOB_ID))
            store.released.set()
            self.assertTrue(tail.wait_for(fence_end, timedelta(seconds=20)))
            self.assertTrue(table.is_cancelled(JOB_ID))
        finally:
            tail.stop()
            store.released.set()
            thread.join()

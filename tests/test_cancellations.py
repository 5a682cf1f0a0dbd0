"""Tests of cancellations that are stored before the record of their job is read."""

from datetime import timedelta
from itertools import permutations
from typing import Any

from returns.result import Failure, Success

from egretcrank.controller.service import MAX_VIEW_AGE, JobService, JobState
from egretcrank.controller.submissions import Submissions
from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.scheduling.definitions import JobDefinition
from egretcrank.scheduling.records import Phase, ProgressRecord, encode_record
from egretcrank.scheduling.table import JobTable, StoredValue
from tests.cases import AsyncTestCase, ManualClock
from tests.cell_world import QUEUE, build_step
from tests.test_platform import FakeTail, build_store

JOB_ID = "00112233445566aa"
STORED = (200, b'{"offset":0,"end":1}')
REFUSED = (503, b"")
LOST = Failure(Problem(ErrorKind.CALL_TIMEOUT, "no answer"))
# Allows one attempt to append.
SHORT = timedelta(milliseconds=1)


def build_definition(job_id: str = JOB_ID) -> JobDefinition:
    """Build a job with one step."""
    return JobDefinition(job_id, QUEUE, "spec", (build_step(),), ManualClock().now())


class ServiceCase(AsyncTestCase):
    """Job service whose tail and log a test controls."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = ManualClock()
        self.table = JobTable()
        self.tail: Any = FakeTail()
        self.store: Any = None
        self.offset = 0

    def build(self, *responses: Any) -> JobService:
        """Build a service over a store with scripted responses."""
        submissions = Submissions("c", "127.0.0.1:1", self.clock)
        submissions.mark_leader_alive()
        self.store = build_store(*responses)
        return JobService(self.store, self.clock, self.table, self.tail, submissions)

    def list_appended(self) -> list[tuple[str, bytes]]:
        """Return the key and value of each record that was sent to the log."""
        records = [body[4:] for _, _, body in self.store._client.calls]
        return [(r[1 : 1 + r[0]].decode(), r[1 + r[0] :]) for r in records]

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


def _describe(table: JobTable) -> list[tuple[Any, ...]]:
    return [
        (job_id, entry.definition, entry.cancelled, entry.progress)
        for job_id, entry in table.jobs.items()
    ]

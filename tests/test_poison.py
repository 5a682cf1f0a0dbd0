"""Tests of records, jobs and messages that would fail each time they are looked at."""

import threading
from datetime import UTC, datetime, timedelta
from typing import Any

import msgspec

from egretcrank.controller.daemon import Controller
from egretcrank.scheduling.definitions import JobDefinition, find_defect
from egretcrank.scheduling.records import Phase, RecordKey, RecordKind, encode_record
from egretcrank.scheduling.table import JobTable, StoredValue
from egretcrank.transport.leader import receive_messages
from egretcrank.wire.hosting import HOSTING_CODEC, LeaderMoved
from tests.cases import AsyncTestCase
from tests.cell_world import QUEUE, World, build_step

LONG = timedelta(days=100_000_000)
NOW = datetime(2026, 1, 1, tzinfo=UTC)


def build_definition(job: str, **changes: Any) -> JobDefinition:
    """Build a job with changes."""
    definition = JobDefinition(job, QUEUE, "", (build_step(),), NOW)
    return definition._replace(**changes)


def list_bad_jobs() -> dict[str, JobDefinition]:
    """List jobs that raise wherever they are ordered, expanded or summed up."""
    return {
        "estimate": build_definition("e" * 16, steps=(build_step(estimate=LONG),)),
        "negative": build_definition("n" * 16, steps=(build_step(estimate=-LONG),)),
        "order": build_definition("d" * 16, steps=(build_step(depends_on=(5,)),)),
        "endless": build_definition("r" * 16, repetitions=10**9, first_run=NOW),
        "interval": build_definition(
            "i" * 16, repetitions=2, first_run=NOW, interval=LONG
        ),
        "ahead": build_definition(
            "a" * 16, repetitions=2, first_run=datetime(9999, 12, 31, tzinfo=UTC)
        ),
        "wide": build_definition("w" * 16, steps=(build_step(width=10_000),) * 100),
    }


class JobTests(AsyncTestCase):
    """Jobs that no leader could bear."""

    def test_jobs_that_cannot_be_planned_are_refused(self):
        """Guards against a job that makes each decision of each leader fail."""
        for name, definition in list_bad_jobs().items():
            self.assertTrue(find_defect(definition), name)

    def test_such_a_record_of_another_writer_holds_up_nothing(self):
        """Guards against a cell that decides nothing because of one record."""
        world = World(41)
        world.run(1)
        for definition in list_bad_jobs().values():
            key = RecordKey(RecordKind.JOB, definition.job_id).format()
            assert world.log.append([(key, encode_record(definition))], None)
        job = world.submit(build_step())
        world.run(8)
        self.assertEqual(world.find_phase(job), Phase.COMPLETED)
        world.leader.fenced = True
        world.elect()
        job = world.submit(build_step())
        world.run(12)
        self.assertEqual(world.find_phase(job), Phase.COMPLETED)
        self.assertEqual(world.problems, [])

    def test_a_record_under_the_key_of_another_job_is_refused(self):
        """Guards against a job that is planned under two names."""
        table = JobTable()
        value = encode_record(build_definition("b" * 16))
        self.assertIsNone(table.fold(StoredValue(0, f"j/{'c' * 16}", value)))
        self.assertEqual(table.refused, 1)


class RecordTests(AsyncTestCase):
    """Records whose handling fails unexpectedly."""

    def test_a_record_that_fails_does_not_hold_up_those_after_it(self):
        """Guards against a follower that reads the same page for good."""
        controller: Any = Controller.__new__(Controller)
        taken: list[str] = []

        def take(stored: StoredValue) -> None:
            if stored.key == "bad":
                raise RuntimeError("defect")
            taken.append(stored.key)

        class Ignore:
            def __getattr__(self, _name: str) -> Any:
                return lambda *_arguments: None

        controller._lock = threading.Condition()
        controller._take_record = take
        controller._metrics = controller._submissions = Ignore()
        controller._metrics.log_records = Ignore()
        controller._table = JobTable()
        controller._cell = None
        controller._take_records(
            tuple(StoredValue(n, key, b"") for n, key in enumerate(["a", "bad", "b"]))
        )
        self.assertEqual(taken, ["a", "b"])


class MessageTests(AsyncTestCase):
    """Messages whose handling fails unexpectedly."""

    def test_a_message_that_fails_leaves_the_receiver_alive(self):
        """Guards against an agent that is deaf until it dials again."""
        good = HOSTING_CODEC.encode(LeaderMoved(2, "b:1"), "", "c")
        bad = HOSTING_CODEC.encode(LeaderMoved(1, "a:1"), "", "c")
        malformed = [b"", b"\xc1", msgspec.msgpack.encode({"kind": "HostOrders"})]
        waiting = [bad, *malformed, good]
        retired = threading.Event()
        taken: list[Any] = []

        class Socket:
            def recv(self) -> bytes:
                return waiting.pop(0)

        def take(message: Any) -> None:
            if message.epoch == 1:
                raise RuntimeError("defect")
            if message.epoch == 2:
                taken.append(message)
                retired.set()

        receive_messages(Socket(), take, retired)
        self.assertEqual([message.address for message in taken], ["b:1"])

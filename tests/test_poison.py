"""Tests of records, jobs and messages whose processing fails each time."""

import threading
from datetime import UTC, datetime, timedelta
from typing import Any

import msgspec

from egretcrank.controller.daemon import Controller
from egretcrank.scheduling.definitions import JobDefinition, find_defect
from egretcrank.scheduling.records import Phase, encode_record
from egretcrank.scheduling.table import JobTable, StoredValue
from egretcrank.transport.leader import receive_messages
from egretcrank.wire.hosting import HOSTING_CODEC, LeaderMoved
from tests.cases import AsyncTestCase
from tests.cell_world import QUEUE, build_step, play_beside_odd_jobs

LONG = timedelta(days=100_000_000)
NOW = datetime(2026, 1, 1, tzinfo=UTC)


def build_definition(job: str, **changes: Any) -> JobDefinition:
    """Build a job definition with ``changes`` applied to its fields."""
    definition = JobDefinition(job, QUEUE, "", (build_step(),), NOW)
    return definition._replace(**changes)


def list_bad_jobs() -> dict[str, JobDefinition]:
    """Return jobs that raise when they are ordered, expanded or summed up."""
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
    """Jobs that no leader can process."""

    def test_jobs_that_cannot_be_planned_are_refused(self):
        """Guards against a job that makes every decision of any leader fail."""
        for name, definition in list_bad_jobs().items():
            self.assertTrue(find_defect(definition), name)

    def test_an_invalid_record_of_another_writer_blocks_nothing(self):
        """Guards against one record that blocks all decisions of the cell."""
        play = play_beside_odd_jobs(list_bad_jobs().values())
        self.assertEqual(play.phases, (Phase.COMPLETED, Phase.COMPLETED))
        self.assertEqual(play.world.violations, [])

    def test_a_record_under_the_key_of_another_job_is_refused(self):
        """Guards against a job that is scheduled under two names."""
        table = JobTable()
        value = encode_record(build_definition("b" * 16))
        self.assertIsNone(table.apply(StoredValue(0, f"j/{'c' * 16}", value)))
        self.assertEqual(table.refused, 1)


class RecordTests(AsyncTestCase):
    """Records whose processing raises."""

    def test_a_failing_record_does_not_block_later_ones(self):
        """Guards against a follower that rereads the same page forever."""
        controller: Any = Controller.__new__(Controller)
        handled: list[str] = []

        def handle(stored: StoredValue) -> None:
            if stored.key == "bad":
                raise RuntimeError("defect")
            handled.append(stored.key)

        class Ignore:
            def __getattr__(self, _name: str) -> Any:
                return lambda *_arguments: None

        controller._lock = threading.Condition()
        controller._apply_record = handle
        controller._metrics = controller._submissions = Ignore()
        controller._metrics.log_records = Ignore()
        controller._table = JobTable()
        controller._cell = None
        controller._apply_records(
            tuple(StoredValue(n, key, b"") for n, key in enumerate(["a", "bad", "b"]))
        )
        self.assertEqual(handled, ["a", "b"])


class MessageTests(AsyncTestCase):
    """Messages whose processing raises."""

    def test_a_failing_message_does_not_stop_the_receiver(self):
        """Guards against an agent that receives nothing until it reconnects."""
        good = HOSTING_CODEC.encode(LeaderMoved(2, "b:1"), "", "c")
        bad = HOSTING_CODEC.encode(LeaderMoved(1, "a:1"), "", "c")
        malformed = [b"", b"\xc1", msgspec.msgpack.encode({"kind": "HostOrders"})]
        waiting = [bad, *malformed, good]
        retired = threading.Event()
        handled: list[Any] = []

        class Socket:
            def recv(self) -> bytes:
                return waiting.pop(0)

        def handle(message: Any) -> None:
            if message.epoch == 1:
                raise RuntimeError("defect")
            if message.epoch == 2:
                handled.append(message)
                retired.set()

        receive_messages(Socket(), handle, retired)
        self.assertEqual([message.address for message in handled], ["b:1"])

"""Tests of how often a follower of the log reads."""

import threading
from datetime import timedelta
from typing import Any
from unittest.mock import patch

from returns.result import Success

from egretcrank.controller import tail as tail_module
from egretcrank.controller.tail import Tail
from egretcrank.platform.store import LogPage
from egretcrank.scheduling.table import StoredValue
from tests.cases import AsyncTestCase, ManualClock

LONG = timedelta(hours=1)
TIMEOUT_SECONDS = 20


class _Store:
    """Log that has one more record for each read."""

    def __init__(self) -> None:
        self.reads = 0
        self.read_twice = threading.Event()

    def read_newest(self, _topic: str, _partition: int) -> Any:
        return Success(LogPage(0, ()))

    def read(self, _topic: str, _partition: int, offset: int, _wait: timedelta) -> Any:
        self.reads += 1
        if self.reads == 2:
            self.read_twice.set()
        return Success(LogPage(offset + 1, (StoredValue(offset, "k", b"v"),)))


class PauseTests(AsyncTestCase):
    """A log to which a leader appends all the time."""

    def _follow(self, pause: timedelta) -> tuple[Tail, _Store, threading.Thread]:
        store: Any = _Store()
        first = threading.Event()
        tail = Tail(store, "t", 0, ManualClock(), lambda records: first.set())
        patcher = patch.object(tail_module, "FOLLOW_PAUSE", pause)
        patcher.start()
        self.addCleanup(patcher.stop)
        thread = threading.Thread(target=tail.run, daemon=True)
        thread.start()
        self.assertTrue(first.wait(TIMEOUT_SECONDS))
        return tail, store, thread

    def test_a_follower_lets_records_come_together(self):
        """Guards against a read by each controller for each append of the leader.

        At 35 controllers these were most of 700 calls a second to the platform.
        """
        tail, store, _ = self._follow(LONG)
        self.assertTrue(tail.wait_for(1, timedelta(seconds=TIMEOUT_SECONDS)))
        self.assertEqual(store.reads, 1)

    def test_a_controller_that_is_to_lead_reads_at_once(self):
        """Guards against a new leader that waits for a pause of its follower."""
        tail, store, thread = self._follow(LONG)
        tail.hurry(True)
        self.assertTrue(store.read_twice.wait(TIMEOUT_SECONDS))
        tail.stop()
        thread.join(TIMEOUT_SECONDS)
        self.assertFalse(thread.is_alive())

    def test_a_pause_ends_for_a_caller_who_asks_for_what_is_not_there_yet(self):
        """Guards against a job that seems unknown for as long as a pause."""
        tail, store, _ = self._follow(LONG)
        self.assertTrue(tail.wait_for(1, timedelta(seconds=TIMEOUT_SECONDS)))
        while not tail._pausing:
            threading.Event().wait(0.01)
        tail.refresh(timedelta(seconds=TIMEOUT_SECONDS))
        self.assertEqual(tail.position, 2)
        self.assertEqual(store.reads, 2)

    def test_nobody_waits_for_a_read_that_is_under_way(self):
        """Guards against a wait for records of which there are none."""
        store: Any = _Store()
        tail = Tail(store, "t", 0, ManualClock(), lambda records: None)
        tail.refresh(LONG)
        self.assertEqual(store.reads, 0)

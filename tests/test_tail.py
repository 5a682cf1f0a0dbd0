"""Tests of the reads of a log partition: their pauses and what they prove."""

import threading
from collections.abc import Callable
from datetime import timedelta
from typing import Any
from unittest.mock import patch

from returns.result import Failure, Success

from egretcrank.controller import tail as tail_module
from egretcrank.controller.tail import POLL_TIMEOUT, URGENT_POLL_TIMEOUT, Tail
from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.platform.store import LogPage
from egretcrank.scheduling.table import StoredValue
from tests.cases import AsyncTestCase, ManualClock

LONG = timedelta(hours=1)
TIMEOUT_SECONDS = 20


class _Store:
    """Log that returns one new record per read."""

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


class _ExpiredStore:
    """Log whose history has expired, so that each read begins anew."""

    def __init__(self, pages: list[LogPage], on_last: Callable[[], None]) -> None:
        self._pages = pages
        self._on_last = on_last

    def read_newest(self, _topic: str, _partition: int) -> Any:
        if len(self._pages) == 1:
            self._on_last()
        return Success(self._pages.pop(0))

    def read(self, *_: Any) -> Any:
        return Failure(Problem(ErrorKind.NOT_FOUND, "expired"))


class NewestRecordsTests(AsyncTestCase):
    """Compacted reads, which show by absence what was deleted."""

    def test_only_a_complete_read_replaces_what_is_known(self):
        """Guards against keys that count as deleted, as a row could not be read."""
        record = (StoredValue(0, "k", b"v"),)
        pages = [LogPage(1, record), LogPage(2, (), is_complete=False), LogPage(3, ())]
        seen: list[tuple[str, Any]] = []
        store: Any = _ExpiredStore(pages, lambda: tail.stop())
        tail = Tail(
            store,
            "t",
            0,
            ManualClock(),
            lambda records: seen.append(("records", records)),
            lambda records: seen.append(("newest", records)),
        )
        with patch.object(tail_module, "FOLLOWER_READ_PAUSE", timedelta()):
            tail.run()
        self.assertEqual(seen, [("newest", record), ("newest", ())])


class PauseTests(AsyncTestCase):
    """Reads of a log to which a leader appends continuously."""

    def _follow(self, pause: timedelta) -> tuple[Tail, _Store, threading.Thread]:
        store: Any = _Store()
        first = threading.Event()
        tail = Tail(store, "t", 0, ManualClock(), lambda records: first.set())
        patcher = patch.object(tail_module, "FOLLOWER_READ_PAUSE", pause)
        patcher.start()
        self.addCleanup(patcher.stop)
        thread = threading.Thread(target=tail.run, daemon=True)
        thread.start()
        self.assertTrue(first.wait(TIMEOUT_SECONDS))
        return tail, store, thread

    def test_a_follower_pauses_after_a_read_with_records(self):
        """Guards against one read per controller for each append of the leader.

        With 35 controllers, these were most of 700 calls per second to the platform.
        """
        tail, store, _ = self._follow(LONG)
        self.assertTrue(tail.wait_for(1, timedelta(seconds=TIMEOUT_SECONDS)))
        self.assertEqual(store.reads, 1)

    def test_becoming_urgent_ends_the_pause(self):
        """Guards against a new leader that is delayed by a pause between reads."""
        tail, store, thread = self._follow(LONG)
        tail.set_urgent(True)
        self.assertTrue(store.read_twice.wait(TIMEOUT_SECONDS))
        tail.stop()
        thread.join(TIMEOUT_SECONDS)
        self.assertFalse(thread.is_alive())

    def test_a_refresh_ends_the_pause(self):
        """Guards against reporting an accepted job as unknown during a pause."""
        tail, store, _ = self._follow(LONG)
        self.assertTrue(tail.wait_for(1, timedelta(seconds=TIMEOUT_SECONDS)))
        while not tail._pausing:
            threading.Event().wait(0.01)
        tail.refresh(timedelta(seconds=TIMEOUT_SECONDS))
        self.assertEqual(tail.position, 2)
        self.assertEqual(store.reads, 2)

    def test_catching_up_takes_a_read_that_begins_after_the_call(self):
        """Guards against refusing a job that was stored since the last read."""
        tail, store, _ = self._follow(LONG)
        self.assertTrue(tail.wait_for(1, timedelta(seconds=TIMEOUT_SECONDS)))
        clock: Any = tail._clock
        clock.advance(timedelta(seconds=1))
        self.assertTrue(tail.catch_up(timedelta(seconds=TIMEOUT_SECONDS)))
        self.assertEqual(store.reads, 2)
        log: Any = store
        unread = Tail(log, "t", 0, ManualClock(), lambda records: None)
        self.assertFalse(unread.catch_up(timedelta(milliseconds=10)))

    def test_a_refresh_outside_a_pause_returns_at_once(self):
        """Guards against waiting for records that do not exist."""
        store: Any = _Store()
        tail = Tail(store, "t", 0, ManualClock(), lambda records: None)
        tail.refresh(LONG)
        self.assertEqual(store.reads, 0)


READ_TIME = timedelta(seconds=1)
UNAVAILABLE = Problem(ErrorKind.LOG_UNAVAILABLE, "log is down", "store")


class _ScriptedStore:
    """Log whose reads each take ``READ_TIME`` and return the next of some pages.

    A page is given as the end of the partition and the number of records returned.
    """

    def __init__(self, clock: ManualClock, *pages: tuple[int, int] | None) -> None:
        self.clock = clock
        self.pages = list(pages)
        self.waits: list[timedelta] = []
        self.tail: Tail | None = None

    def read_newest(self, _topic: str, _partition: int) -> Any:
        return self._answer(0)

    def read(self, _topic: str, _partition: int, offset: int, wait: timedelta) -> Any:
        self.waits.append(wait)
        return self._answer(offset)

    def _answer(self, offset: int) -> Any:
        self.clock.advance(READ_TIME)
        page = self.pages.pop(0)
        if not self.pages and self.tail is not None:
            self.tail.stop()
        if page is None:
            return Failure(UNAVAILABLE)
        end, count = page
        records = [StoredValue(offset + n, "k", b"v") for n in range(count)]
        return Success(LogPage(end, tuple(records)))


class ProofTests(AsyncTestCase):
    """What reads prove of the age of the view."""

    def _follow(self, *pages: tuple[int, int] | None, urgent: bool = True) -> Tail:
        """Follow a log until it has returned ``pages``, without pauses if urgent."""
        clock = ManualClock()
        store: Any = _ScriptedStore(clock, *pages)
        tail = store.tail = Tail(store, "t", 0, clock, lambda records: None)
        tail.set_urgent(urgent)
        tail.run()
        self.waits = store.waits
        return tail

    def test_a_view_is_as_old_as_the_start_of_its_last_read(self):
        """Guards against trusting a view for the time that a read waited."""
        self.assertEqual(self._follow((0, 0), (2, 2)).get_view_age(), READ_TIME)

    def test_a_page_that_is_cut_off_does_not_make_the_view_recent(self):
        """Guards against a cancellation that lies behind what a page could hold."""
        tail = self._follow((0, 0), (3, 1), (3, 1))
        self.assertEqual(tail.get_view_age(), 3 * READ_TIME)

    def test_the_page_that_reaches_the_end_makes_the_view_recent(self):
        """Guards against a leader that places nothing after a page was cut off."""
        tail = self._follow((0, 0), (3, 1), (3, 2))
        self.assertEqual(tail.get_view_age(), READ_TIME)

    def test_passing_the_end_that_a_read_found_proves_that_read(self):
        """Guards against a view without proof while the log grows with each read."""
        tail = self._follow((0, 0), (2, 1), (3, 1), (4, 1))
        self.assertEqual(tail.get_view_age(), 2 * READ_TIME)

    def test_later_pages_do_not_put_the_end_off_that_proves_a_read(self):
        """Guards against a busy log whose view is never proven while it is read."""
        tail = self._follow((0, 0), (4, 1), (6, 2), (9, 1))
        self.assertEqual(tail.get_view_age(), 3 * READ_TIME)

    def test_a_compacted_read_is_proven_up_to_its_lowest_end(self):
        """Guards against a new controller whose view counts as unknown."""
        tail = self._follow((5, 3))
        self.assertEqual(tail.get_view_age(), READ_TIME)
        self.assertEqual(tail.position, 5)

    def test_failed_reads_prove_nothing(self):
        """Guards against a view that seems recent while the log is unavailable."""
        tail = self._follow((0, 0), None)
        self.assertEqual(tail.get_view_age(), 2 * READ_TIME)

    def test_a_leader_waits_for_less_time_than_others(self):
        """Guards against a leader that stops placing since its log is idle."""
        self._follow((0, 0), (0, 0))
        self.assertEqual(self.waits, [URGENT_POLL_TIMEOUT])
        self._follow((0, 0), (0, 0), urgent=False)
        self.assertEqual(self.waits, [POLL_TIMEOUT])

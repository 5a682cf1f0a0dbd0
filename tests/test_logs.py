"""Tests of rate-limited logging that never blocks on a slow reader."""

import io
import json
import logging
import threading

from pythonjsonlogger.json import JsonFormatter

from egretcrank.observability import logs
from egretcrank.observability.logs import BoundedHandler
from tests.cases import AsyncTestCase, ManualClock


class BlockedStream(io.StringIO):
    """Stream whose writes block until the event is set."""

    def __init__(self):
        super().__init__()
        self.unblocked = threading.Event()

    def write(self, text):
        self.unblocked.wait()
        return super().write(text)


class RecordingStream(io.StringIO):
    """Stream that records each write separately."""

    def __init__(self):
        super().__init__()
        self.writes: list[str] = []

    def write(self, text):
        self.writes.append(text)
        return len(text)


class LogTests(AsyncTestCase):
    """Rate limit, batching and blocked readers."""

    def _build(self, stream):
        handler = BoundedHandler(stream, ManualClock())
        handler.setFormatter(JsonFormatter("%(message)s"))
        logger = logging.Logger("test")
        logger.addHandler(handler)
        return handler, logger

    def _read(self, stream):
        return [json.loads(line) for line in stream.getvalue().splitlines()]

    def test_a_line_that_cannot_be_formatted_does_not_end_the_writer(self):
        """Guards against a process that logs nothing more after one wrong call."""
        stream = io.StringIO()
        handler, logger = self._build(stream)
        logger.info("%d tasks", "many")
        logger.info("next")
        handler.write_queued()
        lines = self._read(stream)
        self.assertEqual(lines[-1]["message"], "next")
        self.assertEqual(lines[0]["line"], "%d tasks")

    def test_lines_over_the_rate_limit_are_counted(self):
        """Guards against logging that consumes the CPU under load."""
        stream = io.StringIO()
        handler, logger = self._build(stream)
        for _ in range(logs.MAX_LINES_PER_SECOND + 7):
            logger.info("line")
        handler.write_queued()
        lines = self._read(stream)
        self.assertEqual(len(lines), logs.MAX_LINES_PER_SECOND + 1)
        self.assertEqual(lines[-1], {"message": "log lines left out", "lines": 7})

    def test_writes_are_atomic_and_hold_whole_lines(self):
        """Guards against lines that are split or interleaved with another process."""
        stream = RecordingStream()
        handler, logger = self._build(stream)
        for number in range(500):
            logger.info("line %d", number)
        handler.write_queued()
        self.assertLessEqual(
            max(len(text) for text in stream.writes), logs.MAX_WRITE_BYTES
        )
        self.assertTrue(all(text.endswith("}\n") for text in stream.writes))
        self.assertEqual(len("".join(stream.writes).splitlines()), 500)

    def test_warnings_are_not_rate_limited(self):
        """Guards against dropping the line that explains a failure."""
        stream = io.StringIO()
        handler, logger = self._build(stream)
        for _ in range(logs.MAX_LINES_PER_SECOND + 1):
            logger.info("line")
        logger.warning("cause")
        handler.write_queued()
        self.assertIn("cause", [line["message"] for line in self._read(stream)])

    def test_blocked_reader_does_not_block_logging(self):
        """Guards against a process that blocks because its output pipe is full."""
        stream = BlockedStream()
        handler, logger = self._build(stream)
        logger.warning("first")
        writer = threading.Thread(target=handler.write_queued, daemon=True)
        writer.start()
        for _ in range(logs.MAX_QUEUED_LINES + 5):
            logger.warning("more")
        self.assertLessEqual(len(handler._queue), logs.MAX_QUEUED_LINES)
        stream.unblocked.set()
        writer.join()
        handler.write_queued()
        dropped = sum(line.get("lines", 0) for line in self._read(stream))
        written = sum("lines" not in line for line in self._read(stream))
        self.assertEqual(dropped + written, logs.MAX_QUEUED_LINES + 6)

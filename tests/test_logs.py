"""Tests of log output that stays bounded and never waits for its reader."""

import io
import json
import logging
import threading

from pythonjsonlogger.json import JsonFormatter

from egretcrank.observability import logs
from egretcrank.observability.logs import BoundedHandler
from tests.cases import AsyncTestCase, ManualClock


class BlockedStream(io.StringIO):
    """Stream whose reader has stopped."""

    def __init__(self):
        super().__init__()
        self.free = threading.Event()

    def write(self, text):
        self.free.wait()
        return super().write(text)


class RecordingStream(io.StringIO):
    """Stream that keeps its writes apart."""

    def __init__(self):
        super().__init__()
        self.writes: list[str] = []

    def write(self, text):
        self.writes.append(text)
        return len(text)


class LogTests(AsyncTestCase):
    """Volume and waiting."""

    def _build(self, stream):
        handler = BoundedHandler(stream, ManualClock())
        handler.setFormatter(JsonFormatter("%(message)s"))
        logger = logging.Logger("test")
        logger.addHandler(handler)
        return handler, logger

    def _read(self, stream):
        return [json.loads(line) for line in stream.getvalue().splitlines()]

    def test_lines_beyond_the_rate_are_counted(self):
        """Guards against logs that take the processor under load."""
        stream = io.StringIO()
        handler, logger = self._build(stream)
        for _ in range(logs.MAX_LINES_PER_SECOND + 7):
            logger.info("line")
        handler.write_waiting()
        lines = self._read(stream)
        self.assertEqual(len(lines), logs.MAX_LINES_PER_SECOND + 1)
        self.assertEqual(lines[-1], {"message": "log lines left out", "lines": 7})

    def test_a_write_holds_whole_lines_that_a_pipe_takes_at_once(self):
        """Guards against lines that are cut or mixed with those of other processes."""
        stream = RecordingStream()
        handler, logger = self._build(stream)
        for number in range(500):
            logger.info("line %d", number)
        handler.write_waiting()
        self.assertLessEqual(
            max(len(text) for text in stream.writes), logs.MAX_WRITE_BYTES
        )
        self.assertTrue(all(text.endswith("}\n") for text in stream.writes))
        self.assertEqual(len("".join(stream.writes).splitlines()), 500)

    def test_warnings_are_kept_beyond_the_rate(self):
        """Guards against losing the line that tells why."""
        stream = io.StringIO()
        handler, logger = self._build(stream)
        for _ in range(logs.MAX_LINES_PER_SECOND + 1):
            logger.info("line")
        logger.warning("cause")
        handler.write_waiting()
        self.assertIn("cause", [line["message"] for line in self._read(stream)])

    def test_a_reader_that_stopped_holds_up_nobody(self):
        """Guards against a process that stands still because its output is full."""
        stream = BlockedStream()
        handler, logger = self._build(stream)
        logger.warning("first")
        writer = threading.Thread(target=handler.write_waiting, daemon=True)
        writer.start()
        for _ in range(logs.MAX_WAITING_LINES + 5):
            logger.warning("more")
        self.assertLessEqual(len(handler._waiting), logs.MAX_WAITING_LINES)
        stream.free.set()
        writer.join()
        handler.write_waiting()
        counted = sum(line.get("lines", 0) for line in self._read(stream))
        written = sum("lines" not in line for line in self._read(stream))
        self.assertEqual(counted + written, logs.MAX_WAITING_LINES + 6)

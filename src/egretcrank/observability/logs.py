"""Rate-limited JSON logging on a separate writer thread.

Logging never blocks the calling thread: excess records are dropped and counted.
"""

import atexit
import logging
import sys
import threading
from collections import deque
from collections.abc import Iterable, Iterator
from datetime import timedelta
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

from egretcrank.clock import Clock, SystemClock

# Queued lines for a slow reader; at 300 bytes each they use at most 3 MB.
MAX_QUEUED_LINES = 10_000
# Limit for lines below warning level. The leader of 72 hosts writes two lines per run,
# and a day's load is about 200 runs per second.
MAX_LINES_PER_SECOND = 1000
# Lines are batched: each write costs a system call and a thread switch.
WRITE_INTERVAL = timedelta(milliseconds=50)
# Largest write to a pipe that is atomic (PIPE_BUF on Linux).
MAX_WRITE_BYTES = 4096
# Timeout for writing the remaining lines when the process exits.
FLUSH_TIMEOUT = timedelta(milliseconds=200)
SECOND = timedelta(seconds=1)


class BoundedHandler(logging.Handler):
    """Queues records for a writer thread and counts those it drops."""

    def __init__(self, stream: TextIO, clock: Clock) -> None:
        super().__init__()
        self._stream = stream
        self._clock = clock
        self._queue: deque[logging.LogRecord] = deque()
        self._wakeup = threading.Event()
        self._write_lock = threading.Lock()
        self._dropped = 0
        self._window_start = timedelta()
        self._window_lines = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a record, or drop and count it, without waiting for the stream."""
        if len(self._queue) >= MAX_QUEUED_LINES or self._exceeds_rate(record):
            self._dropped += 1
            return
        self._queue.append(record)
        self._wakeup.set()

    def _exceeds_rate(self, record: logging.LogRecord) -> bool:
        if record.levelno >= logging.WARNING:
            return False
        now = self._clock.boottime()
        if now - self._window_start >= SECOND:
            self._window_start = now
            self._window_lines = 0
        self._window_lines += 1
        return self._window_lines > MAX_LINES_PER_SECOND

    def run(self) -> None:
        """Write queued records until the process exits."""
        while True:
            self._wakeup.wait()
            threading.Event().wait(WRITE_INTERVAL.total_seconds())
            self._wakeup.clear()
            self.write_queued()

    def write_queued(self) -> None:
        """Write the queued records and the number of dropped ones."""
        with self._write_lock:
            lines = []
            while self._queue:
                lines.append(self._format_line(self._queue.popleft()))
            if self._dropped:
                dropped, self._dropped = self._dropped, 0
                lines.append(self.format(_build_drop_record(dropped)))
            for group in _group_lines(lines):
                self._stream.write(group)
                self._stream.flush()

    def _format_line(self, record: logging.LogRecord) -> str:
        """Format a record; one that cannot be formatted must not end the writer."""
        try:
            return self.format(record)
        except Exception as error:
            return self.format(_build_invalid_record(record, error))

    def flush(self) -> None:
        """Write the queued records, waiting up to ``FLUSH_TIMEOUT``."""
        thread = threading.Thread(target=self.write_queued, daemon=True)
        thread.start()
        thread.join(FLUSH_TIMEOUT.total_seconds())


def _group_lines(lines: Iterable[str]) -> Iterator[str]:
    """Join lines into groups that a pipe writes atomically."""
    group = ""
    for line in lines:
        if group and len(group) + len(line) >= MAX_WRITE_BYTES:
            yield group
            group = ""
        group += line + "\n"
    if group:
        yield group


def _build_drop_record(dropped: int) -> logging.LogRecord:
    record = logging.LogRecord(
        __name__, logging.WARNING, __file__, 0, "log lines left out", (), None
    )
    record.__dict__["lines"] = dropped
    return record


def _build_invalid_record(
    record: logging.LogRecord, error: Exception
) -> logging.LogRecord:
    invalid = logging.LogRecord(
        __name__, logging.ERROR, __file__, 0, "log line is invalid", (), None
    )
    invalid.__dict__["line"] = str(record.msg)
    invalid.__dict__["detail"] = f"{type(error).__name__}: {error}"
    return invalid


def configure_logging(process: str, level: str, stream: TextIO | None = None) -> None:
    """Log every record as one JSON line, to standard error by default.

    If ``stream`` is given, a separate thread writes to it.
    """
    handler: logging.Handler = logging.StreamHandler(sys.stderr)
    if stream is not None:
        bounded_handler = BoundedHandler(stream, SystemClock())
        threading.Thread(target=bounded_handler.run, name="logs", daemon=True).start()
        atexit.register(bounded_handler.flush)
        handler = bounded_handler
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(name)s %(message)s",
            rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
            static_fields={"process": process},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    logging.getLogger("urllib3").setLevel(logging.ERROR)


def flush_logs() -> None:
    """Flush all handlers, for a process that exits without its exit handlers."""
    for handler in logging.getLogger().handlers:
        handler.flush()

"""Log output as JSON lines, bounded in volume, by a thread that waits for the reader.

A process that logs never waits: records that do not fit are counted and left out.
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

# Lines that wait for a slow reader; at 300 bytes each they take 3 MB at most.
MAX_WAITING_LINES = 10_000
# Lines below a warning that are written in a second. The leader of 72 hosts writes two
# for each run, and a day there has about 200 runs a second.
MAX_LINES_PER_SECOND = 1000
# Lines are written together: each write costs a system call and a turn of the thread.
WRITE_INTERVAL = timedelta(milliseconds=50)
# Bytes up to which a write to a pipe is not mixed with that of another process.
MAX_WRITE_BYTES = 4096
# Longest wait for the last lines when the process ends.
LAST_WRITE_TIMEOUT = timedelta(milliseconds=200)
SECOND = timedelta(seconds=1)


class BoundedHandler(logging.Handler):
    """Hands records to a writer thread; counts those that it leaves out."""

    def __init__(self, stream: TextIO, clock: Clock) -> None:
        super().__init__()
        self._stream = stream
        self._clock = clock
        self._waiting: deque[logging.LogRecord] = deque()
        self._due = threading.Event()
        self._writing = threading.Lock()
        self._left_out = 0
        self._second_began = timedelta()
        self._lines = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Take a record, or count it; the caller never waits for the stream."""
        if len(self._waiting) >= MAX_WAITING_LINES or self._is_excess(record):
            self._left_out += 1
            return
        self._waiting.append(record)
        self._due.set()

    def _is_excess(self, record: logging.LogRecord) -> bool:
        if record.levelno >= logging.WARNING:
            return False
        now = self._clock.boottime()
        if now - self._second_began >= SECOND:
            self._second_began = now
            self._lines = 0
        self._lines += 1
        return self._lines > MAX_LINES_PER_SECOND

    def run(self) -> None:
        """Write what comes, until the process ends."""
        while True:
            self._due.wait()
            threading.Event().wait(WRITE_INTERVAL.total_seconds())
            self._due.clear()
            self.write_waiting()

    def write_waiting(self) -> None:
        """Write the records that wait, and how many were left out."""
        with self._writing:
            lines = []
            while self._waiting:
                lines.append(self.format(self._waiting.popleft()))
            if self._left_out:
                left_out, self._left_out = self._left_out, 0
                lines.append(self.format(_build_count(left_out)))
            for group in _group_lines(lines):
                self._stream.write(group)
                self._stream.flush()

    def flush(self) -> None:
        """Wait shortly for the records that wait to be written."""
        thread = threading.Thread(target=self.write_waiting, daemon=True)
        thread.start()
        thread.join(LAST_WRITE_TIMEOUT.total_seconds())


def _group_lines(lines: Iterable[str]) -> Iterator[str]:
    """Join lines for writes that a pipe takes whole."""
    group = ""
    for line in lines:
        if group and len(group) + len(line) >= MAX_WRITE_BYTES:
            yield group
            group = ""
        group += line + "\n"
    if group:
        yield group


def _build_count(left_out: int) -> logging.LogRecord:
    record = logging.LogRecord(
        __name__, logging.WARNING, __file__, 0, "log lines left out", (), None
    )
    record.__dict__["lines"] = left_out
    return record


def configure_logging(process: str, level: str, stream: TextIO | None = None) -> None:
    """Write every log record as one JSON line, to standard error by default.

    A given stream is written to by a thread of its own.
    """
    handler: logging.Handler = logging.StreamHandler(sys.stderr)
    if stream is not None:
        bounded = BoundedHandler(stream, SystemClock())
        threading.Thread(target=bounded.run, name="logs", daemon=True).start()
        atexit.register(bounded.flush)
        handler = bounded
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
    """Write what waits, before the process ends without its exit handlers."""
    for handler in logging.getLogger().handlers:
        handler.flush()

"""Appending to a stream, with group commit and read-back."""

import asyncio
import logging
from collections import deque
from collections.abc import Sequence
from datetime import timedelta

from returns.result import Failure, Success

from egretcrank.clock import Clock
from egretcrank.observability.metrics import Metrics
from egretcrank.settings.schema import LogSettings
from egretcrank.stream.client import LogClient
from egretcrank.stream.reader import StreamReader, Verdict, describe_outage
from egretcrank.stream.records import Entry, Record, build_entry, encode_entry

MAX_BATCH_RECORDS = 500
MAX_BATCH_BYTES = 512 * 1024
RETRY_DELAY = timedelta(milliseconds=200)

logger = logging.getLogger(__name__)


class _PendingRecord:
    """A record that has not been read back from the log yet."""

    def __init__(
        self, entry: Entry, verdict: asyncio.Future[Verdict], deadline: timedelta
    ) -> None:
        self.entry = entry
        self.verdict = verdict
        self.data = encode_entry(entry)
        self.deadline = deadline
        self.abandoned = False


class Appender:
    """Appends records to a stream in batches, with one request in flight at a time.

    A record counts as written once this process has read and applied it. If a request
    fails, the stream is read to its end, and only records that are missing from it are
    appended again, with the same record ID.
    """

    def __init__(
        self,
        client: LogClient,
        reader: StreamReader,
        settings: LogSettings,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._client = client
        self._reader = reader
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._queue: deque[_PendingRecord] = deque()
        self._records_queued = asyncio.Event()

    async def append(self, record: Record, timeout: timedelta | None = None) -> Verdict:
        """Append a record and return the result of applying it.

        Fails with the reason why the state machine rejected the record, or with
        ``log_unavailable`` if it was not read back within ``timeout`` (default
        ``append_seconds``). In the second case it may still appear in the log later.
        """
        return await self.append_entry(build_entry(record), timeout)

    async def append_entry(
        self, entry: Entry, timeout: timedelta | None = None
    ) -> Verdict:
        """Append a record with an ID that the caller can reuse to retry the append."""
        limit = timeout or self._settings.append_seconds
        verdict = self._reader.add_waiter(entry.record_id)
        pending = _PendingRecord(entry, verdict, self._clock.monotonic() + limit)
        self._queue.append(pending)
        self._records_queued.set()
        try:
            async with asyncio.timeout(limit.total_seconds()):
                return await asyncio.shield(verdict)
        except TimeoutError:
            return Failure(describe_outage(self._reader.stream))
        finally:
            pending.abandoned = True
            self._reader.remove_waiter(entry.record_id, verdict)

    async def run(self) -> None:
        """Write queued records until cancelled."""
        while True:
            await self._records_queued.wait()
            self._records_queued.clear()
            while batch := self._take_batch():
                await self._write(batch)

    def _take_batch(self) -> list[_PendingRecord]:
        batch: list[_PendingRecord] = []
        size = 0
        while self._queue and len(batch) < MAX_BATCH_RECORDS:
            if batch and size + len(self._queue[0].data) > MAX_BATCH_BYTES:
                break
            pending = self._queue.popleft()
            if not self._is_expired(pending):
                batch.append(pending)
                size += len(pending.data)
        return batch

    def _is_expired(self, pending: _PendingRecord) -> bool:
        return pending.abandoned or self._clock.monotonic() >= pending.deadline

    async def _write(self, batch: Sequence[_PendingRecord]) -> None:
        while batch:
            reply = await self._client.append(
                self._reader.stream, [pending.data for pending in batch]
            )
            match reply:
                case Success(_):
                    self._count("ok")
                    return
                case Failure(problem):
                    self._count(problem.kind.value)
                    logger.warning(
                        "append failed",
                        extra={"stream": self._reader.stream, "detail": problem.detail},
                    )
            batch = await self._find_missing(batch)

    async def _find_missing(
        self, batch: Sequence[_PendingRecord]
    ) -> list[_PendingRecord]:
        """Return the records of a batch that a new read to the end did not find."""
        while remaining := [p for p in batch if not self._is_expired(p)]:
            await self._clock.sleep(RETRY_DELAY)
            if await self._reader.wait_for_fresh_read(self._settings.append_seconds):
                # The reader keeps the verdicts of a bounded number of records, so only
                # the future reliably shows whether a record was applied.
                return [pending for pending in remaining if not pending.verdict.done()]
        return []

    def _count(self, result: str) -> None:
        self._metrics.log_appends.inc({"stream": self._reader.stream, "result": result})

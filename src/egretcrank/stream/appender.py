"""Appending to one stream with group commit and read-back."""

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

BATCH_RECORDS = 500
BATCH_BYTES = 512 * 1024
RETRY_DELAY = timedelta(milliseconds=200)

logger = logging.getLogger(__name__)


class _Pending:
    """A record on its way to the log."""

    def __init__(
        self, entry: Entry, verdict: asyncio.Future[Verdict], deadline: timedelta
    ) -> None:
        self.entry = entry
        self.verdict = verdict
        self.data = encode_entry(entry)
        self.deadline = deadline
        self.abandoned = False


class Appender:
    """Appends records; one append is in flight at a time, the rest is grouped.

    A record counts as written once this process has folded it. After a lost reply the
    stream is read to its end, and only records that are absent are appended again,
    under the same identifier.
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
        self._queue: deque[_Pending] = deque()
        self._wake = asyncio.Event()

    async def append(self, record: Record, timeout: timedelta | None = None) -> Verdict:
        """Append a record and return the verdict of the fold.

        Fails with the problem that made the record void, or with ``log_unavailable``
        if it could not be read back within ``timeout`` (default ``append_seconds``); in
        the second case it may still appear in the log later.
        """
        return await self.append_entry(build_entry(record), timeout)

    async def append_entry(
        self, entry: Entry, timeout: timedelta | None = None
    ) -> Verdict:
        """Append a record under an identifier that the caller keeps for repeats."""
        limit = timeout or self._settings.append_seconds
        verdict = self._reader.expect(entry.record_id)
        pending = _Pending(entry, verdict, self._clock.monotonic() + limit)
        self._queue.append(pending)
        self._wake.set()
        try:
            async with asyncio.timeout(limit.total_seconds()):
                return await asyncio.shield(verdict)
        except TimeoutError:
            return Failure(describe_outage(self._reader.stream))
        finally:
            pending.abandoned = True
            self._reader.forget(entry.record_id, verdict)

    async def run(self) -> None:
        """Write queued records until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while batch := self._take_batch():
                await self._write(batch)

    def _take_batch(self) -> list[_Pending]:
        batch: list[_Pending] = []
        size = 0
        while self._queue and len(batch) < BATCH_RECORDS:
            if batch and size + len(self._queue[0].data) > BATCH_BYTES:
                break
            pending = self._queue.popleft()
            if not self._is_given_up(pending):
                batch.append(pending)
                size += len(pending.data)
        return batch

    def _is_given_up(self, pending: _Pending) -> bool:
        return pending.abandoned or self._clock.monotonic() >= pending.deadline

    async def _write(self, batch: Sequence[_Pending]) -> None:
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
            batch = await self._find_absent(batch)

    async def _find_absent(self, batch: Sequence[_Pending]) -> list[_Pending]:
        """Return the records that a fresh read shows not to be in the log."""
        while remaining := [p for p in batch if not self._is_given_up(p)]:
            await self._clock.sleep(RETRY_DELAY)
            if await self._reader.wait_for_fresh_read(self._settings.append_seconds):
                # The reader remembers a bounded number of records, so only the
                # verdict itself shows for certain that a record was folded.
                return [pending for pending in remaining if not pending.verdict.done()]
        return []

    def _count(self, result: str) -> None:
        self._metrics.log_appends.inc({"stream": self._reader.stream, "result": result})

"""Periodic snapshots of a stream, written before the retention period ends."""

import asyncio
import logging
from collections.abc import Callable
from datetime import timedelta

from returns.result import Failure

from egretcrank.clock import Clock
from egretcrank.settings.schema import LogSettings
from egretcrank.stream.appender import Appender
from egretcrank.stream.reader import StreamReader
from egretcrank.stream.snapshots import split_state

MAX_RECORDS_WITHOUT_SNAPSHOT = 5000
# Leaves time for two more attempts before the records after a snapshot are dropped.
SNAPSHOTS_PER_RETENTION = 3
CHECK_INTERVAL = timedelta(seconds=1)
CHECKS_PER_RETENTION = 30

logger = logging.getLogger(__name__)


class SnapshotWriter:
    """Appends snapshots of a stream while this process is responsible for them.

    If several processes consider themselves responsible, the only cost is additional
    appends: an outdated snapshot is not loaded, because a snapshot is usable only while
    the record after its state is available.
    """

    def __init__(
        self,
        reader: StreamReader,
        appender: Appender,
        settings: LogSettings,
        clock: Clock,
        is_responsible: Callable[[], bool],
    ) -> None:
        self._reader = reader
        self._appender = appender
        self._settings = settings
        self._clock = clock
        self._is_responsible = is_responsible

    async def run(self) -> None:
        """Write a snapshot whenever one is due, until cancelled."""
        interval = self._settings.retention_seconds / CHECKS_PER_RETENTION
        while True:
            await self._clock.sleep(min(CHECK_INTERVAL, interval))
            if self.is_due() and self._is_responsible():
                await self.write()

    def is_due(self) -> bool:
        """Return whether the stream needs a new snapshot.

        A stream that has records but no snapshot needs one immediately, because the age
        of its oldest record is unknown.
        """
        position = self._reader.position
        if not position.ready or position.down or position.next_offset == 0:
            return False
        if not self._reader.has_snapshot:
            return True
        if self._reader.records_since_snapshot > MAX_RECORDS_WITHOUT_SNAPSHOT:
            return True
        limit = self._settings.retention_seconds / SNAPSHOTS_PER_RETENTION
        return self._reader.snapshot_age > limit

    async def write(self) -> bool:
        """Append all chunks of a snapshot; return whether all were read back."""
        state = self._reader.build_state()
        chunks = split_state(state, self._clock.now())
        verdicts = await asyncio.gather(*(self._appender.append(c) for c in chunks))
        failed = [v for v in verdicts if isinstance(v, Failure)]
        logger.info(
            "snapshot is incomplete" if failed else "snapshot written",
            extra={
                "stream": self._reader.stream,
                "through": state.through,
                "chunks": len(chunks),
                "failed": len(failed),
            },
        )
        return not failed

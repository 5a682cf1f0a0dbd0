"""Work streams that this process follows, started on first use."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from egretcrank.ownership.partitions import name_work_stream
from egretcrank.ownership.work import WorkState
from egretcrank.settings.schema import ClusterSettings
from egretcrank.stream.access import LogAccess
from egretcrank.stream.appender import Appender
from egretcrank.stream.reader import StreamReader


class Shard(NamedTuple):
    """A work stream with its state."""

    state: WorkState
    reader: StreamReader
    appender: Appender


class Shards:
    """Follows the work streams of the partitions that this host owns.

    ``is_responsible`` tells whether this process writes the snapshots of a shard.
    """

    def __init__(
        self,
        settings: ClusterSettings,
        access: LogAccess,
        is_responsible: Callable[[int], bool],
    ) -> None:
        self._settings = settings
        self._access = access
        self._is_responsible = is_responsible
        self._shards: dict[int, Shard] = {}
        self._tasks: list[asyncio.Task[None]] = []

    def open(self, number: int) -> Shard:
        """Return a shard, and start to follow it if that is new."""
        shard = self._shards.get(number)
        if shard is None:
            shard = self._shards[number] = self._start(number)
        return shard

    def list_open(self) -> dict[int, Shard]:
        """Return the shards that are followed."""
        return dict(self._shards)

    def _start(self, number: int) -> Shard:
        state = WorkState(self._settings)
        reader = self._access.build_reader(name_work_stream(number), state)
        appender = self._access.build_appender(reader)
        writer = self._access.build_snapshot_writer(
            reader, appender, lambda: self._is_responsible(number)
        )
        for part in (reader, appender, writer):
            self._tasks.append(asyncio.create_task(part.run()))
        return Shard(state, reader, appender)

    async def close(self) -> None:
        """Stop following."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

"""Work streams that this process reads, opened on first use."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from egretcrank.ownership.partitions import build_work_stream_name
from egretcrank.ownership.work import WorkState
from egretcrank.settings.schema import ClusterSettings
from egretcrank.stream.access import LogAccess
from egretcrank.stream.appender import Appender
from egretcrank.stream.reader import StreamReader


class Shard(NamedTuple):
    """Work stream with its state, reader and appender."""

    state: WorkState
    reader: StreamReader
    appender: Appender


class Shards:
    """Readers and appenders of the work streams of the partitions that this host owns.

    ``is_responsible`` returns whether this process writes the snapshots of a shard.
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

    def open(self, shard_number: int) -> Shard:
        """Return a shard, starting its reader and appender on first use."""
        shard = self._shards.get(shard_number)
        if shard is None:
            shard = self._shards[shard_number] = self._follow(shard_number)
        return shard

    def list_open(self) -> dict[int, Shard]:
        """Return the open shards by number."""
        return dict(self._shards)

    def _follow(self, shard_number: int) -> Shard:
        state = WorkState(self._settings)
        reader = self._access.build_reader(build_work_stream_name(shard_number), state)
        appender = self._access.build_appender(reader)
        writer = self._access.build_snapshot_writer(
            reader, appender, lambda: self._is_responsible(shard_number)
        )
        for component in (reader, appender, writer):
            self._tasks.append(asyncio.create_task(component.run()))
        return Shard(state, reader, appender)

    async def close(self) -> None:
        """Stop the readers, appenders and snapshot writers of all shards."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

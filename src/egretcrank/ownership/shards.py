"""Work streams that this process follows, started on first use."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from egretcrank.clock import Clock
from egretcrank.observability.metrics import Metrics
from egretcrank.ownership.partitions import name_work_stream
from egretcrank.ownership.work import WorkState
from egretcrank.settings.schema import Settings
from egretcrank.stream.appender import Appender
from egretcrank.stream.client import LogClient
from egretcrank.stream.maintenance import SnapshotWriter
from egretcrank.stream.reader import PeerStateSource, StreamReader


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
        settings: Settings,
        client: LogClient,
        clock: Clock,
        metrics: Metrics,
        is_responsible: Callable[[int], bool],
        peer_state: PeerStateSource | None = None,
    ) -> None:
        self._is_responsible = is_responsible
        self._settings = settings
        self._client = client
        self._clock = clock
        self._metrics = metrics
        self._peer_state = peer_state
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
        state = WorkState(self._settings.cluster)
        reader = StreamReader(
            name_work_stream(number),
            self._client,
            state,
            self._settings.log,
            self._clock,
            self._metrics,
            self._peer_state,
        )
        appender = Appender(
            self._client, reader, self._settings.log, self._clock, self._metrics
        )
        self._tasks.append(asyncio.create_task(reader.run()))
        self._tasks.append(asyncio.create_task(appender.run()))
        writer = SnapshotWriter(
            reader,
            appender,
            self._settings.log,
            self._clock,
            lambda: self._is_responsible(number),
        )
        self._tasks.append(asyncio.create_task(writer.run()))
        return Shard(state, reader, appender)

    async def close(self) -> None:
        """Stop following."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

"""Work streams that this process follows, started on first use."""

import asyncio
from typing import NamedTuple

from egretcrank.clock import Clock
from egretcrank.observability.metrics import Metrics
from egretcrank.ownership.partitions import name_work_stream
from egretcrank.ownership.work import WorkState
from egretcrank.settings.schema import Settings
from egretcrank.stream.appender import Appender
from egretcrank.stream.client import LogClient
from egretcrank.stream.reader import PeerStateSource, StreamReader


class Shard(NamedTuple):
    """A work stream with its state."""

    state: WorkState
    reader: StreamReader
    appender: Appender


class Shards:
    """Follows the work streams of the partitions that this host owns."""

    def __init__(
        self,
        settings: Settings,
        client: LogClient,
        clock: Clock,
        metrics: Metrics,
        peer_state: PeerStateSource | None = None,
    ) -> None:
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
        return Shard(state, reader, appender)

    async def close(self) -> None:
        """Stop following."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

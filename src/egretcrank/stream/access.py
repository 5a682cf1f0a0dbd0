"""Readers, appenders and snapshot writers of one process, built alike."""

from collections.abc import Callable
from typing import NamedTuple

from egretcrank.clock import Clock
from egretcrank.observability.metrics import Metrics
from egretcrank.settings.schema import LogSettings
from egretcrank.stream.appender import Appender
from egretcrank.stream.client import LogClient
from egretcrank.stream.maintenance import SnapshotWriter
from egretcrank.stream.reader import Fold, PeerStateSource, StreamReader


class LogAccess(NamedTuple):
    """What a process needs to follow and to write streams of the log."""

    client: LogClient
    settings: LogSettings
    clock: Clock
    metrics: Metrics
    peer_state: PeerStateSource

    def build_reader(self, stream: str, fold: Fold) -> StreamReader:
        """Build the reader that folds a stream."""
        return StreamReader(
            stream,
            self.client,
            fold,
            self.settings,
            self.clock,
            self.metrics,
            self.peer_state,
        )

    def build_appender(self, reader: StreamReader) -> Appender:
        """Build the appender to the stream of a reader."""
        return Appender(self.client, reader, self.settings, self.clock, self.metrics)

    def build_snapshot_writer(
        self,
        reader: StreamReader,
        appender: Appender,
        is_responsible: Callable[[], bool],
    ) -> SnapshotWriter:
        """Build the writer of snapshots of a stream."""
        return SnapshotWriter(
            reader, appender, self.settings, self.clock, is_responsible
        )

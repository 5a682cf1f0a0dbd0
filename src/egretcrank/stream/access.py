"""Factory of the stream readers, appenders and snapshot writers of a process."""

from collections.abc import Callable
from typing import NamedTuple

from egretcrank.clock import Clock
from egretcrank.observability.metrics import Metrics
from egretcrank.settings.schema import LogSettings
from egretcrank.stream.appender import Appender
from egretcrank.stream.client import LogClient
from egretcrank.stream.maintenance import SnapshotWriter
from egretcrank.stream.reader import PeerStateSource, StateMachine, StreamReader


class LogAccess(NamedTuple):
    """Dependencies shared by all stream readers and writers of a process."""

    client: LogClient
    settings: LogSettings
    clock: Clock
    metrics: Metrics
    peer_state: PeerStateSource

    def build_reader(self, stream: str, state_machine: StateMachine) -> StreamReader:
        """Build the reader that applies the records of a stream."""
        return StreamReader(
            stream,
            self.client,
            state_machine,
            self.settings,
            self.clock,
            self.metrics,
            self.peer_state,
        )

    def build_appender(self, reader: StreamReader) -> Appender:
        """Build an appender for the stream of a reader."""
        return Appender(self.client, reader, self.settings, self.clock, self.metrics)

    def build_snapshot_writer(
        self,
        reader: StreamReader,
        appender: Appender,
        is_responsible: Callable[[], bool],
    ) -> SnapshotWriter:
        """Build a snapshot writer for the stream of a reader."""
        return SnapshotWriter(
            reader, appender, self.settings, self.clock, is_responsible
        )

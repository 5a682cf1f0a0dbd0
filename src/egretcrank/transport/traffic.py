"""Counters of messages and bytes exchanged with peers and the log."""

from typing import NamedTuple


class TrafficCounts(NamedTuple):
    """Messages in both directions, and bytes by direction, since the process start."""

    messages: int
    received_bytes: int
    sent_bytes: int


class Traffic:
    """Traffic counters of one process."""

    def __init__(self) -> None:
        self._messages = 0
        self._received_bytes = 0
        self._sent_bytes = 0

    def count_received(self, size: int) -> None:
        """Count a received message of ``size`` bytes."""
        self._messages += 1
        self._received_bytes += size

    def count_sent(self, size: int) -> None:
        """Count a sent message of ``size`` bytes."""
        self._messages += 1
        self._sent_bytes += size

    def read(self) -> TrafficCounts:
        """Return the current counts."""
        return TrafficCounts(self._messages, self._received_bytes, self._sent_bytes)

"""Counts of messages and bytes that a process exchanges with its peers and the log."""

from typing import NamedTuple


class TrafficCounts(NamedTuple):
    """Messages and bytes, in both directions, since the start."""

    messages: int
    received_bytes: int
    sent_bytes: int


class Traffic:
    """Counter for one process."""

    def __init__(self) -> None:
        self._messages = 0
        self._received_bytes = 0
        self._sent_bytes = 0

    def count_received(self, size: int) -> None:
        """Count a message that arrived."""
        self._messages += 1
        self._received_bytes += size

    def count_sent(self, size: int) -> None:
        """Count a message that was sent."""
        self._messages += 1
        self._sent_bytes += size

    def read(self) -> TrafficCounts:
        """Return the counts."""
        return TrafficCounts(self._messages, self._received_bytes, self._sent_bytes)

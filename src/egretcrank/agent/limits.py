"""Limits that the leader sets to the starts that wait at an agent."""

from datetime import timedelta

from egretcrank.wire.hosting import HostOrders


class StartLimits:
    """Until when the starts of one session may be sent, and which orders there are."""

    def __init__(self) -> None:
        # None for a leader of the previous release, which sets no limit.
        self._until: timedelta | None = timedelta()
        self._last_order = 0
        # When the report was sent that the newest message answered.
        self._read_at = timedelta()

    def update(self, message: HostOrders) -> None:
        """Apply the limits of a message, unless a newer one has arrived before."""
        sent_at = timedelta(seconds=message.report_sent_at)
        if sent_at < self._read_at:
            return
        self._read_at = sent_at
        self._last_order = max(self._last_order, message.last_order)
        if message.start_seconds is None:
            self._until = None
            return
        until = sent_at + timedelta(seconds=message.start_seconds)
        self._until = max(self._until or timedelta(), until)

    def is_outdated(self, now: timedelta) -> bool:
        """Return whether starts may have been withdrawn without the leader knowing."""
        return self._until is not None and now >= self._until

    def is_order_missing(self, applied: int) -> bool:
        """Return whether a message is missing, which may withdraw a start.

        ``applied`` is the number of the last order that was applied.
        """
        return applied < self._last_order

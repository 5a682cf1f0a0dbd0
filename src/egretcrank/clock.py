"""Clock interface, so that tests can control time, and the system clock."""

import asyncio
import time
from datetime import UTC, datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """Source of wall-clock time, monotonic time and delays."""

    def now(self) -> datetime:
        """Return the current time in UTC, which may jump in either direction."""

    def monotonic(self) -> timedelta:
        """Return a monotonic time with an arbitrary origin."""

    def boottime(self) -> timedelta:
        """Return a monotonic time that includes time the machine was suspended.

        Leases are measured with it, so that a holder that was suspended sees that its
        lease has expired.
        """

    async def sleep(self, delay: timedelta) -> None:
        """Wait for ``delay``."""


class SystemClock:
    """Clock of the operating system."""

    def now(self) -> datetime:
        """Return the current time in UTC."""
        return datetime.now(UTC)

    def monotonic(self) -> timedelta:
        """Return the monotonic time of the operating system."""
        return timedelta(seconds=time.monotonic())

    def boottime(self) -> timedelta:
        """Return the time since boot, including suspended time."""
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))

    async def sleep(self, delay: timedelta) -> None:
        """Wait for ``delay`` without blocking the event loop."""
        await asyncio.sleep(max(0.0, delay.total_seconds()))

"""Announcement of a new leader to agents that have not attached to it."""

import threading
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta

from egretcrank.scheduling.hosts import HostState

ROUND_INTERVAL = timedelta(milliseconds=400)
# An announcement takes 50 ms, or 200 ms if the host is down, so 160 hosts in sequence
# would take 8 s or more.
MAX_CONCURRENT_ANNOUNCEMENTS = 8


def announce(
    list_unattached: Callable[[], Sequence[HostState]],
    notify: Callable[[HostState], object],
) -> None:
    """Notify the hosts that ``list_unattached`` returns until it returns none.

    Hosts are notified concurrently, because a new leader starts the tasks that it has
    taken over from its predecessor only once all hosts have attached or their leases
    have expired.
    """

    def notify_if_unattached(host: HostState) -> None:
        # The host may have attached while others were being notified.
        if not host.attached:
            notify(host)

    with ThreadPoolExecutor(
        MAX_CONCURRENT_ANNOUNCEMENTS, thread_name_prefix="announce"
    ) as pool:
        while unattached := list_unattached():
            list(pool.map(notify_if_unattached, unattached))
            threading.Event().wait(ROUND_INTERVAL.total_seconds())

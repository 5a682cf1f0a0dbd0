"""Word of a new leader to the agents that have not found it."""

import threading
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta

from egretcrank.scheduling.hosts import HostState

INTERVAL = timedelta(milliseconds=400)
# Hosts that are told side by side. Telling one takes 50 ms, and 200 ms if it is gone:
# 160 hosts in turn would take 8 s or more.
ANNOUNCERS = 8


def announce(
    list_missing: Callable[[], Sequence[HostState]], tell: Callable[[HostState], object]
) -> None:
    """Tell the hosts that ``list_missing`` returns, again and again until none is.

    Answers a change of the leader on many hosts: work that was inherited starts only
    once all hosts have attached.
    """

    def tell_if_missing(host: HostState) -> None:
        # The host may have attached while others were told.
        if not host.attached:
            tell(host)

    with ThreadPoolExecutor(ANNOUNCERS, thread_name_prefix="announce") as pool:
        while missing := list_missing():
            list(pool.map(tell_if_missing, missing))
            threading.Event().wait(INTERVAL.total_seconds())

"""Queues and services in force."""

from collections.abc import Mapping
from datetime import timedelta
from typing import NamedTuple


class Queue(NamedTuple):
    """A queue: callers' host and path prefix, and how its jobs are treated.

    A job of the queue is in time within ``stretch`` times its longest chain of work
    and ``target_latency`` more. ``priority`` 0 comes first.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_latency: timedelta = timedelta()
    advised: bool = False


class Service(NamedTuple):
    """A pool of hosts; hosts of a ``guarded`` one refuse what does not fit."""

    name: str
    health_path: str = ""
    guarded: bool = False
    spare: bool = False


class Limits(NamedTuple):
    """Bounds of callers' requests."""

    body_bytes: int = 262144


class Catalog(NamedTuple):
    """The newest accepted configuration."""

    version: int
    queues: Mapping[str, Queue]
    services: Mapping[str, Service]
    limits: Limits = Limits()

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of ``path`` on ``host``."""
        best: Queue | None = None
        for queue in self.queues.values():
            if queue.host != host or not path.startswith(queue.path_prefix):
                continue
            if best is None or len(queue.path_prefix) > len(best.path_prefix):
                best = queue
        return best


EMPTY_CATALOG = Catalog(0, {}, {})

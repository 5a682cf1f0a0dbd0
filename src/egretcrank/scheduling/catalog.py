"""Configuration of queues and services."""

from collections.abc import Mapping
from datetime import timedelta
from typing import NamedTuple

# Multiples of the longest critical path by these stay within the range of
# ``timedelta``, and deadlines within that of ``datetime``.
MAX_STRETCH = 1000.0
MAX_TARGET_LATENCY = timedelta(days=365)


class Queue(NamedTuple):
    """A queue: the HTTP host and path prefix that select it, and its scheduling rules.

    A job is on time if it ends within ``stretch`` times its critical path plus
    ``target_latency``. ``priority`` 0 is the highest. A job fails once one of its
    tasks has failed ``max_attempts`` times. Jobs of queues with ``uses_advice`` are
    not supported.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_latency: timedelta = timedelta()
    uses_advice: bool = False


class Service(NamedTuple):
    """A pool of hosts; with ``admission_control`` they refuse tasks that do not fit.

    ``spare`` is not evaluated by this release.
    """

    name: str
    health_path: str = ""
    admission_control: bool = False
    spare: bool = False


class Limits(NamedTuple):
    """Limits of callers' requests."""

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

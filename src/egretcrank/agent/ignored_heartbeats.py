"""Log lines and counts of heartbeats that do not describe the runner."""

import logging
from datetime import timedelta

from egretcrank.clock import Clock
from egretcrank.observability.metrics import Metrics
from egretcrank.platform.heartbeats import Heartbeat
from egretcrank.wire.hosting import RunnerInfo

# Another writer may send heartbeats without end.
LOG_INTERVAL = timedelta(seconds=1)

logger = logging.getLogger(__name__)


class IgnoredHeartbeats:
    """Counts ignored heartbeats, and logs one of each interval."""

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._logged_at: timedelta | None = None

    def note(self, heartbeat: Heartbeat, known: RunnerInfo | None) -> None:
        """Note a heartbeat beside the description of the runner."""
        runner = heartbeat.runner
        is_old = (
            known is not None
            and known.runner_id == runner.runner_id
            and known.born == runner.born
        )
        reason = "old" if is_old else "other_process"
        self._metrics.heartbeats_ignored.inc({"reason": reason})
        now = self._clock.boottime()
        if self._logged_at is not None and now - self._logged_at < LOG_INTERVAL:
            return
        self._logged_at = now
        logger.info(
            "old heartbeat ignored" if is_old else "heartbeat of another process",
            extra={
                "runner": runner.runner_id,
                "born": runner.born,
                "sequence": heartbeat.sequence,
                "service": runner.service,
                "runner_known": known.runner_id if known else "",
                "born_known": known.born if known else 0,
            },
        )

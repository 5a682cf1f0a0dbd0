"""Tests that replay whole days of the worst loads on the model of hosts."""

import logging
import statistics
from unittest.mock import patch

from bench.placement.loads import PATTERNS
from bench.placement.world import Day
from egretcrank.scheduling import cell
from egretcrank.scheduling.settings import CellSettings
from tests.cases import AsyncTestCase

SEEDS = (101, 102, 103)
# Share of what wide jobs are owed that they have to earn, on average over the seeds.
MIN_BATCH_SHARE = 0.45
# Seconds after a loss of power in which work is to get on again: from the start of the
# next leader on, for as long as pairs of images take to be learned.
RECOVERY_SECONDS = (4.0, 10.0)
PATTERN = next(p for p in PATTERNS if p.name == "uncertain-estimates")


class WorstLoadTests(AsyncTestCase):
    """Wide jobs beside serving tasks, with lost hosts, leaders and power."""

    def setUp(self):
        super().setUp()
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_wide_jobs_end_in_time_beside_serving_tasks(self):
        """Guards against ready work that waits while half of the processors are free.

        Jobs waited for images that were not known yet, or forgotten, for a host where
        nothing is slowed down, and for the single runs of jobs that were all begun.
        """
        outcomes = [Day(PATTERN, seed, CellSettings()).run() for seed in SEEDS]
        shares = [outcome.batch for outcome in outcomes]
        self.assertGreaterEqual(statistics.mean(shares), MIN_BATCH_SHARE, shares)

    def _measure_recovery(self) -> float:
        """Return the mean of the cores in use by best-effort tasks after the loss."""
        first, last = (PATTERN.length + seconds for seconds in RECOVERY_SECONDS)
        used = []
        for seed in SEEDS:
            day = Day(PATTERN, seed, CellSettings())
            day.run()
            used += [cores for at, cores in day.best_effort_cores if first <= at < last]
        return statistics.mean(used)

    def test_work_gets_on_soon_after_a_loss_of_power(self):
        """Guards against work that waits for images to be learned anew."""
        kept = self._measure_recovery()
        with patch.object(cell, "MAX_STORED_PRESSURES", 0):
            forgotten = self._measure_recovery()
        self.assertGreater(kept, forgotten)

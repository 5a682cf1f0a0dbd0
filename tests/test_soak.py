"""Tests of the soak: that its checks see what they are for, and a short run."""

import tempfile
from pathlib import Path

from bench.soak.__main__ import play
from bench.standins.platform_runner import Observer, PlatformRunner, Started
from tests.cases import AsyncTestCase

SPEC = '{"seconds":60,"cpu":3000}'
# Seed and length of the run in CI; longer ones are started by hand.
SEED = 3
SECONDS = 12.0


class ObserverTests(AsyncTestCase):
    """What the runners of a soak report."""

    def setUp(self):
        super().setUp()
        self.observer = Observer()
        self.runners = [
            PlatformRunner(f"r{n}", "127.0.0.1:0", "127.0.0.1:0", 4000, self.observer)
            for n in range(2)
        ]

    def _start(self, runner, task, run=1):
        body = {"task": task, "run": run, "spec": SPEC, "fencing_token": 1}
        return runner._obey("/-/run-start", {**body, "deadline_ms": 60000})[0]

    def test_two_runs_of_a_task_are_seen(self):
        """Guards against a soak that cannot see its first rule broken."""
        self._start(self.runners[0], "j.0.0.0")
        self._start(self.runners[1], "j.0.0.0", run=2)
        self.assertEqual(self.observer.problems, ["j.0.0.0 runs twice"])

    def test_too_much_work_is_seen(self):
        """Guards against a soak that cannot see a runner over its capacity."""
        self._start(self.runners[0], "j.0.0.0")
        self._start(self.runners[0], "j.0.0.1")
        self.assertEqual(self.observer.problems, ["r0 is over its capacity"])

    def test_a_start_after_an_acknowledged_end_is_seen(self):
        """Guards against a soak that cannot see finished work run again."""
        self.observer.acknowledged.add("j.0.0.0")
        self.observer.note_start(self.runners[0], Started("r0", "j.0.0.0", 2, SPEC))
        self.assertEqual(self.observer.problems, ["j.0.0.0 starts after it was done"])


class SoakTests(AsyncTestCase):
    """One seed on real processes."""

    def test_a_short_run_breaks_no_promise(self):
        """Guards against faults of processes, signals and connections."""
        with tempfile.TemporaryDirectory() as folder:
            report = play(SEED, SECONDS, Path(folder))
        self.assertEqual(report["problems"], [], f"seed {SEED}")

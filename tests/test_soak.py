"""Tests of the soak: its checks detect violations, and a short run has none."""

import socket
import tempfile
import time
from pathlib import Path
from unittest.mock import patch

from bench.addresses import find_address
from bench.soak.__main__ import run_soak
from bench.soak.callers import check_cancellations, check_end
from bench.standins.platform_runner import Observer, PlatformRunner, TaskStart
from tests.cases import AsyncTestCase

SPEC = '{"seconds":60,"cpu":3000}'
DEADLY_SPEC = '{"seconds":60,"cpu":2000,"deadly":["0.0.0"]}'
WAIT_SECONDS = 10.0
# Seeds and length of the runs in CI; `make soak` runs longer ones. Tasks crash runners
# on even seeds.
SEED = 3
CRASH_SEED = 2
SECONDS = 12.0


class ObserverTests(AsyncTestCase):
    """Violations that the observer of the runners reports."""

    def setUp(self):
        super().setUp()
        self.observer = Observer()
        self.runners = [
            PlatformRunner(f"r{n}", "127.0.0.1:0", "127.0.0.1:0", 4000, self.observer)
            for n in range(2)
        ]

    def _start(self, runner, task, run=1, spec=SPEC):
        body = {"task": task, "run": run, "spec": spec, "fencing_token": 1}
        return runner._handle_order("/-/run-start", {**body, "deadline_ms": 60000})[0]

    def test_two_runs_of_a_task_are_reported(self):
        """Guards against a soak that misses two concurrent runs of a task."""
        self._start(self.runners[0], "j.0.0.0")
        self._start(self.runners[1], "j.0.0.0", run=2)
        first, second = self.runners
        (problem,) = self.observer.problems
        self.assertRegex(
            problem,
            rf"^j\.0\.0\.0 runs twice: r1 \(born {second.born}\) starts run 2 at "
            rf"[-T:.+0-9]+, 0\.\d{{3}} s after r0 \(born {first.born}\) started run 1$",
        )

    def test_a_run_of_a_life_that_is_over_is_not_reported(self):
        """Guards against alarms for a task whose first runner has crashed."""
        self.runners[0].address = find_address()
        self.runners[0].begin_life()
        self._start(self.runners[0], "j.0.0.0")
        self.runners[0].restart()
        self.addCleanup(self.runners[0].stop)
        self._start(self.runners[1], "j.0.0.0", run=2)
        self.assertEqual(self.observer.problems, [])

    def test_a_late_start_in_an_evacuated_domain_is_reported(self):
        """Guards against a soak that misses starts after a request to evacuate."""
        first, second = self.runners
        first.failure_domain = "z0"
        self.observer.evacuated_at["z0"] = time.monotonic() - 4
        self._start(first, "j.0.0.0")
        self.assertEqual(self.observer.problems, [])
        self.observer.evacuated_at["z0"] -= 2
        self._start(second, "k.0.0.0")
        self._start(first, "l.0.0.0", spec='{"seconds":60,"cpu":100}')
        (problem,) = self.observer.problems
        self.assertRegex(problem, r"^l\.0\.0\.0 starts on r0 6\.\d s after .* z0$")

    def test_a_deadly_task_never_ends_done(self):
        """Guards against an alarm for a task whose timer fires after its time."""
        runner = self.runners[0]
        self.addCleanup(runner.stop)
        self._start(runner, "j.0.0.0", spec=DEADLY_SPEC)
        runner.running["j.0.0.0"] = runner.running["j.0.0.0"]._replace(ends_at=0.0)
        runner.expire()
        self.assertEqual(set(runner.running), {"j.0.0.0"})

    def _acknowledge_an_end(self, seconds):
        """Acknowledge the end of a task ``seconds`` after it, and start it again."""
        runner = self.runners[0]
        self._start(runner, "j.0.0.0")
        runner.running["j.0.0.0"] = runner.running["j.0.0.0"]._replace(ends_at=0.0)
        runner.expire()
        runner._started_at -= seconds
        runner.expire()
        runner._acknowledge(1)
        self._start(self.runners[1], "j.0.0.0", run=2)
        return self.observer.problems

    def test_an_end_that_is_acknowledged_under_its_lease_counts(self):
        """Guards against a soak that misses a rerun after an acknowledged end."""
        self.assertEqual(
            self._acknowledge_an_end(1.0), ["j.0.0.0 starts after it was done"]
        )

    def test_an_end_that_is_acknowledged_after_its_lease_lapsed_does_not_count(self):
        """Guards against a check that is stricter than the rule of the platform."""
        self.assertEqual(self._acknowledge_an_end(10.0), [])

    def test_exceeded_capacity_is_reported(self):
        """Guards against a soak that misses a runner over its capacity."""
        self._start(self.runners[0], "j.0.0.0")
        self._start(self.runners[0], "j.0.0.1")
        self.assertEqual(self.observer.problems, ["r0 is over its capacity"])

    def _shrink_and_start(self, seconds):
        """Start a task ``seconds`` after a heartbeat that shows a smaller capacity."""
        runner = self.runners[0]
        now = time.monotonic()
        with patch.object(time, "monotonic", lambda: now):
            runner.resize(2999)
            runner._mark_capacity_shown()
        with patch.object(time, "monotonic", lambda: now + seconds):
            # A later heartbeat doesn't extend the time.
            runner._mark_capacity_shown()
            self._start(runner, "j.0.0.0")
        return self.observer.problems

    def test_a_capacity_that_has_shrunk_counts_after_its_grace(self):
        """Guards against a soak that misses starts beyond a smaller capacity."""
        self.assertEqual(self._shrink_and_start(3.1), ["r0 is over its capacity"])

    def test_a_capacity_that_has_just_shrunk_does_not_count(self):
        """Guards against a check that is stricter than the rule of the platform."""
        self.assertEqual(self._shrink_and_start(2.9), [])

    def test_a_capacity_that_no_heartbeat_has_shown_does_not_count(self):
        """Guards against alarms for a capacity that a silent runner tells nobody."""
        self.runners[0].resize(2999)
        later = time.monotonic() + 1000
        with patch.object(time, "monotonic", lambda: later):
            self.assertEqual(self.runners[0].find_allowed_cpu(), 4000)

    def _crash_runners(self, crashes, further_starts):
        """Let a task crash runners, then start it again; return the violations."""
        for run in range(1, crashes + further_starts + 1):
            runner = self.runners[run % 2]
            runner._is_stopped = True
            self._start(runner, "j.0.0.0", run, DEADLY_SPEC)
            if run <= crashes:
                runner._crash("j.0.0.0", runner._life)
            runner._reset()
        return self.observer.problems

    def test_a_third_start_after_three_crashes_is_reported(self):
        """Guards against a soak that misses a task that crashes runner after runner."""
        (problem,) = self._crash_runners(3, 4)
        self.assertRegex(
            problem,
            r"^j\.0\.0\.0 exceeds its budget of crashes: run 6 starts on r0 at "
            r"[-T:.+0-9]+, after 3 crashes$",
        )

    def test_two_starts_after_three_crashes_are_not_reported(self):
        """Guards against a check that is stricter than the rule of the platform."""
        self.assertEqual(self._crash_runners(3, 2), [])

    def test_start_after_an_acknowledged_end_is_reported(self):
        """Guards against a soak that misses a rerun of a finished task."""
        self.observer.acknowledged.add("j.0.0.0")
        self.observer.record_start(self.runners[0], TaskStart("r0", "j.0.0.0", 2, SPEC))
        self.assertEqual(self.observer.problems, ["j.0.0.0 starts after it was done"])


class EndTests(AsyncTestCase):
    """Final states of jobs that callers of the soak report."""

    def test_an_innocent_job_that_failed_is_reported(self):
        """Guards against a soak that misses a job given up for a neighbour's crash."""
        lost = {"j.0.0.0": 3, "k.0.0.0": 3}
        self.assertEqual(
            check_end("j", "failed", lost, ""),
            "j is failed, but is innocent; runs lost with runners: {'j.0.0.0': 3}",
        )
        self.assertEqual(check_end("j", "completed", lost, ""), "")

    def test_a_job_that_is_cancelled_without_a_request_is_reported(self):
        """Guards against a soak that misses a job which is given up as cancelled."""
        self.assertEqual(
            check_end("j", "cancelled", {}, ""),
            "j is cancelled, and nobody has asked for that",
        )
        for state in ("completed", "cancelled"):
            self.assertEqual(check_end("j", state, {}, "", cancelled=True), "")

    def test_a_start_after_the_cancellation_of_its_job_is_reported(self):
        """Guards against a soak that misses tasks of cancelled jobs."""
        starts = [
            TaskStart("r0", "j.0.0.0", 1, SPEC, 12.9),
            TaskStart("r0", "j.0.0.1", 2, SPEC, 13.5),
            TaskStart("r0", "k.0.0.0", 1, SPEC, 99.0),
        ]
        self.assertEqual(
            check_cancellations(starts, {"j": 10.0}),
            [
                "j.0.0.1 run 2 is started on r0 3.50 s after the cancellation of its "
                "job was answered"
            ],
        )

    def test_a_deadly_job_that_did_not_fail_is_reported(self):
        """Guards against a soak that accepts any end of a deadly job."""
        for state in ("completed", "cancelled"):
            self.assertEqual(
                check_end("j", state, {"j.0.0.0": 3}, "j.0.0.0"),
                f"j is {state}, although j.0.0.0 crashes its runners",
            )
        self.assertEqual(check_end("j", "failed", {"j.0.0.0": 2}, "j.0.0.0"), "")

    def test_a_deadly_job_that_failed_after_one_crash_is_reported(self):
        """Guards against a soak that misses a task given up before two crashes."""
        self.assertEqual(
            check_end("j", "failed", {"j.0.0.0": 1, "j.0.0.1": 2}, "j.0.0.0"),
            "j is failed after 1 crashes under j.0.0.0",
        )


class DeadlyTaskTests(AsyncTestCase):
    """Tasks that crash the stand-ins of runners."""

    def _wait_until(self, condition):
        deadline = time.monotonic() + WAIT_SECONDS
        while not condition():
            self.assertLess(time.monotonic(), deadline)
            time.sleep(0.01)

    def _is_listening(self, address):
        host, _, port = address.rpartition(":")
        try:
            socket.create_connection((host, int(port)), 1.0).close()
        except ConnectionRefusedError:
            return False
        return True

    def test_a_deadly_task_ends_the_life_and_another_one_begins(self):
        """Guards against a soak whose deadly tasks crash no runner."""
        observer = Observer()
        address = find_address()
        runner = PlatformRunner("r0", address, "127.0.0.1:0", 4000, observer)
        runner.begin_life()
        self.addCleanup(runner.stop)
        born = runner.born
        for task in ("j.0.0.0", "j.0.0.1"):
            body = {"task": task, "run": 1, "spec": DEADLY_SPEC, "fencing_token": 1}
            runner._handle_order("/-/run-start", {**body, "deadline_ms": 60000})
        self.assertEqual(set(runner.running), {"j.0.0.0", "j.0.0.1"})
        self._wait_until(lambda: not self._is_listening(address))
        self.assertEqual(runner.running, {})
        self._wait_until(lambda: self._is_listening(address))
        self.assertGreater(runner.born, born)
        self.assertEqual(observer.crashes, {"j.0.0.0": 1})
        self.assertEqual(observer.lost_runs, {"j.0.0.0": 1, "j.0.0.1": 1})


class SoakTests(AsyncTestCase):
    """Short soaks with real processes."""

    def _run(self, seed):
        with tempfile.TemporaryDirectory() as directory:
            report = run_soak(seed, SECONDS, Path(directory))
        self.assertEqual(report["problems"], [], f"seed {seed}")
        return report

    def test_short_run_violates_no_invariant(self):
        """Guards against faults of real processes, signals and connections."""
        self._run(SEED)

    def test_short_run_with_deadly_tasks_violates_no_invariant(self):
        """Guards against tasks that crash runner after runner, beside other faults."""
        self.assertGreater(self._run(CRASH_SEED)["crashes"], 0)

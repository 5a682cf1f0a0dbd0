"""Tests of hosts that fail or slow down the tasks they start."""

from datetime import timedelta
from unittest.mock import patch

from egretcrank.scheduling.catalog import Catalog, Service
from egretcrank.scheduling.cell import Cell
from egretcrank.scheduling.host_health import HostHealth
from egretcrank.scheduling.records import Phase
from tests.cases import AsyncTestCase
from tests.cell_world import QUEUE, ActiveRun, Runner, World, build_step

CATALOG = Catalog(1, {"q": QUEUE._replace(max_attempts=2)}, {"s": Service("s")})


class HealthWorld(World):
    """Cell whose queue allows two attempts, with faults of hosts and of jobs."""

    def __init__(self, hosts: int = 6) -> None:
        super().__init__(1, hosts)
        # Hosts and jobs whose tasks fail at once, and by host the time of a task.
        self.faulty_hosts: set[str] = set()
        self.faulty_jobs: set[str] = set()
        self.slowness: dict[str, float] = {}
        self.failures = 0
        self.cell.catalog = CATALOG
        for runner in self.runners:
            self._install_faults(runner)
        self.run(1)

    @property
    def cell(self) -> Cell:
        assert self.leader.cell is not None
        return self.leader.cell

    @property
    def health(self) -> HostHealth:
        return self.cell._planner.health

    def _install_faults(self, runner: Runner) -> None:
        start = runner.start

        def begin(order, deadline, token):
            refusal = start(order, deadline, token)
            if not refusal:
                seconds = self.slowness.get(runner.name, 1.0)
                if self.find_step(order.task).long_running:
                    seconds = 1000.0
                ends_at = self.now() + timedelta(seconds=seconds)
                runner.running[order.task] = ActiveRun(order.run, ends_at, "")
                job_faulty = order.task.split(".")[0] in self.faulty_jobs
                if job_faulty or runner.name in self.faulty_hosts:
                    self.failures += 1
                    runner.end(order.task, "failed")
            return refusal

        runner.start = begin  # type: ignore[method-assign]

    def list_avoided(self) -> frozenset[str]:
        hosts = list(self.cell.hosts.values())
        return self.health.review(hosts, self.now()).avoided

    def run_until_avoided(self, host: str) -> None:
        for _ in range(20):
            self.submit_load(0.3, per_second=8)
            if host in self.list_avoided():
                return
        raise AssertionError(f"{host} is not avoided")

    def submit_load(
        self, seconds: float, per_second: float = 5, width: int = 4
    ) -> list[str]:
        """Hand in small jobs at a constant rate, and run the cell meanwhile."""
        jobs: list[str] = []
        for number in range(round(seconds * 10)):
            while len(jobs) < number / 10 * per_second:
                jobs.append(self.submit(build_step(width=width)))
            self.step()
        return jobs


def play_faulty_host() -> tuple[int, int]:
    """Overload a cell with one faulty host of six; return failed attempts and jobs."""
    world = HealthWorld()
    world.submit_load(2, per_second=8)
    world.faulty_hosts = {"h0"}
    jobs = world.submit_load(6.5, per_second=6)
    world.faulty_hosts = set()
    world.run(15)
    assert world.violations == []
    return world.failures, sum(world.find_phase(j) is Phase.FAILED for j in jobs)


class HostHealthTests(AsyncTestCase):
    def test_a_faulty_host_does_not_use_up_the_attempts_of_many_jobs(self):
        """Guards against a host that fails its tasks at once and attracts all work."""
        with patch.object(HostHealth, "record_end"):
            before = play_faulty_host()
        after = play_faulty_host()
        self.assertGreater(before[1], 10, (before, after))
        self.assertLess(after[0], before[0] / 4, (before, after))
        self.assertLessEqual(after[1], 1, (before, after))

    def test_a_failed_task_is_not_repeated_at_once_on_the_same_host(self):
        """Guards against the loss of both attempts before another job is evidence."""
        world = HealthWorld()
        world.runners[0].kind = "b"
        world.run(0.5)
        world.faulty_hosts = {"h0"}
        step = build_step(width=5, cpu=4000, label="a", long_running=True)
        others = world.submit(step)
        world.run(1)
        job = world.submit(build_step(width=1))
        world.run(0.6)
        world.cancel(others)
        world.run(3)
        self.assertEqual(world.failures, 1)
        self.assertEqual(world.find_phase(job), Phase.COMPLETED)

    def test_a_job_that_only_an_avoided_host_can_run_starts(self):
        """Guards against a job that waits beside free hosts for all of a quarantine."""
        world = HealthWorld()
        world.runners[0].kind = "b"
        world.run(0.5)
        for _ in range(4):
            world.health._quarantine("h0", 2, "failures", ())
        job = world.submit(build_step(label="b"))
        world.run(0.5)
        self.assertEqual(world.find_phase(job), Phase.QUEUED)
        world.run(1.5)
        self.assertEqual(world.find_phase(job), Phase.RUNNING)

    def test_one_task_at_a_time_tries_the_only_host_that_is_left(self):
        """Guards against a faulty host that uses up the attempts of all tasks."""
        world = HealthWorld()
        world.runners[0].kind = "b"
        world.run(0.5)
        world.faulty_hosts = {"h0"}
        for _ in range(4):
            world.health._quarantine("h0", 2, "failures", ())
        job = world.submit(build_step(width=4, label="b"))
        world.run(1.6)
        self.assertEqual(world.failures, 1)
        world.faulty_hosts = set()
        world.run(9)
        self.assertEqual(world.failures, 1)
        self.assertEqual(world.find_phase(job), Phase.COMPLETED)

    def test_a_trial_that_is_never_confirmed_is_a_relapse(self):
        """Guards against a host that is neither used nor tested any more."""
        world = HealthWorld()
        world.faulty_hosts = {"h0"}
        world.run_until_avoided("h0")
        level = world.health._quarantines["h0"].level
        with patch.object(world.agents["h0"], "carry_out_orders"):
            world.submit_load(6)
        quarantine = world.health._quarantines["h0"]
        self.assertGreater(quarantine.level, level)

    def test_jobs_that_fail_on_every_host_are_no_evidence_against_hosts(self):
        """Guards against the loss of hosts to jobs that fail by themselves."""
        world = HealthWorld()
        world.submit_load(2)
        for _ in range(4):
            world.faulty_jobs.add(world.submit(build_step(width=6)))
            world.submit_load(0.5)
            self.assertEqual(world.list_avoided(), frozenset())
        self.assertGreater(world.failures, 10)

    def test_work_goes_on_while_all_hosts_fail(self):
        """Guards against a cell that stops for a fault of all hosts."""
        world = HealthWorld()
        world.faulty_hosts = {runner.name for runner in world.runners}
        most = 0
        for _ in range(8):
            starts = len(world.starts)
            world.submit_load(1, per_second=20, width=1)
            most = max(most, len(world.list_avoided()))
            self.assertGreater(len(world.starts), starts)
        self.assertEqual(most, 2)
        world.faulty_hosts = set()
        jobs = world.submit_load(1)
        world.run(6)
        self.assertEqual({world.find_phase(job) for job in jobs}, {Phase.COMPLETED})

    def test_quarantine_trial_relapse_and_recovery(self):
        """Guards against hosts that return too early, or never."""
        world = HealthWorld()
        world.faulty_hosts = {"h0"}
        load = world.submit_load
        world.run_until_avoided("h0")
        seen = world.failures
        load(0.8)
        self.assertEqual(world.failures, seen)
        # One trial fails 1 s after the verdict; the next one is 2 s later.
        load(1.5)
        self.assertEqual(world.failures, seen + 1)
        self.assertEqual(world.health._quarantines["h0"].level, 1)
        world.faulty_hosts = set()
        load(4)
        self.assertEqual(world.list_avoided(), frozenset())
        self.assertEqual(world.failures, seen + 1)

    def test_a_slow_host_is_ranked_last(self):
        """Guards against work for a host that takes 7.5 times as long as others."""
        world = HealthWorld()
        world.slowness = {"h0": 7.5}
        world.submit_load(4, per_second=4)
        hosts = list(world.cell.hosts.values())
        view = world.health.review(hosts, world.now())
        self.assertEqual((view.avoided, view.penalties), (frozenset(), {"h0": 1}))
        starts = len(world.starts)
        world.submit_load(1, per_second=2)
        self.assertNotIn("h0", [host for _, _, host in world.starts[starts:]])

    def test_a_restart_of_the_runner_clears_its_record(self):
        """Guards against a quarantine for the faults of a former process."""
        world = HealthWorld()
        world.faulty_hosts = {"h0"}
        world.run_until_avoided("h0")
        world.faulty_hosts = set()
        world.runners[0].restart()
        world.run(0.3)
        self.assertNotIn("h0", world.health._quarantines)

"""Tests of the placement policy as job owners use it."""

from collections import Counter
from random import Random

import msgspec

from egretcrank.jobs.interfaces import PlacedTask, WaitingTask
from egretcrank.policy.placement import Weights
from egretcrank.policy.scheduler import Scheduler
from egretcrank.sidecar.placement import PolicyPlacement
from egretcrank.wire.messages import (
    Member,
    MemberStatus,
    Resources,
    SubmitJob,
    TaskSpec,
)
from tests.cases import AsyncTestCase, ManualClock
from tests.task_world import World

SIZE = Resources(1, 100, 0)


class CountingPlacement(PolicyPlacement):
    """Placement that keeps what it is told."""

    def __init__(self):
        super().__init__(Scheduler(ManualClock(), Random(1), Weights()))
        self.starts, self.ends = [], []

    def record_start(self, task, host):
        self.starts.append((task.task, host))
        super().record_start(task, host)

    def record_end(self, task, state):
        self.ends.append((task, state))
        super().record_end(task, state)


class PolicyWorld(World):
    """World whose owners place by the policy."""

    def place(self, task, members, placed):
        return self.listener.place(task, members, placed)


class PlacementTest(AsyncTestCase):
    """Placement over job owners, task hosts and workers without faults."""

    def submit(self, world, key, tasks, command="sleep 1"):
        specs = tuple(TaskSpec(f"t{i}", command, SIZE) for i in range(tasks))
        message = SubmitJob(key, "c", "bundle", "from_checkpoint", False, specs)
        self.run_async(world.owner.handle(message)).unwrap()

    def build_world(self):
        placement = CountingPlacement()
        return PolicyWorld(Random(1), 4, 0.0, placement), placement

    def break_worker(self, world, name):
        worker = world.hosts[name].worker
        start = worker.start
        worker.start = lambda order: start(
            msgspec.structs.replace(order, command="fail")
        )

    def test_worker_that_fails_everything_gets_no_more_tasks(self):
        """Guards against a broken worker that draws tasks because it is always free."""
        world, placement = self.build_world()
        self.run_async(world.tick(1.0))
        self.break_worker(world, "h0")
        for number in range(12):
            self.submit(world, f"k{number}", 4)
            for _ in range(6):
                self.run_async(world.tick(0.5))
        self.run_async(world.settle())
        hosts = Counter(host for _, host in placement.starts)
        late = {host for _, host in placement.starts[len(placement.starts) // 2 :]}
        assert 3 <= hosts["h0"] <= 8, hosts
        assert late == {"h1", "h2", "h3"}, late
        assert set(world.endings.values()) == {"done"}

    def test_failing_jobs_do_not_condemn_workers(self):
        """Guards against setting sound workers aside for jobs that fail everywhere."""
        world, placement = self.build_world()
        self.run_async(world.tick(1.0))
        for number in range(6):
            self.submit(world, f"bad{number}", 1, "fail")
            self.submit(world, f"good{number}", 4)
            for _ in range(6):
                self.run_async(world.tick(0.5))
        self.run_async(world.settle())
        late = {host for _, host in placement.starts[len(placement.starts) // 2 :]}
        assert late == {"h0", "h1", "h2", "h3"}, late

    def test_each_attempt_is_recorded_once(self):
        """Guards against missed and repeated starts and ends, with lost replies."""
        world, placement = self.build_world()
        world.faults = 0.2
        self.run_async(world.tick(1.0))
        for number in range(6):
            self.submit_with_faults(world, f"k{number}")
            for _ in range(8):
                self.run_async(world.tick(0.5))
        self.run_async(world.settle())
        assert placement.starts, "no start was recorded"
        starts = Counter(task for task, _ in placement.starts)
        assert starts == Counter(task for task, _ in placement.ends)

    def submit_with_faults(self, world, key):
        command = "fail" if key == "k3" else "sleep 2"
        specs = tuple(TaskSpec(f"t{i}", command, SIZE) for i in range(3))
        message = SubmitJob(key, "c", "bundle", "from_checkpoint", False, specs)
        self.run_async(world.owner.handle(message))

    def test_tasks_of_a_job_spread_over_racks(self):
        """Guards against a job that one rack or failure domain takes down."""

        members = [
            MemberStatus(
                Member(
                    host=f"h{i}",
                    rack=f"r{i // 2}",
                    failure_domain=f"d{i // 2}",
                    capacity=Resources(8, 800, 0),
                    free=Resources(8 - i, 800, 0),
                )
            )
            for i in range(4)
        ]
        placed = [PlacedTask("j/t0", "c", "bundle", False, "h0", SIZE, 0.0)]
        waiting = WaitingTask("j/t1", "c", "bundle", False, SIZE, 0.0)
        chosen = CountingPlacement().place(waiting, members, placed)
        assert chosen.host == "h2", chosen
        assert set(chosen.alternatives) == {"h0", "h1", "h3"}
        assert "unknown" in chosen.reason

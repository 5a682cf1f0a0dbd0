"""Tests of idle best-effort jobs: they wait under load, and start on free hosts."""

from datetime import timedelta

from egretcrank.observability.metrics import Metrics
from egretcrank.policy.pressures import PressureTable
from egretcrank.policy.slowdown import Slowdowns
from egretcrank.scheduling.changes import ChangeCollector
from egretcrank.scheduling.crashes import CrashRecorder
from egretcrank.scheduling.definitions import JobDefinition, Step
from egretcrank.scheduling.hosts import HostState
from egretcrank.scheduling.planner import MAX_BUSY_JOB_IDLE, MAX_JOB_IDLE, Planner
from egretcrank.scheduling.runs import Runs
from egretcrank.scheduling.settings import CellSettings
from egretcrank.scheduling.tasks import Job
from tests.cases import AsyncTestCase, ManualClock
from tests.cell_world import QUEUE, build_step
from tests.test_packing import build_host

SECOND = timedelta(seconds=1)
BATCH = build_step(
    width=4, cpu=1800, memory=3200, best_effort=True, checkpointing=True, image="f"
)


class IdleJobTests(AsyncTestCase):
    """Jobs whose tasks would hardly get on beside the serving tasks of any host."""

    def _plan(
        self, hosts: list[HostState], step: Step, idle: timedelta = 3 * MAX_JOB_IDLE
    ) -> int:
        """Plan for a while; return how many tasks of an idle job start."""
        clock = ManualClock()
        for host in hosts:
            host.attached = host.registered = True
            host.headrooms = dict.fromkeys(host.serving_images, 0.0)
        runs = Runs({host.name: host for host in hosts}, clock, Metrics())
        planner = Planner(
            runs,
            {host.name: host for host in hosts},
            PressureTable(),
            lambda job: QUEUE,
            Slowdowns(),
            clock,
            CrashRecorder({}, ChangeCollector(), clock, Metrics()),
            Metrics(),
            CellSettings(),
        )
        job = Job(JobDefinition("0" * 16, QUEUE, "", (step,), clock.now()), 0)
        job.add_occurrence(0)
        end = clock.boottime() + idle
        while clock.boottime() < end:
            for host in hosts:
                host.reported_at = clock.boottime()
            planner.plan([job])
            clock.advance(timedelta(milliseconds=100))
        return len(list(runs))

    def test_an_idle_job_waits_while_the_hosts_are_busy(self):
        """Guards against a slow run of each waiting job beside overloaded hosts.

        On the worst days nearly all wide jobs were begun by one run a second after they
        came. None of them got on, and those that could have been on time were late.
        """
        hosts = [build_host(f"h{n}", *["a"] * 5) for n in range(3)]
        self.assertEqual(self._plan(hosts, BATCH), 0)

    def test_no_job_waits_forever(self):
        """Guards against a job whose image gets on nowhere and that never starts.

        On a day of kdd-egret with 243 jobs seven had no run for 50 s (LOST), while the
        hosts were full of reservations that were hardly used.
        """
        hosts = [build_host(f"h{n}", *["a"] * 5) for n in range(3)]
        idle = MAX_BUSY_JOB_IDLE + SECOND
        self.assertEqual(self._plan(hosts, BATCH, idle), 1)

    def test_reservations_that_are_not_used_do_not_count_as_busy(self):
        """Guards against idle jobs beside serving tasks that use half their share."""
        hosts = [build_host(f"h{n}", "a", "a", "a") for n in range(3)]
        self.assertGreater(self._plan(hosts, BATCH), 0)

    def test_an_idle_job_starts_while_the_hosts_are_mostly_free(self):
        """Guards against a job that never ends although most capacity is unused."""
        hosts = [build_host(f"h{n}", "a", "b") for n in range(3)]
        self.assertGreater(self._plan(hosts, BATCH), 0)

"""Tests of waits for rack locality, on a model of hosts in racks."""

from datetime import timedelta
from random import Random
from statistics import median
from unittest.mock import Mock, patch

from hypothesis import given, settings
from hypothesis import strategies as st

from egretcrank.observability.metrics import Metrics
from egretcrank.policy.pressures import PressureTable
from egretcrank.policy.slowdown import Slowdowns
from egretcrank.scheduling.changes import ChangeCollector
from egretcrank.scheduling.crashes import CrashRecorder
from egretcrank.scheduling.definitions import JobDefinition, Step
from egretcrank.scheduling.locality import MAX_WAIT, LocalityPolicy, WaitUntil
from egretcrank.scheduling.planner import Planner
from egretcrank.scheduling.runs import Runs
from egretcrank.scheduling.settings import CellSettings
from egretcrank.scheduling.tasks import Job, Placement
from tests.cases import AsyncTestCase, ManualClock
from tests.cell_world import QUEUE, World, build_step
from tests.test_packing import build_host

TICK = timedelta(milliseconds=20)
SECOND = timedelta(seconds=1)


class Site:
    """Hosts of four cores in racks; tasks take ``factor`` times as long remotely."""

    def __init__(
        self, racks: int = 2, hosts: int = 2, factor: float = 3.0, policy: bool = True
    ) -> None:
        self.clock, self.factor, self.metrics = ManualClock(), factor, Mock()
        self.hosts = {}
        for number in range(racks * hosts):
            host = build_host(f"h{number}", cpu=4000)
            assert host.runner is not None
            host.runner = host.runner._replace(rack=f"r{number // hosts}")
            host.attached = host.registered = True
            self.hosts[host.name] = host
        self.runs = Runs(self.hosts, self.clock, Metrics())
        self.planner = Planner(
            self.runs,
            self.hosts,
            PressureTable(),
            lambda job: QUEUE,
            Slowdowns(),
            self.clock,
            CrashRecorder({}, ChangeCollector(), self.clock, Metrics()),
            self.metrics,
            CellSettings(remote_factor=factor if policy else 1.0),
        )
        self.jobs: list[Job] = []
        self.ended: dict[str, float] = {}
        # Actual over estimated duration by job.
        self.errors: dict[str, float] = {}

    def submit(self, *steps: Step, error: float = 1.0) -> Job:
        name = f"{len(self.errors):016x}"
        definition = JobDefinition(name, QUEUE, "", steps, self.clock.now())
        job = Job(definition, len(self.errors))
        job.add_occurrence(0)
        self.jobs.append(job)
        self.errors[name] = error
        return job

    def fill(self, rack: str, width: int = 8, error: float = 1.0) -> None:
        """Fill a rack with tasks of one core that have just begun."""
        self.submit(build_step(width=width, rack=rack), error=error)
        self.advance(TICK)

    def _has_ended(self, placement: Placement) -> bool:
        step = placement.step.definition
        rack = self.hosts[placement.host].rack
        factor = 1.0 if step.rack in ("", rack) else self.factor
        actual = step.estimate * factor * self.errors[placement.task.job_id]
        return self.clock.boottime() - placement.placed_at >= actual

    def advance(self, duration: timedelta) -> None:
        end = self.clock.boottime() + duration
        while self.clock.boottime() < end:
            for placement in [p for p in self.runs if self._has_ended(p)]:
                placement.step.mark_done(placement.task.position)
                self.runs.release(placement, "done")
            for host in self.hosts.values():
                host.reported_at = self.clock.boottime()
            for job in [job for job in self.jobs if job.is_complete()]:
                waited = self.clock.now() - job.definition.submitted_at
                self.ended[job.job_id] = waited.total_seconds()
                self.jobs.remove(job)
            self.planner.plan(self.jobs)
            self.clock.advance(TICK)

    def list_racks(self, job: Job) -> list[str]:
        runs = [p for p in self.runs if p.task.job_id == job.job_id]
        return sorted(self.hosts[p.host].rack for p in runs)

    def list_events(self) -> list[str]:
        calls = self.metrics.place_waits.inc.call_args_list
        return [call.args[0]["event"] for call in calls]


def replay(policy: bool, factor: float, seed: int) -> tuple[float, float]:
    """Return the median time of jobs that name a hot rack, and of the others."""
    site, random = Site(racks=6, hosts=8, factor=factor, policy=policy), Random(seed)
    hot = set()
    while site.clock.boottime() < timedelta(seconds=1008):
        rack = "r0" if random.random() < 0.6 else ""
        estimate = timedelta(seconds=random.uniform(0.7, 1.9))
        step = build_step(width=10, cpu=800, rack=rack, estimate=estimate)
        job = site.submit(step, error=random.uniform(0.6, 1.4))
        if rack:
            hot.add(job.job_id)
        site.advance(timedelta(milliseconds=random.choice((60, 120, 180))))
    site.advance(20 * SECOND)
    assert not site.jobs
    return (
        median(site.ended[job] for job in hot),
        median(site.ended[job] for job in site.ended.keys() - hot),
    )


class LocalityTests(AsyncTestCase):
    def test_jobs_that_name_a_hot_rack_end_sooner(self):
        """Guards against waits that cost more than they save.

        The rack has room for two thirds of the tasks that name it.
        """
        for factor, share in ((3.0, 0.95), (1.5, 1.0)):
            seeds = range(3)
            never = [replay(False, factor, seed) for seed in seeds]
            waiting = [replay(True, factor, seed) for seed in seeds]
            for kind, limit in ((0, share), (1, 1.0)):
                total = sum(times[kind] for times in never)
                changed = sum(times[kind] for times in waiting)
                self.assertLessEqual(changed, total * limit + 0.001)

    def test_only_steps_that_the_rack_has_room_for_wait(self):
        """Guards against a crowd that waits for a rack while other racks are idle."""
        site = Site(racks=3)
        site.fill("r0")
        site.advance(0.6 * SECOND)
        first = site.submit(build_step(width=6, rack="r0"))
        second = site.submit(build_step(width=6, rack="r0"))
        site.advance(TICK)
        self.assertEqual(site.list_racks(first), [])
        self.assertEqual(set(site.list_racks(second)), {"r1", "r2"})
        self.assertEqual(len(site.list_racks(second)), 6)
        site.advance(0.5 * SECOND)
        self.assertEqual(site.list_racks(first), ["r0"] * 6)
        self.assertEqual(site.list_events(), ["begun", "room"])

    def test_a_rack_with_room_is_used_at_once(self):
        """Guards against a wait, or a start elsewhere, beside an idle rack."""
        site = Site()
        job = site.submit(build_step(width=8, rack="r1"))
        site.advance(TICK)
        self.assertEqual(site.list_racks(job), ["r1"] * 8)
        self.assertEqual(site.list_events(), [])

    def test_a_step_waits_once_where_runs_end_late(self):
        """Guards against jobs that are idle while their rack's tasks go on."""
        for error in (1.9, 50.0):
            site = Site()
            site.fill("r0", error=error)
            site.advance(0.6 * SECOND)
            job = site.submit(build_step(rack="r0"))
            site.advance(TICK)
            self.assertEqual(site.list_events(), ["begun"])
            site.advance(MAX_WAIT)
            self.assertEqual(site.list_events(), ["begun", "expired"])
            self.assertEqual(site.list_racks(job), ["r1"] * 2)

    def test_a_rack_that_disappears_is_not_waited_for(self):
        """Guards against a wait for hosts that cannot start the task."""
        site = Site()
        site.fill("r0")
        site.advance(0.6 * SECOND)
        job = site.submit(build_step(rack="r0"))
        site.advance(TICK)
        site.hosts["h0"].runner_silent = site.hosts["h1"].runner_left = True
        site.advance(TICK)
        self.assertEqual(site.list_racks(job), ["r1"] * 2)
        self.assertEqual(site.list_events(), ["begun", "rack_lost"])

    def test_tasks_that_name_no_rack_leave_an_awaited_one_free(self):
        """Guards against waits in vain because others take the room."""
        site = Site()
        site.fill("r0", width=7)
        site.submit(build_step(width=1, estimate=10 * SECOND))
        site.advance(0.6 * SECOND)
        waiting = site.submit(build_step(width=7, rack="r0"))
        site.advance(0.4 * SECOND - TICK)
        other = site.submit(build_step(width=7))
        site.advance(3 * TICK)
        self.assertEqual(site.list_racks(other), ["r1"] * 7)
        self.assertEqual(site.list_racks(waiting), ["r0"] * 7)

    def test_same_rack_tasks_share_a_rack(self):
        """Guards against splitting tasks that are slow on several racks."""
        site = Site(racks=3)
        for rack, width in (("r0", 5), ("r1", 6), ("r2", 7)):
            site.fill(rack, width, error=1.0 if rack == "r1" else 50.0)
        fitting = site.submit(build_step(width=3, same_rack=True))
        site.advance(0.5 * SECOND)
        self.assertEqual(site.list_racks(fitting), ["r0"] * 3)
        wide = site.submit(build_step(width=8, same_rack=True))
        site.advance(SECOND)
        self.assertEqual(site.list_racks(wide), ["r1"] * 8)
        self.assertEqual(site.list_events(), ["begun", "room"])

    def test_nothing_is_decided_where_nothing_asks_for_it(self):
        """Guards against a cost for steps and deployments without locality."""
        for factor, rack in ((3.0, ""), (1.0, "r0")):
            site = Site(factor=factor)
            with patch.object(LocalityPolicy, "decide") as decide:
                site.submit(build_step(width=12, rack=rack))
                site.advance(TICK)
            decide.assert_not_called()
            self.assertEqual(len(list(site.runs)), 12)

    def test_only_the_leader_that_saw_a_step_become_ready_lets_it_wait(self):
        """Guards against waits that each new leader begins anew."""
        for seen in (True, False):
            site = Site()
            site.fill("r0")
            site.advance(0.6 * SECOND)
            job = site.submit(build_step(), build_step(rack="r0", depends_on=(0,)))
            first = job.occurrences[0][0]
            first.mark_done(0)
            first.mark_done(1)
            first.ended_at = site.clock.boottime() if seen else None
            site.advance(TICK)
            self.assertEqual(site.list_events(), ["begun"] if seen else [])

    def test_the_end_of_a_step_is_noted(self):
        """Guards against dependent steps that never wait."""
        world = World(1)
        job = world.submit(build_step(), build_step(depends_on=(0,)))
        world.run(12)
        assert world.leader.cell is not None
        first, second = world.leader.cell.jobs[job].occurrences[0]
        self.assertLess(first.ended_at, second.ended_at)

    @given(st.floats(1.01, 100), st.floats(0, 1), st.floats(-1, 2), st.floats(0.1, 20))
    @settings(max_examples=60, deadline=None)
    def test_no_wait_goes_beyond_its_bound(self, factor, age, late, estimate):
        """Guards against a job without a run for 3 s while there is room for it."""
        site = Site(factor=factor)
        site.fill("r0", error=50.0)
        site.advance(age * SECOND)
        job = site.submit(build_step(rack="r0", estimate=estimate * SECOND))
        ready_at = site.clock.now() - late * SECOND
        job.definition = job.definition._replace(submitted_at=ready_at)
        policy, state = site.planner._locality, job.occurrences[0][0]
        assert policy is not None
        hosts = list(site.hosts.values())
        offset, bounds = site.clock.now() - site.clock.boottime(), set()
        # The planner does not know the job, so that its tasks keep waiting.
        site.jobs.remove(job)
        for _ in range(int(2 * MAX_WAIT / TICK)):
            now = site.clock.boottime()
            policy.review(hosts, now)
            match policy.decide(state, hosts, site.runs, now, 2):
                case WaitUntil(time=time):
                    assert now < time <= now + (factor - 1) * estimate * SECOND
                    assert time <= now + MAX_WAIT
                    assert time + offset <= ready_at + MAX_WAIT
                    bounds.add(time)
            site.advance(TICK)
        self.assertLessEqual(len(bounds), 1)

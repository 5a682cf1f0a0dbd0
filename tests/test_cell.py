"""Tests of the cell with failing runners, lost messages and replaced leaders."""

import math
from dataclasses import replace
from datetime import timedelta
from unittest.mock import Mock, patch

import msgspec

from egretcrank.agent.pace import PaceController
from egretcrank.agent.state import AgentState, Identity
from egretcrank.platform.runner import RunnerSnapshot
from egretcrank.policy.pressures import PressureTable
from egretcrank.scheduling import planner
from egretcrank.scheduling.cell import PRESSURE_STORE_INTERVAL
from egretcrank.scheduling.changes import PRESSURES_KEY
from egretcrank.scheduling.ordering import order_steps
from egretcrank.scheduling.placement import Ranking
from egretcrank.scheduling.records import (
    HostRecord,
    Phase,
    PressuresRecord,
    RecordKey,
    RecordKind,
    StepRecord,
    TaskRecord,
    encode_record,
)
from egretcrank.scheduling.table import JobTable, StoredValue
from egretcrank.scheduling.tasks import Job
from egretcrank.wire.hosting import (
    EndedTask,
    HostOrders,
    NumberedOrder,
    Pressure,
    RefusedStart,
    Run,
    RunningTask,
    StopOrder,
)
from tests.cases import AsyncTestCase
from tests.cell_world import World, build_step

SEEDS = range(60)


class CellTests(AsyncTestCase):
    """Single failures, each with the invariant that it could violate."""

    def test_runs_a_job_of_two_steps_in_order(self):
        """Guards against starting a task before its dependencies are done."""
        world = World(1)
        job = world.submit(build_step(), build_step(depends_on=(0,)))
        world.run(12)
        self.assertEqual(world.violations, [])
        self.assertEqual(world.find_phase(job), Phase.COMPLETED)

    def test_keeps_within_the_capacity_of_hosts(self):
        """Guards against overcommitting a runner without admission control."""
        world = World(2)
        jobs = [world.submit(build_step(width=7, cpu=1500)) for _ in range(4)]
        world.run(60)
        self.assertEqual(world.violations, [])
        self.assertEqual({world.find_phase(job) for job in jobs}, {Phase.COMPLETED})

    def test_a_job_is_shown_as_running_once_a_task_has_started(self):
        """Guards against running jobs that are shown as waiting."""
        world = World(3)
        job = world.submit(build_step(long_running=True))
        world.run(3)
        self.assertEqual(world.find_phase(job), Phase.RUNNING)

    def test_cancelled_tasks_are_stopped(self):
        """Guards against tasks that continue after their job was cancelled."""
        world = World(4)
        job = world.submit(build_step(long_running=True))
        world.run(2)
        world.cancel(job)
        world.run(1)
        self.assertEqual([r.running for r in world.runners], [{}, {}, {}])
        self.assertEqual(world.find_phase(job), Phase.CANCELLED)

    def test_a_long_running_task_is_restarted_after_any_end(self):
        """Guards against a long-running task that counts as done when it ends."""
        world = World(5)
        world.failure_probability = 0.5
        job = world.submit(build_step(long_running=True, width=1))
        world.run(30)
        self.assertEqual(world.violations, [])
        self.assertGreater(len(world.starts), 5)
        self.assertEqual(world.find_phase(job), Phase.RUNNING)

    def test_a_job_fails_after_its_attempts(self):
        """Guards against more attempts than the queue allows."""
        world = World(6)
        world.failure_probability = 1.0
        job = world.submit(build_step(width=1))
        world.run(30)
        self.assertEqual(world.find_phase(job), Phase.FAILED)
        self.assertEqual(len(world.starts), 3)

    def test_an_unanswered_start_is_resolved_before_the_next(self):
        """Guards against a late start of a task that runs elsewhere by then."""
        world = World(7)
        world.late_start_probability = 0.5
        jobs = [world.submit() for _ in range(6)]
        for _ in range(300):
            world.step()
            if world.late_starts and world.random.random() < 0.3:
                world.late_starts.popleft().execute()
        self.assertEqual(world.violations, [])
        self.assertEqual({world.find_phase(job) for job in jobs}, {Phase.COMPLETED})

    def test_a_new_leader_takes_over_what_runs(self):
        """Guards against a second run of a task that a former leader started."""
        world = World(8)
        job = world.submit(build_step(long_running=True, width=3))
        world.run(2)
        starts = len(world.starts)
        world.leader.fenced = True
        world.elect()
        world.run(0.5)
        self.assertEqual(len(world.starts), starts)
        self.assertEqual(world.violations, [])
        self.assertEqual(world.find_phase(job), Phase.RUNNING)

    def test_a_new_leader_waits_for_a_silent_host(self):
        """Guards against a second run while an unreachable host may hold its lease."""
        world = World(9)
        world.submit(build_step(long_running=True, width=3, cpu=3000))
        world.run(2)
        silent = world.agents.pop("h0")
        world.leader.fenced = True
        world.elect()
        for _ in range(100):
            # The unreachable agent renews its lease until its authority expires.
            silent.poll_runner()
            world.step()
        self.assertEqual(world.violations, [])
        self.assertEqual(sum(len(r.running) for r in world.runners[1:]), 2)

    def test_a_former_leader_starts_no_job_that_came_after_its_fence(self):
        """Guards against a new job that is started by two leaders."""
        world = World(10)
        world.run(1)
        former = world.leader
        world.attached = {"h0": former, "h1": former}
        world.elect()
        former.commit = lambda: None  # type: ignore[method-assign]
        world.submit(build_step(width=3))
        world.run(5)
        self.assertEqual(world.violations, [])
        assert former.cell is not None
        self.assertEqual(former.cell.hosts["h0"].tasks, set())

    def test_nothing_is_started_without_confirmed_leadership(self):
        """Guards against orders of a leader that cannot confirm its leadership."""
        world = World(11)
        world.run(1)
        job = world.submit()
        world.leader.catch_up()
        world.log.available = False
        world.run(8)
        self.assertEqual(world.starts, [])
        world.log.available = True
        world.run(5)
        self.assertEqual(world.find_phase(job), Phase.COMPLETED)

    def test_tasks_keep_running_during_a_short_log_outage(self):
        """Guards against expired leases during a log outage of a few seconds."""
        world = World(12)
        world.submit(build_step(long_running=True, width=3))
        world.run(2)
        starts = len(world.starts)
        ends = len(world.done)
        world.log.available = False
        world.run(4)
        world.log.available = True
        world.run(1)
        self.assertEqual(world.violations, [])
        self.assertGreaterEqual(len(world.done), ends)
        self.assertGreaterEqual(len(world.starts), starts)
        lapsed = [e for r in world.runners for e in r.ended if e.outcome == "lapsed"]
        self.assertEqual(lapsed, [])

    def test_a_restarted_runner_has_lost_its_tasks(self):
        """Guards against applying ends from before a runner restart after it."""
        world = World(13)
        job = world.submit(build_step(width=2))
        world.run(0.6)
        for runner in world.runners:
            runner.restart()
        world.run(15)
        self.assertEqual(world.violations, [])
        self.assertEqual(world.find_phase(job), Phase.COMPLETED)

    def test_a_cold_start_reads_the_log_alone(self):
        """Guards against repeating finished tasks after a power failure."""
        world = World(14)
        job = world.submit(build_step(width=6), build_step(depends_on=(0,), width=4))
        world.run(3)
        for runner in world.runners:
            runner.restart()
            world.start_agent(runner)
        world.leader.fenced = True
        world.elect()
        world.run(25)
        self.assertEqual(world.violations, [])
        self.assertEqual(world.find_phase(job), Phase.COMPLETED)

    def test_a_cold_start_keeps_what_is_known_of_interference(self):
        """Guards against work that waits after a loss of power to learn images anew.

        The agents and the leader all forgot which images get on beside each other, and
        half of the work that was ready waited for 10 s and more.
        """
        world = World(31)
        known = Pressure("batch", "serving", 0.01, 0.012)
        world.agents["h0"].pace = Mock(wraps=PaceController(), headrooms=())
        world.agents["h0"].pace.take_changed_pressures.side_effect = (
            lambda at, include_all: (known,)
        )
        world.run(PRESSURE_STORE_INTERVAL.total_seconds() + 2)
        for runner in world.runners:
            runner.restart()
            world.start_agent(runner)
        world.leader.fenced = True
        world.elect()
        restored = PressureTable()
        restored.restore(world.leader.table.pressures)
        estimate = restored.estimate("batch", "serving")
        self.assertLess(estimate.mean + estimate.deviation, 0.04)
        unknown = restored.estimate("batch", "other")
        self.assertGreater(unknown.mean + unknown.deviation, 0.08)

    def test_an_older_record_does_not_bring_a_deleted_key_back(self):
        """Guards against a host or job that is in use again after it was removed."""
        table = JobTable()
        key = RecordKey(RecordKind.HOST, "h").format()
        value = encode_record(HostRecord("h:1"))
        table.apply(StoredValue(7, key, value))
        table.apply(StoredValue(9, key, b""))
        self.assertIsNone(table.apply(StoredValue(8, key, value)))
        self.assertEqual(table.hosts, {})
        self.assertIsNotNone(table.apply(StoredValue(10, key, value)))
        self.assertIn("h", table.hosts)

    def test_a_pressures_record_with_implausible_values_is_refused(self):
        """Guards against a record that ends or misleads each leader that reads it."""
        table = JobTable()
        for number, pressure in enumerate(
            (
                Pressure("b", "s", math.nan, 0.01),
                Pressure("b", "s", 0.1, 0.0),
                Pressure("b", "s", -1.0, 0.1),
                Pressure("b", "s", math.inf, 0.1),
            )
        ):
            value = encode_record(PressuresRecord((pressure,)))
            stored = StoredValue(number, PRESSURES_KEY.format(), value)
            self.assertIsNone(table.apply(stored))
        self.assertEqual(table.pressures, ())

    def test_unchanged_interference_is_not_written_again(self):
        """Guards against a log that fills with what it already holds."""
        world = World(32)
        known = Pressure("batch", "serving", 0.01, 0.012)
        world.agents["h0"].pace = Mock(wraps=PaceController(), headrooms=())
        world.agents["h0"].pace.take_changed_pressures.side_effect = (
            lambda at, include_all: (known,)
        )
        world.run(4 * PRESSURE_STORE_INTERVAL.total_seconds())
        records = [r for r in world.log.records if r.key == PRESSURES_KEY.format()]
        self.assertEqual(len(records), 1)

    def test_a_host_whose_runner_left_does_not_delay_a_new_leader(self):
        """Guards against a takeover that waits 6 s for a host that has left."""
        world = World(15)
        world.run(1)
        world.runners[2].leave()
        world.agents["h2"].state.mark_runner_left("h2")
        world.run(1)
        del world.agents["h2"]
        job = world.submit(build_step(width=1))
        world.leader.fenced = True
        world.elect()
        world.run(4.5)
        self.assertEqual(world.find_phase(job), Phase.COMPLETED)

    def test_long_running_tasks_leave_a_draining_host(self):
        """Guards against long-running tasks that stop when a drained runner ends."""
        world = World(17)
        world.submit(build_step(long_running=True, width=3))
        world.run(2)
        for runner in world.runners[1:]:
            self.assertEqual(len(runner.running), 1)
        world.runners[0].draining = True
        world.run(2)
        self.assertEqual([len(r.running) for r in world.runners], [0, 2, 1])
        self.assertEqual(world.violations, [])

    def test_tasks_of_a_lost_runner_start_elsewhere(self):
        """Guards against tasks that still count as running on a lost runner."""
        world = World(18)
        world.submit(build_step(long_running=True, width=3))
        world.run(2)
        world.runners[0].silent = True
        world.run(8.5)
        self.assertEqual([len(r.running) for r in world.runners], [0, 2, 1])
        self.assertEqual(world.violations, [])

    def test_tasks_of_a_runner_that_left_start_elsewhere_at_once(self):
        """Guards against waiting for the lease of a runner that announced its end."""
        world = World(19)
        world.submit(build_step(long_running=True, width=3))
        world.run(2)
        world.runners[0].leave()
        world.agents["h0"].state.mark_runner_left("h0")
        world.run(2)
        self.assertEqual([len(r.running) for r in world.runners], [0, 2, 1])
        self.assertEqual(world.violations, [])

    def test_orders_to_a_dead_host_do_not_keep_it_alive(self):
        """Guards against resent orders that extend the lease of a dead host."""
        world = World(20)
        job = world.submit(build_step(long_running=True, width=3))
        world.run(2)
        del world.agents["h0"]
        world.step()
        held = [task for task, _, host in world.starts if host == "h0"]
        cell = world.leader.cell
        assert cell is not None
        cell.hosts["h0"].add_order(StopOrder(f"{job}.0.0.9", 1))
        world.run(7.5)
        again = [host for task, _, host in world.starts[3:] if task in held]
        self.assertEqual(len(again), len(held))
        self.assertEqual(world.violations, [])

    def test_a_refusal_of_another_order_releases_nothing(self):
        """Guards against matching a stale refusal to a newer start of the task."""
        world = World(21)
        world.submit(build_step(long_running=True, width=1))
        world.run(2)
        task, run, host = world.starts[0]
        cell = world.leader.cell
        assert cell is not None
        agent = world.agents[host]
        report = agent.state.build_report(world.now(), agent.pace)
        stale = RefusedStart(task, run, "unanswered", 99)
        cell.apply_report(replace(report, refused=(stale,)))
        world.run(1)
        self.assertEqual(len(world.starts), 1)

    def test_an_agent_ignores_orders_of_a_former_leader(self):
        """Guards against applying orders of a replaced leader."""
        world = World(22)
        world.run(1)
        state = world.agents["h0"].state
        former = HostOrders(
            epoch=state.epoch - 1,
            incarnation="i1",
            authority_seconds=60.0,
            report_sent_at=world.now().total_seconds(),
            orders=(NumberedOrder(state.applied + 1, stop=StopOrder("t", 1)),),
        )
        until = state.authority_until
        self.assertEqual(state.accept_orders(former), [])
        self.assertEqual(state.authority_until, until)

    def test_an_unanswered_start_that_runs_after_a_restart_is_not_refused(self):
        """Guards against allocating the same capacity twice (soak seed 10).

        A start was delayed while its runner was silent. The runner restarted and
        executed the start before it received a higher fencing token.
        """
        state = AgentState(Identity("h", "h:1", "i"))
        run = Run("j.0.0.0", 1)
        listed = RunnerSnapshot(5, 2, (RunningTask(*run, "", 0, 0.0),), ())
        self.assertTrue(state.resolve_start(run, listed, 1, timedelta()))
        nothing = RunnerSnapshot(5, 2, (), ())
        self.assertFalse(state.resolve_start(run, nothing, 1, timedelta()))
        ended = (EndedTask(1, *run, "done", ""),)
        self.assertTrue(
            state.resolve_start(run, RunnerSnapshot(5, 1, (), ended), 1, timedelta())
        )
        self.assertFalse(
            state.resolve_start(run, RunnerSnapshot(5, 2, (), ended), 1, timedelta())
        )

    def test_the_log_tells_what_a_run_without_a_listed_end_was_released_on(self):
        """Guards against a second run whose cause the logs do not tell."""
        world = World(25)
        world.submit(build_step(long_running=True, width=3))
        world.run(2)
        world.runners[0].restart()
        with self.assertLogs("egretcrank", "INFO") as captured:
            world.run(1)
        lines = {record.getMessage(): record.__dict__ for record in captured.records}
        runner = lines["runner is another process than before"]
        self.assertEqual((runner["born_before"], runner["born"]), (1, 2))
        self.assertEqual(len(runner["dropped"]), 1)
        ended = lines["run ended"]
        self.assertEqual((ended["reason"], ended["born"]), ("runner restarted", 1))
        self.assertGreater(ended["lease_left"], 4)
        rendered, _ = world.leader.metrics.render("text/plain")
        self.assertIn(b'on_lease_total{reason="runner restarted"} 1', rendered)

    def test_failed_runs_count_in_any_order(self):
        """Guards against a fourth attempt of a task that is allowed three.

        After a leader lost the log, the next one learned of the failed runs from the
        hosts in a different order than they had ended, and counted only the last.
        """
        world = World(23)
        world.log.available = True
        job_id = world.submit(build_step(width=1, label="missing"))
        world.run(1)
        cell = world.leader.cell
        assert cell is not None
        job = cell.jobs[job_id]
        step = job.occurrences[0][0]
        for number, run in enumerate((3, 1, 1, 2), 1):
            ended = EndedTask(number, f"{job_id}.0.0.0", run, "failed", "")
            cell._record_end(job, step, 0, ended)
        self.assertEqual(step.tasks[0].failures, 3)
        copy = Job(job.definition, 0)
        copy.restore(job.build_record())
        self.assertEqual(copy.occurrences[0][0].tasks[0].failures, 3)

    def test_failures_that_the_release_before_recorded_count(self):
        """Guards against an upgrade that resets the failure count of a task."""
        old = msgspec.msgpack.encode([1, 2, 2, ""])
        record = msgspec.msgpack.decode(old, type=TaskRecord)
        world = World(24)
        job_id = world.submit(build_step(width=1, label="missing"))
        world.run(1)
        cell = world.leader.cell
        assert cell is not None
        step = cell.jobs[job_id].occurrences[0][0]
        step.restore(StepRecord(b"", {0: record}))
        self.assertEqual(step.tasks[0].failures, 2)

    def test_a_repetition_starts_when_it_is_due(self):
        """Guards against an occurrence that starts before it is due."""
        world = World(16)
        first = world.clock.now() + timedelta(seconds=2)
        job = world.submit(
            build_step(width=1),
            repetitions=3,
            first_run=first,
            interval=timedelta(seconds=4),
        )
        counts = []
        for _ in range(3):
            world.run(1.5)
            counts.append(len(world.starts))
            world.run(2.5)
        world.run(4)
        self.assertEqual(counts, [0, 1, 2])
        self.assertEqual(len(world.starts), 3)
        self.assertEqual(world.find_phase(job), Phase.COMPLETED)


class CellFuzzTests(AsyncTestCase):
    """Random sequences of failures, checked at the runners."""

    def test_no_invariant_is_violated_under_random_failures(self):
        """Guards against violations by combinations of failures."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                world = self._run_simulation(seed)
                self.assertEqual(world.violations, [], f"seed {seed}")
                phases = {job: world.find_phase(job) for job in world.jobs}
                unfinished = [j for j, phase in phases.items() if not phase.final]
                self.assertEqual(unfinished, [], f"seed {seed}")

    def _run_simulation(self, seed: int) -> World:
        world = World(seed)
        world.loss_probability = 0.1
        world.late_start_probability = 0.1
        world.failure_probability = 0.1
        rng = world.random
        for _ in range(250):
            self._inject_failure(world)
            if rng.random() < 0.15 and world.log.available:
                world.submit(
                    build_step(width=rng.randint(1, 4), cpu=rng.choice([500, 2500])),
                    build_step(depends_on=(0,), width=rng.randint(1, 3)),
                )
            world.step()
        world.log.available = True
        world.loss_probability = world.late_start_probability = 0.0
        world.attached = {}
        for runner in world.runners:
            if runner.name not in world.agents:
                world.start_agent(runner)
        world.run(90)
        return world

    def _inject_failure(self, world: World) -> None:
        rng = world.random
        runner = rng.choice(world.runners)
        event = rng.random()
        if event < 0.02:
            runner.restart()
        elif event < 0.04:
            world.start_agent(runner)
        elif event < 0.06:
            world.agents.pop(runner.name, None)
        elif event < 0.09 and runner.name not in world.agents:
            world.start_agent(runner)
        elif event < 0.11 and world.log.available:
            former = world.leader
            world.elect()
            if rng.random() < 0.5:
                # The former leader keeps acting until its next append is refused.
                world.attached[runner.name] = former
        elif event < 0.13:
            world.attached.clear()
        elif event < 0.14:
            world.log.available = False
        elif event < 0.18:
            world.log.available = True
        if world.late_starts and rng.random() < 0.2:
            world.late_starts.popleft().execute()
        if rng.random() < 0.02:
            world.clock.advance(timedelta(seconds=2))


class OverloadTests(AsyncTestCase):
    """Cost of decisions when far more tasks wait than the hosts can hold."""

    def test_a_plan_ranks_hosts_for_few_of_many_waiting_steps(self):
        """Guards against a leader that is too busy to reply to hosts in a burst.

        With 72 hosts and 200 waiting jobs, each decision scanned every host for each
        job, which took most of the CPU of a small controller.
        """
        world = World(6, hosts=8, capacity=4000)
        for _ in range(16):
            world.submit(build_step(width=2, cpu=2000, long_running=True))
        world.run(2)
        for _ in range(200):
            world.submit(build_step(width=3, cpu=1000))
        world.run(1)
        leader = world.leader
        assert leader.cell is not None
        create_ranking = Mock(wraps=Ranking)
        with patch.object(planner, "Ranking", create_ranking):
            leader.cell.plan()
        self.assertLessEqual(create_ranking.call_count, 2)

    def test_best_effort_tasks_are_planned_once_per_interval(self):
        """Guards against ranking hosts for best-effort tasks on each report."""
        world = World(7, hosts=8, capacity=4000)
        world.run(1)
        world.submit(build_step(width=3, best_effort=True, label="missing"))
        world.run(1)
        leader = world.leader
        assert leader.cell is not None
        leader.cell.plan()
        order = Mock(wraps=order_steps)
        create_ranking = Mock(wraps=Ranking)
        with (
            patch.object(planner, "order_steps", order),
            patch.object(planner, "Ranking", create_ranking),
        ):
            for _ in range(10):
                leader.cell.plan()
        self.assertEqual(order.call_count, 10)
        self.assertEqual(create_ranking.call_count, 0)

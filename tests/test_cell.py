"""Tests of the cell against runners, lost messages and replaced leaders."""

from dataclasses import replace
from datetime import timedelta
from unittest.mock import Mock, patch

import msgspec

from egretcrank.agent.state import AgentState, Identity
from egretcrank.platform.runner import Look
from egretcrank.scheduling import planner
from egretcrank.scheduling.ordering import order_steps
from egretcrank.scheduling.placement import Ranking
from egretcrank.scheduling.records import Phase, StepRecord, TaskRecord
from egretcrank.scheduling.tasks import Job
from egretcrank.wire.hosting import (
    EndedTask,
    HostOrders,
    NumberedOrder,
    RefusedStart,
    Run,
    RunningTask,
    StopOrder,
)
from tests.cases import AsyncTestCase
from tests.cell_world import World, build_step

SEEDS = range(60)


class CellTests(AsyncTestCase):
    """Single failures, each with the rule that it would break."""

    def test_runs_a_job_of_two_steps_in_order(self):
        """Guards against a start before the tasks that it depends on are done."""
        world = World(1)
        job = world.submit(build_step(), build_step(depends_on=(0,)))
        world.run(12)
        self.assertEqual(world.problems, [])
        self.assertEqual(world.find_phase(job), Phase.COMPLETED)

    def test_keeps_within_the_capacity_of_hosts(self):
        """Guards against more work on an unguarded runner than it holds."""
        world = World(2)
        jobs = [world.submit(build_step(width=7, cpu=1500)) for _ in range(4)]
        world.run(60)
        self.assertEqual(world.problems, [])
        self.assertEqual({world.find_phase(job) for job in jobs}, {Phase.COMPLETED})

    def test_a_job_is_shown_as_running_once_a_task_has_started(self):
        """Guards against jobs that count as waiting though they run."""
        world = World(3)
        job = world.submit(build_step(lasting=True))
        world.run(3)
        self.assertEqual(world.find_phase(job), Phase.RUNNING)

    def test_cancelled_tasks_are_stopped(self):
        """Guards against tasks that go on after their job was cancelled."""
        world = World(4)
        job = world.submit(build_step(lasting=True))
        world.run(2)
        world.cancel(job)
        world.run(1)
        self.assertEqual([r.running for r in world.runners], [{}, {}, {}])
        self.assertEqual(world.find_phase(job), Phase.CANCELLED)

    def test_a_lasting_task_is_started_again_however_it_ends(self):
        """Guards against a lasting task that is taken for done."""
        world = World(5)
        world.failure_share = 0.5
        job = world.submit(build_step(lasting=True, width=1))
        world.run(30)
        self.assertEqual(world.problems, [])
        self.assertGreater(len(world.starts), 5)
        self.assertEqual(world.find_phase(job), Phase.RUNNING)

    def test_a_job_fails_after_its_attempts(self):
        """Guards against more attempts than the queue allows."""
        world = World(6)
        world.failure_share = 1.0
        job = world.submit(build_step(width=1))
        world.run(30)
        self.assertEqual(world.find_phase(job), Phase.FAILED)
        self.assertEqual(len(world.starts), 3)

    def test_an_unanswered_start_is_settled_before_the_next(self):
        """Guards against a start that takes effect after the task runs elsewhere."""
        world = World(7)
        world.late_share = 0.5
        jobs = [world.submit() for _ in range(6)]
        for _ in range(300):
            world.step()
            if world.late and world.random.random() < 0.3:
                world.late.popleft().carry_out()
        self.assertEqual(world.problems, [])
        self.assertEqual({world.find_phase(job) for job in jobs}, {Phase.COMPLETED})

    def test_a_new_leader_takes_over_what_runs(self):
        """Guards against a second run of what a former leader has started."""
        world = World(8)
        job = world.submit(build_step(lasting=True, width=3))
        world.run(2)
        starts = len(world.starts)
        world.leader.fenced = True
        world.elect()
        world.run(0.5)
        self.assertEqual(len(world.starts), starts)
        self.assertEqual(world.problems, [])
        self.assertEqual(world.find_phase(job), Phase.RUNNING)

    def test_a_new_leader_waits_for_a_silent_host(self):
        """Guards against a second run while a lease of a cut-off host may last."""
        world = World(9)
        world.submit(build_step(lasting=True, width=3, cpu=3000))
        world.run(2)
        silent = world.agents.pop("h0")
        world.leader.fenced = True
        world.elect()
        for _ in range(100):
            # The cut-off agent keeps its lease as long as its authority lasts.
            silent.look()
            world.step()
        self.assertEqual(world.problems, [])
        self.assertEqual(sum(len(r.running) for r in world.runners[1:]), 2)

    def test_a_former_leader_starts_no_job_that_came_after_its_fence(self):
        """Guards against two leaders that both start a new job."""
        world = World(10)
        world.run(1)
        former = world.leader
        world.attached = {"h0": former, "h1": former}
        world.elect()
        former.commit = lambda: None  # type: ignore[method-assign]
        world.submit(build_step(width=3))
        world.run(5)
        self.assertEqual(world.problems, [])
        assert former.cell is not None
        self.assertEqual(former.cell.hosts["h0"].tasks, set())

    def test_nothing_is_started_without_authority(self):
        """Guards against orders of a leader that cannot prove its leadership."""
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

    def test_work_goes_on_through_a_short_outage_of_the_log(self):
        """Guards against lapsed leases while the log is away for a few seconds."""
        world = World(12)
        world.submit(build_step(lasting=True, width=3))
        world.run(2)
        starts = len(world.starts)
        ends = len(world.done)
        world.log.available = False
        world.run(4)
        world.log.available = True
        world.run(1)
        self.assertEqual(world.problems, [])
        self.assertGreaterEqual(len(world.done), ends)
        self.assertGreaterEqual(len(world.starts), starts)
        lapsed = [e for r in world.runners for e in r.ended if e.how == "lapsed"]
        self.assertEqual(lapsed, [])

    def test_a_restarted_runner_has_lost_its_tasks(self):
        """Guards against ends of a former life that count for the next one."""
        world = World(13)
        job = world.submit(build_step(width=2))
        world.run(0.6)
        for runner in world.runners:
            runner.restart()
        world.run(15)
        self.assertEqual(world.problems, [])
        self.assertEqual(world.find_phase(job), Phase.COMPLETED)

    def test_a_cold_start_reads_the_log_alone(self):
        """Guards against finished tasks that run again after a loss of power."""
        world = World(14)
        job = world.submit(build_step(width=6), build_step(depends_on=(0,), width=4))
        world.run(3)
        for runner in world.runners:
            runner.restart()
            world.start_agent(runner)
        world.leader.fenced = True
        world.elect()
        world.run(25)
        self.assertEqual(world.problems, [])
        self.assertEqual(world.find_phase(job), Phase.COMPLETED)

    def test_a_host_whose_runner_left_holds_up_no_new_leader(self):
        """Guards against six seconds without decisions for a host that is gone."""
        world = World(15)
        world.run(1)
        agent = world.agents["h2"]
        agent.state.left = True
        world.run(1)
        del world.agents["h2"]
        job = world.submit(build_step(width=1))
        world.leader.fenced = True
        world.elect()
        world.run(4.5)
        self.assertEqual(world.find_phase(job), Phase.COMPLETED)

    def test_lasting_tasks_leave_a_draining_host(self):
        """Guards against tasks that are away from the end of their runner on."""
        world = World(17)
        world.submit(build_step(lasting=True, width=3))
        world.run(2)
        for runner in world.runners[1:]:
            self.assertEqual(len(runner.running), 1)
        world.runners[0].draining = True
        world.run(2)
        self.assertEqual([len(r.running) for r in world.runners], [0, 2, 1])
        self.assertEqual(world.problems, [])

    def test_tasks_of_a_runner_that_is_silent_for_good_start_elsewhere(self):
        """Guards against tasks that count as running on a runner that is gone."""
        world = World(18)
        world.submit(build_step(lasting=True, width=3))
        world.run(2)
        world.runners[0].silent = True
        world.run(8.5)
        self.assertEqual([len(r.running) for r in world.runners], [0, 2, 1])
        self.assertEqual(world.problems, [])

    def test_tasks_of_a_runner_that_left_start_elsewhere_at_once(self):
        """Guards against waiting for a lease of a runner that said that it ends."""
        world = World(19)
        world.submit(build_step(lasting=True, width=3))
        world.run(2)
        runner = world.runners[0]
        runner.running.clear()
        runner.silent = True
        world.agents["h0"].state.left = True
        world.run(2)
        self.assertEqual([len(r.running) for r in world.runners], [0, 2, 1])
        self.assertEqual(world.problems, [])

    def test_orders_to_a_dead_host_do_not_keep_it_alive(self):
        """Guards against authority that grows with each repeated order."""
        world = World(20)
        job = world.submit(build_step(lasting=True, width=3))
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
        self.assertEqual(world.problems, [])

    def test_a_refusal_of_another_order_frees_nothing(self):
        """Guards against a refusal of a former leader that is taken for a new one."""
        world = World(21)
        world.submit(build_step(lasting=True, width=1))
        world.run(2)
        task, run, host = world.starts[0]
        cell = world.leader.cell
        assert cell is not None
        agent = world.agents[host]
        report = agent.state.build_report(world.now(), agent.pace)
        stale = RefusedStart(task, run, "unanswered", 99)
        cell.take_report(replace(report, refused=(stale,)))
        world.run(1)
        self.assertEqual(len(world.starts), 1)

    def test_an_agent_takes_no_orders_of_a_former_leader(self):
        """Guards against orders of a leader that was replaced."""
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
        self.assertEqual(state.take_orders(former), [])
        self.assertEqual(state.authority_until, until)

    def test_an_unanswered_start_that_the_next_life_runs_is_not_refused(self):
        """Guards against room that is given away twice (soak seed 10).

        A start was held up while its runner was silent, the runner was born again, and
        its next life carried the start out before it saw a higher token.
        """
        state = AgentState(Identity("h", "h:1", "i"))
        run = Run("j.0.0.0", 1)
        listed = Look(5, 2, (RunningTask(*run, "", 0, 0.0),), ())
        self.assertTrue(state.settle(run, listed, born=1))
        self.assertFalse(state.settle(run, Look(5, 2, (), ()), born=1))
        ended = (EndedTask(1, *run, "done", ""),)
        self.assertTrue(state.settle(run, Look(5, 1, (), ended), born=1))
        self.assertFalse(state.settle(run, Look(5, 2, (), ended), born=1))

    def test_failed_runs_count_in_any_order(self):
        """Guards against a fourth run of a task that has three.

        A leader was cut off from the log; the next one heard of the failed runs from
        the hosts in another order than they had ended, and counted only the last.
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
            cell._note_end(job, step, 0, ended)
        self.assertEqual(step.tasks[0].failures, 3)
        copy = Job(job.definition, 0)
        copy.restore(job.describe())
        self.assertEqual(copy.occurrences[0][0].tasks[0].failures, 3)

    def test_failures_that_the_release_before_recorded_count(self):
        """Guards against a budget that begins anew with an upgrade."""
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
        """Guards against an occurrence before its time."""
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
    """Random failures in series; the runners are the oracle."""

    def test_no_rule_is_broken_under_random_failures(self):
        """Guards against failures that meet one another."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                world = self._play(seed)
                self.assertEqual(world.problems, [], f"seed {seed}")
                phases = {job: world.find_phase(job) for job in world.jobs}
                unfinished = [j for j, phase in phases.items() if not phase.final]
                self.assertEqual(unfinished, [], f"seed {seed}")

    def _play(self, seed: int) -> World:
        world = World(seed)
        world.loss = 0.1
        world.late_share = 0.1
        world.failure_share = 0.1
        dice = world.random
        for _ in range(250):
            self._disturb(world)
            if dice.random() < 0.15 and world.log.available:
                world.submit(
                    build_step(width=dice.randint(1, 4), cpu=dice.choice([500, 2500])),
                    build_step(depends_on=(0,), width=dice.randint(1, 3)),
                )
            world.step()
        world.log.available = True
        world.loss = world.late_share = 0.0
        world.attached = {}
        for runner in world.runners:
            if runner.name not in world.agents:
                world.start_agent(runner)
        world.run(90)
        return world

    def _disturb(self, world: World) -> None:
        dice = world.random
        runner = dice.choice(world.runners)
        event = dice.random()
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
            if dice.random() < 0.5:
                # The former leader goes on until its next append is refused.
                world.attached[runner.name] = former
        elif event < 0.13:
            world.attached.clear()
        elif event < 0.14:
            world.log.available = False
        elif event < 0.18:
            world.log.available = True
        if world.late and dice.random() < 0.2:
            world.late.popleft().carry_out()
        if dice.random() < 0.02:
            world.clock.advance(timedelta(seconds=2))


class OverloadTests(AsyncTestCase):
    """Cost of decisions when far more work waits than hosts can hold."""

    def test_a_plan_looks_at_the_hosts_for_few_of_many_waiting_steps(self):
        """Guards against a leader that is too busy to answer hosts in a burst.

        At 72 hosts and 200 waiting jobs each decision looked at every host for each
        job, which took most of the processor of a small controller.
        """
        world = World(6, hosts=8, capacity=4000)
        for _ in range(16):
            world.submit(build_step(width=2, cpu=2000, lasting=True))
        world.run(2)
        for _ in range(200):
            world.submit(build_step(width=3, cpu=1000))
        world.run(1)
        leader = world.leader
        assert leader.cell is not None
        choose = Mock(wraps=Ranking)
        with patch.object(planner, "Ranking", choose):
            leader.cell.plan()
        self.assertLessEqual(choose.call_count, 2)

    def test_tasks_that_fill_are_looked_at_once_an_interval(self):
        """Guards against a search for hosts with each of many reports."""
        world = World(7, hosts=8, capacity=4000)
        world.run(1)
        world.submit(build_step(width=3, fills=True, label="missing"))
        world.run(1)
        leader = world.leader
        assert leader.cell is not None
        leader.cell.plan()
        order = Mock(wraps=order_steps)
        choose = Mock(wraps=Ranking)
        with (
            patch.object(planner, "order_steps", order),
            patch.object(planner, "Ranking", choose),
        ):
            for _ in range(10):
                leader.cell.plan()
        self.assertEqual(order.call_count, 10)
        self.assertEqual(choose.call_count, 0)

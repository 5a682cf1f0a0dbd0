"""Tests of runners that have more ended runs than they list at a time."""

from dataclasses import replace
from datetime import timedelta
from unittest.mock import patch

from egretcrank.agent.state import FULL_REPORT_INTERVAL
from egretcrank.platform.runner import RunnerSnapshot
from egretcrank.scheduling.records import Phase
from egretcrank.wire.hosting import EndedTask, HostReport, Run
from tests.cases import AsyncTestCase
from tests.cell_world import World, build_step, deliver

TASKS = 12
LISTED_ENDS = 3
# Longer than the tasks run, and shorter than the lease that the agent leaves behind.
DOWN_SECONDS = 3.5
SEEDS = range(1, 11)


def stop_agent(world: World) -> None:
    """Kill the agent of h0 while its runner goes on, and let all tasks there end."""
    del world.agents["h0"]
    world.run(DOWN_SECONDS)


def build_world(seed: int) -> tuple[World, str]:
    """Return a world whose tasks run on h0 alone, and their job."""
    world = World(seed, hosts=2, capacity=TASKS * 1000)
    runner, other = world.runners
    runner.listed_ends = LISTED_ENDS
    other.draining = True
    world.run(1)
    job_id = world.submit(build_step(width=TASKS))
    # No task ends that soon, so that all ends fall into the absence of the agent.
    world.run(0.3)
    other.draining = False
    return world, job_id


class RestartedAgentTests(AsyncTestCase):
    """Agents that learn from a cut list what their predecessor has started."""

    def check_runs(self, world: World, job_id: str) -> None:
        """Check that each task has run once, and that the job has completed."""
        world.run(12)
        self.assertEqual(world.violations, [])
        tasks = [task for task, _, _ in world.starts]
        self.assertEqual(len(tasks), TASKS)
        self.assertEqual(len(set(tasks)), TASKS)
        self.assertEqual(world.find_phase(job_id), Phase.COMPLETED)

    def test_ends_that_a_list_omits_are_not_taken_for_runs_that_are_gone(self):
        """Guards against a second run of tasks whose end is on a later page."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                world, job_id = build_world(seed)
                stop_agent(world)
                world.start_agent(world.runners[0])
                self.check_runs(world, job_id)

    def test_a_new_leader_waits_for_the_ends_that_a_list_omits(self):
        """Guards against a takeover that counts a cut list as all runs of a host."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                world, job_id = build_world(seed)
                stop_agent(world)
                world.leader.fenced = True
                world.elect()
                world.start_agent(world.runners[0])
                self.check_runs(world, job_id)

    def test_a_new_leader_waits_for_omitted_ends_beyond_the_longest_lease(self):
        """Guards against a takeover by time alone, while an agent renews the lease.

        The leadership is confirmed meanwhile, but no end becomes durable.
        """
        world, _ = build_world(1)
        stop_agent(world)
        world.leader.fenced = True
        world.elect()
        world.start_agent(world.runners[0])
        cell = world.leader.cell
        assert cell is not None
        with patch.object(cell, "mark_durable"):
            world.run(12)
            self.assertEqual(len(world.starts), TASKS)

    def test_a_new_leader_waits_for_omitted_ends_of_an_agent_that_is_gone_again(self):
        """Guards against a takeover while the leases renewed by that agent go on."""
        world, job_id = build_world(1)
        stop_agent(world)
        world.leader.fenced = True
        world.elect()
        # Attaches shortly before the longest lease of the former leader ends.
        world.run(2)
        world.start_agent(world.runners[0])
        with patch.object(world.leader.cell, "mark_durable"):
            world.run(1)
        del world.agents["h0"]
        world.run(4.5)
        self.assertEqual(len(world.starts), TASKS)
        world.start_agent(world.runners[0])
        self.check_runs(world, job_id)


class CutReportTests(AsyncTestCase):
    """Reports of agents that do not know all runs of their runner."""

    def test_a_cut_list_of_the_next_runner_process_drops_no_run(self):
        """Guards against a second run of what a killed agent started after a restart.

        Its runner and it have restarted, and the list of the new runner process is cut.
        """
        world, _ = build_world(3)
        cell = world.leader.cell
        assert cell is not None
        host = cell.hosts["h0"]
        running = len(host.tasks)
        self.assertGreater(running, 0)
        report = self.build_report(world)
        assert report.runner is not None
        report = replace(
            report,
            runner=report.runner._replace(born=report.runner.born + 1),
            running=(),
            ends_omitted=True,
        )
        deliver(world.leader, report)
        self.assertEqual(len(host.tasks), running)
        report = replace(report, sequence=report.sequence + 1, ends_omitted=False)
        deliver(world.leader, report)
        self.assertEqual(len(host.tasks), 0)

    def build_report(self, world: World) -> HostReport:
        """Return a full report of h0."""
        agent = world.agents["h0"]
        later = world.now() + FULL_REPORT_INTERVAL
        return agent.state.build_report(later, agent.pace)

    def test_a_run_whose_end_is_listed_is_not_reported_as_running(self):
        """Guards against a host out of use, as a run of a cut list seems unwanted."""
        world, _ = build_world(4)
        agent, runner = world.agents["h0"], world.runners[0]
        state = agent.state
        before = state.running
        run = Run(before[0].task, before[0].run)
        ended = (EndedTask(90, *run, "done", ""),)
        reply = RunnerSnapshot(
            runner.clock() + 1, runner.born, (), ended, has_more_ends=True
        )
        state.apply_snapshot(reply, world.now(), state.begin_poll())
        self.assertNotIn(run.task, [r.task for r in state.running])
        self.assertEqual(len(state.running), len(before) - 1)

    def test_an_agent_that_knows_all_runs_needs_no_further_whole_list(self):
        """Guards against runs that are never released beside many ended ones."""
        world, _ = build_world(5)
        state, runner = world.agents["h0"].state, world.runners[0]
        self.assertFalse(self.build_report(world).ends_omitted)
        reply = RunnerSnapshot(
            runner.clock() + 1, runner.born, (), (), has_more_ends=True
        )
        state.apply_snapshot(reply, world.now(), state.begin_poll())
        self.assertFalse(self.build_report(world).ends_omitted)

    def test_the_list_of_the_next_runner_process_is_whole_by_itself_only(self):
        """Guards against trust in a cut list as that of a former process was whole."""
        world, _ = build_world(6)
        agent, runner = world.agents["h0"], world.runners[0]
        runner.restart()
        agent.state.update_runner(runner.describe(), 1000)
        ended = (EndedTask(1, "0000000000000000.0.0.0", 1, "done", ""),)
        reply = RunnerSnapshot(
            runner.clock() + 1, runner.born, (), ended, has_more_ends=True
        )
        later = world.now() + timedelta(milliseconds=1)
        agent.state.apply_snapshot(reply, later, agent.state.begin_poll())
        self.assertTrue(self.build_report(world).ends_omitted)

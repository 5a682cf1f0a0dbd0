"""Tests of what counts as proof that a run has ended, at agents and at the leader."""

import socket
from datetime import timedelta

from egretcrank.agent.state import FULL_REPORT_INTERVAL
from egretcrank.errors.kinds import ErrorKind
from egretcrank.platform.calls import HttpClient
from egretcrank.platform.runner import RunnerSnapshot
from egretcrank.wire.hosting import EndedTask, Run
from tests.cases import AsyncTestCase
from tests.cell_world import TICK, World, build_step

TIMEOUT = timedelta(milliseconds=300)


class AgentEvidenceTests(AsyncTestCase):
    """Runs that an agent must not report as gone, because they may go on."""

    def setUp(self):
        super().setUp()
        self.world = World(61)
        self.world.submit(build_step(long_running=True, width=3))
        self.world.run(2)
        self.runner = self.world.runners[0]

    def test_a_lease_granted_by_a_former_agent_process_is_waited_for(self):
        """Guards against a second run after an agent restart and a silent runner."""
        self.world.start_agent(self.runner)
        self.world.step()
        self.runner.silent = True
        self.world.run(3)
        self.assertEqual(self.world.violations, [])
        self.assertEqual(len(self.world.starts), 3)
        self.world.run(6)
        self.assertEqual(self.world.violations, [])
        self.assertEqual(len(self.world.starts), 4)

    def test_a_late_unregistration_of_a_former_runner_ends_no_run(self):
        """Guards against a second run when a runner restarts under the same id."""
        self.runner.restart()
        self.world.run(2)
        self.assertEqual(len(self.runner.running), 1)
        agent = self.world.agents["h0"]
        agent.state.mark_runner_left(self.runner.name)
        self.runner.silent = True
        self.world.run(1)
        self.runner.silent = False
        self.world.run(3)
        self.assertEqual(self.world.violations, [])
        self.assertEqual(len(self.runner.running), 1)

    def test_a_host_is_in_use_again_after_a_late_unregistration(self):
        """Guards against losing a host whose runner's former process left late."""
        agent = self.world.agents["h0"]
        agent.state.mark_runner_left(self.runner.name)
        self.world.run(3)
        leader = self.world.leader
        assert leader.cell is not None
        self.assertTrue(leader.cell.hosts["h0"].is_usable(self.world.now()))

    def test_a_list_that_a_start_overtook_does_not_end_its_run(self):
        """Guards against a second run after a runner restart during a poll.

        The restarted runner answers a poll, then starts a task whose answer arrives
        first.
        """
        world = World(62, hosts=1)
        world.run(1)
        agent, runner = world.agents["h0"], world.runners[0]
        runner.restart()
        poll = agent.send_poll()
        agent.is_polling = False
        world.submit(build_step(width=1, long_running=True))
        while not runner.running:
            world.step()
        assert poll is not None
        agent.receive(poll)
        world.step()
        agent.is_polling = True
        world.run(2)
        self.assertEqual(world.violations, [])
        self.assertEqual(len(world.starts), 1)

    def test_a_list_of_a_former_runner_does_not_replace_that_of_the_next(self):
        """Guards against dropping runs when a reply of a dead runner is late."""
        agent = self.world.agents["h0"]
        former = agent.send_poll()
        self.runner.restart()
        self.world.run(1)
        born = self.runner.born
        assert former is not None
        agent.receive(former)
        self.assertEqual(agent.state.born, born)

    def test_an_unanswered_start_that_has_ended_is_not_listed_as_running(self):
        """Guards against a run that seems to go on after its end was acknowledged."""
        agent = self.world.agents["h0"]
        state, run = agent.state, Run("j.0.0.0", 1)
        ended = (EndedTask(1, *run, "done", ""),)
        reply = RunnerSnapshot(self.runner.clock(), self.runner.born, (), ended)
        now = self.world.now()
        state.durable_ends = 1
        self.assertTrue(state.resolve_start(run, reply, self.runner.born, now))
        later = now + FULL_REPORT_INTERVAL
        report = state.build_report(later, agent.pace)
        self.assertNotIn(run.task, [running.task for running in report.running])

    def test_a_run_that_is_left_out_of_a_full_list_of_ends_is_not_gone(self):
        """Guards against running a finished task again after a long log outage.

        A runner lists 500 ended tasks at a time.
        """
        agent = self.world.agents["h0"]
        state = agent.state
        (run,) = [Run(running.task, running.run) for running in state.running]
        ended = (EndedTask(1, "j.0.0.0", 1, "done", ""),)
        clock, born = self.runner.clock() + 1, self.runner.born
        reply = RunnerSnapshot(clock, born, (), ended, has_more_ends=True)
        state.apply_snapshot(reply, self.world.now(), state.begin_poll())
        self.assertEqual([(r.task, r.run) for r in state.running], [run])
        reply = RunnerSnapshot(clock + 1, born, (), ended)
        state.apply_snapshot(reply, self.world.now(), state.begin_poll())
        self.assertEqual(state.running, [])

    def test_tasks_do_not_wait_for_an_agent_without_a_runner(self):
        """Guards against tasks that wait forever for a host whose runner is gone.

        A restarted agent reports, but never lists the runs of a runner that does not
        reply.
        """
        self.runner.silent = True
        self.world.start_agent(self.runner)
        self.world.run(90 * TICK.total_seconds())
        self.assertEqual(self.world.violations, [])
        counts = [len(runner.running) for runner in self.world.runners[1:]]
        self.assertEqual(sorted(counts), [1, 2])


class RefusedConnectionTests(AsyncTestCase):
    """What a failed connection tells about the process at the address."""

    def test_only_a_refused_connection_tells_that_no_process_listens(self):
        """Guards against taking a runner that cannot be reached for one that ended."""
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{listener.getsockname()[1]}"
            refused = HttpClient(address, 1).call("POST", "/", b"", TIMEOUT)
            self.assertEqual(refused.failure().kind, ErrorKind.CONNECTION_REFUSED)
            listener.listen(1)
            silent = HttpClient(address, 1).call("POST", "/", b"", TIMEOUT)
            self.assertEqual(silent.failure().kind, ErrorKind.CALL_TIMEOUT)

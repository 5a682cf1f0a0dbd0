"""Tests of what counts as proof that a run has ended, at agents and at the leader."""

import socket
import threading
from datetime import timedelta
from unittest.mock import patch

from egretcrank.agent.daemon import Agent
from egretcrank.agent.pace import MEASUREMENT_INTERVAL
from egretcrank.agent.starts import WaitingStart
from egretcrank.agent.state import FULL_REPORT_INTERVAL, AgentState, Identity
from egretcrank.errors.kinds import ErrorKind
from egretcrank.platform.calls import HttpClient
from egretcrank.platform.runner import RunnerSnapshot
from egretcrank.scheduling.records import Phase
from egretcrank.wire.hosting import (
    EndedTask,
    Run,
    RunningTask,
    StartOrder,
    TaskProfile,
)
from tests.cases import AsyncTestCase
from tests.cell_world import TICK, World, build_step, hold_messages, lift_limit

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


class RegainedRunnerTests(AsyncTestCase):
    """Capacity of runs that go on while a restarted agent hears nothing of them."""

    def regain_a_full_runner(self, silence: float, cancelled: bool) -> World:
        """Restart an agent, keep its runner silent, and hand in another job."""
        world = World(61, hosts=1)
        step = build_step(long_running=True, cpu=2000)
        job = world.submit(step)
        world.run(2)
        runner = world.runners[0]
        self.assertEqual(len(runner.running), 2)
        world.start_agent(runner)
        world.step()
        runner.silent = True
        world.run(silence)
        if cancelled:
            world.cancel(job)
        world.submit(step)
        runner.silent = False
        world.run(4)
        return world

    def test_a_regained_runner_is_not_filled_over_its_capacity(self):
        """Guards against an overfull host and two runs after an agent restart."""
        for silence in (1.1, 1.5, 2.5):
            with self.subTest(silence=silence):
                world = self.regain_a_full_runner(silence, cancelled=False)
                self.assertEqual(world.violations, [])
                self.assertEqual(len(world.starts), 2)

    def test_runs_of_a_cancelled_job_hold_their_capacity_until_they_end(self):
        """Guards against an overfull host without a second run of any task."""
        for silence in (1.1, 1.5, 2.5):
            with self.subTest(silence=silence):
                world = self.regain_a_full_runner(silence, cancelled=True)
                self.assertEqual(world.violations, [])
                self.assertEqual(len(world.starts), 4)


class NextRunnerTests(AsyncTestCase):
    """Calls that the next process of a restarted runner carries out."""

    def hold_a_start(self, world: World) -> WaitingStart:
        """Return a start that the agent of h0 has accepted and not carried out."""
        for runner in world.runners[1:]:
            runner.draining = True
        world.run(0.5)
        with hold_messages(world, "h0") as held:
            world.submit(build_step(long_running=True, width=1))
            world.run(0.3)
        message = next(message for message in held if message.orders)
        world.agents["h0"].state.accept_orders(message)
        start = world.agents["h0"].state.take_start()
        for runner in world.runners[1:]:
            runner.draining = False
        assert start is not None
        return start

    def start_after_a_restart(self, world: World, start: WaitingStart) -> None:
        """Cut the host off, and restart its runner before the start."""
        agent, runner = world.agents.pop("h0"), world.runners[0]
        for _ in range(40):
            agent.poll_runner()
            world.step()
        runner.restart()
        world.clock.advance(TICK)
        # A leader of the previous release sets no limit to the wait of a start.
        agent.state._limits._until = None
        agent.start(start)
        self.assertEqual(len(runner.running), 1)
        for _ in range(60):
            agent.poll_runner()
            world.step()
        self.assertEqual(world.violations, [])

    def test_a_start_on_a_former_clock_does_not_outlast_the_authority(self):
        """Guards against a second run after a lost host has started the first late."""
        world = World(70)
        world.run(3)
        self.start_after_a_restart(world, self.hold_a_start(world))

    def test_a_start_on_a_former_clock_does_not_outlast_a_takeover(self):
        """Guards against a second run by a leader that waited for the lease."""
        world = World(70)
        world.run(3)
        start = self.hold_a_start(world)
        world.leader.fenced = True
        world.elect()
        self.start_after_a_restart(world, start)

    def restart_under_a_replaced_leader(self, restart_agent: bool) -> World:
        """Restart the runner of a host that has not heard of the next leader.

        The next runner process takes its lease from a poll that was meant for the
        former one, and starts a task whose order was on its way.
        """
        world = World(71)
        world.run(2)
        for runner in world.runners:
            runner.draining = True
        world.run(0.5)
        world.submit(build_step(long_running=True, width=1))
        world.run(0.5)
        former, runner = world.leader, world.runners[0]
        world.elect()
        world.attached["h0"] = former
        with patch.object(former, "commit"):
            world.run(2.3)
            runner.draining = False
            with hold_messages(world, "h0") as held:
                world.run(0.3)
            runner.restart()
            world.agents["h0"].poll_runner()
            for message in held:
                world.agents["h0"].handle_orders(lift_limit(message))
            self.assertEqual(len(runner.running), 1)
            if restart_agent:
                world.start_agent(runner)
            for other in world.runners[1:]:
                other.draining = False
            world.run(6)
        return world

    def test_a_poll_on_a_former_clock_does_not_outlast_a_takeover(self):
        """Guards against a second run beside one that a restarted runner holds."""
        world = self.restart_under_a_replaced_leader(restart_agent=False)
        self.assertEqual(world.violations, [])
        self.assertEqual(len(world.starts), 2)

    def test_a_restarted_agent_ends_runs_on_a_lease_of_a_former_clock(self):
        """Guards against a second run if a runner and then its agent restart."""
        world = self.restart_under_a_replaced_leader(restart_agent=True)
        self.assertEqual(world.violations, [])
        self.assertEqual(len(world.starts), 2)

    def test_nothing_is_acknowledged_to_an_unknown_runner(self):
        """Guards against ends that the next runner process forgets unrecorded."""
        world = World(90, hosts=1)
        job = world.submit(build_step(width=4))
        world.run(15)
        self.assertEqual(world.find_phase(job), Phase.COMPLETED)
        agent, runner = world.agents["h0"], world.runners[0]
        runner.restart()
        agent.state.mark_unanswered(agent.state.begin_poll(), world.now())
        agent.is_polling = False
        task = f"{world.submit(build_step(width=1))}.0.0.0"
        self.assertIsNone(agent.state.compute_lease_deadline(world.now()))
        start = StartOrder(task, 1, "", "", "", TaskProfile(1000, False, "", 0.0))
        self.assertEqual(runner.start(start, 5000, agent.token), "")
        runner.end(task, "done")
        agent.is_polling = True
        world.run(5)
        self.assertEqual(world.violations, [])

    def test_a_start_after_a_refused_poll_is_not_discarded_with_it(self):
        """Guards against a second run if a runner is back before the agent notes."""
        world = World(91)
        world.run(2)
        state, run = world.agents["h0"].state, Run("j.0.0.0", 1)
        state.mark_runner_left("h0")
        poll = state.begin_poll()
        state.mark_started(run, world.now(), state.born)
        state.expire_silent_runs(world.now(), refused=True, poll=poll)
        later = world.now() + FULL_REPORT_INTERVAL
        report = state.build_report(later, world.agents["h0"].pace)
        self.assertIn(run.task, [running.task for running in report.running])

    def test_a_stop_that_overtakes_its_start_is_carried_out(self):
        """Guards against a cancelled task that goes on as its stop came too early."""
        world = World(92, hosts=1)
        world.run(2)
        agent, runner = world.agents["h0"], world.runners[0]
        job = world.submit(build_step(long_running=True, width=1))
        with hold_messages(world, "h0") as held:
            world.run(0.3)
            world.cancel(job)
            world.run(0.3)
        orders = [m for m in held if m.orders]
        agent.state.accept_orders(orders[0])
        start = agent.state.take_start()
        assert start is not None
        agent.state.accept_orders(orders[-1])
        agent.poll_runner()
        agent.start(start)
        world.run(3)
        self.assertEqual(runner.running, {})

    def test_a_runner_whose_time_of_day_went_back_is_used_again(self):
        """Guards against tasks that wait for a runner whose heartbeats are ignored."""
        world = World(93)
        for runner in world.runners:
            runner.born = 1000
        world.submit(build_step(long_running=True, width=3))
        world.run(2)
        world.runners[0].born = 500
        world.runners[0].restart()
        world.run(5)
        self.assertEqual(sum(len(runner.running) for runner in world.runners), 3)


class ConcurrentCallTests(AsyncTestCase):
    """Replies that an agent's threads handle in another order than they came."""

    def setUp(self):
        super().setUp()
        self.state = AgentState(Identity("h", "h:1", "i"))
        self.state.authority_until = timedelta(seconds=1006)
        self.receive(1000, 1.0, 1, self.state.begin_poll())
        self.state.durable_ends = 7
        self.run_ = Run("j.0.0.0", 1)

    def receive(self, clock: int, seconds: float, born: int, poll: int) -> None:
        """Receive a list without runs at ``seconds`` after 999 s."""
        reply = RunnerSnapshot(clock, born, (), ())
        self.state.apply_snapshot(reply, timedelta(seconds=999 + seconds), poll)

    def test_a_reply_to_an_earlier_poll_tells_nothing_after_a_refused_one(self):
        """Guards against acknowledging ends of a former runner to the next one."""
        earlier = self.state.begin_poll()
        failed_at = timedelta(seconds=1000.2)
        self.state.mark_unanswered(self.state.begin_poll(), failed_at)
        self.receive(1100, 1.3, 1, earlier)
        self.assertEqual(self.state.acknowledged_ends, 0)
        now = timedelta(seconds=1000.3)
        self.assertIsNone(self.state.compute_lease_deadline(now))
        self.receive(1200, 1.4, 1, self.state.begin_poll())
        self.assertEqual(self.state.acknowledged_ends, 7)

    def test_a_start_on_a_former_clock_that_comes_late_outlasts_no_authority(self):
        """Guards against a lease of a lost host that the leader does not know of."""
        self.state._starting[self.run_] = 1
        self.receive(5, 2.0, 2, self.state.begin_poll())
        self.state.mark_started(self.run_, timedelta(seconds=1003.5), born=1)
        self.state.authority_until = timedelta(seconds=1008.8)
        listed = (RunningTask(*self.run_, "", 0, 0.0),)
        reply = RunnerSnapshot(7900, 2, listed, ())
        now = timedelta(seconds=1008)
        self.state.apply_snapshot(reply, now, self.state.begin_poll())
        self.assertEqual(self.state.take_stop(now), self.run_)

    def test_a_stop_outlasts_a_restart_and_a_silence_of_the_runner(self):
        """Guards against a cancelled task whose start was still on its way."""
        self.state._starting[self.run_] = 1
        self.state._stops.add(self.run_)
        self.state._running[Run("k.0.0.0", 1)] = RunningTask("k.0.0.0", 1, "", 0, 0.0)
        poll = self.state.begin_poll()
        later = timedelta(seconds=1008)
        self.assertTrue(self.state.expire_silent_runs(later, refused=False, poll=poll))
        self.receive(5, 9.1, 2, self.state.begin_poll())
        self.state.mark_started(self.run_, timedelta(seconds=1008.2), born=2)
        listed = (RunningTask(*self.run_, "", 0, 0.0),)
        now = timedelta(seconds=1008.5)
        reply = RunnerSnapshot(500, 2, listed, ())
        self.state.apply_snapshot(reply, now, self.state.begin_poll())
        self.assertEqual(self.state.take_stop(now), self.run_)


class LookTests(AsyncTestCase):
    """Order of the polls of an agent's runner."""

    def test_the_lease_is_renewed_right_after_a_poll_that_was_not_answered(self):
        """Guards against leases that lapse while every second poll fails.

        The poll after a failed one carries no lease, and the next one may fail while
        the runner holds it.
        """
        agent = Agent.__new__(Agent)
        agent._lock = threading.RLock()
        agent._stopping = threading.Event()
        agent._state = AgentState(Identity("h", "h:1", "i"))
        replies = [True, False, True, True, True]
        waits: list[timedelta] = []

        def poll(wait: timedelta) -> bool:
            waits.append(wait)
            if len(waits) == len(replies):
                agent._stopping.set()
            return replies[len(waits) - 1]

        with patch.object(agent, "_poll_runner", poll):
            agent._run_looks()
        held, at_once = MEASUREMENT_INTERVAL, timedelta()
        self.assertEqual(waits, [at_once, held, at_once, at_once, held])


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

"""Tests of what a leader concludes from reports and registrations of hosts."""

from dataclasses import replace
from datetime import timedelta
from unittest.mock import patch

from egretcrank.agent.state import AgentState, Identity
from egretcrank.scheduling.cell import SILENT_HOST_RETENTION
from egretcrank.scheduling.records import Phase
from egretcrank.wire.hosting import HostOrders, HostReport, Run, RunningTask
from tests.cases import AsyncTestCase
from tests.cell_world import (
    SETTINGS,
    Agent,
    World,
    build_step,
    deliver,
    hold_messages,
    lift_limit,
)


def build_full_report(world: World, name: str) -> HostReport:
    """Build a full report of a host's agent that is still on its way."""
    agent = world.agents[name]
    world.clock.advance(timedelta(seconds=1))
    agent.poll_runner()
    report = agent.state.build_report(world.now(), agent.pace)
    assert report.full
    return report


def use_only(world: World, *names: str) -> None:
    """Drain all runners but these, so that tasks start only there."""
    for runner in world.runners:
        runner.draining = bool(names) and runner.name not in names
    world.run(0.2)


def run_short_tasks(world: World, name: str) -> None:
    """Run a job on one host until it is complete."""
    use_only(world, name)
    job = world.submit(build_step(width=3))
    world.run(6)
    assert world.find_phase(job) is Phase.COMPLETED
    use_only(world)


class DelayedReportTests(AsyncTestCase):
    """Reports that were held up on a former connection of the host."""

    def test_a_delayed_full_report_of_a_former_agent_process_releases_nothing(self):
        """Guards against a second run of what a host started since that report."""
        world = World(30)
        world.run(2)
        delayed = build_full_report(world, "h0")
        world.start_agent(world.runners[0])
        world.run(1)
        world.submit(build_step(long_running=True, width=3))
        world.run(1)
        self.assertEqual([len(r.running) for r in world.runners], [1, 1, 1])
        deliver(world.leader, delayed)
        world.run(3)
        self.assertEqual(world.violations, [])

    def test_a_delayed_report_of_a_former_runner_process_releases_nothing(self):
        """Guards against a second run because the runner seems to have restarted.

        The former process was draining, so that the run is placed elsewhere.
        """
        world = World(31)
        world.run(2)
        world.runners[0].draining = True
        delayed = build_full_report(world, "h0")
        world.runners[0].draining = False
        world.runners[0].restart()
        world.start_agent(world.runners[0])
        world.run(1)
        world.submit(build_step(long_running=True, width=3))
        world.run(1)
        deliver(world.leader, delayed)
        world.run(3)
        self.assertEqual(world.violations, [])

    def test_a_delayed_report_of_a_voided_session_leaves_orders_in_flight_alone(self):
        """Guards against a second run while the order of the first is on its way.

        The host was lost and came back with another agent process.
        """
        world = World(32)
        world.submit(build_step(long_running=True, width=3))
        world.run(2)
        delayed = build_full_report(world, "h0")
        del world.agents["h0"]
        world.run(7.5)
        world.start_agent(world.runners[0])
        world.run(1)
        self.assertGreater(world.agents["h0"].state.session, delayed.session)
        self.check_an_order_in_flight(world, delayed)

    def test_a_delayed_first_report_of_a_former_agent_leaves_orders_in_flight_alone(
        self,
    ):
        """Guards against a second run after a report that is not even full."""
        world = World(33)
        world.run(2)
        former = Agent(world, world.runners[0], 99)
        delayed = former.state.build_report(world.now(), former.pace)
        self.assertFalse(delayed.full)
        world.run(1)
        self.check_an_order_in_flight(world, delayed)

    def test_a_delayed_report_from_before_the_attachment_leaves_orders_in_flight_alone(
        self,
    ):
        """Guards against a second run after a report of the same agent process.

        It sent the report to the new leader, got no answer, connected again and
        attached over the second connection.
        """
        world = World(34)
        world.run(2)
        world.leader.fenced = True
        world.elect()
        agent = world.agents["h0"]
        delayed = agent.state.build_report(world.now(), agent.pace)
        world.run(1)
        self.assertLess(delayed.epoch, agent.state.epoch)
        self.check_an_order_in_flight(world, delayed)

    def test_an_older_report_of_the_current_session_releases_nothing(self):
        """Guards against a second run if reports of one session change their order."""
        world = World(38)
        world.run(2)
        delayed = build_full_report(world, "h0")
        world.run(0.3)
        world.submit(build_step(long_running=True, width=3))
        world.run(1)
        self.assertEqual([len(r.running) for r in world.runners], [1, 1, 1])
        deliver(world.leader, delayed)
        world.run(3)
        self.assertEqual(world.violations, [])
        self.assertEqual(len(world.starts), 3)

    def check_an_order_in_flight(self, world: World, delayed: HostReport) -> None:
        use_only(world, "h0")
        with hold_messages(world, "h0") as held:
            job = world.submit(build_step(long_running=True, width=3))
            world.run(0.3)
            self.assertTrue(any(message.orders for message in held))
            deliver(world.leader, delayed)
            use_only(world)
            # Until the next full report of the agent.
            world.run(1.2)
        for message in held:
            world.agents["h0"].handle_orders(lift_limit(message))
        self.assertEqual(world.violations, [])
        world.run(3)
        self.assertEqual(world.violations, [])
        self.assertEqual(world.find_phase(job), Phase.RUNNING)

    def test_a_stop_after_a_delayed_report_is_carried_out(self):
        """Guards against a cancelled task that goes on, as its stop has an old number.

        The agent ignores orders whose numbers it has applied in the session before.
        """
        world = World(35)
        world.run(2)
        run_short_tasks(world, "h0")
        use_only(world, "h0")
        job = world.submit(build_step(long_running=True, width=1))
        world.run(1)
        self.assertEqual(len(world.runners[0].running), 1)
        former = Agent(world, world.runners[0], 99)
        deliver(world.leader, former.state.build_report(world.now(), former.pace))
        world.run(1.5)
        world.cancel(job)
        world.run(5)
        self.assertEqual(list(world.runners[0].running), [])

    def test_a_delayed_report_from_before_a_reboot_extends_no_lease(self):
        """Guards against runs that outlive the authority, and second runs of them.

        The clock of the machine before its reboot was far ahead.
        """
        world = World(36)
        world.submit(build_step(long_running=True, width=3))
        world.run(2)
        former = Agent(world, world.runners[0], 99)
        state = world.agents["h0"].state
        former.state.epoch, former.state.session = state.epoch, state.session
        later = world.now() + timedelta(hours=1)
        deliver(world.leader, former.state.build_report(later, former.pace))
        world.run(0.1)
        cut_off = world.agents.pop("h0")
        for _ in range(100):
            cut_off.poll_runner()
            world.step()
        self.assertEqual(world.violations, [])


class DelayedReplyTests(AsyncTestCase):
    """Replies that were meant for a former agent process of the host."""

    def test_a_reply_to_a_former_agent_process_confirms_no_report(self):
        """Guards against a refusal that the leader never hears of."""
        world = World(37)
        world.run(2)
        agent = world.agents["h0"]
        agent.state.mark_refused(Run("j.0.0.0", 1), "room")
        report = agent.state.build_report(world.now(), agent.pace)
        self.assertEqual(len(report.refused), 1)
        reply = HostOrders(
            epoch=report.epoch,
            session=report.session,
            incarnation="former",
            report_sequence=report.sequence,
        )
        agent.state.confirm_report(reply)
        again = agent.state.build_report(world.now(), agent.pace)
        self.assertEqual(again.refused, report.refused)


class RegistrationTests(AsyncTestCase):
    """Hosts that a new leader does not find on the log."""

    def test_a_host_removed_while_its_presence_is_appended_is_not_registered(self):
        """Guards against a second run by a leader that does not wait for the host."""
        world = World(40)
        cell = world.leader.cell
        assert cell is not None
        while "h0" not in cell.hosts or not cell.hosts["h0"].attached:
            world.step()
        # The first append of the host is slow, so that another report of it follows.
        world.log.available = False
        world.run(0.3)
        world.log.available = True
        world.step()
        self.assertTrue(cell.hosts["h0"].registered)
        # The append that repeats its presence is slow; meanwhile its runner leaves.
        world.log.available = False
        world.step()
        world.runners[0].silent = True
        world.agents["h0"].state.mark_runner_left("h0")
        world.run(0.3)
        # The append ends after the last report that the runner has left.
        world.log.available = True
        world.runners[0].restart()
        world.runners[0].silent = False
        world.run(2)
        world.submit(build_step(long_running=True, width=3))
        world.run(2)
        self.assertEqual(len(world.runners[0].running), 1)
        self.check_a_change_of_leader(world)
        self.assertIn("h0", world.table.hosts)

    def check_a_change_of_leader(self, world: World) -> None:
        """Elect a leader that the agent of h0 has not heard of yet."""
        former = world.leader
        world.elect()
        world.attached["h0"] = former
        world.run(1)
        self.assertEqual(world.violations, [])

    def test_the_first_report_of_a_runner_that_left_unregisters_no_host_with_runs(self):
        """Guards against a second run by a leader that does not wait for the host.

        The unregistration was a late one. The next leader is elected before another
        report registers the host again.
        """
        world = World(41)
        world.submit(build_step(long_running=True, width=3))
        world.run(2)
        world.leader.fenced = True
        world.elect()
        second = world.leader
        assert second.cell is not None
        world.agents["h0"].state.mark_runner_left("h0")
        while not second.cell.hosts["h0"].attached:
            world.step()
        second.commit()
        self.assertIn("h0", world.table.hosts)
        second.fenced = True
        self.check_a_change_of_leader(world)

    def test_a_host_at_another_address_is_registered_again(self):
        """Guards against announcements to an address that the host has left."""
        world = World(42)
        world.run(1)
        world.start_agent(world.runners[0])
        identity = Identity("h0", "h0:2", "i9")
        world.agents["h0"].state = AgentState(identity)
        world.run(1)
        self.assertEqual(world.table.hosts["h0"].address, "h0:2")

    def test_a_runner_that_left_does_not_unregister_a_host_whose_runs_are_unknown(self):
        """Guards against a second run by a leader that does not wait for the host.

        The agent took a late unregistration for the end of a runner that goes on. It
        reports to a new leader, which is replaced before the host has attached.
        """
        world = World(41)
        world.submit(build_step(long_running=True, width=3))
        world.run(2)
        world.leader.fenced = True
        world.elect()
        second = world.leader
        world.agents["h0"].state.mark_runner_left("h0")
        with hold_messages(world, "h0"):
            world.run(0.2)
        self.assertIsNotNone(second.cell)
        self.check_a_change_of_leader(world)
        self.assertIn("h0", world.table.hosts)


class SessionTests(AsyncTestCase):
    """Numbers of orders and sessions after a host was silent."""

    def test_starts_on_a_host_that_was_silent_without_tasks_are_carried_out(self):
        """Guards against orders that the agent takes for applied ones."""
        world = World(50)
        world.run(2)
        run_short_tasks(world, "h0")
        agent = world.agents.pop("h0")
        self.assertGreater(agent.state.applied, 0)
        world.run((SETTINGS.lease + SETTINGS.lease_margin).total_seconds() + 1)
        world.agents["h0"] = agent
        world.run(1)
        use_only(world, "h0")
        job = world.submit(build_step(long_running=True, width=1))
        with self.assertLogs("egretcrank", "INFO") as captured:
            world.run(1.5)
        ended = [
            vars(record)["reason"]
            for record in captured.records
            if record.getMessage() == "run ended"
        ]
        self.assertEqual(ended, [])
        self.assertEqual(world.find_phase(job), Phase.RUNNING)

    def test_a_host_that_was_forgotten_after_a_loss_attaches_again(self):
        """Guards against a host whose agent knows a later session than the leader."""
        world = World(51)
        world.submit(build_step(long_running=True, width=3))
        world.run(2)
        agent = world.agents.pop("h0")
        session = agent.state.session
        world.run(7.5)
        world.agents["h0"] = agent
        world.run(1)
        self.assertGreater(agent.state.session, session)
        del world.agents["h0"]
        world.run(SILENT_HOST_RETENTION.total_seconds() + 1)
        world.agents["h0"] = agent
        world.run(5)
        cell = world.leader.cell
        assert cell is not None
        self.assertTrue(cell.hosts["h0"].attached)

    def test_orders_of_a_lost_host_stay_void_after_it_was_forgotten(self):
        """Guards against a second run by a start that its agent executes late."""
        world = World(52)
        world.run(2)
        use_only(world, "h0")
        agent = world.agents["h0"]
        with hold_messages(world, "h0") as held:
            world.submit(build_step(long_running=True, width=1))
            world.run(0.3)
        message = next(message for message in held if message.orders)
        # The agent accepts the order, but is stopped before it carries it out.
        agent.state.accept_orders(message)
        start = agent.state.take_start()
        assert start is not None
        del world.agents["h0"]
        use_only(world)
        world.run((SETTINGS.lease + SILENT_HOST_RETENTION).total_seconds() + 2)
        self.assertEqual(len(world.starts), 1)
        world.agents["h0"] = agent
        world.run(0.5)
        agent.start(start)
        self.assertEqual(world.violations, [])


class FormerLeaderTests(AsyncTestCase):
    """A leader that has been replaced and cannot reach the log to learn of it."""

    def test_a_restarted_agent_takes_no_start_of_a_replaced_leader(self):
        """Guards against a second run that a former leader starts after a takeover.

        The host had attached to the new leader, but the next process of its agent
        does not know the epoch any more.
        """
        world = World(60)
        world.run(2)
        for runner in world.runners:
            runner.draining = True
        world.run(1)
        job = world.submit(build_step(long_running=True, width=1))
        world.run(0.5)
        former = world.leader
        world.elect()
        with patch.object(former, "commit"):
            world.run(0.3)
            world.runners[1].draining = False
            world.run(0.5)
            self.assertEqual([host for _, _, host in world.starts], ["h1"])
            world.start_agent(world.runners[0])
            world.attached["h0"] = former
            world.runners[0].draining = False
            world.run(2)
        self.assertEqual(world.violations, [])
        self.assertEqual(world.find_phase(job), Phase.RUNNING)

    def test_a_replaced_leader_does_not_give_up_a_host_of_its_successor(self):
        """Guards against a second run of what its successor keeps running."""
        world = World(61)
        world.run(2)
        use_only(world, "h0")
        world.submit(build_step(long_running=True, width=1))
        world.run(0.5)
        use_only(world)
        agent = world.agents.pop("h0")
        for _ in range(30):
            agent.poll_runner()
            world.step()
        former = world.leader
        world.elect()
        world.attached = {"h1": former, "h2": former}
        world.agents["h0"] = agent
        with patch.object(former, "commit"):
            world.run(8)
        self.assertEqual(world.violations, [])
        self.assertEqual(len(world.starts), 1)

    def test_a_replaced_leader_starts_nothing_of_a_host_it_has_not_heard_of(self):
        """Guards against a second run by a leader that was replaced at its takeover."""
        world = World(62)
        world.run(2)
        use_only(world, "h0")
        world.submit(build_step(long_running=True, width=1))
        world.run(0.5)
        use_only(world)
        agent = world.agents.pop("h0")
        world.leader.fenced = True
        world.elect()
        for _ in range(20):
            agent.poll_runner()
            world.step()
        second = world.leader
        world.elect()
        world.attached = {"h1": second, "h2": second}
        world.agents["h0"] = agent
        with patch.object(second, "commit"):
            world.run(8)
        self.assertEqual(world.violations, [])
        self.assertEqual(len(world.starts), 1)

    def test_a_replaced_leader_starts_nothing_on_a_restarted_runner(self):
        """Guards against a second run of what a silent runner goes on with.

        The restarted runner holds a lease that was meant for the former process and
        outlasts the authority, and its agent cannot stop its runs.
        """
        world = World(63)
        world.run(2)
        use_only(world, "h0")
        world.submit(build_step(long_running=True, width=1))
        world.run(0.5)
        use_only(world)
        former, runner = world.leader, world.runners[0]
        self.assertEqual(len(runner.running), 1)
        world.elect()
        world.attached["h0"] = former
        with patch.object(former, "commit"):
            world.run(2.5)
            runner.restart()
            world.run(1)
            runner.silent = True
            world.run(6)
        self.assertEqual(world.violations, [])
        self.assertEqual(len(world.starts), 2)


class RepetitionTests(AsyncTestCase):
    """Repetitions that a leader with a later time of day has started."""

    def start_second_occurrence(self, world: World) -> str:
        """Run a job until its second occurrence starts; return the host of that."""
        world.submit(
            build_step(width=1),
            repetitions=2,
            first_run=world.clock.now() + timedelta(seconds=1),
            interval=timedelta(seconds=5),
        )
        while len(world.starts) < 2:
            world.step()
        world.leader.fenced = True
        return world.starts[-1][2]

    def test_an_end_of_an_occurrence_that_is_not_due_yet_is_kept(self):
        """Guards against repeating an occurrence whose end was acknowledged."""
        world = World(80, hosts=2)
        self.start_second_occurrence(world)
        now = world.clock.now
        with patch.object(world.clock, "now", lambda: now() - timedelta(seconds=5)):
            world.elect()
            with hold_messages(world, "h0"), hold_messages(world, "h1"):
                world.run(3)
            world.run(9)
        self.assertEqual(world.violations, [])
        self.assertEqual(len(world.starts), 2)

    def test_a_run_of_an_occurrence_that_is_not_due_yet_is_adopted(self):
        """Guards against two runs of an occurrence around a change of leader."""
        world = World(80, hosts=2)
        host = self.start_second_occurrence(world)
        runner = next(runner for runner in world.runners if runner.name == host)
        for task, active in runner.running.items():
            ends_at = world.now() + timedelta(seconds=8)
            runner.running[task] = active._replace(ends_at=ends_at)
        now = world.clock.now
        with patch.object(world.clock, "now", lambda: now() - timedelta(seconds=2)):
            world.elect()
            world.run(12)
        self.assertEqual(world.violations, [])
        self.assertEqual(len(world.starts), 2)

    def test_tasks_of_an_adopted_occurrence_wait_until_it_is_due(self):
        """Guards against starting the other tasks of an occurrence too early."""
        world = World(81, hosts=2)
        first = world.clock.now() + timedelta(seconds=4)
        job_id = world.submit(
            build_step(width=3),
            repetitions=2,
            first_run=first,
            interval=timedelta(seconds=4),
        )
        world.run(1)
        report = build_full_report(world, "h0")
        running = RunningTask(f"{job_id}.1.0.0", 1, "", 0, 0.0)
        deliver(world.leader, replace(report, running=(running,)))
        cell = world.leader.cell
        assert cell is not None
        self.assertEqual(set(cell.jobs[job_id].occurrences), {0, 1})
        world.run(1.5)
        self.assertEqual(world.starts, [])
        world.run(10)
        self.assertEqual(world.find_phase(job_id), Phase.COMPLETED)

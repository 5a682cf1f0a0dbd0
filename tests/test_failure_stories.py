"""Tests of failures known from similar systems, see docs/failure-stories.md."""

from datetime import timedelta
from typing import Any

from egretcrank.agent.state import AgentState, Identity
from egretcrank.scheduling.records import Phase
from egretcrank.wire.hosting import HostOrders, NumberedOrder, StartOrder, TaskProfile
from tests.cases import AsyncTestCase
from tests.cell_world import TICK, World, build_step, lift_limit

# Longest time for which hosts keep their leases without contact to the leader, minus
# the maximum age of a report.
SILENCE = timedelta(seconds=5)


class SilenceTests(AsyncTestCase):
    """Hosts that are silent for a while or report late."""

    def test_a_host_that_is_silent_for_a_while_keeps_its_work(self):
        """Guards against starting tasks elsewhere, or dropping them, too soon."""
        world = World(51)
        job = world.submit(build_step(long_running=True, width=3))
        world.run(2)
        starts = list(world.starts)
        agent = world.agents.pop("h0")
        for _ in range(SILENCE // TICK):
            agent.poll_runner()
            world.step()
        world.agents["h0"] = agent
        world.run(3)
        self.assertEqual(world.starts, starts)
        self.assertEqual([len(runner.running) for runner in world.runners], [1, 1, 1])
        self.assertEqual(world.find_phase(job), Phase.RUNNING)

    def test_reports_that_come_late_leave_work_alone(self):
        """Guards against losing a host because its reports are seconds late."""
        world = World(52)
        world.submit(build_step(long_running=True, width=3))
        world.run(2)
        starts = list(world.starts)
        agent = world.agents.pop("h0")
        for _ in range(5):
            for _ in range(timedelta(seconds=2) // TICK):
                agent.poll_runner()
                world.step()
            world.agents["h0"] = agent
            world.step()
            del world.agents["h0"]
        self.assertEqual(world.starts, starts)
        self.assertEqual(world.violations, [])

    def test_a_new_leader_lets_a_host_go_on_that_reports_late(self):
        """Guards against a takeover that loses the runs of a slow host."""
        world = World(53)
        world.submit(build_step(long_running=True, width=3))
        world.run(2)
        starts = list(world.starts)
        agent = world.agents.pop("h0")
        world.leader.fenced = True
        world.elect()
        for _ in range(timedelta(seconds=4) // TICK):
            agent.poll_runner()
            world.step()
        world.agents["h0"] = agent
        world.run(3)
        self.assertEqual(world.starts, starts)
        self.assertEqual([len(runner.running) for runner in world.runners], [1, 1, 1])


class HandOverTests(AsyncTestCase):
    """Two leaders that act at the same time for a moment."""

    def test_orders_of_two_leaders_start_each_task_once(self):
        """Guards against orders that are sent twice around a takeover."""
        for seed in range(20):
            world = World(100 + seed)
            world.run(1)
            former = world.leader
            job = world.submit(build_step(width=6, cpu=500))
            world.step()
            world.elect()
            # The former leader keeps acting until its next append is refused.
            world.attached = {"h0": former, "h1": former}
            world.run(0.3)
            world.attached = {}
            world.run(15)
            self.assertEqual(world.violations, [], f"seed {seed}")
            self.assertEqual(world.find_phase(job), Phase.COMPLETED)
            tasks = [task for task, _, _ in world.starts]
            self.assertEqual(len(set(tasks)), 6)


class PauseTests(AsyncTestCase):
    """Processes that were paused while a lease expired."""

    def _capture_orders(self, world: World) -> list[tuple[Any, str, HostOrders]]:
        """Run the leader and capture its messages instead of sending them."""
        captured: list[tuple[Any, str, HostOrders]] = []
        send = world.send
        world.send = lambda *arguments: captured.append(arguments)  # type: ignore
        world.run(0.3)
        world.send = send  # type: ignore[method-assign]
        return captured

    def test_orders_of_a_leader_that_was_paused_start_nothing(self):
        """Guards against starts by orders that arrive after the leadership ended."""
        world = World(54)
        world.run(1)
        world.submit(build_step(width=3))
        captured = self._capture_orders(world)
        self.assertTrue(any(message.orders for _, _, message in captured))
        agents, world.agents = world.agents, {}
        world.clock.advance(timedelta(seconds=8))
        for _, name, message in captured:
            agents[name].poll_runner()
            agents[name].handle_orders(lift_limit(message))
        self.assertEqual(world.starts, [])

    def test_an_agent_that_was_paused_starts_nothing_it_has_no_lease_for(self):
        """Guards against a start after the granted lease expired."""
        state = AgentState(Identity("h", "h:1", "i"))
        profile = TaskProfile(1000, False, "", 0.0)
        start = StartOrder("j.0.0.0", 1, "", "", "", profile)
        message = HostOrders(
            epoch=1,
            session=0,
            incarnation="i",
            report_sent_at=100.0,
            authority_seconds=5.0,
            orders=(NumberedOrder(1, start=start),),
            specs={"j": "spec"},
        )
        self.assertEqual(len(state.accept_orders(message)), 1)
        state._clock_base = (1000, timedelta(seconds=101))
        self.assertIsNotNone(state.compute_lease_deadline(timedelta(seconds=101.5)))
        state._clock_base = (7000, timedelta(seconds=107))
        self.assertIsNone(state.compute_lease_deadline(timedelta(seconds=107)))


class LostAnswerTests(AsyncTestCase):
    """Answers that were lost after the task had run."""

    def test_a_task_whose_end_was_told_in_vain_does_not_run_again(self):
        """Guards against a second run if all reports of the end are lost."""
        world = World(55)
        job = world.submit(build_step(width=3))
        while not all(len(runner.running) for runner in world.runners):
            world.step()
        world.loss_probability = 1.0
        world.run(4)
        former = world.leader
        world.loss_probability = 0.0
        former.fenced = True
        world.elect()
        world.run(10)
        self.assertEqual(world.violations, [])
        self.assertEqual(len(world.starts), 3)
        self.assertEqual(world.find_phase(job), Phase.COMPLETED)

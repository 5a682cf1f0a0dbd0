"""Tests of runners that come back as another kind, or for another service."""

from dataclasses import replace
from typing import NamedTuple

from egretcrank.wire.hosting import HostOrders, is_use_changed
from tests.cases import AsyncTestCase
from tests.cell_world import (
    HEARTBEAT_INTERVAL,
    TICK,
    World,
    build_step,
    hold_messages,
    lift_limit,
)

KINDS = ("a", "b")
FUZZ_SEEDS = range(12)
FUZZ_TICKS = 300


def build_world(seed: int, hosts: int = 1) -> World:
    """Build a world whose runners send heartbeats as on the platform."""
    world = World(seed, hosts=hosts)
    world.heartbeat_interval = HEARTBEAT_INTERVAL
    world.run(2)
    return world


class Offer(NamedTuple):
    """Kind and service of the next process of a runner."""

    kind: str = "a"
    service: str = "s"


class HeldOrderTests(AsyncTestCase):
    """Orders that reach an agent after its runner has changed."""

    def hand_over_late(self, world: World, offer: Offer) -> None:
        """Order a task of kind a on h0, and deliver the order to its next process."""
        runner = world.runners[0]
        with hold_messages(world, "h0") as held:
            world.submit(build_step(width=1, long_running=True, label="a"))
            world.run(0.3)
            runner.kind, runner.service = offer
            runner.restart()
            # The agent learns of the next process, and its report is lost.
            world.loss_probability = 1.0
            world.run(0.2)
            world.loss_probability = 0.0
            self.assertTrue(any(message.orders for message in held))
            for message in held:
                world.agents["h0"].handle_orders(lift_limit(message))

    def test_an_order_that_was_held_up_is_not_carried_out_by_another_kind(self):
        """Guards against a start by the labels of a former process of the runner."""
        world = build_world(1)
        self.hand_over_late(world, Offer(kind="b"))
        world.run(5)
        self.assertEqual(world.violations, [])
        self.assertEqual(world.starts, [])

    def test_an_order_that_was_held_up_is_not_carried_out_for_another_service(self):
        """Guards against a start on a runner that serves other queues by now."""
        world = build_world(2)
        self.hand_over_late(world, Offer(service="t"))
        world.run(5)
        self.assertEqual(world.violations, [])
        self.assertEqual(world.starts, [])

    def test_an_order_that_was_held_up_is_carried_out_by_a_like_process(self):
        """Guards against refusals by a runner that is as good as the former one."""
        world = build_world(3)
        self.hand_over_late(world, Offer())
        self.assertEqual(len(world.starts), 1)
        world.run(5)
        self.assertEqual(world.violations, [])
        self.assertEqual(len(world.runners[0].running), 1)

    def test_an_order_that_changed_runners_refuse_is_carried_out_elsewhere(self):
        """Guards against a task that waits for the host that refused it."""
        world = build_world(4, hosts=2)
        world.runners[1].draining = True
        world.run(2)
        self.hand_over_late(world, Offer(kind="b"))
        world.runners[1].draining = False
        world.run(3)
        self.assertEqual(world.violations, [])
        self.assertEqual(len(world.runners[1].running), 1)

    def test_a_host_that_refused_another_kind_takes_its_own_at_once(self):
        """Guards against half a second without starts after such a refusal."""
        world = build_world(5)
        self.hand_over_late(world, Offer(kind="b"))
        world.step()
        world.submit(build_step(width=1, long_running=True, label="b"))
        world.run(0.3)
        self.assertEqual(len(world.starts), 1)

    def test_a_leader_of_the_previous_release_has_its_orders_carried_out(self):
        """Guards against an agent that refuses everything during an update."""
        world = build_world(6)
        send = world.send

        def send_without_requirements(leader, name, message: HostOrders) -> None:
            send(leader, name, replace(message, requirements=None))

        world.send = send_without_requirements  # type: ignore[method-assign]
        world.submit(build_step(width=1, long_running=True, label="a"))
        world.run(1)
        self.assertEqual(len(world.starts), 1)


class LeaderTests(AsyncTestCase):
    """Leaders that place tasks by what a runner was."""

    def test_a_runner_gets_no_starts_before_it_has_described_itself(self):
        """Guards against orders by the labels of a former process of the runner."""
        world = build_world(7)
        runner = world.runners[0]
        runner.kind, runner.first_heartbeat_delay = "b", HEARTBEAT_INTERVAL
        runner.crash(TICK)
        world.run(0.2)
        world.submit(build_step(width=1, long_running=True, label="a"))
        world.submit(build_step(width=1, long_running=True, label="b"))
        world.run(1)
        self.assertEqual(world.starts, [])
        world.run(2)
        self.assertEqual(len(world.starts), 1)
        self.assertEqual(world.violations, [])
        rendered, _ = world.leader.metrics.render("")
        self.assertNotIn(b"start refused", rendered)


class ReportTests(AsyncTestCase):
    """Reports on a runner process that has not described itself yet."""

    def test_a_full_report_stays_due_until_the_runner_has_described_itself(self):
        """Guards against a restarted runner out of use for up to a second more.

        A report that cannot be full yet must not count as the full one that is due.
        """
        world = build_world(9)
        agent, runner = world.agents["h0"], world.runners[0]
        runner.first_heartbeat_delay = HEARTBEAT_INTERVAL
        runner.crash(TICK)
        world.run(HEARTBEAT_INTERVAL.total_seconds())
        self.assertNotEqual(agent.state.runner, runner.describe())
        while agent.state.runner != runner.describe():
            world.step()
        cell = world.leader.cell
        assert cell is not None
        self.assertEqual(cell.hosts["h0"].runner, runner.describe())


class HeartbeatTests(AsyncTestCase):
    """Heartbeats that tell the leader something new."""

    def test_another_kind_service_or_process_of_a_runner_is_reported_at_once(self):
        """Guards against half a second of placements by a former description."""
        known = World(8, hosts=1).runners[0].describe()
        self.assertFalse(is_use_changed(known, known._replace(remaining_seconds=1.0)))
        for changed in (
            known._replace(labels=("b", "rack")),
            known._replace(service="t"),
            known._replace(rack="r2"),
            known._replace(born=known.born + 1),
        ):
            self.assertTrue(is_use_changed(known, changed), changed)


class FuzzTests(AsyncTestCase):
    """Random crashes of runners that come back as another kind."""

    def play(self, seed: int) -> World:
        world = build_world(seed, hosts=4)
        world.loss_probability = 0.2
        world.late_start_probability = 0.05
        for runner in world.runners:
            runner.first_heartbeat_delay = 3 * TICK
        for tick in range(FUZZ_TICKS):
            if tick % 5 == 0:
                label = world.random.choice(("", *KINDS))
                world.submit(build_step(label=label, cpu=500))
            if tick % 20 == 0:
                runner = world.random.choice(world.runners)
                runner.kind = world.random.choice(KINDS)
                runner.crash(TICK * world.random.randint(1, 15))
            world.step()
        world.loss_probability = world.late_start_probability = 0.0
        # Jobs of each kind can end.
        for number, runner in enumerate(world.runners):
            runner.kind = KINDS[number % 2]
            runner.crash(TICK)
        world.run(30)
        return world

    def test_tasks_run_on_runners_of_their_kind_only(self):
        """Guards against a start that a changed runner carries out."""
        for seed in FUZZ_SEEDS:
            with self.subTest(seed=seed):
                world = self.play(seed)
                self.assertEqual(world.violations, [])
                phases = {world.find_phase(job_id) for job_id in world.jobs}
                self.assertEqual(phases, {"completed"})

"""Tests of runners whose capacity shrinks and grows while they run."""

import threading
from collections import deque
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from datetime import timedelta
from typing import NamedTuple, cast
from unittest.mock import patch

import msgspec
from returns.result import Result, Success

from egretcrank.agent.daemon import Agent
from egretcrank.agent.execution import OrderExecutor
from egretcrank.agent.pace import PaceController
from egretcrank.agent.rooms import Load, fits
from egretcrank.agent.state import AgentState, Identity
from egretcrank.agent.tokens import FencingToken
from egretcrank.errors.kinds import Problem
from egretcrank.observability.metrics import Metrics
from egretcrank.platform.heartbeats import Heartbeat
from egretcrank.platform.runner import CommandResult, Runner, RunnerSnapshot
from egretcrank.wire.hosting import (
    EndedTask,
    HostOrders,
    HostReport,
    NumberedOrder,
    Run,
    RunnerInfo,
    RunningTask,
    StartOrder,
    TaskDemand,
    TaskProfile,
)
from tests.cases import AsyncTestCase, ManualClock
from tests.cell_world import (
    HEARTBEAT_INTERVAL,
    SHRINK_GRACE,
    TICK,
    Leader,
    World,
    build_step,
    deliver,
    hold_messages,
    lift_limit,
)

# Longer than a former capacity counts, and shorter than a lease.
HOLD_SECONDS = (SHRINK_GRACE + 2 * TICK).total_seconds()
FUZZ_SEEDS = range(30)
FUZZ_TICKS = 400


def build_world(seed: int, hosts: int = 1) -> World:
    """Build a world with heartbeats at the interval of the platform."""
    world = World(seed, hosts=hosts)
    world.heartbeat_interval = HEARTBEAT_INTERVAL
    world.run(2)
    return world


def hand_over(world: World, held: Iterable[HostOrders]) -> None:
    """Let the messages that were held up reach the agent of h0.

    The room alone decides, not how late they are.
    """
    for message in held:
        world.agents["h0"].handle_orders(lift_limit(message))


class HeldOrderTests(AsyncTestCase):
    """Orders that reach an agent after the room that they were meant for is gone."""

    def hold_orders(self, world: World, width: int, **changes: int) -> list[HostOrders]:
        """Order tasks on h0, shrink its room and return the messages much later."""
        runner = world.runners[0]
        with hold_messages(world, "h0") as held:
            world.submit(build_step(long_running=True, width=width))
            world.run(0.3)
            if "cpu" in changes:
                runner.shrink(changes["cpu"])
            if "memory" in changes:
                runner.shrink_memory(changes["memory"])
            world.run(HOLD_SECONDS)
        self.assertTrue(any(message.orders for message in held))
        return held

    def test_an_order_that_was_held_up_is_not_carried_out_in_a_shrunk_room(self):
        """Guards against an order on a slow connection for room that has gone."""
        world = build_world(1)
        world.submit(build_step(long_running=True, width=2))
        world.run(1)
        hand_over(world, self.hold_orders(world, 1, cpu=2000))
        world.run(3)
        self.assertEqual(world.violations, [])
        self.assertEqual(len(world.runners[0].running), 2)

    def test_an_order_that_was_held_up_is_not_carried_out_in_shrunk_memory(self):
        """Guards against a check of processors alone."""
        world = build_world(2)
        hand_over(world, self.hold_orders(world, 2, memory=150))
        world.run(3)
        self.assertEqual(world.violations, [])
        self.assertEqual(len(world.runners[0].running), 1)

    def test_two_orders_that_were_held_up_do_not_share_the_last_room(self):
        """Guards against a check that ignores a start it has just let pass."""
        world = build_world(3)
        hand_over(world, self.hold_orders(world, 2, cpu=1000))
        world.run(3)
        self.assertEqual(world.violations, [])
        self.assertEqual(len(world.runners[0].running), 1)


class ChangedLeaderTests(AsyncTestCase):
    """Leaders that know the room of a host from an old report only."""

    def test_a_new_leader_that_has_not_heard_of_a_shrink_fills_no_gone_room(self):
        """Guards against starts for the room in a report that was held up."""
        world = build_world(4)
        world.submit(build_step(long_running=True, width=2))
        world.run(1)
        world.elect()
        agent = world.agents.pop("h0")
        assert world.leader.cell is not None
        deliver(world.leader, agent.state.build_report(world.now(), agent.pace))
        for _, offer in world.leader.cell.take_orders():
            agent.handle_orders(offer)
        report = agent.state.build_report(world.now(), agent.pace)
        self.assertTrue(report.full)
        world.runners[0].shrink(2000)
        for _ in range(int(SHRINK_GRACE / TICK) + 1):
            agent.poll_runner()
            world.step()
        world.submit(build_step(long_running=True, width=1))
        world.step()
        world.agents["h0"] = agent
        deliver(world.leader, report)
        world.run(3)
        self.assertEqual(world.violations, [])
        self.assertEqual(len(world.runners[0].running), 2)


class RestartedAgentTests(AsyncTestCase):
    """Agents that learn from the leader what their runner runs."""

    def test_a_restarted_agent_starts_tasks_beside_those_of_its_predecessor(self):
        """Guards against an agent that refuses starts as it knows no demands."""
        world = build_world(8)
        world.submit(build_step(long_running=True, width=2))
        world.run(2)
        world.start_agent(world.runners[0])
        world.submit(build_step(long_running=True, width=2))
        world.run(5)
        self.assertEqual(len(world.runners[0].running), 4)
        self.assertEqual(len(world.starts), 4)


class ReplacedOrderTests(AsyncTestCase):
    """Tasks that a host had no room for."""

    def test_a_task_that_a_host_has_no_room_for_is_placed_elsewhere(self):
        """Guards against a task that waits for the host that refused it."""
        world = build_world(5, hosts=2)
        world.runners[1].shrink(0)
        world.run(2)
        with hold_messages(world, "h0") as held:
            world.submit(build_step(long_running=True, width=2))
            world.run(0.3)
            world.runners[0].shrink(1000)
            world.runners[1].shrink(4000)
            world.run(HOLD_SECONDS)
        hand_over(world, held)
        world.run(3)
        self.assertEqual([len(runner.running) for runner in world.runners], [1, 1])
        assert world.leader.cell is not None
        rendered, _ = world.leader.metrics.render("")
        self.assertIn(b'event="start refused: room"} 1\n', rendered)

    def test_a_host_that_refused_for_room_takes_smaller_tasks_at_once(self):
        """Guards against half a second without starts after each such refusal."""
        world = build_world(10)
        with hold_messages(world, "h0") as held:
            world.submit(build_step(long_running=True, width=2))
            world.run(0.3)
            world.runners[0].shrink(1500)
            world.run(HOLD_SECONDS)
        hand_over(world, held)
        world.run(0.2)
        world.submit(build_step(long_running=True, width=1, cpu=500))
        world.run(0.3)
        self.assertEqual(len(world.runners[0].running), 2)

    def test_a_host_over_its_room_gets_no_tasks_that_need_no_processors(self):
        """Guards against best-effort tasks on a host whose runs exceed its room."""
        world = build_world(11)
        world.submit(build_step(long_running=True, width=3))
        world.run(2)
        world.runners[0].shrink(2500)
        world.run(2)
        world.submit(build_step(width=1, best_effort=True, image="f"))
        world.run(12)
        self.assertEqual(len(world.starts), 3)
        assert world.leader.cell is not None
        rendered, _ = world.leader.metrics.render("")
        self.assertNotIn(b"start refused", rendered)

    def test_a_room_that_grows_again_is_used(self):
        """Guards against a host that stays out of use after its room shrank."""
        world = build_world(6)
        world.runners[0].shrink(0)
        world.run(5)
        world.submit(build_step(long_running=True, width=2))
        world.run(5)
        self.assertEqual(world.starts, [])
        world.runners[0].shrink(4000)
        world.run(HEARTBEAT_INTERVAL.total_seconds() + 1)
        self.assertEqual(len(world.runners[0].running), 2)
        self.assertEqual(world.violations, [])

    def test_runs_beyond_a_shrunk_room_may_stay(self):
        """Guards against tasks that are stopped because their room has shrunk."""
        world = build_world(7)
        world.submit(build_step(long_running=True, width=3))
        world.run(2)
        world.runners[0].shrink(1000)
        world.run(10)
        self.assertEqual(len(world.runners[0].running), 3)
        self.assertEqual(len(world.starts), 3)


def build_runner_info(born: int = 1, cpu: int = 2000, memory: int = 500) -> RunnerInfo:
    """Build the description of a runner."""
    return RunnerInfo("r", born, "s", "z", "", ("a",), cpu, memory, 0, False, 0.0)


def build_orders(*tasks: str, first: int = 1, sends_demands: bool = True) -> HostOrders:
    """Build a message that starts a run of each task."""
    orders = tuple(
        NumberedOrder(first + i, start=StartOrder(task, 1, "", "", "", PROFILE))
        for i, task in enumerate(tasks)
    )
    return HostOrders(
        epoch=1,
        session=1,
        incarnation="i",
        authority_seconds=6.0,
        report_sent_at=NOW.total_seconds(),
        orders=orders,
        specs={"j": "spec"},
        demands=dict.fromkeys(tasks, DEMAND) if sends_demands else None,
    )


NOW = timedelta(seconds=1000)
PROFILE = TaskProfile(1000, False, "", 0.0)
DEMAND = TaskDemand(1000, 100, 0)
TASKS = ("j.0.0.0", "j.0.0.1", "j.0.0.2")
RUNS = tuple(Run(task, 1) for task in TASKS)


class FitTests(AsyncTestCase):
    """Comparison of a load with the description of a runner."""

    def test_each_resource_and_each_unknown_run_counts(self):
        """Guards against a check that looks at some of the resources only."""
        runner = build_runner_info()._replace(accelerators=1)
        self.assertTrue(fits(Load(2000, 500, 1, 0), runner))
        for load in (
            Load(2001, 500, 1, 0),
            Load(2000, 501, 1, 0),
            Load(2000, 500, 2, 0),
            Load(0, 0, 0, 1),
        ):
            self.assertFalse(fits(load, runner), load)


class ReservationTests(AsyncTestCase):
    """Runs that count against the room on a runner, and for how long."""

    def setUp(self):
        super().setUp()
        self.state = AgentState(Identity("h", "h:1", "i"))
        self.clock = 1000
        self.state.update_runner(build_runner_info(), 1)
        self.list_runs()

    def list_runs(
        self, *runs: Run, born: int = 1, ended: tuple[EndedTask, ...] = ()
    ) -> None:
        """Receive a list of the runs on the runner."""
        self.clock += 100
        listed = tuple(RunningTask(*run, "", 0, 0.0) for run in runs)
        reply = RunnerSnapshot(self.clock, born, listed, ended)
        poll = self.state.begin_poll()
        now = NOW + timedelta(milliseconds=self.clock - 1000)
        self.state.apply_snapshot(reply, now, poll)

    def start(self, run: Run) -> None:
        """Carry out a start for which there is room."""
        self.assertTrue(self.state.reserve_start(run))
        self.state.mark_started(run, NOW, 1)

    def fill(self) -> None:
        """Start two runs of three, which takes all room."""
        self.state.accept_orders(build_orders(*TASKS))
        self.start(RUNS[0])
        self.start(RUNS[1])

    def test_a_start_in_progress_counts_until_it_is_refused(self):
        """Guards against two starts for the same room."""
        self.state.accept_orders(build_orders(*TASKS))
        self.assertTrue(self.state.reserve_start(RUNS[0]))
        self.assertTrue(self.state.reserve_start(RUNS[1]))
        self.assertFalse(self.state.reserve_start(RUNS[2]))
        self.state.mark_refused(RUNS[1], "late")
        self.assertTrue(self.state.reserve_start(RUNS[2]))

    def test_a_start_that_is_sent_again_counts_once(self):
        """Guards against a start that is refused because of itself."""
        self.state.accept_orders(build_orders(*TASKS))
        self.start(RUNS[0])
        self.assertTrue(self.state.reserve_start(RUNS[1]))
        self.assertTrue(self.state.reserve_start(RUNS[1]))

    def test_a_run_counts_until_its_end_is_listed(self):
        """Guards against room that is given away before a stopped run has ended."""
        self.fill()
        self.assertFalse(self.state.reserve_start(RUNS[2]))
        self.list_runs(*RUNS[:2])
        self.state._stops.add(RUNS[0])
        self.assertFalse(self.state.reserve_start(RUNS[2]))
        self.list_runs(RUNS[1], ended=(EndedTask(1, *RUNS[0], "stopped", ""),))
        self.assertTrue(self.state.reserve_start(RUNS[2]))

    def test_an_end_that_overtakes_the_reply_to_its_start_frees_the_room(self):
        """Guards against refusals for room that is free."""
        self.state.accept_orders(build_orders(*TASKS))
        self.start(RUNS[0])
        self.assertTrue(self.state.reserve_start(RUNS[1]))
        self.list_runs(RUNS[0], ended=(EndedTask(1, *RUNS[1], "done", ""),))
        self.state.mark_started(RUNS[1], NOW, 1)
        self.assertTrue(self.state.reserve_start(RUNS[2]))

    def test_the_next_process_of_a_runner_is_empty_once_it_describes_itself(self):
        """Guards against starts by the description of a former process."""
        self.fill()
        self.list_runs(*RUNS[:2])
        self.clock = 0
        self.list_runs(born=2)
        self.assertFalse(self.state.reserve_start(RUNS[2]))
        self.state.update_runner(build_runner_info(born=2), 1)
        self.assertTrue(self.state.reserve_start(RUNS[2]))

    def test_a_start_in_progress_counts_on_the_next_process_of_a_runner(self):
        """Guards against a start that the next process carries out unnoticed."""
        self.state.accept_orders(build_orders(*TASKS))
        self.assertTrue(self.state.reserve_start(RUNS[0]))
        self.list_runs(born=2)
        self.state.update_runner(build_runner_info(born=2, cpu=1000), 1)
        self.assertFalse(self.state.reserve_start(RUNS[2]))
        self.state.mark_refused(RUNS[0], "unanswered")
        self.assertTrue(self.state.reserve_start(RUNS[2]))

    def test_runs_of_a_silent_runner_count_until_they_have_certainly_ended(self):
        """Guards against room that is free by a guess."""
        self.fill()
        self.list_runs(*RUNS[:2])
        poll = self.state.begin_poll()
        self.state.expire_silent_runs(NOW + timedelta(seconds=5), False, poll)
        self.assertFalse(self.state.reserve_start(RUNS[2]))
        self.state.expire_silent_runs(NOW + timedelta(seconds=9), False, poll)
        self.assertTrue(self.state.reserve_start(RUNS[2]))

    def test_a_restarted_agent_starts_nothing_beside_runs_that_it_does_not_know(self):
        """Guards against taking the room of unknown runs for free."""
        self.list_runs(RUNS[0])
        self.state.accept_orders(build_orders(TASKS[1]))
        self.assertFalse(self.state.reserve_start(RUNS[1]))
        self.assertEqual(self.build_report_at(2).unprofiled, 1)
        self.learn({TASKS[0]: PROFILE}, {TASKS[0]: DEMAND})
        self.assertEqual(self.build_report_at(4).unprofiled, 0)
        self.assertTrue(self.state.reserve_start(RUNS[1]))
        self.assertFalse(self.state.reserve_start(RUNS[2]))

    def learn(
        self, profiles: dict[str, TaskProfile], demands: dict[str, TaskDemand]
    ) -> None:
        """Receive what the leader knows of the tasks of the host."""
        self.state.accept_orders(
            HostOrders(
                epoch=1,
                session=1,
                incarnation="i",
                profiles=profiles,
                demands=demands,
            )
        )

    def build_report_at(self, seconds: int) -> HostReport:
        """Build a full report."""
        now = NOW + timedelta(seconds=seconds)
        return self.state.build_report(now, PaceController())

    def test_a_leader_of_the_previous_release_has_its_orders_carried_out(self):
        """Guards against an agent that refuses everything during an update."""
        self.state.accept_orders(build_orders(*TASKS[:2], sends_demands=False))
        self.start(RUNS[0])
        self.start(RUNS[1])
        self.list_runs(*RUNS[:2])
        self.assertEqual(self.build_report_at(2).unprofiled, 0)

    def test_runs_that_a_leader_of_the_previous_release_ordered_become_known(self):
        """Guards against an agent that refuses everything after an update."""
        self.state.accept_orders(build_orders(TASKS[0], sends_demands=False))
        self.start(RUNS[0])
        self.list_runs(RUNS[0])
        self.state.accept_orders(build_orders(TASKS[1], first=2))
        self.assertFalse(self.state.reserve_start(RUNS[1]))
        self.assertEqual(self.build_report_at(2).unprofiled, 1)
        self.learn({TASKS[0]: PROFILE}, {TASKS[0]: DEMAND})
        self.assertTrue(self.state.reserve_start(RUNS[1]))

    def test_demands_of_tasks_that_have_ended_are_forgotten(self):
        """Guards against an agent that grows with each task."""
        self.fill()
        self.list_runs(*RUNS[:2])
        self.list_runs(RUNS[1], ended=(EndedTask(1, *RUNS[0], "done", ""),))
        self.build_report_at(2)
        self.assertFalse(self.state._rooms.knows(TASKS[0]))
        self.assertTrue(self.state._rooms.knows(TASKS[1]))


class SlowRunner:
    """Runner whose starts take a while, so that they overlap."""

    def __init__(self) -> None:
        self.started: list[str] = []

    def start(
        self, order: StartOrder, deadline: int, token: int, process: int
    ) -> Result[CommandResult, Problem]:
        self.started.append(order.task)
        threading.Event().wait(0.2)
        return Success(CommandResult(0, ""))


class OrderThreadTests(AsyncTestCase):
    """Starts that the threads of an agent carry out at the same time."""

    def test_two_starts_at_the_same_moment_do_not_share_the_last_room(self):
        """Guards against a check that both starts pass before either is sent."""
        state = AgentState(Identity("h", "h:1", "i"))
        runner = SlowRunner()
        executor = OrderExecutor(
            cast(Runner, runner),
            state,
            threading.RLock(),
            ManualClock(),
            Metrics(),
            FencingToken(1),
            lambda *_: None,
            lambda: None,
        )
        state.update_runner(build_runner_info(cpu=1000), 1)
        poll = state.begin_poll()
        state.apply_snapshot(RunnerSnapshot(1000, 1, (), ()), NOW, poll)
        state.accept_orders(build_orders(*TASKS[:2]), NOW)
        with ThreadPoolExecutor(2) as pool:
            while (waiting := state.take_start()) is not None:
                pool.submit(executor.carry_out, waiting)
        self.assertEqual(len(runner.started), 1)
        report = state.build_report(NOW, PaceController())
        self.assertEqual([refused.reason for refused in report.refused], ["room"])


class ChangedCapacityTests(AsyncTestCase):
    """Reports and log lines of a changed capacity."""

    def test_an_agent_reports_a_changed_capacity_at_once(self):
        """Guards against orders for gone room until the next report is due."""
        agent = Agent.__new__(Agent)
        agent._lock = threading.RLock()
        agent._state = AgentState(Identity("h", "h:1", "i"))
        agent._runner = Runner("127.0.0.1:1")
        agent._report_due = threading.Event()
        descriptions = (
            (build_runner_info(), True),
            (build_runner_info(), False),
            (build_runner_info(cpu=1000), True),
            (build_runner_info(cpu=1000, memory=100), True),
            (build_runner_info(cpu=1000, memory=100)._replace(accelerators=1), True),
        )
        for sequence, (info, due) in enumerate(descriptions):
            agent._report_due.clear()
            agent._handle_heartbeat(Heartbeat(info, "r:1", sequence, 0))
            self.assertEqual(agent._report_due.is_set(), due, info)

    def test_the_leader_logs_a_changed_capacity(self):
        """Guards against refusals for room that no log line explains."""
        world = build_world(9)
        with self.assertLogs("egretcrank.scheduling.cell", "INFO") as logs:
            world.runners[0].shrink(1000)
            world.runners[0].shrink_memory(500)
            world.run(3)
        (line,) = [r for r in logs.records if r.getMessage() == "runner state"]
        self.assertEqual(line.__dict__["cpu"], 1000)
        self.assertEqual(line.__dict__["capacity_before"], (4000, 64000, 0))

    def test_a_delayed_heartbeat_does_not_restore_a_room_that_has_shrunk(self):
        """Guards against starts by the larger room in an outdated heartbeat."""
        state = AgentState(Identity("h", "h:1", "i"))
        self.assertTrue(state.update_runner(build_runner_info(cpu=1000), 4))
        self.assertFalse(state.update_runner(build_runner_info(cpu=2000), 3))
        assert state.runner is not None
        self.assertEqual(state.runner.cpu, 1000)


class DemandMessageTests(AsyncTestCase):
    """Messages between this release and the previous one."""

    def test_a_message_without_demands_is_one_of_the_previous_release(self):
        """Guards against a missing field that reads like a host without tasks."""
        body = msgspec.msgpack.encode(PreviousOrders())
        self.assertIsNone(msgspec.msgpack.decode(body, type=HostOrders).demands)

    def test_an_agent_of_the_previous_release_reads_orders_with_demands(self):
        """Guards against a host that is lost to a leader of this release."""
        body = msgspec.msgpack.encode(build_orders(*TASKS))
        orders = msgspec.msgpack.decode(body, type=PreviousOrders)
        self.assertEqual(len(orders.orders), 3)


@dataclass(frozen=True, slots=True)
class PreviousOrders:
    """Part of the orders as the previous release reads them."""

    epoch: int = 0
    orders: tuple[NumberedOrder, ...] = ()
    profiles: dict[str, TaskProfile] = field(default_factory=dict)


class RoomFuzzTests(AsyncTestCase):
    """Rooms that shrink and grow at random, beside other failures."""

    def test_no_runner_is_over_its_room_beside_other_failures(self):
        """Guards against starts by what agents or leaders knew of a room before."""
        for seed in FUZZ_SEEDS:
            with self.subTest(seed=seed):
                fuzz = RoomFuzz(seed)
                fuzz.run()
                self.assertEqual(fuzz.world.violations, [], f"seed {seed}")
                phases = [fuzz.world.find_phase(job) for job in fuzz.jobs]
                self.assertTrue(all(phase.final for phase in phases), f"seed {seed}")


class HeldMessage(NamedTuple):
    """A message of a leader on its way to a host."""

    arrives_at: timedelta
    leader: Leader
    host: str
    message: HostOrders


class RoomFuzz:
    """One world whose connections hold up the leaders' messages now and then."""

    def __init__(self, seed: int) -> None:
        self.world = World(seed)
        self.world.heartbeat_interval = HEARTBEAT_INTERVAL
        self.world.loss_probability = 0.02
        self.world.late_start_probability = 0.05
        self.jobs: list[str] = []
        self.held: deque[HeldMessage] = deque()
        # Time until which the connection to each host holds messages up.
        self.held_until: dict[str, timedelta] = {}
        self.send = self.world.send

    def run(self) -> None:
        """Inject failures, then wait until every job has ended."""
        world = self.world
        with patch.object(world, "send", self._hold_or_send):
            for _ in range(FUZZ_TICKS):
                self._inject_failure()
                self._deliver()
                if world.random.random() < 0.2:
                    self._submit()
                world.step()
        world.loss_probability = world.late_start_probability = 0.0
        for runner in world.runners:
            runner.silent = False
            runner.shrink(4000)
            runner.shrink_memory(400)
        world.run(60)

    def _submit(self) -> None:
        rng = self.world.random
        step = build_step(
            width=rng.randint(1, 3),
            cpu=rng.choice([500, 1000, 1500]),
            memory=rng.choice([20, 100]),
        )
        self.jobs.append(self.world.submit(step))

    def _inject_failure(self) -> None:
        world, rng = self.world, self.world.random
        runner = rng.choice(world.runners)
        event = rng.random()
        if event < 0.04:
            runner.shrink(rng.choice([1000, 1500, 2000, 4000]))
        elif event < 0.06:
            runner.shrink_memory(rng.choice([100, 200, 400]))
        elif event < 0.08:
            world.start_agent(runner)
        elif event < 0.09:
            world.elect()
        elif event < 0.10:
            runner.restart()
        elif event < 0.11:
            runner.silent = True
        elif event < 0.16:
            runner.silent = False
        elif event < 0.20:
            delay = timedelta(seconds=rng.uniform(2, 6))
            self.held_until[runner.name] = world.now() + delay

    def _hold_or_send(self, leader: Leader, host: str, message: HostOrders) -> None:
        until = self.held_until.get(host, timedelta())
        if self.world.now() < until:
            self.held.append(HeldMessage(until, leader, host, message))
        else:
            self.send(leader, host, message)

    def _deliver(self) -> None:
        now = self.world.now()
        for held in [held for held in self.held if held.arrives_at <= now]:
            self.held.remove(held)
            self.world.agents[held.host].handle_orders(lift_limit(held.message))

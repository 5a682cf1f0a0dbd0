"""Tests of leaders whose view of the log stands still while they lead."""

from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple
from unittest.mock import patch

import msgspec

from egretcrank.agent.starts import WaitingStart
from egretcrank.controller.tail import URGENT_POLL_TIMEOUT
from egretcrank.scheduling.cell import Cell
from egretcrank.scheduling.records import Phase
from egretcrank.scheduling.settings import CellSettings
from egretcrank.wire.hosting import (
    HostOrders,
    NumberedOrder,
)
from tests import cell_world
from tests.cases import AsyncTestCase
from tests.cell_world import (
    SETTINGS,
    TICK,
    Agent,
    Leader,
    Runner,
    World,
    build_step,
)

BOUND = timedelta(seconds=3)
FUZZ_SEEDS = range(12)
TICKS = 300


def find_cell(world: World) -> Cell:
    """Return the cell of the current leader."""
    cell = world.leader.cell
    assert cell is not None
    return cell


class Cancellations:
    """Cancels jobs of a world, and watches what is allowed and started afterwards."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.cancelled_at: dict[str, timedelta] = {}
        self.violations: list[str] = []
        self._start_count = 0

    def cancel(self, job: str) -> None:
        """Cancel a job, which is acknowledged at once."""
        self.world.cancel(job)
        self.cancelled_at[job] = self.world.now()

    @contextmanager
    def watch(self) -> Iterator[None]:
        """Check the messages that the leaders send, whether or not they arrive."""
        send = self.world.send

        def check_and_send(leader: Leader, host: str, message: HostOrders) -> None:
            self._check_message(leader, message)
            send(leader, host, message)

        with patch.object(self.world, "send", check_and_send):
            yield

    def _check_message(self, leader: Leader, message: HostOrders) -> None:
        assert message.start_seconds is not None
        limit = timedelta(seconds=message.report_sent_at + message.start_seconds)
        assert leader.cell is not None
        for job, cancelled_at in self.cancelled_at.items():
            known = leader.cell.jobs.get(job)
            unread = known is not None and not known.phase.final
            allowed = max(self.world.now(), cancelled_at + SETTINGS.start_limit)
            if unread and limit > allowed:
                self.violations.append(f"{job} may be started until {limit}")

    def step(self) -> None:
        """Run the world for a tick, and check what was started in it."""
        now = self.world.now()
        self.world.step()
        for task, _, host in self.world.starts[self._start_count :]:
            cancelled_at = self.cancelled_at.get(task.partition(".")[0])
            if cancelled_at is not None and now - cancelled_at > BOUND:
                late = (now - cancelled_at).total_seconds()
                self.violations.append(f"{task} is started on {host} after {late} s")
        self._start_count = len(self.world.starts)

    def run(self, seconds: float) -> None:
        """Run the world for a time."""
        for _ in range(int(timedelta(seconds=seconds) / TICK)):
            self.step()


class StaleViewTests(AsyncTestCase):
    """Leaders whose reads stand still while their appends go on."""

    def _submit_waiting(self, world: World) -> str:
        """Submit a job that waits until its runners no longer drain."""
        world.run(2)
        self._set_draining(world, True)
        world.run(1)
        job = world.submit(build_step(width=6))
        world.run(0.5)
        self.assertEqual(world.starts, [])
        return job

    def _set_draining(self, world: World, draining: bool) -> None:
        for runner in world.runners:
            runner.draining = draining

    def test_a_leader_that_does_not_read_starts_nothing_of_a_cancelled_job(self):
        """Guards against a start after a cancellation that is stored and not read."""
        world = World(301)
        job = self._submit_waiting(world)
        watched = Cancellations(world)
        world.leader.reads_stall = True
        watched.cancel(job)
        with watched.watch():
            watched.run(3.2)
            self._set_draining(world, False)
            watched.run(5)
        self.assertEqual(watched.violations, [])
        self.assertEqual(world.starts, [])

    def test_a_leader_that_reads_again_starts_what_waits(self):
        """Guards against a cell that stands still after reads have stalled."""
        world = World(302)
        job = self._submit_waiting(world)
        world.leader.reads_stall = True
        world.run(3)
        self._set_draining(world, False)
        world.run(2)
        self.assertEqual(world.starts, [])
        world.leader.reads_stall = False
        world.run(0.5)
        self.assertEqual(len(world.starts), 6)
        world.run(10)
        self.assertEqual(world.violations, [])
        self.assertEqual(world.find_phase(job), Phase.COMPLETED)

    def test_a_new_leader_that_does_not_read_starts_nothing_of_a_cancelled_job(self):
        """Guards against a successor that trusts what it read at its takeover."""
        world = World(303)
        job = self._submit_waiting(world)
        former = world.leader
        world.elect()
        world.leader.reads_stall = True
        former.reads_stall = True
        world.attached["h0"] = former
        watched = Cancellations(world)
        watched.cancel(job)
        with watched.watch(), patch.object(former, "commit"):
            watched.run(3.2)
            self._set_draining(world, False)
            watched.run(5)
        self.assertEqual(watched.violations, [])
        self.assertEqual(world.starts, [])

    def test_starts_pause_during_a_log_outage_and_resume_after_it(self):
        """Guards against starts by a view from before the outage, and none after it."""
        world = World(304)
        world.run(2)
        first = world.submit(build_step(width=1))
        world.run(1)
        world.log.available = False
        self._wait_for_pause(world)
        self.assertGreater(find_cell(world)._authority_until, world.now())
        starts = len(world.starts)
        world.run(6)
        self.assertEqual(len(world.starts), starts)
        world.log.available = True
        second = world.submit(build_step(width=2))
        world.run(10)
        phases = {world.find_phase(job) for job in (first, second)}
        self.assertEqual(phases, {Phase.COMPLETED})
        self.assertEqual(world.violations, [])

    def _wait_for_pause(self, world: World) -> None:
        began = world.now()
        with self._capture_lines() as lines:
            while not lines:
                self.assertLess(world.now() - began, BOUND)
                world.step()

    @contextmanager
    def _capture_lines(self) -> Iterator[list[str]]:
        lines: list[str] = []

        def record(message: str, **_: object) -> None:
            if message.startswith("starts "):
                lines.append(message)

        with patch("egretcrank.scheduling.views.logger.warning", record):
            yield lines

    def test_a_pause_is_logged_once_and_shown_by_the_metric(self):
        """Guards against a leader that starts nothing without saying so."""
        world = World(305)
        world.run(2)
        with self._capture_lines() as lines:
            world.leader.reads_stall = True
            world.run(4)
            find_cell(world).update_gauges()
            body, _ = world.leader.metrics.render("text/plain")
            world.leader.reads_stall = False
            world.run(1)
        paused = "starts paused: old view of the log"
        self.assertEqual(lines, [paused, "starts resumed"])
        (line,) = [
            line
            for line in body.decode().splitlines()
            if line.startswith("egretcrank_view_age_seconds")
        ]
        self.assertGreater(float(line.split()[-1]), 3.9)


class StaleViewFuzzTests(AsyncTestCase):
    """Reads that stall at random, beside cancellations and new leaders."""

    def test_no_start_is_allowed_beyond_the_bound(self):
        """Guards against a way around the bound on starts after a cancellation."""
        for seed in FUZZ_SEEDS:
            with self.subTest(seed=seed):
                fuzz = StallFuzz(seed)
                fuzz.run()
                self.assertEqual(fuzz.watched.violations, [], f"seed {seed}")
                self.assertEqual(fuzz.world.violations, [], f"seed {seed}")
                phases = [fuzz.world.find_phase(job) for job in fuzz.jobs]
                self.assertTrue(all(phase.final for phase in phases), f"seed {seed}")

    def test_agents_that_keep_to_the_messages_start_nothing_beyond_the_bound(self):
        """Guards against messages that let an order wait on its way for too long.

        Half of all messages are lost, and agents hold each start for up to 5 s.
        """
        for seed in FUZZ_SEEDS:
            with (
                self.subTest(seed=seed),
                patch.object(cell_world, "Agent", HoldingAgent),
            ):
                fuzz = StallFuzz(seed)
                fuzz.world.loss_probability = 0.5
                fuzz.settling_seconds = 100.0
                fuzz.run()
                self.assertEqual(fuzz.watched.violations, [], f"seed {seed}")
                self.assertEqual(fuzz.world.violations, [], f"seed {seed}")
                phases = [fuzz.world.find_phase(job) for job in fuzz.jobs]
                self.assertTrue(all(phase.final for phase in phases), f"seed {seed}")


class HeldStart(NamedTuple):
    """A start that an agent sends at ``due_at``, if it still may."""

    due_at: timedelta
    waiting: WaitingStart


class HoldingAgent(Agent):
    """Agent that holds each start for a time between taking it and sending it."""

    def __init__(self, world: World, runner: Runner, incarnation: int) -> None:
        super().__init__(world, runner, incarnation)
        self.held: list[HeldStart] = []

    def carry_out_orders(self) -> None:
        """Send the stops and the held starts that are due, and hold new starts."""
        self.is_held_up = True
        super().carry_out_orders()
        while (waiting := self.state.take_start()) is not None:
            delay = timedelta(seconds=self.world.random.uniform(0, 5))
            self.held.append(HeldStart(self.world.now() + delay, waiting))
        due = [held for held in self.held if held.due_at <= self.world.now()]
        self.held = [held for held in self.held if held not in due]
        for held in due:
            self.start(held.waiting)


class StallFuzz:
    """One world whose leaders stop reading for 0.5 to 6 s now and then."""

    def __init__(self, seed: int) -> None:
        self.world = World(seed)
        self.watched = Cancellations(self.world)
        self.jobs: list[str] = []
        self.reads_at: dict[int, timedelta] = {}
        # Time for the last jobs to end without failures.
        self.settling_seconds = 60.0

    def run(self) -> None:
        """Inject failures, then wait until every job has ended."""
        world = self.world
        with ExitStack() as stack:
            stack.enter_context(self.watched.watch())
            for _ in range(TICKS):
                self._inject_failure(stack)
                self._end_stalls()
                if world.random.random() < 0.2:
                    self._submit()
                self.watched.step()
        world.attached = {}
        world.log.available = True
        world.loss_probability = 0.0
        for leader in world.leaders:
            leader.reads_stall = False
        with self.watched.watch():
            self.watched.run(self.settling_seconds)

    def _submit(self) -> None:
        rng = self.world.random
        step = build_step(width=rng.randint(1, 6), cpu=rng.choice([500, 1500]))
        self.jobs.append(self.world.submit(step))

    def _inject_failure(self, stack: ExitStack) -> None:
        world, rng = self.world, self.world.random
        event = rng.random()
        if event < 0.03:
            leader = world.leader
            leader.reads_stall = True
            seconds = rng.uniform(0.5, 6)
            self.reads_at[leader.epoch] = world.now() + timedelta(seconds=seconds)
        elif event < 0.12 and self.jobs:
            job = rng.choice(self.jobs[-5:])
            if job not in self.watched.cancelled_at and world.log.available:
                self.watched.cancel(job)
        elif event < 0.13:
            self._replace_leader(stack)
        elif event < 0.16:
            rng.choice(world.runners).restart()
        elif event < 0.17:
            world.start_agent(rng.choice(world.runners))

    def _replace_leader(self, stack: ExitStack) -> None:
        """Elect a leader while the former one is cut off from the log."""
        world = self.world
        former = world.leader
        world.elect()
        former.reads_stall = True
        stack.enter_context(patch.object(former, "commit"))
        for name in world.random.sample(list(world.agents), 2):
            world.attached[name] = former

    def _end_stalls(self) -> None:
        leader = self.world.leader
        if self.reads_at.get(leader.epoch, timedelta()) <= self.world.now():
            leader.reads_stall = False


class StartLimitTests(AsyncTestCase):
    """What the leader's messages say of the time for which their orders are good."""

    def _capture(self, world: World, seconds: float) -> list[tuple[str, HostOrders]]:
        captured: list[tuple[str, HostOrders]] = []
        send = world.send

        def capture(leader: Leader, host: str, message: HostOrders) -> None:
            captured.append((host, message))
            send(leader, host, message)

        with patch.object(world, "send", capture):
            world.run(seconds)
        return captured

    def test_starts_are_allowed_until_the_margin_before_the_bound(self):
        """Guards against a limit that counts from the message and not from the view."""
        world = World(311)
        world.run(2)
        world.leader.reads_stall = True
        proven_at = world.now() - TICK
        limit = proven_at + SETTINGS.cancellation_bound - SETTINGS.cancellation_margin
        messages = [message for _, message in self._capture(world, 4)]
        self.assertGreater(len(messages), 6)
        for message in messages:
            assert message.start_seconds is not None
            until = timedelta(seconds=message.report_sent_at + message.start_seconds)
            self.assertGreaterEqual(message.start_seconds, 0.0)
            if message.start_seconds > 0.0:
                self.assertLessEqual(until, limit)
        self.assertEqual(messages[-1].start_seconds, 0.0)

    def test_a_host_that_has_not_attached_may_start_nothing(self):
        """Guards against a limit that counts from a report of a former process."""
        world = World(312)
        world.run(2)
        world.start_agent(world.runners[0])
        messages = [m for host, m in self._capture(world, 0.4) if host == "h0"]
        offer, *others = [m for m in messages if m.incarnation == "i4"]
        self.assertEqual((offer.start_seconds, offer.last_order), (0.0, 0))
        self.assertGreater(others[-1].start_seconds, 0.0)

    def test_the_last_order_is_named_after_its_message_was_lost(self):
        """Guards against a start by an agent whose stop was lost on its way."""
        world = World(313, hosts=1)
        world.run(2)
        job = world.submit(build_step(long_running=True, width=1))
        world.run(1)
        applied = world.agents["h0"].state.applied
        world.cancel(job)
        with patch.object(world.agents["h0"], "handle_orders"):
            (lost, *_) = [m for _, m in self._capture(world, 0.1) if m.orders]
        self.assertEqual(lost.last_order, applied + 1)
        (later, *_) = [m for _, m in self._capture(world, 0.1) if not m.orders]
        self.assertEqual(later.last_order, applied + 1)

    def test_nothing_is_placed_that_could_hardly_be_started_in_time(self):
        """Guards against orders that their agents have to refuse."""
        world = World(314)
        world.run(2)
        world.leader.reads_stall = True
        limit = world.now() - TICK + SETTINGS.start_limit - SETTINGS.min_start_time
        with patch.object(find_cell(world)._planner, "plan") as plan:
            times = []
            plan.side_effect = lambda *_: times.append(world.now())
            world.run(4)
        self.assertEqual(times[-1], limit)

    def test_a_short_bound_leaves_time_between_two_reads(self):
        """Guards against a leader that never places anything under a short bound."""
        for seconds in (1, 2, 3, 5):
            bound = timedelta(seconds=seconds)
            settings = CellSettings(cancellation_bound=bound)
            self.assertLess(settings.start_limit, bound)
            longest_age = settings.start_limit - settings.min_start_time
            self.assertGreater(longest_age, URGENT_POLL_TIMEOUT, seconds)

    def test_the_limit_counts_from_the_report_that_it_names(self):
        """Guards against starts that are refused as an order follows a report late."""
        world = World(9)
        world.run(2)
        cell = find_cell(world)
        with patch.object(cell, "apply_report"):
            world.run(0.5)
            world.submit(build_step(width=1))
            messages = self._capture(world, 0.3)
        sent = [message for _, message in messages if message.orders]
        limit = sent[0].report_sent_at + (sent[0].start_seconds or 0.0)
        left = limit - world.now().total_seconds()
        self.assertGreater(left, (SETTINGS.start_limit - 4 * TICK).total_seconds())


class StartLimitMessageTests(AsyncTestCase):
    """Messages between this release and the previous one."""

    def test_a_message_without_a_limit_is_one_of_the_previous_release(self):
        """Guards against an agent that starts nothing below a former leader."""
        body = msgspec.msgpack.encode(PreviousOrders(epoch=3))
        orders = msgspec.msgpack.decode(body, type=HostOrders)
        self.assertIsNone(orders.start_seconds)
        self.assertEqual((orders.epoch, orders.last_order), (3, 0))

    def test_an_agent_of_the_previous_release_reads_orders_with_a_limit(self):
        """Guards against a host that is lost to a leader of this release."""
        message = HostOrders(epoch=3, start_seconds=1.5, last_order=4)
        body = msgspec.msgpack.encode(message)
        orders = msgspec.msgpack.decode(body, type=PreviousOrders)
        self.assertEqual(orders.epoch, 3)


@dataclass(frozen=True, slots=True)
class PreviousOrders:
    """Part of the orders as the previous release reads them."""

    epoch: int = 0
    report_sent_at: float = 0.0
    authority_seconds: float = 0.0
    orders: tuple[NumberedOrder, ...] = ()

"""Tests of orders that are withdrawn before they are carried out."""

import threading
from datetime import timedelta
from typing import Any, cast

from returns.result import Failure, Result, Success

from bench.addresses import find_address
from egretcrank.agent.daemon import Agent
from egretcrank.agent.execution import START_THREADS, STOP_THREADS
from egretcrank.agent.pace import PaceChange
from egretcrank.agent.starts import WaitingStart
from egretcrank.agent.stops import STOP_RESEND_DELAY
from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.platform.runner import CommandResult, Runner, RunnerSnapshot
from egretcrank.settings.platform import (
    AgentSettings,
    BoundSettings,
    HostSettings,
    RunnerSettings,
    StoreSettings,
)
from egretcrank.wire.hosting import (
    HostOrders,
    NumberedOrder,
    Run,
    RunnerInfo,
    RunningTask,
    StartOrder,
    StopOrder,
    TaskDemand,
    TaskProfile,
)
from tests.cases import AsyncTestCase, ManualClock
from tests.cell_world import World, build_step
from tests.test_stale_views import Cancellations

JOB = "00000000000000a1"
PROFILE = TaskProfile(100, False, "", 0.0)
DEMAND = TaskDemand(100, 10, 0)
MAX_TASKS = 20
# Longest wait for another thread; the tests wait for events, not for this time.
PATIENCE_SECONDS = 10.0
INFO = RunnerInfo("r", 1, "s", "z", "", ("a",), 16000, 64000, 0, False, 0.0)


def build_run(index: int) -> Run:
    return Run(f"{JOB}.0.0.{index}", 1)


class HangingRunner:
    """Runner that leaves starts, and other calls if told so, without an answer."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._released = False
        self.hangs_on_stops = False
        self.running: tuple[RunningTask, ...] = ()
        self.clock = 1000
        self.starts: list[Run] = []
        self.stops: list[Run] = []
        self.paces: list[tuple[Run, int]] = []
        self.tokens: list[int] = []
        # Tokens below this are refused.
        self.lowest_token = 0
        self.instance = ""

    def start(
        self, order: StartOrder, deadline: int, token: int, process: int
    ) -> Result[CommandResult, Problem]:
        self._note(self.starts, Run(order.task, order.run))
        return self._answer()

    def stop(self, task: str, run: int, token: int) -> Result[CommandResult, Problem]:
        self.tokens.append(token)
        self._note(self.stops, Run(task, run))
        if token < self.lowest_token:
            return Success(CommandResult(self.clock, "fence"))
        if self.hangs_on_stops:
            return self._answer()
        return Success(CommandResult(self.clock, ""))

    def set_pace(
        self, task: str, run: int, percent: int, token: int
    ) -> Result[CommandResult, Problem]:
        self._note(self.paces, (Run(task, run), percent))
        return self._answer()

    def poll(self, *_: object) -> Result[RunnerSnapshot, Problem]:
        self.clock += 100
        return Success(RunnerSnapshot(self.clock, 1, self.running, ()))

    def _note(self, calls: list[Any], call: object) -> None:
        with self._changed:
            calls.append(call)
            self._changed.notify_all()

    def _answer(self) -> Result[CommandResult, Problem]:
        with self._changed:
            # Without a limit: a call that ended by itself would hide a lost wake-up.
            self._changed.wait_for(lambda: self._released)
        return Failure(Problem(ErrorKind.CALL_TIMEOUT, "test"))

    def release(self) -> None:
        """Let the calls in progress end without an answer, and later ones, too."""
        with self._changed:
            self._released = True
            self._changed.notify_all()

    def wait_for(self, calls: list[Any], count: int) -> bool:
        """Return whether ``count`` calls have arrived."""
        with self._changed:
            return self._changed.wait_for(lambda: len(calls) >= count, PATIENCE_SECONDS)


class WithdrawnOrderCase(AsyncTestCase):
    """An agent that has attached to a leader, and whose runner hangs."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.runner = HangingRunner()
        self.addCleanup(self.runner.release)
        self.agent = self.build_agent()
        self.applied = 0
        self.session = 1
        self.agent._state.update_runner(INFO, 1)
        self.poll()
        self.send()

    def build_agent(self) -> Agent:
        host, _, port = find_address().rpartition(":")
        settings = AgentSettings(
            HostSettings(name="h", failure_domain="z", ip=host, first_port=int(port)),
            StoreSettings(address="127.0.0.1:1"),
            BoundSettings(),
            RunnerSettings(address="127.0.0.1:1", heartbeat_address=find_address()),
        )
        agent = Agent(settings, self.clock)
        agent._runner = agent._executor._runner = cast(Runner, self.runner)
        agent._executor.start_threads()
        return agent

    def poll(self) -> None:
        """Receive a list of the runs on the runner."""
        number = self.agent._state.begin_poll()
        self.agent._apply_snapshot(self.runner.poll().unwrap(), number)

    def send(self, *orders: StartOrder | StopOrder, **fields: Any) -> None:
        """Let a message of the leader with orders arrive."""
        numbered = []
        for order in orders:
            self.applied += 1
            match order:
                case StartOrder():
                    numbered.append(NumberedOrder(self.applied, start=order))
                case StopOrder():
                    numbered.append(NumberedOrder(self.applied, stop=order))
        self.agent._handle_orders(
            HostOrders(
                epoch=1,
                session=self.session,
                incarnation=self.agent._state._identity.incarnation,
                authority_seconds=6.0,
                report_sent_at=self.clock.boottime().total_seconds(),
                orders=tuple(numbered),
                specs={JOB: "spec"},
                demands={build_run(i).task: DEMAND for i in range(MAX_TASKS)},
                **fields,
            )
        )

    def start(self, *indexes: int) -> None:
        self.send(*(StartOrder(*build_run(i), "", "", "", PROFILE) for i in indexes))

    def stop(self, *indexes: int) -> None:
        self.send(*(StopOrder(*build_run(i)) for i in indexes))


class StartTests(WithdrawnOrderCase):
    """Starts that wait behind calls without an answer."""

    def test_a_start_that_waits_is_not_sent_after_its_job_was_cancelled(self):
        """Guards against tasks of cancelled jobs that an agent starts late."""
        self.start(*range(START_THREADS + 1))
        self.assertTrue(self.runner.wait_for(self.runner.starts, START_THREADS))
        self.stop(START_THREADS)
        self.runner.release()
        self.start(START_THREADS + 1)
        self.assertTrue(self.runner.wait_for(self.runner.starts, START_THREADS + 1))
        self.assertNotIn(build_run(START_THREADS), self.runner.starts)


class StopTests(WithdrawnOrderCase):
    """Stops beside calls without an answer."""

    def test_a_stop_does_not_wait_behind_starts_without_an_answer(self):
        """Guards against tasks of cancelled jobs that go on while starts hang."""
        self.runner.running = (RunningTask(*build_run(9), "", 0, 0.0),)
        self.poll()
        self.start(*range(START_THREADS))
        self.assertTrue(self.runner.wait_for(self.runner.starts, START_THREADS))
        self.stop(9)
        self.assertTrue(self.runner.wait_for(self.runner.stops, 1))

    def test_a_start_in_flight_is_stopped_at_once(self):
        """Guards against a start that the runner carries out after its stop."""
        self.start(0)
        self.assertTrue(self.runner.wait_for(self.runner.starts, 1))
        self.stop(0)
        self.assertTrue(self.runner.wait_for(self.runner.stops, 1))
        self.assertEqual(self.runner.stops, [build_run(0)])

    def test_a_stop_without_an_answer_is_sent_again_while_the_run_goes_on(self):
        """Guards against a cancelled task that goes on as its stop was lost."""
        self.runner.hangs_on_stops = True
        self.runner.running = (RunningTask(*build_run(9), "", 0, 0.0),)
        self.poll()
        self.stop(9)
        self.assertTrue(self.runner.wait_for(self.runner.stops, 1))
        self.poll()
        self.assertIsNone(self.agent._state.take_stop(self.clock.boottime()))
        self.clock.advance(STOP_RESEND_DELAY)
        self.poll()
        self.assertTrue(self.runner.wait_for(self.runner.stops, 2))
        self.clock.advance(STOP_RESEND_DELAY)
        self.runner.running = ()
        self.poll()
        self.assertIsNone(self.agent._state.take_stop(self.clock.boottime()))

    def test_a_stop_that_a_fence_refused_is_sent_again_at_once(self):
        """Guards against a stop that is lost beside a start that is settled."""
        self.runner.running = (RunningTask(*build_run(9), "", 0, 0.0),)
        self.poll()
        self.runner.lowest_token = self.agent._token.value + 1
        self.stop(9)
        self.assertTrue(self.runner.wait_for(self.runner.stops, 2))
        self.assertLess(self.runner.tokens[0], self.runner.tokens[1])

    def test_polls_go_on_while_stops_have_no_answer(self):
        """Guards against leases that lapse as the poll thread sends stops."""
        self.runner.hangs_on_stops = True
        runs = [build_run(i) for i in range(MAX_TASKS)]
        self.runner.running = tuple(RunningTask(*run, "", 0, 0.0) for run in runs)
        self.poll()
        self.stop(*range(MAX_TASKS))
        self.assertTrue(self.runner.wait_for(self.runner.stops, STOP_THREADS))
        self.poll()
        self.assertEqual(len(self.runner.stops), STOP_THREADS)

    def test_a_stop_by_a_former_agent_process_reaches_a_run_that_is_not_listed(self):
        """Guards against a late start of a predecessor that nothing stops."""
        self.stop(9)
        self.assertTrue(self.runner.wait_for(self.runner.stops, 1))
        self.poll()
        self.clock.advance(STOP_RESEND_DELAY)
        self.poll()
        self.assertIsNone(self.agent._state.take_stop(self.clock.boottime()))


class PaceTests(WithdrawnOrderCase):
    """Paces that wait behind calls without an answer."""

    def setUp(self):
        super().setUp()
        runs = [build_run(i) for i in range(3)]
        self.runner.running = tuple(RunningTask(*run, "", 0, 0.0) for run in runs)
        self.poll()
        self.set_pace(0, 50)
        self.assertTrue(self.runner.wait_for(self.runner.paces, 1))

    def set_pace(self, index: int, percent: int) -> None:
        self.agent._executor.set_paces([PaceChange(*build_run(index), percent)])

    def test_a_newer_pace_replaces_one_that_waits(self):
        """Guards against a task that is slowed down again by an outdated pace."""
        self.set_pace(1, 20)
        self.set_pace(1, 70)
        self.runner.release()
        self.assertTrue(self.runner.wait_for(self.runner.paces, 2))
        self.assertEqual(self.runner.paces[1], (build_run(1), 70))

    def test_no_pace_is_sent_for_a_run_that_has_ended_or_has_to_stop(self):
        """Guards against calls that delay the paces of runs that go on."""
        self.set_pace(1, 20)
        self.stop(1)
        self.set_pace(2, 30)
        self.runner.release()
        self.assertTrue(self.runner.wait_for(self.runner.paces, 2))
        self.assertEqual(self.runner.paces[1], (build_run(2), 30))

    def test_a_pace_without_an_answer_has_no_effect_after_a_newer_one(self):
        """Guards against a serving task that is disturbed by a late pace."""
        token = self.agent._token.value
        self.runner.release()
        self.set_pace(2, 30)
        self.assertTrue(self.runner.wait_for(self.runner.paces, 2))
        self.assertGreater(self.agent._token.value, token)

    def test_a_pace_without_an_answer_is_sent_again(self):
        """Guards against a task that is never slowed down as a call was lost."""
        self.runner.release()
        self.set_pace(2, 30)
        self.assertTrue(self.runner.wait_for(self.runner.paces, 2))
        self.agent._executor.set_paces([])
        self.assertTrue(self.runner.wait_for(self.runner.paces, 3))
        self.assertIn(self.runner.paces[2], [(build_run(0), 50), (build_run(2), 30)])


class RefusalCase(WithdrawnOrderCase):
    """Starts that wait, and what the agent reports of them."""

    def list_refusals(self) -> list[tuple[str, str, int]]:
        report = self.agent._state.build_report(self.clock.boottime(), self.agent._pace)
        return [(r.task, r.reason, r.number) for r in report.refused]

    def hold_up_starts(self) -> None:
        self.start(*range(START_THREADS))
        self.assertTrue(self.runner.wait_for(self.runner.starts, START_THREADS))


class RefusalTests(RefusalCase):
    """Waiting starts that are refused without a call."""

    def test_a_withdrawn_start_is_reported_before_its_turn(self):
        """Guards against capacity that stays reserved for a cancelled job."""
        self.hold_up_starts()
        self.start(9)
        self.stop(9)
        task = build_run(9).task
        self.assertEqual(self.list_refusals(), [(task, "withdrawn", START_THREADS + 1)])
        self.assertEqual(self.agent._state.waiting_starts, 0)

    def test_a_start_of_a_former_session_is_refused_before_its_turn(self):
        """Guards against orders of a leader that has been replaced."""
        self.hold_up_starts()
        self.start(9)
        self.applied = 0
        self.session = 2
        self.send()
        self.assertEqual(
            self.list_refusals(), [(build_run(9).task, "session is over", 0)]
        )
        self.runner.release()
        self.start(10)
        self.assertTrue(self.runner.wait_for(self.runner.starts, START_THREADS + 1))
        self.assertNotIn(build_run(9), self.runner.starts)


class LimitTests(RefusalCase):
    """Starts that wait for longer than they are good for."""

    def test_a_start_is_not_sent_after_the_time_that_the_leader_set(self):
        """Guards against orders of a leader that has not heard of a cancellation."""
        self.hold_up_starts()
        self.start(9)
        self.send(start_seconds=1.0)
        self.clock.advance(timedelta(seconds=1))
        self.agent._state.refuse_outdated_starts(self.clock.boottime())
        task, number = build_run(9).task, START_THREADS + 1
        refusal = (task, "order is out of date", number)
        self.assertEqual(self.list_refusals(), [refusal])

    def test_a_start_whose_time_has_passed_is_refused_at_its_turn(self):
        """Guards against a start between two checks of the time."""
        self.send(start_seconds=1.0)
        self.clock.advance(timedelta(seconds=1))
        now = self.clock.boottime()
        order = StartOrder(*build_run(9), "", "", "", PROFILE)
        permission = self.agent._state.permit_start(
            WaitingStart(order, (1, 1), now), now
        )
        self.assertEqual(permission, Failure("order is out of date"))

    def test_a_later_message_prolongs_the_time_for_a_start(self):
        """Guards against starts that are refused on a busy host without need."""
        self.hold_up_starts()
        self.start(9)
        self.send(start_seconds=1.0)
        self.clock.advance(timedelta(seconds=0.9))
        self.send(start_seconds=1.0)
        self.clock.advance(timedelta(seconds=0.9))
        self.agent._state.refuse_outdated_starts(self.clock.boottime())
        self.assertEqual(self.list_refusals(), [])

    def test_no_start_is_sent_while_a_message_with_orders_is_missing(self):
        """Guards against a start whose stop was in a message that was lost."""
        self.hold_up_starts()
        self.start(9)
        lost = StopOrder(*build_run(9))
        self.send(last_order=self.applied + 1)
        self.assertIsNone(self.agent._state.take_start())
        self.send(lost)
        self.assertEqual(self.list_refusals()[0][:2], (build_run(9).task, "withdrawn"))

    def test_an_older_message_does_not_bring_back_a_limit(self):
        """Guards against starts that are refused as messages overtook each other."""
        self.send(start_seconds=5.0)
        self.clock.advance(timedelta(seconds=-1))
        self.send(start_seconds=0.0, last_order=99)
        self.clock.advance(timedelta(seconds=1))
        self.start(9)
        self.assertTrue(self.runner.wait_for(self.runner.starts, 1))


FUZZ_SEEDS = range(20)
FUZZ_TICKS = 300


class HeldStartFuzzTests(AsyncTestCase):
    """Starts that wait at agents at random, beside cancellations and other failures."""

    def test_no_task_of_a_cancelled_job_is_started_later_than_the_bound(self):
        """Guards against a way of a withdrawn order past the checks of an agent."""
        for seed in FUZZ_SEEDS:
            with self.subTest(seed=seed):
                fuzz = HeldStartFuzz(seed)
                fuzz.run()
                self.assertEqual(fuzz.watched.violations, [], f"seed {seed}")
                self.assertEqual(fuzz.world.violations, [], f"seed {seed}")
                phases = [fuzz.world.find_phase(job) for job in fuzz.jobs]
                self.assertTrue(all(phase.final for phase in phases), f"seed {seed}")


class HeldStartFuzz:
    """One world whose agents hold starts up for 0.5 to 6 s now and then."""

    def __init__(self, seed: int) -> None:
        self.world = World(seed)
        self.world.loss_probability = 0.1
        self.watched = Cancellations(self.world)
        self.jobs: list[str] = []
        self.released_at: dict[str, timedelta] = {}

    def run(self) -> None:
        """Inject failures, then wait until every job has ended."""
        world, rng = self.world, self.world.random
        for _ in range(FUZZ_TICKS):
            self._inject_failure()
            self._hold_up_starts()
            if rng.random() < 0.2:
                step = build_step(width=rng.randint(1, 6), cpu=rng.choice([500, 1500]))
                self.jobs.append(world.submit(step))
            self.watched.step()
        world.loss_probability = 0.0
        world.attached = {}
        self.released_at.clear()
        for runner in world.runners:
            runner.silent = False
        for agent in world.agents.values():
            agent.is_held_up = False
        self.watched.run(60)

    def _inject_failure(self) -> None:
        world, rng = self.world, self.world.random
        event = rng.random()
        if event < 0.05:
            until = world.now() + timedelta(seconds=rng.uniform(0.5, 6))
            self.released_at[rng.choice(list(world.agents))] = until
        elif event < 0.15 and self.jobs:
            job = rng.choice(self.jobs[-5:])
            if job not in self.watched.cancelled_at:
                self.watched.cancel(job)
        elif event < 0.16:
            world.elect()
        elif event < 0.18:
            runner = rng.choice(world.runners)
            runner.silent = not runner.silent
        elif event < 0.19:
            rng.choice(world.runners).restart()
        elif event < 0.20:
            name = rng.choice(list(world.agents))
            world.attached[name] = rng.choice(world.leaders)
        elif event < 0.22:
            world.attached = {}

    def _hold_up_starts(self) -> None:
        for name, agent in self.world.agents.items():
            until = self.released_at.get(name, timedelta())
            agent.is_held_up = until > self.world.now()

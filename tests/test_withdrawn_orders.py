"""Tests of orders that are withdrawn before they are carried out."""

import threading
from typing import cast

from returns.result import Failure, Result, Success

from bench.addresses import find_address
from egretcrank.agent.daemon import Agent
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

JOB = "00000000000000a1"
PROFILE = TaskProfile(100, False, "", 0.0)
DEMAND = TaskDemand(100, 10, 0)
# Starts that an agent carries out at the same time.
CONCURRENT_STARTS = 4
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
        self, order: StartOrder, deadline: int, token: int
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

    def _note(self, calls: list, call: object) -> None:
        with self._changed:
            calls.append(call)
            self._changed.notify_all()

    def _answer(self) -> Result[CommandResult, Problem]:
        with self._changed:
            self._changed.wait_for(lambda: self._released, PATIENCE_SECONDS)
        return Failure(Problem(ErrorKind.CALL_TIMEOUT, "test"))

    def release(self) -> None:
        """Let the calls in progress end without an answer, and later ones, too."""
        with self._changed:
            self._released = True
            self._changed.notify_all()

    def wait_for(self, calls: list, count: int) -> bool:
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
        agent._runner = cast(Runner, self.runner)
        return agent

    def poll(self) -> None:
        """Receive a list of the runs on the runner."""
        number = self.agent._state.begin_poll()
        self.agent._apply_snapshot(self.runner.poll().unwrap(), number)

    def send(self, *orders: StartOrder | StopOrder) -> None:
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
                session=1,
                incarnation=self.agent._state._identity.incarnation,
                authority_seconds=6.0,
                report_sent_at=self.clock.boottime().total_seconds(),
                orders=tuple(numbered),
                specs={JOB: "spec"},
                demands={build_run(i).task: DEMAND for i in range(MAX_TASKS)},
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
        self.start(*range(CONCURRENT_STARTS + 1))
        self.assertTrue(self.runner.wait_for(self.runner.starts, CONCURRENT_STARTS))
        self.stop(CONCURRENT_STARTS)
        self.runner.release()
        self.start(CONCURRENT_STARTS + 1)
        self.assertTrue(self.runner.wait_for(self.runner.starts, CONCURRENT_STARTS + 1))
        self.assertNotIn(build_run(CONCURRENT_STARTS), self.runner.starts)


class StopTests(WithdrawnOrderCase):
    """Stops beside calls without an answer."""

    def test_a_stop_does_not_wait_behind_starts_without_an_answer(self):
        """Guards against tasks of cancelled jobs that go on while starts hang."""
        self.runner.running = (RunningTask(*build_run(9), "", 0, 0.0),)
        self.poll()
        self.start(*range(CONCURRENT_STARTS))
        self.assertTrue(self.runner.wait_for(self.runner.starts, CONCURRENT_STARTS))
        self.stop(9)
        self.assertTrue(self.runner.wait_for(self.runner.stops, 1))

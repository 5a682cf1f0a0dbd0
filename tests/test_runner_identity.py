"""Tests of which reports describe the runner, and which process its calls name."""

import threading
from datetime import timedelta
from typing import Any, cast

from returns.result import Failure, Result, Success

from egretcrank.agent.daemon import Agent
from egretcrank.agent.ignored_heartbeats import IgnoredHeartbeats
from egretcrank.agent.pace import PaceController
from egretcrank.agent.state import AgentState, Identity
from egretcrank.agent.tokens import FencingToken
from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.observability.metrics import Metrics
from egretcrank.platform.heartbeats import Heartbeat
from egretcrank.platform.runner import RunnerSnapshot
from egretcrank.wire.hosting import HostOrders, RunnerInfo
from tests.cases import AsyncTestCase, ManualClock

BORN = 1_000_000
TICK = timedelta(milliseconds=100)


def describe(runner_id: str, born: int, service: str = "s") -> RunnerInfo:
    """Build the description that a process gives of itself."""
    return RunnerInfo(
        runner_id, born, service, "z", "", ("a",), 4000, 500, 0, False, 0.0
    )


class Process:
    """Runner process that refuses calls that name another one."""

    def __init__(self, runner_id: str, born: int) -> None:
        self.runner_id = runner_id
        self.born = born
        self.clock = 1000
        self.is_up = True
        # Ids that the calls named, in their order.
        self.named: list[str] = []
        # Id that the client names in calls other than polls.
        self.instance = ""

    def poll(
        self,
        deadline: timedelta | None,
        token: int,
        acknowledged: int,
        wait: timedelta,
        instance: str | None = None,
    ) -> Result[RunnerSnapshot, Problem]:
        """Answer like the client of a runner; without an id, ``instance`` counts."""
        if not self.is_up:
            return Failure(Problem(ErrorKind.CONNECTION_REFUSED, "test"))
        named = self.instance if instance is None else instance
        self.named.append(named)
        self.clock += 100
        if named not in ("", self.runner_id):
            return Failure(Problem(ErrorKind.WRONG_INCARNATION, "test"))
        return Success(RunnerSnapshot(self.clock, self.born, (), ()))


class RunnerIdentityCase(AsyncTestCase):
    """An agent with a leader, beside the process of a runner."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.process = Process("r1", BORN)
        self.sequence = 0
        agent = Agent.__new__(Agent)
        agent._clock = self.clock
        agent._lock = threading.RLock()
        agent._metrics = Metrics()
        agent._state = AgentState(Identity("h", "h:1", "i"))
        agent._pace = PaceController()
        agent._pace_adjusted_at = timedelta()
        agent._token = FencingToken(1)
        agent._runner_unreachable = False
        agent._ignored = IgnoredHeartbeats(self.clock, agent._metrics)
        agent._report_due = threading.Event()
        agent._executor = cast(Any, self)
        agent._runner = cast(Any, self.process)
        self.agent = agent
        self.state = agent._state
        now = self.clock.boottime().total_seconds()
        orders = HostOrders(
            epoch=1,
            session=1,
            incarnation="i",
            report_sent_at=now,
            authority_seconds=600.0,
        )
        self.state.accept_orders(orders, self.clock.boottime())

    def wake(self) -> None:
        """Let the threads for orders look for what is due; there are none."""

    def set_paces(self, changes: object) -> None:
        """Send paces; there are no tasks."""

    def hear(self, runner: RunnerInfo, sequence: int | None = None) -> None:
        """Receive a report."""
        if sequence is None:
            self.sequence += 1
            sequence = self.sequence
        self.agent._handle_heartbeat(Heartbeat(runner, "r:1", sequence, 0))

    def hear_runner(self) -> None:
        """Receive a report of the process that answers."""
        self.hear(describe(self.process.runner_id, self.process.born))

    def poll(self) -> bool:
        """Poll the runner once as the agent's loop does."""
        self.clock.advance(TICK)
        return self.agent._poll_runner(timedelta())

    def replace_process(self, runner_id: str, born: int) -> None:
        """Let another process follow at the runner's address, after a refused poll."""
        self.process.is_up = False
        self.poll()
        named, instance = self.process.named, self.process.instance
        self.process = Process(runner_id, born)
        self.agent._runner = cast(Any, self.process)
        self.process.named, self.process.instance = named, instance

    def find_reported_id(self) -> str | None:
        """Return the id of the runner in the next report to the leader."""
        report = self.state.build_report(self.clock.boottime(), self.agent._pace)
        return report.runner.runner_id if report.runner is not None else None


class OtherWriterTests(RunnerIdentityCase):
    """Reports that do not come from the runner."""

    def setUp(self):
        super().setUp()
        self.hear_runner()
        self.assertTrue(self.poll())

    def test_a_report_of_another_writer_takes_no_runner_away(self):
        """Guards against a host without a runner beside a writer that reports often.

        Case 6 of the review: the writer has an id of its own and a service that no
        manifest names.
        """
        self.hear(describe("other", BORN + 50, "archive"))
        self.assertEqual(self.find_reported_id(), "r1")
        for _ in range(3):
            self.assertTrue(self.poll())
            self.hear(describe("other", BORN + 50, "archive"))
            self.assertEqual(self.find_reported_id(), "r1")
        self.assertNotIn("other", self.process.named)

    def test_a_report_of_another_writer_is_believed_by_no_new_agent(self):
        """Guards against a runner that the first report after a start names."""
        self.agent._state = self.state = AgentState(Identity("h", "h:1", "i"))
        self.hear(describe("other", BORN + 50))
        self.assertTrue(self.poll())
        self.assertIsNone(self.find_reported_id())
        self.hear_runner()
        self.assertEqual(self.find_reported_id(), "r1")
        self.assertTrue(self.poll())

    def test_an_id_that_the_runner_refuses_names_no_runner(self):
        """Guards against calls in vain under the id of a writer with an equal birth."""
        self.agent._state = self.state = AgentState(Identity("h", "h:1", "i"))
        self.hear(describe("other", BORN))
        self.poll()
        self.poll()
        self.poll()
        self.assertIsNone(self.find_reported_id())
        self.hear_runner()
        self.hear(describe("other", BORN), 1000)
        self.assertEqual(self.find_reported_id(), "r1")
        self.assertTrue(self.poll())
        self.assertEqual(self.process.named[-1], "r1")

    def test_an_unregistration_of_another_writer_ends_nothing(self):
        """Guards against a runner that counts as left as another writer has left."""
        self.hear(describe("other", BORN + 50))
        self.agent._handle_runner_left("other")
        self.assertFalse(self.state.runner_left)

    def test_an_announced_end_of_another_writer_stops_no_starts(self):
        """Guards against a runner that counts as draining as another writer drains."""
        self.hear(describe("other", BORN + 50)._replace(draining=True))
        assert self.state.runner is not None
        self.assertFalse(self.state.runner.draining)

    def test_many_reports_of_other_writers_displace_no_runner(self):
        """Guards against memory that grows with ids, and a runner that is forgotten."""
        for number in range(1000):
            self.hear(describe(f"other{number}", BORN + number, "archive"))
        self.assertLess(len(self.state._runner_identity._reports), 100)
        self.assertTrue(self.poll())
        self.assertEqual(self.find_reported_id(), "r1")


class NextProcessTests(RunnerIdentityCase):
    """Processes that follow one another at the address of the runner."""

    def setUp(self):
        super().setUp()
        self.hear_runner()
        self.assertTrue(self.poll())

    def test_a_process_under_another_id_is_used_once_it_answers(self):
        """Guards against calls that name the former process until the next report."""
        self.replace_process("r2", BORN + 5000)
        self.assertTrue(self.poll())
        self.assertIsNone(self.find_reported_id())
        self.hear_runner()
        self.assertEqual(self.find_reported_id(), "r2")
        self.assertTrue(self.poll())
        self.assertEqual(self.process.named[-1], "r2")

    def test_a_report_that_comes_before_the_first_answer_is_used_with_it(self):
        """Guards against a wait for the second report of the next process."""
        self.replace_process("r2", BORN + 5000)
        self.hear_runner()
        self.assertIsNone(self.find_reported_id())
        self.assertTrue(self.poll())
        self.assertEqual(self.find_reported_id(), "r2")

    def test_a_process_that_follows_unnoticed_is_found_by_its_refusal(self):
        """Guards against a runner that refuses each poll, as all name another one."""
        self.process.runner_id, self.process.born = "r2", BORN + 5000
        self.assertTrue(self.poll())
        self.hear_runner()
        self.assertEqual(self.find_reported_id(), "r2")

    def test_an_id_that_comes_again_is_used_again(self):
        """Guards against a runner that is refused as a former one had its id."""
        for born in (BORN + 5000, BORN + 9000):
            self.replace_process("r2" if born == BORN + 5000 else "r1", born)
            self.hear_runner()
            self.assertTrue(self.poll())
            self.assertEqual(self.find_reported_id(), self.process.runner_id)

    def test_a_process_that_is_born_before_the_former_one_is_used(self):
        """Guards against a runner that is lost as the time of day went back.

        Case 7 of the review; each process has an id of its own.
        """
        self.replace_process("r2", BORN - 5000)
        self.assertTrue(self.poll())
        self.hear_runner()
        self.assertEqual(self.find_reported_id(), "r2")
        self.assertTrue(self.poll())
        self.assertEqual(self.process.named[-1], "r2")

    def test_the_first_report_of_a_process_that_is_born_earlier_is_kept(self):
        """Guards against a wait for the second report after the clock went back."""
        self.replace_process("r2", BORN - 5000)
        self.hear_runner()
        self.assertIsNone(self.find_reported_id())
        self.assertTrue(self.poll())
        self.assertEqual(self.find_reported_id(), "r2")

    def test_a_late_reply_of_a_former_process_that_is_born_later_brings_none_back(self):
        """Guards against a crash that never was, by a reply that came out of turn."""
        former = self.state.begin_poll()
        self.replace_process("r2", BORN - 5000)
        self.hear_runner()
        self.assertTrue(self.poll())
        late = RunnerSnapshot(9000, BORN, (), ())
        self.state.apply_snapshot(late, self.clock.boottime(), former)
        self.assertEqual(self.find_reported_id(), "r2")

    def test_a_late_report_of_a_former_process_describes_no_runner(self):
        """Guards against a description that a partition has held up."""
        self.replace_process("r2", BORN + 5000)
        self.hear_runner()
        self.assertTrue(self.poll())
        self.hear(describe("r1", BORN), 1000)
        self.assertEqual(self.find_reported_id(), "r2")
        self.assertTrue(self.poll())
        self.assertEqual(self.process.named[-1], "r2")

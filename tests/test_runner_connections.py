"""Tests of starts while another process takes the place of a runner unnoticed."""

import json
import socket
import threading
from datetime import timedelta
from typing import Any

from returns.result import Failure, Success

from egretcrank.agent.execution import OrderExecutor
from egretcrank.agent.starts import WaitingStart
from egretcrank.agent.state import AgentState, Identity
from egretcrank.agent.tokens import FencingToken
from egretcrank.errors.answers import was_not_run
from egretcrank.observability.metrics import Metrics
from egretcrank.platform import calls
from egretcrank.platform.runner import Runner, RunnerSnapshot
from egretcrank.wire.hosting import (
    HostOrders,
    NumberedOrder,
    Run,
    RunnerInfo,
    RunnerRequirement,
    StartOrder,
    TaskDemand,
    TaskProfile,
)
from tests.cases import AsyncTestCase, ManualClock

TASK = "j.0.0.0"
PROFILE = TaskProfile(1000, False, "", 0.0)
ORDER = StartOrder(TASK, 1, "spec", "", "", PROFILE)
SOCKET_TIMEOUT_SECONDS = 5.0


class RunnerProcess:
    """Process of a runner that answers each call, until it falls silent."""

    def __init__(self, born: int, port: int = 0) -> None:
        self.born = born
        self.paths: list[str] = []
        self.is_silent = False
        self._listener = socket.create_server(("127.0.0.1", port))
        self._sockets: list[socket.socket] = []
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def replace(self, born: int) -> "RunnerProcess":
        """Fall silent, and return another process at the same address.

        Open connections stay open, as after a loss of power.
        """
        self.is_silent = True
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        return RunnerProcess(born, self.port)

    def close(self) -> None:
        for opened in (self._listener, *self._sockets):
            opened.close()

    @property
    def starts(self) -> int:
        return sum(path.endswith("run-start") for path in self.paths)

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            connection.settimeout(SOCKET_TIMEOUT_SECONDS)
            self._sockets.append(connection)
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        try:
            with connection.makefile("rb") as stream:
                while line := stream.readline():
                    length = 0
                    while (header := stream.readline()) not in (b"\r\n", b""):
                        name, _, value = header.partition(b":")
                        if name.lower() == b"content-length":
                            length = int(value)
                    stream.read(length)
                    self.paths.append(line.split()[1].decode())
                    if not self.is_silent:
                        connection.sendall(self._build_answer())
        except OSError:
            return

    def _build_answer(self) -> bytes:
        lists = {"clock_ms": 1000, "born": self.born, "running": [], "ended": []}
        body = json.dumps(lists).encode()
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


def describe(born: int, kind: str) -> RunnerInfo:
    """Build the description that a runner process gives of itself."""
    return RunnerInfo("r", born, "s", "z", "", (kind,), 4000, 500, 0, False, 0.0)


class ReplacedProcessTests(AsyncTestCase):
    """Starts that may reach another process than the one they are meant for."""

    def setUp(self):
        super().setUp()
        self.process = RunnerProcess(1)
        self.addCleanup(self.process.close)
        self.runner = Runner(f"127.0.0.1:{self.process.port}")
        self.addCleanup(self.runner.close)

    def replace_process(self) -> RunnerProcess:
        successor = self.process.replace(2)
        self.addCleanup(successor.close)
        return successor

    def start(self) -> Any:
        return self.runner.start(ORDER, 6000, 1, 1)

    def test_a_start_opens_no_connection(self):
        """Guards against a start that reaches whoever listens at the address."""
        started = self.start()
        self.assertTrue(was_not_run(started.failure().kind))
        self.assertEqual(self.process.paths, [])

    def test_a_start_uses_a_connection_that_a_poll_has_opened(self):
        """Guards against starts that are never sent."""
        self.runner.poll(None, 1, 0, timedelta()).unwrap()
        self.assertIsInstance(self.start(), Success)
        self.assertIsInstance(self.start(), Success)
        self.assertEqual(self.process.starts, 2)

    def test_a_start_uses_no_connection_that_another_call_has_opened(self):
        """Guards against a stop that reaches the next process, and a start after it."""
        self.runner.stop(TASK, 1, 1).unwrap()
        self.assertIsInstance(self.start(), Failure)
        self.assertEqual(self.process.starts, 0)

    def test_a_start_does_not_reach_a_process_that_no_poll_has_shown(self):
        """Guards against a start on a runner that was replaced within a second."""
        self.runner.poll(None, 1, 0, timedelta()).unwrap()
        successor = self.replace_process()
        self.assertIsInstance(self.start(), Failure)
        self.assertIsInstance(self.start(), Failure)
        self.assertEqual(successor.paths, [])

    def test_a_start_does_not_reach_the_process_that_another_thread_has_just_met(self):
        """Guards against a start on another kind of runner.

        It was permitted for the former process, and is sent once another thread's poll
        has opened a connection to the next one, whose reply is not applied yet.
        """
        self.runner.poll(None, 1, 0, timedelta()).unwrap()
        self.runner.close()
        self.runner = Runner(f"127.0.0.1:{self.process.port}")
        self.addCleanup(self.runner.close)
        successor = self.replace_process()
        self.runner.poll(None, 1, 0, timedelta()).unwrap()
        self.assertIsInstance(self.start(), Failure)
        self.assertEqual(successor.starts, 0)

    def test_a_connection_that_was_opened_anew_is_not_known_by_its_former_reply(self):
        """Guards against a reply that is noted after its connection was replaced."""
        self.runner.poll(None, 1, 0, timedelta()).unwrap()
        connection = calls._thread.connection
        former_socket = calls._thread.socket
        assert connection is not None
        assert former_socket is not None
        connection.close()
        successor = self.replace_process()
        self.runner.stop(TASK, 1, 1)
        self.runner.poll(None, 1, 0, timedelta()).unwrap()
        connection.identified = (former_socket, 1)
        self.assertIsInstance(self.start(), Failure)
        self.assertEqual(successor.starts, 0)

    def test_a_start_that_needs_a_connection_is_permitted_again_after_a_poll(self):
        """Guards against a start on another kind of runner, and against none at all."""
        clock, lock = ManualClock(), threading.RLock()
        state = AgentState(Identity("h", "h:1", "i"))
        reports: list[None] = []

        def apply_snapshot(snapshot: RunnerSnapshot, poll: int) -> None:
            state.apply_snapshot(snapshot, clock.boottime(), poll)

        executor = OrderExecutor(
            self.runner,
            state,
            lock,
            clock,
            Metrics(),
            FencingToken(1),
            apply_snapshot,
            lambda: reports.append(None),
        )
        state.update_runner(describe(1, "a"), 1)
        poll = state.begin_poll()
        apply_snapshot(RunnerSnapshot(1000, 1, (), ()), poll)
        orders = tuple(
            NumberedOrder(number, start=ORDER._replace(run=number))
            for number in (1, 2, 3)
        )
        state.accept_orders(
            HostOrders(
                epoch=1,
                session=1,
                incarnation="i",
                authority_seconds=6.0,
                report_sent_at=clock.boottime().total_seconds(),
                orders=orders,
                specs={"j": "spec"},
                demands={TASK: TaskDemand(1000, 100, 0)},
                start_seconds=3.0,
                last_order=3,
                requirements={"j.0.0": RunnerRequirement("s", "a")},
            ),
            clock.boottime(),
        )
        self.carry_out(executor, state)
        self.assertEqual(self.process.starts, 1)
        self.assertIn(Run(TASK, 1), state._started)
        # No connection is idle, as if polls and starts were under way on all.
        self.runner.close()
        self.runner = executor._runner = Runner(f"127.0.0.1:{self.process.port}")
        self.addCleanup(self.runner.close)
        successor = self.replace_process()
        self.carry_out(executor, state)
        self.assertEqual(successor.starts, 0)
        refusals = {refused.run: refused.reason for refused in state._refused}
        self.assertEqual(refusals, {2: "unsuitable"})
        # The next process describes itself, and is of the same kind.
        state.update_runner(describe(2, "a"), 1)
        self.carry_out(executor, state)
        self.assertEqual(successor.starts, 1)

    def carry_out(self, executor: OrderExecutor, state: AgentState) -> None:
        waiting = state.take_start()
        assert isinstance(waiting, WaitingStart)
        executor.carry_out(waiting)

"""Tests of orders and paces that wait behind calls without an answer."""

from datetime import timedelta
from typing import Any
from unittest.mock import patch

from returns.result import Failure, Result, Success

from egretcrank.agent.execution import START_THREADS
from egretcrank.agent.pace import PaceChange
from egretcrank.agent.starts import StartPermit, WaitingStart
from egretcrank.agent.state import OUTDATED, SESSION_OVER
from egretcrank.agent.stops import STOP_RESEND_DELAY, StopList
from egretcrank.platform.runner import (
    FENCED,
    UNHEALTHY,
    CommandResult,
    RunnerSnapshot,
)
from egretcrank.wire.hosting import WITHDRAWN, HostReport, RunningTask, StartOrder
from tests.cases import AsyncTestCase
from tests.cell_world import World, build_step
from tests.test_stale_views import find_cell
from tests.test_withdrawn_orders import (
    PROFILE,
    WithdrawnOrderCase,
    build_run,
)

RUNS = [build_run(i) for i in range(20)]


class StopOrderTests(AsyncTestCase):
    """Which stop is sent next."""

    def test_a_stop_that_was_never_sent_comes_before_one_that_is_sent_again(self):
        """Guards against stops that wait forever behind others without an answer."""
        stops = StopList()
        for run in RUNS:
            stops.add(run)
        now = timedelta(seconds=1)
        sent = []
        for _ in RUNS:
            sent.append(stops.take((), now))
            now += STOP_RESEND_DELAY
        self.assertEqual(sent, RUNS)

    def test_stops_are_sent_again_in_turn(self):
        """Guards against one run that takes the turns of others that have to stop."""
        stops = StopList()
        for run in RUNS[:3]:
            stops.add(run)
        now = timedelta(seconds=1)
        sent = []
        for _ in range(9):
            sent.append(stops.take((), now))
            now += STOP_RESEND_DELAY
        self.assertEqual(sent, RUNS[:3] * 3)

    def test_a_stop_is_sent_once_though_its_run_is_not_listed(self):
        """Guards against a late start by order of a former agent process."""
        stops = StopList()
        stops.add(RUNS[0])
        stops.keep(())
        now = timedelta(seconds=1)
        self.assertEqual(stops.take((), now), RUNS[0])
        stops.keep(())
        self.assertIsNone(stops.take((), now + STOP_RESEND_DELAY))

    def test_a_stop_is_sent_to_the_next_runner_process_at_once(self):
        """Guards against a run that goes on as its stop went to a former process."""
        stops = StopList()
        stops.add(RUNS[0])
        now = timedelta(seconds=1)
        self.assertEqual(stops.take((), now), RUNS[0])
        stops.restart(RUNS[:1])
        self.assertEqual(stops.take((), now), RUNS[0])

    def test_runs_whose_lease_lasts_too_long_get_their_turn(self):
        """Guards against a run that goes on as a stop of another has no answer."""
        stops = StopList()
        stops.add(RUNS[0])
        now = timedelta(seconds=1)
        self.assertEqual(stops.take((RUNS[1],), now), RUNS[0])
        now += STOP_RESEND_DELAY
        self.assertEqual(stops.take((RUNS[1],), now), RUNS[1])


class PaceOrderTests(WithdrawnOrderCase):
    """Which pace is sent next."""

    def test_a_pace_is_sent_again_only_after_those_that_wait(self):
        """Guards against a task that is never slowed down behind one that hangs."""
        self.runner.running = tuple(RunningTask(*run, "", 0, 0.0) for run in RUNS[:3])
        self.poll()
        self.runner.release()
        executor = self.agent._executor
        set_pace = self.runner.set_pace

        def poll_meanwhile(*args: Any) -> Any:
            # A list of the runs arrives during each call without an answer.
            executor.set_paces([])
            return set_pace(*args)

        with patch.object(self.runner, "set_pace", poll_meanwhile):
            executor.set_paces([PaceChange(*run, 50) for run in RUNS[:3]])
            self.assertTrue(self.runner.wait_for(self.runner.paces, 6))
            sent = [run for run, _ in self.runner.paces[:6]]
        self.assertEqual(sent, RUNS[:3] * 2)

    def test_a_pace_that_the_runner_has_not_taken_is_sent_again(self):
        """Guards against a task that disturbs others as its runner was unhealthy."""
        self.runner.running = (RunningTask(*RUNS[0], "", 0, 0.0),)
        self.poll()
        executor = self.agent._executor
        for refusal in (UNHEALTHY, FENCED):
            answers = [refusal, ""]
            token = self.agent._token.value
            sent: list[int] = []

            def set_pace(*args: Any, answers: Any = answers, sent: Any = sent) -> Any:
                sent.append(args[-1])
                return Success(CommandResult(0, answers.pop(0)))

            with patch.object(self.runner, "set_pace", set_pace):
                executor._set_pace(PaceChange(*RUNS[0], 50))
                self.assertEqual(executor._unanswered_paces, {RUNS[0]: 50})
                executor._unanswered_paces.clear()
                executor._set_pace(PaceChange(*RUNS[0], 50))
                self.assertEqual(executor._unanswered_paces, {})
            self.assertEqual(sent[0], token)
            self.assertEqual(sent[1] > token, refusal == FENCED)

    def test_a_pace_without_an_answer_gives_way_to_a_newer_one(self):
        """Guards against a serving task that is disturbed by a repeated old pace."""
        self.runner.running = (RunningTask(*RUNS[0], "", 0, 0.0),)
        self.poll()
        self.runner.release()
        executor = self.agent._executor
        with self.agent._lock:
            executor._paces[RUNS[0]] = 70
            executor._set_pace(PaceChange(*RUNS[0], 50))
            self.assertEqual(executor._paces, {RUNS[0]: 70})
            self.assertEqual(executor._unanswered_paces, {})


class UnansweredStartTests(WithdrawnOrderCase):
    """Starts that the runner may still carry out."""

    def carry_out_start(self) -> None:
        state, now = self.agent._state, self.clock.boottime()
        state._starting[RUNS[0]] = 1
        order = StartOrder(*RUNS[0], "", "", "", PROFILE)
        self.agent._executor.carry_out(WaitingStart(order, (1, 1), now))

    def test_a_start_is_settled_by_a_poll_with_a_higher_token(self):
        """Guards against a refused start that the runner carries out late."""
        tokens: list[int] = []
        start, poll = self.runner.start, self.runner.poll

        def note_start(*args: Any) -> Any:
            tokens.append(args[2])
            return start(*args)

        def note_poll(*args: Any) -> Any:
            tokens.append(args[1])
            return poll(*args)

        self.runner.release()
        with (
            patch.object(self.runner, "start", note_start),
            patch.object(self.runner, "poll", note_poll),
        ):
            self.carry_out_start()
        self.assertEqual(len(tokens), 2)
        self.assertGreater(tokens[1], tokens[0])

    def test_a_start_that_a_fence_refused_is_sent_again(self):
        """Guards against starts that are refused beside one that is settled."""
        tokens: list[int] = []

        def start(order: StartOrder, deadline: int, token: int, process: int) -> Any:
            tokens.append(token)
            return Success(CommandResult(0, FENCED if len(tokens) == 1 else ""))

        with patch.object(self.runner, "start", start):
            self.carry_out_start()
        self.assertEqual(len(tokens), 2)
        self.assertGreater(tokens[1], tokens[0])
        self.assertIn(RUNS[0], self.agent._state._started)

    def test_a_start_that_fails_with_an_error_is_settled(self):
        """Guards against a task that counts as starting for good."""
        with patch.object(self.runner, "start", side_effect=ValueError):
            self.carry_out_start()
        state = self.agent._state
        report = state.build_report(self.clock.boottime(), self.agent._pace)
        refused = [(r.task, r.reason) for r in report.refused]
        self.assertEqual(refused, [(RUNS[0].task, "unanswered")])
        self.assertEqual(state._starting, {})


class RestartTests(WithdrawnOrderCase):
    """Stops beside a runner that starts again."""

    def test_a_stop_of_a_run_of_the_next_process_is_sent_again(self):
        """Guards against a cancelled task that goes on behind a restart.

        The next process carries the start out before the agent receives a list of it.
        """
        state = self.agent._state
        state.mark_started(RUNS[0], self.clock.boottime(), 1)
        self.stop(0)
        self.assertTrue(self.runner.wait_for(self.runner.stops, 1))
        running = (RunningTask(*RUNS[0], "", 0, 0.0),)
        state.apply_snapshot(
            RunnerSnapshot(10, 2, running, ()),
            self.clock.boottime(),
            state.begin_poll(),
        )
        self.clock.advance(STOP_RESEND_DELAY)
        self.assertEqual(state.take_stop(self.clock.boottime()), RUNS[0])


class PermissionTests(WithdrawnOrderCase):
    """What happens between the turn of a start and its call."""

    def take_start(self, index: int) -> WaitingStart:
        """Return a start whose turn has come, while all threads for starts hang."""
        self.start(*range(START_THREADS))
        self.assertTrue(self.runner.wait_for(self.runner.starts, START_THREADS))
        self.start(index)
        waiting = self.agent._state.take_start()
        assert waiting is not None
        self.assertEqual(waiting.run, RUNS[index])
        return waiting

    def ask(self, waiting: WaitingStart) -> Result[StartPermit, str]:
        return self.agent._state.permit_start(waiting, self.clock.boottime())

    def test_a_start_is_permitted_at_its_turn(self):
        """Guards against tests of refusals that would be refused anyway."""
        self.assertIsInstance(self.ask(self.take_start(9)), Success)

    def test_a_stop_at_the_turn_of_a_start_withdraws_it(self):
        """Guards against a start that is sent as its stop came just before the call."""
        waiting = self.take_start(9)
        self.stop(9)
        self.assertEqual(self.ask(waiting), Failure(WITHDRAWN))
        self.assertTrue(self.runner.wait_for(self.runner.stops, 1))

    def test_a_start_is_not_sent_if_a_message_is_missing_at_its_turn(self):
        """Guards against a start whose stop was in a message that was just lost."""
        waiting = self.take_start(9)
        self.send(last_order=self.applied + 1)
        self.assertEqual(self.ask(waiting), Failure(OUTDATED))

    def test_a_start_of_a_former_session_is_refused_at_its_turn(self):
        """Guards against a start by order of a leader that was just replaced."""
        waiting = self.take_start(9)
        self.applied, self.session = 0, 2
        self.send()
        self.assertEqual(self.ask(waiting), Failure(SESSION_OVER))

    def test_the_time_that_a_former_leader_set_ends_with_its_session(self):
        """Guards against starts of a leader with an old view on the time of another."""
        self.send(start_seconds=5.0)
        self.applied, self.session = 0, 2
        self.send(start_seconds=0.0)
        order = StartOrder(*RUNS[9], "", "", "", PROFILE)
        now = self.clock.boottime()
        waiting = WaitingStart(order, (1, 2), now)
        self.assertEqual(self.ask(waiting), Failure(OUTDATED))


class ReportedRefusalTests(WithdrawnOrderCase):
    """What leaders learn of starts that were refused before their turn."""

    def test_a_report_refuses_the_starts_that_are_out_of_date(self):
        """Guards against tasks that wait behind calls without an answer."""
        self.start(*range(START_THREADS))
        self.assertTrue(self.runner.wait_for(self.runner.starts, START_THREADS))
        self.start(9)
        self.send(start_seconds=1.0)
        self.clock.advance(timedelta(seconds=1))
        reports: list[HostReport] = []

        def send(report: HostReport) -> None:
            reports.append(report)
            self.agent._stopping.set()

        self.agent._report_due.set()
        with (
            patch.object(self.agent, "_update_connection"),
            patch.object(self.agent._link, "send", send),
        ):
            self.agent._run_reports()
        refused = [(r.task, r.reason) for r in reports[0].refused]
        self.assertEqual(refused, [(RUNS[9].task, OUTDATED)])

    def test_a_host_whose_start_was_withdrawn_takes_others_at_once(self):
        """Guards against half a second without starts after each cancellation."""
        world = World(321, hosts=1)
        world.run(2)
        world.agents["h0"].is_held_up = True
        job = world.submit(build_step(width=1))
        world.run(0.3)
        host = find_cell(world).hosts["h0"]
        self.assertEqual(len(host.tasks), 1)
        world.cancel(job)
        world.run(0.3)
        self.assertEqual((world.starts, host.tasks), ([], set()))
        self.assertEqual(host.avoid_until, timedelta())

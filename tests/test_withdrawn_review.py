"""Tests of stops and paces that wait behind others without an answer."""

from datetime import timedelta
from typing import Any
from unittest.mock import patch

from egretcrank.agent.pace import PaceChange
from egretcrank.agent.stops import STOP_RESEND_DELAY, StopList
from egretcrank.platform.runner import RunnerSnapshot
from egretcrank.wire.hosting import RunningTask
from tests.cases import AsyncTestCase
from tests.test_withdrawn_orders import WithdrawnOrderCase, build_run

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

"""Tests of the runs that an agent suspects of having crashed its runner."""

import threading
from datetime import timedelta
from typing import Any, cast
from unittest.mock import patch

from returns.result import Failure, Result, Success

from egretcrank.agent.crashes import MAX_LOGGED_RUNS, MAX_SUSPECTS
from egretcrank.agent.daemon import Agent
from egretcrank.agent.execution import OrderExecutor
from egretcrank.agent.pace import PaceController
from egretcrank.agent.starts import WaitingStart
from egretcrank.agent.state import AgentState, Identity
from egretcrank.agent.tokens import FencingToken
from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.observability.metrics import Metrics
from egretcrank.platform.runner import (
    CALL_TIMEOUT,
    CommandResult,
    Runner,
    RunnerSnapshot,
)
from egretcrank.wire.hosting import (
    CrashSuspect,
    EndedTask,
    HostOrders,
    HostReport,
    NumberedOrder,
    Run,
    RunnerInfo,
    RunningTask,
    StartOrder,
    TaskProfile,
)
from tests.cases import AsyncTestCase, ManualClock
from tests.cell_world import World, build_step

DEADLY = Run("d.0.0.0", 1)
OTHER = Run("e.0.0.0", 1)
FORMER, NEXT = 1000, 5000
LONG_SILENCE = 60.0


def build_order(run: Run) -> StartOrder:
    return StartOrder(*run, "", "", "", TaskProfile(1000, False, "", 0.0))


class AgentCase(AsyncTestCase):
    """An agent whose runner's process ``FORMER`` has replied at 0 s."""

    def setUp(self):
        super().setUp()
        self.state = self.build_state()
        self.epoch = 1
        self.applied = 0
        self.reply(0.0)
        self.give_authority(self.epoch)

    def build_state(self) -> AgentState:
        return AgentState(Identity("h", "h:1", "i"))

    def at(self, seconds: float) -> timedelta:
        return timedelta(seconds=1000 + seconds)

    def send_orders(self, **fields: Any) -> list[NumberedOrder]:
        orders = HostOrders(epoch=self.epoch, session=1, incarnation="i", **fields)
        return self.state.accept_orders(orders)

    def give_authority(self, epoch: int) -> None:
        self.epoch = epoch
        self.applied = 0
        self.send_orders(report_sent_at=1000.0, authority_seconds=6.0)

    def order(self, *runs: Run) -> None:
        """Let the agent accept orders to start runs."""
        orders = []
        for run in runs:
            self.applied += 1
            orders.append(NumberedOrder(self.applied, build_order(run)))
        specs = {run.task.partition(".")[0]: "spec" for run in runs}
        accepted = self.send_orders(orders=tuple(orders), specs=specs)
        self.assertEqual(len(accepted), len(runs))

    def send(self, run: Run, seconds: float) -> None:
        """Order a start and send it."""
        self.order(run)
        self.state.mark_sent(run, self.at(seconds))

    def start(self, run: Run, seconds: float) -> None:
        """Order a start that the runner answers at once."""
        self.send(run, seconds)
        self.state.mark_started(run, self.at(seconds), self.state.born)

    def reply(
        self,
        seconds: float,
        *running: Run,
        born: int = FORMER,
        ended: tuple[Run, ...] = (),
    ) -> bool:
        """Receive a reply of a runner process to a new poll."""
        clock = int(seconds * 1000) + 10000 - born
        listed = tuple(RunningTask(*run, "", 0, 0.0) for run in running)
        ends = tuple(EndedTask(n, *run, "done", "") for n, run in enumerate(ended, 1))
        snapshot = RunnerSnapshot(clock, born, listed, ends)
        poll = self.state.begin_poll()
        return self.state.apply_snapshot(snapshot, self.at(seconds), poll)

    def fail_poll(self, seconds: float) -> None:
        self.state.mark_unanswered(self.state.begin_poll(), self.at(seconds))

    def give_up(self, seconds: float = LONG_SILENCE) -> bool:
        """Let a poll fail after the lease of the runner's runs has lapsed."""
        poll, now = self.state.begin_poll(), self.at(seconds)
        self.state.mark_unanswered(poll, now)
        return self.state.expire_silent_runs(now, refused=True, poll=poll)

    def report(self, seconds: float = LONG_SILENCE) -> HostReport:
        return self.state.build_report(self.at(seconds), PaceController())

    @property
    def suspects(self) -> list[CrashSuspect]:
        return list(self.report().suspects)

    @property
    def suspected_runs(self) -> list[Run]:
        return [Run(suspect.task, suspect.run) for suspect in self.suspects]


class SuspectTests(AgentCase):
    """Which runs are suspects once another runner process replies."""

    @property
    def suspects(self) -> list[CrashSuspect]:
        """Suspects of crashes that are certain; earlier reports may name them, too."""
        return [suspect for suspect in self.report().suspects if suspect.confirmed]

    def test_a_run_that_started_right_before_the_crash_is_a_suspect(self):
        """Guards against a deadly task that crashes runner after runner."""
        self.reply(1.0)
        self.start(DEADLY, 1.2)
        self.fail_poll(1.21)
        self.fail_poll(1.4)
        self.assertTrue(self.reply(4.5, born=NEXT))
        (suspect,) = self.suspects
        expected = CrashSuspect(1, *DEADLY, FORMER, 0.0, 1, True)
        self.assertEqual(suspect._replace(age_seconds=0.0), expected)
        self.assertAlmostEqual(suspect.age_seconds, 0.01)

    def test_a_crash_between_two_polls_has_suspects(self):
        """Guards against losing evidence when no call to the runner has failed."""
        self.start(DEADLY, 0.2)
        self.reply(0.5, born=NEXT)
        (suspect,) = self.suspects
        self.assertAlmostEqual(suspect.age_seconds, 0.3)

    def test_a_run_that_was_listed_for_over_a_second_is_no_suspect(self):
        """Guards against blaming the neighbours of a deadly task."""
        self.start(OTHER, 0.1)
        self.reply(0.2, OTHER)
        self.reply(1.3, OTHER)
        self.start(DEADLY, 1.4)
        self.fail_poll(1.41)
        self.reply(4.7, born=NEXT)
        self.assertEqual(self.suspected_runs, [DEADLY])
        self.assertEqual(self.suspects[0].candidates, 1)

    def test_a_listed_run_is_a_suspect_until_it_has_lasted(self):
        """Guards against losing evidence of a task that crashes after a reply."""
        self.start(DEADLY, 0.1)
        self.reply(0.6, DEADLY)
        self.fail_poll(0.9)
        self.reply(4.2, born=NEXT)
        (suspect,) = self.suspects
        self.assertAlmostEqual(suspect.age_seconds, 0.8)

    def test_a_reply_of_the_same_process_clears_the_first_failure(self):
        """Guards against losing evidence of a crash after a call that failed alone."""
        self.fail_poll(0.1)
        self.reply(0.3)
        self.send(DEADLY, 0.4)
        self.state.mark_start_unanswered(DEADLY, self.at(0.41), may_have_run=True)
        self.reply(3.7, born=NEXT)
        (suspect,) = self.suspects
        self.assertAlmostEqual(suspect.age_seconds, 0.01)

    def test_reports_tell_of_a_failed_call_until_the_next_reply(self):
        """Guards against a suspicion that is withdrawn before the runner replies."""
        self.send(DEADLY, 0.4)
        self.state.mark_start_unanswered(DEADLY, self.at(0.41), may_have_run=True)
        self.assertTrue(self.report(0.5).unanswered)
        self.reply(0.6)
        self.assertFalse(self.report(0.7).unanswered)

    def test_silence_does_not_prove_a_run_harmless(self):
        """Guards against losing evidence when a poll fails only after its timeout."""
        self.start(DEADLY, 0.1)
        self.fail_poll(1.5)
        self.reply(4.8, born=NEXT)
        self.assertEqual(self.suspected_runs, [DEADLY])

    def test_a_start_that_was_sent_after_the_first_failure_is_no_suspect(self):
        """Guards against blaming a start that a dead process has reset."""
        self.send(DEADLY, 0.1)
        self.state.mark_start_unanswered(DEADLY, self.at(0.11), may_have_run=True)
        self.send(OTHER, 0.12)
        self.state.mark_start_unanswered(OTHER, self.at(0.13), may_have_run=True)
        self.fail_poll(0.14)
        self.reply(3.4, born=NEXT)
        self.assertEqual(self.suspected_runs, [DEADLY])
        self.assertEqual(self.suspects[0].candidates, 1)

    def test_a_start_that_was_answered_after_a_failure_is_a_suspect(self):
        """Guards against losing evidence when the process outlasts a failed call."""
        self.send(OTHER, 0.1)
        self.state.mark_start_unanswered(OTHER, self.at(0.11), may_have_run=True)
        self.start(DEADLY, 0.12)
        self.fail_poll(0.13)
        self.reply(3.4, born=NEXT)
        self.assertEqual(self.suspected_runs, [DEADLY, OTHER])
        ages = [round(suspect.age_seconds, 6) for suspect in self.suspects]
        self.assertEqual(ages, [0.01, 0.03])

    def test_a_start_that_was_sent_after_another_timed_out_is_a_suspect(self):
        """Guards against blaming the one start that the stalled runner answered late.

        A timeout does not tell that the process has ended.
        """
        self.send(OTHER, 0.1)
        self.state.mark_start_unanswered(OTHER, self.at(0.75), may_have_run=True)
        self.send(DEADLY, 0.76)
        self.state.mark_start_unanswered(DEADLY, self.at(0.77), may_have_run=True)
        self.reply(4.0, born=NEXT)
        self.assertEqual(self.suspected_runs, [DEADLY, OTHER])

    def test_an_unanswered_start_is_a_suspect(self):
        """Guards against a deadly task that ends its runner before the answer."""
        self.send(DEADLY, 0.1)
        self.state.mark_start_unanswered(DEADLY, self.at(0.11), may_have_run=True)
        self.reply(3.4, born=NEXT)
        self.state.mark_refused(DEADLY, "unanswered")
        report = self.report()
        self.assertEqual([refusal.task for refusal in report.refused], [DEADLY.task])
        (suspect,) = [suspect for suspect in report.suspects if suspect.confirmed]
        self.assertEqual(Run(suspect.task, suspect.run), DEADLY)
        self.assertAlmostEqual(suspect.age_seconds, 0.01)

    def test_an_unanswered_start_is_not_proven_harmless_by_time(self):
        """Guards against losing evidence of a start that the runner began late."""
        self.send(DEADLY, 0.1)
        self.state.mark_start_unanswered(DEADLY, self.at(0.7), may_have_run=True)
        self.reply(1.3)
        self.fail_poll(1.31)
        self.reply(4.6, born=NEXT)
        self.assertEqual(self.suspected_runs, [DEADLY])

    def test_a_start_that_a_dead_process_has_refused_is_no_suspect(self):
        """Guards against blaming a start that certainly did not run."""
        self.start(DEADLY, 0.1)
        self.send(OTHER, 0.11)
        self.state.mark_start_unanswered(OTHER, self.at(0.12), may_have_run=False)
        self.reply(3.4, born=NEXT)
        self.assertEqual(self.suspected_runs, [DEADLY])
        self.assertAlmostEqual(self.suspects[0].age_seconds, 0.02)

    def test_an_order_that_was_not_sent_is_no_suspect(self):
        """Guards against blaming a start that still waits for a thread."""
        self.order(OTHER)
        self.fail_poll(0.2)
        self.reply(3.4, born=NEXT)
        self.assertEqual(self.suspects, [])

    def test_a_start_that_is_sent_again_counts_from_then(self):
        """Guards against a start that seems old as its first call was fenced off."""
        self.send(DEADLY, 0.1)
        self.state.mark_sent(DEADLY, self.at(0.3))
        self.state.mark_started(DEADLY, self.at(0.3), FORMER)
        self.fail_poll(0.31)
        self.reply(3.6, born=NEXT)
        self.assertAlmostEqual(self.suspects[0].age_seconds, 0.01)

    def test_candidates_count_all_suspects_of_a_crash(self):
        """Guards against taking one of many recent starts for the certain cause."""
        runs = [Run(f"c.0.0.{index}", 1) for index in range(5)]
        for run in runs:
            self.start(run, 0.1)
        self.fail_poll(0.11)
        self.reply(3.4, born=NEXT)
        self.assertEqual(self.suspected_runs, runs)
        self.assertEqual({suspect.candidates for suspect in self.suspects}, {5})
        self.assertEqual([s.number for s in self.suspects], [1, 2, 3, 4, 5])

    def test_runs_that_the_next_process_lists_are_no_suspects(self):
        """Guards against blaming runs that the next process has carried out."""
        ended = Run("f.0.0.0", 1)
        for run in (DEADLY, OTHER, ended):
            self.start(run, 0.1)
        self.fail_poll(0.11)
        self.reply(3.4, OTHER, born=NEXT, ended=(ended,))
        self.assertEqual(self.suspected_runs, [DEADLY])
        self.assertEqual(self.suspects[0].candidates, 1)

    def test_a_start_that_overtook_the_list_of_the_next_process_is_no_suspect(self):
        """Guards against blaming a run for the crash of a process it was not on."""
        poll = self.state.begin_poll()
        self.start(OTHER, 0.3)
        snapshot = RunnerSnapshot(5, NEXT, (), ())
        self.state.apply_snapshot(snapshot, self.at(0.31), poll)
        self.assertEqual(self.suspects, [])

    def test_a_run_with_a_listed_end_is_no_suspect(self):
        """Guards against blaming a run that had ended before the crash."""
        poll = self.state.begin_poll()
        self.start(OTHER, 0.1)
        ends = (EndedTask(1, *OTHER, "done", ""),)
        snapshot = RunnerSnapshot(9200, FORMER, (), ends)
        self.state.apply_snapshot(snapshot, self.at(0.2), poll)
        self.send_orders(born=FORMER, seen_ends=1, durable_ends=1)
        self.fail_poll(0.3)
        self.reply(3.6, born=NEXT)
        self.assertEqual(self.suspects, [])

    def test_a_process_whose_born_went_back_shows_a_crash(self):
        """Guards against losing evidence when the time of day goes back."""
        self.start(DEADLY, 0.1)
        self.fail_poll(0.11)
        self.reply(3.4, born=FORMER - 500)
        self.assertEqual(self.suspects[0].born, FORMER)

    def test_a_late_reply_of_the_former_process_shows_no_crash(self):
        """Guards against blaming runs because replies overtook each other."""
        former = self.state.begin_poll()
        self.reply(3.4, born=NEXT)
        self.start(OTHER, 3.5)
        snapshot = RunnerSnapshot(9001, FORMER, (), ())
        self.assertFalse(self.state.apply_snapshot(snapshot, self.at(3.6), former))
        self.assertEqual(self.suspects, [])

    def test_a_runner_under_another_id_shows_a_crash(self):
        """Guards against losing evidence when the machine's next runner is new."""
        info = RunnerInfo("r1", FORMER, "s", "", "", (), 1, 1, 0, False, 0.0)
        self.state.update_runner(info, 1)
        self.start(DEADLY, 0.1)
        self.fail_poll(0.11)
        self.state.update_runner(info._replace(runner_id="r2", born=NEXT), 1)
        self.reply(3.4, born=NEXT)
        self.assertEqual(self.suspected_runs, [DEADLY])

    def test_two_crashes_have_their_own_suspects(self):
        """Guards against losing a crash that the leader did not hear of in time."""
        self.start(DEADLY, 0.1)
        self.fail_poll(0.11)
        self.reply(3.4, born=NEXT)
        again = DEADLY._replace(run=2)
        self.start(again, 3.42)
        self.fail_poll(3.43)
        self.reply(6.7, born=NEXT + 3000)
        found = [(s.number, s.run, s.born, s.candidates) for s in self.suspects]
        self.assertEqual(found, [(1, 1, FORMER, 1), (2, 2, NEXT, 1)])

    def test_an_unresolved_start_is_no_suspect_of_the_next_crash(self):
        """Guards against blaming a run for two crashes, as its outcome is not known."""
        self.send(OTHER, 0.1)
        self.state.mark_start_unanswered(OTHER, self.at(0.11), may_have_run=True)
        self.reply(3.4, born=NEXT)
        self.start(DEADLY, 3.42)
        self.fail_poll(3.43)
        self.reply(6.7, born=NEXT + 3000)
        found = [(Run(s.task, s.run), s.born) for s in self.suspects]
        self.assertEqual(found, [(OTHER, FORMER), (DEADLY, NEXT)])

    def test_a_start_that_the_next_process_carries_out_is_its_suspect_too(self):
        """Guards against losing evidence of a start that took effect late."""
        self.send(DEADLY, 0.1)
        self.state.mark_start_unanswered(DEADLY, self.at(0.11), may_have_run=True)
        self.reply(3.4, born=NEXT)
        self.reply(3.5, DEADLY, born=NEXT)
        self.state.mark_started(DEADLY, self.at(3.51), FORMER)
        self.fail_poll(3.6)
        self.reply(6.9, born=NEXT + 3000)
        self.assertEqual([s.born for s in self.suspects], [FORMER, NEXT])

    def test_a_run_that_the_next_process_lists_is_on_probation_there(self):
        """Guards against taking a run for proven that its runner has just begun."""
        self.start(DEADLY, 0.1)
        self.fail_poll(0.11)
        self.reply(3.4, DEADLY, born=NEXT)
        self.fail_poll(3.5)
        self.reply(6.8, born=NEXT + 3000)
        self.assertEqual([s.born for s in self.suspects], [NEXT])

    def test_an_answer_to_a_start_that_has_ended_makes_no_candidate(self):
        """Guards against a suspect that shares the blame with a run that had ended."""
        self.send(OTHER, 0.1)
        self.reply(0.2, ended=(OTHER,))
        self.state.mark_started(OTHER, self.at(0.21), FORMER)
        self.start(DEADLY, 0.3)
        self.fail_poll(0.31)
        self.reply(3.6, born=NEXT)
        self.assertEqual(self.suspected_runs, [DEADLY])
        self.assertEqual(self.suspects[0].candidates, 1)

    def test_runs_are_forgotten_with_their_process(self):
        """Guards against an agent that remembers each run for ever."""
        for index in range(5):
            self.start(Run(f"c.0.0.{index}", 1), 0.1)
        self.fail_poll(0.11)
        self.reply(3.4, born=NEXT)
        self.assertEqual(self.state._crash_watch._attempts, {})


class RestartedAgentTests(AgentCase):
    """An agent that was restarted while its runner went on."""

    def test_the_first_reply_to_a_restarted_agent_shows_no_crash(self):
        """Guards against blaming all runs of a runner after an agent restart."""
        self.state = self.build_state()
        self.reply(0.1, DEADLY, OTHER)
        self.assertEqual(self.suspects, [])
        self.assertEqual(self.state.take_crashes(), [])

    def test_runs_of_unknown_start_are_candidates_and_no_suspects(self):
        """Guards against blaming a start as the only one after an agent restart."""
        self.state = self.build_state()
        self.reply(0.1, OTHER, Run("f.0.0.0", 1))
        self.give_authority(1)
        self.start(DEADLY, 0.2)
        self.fail_poll(0.21)
        self.reply(3.5, born=NEXT)
        self.assertEqual(self.suspected_runs, [DEADLY])
        self.assertEqual(self.suspects[0].candidates, 3)

    def test_runs_of_unknown_start_that_have_lasted_are_no_candidates(self):
        """Guards against a crash that nobody is blamed for after an agent restart."""
        self.state = self.build_state()
        self.reply(0.1, OTHER)
        self.reply(1.2, OTHER)
        self.give_authority(1)
        self.start(DEADLY, 1.3)
        self.fail_poll(1.31)
        self.reply(4.6, born=NEXT)
        self.assertEqual(self.suspects[0].candidates, 1)


class SilentRunnerTests(AgentCase):
    """Runs of a runner that is given up before another process replies."""

    def lose(self) -> None:
        """Lose a runner with a recent run and one that has lasted."""
        self.start(OTHER, 0.1)
        self.reply(0.2, OTHER)
        self.reply(1.3, OTHER)
        self.start(DEADLY, 1.4)
        self.fail_poll(1.41)

    def test_runs_that_are_given_up_are_unconfirmed_suspects(self):
        """Guards against losing evidence when a runner stays away for long."""
        self.lose()
        self.assertTrue(self.give_up())
        (suspect,) = self.suspects
        expected = CrashSuspect(1, *DEADLY, FORMER, 0.0, 1, False)
        self.assertEqual(suspect._replace(age_seconds=0.0), expected)
        self.assertAlmostEqual(suspect.age_seconds, 0.01)

    def test_suspects_are_confirmed_once_another_process_replies(self):
        """Guards against a crash that counts as silence for ever."""
        self.lose()
        self.give_up()
        self.send_orders(durable_suspects=1)
        self.reply(LONG_SILENCE + 1, born=NEXT)
        (suspect,) = self.suspects
        expected = CrashSuspect(2, *DEADLY, FORMER, 0.0, 1, True)
        self.assertEqual(suspect._replace(age_seconds=0.0), expected)
        self.assertAlmostEqual(suspect.age_seconds, 0.01)

    def test_the_next_process_clears_the_suspects_that_it_lists(self):
        """Guards against confirming a run that the next process has carried out."""
        self.lose()
        self.give_up()
        self.reply(LONG_SILENCE + 1, DEADLY, born=NEXT)
        self.assertEqual([suspect.confirmed for suspect in self.suspects], [False])

    def test_a_reply_of_the_same_process_ends_the_suspicion(self):
        """Guards against blaming the runs of a silence for a later crash."""
        self.lose()
        self.give_up()
        self.reply(LONG_SILENCE + 1)
        self.reply(LONG_SILENCE + 2, born=NEXT)
        self.assertEqual([suspect.confirmed for suspect in self.suspects], [False])

    def test_a_start_that_is_given_up_is_suspected_once(self):
        """Guards against counting one silence twice, and against losing the start."""
        self.lose()
        unanswered = Run("u.0.0.0", 1)
        self.send(unanswered, 1.405)
        now = self.at(LONG_SILENCE)
        poll = self.state.begin_poll()
        self.state.suspect_silent_runs(now, poll)
        self.state.mark_refused(unanswered, "runner is silent")
        self.give_up()
        self.assertEqual(self.suspected_runs, [DEADLY, unanswered])
        self.reply(LONG_SILENCE + 1, born=NEXT)
        confirmed = [s for s in self.suspects if s.confirmed]
        self.assertEqual([s.task for s in confirmed], [DEADLY.task, unanswered.task])
        self.assertEqual({s.candidates for s in self.suspects}, {2})

    def announce_end(self) -> RunnerInfo:
        """Let the runner drain right after a start; return how it described itself."""
        info = RunnerInfo("r1", FORMER, "s", "", "", (), 1, 1, 0, False, 0.0)
        self.state.update_runner(info, 1)
        self.start(DEADLY, 0.1)
        self.state.update_runner(info._replace(draining=True), 2)
        return info

    def test_an_announced_end_is_one_more_candidate(self):
        """Guards against a run that is the only one to blame as its runner leaves."""
        info = self.announce_end()
        poll = self.state.begin_poll()
        self.state.mark_unanswered(poll, self.at(0.11), is_broken=True)
        self.state.update_runner(info._replace(born=NEXT), 1)
        self.reply(3.4, born=NEXT)
        found = [(s.task, s.confirmed, s.candidates) for s in self.suspects]
        expected = [(DEADLY.task, False, 2), (DEADLY.task, True, 2)]
        self.assertEqual(found, expected)
        self.start(OTHER, 3.5)
        self.fail_poll(3.51)
        self.reply(6.8, born=NEXT + 1)
        self.assertEqual(self.suspects[-1].candidates, 1)

    def test_an_announced_end_after_which_the_runner_has_left_is_no_crash(self):
        """Guards against a start that is blamed for the end of a runner that left."""
        info = self.announce_end()
        self.fail_poll(0.11)
        self.state.mark_runner_left("r1")
        self.state.update_runner(info._replace(born=NEXT), 1)
        self.reply(3.4, born=NEXT)
        self.assertEqual(self.suspects, [])
        self.assertEqual(self.state.take_crashes(), [])

    def test_a_late_unregistration_of_a_former_process_excuses_no_crash(self):
        """Guards against losing evidence of the next process, which has not left."""
        info = self.announce_end()
        self.state.update_runner(info._replace(born=NEXT), 1)
        self.reply(3.4, born=NEXT)
        self.state.mark_runner_left("r1")
        self.start(OTHER, 3.5)
        self.fail_poll(3.51)
        self.reply(6.8, born=NEXT + 1)
        last = self.suspects[-1]
        self.assertEqual((last.task, last.candidates), (OTHER.task, 1))

    def test_a_planned_end_is_no_crash(self):
        """Guards against counting a crash for each runner that leaves."""
        info = RunnerInfo("r1", FORMER, "s", "", "", (), 1, 1, 0, False, 0.0)
        self.state.update_runner(info, 1)
        self.start(OTHER, 0.1)
        self.reply(0.2, OTHER)
        self.reply(1.3, OTHER)
        self.state.mark_runner_left("r1")
        self.state.update_runner(info._replace(born=NEXT), 1)
        self.reply(4.4, born=NEXT)
        self.assertEqual(self.state.take_crashes(), [])


class DurabilityTests(AgentCase):
    """Suspects in the reports of an agent."""

    def crash(self, *runs: Run) -> None:
        for run in runs:
            self.start(run, 0.1)
        self.fail_poll(0.11)
        self.reply(3.4, born=NEXT)

    def test_suspects_are_reported_until_they_are_durable(self):
        """Guards against losing evidence with a report or an append."""
        self.crash(DEADLY, OTHER)
        for _ in range(3):
            self.assertEqual(len(self.report(3.5).suspects), 2)
        self.send_orders(durable_suspects=1)
        self.assertEqual(self.suspected_runs, [OTHER])
        self.send_orders(durable_suspects=2)
        self.assertEqual(self.suspects, [])

    def test_suspects_are_reported_to_a_new_leader(self):
        """Guards against losing evidence that a former leader did not append."""
        self.crash(DEADLY, OTHER)
        self.send_orders(durable_suspects=1)
        self.give_authority(2)
        self.assertEqual(self.suspected_runs, [OTHER])

    def test_what_is_durable_of_another_agent_process_says_nothing(self):
        """Guards against forgetting suspects that were numbered by another process."""
        self.crash(DEADLY)
        former = HostOrders(
            epoch=2, session=1, incarnation="former", durable_suspects=9
        )
        self.state.accept_orders(former)
        self.assertEqual(self.suspected_runs, [DEADLY])

    def test_the_report_that_shows_the_next_process_carries_the_suspects(self):
        """Guards against a leader that starts the runs again before it is warned."""
        info = RunnerInfo("r", FORMER, "s", "", "", (), 1, 1, 0, False, 0.0)
        self.state.update_runner(info, 1)
        self.start(DEADLY, 0.1)
        self.fail_poll(0.11)
        self.state.update_runner(info._replace(born=NEXT), 1)
        before = self.report(3.3)
        self.assertEqual((before.runner, before.suspects), (None, ()))
        self.reply(3.4, born=NEXT)
        report = self.report(3.4)
        assert report.runner is not None
        self.assertEqual(report.runner.born, NEXT)
        self.assertEqual(len(report.suspects), 1)

    def test_the_newest_suspects_are_kept(self):
        """Guards against reports that grow while nothing becomes durable."""
        runs = [Run(f"c.0.0.{index}", 1) for index in range(MAX_SUSPECTS + 3)]
        with self.assertLogs("egretcrank.agent.crashes", "WARNING") as logs:
            self.crash(*runs)
        self.assertEqual(self.suspects[0].number, 4)
        self.assertEqual(len(self.suspects), MAX_SUSPECTS)
        dropped = [r for r in logs.records if r.msg == "crash suspects dropped"]
        self.assertEqual([record.dropped for record in dropped], [3])

    def test_a_crash_is_logged_with_its_suspects(self):
        """Guards against a crash whose cause the logs do not tell."""
        self.start(OTHER, 0.1)
        self.reply(0.2, OTHER)
        self.reply(1.3, OTHER)
        runs = [Run(f"c.0.0.{index}", 1) for index in range(MAX_LOGGED_RUNS + 1)]
        for run in runs:
            self.start(run, 1.4)
        self.fail_poll(1.41)
        with self.assertLogs("egretcrank.agent.crashes", "WARNING") as logs:
            self.reply(4.7, born=NEXT)
        (record,) = logs.records
        self.assertEqual(record.msg, "runner crashed")
        self.assertEqual((record.born_before, record.born), (FORMER, NEXT))
        self.assertAlmostEqual(record.youngest_seconds, 0.01)
        self.assertEqual(len(record.suspects), MAX_LOGGED_RUNS)
        self.assertEqual(record.others, 1)


class ScriptedRunner:
    """Runner whose replies a test gives, each as it is asked for."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self.starts: list[Result[CommandResult, Problem]] = []
        self.polls: list[Result[RunnerSnapshot, Problem]] = []
        self.delay = timedelta(milliseconds=10)

    def start(self, *_: object) -> Result[CommandResult, Problem]:
        self._clock.advance(self.delay)
        return self.starts.pop(0)

    def poll(self, *_: object) -> Result[RunnerSnapshot, Problem]:
        return self.polls.pop(0)


def fail(kind: ErrorKind) -> Failure[Problem]:
    return Failure(Problem(kind, "test"))


class DaemonTests(AgentCase):
    """Order of the calls to the runner and of what the daemon records."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.runner = ScriptedRunner(self.clock)
        agent = Agent.__new__(Agent)
        agent._lock = threading.RLock()
        agent._stopping = threading.Event()
        agent._report_due = threading.Event()
        agent._clock = self.clock
        agent._state = self.state
        agent._pace = PaceController()
        agent._pace_adjusted_at = timedelta()
        agent._metrics = Metrics()
        agent._runner = cast(Runner, self.runner)
        agent._runner_unreachable = False
        agent._token = FencingToken(1)
        agent._executor = OrderExecutor(
            agent._runner,
            self.state,
            agent._lock,
            self.clock,
            agent._metrics,
            agent._token,
            agent._apply_snapshot,
            agent._report_due.set,
        )
        self.agent = agent
        info = RunnerInfo("r", FORMER, "s", "", "", (), 1, 1, 0, False, 0.0)
        self.state.update_runner(info, 1)
        sleep = patch("egretcrank.agent.execution.time.sleep", self.pass_time)
        sleep.start()
        self.addCleanup(sleep.stop)

    def pass_time(self, seconds: float) -> None:
        self.clock.advance(timedelta(seconds=seconds))

    def execute(self, run: Run) -> None:
        self.order(run)
        waiting = WaitingStart(build_order(run), (self.epoch, 1), self.clock.boottime())
        self.agent._executor.carry_out(waiting)

    def render_crashes(self) -> list[str]:
        body, _ = self.agent._metrics.render("text/plain")
        lines = body.decode().splitlines()
        return [x for x in lines if x.startswith("egretcrank_runner_crashes_total")]

    def test_a_crash_before_the_answer_to_a_start_is_reported_with_its_refusal(self):
        """Guards against a start that is placed again before its crash is known."""
        self.runner.starts = [fail(ErrorKind.CALL_TIMEOUT)]
        self.runner.polls = [
            fail(ErrorKind.CONNECTION_REFUSED),
            Success(RunnerSnapshot(5, NEXT, (), ())),
        ]
        refused_with: list[list[Run]] = []
        mark_refused = self.state.mark_refused

        def observe(run: Run, reason: str) -> None:
            certain = [Run(s.task, s.run) for s in self.suspects if s.confirmed]
            refused_with.append(certain)
            mark_refused(run, reason)

        with patch.object(self.state, "mark_refused", observe):
            self.execute(DEADLY)
        self.assertEqual(refused_with, [[DEADLY]])
        self.assertAlmostEqual(self.suspects[0].age_seconds, 0.01)
        self.assertTrue(self.agent._report_due.is_set())
        self.assertEqual(
            self.render_crashes(), ['egretcrank_runner_crashes_total{suspects="yes"} 1']
        )

    def test_a_start_that_no_process_has_received_is_not_blamed(self):
        """Guards against blaming a start that was sent to a dead process."""
        self.runner.starts = [fail(ErrorKind.UNREACHABLE)]
        self.runner.polls = [fail(ErrorKind.CONNECTION_REFUSED)]
        self.execute(OTHER)
        self.assertEqual(self.runner.polls, [])
        self.agent._report_due.clear()
        snapshot = RunnerSnapshot(5, NEXT, (), ())
        self.agent._apply_snapshot(snapshot, self.state.begin_poll())
        self.assertTrue(self.agent._report_due.is_set())
        self.assertEqual(self.suspects, [])
        self.assertEqual(
            self.render_crashes(), ['egretcrank_runner_crashes_total{suspects="no"} 1']
        )

    def test_a_start_that_waits_for_a_connection_is_not_blamed(self):
        """Guards against an innocent task that is given up for a start never sent.

        The runner ends while the agent opens the connection that the start lacks.
        """
        self.runner.starts = [fail(ErrorKind.UNREACHABLE)]

        def poll(*_: object) -> Result[RunnerSnapshot, Problem]:
            failure = Problem(ErrorKind.CALL_TIMEOUT, "test")
            number = self.state.begin_poll()
            self.agent._handle_unanswered_poll(failure, number, timed_out=False)
            return fail(ErrorKind.CONNECTION_REFUSED)

        with patch.object(self.runner, "poll", poll):
            self.execute(OTHER)
        self.reply(3.4, born=NEXT)
        self.assertEqual(self.suspects, [])

    def test_a_poll_for_the_outcome_of_a_start_bounds_the_time_of_the_crash(self):
        """Guards against an age that lasts until the next process replies."""
        self.runner.delay = CALL_TIMEOUT
        self.runner.starts = [fail(ErrorKind.CALL_TIMEOUT)]
        self.runner.polls = [
            *[fail(ErrorKind.CONNECTION_REFUSED)] * 10,
            Success(RunnerSnapshot(5, NEXT, (), ())),
        ]
        self.execute(DEADLY)
        self.assertAlmostEqual(self.suspects[0].age_seconds, 0.6)

    def test_suspects_are_reported_at_the_first_sign_of_a_crash(self):
        """Guards against evidence that is lost when the agent is killed, too."""
        self.runner.starts = [Success(CommandResult(5, ""))]
        self.execute(DEADLY)
        self.agent._report_due.clear()
        poll = self.state.begin_poll()
        failure = Problem(ErrorKind.CALL_TIMEOUT, "test")
        self.agent._handle_unanswered_poll(failure, poll, timed_out=False)
        self.assertTrue(self.agent._report_due.is_set())
        found = [(s.task, s.confirmed) for s in self.suspects]
        self.assertEqual(found, [(DEADLY.task, False)])

    def test_an_answer_that_cannot_be_used_names_no_suspects(self):
        """Guards against suspicions of all runs on a runner that is only unhealthy."""
        self.runner.starts = [Success(CommandResult(5, ""))]
        self.execute(DEADLY)
        poll = self.state.begin_poll()
        failure = Problem(ErrorKind.UNREACHABLE, "unexpected status 503")
        self.agent._handle_unanswered_poll(failure, poll, timed_out=False)
        self.assertEqual(self.suspects, [])

    def test_a_poll_that_times_out_names_no_suspects(self):
        """Guards against suspicions of all runs on a runner that is only slow."""
        self.runner.starts = [Success(CommandResult(5, ""))]
        self.execute(DEADLY)
        poll = self.state.begin_poll()
        failure = Problem(ErrorKind.CALL_TIMEOUT, "test")
        self.agent._handle_unanswered_poll(failure, poll, timed_out=True)
        self.assertEqual(self.suspects, [])

    def test_a_start_that_is_given_up_is_reported_with_its_refusal(self):
        """Guards against losing the evidence of a runner that stays silent."""
        self.runner.starts = [fail(ErrorKind.CALL_TIMEOUT)]
        self.runner.polls = [fail(ErrorKind.CONNECTION_REFUSED)] * 200
        self.execute(DEADLY)
        report = self.report()
        self.assertEqual([r.reason for r in report.refused], ["runner is silent"])
        found = [(s.task, s.confirmed) for s in report.suspects]
        self.assertEqual(found, [(DEADLY.task, False)])

    def test_the_start_after_a_refused_fence_is_timed_anew(self):
        """Guards against an age that counts from a start without effect."""
        self.runner.starts = [
            Success(CommandResult(5, "fence")),
            Success(CommandResult(5, "")),
        ]
        self.execute(DEADLY)
        failure = Problem(ErrorKind.CALL_TIMEOUT, "test")
        poll = self.state.begin_poll()
        self.agent._handle_unanswered_poll(failure, poll, timed_out=True)
        self.reply(3.4, born=NEXT)
        self.assertAlmostEqual(self.suspects[0].age_seconds, 0.01)


class DeadlyTaskTests(AsyncTestCase):
    """Crashes in the world of one cell."""

    def test_each_crash_names_the_deadly_task(self):
        """Guards against a leader that never hears of the cause of a crash."""
        world = World(11, hosts=1)
        job = world.submit(build_step(width=3))
        world.deadly = {f"{job}.0.0.0"}
        for _ in range(200):
            world.step()
            if world.agents["h0"].state.born > 1:
                break
        state = world.agents["h0"].state
        report = state.build_report(world.now(), world.agents["h0"].pace)
        tasks = {s.task for s in report.suspects if s.confirmed}
        self.assertIn(f"{job}.0.0.0", tasks)
        self.assertEqual(world.crashes[f"{job}.0.0.0"], 1)

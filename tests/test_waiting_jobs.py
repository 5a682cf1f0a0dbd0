"""Tests of jobs that count as waiting until a runner has begun one of their tasks."""

from unittest.mock import patch

from returns.result import Success

from egretcrank.agent.starts import WaitingStart
from egretcrank.scheduling.records import Phase
from tests.cases import AsyncTestCase
from tests.cell_world import Agent, World, build_step

# Longer than the longest lease and the time after which a silent host is lost.
LOSS_SECONDS = 20
LONG_RUN = build_step(width=1, long_running=True)


def count_waiting(world: World) -> int:
    """Return the number of waiting jobs that callers are told."""
    return world.table.count_waiting("q")


def leave_unanswered(agent: Agent, waiting: WaitingStart) -> None:
    """Send a start that gets no answer, whose outcome no poll settles."""
    if isinstance(agent.state.permit_start(waiting, agent.world.now()), Success):
        agent.state.mark_start_unanswered(
            waiting.run, agent.world.now(), may_have_run=True
        )


class UnbegunJobTests(AsyncTestCase):
    """Jobs whose starts were ordered, and had no effect."""

    def setUp(self):
        super().setUp()
        self.world = World(1, hosts=1)
        self.world.run(1)
        self.agent = self.world.agents["h0"]

    def test_a_job_whose_start_waits_at_an_agent_is_waiting(self):
        """Guards against a job shown as begun whose start was not sent."""
        self.agent.is_held_up = True
        job_id = self.world.submit(LONG_RUN)
        for _ in range(10):
            self.world.run(0.5)
            self.assertEqual(self.world.find_phase(job_id), Phase.QUEUED)
            self.assertEqual(count_waiting(self.world), 1)
        self.agent.is_held_up = False
        self.world.run(1)
        self.assertEqual(self.world.find_phase(job_id), Phase.RUNNING)
        self.assertEqual(count_waiting(self.world), 0)

    def test_a_job_whose_start_was_not_answered_is_waiting(self):
        """Guards against jobs for a lost runner that no controller counts any more."""
        with patch.object(Agent, "start", leave_unanswered):
            job_ids = [self.world.submit(LONG_RUN) for _ in range(3)]
            self.world.run(0.5)
            self.world.runners[0].silent = True
            self.world.run(LOSS_SECONDS)
        for job_id in job_ids:
            self.assertEqual(self.world.find_phase(job_id), Phase.QUEUED)
        self.assertEqual(count_waiting(self.world), 3)

    def test_a_new_leader_counts_a_start_on_its_way_as_waiting(self):
        """Guards against a job that a takeover marks as begun."""
        self.agent.is_held_up = True
        job_id = self.world.submit(LONG_RUN)
        self.world.run(0.5)
        self.world.leader.fenced = True
        self.world.elect()
        self.world.run(1)
        cell = self.world.leader.cell
        assert cell is not None
        self.assertTrue(cell.hosts["h0"].attached)
        self.assertEqual(self.world.find_phase(job_id), Phase.QUEUED)
        self.agent.is_held_up = False
        self.world.run(LOSS_SECONDS)
        self.assertEqual(self.world.find_phase(job_id), Phase.RUNNING)
        self.assertEqual(self.world.violations, [])

    def test_a_job_stays_begun_when_its_runner_is_lost(self):
        """Guards against a count that takes a start back which has had effect."""
        job_id = self.world.submit(LONG_RUN)
        self.world.run(1)
        self.world.runners[0].silent = True
        self.world.run(LOSS_SECONDS)
        self.assertEqual(self.world.find_phase(job_id), Phase.RUNNING)
        self.assertEqual(count_waiting(self.world), 0)

    def test_a_job_whose_starts_had_no_effect_takes_no_turn_of_begun_jobs(self):
        """Guards against jobs that pass others as a start of theirs was refused."""
        self.agent.is_held_up = True
        job_id = self.world.submit(LONG_RUN)
        self.world.run(0.5)
        cell = self.world.leader.cell
        assert cell is not None
        self.assertTrue(cell.jobs[job_id].started)
        self.world.runners[0].draining = True
        self.world.run(0.2)
        self.agent.is_held_up = False
        self.world.run(1)
        self.assertEqual(self.world.starts, [])
        self.assertFalse(cell.jobs[job_id].started)

    def test_a_start_on_its_way_is_not_judged_by_its_speed(self):
        """Guards against a move of a best-effort task that has not begun."""
        self.agent.is_held_up = True
        self.world.submit(build_step(width=1, best_effort=True, image="f"))
        self.world.run(2)
        cell = self.world.leader.cell
        assert cell is not None
        (placement,) = cell._runs
        self.assertIsNone(placement.slow_since)

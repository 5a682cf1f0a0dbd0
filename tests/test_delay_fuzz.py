"""Random sequences of delayed and forgotten knowledge, checked at the runners."""

from contextlib import ExitStack
from datetime import timedelta
from unittest.mock import patch

from egretcrank.wire.hosting import HostReport, StartOrder, TaskProfile
from tests.cases import AsyncTestCase
from tests.cell_world import Agent, Poll, World, build_step, deliver

SEEDS = range(40)
TICKS = 400


class DelayFuzzTests(AsyncTestCase):
    """Reports, replies and unregistrations that arrive late, beside restarts."""

    def test_no_task_runs_twice_beside_delayed_messages(self):
        """Guards against taking old or missing knowledge for proof of an end."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                fuzz = DelayFuzz(seed)
                fuzz.run()
                self.assertEqual(fuzz.world.violations, [], f"seed {seed}")
                phases = [fuzz.world.find_phase(job) for job in fuzz.jobs]
                self.assertTrue(all(phase.final for phase in phases), f"seed {seed}")


class AcknowledgedEndTests(AsyncTestCase):
    """The check of the world for starts after an acknowledged end."""

    def start_after_an_end(self, silence: float) -> list[str]:
        world = World(71)
        world.submit(build_step(width=1))
        while not world.done:
            world.step()
        runner = next(runner for runner in world.runners if runner.ended)
        world.clock.advance(timedelta(seconds=silence))
        task = runner.ended[-1].task
        runner.poll(None, runner.token, runner.count)
        start = StartOrder(task, 9, "", "", "", TaskProfile(1000, False, "", 0.0))
        runner.start(start, runner.clock() + 1000, runner.token)
        return world.violations

    def test_a_start_after_an_acknowledged_end_is_a_violation(self):
        """Guards against a check that misses a second run of a finished task."""
        (violation,) = self.start_after_an_end(0.0)
        self.assertIn("starts after it was done", violation)

    def test_an_end_that_was_acknowledged_after_the_lease_lapsed_does_not_count(self):
        """Guards against a check that is stricter than the rule of the platform."""
        self.assertEqual(self.start_after_an_end(7.0), [])


class DelayFuzz:
    """One world with messages on their way and leaders without a log."""

    def __init__(self, seed: int) -> None:
        self.world = World(seed)
        self.world.loss_probability = 0.05
        self.world.late_start_probability = 0.05
        self.reports: list[HostReport] = []
        self.polls: list[tuple[Agent, Poll]] = []
        self.jobs: list[str] = []

    def run(self) -> None:
        """Inject failures, then wait until every job has ended."""
        world = self.world
        with ExitStack() as stack:
            for _ in range(TICKS):
                self._inject_failure(stack)
                self._deliver_late()
                if world.random.random() < 0.15:
                    self._submit()
                world.step()
        world.loss_probability = world.late_start_probability = 0.0
        world.attached = {}
        for runner in world.runners:
            runner.silent = False
        for agent in world.agents.values():
            agent.is_polling = True
        world.run(60)

    def _submit(self) -> None:
        rng = self.world.random
        step = build_step(width=rng.randint(1, 3), cpu=rng.choice([500, 1500]))
        self.jobs.append(self.world.submit(step))

    def _inject_failure(self, stack: ExitStack) -> None:
        world, rng = self.world, self.world.random
        runner = rng.choice(world.runners)
        agent = world.agents[runner.name]
        event = rng.random()
        if event < 0.02:
            runner.restart()
        elif event < 0.05:
            if rng.random() < 0.5:
                self.reports.append(agent.state.build_report(world.now(), agent.pace))
            world.start_agent(runner)
            world.step()
            runner.silent = rng.random() < 0.5
        elif event < 0.09:
            runner.silent = True
        elif event < 0.15:
            runner.silent = False
        elif event < 0.17:
            agent.state.mark_runner_left(runner.name)
        elif event < 0.25:
            self.reports.append(agent.state.build_report(world.now(), agent.pace))
        elif event < 0.33 and agent.is_polling:
            poll = agent.send_poll()
            if poll is not None:
                agent.is_polling = False
                self.polls.append((agent, poll))
        elif event < 0.34:
            self._replace_leader(stack)
        elif event < 0.36:
            world.attached.clear()

    def _replace_leader(self, stack: ExitStack) -> None:
        """Elect a leader while the former one is cut off from the log."""
        world = self.world
        former = world.leader
        world.elect()
        stack.enter_context(patch.object(former, "commit"))
        for name in world.random.sample(list(world.agents), 2):
            world.attached[name] = former

    def _deliver_late(self) -> None:
        rng = self.world.random
        if self.reports and rng.random() < 0.2:
            report = self.reports.pop(rng.randrange(len(self.reports)))
            deliver(rng.choice(self.world.leaders[-2:]), report)
        if self.polls and rng.random() < 0.4:
            agent, poll = self.polls.pop(0)
            agent.receive(poll)
            agent.is_polling = True
        if self.world.late_starts and rng.random() < 0.2:
            self.world.late_starts.popleft().execute()

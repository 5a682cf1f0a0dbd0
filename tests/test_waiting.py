"""Tests of the step order, in a simulation of more wide jobs than hosts can hold."""

import random
from datetime import timedelta

from egretcrank.policy.slowdown import MAX_SLOWDOWN, Slowdowns
from egretcrank.scheduling.catalog import Queue
from egretcrank.scheduling.definitions import JobDefinition
from egretcrank.scheduling.ordering import order_steps
from egretcrank.scheduling.records import Phase
from egretcrank.scheduling.tasks import LATE_FACTOR, Job, StepState
from tests.cases import AsyncTestCase, ManualClock
from tests.cell_world import build_step

SECOND = timedelta(seconds=1)
TICK = timedelta(milliseconds=100)
# Jobs of two steps of 20 tasks of 3.4 s, with twice that time as objective, as in the
# users' workload descriptions.
QUEUE = Queue("wide", "h", "/w/", "s", 2, 3, 2.0, SECOND)
WIDTH = 20
WORK = 3.4 * SECOND
SLOTS = 100


def order_by_deadline(jobs, find_queue, slowdowns, now):
    """Order steps like the previous release, by deadline alone."""
    rows = []
    for job in jobs:
        steps = job.occurrences[0]
        for step in steps:
            if step.waiting and all(
                steps[n].complete for n in step.definition.depends_on
            ):
                deadline = job.find_deadline(0, QUEUE)
                ends = now + job.estimate_remaining(0)
                due = job.due_at(0)
                late = int(ends > deadline)
                late += int(ends > due + LATE_FACTOR * (deadline - due))
                rows.append((late, deadline, job.offset, step))
    rows.sort(key=lambda row: row[:3])
    return [row[-1] for row in rows]


class Simulation:
    """Simulation of jobs that arrive at a rate and share a number of slots."""

    def __init__(self, rate: float, order, seed: int) -> None:
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.rate, self.order = rate, order
        self.slowdowns = Slowdowns()
        self.jobs: list[Job] = []
        self.running: list[tuple[timedelta, StepState, int]] = []
        self.ended: dict[int, timedelta] = {}

    def _add_job(self) -> None:
        estimate = WORK * self.rng.uniform(0.4, 1.6)
        first = build_step(width=WIDTH, estimate=estimate)
        steps = (first, first._replace(depends_on=(0,)))
        number = len(self.jobs)
        definition = JobDefinition(f"{number:016x}", QUEUE, "", steps, self.clock.now())
        job = Job(definition, number)
        job.add_occurrence(0)
        self.jobs.append(job)

    def run(self, length: timedelta) -> None:
        until = self.clock.boottime() + length
        while self.clock.boottime() < until:
            if self.rng.random() < self.rate * TICK.total_seconds():
                self._add_job()
            self._end_tasks()
            self._start_tasks()
            self.clock.advance(TICK)

    def _end_tasks(self) -> None:
        now = self.clock.boottime()
        for row in [row for row in self.running if row[0] <= now]:
            self.running.remove(row)
            _, step, index = row
            step.mark_done(index)
            assert step.started_at is not None
            if step.complete:
                span = now - step.started_at
                self.slowdowns.record(QUEUE.name, span, step.definition.estimate)
            if step.job.is_complete():
                took = self.clock.now() - step.job.definition.submitted_at
                self.ended[step.job.offset] = took

    def _start_tasks(self) -> None:
        now = self.clock.boottime()
        waiting = [job for job in self.jobs if job.offset not in self.ended]
        ordered = self.order(
            waiting, lambda job: QUEUE, self.slowdowns, self.clock.now()
        )
        for step in ordered:
            for index in sorted(step.waiting):
                if len(self.running) >= SLOTS:
                    return
                step.waiting.discard(index)
                step.started_at = step.started_at or now
                step.job.phase = Phase.RUNNING
                work = WORK * self.rng.uniform(0.7, 1.3)
                self.running.append((now + work, step, index))

    def share_on_time(self, before: timedelta) -> float:
        """Return the on-time share of the jobs submitted more than ``before`` ago."""
        due_jobs = [
            job
            for job in self.jobs
            if job.definition.submitted_at + before < self.clock.now()
        ]
        objective = QUEUE.stretch * 2 * WORK + QUEUE.target_latency
        met = sum(
            self.ended.get(job.offset, objective * 9) <= objective for job in due_jobs
        )
        return met / len(due_jobs)


class OverloadTests(AsyncTestCase):
    """Share of jobs on time with more or less demand than slots."""

    def _run_simulation(self, load: float, order) -> float:
        rate = load * SLOTS / (2 * WIDTH * WORK.total_seconds())
        shares = []
        for seed in range(6):
            simulation = Simulation(rate, order, seed)
            simulation.run(120 * SECOND)
            shares.append(simulation.share_on_time(20 * SECOND))
        return sum(shares) / len(shares)

    def test_some_jobs_are_on_time_under_overload(self):
        """Guards against overload that leaves one wide job in twenty on time.

        On day trouble-2 of the site further-grown, with steps ordered by deadline, 3 of
        73 jobs were on time; the others took 41 s with an objective of 23 s.
        """
        for load in (1.3, 1.6, 2.0):
            share, baseline = (
                self._run_simulation(load, order_steps),
                self._run_simulation(load, order_by_deadline),
            )
            self.assertGreater(
                share, baseline + 0.1, f"load {load}: {share} {baseline}"
            )

    def test_light_load_is_not_delayed(self):
        """Guards against delaying jobs although there are slots for all."""
        share, baseline = (
            self._run_simulation(0.5, order_steps),
            self._run_simulation(0.5, order_by_deadline),
        )
        self.assertGreaterEqual(share, baseline - 0.02)


class SlowdownTests(AsyncTestCase):
    """Slowdown of a queue, from its completed steps."""

    def test_a_queue_without_completed_steps_has_no_slowdown(self):
        """Guards against new jobs that wait after a leader change."""
        self.assertEqual(Slowdowns().find("q"), 1.0)

    def test_one_stuck_step_does_not_delay_a_queue(self):
        """Guards against one step that takes many times its estimate."""
        slowdowns = Slowdowns()
        slowdowns.record("q", 1000 * SECOND, SECOND)
        self.assertLess(slowdowns.find("q"), MAX_SLOWDOWN / 4)
        self.assertEqual(slowdowns.find("other"), 1.0)

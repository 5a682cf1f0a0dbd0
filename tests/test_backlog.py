"""Tests of admission control: load is replayed against the order of waiting steps."""

from datetime import timedelta
from types import SimpleNamespace
from typing import Any

from egretcrank.controller.service import JobService
from egretcrank.controller.submissions import Submissions
from egretcrank.errors.answers import ANSWERS, Ran
from egretcrank.observability.metrics import Metrics
from egretcrank.policy.slowdown import Slowdowns
from egretcrank.scheduling.backlog import Backlogs, compute_retry_after
from egretcrank.scheduling.catalog import Queue
from egretcrank.scheduling.definitions import JobDefinition
from egretcrank.scheduling.ordering import order_steps
from egretcrank.scheduling.records import Phase, RecordKey, RecordKind, encode_record
from egretcrank.scheduling.table import JobTable, StoredValue
from egretcrank.scheduling.tasks import Job
from tests.cases import AsyncTestCase, ManualClock
from tests.cell_world import build_step
from tests.test_platform import build_store

TICK = timedelta(milliseconds=100)
SMALL = Queue("small", "h", "/s/", "s", 0, 3, 1.5, timedelta(seconds=1))
# Jobs of two steps of 20 tasks of 0.5 s: their objective is 2 s, their work 20
# core-seconds. The service has 100 cores, for CAPACITY jobs a second.
WIDE = Queue("wide", "h", "/w/", "s", 2, 2, 2.0)
CAPACITY, BURST = 5.0, 12.5


class Replay:
    """A service that runs waiting steps in the leader's order."""

    def __init__(self, admits: bool = True) -> None:
        self.clock: Any = ManualClock()
        self.table, self.metrics, self.admits = JobTable(), Metrics(), admits
        self.backlogs = Backlogs(self.clock, self.metrics)
        self.jobs: dict[str, Job] = {}
        self.running: list[tuple[timedelta, Any, int]] = []
        self.offset, self.due, self.number = 0, 0.0, 0

    def define(self, queue: Queue = WIDE, **changes: Any) -> JobDefinition:
        self.number += 1
        step = build_step(**{"width": 20, "estimate": 5 * TICK, **changes})
        steps = (step, step._replace(depends_on=(0,)))
        return JobDefinition(f"{self.number:x}", queue, "", steps, self.clock.now())

    def write(self, kind: RecordKind, name: str, record: Any) -> None:
        key, self.offset = RecordKey(kind, name), self.offset + 1
        value = StoredValue(self.offset, key.format(), encode_record(record))
        self.table.apply(value)
        self.backlogs.observe(self.table, key)

    def accept(self, definition: JobDefinition) -> None:
        job = self.jobs[definition.job_id] = Job(definition, self.offset)
        job.add_occurrence(0)
        self.write(RecordKind.JOB, job.job_id, definition)

    def run_tick(self) -> None:
        """End the tasks that are due, start waiting ones, and write the progress."""
        self.clock.advance(TICK)
        now, changed = self.clock.boottime(), set()
        for _, step, index in [run for run in self.running if run[0] <= now]:
            step.mark_done(index)
            changed.add(step.job)
        self.running = [run for run in self.running if run[0] > now]
        jobs = [job for job in self.jobs.values() if not job.phase.final]
        clock, slowdowns = self.clock.now(), Slowdowns()
        for step in order_steps(jobs, lambda job: job.queue, slowdowns, clock):
            while step.waiting and len(self.running) < 100:
                ends_at = now + step.definition.estimate
                self.running.append((ends_at, step, step.waiting.pop()))
                step.job.phase = Phase.RUNNING
                changed.add(step.job)
        for job in changed:
            if job.is_complete():
                job.phase, job.ended_at = Phase.COMPLETED, clock
            self.write(RecordKind.PROGRESS, job.job_id, job.build_record())

    def play(self, seconds: float, rate: float, **changes: Any) -> list[Any]:
        """Submit jobs at a rate; return the refusal, or None, of each."""
        answers = []
        for _ in range(round(seconds / TICK.total_seconds())):
            self.run_tick()
            self.due += rate * TICK.total_seconds()
            while self.due >= 1:
                self.due -= 1
                definition = self.define(**changes)
                answers.append(self.backlogs.find_refusal(definition))
                if answers[-1] is None or not self.admits:
                    self.accept(definition)
        return answers

    def play_until_refusal(self) -> None:
        self.play(6, 0.9 * CAPACITY)
        while not any(self.play(0.1, BURST)[-1:]):
            assert self.number < 200, "no job is refused"

    def count_ends(self, factor: int) -> int:
        """Return the number of jobs that ended within a multiple of the objective."""
        limit = factor * timedelta(seconds=2)
        ends = [(job.ended_at, job.due_at(0)) for job in self.jobs.values()]
        return sum(end is not None and end - due <= limit for end, due in ends)


class BurstTests(AsyncTestCase):
    """A burst of wide jobs at 2.5 times the throughput of their service."""

    def test_jobs_are_refused_only_while_they_could_not_begin_in_time(self):
        """Guards against early refusals, and refusals after the backlog has drained."""
        replay = Replay()
        self.assertFalse(any(replay.play(6, 0.9 * CAPACITY)))
        burst = replay.play(7, BURST)
        begin = [answer is not None for answer in burst].index(True) / BURST
        # 0.9 s of work are open, 1.5 s are added each second, 3 objectives are 6 s.
        self.assertGreaterEqual(begin, (6 - 0.9) / 1.5)
        refusals = [answer for answer in burst if answer]
        self.assertGreater(len(refusals), 5)
        self.assertTrue(all(r.on_time + r.overdue > 3 * r.objective for r in refusals))
        replay.play(2, 0.5 * CAPACITY)
        self.assertFalse(any(replay.play(8, 0.5 * CAPACITY)))

    def test_refusals_cost_no_job_that_would_have_ended_in_time(self):
        """Guards against running late jobs while jobs that could be on time go away."""
        with_refusals, without = Replay(), Replay(admits=False)
        for replay in (with_refusals, without):
            for seconds, rate in ((6, 0.9 * CAPACITY), (12, BURST), (8, 2.0)):
                replay.play(seconds, rate)
        self.assertEqual(with_refusals.count_ends(1), without.count_ends(1))
        self.assertGreaterEqual(with_refusals.count_ends(3), without.count_ends(3))

    def test_a_burst_that_the_service_can_absorb_is_accepted(self):
        """Guards against refusing jobs of 8 s, which are of use within 48 s."""
        replay = Replay()
        for seconds, rate in ((20, 0.9), (7, 2.5), (20, 0.9)):
            answers = replay.play(seconds, rate * CAPACITY / 8, estimate=40 * TICK)
            self.assertFalse(any(answers))

    def test_only_work_that_goes_before_a_job_counts(self):
        """Guards against refusals for work that yields, or that no host can run."""
        replay = Replay()
        replay.play_until_refusal()
        find = replay.backlogs.find_refusal
        self.assertIsNotNone(find(replay.define()))
        self.assertIsNone(find(replay.define(SMALL, width=10)))
        self.assertIsNone(find(replay.define(long_running=True)))
        replay = Replay()
        for _ in range(20):
            self.assertFalse(any(replay.play(0.5, 0.5 * CAPACITY)))
            for job in [replay.define(label="none") for _ in range(10)]:
                replay.write(RecordKind.JOB, job.job_id, job)
        find = replay.backlogs.find_refusal
        self.assertIsNotNone(find(replay.define(label="none")))


class UncertaintyTests(AsyncTestCase):
    """Overload of which the controller knows too little."""

    def setUp(self) -> None:
        super().setUp()
        self.replay = Replay()
        self.replay.play_until_refusal()
        self.new = self.replay.define()

    def test_after_a_pause_in_reads_nothing_is_refused(self):
        """Guards against a throughput that misses the ends during the pause."""
        self.replay.clock.advance(12 * TICK)
        self.assertIsNone(self.replay.backlogs.find_refusal(self.new))
        self.assertFalse(any(self.replay.play(4.8, BURST)))
        self.assertTrue(any(self.replay.play(2, BURST)))

    def test_a_controller_that_has_just_started_refuses_nothing(self):
        """Guards against a throughput measured over a part of the window."""
        self.replay.backlogs = Backlogs(self.replay.clock, self.replay.metrics)
        for name in self.replay.jobs:
            key = RecordKey(RecordKind.JOB, name)
            self.replay.backlogs.observe(self.replay.table, key)
        self.assertFalse(any(self.replay.play(4.8, BURST)))

    def _submit(self, age: timedelta, read: tuple[JobDefinition, ...] = ()) -> Any:
        """Submit a job; the records of ``read`` come while the controller catches up."""
        replay = self.replay
        tail: Any = SimpleNamespace(
            get_outage_duration=timedelta,
            get_view_age=lambda: age,
            catch_up=lambda _: [replay.accept(job) for job in read] or True,
        )
        submissions = Submissions("c", "127.0.0.1:1", replay.clock)
        submissions.mark_leader_alive()
        store = build_store((200, b'{"offset":0,"end":1}'))
        parts = (store, replay.clock, replay.table, tail, submissions)
        service = JobService(*parts, replay.backlogs, replay.metrics)
        return service.submit(self.new, timedelta(seconds=1))

    def test_only_a_recent_view_without_the_job_refuses_it(self):
        """Guards against refusals for work that has been done since, and against 429
        for a job that another controller has stored.
        """
        problem = self._submit(TICK).failure()
        self.assertEqual(ANSWERS[problem.kind], (429, Ran.NO))
        self.assertIn(problem.retry_after, [timedelta(seconds=s) for s in range(1, 11)])
        for answer in (
            self._submit(11 * TICK),
            self._submit(TICK, (self.new,)),
            self._submit(TICK),
        ):
            self.assertEqual(answer.unwrap().phase, Phase.QUEUED)

    def test_callers_refused_together_retry_at_different_times(self):
        """Guards against a second burst made of retries."""
        for excess, expected in ((0, {1, 2}), (3, {3, 4, 5}), (99, {6, 7, 8, 9, 10})):
            delay = timedelta(seconds=excess)
            seconds = {compute_retry_after(delay, f"{n}").seconds for n in range(200)}
            self.assertEqual(seconds, expected)

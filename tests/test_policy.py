"""Tests of the decisions on batch work."""

import random
import re
from datetime import timedelta

import testtools
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from bench.policy.rows import Row
from bench.policy.runs import run_deployment
from bench.policy.scenario import DEPLOYMENTS
from egretcrank.policy.health import OnTrial, SetAside, Usable, WorkerHealth
from egretcrank.policy.interference import (
    Occupancy,
    PairEstimates,
    UsageReport,
)
from egretcrank.policy.placement import (
    HostView,
    Outlook,
    Placement,
    RunningTask,
    Wait,
    WaitingTask,
    Weights,
    choose_host,
    find_upper,
)
from egretcrank.policy.quotas import Quota, choose_preemption, order_waiting
from egretcrank.policy.reaction import Evict, Move, Pressure, Reaction, Throttle
from egretcrank.policy.regression import PRIOR_DEVIATION, Estimate
from egretcrank.policy.scheduler import Outcome, Scheduler
from egretcrank.policy.sizes import IGNORANT_FACTOR, SizeEstimates, cut_bound
from egretcrank.wire.messages import Resources
from egretcrank.wire.resources import fits
from tests.cases import ManualClock

WHOLE = Resources(5.0, 36000.0, 2.0)
EVEN = Weights()
BUDGET = 0.2
LINE = re.compile(
    r"deployment=(lankanet|kovacevic) policy=[a-z_]+ p99_ratio=\d+\.\d{3} "
    r"throughput_ratio=\d+\.\d{3} evictions=\d+ violations=\d+"
)


def seconds(value: float) -> timedelta:
    return timedelta(seconds=value)


def build_host(name: str, free: Resources = WHOLE, *tasks: RunningTask) -> HostView:
    return HostView(name, "lookup", "d0", "r0", 0.5, WHOLE, free, tasks)


def build_task(name: str, customer: str = "c0", urgent: bool = False) -> WaitingTask:
    declared = Resources(1.0, 1000.0)
    return WaitingTask(name, f"job-{name}", customer, "k0", declared, urgent)


def build_running(name: str, cores: float = 1.0, share: float = 1.0) -> RunningTask:
    return RunningTask(name, f"job-{name}", "k0", Resources(cores, 1000.0), share)


def report(latency: float, time: float) -> UsageReport:
    return UsageReport("h0", "lookup", seconds(time), seconds(time + 10), 0.5, latency)


class InterferenceTest(testtools.TestCase):
    @seed(1)
    @settings(max_examples=20, deadline=None)
    @given(harm=st.floats(0.5, 2.0), noise_seed=st.integers(0, 1000))
    def test_bystander_is_not_blamed(self, harm: float, noise_seed: int) -> None:
        # Guards against blaming a harmless kind that ran beside a ruinous one.
        rng = random.Random(noise_seed)
        pairs = PairEstimates()
        for step in range(200):
            doses = {k: 1.0 for k in ("bad", "good") if rng.random() < 0.6}
            latency = 20 * (1 + harm * doses.get("bad", 0)) * rng.uniform(0.95, 1.05)
            pairs.observe(report(latency, step * 10.0), doses)
        self.assertLess(abs(pairs.estimate("lookup", 2, "good").mean), 0.2)
        self.assertLess(abs(pairs.estimate("lookup", 2, "bad").mean - harm), 0.3 * harm)

    def test_shift_is_followed(self) -> None:
        # Guards against estimates that become immovable after many measurements.
        pairs = PairEstimates()
        for step in range(400):
            harm = 1.0 if step < 200 else 0.0
            ran = step % 2
            pairs.observe(report(20 * (1 + harm * ran), step * 60.0), {"k": float(ran)})
        self.assertLess(pairs.estimate("lookup", 2, "k").mean, 0.2)

    def test_unknown_pair_is_uncertain(self) -> None:
        estimate = PairEstimates().estimate("lookup", 0, "k")
        self.assertEqual(PRIOR_DEVIATION, estimate.deviation)

    @seed(2)
    @settings(max_examples=50, deadline=None)
    @given(start=st.integers(0, 100), end=st.integers(0, 100))
    def test_late_report_covers_what_ran_then(self, start: int, end: int) -> None:
        # Guards against attributing a late report to what runs when it arrives.
        occupancy = Occupancy()
        occupancy.record("h0", "t", "k", 0.5, seconds(min(start, end)))
        occupancy.close("t", seconds(max(start, end)))
        occupancy.record("h0", "later", "other", 1.0, seconds(100))
        doses = occupancy.measure_doses("h0", seconds(0), seconds(100))
        self.assertAlmostEqual(0.5 * abs(end - start) / 100, doses.get("k", 0.0))
        self.assertNotIn("other", doses)


class PlacementTest(testtools.TestCase):
    @seed(3)
    @settings(max_examples=100, deadline=None)
    @given(
        mean=st.floats(0, 2),
        deviation=st.floats(0, 0.6),
        present=st.floats(0, 0.4),
        cores=st.floats(0, 5),
    )
    def test_choice_fits_and_stays_within_the_budget(
        self, mean: float, deviation: float, present: float, cores: float
    ) -> None:
        # Guards against starts that overfill a host or are known to slow its service.
        host = build_host("h0", Resources(cores, 36000.0, 2.0))
        outlook = Outlook(Estimate(mean, deviation), Estimate(present, 0.0), True)
        bound = Resources(2.0, 1000.0)
        task = build_task("t")
        found = choose_host(
            task, bound, [host], lambda _: outlook, EVEN, BUDGET, random.Random(1)
        )
        if isinstance(found, Placement):
            self.assertTrue(fits(found.reserved, host.free))
            self.assertLessEqual(present + found.share * mean, BUDGET + 1e-9)
        else:
            self.assertFalse(found.final)

    def test_tasks_of_a_job_spread_over_racks(self) -> None:
        near = build_host("h0", WHOLE, build_running("t"))
        far = build_host("h1")._replace(rack="r1", failure_domain="d1")
        outlook = Outlook(Estimate(0.0, 0.0), Estimate(0.0, 0.0), True)
        task = build_task("t2")._replace(job="job-t")
        found = choose_host(
            task,
            task.declared,
            [near, far],
            lambda _: outlook,
            EVEN,
            BUDGET,
            random.Random(1),
        )
        assert isinstance(found, Placement)
        self.assertEqual("h1", found.host)
        self.assertEqual(["h0"], [other.host for other in found.alternatives])

    def test_caution_grows_with_the_weight_of_tail_latency(self) -> None:
        estimate = Estimate(0.1, 0.2)
        strict = find_upper(estimate, Weights(3, 1, 1))
        self.assertGreater(strict, find_upper(estimate, EVEN))


class ReactionTest(testtools.TestCase):
    def decide(self, reaction, slowdown, share, time, measured=None):
        host = build_host("h0", WHOLE, build_running("t", share=share))
        harm = {"t": slowdown}
        pressure = Pressure(host, harm, harm, measured)
        return reaction.decide([pressure], EVEN, BUDGET, lambda *_: None, seconds(time))

    @seed(4)
    @settings(max_examples=50, deadline=None)
    @given(slowdowns=st.lists(st.floats(0, 3), min_size=30, max_size=60))
    def test_changes_are_not_reversed_at_once(self, slowdowns: list[float]) -> None:
        # Guards against oscillation when the load crosses a band back and forth.
        reaction, share, lowered = Reaction(), 1.0, -1000.0
        for step, slowdown in enumerate(slowdowns):
            time = step * 5.0
            for action in self.decide(reaction, slowdown, share, time):
                if not isinstance(action, Throttle):
                    return  # The task no longer runs.
                if action.share > share:
                    self.assertGreaterEqual(time - lowered, 45.0)
                else:
                    lowered = time
                share = action.share

    def test_noisy_wave_does_not_cause_a_wave_of_evictions(self) -> None:
        reaction = Reaction()
        evictions = 0
        for step in range(120):
            bad = [
                Pressure(
                    build_host(f"h{i}", Resources(), build_running(f"t{i}", 5.0, 0.1)),
                    {f"t{i}": 2.0},
                    {f"t{i}": 2.0},
                    2.0,
                )
                for i in range(11)
            ]
            actions = reaction.decide(
                bad, EVEN, BUDGET, lambda *_: None, seconds(5 * step)
            )
            evictions += sum(isinstance(action, Evict | Move) for action in actions)
        # 10 minutes with every host bad: the burst, and about one for each host.
        self.assertLessEqual(evictions, 4 + 11)

    def test_throttling_comes_first(self) -> None:
        actions = self.decide(Reaction(), 1.0, 1.0, 10.0, measured=2.0)
        self.assertEqual([Throttle], [type(action) for action in actions])


class SizesTest(testtools.TestCase):
    @seed(5)
    @settings(max_examples=50, deadline=None)
    @given(ratio=st.floats(0.2, 2.6), count=st.integers(0, 40), draw=st.integers(0, 99))
    def test_bound_holds_what_tasks_use(
        self, ratio: float, count: int, draw: int
    ) -> None:
        # Guards against reservations that a later task of the kind exceeds.
        rng = random.Random(draw)
        sizes, declared = SizeEstimates(), Resources(1.0, 1000.0)
        for index in range(count):
            used = ratio * rng.uniform(0.9, 1.1)
            sizes.observe(f"t{index}", "k", declared, Resources(used, 1000 * used))
        bound = sizes.bound("k", declared)
        self.assertGreaterEqual(bound.processors, ratio)
        if not count:
            self.assertEqual(IGNORANT_FACTOR, bound.processors)

    def test_large_bound_is_cut_to_the_host(self) -> None:
        cut = cut_bound(Resources(6.0, 9e4), Resources(2.0, 3e4), WHOLE)
        self.assertEqual((5.0, 36000.0), (cut.processors, cut.memory_mib))


class HealthTest(testtools.TestCase):
    def test_black_hole_is_set_aside_and_tried_again(self) -> None:
        health = WorkerHealth()
        for job in ("a", "b", "c"):
            health.record_failure("w", job, seconds(0))
        self.assertIsInstance(health.find_condition("w", seconds(1)), SetAside)
        self.assertIsInstance(health.find_condition("w", seconds(200)), OnTrial)
        health.record_start("w", "t")
        self.assertIsInstance(health.find_condition("w", seconds(201)), SetAside)
        health.record_success("w", "d")
        self.assertIsInstance(health.find_condition("w", seconds(202)), Usable)

    @seed(6)
    @settings(max_examples=30, deadline=None)
    @given(workers=st.lists(st.integers(0, 9), min_size=1, max_size=60))
    def test_broken_job_does_not_condemn_workers(self, workers: list[int]) -> None:
        health = WorkerHealth()
        for step, worker in enumerate(workers):
            health.record_failure(f"w{worker}", "broken", seconds(step))
        for worker in set(workers):
            condition = health.find_condition(f"w{worker}", seconds(100))
            self.assertIsInstance(condition, Usable)
        self.assertEqual(
            len(set(workers)) >= 3 or len(workers) >= 12, health.cannot_run("broken")
        )


class QuotasTest(testtools.TestCase):
    @seed(7)
    @settings(max_examples=50, deadline=None)
    @given(
        drawn=st.lists(st.tuples(st.integers(0, 3), st.booleans()), max_size=30),
    )
    def test_order_is_complete_and_urgent_first(self, drawn) -> None:
        tasks = [
            build_task(str(i), f"c{customer}", urgent)
            for i, (customer, urgent) in enumerate(drawn)
        ]
        ordered = order_waiting(tasks, {})
        self.assertEqual(sorted(tasks), sorted(ordered))
        urgent = [task.urgent for task in ordered]
        self.assertEqual(sorted(urgent, reverse=True), urgent)

    def test_customers_alternate_by_quota(self) -> None:
        # Guards against one customer's backlog delaying another customer.
        tasks = [build_task(f"a{i}", "a") for i in range(4)] + [build_task("b", "b")]
        quotas = {name: Quota(Resources(10.0)) for name in ("a", "b")}
        ordered = [task.task for task in order_waiting(tasks, quotas)]
        self.assertEqual(1, ordered.index("b"))

    def test_preemption_loses_least_work(self) -> None:
        tasks = tuple(build_running(name, 2.5) for name in ("old", "new"))
        host = build_host("h0", Resources(0.0, 9000.0), *tasks)
        losses = {"old": 500.0, "new": 20.0}
        wanted = Resources(1.0, 1000.0)
        found = choose_preemption(wanted, wanted, [host], losses)
        assert found is not None
        self.assertEqual(("new",), found.tasks)


class SchedulerTest(testtools.TestCase):
    def test_job_that_fails_everywhere_is_final(self) -> None:
        clock = ManualClock()
        scheduler = Scheduler(clock, random.Random(1), EVEN)
        hosts = [build_host(f"h{i}") for i in range(5)]
        task = build_task("t")
        tried = set()
        for _ in range(3):
            placed = scheduler.place(task, hosts)
            assert isinstance(placed, Placement)
            tried.add(placed.host)
            scheduler.record_start(task, placed.host, placed.share)
            scheduler.record_end(task.task, Outcome.FAILED)
        self.assertEqual(3, len(tried))
        found = scheduler.place(task, hosts)
        assert isinstance(found, Wait)
        self.assertTrue(found.final)


class BenchTest(testtools.TestCase):
    def test_short_run_has_no_violations(self) -> None:
        # Guards against overfilled hosts and against a changed form of the output.
        for deployment in DEPLOYMENTS:
            rows = {row.policy: row for row in run_deployment(deployment, 1, 1200.0)}
            self.assertEqual(0, rows["egretcrank"].violations)
            self.assertEqual(
                {"random", "least_loaded", "packing", "reactive", "oracle"},
                set(rows) - {"egretcrank"},
            )
            self.check_lines(rows)

    def check_lines(self, rows: dict[str, Row]) -> None:
        for row in rows.values():
            self.assertTrue(LINE.fullmatch(row.render()), row.render())

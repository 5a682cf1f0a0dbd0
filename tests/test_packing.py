"""Tests of the placement of serving and best-effort tasks."""

import random
from collections import Counter
from datetime import timedelta
from unittest.mock import Mock, patch

from egretcrank.policy.pressures import PressureTable
from egretcrank.scheduling import placement
from egretcrank.scheduling.definitions import JobDefinition, Step
from egretcrank.scheduling.hosts import HostState
from egretcrank.scheduling.placement import Ranking, choose_host
from egretcrank.scheduling.tasks import Job, StepState
from egretcrank.wire.hosting import Pressure, RunnerInfo
from tests.cases import AsyncTestCase, ManualClock
from tests.cell_world import QUEUE, build_step

TARGET = timedelta(milliseconds=25)


def build_host(name: str, *images: str, cpu: int = 16000) -> HostState:
    """Build a host that runs one serving task of each image."""
    host = HostState(name, f"{name}:1")
    host.runner = RunnerInfo(
        name, 1, "s", "zone", "rack", ("a", "rack"), cpu, 64000, 0, False, 0.0
    )
    for image in images:
        host.reserve(build_serving(image))
    return host


def build_serving(image: str) -> Step:
    """Build a step of long-running serving tasks."""
    return build_step(cpu=3000, long_running=True, image=image, target=TARGET)


def build_state(step: Step) -> StepState:
    """Build the state of a job with one step."""
    definition = JobDefinition("0" * 16, QUEUE, "", (step,), ManualClock().now())
    return Job(definition, 0).add_occurrence(0)[0]


class PackingTests(AsyncTestCase):
    """Placement on a nearly full site, where best-effort tasks need unmixed hosts."""

    def _choose(self, image: str, *hosts: HostState) -> str:
        step = build_state(build_serving(image))
        candidate = choose_host(step, "s", hosts, PressureTable())
        assert candidate is not None
        return candidate.host.name

    def test_a_host_that_serves_the_image_among_others_comes_before_another_image(self):
        """Guards against adding an image to a host that serves a single one.

        On 72 nearly full hosts, two thirds served two images or more, and few were left
        on which a best-effort task did not interfere with any serving task.
        """
        mixed, other = build_host("mixed", "a", "b"), build_host("other", "c")
        self.assertEqual(self._choose("a", mixed, other), "mixed")
        self.assertEqual(self._choose("a", other, mixed), "mixed")

    def test_a_host_that_serves_only_the_image_comes_first(self):
        """Guards against using a mixed host while another serves only the image."""
        pure, mixed = build_host("pure", "a"), build_host("mixed", "a", "b")
        self.assertEqual(self._choose("a", mixed, pure), "pure")

    def test_a_new_image_goes_where_images_are_mixed_already(self):
        """Guards against adding a second image to a host that serves one."""
        pure = build_host("pure", "a")
        mixed = build_host("mixed", "b", "c")
        self.assertEqual(self._choose("d", pure, mixed), "mixed")

    def test_a_new_image_opens_an_empty_host_while_many_are_empty(self):
        """Guards against mixing images while many hosts are empty."""
        hosts = [build_host(f"h{n}", "a") for n in range(3)]
        empty = [build_host(f"e{n}") for n in range(2)]
        self.assertIn(self._choose("b", *hosts, *empty), ("e0", "e1"))

    def test_the_last_empty_hosts_are_left_to_best_effort_tasks(self):
        """Guards against losing the last hosts that are free of interference."""
        hosts = [build_host(f"h{n}", "a", "c") for n in range(9)]
        self.assertNotEqual(self._choose("b", *hosts, build_host("empty")), "empty")


class RankingTests(AsyncTestCase):
    """Ranking of the hosts once for all tasks of a step."""

    def _place(self, step: Step, incremental: bool, seed: int) -> list[str]:
        """Place a step of many tasks; return the hosts in order."""
        rng = random.Random(seed)
        images = ["a", "b", "c"]
        hosts = [
            build_host(f"h{n}", *rng.sample(images, rng.randrange(3)))
            for n in range(20)
        ]
        state = build_state(step)
        ranking = Ranking(state, "s", hosts, PressureTable())
        chosen = []
        for _ in range(step.width):
            if not incremental:
                ranking = Ranking(state, "s", hosts, PressureTable())
            best = ranking.best
            if best is None:
                break
            chosen.append(best.host.name)
            best.host.reserve(step)
            state.spread[best.host.name] = state.spread.get(best.host.name, 0) + 1
            ranking.rerank_best()
        return chosen

    def test_incremental_ranking_matches_a_full_ranking_per_task(self):
        """Guards against a ranking that is stale after a placement."""
        steps = [
            build_step(width=60, cpu=1500),
            build_step(width=60, cpu=1500, spread_limit=2),
            build_step(width=30, cpu=3000, long_running=True, image="d", target=TARGET),
            build_step(width=30, cpu=3000, long_running=True, image="a", target=TARGET),
            build_step(width=90, cpu=1800, memory=3200, best_effort=True, image="f"),
        ]
        for number, step in enumerate(steps):
            for seed in range(5):
                once = self._place(step, True, seed)
                self.assertEqual(once, self._place(step, False, seed), f"step {number}")
                self.assertTrue(once)

    def test_hosts_are_ranked_once_per_step(self):
        """Guards against a cost proportional to hosts times tasks.

        With 160 hosts, placing 660 tasks per second took half a core that way.
        """
        hosts = [build_host(f"h{n}") for n in range(50)]
        state = build_state(build_step(width=40, cpu=1000))
        is_eligible = Mock(wraps=placement.is_eligible)
        with patch.object(placement, "is_eligible", is_eligible):
            ranking = Ranking(state, "s", hosts, PressureTable())
            for _ in range(40):
                assert ranking.best is not None
                ranking.best.host.reserve(state.definition)
                ranking.rerank_best()
        self.assertLessEqual(is_eligible.call_count, 50 + 40)


class GainTests(AsyncTestCase):
    """Many best-effort tasks on a few empty hosts and many serving hosts."""

    def _build_fleet(self) -> list[HostState]:
        hosts = [build_host(f"empty{n}") for n in range(2)]
        hosts += [build_host(f"serving{n}", "a") for n in range(10)]
        for host in hosts[2:]:
            host.headrooms = {"a": 0.25}
        return hosts

    def _place(self, step: Step, hosts: list[HostState]) -> Counter[str]:
        state = build_state(step)
        ranking = Ranking(state, "s", hosts, PressureTable())
        placed: Counter[str] = Counter()
        for _ in range(step.width):
            best = ranking.best
            if best is None or not best.worthwhile:
                break
            best.host.reserve(step)
            placed[best.host.name] += 1
            ranking.rerank_best()
        return placed

    def test_empty_hosts_are_not_overcommitted(self):
        """Guards against 25 tasks of 1.8 cores on each of three empty hosts.

        With 72 hosts under normal load, tasks of unknown interference were kept off
        nearly all serving hosts, and ran at a third of their speed on the empty ones.
        """
        step = build_step(width=60, cpu=1800, memory=3200, best_effort=True, image="f")
        hosts = self._build_fleet()
        placed = self._place(step, hosts)
        for host in hosts[:2]:
            self.assertLessEqual(placed[host.name] * step.cpu, 16000 + step.cpu)
        for host in hosts[2:]:
            self.assertGreater(placed[host.name], 0)

    def test_a_heavy_image_may_join_light_ones(self):
        """Guards against work that waits because tasks beside it would not slow down.

        Agents give headroom to the images that interfere least first. Counted as if all
        tasks slowed down alike, a heavy image added less than nothing on a host with
        four light tasks, and waited while the host had processors and headroom left.
        """
        host = build_host("h", "a", cpu=24000)
        host.headrooms = {"a": 0.28}
        light = build_step(cpu=1800, memory=3200, best_effort=True, image="light")
        heavy = light._replace(image="heavy")
        for _ in range(4):
            host.reserve(light)
        pressures = PressureTable()
        pressures.update(
            "h", [Pressure("light", "a", 0.01, 0.01), Pressure("heavy", "a", 0.1, 0.01)]
        )
        best = Ranking(build_state(heavy), "s", [host], pressures).best
        assert best is not None
        self.assertTrue(best.worthwhile)
        host.reserve(heavy)
        second = Ranking(build_state(heavy), "s", [host], pressures).best
        assert second is not None
        self.assertFalse(second.worthwhile)

    def test_a_task_that_would_only_slow_the_others_waits(self):
        """Guards against more tasks than a host's processors or headroom allow."""
        host = build_host("full")
        light = build_step(cpu=4000, memory=1000, best_effort=True, image="f")
        for _ in range(4):
            host.reserve(light)
        candidate = choose_host(build_state(light), "s", [host], PressureTable())
        assert candidate is not None
        self.assertFalse(candidate.worthwhile)
        serving = build_host("serving", "a")
        serving.headrooms = {"a": 0.0}
        candidate = choose_host(build_state(light), "s", [serving], PressureTable())
        assert candidate is not None
        self.assertFalse(candidate.worthwhile)

    def test_the_host_with_the_highest_gain_comes_first(self):
        """Guards against choosing a full host because it has no interference."""
        crowded, roomy = build_host("crowded"), build_host("roomy", "a")
        roomy.headrooms = {"a": 0.12}
        step = build_step(cpu=1800, best_effort=True, image="f")
        for _ in range(12):
            crowded.reserve(step)
        candidate = choose_host(
            build_state(step), "s", [crowded, roomy], PressureTable()
        )
        assert candidate is not None
        self.assertEqual(candidate.host.name, "roomy")

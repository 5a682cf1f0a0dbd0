"""Tests of where serving tasks go, so that what fills finds hosts without harm."""

import random
from collections import Counter
from datetime import timedelta
from unittest.mock import Mock, patch

from egretcrank.policy.sharing import PressureTable
from egretcrank.scheduling import placement
from egretcrank.scheduling.definitions import JobDefinition, Step
from egretcrank.scheduling.hosts import HostState
from egretcrank.scheduling.placement import Ranking, choose_host
from egretcrank.scheduling.tasks import Job, StepState
from egretcrank.wire.hosting import RunnerFacts
from tests.cases import AsyncTestCase, ManualClock
from tests.cell_world import QUEUE, build_step

TARGET = timedelta(milliseconds=25)


def build_host(name: str, *images: str, cpu: int = 16000) -> HostState:
    """Build a host that serves one task of each of some images."""
    host = HostState(name, f"{name}:1")
    host.runner = RunnerFacts(
        name, 1, "s", "zone", "rack", ("a", "rack"), cpu, 64000, 0, False, 0.0
    )
    for image in images:
        host.reserve(build_serving(image))
    return host


def build_serving(image: str) -> Step:
    """Build a step of lasting tasks that serve."""
    return build_step(cpu=3000, lasting=True, image=image, target=TARGET)


def build_state(step: Step) -> StepState:
    """Build the state of a job with one step."""
    definition = JobDefinition("0" * 16, QUEUE, "", (step,), ManualClock().now())
    return Job(definition, 0).add_occurrence(0)[0]


class PackingTests(AsyncTestCase):
    """A nearly full site, on which mixed images leave no room for what fills."""

    def _choose(self, image: str, *hosts: HostState) -> str:
        step = build_state(build_serving(image))
        choice = choose_host(step, "s", hosts, PressureTable())
        assert choice is not None
        return choice.host.name

    def test_a_host_that_serves_the_image_among_others_comes_before_another_image(self):
        """Guards against one more image on a host that served a single one.

        In trials with 72 hosts that were nearly full, two thirds of the hosts served
        two images or more, and a task that fills found few on which it harmed none.
        """
        mixed, other = build_host("mixed", "a", "b"), build_host("other", "c")
        self.assertEqual(self._choose("a", mixed, other), "mixed")
        self.assertEqual(self._choose("a", other, mixed), "mixed")

    def test_a_host_that_serves_only_the_image_comes_first(self):
        """Guards against filling up a mixed host while its image has its own."""
        pure, mixed = build_host("pure", "a"), build_host("mixed", "a", "b")
        self.assertEqual(self._choose("a", mixed, pure), "pure")

    def test_a_new_image_goes_where_images_are_mixed_already(self):
        """Guards against spoiling a host that serves a single image."""
        pure = build_host("pure", "a")
        mixed = build_host("mixed", "b", "c")
        self.assertEqual(self._choose("d", pure, mixed), "mixed")

    def test_a_new_image_opens_an_empty_host_while_many_are_empty(self):
        """Guards against mixed hosts beside empty ones."""
        hosts = [build_host(f"h{n}", "a") for n in range(3)]
        empty = [build_host(f"e{n}") for n in range(2)]
        self.assertIn(self._choose("b", *hosts, *empty), ("e0", "e1"))

    def test_the_last_empty_hosts_are_left_to_what_fills(self):
        """Guards against the end of the only hosts on which nothing can be harmed."""
        hosts = [build_host(f"h{n}", "a", "c") for n in range(9)]
        self.assertNotEqual(self._choose("b", *hosts, build_host("empty")), "empty")


class RankingTests(AsyncTestCase):
    """Hosts that are ranked once for all tasks of a step."""

    def _place(self, step: Step, ranked: bool, seed: int) -> list[str]:
        """Place a step of many tasks; return the hosts in order."""
        dice = random.Random(seed)
        images = ["a", "b", "c"]
        hosts = [
            build_host(f"h{n}", *dice.sample(images, dice.randrange(3)))
            for n in range(20)
        ]
        state = build_state(step)
        ranking = Ranking(state, "s", hosts, PressureTable())
        chosen = []
        for _ in range(step.width):
            if not ranked:
                ranking = Ranking(state, "s", hosts, PressureTable())
            best = ranking.best
            if best is None:
                break
            chosen.append(best.host.name)
            best.host.reserve(step)
            state.spread[best.host.name] = state.spread.get(best.host.name, 0) + 1
            ranking.renew_best()
        return chosen

    def test_each_task_goes_where_a_fresh_look_at_all_hosts_would_send_it(self):
        """Guards against a ranking that is out of date after a placement."""
        steps = [
            build_step(width=60, cpu=1500),
            build_step(width=60, cpu=1500, spread_limit=2),
            build_step(width=30, cpu=3000, lasting=True, image="d", target=TARGET),
            build_step(width=30, cpu=3000, lasting=True, image="a", target=TARGET),
            build_step(width=90, cpu=1800, memory=3200, fills=True, image="f"),
        ]
        for number, step in enumerate(steps):
            for seed in range(5):
                once = self._place(step, True, seed)
                self.assertEqual(once, self._place(step, False, seed), f"step {number}")
                self.assertTrue(once)

    def test_hosts_are_looked_at_once_a_step(self):
        """Guards against a cost of hosts times tasks.

        At 160 hosts, placing 660 tasks a second took half a core that way.
        """
        hosts = [build_host(f"h{n}") for n in range(50)]
        state = build_state(build_step(width=40, cpu=1000))
        look = Mock(wraps=placement.is_eligible)
        with patch.object(placement, "is_eligible", look):
            ranking = Ranking(state, "s", hosts, PressureTable())
            for _ in range(40):
                assert ranking.best is not None
                ranking.best.host.reserve(state.step)
                ranking.renew_best()
        self.assertLessEqual(look.call_count, 50 + 40)


class GainTests(AsyncTestCase):
    """Many tasks that fill, a few hosts that serve nothing and many that serve."""

    def _build_fleet(self) -> list[HostState]:
        hosts = [build_host(f"empty{n}") for n in range(2)]
        hosts += [build_host(f"serving{n}", "a") for n in range(10)]
        for host in hosts[2:]:
            host.rooms = {"a": 0.25}
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
            ranking.renew_best()
        return placed

    def test_hosts_that_serve_nothing_are_not_crowded(self):
        """Guards against 25 tasks of 1.8 cores on each of three empty hosts.

        On a calm day with 72 hosts, tasks whose pairs were not known yet harmed someone
        nearly everywhere else, and worked at a third of their speed there.
        """
        step = build_step(width=60, cpu=1800, memory=3200, fills=True, image="f")
        hosts = self._build_fleet()
        placed = self._place(step, hosts)
        for host in hosts[:2]:
            self.assertLessEqual(placed[host.name] * step.cpu, 16000 + step.cpu)
        for host in hosts[2:]:
            self.assertGreater(placed[host.name], 0)

    def test_a_task_that_would_only_slow_the_others_waits(self):
        """Guards against more tasks than a host's processors or room are good for."""
        host = build_host("full")
        light = build_step(cpu=4000, memory=1000, fills=True, image="f")
        for _ in range(4):
            host.reserve(light)
        choice = choose_host(build_state(light), "s", [host], PressureTable())
        assert choice is not None
        self.assertFalse(choice.worthwhile)
        serving = build_host("serving", "a")
        serving.rooms = {"a": 0.0}
        choice = choose_host(build_state(light), "s", [serving], PressureTable())
        assert choice is not None
        self.assertFalse(choice.worthwhile)

    def test_the_host_with_most_to_gain_comes_first(self):
        """Guards against a full host that is chosen for its harmlessness."""
        crowded, roomy = build_host("crowded"), build_host("roomy", "a")
        roomy.rooms = {"a": 0.12}
        step = build_step(cpu=1800, fills=True, image="f")
        for _ in range(12):
            crowded.reserve(step)
        choice = choose_host(build_state(step), "s", [crowded, roomy], PressureTable())
        assert choice is not None
        self.assertEqual(choice.host.name, "roomy")

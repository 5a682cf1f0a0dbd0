"""Tests of the evacuation of failure domains."""

from collections.abc import Iterable
from dataclasses import replace
from datetime import timedelta
from unittest.mock import patch

from hypothesis import given, settings
from hypothesis import strategies as st

from egretcrank.controller.operator_records import OperatorRecords
from egretcrank.observability.metrics import Metrics
from egretcrank.platform.store import LogPage, Store
from egretcrank.scheduling.catalog import Catalog
from egretcrank.scheduling.evacuation import Evacuations
from egretcrank.scheduling.records import Phase
from egretcrank.scheduling.settings import CellSettings
from egretcrank.scheduling.table import StoredValue
from egretcrank.scheduling.views import StartWindow
from tests import cell_world
from tests.cases import AsyncTestCase, ManualClock
from tests.cell_world import SETTINGS, TICK, World, build_step

BOUND = timedelta(seconds=5)
DOMAINS = ("a", "b", "c")


def request(domain: str, offset: int = 0, value: bytes = b"{}") -> StoredValue:
    """Build the operator's record that asks to evacuate a domain."""
    return StoredValue(offset, f"evacuate/{domain}", value)


class RecordTests(AsyncTestCase):
    """What the operator's records mean."""

    def setUp(self):
        super().setUp()
        self.evacuations = Evacuations(ManualClock())

    def test_a_domain_is_evacuated_until_its_key_is_deleted(self):
        """Guards against a domain that stays empty after it was taken back."""
        self.assertTrue(self.evacuations.apply([request("a"), request("b")]))
        self.assertFalse(self.evacuations.apply([request("a")]))
        self.assertTrue(self.evacuations.apply([request("a", value=b"")]))
        self.assertEqual(self.evacuations.domains, {"b"})

    def test_a_complete_list_without_a_domain_takes_it_back(self):
        """Guards against a deletion that expired before it was read."""
        self.evacuations.apply([request("a"), request("b")])
        self.evacuations.apply([StoredValue(1, "config", b"{}")], is_complete=False)
        self.assertEqual(self.evacuations.domains, {"a", "b"})
        self.evacuations.apply([request("b")], is_complete=True)
        self.assertEqual(self.evacuations.domains, {"b"})

    def test_a_value_that_cannot_be_read_is_a_request_as_any_other(self):
        """Guards against a new leader that reads only the odd value, and starts."""
        for value in (b"\xff", b"[]", b"{", b"[" * 100_000):
            follower, successor = Evacuations(ManualClock()), Evacuations(ManualClock())
            follower.apply([request("a")])
            follower.apply([request("a", value=value)])
            successor.apply([request("a", value=value)], is_complete=True)
            self.assertEqual(follower.domains, successor.domains)

    def test_a_key_without_a_domain_changes_nothing(self):
        """Guards against a request that names no domain, and ends another."""
        self.evacuations.apply([request("a")])
        self.assertFalse(self.evacuations.apply([request("")]))
        self.assertEqual(self.evacuations.domains, {"a"})

    @settings(max_examples=50, deadline=None)
    @given(
        st.lists(
            st.tuples(st.sampled_from(DOMAINS), st.booleans(), st.booleans()),
            max_size=30,
        )
    )
    def test_followers_agree_with_the_newest_records(self, changes):
        """Guards against followers that differ by how much history they have read."""
        newest: dict[str, bool] = {}
        follower = Evacuations(ManualClock())
        for domain, is_requested, is_reread in changes:
            newest[domain] = is_requested
            if is_reread:
                kept = [request(name) for name, held in newest.items() if held]
                follower.apply(kept, is_complete=True)
            else:
                value = b"{}" if is_requested else b""
                follower.apply([request(domain, value=value)])
        self.assertEqual(follower.domains, {d for d, held in newest.items() if held})


class FollowerTests(AsyncTestCase):
    """A controller that follows the operator's topic."""

    def test_a_deletion_that_has_expired_is_learned_from_the_newest_records(self):
        """Guards against hosts that stay empty for good after a compaction."""
        seen: list[frozenset[str]] = []
        catalogs: list[Catalog] = []
        store = Store("127.0.0.1:1")
        records = OperatorRecords(
            store, ManualClock(), Metrics(), catalogs.append, seen.append
        )
        page = LogPage(3, (request("a"),))
        records.apply_newest(page.records)
        records.apply((request("b", 3),))
        records.apply_newest(())
        self.assertEqual(seen, [{"a"}, {"a", "b"}, frozenset()])


class StartWindowTests(AsyncTestCase):
    """The bound that the age of a view sets to starts."""

    def build(self, bound: timedelta | None) -> tuple[StartWindow, ManualClock]:
        clock = ManualClock()
        window = StartWindow(CellSettings(evacuation_bound=bound), clock, 1)
        window.confirm_jobs(clock.boottime())
        return window, clock

    def test_starts_end_with_the_older_view(self):
        """Guards against starts after a request to evacuate that was not read."""
        window, clock = self.build(BOUND)
        window.confirm_operator(clock.boottime())
        clock.advance(timedelta(seconds=4))
        now = clock.boottime()
        window.confirm_jobs(now)
        self.assertEqual(window.compute_left(now), timedelta(milliseconds=500))
        self.assertFalse(window.update(now, 0))
        window.confirm_operator(now)
        self.assertTrue(window.update(now, 0))

    def test_nothing_starts_before_the_first_read(self):
        """Guards against a leader on a host that has just booted."""
        window, clock = self.build(BOUND)
        self.assertFalse(window.update(clock.boottime(), 0))

    def test_a_short_bound_leaves_time_for_starts(self):
        """Guards against a deployment in which nothing is ever placed."""
        window, clock = self.build(timedelta(seconds=1))
        window.confirm_operator(clock.boottime())
        clock.advance(timedelta(milliseconds=400))
        self.assertTrue(window.update(clock.boottime(), 0))

    def test_a_deployment_without_the_bound_does_not_need_the_operator(self):
        """Guards against starts that stop where no domain is ever evacuated."""
        window, clock = self.build(None)
        self.assertTrue(window.update(clock.boottime(), 0))


class EvacuatedWorld(World):
    """World whose hosts are in failure domains of their own.

    ``requested_at`` tells since when which domains are requested to be empty. Leaders
    read that only while ``is_operator_read`` is set.
    """

    def __init__(self, seed: int) -> None:
        super().__init__(seed, hosts=len(DOMAINS))
        self.requested_at: dict[str, timedelta] = {}
        self.is_operator_read = True
        self.late_starts_seen: list[str] = []
        self._start_count = 0
        for runner, domain in zip(self.runners, DOMAINS, strict=True):
            runner.failure_domain = domain

    def evacuate(self, *domains: str) -> None:
        for domain in domains:
            self.requested_at.setdefault(domain, self.now())

    def step(self) -> None:
        for leader in self.leaders:
            if leader.cell is not None and self.is_operator_read:
                leader.cell.evacuated = frozenset(self.requested_at)
                leader.cell.window.confirm_operator(self.now())
        now = self.now()
        super().step()
        for task, _, name in self.starts[self._start_count :]:
            requested_at = self.requested_at.get(self.find_domain(name))
            if requested_at is not None and now - requested_at > BOUND:
                self.late_starts_seen.append(f"{task} on {name}")
        self._start_count = len(self.starts)

    def find_domain(self, name: str) -> str:
        return next(r.failure_domain for r in self.runners if r.name == name)

    def list_started(self, since: int) -> set[str]:
        return {self.find_domain(name) for _, _, name in self.starts[since:]}


class EvacuationTests(AsyncTestCase):
    """Leaders and agents while failure domains are evacuated."""

    def setUp(self):
        super().setUp()
        bound = replace(SETTINGS, evacuation_bound=BOUND)
        patcher = patch.object(cell_world, "SETTINGS", bound)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.world = EvacuatedWorld(501)
        self.world.run(2)

    def run_beside(self, seconds: float) -> None:
        """Run the world while a job is submitted each second."""
        for _ in range(int(seconds)):
            self.world.submit(build_step(width=4))
            self.world.run(1)

    def assert_starts_in(self, expected: Iterable[str], since: int) -> None:
        self.assertEqual(self.world.list_started(since), set(expected))
        self.assertEqual(self.world.late_starts_seen, [])
        self.assertEqual(self.world.violations, [])

    def test_work_goes_to_the_other_domains_and_comes_back(self):
        """Guards against starts in an evacuated domain, and against one left idle."""
        self.world.evacuate("b")
        self.run_beside(7)
        self.assert_starts_in(("a", "c"), 0)
        self.world.requested_at.clear()
        since = len(self.world.starts)
        self.run_beside(4)
        self.assert_starts_in(DOMAINS, since)

    def test_a_start_that_waits_at_its_agent_is_withdrawn(self):
        """Guards against orders of before the request that are carried out late."""
        with patch.object(cell_world.Agent, "carry_out_orders", lambda agent: None):
            job = self.world.submit(build_step(width=6))
            self.world.run(0.5)
            self.world.evacuate("a", "b")
            self.world.run(1.5)
        since = len(self.world.starts)
        self.world.run(8)
        self.assert_starts_in(("c",), since)
        self.assertEqual(self.world.find_phase(job), Phase.COMPLETED)

    def test_nothing_starts_while_all_domains_are_evacuated(self):
        """Guards against a last resort, and against jobs that are lost meanwhile."""
        self.world.evacuate(*DOMAINS)
        job = self.world.submit(build_step(width=2))
        self.world.run(6)
        self.assertEqual(self.world.starts, [])
        self.world.requested_at.clear()
        self.world.run(6)
        self.assertEqual(self.world.find_phase(job), Phase.COMPLETED)

    def test_a_leader_that_cannot_read_the_request_stops_in_time(self):
        """Guards against a leader whose view of the operator's topic stands still."""
        self.world.is_operator_read = False
        self.world.evacuate("a")
        self.run_beside(9)
        self.assertEqual(self.world.late_starts_seen, [])
        self.world.is_operator_read = True
        since = len(self.world.starts)
        self.run_beside(3)
        self.assert_starts_in(("b", "c"), since)

    def test_a_new_leader_starts_nothing_before_it_has_read_the_request(self):
        """Guards against a takeover during an evacuation."""
        self.world.evacuate("a")
        self.run_beside(6)
        self.world.is_operator_read = False
        self.world.elect()
        since = len(self.world.starts)
        self.run_beside(3)
        self.assertEqual(self.world.starts[since:], [])
        self.world.is_operator_read = True
        self.run_beside(8)
        self.assert_starts_in(("b", "c"), since)

    def test_no_start_is_late_beside_faults(self):
        """Guards against late starts beside losses, kills and overlapping requests."""
        for seed in range(510, 518):
            with self.subTest(seed=seed):
                world = EvacuatedWorld(seed)
                world.loss_probability = world.late_start_probability = 0.1
                for _ in range(int(timedelta(seconds=40) / TICK)):
                    self.disturb(world)
                    world.step()
                self.assertEqual(world.late_starts_seen, [])
                self.assertEqual(world.violations, [])

    def disturb(self, world: EvacuatedWorld) -> None:
        chance = world.random.random()
        if chance < 0.1:
            world.submit(build_step(width=world.random.randint(1, 6)))
        elif chance < 0.12:
            world.evacuate(world.random.choice(DOMAINS))
        elif chance < 0.14:
            world.requested_at.pop(world.random.choice(DOMAINS), None)
        elif chance < 0.15:
            world.is_operator_read = not world.is_operator_read
        elif chance < 0.155:
            world.elect()
        elif chance < 0.165:
            world.start_agent(world.random.choice(world.runners))

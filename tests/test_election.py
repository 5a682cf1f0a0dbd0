"""Tests of leader election with machines of several sizes and reassigned slots."""

from datetime import timedelta
from typing import Any

from returns.result import Failure, Success

from egretcrank.controller.candidates import (
    build_member_name,
    choose_leader,
    compute_fitness,
)
from egretcrank.controller.election import (
    EPOCHS_PER_GENERATION,
    FULL_GROUP_CHECK_INTERVAL,
    MAX_TTL_EXTENSION,
    MEMBERSHIP_TTL,
    SLOT_TOPICS,
    Election,
)
from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.platform.store import SlotOwner, Store
from egretcrank.settings.platform import LimitSettings
from tests.cases import AsyncTestCase, ManualClock
from tests.test_platform import build_store

BIG = LimitSettings(processor_share=0.717, processors=3, link_megabits=200)
SMALL = LimitSettings(processor_share=0.516, processors=1, link_megabits=10)


class ChoiceTests(AsyncTestCase):
    """Selection of the leader among the members of the group."""

    def test_a_small_machine_leads_only_without_a_larger_one(self):
        """Guards against a leader whose link is too slow for the hosts' reports.

        With 72 hosts, a machine with 5 Mbit/s lost its membership every few seconds.
        """
        small = build_member_name("10.0.0.1:1", compute_fitness(SMALL))
        big = build_member_name("10.0.0.2:1", compute_fitness(BIG))
        owners = [SlotOwner(0, small), SlotOwner(1, big)]
        leader = choose_leader(owners, "10.0.0.1:1")
        self.assertEqual(leader and leader.address, "10.0.0.2:1")
        leader = choose_leader(owners[:1], "10.0.0.2:1")
        self.assertEqual(leader and leader.address, "10.0.0.1:1")

    def test_a_leader_stays_when_the_slots_are_reassigned(self):
        """Guards against a handover each time the platform reassigns the slots."""
        members = [build_member_name(f"10.0.0.{i}:1", 100) for i in range(4)]
        for turn in range(4):
            owners = [SlotOwner(slot, members[(slot + turn) % 4]) for slot in range(32)]
            leader = choose_leader(owners, "10.0.0.2:1")
            self.assertEqual(leader and leader.address, "10.0.0.2:1")

    def test_without_an_incumbent_the_lowest_slot_decides(self):
        """Guards against members that select different leaders from the same owners."""
        members = [build_member_name(f"10.0.0.{i}:1", 100) for i in range(3)]
        owners = [SlotOwner(slot, members[2 - slot]) for slot in range(3)]
        self.assertEqual(choose_leader(owners, ""), choose_leader(owners[::-1], ""))
        leader = choose_leader(owners, "")
        self.assertEqual(leader and leader.address, "10.0.0.2:1")

    def test_free_slots_and_members_of_other_releases_are_accepted(self):
        """Guards against errors on empty member names and those of earlier releases."""
        owners = [SlotOwner(0, ""), SlotOwner(1, "10.0.0.1:1#ab12cd34")]
        leader = choose_leader(owners, "")
        self.assertEqual(leader and leader.address, "10.0.0.1:1")
        self.assertIsNone(choose_leader([SlotOwner(0, "")], ""))


def _join(generation: int, *parts: int) -> tuple[int, bytes]:
    rows = ",".join(f'["{SLOT_TOPICS[0]}",{part},0]' for part in parts)
    return 200, b'{"generation":%d,"parts":[%s]}' % (generation, rows.encode())


def _owners(*members: str) -> tuple[int, bytes]:
    rows = ",".join(
        f'["{SLOT_TOPICS[0]}",{part},"{member}",0]'
        for part, member in enumerate(members)
    )
    return 200, b'{"parts":[%s]}' % rows.encode()


class ElectionTests(AsyncTestCase):
    """Joins of one member, with scripted replies of the platform."""

    def _build(self, *replies: Any, member: str = "a:1#100#x") -> tuple[Election, Any]:
        store = build_store(*replies)
        return Election(store, member, ManualClock()), store._client

    def test_members_have_distinct_epochs_within_a_generation(self):
        """Guards against two leaders with the same epoch, neither of which is fenced.

        Members that see different incumbents may each consider themselves elected.
        """
        owners = _owners("a:1#100#x", "b:1#100#y")
        first, _ = self._build(_join(7, 0), owners)
        second, _ = self._build(_join(7, 1), owners, member="b:1#100#y")
        mine, other = first.join("a:1").unwrap(), second.join("b:1").unwrap()
        self.assertTrue(mine.is_elected and other.is_elected)
        self.assertNotEqual(mine.epoch, other.epoch)
        self.assertLess(max(mine.epoch, other.epoch), 8 * EPOCHS_PER_GENERATION)

    def test_the_epoch_uses_the_generation_of_the_members_slots(self):
        """Guards against an epoch that another member uses too.

        The list of owners may already belong to a later generation.
        """
        election, _ = self._build(_join(7, 3), _owners("a:1#100#x"))
        epoch = election.join("").unwrap().epoch
        self.assertEqual(epoch, 7 * EPOCHS_PER_GENERATION + 3)

    def test_a_member_without_a_slot_does_not_lead(self):
        """Guards against a leader without a slot to derive its epoch from."""
        election, _ = self._build(_join(7), _owners("a:1#100#x"))
        self.assertFalse(election.join("").unwrap().is_elected)

    def test_a_member_without_a_slot_leaves_a_full_group(self):
        """Guards against a leader that loses its slots as members join and leave.

        With 54 controllers and 32 slots, two of five changes of the group would have
        taken all slots from the leader.
        """
        clock = ManualClock()
        full = _owners(*(f"m{number}#100#x" for number in range(4)))
        store = build_store(
            _join(7), full, (200, b"{}"), full, _owners("a:1#1#x", "a:1#1#x", "", "")
        )
        caller: Any = store._client
        election = Election(store, "late:1#100#x", clock)
        self.assertFalse(election.join("").unwrap().is_elected)
        self.assertIn("/-/log-leave", caller.calls[-1][1])
        calls = len(caller.calls)
        for _ in range(4):
            clock.advance(timedelta(seconds=1))
            self.assertFalse(election.join("").unwrap().is_elected)
        self.assertEqual(len(caller.calls), calls)
        clock.advance(FULL_GROUP_CHECK_INTERVAL)
        election.join("")
        self.assertIsNotNone(election._recheck_at)
        clock.advance(FULL_GROUP_CHECK_INTERVAL)
        election.join("")
        self.assertIsNone(election._recheck_at)

    def test_a_member_that_waits_for_its_first_slot_stays(self):
        """Guards against members that leave a group that has room for them."""
        election, caller = self._build(_join(7), _owners("b:1#100#y", "b:1#100#y"))
        election.join("")
        self.assertFalse([url for _, url, _ in caller.calls if "leave" in url])

    def test_the_owners_are_read_once_per_generation(self):
        """Guards against a read of the owners by each controller at each join."""
        election, caller = self._build(
            _join(7, 0), _owners("a:1#100#x"), _join(7, 0), _join(7, 0)
        )
        epochs = {election.join("").unwrap().epoch for _ in range(3)}
        self.assertEqual(len(epochs), 1)
        self.assertEqual([call[0] for call in caller.calls].count("GET"), 1)

    def test_slow_calls_extend_the_membership(self):
        """Guards against memberships that keep expiring while the log is slow.

        With 228 ms per call, memberships of one second expired one after another, and
        there was no leader for seven seconds.
        """
        clock = ManualClock()
        store = build_store(_join(7, 0), _owners("a:1#100#x"), _join(7, 0))
        call = store._client.call

        def call_slowly(*arguments: Any) -> Any:
            clock.advance(timedelta(milliseconds=228))
            return call(*arguments)

        caller: Any = store._client
        caller.call = call_slowly
        election = Election(store, "a:1#100#x", clock)
        election.join("")
        election.join("")
        self.assertIn(b'"ttl_ms":1912', caller.calls[2][2])

    def test_a_failed_join_does_not_extend_the_membership(self):
        """Guards against dead members that remain for five seconds after an outage."""
        lost = Failure(Problem(ErrorKind.CALL_TIMEOUT, "no answer"))
        clock = ManualClock()
        store = build_store(lost, _join(7, 0), _owners("a:1#100#x"))
        caller: Any = store._client
        call = caller.call

        def call_slowly(*arguments: Any) -> Any:
            clock.advance(timedelta(seconds=1))
            return call(*arguments)

        caller.call = call_slowly
        election = Election(store, "a:1#100#x", clock)
        election.join("")
        election.join("")
        self.assertIn(b'"ttl_ms":1000', caller.calls[1][2])
        self.assertLessEqual(election._ttl, MEMBERSHIP_TTL + MAX_TTL_EXTENSION)

    def test_previous_instances_are_evicted_at_once(self):
        """Guards against a group of dead members after a power loss.

        It took 3.8 s from the start of all controllers until one led.
        """
        owners = _owners("10.0.0.1:1#100#old", "10.0.0.1:1#100#x", "10.0.0.2:1#100#y")
        election, caller = self._build(owners, (200, b"{}"), member="10.0.0.1:1#100#x")
        election.evict_previous_instances("10.0.0.1:1")
        left = [body for _, url, body in caller.calls if "leave" in url]
        self.assertEqual(len(left), 1)
        self.assertIn(b"10.0.0.1:1#100#old", left[0])

    def test_a_failed_join_returns_its_problem(self):
        """Guards against a leader that resigns because the log is unavailable."""
        lost = Failure(Problem(ErrorKind.CALL_TIMEOUT, "no answer"))
        election, _ = self._build(lost)
        self.assertEqual(election.join(""), lost)


class SlotTests(AsyncTestCase):
    """Mapping between slots and the partitions that the platform lists."""

    def test_partitions_of_other_topics_are_ignored(self):
        """Guards against counting the partitions of an earlier release as slots."""
        body = b'{"parts":[["cells-1",2,"m",0],["other",1,"n",0]]}'
        store: Store = build_store((200, body))
        owners = store.list_owners("g", SLOT_TOPICS)
        self.assertEqual(owners, Success((SlotOwner(66, "m"),)))

    def test_one_join_covers_all_topics(self):
        """Guards against members without a slot, which the others cannot see."""
        store: Any = build_store((200, b'{"generation":3,"parts":[]}'))
        store.join("g", "m", SLOT_TOPICS, timedelta(seconds=1), 0)
        for topic in SLOT_TOPICS:
            self.assertIn(f'"{topic}"'.encode(), store._client.calls[0][2])

"""Tests of the check of list changes on good and bad histories."""

from bench.prove.configuration import (
    PINNED_KEY,
    PINNED_QUOTA,
    Expected,
    Sample,
    build_change,
    build_first_change,
    check_configuration,
    fold_expected,
    list_behind,
)
from egretcrank.lists.state import ListsState
from egretcrank.stream.records import ListChange, build_entry
from tests.cases import AsyncTestCase

PINNED = Expected(3, {PINNED_KEY: PINNED_QUOTA}, 3)


class ConfigurationCheckTests(AsyncTestCase):
    def test_process_that_reverts_is_found(self):
        """Guards against a check that overlooks an older list in force."""
        samples = [Sample("e", "host-0", n) for n in (2, 0, 3, 2)]
        found = check_configuration(samples, PINNED, ())
        self.assertEqual(1, len(found.violations))

    def test_restart_and_other_views_are_no_reverts(self):
        """Guards against taking a starting process for one that reverted."""
        samples = [
            Sample("e", "host-0", 3),
            Sample("f", "host-0", 2),
            Sample("e", "host-0", 0),
            Sample("e", "host-0", 3),
        ]
        self.assertEqual((), check_configuration(samples, PINNED, ()).violations)

    def test_lost_override_and_late_process_are_found(self):
        """Guards against a check that never fires."""
        lost = check_configuration((), Expected(3, {PINNED_KEY: 7}, 3), ())
        self.assertEqual(1, len(lost.violations))
        samples = [Sample("e", "host-0", 3), Sample("e", "host-1", 2)]
        self.assertEqual(1, len(list_behind(samples, 3)))

    def test_oracle_agrees_with_the_lists(self):
        """Guards against an oracle that accepts other changes than the system."""
        founder = ListChange(
            base_revision=2,
            author="founder",
            authority="founder",
            override=True,
            set={PINNED_KEY: {"quota": PINNED_QUOTA}},
            reason="overruled",
        )
        changes = [
            build_first_change(),
            build_change(1, "large", 5),
            build_change(1, "large", 6),
            founder,
            build_change(3, "large", 7),
            build_change(3, "standard", 8),
            build_change(9, "standard", 9),
        ]
        entries = [build_entry(change) for change in changes]
        expected = fold_expected(entries)
        lists = ListsState()
        for offset, entry in enumerate(entries):
            lists.apply(offset, entry.record)
        self.assertEqual(4, expected.revision)
        self.assertEqual(lists.revision, expected.revision)
        self.assertEqual(PINNED_QUOTA, lists.find_allowance("large").quota)

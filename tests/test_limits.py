"""Tests of the table of limits in docs/limits.md."""

import re
from importlib import import_module
from pathlib import Path

from tests.cases import AsyncTestCase

PAGE = Path(__file__).parents[1] / "docs" / "limits.md"
ROW = re.compile(r"^\|[^|]*\| `([a-z_.]+)\.([A-Z_]+)` \| (\d+) \|", re.MULTILINE)
# Limits of the platform: bytes of a record with its key, and of one append.
RECORD_BYTES = 262_144
REQUEST_BYTES = 2_097_152
LISTED_ENDS = 500


class LimitTableTests(AsyncTestCase):
    """Values on the page, in the code and of the platform."""

    def setUp(self):
        super().setUp()
        rows = ROW.findall(PAGE.read_text(encoding="utf-8"))
        self.limits = {f"{module}.{name}": int(value) for module, name, value in rows}

    def test_the_page_gives_the_values_of_the_code(self):
        """Guards against a limit that is changed without a look at the others."""
        self.assertGreaterEqual(len(self.limits), 20)
        for path, value in self.limits.items():
            module, _, name = path.rpartition(".")
            constant = getattr(import_module(f"egretcrank.{module}"), name)
            self.assertEqual(constant, value, path)

    def test_what_is_written_stays_below_the_limits_of_the_platform(self):
        """Guards against a record or an append that the log refuses for good."""
        progress = self.limits["scheduling.progress.MAX_PROGRESS_BYTES"]
        self.assertLess(progress, RECORD_BYTES)
        append = self.limits["controller.batches.MAX_APPEND_BYTES"]
        self.assertLess(append, REQUEST_BYTES)
        self.assertLess(progress, append)
        listed = self.limits["platform.runner.MAX_LISTED_ENDS"]
        self.assertEqual(listed, LISTED_ENDS)

    def test_an_agent_keeps_what_its_leader_takes_for_known(self):
        """Guards against orders whose specification was forgotten."""
        known = self.limits["scheduling.outbox.MAX_KNOWN_SPECS"]
        kept = self.limits["agent.specs.MAX_CACHED_SPECS"]
        self.assertLess(known, kept)
        in_flight = self.limits["scheduling.outbox.MAX_ORDERS_IN_FLIGHT"]
        self.assertLessEqual(in_flight, kept)

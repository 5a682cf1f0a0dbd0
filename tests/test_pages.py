"""Tests that the pages for operators agree with the code."""

import re
from pathlib import Path

from bench.reference import PAGE, build_page
from egretcrank.errors.answers import ANSWERS
from egretcrank.errors.kinds import ErrorKind
from tests.cases import AsyncTestCase

ROW = re.compile(r"^\| `(\w+)` \| (\d+) \| (\w+) \| ([^|]+) \| ([^|]+) \|$", re.M)


class PageTests(AsyncTestCase):
    def test_settings_page_is_current(self):
        """Guards against a settings page that lags behind the code."""
        self.assertEqual(build_page(), PAGE.read_text(encoding="utf-8"))

    def test_errors_page_lists_every_kind(self):
        """Guards against kinds that are missing or have another status or ``ran``."""
        page = Path(PAGE.with_name("errors.md")).read_text(encoding="utf-8")
        rows = [(kind, int(status), ran) for kind, status, ran, *_ in ROW.findall(page)]
        expected = [
            (kind.value, ANSWERS[kind].status, ANSWERS[kind].ran.value)
            for kind in ErrorKind
        ]
        self.assertEqual(sorted(expected), sorted(rows))

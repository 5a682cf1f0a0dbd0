"""Tests of the operator commands' output."""

from egretcrank.cli.operations import format_decision, format_status
from tests.cases import AsyncTestCase

STATUS = {
    "name": "entry-0",
    "state": "serving",
    "in_flight": 3,
    "log_down": True,
    "lists_revision": 7,
    "members": [
        {
            "host": host,
            "failure_domain": "domain-0",
            "liveness": liveness,
            "slots": 8,
            "slots_busy": 2,
            "lists_revision": revision,
        }
        for host, liveness, revision in (
            ("host-0", "alive", 7),
            ("host-1", "alive", 6),
            ("host-2", "dead", 3),
        )
    ],
    "owners": [{"partition": 0, "epoch": 1, "host": "host-0", "released": False}],
}


class StatusTests(AsyncTestCase):
    def test_status_names_hosts_with_an_older_revision(self):
        """Guards against a status that hides where a change is not in force yet."""
        lines = format_status(STATUS)
        self.assertIn("lists: revision 7 in force, not yet on host-1", lines)
        self.assertIn("domain-0: 2 alive, 1 dead; 4 of 16 slots busy", lines)
        self.assertIn("log DOWN", lines[0])

    def test_decision_shows_reason_and_alternatives(self):
        """Guards against an explanation without the reason."""
        text = format_decision(
            {
                "time": "t",
                "action": "route",
                "choice": "host-0",
                "reason": "less loaded",
                "alternatives": ["host-1"],
                "inputs": {"load": 0.5},
            }
        )
        self.assertEqual(
            "t route -> host-0: less loaded (load=0.5); alternatives: host-1", text
        )

"""Tests of what a controller tells its cell of the bound on cancellations."""

import re
from datetime import timedelta
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any
from unittest.mock import patch

from returns.result import Result, Success

from egretcrank.controller import daemon
from egretcrank.controller.daemon import Controller
from egretcrank.controller.tail import Tail
from egretcrank.platform.store import Appended, LogPage
from egretcrank.scheduling.cell import Cell
from egretcrank.settings.platform import (
    BoundSettings,
    ControllerSettings,
    load_agent,
    load_controller,
)
from tests.cases import AsyncTestCase, ManualClock

DEPLOY = Path(__file__).parent.parent / "deploy"
# Values of the platform's fields in the templates.
FIELDS = {
    "node_name": "c",
    "zone": "z",
    "ip_address": "127.0.0.1",
    "internal_ports.0": "7001",
    "platform.address": "127.0.0.1:7000",
    "bounds.hold_limit_ms": "6000",
    "bounds.status_s": "120",
    "bounds.grace_s": "6",
    "bounds.harm_ms": "4000",
    "bounds.cancel_ms": "4000",
    "listen_addresses.front": "127.0.0.1:7002",
    "listen_addresses.ready": "127.0.0.1:7003",
    "listen_addresses.control": "127.0.0.1:7004",
    "limits.cpu_share": "1",
    "limits.cores": "1",
    "limits.link_speed_mbps": "100",
    "app": "127.0.0.1:7005",
}
EPOCH = 7


def render(name: str) -> str:
    """Render a template as the platform does."""
    text = (DEPLOY / name).read_text(encoding="utf-8")
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: FIELDS[match[1]], text)


class CancellationBoundTests(AsyncTestCase):
    """The setting of the bound on cancellations."""

    def _load(self, load: Any, text: str) -> BoundSettings:
        with TemporaryDirectory() as directory:
            path = Path(directory) / "s.ini"
            path.write_text(text, encoding="utf-8")
            bounds: BoundSettings = load(path).unwrap().bounds
            return bounds

    def test_the_bound_is_that_of_the_platform(self):
        """Guards against a bound that differs from that of the deployment."""
        for load, name in (
            (load_controller, "controller.ini"),
            (load_agent, "agent.ini"),
        ):
            bounds = self._load(load, render(name))
            self.assertEqual(bounds.cancellation, timedelta(seconds=4))

    def test_a_file_of_the_previous_release_has_the_default(self):
        """Guards against a process that does not start with its former settings."""
        text = render("controller.ini").replace("cancel_milliseconds = 4000\n", "")
        bounds = self._load(load_controller, text)
        self.assertEqual(bounds.cancellation, timedelta(seconds=3))


class LeaderViewTests(AsyncTestCase):
    """A controller that has just been elected."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        for name in ("PeerLink", "ReadinessServer", "Store", "start_loop"):
            patcher = patch.object(daemon, name)
            patcher.start()
            self.addCleanup(patcher.stop)
        with TemporaryDirectory() as directory:
            path = Path(directory) / "s.ini"
            path.write_text(render("controller.ini"), encoding="utf-8")
            settings: ControllerSettings = load_controller(path).unwrap()
        self.controller = Controller(settings, self.clock)

    def _lead(self) -> Cell:
        controller = self.controller
        store: Any = controller._store
        store.append.return_value = Success(Appended(0, 1))
        store.read_newest.side_effect = self._read_newest
        controller._jobs_tail.run()
        controller._pending_epoch = EPOCH
        controller._start_leading(EPOCH)
        assert controller._cell is not None
        return controller._cell

    def _read_newest(self, *_: object) -> Result[LogPage, Any]:
        """Return a page that lasts 200 ms, the last one that the tail reads."""
        tail: Tail = self.controller._jobs_tail
        self.clock.advance(timedelta(milliseconds=200))
        tail.stop()
        return Success(LogPage(1, ()))

    def test_the_cell_is_bound_by_the_setting(self):
        """Guards against a leader that ignores the bound of the deployment."""
        cell = self._lead()
        self.assertEqual(cell._settings.cancellation_bound, timedelta(seconds=4))

    def test_each_round_is_based_on_the_proof_of_the_tail(self):
        """Guards against a leader that does not know the age of its view."""
        began = self.clock.boottime()
        cell = self._lead()
        self.clock.advance(timedelta(milliseconds=300))
        seen: list[timedelta] = []

        def plan() -> None:
            seen.append(cell.window._jobs_proven_at)
            self.controller._stopping.set()

        with patch.object(cell, "plan", plan):
            self.controller._run_decisions()
        self.assertEqual(seen, [began])

"""Faults of a soak: from outside the processes, in series and overlapping."""

import random
import signal
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable

from bench.soak.processes import Daemon, Site
from bench.standins.platform_store import StoreMode

PAUSE_SECONDS = (0.2, 2.5)
DOWN_SECONDS = (0.0, 2.0)
FREEZE_SECONDS = (0.5, 8.0)
OUTAGE_SECONDS = (0.5, 7.0)
LATE_SHARE = 0.3


class Faults:
    """Injects faults that a seed chooses."""

    def __init__(self, site: Site, seed: int) -> None:
        self._site = site
        self._dice = random.Random(seed)
        self._timers: list[threading.Timer] = []
        self.counts: Counter[str] = Counter()
        self._kinds: list[Callable[[], None]] = [
            self._kill_one,
            self._kill_one,
            self._terminate_one,
            self._freeze_one,
            self._freeze_one,
            self._kill_all,
            self._take_log_away,
            self._take_log_away,
            self._drop_history,
            self._deal_anew,
            self._cut_link,
            self._silence_link,
            self._restart_runner,
            self._silence_runner,
            self._delay_starts,
        ]

    def run(self, seconds: float) -> None:
        """Inject faults for a time."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            time.sleep(self._dice.uniform(*PAUSE_SECONDS))
            fault = self._dice.choice(self._kinds)
            self.counts[fault.__name__.strip("_")] += 1
            fault()

    def heal(self) -> None:
        """End all faults; every process runs afterwards."""
        for timer in self._timers:
            timer.join()
        self._site.store.mode = StoreMode.UP
        for runner in self._site.runners:
            runner.late_share = 0.0
        for daemon in self._site.daemons:
            daemon.send(signal.SIGCONT)
            daemon.start()

    def _later(self, span: tuple[float, float], action: Callable[[], None]) -> None:
        timer = threading.Timer(self._dice.uniform(*span), action)
        timer.start()
        self._timers.append(timer)

    def _choose(self) -> Daemon:
        return self._dice.choice(self._site.daemons)

    def _kill_one(self) -> None:
        daemon = self._choose()
        daemon.send(signal.SIGKILL)
        self._later(DOWN_SECONDS, daemon.start)

    def _terminate_one(self) -> None:
        daemon = self._choose()
        daemon.send(signal.SIGTERM)
        self._later((6.5, 8.0), daemon.start)

    def _freeze_one(self) -> None:
        daemon = self._choose()
        daemon.send(signal.SIGSTOP)
        self._later(FREEZE_SECONDS, lambda: daemon.send(signal.SIGCONT))

    def _kill_all(self) -> None:
        for daemon in self._site.daemons:
            daemon.send(signal.SIGKILL)
            self._later(DOWN_SECONDS, daemon.start)

    def _take_log_away(self) -> None:
        modes = (StoreMode.BUSY, StoreMode.SILENT, StoreMode.LOSSY)
        self._site.store.mode = self._dice.choice(modes)
        self._later(OUTAGE_SECONDS, self._bring_log_back)

    def _bring_log_back(self) -> None:
        self._site.store.mode = StoreMode.UP

    def _drop_history(self) -> None:
        self._site.store.drop_history()

    def _deal_anew(self) -> None:
        self._site.store.deal_anew()

    def _cut_link(self) -> None:
        link = self._dice.choice(list(self._site.links.values()))
        self._command(f"cut {link} {self._dice.uniform(*OUTAGE_SECONDS):.2f}")

    def _silence_link(self) -> None:
        self._command(f"silence {self._dice.choice(list(self._site.links.values()))}")

    def _command(self, line: str) -> None:
        host, _, port = self._site.forwarder_control.rpartition(":")
        with socket.create_connection((host, int(port)), timeout=2.0) as link:
            link.sendall(f"{line}\n".encode())
            link.recv(16)

    def _restart_runner(self) -> None:
        self._dice.choice(self._site.runners).restart()

    def _silence_runner(self) -> None:
        runner = self._dice.choice(self._site.runners)
        runner.silent_until = time.monotonic() + self._dice.uniform(*OUTAGE_SECONDS)

    def _delay_starts(self) -> None:
        runner = self._dice.choice(self._site.runners)
        runner.late_share = LATE_SHARE if not runner.late_share else 0.0

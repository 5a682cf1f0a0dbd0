"""Reports of other writers at the agent of a runner."""

import random
import threading
import time

from bench.standins.platform_runner import PlatformRunner, call_agent

REPORT_SECONDS = (0.05, 0.4)
# Times of birth around that of the runner, in milliseconds.
BIRTH_OFFSETS = (-5000, 5000)


class OtherWriter:
    """Reports valid descriptions of a process that is not the runner."""

    def __init__(self, runner: PlatformRunner, random_: random.Random) -> None:
        self._runner = runner
        self._random = random_
        self._id = f"w{random_.randrange(10**6)}"
        self._born = runner.born + random_.randint(*BIRTH_OFFSETS)
        self._service = random_.choice(("s", "unknown"))
        self._state = random_.choice(("ready", "ready", "draining"))
        self._unregisters = random_.random() < 0.5

    def run(self, seconds: float) -> None:
        """Report on a thread of its own for some seconds."""
        threading.Thread(target=self._report, args=(seconds,), daemon=True).start()

    def _report(self, seconds: float) -> None:
        deadline = time.monotonic() + seconds
        sequence = 0
        while time.monotonic() < deadline:
            sequence += 1
            report = self._runner.build_heartbeat() | {
                "service": self._service,
                "state": self._state,
                "born": self._born,
                "sequence": sequence,
                "capacity": {"cpu": 100, "mem_mb": 100, "gpu": 0},
            }
            call_agent(self._runner.control, "PUT", self._id, report)
            time.sleep(self._random.uniform(*REPORT_SECONDS))
        if self._unregisters:
            call_agent(self._runner.control, "DELETE", self._id, None)

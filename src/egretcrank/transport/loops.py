"""Threads that restart their loop after an unexpected error."""

import logging
import threading
import time
from collections.abc import Callable
from datetime import timedelta

# Keeps a loop that fails immediately each time from using all of a CPU.
RESTART_DELAY = timedelta(milliseconds=200)

logger = logging.getLogger(__name__)


def start_loop(name: str, loop: Callable[[], None]) -> None:
    """Run ``loop`` on a new daemon thread and restart it on errors until it returns."""

    def run() -> None:
        while True:
            try:
                loop()
            except Exception:
                logger.exception("loop failed", extra={"loop": name})
                time.sleep(RESTART_DELAY.total_seconds())
            else:
                return

    threading.Thread(target=run, name=name, daemon=True).start()

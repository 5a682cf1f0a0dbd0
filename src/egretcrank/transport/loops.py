"""Threads whose loop survives an unexpected error."""

import logging
import threading
import time
from collections.abc import Callable
from datetime import timedelta

# A loop that fails at once each time must not use up the processor.
RESTART_AFTER = timedelta(milliseconds=200)

logger = logging.getLogger(__name__)


def start_loop(name: str, loop: Callable[[], None]) -> None:
    """Run ``loop`` on a thread of its own, and again if it raises, until it returns."""

    def run() -> None:
        while True:
            try:
                loop()
            except Exception:
                logger.exception("loop failed", extra={"loop": name})
                time.sleep(RESTART_AFTER.total_seconds())
            else:
                return

    threading.Thread(target=run, name=name, daemon=True).start()

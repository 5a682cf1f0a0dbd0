"""Fencing token of an agent's calls to its runner."""

import logging
import threading

# Increase of the fencing token after the runner has refused it. The token starts as a
# wall clock reading in milliseconds. The runner may know a higher one if the clock has
# jumped back, and the step covers such jumps.
TOKEN_STEP = 5000

logger = logging.getLogger(__name__)


class FencingToken:
    """Token that only increases; the runner rejects calls with a lower one."""

    def __init__(self, value: int) -> None:
        self._lock = threading.Lock()
        self._value = value

    @property
    def value(self) -> int:
        """Token for the next call."""
        return self._value

    def advance(self, refused: int) -> None:
        """Increase the token after the runner refused ``refused``, once for all calls.

        Another thread may have increased it already.
        """
        with self._lock:
            if self._value != refused:
                return
            self._value = refused + TOKEN_STEP
        logger.info("fencing token increased", extra={"token": refused + TOKEN_STEP})

    def raise_above(self, token: int) -> int:
        """Return a token that is higher than ``token``.

        Once the runner has seen it, it carries out no earlier call any more.
        """
        with self._lock:
            self._value = max(self._value, token + 1)
            return self._value

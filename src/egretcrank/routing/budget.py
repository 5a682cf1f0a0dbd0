"""Retry budget: a token bucket that is filled by successes."""


class RetryBudget:
    """Allows ``ratio`` retries for each success, and ``burst`` saved up at most."""

    def __init__(self, ratio: float, burst: int) -> None:
        self._ratio = ratio
        self._burst = float(burst)
        self._tokens = float(burst)

    def record_success(self) -> None:
        """Add the share of a retry that a success allows."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def take(self) -> bool:
        """Use one retry, if there is one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

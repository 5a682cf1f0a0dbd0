"""Retry budget: a token bucket that successful requests refill."""


class RetryBudget:
    """Allows ``ratio`` retries per success; at most ``burst`` retries accumulate."""

    def __init__(self, ratio: float, burst: int) -> None:
        self._ratio = ratio
        self._burst = float(burst)
        self._tokens = float(burst)

    def record_success(self) -> None:
        """Add ``ratio`` tokens for a successful request."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def take(self) -> bool:
        """Take the token for one retry; return whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

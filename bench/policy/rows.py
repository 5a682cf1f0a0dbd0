"""The lines that the bench prints."""

from typing import NamedTuple


class Row(NamedTuple):
    """One line of the bench."""

    deployment: str
    policy: str
    p99_ratio: float
    throughput_ratio: float
    evictions: int
    violations: int

    def render(self) -> str:
        """Return the line that is printed."""
        return (
            f"deployment={self.deployment} policy={self.policy} "
            f"p99_ratio={self.p99_ratio:.3f} "
            f"throughput_ratio={self.throughput_ratio:.3f} "
            f"evictions={self.evictions} violations={self.violations}"
        )

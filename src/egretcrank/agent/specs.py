"""Specifications of jobs that an agent has received."""

from collections import OrderedDict
from collections.abc import Mapping

# Jobs whose specification is kept: twice as many as a leader assumes to be known here.
# They take at most 2 MB.
MAX_CACHED_SPECS = 512


class SpecCache:
    """Specifications by job, the most recently received one last."""

    def __init__(self) -> None:
        self._specs: OrderedDict[str, str] = OrderedDict()

    def __len__(self) -> int:
        return len(self._specs)

    def add(self, specs: Mapping[str, str]) -> None:
        """Add the specifications of a message, all of which its orders may need."""
        for job, spec in specs.items():
            self._specs[job] = spec
            self._specs.move_to_end(job)

    def find(self, job: str) -> str | None:
        """Return the specification of a job, or None if it is not known."""
        return self._specs.get(job)

    def trim(self) -> None:
        """Forget the oldest ones, once the orders of a message are applied."""
        while len(self._specs) > MAX_CACHED_SPECS:
            self._specs.popitem(last=False)

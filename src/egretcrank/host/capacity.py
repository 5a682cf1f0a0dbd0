"""Accounting of reserved resources on this host."""

from returns.result import Failure, Result, Success

from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.wire.messages import Resources
from egretcrank.wire.resources import add_resources, fits, subtract_resources


class CapacityLedger:
    """Reservations of processors, memory and accelerators, keyed by holder.

    The upstream's share is always reserved. The total capacity is zero until the worker
    has reported it, so nothing is admitted before that.
    """

    def __init__(self, upstream: Resources) -> None:
        self._upstream = upstream
        self._total = Resources()
        self._reserved: dict[str, Resources] = {}

    @property
    def capacity(self) -> Resources:
        """Resources that all tasks together may reserve."""
        return subtract_resources(self._total, self._upstream)

    @property
    def free(self) -> Resources:
        """Resources available to new tasks; negative if the capacity has shrunk."""
        used = Resources()
        for resources in self._reserved.values():
            used = add_resources(used, resources)
        return subtract_resources(self.capacity, used)

    def set_total(self, total: Resources) -> None:
        """Set the total capacity of the host, as reported by the worker."""
        self._total = total

    def reserve(self, holder: str, resources: Resources) -> Result[None, Problem]:
        """Reserve resources for a new task.

        Fails with ``bad_request`` for negative amounts and with ``no_capacity`` if the
        amount exceeds the free resources. An existing reservation is kept unchanged.
        """
        if min(resources.processors, resources.memory_mib, resources.accelerators) < 0:
            return Failure(
                Problem(
                    ErrorKind.BAD_REQUEST,
                    f"resources are negative: {resources}",
                    holder,
                )
            )
        free = self.free
        if holder not in self._reserved and not fits(resources, free):
            return Failure(
                Problem(
                    ErrorKind.NO_CAPACITY,
                    f"{resources} exceeds the free resources",
                    holder,
                    f"at most {free}",
                )
            )
        self._reserved.setdefault(holder, resources)
        return Success(None)

    def adopt(self, holder: str, resources: Resources) -> None:
        """Record a reservation of a running task, even if it exceeds the capacity."""
        self._reserved[holder] = resources

    def release(self, holder: str) -> None:
        """Release a reservation; unknown holders are ignored."""
        self._reserved.pop(holder, None)

"""Ledger of what is reserved on this host."""

from returns.result import Failure, Result, Success

from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.wire.messages import Resources
from egretcrank.wire.resources import add_resources, fits, subtract_resources


class CapacityLedger:
    """Reservations of processors, memory and accelerators by holder.

    The upstream's share is reserved from the start. ``capacity`` is set once the worker
    has reported it; nothing is admitted before.
    """

    def __init__(self, upstream: Resources) -> None:
        self._upstream = upstream
        self._total = Resources()
        self._reserved: dict[str, Resources] = {}

    @property
    def capacity(self) -> Resources:
        """What all tasks together may reserve."""
        return subtract_resources(self._total, self._upstream)

    @property
    def free(self) -> Resources:
        """What new tasks may still reserve; negative if the capacity shrank."""
        used = Resources()
        for amount in self._reserved.values():
            used = add_resources(used, amount)
        return subtract_resources(self.capacity, used)

    def set_total(self, total: Resources) -> None:
        """Take over the capacity that the worker reports."""
        self._total = total

    def reserve(self, holder: str, amount: Resources) -> Result[None, Problem]:
        """Reserve for a new task, or refuse with ``no_capacity``."""
        if min(amount.processors, amount.memory_mib, amount.accelerators) < 0:
            return Failure(
                Problem(ErrorKind.BAD_REQUEST, f"negative resources: {amount}", holder)
            )
        free = self.free
        if holder not in self._reserved and not fits(amount, free):
            return Failure(
                Problem(
                    ErrorKind.NO_CAPACITY,
                    f"{amount} does not fit",
                    holder,
                    f"at most {free}",
                )
            )
        self._reserved.setdefault(holder, amount)
        return Success(None)

    def adopt(self, holder: str, amount: Resources) -> None:
        """Note what already runs, even beyond the capacity."""
        self._reserved[holder] = amount

    def release(self, holder: str) -> None:
        """End a reservation; unknown holders are ignored."""
        self._reserved.pop(holder, None)

"""Starts that wait at an agent, and permissions to send them."""

from datetime import timedelta
from typing import NamedTuple

from egretcrank.wire.hosting import Run, RunnerRequirement, StartOrder


class WaitingStart(NamedTuple):
    """A start that was ordered in ``session`` and has not been sent yet.

    ``requirement`` is unset if the leader sends none.
    """

    order: StartOrder
    session: tuple[int, int]
    accepted_at: timedelta
    requirement: RunnerRequirement | None = None

    @property
    def run(self) -> Run:
        """Return the run that the order starts."""
        return Run(self.order.task, self.order.run)


class StartPermit(NamedTuple):
    """Permission to send a start now.

    The start is meant for the runner process ``born`` alone, whose description was
    checked. ``deadline`` is the end of the lease on its clock.
    """

    deadline: int
    born: int

"""Summary of batch work for the status of processes and entries."""

from collections.abc import Callable, Iterable
from typing import Any, TypedDict

import msgspec

FindPlan = Callable[[str], str]


class PlanCounts(TypedDict):
    """Tasks of a plan; a task that is being started counts as waiting."""

    running: int
    waiting: int


class WaitingSummary(msgspec.Struct, frozen=True):
    """A task that waits, with the time since its job was accepted."""

    task: str
    customer: str
    waiting_seconds: float
    reason: str


class _Body(msgspec.Struct):
    plans: dict[str, PlanCounts] = {}
    oldest_waiting: WaitingSummary | None = None


class WorkSummary:
    """Running and waiting tasks by plan, and the task that waits longest."""

    def __init__(self) -> None:
        self.plans: dict[str, PlanCounts] = {}
        self.oldest_waiting: WaitingSummary | None = None

    def count_running(self, plan: str) -> None:
        """Count a task whose start its host has confirmed."""
        self._find_counts(plan)["running"] += 1

    def count_waiting(self, plan: str, task: WaitingSummary) -> None:
        """Count a task that waits."""
        self._find_counts(plan)["waiting"] += 1
        self._keep_oldest(task)

    def add(self, other: "WorkSummary") -> None:
        """Add the work of another owner."""
        for plan, counts in other.plans.items():
            total = self._find_counts(plan)
            total["running"] += counts["running"]
            total["waiting"] += counts["waiting"]
        if other.oldest_waiting is not None:
            self._keep_oldest(other.oldest_waiting)

    def build_document(self) -> dict[str, Any]:
        """Build the part ``work`` of a status document."""
        oldest = self.oldest_waiting
        return {
            "plans": dict(self.plans),
            "oldest_waiting": None if oldest is None else msgspec.to_builtins(oldest),
        }

    def _find_counts(self, plan: str) -> PlanCounts:
        return self.plans.setdefault(plan, PlanCounts(running=0, waiting=0))

    def _keep_oldest(self, task: WaitingSummary) -> None:
        oldest = self.oldest_waiting
        if oldest is None or task.waiting_seconds > oldest.waiting_seconds:
            self.oldest_waiting = task


def combine(summaries: Iterable[WorkSummary]) -> WorkSummary:
    """Add the work of several owners."""
    total = WorkSummary()
    for summary in summaries:
        total.add(summary)
    return total


def read_document(document: Any) -> WorkSummary | None:
    """Read the part ``work`` of a process's status; ``None`` if it is malformed."""
    try:
        body = msgspec.convert(document, _Body)
    except msgspec.ValidationError:
        return None
    summary = WorkSummary()
    summary.plans = body.plans
    summary.oldest_waiting = body.oldest_waiting
    return summary

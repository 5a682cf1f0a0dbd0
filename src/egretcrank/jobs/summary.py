"""Summary of batch work for the status documents of sidecars and entries."""

from collections.abc import Callable, Iterable
from typing import Any, TypedDict

import msgspec

FindPlan = Callable[[str], str]


class PlanCounts(TypedDict):
    """Number of tasks of a plan; a task that is being started counts as waiting."""

    running: int
    waiting: int


class WaitingSummary(msgspec.Struct, frozen=True):
    """Waiting task; ``waiting_seconds`` counts from the acceptance of its job."""

    task: str
    customer: str
    waiting_seconds: float
    reason: str


class _Body(msgspec.Struct):
    plans: dict[str, PlanCounts] = {}
    oldest_waiting: WaitingSummary | None = None


class WorkSummary:
    """Counts of running and waiting tasks by plan, and the longest waiting task."""

    def __init__(self) -> None:
        self.plans: dict[str, PlanCounts] = {}
        self.oldest_waiting: WaitingSummary | None = None

    def count_running(self, plan: str) -> None:
        """Count a task whose start was confirmed by its host."""
        self._get_counts(plan)["running"] += 1

    def count_waiting(self, plan: str, task: WaitingSummary) -> None:
        """Count a waiting task."""
        self._get_counts(plan)["waiting"] += 1
        self._keep_oldest(task)

    def add(self, other: "WorkSummary") -> None:
        """Add the summary of another owner."""
        for plan, counts in other.plans.items():
            total = self._get_counts(plan)
            total["running"] += counts["running"]
            total["waiting"] += counts["waiting"]
        if other.oldest_waiting is not None:
            self._keep_oldest(other.oldest_waiting)

    def build_document(self) -> dict[str, Any]:
        """Build the ``work`` section of a status document."""
        oldest = self.oldest_waiting
        return {
            "plans": dict(self.plans),
            "oldest_waiting": None if oldest is None else msgspec.to_builtins(oldest),
        }

    def _get_counts(self, plan: str) -> PlanCounts:
        return self.plans.setdefault(plan, PlanCounts(running=0, waiting=0))

    def _keep_oldest(self, task: WaitingSummary) -> None:
        oldest = self.oldest_waiting
        if oldest is None or task.waiting_seconds > oldest.waiting_seconds:
            self.oldest_waiting = task


def combine(summaries: Iterable[WorkSummary]) -> WorkSummary:
    """Return the sum of the summaries of several owners."""
    total = WorkSummary()
    for summary in summaries:
        total.add(summary)
    return total


def read_document(document: Any) -> WorkSummary | None:
    """Parse the ``work`` section of a status document; ``None`` if it is malformed."""
    try:
        body = msgspec.convert(document, _Body)
    except msgspec.ValidationError:
        return None
    summary = WorkSummary()
    summary.plans = body.plans
    summary.oldest_waiting = body.oldest_waiting
    return summary

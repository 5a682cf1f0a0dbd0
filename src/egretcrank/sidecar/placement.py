"""Adapter from job owners to the placement policy."""

from collections import defaultdict
from collections.abc import Sequence

from egretcrank.jobs.interfaces import PlacedTask, PlacementDecision, WaitingTask
from egretcrank.jobs.model import ReportedState, split_task_id
from egretcrank.membership.directory import ALIVE
from egretcrank.policy import placement as policy
from egretcrank.policy.scheduler import Outcome, Scheduler
from egretcrank.wire.messages import Member, MemberStatus

OUTCOMES_BY_STATE = {
    ReportedState.DONE: Outcome.DONE,
    ReportedState.FAILED: Outcome.FAILED,
}


class PolicyPlacement:
    """Converts between the job owners and the scheduler that they share."""

    def __init__(self, scheduler: Scheduler) -> None:
        self._scheduler = scheduler

    def place(
        self,
        task: WaitingTask,
        members: Sequence[MemberStatus],
        placed: Sequence[PlacedTask],
    ) -> PlacementDecision:
        """Choose a host among the serving members, or tasks to preempt."""
        running: defaultdict[str, list[policy.RunningTask]] = defaultdict(list)
        for item in placed:
            running[item.host].append(_build_running(item))
        hosts = [
            _build_host_view(status.member, running[status.member.host])
            for status in members
            if status.liveness == ALIVE and status.member.state == "serving"
        ]
        # The scheduler receives no usage reports, so the interference of every pair of
        # tasks is unknown.
        waiting = _build_waiting(task)
        chosen = self._scheduler.place_unmeasured(waiting, hosts)
        alternatives = tuple(other.host for other in chosen.alternatives)
        match chosen:
            case policy.Placement():
                return PlacementDecision(chosen.host, chosen.reason, alternatives)
            case policy.Wait() if preemption := self._scheduler.preempt_unmeasured(
                waiting, hosts
            ):
                reason = f"urgent; {len(preemption.tasks)} tasks give way"
                return PlacementDecision(
                    preemption.host, reason, alternatives, preemption.tasks
                )
            case policy.Wait():
                return PlacementDecision(None, chosen.reason, alternatives)

    def record_start(self, task: WaitingTask, host: str) -> None:
        """Record that an attempt of a task runs on a host."""
        self._scheduler.record_start(_build_waiting(task), host, 1.0)

    def record_end(self, task: str, state: str) -> None:
        """Record the end of an attempt; all but done and failed count as stopped."""
        outcome = next(
            (o for s, o in OUTCOMES_BY_STATE.items() if s == state), Outcome.STOPPED
        )
        self._scheduler.record_end(task, outcome)


def _build_waiting(task: WaitingTask) -> policy.WaitingTask:
    job, _ = split_task_id(task.task)
    return policy.WaitingTask(
        task.task, job, task.customer, task.kind, task.resources, task.urgent
    )


def _build_running(task: PlacedTask) -> policy.RunningTask:
    job, _ = split_task_id(task.task)
    return policy.RunningTask(
        task.task,
        job,
        task.kind,
        task.resources,
        urgent=task.urgent or not task.preemptible,
    )


def _build_host_view(
    member: Member, tasks: Sequence[policy.RunningTask]
) -> policy.HostView:
    return policy.HostView(
        member.host,
        member.services[0] if member.services else "",
        member.failure_domain,
        member.rack,
        member.slots_busy / member.slots if member.slots else 0.0,
        member.capacity,
        member.free,
        tuple(tasks),
    )

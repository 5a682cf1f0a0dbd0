"""Batch jobs of the partitions that this sidecar owns."""

import asyncio
import logging
import random
from collections.abc import Callable, Sequence

from returns.result import Failure, Result

from egretcrank.clock import Clock
from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.jobs.owner import JobMessage, JobOwner
from egretcrank.jobs.summary import WorkSummary, combine
from egretcrank.lists.state import ListsState
from egretcrank.observability.decisions import DecisionLog
from egretcrank.observability.metrics import Metrics
from egretcrank.ownership.partitions import find_job_partition, find_partition
from egretcrank.ownership.shards import Shard
from egretcrank.ownership.state import Owner
from egretcrank.policy.placement import Weights
from egretcrank.policy.scheduler import Scheduler
from egretcrank.settings.schema import Settings
from egretcrank.sidecar.placement import PolicyPlacement
from egretcrank.transport.client import Peers
from egretcrank.wire.messages import (
    FenceReply,
    MemberStatus,
    Message,
    Resources,
    SubmitJob,
    TaskEvents,
)
from egretcrank.wire.resources import add_resources

logger = logging.getLogger(__name__)


class _RunningOwner:
    """Job owner of a partition with the asyncio task that runs it."""

    def __init__(self, owner: JobOwner, epoch: int) -> None:
        self.owner = owner
        self.epoch = epoch
        self.task = asyncio.create_task(owner.run())


class OwnedJobs:
    """Job owners of this process, keyed by partition."""

    def __init__(
        self,
        settings: Settings,
        lists: ListsState,
        peers: Peers,
        members: Callable[[], Sequence[MemberStatus]],
        clock: Clock,
        decisions: DecisionLog,
        metrics: Metrics,
        generator: random.Random,
    ) -> None:
        self._settings = settings
        self._lists = lists
        self._peers = peers
        self._members = members
        self._clock = clock
        self._decisions = decisions
        self._metrics = metrics
        self._placement = PolicyPlacement(Scheduler(clock, generator, Weights()))
        self._owners: dict[int, _RunningOwner] = {}

    async def open(
        self,
        claimed: Owner,
        shard: Shard,
        replies: Sequence[FenceReply],
        may_act: Callable[[], bool],
        may_renew: Callable[[], bool],
    ) -> None:
        """Start the job owner of a partition with the tasks that hosts reported."""
        addresses = {s.member.host: s.member.control_address for s in self._members()}
        owner = JobOwner(
            claimed.partition,
            claimed.epoch,
            shard.state.find_partition(claimed.partition).jobs,
            shard.appender.append,
            self._peers.call,
            self._members,
            self._placement.place,
            self._check_quota,
            may_act,
            self._clock,
            self._decisions,
            self._metrics,
            self._settings,
            may_renew=may_renew,
            await_majority=True,
            listener=self._placement,
        )
        for reply in replies:
            # The stamp is 0 if the host has not read its worker's tasks yet.
            if reply.stamp > 0 and reply.host in addresses:
                await owner.adopt(reply, addresses[reply.host])
        self._owners[claimed.partition] = _RunningOwner(owner, claimed.epoch)

    def complete_takeover(self, claimed: Owner) -> None:
        """Tell the job owner of a partition that its takeover is complete."""
        running = self._owners.get(claimed.partition)
        if running is not None and running.epoch == claimed.epoch:
            running.owner.complete_takeover()

    async def handle(self, message: JobMessage) -> Result[Message, Problem]:
        """Handle a message about a job; fails with ``not_owner`` if not owned here."""
        partition = self._find_partition(message)
        running = None if partition is None else self._owners.get(partition)
        if running is None:
            detail = f"partition {partition} is not owned by this process"
            return Failure(Problem(ErrorKind.NOT_OWNER, detail))
        return await running.owner.handle(message)

    def _find_partition(self, message: JobMessage) -> int | None:
        match message:
            case SubmitJob():
                # All jobs of a customer have the same owner, which makes the quota
                # exact.
                return find_partition(message.customer, self._settings.cluster)
            case TaskEvents():
                return message.partition
            case _:
                return find_job_partition(message.job, self._settings.cluster)

    def close_stale_owner(self, partition: int, epoch: int) -> None:
        """Stop the job owner of a partition if it has a lower epoch."""
        running = self._owners.get(partition)
        if running is not None and epoch > running.epoch:
            running.task.cancel()
            running.owner.close()
            del self._owners[partition]

    async def close(self) -> None:
        """Stop all job owners.

        Tasks keep running under their leases until a new owner takes over.
        """
        running, self._owners = self._owners, {}
        for item in running.values():
            item.task.cancel()
        tasks = [item.task for item in running.values()]
        for result in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(result, Exception):
                logger.error("job owner failed", extra={"error": repr(result)})

    def summarize_work(self) -> WorkSummary:
        """Summarize the work of all job owners of this process."""
        return combine(
            item.owner.summarize_work(self._find_plan) for item in self._owners.values()
        )

    def _find_plan(self, customer: str) -> str:
        entry = self._lists.find_customer(customer).value_or(None)
        return entry.plan if entry is not None and entry.plan else "none"

    def _check_quota(
        self, customer: str, used: Resources, more: Resources
    ) -> str | None:
        entry = self._lists.find_customer(customer).value_or(None)
        if entry is None:
            return f"customer {customer!r} is not in the lists"
        allowance = self._lists.find_allowance(entry.plan)
        total = add_resources(used, more)
        for name, requested, allowed in (
            ("processors", total.processors, allowance.processors),
            ("memory", total.memory_mib, allowance.memory_mib),
            ("accelerators", total.accelerators, allowance.accelerators),
        ):
            if requested > allowed:
                return f"{name} {requested:g} exceed the quota {allowed:g} of the plan"
        return None

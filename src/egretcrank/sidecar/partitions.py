"""Partitions that this sidecar owns: fencing, takeover, serving and release."""

import asyncio
import logging
import random
from collections.abc import Coroutine, Sequence
from dataclasses import replace
from datetime import UTC, datetime, timedelta
from typing import Any

from returns.result import Failure, Result, Success

from egretcrank.clock import Clock
from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.idempotency.context import OwnerContext
from egretcrank.idempotency.owner import KeyOwner
from egretcrank.membership.announcer import Announcer
from egretcrank.observability.decisions import DecisionLog
from egretcrank.ownership.partitions import find_partition, find_shard
from egretcrank.ownership.shards import Shard, Shards
from egretcrank.ownership.state import Owner, OwnersState
from egretcrank.routing.selection import Selector
from egretcrank.settings.schema import Settings
from egretcrank.sidecar.jobs import OwnedJobs
from egretcrank.stream.reader import StreamReader
from egretcrank.stream.records import Fence, HeldGap
from egretcrank.transport.client import Peers
from egretcrank.wire.messages import (
    Executed,
    FencePartition,
    FenceReply,
    Member,
    Submit,
)

FENCE_TIMEOUT = timedelta(seconds=1)
READY_TIMEOUT = timedelta(seconds=30)
MAJORITY_POLL_INTERVAL = timedelta(milliseconds=200)

logger = logging.getLogger(__name__)


class OwnedPartitions:
    """Key owners of this process, keyed by partition."""

    def __init__(
        self,
        settings: Settings,
        owners: OwnersState,
        shards: Shards,
        announcer: Announcer,
        peers: Peers,
        clock: Clock,
        decisions: DecisionLog,
        generator: random.Random,
        jobs: OwnedJobs,
        owners_reader: StreamReader,
    ) -> None:
        self._jobs = jobs
        self._owners_reader = owners_reader
        self._settings = settings
        self._owners = owners
        self._shards = shards
        self._announcer = announcer
        self._peers = peers
        self._clock = clock
        self._decisions = decisions
        self._selector = Selector(settings.process.failure_domain, generator)
        self._key_owners: dict[int, KeyOwner] = {}
        self._completions: set[asyncio.Task[None]] = set()

    def list_partitions(self) -> tuple[int, ...]:
        """Return the partitions that this process serves."""
        return tuple(sorted(self._key_owners))

    def is_open(self, partition: int) -> bool:
        """Tell whether this process serves a partition."""
        return partition in self._key_owners

    @property
    def in_flight(self) -> int:
        """Number of keys that are being handled."""
        return sum(owner.in_flight for owner in self._key_owners.values())

    async def open(self, claimed: Owner) -> None:
        """Fence a partition that this process has claimed, and start serving it."""
        partition = claimed.partition
        shard = self._shards.open(find_shard(partition, self._settings.cluster))
        async with asyncio.timeout(READY_TIMEOUT.total_seconds()):
            await shard.reader.wait_until_ready()
        # An earlier append without a reply may have written the fence to the log.
        if shard.state.find_partition(partition).epoch < claimed.epoch:
            fence = Fence(partition, claimed.epoch, claimed.host)
            match await shard.appender.append(fence, READY_TIMEOUT):
                case Failure(problem):
                    logger.warning("fence failed", extra={"detail": problem.detail})
                    return
        members = [status.member for status in self._announcer.list_members()]
        replies = await self._fence_members(members, claimed)
        owner = self._build_owner(claimed, shard)
        owner.adopt(replies)
        await self._jobs.open(
            claimed,
            shard,
            replies,
            lambda: self._may_act(claimed, shard),
            lambda: self._is_current_owner(claimed),
        )
        self._key_owners[partition] = owner
        self._start_completion(
            self._complete_takeover(owner, claimed, shard, members, replies)
        )
        logger.info(
            "partition opened",
            extra={
                "partition": partition,
                "epoch": claimed.epoch,
                "members": len(members),
                "fenced": len(replies),
            },
        )

    def _may_act(self, claimed: Owner, shard: Shard) -> bool:
        """Tell whether the log is readable and shows no later owner."""
        if self._owners_reader.is_down() or shard.reader.is_down():
            return False
        return self._is_current_owner(claimed)

    def _is_current_owner(self, claimed: Owner) -> bool:
        return self._owners.find_owner(claimed.partition) == claimed

    def _build_owner(self, claimed: Owner, shard: Shard) -> KeyOwner:
        context = OwnerContext(
            settings=self._settings,
            clock=self._clock,
            peers=self._peers,
            members=self._announcer.list_members,
            decisions=self._decisions,
            appender=shard.appender,
            reader=shard.reader,
            selector=self._selector,
        )
        keys = shard.state.find_partition(claimed.partition).keys
        return KeyOwner(claimed.partition, claimed.epoch, keys, context)

    async def _fence_members(
        self, members: Sequence[Member], claimed: Owner
    ) -> list[FenceReply]:
        message = FencePartition(claimed.partition, claimed.epoch)
        replies = await asyncio.gather(
            *(
                self._peers.call(member.control_address, message, FENCE_TIMEOUT)
                for member in members
            )
        )
        return [
            reply
            for result in replies
            if isinstance(reply := result.value_or(None), FenceReply)
        ]

    async def _complete_takeover(
        self,
        owner: KeyOwner,
        claimed: Owner,
        shard: Shard,
        members: Sequence[Member],
        replies: Sequence[FenceReply],
    ) -> None:
        """Wait until no attempt of the former owner can start any more.

        Then fence the members again: the first member list may have been incomplete,
        for example after a restart of all entries, and held attempts may have started
        since.
        """
        if claimed.epoch > 1:
            while not self._announcer.majority_has_applied(claimed.offset):
                await self._clock.sleep(MAJORITY_POLL_INTERVAL)
            session = self._settings.cluster.session_seconds
            await self._clock.sleep(session * (1 + self._settings.cluster.clock_drift))
            current_members = [
                status.member for status in self._announcer.list_members()
            ]
            later_replies = await self._fence_members(current_members, claimed)
            owner.adopt(later_replies)
            all_members = [*members, *current_members]
            if not _covers_held_attempts(
                claimed, all_members, [*replies, *later_replies]
            ):
                await self._record_gap(claimed, shard)
        self._jobs.complete_takeover(claimed)
        self._allow_held_requests(owner, claimed, shard)

    async def _record_gap(self, claimed: Owner, shard: Shard) -> None:
        """Record for later owners that earlier held keys may be unknown."""
        gap = HeldGap(claimed.partition, claimed.epoch, self._clock.now().timestamp())
        while self._is_current_owner(claimed):
            if isinstance(await shard.appender.append(gap), Success):
                return

    def _allow_held_requests(
        self, owner: KeyOwner, claimed: Owner, shard: Shard
    ) -> None:
        """Enable services that hold requests in a log outage.

        After a gap, only keys that were created later are accepted.
        """
        now = self._clock.now()
        gap_at = shard.state.find_partition(claimed.partition).gap_at
        retention = self._settings.cluster.key_retention_seconds
        age = now.timestamp() - gap_at
        owner.takeover.gap = gap_at > 0 and age < retention.total_seconds()
        owner.takeover.complete_at = (
            datetime.fromtimestamp(gap_at, UTC) if owner.takeover.gap else now
        )

    def _start_completion(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._completions.add(task)
        task.add_done_callback(self._completions.discard)

    async def submit(self, submit: Submit) -> Result[Executed, Problem]:
        """Handle a request whose key belongs to an owned partition.

        Fails with ``not_owner`` or ``unknown_service``.
        """
        partition = find_partition(submit.key, self._settings.cluster)
        owner = self._key_owners.get(partition)
        if owner is None:
            return Failure(
                Problem(
                    ErrorKind.NOT_OWNER,
                    f"partition {partition} is not owned by this process",
                )
            )
        if submit.request.service not in self._settings.services:
            detail = (
                f"service {submit.request.service!r} is not configured on this host"
            )
            return Failure(Problem(ErrorKind.UNKNOWN_SERVICE, detail))
        return await owner.submit(submit)

    def close_stale_owner(self, partition: int, epoch: int) -> None:
        """Stop serving a partition if this process owns it under a lower epoch."""
        self._jobs.close_stale_owner(partition, epoch)
        owner = self._key_owners.get(partition)
        if owner is not None and epoch > owner.epoch:
            owner.close()
            del self._key_owners[partition]
            logger.info(
                "partition lost", extra={"partition": partition, "epoch": epoch}
            )

    async def leave(self, limit: timedelta) -> tuple[Owner, ...]:
        """Finish the requests in flight and return the ownerships to release."""
        for owner in self._key_owners.values():
            owner.close()
        await asyncio.gather(
            *(owner.finish(limit) for owner in self._key_owners.values())
        )
        await self._jobs.close()
        owned = tuple(
            replace(claimed, clean=self._key_owners[partition].is_fully_recorded)
            for partition in self._key_owners
            if (claimed := self._owners.find_owner(partition)) is not None
        )
        self._key_owners.clear()
        return owned

    async def close(self) -> None:
        """Cancel the tasks that complete takeovers."""
        for task in self._completions:
            task.cancel()
        await asyncio.gather(*self._completions, return_exceptions=True)


def _covers_held_attempts(
    claimed: Owner, members: Sequence[Member], replies: Sequence[FenceReply]
) -> bool:
    """Tell whether the replies cover all held attempts of the former owner.

    Every known member must have replied with its incarnation, except the former owner's
    host, because an owner never executes its held requests on its own host.
    """
    if claimed.former_clean:
        return True
    replied = {(reply.host, reply.incarnation) for reply in replies}
    return all(
        (member.host, member.incarnation) in replied
        for member in members
        if member.host != claimed.former_host
    )

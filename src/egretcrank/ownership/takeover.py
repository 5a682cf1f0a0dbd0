"""Claims of partitions that have no live owner."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from datetime import timedelta
from typing import Any

from returns.result import Failure, Success

from egretcrank.clock import Clock
from egretcrank.membership.directory import ALIVE, DEAD, UNREACHABLE
from egretcrank.observability.decisions import Decision, DecisionLog
from egretcrank.ownership.partitions import rank_hosts
from egretcrank.ownership.state import Owner, OwnersState
from egretcrank.settings.schema import Settings
from egretcrank.stream.appender import Appender
from egretcrank.stream.reader import StreamReader
from egretcrank.stream.records import OwnerClaim, OwnerRelease
from egretcrank.wire.messages import MemberStatus

CHECK_INTERVAL = timedelta(milliseconds=250)
# An unreachable failure domain may reconnect with its owners still running, so its
# partitions are claimed later than those of a dead host.
UNREACHABLE_DELAY_FACTOR = 5

logger = logging.getLogger(__name__)


class PartitionClaimer:
    """Claims partitions without a live owner on behalf of this host.

    Hosts claim in the order of ``rank_hosts``: each rank waits one
    ``takeover_delay_seconds`` longer than the one before it.
    """

    def __init__(
        self,
        settings: Settings,
        incarnation: int,
        owners: OwnersState,
        reader: StreamReader,
        appender: Appender,
        members: Callable[[], Sequence[MemberStatus]],
        clock: Clock,
        decisions: DecisionLog,
        open_partition: Callable[[Owner], Awaitable[None]],
        is_open: Callable[[int], bool],
    ) -> None:
        self._settings = settings
        self._host = settings.process.name
        self._incarnation = incarnation
        self._owners = owners
        self._reader = reader
        self._appender = appender
        self._members = members
        self._clock = clock
        self._decisions = decisions
        self._open_partition = open_partition
        self._is_open = is_open
        self._ownerless_since: dict[int, timedelta] = {}
        self._takeover_tasks: set[asyncio.Task[None]] = set()
        self._claiming_partitions: set[int] = set()
        self._started_at = clock.monotonic()
        self._stopped = False

    def leave(self) -> None:
        """Stop claiming partitions."""
        self._stopped = True

    async def run(self) -> None:
        """Claim partitions until cancelled."""
        await self._reader.wait_until_ready()
        while True:
            if not self._stopped and not self._reader.is_down():
                self._check_partitions()
            await self._clock.sleep(CHECK_INTERVAL)

    def _check_partitions(self) -> None:
        members = {status.member.host: status for status in self._members()}
        own = members.get(self._host)
        if own is None or own.member.incarnation != self._incarnation:
            return
        candidates = [
            host
            for host, status in members.items()
            if status.liveness == ALIVE and status.member.state == "serving"
        ]
        for partition in range(self._settings.cluster.partitions):
            owner = self._owners.find_owner(partition)
            delay = self._get_claim_delay(owner, members)
            if owner is not None and self._is_claimed_but_not_open(owner):
                self._start_takeover(partition, self._reopen(owner))
            elif delay is None:
                self._ownerless_since.pop(partition, None)
            elif partition not in self._claiming_partitions:
                self._claim_if_due(partition, owner, candidates, delay)

    def _is_claimed_but_not_open(self, owner: Owner) -> bool:
        """Return whether this process owns a partition that it has not opened.

        That happens if the reply to the claim is lost, or the log becomes unavailable
        before the fence.
        """
        return (
            (owner.host, owner.incarnation) == (self._host, self._incarnation)
            and not owner.released
            and owner.partition not in self._claiming_partitions
            and not self._is_open(owner.partition)
        )

    def _get_claim_delay(
        self, owner: Owner | None, members: dict[str, MemberStatus]
    ) -> timedelta | None:
        """Return how long to wait before a claim; ``None`` if the owner is live."""
        if owner is None or owner.released:
            return timedelta(0)
        status = members.get(owner.host)
        if status is None:
            # Members announce themselves within a few seconds of this process's start,
            # so an owner that stays unknown for longer is considered dead.
            uptime = self._clock.monotonic() - self._started_at
            has_waited = uptime > 2 * self._settings.cluster.dead_seconds
            return timedelta(0) if has_waited else None
        if status.member.incarnation > owner.incarnation:
            return timedelta(0)
        if status.liveness == DEAD:
            return timedelta(0)
        if status.liveness == UNREACHABLE:
            return self._settings.cluster.dead_seconds * UNREACHABLE_DELAY_FACTOR
        return None

    def _claim_if_due(
        self,
        partition: int,
        owner: Owner | None,
        candidates: Sequence[str],
        delay: timedelta,
    ) -> None:
        now = self._clock.monotonic()
        since = self._ownerless_since.setdefault(partition, now)
        ranking = rank_hosts(partition, candidates)
        if self._host not in ranking:
            return
        rank = ranking.index(self._host)
        if now - since < delay + rank * self._settings.cluster.takeover_delay_seconds:
            return
        self._start_takeover(partition, self._claim(partition, owner, rank))

    def _start_takeover(
        self, partition: int, takeover: Coroutine[Any, Any, None]
    ) -> None:
        """Start a takeover unless the configured number is already running."""
        if len(self._takeover_tasks) >= self._settings.cluster.takeovers:
            takeover.close()
            return

        async def run() -> None:
            try:
                await takeover
            except Exception:
                logger.exception("takeover failed", extra={"partition": partition})
            finally:
                self._ownerless_since.pop(partition, None)
                self._claiming_partitions.discard(partition)

        self._claiming_partitions.add(partition)
        task = asyncio.create_task(run())
        self._takeover_tasks.add(task)
        task.add_done_callback(self._takeover_tasks.discard)

    async def _reopen(self, owner: Owner) -> None:
        await self._open_partition(owner)

    async def _claim(self, partition: int, owner: Owner | None, rank: int) -> None:
        epoch = owner.epoch + 1 if owner else 1
        claim = OwnerClaim(
            partition,
            epoch,
            self._host,
            self._incarnation,
            self._settings.process.announced_request_address
            or self._settings.process.request_address,
        )
        self._decisions.record(
            Decision(
                subject=f"partition/{partition}",
                action="claim",
                choice=self._host,
                reason="no live owner",
                inputs={
                    "epoch": epoch,
                    "rank": rank,
                    "former_owner": owner.host if owner else "",
                },
            )
        )
        match await self._appender.append(claim):
            case Success(_):
                current = self._owners.find_owner(partition)
                if current is not None and current.epoch == epoch:
                    await self._open_partition(current)
            case Failure(problem):
                logger.info("claim failed", extra={"detail": problem.detail})

    async def release(self, partitions: Sequence[Owner]) -> None:
        """Release partitions so that other hosts can claim them without delay."""
        await asyncio.gather(
            *(
                self._appender.append(
                    OwnerRelease(owner.partition, owner.epoch, self._host, owner.clean)
                )
                for owner in partitions
            )
        )

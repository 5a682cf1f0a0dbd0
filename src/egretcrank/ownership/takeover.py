"""Claiming of partitions that have no live owner."""

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
# A cut domain may come back with its owners alive, so its partitions wait longer.
CUT_DELAY_FACTOR = 5

logger = logging.getLogger(__name__)


class Claimant:
    """Watches the table of owners and claims what this host ranks first for."""

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
        self._takeovers: set[asyncio.Task[None]] = set()
        self._claiming: set[int] = set()
        self._started_at = clock.monotonic()
        self._leaving = False

    def leave(self) -> None:
        """Claim nothing from now on."""
        self._leaving = True

    async def run(self) -> None:
        """Claim partitions until cancelled."""
        await self._reader.wait_until_ready()
        while True:
            if not self._leaving and not self._reader.is_down():
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
            delay = self._judge_owner(owner, members)
            if owner is not None and self._is_left_closed(owner):
                self._start(partition, self._open(owner))
            elif delay is None:
                self._ownerless_since.pop(partition, None)
            elif partition not in self._claiming:
                self._consider(partition, owner, candidates, delay)

    def _is_left_closed(self, owner: Owner) -> bool:
        """Tell whether an own claim took effect but its partition is not served.

        The reply to the claim was lost, or the log was down before the fence.
        """
        return (
            (owner.host, owner.incarnation) == (self._host, self._incarnation)
            and not owner.released
            and owner.partition not in self._claiming
            and not self._is_open(owner.partition)
        )

    def _judge_owner(
        self, owner: Owner | None, members: dict[str, MemberStatus]
    ) -> timedelta | None:
        """Return how long to wait before a claim; ``None`` if the owner is in place."""
        if owner is None or owner.released:
            return timedelta(0)
        status = members.get(owner.host)
        if status is None:
            # Members announce within a few seconds of the start of this process.
            waited = self._clock.monotonic() - self._started_at
            known = waited > 2 * self._settings.cluster.dead_seconds
            return timedelta(0) if known else None
        if status.member.incarnation > owner.incarnation:
            return timedelta(0)
        if status.liveness == DEAD:
            return timedelta(0)
        if status.liveness == UNREACHABLE:
            return self._settings.cluster.dead_seconds * CUT_DELAY_FACTOR
        return None

    def _consider(
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
        self._start(partition, self._claim(partition, owner, rank))

    def _start(self, partition: int, takeover: Coroutine[Any, Any, None]) -> None:
        """Run a takeover unless too many run already."""
        if len(self._takeovers) >= self._settings.cluster.takeovers:
            takeover.close()
            return

        async def run() -> None:
            try:
                await takeover
            except Exception:
                logger.exception("takeover failed", extra={"partition": partition})
            finally:
                self._ownerless_since.pop(partition, None)
                self._claiming.discard(partition)

        self._claiming.add(partition)
        task = asyncio.create_task(run())
        self._takeovers.add(task)
        task.add_done_callback(self._takeovers.discard)

    async def _open(self, owner: Owner) -> None:
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
        """Give up partitions so that others can claim them at once."""
        await asyncio.gather(
            *(
                self._appender.append(
                    OwnerRelease(owner.partition, owner.epoch, self._host, owner.clean)
                )
                for owner in partitions
            )
        )

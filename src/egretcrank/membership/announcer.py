"""Announcements of a sidecar to all entries, and the member table they return."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta

from returns.result import Failure, Success

from egretcrank.clock import Clock
from egretcrank.membership.directory import (
    ALIVE,
    DEAD,
    QUERY_INCARNATION,
    SUSPECT,
    UNREACHABLE,
)
from egretcrank.settings.schema import ClusterSettings
from egretcrank.transport.client import Peers
from egretcrank.wire.messages import Announce, AnnounceReply, Member, MemberStatus

# If entries disagree on the liveness of a member, the lowest rank applies: a member
# that any entry hears from is alive, even if its announcements to others are lost.
_LIVENESS_RANK = {ALIVE: 0, SUSPECT: 1, UNREACHABLE: 2, DEAD: 3}

logger = logging.getLogger(__name__)


class _EntryView:
    """Member table and stream offsets as last reported by one entry.

    ``as_of`` is the monotonic time at which that report was requested, or ``None``
    before the first reply.
    """

    def __init__(self) -> None:
        self.instance = ""
        self.version = 0
        self.members: dict[str, MemberStatus] = {}
        self.as_of: timedelta | None = None
        self.owners_offset = -1
        self.lists_offset = -1


class Announcer:
    """Announces this host to every entry and merges the tables they return."""

    def __init__(
        self,
        describe: Callable[[], Member],
        settings: ClusterSettings,
        peers: Peers,
        clock: Clock,
    ) -> None:
        self._describe = describe
        self._settings = settings
        self._peers = peers
        self._clock = clock
        self._sequence = 0
        self._views = {address: _EntryView() for address in settings.entries}
        self._newer_incarnation = 0

    @property
    def newer_incarnation(self) -> int:
        """Highest incarnation of this host that an entry knows, if above ours, or 0.

        Entries ignore the announcements of a lower incarnation. The cause is another
        process that runs under the same host name, or a clock that was set back before
        this process started.
        """
        return self._newer_incarnation

    async def run(self) -> None:
        """Announce until cancelled."""
        async with asyncio.TaskGroup() as group:
            for address in self._views:
                group.create_task(self._announce_to(address))

    async def announce_now(self) -> None:
        """Announce to every entry once, for example that this host is leaving."""
        await asyncio.gather(*(self._announce_once(a) for a in self._views))

    async def _announce_to(self, address: str) -> None:
        while True:
            await self._announce_once(address)
            await self._clock.sleep(self._settings.announce_seconds)

    async def _announce_once(self, address: str) -> None:
        view = self._views[address]
        self._sequence += 1
        member = replace(self._describe(), sequence=self._sequence)
        announcement = Announce(member, view.instance, view.version)
        sent_at = self._clock.monotonic()
        reply = await self._peers.call(
            address, announcement, self._settings.suspect_seconds
        )
        match reply:
            case Success(AnnounceReply() as answer):
                self._check_incarnation(member, answer)
                self._merge(view, answer, sent_at)
            case Failure(problem):
                logger.debug("announcement failed", extra={"detail": problem.detail})

    def _check_incarnation(self, member: Member, reply: AnnounceReply) -> None:
        if reply.known_incarnation <= max(member.incarnation, self._newer_incarnation):
            return
        self._newer_incarnation = reply.known_incarnation
        logger.error(
            "a newer incarnation of this host is known",
            extra={"own": member.incarnation, "known": reply.known_incarnation},
        )

    def _merge(
        self, view: _EntryView, reply: AnnounceReply, sent_at: timedelta
    ) -> None:
        if (
            not reply.full
            and reply.entry == view.instance
            and reply.version < view.version
        ):
            # A newer reply of the same entry was already applied.
            return
        if reply.full or reply.entry != view.instance:
            view.members.clear()
        view.members.update({s.member.host: s for s in reply.changed})
        for host in reply.removed:
            view.members.pop(host, None)
        view.instance = reply.entry
        view.version = reply.version
        view.owners_offset = reply.owners_offset
        view.lists_offset = reply.lists_offset
        # The entry may have built the reply at any time since the call was sent, so
        # the earliest time counts.
        view.as_of = sent_at

    def _list_fresh_views(self, age: timedelta) -> list[_EntryView]:
        now = self._clock.monotonic()
        return [
            view
            for view in self._views.values()
            if view.as_of is not None and now - view.as_of < age
        ]

    def list_members(self) -> tuple[MemberStatus, ...]:
        """Return the members sorted by host, merged from the entries that respond."""
        merged: dict[str, MemberStatus] = {}
        for view in self._list_fresh_views(self._settings.dead_seconds):
            for host, status in view.members.items():
                known = merged.get(host)
                if known is None or _is_preferred(status, known):
                    merged[host] = status
        return tuple(merged[host] for host in sorted(merged))

    def reaches_majority(self, age: timedelta, owners_offset: int) -> bool:
        """Return whether most entries replied within ``age`` and none is ahead of us.

        ``owners_offset`` is the next offset of the ``owners`` stream that this process
        reads. An entry at a lower offset is not counted: it may have restarted during
        an outage and lost a claim that it had applied before.
        """
        fresh_views = self._list_fresh_views(age)
        if any(view.owners_offset > owners_offset for view in fresh_views):
            return False
        caught_up = [
            view for view in fresh_views if view.owners_offset == owners_offset
        ]
        return len(caught_up) * 2 > len(self._views)

    def majority_has_applied(self, owners_offset: int) -> bool:
        """Return whether most entries have applied the record at ``owners_offset``."""
        applied = [v for v in self._views.values() if v.owners_offset > owners_offset]
        return len(applied) * 2 > len(self._views)

    @property
    def entries_heard(self) -> int:
        """Number of entries that replied within ``dead_seconds``."""
        return len(self._list_fresh_views(self._settings.dead_seconds))


async def choose_incarnation(
    host: str, started: int, settings: ClusterSettings, peers: Peers
) -> int:
    """Return an incarnation higher than any that the entries know for ``host``.

    ``started`` is the start time in microseconds since 1970. If the clock was set back,
    it is lower than the incarnation of the previous process, and the entries would
    ignore the host until the clock catches up. Entries that do not reply within
    ``suspect_seconds`` are skipped, so a sidecar can start without any entry.
    """
    query = Announce(Member(host=host, incarnation=QUERY_INCARNATION))
    replies = await asyncio.gather(
        *(
            peers.call(address, query, settings.suspect_seconds)
            for address in settings.entries
        )
    )
    known = [
        answer.known_incarnation
        for reply in replies
        if isinstance(answer := reply.value_or(None), AnnounceReply)
    ]
    return max([started, *(incarnation + 1 for incarnation in known)])


def _is_preferred(status: MemberStatus, known: MemberStatus) -> bool:
    incarnation, known_incarnation = (
        status.member.incarnation,
        known.member.incarnation,
    )
    if incarnation != known_incarnation:
        return incarnation > known_incarnation
    rank = _LIVENESS_RANK.get(status.liveness, 3)
    known_rank = _LIVENESS_RANK.get(known.liveness, 3)
    if rank != known_rank:
        return rank < known_rank
    return status.member.sequence > known.member.sequence

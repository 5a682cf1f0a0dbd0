"""Announcements of a sidecar to all entries, and the table that it gets back."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta

from returns.result import Failure, Success

from egretcrank.clock import Clock
from egretcrank.membership.directory import (
    ALIVE,
    ASK_INCARNATION,
    DEAD,
    SUSPECT,
    UNREACHABLE,
)
from egretcrank.settings.schema import ClusterSettings
from egretcrank.transport.client import Peers
from egretcrank.wire.messages import Announce, AnnounceReply, Member, MemberStatus

# Of several entries' judgements the most hopeful one counts: a member that one entry
# hears is alive, whatever the others miss.
_PREFERENCE = {ALIVE: 0, SUSPECT: 1, UNREACHABLE: 2, DEAD: 3}

logger = logging.getLogger(__name__)


class _EntryView:
    """What one entry told, and when."""

    def __init__(self) -> None:
        self.instance = ""
        self.version = 0
        self.members: dict[str, MemberStatus] = {}
        self.heard_at: timedelta | None = None
        self.owners_offset = -1
        self.lists_offset = -1


class Announcer:
    """Announces this host, with one task for each entry."""

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
        """Incarnation of this host that an entry knows and that is above ours, or 0.

        The entries ignore our announcements then: another process runs in our place, or
        the clock went back before we started.
        """
        return self._newer_incarnation

    async def run(self) -> None:
        """Announce until cancelled."""
        async with asyncio.TaskGroup() as group:
            for address in self._views:
                group.create_task(self._announce_to(address))

    async def announce_now(self) -> None:
        """Announce to every entry once, for example that this host leaves."""
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
            # A reply that was overtaken by a later one of the same entry.
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
        # The answer may have been true only when the call was sent.
        view.heard_at = sent_at

    def _list_fresh_views(self, age: timedelta) -> list[_EntryView]:
        now = self._clock.monotonic()
        return [
            view
            for view in self._views.values()
            if view.heard_at is not None and now - view.heard_at < age
        ]

    def list_members(self) -> tuple[MemberStatus, ...]:
        """Return the members by host, as the entries that answer see them."""
        merged: dict[str, MemberStatus] = {}
        for view in self._list_fresh_views(self._settings.dead_seconds):
            for host, status in view.members.items():
                known = merged.get(host)
                if known is None or _prefer(status, known):
                    merged[host] = status
        return tuple(merged[host] for host in sorted(merged))

    def reaches_majority(self, age: timedelta, owners_offset: int) -> bool:
        """Tell whether most entries answered within ``age`` and none is ahead of us.

        ``owners_offset`` is the next offset of the ``owners`` stream that we read. An
        entry that is behind proves nothing: it may have been restarted during an outage
        and have forgotten a claim that it had folded.
        """
        fresh = self._list_fresh_views(age)
        if any(view.owners_offset > owners_offset for view in fresh):
            return False
        equal = [view for view in fresh if view.owners_offset == owners_offset]
        return len(equal) * 2 > len(self._views)

    def majority_has_folded(self, owners_offset: int) -> bool:
        """Tell whether most entries have folded ``owners`` past ``owners_offset``."""
        folded = [v for v in self._views.values() if v.owners_offset > owners_offset]
        return len(folded) * 2 > len(self._views)

    @property
    def entries_heard(self) -> int:
        """Number of entries that answered recently."""
        return len(self._list_fresh_views(self._settings.dead_seconds))


async def choose_incarnation(
    host: str, started: int, settings: ClusterSettings, peers: Peers
) -> int:
    """Return an incarnation above all that the entries know of ``host``.

    ``started`` is the start time in microseconds. After a clock that went back it is
    below the incarnation of the former process, and the entries would ignore the host
    until the clock has caught up. Entries that do not answer in time are not waited
    for, so a sidecar can start without any.
    """
    question = Announce(Member(host=host, incarnation=ASK_INCARNATION))
    replies = await asyncio.gather(
        *(
            peers.call(address, question, settings.suspect_seconds)
            for address in settings.entries
        )
    )
    known = [
        answer.known_incarnation
        for reply in replies
        if isinstance(answer := reply.value_or(None), AnnounceReply)
    ]
    return max([started, *(incarnation + 1 for incarnation in known)])


def _prefer(status: MemberStatus, known: MemberStatus) -> bool:
    incarnation, known_incarnation = (
        status.member.incarnation,
        known.member.incarnation,
    )
    if incarnation != known_incarnation:
        return incarnation > known_incarnation
    preference = _PREFERENCE.get(status.liveness, 3)
    known_preference = _PREFERENCE.get(known.liveness, 3)
    if preference != known_preference:
        return preference < known_preference
    return status.member.sequence > known.member.sequence

"""Table of members as an entry sees it, filled by announcements."""

from collections import Counter, OrderedDict
from datetime import timedelta
from typing import NamedTuple

from egretcrank.clock import Clock
from egretcrank.settings.schema import ClusterSettings
from egretcrank.wire.messages import Announce, AnnounceReply, Member, MemberStatus

ALIVE = "alive"
SUSPECT = "suspect"
UNREACHABLE = "unreachable"
DEAD = "dead"
LIVENESS = (ALIVE, SUSPECT, UNREACHABLE, DEAD)

LOAD_REFRESH = timedelta(seconds=2)
FORGET_AFTER = timedelta(minutes=10)
REMEMBERED_REMOVALS = 1000
# A sidecar announces this incarnation to ask for the one that is known of its host.
ASK_INCARNATION = 0
# Silence is judged in seconds; reading the table for each request must not cost a pass
# over all members.
SNAPSHOT_AGE = timedelta(milliseconds=50)
# A domain with fewer members cannot tell a cut from single failures.
MIN_DOMAIN_MEMBERS = 3


class _Seen(NamedTuple):
    member: Member
    heard_at: timedelta
    changed_at: timedelta
    version: int


class Directory:
    """Members by host; the version grows with each change worth telling."""

    def __init__(self, name: str, settings: ClusterSettings, clock: Clock) -> None:
        self._name = name
        self._settings = settings
        self._clock = clock
        self._members: dict[str, _Seen] = {}
        self._liveness: dict[str, str] = {}
        self._version = 1
        # A restarted entry counts from 1 again, so readers compare its instance too.
        self._instance = f"{name}/{clock.now().timestamp():.6f}"
        self._removed: OrderedDict[str, int] = OrderedDict()
        self._snapshot: tuple[MemberStatus, ...] = ()
        self._snapshot_version = 0
        self._snapshot_at = clock.monotonic()
        # A reader that saw an older version gets the whole table.
        self._whole_since = 0
        self._refreshed_at: timedelta | None = None
        self._refreshed_version = 0

    def announce(
        self, announcement: Announce, lists_offset: int, owners_offset: int
    ) -> AnnounceReply:
        """Take an announcement and reply with what changed since the sender's view."""
        member = announcement.member
        known = self._members.get(member.host)
        if member.incarnation != ASK_INCARNATION and (
            known is None or _order(member) > _order(known.member)
        ):
            self._store(member, known)
        self.refresh()
        return self._build_reply(announcement, lists_offset, owners_offset)

    def _store(self, member: Member, known: _Seen | None) -> None:
        now = self._clock.monotonic()
        if self._liveness.get(member.host) != ALIVE:
            self._refreshed_at = None
        if known is not None and not _is_worth_telling(known, member, now):
            self._members[member.host] = known._replace(member=member, heard_at=now)
            return
        self._version += 1
        self._members[member.host] = _Seen(member, now, now, self._version)
        self._removed.pop(member.host, None)

    def refresh(self) -> None:
        """Recompute liveness from silence."""
        now = self._clock.monotonic()
        if (
            self._refreshed_at is not None
            and self._refreshed_version == self._version
            and now - self._refreshed_at < SNAPSHOT_AGE
        ):
            return
        silence = {host: now - seen.heard_at for host, seen in self._members.items()}
        cut = self._find_cut_domains(silence)
        for host, seen in list(self._members.items()):
            liveness = self._judge(seen.member, silence[host], cut)
            if liveness == DEAD and silence[host] > FORGET_AFTER:
                del self._members[host]
                del self._liveness[host]
                self._note_removal(host)
                continue
            if self._liveness.get(host) not in (None, liveness):
                self._version += 1
                self._members[host] = seen._replace(version=self._version)
            self._liveness[host] = liveness
        self._refreshed_at = now
        self._refreshed_version = self._version

    def _note_removal(self, host: str) -> None:
        self._version += 1
        self._removed[host] = self._version
        while len(self._removed) > REMEMBERED_REMOVALS:
            _, self._whole_since = self._removed.popitem(last=False)

    def _find_cut_domains(self, silence: dict[str, timedelta]) -> set[str]:
        """Find domains of which at least half is silent; leavers do not count."""
        total: Counter[str] = Counter()
        silent: Counter[str] = Counter()
        for host, seen in self._members.items():
            if seen.member.state == "leaving":
                continue
            total[seen.member.failure_domain] += 1
            if silence[host] >= self._settings.suspect_seconds:
                silent[seen.member.failure_domain] += 1
        return {
            domain
            for domain, count in total.items()
            if count >= MIN_DOMAIN_MEMBERS and silent[domain] * 2 >= count
        }

    def _judge(self, member: Member, silence: timedelta, cut: set[str]) -> str:
        if silence < self._settings.suspect_seconds:
            return ALIVE
        if member.failure_domain in cut:
            return UNREACHABLE
        return DEAD if silence >= self._settings.dead_seconds else SUSPECT

    def _build_reply(
        self, announcement: Announce, lists_offset: int, owners_offset: int
    ) -> AnnounceReply:
        full = (
            announcement.seen_entry != self._instance
            or announcement.seen_version < self._whole_since
        )
        since = 0 if full else announcement.seen_version
        if announcement.member.incarnation == ASK_INCARNATION:
            since = self._version
        changed = tuple(
            self._describe(host)
            for host, seen in self._members.items()
            if seen.version > since
        )
        known = self._members.get(announcement.member.host)
        return AnnounceReply(
            entry=self._instance,
            version=self._version,
            full=full,
            changed=changed,
            removed=tuple(h for h, v in self._removed.items() if v > since),
            known_incarnation=known.member.incarnation if known else 0,
            lists_offset=lists_offset,
            owners_offset=owners_offset,
        )

    def _describe(self, host: str) -> MemberStatus:
        seen = self._members[host]
        silence = self._clock.monotonic() - seen.heard_at
        liveness = self._liveness.get(host, ALIVE)
        return MemberStatus(seen.member, liveness, silence.total_seconds())

    def list_members(self) -> tuple[MemberStatus, ...]:
        """Return all members with their liveness, as of a moment ago at most."""
        now = self._clock.monotonic()
        if (
            self._snapshot_version != self._version
            or now - self._snapshot_at >= SNAPSHOT_AGE
        ):
            self.refresh()
            self._snapshot = tuple(self._describe(h) for h in sorted(self._members))
            self._snapshot_version = self._version
            self._snapshot_at = now
        return self._snapshot


def _order(member: Member) -> tuple[int, int]:
    return member.incarnation, member.sequence


def _is_worth_telling(known: _Seen, member: Member, now: timedelta) -> bool:
    """Tell whether readers need a change; load alone is told at intervals."""
    old = known.member
    if _identify(old) != _identify(member):
        return True
    load_changed = old.slots_busy + old.queued != member.slots_busy + member.queued
    if load_changed or old.free != member.free:
        return now - known.changed_at >= LOAD_REFRESH
    return False


def _identify(member: Member) -> tuple[object, ...]:
    return (
        member.incarnation,
        member.control_address,
        member.request_address,
        member.services,
        member.slots,
        member.capacity,
        member.state,
        member.partitions,
    )

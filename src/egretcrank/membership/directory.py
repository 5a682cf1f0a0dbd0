"""Member table of an entry, built from announcements."""

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

LOAD_UPDATE_INTERVAL = timedelta(seconds=2)
DEAD_MEMBER_RETENTION = timedelta(minutes=10)
MAX_TRACKED_REMOVALS = 1000
# A sidecar announces this incarnation to query the known incarnation of its host.
QUERY_INCARNATION = 0
# The table is read for every request, and liveness changes within seconds, so the scan
# over all members is cached for this long.
MAX_SNAPSHOT_AGE = timedelta(milliseconds=50)
# With fewer members, an unreachable domain cannot be told from single host failures.
MIN_DOMAIN_MEMBERS = 3


class _MemberRecord(NamedTuple):
    member: Member
    announced_at: timedelta
    changed_at: timedelta
    version: int


class Directory:
    """Members by host, with a version that increases with each change for readers.

    Readers are the sidecars: the reply to each announcement has the changes since the
    version that the sidecar already has.
    """

    def __init__(self, name: str, settings: ClusterSettings, clock: Clock) -> None:
        self._name = name
        self._settings = settings
        self._clock = clock
        self._members: dict[str, _MemberRecord] = {}
        self._liveness: dict[str, str] = {}
        self._version = 1
        # Versions restart at 1 with the process, so readers compare the instance too.
        self._instance = f"{name}/{clock.now().timestamp():.6f}"
        self._removed: OrderedDict[str, int] = OrderedDict()
        self._snapshot: tuple[MemberStatus, ...] = ()
        self._snapshot_version = 0
        self._snapshot_at = clock.monotonic()
        # Readers of an older version get the full table, because some of the removals
        # since then are no longer tracked.
        self._min_delta_version = 0
        self._refreshed_at: timedelta | None = None
        self._refreshed_version = 0

    def announce(
        self, announcement: Announce, lists_offset: int, owners_offset: int
    ) -> AnnounceReply:
        """Apply an announcement and return the changes since the sender's version.

        The reply also has the next offsets that this entry reads of the ``lists`` and
        ``owners`` streams; ``owners_offset`` is -1 if it has not read the log yet.
        """
        member = announcement.member
        known = self._members.get(member.host)
        if member.incarnation != QUERY_INCARNATION and (
            known is None or _get_order(member) > _get_order(known.member)
        ):
            self._store_member(member, known)
        self.refresh()
        return self._build_reply(announcement, lists_offset, owners_offset)

    def _store_member(self, member: Member, known: _MemberRecord | None) -> None:
        now = self._clock.monotonic()
        if self._liveness.get(member.host) != ALIVE:
            self._refreshed_at = None
        if known is not None and not _needs_new_version(known, member, now):
            self._members[member.host] = known._replace(member=member, announced_at=now)
            return
        self._version += 1
        self._members[member.host] = _MemberRecord(member, now, now, self._version)
        self._removed.pop(member.host, None)

    def refresh(self) -> None:
        """Update the liveness of all members by the time since their announcements.

        Dead members that were silent for ``DEAD_MEMBER_RETENTION`` are removed. The
        scan is skipped if the last one is less than ``MAX_SNAPSHOT_AGE`` old and still
        current.
        """
        now = self._clock.monotonic()
        if (
            self._refreshed_at is not None
            and self._refreshed_version == self._version
            and now - self._refreshed_at < MAX_SNAPSHOT_AGE
        ):
            return
        silence = {
            host: now - record.announced_at for host, record in self._members.items()
        }
        unreachable_domains = self._find_unreachable_domains(silence)
        for host, record in list(self._members.items()):
            liveness = self._classify(record.member, silence[host], unreachable_domains)
            if liveness == DEAD and silence[host] > DEAD_MEMBER_RETENTION:
                del self._members[host]
                del self._liveness[host]
                self._record_removal(host)
                continue
            if self._liveness.get(host) not in (None, liveness):
                self._version += 1
                self._members[host] = record._replace(version=self._version)
            self._liveness[host] = liveness
        self._refreshed_at = now
        self._refreshed_version = self._version

    def _record_removal(self, host: str) -> None:
        self._version += 1
        self._removed[host] = self._version
        while len(self._removed) > MAX_TRACKED_REMOVALS:
            _, self._min_delta_version = self._removed.popitem(last=False)

    def _find_unreachable_domains(self, silence: dict[str, timedelta]) -> set[str]:
        """Find domains of which at least half the members are silent.

        Members that are leaving do not count.
        """
        total: Counter[str] = Counter()
        silent: Counter[str] = Counter()
        for host, record in self._members.items():
            if record.member.state == "leaving":
                continue
            total[record.member.failure_domain] += 1
            if silence[host] >= self._settings.suspect_seconds:
                silent[record.member.failure_domain] += 1
        return {
            domain
            for domain, count in total.items()
            if count >= MIN_DOMAIN_MEMBERS and silent[domain] * 2 >= count
        }

    def _classify(
        self, member: Member, silence: timedelta, unreachable_domains: set[str]
    ) -> str:
        if silence < self._settings.suspect_seconds:
            return ALIVE
        if member.failure_domain in unreachable_domains:
            return UNREACHABLE
        return DEAD if silence >= self._settings.dead_seconds else SUSPECT

    def _build_reply(
        self, announcement: Announce, lists_offset: int, owners_offset: int
    ) -> AnnounceReply:
        full = (
            announcement.seen_entry != self._instance
            or announcement.seen_version < self._min_delta_version
        )
        since = 0 if full else announcement.seen_version
        if announcement.member.incarnation == QUERY_INCARNATION:
            since = self._version
        changed = tuple(
            self._describe(host)
            for host, record in self._members.items()
            if record.version > since
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
        record = self._members[host]
        silence = self._clock.monotonic() - record.announced_at
        liveness = self._liveness.get(host, ALIVE)
        return MemberStatus(record.member, liveness, silence.total_seconds())

    def list_members(self) -> tuple[MemberStatus, ...]:
        """Return all members sorted by host; at most ``MAX_SNAPSHOT_AGE`` old."""
        now = self._clock.monotonic()
        if (
            self._snapshot_version != self._version
            or now - self._snapshot_at >= MAX_SNAPSHOT_AGE
        ):
            self.refresh()
            self._snapshot = tuple(self._describe(h) for h in sorted(self._members))
            self._snapshot_version = self._version
            self._snapshot_at = now
        return self._snapshot


def _get_order(member: Member) -> tuple[int, int]:
    return member.incarnation, member.sequence


def _needs_new_version(known: _MemberRecord, member: Member, now: timedelta) -> bool:
    """Return whether a change is sent to readers now.

    Changes of the load alone are sent at most every ``LOAD_UPDATE_INTERVAL``.
    """
    old = known.member
    if _get_tracked_fields(old) != _get_tracked_fields(member):
        return True
    load_changed = old.slots_busy + old.queued != member.slots_busy + member.queued
    if load_changed or old.free != member.free:
        return now - known.changed_at >= LOAD_UPDATE_INTERVAL
    return False


def _get_tracked_fields(member: Member) -> tuple[object, ...]:
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

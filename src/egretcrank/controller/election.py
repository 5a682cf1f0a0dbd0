"""Leader election among the controllers of a cell, and appends fenced by epoch."""

import logging
from collections.abc import Iterable
from datetime import timedelta
from typing import NamedTuple

from returns.result import Failure, Result, Success

from egretcrank.clock import Clock
from egretcrank.controller.candidates import (
    Candidate,
    choose_leader,
    is_member_at,
    list_odd_members,
)
from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.platform.store import (
    SLOTS_PER_TOPIC,
    Appended,
    Assignment,
    SlotOwner,
    Store,
    Writer,
)
from egretcrank.wire.bounds import MAX_LOGGED_CHARACTERS

CONTROLLER_GROUP = "controllers"
PRODUCER = "cell"
# Topics whose partitions are the slots of the group, eight or more per topic. There are
# several topics because a member without a slot is invisible to the others and cannot
# lead, and a leader whose slots are reassigned has to hand over.
SLOT_TOPICS = ("cells", *(f"cells-{number}" for number in range(1, 8)))
# Each slot has its own epoch within a generation.
EPOCHS_PER_GENERATION = SLOTS_PER_TOPIC * len(SLOT_TOPICS)
# Partition of JOBS_TOPIC that holds the records of the cell.
CELL_PARTITION = 0
JOBS_TOPIC = "keyed.cells"
# A controller that does not renew its membership for this long loses the leadership.
# JOIN_INTERVAL leaves time for three renewals.
MEMBERSHIP_TTL = timedelta(milliseconds=1000)
JOIN_INTERVAL = timedelta(milliseconds=330)
# A member without a slot leaves a full group. It checks the group at this interval and
# rejoins once the number of members is below this fraction of the number of slots.
FULL_GROUP_CHECK_INTERVAL = timedelta(seconds=5)
MAX_OCCUPANCY = 0.75
# The TTL is extended by this multiple of the duration of the last join call, so that a
# membership survives several slow calls.
TTL_EXTENSION_FACTOR = 4
# Limits the extension, as a dead controller is noticed that much later.
MAX_TTL_EXTENSION = timedelta(milliseconds=1000)


logger = logging.getLogger(__name__)


class Membership(NamedTuple):
    """Outcome of a join: whether this controller is elected, and its epoch if so."""

    epoch: int
    is_elected: bool


NOT_ELECTED = Membership(0, False)


class Election:
    """Membership of one process in the group of controllers."""

    def __init__(self, store: Store, member: str, clock: Clock) -> None:
        self._store = store
        self._member = member
        self._clock = clock
        self._assignment = Assignment(0, ())
        # Owners of the slots, and the generation for which they were fetched.
        self._owners: tuple[SlotOwner, ...] = ()
        self._owners_generation = -1
        self._ttl = MEMBERSHIP_TTL
        # When to check a full group for room again; None while in the group.
        self._recheck_at: timedelta | None = None

    def join(self, incumbent: str) -> Result[Membership, Problem]:
        """Renew the membership and return whether this controller is elected.

        ``incumbent`` is the address of the last leader recorded in the log. If the
        group has more members than slots, those without a slot leave it, so that their
        arrivals and departures do not reassign the slots of the others.
        """
        if self._recheck_at is not None:
            return self._recheck_full_group()
        return (
            self._send_join()
            .bind(self._refresh_owners)
            .map(
                lambda _: self._resolve_membership(
                    choose_leader(self._owners, incumbent)
                )
            )
        )

    def _recheck_full_group(self) -> Result[Membership, Problem]:
        """Stay out of a full group, and check periodically whether it has room."""
        now = self._clock.boottime()
        if self._recheck_at is not None and now >= self._recheck_at:
            self._recheck_at = now + FULL_GROUP_CHECK_INTERVAL
            return self._store.list_owners(CONTROLLER_GROUP, SLOT_TOPICS).map(
                self._check_occupancy
            )
        return Success(NOT_ELECTED)

    def _check_occupancy(self, owners: tuple[SlotOwner, ...]) -> Membership:
        """Let the next call of ``join`` join the group again if it has room."""
        members = _list_members(owners)
        if len(members) < MAX_OCCUPANCY * len(owners) or not owners:
            logger.info("group has room", extra={"members": len(members)})
            self._recheck_at = None
        return NOT_ELECTED

    def _send_join(self) -> Result[Assignment, Problem]:
        started_at = self._clock.boottime()
        reply = self._store.join(
            CONTROLLER_GROUP,
            self._member,
            SLOT_TOPICS,
            self._ttl,
            self._assignment.generation,
        )
        elapsed = self._clock.boottime() - started_at
        return reply.map(
            lambda assignment: self._update_assignment(assignment, elapsed)
        )

    def _update_assignment(
        self, assignment: Assignment, elapsed: timedelta
    ) -> Assignment:
        """Store the assignment, and adapt the TTL of the next join to slow calls."""
        self._assignment = assignment
        self._ttl = MEMBERSHIP_TTL + min(
            MAX_TTL_EXTENSION, TTL_EXTENSION_FACTOR * elapsed
        )
        return assignment

    def evict_previous_instances(self, address: str) -> Result[None, Problem]:
        """Remove previous instances of this controller from the group.

        After a power loss of all machines, no controller can lead until the memberships
        of the previous instances expire.
        """
        return self._store.list_owners(CONTROLLER_GROUP, SLOT_TOPICS).map(
            lambda owners: self._evict_previous(owners, address)
        )

    def _evict_previous(self, owners: Iterable[SlotOwner], address: str) -> None:
        for member in _list_members(owners):
            if member != self._member and is_member_at(member, address):
                logger.info("former life leaves the group", extra={"member": member})
                self._remove(member)

    def _refresh_owners(self, assignment: Assignment) -> Result[None, Problem]:
        """Fetch the owners of the slots if the generation has changed."""
        if assignment.generation == self._owners_generation:
            return Success(None)
        return self._store.list_owners(CONTROLLER_GROUP, SLOT_TOPICS).map(
            lambda owners: self._set_owners(owners, assignment.generation)
        )

    def _set_owners(self, owners: tuple[SlotOwner, ...], generation: int) -> None:
        self._owners, self._owners_generation = owners, generation
        odd = list_odd_members(owners)
        if odd:
            logger.warning(
                "members without a valid address hold slots",
                extra={
                    "members": len(odd),
                    "first": odd[0][:MAX_LOGGED_CHARACTERS],
                    "expected": "host:port#fitness#id",
                },
            )

    def _resolve_membership(self, leader: Candidate | None) -> Membership:
        """Return whether this member is elected; leave the group if it is full.

        The owners may be of a later generation than the slots of this member, so two
        members may both consider themselves elected. The epoch is derived from the
        generation and a slot that no other member holds in it, so their epochs differ
        and the one with the lower epoch is fenced.
        """
        slots = self._assignment.slots
        if not slots and self._is_full():
            logger.info("group is full", extra={"slots": len(self._owners)})
            self.leave()
            self._recheck_at = self._clock.boottime() + FULL_GROUP_CHECK_INTERVAL
            return NOT_ELECTED
        if leader is None or leader.member != self._member or not slots:
            return NOT_ELECTED
        generation = self._assignment.generation
        return Membership(generation * EPOCHS_PER_GENERATION + min(slots), True)

    def _is_full(self) -> bool:
        """Return whether each slot is held by a different member, and none by this."""
        members = _list_members(self._owners)
        if not members or self._member in members:
            return False
        return len(members) >= len(self._owners)

    def leave(self) -> None:
        """Leave the group without waiting for the membership to expire."""
        self._owners_generation = -1
        self._remove(self._member)

    def _remove(self, member: str) -> None:
        match self._store.leave(CONTROLLER_GROUP, member):
            case Failure(problem):
                logger.warning(
                    "failed to remove a member from the group",
                    extra={"problem": problem.detail},
                )


def _list_members(owners: Iterable[SlotOwner]) -> set[str]:
    """Return the members that hold at least one slot."""
    return {owner.member for owner in owners if owner.member}


class Appender:
    """Appends each record once under one epoch, which confirms the leadership.

    ``confirmed_at`` is the last time at which this controller is known to have led.
    """

    def __init__(self, store: Store, clock: Clock, epoch: int) -> None:
        self._store = store
        self._clock = clock
        self.epoch = epoch
        self._sequence = 0
        self._first_sent_at: timedelta | None = None
        self.confirmed_at = timedelta()

    def append(self, records: list[bytes]) -> Result[Appended, Problem]:
        """Append records and wait for the reply.

        After ``call_timeout`` or ``log_unavailable`` the caller must retry with the
        same records.
        """
        if self._first_sent_at is None:
            self._first_sent_at = self._clock.boottime()
        writer = Writer(PRODUCER, self.epoch, self._sequence)
        match self._store.append(JOBS_TOPIC, CELL_PARTITION, records, writer):
            case Success(appended):
                # An append without records confirms the epoch without using up a
                # sequence number.
                self._sequence += bool(records)
                # A retried append may return the stored result of the first attempt,
                # so it only confirms the leadership as of the first attempt.
                self.confirmed_at = self._first_sent_at
                self._first_sent_at = None
                return Success(appended)
            case Failure(Problem(kind=ErrorKind.WRONG_SEQUENCE) as problem):
                logger.warning(
                    "append rejected: unexpected sequence number",
                    extra={"sent": self._sequence, "expected": problem.expected},
                )
                if problem.expected.isdecimal():
                    self._sequence = int(problem.expected)
                self._first_sent_at = None
                return Failure(problem)
            case Failure(problem):
                return Failure(problem)
        raise AssertionError("unreachable")

"""Which controller leads the cell, and the proof of it on the log."""

import logging
from datetime import timedelta
from typing import NamedTuple

from returns.result import Failure, Result, Success

from egretcrank.clock import Clock
from egretcrank.controller.candidates import Candidate, choose_leader
from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.platform.store import (
    TOPIC_SLOTS,
    Appended,
    SlotOwner,
    Store,
    Writer,
)

GROUP = "controllers"
PRODUCER = "cell"
# Topics whose partitions are the slots of the group. A member without a slot cannot be
# seen by the others, so that there are more slots than controllers: eight a topic.
SLOT_TOPICS = ("cells", "cells-1", "cells-2", "cells-3")
# Epochs of one generation, so that each slot has one of its own.
EPOCHS_PER_GENERATION = TOPIC_SLOTS * len(SLOT_TOPICS)
# Partition of the cell's records in its topic.
CELL = 0
JOBS_TOPIC = "keyed.cells"
# A controller that is silent for this long loses the leadership; it joins thrice
# in that time.
MEMBERSHIP_TTL = timedelta(milliseconds=1000)
JOIN_INTERVAL = timedelta(milliseconds=330)

logger = logging.getLogger(__name__)


class Membership(NamedTuple):
    """What the group says: whether this controller leads, and under which epoch."""

    epoch: int
    leads: bool


class Election:
    """Membership of one process in the group of controllers."""

    def __init__(self, store: Store, member: str) -> None:
        self._store = store
        self._member = member
        self._generation = 0
        # Owners of the slots in a generation of the group.
        self._owners: tuple[SlotOwner, ...] = ()
        self._owners_of = -1

    def join(self, incumbent: str) -> Result[Membership, Problem]:
        """Stay in the group and learn whether this controller leads.

        ``incumbent`` is the address of the last leader on the log.
        """
        return (
            self._join()
            .bind(self._learn_owners)
            .map(lambda _: self._judge(choose_leader(self._owners, incumbent)))
        )

    def _join(self) -> Result[int, Problem]:
        reply = self._store.join(
            GROUP, self._member, SLOT_TOPICS, MEMBERSHIP_TTL, self._generation
        )
        return reply.map(self._note_generation)

    def _note_generation(self, generation: int) -> int:
        self._generation = generation
        return generation

    def _learn_owners(self, generation: int) -> Result[int, Problem]:
        """Learn who holds the slots, if that may have changed.

        The list names no generation; it is of the one that is the same before and after
        it, so that no two members take the same epoch.
        """
        if generation == self._owners_of:
            return Success(generation)
        return self._store.list_owners(GROUP, SLOT_TOPICS).bind(
            lambda owners: self._join().bind(
                lambda after: self._take_owners(owners, generation, after)
            )
        )

    def _take_owners(
        self, owners: tuple[SlotOwner, ...], before: int, after: int
    ) -> Result[int, Problem]:
        if before != after:
            return Failure(
                Problem(ErrorKind.STALE_EPOCH, "the group changes", "group", str(after))
            )
        self._owners, self._owners_of = owners, after
        return Success(after)

    def _judge(self, leader: Candidate | None) -> Membership:
        if leader is None or leader.member != self._member:
            return Membership(0, False)
        epoch = self._owners_of * EPOCHS_PER_GENERATION + leader.slot
        return Membership(epoch, True)

    def leave(self) -> None:
        """Leave the group at once."""
        self._owners_of = -1
        match self._store.leave(GROUP, self._member):
            case Failure(problem):
                logger.warning("leaving failed", extra={"problem": problem.detail})


class Appender:
    """Appends under an epoch, each record once, and proves the leadership by it."""

    def __init__(self, store: Store, clock: Clock, epoch: int) -> None:
        self._store = store
        self._clock = clock
        self.epoch = epoch
        self._sequence = 0
        self._first_sent_at: timedelta | None = None
        self.proven_at = timedelta()

    def append(self, records: list[bytes]) -> Result[Appended, Problem]:
        """Append records and wait for the answer; repeat with the same arguments
        after ``call_timeout`` or ``log_unavailable``.
        """
        if self._first_sent_at is None:
            self._first_sent_at = self._clock.boottime()
        writer = Writer(PRODUCER, self.epoch, self._sequence)
        match self._store.append(JOBS_TOPIC, CELL, records, writer):
            case Success(appended):
                # An append without records proves the epoch and takes no number.
                self._sequence += bool(records)
                # A repeated append gets its first answer again, which proves
                # nothing about the time of the repetition.
                self.proven_at = self._first_sent_at
                self._first_sent_at = None
                return Success(appended)
            case Failure(Problem(kind=ErrorKind.WRONG_SEQUENCE) as problem):
                logger.warning(
                    "append out of sequence",
                    extra={"sent": self._sequence, "expected": problem.expected},
                )
                if problem.expected.isdecimal():
                    self._sequence = int(problem.expected)
                self._first_sent_at = None
                return Failure(problem)
            case Failure(problem):
                return Failure(problem)
        raise AssertionError("unreachable")

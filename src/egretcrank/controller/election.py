"""Which controller leads the cell, and the proof of it on the log."""

import logging
from datetime import timedelta
from enum import StrEnum
from typing import NamedTuple

from returns.result import Failure, Result, Success

from egretcrank.clock import Clock
from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.platform.store import Appended, Assignment, Store, Writer

GROUP = "controllers"
PRODUCER = "cell"
# Topic whose partitions stand for the leadership of the cells.
CELLS_TOPIC = "cells"
# Partition of the cell's records in its topic.
CELL = 0
JOBS_TOPIC = "keyed.cells"
# A controller that is silent for this long loses the leadership; it joins thrice
# in that time.
MEMBERSHIP_TTL = timedelta(milliseconds=1000)
JOIN_INTERVAL = timedelta(milliseconds=330)

logger = logging.getLogger(__name__)


class Role(StrEnum):
    """Whether this controller leads."""

    FOLLOWER = "follower"
    LEADER = "leader"


class Membership(NamedTuple):
    """What the last join said."""

    generation: int
    leads: bool


class Election:
    """Membership of one process in the group of controllers."""

    def __init__(self, store: Store, member: str) -> None:
        self._store = store
        self._member = member
        self._generation = 0

    def join(self) -> Result[Membership, Problem]:
        """Stay in the group and learn whether this controller leads."""
        reply = self._store.join(
            GROUP, self._member, CELLS_TOPIC, MEMBERSHIP_TTL, self._generation
        )
        return reply.map(self._take)

    def _take(self, assignment: Assignment) -> Membership:
        self._generation = assignment.generation
        return Membership(assignment.generation, CELL in assignment.partitions)

    def leave(self) -> None:
        """Leave the group at once."""
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

"""Submission of callers' records to the leader, which appends them to the log."""

import logging
import threading
from datetime import timedelta
from enum import Enum, auto
from itertools import count

from returns.result import Failure, Result, Success

from egretcrank.clock import Clock
from egretcrank.controller.committer import Committer, Submission
from egretcrank.controller.link import AnswerCallback
from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.platform.store import encode_keyed
from egretcrank.transport.leader import LeaderLink, LeaderMessage
from egretcrank.wire.hosting import (
    AppendAnswer,
    AppendRequest,
    LeaderProbe,
    LeaderStatus,
)

# A leader that did not answer is not contacted for this long.
UNRESPONSIVE_LEADER_BACKOFF = timedelta(seconds=1)
# Delay between attempts while the leader is unreachable, and interval of the checks
# for a change of the leader while waiting for an answer.
RETRY_INTERVAL = timedelta(milliseconds=150)
# A running leader answers a probe within one round trip.
PROBE_TIMEOUT = timedelta(milliseconds=200)
# A leader counts as alive for this long after one of its records was read.
LEADER_ACTIVITY_WINDOW = timedelta(seconds=1)

logger = logging.getLogger(__name__)


class _Outcome(Enum):
    """Outcome of an attempt to have a record appended by the leader."""

    STORED = auto()
    NOT_SENT = auto()
    UNKNOWN = auto()


class _PendingRequest:
    """A request to the leader that has not been answered yet."""

    def __init__(self) -> None:
        self._event = threading.Event()
        self.accepted = False

    @property
    def outcome(self) -> _Outcome:
        return _Outcome.STORED if self.accepted else _Outcome.UNKNOWN

    def resolve(self, accepted: bool) -> None:
        self.accepted = accepted
        self._event.set()

    def wait(self, timeout: timedelta) -> bool:
        return self._event.wait(timeout.total_seconds())


class Submissions:
    """Passes records to the leader, which is this controller or another one.

    While there is no leader, records wait for the next one, as no job can start before
    it anyway. When controllers appended them one by one to a slow log instead, these
    appends delayed the first append of the new leader by seven seconds.
    """

    def __init__(self, name: str, own_address: str, clock: Clock) -> None:
        self._own_address = own_address
        self._clock = clock
        self._leader_changed = threading.Condition()
        self._link = LeaderLink(name, self._handle_message)
        self._committer: Committer | None = None
        self._pending: dict[int, _PendingRequest] = {}
        self._request_numbers = count(1)
        self._backoff_until = timedelta()
        self._leader_seen_at = -LEADER_ACTIVITY_WINDOW

    def set_committer(self, committer: Committer | None) -> None:
        """Set the committer of this controller, or None once it no longer leads."""
        with self._leader_changed:
            self._committer = committer
            self._leader_changed.notify_all()

    def set_leader_address(self, address: str) -> None:
        """Connect to the leader at an address, unless that is this controller."""
        with self._leader_changed:
            if address not in (self._link.address, self._own_address, ""):
                self._backoff_until = timedelta()
                self._link.connect(address)
                self._leader_changed.notify_all()

    def mark_leader_alive(self) -> None:
        """Record that the leader is alive, as one of its records has just been read."""
        self._leader_seen_at = self._clock.boottime()

    def submit(
        self, key: str, value: bytes, max_wait: timedelta
    ) -> Result[None, Problem]:
        """Have a record appended by the leader, or by the next one within ``max_wait``.

        Failures: ``unreachable`` (nothing was sent), ``call_timeout`` (the record may
        have been appended or may still be). In both cases the caller of this method
        may append the record itself. If the leader is alive but cannot be reached from
        here, the call fails without waiting.
        """
        deadline = self._clock.boottime() + max_wait
        kind = ErrorKind.UNREACHABLE
        while True:
            outcome = self._try_submit(key, value, deadline)
            if outcome is _Outcome.STORED:
                return Success(None)
            if outcome is _Outcome.UNKNOWN:
                kind = ErrorKind.CALL_TIMEOUT
            now = self._clock.boottime()
            if now >= deadline or (
                outcome is _Outcome.NOT_SENT
                and now - self._leader_seen_at < LEADER_ACTIVITY_WINDOW
            ):
                return Failure(Problem(kind, "the leader did not answer", "leader"))
            with self._leader_changed:
                self._leader_changed.wait(
                    min(deadline - now, RETRY_INTERVAL).total_seconds()
                )

    @property
    def is_accepting(self) -> bool:
        """Whether this controller leads and its appends succeed."""
        committer = self._committer
        return committer is not None and committer.is_accepting

    def probe(self) -> bool:
        """Return whether the leader, local or remote, can append records.

        If the log is unavailable to this controller only, its callers can be served
        through the leader; if there is no leader either, they are rejected at once.
        """
        if self._committer is not None:
            return self.is_accepting
        if self._clock.boottime() < self._backoff_until or not self._link.address:
            return False
        number = next(self._request_numbers)
        pending = self._pending[number] = _PendingRequest()
        try:
            sent = self._link.send(LeaderProbe(number))
            return sent and pending.wait(PROBE_TIMEOUT) and pending.accepted
        finally:
            self._pending.pop(number, None)

    def _try_submit(self, key: str, value: bytes, deadline: timedelta) -> _Outcome:
        pending = _PendingRequest()
        committer = self._committer
        address = self._link.address
        if committer is not None:
            committer.submit(Submission(encode_keyed(key, value), pending.resolve))
            return self._wait_for_answer(pending, deadline, (committer, address))
        if self._clock.boottime() < self._backoff_until or not address:
            return _Outcome.NOT_SENT
        number = next(self._request_numbers)
        self._pending[number] = pending
        try:
            if not self._link.send(AppendRequest(number, key, value)):
                return _Outcome.NOT_SENT
            return self._wait_for_answer(pending, deadline, (None, address))
        finally:
            self._pending.pop(number, None)

    def _wait_for_answer(
        self,
        pending: _PendingRequest,
        deadline: timedelta,
        leader: tuple[Committer | None, str],
    ) -> _Outcome:
        """Wait for the leader's answer until the deadline or a change of the leader."""
        while (self._committer, self._link.address) == leader:
            remaining = deadline - self._clock.boottime()
            if remaining <= timedelta():
                self._back_off()
                break
            if pending.wait(min(remaining, RETRY_INTERVAL)):
                break
        return pending.outcome

    def _back_off(self) -> None:
        """Skip the leader for a while, and reconnect in case the connection is dead."""
        with self._leader_changed:
            self._backoff_until = self._clock.boottime() + UNRESPONSIVE_LEADER_BACKOFF
            address = self._link.address
            if address:
                self._link.connect(address)
        logger.warning("leader passed by", extra={"address": address})

    def handle_request(self, request: AppendRequest, answer: AnswerCallback) -> None:
        """Append another controller's record; answer False if this one is no leader."""
        committer = self._committer
        if committer is None:
            answer(False)
            return
        committer.submit(Submission(encode_keyed(request.key, request.value), answer))

    def _handle_message(self, message: LeaderMessage) -> None:
        match message:
            case AppendAnswer(number, accepted) | LeaderStatus(number, accepted):
                pending = self._pending.get(number)
                if pending is not None:
                    pending.resolve(accepted)
            case _:
                logger.debug("ignoring a message that controllers do not handle")

    def close(self) -> None:
        """Close the connection to the leader."""
        self._link.close()

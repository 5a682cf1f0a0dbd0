"""Records of callers on their way to the log: by the leader's appends."""

import logging
import threading
from datetime import timedelta
from enum import Enum, auto
from itertools import count

from returns.result import Failure, Result, Success

from egretcrank.clock import Clock
from egretcrank.controller.committer import Committer, Submission
from egretcrank.controller.link import Answer
from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.platform.store import encode_keyed
from egretcrank.transport.leader import LeaderLink, LeaderMessage
from egretcrank.wire.hosting import (
    AppendAnswer,
    AppendRequest,
    LeaderProbe,
    LeaderStatus,
)

# A leader that did not answer is passed by for so long.
PAUSE_AFTER_SILENCE = timedelta(seconds=1)
# Pause between two attempts while the leader cannot be reached, and between two looks
# whether another one leads.
RETRY_INTERVAL = timedelta(milliseconds=150)
# A leader that is up answers a probe within a round trip.
PROBE_TIMEOUT = timedelta(milliseconds=200)
# A leader whose records came to the log within this time is alive.
ALIVE_FOR = timedelta(seconds=1)

logger = logging.getLogger(__name__)


class _Outcome(Enum):
    """What is known of a record that was handed on."""

    STORED = auto()
    NOT_SENT = auto()
    UNKNOWN = auto()


class _Pending:
    """A request that waits for the leader's answer."""

    def __init__(self) -> None:
        self._event = threading.Event()
        self.agreed = False

    @property
    def outcome(self) -> _Outcome:
        return _Outcome.STORED if self.agreed else _Outcome.UNKNOWN

    def settle(self, agreed: bool) -> None:
        self.agreed = agreed
        self._event.set()

    def wait(self, timeout: timedelta) -> bool:
        return self._event.wait(timeout.total_seconds())


class Submissions:
    """Hands records to the leader, which is this controller or another one.

    Answers a change of the leader while the log is slow. Records wait for the next
    leader, as no job can start before it; appended one by one, they kept its first
    append from the log for seven seconds.
    """

    def __init__(self, name: str, own_address: str, clock: Clock) -> None:
        self._own_address = own_address
        self._clock = clock
        self._changed = threading.Condition()
        self._link = LeaderLink(name, self._take)
        self._committer: Committer | None = None
        self._pending: dict[int, _Pending] = {}
        self._numbers = count(1)
        self._paused_until = timedelta()
        self._leader_seen_at = -ALIVE_FOR

    def lead(self, committer: Committer | None) -> None:
        """Use the committer of this controller, or none once it does not lead."""
        with self._changed:
            self._committer = committer
            self._changed.notify_all()

    def follow(self, address: str) -> None:
        """Send records to the leader at an address."""
        with self._changed:
            if address not in (self._link.address, self._own_address, ""):
                self._paused_until = timedelta()
                self._link.connect(address)
                self._changed.notify_all()

    def note_leader_record(self) -> None:
        """Note that a record of the leader has come to the log."""
        self._leader_seen_at = self._clock.boottime()

    def submit(self, key: str, value: bytes, hold: timedelta) -> Result[None, Problem]:
        """Have a record appended by the leader, or by the next one within ``hold``.

        Failures: ``unreachable`` (nothing was sent), ``call_timeout`` (the record may
        be on the log, or come there). Both leave the append to the caller.
        """
        until = self._clock.boottime() + hold
        kind = ErrorKind.UNREACHABLE
        while True:
            outcome = self._try(key, value, until)
            if outcome is _Outcome.STORED:
                return Success(None)
            if outcome is _Outcome.UNKNOWN:
                kind = ErrorKind.CALL_TIMEOUT
            now = self._clock.boottime()
            if now >= until or (
                outcome is _Outcome.NOT_SENT and now - self._leader_seen_at < ALIVE_FOR
            ):
                return Failure(Problem(kind, "the leader did not answer", "leader"))
            with self._changed:
                self._changed.wait(min(until - now, RETRY_INTERVAL).total_seconds())

    @property
    def accepts(self) -> bool:
        """Tell whether this controller leads and its appends succeed."""
        committer = self._committer
        return committer is not None and committer.accepts

    def probe(self) -> bool:
        """Tell whether the leader, wherever it is, appends what it is given.

        Answers a log that is away for this controller alone: its callers are served by
        way of the leader, and a leader that is gone costs them a refusal at once.
        """
        if self._committer is not None:
            return self.accepts
        if self._clock.boottime() < self._paused_until or not self._link.address:
            return False
        number = next(self._numbers)
        pending = self._pending[number] = _Pending()
        try:
            sent = self._link.send(LeaderProbe(number))
            return sent and pending.wait(PROBE_TIMEOUT) and pending.agreed
        finally:
            self._pending.pop(number, None)

    def _try(self, key: str, value: bytes, until: timedelta) -> _Outcome:
        pending = _Pending()
        committer = self._committer
        address = self._link.address
        if committer is not None:
            committer.submit(Submission(encode_keyed(key, value), pending.settle))
            return self._wait(pending, until, (committer, address))
        if self._clock.boottime() < self._paused_until or not address:
            return _Outcome.NOT_SENT
        number = next(self._numbers)
        self._pending[number] = pending
        try:
            if not self._link.send(AppendRequest(number, key, value)):
                return _Outcome.NOT_SENT
            return self._wait(pending, until, (None, address))
        finally:
            self._pending.pop(number, None)

    def _wait(
        self,
        pending: _Pending,
        until: timedelta,
        leader: tuple[Committer | None, str],
    ) -> _Outcome:
        """Wait for the answer of a leader while it is the one that leads."""
        while (self._committer, self._link.address) == leader:
            left = until - self._clock.boottime()
            if left <= timedelta():
                self._pass_by()
                break
            if pending.wait(min(left, RETRY_INTERVAL)):
                break
        return pending.outcome

    def _pass_by(self) -> None:
        """Pass the leader by, and dial it anew: the connection may be what is dead."""
        with self._changed:
            self._paused_until = self._clock.boottime() + PAUSE_AFTER_SILENCE
            address = self._link.address
            if address:
                self._link.connect(address)
        logger.warning("leader passed by", extra={"address": address})

    def take_request(self, request: AppendRequest, answer: Answer) -> None:
        """Append the record of another controller, if this one leads."""
        committer = self._committer
        if committer is None:
            answer(False)
            return
        committer.submit(Submission(encode_keyed(request.key, request.value), answer))

    def _take(self, message: LeaderMessage) -> None:
        match message:
            case AppendAnswer(number, agreed) | LeaderStatus(number, agreed):
                pending = self._pending.get(number)
                if pending is not None:
                    pending.settle(agreed)
            case _:
                logger.debug("message is of no use to a controller")

    def close(self) -> None:
        """Close the connection to the leader."""
        self._link.close()

"""Reading of one stream: records are folded in order into a state."""

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import NamedTuple, Protocol

from returns.result import Failure, Result, Success

from egretcrank.clock import Clock
from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.observability.metrics import Metrics
from egretcrank.settings.schema import LogSettings
from egretcrank.stream.client import LogClient, Page, StoredRecord
from egretcrank.stream.records import Entry, Record, SnapshotChunk, decode_entry
from egretcrank.stream.snapshots import (
    FoldedState,
    SnapshotAssembler,
    StateBody,
    VoidReason,
    build_state,
    read_state,
)

PAGE_RECORDS = 1000
# Repeated writes of one record are found within this many records. Snapshots carry the
# identifiers, so that every reader finds the same repeats.
REMEMBERED_IDS = 4096
# Snapshots carry the reasons of void records, so their length is bounded.
REMEMBERED_TEXT_LENGTH = 200
# Keeps any time in a chunk within the range of timedelta.
MAX_AGE_SECONDS = 1e9
RETRY_DELAY = timedelta(milliseconds=200)
OUTAGE_RETRY_AFTER = timedelta(seconds=5)

Verdict = Result[None, Problem]
PeerStateSource = Callable[[str], Awaitable[FoldedState | None]]
Listener = Callable[[int, Record, Verdict], None]

logger = logging.getLogger(__name__)


class Fold(Protocol):
    """Deterministic state over the records of a stream."""

    def apply(self, offset: int, record: Record) -> Verdict:
        """Apply a record; a failure means that it is void and changed nothing."""

    def build_state(self) -> bytes:
        """Encode the whole state."""

    def load_state(self, data: bytes) -> Verdict:
        """Replace the whole state; a failure means that nothing changed."""


class Position(NamedTuple):
    """How far a reader has come."""

    next_offset: int
    ready: bool
    down: bool


class _SnapshotMark(NamedTuple):
    """Newest snapshot in the stream; times are monotonic and in seconds since 1970."""

    through: int
    seen_at: timedelta
    taken_at: float


class StreamReader:
    """Follows a stream and folds each record exactly once, in order."""

    def __init__(
        self,
        stream: str,
        client: LogClient,
        fold: Fold,
        settings: LogSettings,
        clock: Clock,
        metrics: Metrics,
        peer_state: PeerStateSource | None = None,
    ) -> None:
        self.stream = stream
        self._client = client
        self._fold = fold
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._peer_state = peer_state
        self._next = 0
        self._ready = False
        self._heard_at: timedelta | None = None
        self._started_at = clock.monotonic()
        self._snapshot: _SnapshotMark | None = None
        self._since_snapshot = 0
        self._warned_next = -1
        self._recent: OrderedDict[str, Verdict] = OrderedDict()
        self._waiters: dict[str, list[asyncio.Future[Verdict]]] = {}
        self._progress = asyncio.Condition()
        self._fresh_reads = 0
        self._reads_started = 0
        self._assembler = SnapshotAssembler()
        self._listeners: list[Listener] = []

    @property
    def position(self) -> Position:
        """Next offset to fold, whether the state is usable, whether the log is down."""
        return Position(self._next, self._ready, self.is_down())

    @property
    def has_heard_log(self) -> bool:
        """Whether the log has answered since the process started."""
        return self._heard_at is not None

    @property
    def snapshot_age(self) -> timedelta:
        """Time since the newest snapshot of this stream was taken, or since start.

        Counting from when it was read would make it young again with each restart, and
        with each late snapshot of a paused process. A wall clock that is behind cannot
        make it younger than the time since it was read.
        """
        if self._snapshot is None:
            return self._clock.monotonic() - self._started_at
        since_read = self._clock.monotonic() - self._snapshot.seen_at
        # A chunk of an older release has no time and counts as very old.
        seconds = self._clock.now().timestamp() - self._snapshot.taken_at
        seconds = min(max(0.0, seconds), MAX_AGE_SECONDS)
        return max(since_read, timedelta(seconds=seconds))

    @property
    def snapshot_seen(self) -> bool:
        """Whether a snapshot of this stream was read since the process started."""
        return self._snapshot is not None

    @property
    def records_since_snapshot(self) -> int:
        """Number of records after the state of the newest snapshot, or since start.

        Chunks do not count, so that a large snapshot does not call for another.
        """
        return self._since_snapshot

    @property
    def has_gap(self) -> bool:
        """Whether records were dropped unread and no state after them was found."""
        return self._warned_next == self._next

    def is_down(self) -> bool:
        """Tell whether reads have failed for longer than ``outage_seconds``."""
        heard_at = self._heard_at or self._started_at
        silence = self._clock.monotonic() - heard_at
        limit = self._settings.outage_seconds + self._settings.poll_seconds
        return silence > limit

    def listen(self, listener: Listener) -> None:
        """Call ``listener`` after each record with its offset and verdict."""
        self._listeners.append(listener)

    def build_state(self) -> FoldedState:
        """Build the state folded so far, for a snapshot or for a peer."""
        void = {
            record_id: _shorten_problem(verdict.failure())
            for record_id, verdict in self._recent.items()
            if isinstance(verdict, Failure)
        }
        body = StateBody(self._fold.build_state(), tuple(self._recent), void)
        return build_state(self._next - 1, body)

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        while True:
            if not await self.advance(self._settings.poll_seconds):
                await self._clock.sleep(RETRY_DELAY)

    async def advance(self, wait: timedelta) -> bool:
        """Read and fold one page; return whether the log answered."""
        self._reads_started += 1
        number = self._reads_started
        match await self._client.read(self.stream, self._next, PAGE_RECORDS, wait):
            case Failure(_):
                if not self._ready and self._heard_at is None:
                    await self._start_from_peer()
                return False
            case Success(page):
                self._heard_at = self._clock.monotonic()
                await self._fold_page(page)
        if self._ready and self._next == page.end:
            self._fresh_reads = number
        async with self._progress:
            self._progress.notify_all()
        return True

    async def _start_from_peer(self) -> None:
        """Take a peer's state in a process that starts during an outage.

        The state is usable at once, because the log cannot change meanwhile.
        """
        if await self._load_from_peer(0) and self._next > 0:
            self._ready = True
            async with self._progress:
                self._progress.notify_all()

    async def wait_until_ready(self) -> None:
        """Wait until the state is usable."""
        async with self._progress:
            await self._progress.wait_for(lambda: self._ready)

    async def wait_for_fresh_read(self, timeout: timedelta) -> bool:
        """Wait for a read that starts after this call and reaches the end."""
        target = self._reads_started + 1
        try:
            async with asyncio.timeout(timeout.total_seconds()), self._progress:
                await self._progress.wait_for(lambda: self._fresh_reads >= target)
        except TimeoutError:
            return False
        return True

    def find_verdict(self, record_id: str) -> Verdict | None:
        """Return the verdict on a record that was folded recently."""
        return self._recent.get(record_id)

    def expect(self, record_id: str) -> asyncio.Future[Verdict]:
        """Return a future for the verdict on a record; see ``forget``."""
        waiter: asyncio.Future[Verdict] = asyncio.get_running_loop().create_future()
        self._waiters.setdefault(record_id, []).append(waiter)
        verdict = self._recent.get(record_id)
        if verdict is not None:
            waiter.set_result(verdict)
        return waiter

    def forget(self, record_id: str, waiter: asyncio.Future[Verdict]) -> None:
        """Stop expecting a record; others that expect it are not affected."""
        waiters = self._waiters.get(record_id, [])
        if waiter in waiters:
            waiters.remove(waiter)
        if not waiters:
            self._waiters.pop(record_id, None)

    async def _fold_page(self, page: Page) -> None:
        if page.end < self._next:
            # Folding again from a shorter log would revert what is in force.
            logger.error(
                "log is shorter than before",
                extra={"stream": self.stream, "end": page.end, "next": self._next},
            )
            return
        if page.first_available > self._next:
            await self._recover(page)
            return
        for stored in page.records:
            if stored.offset == self._next:
                self._fold_record(stored)
        if not self._ready and self._next >= page.end:
            self._ready = True
            logger.info(
                "stream is current", extra={"stream": self.stream, "next": self._next}
            )

    def _fold_record(self, stored: StoredRecord) -> None:
        self._next = stored.offset + 1
        match decode_entry(stored.data):
            case Success(Entry(record_id, record)):
                self._apply(stored.offset, record_id, record)
            case Failure(problem):
                self._count("invalid")
                logger.warning(
                    "record skipped",
                    extra={
                        "stream": self.stream,
                        "offset": stored.offset,
                        "problem": problem.detail,
                    },
                )

    def _apply(self, offset: int, record_id: str, record: Record) -> None:
        if record_id in self._recent:
            self._count("repeated")
            return
        if isinstance(record, SnapshotChunk):
            self._notice_snapshot(record)
            verdict: Verdict = Success(None)
        else:
            verdict = self._fold.apply(offset, record)
            self._since_snapshot += 1
        self._count("valid" if isinstance(verdict, Success) else "void")
        self._remember(record_id, verdict)
        for listener in self._listeners:
            listener(offset, record, verdict)

    def _notice_snapshot(self, chunk: SnapshotChunk) -> None:
        state = self._assembler.add(chunk)
        if state is None or isinstance(read_state(state), Failure):
            return
        if self._snapshot is None or state.through >= self._snapshot.through:
            self._snapshot = _SnapshotMark(
                state.through, self._clock.monotonic(), chunk.taken_at
            )
            # What was folded between the state and the snapshot's own chunks.
            between = self._next - 1 - state.through - chunk.count
            self._since_snapshot = max(0, between)

    def _remember(self, record_id: str, verdict: Verdict) -> None:
        self._recent[record_id] = verdict
        if len(self._recent) > REMEMBERED_IDS:
            self._recent.popitem(last=False)
        self._settle(record_id, verdict)

    def _settle(self, record_id: str, verdict: Verdict) -> None:
        for waiter in self._waiters.get(record_id, []):
            if not waiter.done():
                waiter.set_result(verdict)

    async def _recover(self, page: Page) -> None:
        """Find a state after the records that follow ours were dropped."""
        if self._warned_next != self._next:
            # One line for each gap, because recovery is tried again several times a
            # second.
            self._warned_next = self._next
            logger.warning(
                "records were dropped before they were read",
                extra={
                    "stream": self.stream,
                    "next": self._next,
                    "first_available": page.first_available,
                },
            )
        self._ready = False
        if await self._load_from_log(page.first_available, page.end):
            return
        if not await self._load_from_peer(page.first_available):
            await self._clock.sleep(RETRY_DELAY)

    async def _load_from_log(self, first_available: int, end: int) -> bool:
        self._assembler.clear()
        offset = first_available
        while offset < end:
            reply = await self._client.read(
                self.stream, offset, PAGE_RECORDS, timedelta(0)
            )
            match reply:
                case Success(Page(_, _, records)) if records:
                    for stored in records:
                        state = self._find_snapshot(stored)
                        if state and self._load(state, first_available):
                            return True
                    offset = records[-1].offset + 1
                case _:
                    return False
        return False

    def _find_snapshot(self, stored: StoredRecord) -> FoldedState | None:
        match decode_entry(stored.data):
            case Success(Entry(_, SnapshotChunk() as chunk)):
                return self._assembler.add(chunk)
        return None

    async def _load_from_peer(self, first_available: int) -> bool:
        if self._peer_state is None:
            return False
        state = await self._peer_state(self.stream)
        return state is not None and self._load(state, first_available)

    def _load(self, state: FoldedState, first_available: int) -> bool:
        """Load a state unless records after it are gone or it is older than ours."""
        if state.through + 1 < max(first_available, self._next):
            return False
        match read_state(state):
            case Success(StateBody(data, recent_ids, void)):
                if isinstance(self._fold.load_state(data), Failure):
                    return False
            case _:
                return False
        self._next = state.through + 1
        self._recent = OrderedDict(
            (i, _restore_verdict(void.get(i))) for i in recent_ids
        )
        self._assembler.clear()
        for record_id in self._recent.keys() & self._waiters.keys():
            self._settle(record_id, self._recent[record_id])
        logger.info(
            "state loaded", extra={"stream": self.stream, "through": state.through}
        )
        return True

    def _count(self, result: str) -> None:
        self._metrics.log_records.inc({"stream": self.stream, "result": result})


def _shorten_problem(problem: Problem) -> VoidReason:
    return VoidReason(
        problem.kind.value,
        problem.detail[:REMEMBERED_TEXT_LENGTH],
        problem.where[:REMEMBERED_TEXT_LENGTH],
        problem.expected[:REMEMBERED_TEXT_LENGTH],
    )


def _restore_verdict(reason: VoidReason | None) -> Verdict:
    if reason is None:
        return Success(None)
    known = reason.kind in ErrorKind._value2member_map_
    kind = ErrorKind(reason.kind) if known else ErrorKind.INTERNAL
    return Failure(Problem(kind, reason.detail, reason.where, reason.expected))


def describe_outage(stream: str) -> Problem:
    """Build the problem of an operation that needs the log while it is down."""
    return Problem(
        ErrorKind.LOG_UNAVAILABLE,
        f"stream {stream} could not be read or written",
        retry_after=OUTAGE_RETRY_AFTER,
    )

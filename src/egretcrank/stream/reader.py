"""Reading of a stream: applies its records, in order, to a state machine."""

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
    SnapshotAssembler,
    StateBody,
    StreamState,
    VoidReason,
    build_state,
    read_state,
)

MAX_PAGE_RECORDS = 1000
# Number of record IDs that are kept to detect records that were appended twice. They
# are part of snapshots, so that every reader detects the same duplicates.
DEDUPLICATION_WINDOW = 4096
# Snapshots contain the reasons of recent void records; longer texts are truncated.
MAX_REASON_LENGTH = 200
# Keeps the age computed from any time in a chunk within the range of timedelta.
MAX_SNAPSHOT_AGE_SECONDS = 1e9
RETRY_DELAY = timedelta(milliseconds=200)
OUTAGE_RETRY_AFTER = timedelta(seconds=5)

# Result of applying a record: success, or the reason why the record is void.
Verdict = Result[None, Problem]
PeerStateSource = Callable[[str], Awaitable[StreamState | None]]
Listener = Callable[[int, Record, Verdict], None]

logger = logging.getLogger(__name__)


class StateMachine(Protocol):
    """Deterministic state machine that is driven by the records of a stream.

    A record that it rejects is void in every process: it has no effect, except that it
    may be listed in a history of rejected records.
    """

    def apply(self, offset: int, record: Record) -> Verdict:
        """Apply a record; a failure means that the record is void."""

    def build_state(self) -> bytes:
        """Encode the entire state."""

    def load_state(self, data: bytes) -> Verdict:
        """Replace the entire state; on failure the state is unchanged."""


class Position(NamedTuple):
    """Progress of a reader.

    ``next_offset`` is the next offset to apply, ``ready`` whether the state is usable,
    and ``down`` whether the log is unavailable.
    """

    next_offset: int
    ready: bool
    down: bool


class _SnapshotInfo(NamedTuple):
    """Metadata of the newest snapshot that was read.

    ``read_at`` is monotonic, ``taken_at`` in seconds since 1970.
    """

    through: int
    read_at: timedelta
    taken_at: float


class StreamReader:
    """Follows a stream and applies each record exactly once, in order."""

    def __init__(
        self,
        stream: str,
        client: LogClient,
        state_machine: StateMachine,
        settings: LogSettings,
        clock: Clock,
        metrics: Metrics,
        peer_state: PeerStateSource | None = None,
    ) -> None:
        self.stream = stream
        self._client = client
        self._state_machine = state_machine
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._peer_state = peer_state
        self._next_offset = 0
        self._ready = False
        self._last_reply_at: timedelta | None = None
        self._started_at = clock.monotonic()
        self._newest_snapshot: _SnapshotInfo | None = None
        self._records_since_snapshot = 0
        self._gap_offset = -1
        self._recent_verdicts: OrderedDict[str, Verdict] = OrderedDict()
        self._waiters: dict[str, list[asyncio.Future[Verdict]]] = {}
        self._updated = asyncio.Condition()
        self._last_complete_read = 0
        self._last_started_read = 0
        self._assembler = SnapshotAssembler()
        self._listeners: list[Listener] = []

    @property
    def position(self) -> Position:
        """Current progress of the reader."""
        return Position(self._next_offset, self._ready, self.is_down())

    @property
    def has_read_log(self) -> bool:
        """Whether any read has succeeded since the process started."""
        return self._last_reply_at is not None

    @property
    def snapshot_age(self) -> timedelta:
        """Time since the newest snapshot of the stream was taken, or since start.

        The age does not count from when the snapshot was read, because each restart,
        and each late snapshot of a paused process, would reset it. It is at least the
        time since the snapshot was read, in case the wall clock is behind.
        """
        if self._newest_snapshot is None:
            return self._clock.monotonic() - self._started_at
        since_read = self._clock.monotonic() - self._newest_snapshot.read_at
        # Chunks of older releases have no time, so they get the maximum age.
        seconds = self._clock.now().timestamp() - self._newest_snapshot.taken_at
        seconds = min(max(0.0, seconds), MAX_SNAPSHOT_AGE_SECONDS)
        return max(since_read, timedelta(seconds=seconds))

    @property
    def has_snapshot(self) -> bool:
        """Whether a snapshot of the stream was read since the process started."""
        return self._newest_snapshot is not None

    @property
    def records_since_snapshot(self) -> int:
        """Number of records after the state of the newest snapshot, or since start.

        Snapshot chunks do not count, so that a large snapshot does not trigger another.
        """
        return self._records_since_snapshot

    @property
    def has_gap(self) -> bool:
        """Whether dropped records were not read and no later state was found."""
        return self._gap_offset == self._next_offset

    def is_down(self) -> bool:
        """Return whether no read has succeeded for longer than ``outage_seconds``.

        The time that a read may wait for records (``poll_seconds``) is added.
        """
        last_reply_at = self._last_reply_at or self._started_at
        silence = self._clock.monotonic() - last_reply_at
        limit = self._settings.outage_seconds + self._settings.poll_seconds
        return silence > limit

    def add_listener(self, listener: Listener) -> None:
        """Call ``listener`` with the offset, record and verdict of each record."""
        self._listeners.append(listener)

    def build_state(self) -> StreamState:
        """Build the current state, for a snapshot or for a peer."""
        void = {
            record_id: _truncate_problem(verdict.failure())
            for record_id, verdict in self._recent_verdicts.items()
            if isinstance(verdict, Failure)
        }
        body = StateBody(
            self._state_machine.build_state(), tuple(self._recent_verdicts), void
        )
        return build_state(self._next_offset - 1, body)

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        while True:
            if not await self.advance(self._settings.poll_seconds):
                await self._clock.sleep(RETRY_DELAY)

    async def advance(self, wait: timedelta) -> bool:
        """Read and process one page; return whether the read succeeded."""
        self._last_started_read += 1
        read_number = self._last_started_read
        match await self._client.read(
            self.stream, self._next_offset, MAX_PAGE_RECORDS, wait
        ):
            case Failure(_):
                if not self._ready and self._last_reply_at is None:
                    await self._initialize_from_peer()
                return False
            case Success(page):
                self._last_reply_at = self._clock.monotonic()
                await self._process_page(page)
        if self._ready and self._next_offset == page.end:
            self._last_complete_read = read_number
        async with self._updated:
            self._updated.notify_all()
        return True

    async def _initialize_from_peer(self) -> None:
        """Load the state of a peer if this process starts during a log outage.

        The state is usable immediately, because the log cannot change during an outage.
        """
        if await self._load_from_peer(0) and self._next_offset > 0:
            self._ready = True
            async with self._updated:
                self._updated.notify_all()

    async def wait_until_ready(self) -> None:
        """Wait until the state is usable."""
        async with self._updated:
            await self._updated.wait_for(lambda: self._ready)

    async def wait_for_fresh_read(self, timeout: timedelta) -> bool:
        """Wait for a read that starts after this call and reaches the stream's end.

        Returns false if there is none within ``timeout``.
        """
        target = self._last_started_read + 1
        try:
            async with asyncio.timeout(timeout.total_seconds()), self._updated:
                await self._updated.wait_for(lambda: self._last_complete_read >= target)
        except TimeoutError:
            return False
        return True

    def find_verdict(self, record_id: str) -> Verdict | None:
        """Return the verdict on a record that was applied recently."""
        return self._recent_verdicts.get(record_id)

    def add_waiter(self, record_id: str) -> asyncio.Future[Verdict]:
        """Return a future for the verdict on a record.

        The caller has to pass it to ``remove_waiter`` when it is no longer needed.
        """
        waiter: asyncio.Future[Verdict] = asyncio.get_running_loop().create_future()
        self._waiters.setdefault(record_id, []).append(waiter)
        verdict = self._recent_verdicts.get(record_id)
        if verdict is not None:
            waiter.set_result(verdict)
        return waiter

    def remove_waiter(self, record_id: str, waiter: asyncio.Future[Verdict]) -> None:
        """Remove a future; other futures for the same record are not affected."""
        waiters = self._waiters.get(record_id, [])
        if waiter in waiters:
            waiters.remove(waiter)
        if not waiters:
            self._waiters.pop(record_id, None)

    async def _process_page(self, page: Page) -> None:
        if page.end < self._next_offset:
            # Applying a log that lost records would revert changes that are in force.
            logger.error(
                "log is shorter than before",
                extra={
                    "stream": self.stream,
                    "end": page.end,
                    "next": self._next_offset,
                },
            )
            return
        if page.first_available > self._next_offset:
            await self._recover(page)
            return
        for stored in page.records:
            if stored.offset == self._next_offset:
                self._process_record(stored)
        if not self._ready and self._next_offset >= page.end:
            self._ready = True
            logger.info(
                "stream is current",
                extra={"stream": self.stream, "next": self._next_offset},
            )

    def _process_record(self, stored: StoredRecord) -> None:
        self._next_offset = stored.offset + 1
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
        if record_id in self._recent_verdicts:
            self._count("repeated")
            return
        if isinstance(record, SnapshotChunk):
            self._track_snapshot(record)
            verdict: Verdict = Success(None)
        else:
            verdict = self._state_machine.apply(offset, record)
            self._records_since_snapshot += 1
        self._count("valid" if isinstance(verdict, Success) else "void")
        self._store_verdict(record_id, verdict)
        for listener in self._listeners:
            listener(offset, record, verdict)

    def _track_snapshot(self, chunk: SnapshotChunk) -> None:
        state = self._assembler.add(chunk)
        if state is None or isinstance(read_state(state), Failure):
            return
        if (
            self._newest_snapshot is None
            or state.through >= self._newest_snapshot.through
        ):
            self._newest_snapshot = _SnapshotInfo(
                state.through, self._clock.monotonic(), chunk.taken_at
            )
            # Records between the state of the snapshot and its own chunks.
            newer_records = self._next_offset - 1 - state.through - chunk.count
            self._records_since_snapshot = max(0, newer_records)

    def _store_verdict(self, record_id: str, verdict: Verdict) -> None:
        self._recent_verdicts[record_id] = verdict
        if len(self._recent_verdicts) > DEDUPLICATION_WINDOW:
            self._recent_verdicts.popitem(last=False)
        self._resolve_waiters(record_id, verdict)

    def _resolve_waiters(self, record_id: str, verdict: Verdict) -> None:
        for waiter in self._waiters.get(record_id, []):
            if not waiter.done():
                waiter.set_result(verdict)

    async def _recover(self, page: Page) -> None:
        """Load a newer state, because the next records to apply were dropped."""
        if self._gap_offset != self._next_offset:
            # Logged once per gap, because recovery is retried several times a second.
            self._gap_offset = self._next_offset
            logger.warning(
                "records were dropped before they were read",
                extra={
                    "stream": self.stream,
                    "next": self._next_offset,
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
                self.stream, offset, MAX_PAGE_RECORDS, timedelta(0)
            )
            match reply:
                case Success(Page(_, _, records)) if records:
                    for stored in records:
                        state = self._extract_snapshot(stored)
                        if state and self._load_state(state, first_available):
                            return True
                    offset = records[-1].offset + 1
                case _:
                    return False
        return False

    def _extract_snapshot(self, stored: StoredRecord) -> StreamState | None:
        match decode_entry(stored.data):
            case Success(Entry(_, SnapshotChunk() as chunk)):
                return self._assembler.add(chunk)
        return None

    async def _load_from_peer(self, first_available: int) -> bool:
        if self._peer_state is None:
            return False
        state = await self._peer_state(self.stream)
        return state is not None and self._load_state(state, first_available)

    def _load_state(self, state: StreamState, first_available: int) -> bool:
        """Load a state, unless records after it were dropped or ours is newer."""
        if state.through + 1 < max(first_available, self._next_offset):
            return False
        match read_state(state):
            case Success(StateBody(data, recent_ids, void)):
                if isinstance(self._state_machine.load_state(data), Failure):
                    return False
            case _:
                return False
        self._next_offset = state.through + 1
        self._recent_verdicts = OrderedDict(
            (i, _restore_verdict(void.get(i))) for i in recent_ids
        )
        self._assembler.clear()
        for record_id in self._recent_verdicts.keys() & self._waiters.keys():
            self._resolve_waiters(record_id, self._recent_verdicts[record_id])
        logger.info(
            "state loaded", extra={"stream": self.stream, "through": state.through}
        )
        return True

    def _count(self, result: str) -> None:
        self._metrics.log_records.inc({"stream": self.stream, "result": result})


def _truncate_problem(problem: Problem) -> VoidReason:
    return VoidReason(
        problem.kind.value,
        problem.detail[:MAX_REASON_LENGTH],
        problem.where[:MAX_REASON_LENGTH],
        problem.expected[:MAX_REASON_LENGTH],
    )


def _restore_verdict(reason: VoidReason | None) -> Verdict:
    if reason is None:
        return Success(None)
    known = reason.kind in ErrorKind._value2member_map_
    kind = ErrorKind(reason.kind) if known else ErrorKind.INTERNAL
    return Failure(Problem(kind, reason.detail, reason.where, reason.expected))


def describe_outage(stream: str) -> Problem:
    """Build the error of an operation that needs the log while it is unavailable."""
    return Problem(
        ErrorKind.LOG_UNAVAILABLE,
        f"stream {stream} could not be read or written",
        retry_after=OUTAGE_RETRY_AFTER,
    )

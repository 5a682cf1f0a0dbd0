"""Client of the platform's log: appends, reads, newest records and groups."""

import base64
import binascii
import struct
from collections.abc import Iterable, Sequence
from datetime import timedelta
from typing import NamedTuple
from urllib.parse import quote

import msgspec
from returns.result import Failure, Result, Success

from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.platform.calls import Caller, Reply, decode_body
from egretcrank.scheduling.table import StoredValue

# The store answers in about 4 ms; sixty times that was seen while it was slow.
CALL_TIMEOUT = timedelta(seconds=1)
READ_MARGIN = timedelta(milliseconds=700)
# A page of newest records holds up to 1 MB.
PAGE_TIMEOUT = timedelta(seconds=3)
CONNECTIONS = 8
# Slots that each topic of a group may have; the platform gives a topic 8 or 16
# partitions.
TOPIC_SLOTS = 64

_LENGTH = struct.Struct(">I")
_OFFSETS = struct.Struct(">QQ")


class Writer(NamedTuple):
    """Identity of an appender: a lower epoch than one seen is refused."""

    producer: str
    epoch: int
    sequence: int


class Appended(NamedTuple):
    """Offset of the first appended record, and the end of the partition after it."""

    offset: int
    end: int


class LogPage(NamedTuple):
    """Records from an offset on, and the end of the partition."""

    end: int
    records: tuple[StoredValue, ...]


class Assignment(NamedTuple):
    """Slots of a member in a generation, which grows with each change of the group."""

    generation: int
    slots: tuple[int, ...]


class SlotOwner(NamedTuple):
    """A slot of a group, and the member that holds it.

    Slots number the partitions of all topics of the group.
    """

    slot: int
    member: str


class _AppendReply(msgspec.Struct):
    offset: int = 0
    end: int = 0
    reason: str = ""
    sequence: int = 0


class _Item(msgspec.Struct):
    key: str
    value: str
    offset: int


class _NewestReply(msgspec.Struct):
    items: list[_Item]
    end: int
    has_more: bool = False


class _JoinReply(msgspec.Struct):
    generation: int
    # Rows of topic, partition and committed offset.
    parts: list[tuple[str, int, int]] = []


class _OwnersReply(msgspec.Struct):
    # Rows of topic, partition, member and offset.
    parts: list[tuple[str, int, str, int]] = []


def encode_keyed(key: str, value: bytes) -> bytes:
    """Encode a record of a keyed topic; an empty value drops the key."""
    name = key.encode()
    return bytes([len(name)]) + name + value


class Store:
    """The platform's log. Failures: ``log_unavailable`` (nothing was done),
    ``call_timeout`` (may have been done), ``stale_epoch``, ``wrong_sequence`` and
    ``not_found`` (history is gone).
    """

    def __init__(self, address: str) -> None:
        self._caller = Caller(address, CONNECTIONS)

    def append(
        self,
        topic: str,
        partition: int,
        records: Sequence[bytes],
        writer: Writer | None = None,
        timeout: timedelta = CALL_TIMEOUT,
    ) -> Result[Appended, Problem]:
        """Append records, all or nothing; none of them only sets the epoch."""
        url = f"/-/log-append?topic={topic}&part={partition}"
        if writer is not None:
            url += f"&producer={quote(writer.producer)}&epoch={writer.epoch}"
            if records:
                url += f"&sequence={writer.sequence}"
        body = b"".join(_LENGTH.pack(len(record)) + record for record in records)
        return self._caller.call("POST", url, body, timeout).bind(_read_appended)

    def read(
        self, topic: str, partition: int, offset: int, wait: timedelta
    ) -> Result[LogPage, Problem]:
        """Read records from ``offset`` on, waiting up to ``wait`` for the first."""
        milliseconds = int(wait / timedelta(milliseconds=1))
        url = f"/-/log-read?topic={topic}&part={partition}&from={offset}"
        url += f"&wait_ms={milliseconds}"
        reply = self._caller.call("GET", url, None, wait + READ_MARGIN)
        return reply.bind(lambda r: _read_page(r, offset))

    def read_newest(self, topic: str, partition: int) -> Result[LogPage, Problem]:
        """Read the newest record of each key; ``end`` is where to read on.

        The pages are no snapshot, so that ``end`` is the lowest one of them.
        """
        records: list[StoredValue] = []
        end = -1
        url = f"/-/log-newest?topic={topic}&part={partition}"
        following = url
        while True:
            reply = self._caller.call("GET", following, None, PAGE_TIMEOUT)
            match reply.bind(_read_newest):
                case Success(page):
                    records.extend(_decode_items(page.items))
                    end = page.end if end < 0 else min(end, page.end)
                    if not page.has_more or not page.items:
                        return Success(LogPage(end, tuple(records)))
                    # The page after a key is asked for in the field ``depends_on``.
                    following = f"{url}&depends_on={quote(page.items[-1].key, safe='')}"
                case Failure(problem):
                    return Failure(problem)

    def join(
        self,
        group: str,
        member: str,
        topics: Sequence[str],
        ttl: timedelta,
        generation: int,
    ) -> Result[Assignment, Problem]:
        """Join a group, or stay in it, and learn the slots of the member."""
        body = {
            "group": group,
            "member": member,
            "topics": topics,
            "ttl_ms": int(ttl / timedelta(milliseconds=1)),
            "generation": generation,
        }
        reply = self._post("/-/log-join", body)
        return reply.bind(lambda r: decode_body(r.body, _JoinReply)).map(
            lambda joined: Assignment(
                joined.generation,
                tuple(
                    _number_slot(topics, topic, partition)
                    for topic, partition, _ in joined.parts
                    if topic in topics
                ),
            )
        )

    def leave(self, group: str, member: str) -> Result[Reply, Problem]:
        """Leave a group, so that its partitions are assigned anew at once."""
        return self._post("/-/log-leave", {"group": group, "member": member})

    def list_owners(
        self, group: str, topics: Sequence[str]
    ) -> Result[tuple[SlotOwner, ...], Problem]:
        """List which member holds which slot."""
        url = f"/-/log-owners?group={quote(group)}"
        reply = self._caller.call("GET", url, None, CALL_TIMEOUT).bind(_require_ok)
        return reply.bind(lambda r: decode_body(r.body, _OwnersReply)).map(
            lambda owners: tuple(
                SlotOwner(_number_slot(topics, topic, partition), member)
                for topic, partition, member, _ in owners.parts
                if topic in topics
            )
        )

    def _post(self, url: str, body: object) -> Result[Reply, Problem]:
        data = msgspec.json.encode(body)
        return self._caller.call("POST", url, data, CALL_TIMEOUT).bind(_require_ok)

    def close(self) -> None:
        """Close idle connections."""
        self._caller.close()


def _number_slot(topics: Sequence[str], topic: str, partition: int) -> int:
    return topics.index(topic) * TOPIC_SLOTS + partition


def _require_ok(reply: Reply) -> Result[Reply, Problem]:
    if reply.status == 200:
        return Success(reply)
    detail = f"status {reply.status}"
    kind = (
        ErrorKind.LOG_UNAVAILABLE
        if reply.status in (429, 503, 507)
        else ErrorKind.INVALID_MESSAGE
    )
    return Failure(Problem(kind, detail, "store", reply.body[:200].decode("latin-1")))


def _read_appended(reply: Reply) -> Result[Appended, Problem]:
    if reply.status == 409:
        return decode_body(reply.body, _AppendReply).bind(_report_conflict)
    return (
        _require_ok(reply)
        .bind(lambda r: decode_body(r.body, _AppendReply))
        .map(lambda body: Appended(body.offset, body.end))
    )


def _report_conflict(body: _AppendReply) -> Result[Appended, Problem]:
    if body.reason == "fenced":
        return Failure(Problem(ErrorKind.STALE_EPOCH, "a higher epoch was seen"))
    return Failure(
        Problem(
            ErrorKind.WRONG_SEQUENCE,
            "append does not follow the last one",
            "store",
            str(body.sequence),
        )
    )


def _read_page(reply: Reply, offset: int) -> Result[LogPage, Problem]:
    if reply.status == 410:
        return Failure(Problem(ErrorKind.NOT_FOUND, "records have expired", "store"))
    return _require_ok(reply).bind(lambda r: _decode_page(r.body, offset))


def _decode_page(body: bytes, offset: int) -> Result[LogPage, Problem]:
    if len(body) < _OFFSETS.size:
        return Failure(Problem(ErrorKind.INVALID_MESSAGE, "page is cut off", "store"))
    end, _first = _OFFSETS.unpack_from(body)
    records = []
    position = _OFFSETS.size
    while position + _LENGTH.size <= len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        record = body[position : position + length]
        if len(record) < length:
            break
        position += length
        key, value = _split_keyed(record)
        records.append(StoredValue(offset, key, value))
        offset += 1
    return Success(LogPage(end, tuple(records)))


def _split_keyed(record: bytes) -> tuple[str, bytes]:
    if not record:
        return "", b""
    size = record[0]
    return record[1 : 1 + size].decode("utf-8", "replace"), record[1 + size :]


def _read_newest(reply: Reply) -> Result[_NewestReply, Problem]:
    return _require_ok(reply).bind(lambda r: decode_body(r.body, _NewestReply))


def _decode_items(items: Iterable[_Item]) -> Iterable[StoredValue]:
    for item in items:
        try:
            value = base64.b64decode(item.value, validate=True)
        except binascii.Error:
            value = b"\x00"
        yield StoredValue(item.offset, item.key, value)

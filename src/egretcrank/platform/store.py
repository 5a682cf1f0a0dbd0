"""Client for the platform's log: appends, reads, compacted reads and groups."""

import base64
import struct
from collections.abc import Iterable, Sequence
from datetime import timedelta
from http import HTTPStatus
from typing import Annotated, NamedTuple
from urllib.parse import quote

import msgspec
from returns.result import Failure, Result, Success

from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.platform.bounds import Name
from egretcrank.platform.calls import HttpClient, Response, decode_body
from egretcrank.platform.rows import (
    decode_cell,
    decode_cells,
    decode_list_body,
    parse_rows,
)
from egretcrank.scheduling.table import StoredValue
from egretcrank.wire.bounds import MAX_COUNT, Count

# The store responds in about 4 ms, and in up to sixty times that when it is slow.
CALL_TIMEOUT = timedelta(seconds=1)
# Timeout of a read beyond the wait that it requests.
READ_MARGIN = timedelta(milliseconds=700)
# A page of a compacted read holds up to 1 MB.
PAGE_TIMEOUT = timedelta(seconds=3)
MAX_CONNECTIONS = 8
# Answers to an append that may come after it took effect.
UNCERTAIN_STATUSES = frozenset(
    {
        HTTPStatus.INTERNAL_SERVER_ERROR,
        HTTPStatus.BAD_GATEWAY,
        HTTPStatus.GATEWAY_TIMEOUT,
    }
)
# Maximum number of slots per topic of a group; topics of the platform have 8 or 16
# partitions.
SLOTS_PER_TOPIC = 64
# Groups have up to 8 topics. Epochs number the slots of all generations, and are counts
# as well.
MAX_SLOTS = 8 * SLOTS_PER_TOPIC
MAX_GENERATION = MAX_COUNT // MAX_SLOTS - 1
# What the rows of a group begin with, in log lines.
PART_ROW = f"a topic and a partition below {SLOTS_PER_TOPIC}"

Partition = Annotated[int, msgspec.Meta(ge=0, lt=SLOTS_PER_TOPIC)]
Generation = Annotated[int, msgspec.Meta(ge=0, le=MAX_GENERATION)]

_LENGTH = struct.Struct(">I")
_OFFSETS = struct.Struct(">QQ")


class Writer(NamedTuple):
    """Identity of a producer; the store rejects epochs lower than the highest seen."""

    producer: str
    epoch: int
    sequence: int


class Appended(NamedTuple):
    """Offset of the first appended record and end offset of the partition."""

    offset: int
    end: int


class LogPage(NamedTuple):
    """Consecutive records and the end offset of the partition.

    A compacted read is complete if no key with a record is missing.
    """

    end: int
    records: tuple[StoredValue, ...]
    is_complete: bool = True


class Assignment(NamedTuple):
    """Slots of a member; the generation increases with each rebalance of the group."""

    generation: int
    slots: tuple[int, ...]


class SlotOwner(NamedTuple):
    """Slot of a group and the member that owns it.

    Slots number the partitions of all topics of the group consecutively.
    """

    slot: int
    member: str


class _AppendBody(msgspec.Struct):
    offset: Count = 0
    end: Count = 0
    reason: str = ""
    sequence: Count = 0


class _Item(msgspec.Struct):
    key: str
    value: str
    offset: Count


class _NewestBody(msgspec.Struct):
    # Items as in ``_Item``.
    items: list[msgspec.Raw]
    end: Count
    has_more: bool = False


class _JoinBody(msgspec.Struct):
    generation: Generation
    # Rows as in ``_Part``, and the committed offset.
    parts: list[msgspec.Raw] = []


class _OwnersBody(msgspec.Struct):
    # Rows as in ``_Part``, a member and an offset.
    parts: list[msgspec.Raw] = []


class _Key(msgspec.Struct):
    key: str


class _Part(NamedTuple):
    """A partition of a topic."""

    topic: str
    partition: int


_item_decoder: msgspec.json.Decoder[_Item | None] = msgspec.json.Decoder(_Item)
_key_decoder = msgspec.json.Decoder(_Key)
_name_decoder: msgspec.json.Decoder[str] = msgspec.json.Decoder(Name)
_member_decoder: msgspec.json.Decoder[str | None] = msgspec.json.Decoder(Name)
_partition_decoder: msgspec.json.Decoder[int] = msgspec.json.Decoder(Partition)


def encode_keyed(key: str, value: bytes) -> bytes:
    """Encode a record of a keyed topic; an empty value deletes the key."""
    name = key.encode()
    return bytes([len(name)]) + name + value


class Store:
    """Client for the platform's log.

    Failures are ``log_unavailable`` (the request had no effect), ``call_timeout`` (it
    may have had one), ``stale_epoch``, ``wrong_sequence``, ``not_found`` (the records
    have expired) and ``body_too_large`` (the request can never succeed).
    """

    def __init__(self, address: str) -> None:
        self._client = HttpClient(address, MAX_CONNECTIONS)

    def append(
        self,
        topic: str,
        partition: int,
        records: Sequence[bytes],
        writer: Writer | None = None,
        timeout: timedelta = CALL_TIMEOUT,
    ) -> Result[Appended, Problem]:
        """Append records atomically; an empty append only sets the writer's epoch."""
        url = f"/-/log-append?topic={topic}&part={partition}"
        if writer is not None:
            url += f"&producer={quote(writer.producer)}&epoch={writer.epoch}"
            if records:
                url += f"&sequence={writer.sequence}"
        body = b"".join(_LENGTH.pack(len(record)) + record for record in records)
        return self._client.call("POST", url, body, timeout).bind(_parse_appended)

    def read(
        self, topic: str, partition: int, offset: int, wait: timedelta
    ) -> Result[LogPage, Problem]:
        """Read records starting at ``offset``, waiting up to ``wait`` for the first."""
        milliseconds = int(wait / timedelta(milliseconds=1))
        url = f"/-/log-read?topic={topic}&part={partition}&from={offset}"
        url += f"&wait_ms={milliseconds}"
        response = self._client.call("GET", url, None, wait + READ_MARGIN)
        return response.bind(lambda r: _parse_page(r, offset))

    def read_newest(self, topic: str, partition: int) -> Result[LogPage, Problem]:
        """Read the latest record of each key; ``end`` is the offset to continue from.

        The pages are not a consistent snapshot, so ``end`` is the lowest end offset of
        all pages.
        """
        records: list[StoredValue] = []
        end, listed = -1, 0
        url = f"/-/log-newest?topic={topic}&part={partition}"
        next_url = url
        while True:
            response = self._client.call("GET", next_url, None, PAGE_TIMEOUT)
            match response.bind(_parse_newest):
                case Success(page):
                    records.extend(_decode_items(page.items))
                    listed += len(page.items)
                    end = page.end if end < 0 else min(end, page.end)
                    if not page.has_more or not page.items:
                        is_complete = len(records) == listed and not page.has_more
                        return Success(LogPage(end, tuple(records), is_complete))
                    last_key = _find_last_key(page.items)
                    # The parameter ``depends_on`` names the last key already read.
                    known_url = next_url
                    next_url = f"{url}&depends_on={quote(last_key, safe='')}"
                    if not last_key or next_url == known_url:
                        return _build_endless_read()
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
        """Join a group or renew the membership, and return the member's slots."""
        body = {
            "group": group,
            "member": member,
            "topics": topics,
            "ttl_ms": int(ttl / timedelta(milliseconds=1)),
            "generation": generation,
        }
        response = self._post("/-/log-join", body)
        return response.bind(lambda r: decode_list_body(r.body, _JoinBody)).map(
            lambda joined: Assignment(
                joined.generation,
                tuple(
                    _compute_slot(topics, part)
                    for part in parse_rows(joined.parts, _parse_part, "slots", PART_ROW)
                    if part.topic in topics
                ),
            )
        )

    def leave(self, group: str, member: str) -> Result[Response, Problem]:
        """Leave a group, which triggers an immediate rebalance."""
        return self._post("/-/log-leave", {"group": group, "member": member})

    def list_owners(
        self, group: str, topics: Sequence[str]
    ) -> Result[tuple[SlotOwner, ...], Problem]:
        """List the owner of each slot."""
        url = f"/-/log-owners?group={quote(group)}"
        response = self._client.call("GET", url, None, CALL_TIMEOUT).bind(_require_ok)
        return response.bind(lambda r: decode_list_body(r.body, _OwnersBody)).map(
            lambda owners: tuple(
                SlotOwner(_compute_slot(topics, part), member)
                for part, member in parse_rows(
                    owners.parts, _parse_owner, "owners", PART_ROW
                )
                if part.topic in topics
            )
        )

    def _post(self, url: str, body: object) -> Result[Response, Problem]:
        data = msgspec.json.encode(body)
        return self._client.call("POST", url, data, CALL_TIMEOUT).bind(_require_ok)

    def close(self) -> None:
        """Close idle connections."""
        self._client.close()


def _compute_slot(topics: Sequence[str], part: _Part) -> int:
    return topics.index(part.topic) * SLOTS_PER_TOPIC + part.partition


def _parse_part(row: msgspec.Raw) -> _Part | None:
    cells = decode_cells(row)
    topic, partition, *_ = [*cells, b"", b""]
    name = decode_cell(topic, _name_decoder, "")
    number = decode_cell(partition, _partition_decoder, -1)
    return _Part(name, number) if name and number >= 0 else None


def _parse_owner(row: msgspec.Raw) -> tuple[_Part, str] | None:
    part = _parse_part(row)
    cells = decode_cells(row)
    if part is None or len(cells) < 3:
        return None
    member = decode_cell(cells[2], _member_decoder, None)
    return None if member is None else (part, member)


def _require_ok(response: Response) -> Result[Response, Problem]:
    if response.status == 200:
        return Success(response)
    detail = f"unexpected status {response.status}"
    match response.status:
        case 429 | 503 | 507:
            kind = ErrorKind.LOG_UNAVAILABLE
        case 413:
            kind = ErrorKind.BODY_TOO_LARGE
        case _:
            kind = ErrorKind.INVALID_MESSAGE
    return Failure(
        Problem(kind, detail, "store", response.body[:200].decode("latin-1"))
    )


def _parse_appended(response: Response) -> Result[Appended, Problem]:
    if response.status == 409:
        return decode_body(response.body, _AppendBody).bind(_build_conflict)
    if response.status in UNCERTAIN_STATUSES:
        return _build_unknown_outcome(f"status {response.status}")
    match _require_ok(response).bind(lambda r: decode_body(r.body, _AppendBody)):
        case Success(body):
            return Success(Appended(body.offset, body.end))
        case Failure(problem) if response.status == HTTPStatus.OK:
            return _build_unknown_outcome(problem.detail)
        case Failure(problem):
            return Failure(problem)
    raise AssertionError("unreachable")


def _build_unknown_outcome(detail: str) -> Result[Appended, Problem]:
    """Return a failure after which the records may be on the log."""
    return Failure(
        Problem(ErrorKind.CALL_TIMEOUT, f"outcome of an append: {detail}", "store")
    )


def _build_conflict(body: _AppendBody) -> Result[Appended, Problem]:
    if body.reason == "fenced":
        return Failure(
            Problem(ErrorKind.STALE_EPOCH, "epoch is lower than one already seen")
        )
    return Failure(
        Problem(
            ErrorKind.WRONG_SEQUENCE,
            "sequence number does not follow the last append",
            "store",
            str(body.sequence),
        )
    )


def _parse_page(response: Response, offset: int) -> Result[LogPage, Problem]:
    if response.status == 410:
        return Failure(
            Problem(ErrorKind.NOT_FOUND, "requested records have expired", "store")
        )
    return _require_ok(response).bind(lambda r: _decode_page(r.body, offset))


def _decode_page(body: bytes, offset: int) -> Result[LogPage, Problem]:
    if len(body) < _OFFSETS.size:
        return Failure(
            Problem(ErrorKind.INVALID_MESSAGE, "page header is truncated", "store")
        )
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
        key, value = _decode_keyed(record)
        records.append(StoredValue(offset, key, value))
        offset += 1
    return Success(LogPage(end, tuple(records)))


def _decode_keyed(record: bytes) -> tuple[str, bytes]:
    if not record:
        return "", b""
    size = record[0]
    return record[1 : 1 + size].decode("utf-8", "replace"), record[1 + size :]


def _parse_newest(response: Response) -> Result[_NewestBody, Problem]:
    return _require_ok(response).bind(lambda r: decode_list_body(r.body, _NewestBody))


def _find_last_key(items: Sequence[msgspec.Raw]) -> str:
    """Return the key of the last item that has one."""
    for item in reversed(items):
        key = decode_cell(item, _key_decoder, _Key("")).key
        if key:
            return key
    return ""


def _build_endless_read() -> Result[LogPage, Problem]:
    return Failure(
        Problem(
            ErrorKind.INVALID_MESSAGE,
            "a page has no key from which to read on",
            "store",
            "items with keys after those of the page before",
        )
    )


def _parse_item(item: msgspec.Raw) -> _Item | None:
    return decode_cell(item, _item_decoder, None)


def _decode_items(items: Iterable[msgspec.Raw]) -> Iterable[StoredValue]:
    for item in parse_rows(items, _parse_item, "items", "a key, a value, an offset"):
        try:
            value = base64.b64decode(item.value, validate=True)
        except ValueError:
            # Cannot be decoded as a record. An empty value would delete the key.
            value = b"\x00"
        yield StoredValue(item.offset, item.key, value)

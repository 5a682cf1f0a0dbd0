"""Stand-in for the platform's log, by its published protocol, in this process.

It keeps everything in memory and can refuse calls, leave them unanswered, or lose
answers of what it did.
"""

import base64
import random
import struct
import threading
import time
from collections.abc import Callable, Iterable
from enum import StrEnum
from typing import Any
from urllib.parse import parse_qs

import msgspec
from cheroot.wsgi import Server

# Each daemon keeps two reads waiting.
THREADS = 48
PARTS = 8
PAGE_ITEMS = 500
# Longer than any daemon waits for an answer to an append.
SILENCE_SECONDS = 1.5
REPEATED_APPENDS = 5
_LENGTH = struct.Struct(">I")
_OFFSETS = struct.Struct(">QQ")

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class StoreMode(StrEnum):
    """What the log does with calls."""

    UP = "up"
    BUSY = "busy"
    SILENT = "silent"
    LOSSY = "lossy"


class _Producer:
    def __init__(self) -> None:
        self.epoch = -1
        self.next: int | None = None
        self.answers: dict[int, tuple[int, int]] = {}


class _Partition:
    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.first = 0
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.producers: dict[str, _Producer] = {}

    @property
    def end(self) -> int:
        return self.first + len(self.records)


class _Group:
    def __init__(self) -> None:
        self.generation = 0
        self.members: dict[str, float] = {}
        self.owners: dict[tuple[str, int], str] = {}

    def join(self, member: str, topics: list[str], ttl: float) -> None:
        known = member in self.members
        self.members[member] = time.monotonic() + ttl
        self.expire()
        if not known or not self.owners:
            self.deal(topics)

    def expire(self) -> None:
        now = time.monotonic()
        gone = [name for name, until in self.members.items() if until < now]
        for name in gone:
            del self.members[name]
        if gone:
            self.deal(sorted({topic for topic, _ in self.owners}))

    def deal(self, topics: list[str]) -> None:
        """Deal all partitions evenly; those of members that stay are kept in part."""
        self.generation += 1
        names = sorted(self.members)
        slots = [(topic, part) for topic in topics for part in range(PARTS)]
        turn = self.generation
        self.owners = {
            slot: names[(number + turn) % len(names)]
            for number, slot in enumerate(slots)
            if names
        }


class PlatformStore:
    """Log with keyed topics and groups, served over HTTP."""

    def __init__(self, address: str, seed: int) -> None:
        host, _, port = address.rpartition(":")
        self.mode = StoreMode.UP
        self._random = random.Random(seed)
        self._changed = threading.Condition()
        self._partitions: dict[tuple[str, int], _Partition] = {}
        self._groups: dict[str, _Group] = {}
        self._server = Server((host, int(port)), self, numthreads=THREADS, max=THREADS)

    def start(self) -> None:
        """Serve on a thread of its own."""
        self._server.prepare()
        threading.Thread(target=self._server.serve, daemon=True).start()

    def stop(self) -> None:
        """Stop serving."""
        self._server.stop()

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write a record of the operator."""
        with self._changed:
            record = bytes([len(key)]) + key.encode() + value
            self._append(topic, 0, [record])
            self._changed.notify_all()

    def drop_history(self) -> None:
        """Drop all records but the newest of each key."""
        with self._changed:
            for partition in self._partitions.values():
                partition.first = partition.end
                partition.records = []

    def deal_anew(self) -> None:
        """Deal the partitions of all groups anew."""
        with self._changed:
            for group in self._groups.values():
                group.deal(sorted({topic for topic, _ in group.owners}))

    def __call__(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        """Answer one call."""
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length) if length else b""
        mode = self.mode
        status, answer = 503, b"{}"
        if mode is StoreMode.SILENT:
            time.sleep(SILENCE_SECONDS)
        elif mode is not StoreMode.BUSY:
            query = {k: v[0] for k, v in parse_qs(environ["QUERY_STRING"]).items()}
            status, answer = self._answer(environ["PATH_INFO"], query, body)
            if mode is StoreMode.LOSSY and self._random.random() < 0.4:
                time.sleep(SILENCE_SECONDS)
        start(f"{status} -", [("Content-Length", str(len(answer)))])
        return [answer]

    def _answer(
        self, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        if path == "/-/log-read":
            return self._read(query)
        with self._changed:
            match path:
                case "/-/log-append":
                    return self._take_append(query, body)
                case "/-/log-newest":
                    return self._list_newest(query)
                case "/-/log-join":
                    return self._join(msgspec.json.decode(body))
                case "/-/log-leave":
                    return self._leave(msgspec.json.decode(body))
                case "/-/log-owners":
                    return self._list_owners(query["group"])
        return 404, b"{}"

    def _find(self, topic: str, part: int) -> _Partition:
        return self._partitions.setdefault((topic, part), _Partition())

    def _append(self, topic: str, part: int, records: list[bytes]) -> tuple[int, int]:
        partition = self._find(topic, part)
        first = partition.end
        for record in records:
            key = record[1 : 1 + record[0]].decode()
            value = record[1 + record[0] :]
            if value:
                partition.newest[key] = (partition.end, value)
            else:
                partition.newest.pop(key, None)
            partition.records.append(record)
        return first, partition.end

    def _take_append(self, query: dict[str, str], body: bytes) -> tuple[int, bytes]:
        records = list(_split(body))
        topic, part = query["topic"], int(query["part"])
        if "producer" not in query:
            answer = self._append(topic, part, records)
            return self._confirm(answer)
        producer = self._find(topic, part).producers.setdefault(
            query["producer"], _Producer()
        )
        epoch = int(query["epoch"])
        if epoch < producer.epoch:
            return 409, b'{"reason":"fenced"}'
        if epoch > producer.epoch:
            producer.epoch, producer.next, producer.answers = epoch, None, {}
        if not records:
            return self._confirm(self._append(topic, part, []))
        sequence = int(query["sequence"])
        if sequence in producer.answers:
            return self._confirm(producer.answers[sequence])
        if producer.next is not None and sequence != producer.next:
            return 409, b'{"reason":"seq","sequence":%d}' % producer.next
        producer.next = sequence + 1
        answer = producer.answers[sequence] = self._append(topic, part, records)
        producer.answers.pop(sequence - REPEATED_APPENDS, None)
        return self._confirm(answer)

    def _confirm(self, answer: tuple[int, int]) -> tuple[int, bytes]:
        self._changed.notify_all()
        return 200, b'{"offset":%d,"end":%d}' % answer

    def _read(self, query: dict[str, str]) -> tuple[int, bytes]:
        start = int(query["from"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        with self._changed:
            partition = self._find(query["topic"], int(query["part"]))
            while start >= partition.end and self.mode is not StoreMode.BUSY:
                left = until - time.monotonic()
                if left <= 0:
                    break
                self._changed.wait(min(left, 0.2))
            if start < partition.first:
                return 410, b'{"first":%d}' % partition.first
            records = partition.records[start - partition.first :]
            end = partition.end
            first = partition.first
        packed = b"".join(_LENGTH.pack(len(record)) + record for record in records)
        return 200, _OFFSETS.pack(end, first) + packed

    def _list_newest(self, query: dict[str, str]) -> tuple[int, bytes]:
        partition = self._find(query["topic"], int(query["part"]))
        keys = sorted(k for k in partition.newest if k > query.get("depends_on", ""))
        items = [
            {
                "key": key,
                "value": base64.b64encode(partition.newest[key][1]).decode(),
                "offset": partition.newest[key][0],
            }
            for key in keys[:PAGE_ITEMS]
        ]
        more = len(keys) > PAGE_ITEMS
        page = {"items": items, "has_more": more, "end": partition.end}
        return 200, msgspec.json.encode(page)

    def _join(self, body: dict[str, Any]) -> tuple[int, bytes]:
        group = self._groups.setdefault(body["group"], _Group())
        member = body["member"]
        group.join(member, body["topics"], body["ttl_ms"] / 1000)
        parts = [[*slot, 0] for slot, name in group.owners.items() if name == member]
        reply = {"generation": group.generation, "parts": parts}
        return 200, msgspec.json.encode(reply)

    def _leave(self, body: dict[str, Any]) -> tuple[int, bytes]:
        group = self._groups.setdefault(body["group"], _Group())
        if group.members.pop(body["member"], None) is not None:
            group.deal(sorted({topic for topic, _ in group.owners}))
        return 200, b"{}"

    def _list_owners(self, name: str) -> tuple[int, bytes]:
        group = self._groups.setdefault(name, _Group())
        group.expire()
        rows = [[*slot, member, 0] for slot, member in group.owners.items()]
        return 200, msgspec.json.encode({"parts": rows})


def _split(body: bytes) -> Iterable[bytes]:
    position = 0
    while position < len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        yield body[position : position + length]
        position += length

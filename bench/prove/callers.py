"""Concurrent callers of all entries, which note every call and its answer."""

import json
import random
import threading
import time
import uuid
from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor

import urllib3

from bench.prove.history import Call

TIMEOUT_SECONDS = 6.0
# The entry answers within the timeout plus a margin of 5 s.
CLIENT_TIMEOUT_SECONDS = 13.0
MOST_REPEATS = 4
PAUSE_SECONDS = 0.05
CUSTOMERS = ("member-1", "member-2", "courier")


class Callers:
    """Threads that send lookups, reviews and photos until told to stop."""

    def __init__(self, entries: Mapping[str, str], seed: int, threads: int) -> None:
        self._entries = dict(entries)
        self._seed = seed
        self._count = threads
        self._stop = threading.Event()
        self._threads: list[threading.Thread] = []
        self._calls: list[Call] = []
        self._pool = urllib3.PoolManager(
            retries=False, maxsize=4 * threads, num_pools=len(entries)
        )
        self._helpers = ThreadPoolExecutor(2 * threads)

    def start(self) -> None:
        """Start to call."""
        for number in range(self._count):
            generator = random.Random(f"{self._seed}/caller/{number}")
            thread = threading.Thread(target=self._run, args=(generator, number))
            thread.start()
            self._threads.append(thread)

    def stop(self) -> list[Call]:
        """Stop calling, wait for the answers and return the calls."""
        self._stop.set()
        for thread in self._threads:
            thread.join()
        self._helpers.shutdown()
        return self._calls

    def _run(self, generator: random.Random, number: int) -> None:
        sequence = 0
        while not self._stop.is_set():
            sequence += 1
            service = generator.choice(("lookup", "lookup", "review", "photo"))
            body = f"{service}-{number}-{sequence}"
            customer = generator.choice(CUSTOMERS)
            if service == "lookup":
                self._send(body, service, customer, "", self._pick(generator))
            else:
                self._submit(generator, body, service, customer)
            self._stop.wait(generator.uniform(0, 2 * PAUSE_SECONDS))

    def _submit(
        self, generator: random.Random, body: str, service: str, customer: str
    ) -> None:
        """Send a key, and again after an unclear answer or out of caution."""
        key = build_uuid7()
        doubled = generator.random() < 0.2
        for _ in range(MOST_REPEATS):
            entries = [self._pick(generator) for _ in range(2 if doubled else 1)]
            answers = [
                self._helpers.submit(self._send, body, service, customer, key, entry)
                for entry in entries
            ]
            calls = [answer.result() for answer in answers]
            clear = all(call.ran == "yes" for call in calls)
            if clear and generator.random() < 0.9:
                return
            # A caller that gives up on a refusal shows whether the refusal was true.
            if all(call.ran == "no" for call in calls) and generator.random() < 0.5:
                return
            if self._stop.wait(generator.uniform(0, 1)):
                return

    def _pick(self, generator: random.Random) -> str:
        return generator.choice(sorted(self._entries))

    def _send(
        self, body: str, service: str, customer: str, key: str, entry: str
    ) -> Call:
        headers = {
            "Egretcrank-Customer": customer,
            "Egretcrank-Timeout": str(TIMEOUT_SECONDS),
            "Content-Type": "text/plain",
        }
        if key:
            headers["Idempotency-Key"] = key
        sent_at = time.monotonic()
        status, ran, kind, detail, answer, host = 0, "", "", "", "", ""
        try:
            reply = self._pool.request(
                "POST",
                f"http://{self._entries[entry]}/v1/services/{service}",
                body=body.encode(),
                headers=headers,
                timeout=urllib3.Timeout(connect=2.0, read=CLIENT_TIMEOUT_SECONDS),
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            ran, detail = "unsent", str(error)
        except urllib3.exceptions.HTTPError as error:
            detail = str(error)
        else:
            status, answer = reply.status, reply.data.decode(errors="replace")
            host = reply.headers.get("Egretcrank-Host", "")
            if host:
                ran = "yes"
            else:
                ran, kind, detail = _read_error(answer)
        call = Call(
            body=body,
            service=service,
            entry=entry,
            sent_at=sent_at,
            answered_at=time.monotonic(),
            key=key,
            customer=customer,
            status=status,
            ran=ran,
            kind=kind,
            detail=detail,
            answer=answer,
            host=host,
        )
        self._calls.append(call)
        return call


def _read_error(answer: str) -> tuple[str, str, str]:
    try:
        error = json.loads(answer)
        return error["ran"], error["kind"], error["detail"]
    except (ValueError, KeyError, TypeError):
        return "", "", f"malformed error {answer[:200]!r}"


def build_uuid7() -> str:
    """Return a UUIDv7 with the present time. Source: RFC 9562, 5.7."""
    value = time.time_ns() // 1_000_000 << 80 | 7 << 76 | 2 << 62
    value |= random.getrandbits(12) << 64 | random.getrandbits(62)
    return str(uuid.UUID(int=value))

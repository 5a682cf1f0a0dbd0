"""Open-loop load generator: one process that sends requests at random times.

Reads a plan as JSON from standard input and writes the samples as JSON to standard
output. The latency of a request counts from the time at which it was due, so a slow
server does not slow the arrivals down.
"""

import asyncio
import json
import random
import sys
import time
from collections import deque
from typing import Any, NamedTuple

LOST = 0
HEADER_END = b"\r\n\r\n"
DRAIN_SECONDS = 3.0


class Pending(NamedTuple):
    """A request that is due or in flight."""

    customer: int
    due: float
    data: bytes


class Pool:
    """Connections to one address, with the requests that wait for one."""

    def __init__(self, address: str, connections: int, samples: list[Any]) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._connections = connections
        self.idle: deque[Connection] = deque()
        self.queue: deque[Pending] = deque()
        self.samples = samples
        self._opening: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Open all connections."""
        await asyncio.gather(*(self.open_one() for _ in range(self._connections)))

    async def open_one(self) -> None:
        """Open one connection and use it."""
        try:
            _, connection = await asyncio.get_running_loop().create_connection(
                lambda: Connection(self), self._host, self._port
            )
        except OSError:
            return
        connection.take_next()

    def replace_one(self) -> None:
        """Open a connection in place of one that was lost."""
        task = asyncio.get_running_loop().create_task(self.open_one())
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    def send(self, pending: Pending) -> None:
        """Send a request on a free connection, or keep it until one is free."""
        if self.idle:
            self.idle.pop().send(pending)
        else:
            self.queue.append(pending)

    def record(self, pending: Pending, status: int) -> None:
        """Keep the sample of a request that ended."""
        now = time.time()
        self.samples.append((pending.customer, status, pending.due, now - pending.due))


class Connection(asyncio.Protocol):
    """One keep-alive connection with at most one request in flight."""

    def __init__(self, pool: Pool) -> None:
        self._pool = pool
        self._transport: asyncio.Transport | None = None
        self._pending: Pending | None = None
        self._buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        if isinstance(transport, asyncio.Transport):
            self._transport = transport

    def send(self, pending: Pending) -> None:
        """Send a request."""
        self._pending = pending
        if self._transport is not None:
            self._transport.write(pending.data)

    def take_next(self) -> None:
        """Send the next request that waits, or become idle."""
        if self._pool.queue:
            self.send(self._pool.queue.popleft())
        else:
            self._pool.idle.append(self)

    def data_received(self, data: bytes) -> None:
        """Collect an answer and end its request."""
        self._buffer += data
        end = self._buffer.find(HEADER_END)
        if end < 0:
            return
        head = self._buffer[:end].lower()
        mark = head.index(b"content-length:") + len(b"content-length:")
        length = int(head[mark:].split(b"\r\n", 1)[0])
        if len(self._buffer) < end + len(HEADER_END) + length:
            return
        self._buffer = b""
        pending, self._pending = self._pending, None
        if pending is not None:
            self._pool.record(pending, int(head[9:12]))
        if b"connection: close" in head and self._transport is not None:
            self._transport.close()
            return
        self.take_next()

    def connection_lost(self, error: Exception | None) -> None:
        """Record a lost request and replace the connection."""
        if self in self._pool.idle:
            self._pool.idle.remove(self)
        if self._pending is not None:
            self._pool.record(self._pending, LOST)
            self._pending = None
        self._pool.replace_one()


def build_request(path: str, customer: str, timeout_seconds: float) -> bytes:
    """Build a request with a small body."""
    body = b"example.net"
    return (
        f"POST {path} HTTP/1.1\r\nHost: bench\r\nEgretcrank-Customer: {customer}\r\n"
        f"Egretcrank-Timeout: {timeout_seconds}\r\nContent-Type: text/plain\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


async def generate(plan: dict[str, Any]) -> list[Any]:
    """Send the requests of a plan and return the samples."""
    generator = random.Random(plan["seed"])
    samples: list[Any] = []
    pools = [Pool(a, plan["connections"], samples) for a in plan["addresses"]]
    await asyncio.gather(*(pool.open() for pool in pools))
    requests = [
        build_request(plan["path"], name, plan["timeout"]) for name in plan["customers"]
    ]
    await asyncio.sleep(max(0.0, plan["start"] - time.time()))
    due = plan["start"]
    end = plan["start"] + plan["seconds"]
    sent = 0
    while (due := due + generator.expovariate(plan["rate"])) < end:
        delay = due - time.time()
        if delay > 0:
            await asyncio.sleep(delay)
        customer = generator.choices(range(len(requests)), plan["shares"])[0]
        pool = pools[sent % len(pools)] if plan["even"] else generator.choice(pools)
        pool.send(Pending(customer, due, requests[customer]))
        sent += 1
    limit = time.time() + DRAIN_SECONDS
    while len(samples) < sent and time.time() < limit:
        await asyncio.sleep(0.02)
    missing = sent - len(samples)
    samples.extend((0, LOST, end, DRAIN_SECONDS) for _ in range(missing))
    return samples


def main() -> None:
    """Run the plan on standard input."""
    plan = json.load(sys.stdin)
    json.dump(asyncio.run(generate(plan)), sys.stdout)


if __name__ == "__main__":
    main()

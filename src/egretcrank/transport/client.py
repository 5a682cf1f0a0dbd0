"""Client side of the inner protocol: peers, their connections and their probes."""

import asyncio
import logging
from datetime import timedelta
from uuid import uuid4

import pynng
from returns.result import Failure, Result, Success

from egretcrank.clock import Clock
from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.transport.server import MAX_MESSAGE_BYTES
from egretcrank.transport.traffic import Traffic
from egretcrank.wire.codec import decode, encode, parse_refusal
from egretcrank.wire.envelope import Delivery
from egretcrank.wire.messages import Message, Ping, Refused

CONNECT_TIMEOUT = timedelta(seconds=1)
PROBE_INTERVAL = timedelta(seconds=1)
PROBE_TIMEOUT = timedelta(seconds=1)
NEVER_RESEND_MS = -1

logger = logging.getLogger(__name__)


class Connection:
    """One pynng request socket to one address."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.in_flight = 0
        self.closed = False
        self._loop = asyncio.get_running_loop()
        self._connected = asyncio.Event()
        self._socket = pynng.Req0(
            recv_max_size=MAX_MESSAGE_BYTES, resend_time=NEVER_RESEND_MS
        )
        self._lost = asyncio.Event()
        self._socket.add_post_pipe_connect_cb(self._notice_connected)
        self._socket.add_post_pipe_remove_cb(self._notice_lost)

    async def open(self) -> bool:
        """Dial the address and tell whether a connection was made in time."""
        self._socket.dial(f"tcp://{self.address}", block=False)
        try:
            await asyncio.wait_for(
                self._connected.wait(), CONNECT_TIMEOUT.total_seconds()
            )
        except TimeoutError:
            return False
        return True

    def _notice_connected(self, _pipe: object) -> None:
        self._loop.call_soon_threadsafe(self._connected.set)

    def _notice_lost(self, _pipe: object) -> None:
        # A request socket sends unanswered calls again once it reconnects. A call may
        # have run already, so a lost connection is never used again.
        if not self._loop.is_closed():
            self._loop.call_soon_threadsafe(self._lost.set)

    @property
    def lost(self) -> bool:
        """Whether the connection was made and then closed."""
        return self._lost.is_set()

    async def exchange(self, data: bytes, timeout: timedelta) -> bytes | None:
        """Send a call and return the reply, or nothing on time-out or loss."""
        context = self._socket.new_context()
        self.in_flight += 1
        exchange = asyncio.create_task(self._send_and_receive(context, data))
        lost = asyncio.create_task(self._lost.wait())
        try:
            await asyncio.wait(
                {exchange, lost},
                timeout=timeout.total_seconds(),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if exchange.done() and exchange.exception() is None:
                return exchange.result()
            return None
        finally:
            exchange.cancel()
            lost.cancel()
            await asyncio.gather(exchange, lost, return_exceptions=True)
            context.close()
            # Counted until here, because the socket must close after its contexts.
            self.in_flight -= 1

    @staticmethod
    async def _send_and_receive(context: "pynng.Context", data: bytes) -> bytes:
        await context.asend(data)
        reply: bytes = await context.arecv()
        return reply

    def abandon(self) -> None:
        """Settle all calls in flight as lost."""
        self._lost.set()

    async def close(self) -> None:
        """Close the socket once no call uses it."""
        if self.closed:
            return
        self.closed = True
        self._lost.set()
        while self.in_flight:
            await asyncio.sleep(0)
        self._socket.close()


class Peer:
    """Calls to one address, over a connection that is replaced when it fails."""

    def __init__(
        self, name: str, address: str, clock: Clock, traffic: Traffic | None = None
    ) -> None:
        self._traffic = traffic or Traffic()
        self._name = name
        self._address = address
        self._clock = clock
        self._connection: Connection | None = None
        self._dialling = asyncio.Lock()
        self._heard_at = clock.monotonic()
        self._probe = asyncio.create_task(self._probe_connection())

    async def call(
        self, message: Message, timeout: timedelta
    ) -> Result[Message, Problem]:
        """Send a message and return the reply.

        Fails with ``unreachable`` if nothing was sent, with ``call_timeout`` if the
        message may have arrived, or with the problem that the peer replied.
        """
        connection = await self._connect()
        if connection is None:
            return Failure(
                Problem(ErrorKind.UNREACHABLE, f"no connection to {self._address}")
            )
        data = encode(message, uuid4().hex, self._name)
        self._traffic.count_sent(len(data))
        reply = await connection.exchange(data, timeout)
        if reply is None:
            return Failure(
                Problem(
                    ErrorKind.CALL_TIMEOUT,
                    f"no reply from {self._address} to {type(message).__name__}",
                )
            )
        self._traffic.count_received(len(reply))
        self._heard_at = self._clock.monotonic()
        match decode(reply):
            case Success(Delivery(Refused() as refusal, _, _)):
                return Failure(parse_refusal(refusal))
            case Success(Delivery(answer, _, _)):
                return Success(answer)
            case Failure(problem):
                return Failure(problem)
        raise AssertionError("unreachable")

    async def _connect(self) -> Connection | None:
        async with self._dialling:
            if self._connection is not None and not self._connection.lost:
                return self._connection
            await self._drop(self._connection)
            connection = Connection(self._address)
            if not await connection.open():
                await connection.close()
                return None
            self._connection = connection
            return connection

    async def _drop(self, connection: Connection | None) -> None:
        if connection is None:
            return
        if self._connection is connection:
            self._connection = None
        connection.abandon()
        await connection.close()

    async def _probe_connection(self) -> None:
        # TCP does not notice a peer whose connection was forgotten in between, so a
        # connection with calls in flight has to show traffic of its own.
        while True:
            await self._clock.sleep(PROBE_INTERVAL)
            connection = self._connection
            if connection is None or connection.lost or not connection.in_flight:
                continue
            if self._clock.monotonic() - self._heard_at < PROBE_INTERVAL:
                continue
            ping = encode(Ping(), uuid4().hex, self._name)
            if await connection.exchange(ping, PROBE_TIMEOUT) is not None:
                self._heard_at = self._clock.monotonic()
                continue
            logger.warning("connection is silent", extra={"address": self._address})
            await self._drop(connection)

    async def close(self) -> None:
        """Close the connection; calls in flight end as lost."""
        self._probe.cancel()
        await asyncio.gather(self._probe, return_exceptions=True)
        await self._drop(self._connection)


class Peers:
    """The peers of a process by address, created on first use."""

    def __init__(self, name: str, clock: Clock, traffic: Traffic | None = None) -> None:
        self._traffic = traffic or Traffic()
        self._name = name
        self._clock = clock
        self._peers: dict[str, Peer] = {}

    async def call(
        self, address: str, message: Message, timeout: timedelta
    ) -> Result[Message, Problem]:
        """Call the peer at ``address``; see ``Peer.call``."""
        peer = self._peers.get(address)
        if peer is None:
            peer = self._peers[address] = Peer(
                self._name, address, self._clock, self._traffic
            )
        return await peer.call(message, timeout)

    async def forget(self, addresses: set[str]) -> None:
        """Close the peers at addresses that no member uses any longer."""
        for address in addresses & self._peers.keys():
            await self._peers.pop(address).close()

    async def close(self) -> None:
        """Close all peers."""
        peers, self._peers = self._peers, {}
        await asyncio.gather(*(peer.close() for peer in peers.values()))

"""Client side of the internal request-reply protocol, with connection probing."""

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
RESEND_DISABLED_MS = -1

logger = logging.getLogger(__name__)


class Connection:
    """A pynng request socket that is connected to one address."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.in_flight = 0
        self.closed = False
        self._loop = asyncio.get_running_loop()
        self._connected = asyncio.Event()
        self._socket = pynng.Req0(
            recv_max_size=MAX_MESSAGE_BYTES, resend_time=RESEND_DISABLED_MS
        )
        self._lost = asyncio.Event()
        self._socket.add_post_pipe_connect_cb(self._on_connected)
        self._socket.add_post_pipe_remove_cb(self._on_disconnected)

    async def open(self) -> bool:
        """Dial the address and return whether it connected before the timeout."""
        self._socket.dial(f"tcp://{self.address}", block=False)
        try:
            await asyncio.wait_for(
                self._connected.wait(), CONNECT_TIMEOUT.total_seconds()
            )
        except TimeoutError:
            return False
        return True

    def _on_connected(self, _pipe: object) -> None:
        self._loop.call_soon_threadsafe(self._connected.set)

    def _on_disconnected(self, _pipe: object) -> None:
        # A request socket resends unanswered calls after it reconnects. As the peer may
        # have run them already, a lost connection is not reused.
        if not self._loop.is_closed():
            self._loop.call_soon_threadsafe(self._lost.set)

    @property
    def lost(self) -> bool:
        """Whether the connection was made and then closed."""
        return self._lost.is_set()

    async def request(self, data: bytes, timeout: timedelta) -> bytes | None:
        """Send a call and return the reply, or ``None`` on a timeout or disconnect."""
        context = self._socket.new_context()
        self.in_flight += 1
        request = asyncio.create_task(self._send_and_receive(context, data))
        lost = asyncio.create_task(self._lost.wait())
        try:
            await asyncio.wait(
                {request, lost},
                timeout=timeout.total_seconds(),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if request.done() and request.exception() is None:
                return request.result()
            return None
        finally:
            request.cancel()
            lost.cancel()
            await asyncio.gather(request, lost, return_exceptions=True)
            context.close()
            # Decremented only here, as the socket must be closed after its contexts.
            self.in_flight -= 1

    @staticmethod
    async def _send_and_receive(context: "pynng.Context", data: bytes) -> bytes:
        await context.asend(data)
        reply: bytes = await context.arecv()
        return reply

    def fail_pending_calls(self) -> None:
        """Complete all calls in flight without a reply."""
        self._lost.set()

    async def close(self) -> None:
        """Close the socket once no call uses it; idempotent."""
        if self.closed:
            return
        self.closed = True
        self._lost.set()
        while self.in_flight:
            await asyncio.sleep(0)
        self._socket.close()


class Peer:
    """Client for one address; replaces its connection when it fails."""

    def __init__(
        self, name: str, address: str, clock: Clock, traffic: Traffic | None = None
    ) -> None:
        self._traffic = traffic or Traffic()
        self._name = name
        self._address = address
        self._clock = clock
        self._connection: Connection | None = None
        self._dial_lock = asyncio.Lock()
        self._last_reply_at = clock.monotonic()
        self._probe_task = asyncio.create_task(self._probe_connection())

    async def call(
        self, message: Message, timeout: timedelta
    ) -> Result[Message, Problem]:
        """Send a message and return the reply.

        Fails with ``unreachable`` if nothing was sent, with ``call_timeout`` if the
        message may have arrived, or with the problem in the peer's reply.
        """
        connection = await self._connect()
        if connection is None:
            return Failure(
                Problem(ErrorKind.UNREACHABLE, f"no connection to {self._address}")
            )
        data = encode(message, uuid4().hex, self._name)
        self._traffic.count_sent(len(data))
        reply = await connection.request(data, timeout)
        if reply is None:
            return Failure(
                Problem(
                    ErrorKind.CALL_TIMEOUT,
                    f"no reply from {self._address} to {type(message).__name__}",
                )
            )
        self._traffic.count_received(len(reply))
        self._last_reply_at = self._clock.monotonic()
        match decode(reply):
            case Success(Delivery(Refused() as refusal, _, _)):
                return Failure(parse_refusal(refusal))
            case Success(Delivery(answer, _, _)):
                return Success(answer)
            case Failure(problem):
                return Failure(problem)
        raise AssertionError("unreachable")

    async def _connect(self) -> Connection | None:
        async with self._dial_lock:
            if self._connection is not None and not self._connection.lost:
                return self._connection
            await self._discard(self._connection)
            connection = Connection(self._address)
            if not await connection.open():
                await connection.close()
                return None
            self._connection = connection
            return connection

    async def _discard(self, connection: Connection | None) -> None:
        if connection is None:
            return
        if self._connection is connection:
            self._connection = None
        connection.fail_pending_calls()
        await connection.close()

    async def _probe_connection(self) -> None:
        # TCP does not detect that a device on the path has dropped the state of an idle
        # connection, so a connection with calls in flight is probed.
        while True:
            await self._clock.sleep(PROBE_INTERVAL)
            connection = self._connection
            if connection is None or connection.lost or not connection.in_flight:
                continue
            if self._clock.monotonic() - self._last_reply_at < PROBE_INTERVAL:
                continue
            ping = encode(Ping(), uuid4().hex, self._name)
            if await connection.request(ping, PROBE_TIMEOUT) is not None:
                self._last_reply_at = self._clock.monotonic()
                continue
            logger.warning("connection is silent", extra={"address": self._address})
            await self._discard(connection)

    async def close(self) -> None:
        """Close the connection; calls in flight end without a reply."""
        self._probe_task.cancel()
        await asyncio.gather(self._probe_task, return_exceptions=True)
        await self._discard(self._connection)


class Peers:
    """Peers of a process by address, created on first use."""

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
        """Close the peers at addresses that no member uses any more."""
        for address in addresses & self._peers.keys():
            await self._peers.pop(address).close()

    async def close(self) -> None:
        """Close all peers."""
        peers, self._peers = self._peers, {}
        await asyncio.gather(*(peer.close() for peer in peers.values()))

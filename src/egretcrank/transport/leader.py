"""Connections of agents and controllers to the controller that leads the cell."""

import logging
import threading
from collections.abc import Callable

import pynng
from returns.result import Failure, Success

from egretcrank.wire.envelope import Delivery
from egretcrank.wire.hosting import (
    HOSTING_CODEC,
    AppendAnswer,
    HostingMessage,
    HostOrders,
    LeaderMoved,
    LeaderStatus,
)

RECEIVE_TIMEOUT_MILLISECONDS = 500
SEND_TIMEOUT_MILLISECONDS = 100
MAX_MESSAGE_BYTES = 8 * 1024 * 1024

logger = logging.getLogger(__name__)

LeaderMessage = HostOrders | LeaderMoved | AppendAnswer | LeaderStatus


class _Connection:
    """Socket that the thread which receives from it opens, and alone closes.

    Closing a socket of nng 1.11 while a timed receive of another thread expires locks a
    destroyed mutex and aborts the process; without a time limit the receive may never
    return. The lock keeps a send from meeting the close.
    """

    def __init__(self, address: str, take: Callable[[LeaderMessage], None]) -> None:
        self._take = take
        self._lock = threading.Lock()
        self._closed = False
        self._retired = threading.Event()
        self._socket = pynng.Pair1(
            polyamorous=True,
            recv_timeout=RECEIVE_TIMEOUT_MILLISECONDS,
            send_timeout=SEND_TIMEOUT_MILLISECONDS,
            recv_max_size=MAX_MESSAGE_BYTES,
        )
        self._socket.dial(f"tcp://{address}", block=False)
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        receive_messages(self._socket, self._take, self._retired)
        with self._lock:
            self._closed = True
            self._socket.close()

    def send(self, data: bytes) -> bool:
        """Send a message; tell whether it may have arrived."""
        with self._lock:
            if self._closed:
                return False
            try:
                self._socket.send(data)
            except pynng.NNGException as error:
                logger.debug("message was not sent", extra={"error": str(error)})
                return False
            return True

    def retire(self) -> None:
        """Let the receiving thread close the socket, within its receive timeout."""
        self._retired.set()

    def join(self) -> None:
        """Wait until the socket is closed."""
        self._thread.join()


class LeaderLink:
    """One connection at a time; a new one is dialled when the peer is silent."""

    def __init__(self, name: str, take: Callable[[LeaderMessage], None]) -> None:
        self._name = name
        self._take = take
        self._connection: _Connection | None = None
        self.address = ""

    def connect(self, address: str) -> None:
        """Dial a controller over a fresh connection, without waiting for it."""
        former = self._connection
        self.address = address
        self._connection = _Connection(address, self._take)
        if former is not None:
            former.retire()

    def send(self, message: HostingMessage) -> bool:
        """Send a message; tell whether it may have arrived."""
        connection = self._connection
        if connection is None:
            return False
        return connection.send(HOSTING_CODEC.encode(message, "", self._name))

    def close(self) -> None:
        """Close the connection and wait for it."""
        if self._connection is not None:
            self._connection.retire()
            self._connection.join()
            self._connection = None


class AnnouncementReceiver:
    """Receives word of a new leader from the leader itself."""

    def __init__(self, address: str, take: Callable[[LeaderMessage], None]) -> None:
        self._take = take
        self._socket = pynng.Pull0(
            recv_timeout=RECEIVE_TIMEOUT_MILLISECONDS, recv_max_size=MAX_MESSAGE_BYTES
        )
        self._socket.listen(f"tcp://{address}")

    def run(self) -> None:
        """Receive until closed."""
        receive_messages(self._socket, self._take, threading.Event())


def receive_messages(
    socket: "pynng.Socket",
    take: Callable[[LeaderMessage], None],
    retired: threading.Event,
) -> None:
    """Hand messages on until the connection is retired."""
    while not retired.is_set():
        try:
            data = socket.recv()
        except pynng.Timeout:
            continue
        except pynng.NNGException as error:
            logger.warning("receive failed", extra={"error": str(error)})
            continue
        if retired.is_set():
            return
        try:
            _hand_on(data, take)
        except Exception:
            # The thread is the only one that receives from this peer.
            logger.exception("message failed")


def _hand_on(data: bytes, take: Callable[[LeaderMessage], None]) -> None:
    match HOSTING_CODEC.decode(data):
        case Success(
            Delivery(
                HostOrders() | LeaderMoved() | AppendAnswer() | LeaderStatus()
            ) as delivery
        ):
            take(delivery.message)
        case Success(Delivery(other)):
            kind = type(other).__name__
            logger.warning("message refused", extra={"message_kind": kind})
        case Failure(problem):
            logger.warning("message refused", extra={"detail": problem.detail})

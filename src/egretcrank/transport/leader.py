"""Connections of agents and controllers to the leading controller of the cell."""

import logging
import threading
from collections.abc import Callable

import pynng
from returns.result import Failure, Success

from egretcrank.wire.bounds import MAX_LOGGED_CHARACTERS, is_address
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
    """Socket that only its receiving thread closes.

    In nng 1.11, closing a socket while a receive of another thread times out locks a
    destroyed mutex and aborts the process. A receive without a timeout may never
    return. The lock keeps a send from running concurrently with the close.
    """

    def __init__(self, address: str, handler: Callable[[LeaderMessage], None]) -> None:
        self._handler = handler
        self._lock = threading.Lock()
        self._closed = False
        self._closing = threading.Event()
        self._socket = pynng.Pair1(
            polyamorous=True,
            recv_timeout=RECEIVE_TIMEOUT_MILLISECONDS,
            send_timeout=SEND_TIMEOUT_MILLISECONDS,
            recv_max_size=MAX_MESSAGE_BYTES,
        )
        try:
            self._socket.dial(f"tcp://{address}", block=False)
        except Exception:
            self._socket.close()
            raise
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        receive_messages(self._socket, self._handler, self._closing)
        with self._lock:
            self._closed = True
            self._socket.close()

    def send(self, data: bytes) -> bool:
        """Send a message and return whether it may have arrived."""
        with self._lock:
            if self._closed:
                return False
            try:
                self._socket.send(data)
            except pynng.NNGException as error:
                logger.debug(
                    "sending to the leader failed", extra={"error": str(error)}
                )
                return False
            return True

    def request_close(self) -> None:
        """Let the receiving thread close the socket after its current receive.

        This takes at most the receive timeout.
        """
        self._closing.set()

    def join(self) -> None:
        """Wait until the socket is closed."""
        self._thread.join()


class LeaderLink:
    """Sends to the leader over one connection, which ``connect`` replaces.

    Its user connects again when the leader moves or does not respond.
    """

    def __init__(self, name: str, handler: Callable[[LeaderMessage], None]) -> None:
        self._name = name
        self._handler = handler
        self._connection: _Connection | None = None
        self.address = ""

    def connect(self, address: str) -> None:
        """Dial a controller over a new connection, without waiting for it."""
        previous = self._connection
        self.address = address
        self._connection = _Connection(address, self._handler)
        if previous is not None:
            previous.request_close()

    def send(self, message: HostingMessage) -> bool:
        """Send a message and return whether it may have arrived."""
        connection = self._connection
        if connection is None:
            return False
        return connection.send(HOSTING_CODEC.encode(message, "", self._name))

    def close(self) -> None:
        """Close the connection and wait until its socket is closed."""
        if self._connection is not None:
            self._connection.request_close()
            self._connection.join()
            self._connection = None


class AnnouncementReceiver:
    """Receives announcements of a new leader, sent by the leader itself."""

    def __init__(self, address: str, handler: Callable[[LeaderMessage], None]) -> None:
        self._handler = handler
        self._socket = pynng.Pull0(
            recv_timeout=RECEIVE_TIMEOUT_MILLISECONDS, recv_max_size=MAX_MESSAGE_BYTES
        )
        self._socket.listen(f"tcp://{address}")

    def run(self) -> None:
        """Receive announcements until the process ends."""
        receive_messages(self._socket, self._handler, threading.Event())


def receive_messages(
    socket: "pynng.Socket",
    handler: Callable[[LeaderMessage], None],
    closing: threading.Event,
) -> None:
    """Pass received messages to ``handler`` until ``closing`` is set."""
    while not closing.is_set():
        try:
            data = socket.recv()
        except pynng.Timeout:
            continue
        except pynng.NNGException as error:
            logger.warning("receive failed", extra={"error": str(error)})
            continue
        if closing.is_set():
            return
        try:
            _dispatch(data, handler)
        except Exception:
            # No other thread receives from this peer, so the loop has to continue.
            logger.exception("message failed")


def _dispatch(data: bytes, handler: Callable[[LeaderMessage], None]) -> None:
    match HOSTING_CODEC.decode(data):
        case Success(Delivery(LeaderMoved(_, address))) if not is_address(address):
            logger.warning(
                "message refused",
                extra={
                    "message_kind": LeaderMoved.__name__,
                    "detail": f"address {address[:MAX_LOGGED_CHARACTERS]!r} is invalid",
                    "expected": "a host and a port from 1 to 65535",
                },
            )
        case Success(
            Delivery(
                HostOrders() | LeaderMoved() | AppendAnswer() | LeaderStatus()
            ) as delivery
        ):
            handler(delivery.message)
        case Success(Delivery(other)):
            kind = type(other).__name__
            logger.warning("message refused", extra={"message_kind": kind})
        case Failure(problem):
            logger.warning("message refused", extra={"detail": problem.detail})

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
)

RECEIVE_TIMEOUT_MILLISECONDS = 500
SEND_TIMEOUT_MILLISECONDS = 100
MAX_MESSAGE_BYTES = 8 * 1024 * 1024

logger = logging.getLogger(__name__)

LeaderMessage = HostOrders | LeaderMoved | AppendAnswer


class LeaderLink:
    """One connection at a time; a new one is dialled when the peer is silent."""

    def __init__(self, name: str, take: Callable[[LeaderMessage], None]) -> None:
        self._name = name
        self._take = take
        self._socket: pynng.Pair1 | None = None
        self.address = ""

    def connect(self, address: str) -> None:
        """Dial a controller over a fresh connection, without waiting for it."""
        self.close()
        self.address = address
        socket = pynng.Pair1(
            polyamorous=True,
            recv_timeout=RECEIVE_TIMEOUT_MILLISECONDS,
            send_timeout=SEND_TIMEOUT_MILLISECONDS,
            recv_max_size=MAX_MESSAGE_BYTES,
        )
        socket.dial(f"tcp://{address}", block=False)
        self._socket = socket
        threading.Thread(
            target=receive_messages, args=(socket, self._take), daemon=True
        ).start()

    def send(self, message: HostingMessage) -> bool:
        """Send a message; tell whether it may have arrived."""
        if self._socket is None:
            return False
        try:
            self._socket.send(HOSTING_CODEC.encode(message, "", self._name))
        except pynng.NNGException as error:
            logger.debug("message was not sent", extra={"error": str(error)})
            return False
        return True

    def close(self) -> None:
        """Close the connection."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None


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
        receive_messages(self._socket, self._take)


def receive_messages(
    socket: "pynng.Socket", take: Callable[[LeaderMessage], None]
) -> None:
    """Hand messages on until the socket is closed."""
    while True:
        try:
            data = socket.recv()
        except pynng.Timeout:
            continue
        except pynng.Closed:
            return
        except pynng.NNGException as error:
            logger.warning("receive failed", extra={"error": str(error)})
            continue
        match HOSTING_CODEC.decode(data):
            case Success(
                Delivery(HostOrders() | LeaderMoved() | AppendAnswer() as message)
            ):
                take(message)
            case Success(Delivery(other)):
                kind = type(other).__name__
                logger.warning("message refused", extra={"message_kind": kind})
            case Failure(problem):
                logger.warning("message refused", extra={"detail": problem.detail})

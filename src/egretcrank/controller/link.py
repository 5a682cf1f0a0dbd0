"""Connections of a controller to the agents of its hosts and to other controllers."""

import logging
import time
from collections.abc import Callable
from functools import partial

import pynng
from returns.result import Failure, Success

from egretcrank.wire.envelope import Delivery
from egretcrank.wire.hosting import (
    HOSTING_CODEC,
    AppendAnswer,
    AppendRequest,
    HostingMessage,
    HostReport,
    LeaderProbe,
    LeaderStatus,
)

RECEIVE_TIMEOUT_MILLISECONDS = 500
SEND_TIMEOUT_MILLISECONDS = 200
SEND_LINGER_SECONDS = 0.05
MAX_MESSAGE_BYTES = 8 * 1024 * 1024

# Called with whether a record is on the log.
Answer = Callable[[bool], None]

logger = logging.getLogger(__name__)


class PeerLink:
    """Listens for agents and other controllers.

    Each host is answered over its newest connection, each other request over its own.
    """

    def __init__(
        self,
        address: str,
        name: str,
        take: Callable[[HostReport], None],
        append: Callable[[AppendRequest, Answer], None],
        accepts: Callable[[], bool],
    ) -> None:
        self._name = name
        self._take = take
        self._append = append
        self._accepts = accepts
        self._socket = pynng.Pair1(
            polyamorous=True,
            send_timeout=SEND_TIMEOUT_MILLISECONDS,
            recv_timeout=RECEIVE_TIMEOUT_MILLISECONDS,
            recv_max_size=MAX_MESSAGE_BYTES,
        )
        self._socket.listen(f"tcp://{address}")
        self._pipes: dict[str, pynng.Pipe] = {}
        self._closed = False

    def run(self) -> None:
        """Receive reports until closed, then close the socket.

        Closing it on another thread while a receive expires aborts the process.
        """
        while not self._closed:
            try:
                message = self._socket.recv_msg()
            except pynng.Timeout:
                continue
            except pynng.NNGException as error:
                logger.warning("receive failed", extra={"error": str(error)})
                continue
            match HOSTING_CODEC.decode(message.bytes):
                case Success(Delivery(HostReport() as report)):
                    self._pipes[report.host] = message.pipe
                    self._take(report)
                case Success(Delivery(AppendRequest() as request)):
                    self._append(
                        request, partial(self._answer, message.pipe, request.number)
                    )
                case Success(Delivery(LeaderProbe(number))):
                    status = LeaderStatus(number, self._accepts())
                    self._reply(message.pipe, status)
                case Success(Delivery(other)):
                    kind = type(other).__name__
                    logger.warning("message refused", extra={"message_kind": kind})
                case Failure(problem):
                    logger.warning("message refused", extra={"detail": problem.detail})
        self._socket.close()

    def send(self, host: str, message: HostingMessage) -> None:
        """Send a message; a lost one is sent again with a later report."""
        pipe = self._pipes.get(host)
        if pipe is None:
            return
        try:
            pipe.send(HOSTING_CODEC.encode(message, "", self._name))
        except pynng.NNGException as error:
            self._pipes.pop(host, None)
            logger.warning("send failed", extra={"host": host, "error": str(error)})

    def _answer(self, pipe: pynng.Pipe, number: int, stored: bool) -> None:
        self._reply(pipe, AppendAnswer(number, stored))

    def _reply(self, pipe: pynng.Pipe, message: HostingMessage) -> None:
        try:
            pipe.send(HOSTING_CODEC.encode(message, "", self._name))
        except pynng.NNGException as error:
            logger.info("answer was not sent", extra={"error": str(error)})

    def close(self) -> None:
        """Let the receiving thread close all connections."""
        self._closed = True


def announce_leader(address: str, message: HostingMessage, name: str) -> bool:
    """Tell one agent, over a connection of its own, which controller leads."""
    try:
        with pynng.Push0(send_timeout=SEND_TIMEOUT_MILLISECONDS) as socket:
            socket.dial(f"tcp://{address}", block=False)
            socket.send(HOSTING_CODEC.encode(message, "", name))
            # Closing a socket drops what it has not sent yet.
            time.sleep(SEND_LINGER_SECONDS)
            return True
    except pynng.NNGException as error:
        logger.info(
            "agent not reached", extra={"address": address, "error": str(error)}
        )
        return False

"""Messaging between a controller, the agents of its hosts and other controllers."""

import logging
import time
from collections.abc import Callable
from functools import partial

import pynng
from returns.result import Failure, Success

from egretcrank.wire.bounds import MAX_LOGGED_CHARACTERS
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
# Keys of records have up to 255 bytes, and that of a host begins with two others.
MAX_HOST_NAME_BYTES = 253

# Called with True if the record is in the log, and with False if it may not be.
AnswerCallback = Callable[[bool], None]

logger = logging.getLogger(__name__)


class PeerLink:
    """Listens for agents and other controllers.

    Messages to a host use the connection of its latest report; requests are answered
    over the connection on which they arrived.
    """

    def __init__(
        self,
        address: str,
        name: str,
        on_report: Callable[[HostReport], None],
        on_append_request: Callable[[AppendRequest, AnswerCallback], None],
        is_accepting: Callable[[], bool],
    ) -> None:
        self._name = name
        self._on_report = on_report
        self._on_append_request = on_append_request
        self._is_accepting = is_accepting
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
        """Receive messages until closed, then close the socket.

        The socket is closed on this thread, because closing it on another thread while
        a receive times out aborts the process.
        """
        while not self._closed:
            try:
                message = self._socket.recv_msg()
            except pynng.Timeout:
                continue
            except pynng.NNGException as error:
                logger.warning("receive failed", extra={"error": str(error)})
                continue
            try:
                self._dispatch(message)
            except Exception:
                # As no other thread receives from hosts and controllers.
                logger.exception("message failed")
        self._socket.close()

    def _dispatch(self, message: pynng.Message) -> None:
        match HOSTING_CODEC.decode(message.bytes):
            case Success(Delivery(HostReport(host))) if not _is_host_name(host):
                logger.warning(
                    "message refused",
                    extra={
                        "detail": f"host name {host[:MAX_LOGGED_CHARACTERS]!r}",
                        "expected": f"1 to {MAX_HOST_NAME_BYTES} bytes",
                    },
                )
            case Success(Delivery(HostReport() as report)):
                self._pipes[report.host] = message.pipe
                self._on_report(report)
            case Success(Delivery(AppendRequest() as request)):
                self._on_append_request(
                    request,
                    partial(self._send_append_answer, message.pipe, request.number),
                )
            case Success(Delivery(LeaderProbe(number))):
                status = LeaderStatus(number, self._is_accepting())
                self._reply(message.pipe, status)
            case Success(Delivery(other)):
                kind = type(other).__name__
                logger.warning("message refused", extra={"message_kind": kind})
            case Failure(problem):
                logger.warning("message refused", extra={"detail": problem.detail})

    def send(self, host: str, message: HostingMessage) -> None:
        """Send a message to a host; a lost message is resent after a later report."""
        pipe = self._pipes.get(host)
        if pipe is None:
            return
        try:
            pipe.send(HOSTING_CODEC.encode(message, "", self._name))
        except pynng.NNGException as error:
            self._pipes.pop(host, None)
            logger.warning(
                "failed to send a message to a host",
                extra={"host": host, "error": str(error)},
            )
        except Exception:
            # The messages to the other hosts follow on the same thread.
            logger.exception("message cannot be encoded", extra={"host": host})

    def _send_append_answer(self, pipe: pynng.Pipe, number: int, stored: bool) -> None:
        self._reply(pipe, AppendAnswer(number, stored))

    def _reply(self, pipe: pynng.Pipe, message: HostingMessage) -> None:
        try:
            pipe.send(HOSTING_CODEC.encode(message, "", self._name))
        except pynng.NNGException as error:
            logger.info("failed to send a reply", extra={"error": str(error)})

    def close(self) -> None:
        """Make the receiving thread close all connections and return."""
        self._closed = True


def _is_host_name(name: str) -> bool:
    return 0 < len(name.encode()) <= MAX_HOST_NAME_BYTES


def announce_leader(address: str, message: HostingMessage, name: str) -> bool:
    """Tell one agent over a temporary connection which controller leads.

    Returns whether the message was sent; delivery is not confirmed.
    """
    try:
        with pynng.Push0(send_timeout=SEND_TIMEOUT_MILLISECONDS) as socket:
            socket.dial(f"tcp://{address}", block=False)
            socket.send(HOSTING_CODEC.encode(message, "", name))
            # Closing the socket would discard a message that is still queued.
            time.sleep(SEND_LINGER_SECONDS)
            return True
    except pynng.NNGException as error:
        logger.info(
            "failed to send an announcement to an agent",
            extra={"address": address, "error": str(error)},
        )
        return False

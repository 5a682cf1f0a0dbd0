"""Server side of the internal protocol, with one asyncio task per pynng context."""

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Awaitable, Callable

import pynng
from returns.result import Failure, Success

from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.transport.traffic import Traffic
from egretcrank.wire.codec import build_refusal, decode, encode
from egretcrank.wire.envelope import Delivery
from egretcrank.wire.messages import Acknowledged, Message, Ping

MAX_MESSAGE_BYTES = 8 * 1024 * 1024
MAX_REMEMBERED_CALLS = 4096

Handler = Callable[[Message, str], Awaitable[Message]]

logger = logging.getLogger(__name__)


class Server:
    """Listens on one address and replies to each call with the handler's result.

    At most ``contexts`` calls are handled at the same time.
    """

    def __init__(
        self,
        name: str,
        address: str,
        contexts: int,
        handler: Handler,
        traffic: Traffic | None = None,
    ) -> None:
        self._traffic = traffic or Traffic()
        self._name = name
        self._handler = handler
        self._socket = pynng.Rep0(recv_max_size=MAX_MESSAGE_BYTES)
        self._socket.listen(f"tcp://{address}")
        self._recent_call_ids: OrderedDict[str, None] = OrderedDict()
        self._busy = 0
        self._closing = False
        self._contexts = [self._socket.new_context() for _ in range(contexts)]
        self._tasks = [asyncio.create_task(self._serve(c)) for c in self._contexts]

    @property
    def busy(self) -> int:
        """Number of calls in progress."""
        return self._busy

    async def _serve(self, context: "pynng.Context") -> None:
        while not self._closing:
            try:
                data = await context.arecv()
                self._traffic.count_received(len(data))
            except pynng.Closed:
                return
            except pynng.NNGException as error:
                logger.warning("receive failed", extra={"error": str(error)})
                continue
            self._busy += 1
            try:
                reply, call_id = await self._answer(data)
                encoded = self._encode(reply, call_id)
                await context.asend(encoded)
                self._traffic.count_sent(len(encoded))
            except pynng.Closed:
                return
            except pynng.NNGException as error:
                logger.warning("reply failed", extra={"error": str(error)})
            except Exception:
                # As this task serves its context until the server closes.
                logger.exception("call failed")
            finally:
                self._busy -= 1

    def _encode(self, reply: Message, call_id: str) -> bytes:
        try:
            return encode(reply, call_id, self._name)
        except Exception:
            kind = type(reply).__name__
            logger.exception("reply cannot be encoded", extra={"message_kind": kind})
            problem = Problem(ErrorKind.INTERNAL, f"{kind} cannot be encoded")
            return encode(build_refusal(problem), call_id, self._name)

    async def _answer(self, data: bytes) -> tuple[Message, str]:
        match decode(data):
            case Success(Delivery(message, call_id, sent_by)):
                return await self._handle(message, call_id, sent_by), call_id
            case Failure(problem):
                logger.warning("message refused", extra={"problem": problem.detail})
                return build_refusal(problem), ""
        raise AssertionError("unreachable")

    async def _handle(self, message: Message, call_id: str, sent_by: str) -> Message:
        if isinstance(message, Ping):
            return Acknowledged()
        if not self._register_call(call_id):
            # A request socket may resend a call after it reconnects.
            return build_refusal(
                Problem(ErrorKind.DUPLICATE_CALL, f"call {call_id} was received before")
            )
        try:
            return await self._handler(message, sent_by)
        except Exception:
            logger.exception(
                "handler failed", extra={"message_kind": type(message).__name__}
            )
            return build_refusal(
                Problem(ErrorKind.INTERNAL, f"handling {type(message).__name__} failed")
            )

    def _register_call(self, call_id: str) -> bool:
        if call_id in self._recent_call_ids:
            return False
        self._recent_call_ids[call_id] = None
        if len(self._recent_call_ids) > MAX_REMEMBERED_CALLS:
            self._recent_call_ids.popitem(last=False)
        return True

    async def close(self) -> None:
        """Stop serving; closes contexts before their socket, as pynng requires."""
        self._closing = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for context in self._contexts:
            context.close()
        self._socket.close()

"""Exchange of folded states between processes.

A process that starts while the log is down, or after records were dropped, takes the
state of a peer.
"""

from collections.abc import Callable, Mapping, Sequence
from datetime import timedelta

from returns.result import Success

from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.stream.reader import StreamReader
from egretcrank.stream.snapshots import FoldedState
from egretcrank.transport.client import Peers
from egretcrank.wire.codec import build_refusal
from egretcrank.wire.messages import FetchState, Message, StateReply

FETCH_TIMEOUT = timedelta(seconds=2)
# Enough to find a peer that is current, without asking every member.
MAX_ASKED = 5


class StateExchange:
    """Asks peers for states, and answers them."""

    def __init__(
        self, peers: Peers, list_addresses: Callable[[], Sequence[str]]
    ) -> None:
        self._peers = peers
        self._list_addresses = list_addresses

    async def fetch(self, stream: str) -> FoldedState | None:
        """Return the newest state of a stream among a few peers, if one has any."""
        newest: FoldedState | None = None
        for address in self._list_addresses()[:MAX_ASKED]:
            reply = await self._peers.call(address, FetchState(stream), FETCH_TIMEOUT)
            match reply:
                case Success(StateReply(_, through, digest, state)):
                    if newest is None or through > newest.through:
                        newest = FoldedState(through, digest, state)
        return newest


def answer_fetch(message: FetchState, readers: Mapping[str, StreamReader]) -> Message:
    """Answer a peer that asks for the state of a stream."""
    reader = readers.get(message.stream)
    # A starting process takes the state for current while the log is down.
    if reader is None or not reader.position.ready:
        detail = f"no state of stream {message.stream!r} here"
        return build_refusal(Problem(ErrorKind.NOT_FOUND, detail, "stream"))
    state = reader.build_state()
    return StateReply(message.stream, state.through, state.digest, state.data)

"""Transfer of stream states between processes.

A process that starts during a log outage, or finds that records were dropped before it
read them, loads the state of a peer.
"""

from collections.abc import Callable, Mapping, Sequence
from datetime import timedelta

from returns.result import Success

from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.stream.reader import StreamReader
from egretcrank.stream.snapshots import StreamState
from egretcrank.transport.client import Peers
from egretcrank.wire.codec import build_refusal
from egretcrank.wire.messages import FetchState, Message, StateReply

FETCH_TIMEOUT = timedelta(seconds=2)
# Enough to find an up-to-date peer without querying every member.
MAX_PEERS_QUERIED = 5


class StateExchange:
    """Fetches stream states from peers."""

    def __init__(
        self, peers: Peers, list_addresses: Callable[[], Sequence[str]]
    ) -> None:
        self._peers = peers
        self._list_addresses = list_addresses

    async def fetch(self, stream: str) -> StreamState | None:
        """Return the newest state of a stream that a few peers have, or ``None``.

        At most ``MAX_PEERS_QUERIED`` peers are queried.
        """
        newest: StreamState | None = None
        for address in self._list_addresses()[:MAX_PEERS_QUERIED]:
            reply = await self._peers.call(address, FetchState(stream), FETCH_TIMEOUT)
            match reply:
                case Success(StateReply(_, through, digest, state)):
                    if newest is None or through > newest.through:
                        newest = StreamState(through, digest, state)
        return newest


def answer_fetch(message: FetchState, readers: Mapping[str, StreamReader]) -> Message:
    """Build the reply to a peer that requests the state of a stream."""
    reader = readers.get(message.stream)
    # A process that starts during a log outage treats the state as current, so a state
    # that is not ready must not be sent.
    if reader is None or not reader.position.ready:
        detail = f"no state of stream {message.stream!r} here"
        return build_refusal(Problem(ErrorKind.NOT_FOUND, detail, "stream"))
    state = reader.build_state()
    return StateReply(message.stream, state.through, state.digest, state.data)

"""Buffered reading and writing of a connection.

cheroot's own classes are built on the pure Python variant of ``io``, which took about a
third of the processor time that an entry spent on a request.
"""

import socket
from typing import Any

RECEIVE_BYTES = 65536


class SocketReader:
    """Reads lines and bodies; ``has_data`` tells of bytes that were received early."""

    def __init__(self, connection: socket.socket) -> None:
        self._socket = connection
        self._buffer = b""
        self._position = 0
        self.bytes_read = 0
        self.closed = False

    def has_data(self) -> bool:
        """Tell whether received bytes were not read yet."""
        return self._position < len(self._buffer)

    def _receive(self) -> bool:
        data = self._socket.recv(RECEIVE_BYTES)
        self._buffer = self._buffer[self._position :] + data
        self._position = 0
        return bool(data)

    def _take(self, end: int) -> bytes:
        data = self._buffer[self._position : end]
        self._position += len(data)
        self.bytes_read += len(data)
        return data

    def readline(self, size: int | None = -1) -> bytes:
        """Return a line with its end, or ``size`` bytes of it, or what was sent."""
        limit = size if size is not None and size >= 0 else None
        while True:
            end = self._buffer.find(b"\n", self._position) + 1
            available = len(self._buffer) - self._position
            if limit is not None and (
                available >= limit and (not end or end - self._position > limit)
            ):
                return self._take(self._position + limit)
            if end:
                return self._take(end)
            if not self._receive():
                return self._take(len(self._buffer))

    def read(self, size: int | None = -1) -> bytes:
        """Return ``size`` bytes, or less if the sender ended before."""
        if size is None or size < 0:
            while self._receive():
                pass
            return self._take(len(self._buffer))
        buffered = self._take(min(len(self._buffer), self._position + size))
        if len(buffered) == size:
            return buffered
        parts = [buffered]
        missing = size - len(buffered)
        while missing:
            data = self._socket.recv(min(missing, RECEIVE_BYTES))
            if not data:
                break
            parts.append(data)
            missing -= len(data)
            self.bytes_read += len(data)
        return b"".join(parts)

    def close(self) -> None:
        """Forget what was received."""
        self.closed = True
        self._buffer = b""
        self._position = 0


class SocketWriter:
    """Collects what is written until it is flushed, so an answer is one segment."""

    def __init__(self, connection: socket.socket) -> None:
        self._socket = connection
        self._parts: list[bytes] = []
        self.bytes_written = 0
        self.closed = False

    def write(self, data: bytes) -> int:
        """Keep data for the next flush."""
        self._parts.append(bytes(data))
        self.bytes_written += len(data)
        return len(data)

    def flush(self) -> None:
        """Send what was written."""
        if self._parts:
            data = b"".join(self._parts)
            self._parts.clear()
            self._socket.sendall(data)

    def close(self) -> None:
        """Drop what was not flushed; the socket is closed by its connection."""
        self.closed = True
        self._parts.clear()


def make_file(connection: socket.socket, mode: str = "r", _size: int = 0) -> Any:
    """Return the reader or the writer of a connection."""
    return SocketReader(connection) if "r" in mode else SocketWriter(connection)

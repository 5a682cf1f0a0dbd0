"""Buffered readers and writers of connections, in place of those of cheroot.

cheroot's classes derive from the pure Python implementation of ``io``, which used about
a third of the processor time that an entry spent on a request.
"""

import socket
from typing import Any

RECEIVE_CHUNK_BYTES = 65536


class SocketReader:
    """Buffered reader of a connection with the interface that cheroot expects."""

    def __init__(self, connection: socket.socket) -> None:
        self._socket = connection
        self._buffer = b""
        self._position = 0
        self.bytes_read = 0
        self.closed = False

    def has_data(self) -> bool:
        """Tell whether the buffer has bytes that have not been read."""
        return self._position < len(self._buffer)

    def _receive(self) -> bool:
        data = self._socket.recv(RECEIVE_CHUNK_BYTES)
        self._buffer = self._buffer[self._position :] + data
        self._position = 0
        return bool(data)

    def _consume(self, end: int) -> bytes:
        data = self._buffer[self._position : end]
        self._position += len(data)
        self.bytes_read += len(data)
        return data

    def readline(self, size: int | None = -1) -> bytes:
        """Return a line including its newline, but at most ``size`` bytes.

        The line is incomplete if the peer closes the connection before the newline.
        """
        limit = size if size is not None and size >= 0 else None
        while True:
            end = self._buffer.find(b"\n", self._position) + 1
            available = len(self._buffer) - self._position
            if limit is not None and (
                available >= limit and (not end or end - self._position > limit)
            ):
                return self._consume(self._position + limit)
            if end:
                return self._consume(end)
            if not self._receive():
                return self._consume(len(self._buffer))

    def read(self, size: int | None = -1) -> bytes:
        """Return ``size`` bytes, or fewer if the peer closes the connection.

        Without a size, or with a negative one, read until the peer closes.
        """
        if size is None or size < 0:
            while self._receive():
                pass
            return self._consume(len(self._buffer))
        buffered = self._consume(min(len(self._buffer), self._position + size))
        if len(buffered) == size:
            return buffered
        chunks = [buffered]
        missing = size - len(buffered)
        while missing:
            data = self._socket.recv(min(missing, RECEIVE_CHUNK_BYTES))
            if not data:
                break
            chunks.append(data)
            missing -= len(data)
            self.bytes_read += len(data)
        return b"".join(chunks)

    def close(self) -> None:
        """Discard the buffer."""
        self.closed = True
        self._buffer = b""
        self._position = 0


class SocketWriter:
    """Buffers written data until ``flush``, so that a response needs one send call."""

    def __init__(self, connection: socket.socket) -> None:
        self._socket = connection
        self._chunks: list[bytes] = []
        self.bytes_written = 0
        self.closed = False

    def write(self, data: bytes) -> int:
        """Buffer data until the next flush."""
        self._chunks.append(bytes(data))
        self.bytes_written += len(data)
        return len(data)

    def flush(self) -> None:
        """Send the buffered data."""
        if self._chunks:
            data = b"".join(self._chunks)
            self._chunks.clear()
            self._socket.sendall(data)

    def close(self) -> None:
        """Discard unflushed data; the connection closes the socket itself."""
        self.closed = True
        self._chunks.clear()


def make_file(connection: socket.socket, mode: str = "r", _size: int = 0) -> Any:
    """Return a reader or writer of a connection; replaces cheroot's ``MakeFile``."""
    return SocketReader(connection) if "r" in mode else SocketWriter(connection)

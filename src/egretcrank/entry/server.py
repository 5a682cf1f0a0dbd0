"""HTTP server of an entry: error responses, receive timeouts and connections.

Adapts cheroot's server, which runs the WSGI application.
"""

import logging
import socket
import threading
import time
from typing import Any

import msgspec
from cheroot.server import HTTPConnection, HTTPRequest
from cheroot.wsgi import Gateway_10
from cheroot.wsgi import Server as WsgiServer

from egretcrank.entry.sockets import make_file
from egretcrank.errors.answers import ANSWERS, build_error_body
from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.settings.schema import EntrySettings

# Callers keep about 60 connections to each of 11 hosts open; cheroot's default is 10.
MAX_KEEP_ALIVE_CONNECTIONS = 4096
MAX_HEADER_BYTES = 65536
# cheroot counts the chunk size lines of a chunked body as part of the body.
CHUNK_FRAMING_BYTES = 65536
RECEIVE_TIMEOUT_SECONDS = 10.0
REJECTED_BODY_TIMEOUT_SECONDS = 0.25
SWEEP_INTERVAL_SECONDS = 0.1
IDLE_TIMEOUT_SECONDS = 30
# After a rejected request, a remaining body of up to this size is read and discarded,
# so that the connection can be kept open.
MAX_DISCARDED_BYTES = 65536

_ERROR_KINDS = {
    "408": ErrorKind.BAD_REQUEST,
    "413": ErrorKind.BODY_TOO_LARGE,
    "414": ErrorKind.BAD_REQUEST,
    "500": ErrorKind.INTERNAL,
    "505": ErrorKind.BAD_REQUEST,
}

logger = logging.getLogger(__name__)


class ReceiveTimeouts:
    """Limits the total time for receiving a request, per connection.

    cheroot limits only the time between two reads, so a client that sends one byte at a
    time could occupy a thread for hours. Times are seconds.
    """

    def __init__(self, timeout_seconds: float = RECEIVE_TIMEOUT_SECONDS) -> None:
        self.timeout_seconds = timeout_seconds
        self._deadlines: dict[socket.socket, float] = {}
        self._stopped = threading.Event()

    def begin(self, connection: socket.socket) -> None:
        """Start the timeout of a request on a connection."""
        self._deadlines[connection] = time.monotonic() + self.timeout_seconds

    def shorten(self, connection: socket.socket) -> None:
        """Replace the timeout by a short one for the rest of a rejected request."""
        self._deadlines[connection] = time.monotonic() + REJECTED_BODY_TIMEOUT_SECONDS

    def end(self, connection: socket.socket) -> None:
        """Remove the timeout when the request was received or abandoned."""
        self._deadlines.pop(connection, None)

    def close_expired(self) -> None:
        """Shut down the receiving side of connections whose timeout has expired."""
        now = time.monotonic()
        for connection, deadline in list(self._deadlines.items()):
            if now < deadline:
                continue
            self._deadlines.pop(connection, None)
            try:
                connection.shutdown(socket.SHUT_RD)
            except OSError:
                logger.debug("connection was already closed at its receive timeout")

    def run(self) -> None:
        """Check the timeouts periodically until stopped."""
        while not self._stopped.wait(SWEEP_INTERVAL_SECONDS):
            self.close_expired()

    def stop(self) -> None:
        """Make ``run`` return."""
        self._stopped.set()


class _Request(HTTPRequest):
    """Request whose protocol errors get JSON bodies like those of the application."""

    def parse_request(self) -> None:
        """Parse the request line and the headers within the receive timeout."""
        self.server.receive_timeouts.begin(self.conn.socket)
        super().parse_request()

    def respond(self) -> None:
        """Send the response, and remove the receive timeout if it is still set."""
        try:
            super().respond()
            self.conn.wfile.flush()
        finally:
            self.server.receive_timeouts.end(self.conn.socket)

    def read_request_headers(self) -> bool:
        """Read the headers and flush a ``100 Continue`` that the client may expect."""
        success = bool(super().read_request_headers())  # type: ignore[no-untyped-call]
        self.conn.wfile.flush()
        return success

    def simple_response(self, status: str, msg: str = "") -> None:
        """Send a protocol error as a JSON error body and close the connection."""
        code = str(status)[:3]
        kind = _ERROR_KINDS.get(code, ErrorKind.BAD_REQUEST)
        detail = msg or str(status)[4:]
        body = msgspec.json.encode(build_error_body(Problem(kind, detail), ""))
        self.close_connection = True
        head = (
            f"HTTP/1.1 {ANSWERS[kind].status} {str(status)[4:]}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
            "Connection: close\r\n\r\n"
        )
        self.sent_headers = True
        try:
            self.conn.wfile.write(head.encode("latin-1") + body)
            self.conn.wfile.flush()
        except OSError as error:
            logger.debug(
                "sending an error response failed", extra={"error": str(error)}
            )


class _Connection(HTTPConnection):
    """Connection whose requests report errors as JSON."""

    RequestHandlerClass = _Request
    is_registered = False

    def __init__(self, server: Any, sock: socket.socket, _makefile: Any = None) -> None:
        super().__init__(server, sock, make_file)

    def communicate(self) -> bool:
        """Serve one request and return whether the connection stays open."""
        try:
            return bool(super().communicate())  # type: ignore[no-untyped-call]
        finally:
            self.server.receive_timeouts.end(self.socket)


class ReceiveControl:
    """Lets the application control how the rest of its request is received."""

    def __init__(self, request: HTTPRequest) -> None:
        self._request = request

    def mark_received(self) -> None:
        """Remove the receive timeout after the whole request was received."""
        self._request.server.receive_timeouts.end(self._request.conn.socket)

    def discard_rest(self) -> None:
        """Discard the rest of the body.

        The connection is closed afterwards if the rest is large or of unknown length.
        """
        remaining = getattr(self._request.rfile, "remaining", 0)
        if self._request.chunked_read or remaining > MAX_DISCARDED_BYTES:
            self._request.close_connection = True
            self.mark_received()
        elif remaining > 0:
            self._request.server.receive_timeouts.shorten(self._request.conn.socket)
        else:
            self.mark_received()


class _Gateway(Gateway_10):
    """Gateway that passes a ``ReceiveControl`` to the application."""

    # cheroot's type stubs declare a return type of ``None``.
    def get_environ(self) -> dict[str, Any]:  # type: ignore[override]
        """Return the WSGI environment with the ``ReceiveControl`` of the request."""
        environ: dict[str, Any] = super().get_environ()  # type: ignore[no-untyped-call]
        environ["egretcrank.reception"] = ReceiveControl(self.req)
        return environ


class EntryServer(WsgiServer):
    """HTTP server whose threads handle only connections with data to read."""

    ConnectionClass = _Connection

    def __init__(self, settings: EntrySettings, application: Any) -> None:
        host, _, port = settings.http_address.rpartition(":")
        super().__init__(
            (host.strip("[]"), int(port)),
            application,
            numthreads=settings.threads,
            max=settings.threads,
            request_queue_size=settings.max_in_flight,
            timeout=IDLE_TIMEOUT_SECONDS,
            shutdown_timeout=30,
        )
        self.gateway = _Gateway
        self.keep_alive_conn_limit = MAX_KEEP_ALIVE_CONNECTIONS
        self.max_request_header_size = MAX_HEADER_BYTES
        self.max_request_body_size = 4 * settings.max_body_bytes + CHUNK_FRAMING_BYTES
        self.receive_timeouts = ReceiveTimeouts()

    def serve(self) -> None:
        """Serve until stopped."""
        sweeper = threading.Thread(
            target=self.receive_timeouts.run, name="http-limits", daemon=True
        )
        sweeper.start()
        super().serve()

    def process_conn(self, conn: Any) -> None:
        """Pass a connection to a thread, but register a new one with the selector.

        cheroot calls this method again when the new connection is readable.
        """
        if conn.is_registered:
            super().process_conn(conn)
            return
        conn.is_registered = True
        self.put_conn(conn)

    def stop(self) -> None:
        """Stop serving and wait for the threads."""
        super().stop()
        self.receive_timeouts.stop()


def build_http_server(settings: EntrySettings, application: Any) -> EntryServer:
    """Build the HTTP server; ``serve`` blocks and ``stop`` waits for its threads."""
    return EntryServer(settings, application)

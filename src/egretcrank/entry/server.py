"""The HTTP server below the interface: typed errors, time limits, connections."""

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

# Callers keep about 60 connections to each of 11 hosts open; cheroot keeps 10.
KEPT_CONNECTIONS = 4096
MAX_HEADER_BYTES = 65536
# Room for the framing of a chunked body, where cheroot counts the size lines.
FRAMING_ALLOWANCE = 65536
RECEIVE_SECONDS = 10.0
REFUSED_BODY_SECONDS = 0.25
SWEEP_SECONDS = 0.1
IDLE_SECONDS = 30
# A refusal reads the rest of a body up to this size, so that the connection stays.
DRAINED_BYTES = 65536

_KINDS = {
    "408": ErrorKind.BAD_REQUEST,
    "413": ErrorKind.BODY_TOO_LARGE,
    "414": ErrorKind.BAD_REQUEST,
    "500": ErrorKind.INTERNAL,
    "505": ErrorKind.BAD_REQUEST,
}

logger = logging.getLogger(__name__)


class Receiving:
    """Requests that are being received; a sender that is too slow is cut off.

    cheroot limits the time between two bytes only, so a sender of one byte at a time
    could hold a thread for hours.
    """

    def __init__(self, limit_seconds: float = RECEIVE_SECONDS) -> None:
        self.limit_seconds = limit_seconds
        self._deadlines: dict[socket.socket, float] = {}
        self._stopped = threading.Event()

    def begin(self, connection: socket.socket) -> None:
        """Start the time limit of a request on a connection."""
        self._deadlines[connection] = time.monotonic() + self.limit_seconds

    def shorten(self, connection: socket.socket) -> None:
        """Leave little time to what is still to be received of a refused request."""
        self._deadlines[connection] = time.monotonic() + REFUSED_BODY_SECONDS

    def end(self, connection: socket.socket) -> None:
        """End the time limit: the request was received or given up."""
        self._deadlines.pop(connection, None)

    def sweep(self) -> None:
        """Close the reading side of connections whose time has passed."""
        now = time.monotonic()
        for connection, deadline in list(self._deadlines.items()):
            if now < deadline:
                continue
            self._deadlines.pop(connection, None)
            try:
                connection.shutdown(socket.SHUT_RD)
            except OSError:
                logger.debug("connection was closed before its limit")

    def run(self) -> None:
        """Sweep until stopped."""
        while not self._stopped.wait(SWEEP_SECONDS):
            self.sweep()

    def stop(self) -> None:
        """Stop sweeping."""
        self._stopped.set()


class _Request(HTTPRequest):
    """Request whose errors below the interface are typed like all others."""

    def parse_request(self) -> None:
        """Parse the request line and the headers within the time limit."""
        self.server.receiving.begin(self.conn.socket)
        super().parse_request()

    def respond(self) -> None:
        """Answer, and end the time limit if the interface did not."""
        try:
            super().respond()
            self.conn.wfile.flush()
        finally:
            self.server.receiving.end(self.conn.socket)

    def read_request_headers(self) -> bool:
        """Read the headers and send the interim answer that the sender may expect."""
        success = bool(super().read_request_headers())  # type: ignore[no-untyped-call]
        self.conn.wfile.flush()
        return success

    def simple_response(self, status: str, msg: str = "") -> None:
        """Send an error of the server as a typed JSON body and close."""
        code = str(status)[:3]
        kind = _KINDS.get(code, ErrorKind.BAD_REQUEST)
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
            logger.debug("error was not sent", extra={"error": str(error)})


class _Connection(HTTPConnection):
    """Connection that reads typed requests."""

    RequestHandlerClass = _Request
    was_readable = False

    def __init__(self, server: Any, sock: socket.socket, _makefile: Any = None) -> None:
        super().__init__(server, sock, make_file)

    def communicate(self) -> bool:
        """Serve one request and tell whether the connection stays open."""
        try:
            return bool(super().communicate())  # type: ignore[no-untyped-call]
        finally:
            self.server.receiving.end(self.socket)


class Reception:
    """What the interface may ask of the connection of its request."""

    def __init__(self, request: HTTPRequest) -> None:
        self._request = request

    def finish(self) -> None:
        """Tell that the whole request was received."""
        self._request.server.receiving.end(self._request.conn.socket)

    def refuse(self) -> None:
        """Give up the rest of the body; the connection closes if that may be long."""
        remaining = getattr(self._request.rfile, "remaining", 0)
        if self._request.chunked_read or remaining > DRAINED_BYTES:
            self._request.close_connection = True
            self.finish()
        elif remaining > 0:
            self._request.server.receiving.shorten(self._request.conn.socket)
        else:
            self.finish()


class _Gateway(Gateway_10):
    """Gateway that lets the interface end the time limit."""

    # The stubs of cheroot declare that it returns nothing.
    def get_environ(self) -> dict[str, Any]:  # type: ignore[override]
        """Return the WSGI environment with the reception of the request."""
        environ: dict[str, Any] = super().get_environ()  # type: ignore[no-untyped-call]
        environ["egretcrank.reception"] = Reception(self.req)
        return environ


class EntryServer(WsgiServer):
    """Server of an entry; threads hold only connections that sent something."""

    ConnectionClass = _Connection

    def __init__(self, settings: EntrySettings, application: Any) -> None:
        host, _, port = settings.http_address.rpartition(":")
        super().__init__(
            (host.strip("[]"), int(port)),
            application,
            numthreads=settings.threads,
            max=settings.threads,
            request_queue_size=settings.max_in_flight,
            timeout=IDLE_SECONDS,
            shutdown_timeout=30,
        )
        self.gateway = _Gateway
        self.keep_alive_conn_limit = KEPT_CONNECTIONS
        self.max_request_header_size = MAX_HEADER_BYTES
        self.max_request_body_size = 4 * settings.max_body_bytes + FRAMING_ALLOWANCE
        self.receiving = Receiving()

    def serve(self) -> None:
        """Serve until stopped."""
        sweeper = threading.Thread(
            target=self.receiving.run, name="http-limits", daemon=True
        )
        sweeper.start()
        super().serve()

    def process_conn(self, conn: Any) -> None:
        """Hand a connection to a thread, a new one only once it is readable."""
        if conn.was_readable:
            super().process_conn(conn)
            return
        conn.was_readable = True
        self.put_conn(conn)

    def stop(self) -> None:
        """Stop serving and wait for the threads."""
        super().stop()
        self.receiving.stop()


def build_http_server(settings: EntrySettings, application: Any) -> EntryServer:
    """Build the HTTP server; ``serve`` blocks and ``stop`` waits for its threads."""
    return EntryServer(settings, application)

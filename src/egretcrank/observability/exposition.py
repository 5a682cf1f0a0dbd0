"""HTTP server that exposes the metrics of a process."""

import logging
import threading
from collections.abc import Callable, Iterable
from typing import Any

from cheroot.wsgi import Server

THREADS = 2

Render = Callable[[str], tuple[bytes, dict[str, str]]]

logger = logging.getLogger(__name__)


class MetricsServer:
    """Serves ``GET /metrics`` with a separate small thread pool.

    ``render`` receives the Accept header and is called on the server's threads.
    """

    def __init__(self, address: str, render: Render) -> None:
        host, _, port = address.rpartition(":")
        self._render = render
        self._server = Server(
            (host.strip("[]"), int(port)), self._handle, numthreads=THREADS, max=THREADS
        )
        self._server.prepare()
        self._thread = threading.Thread(
            target=self._server.serve, name="metrics", daemon=True
        )
        self._thread.start()

    def _handle(
        self, environ: dict[str, Any], start: Callable[..., Any]
    ) -> Iterable[bytes]:
        if environ.get("PATH_INFO") != "/metrics":
            start("404 Not Found", [("Content-Length", "0")])
            return []
        body, headers = self._render(environ.get("HTTP_ACCEPT", "*/*"))
        start("200 OK", [*headers.items(), ("Content-Length", str(len(body)))])
        return [body]

    def stop(self) -> None:
        """Stop the server and wait for its threads."""
        self._server.stop()
        self._thread.join()


def serve_metrics(address: str, render: Render) -> MetricsServer | None:
    """Start a metrics server, or return ``None`` if the address cannot be bound.

    The process continues without metrics: monitoring must not stop a working process.
    """
    try:
        return MetricsServer(address, render)
    except OSError as error:
        logger.error(
            "metrics are not served", extra={"address": address, "error": str(error)}
        )
        return None

"""HTTP interface of a process for its metrics."""

import logging
import threading
from collections.abc import Callable, Iterable
from typing import Any

from cheroot.wsgi import Server

THREADS = 2

Render = Callable[[str], tuple[bytes, dict[str, str]]]

logger = logging.getLogger(__name__)


class MetricsServer:
    """Answers ``GET /metrics`` on a small thread pool of its own.

    ``render`` takes the Accept header and is called on the server's threads.
    """

    def __init__(self, address: str, render: Render) -> None:
        host, _, port = address.rpartition(":")
        self._render = render
        self._server = Server(
            (host.strip("[]"), int(port)), self._answer, numthreads=THREADS, max=THREADS
        )
        self._server.prepare()
        self._thread = threading.Thread(
            target=self._server.serve, name="metrics", daemon=True
        )
        self._thread.start()

    def _answer(
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
    """Serve metrics, or go on without them where the port is taken.

    A process that works must not end because nobody can watch it.
    """
    try:
        return MetricsServer(address, render)
    except OSError as error:
        logger.error(
            "metrics are not served", extra={"address": address, "error": str(error)}
        )
        return None

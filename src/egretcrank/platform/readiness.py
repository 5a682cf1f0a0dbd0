"""Readiness check that the platform uses to select targets for new connections."""

import threading
from collections.abc import Callable, Iterable
from typing import Any

from cheroot.wsgi import Server

# One thread is enough: the platform polls once per second.
THREADS = 1


class ReadinessServer:
    """HTTP server that responds 200 if ``is_ready`` returns true, otherwise 503."""

    def __init__(self, address: str, is_ready: Callable[[], bool]) -> None:
        host, _, port = address.rpartition(":")
        self._is_ready = is_ready
        self._server = Server(
            (host, int(port)), self._handle, numthreads=THREADS, max=THREADS
        )
        self._server.prepare()
        threading.Thread(
            target=self._server.serve, name="readiness", daemon=True
        ).start()

    def _handle(
        self, _environ: dict[str, Any], start: Callable[..., Any]
    ) -> Iterable[bytes]:
        status = "200 OK" if self._is_ready() else "503 Service Unavailable"
        start(status, [("Content-Length", "0")])
        return []

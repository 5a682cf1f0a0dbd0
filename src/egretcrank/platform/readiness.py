"""Readiness check, by which the platform decides who gets new connections."""

import threading
from collections.abc import Callable, Iterable
from typing import Any

from cheroot.wsgi import Server

# The platform asks once a second.
THREADS = 1


class ReadinessServer:
    """Answers 200 while ``is_ready`` says so, else 503."""

    def __init__(self, address: str, is_ready: Callable[[], bool]) -> None:
        host, _, port = address.rpartition(":")
        self._is_ready = is_ready
        self._server = Server(
            (host, int(port)), self._answer, numthreads=THREADS, max=THREADS
        )
        self._server.prepare()
        threading.Thread(
            target=self._server.serve, name="readiness", daemon=True
        ).start()

    def _answer(
        self, _environ: dict[str, Any], start: Callable[..., Any]
    ) -> Iterable[bytes]:
        status = "200 OK" if self._is_ready() else "503 Service Unavailable"
        start(status, [("Content-Length", "0")])
        return []

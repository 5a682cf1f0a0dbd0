"""TCP proxy for a cut: it refuses connections, or drops all that the target answers."""

import socket
import threading


def _parse(address: str) -> tuple[str, int]:
    host, port = address.split(":")
    return host, int(port)


class Proxy:
    """Forwards connections of one address to another one."""

    def __init__(self, listen: str, target: str) -> None:
        self._listen, self._target = listen, target
        self._lock = threading.Lock()
        self._open: set[socket.socket] = set()
        self._server: socket.socket | None = None
        self.drops_answers = False
        self.accept()

    def accept(self) -> None:
        """Accept connections, at first or after ``refuse``."""
        server = socket.socket()
        server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        server.bind(_parse(self._listen))
        server.listen(64)
        self._server = server
        threading.Thread(target=self._run, args=(server,), daemon=True).start()

    def refuse(self) -> None:
        """Close all connections and refuse further ones."""
        server, self._server = self._server, None
        if server is not None:
            _shut(server)
            server.close()
        with self._lock:
            open_sockets, self._open = self._open, set()
        for connection in open_sockets:
            _shut(connection)

    def _run(self, server: socket.socket) -> None:
        while True:
            try:
                connection, _ = server.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        try:
            target = socket.create_connection(_parse(self._target), 2)
        except OSError:
            connection.close()
            return
        target.settimeout(None)
        with self._lock:
            self._open |= {connection, target}
        for source, sink, is_answer in (
            (connection, target, False),
            (target, connection, True),
        ):
            threading.Thread(
                target=self._pump, args=(source, sink, is_answer), daemon=True
            ).start()

    def _pump(self, source: socket.socket, sink: socket.socket, is_answer: bool) -> None:
        try:
            while data := source.recv(65536):
                if not (is_answer and self.drops_answers):
                    sink.sendall(data)
        except OSError:
            pass
        if not (is_answer and self.drops_answers):
            _shut(source)
            _shut(sink)


def _shut(connection: socket.socket) -> None:
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass

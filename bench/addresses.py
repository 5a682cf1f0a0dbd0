"""Free loopback addresses for processes of tests and benches."""

import random
import socket

# Below the range of ports that the system gives to outgoing connections, so that a port
# stays free until it is used.
PORTS = range(10000, 32000)
ATTEMPTS = 100

_ports = random.SystemRandom()


def find_address() -> str:
    """Return a loopback address with a port that is free."""
    for _ in range(ATTEMPTS):
        port = _ports.choice(PORTS)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return f"127.0.0.1:{port}"
    raise OSError("no free port was found")

"""Free loopback addresses for tests."""

import socket


def find_address() -> str:
    """Return a loopback address with a port that was free just now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        host, port = probe.getsockname()
    return f"{host}:{port}"

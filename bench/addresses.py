"""Free loopback addresses for processes of tests and benches."""

import itertools
import random
import socket

# Below the range of ports that the system gives to outgoing connections, so that a port
# stays free until it is used and while its process is down.
PORTS = range(10000, 32000)

# Each port is given out once, from a random start so that runs side by side differ.
_ports = itertools.islice(
    itertools.cycle(PORTS), random.SystemRandom().randrange(len(PORTS)), None
)


def find_address() -> str:
    """Return a loopback address with a port that is free."""
    for port in itertools.islice(_ports, len(PORTS)):
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return f"127.0.0.1:{port}"
    raise OSError("no free port was found")

"""Forwarder of TCP connections that can cut them or let them go silent.

``python -m bench.standins.forwarder --control ADDRESS --link LISTEN=TARGET ...``
accepts on each LISTEN address and forwards to TARGET. A line ``cut LISTEN SECONDS`` on
the control address closes the connections of a link and refuses new ones for a time;
``silence LISTEN`` drops all further bytes of its present connections, while new ones
work.
"""

import argparse
import asyncio
import time

CHUNK_BYTES = 65536


class Link:
    """Connections from one address to another."""

    def __init__(self, target: str) -> None:
        self._target = target
        self._refused_until = 0.0
        self._writers: set[asyncio.StreamWriter] = set()
        self._silent: set[asyncio.StreamWriter] = set()

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection until one of its ends closes."""
        if time.monotonic() < self._refused_until:
            writer.transport.abort()
            return
        host, _, port = self._target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        try:
            await asyncio.gather(
                self._copy(reader, far_writer), self._copy(far_reader, writer)
            )
        finally:
            self._writers -= {writer, far_writer}
            self._silent -= {writer, far_writer}

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if writer not in self._silent:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        finally:
            # A silent connection does not pass on its end either.
            if writer not in self._silent:
                writer.close()

    def cut(self, seconds: float) -> None:
        """Close all connections and refuse new ones for a time."""
        self._refused_until = time.monotonic() + seconds
        for writer in self._writers:
            writer.transport.abort()

    def silence(self) -> None:
        """Drop what the present connections carry from now on."""
        self._silent |= self._writers


class Forwarder:
    """All links of a run, controlled by lines of text."""

    def __init__(self, links: dict[str, Link]) -> None:
        self._links = links

    async def control(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Obey one connection's commands."""
        while line := await reader.readline():
            match line.decode().split():
                case ["cut", listen, seconds]:
                    self._links[listen].cut(float(seconds))
                case ["silence", listen]:
                    self._links[listen].silence()
            writer.write(b"ok\n")
        writer.close()


async def serve(control: str, targets: dict[str, str]) -> None:
    """Forward until cancelled."""
    links = {listen: Link(target) for listen, target in targets.items()}
    handlers = {listen: link.accept for listen, link in links.items()}
    handlers[control] = Forwarder(links).control
    for address, handler in handlers.items():
        host, _, port = address.rpartition(":")
        await asyncio.start_server(handler, host, int(port))
    await asyncio.Event().wait()


def main() -> None:
    """Run the forwarder."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--control", required=True)
    parser.add_argument("--link", action="append", default=[])
    options = parser.parse_args()
    targets = dict(link.split("=") for link in options.link)
    asyncio.run(serve(options.control, targets))


if __name__ == "__main__":
    main()

"""The project's stand-in for the platform's store, with the limits of an append."""

import struct

from bench.standins.platform_store import PlatformStore

# As in the settings on the pages.
RECORD_BYTES = 262144
REQUEST_BYTES = 2097152
_LENGTH = struct.Struct(">I")


class LimitedStore(PlatformStore):
    """Store that refuses records and appends that are too long."""

    def __init__(self, address: str, seed: int) -> None:
        super().__init__(address, seed)
        # Lengths of the longest record of each append that was refused.
        self.refused: list[int] = []

    def _handle_append(self, query: dict[str, str], body: bytes) -> tuple[int, bytes]:
        longest = total = position = 0
        while position < len(body):
            (length,) = _LENGTH.unpack_from(body, position)
            position += _LENGTH.size + length
            total += length
            longest = max(longest, length)
        if longest > RECORD_BYTES or total > REQUEST_BYTES:
            self.refused.append(longest)
            return 413, b"{}"
        return super()._handle_append(query, body)

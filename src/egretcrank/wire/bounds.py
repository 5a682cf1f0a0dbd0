"""Bounds of the values that come from other processes."""

import re
from ipaddress import IPv6Address
from typing import Annotated

import msgspec

# Messages and records hold signed integers of 64 bits.
MAX_INTEGER = 2**63 - 1
# Numbers that are counted on from the value that was read stay within 64 bits.
MAX_COUNT = 2**62
MAX_PORT = 65535
# The Domain Name System limits names to this length.
MAX_HOST_CHARACTERS = 253
# Part of an odd value that a log line shows.
MAX_LOGGED_CHARACTERS = 80

Amount = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
# A number without further meaning here, as records hold it.
Integer = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
# A number that increases by one with each event.
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]

_ADDRESS = re.compile(
    r"(?:\[(?P<ipv6>[0-9A-Fa-f:.]+)\]|(?P<host>[A-Za-z0-9._-]+)):(?P<port>[0-9]{1,5})"
)


def is_address(text: str) -> bool:
    """Return whether a text is a host and a port that can be dialled."""
    match = _ADDRESS.fullmatch(text)
    if match is None or not 0 < int(match["port"]) <= MAX_PORT:
        return False
    if match["ipv6"] is None:
        return len(match["host"]) <= MAX_HOST_CHARACTERS
    try:
        IPv6Address(match["ipv6"])
    except ValueError:
        return False
    return True

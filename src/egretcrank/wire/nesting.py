"""Deep nesting in bodies and messages of other processes."""

import re

import msgspec

# What decoding raises. Deep nesting is no error of msgspec itself.
DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)

# Bodies of the platform, and pages of streams, nest less deeply, and decoders deeper.
MAX_DEPTH = 64

_TOKEN = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"|[\[\]{}]', re.DOTALL)


def cut_nested(body: bytes) -> bytes:
    """Return a JSON body in which null replaces what nests deeper than MAX_DEPTH."""
    pieces = []
    depth = position = 0
    for match in _TOKEN.finditer(body):
        if match[0] in (b"[", b"{"):
            if depth == MAX_DEPTH:
                pieces += [body[position : match.start()], b"null"]
            depth += 1
        elif match[0] in (b"]", b"}"):
            depth -= 1
            if depth == MAX_DEPTH:
                position = match.end()
    # The rest of a body whose last value has no end is left out.
    if depth <= MAX_DEPTH:
        pieces.append(body[position:])
    return b"".join(pieces)

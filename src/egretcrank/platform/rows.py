"""Lists of rows in JSON bodies, of which other writers may have left odd ones."""

import logging
from collections.abc import Callable, Iterable
from typing import TypeVar

import msgspec
from returns.result import Result, Success

from egretcrank.errors.kinds import Problem
from egretcrank.platform.calls import decode_body
from egretcrank.wire.bounds import MAX_LOGGED_CHARACTERS
from egretcrank.wire.nesting import DECODE_ERRORS, cut_nested

# Rows of one list that a log line shows.
MAX_LOGGED_ROWS = 3

BodyT = TypeVar("BodyT")
CellT = TypeVar("CellT")
RowT = TypeVar("RowT")

_cells_decoder = msgspec.json.Decoder(list[msgspec.Raw])

logger = logging.getLogger(__name__)


def decode_list_body(body: bytes, body_type: type[BodyT]) -> Result[BodyT, Problem]:
    """Decode a JSON body with lists whose rows are of type ``msgspec.Raw``.

    What is nested too deeply becomes null, so that the other rows can be used.
    """
    try:
        return Success(msgspec.json.decode(body, type=body_type))
    except RecursionError:
        return decode_body(cut_nested(body), body_type)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return decode_body(body, body_type)


def decode_cell(
    cell: msgspec.Raw | bytes, decoder: msgspec.json.Decoder[CellT], default: CellT
) -> CellT:
    """Decode one value of a row; an invalid one becomes the default."""
    try:
        return decoder.decode(cell)
    except DECODE_ERRORS:
        return default


def decode_cells(row: msgspec.Raw) -> list[msgspec.Raw]:
    """Return the undecoded values of a row, none if it is not a list."""
    return decode_cell(row, _cells_decoder, [])


def parse_rows(
    rows: Iterable[msgspec.Raw],
    parse: Callable[[msgspec.Raw], RowT | None],
    where: str,
    expected: str,
) -> tuple[RowT, ...]:
    """Parse the rows of a list; those that ``parse`` refuses are logged."""
    parsed = []
    refused = []
    for row in rows:
        value = parse(row)
        if value is None:
            refused.append(row)
        else:
            parsed.append(value)
    if refused:
        logger.warning(
            "rows refused",
            extra={
                "where": where,
                "rows": len(refused),
                "first": [_shorten(row) for row in refused[:MAX_LOGGED_ROWS]],
                "expected": expected,
            },
        )
    return tuple(parsed)


def _shorten(row: msgspec.Raw) -> str:
    return bytes(row)[:MAX_LOGGED_CHARACTERS].decode("utf-8", "replace")

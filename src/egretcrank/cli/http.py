"""HTTP requests of operator commands to an entry."""

import sys
from typing import Any, NoReturn

import click
import msgspec
import urllib3

from egretcrank.wire.nesting import DECODE_ERRORS

EXIT_REFUSED = 1
EXIT_UNREACHABLE = 3
TIMEOUT_SECONDS = 10.0

entry_option = click.option(
    "--entry",
    "address",
    required=True,
    envvar="EGRETCRANK_ENTRY",
    help="HTTP address of an entry, as in 127.0.0.1:8080.",
)
json_option = click.option(
    "--json", "as_json", is_flag=True, help="Print the response as JSON."
)


def request_json(method: str, address: str, path: str) -> Any:
    """Return the JSON response of an entry; exit if it reports an error."""
    url = f"http://{address}{path}"
    try:
        reply = urllib3.request(method, url, timeout=TIMEOUT_SECONDS, retries=False)
    except urllib3.exceptions.HTTPError as error:
        _exit_with_message(f"{url} is unreachable: {error}", EXIT_UNREACHABLE)
    try:
        document = msgspec.json.decode(reply.data)
    except DECODE_ERRORS:
        _exit_with_message(
            f"{url} returned status {reply.status} without JSON", EXIT_REFUSED
        )
    if reply.status >= 400:
        _exit_with_message(
            f"{document.get('kind')}: {document.get('detail')}", EXIT_REFUSED
        )
    return document


def print_json(document: Any) -> None:
    """Print a document as indented JSON."""
    click.echo(msgspec.json.format(msgspec.json.encode(document), indent=2).decode())


def _exit_with_message(message: str, code: int) -> NoReturn:
    click.echo(message, err=True)
    sys.exit(code)

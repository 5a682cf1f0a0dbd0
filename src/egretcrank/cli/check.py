"""Operator command that checks a configuration before it is sent to the platform.

Exit codes: 0 no findings, 1 findings, 2 unreadable or usage.
"""

import sys
from pathlib import Path
from typing import Any, NoReturn

import click
import msgspec
from returns.result import Failure, Result, Success

from egretcrank.errors.kinds import Problem
from egretcrank.platform.differences import (
    MAX_LISTED_ENTRIES,
    ChangeKind,
    Difference,
    EntryChange,
    find_difference,
)
from egretcrank.platform.findings import (
    MAX_LISTED_FINDINGS,
    Finding,
    build_invalid,
    find_findings,
    shorten_text,
)
from egretcrank.platform.manifest import (
    CONFIGURATION_KEY,
    OPERATOR_PARTITION,
    OPERATOR_TOPIC,
    Manifest,
    parse_entries,
)
from egretcrank.platform.store import Store
from egretcrank.wire.bounds import is_address

EXIT_FINDINGS = 1
EXIT_UNREADABLE = 2
# Far above any configuration in use; bounds the memory that a wrong file can take.
MAX_FILE_BYTES = 64 * 1024 * 1024
MARKS = {ChangeKind.ADDED: "+", ChangeKind.CHANGED: "~", ChangeKind.REMOVED: "-"}


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option(
    "--against",
    type=click.Path(path_type=Path),
    help="File with the configuration in force.",
)
@click.option(
    "--log", "address", help="Address of the platform's log, to read the one in force."
)
@click.option("--json", "as_json", is_flag=True, help="Write JSON.")
def check(file: Path, against: Path | None, address: str | None, as_json: bool) -> None:
    """Check a configuration before it is sent; nothing is sent or written.

    Exit codes: 0 no findings, 1 findings, 2 unreadable or usage.
    """
    if against is not None and address is not None:
        raise click.UsageError("give --against FILE or --log ADDRESS, not both")
    if address is not None and not is_address(address):
        raise click.UsageError(f"--log: {shorten_text(address)} is not HOST:PORT")
    source = _format_path(file)
    match _read_file(file):
        case Failure(detail):
            _exit_unreadable(source, detail, as_json)
        case Success(value):
            _check_value(source, value, against, address, as_json)


def _check_value(
    source: str, value: bytes, against: Path | None, address: str | None, as_json: bool
) -> None:
    parsed = parse_entries(value)
    if isinstance(parsed, Failure):
        problems = parsed.failure()
        if not problems[0].where:
            _exit_unreadable(source, _render_problem(problems[0]), as_json)
        _exit_with_findings(source, tuple(map(build_invalid, problems)), as_json)
    manifest = parsed.unwrap()
    findings = find_findings(manifest)
    difference = None
    if against is not None or address is not None:
        match _load_base(against, address):
            case Failure(detail):
                if not as_json:
                    _write_findings(source, findings)
                base_source = _format_path(against) if against else f"log {address}"
                _exit_unreadable(base_source, detail, as_json)
            case Success(base):
                difference = find_difference(base, manifest)
                findings += difference.findings
    _write_result(source, manifest, findings, difference, as_json)
    if findings:
        sys.exit(EXIT_FINDINGS)


def _read_file(path: Path) -> Result[bytes, str]:
    try:
        with path.open("rb") as file:
            value = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        return Failure(f"cannot be read: {error.strerror}; expected a file")
    if len(value) > MAX_FILE_BYTES:
        return Failure(f"is too large; expected at most {MAX_FILE_BYTES} bytes")
    return Success(value)


def _load_base(against: Path | None, address: str | None) -> Result[Manifest, str]:
    """Load the configuration in force; without a record of one it is empty."""
    if against is not None:
        value = _read_file(against)
    else:
        value = _read_record(address or "")
        if value == Success(b""):
            return Success(Manifest(0))
    return value.bind(
        lambda text: parse_entries(text).alt(
            lambda problems: (
                "is not a valid configuration: " + _render_problem(problems[0])
            )
        )
    )


def _read_record(address: str) -> Result[bytes, str]:
    store = Store(address)
    try:
        match store.read_newest(OPERATOR_TOPIC, OPERATOR_PARTITION):
            case Success(page):
                values = {record.key: record.value for record in page.records}
                return Success(values.get(CONFIGURATION_KEY, b""))
            case Failure(problem):
                return Failure(f"cannot be read: {_render_problem(problem)}")
    finally:
        store.close()
    raise AssertionError("unreachable")


def _exit_unreadable(source: str, detail: str, as_json: bool) -> NoReturn:
    if as_json:
        _write_json({"accepted": False, "unreadable": source, "detail": detail})
    else:
        _write_line(f"unreadable: {source}: {detail}", err=True)
    sys.exit(EXIT_UNREADABLE)


def _exit_with_findings(
    source: str, findings: tuple[Finding, ...], as_json: bool
) -> NoReturn:
    if as_json:
        _write_json(_describe_findings(source, findings))
    else:
        _write_findings(source, findings)
    sys.exit(EXIT_FINDINGS)


def _write_result(
    source: str,
    manifest: Manifest,
    findings: tuple[Finding, ...],
    difference: Difference | None,
    as_json: bool,
) -> None:
    if as_json:
        document = _describe_findings(source, findings)
        document["version"] = manifest.version
        if difference is not None:
            document["against"] = difference.version.before
            document["difference"] = [c._asdict() for c in difference.changes]
        _write_json(document)
        return
    _write_findings(source, findings)
    if difference is not None:
        _write_difference(difference)
    if not findings:
        _write_line(
            f"{source}: version {manifest.version} with {len(manifest.queues)} queues"
            f" and {len(manifest.services)} services is valid"
        )


def _describe_findings(source: str, findings: tuple[Finding, ...]) -> dict[str, Any]:
    return {
        "accepted": not findings,
        "file": source,
        "findings": [finding._asdict() for finding in findings],
        "is_complete": len(findings) < MAX_LISTED_FINDINGS,
    }


def _write_findings(source: str, findings: tuple[Finding, ...]) -> None:
    for kind, where, detail, expected in findings:
        text = f"{kind.value}: {source}: {where}: {detail}"
        _write_line(text + (f"; expected {expected}" if expected else ""), err=True)
    if len(findings) >= MAX_LISTED_FINDINGS:
        _write_line(
            f"{source}: only {MAX_LISTED_FINDINGS} findings are listed", err=True
        )


def _write_difference(difference: Difference) -> None:
    before, after = difference.version
    _write_line(f"against version {before}" if before else "no version is in force")
    if before != after:
        _write_line(f"version: {before} -> {after}")
    for change in difference.changes:
        _write_change(change)
    if len(difference.changes) >= MAX_LISTED_ENTRIES:
        _write_line(f"only {MAX_LISTED_ENTRIES} entries are listed")
    if not difference.changes:
        _write_line("no difference between the entries")


def _write_change(change: EntryChange) -> None:
    _write_line(f"{MARKS[change.kind]} [{change.entry}]")
    for name, (before, after) in change.fields.items():
        old = "(none)" if before is None else _render_value(before)
        _write_line(f"    {name}: {old} -> {_render_value(after)}")
    for effect in change.effects:
        _write_line(f"    effect: {effect}")


def _render_value(value: Any) -> str:
    match value:
        case str():
            return shorten_text(value)
        case bool():
            return "yes" if value else "no"
    return f"{value:g}" if isinstance(value, float) else str(value)


def _render_problem(problem: Problem) -> str:
    location = f"{problem.where}: " if problem.where else ""
    expected = f"; expected {problem.expected}" if problem.expected else ""
    return f"{location}{problem.detail}{expected}"


def _format_path(path: Path) -> str:
    return click.format_filename(path)


def _write_line(text: str, err: bool = False) -> None:
    """Write one line, whatever characters names of a configuration hold."""
    printable = "".join(c if c.isprintable() else "?" for c in text)
    stream = sys.stderr if err else sys.stdout
    encoding = stream.encoding or "utf-8"
    encoded = printable.encode(encoding, "backslashreplace")
    click.echo(encoded.decode(encoding), err=err)


def _write_json(document: dict[str, Any]) -> None:
    encoded = msgspec.json.encode(document)
    click.echo(msgspec.json.format(encoded, indent=2))

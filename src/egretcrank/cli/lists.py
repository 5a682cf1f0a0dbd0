"""Operator commands for the two lists.

Exit codes: 0 accepted, 1 refused, 2 usage, 3 log unavailable.
"""

import asyncio
import dataclasses
import sys
from collections.abc import Awaitable, Callable
from datetime import UTC, datetime, timedelta
from pathlib import Path
from typing import Any, NoReturn

import click
import msgspec
from returns.result import Failure, Success

from egretcrank.clock import SystemClock
from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.lists.changes import render_difference
from egretcrank.lists.entries import write_ini, write_value
from egretcrank.lists.publication import (
    CheckedLists,
    Published,
    Publisher,
    Request,
    load_lists,
)
from egretcrank.lists.state import (
    AUTHORITIES,
    ChangeReport,
    ListsState,
    Override,
    Provenance,
)
from egretcrank.observability.metrics import Metrics
from egretcrank.settings.parser import load_settings
from egretcrank.settings.schema import LogSettings
from egretcrank.stream.client import HttpLogClient
from egretcrank.transport.threads import ThreadBridge

EXIT_REFUSED = 1
EXIT_LOG_UNAVAILABLE = 3
CURRENT_TIMEOUT = timedelta(seconds=10)
# Long, because an operator prefers a slow response to an unknown outcome.
APPEND_TIMEOUT = timedelta(seconds=15)
# Kept short because the process exits only after the read in flight has returned.
MAX_READ_WAIT = timedelta(milliseconds=100)
# One read and one append run at a time; a call that timed out may occupy another.
THREADS = 4

file_argument = click.argument(
    "file", type=click.Path(exists=True, dir_okay=False, path_type=Path)
)
json_option = click.option("--json", "as_json", is_flag=True, help="Write JSON.")


def log_options(function: Callable[..., None]) -> Callable[..., None]:
    """Add the options that select the log service."""
    function = click.option(
        "--settings",
        type=click.Path(exists=True, dir_okay=False, path_type=Path),
        help="Settings file of a daemon; its section [log] is used.",
    )(function)
    return click.option("--log", "address", help="Address of the log service.")(
        function
    )


@click.group()
def lists() -> None:
    """Check, compare, publish and show the two lists.

    Exit codes: 0 accepted, 1 refused, 2 usage, 3 log unavailable.
    """


@lists.command()
@file_argument
@json_option
def check(file: Path, as_json: bool) -> None:
    """Check a lists file without contacting the log service."""
    checked = _load_file(file, as_json)
    document = {"accepted": True, "entries": len(checked)}
    _write(document, as_json, f"{file}: {len(checked)} entries are valid")


@lists.command()
@file_argument
@log_options
@json_option
def diff(file: Path, settings: Path | None, address: str | None, as_json: bool) -> None:
    """Show what publishing a lists file would change; a difference exits with 0."""
    checked = _load_file(file, as_json)

    async def compare(publisher: Publisher) -> None:
        difference = publisher.compare(checked)
        revision = publisher.state.revision
        _write(
            {
                "revision": revision,
                "set": difference.set,
                "remove": difference.remove,
            },
            as_json,
            f"against revision {revision}\n"
            + render_difference(publisher.state.raw, difference),
        )

    _run(settings, address, as_json, compare)


@lists.command()
@file_argument
@click.option("--author", required=True, help="Author of the change.")
@click.option(
    "--authority",
    required=True,
    type=click.Choice(AUTHORITIES),
    help="Authority of the author.",
)
@click.option(
    "--reason", required=True, help="Reason for the change, shown in the history."
)
@click.option(
    "--override",
    is_flag=True,
    help="Prevent lower authorities from changing the entries changed here.",
)
@click.option(
    "--lift", multiple=True, metavar="KEY", help="End the override of KEY; repeatable."
)
@click.option(
    "--base",
    type=click.IntRange(min=0),
    help="Revision that the file is based on; default: the one in force.",
)
@log_options
@json_option
def publish(
    file: Path,
    author: str,
    authority: str,
    reason: str,
    override: bool,
    lift: tuple[str, ...],
    base: int | None,
    settings: Path | None,
    address: str | None,
    as_json: bool,
) -> None:
    """Publish the lists of a file.

    Entries that are missing from the file are removed. Give --base if the file is based
    on an older revision, so that newer changes of others are not reverted. After exit
    code 3 the change may still take effect; see history.
    """
    checked = _load_file(file, as_json)
    request = Request(author, authority, reason, override, lift, base)

    async def send(publisher: Publisher) -> None:
        await _publish(publisher, checked, request, as_json)

    _run(settings, address, as_json, send)


async def _publish(
    publisher: Publisher, checked: CheckedLists, request: Request, as_json: bool
) -> None:
    before = dict(publisher.state.raw)
    match await publisher.publish(checked, request):
        case Success(Published(revision, base, difference)):
            _write(
                {
                    "accepted": True,
                    "revision": revision,
                    "base_revision": base,
                    "set": sorted(difference.set),
                    "remove": difference.remove,
                    "lift": request.lift,
                },
                as_json,
                render_difference(before, difference)
                + f"\nrevision {revision} is in force, based on {base}",
            )
        case Failure(problem):
            _exit_with_problems((problem,), as_json)


@lists.command()
@log_options
@json_option
def history(settings: Path | None, address: str | None, as_json: bool) -> None:
    """Show recent accepted and rejected changes, oldest first."""

    async def write_reports(publisher: Publisher) -> None:
        reports = publisher.state.reports
        _write(
            {"changes": [_describe_report(r) for r in reports]},
            as_json,
            "\n".join(map(_render_report, reports)) or "no changes",
        )

    _run(settings, address, as_json, write_reports)


@lists.command()
@click.option("--ini", is_flag=True, help="Write a lists file.")
@log_options
@json_option
def show(ini: bool, settings: Path | None, address: str | None, as_json: bool) -> None:
    """Show all values in force with their author, time and reason."""

    async def write_state(publisher: Publisher) -> None:
        state = publisher.state
        if ini:
            click.echo(f"; revision {state.revision}\n{write_ini(state.raw)}")
            return
        _write(_describe_state(state), as_json, _render_state(state))

    _run(settings, address, as_json, write_state)


def _load_file(file: Path, as_json: bool) -> CheckedLists:
    checked = load_lists(file)
    if isinstance(checked, Failure):
        _exit_with_problems(checked.failure(), as_json)
    return checked.unwrap()


def _run(
    settings: Path | None,
    address: str | None,
    as_json: bool,
    action: Callable[[Publisher], Awaitable[None]],
) -> None:
    """Run an action once the current lists have been read."""
    log = dataclasses.replace(
        _select_log_settings(settings, address),
        poll_seconds=MAX_READ_WAIT,
        append_seconds=APPEND_TIMEOUT,
    )
    asyncio.run(_follow(log, as_json, action))


async def _follow(
    settings: LogSettings,
    as_json: bool,
    action: Callable[[Publisher], Awaitable[None]],
) -> None:
    bridge = ThreadBridge(asyncio.get_running_loop(), THREADS)
    client = HttpLogClient(settings.address, bridge)
    publisher = Publisher(client, settings, SystemClock(), Metrics())
    try:
        async with publisher.follow():
            current = await publisher.wait_until_current(CURRENT_TIMEOUT)
            if isinstance(current, Failure):
                _exit_with_problems((current.failure(),), as_json)
            await action(publisher)
    finally:
        bridge.close()
        client.close()


def _select_log_settings(settings: Path | None, address: str | None) -> LogSettings:
    if (settings is None) == (address is None):
        raise click.UsageError("give either --settings FILE or --log ADDRESS")
    if settings is None:
        return LogSettings(address=address or "")
    loaded = load_settings(settings, "sidecar")
    if isinstance(loaded, Failure):
        lines = [_render_problem(problem) for problem in loaded.failure()]
        raise click.UsageError("invalid settings:\n" + "\n".join(lines))
    return loaded.unwrap().log


def _exit_with_problems(problems: tuple[Problem, ...], as_json: bool) -> NoReturn:
    if as_json:
        _write_json(
            {"accepted": False, "problems": [_describe_problem(p) for p in problems]}
        )
    else:
        for problem in problems:
            click.echo(_render_problem(problem), err=True)
    outage = any(p.kind is ErrorKind.LOG_UNAVAILABLE for p in problems)
    sys.exit(EXIT_LOG_UNAVAILABLE if outage else EXIT_REFUSED)


def _write(document: dict[str, Any], as_json: bool, text: str) -> None:
    if as_json:
        _write_json(document)
    else:
        click.echo(text)


def _write_json(document: dict[str, Any]) -> None:
    encoded = msgspec.json.encode(document)
    click.echo(msgspec.json.format(encoded, indent=2).decode())


def _describe_problem(problem: Problem) -> dict[str, str]:
    return {
        "kind": problem.kind.value,
        "where": problem.where,
        "detail": problem.detail,
        "expected": problem.expected,
    }


def _render_problem(problem: Problem) -> str:
    expected = f"; expected {problem.expected}" if problem.expected else ""
    location = f"{problem.where}: " if problem.where else ""
    return f"{problem.kind.value}: {location}{problem.detail}{expected}"


def _render_time(seconds: float) -> str:
    try:
        return datetime.fromtimestamp(seconds, UTC).isoformat(timespec="seconds")
    except (ValueError, OverflowError, OSError):
        return f"{seconds:g} s"


def _describe_provenance(provenance: Provenance) -> dict[str, Any]:
    return {
        **provenance._asdict(),
        "published_at": _render_time(provenance.published_at),
    }


def _render_provenance(provenance: Provenance) -> str:
    return (
        f"revision {provenance.revision} at {_render_time(provenance.published_at)}"
        f" by {provenance.author} ({provenance.authority}): {provenance.reason}"
    )


def _describe_report(change: ChangeReport) -> dict[str, Any]:
    document = {**change._asdict(), "accepted": not change.problem}
    return {**document, "provenance": _describe_provenance(change.provenance)}


def _render_report(change: ChangeReport) -> str:
    result = f"REFUSED ({change.problem})" if change.problem else "accepted"
    lines = [
        f"offset {change.provenance.offset} {result}, based on {change.base_revision},"
        f" {_render_provenance(change.provenance)}"
    ]
    verb = "override" if change.override else "set"
    lines += [f"    {verb} {key}" for key in change.set]
    lines += [f"    remove {key}" for key in change.remove]
    lines += [f"    lift {key}" for key in change.lift]
    if change.detail:
        lines.append(f"    {change.detail}")
    return "\n".join(lines)


def _describe_state(state: ListsState) -> dict[str, Any]:
    return {
        "revision": state.revision,
        "entries": {
            key: {
                "values": fields,
                "set_by": _describe_provenance(
                    state.find_provenance(key) or Provenance()
                ),
            }
            for key, fields in sorted(state.raw.items())
        },
        "overrides": {
            key: {
                "authority": override.authority,
                "set_by": _describe_provenance(override.provenance),
            }
            for key, override in sorted(state.overrides.items())
        },
    }


def _render_state(state: ListsState) -> str:
    lines = [f"revision {state.revision}"]
    for key, fields in sorted(state.raw.items()):
        provenance = state.find_provenance(key) or Provenance()
        lines.append(f"[{key}] {_render_provenance(provenance)}")
        lines += [f"    {field} = {write_value(v)}" for field, v in fields.items()]
        lines += _render_override(state.overrides.get(key))
    for key, override in sorted(state.overrides.items()):
        if key not in state.raw:
            lines.append(f"[{key}] is removed")
            lines += _render_override(override)
    return "\n".join(lines)


def _render_override(override: Override | None) -> list[str]:
    if override is None:
        return []
    return [f"    override in force: {_render_provenance(override.provenance)}"]

"""Options and error handling shared by the daemon commands."""

import sys
from pathlib import Path
from typing import TypeVar

import click
from returns.result import Failure, Result

from egretcrank.errors.kinds import Problem

EXIT_INVALID_SETTINGS = 2

SettingsT = TypeVar("SettingsT")

settings_option = click.option(
    "--settings",
    "path",
    type=click.Path(path_type=Path),
    required=True,
    help="Settings file (INI).",
)


def unwrap_settings(result: Result[SettingsT, tuple[Problem, ...]]) -> SettingsT:
    """Return the settings, or print their errors and exit."""
    if isinstance(result, Failure):
        for problem in result.failure():
            click.echo(
                f"{problem.where}: {problem.detail}; expected {problem.expected}",
                err=True,
            )
        sys.exit(EXIT_INVALID_SETTINGS)
    return result.unwrap()

"""Commands that run the daemons."""

import sys
from pathlib import Path

import click
from returns.result import Failure

from egretcrank.entry.daemon import run_entry
from egretcrank.observability.logs import configure_logging
from egretcrank.settings.parser import load_settings
from egretcrank.settings.schema import Settings
from egretcrank.sidecar.daemon import run_sidecar

EXIT_INVALID_SETTINGS = 2

settings_option = click.option(
    "--settings",
    "path",
    type=click.Path(path_type=Path),
    required=True,
    help="Settings file (INI).",
)


@click.command()
@settings_option
def entry(path: Path) -> None:
    """Run an entry, which accepts requests of callers."""
    run_entry(_load(path, "entry"))


@click.command()
@settings_option
def sidecar(path: Path) -> None:
    """Run a sidecar beside an upstream or a worker."""
    run_sidecar(_load(path, "sidecar"))


def _load(path: Path, role: str) -> Settings:
    result = load_settings(path, role)
    if isinstance(result, Failure):
        for problem in result.failure():
            click.echo(
                f"{problem.where}: {problem.detail}; expected {problem.expected}",
                err=True,
            )
        sys.exit(EXIT_INVALID_SETTINGS)
    settings = result.unwrap()
    configure_logging(settings.process.name, settings.process.log_level)
    return settings

"""Commands that run the daemons."""

import sys
from pathlib import Path
from typing import TypeVar

import click
from returns.result import Failure, Result

from egretcrank.agent.daemon import run_agent
from egretcrank.controller.daemon import run_controller
from egretcrank.entry.daemon import run_entry
from egretcrank.errors.kinds import Problem
from egretcrank.observability.logs import configure_logging
from egretcrank.settings.parser import load_settings
from egretcrank.settings.platform import load_agent, load_controller
from egretcrank.settings.schema import Settings
from egretcrank.sidecar.daemon import run_sidecar

EXIT_INVALID_SETTINGS = 2

SettingsT = TypeVar("SettingsT")

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


@click.command()
@settings_option
def controller(path: Path) -> None:
    """Accept jobs, and lead the cell while elected."""
    settings = _unwrap(load_controller(path))
    configure_logging(settings.host.name, settings.host.log_level, sys.stdout)
    run_controller(settings)


@click.command()
@settings_option
def agent(path: Path) -> None:
    """Run beside a runner and carry out the leader's orders."""
    settings = _unwrap(load_agent(path))
    configure_logging(settings.host.name, settings.host.log_level, sys.stdout)
    run_agent(settings)


def _load(path: Path, role: str) -> Settings:
    settings = _unwrap(load_settings(path, role))
    configure_logging(settings.process.name, settings.process.log_level)
    return settings


def _unwrap(result: Result[SettingsT, tuple[Problem, ...]]) -> SettingsT:
    if isinstance(result, Failure):
        for problem in result.failure():
            click.echo(
                f"{problem.where}: {problem.detail}; expected {problem.expected}",
                err=True,
            )
        sys.exit(EXIT_INVALID_SETTINGS)
    return result.unwrap()

"""Command that runs a controller."""

import sys
from pathlib import Path

import click

from egretcrank.cli.options import settings_option, unwrap_settings
from egretcrank.controller.daemon import run_controller
from egretcrank.observability.logs import configure_logging
from egretcrank.settings.platform import load_controller


@click.command()
@settings_option
def controller(path: Path) -> None:
    """Accept jobs, and schedule the cell while elected as leader."""
    settings = unwrap_settings(load_controller(path))
    configure_logging(settings.host.name, settings.host.log_level, sys.stdout)
    run_controller(settings)

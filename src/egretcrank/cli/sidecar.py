"""Command that runs a sidecar."""

from pathlib import Path

import click

from egretcrank.cli.options import settings_option, unwrap_settings
from egretcrank.observability.logs import configure_logging
from egretcrank.settings.parser import load_settings
from egretcrank.sidecar.daemon import run_sidecar


@click.command()
@settings_option
def sidecar(path: Path) -> None:
    """Run a sidecar next to an upstream or a worker."""
    settings = unwrap_settings(load_settings(path, "sidecar"))
    configure_logging(settings.process.name, settings.process.log_level)
    run_sidecar(settings)

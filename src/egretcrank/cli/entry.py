"""Command that runs an entry."""

from pathlib import Path

import click

from egretcrank.cli.options import settings_option, unwrap_settings
from egretcrank.entry.daemon import run_entry
from egretcrank.observability.logs import configure_logging
from egretcrank.settings.parser import load_settings


@click.command()
@settings_option
def entry(path: Path) -> None:
    """Run an entry, which accepts requests from callers."""
    settings = unwrap_settings(load_settings(path, "entry"))
    configure_logging(settings.process.name, settings.process.log_level)
    run_entry(settings)

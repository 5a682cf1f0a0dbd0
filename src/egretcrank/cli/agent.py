"""Command that runs an agent."""

import sys
from pathlib import Path

import click

from egretcrank.agent.daemon import run_agent
from egretcrank.cli.options import settings_option, unwrap_settings
from egretcrank.observability.logs import configure_logging
from egretcrank.settings.platform import load_agent


@click.command()
@settings_option
def agent(path: Path) -> None:
    """Run the agent of a runner, which executes the leader's orders."""
    settings = unwrap_settings(load_agent(path))
    configure_logging(settings.host.name, settings.host.log_level, sys.stdout)
    run_agent(settings)

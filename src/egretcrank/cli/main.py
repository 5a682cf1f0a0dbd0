"""Entry point of the command line."""

import click

from egretcrank import __version__
from egretcrank.cli.daemons import agent, controller, entry, sidecar
from egretcrank.cli.jobs import jobs
from egretcrank.cli.lists import lists
from egretcrank.cli.operations import drain, explain, status


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__)
def main() -> None:
    """Schedule latency-critical requests and batch work on shared hosts."""


for command in (
    controller,
    agent,
    entry,
    sidecar,
    lists,
    jobs,
    status,
    explain,
    drain,
):
    main.add_command(command)

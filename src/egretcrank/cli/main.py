"""Entry point of the command line."""

import click

from egretcrank import __version__
from egretcrank.cli.jobs import jobs


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__)
def main() -> None:
    """Schedule latency-critical requests and batch work on shared hosts."""


main.add_command(jobs)

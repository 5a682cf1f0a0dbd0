"""Entry point of the command line."""

from importlib import import_module

import click

from egretcrank import __version__

# Module that defines each command.
COMMANDS = {
    "agent": "egretcrank.cli.agent",
    "check": "egretcrank.cli.check",
    "controller": "egretcrank.cli.controller",
    "drain": "egretcrank.cli.operations",
    "entry": "egretcrank.cli.entry",
    "explain": "egretcrank.cli.operations",
    "jobs": "egretcrank.cli.jobs",
    "lists": "egretcrank.cli.lists",
    "sidecar": "egretcrank.cli.sidecar",
    "status": "egretcrank.cli.operations",
}


class LazyGroup(click.Group):
    """Group that imports a command on first use.

    Importing all commands doubles the CPU time a daemon needs to start, which takes
    seconds on a machine with a tenth of a core.
    """

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of the commands."""
        return sorted(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import and return a command."""
        module = COMMANDS.get(cmd_name)
        if module is None:
            return None
        command = getattr(import_module(module), cmd_name)
        assert isinstance(command, click.Command)
        return command


@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__)
def main() -> None:
    """Schedule latency-critical requests and batch work on shared hosts."""

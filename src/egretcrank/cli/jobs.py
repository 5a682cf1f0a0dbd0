"""Commands that submit and track batch jobs through an entry's HTTP interface.

Exit codes: 0 success, 1 rejected or not found, 2 usage error, 3 outcome unknown or
entry unreachable, 4 the job ended with an unsuccessful task.
"""

import sys
from pathlib import Path
from typing import Any, NoReturn
from urllib.parse import quote
from uuid import uuid4

import click
import msgspec
import urllib3

from egretcrank.jobs.model import Ending, Repeat
from egretcrank.wire.nesting import DECODE_ERRORS

EXIT_REFUSED = 1
EXIT_UNKNOWN = 3
EXIT_NOT_DONE = 4
TIMEOUT_SECONDS = 15.0


class EntryClient:
    """Client for the job interface of one entry."""

    def __init__(self, address: str | None, as_json: bool) -> None:
        self._address = address
        self._as_json = as_json
        # No retries: the user checks first whether a failed request took effect.
        self._pool = urllib3.PoolManager(retries=False)

    def request(
        self, method: str, path: str = "", body: bytes = b"", key: str = ""
    ) -> dict[str, Any]:
        """Send a request and return the response body; exit on an error response."""
        if not self._address:
            raise click.UsageError("give --entry or set EGRETCRANK_ENTRY")
        headers = {"Content-Type": "application/json"}
        if key:
            headers["Idempotency-Key"] = key
        try:
            response = self._pool.request(
                method,
                f"http://{self._address}/v1/jobs{path}",
                body=body or None,
                headers=headers,
                timeout=TIMEOUT_SECONDS,
            )
        except urllib3.exceptions.HTTPError as error:
            _exit_with(EXIT_UNKNOWN, f"entry is unreachable: {error}")
        try:
            answer = msgspec.json.decode(response.data, type=dict[str, Any])
        except DECODE_ERRORS as error:
            _exit_with(EXIT_UNKNOWN, f"status {response.status}: {error}")
        if response.status >= 300:
            self._exit_with_problem(answer, response.status)
        return answer

    def _exit_with_problem(self, answer: dict[str, Any], status: int) -> NoReturn:
        if self._as_json:
            click.echo(msgspec.json.encode(answer).decode())
        kind = answer.get("kind", f"status {status}")
        text = f"{kind}: {answer.get('detail', '')}"
        if answer.get("where"):
            text += f" (at {answer['where']})"
        if answer.get("expected"):
            text += f"; expected {answer['expected']}"
        ran = answer.get("ran", "unknown")
        _exit_with(EXIT_REFUSED if ran == "no" else EXIT_UNKNOWN, text)

    def show(self, reply: dict[str, Any], results: bool = False) -> None:
        """Print the state of a job and its tasks."""
        if self._as_json:
            click.echo(msgspec.json.encode(reply).decode())
            return
        click.echo(f"{reply.get('job', '')} {reply.get('state', '')}")
        for task in reply.get("tasks", ()):
            parts = [task.get("task", ""), task.get("state", "")]
            parts += [task.get("result", "")] if results else [task.get("host", "")]
            parts.append(task.get("reason", ""))
            click.echo("  " + " ".join(part for part in parts if part))


@click.group()
@click.option(
    "--entry", envvar="EGRETCRANK_ENTRY", help="HTTP address of an entry, IP:PORT."
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.pass_context
def jobs(context: click.Context, entry: str | None, as_json: bool) -> None:
    """Submit, track and cancel batch jobs."""
    context.obj = EntryClient(entry, as_json)


@jobs.command()
@click.option("--customer", help="Customer that the job belongs to.")
@click.option("--kind", default="bundle", show_default=True, help="Kind of work.")
@click.option(
    "--repeat",
    type=click.Choice([mode.value for mode in Repeat]),
    default=Repeat.FROM_CHECKPOINT.value,
    show_default=True,
    help="Whether a task may be retried if the end of an attempt is unknown.",
)
@click.option("--urgent", is_flag=True, help="Start before other jobs.")
@click.option("--key", help="Idempotency key; the same key is accepted once.")
@click.option("--processors", type=float, default=1.0, show_default=True)
@click.option("--memory-mib", type=float, default=256.0, show_default=True)
@click.option("--accelerators", type=float, default=0.0, show_default=True)
@click.option("--run-seconds", type=float, default=0.0, help="Declared run time.")
@click.option(
    "--file",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="JSON body to submit in place of the options.",
)
@click.argument("commands", nargs=-1)
@click.pass_obj
def submit(
    client: EntryClient,
    customer: str | None,
    kind: str,
    repeat: str,
    urgent: bool,
    key: str | None,
    processors: float,
    memory_mib: float,
    accelerators: float,
    run_seconds: float,
    file: Path | None,
    commands: tuple[str, ...],
) -> None:
    """Submit a job with one task for each COMMAND."""
    if file is not None:
        body = file.read_bytes()
    elif not customer or not commands:
        raise click.UsageError("give --file, or --customer and at least one COMMAND")
    else:
        resources = {
            "processors": processors,
            "memory_mib": memory_mib,
            "accelerators": accelerators,
        }
        tasks = [
            {
                "name": f"task-{number}",
                "command": command,
                "resources": resources,
                "run_seconds": run_seconds,
            }
            for number, command in enumerate(commands, 1)
        ]
        body = msgspec.json.encode(
            {
                "customer": customer,
                "kind": kind,
                "repeat": repeat,
                "urgent": urgent,
                "tasks": tasks,
            }
        )
    used_key = key or uuid4().hex
    if key is None:
        click.echo(f"Idempotency-Key: {used_key}", err=True)
    client.show(client.request("POST", body=body, key=used_key))


@jobs.command()
@click.argument("job")
@click.pass_obj
def show(client: EntryClient, job: str) -> None:
    """Show the state of a job and why its tasks are waiting."""
    client.show(client.request("GET", f"/{quote(job, safe='')}"))


@jobs.command()
@click.argument("job")
@click.pass_obj
def cancel(client: EntryClient, job: str) -> None:
    """Cancel the unfinished tasks of a job."""
    client.show(client.request("DELETE", f"/{quote(job, safe='')}"))


@jobs.command()
@click.argument("job")
@click.pass_obj
def results(client: EntryClient, job: str) -> None:
    """Show the results of a job; exit with 4 unless all tasks succeeded."""
    reply = client.request("GET", f"/{quote(job, safe='')}")
    client.show(reply, results=True)
    tasks = reply.get("tasks", ())
    if not tasks or not all(task.get("state") == Ending.DONE for task in tasks):
        sys.exit(EXIT_NOT_DONE)


@jobs.command()
@click.argument("job")
@click.pass_obj
def acknowledge(client: EntryClient, job: str) -> None:
    """Allow the results of an ended job to be deleted."""
    client.show(client.request("POST", f"/{quote(job, safe='')}/acknowledge"))


def _exit_with(code: int, text: str) -> NoReturn:
    click.echo(f"Error: {text}", err=True)
    sys.exit(code)

"""Client for the runner on the agent's machine."""

from datetime import timedelta
from typing import Any, NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.platform.bounds import (
    Checkpoint,
    Clock,
    Measurement,
    Name,
    Percent,
)
from egretcrank.platform.calls import (
    HttpClient,
    Response,
    decode_body,
    identify_process,
    require_process,
)
from egretcrank.platform.rows import (
    decode_cell,
    decode_cells,
    decode_list_body,
    parse_rows,
)
from egretcrank.wire.bounds import Amount, Count
from egretcrank.wire.hosting import EndedTask, RunningTask, StartOrder

# A local call takes about 1 ms, and up to 100 ms on a throttled machine.
CALL_TIMEOUT = timedelta(milliseconds=600)
# Timeout of a poll beyond the wait that it requests.
POLL_MARGIN = timedelta(milliseconds=900)
MAX_CONNECTIONS = 10
# Number of ended tasks that a runner lists at a time.
MAX_LISTED_ENDS = 500
# Refusals of a command: its fencing token is lower than one that the runner has seen,
# or the runner is unhealthy and has done nothing.
FENCED = "fence"
UNHEALTHY = "unhealthy"
# What the rows of its lists begin with, in log lines.
RUN_ROW = "a task and the number of its run"
END_ROW = "a number, a task, the number of its run, and an outcome"
INSTANCE_HEADER = "Egretcrank-Expected-Instance"

_name_decoder: msgspec.json.Decoder[str] = msgspec.json.Decoder(Name)
_count_decoder: msgspec.json.Decoder[int] = msgspec.json.Decoder(Count)
_checkpoint_decoder: msgspec.json.Decoder[str] = msgspec.json.Decoder(Checkpoint)
_percent_decoder: msgspec.json.Decoder[float] = msgspec.json.Decoder(Percent)
_measurement_decoder: msgspec.json.Decoder[float] = msgspec.json.Decoder(Measurement)


class CommandResult(NamedTuple):
    """Result of a command; ``refusal`` is empty if the runner accepted it.

    ``clock`` is the runner's clock in milliseconds, or 0 if the reply lacks it.
    """

    clock: int
    refusal: str


class RunnerSnapshot(NamedTuple):
    """Running and ended tasks of a runner; ``clock`` is its clock in milliseconds.

    ``has_more_ends`` tells that the list of ended tasks may lack some.
    """

    clock: int
    born: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]
    has_more_ends: bool = False


class _CommandBody(msgspec.Struct):
    clock_ms: int = 0
    reason: str = ""


class _ListBody(msgspec.Struct):
    clock_ms: Clock
    running: list[msgspec.Raw] = []
    ended: list[msgspec.Raw] = []
    born: Amount = 0


class Runner:
    """Client for the runner at one address.

    A call may take effect long after it timed out. The fencing ``token`` limits this:
    the runner rejects calls with a lower token than the highest it has seen.

    Another process may take the place of the runner at any time. A start uses only
    connections on which the process that it is meant for has answered a poll.
    """

    def __init__(self, address: str) -> None:
        self._client = HttpClient(address, MAX_CONNECTIONS)
        self._command_client = HttpClient(address, MAX_CONNECTIONS)
        # Instance that commands expect; another one at the address rejects them.
        self.instance = ""

    def start(
        self, order: StartOrder, deadline: int, token: int, process: int
    ) -> Result[CommandResult, Problem]:
        """Start a run on the runner process ``process``.

        Extends the lease of all runs on the runner to ``deadline``, in milliseconds of
        its clock. Fails as ``unreachable`` if the idle connection that it would use is
        not known to lead to that process, or if there is none.
        """
        body: dict[str, Any] = {
            "task": order.task,
            "run": order.run,
            "spec": order.spec,
            "deadline_ms": deadline,
            "fencing_token": token,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        with require_process(process):
            response = self._post(
                self._client, "/-/run-start", body, CALL_TIMEOUT, self.instance
            )
        return response.bind(_parse_command_result)

    def stop(self, task: str, run: int, token: int) -> Result[CommandResult, Problem]:
        """Stop a run; its capacity is free once the run is listed as ended."""
        body = {"task": task, "run": run, "fencing_token": token}
        return self._command("/-/run-stop", body)

    def set_pace(
        self, task: str, run: int, percent: int, token: int
    ) -> Result[CommandResult, Problem]:
        """Throttle a task to a percentage of its full speed."""
        body = {"task": task, "run": run, "percent": percent, "fencing_token": token}
        return self._command("/-/pace", body)

    def _command(
        self, url: str, body: dict[str, Any]
    ) -> Result[CommandResult, Problem]:
        response = self._post(
            self._command_client, url, body, CALL_TIMEOUT, self.instance
        )
        return response.bind(_parse_command_result)

    def poll(
        self,
        deadline: int | None,
        token: int,
        acknowledged: int,
        wait: timedelta,
        instance: str = "",
    ) -> Result[RunnerSnapshot, Problem]:
        """List running and ended tasks, waiting up to ``wait`` for a task to end.

        ``deadline`` extends the lease of all tasks on the runner. The runner discards
        ended tasks up to number ``acknowledged``. Fails as ``wrong_incarnation`` if
        another instance than ``instance`` answers; any may if that is empty.
        """
        body: dict[str, Any] = {"fencing_token": token, "last_seen": acknowledged}
        if deadline is not None:
            body["deadline_ms"] = deadline
        if wait:
            body["wait_ms"] = int(wait / timedelta(milliseconds=1))
        timeout = wait + POLL_MARGIN
        response = self._post(self._client, "/-/hold", body, timeout, instance)
        snapshot = response.bind(_parse_snapshot)
        if isinstance(snapshot, Success):
            identify_process(snapshot.unwrap().born)
        return snapshot

    def _post(
        self,
        client: HttpClient,
        url: str,
        body: dict[str, Any],
        timeout: timedelta,
        instance: str,
    ) -> Result[Response, Problem]:
        headers = {INSTANCE_HEADER: instance} if instance else {}
        data = msgspec.json.encode(body)
        return client.call("POST", url, data, timeout, headers)

    def close(self) -> None:
        """Close idle connections."""
        self._client.close()
        self._command_client.close()


def _parse_command_result(response: Response) -> Result[CommandResult, Problem]:
    match response.status:
        case 200:
            return decode_body(response.body, _CommandBody).map(
                lambda body: CommandResult(body.clock_ms, "")
            )
        case 409:
            return decode_body(response.body, _CommandBody).map(
                lambda body: CommandResult(body.clock_ms, body.reason or "conflict")
            )
        case 429 | 503:
            return Success(CommandResult(0, UNHEALTHY))
        case 400 | 421:
            return Success(CommandResult(0, "invalid"))
    return Failure(
        Problem(
            ErrorKind.CALL_TIMEOUT, f"unexpected status {response.status}", "runner"
        )
    )


def _parse_snapshot(response: Response) -> Result[RunnerSnapshot, Problem]:
    if response.status == 409:
        return Failure(
            Problem(
                ErrorKind.STALE_EPOCH,
                "fencing token is lower than one already seen",
                "runner",
            )
        )
    if response.status == 421:
        return Failure(
            Problem(ErrorKind.WRONG_INCARNATION, "another instance answers", "runner")
        )
    if response.status != 200:
        return Failure(
            Problem(
                ErrorKind.UNREACHABLE, f"unexpected status {response.status}", "runner"
            )
        )
    return decode_list_body(response.body, _ListBody).bind(_build_snapshot)


def _build_snapshot(body: _ListBody) -> Result[RunnerSnapshot, Problem]:
    """Return the lists, unless they do not tell which runner process they are of."""
    if body.born <= 0:
        problem = Problem(
            ErrorKind.INVALID_MESSAGE, "born is missing", "runner", "a positive integer"
        )
        return Failure(problem)
    snapshot = RunnerSnapshot(
        body.clock_ms,
        body.born,
        parse_rows(body.running, _parse_running, "running", RUN_ROW),
        parse_rows(body.ended, _parse_ended, "ended", END_ROW),
        len(body.ended) >= MAX_LISTED_ENDS,
    )
    return Success(snapshot)


def _parse_running(row: msgspec.Raw) -> RunningTask | None:
    """Return the run of a row; a run whose details are invalid still goes on."""
    cells = decode_cells(row)
    if len(cells) < 2:
        return None
    task = decode_cell(cells[0], _name_decoder, "")
    run = decode_cell(cells[1], _count_decoder, -1)
    if not task or run < 0:
        return None
    checkpoint, progress, measurement, *_ = [*cells[2:], b"", b"", b""]
    return RunningTask(
        task,
        run,
        decode_cell(checkpoint, _checkpoint_decoder, ""),
        int(decode_cell(progress, _percent_decoder, 0.0)),
        decode_cell(measurement, _measurement_decoder, 0.0),
    )


def _parse_ended(row: msgspec.Raw) -> EndedTask | None:
    """Return the end of a row; a run whose checkpoint is invalid has still ended."""
    cells = decode_cells(row)
    if len(cells) < 5:
        return None
    number = decode_cell(cells[0], _count_decoder, -1)
    task = decode_cell(cells[1], _name_decoder, "")
    run = decode_cell(cells[2], _count_decoder, -1)
    outcome = decode_cell(cells[3], _name_decoder, "")
    if number < 0 or not task or run < 0 or not outcome:
        return None
    checkpoint = decode_cell(cells[4], _checkpoint_decoder, "")
    return EndedTask(number, task, run, outcome, checkpoint)

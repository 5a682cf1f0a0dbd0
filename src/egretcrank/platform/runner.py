"""Client of the runner on the agent's own machine."""

from datetime import timedelta
from typing import Any, NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.platform.calls import Caller, Reply, decode_body
from egretcrank.wire.hosting import EndedTask, RunningTask, StartOrder

# A call on one machine takes about a millisecond; a slowed machine was seen at 100 ms.
CALL_TIMEOUT = timedelta(milliseconds=600)
LOOK_MARGIN = timedelta(milliseconds=900)
CONNECTIONS = 6
INSTANCE_HEADER = "Egretcrank-Expected-Instance"


class Started(NamedTuple):
    """Answer to a start: ``refusal`` is empty if the run is there."""

    clock: int
    refusal: str


class Look(NamedTuple):
    """What a runner says it runs and ran; ``clock`` is in its milliseconds."""

    clock: int
    born: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]


class _Answer(msgspec.Struct):
    clock_ms: int = 0
    reason: str = ""


class _LookReply(msgspec.Struct):
    clock_ms: int
    running: list[list[Any]] = []
    ended: list[list[Any]] = []
    born: int = 0


class Runner:
    """Runner at one address. A call may have an effect long after it was given up;
    ``token`` is what bounds it: the runner does nothing for a lower one than it saw.
    """

    def __init__(self, address: str) -> None:
        self._caller = Caller(address, CONNECTIONS)
        # The runner that calls are meant for; another one at its address refuses them.
        self.instance = ""

    def start(
        self, order: StartOrder, deadline: int, token: int
    ) -> Result[Started, Problem]:
        """Start a run; everything there ends at ``deadline`` on the runner's clock."""
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
        return self._post("/-/run-start", body, CALL_TIMEOUT).bind(_read_started)

    def stop(self, task: str, run: int, token: int) -> Result[Started, Problem]:
        """Stop a run; its capacity is free when its end is listed."""
        body = {"task": task, "run": run, "fencing_token": token}
        return self._post("/-/run-stop", body, CALL_TIMEOUT).bind(_read_started)

    def set_pace(
        self, task: str, run: int, percent: int, token: int
    ) -> Result[Started, Problem]:
        """Let a task work at a share of its speed."""
        body = {"task": task, "run": run, "percent": percent, "fencing_token": token}
        return self._post("/-/pace", body, CALL_TIMEOUT).bind(_read_started)

    def look(
        self, deadline: int | None, token: int, seen: int, wait: timedelta
    ) -> Result[Look, Problem]:
        """List runs and ends, waiting up to ``wait`` for an end.

        ``deadline`` extends the lease of everything that runs there. The runner
        forgets the ends up to number ``seen``.
        """
        body: dict[str, Any] = {"fencing_token": token, "last_seen": seen}
        if deadline is not None:
            body["deadline_ms"] = deadline
        if wait:
            body["wait_ms"] = int(wait / timedelta(milliseconds=1))
        return self._post("/-/hold", body, wait + LOOK_MARGIN).bind(_read_look)

    def _post(
        self, url: str, body: dict[str, Any], timeout: timedelta
    ) -> Result[Reply, Problem]:
        headers = {INSTANCE_HEADER: self.instance} if self.instance else {}
        data = msgspec.json.encode(body)
        return self._caller.call("POST", url, data, timeout, headers)

    def close(self) -> None:
        """Close idle connections."""
        self._caller.close()


def _read_started(reply: Reply) -> Result[Started, Problem]:
    match reply.status:
        case 200:
            return decode_body(reply.body, _Answer).map(
                lambda body: Started(body.clock_ms, "")
            )
        case 409:
            return decode_body(reply.body, _Answer).map(
                lambda body: Started(body.clock_ms, body.reason or "conflict")
            )
        case 429 | 503:
            return Success(Started(0, "unhealthy"))
        case 400 | 421:
            return Success(Started(0, "invalid"))
    return Failure(Problem(ErrorKind.CALL_TIMEOUT, f"status {reply.status}", "runner"))


def _read_look(reply: Reply) -> Result[Look, Problem]:
    if reply.status == 409:
        return Failure(Problem(ErrorKind.STALE_EPOCH, "token is too low", "runner"))
    if reply.status != 200:
        return Failure(
            Problem(ErrorKind.UNREACHABLE, f"status {reply.status}", "runner")
        )
    return decode_body(reply.body, _LookReply).map(_build_look)


def _build_look(body: _LookReply) -> Look:
    running = [_read_running(row) for row in body.running]
    ended = [_read_ended(row) for row in body.ended]
    return Look(
        body.clock_ms,
        body.born,
        tuple(task for task in running if task is not None),
        tuple(task for task in ended if task is not None),
    )


def _read_running(row: list[Any]) -> RunningTask | None:
    match row:
        case [str(task), int(run), str(saved), int(progress), *rest]:
            figure = rest[0] if rest and isinstance(rest[0], int | float) else 0
            return RunningTask(task, run, saved, progress, float(figure))
    return None


def _read_ended(row: list[Any]) -> EndedTask | None:
    match row:
        case [int(number), str(task), int(run), str(how), str(saved), *_]:
            return EndedTask(number, task, run, how, saved)
    return None

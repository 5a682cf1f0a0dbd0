"""Execution of orders on the runner."""

import logging
import threading
import time
from collections.abc import Callable, Iterable
from datetime import timedelta

from returns.result import Failure, Success

from egretcrank.agent.pace import PaceChange
from egretcrank.agent.starts import WaitingStart
from egretcrank.agent.state import AgentState
from egretcrank.agent.tokens import FencingToken
from egretcrank.clock import Clock
from egretcrank.errors.answers import was_not_run
from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.observability.metrics import Metrics
from egretcrank.platform.runner import (
    FENCED,
    UNHEALTHY,
    CommandResult,
    Runner,
    RunnerSnapshot,
)
from egretcrank.transport.loops import start_loop
from egretcrank.wire.hosting import Run

# Starts run concurrently, so that an unanswered one delays few others.
START_THREADS = 4
STOP_THREADS = 4
POLL_DELAY_AFTER_FAILURE = timedelta(milliseconds=150)
# Polls that open a connection for a start; other starts may take it first.
MAX_OPENING_POLLS = 3

logger = logging.getLogger(__name__)


class OrderExecutor:
    """Sends starts, stops and paces to the runner.

    Stops and paces have threads of their own, so that they never wait behind a start
    without an answer. A thread asks the state what to send when it is free to send it:
    an order that was withdrawn while it waited is not sent.
    """

    def __init__(
        self,
        runner: Runner,
        state: AgentState,
        lock: threading.RLock,
        clock: Clock,
        metrics: Metrics,
        token: FencingToken,
        apply_snapshot: Callable[[RunnerSnapshot, int], None],
        request_report: Callable[[], None],
    ) -> None:
        self._runner = runner
        self._state = state
        self._lock = lock
        self._clock = clock
        self._metrics = metrics
        self._token = token
        self._apply_snapshot = apply_snapshot
        self._request_report = request_report
        self._starts_due = threading.Condition(lock)
        self._stops_due = threading.Condition(lock)
        self._paces_due = threading.Condition(lock)
        # Newest pace in percent by run, of those that the runner has not got yet, and
        # of those that it did not answer.
        self._paces: dict[Run, int] = {}
        self._unanswered_paces: dict[Run, int] = {}

    def start_threads(self) -> None:
        """Start the threads that carry out orders."""
        for number in range(START_THREADS):
            start_loop(f"starts-{number}", self._run_starts)
        for number in range(STOP_THREADS):
            start_loop(f"stops-{number}", self._run_stops)
        start_loop("paces", self._run_paces)

    def wake(self) -> None:
        """Let the threads look for what is due; the caller need not hold the lock."""
        with self._lock:
            waiting = self._state.waiting_starts
            if waiting:
                self._starts_due.notify(waiting)
            stops = self._state.count_due_stops(self._clock.boottime())
            if stops:
                self._stops_due.notify(stops)

    # Starts

    def _run_starts(self) -> None:
        while True:
            with self._lock:
                waiting = self._state.take_start()
                if waiting is None:
                    self._starts_due.wait()
                    continue
            self.carry_out(waiting)

    def carry_out(self, waiting: WaitingStart) -> None:
        """Send a start to the runner, unless it is not permitted any more."""
        try:
            self._start(waiting)
        except Exception:
            logger.exception("a start failed", extra={"task": waiting.run.task})
            self._resolve_start(waiting.run, self._state.born)

    def _start(self, waiting: WaitingStart) -> None:
        run = waiting.run
        opening_polls = 0
        while True:
            with self._lock:
                now = self._clock.boottime()
                waited = now - waiting.accepted_at
                token = self._token.value
                permission = self._state.permit_start(waiting, now)
            match permission:
                case Failure(reason):
                    self._report_refusal(run, reason)
                    return
                case Success(permit):
                    pass
            self._metrics.order_wait_seconds.add({}, waited.total_seconds())
            started = self._runner.start(
                waiting.order, permit.deadline, token, permit.born
            )
            duration = self._clock.boottime() - now
            self._metrics.runner_seconds.add({}, duration.total_seconds())
            match started:
                case Success(CommandResult(_, "")):
                    self._metrics.count_runner_call("start", None)
                    with self._lock:
                        self._state.mark_started(
                            run, self._clock.boottime(), permit.born
                        )
                    logger.info(
                        "run started",
                        extra={
                            "task": run.task,
                            "run": run.run,
                            "waited": waited.total_seconds(),
                            "answered_after": duration.total_seconds(),
                        },
                    )
                    return
                case Success(CommandResult(_, refusal)) if refusal == FENCED:
                    self._token.advance(token)
                case Success(CommandResult(_, refusal)):
                    self._report_refusal(run, refusal)
                    return
                case Failure(problem):
                    may_poll = opening_polls < MAX_OPENING_POLLS
                    if was_not_run(problem.kind) and may_poll:
                        with self._lock:
                            self._state.mark_unsent(run)
                        opening_polls += 1
                        if self._open_connection():
                            # The runner may be another process, so ask again.
                            continue
                    self._metrics.count_runner_call("start", problem)
                    self._handle_unanswered_start(run, problem, permit.born)
                    return

    def _open_connection(self) -> bool:
        """Open a connection for starts; return whether the runner has answered on it.

        The reply tells which runner process the connection leads to.
        """
        while True:
            token = self._token.value
            with self._lock:
                poll = self._state.begin_poll()
            match self._runner.poll(None, token, 0, timedelta()):
                case Success(snapshot):
                    self._metrics.count_runner_call("look", None)
                    self._apply_snapshot(snapshot, poll)
                    return True
                case Failure(Problem(kind=ErrorKind.STALE_EPOCH)):
                    self._token.advance(token)
                case Failure(problem):
                    self._metrics.count_runner_call("look", problem)
                    return False

    def _handle_unanswered_start(self, run: Run, problem: Problem, born: int) -> None:
        may_have_run = not was_not_run(problem.kind)
        with self._lock:
            suspected = self._state.mark_start_unanswered(
                run, self._clock.boottime(), may_have_run
            )
        if suspected:
            self._request_report()
        if not may_have_run:
            self._report_refusal(run, "unreachable")
            return
        logger.warning(
            "no reply to a start; polling for its outcome",
            extra={"task": run.task, "detail": problem.detail},
        )
        self._resolve_start(run, born)

    def _report_refusal(self, run: Run, reason: str) -> None:
        with self._lock:
            self._state.mark_refused(run, reason)
        self._request_report()

    def _resolve_start(self, run: Run, born: int) -> None:
        """Determine whether an unanswered start took effect and prevent a later effect.

        A poll with a higher fencing token makes the runner reject the start from then
        on.
        """
        token = self._token.raise_above(self._token.value)
        while True:
            with self._lock:
                poll = self._state.begin_poll()
            match self._runner.poll(None, token, 0, timedelta()):
                case Success(snapshot):
                    self._apply_snapshot(snapshot, poll)
                    if self._resolve_start_from(run, snapshot, born):
                        return
                case Failure(Problem(kind=ErrorKind.STALE_EPOCH)):
                    token = self._token.raise_above(token)
                case Failure(problem):
                    with self._lock:
                        now = self._clock.boottime()
                        self._state.mark_failed(now)
                        expired = self._state.have_leases_expired(
                            now, problem.kind is ErrorKind.CONNECTION_REFUSED
                        )
                        if expired:
                            self._state.suspect_silent_runs(now, poll)
                    if expired:
                        self._report_refusal(run, "runner is silent")
                        return
            time.sleep(POLL_DELAY_AFTER_FAILURE.total_seconds())

    def _resolve_start_from(
        self, run: Run, snapshot: RunnerSnapshot, born: int
    ) -> bool:
        """Return whether a reply tells the outcome of a start, and record it."""
        with self._lock:
            took_effect = self._state.resolve_start(
                run, snapshot, born, self._clock.boottime()
            )
        if took_effect:
            return True
        if snapshot.has_more_ends:
            return False
        self._report_refusal(run, "unanswered")
        return True

    # Stops

    def _run_stops(self) -> None:
        while True:
            with self._lock:
                run = self._state.take_stop(self._clock.boottime())
                if run is None:
                    self._stops_due.wait()
                    continue
            self._stop(run)

    def _stop(self, run: Run) -> None:
        token = self._token.value
        match self._runner.stop(run.task, run.run, token):
            case Success(CommandResult(_, refusal)):
                self._metrics.count_runner_call("stop", None)
                result = refusal
                if refusal == FENCED:
                    self._token.advance(token)
                    with self._lock:
                        self._state.mark_stop_failed(run)
            case Failure(problem):
                self._metrics.count_runner_call("stop", problem)
                result = problem.kind.value
        logger.info(
            "stop sent",
            extra={"task": run.task, "run": run.run, "result": result or "ok"},
        )

    # Paces

    def set_paces(self, changes: Iterable[PaceChange]) -> None:
        """Send paces; a newer pace of a run replaces one that was not sent yet.

        Paces without an answer are sent again after those that wait, as they may get
        none again.
        """
        with self._lock:
            for change in changes:
                self._paces[Run(change.task, change.run)] = change.percent
            for run, percent in self._unanswered_paces.items():
                self._paces.setdefault(run, percent)
            self._unanswered_paces.clear()
            if self._paces:
                self._paces_due.notify()

    def _run_paces(self) -> None:
        while True:
            with self._lock:
                change = self._take_pace()
                if change is None:
                    self._paces_due.wait()
                    continue
            self._set_pace(change)

    def _take_pace(self) -> PaceChange | None:
        """Return the next pace to send, of a run that goes on."""
        while self._paces:
            run = next(iter(self._paces))
            percent = self._paces.pop(run)
            if self._state.is_running(run):
                return PaceChange(*run, percent)
        return None

    def _set_pace(self, change: PaceChange) -> None:
        token = self._token.value
        run = Run(change.task, change.run)
        match self._runner.set_pace(*change, token):
            case Success(CommandResult(_, refusal)):
                if refusal == FENCED:
                    self._token.advance(token)
                elif refusal != UNHEALTHY:
                    return
            case Failure(problem):
                self._metrics.count_runner_call("pace", problem)
                if not was_not_run(problem.kind):
                    # Otherwise it could be carried out after a newer one.
                    self._token.raise_above(token)
        with self._lock:
            if run not in self._paces:
                self._unanswered_paces[run] = change.percent

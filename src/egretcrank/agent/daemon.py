"""Agent process: its threads, and the execution of orders on the runner."""

import logging
import os
import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta
from uuid import uuid4

from cheroot.wsgi import Server
from returns.result import Failure, Success

from egretcrank.agent.pace import MEASUREMENT_INTERVAL, PaceChange, PaceController
from egretcrank.agent.state import AgentState, Identity
from egretcrank.clock import Clock, SystemClock
from egretcrank.controller.candidates import choose_leader
from egretcrank.controller.election import CONTROLLER_GROUP, SLOT_TOPICS
from egretcrank.errors.answers import was_not_run
from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.observability.exposition import serve_metrics
from egretcrank.observability.logs import flush_logs
from egretcrank.observability.metrics import Metrics
from egretcrank.platform.heartbeats import (
    MAX_HEARTBEAT_BYTES,
    Heartbeat,
    HeartbeatEndpoint,
)
from egretcrank.platform.runner import (
    POLL_MARGIN,
    CommandResult,
    Runner,
    RunnerSnapshot,
)
from egretcrank.platform.store import Store
from egretcrank.settings.platform import AgentSettings
from egretcrank.transport.leader import (
    AnnouncementReceiver,
    LeaderLink,
    LeaderMessage,
)
from egretcrank.transport.loops import start_loop
from egretcrank.wire.hosting import (
    NO_ROOM,
    AppendAnswer,
    HostOrders,
    LeaderMoved,
    LeaderStatus,
    NumberedOrder,
    Run,
    StartOrder,
    StopOrder,
    get_capacity,
    is_use_changed,
)

REPORT_INTERVAL = timedelta(milliseconds=500)
# A leader answers each report. After two unanswered reports, the agent looks up the
# leader again.
LEADER_SILENCE_TIMEOUT = timedelta(milliseconds=1300)
RECONNECT_INTERVAL = timedelta(milliseconds=700)
POLL_DELAY_AFTER_FAILURE = timedelta(milliseconds=150)
# A runner with unacknowledged ends answers polls at once, and acknowledging them takes
# an append to the log. The delay avoids polling in a busy loop meanwhile.
POLL_DELAY_AFTER_END = timedelta(milliseconds=100)
# The starts of one batch of orders run concurrently, so that an unanswered one delays
# few others.
ORDER_THREADS = 4
HEARTBEAT_THREADS = 2
# Increase of the fencing token after the runner has refused it. The token starts as a
# wall clock reading in milliseconds. The runner may know a higher one if the clock has
# jumped back, and the step covers such jumps.
TOKEN_STEP = 5000
# The main thread handles signals between two waits of this length.
SIGNAL_CHECK_INTERVAL = timedelta(milliseconds=200)

logger = logging.getLogger(__name__)


class Agent:
    """Executes the orders of the leader on one runner."""

    def __init__(self, settings: AgentSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._lock = threading.RLock()
        self._metrics = Metrics()
        self._store = Store(settings.store.address)
        self._runner = Runner(settings.runner.address)
        self._state = AgentState(
            Identity(settings.host.name, settings.host.peer_address, uuid4().hex[:12]),
            settings.bounds,
        )
        self._pace = PaceController()
        self._pace_adjusted_at = timedelta()
        self._token = int(clock.now().timestamp() * 1000)
        self._runner_unreachable = False
        self._report_due = threading.Event()
        self._stopping = threading.Event()
        self._leader: LeaderMoved | None = None
        self._connected_at = timedelta()
        self._link = LeaderLink(settings.host.name, self._handle_message)
        self._announcements = AnnouncementReceiver(
            settings.host.peer_address, self._handle_message
        )
        self._pool = ThreadPoolExecutor(ORDER_THREADS, thread_name_prefix="orders")
        host, _, port = settings.runner.heartbeat_address.rpartition(":")
        self._heartbeats = Server(
            (host, int(port)),
            HeartbeatEndpoint(self._handle_heartbeat, self._handle_runner_left),
            numthreads=HEARTBEAT_THREADS,
            max=HEARTBEAT_THREADS,
        )
        self._heartbeats.max_request_body_size = MAX_HEARTBEAT_BYTES

    def run(self) -> None:
        """Run until SIGTERM or SIGINT.

        The runner's tasks continue until their lease expires.
        """
        signal.signal(signal.SIGTERM, lambda *_: self._stopping.set())
        signal.signal(signal.SIGINT, lambda *_: self._stopping.set())
        signal.signal(
            signal.SIGHUP,
            lambda *_: logger.info("ignoring SIGHUP: settings are not reloaded"),
        )
        self._heartbeats.prepare()
        for target in (
            self._heartbeats.serve,
            self._announcements.run,
            self._run_looks,
            self._run_reports,
        ):
            start_loop(target.__qualname__, target)
        serve_metrics(self._settings.host.metrics_address, self._render_metrics)
        logger.info("started")
        while not self._stopping.wait(SIGNAL_CHECK_INTERVAL.total_seconds()):
            pass
        logger.info("stopped")
        # The tasks stay on the runner. The next agent process, with a higher fencing
        # token, takes them over.
        flush_logs()
        os._exit(0)

    def _render_metrics(self, accept: str) -> tuple[bytes, dict[str, str]]:
        with self._lock:
            left = self._state.authority_until - self._clock.boottime()
        self._metrics.authority_seconds.set({}, max(0.0, left.total_seconds()))
        return self._metrics.render(accept)

    def _count_call(self, call: str, failed: Problem | None) -> None:
        result = failed.kind.value if failed else "ok"
        self._metrics.runner_calls.inc({"call": call, "result": result})

    # Runner

    def _handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        with self._lock:
            known = self._state.runner
            is_new = self._state.update_runner(heartbeat.runner, heartbeat.sequence)
            if is_new:
                self._runner.instance = heartbeat.runner.runner_id
            changed = known is None or is_use_changed(known, heartbeat.runner)
        if not is_new:
            logger.info(
                "old heartbeat ignored",
                extra={
                    "runner": heartbeat.runner.runner_id,
                    "born": heartbeat.runner.born,
                    "sequence": heartbeat.sequence,
                },
            )
        elif changed:
            logger.info(
                "runner state changed",
                extra={
                    "runner": heartbeat.runner.runner_id,
                    "draining": heartbeat.runner.draining,
                    "capacity": get_capacity(heartbeat.runner),
                    "capacity_before": get_capacity(known) if known else None,
                },
            )
            self._report_due.set()

    def _handle_runner_left(self, runner_id: str) -> None:
        with self._lock:
            known = self._state.runner
            self._state.mark_runner_left(runner_id)
        logger.info(
            "runner left",
            extra={"runner": runner_id, "born": known.born if known else 0},
        )
        self._report_due.set()

    def _run_looks(self) -> None:
        """Poll the runner continuously; the metrics count polls as ``look``."""
        wait = timedelta()
        is_answered = True
        while not self._stopping.is_set():
            if not self._poll_runner(wait):
                wait = timedelta()
                is_answered = False
                time.sleep(POLL_DELAY_AFTER_FAILURE.total_seconds())
                continue
            # The reply to a retry allows to renew the lease, which must not wait for a
            # poll that the runner holds.
            wait = MEASUREMENT_INTERVAL if is_answered else timedelta()
            is_answered = True
            with self._lock:
                unacknowledged = self._state.has_unacknowledged_ends
            if unacknowledged:
                time.sleep(POLL_DELAY_AFTER_END.total_seconds())

    def _poll_runner(self, wait: timedelta) -> bool:
        with self._lock:
            deadline = self._state.compute_lease_deadline(self._clock.boottime())
            token = self._token
            acknowledged = self._state.acknowledged_ends
            poll = self._state.begin_poll()
            sent_at = self._clock.boottime()
        match self._runner.poll(deadline, token, acknowledged, wait):
            case Success(snapshot):
                self._count_call("look", None)
                self._log_reachability("")
                self._apply_snapshot(snapshot, poll)
                return True
            case Failure(problem):
                self._count_call("look", problem)
                if problem.kind is ErrorKind.STALE_EPOCH:
                    self._advance_token(token)
                else:
                    self._log_reachability(problem.detail)
                    elapsed = self._clock.boottime() - sent_at
                    timed_out = elapsed >= wait + POLL_MARGIN
                    self._handle_unanswered_poll(problem, poll, timed_out)
        return False

    def _handle_unanswered_poll(
        self, problem: Problem, poll: int, timed_out: bool
    ) -> None:
        refused = problem.kind is ErrorKind.CONNECTION_REFUSED
        # An answer that cannot be used is no sign of a crash.
        is_broken = refused or (
            problem.kind is ErrorKind.CALL_TIMEOUT and not timed_out
        )
        with self._lock:
            now = self._clock.boottime()
            suspected = self._state.mark_unanswered(poll, now, is_broken)
            expired = self._state.expire_silent_runs(now, refused, poll)
        if suspected or expired:
            self._report_due.set()

    def _log_reachability(self, problem: str) -> None:
        if bool(problem) == self._runner_unreachable:
            return
        self._runner_unreachable = bool(problem)
        logger.warning(
            "runner lost" if problem else "runner regained",
            extra={"detail": problem},
        )

    def _advance_token(self, refused: int) -> None:
        """Increase the fencing token, unless another thread already has."""
        with self._lock:
            if self._token == refused:
                self._token = refused + TOKEN_STEP
                logger.info("fencing token increased", extra={"token": self._token})

    def _apply_snapshot(self, snapshot: RunnerSnapshot, poll: int) -> None:
        with self._lock:
            changed = self._state.apply_snapshot(snapshot, self._clock.boottime(), poll)
            stops = self._state.list_pending_stops(self._clock.boottime())
            paces = self._adjust_pace()
            token = self._token
            crashes = self._state.take_crashes()
        for crash in crashes:
            suspects = "yes" if crash.suspects else "no"
            self._metrics.runner_crashes.inc({"suspects": suspects})
        if changed:
            self._report_due.set()
        for run in stops:
            self._runner.stop(run.task, run.run, token)
        for change in paces:
            self._runner.set_pace(change.task, change.run, change.percent, token)

    def _adjust_pace(self) -> list[PaceChange]:
        now = self._clock.boottime()
        if now - self._pace_adjusted_at < MEASUREMENT_INTERVAL / 2:
            return []
        self._pace_adjusted_at = now
        changes = self._pace.adjust(
            self._state.running, self._state.profiles, self._state.raw_measurements, now
        )
        if changes:
            self._metrics.paces.add({}, len(changes))
            logger.info(
                "pace", extra={"percents": {c.task: c.percent for c in changes}}
            )
        return changes

    # Orders

    def _handle_message(self, message: LeaderMessage) -> None:
        match message:
            case HostOrders():
                self._handle_orders(message)
            case LeaderMoved():
                with self._lock:
                    known = self._leader.epoch if self._leader else 0
                    if message.epoch < max(self._state.epoch, known):
                        return
                    moved = message.address != self._link.address
                    self._leader = message
                if moved:
                    logger.info(
                        "leader moved",
                        extra={"epoch": message.epoch, "address": message.address},
                    )
                    self._report_due.set()
            case AppendAnswer() | LeaderStatus():
                kind = type(message).__name__
                logger.warning("message refused", extra={"message_kind": kind})

    def _handle_orders(self, message: HostOrders) -> None:
        with self._lock:
            epoch = self._state.epoch
            orders = self._state.accept_orders(message)
            self._pace.update_shared_estimates(message.pressures)
            self._state.confirm_report(message)
            if message.epoch >= self._state.epoch:
                self._state.leader_heard_at = self._clock.boottime()
            if message.epoch > epoch:
                logger.info("attaching", extra={"epoch": message.epoch})
                self._report_due.set()
        for order in orders:
            self._pool.submit(
                self._execute_order, order, (message.epoch, message.session)
            )
        if orders:
            self._report_due.set()

    def _execute_order(self, order: NumberedOrder, session: tuple[int, int]) -> None:
        try:
            match order:
                case NumberedOrder(start=StartOrder() as start):
                    self._start(start, session)
                case NumberedOrder(stop=StopOrder(task, run)):
                    self._runner.stop(task, run, self._token)
        except Exception:
            logger.exception(
                "executing an order failed", extra={"number": order.number}
            )

    def _start(self, order: StartOrder, session: tuple[int, int]) -> None:
        run = Run(order.task, order.run)
        while True:
            with self._lock:
                now = self._clock.boottime()
                deadline = self._state.compute_lease_deadline(now)
                draining = self._state.runner is None or self._state.runner.draining
                born = self._state.born
                over = not self._state.is_current_session(session)
                token = self._token
                usable = not (over or draining or deadline is None)
                has_room = usable and self._state.reserve_start(run)
                if has_room:
                    self._state.mark_sent(run, now)
            if over or draining or deadline is None:
                reason = "draining" if draining else "no authority"
                self._report_refusal(run, "session is over" if over else reason)
                return
            if not has_room:
                self._report_refusal(run, NO_ROOM)
                return
            started_at = self._clock.boottime()
            started = self._runner.start(order, deadline, token)
            duration = self._clock.boottime() - started_at
            self._metrics.runner_seconds.add({}, duration.total_seconds())
            match started:
                case Success(CommandResult(_, "")):
                    self._count_call("start", None)
                    with self._lock:
                        self._state.mark_started(run, self._clock.boottime(), born)
                    logger.info("run started", extra={"task": run.task, "run": run.run})
                    return
                case Success(CommandResult(_, "fence")):
                    self._advance_token(token)
                case Success(CommandResult(_, refusal)):
                    self._report_refusal(run, refusal)
                    return
                case Failure(problem):
                    self._count_call("start", problem)
                    may_have_run = not was_not_run(problem.kind)
                    with self._lock:
                        suspected = self._state.mark_start_unanswered(
                            run, self._clock.boottime(), may_have_run
                        )
                    if suspected:
                        self._report_due.set()
                    if not may_have_run:
                        self._report_refusal(run, "unreachable")
                    else:
                        logger.warning(
                            "no reply to a start; polling for its outcome",
                            extra={"task": run.task, "detail": problem.detail},
                        )
                        self._resolve_start(run, born)
                    return

    def _report_refusal(self, run: Run, reason: str) -> None:
        with self._lock:
            self._state.mark_refused(run, reason)
        logger.info(
            "start refused",
            extra={"task": run.task, "run": run.run, "reason": reason},
        )
        self._report_due.set()

    def _resolve_start(self, run: Run, born: int) -> None:
        """Determine whether an unanswered start took effect and prevent a later effect.

        A poll with a higher fencing token makes the runner reject the start from then
        on.
        """
        with self._lock:
            self._token += 1
            token = self._token
        while not self._stopping.is_set():
            with self._lock:
                poll = self._state.begin_poll()
            match self._runner.poll(None, token, 0, timedelta()):
                case Success(snapshot):
                    self._apply_snapshot(snapshot, poll)
                    if self._resolve_start_from(run, snapshot, born):
                        return
                case Failure(problem):
                    with self._lock:
                        now = self._clock.boottime()
                        if problem.kind is ErrorKind.STALE_EPOCH:
                            token = max(self._token, token + 1)
                            self._token = token
                        else:
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

    # Reports

    def _run_reports(self) -> None:
        while not self._stopping.is_set():
            self._report_due.wait(REPORT_INTERVAL.total_seconds())
            self._report_due.clear()
            self._update_connection()
            with self._lock:
                report = self._state.build_report(self._clock.boottime(), self._pace)
            self._link.send(report)

    def _update_connection(self) -> None:
        """Connect to the leader if it has moved or does not respond."""
        now = self._clock.boottime()
        with self._lock:
            leader = self._leader
            heard_at = self._state.leader_heard_at
        if leader is not None and leader.address != self._link.address:
            self._connect(leader.address, now)
            return
        last = max(heard_at or timedelta(), self._connected_at)
        if now - last < (LEADER_SILENCE_TIMEOUT if heard_at else RECONNECT_INTERVAL):
            return
        address = self._look_up_leader()
        if address:
            self._connect(address, now)

    def _connect(self, address: str, now: timedelta) -> None:
        self._connected_at = now
        logger.info("connecting", extra={"address": address})
        self._link.connect(address)

    def _look_up_leader(self) -> str:
        match self._store.list_owners(CONTROLLER_GROUP, SLOT_TOPICS):
            case Success(owners):
                leader = choose_leader(owners, self._link.address)
                if leader is not None:
                    return leader.address
            case Failure(problem):
                logger.info(
                    "looking up the leader failed", extra={"detail": problem.detail}
                )
        return self._link.address


def run_agent(settings: AgentSettings) -> None:
    """Run an agent until it receives SIGTERM or SIGINT."""
    Agent(settings, SystemClock()).run()

"""Agent process: its threads, and its connections to the runner and the leader."""

import logging
import os
import signal
import threading
import time
from datetime import timedelta
from uuid import uuid4

from cheroot.wsgi import Server
from returns.result import Failure, Success

from egretcrank.agent.execution import POLL_DELAY_AFTER_FAILURE, OrderExecutor
from egretcrank.agent.ignored_heartbeats import IgnoredHeartbeats
from egretcrank.agent.pace import MEASUREMENT_INTERVAL, PaceChange, PaceController
from egretcrank.agent.state import AgentState, Identity
from egretcrank.agent.tokens import FencingToken
from egretcrank.clock import Clock, SystemClock
from egretcrank.controller.candidates import choose_leader
from egretcrank.controller.election import CONTROLLER_GROUP, SLOT_TOPICS
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
    AppendAnswer,
    HostOrders,
    LeaderMoved,
    LeaderStatus,
    get_capacity,
    is_use_changed,
)

REPORT_INTERVAL = timedelta(milliseconds=500)
# A leader answers each report. After two unanswered reports, the agent looks up the
# leader again.
LEADER_SILENCE_TIMEOUT = timedelta(milliseconds=1300)
RECONNECT_INTERVAL = timedelta(milliseconds=700)
# A runner with unacknowledged ends answers polls at once, and acknowledging them takes
# an append to the log. The delay avoids polling in a busy loop meanwhile.
POLL_DELAY_AFTER_END = timedelta(milliseconds=100)
HEARTBEAT_THREADS = 2
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
        self._token = FencingToken(int(clock.now().timestamp() * 1000))
        self._runner_unreachable = False
        self._ignored = IgnoredHeartbeats(clock, self._metrics)
        self._report_due = threading.Event()
        self._stopping = threading.Event()
        self._leader: LeaderMoved | None = None
        self._connected_at = timedelta()
        self._link = LeaderLink(settings.host.name, self._handle_message)
        self._announcements = AnnouncementReceiver(
            settings.host.peer_address, self._handle_message
        )
        self._executor = OrderExecutor(
            self._runner,
            self._state,
            self._lock,
            clock,
            self._metrics,
            self._token,
            self._apply_snapshot,
            self._report_due.set,
        )
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
        self._executor.start_threads()
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

    # Runner

    def _handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        with self._lock:
            known = self._state.runner
            is_new = self._state.update_runner(heartbeat.runner, heartbeat.sequence)
            self._runner.instance = self._state.runner_id
            changed = known is None or is_use_changed(known, heartbeat.runner)
        if not is_new:
            self._ignored.note(heartbeat, known)
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
            is_left = self._state.runner_left
        logger.info(
            "runner left" if is_left else "unregistration ignored",
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
            token = self._token.value
            acknowledged = self._state.acknowledged_ends
            instance = self._state.expected_instance
            poll = self._state.begin_poll()
            sent_at = self._clock.boottime()
        match self._runner.poll(deadline, token, acknowledged, wait, instance):
            case Success(snapshot):
                self._metrics.count_runner_call("look", None)
                self._log_reachability("")
                self._apply_snapshot(snapshot, poll)
                return True
            case Failure(problem):
                self._metrics.count_runner_call("look", problem)
                if problem.kind is ErrorKind.STALE_EPOCH:
                    self._token.advance(token)
                else:
                    self._log_reachability(problem.detail)
                    elapsed = self._clock.boottime() - sent_at
                    timed_out = elapsed >= wait + POLL_MARGIN
                    self._handle_unanswered_poll(problem, poll, timed_out)
                    if instance and problem.kind is ErrorKind.WRONG_INCARNATION:
                        with self._lock:
                            self._state.refuse_instance(instance, poll)
                        # Any process may answer the next poll.
                        return self._poll_runner(timedelta())
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

    def _apply_snapshot(self, snapshot: RunnerSnapshot, poll: int) -> None:
        with self._lock:
            changed = self._state.apply_snapshot(snapshot, self._clock.boottime(), poll)
            self._runner.instance = self._state.runner_id
            paces = self._adjust_pace()
            crashes = self._state.take_crashes()
        for crash in crashes:
            suspects = "yes" if crash.suspects else "no"
            self._metrics.runner_crashes.inc({"suspects": suspects})
        if changed:
            self._report_due.set()
        self._executor.wake()
        self._executor.set_paces(paces)

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
            orders = self._state.accept_orders(message, self._clock.boottime())
            self._pace.update_shared_estimates(message.pressures)
            self._state.confirm_report(message)
            if message.epoch >= self._state.epoch:
                self._state.leader_heard_at = self._clock.boottime()
            if message.epoch > epoch:
                logger.info("attaching", extra={"epoch": message.epoch})
                self._report_due.set()
        for order in orders:
            if order.stop is not None:
                logger.info("stop accepted", extra=order.stop._asdict())
        self._executor.wake()
        if orders:
            self._report_due.set()

    # Reports

    def _run_reports(self) -> None:
        while not self._stopping.is_set():
            self._report_due.wait(REPORT_INTERVAL.total_seconds())
            self._report_due.clear()
            self._update_connection()
            with self._lock:
                now = self._clock.boottime()
                self._state.refuse_outdated_starts(now)
                report = self._state.build_report(now, self._pace)
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

"""Agent process: its threads, and the way from an order to the runner."""

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

from egretcrank.agent.pace import FIGURE_INTERVAL, PaceChange, PaceController
from egretcrank.agent.state import AgentState, Identity
from egretcrank.clock import Clock, SystemClock
from egretcrank.controller.candidates import choose_leader
from egretcrank.controller.election import GROUP, SLOT_TOPICS
from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.observability.exposition import serve_metrics
from egretcrank.observability.logs import flush_logs
from egretcrank.observability.metrics import Metrics
from egretcrank.platform.heartbeats import Heartbeat, HeartbeatEndpoint
from egretcrank.platform.runner import Look, Runner, Started
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
    NumberedOrder,
    Run,
    StartOrder,
    StopOrder,
)

REPORT_INTERVAL = timedelta(milliseconds=500)
# A leader answers each report; two unanswered ones are a reason to look for another.
SILENT_AFTER = timedelta(milliseconds=1300)
RECONNECT_INTERVAL = timedelta(milliseconds=700)
LOOK_PAUSE_AFTER_FAILURE = timedelta(milliseconds=150)
# A runner with unacknowledged ends answers at once; acknowledging takes an append.
LOOK_PAUSE_AFTER_END = timedelta(milliseconds=100)
# Starts of one order batch run side by side, so that one lost answer delays few.
ORDER_THREADS = 4
HEARTBEAT_THREADS = 2
# A runner that saw a higher token than this clock gives; the step covers clock jumps.
TOKEN_STEP = 5000
# A signal is noticed between two waits of the main thread.
SIGNAL_CHECK = timedelta(milliseconds=200)

logger = logging.getLogger(__name__)


class Agent:
    """Carries out the orders of the leader on one runner."""

    def __init__(self, settings: AgentSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._lock = threading.RLock()
        self._metrics = Metrics()
        self._store = Store(settings.store.address)
        self._runner = Runner(settings.runner.address)
        self._state = AgentState(
            Identity(settings.host.name, settings.host.peer_address, uuid4().hex[:12])
        )
        self._pace = PaceController()
        self._paced_at = timedelta()
        self._token = int(clock.now().timestamp() * 1000)
        self._runner_lost = False
        self._report_due = threading.Event()
        self._stopping = threading.Event()
        self._leader: LeaderMoved | None = None
        self._connected_at = timedelta()
        self._link = LeaderLink(settings.host.name, self._take_message)
        self._announcements = AnnouncementReceiver(
            settings.host.peer_address, self._take_message
        )
        self._pool = ThreadPoolExecutor(ORDER_THREADS, thread_name_prefix="orders")
        host, _, port = settings.runner.heartbeat_address.rpartition(":")
        self._heartbeats = Server(
            (host, int(port)),
            HeartbeatEndpoint(self._take_heartbeat, self._take_leave),
            numthreads=HEARTBEAT_THREADS,
            max=HEARTBEAT_THREADS,
        )

    def run(self) -> None:
        """Run until SIGTERM; the runner's tasks go on until their lease ends."""
        signal.signal(signal.SIGTERM, lambda *_: self._stopping.set())
        signal.signal(signal.SIGINT, lambda *_: self._stopping.set())
        signal.signal(signal.SIGHUP, lambda *_: logger.info("reload is not needed"))
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
        while not self._stopping.wait(SIGNAL_CHECK.total_seconds()):
            pass
        logger.info("stopped")
        # The runner keeps its tasks; a successor with a higher token takes over.
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

    def _take_heartbeat(self, heartbeat: Heartbeat) -> None:
        with self._lock:
            known = self._state.runner
            news = self._state.take_runner(heartbeat.runner, heartbeat.sequence)
            if news:
                self._runner.instance = heartbeat.runner.runner_id
            changed = known is None or known.draining != heartbeat.runner.draining
        if not news:
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
                "runner known",
                extra={
                    "runner": heartbeat.runner.runner_id,
                    "draining": heartbeat.runner.draining,
                },
            )
            self._report_due.set()

    def _take_leave(self, runner_id: str) -> None:
        logger.info("runner left", extra={"runner": runner_id})
        with self._lock:
            self._state.leave(runner_id)
        self._report_due.set()

    def _run_looks(self) -> None:
        wait = timedelta()
        while not self._stopping.is_set():
            if not self._look(wait):
                wait = timedelta()
                time.sleep(LOOK_PAUSE_AFTER_FAILURE.total_seconds())
                continue
            wait = FIGURE_INTERVAL
            with self._lock:
                unacknowledged = self._state.has_ends
            if unacknowledged:
                time.sleep(LOOK_PAUSE_AFTER_END.total_seconds())

    def _look(self, wait: timedelta) -> bool:
        with self._lock:
            deadline = self._state.find_deadline(self._clock.boottime())
            token = self._token
            seen = self._state.durable_ends
        match self._runner.look(deadline, token, seen, wait):
            case Success(look):
                self._count_call("look", None)
                self._note_runner("")
                self._take_look(look)
                return True
            case Failure(problem):
                self._count_call("look", problem)
                if problem.kind is ErrorKind.STALE_EPOCH:
                    self._raise_token(token)
                else:
                    self._note_runner(problem.detail)
                    self._check_silence()
        return False

    def _check_silence(self) -> None:
        with self._lock:
            over = self._state.check_silence(self._clock.boottime())
        if over:
            logger.warning("runs of the silent runner are over")
            self._report_due.set()

    def _note_runner(self, problem: str) -> None:
        if bool(problem) == self._runner_lost:
            return
        self._runner_lost = bool(problem)
        logger.warning(
            "runner lost" if problem else "runner regained", extra={"detail": problem}
        )

    def _raise_token(self, refused: int) -> None:
        """Use a higher token, unless another thread already does."""
        with self._lock:
            if self._token == refused:
                self._token = refused + TOKEN_STEP
                logger.info("token raised", extra={"token": self._token})

    def _take_look(self, look: Look) -> None:
        with self._lock:
            changed = self._state.take_look(look, self._clock.boottime())
            stops = self._state.list_stops_due()
            paces = self._adjust_pace()
            token = self._token
        if changed:
            self._report_due.set()
        for run in stops:
            self._runner.stop(run.task, run.run, token)
        for change in paces:
            self._runner.set_pace(change.task, change.run, change.percent, token)

    def _adjust_pace(self) -> list[PaceChange]:
        now = self._clock.boottime()
        if now - self._paced_at < FIGURE_INTERVAL / 2:
            return []
        self._paced_at = now
        changes = self._pace.adjust(
            self._state.running, self._state.profiles, self._state.figures, now
        )
        if changes:
            self._metrics.paces.add({}, len(changes))
            logger.info(
                "pace", extra={"percents": {c.task: c.percent for c in changes}}
            )
        return changes

    # Orders

    def _take_message(self, message: LeaderMessage) -> None:
        match message:
            case HostOrders():
                self._take_orders(message)
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

    def _take_orders(self, message: HostOrders) -> None:
        with self._lock:
            epoch = self._state.epoch
            orders = self._state.take_orders(message)
            self._pace.take_pressures(message.pressures)
            self._state.confirm_report(message)
            if message.epoch >= self._state.epoch:
                self._state.heard_at = self._clock.boottime()
            if message.epoch > epoch:
                logger.info("attaching", extra={"epoch": message.epoch})
                self._report_due.set()
        for order in orders:
            self._pool.submit(self._carry_out, order, (message.epoch, message.session))
        if orders:
            self._report_due.set()

    def _carry_out(self, order: NumberedOrder, session: tuple[int, int]) -> None:
        try:
            match order:
                case NumberedOrder(start=StartOrder() as start):
                    self._start(start, session)
                case NumberedOrder(stop=StopOrder(task, run)):
                    self._runner.stop(task, run, self._token)
        except Exception:
            logger.exception("order failed", extra={"number": order.number})

    def _start(self, order: StartOrder, session: tuple[int, int]) -> None:
        run = Run(order.task, order.run)
        while True:
            with self._lock:
                deadline = self._state.find_deadline(self._clock.boottime())
                draining = self._state.runner is None or self._state.runner.draining
                over = not self._state.may_start(session)
                token = self._token
            if over or draining or deadline is None:
                reason = "draining" if draining else "no authority"
                self._refuse(run, "session is over" if over else reason)
                return
            began = self._clock.boottime()
            started = self._runner.start(order, deadline, token)
            took = self._clock.boottime() - began
            self._metrics.runner_seconds.add({}, took.total_seconds())
            match started:
                case Success(Started(clock, "")):
                    self._count_call("start", None)
                    with self._lock:
                        self._state.mark_started(run, clock)
                    logger.info("run started", extra={"task": run.task, "run": run.run})
                    return
                case Success(Started(_, "fence")):
                    self._raise_token(token)
                case Success(Started(_, refusal)):
                    self._refuse(run, refusal)
                    return
                case Failure(problem):
                    self._count_call("start", problem)
                    if problem.kind is ErrorKind.UNREACHABLE:
                        self._refuse(run, "unreachable")
                    else:
                        logger.warning(
                            "start unanswered",
                            extra={"task": run.task, "detail": problem.detail},
                        )
                        self._settle(run)
                    return

    def _refuse(self, run: Run, reason: str) -> None:
        with self._lock:
            self._state.mark_refused(run, reason)
        logger.info(
            "start refused",
            extra={"task": run.task, "run": run.run, "reason": reason},
        )
        self._report_due.set()

    def _settle(self, run: Run) -> None:
        """Find out whether an unanswered start took effect, and forbid that it will.

        Once the runner has seen a higher token, the start does nothing any more.
        """
        with self._lock:
            born = self._state.born
            self._token += 1
            token = self._token
        while not self._stopping.is_set():
            match self._runner.look(None, token, 0, timedelta()):
                case Success(look):
                    self._take_look(look)
                    self._settle_by(run, look, born)
                    return
                case Failure(problem):
                    with self._lock:
                        if problem.kind is ErrorKind.STALE_EPOCH:
                            token = max(self._token, token + 1)
                            self._token = token
                        over = self._state.is_over(self._clock.boottime())
                    if over:
                        self._refuse(run, "runner is silent")
                        return
            time.sleep(LOOK_PAUSE_AFTER_FAILURE.total_seconds())

    def _settle_by(self, run: Run, look: Look, born: int) -> None:
        with self._lock:
            effective = self._state.settle(run, look, born)
        if not effective:
            self._refuse(run, "unanswered")

    # Reports

    def _run_reports(self) -> None:
        while not self._stopping.is_set():
            self._report_due.wait(REPORT_INTERVAL.total_seconds())
            self._report_due.clear()
            self._choose_leader()
            with self._lock:
                report = self._state.build_report(self._clock.boottime(), self._pace)
            self._link.send(report)

    def _choose_leader(self) -> None:
        now = self._clock.boottime()
        with self._lock:
            leader = self._leader
            heard_at = self._state.heard_at
        if leader is not None and leader.address != self._link.address:
            self._connect(leader.address, now)
            return
        last = max(heard_at or timedelta(), self._connected_at)
        if now - last < (SILENT_AFTER if heard_at else RECONNECT_INTERVAL):
            return
        address = self._find_leader()
        if address:
            self._connect(address, now)

    def _connect(self, address: str, now: timedelta) -> None:
        self._connected_at = now
        logger.info("connecting", extra={"address": address})
        self._link.connect(address)

    def _find_leader(self) -> str:
        match self._store.list_owners(GROUP, SLOT_TOPICS):
            case Success(owners):
                leader = choose_leader(owners, self._link.address)
                if leader is not None:
                    return leader.address
            case Failure(problem):
                logger.info("leader unknown", extra={"detail": problem.detail})
        return self._link.address


def run_agent(settings: AgentSettings) -> None:
    """Run an agent until it is told to stop."""
    Agent(settings, SystemClock()).run()

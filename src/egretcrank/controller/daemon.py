"""Controller process: its threads, leadership changes and the scheduling loop."""

import logging
import os
import signal
import threading
import time
from datetime import timedelta
from functools import partial

from returns.result import Failure, Success

from egretcrank.clock import Clock, SystemClock
from egretcrank.controller.announcements import announce
from egretcrank.controller.candidates import build_member_name, compute_fitness
from egretcrank.controller.committer import Committer
from egretcrank.controller.election import (
    CELL_PARTITION,
    JOBS_TOPIC,
    JOIN_INTERVAL,
    Appender,
    Election,
    Membership,
)
from egretcrank.controller.link import PeerLink, announce_leader
from egretcrank.controller.operator_records import OperatorRecords
from egretcrank.controller.service import JobService
from egretcrank.controller.submissions import Submissions
from egretcrank.controller.tail import Tail
from egretcrank.entry.server import build_http_server
from egretcrank.errors.kinds import ErrorKind
from egretcrank.observability.exposition import serve_metrics
from egretcrank.observability.logs import flush_logs
from egretcrank.observability.metrics import Metrics
from egretcrank.platform.ingress import Ingress
from egretcrank.platform.readiness import ReadinessServer
from egretcrank.platform.store import Appended, Store, encode_keyed
from egretcrank.scheduling.backlog import Backlogs
from egretcrank.scheduling.catalog import Catalog
from egretcrank.scheduling.cell import Cell
from egretcrank.scheduling.hosts import HostState
from egretcrank.scheduling.records import (
    LeaderRecord,
    RecordKey,
    RecordKind,
    encode_record,
)
from egretcrank.scheduling.settings import CellSettings
from egretcrank.scheduling.table import JobTable, StoredValue
from egretcrank.settings.platform import ControllerSettings
from egretcrank.settings.schema import EntrySettings
from egretcrank.transport.loops import start_loop
from egretcrank.wire.hosting import HostReport, LeaderMoved

# Pause between two scheduling rounds. A round examines all hosts, and 160 hosts send
# hundreds of reports per second, so there is not one round per report. It delays a
# caller by half of the pause on average.
DECISION_PAUSE = timedelta(milliseconds=10)
# Interval of the checks for due jobs, silent hosts and expired leases.
TICK_INTERVAL = timedelta(milliseconds=100)
# The process exits this long before the end of its grace period, or, while a request
# is in flight, MIN_GRACE_MARGIN before it at the latest.
GRACE_MARGIN = timedelta(milliseconds=1400)
MIN_GRACE_MARGIN = timedelta(milliseconds=600)
IN_FLIGHT_CHECK_INTERVAL = timedelta(milliseconds=20)
FENCE_RETRY_DELAY = timedelta(milliseconds=100)
CATCH_UP_TIMEOUT = timedelta(seconds=5)
# Kinds of records that only a leader writes.
LEADER_RECORD_KINDS = (
    RecordKind.PROGRESS,
    RecordKind.PART,
    RecordKind.HOST,
    RecordKind.LEADER,
    RecordKind.PRESSURES,
)
# Kinds of records that are written for callers.
CALLER_RECORD_KINDS = (RecordKind.JOB, RecordKind.CANCELLATION)
LEADER_KEY = RecordKey(RecordKind.LEADER, str(CELL_PARTITION))
# The main thread handles signals between two waits of this length.
SIGNAL_CHECK_INTERVAL = timedelta(milliseconds=200)

logger = logging.getLogger(__name__)


class Controller:
    """Accepts jobs, and schedules the jobs of the cell while it is the leader."""

    def __init__(self, settings: ControllerSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._lock = threading.Condition()
        self._metrics = Metrics()
        self._store = Store(settings.store.address)
        self._table = JobTable()
        self._cell: Cell | None = None
        self._committer: Committer | None = None
        self._stopping = threading.Event()
        self._decision_due = False
        # Epoch of the takeover in progress, 0 for none.
        self._pending_epoch = 0
        member = build_member_name(
            settings.host.peer_address, compute_fitness(settings.limits)
        )
        self._election = Election(self._store, member, clock)
        self._jobs_tail = Tail(
            self._store, JOBS_TOPIC, CELL_PARTITION, clock, self._apply_records
        )
        # Failure domains in which nothing may start.
        self._evacuated: frozenset[str] = frozenset()
        self._operator_records = OperatorRecords(
            self._store,
            clock,
            self._metrics,
            self._apply_catalog,
            self._apply_evacuations,
        )
        self._submissions = Submissions(
            settings.host.name, settings.host.peer_address, clock
        )
        self._backlogs = Backlogs(clock, self._metrics)
        self._service = JobService(
            self._store,
            clock,
            self._table,
            self._jobs_tail,
            self._submissions,
            self._backlogs,
            self._metrics,
        )
        self._ingress = Ingress(self._service, clock, self._metrics)
        self._link = PeerLink(
            settings.host.peer_address,
            settings.host.name,
            self._handle_report,
            self._submissions.handle_request,
            lambda: self._submissions.is_accepting,
        )
        self._http = build_http_server(
            EntrySettings(
                http_address=settings.callers.http_address,
                threads=settings.callers.threads,
            ),
            self._ingress,
        )
        self._readiness = ReadinessServer(
            settings.callers.ready_address, self._is_ready
        )

    def _render_metrics(self, accept: str) -> tuple[bytes, dict[str, str]]:
        with self._lock:
            cell = self._cell
            self._metrics.leader_epoch.set({}, cell.epoch if cell else 0)
            if cell is not None:
                cell.update_gauges()
        self._backlogs.update_gauges()
        return self._metrics.render(accept)

    def run(self) -> None:
        """Run until SIGTERM or SIGINT, then end the process."""
        signal.signal(signal.SIGTERM, lambda *_: self._stopping.set())
        signal.signal(signal.SIGINT, lambda *_: self._stopping.set())
        signal.signal(
            signal.SIGHUP,
            lambda *_: logger.info("ignoring SIGHUP: settings are not reloaded"),
        )
        self._http.prepare()
        for target in (
            self._jobs_tail.run,
            self._operator_records.run,
            self._link.run,
            self._run_election,
            self._run_decisions,
            self._http.serve,
        ):
            start_loop(target.__qualname__, target)
        serve_metrics(self._settings.host.metrics_address, self._render_metrics)
        logger.info(
            "started", extra={"fitness": compute_fitness(self._settings.limits)}
        )
        while not self._stopping.wait(SIGNAL_CHECK_INTERVAL.total_seconds()):
            pass
        self._shut_down()

    def _shut_down(self) -> None:
        """Give up the leadership, and serve requests until the grace period ends."""
        ends_at = self._clock.boottime() + self._settings.bounds.grace_seconds
        logger.info("stopping")
        self._ingress.close(ends_at - GRACE_MARGIN)
        self._resign("process stops")
        self._election.leave()
        self._sleep_until(ends_at - GRACE_MARGIN)
        while (
            self._ingress.in_flight
            and self._clock.boottime() < ends_at - MIN_GRACE_MARGIN
        ):
            time.sleep(IN_FLIGHT_CHECK_INTERVAL.total_seconds())
        logger.info("stopped", extra={"in_flight": self._ingress.in_flight})
        flush_logs()
        os._exit(0)

    def _sleep_until(self, deadline: timedelta) -> None:
        remaining = deadline - self._clock.boottime()
        if remaining > timedelta():
            time.sleep(remaining.total_seconds())

    def _is_ready(self) -> bool:
        return (
            not self._stopping.is_set()
            and self._service.catalog.version > 0
            and self._jobs_tail.position >= 0
            and not self._jobs_tail.is_log_unavailable()
        )

    def _request_decision(self) -> None:
        """Request a scheduling round; the caller must hold the lock."""
        self._decision_due = True
        self._lock.notify_all()

    # Records

    def _apply_records(self, records: tuple[StoredValue, ...]) -> None:
        with self._lock:
            for stored in records:
                try:
                    self._apply_record(stored)
                except Exception:
                    # A record that always fails must not block the records after it.
                    logger.exception(
                        "record failed",
                        extra={"key": stored.key, "offset": stored.offset},
                    )
                    self._metrics.log_records.inc({"stream": "cell", "result": "void"})
            if self._cell is not None:
                self._request_decision()
        self._submissions.set_leader_address(self._table.leader.address)

    def _apply_record(self, stored: StoredValue) -> None:
        key = self._table.apply(stored)
        if key is None:
            return
        if key.kind in LEADER_RECORD_KINDS:
            self._submissions.mark_leader_alive()
        if self._cell is not None and key.kind in CALLER_RECORD_KINDS:
            self._cell.apply_job(key.name)
        self._backlogs.observe(self._table, key)

    def _apply_catalog(self, catalog: Catalog) -> None:
        with self._lock:
            self._service.catalog = catalog
            if self._cell is not None:
                self._cell.catalog = catalog
                self._request_decision()

    def _apply_evacuations(self, domains: frozenset[str]) -> None:
        with self._lock:
            self._evacuated = domains
            if self._cell is not None:
                self._cell.evacuated = domains
                self._request_decision()

    # Leadership

    def _evict_previous_instances(self) -> None:
        match self._election.evict_previous_instances(self._settings.host.peer_address):
            case Failure(problem):
                # Not fatal, as the memberships of previous instances expire anyway.
                logger.info(
                    "failed to list the members of the group",
                    extra={"detail": problem.detail},
                )

    def _run_election(self) -> None:
        self._evict_previous_instances()
        while not self._stopping.is_set():
            match self._election.join(self._table.leader.address):
                case Success(membership):
                    self._apply_membership(membership)
                case Failure(problem):
                    logger.warning("join failed", extra={"detail": problem.detail})
            if self._committer is not None and self._committer.fenced:
                self._resign("a successor leads")
            self._stopping.wait(JOIN_INTERVAL.total_seconds())

    def _apply_membership(self, membership: Membership) -> None:
        with self._lock:
            leads = self._cell is not None
            starts_takeover = (
                membership.is_elected and not leads and not self._pending_epoch
            )
            if starts_takeover:
                self._pending_epoch = membership.epoch
        if starts_takeover:
            # A separate thread, as joins must continue during the takeover: the
            # membership expires after a second.
            epoch = membership.epoch
            start_loop("takeover", partial(self._take_over, epoch))
        elif not membership.is_elected:
            self._pending_epoch = 0
            if leads:
                self._resign("another controller is to lead")

    def _take_over(self, epoch: int) -> None:
        try:
            self._start_leading(epoch)
        except Exception:
            # Not repeated by the thread: the next join may begin another takeover by
            # then. As after a timeout, the group has to give a new epoch for it.
            logger.exception("takeover failed", extra={"epoch": epoch})
            self._election.leave()
        finally:
            with self._lock:
                if self._pending_epoch == epoch:
                    self._pending_epoch = 0
                self._set_urgent(self._cell is not None)

    def _set_urgent(self, urgent: bool) -> None:
        """Read what starts depend on without pauses, or with pauses again."""
        self._jobs_tail.set_urgent(urgent)
        if self._settings.bounds.evacuation is not None:
            self._operator_records.set_urgent(urgent)

    def _fence(self, appender: Appender) -> Appended | None:
        """Append the leader record, which fences former leaders.

        Retries until it succeeds. Returns None if the takeover was cancelled or the
        epoch is stale.
        """
        address = self._settings.host.peer_address
        record = encode_keyed(
            LEADER_KEY.format(), encode_record(LeaderRecord(appender.epoch, address))
        )
        while self._pending_epoch == appender.epoch:
            match appender.append([record]):
                case Success(Appended() as appended):
                    return appended
                case Failure(problem):
                    logger.warning("fence failed", extra={"detail": problem.detail})
                    if problem.kind is ErrorKind.STALE_EPOCH:
                        self._election.leave()
                        return None
            time.sleep(FENCE_RETRY_DELAY.total_seconds())
        return None

    def _start_leading(self, epoch: int) -> None:
        """Fence former leaders, read the log up to the fence, and open the cell."""
        if self._jobs_tail.position < 0:
            return
        self._set_urgent(True)
        appender = Appender(self._store, self._clock, epoch)
        appended = self._fence(appender)
        if appended is None:
            return
        fence_offset, end = appended.offset, appended.end
        fenced_at = self._clock.boottime()
        if not self._jobs_tail.wait_for(end, CATCH_UP_TIMEOUT):
            logger.warning("timed out reading the log up to the fence")
            # Fencing again under the same epoch would return the result of the first
            # fence, so rejoin the group to get a new epoch.
            self._election.leave()
            return
        bounds = self._settings.bounds
        cell_settings = CellSettings(
            lease=bounds.lease,
            cancellation_bound=bounds.cancellation,
            evacuation_bound=bounds.evacuation,
            remote_factor=bounds.remote_factor,
            keep_ended=bounds.keep_ended_seconds,
        )
        with self._lock:
            if self._pending_epoch != epoch:
                logger.info("takeover given up", extra={"epoch": epoch})
                return
            cell = Cell(cell_settings, self._clock, self._table, epoch, self._metrics)
            cell.catalog = self._service.catalog
            cell.evacuated = self._evacuated
            cell.open(fence_offset, fenced_at)
            cell.confirm(end, appender.confirmed_at)
            self._cell = cell
            committer = Committer(
                cell,
                appender,
                self._lock,
                self._request_decision,
                self._metrics,
                self._clock,
            )
            self._committer = committer
            self._submissions.set_committer(committer)
            self._request_decision()
        logger.info(
            "leading",
            extra={
                "epoch": epoch,
                "fence_offset": fence_offset,
                "jobs": len(cell.jobs),
                "hosts": len(cell.hosts),
            },
        )
        start_loop("committer", committer.run)
        start_loop("announcements", partial(self._announce_leadership, cell))

    def _resign(self, reason: str) -> None:
        with self._lock:
            cell, committer = self._cell, self._committer
            self._pending_epoch = 0
            self._cell = None
            self._committer = None
            self._submissions.set_committer(None)
            self._set_urgent(False)
        if committer is not None:
            committer.stop()
        if cell is not None:
            logger.info("resigned", extra={"epoch": cell.epoch, "reason": reason})

    def _announce_leadership(self, cell: Cell) -> None:
        """Announce this leader to the agents that have not attached to it."""
        address, name = self._settings.host.peer_address, self._settings.host.name
        message = LeaderMoved(cell.epoch, address)

        def list_unattached() -> list[HostState]:
            with self._lock:
                if self._cell is not cell:
                    return []
                return [host for host in cell.hosts.values() if not host.attached]

        announce(list_unattached, lambda h: announce_leader(h.address, message, name))

    # Scheduling

    def _handle_report(self, report: HostReport) -> None:
        with self._lock:
            if self._cell is not None:
                self._cell.apply_report(report)
                self._request_decision()
                return
            leader = self._table.leader
        if leader.address and leader.address != self._settings.host.peer_address:
            self._link.send(report.host, LeaderMoved(leader.epoch, leader.address))

    def _run_decisions(self) -> None:
        """Run a scheduling round when one is requested, or after ``TICK_INTERVAL``."""
        next_tick = self._clock.boottime()
        while not self._stopping.is_set():
            with self._lock:
                if not self._decision_due:
                    self._lock.wait(TICK_INTERVAL.total_seconds())
                self._decision_due = False
                cell, committer = self._cell, self._committer
                if cell is None or committer is None:
                    continue
                now = self._clock.boottime()
                if now >= next_tick:
                    cell.process_timeouts()
                    next_tick = now + TICK_INTERVAL
                self._confirm_views(cell)
                cell.plan()
                orders = list(cell.take_orders())
                elapsed = self._clock.boottime() - now
                self._metrics.decision_seconds.add({}, elapsed.total_seconds())
                commit = cell.has_changes or cell.confirmation_due
            if commit:
                committer.wake()
            for host, message in orders:
                self._link.send(host.name, message)
            self._stopping.wait(DECISION_PAUSE.total_seconds())

    def _confirm_views(self, cell: Cell) -> None:
        """Tell the cell how recent its records are; the caller must hold the lock.

        A tail proves a read only after its records were applied to the cell.
        """
        jobs_proven_at = self._jobs_tail.proven_at
        if jobs_proven_at is not None:
            cell.window.confirm_jobs(jobs_proven_at)
        operator_proven_at = self._operator_records.proven_at
        if operator_proven_at is not None:
            cell.window.confirm_operator(operator_proven_at)


def run_controller(settings: ControllerSettings) -> None:
    """Run a controller until it receives SIGTERM or SIGINT."""
    Controller(settings, SystemClock()).run()

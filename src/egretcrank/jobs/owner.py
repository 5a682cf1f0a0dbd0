"""Owner of the jobs of one partition under one epoch.

The owner acts only on what its fold holds: an attempt may run only while it is the
current one of a task without a final state. Each pass compares what is placed with what
the fold allows and repeats whatever has not been confirmed.
"""

import asyncio
import math
from collections.abc import Awaitable, Callable, Iterable, Sequence
from datetime import timedelta
from typing import NamedTuple, Protocol
from uuid import uuid4

from returns.result import Failure, Result, Success

from egretcrank.clock import Clock
from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.jobs.model import (
    ACTIVE_REPORTS,
    Ending,
    JobState,
    Repeat,
    Report,
    TaskState,
    add_resources,
    build_task_id,
    fits,
    split_task_id,
)
from egretcrank.jobs.state import JobsState
from egretcrank.jobs.summary import FindPlan, WaitingSummary, WorkSummary
from egretcrank.observability.decisions import Decision, DecisionLog
from egretcrank.observability.metrics import Metrics
from egretcrank.settings.schema import Settings
from egretcrank.stream.records import (
    JobAccepted,
    JobAcknowledged,
    JobCancelled,
    Record,
    TaskCheckpointed,
    TaskEnded,
    TaskEvicted,
    TaskIntent,
    TaskNotStarted,
)
from egretcrank.wire.messages import (
    Acknowledged,
    AcknowledgeJob,
    CancelJob,
    DescribeJob,
    EvictTask,
    FenceReply,
    JobReply,
    MemberStatus,
    Message,
    RenewSession,
    Resources,
    Session,
    StartTask,
    StopTask,
    SubmitJob,
    TaskEvents,
    TaskReply,
    TaskReport,
    TaskSpec,
    TaskSummary,
    ThrottleTask,
)

PASS_INTERVAL = timedelta(seconds=0.25)
# Submissions and reports wake an owner without work. It still makes passes, because a
# record can be folded after its append was given up.
IDLE_PASS_INTERVAL = timedelta(seconds=1)
# A pass waits for its calls, and urgent tasks wait for the pass.
CALL_TIMEOUT = timedelta(seconds=1)
# Sessions are renewed this many times within their length.
RENEWALS_PER_SESSION = 4
MAX_PARALLEL_CALLS = 32
# Keeps a pass from asking the same full host again at once.
REFUSAL_PAUSE = timedelta(seconds=0.5)
# A task that fails on this many hosts has failed; fewer failures may be the hosts'.
FAILURES_BEFORE_END = 3

Reply = Result[Message, Problem]
Append = Callable[[Record], Awaitable[Result[None, Problem]]]
JobMessage = SubmitJob | CancelJob | DescribeJob | AcknowledgeJob | TaskEvents
# Refusals after which the host will not start the attempt from any earlier message.
# Every other failure leaves open whether it was started.
DECIDED = frozenset(
    {
        ErrorKind.SESSION_ENDED,
        ErrorKind.NO_CAPACITY,
        ErrorKind.STARTING,
        ErrorKind.TOMBSTONED,
        ErrorKind.LEAVING,
        ErrorKind.BAD_REQUEST,
    }
)


class Call(Protocol):
    """Call to another process."""

    async def __call__(
        self, address: str, message: Message, timeout: timedelta
    ) -> Result[Message, Problem]:
        """Send a message and return the reply."""


class WaitingTask(NamedTuple):
    """A task to place."""

    task: str
    customer: str
    kind: str
    urgent: bool
    resources: Resources
    run_seconds: float


class PlacedTask(NamedTuple):
    """A task that this owner has placed, for policies that preempt."""

    task: str
    customer: str
    kind: str
    urgent: bool
    host: str
    resources: Resources
    progress: float


class Placing(NamedTuple):
    """Choice of a host, or none, with the tasks to evict or throttle for it."""

    host: str | None
    reason: str
    alternatives: tuple[str, ...] = ()
    evict: tuple[str, ...] = ()
    throttle: tuple[str, ...] = ()
    share: float = 0.5


class PlaceTask(Protocol):
    """Placement function."""

    def __call__(
        self,
        task: WaitingTask,
        members: Sequence[MemberStatus],
        placed: Sequence[PlacedTask],
    ) -> Placing:
        """Choose a host among members whose capacity holds the task."""


# Returns why the customer may not use these resources more, given what its tasks of
# this partition use already, or nothing.
CheckQuota = Callable[[str, Resources, Resources], str | None]


class HostSession(NamedTuple):
    """Newest stamp of a host; ``heard_at`` is when it was received."""

    address: str
    incarnation: int
    stamp: float
    heard_at: timedelta


class Placement(NamedTuple):
    """Where an attempt was sent; ``confirmed`` once the host reported it."""

    host: str
    incarnation: int
    attempt: int
    confirmed: bool = False
    sent: bool = False
    seen_stamp: float = 0.0
    progress: float = 0.0
    checkpointed_at: timedelta | None = None


class JobOwner:
    """Accepts jobs of a partition and has each task run to its one end.

    ``may_act`` must turn false when ownership was lost, and when the log has not been
    read for longer than ``outage_seconds``: a successor counts on it.
    """

    def __init__(
        self,
        partition: int,
        epoch: int,
        state: JobsState,
        append: Append,
        call: Call,
        members: Callable[[], Sequence[MemberStatus]],
        place: PlaceTask,
        check_quota: CheckQuota,
        may_act: Callable[[], bool],
        clock: Clock,
        decisions: DecisionLog,
        metrics: Metrics,
        settings: Settings,
    ) -> None:
        self._partition = partition
        self._epoch = epoch
        self._state = state
        self._append = append
        self._call = call
        self._members = members
        self._place = place
        self._check_quota = check_quota
        self._may_act = may_act
        self._clock = clock
        self._decisions = decisions
        self._metrics = metrics
        self._settings = settings
        self._sessions: dict[str, HostSession] = {}
        self._placements: dict[str, Placement] = {}
        self._orphans: dict[tuple[str, int], str] = {}
        self._waiting: dict[str, str] = {}
        self._infeasible: dict[str, timedelta] = {}
        self._unresolved: dict[str, timedelta] = {}
        self._failed_on: dict[str, set[tuple[str, int]]] = {}
        self._refused_at: dict[tuple[str, str], timedelta] = {}
        self._asked_at: dict[str, timedelta] = {}
        self._wake = asyncio.Event()
        self._closed: set[str] = set()
        self._fenced = False
        self._accepted_here: set[str] = set()
        outage = settings.log.outage_seconds
        self._takeover_until = (
            clock.monotonic() + outage + self._lapse_time()
            if epoch > 1
            else clock.monotonic()
        )

    @property
    def is_fenced(self) -> bool:
        """Whether a host has reported a higher epoch."""
        return self._fenced

    async def run(self) -> None:
        """Place and supervise tasks until cancelled."""
        while True:
            await self.step()
            interval = PASS_INTERVAL if self._has_work() else IDLE_PASS_INTERVAL
            timer = asyncio.ensure_future(self._clock.sleep(interval))
            wake = asyncio.ensure_future(self._wake.wait())
            try:
                await asyncio.wait({timer, wake}, return_when=asyncio.FIRST_COMPLETED)
            finally:
                timer.cancel()
                wake.cancel()
            self._wake.clear()

    def _has_work(self) -> bool:
        """Tell whether a task has not ended or a host is still asked for its tasks."""
        if self._placements or self._orphans:
            return True
        if self._clock.monotonic() < self._takeover_until:
            return True
        return any(not job.has_ended for job in self._state.jobs.values())

    async def step(self) -> None:
        """Make one pass over sessions, placements and waiting tasks."""
        if not self._can_act():
            return
        self._forget_ended()
        await self._renew_sessions()
        await self._stop_what_must_not_run()
        await self._recover_lost()
        await self._confirm_starts()
        await self._resolve_intents()
        await self._place_waiting()

    async def handle(self, message: JobMessage) -> Reply:
        """Handle a message of an entry or a host."""
        match message:
            case SubmitJob():
                return await self._submit(message)
            case CancelJob():
                return await self._cancel(message)
            case DescribeJob():
                return self._describe(message.job)
            case AcknowledgeJob():
                return await self._acknowledge(message)
            case TaskEvents():
                return await self._take_events(message)

    async def adopt(self, reply: FenceReply, address: str) -> None:
        """Take over what a host reported in answer to ``FencePartition``."""
        await self._absorb(
            TaskReply(reply.host, reply.incarnation, reply.stamp, reply.tasks),
            address,
        )

    # Jobs

    async def _submit(self, message: SubmitJob) -> Reply:
        problem = _check_submission(message)
        if problem is not None:
            self._metrics.refusals.inc({"source": "jobs", "kind": problem.kind.value})
            return Failure(problem)
        if found := self._find_submitted(message):
            return found
        if not self._can_act():
            return Failure(self._describe_not_acting())
        job = f"{self._partition}-{uuid4().hex}"
        record = JobAccepted(
            self._partition,
            self._epoch,
            job,
            message,
            self._clock.now().timestamp(),
        )
        verdict = await self._append(record)
        if found := self._find_submitted(message):
            self._accepted_here.add(job)
            self._wake.set()
            return found
        return Failure(_describe_unrecorded(verdict, message.key))

    def _find_submitted(self, message: SubmitJob) -> Reply | None:
        job = self._state.find_submission(message.customer, message.key)
        if job is None:
            return None
        state = self._state.jobs.get(job)
        if state is None:
            return Success(JobReply(job, "acknowledged", message.customer))
        if state.spec != message:
            return Failure(
                Problem(
                    ErrorKind.KEY_REUSED,
                    f"key {message.key!r} was used for another job",
                    "Idempotency-Key",
                    "a new key for each job",
                )
            )
        return self._describe(job)

    async def _cancel(self, message: CancelJob) -> Reply:
        job = self._state.jobs.get(message.job)
        if job is None or job.has_ended:
            return self._describe(message.job)
        if not self._can_act():
            return Failure(self._describe_not_acting())
        record = JobCancelled(self._partition, self._epoch, message.job)
        verdict = await self._append(record)
        job = self._state.jobs.get(message.job)
        if job is not None and not job.has_ended:
            return Failure(_describe_unrecorded(verdict, message.job))
        self._wake.set()
        return self._describe(message.job)

    async def _acknowledge(self, message: AcknowledgeJob) -> Reply:
        job = self._state.jobs.get(message.job)
        if job is None:
            return self._describe(message.job)
        if not job.has_ended:
            return Failure(
                Problem(
                    ErrorKind.BAD_REQUEST,
                    "the job has not ended",
                    message.job,
                    "a job whose tasks have all ended",
                )
            )
        if not self._can_act():
            return Failure(self._describe_not_acting())
        record = JobAcknowledged(self._partition, self._epoch, message.job)
        verdict = await self._append(record)
        if message.job in self._state.jobs:
            return Failure(_describe_unrecorded(verdict, message.job))
        return self._describe(message.job)

    def _describe(self, job: str) -> Reply:
        state = self._state.jobs.get(job)
        if state is None:
            if self._state.is_acknowledged(job):
                return Success(JobReply(job, "acknowledged"))
            return Failure(
                Problem(ErrorKind.NOT_FOUND, f"job {job!r} is not known", "job")
            )
        tasks = tuple(self._summarize(state, task) for task in state.tasks.values())
        if state.cancelled:
            status = "cancelled"
        elif state.has_ended:
            status = "ended"
        elif any(task.state == "running" for task in tasks):
            status = "running"
        else:
            status = "accepted"
        return Success(
            JobReply(job, status, state.spec.customer, state.spec.kind, tasks)
        )

    def summarize_work(self, find_plan: FindPlan) -> WorkSummary:
        """Summarize the tasks of this partition that have not ended."""
        summary = WorkSummary()
        now = self._clock.now().timestamp()
        for job, task in self._list_active():
            name = build_task_id(job.job, task.name)
            plan = find_plan(job.spec.customer)
            placement = self._placements.get(name)
            if placement is not None and placement.confirmed:
                summary.count_running(plan)
                continue
            if placement is not None:
                reason = f"{placement.host} has not confirmed the start"
            else:
                reason = self._waiting.get(name, task.reason) or "not placed yet"
            waited = max(0.0, now - job.accepted_at)
            summary.count_waiting(
                plan, WaitingSummary(name, job.spec.customer, waited, reason)
            )
        return summary

    def _summarize(self, job: JobState, task: TaskState) -> TaskSummary:
        name = build_task_id(job.job, task.name)
        placement = self._placements.get(name)
        host = placement.host if placement else ""
        if task.ending is not None:
            return TaskSummary(
                task.name, task.ending, task.attempt, host, task.reason, task.result
            )
        if placement is None:
            reason = self._waiting.get(name, task.reason)
            return TaskSummary(task.name, "waiting", task.attempt, "", reason)
        status = "running" if placement.confirmed else "starting"
        return TaskSummary(task.name, status, task.attempt, host)

    # Sessions and reports

    def _can_act(self) -> bool:
        return not self._fenced and self._may_act()

    def _describe_not_acting(self) -> Problem:
        kind = ErrorKind.NOT_OWNER if self._fenced else ErrorKind.LOG_UNAVAILABLE
        return Problem(
            kind, "the owner may not act now", f"partition {self._partition}"
        )

    def _lapse_time(self) -> timedelta:
        cluster = self._settings.cluster
        # Both clocks may deviate, in opposite directions.
        drift = 1 + 2 * cluster.clock_drift
        return (cluster.session_seconds + cluster.lease_seconds) * drift

    def _build_session(self, host: str) -> Session:
        known = self._sessions.get(host)
        incarnation, stamp = (known.incarnation, known.stamp) if known else (0, 0.0)
        return Session(self._partition, self._epoch, incarnation, stamp)

    async def _renew_sessions(self) -> None:
        needed = {p.host for p in self._placements.values()}
        needed |= set(self._orphans.values())
        needed |= {
            task.intent.host
            for _, task in self._list_active()
            if task.intent is not None
        }
        if self._clock.monotonic() < self._takeover_until:
            needed |= {status.member.host for status in self._members()}
        now = self._clock.monotonic()
        interval = self._settings.cluster.session_seconds / RENEWALS_PER_SESSION
        due = [
            host
            for host in sorted(needed)
            if host not in self._asked_at or now >= self._asked_at[host] + interval
        ]
        await _run_bounded(self._renew(host) for host in due)

    async def _renew(self, host: str) -> bool:
        address = self._find_address(host)
        if address is None:
            return False
        self._asked_at[host] = self._clock.monotonic()
        message = RenewSession((self._build_session(host),))
        return await self._send(host, address, message) is None

    def _find_address(self, host: str) -> str | None:
        for status in self._members():
            if status.member.host == host:
                return status.member.control_address
        known = self._sessions.get(host)
        return known.address if known else None

    async def _send(self, host: str, address: str, message: Message) -> Problem | None:
        """Send a message to a host, absorb the reply, and return what failed."""
        match await self._call(address, message, CALL_TIMEOUT):
            case Success(TaskReply() as reply) if reply.host == host:
                await self._absorb(reply, address)
                return None
            case Failure(Problem() as problem):
                if problem.kind is ErrorKind.STALE_EPOCH:
                    self._fenced = True
                return problem
        return Problem(ErrorKind.INVALID_MESSAGE, "unexpected reply", host, "TaskReply")

    async def _absorb(self, reply: TaskReply, address: str) -> None:
        if not self._note_stamp(reply.host, reply.incarnation, reply.stamp, address):
            return
        for report in reply.tasks:
            await self._take_report(report, reply.host, reply.incarnation, reply.stamp)
        listed = {(r.task, r.attempt) for r in reply.tasks}
        for name, placement in list(self._placements.items()):
            if placement.host != reply.host or (name, placement.attempt) in listed:
                continue
            if not placement.sent:
                continue
            if placement.incarnation < reply.incarnation:
                await self._lose(name, placement, "sidecar restarted without the task")
            elif placement.confirmed and placement.seen_stamp < reply.stamp:
                self._placements[name] = placement._replace(confirmed=False)

    def _note_stamp(
        self, host: str, incarnation: int, stamp: float, address: str
    ) -> bool:
        """Keep the newest stamp; tell whether the message is of a known past."""
        known = self._sessions.get(host)
        if known is not None and incarnation < known.incarnation:
            return False
        if known is None or (incarnation, stamp) > (known.incarnation, known.stamp):
            self._sessions[host] = HostSession(
                address, incarnation, stamp, self._clock.monotonic()
            )
        return True

    async def _take_events(self, events: TaskEvents) -> Reply:
        if events.epoch > self._epoch:
            self._fenced = True
        if not self._can_act():
            return Failure(self._describe_not_acting())
        settled = [
            await self._take_report(
                report, events.host, events.incarnation, events.stamp, is_event=True
            )
            for report in events.tasks
        ]
        self._wake.set()
        if all(settled):
            return Success(Acknowledged())
        return Failure(
            Problem(ErrorKind.LOG_UNAVAILABLE, "a report could not be recorded", "log")
        )

    async def _take_report(
        self,
        report: TaskReport,
        host: str,
        incarnation: int,
        stamp: float,
        *,
        is_event: bool = False,
    ) -> bool:
        """Act on the state of an attempt; tell whether the host may forget it."""
        job, name = split_task_id(report.task)
        task = self._state.find_task(job, name)
        current = (
            task is not None and task.ending is None and task.attempt == report.attempt
        )
        placement = self._placements.get(report.task)
        here = placement is not None and placement.host == host
        if report.state in ACTIVE_REPORTS:
            if placement is not None and here and placement.attempt == report.attempt:
                await self._note_progress(report, placement, incarnation, stamp)
            elif current and placement is None and not is_event:
                self._adopt(report, host, incarnation, stamp)
            elif not is_event:
                self._orphans[(report.task, report.attempt)] = host
            return True
        if task is not None and report.attempt > task.attempt:
            # Only a fold that lags behind its successor's can see this.
            return False
        self._orphans.pop((report.task, report.attempt), None)
        # An attempt that was placed elsewhere since had ended here without a result.
        if current and (placement is None or here or report.state == Report.DONE):
            await self._record_end(report, job, name, host)
            task = self._state.find_task(job, name)
            if task and task.ending is None and task.attempt == report.attempt:
                return False
        if placement is not None and here and placement.attempt == report.attempt:
            self._placements.pop(report.task, None)
        return True

    async def _note_progress(
        self,
        report: TaskReport,
        placement: Placement,
        incarnation: int,
        stamp: float,
    ) -> None:
        now = self._clock.monotonic()
        since = placement.checkpointed_at or now
        placement = placement._replace(
            confirmed=report.state == Report.RUNNING or placement.confirmed,
            incarnation=max(incarnation, placement.incarnation),
            seen_stamp=max(stamp, placement.seen_stamp),
            progress=report.progress,
            checkpointed_at=since,
        )
        self._placements[report.task] = placement
        if now - since < self._settings.cluster.checkpoint_record_seconds:
            return
        job, name = split_task_id(report.task)
        task = self._state.find_task(job, name)
        if task is None or report.checkpoint in {"", task.checkpoint}:
            return
        self._placements[report.task] = placement._replace(checkpointed_at=now)
        await self._append(
            TaskCheckpointed(
                self._partition,
                self._epoch,
                job,
                name,
                report.attempt,
                report.checkpoint,
            )
        )

    def _adopt(
        self, report: TaskReport, host: str, incarnation: int, stamp: float
    ) -> None:
        self._placements[report.task] = Placement(
            host,
            incarnation,
            report.attempt,
            report.state == Report.RUNNING,
            True,
            stamp,
            report.progress,
            self._clock.monotonic(),
        )
        self._unresolved.pop(report.task, None)
        self._closed.add(report.task)
        self._decide(report.task, "adopt", host, f"host reported it {report.state}")

    async def _record_end(
        self, report: TaskReport, job: str, name: str, host: str
    ) -> None:
        """Append what an ended attempt means for its task."""
        never = self._state.jobs[job].spec.repeat == Repeat.NEVER
        reason = report.reason or f"attempt was {report.state}"
        match report.state:
            case Report.DONE:
                await self._end(report.task, Ending.DONE, reason, report.result)
            case Report.FAILED:
                failed_on = self._failed_on.setdefault(report.task, set())
                failed_on.add((host, report.attempt))
                if never or len(failed_on) >= FAILURES_BEFORE_END:
                    await self._end(report.task, Ending.FAILED, reason, report.result)
                else:
                    await self._evict_recorded(report, reason)
            case Report.EVICTED if not never or report.checkpoint:
                await self._evict_recorded(report, reason)
            case Report.NOT_STARTED:
                await self._record_not_started(report.task, report.attempt)
            case _ if never:
                # The work after its last checkpoint may have had effects.
                await self._end(report.task, Ending.UNKNOWN, reason)
            case _:
                await self._evict_recorded(report, reason)

    async def _evict_recorded(self, report: TaskReport, reason: str) -> None:
        job, name = split_task_id(report.task)
        record = TaskEvicted(
            self._partition,
            self._epoch,
            job,
            name,
            report.attempt,
            report.checkpoint,
            reason,
        )
        if isinstance(await self._append(record), Success):
            self._metrics.tasks.inc({"state": "evicted"})
            self._decide(report.task, "resume", "waiting", reason)

    async def _end(
        self, task_id: str, ending: Ending, reason: str, result: str = ""
    ) -> None:
        job, name = split_task_id(task_id)
        task = self._state.find_task(job, name)
        if task is None or task.ending is not None:
            return
        record = TaskEnded(
            self._partition,
            self._epoch,
            job,
            name,
            task.attempt,
            ending,
            result,
            reason,
        )
        if isinstance(await self._append(record), Success):
            self._metrics.tasks.inc({"state": ending.value})
            self._decide(task_id, "end", ending.value, reason)

    async def _record_not_started(self, task_id: str, attempt: int) -> None:
        """Free an attempt that its host has refused for good."""
        job, name = split_task_id(task_id)
        task = self._state.find_task(job, name)
        if task is not None and task.intent is not None:
            await self._append(
                TaskNotStarted(self._partition, self._epoch, job, name, attempt)
            )
            task = self._state.find_task(job, name)
            if task is not None and task.intent is not None and task.ending is None:
                return
        placement = self._placements.get(task_id)
        if placement is not None and placement.attempt == attempt:
            del self._placements[task_id]

    # Passes

    def _list_active(self) -> list[tuple[JobState, TaskState]]:
        return [
            (job, task)
            for job in self._state.jobs.values()
            for task in job.tasks.values()
            if task.ending is None
        ]

    def _is_current(self, task_id: str, attempt: int) -> bool:
        task = self._state.find_task(*split_task_id(task_id))
        return task is not None and task.ending is None and task.attempt == attempt

    async def _stop_what_must_not_run(self) -> None:
        stops = {
            (name, placement.attempt): placement.host
            for name, placement in self._placements.items()
            if not self._is_current(name, placement.attempt)
        }
        stops |= self._orphans
        await _run_bounded(
            self._stop(host, name, attempt)
            for (name, attempt), host in sorted(stops.items())
        )

    async def _stop(self, host: str, name: str, attempt: int) -> None:
        address = self._find_address(host)
        if address is None:
            return
        reason = "attempt is not current"
        message = StopTask(self._build_session(host), name, attempt, reason)
        await self._send(host, address, message)

    async def _recover_lost(self) -> None:
        now = self._clock.monotonic()
        for name, placement in list(self._placements.items()):
            session = self._sessions.get(placement.host)
            if session is None or now < session.heard_at + self._lapse_time():
                continue
            if not placement.sent:
                self._drop_unsent(name, placement, "host gave no session")
                continue
            await self._lose(name, placement, "host did not answer until leases lapsed")
        for (name, attempt), host in list(self._orphans.items()):
            session = self._sessions.get(host)
            if session is None or now >= session.heard_at + self._lapse_time():
                self._orphans.pop((name, attempt), None)

    async def _lose(self, name: str, placement: Placement, reason: str) -> None:
        """Record the end of an attempt that cannot run any more."""
        if self._is_current(name, placement.attempt):
            report = TaskReport(
                task=name, attempt=placement.attempt, state=Report.LOST, reason=reason
            )
            job, task = split_task_id(name)
            await self._record_end(report, job, task, placement.host)
        if not self._is_current(name, placement.attempt):
            self._placements.pop(name, None)

    async def _confirm_starts(self) -> None:
        unconfirmed = [
            (name, placement)
            for name, placement in self._placements.items()
            if not placement.confirmed and self._is_current(name, placement.attempt)
        ]
        await _run_bounded(self._start(name, p) for name, p in unconfirmed)

    async def _resolve_intents(self) -> None:
        """Find out about attempts that must not repeat and are not placed."""
        for job, task in self._list_active():
            name = build_task_id(job.job, task.name)
            if task.intent is None or name in self._placements:
                continue
            intent = task.intent
            since = self._unresolved.setdefault(name, self._clock.monotonic())
            session = self._sessions.get(intent.host)
            if session is not None and session.incarnation == intent.incarnation:
                await self._stop(intent.host, name, intent.attempt)
            waited = self._clock.monotonic() - since
            restarted = session is not None and (
                session.incarnation > intent.incarnation
            )
            if not restarted and waited < self._lapse_time():
                continue
            if self._is_current(name, intent.attempt) and (
                name not in self._placements
            ):
                reason = f"host {intent.host} could not tell whether it ran"
                await self._end(name, Ending.UNKNOWN, reason)

    async def _place_waiting(self) -> None:
        waiting = [
            (job, task)
            for job, task in self._list_active()
            if build_task_id(job.job, task.name) not in self._placements
            and task.intent is None
            and self._may_place(job)
        ]
        waiting.sort(key=lambda pair: (not pair[0].spec.urgent, pair[0].accepted_at))
        starts: list[tuple[str, Placement]] = []
        stopping = {name for name, _ in self._orphans}
        for job, task in waiting:
            name = build_task_id(job.job, task.name)
            if name in stopping:
                self._wait(name, "a former attempt has not confirmed its stop")
                continue
            current = await self._close_former_attempt(job, task)
            if current is None:
                continue
            spec = next(s for s in job.spec.tasks if s.name == task.name)
            chosen = await self._choose(job, current, spec)
            if chosen is not None:
                self._placements[name] = chosen
                self._waiting.pop(name, None)
                starts.append((name, chosen))
        await _run_bounded(self._start(name, p) for name, p in starts)

    async def _close_former_attempt(
        self, job: JobState, task: TaskState
    ) -> TaskState | None:
        """Give up an attempt that a former owner may have started.

        Its leases have lapsed. A report that arrives later must not be mistaken for one
        of an attempt of this owner, so the attempt number is not used again.
        """
        name = build_task_id(job.job, task.name)
        if job.spec.repeat == Repeat.NEVER or name in self._closed:
            return task
        if self._epoch > 1 and job.job not in self._accepted_here:
            report = TaskReport(task=name, attempt=task.attempt)
            await self._evict_recorded(report, "not reported after a takeover")
            changed = self._state.find_task(job.job, task.name)
            if changed is None or changed.attempt == task.attempt:
                return None
            task = changed
        self._closed.add(name)
        return task if task.ending is None else None

    def _forget_ended(self) -> None:
        """Drop what is kept of tasks that have ended."""
        active = {build_task_id(job.job, t.name) for job, t in self._list_active()}
        for kept in (
            self._waiting,
            self._infeasible,
            self._unresolved,
            self._failed_on,
        ):
            for name in kept.keys() - active:
                kept.pop(name)
        self._closed &= active
        self._accepted_here &= self._state.jobs.keys()
        for name, host in list(self._refused_at):
            if name not in active:
                del self._refused_at[(name, host)]

    def _may_place(self, job: JobState) -> bool:
        if job.job in self._accepted_here or job.spec.repeat == Repeat.NEVER:
            return True
        # A former owner may have started this task on a host that has not answered.
        return self._clock.monotonic() >= self._takeover_until

    async def _choose(
        self, job: JobState, task: TaskState, spec: TaskSpec
    ) -> Placement | None:
        name = build_task_id(job.job, task.name)
        members = [
            status
            for status in self._members()
            if status.liveness == "alive" and status.member.state == "serving"
        ]
        if await self._report_infeasible(name, spec):
            return None
        candidates = [
            status
            for status in members
            if fits(spec.resources, status.member.capacity)
            and not self._is_refused(name, status.member.host)
        ]
        if not candidates:
            self._wait(name, "no host in service can hold the task now")
            return None
        failed_on = {host for host, _ in self._failed_on.get(name, ())}
        # A task that failed on one host tells more if it is tried on another.
        candidates = [
            s for s in candidates if s.member.host not in failed_on
        ] or candidates
        used = self._sum_usage(job.spec.customer)
        if reason := self._check_quota(job.spec.customer, used, spec.resources):
            self._wait(name, reason)
            return None
        waiting = WaitingTask(
            name,
            job.spec.customer,
            job.spec.kind,
            job.spec.urgent,
            spec.resources,
            spec.run_seconds,
        )
        choice = self._place(waiting, candidates, self._list_placed())
        await self._make_room(choice)
        if choice.host is None:
            self._wait(name, choice.reason)
            return None
        inputs = {"resources": str(spec.resources), "attempt": task.attempt}
        self._decisions.record(
            Decision(
                name, "place", choice.host, choice.reason, choice.alternatives, inputs
            )
        )
        member = next(s.member for s in candidates if s.member.host == choice.host)
        return Placement(member.host, member.incarnation, task.attempt)

    def _is_refused(self, name: str, host: str) -> bool:
        """Tell whether a host refused a task just now."""
        refused_at = self._refused_at.get((name, host))
        if refused_at is None:
            return False
        return self._clock.monotonic() < refused_at + REFUSAL_PAUSE

    def _wait(self, name: str, reason: str) -> None:
        if self._waiting.get(name) != reason:
            self._waiting[name] = reason
            self._decide(name, "wait", "waiting", reason)

    async def _report_infeasible(self, name: str, spec: TaskSpec) -> bool:
        """End a task that no known host could hold for a settled time."""
        known = [status.member.capacity for status in self._members()]
        if not known or any(fits(spec.resources, capacity) for capacity in known):
            self._infeasible.pop(name, None)
            return False
        now = self._clock.monotonic()
        since = self._infeasible.setdefault(name, now)
        # Members of a host that is replaced are known again after this time.
        if now - since < 2 * self._settings.cluster.dead_seconds:
            self._wait(name, "no known host is large enough")
            return True
        largest = Resources(
            max(c.processors for c in known),
            max(c.memory_mib for c in known),
            max(c.accelerators for c in known),
        )
        reason = f"needs {spec.resources}, but the largest hosts have {largest}"
        await self._end(name, Ending.CANNOT_RUN, reason)
        return True

    def _list_placed(self) -> list[PlacedTask]:
        placed = []
        for name, placement in self._placements.items():
            job_id, task = split_task_id(name)
            job = self._state.jobs.get(job_id)
            if job is None:
                continue
            spec = next(s for s in job.spec.tasks if s.name == task)
            placed.append(
                PlacedTask(
                    name,
                    job.spec.customer,
                    job.spec.kind,
                    job.spec.urgent,
                    placement.host,
                    spec.resources,
                    placement.progress,
                )
            )
        return placed

    def _sum_usage(self, customer: str) -> Resources:
        total = Resources()
        for placed in self._list_placed():
            if placed.customer == customer:
                total = add_resources(total, placed.resources)
        return total

    async def _make_room(self, choice: Placing) -> None:
        for name in choice.evict:
            await self.evict(name, choice.reason)
        for name in choice.throttle:
            await self.throttle(name, choice.share, choice.reason)

    async def evict(self, name: str, reason: str) -> None:
        """Checkpoint and stop a placed task; its resume follows the record."""
        placement = self._placements.get(name)
        if placement is None or not self._can_act():
            return
        self._decide(name, "evict", placement.host, reason)
        session = self._build_session(placement.host)
        message = EvictTask(session, name, placement.attempt, reason)
        if address := self._find_address(placement.host):
            await self._send(placement.host, address, message)

    async def throttle(self, name: str, share: float, reason: str) -> None:
        """Limit a placed task to a share of its processors."""
        placement = self._placements.get(name)
        if placement is None or not self._can_act():
            return
        self._decide(name, "throttle", placement.host, reason)
        session = self._build_session(placement.host)
        message = ThrottleTask(session, name, placement.attempt, share, reason)
        if address := self._find_address(placement.host):
            await self._send(placement.host, address, message)

    async def _start(self, name: str, placement: Placement) -> None:
        """Send an attempt to its host; without an answer it is sent again later."""
        address = self._find_address(placement.host)
        session = self._sessions.get(placement.host)
        if not placement.sent:
            if self._needs_renewal(name, placement):
                await self._renew(placement.host)
                session = self._sessions.get(placement.host)
            if session is None or address is None:
                self._drop_unsent(name, placement, "host gave no session")
                return
            placement = placement._replace(incarnation=session.incarnation)
            if not await self._declare_intent(name, placement):
                self._drop_unsent(name, placement, "intent could not be recorded")
                return
        if address is None or not self._can_act():
            return
        if not self._is_current(name, placement.attempt):
            return
        if self._placements.get(name) is None:
            return
        first = not placement.sent
        self._placements[name] = placement._replace(sent=True)
        message = self._build_start(name, placement)
        problem = await self._send(placement.host, address, message)
        if problem is None:
            return
        unsent = first and problem.kind is ErrorKind.UNREACHABLE
        if problem.kind in DECIDED or unsent:
            self._decide(name, "refused", placement.host, problem.detail)
            self._refused_at[(name, placement.host)] = self._clock.monotonic()
            await self._record_not_started(name, placement.attempt)

    def _needs_renewal(self, name: str, placement: Placement) -> bool:
        """Tell whether a start needs a newer stamp than the one that is known."""
        session = self._sessions.get(placement.host)
        if session is None or session.incarnation < placement.incarnation:
            return True
        # A host that has refused an attempt wants a stamp from after its refusal.
        refused_at = self._refused_at.get((name, placement.host))
        if refused_at is not None and session.heard_at <= refused_at:
            return True
        length = self._settings.cluster.session_seconds
        return self._clock.monotonic() > session.heard_at + length / 2

    def _drop_unsent(self, name: str, placement: Placement, reason: str) -> None:
        self._placements.pop(name, None)
        self._refused_at[(name, placement.host)] = self._clock.monotonic()
        self._wait(name, f"{placement.host}: {reason}")

    async def _declare_intent(self, name: str, placement: Placement) -> bool:
        job, task_name = split_task_id(name)
        if self._state.jobs[job].spec.repeat != Repeat.NEVER:
            return True
        await self._append(
            TaskIntent(
                self._partition,
                self._epoch,
                job,
                task_name,
                placement.attempt,
                placement.host,
                placement.incarnation,
            )
        )
        task = self._state.find_task(job, task_name)
        wanted = (placement.attempt, placement.host, placement.incarnation)
        return task is not None and task.intent == wanted

    def _build_start(self, name: str, placement: Placement) -> StartTask:
        job_id, task_name = split_task_id(name)
        job = self._state.jobs[job_id]
        spec = next(s for s in job.spec.tasks if s.name == task_name)
        session = self._build_session(placement.host)
        return StartTask(
            # Only the incarnation that the attempt was placed on may start it.
            Session(
                session.partition,
                session.epoch,
                placement.incarnation,
                session.stamp,
            ),
            job_id,
            name,
            placement.attempt,
            job.spec.customer,
            job.spec.kind,
            spec.command,
            job.tasks[task_name].checkpoint,
            job.spec.repeat,
            job.spec.urgent,
            spec.resources,
        )

    def _decide(self, subject: str, action: str, choice: str, reason: str) -> None:
        inputs = {"partition": self._partition, "epoch": self._epoch}
        self._decisions.record(Decision(subject, action, choice, reason, (), inputs))


async def _run_bounded(calls: Iterable[Awaitable[object]]) -> None:
    """Run calls concurrently, a bounded number at a time."""
    free = asyncio.Semaphore(MAX_PARALLEL_CALLS)

    async def run(call: Awaitable[object]) -> None:
        async with free:
            await call

    await asyncio.gather(*(run(call) for call in calls))


def _check_submission(message: SubmitJob) -> Problem | None:
    if not message.key:
        return Problem(
            ErrorKind.KEY_REQUIRED, "the key is missing", "Idempotency-Key", "a key"
        )
    if message.repeat not in set(Repeat):
        expected = " or ".join(Repeat)
        return _report_bad(
            f"repeat {message.repeat!r} is not valid", "repeat", expected
        )
    names = [task.name for task in message.tasks]
    if not names or len(set(names)) != len(names) or "" in names:
        return _report_bad(
            "task names repeat or are missing", "tasks", "a unique name for each task"
        )
    for task in message.tasks:
        amounts = (
            task.resources.processors,
            task.resources.memory_mib,
            task.resources.accelerators,
            task.run_seconds,
        )
        if not all(math.isfinite(amount) and amount >= 0 for amount in amounts):
            return _report_bad(
                f"resources or run time of {task.name!r} are not valid",
                f"tasks.{task.name}",
                "finite numbers of at least 0",
            )
    return None


def _report_bad(detail: str, where: str, expected: str) -> Problem:
    return Problem(ErrorKind.BAD_REQUEST, detail, where, expected)


def _describe_unrecorded(verdict: Result[None, Problem], where: str) -> Problem:
    """Report a record that was not read back; it may still land in the log."""
    match verdict:
        case Failure(Problem() as problem) if (
            problem.kind is not ErrorKind.LOG_UNAVAILABLE
        ):
            return problem
        case _:
            return Problem(
                ErrorKind.OUTCOME_UNKNOWN,
                "the log did not confirm the record in time",
                where,
                "a repeat of the same request",
            )

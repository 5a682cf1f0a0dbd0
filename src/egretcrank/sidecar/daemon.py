"""Sidecar daemon: one process per host that has an upstream or a worker."""

import asyncio
import logging
import random
import signal
from datetime import timedelta
from typing import TypeVar

from returns.result import Result, Success

from egretcrank.clock import Clock, SystemClock
from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.host.requests import RequestExecutor
from egretcrank.host.tasks import TaskHost, TaskMessage
from egretcrank.host.upstream import HttpUpstreamClient
from egretcrank.host.worker import HttpWorkerClient
from egretcrank.lists.state import ListsState
from egretcrank.membership.announcer import Announcer, choose_incarnation
from egretcrank.observability.decisions import DecisionLog
from egretcrank.observability.exposition import MetricsServer
from egretcrank.observability.metrics import Metrics
from egretcrank.ownership.shards import Shards
from egretcrank.ownership.state import OwnersState
from egretcrank.ownership.takeover import PartitionClaimer
from egretcrank.settings.schema import Settings
from egretcrank.sidecar.jobs import OwnedJobs
from egretcrank.sidecar.partitions import OwnedPartitions
from egretcrank.stream.access import LogAccess
from egretcrank.stream.client import HttpLogClient
from egretcrank.stream.exchange import StateExchange, answer_fetch
from egretcrank.stream.reader import StreamReader, Verdict
from egretcrank.stream.records import OwnerClaim, Record
from egretcrank.transport.client import Peers
from egretcrank.transport.server import Server
from egretcrank.transport.threads import ThreadBridge
from egretcrank.transport.traffic import Traffic
from egretcrank.wire.codec import build_refusal
from egretcrank.wire.messages import (
    AbandonAttempt,
    Acknowledged,
    AcknowledgeJob,
    CancelJob,
    DescribeJob,
    DescribeProcess,
    Drain,
    EvictTask,
    Execute,
    ExecuteOnce,
    Explain,
    Explanation,
    FencePartition,
    FenceReply,
    FetchState,
    Member,
    Message,
    ProcessStatus,
    Refused,
    RenewSession,
    Resources,
    StartTask,
    StopTask,
    Submit,
    SubmitJob,
    TaskEvents,
    ThrottleTask,
)

CONTROL_CONTEXTS = 16
# A submitted key occupies a context of its owner while a host executes it, so a sidecar
# needs more contexts than its own slots.
SUBMIT_CONTEXTS = 64
# Its owner writes the snapshots of the streams that every process reads.
SHARED_STREAMS_PARTITION = 0
LOG_THREADS = 16
WORKER_THREADS = 4
METRICS_TIMEOUT = timedelta(seconds=5)
EVENTS_TIMEOUT = timedelta(seconds=2)
MICROSECONDS_PER_SECOND = 1_000_000
SHUTDOWN_POLL_INTERVAL = timedelta(milliseconds=50)

MessageT = TypeVar("MessageT", bound=Message)

logger = logging.getLogger(__name__)


class Sidecar:
    """Connects the components of a sidecar and handles its messages."""

    def __init__(self, settings: Settings, clock: Clock, incarnation: int) -> None:
        self._settings = settings
        self._clock = clock
        self._incarnation = incarnation
        self._metrics = Metrics()
        self._traffic = Traffic()
        self._decisions = DecisionLog(clock)
        generator = random.Random(self._incarnation)
        slots = settings.upstream.slots
        loop = asyncio.get_running_loop()
        # Upstream requests must not wait for threads that are blocked on the log.
        self._upstream_threads = ThreadBridge(loop, slots)
        self._log_threads = ThreadBridge(loop, LOG_THREADS)
        self._worker_threads = ThreadBridge(loop, WORKER_THREADS)
        self._log = HttpLogClient(
            settings.log.address, self._log_threads, LOG_THREADS, self._traffic
        )
        self._peers = Peers(settings.process.name, clock, self._traffic)
        self._exchange = StateExchange(self._peers, self._list_state_sources)
        self._owners = OwnersState()
        access = LogAccess(
            self._log, settings.log, clock, self._metrics, self._exchange.fetch
        )
        self._owners_reader = access.build_reader("owners", self._owners)
        self._lists = ListsState()
        self._lists_reader = access.build_reader("lists", self._lists)
        self._owners_reader.add_listener(self._observe_owner_record)
        self._owners_appender = access.build_appender(self._owners_reader)
        self._lists_appender = access.build_appender(self._lists_reader)
        self._snapshot_writers = [
            access.build_snapshot_writer(
                reader,
                appender,
                lambda: self._writes_snapshots(SHARED_STREAMS_PARTITION),
            )
            for reader, appender in (
                (self._owners_reader, self._owners_appender),
                (self._lists_reader, self._lists_appender),
            )
        ]
        self._shards = Shards(settings.cluster, access, self._writes_snapshots)
        self._state = "serving"
        self._announcer = Announcer(
            self._describe_member, settings.cluster, self._peers, clock
        )
        self._executor = RequestExecutor(
            settings,
            self._incarnation,
            HttpUpstreamClient(
                settings.upstream.address, self._upstream_threads, slots
            ),
            clock,
            self._metrics,
            self._is_epoch_confirmed,
            self._lists.find_request_share,
        )
        self._tasks = self._build_task_host()
        self._jobs = OwnedJobs(
            settings,
            self._lists,
            self._peers,
            self._announcer.list_members,
            clock,
            self._decisions,
            self._metrics,
            generator,
        )
        self._partitions = OwnedPartitions(
            settings,
            self._owners,
            self._shards,
            self._announcer,
            self._peers,
            clock,
            self._decisions,
            generator,
            self._jobs,
            self._owners_reader,
        )
        self._claimer = PartitionClaimer(
            settings,
            self._incarnation,
            self._owners,
            self._owners_reader,
            self._owners_appender,
            self._announcer.list_members,
            clock,
            self._decisions,
            self._partitions.open,
            self._partitions.is_open,
        )
        self._stop = asyncio.Event()

    def _build_task_host(self) -> TaskHost | None:
        if not self._settings.worker.address:
            return None
        worker = HttpWorkerClient(self._settings.worker.address, self._worker_threads)
        return TaskHost(
            self._settings.process.name,
            self._incarnation,
            worker,
            self._settings,
            self._clock,
            self._decisions,
            self._metrics,
            self._send_task_events,
            self._is_epoch_valid,
        )

    async def _send_task_events(self, events: TaskEvents) -> bool:
        """Send task states to the owner of their partition.

        Returns whether the owner acknowledged them.
        """
        owner = self._owners.find_owner(events.partition)
        if owner is None or owner.released:
            return False
        reply = await self._peers.call(owner.address, events, EVENTS_TIMEOUT)
        return isinstance(reply, Success)

    def _writes_snapshots(self, partition: int) -> bool:
        """Tell whether this process writes the snapshots assigned to a partition.

        The snapshots of a shard belong to its lowest partition, whose number is that of
        the shard.
        """
        return partition in self._partitions.list_partitions()

    def _list_state_sources(self) -> list[str]:
        members = self._announcer.list_members()
        return [
            *self._settings.cluster.entries,
            *(status.member.control_address for status in members),
        ]

    def _list_readers(self) -> dict[str, StreamReader]:
        shards = self._shards.list_open().values()
        readers = [self._owners_reader, self._lists_reader, *(s.reader for s in shards)]
        return {reader.stream: reader for reader in readers}

    async def run(self) -> None:
        """Serve until told to stop, then finish the work in flight."""
        contexts = self._settings.upstream.slots + self._settings.upstream.queue
        control = Server(
            self._settings.process.name,
            self._settings.process.control_address,
            CONTROL_CONTEXTS,
            self._handle_control,
            self._traffic,
        )
        requests = Server(
            self._settings.process.name,
            self._settings.process.request_address,
            contexts + SUBMIT_CONTEXTS,
            self._handle_request,
            self._traffic,
        )
        tasks = [
            asyncio.create_task(self._owners_reader.run()),
            asyncio.create_task(self._lists_reader.run()),
            asyncio.create_task(self._owners_appender.run()),
            asyncio.create_task(self._lists_appender.run()),
            *(asyncio.create_task(w.run()) for w in self._snapshot_writers),
            asyncio.create_task(self._announcer.run()),
            asyncio.create_task(self._watch_incarnation()),
            asyncio.create_task(self._claimer.run()),
        ]
        if self._tasks is not None:
            tasks.append(asyncio.create_task(self._tasks.run()))
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(signal_number, self._stop.set)
        metrics = self._start_metrics()
        logger.info("sidecar started", extra={"incarnation": self._incarnation})
        await self._stop.wait()
        await self._shut_down(requests)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._partitions.close()
        await self._shards.close()
        if metrics is not None:
            # ``stop`` waits for threads that may wait for this loop.
            await asyncio.to_thread(metrics.stop)
        await requests.close()
        await control.close()
        await self._peers.close()
        self._log.close()
        self._log_threads.close()
        self._upstream_threads.close()
        self._worker_threads.close()
        logger.info("sidecar stopped")

    def _start_metrics(self) -> MetricsServer | None:
        address = self._settings.process.metrics_address
        if not address:
            return None
        return MetricsServer(address, self._render_metrics)

    def _render_metrics(self, accept: str) -> tuple[bytes, dict[str, str]]:
        """Render the metrics on the event loop, which is where they are updated."""

        async def render() -> tuple[bytes, dict[str, str]]:
            self._metrics.partitions_owned.set(
                {}, len(self._partitions.list_partitions())
            )
            self._metrics.lists_revision.set({}, self._get_lists_revision())
            self._metrics.in_flight.set({}, self._executor.running)
            return self._metrics.render(accept)

        return self._log_threads.run_on_loop(render(), METRICS_TIMEOUT).unwrap()

    async def _watch_incarnation(self) -> None:
        """Stop if another process with the same name has a newer incarnation."""
        while not self._announcer.newer_incarnation:
            await self._clock.sleep(self._settings.cluster.announce_seconds)
        self._stop.set()

    async def _shut_down(self, requests: Server) -> None:
        """Announce the shutdown, reject new work, and wait for the work in flight."""
        started = self._clock.monotonic()
        deadline = started + self._settings.process.shutdown_seconds
        # Senders that do not know of the shutdown yet must get explicit refusals: the
        # sender of a message that is lost when this process exits has to assume that it
        # may have run. Entries without announcements of this host stop sending after
        # ``suspect_seconds``, and owners learn of that with their next announcement.
        cluster = self._settings.cluster
        all_informed_at = (
            started + cluster.suspect_seconds + 2 * cluster.announce_seconds
        )
        self._state = "leaving"
        self._claimer.leave()
        self._executor.leave()
        if self._tasks is not None:
            self._tasks.leave()
        await self._announcer.announce_now()
        owned = await self._partitions.leave(self._settings.process.shutdown_seconds)
        await self._claimer.release(owned)
        while self._clock.monotonic() < deadline and (
            self._clock.monotonic() < all_informed_at
            or requests.busy
            or self._executor.running
            or self._executor.waiting
        ):
            await self._clock.sleep(SHUTDOWN_POLL_INTERVAL)

    def _observe_owner_record(
        self, offset: int, record: Record, verdict: Verdict
    ) -> None:
        match record, verdict:
            case OwnerClaim(partition, epoch), Success(_):
                self._advance_epoch(partition, epoch)

    def _advance_epoch(self, partition: int, epoch: int) -> None:
        self._partitions.close_stale_owner(partition, epoch)
        if self._tasks is not None:
            self._tasks.advance_epoch(partition, epoch)

    def _is_epoch_valid(self, partition: int, epoch: int) -> bool:
        """Tell whether the owner of an epoch may continue, as far as this host knows.

        While the log is available, it shows the claims of later epochs.
        """
        return not self._owners_reader.is_down() or self._is_epoch_confirmed(
            partition, epoch
        )

    def _is_epoch_confirmed(self, partition: int, epoch: int) -> bool:
        """Tell whether no owner of a later epoch can have completed its takeover.

        A majority of entries must confirm that they have not applied more claims than
        this process, which proves nothing if this process has applied a later claim
        itself.
        """
        owner = self._owners.find_owner(partition)
        if owner is None or owner.epoch != epoch:
            return False
        return self._announcer.reaches_majority(
            self._settings.cluster.session_seconds,
            self._owners_reader.position.next_offset,
        )

    def _get_lists_revision(self) -> int:
        """Return the current revision of the lists, or 0 if they were not read yet."""
        ready = self._lists_reader.position.ready
        return self._lists.revision if ready else 0

    def _describe_member(self) -> Member:
        settings = self._settings
        return Member(
            host=settings.process.name,
            incarnation=self._incarnation,
            control_address=settings.process.announced_control_address
            or settings.process.control_address,
            request_address=settings.process.announced_request_address
            or settings.process.request_address,
            failure_domain=settings.process.failure_domain,
            rack=settings.process.rack,
            services=settings.upstream.services,
            slots=settings.upstream.slots,
            slots_busy=self._executor.running,
            queued=self._executor.waiting,
            capacity=self._tasks.ledger.capacity if self._tasks else Resources(),
            free=self._tasks.ledger.free if self._tasks else Resources(),
            state=self._state,
            partitions=self._partitions.list_partitions(),
            lists_revision=self._get_lists_revision(),
            lists_offset=self._lists_reader.position.next_offset,
            owners_offset=self._owners_reader.position.next_offset,
        )

    async def _handle_request(self, message: Message, sender: str) -> Message:
        match message:
            case Execute():
                return _reply(await self._executor.execute(message))
            case ExecuteOnce():
                self._advance_epoch(message.partition, message.epoch)
                return _reply(await self._executor.execute_once(message))
            case Submit():
                return _reply(await self._partitions.submit(message))
            case (
                SubmitJob() | CancelJob() | DescribeJob() | AcknowledgeJob()
            ) | TaskEvents():
                return _reply(await self._jobs.handle(message))
            case _:
                return _reject_unsupported(message)

    async def _handle_control(self, message: Message, sender: str) -> Message:
        match message:
            case AbandonAttempt():
                return await self._executor.abandon(message)
            case FencePartition(partition, epoch):
                return self._fence(partition, epoch)
            case (
                StartTask() | RenewSession() | EvictTask() | StopTask()
            ) | ThrottleTask():
                return await self._handle_task(message)
            case FetchState():
                return answer_fetch(message, self._list_readers())
            case Drain():
                self._stop.set()
                return Acknowledged()
            case DescribeProcess():
                return self._describe_process()
            case Explain(subject):
                return Explanation(
                    subject, tuple(dict(d) for d in self._decisions.explain(subject))
                )
            case _:
                return _reject_unsupported(message)

    def _fence(self, partition: int, epoch: int) -> Message:
        fenced_epoch = self._executor.find_epoch(partition)
        if epoch < fenced_epoch:
            detail = f"partition {partition} has epoch {fenced_epoch}, not {epoch}"
            return build_refusal(Problem(ErrorKind.STALE_EPOCH, detail))
        self._advance_epoch(partition, epoch)
        attempts = self._executor.fence(partition, epoch)
        name = self._settings.process.name
        if self._tasks is not None:
            match self._tasks.fence(FencePartition(partition, epoch)):
                case Success(FenceReply(tasks=tasks, stamp=stamp)):
                    return FenceReply(name, self._incarnation, attempts, tasks, stamp)
        return FenceReply(name, self._incarnation, attempts)

    async def _handle_task(self, message: TaskMessage) -> Message:
        if self._tasks is None:
            detail = "this host has no worker"
            return build_refusal(Problem(ErrorKind.NO_CAPACITY, detail))
        # After a restart, the epochs are known only from the log.
        for partition in _get_partitions(message):
            owner = self._owners.find_owner(partition)
            if owner is not None:
                self._tasks.advance_epoch(partition, owner.epoch)
        return _reply(await self._tasks.handle(message))

    def _describe_process(self) -> ProcessStatus:
        position = self._owners_reader.position
        return ProcessStatus(
            self._settings.process.name,
            "sidecar",
            {
                "state": self._state,
                "failure_domain": self._settings.process.failure_domain,
                "incarnation": self._incarnation,
                "slots_busy": self._executor.running,
                "queued": self._executor.waiting,
                "partitions": list(self._partitions.list_partitions()),
                "owners_offset": position.next_offset,
                "lists_revision": self._get_lists_revision(),
                "traffic": self._traffic.read()._asdict(),
                "log_down": position.down,
                "entries_heard": self._announcer.entries_heard,
                "work": self._jobs.summarize_work().build_document(),
            },
        )


def _reply(outcome: Result[MessageT, Problem]) -> MessageT | Refused:
    message = outcome.value_or(None)
    return build_refusal(outcome.failure()) if message is None else message


def _get_partitions(message: TaskMessage) -> list[int]:
    """Return the partitions whose sessions a message carries."""
    match message:
        case RenewSession(sessions):
            return [session.partition for session in sessions]
        case _:
            return [message.session.partition]


def _reject_unsupported(message: Message) -> Message:
    return build_refusal(
        Problem(
            ErrorKind.UNSUPPORTED_MESSAGE,
            f"{type(message).__name__} is not handled at this address",
        )
    )


def run_sidecar(settings: Settings) -> None:
    """Run a sidecar until a signal, a ``Drain`` message or a successor stops it."""

    async def start() -> None:
        clock = SystemClock()
        peers = Peers(settings.process.name, clock)
        started = int(clock.now().timestamp() * MICROSECONDS_PER_SECOND)
        incarnation = await choose_incarnation(
            settings.process.name, started, settings.cluster, peers
        )
        await peers.close()
        await Sidecar(settings, clock, incarnation).run()

    asyncio.run(start())

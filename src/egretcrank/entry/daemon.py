"""Entry daemon: accepts the requests of callers."""

import asyncio
import logging
import random
import signal
import threading
from collections import Counter
from dataclasses import replace
from datetime import timedelta
from typing import Any

from returns.result import Failure, Result

from egretcrank.clock import Clock, SystemClock
from egretcrank.entry.http import HttpInterface
from egretcrank.entry.jobs import JobRequest, JobRouter
from egretcrank.entry.owners import OwnerClient
from egretcrank.entry.requests import RequestRouter
from egretcrank.entry.server import build_http_server
from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.jobs.summary import WorkSummary, combine, read_document
from egretcrank.lists.state import ListsState
from egretcrank.membership.directory import ALIVE, LIVENESS, Directory
from egretcrank.observability.decisions import DecisionLog
from egretcrank.observability.metrics import Metrics
from egretcrank.ownership.state import OwnersState
from egretcrank.routing.admission import Admission, Weight
from egretcrank.settings.schema import Settings
from egretcrank.stream.access import LogAccess
from egretcrank.stream.client import HttpLogClient
from egretcrank.stream.exchange import StateExchange, answer_fetch
from egretcrank.transport.client import Peers
from egretcrank.transport.server import Server
from egretcrank.transport.threads import ThreadBridge
from egretcrank.transport.traffic import Traffic
from egretcrank.wire.codec import build_refusal
from egretcrank.wire.messages import (
    Acknowledged,
    Announce,
    DescribeProcess,
    Drain,
    Execute,
    Executed,
    Explain,
    Explanation,
    FetchState,
    JobReply,
    Message,
    ProcessStatus,
)

CONTROL_CONTEXTS = 32
LOG_THREADS = 8
# One of this many HTTP threads, and at least one, is kept free of admitted requests.
SPARE_THREAD_DIVISOR = 8
PEER_CALL_TIMEOUT = timedelta(seconds=2)
# Limits of one status request: number of owners queried, number of concurrent calls and
# total time. Owners that do not reply, or are not queried, are counted as missing.
MAX_WORK_OWNERS = 256
MAX_WORK_CALLS = 16
WORK_TIMEOUT = timedelta(seconds=2)
SHUTDOWN_POLL_INTERVAL = timedelta(milliseconds=50)

logger = logging.getLogger(__name__)


class Entry:
    """Connects the components of an entry and handles control messages."""

    def __init__(self, settings: Settings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._metrics = Metrics()
        self._traffic = Traffic()
        self._decisions = DecisionLog(clock)
        self._bridge = ThreadBridge(asyncio.get_running_loop(), LOG_THREADS)
        self._log = HttpLogClient(
            settings.log.address, self._bridge, LOG_THREADS, self._traffic
        )
        self._peers = Peers(settings.process.name, clock, self._traffic)
        self._directory = Directory(settings.process.name, settings.cluster, clock)
        self._exchange = StateExchange(self._peers, self._list_state_sources)
        self._owners = OwnersState()
        access = LogAccess(
            self._log, settings.log, clock, self._metrics, self._exchange.fetch
        )
        self._owners_reader = access.build_reader("owners", self._owners)
        self._lists = ListsState()
        self._lists_reader = access.build_reader("lists", self._lists)
        owner_client = OwnerClient(self._owners, self._peers, clock)
        self._request_router = RequestRouter(
            settings,
            owner_client,
            self._directory.list_members,
            self._peers,
            clock,
            self._decisions,
            self._metrics,
            random.Random(),
        )
        self._job_router = JobRouter(settings, self._lists, owner_client)
        self._in_flight = 0
        self._state = "serving"
        self._stop = asyncio.Event()

    def _list_state_sources(self) -> list[str]:
        own_address = self._settings.process.control_address
        entries = [a for a in self._settings.cluster.entries if a != own_address]
        members = self._directory.list_members()
        return entries + [status.member.control_address for status in members]

    async def run(self) -> None:
        """Serve until told to stop, then finish the requests in flight."""
        control = Server(
            self._settings.process.name,
            self._settings.process.control_address,
            CONTROL_CONTEXTS,
            self._handle_control,
            self._traffic,
        )
        readers = [
            asyncio.create_task(self._owners_reader.run()),
            asyncio.create_task(self._lists_reader.run()),
        ]
        http = build_http_server(
            self._settings.entry,
            HttpInterface(
                self._settings.entry,
                self,
                self._bridge,
                build_admission(self._settings, self._lists.find_request_share),
            ),
        )
        http.prepare()
        thread = threading.Thread(target=http.serve, name="http", daemon=True)
        thread.start()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(signal_number, self._stop.set)
        logger.info(
            "entry started", extra={"http_address": self._settings.entry.http_address}
        )
        await self._stop.wait()
        await self._wait_for_requests()
        # ``stop`` waits for threads that wait for this loop, so it must not block it.
        await asyncio.to_thread(http.stop)
        for reader in readers:
            reader.cancel()
        await asyncio.gather(*readers, return_exceptions=True)
        await control.close()
        await self._peers.close()
        self._log.close()
        self._bridge.close()
        logger.info("entry stopped")

    async def _wait_for_requests(self) -> None:
        deadline = self._clock.monotonic() + self._settings.process.shutdown_seconds
        self._state = "leaving"
        while self._in_flight and self._clock.monotonic() < deadline:
            await self._clock.sleep(SHUTDOWN_POLL_INTERVAL)

    async def answer(self, request: Execute, key: str) -> Result[Executed, Problem]:
        """Answer a caller's request; ``key`` is its idempotency key or empty."""
        self._in_flight += 1
        started = self._clock.monotonic()
        try:
            outcome = await self._route_request(request, key)
        finally:
            self._in_flight -= 1
        result = "ok" if outcome.value_or(None) else outcome.failure().kind.value
        labels = {"service": request.service, "result": result}
        self._metrics.requests.inc(labels)
        elapsed = (self._clock.monotonic() - started).total_seconds()
        self._metrics.request_seconds.observe({"service": request.service}, elapsed)
        return outcome

    async def _route_request(
        self, request: Execute, key: str
    ) -> Result[Executed, Problem]:
        """Replace aliases of customer and service, and route the request.

        Fails if the customer is not in the lists or the lists have not been read.
        """
        if not self._lists_reader.position.ready:
            detail = "the lists have not been read yet"
            return Failure(
                Problem(ErrorKind.STARTING, detail, retry_after=timedelta(seconds=1))
            )
        customer = self._lists.find_customer(request.customer)
        if isinstance(customer, Failure):
            return Failure(customer.failure())
        resolved = replace(
            request,
            customer=customer.unwrap().name,
            service=self._lists.find_service(request.service),
        )
        return await self._request_router.answer(resolved, key)

    async def handle_job(self, message: JobRequest) -> Result[JobReply, Problem]:
        """Handle a request about a batch job."""
        if not self._lists_reader.position.ready:
            detail = "the lists have not been read yet"
            return Failure(
                Problem(ErrorKind.STARTING, detail, retry_after=timedelta(seconds=1))
            )
        return await self._job_router.route(message)

    def _get_lists_revision(self) -> int:
        """Return the current revision of the lists, or 0 if they were not read yet."""
        ready = self._lists_reader.position.ready
        return self._lists.revision if ready else 0

    async def describe_status(self) -> dict[str, Any]:
        """Return the status of this entry, its members and their batch work."""
        return {**self._describe_self(), "work": await self._collect_work()}

    async def _collect_work(self) -> dict[str, Any]:
        """Query the owners of partitions for summaries of their batch work."""
        owners = {
            status.member.control_address
            for status in self._directory.list_members()
            if status.liveness == ALIVE and status.member.partitions
        }
        queried_owners = sorted(owners)[:MAX_WORK_OWNERS]
        semaphore = asyncio.Semaphore(MAX_WORK_CALLS)
        summaries: list[WorkSummary] = []

        async def query(address: str) -> None:
            async with semaphore:
                reply = await self._peers.call(
                    address, DescribeProcess(), PEER_CALL_TIMEOUT
                )
            match reply.value_or(None):
                case ProcessStatus(document=document):
                    summary = read_document(document.get("work", {}))
                    if summary is not None:
                        summaries.append(summary)

        calls = [asyncio.create_task(query(address)) for address in queried_owners]
        if calls:
            await asyncio.wait(calls, timeout=WORK_TIMEOUT.total_seconds())
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)
        return {
            **combine(summaries).build_document(),
            "missing": len(owners) - len(summaries),
        }

    def _describe_self(self) -> dict[str, Any]:
        members = self._directory.list_members()
        position = self._owners_reader.position
        return {
            "name": self._settings.process.name,
            "role": "entry",
            "state": self._state,
            "in_flight": self._in_flight,
            "log_down": position.down,
            "owners_offset": position.next_offset,
            "lists_revision": self._get_lists_revision(),
            "traffic": self._traffic.read()._asdict(),
            "lists_offset": self._lists_reader.position.next_offset,
            "members": [
                {
                    "host": status.member.host,
                    "failure_domain": status.member.failure_domain,
                    "liveness": status.liveness,
                    "state": status.member.state,
                    "services": list(status.member.services),
                    "slots": status.member.slots,
                    "slots_busy": status.member.slots_busy,
                    "partitions": list(status.member.partitions),
                    "lists_revision": status.member.lists_revision,
                }
                for status in members
            ],
            "owners": [
                {
                    "partition": owner.partition,
                    "epoch": owner.epoch,
                    "host": owner.host,
                    "released": owner.released,
                }
                for owner in self._owners.list_owners()
            ],
        }

    async def drain(self, host: str) -> Result[None, Problem]:
        """Ask the sidecar of a host to shut down."""
        for status in self._directory.list_members():
            if status.member.host == host:
                reply = await self._peers.call(
                    status.member.control_address, Drain("operator"), PEER_CALL_TIMEOUT
                )
                return reply.map(lambda _: None)
        return Failure(Problem(ErrorKind.NOT_FOUND, f"host {host!r} is not a member"))

    async def explain(self, subject: str) -> list[dict[str, Any]]:
        """Collect the decisions about a subject from this entry and all members."""
        decisions = [dict(d) for d in self._decisions.explain(subject)]
        addresses = [s.member.control_address for s in self._directory.list_members()]
        replies = await asyncio.gather(
            *(
                self._peers.call(address, Explain(subject), PEER_CALL_TIMEOUT)
                for address in addresses
            )
        )
        for reply in replies:
            match reply.value_or(None):
                case Explanation(_, found):
                    decisions.extend(found)
        return sorted(decisions, key=lambda decision: str(decision["time"]))

    async def render_metrics(self, accept: str) -> tuple[bytes, dict[str, str]]:
        """Update the gauges and return the metrics of this process."""
        self._metrics.in_flight.set({}, self._in_flight)
        self._metrics.lists_revision.set({}, self._get_lists_revision())
        counts = Counter(s.liveness for s in self._directory.list_members())
        for liveness in LIVENESS:
            self._metrics.members.set({"liveness": liveness}, counts[liveness])
        return self._metrics.render(accept)

    async def _handle_control(self, message: Message, sender: str) -> Message:
        match message:
            case Announce():
                # A state from a peer may be older than the one this entry had before
                # its restart, so it proves nothing until the log has been read.
                has_read_log = self._owners_reader.has_read_log
                offset = (
                    self._owners_reader.position.next_offset if has_read_log else -1
                )
                lists_offset = self._lists_reader.position.next_offset
                return self._directory.announce(message, lists_offset, offset)
            case FetchState():
                readers = {"owners": self._owners_reader, "lists": self._lists_reader}
                return answer_fetch(message, readers)
            case Drain():
                self._stop.set()
                return Acknowledged()
            case DescribeProcess():
                document = self._describe_self()
                return ProcessStatus(self._settings.process.name, "entry", document)
            case Explain(subject):
                return Explanation(
                    subject, tuple(dict(d) for d in self._decisions.explain(subject))
                )
            case _:
                return build_refusal(
                    Problem(
                        ErrorKind.UNSUPPORTED_MESSAGE,
                        f"{type(message).__name__} is not handled by an entry",
                    )
                )


def build_admission(settings: Settings, weight: Weight) -> Admission:
    """Build the admission control of requests in flight.

    Each admitted request occupies an HTTP thread, so some threads are kept free to
    reject requests and to serve operators.
    """
    threads = settings.entry.threads
    request_threads = max(1, threads - max(1, threads // SPARE_THREAD_DIVISOR))
    return Admission(min(settings.entry.max_in_flight, request_threads), weight)


def run_entry(settings: Settings) -> None:
    """Run an entry until a signal or a ``Drain`` message stops it."""

    async def start() -> None:
        await Entry(settings, SystemClock()).run()

    asyncio.run(start())

"""The entry daemon: accepts requests of callers."""

import asyncio
import logging
import random
import signal
import threading
from datetime import timedelta
from typing import Any

from returns.result import Result

from egretcrank.clock import Clock, SystemClock
from egretcrank.entry.http import HttpInterface
from egretcrank.entry.requests import RequestRouter
from egretcrank.entry.server import build_http_server
from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.membership.directory import Directory
from egretcrank.observability.decisions import DecisionLog
from egretcrank.observability.metrics import Metrics
from egretcrank.ownership.state import OwnersState
from egretcrank.routing.admission import Admission
from egretcrank.settings.schema import Settings
from egretcrank.stream.client import HttpLogClient
from egretcrank.stream.reader import StreamReader
from egretcrank.transport.client import Peers
from egretcrank.transport.server import Server
from egretcrank.transport.threads import ThreadBridge
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
    Message,
    ProcessStatus,
)

CONTROL_CONTEXTS = 32
LOG_THREADS = 8
# One thread in this many is never used for a request in flight.
SPARE_THREADS = 8
DESCRIBE_TIMEOUT = timedelta(seconds=2)
DRAIN_POLL = timedelta(milliseconds=50)

logger = logging.getLogger(__name__)


class Entry:
    """Wires the parts of an entry and answers its messages."""

    def __init__(self, settings: Settings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._metrics = Metrics()
        self._decisions = DecisionLog(clock)
        self._bridge = ThreadBridge(asyncio.get_running_loop(), LOG_THREADS)
        self._log = HttpLogClient(settings.log.address, self._bridge, LOG_THREADS)
        self._peers = Peers(settings.process.name, clock)
        self._owners = OwnersState()
        self._owners_reader = StreamReader(
            "owners", self._log, self._owners, settings.log, clock, self._metrics
        )
        self._directory = Directory(settings.process.name, settings.cluster, clock)
        self._router = RequestRouter(
            settings,
            self._owners,
            self._directory.list_members,
            self._peers,
            clock,
            self._decisions,
            self._metrics,
            random.Random(),
        )
        self._in_flight = 0
        self._state = "serving"
        self._stop = asyncio.Event()

    async def run(self) -> None:
        """Serve until the process is told to leave, then finish what is in flight."""
        control = Server(
            self._settings.process.name,
            self._settings.process.control_address,
            CONTROL_CONTEXTS,
            self._handle_control,
        )
        reader = asyncio.create_task(self._owners_reader.run())
        http = build_http_server(
            self._settings.entry,
            HttpInterface(
                self._settings.entry,
                self,
                self._bridge,
                build_admission(self._settings),
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
        await self._leave()
        # Stopping waits for threads that wait for this loop, so it runs beside it.
        await asyncio.to_thread(http.stop)
        reader.cancel()
        await asyncio.gather(reader, return_exceptions=True)
        await control.close()
        await self._peers.close()
        self._log.close()
        self._bridge.close()
        logger.info("entry stopped")

    async def _leave(self) -> None:
        limit = self._clock.monotonic() + self._settings.process.shutdown_seconds
        self._state = "leaving"
        while self._in_flight and self._clock.monotonic() < limit:
            await self._clock.sleep(DRAIN_POLL)

    async def answer(self, request: Execute, key: str) -> Result[Executed, Problem]:
        """Answer a request of a caller."""
        self._in_flight += 1
        started = self._clock.monotonic()
        try:
            outcome = await self._router.answer(request, key)
        finally:
            self._in_flight -= 1
        result = "ok" if outcome.value_or(None) else outcome.failure().kind.value
        labels = {"service": request.service, "result": result}
        self._metrics.requests.inc(labels)
        elapsed = (self._clock.monotonic() - started).total_seconds()
        self._metrics.request_seconds.observe({"service": request.service}, elapsed)
        return outcome

    async def describe_status(self) -> dict[str, Any]:
        """Return the status document of this entry and its members."""
        members = self._directory.list_members()
        position = self._owners_reader.position
        return {
            "name": self._settings.process.name,
            "role": "entry",
            "state": self._state,
            "in_flight": self._in_flight,
            "log_down": position.down,
            "owners_offset": position.next_offset,
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

    async def explain(self, subject: str) -> list[dict[str, Any]]:
        """Collect the decisions on a subject from this entry and all members."""
        decisions = [dict(d) for d in self._decisions.explain(subject)]
        addresses = [s.member.control_address for s in self._directory.list_members()]
        replies = await asyncio.gather(
            *(
                self._peers.call(address, Explain(subject), DESCRIBE_TIMEOUT)
                for address in addresses
            )
        )
        for reply in replies:
            match reply.value_or(None):
                case Explanation(_, found):
                    decisions.extend(found)
        return sorted(decisions, key=lambda decision: str(decision["time"]))

    async def render_metrics(self, accept: str) -> tuple[bytes, dict[str, str]]:
        """Return the metrics of this process."""
        self._metrics.in_flight.set({}, self._in_flight)
        return self._metrics.render(accept)

    async def _handle_control(self, message: Message, sender: str) -> Message:
        match message:
            case Announce():
                offset = self._owners_reader.position.next_offset
                return self._directory.announce(message, 0, offset)
            case Drain():
                self._stop.set()
                return Acknowledged()
            case DescribeProcess():
                document = await self.describe_status()
                return ProcessStatus(self._settings.process.name, "entry", document)
            case Explain(subject):
                return Explanation(
                    subject, tuple(dict(d) for d in self._decisions.explain(subject))
                )
            case _:
                return build_refusal(
                    Problem(
                        ErrorKind.UNSUPPORTED_MESSAGE,
                        f"{type(message).__name__} is not expected by an entry",
                    )
                )


def build_admission(settings: Settings) -> Admission:
    """Build the limit of requests in flight.

    Each request in flight holds a thread, so some threads are kept free to refuse
    requests and to answer operators.
    """
    threads = settings.entry.threads
    usable = max(1, threads - max(1, threads // SPARE_THREADS))
    return Admission(min(settings.entry.max_in_flight, usable))


def run_entry(settings: Settings) -> None:
    """Run an entry until it is told to stop."""

    async def start() -> None:
        await Entry(settings, SystemClock()).run()

    asyncio.run(start())

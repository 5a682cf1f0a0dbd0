"""Tests of odd entries from other writers: nested deeply, too large or out of range."""

import http.client
import io
import math
import threading
from collections import deque
from datetime import UTC, datetime, timedelta
from typing import Any
from unittest.mock import Mock, patch

import msgspec
import pynng
import xxhash
from cheroot.wsgi import Server as CherootServer
from returns.result import Failure, Success

from bench.addresses import find_address
from egretcrank.agent.pace import PaceController
from egretcrank.agent.state import AgentState, Identity
from egretcrank.clock import SystemClock
from egretcrank.controller import operator_records
from egretcrank.controller.candidates import choose_leader
from egretcrank.controller.committer import MAX_BATCH_BYTES, Committer, Submission
from egretcrank.controller.daemon import Controller
from egretcrank.controller.election import EPOCHS_PER_GENERATION, SLOT_TOPICS
from egretcrank.controller.link import PeerLink
from egretcrank.controller.service import JobService
from egretcrank.controller.submissions import Submissions
from egretcrank.entry.jobs import parse_submission
from egretcrank.errors.kinds import ErrorKind
from egretcrank.host import worker
from egretcrank.lists.state import ListsState
from egretcrank.observability.metrics import Metrics
from egretcrank.ownership.state import OwnersState
from egretcrank.ownership.work import WorkState
from egretcrank.platform.bounds import MAX_DURATION_MILLISECONDS
from egretcrank.platform.calls import Response
from egretcrank.platform.heartbeats import (
    MAX_HEARTBEAT_BYTES,
    Heartbeat,
    HeartbeatEndpoint,
)
from egretcrank.platform.ingress import Ingress
from egretcrank.platform.manifest import CONFIGURATION_KEY, parse_manifest
from egretcrank.platform.runner import Runner, RunnerSnapshot
from egretcrank.platform.store import (
    MAX_GENERATION,
    MAX_SLOTS,
    Assignment,
    SlotOwner,
    Store,
    encode_keyed,
)
from egretcrank.policy.crashes import Crash
from egretcrank.policy.slowdown import Slowdowns
from egretcrank.scheduling.backlog import Backlogs
from egretcrank.scheduling.catalog import (
    EMPTY_CATALOG,
    MAX_STRETCH,
    MAX_TARGET_LATENCY,
)
from egretcrank.scheduling.definitions import (
    MAX_DURATION,
    MAX_TIME,
    JobDefinition,
    find_defect,
)
from egretcrank.scheduling.ordering import order_steps
from egretcrank.scheduling.records import (
    HostRecord,
    LeaderRecord,
    Phase,
    ProgressRecord,
    RecordKey,
    RecordKind,
    StepRecord,
    TaskRecord,
    decode_record,
    encode_record,
)
from egretcrank.scheduling.table import JobTable, StoredValue
from egretcrank.scheduling.tasks import Job
from egretcrank.settings.platform import BoundSettings
from egretcrank.settings.schema import ClusterSettings
from egretcrank.stream import client
from egretcrank.stream.records import (
    OwnerClaim,
    build_entry,
    decode_entry,
    encode_entry,
)
from egretcrank.stream.snapshots import StreamState, read_state
from egretcrank.transport import loops
from egretcrank.transport.client import Peers
from egretcrank.transport.leader import LeaderLink, receive_messages
from egretcrank.transport.loops import start_loop
from egretcrank.transport.server import Server
from egretcrank.wire.bounds import MAX_COUNT, MAX_INTEGER
from egretcrank.wire.codec import decode, encode
from egretcrank.wire.envelope import Envelope
from egretcrank.wire.hosting import (
    HOSTING_CODEC,
    EndedTask,
    HostOrders,
    HostReport,
    LeaderMoved,
    RefusedStart,
    RunnerInfo,
    RunningTask,
)
from egretcrank.wire.messages import (
    Announce,
    AnnounceReply,
    DescribeProcess,
    ProcessStatus,
    Refused,
)
from tests.cases import AsyncTestCase, ManualClock
from tests.cell_world import QUEUE, World, build_step, play_beside_odd_jobs
from tests.test_poison import NOW, build_definition

DEPTH = 100_000
NESTED = b"[" * DEPTH + b"]" * DEPTH
# Fits into the longest heartbeat.
SHORT_NESTED = NESTED[DEPTH - 30_000 : DEPTH + 30_000]
ODD_ADDRESSES = (
    "",
    "127.0.0.1",
    "127.0.0.1:",
    "127.0.0.1:0",
    "127.0.0.1:-1",
    "127.0.0.1:65536",
    "127.0.0.1:99999",
    "127.0.0.1:" + "9" * 5000,
    "127.0.0.1:abc",
    "127.0.0.1:\u0661",
    "[::1",
    "[::g]:80",
    "::1:80",
    ":80",
    "a b:80",
    "a\0b:80",
    "a\n:80",
    "\xe4:80",
    "a" * 300 + ":80",
    "127.0.0.1:80/path",
)
JOB_PATH = "/x/00112233445566aa"
ROUTE = {"name": "r", "host": "a.example", "path_prefix": "/x/", "service": "s"}
HEARTBEAT: dict[str, Any] = {
    "service": "s",
    "address": "127.0.0.1:80",
    "zone": "z",
    "state": "ready",
    "sequence": 1,
    "born": 5,
    "capacity": {"cpu": 4000, "mem_mb": 100, "gpu": 0},
    "clock_ms": 7,
    "labels": ["a", "rack"],
}


def insert_nested(document: dict[str, Any], name: str, nested: bytes = NESTED) -> bytes:
    """Encode a document with one more field, which is nested deeply."""
    return msgspec.json.encode({**document, name: msgspec.Raw(nested)})


class Replies:
    """HTTP client that returns the same response to each call."""

    def __init__(self, body: bytes, status: int = 200) -> None:
        self._response = Response(status, body)

    def call(self, *_arguments: Any, **_options: Any) -> Any:
        return Success(self._response)


def build_runner(body: bytes) -> Runner:
    """Build the client of a runner that returns the same body to each call."""
    runner = Runner("127.0.0.1:1")
    vars(runner)["_client"] = Replies(body)
    return runner


def build_store(body: bytes) -> Store:
    """Build the client of a store that returns the same body to each call."""
    store = Store("127.0.0.1:1")
    vars(store)["_client"] = Replies(body)
    return store


def build_controller() -> Any:
    """Build a controller that only applies records."""
    controller: Any = Controller.__new__(Controller)
    controller._lock = threading.Condition()
    controller._cell = None
    controller._settings = Mock(bounds=BoundSettings())
    controller._metrics = Metrics()
    controller._table = JobTable()
    controller._service = Mock(catalog=EMPTY_CATALOG)
    controller._operator_records = operator_records.OperatorRecords(
        Store("127.0.0.1:1"),
        SystemClock(),
        controller._metrics,
        controller._apply_catalog,
        controller._apply_evacuations,
    )
    return controller


class EndpointTestCase(AsyncTestCase):
    """Test case with an endpoint for heartbeats."""

    def setUp(self):
        super().setUp()
        self.heartbeats: list[Heartbeat] = []
        self.endpoint = HeartbeatEndpoint(self.heartbeats.append, lambda _: None)

    def put(self, body: bytes, runner_id: str = "r", length: str | None = None) -> str:
        """Send a heartbeat and return the status of the answer."""
        statuses: list[str] = []
        environ = {
            "PATH_INFO": f"/-/instances/{runner_id}",
            "REQUEST_METHOD": "PUT",
            "CONTENT_LENGTH": str(len(body)) if length is None else length,
            "wsgi.input": None if length else io.BytesIO(body),
        }
        self.endpoint(environ, lambda status, _: statuses.append(status))
        return statuses[0]


class CallerTestCase(AsyncTestCase):
    """Test case with an interface for callers, whose log accepts each append."""

    def post(self, body: bytes, **route: Any) -> tuple[int, Any]:
        """Submit a job to a queue with ``route`` applied to its configuration."""
        tail: Any = type("NoOutage", (), {"get_outage_duration": lambda _: timedelta()})
        clock = ManualClock()
        submissions = Submissions("c", "127.0.0.1:1", clock)
        submissions.mark_leader_alive()
        service = JobService(
            build_store(b'{"offset":0,"end":1}'),
            clock,
            JobTable(),
            tail(),
            submissions,
            Backlogs(clock, Metrics()),
            Metrics(),
        )
        manifest = {"version": 1, "routes": [{**ROUTE, **route}]}
        service.catalog = parse_manifest(msgspec.json.encode(manifest)).unwrap()
        environ = {
            "PATH_INFO": JOB_PATH,
            "REQUEST_METHOD": "POST",
            "HTTP_HOST": "a.example",
            "CONTENT_LENGTH": str(len(body)),
            "wsgi.input": io.BytesIO(body),
        }
        statuses: list[str] = []
        data = b"".join(
            Ingress(service, clock, Metrics())(
                environ, lambda status, _: statuses.append(status)
            )
        )
        return int(statuses[0][:3]), msgspec.json.decode(data)


class NestedHeartbeatTests(EndpointTestCase):
    """Heartbeats that are nested deeply."""

    def test_a_nested_heartbeat_is_refused(self):
        """Guards against an error of the heartbeat server instead of a refusal."""
        for body in (SHORT_NESTED, insert_nested(HEARTBEAT, "odd", SHORT_NESTED)):
            self.assertEqual(self.put(body), "400 Bad Request")
        self.assertEqual(self.put(NESTED), "413 Content Too Large")
        self.assertEqual(self.put(msgspec.json.encode(HEARTBEAT)), "200 OK")


class OddHeartbeatTests(EndpointTestCase):
    """Heartbeats with values out of range."""

    def check_refused(self, **values: Any) -> None:
        """Check that each value of a field is refused, and a valid neighbour is not."""
        for name, odd in values.items():
            for value in odd:
                body = msgspec.json.encode({**HEARTBEAT, name: value})
                self.assertEqual(self.put(body), "400 Bad Request", (name, value))
        self.assertEqual(self.heartbeats, [])
        self.assertEqual(self.put(msgspec.json.encode(HEARTBEAT)), "200 OK")

    def test_numbers_that_no_message_can_hold_are_refused(self):
        """Guards against an agent whose reports to the leader can't be encoded."""
        large = (2**63, 10**25, 10**40)
        capacities = [
            {**HEARTBEAT["capacity"], name: number}
            for name in ("cpu", "mem_mb", "gpu")
            for number in (*large, -1)
        ]
        self.check_refused(
            born=(*large, 0, -1),
            sequence=(*large, -1),
            clock_ms=(*large, -1),
            remaining_ms=(1e300, -1e300),
            capacity=capacities,
        )

    def test_the_largest_accepted_numbers_can_be_reported(self):
        """Guards against bounds above what a report to the leader can hold."""
        body = {
            **HEARTBEAT,
            "born": MAX_INTEGER,
            "sequence": MAX_COUNT,
            "capacity": dict.fromkeys(("cpu", "mem_mb", "gpu"), MAX_INTEGER),
            "remaining_ms": MAX_DURATION_MILLISECONDS,
        }
        self.assertEqual(self.put(msgspec.json.encode(body)), "200 OK")
        state = AgentState(Identity("h", "h:1", "i"))
        state.update_runner(self.heartbeats[0].runner, self.heartbeats[0].sequence)
        reply = RunnerSnapshot(1, MAX_INTEGER, (), ())
        state.apply_snapshot(reply, timedelta(), state.begin_poll())
        report = state.build_report(timedelta(), PaceController())
        self.assertIsNotNone(report.runner)
        self.assertTrue(HOSTING_CODEC.encode(report, "", "h"))

    def test_a_later_heartbeat_is_no_older_than_an_odd_one(self):
        """Guards against an odd sequence number after which all others are old."""
        state = AgentState(Identity("h", "h:1", "i"))
        endpoint = HeartbeatEndpoint(
            lambda h: self.accepted.append(state.update_runner(h.runner, h.sequence)),
            lambda _: None,
        )
        self.accepted: list[bool] = []
        self.endpoint = endpoint
        for sequence in (1, 10**25, 2):
            self.put(msgspec.json.encode({**HEARTBEAT, "sequence": sequence}))
        self.assertEqual(self.accepted, [True, True])

    def test_addresses_that_cannot_be_dialled_are_refused(self):
        """Guards against a description of a runner that nothing can reach."""
        self.check_refused(address=ODD_ADDRESSES)
        for address in ("[::1]:80", "runner-1.zone_a:65535"):
            body = msgspec.json.encode({**HEARTBEAT, "address": address})
            self.assertEqual(self.put(body), "200 OK")

    def test_a_long_heartbeat_is_refused(self):
        """Guards against reports that are too long for the leader to receive."""
        for odd in (
            {"zone": "z" * 10**6},
            {"labels": ["a"] * 10**5},
            {"service": "s" * MAX_HEARTBEAT_BYTES},
        ):
            body = msgspec.json.encode({**HEARTBEAT, **odd})
            self.assertEqual(self.put(body), "413 Content Too Large")
        self.assertEqual(self.heartbeats, [])

    def test_a_runner_id_that_no_header_can_hold_is_refused(self):
        """Guards against polls that all raise as they name the runner in a header."""
        body = msgspec.json.encode(HEARTBEAT)
        for odd in ("", "a\r\nb", "a b", "\xe4", "a" * 10**5):
            self.assertEqual(self.put(body, odd), "400 Bad Request", odd)
        self.assertEqual(self.put(body), "200 OK")

    def test_a_heartbeat_of_negative_length_is_refused(self):
        """Guards against an error of the server, which cannot read such a length."""
        self.assertEqual(self.put(b"", length="-5"), "400 Bad Request")


class NestedJobTests(CallerTestCase):
    """Jobs that are nested deeply."""

    def test_a_nested_job_is_refused_as_the_callers_fault(self):
        """Guards against status 500 for a body that no retry can make valid."""
        for body in (NESTED, insert_nested({"spec": "s"}, "odd")):
            status, answer = self.post(body)
            self.assertEqual((status, answer["kind"]), (400, "bad_request"))


class OddJobTests(CallerTestCase):
    """Jobs with values out of range."""

    def test_numbers_that_no_record_can_hold_are_refused(self):
        """Guards against status 500 for a job that no retry can make valid."""
        step = {"count": 1, "cpu": 1, "mem_mb": 1}
        amounts = ("count", "cpu", "mem_mb", "gpu", "anti_affinity", "miss_allowed")
        times = ("estimated_ms", "target_ms")
        odd: list[dict[str, Any]] = [
            *({name: sign * 10**25} for name in amounts for sign in (1, -1)),
            *({name: sign * 1e300} for name in times for sign in (1, -1)),
            {"depends_on": [10**25]},
        ]
        jobs: list[dict[str, Any]] = [{"steps": [{**step, **o}]} for o in odd]
        jobs += [
            {"steps": [step], "repetitions": 10**25},
            {"steps": [step], "repetitions": 2, "first_run_ms": 1e300},
            {"steps": [step], "repetitions": 2, "interval_ms": 1e300},
        ]
        for job in jobs:
            status, answer = self.post(msgspec.json.encode(job))
            self.assertEqual((status, answer["kind"]), (400, "bad_request"), job)
            self.assertTrue(answer["detail"])
            self.assertTrue(answer["where"])
        status, answer = self.post(msgspec.json.encode({"steps": [step]}))
        self.assertEqual((status, answer), (200, {"state": "queued"}))


class NestedBodyTests(AsyncTestCase):
    """Bodies of the platform that are nested deeply."""

    def test_a_nested_configuration_is_rejected(self):
        """Guards against a follower that rereads an odd configuration forever."""
        body = insert_nested({"version": 1, "routes": []}, "odd")
        problem = parse_manifest(body).failure()
        self.assertEqual(problem.kind, ErrorKind.INVALID_MESSAGE)
        self.assertEqual(problem.where, "body")
        self.assertIn("_Manifest", problem.expected)

    def test_nested_replies_of_the_platform_are_failures(self):
        """Guards against a poll or a read of the log that raises each time."""
        body = insert_nested({}, "odd")
        polled = build_runner(body).poll(None, 1, 0, timedelta())
        self.assertEqual(polled.failure().kind, ErrorKind.INVALID_MESSAGE)
        read = build_store(body).read_newest("t", 0)
        self.assertEqual(read.failure().kind, ErrorKind.INVALID_MESSAGE)
        # The records may be on the log.
        appended = build_store(body).append("t", 0, [b"x"])
        self.assertEqual(appended.failure().kind, ErrorKind.CALL_TIMEOUT)


class OddConfigurationTests(AsyncTestCase):
    """Configurations with numbers out of range."""

    def test_numbers_without_a_meaning_are_rejected(self):
        """Guards against plans or submissions that fail for each job of a queue."""
        odd: dict[str, tuple[float, ...]] = {
            "priority": (10**25, -(10**25)),
            "max_attempts": (10**25,),
            "stretch": (1e300, -1.0),
            "target_latency_ms": (1e300, -1.0),
        }
        for name, values in odd.items():
            for value in values:
                manifest = {"version": 1, "routes": [{**ROUTE, name: value}]}
                problem = parse_manifest(msgspec.json.encode(manifest)).failure()
                self.assertEqual(problem.kind, ErrorKind.INVALID_MESSAGE)
                self.assertIn(f"`$.routes[0].{name}`", problem.detail)
        for manifest in (
            {"version": 10**25, "routes": []},
            {"version": -1, "routes": []},
            {"version": 1, "routes": [], "limits": {"body_bytes": 10**25}},
            {"version": 1, "routes": [], "limits": {"body_bytes": -1}},
        ):
            self.assertIsInstance(
                parse_manifest(msgspec.json.encode(manifest)), Failure
            )

    def test_a_valid_configuration_follows_odd_ones(self):
        """Guards against a follower that rereads an odd configuration forever."""
        controller = build_controller()
        odd = {"version": 10**25, "routes": []}
        long = {"version": 1, "routes": [{**ROUTE, "target_latency_ms": 1e300}]}
        valid = {"version": 2, "routes": [ROUTE]}
        values = [*map(msgspec.json.encode, (odd, long)), NESTED]
        values += [insert_nested(long, "odd"), msgspec.json.encode(valid)]
        controller._operator_records.apply(
            tuple(
                StoredValue(offset, CONFIGURATION_KEY, value)
                for offset, value in enumerate(values)
            )
        )
        self.assertEqual(controller._service.catalog.version, 2)

    def test_a_configuration_that_fails_does_not_block_later_ones(self):
        """Guards against a follower that rereads the same page forever."""
        controller = build_controller()
        valid = parse_manifest(msgspec.json.encode({"version": 2, "routes": []}))
        results = Mock(side_effect=[RuntimeError("defect"), valid])
        with patch.object(operator_records, "parse_manifest", results):
            controller._operator_records.apply(
                tuple(StoredValue(n, CONFIGURATION_KEY, b"v") for n in range(2))
            )
        self.assertEqual(controller._service.catalog.version, 2)


class RunnerListTests(AsyncTestCase):
    """Odd rows among those of a runner's lists."""

    def poll(self, running: bytes = b"", ended: bytes = b"", clock: int = 5) -> Any:
        """Return the reply to a poll of a runner that lists these rows."""
        body = b'{"clock_ms":%d,"born":1,"running":[%s],"ended":[%s]}'
        body %= (clock, running, ended)
        return build_runner(body).poll(None, 1, 0, timedelta())

    def check_running(self, odd: bytes, expected: list[RunningTask]) -> None:
        """Check what an odd row leaves of a list, and that it can be reported."""
        valid = b'["v.0.0.0",1,"c",41,900]'
        snapshot = self.poll(b",".join((valid, odd, valid))).unwrap()
        neighbour = RunningTask("v.0.0.0", 1, "c", 41, 900.0)
        found = list(snapshot.running)
        self.assertEqual(found, [neighbour, *expected, neighbour], odd[:40])
        self.assertTrue(
            HOSTING_CODEC.encode(HostReport(running=snapshot.running), "", "")
        )

    def test_an_odd_row_leaves_its_neighbours_in_use(self):
        """Guards against a host that is lost as one row of its runner is odd."""
        for odd in (
            NESTED,
            b'{"a":' + NESTED + b"}",
            b"[" + NESTED + b",1]",
            b'["o.0.0.0",' + NESTED + b"]",
            b'["o.0.0.0",1e999]',
            b'["o.0.0.0",' + b"9" * 5000 + b"]",
            b'["o.0.0.0",%d]' % 10**25,
            b'["o.0.0.0",-1]',
            b'["' + b"o" * 10**6 + b'",1]',
            b'["\\"[[[",true]',
            b"null",
            b"7",
            b"{}",
        ):
            self.check_running(odd, [])

    def test_a_run_with_an_odd_detail_is_still_listed(self):
        """Guards against a second run of a task as a detail of its row is odd."""
        expected = [RunningTask("o.0.0.0", 2, "", 0, 0.0)]
        for odd in (
            NESTED,
            b"1e999",
            b"1e300",
            b"-1e300",
            b"9" * 5000,
            b"%d" % 10**400,
            b'"' + b"c" * 10**6 + b'"',
        ):
            row = b'["o.0.0.0",2,%s,%s,%s]' % (odd, odd, odd)
            self.check_running(row, expected)

    def test_a_nested_string_is_no_nesting(self):
        """Guards against a name with brackets that is taken for a nested value."""
        name = b"[" * 100 + b'\\"' + b"{" * 100
        row = b'["o.0.0.0",2,"%s",1,%s]' % (name, NESTED)
        checkpoint = "[" * 100 + '"' + "{" * 100
        self.check_running(row, [RunningTask("o.0.0.0", 2, checkpoint, 1, 0.0)])

    def test_an_odd_end_leaves_its_neighbours_in_use(self):
        """Guards against ends that are never reported as one row is odd."""
        valid = b'[1,"v.0.0.0",1,"done","c"]'
        for odd in (
            NESTED,
            b'[%d,"o.0.0.0",1,"done",""]' % 10**25,
            b'[2,"o.0.0.0",%d,"done",""]' % 10**25,
            b'[-2,"o.0.0.0",1,"done",""]',
            b'[2,"o.0.0.0",1,%s,""]' % NESTED,
            b'[2,"' + b"o" * 10**6 + b'",1,"done",""]',
        ):
            snapshot = self.poll(ended=odd + b"," + valid).unwrap()
            expected = (EndedTask(1, "v.0.0.0", 1, "done", "c"),)
            self.assertEqual(snapshot.ended, expected, odd[:40])
        row = b'[2,"o.0.0.0",1,"done",%s]' % NESTED
        snapshot = self.poll(ended=row).unwrap()
        self.assertEqual(snapshot.ended, (EndedTask(2, "o.0.0.0", 1, "done", ""),))

    def test_an_odd_clock_or_birth_is_refused(self):
        """Guards against a poll thread that raises on a time out of range."""
        for clock in (10**25, 10**17, -1):
            problem = self.poll(clock=clock).failure()
            self.assertEqual(problem.kind, ErrorKind.INVALID_MESSAGE)
            self.assertIn("clock_ms", problem.detail)
        for born in (10**25, 0, -1):
            body = b'{"clock_ms":5,"born":%d}' % born
            reply = build_runner(body).poll(None, 1, 0, timedelta())
            self.assertEqual(reply.failure().kind, ErrorKind.INVALID_MESSAGE)

    def test_the_largest_clock_can_be_used(self):
        """Guards against a bound of the clock above what durations can hold."""
        state = AgentState(Identity("h", "h:1", "i"))
        snapshot = self.poll(clock=MAX_DURATION_MILLISECONDS).unwrap()
        self.assertTrue(state.apply_snapshot(snapshot, timedelta(), state.begin_poll()))
        state.authority_until = timedelta(seconds=5)
        self.assertIsNotNone(state.compute_lease_deadline(timedelta()))

    def test_lists_after_one_with_an_odd_clock_are_used(self):
        """Guards against an agent that takes all later lists of its runner for old."""
        world = World(41)
        world.run(3)
        for odd in (10**9, MAX_DURATION_MILLISECONDS, 0):
            for agent in world.agents.values():
                poll = agent.send_poll()
                assert poll is not None
                snapshot = poll.snapshot._replace(clock=odd)
                agent.receive(poll._replace(snapshot=snapshot))
            job = world.submit(build_step())
            world.run(15)
            self.assertEqual(world.find_phase(job), Phase.COMPLETED)
            for agent in world.agents.values():
                self.assertFalse(agent.state.is_silent(world.now()))
        self.assertEqual(world.violations, [])

    def test_a_list_without_an_end_is_refused(self):
        """Guards against a truncated list that is taken for a complete one."""
        body = b'{"clock_ms":5,"born":1,"running":[' + b"[" * DEPTH
        reply = build_runner(body).poll(None, 1, 0, timedelta())
        self.assertEqual(reply.failure().kind, ErrorKind.INVALID_MESSAGE)


class JobRecordTests(AsyncTestCase):
    """Odd jobs that another writer has left on the log."""

    def check_refused(self, definition: JobDefinition) -> None:
        """Check that a job is refused, and that others run beside it."""
        play = play_beside_odd_jobs([definition])
        self.assertEqual(play.phases, (Phase.COMPLETED, Phase.COMPLETED))
        self.assertEqual(play.refused, 1)
        self.assertEqual(play.world.violations, [])

    def test_a_job_with_an_odd_time_blocks_no_other(self):
        """Guards against plans that all fail as one deadline cannot be computed."""
        for changes in (
            {"submitted_at": datetime.max.replace(tzinfo=UTC)},
            {"submitted_at": datetime(2026, 1, 1)},
            {"repetitions": 2, "first_run": datetime(2026, 1, 1)},
            {
                "repetitions": 100_000,
                "steps": (build_step(width=1),),
                "first_run": NOW,
                "interval": timedelta(days=365),
            },
        ):
            self.check_refused(build_definition("f" * 16, **changes))

    def test_a_job_of_an_odd_queue_blocks_no_other(self):
        """Guards against plans that all fail as a queue of the log has odd numbers."""
        for changes in (
            {"stretch": 1e300},
            {"stretch": math.nan},
            {"stretch": math.inf},
            {"stretch": -1.0},
            {"target_latency": timedelta.max},
            {"target_latency": timedelta.min},
        ):
            # Not the name of a configured queue, whose configuration would be used.
            queue = QUEUE._replace(name="removed", **changes)
            self.check_refused(build_definition("f" * 16, queue=queue))

    def test_a_job_whose_tasks_cannot_be_named_is_refused(self):
        """Guards against hosts that are avoided for starts that never succeed."""
        for job_id in ("a.b", "", "a" * 1000, "\u00e4", "a/b"):
            self.check_refused(build_definition(job_id))

    def test_the_largest_job_can_be_planned(self):
        """Guards against bounds of times whose sums are out of range."""
        step = build_step(width=1, estimate=MAX_DURATION)
        steps = [step._replace(depends_on=(n - 1,) if n else ()) for n in range(100)]
        queue = QUEUE._replace(
            name="removed", stretch=MAX_STRETCH, target_latency=MAX_TARGET_LATENCY
        )
        definition = JobDefinition(
            "f" * 16,
            queue,
            "",
            tuple(steps),
            MAX_TIME,
            1000,
            MAX_TIME,
            MAX_DURATION,
        )
        self.assertEqual(find_defect(definition), "")
        job = Job(definition, 0)
        job.add_occurrence(999)
        now = job.due_at(999)
        self.assertEqual(len(order_steps([job], lambda _: queue, Slowdowns(), now)), 1)


class NestedRecordTests(AsyncTestCase):
    """Records on the cell's log that nest deeply."""

    def test_a_nested_record_of_any_kind_is_refused(self):
        """Guards against one record that stops the followers of the log."""
        arrays = b"\x91" * DEPTH + b"\xc0"
        for kind in RecordKind:
            for value in (
                arrays,
                b"\x93\xa1a" + arrays,
                b"\x81\xa1a" * DEPTH + b"\xc0",
            ):
                problem = decode_record(kind, value).failure()
                self.assertEqual(problem.kind, ErrorKind.INVALID_RECORD, kind)


class ProgressRecordTests(AsyncTestCase):
    """Odd records of the progress of a job that other writers have left on the log."""

    def take_over(self, kind: RecordKind, *record: Any) -> World:
        """Let a new leader take over a job with an odd record, and check the cell."""
        world = World(41)
        odd = world.submit(build_step(width=30))
        world.run(1)
        key = RecordKey(kind, odd).format()
        assert world.log.append([(key, msgspec.msgpack.encode(record))], None)
        world.leader.fenced = True
        world.elect()
        job = world.submit(build_step())
        world.run(20)
        self.assertEqual(world.find_phase(job), Phase.COMPLETED)
        return world

    def build_task(self, **changes: Any) -> dict[int, Any]:
        """Build the progress of the first occurrence from the record of a task."""
        return {0: [(b"", {0: TaskRecord()._replace(**changes)})]}

    def test_odd_progress_does_not_stop_a_takeover(self):
        """Guards against a cell that no controller can lead any more."""
        for ended_at in (math.nan, math.inf, 1e300, -1e300):
            for phase in ("completed", "running"):
                world = self.take_over(RecordKind.PROGRESS, phase, ended_at, {})
                self.assertEqual(world.leader.table.refused, 1)

    def test_odd_run_numbers_do_not_stop_the_orders(self):
        """Guards against orders that cannot be encoded, to this host and all others."""
        for number in (2**64 - 1, 2**63, MAX_COUNT + 1, -1):
            for name in ("highest_run", "ended_run"):
                progress = self.build_task(**{name: number})
                world = self.take_over(RecordKind.PROGRESS, "running", 0.0, progress)
                self.assertEqual(world.leader.table.refused, 1)

    def test_the_run_after_the_largest_number_can_be_ordered(self):
        """Guards against a bound of run numbers beyond which no order is encoded."""
        progress = self.build_task(highest_run=MAX_COUNT, ended_run=MAX_COUNT)
        world = self.take_over(RecordKind.PROGRESS, "running", 0.0, progress)
        self.assertGreater(max(run for _, run, _ in world.starts), MAX_COUNT)

    def test_many_failures_or_occurrences_take_no_memory(self):
        """Guards against a record of a few bytes that takes all memory of a leader."""
        job = Job(build_definition("f" * 16), 0)
        failed = StepRecord(b"", {0: TaskRecord(failures=10**6)})
        others = {n: [StepRecord()] for n in (-1, 1, 2, MAX_COUNT)}
        job.restore(ProgressRecord(Phase.RUNNING, 0.0, {0: [failed], **others}))
        self.assertEqual(job.occurrences.keys(), {0})
        task = job.occurrences[0][0].tasks[0]
        self.assertLessEqual(task.failures, 10_000)
        odd = ("running", 0.0, self.build_task(failures=MAX_COUNT + 1))
        decoded = decode_record(RecordKind.PROGRESS, msgspec.msgpack.encode(odd))
        self.assertEqual(decoded.failure().kind, ErrorKind.INVALID_RECORD)

    def test_odd_crashes_do_not_stop_a_takeover(self):
        """Guards against crashes whose task or run nobody can name."""
        crash = Crash(1, "h0", 1, 1e9, 1.0, 2, 1.0, True)
        for name in ("9" * 5000 + ".0.0", "0.0." + "9" * 5000, "9" * 18 + ".0.0"):
            self.take_over(RecordKind.CRASHES, {name: [crash]})
        world = self.take_over(
            RecordKind.CRASHES, {"0.0.0": [crash._replace(run=2**64 - 1)]}
        )
        self.assertEqual(world.leader.table.refused, 1)


class OddMemberTests(AsyncTestCase):
    """Members of the group of controllers that are none of ours."""

    def test_a_member_that_cannot_be_dialled_leads_nothing(self):
        """Guards against a cell without a leader, as all wait for an odd member."""
        valid = SlotOwner(5, "127.0.0.1:80#40#ab12cd34")
        for address in ODD_ADDRESSES:
            odd = SlotOwner(0, f"{address}#100#ab12cd34")
            for owners in ([odd, valid], [valid, odd]):
                leader = choose_leader(owners, address)
                assert leader is not None
                self.assertEqual(leader.member, valid.member, address)
            self.assertIsNone(choose_leader([odd], address))

    def test_a_fitness_that_is_no_percentage_is_no_advantage(self):
        """Guards against an odd member that is preferred over each real one."""
        valid = SlotOwner(5, "127.0.0.1:80#40#ab12cd34")
        for fitness in ("101", "9" * 30, "9" * 5000, "-1", "nan", "1e3", ""):
            odd = SlotOwner(0, f"127.0.0.2:80#{fitness}#ab12cd34")
            leader = choose_leader([odd, valid], "")
            assert leader is not None
            self.assertEqual(leader.member, valid.member, fitness[:40])


class OddAddressTests(AsyncTestCase):
    """Addresses on the log and in messages that cannot be dialled."""

    def test_an_odd_record_of_a_leader_is_refused(self):
        """Guards against agents and controllers that follow no other leader again."""
        for record in (
            *(LeaderRecord(2, address) for address in ODD_ADDRESSES),
            LeaderRecord(2**64 - 1, "127.0.0.1:80"),
            LeaderRecord(-1, "127.0.0.1:80"),
        ):
            table = JobTable()
            for offset, value in enumerate(
                (LeaderRecord(1, "127.0.0.1:1"), record, LeaderRecord(3, "[::1]:2"))
            ):
                table.apply(StoredValue(offset, "l/0", encode_record(value)))
                expected = "[::1]:2" if offset == 2 else "127.0.0.1:1"
                self.assertEqual(table.leader.address, expected)
            self.assertEqual(table.refused, 1)

    def test_an_odd_record_of_a_host_is_refused(self):
        """Guards against announcements to, and a takeover that waits for, no host."""
        table = JobTable()
        table.apply(StoredValue(0, "h/a", encode_record(HostRecord("127.0.0.1:1"))))
        for offset, address in enumerate(ODD_ADDRESSES):
            record = encode_record(HostRecord(address))
            table.apply(StoredValue(offset + 1, f"h/{offset}", record))
        self.assertEqual(list(table.hosts), ["a"])
        self.assertEqual(table.refused, len(ODD_ADDRESSES))

    def test_an_odd_leader_on_the_log_does_not_stop_its_follower(self):
        """Guards against a page that is read twice as its leader cannot be dialled."""
        controller = build_controller()
        controller._submissions = Submissions("c", "127.0.0.1:1", ManualClock())
        for offset, address in enumerate(ODD_ADDRESSES):
            record = encode_record(LeaderRecord(2, address))
            controller._apply_records((StoredValue(offset, "l/0", record),))
        self.assertEqual(controller._table.refused, len(ODD_ADDRESSES))

    def test_a_message_that_names_an_odd_leader_is_refused(self):
        """Guards against an agent that dials an odd address again and again."""
        messages = [LeaderMoved(2, address) for address in ODD_ADDRESSES]
        messages.append(LeaderMoved(1, "127.0.0.1:80"))
        waiting = [HOSTING_CODEC.encode(message, "", "c") for message in messages]
        closing = threading.Event()
        received: list[Any] = []

        class Socket:
            def recv(self) -> bytes:
                return waiting.pop(0)

        def handle(message: Any) -> None:
            received.append(message)
            if not waiting:
                closing.set()

        receive_messages(Socket(), handle, closing)
        self.assertEqual(received, [LeaderMoved(1, "127.0.0.1:80")])

    def test_a_failed_dial_keeps_no_socket(self):
        """Guards against a process that runs out of files by dialling again."""
        link = LeaderLink("c", lambda _: None)
        with patch("pynng.Pair1") as socket:
            socket.return_value.dial.side_effect = pynng.AddressInvalid("", 15)
            self.assertRaises(pynng.AddressInvalid, link.connect, "a")
        socket.return_value.close.assert_called_once_with()


# A message of MessagePack that a decoder has to skip, as no kind has the field "odd".
NESTED_MESSAGE = b"\x81\xa3odd" + b"\x91" * DEPTH + b"\x90"


def encode_envelope(body: bytes, kind: str = "HostReport") -> bytes:
    """Encode a message of a kind with a body that no message has."""
    return msgspec.msgpack.encode(Envelope(kind=kind, body=msgspec.Raw(body)))


class NestedMessageTests(AsyncTestCase):
    """Messages between processes that are nested deeply."""

    def test_a_nested_message_is_refused(self):
        """Guards against a message that ends the task or thread that receives it."""
        for data in (NESTED_MESSAGE, encode_envelope(NESTED_MESSAGE)):
            problem = HOSTING_CODEC.decode(data).failure()
            self.assertEqual(problem.kind, ErrorKind.INVALID_MESSAGE)
            self.assertTrue(problem.where and problem.expected)

    async def _call_after(self, messages: list[bytes]) -> Any:
        """Return the reply to a call after messages to a server with two tasks."""
        address = find_address()
        server = Server("s", address, 2, _answer_oddly)
        peers = Peers("p", SystemClock())
        try:
            for message in messages:
                with pynng.Req0(recv_timeout=1000, resend_time=60_000) as socket:
                    socket.dial(f"tcp://{address}")
                    await socket.asend(message)
                    reply = decode(await socket.arecv()).unwrap().message
                    self.assertIsInstance(reply, Refused)
            return await peers.call(address, DescribeProcess(), timedelta(seconds=5))
        finally:
            await peers.close()
            await server.close()

    def test_a_server_answers_after_nested_messages(self):
        """Guards against a server each of whose tasks has ended by an odd message."""
        reply = self.run_async(self._call_after([NESTED_MESSAGE] * 3))
        self.assertEqual(reply, Success(ProcessStatus()))

    def test_a_server_answers_after_replies_that_cannot_be_encoded(self):
        """Guards against a server each of whose tasks has ended by an odd reply."""
        messages = [encode(Announce(), f"call-{n}", "p") for n in range(3)]
        reply = self.run_async(self._call_after(messages))
        self.assertEqual(reply, Success(ProcessStatus()))


async def _answer_oddly(message: Any, _sent_by: str) -> Any:
    """Answer an announcement with a number that no message can hold."""
    if isinstance(message, Announce):
        return AnnounceReply(version=10**25)
    return ProcessStatus()


class OddReportTests(AsyncTestCase):
    """Reports of agents of other releases, which do not check what runners list."""

    def test_a_report_with_numbers_out_of_range_is_refused(self):
        """Guards against a leader that cannot write the progress of any job."""
        odd = 2**64 - 1
        running = RunningTask("a.0.0.0", odd, "", 0, 0.0)
        ended = EndedTask(1, "a.0.0.0", odd, "done", "")
        runner = RunnerInfo("r", 1, "s", "z", "r", (), odd, 1, 0, False, 0.0)
        for report in (
            HostReport(host="h", running=(running,)),
            HostReport(host="h", starting=(("a.0.0.0", odd),)),
            HostReport(host="h", ended=(ended,)),
            HostReport(host="h", ended=(ended._replace(number=odd, run=1),)),
            HostReport(host="h", refused=(RefusedStart("a.0.0.0", odd, "", 1),)),
            HostReport(host="h", runner=runner),
            HostReport(host="h", runner=runner._replace(cpu=1, born=odd)),
            HostReport(host="h", sequence=odd),
            HostReport(host="h", session=odd),
            LeaderMoved(odd, "127.0.0.1:1"),
        ):
            decoded = HOSTING_CODEC.decode(HOSTING_CODEC.encode(report, "", "a"))
            self.assertEqual(decoded.failure().kind, ErrorKind.INVALID_MESSAGE, report)
            self.assertIn("Expected `int` <=", decoded.failure().detail)


class LinkTests(AsyncTestCase):
    """Messages of hosts whose processing raises, at a controller."""

    def test_a_failing_message_does_not_stop_the_receiver(self):
        """Guards against reports that wait for the restart of a controller's loop."""
        reported: list[str] = []
        done = threading.Event()

        def handle(report: HostReport) -> None:
            if report.host == "odd":
                raise RuntimeError("defect")
            reported.append(report.host)
            done.set()

        address = find_address()
        link = PeerLink(address, "c", handle, lambda *_: None, lambda: True)
        thread = threading.Thread(target=link.run, daemon=True)
        thread.start()
        with pynng.Pair1(polyamorous=True, send_timeout=5000) as socket:
            socket.dial(f"tcp://{address}")
            for data in (
                encode_envelope(NESTED_MESSAGE),
                HOSTING_CODEC.encode(HostReport(host="odd"), "", "a"),
                HOSTING_CODEC.encode(HostReport(host="h"), "", "a"),
            ):
                socket.send(data)
            self.assertTrue(done.wait(10))
        self.assertEqual(reported, ["h"])
        link.close()
        thread.join(10)
        self.assertFalse(thread.is_alive())

    def test_a_report_of_a_host_that_no_key_can_name_is_refused(self):
        """Guards against a leader that loses its changes as it writes such a host."""
        reports: list[Any] = []
        link: Any = PeerLink.__new__(PeerLink)
        link._pipes = {}
        link._on_report = reports.append
        for name in ("", "h" * 254, "\u00e4" * 127, "h" * 10**6, "h" * 253):
            data = HOSTING_CODEC.encode(HostReport(host=name), "", "a")
            link._dispatch(Mock(bytes=data))
        self.assertEqual([report.host for report in reports], ["h" * 253])
        key = RecordKey(RecordKind.HOST, "h" * 253).format()
        self.assertTrue(encode_keyed(key, b""))

    def test_orders_that_cannot_be_encoded_hold_up_no_other_host(self):
        """Guards against one odd number that keeps orders from all later hosts."""
        link: Any = PeerLink.__new__(PeerLink)
        link._name = "c"
        link._pipes = {"odd": Mock(), "h": Mock()}
        for host, epoch in (("odd", 10**25), ("h", 1)):
            link.send(host, HostOrders(epoch=epoch))
        link._pipes["h"].send.assert_called_once()


class OddPageTests(AsyncTestCase):
    """Odd rows and numbers in replies of the platform's log."""

    def read(self, items: bytes, rest: bytes = b"") -> Any:
        """Read the newest records from a page with these items."""
        body = b'{"items":[%s],"end":9%s}' % (items, rest)
        return build_store(body).read_newest("t", 0)

    def test_an_odd_item_leaves_its_neighbours_in_use(self):
        """Guards against a controller that cannot start as one item is odd."""
        valid = b'{"key":"j/v","value":"dg==","offset":4}'
        for odd in (
            NESTED,
            b'{"key":"j/o","value":"dg==","offset":%d}' % 10**25,
            b'{"key":"j/o","value":"dg==","offset":-1}',
            b'{"key":"j/o","value":"dg==","offset":1e999}',
            b'{"key":"j/o","value":%s,"offset":4}' % NESTED,
            b'{"key":7,"value":"dg==","offset":4}',
            b"null",
        ):
            page = self.read(valid + b"," + odd + b"," + valid).unwrap()
            expected = (StoredValue(4, "j/v", b"v"),) * 2
            self.assertEqual(page.records, expected, odd[:40])

    def test_a_value_that_is_no_base64_is_no_deletion(self):
        """Guards against a job that is forgotten, or a read that raises."""
        for value in ("\u00e4", "a", "====", "a b"):
            item = msgspec.json.encode({"key": "j/v", "value": value, "offset": 4})
            page = self.read(item).unwrap()
            self.assertEqual(page.records, (StoredValue(4, "j/v", b"\x00"),))

    def test_a_read_goes_on_after_an_odd_last_item(self):
        """Guards against a cold start that ends at, or repeats, the same page."""
        first = b'{"items":[{"key":"j/a","value":"dg==","offset":1},%s],"end":9'
        first += b',"has_more":true}'
        last = b'{"items":[{"key":"j/c","value":"dg==","offset":2}],"end":9}'
        for odd, key in ((b'{"key":"j/b","offset":-1}', "b"), (b"null", "a")):
            store: Any = build_store(b"")
            replies = [Response(200, first % odd), Response(200, last)]
            store._client = Mock()
            store._client.call.side_effect = [Success(reply) for reply in replies]
            page = store.read_newest("t", 0).unwrap()
            self.assertEqual([r.key for r in page.records], ["j/a", "j/c"])
            url = store._client.call.call_args.args[1]
            self.assertIn(f"depends_on=j%2F{key}", url)
        for items in (b"null", b'{"key":"j/a","value":"dg==","offset":1}'):
            problem = self.read(items, b',"has_more":true').failure()
            self.assertEqual(problem.kind, ErrorKind.INVALID_MESSAGE)

    def test_odd_ends_and_offsets_are_failures(self):
        """Guards against a follower that waits at an offset that never comes."""
        for end in (b"%d" % 10**25, b"-1", b"1e999", NESTED):
            read = build_store(b'{"items":[],"end":%s}' % end).read_newest("t", 0)
            self.assertEqual(read.failure().kind, ErrorKind.INVALID_MESSAGE)
            reply = b'{"offset":%s,"end":%s}' % (end, end)
            appended = build_store(reply).append("t", 0, [b"x"])
            self.assertEqual(appended.failure().kind, ErrorKind.CALL_TIMEOUT)

    def test_an_odd_owner_leaves_its_neighbours_in_use(self):
        """Guards against an election that fails as another writer's row is odd."""
        valid = b'["cells",2,"127.0.0.1:1#1#x",0]'
        for odd in (
            NESTED,
            b'["cells",%s,"m",0]' % NESTED,
            b'["cells",%d,"m",0]' % 10**25,
            b'["cells",64,"m",0]',
            b'["cells",-1,"m",0]',
            b'["cells",1,%s,0]' % NESTED,
            b'["cells",1,"%s",0]' % (b"m" * 10**6),
            b'["cells",1]',
            b"null",
        ):
            store = build_store(b'{"parts":[%s,%s]}' % (odd, valid))
            owners = store.list_owners("g", SLOT_TOPICS).unwrap()
            self.assertEqual(owners, (SlotOwner(2, "127.0.0.1:1#1#x"),), odd[:40])

    def test_an_odd_slot_or_generation_gives_no_epoch(self):
        """Guards against an epoch that no record of a leader can hold."""
        body = b'{"generation":%d,"parts":[["cells",%d,0],["cells",3,0]]}'
        for partition in (10**25, 64, -1):
            store = build_store(body % (7, partition))
            joined = store.join("g", "m", SLOT_TOPICS, timedelta(seconds=1), 0)
            self.assertEqual(joined, Success(Assignment(7, (3,))))
        for generation in (10**25, 2**60, -1):
            store = build_store(body % (generation, 1))
            joined = store.join("g", "m", SLOT_TOPICS, timedelta(seconds=1), 0)
            self.assertEqual(joined.failure().kind, ErrorKind.INVALID_MESSAGE)
        self.assertLess((MAX_GENERATION + 1) * EPOCHS_PER_GENERATION, MAX_COUNT + 1)
        self.assertEqual(EPOCHS_PER_GENERATION, MAX_SLOTS)


class StreamTests(AsyncTestCase):
    """Odd bodies, records and snapshots of the older path of entries and sidecars."""

    def test_a_nested_submission_is_refused_as_the_callers_fault(self):
        """Guards against status 500 for a body that no retry can make valid."""
        body = insert_nested({"customer": "c", "kind": "k", "tasks": []}, "odd")
        problem = parse_submission(body, "key").failure()
        self.assertEqual(problem.kind, ErrorKind.BAD_REQUEST)

    def test_nested_replies_are_failures(self):
        """Guards against a reader, or a call to a worker, that raises each time."""
        body = insert_nested({}, "odd")
        reply: Any = client._decode(body, client._PageBody)
        self.assertEqual(reply.failure().kind, ErrorKind.LOG_UNAVAILABLE)
        reply = worker._decode("start", body, worker.Lease)
        self.assertEqual(reply.failure().kind, ErrorKind.CALL_TIMEOUT)

    def test_a_nested_record_leaves_the_others_of_its_page_in_use(self):
        """Guards against readers that all stop at the same page."""
        valid = encode_entry(build_entry(OwnerClaim(1, 2)))
        records = [
            {"offset": offset, "record": msgspec.Raw(record)}
            for offset, record in enumerate((valid, NESTED, valid))
        ]
        page = {"first_available": 0, "end": 3, "records": records}
        decoded = client._decode(msgspec.json.encode(page), client._PageBody).unwrap()
        found = [decode_entry(bytes(r.record)) for r in decoded.records]
        self.assertEqual([isinstance(f, Success) for f in found], [True, False, True])

    def test_nested_snapshots_are_refused(self):
        """Guards against a process that cannot start as a snapshot is odd."""
        digest = xxhash.xxh64_hexdigest(NESTED_MESSAGE)
        verdicts: list[Any] = [
            read_state(StreamState(0, digest, NESTED_MESSAGE)),
            OwnersState().load_state(b"\x91" + NESTED_MESSAGE),
            WorkState(ClusterSettings()).load_state(b"\x91" + NESTED_MESSAGE),
            ListsState().load_state(insert_nested({}, "odd")),
        ]
        for verdict in verdicts:
            self.assertEqual(verdict.failure().kind, ErrorKind.INVALID_RECORD)

    def test_records_with_numbers_that_no_snapshot_can_hold_are_void(self):
        """Guards against a stream whose state cannot be stored any more."""
        for number in (10**25, -(10**25), 2**63):
            body = {"partition": 1, "epoch": number}
            entry = {"record_id": "r", "kind": "OwnerClaim", "body": body}
            decoded = decode_entry(msgspec.json.encode(entry))
            self.assertEqual(decoded.failure().kind, ErrorKind.INVALID_RECORD)


class LoopTests(EndpointTestCase):
    """Threads and loops in which something unexpected is raised."""

    def test_a_loop_goes_on_after_unexpected_errors(self):
        """Guards against a poll, report, tail or decision thread that ends for good."""
        errors = [RecursionError(), OverflowError(), UnicodeError(), MemoryError()]
        returned = threading.Event()

        def loop() -> None:
            if errors:
                raise errors.pop(0)
            returned.set()

        with patch.object(loops, "RESTART_DELAY", timedelta()):
            start_loop("odd", loop)
            self.assertTrue(returned.wait(10))

    def test_a_heartbeat_that_fails_does_not_end_its_server(self):
        """Guards against a server each of whose threads an odd heartbeat has ended."""
        address = find_address()
        host, _, port = address.rpartition(":")

        def fail(heartbeat: Heartbeat) -> None:
            if heartbeat.sequence < 5:
                raise RecursionError("defect")

        endpoint = HeartbeatEndpoint(fail, lambda _: None)
        server = CherootServer((host, int(port)), endpoint, numthreads=2, max=2)
        server.prepare()
        thread = threading.Thread(target=server.serve, daemon=True)
        thread.start()
        statuses = []
        try:
            for sequence in range(6):
                connection = http.client.HTTPConnection(host, int(port), timeout=10)
                body = msgspec.json.encode({**HEARTBEAT, "sequence": sequence})
                connection.request("PUT", "/-/instances/r", body)
                statuses.append(connection.getresponse().status)
                connection.close()
        finally:
            server.stop()
            thread.join(10)
        self.assertEqual(statuses, [500] * 5 + [200])

    def test_a_failed_takeover_leaves_the_group(self):
        """Guards against two takeovers of one controller in the same epoch.

        The thread began the failed one again, beside that of the next join.
        """
        controller = build_controller()
        controller._election = Mock()
        controller._jobs_tail = Mock()
        controller._pending_epoch = 7
        controller._start_leading = Mock(side_effect=RuntimeError("defect"))
        controller._take_over(7)
        controller._election.leave.assert_called_once_with()
        self.assertEqual(controller._pending_epoch, 0)

    def test_a_job_that_cannot_be_opened_stops_no_takeover(self):
        """Guards against a cell that no controller can lead any more."""
        world = World(41)
        odd = world.submit(build_step(width=30))
        world.run(1)
        restore = Job.restore

        def fail(job: Job, progress: ProgressRecord) -> None:
            if job.job_id == odd:
                raise RuntimeError("defect")
            restore(job, progress)

        with patch.object(Job, "restore", fail):
            world.leader.fenced = True
            world.elect()
            job = world.submit(build_step())
            world.run(12)
        self.assertEqual(world.find_phase(job), Phase.COMPLETED)


class BatchTests(AsyncTestCase):
    """Records of callers that are too long to be appended together."""

    def test_a_batch_exceeds_its_limit_only_by_one_record(self):
        """Guards against an append that the platform refuses each time.

        The leader repeats it without an end, and can confirm its leadership no more.
        """
        committer: Any = Committer.__new__(Committer)
        committer._wake_event = threading.Event()
        sizes = [MAX_BATCH_BYTES - 1, MAX_BATCH_BYTES, 1, 2 * MAX_BATCH_BYTES, 1]
        committer._submissions = deque(
            Submission(b"x" * size, lambda _: None) for size in sizes
        )
        batches = []
        while committer._submissions:
            batches.append([len(s.record) for s in committer._take_batch()])
        expected = [[size] for size in sizes]
        self.assertEqual(batches, expected)
        self.assertTrue(committer._wake_event.is_set())

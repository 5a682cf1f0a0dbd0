"""Tests of odd entries from other writers: nested deeply, too large or out of range."""

import io
from datetime import timedelta
from typing import Any

import msgspec
from returns.result import Success

from egretcrank.controller.service import JobService
from egretcrank.controller.submissions import Submissions
from egretcrank.errors.kinds import ErrorKind
from egretcrank.observability.metrics import Metrics
from egretcrank.platform.calls import Response
from egretcrank.platform.heartbeats import Heartbeat, HeartbeatEndpoint
from egretcrank.platform.ingress import Ingress
from egretcrank.platform.manifest import parse_manifest
from egretcrank.platform.runner import Runner
from egretcrank.platform.store import Store
from egretcrank.scheduling.table import JobTable
from tests.cases import AsyncTestCase, ManualClock

DEPTH = 100_000
NESTED = b"[" * DEPTH + b"]" * DEPTH
JOB_PATH = "/x/00112233445566aa"
ROUTE = {"name": "r", "host": "a.example", "path_prefix": "/x/", "service": "s"}
HEARTBEAT = {
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


def insert_nested(document: dict[str, Any], name: str) -> bytes:
    """Encode a document with one more field, which is nested deeply."""
    return msgspec.json.encode({**document, name: msgspec.Raw(NESTED)})


class Replies:
    """HTTP client that returns the same response to each call."""

    def __init__(self, body: bytes, status: int = 200) -> None:
        self._response = Response(status, body)

    def call(self, *_arguments: Any, **_options: Any) -> Any:
        return Success(self._response)


def build_runner(body: bytes) -> Runner:
    """Build the client of a runner that returns the same body to each call."""
    runner: Any = Runner("127.0.0.1:1")
    runner._client = Replies(body)
    return runner


def build_store(body: bytes) -> Store:
    """Build the client of a store that returns the same body to each call."""
    store: Any = Store("127.0.0.1:1")
    store._client = Replies(body)
    return store


class EndpointTestCase(AsyncTestCase):
    """Test case with an endpoint for heartbeats."""

    def setUp(self):
        super().setUp()
        self.heartbeats: list[Heartbeat] = []
        self.endpoint = HeartbeatEndpoint(self.heartbeats.append, lambda _: None)

    def put(self, body: bytes, runner_id: str = "r") -> str:
        """Send a heartbeat and return the status of the answer."""
        statuses: list[str] = []
        environ = {
            "PATH_INFO": f"/-/instances/{runner_id}",
            "REQUEST_METHOD": "PUT",
            "CONTENT_LENGTH": str(len(body)),
            "wsgi.input": io.BytesIO(body),
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
        for body in (NESTED, insert_nested(HEARTBEAT, "odd")):
            self.assertEqual(self.put(body), "400 Bad Request")
        self.assertEqual(self.put(msgspec.json.encode(HEARTBEAT)), "200 OK")


class NestedJobTests(CallerTestCase):
    """Jobs that are nested deeply."""

    def test_a_nested_job_is_refused_as_the_callers_fault(self):
        """Guards against status 500 for a body that no retry can make valid."""
        for body in (NESTED, insert_nested({"spec": "s"}, "odd")):
            status, answer = self.post(body)
            self.assertEqual((status, answer["kind"]), (400, "bad_request"))


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

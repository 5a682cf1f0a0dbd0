"""Tests of the platform adapter, including invalid and unexpected responses."""

import base64
import struct
from datetime import timedelta
from typing import Any
from unittest.mock import Mock

import msgspec
from returns.result import Failure, Success

from egretcrank.controller.service import JobService
from egretcrank.controller.submissions import Submissions
from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.observability.metrics import Metrics
from egretcrank.platform.calls import Response
from egretcrank.platform.heartbeats import HeartbeatEndpoint
from egretcrank.platform.ingress import DEADLINE_HEADER, Ingress
from egretcrank.platform.manifest import parse_manifest
from egretcrank.platform.runner import Runner
from egretcrank.platform.store import (
    Appended,
    LogPage,
    Store,
    Writer,
    encode_keyed,
)
from egretcrank.scheduling.backlog import Backlogs
from egretcrank.scheduling.records import Phase, ProgressRecord, encode_record
from egretcrank.scheduling.table import JobTable, StoredValue
from egretcrank.wire.hosting import RunningTask, StartOrder, TaskProfile
from tests.cases import AsyncTestCase, ManualClock

MANIFEST = {
    "version": 7,
    "routes": [
        {"name": "r", "host": "a.example", "path_prefix": "/x/", "service": "s"},
        {"name": "r2", "host": "a.example", "path_prefix": "/x/y/", "service": "s"},
    ],
    "services": [{"name": "s"}],
    "limits": {"body_bytes": 1000},
}
JOB = {"spec": "text", "steps": [{"count": 2, "cpu": 500, "mem_mb": 64}]}
JOB_ID = "00112233445566aa"


class ScriptedClient:
    """HTTP client that returns scripted responses and records the requests."""

    def __init__(self, *responses):
        self.responses = list(responses)
        self.calls = []

    def call(self, method, url, body, timeout, headers=None):
        self.calls.append((method, url, body))
        response = self.responses.pop(0)
        return (
            response if isinstance(response, Failure) else Success(Response(*response))
        )


def build_store(*responses):
    store: Any = Store("127.0.0.1:1")
    store._client = ScriptedClient(*responses)
    return store


class StoreTests(AsyncTestCase):
    """Responses of the log."""

    def test_append_returns_offsets(self):
        """Guards against a leader that reads its fencing record at a wrong offset."""
        store = build_store((200, b'{"offset":840,"end":842}'))
        result = store.append("t", 3, [b"ab", b"c"], Writer("w", 7, 12))
        self.assertEqual(result, Success(Appended(840, 842)))
        _, url, body = store._client.calls[0]
        self.assertIn("producer=w&epoch=7&sequence=12", url)
        self.assertEqual(body, b"\x00\x00\x00\x02ab\x00\x00\x00\x01c")

    def test_an_empty_append_takes_no_sequence_number(self):
        """Guards against a sequence error after each empty append of a new leader."""
        store = build_store((200, b'{"offset":5,"end":5}'))
        store.append("t", 0, [], Writer("w", 7, 12))
        self.assertNotIn("sequence", store._client.calls[0][1])

    def test_status_codes_map_to_error_kinds(self):
        """Guards against a write of unknown outcome that is reported as rejected."""
        timed_out = Failure(Problem(ErrorKind.CALL_TIMEOUT, "no answer"))
        cases = [
            ((503, b""), ErrorKind.LOG_UNAVAILABLE),
            ((429, b""), ErrorKind.LOG_UNAVAILABLE),
            ((409, b'{"reason":"fenced"}'), ErrorKind.STALE_EPOCH),
            ((409, b'{"reason":"seq","sequence":4}'), ErrorKind.WRONG_SEQUENCE),
            (timed_out, ErrorKind.CALL_TIMEOUT),
            ((200, b"not json"), ErrorKind.CALL_TIMEOUT),
            ((500, b""), ErrorKind.CALL_TIMEOUT),
            ((502, b""), ErrorKind.CALL_TIMEOUT),
            ((504, b""), ErrorKind.CALL_TIMEOUT),
            ((400, b""), ErrorKind.INVALID_MESSAGE),
        ]
        for response, kind in cases:
            result = build_store(response).append("t", 0, [b"x"])
            self.assertEqual(result.failure().kind, kind)

    def test_truncated_page_yields_its_complete_records(self):
        """Guards against a truncated record that stops the reader."""
        record = encode_keyed("k", b"value")
        body = struct.pack(">QQ", 9, 7)
        body += struct.pack(">I", len(record)) + record + struct.pack(">I", 99) + b"z"
        result = build_store((200, body)).read("t", 0, 7, timedelta())
        self.assertEqual(result, Success(LogPage(9, (StoredValue(7, "k", b"value"),))))

    def test_expired_records_are_reported_as_not_found(self):
        """Guards against a reader that waits for expired records."""
        result = build_store((410, b'{"first":8}')).read("t", 0, 1, timedelta())
        self.assertEqual(result.failure().kind, ErrorKind.NOT_FOUND)

    def test_compacted_read_fetches_all_pages(self):
        """Guards against a cold start that misses jobs after the first page."""
        value = base64.b64encode(b"v").decode()
        first = {
            "items": [{"key": "j/a", "value": value, "offset": 4}],
            "end": 9,
            "has_more": True,
        }
        second = {"items": [{"key": "j/b", "value": value, "offset": 6}], "end": 11}
        store = build_store(
            (200, msgspec.json.encode(first)), (200, msgspec.json.encode(second))
        )
        page = store.read_newest("t", 0).unwrap()
        self.assertEqual([r.key for r in page.records], ["j/a", "j/b"])
        self.assertEqual(page.end, 9)
        self.assertIn("depends_on=j%2Fa", store._client.calls[1][1])


class ManifestTests(AsyncTestCase):
    """Parsing of the operator's configuration."""

    def test_the_longest_prefix_selects_the_queue(self):
        """Guards against a job that is assigned to the wrong queue."""
        catalog = parse_manifest(msgspec.json.encode(MANIFEST)).unwrap()
        queue = catalog.find_queue("a.example", "/x/y/1")
        assert queue is not None
        self.assertEqual(queue.name, "r2")
        self.assertIsNone(catalog.find_queue("b.example", "/x/1"))

    def test_invalid_configuration_is_rejected_as_a_whole(self):
        """Guards against a partially applied configuration."""
        for bad in (b"", b"\xff", b"[]", b'{"version":"x","routes":[]}'):
            self.assertIsInstance(parse_manifest(bad), Failure)


class RunnerTests(AsyncTestCase):
    """Responses of a runner."""

    def _request(self, response):
        runner: Any = Runner("127.0.0.1:1")
        runner._client = ScriptedClient(response)
        return runner

    def test_the_fourth_field_of_a_run_is_progress(self):
        """Guards against a progress value read from the wrong field."""
        body = b'{"clock_ms":5,"born":1,"running":[["a.0.0.0",1,"",41,900]],"ended":[]}'
        snapshot = self._request((200, body)).poll(None, 1, 0, timedelta()).unwrap()
        self.assertEqual(snapshot.running[0].progress, 41)
        self.assertEqual(snapshot.running[0].measurement, 900.0)

    def test_rows_of_other_shapes_are_skipped(self):
        """Guards against an invalid row that discards the valid ones."""
        body = b'{"clock_ms":5,"born":1,"running":[["a"],["b.0.0.0",1,"",1]],'
        body += b'"ended":[[1,2]]}'
        snapshot = self._request((200, body)).poll(None, 1, 0, timedelta()).unwrap()
        self.assertEqual([r.task for r in snapshot.running], ["b.0.0.0"])
        self.assertEqual(snapshot.ended, ())

    def test_a_run_with_invalid_details_is_still_listed(self):
        """Guards against a second run of a task whose row could not be read."""
        rows = b'["a.0.0.0",1],["b.0.0.0",2,null,1.5,"fast"],["c.0.0.0",3,"s"]'
        body = b'{"clock_ms":5,"born":1,"running":[' + rows + b'],"ended":[]}'
        snapshot = self._request((200, body)).poll(None, 1, 0, timedelta()).unwrap()
        expected = [
            RunningTask("a.0.0.0", 1, "", 0, 0.0),
            RunningTask("b.0.0.0", 2, "", 1, 0.0),
            RunningTask("c.0.0.0", 3, "s", 0, 0.0),
        ]
        self.assertEqual(list(snapshot.running), expected)

    def test_a_full_list_of_ends_may_lack_some(self):
        """Guards against taking tasks that ended for tasks that are gone."""
        for count, has_more in ((499, False), (500, True)):
            ended = [[n + 1, "a.0.0.0", n + 1, "done", ""] for n in range(count)]
            document = {"clock_ms": 5, "born": 1, "running": [], "ended": ended}
            reply = self._request((200, msgspec.json.encode(document)))
            snapshot = reply.poll(None, 1, 0, timedelta()).unwrap()
            self.assertEqual(snapshot.has_more_ends, has_more)

    def test_a_list_of_an_unknown_runner_process_is_refused(self):
        """Guards against runs that count as lost because a reply lacks a field."""
        body = b'{"clock_ms":5,"running":[],"ended":[]}'
        reply = self._request((200, body)).poll(None, 1, 0, timedelta())
        self.assertEqual(reply.failure().kind, ErrorKind.INVALID_MESSAGE)

    def test_only_an_answer_proves_that_a_start_had_no_effect(self):
        """Guards against a second start after one whose outcome is unknown."""
        order = StartOrder("a.0.0.0", 1, "", "", "", TaskProfile(1, False, "", 0.0))
        cases = [
            ((200, b'{"clock_ms":9}'), ""),
            ((409, b'{"clock_ms":9,"reason":"late"}'), "late"),
            ((503, b""), "unhealthy"),
        ]
        for response, refusal in cases:
            started = self._request(response).start(order, 10, 1, 1).unwrap()
            self.assertEqual(started.refusal, refusal)
        self.assertIsInstance(self._request((500, b"")).start(order, 10, 1, 1), Failure)


class HeartbeatTests(AsyncTestCase):
    """Heartbeats of a runner."""

    def test_invalid_heartbeat_is_rejected(self):
        """Guards against a runner that is registered with incomplete data."""
        received: list[Any] = []
        endpoint = HeartbeatEndpoint(received.append, received.append)
        good = {
            "service": "s",
            "address": "1.2.3.4:5",
            "zone": "z",
            "state": "ready",
            "sequence": 1,
            "born": 2,
            "labels": ["a", "r1"],
            "capacity": {"cpu": 8, "mem_mb": 9},
        }
        bodies = [b"", b"\xff\x00", b'{"service":1}', {**good, "state": "odd"}, good]
        statuses = []
        for body in bodies:
            data = body if isinstance(body, bytes) else msgspec.json.encode(body)
            answer = self._put(endpoint, data)
            statuses.append(answer[:3])
        self.assertEqual(statuses, ["400", "400", "400", "400", "200"])
        self.assertEqual(len(received), 1)
        self.assertEqual(received[0].runner.rack, "r1")

    def _put(self, endpoint, data):
        statuses = []
        environ = {
            "PATH_INFO": "/-/instances/i-1",
            "REQUEST_METHOD": "PUT",
            "CONTENT_LENGTH": str(len(data)),
            "wsgi.input": _InputStream(data),
        }
        endpoint(environ, lambda status, headers: statuses.append(status))
        return statuses[0]


class _InputStream:
    def __init__(self, data):
        self._data = data

    def read(self, size):
        return self._data[:size]


class FakeTail:
    """Log tail with an age and an outage that the test sets."""

    def __init__(self):
        self.age = timedelta()
        self.unavailable = False
        self.refreshes = 0
        self.on_refresh = None

    def is_log_unavailable(self):
        return self.unavailable

    def refresh(self, timeout):
        self.refreshes += 1
        if self.on_refresh is not None:
            self.on_refresh()

    def get_outage_duration(self):
        return timedelta(seconds=2 if self.unavailable else 0)

    def get_view_age(self):
        return self.age


class IngressTests(AsyncTestCase):
    """Requests of callers."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.table = JobTable()
        self.tail = FakeTail()

    def _build(self, *responses, manifest=MANIFEST):
        tail: Any = self.tail
        submissions = Submissions("c", "127.0.0.1:1", self.clock)
        submissions.mark_leader_alive()
        service = JobService(
            build_store(*responses),
            self.clock,
            self.table,
            tail,
            submissions,
            Backlogs(self.clock, Metrics()),
            Metrics(),
        )
        if manifest is not None:
            catalog = parse_manifest(msgspec.json.encode(manifest))
            service.catalog = catalog.unwrap()
        return Ingress(service, self.clock, Metrics())

    def _request(self, ingress, method, path, body=b"", **headers):
        answers = []
        environ = {
            "PATH_INFO": path,
            "REQUEST_METHOD": method,
            "HTTP_HOST": "a.example",
            "CONTENT_LENGTH": str(len(body)),
            "wsgi.input": _InputStream(body),
            **headers,
        }
        data = b"".join(
            ingress(environ, lambda status, headers: answers.append((status, headers)))
        )
        status, headers = answers[0]
        return int(status[:3]), dict(headers), msgspec.json.decode(data)

    def test_a_deadline_of_any_length_is_understood(self):
        """Guards against a request whose deadline overflows and ends its thread."""
        for digits in ("9" * 13, "9" * 30, "9" * 5000):
            ingress = self._build((200, b'{"offset":0,"end":1}'))
            body = msgspec.json.encode(JOB)
            status, _, _ = self._request(
                ingress, "POST", f"/x/{JOB_ID}", body, **{DEADLINE_HEADER: digits}
            )
            self.assertEqual(status, 200)

    def test_an_append_with_an_uncertain_answer_is_not_called_refused(self):
        """Guards against "not run" for a job that a failing log has stored."""
        for answer in ((500, b""), (200, b"<html>")):
            refusals = [(503, b"")] * 200
            ingress = self._build(answer, *refusals)
            body = msgspec.json.encode(JOB)
            status, _, _ = self._request(
                ingress, "POST", f"/x/{JOB_ID}", body, **{DEADLINE_HEADER: "1"}
            )
            self.assertEqual(status, 504)

    def test_a_job_is_accepted_once_it_is_stored(self):
        """Guards against a 2xx response for a job that was not appended to the log."""
        ingress = self._build((200, b'{"offset":0,"end":1}'))
        body = msgspec.json.encode(JOB)
        status, _, _ = self._request(ingress, "POST", f"/x/{JOB_ID}", body)
        self.assertEqual(status, 200)

    def test_append_with_unknown_outcome_is_not_reported_as_not_run(self):
        """Guards against a 503 response after an append that may have succeeded."""
        lost = Failure(Problem(ErrorKind.CALL_TIMEOUT, "no answer"))
        ingress = self._build(lost, *[(503, b"")] * 3)
        ingress._service._append = self._append_once(ingress._service)
        body = msgspec.json.encode(JOB)
        status, headers, _ = self._request(ingress, "POST", f"/x/{JOB_ID}", body)
        self.assertEqual(status, 504)
        self.assertNotIn("Retry-After", headers)

    def _append_once(self, service):
        append = JobService._append

        def run(key, value, timeout):
            return append(service, key, value, timedelta())

        return run

    def test_request_during_outage_is_rejected_before_any_append(self):
        """Guards against unknown outcomes during a log outage."""
        self.tail.unavailable = True
        ingress = self._build()
        body = msgspec.json.encode(JOB)
        status, headers, answer = self._request(ingress, "POST", f"/x/{JOB_ID}", body)
        self.assertEqual((status, answer["ran"]), (503, "no"))
        self.assertEqual(headers["Retry-After"], "2")
        self.assertEqual(headers["Connection"], "close")

    def test_job_is_forwarded_if_the_leader_reaches_the_log(self):
        """Guards against rejected jobs while the leader can still reach the log.

        When the platform rejected a third of the machines for 9 s, the controllers
        there rejected every job although hosts were free.
        """
        self.tail.unavailable = True
        ingress = self._build()
        submissions: Any = ingress._service._submissions
        submissions.probe = lambda: True
        submitted_keys = []

        def submit(key, value, max_wait):
            submitted_keys.append(key)
            return Success(None)

        submissions.submit = submit
        body = msgspec.json.encode(JOB)
        status, _, _ = self._request(ingress, "POST", f"/x/{JOB_ID}", body)
        self.assertEqual((status, submitted_keys), (200, [f"j/{JOB_ID}"]))
        self.assertEqual(ingress._service._store._client.calls, [])

    def test_unresponsive_leader_leaves_the_outcome_unknown(self):
        """Guards against rejecting a job that the leader may have appended."""
        self.tail.unavailable = True
        ingress = self._build()
        submissions: Any = ingress._service._submissions
        submissions.probe = lambda: True
        body = msgspec.json.encode(JOB)
        for kind, expected in (
            (ErrorKind.CALL_TIMEOUT, 504),
            (ErrorKind.UNREACHABLE, 503),
        ):
            problem = Problem(kind, "the leader did not answer", "leader")
            submissions.submit = Mock(return_value=Failure(problem))
            status, _, _ = self._request(ingress, "POST", f"/x/{JOB_ID}", body)
            self.assertEqual(status, expected)

    def test_invalid_bodies_are_rejected_as_a_whole(self):
        """Guards against a partially decoded job."""
        bad = [
            b"",
            b"{",
            b'{"spec":1}',
            b'{"spec":"x","steps":[]}',
            b'{"spec":"x","steps":[{"count":-1}]}',
            b'{"spec":"x","steps":[{"count":1,"depends_on":[0]}]}',
        ]
        ingress = self._build()
        for body in bad:
            status, _, answer = self._request(ingress, "POST", f"/x/{JOB_ID}", body)
            self.assertEqual((status, answer["ran"]), (400, "no"))

    def test_unsupported_job_is_rejected_with_a_reason(self):
        """Guards against accepting a job that can never run."""
        body = msgspec.json.encode({"spec": "", "steps": [{"count": 2, "gang": True}]})
        status, _, answer = self._request(self._build(), "POST", f"/x/{JOB_ID}", body)
        self.assertEqual(status, 503)
        self.assertIn("gangs", answer["detail"])

    def test_unknown_job_is_gone_only_if_the_view_is_fresh(self):
        """Guards against a 410 response for a job that the controller has not read."""
        ingress = self._build()
        self.assertEqual(self._request(ingress, "GET", f"/x/{JOB_ID}")[0], 410)
        self.tail.age = timedelta(seconds=10)
        self.assertEqual(self._request(ingress, "GET", f"/x/{JOB_ID}")[0], 503)

    def test_timeout_is_limited_by_the_shutdown_deadline(self):
        """Guards against a request that is aborted by the process exit.

        A request that arrived 4.4 s after SIGTERM waited for the log for its caller's
        timeout of 3 s; its connection was closed without a response at 5.4 s.
        """
        ingress = self._build()
        timeouts = []

        def record_timeout(key, value, timeout):
            timeouts.append(timeout)
            return Success(None)

        ingress._service._append = record_timeout
        body = msgspec.json.encode(JOB)
        self._request(ingress, "POST", f"/x/{JOB_ID}", body)
        ingress.close(self.clock.boottime() + timedelta(seconds=2))
        self.clock.advance(timedelta(milliseconds=800))
        _, headers, _ = self._request(ingress, "POST", f"/x/{JOB_ID}", body)
        self.assertEqual(headers["Connection"], "close")
        self.assertEqual(timeouts, [timedelta(seconds=3), timedelta(milliseconds=1200)])

    def test_request_close_to_shutdown_is_rejected_before_any_append(self):
        """Guards against an unknown outcome where a rejection would be safe."""
        ingress = self._build()
        ingress.close(self.clock.boottime() + timedelta(milliseconds=300))
        body = msgspec.json.encode(JOB)
        status, headers, answer = self._request(ingress, "POST", f"/x/{JOB_ID}", body)
        self.assertEqual((status, answer["ran"]), (503, "no"))
        self.assertIn("Retry-After", headers)
        self.assertEqual(ingress._service._store._client.calls, [])

    def test_job_just_accepted_by_another_controller_is_found(self):
        """Guards against a 410 response to a cancellation, after which the job runs on.

        A follower reads the log every 200 ms; until then the job is not in its table.
        """
        ingress = self._build(*[(200, b'{"offset":0,"end":1}')] * 2)
        body = msgspec.json.encode(JOB)
        self._request(ingress, "POST", f"/x/{JOB_ID}", body)
        record = ingress._service._store._client.calls[0][2][4:]
        key = record[1 : 1 + record[0]].decode()
        stored = StoredValue(0, key, record[1 + record[0] :])
        self.tail.on_refresh = lambda: self.table.apply(stored)
        status, _, answer = self._request(ingress, "DELETE", f"/x/{JOB_ID}")
        self.assertEqual((status, answer["state"]), (200, "cancelled"))
        self.assertEqual(self.tail.refreshes, 1)
        self.assertEqual(self._request(ingress, "GET", f"/x/{JOB_ID}")[0], 200)
        self.assertEqual(self.tail.refreshes, 1)

    def test_missing_configuration_is_service_unavailable(self):
        """Guards against a 404 response of a controller without a configuration yet."""
        ingress = self._build(manifest=None)
        self.assertEqual(self._request(ingress, "GET", "/x/")[0], 503)

    def test_waiting_counts_only_jobs_that_have_not_started(self):
        """Guards against counting running jobs as waiting."""
        ingress = self._build((200, b'{"offset":0,"end":1}'))
        body = msgspec.json.encode(JOB)
        self._request(ingress, "POST", f"/x/{JOB_ID}", body)
        record = ingress._service._store._client.calls[0][2][4:]
        key = record[1 : 1 + record[0]].decode()
        self.table.apply(StoredValue(0, key, record[1 + record[0] :]))
        self.assertEqual(self._request(ingress, "GET", "/x/")[2], {"waiting": 1})
        running = encode_record(ProgressRecord(Phase.RUNNING))
        self.table.apply(StoredValue(1, f"p/{JOB_ID}", running))
        self.assertEqual(self._request(ingress, "GET", "/x/")[2], {"waiting": 0})


class TableTests(AsyncTestCase):
    """Invalid records in the log."""

    def test_invalid_records_are_skipped(self):
        """Guards against an invalid record that stops every controller."""
        table = JobTable()
        for offset, key in enumerate(["", "x/1", "j/1", "p/1", "h/1", "l/0"]):
            self.assertIsNone(table.apply(StoredValue(offset, key, b"\xc1")))
        self.assertEqual(table.refused, 6)
        self.assertEqual(table.hosts, {})

"""Stand-in for a runner, by the pages "Running tasks" and "Service discovery".

A runner has lives in series at one address and under one id. Each life begins with
nothing held. Work is only time: ``spec`` of a job is a JSON document with ``seconds``.
"""

import http.client
import json
import secrets
import threading
import time
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

HEARTBEAT_SECONDS = 1.5
HEARTBEAT_TIMEOUT_SECONDS = 1.0
MAX_LEASE_MILLISECONDS = 6000
MAX_WAIT_MILLISECONDS = 2000
MAX_LISTED_ENDS = 500
STOP_SECONDS = 0.1
# The clock of a runner may be up to 2% slow.
CLOCK_RATE = 0.99
Record = Callable[[str], None]


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 64

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore connections that a peer or a crash has broken."""


class Life:
    """One process of a runner."""

    def __init__(self, runner_id: str, born: int) -> None:
        self.runner_id = runner_id
        self.born = born
        self.started_at = time.monotonic()
        self.token = 0
        self.deadline = 0
        self.sequence = 0
        self.running: dict[str, dict[str, Any]] = {}
        self.highest: dict[str, int] = {}
        self.ended: list[list[Any]] = []
        self.end_count = 0
        self.connections: list[Any] = []
        self.is_over = False

    def read_clock(self) -> int:
        """Return the clock of the runner in milliseconds."""
        return int((time.monotonic() - self.started_at) * 1000 * CLOCK_RATE)


class Runner:
    """Runner of one side machine."""

    def __init__(
        self,
        name: str,
        address: str,
        control: str,
        service: str,
        zone: str,
        labels: list[str],
        record: Record,
    ) -> None:
        self.name, self.address, self.control = name, address, control
        self.service, self.zone, self.labels = service, zone, labels
        self.cpu, self.memory = 16000, 64000
        self.record = record
        self.lock = threading.RLock()
        self.life: Life | None = None
        self._server: _Server | None = None
        # By how much the time of day on the machine is ahead, in milliseconds.
        self.clock_ahead = 0
        self.starts: list[tuple[float, str, int, str]] = []
        self.ends: list[tuple[float, str, int, str]] = []
        self.heartbeat_sent = threading.Event()

    def begin(self) -> None:
        """Begin a life."""
        with self.lock:
            if self.life is not None:
                return
            born = int(time.time() * 1000) + self.clock_ahead
            life = self.life = Life(f"i-{secrets.token_hex(4)}", born)
            host, _, port = self.address.rpartition(":")
            self._server = _Server((host, int(port)), self._build_handler(life))
        self.record(
            f"runner {self.name} begins a life under id {life.runner_id}, born {born}"
        )
        for target, args in (
            (self._server.serve_forever, (0.05,)),
            (self._send_heartbeats, (life,)),
            (self._expire, (life,)),
        ):
            threading.Thread(target=target, args=args, daemon=True).start()

    def crash(self) -> None:
        """End the life without a word; all that runs is gone."""
        with self.lock:
            life, self.life = self.life, None
            server, self._server = self._server, None
            if life is None or server is None:
                return
            life.is_over = True
            held = [f"{task}/{run['run']}" for task, run in life.running.items()]
        server.shutdown()
        server.server_close()
        for connection in life.connections:
            try:
                connection.shutdown(2)
            except OSError:
                pass
        self.record(f"runner {self.name} crashes, born {life.born}, held {held}")

    def _build_handler(self, life: Life) -> type[BaseHTTPRequestHandler]:
        runner = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def setup(self) -> None:
                super().setup()
                life.connections.append(self.connection)

            def log_message(self, format: str, *args: Any) -> None:
                """Write nothing."""

            def do_POST(self) -> None:
                length = int(self.headers.get("Content-Length") or 0)
                body = json.loads(self.rfile.read(length))
                expected = self.headers.get("Egretcrank-Expected-Instance")
                if expected is not None and expected != life.runner_id:
                    status, answer = 421, {"clock_ms": life.read_clock()}
                else:
                    status, answer = runner.handle(life, self.path, body)
                if life.is_over:
                    self.close_connection = True
                    return
                data = json.dumps(answer).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

        return Handler

    # Calls

    def handle(
        self, life: Life, path: str, body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        """Carry out a call of the agent."""
        with self.lock:
            if body.get("fencing_token", 0) < life.token:
                return 409, {"clock_ms": life.read_clock(), "reason": "fence"}
            life.token = body.get("fencing_token", 0)
            self._update(life)
            if path == "/-/run-start":
                return self._start(life, body)
            if path == "/-/run-stop":
                return self._stop(life, body)
            if path == "/-/pace":
                return 200, {"clock_ms": life.read_clock()}
            if path != "/-/hold":
                return 404, {"clock_ms": life.read_clock()}
            self._extend(life, body.get("deadline_ms", 0))
            seen = body.get("last_seen", 0)
            life.ended = [end for end in life.ended if end[0] > seen]
        wait = min(body.get("wait_ms", 0), MAX_WAIT_MILLISECONDS) / 1000
        until = time.monotonic() + wait
        while True:
            with self.lock:
                self._update(life)
                if life.ended or time.monotonic() >= until or life.is_over:
                    return 200, self._list(life)
            time.sleep(0.02)

    def _list(self, life: Life) -> dict[str, Any]:
        running = [
            [task, run["run"], "", 100, 100.0] for task, run in life.running.items()
        ]
        return {
            "clock_ms": life.read_clock(),
            "born": life.born,
            "running": running,
            "ended": life.ended[:MAX_LISTED_ENDS],
        }

    def _extend(self, life: Life, deadline: int) -> None:
        most = life.read_clock() + MAX_LEASE_MILLISECONDS
        life.deadline = max(life.deadline, min(deadline, most))

    def _start(self, life: Life, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        clock = life.read_clock()
        task, run = body["task"], body["run"]
        if body["deadline_ms"] <= clock:
            return 409, {"clock_ms": clock, "reason": "late"}
        self._extend(life, body["deadline_ms"])
        held = life.running.get(task)
        if held is not None and held["run"] == run:
            return 200, {"clock_ms": clock}
        if run <= life.highest.get(task, 0):
            return 409, {"clock_ms": clock, "reason": "old"}
        life.highest[task] = run
        seconds = float(json.loads(body["spec"])["seconds"])
        now = time.monotonic()
        # Longer than any day: lasts until it is stopped.
        ends_at = now + (seconds or 1e6)
        life.running[task] = {"run": run, "ends_at": ends_at}
        self.starts.append((now, task, run, body["spec"]))
        self.record(f"runner {self.name} starts {task} run {run}")
        return 200, {"clock_ms": clock}

    def _stop(self, life: Life, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, run = body["task"], body["run"]
        life.highest[task] = max(life.highest.get(task, 0), run)
        held = life.running.get(task)
        if held is not None and held["run"] == run:
            held["ends_at"] = min(held["ends_at"], time.monotonic() + STOP_SECONDS)
            held["stopped"] = True
        return 200, {"clock_ms": life.read_clock()}

    # Time

    def _update(self, life: Life) -> None:
        now = time.monotonic()
        has_lapsed = life.read_clock() >= life.deadline
        for task, run in list(life.running.items()):
            if run["ends_at"] <= now:
                self._end(life, task, "stopped" if run.get("stopped") else "done")
            elif has_lapsed:
                self._end(life, task, "lapsed")

    def _end(self, life: Life, task: str, how: str) -> None:
        run = life.running.pop(task)
        life.end_count += 1
        life.ended.append([life.end_count, task, run["run"], how, ""])
        self.ends.append((time.monotonic(), task, run["run"], how))
        self.record(f"runner {self.name} ends {task} run {run['run']}: {how}")

    def _expire(self, life: Life) -> None:
        while not life.is_over:
            with self.lock:
                if not life.is_over:
                    self._update(life)
            time.sleep(0.02)

    def is_running(self, task: str) -> bool:
        """Return whether a task is running here."""
        with self.lock:
            if self.life is None:
                return False
            self._update(self.life)
            return task in self.life.running

    # Liveness reports

    def _send_heartbeats(self, life: Life) -> None:
        while not life.is_over:
            life.sequence += 1
            report = {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_remaining_ms": 0,
                "capacity": {"cpu": self.cpu, "mem_mb": self.memory, "gpu": 0},
                "labels": self.labels,
                "clock_ms": life.read_clock(),
                "born": life.born,
                "sequence": life.sequence,
            }
            if put_report(self.control, life.runner_id, report) == 200:
                self.heartbeat_sent.set()
                time.sleep(HEARTBEAT_SECONDS)
            else:
                time.sleep(0.3)


def put_report(control: str, runner_id: str, report: dict[str, Any]) -> int:
    """Send a liveness report; return the status, 0 for no answer."""
    host, _, port = control.rpartition(":")
    connection = http.client.HTTPConnection(
        host, int(port), timeout=HEARTBEAT_TIMEOUT_SECONDS
    )
    try:
        connection.request(
            "PUT",
            f"/-/instances/{runner_id}",
            json.dumps(report),
            {"Content-Type": "application/json"},
        )
        response = connection.getresponse()
        response.read()
        return response.status
    except (OSError, http.client.HTTPException):
        return 0
    finally:
        connection.close()

"""Small deployment for the cases: the project's programs as processes on loopback.

The programs run with the commands of the deploy file and with settings rendered from its
templates. The log service and the runners are the project's own stand-ins.
"""

import http.client
import json
import os
import re
import signal
import subprocess
import tempfile
import time
from pathlib import Path

from bench.addresses import find_address
from bench.standins.platform_runner import Observer, PlatformRunner
from bench.standins.platform_store import PlatformStore

ROOT = Path(__file__).resolve().parents[2]
QUEUE_HOST = "q.example"
QUEUE_PATH = "/q/"
BOUNDS = {
    "hold_limit_ms": "6000",
    "status_s": "120",
    "grace_s": "6",
    "harm_ms": "4000",
    "cancel_ms": "3000",
}
MANIFEST = {
    "version": 1,
    "routes": [
        {
            "name": "q",
            "host": QUEUE_HOST,
            "path_prefix": QUEUE_PATH,
            "service": "s",
            "priority": 2,
            "max_attempts": 3,
            "stretch": 2.0,
            "target_latency_ms": 1000,
        }
    ],
    "services": [{"name": "s", "admission_control": False}],
}
DELAY_BETWEEN_ATTEMPTS = 0.5


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / "record.txt"
        self._began = time.monotonic()
        self._path.write_text("")

    def write(self, text: str) -> None:
        """Append a line."""
        line = f"{time.monotonic() - self._began:8.3f} {text}"
        with self._path.open("a") as file:
            file.write(line + "\n")


class Daemon:
    """One process of the project."""

    def __init__(self, role: str, name: str, fields: dict[str, str], folder: Path) -> None:
        template = (ROOT / "deploy" / f"{role}.ini").read_text()
        text = re.sub(r"\{\{([^}]+)\}\}", lambda match: fields[match[1]], template)
        port = find_address().rpartition(":")[2]
        text = re.sub(r"metrics_port = \d+", f"metrics_port = {port}", text)
        self.name, self.role, self.fields = name, role, fields
        self._settings = folder / f"{name}.ini"
        self._settings.write_text(text)
        self.log = folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": "target/deps",
            "PYTHONDONTWRITEBYTECODE": "1",
            "EGRETCRANK_EVACUATION_MILLISECONDS": "",
            "EGRETCRANK_REMOTE_FACTOR": "1.5",
        }
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                ["python3", "-m", "egretcrank", self.role, "--settings", self._settings],
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            self.send_signal(signal.SIGKILL)
            self.process.wait()


class SharingRunner(PlatformRunner):
    """Runner that reports tail latencies, and paces tasks that fill.

    ``spec`` also has the ``tail`` of a task that serves, in milliseconds, and the
    ``use`` of a task that fills, in thousandths of a core at full pace.
    """

    def _start_run(self, body: dict, clock: int) -> tuple[int, dict]:
        self.specs[body["task"]] = json.loads(body["spec"])
        self.paces[body["task"]] = 100
        return super()._start_run(body, clock)

    def _handle_order(self, path: str, body: dict) -> tuple[int, dict]:
        status, answer = super()._handle_order(path, body)
        if path == "/-/pace" and status == 200:
            self.paces[body["task"]] = body["percent"]
        return status, answer

    def _reset(self) -> None:
        super()._reset()
        self.specs: dict[str, dict] = {}
        self.paces: dict[str, int] = {}

    def _build_status(self) -> dict:
        status = super()._build_status()
        status["running"] = [
            [task, run, saved, 100, self._measure(task)]
            for task, run, saved, *_ in status["running"]
        ]
        return status

    def _measure(self, task: str) -> int:
        spec = self.specs[task]
        return spec.get("tail") or int(spec.get("use", 0) * self.paces[task] / 100)


class Cluster:
    """Controllers, agents, runners and the log service."""

    def __init__(
        self,
        controllers: int,
        hosts: int,
        cpu: int,
        seed: int = 1,
        runner_class: type[PlatformRunner] = PlatformRunner,
    ) -> None:
        self._runner_class = runner_class
        self._directory = tempfile.TemporaryDirectory(prefix="egretcrank-review-")
        self.folder = Path(self._directory.name)
        self.observer = Observer()
        self.store_address = find_address()
        self.store = PlatformStore(self.store_address, seed)
        self.store.put("keyed.op", "config", json.dumps(MANIFEST).encode())
        self.controllers = [self._build_controller(n) for n in range(controllers)]
        self.runners: list[PlatformRunner] = []
        self.agents = [self._build_agent(n, cpu) for n in range(hosts)]

    def _build_fields(self, name: str) -> dict[str, str]:
        ip, port = find_address().split(":")
        return {
            "node_name": name,
            "zone": "z",
            "ip_address": ip,
            "internal_ports.0": port,
            "platform.address": self.store_address,
            "limits.cpu_share": "1",
            "limits.cores": "1",
            "limits.link_speed_mbps": "1000",
            **{f"bounds.{key}": value for key, value in BOUNDS.items()},
        }

    def _build_controller(self, number: int) -> Daemon:
        fields = self._build_fields(f"frontend-{number}")
        fields["listen_addresses.front"] = find_address()
        fields["listen_addresses.ready"] = find_address()
        return Daemon("controller", f"frontend-{number}", fields, self.folder)

    def _build_agent(self, number: int, cpu: int) -> Daemon:
        fields = self._build_fields(f"side-{number}")
        fields["app"], fields["listen_addresses.control"] = find_address(), find_address()
        control = fields["listen_addresses.control"]
        runner = self._runner_class(f"i-{number}", fields["app"], control, cpu, self.observer)
        self.runners.append(runner)
        return Daemon("agent", f"side-{number}", fields, self.folder)

    def start(self) -> bool:
        """Start all parts; return whether all controllers became ready."""
        self.store.start()
        for runner in self.runners:
            runner.start()
        for daemon in (*self.controllers, *self.agents):
            daemon.start()
        deadline = time.monotonic() + 20
        while time.monotonic() < deadline:
            if all(self._is_ready(daemon) for daemon in self.controllers):
                return True
            time.sleep(0.2)
        return False

    def _is_ready(self, daemon: Daemon) -> bool:
        try:
            return call(daemon.fields["listen_addresses.ready"], "GET", "/-/readiness")[0] == 200
        except OSError:
            return False

    def stop(self) -> None:
        """End all processes that were started."""
        for daemon in (*self.controllers, *self.agents):
            daemon.send_signal(signal.SIGCONT)
            daemon.kill()
        for runner in self.runners:
            runner.stop()
        self.store.stop()
        self._directory.cleanup()


def call(
    address: str, method: str, path: str, body: object = None, timeout: float = 3.0
) -> tuple[int, dict]:
    """Make one call and return the status and the body of the answer."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    headers = {
        "Host": QUEUE_HOST,
        "Content-Type": "application/json",
        "Egretcrank-Request-Deadline": str(int(timeout * 1000)),
    }
    try:
        data = None if body is None else json.dumps(body).encode()
        connection.request(method, path, data, headers)
        response = connection.getresponse()
        text = response.read()
        return response.status, json.loads(text) if text else {}
    except http.client.HTTPException as error:
        raise OSError(str(error)) from error
    finally:
        connection.close()


class Client:
    """Client that repeats a call at the next daemon after no answer, 502 or 504."""

    def __init__(self, cluster: Cluster, record: Record) -> None:
        self._fronts = [c.fields["listen_addresses.front"] for c in cluster.controllers]
        self._next = 0
        self._record = record

    def call(self, method: str, job: str, body: object = None, attempts: int = 8) -> tuple[int, dict]:
        """Make a call about a job; return status 0 if no attempt was answered."""
        for _ in range(attempts):
            front = self._fronts[self._next % len(self._fronts)]
            self._next += 1
            try:
                status, answer = call(front, method, QUEUE_PATH + job, body)
            except OSError as error:
                status, answer = 0, {"error": str(error)}
            self._record.write(f"{method} {job} at front {self._fronts.index(front)}: {status} {answer}")
            if status not in (0, 502, 503, 504):
                return status, answer
            time.sleep(DELAY_BETWEEN_ATTEMPTS)
        return 0, {}

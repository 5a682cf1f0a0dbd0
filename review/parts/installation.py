"""A small installation: the project's daemons as processes, stand-ins beside them."""

import http.client
import json
import os
import random
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from review.parts.runner import Runner
from review.parts.store import LimitedStore

ROOT = Path(__file__).resolve().parents[2]
SERVICE = "registry-core"
HOST = "registry.example"
ZONES = ("col-a", "col-b", "gam-c")
READY_SECONDS = 25.0
BOUNDS = """
[bounds]
lease_milliseconds = 6000
keep_ended_seconds = 120
grace_seconds = 6
harm_milliseconds = 4000
cancel_milliseconds = 3000
"""
# As the deploy file sets it from the bounds.
DAEMON_ENVIRONMENT = {
    "EGRETCRANK_EVACUATION_MILLISECONDS": "",
    "EGRETCRANK_REMOTE_FACTOR": "1.5",
}
# Below those that clients' connections are given.
PORTS = range(12000, 30000)
RECORD_LIMIT = 20_000
# A script runs for 120 s at most.
MAX_SECONDS = 110.0


class CannotRunError(Exception):
    """The case cannot run here."""


class Answer(NamedTuple):
    """Answer to a call of a client; status 0 for none."""

    status: int
    body: dict[str, Any]


def find_ports(count: int) -> list[int]:
    """Return free ports of the loopback interface that no client is given."""
    ports: list[int] = []
    for port in random.sample(PORTS, len(PORTS)):
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
        if len(ports) == count:
            return ports
    raise CannotRunError("too few free ports")


class Daemon:
    """A daemon of the project as a process."""

    def __init__(self, role: str, name: str, settings: str, folder: Path) -> None:
        self.role, self.name = role, name
        self._settings = folder / f"{name}.ini"
        self._settings.write_text(settings)
        self.log = folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "EGRETCRANK_SETTINGS": str(self._settings),
        }
        if self.role == "controller":
            environment |= DAEMON_ENVIRONMENT
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                [
                    "python3",
                    "-m",
                    "egretcrank",
                    self.role,
                    "--settings",
                    str(self._settings),
                ],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Installation:
    """Controllers, agents with their runners, the store, and the record."""

    def __init__(
        self,
        record_path: Path,
        controllers: int,
        agents: int,
        kinds: dict[int, str],
        routes: list[dict[str, Any]],
        seed: int = 1,
    ) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="egretcrank-case-")
        folder = Path(self._folder.name)
        self._record_file = record_path.open("w")
        self._record_lock = threading.Lock()
        self._lines = 0
        self.began_at = time.monotonic()
        ports = find_ports(1 + 4 * controllers + 4 * agents)
        self.store = LimitedStore(f"127.0.0.1:{ports[0]}", seed)
        self.routes = routes
        self.manifest = {
            "version": 7,
            "routes": routes,
            "services": [{"name": SERVICE, "admission_control": False}],
            "limits": {"body_bytes": 262144},
        }
        self.controllers: list[Daemon] = []
        self.fronts: list[str] = []
        self.ready: list[str] = []
        self.agents: list[Daemon] = []
        self.runners: list[Runner] = []
        rest = iter(ports[1:])
        for number in range(controllers):
            peer, metrics, front, ready = (next(rest) for _ in range(4))
            name = f"frontend-{ZONES[number % 3]}-{number}"
            text = self._render_host(name, number, peer, metrics, ports[0])
            text += f"[callers]\nhttp_address = 127.0.0.1:{front}\n"
            text += f"ready_address = 127.0.0.1:{ready}\n"
            text += "[limits]\nprocessor_share = 0.43\nprocessors = 1\n"
            text += "link_megabits = 1000.0\n"
            self.controllers.append(Daemon("controller", name, text, folder))
            self.fronts.append(f"127.0.0.1:{front}")
            self.ready.append(f"127.0.0.1:{ready}")
        for number in range(agents):
            peer, metrics, control, app = (next(rest) for _ in range(4))
            name = f"side-{ZONES[number % 3]}-{number}"
            text = self._render_host(name, number, peer, metrics, ports[0])
            text += f"[runner]\naddress = 127.0.0.1:{app}\n"
            text += f"heartbeat_address = 127.0.0.1:{control}\n"
            self.agents.append(Daemon("agent", name, text, folder))
            labels = [kinds.get(number, "a"), f"r1-{number // 3}"]
            self.runners.append(
                Runner(
                    f"app-{number}",
                    f"127.0.0.1:{app}",
                    f"127.0.0.1:{control}",
                    SERVICE,
                    ZONES[number % 3],
                    labels,
                    self.record,
                )
            )

    def _render_host(
        self, name: str, number: int, peer: int, metrics: int, store: int
    ) -> str:
        return (
            f"[host]\nname = {name}\nfailure_domain = {ZONES[number % 3]}\n"
            f"ip = 127.0.0.1\nfirst_port = {peer}\nmetrics_port = {metrics}\n"
            f"[store]\naddress = 127.0.0.1:{store}\n{BOUNDS}"
        )

    def record(self, text: str) -> None:
        """Write a line of the record."""
        with self._record_lock:
            self._lines += 1
            if self._record_file.closed or self._lines > RECORD_LIMIT:
                return
            elapsed = time.monotonic() - self.began_at
            self._record_file.write(f"{elapsed:8.3f} {text}\n")
            self._record_file.flush()

    def start(self) -> None:
        """Start everything and wait until the controllers are ready."""
        self.store.start()
        self.put_manifest()
        for runner in self.runners:
            runner.begin()
        for daemon in (*self.controllers, *self.agents):
            daemon.start()
        until = time.monotonic() + READY_SECONDS
        while not all(self._is_ready(address) for address in self.ready):
            if time.monotonic() > until:
                raise CannotRunError("the controllers do not become ready")
            time.sleep(0.1)
        self.record("the controllers are ready")

    def put_manifest(self) -> None:
        """Write the manifest as the operator does."""
        self.store.put("keyed.op", "config", json.dumps(self.manifest).encode())

    def _is_ready(self, address: str) -> bool:
        return call(address, "GET", "/-/readiness", None, 1.0).status == 200

    def call_job(
        self, method: str, path: str, body: Any = None, front: int = 0
    ) -> Answer:
        """Make a call of a client and record it with its answer."""
        answer = call(self.fronts[front], method, path, body, 3.0)
        shown = "" if body is None else f" {json.dumps(body)}"
        self.record(
            f"client {method} {path} at frontend {front}{shown} -> "
            f"{answer.status} {json.dumps(answer.body)}"
        )
        return answer

    def submit(self, prefix: str, job: dict[str, Any], front: int = 0) -> str:
        """Hand in a job until it is accepted; return its id."""
        job_id = secrets.token_hex(8)
        for attempt in range(5):
            number = (front + attempt) % len(self.fronts)
            answer = self.call_job("POST", f"{prefix}{job_id}", job, number)
            if 200 <= answer.status < 300:
                return job_id
            time.sleep(1.0)
        raise CannotRunError("no daemon accepts the job")

    def get_state(self, prefix: str, job_id: str, front: int = 0) -> str:
        """Return the state of a job as shown to its client, empty for none."""
        answer = self.call_job("GET", f"{prefix}{job_id}", None, front)
        return str(answer.body.get("state", "")) if answer.status == 200 else ""

    def stop(self) -> None:
        """End all processes and stand-ins that were started here."""
        for daemon in (*self.controllers, *self.agents):
            daemon.kill()
        with self._record_lock:
            self._record_file.close()
        for runner in self.runners:
            runner.crash()
        self.store.stop()
        keep = os.environ.get("CASE_LOGS")
        if keep:
            target = Path(keep)
            target.mkdir(parents=True, exist_ok=True)
            for daemon in (*self.controllers, *self.agents):
                (target / daemon.log.name).write_bytes(daemon.log.read_bytes())
        self._folder.cleanup()


def call(address: str, method: str, path: str, body: Any, seconds: float) -> Answer:
    """Make one HTTP call."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=seconds)
    data = None if body is None else json.dumps(body)
    headers = {
        "Host": HOST,
        "Content-Type": "application/json",
        "Egretcrank-Request-Deadline": str(int(seconds * 1000)),
    }
    try:
        connection.request(method, path, data, headers)
        response = connection.getresponse()
        text = response.read()
        try:
            document = json.loads(text or b"{}")
        except ValueError:
            document = {}
        return Answer(response.status, document if isinstance(document, dict) else {})
    except (OSError, http.client.HTTPException):
        return Answer(0, {})
    finally:
        connection.close()


def has_trouble() -> bool:
    """Return whether the case is to play its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(installation: Installation, play: Callable[[Installation], str]) -> None:
    """Play a case, end everything, and exit: 1 for a broken rule, 0 for none, else 2.

    ``play`` returns what was broken, or an empty string.
    """
    threading.Thread(target=_watch, args=(installation,), daemon=True).start()
    status = 2
    try:
        verdict = play(installation) or "the rule held"
        status = 0 if verdict == "the rule held" else 1
    except Exception as error:
        traceback.print_exc()
        verdict = f"the case could not run: {error}"
    _leave(installation, verdict, status)


def _watch(installation: Installation) -> None:
    time.sleep(MAX_SECONDS)
    _leave(installation, f"the case could not run: not over in {MAX_SECONDS} s", 2)


def _leave(installation: Installation, verdict: str, status: int) -> None:
    installation.record(f"verdict: {verdict}")
    installation.stop()
    print(verdict)
    sys.stdout.flush()
    os._exit(status)

"""Small deployment on loopback: the daemons as processes, with stand-ins around them.

Each machine has an address of its own in 127.0.0.0/8, so that ports are the same on all
machines, as DEPLOY.md says. The daemons get the commands and templates of the deploy
file. The store is the project's stand-in, with the limits of PROTOCOL.md on the size of
records and of calls added.
"""

import http.client
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path

from bench.standins.platform_store import PlatformStore, _split_records

ROOT = Path(__file__).resolve().parents[2]
RECORD_BYTES = 262144
REQUEST_BYTES = 2097152
# Two runs at the same time have addresses of their own.
NET = f"127.{64 + os.getpid() // 250 % 64}.{1 + os.getpid() % 250}"
QUEUE_HOST = "q.example"
QUEUE_PATH = "/lohu930/"
BOUNDS = {
    "hold_limit_ms": 6000,
    "status_s": 120,
    "grace_s": 6,
    "harm_ms": 4000,
    "cancel_ms": 3000,
}


class Store(PlatformStore):
    """The project's stand-in of the store; refuses calls that PROTOCOL.md forbids."""

    def __init__(self, address, record):
        super().__init__(address, 1)
        self.record = record
        self.refused = 0
        self.accepted_at = time.time()

    def _handle_append(self, query, body):
        sizes = [len(record) for record in _split_records(body)]
        if max(sizes, default=0) > RECORD_BYTES or sum(sizes) > REQUEST_BYTES:
            self.refused += 1
            if self.refused <= 20 or self.refused % 50 == 0:
                self.record(
                    "store",
                    f"refuses append {self.refused} to {query['topic']}"
                    f" of {query.get('producer', 'no producer')}: largest"
                    f" record {max(sizes)} bytes, {sum(sizes)} in all",
                )
            return 413, b'{"reason":"size"}'
        self.accepted_at = time.time()
        return super()._handle_append(query, body)


class Process:
    """A daemon or a runner that can be killed and started again."""

    def __init__(self, name, command, output, record):
        self.name, self.command, self.record = name, command, record
        self.output = open(output, "ab")
        self.process = None

    def start(self):
        environment = {
            k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        self.process = subprocess.Popen(
            self.command,
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self.output,
            stderr=self.output,
        )
        self.record("platform", f"starts {self.name}")

    def send(self, number):
        if self.process is not None and self.process.poll() is None:
            self.record("platform", f"sends {number.name} to {self.name}")
            self.process.send_signal(number)

    def kill(self):
        self.send(signal.SIGKILL)
        self.process.wait()

    def close(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.output.close()


class Cluster:
    def __init__(self, folder, runners, frontends=3, service="huvo11a"):
        # Raises SystemExit at the time limit of the script, so that all processes end.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        self.folder = Path(folder)
        self.work = Path(tempfile.mkdtemp(prefix="review-"))
        self.started_at = time.time()
        self.rows = []
        self.lock = threading.Lock()
        self.service = service
        self.ports = find_ports(4 + frontends + runners)
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.roles = deploy["roles"]
        self.store = Store(f"{NET}.1:{self.ports[0]}", self.record)
        self.frontends = [self.build_frontend(n) for n in range(frontends)]
        self.front = [f"{NET}.{20 + n}:{self.ports[1]}" for n in range(frontends)]
        self.agents, self.runners = [], []
        for number in range(runners):
            self.build_side(number)

    def record(self, who, what):
        with self.lock:
            self.rows.append((time.time(), who, what))

    def render(self, role, fields, name):
        text = (ROOT / self.roles[role]["template"]).read_text()

        def find(match):
            value = fields
            for key in match[1].split("."):
                value = value[int(key)] if isinstance(value, list) else value[key]
            return str(value)

        path = self.work / f"{name}.ini"
        path.write_text(re.sub(r"\{\{([a-z_.0-9]+)\}\}", find, text))
        words = self.roles[role]["run"].split()
        return [str(path) if w == "/etc/egretcrank/boot.toml" else w for w in words]

    def fields(self, name, ip):
        return {
            "node_name": name,
            "zone": "zone-a",
            "ip_address": ip,
            "internal_ports": [self.ports[2], self.ports[2] + 15],
            "platform": {"address": f"{NET}.1:{self.ports[0]}"},
            "bounds": BOUNDS,
            "limits": {"cpu_share": 1.0, "cores": 1, "link_speed_mbps": 1000.0},
            "listen_addresses": {
                "front": f"{ip}:{self.ports[1]}",
                "ready": f"{ip}:{self.ports[1] + 1}",
                "control": f"{ip}:{self.ports[1] + 2}",
            },
        }

    def build_frontend(self, number):
        name, ip = f"frontend-{number}", f"{NET}.{20 + number}"
        command = self.render("controller", self.fields(name, ip), name)
        return Process(name, command, self.work / f"{name}.log", self.record)

    def build_side(self, number):
        name, ip = f"side-{number}", f"{NET}.{100 + number}"
        fields = self.fields(name, ip)
        fields["app"] = f"{ip}:{self.ports[3]}"
        command = self.render("agent", fields, name)
        self.agents.append(
            Process(name, command, self.work / f"{name}.log", self.record)
        )
        command = [
            sys.executable,
            str(ROOT / "review" / "standins" / "runner.py"),
            "--name",
            f"i-{number:08x}",
            "--address",
            fields["app"],
            "--control",
            fields["listen_addresses"]["control"],
            "--service",
            self.service,
            "--events",
            str(self.work / "events.jsonl"),
        ]
        name = f"runner-{number}"
        self.runners.append(
            Process(name, command, self.work / f"{name}.log", self.record)
        )

    def start(self):
        manifest = {
            "version": 3,
            "routes": [
                {
                    "name": "q",
                    "host": QUEUE_HOST,
                    "path_prefix": QUEUE_PATH,
                    "service": self.service,
                    "priority": 1,
                    "max_attempts": 4,
                    "stretch": 2.0,
                    "target_latency_ms": 1000,
                }
            ],
            "services": [
                {
                    "name": self.service,
                    "health_path": "/health",
                    "admission_control": False,
                }
            ],
            "limits": {"body_bytes": 262144},
        }
        self.store.start()
        self.store.put("keyed.op", "config", json.dumps(manifest).encode())
        for process in (*self.runners, *self.frontends, *self.agents):
            process.start()

    def wait_ready(self, seconds=30.0):
        """Wait until each daemon is ready and a probe job has run on the runners."""
        deadline = time.time() + seconds
        job = "00000000000000aa"
        step = {"count": 2 * len(self.runners), "cpu": 100, "mem_mb": 1}
        while time.time() < deadline:
            if self.submit(job, 0.1, [step])[0] == 200:
                break
            time.sleep(0.5)
        while time.time() < deadline:
            if self.state(job) == "completed":
                return True
            time.sleep(0.3)
        return False

    def call(self, method, path, body=None, front=None, timeout=3.0, note=True):
        front = (
            front if front is not None else int(time.time() * 1000) % len(self.front)
        )
        host, _, port = self.front[front].rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
        try:
            headers = {
                "Host": QUEUE_HOST,
                "Content-Type": "application/json",
                "Egretcrank-Request-Deadline": str(int(timeout * 1000)),
            }
            connection.request(method, path, body, headers)
            reply = connection.getresponse()
            status, answer = reply.status, reply.read()
        except (OSError, http.client.HTTPException) as error:
            status, answer = 0, type(error).__name__.encode()
        finally:
            connection.close()
        if note:
            self.record(
                "client",
                f"{method} {path} at {self.frontends[front].name}"
                f" -> {status} {answer[:60].decode('latin-1')}",
            )
        return status, answer

    def submit(
        self, job, seconds, steps, checkpoints=False, until=None, attempts=4, note=True
    ):
        """Hand a job in; repeat it with the same ID where it got no answer."""
        spec = {"seconds": seconds} | ({"checkpoints": True} if checkpoints else {})
        if until is not None:
            spec["until"] = until
        body = json.dumps({"spec": json.dumps(spec), "steps": steps})
        status, answer = 0, b""
        for _ in range(attempts):
            status, answer = self.call("POST", QUEUE_PATH + job, body, note=note)
            if status not in (0, 502, 504):
                break
            time.sleep(0.2)
        return status, answer

    def state(self, job, note=False):
        status, answer = self.call("GET", QUEUE_PATH + job, note=note)
        return json.loads(answer)["state"] if status == 200 else f"answered {status}"

    def read_events(self):
        path = self.work / "events.jsonl"
        lines = path.read_text().splitlines() if path.exists() else []
        return sorted((json.loads(line) for line in lines), key=lambda row: row["t"])

    def stop(self):
        for process in (*self.agents, *self.frontends, *self.runners):
            process.close()
        self.store.stop()
        if "KEEP" not in os.environ:
            shutil.rmtree(self.work, ignore_errors=True)

    def write_record(self, verdict, max_rows=2500):
        """Write what was sent, answered and run, in the order of time."""
        rows = [*self.rows]
        for event in self.read_events():
            rest = {k: v for k, v in event.items() if k not in ("t", "runner", "ev")}
            rows.append((event["t"], event["runner"], f"{event['ev']} {rest}"))
        rows.sort(key=lambda row: row[0])
        cut = len(rows) - max_rows
        if cut > 0:
            half = max_rows // 2
            rows = [
                *rows[:half],
                (rows[half][0], "record", f"{cut} rows left out"),
                *rows[-half:],
            ]
        lines = [f"{at - self.started_at:9.3f} {who}: {what}" for at, who, what in rows]
        (self.folder / "record.txt").write_text("\n".join([*verdict, "", *lines, ""]))


def find_ports(addresses):
    """Return four bases of free ports, the same at all addresses of the deployment."""
    ips = [
        f"{NET}.1",
        *(f"{NET}.{20 + n}" for n in range(8)),
        *(f"{NET}.{100 + n}" for n in range(addresses)),
    ]
    base = 20000
    found = []
    while len(found) < 4:
        base += 40
        if all(is_free(ip, base + n) for ip in ips for n in range(3)):
            found.append(base)
    return found


def is_free(ip, port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True

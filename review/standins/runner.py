"""Stand-in for one runner, by PROTOCOL.md ("Running tasks", "Service discovery").

Tasks only take time. ``spec`` is a JSON document: ``seconds`` is how long a task runs,
or ``until`` when it ends, in seconds since 1970.
A task of a job with ``checkpoints`` has a new checkpoint of 16 characters after each
second of work. What the runner does is appended to a file, one JSON document a line.
"""

import argparse
import http.client
import json
import socket
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

MAX_LISTED_ENDS = 500
HOLD_LIMIT_MS = 6000
MAX_WAIT_MS = 2000
HEARTBEAT_SECONDS = 1.5
CHECKPOINT_SECONDS = 1.0


class Runner:
    """One boot of a runner; it knows nothing of those before."""

    def __init__(self, options):
        self.options = options
        self.events = open(options.events, "a", buffering=1)
        self.lock = threading.Condition()
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.token = 0
        self.deadline = 0
        self.had_lease = False
        self.running = {}
        self.highest = {}
        self.ended = []
        self.count = 0
        self.sequence = 0
        self.labels = [options.kind, "r1-1"]

    def note(self, event, **fields):
        row = {"t": round(time.time(), 3), "runner": self.options.name, "ev": event}
        self.events.write(json.dumps(row | fields) + "\n")

    def clock(self):
        return int((time.monotonic() - self.started) * 1000)

    # Runs

    def saved(self, entry, now):
        if not entry["checkpoints"]:
            return ""
        number = int((now - entry["at"]) / CHECKPOINT_SECONDS)
        return f"{number:06x}{entry['mark']}" if number else entry["from"]

    def expire(self):
        """End what is done, and everything once the lease has lapsed."""
        now = time.monotonic()
        lapses = self.started + self.deadline / 1000
        lapsed = now >= lapses
        over = [
            (min(e["until"], lapses), t)
            for t, e in self.running.items()
            if e["until"] <= now or lapsed
        ]
        for _, task in sorted(over):
            done = self.running[task]["until"] <= lapses
            self.end(task, "done" if done else "lapsed")
        if lapsed and self.had_lease:
            self.had_lease = False
            self.note("lease lapsed", held=len(over))

    def end(self, task, how):
        entry = self.running.pop(task)
        self.count += 1
        saved = self.saved(entry, min(time.monotonic(), entry["until"]))
        self.ended.append([self.count, task, entry["run"], how, saved])
        self.note("end", n=self.count, task=task, run=entry["run"], how=how)
        self.lock.notify_all()

    def extend(self, deadline):
        now = self.clock()
        self.deadline = max(self.deadline, min(deadline, now + HOLD_LIMIT_MS))
        self.had_lease = self.deadline > now

    # Calls

    def handle(self, path, body):
        with self.lock:
            self.expire()
            token = body.get("fencing_token", 0)
            if token < self.token:
                return 409, {"reason": "fence"}
            self.token = token
            if path == "/-/run-start":
                return self.start(body)
            if path == "/-/run-stop":
                return self.stop(body)
            if path == "/-/pace":
                return 200, {}
            if path == "/-/hold":
                return self.hold(body)
        return 404, {}

    def start(self, body):
        task, run = body["task"], body["run"]
        entry = self.running.get(task)
        if entry and entry["run"] == run:
            return 200, {}
        if body["deadline_ms"] <= self.clock():
            return 409, {"reason": "late"}
        self.extend(body["deadline_ms"])
        if run <= self.highest.get(task, 0):
            return 409, {"reason": "old"}
        self.highest[task] = run
        spec = json.loads(body["spec"])
        now = time.monotonic()
        seconds = spec["seconds"]
        if "until" in spec:
            seconds = max(0.0, spec["until"] - time.time())
        self.running[task] = {
            "run": run,
            "at": now,
            "until": now + seconds,
            "checkpoints": spec.get("checkpoints", False),
            "from": body.get("checkpoint", ""),
            "mark": f"{self.count + len(self.running):010x}",
        }
        self.note("start", task=task, run=run, kind=self.options.kind)
        return 200, {}

    def stop(self, body):
        task, run = body["task"], body["run"]
        self.highest[task] = max(self.highest.get(task, 0), run)
        entry = self.running.get(task)
        if entry and entry["run"] == run:
            self.end(task, "stopped")
        return 200, {}

    def hold(self, body):
        if "deadline_ms" in body:
            self.extend(body["deadline_ms"])
        noted = [e for e in self.ended if e[0] <= body["last_seen"]]
        if noted:
            self.ended = self.ended[len(noted) :]
            self.note("noted", up_to=noted[-1][0], ends=len(noted))
        until = time.monotonic() + min(body.get("wait_ms", 0), MAX_WAIT_MS) / 1000
        while not self.ended and time.monotonic() < until:
            self.lock.wait(0.02)
            self.expire()
        now = time.monotonic()
        running = [
            [t, e["run"], self.saved(e, now), 100, 0] for t, e in self.running.items()
        ]
        return 200, {"running": running, "ended": self.ended[:MAX_LISTED_ENDS]}

    def tick(self):
        while True:
            time.sleep(0.05)
            with self.lock:
                self.expire()

    # Liveness reports

    def beat(self):
        # It serves from the start, and reports once it is up.
        time.sleep(self.options.first_beat)
        while True:
            self.sequence += 1
            body = {
                "service": self.options.service,
                "address": self.options.address,
                "zone": "zone-a",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_remaining_ms": 0,
                "capacity": {"cpu": 16000, "mem_mb": 64000, "gpu": 0},
                "labels": self.labels,
                "clock_ms": self.clock(),
                "sequence": self.sequence,
                "born": self.born,
            }
            host, _, port = self.options.control.rpartition(":")
            connection = http.client.HTTPConnection(host, int(port), timeout=1.0)
            answered = False
            try:
                connection.request(
                    "PUT", f"/-/instances/{self.options.name}", json.dumps(body)
                )
                answered = connection.getresponse().status == 200
            except (OSError, http.client.HTTPException):
                pass
            finally:
                connection.close()
            time.sleep(HEARTBEAT_SECONDS if answered else 0.3)


def build_handler(runner):
    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def setup(self):
            super().setup()
            self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

        def do_POST(self):
            data = self.rfile.read(int(self.headers.get("Content-Length") or 0))
            expected = self.headers.get("Egretcrank-Expected-Instance")
            if expected and expected != runner.options.name:
                status, answer = 421, {}
            else:
                status, answer = runner.handle(self.path, json.loads(data))
            answer |= {"clock_ms": runner.clock(), "born": runner.born}
            body = json.dumps(answer).encode()
            self.wfile.write(
                b"HTTP/1.1 %d -\r\nContent-Type: application/json\r\n"
                b"Content-Length: %d\r\n\r\n" % (status, len(body)) + body
            )

        def log_message(self, *_):
            pass

    return Handler


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128
    allow_reuse_address = True


def main():
    parser = argparse.ArgumentParser()
    for name in ("name", "address", "control", "service", "events"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--kind", default="a")
    # Seconds from the start to the first liveness report.
    parser.add_argument("--first-beat", type=float, default=0.0)
    options = parser.parse_args()
    runner = Runner(options)
    host, _, port = options.address.rpartition(":")
    server = Server((host, int(port)), build_handler(runner))
    threading.Thread(target=runner.beat, daemon=True).start()
    threading.Thread(target=runner.tick, daemon=True).start()
    server.serve_forever()


main()

"""In-process stand-in for a runner of the platform, by its published protocol.

A runner has lives in series under one id. Each begins with nothing held and serves on
a listening socket of its own; calls of a life that is over end without a reply.

Tasks only sleep: ``spec`` is a JSON document with the ``seconds`` and the ``cpu``
(millicores) of each of the job's tasks. ``deadly`` names those, without their job, that
crash each runner that starts them.
"""

import http.client
import math
import random
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterable
from datetime import UTC, datetime
from typing import Any, NamedTuple

import msgspec
from cheroot.wsgi import Gateway_10, Server

THREADS = 24
HEARTBEAT_SECONDS = 0.3
HEARTBEAT_TIMEOUT_SECONDS = 1.0
# Rate of the runner's clock relative to real time; it may be up to 2% slow.
CLOCK_RATE = 0.98
MAX_LEASE_MILLISECONDS = 6000
POLL_SECONDS = 0.02
# Number of ended tasks that a runner lists at a time.
MAX_LISTED_ENDS = 500
START_DELAY_SECONDS = (0.8, 3.0)
# Times that a runner sends its unregistration without getting a reply.
MAX_UNREGISTER_ATTEMPTS = 3
BIND_TIMEOUT_SECONDS = 10.0
# An agent raises its token by one, or by seconds of its clock when it starts.
MIN_TAKEOVER_TOKEN_STEP = 100
# Time in which the new process gets a heartbeat, but grants no lease yet.
TAKEOVER_SILENCE_DELAY_SECONDS = (0.1, 0.4)
# Time from the start of a deadly task to the crash, and from there to the next life.
CRASH_DELAY_SECONDS = (0.005, 0.1)
CRASH_DOWN_SECONDS = (1.0, 4.0)
# Time after the first heartbeat that shows a smaller capacity until it counts.
SHRINK_GRACE_SECONDS = 3.0
# A task is started fewer than ``MAX_FURTHER_STARTS`` times after so many crashes.
MAX_CRASHES = 3
MAX_FURTHER_STARTS = 3
CONNECTION_KEY = "egretcrank.connection"
_EMPTY_REPLY: dict[str, Any] = {}

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]


# Longest time from the acknowledgement of a request to evacuate a failure domain to a
# start there.
EVACUATION_SECONDS = 5.0


class TaskStart(NamedTuple):
    """A task start that a runner carried out; ``arrived_at`` is that of its call."""

    runner: str
    task: str
    run: int
    spec: str
    arrived_at: float = 0.0


class _Spec(msgspec.Struct):
    seconds: float
    cpu: int
    deadly: tuple[str, ...] = ()

    def is_deadly(self, task: str) -> bool:
        return task.partition(".")[2] in self.deadly


class _Run(NamedTuple):
    run: int
    started_at: float
    ends_at: float
    cpu: int
    is_deadly: bool


class _FormerCapacity(NamedTuple):
    cpu: int
    counts_until: float


class _NoReplyError(Exception):
    """The connection of a call ends without a reply."""


class _Gateway(Gateway_10):
    """Gateway that lets the application close the connection without a reply."""

    def respond(self) -> None:
        """Process the request, with its connection in the environment."""
        self.env[CONNECTION_KEY] = self.req.conn.socket
        super().respond()


class Observer:
    """Records events of all runners and checks the invariants that span them."""

    def __init__(self) -> None:
        self.lock = threading.RLock()
        self.runners: list[PlatformRunner] = []
        self.starts: list[TaskStart] = []
        self.acknowledged: set[str] = set()
        # Runners that crashed under a deadly task, in order, and the crashes under each
        # of these tasks.
        self.crashed: list[PlatformRunner] = []
        self.crashes: Counter[str] = Counter()
        self.further_starts: Counter[str] = Counter()
        # Runs of each task that ended with a life, for any reason.
        self.lost_runs: Counter[str] = Counter()
        # When the requests to evacuate failure domains were acknowledged.
        self.evacuated_at: dict[str, float] = {}
        self.problems: list[str] = []
        self.events: list[str] = []

    def note(self, event: str) -> None:
        """Record an event for the trace of the runners and the faults."""
        self.events.append(f"{datetime.now(UTC).isoformat()} {event}")

    def record_start(self, runner: "PlatformRunner", started: TaskStart) -> None:
        """Record and check a start; the caller must hold the lock."""
        self.starts.append(started)
        for other in self.runners:
            other.expire()
            if started.task in other.running:
                before = other.running[started.task]
                seconds = time.monotonic() - before.started_at
                self.problems.append(
                    f"{started.task} runs twice: {runner.name} (born {runner.born}) "
                    f"starts run {started.run} at {datetime.now(UTC).isoformat()}, "
                    f"{seconds:.3f} s after {other.name} (born {other.born}) "
                    f"started run {before.run}"
                )
        if started.task in self.acknowledged:
            self.problems.append(f"{started.task} starts after it was done")
        used = sum(run.cpu for run in runner.running.values())
        if used + _read_spec(started.spec).cpu > runner.find_allowed_cpu():
            self.problems.append(f"{runner.name} is over its capacity")
        evacuated_at = self.evacuated_at.get(runner.failure_domain, started.arrived_at)
        if started.arrived_at - evacuated_at > EVACUATION_SECONDS:
            self.problems.append(
                f"{started.task} starts on {runner.name} "
                f"{started.arrived_at - evacuated_at:.1f} s after the request to "
                f"evacuate {runner.failure_domain}"
            )
        if self.crashes[started.task] >= MAX_CRASHES:
            self.further_starts[started.task] += 1
            if self.further_starts[started.task] == MAX_FURTHER_STARTS:
                self.problems.append(
                    f"{started.task} exceeds its budget of crashes: run {started.run} "
                    f"starts on {runner.name} at {datetime.now(UTC).isoformat()}, "
                    f"after {self.crashes[started.task]} crashes"
                )

    def record_crash(self, runner: "PlatformRunner", cause: str) -> None:
        """Record a crash under deadly tasks; the caller must hold the lock."""
        self.note(f"{runner.name} crashes under {cause}")
        self.crashed.append(runner)
        self.crashes.update(t for t, run in runner.running.items() if run.is_deadly)


class PlatformRunner:
    """Simulated runner of one host."""

    def __init__(
        self, name: str, address: str, control: str, cpu: int, observer: Observer
    ) -> None:
        self.name, self.address, self.cpu = name, address, cpu
        # Larger capacities of before that starts may still use.
        self._former_capacities: list[_FormerCapacity] = []
        self.failure_domain = "z"
        self.start_delay_probability = 0.0
        # Share of the replies that are sent late, and their delay in seconds.
        self.late_replies = (0.0, 0.0, 0.0)
        self.control = control
        # Id of the current life, and whether each life gets one of its own.
        self.instance = name
        self.has_new_ids = False
        # By how much the time of day of its machine is ahead, in seconds.
        self.clock_ahead = 0.0
        self._observer = observer
        self._random = random.Random(name)
        self._server: Server | None = None
        self._is_stopped = False
        # Grows whenever a life begins or ends.
        self._life = 0
        self._reset()
        observer.runners.append(self)

    def _reset(self) -> None:
        self._life += 1
        self.silent_until = 0.0
        # Seconds to be silent for after the first poll of the next agent process.
        self.takeover_silence = 0.0
        self._draining_until: float | None = None
        self.born = int((time.time() + self.clock_ahead) * 1000)
        self.instance = f"{self.name}-{self._life}" if self.has_new_ids else self.name
        self._started_at = time.monotonic()
        self.token = 0
        self.deadline = 0
        self.sequence = 0
        self.running: dict[str, _Run] = {}
        self._highest_runs: dict[str, int] = {}
        self._ended: list[list[Any]] = []
        # Numbers of ends that were not acknowledged before the lease lapsed. The
        # platform's rules allow another run after these.
        self._lapsed_ends: set[int] = set()
        self._end_count = 0

    def begin_life(self) -> None:
        """Begin a life that knows nothing of those before, unless one goes on."""
        with self._observer.lock:
            if self._server is not None:
                return
            self._server = self._listen()
            self._reset()
            life = self._life
            self._observer.note(
                f"{self.name} begins a life as {self.instance}, born {self.born}"
            )
            for target, args in (
                (self._server.serve, ()),
                (self._send_heartbeats, (life,)),
            ):
                threading.Thread(target=target, args=args, daemon=True).start()

    def _listen(self) -> Server:
        host, _, port = self.address.rpartition(":")
        deadline = time.monotonic() + BIND_TIMEOUT_SECONDS
        while True:
            server = Server((host, int(port)), self, numthreads=THREADS, max=THREADS)
            server.gateway = _Gateway
            try:
                server.prepare()
            except OSError:
                # The former life's socket is still being closed.
                if time.monotonic() > deadline:
                    raise
                time.sleep(POLL_SECONDS)
            else:
                return server

    def end_life(self) -> None:
        """End the life as in a crash: all runs end, and the port refuses."""
        with self._observer.lock:
            server, self._server = self._server, None
            if server is None:
                return
            held = [f"{task}/{run.run}" for task, run in self.running.items()]
            self._observer.note(f"{self.name} ends, born {self.born}, held {held}")
            self._observer.lost_runs.update(self.running.keys())
            self._reset()
        threading.Thread(target=server.stop, daemon=True).start()

    def _crash(self, task: str, life: int) -> None:
        """Let a task end the life; the next one begins some seconds later."""
        with self._observer.lock:
            if self._life != life or task not in self.running:
                return
            self._observer.record_crash(self, task)
            self.end_life()
            down = self._random.uniform(*CRASH_DOWN_SECONDS)
            threading.Timer(down, self._begin_life_after, (self._life,)).start()

    def _begin_life_after(self, life: int) -> None:
        with self._observer.lock:
            if self._life == life and not self._is_stopped:
                self.begin_life()

    def restart(self) -> None:
        """End the life and begin the next one at once."""
        self.end_life()
        self.begin_life()

    def resize(self, cpu: int) -> None:
        """Change the capacity while the life goes on."""
        with self._observer.lock:
            self._former_capacities.append(_FormerCapacity(self.cpu, math.inf))
            self.cpu = cpu
            self._observer.note(f"{self.name} has a capacity of {cpu}")

    def find_allowed_cpu(self) -> int:
        """Return the capacity that a start has to keep to."""
        now = time.monotonic()
        former = [c.cpu for c in self._former_capacities if now < c.counts_until]
        return max([self.cpu, *former])

    def _mark_capacity_shown(self) -> None:
        """Limit how long former capacities count, as a heartbeat shows the current."""
        until = time.monotonic() + SHRINK_GRACE_SECONDS
        self._former_capacities = [
            former._replace(counts_until=min(former.counts_until, until))
            for former in self._former_capacities
        ]

    def drain(self, seconds: float) -> None:
        """Report the runner as draining until it leaves in some seconds."""
        with self._observer.lock:
            self._draining_until = time.monotonic() + seconds
            self._observer.note(f"{self.name} drains, born {self.born}")

    def leave(self, delay: float) -> None:
        """Unregister and end; the call reaches the agent's machine after a delay."""
        with self._observer.lock:
            if self._server is None:
                return
            self._observer.note(f"{self.name} leaves, DELETE {delay:.2f} s late")
        threading.Thread(target=self._unregister, args=(delay,), daemon=True).start()
        self.end_life()

    def _unregister(self, delay: float) -> None:
        time.sleep(delay)
        for _ in range(MAX_UNREGISTER_ATTEMPTS):
            answered = self._call_agent("DELETE", None)
            self._observer.note(f"{self.name} sent DELETE, answered: {answered}")
            if answered:
                return

    def start(self) -> None:
        """Begin the first life."""
        self.begin_life()

    def stop(self) -> None:
        """End the last life."""
        self._is_stopped = True
        self.end_life()

    def _read_clock(self) -> int:
        return int((time.monotonic() - self._started_at) * 1000 * CLOCK_RATE)

    def _send_heartbeats(self, life: int) -> None:
        while True:
            with self._observer.lock:
                if self._life != life:
                    return
                self.sequence += 1
                heartbeat = self.build_heartbeat()
                is_silent = time.monotonic() < self.silent_until
                if not is_silent:
                    self._mark_capacity_shown()
            if not is_silent:
                self._call_agent("PUT", heartbeat)
            time.sleep(HEARTBEAT_SECONDS)

    def build_heartbeat(self) -> dict[str, Any]:
        """Return the description of the current life."""
        heartbeat = {
            "service": "s",
            "address": self.address,
            "zone": self.failure_domain,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "capacity": {"cpu": self.cpu, "mem_mb": 65536, "gpu": 0},
            "labels": ["a", "r1"],
            "clock_ms": self._read_clock(),
            "sequence": self.sequence,
            "born": self.born,
        }
        if self._draining_until is not None:
            left = max(0.0, self._draining_until - time.monotonic())
            heartbeat |= {"state": "draining", "remaining_ms": int(left * 1000)}
        return heartbeat

    def _call_agent(self, method: str, body: dict[str, Any] | None) -> bool:
        """Make one call about this runner and return whether it was answered."""
        return call_agent(self.control, method, self.instance, body)

    def __call__(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        """Handle one call of the agent."""
        life = self._life
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = msgspec.json.decode(environ["wsgi.input"].read(length))
        body["arrived_at"] = time.monotonic()
        try:
            self._stay_silent(life)
            expected = environ.get("HTTP_EGRETCRANK_EXPECTED_INSTANCE", self.instance)
            if expected == self.instance:
                status, answer = self._handle(environ["PATH_INFO"], body, life)
            else:
                status, answer = 421, {"clock_ms": self._read_clock()}
            # Replies that were built earlier may be sent later.
            share, least, most = self.late_replies
            if self._random.random() < share:
                time.sleep(self._random.uniform(least, most))
            self._stay_silent(life)
        except _NoReplyError:
            environ[CONNECTION_KEY].shutdown(socket.SHUT_RDWR)
            status, answer = 503, _EMPTY_REPLY
        data = msgspec.json.encode(answer)
        start(f"{status} -", [("Content-Length", str(len(data)))])
        return [data]

    def _stay_silent(self, life: int) -> None:
        while time.monotonic() < self.silent_until:
            self._check_life(life)
            time.sleep(POLL_SECONDS)
        self._check_life(life)

    def _check_life(self, life: int) -> None:
        # A connection may outlive the life by some milliseconds.
        if self._life != life or self._server is None:
            raise _NoReplyError

    def _handle(
        self, path: str, body: dict[str, Any], life: int
    ) -> tuple[int, dict[str, Any]]:
        if (
            path == "/-/run-start"
            and self._random.random() < self.start_delay_probability
        ):
            delay = self._random.uniform(*START_DELAY_SECONDS)
            threading.Timer(delay, self._start_delayed, (body, life)).start()
            time.sleep(START_DELAY_SECONDS[0])
            # A refusal would promise that the start has no effect.
            raise _NoReplyError
        if path == "/-/hold":
            return self._handle_hold(body, life)
        with self._observer.lock:
            self._check_life(life)
            return self._handle_order(path, body)

    def _start_delayed(self, body: dict[str, Any], life: int) -> None:
        with self._observer.lock:
            if self._life == life:
                self._handle_order("/-/run-start", body)

    def _handle_order(
        self, path: str, body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        self.expire()
        clock = self._read_clock()
        if body["fencing_token"] < self.token:
            return 409, {"clock_ms": clock, "reason": "fence"}
        self.token = body["fencing_token"]
        task, run = body["task"], body["run"]
        match path:
            case "/-/run-start":
                return self._start_run(body, clock)
            case "/-/run-stop":
                self._highest_runs[task] = max(self._highest_runs.get(task, 0), run)
                if task in self.running and self.running[task].run == run:
                    self._end_run(task, "stopped")
        return 200, {"clock_ms": clock}

    def _start_run(
        self, body: dict[str, Any], clock: int
    ) -> tuple[int, dict[str, Any]]:
        task, run = body["task"], body["run"]
        if task in self.running and self.running[task].run == run:
            return 200, {"clock_ms": clock}
        if body["deadline_ms"] <= clock:
            return 409, {"clock_ms": clock, "reason": "late"}
        self._extend_lease(body["deadline_ms"], clock)
        if run <= self._highest_runs.get(task, 0):
            return 409, {"clock_ms": clock, "reason": "old"}
        self._highest_runs[task] = run
        arrived_at = body.get("arrived_at", time.monotonic())
        started = TaskStart(self.name, task, run, body["spec"], arrived_at)
        self._observer.record_start(self, started)
        spec = _read_spec(body["spec"])
        now = time.monotonic()
        is_deadly = spec.is_deadly(task)
        self.running[task] = _Run(run, now, now + spec.seconds, spec.cpu, is_deadly)
        self._observer.note(f"{self.name} starts {task}/{run} at clock {clock}")
        if is_deadly:
            delay = self._random.uniform(*CRASH_DELAY_SECONDS)
            threading.Timer(delay, self._crash, (task, self._life)).start()
        return 200, {"clock_ms": clock}

    def _handle_hold(
        self, body: dict[str, Any], life: int
    ) -> tuple[int, dict[str, Any]]:
        wait_until = time.monotonic() + body.get("wait_ms", 0) / 1000
        with self._observer.lock:
            self._check_life(life)
            self.expire()
            if body["fencing_token"] < self.token:
                return 409, {"clock_ms": self._read_clock(), "reason": "fence"}
            if body["fencing_token"] - self.token > MIN_TAKEOVER_TOKEN_STEP:
                self._handle_takeover()
            self.token = body["fencing_token"]
            self._extend_lease(body.get("deadline_ms", 0), self._read_clock())
            self._acknowledge(body["last_seen"])
        while True:
            with self._observer.lock:
                self._check_life(life)
                self.expire()
                if self._ended or time.monotonic() >= wait_until:
                    return 200, self._build_status()
            time.sleep(POLL_SECONDS)

    def _handle_takeover(self) -> None:
        seconds, self.takeover_silence = self.takeover_silence, 0.0
        if seconds:
            delay = self._random.uniform(*TAKEOVER_SILENCE_DELAY_SECONDS)
            threading.Timer(delay, self.be_silent, (seconds,)).start()

    def find_last_end(self) -> float:
        """Return the time at which all current runs will have ended."""
        with self._observer.lock:
            return max((run.ends_at for run in self.running.values()), default=0.0)

    def be_silent(self, seconds: float) -> None:
        """Answer no call and send no heartbeat for some seconds."""
        self._observer.note(f"{self.name} is silent for {seconds:.2f} s")
        self.silent_until = time.monotonic() + seconds

    def _acknowledge(self, last: int) -> None:
        for number, task, _, outcome, _ in self._ended:
            lapsed = number in self._lapsed_ends
            if number <= last and outcome == "done" and not lapsed:
                self._observer.acknowledged.add(task)
        self._ended = [end for end in self._ended if end[0] > last]

    def _build_status(self) -> dict[str, Any]:
        running = [[task, run.run, "", 10, 100] for task, run in self.running.items()]
        return {
            "clock_ms": self._read_clock(),
            "born": self.born,
            "running": running,
            "ended": self._ended[:MAX_LISTED_ENDS],
        }

    def _extend_lease(self, deadline: int, clock: int) -> None:
        max_deadline = clock + MAX_LEASE_MILLISECONDS
        self.deadline = max(self.deadline, min(deadline, max_deadline))

    def expire(self) -> None:
        """End finished and expired runs; the caller must hold the observer's lock."""
        now = time.monotonic()
        lapses_at = self._started_at + self.deadline / 1000 / CLOCK_RATE
        for task, run in list(self.running.items()):
            # A deadly task never ends well: the timer of its crash may fire late.
            if run.ends_at <= min(now, lapses_at) and not run.is_deadly:
                self._end_run(task, "done")
            elif lapses_at <= now:
                self._end_run(task, "lapsed")
        if lapses_at <= now:
            self._lapsed_ends.update(number for number, *_ in self._ended)

    def _end_run(self, task: str, outcome: str) -> None:
        run = self.running.pop(task)
        self._end_count += 1
        self._ended.append([self._end_count, task, run.run, outcome, ""])
        self._observer.note(f"{self.name} ends {task}/{run.run}: {outcome}")


def call_agent(
    control: str, method: str, instance: str, body: dict[str, Any] | None
) -> bool:
    """Make one call about an instance and return whether the agent answered it."""
    host, _, port = control.rpartition(":")
    connection = http.client.HTTPConnection(
        host, int(port), timeout=HEARTBEAT_TIMEOUT_SECONDS
    )
    data = None if body is None else msgspec.json.encode(body)
    try:
        connection.request(method, f"/-/instances/{instance}", data)
        connection.getresponse().read()
    except (OSError, http.client.HTTPException):
        return False
    finally:
        connection.close()
    return True


def _read_spec(spec: str) -> _Spec:
    return msgspec.json.decode(spec, type=_Spec)

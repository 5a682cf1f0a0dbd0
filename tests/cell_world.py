"""Simulation of a cell in one thread: controllers, agents, runners, a log and a clock.

The simulation injects failures: lost messages and answers, late starts, restarts of
agents and runners, and leaders that are replaced while they still act. It checks the
invariants of the cell at the runners.
"""

import random
from collections import Counter, deque
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from dataclasses import replace
from datetime import timedelta
from typing import Any, NamedTuple
from unittest.mock import patch

from returns.result import Failure, Success

from egretcrank.agent.pace import PaceController
from egretcrank.agent.starts import StartPermit, WaitingStart
from egretcrank.agent.state import AgentState, Identity
from egretcrank.observability.metrics import Metrics
from egretcrank.platform.runner import MAX_LISTED_ENDS, RunnerSnapshot
from egretcrank.scheduling.catalog import Catalog, Queue, Service
from egretcrank.scheduling.cell import Cell
from egretcrank.scheduling.changes import Changes
from egretcrank.scheduling.definitions import JobDefinition, Step, parse_task_key
from egretcrank.scheduling.records import (
    LeaderRecord,
    Phase,
    RecordKey,
    RecordKind,
    encode_record,
)
from egretcrank.scheduling.settings import CellSettings
from egretcrank.scheduling.table import JobTable, StoredValue
from egretcrank.wire.hosting import (
    HOSTING_CODEC,
    EndedTask,
    HostOrders,
    HostReport,
    Run,
    RunnerInfo,
    RunningTask,
    StartOrder,
)
from tests.cases import ManualClock

QUEUE = Queue("q", "h", "/q/", "s", 0, 3, 2.0, timedelta(seconds=1))
CATALOG = Catalog(1, {"q": QUEUE}, {"s": Service("s")})
# Long enough to keep ended jobs until the end of a test.
SETTINGS = CellSettings(keep_ended=timedelta(hours=1))
TICK = timedelta(milliseconds=100)
SLOW_CLOCK = 0.98
# Time from the start of a deadly task to the crash of its runner, and from the crash
# until the runner's next process listens.
CRASH_DELAY = timedelta(milliseconds=100)
CRASH_DOWNTIME = timedelta(seconds=3)
# Crashes under a task after which few more starts of it are allowed, and their number.
MAX_CRASHES = 3
MAX_STARTS_AFTER_CRASHES = 2
# Time for which a start may still use the room that a runner had before it shrank.
SHRINK_GRACE = timedelta(milliseconds=4500)
# Interval between the heartbeats of a runner on the platform.
HEARTBEAT_INTERVAL = timedelta(milliseconds=1500)
MEMORY = 64000


def build_step(**changes: Any) -> Step:
    """Build a step of two small tasks, with ``changes`` applied to its fields."""
    values: dict[str, Any] = {
        "width": 2,
        "cpu": 1000,
        "memory": 100,
        "accelerators": 0,
        "estimate": timedelta(seconds=1),
    }
    return Step(**{**values, **changes})


class Log:
    """Partition of a keyed topic; it refuses an epoch below the highest one seen."""

    def __init__(self) -> None:
        self.records: list[StoredValue] = []
        self.epoch = 0
        self.available = True

    def append(self, records: list[tuple[str, bytes]], epoch: int | None) -> bool:
        if not self.available or (epoch is not None and epoch < self.epoch):
            return False
        if epoch is not None:
            self.epoch = epoch
        for key, value in records:
            self.records.append(StoredValue(len(self.records), key, value))
        return True


class ActiveRun(NamedTuple):
    """A run on a runner, with the time at which it ends."""

    run: int
    ends_at: timedelta
    checkpoint: str


class Runner:
    """Simulated runner of the platform with a slow clock."""

    def __init__(self, world: "World", name: str, capacity: int) -> None:
        self.failure_domain = "zone"
        self.world, self.name, self.capacity = world, name, capacity
        self.born = 0
        self.kind, self.service = "a", "s"
        # Time from the start of a process to its first heartbeat.
        self.first_heartbeat_delay = timedelta()
        self.draining = False
        self.silent = False
        self.listening = True
        # When the process that follows a crash begins.
        self.returns_at: timedelta | None = None
        self.memory = MEMORY
        # Number of ended runs that a poll lists at most.
        self.listed_ends = MAX_LISTED_ENDS
        # Former capacities and amounts of memory, each with the time until which it
        # still counts.
        self.former_capacities: list[tuple[timedelta, int]] = []
        self.former_memories: list[tuple[timedelta, int]] = []
        # When the next heartbeat is due.
        self.heartbeat_at = timedelta()
        self.restart()

    def leave(self) -> None:
        """End the process and with it everything that runs on it."""
        self.listening = False
        self.running.clear()

    def crash(self, downtime: timedelta = CRASH_DOWNTIME) -> None:
        """End the process; the next one begins after a time."""
        self.leave()
        self.returns_at = self.world.now() + downtime

    def shrink(self, capacity: int) -> None:
        """Change the capacity while the process goes on."""
        until = self.world.now() + SHRINK_GRACE
        self.former_capacities.append((until, self.capacity))
        self.capacity = capacity

    def shrink_memory(self, memory: int) -> None:
        """Change the memory while the process goes on."""
        until = self.world.now() + SHRINK_GRACE
        self.former_memories.append((until, self.memory))
        self.memory = memory

    @property
    def allowed_capacity(self) -> int:
        """Return the most that the tasks on this runner may reserve now."""
        return self._find_allowed(self.capacity, self.former_capacities)

    @property
    def allowed_memory(self) -> int:
        """Return the most memory that the tasks on this runner may reserve now."""
        return self._find_allowed(self.memory, self.former_memories)

    def _find_allowed(self, amount: int, former: list[tuple[timedelta, int]]) -> int:
        now = self.world.now()
        return max([amount, *(before for until, before in former if now <= until)])

    def is_heartbeat_due(self) -> bool:
        """Return whether the runner sends a heartbeat now."""
        now = self.world.now()
        if now < self.heartbeat_at:
            return False
        self.heartbeat_at = now + self.world.heartbeat_interval
        return True

    def restart(self) -> None:
        self.born += 1
        self.listening = True
        self.returns_at = None
        self.started_at = self.world.now()
        self.heartbeat_at = self.started_at + self.first_heartbeat_delay
        self.token = 0
        self.deadline = 0
        self.running: dict[str, ActiveRun] = {}
        self.highest_run: dict[str, int] = {}
        self.ended: list[EndedTask] = []
        # Numbers of ends that were not acknowledged before the lease lapsed. The
        # platform's rules allow another run after these.
        self.lapsed_ends: set[int] = set()
        self.count = 0

    def describe(self) -> RunnerInfo:
        return RunnerInfo(
            self.name,
            self.born,
            self.service,
            self.failure_domain,
            "rack",
            (self.kind, "rack"),
            self.capacity,
            self.memory,
            0,
            self.draining,
            0.0,
        )

    def clock(self) -> int:
        elapsed = self.world.now() - self.started_at
        return int(elapsed / timedelta(milliseconds=1) * SLOW_CLOCK)

    def extend(self, deadline: int | None) -> None:
        if deadline is not None:
            self.deadline = max(self.deadline, min(deadline, self.clock() + 6000))

    def start(self, order: StartOrder, deadline: int, token: int) -> str:
        self.expire()
        if token < self.token:
            return "fence"
        self.token = token
        if deadline <= self.clock():
            return "late"
        self.extend(deadline)
        if order.run <= self.highest_run.get(order.task, 0):
            return "old"
        self.highest_run[order.task] = order.run
        self.world.record_start(self, order)
        seconds = self.world.random.uniform(0.2, 3.0)
        if (
            self.world.find_step(order.task).long_running
            and not self.world.failure_probability
        ):
            seconds = 1e6
        if order.task in self.world.deadly:
            seconds = CRASH_DELAY.total_seconds()
        self.running[order.task] = ActiveRun(
            order.run, self.world.now() + timedelta(seconds=seconds), order.checkpoint
        )
        return ""

    def stop(self, task: str, run: int, token: int) -> None:
        if token < self.token:
            return
        self.token = token
        self.highest_run[task] = max(self.highest_run.get(task, 0), run)
        if task in self.running and self.running[task].run == run:
            self.end(task, "stopped")

    def end(self, task: str, outcome: str) -> None:
        active_run = self.running.pop(task)
        self.count += 1
        saved = f"{active_run.run}" if outcome == "stopped" else ""
        self.ended.append(EndedTask(self.count, task, active_run.run, outcome, saved))
        self.world.record_end(task, outcome)

    def expire(self) -> None:
        if self.returns_at is not None and self.world.now() >= self.returns_at:
            self.restart()
        if self.clock() >= self.deadline:
            for task in list(self.running):
                self.end(task, "lapsed")
            self.lapsed_ends.update(ended.number for ended in self.ended)
        for task, active_run in list(self.running.items()):
            if self.world.now() >= active_run.ends_at:
                if task in self.world.deadly:
                    self.world.record_crash(task)
                    self.crash()
                    return
                failed = self.world.random.random() < self.world.failure_probability
                self.end(task, "failed" if failed else "done")

    def poll(
        self, deadline: int | None, token: int, seen: int
    ) -> RunnerSnapshot | None:
        self.expire()
        if token < self.token:
            return None
        self.token = token
        self.extend(deadline)
        for ended in self.ended:
            if ended.number <= seen and ended.number not in self.lapsed_ends:
                self.world.record_acknowledged(ended)
        self.ended = [ended for ended in self.ended if ended.number > seen]
        running = tuple(
            RunningTask(task, active_run.run, active_run.checkpoint, 10, 1000.0)
            for task, active_run in self.running.items()
        )
        listed = tuple(self.ended[: self.listed_ends])
        has_more_ends = len(listed) >= self.listed_ends
        return RunnerSnapshot(self.clock(), self.born, running, listed, has_more_ends)


class LateStart(NamedTuple):
    """A start that a runner executes late, after the call timed out.

    The runner queues it, so a restart of the runner discards it.
    """

    runner: Runner
    born: int
    order: StartOrder
    deadline: int
    token: int

    def execute(self) -> None:
        # The next process may be due to begin.
        self.runner.expire()
        if self.runner.born == self.born:
            self.runner.start(self.order, self.deadline, self.token)


class Poll(NamedTuple):
    """Reply to a poll that the agent has not received yet."""

    snapshot: RunnerSnapshot
    number: int


class Agent:
    """Agent of one host; its calls to the runner may fail."""

    def __init__(self, world: "World", runner: Runner, incarnation: int) -> None:
        self.world, self.runner = world, runner
        self.state = AgentState(
            Identity(runner.name, f"{runner.name}:1", f"i{incarnation}")
        )
        self.pace = PaceController()
        self.heartbeats = 0
        self.is_polling = True
        # Whether starts wait, as calls without an answer hold up all threads for them.
        self.is_held_up = False
        self.token = int(world.now() / timedelta(milliseconds=1)) + 1000 * incarnation

    def poll_runner(self) -> None:
        if not self.is_polling:
            return
        poll = self.send_poll()
        if poll is not None:
            self.receive(poll)

    def send_poll(self) -> Poll | None:
        """Send a poll, whose reply a test may let arrive late."""
        state = self.state
        number = state.begin_poll()
        if self.runner.silent or not self.runner.listening:
            refused = not self.runner.listening
            state.mark_unanswered(number, self.world.now(), refused)
            state.expire_silent_runs(self.world.now(), refused, number)
            return None
        snapshot = self.runner.poll(
            state.compute_lease_deadline(self.world.now()),
            self.token,
            state.acknowledged_ends,
        )
        if snapshot is None:
            self.token += 5000
            return None
        if self.runner.is_heartbeat_due():
            self.heartbeats += 1
            state.update_runner(self.runner.describe(), self.heartbeats)
        return Poll(snapshot, number)

    def receive(self, poll: Poll) -> None:
        """Receive the reply to a poll."""
        self.state.apply_snapshot(poll.snapshot, self.world.now(), poll.number)
        self.carry_out_orders()

    def handle_orders(self, message: HostOrders) -> None:
        self.state.accept_orders(message, self.world.now())
        self.carry_out_orders()
        self.state.confirm_report(message)

    def carry_out_orders(self) -> None:
        """Send the stops that are due, and the starts while no call holds them up."""
        while (run := self.state.take_stop(self.world.now())) is not None:
            self.runner.stop(run.task, run.run, self.token)
        while not self.is_held_up and (waiting := self.state.take_start()):
            self.start(waiting)

    def start(self, waiting: WaitingStart) -> None:
        run, order = waiting.run, waiting.order
        if self.runner.silent or not self.runner.listening:
            self.state.mark_refused(run, "no authority")
            return
        match self.state.permit_start(waiting, self.world.now()):
            case Failure(reason):
                self.state.mark_refused(run, reason)
                return
            case Success(StartPermit(deadline, born)):
                pass
        if self.world.random.random() < self.world.late_start_probability:
            late_start = LateStart(
                self.runner, self.runner.born, order, deadline, self.token
            )
            self.world.late_starts.append(late_start)
            self.state.mark_start_unanswered(run, self.world.now(), may_have_run=True)
            self.resolve(run, born)
            return
        refusal = self.runner.start(order, deadline, self.token)
        if refusal:
            self.state.mark_refused(run, refusal)
        else:
            self.state.mark_started(run, self.world.now(), born)

    def resolve(self, run: Run, born: int) -> None:
        self.token += 1
        number = self.state.begin_poll()
        snapshot = self.runner.poll(None, self.token, 0)
        if snapshot is None:
            self.token += 5000
            snapshot = self.runner.poll(None, self.token, 0)
        assert snapshot is not None
        self.state.apply_snapshot(snapshot, self.world.now(), number)
        if any((r.task, r.run) == run for r in snapshot.running):
            self.state.mark_started(run, self.world.now(), born)
        else:
            self.state.mark_refused(run, "unanswered")


class Leader:
    """Controller that leads, or that has not noticed its replacement yet."""

    def __init__(self, world: "World", epoch: int) -> None:
        self.world = world
        self.position = 0
        self.table = JobTable()
        self.fenced = False
        # Whether reads of the log bring nothing, while appends go on.
        self.reads_stall = False
        self.cell: Cell | None = None
        self.pending: Changes | None = None
        self.epoch = epoch
        key = RecordKey(RecordKind.LEADER, "0").format()
        fence_offset = len(world.log.records)
        record = encode_record(LeaderRecord(epoch, f"leader{epoch}:1"))
        if not world.log.append([(key, record)], epoch):
            return
        self.catch_up()
        self.metrics = Metrics()
        cell = Cell(SETTINGS, world.clock, self.table, epoch, self.metrics)
        cell.catalog = CATALOG
        cell.open(fence_offset, world.now())
        cell.confirm(len(world.log.records), world.now())
        cell.window.confirm_jobs(world.now())
        self.cell = cell

    def catch_up(self) -> None:
        if self.reads_stall:
            return
        for stored in self.world.log.records[self.position :]:
            key = self.table.apply(stored)
            if self.cell is not None and key is not None:
                self.cell.apply_job(key.name)
        self.position = len(self.world.log.records)
        if self.cell is not None:
            self.cell.window.confirm_jobs(self.world.now())

    def commit(self) -> None:
        assert self.cell is not None
        began = self.world.now()
        # Like the committer, retry a failed append with the same changes.
        changes = self.pending or self.cell.take_changes()
        self.pending = changes
        records = [(c.key.format(), c.value) for c in changes.records]
        if not self.world.log.available:
            return
        if not self.world.log.append(records, self.epoch):
            self.fenced = True
            return
        self.pending = None
        self.cell.mark_durable(changes)
        self.cell.confirm(len(self.world.log.records), began)


class World:
    """The simulated cell, with the violations seen at its runners."""

    def __init__(self, seed: int, hosts: int = 3, capacity: int = 4000) -> None:
        self.random = random.Random(seed)
        self.clock = ManualClock()
        self.log = Log()
        self.loss_probability = 0.0
        self.late_start_probability = 0.0
        self.failure_probability = 0.0
        # Runners send a heartbeat with each poll by default.
        self.heartbeat_interval = timedelta()
        self.late_starts: deque[LateStart] = deque()
        self.runners = [Runner(self, f"h{i}", capacity) for i in range(hosts)]
        self.incarnations = 0
        self.agents: dict[str, Agent] = {}
        self.attached: dict[str, Leader] = {}
        self.leaders: list[Leader] = []
        self.done: set[str] = set()
        self.acknowledged_done: set[str] = set()
        self.starts: list[tuple[str, int, str]] = []
        self.violations: list[str] = []
        # Tasks that crash each runner that starts them, the crashes under each of them
        # and its starts after ``MAX_CRASHES`` crashes.
        self.deadly: set[str] = set()
        self.crashes: Counter[str] = Counter()
        self.starts_after_crashes: Counter[str] = Counter()
        self._table = JobTable()
        self._applied_records = 0
        self.jobs: list[str] = []
        for runner in self.runners:
            self.start_agent(runner)
        self.elect()

    def now(self) -> timedelta:
        return self.clock.boottime()

    def start_agent(self, runner: Runner) -> None:
        self.incarnations += 1
        self.agents[runner.name] = Agent(self, runner, self.incarnations)

    def elect(self) -> None:
        leader = Leader(self, self.log.epoch + 1)
        if leader.cell is not None:
            self.leaders.append(leader)

    @property
    def leader(self) -> Leader:
        return self.leaders[-1]

    def submit(self, *steps: Step, **changes: Any) -> str:
        job_id = f"{len(self.jobs):016x}"
        definition = JobDefinition(
            job_id, QUEUE, "spec", steps or (build_step(),), self.clock.now()
        )._replace(**changes)
        key = RecordKey(RecordKind.JOB, job_id).format()
        assert self.log.append([(key, encode_record(definition))], None)
        self.jobs.append(job_id)
        return job_id

    def cancel(self, job_id: str) -> None:
        key = RecordKey(RecordKind.CANCELLATION, job_id).format()
        assert self.log.append([(key, b"1")], None)

    # Observations at the runners

    def record_start(self, runner: Runner, order: StartOrder) -> None:
        self.starts.append((order.task, order.run, runner.name))
        for other in self.runners:
            other.expire()
            if order.task in other.running:
                self.violations.append(f"{order.task} runs twice")
        long_running = self.find_step(order.task).long_running
        if order.task in self.acknowledged_done and not long_running:
            self.violations.append(f"{order.task} starts after it was done")
        key = parse_task_key(order.task)
        assert key is not None
        used = sum(self.find_cpu(task) for task in runner.running)
        if used + self.find_cpu(order.task) > runner.allowed_capacity:
            self.violations.append(f"{runner.name} is over its capacity")
        label = self.find_step(order.task).label
        if label not in ("", runner.kind) or runner.service != QUEUE.service:
            self.violations.append(f"{order.task} starts on an unsuitable runner")
        tasks = [*runner.running, order.task]
        if sum(self.find_step(t).memory for t in tasks) > runner.allowed_memory:
            self.violations.append(f"{runner.name} is over its memory")
        for earlier in self.find_step(order.task).depends_on:
            width = self.find_steps(order.task)[earlier].width
            for index in range(width):
                name = f"{key.job_id}.{key.occurrence}.{earlier}.{index}"
                if name not in self.done:
                    self.violations.append(f"{order.task} starts before {name}")
        if self.crashes[order.task] >= MAX_CRASHES:
            self.starts_after_crashes[order.task] += 1
            if self.starts_after_crashes[order.task] > MAX_STARTS_AFTER_CRASHES:
                self.violations.append(f"{order.task} exceeds its budget of crashes")

    def find_steps(self, task: str) -> tuple[Step, ...]:
        key = parse_task_key(task)
        assert key is not None
        entry = self.table.find(key.job_id)
        assert entry is not None
        assert entry.definition is not None
        return entry.definition.steps

    @property
    def table(self) -> JobTable:
        """Return the job table built from the whole log."""
        for stored in self.log.records[self._applied_records :]:
            self._table.apply(stored)
        self._applied_records = len(self.log.records)
        return self._table

    def find_step(self, task: str) -> Step:
        key = parse_task_key(task)
        assert key is not None
        return self.find_steps(task)[key.step]

    def find_cpu(self, task: str) -> int:
        return self.find_step(task).cpu

    def record_crash(self, task: str) -> None:
        self.crashes[task] += 1

    def record_end(self, task: str, outcome: str) -> None:
        if outcome == "done":
            self.done.add(task)

    def record_acknowledged(self, ended: EndedTask) -> None:
        if ended.outcome == "done":
            self.acknowledged_done.add(ended.task)

    # Time

    def step(self) -> None:
        """Run every component once, then advance the clock by one tick."""
        for runner in self.runners:
            runner.expire()
        for leader in [entry for entry in self.leaders if not entry.fenced]:
            assert leader.cell is not None
            if self.log.available:
                leader.catch_up()
            leader.commit()
            leader.cell.process_timeouts()
            leader.cell.plan()
            for host, message in list(leader.cell.take_orders()):
                self.send(leader, host.name, message)
        for name, agent in list(self.agents.items()):
            agent.poll_runner()
            # An agent may still report to a former leader.
            leader = self.attached.get(name) or self.leader
            agent.state.refuse_outdated_starts(self.now())
            report = agent.state.build_report(self.now(), agent.pace)
            if (
                leader.cell is not None
                and self.random.random() >= self.loss_probability
            ):
                match HOSTING_CODEC.decode(HOSTING_CODEC.encode(report, "", name)):
                    case Success(delivery):
                        leader.cell.apply_report(delivery.message)
        self.clock.advance(TICK)

    def send(self, leader: Leader, name: str, message: HostOrders) -> None:
        agent = self.agents.get(name)
        if agent is None or self.random.random() < self.loss_probability:
            return
        if self.attached.get(name, self.leader) is leader:
            match HOSTING_CODEC.decode(HOSTING_CODEC.encode(message, "", "leader")):
                case Success(delivery):
                    agent.handle_orders(delivery.message)

    def run(self, seconds: float) -> None:
        for _ in range(int(timedelta(seconds=seconds) / TICK)):
            self.step()

    def find_phase(self, job_id: str) -> Phase:
        entry = self.table.find(job_id)
        assert entry is not None
        return entry.phase


def deliver(leader: Leader, report: HostReport) -> None:
    """Hand a report to a leader as it arrives over a connection."""
    assert leader.cell is not None
    encoded = HOSTING_CODEC.encode(report, "", report.host)
    leader.cell.apply_report(HOSTING_CODEC.decode(encoded).unwrap().message)


class OddRecordsPlay(NamedTuple):
    """A world after odd records: the phases of a job before and after a takeover.

    ``refused`` counts the records that the first leader refused.
    """

    world: World
    phases: tuple[Phase, Phase]
    refused: int


def play_beside_odd_jobs(definitions: Iterable[JobDefinition]) -> OddRecordsPlay:
    """Run valid jobs beside odd ones that another writer has left on the log."""
    world = World(41)
    world.run(1)
    for definition in definitions:
        key = RecordKey(RecordKind.JOB, definition.job_id).format()
        assert world.log.append([(key, encode_record(definition))], None)
    first = world.submit(build_step())
    world.run(8)
    phase, refused = world.find_phase(first), world.leader.table.refused
    world.leader.fenced = True
    world.elect()
    second = world.submit(build_step())
    world.run(12)
    return OddRecordsPlay(world, (phase, world.find_phase(second)), refused)


def lift_limit(message: HostOrders) -> HostOrders:
    """Return a message as of the previous release, whose starts may wait for long.

    Orders that are late for another reason are then not refused for their age.
    """
    return replace(message, start_seconds=None)


@contextmanager
def hold_messages(world: World, name: str) -> Iterator[list[HostOrders]]:
    """Hold up the leaders' messages to one host, and collect them."""
    held: list[HostOrders] = []
    send = world.send

    def hold(leader: Leader, host: str, message: HostOrders) -> None:
        if host == name:
            held.append(message)
        else:
            send(leader, host, message)

    with patch.object(world, "send", hold):
        yield held

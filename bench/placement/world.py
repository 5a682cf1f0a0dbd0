"""A simulated day of a cell: the leader, agents and runners under a load pattern.

The leader's decisions and the agents' control of paces are the project's own code; the
log, the runners and the network between them are simulated.
"""

import math
import random
from datetime import timedelta
from itertools import count

from bench.placement.loads import (
    BATCH,
    SERVICE,
    SERVING,
    URGENT,
    LoadGenerator,
    Pattern,
)
from bench.placement.runners import Interference, SimulatedRunner
from bench.placement.scores import JobResult, Outcome, judge
from bench.policy.world import SimulatedClock
from egretcrank.agent.pace import PaceController
from egretcrank.agent.state import AgentState, Identity
from egretcrank.observability.metrics import Metrics
from egretcrank.scheduling.catalog import Catalog, Service
from egretcrank.scheduling.cell import Cell
from egretcrank.scheduling.definitions import parse_task_key
from egretcrank.scheduling.records import RecordKey, RecordKind, encode_record
from egretcrank.scheduling.settings import CellSettings
from egretcrank.scheduling.table import JobTable, StoredValue
from egretcrank.wire.hosting import HostOrders, Run, StartOrder

TICK_SECONDS = 0.05
POLL_SECONDS = 0.25
REPORT_SECONDS = 0.5
COMMIT_SECONDS = 0.1
LEADER_GAP_SECONDS = 1.5
SLOW_SECONDS = 7.0
SLOW_SPEED = 1 / 6
POWER_LOSS_SECONDS = 1.6
SETTLING_SECONDS = 18.0
CALLER_KINDS = (RecordKind.JOB, RecordKind.CANCELLATION)
CATALOG = Catalog(
    1,
    {queue.name: queue for queue in (URGENT, BATCH, SERVING)},
    {SERVICE: Service(SERVICE)},
)


class SimulatedAgent:
    """Agent of one host, without leases: calls to its runner always succeed."""

    def __init__(self, world: "Day", runner: SimulatedRunner, number: int) -> None:
        self._world = world
        self.runner = runner
        self.state = AgentState(
            Identity(runner.name, f"{runner.name}:1", f"agent-{number}")
        )
        self.pace = PaceController()
        self._sequence = 0
        self._next_poll = 0.01 * number % POLL_SECONDS
        self._next_report = 0.0

    def work(self, now: float, ended: bool) -> bool:
        """Poll the runner and adjust paces when due; return whether to report."""
        changed = False
        if ended or now >= self._next_poll:
            changed = self._poll(now)
            self._next_poll = now + POLL_SECONDS
        if changed or now >= self._next_report:
            self._next_report = now + REPORT_SECONDS
            return True
        return False

    def _poll(self, now: float) -> bool:
        at = timedelta(seconds=now)
        self._sequence += 1
        self.state.update_runner(self.runner.describe(), self._sequence)
        poll = self.state.begin_poll()
        snapshot = self.runner.poll(now, self.state.durable_ends)
        changed = self.state.apply_snapshot(snapshot, at, poll)
        self._send_stops(at)
        for change in self.pace.adjust(
            self.state.running, self.state.profiles, self.state.raw_measurements, at
        ):
            self.runner.set_pace(change.task, change.run, change.percent, now)
        return changed

    def handle(self, message: HostOrders, now: float) -> None:
        """Apply a message of the leader."""
        at = timedelta(seconds=now)
        self.state.accept_orders(message, at)
        self._send_stops(at)
        while (waiting := self.state.take_start()) is not None:
            self._start(waiting.order, now)
        self.pace.update_shared_estimates(message.pressures)
        self.state.confirm_report(message)
        if message.orders:
            self._next_report = now

    def _send_stops(self, at: timedelta) -> None:
        while (run := self.state.take_stop(at)) is not None:
            self.runner.stop(run.task, run.run)

    def _start(self, order: StartOrder, now: float) -> None:
        key = parse_task_key(order.task)
        assert key is not None
        submission = self._world.submissions[key.job_id]
        step = submission.definition.steps[key.step]
        seconds = submission.seconds[key.step][key.position]
        self.runner.start(order, seconds, submission.phase, now, step.checkpointing)
        self.state.mark_started(
            Run(order.task, order.run), timedelta(seconds=now), self.state.born
        )


class Day:
    """One day of a load pattern."""

    def __init__(self, pattern: Pattern, seed: int, settings: CellSettings) -> None:
        self.pattern, self.settings = pattern, settings
        self._rng = random.Random(f"faults {seed}")
        self.clock = SimulatedClock()
        load = [
            s._replace(phase=self._rng.random())
            for s in LoadGenerator(pattern, seed).draw()
        ]
        self._due = load
        self.submissions = {s.definition.job_id: s for s in load}
        interference = Interference(pattern, seed)
        self._interference = interference
        self.runners = [
            SimulatedRunner(f"h{n}", n, pattern, interference)
            for n in range(pattern.hosts)
        ]
        self._numbers = count()
        self.agents = {
            r.name: SimulatedAgent(self, r, next(self._numbers)) for r in self.runners
        }
        self.table = JobTable()
        self._offset = 0
        self._epoch = 0
        self.cell: Cell | None = None
        self._leads_from = 0.0
        self.ended_at: dict[str, float] = {}
        self.failed: set[str] = set()
        self.now = 0.0
        # Cores in use by best-effort tasks after each tick, by time in seconds.
        self.best_effort_cores: list[tuple[float, float]] = []
        self._faults = self._draw_faults()

    def _draw_faults(self) -> list[tuple[float, str, SimulatedRunner | None]]:
        pattern, rng = self.pattern, self._rng
        length = pattern.length
        faults: list[tuple[float, str, SimulatedRunner | None]] = []
        for _ in range(pattern.lost_hosts):
            faults.append((rng.uniform(6, length), "restart", rng.choice(self.runners)))
        for _ in range(pattern.slow_hosts):
            at, runner = rng.uniform(6, length), rng.choice(self.runners)
            faults += [(at, "slow", runner), (at + SLOW_SECONDS, "fast", runner)]
        for _ in range(pattern.leader_changes):
            faults.append((rng.uniform(6, length), "leader", None))
        if pattern.power_loss:
            faults.append((length, "power", None))
        return sorted(faults, key=lambda fault: fault[0])

    def run(self) -> Outcome:
        """Play the day and return what it earned."""
        end = self.pattern.length + 12 + SETTLING_SECONDS
        next_commit = 0.0
        while self.now < end:
            self.clock.elapsed = timedelta(seconds=self.now)
            self._apply_faults()
            self._submit()
            ended = {r.name: r.advance(self.now, TICK_SECONDS) for r in self.runners}
            cores = sum(r.best_effort_cores for r in self.runners)
            self.best_effort_cores.append((self.now, cores))
            if self.cell is None and self.now >= self._leads_from:
                self._lead()
            for name, agent in self.agents.items():
                if agent.work(self.now, ended[name]):
                    self._report(agent)
            if self.cell is not None:
                if self.now >= next_commit:
                    self._commit()
                    next_commit = self.now + COMMIT_SECONDS
                self._decide(self.cell)
            self.now += TICK_SECONDS
        results = [
            JobResult(s, self.ended_at.get(job_id, math.inf), job_id in self.failed)
            for job_id, s in self.submissions.items()
        ]
        return judge(results, self.runners, end)

    def _apply_faults(self) -> None:
        while self._faults and self._faults[0][0] <= self.now:
            _, kind, runner = self._faults.pop(0)
            match kind:
                case "restart" if runner is not None:
                    runner.restart()
                case "slow" if runner is not None:
                    runner.speed = SLOW_SPEED
                case "fast" if runner is not None:
                    runner.speed = 1.0
                case "leader":
                    self.cell, self._leads_from = None, self.now + LEADER_GAP_SECONDS
                case "power":
                    self._lose_power()

    def _lose_power(self) -> None:
        self.cell, self._leads_from = None, self.now + 2 * POWER_LOSS_SECONDS
        for runner in self.runners:
            runner.restart()
            self.agents[runner.name] = SimulatedAgent(self, runner, next(self._numbers))

    def _append(self, key: RecordKey, value: bytes) -> None:
        self._offset += 1
        applied = self.table.apply(StoredValue(self._offset, key.format(), value))
        if applied and self.cell is not None and key.kind in CALLER_KINDS:
            self.cell.apply_job(key.name)

    def _submit(self) -> None:
        while self._due and self._due[0].at <= self.now:
            submission = self._due.pop(0)
            job_id = submission.definition.job_id
            value = encode_record(submission.definition)
            self._append(RecordKey(RecordKind.JOB, job_id), value)
        for job_id, submission in self.submissions.items():
            if self.now >= submission.ends_at and job_id not in self.ended_at:
                self.ended_at[job_id] = self.now
                self._append(RecordKey(RecordKind.CANCELLATION, job_id), b"1")

    def _lead(self) -> None:
        self._epoch += 1
        at = timedelta(seconds=self.now)
        cell = Cell(self.settings, self.clock, self.table, self._epoch, Metrics())
        cell.catalog = CATALOG
        cell.open(self._offset, at)
        cell.confirm(self._offset + 1, at)
        self.cell = cell

    def _commit(self) -> None:
        assert self.cell is not None
        changes = self.cell.take_changes()
        for change in changes.records:
            self._append(change.key, change.value)
        self.cell.mark_durable(changes)
        self.cell.confirm(self._offset + 1, timedelta(seconds=self.now))

    def _report(self, agent: SimulatedAgent) -> None:
        if self.cell is not None:
            at = timedelta(seconds=self.now)
            self.cell.apply_report(agent.state.build_report(at, agent.pace))

    def _decide(self, cell: Cell) -> None:
        cell.process_timeouts()
        cell.window.confirm_jobs(self.clock.boottime())
        cell.plan()
        for host, message in list(cell.take_orders()):
            self.agents[host.name].handle(message, self.now)
        for job_id, job in cell.jobs.items():
            if job.phase.final and job_id not in self.ended_at:
                self.ended_at[job_id] = self.now
                if job.phase.value == "failed":
                    self.failed.add(job_id)

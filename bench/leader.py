"""Measure the CPU time of the leader's scheduling by the number of hosts.

``python -m bench.leader --hosts 40 160 --seconds 20`` runs a single cell on a simulated
clock, with a load proportional to the number of hosts. For each size it prints the CPU
milliseconds that each part takes per simulated second.
"""

import argparse
import random
import time
from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from datetime import timedelta
from functools import partial
from typing import NamedTuple, TypeVar

from bench.policy.world import SimulatedClock
from egretcrank.observability.metrics import Metrics
from egretcrank.scheduling.catalog import Catalog, Queue, Service
from egretcrank.scheduling.cell import Cell
from egretcrank.scheduling.definitions import JobDefinition, Step
from egretcrank.scheduling.records import RecordKey, RecordKind, encode_record
from egretcrank.scheduling.settings import CellSettings
from egretcrank.scheduling.table import JobTable, StoredValue
from egretcrank.wire.hosting import (
    HOSTING_CODEC,
    EndedTask,
    HostOrders,
    HostReport,
    RunnerInfo,
    RunningTask,
    StartOrder,
    find_job,
)

START = timedelta(seconds=100)
TICK = timedelta(milliseconds=25)
REPORT_INTERVAL = timedelta(milliseconds=500)
FULL_REPORT_INTERVAL = timedelta(seconds=1)
HOST_MILLICORES = 16000
HOST_MEMORY_MB = 64000
HOSTS_PER_RACK = 8
# Offered CPU load as a fraction of the capacity of all hosts.
OFFERED_LOAD = 0.85
# Fractions of short urgent jobs and of wide jobs with checkpoints; the rest are
# long-running tasks that serve requests.
URGENT_JOB_FRACTION = 0.62
WIDE_JOB_FRACTION = 0.36

ResultT = TypeVar("ResultT")


class _Run(NamedTuple):
    run: int
    ends_at: timedelta
    cpu: int


class _Host:
    """Simulated agent and runner of one host."""

    def __init__(self, name: str, rack: str, phase: float) -> None:
        self.name = name
        self.runner_info = RunnerInfo(
            name,
            1,
            "s",
            "z",
            rack,
            ("a", rack),
            HOST_MILLICORES,
            HOST_MEMORY_MB,
            0,
            False,
            0.0,
        )
        self.running: dict[str, _Run] = {}
        self.ended: list[EndedTask] = []
        self.specs: dict[str, str] = {}
        self.end_count = 0
        self.epoch = self.session = self.applied = self.sequence = 0
        self.next_report_at = START + timedelta(seconds=phase)
        self.last_full_at = timedelta()
        self.report_due = False

    def apply_orders(self, message: HostOrders, now: timedelta) -> None:
        if (message.epoch, message.session) != (self.epoch, self.session):
            self.epoch, self.session = message.epoch, message.session
            self.applied = 0
            self.report_due = True
            self.last_full_at = timedelta()
        self.ended = [e for e in self.ended if e.number > message.durable_ends]
        self.specs.update(message.specs)
        for order in message.orders:
            if order.number != self.applied + 1:
                continue
            self.applied = order.number
            self.report_due = True
            match order.start:
                case StartOrder(task, run):
                    spec = self.specs[find_job(task)]
                    seconds = float(spec.partition(" ")[0])
                    ends_at = now + timedelta(seconds=seconds)
                    self.running[task] = _Run(run, ends_at, order.start.profile.cpu)
                case None if order.stop is not None:
                    self.running.pop(order.stop.task, None)

    def end_finished_runs(self, now: timedelta) -> None:
        for task, run in list(self.running.items()):
            if now >= run.ends_at:
                del self.running[task]
                self.end_count += 1
                self.ended.append(EndedTask(self.end_count, task, run.run, "done", ""))
                self.report_due = True

    def build_report(self, now: timedelta) -> HostReport:
        self.sequence += 1
        self.report_due = False
        self.next_report_at = now + REPORT_INTERVAL
        full = now - self.last_full_at >= FULL_REPORT_INTERVAL
        if full:
            self.last_full_at = now
        running = tuple(
            RunningTask(task, run.run, f"{run.run:016x}", 40, float(run.cpu))
            for task, run in self.running.items()
        )
        return HostReport(
            host=self.name,
            address=self.name,
            incarnation="i",
            sequence=self.sequence,
            epoch=self.epoch,
            session=self.session,
            applied=self.applied,
            sent_at=now.total_seconds(),
            runner=self.runner_info,
            full=full,
            running=running if full else (),
            ended=tuple(self.ended),
        )


class Timer:
    """Accumulates CPU seconds and calls by part."""

    def __init__(self) -> None:
        self.seconds: defaultdict[str, float] = defaultdict(float)
        self.calls: Counter[str] = Counter()

    def run(self, part: str, call: Callable[[], ResultT]) -> ResultT:
        """Run a call and add its CPU time to a part."""
        started_at = time.process_time()
        result = call()
        self.seconds[part] += time.process_time() - started_at
        self.calls[part] += 1
        return result


def _build_steps(rng: random.Random) -> tuple[Queue, str, tuple[Step, ...]]:
    sample = rng.random()
    if sample < URGENT_JOB_FRACTION:
        steps = [Step(max(1, int(rng.expovariate(1 / 9))), 950, 1900, 0, _seconds(1.0))]
        return QUEUES["urgent"], "1.0 " + "x" * 300, tuple(steps)
    if sample < URGENT_JOB_FRACTION + WIDE_JOB_FRACTION:
        width = max(4, int(rng.gauss(39, 20)))
        first = Step(
            width,
            1800,
            3200,
            0,
            _seconds(1.7),
            checkpointing=True,
            image=f"w{rng.randrange(30)}",
            best_effort=True,
        )
        return (
            QUEUES["wide"],
            "1.7 " + "x" * 2400,
            (first, first._replace(depends_on=(0,))),
        )
    step = Step(
        12,
        1600,
        3200,
        0,
        _seconds(0.5),
        long_running=True,
        image=f"s{rng.randrange(16)}",
        target=timedelta(milliseconds=150),
    )
    return QUEUES["lasting"], "30 " + "x" * 2400, (step,)


def _seconds(seconds: float) -> timedelta:
    return timedelta(seconds=seconds)


def _build_queue(name: str, priority: int) -> Queue:
    return Queue(name, "h", f"/{name}/", "s", priority, 3, 2.0, _seconds(1.0))


QUEUES = {
    "urgent": _build_queue("urgent", 0),
    "wide": _build_queue("wide", 2),
    "lasting": _build_queue("lasting", 0),
}


def measure(hosts: int, seconds: float, seed: int) -> dict[str, float]:
    """Return CPU milliseconds per second by part, rates per second and open jobs."""
    rng = random.Random(seed)
    clock = SimulatedClock()
    # Starts above zero, because reports and leases refer to earlier times.
    clock.elapsed = START
    table = JobTable()
    cell = Cell(CellSettings(), clock, table, 1, Metrics())
    cell.catalog = Catalog(1, QUEUES, {"s": Service("s")})
    cell.open(0, clock.boottime())
    simulated_hosts = {
        f"h{n}": _Host(f"h{n}", f"r{n // HOSTS_PER_RACK}", rng.random() / 2)
        for n in range(hosts)
    }
    timer = Timer()
    offset = starts = sent_bytes = 0
    capacity = hosts * HOST_MILLICORES / 1000
    unsubmitted_work = 0.0
    end = clock.elapsed + timedelta(seconds=seconds)
    while clock.elapsed < end:
        now = clock.elapsed
        unsubmitted_work += OFFERED_LOAD * capacity * TICK.total_seconds()
        while unsubmitted_work > 0:
            queue, spec, steps = _build_steps(rng)
            job = f"{rng.getrandbits(64):016x}"
            definition = JobDefinition(job, queue, spec, steps, clock.now())
            duration = float(spec.partition(" ")[0])
            unsubmitted_work -= sum(s.width * s.cpu / 1000 * duration for s in steps)
            key = RecordKey(RecordKind.JOB, job).format()
            record = StoredValue(offset, key, encode_record(definition))
            offset += 1
            timer.run("fold", partial(_apply_job_record, cell, table, record, job))
        cell.confirm(offset, now)
        cell.window.confirm_jobs(now)
        for host in simulated_hosts.values():
            host.end_finished_runs(now)
            if now >= host.next_report_at or host.report_due:
                data = HOSTING_CODEC.encode(host.build_report(now), "", host.name)
                delivery = timer.run("decode", partial(HOSTING_CODEC.decode, data))
                report = delivery.unwrap().message
                timer.run("report", partial(cell.apply_report, report))
        timer.run("time", cell.process_timeouts)
        timer.run("plan", cell.plan)
        orders = timer.run("orders", lambda: list(cell.take_orders()))
        for target, message in orders:
            starts += sum(order.start is not None for order in message.orders)
            encode = partial(HOSTING_CODEC.encode, message, "", "c")
            sent_bytes += len(timer.run("encode", encode))
            simulated_hosts[target.name].apply_orders(message, now)
        changes = timer.run("changes", cell.take_changes)
        timer.run("durable", partial(cell.mark_durable, changes))
        clock.elapsed += TICK
    result = {
        part: 1000 * cpu_seconds / seconds
        for part, cpu_seconds in sorted(timer.seconds.items())
    }
    result["total"] = sum(result.values())
    result["sent_kilobytes"] = sent_bytes / 1000 / seconds
    result["starts"] = starts / seconds
    result["reports"] = timer.calls["report"] / seconds
    result["open_jobs"] = sum(not job.phase.final for job in cell.jobs.values())
    return result


def _apply_job_record(
    cell: Cell, table: JobTable, record: StoredValue, job: str
) -> None:
    table.apply(record)
    cell.apply_job(job)


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the benchmark from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hosts", type=int, nargs="+", default=[40, 160, 300])
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(arguments)
    for hosts in options.hosts:
        figures = measure(hosts, options.seconds, options.seed)
        text = " ".join(f"{name}={value:.1f}" for name, value in figures.items())
        print(f"hosts={hosts} {text}", flush=True)


if __name__ == "__main__":
    main()

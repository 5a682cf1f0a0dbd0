"""Simulated runners: tasks that share processors and interfere with each other."""

import math
import random
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass

from bench.placement.loads import Pattern
from egretcrank.platform.runner import RunnerSnapshot
from egretcrank.wire.hosting import EndedTask, RunnerInfo, RunningTask, StartOrder

HOST_MILLICORES = 16000
HOST_MEMORY_MB = 64000
# Each host at this interval has 1.5 times the processors of the others.
LARGE_HOST_INTERVAL = 3
TAIL_AVERAGING_SECONDS = 0.45
USAGE_AVERAGING_SECONDS = 0.25
PACE_DELAY_SECONDS = 0.1
CHECKPOINT_SECONDS = 1.0
SERVING_START_SECONDS = 0.5
MAX_UTILIZATION = 0.985
USAGE_NOISE = 0.05


class Interference:
    """Actual pressures of best-effort images on serving images."""

    def __init__(self, pattern: Pattern, seed: int) -> None:
        rng = random.Random(f"interference {seed}")
        self.pressures: dict[tuple[str, str], float] = {}
        for batch in range(pattern.batch_images):
            for serving in range(pattern.serving_images):
                heavy = rng.random() < pattern.heavy_share
                mean = pattern.heavy_pressure if heavy else pattern.light_pressure
                pair = (f"batch-{batch}", f"serving-{serving}")
                self.pressures[pair] = mean * rng.uniform(0.6, 1.5)

    def find(self, batch: str, serving: str) -> float:
        """Return the utilization that each core of ``batch`` adds to ``serving``."""
        return self.pressures[batch, serving]


@dataclass(slots=True)
class TaskRun:
    """A run of a task on a simulated runner; times in seconds."""

    order: StartOrder
    seconds: float
    phase: float
    started_at: float
    progress: float
    checkpointing: bool
    fails_at: float = math.inf
    percent: float = 100.0
    due_percent: float = 100.0
    percent_due_at: float = math.inf
    restoring_until: float = 0.0
    usage: float = 0.0
    tail: float = 0.0
    over_seconds: float = 0.0


@dataclass(slots=True)
class ServingTime:
    """Seconds for which serving tasks were at work, and over their target."""

    working: float = 0.0
    over: float = 0.0
    over_by_others: float = 0.0


class SimulatedRunner:
    """Runner of one host."""

    def __init__(
        self, name: str, number: int, pattern: Pattern, interference: Interference
    ) -> None:
        self.name = name
        self._pattern = pattern
        self._interference = interference
        self._rng = random.Random(f"runner {name}")
        large = number % LARGE_HOST_INTERVAL == LARGE_HOST_INTERVAL - 1
        self.capacity = HOST_MILLICORES * 3 // 2 if large else HOST_MILLICORES
        self.rack = f"r{number // pattern.rack_size}"
        self.born = 1
        self.speed = 1.0
        self.silent = False
        self.runs: dict[tuple[str, int], TaskRun] = {}
        self.ended: list[EndedTask] = []
        self._ended_count = 0
        self.serving_time: dict[str, ServingTime] = {}
        self.lost_work = 0.0
        self.best_effort_cores = 0.0

    def describe(self) -> RunnerInfo:
        """Return what the runner says of itself."""
        return RunnerInfo(
            self.name,
            self.born,
            "s",
            "zone",
            self.rack,
            ("a", self.rack),
            self.capacity,
            HOST_MEMORY_MB,
            0,
            False,
            0.0,
        )

    def restart(self) -> None:
        """Lose all runs, as after a crash."""
        self.born += 1
        for run in self.runs.values():
            if math.isfinite(run.seconds):
                kept = self._find_saved(run, False)
                cores = run.order.profile.cpu / 1000
                self.lost_work += (run.progress - kept) * run.seconds * cores
        self.runs.clear()
        self.ended.clear()
        self._ended_count = 0

    def start(
        self,
        order: StartOrder,
        seconds: float,
        phase: float,
        now: float,
        checkpointing: bool,
    ) -> None:
        """Start a run; its checkpoint holds its progress."""
        progress = float(order.checkpoint) if order.checkpoint else 0.0
        run = TaskRun(order, seconds, phase, now, progress, checkpointing)
        if order.checkpoint:
            run.restoring_until = now + self._pattern.restore_seconds
        if math.isinf(seconds):
            run.restoring_until = now + SERVING_START_SECONDS
        elif self._rng.random() < self._pattern.failure_share:
            run.fails_at = progress + (1 - progress) * self._rng.random()
        self.runs[order.task, order.run] = run

    def stop(self, task: str, run: int) -> None:
        """Stop a run, which saves its progress if it can."""
        found = self.runs.get((task, run))
        if found is not None:
            self._end(found, "stopped")

    def set_pace(self, task: str, run: int, percent: int, now: float) -> None:
        """Set the pace of a run after the runner's delay."""
        found = self.runs.get((task, run))
        if found is not None:
            found.due_percent = percent
            found.percent_due_at = now + PACE_DELAY_SECONDS

    def _find_saved(self, run: TaskRun, at_stop: bool) -> float:
        if not run.checkpointing:
            return 0.0
        if at_stop:
            return run.progress
        unit = CHECKPOINT_SECONDS / run.seconds
        return math.floor(run.progress / unit) * unit

    def _end(self, run: TaskRun, outcome: str) -> None:
        del self.runs[run.order.task, run.order.run]
        self._ended_count += 1
        saved = ""
        if outcome == "stopped" and run.checkpointing and math.isfinite(run.seconds):
            saved = f"{run.progress:.6f}"
        elif outcome != "done" and math.isfinite(run.seconds):
            self.lost_work += run.progress * run.seconds * run.order.profile.cpu / 1000
        self.ended.append(
            EndedTask(self._ended_count, run.order.task, run.order.run, outcome, saved)
        )

    def advance(self, now: float, seconds: float) -> bool:
        """Let all runs work for a while; return whether one has ended."""
        serving = [r for r in self.runs.values() if r.order.profile.target_milliseconds]
        batch = [r for r in self.runs.values() if r.order.profile.best_effort]
        for run in batch:
            if now >= run.percent_due_at:
                run.percent, run.percent_due_at = run.due_percent, math.inf
        loads = {id(run): self._find_load(run, now) for run in serving}
        used = sum(
            loads[id(run)] * run.order.profile.cpu
            if run.order.profile.target_milliseconds
            else run.order.profile.cpu
            for run in self.runs.values()
            if not run.order.profile.best_effort
        )
        wanted = {
            id(run): run.order.profile.cpu * run.percent / 100
            for run in batch
            if now >= run.restoring_until
        }
        total = sum(wanted.values())
        scale = min(1.0, max(0.0, self.capacity - used) / total) if total else 0.0
        cores: defaultdict[str, float] = defaultdict(float)
        for run in batch:
            run_cores = wanted.get(id(run), 0.0) * scale / 1000
            cores[run.order.profile.image] += run_cores
            weight = 1 - math.exp(-seconds / USAGE_AVERAGING_SECONDS)
            run.usage += weight * (run_cores * 1000 - run.usage)
            run.progress += (
                run_cores * 1000 / run.order.profile.cpu / run.seconds * seconds
            ) * self.speed
        self.best_effort_cores = sum(cores.values())
        self._advance_serving(serving, loads, cores, now, seconds)
        ended = False
        for run in list(self.runs.values()):
            if math.isinf(run.seconds):
                continue
            if not run.order.profile.best_effort:
                run.progress += seconds / run.seconds * self.speed
            if run.progress >= run.fails_at:
                self._end(run, "failed")
                ended = True
            elif run.progress >= 1:
                self._end(run, "done")
                ended = True
        return ended

    def _find_load(self, run: TaskRun, now: float) -> float:
        pattern = self._pattern
        angle = 2 * math.pi * (now / pattern.swing_period + run.phase)
        return pattern.serving_load * (1 + pattern.swing * math.sin(angle))

    def _advance_serving(
        self,
        serving: list[TaskRun],
        loads: dict[int, float],
        cores: Mapping[str, float],
        now: float,
        seconds: float,
    ) -> None:
        for run in serving:
            profile = run.order.profile
            own = loads[id(run)]
            induced = sum(
                self._interference.find(image, profile.image) * amount
                for image, amount in cores.items()
            )
            unloaded = self._pattern.unloaded_ratio
            ratio = unloaded / (1 - min(MAX_UTILIZATION, own + induced))
            alone = unloaded / (1 - own)
            weight = 1 - math.exp(-seconds / TAIL_AVERAGING_SECONDS)
            tail = ratio * profile.target_milliseconds
            run.tail += weight * (tail - run.tail) if run.tail else tail
            time = self.serving_time.setdefault(run.order.task, ServingTime())
            if now < run.restoring_until:
                continue
            time.working += seconds
            if ratio > 1:
                time.over += seconds
                time.over_by_others += seconds if alone <= 1 else 0.0

    def poll(self, now: float, acknowledged: int) -> RunnerSnapshot:
        """Return the running and ended tasks."""
        self.ended = [e for e in self.ended if e.number > acknowledged]
        running = tuple(
            RunningTask(
                run.order.task,
                run.order.run,
                self._build_checkpoint(run),
                0 if math.isinf(run.seconds) else int(run.progress * 100),
                self._measure(run),
            )
            for run in self.runs.values()
        )
        return RunnerSnapshot(int(now * 1000), self.born, running, tuple(self.ended))

    def _build_checkpoint(self, run: TaskRun) -> str:
        if not run.checkpointing or math.isinf(run.seconds):
            return ""
        saved = self._find_saved(run, False)
        return f"{saved:.6f}" if saved else ""

    def _measure(self, run: TaskRun) -> float:
        if run.order.profile.target_milliseconds:
            return float(round(run.tail))
        if run.order.profile.best_effort:
            return round(run.usage * self._rng.gauss(1, USAGE_NOISE))
        return float(run.order.profile.cpu)

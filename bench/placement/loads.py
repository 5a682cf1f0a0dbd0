"""Load patterns: the jobs that callers submit, and the faults that hosts suffer."""

import math
import random
from datetime import UTC, datetime, timedelta
from typing import NamedTuple

from egretcrank.scheduling.catalog import Queue
from egretcrank.scheduling.definitions import JobDefinition, Step

EPOCH = datetime(2026, 1, 1, tzinfo=UTC)
SERVICE = "s"
URGENT = Queue("urgent", "h", "/u/", SERVICE, 0, 3, 1.5, timedelta(milliseconds=250))
BATCH = Queue("batch", "h", "/b/", SERVICE, 2, 4, 2.0, timedelta(seconds=1))
SERVING = Queue("serving", "h", "/s/", SERVICE, 0, 2, 2.2, timedelta(seconds=2.5))
MIN_STEP_SECONDS = 0.3


class Pattern(NamedTuple):
    """Load and faults of a simulated deployment.

    Widths and durations are means. ``estimate_error`` is the deviation of the logarithm
    of estimates over actual durations. A serving task's load swings around
    ``serving_load`` by ``swing`` of it in ``swing_period`` seconds; its tail latency
    without load is ``unloaded_ratio`` of its target. ``heavy_share`` of the image pairs
    interfere by ``heavy_pressure`` for each core, the others by ``light_pressure``.
    """

    name: str
    hosts: int = 11
    rack_size: int = 3
    length: float = 34.0
    serving_jobs: int = 9
    serving_width: float = 6.0
    serving_images: int = 5
    serving_load: float = 0.43
    swing: float = 0.5
    swing_period: float = 10.0
    unloaded_ratio: float = 0.22
    target_ms: float = 18.0
    batch_rate: float = 0.45
    batch_burst: float = 1.0
    batch_width: float = 8.0
    batch_seconds: float = 4.8
    batch_images: int = 9
    heavy_share: float = 0.35
    heavy_pressure: float = 0.11
    light_pressure: float = 0.01
    estimate_error: float = 0.6
    urgent_rate: float = 2.2
    urgent_width: float = 6.0
    urgent_seconds: float = 2.0
    urgent_cpu: float = 240.0
    failure_share: float = 0.05
    restore_seconds: float = 0.1
    lost_hosts: int = 1
    slow_hosts: int = 1
    leader_changes: int = 1
    power_loss: bool = True


PATTERNS = (
    Pattern("uncertain-estimates"),
    Pattern(
        "deep-swings",
        serving_load=0.48,
        swing=0.6,
        unloaded_ratio=0.167,
        target_ms=24.0,
        estimate_error=0.2,
        batch_rate=0.8,
        batch_seconds=3.4,
        urgent_rate=3.5,
        urgent_seconds=1.28,
    ),
    Pattern(
        "slow-swings",
        serving_load=0.48,
        swing_period=20.0,
        unloaded_ratio=0.167,
        target_ms=150.0,
        estimate_error=0.4,
        heavy_share=0.45,
        restore_seconds=0.6,
        urgent_rate=3.5,
        urgent_seconds=1.28,
    ),
    Pattern("overload", batch_rate=0.9, batch_burst=1.6, heavy_share=0.5),
    Pattern(
        "wide-steps",
        hosts=24,
        rack_size=8,
        serving_jobs=9,
        serving_width=14.0,
        serving_images=10,
        batch_rate=0.45,
        batch_width=20.0,
        batch_images=18,
        heavy_share=0.35,
        urgent_rate=2.2,
        urgent_width=10.0,
        urgent_cpu=380.0,
    ),
)


class Submission(NamedTuple):
    """A job that a caller submits.

    ``seconds`` holds the actual duration of each task by step, and ``ends_at`` the time
    at which its caller cancels it.
    """

    at: float
    definition: JobDefinition
    seconds: tuple[tuple[float, ...], ...]
    phase: float = 0.0
    ends_at: float = math.inf

    @property
    def work(self) -> float:
        """Return the core-seconds of all tasks."""
        return sum(
            step.cpu / 1000 * sum(seconds)
            for step, seconds in zip(self.definition.steps, self.seconds, strict=True)
        )

    @property
    def objective(self) -> float:
        """Return the seconds within which the job is on time."""
        queue = self.definition.queue
        chain = sum(max(seconds) for seconds in self.seconds)
        return queue.stretch * chain + queue.target_latency.total_seconds()


class LoadGenerator:
    """Draws the submissions of one day."""

    def __init__(self, pattern: Pattern, seed: int) -> None:
        self._pattern = pattern
        self._rng = random.Random(f"load {seed}")
        self._count = 0

    def draw(self) -> list[Submission]:
        """Return all submissions of a day, by time."""
        pattern, rng = self._pattern, self._rng
        found = [
            self._draw_serving(rng.uniform(0, 0.2)) for _ in range(pattern.serving_jobs)
        ]
        found += [self._draw_batch(rng.uniform(0.5, 1.5)) for _ in range(3)]
        for rate, draw in (
            (pattern.urgent_rate, self._draw_urgent),
            (pattern.batch_rate, self._draw_batch),
            (0.025 * pattern.hosts / 11, self._draw_serving),
        ):
            at = 6.0
            while at < pattern.length + 12:
                burst = 15 < at < 21 and draw == self._draw_batch
                at += rng.expovariate(rate * (pattern.batch_burst if burst else 1.0))
                found.append(draw(at))
        return sorted(found, key=lambda submission: submission.at)

    def _draw(self, mean: float, spread: float, limit: float) -> float:
        """Draw from a log-normal distribution with the given mean and limit."""
        sigma = math.sqrt(math.log(1 + spread**2))
        drawn = self._rng.lognormvariate(math.log(mean) - sigma**2 / 2, sigma)
        return min(drawn, limit)

    def _draw_serving(self, at: float) -> Submission:
        pattern, rng = self._pattern, self._rng
        width = max(1, round(self._draw(pattern.serving_width, 0.4, 12)))
        step = Step(
            width,
            int(round(self._draw(3200, 0.25, 5100), -1)),
            int(self._draw(6400, 0.3, 13000)),
            0,
            timedelta(seconds=0.5),
            spread_limit=rng.choice((0, 0, 1, 2)),
            long_running=True,
            image=f"serving-{rng.randrange(pattern.serving_images)}",
            target=timedelta(milliseconds=pattern.target_ms),
        )
        ends_at = at + self._draw(70, 0.5, 210)
        return self._submit(
            at, SERVING, [step], [(math.inf,) * width], rng.random(), ends_at
        )

    def _draw_batch(self, at: float) -> Submission:
        pattern, rng = self._pattern, self._rng
        steps: list[Step] = []
        seconds: list[tuple[float, ...]] = []
        for number in range(max(1, round(self._draw(2.0, 0.4, 5)))):
            width = max(1, round(self._draw(pattern.batch_width, 0.6, 32)))
            mean = max(MIN_STEP_SECONDS, self._draw(pattern.batch_seconds, 0.5, 13.6))
            seconds.append(
                tuple(mean * rng.lognormvariate(0, 0.15) for _ in range(width))
            )
            error = rng.lognormvariate(0, pattern.estimate_error)
            steps.append(
                Step(
                    width,
                    int(round(self._draw(1800, 0.3, 3500), -1)),
                    int(self._draw(3200, 0.3, 6400)),
                    0,
                    timedelta(seconds=round(mean * error, 3)),
                    depends_on=(number - 1,) if number else (),
                    checkpointing=rng.random() < 0.85,
                    image=f"batch-{rng.randrange(pattern.batch_images)}",
                    best_effort=True,
                )
            )
        return self._submit(at, BATCH, steps, seconds)

    def _draw_urgent(self, at: float) -> Submission:
        pattern, rng = self._pattern, self._rng
        steps: list[Step] = []
        seconds: list[tuple[float, ...]] = []
        for number in range(max(1, round(self._draw(1.6, 0.4, 4)))):
            width = max(1, round(self._draw(pattern.urgent_width, 0.8, 36)))
            mean = max(MIN_STEP_SECONDS, self._draw(pattern.urgent_seconds, 0.5, 5.0))
            seconds.append(
                tuple(mean * rng.lognormvariate(0, 0.3) for _ in range(width))
            )
            error = rng.lognormvariate(0, pattern.estimate_error)
            steps.append(
                Step(
                    width,
                    max(10, int(round(self._draw(pattern.urgent_cpu, 0.45, 720), -1))),
                    int(self._draw(480, 0.3, 960)),
                    0,
                    timedelta(seconds=round(mean * error, 3)),
                    depends_on=(number - 1,) if number else (),
                )
            )
        return self._submit(at, URGENT, steps, seconds)

    def _submit(
        self,
        at: float,
        queue: Queue,
        steps: list[Step],
        seconds: list[tuple[float, ...]],
        phase: float = 0.0,
        ends_at: float = math.inf,
    ) -> Submission:
        self._count += 1
        job_id = f"{self._count:016x}"
        submitted_at = EPOCH + timedelta(seconds=at)
        definition = JobDefinition(job_id, queue, "", tuple(steps), submitted_at)
        return Submission(at, definition, tuple(seconds), phase, ends_at)

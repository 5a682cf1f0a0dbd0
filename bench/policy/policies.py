"""The baselines, and the adapter of the real policy."""

import random
from collections.abc import Callable, Sequence

from bench.policy.targets import find_p99_target
from bench.policy.world import Start, World, measure_base
from egretcrank.policy.interference import UsageReport
from egretcrank.policy.placement import (
    HostView,
    Placement,
    RunningTask,
    Wait,
    WaitingTask,
)
from egretcrank.policy.quotas import Quota
from egretcrank.policy.reaction import Action, Evict, Throttle
from egretcrank.policy.scheduler import Outcome, Scheduler
from egretcrank.wire.messages import Resources
from egretcrank.wire.resources import fits

# Measured slowdown at which the reactive baseline evicts, and how often it does.
REACTIVE_SLOWDOWN = 0.5
# The interval covers the longest lag of a report, so that one slow period does not
# cause two evictions.
REACTIVE_INTERVAL_SECONDS = 80.0

# The oracle uses this share of the slowdown that the target of a deployment allows.
ORACLE_BUDGET_SHARE = 0.85
# Of 0.2, 0.6, 0.8 and 1.0, 0.6 gave the most throughput on seeds 1 to 5.
ORACLE_START_SHARE = 0.6
ORACLE_LOWEST_SHARE = 0.05
ORACLE_LOOKAHEAD_SECONDS = 600.0

Choose = Callable[[WaitingTask, list[HostView]], HostView]


def add_start(host: HostView, task: WaitingTask, start: Start) -> HostView:
    """Return the view of a host after one more start."""
    free, reserved = host.free, start.reserved
    running = RunningTask(task.task, task.job, task.kind, reserved, start.share)
    return host._replace(
        free=Resources(
            free.processors - reserved.processors,
            free.memory_mib - reserved.memory_mib,
            free.accelerators - reserved.accelerators,
        ),
        tasks=(*host.tasks, running),
    )


class Baseline:
    """Places by declared size, in order of arrival, on a host that ``choose`` picks."""

    def __init__(self, choose: Choose) -> None:
        self._choose = choose

    def start(
        self, waiting: Sequence[WaitingTask], hosts: Sequence[HostView]
    ) -> list[Start]:
        """Start every task that fits somewhere."""
        views = {host.host: host for host in hosts}
        starts: list[Start] = []
        full: set[str] = set()
        for task in waiting:
            if task.kind in full:
                continue
            options = [h for h in views.values() if fits(task.declared, h.free)]
            if not options:
                full.add(task.kind)
                continue
            host = self._choose(task, options)
            start = Start(task.task, host.host, task.declared)
            views[host.host] = add_start(host, task, start)
            starts.append(start)
        return starts

    def react(self, hosts: Sequence[HostView]) -> Sequence[Action]:
        """Do nothing."""
        return ()

    def observe(self, report: UsageReport) -> None:
        """Ignore the report."""

    def record_start(self, task: WaitingTask, start: Start) -> None:
        """Ignore the start."""

    def record_share(self, task: str, share: float) -> None:
        """Ignore the share."""

    def record_checkpoint(self, task: str) -> None:
        """Ignore the checkpoint."""

    def record_end(self, task: str, outcome: Outcome) -> None:
        """Ignore the end."""


class Reactive(Baseline):
    """Packs, and evicts the newest task of a host that was measured to be slow.

    It knows the latency of the service alone at the measured load, and starts nothing
    on a host that was slow in the newest report.
    """

    def __init__(self, world: World) -> None:
        super().__init__(choose_fullest)
        self._world = world
        self._slow: set[str] = set()
        self._acted: dict[str, float] = {}

    def start(
        self, waiting: Sequence[WaitingTask], hosts: Sequence[HostView]
    ) -> list[Start]:
        """Start every task that fits on a host that was not slow."""
        return super().start(
            waiting, [host for host in hosts if host.host not in self._slow]
        )

    def observe(self, report: UsageReport) -> None:
        """Note whether the host was slow."""
        slowdown = report.latency / 20.0 / measure_base(report.load) - 1.0
        if slowdown > REACTIVE_SLOWDOWN:
            self._slow.add(report.host)
        else:
            self._slow.discard(report.host)

    def react(self, hosts: Sequence[HostView]) -> Sequence[Action]:
        """Evict one task from each slow host."""
        time = self._world.clock.elapsed.total_seconds()
        actions = []
        for host in hosts:
            last = self._acted.get(host.host, -REACTIVE_INTERVAL_SECONDS)
            rested = time - last >= REACTIVE_INTERVAL_SECONDS
            if host.host in self._slow and host.tasks and rested:
                self._acted[host.host] = time
                actions.append(Evict(host.tasks[-1].task, host.host, "slow"))
        return actions


class Oracle(Baseline):
    """Knows the table, the true sizes, the load to come and the bad hosts."""

    def __init__(self, world: World) -> None:
        super().__init__(choose_fullest)
        self._world = world
        target = find_p99_target(world.scenario.deployment.name)
        self._budget = ORACLE_BUDGET_SHARE * (target - 1.0)

    def start(
        self, waiting: Sequence[WaitingTask], hosts: Sequence[HostView]
    ) -> list[Start]:
        """Start each task where it does least harm now and during the next minutes."""
        time = self._world.clock.elapsed.total_seconds()
        holes = self._world.scenario.black_holes
        bad = {hole.host for hole in holes if hole.start <= time < hole.end}
        views = {host.host: host for host in hosts if host.host not in bad}
        starts: list[Start] = []
        full: set[str] = set()
        for task in waiting:
            actual = self._world.find_actual(task.task)
            if actual.broken or task.kind in full:
                continue
            options = [
                (-share, view.free.processors, view.host)
                for view in views.values()
                if fits(actual.used, view.free)
                for share in [self._find_share(task, view, time)]
                if share >= ORACLE_START_SHARE
            ]
            if not options:
                full.add(task.kind)
                continue
            share, _, name = min(options)
            start = Start(task.task, name, actual.used, -share)
            views[name] = add_start(views[name], task, start)
            starts.append(start)
        return starts

    def react(self, hosts: Sequence[HostView]) -> Sequence[Action]:
        """Set shares so that each service stays within the budget."""
        actions: list[Action] = []
        for host in hosts:
            harms = {t.task: self._measure_pair(t.kind, host) for t in host.tasks}
            left = self._budget
            for task in sorted(host.tasks, key=lambda t: (harms[t.task], t.task)):
                harm = harms[task.task]
                share = 1.0 if harm <= left else max(ORACLE_LOWEST_SHARE, left / harm)
                left = max(0.0, left - harm * share)
                if share != task.share:
                    actions.append(Throttle(task.task, host.host, share, "known"))
        return actions

    def _measure_pair(self, kind: str, host: HostView) -> float:
        pair = self._world.scenario.table[kind, host.service]
        return pair.measure(host.load, 1.0)

    def _find_share(self, task: WaitingTask, host: HostView, time: float) -> float:
        """Return the mean share that the host has room for in the next minutes."""
        table = self._world.scenario.table
        own = table[task.kind, host.service]
        others = [table[running.kind, host.service] for running in host.tasks]
        shares = []
        for step in range(5):
            later = time + ORACLE_LOOKAHEAD_SECONDS * step / 4
            load = self._world.measure_load(host.host, later)
            left = self._budget - sum(pair.measure(load, 1.0) for pair in others)
            harm = own.measure(load, 1.0)
            shares.append(1.0 if harm <= left else max(0.0, left / harm))
        return min(shares[0], sum(shares) / len(shares))


class Egretcrank:
    """Feeds the real scheduler as a job owner would."""

    def __init__(self, world: World, seed: int) -> None:
        weights = world.scenario.deployment.weights
        rng = random.Random(f"policy-{seed}")
        self._scheduler = Scheduler(world.clock, rng, weights)
        self._final: set[str] = set()
        total = Resources(
            sum(host.capacity.processors for host in world.scenario.hosts)
        )
        self._quotas = {f"c{index}": Quota(total) for index in range(4)}

    def start(
        self, waiting: Sequence[WaitingTask], hosts: Sequence[HostView]
    ) -> list[Start]:
        """Place the waiting tasks in order, until their kind must wait."""
        views = {host.host: host for host in hosts}
        starts: list[Start] = []
        held: set[str] = set()
        candidates = [task for task in waiting if task.task not in self._final]
        for task in self._scheduler.order(candidates, self._quotas):
            if task.kind in held:
                continue
            match self._scheduler.place(task, list(views.values())):
                case Placement(host=host, reserved=reserved, share=share):
                    start = Start(task.task, host, reserved, share)
                    views[host] = add_start(views[host], task, start)
                    starts.append(start)
                case Wait(final=True):
                    self._final.add(task.task)
                case Wait():
                    held.add(task.kind)
        return starts

    def react(self, hosts: Sequence[HostView]) -> Sequence[Action]:
        """Pass on the reaction."""
        return self._scheduler.react(hosts)

    def observe(self, report: UsageReport) -> None:
        """Pass on the report."""
        self._scheduler.observe(report)

    def record_start(self, task: WaitingTask, start: Start) -> None:
        """Pass on the start."""
        self._scheduler.record_start(task, start.host, start.share)

    def record_share(self, task: str, share: float) -> None:
        """Pass on the share."""
        self._scheduler.record_share(task, share)

    def record_checkpoint(self, task: str) -> None:
        """Pass on the checkpoint."""
        self._scheduler.record_checkpoint(task)

    def record_end(self, task: str, outcome: Outcome) -> None:
        """Pass on the end."""
        self._scheduler.record_end(task, outcome)


def choose_fullest(task: WaitingTask, options: list[HostView]) -> HostView:
    """Pick the host with the fewest free processors."""
    return min(options, key=lambda host: (host.free.processors, host.host))


def choose_emptiest(task: WaitingTask, options: list[HostView]) -> HostView:
    """Pick the host with the most free processors."""
    return max(options, key=lambda host: (host.free.processors, host.host))


def build_random(seed: int) -> Baseline:
    """Build the baseline that picks any host that fits."""
    rng = random.Random(f"random-{seed}")
    return Baseline(lambda task, options: rng.choice(options))

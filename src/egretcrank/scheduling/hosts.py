"""State of the hosts of a cell on the leading controller."""

from collections import Counter
from collections.abc import Iterable
from datetime import timedelta
from typing import NamedTuple

from egretcrank.policy.pressures import ChangedPressures
from egretcrank.scheduling.definitions import Step, TaskKey
from egretcrank.scheduling.outbox import Outbox
from egretcrank.wire.hosting import (
    HostReport,
    RunnerInfo,
    ServingHeadroom,
    StartOrder,
    StopOrder,
)

# Agents report at least twice a second; a host gets no new tasks after two missed
# reports.
REPORT_TIMEOUT = timedelta(milliseconds=1300)
# Mean processor use of a serving task as a share of its reservation, which covers its
# peak.
SERVING_MEAN_UTILIZATION = 0.55


class UnwantedRun(NamedTuple):
    """A run that the cell does not want; it may hold capacity until it ends."""

    task: str
    run: int


class HostState:
    """State of a host: its runner, its order session and its runs."""

    def __init__(self, name: str, address: str) -> None:
        self.name = name
        self.address = address
        self.runner: RunnerInfo | None = None
        # Agent process that the session was offered to, number of the session, and that
        # of the last report in it.
        self.incarnation = ""
        self.session = 0
        self.sequence = -1
        # Whether a full report was applied in this session, so that the runs are known.
        self.attached = False
        self.attached_at = timedelta()
        # Whether the last agent process that attached did not know all runs of its
        # runner. It holds until the leases that this leader allowed are over.
        self.ends_omitted = False
        # Whether the host is on the log, so that a new leader waits for its report.
        self.registered = False
        self.runner_left = False
        self.runner_silent = False
        # Whether the runner process that replied last has not described itself yet.
        self.runner_undescribed = False
        # When the last report of a session was applied, and when that report was sent,
        # on the agent's clock.
        self.reported_at = timedelta()
        self.sent_at = 0.0
        # When the last report came of a runner process that had answered the last poll.
        self.runner_heard_at = timedelta()
        self.reply_due = False
        self.profiles_due = False
        # Latest time at which the leases of the host's runs may expire.
        self.granted_until = timedelta()
        self.avoid_until = timedelta()
        self.outbox = Outbox()
        self.tasks: set[TaskKey] = set()
        self.unwanted_runs: set[UnwantedRun] = set()
        # Numbers of the last end that was applied and of the last one on the log.
        self.ends_seen = 0
        self.ends_durable = 0
        # The same of the crash suspects that the agent process has numbered.
        self.suspects_seen = 0
        self.suspects_durable = 0
        # When a run was last placed on the host.
        self.last_start_at = timedelta()
        self.used_cpu = 0
        self.serving_cpu = 0
        # Count of serving tasks and millicores of best-effort tasks, by image.
        self.serving_images: Counter[str] = Counter()
        self.best_effort_images: Counter[str] = Counter()
        # Utilization that best-effort tasks may add to each serving image.
        self.headrooms: dict[str, float] = {}
        # Gains estimated for new tasks, by image and millicores; cleared with each
        # full report and each change of the serving or best-effort tasks.
        self.gains: dict[tuple[str, int], float] = {}
        self.pressures_due = False
        self.sent_pressures = ChangedPressures()
        self.used_memory = 0
        self.used_accelerators = 0
        self.reserved_best_effort_cpu = 0

    @property
    def rack(self) -> str:
        """Return the rack of the host, or an empty string while it is unknown."""
        return self.runner.rack if self.runner else ""

    @property
    def free_cpu(self) -> int:
        """Return the unreserved processor time, in thousandths of a core."""
        return (self.runner.cpu if self.runner else 0) - self.used_cpu

    @property
    def free_memory(self) -> int:
        """Return the unreserved memory, in MiB."""
        return (self.runner.memory if self.runner else 0) - self.used_memory

    @property
    def free_accelerators(self) -> int:
        """Return the number of unreserved accelerators."""
        return (self.runner.accelerators if self.runner else 0) - self.used_accelerators

    @property
    def unused_best_effort_cpu(self) -> float:
        """Return the estimated millicores left for another best-effort task."""
        return self.best_effort_cpu - self.reserved_best_effort_cpu

    @property
    def best_effort_cpu(self) -> float:
        """Return the estimated millicores left for all best-effort tasks."""
        capacity = self.runner.cpu if self.runner else 0
        return (
            capacity - self.used_cpu + (1 - SERVING_MEAN_UTILIZATION) * self.serving_cpu
        )

    def update_headrooms(self, headrooms: Iterable[ServingHeadroom]) -> None:
        """Replace the headroom of the host's serving tasks."""
        self.headrooms = {serving.image: serving.headroom for serving in headrooms}
        self.gains.clear()

    def reserve(self, step: Step, sign: int = 1) -> None:
        """Reserve the resources of a task, or release them with ``sign`` -1."""
        if step.target or step.best_effort:
            self.gains.clear()
        self.used_memory += sign * step.memory
        self.used_accelerators += sign * step.accelerators
        if step.target:
            self.serving_cpu += sign * step.cpu
            _add_to_counter(self.serving_images, step.image, sign)
        if step.best_effort:
            _add_to_counter(self.best_effort_images, step.image, sign * step.cpu)
            self.reserved_best_effort_cpu += sign * step.cpu
        else:
            self.used_cpu += sign * step.cpu

    def can_hold(self, step: Step) -> bool:
        """Return whether a task fits into the unreserved resources."""
        return (
            self.runner is not None
            and step.memory <= self.free_memory
            and step.accelerators <= self.free_accelerators
            and (0 if step.best_effort else step.cpu) <= self.free_cpu
        )

    def is_usable(self, now: timedelta) -> bool:
        """Return whether new tasks may be placed on the host."""
        return (
            self.attached
            and self.registered
            and not self.runner_left
            and not self.runner_silent
            and not self.unwanted_runs
            and self.runner is not None
            and not self.runner_undescribed
            and not self.runner.draining
            and now - self.reported_at < REPORT_TIMEOUT
            and now >= self.avoid_until
        )

    def add_order(self, order: StartOrder | StopOrder) -> int:
        """Queue an order for the agent and return its number."""
        return self.outbox.add(order)

    def names_session(self, epoch: int, report: HostReport) -> bool:
        """Return whether a report is of this session, offered to the same process."""
        return (report.epoch, report.session, report.incarnation) == (
            epoch,
            self.session,
            self.incarnation,
        )

    def is_restarted_by(self, report: HostReport) -> bool:
        """Return whether a report describes another runner process than before."""
        return (
            self.runner is not None
            and report.runner is not None
            and self.runner.born != report.runner.born
        )

    def offer_session(self, incarnation: str, session: int) -> None:
        """Offer a session to an agent process; those before it are void."""
        self.incarnation = incarnation
        self.session = session
        self.sequence = -1
        self.suspects_seen = self.suspects_durable = 0
        self.attached = False

    def begin_session(self) -> None:
        """Start the offered session; the agent accepts no orders of earlier ones."""
        self.outbox = Outbox()
        self.unwanted_runs.clear()
        self.sent_pressures = ChangedPressures()

    def end_session(self) -> None:
        """End the session; the next report of any agent process is offered another."""
        self.incarnation = ""
        self.attached = False


def _add_to_counter(counter: Counter[str], image: str, change: int) -> None:
    """Add to the count of an image and drop it at zero."""
    counter[image] += change
    if not counter[image]:
        del counter[image]

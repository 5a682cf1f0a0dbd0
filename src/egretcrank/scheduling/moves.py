"""Selection of the runs to move to another host."""

from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta
from typing import NamedTuple

from egretcrank.policy.pressures import PressureTable
from egretcrank.scheduling.catalog import Queue
from egretcrank.scheduling.hosts import HostState
from egretcrank.scheduling.placement import choose_host
from egretcrank.scheduling.tasks import Job, Placement, Progress, RunPhase
from egretcrank.wire.hosting import RunningTask

# A best-effort task that uses at most ``SLOW_SHARE`` of its processors is slow, and is
# moved after ``SLOW_TIMEOUT``. Few moves are made at a time so that two of them do not
# count on the same free capacity.
SLOW_SHARE = 0.2
SLOW_TIMEOUT = timedelta(milliseconds=1500)
MAX_CONCURRENT_MOVES = 2
MOVE_INTERVAL = timedelta(milliseconds=300)
# A task without checkpoints is moved only below this progress, as it starts over.
MAX_MOVABLE_PROGRESS_PERCENT = 15


class Move(NamedTuple):
    """A run to stop so that its task is placed again, and the reason.

    ``alternative_host`` can run the task now, but is not reserved for it.
    """

    placement: Placement
    reason: str
    alternative_host: str


def track_speed(placement: Placement, running: RunningTask, now: timedelta) -> None:
    """Update a run's progress, and since when a movable best-effort task is slow."""
    progress = Progress(running.progress, now)
    first = placement.progress[0] if placement.progress else progress
    placement.progress = (first, progress)
    step = placement.step.definition
    movable = step.checkpointing or running.progress < MAX_MOVABLE_PROGRESS_PERCENT
    if (
        not step.best_effort
        or not movable
        or running.measurement > SLOW_SHARE * step.cpu
    ):
        placement.slow_since = None
    elif placement.slow_since is None:
        placement.slow_since = now


def choose_moves(
    placements: Iterable[Placement],
    hosts: Mapping[str, HostState],
    usable: list[HostState],
    find_queue: Callable[[Job], Queue],
    pressures: PressureTable,
    now: timedelta,
) -> list[Move]:
    """Return the runs to move now.

    A best-effort task stalls, and delays its job, if it turns out to interfere with a
    serving task, or if serving tasks are added to its host. Long-running tasks leave a
    draining runner before it ends, as they would be down after that.
    """
    moves: list[Move] = []
    for placement in placements:
        reason = _find_move_reason(placement, hosts[placement.host], now)
        if not reason:
            continue
        service = find_queue(placement.step.job).service
        other_hosts = [host for host in usable if host.name != placement.host]
        candidate = choose_host(placement.step, service, other_hosts, pressures)
        if candidate is not None and candidate.worthwhile:
            moves.append(Move(placement, reason, candidate.host.name))
        if len(moves) == MAX_CONCURRENT_MOVES:
            break
    return moves


def _find_move_reason(placement: Placement, host: HostState, now: timedelta) -> str:
    if placement.phase is not RunPhase.RUNNING:
        return ""
    since = placement.slow_since
    if since is not None and now - since >= SLOW_TIMEOUT:
        return "it hardly works"
    draining = host.runner is not None and host.runner.draining
    if draining and placement.step.definition.long_running:
        return "its host is draining"
    return ""

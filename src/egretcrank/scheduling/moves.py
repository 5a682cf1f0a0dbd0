"""Runs that should go on at another host."""

from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta
from typing import NamedTuple

from egretcrank.policy.sharing import PressureTable
from egretcrank.scheduling.catalog import Queue
from egretcrank.scheduling.hosts import HostState
from egretcrank.scheduling.placement import choose_host
from egretcrank.scheduling.tasks import Job, Placement, RunPhase
from egretcrank.wire.hosting import RunningTask

# A task that fills is slow while it uses less than this share of its processors, and
# is moved after the limit. Moves are few at once so that room is not promised twice.
SLOW_SHARE = 0.2
SLOW_LIMIT = timedelta(milliseconds=1500)
MOVES_AT_ONCE = 2
MOVE_INTERVAL = timedelta(milliseconds=300)
# Progress in percent up to which work without checkpoints may be thrown away.
MOVABLE_PROGRESS = 15


class Move(NamedTuple):
    """A run to stop, why, and the host that has room for its task now."""

    placement: Placement
    reason: str
    room_at: str


def note_speed(placement: Placement, running: RunningTask, now: timedelta) -> None:
    """Note since when a task that fills, and that may be moved, hardly works."""
    step = placement.step.step
    movable = step.checkpointing or running.progress < MOVABLE_PROGRESS
    if not step.fills or not movable or running.figure > SLOW_SHARE * step.cpu:
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
    """Choose the runs to move now.

    Answers two loads. Pairs that turn out to press on each other, and serving tasks
    that come to a host later, leave filling tasks standing, and each holds up its job.
    Lasting tasks on a runner that is emptied would be away from its end on.
    """
    moves: list[Move] = []
    for placement in placements:
        reason = _find_reason(placement, hosts[placement.host], now)
        if not reason:
            continue
        service = find_queue(placement.step.job).service
        others = [host for host in usable if host.name != placement.host]
        choice = choose_host(placement.step, service, others, pressures)
        if choice is not None and choice.worthwhile:
            moves.append(Move(placement, reason, choice.host.name))
        if len(moves) == MOVES_AT_ONCE:
            break
    return moves


def _find_reason(placement: Placement, host: HostState, now: timedelta) -> str:
    if placement.phase is not RunPhase.RUNNING:
        return ""
    since = placement.slow_since
    if since is not None and now - since >= SLOW_LIMIT:
        return "it hardly works"
    draining = host.runner is not None and host.runner.draining
    if draining and placement.step.step.lasting:
        return "its host is draining"
    return ""

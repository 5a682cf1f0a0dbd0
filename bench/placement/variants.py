"""Variants of the decisions: each mechanism off, or with another strength."""

import logging
from datetime import timedelta
from types import ModuleType
from typing import Any, NamedTuple

from bench.placement.loads import PATTERNS
from bench.placement.scores import Outcome
from bench.placement.world import Day
from egretcrank.agent import pace
from egretcrank.scheduling import cell, moves, ordering, placement, planner
from egretcrank.scheduling.settings import CellSettings

NEVER = timedelta(days=1)


class Change(NamedTuple):
    """A module constant with another value."""

    module: ModuleType
    constant: str
    value: Any


BASE = "current"
VARIANTS: dict[str, tuple[Change, ...]] = {
    BASE: (),
    "no moves": (Change(moves, "SLOW_TIMEOUT", NEVER),),
    "no margins": (Change(pace, "MARGIN_STEP_UP", 0.0),),
    "no pause over target": (Change(pace, "MAX_TIME_OVER_TARGET", NEVER),),
    "no lookahead": (Change(pace, "LOAD_LOOKAHEAD", timedelta()),),
    "target 0.7": (Change(pace, "TARGET_RATIO", 0.7),),
    "target 0.8": (Change(pace, "TARGET_RATIO", 0.8),),
    "no minimum gain": (Change(placement, "MIN_GAIN", 0.0),),
    "idle jobs always start": (Change(planner, "MAX_BUSY_SHARE", 2.0),),
    "idle jobs never start": (
        Change(planner, "MAX_JOB_IDLE", NEVER),
        Change(planner, "MAX_BUSY_JOB_IDLE", NEVER),
    ),
    "no empty hosts opened": (Change(placement, "MIN_EMPTY_SHARE", 1.0),),
    "no slowdown in the order": (Change(ordering, "START_MARGIN", 0.0),),
    "no stored pressures": (Change(cell, "MAX_STORED_PRESSURES", 0),),
}


def apply(name: str) -> None:
    """Change the constants of a variant in this process."""
    for change in VARIANTS[name]:
        setattr(change.module, change.constant, change.value)


class Play(NamedTuple):
    """One day to simulate."""

    variant: str
    pattern: int
    seed: int


def play_day(play: Play) -> Outcome:
    """Simulate a day in this process, which plays no other."""
    logging.disable(logging.CRITICAL)
    apply(play.variant)
    return Day(PATTERNS[play.pattern], play.seed, CellSettings()).run()

"""Bounds that the cell's decisions depend on."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class CellSettings:
    """Times that bound what may still run somewhere.

    ``lease`` is the longest time between a proof of leadership and the end of the last
    lease that rests on it.
    """

    lease: timedelta = timedelta(seconds=6)
    # Reading a clock and acting on it are apart; runners end late by up to this.
    lease_margin: timedelta = timedelta(milliseconds=300)
    keep_ended: timedelta = timedelta(seconds=120)
    early: timedelta = timedelta(milliseconds=50)

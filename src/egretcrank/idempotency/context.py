"""What the owner of a partition's keys needs from its process."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import datetime
from typing import NamedTuple

from returns.result import Result

from egretcrank.clock import Clock
from egretcrank.errors.kinds import Problem
from egretcrank.observability.decisions import DecisionLog
from egretcrank.routing.selection import Selector
from egretcrank.settings.schema import Settings
from egretcrank.stream.appender import Appender
from egretcrank.stream.reader import StreamReader
from egretcrank.transport.client import Peers
from egretcrank.wire.messages import Executed, MemberStatus

Outcome = Result[Executed, Problem]


class OwnerContext(NamedTuple):
    """What an owner of a partition needs from its process."""

    settings: Settings
    clock: Clock
    peers: Peers
    members: Callable[[], Sequence[MemberStatus]]
    decisions: DecisionLog
    appender: Appender
    reader: StreamReader
    selector: Selector


@dataclass(slots=True)
class Takeover:
    """What is known of the former owner's held attempts.

    ``complete_at`` is the wall-clock time at which this owner may serve keys of
    services with ``log_outage = hold``; ``gap`` tells that held attempts may be
    unknown.
    """

    complete_at: datetime | None = None
    gap: bool = False

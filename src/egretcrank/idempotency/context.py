"""Dependencies of a key owner, and the progress of its takeover."""

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
    """Dependencies that the process passes to a key owner."""

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
    """Progress of the takeover with respect to attempts held by the former owner.

    Keys of services with ``log_outage = hold`` are refused until ``complete_at``, a
    wall-clock time. ``gap`` is true if the former owner may have held attempts that
    no executor reported.
    """

    complete_at: datetime | None = None
    gap: bool = False

"""One log line for each routing or placement decision, kept for ``explain``."""

import logging
from collections import OrderedDict, deque
from collections.abc import Mapping, Sequence
from datetime import datetime
from typing import Any, NamedTuple, TypedDict

from egretcrank.clock import Clock

KEPT_SUBJECTS = 2000
KEPT_PER_SUBJECT = 20

logger = logging.getLogger(__name__)


class DecisionDocument(TypedDict):
    """A decision as it is logged and explained."""

    time: str
    subject: str
    action: str
    choice: str
    reason: str
    alternatives: list[str]
    inputs: dict[str, Any]


class Decision(NamedTuple):
    """What was decided on a request, key, job or task, and why."""

    subject: str
    action: str
    choice: str
    reason: str
    alternatives: Sequence[str] = ()
    inputs: Mapping[str, Any] = {}


class DecisionLog:
    """Logs decisions and keeps the most recent ones by subject."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._kept: OrderedDict[str, deque[DecisionDocument]] = OrderedDict()

    def record(self, decision: Decision) -> None:
        """Log a decision and keep it for ``explain``."""
        document = _build_document(decision, self._clock.now())
        kept = self._kept.setdefault(decision.subject, deque(maxlen=KEPT_PER_SUBJECT))
        kept.append(document)
        self._kept.move_to_end(decision.subject)
        if len(self._kept) > KEPT_SUBJECTS:
            self._kept.popitem(last=False)
        logger.info("decision", extra={"decision": document})

    def explain(self, subject: str) -> tuple[DecisionDocument, ...]:
        """Return the kept decisions on ``subject``, oldest first."""
        return tuple(self._kept.get(subject, ()))


def _build_document(decision: Decision, time: datetime) -> DecisionDocument:
    return DecisionDocument(
        time=time.isoformat(),
        subject=decision.subject,
        action=decision.action,
        choice=decision.choice,
        reason=decision.reason,
        alternatives=list(decision.alternatives),
        inputs=dict(decision.inputs),
    )

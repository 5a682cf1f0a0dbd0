"""Log of routing and placement decisions, retained for ``explain``."""

import logging
from collections import OrderedDict, deque
from collections.abc import Mapping, Sequence
from datetime import datetime
from typing import Any, NamedTuple, TypedDict

from egretcrank.clock import Clock

MAX_SUBJECTS = 2000
MAX_DECISIONS_PER_SUBJECT = 20

logger = logging.getLogger(__name__)


class DecisionDocument(TypedDict):
    """Decision in the form in which it is logged and returned by ``explain``."""

    time: str
    subject: str
    action: str
    choice: str
    reason: str
    alternatives: list[str]
    inputs: dict[str, Any]


class Decision(NamedTuple):
    """Decision on a request, key, job or task, with its reason."""

    subject: str
    action: str
    choice: str
    reason: str
    alternatives: Sequence[str] = ()
    inputs: Mapping[str, Any] = {}


class DecisionLog:
    """Logs decisions and retains the most recent ones for each subject."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._documents: OrderedDict[str, deque[DecisionDocument]] = OrderedDict()

    def record(self, decision: Decision) -> None:
        """Log a decision and retain it for ``explain``."""
        document = _build_document(decision, self._clock.now())
        documents = self._documents.setdefault(
            decision.subject, deque(maxlen=MAX_DECISIONS_PER_SUBJECT)
        )
        documents.append(document)
        self._documents.move_to_end(decision.subject)
        if len(self._documents) > MAX_SUBJECTS:
            self._documents.popitem(last=False)
        logger.info("decision", extra={"decision": document})

    def explain(self, subject: str) -> tuple[DecisionDocument, ...]:
        """Return the retained decisions on ``subject``, oldest first."""
        return tuple(self._documents.get(subject, ()))


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

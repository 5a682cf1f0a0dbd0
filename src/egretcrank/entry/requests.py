"""Requests of callers: routing, retries and the answer."""

import logging
import random
from collections.abc import Callable, Sequence
from datetime import timedelta

import xxhash
from returns.result import Failure, Result, Success

from egretcrank.clock import Clock
from egretcrank.errors.answers import was_not_run
from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.observability.decisions import Decision, DecisionLog
from egretcrank.observability.metrics import Metrics
from egretcrank.ownership.partitions import find_partition
from egretcrank.ownership.state import OwnersState
from egretcrank.routing.budget import RetryBudget
from egretcrank.routing.selection import Choice, Selector
from egretcrank.settings.schema import Settings
from egretcrank.transport.client import Peers
from egretcrank.wire.messages import Execute, Executed, MemberStatus, Submit

RETRY_DELAY = timedelta(milliseconds=100)
SUBMIT_REPLY_MARGIN = timedelta(seconds=1)

Outcome = Result[Executed, Problem]

logger = logging.getLogger(__name__)


class RequestRouter:
    """Answers requests by way of upstream hosts and owners of keys."""

    def __init__(
        self,
        settings: Settings,
        owners: OwnersState,
        members: Callable[[], Sequence[MemberStatus]],
        peers: Peers,
        clock: Clock,
        decisions: DecisionLog,
        metrics: Metrics,
        generator: random.Random,
    ) -> None:
        self._settings = settings
        self._owners = owners
        self._members = members
        self._peers = peers
        self._clock = clock
        self._decisions = decisions
        self._metrics = metrics
        self._selector = Selector(settings.process.failure_domain, generator)
        self._budget = RetryBudget(
            settings.entry.retry_ratio, settings.entry.retry_burst
        )

    async def answer(self, request: Execute, key: str) -> Outcome:
        """Answer a request; ``key`` is empty for a service that may repeat."""
        service = self._settings.services.get(request.service)
        if service is None:
            known = ", ".join(sorted(self._settings.services))
            detail = f"service {request.service!r} is not known"
            return Failure(
                Problem(ErrorKind.UNKNOWN_SERVICE, detail, "path", f"one of {known}")
            )
        if service.repeatable:
            return await self._execute(request)
        if not key:
            detail = f"service {request.service!r} must not run a request twice"
            return Failure(
                Problem(
                    ErrorKind.KEY_REQUIRED,
                    detail,
                    "Idempotency-Key",
                    "a key of the caller's choice, unique for each request",
                )
            )
        return await self._submit(Submit(key, request))

    async def _execute(self, request: Execute) -> Outcome:
        """Run a repeatable request, on another host after a failure."""
        deadline = self._clock.monotonic() + timedelta(seconds=request.timeout_seconds)
        tried: set[str] = set()
        last = Problem(
            ErrorKind.NO_UPSTREAM,
            f"no member answers {request.service!r}",
            retry_after=timedelta(seconds=1),
        )
        while (remaining := deadline - self._clock.monotonic()) > timedelta(0):
            choice = self._selector.choose(request.service, self._members(), tried)
            if choice is None:
                return Failure(last)
            if tried and not self._budget.take():
                return Failure(last)
            self._record(request.request_id, choice, len(tried) + 1)
            tried.add(choice.member.host)
            outcome = await self._send(request, choice, remaining)
            if isinstance(outcome, Success):
                self._budget.record_success()
                return outcome
            last = outcome.failure()
        return Failure(last)

    async def _send(
        self, request: Execute, choice: Choice, remaining: timedelta
    ) -> Outcome:
        message = _limit_time(request, remaining)
        self._selector.begin(choice.member.host)
        try:
            reply = await self._peers.call(
                choice.member.request_address, message, remaining
            )
        finally:
            self._selector.end(choice.member.host)
        return reply.bind(lambda answer: check_answer(answer, request.request_id))

    async def _submit(self, submit: Submit) -> Outcome:
        """Hand a key to its owner; repeating that is safe, because the key is."""
        partition = find_partition(submit.key, self._settings.cluster)
        timeout = timedelta(seconds=submit.request.timeout_seconds)
        deadline = self._clock.monotonic() + timeout
        may_have_run = False
        last = Problem(
            ErrorKind.NO_OWNER,
            f"partition {partition} has no owner",
            retry_after=timedelta(seconds=1),
        )
        while (remaining := deadline - self._clock.monotonic()) > timedelta(0):
            owner = self._owners.find_owner(partition)
            if owner is not None and not owner.released:
                message = Submit(submit.key, _limit_time(submit.request, remaining))
                reply = await self._peers.call(
                    owner.address, message, remaining + SUBMIT_REPLY_MARGIN
                )
                outcome = reply.bind(
                    lambda answer: check_answer(answer, submit.request.request_id)
                )
                if isinstance(outcome, Success):
                    return outcome
                last = outcome.failure()
                may_have_run = may_have_run or not was_not_run(last.kind)
                if last.kind not in _OWNER_CHANGES:
                    break
            await self._clock.sleep(RETRY_DELAY)
        if may_have_run and was_not_run(last.kind):
            # An earlier owner got the key and did not answer.
            return Failure(Problem(ErrorKind.OUTCOME_UNKNOWN, last.detail, submit.key))
        return Failure(last)

    def _record(self, request_id: str, choice: Choice, attempt: int) -> None:
        self._decisions.record(
            Decision(
                subject=request_id,
                action="route",
                choice=choice.member.host,
                reason="less loaded of two candidates",
                alternatives=choice.alternatives,
                inputs={"attempt": attempt, "load": choice.load},
            )
        )


_OWNER_CHANGES = frozenset(
    {
        ErrorKind.NOT_OWNER,
        ErrorKind.NO_OWNER,
        ErrorKind.UNREACHABLE,
        ErrorKind.CALL_TIMEOUT,
        ErrorKind.STALE_EPOCH,
    }
)


def check_answer(answer: object, request_id: str) -> Outcome:
    """Accept an answer only if it is whole and belongs to the request."""
    if not isinstance(answer, Executed):
        detail = f"unexpected reply {type(answer).__name__}"
        return Failure(Problem(ErrorKind.INVALID_MESSAGE, detail))
    if answer.request_id != request_id:
        detail = f"answer belongs to request {answer.request_id}"
        return Failure(Problem(ErrorKind.INVALID_MESSAGE, detail))
    if answer.digest != xxhash.xxh64_hexdigest(answer.body):
        return Failure(Problem(ErrorKind.INVALID_MESSAGE, "answer is damaged"))
    return Success(answer)


def _limit_time(request: Execute, remaining: timedelta) -> Execute:
    return Execute(
        request.request_id,
        request.service,
        request.customer,
        remaining.total_seconds(),
        request.content_type,
        request.body,
    )

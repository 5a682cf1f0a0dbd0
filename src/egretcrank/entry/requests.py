"""Routing of requests: host selection, retries and validation of replies."""

import logging
import random
from collections.abc import Callable, Sequence
from datetime import timedelta

import xxhash
from returns.result import Failure, Result, Success

from egretcrank.clock import Clock
from egretcrank.entry.owners import OwnerClient
from egretcrank.errors.answers import mark_outcome_unknown, was_not_run
from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.observability.decisions import Decision, DecisionLog
from egretcrank.observability.metrics import Metrics
from egretcrank.ownership.partitions import find_partition
from egretcrank.routing.budget import RetryBudget
from egretcrank.routing.outliers import OutlierDetector
from egretcrank.routing.selection import Choice, Selector
from egretcrank.settings.schema import Settings
from egretcrank.transport.client import Peers
from egretcrank.wire.deadlines import set_timeout
from egretcrank.wire.messages import Execute, Executed, Member, MemberStatus, Submit

EJECTION_SUBJECT = "host:{}"
# A member that has been silent for longer has missed an announcement.
MAX_SILENCE_INTERVALS = 1.5
# The expiry of a shorter timeout does not count as a fault of the host, because a host
# of normal speed may exceed it as well.
MIN_FAULT_TIMEOUT = timedelta(seconds=1)
SUBMIT_REPLY_MARGIN = timedelta(seconds=1)

Outcome = Result[Executed, Problem]

logger = logging.getLogger(__name__)


class RequestRouter:
    """Routes requests to upstream hosts or to the owners of their keys."""

    def __init__(
        self,
        settings: Settings,
        owner_client: OwnerClient,
        members: Callable[[], Sequence[MemberStatus]],
        peers: Peers,
        clock: Clock,
        decisions: DecisionLog,
        metrics: Metrics,
        generator: random.Random,
    ) -> None:
        self._settings = settings
        self._owner_client = owner_client
        self._members = members
        self._peers = peers
        self._clock = clock
        self._decisions = decisions
        self._metrics = metrics
        self._selector = Selector(settings.process.failure_domain, generator)
        max_silence = MAX_SILENCE_INTERVALS * settings.cluster.announce_seconds
        self._outliers = OutlierDetector(clock, generator, max_silence)
        self._budget = RetryBudget(
            settings.entry.retry_ratio, settings.entry.retry_burst
        )

    async def answer(self, request: Execute, key: str) -> Outcome:
        """Answer a request; ``key`` may be empty if the service is repeatable.

        Fails with ``unknown_service`` or, if a key is missing, ``key_required``.
        """
        service = self._settings.services.get(request.service)
        if service is None:
            known = ", ".join(sorted(self._settings.services))
            detail = f"service {request.service!r} is not configured"
            return Failure(
                Problem(ErrorKind.UNKNOWN_SERVICE, detail, "path", f"one of {known}")
            )
        if service.repeatable:
            return await self._execute(request)
        if not key:
            detail = (
                f"service {request.service!r} needs a key to run a request only once"
            )
            return Failure(
                Problem(
                    ErrorKind.KEY_REQUIRED,
                    detail,
                    "Idempotency-Key",
                    "a unique key for each request, chosen by the caller",
                )
            )
        return await self._submit(Submit(key, request))

    async def _execute(self, request: Execute) -> Outcome:
        """Run a repeatable request, retrying on another host after a failure."""
        deadline = self._clock.monotonic() + timedelta(seconds=request.timeout_seconds)
        tried_hosts: set[str] = set()
        may_have_run = False
        last_problem = Problem(
            ErrorKind.NO_UPSTREAM,
            f"no available member serves {request.service!r}",
            retry_after=timedelta(seconds=1),
        )
        while (remaining := deadline - self._clock.monotonic()) > timedelta(0):
            choice = self._choose(request.service, tried_hosts)
            if choice is None:
                break
            if tried_hosts and not self._budget.take():
                self._record_no_retry(request.request_id, last_problem)
                break
            self._record_route(
                request.request_id, choice, len(tried_hosts) + 1, last_problem
            )
            tried_hosts.add(choice.member.host)
            outcome = await self._send(request, choice, remaining)
            if isinstance(outcome, Success):
                self._budget.record_success()
                return outcome
            last_problem = outcome.failure()
            may_have_run = may_have_run or not was_not_run(last_problem.kind)
        return Failure(mark_outcome_unknown(last_problem, may_have_run))

    def _choose(self, service: str, tried_hosts: set[str]) -> Choice | None:
        members = self._members()
        excluded = tried_hosts | self._outliers.list_avoided()
        choice = self._selector.choose(service, members, excluded)
        if choice is None and excluded != tried_hosts:
            # No other host is left, and ejected hosts may have recovered.
            return self._selector.choose(service, members, tried_hosts)
        return choice

    async def _send(
        self, request: Execute, choice: Choice, remaining: timedelta
    ) -> Outcome:
        message = set_timeout(request, remaining)
        member = choice.member
        self._selector.begin(member.host)
        self._outliers.begin(member)
        started = self._clock.monotonic()
        # This kind does not count as a failure of the host. It is kept if the call is
        # cancelled.
        fault: ErrorKind | None = ErrorKind.DEADLINE_BEFORE_START
        try:
            reply = await self._peers.call(member.request_address, message, remaining)
            outcome = reply.bind(lambda answer: check_reply(answer, request.request_id))
            fault = _classify_outcome(outcome)
            waited = self._clock.monotonic() - started
            if (
                fault in _TIMEOUT_KINDS
                and remaining < MIN_FAULT_TIMEOUT
                and waited >= remaining
            ):
                fault = ErrorKind.DEADLINE_BEFORE_START
        finally:
            self._selector.end(member.host)
            elapsed = self._clock.monotonic() - started
            reason = self._outliers.end(member, fault, elapsed, self._members())
            if reason:
                self._record_ejection(member, reason, elapsed)
        return outcome

    async def _submit(self, submit: Submit) -> Outcome:
        """Send a request to the owner of its key; the key makes retries safe."""
        partition = find_partition(submit.key, self._settings.cluster)
        return await self._owner_client.call(
            partition,
            timedelta(seconds=submit.request.timeout_seconds),
            lambda left: Submit(submit.key, set_timeout(submit.request, left)),
            lambda left: left + SUBMIT_REPLY_MARGIN,
            lambda answer: check_reply(answer, submit.request.request_id),
        )

    def _record_route(
        self, request_id: str, choice: Choice, attempt: int, last_problem: Problem
    ) -> None:
        reason = "less loaded of two candidates"
        if choice.local and choice.load > choice.alternative_load:
            reason = "own failure domain, little more loaded"
        if attempt > 1:
            reason = f"{reason}, after {last_problem.kind}"
        self._decisions.record(
            Decision(
                subject=request_id,
                action="route",
                choice=choice.member.host,
                reason=reason,
                alternatives=choice.alternatives,
                inputs={
                    "attempt": attempt,
                    "load": round(choice.load, 3),
                    "alternative_load": round(choice.alternative_load, 3),
                    "candidates": choice.candidates,
                    "local": choice.local,
                },
            )
        )

    def _record_no_retry(self, request_id: str, last_problem: Problem) -> None:
        self._decisions.record(
            Decision(
                request_id, "retry", "none", f"no retry left, after {last_problem.kind}"
            )
        )

    def _record_ejection(self, member: Member, reason: str, elapsed: timedelta) -> None:
        self._decisions.record(
            Decision(
                subject=EJECTION_SUBJECT.format(member.host),
                action="eject",
                choice=member.host,
                reason=reason,
                inputs={"elapsed_seconds": round(elapsed.total_seconds(), 3)},
            )
        )


_TIMEOUT_KINDS = frozenset({ErrorKind.CALL_TIMEOUT, ErrorKind.UPSTREAM_FAILED})


def check_reply(reply: object, request_id: str) -> Outcome:
    """Return a reply if it is intact and belongs to the request.

    Fails with ``invalid_message`` otherwise.
    """
    if not isinstance(reply, Executed):
        detail = f"unexpected reply type {type(reply).__name__}"
        return Failure(Problem(ErrorKind.INVALID_MESSAGE, detail))
    if reply.request_id != request_id:
        detail = f"reply belongs to another request: {reply.request_id}"
        return Failure(Problem(ErrorKind.INVALID_MESSAGE, detail))
    if reply.digest != xxhash.xxh64_hexdigest(reply.body):
        return Failure(
            Problem(ErrorKind.INVALID_MESSAGE, "digest of the body does not match")
        )
    return Success(reply)


def _classify_outcome(outcome: Outcome) -> ErrorKind | None:
    if isinstance(outcome, Success):
        executed = outcome.unwrap()
        return ErrorKind.UPSTREAM_FAILED if executed.status >= 500 else None
    return outcome.failure().kind

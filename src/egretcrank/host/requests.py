"""Execution of requests on the local upstream.

Limits concurrency with slots and a queue, and rejects attempts that are fenced or
tombstoned.
"""

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

import xxhash
from returns.result import Failure, Result, Success

from egretcrank.clock import Clock
from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.host.upstream import UpstreamClient, UpstreamResponse
from egretcrank.idempotency.digests import compute_digest
from egretcrank.observability.metrics import Metrics
from egretcrank.routing.admission import (
    AcquireResult,
    SlotQueue,
    Weight,
    round_up_retry,
    weigh_equally,
)
from egretcrank.settings.schema import Settings
from egretcrank.wire.codec import build_refusal
from egretcrank.wire.messages import (
    AbandonAttempt,
    AttemptState,
    Execute,
    Executed,
    ExecuteOnce,
    HeldAttempt,
)

MAX_TRACKED_ATTEMPTS = 20000
# Limits the tombstones and, separately, the IDs of evicted attempts.
MAX_TRACKED_ATTEMPT_IDS = 200000

Outcome = Result[Executed, Problem]
AttemptId = tuple[str, int]

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class _Attempt:
    """Attempt of a key on this host; ``started`` is set before the upstream call."""

    dispatch: ExecuteOnce
    started: bool = False
    abandoned: bool = False
    done: asyncio.Event = field(default_factory=asyncio.Event)
    outcome: Outcome | None = None


class RequestExecutor:
    """Runs requests within the upstream's slots and rejects excess load early.

    ``is_epoch_confirmed`` tells whether no owner of a later epoch of a partition can
    have completed its takeover. It is called for held requests, which are not in the
    log.
    """

    def __init__(
        self,
        settings: Settings,
        incarnation: int,
        upstream: UpstreamClient,
        clock: Clock,
        metrics: Metrics,
        is_epoch_confirmed: Callable[[int, int], bool],
        weight: Weight = weigh_equally,
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._upstream = upstream
        self._clock = clock
        self._metrics = metrics
        self._is_epoch_confirmed = is_epoch_confirmed
        self._slots = SlotQueue(
            settings.upstream.slots, settings.upstream.queue, weight
        )
        self._leaving = False
        self._epochs: dict[int, int] = {}
        self._attempts: OrderedDict[AttemptId, _Attempt] = OrderedDict()
        self._tombstones: OrderedDict[AttemptId, None] = OrderedDict()
        self._evicted: OrderedDict[AttemptId, None] = OrderedDict()

    @property
    def running(self) -> int:
        """Number of requests that the upstream is running."""
        return self._slots.running

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return self._slots.waiting

    def leave(self) -> None:
        """Reject new requests from now on."""
        self._leaving = True

    async def execute(self, request: Execute) -> Outcome:
        """Run a repeatable request."""
        deadline = self._clock.monotonic() + timedelta(seconds=request.timeout_seconds)
        return await self._run_in_slot(request, deadline, lambda: None)

    async def execute_once(self, dispatch: ExecuteOnce) -> Outcome:
        """Run an attempt of a key unless it is fenced or tombstoned.

        A duplicate of a tracked attempt waits for the outcome of that attempt. A
        refusal that proves that the attempt did not run also tombstones it, so that a
        delayed duplicate of the message cannot run.
        """
        attempt_id = (dispatch.key, dispatch.attempt)
        existing = self._attempts.get(attempt_id)
        if existing is not None:
            return await self._wait_for_outcome(existing)
        problem = self._check_dispatch(dispatch)
        if problem is not None:
            if attempt_id not in self._evicted:
                self._add_tombstone(attempt_id)
            return Failure(problem)
        attempt = _Attempt(dispatch)
        self._track(attempt_id, attempt)
        # The attempt continues if the connection to the requesting owner is lost.
        task = asyncio.create_task(self._run_attempt(attempt_id, attempt))
        return await asyncio.shield(task)

    async def _run_attempt(self, attempt_id: AttemptId, attempt: _Attempt) -> Outcome:
        request = attempt.dispatch.request
        deadline = self._clock.monotonic() + timedelta(seconds=request.timeout_seconds)

        def mark_started() -> Problem | None:
            problem = self._check_dispatch(attempt.dispatch)
            if problem is None and attempt.abandoned:
                problem = Problem(
                    ErrorKind.TOMBSTONED, "attempt was abandoned while queued"
                )
            attempt.started = problem is None
            return problem

        try:
            outcome = await self._run_in_slot(request, deadline, mark_started)
        except Exception:
            logger.exception("attempt failed", extra={"key": attempt.dispatch.key})
            outcome = Failure(Problem(ErrorKind.INTERNAL, "execution failed"))
        if isinstance(outcome, Failure) and not attempt.started:
            self._add_tombstone(attempt_id)
        attempt.outcome = outcome
        attempt.done.set()
        return outcome

    def _check_dispatch(self, dispatch: ExecuteOnce) -> Problem | None:
        if dispatch.incarnation != self._incarnation:
            return Problem(
                ErrorKind.WRONG_INCARNATION,
                f"attempt is for incarnation {dispatch.incarnation}, "
                f"but the host has incarnation {self._incarnation}",
            )
        fenced_epoch = self._epochs.get(dispatch.partition, 0)
        if dispatch.epoch < fenced_epoch:
            return Problem(
                ErrorKind.STALE_EPOCH,
                f"epoch {dispatch.epoch} of partition {dispatch.partition} is fenced",
            )
        attempt_id = (dispatch.key, dispatch.attempt)
        if attempt_id in self._evicted:
            return Problem(ErrorKind.OUTCOME_UNKNOWN, "attempt is no longer tracked")
        if attempt_id in self._tombstones:
            return Problem(ErrorKind.TOMBSTONED, "attempt is tombstoned")
        if dispatch.held and not self._is_epoch_confirmed(
            dispatch.partition, dispatch.epoch
        ):
            return Problem(
                ErrorKind.LOG_UNAVAILABLE,
                "epoch is not confirmed to be current, so a request that is not in "
                "the log is rejected",
            )
        self._epochs[dispatch.partition] = dispatch.epoch
        return None

    async def _run_in_slot(
        self,
        request: Execute,
        deadline: timedelta,
        mark_started: Callable[[], Problem | None],
    ) -> Outcome:
        """Wait for a slot and call the upstream.

        ``mark_started`` runs directly before the call; it prevents the call by
        returning a problem.
        """
        refusal = self._check_request(request)
        if refusal is not None:
            self._count_result(request.service, refusal.kind.value)
            return Failure(refusal)
        limit = deadline - self._clock.monotonic()
        match await self._slots.acquire(request.customer, limit):
            case AcquireResult.REFUSED:
                self._count_result(request.service, ErrorKind.OVERLOADED.value)
                return Failure(self._build_overload_problem())
            case AcquireResult.EXPIRED:
                self._count_result(
                    request.service, ErrorKind.DEADLINE_BEFORE_START.value
                )
                detail = "no slot became available before the deadline"
                return Failure(Problem(ErrorKind.DEADLINE_BEFORE_START, detail))
        started = self._clock.monotonic()
        try:
            remaining = deadline - self._clock.monotonic()
            if remaining <= timedelta(0):
                detail = "deadline expired before the request started"
                return Failure(Problem(ErrorKind.DEADLINE_BEFORE_START, detail))
            problem = mark_started()
            if problem is not None:
                return Failure(problem)
            return await self._call_upstream(request, remaining)
        finally:
            self._slots.release(self._clock.monotonic() - started)

    def _check_request(self, request: Execute) -> Problem | None:
        if self._leaving:
            return Problem(ErrorKind.LEAVING, "host is shutting down")
        if request.service not in self._settings.upstream.services:
            return Problem(
                ErrorKind.NO_UPSTREAM,
                f"no upstream for {request.service!r} on this host",
            )
        return None

    def _build_overload_problem(self) -> Problem:
        return Problem(
            ErrorKind.OVERLOADED,
            f"{self.running} requests running, {self.waiting} waiting",
            retry_after=round_up_retry(self._slots.estimate_wait()),
        )

    async def _call_upstream(self, request: Execute, remaining: timedelta) -> Outcome:
        service = self._settings.services[request.service]
        result = await self._upstream.run(service.path, request, remaining)
        match result:
            case Success(UpstreamResponse(status, content_type, body)):
                self._count_result(request.service, "ok")
                return Success(
                    Executed(
                        request_id=request.request_id,
                        host=self._settings.process.name,
                        status=status,
                        content_type=content_type,
                        body=body,
                        digest=xxhash.xxh64_hexdigest(body),
                    )
                )
            case Failure(problem):
                self._count_result(request.service, problem.kind.value)
                return Failure(problem)
        raise AssertionError("unreachable")

    async def abandon(self, abandon: AbandonAttempt) -> AttemptState:
        """Return the state of an attempt, and tombstone it if it has not started."""
        if abandon.incarnation != self._incarnation:
            return AttemptState("unknown", self._incarnation)
        fenced_epoch = self._epochs.get(abandon.partition, 0)
        self._epochs[abandon.partition] = max(fenced_epoch, abandon.epoch)
        attempt_id = (abandon.key, abandon.attempt)
        if attempt_id in self._evicted:
            return AttemptState("unknown", self._incarnation)
        attempt = self._attempts.get(attempt_id)
        if attempt is None or (not attempt.started and not attempt.done.is_set()):
            self._add_tombstone(attempt_id)
            if attempt is not None:
                attempt.abandoned = True
            return AttemptState("not_started", self._incarnation)
        return self._build_state(attempt)

    def _build_state(self, attempt: _Attempt) -> AttemptState:
        match attempt.outcome:
            case None:
                return AttemptState("running", self._incarnation)
            case Success(executed):
                return AttemptState("finished", self._incarnation, executed)
            case Failure(problem) if attempt.started:
                refusal = build_refusal(problem)
                return AttemptState("finished", self._incarnation, None, refusal)
            case _:
                return AttemptState("not_started", self._incarnation)

    def fence(self, partition: int, epoch: int) -> tuple[HeldAttempt, ...]:
        """Reject lower epochs of a partition from now on and return its attempts."""
        self._epochs[partition] = max(epoch, self._epochs.get(partition, 0))
        return tuple(
            self._build_held_attempt(key, number, attempt)
            for (key, number), attempt in self._attempts.items()
            if attempt.dispatch.partition == partition
        )

    def _build_held_attempt(
        self, key: str, number: int, attempt: _Attempt
    ) -> HeldAttempt:
        state = self._build_state(attempt)
        return HeldAttempt(
            key=key,
            attempt=number,
            held=attempt.dispatch.held,
            digest=compute_digest(attempt.dispatch.request),
            service=attempt.dispatch.request.service,
            state=state.state,
            outcome=state.outcome,
            problem=state.problem,
        )

    def find_epoch(self, partition: int) -> int:
        """Return the highest epoch seen for a partition, or 0."""
        return self._epochs.get(partition, 0)

    async def _wait_for_outcome(self, attempt: _Attempt) -> Outcome:
        await attempt.done.wait()
        if attempt.outcome is None:
            raise AssertionError("completed attempt has no outcome")
        return attempt.outcome

    def _track(self, attempt_id: AttemptId, attempt: _Attempt) -> None:
        self._attempts[attempt_id] = attempt
        while len(self._attempts) > MAX_TRACKED_ATTEMPTS:
            oldest = next(iter(self._attempts))
            if not self._attempts[oldest].done.is_set():
                return
            del self._attempts[oldest]
            # An evicted attempt may have run: it must neither be accepted again nor be
            # reported as not started.
            _add_bounded(self._evicted, oldest)

    def _add_tombstone(self, attempt_id: AttemptId) -> None:
        _add_bounded(self._tombstones, attempt_id)

    def _count_result(self, service: str, result: str) -> None:
        self._metrics.attempts.inc({"service": service, "result": result})


def _add_bounded(entries: OrderedDict[AttemptId, None], attempt_id: AttemptId) -> None:
    entries[attempt_id] = None
    if len(entries) > MAX_TRACKED_ATTEMPT_IDS:
        entries.popitem(last=False)

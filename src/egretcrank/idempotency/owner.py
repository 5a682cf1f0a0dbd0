"""At-most-once execution of requests by the owner of their key's partition."""

import asyncio
import logging
from collections.abc import Coroutine, Sequence
from dataclasses import replace
from datetime import timedelta
from typing import Any

import xxhash
from returns.result import Failure, Result, Success

from egretcrank.errors.answers import was_not_run
from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.idempotency.context import Outcome, OwnerContext, Takeover
from egretcrank.idempotency.digests import compute_digest, parse_creation_time
from egretcrank.idempotency.held import HeldKey, build_key_entry, may_have_run
from egretcrank.idempotency.inquiry import ExecutorClient, parse_outcome
from egretcrank.idempotency.state import KeyEntry, KeysState
from egretcrank.observability.decisions import Decision
from egretcrank.settings.schema import LogOutage
from egretcrank.stream.reader import describe_outage
from egretcrank.stream.records import Entry, KeyClaim, KeyOutcome, build_entry
from egretcrank.wire.codec import build_refusal, parse_refusal
from egretcrank.wire.deadlines import set_timeout
from egretcrank.wire.messages import (
    AttemptState,
    Execute,
    Executed,
    ExecuteOnce,
    FenceReply,
    HeldAttempt,
    Member,
    Submit,
)

MAX_ATTEMPTS = 8
OUTCOME_POLL_INTERVAL = timedelta(milliseconds=250)
OUTCOME_POLL_TIMEOUT = timedelta(seconds=60)
REPLY_MARGIN = timedelta(milliseconds=500)
HELD_APPEND_TIMEOUT = timedelta(hours=24)
MAX_CLOCK_SKEW = timedelta(seconds=5)

logger = logging.getLogger(__name__)


class KeyOwner:
    """Owner of the keys of one partition under one epoch.

    At most one task handles a key at a time; callers with the same key await its
    outcome.
    """

    def __init__(
        self, partition: int, epoch: int, keys: KeysState, context: OwnerContext
    ) -> None:
        self.partition = partition
        self.epoch = epoch
        self.takeover = Takeover()
        self._keys = keys
        self._context = context
        self._executors = ExecutorClient(partition, epoch, context)
        self._host = context.settings.process.name
        self._active_keys: dict[str, tuple[str, asyncio.Task[Outcome]]] = {}
        self._background_tasks: set[asyncio.Task[None]] = set()
        self._undispatched_claims: set[tuple[str, int]] = set()
        self._held_keys: dict[str, HeldKey] = {}
        self._flushing_keys: set[str] = set()
        self._claimed_keys: set[str] = set()
        self._closed = False

    @property
    def in_flight(self) -> int:
        """Number of keys that are being handled and of background tasks."""
        return len(self._active_keys) + len(self._background_tasks)

    @property
    def is_fully_recorded(self) -> bool:
        """Whether the takeover is complete and no key is held or being handled.

        The log then has everything that a successor needs to know about held keys.
        """
        complete = self.takeover.complete_at is not None
        return complete and not self._held_keys and not self._active_keys

    async def submit(self, submit: Submit) -> Outcome:
        """Run the request of a key at most once and return its outcome.

        Returns ``OUTCOME_UNKNOWN`` if there is no outcome by the request's timeout.
        """
        if self._closed:
            return Failure(self._build_not_owner_problem())
        digest = compute_digest(submit.request)
        running = self._active_keys.get(submit.key)
        if running is None:
            task = asyncio.create_task(self._execute_once(submit, digest))
            self._active_keys[submit.key] = (digest, task)
            task.add_done_callback(lambda _: self._active_keys.pop(submit.key, None))
        else:
            known_digest, task = running
            if known_digest != digest:
                return Failure(_build_key_reused_problem(submit.key))
        limit = submit.request.timeout_seconds + REPLY_MARGIN.total_seconds()
        try:
            # The shield keeps the task running if this caller times out.
            outcome = await asyncio.wait_for(asyncio.shield(task), limit)
        except TimeoutError:
            detail = "no outcome was known before the deadline"
            return Failure(Problem(ErrorKind.OUTCOME_UNKNOWN, detail, submit.key))
        # The outcome may carry the identifier of an earlier request with this key.
        return outcome.map(
            lambda executed: replace(executed, request_id=submit.request.request_id)
        )

    async def _execute_once(self, submit: Submit, digest: str) -> Outcome:
        now = self._context.clock.monotonic()
        deadline = now + timedelta(seconds=submit.request.timeout_seconds)
        refused_by: set[str] = set()
        last_problem: Problem | None = None
        for _ in range(MAX_ATTEMPTS):
            entry = self._keys.find(submit.key)
            held = self._held_keys.get(submit.key)
            if held is not None:
                held_outcome = await self._await_held_outcome(
                    submit.key, held, digest, deadline
                )
                if held_outcome is not None:
                    return held_outcome
                entry = held.last_attempt
            if entry is not None and entry.digest != digest:
                return Failure(_build_key_reused_problem(submit.key))
            if entry is not None and entry.is_final:
                return _replay_outcome(entry)
            if entry is not None and held is None and not entry.was_not_run:
                resolved = await self._resolve_attempt(entry, deadline)
                if resolved is not None:
                    return resolved
                continue
            takeover_problem = self._check_takeover(submit)
            if takeover_problem is not None:
                return Failure(takeover_problem)
            outcome = await self._run_attempt(
                submit, digest, entry, refused_by, deadline
            )
            if isinstance(outcome, Success):
                return outcome
            last_problem = outcome.failure()
            if (
                not was_not_run(last_problem.kind)
                or last_problem.kind in _NOT_RETRYABLE_KINDS
            ):
                return outcome
            if self._context.clock.monotonic() >= deadline:
                return outcome
        return Failure(last_problem or self._build_not_owner_problem())

    async def _await_held_outcome(
        self, key: str, held: HeldKey, digest: str, deadline: timedelta
    ) -> Outcome | None:
        """Wait for the outcome of a held key.

        Returns ``None`` if the attempt did not run, so that another may follow.
        """
        if held.digest != digest:
            return Failure(_build_key_reused_problem(key))
        while held.outcome is None and self._context.clock.monotonic() < deadline:
            await self._context.clock.sleep(OUTCOME_POLL_INTERVAL)
        if held.was_not_run:
            return None
        if held.outcome is not None:
            return held.outcome
        return Failure(
            Problem(ErrorKind.OUTCOME_UNKNOWN, "the attempt is still running", key)
        )

    def _check_takeover(self, submit: Submit) -> Problem | None:
        """Return why a key cannot be served yet, or ``None``.

        The former owner may have run the key while it held the records in memory.
        """
        service = self._context.settings.services[submit.request.service]
        if service.log_outage is not LogOutage.HOLD or submit.key in self._claimed_keys:
            return None
        complete_at = self.takeover.complete_at
        if complete_at is None:
            return Problem(
                ErrorKind.NO_OWNER,
                "the takeover of the partition is not complete",
                retry_after=timedelta(seconds=1),
            )
        if not self.takeover.gap:
            return None
        created_at = parse_creation_time(submit.key)
        if created_at is not None and created_at > complete_at + MAX_CLOCK_SKEW:
            return None
        return Problem(
            ErrorKind.OUTCOME_UNKNOWN,
            "a former owner may have run this key without recording it",
            submit.key,
            "a UUIDv7 key created after the takeover",
        )

    async def _run_attempt(
        self,
        submit: Submit,
        digest: str,
        entry: KeyEntry | None,
        refused_by: set[str],
        deadline: timedelta,
    ) -> Outcome:
        service = self._context.settings.services[submit.request.service]
        may_hold = service.log_outage is LogOutage.HOLD
        if not may_hold and self._context.reader.is_down():
            return Failure(describe_outage(self._context.reader.stream))
        attempt_number = entry.attempt + 1 if entry else 1
        # The owner and the executor keep a held claim in memory. They must be on
        # different hosts, so that the loss of one host does not lose the claim.
        excluded = refused_by | ({self._host} if may_hold else set())
        choice = self._context.selector.choose(
            submit.request.service, self._context.members(), excluded
        )
        if choice is None:
            return Failure(self._build_no_upstream_problem(submit, refused_by))
        self._record_choice(
            submit.key, attempt_number, choice.member, choice.alternatives
        )
        claim = build_entry(
            KeyClaim(
                partition=self.partition,
                epoch=self.epoch,
                key=submit.key,
                attempt=attempt_number,
                host=choice.member.host,
                incarnation=choice.member.incarnation,
                digest=digest,
                service=submit.request.service,
                customer=submit.request.customer,
                claimed_at=self._context.clock.now().timestamp(),
            )
        )
        if self.takeover.gap:
            self._claimed_keys.add(submit.key)
        held = may_hold and (
            submit.key in self._held_keys or self._context.reader.is_down()
        )
        if not held:
            self._undispatched_claims.add((submit.key, attempt_number))
            limit = deadline - self._context.clock.monotonic()
            if may_hold:
                # Leave time to run the request if the log does not reply.
                limit = min(limit, self._context.settings.log.hold_after_seconds)
            verdict = await self._context.appender.append_entry(
                claim, max(limit, timedelta(milliseconds=1))
            )
            match verdict:
                case Success(_):
                    self._undispatched_claims.discard((submit.key, attempt_number))
                case Failure(problem) if (
                    problem.kind is ErrorKind.LOG_UNAVAILABLE and may_hold
                ):
                    held = True
                case Failure(problem):
                    return Failure(problem)
        refused_by.add(choice.member.host)
        if held:
            self._undispatched_claims.discard((submit.key, attempt_number))
            self._held_keys.setdefault(submit.key, HeldKey()).digest = digest
            return await self._run_held_attempt(submit, choice.member, claim, deadline)
        return await self._dispatch(submit, attempt_number, choice.member, deadline)

    async def _dispatch(
        self, submit: Submit, attempt_number: int, member: Member, deadline: timedelta
    ) -> Outcome:
        outcome = await self._send(submit, attempt_number, member, deadline, held=False)
        if outcome is None:
            entry = self._keys.find(submit.key)
            if entry is None:
                return Failure(self._build_not_owner_problem())
            resolved = await self._resolve_attempt(entry, deadline)
            if resolved is not None:
                return resolved
            return Failure(Problem(ErrorKind.TOMBSTONED, "the attempt did not start"))
        await self._record_outcome(submit.key, attempt_number, outcome)
        return outcome

    async def _send(
        self,
        submit: Submit,
        attempt_number: int,
        member: Member,
        deadline: timedelta,
        *,
        held: bool,
    ) -> Outcome | None:
        """Dispatch an attempt; return ``None`` if it is unknown whether it ran."""
        remaining = deadline - self._context.clock.monotonic()
        if remaining <= timedelta(0):
            detail = "the deadline passed before the dispatch"
            return Failure(Problem(ErrorKind.DEADLINE_BEFORE_START, detail))
        request = set_timeout(submit.request, remaining)
        dispatch = ExecuteOnce(
            key=submit.key,
            partition=self.partition,
            epoch=self.epoch,
            attempt=attempt_number,
            incarnation=member.incarnation,
            held=held,
            request=request,
        )
        self._context.selector.begin(member.host)
        try:
            reply = await self._context.peers.call(
                member.request_address, dispatch, remaining
            )
        finally:
            self._context.selector.end(member.host)
        match reply:
            case Success(Executed() as executed) if _is_intact(executed, request):
                return Success(executed)
            case Success(_):
                return None
            case Failure(problem) if problem.kind in _OUTCOME_UNKNOWN_KINDS:
                return None
            case Failure(problem):
                return Failure(problem)
        raise AssertionError("unreachable")

    async def _resolve_attempt(
        self, entry: KeyEntry, deadline: timedelta
    ) -> Outcome | None:
        """Determine the outcome of an attempt that has no recorded outcome.

        Returns ``None`` once the attempt is recorded as not run.
        """
        if (entry.key, entry.attempt) in self._undispatched_claims:
            # The append of the claim failed, so the attempt was never dispatched, but
            # the claim reached the log.
            self._undispatched_claims.discard((entry.key, entry.attempt))
            problem = describe_outage(self._context.reader.stream)
            return await self._record_not_run(entry.key, entry.attempt, problem)
        while True:
            state = await self._executors.abandon_attempt(entry)
            outcome = parse_outcome(state, entry)
            if outcome is not None:
                if isinstance(outcome, Failure) and was_not_run(outcome.failure().kind):
                    return await self._record_not_run(
                        entry.key, entry.attempt, outcome.failure()
                    )
                await self._record_outcome(entry.key, entry.attempt, outcome)
                return outcome
            if self._context.clock.monotonic() >= deadline:
                self._resolve_in_background(entry)
                detail = f"{entry.host} has not reported the outcome"
                return Failure(Problem(ErrorKind.OUTCOME_UNKNOWN, detail, entry.key))
            await self._context.clock.sleep(OUTCOME_POLL_INTERVAL)

    async def _record_not_run(
        self, key: str, attempt_number: int, problem: Problem
    ) -> Outcome | None:
        """Record that an attempt did not run; ``None`` once that is in the log."""
        verdict = await self._append_outcome(key, attempt_number, Failure(problem))
        entry = self._keys.find(key)
        if entry is not None and entry.attempt == attempt_number and entry.is_final:
            # Another task of this owner recorded a final outcome first.
            return _replay_outcome(entry)
        if isinstance(verdict, Failure) and not (entry and entry.was_not_run):
            return Failure(verdict.failure())
        return None

    def _resolve_in_background(self, entry: KeyEntry) -> None:
        """Keep querying the executor for the outcome without a caller waiting."""

        async def resolve() -> None:
            limit = self._context.clock.monotonic() + OUTCOME_POLL_TIMEOUT
            while self._context.clock.monotonic() < limit and not self._closed:
                outcome = parse_outcome(
                    await self._executors.abandon_attempt(entry), entry
                )
                if outcome is not None:
                    await self._record_outcome(entry.key, entry.attempt, outcome)
                    return
                await self._context.clock.sleep(OUTCOME_POLL_INTERVAL)

        self._start_background(resolve())

    async def _record_outcome(
        self, key: str, attempt_number: int, outcome: Outcome
    ) -> None:
        """Record an outcome; wait for the log only if the attempt did not run.

        A new attempt is valid only after the previous one is recorded as not run.
        """
        if isinstance(outcome, Failure) and was_not_run(outcome.failure().kind):
            await self._append_outcome(key, attempt_number, outcome)
            return

        async def append() -> None:
            await self._append_outcome(
                key, attempt_number, outcome, HELD_APPEND_TIMEOUT
            )

        self._start_background(append())

    async def _append_outcome(
        self,
        key: str,
        attempt_number: int,
        outcome: Outcome,
        limit: timedelta | None = None,
    ) -> Result[None, Problem]:
        entry = self._build_outcome_entry(key, attempt_number, outcome)
        return await self._context.appender.append_entry(entry, limit)

    def _build_outcome_entry(
        self, key: str, attempt_number: int, outcome: Outcome
    ) -> Entry:
        problem = (
            build_refusal(outcome.failure()) if isinstance(outcome, Failure) else None
        )
        return build_entry(
            KeyOutcome(
                partition=self.partition,
                epoch=self.epoch,
                key=key,
                attempt=attempt_number,
                outcome=outcome.value_or(None),
                problem=problem,
            )
        )

    async def _run_held_attempt(
        self,
        submit: Submit,
        member: Member,
        claim: Entry,
        deadline: timedelta,
    ) -> Outcome:
        """Run an attempt whose claim is held in memory while the log is unavailable.

        The claim may be in the log already if only the reply to its append was lost.
        Therefore attempts are numbered as if every claim had been appended.
        """
        held = self._held_keys.setdefault(submit.key, HeldKey())
        # A flush of the previous attempt's records drops the key if it has an outcome.
        held.outcome = None
        held.was_not_run = False
        held.records.append(claim)
        entry = build_key_entry(claim)
        self._undispatched_claims.discard((entry.key, entry.attempt))
        outcome = await self._send(submit, entry.attempt, member, deadline, held=True)
        while outcome is None:
            outcome = parse_outcome(await self._executors.abandon_attempt(entry), entry)
            if outcome is None and self._context.clock.monotonic() >= deadline:
                detail = f"{entry.host} has not reported the outcome"
                outcome = Failure(
                    Problem(ErrorKind.OUTCOME_UNKNOWN, detail, submit.key)
                )
            if outcome is None:
                await self._context.clock.sleep(OUTCOME_POLL_INTERVAL)
        held.records.append(
            self._build_outcome_entry(entry.key, entry.attempt, outcome)
        )
        held.last_attempt = entry
        held.was_not_run = isinstance(outcome, Failure) and was_not_run(
            outcome.failure().kind
        )
        held.outcome = outcome
        self._flush_held_records(submit.key)
        return outcome

    def _flush_held_records(self, key: str) -> None:
        """Append the held records of a key in order once the log is available."""

        async def flush() -> None:
            try:
                await append_records(self._held_keys[key])
            finally:
                # A done callback would run later, and records that were added before
                # it would never be flushed.
                self._flushing_keys.discard(key)

        async def append_records(held: HeldKey) -> None:
            while held.records:
                verdict = await self._context.appender.append_entry(
                    held.records[0], HELD_APPEND_TIMEOUT
                )
                if isinstance(verdict, Failure):
                    kind = verdict.failure().kind
                    if kind is ErrorKind.LOG_UNAVAILABLE and not self._closed:
                        continue
                    logger.warning(
                        "held record is void",
                        extra={"key": key, "detail": verdict.failure().detail},
                    )
                held.records.pop(0)
            if not held.records and held.outcome is not None:
                self._held_keys.pop(key, None)

        if key not in self._flushing_keys:
            self._flushing_keys.add(key)
            self._start_background(flush())

    def adopt(self, replies: Sequence[FenceReply]) -> None:
        """Adopt the attempts that hosts reported in their replies to the fence.

        Only the newest held attempt of a key can have run, because each one is
        dispatched only after the previous one is known not to have run.
        """
        newest_attempts: dict[str, tuple[FenceReply, HeldAttempt]] = {}
        for reply in replies:
            for attempt in reply.attempts:
                entry = self._keys.find(attempt.key)
                if attempt.held and (entry is None or entry.attempt < attempt.attempt):
                    newest_known = newest_attempts.get(attempt.key)
                    if may_have_run(attempt) and (
                        newest_known is None
                        or newest_known[1].attempt < attempt.attempt
                    ):
                        newest_attempts[attempt.key] = reply, attempt
                elif (
                    entry is not None
                    and entry.attempt == attempt.attempt
                    and entry.outcome is None
                    and entry.problem is None
                ):
                    self._resolve_in_background(entry)
        for reply, attempt in newest_attempts.values():
            if attempt.key not in self._held_keys:
                self._adopt_held_attempt(reply, attempt, self._keys.find(attempt.key))

    def _adopt_held_attempt(
        self, reply: FenceReply, attempt: HeldAttempt, entry: KeyEntry | None
    ) -> None:
        """Record an attempt that ran while its claim was only held in memory."""
        held = self._held_keys.setdefault(attempt.key, HeldKey())
        if entry is not None and entry.problem is None and entry.outcome is None:
            # A held attempt is dispatched only after the previous one is tombstoned.
            problem = Problem(ErrorKind.TOMBSTONED, "a later attempt was held")
            held.records.append(
                self._build_outcome_entry(entry.key, entry.attempt, Failure(problem))
            )
        claim = build_entry(
            KeyClaim(
                partition=self.partition,
                epoch=self.epoch,
                key=attempt.key,
                attempt=entry.attempt + 1 if entry else 1,
                host=reply.host,
                incarnation=reply.incarnation,
                digest=attempt.digest,
                service=attempt.service,
                held=True,
                claimed_at=self._context.clock.now().timestamp(),
            )
        )
        held.records.append(claim)
        held.digest = attempt.digest
        reported_entry = replace(build_key_entry(claim), attempt=attempt.attempt)
        recorded_entry = build_key_entry(claim)

        async def resolve() -> None:
            reported = AttemptState(
                attempt.state, reply.incarnation, attempt.outcome, attempt.problem
            )
            outcome = parse_outcome(reported, reported_entry)
            limit = self._context.clock.monotonic() + OUTCOME_POLL_TIMEOUT
            while outcome is None and self._context.clock.monotonic() < limit:
                outcome = parse_outcome(
                    await self._executors.abandon_attempt(reported_entry),
                    reported_entry,
                )
                if outcome is None:
                    await self._context.clock.sleep(OUTCOME_POLL_INTERVAL)
            if outcome is None:
                detail = f"{reported_entry.host} has not reported the outcome"
                outcome = Failure(
                    Problem(ErrorKind.OUTCOME_UNKNOWN, detail, reported_entry.key)
                )
            held.records.append(
                self._build_outcome_entry(
                    recorded_entry.key, recorded_entry.attempt, outcome
                )
            )
            held.outcome = outcome
            self._flush_held_records(recorded_entry.key)

        self._start_background(resolve())

    def close(self) -> None:
        """Refuse new requests; keys that are being handled continue."""
        self._closed = True

    async def finish(self, limit: timedelta) -> None:
        """Wait up to ``limit`` for active keys and background tasks."""
        tasks = [task for _, task in self._active_keys.values()]
        waiting = [*tasks, *self._background_tasks]
        if waiting:
            await asyncio.wait(waiting, timeout=limit.total_seconds())

    def _start_background(
        self, coroutine: Coroutine[Any, Any, None]
    ) -> asyncio.Task[None]:
        task = asyncio.create_task(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)
        return task

    def _record_choice(
        self, key: str, attempt_number: int, member: Member, alternatives: Sequence[str]
    ) -> None:
        self._context.decisions.record(
            Decision(
                subject=key,
                action="dispatch",
                choice=member.host,
                reason="less loaded of two candidates",
                alternatives=alternatives,
                inputs={
                    "partition": self.partition,
                    "epoch": self.epoch,
                    "attempt": attempt_number,
                    "load": self._context.selector.estimate_load(member),
                },
            )
        )

    def _build_no_upstream_problem(
        self, submit: Submit, refused_by: set[str]
    ) -> Problem:
        if refused_by:
            return Problem(
                ErrorKind.OVERLOADED,
                f"refused by {', '.join(sorted(refused_by))}",
                retry_after=timedelta(seconds=1),
            )
        return Problem(
            ErrorKind.NO_UPSTREAM,
            f"no host is available for {submit.request.service!r}",
        )

    def _build_not_owner_problem(self) -> Problem:
        return Problem(
            ErrorKind.NOT_OWNER, f"partition {self.partition} has another owner"
        )


_OUTCOME_UNKNOWN_KINDS = frozenset(
    {
        ErrorKind.CALL_TIMEOUT,
        ErrorKind.DUPLICATE_CALL,
        ErrorKind.INVALID_MESSAGE,
        ErrorKind.INTERNAL,
    }
)
_NOT_RETRYABLE_KINDS = frozenset(
    {
        ErrorKind.LOG_UNAVAILABLE,
        ErrorKind.DEADLINE_BEFORE_START,
        ErrorKind.STALE_EPOCH,
        ErrorKind.NOT_OWNER,
    }
)


def _is_intact(executed: Executed, request: Execute) -> bool:
    return (
        executed.request_id == request.request_id
        and executed.digest == xxhash.xxh64_hexdigest(executed.body)
    )


def _replay_outcome(entry: KeyEntry) -> Outcome:
    if entry.outcome is not None:
        return Success(replace(entry.outcome, replayed=True))
    if entry.problem is not None:
        return Failure(parse_refusal(entry.problem))
    raise AssertionError("entry has no outcome")


def _build_key_reused_problem(key: str) -> Problem:
    return Problem(
        ErrorKind.KEY_REUSED,
        "the key was used for another request",
        key,
        "a new Idempotency-Key for each request",
    )

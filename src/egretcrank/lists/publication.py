"""Publication of a lists file: validate, compare, append and read back."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta
from pathlib import Path
from typing import Any, NamedTuple

from returns.result import Failure, Result, Success

from egretcrank.clock import Clock
from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.lists.changes import Difference, find_difference
from egretcrank.lists.entries import Problems, build_problem, parse_lists, read_ini
from egretcrank.lists.state import ListsState
from egretcrank.observability.metrics import Metrics
from egretcrank.settings.schema import LogSettings
from egretcrank.stream.appender import Appender
from egretcrank.stream.client import LogClient
from egretcrank.stream.reader import StreamReader, Verdict, describe_outage
from egretcrank.stream.records import ListChange, Record

LISTS_STREAM = "lists"

CheckedLists = dict[str, dict[str, Any]]


class Request(NamedTuple):
    """Author and options of a publication.

    ``base`` is the revision that the published file is based on. Without it, the
    revision in force when the publication starts is used.
    """

    author: str
    authority: str
    reason: str
    override: bool = False
    lift: tuple[str, ...] = ()
    base: int | None = None


class Published(NamedTuple):
    """An accepted publication; ``difference`` is empty if nothing changed."""

    revision: int
    base_revision: int
    difference: Difference


def load_lists(path: Path) -> Result[CheckedLists, Problems]:
    """Read and validate a lists file; the failure has every error."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Failure(
            (build_problem(str(path), "", f"cannot be read: {error}", "a text file"),)
        )
    return check_lists(text, str(path))


def check_lists(text: str, source: str) -> Result[CheckedLists, Problems]:
    """Parse and validate the text of a lists file; the failure has every error."""
    return read_ini(text, source).bind(
        lambda raw: parse_lists(raw).map(lambda _: raw),
    )


class Publisher:
    """Follows the stream of list changes and publishes new ones."""

    def __init__(
        self,
        client: LogClient,
        settings: LogSettings,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.state = ListsState()
        self._settings = settings
        self._clock = clock
        self._reader = StreamReader(
            LISTS_STREAM, client, self.state, settings, clock, metrics
        )
        self._appender = Appender(client, self._reader, settings, clock, metrics)
        self._own_change: ListChange | None = None
        self._own_revision: int | None = None
        self._reader.add_listener(self._handle_record)

    @asynccontextmanager
    async def follow(self) -> AsyncIterator[None]:
        """Read and write the stream in the background."""
        tasks = [
            asyncio.create_task(self._reader.run()),
            asyncio.create_task(self._appender.run()),
        ]
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def wait_until_current(self, timeout: timedelta) -> Verdict:
        """Wait until the lists in force are known.

        Fails with ``log_unavailable`` after ``timeout``.
        """
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                await self._reader.wait_until_ready()
        except TimeoutError:
            return Failure(self._describe_not_current())
        return Success(None)

    def _describe_not_current(self) -> Problem:
        if not self._reader.has_gap:
            return describe_outage(LISTS_STREAM)
        return Problem(
            ErrorKind.LOG_UNAVAILABLE,
            f"records of stream {LISTS_STREAM} were dropped and no snapshot in it is"
            " usable",
            LISTS_STREAM,
            "a snapshot written by a process that has the state",
        )

    def compare(self, lists: CheckedLists) -> Difference:
        """Return the difference from the lists in force to ``lists``."""
        return find_difference(self.state.raw, lists)

    async def publish(
        self, lists: CheckedLists, request: Request
    ) -> Result[Published, Problem]:
        """Publish the change that turns the lists in force into ``lists``.

        Fails with the reason why readers reject the change, or with
        ``log_unavailable``, after which the change may still come into force.
        """
        base = self.state.revision if request.base is None else request.base
        difference = self.compare(lists)
        if difference.is_empty and not request.lift:
            return self._confirm_unchanged(base, difference)
        self._own_change = ListChange(
            base_revision=base,
            author=request.author,
            authority=request.authority,
            override=request.override,
            lift=request.lift,
            set=difference.set,
            remove=difference.remove,
            reason=request.reason,
            published_at=self._clock.now().timestamp(),
        )
        self._own_revision = None
        verdict = await self._appender.append(self._own_change)
        if isinstance(verdict, Failure):
            return verdict.alt(_explain_outage)
        revision = self._own_revision or self.state.revision
        return Success(Published(revision, base, difference))

    def _confirm_unchanged(
        self, base: int, difference: Difference
    ) -> Result[Published, Problem]:
        if not 0 <= base <= self.state.revision:
            return Failure(
                Problem(
                    ErrorKind.STALE_BASE,
                    f"base revision {base} does not exist",
                    "base_revision",
                    f"a revision from 0 to {self.state.revision}",
                )
            )
        return Success(Published(self.state.revision, base, difference))

    def _handle_record(self, _offset: int, record: Record, verdict: Verdict) -> None:
        # Later changes may be applied before ``publish`` continues, so the revision is
        # recorded when the record of the publication itself is applied.
        if record == self._own_change and isinstance(verdict, Success):
            self._own_revision = self.state.revision


def _explain_outage(problem: Problem) -> Problem:
    if problem.kind is not ErrorKind.LOG_UNAVAILABLE:
        return problem
    detail = f"{problem.detail}; the change may still come into force, see the history"
    return problem._replace(detail=detail)

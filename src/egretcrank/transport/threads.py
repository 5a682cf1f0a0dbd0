"""Bridge between threads, such as those of the HTTP server, and the asyncio loop."""

import asyncio
from collections.abc import Callable, Coroutine
from concurrent.futures import ThreadPoolExecutor
from concurrent.futures import TimeoutError as FutureTimeoutError
from datetime import timedelta
from typing import Any, TypeVar

from returns.result import Failure, Result, Success

from egretcrank.errors.kinds import ErrorKind, Problem

T = TypeVar("T")


class ThreadBridge:
    """Runs blocking calls on a bounded thread pool and coroutines on the event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop, threads: int) -> None:
        self._loop = loop
        self._executor = ThreadPoolExecutor(threads, thread_name_prefix="blocking")

    async def run_blocking(self, function: Callable[..., T], *arguments: Any) -> T:
        """Run a blocking function on the thread pool and wait for its result."""
        return await self._loop.run_in_executor(self._executor, function, *arguments)

    def run_on_loop(
        self, coroutine: Coroutine[Any, Any, T], timeout: timedelta
    ) -> Result[T, Problem]:
        """Run a coroutine on the loop from another thread.

        Cancels it and fails with ``outcome_unknown`` after ``timeout``.
        """
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        try:
            return Success(future.result(timeout.total_seconds()))
        except FutureTimeoutError:
            future.cancel()
            return Failure(
                Problem(
                    ErrorKind.OUTCOME_UNKNOWN,
                    f"no result within {timeout.total_seconds():.1f} s",
                )
            )

    def close(self) -> None:
        """Reject new calls and cancel queued ones, without waiting for running ones."""
        self._executor.shutdown(wait=False, cancel_futures=True)

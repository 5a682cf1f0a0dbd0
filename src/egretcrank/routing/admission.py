"""Concurrency limits, shared between customers by weight."""

import asyncio
import math
import threading
from collections import Counter, OrderedDict
from collections.abc import Callable
from datetime import timedelta
from enum import Enum
from typing import NamedTuple

from egretcrank.errors.kinds import ErrorKind, Problem

# Alpha of the dynamic threshold: a customer of weight 1 may have this many times the
# free capacity in flight. A single customer can use 8/9 of the shared capacity; three
# customers that send without limit leave 1/25 of it free.
FREE_CAPACITY_FACTOR = 8.0
# The threshold reduces a customer's share only as its requests end. Until then, 1 in
# RESERVED_DIVISOR of the limit stays reserved for customers that have fewer than
# MIN_REQUESTS_PER_CUSTOMER requests in flight.
RESERVED_DIVISOR = 8
MIN_REQUESTS_PER_CUSTOMER = 2
RETRY_AFTER = timedelta(seconds=1)
MIN_WEIGHT = 0.001
SMOOTHING_FACTOR = 0.05

Weight = Callable[[str], float]


def weigh_equally(_customer: str) -> float:
    """Return weight 1 for every customer."""
    return 1.0


class Admission:
    """Limits the number of requests in flight. Thread-safe; no call blocks.

    Customers share the limit by a dynamic threshold (Choudhury and Hahne, 1998): a
    customer is refused once it has more requests in flight than a multiple of the free
    capacity. A single customer therefore cannot use up the capacity, and a customer
    that was idle is admitted immediately.
    """

    def __init__(self, limit: int, weight: Weight = weigh_equally) -> None:
        self._limit = limit
        self._shared_limit = limit - limit // RESERVED_DIVISOR
        self._weight = weight
        self._lock = threading.Lock()
        self._in_flight_by_customer: Counter[str] = Counter()
        self._total = 0

    @property
    def in_flight(self) -> int:
        """Number of admitted requests that have not ended."""
        return self._total

    def admit(self, customer: str) -> Problem | None:
        """Admit a request or return the reason why it is refused.

        Each admitted request has to be ended with ``release``.
        """
        weight = max(MIN_WEIGHT, self._weight(customer))
        with self._lock:
            total = self._total
            held = self._in_flight_by_customer.get(customer, 0)
            share = FREE_CAPACITY_FACTOR * weight * (self._shared_limit - total)
            if total < self._limit and held < max(MIN_REQUESTS_PER_CUSTOMER, share):
                self._in_flight_by_customer[customer] = held + 1
                self._total += 1
                return None
        return Problem(
            ErrorKind.OVERLOADED,
            f"{total} requests in flight, {held} of this customer",
            expected=f"at most {self._limit} in flight, shared between customers",
            retry_after=RETRY_AFTER,
        )

    def release(self, customer: str) -> None:
        """End an admitted request."""
        with self._lock:
            self._total -= 1
            self._in_flight_by_customer[customer] -= 1
            if not self._in_flight_by_customer[customer]:
                del self._in_flight_by_customer[customer]


class AcquireResult(Enum):
    """Result of ``SlotQueue.acquire``."""

    ACQUIRED = "taken"
    REFUSED = "refused"
    EXPIRED = "expired"


class _Waiter(NamedTuple):
    customer: str
    finish_time: float
    sequence: int
    future: asyncio.Future[AcquireResult]


class SlotQueue:
    """Execution slots of a host with a weighted fair queue of up to ``limit`` requests.

    Requests are dequeued by virtual finish time (weighted fair queueing), so that the
    waiting time of a customer depends on its own backlog. When the queue is full, a
    request of a customer below its share pushes out the newest request of the customer
    with the longest backlog.
    """

    def __init__(self, slots: int, limit: int, weight: Weight = weigh_equally) -> None:
        self._slots = slots
        self._limit = limit
        self._weight = weight
        self._running = 0
        self._waiters: list[_Waiter] = []
        self._finish_times: OrderedDict[str, float] = OrderedDict()
        self._virtual_time = 0.0
        self._last_sequence = 0
        self._mean_hold_seconds = 0.0

    @property
    def running(self) -> int:
        """Number of slots in use."""
        return self._running

    @property
    def waiting(self) -> int:
        """Number of queued requests."""
        return len(self._waiters)

    def estimate_wait(self) -> timedelta:
        """Return the expected waiting time of a request at the end of the queue."""
        if self._running < self._slots:
            return timedelta(0)
        rounds = (len(self._waiters) + 1) / self._slots
        return timedelta(seconds=rounds * self._mean_hold_seconds)

    async def acquire(self, customer: str, timeout: timedelta) -> AcquireResult:
        """Wait for a slot for up to ``timeout``.

        An acquired slot has to be given back with ``release``.
        """
        if self._running < self._slots and not self._waiters:
            self._running += 1
            return AcquireResult.ACQUIRED
        # A request that cannot start in time must not occupy a queue position that
        # another request could use.
        if self._is_backlog_too_long(customer, timeout):
            return AcquireResult.REFUSED
        if len(self._waiters) >= self._limit and not self._push_out_request(customer):
            return AcquireResult.REFUSED
        waiter = self._enqueue(customer)
        try:
            async with asyncio.timeout(max(0.0, timeout.total_seconds())):
                return await waiter.future
        except TimeoutError:
            return self._cancel_waiter(waiter)
        except asyncio.CancelledError:
            if self._cancel_waiter(waiter) is AcquireResult.ACQUIRED:
                self._grant_next()
            raise

    def release(self, held: timedelta) -> None:
        """Release a slot that was in use for the time ``held``."""
        seconds = held.total_seconds()
        if not self._mean_hold_seconds:
            self._mean_hold_seconds = seconds
        self._mean_hold_seconds += SMOOTHING_FACTOR * (
            seconds - self._mean_hold_seconds
        )
        self._grant_next()

    def _is_backlog_too_long(self, customer: str, timeout: timedelta) -> bool:
        ahead = sum(waiter.customer == customer for waiter in self._waiters)
        seconds = ahead / self._slots * self._mean_hold_seconds
        return seconds > timeout.total_seconds()

    def _get_weight(self, customer: str) -> float:
        return max(MIN_WEIGHT, self._weight(customer))

    def _enqueue(self, customer: str) -> _Waiter:
        start = max(self._virtual_time, self._finish_times.get(customer, 0.0))
        finish_time = start + 1 / self._get_weight(customer)
        self._finish_times[customer] = finish_time
        self._last_sequence += 1
        future: asyncio.Future[AcquireResult] = (
            asyncio.get_running_loop().create_future()
        )
        waiter = _Waiter(customer, finish_time, self._last_sequence, future)
        self._waiters.append(waiter)
        return waiter

    def _push_out_request(self, customer: str) -> bool:
        backlog: Counter[str] = Counter(w.customer for w in self._waiters)
        if not backlog:
            return False

        def compute_backlog(name: str, extra: int = 0) -> float:
            return (backlog[name] + extra) / self._get_weight(name)

        longest = max(backlog, key=compute_backlog)
        if compute_backlog(longest) <= compute_backlog(customer, 1):
            return False
        newest = max(
            (w for w in self._waiters if w.customer == longest),
            key=lambda w: w.sequence,
        )
        self._remove(newest)
        if not newest.future.done():
            newest.future.set_result(AcquireResult.REFUSED)
        return True

    def _remove(self, waiter: _Waiter) -> None:
        self._waiters.remove(waiter)
        # Requests that were not served do not count against the customer's share.
        share = 1 / self._get_weight(waiter.customer)
        self._finish_times[waiter.customer] -= share

    def _cancel_waiter(self, waiter: _Waiter) -> AcquireResult:
        if waiter.future.done() and not waiter.future.cancelled():
            return waiter.future.result()
        if waiter in self._waiters:
            self._remove(waiter)
        return AcquireResult.EXPIRED

    def _grant_next(self) -> None:
        # An expired waiter stays in the list until its task runs.
        self._waiters = [w for w in self._waiters if not w.future.done()]
        if not self._waiters:
            self._running -= 1
            if not self._running:
                # The queue is idle, so past service no longer affects fairness.
                self._finish_times.clear()
                self._virtual_time = 0.0
            return
        waiter = min(self._waiters, key=lambda w: (w.finish_time, w.sequence))
        self._waiters.remove(waiter)
        self._virtual_time = max(
            self._virtual_time,
            waiter.finish_time - 1 / self._get_weight(waiter.customer),
        )
        self._prune_finish_times()
        waiter.future.set_result(AcquireResult.ACQUIRED)

    def _prune_finish_times(self) -> None:
        if len(self._finish_times) <= 4 * (self._limit + self._slots):
            return
        waiting = {waiter.customer for waiter in self._waiters}
        for customer in list(self._finish_times):
            if (
                customer not in waiting
                and self._finish_times[customer] <= self._virtual_time
            ):
                del self._finish_times[customer]


def round_up_retry(wait: timedelta) -> timedelta:
    """Round a waiting time up to whole seconds, at least one, for Retry-After."""
    return timedelta(seconds=max(1, math.ceil(wait.total_seconds())))

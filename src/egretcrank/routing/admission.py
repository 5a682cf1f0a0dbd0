"""Limits of requests in flight, shared between customers by weight."""

import asyncio
import math
import threading
from collections import Counter, OrderedDict
from collections.abc import Callable
from datetime import timedelta
from enum import Enum
from typing import NamedTuple

from egretcrank.errors.kinds import ErrorKind, Problem

# A customer of weight 1 may hold this many times the room that is left. One customer
# alone reaches 8/9 of the shared room; three floods together leave 1/25 of it.
SHARE_OF_FREE = 8.0
# The threshold takes effect as requests end. Until then, a part of the limit (one in
# this many) is open only to customers that hold less than a few requests.
RESERVED_PART = 8
RESERVED_EACH = 2
RETRY_AFTER = timedelta(seconds=1)
SMALLEST_WEIGHT = 0.001
SMOOTHING = 0.05

Weight = Callable[[str], float]


def weigh_equally(_customer: str) -> float:
    """Return the weight of a customer without a plan."""
    return 1.0


class Admission:
    """Bounds requests in flight; any thread may call it and none waits in it.

    The share is a dynamic threshold (Choudhury and Hahne, 1998): a customer is refused
    once it holds more than a multiple of the free room, so a flood stops itself before
    the room is used up and a customer that was idle is admitted at once.
    """

    def __init__(self, limit: int, weight: Weight = weigh_equally) -> None:
        self._limit = limit
        self._shared = limit - limit // RESERVED_PART
        self._weight = weight
        self._lock = threading.Lock()
        self._held: Counter[str] = Counter()
        self._total = 0

    @property
    def in_flight(self) -> int:
        """Requests that were admitted and have not ended."""
        return self._total

    def enter(self, customer: str) -> Problem | None:
        """Admit a request, to be ended with ``leave``, or return the refusal."""
        weight = max(SMALLEST_WEIGHT, self._weight(customer))
        with self._lock:
            total = self._total
            held = self._held.get(customer, 0)
            share = SHARE_OF_FREE * weight * (self._shared - total)
            if total < self._limit and held < max(RESERVED_EACH, share):
                self._held[customer] = held + 1
                self._total += 1
                return None
        return Problem(
            ErrorKind.OVERLOADED,
            f"{total} requests in flight, {held} of this customer",
            expected=f"at most {self._limit} in flight, shared between customers",
            retry_after=RETRY_AFTER,
        )

    def leave(self, customer: str) -> None:
        """End a request that was admitted."""
        with self._lock:
            self._total -= 1
            self._held[customer] -= 1
            if not self._held[customer]:
                del self._held[customer]


class Grant(Enum):
    """Result of waiting for a slot."""

    TAKEN = "taken"
    REFUSED = "refused"
    EXPIRED = "expired"


class _Waiter(NamedTuple):
    customer: str
    finish: float
    number: int
    granted: asyncio.Future[Grant]


class SlotQueue:
    """Slots of a host with a bounded queue, served fairly between customers.

    The queue is ordered by virtual finish time (weighted fair queueing), so that the
    wait of a customer depends on its own backlog. A full queue makes room for a
    customer below its share by refusing the newest request of the longest backlog.
    """

    def __init__(self, slots: int, limit: int, weight: Weight = weigh_equally) -> None:
        self._slots = slots
        self._limit = limit
        self._weight = weight
        self._running = 0
        self._waiters: list[_Waiter] = []
        self._finish: OrderedDict[str, float] = OrderedDict()
        self._virtual = 0.0
        self._numbers = 0
        self._mean_seconds = 0.0

    @property
    def running(self) -> int:
        """Slots in use."""
        return self._running

    @property
    def waiting(self) -> int:
        """Requests that wait for a slot."""
        return len(self._waiters)

    def estimate_wait(self) -> timedelta:
        """Return the expected wait of a request that joins the end of the queue."""
        if self._running < self._slots:
            return timedelta(0)
        rounds = (len(self._waiters) + 1) / self._slots
        return timedelta(seconds=rounds * self._mean_seconds)

    async def acquire(self, customer: str, limit: timedelta) -> Grant:
        """Wait for a slot up to ``limit``; one that is taken has to be released."""
        if self._running < self._slots and not self._waiters:
            self._running += 1
            return Grant.TAKEN
        # A request that cannot start in time must not take room from one that can.
        if self._is_own_backlog_too_long(customer, limit):
            return Grant.REFUSED
        if len(self._waiters) >= self._limit and not self._make_room(customer):
            return Grant.REFUSED
        waiter = self._enqueue(customer)
        try:
            async with asyncio.timeout(max(0.0, limit.total_seconds())):
                return await waiter.granted
        except TimeoutError:
            return self._give_up(waiter)
        except asyncio.CancelledError:
            if self._give_up(waiter) is Grant.TAKEN:
                self._pass_on()
            raise

    def release(self, held: timedelta) -> None:
        """Give back a slot that was held for the time ``held``."""
        seconds = held.total_seconds()
        if not self._mean_seconds:
            self._mean_seconds = seconds
        self._mean_seconds += SMOOTHING * (seconds - self._mean_seconds)
        self._pass_on()

    def _is_own_backlog_too_long(self, customer: str, limit: timedelta) -> bool:
        ahead = sum(waiter.customer == customer for waiter in self._waiters)
        seconds = ahead / self._slots * self._mean_seconds
        return seconds > limit.total_seconds()

    def _get_weight(self, customer: str) -> float:
        return max(SMALLEST_WEIGHT, self._weight(customer))

    def _enqueue(self, customer: str) -> _Waiter:
        start = max(self._virtual, self._finish.get(customer, 0.0))
        finish = start + 1 / self._get_weight(customer)
        self._finish[customer] = finish
        self._numbers += 1
        granted: asyncio.Future[Grant] = asyncio.get_running_loop().create_future()
        waiter = _Waiter(customer, finish, self._numbers, granted)
        self._waiters.append(waiter)
        return waiter

    def _make_room(self, customer: str) -> bool:
        backlog: Counter[str] = Counter(w.customer for w in self._waiters)
        if not backlog:
            return False

        def measure(name: str, more: int = 0) -> float:
            return (backlog[name] + more) / self._get_weight(name)

        longest = max(backlog, key=measure)
        if measure(longest) <= measure(customer, 1):
            return False
        newest = max(
            (w for w in self._waiters if w.customer == longest), key=lambda w: w.number
        )
        self._remove(newest)
        if not newest.granted.done():
            newest.granted.set_result(Grant.REFUSED)
        return True

    def _remove(self, waiter: _Waiter) -> None:
        self._waiters.remove(waiter)
        # A request that did not run must not count against its customer.
        share = 1 / self._get_weight(waiter.customer)
        self._finish[waiter.customer] -= share

    def _give_up(self, waiter: _Waiter) -> Grant:
        if waiter.granted.done() and not waiter.granted.cancelled():
            return waiter.granted.result()
        if waiter in self._waiters:
            self._remove(waiter)
        return Grant.EXPIRED

    def _pass_on(self) -> None:
        # A waiter whose time has passed stays in the queue until its task runs.
        self._waiters = [w for w in self._waiters if not w.granted.done()]
        if not self._waiters:
            self._running -= 1
            if not self._running:
                # Nobody waits or runs, so there is no service to be fair about.
                self._finish.clear()
                self._virtual = 0.0
            return
        waiter = min(self._waiters, key=lambda w: (w.finish, w.number))
        self._waiters.remove(waiter)
        self._virtual = max(
            self._virtual, waiter.finish - 1 / self._get_weight(waiter.customer)
        )
        self._forget_past()
        waiter.granted.set_result(Grant.TAKEN)

    def _forget_past(self) -> None:
        if len(self._finish) <= 4 * (self._limit + self._slots):
            return
        waiting = {waiter.customer for waiter in self._waiters}
        for customer in list(self._finish):
            if customer not in waiting and self._finish[customer] <= self._virtual:
                del self._finish[customer]


def round_up_retry(wait: timedelta) -> timedelta:
    """Return a Retry-After of whole seconds, at least one."""
    return timedelta(seconds=max(1, math.ceil(wait.total_seconds())))

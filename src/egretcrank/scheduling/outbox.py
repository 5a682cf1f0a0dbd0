"""Queue of the orders to one host, with resending."""

from collections import OrderedDict
from collections.abc import Iterable
from datetime import timedelta
from typing import NamedTuple

from egretcrank.wire.hosting import NumberedOrder, StartOrder, StopOrder, find_job

# Unconfirmed orders are resent with exponential backoff, as repetitions on a congested
# link would only lengthen its queue.
RESEND_DELAY = timedelta(milliseconds=300)
MAX_RESEND_DELAY = timedelta(milliseconds=2400)
# Number of jobs whose specification the agent is assumed to have; it caches more.
MAX_KNOWN_SPECS = 256
# Unconfirmed orders on their way at a time, and the bytes of their specifications and
# checkpoints. An agent of the previous release applies no message that needs over 512
# specifications.
MAX_ORDERS_IN_FLIGHT = 512
MAX_BYTES_IN_FLIGHT = 1024 * 1024


class Batch(NamedTuple):
    """Orders to send now, and the job specifications that they need, by job."""

    orders: tuple[NumberedOrder, ...]
    specs: dict[str, str]


EMPTY_BATCH = Batch((), {})


class Outbox:
    """Queue that sends each order once and resends it when its confirmation is overdue.

    A specification of up to 4 KB is sent once per job and not with every task. Sending
    it with each task, and all unconfirmed orders with each new one, congested small
    links until the leader's own calls to the log timed out. The orders on their way are
    bounded, as an agent applies a message as a whole; the others follow once it has
    confirmed some.
    """

    def __init__(self) -> None:
        self._unconfirmed: list[NumberedOrder] = []
        # Orders at the head of the queue that may be on their way, and their bytes.
        self._window = 0
        self._window_bytes = 0
        self._sent_number = 0
        self._sent_at = timedelta()
        self._resend_delay = RESEND_DELAY
        self._sent_specs: OrderedDict[str, None] = OrderedDict()
        self.last_number = 0
        self.applied = 0

    def __len__(self) -> int:
        return len(self._unconfirmed)

    def add(self, order: StartOrder | StopOrder) -> int:
        """Queue an order and return its number."""
        self.last_number += 1
        match order:
            case StartOrder():
                numbered = NumberedOrder(self.last_number, start=order)
            case StopOrder():
                numbered = NumberedOrder(self.last_number, stop=order)
        self._unconfirmed.append(numbered)
        self._fill_window()
        return self.last_number

    def _fill_window(self) -> None:
        """Admit orders to the window, in their order."""
        while self._window < min(len(self._unconfirmed), MAX_ORDERS_IN_FLIGHT):
            size = _measure(self._unconfirmed[self._window])
            if self._window and self._window_bytes + size > MAX_BYTES_IN_FLIGHT:
                return
            self._window += 1
            self._window_bytes += size

    def confirm(self, applied: int, now: timedelta) -> None:
        """Remove the orders up to number ``applied``, which the agent has applied."""
        if applied <= self.applied:
            return
        self.applied = applied
        confirmed = [o for o in self._unconfirmed if o.number <= applied]
        del self._unconfirmed[: len(confirmed)]
        self._window = max(0, self._window - len(confirmed))
        self._window_bytes = sum(map(_measure, self._unconfirmed[: self._window]))
        self._fill_window()
        self._sent_at = now
        self._resend_delay = RESEND_DELAY

    def is_due(self, now: timedelta) -> bool:
        """Return whether there are orders to send or resend."""
        return self._sent_number < self._window_end or self._is_overdue(now)

    @property
    def _window_end(self) -> int:
        """Number of the last order that may be on its way."""
        if not self._window:
            return self._sent_number
        return self._unconfirmed[self._window - 1].number

    def _is_overdue(self, now: timedelta) -> bool:
        in_flight = bool(self._unconfirmed) and self._sent_number > self.applied
        return in_flight and now - self._sent_at > self._resend_delay

    def take(self, now: timedelta) -> Batch:
        """Return the orders to send now and mark them as sent."""
        if not self.is_due(now):
            return EMPTY_BATCH
        resending = self._is_overdue(now)
        if resending:
            self._resend_delay = min(2 * self._resend_delay, MAX_RESEND_DELAY)
        if resending or self._sent_number <= self.applied:
            self._sent_at = now
        first = 0 if resending else self._sent_number
        orders = [o for o in self._unconfirmed[: self._window] if o.number > first]
        self._sent_number = self._window_end
        return Batch(
            tuple(_strip_spec(order) for order in orders),
            self._select_specs(orders, resending),
        )

    def _select_specs(
        self, orders: Iterable[NumberedOrder], resending: bool
    ) -> dict[str, str]:
        """Return the specifications that the agent may not have.

        If an order is lost with its specification, the orders after it wait until all
        are resent, with their specifications.
        """
        specs: dict[str, str] = {}
        for order in orders:
            if order.start is None:
                continue
            job = find_job(order.start.task)
            if resending or job not in self._sent_specs:
                specs[job] = order.start.spec
            self._sent_specs[job] = None
            self._sent_specs.move_to_end(job)
        while len(self._sent_specs) > MAX_KNOWN_SPECS:
            self._sent_specs.popitem(last=False)
        return specs


def _measure(order: NumberedOrder) -> int:
    """Return the characters that an order may add to a message."""
    if order.start is None:
        return 0
    return len(order.start.spec) + len(order.start.checkpoint)


def _strip_spec(order: NumberedOrder) -> NumberedOrder:
    if order.start is None:
        return order
    return order._replace(start=order.start._replace(spec=""))

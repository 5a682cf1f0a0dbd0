"""Orders of one session of a host, until its agent has taken them."""

from collections import OrderedDict
from collections.abc import Iterable
from datetime import timedelta
from typing import NamedTuple

from egretcrank.wire.hosting import NumberedOrder, StartOrder, StopOrder, find_job

# Orders that no report confirmed are sent again, after twice the time with each try:
# on a link that is full, repetitions would only lengthen the queue.
RESEND_AFTER = timedelta(milliseconds=300)
MOST_RESEND_AFTER = timedelta(milliseconds=2400)
# Jobs whose specification counts as known to the agent; it keeps more than these.
MOST_KNOWN_SPECS = 256


class Batch(NamedTuple):
    """Orders to send now, and the specifications of jobs that they need."""

    orders: tuple[NumberedOrder, ...]
    specs: dict[str, str]


EMPTY_BATCH = Batch((), {})


class Outbox:
    """Sends each order once, and again only when its confirmation is overdue.

    Answers wide steps on small links: the specification of a job is up to 4 KB, and a
    leader that sent it with each of a step's tasks, and all unconfirmed orders with
    each new one, filled its link until its own calls to the log timed out.
    """

    def __init__(self) -> None:
        self._unconfirmed: list[NumberedOrder] = []
        self._sent_number = 0
        self._sent_at = timedelta()
        self._resend_after = RESEND_AFTER
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
        return self.last_number

    def confirm(self, applied: int, now: timedelta) -> None:
        """Drop the orders that the agent has taken."""
        if applied <= self.applied:
            return
        self.applied = applied
        self._unconfirmed = [o for o in self._unconfirmed if o.number > applied]
        self._sent_at = now
        self._resend_after = RESEND_AFTER

    def is_due(self, now: timedelta) -> bool:
        """Tell whether there is something to send."""
        return self._sent_number < self.last_number or self._is_overdue(now)

    def _is_overdue(self, now: timedelta) -> bool:
        in_flight = bool(self._unconfirmed) and self._sent_number > self.applied
        return in_flight and now - self._sent_at > self._resend_after

    def take(self, now: timedelta) -> Batch:
        """Return what is to be sent now, and count it as sent."""
        if not self.is_due(now):
            return EMPTY_BATCH
        again = self._is_overdue(now)
        if again:
            self._resend_after = min(2 * self._resend_after, MOST_RESEND_AFTER)
        if again or self._sent_number <= self.applied:
            self._sent_at = now
        first = 0 if again else self._sent_number
        orders = [o for o in self._unconfirmed if o.number > first]
        self._sent_number = self.last_number
        return Batch(
            tuple(_strip_spec(order) for order in orders),
            self._take_specs(orders, again),
        )

    def _take_specs(
        self, orders: Iterable[NumberedOrder], again: bool
    ) -> dict[str, str]:
        """Return the specifications that the agent may lack.

        An order that is lost with its specification holds up those after it until all
        are sent again, with their specifications.
        """
        specs: dict[str, str] = {}
        for order in orders:
            if order.start is None:
                continue
            job = find_job(order.start.task)
            if again or job not in self._sent_specs:
                specs[job] = order.start.spec
            self._sent_specs[job] = None
            self._sent_specs.move_to_end(job)
        while len(self._sent_specs) > MOST_KNOWN_SPECS:
            self._sent_specs.popitem(last=False)
        return specs


def _strip_spec(order: NumberedOrder) -> NumberedOrder:
    if order.start is None:
        return order
    return order._replace(start=order.start._replace(spec=""))

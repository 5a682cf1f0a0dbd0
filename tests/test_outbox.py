"""Tests of the outbox of orders on slow and lossy links."""

import itertools
from datetime import timedelta

from egretcrank.agent.specs import MAX_CACHED_SPECS, SpecCache
from egretcrank.agent.state import AgentState, Identity
from egretcrank.scheduling.outbox import (
    MAX_BYTES_IN_FLIGHT,
    MAX_KNOWN_SPECS,
    MAX_ORDERS_IN_FLIGHT,
    MAX_RESEND_DELAY,
    RESEND_DELAY,
    Batch,
    Outbox,
)
from egretcrank.wire.hosting import HostOrders, StartOrder, StopOrder, TaskProfile
from tests.cases import AsyncTestCase

NOW = timedelta(seconds=100)
SPEC = "s" * 4000
PROFILE = TaskProfile(1000, False, "", 0.0)


def build_start(job: str = "a", index: int = 0) -> StartOrder:
    """Build the start order of one task of a job."""
    return StartOrder(f"{job}.0.0.{index}", 1, SPEC, "", "", PROFILE)


def list_numbers(batch: Batch) -> list[int]:
    """List the numbers of the orders of a batch."""
    return [order.number for order in batch.orders]


class SendingTests(AsyncTestCase):
    """Sending and resending of orders."""

    def test_an_order_is_sent_once_before_its_confirmation_is_overdue(self):
        """Guards against sending all unconfirmed orders with each new one.

        On a 2 Mbit/s link, the repetitions congested the leader's link within 4 s, its
        calls to join the log timed out, and the next leader failed the same way.
        """
        outbox = Outbox()
        sent = []
        for index in range(10):
            outbox.add(build_start(index=index))
            sent += list_numbers(outbox.take(NOW + timedelta(milliseconds=20 * index)))
        self.assertEqual(sent, list(range(1, 11)))

    def test_a_specification_is_sent_once_for_the_tasks_of_a_job(self):
        """Guards against sending 4 KB for each task of a wide step."""
        outbox = Outbox()
        for index in range(40):
            outbox.add(build_start(index=index))
        batch = outbox.take(NOW)
        self.assertEqual(batch.specs, {"a": SPEC})
        specs = {order.start.spec for order in batch.orders if order.start}
        self.assertEqual(specs, {""})
        outbox.add(build_start(index=40))
        self.assertEqual(outbox.take(NOW).specs, {})

    def test_unconfirmed_orders_are_resent_with_backoff(self):
        """Guards against repetitions that keep a link congested."""
        outbox = Outbox()
        outbox.add(build_start())
        outbox.add(StopOrder("b.0.0.0", 1))
        times = []
        for step in range(800):
            now = NOW + step * timedelta(milliseconds=10)
            batch = outbox.take(now)
            if batch.orders:
                self.assertEqual(list_numbers(batch), [1, 2])
                self.assertEqual(batch.specs, {"a": SPEC})
                times.append(now)
        gaps = [after - before for before, after in itertools.pairwise(times)]
        self.assertGreaterEqual(gaps[0], RESEND_DELAY)
        self.assertEqual(gaps, sorted(gaps))
        self.assertLess(len(times), 7)
        self.assertLessEqual(gaps[-1], MAX_RESEND_DELAY + timedelta(milliseconds=20))

    def test_progress_of_the_agent_postpones_resending(self):
        """Guards against repetitions to an agent that applies orders slowly."""
        outbox = Outbox()
        for index in range(3):
            outbox.add(build_start(index=index))
        outbox.take(NOW)
        later = NOW + RESEND_DELAY
        outbox.confirm(2, later)
        self.assertEqual(len(outbox), 1)
        self.assertFalse(outbox.is_due(later + RESEND_DELAY / 2))
        self.assertEqual(list_numbers(outbox.take(later + 2 * RESEND_DELAY)), [3])

    def test_known_specifications_are_bounded(self):
        """Guards against memory that grows with the jobs of a session."""
        outbox = Outbox()
        for number in range(MAX_KNOWN_SPECS + 1):
            outbox.add(build_start(f"j{number}"))
            outbox.take(NOW)
        outbox.add(build_start("j0", 1))
        self.assertEqual(outbox.take(NOW).specs, {"j0": SPEC})


class WindowTests(AsyncTestCase):
    """Limits of the orders on their way."""

    def test_orders_wait_while_as_many_as_an_agent_applies_are_on_their_way(self):
        """Guards against a message that an agent can't apply, and that is repeated."""
        outbox = Outbox()
        for number in range(2 * MAX_ORDERS_IN_FLIGHT + 10):
            outbox.add(build_start(f"j{number}")._replace(spec="s"))
        sent = []
        for window in range(1, 4):
            batch = outbox.take(NOW)
            self.assertLessEqual(len(batch.specs), MAX_ORDERS_IN_FLIGHT)
            sent += list_numbers(batch)
            self.assertEqual(outbox.take(NOW).orders, ())
            last = min(window * MAX_ORDERS_IN_FLIGHT, outbox.last_number)
            self.assertEqual(sent[-1], last)
            outbox.confirm(last, NOW)
        self.assertEqual(sent, list(range(1, outbox.last_number + 1)))
        self.assertFalse(outbox.is_due(NOW + MAX_RESEND_DELAY))

    def test_the_bytes_on_their_way_are_bounded(self):
        """Guards against a message of many megabytes on a small link."""
        outbox = Outbox()
        large = build_start()._replace(checkpoint="c" * (MAX_BYTES_IN_FLIGHT // 4))
        for number in range(10):
            outbox.add(large._replace(task=f"j{number}.0.0.0"))
        numbers = list_numbers(outbox.take(NOW))
        self.assertEqual(numbers, [1, 2, 3])
        self.assertEqual(list_numbers(outbox.take(NOW + 2 * RESEND_DELAY)), numbers)
        outbox.confirm(1, NOW)
        self.assertEqual(list_numbers(outbox.take(NOW)), [4])

    def test_an_order_that_is_larger_than_the_window_is_sent(self):
        """Guards against an order that waits for room that never comes."""
        outbox = Outbox()
        checkpoint = "c" * (2 * MAX_BYTES_IN_FLIGHT)
        outbox.add(build_start()._replace(checkpoint=checkpoint))
        outbox.add(StopOrder("b.0.0.0", 1))
        self.assertEqual(list_numbers(outbox.take(NOW)), [1])
        outbox.confirm(1, NOW)
        self.assertEqual(list_numbers(outbox.take(NOW)), [2])

    def test_confirmations_of_orders_that_are_not_sent_yet_lose_none(self):
        """Guards against orders that are left out as an agent confirms more of them."""
        outbox = Outbox()
        for number in range(MAX_ORDERS_IN_FLIGHT + 5):
            outbox.add(build_start(f"j{number}")._replace(spec="s"))
        outbox.take(NOW)
        outbox.confirm(3, NOW)
        self.assertEqual(
            list_numbers(outbox.take(NOW)),
            [MAX_ORDERS_IN_FLIGHT + number for number in (1, 2, 3)],
        )


class LossTests(AsyncTestCase):
    """Messages that are lost."""

    def _deliver(self, agent: AgentState, batch: Batch) -> list[str]:
        message = HostOrders(
            epoch=1, session=1, incarnation="i", orders=batch.orders, specs=batch.specs
        )
        taken = agent.accept_orders(message)
        return [order.start.spec for order in taken if order.start]

    def test_an_order_without_its_specification_waits_for_resending(self):
        """Guards against starting a task with the wrong specification."""
        outbox, agent = Outbox(), AgentState(Identity("h", "h:1", "i"))
        outbox.add(build_start())
        outbox.take(NOW)
        outbox.add(build_start(index=1))
        self.assertEqual(self._deliver(agent, outbox.take(NOW)), [])
        again = outbox.take(NOW + 2 * RESEND_DELAY)
        self.assertEqual(self._deliver(agent, again), [SPEC, SPEC])
        self.assertEqual(agent.applied, 2)

    def test_more_specifications_than_an_agent_keeps_are_applied_at_once(self):
        """Guards against a host that starts nothing after a loss of all controllers.

        Case 3 of the review: the specifications of one message pushed each other out of
        the agent's cache, each time that the message was sent.
        """
        outbox, agent = Outbox(), AgentState(Identity("h", "h:1", "i"))
        jobs = 3 * MAX_CACHED_SPECS
        for number in range(jobs):
            outbox.add(build_start(f"j{number}"))
        batch = outbox.take(NOW)
        specs = {f"j{number}": SPEC for number in range(jobs)}
        taken = self._deliver(agent, batch._replace(specs=specs))
        self.assertEqual(taken, [SPEC] * len(batch.orders))
        self.assertEqual(agent.applied, len(batch.orders))
        self.assertEqual(len(agent._specs), MAX_CACHED_SPECS)

    def test_an_order_is_applied_later_if_its_specification_was_evicted(self):
        """Guards against an order that is never applied."""
        outbox, agent = Outbox(), AgentState(Identity("h", "h:1", "i"))
        outbox.add(build_start())
        self.assertEqual(self._deliver(agent, outbox.take(NOW)), [SPEC])
        outbox.confirm(agent.applied, NOW)
        agent._specs = SpecCache()
        outbox.add(build_start(index=1))
        self.assertEqual(self._deliver(agent, outbox.take(NOW)), [])
        again = outbox.take(NOW + 2 * RESEND_DELAY)
        self.assertEqual(self._deliver(agent, again), [SPEC])

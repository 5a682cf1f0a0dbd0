"""Tests of heartbeats that come late, to an agent that knows better."""

from egretcrank.agent.state import AgentState, Identity
from egretcrank.wire.hosting import RunnerFacts
from tests.cases import AsyncTestCase


def build_facts(born: int, draining: bool = False) -> RunnerFacts:
    """Build what a runner says of itself."""
    return RunnerFacts(
        "r", born, "s", "z", "rack", ("a", "rack"), 16000, 64000, 0, draining, 0.0
    )


class OrderTests(AsyncTestCase):
    """Heartbeats that a partition held up."""

    def setUp(self):
        super().setUp()
        self.state = AgentState(Identity("h", "h:1", "i"))

    def test_a_late_heartbeat_does_not_end_a_drain(self):
        """Guards against starts on a runner that is leaving."""
        self.assertTrue(self.state.take_runner(build_facts(5, draining=True), 4))
        self.assertFalse(self.state.take_runner(build_facts(5), 3))
        assert self.state.runner is not None
        self.assertTrue(self.state.runner.draining)

    def test_a_late_heartbeat_does_not_bring_a_runner_back_that_has_left(self):
        """Guards against a host that is registered again after its runner left."""
        self.state.take_runner(build_facts(5), 3)
        self.state.leave("r")
        self.assertFalse(self.state.take_runner(build_facts(5), 4))
        self.assertTrue(self.state.left)

    def test_a_former_life_says_nothing_of_the_next(self):
        """Guards against the facts of a runner that crashed meanwhile."""
        self.state.take_runner(build_facts(6), 1)
        self.assertFalse(self.state.take_runner(build_facts(5, draining=True), 9))
        assert self.state.runner is not None
        self.assertEqual(self.state.runner.born, 6)

    def test_the_next_life_counts_from_one_again(self):
        """Guards against a runner that is deaf after its restart."""
        self.state.take_runner(build_facts(5), 900)
        self.state.leave("r")
        self.assertTrue(self.state.take_runner(build_facts(6), 1))
        self.assertFalse(self.state.left)

"""Tests of the simulation of a cell."""

from datetime import timedelta

from egretcrank.wire.hosting import StartOrder, TaskProfile
from tests.cases import AsyncTestCase
from tests.cell_world import LateStart, World, build_step


class LateStartTests(AsyncTestCase):
    """Starts that a simulated runner carries out late."""

    def test_a_late_start_is_lost_with_the_process_that_got_it(self):
        """Guards against a second run that only the simulation is to blame for."""
        world = World(1, hosts=1)
        task = f"{world.submit(build_step(width=1))}.0.0.0"
        runner = world.runners[0]
        order = StartOrder(task, 1, "", "", "", TaskProfile(1000, False, "", 0.0))
        late = LateStart(runner, runner.born, order, 10_000, runner.token)
        runner.crash(timedelta(seconds=1))
        world.clock.advance(timedelta(seconds=2))
        late.execute()
        self.assertEqual(world.starts, [])

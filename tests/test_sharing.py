"""Tests of what filling tasks do to serving ones, and of their paces."""

from datetime import timedelta

from egretcrank.agent.pace import HARM_LIMIT, PaceController
from egretcrank.policy.sharing import (
    PRIOR_PRESSURE,
    REFRESH_INTERVAL,
    ChangedPressures,
    PressureTable,
    SharingModel,
    SharingTask,
)
from egretcrank.wire.hosting import Pressure, Run, RunningTask, TaskProfile
from tests.cases import AsyncTestCase

TARGET = 24.0
FLOOR = 4.0
SECOND = timedelta(seconds=1)


def find_tail(load: float, pressures: dict[str, float], cores: dict[str, float]):
    """Return the tail of a serving task as a queue has it."""
    used = load + sum(pressures[image] * cores[image] for image in cores)
    return FLOOR / (1 - min(used, 0.99))


class SharingModelTests(AsyncTestCase):
    """Learning of pairs."""

    def test_tells_a_heavy_pair_from_a_light_one_beside_it(self):
        """Guards against blaming a harmless image for its neighbour."""
        pressures = {"heavy": 0.12, "light": 0.01}
        model = SharingModel()
        at = timedelta()
        for step in range(40):
            cores = {
                "heavy": 2.0 if step % 4 == 0 else 0.0,
                "light": 4.0 if step % 3 == 0 else 0.0,
            }
            ratio = find_tail(0.4, pressures, cores) / TARGET
            tasks = [SharingTask("s", "serving", ratio=ratio)]
            tasks += [SharingTask(i, i, cores=c) for i, c in cores.items()]
            model.observe("h", tasks, at)
            at += SECOND
        heavy = model.estimate_pressure("heavy", "serving")
        light = model.estimate_pressure("light", "serving")
        self.assertGreater(heavy.mean, 0.08)
        self.assertLess(light.mean, 0.03)

    def test_an_unknown_pair_has_the_prior(self):
        """Guards against placing an unknown image as if it were harmless."""
        self.assertEqual(
            SharingModel().estimate_pressure("any", "serving"), PRIOR_PRESSURE
        )

    def test_hosts_together_know_more_than_one(self):
        """Guards against counting the common prior once for each host."""
        table = PressureTable()
        for host in ("a", "b", "c"):
            table.take(host, [Pressure("f", "s", 0.1, 0.03)])
        merged = table.estimate("f", "s")
        self.assertGreater(merged.mean, 0.1 - 0.01)
        self.assertLess(merged.deviation, 0.02)
        table.forget("a")
        self.assertGreater(table.estimate("f", "s").deviation, merged.deviation)

    def test_a_later_report_replaces_what_the_host_said_before(self):
        """Guards against counting one host twice, and against sums that drift."""
        table, other = PressureTable(), PressureTable()
        for mean in (0.3, 0.2, 0.1):
            table.take("a", [Pressure("f", "s", mean, 0.03), Pressure("g", "s", 0, 1)])
        table.take("a", [])
        other.take("a", [Pressure("f", "s", 0.1, 0.03)])
        for ours, theirs in zip(
            table.estimate("f", "s"), other.estimate("f", "s"), strict=True
        ):
            self.assertAlmostEqual(ours, theirs)
        self.assertEqual([p.filling for p in table.list_for(["s"])], ["f", "g"])

    def test_only_changes_are_told_until_all_are_told_again(self):
        """Guards against reports that grow with the images and fill the link."""
        changed = ChangedPressures()
        at = timedelta(seconds=100)
        pressures = [Pressure(f"f{i}", "s", 0.05, 0.03) for i in range(50)]
        self.assertEqual(len(changed.choose(pressures, at)), 50)
        self.assertEqual(changed.choose(pressures, at), ())
        pressures[7] = pressures[7]._replace(mean=0.09)
        self.assertEqual(changed.choose(pressures, at), (pressures[7],))
        later = at + REFRESH_INTERVAL
        self.assertEqual(len(changed.choose(pressures, later)), 50)


class PaceTests(AsyncTestCase):
    """Paces over a load that swings within seconds."""

    def _play(self, pressures, cores_wanted, seconds=12.0):
        """Return ratios and paces of a host whose serving load swings by half."""
        controller = PaceController()
        profiles = {"s": TaskProfile(3000, False, "serving", TARGET)}
        for image, cores in cores_wanted.items():
            profiles[image] = TaskProfile(int(cores * 1000), True, image, 0.0)
        paces = dict.fromkeys(cores_wanted, 100)
        ratios = []
        step = timedelta(milliseconds=250)
        for tick in range(int(seconds / 0.25)):
            at = tick * step
            load = 0.45 + (0.2 if (tick // 20) % 2 else -0.1)
            cores = {i: c * paces[i] / 100 for i, c in cores_wanted.items()}
            tail = find_tail(load, pressures, cores)
            ratios.append(tail / TARGET)
            running = [RunningTask("s", 1, "", 100, tail)]
            running += [
                RunningTask(i, 1, "", 50, cores[i] * 1000) for i in cores_wanted
            ]
            tails = {Run("s", 1): tail}
            for change in controller.adjust(running, profiles, tails, at):
                paces[change.task] = change.percent
        return ratios, paces

    def test_the_target_is_kept_beside_a_heavy_image(self):
        """Guards against a tail that stays over its target beside what fills."""
        ratios, _ = self._play({"heavy": 0.12}, {"heavy": 6.0})
        longest = run = 0
        for ratio in ratios:
            run = run + 1 if ratio > 1 else 0
            longest = max(longest, run)
        self.assertLess(longest * timedelta(milliseconds=250), timedelta(seconds=4))

    def test_a_light_image_goes_on_at_full_pace(self):
        """Guards against pacing down what does no harm."""
        _, paces = self._play({"light": 0.005}, {"light": 4.0})
        self.assertEqual(paces["light"], 100)

    def test_everything_stands_still_after_a_long_excess(self):
        """Guards against harm that no estimate explains."""
        controller = PaceController()
        profiles = {
            "s": TaskProfile(3000, False, "serving", TARGET),
            "f": TaskProfile(1000, True, "f", 0.0),
        }
        running = [
            RunningTask("s", 1, "", 100, 40.0),
            RunningTask("f", 1, "", 50, 1000.0),
        ]
        tails = {Run("s", 1): 40.0}
        paces = []
        at = timedelta()
        while at <= HARM_LIMIT + timedelta(milliseconds=250):
            paces += controller.adjust(running, profiles, tails, at)
            at += timedelta(milliseconds=250)
        self.assertEqual(paces[-1].percent, 0)

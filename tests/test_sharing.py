"""Tests of the interference model of best-effort and serving tasks, and of paces."""

import math
from datetime import timedelta

from egretcrank.agent.pace import MAX_TIME_OVER_TARGET, PaceController
from egretcrank.policy.pressures import (
    REFRESH_INTERVAL,
    ChangedPressures,
    PressureTable,
)
from egretcrank.policy.regression import Estimate
from egretcrank.policy.sharing import (
    PRIOR_LOAD,
    PRIOR_PRESSURE,
    SharingModel,
    SharingTask,
)
from egretcrank.wire.hosting import Pressure, Run, RunningTask, TaskProfile
from tests.cases import AsyncTestCase

TARGET = 24.0
UNLOADED_TAIL = 4.0
SECOND = timedelta(seconds=1)


def compute_tail(load: float, pressures: dict[str, float], cores: dict[str, float]):
    """Return the tail latency of a serving task modelled as a queue."""
    used = load + sum(pressures[image] * cores[image] for image in cores)
    return UNLOADED_TAIL / (1 - min(used, 0.99))


class SharingModelTests(AsyncTestCase):
    """Estimation and exchange of pressures."""

    def test_heavy_and_light_pairs_are_distinguished(self):
        """Guards against attributing the pressure of one image to another beside it."""
        pressures = {"heavy": 0.12, "light": 0.01}
        model = SharingModel()
        at = timedelta()
        for step in range(40):
            cores = {
                "heavy": 2.0 if step % 4 == 0 else 0.0,
                "light": 4.0 if step % 3 == 0 else 0.0,
            }
            ratio = compute_tail(0.4, pressures, cores) / TARGET
            tasks = [SharingTask("s", "serving", ratio=ratio)]
            tasks += [SharingTask(i, i, cores=c) for i, c in cores.items()]
            model.observe(tasks, at)
            at += SECOND
        heavy = model.estimate_pressure("heavy", "serving")
        light = model.estimate_pressure("light", "serving")
        self.assertGreater(heavy.mean, 0.08)
        self.assertLess(light.mean, 0.03)

    def _observe_swinging_host(self, pressure: float, starts: int) -> Estimate:
        """Observe a best-effort task that starts and ends beside a swinging load."""
        model = SharingModel()
        at, tick = timedelta(), timedelta(milliseconds=250)
        for step in range(starts * 24):
            load = 0.43 + 0.21 * math.sin(2 * math.pi * (at / SECOND) / 10)
            cores = 1.8 if step % 24 >= 12 else 0.0
            tail = UNLOADED_TAIL / (1 - min(load + pressure * cores, 0.99))
            ratio = round(tail) / TARGET
            tasks = [SharingTask("j.0.0.0", "serving", ratio, resolution=1 / TARGET)]
            if cores:
                tasks.append(SharingTask("b.0.0.0", "batch", cores=cores))
            model.observe(tasks, at)
            at += tick
        return model.estimate_pressure("batch", "serving")

    def test_a_pair_is_known_after_a_few_starts_beside_a_swinging_load(self):
        """Guards against work that waits half a minute because its image is unknown.

        A load that swings by half within 10 s hid the effect of single starts, and wide
        jobs waited while half of the processors were unused.
        """
        heavy = self._observe_swinging_host(0.11, starts=3)
        light = self._observe_swinging_host(0.01, starts=3)
        self.assertGreater(heavy.mean - heavy.deviation, 0.06)
        self.assertLess(light.mean + light.deviation, 0.06)

    def test_the_load_is_predicted_along_its_trend(self):
        """Guards against paces that follow a rising load half a second late."""
        model = SharingModel()
        at = timedelta()
        for step in range(17):
            load = 0.3 + 0.1 * step * 0.25
            ratio = UNLOADED_TAIL / (1 - load) / TARGET
            model.observe([SharingTask("j.0.0.0", "serving", ratio)], at)
            at += timedelta(milliseconds=250)
        now = model.estimate_load("serving", "j.0.0.0")
        ahead = model.estimate_load("serving", "j.0.0.0", SECOND)
        self.assertGreater(ahead - now, 0.06)
        self.assertLess(ahead - now, 0.14)

    def test_images_of_any_name_and_jobs_of_two_images_are_followed(self):
        """Guards against a name or a job that ends the control of paces on a host."""
        model = SharingModel()
        at = timedelta()
        for step in range(8):
            serving = [
                SharingTask("j.0.0.0", "level:j", ratio=0.4),
                SharingTask("j.0.1.0", "trend:j", ratio=0.5),
            ]
            others = [SharingTask(f"b.0.0.{i}", i, cores=1.0) for i in ("", "level:j")]
            order = serving if step % 2 else serving[::-1]
            model.observe([*order, *others], at)
            at += SECOND
        one = model.estimate_load("level:j", "j.0.0.0")
        other = model.estimate_load("trend:j", "j.0.1.0")
        self.assertLess(one, other)
        model.observe([], at)
        self.assertEqual(model.estimate_load("level:j", "j.0.0.0"), PRIOR_LOAD.mean)

    def test_implausible_estimates_are_ignored(self):
        """Guards against a report or record that ends each round of decisions."""
        table = PressureTable()
        for host, mean, deviation in (
            ("a", 0.1, 9.0),
            ("b", 0.1, 9.0),
            ("c", math.nan, 0.01),
            ("d", 0.1, 0.0),
            ("e", -5.0, 0.01),
        ):
            table.update(host, [Pressure("f", "s", mean, deviation)])
        self.assertGreater(table.estimate("f", "s").deviation, 0.01)
        self.assertLess(table.estimate("f", "s").mean, 0.1)

    def test_an_unknown_pair_has_the_prior(self):
        """Guards against placing an unknown image as if it were harmless."""
        self.assertEqual(
            SharingModel().estimate_pressure("any", "serving"), PRIOR_PRESSURE
        )

    def test_combining_hosts_reduces_the_deviation(self):
        """Guards against counting the shared prior once per host."""
        table = PressureTable()
        for host in ("a", "b", "c"):
            table.update(host, [Pressure("f", "s", 0.1, 0.03)])
        merged = table.estimate("f", "s")
        self.assertGreater(merged.mean, 0.1 - 0.01)
        self.assertLess(merged.deviation, 0.02)
        table.remove_host("a")
        self.assertGreater(table.estimate("f", "s").deviation, merged.deviation)

    def test_a_later_report_replaces_an_earlier_one(self):
        """Guards against counting one host twice and against drift of the sums."""
        table, other = PressureTable(), PressureTable()
        for mean in (0.3, 0.2, 0.1):
            table.update(
                "a", [Pressure("f", "s", mean, 0.03), Pressure("g", "s", 0, 1)]
            )
        table.update("a", [])
        other.update("a", [Pressure("f", "s", 0.1, 0.03)])
        for actual, expected in zip(
            table.estimate("f", "s"), other.estimate("f", "s"), strict=True
        ):
            self.assertAlmostEqual(actual, expected)
        self.assertEqual([p.best_effort for p in table.list_for(["s"])], ["f", "g"])

    def test_only_changes_are_sent_between_refreshes(self):
        """Guards against reports that grow with the images and saturate the link."""
        changed = ChangedPressures()
        at = timedelta(seconds=100)
        pressures = [Pressure(f"f{i}", "s", 0.05, 0.03) for i in range(50)]
        self.assertEqual(len(changed.select(pressures, at)), 50)
        self.assertEqual(changed.select(pressures, at), ())
        pressures[7] = pressures[7]._replace(mean=0.09)
        self.assertEqual(changed.select(pressures, at), (pressures[7],))
        later = at + REFRESH_INTERVAL
        self.assertEqual(len(changed.select(pressures, later)), 50)


class PaceTests(AsyncTestCase):
    """Pace control under a load that fluctuates within seconds."""

    def _simulate(self, pressures, cores_wanted, seconds=12.0):
        """Return the ratios and final paces of a host.

        The load of its serving task alternates between 0.35 and 0.65.
        """
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
            tail = compute_tail(load, pressures, cores)
            ratios.append(tail / TARGET)
            running = [RunningTask("s", 1, "", 100, tail)]
            running += [
                RunningTask(i, 1, "", 50, cores[i] * 1000) for i in cores_wanted
            ]
            tails = {Run("s", 1): tail}
            for change in controller.adjust(running, profiles, tails, at):
                paces[change.task] = change.percent
        return ratios, paces

    def test_the_target_is_met_beside_a_heavy_image(self):
        """Guards against a tail latency that best-effort tasks keep over its target."""
        ratios, _ = self._simulate({"heavy": 0.12}, {"heavy": 6.0})
        longest = run = 0
        for ratio in ratios:
            run = run + 1 if ratio > 1 else 0
            longest = max(longest, run)
        self.assertLess(longest * timedelta(milliseconds=250), timedelta(seconds=4))

    def test_a_light_image_keeps_its_full_pace(self):
        """Guards against slowing down tasks that do not interfere."""
        _, paces = self._simulate({"light": 0.005}, {"light": 4.0})
        self.assertEqual(paces["light"], 100)

    def test_all_best_effort_tasks_stop_after_a_long_excess(self):
        """Guards against excess latency that no pressure estimate explains."""
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
        while at <= MAX_TIME_OVER_TARGET + timedelta(milliseconds=250):
            paces += controller.adjust(running, profiles, tails, at)
            at += timedelta(milliseconds=250)
        self.assertEqual(paces[-1].percent, 0)

"""Each check of batch work must fire on histories that break its guarantee."""

from dataclasses import replace
from typing import Any

import testtools

from bench.prove.batch import Job, check_batch
from bench.standins.worker import HistoryEvent, HostHistory
from egretcrank.wire.messages import Resources

CAPACITY = Resources(5.0, 30720.0, 2.0)
NEED = Resources(3.0, 512.0)
TASK = "0-a/part-0"
TASKS = [{"name": "part-0", "command": "sleep 2"}]
JOB = Job(
    "batch-1",
    {"repeat": "from_checkpoint", "tasks": TASKS},
    {"0-a"},
    "ended",
    task_states={"part-0": {"done"}},
)
NEVER = replace(JOB, document={"repeat": "never", "tasks": TASKS})


def run(start, end, attempt=1, task=TASK, state="done", checkpoint=""):
    return [
        HistoryEvent(start, task, attempt, "running", NEED),
        HistoryEvent(end, task, attempt, state, NEED, checkpoint),
    ]


class BatchPointsTest(testtools.TestCase):
    def assert_fires(self, expected, job, first, second=()):
        histories = {
            "host-0": HostHistory(first, CAPACITY),
            "host-1": HostHistory(second, CAPACITY),
        }
        findings = check_batch([job], histories, 5.0)
        fired = {name for name, found in findings.items() if found.violations}
        self.assertEqual(expected, fired)

    def test_good_history_passes(self):
        """Guards against checks that report an eviction with one resume."""
        evicted = run(1, 3, state="stopped", checkpoint="c")
        self.assert_fires(set(), NEVER, evicted, run(3, 5, 2))

    def test_overload_fires(self):
        """Guards against a check that ignores what runs on a host together."""
        other = replace(JOB, document={**JOB.document, "tasks": [*TASKS, *TASKS]})
        other.document["tasks"][1] = {"name": "part-1", "command": "sleep 2"}
        other.task_states["part-1"] = {"done"}
        both = [*run(1, 3), *run(2, 4, task="0-a/part-1")]
        self.assert_fires({"capacity"}, other, sorted(both, key=lambda e: e.at))

    def test_two_places_fire(self):
        """Guards against a check that looks at one host only."""
        lapsed = run(1, 4, state="stopped")
        self.assert_fires({"single-run"}, JOB, lapsed, run(2, 5, 2))

    def test_second_start_of_an_attempt_fires(self):
        """Guards against missing a start order that was carried out twice."""
        self.assert_fires({"resume-once"}, JOB, run(1, 3), run(4, 6))

    def test_former_attempt_after_successor_fires(self):
        """Guards against missing an attempt that was resumed after it was replaced."""
        self.assert_fires({"resume-once"}, JOB, run(1, 3, 2), run(4, 6, 1))

    def test_lost_work_fires(self):
        """Guards against passing jobs that hang, change or split."""
        broken: list[dict[str, Any]] = [
            {"state": "running"},
            {"names": {"0-a", "0-b"}},
            {"task_states": {}},
            {"task_states": {"part-0": {"done", "unknown"}}},
            {"task_states": {"part-0": {"failed"}}},
            {"task_states": {"part-0": {"cannot_run"}}},
            {"cancel_answered_at": 0.0},
            {"names": {"0-b"}},
        ]
        for changes in broken:
            start = 6 if "cancel_answered_at" in changes else 1
            self.assert_fires(
                {"nothing-lost"}, replace(JOB, **changes), run(start, start + 2)
            )

    def test_repeat_of_a_task_that_must_not_repeat_fires(self):
        """Guards against a restart that no confirmed checkpoint allows."""
        lapsed = run(1, 3, state="stopped")
        self.assert_fires({"nothing-lost"}, NEVER, lapsed, run(4, 6, 2))

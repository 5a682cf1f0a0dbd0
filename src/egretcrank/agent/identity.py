"""Which process is the runner, and which of the reports describe it.

A report may come late or from another writer, so it is only a claim. A reply to a poll
proves which process answers at the runner's address. Reports of that process describe
the runner, unless it refuses calls that name the id in them.
"""

from collections import OrderedDict
from typing import NamedTuple

from egretcrank.wire.hosting import RunnerInfo

# Processes whose newest reports are kept. Only writers of invented ids exceed it.
MAX_PROCESSES = 64


class ProcessKey(NamedTuple):
    """Process that a report claims to be from; an id may be used again."""

    runner_id: str
    born: int


class Report(NamedTuple):
    """Description of a process; the sequence number grows until the process ends."""

    runner: RunnerInfo
    sequence: int


class RefusedName(NamedTuple):
    """Id that poll number ``poll`` named and the process that answered refused."""

    runner_id: str
    poll: int


class RunnerIdentity:
    """Process that is the runner, as proven by its replies, and its description.

    ``born`` identifies the process that replied last, and is 0 before the first reply.
    """

    def __init__(self) -> None:
        self.born = 0
        # Newest report of each process, the most recent one last.
        self._reports: OrderedDict[ProcessKey, Report] = OrderedDict()
        self._current: ProcessKey | None = None
        # The process that has unregistered.
        self._left: ProcessKey | None = None
        self._refused_name: RefusedName | None = None
        # Ids that do not name the process ``born``, although reports say so.
        self._false_ids: set[str] = set()
        # Number of polls that were sent before the last report of another process, if
        # none of the later ones has ended yet.
        self._polls_before_claim: int | None = None

    @property
    def runner(self) -> RunnerInfo | None:
        """Newest description of the runner.

        Before the first reply this is only a claim, that of the latest birth.
        """
        if self._current is None:
            return None
        return self._reports[self._current].runner

    @property
    def described(self) -> RunnerInfo | None:
        """Description of the process that replied last."""
        runner = self.runner
        return runner if runner is not None and runner.born == self.born else None

    @property
    def runner_id(self) -> str:
        """Id of the process that replied last, empty if it is not known."""
        return self.described.runner_id if self.described is not None else ""

    @property
    def has_left(self) -> bool:
        """Whether the runner has unregistered."""
        return self._current is not None and self._current == self._left

    @property
    def has_claimant(self) -> bool:
        """Whether another process reported since the last call that was answered."""
        return self._polls_before_claim is not None

    def add_report(self, runner: RunnerInfo, sequence: int, polls_sent: int) -> bool:
        """Add a report and return whether it is a new description of the runner."""
        key = ProcessKey(runner.runner_id, runner.born)
        known = self._reports.get(key)
        if known is not None and sequence <= known.sequence:
            return False
        if key == self._left or self._is_false(key):
            return False
        self._reports[key] = Report(runner, sequence)
        self._reports.move_to_end(key)
        self._choose()
        self._forget_oldest()
        if key == self._current:
            return True
        self._polls_before_claim = polls_sent
        return False

    def confirm_process(self, born: int, poll: int) -> None:
        """Record that the process ``born`` has answered poll number ``poll``."""
        self._polls_before_claim = None
        refused, self._refused_name = self._refused_name, None
        if born != self.born:
            self.born = born
            self._false_ids.clear()
        elif refused is not None and poll > refused.poll:
            # The same process goes on, so the id was never its own.
            if len(self._false_ids) >= MAX_PROCESSES:
                self._false_ids.clear()
            self._false_ids.add(refused.runner_id)
            self._reports.pop(ProcessKey(refused.runner_id, born), None)
        self._choose()

    def refuse_name(self, runner_id: str, poll: int) -> None:
        """Record that poll number ``poll`` named an id that is not the runner's.

        The runner may be another process by now, which the next reply tells.
        """
        self._refused_name = RefusedName(runner_id, poll)

    def mark_unanswered(self, poll: int) -> None:
        """Record that poll number ``poll`` got no answer, from a claimant either."""
        before = self._polls_before_claim
        if before is not None and poll > before:
            self._polls_before_claim = None

    def mark_left(self, runner_id: str) -> bool:
        """Record an unregistration; return whether it is one of the runner."""
        if self._current is None or self._current.runner_id != runner_id:
            return False
        self._left = self._current
        return True

    def mark_staying(self) -> None:
        """Record that the runner goes on, as a former process has unregistered."""
        self._left = None

    def _is_false(self, key: ProcessKey) -> bool:
        return key.born == self.born and key.runner_id in self._false_ids

    def _choose(self) -> None:
        """Choose the process whose reports describe the runner."""
        if not self.born:
            self._current = max(self._reports, key=lambda key: key.born, default=None)
            return
        current = self._current
        if current in self._reports and current and current.born == self.born:
            return
        matching = [key for key in self._reports if key.born == self.born]
        self._current = matching[-1] if matching else None

    def _forget_oldest(self) -> None:
        while len(self._reports) > MAX_PROCESSES:
            oldest = next(key for key in self._reports if key != self._current)
            del self._reports[oldest]

"""Random reports, replies and lives of a runner against a small model."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from egretcrank.agent.identity import RunnerIdentity
from egretcrank.wire.hosting import RunnerInfo

RUNNER_IDS = ("r0", "r1", "r2")
WRITER_IDS = ("w0", "w1")
# Few births, so that other writers and former processes have that of the runner.
BIRTHS = st.integers(1, 6)
# Polls between two reports of the runner.
POLLS_PER_REPORT = 6


def describe(runner_id: str, born: int, cpu: int = 1000) -> RunnerInfo:
    return RunnerInfo(runner_id, born, "s", "z", "", ("a",), cpu, 1, 0, False, 0.0)


class IdentityMachine(RuleBasedStateMachine):
    """One agent, its runner's processes, and other writers.

    No writer uses an id of the runner together with the birth that it had under it:
    such a report can't be told from one of the runner.
    """

    def __init__(self) -> None:
        super().__init__()
        self.identity = RunnerIdentity()
        self.is_answered = True
        self.polls = 0
        self.life = ("r0", 1)
        self.lives = {self.life}
        self.foreign_lives: set[tuple[str, int]] = set()
        self.is_up = True
        self.sequence = 0
        # Ids and births of the processes that have answered.
        self.answered: tuple[str, int] | None = None

    def add_report(self, runner: RunnerInfo, sequence: int) -> None:
        self.identity.add_report(runner, sequence, self.polls)

    @rule()
    def report(self) -> None:
        if self.is_up:
            self.sequence += 1
            self.add_report(describe(*self.life, cpu=self.sequence), self.sequence)

    @rule(data=st.data())
    def report_late(self, data: st.DataObject) -> None:
        life = data.draw(st.sampled_from(sorted(self.lives)))
        if life != self.life:
            self.add_report(describe(*life), data.draw(st.integers(1, 5)))

    @rule(
        runner_id=st.sampled_from((*WRITER_IDS, *RUNNER_IDS)),
        born=BIRTHS,
        sequence=st.integers(1, 1000),
    )
    def report_as_another(self, runner_id: str, born: int, sequence: int) -> None:
        if (runner_id, born) not in self.lives:
            self.foreign_lives.add((runner_id, born))
            self.add_report(describe(runner_id, born), sequence)

    @rule(runner_id=st.sampled_from((*WRITER_IDS, *RUNNER_IDS)))
    def unregister(self, runner_id: str) -> None:
        self.identity.mark_left(runner_id)

    @rule(runner_id=st.sampled_from(RUNNER_IDS), born=BIRTHS)
    def replace_process(self, runner_id: str, born: int) -> None:
        """Let another process follow; ``born`` identifies one, also for its agent."""
        if born in {known for _, known in self.lives}:
            return
        if (runner_id, born) in self.foreign_lives:
            return
        self.life = (runner_id, born)
        self.lives.add(self.life)
        self.sequence = 0
        self.is_up = True

    @rule()
    def crash(self) -> None:
        self.is_up = False

    @rule()
    def poll(self) -> None:
        """Poll as an agent does, which repeats a refused poll without an id."""
        named = self.identity.runner_id if self.is_answered else ""
        self.polls += 1
        if not self.is_up:
            self.identity.mark_unanswered(self.polls)
            self.is_answered = False
            return
        if named not in ("", self.life[0]):
            self.identity.mark_unanswered(self.polls)
            self.is_answered = False
            self.identity.refuse_name(named, self.polls)
            self.poll()
            return
        self.identity.confirm_process(self.life[1], self.polls)
        self.is_answered = True
        self.answered = self.life

    @invariant()
    def only_the_process_that_answered_is_described(self) -> None:
        described = self.identity.described
        born = self.answered[1] if self.answered else 0
        assert described is None or described.born == born

    @invariant()
    def memory_is_bounded(self) -> None:
        assert len(self.identity._reports) <= 64

    def teardown(self) -> None:
        """Check that the runner is known two reports after the last disturbance."""
        self.is_up = True
        self.identity.mark_staying()
        for _ in range(2):
            self.report()
            for _ in range(POLLS_PER_REPORT):
                self.poll()
        described = self.identity.described
        assert described == describe(*self.life, cpu=self.sequence), described
        assert self.identity.runner_id == self.life[0]


RunnerIdentityFuzz = IdentityMachine.TestCase
RunnerIdentityFuzz.settings = settings(
    max_examples=200, stateful_step_count=40, deadline=None, derandomize=True
)

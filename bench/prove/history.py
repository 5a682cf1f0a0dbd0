"""History of a run: what callers asked and were told, and what upstreams ran."""

import json
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import asdict, dataclass, field
from pathlib import Path

# All times are readings of the machine's monotonic clock in seconds, which is the same
# for every process.


@dataclass(frozen=True, slots=True)
class Call:
    """One HTTP request of a caller and its answer.

    ``ran`` is that of the answer: ``yes`` with an upstream's answer, ``unsent`` if no
    connection was made, and empty if the connection ended without an answer.
    """

    body: str
    service: str
    entry: str
    sent_at: float
    answered_at: float
    key: str = ""
    customer: str = ""
    status: int = 0
    ran: str = ""
    kind: str = ""
    detail: str = ""
    answer: str = ""
    host: str = ""


@dataclass(frozen=True, slots=True)
class Run:
    """One start of a request on an upstream; no end if the upstream was killed."""

    host: str
    path: str
    body: str
    started_at: float
    ended_at: float | None = None


@dataclass(frozen=True, slots=True)
class Departure:
    """A graceful end of a daemon, in a time without other faults since ``quiet_at``."""

    name: str
    role: str
    quiet_at: float
    asked_at: float
    ended_at: float
    notice_lost: bool = False


@dataclass(slots=True)
class History:
    """Everything that the checks look at."""

    calls: list[Call] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    departures: list[Departure] = field(default_factory=list)

    def group_calls(self) -> Mapping[str, Sequence[Call]]:
        """Return the calls by body; each key and each lookup has a body of its own."""
        groups: dict[str, list[Call]] = defaultdict(list)
        for call in self.calls:
            groups[call.body].append(call)
        return groups

    def group_runs(self) -> Mapping[str, Sequence[Run]]:
        """Return the runs by body."""
        groups: dict[str, list[Run]] = defaultdict(list)
        for run in self.runs:
            groups[run.body].append(run)
        return groups

    def write(self, path: Path) -> None:
        """Write the history as JSON."""
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(json.dumps(asdict(self), indent=1), encoding="utf-8")


def read_journal(host: str, lines: Iterable[str]) -> list[Run]:
    """Read the runs of an upstream from its journal."""
    runs: list[Run] = []
    open_runs: dict[str, list[Run]] = defaultdict(list)
    for line in lines:
        event = json.loads(line)
        body, at = event["body"], event["at"]
        if event["event"] == "started":
            open_runs[body].append(Run(host, event["path"], body, at))
        else:
            run = open_runs[body].pop(0)
            runs.append(Run(host, run.path, body, run.started_at, at))
    return runs + [run for left in open_runs.values() for run in left]

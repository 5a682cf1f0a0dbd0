"""Checks of a history, one function for each point; see ``point``."""

import json
from collections.abc import Callable
from typing import NamedTuple

from bench.prove.history import Call, Departure, History

# Requests that a leaving host had accepted wait for a slot for a few service times.
# This is less than a sidecar takes to leave in these runs, or the check could not fail.
LEAVING_SECONDS = 1.5


class Findings(NamedTuple):
    """How many operations a check looked at, and what it found wrong."""

    operations: int
    violations: tuple[str, ...]


Check = Callable[[History], Findings]
POINTS: dict[str, Check] = {}


def point(name: str) -> Callable[[Check], Check]:
    """Register a check under the name that the report prints."""

    def register(check: Check) -> Check:
        POINTS[name] = check
        return check

    return register


@point("at-most-once")
def check_at_most_once(history: History) -> Findings:
    """Each key ran at most once over all upstreams."""
    runs = history.group_runs()
    bodies = {call.body for call in history.calls if call.key}
    violations = tuple(
        f"{body} ran {len(runs[body])} times: "
        + ", ".join(f"{run.host} at {run.started_at:.3f}" for run in runs[body])
        for body in sorted(bodies)
        if len(runs.get(body, ())) > 1
    )
    return Findings(len(bodies), violations)


@point("not-run")
def check_not_run(history: History) -> Findings:
    """A request never ran if every answer says that it was not run."""
    runs = history.group_runs()
    operations = 0
    violations: list[str] = []
    for body, calls in history.group_calls().items():
        told = [call for call in calls if call.ran != "unsent"]
        if not told or any(call.ran != "no" for call in told):
            continue
        operations += 1
        if runs.get(body):
            kinds = ", ".join(call.kind for call in told)
            violations.append(f"{body} ran, but was answered {kinds}")
    return Findings(operations, tuple(violations))


@point("whole-answer")
def check_whole_answer(history: History) -> Findings:
    """Each answer of an upstream is the answer to the request of the caller."""
    answered = [call for call in history.calls if call.ran == "yes"]
    violations = tuple(
        f"{call.body} got {call.answer[:200]!r}"
        for call in answered
        if not _echoes(call)
    )
    return Findings(len(answered), violations)


def _echoes(call: Call) -> bool:
    try:
        answer = json.loads(call.answer)
    except ValueError:
        return False
    expected = {
        "path": f"/{call.service}",
        "customer": call.customer,
        "echo": call.body,
    }
    return isinstance(answer, dict) and answer.items() >= expected.items()


@point("single-answer")
def check_single_answer(history: History) -> Findings:
    """All answers of an upstream that a key got are the same."""
    operations = 0
    violations: list[str] = []
    for body, calls in history.group_calls().items():
        if len(calls) < 2 or not calls[0].key:
            continue
        operations += 1
        outcomes = {(c.status, c.answer, c.host) for c in calls if c.ran == "yes"}
        if len(outcomes) > 1:
            violations.append(f"{body} got {len(outcomes)} different answers")
        if any(call.kind == "key_reused" for call in calls):
            violations.append(f"{body} was answered key_reused")
    return Findings(operations, tuple(violations))


@point("leaving")
def check_leaving(history: History) -> Findings:
    """No request starts on a host a few seconds after it was asked to leave."""
    departures = [d for d in history.departures if d.role == "sidecar"]
    violations = tuple(
        f"{run.body} started on {run.host} {run.started_at - departure.asked_at:.1f} s "
        f"after it was asked to leave"
        for departure in departures
        for run in history.runs
        if run.host == departure.name
        and departure.asked_at + LEAVING_SECONDS < run.started_at < departure.ended_at
    )
    return Findings(len(departures), violations)


@point("graceful-shutdown")
def check_graceful_shutdown(history: History) -> Findings:
    """A caller gets its answer although a process leaves that handles its request."""
    operations = 0
    violations: list[str] = []
    for departure in history.departures:
        for call in _find_in_flight(history, departure):
            operations += 1
            if call.ran not in ("yes", "no"):
                violations.append(
                    f"{call.body} at {call.entry} got {call.kind or 'no answer'} "
                    f"({call.detail}) while {departure.name} left"
                )
    return Findings(operations, tuple(violations))


def _find_in_flight(history: History, departure: Departure) -> list[Call]:
    return [
        call
        for call in history.calls
        if departure.quiet_at <= call.sent_at <= departure.asked_at <= call.answered_at
        and (departure.role == "sidecar" or call.entry == departure.name)
    ]


def check_all(history: History) -> dict[str, Findings]:
    """Run every check."""
    return {name: check(history) for name, check in POINTS.items()}

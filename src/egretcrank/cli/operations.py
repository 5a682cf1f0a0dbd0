"""Commands for monitoring and host maintenance.

Exit codes: 0 success, 1 rejected by the entry, 2 usage error, 3 entry unreachable.
"""

from collections import Counter, defaultdict
from typing import Any
from urllib.parse import quote

import click

from egretcrank.cli.http import (
    entry_option,
    json_option,
    print_json,
    request_json,
)


@click.command()
@entry_option
@json_option
def status(address: str, as_json: bool) -> None:
    """Show lists in force, members, owners, workload and log health."""
    document = request_json("GET", address, "/status")
    if as_json:
        print_json(document)
        return
    for line in format_status(document):
        click.echo(line)


@click.command()
@click.argument("subject")
@entry_option
@json_option
def explain(subject: str, address: str, as_json: bool) -> None:
    """Show the decisions on a request, key, job, task or partition.

    SUBJECT is a request identifier, an idempotency key, a job or task identifier, or
    partition/N.
    """
    decisions = request_json("GET", address, f"/explain/{quote(subject, safe='/')}")
    if as_json:
        print_json(decisions)
        return
    if not decisions:
        click.echo(f"no decision on {subject} is retained; see the logs of the daemons")
    for decision in decisions:
        click.echo(format_decision(decision))


@click.command()
@click.argument("host")
@entry_option
@json_option
def drain(host: str, address: str, as_json: bool) -> None:
    """Drain the sidecar of HOST: it finishes its work and stops."""
    reply = request_json("POST", address, f"/hosts/{quote(host, safe='')}/drain")
    if as_json:
        print_json(reply)
    else:
        click.echo(f"{host} is leaving")


def format_status(document: dict[str, Any]) -> list[str]:
    """Return the lines that show an entry's status document."""
    log = "DOWN" if document["log_down"] else "ok"
    lines = [
        f"entry {document['name']}: {document['state']}, "
        f"{document['in_flight']} requests in flight, log {log}",
        _format_lists(document),
        *_format_domains(document["members"]),
        _format_owners(document["owners"]),
        *_format_work(document.get("work", {})),
    ]
    return [line for line in lines if line]


def format_decision(decision: dict[str, Any]) -> str:
    """Format a decision as one line."""
    inputs = ", ".join(f"{k}={v}" for k, v in decision["inputs"].items())
    alternatives = ", ".join(decision["alternatives"]) or "none"
    return (
        f"{decision['time']} {decision['action']} -> {decision['choice'] or '-'}: "
        f"{decision['reason']} ({inputs}); alternatives: {alternatives}"
    )


def _format_lists(document: dict[str, Any]) -> str:
    revision = document.get("lists_revision", 0)
    outdated = [
        member["host"]
        for member in document["members"]
        if member["liveness"] == "alive" and member["lists_revision"] != revision
    ]
    text = f"lists: revision {revision} in force"
    return text + (f", not yet on {', '.join(outdated)}" if outdated else " everywhere")


def _format_domains(members: list[dict[str, Any]]) -> list[str]:
    domains: dict[str, list[dict[str, Any]]] = defaultdict(list)
    for member in members:
        domains[member["failure_domain"]].append(member)
    lines = []
    for domain, hosts in sorted(domains.items()):
        counts = Counter(host["liveness"] for host in hosts)
        states = ", ".join(f"{n} {state}" for state, n in sorted(counts.items()))
        alive = [host for host in hosts if host["liveness"] == "alive"]
        busy = sum(host["slots_busy"] for host in alive)
        slots = sum(host["slots"] for host in alive)
        lines.append(f"{domain}: {states}; {busy} of {slots} slots busy")
    return lines


def _format_owners(owners: list[dict[str, Any]]) -> str:
    counts = Counter(owner["host"] for owner in owners if not owner["released"])
    held = ", ".join(f"{host} {n}" for host, n in sorted(counts.items()))
    return f"partitions: {sum(counts.values())} owned ({held})"


def _format_work(work: dict[str, Any]) -> list[str]:
    lines = [
        f"plan {plan}: {counts.get('running', 0)} running, "
        f"{counts.get('waiting', 0)} waiting"
        for plan, counts in sorted(work.get("plans", {}).items())
    ]
    if missing := work.get("missing"):
        lines.append(f"work is incomplete: {missing} owners did not answer in time")
    oldest = work.get("oldest_waiting")
    if oldest:
        lines.append(
            f"oldest waiting task: {oldest['task']} of {oldest['customer']} "
            f"for {oldest['waiting_seconds']:.0f} s: {oldest['reason']}"
        )
    return lines

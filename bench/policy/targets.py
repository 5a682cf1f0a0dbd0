"""The targets, which were set before any measurement."""

from collections.abc import Mapping

from bench.policy.rows import Row

KOVACEVIC_P99 = 1.15
KOVACEVIC_THROUGHPUT = 0.85
LANKANET_P99 = 1.3
LANKANET_THROUGHPUT = 0.9
LANKANET_EVICTIONS = 0.1
HARD_P99 = 2.0


def find_p99_target(deployment: str) -> float:
    """Return the largest p99_ratio that the target of a deployment allows."""
    return LANKANET_P99 if deployment == "lankanet" else KOVACEVIC_P99


def find_misses(row: Row, rows: Mapping[str, Row]) -> list[str]:
    """Return the targets that a row misses, among the rows of its deployment."""
    if row.deployment == "lankanet":
        limit = LANKANET_EVICTIONS * rows["reactive"].evictions
        p99, throughput = LANKANET_P99, LANKANET_THROUGHPUT
    else:
        limit = float("inf")
        p99, throughput = KOVACEVIC_P99, KOVACEVIC_THROUGHPUT
    checks = {
        f"p99_ratio<={p99}": row.p99_ratio <= p99,
        f"throughput_ratio>={throughput}": row.throughput_ratio >= throughput,
        f"evictions<={limit:.1f}": row.evictions <= limit,
        "violations=0": row.violations == 0,
    }
    return [name for name, met in checks.items() if not met]


def describe_targets(rows: Mapping[str, Row]) -> list[str]:
    """Return lines that say which targets were missed, with the oracle as the limit."""
    ours, oracle, packing = rows["egretcrank"], rows["oracle"], rows["packing"]
    beyond = find_misses(oracle, rows)
    lines = []
    for miss in find_misses(ours, rows):
        limit = "the oracle misses it too" if miss in beyond else "the oracle meets it"
        lines.append(
            f"target deployment={ours.deployment} missed {miss}: {limit} "
            f"(p99_ratio={oracle.p99_ratio:.3f} "
            f"throughput_ratio={oracle.throughput_ratio:.3f})"
        )
    if packing.p99_ratio < HARD_P99:
        lines.append(
            f"bench deployment={ours.deployment} is too easy: "
            f"packing has p99_ratio={packing.p99_ratio:.3f}"
        )
    return lines

"""Compare variants of the decisions: ``python -m bench.placement --seed n``.

Each variant plays the same seeds of each load pattern. The difference of its worth from
that of the first variant is printed with its 95% confidence interval.
"""

import math
import os
import statistics
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from itertools import product

import click

from bench.placement.loads import PATTERNS
from bench.placement.scores import Outcome
from bench.placement.variants import BASE, VARIANTS, Play, play_day

CONFIDENCE_DEVIATIONS = 1.96


def describe(name: str, outcomes: Sequence[Outcome], base: Sequence[Outcome]) -> str:
    """Return a line on a variant."""
    changes = [o.worth - b.worth for o, b in zip(outcomes, base, strict=True)]
    error = 0.0
    if len(changes) > 1:
        error = statistics.stdev(changes) / math.sqrt(len(changes))
    shares = " ".join(
        f"{field} {statistics.mean(getattr(o, field) for o in outcomes):.3f}"
        for field in ("worth", "batch", "largest", "serving", "urgent")
    )
    lost = statistics.mean(o.lost_work for o in outcomes)
    return (
        f"{name:44} {statistics.mean(changes):+.4f} "
        f"+-{CONFIDENCE_DEVIATIONS * error:.4f} {shares} lost {lost:.0f}"
    )


@click.command()
@click.option("--seed", type=int, default=1, show_default=True, help="First seed.")
@click.option("--days", type=int, default=6, show_default=True, help="Seeds to play.")
@click.option("--variant", "names", multiple=True, type=click.Choice(list(VARIANTS)))
@click.option("--jobs", type=int, default=max(1, (os.cpu_count() or 2) // 2))
def main(seed: int, days: int, names: tuple[str, ...], jobs: int) -> None:
    """Play all variants, or those named, beside the current version."""
    variants = [BASE, *(n for n in names or tuple(VARIANTS) if n != BASE)]
    patterns = range(len(PATTERNS))
    seeds = range(seed, seed + days)
    plays = [Play(*row) for row in product(variants, patterns, seeds)]
    with ProcessPoolExecutor(jobs, max_tasks_per_child=1) as pool:
        outcomes = dict(zip(plays, pool.map(play_day, plays), strict=True))
    for variant in variants:
        for pattern in patterns:
            click.echo(
                describe(
                    f"{variant}, {PATTERNS[pattern].name}",
                    [outcomes[Play(variant, pattern, s)] for s in seeds],
                    [outcomes[Play(BASE, pattern, s)] for s in seeds],
                )
            )
    for variant in variants:
        days_played = list(product(patterns, seeds))
        click.echo(
            describe(
                f"{variant}, all",
                [outcomes[Play(variant, p, s)] for p, s in days_played],
                [outcomes[Play(BASE, p, s)] for p, s in days_played],
            )
        )


if __name__ == "__main__":
    main()

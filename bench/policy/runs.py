"""Runs of all policies on one seed, and the lines that report them."""

from collections.abc import Callable

from bench.policy.policies import (
    Baseline,
    Egretcrank,
    Oracle,
    Reactive,
    build_random,
    choose_emptiest,
    choose_fullest,
)
from bench.policy.rows import Row
from bench.policy.scenario import Deployment, Scenario, build_scenario
from bench.policy.world import (
    Figures,
    Policy,
    World,
    measure_alone,
    measure_p99,
)

Build = Callable[[World, int], Policy]

POLICIES: dict[str, Build] = {
    "random": lambda world, seed: build_random(seed),
    "least_loaded": lambda world, seed: Baseline(choose_emptiest),
    "packing": lambda world, seed: Baseline(choose_fullest),
    "reactive": lambda world, seed: Reactive(world),
    "oracle": lambda world, seed: Oracle(world),
    "egretcrank": Egretcrank,
}


def run_policy(scenario: Scenario, name: str, seed: int) -> Figures:
    """Run one policy on a scenario."""
    world = World(scenario, seed)
    return world.run(POLICIES[name](world, seed))


def run_deployment(deployment: Deployment, seed: int, horizon: float) -> list[Row]:
    """Run every policy on the scenario of one deployment and seed."""
    scenario = build_scenario(deployment, seed, horizon)
    alone = measure_p99(measure_alone(scenario))
    figures = {name: run_policy(scenario, name, seed) for name in POLICIES}
    packed = max(figures["packing"].work, 1.0)
    return [
        Row(
            deployment.name,
            name,
            measure_p99(found.latencies) / alone,
            found.work / packed,
            found.evictions,
            found.violations,
        )
        for name, found in figures.items()
    ]

"""Arithmetic on amounts of resources."""

from egretcrank.wire.messages import Resources


def fits(need: Resources, available: Resources) -> bool:
    """Return whether ``need`` fits into ``available`` for every resource."""
    return (
        need.processors <= available.processors
        and need.memory_mib <= available.memory_mib
        and need.accelerators <= available.accelerators
    )


def add_resources(first: Resources, second: Resources) -> Resources:
    """Add two amounts."""
    return Resources(
        first.processors + second.processors,
        first.memory_mib + second.memory_mib,
        first.accelerators + second.accelerators,
    )


def subtract_resources(first: Resources, second: Resources) -> Resources:
    """Subtract the second amount from the first."""
    return Resources(
        first.processors - second.processors,
        first.memory_mib - second.memory_mib,
        first.accelerators - second.accelerators,
    )

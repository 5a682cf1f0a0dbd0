"""Selection of the leader among the members of the controller group."""

from collections.abc import Iterable
from typing import NamedTuple
from uuid import uuid4

from egretcrank.platform.store import SlotOwner
from egretcrank.settings.platform import LimitSettings
from egretcrank.wire.bounds import is_address

# Resources that a leader needs. A leader of 72 hosts uses 0.25 of a core, doubled here
# to allow for bursts. Leaders on links of 10 Mbit/s, of which half was available, lost
# their membership repeatedly; those on links of 200 Mbit/s did not.
LEADER_CORES = 0.5
LEADER_LINK_MEGABITS = 50.0
MAX_FITNESS_PERCENT = 100
MEMBER_SEPARATOR = "#"


class Candidate(NamedTuple):
    """A member of the group that holds at least one slot.

    ``fitness`` is the percentage of a leader's resource needs that its machine covers,
    at most 100. ``slot`` is its lowest slot, which no other member of the same
    generation holds.
    """

    member: str
    address: str
    fitness: int
    slot: int


def compute_fitness(limits: LimitSettings) -> int:
    """Return the percentage of a leader's resource needs that a machine covers."""
    cores = limits.processor_share * limits.processors
    smallest_share = min(
        cores / LEADER_CORES, limits.link_megabits / LEADER_LINK_MEGABITS
    )
    return int(min(1.0, smallest_share) * MAX_FITNESS_PERCENT)


def build_member_name(address: str, fitness: int) -> str:
    """Return a member name for the group, which is unique to each process start."""
    return MEMBER_SEPARATOR.join((address, str(fitness), uuid4().hex[:8]))


def is_member_at(member: str, address: str) -> bool:
    """Return whether a member name belongs to a process at an address."""
    return member.partition(MEMBER_SEPARATOR)[0] == address


def choose_leader(owners: Iterable[SlotOwner], incumbent: str) -> Candidate | None:
    """Return the fittest candidate, preferring the one at address ``incumbent``.

    Remaining ties go to the lowest slot. Slots may be reassigned at any time, so a
    leader stays elected while it holds any slot and no fitter candidate exists. A
    machine that is too small for the reports of all hosts leads only if no larger one
    is available. A member of another kind, whose name contains no address, leads
    nothing. Returns None if no other member holds a slot.
    """
    candidates: dict[str, Candidate] = {}
    for owner in owners:
        known = candidates.get(owner.member)
        candidate = _parse_member(owner)
        if candidate is not None and (known is None or owner.slot < known.slot):
            candidates[owner.member] = candidate
    return max(
        candidates.values(),
        key=lambda c: (c.fitness, c.address == incumbent, -c.slot),
        default=None,
    )


def list_odd_members(owners: Iterable[SlotOwner]) -> list[str]:
    """Return the members that hold a slot but cannot lead."""
    return sorted(
        {owner.member for owner in owners if owner.member and not _parse_member(owner)}
    )


def _parse_member(owner: SlotOwner) -> Candidate | None:
    address, _, rest = owner.member.partition(MEMBER_SEPARATOR)
    if not is_address(address):
        return None
    fitness, separator, _ = rest.partition(MEMBER_SEPARATOR)
    # Member names of earlier releases contain no fitness.
    percent = _parse_fitness(fitness) if separator else 0
    return Candidate(owner.member, address, percent, owner.slot)


def _parse_fitness(text: str) -> int:
    """Return a percentage, or 0 for a text that is none."""
    if not text.isdecimal() or len(text) > len(str(MAX_FITNESS_PERCENT)):
        return 0
    percent = int(text)
    return percent if percent <= MAX_FITNESS_PERCENT else 0
